#include "Fixture.h"

#include <catch2/catch.hpp>
#include <set>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

SCENARIO("a request goes to a target that serves its model") {
  Random Rng(1);
  GIVEN("two engines, one of them draining") {
    State Fleet = fleetOf(2);
    Target Draining = engine(1, "attiki-2");
    Draining.m_Serving = false;
    Draining.m_Generation = 1;
    CHECK(updateTarget(Fleet, Draining, at(0s)));
    THEN("all new work goes to the other") {
      for (int I = 0; I < 50; ++I) {
        const Choice Made = valueOf(choose(Fleet, question(), at(0s), Rng));
        CHECK(Made.m_Run.m_Target.m_Value == "engine-0");
      }
      verify(Fleet);
    }
    THEN("an older description does not bring it back") {
      CHECK_FALSE(updateTarget(Fleet, engine(1), at(1s)));
      CHECK(capacityFor(Fleet, Kind::Engine, Gourd).m_Slots == 32);
    }
    THEN("a model that nobody serves has no target") {
      Request Other = question();
      Other.m_Model = {"coil-70b"};
      const Result<Choice> Made = choose(Fleet, Other, at(0s), Rng);
      REQUIRE(failed(Made));
      CHECK(errorOf(Made).m_Step == "routing.choose");
      CHECK(errorOf(Made).m_Peer == "coil-70b");
    }
  }
}

SCENARIO("a drain waits for the tries of earlier generations") {
  Random Rng(2);
  GIVEN("an engine with a try in flight") {
    State Fleet = fleetOf(1);
    const Choice Old = valueOf(choose(Fleet, question(), at(0s), Rng));
    recordStarted(Fleet, Old.m_Try, at(0s));
    WHEN("its generation is raised") {
      Target Next = engine(0);
      Next.m_Generation = 1;
      updateTarget(Fleet, Next, at(1s));
      const Choice New = valueOf(choose(Fleet, question(), at(1s), Rng));
      THEN("only the older try is counted") {
        CHECK(inFlightBefore(Fleet, Old.m_Run.m_Target, 1) == 1);
        CHECK(inFlight(Fleet, Old.m_Run.m_Target) == 2);
        recordEnded(Fleet, Old.m_Try, TryOutcome::Completed, at(2s));
        CHECK(inFlightBefore(Fleet, Old.m_Run.m_Target, 1) == 0);
        recordEnded(Fleet, New.m_Try, TryOutcome::Completed, at(2s));
        verify(Fleet);
      }
    }
    WHEN("it comes back as another incarnation") {
      Target Next = engine(0);
      Next.m_Incarnation = "second";
      updateTarget(Fleet, Next, at(1s));
      THEN("the old try is still counted, but not as load of the new one") {
        CHECK(inFlight(Fleet, Old.m_Run.m_Target) == 1);
        CHECK(Fleet.m_Pools[0].at(Gourd).m_Sums[0].m_Free == 32);
        recordEnded(Fleet, Old.m_Try, TryOutcome::Crashed, at(2s));
        CHECK(healthOf(Fleet, Next.m_Id)->m_FailurePoints == 0);
        CHECK(Fleet.m_FreeSlotIndexes.size() == 1);
        verify(Fleet);
      }
    }
    WHEN("it is removed") {
      removeTarget(Fleet, Old.m_Run.m_Target, at(1s));
      THEN("the try ends as usual") {
        CHECK(failed(choose(Fleet, question(), at(1s), Rng)));
        recordEnded(Fleet, Old.m_Try, TryOutcome::Completed, at(2s));
        CHECK(inFlight(Fleet, Old.m_Run.m_Target) == 0);
        verify(Fleet);
      }
    }
  }
}

SCENARIO("a target that is described again as it is known costs nothing") {
  State Fleet = fleetOf(3);
  const std::uint64_t Before = Fleet.m_Counters.m_Described;
  CHECK(Before == 3);
  for (int I = 0; I < 10; ++I)
    CHECK(updateTarget(Fleet, engine(0, "attiki-1"), at(1s)));
  CHECK(Fleet.m_Counters.m_Described == Before);
  GIVEN("one that has changed") {
    Target Next = engine(0, "attiki-1");
    Next.m_KvBlocks += 1;
    CHECK(updateTarget(Fleet, Next, at(1s)));
    CHECK(Fleet.m_Counters.m_Described == Before + 1);
  }
}

