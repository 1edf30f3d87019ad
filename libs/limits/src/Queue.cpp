// Fair queue: start-time fair queueing across callers for each model, and
// priority with ageing within a caller.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

Held &heldOf(State &Entry, Ticket Id) {
  const auto Found = Entry.m_Held.find(Id);
  WASABIVALE_INVARIANT(Found != Entry.m_Held.end());
  return Found->second;
}

unsigned headPriority(const State &Entry, const Flow &Line) {
  const Ticket Head = std::get<Ticket>(*Line.m_Waiting.begin());
  return Entry.m_Held.at(Head).m_Priority;
}

void unlist(ModelQueue &Queue, CallerIndex Index, Flow &Line) {
  if (!Line.m_Listed)
    return;
  Queue.m_Order.erase({Line.m_Key, Index});
  Queue.m_Starved.erase({Line.m_LastStart, Index});
  Line.m_Listed = false;
}

void list(const State &Entry, ModelQueue &Queue, CallerIndex Index,
          Flow &Line) {
  const double Credit = seconds(Entry.m_Settings.m_PriorityCredit);
  if (Line.m_Barred) // Time that it could not use is not made up for.
    Line.m_Finish = std::max(Queue.m_Virtual, Line.m_Finish);
  Line.m_Barred = false;
  Line.m_Key = Line.m_Finish - Credit * headPriority(Entry, Line);
  Queue.m_Order.insert({Line.m_Key, Index});
  Queue.m_Starved.insert({Line.m_LastStart, Index});
  Line.m_Listed = true;
}

/// Lists a flow anew: its head, its caller or its tags have changed.
void relistFlow(const State &Entry, ModelQueue &Queue, CallerIndex Index,
                Flow &Line, TimePoint Now) {
  unlist(Queue, Index, Line);
  if (Line.m_Waiting.empty())
    return;
  if (mayStart(Entry.m_Callers[Index], Now))
    list(Entry, Queue, Index, Line);
  else
    Line.m_Barred = true;
}

/// Whether a starved caller goes next: at most at every second start.
bool starvedTurn(const State &Entry, const ModelQueue &Queue, TimePoint Now) {
  const TimePoint LastStart = Queue.m_Starved.begin()->first;
  return !Queue.m_LastWasStarved &&
         Now - LastStart >= Entry.m_Settings.m_StarvationBound;
}

/// The first caller of the fair order that finds room.
std::optional<CallerIndex> fairTurn(const State &Entry, const ModelQueue &Queue,
                                    const Capacity &Room) {
  for (const auto &[Key, Index] : Queue.m_Order)
    if (hasRoomFor(Entry, Queue, Index, Room))
      return Index;
  return std::nullopt;
}

/// A caller whose turn has come: by starvation, else by the fair order. The
/// starved need no reserve.
std::optional<CallerIndex> turnOf(const State &Entry, const ModelQueue &Queue,
                                  const Capacity &Room, TimePoint Now) {
  if (Room.m_FreeSlots == 0)
    return std::nullopt;
  if (starvedTurn(Entry, Queue, Now))
    return Queue.m_Starved.begin()->second;
  return fairTurn(Entry, Queue, Room);
}

/// Unlists flows at the front whose caller's lease has run out.
template <typename OrderType>
void dropLapsed(const State &Entry, ModelQueue &Queue, const OrderType &Order,
                TimePoint Now) {
  while (!Order.empty()) {
    const CallerIndex Index = Order.begin()->second;
    if (mayStart(Entry.m_Callers[Index], Now))
      return;
    Flow &Line = Queue.m_Flows.at(Index);
    unlist(Queue, Index, Line);
    Line.m_Barred = true;
  }
}

bool hasTurn(const State &Entry, ModelQueue &Queue, TimePoint Now) {
  dropLapsed(Entry, Queue, Queue.m_Starved, Now);
  dropLapsed(Entry, Queue, Queue.m_Order, Now);
  return !Queue.m_Order.empty();
}

struct Turn {
  ModelQueue *m_Queue = nullptr; ///< Null: nothing may start.
  CallerIndex m_Caller = 0;
};

