// An entry's view of traits of requests that crash targets.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

constexpr std::chrono::seconds SweepInterval{1};

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

void recordSoundTrait(TraitTracker &Tracker, Trait Value, TimePoint Now) {
  if (isSuspect(Tracker, Value))
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

bool mayRetryAfterCrash(const TraitTracker &Tracker,
                        const RequestTraits &Request) {
  // The crash itself is in the entry's own table, and not yet in control's.
  return crashesOf(Tracker.m_Own.m_Evidence, Request) <= 1 &&
         crashesOf(Tracker.m_Evidence, Request) == 0 &&
         !isRouteSuspect(Tracker, Request);
}

void recordSound(TraitTracker &Tracker, const RequestTraits &Request,
                 TimePoint Now) {
  recordSoundTrait(Tracker, Request.m_Content, Now);
  rememberSound(Tracker, Request.m_Content, Now);
  for (const Trait Part : Request.m_Parts) {
    recordSoundTrait(Tracker, Part, Now);
    rememberSound(Tracker, Part, Now);
  }
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
