// Target registry: one slot per incarnation, and the pools that index the
// slots.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

void eraseValue(std::vector<SlotIndex> &List, SlotIndex Value) {
  const auto Found = std::find(List.begin(), List.end(), Value);
  if (Found == List.end())
    return;
  *Found = List.back();
  List.pop_back();
}

SlotIndex allocateSlot(State &Fleet) {
  if (Fleet.m_FreeSlotIndexes.empty()) {
    Fleet.m_Slots.emplace_back();
    return static_cast<SlotIndex>(Fleet.m_Slots.size() - 1);
  }
  const SlotIndex Index = Fleet.m_FreeSlotIndexes.back();
  Fleet.m_FreeSlotIndexes.pop_back();
  Fleet.m_Slots[Index] = Slot();
  return Index;
}

bool isEjected(const Slot &TargetSlot) {
  return TargetSlot.m_Health.m_State == HealthState::Ejected ||
         TargetSlot.m_Health.m_State == HealthState::Probing;
}

void readmitExcessInPools(State &Fleet, const Slot &TargetSlot, TimePoint Now) {
  const std::vector<ModelId> Models = TargetSlot.m_Target.m_Models;
  const Kind TargetKind = TargetSlot.m_Target.m_Kind;
  for (const ModelId &Model : Models)
    readmitExcess(Fleet, getPool(Fleet, TargetKind, Model), Now);
}

/// Permanently removes the current incarnation from service.
void retireSlot(State &Fleet, SlotIndex Index, TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  removeFromPools(Fleet, Index);
  clearCachedPrefixes(Fleet, Index);
  TargetSlot.m_Current = false;
  updateTotals(Fleet, Index);
  readmitExcessInPools(Fleet, TargetSlot, Now);
  freeIfUnused(Fleet, Index);
}

/// Removes duplicate models, which would list the target twice in one pool.
Target withUniqueModels(Target Description) {
  std::vector<ModelId> &Models = Description.m_Models;
  std::sort(Models.begin(), Models.end());
  Models.erase(std::unique(Models.begin(), Models.end()), Models.end());
  return Description;
}

void addSlot(State &Fleet, const Target &Description, TimePoint Now) {
  const SlotIndex Index = allocateSlot(Fleet);
  Slot &TargetSlot = Fleet.m_Slots[Index];
  TargetSlot.m_Target = Description;
  TargetSlot.m_Hash = hashBytes(Description.m_Id.m_Value);
  TargetSlot.m_Used = true;
  TargetSlot.m_Current = true;
  TargetSlot.m_Health.m_State = HealthState::Warming;
  TargetSlot.m_Health.m_WarmUpStart = Now;
  Fleet.m_ByTarget[Description.m_Id] = Index;
  addToPools(Fleet, Index);
  updateTotals(Fleet, Index);
}

void updateSlot(State &Fleet, SlotIndex Index, const Target &Description,
                TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  const bool ResumesServing =
      Description.m_Serving && !TargetSlot.m_Target.m_Serving;
  const Target Previous = TargetSlot.m_Target;
  removeFromPools(Fleet, Index);
  // It is unknown whether KV memory survives a change of role.
  if (Previous.m_Models != Description.m_Models ||
      Previous.m_Role != Description.m_Role)
    clearCachedPrefixes(Fleet, Index);
  TargetSlot.m_Target = Description;
  if (ResumesServing && !isEjected(TargetSlot)) {
    TargetSlot.m_Health.m_State = HealthState::Warming;
    TargetSlot.m_Health.m_WarmUpStart = Now;
  }
  addToPools(Fleet, Index);
  updateTotals(Fleet, Index);
  for (const ModelId &Model : Previous.m_Models)
    readmitExcess(Fleet, getPool(Fleet, Previous.m_Kind, Model), Now);
  readmitExcessInPools(Fleet, TargetSlot, Now);
}

} // namespace

static Slot *findIncarnation(State &Fleet, const Leg &TargetLeg) {
  const auto Found = Fleet.m_ByTarget.find(TargetLeg.m_Target);
  if (Found == Fleet.m_ByTarget.end())
    return nullptr;
  Slot &Current = Fleet.m_Slots[Found->second];
  return Current.m_Target.m_Incarnation == TargetLeg.m_Incarnation ? &Current
                                                                   : nullptr;
}

