// What an entry does from its start until it may take requests.

#include "Shop.h"

namespace wasabivale::entry::test {

SCENARIO("an entry refuses requests at once until its first routes and targets "
         "are applied") {
  Shop At;
  GIVEN("an entry that knows nothing yet") {
    const Answered Got = At.ask("GET", "/stock/7");
    CHECK(Got.m_Status == 503);
    CHECK_FALSE(http::field(Got.m_Fields, "Retry-After").empty());
    CHECK_FALSE(At.m_Entry->notReady().empty());
    WHEN("its first routes and targets come") {
      At.open({answers(200, "done")});
      THEN("it is not ready in the same turn of its loop") {
        CHECK_FALSE(At.m_Entry->notReady().empty());
        CHECK_FALSE(At.m_Path->takesRequests());
        AND_WHEN("a turn has passed") {
          At.m_Loop.turnFor(std::chrono::milliseconds(2));
          THEN("it takes requests, and is ready") {
            CHECK(At.m_Path->takesRequests());
            CHECK(At.m_Entry->notReady().empty());
            CHECK(At.ask("GET", "/stock/7").m_Status == 200);
          }
        }
      }
    }
  }
}

SCENARIO("a route without a service refuses its requests and ends no process") {
  Shop At;
  At.m_Fleet.mutable_routes()->mutable_routes(0)->clear_services();
  At.open({answers(200, "done")});
  const Answered Got = At.ask("GET", "/stock/7");
  CHECK(Got.m_Status == 503);
  CHECK_FALSE(http::field(Got.m_Fields, "Retry-After").empty());
  CHECK(At.ask("GET", "/book/7").m_Status == 200);
}

} // namespace wasabivale::entry::test
