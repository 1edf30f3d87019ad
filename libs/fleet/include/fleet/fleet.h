/// \file
/// Replicated state of the fleet: targets, orders to them, plans, the standing
/// role policy, configuration revisions and the table of answered operator
/// calls.
///
/// `apply` is the deterministic step: equal commands in equal order give equal
/// states and equal snapshots on every control member. It does no I/O and
/// reads no clock. `due` tells the leader what to do next; it reads the state
/// and `Barriers`, which is the leader's memory of what entries reported and is
/// not replicated.
///
/// Rules that always hold (asserted, in release builds too):
///  - an engine has at most one order under way, and fences of orders rise
///    strictly;
///  - no order that stops work is issued before the drain barrier of the
///    target's generation;
///  - the configuration revision never falls.

#ifndef WASABIVALE_FLEET_FLEET_H
#define WASABIVALE_FLEET_FLEET_H

#include "base/base.h"
#include "logtime/logtime.h"
#include "retries/retries.h"
#include "wire.pb.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace wasabivale::fleet {

using Json = nlohmann::json;

struct OrderTag;
struct PlanTag;
using OrderId = Id<OrderTag>;
using PlanId = Id<PlanTag>;

// --- Limits of the state --------------------------------------------------

/// Former incarnations remembered for each target; they may not come back.
inline constexpr std::size_t PastIncarnationsKept = 8;
/// Orders that have ended, kept for operators.
inline constexpr std::size_t EndedOrdersKept = 512;
/// Plans that have ended or can no longer be confirmed, kept for operators.
inline constexpr std::size_t EndedPlansKept = 128;
/// Configuration revisions of which the document is kept.
inline constexpr std::size_t DocumentsKept = 8;
/// Configuration revisions of which author, digest and time are kept.
inline constexpr std::size_t RevisionsKept = 256;
/// Operator calls whose answers are kept, and for how long. A resend that
/// comes later, or after this many other calls, counts as a new call.
inline constexpr std::size_t AnswersKept = 8'192;
inline constexpr std::chrono::hours AnswersKeptFor{24};
/// A target that has been lost or withdrawn for so long may be forgotten.
inline constexpr std::chrono::hours TargetsKeptFor{24 * 7};
/// The same for one that manages itself: long enough for its late messages.
inline constexpr std::chrono::seconds SelfManagedKeptFor{60};
/// Names of removed targets kept for updates from an older revision.
inline constexpr std::size_t RemovedTargetsKept = 256;

// --- Targets --------------------------------------------------------------

enum class TargetState : std::uint8_t {
  Announced, ///< Known; an order must first restore its wanted state.
  Serving,   ///< Gets new work.
  Draining,  ///< Gets no new work; stays.
  Leaving,   ///< Gets no new work; will be withdrawn.
  Withdrawn, ///< Out of the fleet by an order.
  Lost,      ///< Stopped reporting.
};

/// Wire name in lower_snake_case.
std::string_view targetStateName(TargetState Value);

/// The state in which a target shall be. Orders name the whole of it.
struct Wanted {
  std::string m_Role; ///< mixed | prefill | decode; empty for a service.
  std::set<std::string> m_Models;
  bool m_Draining = false;
  bool m_Withdrawn = false;

  bool operator==(const Wanted &) const = default;
};

/// An engine or a plain service.
///
/// A start of its process is an incarnation. A new incarnation takes the place
/// of the former one, which may not come back. The generation rises with each
/// incarnation and each drain; entries acknowledge generations.
struct Target {
  TargetId m_Id;
  std::string m_Incarnation;
  std::string m_Address; ///< `ip:port`.
  bool m_IsEngine = true;
  RegionId m_Region;
  ZoneId m_Zone;
  std::string m_Role;
  std::set<std::string> m_Models; ///< Of a service: its service names.
  bool m_ChecksFence = false;
  std::uint64_t m_KvBlocks = 0;
  std::uint32_t m_MaxRunning = 0;
  double m_PrefillTokensPerSecond = 0;
  double m_DecodeTokensPerSecond = 0;
  /// Start of its process by its own clock; zero: not told. At one address the
  /// later start takes the place of the earlier one.
  std::uint64_t m_StartedMs = 0;
  /// It starts and leaves by itself; the only order it takes is for its role.
  bool m_SelfManaged = false;
  bool m_Held = false; ///< Out of service while its role changes.

