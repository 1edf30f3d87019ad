/// \file
/// Rules of the configuration aggregate.

#ifndef WASABIVALE_FLEET_SRC_CONFIGURATION_H
#define WASABIVALE_FLEET_SRC_CONFIGURATION_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

/// Accepts a document that replaces revision \p Replaces, which must be the
/// newest.
Reply acceptConfiguration(State &On, std::uint64_t Replaces,
                          const std::string &Document,
                          const std::string &Actor);

/// Reads from the newest document what the state itself goes by.
void adopt(Configuration &In);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_CONFIGURATION_H
