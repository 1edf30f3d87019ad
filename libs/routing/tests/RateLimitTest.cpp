#include "Fixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

SCENARIO("targets with a rate limit get no more requests than it admits") {
  Random Rng(1);
  State Fleet = makeFleet(3);
  const auto Send = [&](TimePoint Now) {
    auto Where = choose(Fleet, makeRequest(), Now, Rng);
    if (failed(Where))
      return std::string();
    recordEnded(Fleet, valueOf(Where).m_Try, TryOutcome::Completed, Now);
    return valueOf(Where).m_Run.m_Target.m_Value;
  };
  const auto Next = [&](TimePoint Now) {
    return nextAdmittedAt(Fleet, Kind::Engine, makeRequest().m_Model, Now);
  };
  GIVEN("a limit on one of three") {
    limitRate(Fleet, {"engine-0"}, 2, at(0s));
    int Limited = 0;
    for (int I = 1; I <= 100; ++I) {
      const std::string Target = Send(at(I * 40ms));
      CHECK_FALSE(Target.empty());
      Limited += Target == "engine-0" ? 1 : 0;
    }
    THEN("it gets its rate, and the others the rest") {
      CHECK(Limited <= 8);
      CHECK(Limited >= 4);
    }
  }
  GIVEN("limits on all") {
    for (const char *Id : {"engine-0", "engine-1", "engine-2"})
      limitRate(Fleet, {Id}, 1, at(0s));
    THEN("what they do not admit has no target until the next token") {
      CHECK(Send(at(500ms)).empty());
      CHECK(Next(at(500ms)) == at(1s));
      CHECK_FALSE(Send(at(1s)).empty());
      CHECK_FALSE(Send(at(1s)).empty());
      CHECK_FALSE(Send(at(1s)).empty());
      CHECK(Send(at(1s)).empty());
    }
    THEN("a choice that is given back leaves its token") {
      for (int I = 0; I < 10; ++I) {
        const auto Where = choose(Fleet, makeRequest(), at(1s), Rng);
        REQUIRE_FALSE(failed(Where));
        recordEnded(Fleet, valueOf(Where).m_Try, TryOutcome::NotSent, at(1s));
      }
      int Sent = 0;
      while (!Send(at(1s)).empty())
        ++Sent;
      CHECK(Sent == 3);
    }
    THEN("a request that was sent uses its token however it ends") {
      for (int I = 0; I < 3; ++I) {
        const auto Where = choose(Fleet, makeRequest(), at(1s), Rng);
        REQUIRE_FALSE(failed(Where));
        recordStarted(Fleet, valueOf(Where).m_Try, at(1s));
        recordEnded(Fleet, valueOf(Where).m_Try, TryOutcome::NotSent, at(1s));
      }
      CHECK(Send(at(1s)).empty());
    }
    THEN("a limit that ends admits requests at once") {
      limitRate(Fleet, {"engine-1"}, std::nullopt, at(100ms));
      CHECK(Next(at(100ms)) == at(100ms));
      CHECK(Send(at(100ms)) == "engine-1");
    }
    THEN("none is ever admitted without a share") {
      for (const char *Id : {"engine-0", "engine-1", "engine-2"})
        limitRate(Fleet, {Id}, 0, at(0s));
      CHECK_FALSE(Next(at(1s)));
      CHECK(Send(at(100s)).empty());
    }
  }
  verify(Fleet);
}

SCENARIO("a target that rests or leaves is chosen by nobody") {
  Random Rng(1);
  State Fleet = makeFleet(2);
  const Leg First{{"engine-0"}, "first", 0};
  const Leg Second{{"engine-1"}, "first", 0};
  const auto Count = [&](const char *Id, TimePoint Now) {
    int Chosen = 0;
    for (int I = 0; I < 50; ++I) {
      auto Where = choose(Fleet, makeRequest(), Now, Rng);
      if (failed(Where))
        continue;
      Chosen += valueOf(Where).m_Run.m_Target.m_Value == Id ? 1 : 0;
      recordEnded(Fleet, valueOf(Where).m_Try, TryOutcome::Completed, Now);
    }
    return Chosen;
  };
  const auto Free = [&](TimePoint Now) {
    return capacityFor(Fleet, Kind::Engine, Gourd, Now).m_FreeSlots;
  };
  GIVEN("a rest of one of two") {
    const auto Before = Free(at(0s));
    restTarget(Fleet, First, at(2s), at(0s));
    restTarget(Fleet, First, at(1s), at(0s));
    THEN("it gets nothing and has no free places until the longer one ends") {
      CHECK(Count("engine-0", at(1500ms)) == 0);
      CHECK(Free(at(1500ms)) < Before);
      CHECK_FALSE(acceptsNewWork(Fleet, First, at(1500ms)));
      CHECK(Count("engine-0", at(2s)) > 0);
      CHECK(Free(at(2s)) == Before);
      CHECK(acceptsNewWork(Fleet, First, at(2s)));
    }
    THEN("the next request is admitted by the other at once") {
      CHECK(nextAdmittedAt(Fleet, Kind::Engine, Gourd, at(0s)) == at(0s));
    }
    WHEN("the other rests too") {
      restTarget(Fleet, Second, at(3s), at(0s));
      THEN("the next is admitted when the first rest ends") {
        CHECK(failed(choose(Fleet, makeRequest(), at(1s), Rng)));
        CHECK(nextAdmittedAt(Fleet, Kind::Engine, Gourd, at(1s)) == at(2s));
        CHECK(Free(at(1s)) == 0);
      }
    }
    WHEN("a new incarnation registers") {
      Target Next = makeEngine(0, "attiki-1");
      Next.m_Incarnation = "second";
      updateTarget(Fleet, Next, at(100ms));
      THEN("it does not rest") { CHECK(Count("engine-0", at(30s)) > 0); }
      THEN("what the former one says is not its word") {
        restTarget(Fleet, First, at(60s), at(1s));
        CHECK_FALSE(closeTarget(Fleet, First, at(1s)));
        CHECK(Count("engine-0", at(30s)) > 0);
      }
    }
  }
  GIVEN("one that leaves") {
    CHECK(closeTarget(Fleet, First, at(0s)));
    CHECK_FALSE(closeTarget(Fleet, First, at(0s)));
    THEN("newer descriptions do not open it again") {
      Target Later = makeEngine(0, "attiki-1");
      Later.m_Generation = 7;
      updateTarget(Fleet, Later, at(1s));
      CHECK(Count("engine-0", at(60s)) == 0);
      CHECK_FALSE(acceptsNewWork(Fleet, {{"engine-0"}, "first", 7}, at(60s)));
    }
    THEN("a new incarnation is open") {
      Target Next = makeEngine(0, "attiki-1");
      Next.m_Incarnation = "second";
      updateTarget(Fleet, Next, at(1s));
      CHECK(Count("engine-0", at(60s)) > 0);
    }
  }
  verify(Fleet);
}