/// Of the models with work and room, the one that has waited longest.
Turn nextTurn(State &Entry, TimePoint Now, const CapacityView &Room) {
  Turn Best;
  for (auto &[Model, Queue] : Entry.m_Models) {
    if (Best.m_Queue != nullptr &&
        Queue.m_LastStart >= Best.m_Queue->m_LastStart)
      continue;
    if (!hasTurn(Entry, Queue, Now))
      continue;
    if (const auto Found = turnOf(Entry, Queue, Room(Model), Now))
      Best = {&Queue, *Found};
  }
  return Best;
}

Refused lateRefusal(const Held &Request, const ModelQueue &Queue,
                    TimePoint Now) {
  if (Request.m_Deadline <= Now)
    return {Refusal::DeadlinePassed, {}};
  // The work that waits now must shrink by what this request lacked.
  const Duration Lacking = Now + Request.m_ServiceTime - Request.m_Deadline;
  return {Refusal::CannotMeetDeadline,
          std::max(Lacking, fromSeconds(Queue.m_Work > 0 ? 1 : 0.1))};
}

/// A start from the queue shows how fast it drains.
void noteDrained(DrainRate &Drain, double Work, TimePoint Now) {
  constexpr double Memory = 5; // Seconds.
  const double Elapsed = std::max(0.0, seconds(Now - Drain.m_At));
  const double Kept = std::exp(-Elapsed / Memory);
  Drain.m_Work = Drain.m_Work * Kept + Work;
  Drain.m_Seconds = Drain.m_Seconds * Kept + Elapsed;
  Drain.m_At = Now;
}

/// Slot time that starts for each second: as seen, and as the slots allow as
/// long as little has been seen.
double drainRate(const DrainRate &Drain, double Slots) {
  constexpr double Prior = 1; // Seconds.
  return std::max(1e-3,
                  (Drain.m_Work + Slots * Prior) / (Drain.m_Seconds + Prior));
}

/// Callers whose turn comes before that of the arrival.
double flowsAhead(const State &Entry, const ModelQueue &Queue,
                  CallerIndex Index, const AdmissionRequest &Wanted) {
  constexpr int MostCounted = 64;
  const auto Found = Queue.m_Flows.find(Index);
  const double Finish =
      Found == Queue.m_Flows.end() ? 0 : Found->second.m_Finish;
  const unsigned Priority = std::min(Wanted.m_Priority, MaxPriority);
  const double Key = std::max(Queue.m_Virtual, Finish) -
                     seconds(Entry.m_Settings.m_PriorityCredit) * Priority;
  int Count = 0;
  for (const auto &[Other, Caller] : Queue.m_Order) {
    if (Other > Key || Count == MostCounted)
      break;
    ++Count;
  }
  return Count;
}

/// Charges a start to the fair queue. A flow that waits keeps its own tag,
/// although priority may have let the virtual time run ahead of it.
void chargeStart(ModelQueue &Queue, Flow &Line, double Cost, bool Waited,
                 TimePoint Now) {
  const double Tag =
      Waited ? Line.m_Finish : std::max(Queue.m_Virtual, Line.m_Finish);
  Queue.m_Virtual = std::max(Queue.m_Virtual, Tag);
  Line.m_Finish = Tag + Cost;
  Line.m_LastStart = Now;
  Queue.m_LastStart = Now;
}

/// A caller's own requests go by the latest start that keeps their deadline:
/// by arrival, short ones would miss theirs behind long ones. No further ahead
/// than the starvation bound, so that all age.
TimePoint rankOf(const State &Entry, TimePoint LatestStart, unsigned Priority,
                 TimePoint Now) {
  const TimePoint Furthest = Now + Entry.m_Settings.m_StarvationBound;
  return std::min(LatestStart, Furthest) -
         Entry.m_Settings.m_AgeStep * static_cast<int>(Priority);
}

/// Seconds of slot time of a caller's own requests that go before an arrival.
double ownAhead(const State &Entry, const Flow &Line, TimePoint Rank) {
  constexpr int MostCounted = 64;
  double Work = 0;
  int Count = 0;
  for (const auto &[Other, Id] : Line.m_Waiting) {
    if (Other > Rank)
      return Work;
    if (++Count > MostCounted)
      return Line.m_Work;
    Work += seconds(Entry.m_Held.at(Id).m_ServiceTime);
  }
  return Work;
}

} // namespace

