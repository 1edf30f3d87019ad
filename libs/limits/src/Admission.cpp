// Admission decisions, and the end of started requests.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

/// Weight of a new sample in the moving average of observed over expected
/// service time.
constexpr double BiasAlpha = 0.05;
constexpr double MinBias = 0.5;
constexpr double MaxBias = 4;

Decision refuse(Refusal Reason, Duration RetryAfter = {}) {
  return {Refused{Reason, RetryAfter}, {}};
}

void recordOfferedLoad(State &Entry, CallerIndex Index,
                       const AdmissionRequest &Request) {
  Usage &Total = usageOf(Entry, Index);
  ++Total.m_OfferedRequests;
  Total.m_OfferedPromptTokens += Request.m_PromptTokens;
  Total.m_OfferedOutputTokens += Request.m_OutputTokens;
}

/// Whether the caller has reached its concurrency limit. As many requests may
/// wait as may run, and at least one, because the next share may be larger.
bool isOverConcurrency(const CallerState &Caller) {
  const std::uint32_t Share = concurrencyShare(Caller);
  return Caller.m_Running + Caller.m_Queued >= Share + std::max(1U, Share);
}

std::optional<Refused> checkLimits(State &Entry, CallerState &Caller,
                                   const AdmissionRequest &Request,
                                   TimePoint Now) {
  const Settings &Options = Entry.m_Settings;
  if (Now >= Caller.m_ShareExpiresAt)
    return Refused{Refusal::NoConfiguration, Options.m_ShareRenewal};
  if (Request.m_Deadline <= Now)
    return Refused{Refusal::DeadlinePassed, {}};
  if (isOverConcurrency(Caller))
    return Refused{Refusal::ConcurrencyLimited, Options.m_ShareRenewal};
  refill(Options, Caller, Now);
  return checkRates(Options, Caller, Request);
}

double biasOf(const State &Entry, const ModelId &Model) {
  const auto Found = Entry.m_Models.find(Model);
  return Found == Entry.m_Models.end() ? 1 : Found->second.m_Bias;
}

/// Whether one more waiting request would exceed the caller's part of the
/// queue, divided by weight.
bool isOverQueueShare(const State &Entry, const CallerState &Caller) {
  double Weights = Caller.m_Queued > 0 ? 0 : Caller.m_Weight;
  for (const auto &[Backlog, Index] : Entry.m_ByBacklog)
    Weights += Entry.m_Callers[Index].m_Weight;
  const double QueueShare = static_cast<double>(Entry.m_Settings.m_MaxQueued) *
                            Caller.m_Weight / Weights;
  return Caller.m_Queued + 1 > QueueShare;
}

/// The least urgent waiting request of a caller.
Ticket leastUrgentOf(const State &Entry, CallerIndex Index) {
  const QueuePosition *LeastUrgent = nullptr;
  for (const auto &[Model, Queue] : Entry.m_Models) {
    const auto Found = Queue.m_Flows.find(Index);
    if (Found == Queue.m_Flows.end() || Found->second.m_Waiting.empty())
      continue;
    const QueuePosition &Last = *Found->second.m_Waiting.rbegin();
    if (LeastUrgent == nullptr || *LeastUrgent < Last)
      LeastUrgent = &Last;
  }
  WASABIVALE_INVARIANT(LeastUrgent != nullptr);
  return std::get<Ticket>(*LeastUrgent);
}

/// Evicts a waiting request from a full queue, from the caller with the longest
/// backlog relative to its weight. Returns false if the arriving caller would
/// have the longest.
bool makeQueueSpace(State &Entry, const CallerState &Caller,
                    std::vector<RefusedTicket> &Evicted, TimePoint Now) {
  if (Entry.m_QueuedCount < Entry.m_Settings.m_MaxQueued)
    return true;
  if (Entry.m_ByBacklog.empty())
    return false;
  const auto [Backlog, Index] = *Entry.m_ByBacklog.rbegin();
  if ((Caller.m_Queued + 1) / Caller.m_Weight >= Backlog)
    return false;
  const Ticket LeastUrgent = leastUrgentOf(Entry, Index);
  Evicted.push_back(
      {LeastUrgent, {Refusal::OverFairShare, Entry.m_Settings.m_ShareRenewal}});
  abandon(Entry, LeastUrgent, Now);
  return true;
}

