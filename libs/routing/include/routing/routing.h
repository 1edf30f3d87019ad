/// \file
/// Chooses the target of each request.
///
/// Pure deciding code over plain structs: no I/O, no clock, no threads. An
/// entry keeps one `State`, feeds it what it learns about targets and about
/// its own tries, and calls `choose` for every try. The same code runs in the
/// entry (real time) and in experiments (virtual time).
///
/// Life of a try: `choose` reserves the work at the chosen target at once, so
/// that choices made before the first byte leaves already see each other;
/// then `recordStarted`, `recordFirstToken` and `recordProgress` as it runs,
/// and exactly one `recordEnded`, also for a try that was never sent.

#ifndef WASABIVALE_ROUTING_ROUTING_H
#define WASABIVALE_ROUTING_ROUTING_H

#include "base/base.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabivale::routing {

/// Tokens in one block of KV cache.
inline constexpr std::uint32_t BlockTokens = 1024;
/// Request priorities run from 0 (overnight) to this.
inline constexpr unsigned MaxPriority = 9;
/// Buckets of prefix hashes for each model; the unit of prefix placement.
inline constexpr std::size_t PartitionCount = 1024;
/// Most targets that share one bucket of prefixes.
inline constexpr std::size_t MaxReplicas = 6;

enum class Kind : std::uint8_t { Engine, Service };
enum class Role : std::uint8_t { Mixed, Prefill, Decode };

/// How a target is chosen. The first two are baselines for experiments.
enum class Policy : std::uint8_t {
  RoundRobin,        ///< Each eligible target in turn.
  LeastReportedLoad, ///< Full scan for the least running in the last report.
  AffinityAndWork,   ///< Prefix affinity and estimated completion time.
};

/// Name in settings: `round_robin`, `least_reported_load`,
/// `affinity_and_work`.
std::string_view policyName(Policy Value);
std::optional<Policy> policyFromName(std::string_view Name);

/// A target as control's registry describes it.
struct Target {
  TargetId m_Id;
  std::string m_Incarnation;
  std::uint64_t m_Generation = 0; ///< Raised by control for each drain.
  Kind m_Kind = Kind::Engine;
  ZoneId m_Zone;
  RegionId m_Region;
  std::vector<ModelId> m_Models; ///< Models, or names of services.
  Role m_Role = Role::Mixed;
  double m_PrefillTokensPerSecond = 20000;
  double m_DecodeTokensPerSecond = 50; ///< For one stream.
  std::uint32_t m_KvBlocks = 0;        ///< Zero: not limited.
  std::uint32_t m_MaxRunning = 1;
  bool m_Serving = false; ///< False while draining, leaving or lost.

  bool operator==(const Target &) const = default;
};

/// What a target last said about itself.
struct LoadReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// None: not told. Others' requests then count with a mean prompt each.
  std::optional<std::uint64_t> m_PrefillTokensWaiting = 0;
  std::optional<std::uint64_t> m_KvBlocksFree = 0; ///< None: not told.
};

/// Work at an engine: of this entry, or of all others together.
struct EngineWork {
  TargetId m_Target;
  std::uint32_t m_Requests = 0; ///< Not ended.
  /// Prompt tokens that are not yet read, by priority from the highest on;
  /// zeros at the end are left out.
  std::vector<std::uint64_t> m_PromptTokens;
};

/// The beginning of a prompt that requests share, as an engine keeps it.
struct CachedPrefix {
  TargetId m_Target;
  std::uint32_t m_Prefix = 0; ///< Hash of its last block; see `prefixOf`.
  std::uint32_t m_Blocks = 0;
};

/// One change of a target's prefix cache.
struct CacheEvent {
  std::uint64_t m_Number = 0; ///< Consecutive within an incarnation.
  std::uint64_t m_Block = 0;  ///< Chained hash of the block.
  bool m_Added = true;        ///< False: evicted.
};

/// Names a try within one `State`; never reused.
using TryId = std::uint64_t;

