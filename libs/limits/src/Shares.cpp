// Callers' shares: leases, rate limits, concurrency and usage.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

double burstCapacity(const Settings &Options, double Rate) {
  return Rate * seconds(Options.m_Burst);
}

void refillBucket(const Settings &Options, TokenBucket &Bucket, double Rate,
                  double Elapsed) {
  if (std::isinf(Rate))
    return;
  Bucket.m_Tokens =
      std::min(burstCapacity(Options, Rate), Bucket.m_Tokens + Rate * Elapsed);
}

/// Time until the bucket covers \p Need, or is full if \p Need exceeds its
/// capacity; zero if it does now.
Duration timeUntilCovered(const Settings &Options, const TokenBucket &Bucket,
                          double Rate, double Need) {
  if (std::isinf(Rate) || Need <= 0)
    return {};
  const double Required = std::min(Need, burstCapacity(Options, Rate));
  constexpr double Rounding = 1e-6;
  if (Rate > 0 && Bucket.m_Tokens >= Required - Rounding)
    return {};
  if (Rate <= 0)
    return Options.m_ShareRenewal;
  return std::max(Duration(1),
                  fromSeconds((Required - Bucket.m_Tokens) / Rate));
}

CallerIndex allocateIndex(State &Entry) {
  if (Entry.m_FreeCallers.empty()) {
    Entry.m_Callers.emplace_back();
    return static_cast<CallerIndex>(Entry.m_Callers.size() - 1);
  }
  const CallerIndex Index = Entry.m_FreeCallers.back();
  Entry.m_FreeCallers.pop_back();
  return Index;
}

CallerIndex findOrAddCaller(State &Entry, const CallerId &Id,
                            const Limits &Share, TimePoint Now) {
  const auto Found = Entry.m_ByCaller.find(Id);
  if (Found != Entry.m_ByCaller.end())
    return Found->second;
  const CallerIndex Index = allocateIndex(Entry);
  CallerState &Caller = Entry.m_Callers[Index];
  Caller = CallerState();
  Caller.m_Id = Id;
  Caller.m_RefilledAt = Now;
  const auto FullBucket = [&](double Rate) {
    return TokenBucket{
        std::isinf(Rate) ? 0 : burstCapacity(Entry.m_Settings, Rate)};
  };
  Caller.m_Requests = FullBucket(Share.m_RequestsPerSecond);
  Caller.m_PromptTokens = FullBucket(Share.m_PromptTokensPerSecond);
  Caller.m_OutputTokens = FullBucket(Share.m_OutputTokensPerSecond);
  Entry.m_ByCaller.emplace(Id, Index);
  return Index;
}

/// Sets the weight of a caller and updates the sums of the models in which it
/// has waiting requests or recent demand.
void changeWeight(State &Entry, CallerIndex Index, double Weight) {
  CallerState &Caller = Entry.m_Callers[Index];
  if (Caller.m_Weight == Weight)
    return;
  for (auto &[Model, Queue] : Entry.m_Models) {
    const auto Found = Queue.m_Flows.find(Index);
    if (Found == Queue.m_Flows.end())
      continue;
    if (!Found->second.m_Waiting.empty())
      Queue.m_WaitingWeight += Weight - Caller.m_Weight;
    if (Found->second.m_HasDemand)
      Queue.m_DemandWeight += Weight - Caller.m_Weight;
  }
  const std::uint32_t Queued = Caller.m_Queued;
  setBacklog(Entry, Index, 0);
  Caller.m_Weight = Weight;
  setBacklog(Entry, Index, Queued);
}

} // namespace

std::uint32_t concurrencyShare(const CallerState &Caller) {
  constexpr double MaxShare = 1e9;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(Caller.m_Share.m_Running), 0.0, MaxShare));
}

bool mayStart(const CallerState &Caller, TimePoint Now) {
  return Caller.m_Configured && Now < Caller.m_ShareExpiresAt &&
         Caller.m_Running < concurrencyShare(Caller);
}

void refill(const Settings &Options, CallerState &Caller, TimePoint Now) {
  const double Elapsed = seconds(Now - Caller.m_RefilledAt);
  if (Elapsed <= 0)
    return;
  Caller.m_RefilledAt = Now;
  refillBucket(Options, Caller.m_Requests, Caller.m_Share.m_RequestsPerSecond,
               Elapsed);
  refillBucket(Options, Caller.m_PromptTokens,
               Caller.m_Share.m_PromptTokensPerSecond, Elapsed);
  refillBucket(Options, Caller.m_OutputTokens,
               Caller.m_Share.m_OutputTokensPerSecond, Elapsed);
}

