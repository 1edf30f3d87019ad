/// \file
/// Admission control: callers' limits, fair queueing and deadlines.
///
/// Pure decision logic over plain structs, without I/O, clock or threads. An
/// entry keeps one `State`. Each caller's limits are leased to it in shares
/// (`setShare`), so that no request needs a round trip. Control divides limits
/// with `divideShares` and keeps the outstanding leases in a `ShareTable`.
///
/// Lifecycle of a request: `admit`; if it is queued, its ticket is returned by
/// `nextToStart`, `expire` or an eviction by a later `admit`, or `abandon`
/// withdraws it; once started, exactly one `finish`.

#ifndef WASABIVALE_LIMITS_LIMITS_H
#define WASABIVALE_LIMITS_LIMITS_H

#include "base/base.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace wasabivale::limits {

/// Highest request priority; 0 is the lowest (overnight).
inline constexpr unsigned MaxPriority = 9;
/// Value of a limit that is not set.
inline constexpr double NoLimit = std::numeric_limits<double>::infinity();

/// Limits of a caller, in the whole fleet or at one entry.
struct Limits {
  double m_RequestsPerSecond = NoLimit;
  double m_PromptTokensPerSecond = NoLimit;
  double m_OutputTokensPerSecond = NoLimit;
  double m_Running = NoLimit; ///< Concurrent requests; integral in a share.

  bool operator==(const Limits &) const = default;
};

struct Settings {
  std::size_t m_MaxQueued = 512; ///< Requests waiting at this entry.
  /// Burst size: a bucket holds what its rate yields in this time.
  Duration m_Burst = std::chrono::seconds(2);
  /// Lead in the fair queue per step of priority, in slot time. Bounds what
  /// priority can take from other callers.
  Duration m_PriorityCredit = std::chrono::milliseconds(500);
  /// Within a caller's own queue, a latest start earlier by this much outweighs
  /// one step of priority.
  Duration m_AgingStep = std::chrono::seconds(2);
  /// A caller with waiting requests and no start for this long goes next. Such
  /// callers take at most every second start of a model.
  Duration m_StarvationBound = std::chrono::seconds(20);
  /// Fraction of the time to the deadline that the estimated finish must leave
  /// free if the request has to wait; others use the place more reliably.
  double m_DeadlineMargin = 0.4;
  /// How long an arrival, even a refused one, counts as demand of its caller
  /// for a model.
  Duration m_DemandWindow = std::chrono::seconds(5);
  /// Fraction of a model's slots that a caller over its fair share must leave
  /// free, so that a request of a caller below its own starts at once.
  double m_ReservedFraction = 0.05;
  /// Fraction of a model's slots, at least one, for which continued requests
  /// start without waiting: their callers lose what they have of the answer
  /// with every wait, and targets put them before others.
  double m_ContinuedFraction = 0.5;
  /// Retry-After of refusals that the next share grant may resolve.
  Duration m_ShareRenewal = std::chrono::seconds(1);
};

/// Identifies a request within one `State`; never reused.
using Ticket = std::uint64_t;

/// Position of a waiting request in its caller's queue: rank, then order of
/// arrival. The rank is the latest start, capped at the starvation bound, minus
/// priority times the aging step.
using QueuePosition = std::tuple<TimePoint, Ticket>;

/// Capacity of a model's targets; computed by `routing::capacityFor`.
struct Capacity {
  std::uint32_t m_FreeSlots = 0; ///< This entry may start this many now.
  double m_Slots = 0;            ///< This entry's fraction of all slots.
};

/// Returns the current capacity of a model.
using CapacityView = std::function<Capacity(const ModelId &)>;

/// A request that arrives at an entry.
struct AdmissionRequest {
  CallerId m_Caller;
  ModelId m_Model; ///< Model or service for which capacity is counted.
  unsigned m_Priority = 5;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 0; ///< Expected; corrected by `finish`.
  TimePoint m_Deadline;
  Duration m_ServiceTime{}; ///< Routing's estimate from start to end.
  /// Time from start to end that is almost certain, where the estimate is
  /// rough; it alone decides what misses the deadline. Unset: the service time,
  /// as corrected by the times of other requests.
  std::optional<Duration> m_MinServiceTime;
  Capacity m_Capacity;        ///< Current capacity of its model.
  bool m_IsContinued = false; ///< Its caller has part of the answer.
};

