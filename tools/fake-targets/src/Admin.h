/// \file
/// Admin port of the fake targets: faults, states, health and metrics.

#ifndef WASABIVALE_FAKETARGETS_ADMIN_H
#define WASABIVALE_FAKETARGETS_ADMIN_H

#include "Target.h"

namespace wasabivale::faketargets {

using TargetList = std::vector<std::unique_ptr<Target>>;

/// Listens on the admin port. \returns null when the settings name none.
/// \p Targets must outlive the server.
Result<std::unique_ptr<http::Server>> listenForAdmin(Context &Shared,
                                                     TargetList &Targets);

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_ADMIN_H
