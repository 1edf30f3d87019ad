/// \file
/// Opens many connections and keeps them open, to measure what each costs.

#ifndef WASABIVALE_RELAY_BENCH_HOLDER_H
#define WASABIVALE_RELAY_BENCH_HOLDER_H

#include "http/http.h"

namespace wasabivale::relaybench {

struct Holding {
  http::Address m_To;
  std::size_t m_Count = 0;
  /// Sent on each connection when it is up; nothing when empty.
  std::string m_Bytes;
};

/// Opens the connections at once. Prints `open COUNT` when each of them is up
/// and, if it has sent something, has had status 200; ends the process with 1
/// when one has not, or breaks.
void hold(event_base *Loop, const Holding &What);

} // namespace wasabivale::relaybench

#endif // WASABIVALE_RELAY_BENCH_HOLDER_H
