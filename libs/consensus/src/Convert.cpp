#include "consensus/consensus.h"

namespace wasabivale::consensus {

namespace {

wire::Membership toWire(const Membership &Value) {
  wire::Membership Wire;
  for (const Member &Member : Value.m_Members) {
    wire::Member &Added = *Wire.add_members();
    Added.set_id(Member.m_Id.m_Value);
    Added.set_disk_incarnation(Member.m_Incarnation);
    Added.set_voter(Member.m_Voter);
    Added.set_address(Member.m_Address);
    Added.set_region(Member.m_Region.m_Value);
    Added.set_zone(Member.m_Zone.m_Value);
  }
  return Wire;
}

Membership fromWire(const wire::Membership &Value) {
  Membership Decoded;
  for (const wire::Member &Member : Value.members())
    Decoded.m_Members.push_back({{Member.id()},
                                 Member.disk_incarnation(),
                                 Member.voter(),
                                 Member.address(),
                                 {Member.region()},
                                 {Member.zone()}});
  return Decoded;
}

RecordKind recordKind(std::uint32_t Number) {
  switch (Number) {
  case static_cast<std::uint32_t>(RecordKind::Command):
    return RecordKind::Command;
  case static_cast<std::uint32_t>(RecordKind::Membership):
    return RecordKind::Membership;
  default:
    return RecordKind::Empty;
  }
}

struct WireWriter {
  wire::ConsensusMessage &m_Message;

