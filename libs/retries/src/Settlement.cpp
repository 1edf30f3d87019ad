// Which entries know of which crashes.

#include "retries/retries.h"

namespace wasabivale::retries {

void recordEntryReport(NoticePropagation &Known, const NodeId &Id,
                       std::uint64_t Applied, TimePoint LeaseUntil) {
  NoticePropagation::Entry &Found = Known.m_Entries[Id];
  Found.m_Applied = Applied;
  Found.m_LeaseUntil = std::max(Found.m_LeaseUntil, LeaseUntil);
}

void recordCrashApplied(NoticePropagation &Known, const NodeId &Id,
                        std::uint64_t Revision) {
  NoticePropagation::Entry &Found = Known.m_Entries[Id];
  Found.m_Needed = std::max(Found.m_Needed, Revision);
}

bool crashesSettled(const NoticePropagation &Known, const NodeId &Id,
                    TimePoint Now) {
  const auto Asking = Known.m_Entries.find(Id);
  if (Asking == Known.m_Entries.end())
    return false;
  const std::uint64_t Needed = Asking->second.m_Needed;
  if (Needed > 0 && Now < Known.m_EarlierLeasesEnd)
    return false;
  for (const auto &[Other, Entry] : Known.m_Entries) {
    // The entry that asks learns the notices together with this answer.
    if (Other != Id && Entry.m_LeaseUntil > Now && Entry.m_Applied < Needed)
      return false;
  }
  return true;
}

} // namespace wasabivale::retries
