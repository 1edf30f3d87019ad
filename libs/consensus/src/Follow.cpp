#include "Internal.h"

#include <algorithm>

namespace wasabivale::consensus {

void recordLeader(StepContext &Context, const NodeId &Leader) {
  State &Self = Context.m_State;
  WASABIVALE_INVARIANT(Self.m_Role != Role::Leader);
  // A term has at most one leader.
  WASABIVALE_INVARIANT(Self.m_Role != Role::Follower || Self.m_Leader.empty() ||
                       Self.m_Leader == Leader);
  becomeFollower(Context, Self.m_HardState.m_Term, Leader);
  Self.m_NoVoteBefore =
      std::max(Self.m_NoVoteBefore,
               Context.m_Now + Self.m_Options.m_Timing.m_ElectionMin);
}

/// \returns the index that the leader should try next after a rejection.
static Index nextToTry(const State &Self, const AppendRequest &Request) {
  if (Request.m_PreviousIndex > lastIndex(Self))
    return lastIndex(Self) + 1;
  // Skip the whole conflicting term, but no committed record.
  const std::optional<Term> Conflict = termAt(Self, Request.m_PreviousIndex);
  Index Position = Request.m_PreviousIndex;
  while (Position > Self.m_CommitIndex + 1 &&
         termAt(Self, Position - 1) == Conflict)
    --Position;
  return std::max(Position, Self.m_CommitIndex + 1);
}

static void mergeRecord(StepContext &Context, const Record &Received) {
  State &Self = Context.m_State;
  const std::optional<Term> LocalTerm = termAt(Self, Received.m_Index);
  if (Received.m_Index <= Self.m_CommitIndex) {
    // Committed records never change.
    WASABIVALE_INVARIANT(!LocalTerm || *LocalTerm == Received.m_Term);
    return;
  }
  if (LocalTerm == Received.m_Term)
    return;
  if (LocalTerm) {
    if (isMutationActive(Mutation::KeepConflict))
      return;
    truncateLog(Context, Received.m_Index);
  }
  appendRecord(Context, Received);
}

void handleAppendRequest(StepContext &Context, const Message &Message,
                         const AppendRequest &Request) {
  State &Self = Context.m_State;
  recordLeader(Context, Message.m_From);
  const bool Matches =
      Request.m_PreviousIndex <= Self.m_CommitIndex ||
      termAt(Self, Request.m_PreviousIndex) == Request.m_PreviousTerm;
  if (!Matches)
    return reply(Context, Message,
                 AppendReply{false, nextToTry(Self, Request), Request.m_Round});
  // The leader's log contains every record that is committed here.
  Index Match = std::max(Request.m_PreviousIndex, Self.m_CommitIndex);
  for (const Record &Record : Request.m_Records) {
    mergeRecord(Context, Record);
    Match = std::max(Match, Record.m_Index);
  }
  if (isMutationActive(Mutation::AcknowledgeWithoutPersisting))
    Context.m_Actions.m_Persist.m_Records.clear();
  commitTo(Context, std::min(Request.m_CommitIndex, Match));
  reply(Context, Message, AppendReply{true, Match, Request.m_Round});
}

void handleSnapshotPart(StepContext &Context, const Message &Message,
                        const SnapshotPart &Part) {
  State &Self = Context.m_State;
  recordLeader(Context, Message.m_From);
  if (Part.m_LastIndex <= Self.m_CommitIndex)
    return reply(Context, Message,
                 SnapshotReply{Part.m_LastIndex, 0, true, Part.m_Round});
  IncomingSnapshot &Incoming = Self.m_IncomingSnapshot;
  if (Incoming.m_Index != Part.m_LastIndex ||
      Incoming.m_Term != Part.m_LastTerm)
    Incoming = {Part.m_LastIndex, Part.m_LastTerm, {}};
  if (Part.m_Offset != Incoming.m_Data.size())
    return reply(Context, Message,
                 SnapshotReply{Part.m_LastIndex, Incoming.m_Data.size(), false,
                               Part.m_Round});
  Incoming.m_Data += Part.m_Data;
  if (Part.m_Last) {
    auto Complete = std::make_shared<Snapshot>();
    Complete->m_Index = Part.m_LastIndex;
    Complete->m_Term = Part.m_LastTerm;
    Complete->m_Membership = Part.m_Membership;
    Complete->m_Data = std::move(Incoming.m_Data);
    Incoming = {};
    installSnapshot(Context, std::move(Complete));
  }
  reply(Context, Message,
        SnapshotReply{Part.m_LastIndex, Incoming.m_Data.size(), Part.m_Last,
                      Part.m_Round});
}

} // namespace wasabivale::consensus