Ticket addActive(State &Entry, CallerIndex Index,
                 const AdmissionRequest &Request, TimePoint Now) {
  const Ticket Id = Entry.m_NextTicket++;
  ActiveRequest Active;
  Active.m_Caller = Index;
  Active.m_Model = Request.m_Model;
  Active.m_Priority = std::min(Request.m_Priority, MaxPriority);
  Active.m_IsContinued = Request.m_IsContinued;
  Active.m_PromptTokens = Request.m_PromptTokens;
  Active.m_OutputTokens = Request.m_OutputTokens;
  Active.m_ArrivedAt = Now;
  Active.m_Deadline = Request.m_Deadline;
  Active.m_ServiceTime = Request.m_ServiceTime;
  Active.m_MinServiceTime = Request.m_MinServiceTime;
  Active.m_LatestStart =
      Request.m_Deadline -
      fromSeconds(decidingSeconds(Request, biasOf(Entry, Request.m_Model)));
  Entry.m_Active.emplace(Id, Active);
  charge(Entry.m_Callers[Index], 1, Request.m_PromptTokens,
         Request.m_OutputTokens);
  return Id;
}

struct Forecast {
  double m_Wait = 0;    ///< Seconds until the start.
  double m_Service = 0; ///< Seconds from start to end.
};

Forecast forecast(const State &Entry, const ModelQueue &Queue,
                  CallerIndex Index, const AdmissionRequest &Request,
                  bool StartNow, TimePoint Now) {
  Forecast Result;
  Result.m_Service = decidingSeconds(Request, Queue.m_Bias);
  if (!StartNow)
    Result.m_Wait = expectedWait(Entry, Queue, Index, Request, Now);
  return Result;
}

/// Seconds by which the request would miss its deadline less the margin;
/// negative if it would meet it.
double lateness(const Forecast &Expected, const AdmissionRequest &Request,
                double Margin, TimePoint Now) {
  const double Remaining = seconds(Request.m_Deadline - Now);
  return Expected.m_Wait + Expected.m_Service - Remaining * (1 - Margin);
}

/// Fraction of the time to the deadline that must stay free if the request has
/// to wait. It applies only to a caller clearly over its fair share, so that a
/// backlog of other callers does not cause a refusal.
double marginFor(const State &Entry, const ModelQueue &Queue, CallerIndex Index,
                 bool StartNow) {
  /// The request count of a small caller fluctuates around its fair share.
  constexpr double OverShareFactor = 1.5;
  const CallerFlow &Flow = Queue.m_Flows.at(Index);
  const double ActiveCount =
      static_cast<double>(Flow.m_Running + Flow.m_Waiting.size());
  if (StartNow ||
      !isOverFairShare(Entry, Queue, Index, ActiveCount / OverShareFactor))
    return 0;
  return Entry.m_Settings.m_DeadlineMargin;
}

/// Whether the request starts before those that wait.
bool startsAhead(const State &Entry, const ModelQueue &Queue,
                 const AdmissionRequest &Request) {
  const double Most =
      Entry.m_Settings.m_ContinuedFraction * Request.m_Capacity.m_Slots;
  return Request.m_IsContinued && Queue.m_Continued < std::max(1.0, Most);
}

void updateBias(ModelQueue &Queue, const ActiveRequest &Request,
                TimePoint Now) {
  const double Expected = seconds(Request.m_ServiceTime);
  if (Expected <= 0)
    return;
  const double Ratio = seconds(Now - Request.m_StartedAt) / Expected;
  Queue.m_Bias +=
      BiasAlpha * (std::clamp(Ratio, MinBias, MaxBias) - Queue.m_Bias);
}

} // namespace

