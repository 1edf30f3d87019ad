#include "consensus/consensus.h"

namespace wasabivale::consensus {

namespace {

wire::Membership toWire(const Membership &Value) {
  wire::Membership Made;
  for (const Member &Each : Value.m_Members) {
    wire::Member &Added = *Made.add_members();
    Added.set_id(Each.m_Id.m_Value);
    Added.set_disk_incarnation(Each.m_Incarnation);
    Added.set_voter(Each.m_Voter);
    Added.set_address(Each.m_Address);
    Added.set_region(Each.m_Region.m_Value);
    Added.set_zone(Each.m_Zone.m_Value);
  }
  return Made;
}

Membership fromWire(const wire::Membership &Value) {
  Membership Made;
  for (const wire::Member &Each : Value.members())
    Made.m_Members.push_back({{Each.id()},
                              Each.disk_incarnation(),
                              Each.voter(),
                              Each.address(),
                              {Each.region()},
                              {Each.zone()}});
  return Made;
}

RecordKind kindFrom(std::uint32_t Number) {
  switch (Number) {
  case static_cast<std::uint32_t>(RecordKind::Command):
    return RecordKind::Command;
  case static_cast<std::uint32_t>(RecordKind::Membership):
    return RecordKind::Membership;
  default:
    return RecordKind::Empty;
  }
}

struct Writer {
  wire::ConsensusMessage &m_Into;

  void operator()(const VoteRequest &Body) const {
    auto &Made = *m_Into.mutable_vote_request();
    Made.set_pre_vote(Body.m_PreVote);
    Made.set_last_index(Body.m_LastIndex);
    Made.set_last_term(Body.m_LastTerm);
    Made.set_leadership_transfer(Body.m_Transfer);
  }
  void operator()(const VoteReply &Body) const {
    auto &Made = *m_Into.mutable_vote_reply();
    Made.set_pre_vote(Body.m_PreVote);
    Made.set_granted(Body.m_Granted);
  }
  void operator()(const AppendRequest &Body) const {
    auto &Made = *m_Into.mutable_append_request();
    Made.set_previous_index(Body.m_PreviousIndex);
    Made.set_previous_term(Body.m_PreviousTerm);
    Made.set_commit_index(Body.m_CommitIndex);
    Made.set_round(Body.m_Round);
    for (const Record &Each : Body.m_Records) {
      wire::LogRecord &Added = *Made.add_records();
      Added.set_index(Each.m_Index);
      Added.set_term(Each.m_Term);
      Added.set_kind(static_cast<std::uint32_t>(Each.m_Kind));
      Added.set_payload(Each.m_Payload);
    }
  }
  void operator()(const AppendReply &Body) const {
    auto &Made = *m_Into.mutable_append_reply();
    Made.set_accepted(Body.m_Accepted);
    Made.set_match_index(Body.m_MatchIndex);
    Made.set_round(Body.m_Round);
  }
  void operator()(const SnapshotPart &Body) const {
    auto &Made = *m_Into.mutable_snapshot_part();
    Made.set_last_index(Body.m_LastIndex);
    Made.set_last_term(Body.m_LastTerm);
    Made.set_offset(Body.m_Offset);
    Made.set_data(Body.m_Data);
    Made.set_last(Body.m_Last);
    *Made.mutable_membership() = toWire(Body.m_Membership);
    Made.set_round(Body.m_Round);
  }
  void operator()(const SnapshotReply &Body) const {
    auto &Made = *m_Into.mutable_snapshot_reply();
    Made.set_last_index(Body.m_LastIndex);
    Made.set_next_offset(Body.m_NextOffset);
    Made.set_installed(Body.m_Installed);
    Made.set_round(Body.m_Round);
  }
  void operator()(const TransferRequest &) const {
    m_Into.mutable_transfer_leadership();
  }
};

AppendRequest readAppend(const wire::AppendRequest &From) {
  AppendRequest Made{From.previous_index(),
                     From.previous_term(),
                     From.commit_index(),
                     From.round(),
                     {}};
  for (const wire::LogRecord &Each : From.records())
    Made.m_Records.push_back(
        {Each.index(), Each.term(), kindFrom(Each.kind()), Each.payload()});
  return Made;
}

/// Whether the records follow the request's position without a gap, as every
/// sender of this system makes them.
bool isWellFormed(const AppendRequest &Read) {
  Index Expected = Read.m_PreviousIndex;
  Term Least = Read.m_PreviousTerm;
  for (const Record &Each : Read.m_Records) {
    if (Each.m_Index != ++Expected || Each.m_Term < Least)
      return false;
    Least = Each.m_Term;
  }
  return true;
}

SnapshotPart readPart(const wire::SnapshotPart &From) {
  return {From.last_index(), From.last_term(), From.offset(),
          From.data(),       From.last(),      fromWire(From.membership()),
          From.round()};
}

} // namespace

std::string encodeMembership(const Membership &Value) {
  return toWire(Value).SerializeAsString();
}

Result<Membership> decodeMembership(const std::string &Bytes) {
  wire::Membership Read;
  if (!Read.ParseFromString(Bytes))
    return Error{"consensus.decode_membership", "", "malformed"};
  return fromWire(Read);
}

wire::ConsensusMessage toWire(const Message &Value) {
  wire::ConsensusMessage Made;
  Made.set_term(Value.m_Term);
  Made.set_disk_incarnation(Value.m_FromIncarnation);
  Made.set_receiver_incarnation(Value.m_ToIncarnation);
  std::visit(Writer{Made}, Value.m_Body);
  return Made;
}

Result<Message> fromWire(const NodeId &From, const NodeId &To,
                         const wire::ConsensusMessage &Value) {
  Message Made{From,         Value.disk_incarnation(),
               To,           Value.receiver_incarnation(),
               Value.term(), {}};
  const Error Malformed{"consensus.receive", From.m_Value, "malformed message"};
  switch (Value.body_case()) {
  case wire::ConsensusMessage::kVoteRequest: {
    const auto &Read = Value.vote_request();
    Made.m_Body = VoteRequest{Read.pre_vote(), Read.last_index(),
                              Read.last_term(), Read.leadership_transfer()};
    return Made;
  }
  case wire::ConsensusMessage::kVoteReply:
    Made.m_Body =
        VoteReply{Value.vote_reply().pre_vote(), Value.vote_reply().granted()};
    return Made;
  case wire::ConsensusMessage::kAppendRequest: {
    AppendRequest Read = readAppend(Value.append_request());
    if (!isWellFormed(Read))
      return Malformed;
    Made.m_Body = std::move(Read);
    return Made;
  }
  case wire::ConsensusMessage::kAppendReply: {
    const auto &Read = Value.append_reply();
    Made.m_Body =
        AppendReply{Read.accepted(), Read.match_index(), Read.round()};
    return Made;
  }
  case wire::ConsensusMessage::kSnapshotPart:
    Made.m_Body = readPart(Value.snapshot_part());
    return Made;
  case wire::ConsensusMessage::kSnapshotReply: {
    const auto &Read = Value.snapshot_reply();
    Made.m_Body = SnapshotReply{Read.last_index(), Read.next_offset(),
                                Read.installed(), Read.round()};
    return Made;
  }
  case wire::ConsensusMessage::kTransferLeadership:
    Made.m_Body = TransferRequest{};
    return Made;
  default:
    return Malformed;
  }
}

} // namespace wasabivale::consensus
