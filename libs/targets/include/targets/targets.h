/// \file
/// The wire form of targets (engines and plain services): messages, their
/// codecs, a checked reader of token streams and thin clients on HTTP. No
/// other library knows this wire form; docs/INTERFACES.md describes it.
///
/// Parsers take anything a peer may send and answer a value within the limits
/// below or an `Error` of step `targets.<message>`; they never throw. Unknown
/// keys are ignored, so that targets may be newer than this system.

#ifndef WASABIVALE_TARGETS_TARGETS_H
#define WASABIVALE_TARGETS_TARGETS_H

#include "base/base.h"
#include "http/http.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace wasabivale::targets {

// --- Limits ----------------------------------------------------------------

/// Longest identity, name or address, in bytes.
constexpr std::size_t MaxNameBytes = 256;
/// Most models or services of one target.
constexpr std::size_t MaxNames = 256;
/// Most cache events of one heartbeat.
constexpr std::size_t MaxCacheEvents = 4096;
/// Longest prompt, service body or answer, in bytes.
constexpr std::size_t MaxTextBytes = 4U << 20U;
/// Longest line of a stream, in bytes.
constexpr std::size_t MaxLineBytes = 1U << 20U;
/// Deepest nesting of JSON.
constexpr std::size_t MaxDepth = 16;
/// Greatest token count of one stream.
constexpr std::uint64_t MaxStreamTokens = 1U << 24U;

// --- Messages --------------------------------------------------------------

enum class Kind : std::uint8_t { Engine, Service };
enum class Role : std::uint8_t { Mixed, Prefill, Decode };

std::string_view kindName(Kind Value);
std::string_view roleName(Role Value);
std::optional<Role> roleFromName(std::string_view Name);

/// Authority under which an order is given; a target that checks fences
/// refuses one below the newest it has seen.
struct Fence {
  std::uint64_t m_Term = 0;
  std::uint64_t m_Sequence = 0;

  bool operator==(const Fence &) const = default;
  bool operator<(const Fence &Other) const {
    return std::tie(m_Term, m_Sequence) <
           std::tie(Other.m_Term, Other.m_Sequence);
  }
};

/// A target makes itself known to an entry.
struct Announcement {
  TargetId m_Id;
  std::string m_Incarnation; ///< New at each start of the target.
  http::Address m_Address;
  Kind m_Kind = Kind::Engine;
  RegionId m_Region;
  ZoneId m_Zone;
  std::vector<ModelId> m_Models;       ///< Engines only.
  std::vector<std::string> m_Services; ///< Services only.
  Role m_Role = Role::Mixed;
  bool m_ChecksFence = false;
  std::uint64_t m_KvBlocks = 0; ///< Blocks of 1,024 tokens.
  std::uint64_t m_MaxRunning = 1;
  std::uint64_t m_PrefillTokensPerSecond = 0;
  std::uint64_t m_DecodeTokensPerSecond = 0; ///< Of one stream.
  std::string m_SoftwareVersion; ///< Of its program, not of the weights.

  bool operator==(const Announcement &) const = default;
};

struct AnnounceAnswer {
  bool m_Accepted = false;
  std::chrono::milliseconds m_HeartbeatEvery{1000};
};

/// One change of an engine's prefix cache.
struct CacheEvent {
  std::uint64_t m_Number = 0; ///< Counts from 1 without gaps at the engine.
  bool m_Added = true;        ///< False when the block was removed.
  std::uint64_t m_Block = 0;  ///< Chained block hash.

  bool operator==(const CacheEvent &) const = default;
};

/// A target's report of itself. It lags behind reality, and numbers missing
/// from the cache events mean that some were lost.
struct Heartbeat {
  TargetId m_Id;
  std::string m_Incarnation;
  std::uint64_t m_Sequence = 0;
  Role m_Role = Role::Mixed;
  std::vector<ModelId> m_Models;
  std::uint64_t m_Running = 0;
  std::uint64_t m_Waiting = 0;
  std::uint64_t m_PrefillTokensWaiting = 0;
  std::uint64_t m_KvBlocksFree = 0;
  Fence m_Fence;
  std::uint64_t m_CacheFrom = 0; ///< Number of the first event covered.
  std::uint64_t m_CacheTo = 0;   ///< Number of the last event covered.
  std::vector<CacheEvent> m_CacheEvents;

  bool operator==(const Heartbeat &) const = default;
};

struct HeartbeatAnswer {
  bool m_Accepted = false;
  bool m_Announce = false; ///< The target must announce itself again.
};

/// The target wants to leave; it serves on until it is withdrawn.
struct Leave {
  TargetId m_Id;
  std::string m_Incarnation;

  bool operator==(const Leave &) const = default;
};

/// What an order wants a target to be.
struct WantedState {
  Role m_Role = Role::Mixed;
  std::vector<ModelId> m_Models;
  bool m_Draining = false;
  bool m_Withdrawn = false;

  bool operator==(const WantedState &) const = default;
};

struct Order {
  std::string m_Id;
  Fence m_Fence;
  WantedState m_Want;

