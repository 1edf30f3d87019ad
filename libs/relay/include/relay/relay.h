/// \file
/// Plain HTTP requests that are passed on to targets unread: what deciding code
/// needs to know of them, how targets are spoken to, and a checked reader of
/// their event streams.
///
/// Names and formats of one deployment are a `Dialect`: functions that turn its
/// fields into the types of this file and back. Nothing else knows them.

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

/// Consecutive part of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t m_Hash = 0; ///< Of its identity.
  std::uint32_t m_Tokens = 0;

  bool operator==(const PromptPart &) const = default;
};

/// A caller's request.
struct CallerRequest {
  std::string m_Id; ///< The caller's name for this attempt of it.
  std::string m_Method;
  std::string m_Target; ///< Path and query, byte for byte.
  std::string m_Host;
  std::string m_Path;
  /// To be passed on: without those of one connection and those that only this
  /// system may set.
  http::Fields m_Fields;
  std::string m_Body;
  /// How long the caller waits, from the arrival on. None if it did not say.
  std::optional<std::chrono::milliseconds> m_CallerTimeout;
  std::string m_Model; ///< Empty for a request that no engine runs.
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_MaxTokens = 0;
  std::uint32_t m_ExpectedTokens = 0;    ///< The caller's guess; zero: none.
  std::vector<PromptPart> m_PromptParts; ///< Of the prompt, in order.
  std::uint64_t m_LastEventId = 0; ///< Id of the last event it already has.

  bool operator==(const CallerRequest &) const = default;
};

/// What is set on one try.
struct TryOptions {
  TargetId m_Target; ///< No other process at the address may run it.
  TimePoint m_Deadline;
  std::uint32_t m_Urgency = 0;     ///< Zero goes first.
  std::uint64_t m_LastEventId = 0; ///< Go on after this event.
  bool m_PrefillOnly = false;
  std::string m_KvSource; ///< `ip:port/handle` of KV memory; or empty.
  /// `ip:port` of an engine that keeps part of the prompt; or empty.
  std::string m_FetchFrom;
};

/// What the head of a target's answer says beside its status.
struct ResponseInfo {
  /// The target's word that it did not run the request, nor will.
  bool m_NotRun = false;
  /// Another process has the target's address now.
  bool m_WrongTarget = false;
  /// It comes from a target, not from something on the way.
  bool m_Signed = false;
  std::string m_Id; ///< Of the request that it answers; empty if not told.
  struct Load {
    std::uint32_t m_Running = 0;
    std::uint32_t m_Waiting = 0;
    std::uint32_t m_Slots = 0;
  };
  std::optional<Load> m_Load;
};

/// An engine has read a prompt and keeps its KV memory for pick-up.
struct PrefillResult {
  std::string m_Handle;
  std::uint32_t m_Tokens = 0;
};

/// One deployment's names and formats.
struct Dialect {
  /// Fields of a request as they are sent to a target.
  http::Fields (*m_RequestFields)(const CallerRequest &, const TryOptions &,
                                  TimePoint Now);
  ResponseInfo (*m_ReadResponse)(int Status, const http::Fields &);
  Result<PrefillResult> (*m_ReadPrefillResult)(std::string_view Body);
  /// Method and path of the call that frees KV memory nobody will fetch.
  std::pair<std::string, std::string> (*m_FreeKv)(const std::string &Handle);
  /// An arrival, or why it can't be passed on.
  std::variant<CallerRequest, Error> (*m_ReadRequest)(const http::Request &);
};

/// Chained hashes of the prompt's whole blocks of \p BlockTokens, for placing
/// requests beside others that share their beginning. Pieces that the request
/// has for itself only (the last part) are not hashed.
std::vector<std::uint64_t>
hashPromptBlocks(const std::string &Model, const std::vector<PromptPart> &Parts,
                 std::uint32_t BlockTokens);

// --- Streams ----------------------------------------------------------------

/// One whole event of a stream, with the blank line that ends it.
struct Event {
  std::uint64_t m_Id = 0; ///< Zero: it has none.
  std::string m_Text;
};

/// Cuts the bytes of a stream into whole events, whose ids must rise by one. An
/// event that was seen before is dropped; a gap is a fault. The start of an
/// event that never ends is not passed on.
class EventReader {
public:
  /// \param Seen id of the last event that the receiver has; none when the
  /// first id is not known.
  explicit EventReader(std::uint64_t Seen) : m_Seen(Seen) {}

  /// Appends whole events to \p Into, up to the first fault.
  Status feed(std::string_view Bytes, std::vector<Event> &Into);
  /// Whether the bytes so far end with a whole event.
  [[nodiscard]] bool isBetweenEvents() const { return m_Rest.empty(); }
  [[nodiscard]] std::uint64_t seen() const { return m_Seen; }
  [[nodiscard]] std::uint64_t duplicates() const { return m_Duplicates; }

private:
  std::uint64_t m_Seen;
  std::uint64_t m_Duplicates = 0;
  std::string m_Rest;
};

// --- Calls ------------------------------------------------------------------

/// How a try ended.
enum class TryCompletion : std::uint8_t {
  Complete,      ///< The answer has been passed on, or stands in `m_Answer`.
  NotRun,        ///< Proved not run: never sent, or the target's word.
  ErrorResponse, ///< The target ran it and answered with a failure.
  Inconclusive,  ///< It may have run; no whole answer came.
};

struct TryResult {
  TryCompletion m_Outcome = TryCompletion::Inconclusive;
  int m_Status = 0; ///< Zero when no answer came.
  bool m_WrongTarget = false;
  bool m_InvalidResponse = false; ///< What came is no answer to this request.
  http::Response m_Response;      ///< When whole or failing, and not streamed.
  std::uint64_t m_LastEventId = 0;
  std::uint64_t m_Duplicates = 0;
  Error m_Failure; ///< Unless whole.
};

struct TryHandlers {
  /// The head of a stream that succeeds. Comes before its events.
  std::function<void(int Status, const http::Fields &)> m_OnHead;
  std::function<void(const Event &)> m_OnEvent;
  std::function<void(const ResponseInfo::Load &)> m_OnLoad; ///< Optional.
  /// Called once, last, and not at all after `cancel`.
  std::function<void(TryResult)> m_OnEnd;
};

/// Sends \p What to a target once. \p What, \p Through and \p In outlive the
/// call.
std::shared_ptr<http::ClientCall> send(http::Pool &Through, const Dialect &In,
                                       const http::Address &To,
                                       const CallerRequest &What,
                                       const TryOptions &With, bool Repeatable,
                                       TryHandlers Handlers);

} // namespace wasabivale::relay

#endif // WASABIVALE_RELAY_RELAY_H
