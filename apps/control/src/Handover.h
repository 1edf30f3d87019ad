/// \file
/// Decides when a stopping member may end.

#ifndef WASABIVALE_CONTROL_HANDOVER_H
#define WASABIVALE_CONTROL_HANDOVER_H

#include "base/base.h"

#include <algorithm>
#include <cstdint>

namespace wasabivale::control {

/// Longest time for another member to take over leadership.
inline constexpr std::chrono::milliseconds HandoverTimeout{2000};

/// Whether the member may end: it is not the leader, no other member could
/// lead, or the handover has not completed by \p Deadline.
inline bool mayEnd(bool IsLeader, std::size_t Members, TimePoint Now,
                   TimePoint Deadline) {
  return !IsLeader || Members < 2 || Now >= Deadline;
}

/// Longest time for calls of operators and targets to be answered after that.
/// A leave is answered within 800 ms.
inline constexpr std::chrono::milliseconds AnswerTimeout{900};
/// Longest time for their answers to be read, after the last of them.
inline constexpr std::chrono::milliseconds CloseTimeout{300};

struct CloseDeadlines {
  TimePoint m_RefuseBy;
  TimePoint m_EndBy; ///< While no call is open.
};

enum class CloseStep : std::uint8_t {
  Wait,
  Refuse, ///< All open calls, and look again.
  End,
};

/// The last decision of a stopping member: it does not end while a call that
/// it has taken has no answer.
inline CloseStep nextCloseStep(CloseDeadlines &By, std::size_t Exchanges,
                               std::size_t Connections, TimePoint Now) {
  if (Connections == 0)
    return CloseStep::End;
  if (Exchanges == 0)
    return Now >= By.m_EndBy ? CloseStep::End : CloseStep::Wait;
  By.m_EndBy =
      std::max(By.m_EndBy, std::min(Now, By.m_RefuseBy) + CloseTimeout);
  return Now >= By.m_RefuseBy ? CloseStep::Refuse : CloseStep::Wait;
}

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_HANDOVER_H