  bool operator==(const Order &) const = default;
};

enum class OrderAnswer : std::uint8_t { Accepted, StaleFence, Busy };
enum class OrderState : std::uint8_t { None, Running, Done, Failed };

struct TargetState {
  TargetId m_Id;
  std::string m_Incarnation;
  Role m_Role = Role::Mixed;
  std::vector<ModelId> m_Models;
  bool m_Draining = false;
  bool m_Withdrawn = false;
  bool m_Changing = false;
  std::string m_Order; ///< The last order taken; empty if none.
  OrderState m_OrderState = OrderState::None;
  Fence m_Fence;
  std::uint64_t m_Running = 0;
  std::uint64_t m_KvBlocksFree = 0;

  bool operator==(const TargetState &) const = default;
};

struct RunRequest {
  RequestId m_Request; ///< Of this try.
  ModelId m_Model;
  std::string m_Prompt; ///< UTF-8.
  std::uint64_t m_MaxTokens = 16;
  std::uint64_t m_Priority = 5; ///< 0 (overnight) to 9 (urgent).
  std::uint64_t m_Offset = 0;   ///< Tokens that need not be sent again.
  std::string m_StreamId;       ///< Of the whole stream, over all its tries.
  TimePoint m_Deadline;
  std::string m_KvTicket; ///< `ip:port/ticket`, or empty.
  bool m_PrefillOnly = false;

  bool operator==(const RunRequest &) const = default;
};

/// The first line of a stream that goes on from an offset.
struct StreamResumed {
  std::uint64_t m_Offset = 0;
};

/// Text of one or more tokens.
struct StreamPiece {
  std::uint64_t m_Offset = 0; ///< Tokens before it.
  std::uint64_t m_Tokens = 1;
  std::string m_Text;
};

/// The end marker of a whole stream.
struct StreamEnd {
  std::uint64_t m_Length = 0; ///< Tokens of the whole stream.
  std::string m_Finish;       ///< `stop` or `length`.
  std::uint64_t m_CachedBlocks = 0;
  std::string m_KvTicket; ///< `ip:port/ticket`, or empty.
};

using StreamEvent = std::variant<StreamResumed, StreamPiece, StreamEnd>;

/// One line of a stream with the identity that it names.
struct StreamLine {
  std::string m_StreamId;
  StreamEvent m_Event;
};

struct ServiceCall {
  RequestId m_Request; ///< Of this try.
  std::string m_Service;
  std::string m_Method;
  std::string m_Path;
  std::string m_Body;
  bool m_NotRepeatable = false;
  std::string m_IdempotencyKey; ///< Empty if the caller gave none.

  bool operator==(const ServiceCall &) const = default;
};

struct ServiceAnswer {
  int m_Status = 200;
  std::string m_Body;
  std::string m_ContentType;
  http::Fields m_Fields = {}; ///< Of a plain answer, passed on as it is.

  bool operator==(const ServiceAnswer &) const = default;
};

/// Where an engine fetches KV blocks: `ip:port/ticket`.
struct KvTicket {
  http::Address m_Engine;
  std::string m_Ticket;
};

// --- Codecs ----------------------------------------------------------------

Result<Announcement> parseAnnouncement(std::string_view Json);
std::string print(const Announcement &Value);
Result<AnnounceAnswer> parseAnnounceAnswer(std::string_view Json);
std::string print(const AnnounceAnswer &Value);
Result<Heartbeat> parseHeartbeat(std::string_view Json);
std::string print(const Heartbeat &Value);
Result<HeartbeatAnswer> parseHeartbeatAnswer(std::string_view Json);
std::string print(const HeartbeatAnswer &Value);
Result<Leave> parseLeave(std::string_view Json);
std::string print(const Leave &Value);
Result<TargetState> parseTargetState(std::string_view Json);
std::string print(const TargetState &Value);
Result<Order> parseOrder(std::string_view Json);
std::string print(const Order &Value);
/// Reads the answer to an order from its HTTP status and body.
Result<OrderAnswer> parseOrderAnswer(int HttpStatus, std::string_view Json);
std::string print(OrderAnswer Value);
/// \returns the HTTP status of an answer to an order.
int httpStatus(OrderAnswer Value);
/// \param Now turns the time left on the wire into a deadline and back.
Result<RunRequest> parseRunRequest(std::string_view Json, TimePoint Now);
std::string print(const RunRequest &Value, TimePoint Now);
Result<StreamLine> parseStreamLine(std::string_view Json);
/// Without the line feed.
std::string print(const StreamLine &Value);
/// \returns the request to cancel.
Result<RequestId> parseCancel(std::string_view Json);
std::string printCancel(const RequestId &Request);
/// \returns whether the engine stopped the run.
Result<bool> parseCancelAnswer(std::string_view Json);
std::string printCancelAnswer(bool Cancelled);
Result<ServiceCall> parseServiceCall(std::string_view Json);
std::string print(const ServiceCall &Value);
Result<ServiceAnswer> parseServiceAnswer(std::string_view Json);
std::string print(const ServiceAnswer &Value);
Result<KvTicket> parseKvTicket(std::string_view Text);
std::string print(const KvTicket &Value);
/// A target's refusal; \p NotRun is its word that it did not run the request.
std::string printRefusal(std::string_view Reason, bool NotRun);
/// \returns whether a refusal says that the request did not run.
bool saysNotRun(std::string_view Json);