Pool &getPool(State &Fleet, Kind TargetKind, const ModelId &Model) {
  return Fleet.m_Pools[static_cast<std::size_t>(TargetKind)][Model];
}

Pool *findPool(State &Fleet, Kind TargetKind, const ModelId &Model) {
  auto &Pools = Fleet.m_Pools[static_cast<std::size_t>(TargetKind)];
  const auto Found = Pools.find(Model);
  return Found == Pools.end() ? nullptr : &Found->second;
}

bool isServing(const Slot &TargetSlot) {
  return TargetSlot.m_Current && TargetSlot.m_Target.m_Serving &&
         !TargetSlot.m_Leaving;
}

bool isEligible(const Slot &TargetSlot) {
  return isServing(TargetSlot) && !isEjected(TargetSlot);
}

/// Selects the decode-only engines of a pool. The order by hash makes all
/// entries that know the same engines select the same ones.
static void updateDecodeOnly(const State &Fleet, Pool &TargetPool) {
  const auto &Decoding = TargetPool.m_ByRole[roleIndex(Role::Decode)];
  const auto Count = static_cast<std::size_t>(
      std::ceil(Fleet.m_Settings.m_DecodeOnlyPerPrefill *
                static_cast<double>(
                    TargetPool.m_ByRole[roleIndex(Role::Prefill)].size())));
  // One decode engine is left to prefill prompts that exceed the capacity of
  // the engines in role prefill.
  const std::size_t MaxCount = Decoding.empty() ? 0 : Decoding.size() - 1;
  TargetPool.m_DecodeOnly = Decoding;
  const auto End = TargetPool.m_DecodeOnly.begin() +
                   static_cast<std::ptrdiff_t>(std::min(Count, MaxCount));
  std::partial_sort(
      TargetPool.m_DecodeOnly.begin(), End, TargetPool.m_DecodeOnly.end(),
      [&](SlotIndex Left, SlotIndex Right) {
        return Fleet.m_Slots[Left].m_Hash < Fleet.m_Slots[Right].m_Hash;
      });
  TargetPool.m_DecodeAndPrefill.assign(End, TargetPool.m_DecodeOnly.end());
  TargetPool.m_DecodeOnly.erase(End, TargetPool.m_DecodeOnly.end());
  std::sort(TargetPool.m_DecodeOnly.begin(), TargetPool.m_DecodeOnly.end());
}

void addToPools(State &Fleet, SlotIndex Index) {
  const Slot &TargetSlot = Fleet.m_Slots[Index];
  const Target &TargetInfo = TargetSlot.m_Target;
  if (!isServing(TargetSlot))
    return;
  for (const ModelId &Model : TargetInfo.m_Models) {
    Pool &TargetPool = getPool(Fleet, TargetInfo.m_Kind, Model);
    addPlacement(Fleet, TargetPool, Index);
    if (isEjected(TargetSlot)) {
      TargetPool.m_Ejected.push_back(Index);
      continue;
    }
    TargetPool.m_ByRole[roleIndex(TargetInfo.m_Role)].push_back(Index);
    updateDecodeOnly(Fleet, TargetPool);
    if (TargetInfo.m_Role != Role::Mixed)
      continue;
    if (TargetInfo.m_Zone == Fleet.m_Settings.m_Zone)
      TargetPool.m_InZone.push_back(Index);
    if (TargetInfo.m_Region == Fleet.m_Settings.m_Region)
      TargetPool.m_InRegion.push_back(Index);
  }
}

void removeFromPools(State &Fleet, SlotIndex Index) {
  const Slot &TargetSlot = Fleet.m_Slots[Index];
  const Target &TargetInfo = TargetSlot.m_Target;
  for (const ModelId &Model : TargetInfo.m_Models) {
    Pool &TargetPool = getPool(Fleet, TargetInfo.m_Kind, Model);
    removePlacement(Fleet, TargetPool, Index);
    eraseValue(TargetPool.m_ByRole[roleIndex(TargetInfo.m_Role)], Index);
    eraseValue(TargetPool.m_InZone, Index);
    eraseValue(TargetPool.m_InRegion, Index);
    eraseValue(TargetPool.m_Ejected, Index);
    updateDecodeOnly(Fleet, TargetPool);
    subtract(TargetPool.m_Totals[roleIndex(TargetInfo.m_Role)],
             TargetSlot.m_Contribution);
  }
  Fleet.m_Slots[Index].m_Contribution = {};
}

