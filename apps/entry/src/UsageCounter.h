/// \file
/// Counts the requests of each customer that began to run at targets, by
/// windows in true time, for the usage that control reports to the platform.

#ifndef WASABIVALE_ENTRY_USAGECOUNTER_H
#define WASABIVALE_ENTRY_USAGECOUNTER_H

#include "duties/duties.h"
#include "wire/wire.h"

#include <optional>

namespace wasabivale::entry {

class UsageCounter {
public:
  /// \param Window length of a window; unset: nothing is counted.
  explicit UsageCounter(std::optional<std::chrono::milliseconds> Window);

  /// \param BeganAt when the target began to run the request: its first event,
  /// or when a call was sent.
  void count(const std::string &Customer, TimePoint BeganAt);
  /// Adds all counts of the windows that are not closed.
  void fillReport(wire::EntryReport &Report, TimePoint Now);
  void takeGrant(const wire::ControlGrant &Grant);

private:
  std::optional<std::chrono::milliseconds> m_Window;
  duties::WallClock m_Clock;
  duties::UsageCounts m_Counts;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_USAGECOUNTER_H
