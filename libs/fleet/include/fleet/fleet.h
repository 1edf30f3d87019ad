/// \file
/// Replicated state of the fleet: targets, orders, plans, the role policy,
/// configuration revisions and the table of answered operator calls.
///
/// `apply` is the deterministic step: the same commands in the same order give
/// the same state and the same snapshot on every control member. It does no I/O
/// and reads no clock. `dueActions` returns what the leader has to do next. It
/// reads the replicated state and `ObservedState`, the leader's record of
/// reports, which is not replicated.
///
/// Invariants (checked in release builds too):
///  - an engine has at most one order under way, and fences of orders increase
///    strictly;
///  - an order that stops work is issued only after the drain barrier of the
///    target's generation;
///  - the configuration revision never decreases.

#ifndef WASABIVALE_FLEET_FLEET_H
#define WASABIVALE_FLEET_FLEET_H

#include "base/base.h"
#include "limits/limits.h"
#include "logtime/logtime.h"
#include "retries/retries.h"
#include "wire.pb.h"
#include "workdigest/workdigest.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wasabivale::fleet {

using Json = nlohmann::json;

struct OrderTag;
struct PlanTag;
using OrderId = Id<OrderTag>;
using PlanId = Id<PlanTag>;

// --- Limits and retention -------------------------------------------------

/// Past incarnations kept for each target; a target may not return to one.
inline constexpr std::size_t MaxPastIncarnations = 8;
/// Ended orders kept for operators.
inline constexpr std::size_t MaxEndedOrders = 512;
/// Plans kept for operators; running plans are never removed.
inline constexpr std::size_t MaxEndedPlans = 128;
/// Configuration revisions that are kept with their document.
inline constexpr std::size_t MaxConfigurationDocuments = 8;
/// Configuration revisions that are kept with author, digest and time.
inline constexpr std::size_t MaxConfigurationRevisions = 256;
/// Number of operator calls whose answers are kept, and for how long. A later
/// resend, or one after this many other calls, is handled as a new call.
inline constexpr std::size_t MaxAnswers = 8'192;
inline constexpr std::chrono::hours AnswerRetention{24};
/// A target that has been lost or withdrawn for longer than this is removed.
inline constexpr std::chrono::hours TargetRetention{24 * 7};
/// The same for a self-managed target; covers its delayed messages.
inline constexpr std::chrono::seconds SelfManagedTargetRetention{60};
/// Removed targets kept, so that entries at an older revision get a delta.
inline constexpr std::size_t MaxRemovedTargets = 256;
/// A software version is remembered for this long after its last target, and a
/// begun stream after its last record: longer than a stream and the attempts
/// of its caller to resume it last.
inline constexpr std::chrono::seconds StreamVersionRetention{60};
/// Software versions remembered, over all services.
inline constexpr std::size_t MaxServedVersions = 1'024;
/// Begun streams remembered, about 70 bytes each.
inline constexpr std::size_t MaxBegunStreams = 262'144;

// --- Targets --------------------------------------------------------------

enum class TargetState : std::uint8_t {
  Announced, ///< Known; needs an order to restore its desired state.
  Serving,   ///< Receives new work.
  Draining,  ///< Receives no new work; stays in the fleet.
  Leaving,   ///< Receives no new work; will be withdrawn.
  Withdrawn, ///< Taken out of the fleet by an order.
  Lost,      ///< Stopped reporting.
};

/// Wire name in lower_snake_case.
std::string_view targetStateName(TargetState Value);

/// The state that an operator wants a target to have. An order carries all of
/// it.
struct DesiredState {
  std::string m_Role; ///< mixed, prefill or decode; empty for a service.
  std::set<std::string> m_Models;
  bool m_Draining = false;
  bool m_Withdrawn = false;

  bool operator==(const DesiredState &) const = default;
};

