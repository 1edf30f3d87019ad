#include "LedgerMutations.h"
#include "Records.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wasabivale::ledger {

namespace {

constexpr std::string_view ResolveKind = "resolve";

Reply refuse(Refusal Reason, const std::string &Message = {}) {
  Reply Response;
  Response.m_Refusal = Reason;
  Response.m_Message =
      Message.empty() ? std::string(refusalInfo(Reason).m_Text) : Message;
  return Response;
}

Reply stateReply(std::string_view State, const std::string &Attempt = {}) {
  Reply Response;
  Response.m_Answer.set_state(std::string(State));
  Response.m_Answer.set_attempt(Attempt);
  return Response;
}

Reply describe(const Record &Value) {
  Reply Response =
      stateReply(stateName(Value.m_State), Value.m_Attempt.m_Value);
  if (Value.m_State != KeyState::Completed)
    return Response;
  Response.m_Answer.set_status(Value.m_Answer.m_Status);
  Response.m_Answer.set_content_type(Value.m_Answer.m_ContentType);
  Response.m_Answer.set_answer(Value.m_Answer.m_Body);
  Response.m_Answer.set_answer_dropped(Value.m_Answer.m_Dropped);
  return Response;
}

/// Moves a record to a final state; its retention starts now.
void closeRecord(State &Ledger, const Key &Id, KeyState Result,
                 Answer Content) {
  Record Value = *findRecord(Ledger, Id);
  Value.m_State = Result;
  Value.m_Answer = std::move(Content);
  Value.m_Expires = Ledger.m_Now + Value.m_Retention;
  put(Ledger, Id, std::move(Value));
}

void evictInProgress(State &Ledger) {
  for (Shard &KeyShard : Ledger.m_Shards)
    if (!KeyShard.m_InProgress.empty()) {
      const Key Id = *KeyShard.m_InProgress.begin()->second.begin();
      erase(Ledger, Id);
      return;
    }
}

bool hasCapacity(const State &Ledger, std::size_t Bytes) {
  return Ledger.m_Keys < Ledger.m_Limits.m_Keys &&
         Ledger.m_Bytes + Bytes <= Ledger.m_Limits.m_Bytes;
}

/// Grants the free key to the attempt in \p Value.
Reply grant(State &Ledger, const Key &Id, Record Value) {
  erase(Ledger, Id);
  const std::size_t Bytes = sizeOf(Id, Value);
  if (!hasCapacity(Ledger, Bytes) && mutated(Mutation::EvictInProgress))
    evictInProgress(Ledger);
  if (!hasCapacity(Ledger, Bytes))
    return refuse(Refusal::LedgerFull);
  const std::string Attempt = Value.m_Attempt.m_Value;
  put(Ledger, Id, std::move(Value));
  return stateReply("granted", Attempt);
}

Reply begin(State &Ledger, const wire::BeginRequest &Request) {
  const Key Id{{Request.caller()}, Request.key()};
  if (Request.caller().empty() || Request.key().empty() ||
      Request.attempt().empty() || Request.key().size() > MaxKeyBytes)
    return refuse(Refusal::InvalidField,
                  "caller, key or attempt is empty, or the key is too long");
  Record NewRecord;
  NewRecord.m_BodyDigest = Request.body_digest();
  NewRecord.m_Attempt = {Request.attempt()};
  NewRecord.m_Holder = {{Request.entry()}, Request.entry_session()};
  NewRecord.m_Retention = Request.retention_ns() == 0
                              ? Ledger.m_Limits.m_Retention
                              : LogClock::duration(static_cast<std::int64_t>(
                                    Request.retention_ns()));
  const Record *Current = findRecord(Ledger, Id);
  if (Current == nullptr)
    return grant(Ledger, Id, std::move(NewRecord));
  const bool SameAttempt = Current->m_Attempt == NewRecord.m_Attempt;
  if (Current->m_State == KeyState::Released && !SameAttempt)
    return grant(Ledger, Id, std::move(NewRecord));
  if (Current->m_BodyDigest != NewRecord.m_BodyDigest)
    return stateReply("conflict", Current->m_Attempt.m_Value);
  if (Current->m_State == KeyState::InProgress && SameAttempt)
    return stateReply("granted", Request.attempt());
  if (Current->m_State == KeyState::Unknown &&
      mutated(Mutation::GrantAfterUnknown))
    return grant(Ledger, Id, std::move(NewRecord));
  return describe(*Current);
}

/// Returns the answer to keep. An answer that does not fit is dropped, but the
/// record of a completed request is always kept.
Answer retainedAnswer(const State &Ledger, const wire::FinishRequest &Report) {
  Answer Retained;
  Retained.m_Status = Report.status();
  const std::size_t Bytes =
      Report.content_type().size() + Report.answer().size();
  Retained.m_Dropped = Bytes > Ledger.m_Limits.m_AnswerBytes ||
                       Ledger.m_Bytes + Bytes > Ledger.m_Limits.m_Bytes;
  if (Retained.m_Dropped)
    return Retained;
  Retained.m_ContentType = Report.content_type();
  Retained.m_Body = Report.answer();
  return Retained;
}

/// Accepts one report, from the holder only. A report that arrives after the
/// outcome became unknown replaces that outcome.
Reply finish(State &Ledger, const wire::FinishRequest &Report) {
  const Key Id{{Report.caller()}, Report.key()};
  const Record *Current = findRecord(Ledger, Id);
  if (Current == nullptr)
    return stateReply("absent");
  if (Current->m_Attempt.m_Value != Report.attempt())
    return stateReply("conflict", Current->m_Attempt.m_Value);
  const bool IsClosed = Current->m_State == KeyState::Completed ||
                        Current->m_State == KeyState::Released;
  if (IsClosed)
    return describe(*Current);
  if (Report.outcome() == "completed")
    closeRecord(Ledger, Id, KeyState::Completed,
                retainedAnswer(Ledger, Report));
  else if (Report.outcome() != "unknown")
    return refuse(Refusal::InvalidField,
                  "outcome must be completed or unknown");
  else if (Current->m_State == KeyState::InProgress)
    closeRecord(Ledger, Id, KeyState::Unknown, {});
  return describe(*findRecord(Ledger, Id));
}

Reply release(State &Ledger, const wire::ReleaseRequest &Report) {
  const Key Id{{Report.caller()}, Report.key()};
  const Record *Current = findRecord(Ledger, Id);
  if (Current == nullptr)
    return stateReply("absent");
  if (Current->m_Attempt.m_Value != Report.attempt())
    return stateReply("conflict", Current->m_Attempt.m_Value);
  if (Current->m_State == KeyState::InProgress ||
      Current->m_State == KeyState::Unknown)
    closeRecord(Ledger, Id, KeyState::Released, {});
  return describe(*findRecord(Ledger, Id));
}

Reply lookUp(State &Ledger, const wire::LookUpRequest &Request) {
  const Record *Current =
      findRecord(Ledger, {{Request.caller()}, Request.key()});
  return Current == nullptr ? stateReply("absent") : describe(*Current);
}

Reply endSession(State &Ledger, const wire::EntryGone &Report) {
  const EntrySession Session{{Report.entry()}, Report.session()};
  for (Shard &KeyShard : Ledger.m_Shards) {
    const auto Found = KeyShard.m_InProgress.find(Session);
    if (Found == KeyShard.m_InProgress.end())
      continue;
    const std::set<Key> Ids = Found->second;
    for (const Key &Id : Ids)
      closeRecord(Ledger, Id, KeyState::Unknown, {});
  }
  return stateReply("unknown");
}

/// Sets the outcome of a request whose outcome is unknown, as stated by an
/// operator.
Reply resolve(State &Ledger, const std::string &Body) {
  const nlohmann::json Request = nlohmann::json::parse(Body, nullptr, false);
  if (!Request.is_object() || !Request.contains("caller") ||
      !Request.contains("key") || !Request["caller"].is_string() ||
      !Request["key"].is_string())
    return refuse(Refusal::InvalidField, "caller and key are needed");
  const Key Id{{Request["caller"].get<std::string>()},
               Request["key"].get<std::string>()};
  const Record *Current = findRecord(Ledger, Id);
  if (Current == nullptr)
    return refuse(Refusal::InvalidField, "no such key");
  if (Current->m_State != KeyState::Unknown)
    return refuse(Refusal::RevisionConflict,
                  "the key is " + std::string(stateName(Current->m_State)));
  const auto Outcome = Request.find("outcome");
  if (Outcome != Request.end() && *Outcome == "released") {
    closeRecord(Ledger, Id, KeyState::Released, {});
    return describe(*findRecord(Ledger, Id));
  }
  if (Outcome == Request.end() || *Outcome != "completed")
    return refuse(Refusal::InvalidField, "outcome: completed or released");
  wire::FinishRequest Report;
  const auto Status = Request.find("status");
  const auto Type = Request.find("content_type");
  const auto Content = Request.find("answer");
  if (Status != Request.end() && Status->is_number_unsigned())
    Report.set_status(Status->get<std::uint32_t>());
  if (Type != Request.end() && Type->is_string())
    Report.set_content_type(Type->get<std::string>());
  if (Content != Request.end() && Content->is_string())
    Report.set_answer(Content->get<std::string>());
  closeRecord(Ledger, Id, KeyState::Completed, retainedAnswer(Ledger, Report));
  return describe(*findRecord(Ledger, Id));
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

Reply apply(State &Ledger, const wire::Command &Command) {
  Ledger.m_Now = std::max(Ledger.m_Now, logTime(Command.log_time_ns()));
  expire(Ledger, Ledger.m_Now);
  if (!handles(Command))
    return refuse(Refusal::MalformedRequest);
  switch (Command.body_case()) {
  case wire::Command::kBeginRequest:
    return begin(Ledger, Command.begin_request());
  case wire::Command::kFinishRequest:
    return finish(Ledger, Command.finish_request());
  case wire::Command::kReleaseRequest:
    return release(Ledger, Command.release_request());
  case wire::Command::kLookUpRequest:
    return lookUp(Ledger, Command.look_up_request());
  case wire::Command::kEntryGone:
    return endSession(Ledger, Command.entry_gone());
  default:
    return resolve(Ledger, Command.operator_command().body());
  }
}

void setLimits(State &Ledger, const Limits &NewLimits) {
  Ledger.m_Limits = NewLimits;
}

} // namespace wasabivale::ledger
