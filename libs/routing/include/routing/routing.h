/// \file
/// Selects the target of each request.
///
/// Pure decision logic over plain structs: no I/O, no clock, no threads. An
/// entry keeps one `State`, feeds it what it learns about targets and the
/// progress of its own tries, and calls `choose` for every try. The same code
/// runs in the entry (real time) and in experiments (virtual time).
///
/// Lifecycle of a try: `choose` reserves the work at the selected target
/// immediately, so that choices made before the first byte is sent already
/// account for each other. `recordStarted`, `recordFirstToken` and
/// `recordProgress` follow as the try runs, and exactly one `recordEnded`, also
/// for a try that was never sent, which leaves nothing behind.

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

/// Tokens in one KV cache block.
inline constexpr std::uint32_t BlockTokens = 1024;
/// Request priorities range from 0 (overnight batch work) to this.
inline constexpr unsigned MaxPriority = 9;
/// Number of prefix-hash buckets per model; a bucket is the unit of prefix
/// placement.
inline constexpr std::size_t PartitionCount = 1024;
/// Maximum number of targets that share one prefix bucket.
inline constexpr std::size_t MaxReplicas = 6;

enum class Kind : std::uint8_t { Engine, Service };
enum class Role : std::uint8_t { Mixed, Prefill, Decode };

/// Target selection policy. The first two are baselines for experiments.
enum class Policy : std::uint8_t {
  RoundRobin, ///< Cycles through the eligible targets.
  /// Scans all targets for the fewest running requests in the last report.
  LeastReportedLoad,
  AffinityAndWork, ///< Prefix affinity and estimated completion time.
};

/// Name used in settings: `round_robin`, `least_reported_load`,
/// `affinity_and_work`.
std::string_view policyName(Policy Value);
std::optional<Policy> policyFromName(std::string_view Name);

/// A target as described by the control registry.
struct Target {
  TargetId m_Id;
  std::string m_Incarnation;
  std::uint64_t m_Generation = 0; ///< Incremented by control for each drain.
  Kind m_Kind = Kind::Engine;
  ZoneId m_Zone;
  RegionId m_Region;
  std::vector<ModelId> m_Models; ///< Model names, or service names.
  Role m_Role = Role::Mixed;
  double m_PrefillTokensPerSecond = 20000;
  double m_DecodeTokensPerSecond = 50; ///< Rate of a single stream.
  std::uint32_t m_KvBlocks = 0;        ///< Zero: unlimited.
  /// Time to send one block of KV memory to another engine; zero: not known.
  Duration m_KvTransferPerBlock{};
  std::uint32_t m_MaxRunning = 1;
  bool m_Serving = false;        ///< False while draining, leaving or lost.
  std::string m_SoftwareVersion; ///< Versions have no order.

  bool operator==(const Target &) const = default;
};

/// The last load report of a target.
struct LoadReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// None: not reported. Each request of other entries then counts as one
  /// prompt of mean length.
  std::optional<std::uint64_t> m_PrefillTokensWaiting = 0;
  std::optional<std::uint64_t> m_KvBlocksFree = 0; ///< None: not reported.
  /// Time that work takes on the target's VM now over the usual time; none: not
  /// reported.
  std::optional<double> m_Slowdown{};
};

/// Work at an engine: of this entry, or of all other entries combined.
struct EngineWork {
  TargetId m_Target;
  std::uint32_t m_Requests = 0; ///< Without `Work::m_Incoming`.
  /// Prompt tokens that are not yet prefilled, by priority in descending order;
  /// trailing zeros are omitted.
  std::vector<std::uint64_t> m_PromptTokens;
};

/// A prompt prefix shared by several requests, as cached by an engine.
struct CachedPrefix {
  TargetId m_Target;
  std::uint32_t m_Prefix = 0; ///< Hash of its last block; see `prefixHash`.
  std::uint32_t m_Blocks = 0;
};

/// One change of a target's prefix cache.
struct CacheEvent {
  std::uint64_t m_Number = 0; ///< Consecutive within an incarnation.
  std::uint64_t m_Block = 0;  ///< Chained hash of the block.
  bool m_Added = true;        ///< False: evicted.
};

/// Identifies a try within one `State`; never reused.
using TryId = std::uint64_t;

