/// \file
/// Internal functions shared by the source files of this library. Those that
/// take a `StepContext` modify the state and add to the actions of one step.

#ifndef WASABIVALE_CONSENSUS_INTERNAL_H
#define WASABIVALE_CONSENSUS_INTERNAL_H

#include "consensus/consensus.h"

namespace wasabivale::consensus {

#if WASABIVALE_MUTATIONS
bool isMutationActive(Mutation Fault);
#undef WASABIVALE_INVARIANT
#define WASABIVALE_INVARIANT(Condition)                                        \
  ((Condition) ? static_cast<void>(0) : throw InvariantViolation{#Condition})
#else
constexpr bool isMutationActive(Mutation) { return false; }
#endif

/// Inputs and collected actions of the step being executed.
struct StepContext {
  State &m_State;
  TimePoint m_Now;
  Random &m_Rng;
  Actions m_Actions;
};

// Log.cpp
/// \returns the term at \p Position, or nothing if the record was compacted or
/// does not exist.
std::optional<Term> termAt(const State &Self, Index Position);
/// \pre The record is in memory.
const Record &recordAt(const State &Self, Index Position);
void appendRecord(StepContext &Context, Record NewRecord);
/// Removes the records starting at \p First, none of which is committed.
void truncateLog(StepContext &Context, Index First);
void compactLog(StepContext &Context, Index Last);
/// Installs a snapshot from the leader; it replaces the whole log unless the
/// log contains the snapshot's last record.
void installSnapshot(StepContext &Context,
                     std::shared_ptr<const Snapshot> Received);
/// Raises the commit index and emits the newly committed records.
void commitTo(StepContext &Context, Index Position);
void handleSnapshotTaken(StepContext &Context, const SnapshotTaken &Taken);
/// Reloads the newest membership from the log.
void reloadMembership(State &Self);
/// \returns the membership before the newest one.
Membership previousMembership(const State &Self);

// Membership.cpp
bool isVoter(const Membership &Members, const NodeId &Id);
/// Whether the sender's incarnation is the one listed in the membership.
bool hasListedIncarnation(const State &Self, const Message &Reply);
bool selfIsVoter(const State &Self);
/// Whether this member may lead: it is a voter, or the change that removes its
/// vote may be uncommitted, in which case it may be the only member with the
/// longest log.
bool mayCampaign(const State &Self);
void changeMembership(StepContext &Context, const ChangeMembership &Request);
/// Promotes one learner that has caught up, unless a change is pending.
void promoteLearners(StepContext &Context);

// Election.cpp
void becomeFollower(StepContext &Context, Term NewTerm, const NodeId &Leader);
void startPreVote(StepContext &Context);
void startCampaign(StepContext &Context, bool Transfer);
void resetElectionTimer(StepContext &Context);
void persistHardState(StepContext &Context);
void handleVoteRequest(StepContext &Context, const Message &Message,
                       const VoteRequest &Request);
void handleVoteReply(StepContext &Context, const Message &Message,
                     const VoteReply &Reply);
/// Whether granting a vote could violate the lease of a leader.
bool mustWithholdVote(const State &Self, TimePoint Now);

// Follow.cpp
void handleAppendRequest(StepContext &Context, const Message &Message,
                         const AppendRequest &Request);
void handleSnapshotPart(StepContext &Context, const Message &Message,
                        const SnapshotPart &Part);
/// Records that \p Leader leads this term.
void recordLeader(StepContext &Context, const NodeId &Leader);

// Lead.cpp
void becomeLeader(StepContext &Context);
/// Updates the progress table to match the membership.
void refreshProgress(StepContext &Context);
void sendHeartbeats(StepContext &Context);
/// Sends the next records or the next snapshot part to a member.
void sendNext(StepContext &Context, const NodeId &Receiver);
/// Sends missing records to every member that has nothing in flight.
void sendToAll(StepContext &Context);
void handleAppendReply(StepContext &Context, const Message &Message,
                       const AppendReply &Reply);
void handleSnapshotReply(StepContext &Context, const Message &Message,
                         const SnapshotReply &Reply);
/// Raises the commit index to the last record stored by a quorum.
void advanceCommit(StepContext &Context);
void handleProposals(StepContext &Context, const Propose &Batch);
void handleLeaderTick(StepContext &Context);
void startTransfer(StepContext &Context, const TransferLeadership &Request);
/// \returns the send time of the newest round that a quorum of voters has
/// echoed, or nothing if there is none.
std::optional<TimePoint> quorumEchoTime(const State &Self, TimePoint Now);

// Step.cpp
void send(StepContext &Context, const NodeId &Receiver,
          const std::string &Incarnation, Term MessageTerm, Body Content);
void reply(StepContext &Context, const Message &Request, Body Content);
void resolveProposal(StepContext &Context, std::uint64_t Token, Verdict Value,
                     Index Position = 0);

} // namespace wasabivale::consensus

#endif // WASABIVALE_CONSENSUS_INTERNAL_H