/// What `choose` needs to know about a request.
struct Request {
  Kind m_Kind = Kind::Engine;
  ModelId m_Model; ///< Model, or name of the service.
  unsigned m_Priority = 5;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_ExpectedOutputTokens = 0; ///< Not the limit: what is likely.
  std::vector<std::uint64_t> m_Blocks;      ///< Chained hashes of whole blocks.
  Duration m_ServiceTime{}; ///< Expected time of a plain service's call.
  /// Targets that already failed this request: used only if no other is left.
  std::vector<TargetId> m_Avoid;
  std::optional<TargetId>
      m_RequiredTarget;   ///< Run nowhere else (isolated re-run).
  bool m_MayProbe = true; ///< False for what must not meet a doubtful target.
  bool m_MaySplit = true; ///< False when prefill must stay with decode.
  /// The blocks end where the prompt stops being shared, and engines fetch KV
  /// memory from each other: whoever reads the prompt can have the shared
  /// prefix from an engine that keeps it.
  bool m_FetchesPrefix = false;
};

/// When a request is expected to start, answer and end.
struct Estimate {
  TimePoint m_Start;
  TimePoint m_FirstToken;
  TimePoint m_Finish;
  std::uint32_t m_CachedBlocks = 0; ///< Blocks expected in the prefix cache.
};

/// One target's part in a choice.
struct Leg {
  TargetId m_Target;
  std::string m_Incarnation;
  std::uint64_t m_Generation = 0;
};

/// Where a try runs.
struct Choice {
  TryId m_Try = 0;
  Leg m_Run; ///< Runs the whole request, or the decode part of a split.
  /// When set: run the prompt here first (`prefill_only`) and hand the KV
  /// ticket that it answers with to `m_Run`.
  std::optional<Leg> m_Prefill;
  /// When set: whoever reads the prompt fetches first what is kept here.
  std::optional<Leg> m_FetchFrom;
  Estimate m_Estimate;
  bool m_Probe = false; ///< The one request that tests an ejected target.
};

/// How a try ended, as evidence about its target.
enum class TryOutcome : std::uint8_t {
  Completed, ///< The whole answer came.
  NotSent,   ///< Given up before the first byte; says nothing on the target.
  Cancelled, ///< Caller gone or deadline passed; says nothing on the target.
  Full,      ///< The target refused it as full or draining; not run.
  Failed,    ///< Error, broken connection or malformed answer.
  Stalled,   ///< Taken, then no progress within the allowed time.
  Crashed,   ///< The target's process went away while the try ran.
};
/// `completed`, `not_sent`, ... for metrics.
std::string_view tryOutcomeName(TryOutcome Value);

struct Settings {
  Policy m_Policy = Policy::AffinityAndWork;
  ZoneId m_Zone;               ///< Where this entry runs.
  RegionId m_Region;           ///< Where this entry runs.
  std::uint32_t m_Entries = 1; ///< Entries that share the fleet.
  /// Assumed age of a load report when it arrives.
  Duration m_ReportLag = std::chrono::milliseconds(1000);
  Duration m_OtherZoneCost = std::chrono::milliseconds(3);
  Duration m_OtherRegionCost = std::chrono::milliseconds(60);
  /// Prompt tokens that one step of an engine prefills, by role. A step also
  /// makes one token for each decoding stream, so each slows the other.
  std::array<double, 3> m_ChunkTokens{512, 4096, 64};
  /// Whether engines in role prefill run whole requests too.
  bool m_PrefillRunsWhole = true;
  /// Part by which each further stream of a batch lengthens a step.
  double m_BatchSlowdown = 0.02;
  /// Weight of the delay that a prefill brings to each running stream.
  double m_HarmWeight = 0.1;
  Duration m_KvTransferSetup = std::chrono::milliseconds(10);
  Duration m_KvTransferPerBlock = std::chrono::milliseconds(2);
  /// Prompts wait at an entry, not at engines, beyond this much prefill for
  /// each engine: there they can still be ordered fairly or shed.
  Duration m_MaxPrefillWaiting = std::chrono::milliseconds(1000);
  /// Value of placing a prefix where its bucket's next request will look, as
  /// part of the time to prefill it.
  double m_AffinityWeight = 0.5;
  /// Engines that only stream what others have read, for each engine in role
  /// prefill: what has been read waits behind what is still to be read wherever
  /// both meet. Zero: every engine that decodes reads as well.
  double m_DecodeOnlyPerPrefill = 0;
  /// What it is worth that streams of one prefix run at one engine.
  Duration m_DecodeHomeValue = std::chrono::milliseconds(40);
  std::uint32_t m_Samples = 2; ///< Random candidates beside affine ones.
  double m_MaxEjectedShare = 1.0 / 3.0;
  std::uint32_t m_FailuresToEject = 3; ///< Consecutive; a stall counts twice.
  /// Cost of each failure since the last success.
  Duration m_FailureCost = std::chrono::milliseconds(200);
  double m_SlownessToEject = 3.0; ///< Times slower than the model's others.
  std::uint32_t m_SlownessSamples = 8; ///< Answers before slowness counts.
  Duration m_EjectFor = std::chrono::seconds(5); ///< Doubles each time.
  Duration m_MaxEjectFor = std::chrono::seconds(60);
  Duration m_WarmUp = std::chrono::seconds(10);
  Duration m_FullFor = std::chrono::milliseconds(250);
  /// Most cells of a target's table of cached blocks; a power of two.
  std::uint32_t m_MaxHintCells = 8192;
  /// Part of an engine's KV memory that is taken to keep shared prefixes; the
  /// rest is that of running requests.
  double m_KeptShare = 0.6;
  /// Others are told again after this long that a prefix is in use somewhere.
  Duration m_TellKeptAgain = std::chrono::seconds(2);
};

