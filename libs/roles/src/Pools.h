/// \file
/// Groups engines into pools. Models that share engines belong to one pool and
/// are planned together.

#ifndef WASABIVALE_ROLES_POOLS_H
#define WASABIVALE_ROLES_POOLS_H

#include "roles/roles.h"

#include <map>
#include <string>
#include <vector>

namespace wasabivale::roles {

struct Pool {
  std::string m_Name; ///< Sorted model names, joined by `+`.
  std::vector<const Engine *> m_Engines;
  Demand m_Demand;
};

/// \returns the pools by name; they point into \p Input.
std::map<std::string, Pool> groupPools(const Observation &Input);

/// Converts the demand of one interval to rates per second.
WorkRate demandRates(const Demand &Counts, Duration Interval);

/// Rates of an engine in role mixed.
Capacity mixedRates(const Engine &Source);

/// Total rates, in their current roles, of the serving engines of \p EnginePool
/// except \p Excluded.
SplitCapacity capacityOf(const Pool &EnginePool, const Policy &Rules,
                         const Engine *Excluded = nullptr);

/// Adds to \p Split \p Sign times an engine in role \p NewRole whose rates in
/// role mixed are \p Mixed.
void addEngine(SplitCapacity &Split, Role NewRole, const Capacity &Mixed,
               const Policy &Rules, double Sign);

} // namespace wasabivale::roles

#endif // WASABIVALE_ROLES_POOLS_H
