#include "Records.h"

#include "LedgerMutations.h"

namespace wasabivale::ledger {

namespace {

Shard &shardFor(State &Ledger, const Key &Id) {
  return Ledger.m_Shards[shardOf(Id)];
}

void unlink(Shard &KeyShard, const Key &Id, const Record &Value) {
  if (Value.m_State != KeyState::InProgress) {
    KeyShard.m_Expiry.erase({Value.m_Expires, Id});
    return;
  }
  const auto Keys = KeyShard.m_InProgress.find(Value.m_Holder);
  WASABIVALE_INVARIANT(Keys != KeyShard.m_InProgress.end());
  Keys->second.erase(Id);
  if (Keys->second.empty())
    KeyShard.m_InProgress.erase(Keys);
}

void link(Shard &KeyShard, const Key &Id, const Record &Value) {
  if (Value.m_State == KeyState::InProgress)
    KeyShard.m_InProgress[Value.m_Holder].insert(Id);
  else
    KeyShard.m_Expiry.insert({Value.m_Expires, Id});
}

} // namespace

std::size_t sizeOf(const Key &Id, const Record &Value) {
  return KeyOverheadBytes + 2 * (Id.m_Caller.m_Value.size() + Id.m_Key.size()) +
         Value.m_BodyDigest.size() + Value.m_Attempt.m_Value.size() +
         Value.m_Holder.m_Entry.m_Value.size() +
         Value.m_Answer.m_ContentType.size() + Value.m_Answer.m_Body.size();
}

std::size_t shardOf(const Key &Id) {
  return hashBytes(Id.m_Key, hashBytes(Id.m_Caller.m_Value)) % ShardCount;
}

Record *findRecord(State &Ledger, const Key &Id) {
  Shard &KeyShard = shardFor(Ledger, Id);
  const auto Found = KeyShard.m_Records.find(Id);
  return Found == KeyShard.m_Records.end() ? nullptr : &Found->second;
}

const Record *find(const State &Ledger, const Key &Id) {
  const Shard &KeyShard = Ledger.m_Shards[shardOf(Id)];
  const auto Found = KeyShard.m_Records.find(Id);
  return Found == KeyShard.m_Records.end() ? nullptr : &Found->second;
}

void erase(State &Ledger, const Key &Id) {
  Shard &KeyShard = shardFor(Ledger, Id);
  const auto Found = KeyShard.m_Records.find(Id);
  if (Found == KeyShard.m_Records.end())
    return;
  unlink(KeyShard, Id, Found->second);
  Ledger.m_Bytes -= sizeOf(Id, Found->second);
  Ledger.m_Keys -= 1;
  KeyShard.m_Records.erase(Found);
}

void put(State &Ledger, const Key &Id, Record Value) {
  erase(Ledger, Id);
  Shard &KeyShard = shardFor(Ledger, Id);
  link(KeyShard, Id, Value);
  Ledger.m_Bytes += sizeOf(Id, Value);
  Ledger.m_Keys += 1;
  KeyShard.m_Records.emplace(Id, std::move(Value));
}

void expire(State &Ledger, LogTime Now) {
  for (Shard &KeyShard : Ledger.m_Shards)
    while (!KeyShard.m_Expiry.empty() &&
           KeyShard.m_Expiry.begin()->first <= Now) {
      const Key Id = KeyShard.m_Expiry.begin()->second;
      erase(Ledger, Id);
    }
}

std::vector<EntrySession> openSessions(const State &Ledger) {
  std::set<EntrySession> Found;
  for (const Shard &KeyShard : Ledger.m_Shards)
    for (const auto &[Holder, Keys] : KeyShard.m_InProgress)
      Found.insert(Holder);
  return {Found.begin(), Found.end()};
}

std::vector<Key> unknownKeys(const State &Ledger, std::size_t MaxCount) {
  std::vector<Key> Found;
  for (const Shard &KeyShard : Ledger.m_Shards)
    for (const auto &[Id, Value] : KeyShard.m_Records)
      if (Value.m_State == KeyState::Unknown && Found.size() < MaxCount)
        Found.push_back(Id);
  return Found;
}

} // namespace wasabivale::ledger