enum class HealthState : std::uint8_t { Healthy, Warming, Ejected, Probing };

/// Mean of ln(observed / expected time), over answers.
struct Slowness {
  double m_Log = 0;
  std::uint32_t m_Samples = 0;
};

/// Evidence about a target.
struct Health {
  HealthState m_State = HealthState::Healthy;
  std::uint32_t m_FailurePoints = 0; ///< Since the last success.
  std::uint32_t m_Ejections = 0;     ///< In a row; sets the next duration.
  TimePoint m_EjectedUntil;
  TimePoint m_WarmFrom;
  Slowness m_First; ///< Of first tokens, and of services' calls.
  Slowness m_Step;  ///< Of the tokens after the first.
};

/// Own work at a target: what this entry sent and has not seen end.
struct Work {
  std::uint32_t m_Requests = 0;
  std::uint32_t m_Decoding = 0;
  std::uint64_t m_PromptTokens = 0; ///< Not yet prefilled.
  std::uint64_t m_KvBlocks = 0;
};

/// Own work at an earlier moment.
struct WorkSample {
  TimePoint m_At;
  Work m_Work;
};

/// Work of other entries, worked out from a report and own work at its time.
struct PeerWork {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_KvBlocks = 0;

  bool operator==(const PeerWork &) const = default;
};

/// Blocks that a target is believed to hold: one tag in the cell that a block
/// hash selects, so that a later block may push an earlier one out.
struct CacheHints {
  std::vector<std::uint16_t> m_Cells; ///< Empty until the first block.
  std::uint64_t m_NextEvent = 0;      ///< Zero: none seen.
};

/// A shared prefix that an engine is believed to keep.
struct KeptHere {
  std::uint32_t m_Prefix = 0;
  std::uint32_t m_Blocks = 0;
  TimePoint m_ToldAt; ///< To other entries; the epoch: not yet.
};

/// What the sums of a pool hold: of one slot, or of all.
struct Room {
  std::uint64_t m_Free = 0; ///< Free places in running batches.
  std::uint64_t m_Max = 0;  ///< All places in running batches.
  std::uint64_t m_OwnRequests = 0;
  std::uint64_t m_OwnPromptTokens = 0;
  std::uint64_t m_PrefillRate = 0; ///< Tokens per second.
  PeerWork m_PeerWork;

  bool operator==(const Room &) const = default;
};

/// Everything known about one incarnation of a target.
struct Slot {
  Target m_Target;
  std::uint64_t m_Hash = 0; ///< Of the target's id, for placement.
  bool m_Used = false;      ///< False: free for reuse.
  bool m_Current = false;   ///< False: removed or replaced, tries still end.
  Health m_Health;
  Work m_Own;
  PeerWork m_PeerWork;
  TimePoint m_ReportAt;
  std::uint32_t m_ReportedRequests = 0; ///< Running and waiting.
  double m_PrefillBusy = 0; ///< Mean share of reports with prefill to do.
  TimePoint m_FullUntil;
  std::vector<WorkSample> m_History; ///< Bounded; oldest first.
  std::map<std::uint64_t, std::uint32_t> m_ByGeneration; ///< Tries in flight.
  std::array<std::uint64_t, MaxPriority + 1> m_PromptByPriority{};
  /// The same of other entries, as they told at `m_OthersToldAt`.
  std::array<std::uint64_t, MaxPriority + 1> m_OthersByPriority{};
  TimePoint m_OthersToldAt;
  CacheHints m_Hints;
  std::vector<KeptHere> m_Kept; ///< The least recently used first.
  Room m_Counted; ///< What the sums of its pools hold of this slot.
};

