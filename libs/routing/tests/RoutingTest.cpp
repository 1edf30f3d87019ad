#include "Fixture.h"

#include <catch2/catch.hpp>
#include <set>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

SCENARIO("a request goes to a target that serves its model") {
  Random Rng(1);
  GIVEN("two engines, one of them draining") {
    State Fleet = makeFleet(2);
    Target Draining = makeEngine(1, "attiki-2");
    Draining.m_Serving = false;
    Draining.m_Generation = 1;
    CHECK(updateTarget(Fleet, Draining, at(0s)));
    THEN("all new work goes to the other engine") {
      for (int I = 0; I < 50; ++I) {
        const Choice Decision =
            valueOf(choose(Fleet, makeRequest(), at(0s), Rng));
        CHECK(Decision.m_Run.m_Target.m_Value == "engine-0");
      }
      verify(Fleet);
    }
    THEN("an older description does not reopen it") {
      CHECK_FALSE(updateTarget(Fleet, makeEngine(1), at(1s)));
      CHECK(capacityFor(Fleet, Kind::Engine, Gourd, at(0s)).m_Slots == 32);
    }
    THEN("a model that no target serves is refused") {
      Request Other = makeRequest();
      Other.m_Model = {"coil-70b"};
      const Result<Choice> Decision = choose(Fleet, Other, at(0s), Rng);
      REQUIRE(failed(Decision));
      CHECK(errorOf(Decision).m_Step == "routing.choose");
      CHECK(errorOf(Decision).m_Peer == "coil-70b");
    }
  }
}

SCENARIO("a drain waits for the tries of earlier generations") {
  Random Rng(2);
  GIVEN("an engine with a try in flight") {
    State Fleet = makeFleet(1);
    const Choice Old = valueOf(choose(Fleet, makeRequest(), at(0s), Rng));
    recordStarted(Fleet, Old.m_Try, at(0s));
    WHEN("its generation is raised") {
      Target Next = makeEngine(0);
      Next.m_Generation = 1;
      updateTarget(Fleet, Next, at(1s));
      const Choice New = valueOf(choose(Fleet, makeRequest(), at(1s), Rng));
      THEN("only the older try is counted") {
        CHECK(inFlightBefore(Fleet, Old.m_Run.m_Target, 1) == 1);
        CHECK(inFlight(Fleet, Old.m_Run.m_Target) == 2);
        recordEnded(Fleet, Old.m_Try, TryOutcome::Completed, at(2s));
        CHECK(inFlightBefore(Fleet, Old.m_Run.m_Target, 1) == 0);
        recordEnded(Fleet, New.m_Try, TryOutcome::Completed, at(2s));
        verify(Fleet);
      }
    }
    WHEN("it restarts as another incarnation") {
      Target Next = makeEngine(0);
      Next.m_Incarnation = "second";
      updateTarget(Fleet, Next, at(1s));
      THEN("the old try is still counted, but not as load of the new one") {
        CHECK(inFlight(Fleet, Old.m_Run.m_Target) == 1);
        CHECK(Fleet.m_Pools[0].at(Gourd).m_Totals[0].m_Free == 32);
        recordEnded(Fleet, Old.m_Try, TryOutcome::Crashed, at(2s));
        CHECK(findHealth(Fleet, Next.m_Id)->m_FailurePoints == 0);
        CHECK(Fleet.m_FreeSlotIndexes.size() == 1);
        verify(Fleet);
      }
    }
    WHEN("it is removed") {
      removeTarget(Fleet, Old.m_Run.m_Target, at(1s));
      THEN("the try ends as usual") {
        CHECK(failed(choose(Fleet, makeRequest(), at(1s), Rng)));
        recordEnded(Fleet, Old.m_Try, TryOutcome::Completed, at(2s));
        CHECK(inFlight(Fleet, Old.m_Run.m_Target) == 0);
        verify(Fleet);
      }
    }
  }
}

SCENARIO("a repeated description of a target is not applied again") {
  State Fleet = makeFleet(3);
  const std::uint64_t PreviousChanges = Fleet.m_Counters.m_TargetChanges;
  CHECK(PreviousChanges == 3);
  for (int I = 0; I < 10; ++I)
    CHECK(updateTarget(Fleet, makeEngine(0, "attiki-1"), at(1s)));
  CHECK(Fleet.m_Counters.m_TargetChanges == PreviousChanges);
  GIVEN("a description that has changed") {
    Target Next = makeEngine(0, "attiki-1");
    Next.m_KvBlocks += 1;
    CHECK(updateTarget(Fleet, Next, at(1s)));
    CHECK(Fleet.m_Counters.m_TargetChanges == PreviousChanges + 1);
  }
}