/// An inference engine or a plain service.
///
/// Each start of its process is an incarnation. A new incarnation replaces the
/// previous one, which may not return. Each incarnation and each drain
/// increments the generation, which entries acknowledge.
struct Target {
  TargetId m_Id;
  std::string m_Incarnation;
  std::string m_Address; ///< `ip:port`.
  bool m_IsEngine = true;
  RegionId m_Region;
  ZoneId m_Zone;
  std::string m_Role;
  std::set<std::string> m_Models; ///< For a service: its service names.
  bool m_ChecksFence = false;
  std::uint64_t m_KvBlocks = 0;
  std::uint32_t m_MaxRunning = 0;
  double m_PrefillTokensPerSecond = 0;
  double m_DecodeTokensPerSecond = 0;
  /// Start of its process in ms by the target's clock; zero if unknown. At one
  /// address a later start replaces an earlier one.
  std::uint64_t m_StartedMs = 0;
  /// It joins and leaves without orders; only its role can be ordered.
  std::string m_SoftwareVersion;
  bool m_SelfManaged = false;
  bool m_IsReclaimable = false; ///< The platform may take it away.
  bool m_Held = false; ///< Taken out of service while its role changes.

  TargetState m_State = TargetState::Announced;
  LogTime m_StateSince;
  std::uint64_t m_Generation = 0;
  /// Newest generation whose barrier is reached.
  std::uint64_t m_BarrierReached = 0;
  std::uint64_t m_ChangedAtRevision = 0; ///< Fleet revision of the last change.
  /// Set by completed orders; kept across incarnations.
  std::optional<DesiredState> m_DesiredState;
  bool m_LeaveRequested = false;
  /// Running plan with a step for this target; empty if none.
  PlanId m_ClaimedBy;
  std::deque<std::string> m_PastIncarnations;
};

struct Targets {
  /// Incremented by each change that entries must see.
  std::uint64_t m_Revision = 0;
  std::map<TargetId, Target> m_ById;
  /// Maps to the revision of the removal.
  std::map<TargetId, std::uint64_t> m_Removed;
  /// Older revisions get a full update.
  std::uint64_t m_OldestDeltaRevision = 0;
  /// Number of holds for a role change. Zero means that no role was ever
  /// ordered.
  std::uint64_t m_HoldCount = 0;
};

// --- Orders ---------------------------------------------------------------

/// Authority of an order. An order with a lower fence has no effect.
struct Fence {
  std::uint64_t m_Term = 0;
  std::uint64_t m_Sequence = 0;

  bool operator==(const Fence &) const = default;
  bool operator<(const Fence &Other) const {
    return std::tie(m_Term, m_Sequence) <
           std::tie(Other.m_Term, Other.m_Sequence);
  }
  bool operator>(const Fence &Other) const { return Other < *this; }
  bool operator>=(const Fence &Other) const { return !(*this < Other); }
};

enum class OrderPhase : std::uint8_t {
  Pending,    ///< Committed; not known to be sent.
  Sent,       ///< Accepted by the target.
  Done,       ///< The target has the desired state.
  Failed,     ///< The target could not reach the desired state.
  Superseded, ///< Replaced by an order with a higher fence.
};

std::string_view orderPhaseName(OrderPhase Value);

struct Order {
  OrderId m_Id;
  TargetId m_Target;
  std::string m_Incarnation;
  Fence m_Fence;
  DesiredState m_DesiredState;
  OrderPhase m_Phase = OrderPhase::Pending;
  PlanId m_Plan; ///< Empty: restores the target's desired state.
  std::uint32_t m_Step = 0;
  std::string m_Message;
  LogTime m_Issued;
  LogTime m_SentAt;
  bool m_ReadsWeightStore = false; ///< Loads a model from the weight store.
  bool m_RequiresDrain = false;    ///< The target must be idle when it is sent.

  [[nodiscard]] bool isUnderWay() const {
    return m_Phase == OrderPhase::Pending || m_Phase == OrderPhase::Sent;
  }
};

struct Orders {
  Fence m_Last;
  std::uint64_t m_Next = 1;
  std::map<OrderId, Order> m_ById;
  std::map<TargetId, OrderId> m_UnderWay;
  std::deque<OrderId> m_Ended; ///< Oldest first.
};

