// Control of a run: shares of limits, and role changes by the planner or by
// the plan of an informed run. A change drains its engine first.

#include "State.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::experiment {

namespace {

using namespace std::chrono_literals;

constexpr Duration ControlInterval = 1s;
constexpr Duration DemandLag = 1s;
constexpr Duration FleetNewsLag = 100ms;
constexpr Duration ShareLease = 4s;
/// How long a drain waits before it moves the streams that still run.
constexpr Duration DrainPatience = 5s;

double seconds(TimePoint At) {
  return std::chrono::duration<double>(At.time_since_epoch()).count();
}

roles::Role roleOf(const Target &Of) {
  return static_cast<roles::Role>(Of.m_Description.m_Role);
}

bool isEngine(const Target &Of) {
  return Of.m_Description.m_Kind == routing::Kind::Engine;
}

void announce(World &In, Target &Of) {
  ++Of.m_Description.m_Generation;
  In.m_FleetNews.push_back({In.m_Now + FleetNewsLag, Of.m_Description});
}

void beginChange(World &In, TargetIndex Index, roles::Role To,
                 const std::string &Why) {
  Target &Of = In.m_Targets[Index];
  WASABIVALE_INVARIANT(!Of.m_WantedRole && !Of.m_Changing);
  In.m_Result.m_Changes.push_back(
      fmt::format("{:.0f}s {} {}->{}{}{}", seconds(In.m_Now),
                  Of.m_Description.m_Id.m_Value, roles::roleName(roleOf(Of)),
                  roles::roleName(To), Why.empty() ? "" : ": ", Why));
  ++In.m_Result.m_RoleChanges;
  Of.m_WantedRole = To;
  Of.m_DrainingSince = In.m_Now;
  Of.m_Description.m_Serving = false;
  announce(In, Of);
}

// --- Shares ---------------------------------------------------------------

limits::Demand demandOf(const limits::Usage &Of) {
  return {static_cast<double>(Of.m_OfferedRequests),
          static_cast<double>(Of.m_OfferedPromptTokens),
          static_cast<double>(Of.m_OfferedOutputTokens),
          static_cast<double>(Of.m_PeakRunning)};
}

double weightOf(const World &In, std::size_t Caller) {
  const std::vector<double> &Weights = In.m_Setup.m_Weights;
  return Caller < Weights.size() ? Weights[Caller] : 1;
}

void grantShares(World &In) {
  const std::vector<CallerSpec> &Callers = In.m_Setup.m_Workload.m_Callers;
  for (std::size_t Number = 0; Number < In.m_Entries.size(); ++Number) {
    Entry &At = In.m_Entries[Number];
    std::map<CallerId, limits::Demand> Demands;
    for (const limits::Usage &Each : limits::takeUsage(At.m_Limits))
      Demands[Each.m_Caller] = demandOf(Each);
    NodeId Name{"entry-" + std::to_string(Number)};
    TimePoint Until = In.m_Now + ShareLease;
    for (std::size_t Caller = 0; Caller < Callers.size(); ++Caller) {
      const CallerId &Id = Callers[Caller].m_Id;
      limits::Limits Share =
          limits::renewShare(In.m_Control.m_Shares, Id, limits::Limits{}, Name,
                             Demands[Id], Until, In.m_Now);
      limits::setShare(At.m_Limits, Id, weightOf(In, Caller), Share, Until,
                       In.m_Now);
    }
  }
}

// --- Planner --------------------------------------------------------------

void collectDemand(World &In) {
  roles::Demand Sum;
  for (Entry &Each : In.m_Entries) {
    roles::Demand &Part = Each.m_Demand;
    Sum.m_Requests += Part.m_Requests;
    Sum.m_PromptTokens += Part.m_PromptTokens;
    Sum.m_CachedPromptTokens += Part.m_CachedPromptTokens;
    Sum.m_OutputTokens += Part.m_OutputTokens;
    Sum.m_CompletedInTime += Part.m_CompletedInTime;
    Sum.m_Refused += Part.m_Refused;
    Part = {};
  }
  In.m_Control.m_Demand.push_back({In.m_Now + DemandLag, Sum});
}

std::vector<roles::Engine> enginesOf(const World &In) {
  const enginemodel::Settings &Rates = In.m_Setup.m_Workload.m_Engine;
  std::vector<roles::Engine> Seen;
  for (const Target &Each : In.m_Targets) {
    if (!isEngine(Each))
      continue;
    roles::Engine Made;
    Made.m_Id = Each.m_Description.m_Id;
    Made.m_Models = Each.m_Description.m_Models;
    Made.m_Role = roleOf(Each);
    bool Away = Each.m_Changing || Each.m_WantedRole;
    Made.m_State =
        Away ? roles::EngineState::Changing : roles::EngineState::Serving;
    Made.m_PrefillTokensPerSecond = Rates.m_PrefillTokensPerSecond;
    Made.m_DecodeTokensPerSecond = fullBatchRate(Rates);
    Made.m_Running = static_cast<std::uint32_t>(Each.m_Engine.m_Runs.size());
    Seen.push_back(std::move(Made));
  }
  return Seen;
}

void planRoles(World &In) {
  Control &At = In.m_Control;
  if (At.m_Demand.empty() || At.m_Demand.front().m_Arrives > In.m_Now)
    return;
  roles::Observation Seen;
  Seen.m_Interval = ControlInterval;
  Seen.m_Demand[{"model"}] = At.m_Demand.front().m_Demand;
  Seen.m_Engines = enginesOf(In);
  At.m_Demand.pop_front();
  roles::Decision Made =
      roles::step(At.m_Planner, *In.m_Setup.m_Planner, Seen, In.m_Now);
  if (!Made.m_Change)
    return;
  beginChange(In, In.m_ByTarget.at(Made.m_Change->m_Engine),
              Made.m_Change->m_To, describe(Made.m_Explanations.front()));
}

// --- Informed run ---------------------------------------------------------

Split splitOf(const World &In) {
  Split Counts{};
  for (const Target &Each : In.m_Targets)
    if (isEngine(Each))
      ++Counts[static_cast<std::size_t>(
          Each.m_WantedRole.value_or(roleOf(Each)))];
  return Counts;
}

std::optional<roles::Role> missingRole(const Split &Have, const Split &Want) {
  for (std::size_t Index = 0; Index < roles::RoleCount; ++Index)
    if (Have[Index] < Want[Index])
      return static_cast<roles::Role>(Index);
  return std::nullopt;
}

/// The idlest engine of a role that has more than it should.
std::optional<TargetIndex> spareEngine(const World &In, const Split &Have,
                                       const Split &Want) {
  std::optional<TargetIndex> Best;
  for (TargetIndex Index = 0; Index < In.m_Targets.size(); ++Index) {
    const Target &Each = In.m_Targets[Index];
    if (!isEngine(Each) || Each.m_WantedRole || Each.m_Changing)
      continue;
    auto Role = static_cast<std::size_t>(roleOf(Each));
    if (Have[Role] <= Want[Role])
      continue;
    if (!Best || Each.m_Engine.m_Runs.size() <
                     In.m_Targets[*Best].m_Engine.m_Runs.size())
      Best = Index;
  }
  return Best;
}

void followPlan(World &In) {
  Control &At = In.m_Control;
  const std::vector<PlannedSplit> &Plan = In.m_Setup.m_Plan;
  while (At.m_NextPlan < Plan.size() && Plan[At.m_NextPlan].m_At <= In.m_Now)
    At.m_Wanted = Plan[At.m_NextPlan++].m_Split;
  if (!At.m_Wanted)
    return;
  while (true) {
    Split Have = splitOf(In);
    std::optional<roles::Role> Missing = missingRole(Have, *At.m_Wanted);
    std::optional<TargetIndex> Spare = spareEngine(In, Have, *At.m_Wanted);
    if (!Missing || !Spare)
      return;
    beginChange(In, *Spare, *Missing, "");
  }
}

void takeSample(World &In) {
  static_assert(ControlInterval == 1s);
  constexpr std::size_t SampleSeconds = 5;
  auto Second = static_cast<std::size_t>(seconds(In.m_Now));
  if (Second % SampleSeconds != 0)
    return;
  Sample Made;
  Made.m_Second = static_cast<double>(Second);
  Made.m_Split = splitOf(In);
  std::uint64_t Offered = In.m_Result.m_Offered - In.m_Control.m_OfferedBefore;
  std::uint64_t InTime = In.m_Result.m_InTime - In.m_Control.m_InTimeBefore;
  In.m_Control.m_OfferedBefore = In.m_Result.m_Offered;
  In.m_Control.m_InTimeBefore = In.m_Result.m_InTime;
  Made.m_OfferedPerSecond = static_cast<double>(Offered) / SampleSeconds;
  Made.m_InTimePerSecond = static_cast<double>(InTime) / SampleSeconds;
  In.m_Result.m_Samples.push_back(Made);
}

} // namespace

