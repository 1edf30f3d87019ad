#include "retries/retries.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::retries;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Offset) { return TimePoint(1000s) + Offset; }

constexpr Fingerprint Poison = 13;
const NodeId Entry{"entry-1"};

Crash crash(int Target, std::vector<Fingerprint> Running) {
  return {{"engine-" + std::to_string(Target)}, "first", std::move(Running)};
}

std::optional<Verdict> verdictFor(const SuspectTable &Table, Fingerprint Hash) {
  const auto Found = Table.m_Suspects.find(Hash);
  return Found == Table.m_Suspects.end()
             ? std::nullopt
             : std::optional(Found->second.m_Verdict);
}

} // namespace

SCENARIO("a poison request is distinguished from bystanders") {
  struct Row {
    const char *m_Name;
    std::vector<Crash> m_Crashes; ///< One minute apart.
    std::optional<Verdict> m_Poison;
    std::optional<Verdict> m_Bystander; ///< Fingerprint 1.
  };
  const auto Suspected = Verdict::Suspect;
  const auto Quarantined = Verdict::Quarantined;
  const Row Rows[] = {
      {"one crash", {crash(1, {Poison, 1})}, Suspected, Suspected},
      {"two crashes",
       {crash(1, {Poison, 1}), crash(2, {Poison, 2})},
       Quarantined,
       Suspected},
      {"one crash reported by two entries",
       {crash(1, {Poison, 1}), crash(1, {Poison, 3})},
       Suspected,
       Suspected},
      {"one crash reported twice",
       {crash(1, {Poison, 1}), crash(1, {Poison, 1})},
       Suspected,
       Suspected},
      {"crashes without the poison request",
       {crash(1, {1}), crash(2, {2})},
       std::nullopt,
       Suspected},
      {"a crash of an idle target", {crash(1, {})}, std::nullopt, std::nullopt},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    SuspectTable Table;
    TimePoint LogNow = at(0s);
    for (const Crash &Report : Case.m_Crashes)
      applyCrash(Table, Report, LogNow += 60s);
    CHECK(verdictFor(Table, Poison) == Case.m_Poison);
    CHECK(verdictFor(Table, 1) == Case.m_Bystander);
  }
}

SCENARIO("suspects rerun in isolation, one at each target") {
  SuspectTable Table;
  applyCrash(Table, crash(1, {Poison, 1, 2}), at(0s));
  CHECK(permitRerun(Table, Poison, Entry, {"engine-2"}, at(1s)));
  CHECK_FALSE(permitRerun(Table, Poison, {"entry-2"}, {"engine-3"}, at(1s)));
  CHECK_FALSE(permitRerun(Table, 1, {"entry-2"}, {"engine-2"}, at(1s)));
  CHECK(permitRerun(Table, 1, {"entry-2"}, {"engine-3"}, at(1s)));
  CHECK_FALSE(permitRerun(Table, 99, Entry, {"engine-4"}, at(1s)));
  CHECK(suspectNotices(Table, Entry, at(1s)).size() == 3);
  WHEN("a bystander's run completes") {
    endRerun(Table, 1, {"entry-2"}, true, at(2s));
    THEN("it is no longer suspect") { CHECK_FALSE(verdictFor(Table, 1)); }
  }
  WHEN("the target of a permitted run crashes") {
    applyCrash(Table, crash(2, {4, 5}), at(2s));
    applyCrash(Table, crash(2, {Poison}), at(3s));
    THEN(
        "the permitted suspect is quarantined and the others are not suspect") {
      CHECK(verdictFor(Table, Poison) == Verdict::Quarantined);
      CHECK_FALSE(verdictFor(Table, 4));
      CHECK_FALSE(permitRerun(Table, Poison, Entry, {"engine-5"}, at(4s)));
    }
  }
  WHEN("the permitted entry is gone") {
    const TimePoint Later = at(1s) + Table.m_Settings.m_RerunTimeLimit;
    THEN("another entry may run it after the permission has expired") {
      CHECK_FALSE(
          permitRerun(Table, Poison, {"entry-2"}, {"engine-2"}, Later - 1ms));
      CHECK(permitRerun(Table, Poison, {"entry-2"}, {"engine-2"}, Later));
    }
  }
}

SCENARIO("simultaneous crashes quarantine nothing") {
  SuspectTable Table;
  for (int I = 0; I < 6; ++I)
    applyCrash(Table, crash(I, {Poison, 1}), at(I * 1s));
  CHECK(verdictFor(Table, Poison) == Verdict::Suspect);
  THEN("a crash during an isolated run still quarantines") {
    CHECK(permitRerun(Table, Poison, Entry, {"engine-9"}, at(30s)));
    applyCrash(Table, crash(9, {Poison}), at(31s));
    CHECK(verdictFor(Table, Poison) == Verdict::Quarantined);
    CHECK(verdictFor(Table, 1) == Verdict::Suspect);
  }
}