// --- Plans ----------------------------------------------------------------

enum class StepKind : std::uint8_t { Order, Configure, Policy, Member };

enum class StepPhase : std::uint8_t {
  Waiting,
  Barrier, ///< Its target drains; entries have yet to acknowledge.
  Ready,   ///< Its order may be issued.
  Ordered, ///< Its order or membership change is under way.
  Done,
  Failed,
  Cancelled,
};

std::string_view stepPhaseName(StepPhase Value);

/// Capacity that serves a model or service while a step runs.
struct Capacity {
  std::string m_Name;
  std::uint32_t m_Targets = 0;
  std::uint32_t m_Running = 0; ///< Maximum concurrent requests.

  bool operator==(const Capacity &) const = default;
};

struct Step {
  StepKind m_Kind = StepKind::Order;
  TargetId m_Target;
  DesiredState m_DesiredState;
  std::uint32_t m_Stage = 0;   ///< Steps of one stage may run concurrently.
  bool m_StopsServing = false; ///< The target does not serve during the step.
  std::string m_Document;      ///< JSON; set for steps other than orders.
  std::vector<Capacity> m_Remaining;

  StepPhase m_Phase = StepPhase::Waiting;
  OrderId m_Order;
  std::string m_Message;
};

enum class PlanPhase : std::uint8_t {
  Proposed,
  Running,
  Done,
  Failed,
  Cancelled,
};

std::string_view planPhaseName(PlanPhase Value);

struct Plan {
  PlanId m_Id;
  std::uint64_t m_Revision = 0; ///< `Plans::m_Revision` it is based on.
  std::string m_Digest;         ///< Of intent, revision and steps.
  std::string m_Intent;         ///< JSON.
  std::string m_Actor;
  PlanPhase m_Phase = PlanPhase::Proposed;
  std::string m_Message;
  bool m_Cancelling = false;
  LogTime m_ProposedAt;
  LogTime m_ConfirmedAt;
  LogTime m_EndedAt;
  std::vector<Step> m_Steps;
};

struct Plans {
  /// Incremented by each confirmed plan. A plan based on an older revision can
  /// no longer be confirmed.
  std::uint64_t m_Revision = 0;
  std::uint64_t m_Next = 1;
  std::string m_LastConfirmed; ///< The plan confirmed last, and by whom.
  std::map<PlanId, Plan> m_ById;
  std::deque<PlanId> m_InOrder; ///< Oldest first.
};

// --- Role policy ----------------------------------------------------------

/// Limits within which roles are shifted without an operator.
struct RolePolicy {
  bool m_Active = false;
  PlanId m_Plan; ///< The plan by which an operator confirmed it.
  std::uint32_t m_ChangesPerHour = 0;
  std::chrono::nanoseconds m_Cooldown{0}; ///< Between two changes.
  /// Engines that can prefill, for each model.
  std::uint32_t m_MinimumPrefill = 0;
  std::uint32_t m_MinimumDecode = 0;
  /// Times of automatic changes in the last hour.
  std::deque<LogTime> m_Changes;
};

// --- Configuration --------------------------------------------------------

struct ConfigurationRevision {
  std::uint64_t m_Revision = 0;
  std::string m_Actor;
  std::string m_Digest;
  LogTime m_AcceptedAt;
  std::string m_Document; ///< Empty for old revisions.
};

struct Configuration {
  std::uint64_t m_Revision = 0; ///< Newest accepted; zero if none.
  std::deque<ConfigurationRevision> m_History; ///< Oldest first.
  std::uint32_t m_MaxConcurrentLoads = 1;      ///< From the newest document.
};

/// JSON schema (draft 7) of the configuration document.
const Json &configurationSchema();

/// Validates a document against the schema and against the rules that a schema
/// cannot express: ids are unique and defaults do not exceed maxima.
/// \returns all problems, one per line; empty if the document is valid.
std::string checkConfiguration(const std::string &Document);

