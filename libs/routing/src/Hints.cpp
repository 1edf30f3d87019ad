// Approximate contents of targets' prefix caches. Wrong hints cost time only.

#include "Internal.h"

#include <bit>

namespace wasabivale::routing {

namespace {

/// Cells per block of KV memory, so that few blocks share a cell.
constexpr std::uint64_t CellsPerBlock = 4;
constexpr std::uint64_t MinCells = 64;

std::size_t cellIndex(const CacheHints &Hints, std::uint64_t Block) {
  return Block & (Hints.m_Cells.size() - 1);
}

/// Never returns zero, which marks an empty cell.
std::uint16_t blockTag(std::uint64_t Block) {
  return static_cast<std::uint16_t>((Block >> 48) | 1);
}

void dropBlock(CacheHints &Hints, std::uint64_t Block) {
  if (hasBlock(Hints, Block))
    Hints.m_Cells[cellIndex(Hints, Block)] = 0;
}

} // namespace

bool hasBlock(const CacheHints &Hints, std::uint64_t Block) {
  return !Hints.m_Cells.empty() &&
         Hints.m_Cells[cellIndex(Hints, Block)] == blockTag(Block);
}

void addBlock(const Settings &Options, Slot &TargetSlot, std::uint64_t Block) {
  CacheHints &Hints = TargetSlot.m_Hints;
  if (Hints.m_Cells.empty()) {
    const std::uint64_t CellCount =
        CellsPerBlock * TargetSlot.m_Target.m_KvBlocks;
    const std::uint64_t BoundedCount = std::clamp<std::uint64_t>(
        CellCount, MinCells,
        std::max<std::uint64_t>(MinCells, Options.m_MaxHintCells));
    Hints.m_Cells.resize(std::bit_floor(BoundedCount));
  }
  Hints.m_Cells[cellIndex(Hints, Block)] = blockTag(Block);
}

std::uint32_t cachedBlocks(const Slot &TargetSlot,
                           const std::vector<std::uint64_t> &Blocks) {
  std::uint32_t Count = 0;
  for (std::uint64_t Block : Blocks) {
    if (!hasBlock(TargetSlot.m_Hints, Block))
      break;
    ++Count;
  }
  return Count;
}

void applyCacheEvents(State &Fleet, const TargetId &Id,
                      std::string_view Incarnation,
                      const std::vector<CacheEvent> &Events) {
  const auto Found = Fleet.m_ByTarget.find(Id);
  if (Found == Fleet.m_ByTarget.end())
    return;
  Slot &TargetSlot = Fleet.m_Slots[Found->second];
  if (TargetSlot.m_Target.m_Incarnation != Incarnation)
    return;
  CacheHints &Hints = TargetSlot.m_Hints;
  for (const CacheEvent &Event : Events) {
    if (Hints.m_NextEvent != 0 && Event.m_Number < Hints.m_NextEvent)
      continue;
    if (Hints.m_NextEvent != 0 && Event.m_Number > Hints.m_NextEvent) {
      std::fill(Hints.m_Cells.begin(), Hints.m_Cells.end(), 0);
      ++Fleet.m_Counters.m_CacheGaps;
    }
    Hints.m_NextEvent = Event.m_Number + 1;
    if (Event.m_Added)
      addBlock(Fleet.m_Settings, TargetSlot, Event.m_Block);
    else
      dropBlock(Hints, Event.m_Block);
  }
}

} // namespace wasabivale::routing
