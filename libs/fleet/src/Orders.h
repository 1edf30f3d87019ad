/// \file
/// Rules of the order aggregate.

#ifndef WASABIVALE_FLEET_SRC_ORDERS_H
#define WASABIVALE_FLEET_SRC_ORDERS_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

/// Number of orders under way that read from the weight store.
std::size_t loadsUnderWay(const Orders &In);

/// Ends the order under way for a target because another takes its place.
void supersedeUnderWay(State &On, const TargetId &Name, const std::string &Why);
/// Ends the order under way for a target without touching the target.
void failUnderWay(State &On, const TargetId &Name, const std::string &Why);

Reply issue(State &On, const wire::Command &Command);
Reply progress(State &On, const wire::OrderProgress &Said);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_ORDERS_H