/// Properties of a request that determine its target.
struct Request {
  Kind m_Kind = Kind::Engine;
  ModelId m_Model; ///< Model name, or service name.
  unsigned m_Priority = 5;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_ExpectedOutputTokens = 0; ///< Expected length, not the limit.
  std::vector<std::uint64_t> m_Blocks; ///< Chained hashes of complete blocks.
  Duration m_ServiceTime{}; ///< Expected duration of a plain service call.
  /// Targets that already failed this request; used only if no other target is
  /// left.
  std::vector<TargetId> m_Avoid;
  std::optional<TargetId>
      /// If set, no other target may run the request (isolated re-run).
      m_RequiredTarget;
  /// If set, only targets of this software version may run the request: what
  /// two versions generate does not fit together.
  std::optional<std::string> m_RequiredVersion;
  /// False for requests that must not be sent to an unhealthy target.
  bool m_MayProbe = true;
  /// True for requests that later ones may overtake. That one takes longer than
  /// expected says nothing about its target.
  bool m_Yields = false;
  /// False when prefill and decode must run on the same engine.
  bool m_MaySplit = true;
  /// True when `m_Blocks` covers exactly the shared part of the prompt and
  /// engines transfer KV memory between each other: the engine that prefills
  /// the prompt can then fetch the shared prefix from an engine that has it
  /// cached.
  bool m_FetchesPrefix = false;
};

/// Expected start, first token and end of a request.
struct Estimate {
  TimePoint m_Start;
  TimePoint m_FirstToken;
  TimePoint m_Finish;
  /// Blocks expected to be in the prefix cache.
  std::uint32_t m_CachedBlocks = 0;
};

/// The part of a request that runs on one target.
struct Leg {
  TargetId m_Target;
  std::string m_Incarnation;
  std::uint64_t m_Generation = 0;
};

/// Result of `choose`: the targets of a try.
struct Choice {
  TryId m_Try = 0;
  /// Runs the whole request, or the decode phase of a split request.
  Leg m_Run;
  /// When set: prefill the prompt here first (`prefill_only`) and pass the
  /// returned KV ticket to `m_Run`.
  std::optional<Leg> m_Prefill;
  /// When set: the prefilling engine first fetches the shared prefix from here.
  std::optional<Leg> m_FetchFrom;
  Estimate m_Estimate;
  /// Whether this is the single request that tests an ejected target.
  bool m_Probe = false;
};

/// Result of a try, used as evidence about its target.
enum class TryOutcome : std::uint8_t {
  Completed, ///< The full response was received.
  NotSent,   ///< Abandoned before the first byte; no evidence about the target.
  /// Caller disconnected or deadline passed; no evidence about the target.
  Cancelled,
  Full,    ///< The target rejected it as full or draining; it did not run.
  Failed,  ///< Error, broken connection or malformed response.
  Stalled, ///< Accepted, then no progress within the allowed time.
  Crashed, ///< The target's process disappeared while the try ran.
};
/// Metric label: `completed`, `not_sent`, ...
std::string_view tryOutcomeName(TryOutcome Value);