SCENARIO("the second leg of a split is looked at again before it is used") {
  Random Rng(5);
  State Fleet = fleetOf(1);
  const Choice Made = valueOf(choose(Fleet, question(), at(0s), Rng));
  CHECK(acceptsNewWork(Fleet, Made.m_Run));
  GIVEN("a target that has begun to leave") {
    Target Next = engine(0);
    Next.m_Serving = false;
    Next.m_Generation = 1;
    updateTarget(Fleet, Next, at(1s));
    CHECK_FALSE(acceptsNewWork(Fleet, Made.m_Run));
  }
  GIVEN("another process in its place") {
    Target Next = engine(0);
    Next.m_Incarnation = "second";
    updateTarget(Fleet, Next, at(1s));
    CHECK_FALSE(acceptsNewWork(Fleet, Made.m_Run));
  }
  GIVEN("nobody in its place") {
    removeTarget(Fleet, Made.m_Run.m_Target, at(1s));
    CHECK_FALSE(acceptsNewWork(Fleet, Made.m_Run));
  }
  GIVEN("a generation that is raised without closing it") {
    Target Next = engine(0);
    Next.m_Generation = 1;
    updateTarget(Fleet, Next, at(1s));
    CHECK(acceptsNewWork(Fleet, Made.m_Run));
  }
}

SCENARIO("prompts with the same prefix meet in the same cache") {
  Random Rng(3);
  State Fleet = fleetOf(20);
  Request Long = question(4096, 20);
  Long.m_Blocks = {11, 22, 33, 44};
  GIVEN("the first request of a prefix") {
    const Choice First = run(Fleet, Long, TryOutcome::Completed, at(0s), Rng);
    CHECK(First.m_Estimate.m_CachedBlocks == 0);
    THEN("later ones follow it") {
      for (int I = 1; I <= 20; ++I) {
        const Choice Next =
            run(Fleet, Long, TryOutcome::Completed, at(I * 1s), Rng);
        CHECK(Next.m_Run.m_Target == First.m_Run.m_Target);
        CHECK(Next.m_Estimate.m_CachedBlocks == 4);
      }
    }
    THEN("another entry sends it there too, without having been told") {
      State Other = fleetOf(20);
      Other.m_Settings.m_Zone = {"attiki-2"};
      const Choice There = run(Other, Long, TryOutcome::Completed, at(0s), Rng);
      CHECK(There.m_Run.m_Target == First.m_Run.m_Target);
    }
    THEN("a busy target is passed over once waiting costs more than prefill") {
      LoadReport Busy;
      Busy.m_Running = 32;
      Busy.m_Waiting = 100;
      Busy.m_PrefillTokensWaiting = 500000;
      applyLoad(Fleet, First.m_Run.m_Target, "first", Busy, at(1s));
      const Choice Next = valueOf(choose(Fleet, Long, at(1s), Rng));
      CHECK_FALSE(Next.m_Run.m_Target == First.m_Run.m_Target);
    }
  }
  GIVEN("a prefix hotter than one engine") {
    std::set<TargetId> Used;
    for (int I = 0; I < 400; ++I) {
      const Choice Made = valueOf(choose(Fleet, Long, at(I * 5ms), Rng));
      Used.insert(Made.m_Run.m_Target);
    }
    THEN("several engines share it") { CHECK(Used.size() >= 4); }
  }
}

SCENARIO("cache events are hints") {
  State Fleet = fleetOf(1);
  Random Rng(4);
  const TargetId Id{"engine-0"};
  Request Long = question(2048, 20);
  Long.m_Blocks = {7, 8};
  const auto Expected = [&] {
    return valueOf(estimate(Fleet, Long, at(0s), Rng)).m_CachedBlocks;
  };
  applyCacheEvents(Fleet, Id, "first", {{5, 7, true}, {6, 8, true}});
  CHECK(Expected() == 2);
  WHEN("a block is evicted") {
    applyCacheEvents(Fleet, Id, "first", {{7, 8, false}});
    THEN("it is not expected any more") { CHECK(Expected() == 1); }
  }
  WHEN("events are repeated") {
    applyCacheEvents(Fleet, Id, "first", {{6, 8, false}});
    THEN("the repeat has no effect") { CHECK(Expected() == 2); }
  }
  WHEN("events are missing") {
    applyCacheEvents(Fleet, Id, "first", {{9, 99, true}});
    THEN("every hint of the target is dropped") {
      CHECK(Expected() == 0);
      CHECK(Fleet.m_Counters.m_CacheGaps == 1);
    }
  }
  WHEN("they come from another incarnation") {
    applyCacheEvents(Fleet, Id, "second", {{7, 8, false}});
    THEN("they are ignored") { CHECK(Expected() == 2); }
  }
}

SCENARIO("lagging reports are corrected by own work") {
  Random Rng(5);
  State Fleet = fleetOf(2);
  GIVEN("own tries that a report does not show yet") {
    std::vector<Choice> Made;
    Made.reserve(40);
    for (int I = 0; I < 40; ++I)
      Made.push_back(valueOf(choose(Fleet, question(100), at(0s), Rng)));
    for (int I = 0; I < 2; ++I)
      applyLoad(Fleet, {"engine-" + std::to_string(I)}, "first", LoadReport{},
                at(500ms));
    THEN("they still count") {
      CHECK(capacityFor(Fleet, Kind::Engine, Gourd).m_FreeSlots == 24);
    }
    THEN("once the report shows them they are not counted twice") {
      for (int I = 0; I < 2; ++I) {
        LoadReport Seen;
        Seen.m_Running = inFlight(Fleet, {"engine-" + std::to_string(I)});
        applyLoad(Fleet, {"engine-" + std::to_string(I)}, "first", Seen,
                  at(3s));
      }
      CHECK(capacityFor(Fleet, Kind::Engine, Gourd).m_FreeSlots == 24);
    }
  }
}

