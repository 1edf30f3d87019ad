#include "Internal.h"

namespace wasabivale::consensus {

void persistHardState(Turn &In) {
  In.m_Actions.m_Persist.m_HardState = In.m_Self.m_HardState;
}

void resetElection(Turn &In) {
  const Timing &Times = In.m_Self.m_Options.m_Timing;
  std::uniform_int_distribution<Duration::rep> Spread(
      0, (Times.m_ElectionMax - Times.m_ElectionMin).count());
  In.m_Self.m_ElectionAt =
      In.m_Now + Times.m_ElectionMin + Duration(Spread(In.m_Rng));
}

static void dropLeadership(Turn &In) {
  State &Self = In.m_Self;
  for (const auto &[At, Token] : Self.m_Tokens)
    decide(In, Token, Verdict::Lost);
  Self.m_Tokens.clear();
  Self.m_Progress.clear();
  Self.m_SentRounds.clear();
  Self.m_TransferTo = {};
  Self.m_LeaseReleased = false;
  In.m_Actions.m_Leadership.push_back(Leadership::Lost);
}

void becomeFollower(Turn &In, Term At, const NodeId &Leader) {
  State &Self = In.m_Self;
  WASABIVALE_INVARIANT(At >= Self.m_HardState.m_Term);
  if (Self.m_Role == Role::Leader)
    dropLeadership(In);
  if (At > Self.m_HardState.m_Term) {
    Self.m_HardState = {At, {}};
    persistHardState(In);
  }
  Self.m_Role = Role::Follower;
  Self.m_Leader = Leader;
  Self.m_Votes.clear();
  resetElection(In);
}

bool promisedNoVote(const State &Self, TimePoint Now) {
  if (mutated(Mutation::VoteDuringLease))
    return false;
  return Now < Self.m_NoVoteBefore || holdsLease(Self, Now);
}

static void requestVotes(Turn &In, const VoteRequest &Asked, Term At) {
  const State &Self = In.m_Self;
  for (const Member &Each : Self.m_Membership.m_Members)
    if (isVoter(Self.m_Membership, Each.m_Id) &&
        Each.m_Id != Self.m_Options.m_Self)
      send(In, Each.m_Id, Each.m_Incarnation, At, Asked);
}

static bool hasQuorumOfVotes(const State &Self) {
  std::size_t Voters = 0;
  for (const Member &Each : Self.m_Membership.m_Members)
    Voters += isVoter(Self.m_Membership, Each.m_Id) ? 1 : 0;
  std::size_t Granted = 0;
  for (const NodeId &Each : Self.m_Votes)
    Granted += isVoter(Self.m_Membership, Each) ? 1 : 0;
  return Granted >= Voters / 2 + 1;
}

void startPreVote(Turn &In) {
  State &Self = In.m_Self;
  resetElection(In);
  if (!mayCampaign(Self))
    return;
  Self.m_Role = Role::PreCandidate;
  Self.m_Leader = {};
  Self.m_Votes = {Self.m_Options.m_Self};
  if (hasQuorumOfVotes(Self))
    return startCampaign(In, false);
  requestVotes(In, {true, lastIndex(Self), lastTerm(Self), false},
               Self.m_HardState.m_Term + 1);
}

void startCampaign(Turn &In, bool Transfer) {
  State &Self = In.m_Self;
  WASABIVALE_INVARIANT(mayCampaign(Self));
  Self.m_Role = Role::Candidate;
  Self.m_Leader = {};
  Self.m_HardState = {Self.m_HardState.m_Term + 1, Self.m_Options.m_Self};
  persistHardState(In);
  Self.m_Votes = {Self.m_Options.m_Self};
  resetElection(In);
  if (hasQuorumOfVotes(Self))
    return becomeLeader(In);
  requestVotes(In, {false, lastIndex(Self), lastTerm(Self), Transfer},
               Self.m_HardState.m_Term);
}

static bool isUpToDate(const State &Self, const VoteRequest &Asked) {
  if (mutated(Mutation::VoteForShorterLog))
    return true;
  if (Asked.m_LastTerm != lastTerm(Self))
    return Asked.m_LastTerm > lastTerm(Self);
  return Asked.m_LastIndex >= lastIndex(Self);
}

static void takePreVoteRequest(Turn &In, const Message &From,
                               const VoteRequest &Asked) {
  const State &Self = In.m_Self;
  const bool Granted = From.m_Term > Self.m_HardState.m_Term &&
                       isUpToDate(Self, Asked) &&
                       !promisedNoVote(Self, In.m_Now);
  reply(In, From, VoteReply{true, Granted});
  // A grant answers for the term that was asked about.
  if (Granted)
    In.m_Actions.m_Messages.back().m_Term = From.m_Term;
}

void takeVoteRequest(Turn &In, const Message &From, const VoteRequest &Asked) {
  State &Self = In.m_Self;
  if (Asked.m_PreVote)
    return takePreVoteRequest(In, From, Asked);
  if (!Asked.m_Transfer && promisedNoVote(Self, In.m_Now))
    return;
  if (From.m_Term > Self.m_HardState.m_Term)
    becomeFollower(In, From.m_Term, {});
  const bool Free = Self.m_HardState.m_VotedFor.empty() ||
                    Self.m_HardState.m_VotedFor == From.m_From;
  const bool Granted =
      From.m_Term == Self.m_HardState.m_Term && Free && isUpToDate(Self, Asked);
  if (Granted) {
    // One that has voted before is no candidate of this term.
    WASABIVALE_INVARIANT(Self.m_Role != Role::Leader);
    Self.m_Role = Role::Follower;
    Self.m_HardState.m_VotedFor = From.m_From;
    persistHardState(In);
    resetElection(In);
    if (mutated(Mutation::VoteWithoutPersisting))
      In.m_Actions.m_Persist.m_HardState.reset();
  }
  reply(In, From, VoteReply{false, Granted});
}

void takeVoteReply(Turn &In, const Message &From, const VoteReply &Reply) {
  State &Self = In.m_Self;
  const bool Wanted = Reply.m_PreVote ? Self.m_Role == Role::PreCandidate
                                      : Self.m_Role == Role::Candidate;
  const Term Asked = Self.m_HardState.m_Term + (Reply.m_PreVote ? 1 : 0);
  if (!Wanted || !Reply.m_Granted || From.m_Term != Asked)
    return;
  WASABIVALE_INVARIANT(isKnown(Self, From));
  Self.m_Votes.insert(From.m_From);
  if (!hasQuorumOfVotes(Self))
    return;
  if (Reply.m_PreVote)
    startCampaign(In, false);
  else
    becomeLeader(In);
}

} // namespace wasabivale::consensus
