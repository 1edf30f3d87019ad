// JSON for operators.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

TEST_CASE("routes are shown with their services") {
  Routes Accepted;
  Accepted.m_Table.set_version(7);
  wire::Route &Route = *Accepted.m_Table.add_routes();
  Route.set_name("booking");
  Route.set_path_prefix("/book/");
  Route.set_timeout_ns(1'500'000'000);
  Route.set_max_attempts(2);
  wire::ServiceShare &Share = *Route.add_services();
  Share.set_service("desk");
  Share.set_weight(90);
  const Json Result = toJson(Accepted);
  CHECK(Result["version"] == 7);
  REQUIRE(Result["routes"].size() == 1);
  const Json &Row = Result["routes"][0];
  CHECK(Row["name"] == "booking");
  CHECK(Row["services"] == Json::array({"desk:90"}));
  CHECK(Row["timeout_ms"] == 1500);
  CHECK(Row["max_attempts"] == 2);
}

TEST_CASE("the leader records which entries reach no target") {
  ObservedState Observed;
  const TimePoint Now(std::chrono::seconds(100));
  for (const bool IsCut : {true, false}) {
    wire::EntryReport Report;
    Report.set_targets_unreachable(IsCut);
    recordEntryReport(Observed, {"entry-1"}, 1, Report, Now,
                      Now + std::chrono::seconds(3));
    CHECK(Observed.m_Entries.at({"entry-1"}).m_TargetsUnreachable == IsCut);
  }
}

TEST_CASE("the leader records which routes an entry has applied") {
  ObservedState Observed;
  wire::EntryReport Report;
  Report.set_routes_version(9);
  const TimePoint Now(std::chrono::seconds(100));
  recordEntryReport(Observed, {"entry-1"}, 1, Report, Now,
                    Now + std::chrono::seconds(3));
  CHECK(Observed.m_Entries.at({"entry-1"}).m_RoutesVersion == 9);
  WHEN("the entry restarts") {
    recordEntryReport(Observed, {"entry-1"}, 2, {}, Now,
                      Now + std::chrono::seconds(3));
    THEN("the record of the former session is cleared") {
      CHECK(Observed.m_Entries.at({"entry-1"}).m_RoutesVersion == 0);
    }
  }
}
