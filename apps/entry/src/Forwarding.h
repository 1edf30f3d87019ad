/// \file
/// Requests that an entry forwards to another one because it reaches no target:
/// the fields between the two, and the entries that take them.

#ifndef WASABIVALE_ENTRY_FORWARDING_H
#define WASABIVALE_ENTRY_FORWARDING_H

#include "Rejection.h"
#include "http/http.h"
#include "wire.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabivale::entry {

// --- Fields between two entries ---------------------------------------------

// Of a forwarded request.
inline constexpr std::string_view ForwardEntryField =
    "Wasabivale-Forward-Entry";
inline constexpr std::string_view ForwardRunsField = "Wasabivale-Forward-Runs";
/// Milliseconds until the deadline.
inline constexpr std::string_view ForwardLeftField =
    "Wasabivale-Forward-Left-Ms";
inline constexpr std::string_view ForwardLastEventField =
    "Wasabivale-Forward-Last-Event";
/// Of a request: required; of an answer: that of its target.
inline constexpr std::string_view ForwardVersionField =
    "Wasabivale-Forward-Version";
/// Service of the required version.
inline constexpr std::string_view ForwardServiceField =
    "Wasabivale-Forward-Service";
// Of its answer.
/// Records of the stream's version that were withdrawn so far; absent: none.
inline constexpr std::string_view ForwardWithdrawalsField =
    "Wasabivale-Forward-Withdrawals";
/// `answer`: a target's; `not_run`, `unknown`: a refusal with that outcome.
inline constexpr std::string_view ForwardResultField =
    "Wasabivale-Forward-Result";
inline constexpr std::string_view ForwardReasonField = ///< A refusal's number.
    "Wasabivale-Forward-Reason";
inline constexpr std::string_view ForwardRetryField =
    "Wasabivale-Forward-Retry-Ms";

/// Whether only entries may set this field.
bool isForwardField(std::string_view Name);

/// What the forwarding entry tells of a request.
struct ForwardOrigin {
  NodeId m_Entry;
  std::uint32_t m_Runs = 0; ///< Tries so far that may have run.
  TimePoint m_Deadline;
  std::uint64_t m_LastEventId = 0; ///< Last event that the caller has.
  /// Software version that generated the events so far.
  std::optional<std::string> m_RequiredVersion;
  std::string m_Service; ///< Of the required version; empty: not told.
};

/// The fields of a forwarded request: the caller's as they were sent, without
/// those of its connection and those of an entry, and \p Origin.
http::Fields forwardFields(const http::Fields &Caller,
                           const ForwardOrigin &Origin, TimePoint Now);
Result<ForwardOrigin> readForwardOrigin(const http::Fields &Request,
                                        TimePoint Now);

/// What generates a stream.
struct StreamOrigin {
  std::string m_Version; ///< Software version of the target.
  /// Records of the stream's version that were withdrawn before this one.
  std::uint32_t m_Withdrawals = 0;
};

/// A target's answer, through another entry.
struct ForwardedAnswer {
  http::Fields m_Fields; ///< The target's.
  StreamOrigin m_Origin;
};

/// Fields for a target's answer to a forwarded request.
http::Fields answerForwardFields(const http::Fields &Target,
                                 const StreamOrigin &Origin);
/// Answers a forwarded request with a refusal.
void replyForwardRejection(http::Exchange &Caller, const Rejection &Value);
/// The error says what makes it the answer of no entry.
std::variant<ForwardedAnswer, Rejection, Error>
readForwardAnswer(const http::Fields &Answer, const std::string &Peer);

// --- Entries that take forwarded requests -----------------------------------

/// The entries that control names. They are kept for a time without control,
/// because an entry that is cut from targets may be cut from control as well.
class ForwardPeers {
public:
  struct Peer {
    NodeId m_Entry;
    http::Address m_Address;
    /// Could not be connected to shortly before.
    TimePoint m_AvoidUntil;
  };

  void takeGrant(const wire::ControlGrant &Grant, TimePoint Now);
  [[nodiscard]] std::uint64_t revision() const { return m_Revision; }
  /// Whether any entry but \p Used takes requests.
  [[nodiscard]] bool has(const std::vector<NodeId> &Used, TimePoint Now) const;
  /// One of the entries but \p Used, by chance, so that what several requests
  /// cost is spread.
  [[nodiscard]] std::optional<Peer> choose(const std::vector<NodeId> &Used,
                                           TimePoint Now, Random &Rng) const;
  void recordUnreachable(const NodeId &Entry, TimePoint Now);

private:
  std::vector<Peer> m_Peers; ///< Bounded by `MaxPeers`.
  std::uint64_t m_Revision = 0;
  TimePoint m_ExpiresAt;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_FORWARDING_H
