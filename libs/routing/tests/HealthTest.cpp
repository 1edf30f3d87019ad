#include "Fixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

const TargetId Suspect{"engine-0"};

/// Runs one request at the suspect target and ends it with \p Outcome.
void runAtSuspect(State &Fleet, TryOutcome Outcome, TimePoint Now,
                  Random &Rng) {
  Request Req = makeRequest();
  Req.m_RequiredTarget = Suspect;
  run(Fleet, Req, Outcome, Now, Rng);
}

} // namespace

SCENARIO("short tries do not hide that a target never answers") {
  State Fleet = makeFleet(2);
  const Leg Silent{Suspect, "first", 0};
  GIVEN("a target that is given up after 500 ms, each 1.5 s") {
    recordSilence(Fleet, Silent, at(0s), at(500ms));
    recordSilence(Fleet, Silent, at(1500ms), at(2s));
    CHECK(silenceOf(Fleet, Silent, at(2s)) == 2s);
    recordSilence(Fleet, Silent, at(3s), at(3500ms));
    CHECK(silenceOf(Fleet, Silent, at(3500ms)) == 3500ms);
    WHEN("bytes arrive from it") {
      recordHeard(Fleet, Silent, at(4s));
      CHECK(silenceOf(Fleet, Silent, at(4s)) == 0s);
      THEN("a try that began before counts from then on only") {
        recordSilence(Fleet, Silent, at(3s), at(5s));
        CHECK(silenceOf(Fleet, Silent, at(5s)) == 1s);
      }
    }
    WHEN("no request has waited there for a while") {
      THEN("the silence is forgotten") {
        CHECK(silenceOf(Fleet, Silent, at(14s)) == 0s);
        recordSilence(Fleet, Silent, at(14s), at(14500ms));
        CHECK(silenceOf(Fleet, Silent, at(14500ms)) == 500ms);
      }
    }
    THEN("another incarnation is not silent") {
      CHECK(silenceOf(Fleet, {Suspect, "second", 0}, at(3500ms)) == 0s);
    }
  }
}

SCENARIO("the silence of many targets is not taken for a fault of one") {
  State Fleet = makeFleet(5);
  const Leg Silent{Suspect, "first", 0};
  const auto Other = [](int Number) {
    return Leg{makeEngine(Number).m_Id, "first", 0};
  };
  const auto IsOfOne = [&](Duration Age) {
    return isSilenceOfOne(silenceEvidence(Fleet, Silent, at(0s), at(Age)));
  };
  recordSilence(Fleet, Silent, at(0s), at(1s));
  GIVEN("nothing is known of the others") {
    THEN("it may be its own") { CHECK(IsOfOne(1s)); }
  }
  GIVEN("a request at another, which is not heard either") {
    Random Rng(5);
    Request Elsewhere = makeRequest();
    Elsewhere.m_RequiredTarget = Other(3).m_Target;
    WHEN("it waits for as long") {
      recordStarted(Fleet, valueOf(choose(Fleet, Elsewhere, at(0s), Rng)).m_Try,
                    at(0s));
      THEN("it says nothing") { CHECK_FALSE(IsOfOne(1s)); }
      THEN("it does once another is heard") {
        recordHeard(Fleet, Other(2), at(900ms));
        CHECK(IsOfOne(1s));
      }
    }
    WHEN("it was sent later") {
      recordStarted(Fleet,
                    valueOf(choose(Fleet, Elsewhere, at(800ms), Rng)).m_Try,
                    at(800ms));
      THEN("that is no sign of a silence there") { CHECK(IsOfOne(1s)); }
    }
  }
  GIVEN("others that are silent as well") {
    recordSilence(Fleet, Other(2), at(0s), at(1s));
    CHECK_FALSE(IsOfOne(1s));
    recordHeard(Fleet, Other(3), at(900ms));
    THEN("it counts while no more are silent than heard") {
      CHECK(IsOfOne(1s));
      recordSilence(Fleet, Other(4), at(0s), at(1s));
      CHECK_FALSE(IsOfOne(1s));
    }
    THEN("what was heard long ago does not count") {
      recordSilence(Fleet, Other(2), at(0s), at(2s));
      CHECK_FALSE(IsOfOne(2s));
    }
  }
}

