#include "Internal.h"

#include <algorithm>

namespace wasabivale::consensus {

namespace {

auto findMutable(Membership &Members, const NodeId &Id) {
  return std::find_if(Members.m_Members.begin(), Members.m_Members.end(),
                      [&](const Member &Member) { return Member.m_Id == Id; });
}

void sortMembers(Membership &Members) {
  std::sort(Members.m_Members.begin(), Members.m_Members.end(),
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

/// Applies one change to `m_Next`; each overload returns whether the change is
/// allowed.
struct ChangeApplier {
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
    const auto Found = findMutable(m_Next, Change.m_Id);
    if (Found == m_Next.m_Members.end() || Change.m_Incarnation.empty() ||
        Found->m_Incarnation == Change.m_Incarnation ||
        Change.m_Id == m_Self.m_Options.m_Self)
      return false;
    Found->m_Incarnation = Change.m_Incarnation;
    Found->m_Voter = false;
    return voterCount(m_Next) > 0;
  }
  bool operator()(const PromoteMember &Change) {
    const auto Found = findMutable(m_Next, Change.m_Id);
    if (Found == m_Next.m_Members.end() || Found->m_Voter ||
        !isCaughtUp(m_Self, Change.m_Id))
      return false;
    Found->m_Voter = true;
    return true;
  }
  bool operator()(const RemoveMember &Change) {
    const auto Found = findMutable(m_Next, Change.m_Id);
    if (Found == m_Next.m_Members.end())
      return false;
    m_Next.m_Members.erase(Found);
    return voterCount(m_Next) > 0;
  }
};

} // namespace

const Member *findMember(const Membership &Members, const NodeId &Id) {
  for (const Member &Member : Members.m_Members)
    if (Member.m_Id == Id)
      return &Member;
  return nullptr;
}

std::size_t voterCount(const Membership &Members) {
  return static_cast<std::size_t>(
      std::count_if(Members.m_Members.begin(), Members.m_Members.end(),
                    [](const Member &Member) { return Member.m_Voter; }));
}

std::size_t quorumSize(const Membership &Members) {
  return voterCount(Members) / 2 + 1;
}

bool isVoter(const Membership &Members, const NodeId &Id) {
  const Member *Found = findMember(Members, Id);
  return Found != nullptr &&
         (Found->m_Voter || isMutationActive(Mutation::CountLearner));
}

bool hasListedIncarnation(const State &Self, const Message &Reply) {
  const Member *Found = findMember(Self.m_Membership, Reply.m_From);
  if (isMutationActive(Mutation::CountUnknownIncarnation))
    return Found != nullptr;
  return Found != nullptr && Found->m_Incarnation == Reply.m_FromIncarnation;
}

static bool isVotingDisk(const Membership &Members, const Options &Settings) {
  const Member *Found = findMember(Members, Settings.m_Self);
  return Found != nullptr && Found->m_Voter &&
         Found->m_Incarnation == Settings.m_Incarnation;
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

static bool isChangePending(const State &Self) {
  return Self.m_MembershipIndex > Self.m_CommitIndex ||
         Self.m_CommitIndex < Self.m_TermStart;
}

void changeMembership(StepContext &Context, const ChangeMembership &Request) {
  State &Self = Context.m_State;
  if (Self.m_Role != Role::Leader)
    return resolveProposal(Context, Request.m_Token, Verdict::NotLeader);
  if (!Self.m_TransferTo.empty())
    return resolveProposal(Context, Request.m_Token, Verdict::Transferring);
  if (isChangePending(Self))
    return resolveProposal(Context, Request.m_Token, Verdict::ChangeUnderWay);
  ChangeApplier Applier{Self, Self.m_Membership};
  if (!std::visit(Applier, Request.m_Change))
    return resolveProposal(Context, Request.m_Token, Verdict::ChangeNotAllowed);
  const Index Position = lastIndex(Self) + 1;
  if (Request.m_Token != 0)
    Self.m_PendingTokens[Position] = Request.m_Token;
  appendRecord(Context,
               {Position, Self.m_HardState.m_Term, RecordKind::Membership,
                encodeMembership(Applier.m_Next)});
  refreshProgress(Context);
  advanceCommit(Context);
  sendToAll(Context);
}

void promoteLearners(StepContext &Context) {
  const State &Self = Context.m_State;
  if (isChangePending(Self) || !Self.m_TransferTo.empty())
    return;
  for (const Member &Member : Self.m_Membership.m_Members)
    if (!Member.m_Voter && isCaughtUp(Self, Member.m_Id))
      return changeMembership(Context, {0, PromoteMember{Member.m_Id}});
}

} // namespace wasabivale::consensus
