// Start-time fair queueing across callers for each model, and priority with
// aging within a caller.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

ActiveRequest &activeRequest(State &Entry, Ticket Id) {
  const auto Found = Entry.m_Active.find(Id);
  WASABIVALE_INVARIANT(Found != Entry.m_Active.end());
  return Found->second;
}

unsigned headPriority(const State &Entry, const CallerFlow &Flow) {
  const Ticket Head = std::get<Ticket>(*Flow.m_Waiting.begin());
  return Entry.m_Active.at(Head).m_Priority;
}

void unschedule(ModelQueue &Queue, CallerIndex Index, CallerFlow &Flow) {
  if (!Flow.m_Scheduled)
    return;
  Queue.m_Order.erase({Flow.m_Key, Index});
  Queue.m_ByLastStart.erase({Flow.m_LastStart, Index});
  Flow.m_Scheduled = false;
}

void schedule(const State &Entry, ModelQueue &Queue, CallerIndex Index,
              CallerFlow &Flow) {
  const double Credit = seconds(Entry.m_Settings.m_PriorityCredit);
  if (Flow.m_Blocked) // Blocked time earns no credit.
    Flow.m_FinishTag = std::max(Queue.m_VirtualTime, Flow.m_FinishTag);
  Flow.m_Blocked = false;
  Flow.m_Key = Flow.m_FinishTag - Credit * headPriority(Entry, Flow);
  Queue.m_Order.insert({Flow.m_Key, Index});
  Queue.m_ByLastStart.insert({Flow.m_LastStart, Index});
  Flow.m_Scheduled = true;
}

/// Updates the schedule after a flow's head, caller or tags have changed.
void rescheduleFlow(const State &Entry, ModelQueue &Queue, CallerIndex Index,
                    CallerFlow &Flow, TimePoint Now) {
  unschedule(Queue, Index, Flow);
  if (Flow.m_Waiting.empty())
    return;
  if (mayStart(Entry.m_Callers[Index], Now))
    schedule(Entry, Queue, Index, Flow);
  else
    Flow.m_Blocked = true;
}

/// Whether a starved caller goes next: at most at every second start.
bool isStarvationDue(const State &Entry, const ModelQueue &Queue,
                     TimePoint Now) {
  const TimePoint LastStart = Queue.m_ByLastStart.begin()->first;
  return !Queue.m_LastStartWasStarved &&
         Now - LastStart >= Entry.m_Settings.m_StarvationBound;
}

/// First caller in the fair order for which a slot is free.
std::optional<CallerIndex> selectByFairOrder(const State &Entry,
                                             const ModelQueue &Queue,
                                             const Capacity &Available) {
  for (const auto &[Key, Index] : Queue.m_Order)
    if (hasFreeSlotFor(Entry, Queue, Index, Available))
      return Index;
  return std::nullopt;
}

/// Selects the caller to start next: a starved one, else the first in the fair
/// order. A starved caller may also take a reserved slot.
std::optional<CallerIndex> selectCaller(const State &Entry,
                                        const ModelQueue &Queue,
                                        const Capacity &Available,
                                        TimePoint Now) {
  if (Available.m_FreeSlots == 0)
    return std::nullopt;
  if (isStarvationDue(Entry, Queue, Now))
    return Queue.m_ByLastStart.begin()->second;
  return selectByFairOrder(Entry, Queue, Available);
}

/// Unschedules flows at the front whose caller may not start any more, such as
/// after its lease has expired.
template <typename OrderType>
void dropExpired(const State &Entry, ModelQueue &Queue, const OrderType &Order,
                 TimePoint Now) {
  while (!Order.empty()) {
    const CallerIndex Index = Order.begin()->second;
    if (mayStart(Entry.m_Callers[Index], Now))
      return;
    CallerFlow &Flow = Queue.m_Flows.at(Index);
    unschedule(Queue, Index, Flow);
    Flow.m_Blocked = true;
  }
}

bool hasSchedulableFlow(const State &Entry, ModelQueue &Queue, TimePoint Now) {
  dropExpired(Entry, Queue, Queue.m_ByLastStart, Now);
  dropExpired(Entry, Queue, Queue.m_Order, Now);
  return !Queue.m_Order.empty();
}

struct Selection {
  ModelQueue *m_Queue = nullptr; ///< Null if nothing may start.
  CallerIndex m_Caller = 0;
};

