/// \file
/// Rules of the target aggregate.

#ifndef WASABIVALE_FLEET_SRC_TARGETS_H
#define WASABIVALE_FLEET_SRC_TARGETS_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

Target *findTarget(Targets &In, const TargetId &Name);
const Target *findTarget(const Targets &In, const TargetId &Name);

/// Counts a change that entries must see.
void touch(Targets &In, Target &Changed);

void enter(State &On, Target &Which, TargetState Next);

/// Takes a target out of service for a drain: new generation, so that earlier
/// acknowledgements do not count.
void startDrain(State &On, Target &Which, TargetState Next);

/// The state that a target has when nothing is done to it: by what is wanted
/// of it and whether it wants to leave.
TargetState restingState(const Target &Of);

/// What is wanted of a target, or what it is when nothing is.
Wanted wantedOrActual(const Target &Of);

/// What \p Of announced itself as.
Wanted actual(const Target &Of);

/// Whether bringing \p Of to \p Want may cut short what runs there. Loading
/// something beside what is there does not.
bool needsBarrier(const Target &Of, const Wanted &Want);

/// Whether bringing \p Of to \p Want reads from the weight store.
bool loads(const Target &Of, const Wanted &Want);

/// The order that \p Of needs outside any plan, if any: it came back in another
/// state than is wanted, or it wants to leave.
std::optional<Wanted> restoration(const Target &Of);

Reply announce(State &On, const wire::Target &Said);
Reply leave(State &On, const wire::LeaveTarget &Said);
Reply hold(State &On, const wire::HoldTarget &Said);
Reply lose(State &On, const wire::LoseTarget &Said);
Reply reachBarrier(State &On, const wire::BarrierReached &Said);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_TARGETS_H
