/// \file
/// Rules of the standing role policy.

#ifndef WASABIVALE_FLEET_SRC_POLICY_H
#define WASABIVALE_FLEET_SRC_POLICY_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

/// Puts the policy of a plan that is being confirmed in force. \returns why
/// not, or nothing.
std::optional<Reply> acceptPolicy(State &On, const Plan &By,
                                  const Json &Document);

/// Why no automatic change may start now, or nothing.
std::optional<Reply> exceedsPolicy(State &On);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_POLICY_H
