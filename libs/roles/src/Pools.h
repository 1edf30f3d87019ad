/// \file
/// Groups engines into pools: sets of models whose engines overlap and which
/// are therefore planned together.

#ifndef WASABIVALE_ROLES_POOLS_H
#define WASABIVALE_ROLES_POOLS_H

#include "roles/roles.h"

#include <map>
#include <string>
#include <vector>

namespace wasabivale::roles {

struct Pool {
  std::string m_Name; ///< Its models in order, joined by `+`.
  std::vector<const Engine *> m_Engines;
  Demand m_Demand;
};

/// \returns the pools by name; they point into \p Seen.
std::map<std::string, Pool> groupPools(const Observation &Seen);

/// Demand of one interval as rates.
WorkRate ratesOf(const Demand &Counted, Duration Interval);

/// Rates of an engine in role mixed.
Capacity mixedRates(const Engine &Of);

/// Summed rates, in their roles, of the engines of \p Of that serve, without
/// \p Without.
SplitCapacity capacityOf(const Pool &Of, const Policy &Rules,
                         const Engine *Without = nullptr);

/// Adds \p Sign times an engine of rates \p Mixed in role \p As.
void addEngine(SplitCapacity &Into, Role As, const Capacity &Mixed,
               const Policy &Rules, double Sign);

} // namespace wasabivale::roles

#endif // WASABIVALE_ROLES_POOLS_H
