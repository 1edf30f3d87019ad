#include "Records.h"

#include "state.pb.h"

namespace wasabivale::ledger {

namespace {

void write(wire::LedgerEntry &To, const Key &Name, const Record &From) {
  To.set_caller(Name.m_Caller.m_Value);
  To.set_key(Name.m_Key);
  To.set_body_digest(From.m_BodyDigest);
  To.set_attempt(From.m_Attempt.m_Value);
  To.set_entry(From.m_Holder.m_Entry.m_Value);
  To.set_entry_session(From.m_Holder.m_Session);
  To.set_state(static_cast<std::uint32_t>(From.m_State));
  To.set_retention_ns(nanosecondsOf(From.m_Retention));
  To.set_expires_ns(nanosecondsOf(From.m_Expires));
  To.set_status(From.m_Answer.m_Status);
  To.set_content_type(From.m_Answer.m_ContentType);
  To.set_answer(From.m_Answer.m_Body);
  To.set_answer_dropped(From.m_Answer.m_Dropped);
}

Record read(const wire::LedgerEntry &From) {
  Record Out;
  Out.m_BodyDigest = From.body_digest();
  Out.m_Attempt = {From.attempt()};
  Out.m_Holder = {{From.entry()}, From.entry_session()};
  Out.m_State = static_cast<KeyState>(From.state());
  Out.m_Retention =
      LogClock::duration(static_cast<std::int64_t>(From.retention_ns()));
  Out.m_Expires = logTime(From.expires_ns());
  Out.m_Answer = {From.status(), From.content_type(), From.answer(),
                  From.answer_dropped()};
  return Out;
}

} // namespace

std::string snapshot(const State &From) {
  wire::LedgerState Out;
  Out.set_maximum_keys(From.m_Limits.m_Keys);
  Out.set_maximum_bytes(From.m_Limits.m_Bytes);
  Out.set_maximum_answer_bytes(From.m_Limits.m_AnswerBytes);
  Out.set_retention_ns(nanosecondsOf(From.m_Limits.m_Retention));
  Out.set_log_time_ns(nanosecondsOf(From.m_Now));
  for (const Shard &In : From.m_Shards)
    for (const auto &[Name, Value] : In.m_Records)
      write(*Out.add_entries(), Name, Value);
  return Out.SerializeAsString();
}

Result<State> restore(std::string_view Bytes) {
  wire::LedgerState In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{"ledger.restore", "", "the snapshot is not well formed"};
  State Out;
  Out.m_Limits.m_Keys = In.maximum_keys();
  Out.m_Limits.m_Bytes = In.maximum_bytes();
  Out.m_Limits.m_AnswerBytes = In.maximum_answer_bytes();
  Out.m_Limits.m_Retention =
      std::chrono::nanoseconds(static_cast<std::int64_t>(In.retention_ns()));
  Out.m_Now = logTime(In.log_time_ns());
  for (const wire::LedgerEntry &Each : In.entries())
    put(Out, {{Each.caller()}, Each.key()}, read(Each));
  return Out;
}

} // namespace wasabivale::ledger
