#include "Internal.h"

#include <fmt/format.h>

namespace wasabivale::consensus {

namespace {

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

bool isReply(const Message &Message) {
  return std::holds_alternative<VoteReply>(Message.m_Body) ||
         std::holds_alternative<AppendReply>(Message.m_Body) ||
         std::holds_alternative<SnapshotReply>(Message.m_Body);
}

bool isFromLeader(const Message &Message) {
  return std::holds_alternative<AppendRequest>(Message.m_Body) ||
         std::holds_alternative<SnapshotPart>(Message.m_Body) ||
         std::holds_alternative<TransferRequest>(Message.m_Body);
}

/// Whether this member adopts the higher term of the message.
bool raisesTerm(const State &Self, const Message &Message, TimePoint Now) {
  if (const auto *Request = std::get_if<VoteRequest>(&Message.m_Body))
    return !Request->m_PreVote &&
           (Request->m_Transfer || !mustWithholdVote(Self, Now));
  if (const auto *Reply = std::get_if<VoteReply>(&Message.m_Body))
    return !Reply->m_PreVote || !Reply->m_Granted;
  return true;
}

/// Rejects a message of an earlier term, so that its sender learns the current
/// term.
void rejectEarlierTerm(StepContext &Context, const Message &Message) {
  if (const auto *Request = std::get_if<VoteRequest>(&Message.m_Body))
    return reply(Context, Message, VoteReply{Request->m_PreVote, false});
  if (isFromLeader(Message))
    reply(Context, Message, AppendReply{});
}

/// Rejects messages addressed to another disk of this member.
/// \returns whether the message was rejected.
bool rejectOtherIncarnation(StepContext &Context, const Message &Message) {
  if (isReply(Message) ||
      Message.m_ToIncarnation == Context.m_State.m_Options.m_Incarnation)
    return false;
  if (isMutationActive(Mutation::CountUnknownIncarnation))
    return false;
  // The reply shows the sender the incarnation of the current disk.
  if (isFromLeader(Message))
    reply(Context, Message, AppendReply{});
  return true;
}

void handleTransferRequest(StepContext &Context, const Message &Message) {
  State &Self = Context.m_State;
  const bool IsFollowing =
      Self.m_Role == Role::Follower && Self.m_Leader == Message.m_From;
  if (IsFollowing && selfIsVoter(Self))
    startCampaign(Context, true);
}

void dispatch(StepContext &Context, const Message &Message) {
  std::visit(Overloaded{[&](const VoteRequest &Body) {
                          handleVoteRequest(Context, Message, Body);
                        },
                        [&](const VoteReply &Body) {
                          handleVoteReply(Context, Message, Body);
                        },
                        [&](const AppendRequest &Body) {
                          handleAppendRequest(Context, Message, Body);
                        },
                        [&](const AppendReply &Body) {
                          handleAppendReply(Context, Message, Body);
                        },
                        [&](const SnapshotPart &Body) {
                          handleSnapshotPart(Context, Message, Body);
                        },
                        [&](const SnapshotReply &Body) {
                          handleSnapshotReply(Context, Message, Body);
                        },
                        [&](const TransferRequest &) {
                          handleTransferRequest(Context, Message);
                        }},
             Message.m_Body);
}

void handleMessage(StepContext &Context, const Message &Message) {
  State &Self = Context.m_State;
  if (Message.m_To != Self.m_Options.m_Self ||
      Message.m_From == Self.m_Options.m_Self)
    return;
  if (isReply(Message) && !hasListedIncarnation(Self, Message)) {
    if (findMember(Self.m_Membership, Message.m_From) != nullptr)
      Self.m_UnknownIncarnations[Message.m_From] = Message.m_FromIncarnation;
    return;
  }
  if (rejectOtherIncarnation(Context, Message))
    return;
  if (Message.m_Term > Self.m_HardState.m_Term &&
      raisesTerm(Self, Message, Context.m_Now))
    becomeFollower(Context, Message.m_Term, {});
  if (Message.m_Term < Self.m_HardState.m_Term)
    return rejectEarlierTerm(Context, Message);
  dispatch(Context, Message);
}

void handleTick(StepContext &Context) {
  State &Self = Context.m_State;
  if (Self.m_Role == Role::Leader)
    return handleLeaderTick(Context);
  if (Context.m_Now >= Self.m_ElectionDeadline)
    startPreVote(Context);
}

} // namespace

void send(StepContext &Context, const NodeId &Receiver,
          const std::string &Incarnation, Term MessageTerm, Body Content) {
  const Options &Settings = Context.m_State.m_Options;
  Context.m_Actions.m_Messages.push_back(
      {Settings.m_Self, Settings.m_Incarnation, Receiver, Incarnation,
       MessageTerm, std::move(Content)});
}

void reply(StepContext &Context, const Message &Request, Body Content) {
  send(Context, Request.m_From, {}, Context.m_State.m_HardState.m_Term,
       std::move(Content));
}

void resolveProposal(StepContext &Context, std::uint64_t Token, Verdict Value,
                     Index Position) {
  if (Token != 0)
    Context.m_Actions.m_Decisions.push_back({Token, Value, Position});
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
  const bool IsOrdered = Value.m_Heartbeat > Duration::zero() &&
                         Value.m_Heartbeat < Value.m_Lease &&
                         Value.m_ElectionMin <= Value.m_ElectionMax;
  if (!IsOrdered)
    return Error{"consensus.check_timing", "",
                 "heartbeat must be positive and shorter than the lease, and "
                 "the shortest election timeout must not exceed the longest"};
  const Duration LongestLease = Value.m_Lease * (PerMille + ClockDriftPerMille);
  const Duration ShortestElection =
      Value.m_ElectionMin * (PerMille - ClockDriftPerMille);
  if (LongestLease >= ShortestElection)
    return Error{"consensus.check_timing", "",
                 fmt::format("the lease must be shorter than the shortest "
                             "election timeout by {} per mille of clock drift",
                             2 * ClockDriftPerMille)};
  return std::monostate{};
}

Record firstRecord(const Membership &Initial) {
  return {1, 1, RecordKind::Membership, encodeMembership(Initial)};
}

State start(Options Settings, PersistedState Stored, TimePoint Now,
            Random &Rng) {
  State Started;
  Started.m_Options = std::move(Settings);
  Started.m_HardState = Stored.m_HardState;
  Started.m_Snapshot = std::move(Stored.m_Snapshot);
  if (Started.m_Snapshot) {
    Started.m_BaseIndex = Started.m_Snapshot->m_Index;
    Started.m_BaseTerm = Started.m_Snapshot->m_Term;
    Started.m_CommitIndex = Started.m_Snapshot->m_Index;
    Started.m_AppliedIndex = Started.m_Snapshot->m_Index;
  }
  for (Record &Record : Stored.m_Records) {
    // Records that the snapshot covers are not needed for resending.
    if (Record.m_Index <= Started.m_BaseIndex)
      continue;
    WASABIVALE_INVARIANT(Record.m_Index == lastIndex(Started) + 1);
    Started.m_Records.push_back(std::move(Record));
  }
  WASABIVALE_INVARIANT(lastTerm(Started) <= Started.m_HardState.m_Term);
  reloadMembership(Started);
  StepContext Context{Started, Now, Rng, {}};
  resetElectionTimer(Context);
  Started.m_NoVoteBefore = Now + Started.m_Options.m_Timing.m_ElectionMin;
  return Started;
}

Actions step(State &Self, const Event &Input, TimePoint Now, Random &Rng) {
  StepContext Context{Self, Now, Rng, {}};
  const Index CommittedBefore = Self.m_CommitIndex;
  std::visit(Overloaded{[&](const Tick &) { handleTick(Context); },
                        [&](const Receive &Details) {
                          handleMessage(Context, Details.m_Message);
                        },
                        [&](const Propose &Details) {
                          handleProposals(Context, Details);
                        },
                        [&](const SnapshotTaken &Details) {
                          handleSnapshotTaken(Context, Details);
                        },
                        [&](const ChangeMembership &Details) {
                          changeMembership(Context, Details);
                        },
                        [&](const TransferLeadership &Details) {
                          startTransfer(Context, Details);
                        }},
             Input);
  WASABIVALE_INVARIANT(Self.m_CommitIndex >= CommittedBefore);
  WASABIVALE_INVARIANT(Self.m_AppliedIndex <= Self.m_CommitIndex);
  return std::move(Context.m_Actions);
}

#if WASABIVALE_MUTATIONS
static Mutation ActiveMutation = Mutation::None;
void setMutation(Mutation Value) { ActiveMutation = Value; }
bool isMutationActive(Mutation Fault) { return ActiveMutation == Fault; }
#endif

} // namespace wasabivale::consensus
