/// \file
/// Raft as pure state transitions over a plain struct: `step` takes the state,
/// one event, the time and a random number generator, and returns the actions
/// to perform.
///
/// **Order of actions.** The driver makes `m_Persist` durable before it
/// performs any other action of the same `Actions`: installing, applying,
/// answering or sending. Several steps may share one sync if all of their other
/// actions wait for it. A process whose disk fails discards the actions and
/// exits. Every message, acknowledgement and own match index therefore refers
/// to data that is already on disk.
///
/// **Identity.** A voter is a member id together with the incarnation of its
/// disk. A reply from another incarnation of a member is never counted, and a
/// request addressed to another incarnation of the receiver is rejected.
///
/// **Lease.** A leader holds its lease until `Timing::m_Lease` after the send
/// time of the newest heartbeat round that a quorum of voters has echoed. A
/// voter that has heard from a leader, or has just started, grants no vote for
/// `Timing::m_ElectionMin`; `checkTiming` requires the lease to be shorter by
/// the bound on clock drift. A leader that has asked a peer to take over has
/// released its lease for the rest of its term.

#ifndef WASABIVALE_CONSENSUS_CONSENSUS_H
#define WASABIVALE_CONSENSUS_CONSENSUS_H

#include "base/base.h"
#include "wire.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wasabivale::consensus {

using Index = std::uint64_t; ///< Position in the log; the first is 1.
using Term = std::uint64_t;  ///< The first membership has term 1.

/// Largest assumed deviation of a member's clock rate, in parts per thousand.
inline constexpr int ClockDriftPerMille = 10;

// --- Membership -----------------------------------------------------------

struct Member {
  NodeId m_Id;
  std::string m_Incarnation; ///< Identity of its disk.
  bool m_Voter = false;
  std::string m_Address; ///< For operators; `ip:port`.
  RegionId m_Region;
  ZoneId m_Zone;

  bool operator==(const Member &) const = default;
};

/// Members in the order of their ids.
struct Membership {
  std::vector<Member> m_Members;

  bool operator==(const Membership &) const = default;
};

/// \returns the member with \p Id, or null. Valid until \p Members changes.
const Member *findMember(const Membership &Members, const NodeId &Id);
std::size_t voterCount(const Membership &Members);
/// Smallest number of voters such that any two quorums overlap.
std::size_t quorumSize(const Membership &Members);

std::string encodeMembership(const Membership &Value);
Result<Membership> decodeMembership(const std::string &Bytes);

/// Adds a non-voting member. The leader promotes it on its own once it has
/// caught up.
struct AddLearner {
  Member m_Member;
};
/// Replaces the disk of a voter or learner: the old incarnation loses its vote,
/// and the new one is a learner until it has caught up.
struct ReplaceMember {
  NodeId m_Id;
  std::string m_Incarnation;
};
struct PromoteMember {
  NodeId m_Id;
};
struct RemoveMember {
  NodeId m_Id;
};
using MembershipChange =
    std::variant<AddLearner, ReplaceMember, PromoteMember, RemoveMember>;

// --- Log ------------------------------------------------------------------

enum class RecordKind : std::uint8_t { Empty = 0, Command = 1, Membership = 2 };

struct Record {
  Index m_Index = 0;
  Term m_Term = 0;
  RecordKind m_Kind = RecordKind::Empty;
  std::string m_Payload;

  bool operator==(const Record &) const = default;
};

/// State of the state machine up to and including a log index.
struct Snapshot {
  Index m_Index = 0;
  Term m_Term = 0;
  Membership m_Membership;
  std::string m_Data;
};

/// Term and vote of a member, which have to survive a restart.
struct HardState {
  Term m_Term = 0;
  NodeId m_VotedFor;

  bool operator==(const HardState &) const = default;
};

/// State read from disk at startup. Records are contiguous. They may start
/// before the end of the snapshot, but at most one index after it.
struct PersistedState {
  HardState m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot; ///< Null: none yet.
  std::vector<Record> m_Records;
};

/// \returns the first log record of every member that forms the cluster.
Record firstRecord(const Membership &Initial);

// --- Messages -------------------------------------------------------------

/// Asks for a vote. A pre-vote only asks whether a vote would be granted in the
/// term after the sender's current one.
struct VoteRequest {
  bool m_PreVote = false;
  Index m_LastIndex = 0;
  Term m_LastTerm = 0;
  bool m_Transfer = false; ///< Requested by the previous term's leader.
};
struct VoteReply {
  bool m_PreVote = false;
  bool m_Granted = false;
};
struct AppendRequest {
  Index m_PreviousIndex = 0;
  Term m_PreviousTerm = 0;
  Index m_CommitIndex = 0;
  std::uint64_t m_Round = 0;
  std::vector<Record> m_Records;
};
struct AppendReply {
  bool m_Accepted = false;
  Index m_MatchIndex = 0; ///< If rejected: the index to try next.
  std::uint64_t m_Round = 0;
};
struct SnapshotPart {
  Index m_LastIndex = 0;
  Term m_LastTerm = 0;
  std::uint64_t m_Offset = 0; ///< In bytes.
  std::string m_Data;
  bool m_Last = false;
  Membership m_Membership;
  std::uint64_t m_Round = 0;
};
struct SnapshotReply {
  Index m_LastIndex = 0;
  std::uint64_t m_NextOffset = 0;
  bool m_Installed = false;
  std::uint64_t m_Round = 0;
};
struct TransferRequest {};

