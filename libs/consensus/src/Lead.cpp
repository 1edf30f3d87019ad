#include "Internal.h"

#include <algorithm>
#include <functional>

namespace wasabivale::consensus {

namespace {

/// Heartbeat rounds without a reply after which records are resent.
constexpr std::uint64_t ResendRounds = 2;
/// Number of heartbeat rounds whose send times are kept.
constexpr std::size_t MaxSentRounds = 64;

bool canSendRecords(const State &Self, const Progress &Peer) {
  return !Peer.m_InFlight && !Peer.m_LostData && Peer.m_Next <= lastIndex(Self);
}

AppendRequest makeAppendRequest(const State &Self, Index Previous) {
  AppendRequest Request;
  const std::optional<Term> PreviousTerm = termAt(Self, Previous);
  // Index zero precedes every log and therefore always matches.
  Request.m_PreviousIndex = PreviousTerm ? Previous : 0;
  Request.m_PreviousTerm = PreviousTerm.value_or(0);
  Request.m_CommitIndex = Self.m_CommitIndex;
  Request.m_Round = Self.m_Round;
  return Request;
}

std::vector<Record> collectRecords(const State &Self, Index First) {
  const Limits &Settings = Self.m_Options.m_Limits;
  std::vector<Record> Records;
  std::size_t Bytes = 0;
  for (Index Position = First; Position <= lastIndex(Self); ++Position) {
    const Record &Record = recordAt(Self, Position);
    Bytes += Record.m_Payload.size();
    if (!Records.empty() && (Bytes > Settings.m_MessageBytes ||
                             Records.size() >= Settings.m_MessageRecords))
      break;
    Records.push_back(Record);
  }
  return Records;
}

void sendSnapshotPart(StepContext &Context, const NodeId &Receiver,
                      Progress &Peer) {
  const State &Self = Context.m_State;
  const Snapshot &Source = *Self.m_Snapshot;
  if (Peer.m_SnapshotIndex != Source.m_Index) {
    Peer.m_SnapshotIndex = Source.m_Index;
    Peer.m_SnapshotOffset = 0;
  }
  SnapshotPart Part;
  Part.m_LastIndex = Source.m_Index;
  Part.m_LastTerm = Source.m_Term;
  Part.m_Offset =
      std::min<std::uint64_t>(Peer.m_SnapshotOffset, Source.m_Data.size());
  Part.m_Data = Source.m_Data.substr(
      Part.m_Offset, Self.m_Options.m_Limits.m_SnapshotPartBytes);
  Part.m_Last = Part.m_Offset + Part.m_Data.size() == Source.m_Data.size();
  Part.m_Membership = Source.m_Membership;
  Part.m_Round = Self.m_Round;
  Peer.m_InFlight = true;
  Peer.m_SentRound = Self.m_Round;
  Peer.m_SentLast = 0;
  send(Context, Receiver, Peer.m_Incarnation, Self.m_HardState.m_Term,
       std::move(Part));
}

void sendRecords(StepContext &Context, const NodeId &Receiver, Progress &Peer) {
  const State &Self = Context.m_State;
  AppendRequest Request = makeAppendRequest(Self, Peer.m_Next - 1);
  if (!Peer.m_LostData)
    Request.m_Records = collectRecords(Self, Peer.m_Next);
  if (!Request.m_Records.empty()) {
    Peer.m_InFlight = true;
    Peer.m_SentRound = Self.m_Round;
    Peer.m_SentLast = Request.m_Records.back().m_Index;
  }
  send(Context, Receiver, Peer.m_Incarnation, Self.m_HardState.m_Term,
       std::move(Request));
}

void sendHeartbeat(StepContext &Context, const NodeId &Receiver,
                   Progress &Peer) {
  const State &Self = Context.m_State;
  if (Peer.m_InFlight && Peer.m_SentRound + ResendRounds <= Self.m_Round)
    Peer.m_InFlight = false;
  if (!Peer.m_InFlight)
    return sendNext(Context, Receiver);
  send(Context, Receiver, Peer.m_Incarnation, Self.m_HardState.m_Term,
       makeAppendRequest(Self, Peer.m_Match));
}

/// Records a reply of a member, which echoes a heartbeat round.
void recordEcho(StepContext &Context, Progress &Peer, std::uint64_t Round) {
  Peer.m_HeardAt = Context.m_Now;
  for (const SentRound &Sent : Context.m_State.m_SentRounds) {
    if (Sent.m_Round != Round)
      continue;
    const TimePoint EchoedAt = isMutationActive(Mutation::LeaseFromReceiveTime)
                                   ? Context.m_Now
                                   : Sent.m_SentAt;
    Peer.m_EchoedSentAt =
        Peer.m_Echoed ? std::max(Peer.m_EchoedSentAt, EchoedAt) : EchoedAt;
    Peer.m_Echoed = true;
  }
}

void recordMatch(StepContext &Context, Progress &Peer, Index Match) {
  if (Match > Peer.m_Match) {
    Peer.m_Match = Match;
    Peer.m_MatchRound = Context.m_State.m_Round;
  }
  Peer.m_Next = std::max(Peer.m_Next, Peer.m_Match + 1);
}

void rejectProposals(StepContext &Context, const Propose &Batch,
                     Verdict Reason) {
  for (const Proposal &Proposal : Batch.m_Proposals)
    resolveProposal(Context, Proposal.m_Token, Reason);
}

/// Asks the selected member to campaign once it has the complete log.
void finishTransfer(StepContext &Context) {
  State &Self = Context.m_State;
  const auto Found = Self.m_Progress.find(Self.m_TransferTo);
  if (Self.m_TransferTo.empty() || Self.m_LeaseReleased ||
      Found == Self.m_Progress.end() ||
      Found->second.m_Match != lastIndex(Self))
    return;
  Self.m_LeaseReleased = !isMutationActive(Mutation::KeepLeaseInTransfer);
  send(Context, Self.m_TransferTo, Found->second.m_Incarnation,
       Self.m_HardState.m_Term, TransferRequest{});
}

bool hasLostQuorum(const State &Self, TimePoint Now) {
  const TimePoint OldestReply = Now - Self.m_Options.m_Timing.m_ElectionMax;
  std::size_t Responding = 0;
  for (const Member &Member : Self.m_Membership.m_Members) {
    const auto Found = Self.m_Progress.find(Member.m_Id);
    const bool IsRecent = Member.m_Id == Self.m_Options.m_Self ||
                          (Found != Self.m_Progress.end() &&
                           Found->second.m_HeardAt >= OldestReply);
    Responding += isVoter(Self.m_Membership, Member.m_Id) && IsRecent ? 1 : 0;
  }
  return Responding < quorumSize(Self.m_Membership);
}

} // namespace

void refreshProgress(StepContext &Context) {
  State &Self = Context.m_State;
  std::map<NodeId, Progress> Updated;
  for (const Member &Member : Self.m_Membership.m_Members) {
    if (Member.m_Id == Self.m_Options.m_Self)
      continue;
    const auto Existing = Self.m_Progress.find(Member.m_Id);
    if (Existing != Self.m_Progress.end() &&
        Existing->second.m_Incarnation == Member.m_Incarnation) {
      Updated[Member.m_Id] = Existing->second;
      continue;
    }
    Progress &Added = Updated[Member.m_Id];
    Added.m_Incarnation = Member.m_Incarnation;
    Added.m_Next = lastIndex(Self) + 1;
    Added.m_HeardAt = Context.m_Now;
    const auto Unknown = Self.m_UnknownIncarnations.find(Member.m_Id);
    if (Unknown != Self.m_UnknownIncarnations.end() &&
        Unknown->second == Member.m_Incarnation)
      Self.m_UnknownIncarnations.erase(Unknown);
  }
  Self.m_Progress = std::move(Updated);
}

void becomeLeader(StepContext &Context) {
  State &Self = Context.m_State;
  WASABIVALE_INVARIANT(Self.m_Role == Role::Candidate);
  WASABIVALE_INVARIANT(Self.m_Leader.empty());
  Self.m_Role = Role::Leader;
  Self.m_Leader = Self.m_Options.m_Self;
  Self.m_LeaderSince = Context.m_Now;
  Self.m_LeaseReleased = false;
  Self.m_TransferTo = {};
  Self.m_Progress.clear();
  Self.m_SentRounds.clear();
  refreshProgress(Context);
  Self.m_TermStart = lastIndex(Self) + 1;
  Context.m_Actions.m_Leadership.push_back(Leadership::Gained);
  appendRecord(
      Context,
      {Self.m_TermStart, Self.m_HardState.m_Term, RecordKind::Empty, {}});
  advanceCommit(Context);
  sendHeartbeats(Context);
}

void sendNext(StepContext &Context, const NodeId &Receiver) {
  const State &Self = Context.m_State;
  const auto Found = Context.m_State.m_Progress.find(Receiver);
  WASABIVALE_INVARIANT(Found != Context.m_State.m_Progress.end());
  Progress &Peer = Found->second;
  const bool InLog = termAt(Self, Peer.m_Next - 1).has_value();
  if (InLog || Peer.m_LostData)
    return sendRecords(Context, Receiver, Peer);
  WASABIVALE_INVARIANT(Self.m_Snapshot != nullptr);
  sendSnapshotPart(Context, Receiver, Peer);
}

void sendToAll(StepContext &Context) {
  for (const auto &[Receiver, Peer] : Context.m_State.m_Progress)
    if (canSendRecords(Context.m_State, Peer))
      sendNext(Context, Receiver);
}

void sendHeartbeats(StepContext &Context) {
  State &Self = Context.m_State;
  ++Self.m_Round;
  Self.m_SentRounds.push_back({Self.m_Round, Context.m_Now});
  if (Self.m_SentRounds.size() > MaxSentRounds)
    Self.m_SentRounds.pop_front();
  Self.m_NextHeartbeatAt = Context.m_Now + Self.m_Options.m_Timing.m_Heartbeat;
  for (auto &[Receiver, Peer] : Self.m_Progress)
    sendHeartbeat(Context, Receiver, Peer);
}

void handleAppendReply(StepContext &Context, const Message &Message,
                       const AppendReply &Reply) {
  State &Self = Context.m_State;
  const auto Found = Self.m_Progress.find(Message.m_From);
  if (Self.m_Role != Role::Leader || Found == Self.m_Progress.end())
    return;
  Progress &Peer = Found->second;
  if (Peer.m_LostData)
    return;
  if (Reply.m_Accepted) {
    if (Reply.m_MatchIndex > lastIndex(Self))
      return;
    recordEcho(Context, Peer, Reply.m_Round);
    recordMatch(Context, Peer, Reply.m_MatchIndex);
    Peer.m_InFlight = Peer.m_InFlight &&
                      (Peer.m_SentLast == 0 || Peer.m_Match < Peer.m_SentLast);
    advanceCommit(Context);
    if (Self.m_Role != Role::Leader)
      return;
    finishTransfer(Context);
  } else {
    if (Reply.m_MatchIndex <= Peer.m_Match &&
        Reply.m_Round > Peer.m_MatchRound) {
      Peer.m_LostData = true;
      return;
    }
    recordEcho(Context, Peer, Reply.m_Round);
    Peer.m_InFlight = false;
    Peer.m_Next =
        std::max(Peer.m_Match + 1, std::min(Peer.m_Next, Reply.m_MatchIndex));
  }
  if (canSendRecords(Self, Peer))
    sendNext(Context, Message.m_From);
}

void handleSnapshotReply(StepContext &Context, const Message &Message,
                         const SnapshotReply &Reply) {
  State &Self = Context.m_State;
  const auto Found = Self.m_Progress.find(Message.m_From);
  if (Self.m_Role != Role::Leader || Found == Self.m_Progress.end())
    return;
  Progress &Peer = Found->second;
  if (Peer.m_LostData)
    return;
  recordEcho(Context, Peer, Reply.m_Round);
  if (Reply.m_LastIndex != Peer.m_SnapshotIndex)
    return;
  Peer.m_InFlight = false;
  if (Reply.m_Installed) {
    recordMatch(Context, Peer, Reply.m_LastIndex);
    Peer.m_SnapshotIndex = 0;
    advanceCommit(Context);
  } else {
    Peer.m_SnapshotOffset = Reply.m_NextOffset;
  }
  if (Self.m_Role == Role::Leader && canSendRecords(Self, Peer))
    sendNext(Context, Message.m_From);
}

void advanceCommit(StepContext &Context) {
  State &Self = Context.m_State;
  std::vector<Index> Matches;
  for (const Member &Member : Self.m_Membership.m_Members) {
    if (!isVoter(Self.m_Membership, Member.m_Id))
      continue;
    const bool IsSelf = Member.m_Id == Self.m_Options.m_Self;
    Matches.push_back(IsSelf ? lastIndex(Self)
                             : Self.m_Progress[Member.m_Id].m_Match);
  }
  if (Matches.empty())
    return;
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  const Index QuorumMatch = Matches[Matches.size() / 2];
  if (QuorumMatch <= Self.m_CommitIndex)
    return;
  // A record of an earlier term is committed only indirectly, by a later record
  // of the current term.
  const bool IsCurrentTerm =
      termAt(Self, QuorumMatch) == Self.m_HardState.m_Term;
  if (!IsCurrentTerm && !isMutationActive(Mutation::CommitEarlierTerm))
    return;
  commitTo(Context, QuorumMatch);
  if (Self.m_MembershipIndex <= Self.m_CommitIndex && !selfIsVoter(Self))
    becomeFollower(Context, Self.m_HardState.m_Term, {});
}

void handleProposals(StepContext &Context, const Propose &Batch) {
  State &Self = Context.m_State;
  if (Self.m_Role != Role::Leader)
    return rejectProposals(Context, Batch, Verdict::NotLeader);
  if (!Self.m_TransferTo.empty())
    return rejectProposals(Context, Batch, Verdict::Transferring);
  const std::size_t Uncommitted = lastIndex(Self) - Self.m_CommitIndex;
  if (Uncommitted + Batch.m_Proposals.size() >
      Self.m_Options.m_Limits.m_UncommittedRecords)
    return rejectProposals(Context, Batch, Verdict::Busy);
  for (const Proposal &Proposal : Batch.m_Proposals) {
    if (Proposal.m_Payload.size() > Self.m_Options.m_Limits.m_PayloadBytes) {
      resolveProposal(Context, Proposal.m_Token, Verdict::TooLarge);
      continue;
    }
    const Index Position = lastIndex(Self) + 1;
    Self.m_PendingTokens[Position] = Proposal.m_Token;
    appendRecord(Context, {Position, Self.m_HardState.m_Term,
                           RecordKind::Command, Proposal.m_Payload});
  }
  advanceCommit(Context);
  sendToAll(Context);
}

std::optional<TimePoint> quorumEchoTime(const State &Self, TimePoint Now) {
  std::vector<TimePoint> Echoes;
  for (const Member &Member : Self.m_Membership.m_Members) {
    if (!isVoter(Self.m_Membership, Member.m_Id))
      continue;
    const auto Found = Self.m_Progress.find(Member.m_Id);
    if (Member.m_Id == Self.m_Options.m_Self)
      Echoes.push_back(Now);
    else if (Found != Self.m_Progress.end() && Found->second.m_Echoed)
      Echoes.push_back(Found->second.m_EchoedSentAt);
  }
  const std::size_t Quorum = quorumSize(Self.m_Membership);
  if (Echoes.size() < Quorum)
    return std::nullopt;
  std::sort(Echoes.begin(), Echoes.end(), std::greater<>());
  return Echoes[Quorum - 1];
}

TimePoint leaseEnd(const State &Self, TimePoint Now) {
  if (Self.m_Role != Role::Leader || Self.m_LeaseReleased ||
      Self.m_CommitIndex < Self.m_TermStart)
    return {};
  const std::optional<TimePoint> Echo = quorumEchoTime(Self, Now);
  if (!Echo)
    return {};
  return *Echo + Self.m_Options.m_Timing.m_Lease;
}

bool holdsLease(const State &Self, TimePoint Now) {
  return Now < leaseEnd(Self, Now);
}

void startTransfer(StepContext &Context, const TransferLeadership &Request) {
  State &Self = Context.m_State;
  if (Self.m_Role != Role::Leader || !Self.m_TransferTo.empty())
    return;
  NodeId Best = Request.m_To;
  Index BestMatch = 0;
  for (const auto &[Id, Peer] : Self.m_Progress) {
    if (!Request.m_To.empty() || Peer.m_LostData ||
        !isVoter(Self.m_Membership, Id) || Peer.m_Match < BestMatch)
      continue;
    Best = Id;
    BestMatch = Peer.m_Match;
  }
  if (!isVoter(Self.m_Membership, Best) || Best == Self.m_Options.m_Self)
    return;
  Self.m_TransferTo = Best;
  Self.m_TransferDeadline =
      Context.m_Now + Self.m_Options.m_Timing.m_ElectionMin;
  sendToAll(Context);
  finishTransfer(Context);
}

void handleLeaderTick(StepContext &Context) {
  State &Self = Context.m_State;
  if (hasLostQuorum(Self, Context.m_Now))
    return becomeFollower(Context, Self.m_HardState.m_Term, {});
  if (!Self.m_TransferTo.empty() && Context.m_Now >= Self.m_TransferDeadline) {
    // The selected member may still win the next term, so a released lease
    // cannot be reclaimed.
    if (Self.m_LeaseReleased)
      return becomeFollower(Context, Self.m_HardState.m_Term, {});
    Self.m_TransferTo = {};
  }
  promoteLearners(Context);
  if (Context.m_Now >= Self.m_NextHeartbeatAt)
    sendHeartbeats(Context);
}

} // namespace wasabivale::consensus