/// The request may start now and counts as running from now on.
struct Admitted {
  Ticket m_Ticket = 0;
};
/// The request waits; a later call returns its ticket.
struct Queued {
  Ticket m_Ticket = 0;
  TimePoint m_ExpectedStart;
};
/// The request has not run and will not run.
struct Refused {
  Refusal m_Reason = Refusal::QueueFull;
  Duration m_RetryAfter{}; ///< Zero where a retry does not help.
};
/// A waiting request that is refused later.
struct RefusedTicket {
  Ticket m_Ticket = 0;
  Refused m_Refused;
};

struct Decision {
  std::variant<Admitted, Queued, Refused> m_Verdict;
  /// Waiting requests evicted from a full queue; answer them with `not_run`.
  std::vector<RefusedTicket> m_Evicted;
};

/// Token bucket of one rate limit; negative after a request larger than the
/// burst until it is refilled.
struct TokenBucket {
  double m_Tokens = 0;
};

/// State of one caller at this entry.
struct CallerState {
  CallerId m_Id;
  double m_Weight = 1;
  Limits m_Share;
  TimePoint m_ShareExpiresAt; ///< End of the lease of `m_Share`.
  TokenBucket m_Requests;
  TokenBucket m_PromptTokens;
  TokenBucket m_OutputTokens;
  TimePoint m_RefilledAt;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
  bool m_Configured = false; ///< False once removed, while requests still run.
};

using CallerIndex = std::uint32_t;

/// One caller's waiting requests for one model.
struct CallerFlow {
  /// Virtual finish time of the last start, or the virtual time at which the
  /// flow became backlogged, in seconds of slot time per unit of weight.
  double m_FinishTag = 0;
  double m_Key = 0;         ///< Sort key in the model's `m_Order`.
  bool m_Scheduled = false; ///< Has waiting requests and may start.
  bool m_Blocked = false;   ///< Has waiting requests but may not start.
  std::uint32_t m_Running = 0;
  std::set<QueuePosition> m_Waiting;
  double m_Work = 0;        ///< Waiting work, in seconds of slot time.
  TimePoint m_LastStart;    ///< Last start, or when it last became backlogged.
  TimePoint m_LastArrival;  ///< Includes refused requests.
  bool m_HasDemand = false; ///< In the model's `m_RecentDemand`.
};

/// Exponentially decayed work that the queue of a model has started, and the
/// time this took. Their ratio is the drain rate of the queue.
struct DrainRate {
  double m_Work = 0;     ///< Seconds of slot time.
  double m_Seconds = 0;  ///< Time during which requests waited.
  TimePoint m_UpdatedAt; ///< Last start, or when the queue became non-empty.
};

/// Fair queue of one model.
struct ModelQueue {
  double m_VirtualTime = 0; ///< Seconds of slot time per unit of weight.
  std::unordered_map<CallerIndex, CallerFlow> m_Flows;
  std::set<std::pair<double, CallerIndex>> m_Order; ///< Scheduled flows by key.
  std::set<std::pair<TimePoint, CallerIndex>> m_ByLastStart; ///< Same flows.
  double m_Work = 0;          ///< Waiting work, in seconds of slot time.
  double m_WaitingWeight = 0; ///< Sum over the flows with waiting requests.
  /// Flows with an arrival within the demand window, by last arrival.
  std::set<std::pair<TimePoint, CallerIndex>> m_RecentDemand;
  double m_DemandWeight = 0; ///< Sum over the flows in `m_RecentDemand`.
  DrainRate m_Drain;
  std::uint32_t m_Running = 0;   ///< Sum over all flows.
  std::uint32_t m_Continued = 0; ///< Running continued requests.
  bool m_LastStartWasStarved = false;
  TimePoint m_LastStart;
  double m_Bias = 1; ///< Moving average of observed over expected service time.
};

/// A queued or running request.
struct ActiveRequest {
  CallerIndex m_Caller = 0;
  ModelId m_Model;
  unsigned m_Priority = 0;
  bool m_Running = false;
  bool m_IsContinued = false;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 0;
  TimePoint m_ArrivedAt;
  TimePoint m_StartedAt;
  TimePoint m_LatestStart; ///< A later start would miss the deadline.
  TimePoint m_Deadline;
  QueuePosition m_Position; ///< Valid while the request waits.
  Duration m_ServiceTime{};
  std::optional<Duration> m_MinServiceTime;
};

