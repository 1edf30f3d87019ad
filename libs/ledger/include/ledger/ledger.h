/// \file
/// At-most-once ledger: which attempt may run a non-repeatable request, and its
/// outcome.
///
/// A key is the pair (caller, idempotency key). `apply` is the deterministic
/// transition of the replicated state: the same commands in the same order give
/// equal states and equal snapshots. It does no I/O and reads no clock; time is
/// the log time of the commands.
///
/// Rules:
///  - A key is granted to one attempt. It is granted to another only after it
///    was released (proved never sent) or its retention has expired.
///  - A key that is in progress never expires and is never evicted.
///  - A full ledger refuses a new key; it evicts no unexpired key.
///  - When the session of the entry that holds a key ends, the outcome becomes
///    unknown. The holder may still report the actual outcome later. A session
///    that lost its lease temporarily may hold keys again.

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

/// Number of shards of the key space. No rule of a key involves another shard,
/// so a shard could be held by a separate consensus group.
inline constexpr std::size_t ShardCount = 16;

/// Overhead accounted for each key in addition to its strings.
inline constexpr std::size_t KeyOverheadBytes = 512;

/// Maximum length of an idempotency key.
inline constexpr std::size_t MaxKeyBytes = 128;

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
  Completed,  ///< The holder reported a complete answer.
  Unknown,    ///< A target may have run the request.
  Released,   ///< Proved never sent; another attempt may be granted.
};

/// Name in `wire::LedgerAnswer::state`.
std::string_view stateName(KeyState Value);

/// Identifies one start of an entry process.
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
  bool m_Dropped = false; ///< Completed, but the answer was too large to keep.
};

/// State of one key.
struct Record {
  std::string m_BodyDigest;
  RequestId m_Attempt;
  EntrySession m_Holder;
  KeyState m_State = KeyState::InProgress;
  LogClock::duration m_Retention{0};
  LogTime m_Expires; ///< Not used while in progress.
  Answer m_Answer;
};

struct Shard {
  std::map<Key, Record> m_Records;
  std::set<std::pair<LogTime, Key>> m_Expiry;
  std::map<EntrySession, std::set<Key>> m_InProgress; ///< By holder.
};

struct Limits {
  std::size_t m_Keys = 100'000;
  std::size_t m_Bytes = 64U << 20U;       ///< Total over all records.
  std::size_t m_AnswerBytes = 64U << 10U; ///< Per kept answer.
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

/// Index of the shard that holds \p Id.
std::size_t shardOf(const Key &Id);

/// Whether `apply` of this library handles \p Command.
bool handles(const wire::Command &Command);

/// Applies a committed command: BeginRequest, FinishRequest, ReleaseRequest,
/// LookUpRequest, EntryGone, or OperatorCommand of kind `resolve` with the body
/// `{"caller", "key", "outcome": "completed" | "released", "status",
/// "content_type", "answer"}`. Others yield `MalformedRequest`.
Reply apply(State &Ledger, const wire::Command &Command);

/// Sets the limits of a newly accepted configuration. Lower limits refuse new
/// keys but evict none.
void setLimits(State &Ledger, const Limits &NewLimits);

/// Returns the record of \p Id, or null if there is none or it has expired.
const Record *find(const State &Ledger, const Key &Id);

/// Sessions that hold keys in progress. A new leader ends those that belong to
/// no live entry.
std::vector<EntrySession> openSessions(const State &Ledger);

/// Keys whose outcome is unknown, in order, at most \p MaxCount.
std::vector<Key> unknownKeys(const State &Ledger, std::size_t MaxCount);

/// Serializes the whole state; equal states give equal bytes.
std::string snapshot(const State &Ledger);

/// Serializes what \p ShardIndex holds and what all shards share.
std::string shardSnapshot(const State &Ledger, std::size_t ShardIndex);

Result<State> restore(std::string_view Bytes);

} // namespace wasabivale::ledger

#endif // WASABIVALE_LEDGER_LEDGER_H