using SlotIndex = std::uint32_t;

/// Prefix placement of one bucket: its targets in rendezvous order.
struct Partition {
  std::array<SlotIndex, MaxReplicas> m_Slots{};
  std::uint8_t m_Count = 0;
  double m_Load = 0; ///< Own demand, engine seconds per second, decaying.
  TimePoint m_LoadAt;
};

/// Targets of one model or service.
struct Pool {
  /// Those that may get work, by role.
  std::array<std::vector<SlotIndex>, 3> m_ByRole;
  std::vector<SlotIndex> m_InZone;   ///< Mixed ones of the own zone.
  std::vector<SlotIndex> m_InRegion; ///< Mixed ones of the own region.
  std::vector<SlotIndex> m_Ejected;  ///< Ejected or probing.
  std::vector<SlotIndex> m_Placed;   ///< In the partitions.
  std::vector<Partition> m_Partitions;
  /// Of those in role decode, which only stream; in the order of indexes.
  std::vector<SlotIndex> m_Streamers;
  /// Slots that keep a shared prefix, the newest last.
  std::unordered_map<std::uint32_t, std::vector<SlotIndex>> m_Holders;
  std::size_t m_Next = 0;     ///< Round robin position.
  std::array<Room, 3> m_Sums; ///< Over m_ByRole.
  /// Means over the answers of all targets of a role.
  std::array<Slowness, 3> m_First;
  std::array<Slowness, 3> m_Step;
  Slowness m_Split;                 ///< Of first tokens of splits.
  double m_MeanPromptTokens = 1000; ///< Not cached, of a request.
  double m_MeanSeconds = 0.5;       ///< Mean time from start to end.
};

/// A try from its choice to its end.
struct Try {
  Kind m_Kind = Kind::Engine;
  ModelId m_Model;
  SlotIndex m_Run = 0;
  std::optional<SlotIndex> m_Prefill; ///< Until the prefill leg has ended.
  std::uint64_t m_RunGeneration = 0;
  std::uint64_t m_PrefillGeneration = 0;
  unsigned m_Priority = 0;
  std::uint32_t m_PromptTokens = 0; ///< Counted as waiting; zero afterwards.
  std::uint64_t m_KvBlocks = 0;
  std::uint32_t m_Prefix = 0;       ///< Shared with others; see `prefixOf`.
  std::uint32_t m_PrefixBlocks = 0; ///< Zero: none is shared or fetched.
  TimePoint m_StartedAt;
  TimePoint m_ProgressAt;
  Duration m_ExpectedFirst{}; ///< From start to first token, or to the end
                              ///< of a service's call, at a normal target.
  Duration m_ExpectedStep{};  ///< For each further token.
  Duration m_ExpectedSplit{}; ///< From start to first token of a split.
  TimePoint m_FirstTokenAt;
  std::uint32_t m_Tokens = 0; ///< Output tokens seen.
  bool m_Started = false;
  bool m_Split = false;
  bool m_Decoding = false;
  bool m_Probe = false;
};

/// Counts for metrics; they only rise.
struct Counters {
  std::uint64_t m_Choices = 0;
  std::uint64_t m_NoTarget = 0;
  std::uint64_t m_Splits = 0;
  std::uint64_t m_CachedBlocks = 0; ///< Expected to be cached where chosen.
  std::uint64_t m_RequestedBlocks = 0;
  std::uint64_t m_Probes = 0;
  std::uint64_t m_Ejections = 0;
  std::uint64_t m_EjectionsPrevented = 0; ///< By the limit on their share.
  std::uint64_t m_Returns = 0;
  std::uint64_t m_CacheGaps = 0;
  std::uint64_t m_Described = 0; ///< Descriptions that changed something.
};

/// One entry's view of the fleet.
struct State {
  Settings m_Settings;
  std::vector<Slot> m_Slots;
  std::vector<SlotIndex> m_FreeSlotIndexes;
  std::unordered_map<TargetId, SlotIndex> m_ByTarget;
  std::array<std::unordered_map<ModelId, Pool>, 2> m_Pools; ///< By kind.
  std::unordered_map<TryId, Try> m_Tries;
  TryId m_NextTry = 1;
  std::vector<CachedPrefix> m_KeptNews; ///< Not yet told to others; bounded.
  Counters m_Counters;
};

