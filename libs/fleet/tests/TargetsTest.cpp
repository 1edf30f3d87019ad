#include "FleetFixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

SCENARIO("targets announce themselves") {
  FleetFixture Fleet;
  REQUIRE(outcome(Fleet.announce("e1")) == "accepted");
  const std::uint64_t FirstGeneration = Fleet.target("e1").m_Generation;
  const std::uint64_t Revision = Fleet.m_State.m_Targets.m_Revision;

  GIVEN("the same announcement again") {
    CHECK(outcome(Fleet.announce("e1")) == "accepted");
    THEN("nothing changes") {
      CHECK(Fleet.target("e1").m_Generation == FirstGeneration);
      CHECK(Fleet.m_State.m_Targets.m_Revision == Revision);
    }
  }
  GIVEN("a new incarnation at the same address") {
    CHECK(outcome(Fleet.announce("e1", "i2")) == "accepted");
    THEN("the generation increases and the former incarnation may not return") {
      CHECK(Fleet.target("e1").m_Generation > FirstGeneration);
      CHECK(outcome(Fleet.announce("e1", "i1")) == "stale_incarnation");
      CHECK(outcome(Fleet.leave("e1", "i1")) == "stale_incarnation");
      CHECK(Fleet.target("e1").m_Incarnation == "i2");
    }
  }
  GIVEN("another target under the same address") {
    THEN("the address is refused until its holder is lost") {
      CHECK(outcome(Fleet.announce("e2", "j1", "10.0.0.1:e1")) ==
            "address_in_use");
      CHECK(outcome(Fleet.lose("e1")) == "accepted");
      CHECK(outcome(Fleet.announce("e2", "j1", "10.0.0.1:e1")) == "accepted");
      CHECK(outcome(Fleet.announce("e1", "i1")) == "address_in_use");
    }
  }
  GIVEN("one incarnation announced at two addresses") {
    THEN("the first address is kept") {
      CHECK(outcome(Fleet.announce("e1", "i1", "10.0.0.2:9")) ==
            "address_in_use");
      CHECK(Fleet.target("e1").m_Address == "10.0.0.1:e1");
    }
  }
  GIVEN("a target that no longer reports") {
    Fleet.report();
    Fleet.m_EntryReports = false;
    Fleet.advanceTime(std::chrono::seconds(6));
    Fleet.commitDue();
    THEN("it is not lost while no entry reports either") {
      CHECK(Fleet.stateOf("e1") == "serving");
    }
    THEN("it is lost, and serves again after a new announcement") {
      recordEntryReport(Fleet.m_Observed, {"entry-1"}, 7, {}, Fleet.m_Now,
                        Fleet.m_Now + Lease);
      Fleet.commitDue();
      CHECK(Fleet.stateOf("e1") == "lost");
      CHECK(outcome(Fleet.announce("e1")) == "accepted");
      CHECK(Fleet.stateOf("e1") == "serving");
      CHECK(Fleet.target("e1").m_Generation > FirstGeneration);
    }
  }
  GIVEN("a target that asks to leave") {
    Fleet.announce("e2");
    Fleet.m_InFlight = 1;
    REQUIRE(outcome(Fleet.leave("e1")) == "accepted");
    CHECK(Fleet.stateOf("e1") == "leaving");
    THEN("its order waits for the work in flight, and a restart is accepted") {
      Fleet.report();
      Fleet.commitAllDue();
      CHECK(Fleet.order("e1") == nullptr);
      Fleet.m_InFlight = 0;
      Fleet.report();
      Fleet.commitAllDue();
      REQUIRE(Fleet.order("e1") != nullptr);
      CHECK(Fleet.order("e1")->m_DesiredState.m_Withdrawn);
      Fleet.settle();
      CHECK(Fleet.stateOf("e1") == "withdrawn");
      Fleet.announce("e1", "i2");
      CHECK(Fleet.stateOf("e1") == "serving");
    }
  }
}

SCENARIO("entries receive the changes") {
  FleetFixture Fleet;
  Fleet.announce("e1");
  const std::uint64_t KnownRevision = Fleet.m_State.m_Targets.m_Revision;
  Fleet.announce("e2");
  CHECK(updateSince(Fleet.m_State, KnownRevision, 0, 0).targets_size() == 1);
  CHECK(updateSince(Fleet.m_State, 0, 0, 0).targets_size() == 2);
  GIVEN("a target that was lost long ago") {
    Fleet.lose("e1");
    const std::uint64_t Before = Fleet.m_State.m_Targets.m_Revision;
    Fleet.m_Now += TargetRetention + std::chrono::hours(1);
    Fleet.announce("e3");
    THEN("it is removed") {
      const wire::FleetUpdate Update = updateSince(Fleet.m_State, Before, 0, 0);
      REQUIRE(Update.removed_targets_size() == 1);
      CHECK(Update.removed_targets(0) == "e1");
    }
  }
}
