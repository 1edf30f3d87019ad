#include "SimulatedClock.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <optional>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace wasabivale::entry::test {

namespace {

thread_local std::optional<std::chrono::nanoseconds> SimulatedTime;
/// Where the clock before this one ended: time never goes back.
thread_local std::chrono::nanoseconds LastTime{0};

int realTime(clockid_t Clock, timespec *Time) {
  return static_cast<int>(syscall(SYS_clock_gettime, Clock, Time));
}

int realWait(int Epoll, epoll_event *Events, int Count, int Milliseconds) {
  constexpr std::size_t SignalSetBytes = 8;
  return static_cast<int>(syscall(SYS_epoll_pwait, Epoll, Events, Count,
                                  Milliseconds, nullptr, SignalSetBytes));
}

thread_local std::chrono::nanoseconds DeliveryPatience{0};

/// A busy kernel may still be carrying bytes from one socket to another.
int waitForDelivery(int Epoll, epoll_event *Events, int Count) {
  constexpr std::size_t SignalSetBytes = 8;
  const timespec Longest{0, DeliveryPatience.count()};
  return static_cast<int>(syscall(SYS_epoll_pwait2, Epoll, Events, Count,
                                  &Longest, nullptr, SignalSetBytes));
}

} // namespace

SimulatedClock::SimulatedClock(std::chrono::microseconds Delivery) {
  REQUIRE_FALSE(SimulatedTime);
  DeliveryPatience = Delivery;
  timespec Now{};
  realTime(CLOCK_BOOTTIME, &Now);
  SimulatedTime = std::max<std::chrono::nanoseconds>(
      LastTime,
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec));
}

SimulatedClock::~SimulatedClock() {
  LastTime = *SimulatedTime;
  SimulatedTime.reset();
}

void SimulatedClock::skip(Duration Length) { *SimulatedTime += Length; }

} // namespace wasabivale::entry::test

// The definitions of the program go before those of the C library.
extern "C" {

int clock_gettime(clockid_t Clock, timespec *Time) noexcept {
  using namespace wasabivale::entry::test;
  if (!SimulatedTime)
    return realTime(Clock, Time);
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(*SimulatedTime);
  Time->tv_sec = Seconds.count();
  Time->tv_nsec = (*SimulatedTime - Seconds).count();
  return 0;
}

int epoll_wait(int Epoll, epoll_event *Events, int Count, int Milliseconds) {
  using namespace wasabivale::entry::test;
  if (!SimulatedTime)
    return realWait(Epoll, Events, Count, Milliseconds);
  int Ready = realWait(Epoll, Events, Count, 0);
  if (Ready == 0 && Milliseconds > 0 && DeliveryPatience.count() > 0)
    Ready = waitForDelivery(Epoll, Events, Count);
  if (Ready == 0 && Milliseconds > 0)
    *SimulatedTime += std::chrono::milliseconds(Milliseconds);
  return Ready;
}
}