/// Resources that a caller requested and used since the last `takeUsage`.
struct Usage {
  CallerId m_Caller;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_OutputTokens = 0;
  std::uint64_t m_OfferedRequests = 0;     ///< Includes refused requests.
  std::uint64_t m_OfferedPromptTokens = 0; ///< Includes refused requests.
  std::uint64_t m_OfferedOutputTokens = 0; ///< Includes refused requests.
  std::uint64_t m_PeakRunning = 0; ///< Running and waiting requests together.
};

/// Admission state of one entry.
struct State {
  Settings m_Settings;
  std::unordered_map<CallerId, CallerIndex> m_ByCaller;
  std::vector<CallerState> m_Callers;
  std::vector<CallerIndex> m_FreeCallers;
  std::unordered_map<ModelId, ModelQueue> m_Models;
  std::unordered_map<Ticket, ActiveRequest> m_Active;
  /// Waiting requests only.
  std::set<std::pair<TimePoint, Ticket>> m_ByLatestStart;
  /// Callers with waiting requests by queued / weight; the last is evicted
  /// first.
  std::set<std::pair<double, CallerIndex>> m_ByBacklog;
  std::map<CallerIndex, Usage> m_Usage;
  std::size_t m_QueuedCount = 0;
  std::size_t m_RunningCount = 0;
  Ticket m_NextTicket = 1;
};

/// Sets this entry's share of a caller's limits until \p ExpiresAt. After an
/// increase the buckets fill at the new rate; tokens above the new burst size
/// are discarded.
void setShare(State &Entry, const CallerId &Id, double Weight,
              const Limits &Share, TimePoint ExpiresAt, TimePoint Now);

/// Removes a caller that is no longer configured. Its running requests end as
/// usual; its waiting requests are refused. \returns the refused requests.
std::vector<RefusedTicket> removeCaller(State &Entry, const CallerId &Id,
                                        TimePoint Now);

/// Admits, queues or refuses a request before it uses any target.
Decision admit(State &Entry, const AdmissionRequest &Request, TimePoint Now);

/// Starts a waiting request, which counts as running from now on. Call it after
/// every end of a request, load report and share grant until it returns none.
std::optional<Ticket> nextToStart(State &Entry, TimePoint Now,
                                  const CapacityView &Capacities);

/// Refuses the waiting requests that can no longer meet their deadline.
std::vector<RefusedTicket> expire(State &Entry, TimePoint Now);

/// Time at which `expire` must be called next; none while no request waits.
std::optional<TimePoint> nextExpiry(const State &Entry);

/// Withdraws a waiting request whose caller has disconnected.
void abandon(State &Entry, Ticket Id, TimePoint Now);

/// Tokens that a request actually used.
struct UsedTokens {
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 0;
  bool m_Ran = true; ///< False if no target did any work for it.
};

/// Ends a started request and charges its caller for the actual usage.
void finish(State &Entry, Ticket Id, const UsedTokens &Used, TimePoint Now);

/// Usage by caller since the last call, reported by the entry to control.
/// Contains only callers that sent requests or have some in progress.
std::vector<Usage> takeUsage(State &Entry);

/// Checks every sum against its parts. Slow; for tests and soak runs.
void verify(const State &Entry);

// --- Division of limits among entries (control) ----------------------------

/// Demand of one entry for one caller's limits.
struct Demand {
  double m_RequestsPerSecond = 0;
  double m_PromptTokensPerSecond = 0;
  double m_OutputTokensPerSecond = 0;
  double m_Running = 0;
};

/// Fractions of the limits that are spread evenly over all entries regardless
/// of demand, so that any entry can serve a caller's first request.
inline constexpr double FloorShare = 0.1;
inline constexpr double RunningFloorShare = 0.5;

/// The floor: what each of \p Entries entries may use without a lease.
Limits floorOf(const Limits &Limit, std::size_t Entries);

/// Divides a caller's limits among entries: the even floor, then by demand, the
/// remainder evenly. The shares sum to the limit in each dimension; `m_Running`
/// is integral for each entry. \returns one share per demand, in their order.
/// \pre \p Demands is not empty.
std::vector<Limits> divideShares(const Limits &Limit,
                                 const std::vector<Demand> &Demands);

/// An entry's lease of limits above its floor.
struct EntryLease {
  Limits m_Leased{0, 0, 0, 0};
  TimePoint m_ExpiresAt;
  Demand m_Demand;
  Limits m_Allotment{0, 0, 0, 0}; ///< Result of the last division.
};

