/// \file
/// What the clients of engines and services share.

#ifndef WASABIVALE_TARGETS_CLIENTPARTS_H
#define WASABIVALE_TARGETS_CLIENTPARTS_H

#include "targets/targets.h"

namespace wasabivale::targets {

inline constexpr int HttpOk = 200;

/// A JSON request on a connection of its own.
http::ClientRequest post(const http::Address &To, std::string Path,
                         std::string Body, TimePoint Deadline);

/// Whether an answer of this status means that the request did not run and
/// would be refused again.
bool refusedForGood(int HttpStatus);

/// Whether an answer is the target's word that the request did not run.
bool refusedForNow(int HttpStatus, std::string_view Body);

} // namespace wasabivale::targets

#endif // WASABIVALE_TARGETS_CLIENTPARTS_H
