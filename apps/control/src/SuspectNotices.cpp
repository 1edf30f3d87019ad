#include "SuspectNotices.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::control {

namespace {

/// Rows of evidence in one grant, about 20 bytes each.
constexpr std::size_t MaxTraitNotices = 256;
/// How long a route on trial is assigned to the same entries, which may have no
/// callers for it.
constexpr std::chrono::seconds TrialTurn{10};
/// One in this many entries, at least one, takes part in a trial.
constexpr std::ptrdiff_t EntriesPerTrial = 8;

retries::CrashKey keyOf(const wire::CrashReport &Crash) {
  return {{Crash.target()}, Crash.incarnation()};
}

bool isCommitted(const retries::SuspectTable &Known,
                 const wire::CrashReport &Crash) {
  const auto Found = Known.m_Crashes.find(keyOf(Crash));
  return Found != Known.m_Crashes.end() &&
         std::all_of(Crash.fingerprints().begin(), Crash.fingerprints().end(),
                     [&](retries::Fingerprint Fingerprint) {
                       return Found->second.m_Running.contains(Fingerprint);
                     });
}

bool allCommitted(const retries::SuspectTable &Known,
                  const wire::EntryReport &Report) {
  return std::all_of(Report.crashes().begin(), Report.crashes().end(),
                     [&](const wire::CrashReport &Crash) {
                       return isCommitted(Known, Crash);
                     });
}

/// Counts each committed crash once while consecutive reports repeat it.
void countCrashes(SuspectNotices &Notices, const retries::SuspectTable &Known,
                  const NodeId &Entry, const wire::EntryReport &Report) {
  std::set<retries::CrashKey> &Counted = Notices.m_Counted[Entry];
  std::set<retries::CrashKey> Committed;
  for (const wire::CrashReport &Crash : Report.crashes())
    if (isCommitted(Known, Crash))
      Committed.insert(keyOf(Crash));
  for (const retries::CrashKey &Key : Committed)
    if (!Counted.contains(Key))
      retries::recordCrashApplied(Notices.m_Settlement, Entry,
                                  Known.m_Revision);
  Counted = std::move(Committed);
}

fleet::Propose proposal(const NodeId &Entry, const wire::CrashReport &Crash) {
  fleet::Propose Proposal;
  Proposal.m_Key = fmt::format("crash/{}/{}/{}", Entry.m_Value, Crash.target(),
                               Crash.incarnation());
  *Proposal.m_Command.mutable_crash() = Crash;
  return Proposal;
}

fleet::Propose proposal(const NodeId &Entry, const wire::RerunReport &Rerun) {
  fleet::Propose Proposal;
  Proposal.m_Key = fmt::format("rerun/{}/{:016x}/{}", Entry.m_Value,
                               Rerun.fingerprint(), Rerun.state());
  *Proposal.m_Command.mutable_rerun() = Rerun;
  Proposal.m_Command.mutable_rerun()->set_entry(Entry.m_Value);
  return Proposal;
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
                      [&](const auto &Suspect) {
                        return mayRun(Suspect.second, LogNow) &&
                               Suspect.second.m_RerunTarget.m_Value ==
                                   Rerun.target();
                      });
}

void write(wire::SuspectNotice &Message, const retries::SuspectNotice &Notice) {
  Message.set_fingerprint(Notice.m_Fingerprint);
  Message.set_quarantined(Notice.m_Verdict == retries::Verdict::Quarantined);
  Message.set_remaining_ns(nanosecondsOf(Notice.m_Remaining));
  Message.set_rerun_permitted(Notice.m_RerunPermitted);
  Message.set_rerun_at(Notice.m_RerunTarget.m_Value);
  Message.set_rerun_left_ns(nanosecondsOf(Notice.m_RerunRemaining));
}

void write(wire::TraitNotice &Message, retries::Trait Value,
           const retries::TraitEvidence &Evidence, TimePoint LogNow) {
  Message.set_trait(Value);
  Message.set_crashes(Evidence.m_Crashes);
  if (Evidence.m_PausedUntil > LogNow)
    Message.set_paused_ns(nanosecondsOf(Evidence.m_PausedUntil - LogNow));
  Message.set_trial_runs(Evidence.m_TrialRuns);
  Message.mutable_companions()->Assign(Evidence.m_Companions.begin(),
                                       Evidence.m_Companions.end());
}

