/// \file
/// Raft as pure steps over a plain struct: `step` takes the state, one event,
/// the time and a source of randomness, and returns what is to be done.
///
/// **Order of actions.** Whoever runs the steps first makes `m_Persist`
/// durable, and only then does anything else that the same `Actions` names:
/// installs, applies, answers, sends. Several steps may share one sync if all
/// of their other actions wait for it. A process whose disk fails discards the
/// actions and ends. So every message, acknowledgement and own match is a
/// promise that the disk already holds.
///
/// **Identity.** A voter is a member id together with the incarnation of its
/// disk. A reply from another incarnation of a member is never counted, and a
/// request that names another incarnation of the receiver is not obeyed.
///
/// **Lease.** A leader holds its lease until `Timing::m_Lease` after the send
/// time of the newest round that a quorum of voters has echoed. A voter that
/// has heard from a leader, or has just started, grants no vote for
/// `Timing::m_ElectionMin`; `checkTiming` demands that the lease is shorter
/// by the bound on clock drift. A leader that has asked another to take over
/// has given its lease up for the rest of its term.

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

/// Largest assumed difference between the rates of two members' clocks, in
/// parts of a thousand.
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

/// \returns the member of that id, or null. Valid until \p In changes.
const Member *findMember(const Membership &In, const NodeId &Id);
std::size_t voterCount(const Membership &In);
/// Smallest number of voters that any two quorums share one of.
std::size_t quorumSize(const Membership &In);

std::string encodeMembership(const Membership &Value);
Result<Membership> decodeMembership(const std::string &Bytes);

/// Adds a member that takes part in no quorum until it has caught up; it is
/// then promoted by the leader without being asked.
struct AddLearner {
  Member m_Member;
};
/// Makes a member of a voter's or learner's new disk: its old incarnation
/// loses its vote and the new one is a learner until it has caught up.
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

/// State up to and including a position of the log.
struct Snapshot {
  Index m_Index = 0;
  Term m_Term = 0;
  Membership m_Membership;
  std::string m_Data;
};

/// What a member has promised in its newest term.
struct HardState {
  Term m_Term = 0;
  NodeId m_VotedFor;

  bool operator==(const HardState &) const = default;
};

/// What a disk gives back at start. Records follow each other without a gap;
/// they may begin before the snapshot's end, never after the record behind it.
struct PersistedState {
  HardState m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot; ///< Null: none yet.
  std::vector<Record> m_Records;
};

/// The record that every first member starts with.
Record firstRecord(const Membership &Initial);

// --- Messages -------------------------------------------------------------

/// Asks for a vote, or whether one would be granted (`m_PreVote`; its term is
/// then the one after the sender's).
struct VoteRequest {
  bool m_PreVote = false;
  Index m_LastIndex = 0;
  Term m_LastTerm = 0;
  bool m_Transfer = false; ///< The leader of the term before asked for it.
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
  Index m_MatchIndex = 0; ///< If refused: where the leader should try next.
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
/// \returns an error for a body that this version does not know.
Result<Message> fromWire(const NodeId &From, const NodeId &To,
                         const wire::ConsensusMessage &Value);

// --- State ----------------------------------------------------------------

struct Timing {
  Duration m_Heartbeat = std::chrono::milliseconds(200);
  Duration m_ElectionMin = std::chrono::milliseconds(800);
  Duration m_ElectionMax = std::chrono::milliseconds(1600);
  Duration m_Lease = std::chrono::milliseconds(600);
};

/// \returns an error unless heartbeat < lease and the lease, on the fastest
/// clock, ends before the shortest election timeout on the slowest one.
Status checkTiming(const Timing &Value);

struct Limits {
  std::size_t m_MessageBytes = 1U << 20U; ///< Of records in one message.
  std::size_t m_MessageRecords = 4096;
  std::size_t m_SnapshotPartBytes = 256U << 10U;
  std::size_t m_UncommittedRecords = 16384; ///< More proposals are refused.
  std::size_t m_PayloadBytes = 4U << 20U;   ///< Larger proposals are refused.
  /// Kept behind a snapshot for members that lag, unless `m_TrailingBytes` is
  /// reached before.
  Index m_TrailingRecords = 4096;
  std::size_t m_TrailingBytes = 16U << 20U;
  Index m_CaughtUpLag = 64; ///< Largest lag in records of a learner promoted.
};

struct Options {
  NodeId m_Self;
  std::string m_Incarnation;
  Timing m_Timing;
  Limits m_Limits;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// What a leader knows of one member.
struct Progress {
  std::string m_Incarnation;
  Index m_Next = 1;
  Index m_Match = 0;
  std::uint64_t m_MatchRound = 0; ///< Round in which the match last rose.
  bool m_InFlight = false; ///< Records or a part were sent, no reply yet.
  std::uint64_t m_SentRound = 0;
  Index m_SentLast = 0; ///< Last record in flight; zero for a snapshot part.
  std::uint64_t m_SnapshotOffset = 0;
  Index m_SnapshotIndex = 0; ///< Of the transfer under way; zero if none.
  TimePoint m_EchoedSentAt;  ///< Send time of the newest round it echoed.
  bool m_Echoed = false;
  TimePoint m_HeardAt;
  bool m_LostData = false; ///< It acknowledged records that it lacks now.
};

/// A snapshot that arrives in parts.
struct IncomingSnapshot {
  Index m_Index = 0;
  Term m_Term = 0;
  std::string m_Data;
};

struct SentRound {
  std::uint64_t m_Round = 0;
  TimePoint m_SentAt;
};

/// All that a member knows. Made by `start`, changed by `step` only; reading
/// is free.
struct State {
  Options m_Options;
  HardState m_HardState;
  Role m_Role = Role::Follower;
  NodeId m_Leader; ///< Of this term; empty when not known.

