#include "Records.h"

#include "state.pb.h"

namespace wasabivale::ledger {

namespace {

void write(wire::LedgerEntry &Message, const Key &Id, const Record &Value) {
  Message.set_caller(Id.m_Caller.m_Value);
  Message.set_key(Id.m_Key);
  Message.set_body_digest(Value.m_BodyDigest);
  Message.set_attempt(Value.m_Attempt.m_Value);
  Message.set_entry(Value.m_Holder.m_Entry.m_Value);
  Message.set_entry_session(Value.m_Holder.m_Session);
  Message.set_state(static_cast<std::uint32_t>(Value.m_State));
  Message.set_retention_ns(nanosecondsOf(Value.m_Retention));
  Message.set_expires_ns(nanosecondsOf(Value.m_Expires));
  Message.set_status(Value.m_Answer.m_Status);
  Message.set_content_type(Value.m_Answer.m_ContentType);
  Message.set_answer(Value.m_Answer.m_Body);
  Message.set_answer_dropped(Value.m_Answer.m_Dropped);
}

Record read(const wire::LedgerEntry &Message) {
  Record Value;
  Value.m_BodyDigest = Message.body_digest();
  Value.m_Attempt = {Message.attempt()};
  Value.m_Holder = {{Message.entry()}, Message.entry_session()};
  Value.m_State = static_cast<KeyState>(Message.state());
  Value.m_Retention =
      LogClock::duration(static_cast<std::int64_t>(Message.retention_ns()));
  Value.m_Expires = logTime(Message.expires_ns());
  Value.m_Answer = {Message.status(), Message.content_type(), Message.answer(),
                    Message.answer_dropped()};
  return Value;
}

void writeShared(wire::LedgerState &Message, const State &Ledger) {
  Message.set_maximum_keys(Ledger.m_Limits.m_Keys);
  Message.set_maximum_bytes(Ledger.m_Limits.m_Bytes);
  Message.set_maximum_answer_bytes(Ledger.m_Limits.m_AnswerBytes);
  Message.set_retention_ns(nanosecondsOf(Ledger.m_Limits.m_Retention));
  Message.set_log_time_ns(nanosecondsOf(Ledger.m_Now));
}

void write(wire::LedgerState &Message, const Shard &KeyShard) {
  for (const auto &[Id, Value] : KeyShard.m_Records)
    write(*Message.add_entries(), Id, Value);
}

} // namespace

std::string snapshot(const State &Ledger) {
  wire::LedgerState Message;
  writeShared(Message, Ledger);
  for (const Shard &KeyShard : Ledger.m_Shards)
    write(Message, KeyShard);
  return Message.SerializeAsString();
}

std::string shardSnapshot(const State &Ledger, std::size_t ShardIndex) {
  wire::LedgerState Message;
  writeShared(Message, Ledger);
  write(Message, Ledger.m_Shards.at(ShardIndex));
  return Message.SerializeAsString();
}

Result<State> restore(std::string_view Bytes) {
  wire::LedgerState Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{"ledger.restore", "", "the snapshot is not well formed"};
  State Ledger;
  Ledger.m_Limits.m_Keys = Message.maximum_keys();
  Ledger.m_Limits.m_Bytes = Message.maximum_bytes();
  Ledger.m_Limits.m_AnswerBytes = Message.maximum_answer_bytes();
  Ledger.m_Limits.m_Retention = std::chrono::nanoseconds(
      static_cast<std::int64_t>(Message.retention_ns()));
  Ledger.m_Now = logTime(Message.log_time_ns());
  for (const wire::LedgerEntry &Item : Message.entries())
    put(Ledger, {{Item.caller()}, Item.key()}, read(Item));
  return Ledger;
}

} // namespace wasabivale::ledger
