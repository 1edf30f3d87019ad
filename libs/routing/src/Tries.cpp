// Tries from their reservation to their end.

#include "Internal.h"

namespace wasabivale::routing {

namespace {

/// Weight of the newest answer in a pool's mean time.
constexpr double MeanAlpha = 0.05;
/// Streams that share an engine while it decodes, for a bucket's demand.
constexpr double TypicalBatch = 0.5;

Leg legOf(const Slot &Place) {
  return {Place.m_Target.m_Id, Place.m_Target.m_Incarnation,
          Place.m_Target.m_Generation};
}

Try &tryOf(State &Fleet, TryId Id) {
  const auto Found = Fleet.m_Tries.find(Id);
  WASABIVALE_INVARIANT(Found != Fleet.m_Tries.end());
  return Found->second;
}

void take(State &Fleet, SlotIndex Index, std::uint64_t Generation,
          TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  rememberWork(Place, Now);
  ++Place.m_Own.m_Requests;
  ++Place.m_ByGeneration[Generation];
}

void giveBack(State &Fleet, SlotIndex Index, std::uint64_t Generation,
              TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  rememberWork(Place, Now);
  WASABIVALE_INVARIANT(Place.m_Own.m_Requests > 0);
  --Place.m_Own.m_Requests;
  const auto Found = Place.m_ByGeneration.find(Generation);
  WASABIVALE_INVARIANT(Found != Place.m_ByGeneration.end());
  if (--Found->second == 0)
    Place.m_ByGeneration.erase(Found);
}

void takePrompt(Slot &Place, const Try &Task) {
  Place.m_Own.m_PromptTokens += Task.m_PromptTokens;
  Place.m_PromptByPriority[Task.m_Priority] += Task.m_PromptTokens;
}

void giveBackPrompt(Slot &Place, Try &Task) {
  WASABIVALE_INVARIANT(Place.m_Own.m_PromptTokens >= Task.m_PromptTokens);
  WASABIVALE_INVARIANT(Place.m_PromptByPriority[Task.m_Priority] >=
                       Task.m_PromptTokens);
  Place.m_Own.m_PromptTokens -= Task.m_PromptTokens;
  Place.m_PromptByPriority[Task.m_Priority] -= Task.m_PromptTokens;
  Task.m_PromptTokens = 0;
}

void endPrefillLeg(State &Fleet, Try &Task, TimePoint Now) {
  const SlotIndex Index = *Task.m_Prefill;
  giveBackPrompt(Fleet.m_Slots[Index], Task);
  giveBack(Fleet, Index, Task.m_PrefillGeneration, Now);
  Task.m_Prefill.reset();
  refreshSums(Fleet, Index);
  freeIfUnused(Fleet, Index);
}

void startDecoding(State &Fleet, Try &Task) {
  if (Task.m_Decoding)
    return;
  Task.m_Decoding = true;
  ++Fleet.m_Slots[Task.m_Run].m_Own.m_Decoding;
}

void releaseRun(State &Fleet, Try &Task, TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Task.m_Run];
  giveBackPrompt(Place, Task);
  if (Task.m_Decoding) {
    WASABIVALE_INVARIANT(Place.m_Own.m_Decoding > 0);
    --Place.m_Own.m_Decoding;
  }
  WASABIVALE_INVARIANT(Place.m_Own.m_KvBlocks >= Task.m_KvBlocks);
  Place.m_Own.m_KvBlocks -= Task.m_KvBlocks;
  giveBack(Fleet, Task.m_Run, Task.m_RunGeneration, Now);
  refreshSums(Fleet, Task.m_Run);
}

void noteFirst(State &Fleet, const Try &Task, TimePoint Now) {
  Pool &Group = poolOf(Fleet, Task.m_Kind, Task.m_Model);
  const Duration Took = Now - Task.m_StartedAt;
  if (Task.m_Split)
    noteSplitTime(Group, {Took, Task.m_ExpectedSplit});
  else
    noteFirstTime(Fleet, Task.m_Run, Group, {Took, Task.m_ExpectedFirst}, Now);
}

/// Times are evidence also when a try was cancelled: else only the fast ones
/// would count.
void noteTimes(State &Fleet, const Try &Task, bool Completed, TimePoint Now) {
  Pool &Group = poolOf(Fleet, Task.m_Kind, Task.m_Model);
  const Duration Total = Now - Task.m_StartedAt;
  if (Completed)
    Group.m_MeanSeconds += MeanAlpha * (seconds(Total) - Group.m_MeanSeconds);
  if (Task.m_Kind == Kind::Service) {
    if (Completed)
      noteFirstTime(Fleet, Task.m_Run, Group, {Total, Task.m_ExpectedFirst},
                    Now);
    return;
  }
  if (!Task.m_Decoding) {
    // It took at least this long.
    if (!Completed && Task.m_Started && Total > Task.m_ExpectedFirst)
      noteFirst(Fleet, Task, Now);
    return;
  }
  if (Task.m_Tokens < 2)
    return;
  const int Steps = static_cast<int>(Task.m_Tokens - 1);
  noteStepTime(Fleet, Task.m_Run, Group,
               {Now - Task.m_FirstTokenAt, Task.m_ExpectedStep * Steps}, Now);
}

void noteEvidence(State &Fleet, const Try &Task, SlotIndex At,
                  TryOutcome Outcome, TimePoint Now) {
  switch (Outcome) {
  case TryOutcome::Completed:
    noteGood(Fleet, At, Task.m_Probe, Now);
    noteTimes(Fleet, Task, true, Now);
    return;
  case TryOutcome::Full:
    Fleet.m_Slots[At].m_FullUntil = Now + Fleet.m_Settings.m_FullFor;
    // A target that answers "full" is alive.
    noteGood(Fleet, At, Task.m_Probe, Now);
    return;
  case TryOutcome::NotSent:
  case TryOutcome::Cancelled:
    if (Task.m_Probe)
      noteProbeUnused(Fleet, At, Now);
    noteTimes(Fleet, Task, false, Now);
    return;
  case TryOutcome::Failed:
  case TryOutcome::Stalled:
  case TryOutcome::Crashed:
    noteBad(Fleet, At, Outcome, Task.m_Probe, Now);
    return;
  }
}

double engineSeconds(const Slot &Place, const Request &Wanted,
                     std::uint32_t Uncached) {
  const Target &Described = Place.m_Target;
  const double Streams = std::max(1.0, Described.m_MaxRunning * TypicalBatch);
  const double Prefill =
      Uncached / std::max(1.0, Described.m_PrefillTokensPerSecond);
  const double Decode = Wanted.m_ExpectedOutputTokens /
                        std::max(0.1, Described.m_DecodeTokensPerSecond);
  return Prefill + Decode / Streams;
}

void rememberPrefix(State &Fleet, Pool &Group, Slot &Place,
                    const Request &Wanted, std::uint32_t Uncached,
                    TimePoint Now) {
  const double Work = engineSeconds(Place, Wanted, Uncached);
  for (std::uint64_t Block : Wanted.m_Blocks) {
    if (!Wanted.m_FetchesPrefix)
      addBlock(Fleet.m_Settings, Place, Block);
    if (!Group.m_Partitions.empty())
      addDemand(partitionOf(Group, Block), Work, Now);
  }
}

} // namespace

