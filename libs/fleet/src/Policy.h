/// \file
/// Accepts and enforces the role policy.

#ifndef WASABIVALE_FLEET_SRC_POLICY_H
#define WASABIVALE_FLEET_SRC_POLICY_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

/// Activates the policy of a plan that is being confirmed. \returns a refusal,
/// or nothing.
std::optional<Reply> acceptPolicy(State &Fleet, const Plan &Plan,
                                  const Json &Document);

/// Refuses an automatic change that the policy does not allow now.
std::optional<Reply> exceedsPolicy(State &Fleet);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_POLICY_H
