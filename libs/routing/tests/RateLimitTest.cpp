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