struct Settings {
  Policy m_Policy = Policy::AffinityAndWork;
  ZoneId m_Zone;               ///< Location of this entry.
  RegionId m_Region;           ///< Location of this entry.
  std::uint32_t m_Entries = 1; ///< Number of entries that share the fleet.
  /// Assumed age of a load report on arrival.
  Duration m_ReportLag = std::chrono::milliseconds(1000);
  Duration m_OtherZoneCost = std::chrono::milliseconds(3);
  Duration m_OtherRegionCost = std::chrono::milliseconds(60);
  /// Prompt tokens prefilled in one engine step, by role. A step also produces
  /// one token for each decoding stream, so prefill and decode slow each other
  /// down.
  std::array<double, 3> m_ChunkTokens{512, 4096, 64};
  /// Whether engines in role prefill also run whole requests.
  bool m_PrefillRunsWhole = true;
  /// Fraction by which each additional stream of a batch lengthens a step.
  double m_BatchSlowdown = 0.02;
  /// Weight of the delay that a prefill causes for each running stream.
  double m_InterferenceWeight = 0.1;
  Duration m_KvTransferSetup = std::chrono::milliseconds(10);
  /// Of engines that do not state it.
  Duration m_KvTransferPerBlock = std::chrono::milliseconds(2);
  /// Limit on the prefill backlog of each engine. Beyond it, prompts wait at
  /// the entry, where they can still be ordered fairly or shed.
  Duration m_MaxPrefillWaiting = std::chrono::milliseconds(1000);
  /// Value of placing a prefix where the next request of its bucket will look
  /// for it, as a fraction of the time to prefill it.
  double m_AffinityWeight = 0.5;
  /// Factors by which a transfer takes longer to another zone, and to another
  /// region.
  double m_OtherZoneTransferFactor = 2;
  double m_OtherRegionTransferFactor = 10;
  /// Decode-only engines per engine in role prefill. On an engine that does
  /// both, requests prefilled elsewhere wait behind its pending prefills. Zero:
  /// every decoding engine also prefills.
  double m_DecodeOnlyPerPrefill = 0;
  /// Value of running all streams of one prefix on the same engine, as a
  /// multiple of the time to transfer the prefix there. Transfers of an engine
  /// run one after another, so each delays those behind it as well.
  double m_DecodeAffinityWeight = 3;
  /// Random candidates in addition to those with prefix affinity.
  std::uint32_t m_Samples = 2;
  double m_MaxEjectedShare = 1.0 / 3.0;
  /// Consecutive failures; a stall counts twice.
  std::uint32_t m_FailuresToEject = 3;
  /// Cost of each failure since the last success.
  Duration m_FailureCost = std::chrono::milliseconds(200);
  /// Cost of a target that has sent nothing of late while requests wait there.
  Duration m_SilenceCost = std::chrono::seconds(1);
  /// How long after a silence was recorded it has that cost.
  Duration m_SilenceCostDuration = std::chrono::seconds(1);
  /// How long a silence that is not recorded again is taken to go on.
  Duration m_SilenceRetention = std::chrono::seconds(10);
  /// Factor by which a target is slower than the model's other targets.
  double m_SlownessToEject = 3.0;
  /// Responses required before slowness is evaluated.
  std::uint32_t m_SlownessSamples = 8;
  /// Doubles with each consecutive ejection.
  Duration m_EjectionTime = std::chrono::seconds(5);
  Duration m_MaxEjectionTime = std::chrono::seconds(60);
  Duration m_WarmUp = std::chrono::seconds(10);
  Duration m_FullBackoff = std::chrono::milliseconds(250);
  /// Maximum number of cells in a target's cached-block table; a power of two.
  std::uint32_t m_MaxHintCells = 8192;
  /// Fraction of an engine's KV memory assumed to hold shared prefixes; the
  /// rest is used by running requests.
  double m_PrefixCacheShare = 0.6;
  /// Interval after which a prefix that is still in use is announced to the
  /// other entries again.
  Duration m_PrefixAnnounceInterval = std::chrono::seconds(2);
};

enum class HealthState : std::uint8_t { Healthy, Warming, Ejected, Probing };

/// Mean of ln(observed / expected time) over responses.
struct Slowness {
  double m_LogRatio = 0;
  std::uint32_t m_Samples = 0;
};

/// Health of a target, derived from the results of its tries.
struct Health {
  HealthState m_State = HealthState::Healthy;
  std::uint32_t m_FailurePoints = 0; ///< Since the last success.
  std::uint32_t m_Ejections = 0; ///< Consecutive; determines the next duration.
  TimePoint m_EjectedUntil;
  TimePoint m_WarmUpStart;
  Slowness m_FirstTokenSlowness; ///< Of first tokens, and of service calls.
  Slowness m_TokenSlowness;      ///< Of the tokens after the first.
  Slowness m_HandoffSlowness;    ///< Of KV memory received for decoding.
};

/// Passing slowdown of a target's VM, which others use as well.
struct Slowdown {
  double m_Last = 1; ///< As last reported; 1 is usual.
  TimePoint m_At;
  /// Part of it that lasts, and that measured times contain already.
  double m_Mean = 1;
};