  TargetState m_State = TargetState::Announced;
  LogTime m_StateSince;
  std::uint64_t m_Generation = 0;
  std::uint64_t m_BarrierReached = 0; ///< Newest generation with its barrier.
  std::uint64_t m_Changed = 0;        ///< Fleet revision of the last change.
  /// Set by orders that were done; outlives the incarnation.
  std::optional<Wanted> m_Wanted;
  bool m_LeavingByItself = false;
  PlanId m_ClaimedBy; ///< Running plan that has a step for it; empty if none.
  std::deque<std::string> m_PastIncarnations;
};

struct Targets {
  std::uint64_t m_Revision = 0; ///< Rises with each change entries must see.
  std::map<TargetId, Target> m_ById;
  std::map<TargetId, std::uint64_t> m_Removed; ///< With revision of removal.
  std::uint64_t m_OldestDelta = 0; ///< Updates from before this are whole.
  /// How often a target was held for a change of its role. No order for a role
  /// was ever given while this is zero.
  std::uint64_t m_Holds = 0;
};

// --- Orders ---------------------------------------------------------------

/// Authority of an order: orders with a lower fence have no effect.
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
  Pending,    ///< Committed; perhaps not sent yet.
  Sent,       ///< The target took it.
  Done,       ///< The target is in the wanted state.
  Failed,     ///< The target could not reach it.
  Superseded, ///< Another order, with a higher fence, takes its place.
};

std::string_view orderPhaseName(OrderPhase Value);

struct Order {
  OrderId m_Id;
  TargetId m_Target;
  std::string m_Incarnation;
  Fence m_Fence;
  Wanted m_Want;
  OrderPhase m_Phase = OrderPhase::Pending;
  PlanId m_Plan; ///< Empty: brings a target back to its wanted state.
  std::uint32_t m_Step = 0;
  std::string m_Message;
  LogTime m_Issued;
  LogTime m_SentAt;
  bool m_Loads = false;   ///< Reads from the weight store.
  bool m_Drained = false; ///< The target must run nothing when it is sent.

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
  Barrier, ///< Its target gets no new work; entries have yet to acknowledge.
  Ready,   ///< Its order may be issued.
  Ordered, ///< Its order is under way, or the membership change.
  Done,
  Failed,
  Cancelled,
};

std::string_view stepPhaseName(StepPhase Value);

/// What serves a model or service while a step runs.
struct Capacity {
  std::string m_Name;
  std::uint32_t m_Targets = 0;
  std::uint32_t m_Running = 0; ///< Requests at once.

  bool operator==(const Capacity &) const = default;
};

struct Step {
  StepKind m_Kind = StepKind::Order;
  TargetId m_Target;
  Wanted m_Want;
  std::uint32_t m_Stage = 0; ///< Steps of one stage may run side by side.
  bool m_Barrier = false;    ///< The target stops serving for it.
  std::string m_Document;    ///< JSON of a step that is not an order.
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
  std::uint64_t m_Revision = 0; ///< Revision of intents it was made on.
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
  /// Rises with each confirmed plan. A plan made on an older revision can no
  /// longer be confirmed.
  std::uint64_t m_Revision = 0;
  std::uint64_t m_Next = 1;
  std::string m_LastWinner; ///< Who raised the revision last.
  std::map<PlanId, Plan> m_ById;
  std::deque<PlanId> m_InOrder; ///< Oldest first.
};

// --- Standing role policy -------------------------------------------------

/// Bounds within which roles are shifted without an operator.
struct RolePolicy {
  bool m_Active = false;
  PlanId m_Plan; ///< By which an operator confirmed it.
  std::uint32_t m_ChangesPerHour = 0;
  std::chrono::nanoseconds m_Cooldown{0}; ///< Between two changes.
  std::uint32_t m_MinimumPrefill = 0; ///< Engines able to prefill, each model.
  std::uint32_t m_MinimumDecode = 0;
  std::deque<LogTime> m_Changes; ///< Automatic ones of the last hour.
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
  std::uint64_t m_Revision = 0;                ///< Accepted; zero: none yet.
  std::deque<ConfigurationRevision> m_History; ///< Oldest first.
  std::uint32_t m_LoadsAtOnce = 1;             ///< From the newest document.
};

/// JSON schema (draft 7) of the configuration document.
const Json &configurationSchema();

