#include "Harness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace wasabivale;
using namespace wasabivale::systemtests;

namespace {

http::Headers onceWith(const std::string &Key) {
  return {{"Wasabivale-Not-Repeatable", "true"}, {"Idempotency-Key", Key}};
}

std::string bookingOf(const std::string &Id) { return Json{{"id", Id}}.dump(); }

std::size_t executions(const System &Running, const std::string &Id) {
  const auto Calls = Running.judged("call_executed");
  return static_cast<std::size_t>(
      std::count_if(Calls.begin(), Calls.end(),
                    [&Id](const Json &Call) { return Call["id"] == Id; }));
}

std::string reasonOf(const Answer &Of) {
  const Json Body = Json::parse(Of.m_Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("error"))
    return {};
  return Body["error"].value("reason", "");
}

/// Sends the booking again until the key is no longer in progress.
Answer settle(const System &Running, int Entry, const std::string &Id) {
  Answer Last;
  REQUIRE(Running.turnUntil([&] {
    Last = Running.service(Entry, "book/kiln", onceWith(Id), bookingOf(Id));
    const std::string Reason = reasonOf(Last);
    return Reason != "key_in_progress" && Reason != "ledger_unavailable" &&
           Reason != "no_configuration";
  }));
  return Last;
}

} // namespace

SCENARIO("a booking runs at most once whatever fails") {
  System Running({3, 2, 1, 2, {}}, 29300);
  GIVEN("a booking that was answered") {
    const Answer First =
        Running.service(1, "book/kiln", onceWith("b-1"), bookingOf("b-1"));
    INFO(First.m_Body);
    REQUIRE(First.m_Status == 200);
    CHECK(First.m_Outcome == "completed");
    WHEN("it is sent again to another entry") {
      const Answer Again = settle(Running, 2, "b-1");
      THEN("the stored answer comes back and nothing ran") {
        CHECK(Again.m_Status == 200);
        CHECK(Again.m_Body == First.m_Body);
        CHECK(executions(Running, "b-1") == 1);
      }
    }
    WHEN("its key comes with another body") {
      const Answer Other =
          Running.service(2, "book/kiln", onceWith("b-1"), bookingOf("b-2"));
      THEN("that is a conflict") {
        CHECK(reasonOf(Other) == "key_conflict");
        CHECK(executions(Running, "b-2") == 0);
      }
    }
  }
  GIVEN("a service that books and dies before it answers") {
    for (const char *Service : {"service-1", "service-2"})
      Running.fault({{"target", Service}, {"fault", "cut"}});
    const Answer First =
        Running.service(1, "book/kiln", onceWith("b-3"), bookingOf("b-3"));
    THEN("the outcome is unknown, and stays so") {
      CHECK(First.m_Outcome == "unknown");
      const Answer Again = settle(Running, 2, "b-3");
      CHECK(reasonOf(Again) == "key_outcome_unknown");
      CHECK(Again.m_Outcome == "unknown");
      CHECK(executions(Running, "b-3") == 1);
    }
  }
  GIVEN("services that refuse once") {
    for (const char *Service : {"service-1", "service-2"})
      Running.fault({{"target", Service}, {"fault", "refuse"}});
    const Answer First =
        Running.service(1, "book/kiln", onceWith("b-4"), bookingOf("b-4"));
    THEN("what was said not to have run did not run") {
      CHECK(executions(Running, "b-4") == (First.m_Status == 200 ? 1 : 0));
      if (First.m_Status != 200)
        CHECK(First.m_Outcome == "not_run");
    }
  }
  GIVEN("an entry that is killed between the booking and its answer") {
    for (const char *Service : {"service-1", "service-2"})
      Running.fault({{"target", Service}, {"fault", "late"}, {"ms", 20000}});
    const auto First =
        Running.send(Running.callers(1), "POST", "/v1/services/book/kiln",
                     onceWith("b-5"), bookingOf("b-5"));
    REQUIRE(Running.turnUntil([&] { return executions(Running, "b-5") == 1; }));
    Running.m_Entries[0]->signal(SIGKILL);
    THEN("a resend says that the outcome is unknown") {
      const Answer Again = settle(Running, 2, "b-5");
      CHECK(reasonOf(Again) == "key_outcome_unknown");
      CHECK(executions(Running, "b-5") == 1);
    }
  }
  GIVEN("a booking without a key") {
    for (const char *Service : {"service-1", "service-2"})
      Running.fault({{"target", Service}, {"fault", "cut"}});
    const Answer First =
        Running.service(1, "book/kiln", {{"Wasabivale-Not-Repeatable", "true"}},
                        bookingOf("b-6"));
    THEN("it is not sent a second time") {
      CHECK(First.m_Outcome == "unknown");
      CHECK(executions(Running, "b-6") == 1);
    }
  }
}