  void operator()(const VoteRequest &Body) const {
    auto &Wire = *m_Message.mutable_vote_request();
    Wire.set_pre_vote(Body.m_PreVote);
    Wire.set_last_index(Body.m_LastIndex);
    Wire.set_last_term(Body.m_LastTerm);
    Wire.set_leadership_transfer(Body.m_Transfer);
  }
  void operator()(const VoteReply &Body) const {
    auto &Wire = *m_Message.mutable_vote_reply();
    Wire.set_pre_vote(Body.m_PreVote);
    Wire.set_granted(Body.m_Granted);
  }
  void operator()(const AppendRequest &Body) const {
    auto &Wire = *m_Message.mutable_append_request();
    Wire.set_previous_index(Body.m_PreviousIndex);
    Wire.set_previous_term(Body.m_PreviousTerm);
    Wire.set_commit_index(Body.m_CommitIndex);
    Wire.set_round(Body.m_Round);
    for (const Record &Record : Body.m_Records) {
      wire::LogRecord &Added = *Wire.add_records();
      Added.set_index(Record.m_Index);
      Added.set_term(Record.m_Term);
      Added.set_kind(static_cast<std::uint32_t>(Record.m_Kind));
      Added.set_payload(Record.m_Payload);
    }
  }
  void operator()(const AppendReply &Body) const {
    auto &Wire = *m_Message.mutable_append_reply();
    Wire.set_accepted(Body.m_Accepted);
    Wire.set_match_index(Body.m_MatchIndex);
    Wire.set_round(Body.m_Round);
  }
  void operator()(const SnapshotPart &Body) const {
    auto &Wire = *m_Message.mutable_snapshot_part();
    Wire.set_last_index(Body.m_LastIndex);
    Wire.set_last_term(Body.m_LastTerm);
    Wire.set_offset(Body.m_Offset);
    Wire.set_data(Body.m_Data);
    Wire.set_last(Body.m_Last);
    *Wire.mutable_membership() = toWire(Body.m_Membership);
    Wire.set_round(Body.m_Round);
  }
  void operator()(const SnapshotReply &Body) const {
    auto &Wire = *m_Message.mutable_snapshot_reply();
    Wire.set_last_index(Body.m_LastIndex);
    Wire.set_next_offset(Body.m_NextOffset);
    Wire.set_installed(Body.m_Installed);
    Wire.set_round(Body.m_Round);
  }
  void operator()(const TransferRequest &) const {
    m_Message.mutable_transfer_leadership();
  }
};

AppendRequest readAppendRequest(const wire::AppendRequest &Wire) {
  AppendRequest Request{Wire.previous_index(),
                        Wire.previous_term(),
                        Wire.commit_index(),
                        Wire.round(),
                        {}};
  for (const wire::LogRecord &Record : Wire.records())
    Request.m_Records.push_back({Record.index(), Record.term(),
                                 recordKind(Record.kind()), Record.payload()});
  return Request;
}

/// Whether the records are contiguous after `m_PreviousIndex` and their terms
/// never decrease, as every sender guarantees.
bool isWellFormed(const AppendRequest &Request) {
  Index Expected = Request.m_PreviousIndex;
  Term MinTerm = Request.m_PreviousTerm;
  for (const Record &Record : Request.m_Records) {
    if (Record.m_Index != ++Expected || Record.m_Term < MinTerm)
      return false;
    MinTerm = Record.m_Term;
  }
  return true;
}

SnapshotPart readSnapshotPart(const wire::SnapshotPart &Wire) {
  return {Wire.last_index(), Wire.last_term(), Wire.offset(),
          Wire.data(),       Wire.last(),      fromWire(Wire.membership()),
          Wire.round()};
}

} // namespace

std::string encodeMembership(const Membership &Value) {
  return toWire(Value).SerializeAsString();
}

Result<Membership> decodeMembership(const std::string &Bytes) {
  wire::Membership Wire;
  if (!Wire.ParseFromString(Bytes))
    return Error{"consensus.decode_membership", "", "malformed"};
  return fromWire(Wire);
}

wire::ConsensusMessage toWire(const Message &Value) {
  wire::ConsensusMessage Wire;
  Wire.set_term(Value.m_Term);
  Wire.set_disk_incarnation(Value.m_FromIncarnation);
  Wire.set_receiver_incarnation(Value.m_ToIncarnation);
  std::visit(WireWriter{Wire}, Value.m_Body);
  return Wire;
}

Result<Message> fromWire(const NodeId &Sender, const NodeId &Receiver,
                         const wire::ConsensusMessage &Value) {
  Message Message{Sender,       Value.disk_incarnation(),
                  Receiver,     Value.receiver_incarnation(),
                  Value.term(), {}};
  const Error Malformed{"consensus.receive", Sender.m_Value,
                        "malformed message"};
  switch (Value.body_case()) {
  case wire::ConsensusMessage::kVoteRequest: {
    const auto &Wire = Value.vote_request();
    Message.m_Body = VoteRequest{Wire.pre_vote(), Wire.last_index(),
                                 Wire.last_term(), Wire.leadership_transfer()};
    return Message;
  }
  case wire::ConsensusMessage::kVoteReply:
    Message.m_Body =
        VoteReply{Value.vote_reply().pre_vote(), Value.vote_reply().granted()};
    return Message;
  case wire::ConsensusMessage::kAppendRequest: {
    AppendRequest Wire = readAppendRequest(Value.append_request());
    if (!isWellFormed(Wire))
      return Malformed;
    Message.m_Body = std::move(Wire);
    return Message;
  }
  case wire::ConsensusMessage::kAppendReply: {
    const auto &Wire = Value.append_reply();
    Message.m_Body =
        AppendReply{Wire.accepted(), Wire.match_index(), Wire.round()};
    return Message;
  }
  case wire::ConsensusMessage::kSnapshotPart:
    Message.m_Body = readSnapshotPart(Value.snapshot_part());
    return Message;
  case wire::ConsensusMessage::kSnapshotReply: {
    const auto &Wire = Value.snapshot_reply();
    Message.m_Body = SnapshotReply{Wire.last_index(), Wire.next_offset(),
                                   Wire.installed(), Wire.round()};
    return Message;
  }
  case wire::ConsensusMessage::kTransferLeadership:
    Message.m_Body = TransferRequest{};
    return Message;
  default:
    return Malformed;
  }
}

} // namespace wasabivale::consensus
