/// \file
/// Admission: callers' limits, fair queueing and deadlines.
///
/// Pure deciding code over plain structs: no I/O, no clock, no threads. An
/// entry keeps one `State`. Each caller's limits are leased to it in shares
/// (`setShare`), so that no request needs a round trip. The control side
/// divides limits with `divideShares` and keeps outstanding leases in a
/// `ShareTable`.
///
/// Life of a request: `admit`; when queued, `nextToStart` or `expire` or an
/// eviction by a later `admit` hands its ticket back, or `abandon` withdraws
/// it; once started, exactly one `finish`.

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

/// Request priorities run from 0 (overnight) to this.
inline constexpr unsigned MaxPriority = 9;
/// Stands for "no limit".
inline constexpr double NoLimit = std::numeric_limits<double>::infinity();

/// What a caller may use, in the whole fleet or at one entry.
struct Limits {
  double m_RequestsPerSecond = NoLimit;
  double m_PromptTokensPerSecond = NoLimit;
  double m_OutputTokensPerSecond = NoLimit;
  double m_Running = NoLimit; ///< Concurrent requests; whole in a share.

  bool operator==(const Limits &) const = default;
};

struct Settings {
  std::size_t m_MaxQueued = 512; ///< Requests waiting at this entry.
  /// Time's worth of a rate that a caller may use at once.
  Duration m_Burst = std::chrono::seconds(2);
  /// Lead in the fair queue that each step of priority gives, as the work of
  /// one slot for this long. Bounds what priority can take from others.
  Duration m_PriorityCredit = std::chrono::milliseconds(500);
  /// Within a caller's own queue, a latest start that is this much earlier
  /// outweighs one step of priority.
  Duration m_AgeStep = std::chrono::seconds(2);
  /// A caller with waiting work that has had no start for this long goes
  /// next, at latest every second start of its model: the starvation bound.
  Duration m_StarvationBound = std::chrono::seconds(20);
  /// Part of the time to the deadline that an estimated finish leaves free when
  /// the request would have to wait: others can use the place more surely.
  double m_DeadlineMargin = 0.4;
  /// How long a caller counts as wanting its part of a model after an arrival,
  /// also one that was refused.
  Duration m_DemandMemory = std::chrono::seconds(5);
  /// Part of a model's slots that a caller over its part must leave free, so
  /// that the next request of a caller under it starts at once.
  double m_Reserve = 0.05;
  /// Retry-After for what the next share grant may cure.
  Duration m_ShareRenewal = std::chrono::seconds(1);
};

/// Names a request within one `State`; never reused.
using Ticket = std::uint64_t;

/// Place of a waiting request in its caller's queue: rank, then order of
/// arrival. The rank is its latest start, no further ahead than the starvation
/// bound, less priority times the age step.
using Place = std::tuple<TimePoint, Ticket>;

/// Room at a model's targets; `routing::capacityFor` tells it.
struct Capacity {
  std::uint32_t m_FreeSlots = 0; ///< May be started now by this entry.
  double m_Slots = 0;            ///< This entry's part of all slots.
};

/// Capacity of a model now.
using CapacityView = std::function<Capacity(const ModelId &)>;

/// A request that asks to be served.
struct AdmissionRequest {
  CallerId m_Caller;
  ModelId m_Model; ///< Model, or service: what capacity is counted for.
  unsigned m_Priority = 5;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 0; ///< Expected; corrected by `finish`.
  TimePoint m_Deadline;
  Duration m_ServiceTime{}; ///< Routing's estimate from start to finish.
  Capacity m_Capacity;      ///< Of its model, now.
};

/// May start now, and counts as running from now on.
struct Admitted {
  Ticket m_Ticket = 0;
};
/// Waits; its ticket comes back from a later call.
struct Queued {
  Ticket m_Ticket = 0;
  TimePoint m_ExpectedStart;
};
/// Not run, nor will be.
struct Refused {
  Refusal m_Reason = Refusal::QueueFull;
  Duration m_RetryAfter{}; ///< Zero where a retry does not help.
};
/// A waiting request that is refused after all.
struct RefusedTicket {
  Ticket m_Ticket = 0;
  Refused m_Refused;
};

struct Decision {
  std::variant<Admitted, Queued, Refused> m_Verdict;
  /// Waiting requests pushed out to make room; answer them with `not_run`.
  std::vector<RefusedTicket> m_Evicted;
};

