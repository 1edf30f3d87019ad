#include "Stage.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

SCENARIO("targets announce themselves") {
  Stage On;
  REQUIRE(reason(On.announce("e1")) == "accepted");
  const std::uint64_t First = On.target("e1").m_Generation;
  const std::uint64_t Revision = On.m_State.m_Targets.m_Revision;

  GIVEN("the same announcement again") {
    CHECK(reason(On.announce("e1")) == "accepted");
    THEN("nothing changes") {
      CHECK(On.target("e1").m_Generation == First);
      CHECK(On.m_State.m_Targets.m_Revision == Revision);
    }
  }
  GIVEN("a new incarnation at the same address") {
    CHECK(reason(On.announce("e1", "i2")) == "accepted");
    THEN("it is a new generation, and the old one may not come back") {
      CHECK(On.target("e1").m_Generation > First);
      CHECK(reason(On.announce("e1", "i1")) == "stale_incarnation");
      CHECK(reason(On.leave("e1", "i1")) == "stale_incarnation");
      CHECK(On.target("e1").m_Incarnation == "i2");
    }
  }
  GIVEN("another target under the same address") {
    THEN("it waits until the holder is lost") {
      CHECK(reason(On.announce("e2", "j1", "10.0.0.1:e1")) == "address_in_use");
      CHECK(reason(On.lose("e1")) == "accepted");
      CHECK(reason(On.announce("e2", "j1", "10.0.0.1:e1")) == "accepted");
      CHECK(reason(On.announce("e1", "i1")) == "address_in_use");
    }
  }
  GIVEN("one incarnation announced by two addresses") {
    THEN("the first stays") {
      CHECK(reason(On.announce("e1", "i1", "10.0.0.2:9")) == "address_in_use");
      CHECK(On.target("e1").m_Address == "10.0.0.1:e1");
    }
  }
  GIVEN("a target that nobody hears of") {
    On.report();
    On.m_EntryAnswers = false;
    On.pass(std::chrono::seconds(6));
    On.commitDue();
    THEN("it is not lost while no entry is heard either") {
      CHECK(On.stateOf("e1") == "serving");
    }
    THEN("it is lost, and serves again after it comes back") {
      takeReport(On.m_Heard, {"entry-1"}, 7, {}, On.m_Now, On.m_Now + Lease);
      On.commitDue();
      CHECK(On.stateOf("e1") == "lost");
      CHECK(reason(On.announce("e1")) == "accepted");
      CHECK(On.stateOf("e1") == "serving");
      CHECK(On.target("e1").m_Generation > First);
    }
  }
  GIVEN("a target that wants to leave") {
    On.announce("e2");
    On.m_InFlight = 1;
    REQUIRE(reason(On.leave("e1")) == "accepted");
    CHECK(On.stateOf("e1") == "leaving");
    THEN("its order waits for the streams, and a new start is welcome") {
      On.report();
      On.commitAllDue();
      CHECK(On.order("e1") == nullptr);
      On.m_InFlight = 0;
      On.report();
      On.commitAllDue();
      REQUIRE(On.order("e1") != nullptr);
      CHECK(On.order("e1")->m_Want.m_Withdrawn);
      On.settle();
      CHECK(On.stateOf("e1") == "withdrawn");
      On.announce("e1", "i2");
      CHECK(On.stateOf("e1") == "serving");
    }
  }
}

SCENARIO("entries get what changed") {
  Stage On;
  On.announce("e1");
  const std::uint64_t Known = On.m_State.m_Targets.m_Revision;
  On.announce("e2");
  CHECK(updateSince(On.m_State, Known, 0, 0).targets_size() == 1);
  CHECK(updateSince(On.m_State, 0, 0, 0).targets_size() == 2);
  GIVEN("a target that was lost long ago") {
    On.lose("e1");
    const std::uint64_t Before = On.m_State.m_Targets.m_Revision;
    On.m_Now += TargetsKeptFor + std::chrono::hours(1);
    On.announce("e3");
    THEN("it is removed") {
      const wire::FleetUpdate Update = updateSince(On.m_State, Before, 0, 0);
      REQUIRE(Update.removed_targets_size() == 1);
      CHECK(Update.removed_targets(0) == "e1");
    }
  }
}
