#include "Internal.h"

#include <algorithm>

namespace wasabivale::consensus {

Index lastIndex(const State &Self) {
  return Self.m_BaseIndex + Self.m_Records.size();
}

Term lastTerm(const State &Self) {
  return Self.m_Records.empty() ? Self.m_BaseTerm
                                : Self.m_Records.back().m_Term;
}

std::optional<Term> termAt(const State &Self, Index At) {
  if (At == Self.m_BaseIndex)
    return Self.m_BaseTerm;
  if (At < Self.m_BaseIndex || At > lastIndex(Self))
    return std::nullopt;
  return recordAt(Self, At).m_Term;
}

const Record &recordAt(const State &Self, Index At) {
  WASABIVALE_INVARIANT(At > Self.m_BaseIndex && At <= lastIndex(Self));
  return Self.m_Records[At - Self.m_BaseIndex - 1];
}

/// \returns the newest membership record in (\p After, \p UpTo], or null.
static const Record *findMembershipRecord(const State &Self, Index After,
                                          Index UpTo) {
  for (Index At = UpTo; At > std::max(After, Self.m_BaseIndex); --At)
    if (const Record &Found = recordAt(Self, At);
        Found.m_Kind == RecordKind::Membership)
      return &Found;
  return nullptr;
}

static Membership membershipOf(const Record &From) {
  Result<Membership> Decoded = decodeMembership(From.m_Payload);
  WASABIVALE_INVARIANT(!failed(Decoded));
  return valueOf(Decoded);
}

Membership previousMembership(const State &Self) {
  const Index Covered = Self.m_Snapshot ? Self.m_Snapshot->m_Index : 0;
  if (Self.m_MembershipIndex <= Covered)
    return Self.m_Membership;
  const Record *Before =
      findMembershipRecord(Self, Covered, Self.m_MembershipIndex - 1);
  if (Before != nullptr)
    return membershipOf(*Before);
  return Self.m_Snapshot ? Self.m_Snapshot->m_Membership : Membership{};
}

void refreshMembership(State &Self) {
  const Index Covered = Self.m_Snapshot ? Self.m_Snapshot->m_Index : 0;
  const Record *Newest = findMembershipRecord(Self, Covered, lastIndex(Self));
  if (Newest != nullptr) {
    Self.m_Membership = membershipOf(*Newest);
    Self.m_MembershipIndex = Newest->m_Index;
    return;
  }
  Self.m_Membership =
      Self.m_Snapshot ? Self.m_Snapshot->m_Membership : Membership{};
  Self.m_MembershipIndex = Covered;
}

void appendRecord(Turn &In, Record Added) {
  State &Self = In.m_Self;
  WASABIVALE_INVARIANT(Added.m_Index == lastIndex(Self) + 1);
  WASABIVALE_INVARIANT(Added.m_Term >= lastTerm(Self));
  In.m_Actions.m_Persist.m_Records.push_back(Added);
  Self.m_Records.push_back(std::move(Added));
  if (Self.m_Records.back().m_Kind == RecordKind::Membership)
    refreshMembership(Self);
}

void truncateLog(Turn &In, Index From) {
  State &Self = In.m_Self;
  WASABIVALE_INVARIANT(From > Self.m_CommitIndex);
  WASABIVALE_INVARIANT(From > Self.m_BaseIndex);
  Self.m_Records.resize(From - Self.m_BaseIndex - 1);
  In.m_Actions.m_Persist.m_TruncateFrom = From;
  if (Self.m_MembershipIndex >= From)
    refreshMembership(Self);
}

void compactLog(Turn &In, Index To) {
  State &Self = In.m_Self;
  if (To <= Self.m_BaseIndex)
    return;
  WASABIVALE_INVARIANT(Self.m_Snapshot && To <= Self.m_Snapshot->m_Index);
  Self.m_BaseTerm = recordAt(Self, To).m_Term;
  const auto Count = static_cast<std::ptrdiff_t>(To - Self.m_BaseIndex);
  Self.m_Records.erase(Self.m_Records.begin(), Self.m_Records.begin() + Count);
  Self.m_BaseIndex = To;
  In.m_Actions.m_Persist.m_CompactTo = To;
}

/// \returns the last record that need not be kept behind a snapshot at \p End.
static Index lastToDrop(const State &Self, Index End) {
  const Limits &Bounds = Self.m_Options.m_Limits;
  std::size_t Bytes = 0;
  Index At = End;
  while (At > Self.m_BaseIndex && End - At < Bounds.m_TrailingRecords) {
    Bytes += recordAt(Self, At).m_Payload.size();
    if (Bytes > Bounds.m_TrailingBytes)
      break;
    --At;
  }
  return At;
}

void takeSnapshot(Turn &In, const SnapshotTaken &Taken) {
  State &Self = In.m_Self;
  const Index Covered = Self.m_Snapshot ? Self.m_Snapshot->m_Index : 0;
  if (Taken.m_Index <= Covered)
    return;
  WASABIVALE_INVARIANT(Taken.m_Index <= Self.m_AppliedIndex);
  auto Made = std::make_shared<Snapshot>();
  Made->m_Index = Taken.m_Index;
  Made->m_Term = recordAt(Self, Taken.m_Index).m_Term;
  Made->m_Data = Taken.m_Data;
  const Record *Newest = findMembershipRecord(Self, Covered, Taken.m_Index);
  if (Newest != nullptr)
    Made->m_Membership = membershipOf(*Newest);
  else if (Self.m_Snapshot)
    Made->m_Membership = Self.m_Snapshot->m_Membership;
  Self.m_Snapshot = std::move(Made);
  In.m_Actions.m_Persist.m_Snapshot = Self.m_Snapshot;
  compactLog(In, lastToDrop(Self, Taken.m_Index));
}

void installSnapshot(Turn &In, std::shared_ptr<const Snapshot> Installed) {
  State &Self = In.m_Self;
  const Index At = Installed->m_Index;
  const Term Of = Installed->m_Term;
  WASABIVALE_INVARIANT(At > Self.m_CommitIndex);
  const bool Continues = termAt(Self, At) == Of;
  Self.m_Snapshot = std::move(Installed);
  In.m_Actions.m_Persist.m_Snapshot = Self.m_Snapshot;
  In.m_Actions.m_Install = Self.m_Snapshot;
  if (!Continues) {
    Self.m_Records.clear();
    Self.m_BaseIndex = At;
    Self.m_BaseTerm = Of;
    In.m_Actions.m_Persist.m_DropLog = true;
  }
  Self.m_CommitIndex = At;
  Self.m_AppliedIndex = At;
  refreshMembership(Self);
}

void commitTo(Turn &In, Index To) {
  State &Self = In.m_Self;
  WASABIVALE_INVARIANT(To <= lastIndex(Self));
  if (To <= Self.m_CommitIndex)
    return;
  Self.m_CommitIndex = To;
  while (Self.m_AppliedIndex < Self.m_CommitIndex) {
    const Record &Next = recordAt(Self, Self.m_AppliedIndex + 1);
    WASABIVALE_INVARIANT(Next.m_Index == Self.m_AppliedIndex + 1);
    In.m_Actions.m_Committed.push_back(Next);
    ++Self.m_AppliedIndex;
    const auto Waiting = Self.m_Tokens.find(Next.m_Index);
    if (Waiting == Self.m_Tokens.end())
      continue;
    decide(In, Waiting->second, Verdict::Committed, Next.m_Index);
    Self.m_Tokens.erase(Waiting);
  }
  WASABIVALE_INVARIANT(Self.m_AppliedIndex <= Self.m_CommitIndex);
}

} // namespace wasabivale::consensus
