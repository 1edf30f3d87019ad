/// \file
/// Commands on requests that crash targets, and their part of the snapshot.

#ifndef WASABIVALE_FLEET_SRC_SUSPICION_H
#define WASABIVALE_FLEET_SRC_SUSPICION_H

#include "fleet/fleet.h"
#include "state.pb.h"

namespace wasabivale::fleet {

Reply takeCrash(State &On, const wire::CrashReport &Seen);

/// A wish to run a suspect alone, or the end of such a run.
Reply takeRerun(State &On, const wire::RerunReport &Asked);

void write(wire::SuspicionState &To, const retries::SuspectTable &From);
void read(retries::SuspectTable &To, const wire::SuspicionState &From);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_SUSPICION_H
