// Shared by the modules of this library; not for its users.

#ifndef WASABIVALE_ROUTING_INTERNAL_H
#define WASABIVALE_ROUTING_INTERNAL_H

#include "routing/routing.h"

#include <algorithm>

namespace wasabivale::routing {

/// Longest history of own work, in samples and in their least distance.
inline constexpr std::size_t MaxHistory = 12;
inline constexpr Duration HistoryStep = std::chrono::milliseconds(250);

inline double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}
inline Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}
inline std::size_t roleIndex(Role Value) {
  return static_cast<std::size_t>(Value);
}

/// Uniform in [0, 1).
inline double drawUnit(Random &Rng) {
  return static_cast<double>(Rng() >> 11) * 0x1.0p-53;
}
/// Uniform in [0, Count).
inline std::size_t drawIndex(Random &Rng, std::size_t Count) {
  return static_cast<std::size_t>(drawUnit(Rng) * static_cast<double>(Count));
}

// Fleet.cpp
Pool &poolOf(State &Fleet, Kind Which, const ModelId &Model);
Pool *findPool(State &Fleet, Kind Which, const ModelId &Model);
/// Whether new work may go to the slot (a probe aside).
bool isEligible(const Slot &Place);
/// Puts the slot into, or takes it out of, the lists of its pools, as its
/// state demands.
void listSlot(State &Fleet, SlotIndex Index);
void unlistSlot(State &Fleet, SlotIndex Index);
/// Frees a slot that is neither current nor has work.
void freeIfUnused(State &Fleet, SlotIndex Index);

// Placement.cpp
void addPlacement(State &Fleet, Pool &Group, SlotIndex Index);
void removePlacement(State &Fleet, Pool &Group, SlotIndex Index);
/// Rendezvous score of a target for a block.
std::uint64_t placementScore(std::uint64_t TargetHash, std::uint64_t Block);
Partition &partitionOf(Pool &Group, std::uint64_t Block);
/// Adds \p Work, in seconds of one engine, to a bucket's demand.
void addDemand(Partition &Bucket, double Work, TimePoint Now);
/// How many targets in rendezvous order share the bucket now.
std::size_t replicasOf(const State &Fleet, const Partition &Bucket,
                       TimePoint Now);

// Work.cpp
/// Brings the sums of the slot's pools up to date.
void refreshSums(State &Fleet, SlotIndex Index);
void rememberWork(Slot &Place, TimePoint Now);
void subtract(Room &Sum, const Room &Part);
/// Work believed to be at a target now: own, and others' as far as their last
/// report still tells.
struct Load {
  double m_Requests = 0;
  double m_Decoding = 0;
  double m_ForeignPromptTokens = 0;
  double m_PrefillBusy = 0; ///< Part of the time, 0 to 1.
  double m_KvBlocks = 0;
};
Load loadOf(const State &Fleet, const Pool &Group, const Slot &Place,
            TimePoint Now);

// Hints.cpp
bool hasBlock(const CacheHints &Hints, std::uint64_t Block);
void addBlock(const Settings &Options, Slot &Place, std::uint64_t Block);
std::uint32_t cachedBlocks(const Slot &Place,
                           const std::vector<std::uint64_t> &Blocks);

// Kept.cpp
bool keeps(const Slot &Place, std::uint32_t Prefix);
/// An engine that may be used and keeps the prefix, the newest to do so.
std::optional<SlotIndex> holderOf(const State &Fleet, const Pool &Group,
                                  std::uint32_t Prefix);
/// The engine of this slot has read or fetched the prompt of a try.
void noteKept(State &Fleet, SlotIndex Index, const Try &By, TimePoint Now);
/// Its process is gone.
void forgetKept(State &Fleet, SlotIndex Index);

// Health.cpp
double warmFraction(const Settings &Options, const Slot &Place, TimePoint Now);
/// Time that something took, and would take at a target as fast as announced.
struct Timing {
  Duration m_Observed{};
  Duration m_Expected{};
};
void noteFirstTime(State &Fleet, SlotIndex Index, Pool &Group,
                   const Timing &Took, TimePoint Now);
void noteStepTime(State &Fleet, SlotIndex Index, Pool &Group,
                  const Timing &Took, TimePoint Now);
/// Factors on expected times, as far as answers have shown.
double firstSlowness(const Pool &Group, const Slot &Place);
double stepSlowness(const Pool &Group, const Slot &Place);
/// The same for first tokens of all engines of a role.
double roleSlowness(const Pool &Group, Role Which);
void noteSplitTime(Pool &Group, const Timing &Took);
double splitSlowness(const Pool &Group);
void noteGood(State &Fleet, SlotIndex Index, bool Probe, TimePoint Now);
void noteBad(State &Fleet, SlotIndex Index, TryOutcome What, bool Probe,
             TimePoint Now);
void noteProbeUnused(State &Fleet, SlotIndex Index, TimePoint Now);
/// Returns ejected engines in role prefill whose time is over: where they run
/// no whole request, none can probe them.
void readmitPrefill(State &Fleet, Pool &Group, TimePoint Now);
/// Returns ejected targets while more are ejected than the limit allows.
void releaseExcess(State &Fleet, Pool &Group, TimePoint Now);

// Estimates.cpp
struct Leaning {
  Estimate m_Estimate;
  double m_Cost = 0; ///< Seconds; what is compared.
  /// Time to the first token, and for each further one, at a target as fast
  /// as announced.
  Duration m_NormalFirst{};
  Duration m_NormalStep{};
  Duration m_NormalSplit{}; ///< To the first token of a split.
};
/// \p Holder keeps the shared prefix, and others fetch it there; null: each
/// has what it is believed to have.
Leaning leanWhole(const State &Fleet, const Pool &Group, const Slot &Place,
                  const Request &Wanted, const Slot *Holder, TimePoint Now);
/// Prefill part of a split: first token is when its KV is ready.
Leaning leanPrefill(const State &Fleet, const Pool &Group, const Slot &Place,
                    const Request &Wanted, const Slot *Holder, TimePoint Now);
/// Decode part of a split whose prefill ends as \p Prefill says.
Leaning leanDecode(const State &Fleet, const Pool &Group, const Slot &Place,
                   const Request &Wanted, const Leaning &Prefill,
                   TimePoint Now);
/// Seconds that placing the prompt's prefix at its home is worth.
double homeValue(const State &Fleet, const Slot &Place, const Request &Wanted);
std::uint64_t kvBlocksNeeded(const Request &Wanted);

// Choose.cpp
struct Pick {
  SlotIndex m_Run = 0;
  std::optional<SlotIndex> m_Prefill;
  /// Keeps the shared prefix, if another engine reads the prompt.
  std::optional<SlotIndex> m_FetchFrom;
  Leaning m_Leaning;
  bool m_Probe = false;
};
std::optional<Pick> pick(State &Fleet, Pool &Group, const Request &Wanted,
                         TimePoint Now, Random &Rng, bool MayProbe);

// Tries.cpp
Choice reserve(State &Fleet, Pool &Group, const Pick &Chosen,
               const Request &Wanted, TimePoint Now);

} // namespace wasabivale::routing

#endif // WASABIVALE_ROUTING_INTERNAL_H
