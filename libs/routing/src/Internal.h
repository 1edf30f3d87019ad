// Internal declarations shared by the source files of this library.

#ifndef WASABIVALE_ROUTING_INTERNAL_H
#define WASABIVALE_ROUTING_INTERNAL_H

#include "routing/routing.h"

#include <algorithm>

namespace wasabivale::routing {

/// Maximum number of samples in the history of own work, and the minimum time
/// between them.
inline constexpr std::size_t MaxHistorySamples = 12;
inline constexpr Duration MinHistoryInterval = std::chrono::milliseconds(250);

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

/// Returns a uniform random number in [0, 1).
inline double randomUnit(Random &Rng) {
  return static_cast<double>(Rng() >> 11) * 0x1.0p-53;
}
/// Returns a uniform random number in [0, Count).
inline std::size_t randomIndex(Random &Rng, std::size_t Count) {
  return static_cast<std::size_t>(randomUnit(Rng) * static_cast<double>(Count));
}

// Fleet.cpp
Pool &getPool(State &Fleet, Kind TargetKind, const ModelId &Model);
Pool *findPool(State &Fleet, Kind TargetKind, const ModelId &Model);
/// Whether the slot is in service, ejected or not.
bool isServing(const Slot &TargetSlot);
/// Whether new work other than a probe may be sent to the slot.
bool isEligible(const Slot &TargetSlot);
/// Adds the slot to, or removes it from, the lists of its pools according to
/// its state.
void addToPools(State &Fleet, SlotIndex Index);
void removeFromPools(State &Fleet, SlotIndex Index);
/// Frees a slot that is neither current nor has work.
void freeIfUnused(State &Fleet, SlotIndex Index);

// Placement.cpp
void addPlacement(State &Fleet, Pool &TargetPool, SlotIndex Index);
void removePlacement(State &Fleet, Pool &TargetPool, SlotIndex Index);
/// Returns the rendezvous score of a target for a block.
std::uint64_t placementScore(std::uint64_t TargetHash, std::uint64_t Block);
Partition &getPartition(Pool &TargetPool, std::uint64_t Block);
/// Adds \p EngineSeconds to the demand of a bucket.
void addDemand(Partition &Bucket, double EngineSeconds, TimePoint Now);
/// Returns how many targets in rendezvous order currently share the bucket.
std::size_t replicaCount(const State &Fleet, const Partition &Bucket,
                         TimePoint Now);

// Work.cpp
/// Updates the totals of the slot's pools.
void updateTotals(State &Fleet, SlotIndex Index);
void recordWorkSample(Slot &TargetSlot, TimePoint Now);
void subtract(PoolTotals &Sum, const PoolTotals &Contribution);
/// Estimated current work at a target: own work, plus the work of other entries
/// as far as their last report is still valid.
struct Load {
  double m_Requests = 0;
  double m_Decoding = 0;
  double m_PeerPromptTokens = 0;
  double m_PrefillBusy = 0; ///< Fraction of the time, 0 to 1.
  double m_KvBlocks = 0;
};
Load estimateLoad(const State &Fleet, const Pool &TargetPool,
                  const Slot &TargetSlot, TimePoint Now);

/// Own requests that hold or wait for a place at the target.
inline std::uint32_t ownPresent(const Slot &TargetSlot) {
  return TargetSlot.m_Own.m_Requests - TargetSlot.m_Own.m_Incoming;
}

// Hints.cpp
bool hasBlock(const CacheHints &Hints, std::uint64_t Block);
void addBlock(const Settings &Options, Slot &TargetSlot, std::uint64_t Block);
std::uint32_t cachedBlocks(const Slot &TargetSlot,
                           const std::vector<std::uint64_t> &Blocks);

// SharedPrefixes.cpp
bool hasPrefix(const Slot &TargetSlot, std::uint32_t Prefix);
/// Returns eligible engines that have the prefix cached, the most recent first;
/// bounded.
std::vector<SlotIndex> findPrefixHolders(const State &Fleet,
                                         const Pool &TargetPool,
                                         std::uint32_t Prefix);
/// Records that the engine of this slot has prefilled or fetched the prompt of
/// a try.
void recordCachedPrefix(State &Fleet, SlotIndex Index, const Try &Attempt,
                        TimePoint Now);
/// Clears the cached prefixes of a slot, e.g. when its process is gone.
void clearCachedPrefixes(State &Fleet, SlotIndex Index);

// Health.cpp
/// Whether requests wait at the target for longer than expected, and nothing
/// has come from it meanwhile.
bool isSilent(const Settings &Options, const Slot &TargetSlot, TimePoint Now);
/// Whether a silence was recorded that may still go on.
bool hasKnownSilence(const Settings &Options, const Slot &TargetSlot,
                     TimePoint Now);
double warmFraction(const Settings &Options, const Slot &TargetSlot,
                    TimePoint Now);
/// Observed duration, and the nominal duration at a target that performs as
/// advertised.
struct Timing {
  Duration m_Observed{};
  Duration m_Expected{};
};
void recordFirstTokenTime(State &Fleet, SlotIndex Index, Pool &TargetPool,
                          const Timing &Time, TimePoint Now);
void recordTokenInterval(State &Fleet, SlotIndex Index, Pool &TargetPool,
                         const Timing &Time, TimePoint Now);
/// Return the factors to apply to nominal times, according to recorded
/// responses.
double firstTokenSlowness(const Pool &TargetPool, const Slot &TargetSlot);
double tokenSlowness(const Pool &TargetPool, const Slot &TargetSlot);
/// Returns the factor for first tokens over all engines of a role.
double roleSlowness(const Pool &TargetPool, Role TargetRole);
/// Whether enough responses are recorded for `roleSlowness`.
bool isSlownessKnown(const Pool &TargetPool, Role TargetRole);
/// Records the time from the end of a prefill elsewhere to the first token.
void recordHandoffTime(State &Fleet, SlotIndex Index, Pool &TargetPool,
                       const Timing &Time);
/// Returns the factor for that time at an engine. Transfers to an engine run
/// one after another, so it tells how many wait there.
double handoffSlowness(const Pool &TargetPool, const Slot &TargetSlot);
void recordSlowdown(Slowdown &Known, double Reported, TimePoint Now);
/// Returns the factor by which work takes longer now than on average at the
/// target; one once the last report is too old.
double passingSlowdown(const Slowdown &Known, TimePoint Now);
void recordSuccess(State &Fleet, SlotIndex Index, bool Probe, TimePoint Now);
void recordFailure(State &Fleet, SlotIndex Index, TryOutcome Outcome,
                   bool Probe, TimePoint Now);
void recordUnusedProbe(State &Fleet, SlotIndex Index, TimePoint Now);
/// Readmits ejected engines in role prefill whose ejection time is over. Where
/// they run no whole requests, no probe can test them.
void readmitPrefillEngines(State &Fleet, Pool &TargetPool, TimePoint Now);
/// Readmits ejected targets while more are ejected than the limit allows.
void readmitExcess(State &Fleet, Pool &TargetPool, TimePoint Now);

// Estimates.cpp
struct CostEstimate {
  Estimate m_Estimate;
  double m_Cost = 0; ///< Seconds; candidates are compared by this.
  /// Time to the first token, and per token after it, at a target that performs
  /// as advertised.
  Duration m_NominalFirstToken{};
  Duration m_NominalTokenInterval{};
  /// Of a split request: from the end of its prefill to its first token.
  Duration m_NominalHandoff{};
};
/// Estimates a whole request. \p Holder has the shared prefix cached and other
/// engines fetch it from there; null: each engine uses only the blocks that it
/// is believed to have.
CostEstimate estimateWholeRequest(const State &Fleet, const Pool &TargetPool,
                                  const Slot &TargetSlot, const Request &Req,
                                  const Slot *Holder, TimePoint Now);
/// Estimates the prefill leg of a split; its first token is the time when its
/// KV data is ready.
CostEstimate estimatePrefill(const State &Fleet, const Pool &TargetPool,
                             const Slot &TargetSlot, const Request &Req,
                             const Slot *Holder, TimePoint Now);
/// Estimates the decode leg of a split that is prefilled at \p PrefillSlot;
/// \p Prefill is the estimate of its prefill leg.
CostEstimate estimateDecode(const State &Fleet, const Pool &TargetPool,
                            const Slot &TargetSlot, const Slot &PrefillSlot,
                            const Request &Req, const CostEstimate &Prefill,
                            TimePoint Now);
/// Returns the value, in seconds, of placing the prompt's prefix at its
/// preferred target.
double affinityValue(const State &Fleet, const Pool &TargetPool,
                     const Slot &TargetSlot, const Request &Req);
/// Returns the value, in seconds, of decoding at the engine where the other
/// streams of the prompt's prefix decode.
double decodeAffinityValue(const State &Fleet, const Slot &TargetSlot,
                           const Request &Req);
std::uint64_t kvBlocksNeeded(const Request &Req);

// RateLimits.cpp
/// Whether the target's rate limit and rest admit a request of this entry now.
bool admitsNow(const Slot &TargetSlot, TimePoint Now);
/// Counts a request against the target's rate limit. \returns whether it has
/// one.
bool takeRateToken(Slot &TargetSlot, TimePoint Now);
/// Takes the count of a request back that was not sent.
void returnRateToken(Slot &TargetSlot, TimePoint Now);

// Choose.cpp
struct Candidate {
  SlotIndex m_Run = 0;
  std::optional<SlotIndex> m_Prefill;
  /// Has the shared prefix cached, if another engine prefills the prompt.
  std::optional<SlotIndex> m_FetchFrom;
  CostEstimate m_CostEstimate;
  bool m_Probe = false;
};
bool runsWholeRequests(const State &Fleet, const Slot &TargetSlot);
std::optional<Candidate> selectCandidate(State &Fleet, Pool &TargetPool,
                                         const Request &Req, TimePoint Now,
                                         Random &Rng, bool MayProbe);

// Tries.cpp
Choice reserve(State &Fleet, Pool &TargetPool, const Candidate &Selection,
               const Request &Req, TimePoint Now);

} // namespace wasabivale::routing

#endif // WASABIVALE_ROUTING_INTERNAL_H
