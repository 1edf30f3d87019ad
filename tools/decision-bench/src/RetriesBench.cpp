#include "Benches.h"
#include "retries/retries.h"

namespace wasabivale::decisionbench {

namespace {

using namespace std::chrono_literals;
using namespace retries;

constexpr std::uint64_t Calls = 20000;
constexpr std::uint32_t CrashSize = 32; ///< Requests running at a target.

void benchDecide(std::vector<Row> &Rows) {
  State Entry;
  Random Rng(1);
  const TimePoint Now{1000s};
  Attempt Request;
  Request.m_Caller = {"caller"};
  Request.m_Target = {"engine"};
  Request.m_Deadline = Now + 60s;
  const Failure Facts{FailureKind::Broken, false, true};
  const Cost Each = measure(Calls, [&] {
    for (int I = 0; I < 5; ++I)
      recordSuccess(Entry, Request.m_Caller, Request.m_Target);
    decide(Entry, Request, Facts, Now, Rng);
  });
  addCost(Rows, "retry_decision", Each);
}

void benchGate(std::vector<Row> &Rows) {
  SuspectTracker Entry;
  const TimePoint Now{1000s};
  Fingerprint Next = 0;
  const Cost Each = measure(Calls, [&] {
    ++Next;
    evaluateGate(Entry, Next, Now);
    recordRunStart(Entry, Next, {"engine"}, "first");
    recordRunEnd(Entry, Next, {"engine"}, "first");
  });
  addCost(Rows, "suspect_gate", Each);
}

void benchCrash(std::vector<Row> &Rows) {
  SuspectTable Fleet;
  TimePoint LogNow{1000s};
  std::uint64_t Next = 0;
  // One crash a minute, far above what is expected.
  const Cost Each = measure(200, [&] {
    Crash Report{{"engine-" + std::to_string(Next)}, "first", {}};
    for (std::uint32_t I = 0; I < CrashSize; ++I)
      Report.m_Running.push_back(Next * CrashSize + I);
    ++Next;
    LogNow += 60s;
    applyCrash(Fleet, Report, LogNow);
  });
  addCost(Rows, "apply_crash_32_running", Each);
}

void benchTraits(std::vector<Row> &Rows) {
  constexpr Trait Quarantines = 64;
  TraitTracker Entry;
  const TimePoint Now{1000s};
  for (Trait Value = 0; Value < Quarantines; ++Value)
    Entry.m_Quarantines.push_back(
        {{3 * Value, 3 * Value + 1}, Now + 60s, Now + 120s, 1});
  Trait Next = 1000;
  addCost(
      Rows, "trait_gate_64_quarantines", measure(Calls, [&] {
        Next += 4;
        quarantinedUntil(Entry, {Next, {Next + 1, Next + 2, Next + 3}}, Now);
      }));
  addCost(Rows, "trait_sound", measure(Calls, [&] {
            Next += 4;
            recordSound(Entry, {Next, {Next + 1, Next + 2}}, Now);
          }));
  TraitTable Fleet;
  TimePoint LogNow{1000s};
  addCost(
      Rows, "apply_trait_crash_4_waiting", measure(200, [&] {
        TraitCrash Report{{std::to_string(++Next)}, "first", {}};
        for (int I = 0; I < 4; ++I) {
          Next += 4;
          Report.m_Waiting.push_back({Next, {Next % 100, 1000 + Next}, false});
        }
        LogNow += 1s;
        applyTraitCrash(Fleet, Report, LogNow);
      }));
}

} // namespace

std::vector<Row> benchRetries() {
  std::vector<Row> Rows;
  benchDecide(Rows);
  benchGate(Rows);
  benchCrash(Rows);
  benchTraits(Rows);
  return Rows;
}

} // namespace wasabivale::decisionbench
