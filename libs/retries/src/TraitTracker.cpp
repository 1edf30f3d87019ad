// An entry's view of traits of requests that crash targets.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

constexpr std::chrono::seconds SweepInterval{1};
/// When a request of a route on trial may come back to another entry.
constexpr std::chrono::seconds TrialRetryAfter{1};

void rememberSound(TraitTracker &Tracker, Trait Value, TimePoint Now) {
  if (Tracker.m_RecentlySound.size() >= Tracker.m_MaxSound &&
      !Tracker.m_RecentlySound.contains(Value)) {
    if (Now < Tracker.m_NextSweep)
      return;
    Tracker.m_NextSweep = Now + SweepInterval;
    std::erase_if(Tracker.m_RecentlySound, [&](const auto &Each) {
      return Now - Each.second > Tracker.m_SoundDuration;
    });
    if (Tracker.m_RecentlySound.size() >= Tracker.m_MaxSound)
      return;
  }
  Tracker.m_RecentlySound[Value] = Now;
}

bool isSuspect(const TraitTracker &Tracker, Trait Value) {
  return Tracker.m_Evidence.contains(Value) ||
         std::any_of(Tracker.m_Quarantines.begin(), Tracker.m_Quarantines.end(),
                     [Value](const TraitQuarantine &Each) {
                       return std::binary_search(Each.m_Traits.begin(),
                                                 Each.m_Traits.end(), Value);
                     });
}

/// What is known of a suspect route: from control, or else from crashes that
/// this entry has observed.
const TraitEvidence *findRoute(const TraitTracker &Tracker, Trait Route,
                               TimePoint Now) {
  if (const auto Notified = Tracker.m_Evidence.find(Route);
      Notified != Tracker.m_Evidence.end() &&
      Notified->second.m_ExpiresAt > Now)
    return &Notified->second;
  const auto Own = Tracker.m_Own.m_Evidence.find(Route);
  return Own != Tracker.m_Own.m_Evidence.end() && Own->second.m_ExpiresAt > Now
             ? &Own->second
             : nullptr;
}

/// Crashes that an entry remembers the begun runs of at most.
constexpr std::size_t MaxBegunAtCrash = 4096;

void recordSoundTrait(TraitTracker &Tracker, Trait Value, TimePoint Now) {
  if (isSuspect(Tracker, Value) || Tracker.m_BegunAtCrash.erase(Value) > 0)
    Tracker.m_Sound.insert(Value);
  applySoundTrait(Tracker.m_Own, Value, Now);
}

} // namespace

std::optional<TimePoint> quarantinedUntil(const TraitTracker &Tracker,
                                          const RequestTraits &Request,
                                          TimePoint Now) {
  const auto Told = quarantinedUntil(Tracker.m_Quarantines, Request, Now);
  const auto Own = quarantinedUntil(Tracker.m_Own.m_Quarantines, Request, Now);
  return Told && Own ? std::max(Told, Own) : Told ? Told : Own;
}

bool isRouteSuspect(const TraitTracker &Tracker, const RequestTraits &Request) {
  return isRouteSuspect(Tracker.m_Own.m_Evidence, Request) ||
         isRouteSuspect(Tracker.m_Evidence, Request);
}

RouteDecision evaluateRoute(const TraitTracker &Tracker,
                            const RequestTraits &Request, TimePoint Now,
                            bool HoldsTrial) {
  if (Request.m_Route == 0 || !Request.m_Parts.empty())
    return {};
  const auto Own = Tracker.m_Own.m_Evidence.find(Request.m_Route);
  if (Own != Tracker.m_Own.m_Evidence.end() && Now < Own->second.m_PausedUntil)
    return {RouteGate::Closed, Own->second.m_PausedUntil};
  const TraitEvidence *Known = findRoute(Tracker, Request.m_Route, Now);
  if (Known == nullptr)
    return {};
  if (Now < Known->m_PausedUntil)
    return {RouteGate::Closed, Known->m_PausedUntil};
  if (Known->m_TrialRuns == 0 || HoldsTrial)
    return {};
  const auto Permitted = Tracker.m_TrialsUntil.find(Request.m_Route);
  if (Permitted == Tracker.m_TrialsUntil.end() || Permitted->second <= Now ||
      Tracker.m_InTrial.contains(Request.m_Route))
    return {RouteGate::Closed, Now + TrialRetryAfter};
  return {RouteGate::Trial, Now};
}