SCENARIO("a silence counts against a target whose request goes on") {
  State Fleet = makeFleet(3);
  Random Rng(5);
  Request There = makeRequest();
  There.m_RequiredTarget = Suspect;
  const auto Stall = [&](TimePoint Now) {
    const TryId Id = valueOf(choose(Fleet, There, Now, Rng)).m_Try;
    recordStarted(Fleet, Id, Now);
    recordStalled(Fleet, Id, false, Now);
    return Id;
  };
  const TryId First = Stall(at(0s));
  CHECK(findHealth(Fleet, Suspect)->m_FailurePoints == 2);
  recordEnded(Fleet, First, TryOutcome::Cancelled, at(1s));
  CHECK(findHealth(Fleet, Suspect)->m_FailurePoints == 2);
  Stall(at(2s));
  CHECK(findHealth(Fleet, Suspect)->m_State == HealthState::Ejected);
  WHEN("a probe of it stalls as well") {
    const TimePoint Later = findHealth(Fleet, Suspect)->m_EjectedUntil;
    Request Any = makeRequest();
    const Choice Probe = valueOf(choose(Fleet, Any, Later, Rng));
    REQUIRE(Probe.m_Probe);
    recordStarted(Fleet, Probe.m_Try, Later);
    recordStalled(Fleet, Probe.m_Try, false, Later + 3s);
    const TimePoint Until = findHealth(Fleet, Suspect)->m_EjectedUntil;
    THEN("it is ejected for longer, also when the probe is given up later") {
      CHECK(Until > Later + 3s + Fleet.m_Settings.m_EjectionTime);
      recordEnded(Fleet, Probe.m_Try, TryOutcome::Cancelled, Later + 4s);
      CHECK(findHealth(Fleet, Suspect)->m_EjectedUntil == Until);
    }
  }
}

SCENARIO("targets are ejected according to their failures") {
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
      {"a success resets the count",
       {Failed, Failed, Completed, Failed},
       false},
      {"two stalls", {Stalled, Stalled}, true},
      {"a crash", {Crashed}, true},
      {"full is not a failure", {Full, Full, Full, Full}, false},
      {"abandoned tries do not count", {NotSent, Cancelled, NotSent}, false},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    Random Rng(1);
    State Fleet = makeFleet(6);
    for (TryOutcome Outcome : Case.m_Outcomes)
      runAtSuspect(Fleet, Outcome, at(0s), Rng);
    const bool Ejected =
        findHealth(Fleet, Suspect)->m_State == HealthState::Ejected;
    CHECK(Ejected == Case.m_Ejected);
    verify(Fleet);
  }
}

SCENARIO("a target that is slower than its peers is ejected") {
  Random Rng(2);
  State Fleet = makeFleet(6);
  for (int I = 0; I < 60; ++I) {
    Request Req = makeRequest();
    Req.m_RequiredTarget = TargetId{"engine-" + std::to_string(I % 6)};
    if (findHealth(Fleet, *Req.m_RequiredTarget)->m_State ==
        HealthState::Ejected)
      continue;
    const TimePoint Start = at(I * 10s);
    const Choice Decision = valueOf(choose(Fleet, Req, Start, Rng));
    recordStarted(Fleet, Decision.m_Try, Start);
    const Duration Normal = Decision.m_Estimate.m_FirstToken - Start;
    const bool Slow = Decision.m_Run.m_Target == Suspect;
    const TimePoint First = Start + (Slow ? 10 * Normal + 500ms : Normal);
    recordFirstToken(Fleet, Decision.m_Try, First);
    recordProgress(Fleet, Decision.m_Try, 50, First + 1s);
    recordEnded(Fleet, Decision.m_Try, TryOutcome::Completed,
                First + (Slow ? 20s : 1s));
  }
  CHECK(findHealth(Fleet, Suspect)->m_State == HealthState::Ejected);
  CHECK(Fleet.m_Counters.m_Ejections == 1);
}