/// Checks a document against the schema and the rules that a schema cannot
/// say (identities are unique, defaults are within maxima).
/// \returns every problem, one a line; empty when valid.
std::string checkConfiguration(const std::string &Document);

/// The newest accepted document; empty before the first.
std::string_view currentDocument(const Configuration &In);

// --- Routes -----------------------------------------------------------------

/// The accepted routes; the highest version wins.
struct Routes {
  wire::RouteTable m_Table; ///< Version zero: none yet.
  std::string m_Source;     ///< As the operator sent them.
};

// --- Answered operator calls ----------------------------------------------

/// Answer to a command.
struct Reply {
  std::optional<Refusal> m_Refusal;
  std::string m_Message;
  std::string m_Result; ///< JSON for operators; may be empty.

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

/// The first answer to this call; a refusal when the id was used for another
/// call; nothing when the call is new. Expired answers are dropped.
std::optional<Reply> findAnswer(RequestTable &In, const wire::Command &Call,
                                LogTime Now);
void rememberAnswer(RequestTable &In, const wire::Command &Call,
                    const Reply &Given, LogTime Now);

// --- The state and its step -----------------------------------------------

struct State {
  LogTime m_Now; ///< Log time of the newest command.
  Targets m_Targets;
  Orders m_Orders;
  Plans m_Plans;
  RolePolicy m_Policy;
  Configuration m_Configuration;
  Routes m_Routes;
  RequestTable m_Requests;
  retries::SuspectTable m_Suspicion; ///< Its times are log times.
};

/// A log time as `retries::SuspectTable` takes it.
inline TimePoint suspicionTime(LogTime Time) {
  return TimePoint(Time.time_since_epoch());
}

/// Checks that the leader makes before it proposes \p Command and that are no
/// part of the replicated step, so that members of two versions cannot come to
/// different verdicts: the configuration schema. \returns the refusal, or
/// nothing when the command may be proposed.
std::optional<Reply> precheck(const wire::Command &Command);

/// Applies a committed command. Commands of the ledger and operator kinds that
/// are not of the fleet yield `MalformedRequest` and change nothing.
///
/// Operator kinds and their bodies:
///  - `intent`: `{"intent": KIND, "allow_empty": bool, ...}` with KIND
///    `serve` {model, targets? | count?, replace?}, `unload` {model, targets?},
///    `drain`, `withdraw`, `return` {targets}, `shift_role` {targets, role},
///    `configure` {document}, `role_policy` {active, changes_per_hour,
///    cooldown_ms, minimum {prefill, decode}}, `replace_member` {...}.
///    Yields the plan. Nothing changes yet.
///  - `confirm`: `{"plan", "digest"}` with the plan's revision as the expected
///    revision.
///  - `cancel`: `{"plan"}`: stops at the next safe point.
///  - `config`: the document, with the revision that it replaces as the
///    expected revision.
///  - `automatic`: `{"intent": "shift_role", "targets", "role"}`: planned and
///    confirmed at once within the standing role policy.
Reply apply(State &On, const wire::Command &Command);

/// What entries must know that changed since the given revisions; the whole
/// state when \p FleetFrom is zero or too old.
wire::FleetUpdate updateSince(const State &From, std::uint64_t FleetFrom,
                              std::uint64_t ConfigurationFrom,
                              std::uint64_t RoutesFrom);

wire::Target describe(const Target &From);

/// The order under way for \p Name, or null.
const Order *underWay(const Orders &In, const TargetId &Name);

Json view(const Target &From);
Json view(const Order &From);
Json view(const Plan &From);
Json view(const RolePolicy &From);
/// Without the documents.
Json view(const Configuration &From);
/// Each route with where it leads; times in ms.
Json view(const Routes &From);

/// Whole state as bytes; equal states give equal bytes.
std::string snapshot(const State &From);
Result<State> restore(std::string_view Bytes);

// --- What the leader has heard --------------------------------------------

/// One entry, as its last report showed it.
struct EntryView {
  std::uint64_t m_Session = 0;
  TimePoint m_LeaseUntil; ///< At or after the end the entry itself counts to.
  std::uint64_t m_FleetRevision = 0;
  std::uint64_t m_ConfigurationRevision = 0;
  std::uint64_t m_RoutesVersion = 0;
  bool m_ReportsTargets = false; ///< Has relayed a target's load.
  struct Acknowledged {
    std::uint64_t m_Generation = 0;
    std::uint64_t m_InFlight = 0;
  };
  std::map<TargetId, Acknowledged> m_Barriers;
};

/// The leader's memory of entries and targets. Empty at the start of a term:
/// until `m_CompleteAt` there may be entries with live leases that this leader
/// has not heard of, so no barrier counts as reached before.
struct Barriers {
  TimePoint m_CompleteAt;
  std::map<NodeId, EntryView> m_Entries;
  struct Seen {
    std::string m_Incarnation;
    TimePoint m_At;
  };
  std::map<TargetId, Seen> m_Seen;
  /// Targets report to the leader itself, not by way of entries.
  bool m_HearsTargets = false;
  std::vector<wire::EntryGone> m_Gone; ///< Ended sessions, to be committed.
};

/// Forgets everything at the start of a term. \p LongestLease is the longest
/// that any leader grants.
void startTerm(Barriers &On, const State &Known, TimePoint Now,
               Duration LongestLease);

/// Takes an entry's report, whose lease was extended to \p LeaseUntil.
void takeReport(Barriers &On, const NodeId &Entry, std::uint64_t Session,
                const wire::EntryReport &Report, TimePoint Now,
                TimePoint LeaseUntil);

/// A target was heard of in another way than by a report, for example by its
/// announcement.
void targetSeen(Barriers &On, const TargetId &Name,
                const std::string &Incarnation, TimePoint Now);

/// Work of entries at engines, as they last told: summed here, so that each
/// entry hears one row an engine however many entries there are.
struct SharedWork {
  struct Row {
    std::uint32_t m_Requests = 0;
    /// Prompt tokens that are not yet read, the most urgent first.
    std::vector<std::uint64_t> m_PromptTokens;
  };
  using Rows = std::map<TargetId, Row>;
  struct Told {
    TimePoint m_At;
    Rows m_Rows;
    /// What others have told since and this entry has not heard yet; bounded.
    std::deque<wire::KeptPrefix> m_News;
  };
  std::map<NodeId, Told> m_ByEntry;
  Rows m_Sums;
};

/// Replaces what \p Entry had told before, and forgets what other entries told
/// too long ago to be still true.
void takeWork(SharedWork &On, const NodeId &Entry,
              const wire::WorkNotice &Notice, TimePoint Now);

/// What all entries but \p Entry have at engines, and what they have told since
/// it was asked for last.
wire::OthersWork takeWorkBeside(SharedWork &On, const NodeId &Entry);

/// Drops entries whose lease has run out; their sessions join `m_Gone`.
void expireEntries(Barriers &On, TimePoint Now);

/// Whether no entry sends new work to \p About's generation and none has any
/// in flight there, as far as live leases tell.
bool barrierReached(const Barriers &In, const Target &About, TimePoint Now);

/// Whether no entry with a live lease sends new work to \p About's generation.
/// What is in flight there may go on.
bool isClosedEverywhere(const Barriers &In, const Target &About, TimePoint Now);

struct InForce {
  std::uint64_t m_Revision = 0;  ///< Applied by every entry that may serve.
  std::vector<NodeId> m_Lagging; ///< Live entries below the accepted one.
  bool m_Complete = false;       ///< False early in a term: may be too high.
};
InForce inForce(const Barriers &In, const State &Known, TimePoint Now);

// --- What the leader must do ----------------------------------------------

struct DueSettings {
  std::uint64_t m_Term = 0; ///< The leader's.
  /// A target that nobody has heard of for this long is lost. Silence of the
  /// entries themselves says nothing about targets.
  Duration m_LostAfter = std::chrono::seconds(5);
};

/// Propose this command. `m_Key` is equal for equal proposals, so that one is
/// not proposed twice while it waits to be committed.
struct Propose {
  std::string m_Key;
  wire::Command m_Command;
};
/// Carry out an order: look at the target's state, then send, finish or
/// supersede.
struct CarryOutOrder {
  OrderId m_Order;
};
/// Carry out a step that changes the membership of control.
struct CarryOutMember {
  PlanId m_Plan;
  std::uint32_t m_Step = 0;
};
using Action = std::variant<Propose, CarryOutOrder, CarryOutMember>;

/// Next actions in a fixed order. Calling it again without a change repeats
/// them.
std::vector<Action> due(const State &Known, const Barriers &Heard,
                        TimePoint Now, const DueSettings &Settings);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_FLEET_H
