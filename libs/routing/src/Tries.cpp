// Lifecycle of tries from reservation to end.

#include "Internal.h"

namespace wasabivale::routing {

namespace {

/// Weight of the newest response in a pool's means.
constexpr double MeanAlpha = 0.05;
/// Assumed mean fraction of an engine's batch that is occupied while it
/// decodes; used for the demand of a bucket.
constexpr double MeanBatchFill = 0.5;

Leg makeLeg(const Slot &TargetSlot) {
  return {TargetSlot.m_Target.m_Id, TargetSlot.m_Target.m_Incarnation,
          TargetSlot.m_Target.m_Generation};
}

Try &getTry(State &Fleet, TryId Id) {
  const auto Found = Fleet.m_Tries.find(Id);
  WASABIVALE_INVARIANT(Found != Fleet.m_Tries.end());
  return Found->second;
}

void addRequest(State &Fleet, SlotIndex Index, std::uint64_t Generation,
                TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  recordWorkSample(TargetSlot, Now);
  ++TargetSlot.m_Own.m_Requests;
  ++TargetSlot.m_ByGeneration[Generation];
}

void removeRequest(State &Fleet, SlotIndex Index, std::uint64_t Generation,
                   TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  recordWorkSample(TargetSlot, Now);
  WASABIVALE_INVARIANT(TargetSlot.m_Own.m_Requests > 0);
  --TargetSlot.m_Own.m_Requests;
  const auto Found = TargetSlot.m_ByGeneration.find(Generation);
  WASABIVALE_INVARIANT(Found != TargetSlot.m_ByGeneration.end());
  if (--Found->second == 0)
    TargetSlot.m_ByGeneration.erase(Found);
}

void addPrompt(Slot &TargetSlot, const Try &Attempt) {
  TargetSlot.m_Own.m_PromptTokens += Attempt.m_PromptTokens;
  TargetSlot.m_PromptByPriority[Attempt.m_Priority] += Attempt.m_PromptTokens;
}

void removePrompt(Slot &TargetSlot, Try &Attempt) {
  WASABIVALE_INVARIANT(TargetSlot.m_Own.m_PromptTokens >=
                       Attempt.m_PromptTokens);
  WASABIVALE_INVARIANT(TargetSlot.m_PromptByPriority[Attempt.m_Priority] >=
                       Attempt.m_PromptTokens);
  TargetSlot.m_Own.m_PromptTokens -= Attempt.m_PromptTokens;
  TargetSlot.m_PromptByPriority[Attempt.m_Priority] -= Attempt.m_PromptTokens;
  Attempt.m_PromptTokens = 0;
}

void endPrefillLeg(State &Fleet, Try &Attempt, TimePoint Now) {
  const SlotIndex Index = *Attempt.m_Prefill;
  removePrompt(Fleet.m_Slots[Index], Attempt);
  removeRequest(Fleet, Index, Attempt.m_PrefillGeneration, Now);
  Attempt.m_Prefill.reset();
  WASABIVALE_INVARIANT(Fleet.m_Slots[Attempt.m_Run].m_Own.m_Incoming > 0);
  --Fleet.m_Slots[Attempt.m_Run].m_Own.m_Incoming;
  updateTotals(Fleet, Attempt.m_Run);
  updateTotals(Fleet, Index);
  freeIfUnused(Fleet, Index);
}

void startDecoding(State &Fleet, Try &Attempt) {
  if (Attempt.m_Decoding)
    return;
  Attempt.m_Decoding = true;
  ++Fleet.m_Slots[Attempt.m_Run].m_Own.m_Decoding;
}

void releaseRun(State &Fleet, Try &Attempt, TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Attempt.m_Run];
  removePrompt(TargetSlot, Attempt);
  if (Attempt.m_Decoding) {
    WASABIVALE_INVARIANT(TargetSlot.m_Own.m_Decoding > 0);
    --TargetSlot.m_Own.m_Decoding;
  }
  WASABIVALE_INVARIANT(TargetSlot.m_Own.m_KvBlocks >= Attempt.m_KvBlocks);
  TargetSlot.m_Own.m_KvBlocks -= Attempt.m_KvBlocks;
  removeRequest(Fleet, Attempt.m_Run, Attempt.m_RunGeneration, Now);
  updateTotals(Fleet, Attempt.m_Run);
}

/// Time that the current leg of a try has taken to its first token, or to the
/// end of its prefill.
Timing legTiming(const Try &Attempt, TimePoint Now) {
  if (Attempt.m_Split && !Attempt.m_Prefill)
    return {Now - Attempt.m_PrefillEnd, Attempt.m_ExpectedHandoff};
  return {Now - Attempt.m_StartedAt, Attempt.m_ExpectedFirstToken};
}

void recordLegTime(State &Fleet, const Try &Attempt, TimePoint Now) {
  const Timing Time = legTiming(Attempt, Now);
  if (Attempt.m_Yields && Time.m_Observed > Time.m_Expected)
    return;
  Pool &TargetPool = getPool(Fleet, Attempt.m_Kind, Attempt.m_Model);
  if (Attempt.m_Split && !Attempt.m_Prefill)
    recordHandoffTime(Fleet, Attempt.m_Run, TargetPool, Time);
  else
    recordFirstTokenTime(Fleet, Attempt.m_Prefill.value_or(Attempt.m_Run),
                         TargetPool, Time, Now);
}

/// Times of cancelled tries count as evidence too; otherwise only the fast ones
/// would be counted.
void recordTimes(State &Fleet, const Try &Attempt, bool Completed,
                 TimePoint Now) {
  Pool &TargetPool = getPool(Fleet, Attempt.m_Kind, Attempt.m_Model);
  const Duration Total = Now - Attempt.m_StartedAt;
  if (Completed)
    TargetPool.m_MeanSeconds +=
        MeanAlpha * (seconds(Total) - TargetPool.m_MeanSeconds);
  if (Attempt.m_Kind == Kind::Service) {
    if (Completed)
      recordFirstTokenTime(Fleet, Attempt.m_Run, TargetPool,
                           {Total, Attempt.m_ExpectedFirstToken}, Now);
    return;
  }
  if (!Attempt.m_Decoding) {
    // The elapsed time is a lower bound.
    const Timing Time = legTiming(Attempt, Now);
    if (!Completed && Attempt.m_Started && Time.m_Observed > Time.m_Expected)
      recordLegTime(Fleet, Attempt, Now);
    return;
  }
  if (Attempt.m_Tokens < 2)
    return;
  const int Steps = static_cast<int>(Attempt.m_Tokens - 1);
  recordTokenInterval(
      Fleet, Attempt.m_Run, TargetPool,
      {Now - Attempt.m_FirstTokenAt, Attempt.m_ExpectedTokenInterval * Steps},
      Now);
}

void recordEvidence(State &Fleet, const Try &Attempt, SlotIndex Index,
                    TryOutcome Outcome, TimePoint Now) {
  switch (Outcome) {
  case TryOutcome::Completed:
    recordSuccess(Fleet, Index, Attempt.m_Probe, Now);
    recordTimes(Fleet, Attempt, true, Now);
    return;
  case TryOutcome::Full:
    Fleet.m_Slots[Index].m_FullUntil = Now + Fleet.m_Settings.m_FullBackoff;
    // A target that answers "full" is alive.
    recordSuccess(Fleet, Index, Attempt.m_Probe, Now);
    return;
  case TryOutcome::NotSent:
  case TryOutcome::Cancelled:
    if (Attempt.m_Probe)
      recordUnusedProbe(Fleet, Index, Now);
    recordTimes(Fleet, Attempt, false, Now);
    return;
  case TryOutcome::Failed:
  case TryOutcome::Stalled:
  case TryOutcome::Crashed:
    recordFailure(Fleet, Index, Outcome, Attempt.m_Probe, Now);
    return;
  }
}

double engineSeconds(const Slot &TargetSlot, const Request &Req,
                     std::uint32_t Uncached) {
  const Target &TargetInfo = TargetSlot.m_Target;
  const double Streams = std::max(1.0, TargetInfo.m_MaxRunning * MeanBatchFill);
  const double Prefill =
      Uncached / std::max(1.0, TargetInfo.m_PrefillTokensPerSecond);
  const double Decode = Req.m_ExpectedOutputTokens /
                        std::max(0.1, TargetInfo.m_DecodeTokensPerSecond);
  return Prefill + Decode / Streams;
}

void recordPrefixUse(State &Fleet, Pool &TargetPool, Slot &TargetSlot,
                     const Request &Req, std::uint32_t Uncached,
                     TimePoint Now) {
  const double EngineTime = engineSeconds(TargetSlot, Req, Uncached);
  for (std::uint64_t Block : Req.m_Blocks) {
    if (!Req.m_FetchesPrefix)
      addBlock(Fleet.m_Settings, TargetSlot, Block);
    if (!TargetPool.m_Partitions.empty())
      addDemand(getPartition(TargetPool, Block), EngineTime, Now);
  }
}

} // namespace