SCENARIO("the decode leg of a split is checked again before it is used") {
  Random Rng(5);
  State Fleet = makeFleet(1);
  const Choice Decision = valueOf(choose(Fleet, makeRequest(), at(0s), Rng));
  CHECK(acceptsNewWork(Fleet, Decision.m_Run, at(0s)));
  GIVEN("a target that has started to drain") {
    Target Next = makeEngine(0);
    Next.m_Serving = false;
    Next.m_Generation = 1;
    updateTarget(Fleet, Next, at(1s));
    CHECK_FALSE(acceptsNewWork(Fleet, Decision.m_Run, at(0s)));
  }
  GIVEN("a new incarnation of the target") {
    Target Next = makeEngine(0);
    Next.m_Incarnation = "second";
    updateTarget(Fleet, Next, at(1s));
    CHECK_FALSE(acceptsNewWork(Fleet, Decision.m_Run, at(0s)));
  }
  GIVEN("a removed target") {
    removeTarget(Fleet, Decision.m_Run.m_Target, at(1s));
    CHECK_FALSE(acceptsNewWork(Fleet, Decision.m_Run, at(0s)));
  }
  GIVEN("a higher generation of a serving target") {
    Target Next = makeEngine(0);
    Next.m_Generation = 1;
    updateTarget(Fleet, Next, at(1s));
    CHECK(acceptsNewWork(Fleet, Decision.m_Run, at(0s)));
  }
}

SCENARIO("prompts with the same prefix are routed to the same cache") {
  Random Rng(3);
  State Fleet = makeFleet(20);
  Request Long = makeRequest(4096, 20);
  Long.m_Blocks = {11, 22, 33, 44};
  GIVEN("the first request of a prefix") {
    const Choice First = run(Fleet, Long, TryOutcome::Completed, at(0s), Rng);
    CHECK(First.m_Estimate.m_CachedBlocks == 0);
    THEN("later requests go to the same target") {
      for (int I = 1; I <= 20; ++I) {
        const Choice Next =
            run(Fleet, Long, TryOutcome::Completed, at(I * 1s), Rng);
        CHECK(Next.m_Run.m_Target == First.m_Run.m_Target);
        CHECK(Next.m_Estimate.m_CachedBlocks == 4);
      }
    }
    THEN("another entry selects the same target without an update") {
      State Other = makeFleet(20);
      Other.m_Settings.m_Zone = {"attiki-2"};
      const Choice Repeated =
          run(Other, Long, TryOutcome::Completed, at(0s), Rng);
      CHECK(Repeated.m_Run.m_Target == First.m_Run.m_Target);
    }
    THEN("a busy target is not used when waiting costs more than prefill") {
      LoadReport Busy;
      Busy.m_Running = 32;
      Busy.m_Waiting = 100;
      Busy.m_PrefillTokensWaiting = 500000;
      applyLoad(Fleet, First.m_Run.m_Target, "first", Busy, at(1s));
      const Choice Next = valueOf(choose(Fleet, Long, at(1s), Rng));
      CHECK_FALSE(Next.m_Run.m_Target == First.m_Run.m_Target);
    }
  }
  GIVEN("a prefix with more load than one engine can serve") {
    std::set<TargetId> Used;
    for (int I = 0; I < 400; ++I) {
      const Choice Decision = valueOf(choose(Fleet, Long, at(I * 5ms), Rng));
      Used.insert(Decision.m_Run.m_Target);
    }
    THEN("several engines share it") { CHECK(Used.size() >= 4); }
  }
}

SCENARIO("cache events update the cache hints") {
  State Fleet = makeFleet(1);
  Random Rng(4);
  const TargetId Id{"engine-0"};
  Request Long = makeRequest(2048, 20);
  Long.m_Blocks = {7, 8};
  const auto ExpectedCachedBlocks = [&] {
    return valueOf(estimate(Fleet, Long, at(0s), Rng)).m_CachedBlocks;
  };
  applyCacheEvents(Fleet, Id, "first", {{5, 7, true}, {6, 8, true}});
  CHECK(ExpectedCachedBlocks() == 2);
  WHEN("a block is evicted") {
    applyCacheEvents(Fleet, Id, "first", {{7, 8, false}});
    THEN("the block is no longer expected") {
      CHECK(ExpectedCachedBlocks() == 1);
    }
  }
  WHEN("events are repeated") {
    applyCacheEvents(Fleet, Id, "first", {{6, 8, false}});
    THEN("the repeat has no effect") { CHECK(ExpectedCachedBlocks() == 2); }
  }
  WHEN("events are missing") {
    applyCacheEvents(Fleet, Id, "first", {{9, 99, true}});
    THEN("every hint of the target is dropped") {
      CHECK(ExpectedCachedBlocks() == 0);
      CHECK(Fleet.m_Counters.m_CacheGaps == 1);
    }
  }
  WHEN("they come from another incarnation") {
    applyCacheEvents(Fleet, Id, "second", {{7, 8, false}});
    THEN("they are ignored") { CHECK(ExpectedCachedBlocks() == 2); }
  }
}

