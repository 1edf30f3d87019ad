#include "Internal.h"

namespace wasabivale::consensus {

void persistHardState(StepContext &Context) {
  Context.m_Actions.m_Persist.m_HardState = Context.m_State.m_HardState;
}

void resetElectionTimer(StepContext &Context) {
  const Timing &Times = Context.m_State.m_Options.m_Timing;
  std::uniform_int_distribution<Duration::rep> Spread(
      0, (Times.m_ElectionMax - Times.m_ElectionMin).count());
  Context.m_State.m_ElectionDeadline =
      Context.m_Now + Times.m_ElectionMin + Duration(Spread(Context.m_Rng));
}

static void clearLeadership(StepContext &Context) {
  State &Self = Context.m_State;
  for (const auto &[Position, Token] : Self.m_PendingTokens)
    resolveProposal(Context, Token, Verdict::Lost);
  Self.m_PendingTokens.clear();
  Self.m_Progress.clear();
  Self.m_SentRounds.clear();
  Self.m_TransferTo = {};
  Self.m_LeaseReleased = false;
  Context.m_Actions.m_Leadership.push_back(Leadership::Lost);
}

void becomeFollower(StepContext &Context, Term NewTerm, const NodeId &Leader) {
  State &Self = Context.m_State;
  WASABIVALE_INVARIANT(NewTerm >= Self.m_HardState.m_Term);
  if (Self.m_Role == Role::Leader)
    clearLeadership(Context);
  if (NewTerm > Self.m_HardState.m_Term) {
    Self.m_HardState = {NewTerm, {}};
    persistHardState(Context);
  }
  Self.m_Role = Role::Follower;
  Self.m_Leader = Leader;
  Self.m_Votes.clear();
  resetElectionTimer(Context);
}

bool mustWithholdVote(const State &Self, TimePoint Now) {
  if (isMutationActive(Mutation::VoteDuringLease))
    return false;
  return Now < Self.m_NoVoteBefore || holdsLease(Self, Now);
}

static void requestVotes(StepContext &Context, const VoteRequest &Request,
                         Term CampaignTerm) {
  const State &Self = Context.m_State;
  for (const Member &Member : Self.m_Membership.m_Members)
    if (isVoter(Self.m_Membership, Member.m_Id) &&
        Member.m_Id != Self.m_Options.m_Self)
      send(Context, Member.m_Id, Member.m_Incarnation, CampaignTerm, Request);
}

static bool hasQuorumOfVotes(const State &Self) {
  std::size_t Voters = 0;
  for (const Member &Member : Self.m_Membership.m_Members)
    Voters += isVoter(Self.m_Membership, Member.m_Id) ? 1 : 0;
  std::size_t Granted = 0;
  for (const NodeId &Voter : Self.m_Votes)
    Granted += isVoter(Self.m_Membership, Voter) ? 1 : 0;
  return Granted >= Voters / 2 + 1;
}

void startPreVote(StepContext &Context) {
  State &Self = Context.m_State;
  resetElectionTimer(Context);
  if (!mayCampaign(Self))
    return;
  Self.m_Role = Role::PreCandidate;
  Self.m_Leader = {};
  Self.m_Votes = {Self.m_Options.m_Self};
  if (hasQuorumOfVotes(Self))
    return startCampaign(Context, false);
  requestVotes(Context, {true, lastIndex(Self), lastTerm(Self), false},
               Self.m_HardState.m_Term + 1);
}

void startCampaign(StepContext &Context, bool Transfer) {
  State &Self = Context.m_State;
  WASABIVALE_INVARIANT(mayCampaign(Self));
  Self.m_Role = Role::Candidate;
  Self.m_Leader = {};
  Self.m_HardState = {Self.m_HardState.m_Term + 1, Self.m_Options.m_Self};
  persistHardState(Context);
  Self.m_Votes = {Self.m_Options.m_Self};
  resetElectionTimer(Context);
  if (hasQuorumOfVotes(Self))
    return becomeLeader(Context);
  requestVotes(Context, {false, lastIndex(Self), lastTerm(Self), Transfer},
               Self.m_HardState.m_Term);
}

static bool isUpToDate(const State &Self, const VoteRequest &Request) {
  if (isMutationActive(Mutation::VoteForShorterLog))
    return true;
  if (Request.m_LastTerm != lastTerm(Self))
    return Request.m_LastTerm > lastTerm(Self);
  return Request.m_LastIndex >= lastIndex(Self);
}

static void handlePreVoteRequest(StepContext &Context, const Message &Message,
                                 const VoteRequest &Request) {
  const State &Self = Context.m_State;
  const bool Granted = Message.m_Term > Self.m_HardState.m_Term &&
                       isUpToDate(Self, Request) &&
                       !mustWithholdVote(Self, Context.m_Now);
  reply(Context, Message, VoteReply{true, Granted});
  // A granted pre-vote replies with the requested term.
  if (Granted)
    Context.m_Actions.m_Messages.back().m_Term = Message.m_Term;
}

void handleVoteRequest(StepContext &Context, const Message &Message,
                       const VoteRequest &Request) {
  State &Self = Context.m_State;
  if (Request.m_PreVote)
    return handlePreVoteRequest(Context, Message, Request);
  if (!Request.m_Transfer && mustWithholdVote(Self, Context.m_Now))
    return;
  if (Message.m_Term > Self.m_HardState.m_Term)
    becomeFollower(Context, Message.m_Term, {});
  const bool CanVote = Self.m_HardState.m_VotedFor.empty() ||
                       Self.m_HardState.m_VotedFor == Message.m_From;
  const bool Granted = Message.m_Term == Self.m_HardState.m_Term && CanVote &&
                       isUpToDate(Self, Request);
  if (Granted) {
    // A leader or candidate has voted for itself in this term.
    WASABIVALE_INVARIANT(Self.m_Role != Role::Leader);
    Self.m_Role = Role::Follower;
    Self.m_HardState.m_VotedFor = Message.m_From;
    persistHardState(Context);
    resetElectionTimer(Context);
    if (isMutationActive(Mutation::VoteWithoutPersisting))
      Context.m_Actions.m_Persist.m_HardState.reset();
  }
  reply(Context, Message, VoteReply{false, Granted});
}

void handleVoteReply(StepContext &Context, const Message &Message,
                     const VoteReply &Reply) {
  State &Self = Context.m_State;
  const bool IsExpected = Reply.m_PreVote ? Self.m_Role == Role::PreCandidate
                                          : Self.m_Role == Role::Candidate;
  const Term ExpectedTerm = Self.m_HardState.m_Term + (Reply.m_PreVote ? 1 : 0);
  if (!IsExpected || !Reply.m_Granted || Message.m_Term != ExpectedTerm)
    return;
  WASABIVALE_INVARIANT(hasListedIncarnation(Self, Message));
  Self.m_Votes.insert(Message.m_From);
  if (!hasQuorumOfVotes(Self))
    return;
  if (Reply.m_PreVote)
    startCampaign(Context, false);
  else
    becomeLeader(Context);
}

} // namespace wasabivale::consensus