Choice reserve(State &Fleet, Pool &Group, const Pick &Chosen,
               const Request &Wanted, TimePoint Now) {
  const SlotIndex PrefillAt = Chosen.m_Prefill.value_or(Chosen.m_Run);
  Slot &Run = Fleet.m_Slots[Chosen.m_Run];
  Slot &Prefill = Fleet.m_Slots[PrefillAt];
  WASABIVALE_INVARIANT(Run.m_Current && Run.m_Target.m_Serving);
  WASABIVALE_INVARIANT(Chosen.m_Probe || isEligible(Run));
  WASABIVALE_INVARIANT(!Chosen.m_Prefill || isEligible(Prefill));
  const Estimate &Expected = Chosen.m_Leaning.m_Estimate;
  const std::uint64_t Cached =
      std::uint64_t(Expected.m_CachedBlocks) * BlockTokens;

  Try Task;
  Task.m_Kind = Wanted.m_Kind;
  Task.m_Model = Wanted.m_Model;
  Task.m_Run = Chosen.m_Run;
  Task.m_Prefill = Chosen.m_Prefill;
  Task.m_Split = Chosen.m_Prefill.has_value();
  Task.m_RunGeneration = Run.m_Target.m_Generation;
  Task.m_PrefillGeneration = Prefill.m_Target.m_Generation;
  Task.m_Priority = std::min(Wanted.m_Priority, MaxPriority);
  Task.m_PromptTokens =
      Cached >= Wanted.m_PromptTokens
          ? 0
          : static_cast<std::uint32_t>(Wanted.m_PromptTokens - Cached);
  Task.m_KvBlocks = kvBlocksNeeded(Wanted);
  if (Wanted.m_FetchesPrefix) {
    Task.m_Prefix = prefixOf(Wanted.m_Blocks);
    Task.m_PrefixBlocks = static_cast<std::uint32_t>(Wanted.m_Blocks.size());
  }
  Task.m_ExpectedFirst = Chosen.m_Leaning.m_NormalFirst;
  Task.m_ExpectedSplit = Chosen.m_Leaning.m_NormalSplit;
  Task.m_ExpectedStep = Chosen.m_Leaning.m_NormalStep;
  Task.m_StartedAt = Now;
  Task.m_ProgressAt = Now;
  Task.m_Probe = Chosen.m_Probe;

  take(Fleet, Task.m_Run, Task.m_RunGeneration, Now);
  Run.m_Own.m_KvBlocks += Task.m_KvBlocks;
  if (Task.m_Prefill)
    take(Fleet, PrefillAt, Task.m_PrefillGeneration, Now);
  takePrompt(Prefill, Task);
  Group.m_MeanPromptTokens +=
      MeanAlpha * (Task.m_PromptTokens - Group.m_MeanPromptTokens);
  rememberPrefix(Fleet, Group, Prefill, Wanted, Task.m_PromptTokens, Now);
  if (Task.m_Probe) {
    Run.m_Health.m_State = HealthState::Probing;
    ++Fleet.m_Counters.m_Probes;
  }
  refreshSums(Fleet, Task.m_Run);
  refreshSums(Fleet, PrefillAt);

  Choice Made;
  Made.m_Try = Fleet.m_NextTry++;
  Made.m_Run = legOf(Run);
  if (Task.m_Prefill) {
    Made.m_Prefill = legOf(Prefill);
    ++Fleet.m_Counters.m_Splits;
  }
  if (Chosen.m_FetchFrom)
    Made.m_FetchFrom = legOf(Fleet.m_Slots[*Chosen.m_FetchFrom]);
  Made.m_Estimate = Expected;
  Made.m_Probe = Chosen.m_Probe;
  Fleet.m_Counters.m_CachedBlocks += Expected.m_CachedBlocks;
  Fleet.m_Counters.m_RequestedBlocks += Wanted.m_Blocks.size();
  Fleet.m_Tries.emplace(Made.m_Try, std::move(Task));
  return Made;
}

