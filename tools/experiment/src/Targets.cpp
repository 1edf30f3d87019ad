// Targets of a run: models of engines, and services as engines whose tokens
// are milliseconds.

#include "State.h"

#include <algorithm>

namespace wasabivale::experiment {

namespace {

using namespace std::chrono_literals;

constexpr Duration HeartbeatLag = 1s;
/// Share of heartbeats whose cache events are lost.
constexpr double LostCacheShare = 0.02;
constexpr double ServiceTokensPerSecond = 1'000;
constexpr std::uint32_t ServiceSlots = 16;
constexpr std::uint32_t Zones = 3;

enginemodel::Settings serviceSettings() {
  enginemodel::Settings Made;
  Made.m_PrefillTokensPerSecond = 1e6;
  Made.m_DecodeTokensPerSecond = ServiceTokensPerSecond;
  Made.m_BatchSlowdown = 0;
  Made.m_MaxRunning = ServiceSlots;
  return Made;
}

Target makeTarget(const enginemodel::Settings &With, roles::Role As,
                  const std::string &Name, std::uint32_t Number,
                  routing::Kind Kind) {
  Target Made;
  Made.m_Engine = enginemodel::makeEngine(
      With, static_cast<enginemodel::Role>(As), TimePoint{});
  routing::Target &Described = Made.m_Description;
  Described.m_Id = {Name + "-" + std::to_string(Number)};
  Described.m_Incarnation = "1";
  Described.m_Generation = 1;
  Described.m_Kind = Kind;
  Described.m_Zone = {"zone-" + std::to_string(Number % Zones)};
  Described.m_Region = {"region"};
  Described.m_Models = {{Kind == routing::Kind::Engine ? "model" : "orders"}};
  Described.m_Role = static_cast<routing::Role>(As);
  Described.m_PrefillTokensPerSecond = With.m_PrefillTokensPerSecond;
  Described.m_DecodeTokensPerSecond = With.m_DecodeTokensPerSecond;
  Described.m_KvBlocks = static_cast<std::uint32_t>(With.m_KvBlocks);
  Described.m_MaxRunning = static_cast<std::uint32_t>(With.m_MaxRunning);
  Described.m_Serving = true;
  return Made;
}

Target makeEngineTarget(const WorkloadSpec &Spec, roles::Role As,
                        std::uint32_t Number) {
  Target Made =
      makeTarget(Spec.m_Engine, As, "engine", Number, routing::Kind::Engine);
  setRates(Spec, Made, As);
  return Made;
}

void addTarget(World &In, Target Made) {
  In.m_ByTarget[Made.m_Description.m_Id] =
      static_cast<TargetIndex>(In.m_Targets.size());
  In.m_Targets.push_back(std::move(Made));
}

void noteBusy(World &In, Target &Of) {
  bool Busy = !Of.m_Engine.m_Runs.empty();
  if (Of.m_WasBusy)
    Of.m_Busy += In.m_Now - Of.m_BusySince;
  Of.m_BusySince = In.m_Now;
  Of.m_WasBusy = Busy;
}

void passOn(World &In, TargetIndex Index, const enginemodel::Event &What) {
  Target &Of = In.m_Targets[Index];
  switch (What.m_Kind) {
  case enginemodel::EventKind::CacheAdded:
  case enginemodel::EventKind::CacheRemoved:
    Of.m_CacheEvents.push_back(
        {Of.m_CacheSequence++, What.m_Value,
         What.m_Kind == enginemodel::EventKind::CacheAdded});
    return;
  case enginemodel::EventKind::RoleChanged:
    onRoleChanged(In, Index);
    return;
  case enginemodel::EventKind::Tokens:
    return;
  case enginemodel::EventKind::FirstToken:
  case enginemodel::EventKind::Finished:
    break;
  }
  auto Found = In.m_Runs.find(What.m_Run);
  if (Found == In.m_Runs.end())
    return;
  JobIndex Job = Found->second;
  if (What.m_Kind == enginemodel::EventKind::FirstToken) {
    onFirstToken(In, Job);
    return;
  }
  In.m_Runs.erase(Found);
  onRunFinished(In, Job);
}

} // namespace

void setRates(const WorkloadSpec &Spec, Target &Of, roles::Role As) {
  const roles::RoleRates &Rates =
      Spec.m_RoleRates[static_cast<std::size_t>(As)];
  enginemodel::Settings &Settings = Of.m_Engine.m_Settings;
  Settings.m_PrefillTokensPerSecond =
      Rates.m_Prefill * Spec.m_Engine.m_PrefillTokensPerSecond;
  Settings.m_DecodeTokensPerSecond =
      Rates.m_Decode * Spec.m_Engine.m_DecodeTokensPerSecond;
  Of.m_Description.m_PrefillTokensPerSecond = Settings.m_PrefillTokensPerSecond;
  Of.m_Description.m_DecodeTokensPerSecond = Settings.m_DecodeTokensPerSecond;
}

void makeTargets(World &In) {
  const WorkloadSpec &Spec = In.m_Setup.m_Workload;
  std::uint32_t Number = 0;
  for (std::size_t Index = 0; Index < roles::RoleCount; ++Index)
    for (std::uint32_t Count = 0; Count < In.m_Setup.m_Split[Index]; ++Count)
      addTarget(In, makeEngineTarget(Spec, static_cast<roles::Role>(Index),
                                     Number++));
  for (std::uint32_t Count = 0; Count < Spec.m_Services; ++Count)
    addTarget(In, makeTarget(serviceSettings(), roles::Role::Mixed, "service",
                             Count, routing::Kind::Service));
}

void touch(World &In, TargetIndex Index) {
  if (In.m_Targets[Index].m_Queued)
    return;
  In.m_Targets[Index].m_Queued = true;
  In.m_Dirty.push_back(Index);
}

void settleTargets(World &In) {
  while (!In.m_Dirty.empty()) {
    TargetIndex Index = In.m_Dirty.front();
    In.m_Dirty.pop_front();
    In.m_Targets[Index].m_Queued = false;
    std::vector<enginemodel::Event> Events =
        enginemodel::advance(In.m_Targets[Index].m_Engine, In.m_Now);
    for (const enginemodel::Event &Each : Events)
      passOn(In, Index, Each);
    Target &Of = In.m_Targets[Index];
    noteBusy(In, Of);
    Of.m_NextEvent = enginemodel::nextEvent(Of.m_Engine);
  }
}

void sendHeartbeats(World &In, TargetIndex From) {
  Target &Of = In.m_Targets[From];
  enginemodel::Load Now = enginemodel::load(Of.m_Engine);
  Heartbeat Sent;
  Sent.m_Arrives = In.m_Now + HeartbeatLag;
  Sent.m_From = From;
  Sent.m_Load = {static_cast<std::uint32_t>(Now.m_Running),
                 static_cast<std::uint32_t>(Now.m_Waiting),
                 Now.m_PrefillTokensWaiting, Now.m_KvBlocksFree};
  Sent.m_Cache = std::move(Of.m_CacheEvents);
  Of.m_CacheEvents.clear();
  Sent.m_CacheLost = std::bernoulli_distribution(LostCacheShare)(In.m_Random);
  In.m_Heartbeats.push_back(std::move(Sent));
}

} // namespace wasabivale::experiment
