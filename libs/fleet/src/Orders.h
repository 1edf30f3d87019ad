/// \file
/// Life cycle of orders.

#ifndef WASABIVALE_FLEET_SRC_ORDERS_H
#define WASABIVALE_FLEET_SRC_ORDERS_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

/// Number of orders under way that load a model from the weight store.
std::size_t loadsUnderWay(const Orders &Orders);

/// Marks the order under way for a target as superseded, without changing the
/// target.
void supersedeUnderWay(State &Fleet, const TargetId &Name,
                       const std::string &Reason);
/// Marks the order under way for a target as failed, without changing the
/// target.
void failUnderWay(State &Fleet, const TargetId &Name,
                  const std::string &Reason);

Reply handleIssueOrder(State &Fleet, const wire::Command &Command);
Reply handleOrderProgress(State &Fleet, const wire::OrderProgress &Progress);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_ORDERS_H
