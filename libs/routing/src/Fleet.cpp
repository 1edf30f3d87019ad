// Registry of targets: slots by incarnation, and the pools that index them.

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

SlotIndex takeSlot(State &Fleet) {
  if (Fleet.m_FreeSlotIndexes.empty()) {
    Fleet.m_Slots.emplace_back();
    return static_cast<SlotIndex>(Fleet.m_Slots.size() - 1);
  }
  const SlotIndex Index = Fleet.m_FreeSlotIndexes.back();
  Fleet.m_FreeSlotIndexes.pop_back();
  Fleet.m_Slots[Index] = Slot();
  return Index;
}

bool isEjected(const Slot &Place) {
  return Place.m_Health.m_State == HealthState::Ejected ||
         Place.m_Health.m_State == HealthState::Probing;
}

void releaseExcessEverywhere(State &Fleet, const Slot &Place, TimePoint Now) {
  const std::vector<ModelId> Models = Place.m_Target.m_Models;
  const Kind Which = Place.m_Target.m_Kind;
  for (const ModelId &Model : Models)
    releaseExcess(Fleet, poolOf(Fleet, Which, Model), Now);
}

/// Takes the current incarnation out of service for good.
void retireSlot(State &Fleet, SlotIndex Index, TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  unlistSlot(Fleet, Index);
  forgetKept(Fleet, Index);
  Place.m_Current = false;
  refreshSums(Fleet, Index);
  releaseExcessEverywhere(Fleet, Place, Now);
  freeIfUnused(Fleet, Index);
}

/// A target may name a model twice; the pools must not list it twice.
Target withoutRepeats(Target Description) {
  std::vector<ModelId> &Models = Description.m_Models;
  std::sort(Models.begin(), Models.end());
  Models.erase(std::unique(Models.begin(), Models.end()), Models.end());
  return Description;
}

void addSlot(State &Fleet, const Target &Description, TimePoint Now) {
  const SlotIndex Index = takeSlot(Fleet);
  Slot &Place = Fleet.m_Slots[Index];
  Place.m_Target = Description;
  Place.m_Hash = hashBytes(Description.m_Id.m_Value);
  Place.m_Used = true;
  Place.m_Current = true;
  Place.m_Health.m_State = HealthState::Warming;
  Place.m_Health.m_WarmFrom = Now;
  Fleet.m_ByTarget[Description.m_Id] = Index;
  listSlot(Fleet, Index);
  refreshSums(Fleet, Index);
}

void redescribeSlot(State &Fleet, SlotIndex Index, const Target &Description,
                    TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  const bool Returns = Description.m_Serving && !Place.m_Target.m_Serving;
  const Target Former = Place.m_Target;
  unlistSlot(Fleet, Index);
  // Whether memory outlives a change of role is not known.
  if (Former.m_Models != Description.m_Models ||
      Former.m_Role != Description.m_Role)
    forgetKept(Fleet, Index);
  Place.m_Target = Description;
  if (Returns && !isEjected(Place)) {
    Place.m_Health.m_State = HealthState::Warming;
    Place.m_Health.m_WarmFrom = Now;
  }
  listSlot(Fleet, Index);
  refreshSums(Fleet, Index);
  for (const ModelId &Model : Former.m_Models)
    releaseExcess(Fleet, poolOf(Fleet, Former.m_Kind, Model), Now);
  releaseExcessEverywhere(Fleet, Place, Now);
}

} // namespace

Pool &poolOf(State &Fleet, Kind Which, const ModelId &Model) {
  return Fleet.m_Pools[static_cast<std::size_t>(Which)][Model];
}

Pool *findPool(State &Fleet, Kind Which, const ModelId &Model) {
  auto &Pools = Fleet.m_Pools[static_cast<std::size_t>(Which)];
  const auto Found = Pools.find(Model);
  return Found == Pools.end() ? nullptr : &Found->second;
}

bool isEligible(const Slot &Place) {
  return Place.m_Current && Place.m_Target.m_Serving && !isEjected(Place);
}

