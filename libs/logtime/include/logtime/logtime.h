/// \file
/// Time as the replicated log knows it.
///
/// The leader stamps each command with its log clock, which never falls from
/// one committed command to the next. Deterministic state uses no other time.
/// The epoch is that of the log and means nothing outside it.

#ifndef WASABIVALE_LOGTIME_LOGTIME_H
#define WASABIVALE_LOGTIME_LOGTIME_H

#include <chrono>
#include <cstdint>

namespace wasabivale {

/// Clock of the replicated log. It has no `now`: its time comes from commands.
struct LogClock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<LogClock>;
  static constexpr bool is_steady = true;
};

using LogTime = LogClock::time_point;

/// Log time of \p Nanoseconds, as commands and snapshots carry it.
inline LogTime logTime(std::uint64_t Nanoseconds) {
  return LogTime(LogClock::duration(static_cast<std::int64_t>(Nanoseconds)));
}

inline std::uint64_t nanosecondsOf(LogTime Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

inline std::uint64_t nanosecondsOf(std::chrono::nanoseconds Span) {
  return static_cast<std::uint64_t>(Span.count());
}

} // namespace wasabivale

#endif // WASABIVALE_LOGTIME_LOGTIME_H