SCENARIO("an ejected target is readmitted after one successful probe") {
  Random Rng(3);
  State Fleet = makeFleet(6);
  runAtSuspect(Fleet, TryOutcome::Crashed, at(0s), Rng);
  const TimePoint Due = findHealth(Fleet, Suspect)->m_EjectedUntil;
  GIVEN("an ejection time that is not over") {
    THEN("the target gets no requests") {
      for (int I = 0; I < 100; ++I)
        CHECK_FALSE(
            run(Fleet, makeRequest(), TryOutcome::Completed, Due - 1ms, Rng)
                .m_Run.m_Target == Suspect);
    }
  }
  GIVEN("an ejection time that is over") {
    Request Payment = makeRequest();
    Payment.m_MayProbe = false;
    CHECK_FALSE(valueOf(choose(Fleet, Payment, Due, Rng)).m_Probe);
    const Choice Probe = valueOf(choose(Fleet, makeRequest(), Due, Rng));
    REQUIRE(Probe.m_Probe);
    CHECK(Probe.m_Run.m_Target == Suspect);
    THEN("no second request is sent to it while the probe runs") {
      for (int I = 0; I < 100; ++I)
        CHECK_FALSE(
            valueOf(choose(Fleet, makeRequest(), Due, Rng)).m_Run.m_Target ==
            Suspect);
    }
    WHEN("the probe completes") {
      recordEnded(Fleet, Probe.m_Try, TryOutcome::Completed, Due + 1s);
      THEN("the target warms up") {
        CHECK(findHealth(Fleet, Suspect)->m_State == HealthState::Warming);
      }
    }
    WHEN("the probe fails") {
      recordEnded(Fleet, Probe.m_Try, TryOutcome::Failed, Due + 1s);
      THEN("the target is ejected for twice as long") {
        const Health SuspectHealth = *findHealth(Fleet, Suspect);
        CHECK(SuspectHealth.m_State == HealthState::Ejected);
        CHECK(SuspectHealth.m_EjectedUntil - (Due + 1s) == 10s);
      }
    }
    WHEN("the probe is never sent") {
      recordEnded(Fleet, Probe.m_Try, TryOutcome::NotSent, Due + 1s);
      THEN("the next request is the probe") {
        CHECK(valueOf(choose(Fleet, makeRequest(), Due + 1s, Rng)).m_Probe);
      }
    }
    verify(Fleet);
  }
}

SCENARIO("the share of ejected targets is limited") {
  Random Rng(4);
  struct Row {
    int m_Targets;
    std::size_t m_ExpectedEjections;
  };
  for (const Row &Case : {Row{1, 0}, {2, 1}, {3, 1}, {5, 1}, {6, 2}, {20, 6}}) {
    State Fleet = makeFleet(Case.m_Targets);
    for (int I = 0; I < Case.m_Targets; ++I) {
      Request Req = makeRequest();
      Req.m_RequiredTarget = TargetId{"engine-" + std::to_string(I)};
      run(Fleet, Req, TryOutcome::Crashed, at(0s), Rng);
    }
    const Pool &TargetPool = Fleet.m_Pools[0].at(Gourd);
    CHECK(TargetPool.m_Ejected.size() == Case.m_ExpectedEjections);
    CHECK_FALSE(failed(choose(Fleet, makeRequest(), at(0s), Rng)));
    verify(Fleet);
    for (int I = Case.m_Targets - 1; I > 0; --I) {
      removeTarget(Fleet, {"engine-" + std::to_string(I)}, at(1s));
      CHECK_FALSE(failed(choose(Fleet, makeRequest(), at(1s), Rng)));
      verify(Fleet);
    }
  }
}