  std::deque<Record> m_Records; ///< Behind `m_BaseIndex`.
  Index m_BaseIndex = 0;
  Term m_BaseTerm = 0;
  std::shared_ptr<const Snapshot> m_Snapshot;
  Membership m_Membership; ///< The newest in the log, committed or not.
  Index m_MembershipIndex = 0;
  Index m_CommitIndex = 0;
  Index m_AppliedIndex = 0;
  IncomingSnapshot m_Incoming;

  TimePoint m_ElectionAt;   ///< When a follower or candidate campaigns.
  TimePoint m_NoVoteBefore; ///< No vote is granted before this.
  std::set<NodeId> m_Votes; ///< Granted to this campaign.

  std::map<NodeId, Progress> m_Progress; ///< Leader only.
  std::uint64_t m_Round = 0;
  std::deque<SentRound> m_SentRounds;
  TimePoint m_HeartbeatAt;
  TimePoint m_LeaderSince;
  Index m_TermStart = 0; ///< Index of the leader's first record.
  NodeId m_TransferTo;   ///< Not empty while a transfer is under way.
  TimePoint m_TransferUntil;
  bool m_LeaseReleased = false;
  std::map<Index, std::uint64_t> m_Tokens; ///< Proposals not yet decided.

  /// Incarnations that members have shown and the membership does not have.
  std::map<NodeId, std::string> m_UnknownIncarnations;
};

// --- Events ---------------------------------------------------------------

/// Time has passed. Wanted at least four times in a heartbeat interval.
struct Tick {};

struct Receive {
  Message m_Message;
};

/// \p m_Token is the proposer's own and comes back in a `Decision`.
struct Proposal {
  std::uint64_t m_Token = 0;
  std::string m_Payload;
};

/// Proposals that share one write and one message.
struct Propose {
  std::vector<Proposal> m_Proposals;
};

/// The state machine's bytes after the record at \p m_Index, which has been
/// applied.
struct SnapshotTaken {
  Index m_Index = 0;
  std::string m_Data;
};

struct ChangeMembership {
  std::uint64_t m_Token = 0;
  MembershipChange m_Change;
};

/// Hands leadership over before a planned stop. An empty id means the voter
/// that has most of the log.
struct TransferLeadership {
  NodeId m_To;
};

using Event = std::variant<Tick, Receive, Propose, SnapshotTaken,
                           ChangeMembership, TransferLeadership>;

// --- Actions --------------------------------------------------------------

/// What is to be durable before anything else, in the order of the members.
struct Persist {
  std::optional<HardState> m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot;
  bool m_DropLog = false;   ///< The snapshot replaces all records.
  Index m_CompactTo = 0;    ///< Records up to here may be removed.
  Index m_TruncateFrom = 0; ///< Records from here on are removed; zero: none.
  std::vector<Record> m_Records;

  [[nodiscard]] bool empty() const {
    return !m_HardState && !m_Snapshot && m_CompactTo == 0 &&
           m_TruncateFrom == 0 && m_Records.empty();
  }
};

/// What became of a proposal.
enum class Verdict : std::uint8_t {
  Committed,        ///< It is in the log for good.
  NotLeader,        ///< Refused: never in any log.
  Transferring,     ///< Refused: leadership is being handed over.
  Busy,             ///< Refused: too many records wait for a quorum.
  TooLarge,         ///< Refused: the payload exceeds `Limits`.
  ChangeUnderWay,   ///< Refused: another membership change is not committed.
  ChangeNotAllowed, ///< Refused: no such member, not caught up, last voter.
  Lost,             ///< Leadership went: it may or may not be committed.
};

/// lower_snake_case name, for metrics and logs.
std::string_view verdictName(Verdict Value);

struct Decision {
  std::uint64_t m_Token = 0;
  Verdict m_Verdict = Verdict::Lost;
  Index m_Index = 0; ///< Where it was committed.
};

enum class Leadership : std::uint8_t { Gained, Lost };

struct Actions {
  Persist m_Persist;
  std::shared_ptr<const Snapshot> m_Install; ///< Before `m_Committed`.
  std::vector<Record> m_Committed;           ///< To apply, in order.
  std::vector<Decision> m_Decisions;
  std::vector<Leadership> m_Leadership; ///< In order.
  std::vector<Message> m_Messages;
};

// --- Steps ----------------------------------------------------------------

/// State of a member that has just read its disk. It grants no vote for the
/// shortest election timeout, since it may have promised a leader so.
/// \pre `checkTiming` and the order of \p From have been checked.
State start(Options With, PersistedState From, TimePoint Now, Random &Rng);

Actions step(State &Self, const Event &Happened, TimePoint Now, Random &Rng);

/// Whether no other member can be leader at \p Now, and every change committed
/// before its term has been applied here. Reads and orders that need authority
/// ask this in the same turn of the loop. A pause lets it lapse, since \p Now
/// goes on.
bool holdsLease(const State &Self, TimePoint Now);

/// When the lease ends unless it is renewed; the epoch if there is none.
TimePoint leaseEnd(const State &Self, TimePoint Now);

Index lastIndex(const State &Self);
Term lastTerm(const State &Self);

/// Faults that a test build can switch on, to show that the checks find them.
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
/// Thrown in place of ending the process, so that a test sees it.
struct InvariantViolation {
  std::string m_Condition;
};
void setMutation(Mutation Value);
#endif

} // namespace wasabivale::consensus

#endif // WASABIVALE_CONSENSUS_CONSENSUS_H
