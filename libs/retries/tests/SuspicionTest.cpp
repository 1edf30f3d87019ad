#include "retries/retries.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::retries;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Since) { return TimePoint(1000s) + Since; }

constexpr Fingerprint Poison = 13;
const NodeId Entry{"entry-1"};

Crash crash(int Target, std::vector<Fingerprint> Running) {
  return {{"engine-" + std::to_string(Target)}, "first", std::move(Running)};
}

std::optional<Verdict> verdictOn(const SuspectTable &Fleet, Fingerprint Print) {
  const auto Found = Fleet.m_Suspects.find(Print);
  return Found == Fleet.m_Suspects.end()
             ? std::nullopt
             : std::optional(Found->second.m_Verdict);
}

} // namespace

SCENARIO("a guilty request is told from bystanders") {
  struct Row {
    const char *m_Name;
    std::vector<Crash> m_Crashes; ///< A minute apart.
    std::optional<Verdict> m_Poison;
    std::optional<Verdict> m_Bystander; ///< Fingerprint 1.
  };
  const auto Held = Verdict::Suspect;
  const auto Banned = Verdict::Quarantined;
  const Row Rows[] = {
      {"one crash", {crash(1, {Poison, 1})}, Held, Held},
      {"two crashes",
       {crash(1, {Poison, 1}), crash(2, {Poison, 2})},
       Banned,
       Held},
      {"one crash reported by two entries",
       {crash(1, {Poison, 1}), crash(1, {Poison, 3})},
       Held,
       Held},
      {"one crash reported twice",
       {crash(1, {Poison, 1}), crash(1, {Poison, 1})},
       Held,
       Held},
      {"crashes without it",
       {crash(1, {1}), crash(2, {2})},
       std::nullopt,
       Held},
      {"a crash of an idle target", {crash(1, {})}, std::nullopt, std::nullopt},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    SuspectTable Fleet;
    TimePoint LogNow = at(0s);
    for (const Crash &One : Case.m_Crashes)
      applyCrash(Fleet, One, LogNow += 60s);
    CHECK(verdictOn(Fleet, Poison) == Case.m_Poison);
    CHECK(verdictOn(Fleet, 1) == Case.m_Bystander);
  }
}

SCENARIO("suspects are run alone, one at each target") {
  SuspectTable Fleet;
  applyCrash(Fleet, crash(1, {Poison, 1, 2}), at(0s));
  CHECK(permitRerun(Fleet, Poison, Entry, {"engine-2"}, at(1s)));
  CHECK_FALSE(permitRerun(Fleet, Poison, {"entry-2"}, {"engine-3"}, at(1s)));
  CHECK_FALSE(permitRerun(Fleet, 1, {"entry-2"}, {"engine-2"}, at(1s)));
  CHECK(permitRerun(Fleet, 1, {"entry-2"}, {"engine-3"}, at(1s)));
  CHECK_FALSE(permitRerun(Fleet, 99, Entry, {"engine-4"}, at(1s)));
  CHECK(suspectNotices(Fleet, Entry, at(1s)).size() == 3);
  WHEN("a bystander's run completes") {
    endRerun(Fleet, 1, {"entry-2"}, true, at(2s));
    THEN("it is free") { CHECK_FALSE(verdictOn(Fleet, 1)); }
  }
  WHEN("the target of a permitted run crashes") {
    applyCrash(Fleet, crash(2, {4, 5}), at(2s));
    applyCrash(Fleet, crash(2, {Poison}), at(3s));
    THEN("the permitted one is guilty and those beside it are not suspect") {
      CHECK(verdictOn(Fleet, Poison) == Verdict::Quarantined);
      CHECK_FALSE(verdictOn(Fleet, 4));
      CHECK_FALSE(permitRerun(Fleet, Poison, Entry, {"engine-5"}, at(4s)));
    }
  }
  WHEN("the entry that was permitted is gone") {
    const TimePoint Later = at(1s) + Fleet.m_Settings.m_RerunFor;
    THEN("another one may run it after the permission has ended") {
      CHECK_FALSE(
          permitRerun(Fleet, Poison, {"entry-2"}, {"engine-2"}, Later - 1ms));
      CHECK(permitRerun(Fleet, Poison, {"entry-2"}, {"engine-2"}, Later));
    }
  }
}

SCENARIO("a common cause convicts nobody") {
  SuspectTable Fleet;
  for (int I = 0; I < 6; ++I)
    applyCrash(Fleet, crash(I, {Poison, 1}), at(I * 1s));
  CHECK(verdictOn(Fleet, Poison) == Verdict::Suspect);
  THEN("a crash under an isolated run still does") {
    CHECK(permitRerun(Fleet, Poison, Entry, {"engine-9"}, at(30s)));
    applyCrash(Fleet, crash(9, {Poison}), at(31s));
    CHECK(verdictOn(Fleet, Poison) == Verdict::Quarantined);
    CHECK(verdictOn(Fleet, 1) == Verdict::Suspect);
  }
}