void write(wire::TraitQuarantineNotice &Message,
           const retries::TraitQuarantine &Quarantine, TimePoint LogNow) {
  Message.mutable_traits()->Assign(Quarantine.m_Traits.begin(),
                                   Quarantine.m_Traits.end());
  Message.set_remaining_ns(nanosecondsOf(Quarantine.m_EndsAt - LogNow));
}

} // namespace

std::uint64_t noticeRevision(std::uint64_t Revision, bool Settled) {
  return 2 * (Revision + 1) + (Settled ? 1 : 0);
}

std::uint64_t stateRevision(std::uint64_t NoticeRevision) {
  return NoticeRevision < 2 ? 0 : NoticeRevision / 2 - 1;
}

void startTerm(SuspectNotices &Notices, TimePoint Now, Duration LongestLease) {
  Notices = {};
  Notices.m_Settlement.m_EarlierLeasesEnd = Now + LongestLease;
}

std::vector<fleet::Propose>
handleReport(SuspectNotices &Notices, const retries::SuspectTable &Known,
             const NodeId &Entry, const wire::EntryReport &Report,
             TimePoint LeaseUntil, TimePoint LogNow) {
  retries::recordEntryReport(Notices.m_Settlement, Entry,
                             stateRevision(Report.suspects_revision()),
                             LeaseUntil);
  countCrashes(Notices, Known, Entry, Report);
  std::vector<fleet::Propose> Due;
  for (const wire::CrashReport &Crash : Report.crashes())
    if (!isCommitted(Known, Crash))
      Due.push_back(proposal(Entry, Crash));
  for (const wire::RerunReport &Rerun : Report.reruns())
    if (isDue(Known, Entry, Rerun, LogNow))
      Due.push_back(proposal(Entry, Rerun));
  return Due;
}

void fillGrant(const SuspectNotices &Notices,
               const retries::SuspectTable &Known, const NodeId &Entry,
               const wire::EntryReport &Report, TimePoint Now, TimePoint LogNow,
               wire::ControlGrant &Grant) {
  const bool Settled =
      allCommitted(Known, Report) &&
      retries::crashesSettled(Notices.m_Settlement, Entry, Now);
  Grant.set_crashes_settled(Settled);
  Grant.set_suspects_revision(noticeRevision(Known.m_Revision, Settled));
  if (Grant.suspects_revision() == Report.suspects_revision())
    return;
  for (const retries::SuspectNotice &Notice :
       retries::suspectNotices(Known, Entry, LogNow)) {
    write(*Grant.add_suspects(), Notice);
    if (Notice.m_Verdict != retries::Verdict::Quarantined)
      continue;
    wire::Quarantine &Quarantine = *Grant.add_quarantines();
    Quarantine.set_fingerprint(Notice.m_Fingerprint);
    Quarantine.set_remaining_ns(nanosecondsOf(Notice.m_Remaining));
  }
}

std::optional<wire::TraitsUpdate>
takeNewNotices(const retries::TraitTable &Known, NotifiedTraits &Notified,
               TimePoint LogNow) {
  wire::TraitsUpdate Update;
  NotifiedTraits Current;
  for (const retries::TraitQuarantine &Each : Known.m_Quarantines) {
    if (Each.m_EndsAt <= LogNow)
      continue;
    Current.m_Quarantines[Each.m_Traits] = Each.m_EndsAt;
    const auto Found = Notified.m_Quarantines.find(Each.m_Traits);
    if (Found == Notified.m_Quarantines.end() || Found->second != Each.m_EndsAt)
      write(*Update.add_quarantines(), Each, LogNow);
  }
  bool HasPause = false;
  for (const auto &[Value, Evidence] : Known.m_Evidence) {
    if (!retries::isRoute(Evidence) || Evidence.m_PausedUntil <= LogNow)
      continue;
    Current.m_Pauses[Value] = Evidence.m_PausedUntil;
    const auto Found = Notified.m_Pauses.find(Value);
    HasPause = HasPause || Found == Notified.m_Pauses.end() ||
               Found->second != Evidence.m_PausedUntil;
  }
  Notified = std::move(Current);
  if (Update.quarantines().empty() && !HasPause)
    return std::nullopt;
  for (const auto &[Value, Evidence] : Known.m_Evidence)
    if (retries::isRoute(Evidence))
      write(*Update.add_routes(), Value, Evidence, LogNow);
  return Update;
}

