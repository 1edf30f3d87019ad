/// \file
/// Turns an intent into the steps of a plan.

#ifndef WASABIVALE_FLEET_SRC_PLANNER_H
#define WASABIVALE_FLEET_SRC_PLANNER_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

/// Plans the steps that carry out \p Intent on the current fleet, with the
/// remaining capacity at each. \returns the steps or a refusal.
std::variant<std::vector<Step>, Reply> planSteps(const State &Fleet,
                                                 const Json &Intent);

/// Whether two lists have the same effect; capacities and progress are
/// ignored.
bool sameSteps(const std::vector<Step> &A, const std::vector<Step> &B);

/// Digest of the plan that an operator confirms.
std::string planDigest(const Plan &Plan);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_PLANNER_H
