// Duties at the platform: what their holders have decided.

#ifndef WASABIVALE_FLEET_DUTIES_H
#define WASABIVALE_FLEET_DUTIES_H

#include "fleet/fleet.h"
#include "state.pb.h"

namespace wasabivale::fleet {

/// A window is closed once: later content is ignored.
Reply handleCloseUsage(State &Fleet, const wire::CloseUsage &Command);
Reply handleUsageReported(State &Fleet, const wire::UsageReported &Command);
Reply handleScaleTargets(State &Fleet, const wire::ScaleTargets &Command);

wire::DutiesState write(const Duties &Decided);
Duties read(const wire::DutiesState &Message);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_DUTIES_H
