/// \file
/// The leader's part in deciding on requests that crash targets: which reports
/// are to be committed, what each entry is told, and when every entry knows.

#ifndef WASABIVALE_CONTROL_SUSPECTNOTICES_H
#define WASABIVALE_CONTROL_SUSPECTNOTICES_H

#include "fleet/fleet.h"

namespace wasabivale::control {

/// Memory of the leader, not replicated.
struct SuspectNotices {
  retries::NoticePropagation m_Settlement;
  /// Crashes in each entry's newest report that are committed and counted.
  std::map<NodeId, std::set<retries::CrashKey>> m_Counted;
};

/// Revision of the notices as entries know it. It names the state's revision
/// and whether the entry's crashes are settled, for an entry applies notices
/// only when the revision is another one. Never zero.
std::uint64_t noticeRevision(std::uint64_t Revision, bool Settled);
/// The state's revision in what `noticeRevision` made; zero from zero.
std::uint64_t stateRevision(std::uint64_t NoticeRevision);

/// Forgets everything at the start of a term. \p LongestLease is the longest
/// that any leader grants.
void startTerm(SuspectNotices &On, TimePoint Now, Duration LongestLease);

/// Takes an entry's report, whose lease was extended to \p LeaseUntil.
/// \returns the commands to propose, in this order: crashes that the state
/// does not hold yet, then ends of isolated runs and wishes that can be
/// permitted.
std::vector<fleet::Propose> takeReport(SuspectNotices &On,
                                       const retries::SuspectTable &Known,
                                       const NodeId &Entry,
                                       const wire::EntryReport &Report,
                                       TimePoint LeaseUntil, TimePoint LogNow);

/// Fills in what the entry must know that sent \p Report. \p LogNow is the
/// leader's log clock as `fleet::suspicionTime`.
void fillGrant(const SuspectNotices &From, const retries::SuspectTable &Known,
               const NodeId &Entry, const wire::EntryReport &Report,
               TimePoint Now, TimePoint LogNow, wire::ControlGrant &Grant);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_SUSPECTNOTICES_H