/// The newest accepted document; empty if there is none.
std::string_view currentDocument(const Configuration &Configuration);

// --- Routes -----------------------------------------------------------------

/// The accepted routes; a higher version replaces a lower one.
struct Routes {
  wire::RouteTable m_Table; ///< Version zero if there are none.
  std::string m_Source;     ///< The text that the operator sent.
};

// --- Software versions of streams -------------------------------------------

/// A stream may only go on at the software version that began it. Streams of a
/// service are recorded while it has several versions.
struct StreamVersions {
  /// Last time that a target of the version was registered, by service and
  /// version.
  std::map<std::pair<std::string, std::string>, LogTime> m_LastServed;
  struct Origin {
    std::uint64_t m_Version = 0; ///< Hash of the version; zero: not known.
    LogTime m_ExpiresAt;
  };
  /// By the hash of the id of the stream's first attempt.
  std::unordered_map<std::uint64_t, Origin> m_Begun;
  /// In the order of expiry. An element is out of date if its time differs from
  /// the one in `m_Begun`.
  std::deque<std::pair<std::uint64_t, LogTime>> m_Expiries;
};

// --- Duties at the platform -------------------------------------------------

/// Windows of usage that are closed and not yet taken by the platform. When it
/// is away for longer, the oldest are given up.
inline constexpr std::size_t MaxClosedWindows = 64;
/// Ordered numbers of targets kept, one for each service, zone and kind.
inline constexpr std::size_t MaxScaleOrders = 1'024;

/// What holders of duties have decided; the next holder goes on from it.
struct Duties {
  std::map<std::uint64_t, wire::UsageWindow> m_Closed; ///< By window.
  std::uint64_t m_NewestClosed = 0;
  struct Kind {
    std::string m_Service;
    ZoneId m_Zone;
    bool m_Reclaimable = false;

    bool operator<(const Kind &Other) const {
      return std::tie(m_Service, m_Zone, m_Reclaimable) <
             std::tie(Other.m_Service, Other.m_Zone, Other.m_Reclaimable);
    }
  };
  std::map<Kind, std::uint32_t> m_Ordered;

  /// Whether nothing was ever due: no former holder can have sent anything.
  [[nodiscard]] bool isUntouched() const {
    return m_NewestClosed == 0 && m_Ordered.empty();
  }
};

// --- Answered operator calls ----------------------------------------------

/// Answer to a command.
struct Reply {
  std::optional<Refusal> m_Refusal;
  std::string m_Message;
  std::string m_Result; ///< JSON for the operator; may be empty.

  bool operator==(const Reply &) const = default;
};

struct AnsweredCall {
  std::string m_CallDigest;
  Reply m_Reply;
  LogTime m_AnsweredAt;
};

struct RequestTable {
  std::map<RequestId, AnsweredCall> m_ById;
  std::deque<RequestId> m_InOrder; ///< Oldest first.
};

/// Drops expired answers and returns the recorded answer to this call, a
/// refusal if the request id was used for another call, or nothing if the call
/// is new.
std::optional<Reply> findAnswer(RequestTable &Table, const wire::Command &Call,
                                LogTime Now);
void recordAnswer(RequestTable &Table, const wire::Command &Call,
                  const Reply &Reply, LogTime Now);

// --- Replicated state -----------------------------------------------------

struct State {
  LogTime m_Now; ///< Log time of the newest command.
  Targets m_Targets;
  Orders m_Orders;
  Plans m_Plans;
  RolePolicy m_Policy;
  Configuration m_Configuration;
  Routes m_Routes;
  RequestTable m_Requests;
  retries::SuspectTable m_Suspicion;       ///< Its times are log times.
  retries::TraitTable m_Traits;            ///< Its times are log times.
  limits::TargetLimitTable m_TargetLimits; ///< Its times are log times.
  StreamVersions m_StreamVersions;
  Duties m_Duties;
};

/// Converts a log time to the time type of `retries::SuspectTable`.
inline TimePoint suspicionTime(LogTime Time) {
  return TimePoint(Time.time_since_epoch());
}