using Body = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                          SnapshotPart, SnapshotReply, TransferRequest>;

struct Message {
  NodeId m_From;
  std::string m_FromIncarnation;
  NodeId m_To;
  std::string m_ToIncarnation; ///< Empty in replies.
  Term m_Term = 0;
  Body m_Body;
};

wire::ConsensusMessage toWire(const Message &Value);
/// \returns an error if the body is malformed or of an unknown kind.
Result<Message> fromWire(const NodeId &Sender, const NodeId &Receiver,
                         const wire::ConsensusMessage &Value);

// --- State ----------------------------------------------------------------

struct Timing {
  Duration m_Heartbeat = std::chrono::milliseconds(200);
  Duration m_ElectionMin = std::chrono::milliseconds(800);
  Duration m_ElectionMax = std::chrono::milliseconds(1600);
  Duration m_Lease = std::chrono::milliseconds(600);
};

/// \returns an error unless the heartbeat is shorter than the lease, and the
/// lease, measured by a slow clock, ends before the shortest election timeout,
/// measured by a fast clock.
Status checkTiming(const Timing &Value);

struct Limits {
  std::size_t m_MessageBytes = 1U << 20U; ///< Payloads in one message.
  std::size_t m_MessageRecords = 4096;
  std::size_t m_SnapshotPartBytes = 256U << 10U;
  std::size_t m_UncommittedRecords = 16384; ///< Further proposals are rejected.
  std::size_t m_PayloadBytes = 4U << 20U;   ///< Larger proposals are rejected.
  /// Records kept before the end of a snapshot for lagging members, unless
  /// `m_TrailingBytes` is reached first.
  Index m_TrailingRecords = 4096;
  std::size_t m_TrailingBytes = 16U << 20U;
  Index m_CaughtUpLag = 64; ///< Largest lag, in records, for promotion.
};

struct Options {
  NodeId m_Self;
  std::string m_Incarnation;
  Timing m_Timing;
  Limits m_Limits;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Replication progress of one member, as tracked by the leader.
struct Progress {
  std::string m_Incarnation;
  Index m_Next = 1;
  Index m_Match = 0;
  std::uint64_t m_MatchRound = 0; ///< Round in which `m_Match` last rose.
  bool m_InFlight = false;        ///< Records or a snapshot part await a reply.
  std::uint64_t m_SentRound = 0;
  Index m_SentLast = 0; ///< Last record in flight; zero for a snapshot part.
  std::uint64_t m_SnapshotOffset = 0;
  Index m_SnapshotIndex = 0; ///< Snapshot being sent; zero if none.
  TimePoint m_EchoedSentAt;  ///< Send time of the newest echoed round.
  bool m_Echoed = false;
  TimePoint m_HeardAt;     ///< Time of the last reply.
  bool m_LostData = false; ///< It no longer has records it acknowledged.
};

/// A snapshot being received in parts.
struct IncomingSnapshot {
  Index m_Index = 0;
  Term m_Term = 0;
  std::string m_Data;
};

struct SentRound {
  std::uint64_t m_Round = 0;
  TimePoint m_SentAt;
};

/// Complete state of a member. Created by `start` and modified by `step` only;
/// any code may read it.
struct State {
  Options m_Options;
  HardState m_HardState;
  Role m_Role = Role::Follower;
  NodeId m_Leader; ///< Leader of this term; empty if unknown.

  std::deque<Record> m_Records; ///< Records after `m_BaseIndex`.
  Index m_BaseIndex = 0;
  Term m_BaseTerm = 0;
  std::shared_ptr<const Snapshot> m_Snapshot;
  Membership m_Membership; ///< Newest in the log, committed or not.
  Index m_MembershipIndex = 0;
  Index m_CommitIndex = 0;
  Index m_AppliedIndex = 0;
  IncomingSnapshot m_IncomingSnapshot;

  /// When a follower or candidate starts the next campaign.
  TimePoint m_ElectionDeadline;
  TimePoint m_NoVoteBefore; ///< Votes are refused until then.
  std::set<NodeId> m_Votes; ///< Members that granted their vote.

  std::map<NodeId, Progress> m_Progress; ///< Empty unless leader.
  std::uint64_t m_Round = 0;
  std::deque<SentRound> m_SentRounds;
  TimePoint m_NextHeartbeatAt;
  TimePoint m_LeaderSince;
  Index m_TermStart = 0; ///< First record of the leader's term.
  NodeId m_TransferTo;   ///< Empty unless leadership is being transferred.
  TimePoint m_TransferDeadline;
  bool m_LeaseReleased = false;
  std::map<Index, std::uint64_t> m_PendingTokens; ///< Undecided proposals.

