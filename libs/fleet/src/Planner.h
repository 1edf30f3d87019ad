/// \file
/// Turns an intent into the steps of a plan.

#ifndef WASABIVALE_FLEET_SRC_PLANNER_H
#define WASABIVALE_FLEET_SRC_PLANNER_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

/// The steps that carry out \p Intent on the fleet as it is, with what remains
/// at each, or why it can't be done.
std::variant<std::vector<Step>, Reply> planSteps(const State &In,
                                                 const Json &Intent);

/// Whether two lists do the same; capacities and progress do not count.
bool sameSteps(const std::vector<Step> &A, const std::vector<Step> &B);

/// Digest of what an operator confirms.
std::string digestOf(const Plan &Of);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_PLANNER_H
