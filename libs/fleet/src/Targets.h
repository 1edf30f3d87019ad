/// \file
/// Life cycle of targets.

#ifndef WASABIVALE_FLEET_SRC_TARGETS_H
#define WASABIVALE_FLEET_SRC_TARGETS_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

Target *findTarget(Targets &Targets, const TargetId &Name);
const Target *findTarget(const Targets &Targets, const TargetId &Name);

/// Assigns a new fleet revision to a target, so that entries receive the
/// change.
void markChanged(Targets &Targets, Target &Target);

void setState(State &Fleet, Target &Target, TargetState Next);

/// Takes a target out of service. A new generation invalidates earlier
/// acknowledgements.
void startDrain(State &Fleet, Target &Target, TargetState Next);

/// The state of a target without an order or step: follows from its desired
/// state, a requested leave and a hold.
TargetState steadyState(const Target &Target);

/// The desired state of a target, or its actual state if it has none.
DesiredState desiredOrActualState(const Target &Target);

/// The state that \p Target announced.
DesiredState actualState(const Target &Target);

/// Whether bringing \p Target to \p Desired may interrupt running work.
/// Loading an additional model does not.
bool needsBarrier(const Target &Target, const DesiredState &Desired);

/// Whether bringing \p Target to \p Desired loads a model from the weight
/// store.
bool readsWeightStore(const Target &Target, const DesiredState &Desired);

/// The state to restore by an order outside any plan, if any: \p Target
/// returned in another state than the desired one, or asked to leave.
std::optional<DesiredState> restoration(const Target &Target);

Reply handleAnnounce(State &Fleet, const wire::Target &Announcement);
Reply handleLeave(State &Fleet, const wire::LeaveTarget &Request);
Reply handleHold(State &Fleet, const wire::HoldTarget &Request);
Reply handleLose(State &Fleet, const wire::LoseTarget &Request);
Reply handleBarrierReached(State &Fleet, const wire::BarrierReached &Report);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_TARGETS_H
