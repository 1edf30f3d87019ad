// The start of a process, before it handles signals.

#include "daemon/daemon.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <sys/wait.h>
#include <unistd.h>

using namespace wasabivale;

namespace {

/// Reads the settings of \p File, then gets SIGHUP, in a process of its own.
/// \returns its wait status.
int hangUpAfterReading(const std::string &File) {
  const pid_t Child = ::fork();
  if (Child == 0) {
    std::signal(SIGHUP, SIG_DFL);
    std::string Program = "program";
    std::string Option = "--config=" + File;
    char *Arguments[] = {Program.data(), Option.data(), nullptr};
    const auto Read = daemon::readSettings(2, Arguments, "program", "a program",
                                           settings::Json::object());
    (void)::raise(SIGHUP);
    ::_exit(std::holds_alternative<settings::Json>(Read) ? 0 : 1);
  }
  int Status = -1;
  (void)::waitpid(Child, &Status, 0);
  return Status;
}

} // namespace

SCENARIO("SIGHUP before a process handles signals does not end it") {
  GIVEN("a process that has read its settings and has no event loop yet") {
    char File[] = "/tmp/wasabivale-settings-XXXXXX";
    const int Descriptor = ::mkstemp(File);
    REQUIRE(Descriptor >= 0);
    REQUIRE(::write(Descriptor, "{}", 2) == 2);
    const int Status = hangUpAfterReading(File);
    THEN("it goes on") {
      CHECK(WIFEXITED(Status));
      CHECK(WEXITSTATUS(Status) == 0);
    }
    (void)::close(Descriptor);
    (void)std::remove(File);
  }
}
