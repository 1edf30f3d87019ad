// What operators are shown.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

TEST_CASE("routes are shown with where they lead") {
  Routes Held;
  Held.m_Table.set_version(7);
  wire::Route &Route = *Held.m_Table.add_routes();
  Route.set_name("booking");
  Route.set_path_prefix("/book/");
  Route.set_timeout_ns(1'500'000'000);
  Route.set_max_attempts(2);
  wire::ServiceShare &Share = *Route.add_services();
  Share.set_service("desk");
  Share.set_weight(90);
  const Json Shown = view(Held);
  CHECK(Shown["version"] == 7);
  REQUIRE(Shown["routes"].size() == 1);
  const Json &Row = Shown["routes"][0];
  CHECK(Row["name"] == "booking");
  CHECK(Row["services"] == Json::array({"desk:90"}));
  CHECK(Row["timeout_ms"] == 1500);
  CHECK(Row["max_attempts"] == 2);
}

TEST_CASE("the leader remembers which routes an entry has applied") {
  Barriers On;
  wire::EntryReport Report;
  Report.set_routes_version(9);
  const TimePoint Now(std::chrono::seconds(100));
  takeReport(On, {"entry-1"}, 1, Report, Now, Now + std::chrono::seconds(3));
  CHECK(On.m_Entries.at({"entry-1"}).m_RoutesVersion == 9);
  WHEN("the entry is started anew") {
    takeReport(On, {"entry-1"}, 2, {}, Now, Now + std::chrono::seconds(3));
    THEN("nothing of the former one is left") {
      CHECK(On.m_Entries.at({"entry-1"}).m_RoutesVersion == 0);
    }
  }
}