/// Selects the model whose last start is the oldest among those with waiting
/// requests and a free slot.
Selection selectNext(State &Entry, TimePoint Now,
                     const CapacityView &Capacities) {
  Selection Next;
  for (auto &[Model, Queue] : Entry.m_Models) {
    if (Next.m_Queue != nullptr &&
        Queue.m_LastStart >= Next.m_Queue->m_LastStart)
      continue;
    if (!hasSchedulableFlow(Entry, Queue, Now))
      continue;
    if (const auto Found = selectCaller(Entry, Queue, Capacities(Model), Now))
      Next = {&Queue, *Found};
  }
  return Next;
}

Refused lateRefusal(const ActiveRequest &Request, const ModelQueue &Queue,
                    TimePoint Now) {
  if (Request.m_Deadline <= Now)
    return {Refusal::DeadlinePassed, {}};
  // The queued work must shrink by the time that this request is short of.
  const Duration Overrun =
      Now + Request.m_MinServiceTime.value_or(Request.m_ServiceTime) -
      Request.m_Deadline;
  return {Refusal::CannotMeetDeadline,
          std::max(Overrun, fromSeconds(Queue.m_Work > 0 ? 1 : 0.1))};
}

/// Updates the drain rate after a start from the queue.
void recordDrain(DrainRate &Drain, double Work, TimePoint Now) {
  constexpr double DecaySeconds = 5;
  const double Elapsed = std::max(0.0, seconds(Now - Drain.m_UpdatedAt));
  const double Decay = std::exp(-Elapsed / DecaySeconds);
  Drain.m_Work = Drain.m_Work * Decay + Work;
  Drain.m_Seconds = Drain.m_Seconds * Decay + Elapsed;
  Drain.m_UpdatedAt = Now;
}

/// Seconds of slot time that start per second. The slot count serves as a prior
/// until enough starts have been observed.
double drainRate(const DrainRate &Drain, double Slots) {
  constexpr double PriorSeconds = 1;
  return std::max(1e-3, (Drain.m_Work + Slots * PriorSeconds) /
                            (Drain.m_Seconds + PriorSeconds));
}

/// Number of callers that start before the new request, at most 64.
double flowsAhead(const State &Entry, const ModelQueue &Queue,
                  CallerIndex Index, const AdmissionRequest &Request) {
  constexpr int MaxCounted = 64;
  const auto Found = Queue.m_Flows.find(Index);
  const double Finish =
      Found == Queue.m_Flows.end() ? 0 : Found->second.m_FinishTag;
  const unsigned Priority = std::min(Request.m_Priority, MaxPriority);
  const double Key = std::max(Queue.m_VirtualTime, Finish) -
                     seconds(Entry.m_Settings.m_PriorityCredit) * Priority;
  int Count = 0;
  for (const auto &[Other, Caller] : Queue.m_Order) {
    if (Other > Key || Count == MaxCounted)
      break;
    ++Count;
  }
  return Count;
}

/// Charges a start to the fair queue. A waiting flow keeps its own tag, because
/// priority may have moved the virtual time past it.
void chargeStart(ModelQueue &Queue, CallerFlow &Flow, double Cost,
                 bool FromQueue, TimePoint Now) {
  const double Tag = FromQueue
                         ? Flow.m_FinishTag
                         : std::max(Queue.m_VirtualTime, Flow.m_FinishTag);
  Queue.m_VirtualTime = std::max(Queue.m_VirtualTime, Tag);
  Flow.m_FinishTag = Tag + Cost;
  Flow.m_LastStart = Now;
  Queue.m_LastStart = Now;
}

/// Rank of a request within its caller's queue: the latest start that meets its
/// deadline. In order of arrival, requests with a short deadline would miss it
/// behind those with a long one. The rank is capped at the starvation bound, so
/// that every request ages.
TimePoint rankOf(const State &Entry, TimePoint LatestStart, unsigned Priority,
                 TimePoint Now) {
  const TimePoint LatestRank = Now + Entry.m_Settings.m_StarvationBound;
  return std::min(LatestStart, LatestRank) -
         Entry.m_Settings.m_AgingStep * static_cast<int>(Priority);
}

/// Seconds of slot time of the caller's own requests that precede \p Rank.
double ownWorkAhead(const State &Entry, const CallerFlow &Flow,
                    TimePoint Rank) {
  constexpr int MaxCounted = 64;
  double Work = 0;
  int Count = 0;
  for (const auto &[Other, Id] : Flow.m_Waiting) {
    if (Other > Rank)
      return Work;
    if (++Count > MaxCounted)
      return Flow.m_Work;
    Work += seconds(Entry.m_Active.at(Id).m_ServiceTime);
  }
  return Work;
}

} // namespace

