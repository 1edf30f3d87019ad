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

std::optional<Term> termAt(const State &Self, Index Position) {
  if (Position == Self.m_BaseIndex)
    return Self.m_BaseTerm;
  if (Position < Self.m_BaseIndex || Position > lastIndex(Self))
    return std::nullopt;
  return recordAt(Self, Position).m_Term;
}

const Record &recordAt(const State &Self, Index Position) {
  WASABIVALE_INVARIANT(Position > Self.m_BaseIndex &&
                       Position <= lastIndex(Self));
  return Self.m_Records[Position - Self.m_BaseIndex - 1];
}

/// \returns the newest membership record in (\p After, \p Last], or null.
static const Record *findMembershipRecord(const State &Self, Index After,
                                          Index Last) {
  for (Index Position = Last; Position > std::max(After, Self.m_BaseIndex);
       --Position)
    if (const Record &Found = recordAt(Self, Position);
        Found.m_Kind == RecordKind::Membership)
      return &Found;
  return nullptr;
}

static Membership membershipFrom(const Record &Source) {
  Result<Membership> Decoded = decodeMembership(Source.m_Payload);
  WASABIVALE_INVARIANT(!failed(Decoded));
  return valueOf(Decoded);
}

Membership previousMembership(const State &Self) {
  const Index Covered = Self.m_Snapshot ? Self.m_Snapshot->m_Index : 0;
  if (Self.m_MembershipIndex <= Covered)
    return Self.m_Membership;
  const Record *Previous =
      findMembershipRecord(Self, Covered, Self.m_MembershipIndex - 1);
  if (Previous != nullptr)
    return membershipFrom(*Previous);
  return Self.m_Snapshot ? Self.m_Snapshot->m_Membership : Membership{};
}

void reloadMembership(State &Self) {
  const Index Covered = Self.m_Snapshot ? Self.m_Snapshot->m_Index : 0;
  const Record *Newest = findMembershipRecord(Self, Covered, lastIndex(Self));
  if (Newest != nullptr) {
    Self.m_Membership = membershipFrom(*Newest);
    Self.m_MembershipIndex = Newest->m_Index;
    return;
  }
  Self.m_Membership =
      Self.m_Snapshot ? Self.m_Snapshot->m_Membership : Membership{};
  Self.m_MembershipIndex = Covered;
}

void appendRecord(StepContext &Context, Record NewRecord) {
  State &Self = Context.m_State;
  WASABIVALE_INVARIANT(NewRecord.m_Index == lastIndex(Self) + 1);
  WASABIVALE_INVARIANT(NewRecord.m_Term >= lastTerm(Self));
  Context.m_Actions.m_Persist.m_Records.push_back(NewRecord);
  Self.m_Records.push_back(std::move(NewRecord));
  if (Self.m_Records.back().m_Kind == RecordKind::Membership)
    reloadMembership(Self);
}

void truncateLog(StepContext &Context, Index First) {
  State &Self = Context.m_State;
  WASABIVALE_INVARIANT(First > Self.m_CommitIndex);
  WASABIVALE_INVARIANT(First > Self.m_BaseIndex);
  Self.m_Records.resize(First - Self.m_BaseIndex - 1);
  Context.m_Actions.m_Persist.m_TruncateFrom = First;
  if (Self.m_MembershipIndex >= First)
    reloadMembership(Self);
}

void compactLog(StepContext &Context, Index Last) {
  State &Self = Context.m_State;
  if (Last <= Self.m_BaseIndex)
    return;
  WASABIVALE_INVARIANT(Self.m_Snapshot && Last <= Self.m_Snapshot->m_Index);
  Self.m_BaseTerm = recordAt(Self, Last).m_Term;
  const auto Count = static_cast<std::ptrdiff_t>(Last - Self.m_BaseIndex);
  Self.m_Records.erase(Self.m_Records.begin(), Self.m_Records.begin() + Count);
  Self.m_BaseIndex = Last;
  Context.m_Actions.m_Persist.m_CompactTo = Last;
}