/// Own work at a target: tries sent by this entry that have not ended.
struct Work {
  std::uint32_t m_Requests = 0;
  /// Of the requests, those that are still in prefill at another engine. They
  /// hold no place here yet.
  std::uint32_t m_Incoming = 0;
  std::uint32_t m_Decoding = 0;
  std::uint64_t m_PromptTokens = 0; ///< Not yet prefilled.
  std::uint64_t m_KvBlocks = 0;
};

/// Snapshot of own work.
struct WorkSample {
  TimePoint m_Time;
  Work m_Work;
};

/// Work of other entries, derived from a load report and own work at the time
/// of the report, or received from the other entries.
struct PeerWork {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_KvBlocks = 0;

  bool operator==(const PeerWork &) const = default;
};

/// Approximate set of the blocks cached by a target. Each block hash selects
/// one cell, which stores a tag, so a later block may replace an earlier one.
struct CacheHints {
  std::vector<std::uint16_t> m_Cells; ///< Empty until the first block is added.
  std::uint64_t m_NextEvent = 0;      ///< Zero: none received.
};

/// A shared prefix that an engine is believed to have cached.
struct CachedPrefixEntry {
  std::uint32_t m_Prefix = 0;
  std::uint32_t m_Blocks = 0;
  /// Last announcement to other entries; the epoch if none.
  TimePoint m_AnnouncedAt;
};

/// Capacity and load totals of a pool, or the contribution of one slot.
struct PoolTotals {
  std::uint64_t m_Free = 0; ///< Free places in running batches.
  std::uint64_t m_Max = 0;  ///< All places in running batches.
  std::uint64_t m_OwnRequests = 0;
  std::uint64_t m_OwnPromptTokens = 0;
  std::uint64_t m_PrefillRate = 0; ///< Tokens per second.
  PeerWork m_PeerWork;

  bool operator==(const PoolTotals &) const = default;
};

/// Token bucket of this entry for a target that limits its requests. Holds at
/// most one token.
struct RateLimit {
  double m_PerSecond = 0;
  double m_Tokens = 0;
  TimePoint m_FilledAt;
};

/// State of one incarnation of a target.
struct Slot {
  Target m_Target;
  std::uint64_t m_Hash = 0; ///< Hash of the target's id, for placement.
  bool m_Used = false;      ///< False: available for reuse.
  /// False: removed or replaced, but tries may still be in flight.
  bool m_Current = false;
  Health m_Health;
  Slowdown m_Slowdown;
  Work m_Own;
  PeerWork m_PeerWork;
  TimePoint m_ReportAt;
  std::uint32_t m_ReportedRequests = 0; ///< Running and waiting.
  double m_PrefillBusy = 0; ///< Mean fraction of reports with pending prefill.
  TimePoint m_FullUntil;
  std::optional<RateLimit> m_RateLimit;
  TimePoint m_SilentSince;  ///< Only while `m_SilentAt` is set.
  TimePoint m_SilentAt;     ///< When it was last recorded as silent.
  TimePoint m_HeardAt;      ///< When bytes last arrived from it.
  bool m_Leaving = false;   ///< Its answers say so; holds until it is removed.
  TimePoint m_RestingUntil; ///< It asked for no requests until then.
  std::vector<WorkSample> m_History; ///< Bounded; oldest first.
  std::map<std::uint64_t, std::uint32_t> m_ByGeneration; ///< Tries in flight.
  std::array<std::uint64_t, MaxPriority + 1> m_PromptByPriority{};
  /// Prompt tokens of other entries by priority, as received at `m_PeerWorkAt`.
  std::array<std::uint64_t, MaxPriority + 1> m_PeerPromptByPriority{};
  TimePoint m_PeerWorkAt;
  CacheHints m_Hints;
  /// Least recently used first.
  std::vector<CachedPrefixEntry> m_CachedPrefixes;
  /// The part of its pools' totals that this slot accounts for.
  PoolTotals m_Contribution;
};

using SlotIndex = std::uint32_t;

/// Prefix placement of one bucket: its targets in rendezvous order.
struct Partition {
  std::array<SlotIndex, MaxReplicas> m_Slots{};
  std::uint8_t m_Count = 0;
  double m_Load = 0; ///< Own demand in engine seconds per second, decaying.
  TimePoint m_LoadAt;
};

