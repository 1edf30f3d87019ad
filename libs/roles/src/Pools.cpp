#include "Pools.h"

#include <algorithm>
#include <set>

namespace wasabivale::roles {

namespace {

using ModelSet = std::set<ModelId>;

bool overlap(const ModelSet &Group, const std::vector<ModelId> &Models) {
  return std::any_of(
      Models.begin(), Models.end(),
      [&Group](const ModelId &Model) { return Group.contains(Model); });
}

/// Partitions the models into sets that share no engine with each other.
std::vector<ModelSet> connectedModels(const std::vector<Engine> &Engines) {
  std::vector<ModelSet> Groups;
  for (const Engine &Server : Engines) {
    ModelSet Merged(Server.m_Models.begin(), Server.m_Models.end());
    std::vector<ModelSet> Disjoint;
    for (ModelSet &Group : Groups) {
      if (overlap(Group, Server.m_Models))
        Merged.merge(Group);
      else
        Disjoint.push_back(std::move(Group));
    }
    if (!Merged.empty())
      Disjoint.push_back(std::move(Merged));
    Groups = std::move(Disjoint);
  }
  return Groups;
}

std::string poolName(const ModelSet &Group) {
  std::string Name;
  for (const ModelId &Model : Group)
    Name += (Name.empty() ? "" : "+") + Model.m_Value;
  return Name;
}

void addDemand(Demand &Total, const Demand &Added) {
  Total.m_Requests += Added.m_Requests;
  Total.m_PromptTokens += Added.m_PromptTokens;
  Total.m_CachedPromptTokens += Added.m_CachedPromptTokens;
  Total.m_OutputTokens += Added.m_OutputTokens;
  Total.m_CompletedInTime += Added.m_CompletedInTime;
  Total.m_Refused += Added.m_Refused;
}

Pool makePool(const ModelSet &Group, const Observation &Input) {
  Pool NewPool;
  NewPool.m_Name = poolName(Group);
  for (const Engine &Server : Input.m_Engines)
    if (overlap(Group, Server.m_Models))
      NewPool.m_Engines.push_back(&Server);
  for (const auto &[Model, Counts] : Input.m_Demand)
    if (Group.contains(Model))
      addDemand(NewPool.m_Demand, Counts);
  return NewPool;
}

} // namespace

std::map<std::string, Pool> groupPools(const Observation &Input) {
  std::map<std::string, Pool> Pools;
  for (const ModelSet &Group : connectedModels(Input.m_Engines)) {
    Pool NewPool = makePool(Group, Input);
    std::string Name = NewPool.m_Name;
    Pools.emplace(std::move(Name), std::move(NewPool));
  }
  return Pools;
}

WorkRate demandRates(const Demand &Counts, Duration Interval) {
  double Seconds = std::chrono::duration<double>(Interval).count();
  std::uint64_t Cached =
      std::min(Counts.m_CachedPromptTokens, Counts.m_PromptTokens);
  WorkRate Rates;
  Rates.m_Requests = static_cast<double>(Counts.m_Requests) / Seconds;
  Rates.m_PrefillTokens =
      static_cast<double>(Counts.m_PromptTokens - Cached) / Seconds;
  Rates.m_DecodeTokens = static_cast<double>(Counts.m_OutputTokens) / Seconds;
  return Rates;
}

Capacity mixedRates(const Engine &Source) {
  return {Source.m_PrefillTokensPerSecond, Source.m_DecodeTokensPerSecond};
}

void addEngine(SplitCapacity &Split, Role NewRole, const Capacity &Mixed,
               const Policy &Rules, double Sign) {
  auto Index = static_cast<std::size_t>(NewRole);
  const RoleRates &Rates = Rules.m_RoleRates[Index];
  Split[Index].m_PrefillTokens +=
      Sign * Rates.m_Prefill * Mixed.m_PrefillTokens;
  Split[Index].m_DecodeTokens += Sign * Rates.m_Decode * Mixed.m_DecodeTokens;
}

SplitCapacity capacityOf(const Pool &EnginePool, const Policy &Rules,
                         const Engine *Excluded) {
  SplitCapacity Total{};
  for (const Engine *Server : EnginePool.m_Engines)
    if (Server->m_State == EngineState::Serving && Server != Excluded)
      addEngine(Total, Server->m_Role, mixedRates(*Server), Rules, 1);
  return Total;
}

} // namespace wasabivale::roles
