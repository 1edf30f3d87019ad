// Tracks which engines have shared prompt prefixes cached. Entries announce
// prefixes to each other, so that a prefix is prefilled once in the fleet and
// fetched from then on. Wrong information costs time only.

#include "Internal.h"

namespace wasabivale::routing {

namespace {

/// Maximum number of pending updates; the oldest are dropped first.
constexpr std::size_t MaxPendingUpdates = 256;
/// Holders of a prefix that are considered; the engines that used it last are
/// the least likely to have evicted it.
constexpr std::size_t MaxHolders = 16;

double prefixCapacity(const State &Fleet, const Slot &TargetSlot) {
  return Fleet.m_Settings.m_PrefixCacheShare * TargetSlot.m_Target.m_KvBlocks;
}

std::vector<CachedPrefixEntry>::iterator findEntry(Slot &TargetSlot,
                                                   std::uint32_t Prefix) {
  return std::find_if(
      TargetSlot.m_CachedPrefixes.begin(), TargetSlot.m_CachedPrefixes.end(),
      [&](const CachedPrefixEntry &Entry) { return Entry.m_Prefix == Prefix; });
}

void removeHolder(State &Fleet, SlotIndex Index, std::uint32_t Prefix) {
  const Target &Engine = Fleet.m_Slots[Index].m_Target;
  for (const ModelId &Model : Engine.m_Models) {
    Pool &TargetPool = getPool(Fleet, Engine.m_Kind, Model);
    const auto Found = TargetPool.m_PrefixHolders.find(Prefix);
    if (Found == TargetPool.m_PrefixHolders.end())
      continue;
    std::erase(Found->second, Index);
    if (Found->second.empty())
      TargetPool.m_PrefixHolders.erase(Found);
  }
}

/// Removes the least recently used prefixes, as the engine evicts them.
void evictExcess(State &Fleet, SlotIndex Index) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  double Blocks = 0;
  for (const CachedPrefixEntry &Entry : TargetSlot.m_CachedPrefixes)
    Blocks += Entry.m_Blocks;
  while (TargetSlot.m_CachedPrefixes.size() > 1 &&
         Blocks > prefixCapacity(Fleet, TargetSlot)) {
    Blocks -= TargetSlot.m_CachedPrefixes.front().m_Blocks;
    removeHolder(Fleet, Index, TargetSlot.m_CachedPrefixes.front().m_Prefix);
    TargetSlot.m_CachedPrefixes.erase(TargetSlot.m_CachedPrefixes.begin());
  }
}

/// Adds the prefix at, or moves it to, the most recently used end of the list.
CachedPrefixEntry &addPrefix(State &Fleet, SlotIndex Index,
                             std::uint32_t Prefix, std::uint32_t Blocks) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  CachedPrefixEntry Entry{Prefix, Blocks, {}};
  if (const auto Found = findEntry(TargetSlot, Prefix);
      Found != TargetSlot.m_CachedPrefixes.end()) {
    Entry.m_AnnouncedAt = Found->m_AnnouncedAt;
    TargetSlot.m_CachedPrefixes.erase(Found);
  }
  TargetSlot.m_CachedPrefixes.push_back(Entry);
  for (const ModelId &Model : TargetSlot.m_Target.m_Models) {
    auto &Holders = getPool(Fleet, TargetSlot.m_Target.m_Kind, Model)
                        .m_PrefixHolders[Prefix];
    std::erase(Holders, Index);
    Holders.push_back(Index);
  }
  evictExcess(Fleet, Index);
  return TargetSlot.m_CachedPrefixes.back();
}

} // namespace

bool hasPrefix(const Slot &TargetSlot, std::uint32_t Prefix) {
  return std::any_of(
      TargetSlot.m_CachedPrefixes.begin(), TargetSlot.m_CachedPrefixes.end(),
      [&](const CachedPrefixEntry &Entry) { return Entry.m_Prefix == Prefix; });
}

std::vector<SlotIndex> findPrefixHolders(const State &Fleet,
                                         const Pool &TargetPool,
                                         std::uint32_t Prefix) {
  std::vector<SlotIndex> Holders;
  const auto Found = TargetPool.m_PrefixHolders.find(Prefix);
  if (Found == TargetPool.m_PrefixHolders.end())
    return Holders;
  for (auto Holder = Found->second.rbegin();
       Holder != Found->second.rend() && Holders.size() < MaxHolders; ++Holder)
    if (isEligible(Fleet.m_Slots[*Holder]))
      Holders.push_back(*Holder);
  return Holders;
}

void recordCachedPrefix(State &Fleet, SlotIndex Index, const Try &Attempt,
                        TimePoint Now) {
  const Slot &TargetSlot = Fleet.m_Slots[Index];
  if (Attempt.m_PrefixBlocks == 0 || !TargetSlot.m_Used ||
      !TargetSlot.m_Current)
    return;
  CachedPrefixEntry &Entry =
      addPrefix(Fleet, Index, Attempt.m_Prefix, Attempt.m_PrefixBlocks);
  if (Entry.m_AnnouncedAt != TimePoint() &&
      Now - Entry.m_AnnouncedAt < Fleet.m_Settings.m_PrefixAnnounceInterval)
    return;
  Entry.m_AnnouncedAt = Now;
  if (Fleet.m_PrefixUpdates.size() == MaxPendingUpdates)
    Fleet.m_PrefixUpdates.erase(Fleet.m_PrefixUpdates.begin());
  Fleet.m_PrefixUpdates.push_back(
      {TargetSlot.m_Target.m_Id, Attempt.m_Prefix, Attempt.m_PrefixBlocks});
}

void clearCachedPrefixes(State &Fleet, SlotIndex Index) {
  for (const CachedPrefixEntry &Entry : Fleet.m_Slots[Index].m_CachedPrefixes)
    removeHolder(Fleet, Index, Entry.m_Prefix);
  Fleet.m_Slots[Index].m_CachedPrefixes.clear();
}

std::vector<CachedPrefix> takePrefixUpdates(State &Fleet) {
  return std::exchange(Fleet.m_PrefixUpdates, {});
}

void applyPrefixUpdates(State &Fleet,
                        const std::vector<CachedPrefix> &Updates) {
  for (const CachedPrefix &Update : Updates) {
    const auto Found = Fleet.m_ByTarget.find(Update.m_Target);
    if (Found != Fleet.m_ByTarget.end() && Update.m_Blocks > 0)
      addPrefix(Fleet, Found->second, Update.m_Prefix, Update.m_Blocks);
  }
}

} // namespace wasabivale::routing