std::optional<Refused> checkRates(const Settings &Options,
                                  const CallerState &Caller,
                                  const AdmissionRequest &Request) {
  const Duration Requests = timeUntilCovered(
      Options, Caller.m_Requests, Caller.m_Share.m_RequestsPerSecond, 1);
  if (Requests > Duration::zero())
    return Refused{Refusal::RateLimited, Requests};
  const Duration Prompt = timeUntilCovered(
      Options, Caller.m_PromptTokens, Caller.m_Share.m_PromptTokensPerSecond,
      Request.m_PromptTokens);
  if (Prompt > Duration::zero())
    return Refused{Refusal::PromptTokensLimited, Prompt};
  const Duration Output = timeUntilCovered(
      Options, Caller.m_OutputTokens, Caller.m_Share.m_OutputTokensPerSecond,
      Request.m_OutputTokens);
  if (Output > Duration::zero())
    return Refused{Refusal::OutputTokensLimited, Output};
  return std::nullopt;
}

void charge(CallerState &Caller, double Requests, double PromptTokens,
            double OutputTokens) {
  Caller.m_Requests.m_Tokens -= Requests;
  Caller.m_PromptTokens.m_Tokens -= PromptTokens;
  Caller.m_OutputTokens.m_Tokens -= OutputTokens;
}

Usage &usageOf(State &Entry, CallerIndex Index) {
  Usage &Found = Entry.m_Usage[Index];
  if (Found.m_Caller.empty())
    Found.m_Caller = Entry.m_Callers[Index].m_Id;
  return Found;
}

void recordPeak(State &Entry, CallerIndex Index) {
  const CallerState &Caller = Entry.m_Callers[Index];
  Usage &Found = usageOf(Entry, Index);
  Found.m_PeakRunning = std::max<std::uint64_t>(
      Found.m_PeakRunning, Caller.m_Running + Caller.m_Queued);
}

void releaseIfUnused(State &Entry, CallerIndex Index) {
  const CallerState &Caller = Entry.m_Callers[Index];
  if (Caller.m_Configured || Caller.m_Running + Caller.m_Queued > 0)
    return;
  for (auto &[Model, Queue] : Entry.m_Models) {
    const auto Found = Queue.m_Flows.find(Index);
    if (Found == Queue.m_Flows.end())
      continue;
    removeDemand(Entry, Queue, Index, Found->second);
    Queue.m_Flows.erase(Found);
  }
  Entry.m_Usage.erase(Index);
  Entry.m_Callers[Index] = CallerState();
  Entry.m_FreeCallers.push_back(Index);
}

void setShare(State &Entry, const CallerId &Id, double Weight,
              const Limits &Share, TimePoint ExpiresAt, TimePoint Now) {
  const CallerIndex Index = findOrAddCaller(Entry, Id, Share, Now);
  refill(Entry.m_Settings, Entry.m_Callers[Index], Now);
  changeWeight(Entry, Index, std::max(Weight, MinWeight));
  CallerState &Caller = Entry.m_Callers[Index];
  Caller.m_Configured = true;
  Caller.m_Share = Share;
  Caller.m_ShareExpiresAt = ExpiresAt;
  refillBucket(Entry.m_Settings, Caller.m_Requests, Share.m_RequestsPerSecond,
               0);
  refillBucket(Entry.m_Settings, Caller.m_PromptTokens,
               Share.m_PromptTokensPerSecond, 0);
  refillBucket(Entry.m_Settings, Caller.m_OutputTokens,
               Share.m_OutputTokensPerSecond, 0);
  reschedule(Entry, Index, Now);
}

std::vector<RefusedTicket> removeCaller(State &Entry, const CallerId &Id,
                                        TimePoint Now) {
  std::vector<RefusedTicket> Removed;
  const auto Found = Entry.m_ByCaller.find(Id);
  if (Found == Entry.m_ByCaller.end())
    return Removed;
  const CallerIndex Index = Found->second;
  Entry.m_ByCaller.erase(Found);
  Entry.m_Callers[Index].m_Configured = false;
  for (const auto &[Number, Request] : Entry.m_Active) {
    if (Request.m_Caller == Index && !Request.m_Running)
      Removed.push_back({Number, {Refusal::UnknownKey, {}}});
  }
  for (const RefusedTicket &Waiting : Removed) {
    dequeue(Entry, Waiting.m_Ticket, Now);
    Entry.m_Active.erase(Waiting.m_Ticket);
  }
  releaseIfUnused(Entry, Index);
  return Removed;
}

std::vector<Usage> takeUsage(State &Entry) {
  std::vector<Usage> Usages;
  Usages.reserve(Entry.m_Usage.size());
  for (auto &[Index, Used] : Entry.m_Usage)
    Usages.push_back(Used);
  Entry.m_Usage.clear();
  for (CallerIndex I = 0; I < Entry.m_Callers.size(); ++I) {
    if (Entry.m_Callers[I].m_Running + Entry.m_Callers[I].m_Queued > 0)
      recordPeak(Entry, I);
  }
  return Usages;
}

} // namespace wasabivale::limits
