/// \file
/// When a member that was asked to stop may end.

#ifndef WASABIVALE_CONTROL_HANDOVER_H
#define WASABIVALE_CONTROL_HANDOVER_H

#include "base/base.h"

namespace wasabivale::control {

/// Longest time for another member to take over leadership.
inline constexpr std::chrono::milliseconds LongestHandover{2000};

/// Whether the member may end: it leads no longer, nobody else could lead, or
/// the handover has not come about by \p Until.
inline bool mayEnd(bool IsLeader, std::size_t Members, TimePoint Now,
                   TimePoint Until) {
  return !IsLeader || Members < 2 || Now >= Until;
}

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_HANDOVER_H