Choice reserve(State &Fleet, Pool &TargetPool, const Candidate &Selection,
               const Request &Req, TimePoint Now) {
  const SlotIndex PrefillSlot = Selection.m_Prefill.value_or(Selection.m_Run);
  Slot &Run = Fleet.m_Slots[Selection.m_Run];
  Slot &Prefill = Fleet.m_Slots[PrefillSlot];
  WASABIVALE_INVARIANT(isServing(Run));
  WASABIVALE_INVARIANT(Selection.m_Probe || isEligible(Run));
  WASABIVALE_INVARIANT(!Selection.m_Prefill || isEligible(Prefill));
  const Estimate &Expected = Selection.m_CostEstimate.m_Estimate;
  const std::uint64_t Cached =
      std::uint64_t(Expected.m_CachedBlocks) * BlockTokens;

  Try Attempt;
  Attempt.m_Kind = Req.m_Kind;
  Attempt.m_Model = Req.m_Model;
  Attempt.m_Run = Selection.m_Run;
  Attempt.m_Prefill = Selection.m_Prefill;
  Attempt.m_Split = Selection.m_Prefill.has_value();
  Attempt.m_RunGeneration = Run.m_Target.m_Generation;
  Attempt.m_PrefillGeneration = Prefill.m_Target.m_Generation;
  Attempt.m_Priority = std::min(Req.m_Priority, MaxPriority);
  Attempt.m_PromptTokens =
      Cached >= Req.m_PromptTokens
          ? 0
          : static_cast<std::uint32_t>(Req.m_PromptTokens - Cached);
  Attempt.m_KvBlocks = kvBlocksNeeded(Req);
  if (Req.m_FetchesPrefix) {
    Attempt.m_Prefix = prefixHash(Req.m_Blocks);
    Attempt.m_PrefixBlocks = static_cast<std::uint32_t>(Req.m_Blocks.size());
  }
  Attempt.m_ExpectedFirstToken = Selection.m_CostEstimate.m_NominalFirstToken;
  Attempt.m_ExpectedHandoff = Selection.m_CostEstimate.m_NominalHandoff;
  Attempt.m_ExpectedTokenInterval =
      Selection.m_CostEstimate.m_NominalTokenInterval;
  Attempt.m_StartedAt = Now;
  Attempt.m_ProgressAt = Now;
  Attempt.m_Probe = Selection.m_Probe;
  Attempt.m_Yields = Req.m_Yields;

  if (takeRateToken(Run, Now))
    Attempt.m_CountedBy.push_back(Attempt.m_Run);
  if (Attempt.m_Prefill && takeRateToken(Prefill, Now))
    Attempt.m_CountedBy.push_back(PrefillSlot);
  addRequest(Fleet, Attempt.m_Run, Attempt.m_RunGeneration, Now);
  Run.m_Own.m_KvBlocks += Attempt.m_KvBlocks;
  if (Attempt.m_Prefill) {
    addRequest(Fleet, PrefillSlot, Attempt.m_PrefillGeneration, Now);
    ++Run.m_Own.m_Incoming;
  }
  addPrompt(Prefill, Attempt);
  TargetPool.m_MeanPromptTokens +=
      MeanAlpha * (Attempt.m_PromptTokens - TargetPool.m_MeanPromptTokens);
  recordPrefixUse(Fleet, TargetPool, Prefill, Req, Attempt.m_PromptTokens, Now);
  if (Attempt.m_Probe) {
    Run.m_Health.m_State = HealthState::Probing;
    ++Fleet.m_Counters.m_Probes;
  }
  updateTotals(Fleet, Attempt.m_Run);
  updateTotals(Fleet, PrefillSlot);

  Choice Decision;
  Decision.m_Try = Fleet.m_NextTry++;
  Decision.m_Run = makeLeg(Run);
  if (Attempt.m_Prefill) {
    Decision.m_Prefill = makeLeg(Prefill);
    ++Fleet.m_Counters.m_Splits;
  }
  if (Selection.m_FetchFrom)
    Decision.m_FetchFrom = makeLeg(Fleet.m_Slots[*Selection.m_FetchFrom]);
  Decision.m_Estimate = Expected;
  Decision.m_Probe = Selection.m_Probe;
  Fleet.m_Counters.m_CachedBlocks += Expected.m_CachedBlocks;
  Fleet.m_Counters.m_RequestedBlocks += Req.m_Blocks.size();
  Fleet.m_Tries.emplace(Decision.m_Try, std::move(Attempt));
  return Decision;
}