SCENARIO("lagging reports are corrected by own work") {
  Random Rng(5);
  State Fleet = makeFleet(2);
  GIVEN("own tries that a report does not include yet") {
    std::vector<Choice> Decisions;
    Decisions.reserve(40);
    for (int I = 0; I < 40; ++I)
      Decisions.push_back(
          valueOf(choose(Fleet, makeRequest(100), at(0s), Rng)));
    for (int I = 0; I < 2; ++I)
      applyLoad(Fleet, {"engine-" + std::to_string(I)}, "first", LoadReport{},
                at(500ms));
    THEN("the tries still count") {
      CHECK(capacityFor(Fleet, Kind::Engine, Gourd, at(0s)).m_FreeSlots == 24);
    }
    THEN("tries that a report includes are not counted twice") {
      for (int I = 0; I < 2; ++I) {
        LoadReport Report;
        Report.m_Running = inFlight(Fleet, {"engine-" + std::to_string(I)});
        applyLoad(Fleet, {"engine-" + std::to_string(I)}, "first", Report,
                  at(3s));
      }
      CHECK(capacityFor(Fleet, Kind::Engine, Gourd, at(0s)).m_FreeSlots == 24);
    }
  }
}

SCENARIO("entries divide the free slots") {
  Random Rng(8);
  State Fleet = makeFleet(4);
  Fleet.m_Settings.m_Entries = 4;
  const auto FreeSlots = [&] {
    return capacityFor(Fleet, Kind::Engine, Gourd, at(0s)).m_FreeSlots;
  };
  CHECK(capacityFor(Fleet, Kind::Engine, Gourd, at(0s)).m_Slots == 32);
  GIVEN("other entries that use their whole share") {
    LoadReport Busy;
    Busy.m_Running = 24;
    for (int I = 0; I < 4; ++I)
      applyLoad(Fleet, {"engine-" + std::to_string(I)}, "first", Busy, at(0s));
    THEN("this entry has a quarter of the slots") { CHECK(FreeSlots() == 32); }
    THEN("slots that it uses are no longer free") {
      for (int I = 0; I < 32; ++I)
        choose(Fleet, makeRequest(10), at(0s), Rng);
      CHECK(FreeSlots() == 0);
    }
  }
  GIVEN("idle other entries") {
    Fleet.m_Settings.m_MaxPrefillWaiting = 10s;
    THEN("it may also use a quarter of their shares") {
      CHECK(FreeSlots() == 56);
    }
  }
  GIVEN("a backlog of long prompts at the engines") {
    LoadReport Backlog;
    Backlog.m_PrefillTokensWaiting = 40000;
    for (int I = 0; I < 4; ++I)
      applyLoad(Fleet, {"engine-" + std::to_string(I)}, "first", Backlog,
                at(0s));
    THEN("further prompts wait at the entry") { CHECK(FreeSlots() == 0); }
  }
}

SCENARIO("long prompts are split when the benefit exceeds the transfer cost") {
  Random Rng(6);
  State Fleet;
  Fleet.m_Settings.m_Zone = {"attiki-1"};
  Fleet.m_Settings.m_Region = {"attiki"};
  updateTarget(Fleet, makeEngine(0, "attiki-1", Role::Prefill), at(-60s));
  updateTarget(Fleet, makeEngine(1, "attiki-1", Role::Decode), at(-60s));
  GIVEN("a prefill engine and a decode engine with running streams") {
    LoadReport Streams;
    Streams.m_Running = 16;
    applyLoad(Fleet, {"engine-1"}, "first", Streams, at(0s));
    LoadReport Prefilling;
    Prefilling.m_PrefillTokensWaiting = 100;
    for (int I = 0; I < 20; ++I)
      applyLoad(Fleet, {"engine-0"}, "first", Prefilling, at(0s));
    const Choice Decision =
        valueOf(choose(Fleet, makeRequest(16384, 200), at(0s), Rng));
    THEN("prefill and decode run on different engines") {
      REQUIRE(Decision.m_Prefill);
      CHECK(Decision.m_Prefill->m_Target.m_Value == "engine-0");
      CHECK(Decision.m_Run.m_Target.m_Value == "engine-1");
      CHECK(inFlight(Fleet, {"engine-0"}) == 1);
      recordPrefilled(Fleet, Decision.m_Try, at(1s));
      CHECK(inFlight(Fleet, {"engine-0"}) == 0);
      recordFirstToken(Fleet, Decision.m_Try, at(1s));
      recordEnded(Fleet, Decision.m_Try, TryOutcome::Completed, at(5s));
      verify(Fleet);
    }
  }
  GIVEN("a request that may not be split") {
    Request Whole = makeRequest(16384, 200);
    Whole.m_MaySplit = false;
    THEN("one engine runs the whole request") {
      CHECK_FALSE(valueOf(choose(Fleet, Whole, at(0s), Rng)).m_Prefill);
    }
  }
}

SCENARIO("a new target is warmed up gradually") {
  Random Rng(7);
  State Fleet = makeFleet(10);
  updateTarget(Fleet, makeEngine(99), at(0s));
  const auto CountNewTarget = [&](Duration Offset) {
    int Count = 0;
    for (int I = 0; I < 1000; ++I) {
      const Choice Decision =
          run(Fleet, makeRequest(), TryOutcome::Cancelled, at(Offset), Rng);
      Count += Decision.m_Run.m_Target.m_Value == "engine-99" ? 1 : 0;
    }
    return Count;
  };
  const int Cold = CountNewTarget(100ms);
  const int Warm = CountNewTarget(20s);
  CHECK(Cold < Warm / 4);
  CHECK(Warm > 1000 / 11 / 2);
}