/// A crash as an entry reports it.
retries::TraitCrash readTraitCrash(const wire::TraitCrash &Message);

/// Validates a configuration against the schema before the leader proposes
/// \p Command. This is not part of the replicated step, so that members of two
/// versions cannot decide differently. \returns the refusal, or nothing if the
/// command may be proposed.
std::optional<Reply> precheck(const wire::Command &Command);

/// Applies a committed command. Ledger commands and unknown operator kinds
/// yield `MalformedRequest` and change nothing.
///
/// Operator kinds and their bodies:
///  - `intent`: `{"intent": KIND, "allow_empty": bool, ...}` with KIND
///    `serve` {model, targets? | count?, replace?}, `unload` {model, targets?},
///    `drain`, `withdraw`, `return` {targets}, `shift_role` {targets, role},
///    `configure` {document}, `role_policy` {active, changes_per_hour,
///    cooldown_ms, minimum {prefill, decode}}, `replace_member` {...}.
///    Returns the plan without starting it.
///  - `confirm`: `{"plan", "digest"}` with the plan's revision as the expected
///    revision.
///  - `cancel`: `{"plan"}`: cancels at the next safe point.
///  - `config`: the document, with the revision that it replaces as the
///    expected revision.
///  - `automatic`: `{"intent": "shift_role", "targets", "role"}`: planned and
///    confirmed at once within the role policy.
Reply apply(State &Fleet, const wire::Command &Command);

/// Builds the update that brings an entry up to date from the given revisions;
/// it is full if \p FleetFrom is zero or too old.
wire::FleetUpdate updateSince(const State &Fleet, std::uint64_t FleetFrom,
                              std::uint64_t ConfigurationFrom,
                              std::uint64_t RoutesFrom);

/// Hash of the software version that began a stream of \p Service, or nothing
/// if it isn't known. The answer doesn't change until it expires: a stream with
/// records of two versions has none.
std::optional<std::uint64_t> findStreamVersion(const State &Fleet,
                                               const wire::StreamLookUp &Query);

/// Adds the records of \p Report to those of \p To. \returns false, and adds
/// nothing, if the report is malformed.
bool append(wire::StreamVersions &Batch, const wire::StreamVersions &Report);

wire::Target toWire(const Target &Target);

/// The order under way for target \p Name, or null.
const Order *orderUnderWay(const Orders &Orders, const TargetId &Name);

Json toJson(const Target &Target);
Json toJson(const Order &Order);
Json toJson(const Plan &Plan);
Json toJson(const RolePolicy &Policy);
/// Without the documents.
Json toJson(const Configuration &Configuration);
/// Routes with their services and weights; times in ms.
Json toJson(const Routes &Routes);

/// Serializes the state; equal states give equal bytes.
std::string snapshot(const State &Fleet);
Result<State> restore(std::string_view Bytes);

// --- Observations of the leader -------------------------------------------

/// State of an entry according to its last report.
struct EntryView {
  std::uint64_t m_Session = 0;
  TimePoint m_LeaseUntil; ///< Not before the expiry that the entry uses.
  std::uint64_t m_FleetRevision = 0;
  std::uint64_t m_ConfigurationRevision = 0;
  std::uint64_t m_RoutesVersion = 0;
  bool m_ReportsTargets = false;     ///< Has reported the load of a target.
  bool m_TargetsUnreachable = false; ///< It is partitioned from all targets.
  ZoneId m_Zone;                     ///< Empty if unknown.
  std::string m_ForwardAddress; ///< `ip:port`; empty if it takes no forwards.
  struct Acknowledgement {
    std::uint64_t m_Generation = 0;
    std::uint64_t m_InFlight = 0;
  };
  std::map<TargetId, Acknowledgement> m_Barriers;
};