void fileBacklog(State &Entry, CallerIndex Index, std::uint32_t Queued) {
  Caller &Who = Entry.m_Callers[Index];
  if (Who.m_Queued > 0)
    Entry.m_ByBacklog.erase({Who.m_Queued / Who.m_Weight, Index});
  Who.m_Queued = Queued;
  if (Who.m_Queued > 0)
    Entry.m_ByBacklog.insert({Who.m_Queued / Who.m_Weight, Index});
}

void enqueue(State &Entry, Ticket Id, TimePoint Now) {
  Held &Request = heldOf(Entry, Id);
  const CallerIndex Index = Request.m_Caller;
  ModelQueue &Queue = Entry.m_Models[Request.m_Model];
  Flow &Line = Queue.m_Flows[Index];
  unlist(Queue, Index, Line);
  if (Queue.m_Weights <= 0)
    Queue.m_Drain.m_At = Now;
  if (Line.m_Waiting.empty()) {
    Queue.m_Weights += Entry.m_Callers[Index].m_Weight;
    Line.m_Finish = std::max(Queue.m_Virtual, Line.m_Finish);
    Line.m_LastStart = Now;
  }
  Request.m_Place = {
      rankOf(Entry, Request.m_LatestStart, Request.m_Priority, Now), Id};
  Line.m_Waiting.insert(Request.m_Place);
  Line.m_Work += seconds(Request.m_ServiceTime);
  Queue.m_Work += seconds(Request.m_ServiceTime);
  Entry.m_ByLatestStart.insert({Request.m_LatestStart, Id});
  ++Entry.m_QueuedCount;
  fileBacklog(Entry, Index, Entry.m_Callers[Index].m_Queued + 1);
  relistFlow(Entry, Queue, Index, Line, Now);
}

void dequeue(State &Entry, Ticket Id, TimePoint Now) {
  Held &Request = heldOf(Entry, Id);
  WASABIVALE_INVARIANT(!Request.m_Running);
  const CallerIndex Index = Request.m_Caller;
  ModelQueue &Queue = Entry.m_Models.at(Request.m_Model);
  Flow &Line = Queue.m_Flows.at(Index);
  unlist(Queue, Index, Line);
  const std::size_t Waited = Line.m_Waiting.erase(Request.m_Place);
  WASABIVALE_INVARIANT(Waited == 1);
  Entry.m_ByLatestStart.erase({Request.m_LatestStart, Id});
  Line.m_Work -= seconds(Request.m_ServiceTime);
  Queue.m_Work -= seconds(Request.m_ServiceTime);
  if (Line.m_Waiting.empty()) {
    Queue.m_Work -= Line.m_Work;
    Line.m_Work = 0; // Sheds what rounding left.
    Queue.m_Weights -= Entry.m_Callers[Index].m_Weight;
  }
  if (Queue.m_Weights < LeastWeight / 2)
    Queue.m_Weights = 0; // Sheds what rounding left.
  WASABIVALE_INVARIANT(Entry.m_QueuedCount > 0);
  --Entry.m_QueuedCount;
  WASABIVALE_INVARIANT(Entry.m_Callers[Index].m_Queued > 0);
  fileBacklog(Entry, Index, Entry.m_Callers[Index].m_Queued - 1);
  relistFlow(Entry, Queue, Index, Line, Now);
}

void relist(State &Entry, CallerIndex Index, TimePoint Now) {
  if (Entry.m_Callers[Index].m_Queued == 0)
    return;
  for (auto &[Model, Queue] : Entry.m_Models) {
    const auto Found = Queue.m_Flows.find(Index);
    if (Found != Queue.m_Flows.end())
      relistFlow(Entry, Queue, Index, Found->second, Now);
  }
}

void start(State &Entry, Ticket Id, bool Waited, TimePoint Now) {
  Held &Request = heldOf(Entry, Id);
  const CallerIndex Index = Request.m_Caller;
  Caller &Who = Entry.m_Callers[Index];
  ModelQueue &Queue = Entry.m_Models[Request.m_Model];
  Flow &Line = Queue.m_Flows[Index];
  unlist(Queue, Index, Line);
  chargeStart(Queue, Line, seconds(Request.m_ServiceTime) / Who.m_Weight,
              Waited, Now);
  Request.m_Running = true;
  Request.m_StartedAt = Now;
  ++Who.m_Running;
  ++Entry.m_RunningCount;
  ++Queue.m_Running;
  ++Line.m_Running;
  WASABIVALE_INVARIANT(Who.m_Running <= runningShare(Who));
  relistFlow(Entry, Queue, Index, Line, Now);
  relist(Entry, Index, Now);
  notePeak(Entry, Index);
}

