#include "Records.h"

#include "LedgerMutations.h"

namespace wasabivale::ledger {

namespace {

Shard &shardFor(State &On, const Key &Name) {
  return On.m_Shards[shardOf(Name)];
}

void unlink(Shard &In, const Key &Name, const Record &Value) {
  if (Value.m_State != KeyState::InProgress) {
    In.m_Expiry.erase({Value.m_Expires, Name});
    return;
  }
  const auto Open = In.m_Open.find(Value.m_Holder);
  WASABIVALE_INVARIANT(Open != In.m_Open.end());
  Open->second.erase(Name);
  if (Open->second.empty())
    In.m_Open.erase(Open);
}

void link(Shard &In, const Key &Name, const Record &Value) {
  if (Value.m_State == KeyState::InProgress)
    In.m_Open[Value.m_Holder].insert(Name);
  else
    In.m_Expiry.insert({Value.m_Expires, Name});
}

} // namespace

std::size_t sizeOf(const Key &Name, const Record &Value) {
  return KeyOverheadBytes +
         2 * (Name.m_Caller.m_Value.size() + Name.m_Key.size()) +
         Value.m_BodyDigest.size() + Value.m_Attempt.m_Value.size() +
         Value.m_Holder.m_Entry.m_Value.size() +
         Value.m_Answer.m_ContentType.size() + Value.m_Answer.m_Body.size();
}

std::size_t shardOf(const Key &Name) {
  return hashBytes(Name.m_Key, hashBytes(Name.m_Caller.m_Value)) % ShardCount;
}

Record *findRecord(State &On, const Key &Name) {
  Shard &In = shardFor(On, Name);
  const auto Found = In.m_Records.find(Name);
  return Found == In.m_Records.end() ? nullptr : &Found->second;
}

const Record *find(const State &In, const Key &Name) {
  const Shard &Holder = In.m_Shards[shardOf(Name)];
  const auto Found = Holder.m_Records.find(Name);
  return Found == Holder.m_Records.end() ? nullptr : &Found->second;
}

void erase(State &On, const Key &Name) {
  Shard &In = shardFor(On, Name);
  const auto Found = In.m_Records.find(Name);
  if (Found == In.m_Records.end())
    return;
  unlink(In, Name, Found->second);
  On.m_Bytes -= sizeOf(Name, Found->second);
  On.m_Keys -= 1;
  In.m_Records.erase(Found);
}

void put(State &On, const Key &Name, Record Value) {
  erase(On, Name);
  Shard &In = shardFor(On, Name);
  link(In, Name, Value);
  On.m_Bytes += sizeOf(Name, Value);
  On.m_Keys += 1;
  In.m_Records.emplace(Name, std::move(Value));
}

void expire(State &On, LogTime Now) {
  for (Shard &In : On.m_Shards)
    while (!In.m_Expiry.empty() && In.m_Expiry.begin()->first <= Now) {
      const Key Name = In.m_Expiry.begin()->second;
      erase(On, Name);
    }
}

std::vector<EntrySession> openSessions(const State &In) {
  std::set<EntrySession> Found;
  for (const Shard &Each : In.m_Shards)
    for (const auto &[Holder, Keys] : Each.m_Open)
      Found.insert(Holder);
  return {Found.begin(), Found.end()};
}

std::vector<Key> unknownKeys(const State &In, std::size_t Most) {
  std::vector<Key> Found;
  for (const Shard &Each : In.m_Shards)
    for (const auto &[Name, Value] : Each.m_Records)
      if (Value.m_State == KeyState::Unknown && Found.size() < Most)
        Found.push_back(Name);
  return Found;
}

} // namespace wasabivale::ledger