std::optional<fleet::Propose> proposeTraits(const retries::TraitTable &Known,
                                            const NodeId &Entry,
                                            const wire::EntryReport &Report,
                                            TimePoint LogNow) {
  fleet::Propose Proposal;
  wire::TraitReport &Due = *Proposal.m_Command.mutable_trait_report();
  for (const wire::TraitCrash &Crash : Report.trait_crashes())
    if (!retries::isKnownCrash(Known, fleet::readTraitCrash(Crash), LogNow))
      *Due.add_crashes() = Crash;
  for (const retries::Trait Value : Report.sound_traits())
    if (retries::isSuspectTrait(Known, Value))
      Due.add_sound(Value);
  // Any command lets the table decide.
  if (Due.crashes().empty() && Due.sound().empty() &&
      LogNow < Known.m_BegunDecisionAt)
    return std::nullopt;
  Proposal.m_Key = fmt::format("traits/{}/{}", Entry.m_Value, Report.renewal());
  return Proposal;
}

void fillTraits(const retries::TraitTable &Known,
                const wire::EntryReport &Report, TimePoint LogNow,
                wire::ControlGrant &Grant) {
  // Zero stands for a leader that does not decide.
  Grant.set_traits_revision(Known.m_Revision + 1);
  if (Grant.traits_revision() == Report.traits_revision())
    return;
  // Single crashes, which most of the evidence comes from, matter to no entry
  // beyond the first retry.
  std::vector<std::pair<retries::Trait, const retries::TraitEvidence *>> Rows;
  Rows.reserve(Known.m_Evidence.size());
  for (const auto &[Value, Evidence] : Known.m_Evidence)
    Rows.emplace_back(Value, &Evidence);
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const auto &Left, const auto &Right) {
                     return std::pair(retries::isRoute(*Left.second),
                                      Left.second->m_Crashes) >
                            std::pair(retries::isRoute(*Right.second),
                                      Right.second->m_Crashes);
                   });
  Rows.resize(std::min(Rows.size(), MaxTraitNotices));
  for (const auto &[Value, Evidence] : Rows) {
    write(*Grant.add_traits(), Value, *Evidence, LogNow);
  }
  for (const retries::TraitQuarantine &Each : Known.m_Quarantines) {
    if (Each.m_EndsAt > LogNow)
      write(*Grant.add_trait_quarantines(), Each, LogNow);
  }
}

void fillTrials(const retries::TraitTable &Traits,
                const fleet::ObservedState &Observed, const NodeId &Entry,
                TimePoint Now, TimePoint LogNow, wire::ControlGrant &Grant) {
  if (Now < Observed.m_CompleteAt)
    return;
  const auto Turn =
      static_cast<std::uint64_t>(LogNow.time_since_epoch() / TrialTurn);
  const auto MayRun = [](const auto &Item) {
    return !Item.second.m_TargetsUnreachable;
  };
  const auto Own = Observed.m_Entries.find(Entry);
  if (Own == Observed.m_Entries.end() || !MayRun(*Own))
    return;
  const auto Candidates = std::count_if(Observed.m_Entries.begin(),
                                        Observed.m_Entries.end(), MayRun);
  const auto Assigned =
      std::max<std::ptrdiff_t>(1, Candidates / EntriesPerTrial);
  for (const retries::Trait Route : retries::routesOnTrial(Traits, LogNow)) {
    const std::uint64_t Seed = Route ^ Turn;
    const std::uint64_t Score = hashBytes(Entry.m_Value, Seed);
    const auto Before = std::count_if(
        Observed.m_Entries.begin(), Observed.m_Entries.end(),
        [&](const auto &Item) {
          return MayRun(Item) && hashBytes(Item.first.m_Value, Seed) > Score;
        });
    if (Before < Assigned)
      Grant.add_trial_routes(Route);
  }
}

} // namespace wasabivale::control
