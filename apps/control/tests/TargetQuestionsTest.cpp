// Whether the process at an address is the target that it was, by raw answers.

#include "TargetQuestions.h"

#include "http_testing/http_testing.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <optional>

using namespace wasabivale;
using namespace wasabivale::control;
using namespace std::chrono_literals;

namespace {

const std::string FieldLines = "Instance-Id: i-1\r\n";

struct Asker {
  event_base *m_Loop = event_base_new();
  std::unique_ptr<TargetQuestions> m_Questions =
      std::make_unique<TargetQuestions>(m_Loop);
  Asker() = default;
  ~Asker() {
    m_Questions.reset();
    event_base_free(m_Loop);
  }
  Asker(const Asker &) = delete;
  Asker &operator=(const Asker &) = delete;

  /// \returns the id that the process names, or an empty one.
  [[nodiscard]] std::string ask(const http::testing::ByteServer &Target) const {
    std::optional<std::string> Id;
    REQUIRE(m_Questions->ask(http::printAddress(Target.address()), "/health",
                             [&](const platform::Identity &Answer) {
                               Id = Answer.m_Target.m_Value;
                             }));
    const TimePoint Deadline = BootClock::now() + 10s;
    while (!Id && BootClock::now() < Deadline) {
      const timeval Tick{0, 1'000};
      event_base_loopexit(m_Loop, &Tick);
      event_base_dispatch(m_Loop);
    }
    REQUIRE(Id);
    return *Id;
  }
};

} // namespace

SCENARIO("a malformed answer does not tell which target a process is") {
  const Asker Control;
  for (const auto &Case : http::testing::malformedCases(FieldLines, "ok")) {
    INFO(Case.m_Name);
    const http::testing::ByteServer Target(Control.m_Loop, {Case.m_Bytes});
    CHECK(Control.ask(Target).empty());
    CHECK(Target.requests() == 1);
  }
}

SCENARIO("an unusual answer that is valid tells which target a process is") {
  const Asker Control;
  for (const auto &Case : http::testing::unusualCases(FieldLines, "ok")) {
    INFO(Case.m_Name);
    const http::testing::ByteServer Target(
        Control.m_Loop, {Case.m_Bytes, Case.m_EndsWithConnection
                                           ? http::testing::Ending::ClosedLater
                                           : http::testing::Ending::Open});
    CHECK(Control.ask(Target) == "i-1");
  }
}