SCENARIO("entries share what is free, each by its part") {
  Random Rng(8);
  State Fleet = fleetOf(4);
  Fleet.m_Settings.m_Entries = 4;
  const auto FreeSlots = [&] {
    return capacityFor(Fleet, Kind::Engine, Gourd).m_FreeSlots;
  };
  CHECK(capacityFor(Fleet, Kind::Engine, Gourd).m_Slots == 32);
  GIVEN("others that use all of theirs") {
    LoadReport Busy;
    Busy.m_Running = 24;
    for (int I = 0; I < 4; ++I)
      applyLoad(Fleet, {"engine-" + std::to_string(I)}, "first", Busy, at(0s));
    THEN("this one has its quarter") { CHECK(FreeSlots() == 32); }
    THEN("what it takes is not free for it again") {
      for (int I = 0; I < 32; ++I)
        choose(Fleet, question(10), at(0s), Rng);
      CHECK(FreeSlots() == 0);
    }
  }
  GIVEN("others that are idle") {
    Fleet.m_Settings.m_MaxPrefillWaiting = 10s;
    THEN("it may also use a quarter of theirs") { CHECK(FreeSlots() == 56); }
  }
  GIVEN("long prompts that wait at the engines") {
    LoadReport Behind;
    Behind.m_PrefillTokensWaiting = 40000;
    for (int I = 0; I < 4; ++I)
      applyLoad(Fleet, {"engine-" + std::to_string(I)}, "first", Behind,
                at(0s));
    THEN("more wait at the entry") { CHECK(FreeSlots() == 0); }
  }
}

SCENARIO("long prompts are split when that is worth the transfer") {
  Random Rng(6);
  State Fleet;
  Fleet.m_Settings.m_Zone = {"attiki-1"};
  Fleet.m_Settings.m_Region = {"attiki"};
  updateTarget(Fleet, engine(0, "attiki-1", Role::Prefill), at(-60s));
  updateTarget(Fleet, engine(1, "attiki-1", Role::Decode), at(-60s));
  GIVEN("a prefill engine and a decode engine with running streams") {
    LoadReport Streams;
    Streams.m_Running = 16;
    applyLoad(Fleet, {"engine-1"}, "first", Streams, at(0s));
    LoadReport Prefilling;
    Prefilling.m_PrefillTokensWaiting = 100;
    for (int I = 0; I < 20; ++I)
      applyLoad(Fleet, {"engine-0"}, "first", Prefilling, at(0s));
    const Choice Made =
        valueOf(choose(Fleet, question(16384, 200), at(0s), Rng));
    THEN("prefill and decode go to their own engines") {
      REQUIRE(Made.m_Prefill);
      CHECK(Made.m_Prefill->m_Target.m_Value == "engine-0");
      CHECK(Made.m_Run.m_Target.m_Value == "engine-1");
      CHECK(inFlight(Fleet, {"engine-0"}) == 1);
      recordPrefilled(Fleet, Made.m_Try, at(1s));
      CHECK(inFlight(Fleet, {"engine-0"}) == 0);
      recordFirstToken(Fleet, Made.m_Try, at(1s));
      recordEnded(Fleet, Made.m_Try, TryOutcome::Completed, at(5s));
      verify(Fleet);
    }
  }
  GIVEN("a request that may not be split") {
    Request Whole = question(16384, 200);
    Whole.m_MaySplit = false;
    THEN("one engine runs it all") {
      CHECK_FALSE(valueOf(choose(Fleet, Whole, at(0s), Rng)).m_Prefill);
    }
  }
}

SCENARIO("a new target is warmed, not flooded") {
  Random Rng(7);
  State Fleet = fleetOf(10);
  updateTarget(Fleet, engine(99), at(0s));
  const auto ShareAt = [&](Duration Since) {
    int Count = 0;
    for (int I = 0; I < 1000; ++I) {
      const Choice Made =
          run(Fleet, question(), TryOutcome::Cancelled, at(Since), Rng);
      Count += Made.m_Run.m_Target.m_Value == "engine-99" ? 1 : 0;
    }
    return Count;
  };
  const int Cold = ShareAt(100ms);
  const int Warm = ShareAt(20s);
  CHECK(Cold < Warm / 4);
  CHECK(Warm > 1000 / 11 / 2);
}
