#include "duties/duties.h"

namespace wasabivale::duties {

namespace {

bool isCorrection(Duration Left, Duration Right) {
  return std::chrono::abs(Left - Right) <= MaxClockCorrection;
}

} // namespace

void addSample(WallClock &Clock, Duration TimeOfDay, TimePoint Now) {
  const Duration Offset = TimeOfDay - Now.time_since_epoch();
  if (!Clock.m_Offset || isCorrection(Offset, *Clock.m_Offset)) {
    Clock.m_Offset = Offset;
    Clock.m_NewOffset.reset();
    return;
  }
  if (!Clock.m_NewOffset || !isCorrection(Offset, *Clock.m_NewOffset)) {
    Clock.m_NewOffset = Offset;
    Clock.m_NewSince = Now;
    return;
  }
  if (Now - Clock.m_NewSince < ClockJumpHold)
    return;
  Clock.m_Offset = Offset;
  Clock.m_NewOffset.reset();
}

std::optional<Duration> timeOfDay(const WallClock &Clock, TimePoint When) {
  if (!Clock.m_Offset)
    return std::nullopt;
  return When.time_since_epoch() + *Clock.m_Offset;
}

} // namespace wasabivale::duties