void freeIfUnused(State &Fleet, SlotIndex Index) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  if (TargetSlot.m_Current || !TargetSlot.m_ByGeneration.empty())
    return;
  TargetSlot = Slot();
  Fleet.m_FreeSlotIndexes.push_back(Index);
}

bool updateTarget(State &Fleet, const Target &RawDescription, TimePoint Now) {
  const Target Description = withUniqueModels(RawDescription);
  const auto Found = Fleet.m_ByTarget.find(Description.m_Id);
  if (Found == Fleet.m_ByTarget.end()) {
    ++Fleet.m_Counters.m_TargetChanges;
    addSlot(Fleet, Description, Now);
    return true;
  }
  const SlotIndex Index = Found->second;
  const Target &Current = Fleet.m_Slots[Index].m_Target;
  if (Current.m_Incarnation != Description.m_Incarnation) {
    retireSlot(Fleet, Index, Now);
    ++Fleet.m_Counters.m_TargetChanges;
    addSlot(Fleet, Description, Now);
    return true;
  }
  if (Description.m_Generation < Current.m_Generation)
    return false;
  // Each version of the routes describes every target again, and updating the
  // placement of one target takes as long as several hundred choices.
  if (Description == Current)
    return true;
  ++Fleet.m_Counters.m_TargetChanges;
  updateSlot(Fleet, Index, Description, Now);
  return true;
}

bool closeTarget(State &Fleet, const Leg &TargetLeg, TimePoint Now) {
  Slot *TargetSlot = findIncarnation(Fleet, TargetLeg);
  if (TargetSlot == nullptr || TargetSlot->m_Leaving)
    return false;
  const SlotIndex Index = Fleet.m_ByTarget[TargetLeg.m_Target];
  removeFromPools(Fleet, Index);
  TargetSlot->m_Leaving = true;
  updateTotals(Fleet, Index);
  readmitExcessInPools(Fleet, *TargetSlot, Now);
  return true;
}

void recordSilence(State &Fleet, const Leg &TargetLeg, TimePoint Since,
                   TimePoint Now) {
  Slot *TargetSlot = findIncarnation(Fleet, TargetLeg);
  if (TargetSlot == nullptr)
    return;
  const TimePoint Start = std::max(Since, TargetSlot->m_HeardAt);
  TargetSlot->m_SilentSince =
      hasKnownSilence(Fleet.m_Settings, *TargetSlot, Now)
          ? std::min(TargetSlot->m_SilentSince, Start)
          : Start;
  TargetSlot->m_SilentAt = Now;
}

void recordHeard(State &Fleet, const Leg &TargetLeg, TimePoint Now) {
  if (Slot *TargetSlot = findIncarnation(Fleet, TargetLeg)) {
    TargetSlot->m_HeardAt = Now;
    TargetSlot->m_SilentAt = {};
  }
}

/// Whether a request of this entry has waited at a target since \p Since.
static bool hasWaitedSince(const State &Fleet, SlotIndex Index,
                           TimePoint Since) {
  return std::any_of(
      Fleet.m_Tries.begin(), Fleet.m_Tries.end(), [&](const auto &Item) {
        const Try &Attempt = Item.second;
        return Attempt.m_Started && Attempt.m_ProgressAt <= Since &&
               Attempt.m_Prefill.value_or(Attempt.m_Run) == Index;
      });
}

