// Callers' shares: leases, rates, concurrency, and the use made of them.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

double capacityOf(const Settings &Options, double Rate) {
  return Rate * seconds(Options.m_Burst);
}

void refillBucket(const Settings &Options, Bucket &Filled, double Rate,
                  double Elapsed) {
  if (std::isinf(Rate))
    return;
  Filled.m_Tokens =
      std::min(capacityOf(Options, Rate), Filled.m_Tokens + Rate * Elapsed);
}

/// Time until a bucket covers the need, or is full for a need above its
/// capacity; zero if it does now.
Duration timeUntil(const Settings &Options, const Bucket &Filled, double Rate,
                   double Need) {
  if (std::isinf(Rate) || Need <= 0)
    return {};
  const double Wanted = std::min(Need, capacityOf(Options, Rate));
  constexpr double Rounding = 1e-6;
  if (Rate > 0 && Filled.m_Tokens >= Wanted - Rounding)
    return {};
  if (Rate <= 0)
    return Options.m_ShareRenewal;
  return std::max(Duration(1), fromSeconds((Wanted - Filled.m_Tokens) / Rate));
}

CallerIndex takeIndex(State &Entry) {
  if (Entry.m_FreeCallers.empty()) {
    Entry.m_Callers.emplace_back();
    return static_cast<CallerIndex>(Entry.m_Callers.size() - 1);
  }
  const CallerIndex Index = Entry.m_FreeCallers.back();
  Entry.m_FreeCallers.pop_back();
  return Index;
}

CallerIndex indexFor(State &Entry, const CallerId &Id, const Limits &Share,
                     TimePoint Now) {
  const auto Found = Entry.m_ByCaller.find(Id);
  if (Found != Entry.m_ByCaller.end())
    return Found->second;
  const CallerIndex Index = takeIndex(Entry);
  Caller &Who = Entry.m_Callers[Index];
  Who = Caller();
  Who.m_Id = Id;
  Who.m_FilledAt = Now;
  const auto Full = [&](double Rate) {
    return Bucket{std::isinf(Rate) ? 0 : capacityOf(Entry.m_Settings, Rate)};
  };
  Who.m_Requests = Full(Share.m_RequestsPerSecond);
  Who.m_PromptTokens = Full(Share.m_PromptTokensPerSecond);
  Who.m_OutputTokens = Full(Share.m_OutputTokensPerSecond);
  Entry.m_ByCaller.emplace(Id, Index);
  return Index;
}

/// A flow's weight is part of its model's sum while it waits.
void changeWeight(State &Entry, CallerIndex Index, double Weight) {
  Caller &Who = Entry.m_Callers[Index];
  if (Who.m_Weight == Weight)
    return;
  for (auto &[Model, Queue] : Entry.m_Models) {
    const auto Found = Queue.m_Flows.find(Index);
    if (Found == Queue.m_Flows.end())
      continue;
    if (!Found->second.m_Waiting.empty())
      Queue.m_Weights += Weight - Who.m_Weight;
    if (Found->second.m_Wanting)
      Queue.m_WantingWeights += Weight - Who.m_Weight;
  }
  const std::uint32_t Queued = Who.m_Queued;
  fileBacklog(Entry, Index, 0);
  Who.m_Weight = Weight;
  fileBacklog(Entry, Index, Queued);
}

} // namespace

std::uint32_t runningShare(const Caller &Who) {
  constexpr double Most = 1e9;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(Who.m_Share.m_Running), 0.0, Most));
}

bool mayStart(const Caller &Who, TimePoint Now) {
  return Who.m_Configured && Now < Who.m_ShareUntil &&
         Who.m_Running < runningShare(Who);
}

void refill(const Settings &Options, Caller &Who, TimePoint Now) {
  const double Elapsed = seconds(Now - Who.m_FilledAt);
  if (Elapsed <= 0)
    return;
  Who.m_FilledAt = Now;
  refillBucket(Options, Who.m_Requests, Who.m_Share.m_RequestsPerSecond,
               Elapsed);
  refillBucket(Options, Who.m_PromptTokens, Who.m_Share.m_PromptTokensPerSecond,
               Elapsed);
  refillBucket(Options, Who.m_OutputTokens, Who.m_Share.m_OutputTokensPerSecond,
               Elapsed);
}

