#include "Internal.h"

#include <fmt/format.h>

namespace wasabivale::consensus {

namespace {

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

bool isReply(const Message &From) {
  return std::holds_alternative<VoteReply>(From.m_Body) ||
         std::holds_alternative<AppendReply>(From.m_Body) ||
         std::holds_alternative<SnapshotReply>(From.m_Body);
}

bool isFromLeader(const Message &From) {
  return std::holds_alternative<AppendRequest>(From.m_Body) ||
         std::holds_alternative<SnapshotPart>(From.m_Body) ||
         std::holds_alternative<TransferRequest>(From.m_Body);
}

/// Whether a higher term in the message moves this member to that term.
bool raisesTerm(const State &Self, const Message &From, TimePoint Now) {
  if (const auto *Asked = std::get_if<VoteRequest>(&From.m_Body))
    return !Asked->m_PreVote &&
           (Asked->m_Transfer || !promisedNoVote(Self, Now));
  if (const auto *Reply = std::get_if<VoteReply>(&From.m_Body))
    return !Reply->m_PreVote || !Reply->m_Granted;
  return true;
}

/// Answers an earlier term, so that its sender learns of this one.
void refuseEarlierTerm(Turn &In, const Message &From) {
  if (const auto *Asked = std::get_if<VoteRequest>(&From.m_Body))
    return reply(In, From, VoteReply{Asked->m_PreVote, false});
  if (isFromLeader(From))
    reply(In, From, AppendReply{});
}

/// \returns whether the message was for another disk of this member.
bool refuseOtherIncarnation(Turn &In, const Message &From) {
  if (isReply(From) ||
      From.m_ToIncarnation == In.m_Self.m_Options.m_Incarnation)
    return false;
  if (mutated(Mutation::CountUnknownIncarnation))
    return false;
  // The sender sees by this reply that the disk is another one.
  if (isFromLeader(From))
    reply(In, From, AppendReply{});
  return true;
}

void takeTransferRequest(Turn &In, const Message &From) {
  State &Self = In.m_Self;
  const bool Follows =
      Self.m_Role == Role::Follower && Self.m_Leader == From.m_From;
  if (Follows && selfIsVoter(Self))
    startCampaign(In, true);
}

void takeBody(Turn &In, const Message &From) {
  std::visit(
      Overloaded{
          [&](const VoteRequest &Body) { takeVoteRequest(In, From, Body); },
          [&](const VoteReply &Body) { takeVoteReply(In, From, Body); },
          [&](const AppendRequest &Body) { takeAppendRequest(In, From, Body); },
          [&](const AppendReply &Body) { takeAppendReply(In, From, Body); },
          [&](const SnapshotPart &Body) { takeSnapshotPart(In, From, Body); },
          [&](const SnapshotReply &Body) { takeSnapshotReply(In, From, Body); },
          [&](const TransferRequest &) { takeTransferRequest(In, From); }},
      From.m_Body);
}

void receive(Turn &In, const Message &From) {
  State &Self = In.m_Self;
  if (From.m_To != Self.m_Options.m_Self ||
      From.m_From == Self.m_Options.m_Self)
    return;
  if (isReply(From) && !isKnown(Self, From)) {
    if (findMember(Self.m_Membership, From.m_From) != nullptr)
      Self.m_UnknownIncarnations[From.m_From] = From.m_FromIncarnation;
    return;
  }
  if (refuseOtherIncarnation(In, From))
    return;
  if (From.m_Term > Self.m_HardState.m_Term && raisesTerm(Self, From, In.m_Now))
    becomeFollower(In, From.m_Term, {});
  if (From.m_Term < Self.m_HardState.m_Term)
    return refuseEarlierTerm(In, From);
  takeBody(In, From);
}

void tick(Turn &In) {
  State &Self = In.m_Self;
  if (Self.m_Role == Role::Leader)
    return tickLeader(In);
  if (In.m_Now >= Self.m_ElectionAt)
    startPreVote(In);
}

} // namespace

void send(Turn &In, const NodeId &To, const std::string &ToIncarnation, Term At,
          Body Content) {
  const Options &Own = In.m_Self.m_Options;
  In.m_Actions.m_Messages.push_back({Own.m_Self, Own.m_Incarnation, To,
                                     ToIncarnation, At, std::move(Content)});
}

void reply(Turn &In, const Message &To, Body Content) {
  send(In, To.m_From, {}, In.m_Self.m_HardState.m_Term, std::move(Content));
}

void decide(Turn &In, std::uint64_t Token, Verdict Value, Index At) {
  if (Token != 0)
    In.m_Actions.m_Decisions.push_back({Token, Value, At});
}

std::string_view verdictName(Verdict Value) {
  switch (Value) {
  case Verdict::Committed:
    return "committed";
  case Verdict::NotLeader:
    return "not_leader";
  case Verdict::Transferring:
    return "transferring";
  case Verdict::Busy:
    return "busy";
  case Verdict::TooLarge:
    return "too_large";
  case Verdict::ChangeUnderWay:
    return "change_under_way";
  case Verdict::ChangeNotAllowed:
    return "change_not_allowed";
  case Verdict::Lost:
    return "lost";
  }
  return "lost";
}

Status checkTiming(const Timing &Value) {
  constexpr int PerMille = 1000;
  const bool Ordered = Value.m_Heartbeat > Duration::zero() &&
                       Value.m_Heartbeat < Value.m_Lease &&
                       Value.m_ElectionMin <= Value.m_ElectionMax;
  if (!Ordered)
    return Error{"consensus.check_timing", "",
                 "heartbeat < lease and shortest <= longest election timeout "
                 "are wanted"};
  const Duration Slowest = Value.m_Lease * (PerMille + ClockDriftPerMille);
  const Duration Fastest =
      Value.m_ElectionMin * (PerMille - ClockDriftPerMille);
  if (Slowest >= Fastest)
    return Error{"consensus.check_timing", "",
                 fmt::format("the lease is not shorter than the shortest "
                             "election timeout by {} per mille of drift",
                             2 * ClockDriftPerMille)};
  return std::monostate{};
}

Record firstRecord(const Membership &Initial) {
  return {1, 1, RecordKind::Membership, encodeMembership(Initial)};
}

State start(Options With, PersistedState From, TimePoint Now, Random &Rng) {
  State Made;
  Made.m_Options = std::move(With);
  Made.m_HardState = From.m_HardState;
  Made.m_Snapshot = std::move(From.m_Snapshot);
  if (Made.m_Snapshot) {
    Made.m_BaseIndex = Made.m_Snapshot->m_Index;
    Made.m_BaseTerm = Made.m_Snapshot->m_Term;
    Made.m_CommitIndex = Made.m_Snapshot->m_Index;
    Made.m_AppliedIndex = Made.m_Snapshot->m_Index;
  }
  for (Record &Each : From.m_Records) {
    // Records behind the snapshot's end need not be sent again from here.
    if (Each.m_Index <= Made.m_BaseIndex)
      continue;
    WASABIVALE_INVARIANT(Each.m_Index == lastIndex(Made) + 1);
    Made.m_Records.push_back(std::move(Each));
  }
  WASABIVALE_INVARIANT(lastTerm(Made) <= Made.m_HardState.m_Term);
  refreshMembership(Made);
  Turn In{Made, Now, Rng, {}};
  resetElection(In);
  Made.m_NoVoteBefore = Now + Made.m_Options.m_Timing.m_ElectionMin;
  return Made;
}

Actions step(State &Self, const Event &Happened, TimePoint Now, Random &Rng) {
  Turn In{Self, Now, Rng, {}};
  const Index CommittedBefore = Self.m_CommitIndex;
  std::visit(
      Overloaded{
          [&](const Tick &) { tick(In); },
          [&](const Receive &What) { receive(In, What.m_Message); },
          [&](const Propose &What) { takeProposals(In, What); },
          [&](const SnapshotTaken &What) { takeSnapshot(In, What); },
          [&](const ChangeMembership &What) { changeMembership(In, What); },
          [&](const TransferLeadership &What) { startTransfer(In, What); }},
      Happened);
  WASABIVALE_INVARIANT(Self.m_CommitIndex >= CommittedBefore);
  WASABIVALE_INVARIANT(Self.m_AppliedIndex <= Self.m_CommitIndex);
  return std::move(In.m_Actions);
}

#if WASABIVALE_MUTATIONS
static Mutation Active = Mutation::None;
void setMutation(Mutation Value) { Active = Value; }
bool mutated(Mutation Which) { return Active == Which; }
#endif

} // namespace wasabivale::consensus
