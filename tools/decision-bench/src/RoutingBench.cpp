#include "Benches.h"
#include "routing/routing.h"

#include <deque>

namespace wasabivale::decisionbench {

namespace {

using namespace std::chrono_literals;
using namespace routing;

constexpr std::uint32_t ModelCount = 4;
constexpr std::uint32_t ZoneCount = 7;
constexpr std::uint32_t RegionCount = 3;
constexpr std::uint32_t KvBlocks = 2048;
/// Own tries in flight at each target while choices are measured.
constexpr std::size_t InFlightEach = 4;
constexpr std::uint64_t PrefixCount = 500;
constexpr std::uint64_t ChoiceCalls = 20000;
constexpr std::uint64_t ChangeCalls = 200;

Target describe(std::uint32_t Number) {
  Target Made;
  Made.m_Id = {"engine-" + std::to_string(Number)};
  Made.m_Incarnation = "0123456789abcdef0123456789abcdef";
  Made.m_Zone = {"zone-" + std::to_string(Number % ZoneCount)};
  Made.m_Region = {"region-" +
                   std::to_string(Number % ZoneCount % RegionCount)};
  Made.m_Models = {{"model-" + std::to_string(Number % ModelCount)}};
  Made.m_KvBlocks = KvBlocks;
  Made.m_MaxRunning = 32;
  Made.m_Serving = true;
  return Made;
}

State fleetOf(std::uint32_t Targets, Policy How, TimePoint Now) {
  State Fleet;
  Fleet.m_Settings.m_Policy = How;
  Fleet.m_Settings.m_Zone = {"zone-0"};
  Fleet.m_Settings.m_Region = {"region-0"};
  for (std::uint32_t I = 0; I < Targets; ++I)
    updateTarget(Fleet, describe(I), Now - 60s);
  return Fleet;
}

/// One of \p PrefixCount shared prefixes with an own question after it.
Request draw(Random &Rng) {
  Request Wanted;
  Wanted.m_Model = {"model-" + std::to_string(Rng() % ModelCount)};
  Wanted.m_PromptTokens = 4500;
  Wanted.m_ExpectedOutputTokens = 200;
  const std::uint64_t Prefix = Rng() % PrefixCount;
  for (std::uint64_t I = 0; I < 4; ++I)
    Wanted.m_Blocks.push_back((Prefix * 4 + I) * 0x9e3779b97f4a7c15U);
  return Wanted;
}

/// A fleet in use: each step ends the oldest try and chooses the next.
class Traffic {
public:
  Traffic(std::uint32_t Targets, Policy How)
      : m_Fleet(fleetOf(Targets, How, m_Now)) {
    while (m_Open.size() < Targets * InFlightEach)
      start();
  }

  void step() {
    recordEnded(m_Fleet, m_Open.front(), TryOutcome::Completed, m_Now);
    m_Open.pop_front();
    start();
  }

  State &fleet() { return m_Fleet; }

private:
  void start() {
    m_Now += 1ms;
    Result<Choice> Made = choose(m_Fleet, draw(m_Rng), m_Now, m_Rng);
    WASABIVALE_INVARIANT(!failed(Made));
    const TryId Id = valueOf(Made).m_Try;
    recordStarted(m_Fleet, Id, m_Now);
    recordFirstToken(m_Fleet, Id, m_Now + 1ms);
    m_Open.push_back(Id);
  }

  TimePoint m_Now{1000s};
  State m_Fleet;
  Random m_Rng{1};
  std::deque<TryId> m_Open;
};

void benchChoose(std::vector<Row> &Rows, Policy How) {
  const std::string Name = "choose_" + std::string(policyName(How)) + "_";
  std::vector<std::pair<double, double>> Times;
  for (std::uint32_t Targets : {20U, 134U, 940U}) {
    Traffic Run(Targets, How);
    const Cost Each = measure(ChoiceCalls, [&] { Run.step(); });
    addCost(Rows, Name + std::to_string(Targets) + "_targets", Each);
    Times.emplace_back(Targets, Each.m_Nanoseconds);
  }
  Rows.push_back({Name + "slope", slope(Times), "ns/target"});
}

void benchChange(std::vector<Row> &Rows) {
  const TimePoint Now{1000s};
  State Fleet = fleetOf(940, Policy::AffinityAndWork, Now);
  std::uint64_t Generation = 0;
  const Cost Each = measure(ChangeCalls, [&] {
    Target Next = describe(static_cast<std::uint32_t>(Generation % 940));
    Next.m_Generation = ++Generation;
    updateTarget(Fleet, Next, Now);
  });
  addCost(Rows, "update_target_940_targets", Each);
}

void benchReports(std::vector<Row> &Rows) {
  Traffic Run(940, Policy::AffinityAndWork);
  TimePoint Now{2000s};
  std::uint32_t Next = 0;
  const Target Known = describe(0);
  const Cost Each = measure(ChoiceCalls, [&] {
    LoadReport Seen;
    Seen.m_Running = 8 + Next % 8;
    Seen.m_KvBlocksFree = KvBlocks / 2;
    Now += 1ms;
    applyLoad(Run.fleet(), {"engine-" + std::to_string(Next++ % 940)},
              Known.m_Incarnation, Seen, Now);
  });
  addCost(Rows, "load_report_940_targets", Each);
}

void benchMemory(std::vector<Row> &Rows) {
  const TimePoint Now{1000s};
  const std::int64_t Before = heldBytes();
  State Fleet = fleetOf(940, Policy::AffinityAndWork, Now);
  const std::int64_t Idle = heldBytes();
  Rows.push_back({"memory_target_without_hints",
                  static_cast<double>(Idle - Before) / 940, "bytes"});
  for (std::uint32_t I = 0; I < 940; ++I) {
    const Target Known = describe(I);
    std::vector<CacheEvent> Events;
    for (std::uint64_t Block = 0; Block < KvBlocks; ++Block)
      Events.push_back({Block + 1, Block * 0x9e3779b97f4a7c15U, true});
    applyCacheEvents(Fleet, Known.m_Id, Known.m_Incarnation, Events);
  }
  Rows.push_back({"memory_target_with_full_cache",
                  static_cast<double>(heldBytes() - Before) / 940, "bytes"});
  Random Rng(1);
  constexpr int Tries = 20000;
  const std::int64_t Full = heldBytes();
  for (int I = 0; I < Tries; ++I)
    choose(Fleet, draw(Rng), Now, Rng);
  Rows.push_back(
      {"memory_try", static_cast<double>(heldBytes() - Full) / Tries, "bytes"});
}

} // namespace

std::vector<Row> benchRouting() {
  std::vector<Row> Rows;
  for (Policy How :
       {Policy::AffinityAndWork, Policy::LeastReportedLoad, Policy::RoundRobin})
    benchChoose(Rows, How);
  benchChange(Rows);
  benchReports(Rows);
  benchMemory(Rows);
  return Rows;
}

} // namespace wasabivale::decisionbench