/// Outstanding leases of one caller's limits.
struct CallerShares {
  std::map<NodeId, EntryLease> m_Leases;
  Limits m_Limit; ///< Limit at the last division.
  TimePoint m_DividedAt;
};

/// Outstanding leases of every caller's limits. Contains only entries with
/// demand for a caller; all others use their floor.
struct ShareTable {
  std::size_t m_Entries = 1; ///< Number of entries that have a floor.
  Duration m_DivisionInterval = std::chrono::seconds(1);
  std::unordered_map<CallerId, CallerShares> m_Callers;
};

/// Renews an entry's share of one caller's limits: its floor plus its allotment
/// by demand, reduced by what other entries lease beyond theirs until they
/// renew or their lease expires. Floors and unexpired leases together never
/// exceed the limit. A lease is reassigned once \p Now has reached its end, so
/// \p ExpiresAt must not be earlier than the end that the entry itself assumes.
Limits renewShare(ShareTable &Table, const CallerId &Caller,
                  const Limits &Limit, const NodeId &Entry,
                  const Demand &EntryDemand, TimePoint ExpiresAt,
                  TimePoint Now);

/// Sum of the floors and unexpired leases of a caller.
Limits outstanding(const ShareTable &Table, const CallerId &Caller,
                   const Limits &Limit, TimePoint Now);

// --- Limits named by targets (control) --------------------------------------

/// Requests a second that a target accepts from all entries together.
struct TargetLimit {
  double m_PerSecond = 0;
  TimePoint m_ExpiresAt;

  bool operator==(const TargetLimit &) const = default;
};

/// Limits by the targets' addresses, which outlive their processes.
/// Deterministic: the same reports with the same log times give the same state.
struct TargetLimitTable {
  Duration m_Duration = std::chrono::seconds(15);
  std::size_t m_MaxLimits = 2048;
  /// Relative change below which a limit is not updated.
  double m_Tolerance = 0.05;
  std::uint64_t m_Revision = 0; ///< Incremented by each change of a value.
  std::map<std::string, TargetLimit> m_Limits;
};

/// Whether a report on the target, zero for no limit, would change the table or
/// is due to renew it.
bool isLimitNews(const TargetLimitTable &Table, const std::string &Address,
                 double PerSecond, TimePoint Now);
void applyTargetLimit(TargetLimitTable &Table, const std::string &Address,
                      double PerSecond, TimePoint Now);
void expireTargetLimits(TargetLimitTable &Table, TimePoint Now);

/// Requests a second that one entry may send to a target.
struct TargetRate {
  double m_Limit = 0; ///< Of all entries together.
  double m_Share = 0; ///< Of this entry; zero if others use up the limit.
};
using TargetRates = std::map<std::string, TargetRate>;

/// Entries that may use a target's limit, in equal parts.
struct TargetDivision {
  double m_Limit = 0;
  std::vector<NodeId> m_Users; ///< Sorted.
};
using TargetDivisions = std::map<std::string, TargetDivision>;

/// Divides each limit among as many entries as it allows a burst of one request
/// each, chosen by rendezvous hashing.
TargetDivisions divideTargetLimits(const TargetLimitTable &Table,
                                   const std::vector<NodeId> &Entries);

/// What one entry is told: every limit, and its share of it.
TargetRates ratesOf(const TargetDivisions &Divisions, const NodeId &Entry);

// --- Limits named by targets (entry) ----------------------------------------

/// What an entry knows of targets' limits.
struct TargetRateTracker {
  std::map<std::string, double> m_Observed; ///< In answers to this entry.
  TargetRates m_Told;                       ///< By control.
};

/// Records what an answer of the target names, zero for no limit. \returns
/// whether the entry's rate changes.
bool observeTargetLimit(TargetRateTracker &Tracker, const std::string &Address,
                        double PerSecond);
void applyTargetRates(TargetRateTracker &Tracker, TargetRates Told);

/// Requests a second that this entry may send to the target; nothing for no
/// limit. A limit that control has not divided yet is divided evenly among
/// \p Entries.
std::optional<double> ownRate(const TargetRateTracker &Tracker,
                              const std::string &Address,
                              std::uint32_t Entries);

} // namespace wasabivale::limits

#endif // WASABIVALE_LIMITS_LIMITS_H
