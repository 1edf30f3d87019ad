/// \file
/// Commands about requests that crash targets, and their part of the snapshot.

#ifndef WASABIVALE_FLEET_SRC_SUSPICION_H
#define WASABIVALE_FLEET_SRC_SUSPICION_H

#include "fleet/fleet.h"
#include "state.pb.h"

namespace wasabivale::fleet {

Reply handleCrashReport(State &Fleet, const wire::CrashReport &Report);

/// Handles a request to run a suspect alone, or the end of such a run.
Reply handleRerunReport(State &Fleet, const wire::RerunReport &Report);

/// Handles crashes that requests with common traits may have caused, and
/// traits of requests that ran to their end.
Reply handleTraitReport(State &Fleet, const wire::TraitReport &Report);

void write(wire::TraitsState &Message, const retries::TraitTable &Traits);
void read(retries::TraitTable &Traits, const wire::TraitsState &Message);

void write(wire::SuspicionState &Message,
           const retries::SuspectTable &Suspicion);
void read(retries::SuspectTable &Suspicion,
          const wire::SuspicionState &Message);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_SUSPICION_H
