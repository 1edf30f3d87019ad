#include "SuspectNotices.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::control {

namespace {

retries::CrashKey keyOf(const wire::CrashReport &Crash) {
  return {{Crash.target()}, Crash.incarnation()};
}

bool isCommitted(const retries::SuspectTable &Known,
                 const wire::CrashReport &Crash) {
  const auto Found = Known.m_Crashes.find(keyOf(Crash));
  return Found != Known.m_Crashes.end() &&
         std::all_of(Crash.fingerprints().begin(), Crash.fingerprints().end(),
                     [&](retries::Fingerprint Each) {
                       return Found->second.m_Running.contains(Each);
                     });
}

bool allCommitted(const retries::SuspectTable &Known,
                  const wire::EntryReport &Report) {
  return std::all_of(
      Report.crashes().begin(), Report.crashes().end(),
      [&](const wire::CrashReport &Each) { return isCommitted(Known, Each); });
}

/// Counts each committed crash of the report once, while it is repeated.
void countCrashes(SuspectNotices &On, const retries::SuspectTable &Known,
                  const NodeId &Entry, const wire::EntryReport &Report) {
  std::set<retries::CrashKey> &Counted = On.m_Counted[Entry];
  std::set<retries::CrashKey> Committed;
  for (const wire::CrashReport &Each : Report.crashes())
    if (isCommitted(Known, Each))
      Committed.insert(keyOf(Each));
  for (const retries::CrashKey &Each : Committed)
    if (!Counted.contains(Each))
      retries::recordCrashApplied(On.m_Settlement, Entry, Known.m_Revision);
  Counted = std::move(Committed);
}

fleet::Propose proposal(const NodeId &Entry, const wire::CrashReport &Crash) {
  fleet::Propose Out;
  Out.m_Key = fmt::format("crash/{}/{}/{}", Entry.m_Value, Crash.target(),
                          Crash.incarnation());
  *Out.m_Command.mutable_crash() = Crash;
  return Out;
}

fleet::Propose proposal(const NodeId &Entry, const wire::RerunReport &Rerun) {
  fleet::Propose Out;
  Out.m_Key = fmt::format("rerun/{}/{:016x}/{}", Entry.m_Value,
                          Rerun.fingerprint(), Rerun.state());
  *Out.m_Command.mutable_rerun() = Rerun;
  Out.m_Command.mutable_rerun()->set_entry(Entry.m_Value);
  return Out;
}

bool mayRun(const retries::Suspect &Known, TimePoint LogNow) {
  return Known.m_RerunEntry && Known.m_RerunDeadline > LogNow;
}

/// Whether a proposal would change anything.
bool isDue(const retries::SuspectTable &Known, const NodeId &Entry,
           const wire::RerunReport &Rerun, TimePoint LogNow) {
  const auto Found = Known.m_Suspects.find(Rerun.fingerprint());
  if (Found == Known.m_Suspects.end())
    return false;
  if (Rerun.state() != "wanted")
    return Found->second.m_RerunEntry == Entry;
  if (Found->second.m_Verdict == retries::Verdict::Quarantined)
    return false;
  return !mayRun(Found->second, LogNow) &&
         std::none_of(Known.m_Suspects.begin(), Known.m_Suspects.end(),
                      [&](const auto &One) {
                        return mayRun(One.second, LogNow) &&
                               One.second.m_RerunTarget.m_Value ==
                                   Rerun.target();
                      });
}

void write(wire::SuspectNotice &To, const retries::SuspectNotice &From) {
  To.set_fingerprint(From.m_Fingerprint);
  To.set_quarantined(From.m_Verdict == retries::Verdict::Quarantined);
  To.set_remaining_ns(nanosecondsOf(From.m_Remaining));
  To.set_rerun_permitted(From.m_RerunPermitted);
  To.set_rerun_at(From.m_RerunTarget.m_Value);
  To.set_rerun_left_ns(nanosecondsOf(From.m_RerunRemaining));
}

} // namespace

std::uint64_t noticeRevision(std::uint64_t Revision, bool Settled) {
  return 2 * (Revision + 1) + (Settled ? 1 : 0);
}

std::uint64_t stateRevision(std::uint64_t NoticeRevision) {
  return NoticeRevision < 2 ? 0 : NoticeRevision / 2 - 1;
}

void startTerm(SuspectNotices &On, TimePoint Now, Duration LongestLease) {
  On = {};
  On.m_Settlement.m_EarlierLeasesEnd = Now + LongestLease;
}

std::vector<fleet::Propose> takeReport(SuspectNotices &On,
                                       const retries::SuspectTable &Known,
                                       const NodeId &Entry,
                                       const wire::EntryReport &Report,
                                       TimePoint LeaseUntil, TimePoint LogNow) {
  retries::recordEntryReport(On.m_Settlement, Entry,
                             stateRevision(Report.suspects_revision()),
                             LeaseUntil);
  countCrashes(On, Known, Entry, Report);
  std::vector<fleet::Propose> Due;
  for (const wire::CrashReport &Each : Report.crashes())
    if (!isCommitted(Known, Each))
      Due.push_back(proposal(Entry, Each));
  for (const wire::RerunReport &Each : Report.reruns())
    if (isDue(Known, Entry, Each, LogNow))
      Due.push_back(proposal(Entry, Each));
  return Due;
}

void fillGrant(const SuspectNotices &From, const retries::SuspectTable &Known,
               const NodeId &Entry, const wire::EntryReport &Report,
               TimePoint Now, TimePoint LogNow, wire::ControlGrant &Grant) {
  const bool Settled = allCommitted(Known, Report) &&
                       retries::crashesSettled(From.m_Settlement, Entry, Now);
  Grant.set_crashes_settled(Settled);
  Grant.set_suspects_revision(noticeRevision(Known.m_Revision, Settled));
  if (Grant.suspects_revision() == Report.suspects_revision())
    return;
  for (const retries::SuspectNotice &Each :
       retries::suspectNotices(Known, Entry, LogNow)) {
    write(*Grant.add_suspects(), Each);
    if (Each.m_Verdict != retries::Verdict::Quarantined)
      continue;
    wire::Quarantine &Out = *Grant.add_quarantines();
    Out.set_fingerprint(Each.m_Fingerprint);
    Out.set_remaining_ns(nanosecondsOf(Each.m_Remaining));
  }
}

} // namespace wasabivale::control
