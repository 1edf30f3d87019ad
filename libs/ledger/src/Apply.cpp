#include "LedgerMutations.h"
#include "Records.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wasabivale::ledger {

namespace {

constexpr std::string_view ResolveKind = "resolve";

Reply refuse(Refusal Reason, const std::string &Message = {}) {
  Reply Out;
  Out.m_Refusal = Reason;
  Out.m_Message =
      Message.empty() ? std::string(refusalInfo(Reason).m_Text) : Message;
  return Out;
}

Reply plain(std::string_view State, const std::string &Attempt = {}) {
  Reply Out;
  Out.m_Answer.set_state(std::string(State));
  Out.m_Answer.set_attempt(Attempt);
  return Out;
}

Reply tell(const Record &Value) {
  Reply Out = plain(stateName(Value.m_State), Value.m_Attempt.m_Value);
  if (Value.m_State != KeyState::Completed)
    return Out;
  Out.m_Answer.set_status(Value.m_Answer.m_Status);
  Out.m_Answer.set_content_type(Value.m_Answer.m_ContentType);
  Out.m_Answer.set_answer(Value.m_Answer.m_Body);
  Out.m_Answer.set_answer_dropped(Value.m_Answer.m_Dropped);
  return Out;
}

/// Ends the progress of a record; its retention runs from now.
void settle(State &On, const Key &Name, KeyState Result, Answer With) {
  Record Value = *findRecord(On, Name);
  Value.m_State = Result;
  Value.m_Answer = std::move(With);
  Value.m_Expires = On.m_Now + Value.m_Retention;
  put(On, Name, std::move(Value));
}

void evictOneInProgress(State &On) {
  for (Shard &In : On.m_Shards)
    if (!In.m_Open.empty()) {
      const Key Name = *In.m_Open.begin()->second.begin();
      erase(On, Name);
      return;
    }
}

bool hasRoom(const State &In, std::size_t Bytes) {
  return In.m_Keys < In.m_Limits.m_Keys &&
         In.m_Bytes + Bytes <= In.m_Limits.m_Bytes;
}

/// Gives the key, which is free, to the attempt in \p Value.
Reply grant(State &On, const Key &Name, Record Value) {
  erase(On, Name);
  const std::size_t Bytes = sizeOf(Name, Value);
  if (!hasRoom(On, Bytes) && mutated(Mutation::EvictInProgress))
    evictOneInProgress(On);
  if (!hasRoom(On, Bytes))
    return refuse(Refusal::LedgerFull);
  const std::string Attempt = Value.m_Attempt.m_Value;
  put(On, Name, std::move(Value));
  return plain("granted", Attempt);
}

Reply begin(State &On, const wire::BeginRequest &Ask) {
  const Key Name{{Ask.caller()}, Ask.key()};
  if (Ask.caller().empty() || Ask.key().empty() || Ask.attempt().empty() ||
      Ask.key().size() > LongestKeyBytes)
    return refuse(Refusal::InvalidField, "caller, key or attempt is not valid");
  Record New;
  New.m_BodyDigest = Ask.body_digest();
  New.m_Attempt = {Ask.attempt()};
  New.m_Holder = {{Ask.entry()}, Ask.entry_session()};
  New.m_Retention =
      Ask.retention_ns() == 0
          ? On.m_Limits.m_Retention
          : LogClock::duration(static_cast<std::int64_t>(Ask.retention_ns()));
  const Record *Known = findRecord(On, Name);
  if (Known == nullptr)
    return grant(On, Name, std::move(New));
  const bool SameAttempt = Known->m_Attempt == New.m_Attempt;
  if (Known->m_State == KeyState::Released && !SameAttempt)
    return grant(On, Name, std::move(New));
  if (Known->m_BodyDigest != New.m_BodyDigest)
    return plain("conflict", Known->m_Attempt.m_Value);
  if (Known->m_State == KeyState::InProgress && SameAttempt)
    return plain("granted", Ask.attempt());
  if (Known->m_State == KeyState::Unknown &&
      mutated(Mutation::GrantAfterUnknown))
    return grant(On, Name, std::move(New));
  return tell(*Known);
}

/// Keeps an answer if it fits; that a request ran is never forgotten for lack
/// of room.
Answer kept(const State &In, const wire::FinishRequest &Report) {
  Answer Out;
  Out.m_Status = Report.status();
  const std::size_t Bytes =
      Report.content_type().size() + Report.answer().size();
  Out.m_Dropped = Bytes > In.m_Limits.m_AnswerBytes ||
                  In.m_Bytes + Bytes > In.m_Limits.m_Bytes;
  if (Out.m_Dropped)
    return Out;
  Out.m_ContentType = Report.content_type();
  Out.m_Body = Report.answer();
  return Out;
}

/// A report counts from the holder only, and once. The truth may come after
/// the outcome was taken for unknown, and then replaces it.
Reply finish(State &On, const wire::FinishRequest &Report) {
  const Key Name{{Report.caller()}, Report.key()};
  const Record *Known = findRecord(On, Name);
  if (Known == nullptr)
    return plain("absent");
  if (Known->m_Attempt.m_Value != Report.attempt())
    return plain("conflict", Known->m_Attempt.m_Value);
  const bool Settled = Known->m_State == KeyState::Completed ||
                       Known->m_State == KeyState::Released;
  if (Settled)
    return tell(*Known);
  if (Report.outcome() == "completed")
    settle(On, Name, KeyState::Completed, kept(On, Report));
  else if (Report.outcome() != "unknown")
    return refuse(Refusal::InvalidField, "outcome: completed or unknown");
  else if (Known->m_State == KeyState::InProgress)
    settle(On, Name, KeyState::Unknown, {});
  return tell(*findRecord(On, Name));
}

Reply release(State &On, const wire::ReleaseRequest &Report) {
  const Key Name{{Report.caller()}, Report.key()};
  const Record *Known = findRecord(On, Name);
  if (Known == nullptr)
    return plain("absent");
  if (Known->m_Attempt.m_Value != Report.attempt())
    return plain("conflict", Known->m_Attempt.m_Value);
  if (Known->m_State == KeyState::InProgress ||
      Known->m_State == KeyState::Unknown)
    settle(On, Name, KeyState::Released, {});
  return tell(*findRecord(On, Name));
}

Reply lookUp(State &On, const wire::LookUpRequest &Ask) {
  const Record *Known = findRecord(On, {{Ask.caller()}, Ask.key()});
  return Known == nullptr ? plain("absent") : tell(*Known);
}

Reply endSession(State &On, const wire::EntryGone &Report) {
  const EntrySession Ended{{Report.entry()}, Report.session()};
  for (Shard &In : On.m_Shards) {
    const auto Open = In.m_Open.find(Ended);
    if (Open == In.m_Open.end())
      continue;
    const std::set<Key> Names = Open->second;
    for (const Key &Name : Names)
      settle(On, Name, KeyState::Unknown, {});
  }
  return plain("unknown");
}

/// An operator states what became of a request whose outcome is unknown.
Reply resolve(State &On, const std::string &Body) {
  const nlohmann::json Ask = nlohmann::json::parse(Body, nullptr, false);
  if (!Ask.is_object() || !Ask.contains("caller") || !Ask.contains("key") ||
      !Ask["caller"].is_string() || !Ask["key"].is_string())
    return refuse(Refusal::InvalidField, "caller and key are needed");
  const Key Name{{Ask["caller"].get<std::string>()},
                 Ask["key"].get<std::string>()};
  const Record *Known = findRecord(On, Name);
  if (Known == nullptr)
    return refuse(Refusal::InvalidField, "no such key");
  if (Known->m_State != KeyState::Unknown)
    return refuse(Refusal::RevisionConflict,
                  "the key is " + std::string(stateName(Known->m_State)));
  const auto Outcome = Ask.find("outcome");
  if (Outcome != Ask.end() && *Outcome == "released") {
    settle(On, Name, KeyState::Released, {});
    return tell(*findRecord(On, Name));
  }
  if (Outcome == Ask.end() || *Outcome != "completed")
    return refuse(Refusal::InvalidField, "outcome: completed or released");
  wire::FinishRequest Report;
  const auto Status = Ask.find("status");
  const auto Type = Ask.find("content_type");
  const auto Text = Ask.find("answer");
  if (Status != Ask.end() && Status->is_number_unsigned())
    Report.set_status(Status->get<std::uint32_t>());
  if (Type != Ask.end() && Type->is_string())
    Report.set_content_type(Type->get<std::string>());
  if (Text != Ask.end() && Text->is_string())
    Report.set_answer(Text->get<std::string>());
  settle(On, Name, KeyState::Completed, kept(On, Report));
  return tell(*findRecord(On, Name));
}

} // namespace

