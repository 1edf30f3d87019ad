// Updates of the fleet that several entries get.

#include "FleetUpdates.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

using namespace wasabivale;
using namespace wasabivale::control;

namespace {

void addTarget(fleet::State &Fleet, int Number) {
  fleet::Target Target;
  Target.m_Id = {fmt::format("i-{}", Number)};
  Target.m_Models = {"llm"};
  Target.m_ChangedAtRevision = ++Fleet.m_Targets.m_Revision;
  Fleet.m_Targets.m_ById[Target.m_Id] = Target;
}

} // namespace

SCENARIO("a change among many entries is not built once for each of them") {
  constexpr int Entries = 300;
  fleet::State Fleet;
  FleetUpdates Updates;
  for (int I = 0; I < 100; ++I)
    addTarget(Fleet, I);
  GIVEN("entries that join together") {
    std::set<const wire::FleetUpdate *> Objects;
    for (int I = 0; I < Entries; ++I) {
      const wire::FleetUpdate &Update = Updates.since(Fleet, 0, 0, 0);
      CHECK(Update.targets_size() == 100);
      Objects.insert(&Update);
    }
    CHECK(Objects.size() == 1);
    CHECK(Updates.built() == 1);
    WHEN("a target is added") {
      const std::uint64_t Known = Fleet.m_Targets.m_Revision;
      addTarget(Fleet, 100);
      for (int I = 0; I < Entries; ++I) {
        const wire::FleetUpdate &Update = Updates.since(Fleet, Known, 0, 0);
        REQUIRE(Update.targets_size() == 1);
        REQUIRE(Update.targets(0).id() == "i-100");
        REQUIRE(Update.from_revision() == Known);
      }
      CHECK(Updates.built() == 2);
      THEN("an entry that is further behind gets what it lacks") {
        CHECK(Updates.since(Fleet, Known - 1, 0, 0).targets_size() == 2);
        CHECK(Updates.since(Fleet, 0, 0, 0).targets_size() == 101);
      }
    }
    WHEN("the routes change and the targets do not") {
      Fleet.m_Routes.m_Table.set_version(7);
      const std::uint64_t Known = Fleet.m_Targets.m_Revision;
      THEN("the update carries them") {
        CHECK(Updates.since(Fleet, Known, 0, 0).routes_version() == 7);
        CHECK(Updates.since(Fleet, Known, 0, 0).has_routes());
        CHECK_FALSE(Updates.since(Fleet, Known, 0, 7).has_routes());
      }
    }
    WHEN("the updates are forgotten") {
      Updates.clear();
      THEN("they are built again") {
        Updates.since(Fleet, 0, 0, 0);
        CHECK(Updates.built() == 2);
      }
    }
  }
  GIVEN("entries at any number of revisions") {
    for (std::uint64_t Known = 0; Known < 1'000; ++Known)
      REQUIRE(Updates.since(Fleet, Known, 0, 0).revision() ==
              Fleet.m_Targets.m_Revision);
  }
}
