#include "Fixture.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

constexpr int TargetCount = 20;
constexpr int MeanRunning = 16; ///< At each target.
constexpr Duration RunTime = 1s;
constexpr Duration Lag = 2s;
constexpr Duration Length = 30s;
constexpr Duration Tick = 10ms;

struct Running {
  TimePoint m_End;
  std::size_t m_Entry;
  TryId m_Try;
  std::size_t m_Target;
};

/// Several entries before the same targets, with reports that lag. \returns
/// the most that ever ran at one target.
int peakRunning(Policy How, std::size_t EntryCount, std::uint64_t Seed) {
  Random Rng(Seed);
  std::vector<State> Entries;
  for (std::size_t I = 0; I < EntryCount; ++I) {
    Entries.push_back(fleetOf(TargetCount, How));
    Entries.back().m_Settings.m_Entries =
        static_cast<std::uint32_t>(EntryCount);
    Entries.back().m_Settings.m_ReportLag = Lag;
    Entries.back().m_Settings.m_Zone = {"attiki-" + std::to_string(I % 3 + 1)};
  }
  const double PerTick = static_cast<double>(TargetCount) * MeanRunning *
                         std::chrono::duration<double>(Tick).count() /
                         std::chrono::duration<double>(RunTime).count();
  std::poisson_distribution<int> Arrivals(PerTick);
  std::vector<int> Loads(TargetCount);
  std::deque<std::vector<int>> Past; // One element for each tick of the lag.
  std::deque<Running> Open;
  int Peak = 0;
  for (TimePoint Now = at(0s); Now < at(Length); Now += Tick) {
    while (!Open.empty() && Open.front().m_End <= Now) {
      const Running &Done = Open.front();
      recordEnded(Entries[Done.m_Entry], Done.m_Try, TryOutcome::Completed,
                  Now);
      --Loads[Done.m_Target];
      Open.pop_front();
    }
    for (int Count = Arrivals(Rng); Count > 0; --Count) {
      const std::size_t Entry = Rng() % EntryCount;
      const Choice Made = valueOf(choose(Entries[Entry], question(), Now, Rng));
      recordStarted(Entries[Entry], Made.m_Try, Now);
      const std::size_t Where =
          std::stoul(Made.m_Run.m_Target.m_Value.substr(7));
      Peak = std::max(Peak, ++Loads[Where]);
      Open.push_back({Now + RunTime, Entry, Made.m_Try, Where});
    }
    Past.push_back(Loads);
    if (Past.size() <= static_cast<std::size_t>(Lag / Tick))
      continue;
    const bool Reports = (Now - at(0s)) % Duration(1s) < Tick;
    for (int I = 0; Reports && I < TargetCount; ++I) {
      LoadReport Old;
      Old.m_Running =
          static_cast<std::uint32_t>(Past.front()[static_cast<std::size_t>(I)]);
      for (State &Entry : Entries)
        applyLoad(Entry, {"engine-" + std::to_string(I)}, "first", Old, Now);
    }
    Past.pop_front();
  }
  return Peak;
}

} // namespace

SCENARIO("entries with lagging reports do not pile on one target") {
  // What independent uniform choices would reach: the tail of a Poisson
  // distribution over every target and every run time of the experiment.
  const double Samples = TargetCount * static_cast<double>(Length / RunTime);
  const double Bound =
      MeanRunning + std::sqrt(2.0 * MeanRunning * std::log(Samples));
  for (std::size_t Entries : {3U, 7U, 12U}) {
    for (std::uint64_t Seed : {1U, 2U, 3U}) {
      const int Ours = peakRunning(Policy::AffinityAndWork, Entries, Seed);
      const int Baseline =
          peakRunning(Policy::LeastReportedLoad, Entries, Seed);
      CAPTURE(Entries, Seed, Ours, Baseline, Bound);
      CHECK(Ours <= Bound);
      CHECK(Baseline > Bound);
    }
  }
}
