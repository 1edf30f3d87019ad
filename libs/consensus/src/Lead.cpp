#include "Internal.h"

#include <algorithm>
#include <functional>

namespace wasabivale::consensus {

namespace {

/// Rounds without a reply after which records are sent again.
constexpr std::uint64_t RoundsUntilResend = 2;
/// Rounds whose send times are remembered.
constexpr std::size_t RememberedRounds = 64;

bool hasMore(const State &Self, const Progress &To) {
  return !To.m_InFlight && !To.m_LostData && To.m_Next <= lastIndex(Self);
}

AppendRequest requestFrom(const State &Self, Index Previous) {
  AppendRequest Made;
  const std::optional<Term> At = termAt(Self, Previous);
  // Zero is committed everywhere, so it fits every log.
  Made.m_PreviousIndex = At ? Previous : 0;
  Made.m_PreviousTerm = At.value_or(0);
  Made.m_CommitIndex = Self.m_CommitIndex;
  Made.m_Round = Self.m_Round;
  return Made;
}

std::vector<Record> recordsFrom(const State &Self, Index First) {
  const Limits &Bounds = Self.m_Options.m_Limits;
  std::vector<Record> Taken;
  std::size_t Bytes = 0;
  for (Index At = First; At <= lastIndex(Self); ++At) {
    const Record &Next = recordAt(Self, At);
    Bytes += Next.m_Payload.size();
    if (!Taken.empty() && (Bytes > Bounds.m_MessageBytes ||
                           Taken.size() >= Bounds.m_MessageRecords))
      break;
    Taken.push_back(Next);
  }
  return Taken;
}

void sendPart(Turn &In, const NodeId &To, Progress &Peer) {
  const State &Self = In.m_Self;
  const Snapshot &From = *Self.m_Snapshot;
  if (Peer.m_SnapshotIndex != From.m_Index) {
    Peer.m_SnapshotIndex = From.m_Index;
    Peer.m_SnapshotOffset = 0;
  }
  SnapshotPart Part;
  Part.m_LastIndex = From.m_Index;
  Part.m_LastTerm = From.m_Term;
  Part.m_Offset =
      std::min<std::uint64_t>(Peer.m_SnapshotOffset, From.m_Data.size());
  Part.m_Data = From.m_Data.substr(Part.m_Offset,
                                   Self.m_Options.m_Limits.m_SnapshotPartBytes);
  Part.m_Last = Part.m_Offset + Part.m_Data.size() == From.m_Data.size();
  Part.m_Membership = From.m_Membership;
  Part.m_Round = Self.m_Round;
  Peer.m_InFlight = true;
  Peer.m_SentRound = Self.m_Round;
  Peer.m_SentLast = 0;
  send(In, To, Peer.m_Incarnation, Self.m_HardState.m_Term, std::move(Part));
}

void sendRecords(Turn &In, const NodeId &To, Progress &Peer) {
  const State &Self = In.m_Self;
  AppendRequest Made = requestFrom(Self, Peer.m_Next - 1);
  if (!Peer.m_LostData)
    Made.m_Records = recordsFrom(Self, Peer.m_Next);
  if (!Made.m_Records.empty()) {
    Peer.m_InFlight = true;
    Peer.m_SentRound = Self.m_Round;
    Peer.m_SentLast = Made.m_Records.back().m_Index;
  }
  send(In, To, Peer.m_Incarnation, Self.m_HardState.m_Term, std::move(Made));
}

void sendHeartbeat(Turn &In, const NodeId &To, Progress &Peer) {
  const State &Self = In.m_Self;
  if (Peer.m_InFlight && Peer.m_SentRound + RoundsUntilResend <= Self.m_Round)
    Peer.m_InFlight = false;
  if (!Peer.m_InFlight)
    return sendNext(In, To);
  send(In, To, Peer.m_Incarnation, Self.m_HardState.m_Term,
       requestFrom(Self, Peer.m_Match));
}

/// Notes a sign of life that echoes a round.
void noteEcho(Turn &In, Progress &Peer, std::uint64_t Round) {
  Peer.m_HeardAt = In.m_Now;
  for (const SentRound &Each : In.m_Self.m_SentRounds) {
    if (Each.m_Round != Round)
      continue;
    const TimePoint At =
        mutated(Mutation::LeaseFromReceiveTime) ? In.m_Now : Each.m_SentAt;
    Peer.m_EchoedSentAt =
        Peer.m_Echoed ? std::max(Peer.m_EchoedSentAt, At) : At;
    Peer.m_Echoed = true;
  }
}

void noteMatch(Turn &In, Progress &Peer, Index Match) {
  if (Match > Peer.m_Match) {
    Peer.m_Match = Match;
    Peer.m_MatchRound = In.m_Self.m_Round;
  }
  Peer.m_Next = std::max(Peer.m_Next, Peer.m_Match + 1);
}

void refuseProposals(Turn &In, const Propose &Wanted, Verdict Why) {
  for (const Proposal &Each : Wanted.m_Proposals)
    decide(In, Each.m_Token, Why);
}

/// Tells the chosen member to campaign, once it has the whole log.
void finishTransfer(Turn &In) {
  State &Self = In.m_Self;
  const auto Found = Self.m_Progress.find(Self.m_TransferTo);
  if (Self.m_TransferTo.empty() || Self.m_LeaseReleased ||
      Found == Self.m_Progress.end() ||
      Found->second.m_Match != lastIndex(Self))
    return;
  Self.m_LeaseReleased = !mutated(Mutation::KeepLeaseInTransfer);
  send(In, Self.m_TransferTo, Found->second.m_Incarnation,
       Self.m_HardState.m_Term, TransferRequest{});
}

bool hasLostQuorum(const State &Self, TimePoint Now) {
  const TimePoint Oldest = Now - Self.m_Options.m_Timing.m_ElectionMax;
  std::size_t Heard = 0;
  for (const Member &Each : Self.m_Membership.m_Members) {
    const auto Found = Self.m_Progress.find(Each.m_Id);
    const bool Recent =
        Each.m_Id == Self.m_Options.m_Self ||
        (Found != Self.m_Progress.end() && Found->second.m_HeardAt >= Oldest);
    Heard += isVoter(Self.m_Membership, Each.m_Id) && Recent ? 1 : 0;
  }
  return Heard < quorumSize(Self.m_Membership);
}

} // namespace

void refreshProgress(Turn &In) {
  State &Self = In.m_Self;
  std::map<NodeId, Progress> Next;
  for (const Member &Each : Self.m_Membership.m_Members) {
    if (Each.m_Id == Self.m_Options.m_Self)
      continue;
    const auto Known = Self.m_Progress.find(Each.m_Id);
    if (Known != Self.m_Progress.end() &&
        Known->second.m_Incarnation == Each.m_Incarnation) {
      Next[Each.m_Id] = Known->second;
      continue;
    }
    Progress &Fresh = Next[Each.m_Id];
    Fresh.m_Incarnation = Each.m_Incarnation;
    Fresh.m_Next = lastIndex(Self) + 1;
    Fresh.m_HeardAt = In.m_Now;
    const auto Stranger = Self.m_UnknownIncarnations.find(Each.m_Id);
    if (Stranger != Self.m_UnknownIncarnations.end() &&
        Stranger->second == Each.m_Incarnation)
      Self.m_UnknownIncarnations.erase(Stranger);
  }
  Self.m_Progress = std::move(Next);
}

void becomeLeader(Turn &In) {
  State &Self = In.m_Self;
  WASABIVALE_INVARIANT(Self.m_Role == Role::Candidate);
  WASABIVALE_INVARIANT(Self.m_Leader.empty());
  Self.m_Role = Role::Leader;
  Self.m_Leader = Self.m_Options.m_Self;
  Self.m_LeaderSince = In.m_Now;
  Self.m_LeaseReleased = false;
  Self.m_TransferTo = {};
  Self.m_Progress.clear();
  Self.m_SentRounds.clear();
  refreshProgress(In);
  Self.m_TermStart = lastIndex(Self) + 1;
  In.m_Actions.m_Leadership.push_back(Leadership::Gained);
  appendRecord(
      In, {Self.m_TermStart, Self.m_HardState.m_Term, RecordKind::Empty, {}});
  advanceCommit(In);
  sendHeartbeats(In);
}

void sendNext(Turn &In, const NodeId &To) {
  const State &Self = In.m_Self;
  const auto Found = In.m_Self.m_Progress.find(To);
  WASABIVALE_INVARIANT(Found != In.m_Self.m_Progress.end());
  Progress &Peer = Found->second;
  const bool InLog = termAt(Self, Peer.m_Next - 1).has_value();
  if (InLog || Peer.m_LostData)
    return sendRecords(In, To, Peer);
  WASABIVALE_INVARIANT(Self.m_Snapshot != nullptr);
  sendPart(In, To, Peer);
}

void sendToAll(Turn &In) {
  for (const auto &[To, Peer] : In.m_Self.m_Progress)
    if (hasMore(In.m_Self, Peer))
      sendNext(In, To);
}

void sendHeartbeats(Turn &In) {
  State &Self = In.m_Self;
  ++Self.m_Round;
  Self.m_SentRounds.push_back({Self.m_Round, In.m_Now});
  if (Self.m_SentRounds.size() > RememberedRounds)
    Self.m_SentRounds.pop_front();
  Self.m_HeartbeatAt = In.m_Now + Self.m_Options.m_Timing.m_Heartbeat;
  for (auto &[To, Peer] : Self.m_Progress)
    sendHeartbeat(In, To, Peer);
}

void takeAppendReply(Turn &In, const Message &From, const AppendReply &Reply) {
  State &Self = In.m_Self;
  const auto Found = Self.m_Progress.find(From.m_From);
  if (Self.m_Role != Role::Leader || Found == Self.m_Progress.end())
    return;
  Progress &Peer = Found->second;
  if (Peer.m_LostData)
    return;
  if (Reply.m_Accepted) {
    if (Reply.m_MatchIndex > lastIndex(Self))
      return;
    noteEcho(In, Peer, Reply.m_Round);
    noteMatch(In, Peer, Reply.m_MatchIndex);
    Peer.m_InFlight = Peer.m_InFlight &&
                      (Peer.m_SentLast == 0 || Peer.m_Match < Peer.m_SentLast);
    advanceCommit(In);
    if (Self.m_Role != Role::Leader)
      return;
    finishTransfer(In);
  } else {
    if (Reply.m_MatchIndex <= Peer.m_Match &&
        Reply.m_Round > Peer.m_MatchRound) {
      Peer.m_LostData = true;
      return;
    }
    noteEcho(In, Peer, Reply.m_Round);
    Peer.m_InFlight = false;
    Peer.m_Next =
        std::max(Peer.m_Match + 1, std::min(Peer.m_Next, Reply.m_MatchIndex));
  }
  if (hasMore(Self, Peer))
    sendNext(In, From.m_From);
}

void takeSnapshotReply(Turn &In, const Message &From,
                       const SnapshotReply &Reply) {
  State &Self = In.m_Self;
  const auto Found = Self.m_Progress.find(From.m_From);
  if (Self.m_Role != Role::Leader || Found == Self.m_Progress.end())
    return;
  Progress &Peer = Found->second;
  if (Peer.m_LostData)
    return;
  noteEcho(In, Peer, Reply.m_Round);
  if (Reply.m_LastIndex != Peer.m_SnapshotIndex)
    return;
  Peer.m_InFlight = false;
  if (Reply.m_Installed) {
    noteMatch(In, Peer, Reply.m_LastIndex);
    Peer.m_SnapshotIndex = 0;
    advanceCommit(In);
  } else {
    Peer.m_SnapshotOffset = Reply.m_NextOffset;
  }
  if (Self.m_Role == Role::Leader && hasMore(Self, Peer))
    sendNext(In, From.m_From);
}

void advanceCommit(Turn &In) {
  State &Self = In.m_Self;
  std::vector<Index> Matches;
  for (const Member &Each : Self.m_Membership.m_Members) {
    if (!isVoter(Self.m_Membership, Each.m_Id))
      continue;
    const bool IsSelf = Each.m_Id == Self.m_Options.m_Self;
    Matches.push_back(IsSelf ? lastIndex(Self)
                             : Self.m_Progress[Each.m_Id].m_Match);
  }
  if (Matches.empty())
    return;
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  const Index Held = Matches[Matches.size() / 2];
  if (Held <= Self.m_CommitIndex)
    return;
  // A record of an earlier term is committed only by one of this term.
  const bool OwnTerm = termAt(Self, Held) == Self.m_HardState.m_Term;
  if (!OwnTerm && !mutated(Mutation::CommitEarlierTerm))
    return;
  commitTo(In, Held);
  if (Self.m_MembershipIndex <= Self.m_CommitIndex && !selfIsVoter(Self))
    becomeFollower(In, Self.m_HardState.m_Term, {});
}

void takeProposals(Turn &In, const Propose &Wanted) {
  State &Self = In.m_Self;
  if (Self.m_Role != Role::Leader)
    return refuseProposals(In, Wanted, Verdict::NotLeader);
  if (!Self.m_TransferTo.empty())
    return refuseProposals(In, Wanted, Verdict::Transferring);
  const std::size_t Waiting = lastIndex(Self) - Self.m_CommitIndex;
  if (Waiting + Wanted.m_Proposals.size() >
      Self.m_Options.m_Limits.m_UncommittedRecords)
    return refuseProposals(In, Wanted, Verdict::Busy);
  for (const Proposal &Each : Wanted.m_Proposals) {
    if (Each.m_Payload.size() > Self.m_Options.m_Limits.m_PayloadBytes) {
      decide(In, Each.m_Token, Verdict::TooLarge);
      continue;
    }
    const Index At = lastIndex(Self) + 1;
    Self.m_Tokens[At] = Each.m_Token;
    appendRecord(
        In, {At, Self.m_HardState.m_Term, RecordKind::Command, Each.m_Payload});
  }
  advanceCommit(In);
  sendToAll(In);
}

std::optional<TimePoint> quorumEcho(const State &Self, TimePoint Now) {
  std::vector<TimePoint> Echoes;
  for (const Member &Each : Self.m_Membership.m_Members) {
    if (!isVoter(Self.m_Membership, Each.m_Id))
      continue;
    const auto Found = Self.m_Progress.find(Each.m_Id);
    if (Each.m_Id == Self.m_Options.m_Self)
      Echoes.push_back(Now);
    else if (Found != Self.m_Progress.end() && Found->second.m_Echoed)
      Echoes.push_back(Found->second.m_EchoedSentAt);
  }
  const std::size_t Wanted = quorumSize(Self.m_Membership);
  if (Echoes.size() < Wanted)
    return std::nullopt;
  std::sort(Echoes.begin(), Echoes.end(), std::greater<>());
  return Echoes[Wanted - 1];
}

TimePoint leaseEnd(const State &Self, TimePoint Now) {
  if (Self.m_Role != Role::Leader || Self.m_LeaseReleased ||
      Self.m_CommitIndex < Self.m_TermStart)
    return {};
  const std::optional<TimePoint> Echo = quorumEcho(Self, Now);
  if (!Echo)
    return {};
  return *Echo + Self.m_Options.m_Timing.m_Lease;
}

bool holdsLease(const State &Self, TimePoint Now) {
  return Now < leaseEnd(Self, Now);
}

void startTransfer(Turn &In, const TransferLeadership &Wanted) {
  State &Self = In.m_Self;
  if (Self.m_Role != Role::Leader || !Self.m_TransferTo.empty())
    return;
  NodeId Best = Wanted.m_To;
  Index BestMatch = 0;
  for (const auto &[Id, Peer] : Self.m_Progress) {
    if (!Wanted.m_To.empty() || Peer.m_LostData ||
        !isVoter(Self.m_Membership, Id) || Peer.m_Match < BestMatch)
      continue;
    Best = Id;
    BestMatch = Peer.m_Match;
  }
  if (!isVoter(Self.m_Membership, Best) || Best == Self.m_Options.m_Self)
    return;
  Self.m_TransferTo = Best;
  Self.m_TransferUntil = In.m_Now + Self.m_Options.m_Timing.m_ElectionMin;
  sendToAll(In);
  finishTransfer(In);
}

void tickLeader(Turn &In) {
  State &Self = In.m_Self;
  if (hasLostQuorum(Self, In.m_Now))
    return becomeFollower(In, Self.m_HardState.m_Term, {});
  if (!Self.m_TransferTo.empty() && In.m_Now >= Self.m_TransferUntil) {
    // The one that was asked may still win this term's successor: a lease
    // that has been given up does not come back.
    if (Self.m_LeaseReleased)
      return becomeFollower(In, Self.m_HardState.m_Term, {});
    Self.m_TransferTo = {};
  }
  promoteLearners(In);
  if (In.m_Now >= Self.m_HeartbeatAt)
    sendHeartbeats(In);
}

} // namespace wasabivale::consensus
