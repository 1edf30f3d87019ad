#include "Pools.h"

#include <algorithm>
#include <set>

namespace wasabivale::roles {

namespace {

using ModelSet = std::set<ModelId>;

bool overlap(const ModelSet &Group, const std::vector<ModelId> &Models) {
  return std::any_of(
      Models.begin(), Models.end(),
      [&Group](const ModelId &One) { return Group.contains(One); });
}

/// Sets of models, none of which shares an engine with another.
std::vector<ModelSet> connectedModels(const std::vector<Engine> &Engines) {
  std::vector<ModelSet> Groups;
  for (const Engine &Each : Engines) {
    ModelSet Joined(Each.m_Models.begin(), Each.m_Models.end());
    std::vector<ModelSet> Apart;
    for (ModelSet &Group : Groups) {
      if (overlap(Group, Each.m_Models))
        Joined.merge(Group);
      else
        Apart.push_back(std::move(Group));
    }
    if (!Joined.empty())
      Apart.push_back(std::move(Joined));
    Groups = std::move(Apart);
  }
  return Groups;
}

std::string nameOf(const ModelSet &Group) {
  std::string Name;
  for (const ModelId &Each : Group)
    Name += (Name.empty() ? "" : "+") + Each.m_Value;
  return Name;
}

void add(Demand &Sum, const Demand &More) {
  Sum.m_Requests += More.m_Requests;
  Sum.m_PromptTokens += More.m_PromptTokens;
  Sum.m_CachedPromptTokens += More.m_CachedPromptTokens;
  Sum.m_OutputTokens += More.m_OutputTokens;
  Sum.m_CompletedInTime += More.m_CompletedInTime;
  Sum.m_Refused += More.m_Refused;
}

Pool makePool(const ModelSet &Group, const Observation &Seen) {
  Pool Made;
  Made.m_Name = nameOf(Group);
  for (const Engine &Each : Seen.m_Engines)
    if (overlap(Group, Each.m_Models))
      Made.m_Engines.push_back(&Each);
  for (const auto &[Model, Counted] : Seen.m_Demand)
    if (Group.contains(Model))
      add(Made.m_Demand, Counted);
  return Made;
}

} // namespace

std::map<std::string, Pool> groupPools(const Observation &Seen) {
  std::map<std::string, Pool> Pools;
  for (const ModelSet &Group : connectedModels(Seen.m_Engines)) {
    Pool Made = makePool(Group, Seen);
    std::string Name = Made.m_Name;
    Pools.emplace(std::move(Name), std::move(Made));
  }
  return Pools;
}

WorkRate ratesOf(const Demand &Counted, Duration Interval) {
  double Seconds = std::chrono::duration<double>(Interval).count();
  std::uint64_t Cached =
      std::min(Counted.m_CachedPromptTokens, Counted.m_PromptTokens);
  WorkRate Rates;
  Rates.m_Requests = static_cast<double>(Counted.m_Requests) / Seconds;
  Rates.m_PrefillTokens =
      static_cast<double>(Counted.m_PromptTokens - Cached) / Seconds;
  Rates.m_DecodeTokens = static_cast<double>(Counted.m_OutputTokens) / Seconds;
  return Rates;
}

Capacity mixedRates(const Engine &Of) {
  return {Of.m_PrefillTokensPerSecond, Of.m_DecodeTokensPerSecond};
}

void addEngine(SplitCapacity &Into, Role As, const Capacity &Mixed,
               const Policy &Rules, double Sign) {
  auto Index = static_cast<std::size_t>(As);
  const RoleRates &Rates = Rules.m_RoleRates[Index];
  Into[Index].m_PrefillTokens += Sign * Rates.m_Prefill * Mixed.m_PrefillTokens;
  Into[Index].m_DecodeTokens += Sign * Rates.m_Decode * Mixed.m_DecodeTokens;
}

SplitCapacity capacityOf(const Pool &Of, const Policy &Rules,
                         const Engine *Without) {
  SplitCapacity Sum{};
  for (const Engine *Each : Of.m_Engines)
    if (Each->m_State == EngineState::Serving && Each != Without)
      addEngine(Sum, Each->m_Role, mixedRates(*Each), Rules, 1);
  return Sum;
}

} // namespace wasabivale::roles