std::string_view stateName(KeyState Value) {
  switch (Value) {
  case KeyState::InProgress:
    return "in_progress";
  case KeyState::Completed:
    return "completed";
  case KeyState::Unknown:
    return "unknown";
  case KeyState::Released:
    return "released";
  }
  return "unknown";
}

bool handles(const wire::Command &Command) {
  switch (Command.body_case()) {
  case wire::Command::kBeginRequest:
  case wire::Command::kFinishRequest:
  case wire::Command::kReleaseRequest:
  case wire::Command::kLookUpRequest:
  case wire::Command::kEntryGone:
    return true;
  case wire::Command::kOperatorCommand:
    return Command.operator_command().kind() == ResolveKind;
  default:
    return false;
  }
}

Reply apply(State &On, const wire::Command &Command) {
  On.m_Now = std::max(On.m_Now, logTime(Command.log_time_ns()));
  expire(On, On.m_Now);
  if (!handles(Command))
    return refuse(Refusal::MalformedRequest);
  switch (Command.body_case()) {
  case wire::Command::kBeginRequest:
    return begin(On, Command.begin_request());
  case wire::Command::kFinishRequest:
    return finish(On, Command.finish_request());
  case wire::Command::kReleaseRequest:
    return release(On, Command.release_request());
  case wire::Command::kLookUpRequest:
    return lookUp(On, Command.look_up_request());
  case wire::Command::kEntryGone:
    return endSession(On, Command.entry_gone());
  default:
    return resolve(On, Command.operator_command().body());
  }
}

void setLimits(State &On, const Limits &New) { On.m_Limits = New; }

} // namespace wasabivale::ledger