void controlTurn(World &In) {
  takeSample(In);
  grantShares(In);
  collectDemand(In);
  if (In.m_Setup.m_Planner)
    planRoles(In);
  followPlan(In);
}

void advanceChanges(World &In) {
  for (TargetIndex Index = 0; Index < In.m_Targets.size(); ++Index) {
    Target &Of = In.m_Targets[Index];
    if (!Of.m_WantedRole || Of.m_Changing)
      continue;
    bool Drained = Of.m_Engine.m_Runs.empty();
    for (const Entry &Each : In.m_Entries)
      Drained = Drained &&
                routing::inFlightBefore(Each.m_Routing, Of.m_Description.m_Id,
                                        Of.m_Description.m_Generation) == 0;
    if (!Drained) {
      if (In.m_Now - Of.m_DrainingSince >= DrainPatience)
        moveStreams(In, Index);
      continue;
    }
    enginemodel::setRole(Of.m_Engine,
                         static_cast<enginemodel::Role>(*Of.m_WantedRole),
                         In.m_Now);
    Of.m_Changing = true;
    touch(In, Index);
  }
}

void onRoleChanged(World &In, TargetIndex Index) {
  Target &Of = In.m_Targets[Index];
  Of.m_Description.m_Role = static_cast<routing::Role>(*Of.m_WantedRole);
  setRates(In.m_Setup.m_Workload, Of, *Of.m_WantedRole);
  Of.m_Description.m_Serving = true;
  Of.m_WantedRole.reset();
  Of.m_Changing = false;
  announce(In, Of);
}

} // namespace wasabivale::experiment
