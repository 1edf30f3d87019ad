/// \file
/// Simulated time for tests that turn an event loop: a wait without events ends
/// at once, and moves the clock on to its end. Sockets are the kernel's.

#ifndef WASABIVALE_ENTRY_TESTS_SIMULATEDCLOCK_H
#define WASABIVALE_ENTRY_TESTS_SIMULATEDCLOCK_H

#include "base/base.h"

namespace wasabivale::entry::test {

/// All clocks of this thread are simulated while it lives; other threads keep
/// the real ones. Event loops are made and ended within its life.
class SimulatedClock {
public:
  /// \param Delivery Real time that bytes may need from socket to socket: each
  /// wait without events lasts so long before the clock moves on.
  explicit SimulatedClock(std::chrono::microseconds Delivery = {});
  ~SimulatedClock();
  SimulatedClock(const SimulatedClock &) = delete;
  SimulatedClock &operator=(const SimulatedClock &) = delete;

  /// Moves the clock on at once, as a process that stands still sees it.
  static void skip(Duration Length);
};

} // namespace wasabivale::entry::test

#endif // WASABIVALE_ENTRY_TESTS_SIMULATEDCLOCK_H
