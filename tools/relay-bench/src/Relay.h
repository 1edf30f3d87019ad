/// \file
/// The least that a process between callers and targets can do: passes bytes on
/// between two connections, with libevent's buffers and nothing else.

#ifndef WASABIVALE_RELAY_BENCH_RELAY_H
#define WASABIVALE_RELAY_BENCH_RELAY_H

#include "http/http.h"

namespace wasabivale::relaybench {

/// Passes on all connections to \p At to \p To, for as long as \p Loop lives.
/// \returns whether it listens.
bool relay(event_base *Loop, const http::Address &At, const http::Address &To);

} // namespace wasabivale::relaybench

#endif // WASABIVALE_RELAY_BENCH_RELAY_H
