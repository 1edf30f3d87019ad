// Suspect fingerprints and runs in flight at one entry.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

std::vector<SuspectTracker::Run>::iterator
findRun(std::vector<SuspectTracker::Run> &Runs, const TargetId &Target,
        std::string_view Incarnation) {
  return std::find_if(
      Runs.begin(), Runs.end(), [&](const SuspectTracker::Run &Run) {
        return Run.m_Target == Target && Run.m_Incarnation == Incarnation;
      });
}

GateDecision evaluateSuspect(const SuspectTracker &Tracker, Fingerprint Hash,
                             const SuspectTracker::SuspectInfo &Info,
                             TimePoint Now) {
  if (Info.m_Verdict == Verdict::Quarantined)
    return {Gate::Quarantined, {}};
  const bool Permitted = Info.m_RerunPermitted && Info.m_RerunDeadline > Now;
  // Isolated: no other copy of the fingerprint may be in flight.
  if (Info.m_Local || !Permitted || Tracker.m_Running.contains(Hash))
    return {Gate::Hold, {}};
  return {Gate::Isolated, Info.m_RerunTarget, Info.m_RerunDeadline};
}

} // namespace

GateDecision evaluateGate(const SuspectTracker &Tracker, Fingerprint Hash,
                          TimePoint Now) {
  const auto Found = Tracker.m_Suspects.find(Hash);
  if (Found != Tracker.m_Suspects.end() && Found->second.m_ExpiresAt > Now)
    return evaluateSuspect(Tracker, Hash, Found->second, Now);
  const auto Running = Tracker.m_Running.find(Hash);
  if (Running != Tracker.m_Running.end())
    return {Gate::SameTarget, Running->second.front().m_Target};
  return {Gate::Open, {}};
}

void recordRunStart(SuspectTracker &Tracker, Fingerprint Hash,
                    const TargetId &Target, std::string_view Incarnation) {
  std::vector<SuspectTracker::Run> &Runs = Tracker.m_Running[Hash];
  const auto Found = findRun(Runs, Target, Incarnation);
  if (Found != Runs.end())
    ++Found->m_Count;
  else
    Runs.push_back({Target, std::string(Incarnation), 1});
}

void recordRunEnd(SuspectTracker &Tracker, Fingerprint Hash,
                  const TargetId &Target, std::string_view Incarnation) {
  const auto Running = Tracker.m_Running.find(Hash);
  WASABIVALE_INVARIANT(Running != Tracker.m_Running.end());
  std::vector<SuspectTracker::Run> &Runs = Running->second;
  const auto Found = findRun(Runs, Target, Incarnation);
  WASABIVALE_INVARIANT(Found != Runs.end() && Found->m_Count > 0);
  if (--Found->m_Count > 0)
    return;
  Runs.erase(Found);
  if (Runs.empty())
    Tracker.m_Running.erase(Running);
}

void recordRunEnd(SuspectTracker &Tracker, Fingerprint Hash) {
  const auto Running = Tracker.m_Running.find(Hash);
  WASABIVALE_INVARIANT(Running != Tracker.m_Running.end());
  const SuspectTracker::Run First = Running->second.front();
  recordRunEnd(Tracker, Hash, First.m_Target, First.m_Incarnation);
}

Crash recordCrash(SuspectTracker &Tracker, const TargetId &Target,
                  std::string_view Incarnation, TimePoint Now) {
  Crash Observed{Target, std::string(Incarnation), {}};
  for (auto &[Hash, Runs] : Tracker.m_Running) {
    if (findRun(Runs, Target, Incarnation) == Runs.end())
      continue;
    Observed.m_Running.push_back(Hash);
    SuspectTracker::SuspectInfo &Info = Tracker.m_Suspects[Hash];
    Info.m_Local = true;
    Info.m_RerunPermitted = false;
    Info.m_ExpiresAt =
        std::max(Info.m_ExpiresAt, Now + Tracker.m_LocalHoldDuration);
  }
  if (!Observed.m_Running.empty())
    Tracker.m_Unreported.push_back(Observed);
  return Observed;
}

void applyNotices(SuspectTracker &Tracker,
                  const std::vector<SuspectNotice> &Notices,
                  std::uint64_t Revision, bool CrashesSettled, TimePoint Now) {
  if (Revision < Tracker.m_Revision)
    return;
  Tracker.m_Revision = Revision;
  std::erase_if(Tracker.m_Suspects, [&](const auto &Item) {
    return !Item.second.m_Local || CrashesSettled;
  });
  for (const SuspectNotice &Notice : Notices) {
    SuspectTracker::SuspectInfo &Info =
        Tracker.m_Suspects[Notice.m_Fingerprint];
    Info.m_Verdict = Notice.m_Verdict;
    Info.m_ExpiresAt = Now + Notice.m_Remaining;
    Info.m_RerunPermitted = Notice.m_RerunPermitted;
    Info.m_RerunTarget = Notice.m_RerunTarget;
    const bool Bounded = Notice.m_RerunRemaining > Duration::zero();
    Info.m_RerunDeadline =
        Bounded ? Now + Notice.m_RerunRemaining : Info.m_ExpiresAt;
  }
}

} // namespace wasabivale::retries
