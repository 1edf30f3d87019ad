#include "LedgerClient.h"

namespace wasabivale::entry {

namespace {

/// How long the end of a run is offered to control. After that the key stays
/// in progress until this entry's session ends, and is then unknown.
constexpr std::chrono::seconds SettlePatience{120};

KeyVerdict verdictOf(const wire::LedgerAnswer &Answer) {
  const std::string &State = Answer.state();
  if (State == "granted")
    return KeyVerdict::Granted;
  if (State == "in_progress")
    return KeyVerdict::InProgress;
  if (State == "unknown")
    return KeyVerdict::Unknown;
  if (State == "conflict")
    return KeyVerdict::Conflict;
  if (State != "completed")
    return KeyVerdict::Refused;
  // An answer without a status was not kept: it was too large.
  return Answer.answer_dropped() || Answer.status() == 0 ? KeyVerdict::Dropped
                                                         : KeyVerdict::Stored;
}

KeyAnswer readReply(const wire::CallReply &Reply) {
  KeyAnswer Read;
  if (Reply.refusal() != 0) {
    const Refusal Told =
        refusalFromNumber(Reply.refusal(), Refusal::LedgerUnavailable);
    Read.m_Reason =
        Told == Refusal::LedgerFull ? Told : Refusal::LedgerUnavailable;
    Read.m_SessionEnded = Told == Refusal::LedgerUnavailable;
    Read.m_Detail = Reply.message();
    return Read;
  }
  Read.m_Verdict = verdictOf(Reply.ledger());
  Read.m_Stored = {static_cast<int>(Reply.ledger().status()),
                   Reply.ledger().content_type(), Reply.ledger().answer()};
  return Read;
}

} // namespace

void LedgerClient::begin(const Arrival &For, std::chrono::nanoseconds Retention,
                         TimePoint Deadline,
                         std::function<void(KeyAnswer)> Done) {
  askAgain(For, Retention, Deadline, std::move(Done), true);
}

void LedgerClient::askAgain(const Arrival &For,
                            std::chrono::nanoseconds Retention,
                            TimePoint Deadline,
                            std::function<void(KeyAnswer)> Done,
                            bool MayRenew) {
  wire::Command Command;
  wire::BeginRequest &Ask = *Command.mutable_begin_request();
  Ask.set_caller(For.m_Caller.m_Value);
  Ask.set_key(For.m_Key);
  Ask.set_body_digest(For.m_BodyDigest);
  Ask.set_attempt(For.m_Id.m_Value);
  Ask.set_entry(m_Entry.m_Value);
  Ask.set_entry_session(m_Session());
  Ask.set_retention_ns(static_cast<std::uint64_t>(Retention.count()));
  m_Call(std::move(Command), Deadline,
         [this, For, Retention, Deadline, MayRenew,
          Done = std::move(Done)](const Result<wire::CallReply> &Reply) {
           KeyAnswer Answer;
           if (!failed(Reply))
             Answer = readReply(valueOf(Reply));
           else
             Answer.m_Detail = errorOf(Reply).m_Message;
           const bool NotGranted = Answer.m_Verdict == KeyVerdict::Refused;
           // Control takes an entry that was silent for too long for gone.
           if (Answer.m_SessionEnded && MayRenew) {
             m_Renew();
             askAgain(For, Retention, Deadline, Done, false);
             return;
           }
           // The command may have been committed although nobody said so.
           if (NotGranted && failed(Reply))
             release(For);
           Done(std::move(Answer));
         });
}

void LedgerClient::finish(const Arrival &For, const KeptAnswer &Answer) {
  wire::Command Command;
  wire::FinishRequest &Report = *Command.mutable_finish_request();
  Report.set_caller(For.m_Caller.m_Value);
  Report.set_key(For.m_Key);
  Report.set_attempt(For.m_Id.m_Value);
  Report.set_outcome("completed");
  Report.set_status(static_cast<std::uint32_t>(Answer.m_Status));
  Report.set_content_type(Answer.m_ContentType);
  Report.set_answer(Answer.m_Body);
  m_Call(std::move(Command), BootClock::now() + SettlePatience,
         [](const Result<wire::CallReply> &) {});
}

void LedgerClient::finishUnknown(const Arrival &For) {
  wire::Command Command;
  wire::FinishRequest &Report = *Command.mutable_finish_request();
  Report.set_caller(For.m_Caller.m_Value);
  Report.set_key(For.m_Key);
  Report.set_attempt(For.m_Id.m_Value);
  Report.set_outcome("unknown");
  m_Call(std::move(Command), BootClock::now() + SettlePatience,
         [](const Result<wire::CallReply> &) {});
}

void LedgerClient::release(const Arrival &For) {
  wire::Command Command;
  wire::ReleaseRequest &Report = *Command.mutable_release_request();
  Report.set_caller(For.m_Caller.m_Value);
  Report.set_key(For.m_Key);
  Report.set_attempt(For.m_Id.m_Value);
  m_Call(std::move(Command), BootClock::now() + SettlePatience,
         [](const Result<wire::CallReply> &) {});
}

} // namespace wasabivale::entry