void recordStarted(State &Fleet, TryId Id, TimePoint Now) {
  Try &Attempt = getTry(Fleet, Id);
  Attempt.m_Started = true;
  Attempt.m_StartedAt = Now;
  Attempt.m_ProgressAt = Now;
}

void recordPrefilled(State &Fleet, TryId Id, TimePoint Now) {
  Try &Attempt = getTry(Fleet, Id);
  WASABIVALE_INVARIANT(Attempt.m_Prefill.has_value());
  Pool &TargetPool = getPool(Fleet, Attempt.m_Kind, Attempt.m_Model);
  const SlotIndex Index = *Attempt.m_Prefill;
  Attempt.m_ProgressAt = Now;
  Attempt.m_PrefillEnd = Now;
  endPrefillLeg(Fleet, Attempt, Now);
  if (!Fleet.m_Slots[Index].m_Used)
    return;
  recordCachedPrefix(Fleet, Index, Attempt, Now);
  recordSuccess(Fleet, Index, false, Now);
  const Timing Time{Now - Attempt.m_StartedAt, Attempt.m_ExpectedFirstToken};
  if (!Attempt.m_Yields || Time.m_Observed <= Time.m_Expected)
    recordFirstTokenTime(Fleet, Index, TargetPool, Time, Now);
}

