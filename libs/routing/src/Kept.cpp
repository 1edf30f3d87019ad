// Which engines keep the shared beginnings of prompts. Entries tell each other,
// so that a prefix is read once in the fleet and fetched from then on. Wrong
// beliefs cost time only.

#include "Internal.h"

namespace wasabivale::routing {

namespace {

/// Most news that wait to be told; the oldest give way.
constexpr std::size_t MaxNews = 256;

double capacityOf(const State &Fleet, const Slot &Place) {
  return Fleet.m_Settings.m_KeptShare * Place.m_Target.m_KvBlocks;
}

std::vector<KeptHere>::iterator find(Slot &Place, std::uint32_t Prefix) {
  return std::find_if(
      Place.m_Kept.begin(), Place.m_Kept.end(),
      [&](const KeptHere &Each) { return Each.m_Prefix == Prefix; });
}

void forgetHolder(State &Fleet, SlotIndex Index, std::uint32_t Prefix) {
  const Target &At = Fleet.m_Slots[Index].m_Target;
  for (const ModelId &Model : At.m_Models) {
    Pool &Group = poolOf(Fleet, At.m_Kind, Model);
    const auto Found = Group.m_Holders.find(Prefix);
    if (Found == Group.m_Holders.end())
      continue;
    std::erase(Found->second, Index);
    if (Found->second.empty())
      Group.m_Holders.erase(Found);
  }
}

/// The engine evicts what was used least recently.
void evict(State &Fleet, SlotIndex Index) {
  Slot &Place = Fleet.m_Slots[Index];
  double Blocks = 0;
  for (const KeptHere &Each : Place.m_Kept)
    Blocks += Each.m_Blocks;
  while (Place.m_Kept.size() > 1 && Blocks > capacityOf(Fleet, Place)) {
    Blocks -= Place.m_Kept.front().m_Blocks;
    forgetHolder(Fleet, Index, Place.m_Kept.front().m_Prefix);
    Place.m_Kept.erase(Place.m_Kept.begin());
  }
}

/// Moves it to the end of the list of what is kept there.
KeptHere &keep(State &Fleet, SlotIndex Index, std::uint32_t Prefix,
               std::uint32_t Blocks) {
  Slot &Place = Fleet.m_Slots[Index];
  KeptHere Known{Prefix, Blocks, {}};
  if (const auto Found = find(Place, Prefix); Found != Place.m_Kept.end()) {
    Known.m_ToldAt = Found->m_ToldAt;
    Place.m_Kept.erase(Found);
  }
  Place.m_Kept.push_back(Known);
  for (const ModelId &Model : Place.m_Target.m_Models) {
    auto &Holders =
        poolOf(Fleet, Place.m_Target.m_Kind, Model).m_Holders[Prefix];
    std::erase(Holders, Index);
    Holders.push_back(Index);
  }
  evict(Fleet, Index);
  return Place.m_Kept.back();
}

} // namespace

bool keeps(const Slot &Place, std::uint32_t Prefix) {
  return std::any_of(
      Place.m_Kept.begin(), Place.m_Kept.end(),
      [&](const KeptHere &Each) { return Each.m_Prefix == Prefix; });
}

std::optional<SlotIndex> holderOf(const State &Fleet, const Pool &Group,
                                  std::uint32_t Prefix) {
  const auto Found = Group.m_Holders.find(Prefix);
  if (Found == Group.m_Holders.end())
    return std::nullopt;
  for (auto Each = Found->second.rbegin(); Each != Found->second.rend(); ++Each)
    if (isEligible(Fleet.m_Slots[*Each]))
      return *Each;
  return std::nullopt;
}

void noteKept(State &Fleet, SlotIndex Index, const Try &By, TimePoint Now) {
  const Slot &Place = Fleet.m_Slots[Index];
  if (By.m_PrefixBlocks == 0 || !Place.m_Used || !Place.m_Current)
    return;
  KeptHere &Known = keep(Fleet, Index, By.m_Prefix, By.m_PrefixBlocks);
  if (Known.m_ToldAt != TimePoint() &&
      Now - Known.m_ToldAt < Fleet.m_Settings.m_TellKeptAgain)
    return;
  Known.m_ToldAt = Now;
  if (Fleet.m_KeptNews.size() == MaxNews)
    Fleet.m_KeptNews.erase(Fleet.m_KeptNews.begin());
  Fleet.m_KeptNews.push_back(
      {Place.m_Target.m_Id, By.m_Prefix, By.m_PrefixBlocks});
}

void forgetKept(State &Fleet, SlotIndex Index) {
  for (const KeptHere &Each : Fleet.m_Slots[Index].m_Kept)
    forgetHolder(Fleet, Index, Each.m_Prefix);
  Fleet.m_Slots[Index].m_Kept.clear();
}

std::vector<CachedPrefix> takePrefixUpdates(State &Fleet) {
  return std::exchange(Fleet.m_KeptNews, {});
}

void applyPrefixUpdates(State &Fleet, const std::vector<CachedPrefix> &Told) {
  for (const CachedPrefix &Each : Told) {
    const auto Found = Fleet.m_ByTarget.find(Each.m_Target);
    if (Found != Fleet.m_ByTarget.end() && Each.m_Blocks > 0)
      keep(Fleet, Found->second, Each.m_Prefix, Each.m_Blocks);
  }
}

} // namespace wasabivale::routing
