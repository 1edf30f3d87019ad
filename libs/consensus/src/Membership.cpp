#include "Internal.h"

#include <algorithm>

namespace wasabivale::consensus {

namespace {

auto findIn(Membership &In, const NodeId &Id) {
  return std::find_if(In.m_Members.begin(), In.m_Members.end(),
                      [&](const Member &Each) { return Each.m_Id == Id; });
}

void sortMembers(Membership &In) {
  std::sort(In.m_Members.begin(), In.m_Members.end(),
            [](const Member &A, const Member &B) { return A.m_Id < B.m_Id; });
}

bool isCaughtUp(const State &Self, const NodeId &Id) {
  const auto Found = Self.m_Progress.find(Id);
  if (Found == Self.m_Progress.end() || Found->second.m_LostData)
    return false;
  const Index Lag = Self.m_Options.m_Limits.m_CaughtUpLag;
  return Found->second.m_Match > 0 &&
         Found->second.m_Match + Lag >= lastIndex(Self) &&
         Found->second.m_Match >= Self.m_TermStart;
}

/// The membership after one change; nothing if it is not allowed.
struct Apply {
  const State &m_Self;
  Membership m_Next;

  bool operator()(const AddLearner &Change) {
    const Member &Added = Change.m_Member;
    if (Added.m_Id.empty() || Added.m_Incarnation.empty() ||
        findMember(m_Next, Added.m_Id) != nullptr)
      return false;
    m_Next.m_Members.push_back(Added);
    m_Next.m_Members.back().m_Voter = false;
    sortMembers(m_Next);
    return true;
  }
  bool operator()(const ReplaceMember &Change) {
    const auto Found = findIn(m_Next, Change.m_Id);
    if (Found == m_Next.m_Members.end() || Change.m_Incarnation.empty() ||
        Found->m_Incarnation == Change.m_Incarnation ||
        Change.m_Id == m_Self.m_Options.m_Self)
      return false;
    Found->m_Incarnation = Change.m_Incarnation;
    Found->m_Voter = false;
    return voterCount(m_Next) > 0;
  }
  bool operator()(const PromoteMember &Change) {
    const auto Found = findIn(m_Next, Change.m_Id);
    if (Found == m_Next.m_Members.end() || Found->m_Voter ||
        !isCaughtUp(m_Self, Change.m_Id))
      return false;
    Found->m_Voter = true;
    return true;
  }
  bool operator()(const RemoveMember &Change) {
    const auto Found = findIn(m_Next, Change.m_Id);
    if (Found == m_Next.m_Members.end())
      return false;
    m_Next.m_Members.erase(Found);
    return voterCount(m_Next) > 0;
  }
};

} // namespace

const Member *findMember(const Membership &In, const NodeId &Id) {
  for (const Member &Each : In.m_Members)
    if (Each.m_Id == Id)
      return &Each;
  return nullptr;
}

std::size_t voterCount(const Membership &In) {
  return static_cast<std::size_t>(
      std::count_if(In.m_Members.begin(), In.m_Members.end(),
                    [](const Member &Each) { return Each.m_Voter; }));
}

std::size_t quorumSize(const Membership &In) { return voterCount(In) / 2 + 1; }

bool isVoter(const Membership &In, const NodeId &Id) {
  const Member *Found = findMember(In, Id);
  return Found != nullptr &&
         (Found->m_Voter || mutated(Mutation::CountLearner));
}

bool isKnown(const State &Self, const Message &From) {
  const Member *Found = findMember(Self.m_Membership, From.m_From);
  if (mutated(Mutation::CountUnknownIncarnation))
    return Found != nullptr;
  return Found != nullptr && Found->m_Incarnation == From.m_FromIncarnation;
}

static bool isVotingDisk(const Membership &In, const Options &Own) {
  const Member *Found = findMember(In, Own.m_Self);
  return Found != nullptr && Found->m_Voter &&
         Found->m_Incarnation == Own.m_Incarnation;
}

bool selfIsVoter(const State &Self) {
  return isVotingDisk(Self.m_Membership, Self.m_Options);
}

bool mayCampaign(const State &Self) {
  if (selfIsVoter(Self))
    return true;
  return Self.m_MembershipIndex > Self.m_CommitIndex &&
         isVotingDisk(previousMembership(Self), Self.m_Options);
}

static bool changeIsUnderWay(const State &Self) {
  return Self.m_MembershipIndex > Self.m_CommitIndex ||
         Self.m_CommitIndex < Self.m_TermStart;
}

void changeMembership(Turn &In, const ChangeMembership &Wanted) {
  State &Self = In.m_Self;
  if (Self.m_Role != Role::Leader)
    return decide(In, Wanted.m_Token, Verdict::NotLeader);
  if (!Self.m_TransferTo.empty())
    return decide(In, Wanted.m_Token, Verdict::Transferring);
  if (changeIsUnderWay(Self))
    return decide(In, Wanted.m_Token, Verdict::ChangeUnderWay);
  Apply Applied{Self, Self.m_Membership};
  if (!std::visit(Applied, Wanted.m_Change))
    return decide(In, Wanted.m_Token, Verdict::ChangeNotAllowed);
  const Index At = lastIndex(Self) + 1;
  if (Wanted.m_Token != 0)
    Self.m_Tokens[At] = Wanted.m_Token;
  appendRecord(In, {At, Self.m_HardState.m_Term, RecordKind::Membership,
                    encodeMembership(Applied.m_Next)});
  refreshProgress(In);
  advanceCommit(In);
  sendToAll(In);
}

void promoteLearners(Turn &In) {
  const State &Self = In.m_Self;
  if (changeIsUnderWay(Self) || !Self.m_TransferTo.empty())
    return;
  for (const Member &Each : Self.m_Membership.m_Members)
    if (!Each.m_Voter && isCaughtUp(Self, Each.m_Id))
      return changeMembership(In, {0, PromoteMember{Each.m_Id}});
}

} // namespace wasabivale::consensus
