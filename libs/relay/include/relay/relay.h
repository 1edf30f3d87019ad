/// \file
/// Relays plain HTTP requests to targets without interpreting their bodies: the
/// request metadata that routing decisions need, the exchange with a target,
/// and a validating reader of its event streams.
///
/// Field names and formats of a deployment are isolated in a `Dialect`, whose
/// functions convert between HTTP fields and the types of this file.

#ifndef WASABIVALE_RELAY_RELAY_H
#define WASABIVALE_RELAY_RELAY_H

#include "base/base.h"
#include "http/http.h"
#include "routes/routes.h"
#include "targets/targets.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabivale::relay {

/// Section of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t m_Hash = 0; ///< Of the part's identity.
  std::uint32_t m_Tokens = 0;

  bool operator==(const PromptPart &) const = default;
};

/// A request of a caller.
struct CallerRequest {
  std::string m_Id; ///< The caller's id of this attempt.
  std::string m_Method;
  std::string m_Target; ///< Path and query, byte for byte.
  std::string m_Host;
  std::string m_Path;
  /// Fields to forward: without hop-by-hop fields and those that only this
  /// system may set.
  http::Fields m_Fields;
  std::string m_Body;
  /// Time that the caller waits from arrival; unset if not given.
  std::optional<std::chrono::milliseconds> m_CallerTimeout;
  std::string m_Model; ///< Empty if no engine runs the request.
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_MaxTokens = 0;
  std::uint32_t m_ExpectedTokens = 0; ///< Caller's estimate; zero if unknown.
  std::vector<PromptPart> m_PromptParts; ///< In prompt order.
  std::uint64_t m_LastEventId = 0;       ///< Last event that the caller has.
  /// Id of the attempt that brought the first event of a resumed stream; empty
  /// if not given.
  std::string m_FirstAttempt;
  /// Key of a customer; unset if none was given, or not in the one way in which
  /// keys are given.
  std::optional<std::string> m_Key;

  bool operator==(const CallerRequest &) const = default;
};

/// Parameters of one try.
struct TryOptions {
  TargetId m_Target; ///< No other process at its address may run the request.
  TimePoint m_Deadline;
  std::uint32_t m_Urgency = 0;     ///< Zero is the most urgent.
  std::uint64_t m_LastEventId = 0; ///< Resume after this event.
  bool m_PrefillOnly = false;
  std::string m_KvSource; ///< `ip:port/handle` of KV memory, or empty.
  /// `ip:port` of an engine that has part of the prompt cached, or empty.
  std::string m_FetchFrom;
  /// The receiver has the head of the stream: any response but a stream of
  /// events is a failure.
  bool m_EventsOnly = false;
  /// Set for a request that may have been sent before: a kept connection could
  /// repeat the answer to that try, which has the same id.
  bool m_FreshConnection = false;
  /// Set where requests need keys: the target is told the customer, if there is
  /// one, and neither the key nor a customer that the caller names.
  bool m_ChecksKeys = false;
  std::string m_Customer;
};

/// Metadata in the head of a target's response, besides the status.
struct ResponseInfo {
  /// The target states that it has not run the request and will not run it.
  bool m_NotRun = false;
  /// Another process now uses the target's address.
  bool m_WrongTarget = false;
  /// The response comes from a target, not from an intermediary.
  bool m_Signed = false;
  std::string m_Id; ///< Id of the answered request; empty if missing.
  struct Load {
    std::uint32_t m_Running = 0;
    std::uint32_t m_Waiting = 0;
    std::uint32_t m_Slots = 0;
    /// Time that work takes there now over the usual time, which changes many
    /// times a second; unset if it is not told.
    std::optional<double> m_Slowdown{};
  };
  std::optional<Load> m_Load;
  /// Requests a second that the target accepts from all entries together; unset
  /// if it names no limit.
  std::optional<double> m_RequestsPerSecond;
  bool m_Leaving = false; ///< The target is about to leave.
  /// The target turned the request away and wants no other for this long.
  std::optional<Duration> m_RestFor;
};

/// Result of a prefill whose KV memory the engine keeps until it is fetched.
struct PrefillResult {
  std::string m_Handle;
  std::uint32_t m_Tokens = 0;
};