void setBacklog(State &Entry, CallerIndex Index, std::uint32_t Queued) {
  CallerState &Caller = Entry.m_Callers[Index];
  if (Caller.m_Queued > 0)
    Entry.m_ByBacklog.erase({Caller.m_Queued / Caller.m_Weight, Index});
  Caller.m_Queued = Queued;
  if (Caller.m_Queued > 0)
    Entry.m_ByBacklog.insert({Caller.m_Queued / Caller.m_Weight, Index});
}

void enqueue(State &Entry, Ticket Id, TimePoint Now) {
  ActiveRequest &Request = activeRequest(Entry, Id);
  const CallerIndex Index = Request.m_Caller;
  ModelQueue &Queue = Entry.m_Models[Request.m_Model];
  CallerFlow &Flow = Queue.m_Flows[Index];
  unschedule(Queue, Index, Flow);
  if (Queue.m_WaitingWeight <= 0)
    Queue.m_Drain.m_UpdatedAt = Now;
  if (Flow.m_Waiting.empty()) {
    Queue.m_WaitingWeight += Entry.m_Callers[Index].m_Weight;
    Flow.m_FinishTag = std::max(Queue.m_VirtualTime, Flow.m_FinishTag);
    Flow.m_LastStart = Now;
  }
  Request.m_Position = {
      rankOf(Entry, Request.m_LatestStart, Request.m_Priority, Now), Id};
  Flow.m_Waiting.insert(Request.m_Position);
  Flow.m_Work += seconds(Request.m_ServiceTime);
  Queue.m_Work += seconds(Request.m_ServiceTime);
  Entry.m_ByLatestStart.insert({Request.m_LatestStart, Id});
  ++Entry.m_QueuedCount;
  setBacklog(Entry, Index, Entry.m_Callers[Index].m_Queued + 1);
  rescheduleFlow(Entry, Queue, Index, Flow, Now);
}

void dequeue(State &Entry, Ticket Id, TimePoint Now) {
  ActiveRequest &Request = activeRequest(Entry, Id);
  WASABIVALE_INVARIANT(!Request.m_Running);
  const CallerIndex Index = Request.m_Caller;
  ModelQueue &Queue = Entry.m_Models.at(Request.m_Model);
  CallerFlow &Flow = Queue.m_Flows.at(Index);
  unschedule(Queue, Index, Flow);
  const std::size_t Erased = Flow.m_Waiting.erase(Request.m_Position);
  WASABIVALE_INVARIANT(Erased == 1);
  Entry.m_ByLatestStart.erase({Request.m_LatestStart, Id});
  Flow.m_Work -= seconds(Request.m_ServiceTime);
  Queue.m_Work -= seconds(Request.m_ServiceTime);
  if (Flow.m_Waiting.empty()) {
    Queue.m_Work -= Flow.m_Work;
    Flow.m_Work = 0; // Clears the rounding error.
    Queue.m_WaitingWeight -= Entry.m_Callers[Index].m_Weight;
  }
  if (Queue.m_WaitingWeight < MinWeight / 2)
    Queue.m_WaitingWeight = 0; // Clears the rounding error.
  WASABIVALE_INVARIANT(Entry.m_QueuedCount > 0);
  --Entry.m_QueuedCount;
  WASABIVALE_INVARIANT(Entry.m_Callers[Index].m_Queued > 0);
  setBacklog(Entry, Index, Entry.m_Callers[Index].m_Queued - 1);
  rescheduleFlow(Entry, Queue, Index, Flow, Now);
}

void reschedule(State &Entry, CallerIndex Index, TimePoint Now) {
  if (Entry.m_Callers[Index].m_Queued == 0)
    return;
  for (auto &[Model, Queue] : Entry.m_Models) {
    const auto Found = Queue.m_Flows.find(Index);
    if (Found != Queue.m_Flows.end())
      rescheduleFlow(Entry, Queue, Index, Found->second, Now);
  }
}

void start(State &Entry, Ticket Id, bool FromQueue, TimePoint Now) {
  ActiveRequest &Request = activeRequest(Entry, Id);
  const CallerIndex Index = Request.m_Caller;
  CallerState &Caller = Entry.m_Callers[Index];
  ModelQueue &Queue = Entry.m_Models[Request.m_Model];
  CallerFlow &Flow = Queue.m_Flows[Index];
  unschedule(Queue, Index, Flow);
  chargeStart(Queue, Flow, seconds(Request.m_ServiceTime) / Caller.m_Weight,
              FromQueue, Now);
  Request.m_Running = true;
  Request.m_StartedAt = Now;
  ++Caller.m_Running;
  ++Entry.m_RunningCount;
  ++Queue.m_Running;
  ++Flow.m_Running;
  Queue.m_Continued += Request.m_IsContinued ? 1 : 0;
  WASABIVALE_INVARIANT(Caller.m_Running <= concurrencyShare(Caller));
  rescheduleFlow(Entry, Queue, Index, Flow, Now);
  reschedule(Entry, Index, Now);
  recordPeak(Entry, Index);
}

