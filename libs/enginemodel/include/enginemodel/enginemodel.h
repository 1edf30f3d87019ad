/// \file
/// Model of one inference engine: continuous batching with chunked prefill,
/// KV memory in blocks with a prefix cache, priorities, role changes.
///
/// Pure: no I/O, no clock, no randomness. Time is passed in, so that the same
/// code serves in real time and in virtual time. Work is done for each event
/// (admission, end of a prefill, end of a stream), not for each token.
///
/// One step of the engine makes one token for each decoding stream and
/// prefills one chunk of prompt tokens, so that prefill and decode slow each
/// other down. The role sets the size of the chunk.

#ifndef WASABIVALE_ENGINEMODEL_ENGINEMODEL_H
#define WASABIVALE_ENGINEMODEL_ENGINEMODEL_H

#include "base/base.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wasabivale::enginemodel {

/// Tokens of one block of KV memory.
constexpr std::uint64_t BlockTokens = 1024;
/// Bytes of text that count as one token.
constexpr std::uint64_t TokenBytes = 4;

enum class Role : std::uint8_t { Mixed, Prefill, Decode };

struct Settings {
  double m_PrefillTokensPerSecond = 20'000; ///< With no stream decoding.
  double m_DecodeTokensPerSecond = 50;      ///< Of a stream that is alone.
  /// Each further stream of the batch lengthens a step by this share.
  double m_BatchSlowdown = 0.02;
  /// Prompt tokens that one step prefills, for each role.
  double m_MixedChunkTokens = 512;
  double m_PrefillChunkTokens = 4096;
  double m_DecodeChunkTokens = 64;
  /// KV blocks that a second brings in from another engine.
  double m_ImportBlocksPerSecond = 1000;
  std::uint64_t m_KvBlocks = 2048;
  std::uint64_t m_MaxRunning = 32;
  std::uint64_t m_MaxWaiting = 256;
  Duration m_RoleChangeTime = std::chrono::seconds(5);
  Duration m_ModelLoadTime = std::chrono::seconds(3);
};

/// Names a run at its engine; chosen by whoever submits it.
using RunKey = std::uint64_t;

struct Run {
  RunKey m_Key = 0;
  std::uint64_t m_PromptTokens = 1; ///< With tokens made earlier, on a resume.
  std::uint64_t m_OutputTokens = 1; ///< Tokens to make; 0 prefills only.
  std::uint64_t m_Priority = 5;     ///< Higher goes first.
  /// Chained hashes of the prompt's whole blocks; see `blockHashes`.
  std::vector<std::uint64_t> m_Blocks;
  bool m_ImportsKv = false; ///< The KV comes from another engine.
};

enum class EventKind : std::uint8_t {
  FirstToken,   ///< Or, for a run that only prefills, its end of prefill.
  Tokens,       ///< `m_Value` tokens have been made in total.
  Finished,     ///< All tokens have been made.
  CacheAdded,   ///< Block `m_Value` can be reused.
  CacheRemoved, ///< Block `m_Value` has gone.
  RoleChanged,  ///< The engine is back, in role `m_Value`.
};

struct Event {
  TimePoint m_At;
  EventKind m_Kind = EventKind::FirstToken;
  RunKey m_Run = 0;
  std::uint64_t m_Value = 0;
};

enum class SubmitResult : std::uint8_t {
  Taken,
  Away,     ///< The engine changes its role or loads a model.
  Full,     ///< The waiting queue is full.
  TooLarge, ///< The run does not fit the engine's memory.
};

/// What a load report would say if it did not lag.
struct Load {
  std::uint64_t m_Running = 0;
  std::uint64_t m_Waiting = 0;
  std::uint64_t m_PrefillTokensWaiting = 0; ///< Of all runs, not yet done.
  std::uint64_t m_KvBlocksFree = 0;         ///< With what can be evicted.
  bool m_Away = false;
};

/// State of one run. An implementation detail of `Engine`.
struct ActiveRun {
  Run m_Run;
  std::uint64_t m_Arrival = 0;
  std::uint64_t m_CachedBlocks = 0;  ///< Found in the cache at admission.
  std::uint64_t m_PrivateBlocks = 0; ///< Reserved for this run alone.
  double m_PrefillLeft = 0;          ///< Tokens.
  double m_DecodeStart = 0;          ///< Decode clock at the first token.
  std::uint64_t m_Reported = 0;      ///< Tokens in the last `Tokens` event.
  bool m_Admitted = false;
  bool m_Decoding = false;
};