SCENARIO("a quarantine expires") {
  SuspectTable Table;
  applyCrash(Table, crash(1, {Poison}), at(0s));
  applyCrash(Table, crash(2, {Poison}), at(60s));
  const TimePoint End = at(60s) + Table.m_Settings.m_QuarantineDuration;
  expireSuspects(Table, End - 1ms);
  CHECK(verdictFor(Table, Poison) == Verdict::Quarantined);
  CHECK(suspectNotices(Table, Entry, End - 1ms)[0].m_Remaining == 1ms);
  expireSuspects(Table, End);
  GIVEN("an expired quarantine") {
    THEN(
        "it may rerun in isolation, and its next quarantine is twice as long") {
      CHECK(verdictFor(Table, Poison) == Verdict::Suspect);
      CHECK(permitRerun(Table, Poison, Entry, {"engine-3"}, End + 1s));
      applyCrash(Table, crash(3, {Poison}), End + 2s);
      const Suspect &Info = Table.m_Suspects.at(Poison);
      CHECK(Info.m_Verdict == Verdict::Quarantined);
      CHECK(Info.m_ExpiresAt ==
            End + 2s + 2 * Table.m_Settings.m_QuarantineDuration);
    }
    THEN("it is removed after its probation") {
      expireSuspects(Table, End + Table.m_Settings.m_ProbationDuration);
      CHECK_FALSE(verdictFor(Table, Poison));
    }
  }
  THEN("an operator can lift the quarantine") {
    CHECK(liftQuarantine(Table, Poison));
    CHECK_FALSE(verdictFor(Table, Poison));
  }
}

SCENARIO("a crash is settled once every entry with a lease has applied it") {
  NoticePropagation Progress;
  recordEntryReport(Progress, Entry, 4, at(5s));
  recordEntryReport(Progress, {"entry-2"}, 4, at(5s));
  CHECK(crashesSettled(Progress, Entry, at(0s)));
  recordCrashApplied(Progress, Entry, 5);
  CHECK_FALSE(crashesSettled(Progress, Entry, at(1s)));
  CHECK(crashesSettled(Progress, {"entry-2"}, at(1s)));
  WHEN("the other entry has applied it") {
    recordEntryReport(Progress, {"entry-2"}, 5, at(6s));
    THEN("it is settled") { CHECK(crashesSettled(Progress, Entry, at(1s))); }
  }
  WHEN("the lease of the other entry has expired") {
    THEN("it is settled") { CHECK(crashesSettled(Progress, Entry, at(5s))); }
  }
  WHEN("an earlier leader may have granted leases") {
    Progress.m_EarlierLeasesEnd = at(8s);
    THEN("it is settled only after those leases") {
      CHECK_FALSE(crashesSettled(Progress, Entry, at(7s)));
      CHECK(crashesSettled(Progress, Entry, at(8s)));
    }
  }
}

SCENARIO("an entry holds fingerprints that ran at a crashed target") {
  SuspectTracker Tracker;
  recordRunStart(Tracker, Poison, {"engine-1"}, "first");
  recordRunStart(Tracker, 1, {"engine-2"}, "first");
  CHECK(evaluateGate(Tracker, Poison, at(0s)).m_Gate == Gate::SameTarget);
  CHECK(evaluateGate(Tracker, 2, at(0s)).m_Gate == Gate::Open);
  recordRunStart(Tracker, Poison, {"engine-2"}, "first");
  const Crash Observed = recordCrash(Tracker, {"engine-1"}, "first", at(0s));
  CHECK(Observed.m_Running == std::vector<Fingerprint>{Poison});
  CHECK(recordCrash(Tracker, {"engine-2"}, "second", at(0s)).m_Running.empty());
  recordRunEnd(Tracker, Poison, {"engine-1"}, "first");
  recordRunEnd(Tracker, Poison, {"engine-2"}, "first");
  CHECK(evaluateGate(Tracker, Poison, at(1s)).m_Gate == Gate::Hold);
  CHECK(evaluateGate(Tracker, 1, at(1s)).m_Gate == Gate::SameTarget);
  const SuspectNotice Permitted{Poison, Verdict::Suspect, 60s,
                                true,   {"engine-3"},     10s};
  GIVEN("a permission before the crash is settled") {
    applyNotices(Tracker, {Permitted}, 1, false, at(2s));
    THEN("it is still held") {
      CHECK(evaluateGate(Tracker, Poison, at(2s)).m_Gate == Gate::Hold);
    }
  }
  GIVEN("a permission after the crash is settled") {
    applyNotices(Tracker, {Permitted}, 1, true, at(2s));
    const GateDecision Decision = evaluateGate(Tracker, Poison, at(2s));
    CHECK(Decision.m_Gate == Gate::Isolated);
    CHECK(Decision.m_Target.m_Value == "engine-3");
    CHECK(Decision.m_RunUntil == at(12s));
    THEN("a second copy is held while the first runs") {
      recordRunStart(Tracker, Poison, {"engine-3"}, "first");
      CHECK(evaluateGate(Tracker, Poison, at(2s)).m_Gate == Gate::Hold);
    }
    THEN("it expires") {
      CHECK(evaluateGate(Tracker, Poison, at(12s)).m_Gate == Gate::Hold);
    }
    THEN("older notices have no effect") {
      applyNotices(Tracker, {}, 0, true, at(3s));
      CHECK(evaluateGate(Tracker, Poison, at(3s)).m_Gate == Gate::Isolated);
    }
  }
  GIVEN("a quarantine") {
    applyNotices(Tracker, {{Poison, Verdict::Quarantined, 60s, false, {}, {}}},
                 1, true, at(2s));
    THEN("the fingerprint is refused until it expires") {
      CHECK(evaluateGate(Tracker, Poison, at(61s)).m_Gate == Gate::Quarantined);
      CHECK(evaluateGate(Tracker, Poison, at(62s)).m_Gate == Gate::Open);
    }
  }
}