/// Targets of one model or service.
struct Pool {
  /// Eligible slots, by role.
  std::array<std::vector<SlotIndex>, 3> m_ByRole;
  /// Eligible mixed slots in this entry's zone.
  std::vector<SlotIndex> m_InZone;
  /// Eligible mixed slots in this entry's region.
  std::vector<SlotIndex> m_InRegion;
  std::vector<SlotIndex> m_Ejected; ///< Ejected or probing.
  /// Slots that take part in prefix placement.
  std::vector<SlotIndex> m_Placed;
  std::vector<Partition> m_Partitions;
  /// Engines in role decode that never prefill; sorted by index.
  std::vector<SlotIndex> m_DecodeOnly;
  /// The other engines in role decode.
  std::vector<SlotIndex> m_DecodeAndPrefill;
  /// Slots that have a shared prefix cached, most recent last.
  std::unordered_map<std::uint32_t, std::vector<SlotIndex>> m_PrefixHolders;
  std::size_t m_NextRoundRobin = 0;   ///< Round-robin position.
  std::array<PoolTotals, 3> m_Totals; ///< Totals over `m_ByRole`.
  /// Means over the responses of all targets of a role.
  std::array<Slowness, 3> m_FirstTokenSlowness;
  std::array<Slowness, 3> m_TokenSlowness;
  Slowness m_HandoffSlowness;       ///< Mean over all engines that decode.
  double m_MeanPromptTokens = 1000; ///< Uncached prompt tokens per request.
  double m_MeanSeconds = 0.5;       ///< Mean time from start to end.
};

/// State of a try from its choice to its end.
struct Try {
  Kind m_Kind = Kind::Engine;
  ModelId m_Model;
  SlotIndex m_Run = 0;
  std::optional<SlotIndex> m_Prefill; ///< Set until the prefill leg has ended.
  std::uint64_t m_RunGeneration = 0;
  std::uint64_t m_PrefillGeneration = 0;
  unsigned m_Priority = 0;
  /// Prompt tokens counted as waiting; zero once prefilled.
  std::uint32_t m_PromptTokens = 0;
  std::uint64_t m_KvBlocks = 0;
  std::uint32_t m_Prefix = 0;       ///< Shared prefix; see `prefixHash`.
  std::uint32_t m_PrefixBlocks = 0; ///< Zero: no prefix is shared or fetched.
  TimePoint m_StartedAt;
  TimePoint m_ProgressAt;
  /// Nominal time from start to first token, or to the end of a service call.
  Duration m_ExpectedFirstToken{};
  Duration m_ExpectedTokenInterval{}; ///< Per token after the first.
  /// Of a split request: nominal time from the end of its prefill to its first
  /// token.
  Duration m_ExpectedHandoff{};
  TimePoint m_PrefillEnd;
  TimePoint m_FirstTokenAt;
  std::uint32_t m_Tokens = 0; ///< Output tokens received.
  bool m_Started = false;
  bool m_Split = false;
  bool m_Decoding = false;
  bool m_Probe = false;
  bool m_Yields = false; ///< As of the request.
  /// Targets whose rate limit has counted this try.
  std::vector<SlotIndex> m_CountedBy;
};

/// Monotonic counters for metrics.
struct Counters {
  std::uint64_t m_Choices = 0;
  std::uint64_t m_NoTarget = 0;
  std::uint64_t m_Splits = 0;
  /// Expected to be cached at the selected target.
  std::uint64_t m_CachedBlocks = 0;
  std::uint64_t m_RequestedBlocks = 0;
  std::uint64_t m_Probes = 0;
  std::uint64_t m_Ejections = 0;
  /// Prevented by `Settings::m_MaxEjectedShare`.
  std::uint64_t m_EjectionsPrevented = 0;
  std::uint64_t m_Readmissions = 0;
  std::uint64_t m_CacheGaps = 0;
  /// Target descriptions that changed something.
  std::uint64_t m_TargetChanges = 0;
};

/// One entry's view of the fleet.
struct State {
  Settings m_Settings;
  std::vector<Slot> m_Slots;
  std::vector<SlotIndex> m_FreeSlotIndexes;
  std::unordered_map<TargetId, SlotIndex> m_ByTarget;
  std::vector<SlotIndex> m_Resting; ///< Each once; pruned by `restTarget`.
  std::array<std::unordered_map<ModelId, Pool>, 2> m_Pools; ///< By kind.
  std::unordered_map<TryId, Try> m_Tries;
  TryId m_NextTry = 1;
  /// Not yet announced to other entries; bounded.
  std::vector<CachedPrefix> m_PrefixUpdates;
  Counters m_Counters;
};