/// Place in a queue: urgent first, then by arrival. An implementation detail
/// of `Engine`.
struct Place {
  std::uint64_t m_Unimportance = 0; ///< Falls as the priority rises.
  std::uint64_t m_Arrival = 0;
  RunKey m_Run = 0;

  bool operator<(const Place &Other) const {
    return std::tie(m_Unimportance, m_Arrival, m_Run) <
           std::tie(Other.m_Unimportance, Other.m_Arrival, Other.m_Run);
  }
};

/// A cached block. An implementation detail of `Engine`.
struct CachedBlock {
  std::uint64_t m_Users = 0;
  std::uint64_t m_LastUse = 0; ///< Key in the LRU order when unused.
};

/// State of an engine; use the functions below.
struct Engine {
  Settings m_Settings;
  Role m_Role = Role::Mixed;
  /// Whether `advance` yields `Tokens` events; costs time for each stream.
  bool m_ReportsTokens = false;

  TimePoint m_Now;
  double m_Speed = 1; ///< Factor on all rates.
  bool m_Away = false;
  Role m_NextRole = Role::Mixed;
  TimePoint m_AwayUntil;
  /// Tokens that a stream decoding from the start would have made.
  double m_DecodeClock = 0;
  std::uint64_t m_Arrivals = 0;
  std::uint64_t m_Uses = 0;
  std::uint64_t m_PrivateBlocks = 0;
  std::unordered_map<RunKey, ActiveRun> m_Runs;
  std::set<Place> m_Waiting;
  std::set<Place> m_Prefilling;
  std::set<std::pair<TimePoint, RunKey>> m_Importing;
  /// Decoding streams by the decode clock of their last token.
  std::set<std::pair<double, RunKey>> m_Decoding;
  std::unordered_map<std::uint64_t, CachedBlock> m_Cache;
  std::map<std::uint64_t, std::uint64_t> m_Unused; ///< LRU order to block.
  std::vector<Event> m_Events;                     ///< Not yet handed out.
};

/// An idle engine with an empty cache.
Engine makeEngine(const Settings &With, Role As, TimePoint Now);

/// Queues a run. \pre its key is not in use. Like the other functions that take
/// the time, it first lets the engine work until \p Now, which must not go
/// back; the events of that time come with the next `advance`.
SubmitResult submit(Engine &At, Run What, TimePoint Now);

/// Lets the engine work until \p Now. \returns the events since the last call,
/// in order of time.
std::vector<Event> advance(Engine &At, TimePoint Now);

/// Ends a run and frees its memory. \returns whether it was there.
bool cancel(Engine &At, RunKey Which, TimePoint Now);

/// Takes the engine away for `m_RoleChangeTime`; its cache is lost.
/// \pre no run is waiting or running.
void setRole(Engine &At, Role To, TimePoint Now);

/// Takes the engine away for `m_ModelLoadTime`. \pre as for `setRole`.
void loadModel(Engine &At, TimePoint Now);

/// Changes the speed of everything; 1 is normal, 0.5 half as fast.
/// \pre Factor > 0
void setSpeed(Engine &At, double Factor, TimePoint Now);

/// When the state changes next by itself; `TimePoint::max()` if never.
/// Single tokens between two such events don't count.
TimePoint nextEvent(const Engine &At);

/// Tokens that a run has made by the engine's time; 0 for an unknown run.
std::uint64_t tokensMade(const Engine &At, RunKey Which);

/// Blocks of the prompt that were in the cache when the run was admitted.
std::uint64_t cachedBlocks(const Engine &At, RunKey Which);

Load load(const Engine &At);

/// Chained hashes of the whole blocks (4,096 bytes) of a prompt.
std::vector<std::uint64_t> blockHashes(std::string_view Model,
                                       std::string_view Prompt);

/// Tokens of a text, rounded up, at least one.
std::uint64_t tokensOf(std::string_view Text);

/// The text that a fake engine answers to a prompt: \p Count tokens of four
/// bytes from token \p First on. Each token depends on the whole prompt and
/// its own place, so that a lost, doubled, moved or foreign one is seen.
std::string expectedText(std::string_view Prompt, std::uint64_t First,
                         std::uint64_t Count);

} // namespace wasabivale::enginemodel

#endif // WASABIVALE_ENGINEMODEL_ENGINEMODEL_H