void recordFirstToken(State &Fleet, TryId Id, TimePoint Now) {
  Try &Attempt = getTry(Fleet, Id);
  if (Attempt.m_Decoding)
    return;
  Attempt.m_ProgressAt = Now;
  Attempt.m_FirstTokenAt = Now;
  Attempt.m_Tokens = std::max(Attempt.m_Tokens, 1U);
  if (Attempt.m_Prefill) {
    Attempt.m_PrefillEnd = Now;
    endPrefillLeg(Fleet, Attempt, Now);
  }
  removePrompt(Fleet.m_Slots[Attempt.m_Run], Attempt);
  // The prefix transferred for decoding stays cached here as well.
  recordCachedPrefix(Fleet, Attempt.m_Run, Attempt, Now);
  startDecoding(Fleet, Attempt);
  if (Attempt.m_Kind == Kind::Engine)
    recordLegTime(Fleet, Attempt, Now);
}

void recordProgress(State &Fleet, TryId Id, std::uint32_t Tokens,
                    TimePoint Now) {
  Try &Attempt = getTry(Fleet, Id);
  Attempt.m_Tokens = std::max(Attempt.m_Tokens, Tokens);
  Attempt.m_ProgressAt = Now;
}

void recordEnded(State &Fleet, TryId Id, TryOutcome Outcome, TimePoint Now,
                 bool FailedAtPrefill) {
  const auto Found = Fleet.m_Tries.find(Id);
  WASABIVALE_INVARIANT(Found != Fleet.m_Tries.end());
  Try Attempt = std::move(Found->second);
  Fleet.m_Tries.erase(Found);
  const bool FailsPrefill = FailedAtPrefill && Attempt.m_Prefill.has_value();
  const SlotIndex Index = FailsPrefill ? *Attempt.m_Prefill : Attempt.m_Run;
  if (Outcome == TryOutcome::NotSent && !Attempt.m_Started)
    for (const SlotIndex Counted : Attempt.m_CountedBy)
      returnRateToken(Fleet.m_Slots[Counted], Now);
  // Evidence must be recorded before the release, which may free the slot of a
  // previous incarnation.
  recordEvidence(Fleet, Attempt, Index, Outcome, Now);
  if (Attempt.m_Prefill)
    endPrefillLeg(Fleet, Attempt, Now);
  releaseRun(Fleet, Attempt, Now);
  freeIfUnused(Fleet, Attempt.m_Run);
}

std::uint32_t inFlightBefore(const State &Fleet, const TargetId &Id,
                             std::uint64_t Generation) {
  std::uint32_t Count = 0;
  for (const Slot &TargetSlot : Fleet.m_Slots) {
    if (!TargetSlot.m_Used || TargetSlot.m_Target.m_Id != Id)
      continue;
    for (const auto &[StartGeneration, Tries] : TargetSlot.m_ByGeneration) {
      if (StartGeneration < Generation)
        Count += Tries;
    }
  }
  return Count;
}

std::uint32_t inFlight(const State &Fleet, const TargetId &Id) {
  std::uint32_t Count = 0;
  for (const Slot &TargetSlot : Fleet.m_Slots) {
    if (TargetSlot.m_Used && TargetSlot.m_Target.m_Id == Id)
      Count += TargetSlot.m_Own.m_Requests;
  }
  return Count;
}

bool acceptsNewWork(const State &Fleet, const Leg &TargetLeg, TimePoint Now) {
  const auto Found = Fleet.m_ByTarget.find(TargetLeg.m_Target);
  if (Found == Fleet.m_ByTarget.end())
    return false;
  const Slot &Current = Fleet.m_Slots[Found->second];
  return isServing(Current) && Current.m_RestingUntil <= Now &&
         Current.m_Target.m_Incarnation == TargetLeg.m_Incarnation;
}

std::optional<Health> findHealth(const State &Fleet, const TargetId &Id) {
  const auto Found = Fleet.m_ByTarget.find(Id);
  if (Found == Fleet.m_ByTarget.end())
    return std::nullopt;
  return Fleet.m_Slots[Found->second].m_Health;
}

} // namespace wasabivale::routing
