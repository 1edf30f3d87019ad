// Fleet-wide decision on fingerprints that were running on crashing targets.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

/// Permissions in force, other than that of \p Print, at \p Target.
bool isTargetTaken(const Suspicion &Fleet, Fingerprint Print,
                   const TargetId &Target, TimePoint LogNow) {
  return std::any_of(
      Fleet.m_Suspects.begin(), Fleet.m_Suspects.end(), [&](const auto &One) {
        const Suspect &Other = One.second;
        return One.first != Print && Other.m_RerunBy &&
               Other.m_RerunAt == Target && Other.m_RerunUntil > LogNow;
      });
}

void endPermission(Suspect &Known) {
  Known.m_RerunBy.reset();
  Known.m_RerunAt = {};
}

/// More suspect: more crashes, then more weight.
bool isMoreSuspect(const Suspect &Left, const Suspect &Right) {
  if (Left.m_Crashes.size() != Right.m_Crashes.size())
    return Left.m_Crashes.size() > Right.m_Crashes.size();
  return Left.m_Weight > Right.m_Weight;
}

void dropLeastSuspect(Suspicion &Fleet) {
  while (Fleet.m_Suspects.size() > Fleet.m_Settings.m_MaxSuspects) {
    const auto Least =
        std::min_element(Fleet.m_Suspects.begin(), Fleet.m_Suspects.end(),
                         [](const auto &Left, const auto &Right) {
                           return isMoreSuspect(Right.second, Left.second);
                         });
    Fleet.m_Suspects.erase(Least);
  }
}

void weigh(Suspicion &Fleet, Fingerprint Print,
           const std::pair<TargetId, std::string> &Where, double Weight,
           TimePoint LogNow) {
  const SuspicionSettings &Options = Fleet.m_Settings;
  Suspect &Known = Fleet.m_Suspects[Print];
  if (Known.m_Crashes.insert(Where).second)
    Known.m_Weight += Weight;
  endPermission(Known);
  const bool Guilty = Known.m_Crashes.size() >= MaxTargetsLost;
  Known.m_Verdict = Guilty ? Verdict::Quarantined : Verdict::Suspect;
  Known.m_Until =
      LogNow + (Guilty ? Options.m_QuarantineFor : Options.m_SuspectFor);
  Known.m_Revision = Fleet.m_Revision;
}

} // namespace

Fingerprint fingerprintOf(const ModelId &Model, std::string_view Prompt) {
  return hashBytes(Prompt, hashBytes(Model.m_Value));
}

std::uint64_t applyCrash(Suspicion &Fleet, const Crash &Report,
                         TimePoint LogNow) {
  expireSuspicion(Fleet, LogNow);
  ++Fleet.m_Revision;
  const std::pair<TargetId, std::string> Where{Report.m_Target,
                                               Report.m_Incarnation};
  std::set<Fingerprint> &Seen = Fleet.m_Crashes[Where];
  Fleet.m_CrashedAt.try_emplace(Where, LogNow);
  std::set<Fingerprint> New;
  for (Fingerprint Print : Report.m_Running) {
    if (Seen.insert(Print).second)
      New.insert(Print);
  }
  const double Weight =
      Seen.empty() ? 0 : 1.0 / static_cast<double>(Seen.size());
  for (Fingerprint Print : New)
    weigh(Fleet, Print, Where, Weight, LogNow);
  dropLeastSuspect(Fleet);
  return Fleet.m_Revision;
}

bool permitRerun(Suspicion &Fleet, Fingerprint Print, const NodeId &Entry,
                 const TargetId &Target, TimePoint LogNow) {
  expireSuspicion(Fleet, LogNow);
  const auto Found = Fleet.m_Suspects.find(Print);
  if (Found == Fleet.m_Suspects.end())
    return false;
  Suspect &Known = Found->second;
  if (Known.m_Verdict == Verdict::Quarantined || Known.m_RerunBy)
    return false;
  if (isTargetTaken(Fleet, Print, Target, LogNow))
    return false;
  Known.m_RerunBy = Entry;
  Known.m_RerunAt = Target;
  Known.m_RerunUntil = LogNow + Fleet.m_Settings.m_RerunFor;
  Known.m_Until = std::max(Known.m_Until, Known.m_RerunUntil);
  Known.m_Revision = ++Fleet.m_Revision;
  return true;
}

void endRerun(Suspicion &Fleet, Fingerprint Print, const NodeId &Entry,
              bool Completed, TimePoint LogNow) {
  expireSuspicion(Fleet, LogNow);
  const auto Found = Fleet.m_Suspects.find(Print);
  if (Found == Fleet.m_Suspects.end() || Found->second.m_RerunBy != Entry)
    return;
  ++Fleet.m_Revision;
  if (Completed && Found->second.m_Verdict == Verdict::Suspect) {
    Fleet.m_Suspects.erase(Found);
    return;
  }
  endPermission(Found->second);
  Found->second.m_Revision = Fleet.m_Revision;
}

void expireSuspicion(Suspicion &Fleet, TimePoint LogNow) {
  for (auto &[Print, Known] : Fleet.m_Suspects) {
    if (Known.m_RerunBy && Known.m_RerunUntil <= LogNow) {
      endPermission(Known);
      Known.m_Revision = ++Fleet.m_Revision;
    }
  }
  const std::size_t Dropped =
      std::erase_if(Fleet.m_Suspects, [&](const auto &One) {
        return One.second.m_Until <= LogNow;
      });
  if (Dropped > 0)
    ++Fleet.m_Revision;
  for (auto One = Fleet.m_CrashedAt.begin(); One != Fleet.m_CrashedAt.end();) {
    if (One->second + Fleet.m_Settings.m_QuarantineFor > LogNow) {
      ++One;
      continue;
    }
    Fleet.m_Crashes.erase(One->first);
    One = Fleet.m_CrashedAt.erase(One);
  }
}

bool liftQuarantine(Suspicion &Fleet, Fingerprint Print) {
  if (Fleet.m_Suspects.erase(Print) == 0)
    return false;
  ++Fleet.m_Revision;
  return true;
}

std::vector<SuspectNotice> noticesFor(const Suspicion &Fleet,
                                      const NodeId &Entry, TimePoint LogNow) {
  std::vector<std::pair<Fingerprint, const Suspect *>> Ordered;
  for (const auto &[Print, Known] : Fleet.m_Suspects)
    Ordered.emplace_back(Print, &Known);
  std::stable_sort(Ordered.begin(), Ordered.end(),
                   [](const auto &Left, const auto &Right) {
                     return isMoreSuspect(*Left.second, *Right.second);
                   });
  std::vector<SuspectNotice> Notices;
  for (const auto &[Print, Known] : Ordered) {
    if (Known->m_Until <= LogNow)
      continue;
    SuspectNotice Notice;
    Notice.m_Print = Print;
    Notice.m_Verdict = Known->m_Verdict;
    Notice.m_Remaining = Known->m_Until - LogNow;
    Notice.m_RerunPermitted = Known->m_RerunBy == Entry;
    if (Notice.m_RerunPermitted)
      Notice.m_RerunAt = Known->m_RerunAt;
    Notices.push_back(std::move(Notice));
  }
  return Notices;
}

} // namespace wasabivale::retries