/// What the leader knows of entries and targets from their reports. It is
/// empty at the start of a term: until `m_CompleteAt` there may be entries
/// with valid leases that have not reported to this leader, so no barrier is
/// reached before then.
struct ObservedState {
  TimePoint m_CompleteAt;
  std::map<NodeId, EntryView> m_Entries;
  struct LastSeen {
    std::string m_Incarnation;
    TimePoint m_At;
  };
  std::map<TargetId, LastSeen> m_LastSeen;
  /// Targets report to the leader directly rather than through entries.
  bool m_ReceivesTargetReports = false;
  /// Ended sessions, to be committed.
  std::vector<wire::EntryGone> m_EndedSessions;
};

/// Clears the observations at the start of a term. \p LongestLease is the
/// longest lease that any leader grants.
void startTerm(ObservedState &Observed, const State &Fleet, TimePoint Now,
               Duration LongestLease);

/// Records the report of an entry whose lease was extended to \p LeaseUntil.
/// The last report of a session ends its lease.
void recordEntryReport(ObservedState &Observed, const NodeId &Entry,
                       std::uint64_t Session, const wire::EntryReport &Report,
                       TimePoint Now, TimePoint LeaseUntil);

/// Records that a target was heard from by other means than an entry's report,
/// for example its announcement.
void recordTargetSeen(ObservedState &Observed, const TargetId &Name,
                      const std::string &Incarnation, TimePoint Now);

/// Work of entries at engines according to their latest notices. It is summed
/// here, so that an entry receives one row per engine regardless of the number
/// of entries.
struct SharedWork {
  using Row = workdigest::Row;
  using Rows = std::map<TargetId, Row>;
  struct EntryWork {
    TimePoint m_At;
    TimePoint m_ExpiryTime;
    Rows m_Rows;
    std::uint64_t m_Number = 0;   ///< Of the notice; zero if it has none.
    std::uint64_t m_Included = 0; ///< Number in the current digest.
    /// Prefixes from other entries, not yet sent to this entry; bounded. Only
    /// of an entry that reads no digests.
    std::deque<wire::KeptPrefix> m_PendingPrefixes;
  };
  std::map<NodeId, EntryWork> m_ByEntry;
  Rows m_Sums;
  TimePoint m_NextExpiry = TimePoint::max();
  std::size_t m_WithoutNumber = 0; ///< Entries that read no digests.
  workdigest::PrefixLog m_Prefixes;
  std::uint64_t m_Digest = 0; ///< Number of the current digest.
  TimePoint m_NextDigest = TimePoint::min();
  std::string m_DigestRows; ///< Encoded once for all entries.
};

/// Work that a new leader knows: none. Its digests are numbered after those of
/// the leaders before it.
SharedWork newSharedWork(std::uint64_t Term);

/// Replaces the work of \p Entry and drops the work of entries whose last
/// notice is too old.
void recordWork(SharedWork &Work, const NodeId &Entry,
                const wire::WorkNotice &Notice, TimePoint Now);

/// Returns the work of all entries except \p Entry, and removes and returns
/// the prefixes that are pending for it.
wire::OthersWork takeOthersWork(SharedWork &Work, const NodeId &Entry);

/// Answers a numbered notice. The rows are those of the last tens of ms, so
/// that the cost of an answer does not depend on the number of entries.
wire::WorkDigest workDigest(SharedWork &Work, const NodeId &Entry,
                            const wire::WorkNotice &Notice, TimePoint Now);

/// An entry that takes requests which another one can't send to targets.
struct ForwardPeer {
  NodeId m_Entry;
  std::string m_Address; ///< `ip:port`

  bool operator==(const ForwardPeer &) const = default;
};

/// Most entries that one is told of.
inline constexpr std::size_t MaxForwardPeers = 4;

/// Entries that \p Entry may forward requests to: those with a valid lease that
/// reach targets, chosen by rendezvous hashing so that the load of several
/// spreads, from every availability zone in turn and its own zone last.
std::vector<ForwardPeer> chooseForwardPeers(const ObservedState &Observed,
                                            const NodeId &Entry, TimePoint Now);

/// Removes entries whose lease has expired and adds their sessions to
/// `m_EndedSessions`.
void expireEntries(ObservedState &Observed, TimePoint Now);

