#include "Fixture.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

constexpr int TargetCount = 20;
constexpr int MeanRunningPerTarget = 16;
constexpr Duration RunTime = 1s;
constexpr Duration ReportLag = 2s;
constexpr Duration ExperimentTime = 30s;
constexpr Duration Tick = 10ms;

struct RunningTry {
  TimePoint m_End;
  std::size_t m_Entry;
  TryId m_Try;
  std::size_t m_Target;
};

/// Simulates several entries that share targets and receive lagging reports.
/// \returns the peak number of requests that ran at one target.
int peakRunning(Policy SelectionPolicy, std::size_t EntryCount,
                std::uint64_t Seed) {
  Random Rng(Seed);
  std::vector<State> Entries;
  for (std::size_t I = 0; I < EntryCount; ++I) {
    Entries.push_back(makeFleet(TargetCount, SelectionPolicy));
    Entries.back().m_Settings.m_Entries =
        static_cast<std::uint32_t>(EntryCount);
    Entries.back().m_Settings.m_ReportLag = ReportLag;
    Entries.back().m_Settings.m_Zone = {"attiki-" + std::to_string(I % 3 + 1)};
  }
  const double PerTick = static_cast<double>(TargetCount) *
                         MeanRunningPerTarget *
                         std::chrono::duration<double>(Tick).count() /
                         std::chrono::duration<double>(RunTime).count();
  std::poisson_distribution<int> Arrivals(PerTick);
  std::vector<int> Loads(TargetCount);
  std::deque<std::vector<int>> LoadHistory; // One element per tick of the lag.
  std::deque<RunningTry> OpenTries;
  int Peak = 0;
  for (TimePoint Now = at(0s); Now < at(ExperimentTime); Now += Tick) {
    while (!OpenTries.empty() && OpenTries.front().m_End <= Now) {
      const RunningTry &Done = OpenTries.front();
      recordEnded(Entries[Done.m_Entry], Done.m_Try, TryOutcome::Completed,
                  Now);
      --Loads[Done.m_Target];
      OpenTries.pop_front();
    }
    for (int Count = Arrivals(Rng); Count > 0; --Count) {
      const std::size_t Entry = Rng() % EntryCount;
      const Choice Decision =
          valueOf(choose(Entries[Entry], makeRequest(), Now, Rng));
      recordStarted(Entries[Entry], Decision.m_Try, Now);
      const std::size_t TargetIndex =
          std::stoul(Decision.m_Run.m_Target.m_Value.substr(7));
      Peak = std::max(Peak, ++Loads[TargetIndex]);
      OpenTries.push_back({Now + RunTime, Entry, Decision.m_Try, TargetIndex});
    }
    LoadHistory.push_back(Loads);
    if (LoadHistory.size() <= static_cast<std::size_t>(ReportLag / Tick))
      continue;
    const bool IsReportDue = (Now - at(0s)) % Duration(1s) < Tick;
    for (int I = 0; IsReportDue && I < TargetCount; ++I) {
      LoadReport Report;
      Report.m_Running = static_cast<std::uint32_t>(
          LoadHistory.front()[static_cast<std::size_t>(I)]);
      for (State &Entry : Entries)
        applyLoad(Entry, {"engine-" + std::to_string(I)}, "first", Report, Now);
    }
    LoadHistory.pop_front();
  }
  return Peak;
}

} // namespace

SCENARIO("entries with lagging reports do not overload one target") {
  // Peak load of independent uniform choices: the tail of a Poisson
  // distribution over all targets and run times of the experiment.
  const double Samples =
      TargetCount * static_cast<double>(ExperimentTime / RunTime);
  const double Bound =
      MeanRunningPerTarget +
      std::sqrt(2.0 * MeanRunningPerTarget * std::log(Samples));
  for (std::size_t Entries : {3U, 7U, 12U}) {
    for (std::uint64_t Seed : {1U, 2U, 3U}) {
      const int AffinityPeak =
          peakRunning(Policy::AffinityAndWork, Entries, Seed);
      const int BaselinePeak =
          peakRunning(Policy::LeastReportedLoad, Entries, Seed);
      CAPTURE(Entries, Seed, AffinityPeak, BaselinePeak, Bound);
      CHECK(AffinityPeak <= Bound);
      CHECK(BaselinePeak > Bound);
    }
  }
}
