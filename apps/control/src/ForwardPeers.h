/// \file
/// Leader side of forwards: names entries that take another one's requests.

#ifndef WASABIVALE_CONTROL_FORWARDPEERS_H
#define WASABIVALE_CONTROL_FORWARDPEERS_H

#include "fleet/fleet.h"

namespace wasabivale::control {

/// Fills in the entries that \p Entry may forward to, unless it knows them. A
/// new leader names none until it may know all entries; they keep what the
/// former one has told.
void fillForwardPeers(const fleet::ObservedState &Observed, const NodeId &Entry,
                      const wire::EntryReport &Report, TimePoint Now,
                      wire::ControlGrant &Grant);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_FORWARDPEERS_H
