// Decisions on arrivals, and the end of started requests.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

/// Weight of the newest answer in the mean of observed over expected time.
constexpr double BiasAlpha = 0.05;
constexpr double MinBias = 0.5;
constexpr double MaxBias = 4;

Decision refuse(Refusal Reason, Duration RetryAfter = {}) {
  return {Refused{Reason, RetryAfter}, {}};
}

void noteWanted(State &Entry, CallerIndex Index,
                const AdmissionRequest &Wanted) {
  Usage &Found = useOf(Entry, Index);
  ++Found.m_OfferedRequests;
  Found.m_OfferedPromptTokens += Wanted.m_PromptTokens;
  Found.m_OfferedOutputTokens += Wanted.m_OutputTokens;
}

/// Beyond its running requests a caller may have as many waiting, at least
/// one: the next grant may give it more.
bool isOverConcurrency(const Caller &Who) {
  const std::uint32_t Share = runningShare(Who);
  return Who.m_Running + Who.m_Queued >= Share + std::max(1U, Share);
}

std::optional<Refused> overLimits(State &Entry, Caller &Who,
                                  const AdmissionRequest &Wanted,
                                  TimePoint Now) {
  const Settings &Options = Entry.m_Settings;
  if (Now >= Who.m_ShareUntil)
    return Refused{Refusal::NoConfiguration, Options.m_ShareRenewal};
  if (Wanted.m_Deadline <= Now)
    return Refused{Refusal::DeadlinePassed, {}};
  if (isOverConcurrency(Who))
    return Refused{Refusal::ConcurrencyLimited, Options.m_ShareRenewal};
  refill(Options, Who, Now);
  return overRate(Options, Who, Wanted);
}

double biasOf(const State &Entry, const ModelId &Model) {
  const auto Found = Entry.m_Models.find(Model);
  return Found == Entry.m_Models.end() ? 1 : Found->second.m_Bias;
}

/// Whether a caller has more of the queue than its weight gives it.
bool isOverQueueShare(const State &Entry, const Caller &Who) {
  double Weights = Who.m_Queued > 0 ? 0 : Who.m_Weight;
  for (const auto &[Backlog, Index] : Entry.m_ByBacklog)
    Weights += Entry.m_Callers[Index].m_Weight;
  const double Fair = static_cast<double>(Entry.m_Settings.m_MaxQueued) *
                      Who.m_Weight / Weights;
  return Who.m_Queued + 1 > Fair;
}

/// The least urgent waiting request of a caller.
Ticket worstOf(const State &Entry, CallerIndex Index) {
  const Place *Worst = nullptr;
  for (const auto &[Model, Queue] : Entry.m_Models) {
    const auto Found = Queue.m_Flows.find(Index);
    if (Found == Queue.m_Flows.end() || Found->second.m_Waiting.empty())
      continue;
    const Place &Last = *Found->second.m_Waiting.rbegin();
    if (Worst == nullptr || *Worst < Last)
      Worst = &Last;
  }
  WASABIVALE_INVARIANT(Worst != nullptr);
  return std::get<Ticket>(*Worst);
}

/// Makes room in a full queue at the cost of the caller with the longest
/// backlog for its weight; fails if that is the arriving caller itself.
bool makeRoom(State &Entry, const Caller &Who, std::vector<RefusedTicket> &Out,
              TimePoint Now) {
  if (Entry.m_QueuedCount < Entry.m_Settings.m_MaxQueued)
    return true;
  if (Entry.m_ByBacklog.empty())
    return false;
  const auto [Backlog, Index] = *Entry.m_ByBacklog.rbegin();
  if ((Who.m_Queued + 1) / Who.m_Weight >= Backlog)
    return false;
  const Ticket Worst = worstOf(Entry, Index);
  Out.push_back(
      {Worst, {Refusal::OverFairShare, Entry.m_Settings.m_ShareRenewal}});
  abandon(Entry, Worst, Now);
  return true;
}

Ticket hold(State &Entry, CallerIndex Index, const AdmissionRequest &Wanted,
            TimePoint Now) {
  const Ticket Id = Entry.m_NextTicket++;
  Held Request;
  Request.m_Caller = Index;
  Request.m_Model = Wanted.m_Model;
  Request.m_Priority = std::min(Wanted.m_Priority, MaxPriority);
  Request.m_PromptTokens = Wanted.m_PromptTokens;
  Request.m_OutputTokens = Wanted.m_OutputTokens;
  Request.m_ArrivedAt = Now;
  Request.m_Deadline = Wanted.m_Deadline;
  Request.m_ServiceTime = Wanted.m_ServiceTime;
  const double Service =
      seconds(Wanted.m_ServiceTime) * biasOf(Entry, Wanted.m_Model);
  Request.m_LatestStart = Wanted.m_Deadline - fromSeconds(Service);
  Entry.m_Held.emplace(Id, Request);
  charge(Entry.m_Callers[Index], 1, Wanted.m_PromptTokens,
         Wanted.m_OutputTokens);
  return Id;
}

struct Forecast {
  double m_Wait = 0;    ///< Seconds until the start.
  double m_Service = 0; ///< Seconds from start to end.
};

Forecast forecastOf(const State &Entry, const ModelQueue &Queue,
                    CallerIndex Index, const AdmissionRequest &Wanted,
                    bool AtOnce, TimePoint Now) {
  Forecast Found;
  Found.m_Service = seconds(Wanted.m_ServiceTime) * Queue.m_Bias;
  if (!AtOnce)
    Found.m_Wait = expectedWait(Entry, Queue, Index, Wanted, Now);
  return Found;
}