void permitTrials(TraitTracker &Tracker, const std::vector<Trait> &Routes,
                  TimePoint Until) {
  Tracker.m_TrialsUntil.clear();
  for (const Trait Route : Routes)
    Tracker.m_TrialsUntil[Route] = Until;
}

void startTrial(TraitTracker &Tracker, Trait Route) {
  WASABIVALE_INVARIANT(Tracker.m_InTrial.insert(Route).second);
}

void endTrial(TraitTracker &Tracker, Trait Route) {
  WASABIVALE_INVARIANT(Tracker.m_InTrial.erase(Route) == 1);
}

bool mayRetryAfterCrash(const TraitTracker &Tracker,
                        const RequestTraits &Request) {
  // The crash itself is in the entry's own table, and not yet in control's.
  return crashesOf(Tracker.m_Own.m_Evidence, Request) <= 1 &&
         crashesOf(Tracker.m_Evidence, Request) == 0 &&
         !isRouteSuspect(Tracker, Request);
}

void recordSound(TraitTracker &Tracker, const RequestTraits &Request,
                 TimePoint Now, bool HoldsTrial) {
  recordSoundTrait(Tracker, Request.m_Content, Now);
  rememberSound(Tracker, Request.m_Content, Now);
  if (HoldsTrial)
    recordSoundTrait(Tracker, Request.m_Route, Now);
  for (const Trait Part : Request.m_Parts) {
    recordSoundTrait(Tracker, Part, Now);
    rememberSound(Tracker, Part, Now);
  }
}

void reportSoundAgain(TraitTracker &Tracker, const std::set<Trait> &Sent) {
  for (const Trait Value : Sent) {
    const auto Known = Tracker.m_Evidence.find(Value);
    if (Known == Tracker.m_Evidence.end() || !isRoute(Known->second))
      Tracker.m_Sound.insert(Value);
  }
}

TraitCrash recordBegunAtCrash(TraitTracker &Tracker, const TargetId &Target,
                              const std::string &Incarnation,
                              const BegunRun &Run, TimePoint Now) {
  if (Tracker.m_BegunAtCrash.size() >= MaxBegunAtCrash)
    std::erase_if(Tracker.m_BegunAtCrash, [Now](const auto &Each) {
      return Each.second.m_ForgottenAt <= Now;
    });
  if (Tracker.m_BegunAtCrash.size() < MaxBegunAtCrash ||
      Tracker.m_BegunAtCrash.contains(Run.m_Content)) {
    TraitTracker::BegunContent &Known = Tracker.m_BegunAtCrash[Run.m_Content];
    Known.m_Events = std::max(Known.m_Events, Run.m_Events);
    Known.m_ForgottenAt = Now + Tracker.m_Own.m_Settings.m_EvidenceDuration;
  }
  return {Target, Incarnation, {}, {Run}};
}

std::optional<std::uint64_t> eventsToPass(const TraitTracker &Tracker,
                                          Trait Content, TimePoint Now) {
  const auto Found = Tracker.m_BegunAtCrash.find(Content);
  if (Found == Tracker.m_BegunAtCrash.end() ||
      Found->second.m_ForgottenAt <= Now)
    return std::nullopt;
  return Found->second.m_Events + Tracker.m_Own.m_Settings.m_PlaceTolerance + 1;
}

void recordPassed(TraitTracker &Tracker, Trait Content) {
  if (Tracker.m_BegunAtCrash.erase(Content) > 0)
    Tracker.m_Sound.insert(Content);
}

TraitCrash recordWaitingAtCrash(TraitTracker &Tracker, const TargetId &Target,
                                const std::string &Incarnation,
                                const RequestTraits &Request, TimePoint Now) {
  TraitCrash Report{Target, Incarnation, {}};
  const auto IsSound = [&](Trait Value) {
    const auto Found = Tracker.m_RecentlySound.find(Value);
    if (Found == Tracker.m_RecentlySound.end() ||
        Now - Found->second > Tracker.m_SoundDuration)
      return false;
    // Reports of other entries may blame it.
    Tracker.m_Sound.insert(Value);
    return true;
  };
  if (IsSound(Request.m_Content))
    return Report;
  Report.m_Waiting.push_back(Request);
  std::erase_if(Report.m_Waiting.front().m_Parts, IsSound);
  applyTraitCrash(Tracker.m_Own, Report, Now);
  return Report;
}

} // namespace wasabivale::retries
