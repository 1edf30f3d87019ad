// Targets whose VM is slow for a short time.

#include "Fixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

const TargetId First = makeEngine(0).m_Id;

void report(State &Fleet, const TargetId &Id, std::optional<double> Slowdown,
            TimePoint Now) {
  LoadReport Report{0, 0, std::nullopt, std::nullopt};
  Report.m_Slowdown = Slowdown;
  applyLoad(Fleet, Id, "first", Report, Now);
}

Duration firstTokenAt(State &Fleet, const TargetId &Id, TimePoint Now) {
  Random Rng(3);
  Request Req = makeRequest(20'000);
  Req.m_RequiredTarget = Id;
  return valueOf(estimate(Fleet, Req, Now, Rng)).m_FirstToken - Now;
}

} // namespace

SCENARIO("a passing slowdown of a target counts while its report is fresh") {
  State Fleet = makeFleet(3);
  const Duration Usual = firstTokenAt(Fleet, First, at(0s));
  report(Fleet, First, 2.5, at(0s));
  THEN("its answers are expected later") {
    CHECK(firstTokenAt(Fleet, First, at(0s)) > Usual * 2);
    CHECK(firstTokenAt(Fleet, First, at(300ms)) > Usual * 1.3);
    AND_THEN("as usual once the report is old") {
      CHECK(firstTokenAt(Fleet, First, at(600ms)) == Usual);
      CHECK(firstTokenAt(Fleet, First, at(1h)) == Usual);
    }
  }
  THEN("requests go elsewhere meanwhile") {
    Random Rng(3);
    for (int I = 0; I < 50; ++I)
      CHECK(run(Fleet, makeRequest(20'000), TryOutcome::Cancelled, at(0s), Rng)
                .m_Run.m_Target != First);
  }
  THEN("a report without a figure changes nothing") {
    report(Fleet, First, std::nullopt, at(1ms));
    CHECK(firstTokenAt(Fleet, First, at(1ms)) > Usual * 2);
  }
}

SCENARIO("a slowdown that lasts is not counted beside the measured times") {
  State Fleet = makeFleet(3);
  const Duration Usual = firstTokenAt(Fleet, First, at(0s));
  for (int I = 0; I < 200; ++I)
    report(Fleet, First, 2.0, at(I * 100ms));
  const Duration Now = firstTokenAt(Fleet, First, at(20s - 100ms));
  CHECK(Now < Usual * 1.05);
  CHECK(Now > Usual * 0.95);
}

SCENARIO("absurd slowdowns stay within bounds") {
  State Fleet = makeFleet(3);
  const Duration Usual = firstTokenAt(Fleet, First, at(0s));
  report(Fleet, First, 100.0, at(0s));
  CHECK(firstTokenAt(Fleet, First, at(0s)) < Usual * 5);
  report(Fleet, First, 0.01, at(1s));
  CHECK(firstTokenAt(Fleet, First, at(1s)) > Usual / 5);
}