void recordStarted(State &Fleet, TryId Id, TimePoint Now) {
  Try &Task = tryOf(Fleet, Id);
  Task.m_Started = true;
  Task.m_StartedAt = Now;
  Task.m_ProgressAt = Now;
}

void recordPrefilled(State &Fleet, TryId Id, TimePoint Now) {
  Try &Task = tryOf(Fleet, Id);
  WASABIVALE_INVARIANT(Task.m_Prefill.has_value());
  Pool &Group = poolOf(Fleet, Task.m_Kind, Task.m_Model);
  const SlotIndex Index = *Task.m_Prefill;
  Task.m_ProgressAt = Now;
  endPrefillLeg(Fleet, Task, Now);
  if (!Fleet.m_Slots[Index].m_Used)
    return;
  noteKept(Fleet, Index, Task, Now);
  noteGood(Fleet, Index, false, Now);
  noteFirstTime(Fleet, Index, Group,
                {Now - Task.m_StartedAt, Task.m_ExpectedFirst}, Now);
}

void recordFirstToken(State &Fleet, TryId Id, TimePoint Now) {
  Try &Task = tryOf(Fleet, Id);
  if (Task.m_Decoding)
    return;
  Task.m_ProgressAt = Now;
  Task.m_FirstTokenAt = Now;
  Task.m_Tokens = std::max(Task.m_Tokens, 1U);
  if (Task.m_Prefill)
    endPrefillLeg(Fleet, Task, Now);
  giveBackPrompt(Fleet.m_Slots[Task.m_Run], Task);
  // What is handed over stays there as well.
  noteKept(Fleet, Task.m_Run, Task, Now);
  startDecoding(Fleet, Task);
  if (Task.m_Kind == Kind::Engine)
    noteFirst(Fleet, Task, Now);
}

