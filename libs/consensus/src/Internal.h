/// \file
/// Functions that the parts of this library share. Every one of them changes
/// the state and adds to the actions of one step.

#ifndef WASABIVALE_CONSENSUS_INTERNAL_H
#define WASABIVALE_CONSENSUS_INTERNAL_H

#include "consensus/consensus.h"

namespace wasabivale::consensus {

#if WASABIVALE_MUTATIONS
bool mutated(Mutation Which);
#undef WASABIVALE_INVARIANT
#define WASABIVALE_INVARIANT(Condition)                                        \
  ((Condition) ? static_cast<void>(0) : throw InvariantViolation{#Condition})
#else
constexpr bool mutated(Mutation) { return false; }
#endif

/// One step under way.
struct Turn {
  State &m_Self;
  TimePoint m_Now;
  Random &m_Rng;
  Actions m_Actions;
};

// Log.cpp
/// \returns the term at \p At, or nothing if it is behind the base or absent.
std::optional<Term> termAt(const State &Self, Index At);
/// \pre The record is in memory.
const Record &recordAt(const State &Self, Index At);
void appendRecord(Turn &In, Record Added);
/// Removes the records from \p From on, none of which is committed.
void truncateLog(Turn &In, Index From);
void compactLog(Turn &In, Index To);
/// Replaces the whole log by a snapshot from the leader.
void installSnapshot(Turn &In, std::shared_ptr<const Snapshot> Installed);
/// Raises the commit index and hands out what is committed.
void commitTo(Turn &In, Index To);
void takeSnapshot(Turn &In, const SnapshotTaken &Taken);
/// Reads the newest membership of the log again.
void refreshMembership(State &Self);
/// The membership before the newest one.
Membership previousMembership(const State &Self);

// Membership.cpp
bool isVoter(const Membership &In, const NodeId &Id);
/// Whether the reply comes from the disk that the membership names.
bool isKnown(const State &Self, const Message &From);
bool selfIsVoter(const State &Self);
/// Whether this member may lead: it is a voter, or the change that takes its
/// vote may not be committed yet, so that only it may hold the longest log.
bool mayCampaign(const State &Self);
void changeMembership(Turn &In, const ChangeMembership &Wanted);
/// Promotes one learner that has caught up, if no change is under way.
void promoteLearners(Turn &In);

// Election.cpp
void becomeFollower(Turn &In, Term At, const NodeId &Leader);
void startPreVote(Turn &In);
void startCampaign(Turn &In, bool Transfer);
void resetElection(Turn &In);
void persistHardState(Turn &In);
void takeVoteRequest(Turn &In, const Message &From, const VoteRequest &Asked);
void takeVoteReply(Turn &In, const Message &From, const VoteReply &Reply);
/// Whether a vote would break a promise to a leader.
bool promisedNoVote(const State &Self, TimePoint Now);

// Follow.cpp
void takeAppendRequest(Turn &In, const Message &From,
                       const AppendRequest &Asked);
void takeSnapshotPart(Turn &In, const Message &From, const SnapshotPart &Part);
/// Notes that \p Leader leads this term.
void hearLeader(Turn &In, const NodeId &Leader);

// Lead.cpp
void becomeLeader(Turn &In);
/// Fits the progress table to the membership.
void refreshProgress(Turn &In);
void sendHeartbeats(Turn &In);
/// Sends what the member lacks, unless something is in flight.
void sendNext(Turn &In, const NodeId &To);
void sendToAll(Turn &In);
void takeAppendReply(Turn &In, const Message &From, const AppendReply &Reply);
void takeSnapshotReply(Turn &In, const Message &From,
                       const SnapshotReply &Reply);
/// Commits what a quorum holds.
void advanceCommit(Turn &In);
void takeProposals(Turn &In, const Propose &Wanted);
void tickLeader(Turn &In);
void startTransfer(Turn &In, const TransferLeadership &Wanted);
/// Send time of the newest round that a quorum of voters has echoed; nothing
/// if there is none.
std::optional<TimePoint> quorumEcho(const State &Self, TimePoint Now);

// Step.cpp
void send(Turn &In, const NodeId &To, const std::string &ToIncarnation, Term At,
          Body Content);
void reply(Turn &In, const Message &To, Body Content);
void decide(Turn &In, std::uint64_t Token, Verdict Value, Index At = 0);

} // namespace wasabivale::consensus

#endif // WASABIVALE_CONSENSUS_INTERNAL_H