/// Every entry sets the same engines aside, as far as it knows the same ones.
static void setStreamers(const State &Fleet, Pool &Group) {
  const auto &Decoding = Group.m_ByRole[roleIndex(Role::Decode)];
  const auto Wanted = static_cast<std::size_t>(std::ceil(
      Fleet.m_Settings.m_DecodeOnlyPerPrefill *
      static_cast<double>(Group.m_ByRole[roleIndex(Role::Prefill)].size())));
  // Prompts that no engine in role prefill has time for are read elsewhere.
  const std::size_t Most = Decoding.empty() ? 0 : Decoding.size() - 1;
  Group.m_Streamers = Decoding;
  const auto End = Group.m_Streamers.begin() +
                   static_cast<std::ptrdiff_t>(std::min(Wanted, Most));
  std::partial_sort(Group.m_Streamers.begin(), End, Group.m_Streamers.end(),
                    [&](SlotIndex Left, SlotIndex Right) {
                      return Fleet.m_Slots[Left].m_Hash <
                             Fleet.m_Slots[Right].m_Hash;
                    });
  Group.m_Streamers.erase(End, Group.m_Streamers.end());
  std::sort(Group.m_Streamers.begin(), Group.m_Streamers.end());
}

void listSlot(State &Fleet, SlotIndex Index) {
  const Slot &Place = Fleet.m_Slots[Index];
  const Target &Described = Place.m_Target;
  if (!Place.m_Current || !Described.m_Serving)
    return;
  for (const ModelId &Model : Described.m_Models) {
    Pool &Group = poolOf(Fleet, Described.m_Kind, Model);
    addPlacement(Fleet, Group, Index);
    if (isEjected(Place)) {
      Group.m_Ejected.push_back(Index);
      continue;
    }
    Group.m_ByRole[roleIndex(Described.m_Role)].push_back(Index);
    setStreamers(Fleet, Group);
    if (Described.m_Role != Role::Mixed)
      continue;
    if (Described.m_Zone == Fleet.m_Settings.m_Zone)
      Group.m_InZone.push_back(Index);
    if (Described.m_Region == Fleet.m_Settings.m_Region)
      Group.m_InRegion.push_back(Index);
  }
}

void unlistSlot(State &Fleet, SlotIndex Index) {
  const Slot &Place = Fleet.m_Slots[Index];
  const Target &Described = Place.m_Target;
  for (const ModelId &Model : Described.m_Models) {
    Pool &Group = poolOf(Fleet, Described.m_Kind, Model);
    removePlacement(Fleet, Group, Index);
    eraseValue(Group.m_ByRole[roleIndex(Described.m_Role)], Index);
    eraseValue(Group.m_InZone, Index);
    eraseValue(Group.m_InRegion, Index);
    eraseValue(Group.m_Ejected, Index);
    setStreamers(Fleet, Group);
    subtract(Group.m_Sums[roleIndex(Described.m_Role)], Place.m_Counted);
  }
  Fleet.m_Slots[Index].m_Counted = {};
}

void freeIfUnused(State &Fleet, SlotIndex Index) {
  Slot &Place = Fleet.m_Slots[Index];
  if (Place.m_Current || !Place.m_ByGeneration.empty())
    return;
  Place = Slot();
  Fleet.m_FreeSlotIndexes.push_back(Index);
}

bool updateTarget(State &Fleet, const Target &Announced, TimePoint Now) {
  const Target Description = withoutRepeats(Announced);
  const auto Found = Fleet.m_ByTarget.find(Description.m_Id);
  if (Found == Fleet.m_ByTarget.end()) {
    ++Fleet.m_Counters.m_Described;
    addSlot(Fleet, Description, Now);
    return true;
  }
  const SlotIndex Index = Found->second;
  const Target &Known = Fleet.m_Slots[Index].m_Target;
  if (Known.m_Incarnation != Description.m_Incarnation) {
    retireSlot(Fleet, Index, Now);
    ++Fleet.m_Counters.m_Described;
    addSlot(Fleet, Description, Now);
    return true;
  }
  if (Description.m_Generation < Known.m_Generation)
    return false;
  // Each version of the routes describes every target again; to place one anew
  // takes as long as some hundred choices.
  if (Description == Known)
    return true;
  ++Fleet.m_Counters.m_Described;
  redescribeSlot(Fleet, Index, Description, Now);
  return true;
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