void recordProgress(State &Fleet, TryId Id, std::uint32_t Tokens,
                    TimePoint Now) {
  Try &Task = tryOf(Fleet, Id);
  Task.m_Tokens = std::max(Task.m_Tokens, Tokens);
  Task.m_ProgressAt = Now;
}

void recordEnded(State &Fleet, TryId Id, TryOutcome Outcome, TimePoint Now,
                 bool FailedAtPrefill) {
  const auto Found = Fleet.m_Tries.find(Id);
  WASABIVALE_INVARIANT(Found != Fleet.m_Tries.end());
  Try Task = std::move(Found->second);
  Fleet.m_Tries.erase(Found);
  const bool AtPrefill = FailedAtPrefill && Task.m_Prefill.has_value();
  const SlotIndex At = AtPrefill ? *Task.m_Prefill : Task.m_Run;
  // Evidence first: releasing may free the slot of a former incarnation.
  noteEvidence(Fleet, Task, At, Outcome, Now);
  if (Task.m_Prefill)
    endPrefillLeg(Fleet, Task, Now);
  releaseRun(Fleet, Task, Now);
  freeIfUnused(Fleet, Task.m_Run);
}

std::uint32_t inFlightBefore(const State &Fleet, const TargetId &Id,
                             std::uint64_t Generation) {
  std::uint32_t Count = 0;
  for (const Slot &Place : Fleet.m_Slots) {
    if (!Place.m_Used || Place.m_Target.m_Id != Id)
      continue;
    for (const auto &[Began, Tries] : Place.m_ByGeneration) {
      if (Began < Generation)
        Count += Tries;
    }
  }
  return Count;
}

std::uint32_t inFlight(const State &Fleet, const TargetId &Id) {
  std::uint32_t Count = 0;
  for (const Slot &Place : Fleet.m_Slots) {
    if (Place.m_Used && Place.m_Target.m_Id == Id)
      Count += Place.m_Own.m_Requests;
  }
  return Count;
}

bool acceptsNewWork(const State &Fleet, const Leg &Where) {
  const auto Found = Fleet.m_ByTarget.find(Where.m_Target);
  if (Found == Fleet.m_ByTarget.end())
    return false;
  const Target &Known = Fleet.m_Slots[Found->second].m_Target;
  return Known.m_Serving && Known.m_Incarnation == Where.m_Incarnation;
}

std::optional<Health> healthOf(const State &Fleet, const TargetId &Id) {
  const auto Found = Fleet.m_ByTarget.find(Id);
  if (Found == Fleet.m_ByTarget.end())
    return std::nullopt;
  return Fleet.m_Slots[Found->second].m_Health;
}

} // namespace wasabivale::routing
