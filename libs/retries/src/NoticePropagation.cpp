// Tracks which entries have applied the notices of which crashes.

#include "retries/retries.h"

namespace wasabivale::retries {

void recordEntryReport(NoticePropagation &Progress, const NodeId &Id,
                       std::uint64_t AppliedRevision, TimePoint LeaseEnd) {
  NoticePropagation::Entry &Found = Progress.m_Entries[Id];
  Found.m_AppliedRevision = AppliedRevision;
  Found.m_LeaseEnd = std::max(Found.m_LeaseEnd, LeaseEnd);
}

void recordCrashApplied(NoticePropagation &Progress, const NodeId &Id,
                        std::uint64_t Revision) {
  NoticePropagation::Entry &Found = Progress.m_Entries[Id];
  Found.m_RequiredRevision = std::max(Found.m_RequiredRevision, Revision);
}

bool crashesSettled(const NoticePropagation &Progress, const NodeId &Id,
                    TimePoint Now) {
  const auto Reporter = Progress.m_Entries.find(Id);
  if (Reporter == Progress.m_Entries.end())
    return false;
  const std::uint64_t RequiredRevision = Reporter->second.m_RequiredRevision;
  if (RequiredRevision > 0 && Now < Progress.m_EarlierLeasesEnd)
    return false;
  for (const auto &[Other, Entry] : Progress.m_Entries) {
    // The reporting entry receives the notices together with this answer.
    if (Other != Id && Entry.m_LeaseEnd > Now &&
        Entry.m_AppliedRevision < RequiredRevision)
      return false;
  }
  return true;
}

} // namespace wasabivale::retries