// --- Streams ---------------------------------------------------------------

/// Turns the bytes of a stream into its events and checks them: identity,
/// offsets, length and the end marker. After an error it stays failed.
class StreamReader {
public:
  /// \param Offset tokens that the receiver already has.
  /// \param MaxTokens longest stream that was asked for.
  StreamReader(std::string StreamId, std::uint64_t Offset,
               std::uint64_t MaxTokens);

  /// Takes the next bytes. Events up to the first fault are appended to
  /// \p Into even when an error is returned.
  Status feed(std::string_view Bytes, std::vector<StreamEvent> &Into);

  /// Tokens that have arrived in order, with those before the start.
  [[nodiscard]] std::uint64_t offset() const { return m_Offset; }
  /// Whether the end marker has come and agreed with the tokens.
  [[nodiscard]] bool isWhole() const { return m_Whole && !m_Failed; }
  /// Pieces that repeated tokens already seen and were dropped.
  [[nodiscard]] std::uint64_t duplicates() const { return m_Duplicates; }

private:
  Status takeLine(std::string_view Line, std::vector<StreamEvent> &Into);
  Status takePiece(StreamPiece Piece, std::vector<StreamEvent> &Into);
  Status takeEnd(const StreamEnd &End, std::vector<StreamEvent> &Into);
  Status takeResumed(StreamResumed Line, std::vector<StreamEvent> &Into);

  std::string m_StreamId;
  std::uint64_t m_Start;
  std::uint64_t m_Offset;
  std::uint64_t m_MaxTokens;
  std::uint64_t m_Duplicates = 0;
  std::string m_Rest; ///< Start of a line that is not whole yet.
  bool m_Begun = false;
  bool m_Whole = false;
  bool m_Failed = false;
};

// --- Clients ---------------------------------------------------------------

enum class RunResult : std::uint8_t {
  Whole,   ///< The whole stream has been passed on.
  NotRun,  ///< Proved not run: never sent, or the engine's word (429, 503).
  Refused, ///< Not run, and the same request would be refused again there.
  Broken,  ///< The engine may have run it; `m_Offset` tokens have arrived.
};

struct RunEnding {
  RunResult m_Result = RunResult::Broken;
  int m_HttpStatus = 0;       ///< 0 when no answer came.
  StreamEnd m_End;            ///< When whole.
  std::uint64_t m_Offset = 0; ///< Tokens that arrived in order.
  std::uint64_t m_Duplicates = 0;
  Error m_Failure; ///< Unless whole.
};

struct RunHandlers {
  /// The engine has taken the request: status 200 has come. Optional.
  std::function<void()> m_OnStarted;
  std::function<void(const StreamPiece &)> m_OnPiece;
  /// Called once, last, and not at all after `cancel`.
  std::function<void(RunEnding)> m_OnEnd;
};

/// Runs a request on an engine until its deadline, on a connection of its own.
/// Cancelling the call closes the connection; `cancelRun` tells the engine.
std::shared_ptr<http::ClientCall> runOnEngine(event_base *Loop,
                                              const http::Address &Engine,
                                              const RunRequest &What,
                                              RunHandlers Handlers);

enum class CallResult : std::uint8_t {
  Answered, ///< The service ran the call and answered.
  NotRun,   ///< Proved not run: never sent, or the service's word (429, 503).
  Refused,  ///< Not run, and the same call would be refused again there.
  Unknown,  ///< The service may have run it.
};

struct CallEnding {
  CallResult m_Result = CallResult::Unknown;
  int m_HttpStatus = 0; ///< 0 when no answer came.
  ServiceAnswer m_Answer;
  Error m_Failure; ///< Unless answered.
};

/// Calls a service once. \p OnEnd is not called after `cancel`.
std::shared_ptr<http::ClientCall>
callService(event_base *Loop, const http::Address &Service,
            const ServiceCall &What, TimePoint Deadline,
            std::function<void(CallEnding)> OnEnd);

std::shared_ptr<http::ClientCall>
cancelRun(event_base *Loop, const http::Address &Engine,
          const RequestId &Request, TimePoint Deadline,
          std::function<void(Result<bool>)> OnEnd);

std::shared_ptr<http::ClientCall>
getState(event_base *Loop, const http::Address &Target, TimePoint Deadline,
         std::function<void(Result<TargetState>)> OnEnd);

std::shared_ptr<http::ClientCall>
sendOrder(event_base *Loop, const http::Address &Target, const Order &What,
          TimePoint Deadline, std::function<void(Result<OrderAnswer>)> OnEnd);

} // namespace wasabivale::targets

#endif // WASABIVALE_TARGETS_TARGETS_H
