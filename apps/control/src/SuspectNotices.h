/// \file
/// Leader side of the handling of requests that crash targets: which reports
/// are committed, which notices entries get, and when all have applied them.

#ifndef WASABIVALE_CONTROL_SUSPECTNOTICES_H
#define WASABIVALE_CONTROL_SUSPECTNOTICES_H

#include "fleet/fleet.h"

namespace wasabivale::control {

/// State of the leader, not replicated.
struct SuspectNotices {
  retries::NoticePropagation m_Settlement;
  /// Crashes in each entry's newest report that are committed and counted.
  std::map<NodeId, std::set<retries::CrashKey>> m_Counted;
};

/// Revision of the notices as entries know it. It names the state's revision
/// and whether the entry's crashes are settled, because an entry applies
/// notices only when the revision differs. Never zero.
std::uint64_t noticeRevision(std::uint64_t Revision, bool Settled);
/// The state's revision in a notice revision; zero for zero.
std::uint64_t stateRevision(std::uint64_t NoticeRevision);

/// Forgets everything at the start of a term. \p LongestLease is the longest
/// that any leader grants.
void startTerm(SuspectNotices &Notices, TimePoint Now, Duration LongestLease);

/// Handles the report of an entry whose lease was extended to \p LeaseUntil.
/// \returns the commands to propose, in this order: crashes that the state
/// does not hold yet, then ends of isolated runs and requests for runs that
/// can be permitted.
std::vector<fleet::Propose>
handleReport(SuspectNotices &Notices, const retries::SuspectTable &Known,
             const NodeId &Entry, const wire::EntryReport &Report,
             TimePoint LeaseUntil, TimePoint LogNow);

/// Fills in the notices for the entry that sent \p Report. \p LogNow is the
/// leader's log clock as `fleet::suspicionTime`.
void fillGrant(const SuspectNotices &Notices,
               const retries::SuspectTable &Known, const NodeId &Entry,
               const wire::EntryReport &Report, TimePoint Now, TimePoint LogNow,
               wire::ControlGrant &Grant);

/// \returns the command to propose for what an entry's report says of traits
/// that the state does not hold yet, or when a decision on crashes is due; else
/// nothing.
std::optional<fleet::Propose> proposeTraits(const retries::TraitTable &Known,
                                            const NodeId &Entry,
                                            const wire::EntryReport &Report,
                                            TimePoint LogNow);

/// Ends of the quarantines and of the pauses of routes of which entries have
/// been notified.
struct NotifiedTraits {
  std::map<retries::TraitSet, TimePoint> m_Quarantines;
  std::map<retries::Trait, TimePoint> m_Pauses;
};

/// \returns the notice of quarantines and pauses that are not in \p Notified,
/// which it adds, or nothing.
std::optional<wire::TraitsUpdate>
takeNewNotices(const retries::TraitTable &Known, NotifiedTraits &Notified,
               TimePoint LogNow);

/// Fills in the traits for the entry that sent \p Report, unless it knows them.
void fillTraits(const retries::TraitTable &Known,
                const wire::EntryReport &Report, TimePoint LogNow,
                wire::ControlGrant &Grant);

/// Permits \p Entry to run requests of routes on trial that are assigned to it:
/// each to a few of \p Observed at a time, in turn. None until a new leader may
/// know all entries.
void fillTrials(const retries::TraitTable &Traits,
                const fleet::ObservedState &Observed, const NodeId &Entry,
                TimePoint Now, TimePoint LogNow, wire::ControlGrant &Grant);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_SUSPECTNOTICES_H