/// Adds a target or applies a newer description. A new incarnation starts
/// without work and cache hints, and with a warm-up; tries of the previous
/// incarnation still end as usual. \returns false when \p Description is older
/// than the known one (same incarnation, lower generation) and was ignored.
bool updateTarget(State &Fleet, const Target &Description, TimePoint Now);

/// Removes a target: it gets no new work, and its tries still end as usual.
void removeTarget(State &Fleet, const TargetId &Id, TimePoint Now);

/// Applies a load report received at \p Now. Reports of an unknown target or
/// another incarnation are ignored.
void applyLoad(State &Fleet, const TargetId &Id, std::string_view Incarnation,
               const LoadReport &Report, TimePoint Now);

/// Returns this entry's own work at engines, for exchange with the other
/// entries.
std::vector<EngineWork> ownWork(const State &Fleet);

/// Returns the requests of this entry for a model that decode, or that have
/// been prefilled elsewhere and wait for their transfer.
std::uint32_t streamsInProgress(const State &Fleet, const ModelId &Model);

/// Returns the prompt tokens that an engine in role prefill processes per
/// second, by the observed times of prefills; nothing until enough of them are
/// known.
std::optional<double> observedPrefillRate(const State &Fleet,
                                          const ModelId &Model);

/// Applies the combined work of all other entries as just received from them;
/// an engine without a row has none. Takes precedence over estimates from load
/// reports until it expires.
void applyPeerWork(State &Fleet, const std::vector<EngineWork> &PeerRows,
                   TimePoint Now);

/// Returns a short hash of a shared prefix, small enough to be sent to every
/// entry. A collision costs time only.
inline std::uint32_t prefixHash(const std::vector<std::uint64_t> &Blocks) {
  return Blocks.empty() ? 0 : static_cast<std::uint32_t>(Blocks.back() >> 32U);
}

/// Returns the prefixes that own requests have left in engine caches since the
/// last call, and clears the list.
std::vector<CachedPrefix> takePrefixUpdates(State &Fleet);

/// Applies the prefix updates received from other entries.
void applyPrefixUpdates(State &Fleet, const std::vector<CachedPrefix> &Updates);

/// Applies cache events in order. A gap in their numbers drops all cache hints
/// of the target, which affects the hit rate but never correctness.
void applyCacheEvents(State &Fleet, const TargetId &Id,
                      std::string_view Incarnation,
                      const std::vector<CacheEvent> &Events);

/// Selects a target and reserves the work there. Fails only when no eligible
/// target serves the model or service; the caller then gets `Refusal::NoTarget`
/// with outcome `not_run`.
Result<Choice> choose(State &Fleet, const Request &Req, TimePoint Now,
                      Random &Rng);

/// Returns the estimate that `choose` would return now, without reserving work.
Result<Estimate> estimate(State &Fleet, const Request &Req, TimePoint Now,
                          Random &Rng);

/// Records that the first byte of the request is sent (for a split: of its
/// prefill).
void recordStarted(State &Fleet, TryId Id, TimePoint Now);
/// Records that the prefill leg of a split has returned its KV ticket.
void recordPrefilled(State &Fleet, TryId Id, TimePoint Now);
/// Records the first token.
void recordFirstToken(State &Fleet, TryId Id, TimePoint Now);
/// Records progress; \p Tokens is the total number of tokens so far.
void recordProgress(State &Fleet, TryId Id, std::uint32_t Tokens,
                    TimePoint Now);
/// Records the end of a try and releases its work. An unknown \p Id breaks an
/// invariant. \p FailedAtPrefill tells which leg of a split failed.
void recordEnded(State &Fleet, TryId Id, TryOutcome Outcome, TimePoint Now,
                 bool FailedAtPrefill = false);

/// Whether the incarnation that a leg was chosen for still accepts new work.
/// The decode leg of a split starts long after its choice.
bool acceptsNewWork(const State &Fleet, const Leg &TargetLeg, TimePoint Now);

