#include "Fixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

const TargetId Suspect{"engine-0"};

/// Runs one request at the suspect and ends it.
void runThere(State &Fleet, TryOutcome Outcome, TimePoint Now, Random &Rng) {
  Request Wanted = question();
  Wanted.m_RequiredTarget = Suspect;
  run(Fleet, Wanted, Outcome, Now, Rng);
}

} // namespace

SCENARIO("targets are ejected by evidence") {
  struct Row {
    const char *m_Name;
    std::vector<TryOutcome> m_Outcomes;
    bool m_Ejected;
  };
  using enum TryOutcome;
  const Row Rows[] = {
      {"one failure", {Failed}, false},
      {"two failures", {Failed, Failed}, false},
      {"three failures in a row", {Failed, Failed, Failed}, true},
      {"a success between", {Failed, Failed, Completed, Failed}, false},
      {"two stalls", {Stalled, Stalled}, true},
      {"a crash", {Crashed}, true},
      {"full is no failure", {Full, Full, Full, Full}, false},
      {"given up says nothing", {NotSent, Cancelled, NotSent}, false},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    Random Rng(1);
    State Fleet = fleetOf(6);
    for (TryOutcome Outcome : Case.m_Outcomes)
      runThere(Fleet, Outcome, at(0s), Rng);
    const bool Ejected =
        healthOf(Fleet, Suspect)->m_State == HealthState::Ejected;
    CHECK(Ejected == Case.m_Ejected);
    verify(Fleet);
  }
}

SCENARIO("a target slower than its peers is ejected") {
  Random Rng(2);
  State Fleet = fleetOf(6);
  for (int I = 0; I < 60; ++I) {
    Request Wanted = question();
    Wanted.m_RequiredTarget = TargetId{"engine-" + std::to_string(I % 6)};
    if (healthOf(Fleet, *Wanted.m_RequiredTarget)->m_State ==
        HealthState::Ejected)
      continue;
    const TimePoint Start = at(I * 10s);
    const Choice Made = valueOf(choose(Fleet, Wanted, Start, Rng));
    recordStarted(Fleet, Made.m_Try, Start);
    const Duration Normal = Made.m_Estimate.m_FirstToken - Start;
    const bool Slow = Made.m_Run.m_Target == Suspect;
    const TimePoint First = Start + (Slow ? 10 * Normal + 500ms : Normal);
    recordFirstToken(Fleet, Made.m_Try, First);
    recordProgress(Fleet, Made.m_Try, 50, First + 1s);
    recordEnded(Fleet, Made.m_Try, TryOutcome::Completed,
                First + (Slow ? 20s : 1s));
  }
  CHECK(healthOf(Fleet, Suspect)->m_State == HealthState::Ejected);
  CHECK(Fleet.m_Counters.m_Ejections == 1);
}

SCENARIO("an ejected target returns by one probe") {
  Random Rng(3);
  State Fleet = fleetOf(6);
  runThere(Fleet, TryOutcome::Crashed, at(0s), Rng);
  const TimePoint Due = healthOf(Fleet, Suspect)->m_EjectedUntil;
  GIVEN("its time is not over") {
    THEN("it gets nothing") {
      for (int I = 0; I < 100; ++I)
        CHECK_FALSE(
            run(Fleet, question(), TryOutcome::Completed, Due - 1ms, Rng)
                .m_Run.m_Target == Suspect);
    }
  }
  GIVEN("its time is over") {
    Request Payment = question();
    Payment.m_MayProbe = false;
    CHECK_FALSE(valueOf(choose(Fleet, Payment, Due, Rng)).m_Probe);
    const Choice Probe = valueOf(choose(Fleet, question(), Due, Rng));
    REQUIRE(Probe.m_Probe);
    CHECK(Probe.m_Run.m_Target == Suspect);
    THEN("no second request goes there meanwhile") {
      for (int I = 0; I < 100; ++I)
        CHECK_FALSE(
            valueOf(choose(Fleet, question(), Due, Rng)).m_Run.m_Target ==
            Suspect);
    }
    WHEN("the probe completes") {
      recordEnded(Fleet, Probe.m_Try, TryOutcome::Completed, Due + 1s);
      THEN("it warms up") {
        CHECK(healthOf(Fleet, Suspect)->m_State == HealthState::Warming);
      }
    }
    WHEN("the probe fails") {
      recordEnded(Fleet, Probe.m_Try, TryOutcome::Failed, Due + 1s);
      THEN("it stays away for twice as long") {
        const Health Known = *healthOf(Fleet, Suspect);
        CHECK(Known.m_State == HealthState::Ejected);
        CHECK(Known.m_EjectedUntil - (Due + 1s) == 10s);
      }
    }
    WHEN("the probe is never sent") {
      recordEnded(Fleet, Probe.m_Try, TryOutcome::NotSent, Due + 1s);
      THEN("the next request probes") {
        CHECK(valueOf(choose(Fleet, question(), Due + 1s, Rng)).m_Probe);
      }
    }
    verify(Fleet);
  }
}

SCENARIO("the share of ejected targets is limited") {
  Random Rng(4);
  struct Row {
    int m_Targets;
    std::size_t m_MostEjected;
  };
  for (const Row &Case : {Row{1, 0}, {2, 1}, {3, 1}, {5, 1}, {6, 2}, {20, 6}}) {
    State Fleet = fleetOf(Case.m_Targets);
    for (int I = 0; I < Case.m_Targets; ++I) {
      Request Wanted = question();
      Wanted.m_RequiredTarget = TargetId{"engine-" + std::to_string(I)};
      run(Fleet, Wanted, TryOutcome::Crashed, at(0s), Rng);
    }
    const Pool &Group = Fleet.m_Pools[0].at(Gourd);
    CHECK(Group.m_Ejected.size() == Case.m_MostEjected);
    CHECK_FALSE(failed(choose(Fleet, question(), at(0s), Rng)));
    verify(Fleet);
    for (int I = Case.m_Targets - 1; I > 0; --I) {
      removeTarget(Fleet, {"engine-" + std::to_string(I)}, at(1s));
      CHECK_FALSE(failed(choose(Fleet, question(), at(1s), Rng)));
      verify(Fleet);
    }
  }
}
