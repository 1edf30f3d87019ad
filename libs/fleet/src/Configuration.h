/// \file
/// Accepts configuration documents.

#ifndef WASABIVALE_FLEET_SRC_CONFIGURATION_H
#define WASABIVALE_FLEET_SRC_CONFIGURATION_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

/// Accepts a document that replaces \p ExpectedRevision, which must be the
/// newest revision.
Reply acceptConfiguration(State &Fleet, std::uint64_t ExpectedRevision,
                          const std::string &Document,
                          const std::string &Actor);

/// Updates the fields of the state that are taken from the newest document.
void updateDerivedSettings(Configuration &Configuration);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_CONFIGURATION_H