/// Seconds by which the request would miss its deadline; negative if not.
double lateBy(const Forecast &Times, const AdmissionRequest &Wanted,
              double Margin, TimePoint Now) {
  const double Left = seconds(Wanted.m_Deadline - Now);
  return Times.m_Wait + Times.m_Service - Left * (1 - Margin);
}

/// A caller clearly over its part must leave a margin before it waits. Another
/// is not refused for that: the others' waiting is no reason.
double marginFor(const State &Entry, const ModelQueue &Queue, CallerIndex Index,
                 bool AtOnce) {
  /// Counts of small callers vary about their part.
  constexpr double ClearlyOver = 1.5;
  const Flow &Line = Queue.m_Flows.at(Index);
  const double InPlace =
      static_cast<double>(Line.m_Running + Line.m_Waiting.size());
  if (AtOnce || !isOverPart(Entry, Queue, Index, InPlace / ClearlyOver))
    return 0;
  return Entry.m_Settings.m_DeadlineMargin;
}

void noteBias(ModelQueue &Queue, const Held &Request, TimePoint Now) {
  const double Expected = seconds(Request.m_ServiceTime);
  if (Expected <= 0)
    return;
  const double Ratio = seconds(Now - Request.m_StartedAt) / Expected;
  Queue.m_Bias +=
      BiasAlpha * (std::clamp(Ratio, MinBias, MaxBias) - Queue.m_Bias);
}

} // namespace

Decision admit(State &Entry, const AdmissionRequest &Wanted, TimePoint Now) {
  const auto Found = Entry.m_ByCaller.find(Wanted.m_Caller);
  if (Found == Entry.m_ByCaller.end())
    return refuse(Refusal::UnknownKey);
  const CallerIndex Index = Found->second;
  noteWanted(Entry, Index, Wanted);
  const std::optional<Refused> Over =
      overLimits(Entry, Entry.m_Callers[Index], Wanted, Now);
  if (Over)
    return {*Over, {}};
  if (Wanted.m_Capacity.m_Slots <= 0)
    return refuse(Refusal::NoTarget, Entry.m_Settings.m_ShareRenewal);

  ModelQueue &Queue = Entry.m_Models[Wanted.m_Model];
  noteDemand(Entry, Queue, Index, Now);
  const bool AtOnce = mayStart(Entry.m_Callers[Index], Now) &&
                      Queue.m_Order.empty() &&
                      hasRoomFor(Entry, Queue, Index, Wanted.m_Capacity);
  const Forecast Times = forecastOf(Entry, Queue, Index, Wanted, AtOnce, Now);
  const double Margin = marginFor(Entry, Queue, Index, AtOnce);
  const double Late = lateBy(Times, Wanted, Margin, Now);
  if (Late > 0)
    return refuse(Refusal::CannotMeetDeadline,
                  fromSeconds(std::min(Late, Times.m_Wait + 1)));

  Decision Made;
  if (AtOnce) {
    const Ticket Id = hold(Entry, Index, Wanted, Now);
    start(Entry, Id, false, Now);
    Made.m_Verdict = Admitted{Id};
    return Made;
  }
  if (!makeRoom(Entry, Entry.m_Callers[Index], Made.m_Evicted, Now))
    return refuse(
        isOverQueueShare(Entry, Entry.m_Callers[Index]) ? Refusal::OverFairShare
                                                        : Refusal::QueueFull,
        std::max(fromSeconds(Times.m_Wait), Entry.m_Settings.m_ShareRenewal));
  const Ticket Id = hold(Entry, Index, Wanted, Now);
  enqueue(Entry, Id, Now);
  notePeak(Entry, Index);
  Made.m_Verdict = Queued{Id, Now + fromSeconds(Times.m_Wait)};
  return Made;
}

void finish(State &Entry, Ticket Id, const UsedTokens &Used, TimePoint Now) {
  const auto Found = Entry.m_Held.find(Id);
  WASABIVALE_INVARIANT(Found != Entry.m_Held.end());
  const Held Request = Found->second;
  WASABIVALE_INVARIANT(Request.m_Running);
  Entry.m_Held.erase(Found);
  const CallerIndex Index = Request.m_Caller;
  Caller &Who = Entry.m_Callers[Index];
  WASABIVALE_INVARIANT(Who.m_Running > 0 && Entry.m_RunningCount > 0);
  --Who.m_Running;
  --Entry.m_RunningCount;
  ModelQueue &Queue = Entry.m_Models.at(Request.m_Model);
  Flow &Line = Queue.m_Flows.at(Index);
  WASABIVALE_INVARIANT(Queue.m_Running > 0 && Line.m_Running > 0);
  --Queue.m_Running;
  --Line.m_Running;
  refill(Entry.m_Settings, Who, Now);
  const double Prompt = Used.m_Ran ? Used.m_PromptTokens : 0;
  const double Output = Used.m_Ran ? Used.m_OutputTokens : 0;
  charge(Who, Used.m_Ran ? 0 : -1, Prompt - Request.m_PromptTokens,
         Output - Request.m_OutputTokens);
  if (Used.m_Ran) {
    Usage &Total = useOf(Entry, Index);
    ++Total.m_Requests;
    Total.m_PromptTokens += Used.m_PromptTokens;
    Total.m_OutputTokens += Used.m_OutputTokens;
    noteBias(Queue, Request, Now);
  }
  relist(Entry, Index, Now);
  freeIfUnused(Entry, Index);
}

} // namespace wasabivale::limits