SCENARIO("a quarantine ends") {
  SuspectTable Fleet;
  applyCrash(Fleet, crash(1, {Poison}), at(0s));
  applyCrash(Fleet, crash(2, {Poison}), at(60s));
  const TimePoint End = at(60s) + Fleet.m_Settings.m_QuarantineFor;
  expireSuspects(Fleet, End - 1ms);
  CHECK(verdictOn(Fleet, Poison) == Verdict::Quarantined);
  CHECK(suspectNotices(Fleet, Entry, End - 1ms)[0].m_Remaining == 1ms);
  expireSuspects(Fleet, End);
  GIVEN("its time is over") {
    THEN("it may run alone, and its next crash is its last for twice as long") {
      CHECK(verdictOn(Fleet, Poison) == Verdict::Suspect);
      CHECK(permitRerun(Fleet, Poison, Entry, {"engine-3"}, End + 1s));
      applyCrash(Fleet, crash(3, {Poison}), End + 2s);
      const Suspect &Known = Fleet.m_Suspects.at(Poison);
      CHECK(Known.m_Verdict == Verdict::Quarantined);
      CHECK(Known.m_Until == End + 2s + 2 * Fleet.m_Settings.m_QuarantineFor);
    }
    THEN("it is forgotten after its probation") {
      expireSuspects(Fleet, End + Fleet.m_Settings.m_ProbationFor);
      CHECK_FALSE(verdictOn(Fleet, Poison));
    }
  }
  THEN("an operator can lift it") {
    CHECK(liftQuarantine(Fleet, Poison));
    CHECK_FALSE(verdictOn(Fleet, Poison));
  }
}

SCENARIO("a crash is settled once every entry with a lease knows it") {
  NoticePropagation Known;
  recordEntryReport(Known, Entry, 4, at(5s));
  recordEntryReport(Known, {"entry-2"}, 4, at(5s));
  CHECK(crashesSettled(Known, Entry, at(0s)));
  recordCrashApplied(Known, Entry, 5);
  CHECK_FALSE(crashesSettled(Known, Entry, at(1s)));
  CHECK(crashesSettled(Known, {"entry-2"}, at(1s)));
  WHEN("the other has applied it") {
    recordEntryReport(Known, {"entry-2"}, 5, at(6s));
    THEN("it is settled") { CHECK(crashesSettled(Known, Entry, at(1s))); }
  }
  WHEN("the other's lease has run out") {
    THEN("it is settled") { CHECK(crashesSettled(Known, Entry, at(5s))); }
  }
  WHEN("an earlier leader may have granted leases") {
    Known.m_EarlierLeasesEnd = at(8s);
    THEN("it is settled only after those") {
      CHECK_FALSE(crashesSettled(Known, Entry, at(7s)));
      CHECK(crashesSettled(Known, Entry, at(8s)));
    }
  }
}

SCENARIO("an entry holds what it saw crash a target") {
  SuspectTracker Here;
  recordRunStart(Here, Poison, {"engine-1"}, "first");
  recordRunStart(Here, 1, {"engine-2"}, "first");
  CHECK(evaluateGate(Here, Poison, at(0s)).m_Gate == Gate::SameTarget);
  CHECK(evaluateGate(Here, 2, at(0s)).m_Gate == Gate::Open);
  recordRunStart(Here, Poison, {"engine-2"}, "first");
  const Crash Seen = recordCrash(Here, {"engine-1"}, "first", at(0s));
  CHECK(Seen.m_Running == std::vector<Fingerprint>{Poison});
  CHECK(recordCrash(Here, {"engine-2"}, "second", at(0s)).m_Running.empty());
  recordRunEnd(Here, Poison, {"engine-1"}, "first");
  recordRunEnd(Here, Poison, {"engine-2"}, "first");
  CHECK(evaluateGate(Here, Poison, at(1s)).m_Gate == Gate::Hold);
  CHECK(evaluateGate(Here, 1, at(1s)).m_Gate == Gate::SameTarget);
  const SuspectNotice Permitted{Poison, Verdict::Suspect, 60s,
                                true,   {"engine-3"},     10s};
  GIVEN("a permission before its crash is settled") {
    applyNotices(Here, {Permitted}, 1, false, at(2s));
    THEN("it is still held") {
      CHECK(evaluateGate(Here, Poison, at(2s)).m_Gate == Gate::Hold);
    }
  }
  GIVEN("a permission after that") {
    applyNotices(Here, {Permitted}, 1, true, at(2s));
    const GateDecision Alone = evaluateGate(Here, Poison, at(2s));
    CHECK(Alone.m_Gate == Gate::Isolated);
    CHECK(Alone.m_Target.m_Value == "engine-3");
    CHECK(Alone.m_RunUntil == at(12s));
    THEN("a second copy is held beside the first") {
      recordRunStart(Here, Poison, {"engine-3"}, "first");
      CHECK(evaluateGate(Here, Poison, at(2s)).m_Gate == Gate::Hold);
    }
    THEN("it ends in time") {
      CHECK(evaluateGate(Here, Poison, at(12s)).m_Gate == Gate::Hold);
    }
    THEN("older notices change nothing") {
      applyNotices(Here, {}, 0, true, at(3s));
      CHECK(evaluateGate(Here, Poison, at(3s)).m_Gate == Gate::Isolated);
    }
  }
  GIVEN("a quarantine") {
    applyNotices(Here, {{Poison, Verdict::Quarantined, 60s, false, {}, {}}}, 1,
                 true, at(2s));
    THEN("it is refused until that ends") {
      CHECK(evaluateGate(Here, Poison, at(61s)).m_Gate == Gate::Quarantined);
      CHECK(evaluateGate(Here, Poison, at(62s)).m_Gate == Gate::Open);
    }
  }
}