/// Tokens left of one rate; negative while a large request is paid off.
struct Bucket {
  double m_Tokens = 0;
};

/// One caller at this entry.
struct Caller {
  CallerId m_Id;
  double m_Weight = 1;
  Limits m_Share;
  TimePoint m_ShareUntil; ///< The lease; not used afterwards.
  Bucket m_Requests;
  Bucket m_PromptTokens;
  Bucket m_OutputTokens;
  TimePoint m_FilledAt;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
  bool m_Configured = false; ///< False: removed, its requests still end.
};

using CallerIndex = std::uint32_t;

/// One caller's waiting requests for one model.
struct Flow {
  /// Virtual finish time of its last start, or the virtual time at which it
  /// became backlogged: seconds of slot time for each unit of weight.
  double m_Finish = 0;
  double m_Key = 0;      ///< Where it stands in the model's order.
  bool m_Listed = false; ///< In that order: it has work and may start.
  bool m_Barred = false; ///< It has work, but its caller's share is in use.
  std::uint32_t m_Running = 0;
  std::set<Place> m_Waiting;
  double m_Work = 0;      ///< Seconds of slot time that wait.
  TimePoint m_LastStart;  ///< Or when it last became backlogged.
  TimePoint m_WantedAt;   ///< Last arrival, also one that was refused.
  bool m_Wanting = false; ///< Listed in the model's `m_Wanting`.
};

/// Work that the queue of a model has started and the time that this took,
/// both fading: their ratio is how fast it drains.
struct DrainRate {
  double m_Work = 0;    ///< Seconds of slot time.
  double m_Seconds = 0; ///< While something waited.
  TimePoint m_At;       ///< Last start, or when something began to wait.
};

/// Fair queue of one model.
struct ModelQueue {
  double m_Virtual = 0; ///< Virtual time, seconds of slot time per weight.
  std::unordered_map<CallerIndex, Flow> m_Flows;
  std::set<std::pair<double, CallerIndex>> m_Order;      ///< By key.
  std::set<std::pair<TimePoint, CallerIndex>> m_Starved; ///< By last start.
  double m_Work = 0;    ///< Seconds of slot time that wait.
  double m_Weights = 0; ///< Of the flows that wait.
  /// Flows by last arrival, as far back as the demand memory reaches.
  std::set<std::pair<TimePoint, CallerIndex>> m_Wanting;
  double m_WantingWeights = 0; ///< Of those flows.
  DrainRate m_Drain;
  std::uint32_t m_Running = 0; ///< Of all flows.
  bool m_LastWasStarved = false;
  TimePoint m_LastStart;
  double m_Bias = 1; ///< Mean of observed over expected service time.
};

/// A request from its admission to its end.
struct Held {
  CallerIndex m_Caller = 0;
  ModelId m_Model;
  unsigned m_Priority = 0;
  bool m_Running = false;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 0;
  TimePoint m_ArrivedAt;
  TimePoint m_StartedAt;
  TimePoint m_LatestStart; ///< Started later, it misses its deadline.
  TimePoint m_Deadline;
  Place m_Place; ///< While it waits.
  Duration m_ServiceTime{};
};

/// What a caller used and wanted since the last `takeUsage`.
struct Usage {
  CallerId m_Caller;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_OutputTokens = 0;
  std::uint64_t m_OfferedRequests = 0;     ///< With those refused.
  std::uint64_t m_OfferedPromptTokens = 0; ///< With those refused.
  std::uint64_t m_OfferedOutputTokens = 0; ///< With those refused.
  std::uint64_t m_PeakRunning = 0;         ///< Running and waiting together.
};

/// One entry's admission.
struct State {
  Settings m_Settings;
  std::unordered_map<CallerId, CallerIndex> m_ByCaller;
  std::vector<Caller> m_Callers;
  std::vector<CallerIndex> m_FreeCallers;
  std::unordered_map<ModelId, ModelQueue> m_Models;
  std::unordered_map<Ticket, Held> m_Held;
  std::set<std::pair<TimePoint, Ticket>> m_ByLatestStart; ///< Waiting only.
  /// Callers with waiting requests by queued / weight: who is evicted first.
  std::set<std::pair<double, CallerIndex>> m_ByBacklog;
  std::map<CallerIndex, Usage> m_Use;
  std::size_t m_QueuedCount = 0;
  std::size_t m_RunningCount = 0;
  Ticket m_NextTicket = 1;
};

