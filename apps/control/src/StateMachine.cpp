#include "StateMachine.h"

#include "state.pb.h"

#include <algorithm>

namespace wasabivale::control {

namespace {

using fleet::Json;

std::uint64_t numberIn(const Json &In, const char *Name,
                       std::uint64_t Otherwise) {
  const auto Found = In.find(Name);
  return Found != In.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : Otherwise;
}

/// Limits of the ledger by the newest configuration.
void adoptLimits(Replicated &On) {
  const Json Document = Json::parse(
      fleet::currentDocument(On.m_Fleet.m_Configuration), nullptr, false);
  ledger::Limits New;
  if (Document.is_object() && Document.contains("ledger")) {
    const Json &Given = Document["ledger"];
    New.m_Keys = numberIn(Given, "max_keys", New.m_Keys);
    New.m_Bytes = numberIn(Given, "max_bytes", New.m_Bytes);
    New.m_AnswerBytes = numberIn(Given, "max_answer_bytes", New.m_AnswerBytes);
    const std::uint64_t Seconds = numberIn(Given, "retention_s", 0);
    if (Seconds != 0)
      New.m_Retention = std::chrono::seconds(Seconds);
  }
  ledger::setLimits(On.m_Ledger, New);
}

void fill(wire::CallReply &To, const fleet::Reply &From) {
  if (From.m_Refusal)
    To.set_refusal(static_cast<std::uint32_t>(*From.m_Refusal));
  To.set_message(From.m_Message);
  To.set_result(From.m_Result);
}

/// An operator's call to the ledger is remembered like one to the fleet.
fleet::Reply resolve(Replicated &On, const wire::Command &Command) {
  fleet::State &Fleet = On.m_Fleet;
  Fleet.m_Now = std::max(Fleet.m_Now, logTime(Command.log_time_ns()));
  if (auto Known = findAnswer(Fleet.m_Requests, Command, Fleet.m_Now))
    return *Known;
  const ledger::Reply Told = ledger::apply(On.m_Ledger, Command);
  fleet::Reply Out{Told.m_Refusal, Told.m_Message, {}};
  if (!Told.m_Refusal)
    Out.m_Result = Json{{"state", Told.m_Answer.state()}}.dump();
  recordAnswer(Fleet.m_Requests, Command, Out, Fleet.m_Now);
  return Out;
}

} // namespace

wire::CallReply applyPayload(Replicated &On, const std::string &Payload) {
  wire::Command Command;
  wire::CallReply Out;
  if (!Command.ParseFromString(Payload)) {
    Out.set_refusal(static_cast<std::uint32_t>(Refusal::MalformedRequest));
    return Out;
  }
  Out.set_request_id(Command.request_id());
  if (Command.has_operator_command() && ledger::handles(Command)) {
    fill(Out, resolve(On, Command));
    return Out;
  }
  if (ledger::handles(Command)) {
    const ledger::Reply Told = ledger::apply(On.m_Ledger, Command);
    if (Told.m_Refusal)
      Out.set_refusal(static_cast<std::uint32_t>(*Told.m_Refusal));
    Out.set_message(Told.m_Message);
    *Out.mutable_ledger() = Told.m_Answer;
    return Out;
  }
  const std::uint64_t Before = On.m_Fleet.m_Configuration.m_Revision;
  fill(Out, fleet::apply(On.m_Fleet, Command));
  if (On.m_Fleet.m_Configuration.m_Revision != Before)
    adoptLimits(On);
  return Out;
}

std::string takeSnapshot(const Replicated &From) {
  wire::ControlState Out;
  Out.set_fleet(fleet::snapshot(From.m_Fleet));
  Out.set_ledger(ledger::snapshot(From.m_Ledger));
  return Out.SerializeAsString();
}

Result<Replicated> fromSnapshot(const std::string &Bytes) {
  wire::ControlState In;
  if (!In.ParseFromString(Bytes))
    return Error{"control.restore", "", "the snapshot is not well formed"};
  Result<fleet::State> Fleet = fleet::restore(In.fleet());
  if (failed(Fleet))
    return errorOf(Fleet);
  Result<ledger::State> Ledger = ledger::restore(In.ledger());
  if (failed(Ledger))
    return errorOf(Ledger);
  return Replicated{std::move(valueOf(Fleet)), std::move(valueOf(Ledger))};
}

LogTime newestLogTime(const Replicated &In) {
  return std::max(In.m_Fleet.m_Now, In.m_Ledger.m_Now);
}

} // namespace wasabivale::control
