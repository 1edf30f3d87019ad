#include "StateMachine.h"

#include "state.pb.h"

#include <algorithm>
#include <bit>

namespace wasabivale::control {

namespace {

using fleet::Json;

std::uint64_t numberOr(const Json &Section, const char *Name,
                       std::uint64_t Default) {
  const auto Found = Section.find(Name);
  return Found != Section.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : Default;
}

/// Applies the ledger limits of the newest configuration.
void adoptLimits(ReplicatedState &State) {
  const Json Document = Json::parse(
      fleet::currentDocument(State.m_Fleet.m_Configuration), nullptr, false);
  ledger::Limits New;
  if (Document.is_object() && Document.contains("ledger")) {
    const Json &Section = Document["ledger"];
    New.m_Keys = numberOr(Section, "max_keys", New.m_Keys);
    New.m_Bytes = numberOr(Section, "max_bytes", New.m_Bytes);
    New.m_AnswerBytes =
        numberOr(Section, "max_answer_bytes", New.m_AnswerBytes);
    const std::uint64_t Seconds = numberOr(Section, "retention_s", 0);
    if (Seconds != 0)
      New.m_Retention = std::chrono::seconds(Seconds);
  }
  ledger::setLimits(State.m_Ledger, New);
}

/// Numbers of digests from one that is taken to the next; a power of two, so
/// that states of different sizes have some in common.
std::uint64_t digestStride(const ReplicatedState &State) {
  constexpr std::size_t ItemsPerStep = 4'096;
  constexpr std::size_t MaxStride = 64;
  const std::size_t Items =
      State.m_Fleet.m_StreamVersions.m_Begun.size() + State.m_Ledger.m_Keys;
  return std::min(std::bit_ceil(1 + Items / ItemsPerStep), MaxStride);
}

void fill(wire::CallReply &Message, const fleet::Reply &Reply) {
  if (Reply.m_Refusal)
    Message.set_refusal(static_cast<std::uint32_t>(*Reply.m_Refusal));
  Message.set_message(Reply.m_Message);
  Message.set_result(Reply.m_Result);
}

/// Records the answer to an operator's ledger call, as for fleet calls.
fleet::Reply resolve(ReplicatedState &State, const wire::Command &Command) {
  fleet::State &Fleet = State.m_Fleet;
  Fleet.m_Now = std::max(Fleet.m_Now, logTime(Command.log_time_ns()));
  if (auto Known = findAnswer(Fleet.m_Requests, Command, Fleet.m_Now))
    return *Known;
  const ledger::Reply LedgerReply = ledger::apply(State.m_Ledger, Command);
  fleet::Reply Reply{LedgerReply.m_Refusal, LedgerReply.m_Message, {}};
  if (!LedgerReply.m_Refusal)
    Reply.m_Result = Json{{"state", LedgerReply.m_Answer.state()}}.dump();
  recordAnswer(Fleet.m_Requests, Command, Reply, Fleet.m_Now);
  return Reply;
}

} // namespace

wire::CallReply applyPayload(ReplicatedState &State,
                             const std::string &Payload) {
  wire::Command Command;
  wire::CallReply Reply;
  if (!Command.ParseFromString(Payload)) {
    Reply.set_refusal(static_cast<std::uint32_t>(Refusal::MalformedRequest));
    return Reply;
  }
  Reply.set_request_id(Command.request_id());
  if (Command.has_operator_command() && ledger::handles(Command)) {
    fill(Reply, resolve(State, Command));
    return Reply;
  }
  if (ledger::handles(Command)) {
    const ledger::Reply LedgerReply = ledger::apply(State.m_Ledger, Command);
    if (LedgerReply.m_Refusal)
      Reply.set_refusal(static_cast<std::uint32_t>(*LedgerReply.m_Refusal));
    Reply.set_message(LedgerReply.m_Message);
    *Reply.mutable_ledger() = LedgerReply.m_Answer;
    return Reply;
  }
  const std::uint64_t Before = State.m_Fleet.m_Configuration.m_Revision;
  fill(Reply, fleet::apply(State.m_Fleet, Command));
  if (State.m_Fleet.m_Configuration.m_Revision != Before)
    adoptLimits(State);
  return Reply;
}

std::string takeSnapshot(const ReplicatedState &State) {
  wire::ControlState Snapshot;
  Snapshot.set_fleet(fleet::snapshot(State.m_Fleet));
  Snapshot.set_ledger(ledger::snapshot(State.m_Ledger));
  return Snapshot.SerializeAsString();
}

std::optional<std::uint64_t> takeDigest(const ReplicatedState &State,
                                        std::uint64_t Number) {
  const std::uint64_t Stride = digestStride(State);
  if (Number % Stride != 0)
    return std::nullopt;
  const std::uint64_t Fleet = hashBytes(fleet::snapshot(State.m_Fleet));
  const std::size_t Shard = Number / Stride % ledger::ShardCount;
  return hashBytes(ledger::shardSnapshot(State.m_Ledger, Shard), Fleet);
}

Result<ReplicatedState> fromSnapshot(const std::string &Bytes) {
  wire::ControlState Snapshot;
  if (!Snapshot.ParseFromString(Bytes))
    return Error{"control.restore", "", "the snapshot is not well formed"};
  Result<fleet::State> Fleet = fleet::restore(Snapshot.fleet());
  if (failed(Fleet))
    return errorOf(Fleet);
  Result<ledger::State> Ledger = ledger::restore(Snapshot.ledger());
  if (failed(Ledger))
    return errorOf(Ledger);
  return ReplicatedState{std::move(valueOf(Fleet)), std::move(valueOf(Ledger))};
}

LogTime newestLogTime(const ReplicatedState &State) {
  return std::max(State.m_Fleet.m_Now, State.m_Ledger.m_Now);
}

} // namespace wasabivale::control
