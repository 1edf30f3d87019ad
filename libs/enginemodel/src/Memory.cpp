#include "Memory.h"

#include <algorithm>

namespace wasabivale::enginemodel {

namespace {

void use(Engine &At, std::uint64_t Block) {
  CachedBlock &Found = At.m_Cache.at(Block);
  if (Found.m_Users++ == 0)
    At.m_Unused.erase(Found.m_LastUse);
}

void unuse(Engine &At, std::uint64_t Block) {
  CachedBlock &Found = At.m_Cache.at(Block);
  WASABIVALE_INVARIANT(Found.m_Users > 0);
  if (--Found.m_Users > 0)
    return;
  Found.m_LastUse = ++At.m_Uses;
  At.m_Unused.emplace(Found.m_LastUse, Block);
}

void evictOldest(Engine &At) {
  const auto Oldest = At.m_Unused.begin();
  At.m_Events.push_back({At.m_Now, EventKind::CacheRemoved, 0, Oldest->second});
  At.m_Cache.erase(Oldest->second);
  At.m_Unused.erase(Oldest);
}

std::uint64_t unreservedBlocks(const Engine &At) {
  const std::uint64_t Used = At.m_PrivateBlocks + At.m_Cache.size();
  WASABIVALE_INVARIANT(Used <= At.m_Settings.m_KvBlocks);
  return At.m_Settings.m_KvBlocks - Used;
}

} // namespace

std::uint64_t blocksNeeded(const Run &What) {
  return (What.m_PromptTokens + What.m_OutputTokens + BlockTokens - 1) /
         BlockTokens;
}

std::uint64_t freeBlocks(const Engine &At) {
  return unreservedBlocks(At) + At.m_Unused.size();
}

bool reserve(Engine &At, ActiveRun &For) {
  const auto &Blocks = For.m_Run.m_Blocks;
  std::uint64_t Hits = 0;
  std::uint64_t UnusedHits = 0;
  for (; Hits < Blocks.size(); ++Hits) {
    const auto Found = At.m_Cache.find(Blocks[Hits]);
    if (Found == At.m_Cache.end())
      break;
    UnusedHits += Found->second.m_Users == 0 ? 1 : 0;
  }
  const std::uint64_t Needed = blocksNeeded(For.m_Run) - Hits;
  if (Needed > freeBlocks(At) - UnusedHits)
    return false;
  for (std::uint64_t I = 0; I < Hits; ++I)
    use(At, Blocks[I]);
  while (Needed > unreservedBlocks(At))
    evictOldest(At);
  For.m_CachedBlocks = Hits;
  For.m_PrivateBlocks = Needed;
  At.m_PrivateBlocks += Needed;
  return true;
}

void publish(Engine &At, ActiveRun &Of) {
  auto &Blocks = Of.m_Run.m_Blocks;
  for (std::uint64_t I = Of.m_CachedBlocks; I < Blocks.size(); ++I) {
    const bool Added = At.m_Cache.emplace(Blocks[I], CachedBlock{1, 0}).second;
    if (!Added) {
      // Another run has published it meanwhile. Its own copy stays private.
      Blocks.resize(I);
      break;
    }
    --Of.m_PrivateBlocks;
    --At.m_PrivateBlocks;
    At.m_Events.push_back({At.m_Now, EventKind::CacheAdded, 0, Blocks[I]});
  }
  Of.m_CachedBlocks = Blocks.size();
}

void release(Engine &At, const ActiveRun &Of) {
  At.m_PrivateBlocks -= Of.m_PrivateBlocks;
  // Leaves first: the block that others are more likely to share goes last.
  for (std::uint64_t I = Of.m_CachedBlocks; I > 0; --I)
    unuse(At, Of.m_Run.m_Blocks[I - 1]);
}

void clearCache(Engine &At) {
  while (!At.m_Unused.empty())
    evictOldest(At);
}

} // namespace wasabivale::enginemodel