/// \returns the last record that can be removed given a snapshot that ends at
/// \p End.
static Index lastToCompact(const State &Self, Index End) {
  const Limits &Settings = Self.m_Options.m_Limits;
  std::size_t Bytes = 0;
  Index Last = End;
  while (Last > Self.m_BaseIndex && End - Last < Settings.m_TrailingRecords) {
    Bytes += recordAt(Self, Last).m_Payload.size();
    if (Bytes > Settings.m_TrailingBytes)
      break;
    --Last;
  }
  return Last;
}

void handleSnapshotTaken(StepContext &Context, const SnapshotTaken &Taken) {
  State &Self = Context.m_State;
  const Index Covered = Self.m_Snapshot ? Self.m_Snapshot->m_Index : 0;
  if (Taken.m_Index <= Covered)
    return;
  WASABIVALE_INVARIANT(Taken.m_Index <= Self.m_AppliedIndex);
  auto NewSnapshot = std::make_shared<Snapshot>();
  NewSnapshot->m_Index = Taken.m_Index;
  NewSnapshot->m_Term = recordAt(Self, Taken.m_Index).m_Term;
  NewSnapshot->m_Data = Taken.m_Data;
  const Record *Newest = findMembershipRecord(Self, Covered, Taken.m_Index);
  if (Newest != nullptr)
    NewSnapshot->m_Membership = membershipFrom(*Newest);
  else if (Self.m_Snapshot)
    NewSnapshot->m_Membership = Self.m_Snapshot->m_Membership;
  Self.m_Snapshot = std::move(NewSnapshot);
  Context.m_Actions.m_Persist.m_Snapshot = Self.m_Snapshot;
  compactLog(Context, lastToCompact(Self, Taken.m_Index));
}

void installSnapshot(StepContext &Context,
                     std::shared_ptr<const Snapshot> Received) {
  State &Self = Context.m_State;
  const Index LastIndex = Received->m_Index;
  const Term LastTerm = Received->m_Term;
  WASABIVALE_INVARIANT(LastIndex > Self.m_CommitIndex);
  const bool KeepsRecords = termAt(Self, LastIndex) == LastTerm;
  Self.m_Snapshot = std::move(Received);
  Context.m_Actions.m_Persist.m_Snapshot = Self.m_Snapshot;
  Context.m_Actions.m_Install = Self.m_Snapshot;
  if (!KeepsRecords) {
    Self.m_Records.clear();
    Self.m_BaseIndex = LastIndex;
    Self.m_BaseTerm = LastTerm;
    Context.m_Actions.m_Persist.m_DropLog = true;
  }
  Self.m_CommitIndex = LastIndex;
  Self.m_AppliedIndex = LastIndex;
  reloadMembership(Self);
}

void commitTo(StepContext &Context, Index Position) {
  State &Self = Context.m_State;
  WASABIVALE_INVARIANT(Position <= lastIndex(Self));
  if (Position <= Self.m_CommitIndex)
    return;
  Self.m_CommitIndex = Position;
  while (Self.m_AppliedIndex < Self.m_CommitIndex) {
    const Record &Record = recordAt(Self, Self.m_AppliedIndex + 1);
    WASABIVALE_INVARIANT(Record.m_Index == Self.m_AppliedIndex + 1);
    Context.m_Actions.m_Committed.push_back(Record);
    ++Self.m_AppliedIndex;
    const auto Pending = Self.m_PendingTokens.find(Record.m_Index);
    if (Pending == Self.m_PendingTokens.end())
      continue;
    resolveProposal(Context, Pending->second, Verdict::Committed,
                    Record.m_Index);
    Self.m_PendingTokens.erase(Pending);
  }
  WASABIVALE_INVARIANT(Self.m_AppliedIndex <= Self.m_CommitIndex);
}

} // namespace wasabivale::consensus
