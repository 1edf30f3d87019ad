// Beliefs about the prefix caches of targets. Wrong beliefs cost time only.

#include "Internal.h"

#include <bit>

namespace wasabivale::routing {

namespace {

/// Cells for each block of KV memory, so that few blocks share a cell.
constexpr std::uint64_t CellsPerBlock = 4;
constexpr std::uint64_t MinCells = 64;

std::size_t cellOf(const CacheHints &Hints, std::uint64_t Block) {
  return Block & (Hints.m_Cells.size() - 1);
}

/// Never zero, which marks an empty cell.
std::uint16_t tagOf(std::uint64_t Block) {
  return static_cast<std::uint16_t>((Block >> 48) | 1);
}

void dropBlock(CacheHints &Hints, std::uint64_t Block) {
  if (hasBlock(Hints, Block))
    Hints.m_Cells[cellOf(Hints, Block)] = 0;
}

} // namespace

bool hasBlock(const CacheHints &Hints, std::uint64_t Block) {
  return !Hints.m_Cells.empty() &&
         Hints.m_Cells[cellOf(Hints, Block)] == tagOf(Block);
}

void addBlock(const Settings &Options, Slot &Place, std::uint64_t Block) {
  CacheHints &Hints = Place.m_Hints;
  if (Hints.m_Cells.empty()) {
    const std::uint64_t Wanted = CellsPerBlock * Place.m_Target.m_KvBlocks;
    const std::uint64_t Bounded = std::clamp<std::uint64_t>(
        Wanted, MinCells,
        std::max<std::uint64_t>(MinCells, Options.m_MaxHintCells));
    Hints.m_Cells.resize(std::bit_floor(Bounded));
  }
  Hints.m_Cells[cellOf(Hints, Block)] = tagOf(Block);
}

std::uint32_t cachedBlocks(const Slot &Place,
                           const std::vector<std::uint64_t> &Blocks) {
  std::uint32_t Count = 0;
  for (std::uint64_t Block : Blocks) {
    if (!hasBlock(Place.m_Hints, Block))
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
  Slot &Place = Fleet.m_Slots[Found->second];
  if (Place.m_Target.m_Incarnation != Incarnation)
    return;
  CacheHints &Hints = Place.m_Hints;
  for (const CacheEvent &Event : Events) {
    if (Hints.m_NextEvent != 0 && Event.m_Number < Hints.m_NextEvent)
      continue;
    if (Hints.m_NextEvent != 0 && Event.m_Number > Hints.m_NextEvent) {
      std::fill(Hints.m_Cells.begin(), Hints.m_Cells.end(), 0);
      ++Fleet.m_Counters.m_CacheGaps;
    }
    Hints.m_NextEvent = Event.m_Number + 1;
    if (Event.m_Added)
      addBlock(Fleet.m_Settings, Place, Event.m_Block);
    else
      dropBlock(Hints, Event.m_Block);
  }
}

} // namespace wasabivale::routing