Decision admit(State &Entry, const AdmissionRequest &Request, TimePoint Now) {
  const auto Found = Entry.m_ByCaller.find(Request.m_Caller);
  if (Found == Entry.m_ByCaller.end())
    return refuse(Refusal::UnknownKey);
  const CallerIndex Index = Found->second;
  recordOfferedLoad(Entry, Index, Request);
  const std::optional<Refused> Violation =
      checkLimits(Entry, Entry.m_Callers[Index], Request, Now);
  if (Violation)
    return {*Violation, {}};
  if (Request.m_Capacity.m_Slots <= 0)
    return refuse(Refusal::NoTarget, Entry.m_Settings.m_ShareRenewal);

  ModelQueue &Queue = Entry.m_Models[Request.m_Model];
  recordDemand(Entry, Queue, Index, Now);
  const bool StartNow =
      mayStart(Entry.m_Callers[Index], Now) &&
      (startsAhead(Entry, Queue, Request) ||
       (Queue.m_Order.empty() &&
        hasFreeSlotFor(Entry, Queue, Index, Request.m_Capacity)));
  const Forecast Expected =
      forecast(Entry, Queue, Index, Request, StartNow, Now);
  const double Margin = marginFor(Entry, Queue, Index, StartNow);
  const double Lateness = lateness(Expected, Request, Margin, Now);
  if (Lateness > 0)
    return refuse(Refusal::CannotMeetDeadline,
                  fromSeconds(std::min(Lateness, Expected.m_Wait + 1)));

  Decision Result;
  if (StartNow) {
    const Ticket Id = addActive(Entry, Index, Request, Now);
    start(Entry, Id, false, Now);
    Result.m_Verdict = Admitted{Id};
    return Result;
  }
  if (!makeQueueSpace(Entry, Entry.m_Callers[Index], Result.m_Evicted, Now))
    return refuse(isOverQueueShare(Entry, Entry.m_Callers[Index])
                      ? Refusal::OverFairShare
                      : Refusal::QueueFull,
                  std::max(fromSeconds(Expected.m_Wait),
                           Entry.m_Settings.m_ShareRenewal));
  const Ticket Id = addActive(Entry, Index, Request, Now);
  enqueue(Entry, Id, Now);
  recordPeak(Entry, Index);
  Result.m_Verdict = Queued{Id, Now + fromSeconds(Expected.m_Wait)};
  return Result;
}

void finish(State &Entry, Ticket Id, const UsedTokens &Used, TimePoint Now) {
  const auto Found = Entry.m_Active.find(Id);
  WASABIVALE_INVARIANT(Found != Entry.m_Active.end());
  const ActiveRequest Request = Found->second;
  WASABIVALE_INVARIANT(Request.m_Running);
  Entry.m_Active.erase(Found);
  const CallerIndex Index = Request.m_Caller;
  CallerState &Caller = Entry.m_Callers[Index];
  WASABIVALE_INVARIANT(Caller.m_Running > 0 && Entry.m_RunningCount > 0);
  --Caller.m_Running;
  --Entry.m_RunningCount;
  ModelQueue &Queue = Entry.m_Models.at(Request.m_Model);
  CallerFlow &Flow = Queue.m_Flows.at(Index);
  WASABIVALE_INVARIANT(Queue.m_Running > 0 && Flow.m_Running > 0);
  --Queue.m_Running;
  --Flow.m_Running;
  Queue.m_Continued -= Request.m_IsContinued ? 1 : 0;
  refill(Entry.m_Settings, Caller, Now);
  const double Prompt = Used.m_Ran ? Used.m_PromptTokens : 0;
  const double Output = Used.m_Ran ? Used.m_OutputTokens : 0;
  charge(Caller, Used.m_Ran ? 0 : -1, Prompt - Request.m_PromptTokens,
         Output - Request.m_OutputTokens);
  if (Used.m_Ran) {
    Usage &Total = usageOf(Entry, Index);
    ++Total.m_Requests;
    Total.m_PromptTokens += Used.m_PromptTokens;
    Total.m_OutputTokens += Used.m_OutputTokens;
    updateBias(Queue, Request, Now);
  }
  reschedule(Entry, Index, Now);
  releaseIfUnused(Entry, Index);
}

} // namespace wasabivale::limits
