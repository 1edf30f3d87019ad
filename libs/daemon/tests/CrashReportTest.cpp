// What a process says when it crashes.

#include "daemon/daemon.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

using namespace wasabivale;

namespace {

struct Crash {
  std::string m_Printed;
  int m_Status = 0;
};

/// Catch2 handles no exception that leaves \p Body.
void callUncaught(const std::function<void()> &Body) noexcept { Body(); }

/// Runs \p Body in a process of its own after `reportCrashes`.
Crash crash(const std::function<void()> &Body) {
  std::array<int, 2> Ends{};
  REQUIRE(::pipe(Ends.data()) == 0);
  const pid_t Child = ::fork();
  if (Child == 0) {
    // Catch2 and sanitizers have handlers of their own.
    for (const int Signal : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL})
      std::signal(Signal, SIG_DFL);
    ::dup2(Ends[1], STDERR_FILENO);
    daemon::reportCrashes();
    daemon::noteStage("refusing");
    callUncaught(Body);
    ::_exit(0);
  }
  ::close(Ends[1]);
  Crash Seen;
  std::array<char, 512> Bytes{};
  ssize_t Count = 0;
  while ((Count = ::read(Ends[0], Bytes.data(), Bytes.size())) > 0)
    Seen.m_Printed.append(Bytes.data(), static_cast<std::size_t>(Count));
  ::close(Ends[0]);
  (void)::waitpid(Child, &Seen.m_Status, 0);
  return Seen;
}

} // namespace

SCENARIO("a process that crashes says why, when and in which stage") {
  GIVEN("a signal that nothing handles") {
    const Crash Seen = crash([] { (void)std::raise(SIGSEGV); });
    THEN("the line names it, and the process ends by it") {
      CHECK(Seen.m_Printed.find("9002 process_crashed signal=11 age_ms=") !=
            std::string::npos);
      CHECK(Seen.m_Printed.find("stage=refusing\n") != std::string::npos);
      CHECK(WIFSIGNALED(Seen.m_Status));
      CHECK(WTERMSIG(Seen.m_Status) == SIGSEGV);
    }
  }
  GIVEN("an exception that nothing catches") {
    const Crash Seen = crash([] { throw std::runtime_error("not a number"); });
    THEN("the line has its text") {
      CHECK(Seen.m_Printed.find("exception=\"not a number\"") !=
            std::string::npos);
      CHECK(WTERMSIG(Seen.m_Status) == SIGABRT);
    }
  }
}