SilenceEvidence silenceEvidence(const State &Fleet, const Leg &SilentLeg,
                                TimePoint Since, TimePoint Now) {
  /// How long bytes count as a sign that a target is not silent now.
  constexpr std::chrono::milliseconds HeardOfLate{500};
  /// Requests of one moment are sent some milliseconds apart.
  constexpr std::chrono::milliseconds SameMoment{100};
  SilenceEvidence Others;
  const auto Found = Fleet.m_ByTarget.find(SilentLeg.m_Target);
  if (Found == Fleet.m_ByTarget.end())
    return Others;
  const Target &Silent = Fleet.m_Slots[Found->second].m_Target;
  for (SlotIndex Index = 0; Index < Fleet.m_Slots.size(); ++Index) {
    const Slot &Other = Fleet.m_Slots[Index];
    if (Index == Found->second || !Other.m_Used || !isServing(Other) ||
        Other.m_Target.m_Kind != Silent.m_Kind ||
        Other.m_Target.m_Models != Silent.m_Models)
      continue;
    if (Now - Other.m_HeardAt <= HeardOfLate)
      ++Others.m_Heard;
    else if (isSilent(Fleet.m_Settings, Other, Now))
      ++Others.m_Silent;
    else if (hasWaitedSince(Fleet, Index, Since + SameMoment))
      ++Others.m_Waiting;
  }
  return Others;
}

bool isSilenceOfOne(const SilenceEvidence &Others) {
  if (Others.m_Heard == 0)
    return Others.m_Silent == 0 && Others.m_Waiting == 0;
  return Others.m_Heard >= Others.m_Silent;
}

void recordStalled(State &Fleet, TryId Id, bool AtPrefill, TimePoint Now) {
  const auto Found = Fleet.m_Tries.find(Id);
  WASABIVALE_INVARIANT(Found != Fleet.m_Tries.end());
  Try &Attempt = Found->second;
  const SlotIndex Index =
      AtPrefill ? Attempt.m_Prefill.value_or(Attempt.m_Run) : Attempt.m_Run;
  // A probe that goes on says nothing more when it ends.
  const bool IsProbe = std::exchange(Attempt.m_Probe, false);
  recordFailure(Fleet, Index, TryOutcome::Stalled, IsProbe, Now);
}

bool isSilent(const State &Fleet, const Leg &TargetLeg, TimePoint Now) {
  const auto Found = Fleet.m_ByTarget.find(TargetLeg.m_Target);
  return Found != Fleet.m_ByTarget.end() &&
         isSilent(Fleet.m_Settings, Fleet.m_Slots[Found->second], Now);
}

Duration silenceOf(const State &Fleet, const Leg &TargetLeg, TimePoint Now) {
  const auto Found = Fleet.m_ByTarget.find(TargetLeg.m_Target);
  if (Found == Fleet.m_ByTarget.end())
    return {};
  const Slot &TargetSlot = Fleet.m_Slots[Found->second];
  if (TargetSlot.m_Target.m_Incarnation != TargetLeg.m_Incarnation ||
      !hasKnownSilence(Fleet.m_Settings, TargetSlot, Now))
    return {};
  return Now - TargetSlot.m_SilentSince;
}

bool isClosed(const State &Fleet, const Leg &TargetLeg) {
  const auto Found = Fleet.m_ByTarget.find(TargetLeg.m_Target);
  if (Found == Fleet.m_ByTarget.end())
    return false;
  const Slot &Current = Fleet.m_Slots[Found->second];
  return Current.m_Leaving &&
         Current.m_Target.m_Incarnation == TargetLeg.m_Incarnation;
}

void restTarget(State &Fleet, const Leg &TargetLeg, TimePoint Until,
                TimePoint Now) {
  std::erase_if(Fleet.m_Resting, [&](SlotIndex Index) {
    return Fleet.m_Slots[Index].m_RestingUntil <= Now;
  });
  Slot *TargetSlot = findIncarnation(Fleet, TargetLeg);
  if (TargetSlot == nullptr || Until <= TargetSlot->m_RestingUntil)
    return;
  const SlotIndex Index = Fleet.m_ByTarget[TargetLeg.m_Target];
  TargetSlot->m_RestingUntil = Until;
  if (std::find(Fleet.m_Resting.begin(), Fleet.m_Resting.end(), Index) ==
      Fleet.m_Resting.end())
    Fleet.m_Resting.push_back(Index);
}

void removeTarget(State &Fleet, const TargetId &Id, TimePoint Now) {
  const auto Found = Fleet.m_ByTarget.find(Id);
  if (Found == Fleet.m_ByTarget.end())
    return;
  const SlotIndex Index = Found->second;
  Fleet.m_ByTarget.erase(Found);
  retireSlot(Fleet, Index, Now);
}

} // namespace wasabivale::routing