double expectedWait(const State &Entry, const ModelQueue &Queue,
                    CallerIndex Index, const AdmissionRequest &Wanted,
                    TimePoint Now) {
  const Caller &Who = Entry.m_Callers[Index];
  const double Slots = std::max(1.0, Wanted.m_Capacity.m_Slots);
  const double Service = seconds(Wanted.m_ServiceTime);
  const Flow &Line = Queue.m_Flows.at(Index);
  const TimePoint LatestStart =
      Wanted.m_Deadline - fromSeconds(Service * Queue.m_Bias);
  const double Own =
      ownAhead(Entry, Line,
               rankOf(Entry, LatestStart,
                      std::min(Wanted.m_Priority, MaxPriority), Now));
  const double Weights =
      Queue.m_Weights + (Line.m_Waiting.empty() ? Who.m_Weight : 0);
  // Its own requests at its fair part, and one of each caller before it.
  const double InPlace =
      static_cast<double>(Line.m_Running + Line.m_Waiting.size());
  const double Before = isOverPart(Entry, Queue, Index, InPlace)
                            ? static_cast<double>(Queue.m_Order.size())
                            : flowsAhead(Entry, Queue, Index, Wanted);
  const double Fair = Own * Weights / Who.m_Weight + Before * Service;
  const double Ahead = std::min(Queue.m_Work, Fair);
  const double SlotFrees = Wanted.m_Capacity.m_FreeSlots > 0 ? 0 : Service;
  double Wait = (SlotFrees + Ahead) / drainRate(Queue.m_Drain, Slots);
  const std::uint32_t Share = runningShare(Who);
  if (Who.m_Running >= Share)
    Wait = std::max(Wait, Service * (Who.m_Queued + 1) / std::max(1U, Share));
  return Wait;
}

std::optional<Ticket> nextToStart(State &Entry, TimePoint Now,
                                  const CapacityView &Room) {
  if (Entry.m_QueuedCount == 0)
    return std::nullopt;
  const auto [Queue, Index] = nextTurn(Entry, Now, Room);
  if (Queue == nullptr)
    return std::nullopt;
  Queue->m_LastWasStarved = starvedTurn(Entry, *Queue, Now);
  const Flow &Line = Queue->m_Flows.at(Index);
  const Ticket Id = std::get<Ticket>(*Line.m_Waiting.begin());
  const double Work = seconds(heldOf(Entry, Id).m_ServiceTime);
  noteDrained(Queue->m_Drain, Work, Now);
  dequeue(Entry, Id, Now);
  start(Entry, Id, true, Now);
  return Id;
}

std::vector<RefusedTicket> expire(State &Entry, TimePoint Now) {
  std::vector<RefusedTicket> Late;
  while (!Entry.m_ByLatestStart.empty() &&
         Entry.m_ByLatestStart.begin()->first < Now) {
    const Ticket Id = Entry.m_ByLatestStart.begin()->second;
    const Held &Request = heldOf(Entry, Id);
    Late.push_back(
        {Id, lateRefusal(Request, Entry.m_Models.at(Request.m_Model), Now)});
    abandon(Entry, Id, Now);
  }
  return Late;
}

std::optional<TimePoint> nextExpiry(const State &Entry) {
  if (Entry.m_ByLatestStart.empty())
    return std::nullopt;
  return Entry.m_ByLatestStart.begin()->first + Duration(1);
}

void abandon(State &Entry, Ticket Id, TimePoint Now) {
  dequeue(Entry, Id, Now);
  const Held Request = heldOf(Entry, Id);
  // It used nothing: its budgets get back what they were charged.
  charge(Entry.m_Callers[Request.m_Caller], -1.0,
         -static_cast<double>(Request.m_PromptTokens),
         -static_cast<double>(Request.m_OutputTokens));
  Entry.m_Held.erase(Id);
  freeIfUnused(Entry, Request.m_Caller);
}

} // namespace wasabivale::limits