/// Field names and formats of one deployment.
struct Dialect {
  /// Builds the fields of a request to a target.
  http::Fields (*m_RequestFields)(const CallerRequest &, const TryOptions &,
                                  TimePoint Now);
  ResponseInfo (*m_ReadResponse)(int Status, const http::Fields &);
  Result<PrefillResult> (*m_ReadPrefillResult)(std::string_view Body);
  /// Method and path of the call that frees KV memory that will not be fetched.
  std::pair<std::string, std::string> (*m_FreeKv)(const std::string &Handle);
  /// Reads an arriving request; the error says why it can't be relayed.
  std::variant<CallerRequest, Error> (*m_ReadRequest)(const http::Request &);
};

/// Chained hashes of the complete blocks of \p BlockTokens tokens, used to
/// route requests with a common prefix to the same target. The last part, which
/// is unique to the request, is not hashed.
std::vector<std::uint64_t>
hashPromptBlocks(const std::string &Model, const std::vector<PromptPart> &Parts,
                 std::uint32_t BlockTokens);

// --- Streams ----------------------------------------------------------------

/// A complete event of a stream, including the blank line that ends it.
struct Event {
  std::uint64_t m_Id = 0; ///< Zero if it has no id.
  std::string m_Text;
};

/// Splits the bytes of a stream into complete events, whose ids must increase
/// by one. Drops events received before; a gap in the ids is an error, and so
/// is a line that is no field of an event. An incomplete event is not
/// forwarded.
class EventReader {
public:
  /// \param LastEventId id of the last event that the receiver has; zero if it
  /// has none.
  explicit EventReader(std::uint64_t LastEventId)
      : m_LastEventId(LastEventId) {}

  /// Appends complete events to \p Events, up to the first error.
  Status feed(std::string_view Bytes, std::vector<Event> &Events);
  /// Whether the bytes so far end with a complete event.
  [[nodiscard]] bool isBetweenEvents() const { return m_Incomplete.empty(); }
  [[nodiscard]] std::uint64_t lastEventId() const { return m_LastEventId; }
  [[nodiscard]] std::uint64_t duplicates() const { return m_Duplicates; }

private:
  std::uint64_t m_LastEventId;
  std::uint64_t m_Duplicates = 0;
  std::string m_Incomplete;
};

// --- Calls ------------------------------------------------------------------

/// What the end of a try says about the execution of the request.
enum class TryCompletion : std::uint8_t {
  Complete,      ///< The response was forwarded or is in `m_Response`.
  NotRun,        ///< Provably not run: never sent, or the target says so.
  ErrorResponse, ///< The target ran the request and answered with an error.
  Inconclusive,  ///< It may have run; no complete response arrived.
};

struct TryResult {
  TryCompletion m_Outcome = TryCompletion::Inconclusive;
  int m_Status = 0; ///< Zero if no response arrived.
  bool m_WrongTarget = false;
  bool m_InvalidResponse = false; ///< Not a response to this request.
  http::Response m_Response; ///< If complete or an error, and not streamed.
  std::uint64_t m_LastEventId = 0;
  std::uint64_t m_Duplicates = 0;
  Error m_Failure; ///< Unless complete.
};

struct TryHandlers {
  /// Called with the head of a successful stream, before its events.
  std::function<void(int Status, const http::Fields &)> m_OnHead;
  std::function<void(const Event &)> m_OnEvent;
  std::function<void(const ResponseInfo::Load &)> m_OnLoad; ///< Optional.
  /// Called with the head of each response of the target itself to the
  /// request. Optional.
  std::function<void(const ResponseInfo &)> m_OnResponse;
  /// Called once, as the last handler; not called after `cancel`.
  std::function<void(TryResult)> m_OnEnd;
};

/// Sends a request to the target at \p Address once.
/// \p Connections, \p Format and \p Request must outlive the call.
std::shared_ptr<http::ClientCall>
send(http::Pool &Connections, const Dialect &Format,
     const http::Address &Address, const CallerRequest &Request,
     const TryOptions &Options, bool Repeatable, TryHandlers Handlers);

} // namespace wasabivale::relay

#endif // WASABIVALE_RELAY_RELAY_H