/// Adds a target or applies its newer description. A new incarnation starts
/// with no work, no hints and a warm-up; tries of the former one still end
/// as usual. \returns false when \p Description is older than what is known
/// (same incarnation, lower generation) and was ignored.
bool updateTarget(State &Fleet, const Target &Description, TimePoint Now);

/// Forgets a target: it gets no new work; its tries still end as usual.
void removeTarget(State &Fleet, const TargetId &Id, TimePoint Now);

/// Applies a load report that arrived at \p Now. Ignored for an unknown
/// target or another incarnation.
void applyLoad(State &Fleet, const TargetId &Id, std::string_view Incarnation,
               const LoadReport &Report, TimePoint Now);

/// What this entry has at engines, for the others to know.
std::vector<EngineWork> ownWork(const State &Fleet);

/// Applies what all other entries together have at engines, as they told a
/// moment ago; engines without a row have none of it. Goes before what load
/// reports let guess, until it is too old.
void applyPeerWork(State &Fleet, const std::vector<EngineWork> &Told,
                   TimePoint Now);

/// Name of a shared prefix: few enough bytes to be told to every entry. Two
/// that are taken for one cost time only.
inline std::uint32_t prefixOf(const std::vector<std::uint64_t> &Blocks) {
  return Blocks.empty() ? 0 : static_cast<std::uint32_t>(Blocks.back() >> 32U);
}

/// Prefixes that own requests have left at engines since the last call.
std::vector<CachedPrefix> takePrefixUpdates(State &Fleet);

/// Applies what other entries have told.
void applyPrefixUpdates(State &Fleet, const std::vector<CachedPrefix> &Told);

/// Applies cache events in their order. A gap in their numbers drops all
/// hints of the target: they cost hit rate, never correctness.
void applyCacheEvents(State &Fleet, const TargetId &Id,
                      std::string_view Incarnation,
                      const std::vector<CacheEvent> &Events);

/// Chooses a target and reserves the work there. Fails only when no eligible
/// target serves the model or service: the caller's answer is
/// `Refusal::NoTarget`, the outcome `not_run`.
Result<Choice> choose(State &Fleet, const Request &Wanted, TimePoint Now,
                      Random &Rng);

/// What `choose` would expect now, without reserving anything.
Result<Estimate> estimate(State &Fleet, const Request &Wanted, TimePoint Now,
                          Random &Rng);

/// The request's first byte leaves (for a split: that of its prefill).
void recordStarted(State &Fleet, TryId Id, TimePoint Now);
/// The prefill leg of a split has answered with its ticket.
void recordPrefilled(State &Fleet, TryId Id, TimePoint Now);
/// The first token came.
void recordFirstToken(State &Fleet, TryId Id, TimePoint Now);
/// More tokens came; \p Tokens is the total so far.
void recordProgress(State &Fleet, TryId Id, std::uint32_t Tokens,
                    TimePoint Now);
/// The try is over and its work released. Unknown tries are a broken
/// invariant. \p FailedAtPrefill names the leg that a split failed at.
void recordEnded(State &Fleet, TryId Id, TryOutcome Outcome, TimePoint Now,
                 bool FailedAtPrefill = false);

/// Whether the process that a leg was chosen for still gets new work. A split's
/// second leg begins long after its choice.
bool acceptsNewWork(const State &Fleet, const Leg &Where);

/// Room for new work at a model's targets, as this entry may use it.
struct Capacity {
  std::uint32_t m_FreeSlots = 0; ///< May be started now by this entry.
  double m_Slots = 0;            ///< This entry's part of all slots.
};
Capacity capacityFor(const State &Fleet, Kind Which, const ModelId &Model);

/// Own tries in flight at a target that began under a generation below
/// \p Generation: what a drain barrier waits for. Counts every incarnation.
std::uint32_t inFlightBefore(const State &Fleet, const TargetId &Id,
                             std::uint64_t Generation);

/// Own tries in flight at a target, all incarnations and generations.
std::uint32_t inFlight(const State &Fleet, const TargetId &Id);

/// Health of a target's current incarnation; none if unknown.
std::optional<Health> healthOf(const State &Fleet, const TargetId &Id);

/// Checks every sum of the state against its parts (slow; for tests and soak
/// runs). Breaks an invariant if they differ.
void verify(const State &Fleet);

} // namespace wasabivale::routing

#endif // WASABIVALE_ROUTING_ROUTING_H
