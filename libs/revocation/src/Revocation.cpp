#include "revocation/revocation.h"

#include <algorithm>

namespace wasabivale::revocation {

void recordGrant(State &Entry, const Grant &Answer,
                 std::uint64_t AppliedVersion) {
  if (Answer.m_CommittedVersion == 0 ||
      AppliedVersion < Answer.m_CommittedVersion)
    return;
  Entry.m_ConfirmedAt = std::max(Entry.m_ConfirmedAt.value_or(TimePoint::min()),
                                 Answer.m_ReportSentAt);
}

bool acceptsKeys(const State &Entry, TimePoint Now) {
  if (!Entry.m_Bound)
    return true;
  if (!Entry.m_ConfirmedAt)
    return false;
  const auto Holds =
      std::chrono::duration_cast<Duration>(*Entry.m_Bound * ConfirmationPart);
  return Now - *Entry.m_ConfirmedAt < Holds;
}

} // namespace wasabivale::revocation
