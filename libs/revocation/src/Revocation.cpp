#include "revocation/revocation.h"

#include <algorithm>

namespace wasabivale::revocation {

void recordGrant(State &Entry, const Grant &Answer,
                 std::uint64_t AppliedVersion) {
  Entry.m_IsBehind = AppliedVersion < Answer.m_CommittedVersion;
  if (Answer.m_CommittedVersion == 0 || Entry.m_IsBehind)
    return;
  Entry.m_ConfirmedAt = std::max(Entry.m_ConfirmedAt.value_or(TimePoint::min()),
                                 Answer.m_ReportSentAt);
}

bool knowsAllKeys(const State &Entry, TimePoint Now) {
  return !Entry.m_IsBehind && acceptsKeys(Entry, Now);
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
