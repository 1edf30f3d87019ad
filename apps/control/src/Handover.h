/// \file
/// Decides when a stopping member may end.

#ifndef WASABIVALE_CONTROL_HANDOVER_H
#define WASABIVALE_CONTROL_HANDOVER_H

#include "base/base.h"

namespace wasabivale::control {

/// Longest time for another member to take over leadership.
inline constexpr std::chrono::milliseconds HandoverTimeout{2000};

/// Whether the member may end: it is not the leader, no other member could
/// lead, or the handover has not completed by \p Deadline.
inline bool mayEnd(bool IsLeader, std::size_t Members, TimePoint Now,
                   TimePoint Deadline) {
  return !IsLeader || Members < 2 || Now >= Deadline;
}

/// Longest time for answers to operators and targets to be read after that.
inline constexpr std::chrono::milliseconds CloseTimeout{300};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_HANDOVER_H