/// Gives this entry its share of a caller's limits until \p Until. A larger
/// share fills at its rate; tokens above the new burst are cut.
void setShare(State &Entry, const CallerId &Id, double Weight,
              const Limits &Share, TimePoint Until, TimePoint Now);

/// Forgets a caller that is no longer configured. Its running requests end as
/// usual; waiting ones are refused. \returns those.
std::vector<RefusedTicket> removeCaller(State &Entry, const CallerId &Id,
                                        TimePoint Now);

/// Decides on an arrival, before it costs any target anything.
Decision admit(State &Entry, const AdmissionRequest &Wanted, TimePoint Now);

/// A waiting request that may start now, and counts as running from now on.
/// Call until it yields none, after any end, load report or share grant.
std::optional<Ticket> nextToStart(State &Entry, TimePoint Now,
                                  const CapacityView &Room);

/// Refuses the waiting requests that can no longer end by their deadline.
std::vector<RefusedTicket> expire(State &Entry, TimePoint Now);

/// When `expire` has something to do next; none while nothing waits.
std::optional<TimePoint> nextExpiry(const State &Entry);

/// Withdraws a waiting request whose caller has gone.
void abandon(State &Entry, Ticket Id, TimePoint Now);

/// What a request really used.
struct UsedTokens {
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 0;
  bool m_Ran = true; ///< False: no target did any work for it.
};

/// Ends a started request and corrects its caller's budgets.
void finish(State &Entry, Ticket Id, const UsedTokens &Used, TimePoint Now);

/// Usage by caller since the last call: the entry's report to control. Holds
/// only callers that wanted something or have requests here.
std::vector<Usage> takeUsage(State &Entry);

/// Checks every sum against its parts (slow; for tests and soak runs).
void verify(const State &Entry);

// --- Division of limits among entries (control) ----------------------------

/// What one entry wants of one caller's limits.
struct Demand {
  double m_RequestsPerSecond = 0;
  double m_PromptTokensPerSecond = 0;
  double m_OutputTokensPerSecond = 0;
  double m_Running = 0;
};

/// Parts of the limits that are spread evenly over all entries, whatever the
/// demand, so that an entry can serve a caller's first request.
inline constexpr double FloorShare = 0.1;
inline constexpr double RunningFloorShare = 0.5;

/// What each of \p Entries entries may use of a limit without a lease.
Limits floorOf(const Limits &Limit, std::size_t Entries);

/// Divides a caller's limits among entries: the even floor, then by demand;
/// what is left over evenly. The shares sum to the limit in each dimension;
/// `m_Running` is whole for each entry. \returns one share for each demand,
/// in their order. \pre \p Demands is not empty.
std::vector<Limits> divideShares(const Limits &Limit,
                                 const std::vector<Demand> &Demands);

/// What an entry holds above its floor, and until when.
struct Holding {
  Limits m_Leased{0, 0, 0, 0};
  TimePoint m_Until;
  Demand m_Demand;
  Limits m_Part{0, 0, 0, 0}; ///< What the last division gives it.
};

/// Outstanding leases of one caller's limits.
struct CallerShares {
  std::map<NodeId, Holding> m_Holdings;
  Limits m_Limit; ///< That the last division divided.
  TimePoint m_DividedAt;
};

/// Outstanding leases of every caller's limits. Holds only entries that want
/// something of a caller; all others live on their floor.
struct ShareTable {
  std::size_t m_Entries = 1; ///< That have a floor.
  Duration m_DivideEvery = std::chrono::seconds(1);
  std::unordered_map<CallerId, CallerShares> m_Callers;
};

/// Renews an entry's share of one caller's limits: its floor and what its
/// demand gives it, less what others hold beyond their part until they renew
/// or their lease runs out. Floors and unexpired leases never exceed the
/// limit together. A lapsed lease is free once \p Now has passed it, so
/// \p Until must be no earlier than the entry's own end of the lease.
Limits renewShare(ShareTable &Table, const CallerId &Caller,
                  const Limits &Limit, const NodeId &Entry,
                  const Demand &Wanted, TimePoint Until, TimePoint Now);

/// Sum of the floors and unexpired leases of a caller.
Limits outstanding(const ShareTable &Table, const CallerId &Caller,
                   const Limits &Limit, TimePoint Now);

} // namespace wasabivale::limits

#endif // WASABIVALE_LIMITS_LIMITS_H
