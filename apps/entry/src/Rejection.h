/// \file
/// A refusal as a caller or target is told it.

#ifndef WASABIVALE_ENTRY_REJECTION_H
#define WASABIVALE_ENTRY_REJECTION_H

#include "base/base.h"
#include "http/http.h"

#include <string>

namespace wasabivale::entry {

/// Header with the identity of a request, and with its outcome.
inline constexpr const char *RequestHeader = "Wasabivale-Request";
inline constexpr const char *OutcomeHeader = "Wasabivale-Outcome";

struct Rejection {
  Refusal m_Reason = Refusal::MalformedRequest;
  Outcome m_Outcome = Outcome::NotRun;
  std::string m_Step;   ///< For example `arrival.model`.
  std::string m_Peer;   ///< Target or node; empty if none.
  std::string m_Detail; ///< Replaces the catalogue's text when not empty.
  /// When a retry may help; zero stands for `DefaultRetryAfter`.
  Duration m_RetryAfter{0};
};

/// A refusal of a request that was not run.
Rejection notRun(Refusal Reason, std::string Step, std::string Detail = {});

/// Told when nothing better is known.
inline constexpr std::chrono::seconds DefaultRetryAfter{1};
/// The same where fractions are understood: a target that was full or went away
/// is made up for by another within a few round trips.
inline constexpr std::chrono::milliseconds DefaultPassedRetryAfter{100};
/// Of a process that stops: any other takes the request at once.
inline constexpr std::chrono::milliseconds StoppingRetryAfter{10};

/// The reason of this number, or \p Otherwise when the catalogue has none.
Refusal refusalFromNumber(std::uint32_t Number, Refusal Otherwise);

/// `{"error": {...}}` as one line.
std::string printRejection(const Rejection &Value);

/// Answers an exchange with the refusal as JSON.
/// \param Request empty when the request has no identity.
void replyRejection(http::Exchange &To, const RequestId &Request,
                    const Rejection &Value);

/// The status of a refusal to a caller who takes 408, 421, 429 and 503 for a
/// promise that the request has not run and never will.
int promisedStatus(const Rejection &Value);

/// The same for a plain request: its status keeps that promise, and
/// `Retry-After` may have a fraction.
void replyPassedRejection(http::Exchange &To, const RequestId &Request,
                          const Rejection &Value);

/// The page for a request that evhttp refused with \p HttpStatus.
http::Response malformedPage(int HttpStatus);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_REJECTION_H
