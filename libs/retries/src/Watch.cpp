// One entry's hold on fingerprints that may crash targets.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

std::vector<Watch::Run>::iterator findRun(std::vector<Watch::Run> &Runs,
                                          const TargetId &Target,
                                          std::string_view Incarnation) {
  return std::find_if(Runs.begin(), Runs.end(), [&](const Watch::Run &One) {
    return One.m_Target == Target && One.m_Incarnation == Incarnation;
  });
}

GateDecision gateOfSuspect(const Watch &Entry, Fingerprint Print,
                           const Watch::Known &Known, TimePoint Now) {
  if (Known.m_Verdict == Verdict::Quarantined)
    return {Gate::Quarantined, {}};
  const bool Permitted = Known.m_RerunPermitted && Known.m_RerunUntil > Now;
  // Alone: not beside another copy of itself.
  if (Known.m_Local || !Permitted || Entry.m_Running.contains(Print))
    return {Gate::Hold, {}};
  return {Gate::Isolated, Known.m_RerunAt, Known.m_RerunUntil};
}

} // namespace

GateDecision gateOf(const Watch &Entry, Fingerprint Print, TimePoint Now) {
  const auto Found = Entry.m_Suspects.find(Print);
  if (Found != Entry.m_Suspects.end() && Found->second.m_Until > Now)
    return gateOfSuspect(Entry, Print, Found->second, Now);
  const auto Running = Entry.m_Running.find(Print);
  if (Running != Entry.m_Running.end())
    return {Gate::SameTarget, Running->second.front().m_Target};
  return {Gate::Open, {}};
}

void noteRun(Watch &Entry, Fingerprint Print, const TargetId &Target,
             std::string_view Incarnation) {
  std::vector<Watch::Run> &Runs = Entry.m_Running[Print];
  const auto Found = findRun(Runs, Target, Incarnation);
  if (Found != Runs.end())
    ++Found->m_Count;
  else
    Runs.push_back({Target, std::string(Incarnation), 1});
}

void noteRunEnded(Watch &Entry, Fingerprint Print, const TargetId &Target,
                  std::string_view Incarnation) {
  const auto Running = Entry.m_Running.find(Print);
  WASABIVALE_INVARIANT(Running != Entry.m_Running.end());
  std::vector<Watch::Run> &Runs = Running->second;
  const auto Found = findRun(Runs, Target, Incarnation);
  WASABIVALE_INVARIANT(Found != Runs.end() && Found->m_Count > 0);
  if (--Found->m_Count > 0)
    return;
  Runs.erase(Found);
  if (Runs.empty())
    Entry.m_Running.erase(Running);
}

void noteRunEnded(Watch &Entry, Fingerprint Print) {
  const auto Running = Entry.m_Running.find(Print);
  WASABIVALE_INVARIANT(Running != Entry.m_Running.end());
  const Watch::Run First = Running->second.front();
  noteRunEnded(Entry, Print, First.m_Target, First.m_Incarnation);
}

Crash noteCrash(Watch &Entry, const TargetId &Target,
                std::string_view Incarnation, TimePoint Now) {
  Crash Seen{Target, std::string(Incarnation), {}};
  for (auto &[Print, Runs] : Entry.m_Running) {
    if (findRun(Runs, Target, Incarnation) == Runs.end())
      continue;
    Seen.m_Running.push_back(Print);
    Watch::Known &Known = Entry.m_Suspects[Print];
    Known.m_Local = true;
    Known.m_RerunPermitted = false;
    Known.m_Until = std::max(Known.m_Until, Now + Entry.m_LocalHold);
  }
  if (!Seen.m_Running.empty())
    Entry.m_Unreported.push_back(Seen);
  return Seen;
}

void applyNotices(Watch &Entry, const std::vector<SuspectNotice> &Notices,
                  std::uint64_t Revision, bool SettledCrashes, TimePoint Now) {
  if (Revision < Entry.m_Revision)
    return;
  Entry.m_Revision = Revision;
  std::erase_if(Entry.m_Suspects, [&](const auto &One) {
    return !One.second.m_Local || SettledCrashes;
  });
  for (const SuspectNotice &Notice : Notices) {
    Watch::Known &Known = Entry.m_Suspects[Notice.m_Print];
    Known.m_Verdict = Notice.m_Verdict;
    Known.m_Until = Now + Notice.m_Remaining;
    Known.m_RerunPermitted = Notice.m_RerunPermitted;
    Known.m_RerunAt = Notice.m_RerunAt;
    const bool Bounded = Notice.m_RerunLeft > Duration::zero();
    Known.m_RerunUntil = Bounded ? Now + Notice.m_RerunLeft : Known.m_Until;
  }
}

} // namespace wasabivale::retries