/// Whether all entries with a valid lease have acknowledged the generation of
/// \p Target and have no work in flight there.
bool barrierReached(const ObservedState &Observed, const Target &Target,
                    TimePoint Now);

/// Whether all entries with a valid lease have acknowledged the generation of
/// \p Target and send it no new work. Work in flight may continue.
bool isClosedAtAllEntries(const ObservedState &Observed, const Target &Target,
                          TimePoint Now);

struct AppliedConfiguration {
  std::uint64_t m_Revision = 0;  ///< Applied by all entries with a valid lease.
  std::vector<NodeId> m_Lagging; ///< Entries at an older revision.
  /// False early in a term: `m_Revision` may be too high.
  bool m_Complete = false;
};
AppliedConfiguration appliedConfiguration(const ObservedState &Observed,
                                          const State &Fleet, TimePoint Now);

// --- Claims of self-managed targets -----------------------------------------

/// A message of a self-managed target claims an id, an address and a start. A
/// message may come from another writer, so the leader compares it with what is
/// registered before it proposes anything. What contradicts is decided by, in
/// this order: a later start after silence, the id that the process at the
/// address states, and who is heard steadily while the other is silent. All of
/// this is memory of the leader; the state gets ordinary announcements.

/// Largest lead of a target's clock that is believed without question.
inline constexpr std::chrono::seconds MaxClockLead{60};
/// Largest step between two sequence numbers of a process.
inline constexpr std::uint64_t MaxSequenceStep = 1U << 20U;
/// A registered process that has been silent for this long yields to a later
/// start. Several times the interval of messages.
inline constexpr std::chrono::seconds SilenceOfEnded{2};
/// Messages, and the time between the first and the last of them, after which a
/// claimant is heard steadily. A process sends several in this time, and those
/// that were delayed arrive in a shorter one.
inline constexpr std::uint32_t SteadyClaimMessages = 3;
inline constexpr std::chrono::seconds SteadyClaimTime{2};
/// A longer pause ends a series of messages.
inline constexpr std::chrono::seconds ClaimPause{5};
inline constexpr std::size_t MaxClaimRecords = 8'192;
inline constexpr std::size_t MaxAddressAnswers = 1'024;
/// Longer than a message may be delayed.
inline constexpr std::chrono::seconds ClaimRetention{60};
inline constexpr std::chrono::seconds AddressAnswerValidity{2};

struct Claim {
  /// As announced; its incarnation is that of the process.
  wire::Target m_Target;
  std::uint64_t m_Sequence = 0; ///< Rises with each message of a process.
  bool m_Leaving = false;
};

struct ClaimKey {
  TargetId m_Target;
  std::string m_Incarnation;
  std::string m_Address; ///< `ip:port`

  bool operator==(const ClaimKey &) const = default;
  bool operator<(const ClaimKey &Other) const {
    return std::tie(m_Target, m_Incarnation, m_Address) <
           std::tie(Other.m_Target, Other.m_Incarnation, Other.m_Address);
  }
};

/// Messages with rising sequence numbers.
struct ClaimSeries {
  TimePoint m_Since;
  TimePoint m_Newest;
  std::uint64_t m_Sequence = 0;
  std::uint32_t m_Count = 0;
};

struct ClaimRecord {
  TimePoint m_HeardAt;
  ClaimSeries m_Believed;
  /// Messages that are late or leap. Once they are steady and the others are
  /// silent, they are the ones to believe.
  ClaimSeries m_Other;
  /// The part of `m_Believed` since a contradicting target was last heard.
  ClaimSeries m_Unopposed;
  /// Messages that say `ready`, after one that said `leaving`.
  std::optional<ClaimSeries> m_Leave;
  std::string m_AskedAddress;
  TimePoint m_NextAsk;
  Duration m_AskInterval{0};
  bool m_IsDenied = false; ///< By the newest answer of the address.
};