  /// Incarnations that members replied with and the membership does not list.
  std::map<NodeId, std::string> m_UnknownIncarnations;
};

// --- Events ---------------------------------------------------------------

/// Advances timers. Required at least four times per heartbeat interval.
struct Tick {};

struct Receive {
  Message m_Message;
};

/// \p m_Token is chosen by the proposer and returned in the `Decision`.
struct Proposal {
  std::uint64_t m_Token = 0;
  std::string m_Payload;
};

/// A batch of proposals that share one write and one message per member.
struct Propose {
  std::vector<Proposal> m_Proposals;
};

/// Serialized state machine after applying the record at \p m_Index.
struct SnapshotTaken {
  Index m_Index = 0;
  std::string m_Data;
};

struct ChangeMembership {
  std::uint64_t m_Token = 0;
  MembershipChange m_Change;
};

/// Transfers leadership before a planned stop. An empty id selects the voter
/// with the most complete log.
struct TransferLeadership {
  NodeId m_To;
};

using Event = std::variant<Tick, Receive, Propose, SnapshotTaken,
                           ChangeMembership, TransferLeadership>;

// --- Actions --------------------------------------------------------------

/// Writes that must be durable before any other action, in member order.
struct Persist {
  std::optional<HardState> m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot;
  bool m_DropLog = false;   ///< The snapshot replaces all records.
  Index m_CompactTo = 0;    ///< Last record that may be removed.
  Index m_TruncateFrom = 0; ///< First record to remove; zero: none.
  std::vector<Record> m_Records;

  [[nodiscard]] bool empty() const {
    return !m_HardState && !m_Snapshot && m_CompactTo == 0 &&
           m_TruncateFrom == 0 && m_Records.empty();
  }
};

/// Outcome of a proposal.
enum class Verdict : std::uint8_t {
  Committed,        ///< Permanently in the log.
  NotLeader,        ///< Rejected; in no log.
  Transferring,     ///< Rejected: leadership is being transferred.
  Busy,             ///< Rejected: too many uncommitted records.
  TooLarge,         ///< Rejected: the payload exceeds `Limits`.
  ChangeUnderWay,   ///< Rejected: another membership change is uncommitted.
  ChangeNotAllowed, ///< Rejected: no such member, not caught up, last voter.
  Lost,             ///< Leadership was lost: it may or may not be committed.
};

/// \returns the lower_snake_case name for metrics and logs.
std::string_view verdictName(Verdict Value);

struct Decision {
  std::uint64_t m_Token = 0;
  Verdict m_Verdict = Verdict::Lost;
  Index m_Index = 0; ///< Log index if committed.
};

enum class Leadership : std::uint8_t { Gained, Lost };

struct Actions {
  Persist m_Persist;
  std::shared_ptr<const Snapshot> m_Install; ///< Precedes `m_Committed`.
  std::vector<Record> m_Committed;           ///< To be applied, in order.
  std::vector<Decision> m_Decisions;
  std::vector<Leadership> m_Leadership; ///< Changes in order.
  std::vector<Message> m_Messages;
};

// --- Steps ----------------------------------------------------------------

/// \returns the initial state of a member after a restart. It grants no vote
/// for the shortest election timeout, since it may have heard from a leader
/// just before the restart. \pre `checkTiming` succeeds and the records of \p
/// Stored are in order.
State start(Options Settings, PersistedState Stored, TimePoint Now,
            Random &Rng);

Actions step(State &Self, const Event &Input, TimePoint Now, Random &Rng);

/// \returns whether no other member can be leader at \p Now and every record
/// committed before this term has been applied here. Operations that require
/// leadership check this in the same iteration of the event loop. The lease
/// also expires while the process is paused, since \p Now advances.
bool holdsLease(const State &Self, TimePoint Now);

/// \returns when the lease ends unless renewed; the epoch if there is none.
TimePoint leaseEnd(const State &Self, TimePoint Now);

Index lastIndex(const State &Self);
Term lastTerm(const State &Self);

/// Faults that a test build can enable, to verify that the checks detect them.
enum class Mutation : std::uint8_t {
  None,
  VoteWithoutPersisting,
  CountUnknownIncarnation,
  CommitEarlierTerm,
  VoteDuringLease,
  LeaseFromReceiveTime,
  CountLearner,
  KeepConflict,
  AcknowledgeWithoutPersisting,
  KeepLeaseInTransfer,
  VoteForShorterLog,
};

#if WASABIVALE_MUTATIONS
/// Thrown instead of aborting the process, so that a test can catch it.
struct InvariantViolation {
  std::string m_Condition;
};
void setMutation(Mutation Value);
#endif

} // namespace wasabivale::consensus

#endif // WASABIVALE_CONSENSUS_CONSENSUS_H
