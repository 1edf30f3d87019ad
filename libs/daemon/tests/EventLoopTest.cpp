// Signals around the end of a process.

#include "daemon/daemon.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace wasabivale;

SCENARIO("a loop that is interrupted goes on until the process ends it") {
  daemon::EventLoop Loop;
  bool HasGoneOn = false;
  const http::Timer Interrupt(Loop.base(), std::chrono::milliseconds(1), false,
                              [&] { event_base_loopbreak(Loop.base()); });
  const http::Timer End(Loop.base(), std::chrono::milliseconds(50), false, [&] {
    HasGoneOn = true;
    Loop.end();
  });
  CHECK_FALSE(failed(Loop.run()));
  CHECK(HasGoneOn);
}

SCENARIO("interruptions of a loop that turns between them never add up to the "
         "end of the process") {
  daemon::EventLoop Loop;
  int Interruptions = 0;
  const http::Timer Interrupt(Loop.base(), std::chrono::milliseconds(10), true,
                              [&] {
                                if (++Interruptions == 120)
                                  return Loop.end();
                                event_base_loopbreak(Loop.base());
                              });
  CHECK_FALSE(failed(Loop.run()));
  CHECK(Interruptions == 120);
}

SCENARIO("a second SIGTERM does not change the exit code of a process that "
         "stops in order") {
  const pid_t Child = ::fork();
  if (Child == 0) {
    std::signal(SIGTERM, SIG_DFL);
    {
      daemon::EventLoop Loop;
      Loop.onStop([&Loop] { Loop.end(); });
      (void)::raise(SIGTERM);
      Loop.run();
    }
    (void)::raise(SIGTERM);
    ::_exit(daemon::ExitOk);
  }
  int Status = -1;
  (void)::waitpid(Child, &Status, 0);
  CHECK(WIFEXITED(Status));
  CHECK(WEXITSTATUS(Status) == daemon::ExitOk);
}