std::optional<Refused> overRate(const Settings &Options, const Caller &Who,
                                const AdmissionRequest &Wanted) {
  const Duration Requests =
      timeUntil(Options, Who.m_Requests, Who.m_Share.m_RequestsPerSecond, 1);
  if (Requests > Duration::zero())
    return Refused{Refusal::RateLimited, Requests};
  const Duration Prompt =
      timeUntil(Options, Who.m_PromptTokens,
                Who.m_Share.m_PromptTokensPerSecond, Wanted.m_PromptTokens);
  if (Prompt > Duration::zero())
    return Refused{Refusal::PromptTokensLimited, Prompt};
  const Duration Output =
      timeUntil(Options, Who.m_OutputTokens,
                Who.m_Share.m_OutputTokensPerSecond, Wanted.m_OutputTokens);
  if (Output > Duration::zero())
    return Refused{Refusal::OutputTokensLimited, Output};
  return std::nullopt;
}

void charge(Caller &Who, double Requests, double PromptTokens,
            double OutputTokens) {
  Who.m_Requests.m_Tokens -= Requests;
  Who.m_PromptTokens.m_Tokens -= PromptTokens;
  Who.m_OutputTokens.m_Tokens -= OutputTokens;
}

Usage &useOf(State &Entry, CallerIndex Index) {
  Usage &Found = Entry.m_Use[Index];
  if (Found.m_Caller.empty())
    Found.m_Caller = Entry.m_Callers[Index].m_Id;
  return Found;
}

void notePeak(State &Entry, CallerIndex Index) {
  const Caller &Who = Entry.m_Callers[Index];
  Usage &Found = useOf(Entry, Index);
  Found.m_PeakRunning = std::max<std::uint64_t>(Found.m_PeakRunning,
                                                Who.m_Running + Who.m_Queued);
}

void freeIfUnused(State &Entry, CallerIndex Index) {
  const Caller &Who = Entry.m_Callers[Index];
  if (Who.m_Configured || Who.m_Running + Who.m_Queued > 0)
    return;
  for (auto &[Model, Queue] : Entry.m_Models) {
    const auto Found = Queue.m_Flows.find(Index);
    if (Found == Queue.m_Flows.end())
      continue;
    dropDemand(Entry, Queue, Index, Found->second);
    Queue.m_Flows.erase(Found);
  }
  Entry.m_Use.erase(Index);
  Entry.m_Callers[Index] = Caller();
  Entry.m_FreeCallers.push_back(Index);
}

void setShare(State &Entry, const CallerId &Id, double Weight,
              const Limits &Share, TimePoint Until, TimePoint Now) {
  const CallerIndex Index = indexFor(Entry, Id, Share, Now);
  refill(Entry.m_Settings, Entry.m_Callers[Index], Now);
  changeWeight(Entry, Index, std::max(Weight, LeastWeight));
  Caller &Who = Entry.m_Callers[Index];
  Who.m_Configured = true;
  Who.m_Share = Share;
  Who.m_ShareUntil = Until;
  refillBucket(Entry.m_Settings, Who.m_Requests, Share.m_RequestsPerSecond, 0);
  refillBucket(Entry.m_Settings, Who.m_PromptTokens,
               Share.m_PromptTokensPerSecond, 0);
  refillBucket(Entry.m_Settings, Who.m_OutputTokens,
               Share.m_OutputTokensPerSecond, 0);
  relist(Entry, Index, Now);
}

std::vector<RefusedTicket> removeCaller(State &Entry, const CallerId &Id,
                                        TimePoint Now) {
  std::vector<RefusedTicket> Gone;
  const auto Found = Entry.m_ByCaller.find(Id);
  if (Found == Entry.m_ByCaller.end())
    return Gone;
  const CallerIndex Index = Found->second;
  Entry.m_ByCaller.erase(Found);
  Entry.m_Callers[Index].m_Configured = false;
  for (const auto &[Number, Request] : Entry.m_Held) {
    if (Request.m_Caller == Index && !Request.m_Running)
      Gone.push_back({Number, {Refusal::UnknownKey, {}}});
  }
  for (const RefusedTicket &One : Gone) {
    dequeue(Entry, One.m_Ticket, Now);
    Entry.m_Held.erase(One.m_Ticket);
  }
  freeIfUnused(Entry, Index);
  return Gone;
}

std::vector<Usage> takeUsage(State &Entry) {
  std::vector<Usage> Taken;
  Taken.reserve(Entry.m_Use.size());
  for (auto &[Index, Used] : Entry.m_Use)
    Taken.push_back(Used);
  Entry.m_Use.clear();
  for (CallerIndex I = 0; I < Entry.m_Callers.size(); ++I) {
    if (Entry.m_Callers[I].m_Running + Entry.m_Callers[I].m_Queued > 0)
      notePeak(Entry, I);
  }
  return Taken;
}

} // namespace wasabivale::limits
