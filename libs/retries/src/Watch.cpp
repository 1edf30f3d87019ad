// One entry's hold on fingerprints that may crash targets.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

std::vector<SuspectTracker::Run>::iterator
findRun(std::vector<SuspectTracker::Run> &Runs, const TargetId &Target,
        std::string_view Incarnation) {
  return std::find_if(
      Runs.begin(), Runs.end(), [&](const SuspectTracker::Run &One) {
        return One.m_Target == Target && One.m_Incarnation == Incarnation;
      });
}

GateDecision gateOfSuspect(const SuspectTracker &Entry, Fingerprint Print,
                           const SuspectTracker::Known &Known, TimePoint Now) {
  if (Known.m_Verdict == Verdict::Quarantined)
    return {Gate::Quarantined, {}};
  const bool Permitted = Known.m_RerunPermitted && Known.m_RerunDeadline > Now;
  // Alone: not beside another copy of itself.
  if (Known.m_Local || !Permitted || Entry.m_Running.contains(Print))
    return {Gate::Hold, {}};
  return {Gate::Isolated, Known.m_RerunTarget, Known.m_RerunDeadline};
}

} // namespace

GateDecision evaluateGate(const SuspectTracker &Entry, Fingerprint Print,
                          TimePoint Now) {
  const auto Found = Entry.m_Suspects.find(Print);
  if (Found != Entry.m_Suspects.end() && Found->second.m_Until > Now)
    return gateOfSuspect(Entry, Print, Found->second, Now);
  const auto Running = Entry.m_Running.find(Print);
  if (Running != Entry.m_Running.end())
    return {Gate::SameTarget, Running->second.front().m_Target};
  return {Gate::Open, {}};
}

void recordRunStart(SuspectTracker &Entry, Fingerprint Print,
                    const TargetId &Target, std::string_view Incarnation) {
  std::vector<SuspectTracker::Run> &Runs = Entry.m_Running[Print];
  const auto Found = findRun(Runs, Target, Incarnation);
  if (Found != Runs.end())
    ++Found->m_Count;
  else
    Runs.push_back({Target, std::string(Incarnation), 1});
}

void recordRunEnd(SuspectTracker &Entry, Fingerprint Print,
                  const TargetId &Target, std::string_view Incarnation) {
  const auto Running = Entry.m_Running.find(Print);
  WASABIVALE_INVARIANT(Running != Entry.m_Running.end());
  std::vector<SuspectTracker::Run> &Runs = Running->second;
  const auto Found = findRun(Runs, Target, Incarnation);
  WASABIVALE_INVARIANT(Found != Runs.end() && Found->m_Count > 0);
  if (--Found->m_Count > 0)
    return;
  Runs.erase(Found);
  if (Runs.empty())
    Entry.m_Running.erase(Running);
}

void recordRunEnd(SuspectTracker &Entry, Fingerprint Print) {
  const auto Running = Entry.m_Running.find(Print);
  WASABIVALE_INVARIANT(Running != Entry.m_Running.end());
  const SuspectTracker::Run First = Running->second.front();
  recordRunEnd(Entry, Print, First.m_Target, First.m_Incarnation);
}

Crash recordCrash(SuspectTracker &Entry, const TargetId &Target,
                  std::string_view Incarnation, TimePoint Now) {
  Crash Seen{Target, std::string(Incarnation), {}};
  for (auto &[Print, Runs] : Entry.m_Running) {
    if (findRun(Runs, Target, Incarnation) == Runs.end())
      continue;
    Seen.m_Running.push_back(Print);
    SuspectTracker::Known &Known = Entry.m_Suspects[Print];
    Known.m_Local = true;
    Known.m_RerunPermitted = false;
    Known.m_Until = std::max(Known.m_Until, Now + Entry.m_LocalHold);
  }
  if (!Seen.m_Running.empty())
    Entry.m_Unreported.push_back(Seen);
  return Seen;
}

void applyNotices(SuspectTracker &Entry,
                  const std::vector<SuspectNotice> &Notices,
                  std::uint64_t Revision, bool SettledCrashes, TimePoint Now) {
  if (Revision < Entry.m_Revision)
    return;
  Entry.m_Revision = Revision;
  std::erase_if(Entry.m_Suspects, [&](const auto &One) {
    return !One.second.m_Local || SettledCrashes;
  });
  for (const SuspectNotice &Notice : Notices) {
    SuspectTracker::Known &Known = Entry.m_Suspects[Notice.m_Fingerprint];
    Known.m_Verdict = Notice.m_Verdict;
    Known.m_Until = Now + Notice.m_Remaining;
    Known.m_RerunPermitted = Notice.m_RerunPermitted;
    Known.m_RerunTarget = Notice.m_RerunTarget;
    const bool Bounded = Notice.m_RerunRemaining > Duration::zero();
    Known.m_RerunDeadline =
        Bounded ? Now + Notice.m_RerunRemaining : Known.m_Until;
  }
}

} // namespace wasabivale::retries
