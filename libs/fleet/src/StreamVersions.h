/// \file
/// Software versions of services and of begun streams.

#ifndef WASABIVALE_FLEET_STREAMVERSIONS_H
#define WASABIVALE_FLEET_STREAMVERSIONS_H

#include "fleet/fleet.h"

#include "state.pb.h"

namespace wasabivale::fleet {

/// Records the versions of all targets that are registered now.
void recordServedVersions(State &Fleet);
/// Forgets versions and streams whose time is over.
void expireStreamVersions(State &Fleet);
Reply handleStreamVersions(State &Fleet, const wire::StreamVersions &Report);
/// Adds all versions to an update for an entry.
void fillServedVersions(const State &Fleet, wire::FleetUpdate &Update);

void write(wire::StreamVersionsState &Message, const StreamVersions &Versions);
StreamVersions read(const wire::StreamVersionsState &Message);
/// Derives the served versions from the targets, for a snapshot of a version
/// that did not keep them.
void deriveServedVersions(State &Fleet);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_STREAMVERSIONS_H
