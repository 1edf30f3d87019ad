// One entry's hold on fingerprints that may crash targets.

#include "retries/retries.h"

namespace wasabivale::retries {

namespace {

GateDecision gateOfSuspect(const Watch &Entry, Fingerprint Print,
                           const Watch::Known &Known) {
  if (Known.m_Verdict == Verdict::Quarantined)
    return {Gate::Quarantined, {}};
  // Alone: not beside another copy of itself.
  if (Known.m_Local || !Known.m_RerunPermitted ||
      Entry.m_Running.contains(Print))
    return {Gate::Hold, {}};
  return {Gate::Isolated, Known.m_RerunAt};
}

} // namespace

GateDecision gateOf(const Watch &Entry, Fingerprint Print, TimePoint Now) {
  const auto Found = Entry.m_Suspects.find(Print);
  if (Found != Entry.m_Suspects.end() && Found->second.m_Until > Now)
    return gateOfSuspect(Entry, Print, Found->second);
  const auto Running = Entry.m_Running.find(Print);
  if (Running != Entry.m_Running.end())
    return {Gate::SameTarget, Running->second.m_Target};
  return {Gate::Open, {}};
}

void noteRun(Watch &Entry, Fingerprint Print, const TargetId &Target,
             std::string_view Incarnation) {
  Watch::Run &Found = Entry.m_Running[Print];
  if (Found.m_Count == 0) {
    Found.m_Target = Target;
    Found.m_Incarnation = Incarnation;
  }
  ++Found.m_Count;
}

void noteRunEnded(Watch &Entry, Fingerprint Print) {
  const auto Found = Entry.m_Running.find(Print);
  WASABIVALE_INVARIANT(Found != Entry.m_Running.end());
  WASABIVALE_INVARIANT(Found->second.m_Count > 0);
  if (--Found->second.m_Count == 0)
    Entry.m_Running.erase(Found);
}

Crash noteCrash(Watch &Entry, const TargetId &Target,
                std::string_view Incarnation, TimePoint Now) {
  Crash Seen{Target, std::string(Incarnation), {}};
  for (const auto &[Print, Where] : Entry.m_Running) {
    if (Where.m_Target != Target || Where.m_Incarnation != Incarnation)
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
  }
}

} // namespace wasabivale::retries
