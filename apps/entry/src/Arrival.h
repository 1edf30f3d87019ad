/// \file
/// Reads and checks a caller's request.

#ifndef WASABIVALE_ENTRY_ARRIVAL_H
#define WASABIVALE_ENTRY_ARRIVAL_H

#include "Configuration.h"
#include "Forwarding.h"
#include "Rejection.h"
#include "http/http.h"
#include "relay/relay.h"
#include "retries/retries.h"
#include "routing/routing.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace wasabivale::entry {

/// Bytes of text that count as one token.
inline constexpr std::size_t BytesPerToken = 4;
/// Deepest nesting of a request's JSON.
inline constexpr std::size_t MaxRequestDepth = 32;
/// Most tokens that a request may ask for.
inline constexpr std::uint64_t MaxOutputTokens = 1U << 17U;
/// `max_tokens` of a request that names none.
inline constexpr std::uint64_t DefaultOutputTokens = 16;
/// Longest `Idempotency-Key`.
inline constexpr std::size_t MaxKeyBytes = 128;
/// A timer of the loop may fire this much before its time: a deadline counts
/// as passed from then on.
inline constexpr std::chrono::milliseconds DeadlineSlack{20};
/// Longest name of a model or service.
inline constexpr std::size_t MaxModelBytes = 256;

enum class Api : std::uint8_t {
  Completions,
  Chat,
  Models,
  Service,
  Passed, ///< A plain request, passed on unread by its route.
};

/// Urgencies that one rank has: large prompts, others, and those that are
/// expected to miss their objective and so yield to the ones that can meet it.
inline constexpr std::uint32_t UrgenciesOfRank = 3;

/// A plain request with the route that it came by.
struct Passed {
  relay::CallerRequest m_Ask;
  routes::Route m_Route;
  bool m_ForEngine = false;
  /// Urgency at the target, zero first: the route's rank, and within it what
  /// takes long by itself before the rest.
  std::uint32_t m_Urgency = 0;
  std::uint32_t m_TokensPerEvent = 1;
  /// Whether the routes require keys, and whose key it was; empty: of nobody.
  bool m_ChecksKeys = false;
  std::string m_Customer;

  /// Whether it goes before others of its rank.
  [[nodiscard]] bool isLarge() const {
    return m_Urgency % UrgenciesOfRank == 0;
  }
  /// Urgency of a request that is expected to miss its objective.
  [[nodiscard]] std::uint32_t lateUrgency() const {
    return m_Route.m_Rank * UrgenciesOfRank + UrgenciesOfRank - 1;
  }
};

/// Output tokens of a plain request's stream after \p Events events. The first
/// event carries the first token, so that it does not wait for others.
std::uint64_t outputTokens(const Passed &Request, std::uint64_t Events);

/// How long a caller waits for an event of a stream, the first one too, before
/// it leaves: what callers of this route are promised, several times over.
std::chrono::nanoseconds streamPatience(const routes::Route &By);

/// Mean prompt of each route, by its name.
using MeanPrompts = std::map<std::string, double>;

/// See `Passed::m_Urgency`. Adds the prompt to the route's mean.
std::uint32_t urgencyOf(const routes::Route &By, std::uint32_t PromptTokens,
                        MeanPrompts &Means);

/// A request that is well formed and whose caller is known.
struct Arrival {
  RequestId m_Id;
  Api m_Api = Api::Completions;
  CallerId m_Caller;
  unsigned m_Priority = 5;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  bool m_NotRepeatable = false;
  std::string m_Key;        ///< `Idempotency-Key` of a not repeatable request.
  std::string m_BodyDigest; ///< Set with the key.

  std::string m_Model; ///< Model, or name of the service.
  std::string m_Prompt;
  std::uint64_t m_MaxTokens = DefaultOutputTokens;
  bool m_Stream = false;

  std::string m_Method; ///< Of a service's call, as are path and body.
  std::string m_Path;
  std::string m_Body;

  /// Set when the request is passed on unread.
  std::shared_ptr<const Passed> m_Passed;
  /// Set when another entry has forwarded the request here.
  std::optional<ForwardOrigin> m_Forwarded;

  [[nodiscard]] bool isService() const {
    return m_Passed ? !m_Passed->m_ForEngine : m_Api == Api::Service;
  }
  /// Whether a target can go on where another has stopped.
  [[nodiscard]] bool isResumable() const {
    return m_Passed ? m_Passed->m_Route.m_Resumable : !isService();
  }
  /// Whether the caller has part of a stream and asks for the rest.
  [[nodiscard]] bool isResumed() const {
    return m_Passed && isResumable() && m_Passed->m_Ask.m_LastEventId > 0;
  }
  [[nodiscard]] bool isLate(TimePoint Now) const {
    return Now + DeadlineSlack >= m_Deadline;
  }
  /// Whether the ledger keeps this request.
  [[nodiscard]] bool isKept() const { return !m_Key.empty(); }
};

struct ArrivalRules {
  bool m_AllowAnonymous = false;
};

/// Reads a request. \returns the refusal when it is not well formed, its
/// caller is not known, or it names what is not configured.
std::variant<Arrival, Rejection> readArrival(const http::Request &From,
                                             const Configuration &Known,
                                             const ArrivalRules &Rules,
                                             TimePoint Now);

/// A plain request, read by \p In and led by \p By. \returns the refusal when
/// it is not well formed or no route leads it anywhere.
/// \param Forwarded what the forwarding entry tells; unset for a caller's.
std::variant<Arrival, Rejection>
readPassed(const http::Request &Request, const routes::Index &Routes,
           const relay::Dialect &Format, MeanPrompts &Means, TimePoint Now,
           const std::optional<ForwardOrigin> &Forwarded = std::nullopt);

/// Tokens of \p Text by this system's arithmetic.
std::uint32_t tokensOf(std::string_view Text);
/// Tokens of a request's prompt.
std::uint32_t promptTokensOf(const Arrival &Of);
/// Chained hashes of the prompt's blocks; see `routing::Request`.
std::vector<std::uint64_t> blocksOf(const Arrival &Of);
/// What two copies of a request have in common.
retries::Fingerprint fingerprintOf(const Arrival &Of);
/// What a plain request has in common with others.
retries::RequestTraits traitsOf(const Arrival &Request);
/// What capacity is counted for: a model, or a service.
ModelId capacityName(const Arrival &Of);
/// Whose turn it takes in the queue. Plain requests of one service stand in one
/// line by their rank: routes are no customers that share it evenly.
CallerId lineOf(const Arrival &Of);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_ARRIVAL_H
