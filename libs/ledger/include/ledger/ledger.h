/// \file
/// At-most-once ledger: which attempt may run a request that is not
/// repeatable, and what became of it.
///
/// A key is the pair (caller, idempotency key). `apply` is the deterministic
/// step of the replicated state: equal commands in equal order give equal
/// states and equal snapshots. It does no I/O and reads no clock; time is the
/// log time of the commands.
///
/// Rules:
///  - A key is granted to one attempt. It is granted to another only after it
///    was released (proved never sent) or its retention has run out.
///  - A key that is in progress never expires and is never evicted.
///  - When the ledger is full a new key is refused; nothing unexpired makes
///  way.
///  - When the session of the entry that holds a key ends, the outcome is
///    unknown. The holder may still report the true outcome late. A session
///    that only lost its lease for a while may hold keys again.

#ifndef WASABIVALE_LEDGER_LEDGER_H
#define WASABIVALE_LEDGER_LEDGER_H

#include "base/base.h"
#include "logtime/logtime.h"
#include "wire.pb.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace wasabivale::ledger {

/// Shards of the key space. A shard is the unit that another consensus group
/// could hold: no rule of a key reaches beyond its shard.
inline constexpr std::size_t ShardCount = 16;

/// Accounted for each key beside its texts, in bytes.
inline constexpr std::size_t KeyOverheadBytes = 512;

/// Shortest and longest key, in bytes.
inline constexpr std::size_t LongestKeyBytes = 128;

struct Key {
  CallerId m_Caller;
  std::string m_Key;

  bool operator==(const Key &) const = default;
  bool operator<(const Key &Other) const {
    return std::tie(m_Caller, m_Key) < std::tie(Other.m_Caller, Other.m_Key);
  }
};

enum class KeyState : std::uint8_t {
  InProgress, ///< Granted; the holder has not reported.
  Completed,  ///< The holder reported a whole answer.
  Unknown,    ///< A target may have run it.
  Released,   ///< Proved never sent; another attempt may be granted.
};

/// Name in `wire::LedgerAnswer::state`.
std::string_view stateName(KeyState Value);

/// One start of an entry.
struct EntrySession {
  NodeId m_Entry;
  std::uint64_t m_Session = 0;

  bool operator==(const EntrySession &) const = default;
  bool operator<(const EntrySession &Other) const {
    return std::tie(m_Entry, m_Session) <
           std::tie(Other.m_Entry, Other.m_Session);
  }
};

struct Answer {
  std::uint32_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  bool m_Dropped = false; ///< Completed, but too large to be kept.
};

/// What is known of one key.
struct Record {
  std::string m_BodyDigest;
  RequestId m_Attempt;
  EntrySession m_Holder;
  KeyState m_State = KeyState::InProgress;
  LogClock::duration m_Retention{0};
  LogTime m_Expires; ///< Unused while in progress.
  Answer m_Answer;
};

struct Shard {
  std::map<Key, Record> m_Records;
  std::set<std::pair<LogTime, Key>> m_Expiry;
  std::map<EntrySession, std::set<Key>> m_Open; ///< Keys in progress.
};

struct Limits {
  std::size_t m_Keys = 100'000;
  std::size_t m_Bytes = 64U << 20U;       ///< Of all records together.
  std::size_t m_AnswerBytes = 64U << 10U; ///< Of one kept answer.
  std::chrono::nanoseconds m_Retention = std::chrono::hours(24);
};

struct State {
  std::array<Shard, ShardCount> m_Shards;
  Limits m_Limits;
  LogTime m_Now; ///< Log time of the newest command.
  std::size_t m_Keys = 0;
  std::size_t m_Bytes = 0;
};

struct Reply {
  std::optional<Refusal> m_Refusal;
  std::string m_Message;
  wire::LedgerAnswer m_Answer;
};

/// Shard that holds \p Name.
std::size_t shardOf(const Key &Name);

/// Whether `apply` of this library handles \p Command.
bool handles(const wire::Command &Command);

/// Applies a committed command: BeginRequest, FinishRequest, ReleaseRequest,
/// LookUpRequest, EntryGone, or OperatorCommand of kind `resolve` with the body
/// `{"caller", "key", "outcome": "completed" | "released", "status",
/// "content_type", "answer"}`. Others yield `MalformedRequest`.
Reply apply(State &On, const wire::Command &Command);

/// Takes limits from a newly accepted configuration. Lower limits refuse new
/// keys; they evict nothing.
void setLimits(State &On, const Limits &New);

/// The record of \p Name, or null. Expired records are not returned.
const Record *find(const State &In, const Key &Name);

/// Sessions that hold keys in progress. A new leader ends those that no live
/// entry has.
std::vector<EntrySession> openSessions(const State &In);

/// Keys whose outcome is unknown, in order, at most \p Most.
std::vector<Key> unknownKeys(const State &In, std::size_t Most);

/// Whole state as bytes; equal states give equal bytes.
std::string snapshot(const State &From);
Result<State> restore(std::string_view Bytes);

} // namespace wasabivale::ledger

#endif // WASABIVALE_LEDGER_LEDGER_H