/// Closes the incarnation of a leg for new work until it is removed, whatever
/// its later descriptions say. Does nothing for an earlier incarnation.
/// \returns whether it was open.
bool closeTarget(State &Fleet, const Leg &TargetLeg, TimePoint Now);

/// Whether `closeTarget` has closed this incarnation.
bool isClosed(const State &Fleet, const Leg &TargetLeg);

/// Sends no request to the incarnation of a leg until \p Until, or later if it
/// has asked for that before. Does nothing for an earlier incarnation.
void restTarget(State &Fleet, const Leg &TargetLeg, TimePoint Until,
                TimePoint Now);

/// Records that a request waits at the incarnation of a leg, which has sent
/// nothing since \p Since although it was expected to. Other targets are
/// preferred until it is heard.
void recordSilence(State &Fleet, const Leg &TargetLeg, TimePoint Since,
                   TimePoint Now);

/// Records that bytes arrived from the incarnation of a leg.
void recordHeard(State &Fleet, const Leg &TargetLeg, TimePoint Now);

/// How long the incarnation of a leg has been silent: over all requests that
/// `recordSilence` was called for since bytes last arrived from it.
Duration silenceOf(const State &Fleet, const Leg &TargetLeg, TimePoint Now);

/// What this entry has heard of the other targets of a model while one of them
/// is silent.
struct SilenceEvidence {
  std::uint32_t m_Heard = 0;  ///< Bytes have arrived from them of late.
  std::uint32_t m_Silent = 0; ///< Requests wait there for longer than expected.
  /// Not heard of late, although requests wait there for as long.
  std::uint32_t m_Waiting = 0;
};
/// \param Since when the silence began.
SilenceEvidence silenceEvidence(const State &Fleet, const Leg &SilentLeg,
                                TimePoint Since, TimePoint Now);

/// Whether a silence may be taken for a fault of its one target. When most
/// targets are silent at once, or nothing is heard of any, that says nothing of
/// each, and what is sent elsewhere waits there as well.
bool isSilenceOfOne(const SilenceEvidence &Others);

/// Whether requests wait at the incarnation of a leg for longer than expected.
bool isSilent(const State &Fleet, const Leg &TargetLeg, TimePoint Now);

/// Records that a try which goes on has been silent for so long that it counts
/// against its target; a probe has failed by that. \p AtPrefill tells at which
/// leg of a split.
void recordStalled(State &Fleet, TryId Id, bool AtPrefill, TimePoint Now);

/// Capacity for new work at a model's targets that is available to this entry.
struct Capacity {
  std::uint32_t m_FreeSlots = 0; ///< Requests that this entry may start now.
  double m_Slots = 0;            ///< This entry's share of all slots.
};
Capacity capacityFor(const State &Fleet, Kind TargetKind, const ModelId &Model,
                     TimePoint Now);

/// Number of own tries in flight at a target that started under a generation
/// below \p Generation, which a drain barrier waits for. Counts all
/// incarnations.
std::uint32_t inFlightBefore(const State &Fleet, const TargetId &Id,
                             std::uint64_t Generation);

/// Number of own tries in flight at a target, over all incarnations and
/// generations.
std::uint32_t inFlight(const State &Fleet, const TargetId &Id);

/// Health of a target's current incarnation, or none if it is unknown.
std::optional<Health> findHealth(const State &Fleet, const TargetId &Id);

/// Checks every total of the state against its parts (slow; for tests and soak
/// runs). A difference breaks an invariant.
void verify(const State &Fleet);

/// Limits the requests that this entry sends to a target, each leg of a split
/// request counting as one; no limit if \p PerSecond is unset. An unchanged
/// limit keeps its bucket. Does nothing for an unknown target.
void limitRate(State &Fleet, const TargetId &Id,
               std::optional<double> PerSecond, TimePoint Now);

/// When the rate limits and rests of a model's targets admit the next request
/// of this entry; \p Now if some target admits it now, nothing if none of them
/// ever will.
std::optional<TimePoint> nextAdmittedAt(const State &Fleet, Kind TargetKind,
                                        const ModelId &Model, TimePoint Now);

} // namespace wasabivale::routing

#endif // WASABIVALE_ROUTING_ROUTING_H
