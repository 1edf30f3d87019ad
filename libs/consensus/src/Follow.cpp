#include "Internal.h"

#include <algorithm>

namespace wasabivale::consensus {

void hearLeader(Turn &In, const NodeId &Leader) {
  State &Self = In.m_Self;
  WASABIVALE_INVARIANT(Self.m_Role != Role::Leader);
  // One leader in a term, as far as this member can see.
  WASABIVALE_INVARIANT(Self.m_Role != Role::Follower || Self.m_Leader.empty() ||
                       Self.m_Leader == Leader);
  becomeFollower(In, Self.m_HardState.m_Term, Leader);
  Self.m_NoVoteBefore = std::max(
      Self.m_NoVoteBefore, In.m_Now + Self.m_Options.m_Timing.m_ElectionMin);
}

/// Where the leader should try next after a refusal.
static Index nextToTry(const State &Self, const AppendRequest &Asked) {
  if (Asked.m_PreviousIndex > lastIndex(Self))
    return lastIndex(Self) + 1;
  // Skip the whole conflicting term, but nothing that is committed.
  const std::optional<Term> Conflict = termAt(Self, Asked.m_PreviousIndex);
  Index At = Asked.m_PreviousIndex;
  while (At > Self.m_CommitIndex + 1 && termAt(Self, At - 1) == Conflict)
    --At;
  return std::max(At, Self.m_CommitIndex + 1);
}

static void takeRecord(Turn &In, const Record &Offered) {
  State &Self = In.m_Self;
  const std::optional<Term> Own = termAt(Self, Offered.m_Index);
  if (Offered.m_Index <= Self.m_CommitIndex) {
    // Committed records never change.
    WASABIVALE_INVARIANT(!Own || *Own == Offered.m_Term);
    return;
  }
  if (Own == Offered.m_Term)
    return;
  if (Own) {
    if (mutated(Mutation::KeepConflict))
      return;
    truncateLog(In, Offered.m_Index);
  }
  appendRecord(In, Offered);
}

void takeAppendRequest(Turn &In, const Message &From,
                       const AppendRequest &Asked) {
  State &Self = In.m_Self;
  hearLeader(In, From.m_From);
  const bool Matches =
      Asked.m_PreviousIndex <= Self.m_CommitIndex ||
      termAt(Self, Asked.m_PreviousIndex) == Asked.m_PreviousTerm;
  if (!Matches)
    return reply(In, From,
                 AppendReply{false, nextToTry(Self, Asked), Asked.m_Round});
  // What is committed here is the leader's as well.
  Index Match = std::max(Asked.m_PreviousIndex, Self.m_CommitIndex);
  for (const Record &Each : Asked.m_Records) {
    takeRecord(In, Each);
    Match = std::max(Match, Each.m_Index);
  }
  if (mutated(Mutation::AcknowledgeWithoutPersisting))
    In.m_Actions.m_Persist.m_Records.clear();
  commitTo(In, std::min(Asked.m_CommitIndex, Match));
  reply(In, From, AppendReply{true, Match, Asked.m_Round});
}

void takeSnapshotPart(Turn &In, const Message &From, const SnapshotPart &Part) {
  State &Self = In.m_Self;
  hearLeader(In, From.m_From);
  if (Part.m_LastIndex <= Self.m_CommitIndex)
    return reply(In, From,
                 SnapshotReply{Part.m_LastIndex, 0, true, Part.m_Round});
  IncomingSnapshot &Into = Self.m_Incoming;
  if (Into.m_Index != Part.m_LastIndex || Into.m_Term != Part.m_LastTerm)
    Into = {Part.m_LastIndex, Part.m_LastTerm, {}};
  if (Part.m_Offset != Into.m_Data.size())
    return reply(In, From,
                 SnapshotReply{Part.m_LastIndex, Into.m_Data.size(), false,
                               Part.m_Round});
  Into.m_Data += Part.m_Data;
  if (Part.m_Last) {
    auto Whole = std::make_shared<Snapshot>();
    Whole->m_Index = Part.m_LastIndex;
    Whole->m_Term = Part.m_LastTerm;
    Whole->m_Membership = Part.m_Membership;
    Whole->m_Data = std::move(Into.m_Data);
    Into = {};
    installSnapshot(In, std::move(Whole));
  }
  reply(In, From,
        SnapshotReply{Part.m_LastIndex, Into.m_Data.size(), Part.m_Last,
                      Part.m_Round});
}

} // namespace wasabivale::consensus