/// What the process at an address states of itself.
struct AddressAnswer {
  TargetId m_Target;        ///< Empty: no readable answer.
  bool m_IsServing = false; ///< It is healthy and does not leave.
  TimePoint m_At;
};

struct ClaimRecords {
  std::map<ClaimKey, ClaimRecord> m_ByKey;
  std::map<std::string, AddressAnswer> m_Answers;
};

enum class ClaimOrder : std::uint8_t { InOrder, Late, Leaping };

struct HeardClaim {
  Claim m_Message;
  ClaimOrder m_Order = ClaimOrder::InOrder;
};

/// Nothing to change.
struct AcknowledgeClaim {};
/// Propose this announcement.
struct AnnounceClaim {
  wire::Target m_Target;
};
/// Acknowledge once no entry sends these new work.
struct LeaveTargets {
  std::vector<TargetId> m_Targets;
};
/// Ask the process at this address for its id, record the answer and decide
/// again.
struct AskAddress {
  std::string m_Address;
};
enum class ClaimRefusal : std::uint8_t {
  ImplausibleStart, ///< It lies in the future.
  LeapingSequence,
  Denied,    ///< The process at the address has another id.
  Undecided, ///< Another claim is registered and not refuted.
};
struct RefuseClaim {
  ClaimRefusal m_Reason = ClaimRefusal::Undecided;
  std::string m_Message;
};
using ClaimVerdict = std::variant<AcknowledgeClaim, AnnounceClaim, LeaveTargets,
                                  AskAddress, RefuseClaim>;

/// Records a message; to be called once for each.
HeardClaim hearClaim(ClaimRecords &Records, const Claim &Message,
                     TimePoint Now);

/// Decides on a message. \p TimeOfDay is the leader's, since the Unix epoch.
/// It may be called again for the same message after an answer was recorded.
ClaimVerdict decideClaim(ClaimRecords &Records, const State &Fleet,
                         ObservedState &Observed, const HeardClaim &Heard,
                         TimePoint Now, std::chrono::milliseconds TimeOfDay);

void recordAnswer(ClaimRecords &Records, const std::string &Address,
                  AddressAnswer Answer);

/// What to commit, in this order, so that a target gets no new work until a
/// later process of it registers; empty if that holds. A lost target is
/// announced once more before it leaves: a leave of a lost one leaves no trace
/// in the state, and a late announcement would bring it back.
std::vector<wire::Command> leaveCommands(const State &Fleet,
                                         const Target &Leaving);

/// The target has said by other means that it leaves, which is final.
void forgetLeave(ClaimRecords &Records, const TargetId &Target);

/// Removes what has expired.
void expireClaims(ClaimRecords &Records, ObservedState &Observed,
                  const State &Fleet, TimePoint Now);

// --- Actions of the leader ------------------------------------------------

struct ActionSettings {
  std::uint64_t m_Term = 0; ///< Term of the leader.
  /// A target is lost after this time without a report. Not applied while
  /// no target reports arrive.
  Duration m_LostAfter = std::chrono::seconds(5);
};

/// Propose a command. Equal proposals have equal keys, so that a command is
/// not proposed again while it waits to be committed.
struct Propose {
  std::string m_Key;
  wire::Command m_Command;
};
/// Execute an order: read the target's state, then send, finish or supersede
/// the order.
struct ExecuteOrder {
  OrderId m_Order;
};
/// Execute a step that changes the membership of control.
struct ExecuteMembershipStep {
  PlanId m_Plan;
  std::uint32_t m_Step = 0;
};
using Action = std::variant<Propose, ExecuteOrder, ExecuteMembershipStep>;

/// The next actions in a deterministic order. Without a change of state,
/// another call returns the same actions.
std::vector<Action> dueActions(const State &Fleet,
                               const ObservedState &Observed, TimePoint Now,
                               const ActionSettings &Settings);

/// Takes out of service what an entry reports as leaving: all entries then know
/// before the target tells control itself.
std::vector<Propose> proposeLeaves(const State &Fleet,
                                   const wire::EntryReport &Report);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_FLEET_H