double expectedWait(const State &Entry, const ModelQueue &Queue,
                    CallerIndex Index, const AdmissionRequest &Request,
                    TimePoint Now) {
  const CallerState &Caller = Entry.m_Callers[Index];
  const double Slots = std::max(1.0, Request.m_Capacity.m_Slots);
  const double Service = seconds(Request.m_ServiceTime);
  const double Deciding = decidingSeconds(Request, Queue.m_Bias);
  const CallerFlow &Flow = Queue.m_Flows.at(Index);
  const TimePoint LatestStart = Request.m_Deadline - fromSeconds(Deciding);
  const double OwnWork =
      ownWorkAhead(Entry, Flow,
                   rankOf(Entry, LatestStart,
                          std::min(Request.m_Priority, MaxPriority), Now));
  const double Weights =
      Queue.m_WaitingWeight + (Flow.m_Waiting.empty() ? Caller.m_Weight : 0);
  // The caller's own work at its fair share, and one request of each caller
  // that precedes it.
  const double ActiveCount =
      static_cast<double>(Flow.m_Running + Flow.m_Waiting.size());
  const double FlowsBefore = isOverFairShare(Entry, Queue, Index, ActiveCount)
                                 ? static_cast<double>(Queue.m_Order.size())
                                 : flowsAhead(Entry, Queue, Index, Request);
  const double FairWork =
      OwnWork * Weights / Caller.m_Weight + FlowsBefore * Service;
  const double WorkAhead = std::min(Queue.m_Work, FairWork);
  const double SlotWait = Request.m_Capacity.m_FreeSlots > 0 ? 0 : Service;
  double Wait = (SlotWait + WorkAhead) / drainRate(Queue.m_Drain, Slots);
  const std::uint32_t Share = concurrencyShare(Caller);
  if (Caller.m_Running >= Share)
    Wait =
        std::max(Wait, Service * (Caller.m_Queued + 1) / std::max(1U, Share));
  return Wait;
}

std::optional<Ticket> nextToStart(State &Entry, TimePoint Now,
                                  const CapacityView &Capacities) {
  if (Entry.m_QueuedCount == 0)
    return std::nullopt;
  const auto [Queue, Index] = selectNext(Entry, Now, Capacities);
  if (Queue == nullptr)
    return std::nullopt;
  Queue->m_LastStartWasStarved = isStarvationDue(Entry, *Queue, Now);
  const CallerFlow &Flow = Queue->m_Flows.at(Index);
  const Ticket Id = std::get<Ticket>(*Flow.m_Waiting.begin());
  const double Work = seconds(activeRequest(Entry, Id).m_ServiceTime);
  recordDrain(Queue->m_Drain, Work, Now);
  dequeue(Entry, Id, Now);
  start(Entry, Id, true, Now);
  return Id;
}

std::vector<RefusedTicket> expire(State &Entry, TimePoint Now) {
  std::vector<RefusedTicket> Refusals;
  while (!Entry.m_ByLatestStart.empty() &&
         Entry.m_ByLatestStart.begin()->first < Now) {
    const Ticket Id = Entry.m_ByLatestStart.begin()->second;
    const ActiveRequest &Request = activeRequest(Entry, Id);
    Refusals.push_back(
        {Id, lateRefusal(Request, Entry.m_Models.at(Request.m_Model), Now)});
    abandon(Entry, Id, Now);
  }
  return Refusals;
}

std::optional<TimePoint> nextExpiry(const State &Entry) {
  if (Entry.m_ByLatestStart.empty())
    return std::nullopt;
  return Entry.m_ByLatestStart.begin()->first + Duration(1);
}

void abandon(State &Entry, Ticket Id, TimePoint Now) {
  dequeue(Entry, Id, Now);
  const ActiveRequest Request = activeRequest(Entry, Id);
  // The request used nothing, so the charge is refunded.
  charge(Entry.m_Callers[Request.m_Caller], -1.0,
         -static_cast<double>(Request.m_PromptTokens),
         -static_cast<double>(Request.m_OutputTokens));
  Entry.m_Active.erase(Id);
  releaseIfUnused(Entry, Request.m_Caller);
}

} // namespace wasabivale::limits
