// Evidence against traits of requests that crash targets.

#include "retries/retries.h"

#include <algorithm>
#include <iterator>

namespace wasabivale::retries {

namespace {

/// Crashes from which on a request explains a crash by itself.
constexpr std::uint32_t CrashesToExplain = 2;

bool includesAll(const RequestTraits &Request, const TraitSet &Traits) {
  return std::all_of(Traits.begin(), Traits.end(), [&](Trait Value) {
    return Value == Request.m_Content ||
           std::binary_search(Request.m_Parts.begin(), Request.m_Parts.end(),
                              Value);
  });
}

TraitSet without(const TraitSet &Traits, Trait Value) {
  TraitSet Rest = Traits;
  std::erase(Rest, Value);
  return Rest;
}

TraitSet intersection(const TraitSet &Left, const TraitSet &Right) {
  TraitSet Both;
  std::set_intersection(Left.begin(), Left.end(), Right.begin(), Right.end(),
                        std::back_inserter(Both));
  return Both;
}

/// Requests that may have caused the crash: if some are suspect already, only
/// the most suspect of them.
std::vector<const RequestTraits *> blamedRequests(const TraitTable &Table,
                                                  const TraitCrash &Report) {
  std::uint32_t MostCrashes = 0;
  for (const RequestTraits &Request : Report.m_Waiting)
    MostCrashes = std::max(MostCrashes, crashesOf(Table.m_Evidence, Request));
  std::vector<const RequestTraits *> Blamed;
  for (const RequestTraits &Request : Report.m_Waiting)
    if (MostCrashes < CrashesToExplain ||
        crashesOf(Table.m_Evidence, Request) == MostCrashes)
      Blamed.push_back(&Request);
  return Blamed;
}

void addAlternatives(const TraitSettings &Options, TraitEvidence &Evidence,
                     const TraitSet &Companions) {
  TraitSet Partial;
  std::set_symmetric_difference(Evidence.m_Companions.begin(),
                                Evidence.m_Companions.end(), Companions.begin(),
                                Companions.end(), std::back_inserter(Partial));
  TraitSet All;
  std::set_union(Evidence.m_Alternatives.begin(), Evidence.m_Alternatives.end(),
                 Partial.begin(), Partial.end(), std::back_inserter(All));
  All.resize(std::min(All.size(), Options.m_MaxAlternatives));
  Evidence.m_Alternatives = std::move(All);
}

/// Whether the request was sent after the crash that was counted last, which it
/// then did not share a cause with.
bool isSentSince(const TraitEvidence &Evidence, const RequestTraits &Request,
                 TimePoint CrashedAt) {
  return Request.m_Waited &&
         CrashedAt - *Request.m_Waited > Evidence.m_LastCrash;
}

void addEvidence(TraitTable &Table, Trait Value, const TraitSet &Companions,
                 const RequestTraits &Request, TimePoint CrashedAt) {
  const TraitSettings &Options = Table.m_Settings;
  const auto [Found, Added] = Table.m_Evidence.try_emplace(Value);
  TraitEvidence &Evidence = Found->second;
  if (Added)
    Evidence.m_Companions = Companions;
  else
    addAlternatives(Options, Evidence, Companions);
  Evidence.m_Companions = intersection(Evidence.m_Companions, Companions);
  if (Evidence.m_Contents.size() < Options.m_RequestsToQuarantine)
    Evidence.m_Contents.insert(Request.m_Content);
  // Different requests with a popular part are sent all the time, also while a
  // rack fails.
  const bool IsSameRequest = Value == Request.m_Content;
  if (Added || Request.m_SentAgain ||
      (IsSameRequest && isSentSince(Evidence, Request, CrashedAt)) ||
      CrashedAt - Evidence.m_LastCrash > Options.m_CommonCauseWindow) {
    ++Evidence.m_Crashes;
    Evidence.m_LastCrash = CrashedAt;
  }
  Evidence.m_ExpiresAt = CrashedAt + Options.m_EvidenceDuration;
}

Duration quarantineTime(const TraitSettings &Options, std::uint32_t Count) {
  constexpr std::uint32_t MaxDoublings = 16;
  return std::min(Options.m_MaxQuarantine,
                  Options.m_QuarantineDuration *
                      (1 << std::min(Count, MaxDoublings)));
}

void startQuarantine(const TraitSettings &Options, TraitQuarantine &Quarantine,
                     TimePoint Now) {
  Quarantine.m_EndsAt = Now + quarantineTime(Options, Quarantine.m_Count);
  Quarantine.m_ForgottenAt = Quarantine.m_EndsAt + Options.m_ProbationDuration;
  ++Quarantine.m_Count;
}

/// Whether the request is quarantined, or was until not long ago; in that case
/// the quarantine is renewed.
bool renewQuarantines(TraitTable &Table, const RequestTraits &Request,
                      TimePoint Now) {
  bool Found = false;
  for (TraitQuarantine &Each : Table.m_Quarantines) {
    if (!includesAll(Request, Each.m_Traits))
      continue;
    Found = true;
    if (Each.m_EndsAt <= Now)
      startQuarantine(Table.m_Settings, Each, Now);
  }
  return Found;
}

/// Pauses a route that was suspect when one more of its requests crashed a
/// target. Requests that were under way at the start of a pause count once.
void pauseRoute(TraitTable &Table, const RequestTraits &Request,
                TimePoint CrashedAt, TimePoint Now) {
  const TraitSettings &Options = Table.m_Settings;
  TraitEvidence &Route = Table.m_Evidence[Request.m_Route];
  if (CrashedAt < Route.m_PausedUntil)
    return;
  Duration Pause = Options.m_RoutePause;
  for (std::uint32_t I = 0;
       I < Route.m_Pauses && Pause < Options.m_MaxRoutePause; ++I)
    Pause *= Options.m_RoutePauseFactor;
  Route.m_PausedUntil = Now + std::min(Pause, Options.m_MaxRoutePause);
  Route.m_ExpiresAt = Route.m_PausedUntil + Options.m_RouteSuspicion;
  ++Route.m_Pauses;
  Route.m_TrialRuns = Route.m_Pauses * Options.m_TrialRunsPerPause;
}

/// Whether a quarantine holds for the request, or did until not long ago.
bool isEverQuarantined(const TraitTable &Table, const RequestTraits &Request) {
  return std::any_of(Table.m_Quarantines.begin(), Table.m_Quarantines.end(),
                     [&](const TraitQuarantine &Quarantine) {
                       return includesAll(Request, Quarantine.m_Traits);
                     });
}

/// Suspects the route of a request that has crashed two targets. What its other
/// requests have in common with that one may not show before they crash one.
void suspectRoute(TraitTable &Table, const RequestTraits &Request,
                  TimePoint Now) {
  const auto Found = Table.m_Evidence.find(Request.m_Content);
  if (Request.m_Route == 0 || !Request.m_Parts.empty() ||
      Found == Table.m_Evidence.end() ||
      Found->second.m_Crashes < CrashesToExplain)
    return;
  TraitEvidence &Route = Table.m_Evidence[Request.m_Route];
  const auto Recent = std::count_if(
      Table.m_Crashes.begin(), Table.m_Crashes.end(), [&](const auto &Item) {
        return Item.second.m_Routes.contains(Request.m_Route) &&
               Now - Item.second.m_ReportedAt <=
                   Table.m_Settings.m_RouteCrashWindow;
      });
  // The guilty requests of a route may differ from the first crash on.
  if (Recent >= Table.m_Settings.m_CrashesToPause)
    pauseRoute(Table, Request, Now, Now);
  ++Route.m_Crashes;
  Route.m_LastCrash = Now;
  Route.m_ExpiresAt =
      std::max(Route.m_ExpiresAt, Now + Table.m_Settings.m_RouteSuspicion);
}

/// Most crashes against a part that explains some of the trait's as well.
std::uint32_t crashesOfAlternatives(const TraitTable &Table,
                                    const TraitEvidence &Evidence) {
  std::uint32_t Crashes = 0;
  for (const Trait Other : Evidence.m_Alternatives)
    if (const auto Found = Table.m_Evidence.find(Other);
        Found != Table.m_Evidence.end())
      Crashes = std::max(Crashes, Found->second.m_Crashes);
  return Crashes;
}

bool isQuarantineDue(const TraitTable &Table, Trait Value,
                     const TraitEvidence &Evidence) {
  const TraitSettings &Options = Table.m_Settings;
  if (Evidence.m_Crashes < Options.m_CrashesToQuarantine)
    return false;
  const std::uint32_t Others = crashesOfAlternatives(Table, Evidence);
  if (Others > 1 && Evidence.m_Crashes < Others + Options.m_CrashesAhead)
    return false;
  const bool IsContent = Evidence.m_Contents.contains(Value);
  return IsContent ||
         Evidence.m_Contents.size() >= Options.m_RequestsToQuarantine;
}

void quarantine(TraitTable &Table, const TraitSet &Traits, TimePoint Now) {
  if (Table.m_Quarantines.size() >= Table.m_Settings.m_MaxQuarantines)
    Table.m_Quarantines.erase(std::min_element(
        Table.m_Quarantines.begin(), Table.m_Quarantines.end(),
        [](const TraitQuarantine &Left, const TraitQuarantine &Right) {
          return Left.m_EndsAt < Right.m_EndsAt;
        }));
  TraitQuarantine New;
  New.m_Traits = Traits;
  startQuarantine(Table.m_Settings, New, Now);
  Table.m_Quarantines.push_back(std::move(New));
  for (const Trait Value : Traits)
    Table.m_Evidence.erase(Value);
}

void quarantineAfterFirstCrash(TraitTable &Table, const RequestTraits &Request,
                               TimePoint Now) {
  quarantine(Table, {Request.m_Content}, Now);
  TraitQuarantine &New = Table.m_Quarantines.back();
  New.m_EndsAt = Now + Table.m_Settings.m_FirstCrashQuarantine;
  New.m_ForgottenAt = New.m_EndsAt;
  TraitEvidence &Route = Table.m_Evidence[Request.m_Route];
  Route.m_ExpiresAt =
      std::max(Route.m_ExpiresAt, Now + Table.m_Settings.m_RouteSuspicion);
}

/// Quarantines the largest sets first: a part that comes with the guilty one
/// each time is not guilty by itself.
void quarantineDue(TraitTable &Table, TimePoint Now) {
  while (true) {
    TraitSet Largest;
    for (const auto &[Value, Evidence] : Table.m_Evidence) {
      if (!isQuarantineDue(Table, Value, Evidence) ||
          Evidence.m_Companions.size() < Largest.size())
        continue;
      Largest = Evidence.m_Companions;
      Largest.insert(std::lower_bound(Largest.begin(), Largest.end(), Value),
                     Value);
    }
    if (Largest.empty())
      return;
    quarantine(Table, Largest, Now);
  }
}

void evictOldest(TraitTable &Table) {
  while (Table.m_Evidence.size() > Table.m_Settings.m_MaxTraits)
    Table.m_Evidence.erase(std::min_element(
        Table.m_Evidence.begin(), Table.m_Evidence.end(),
        [](const auto &Left, const auto &Right) {
          return std::pair(Left.second.m_Crashes, Left.second.m_ExpiresAt) <
                 std::pair(Right.second.m_Crashes, Right.second.m_ExpiresAt);
        }));
  while (Table.m_Crashes.size() > Table.m_Settings.m_MaxCrashes)
    Table.m_Crashes.erase(std::min_element(
        Table.m_Crashes.begin(), Table.m_Crashes.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.m_ReportedAt < Right.second.m_ReportedAt;
        }));
}

} // namespace

bool isRouteSuspect(const std::map<Trait, TraitEvidence> &Evidence,
                    const RequestTraits &Request) {
  return Request.m_Route != 0 && Request.m_Parts.empty() &&
         Evidence.contains(Request.m_Route);
}

std::vector<Trait> routesOnTrial(const TraitTable &Table, TimePoint Now) {
  std::vector<Trait> Routes;
  for (const auto &[Value, Evidence] : Table.m_Evidence)
    if (Evidence.m_TrialRuns > 0 && Evidence.m_PausedUntil <= Now)
      Routes.push_back(Value);
  return Routes;
}

std::uint32_t crashesOf(const std::map<Trait, TraitEvidence> &Evidence,
                        const RequestTraits &Request) {
  std::uint32_t Crashes = 0;
  const auto Count = [&](Trait Value) {
    const auto Found = Evidence.find(Value);
    if (Found != Evidence.end() &&
        includesAll(Request, Found->second.m_Companions))
      Crashes = std::max(Crashes, Found->second.m_Crashes);
  };
  Count(Request.m_Content);
  for (const Trait Part : Request.m_Parts)
    Count(Part);
  return Crashes;
}

std::optional<TimePoint>
quarantinedUntil(const std::vector<TraitQuarantine> &Quarantines,
                 const RequestTraits &Request, TimePoint Now) {
  std::optional<TimePoint> Until;
  for (const TraitQuarantine &Each : Quarantines)
    if (Each.m_EndsAt > Now && includesAll(Request, Each.m_Traits))
      Until = std::max(Until.value_or(Each.m_EndsAt), Each.m_EndsAt);
  return Until;
}

bool isKnownCrash(const TraitTable &Table, const TraitCrash &Report,
                  TimePoint Now) {
  const auto Found =
      Table.m_Crashes.find({Report.m_Target, Report.m_Incarnation});
  if (!areKnownBegunRuns(Table, Report, Now))
    return false;
  if (Report.m_Waiting.empty())
    return true;
  return Found != Table.m_Crashes.end() &&
         std::all_of(Report.m_Waiting.begin(), Report.m_Waiting.end(),
                     [&](const RequestTraits &Request) {
                       return Found->second.m_Contents.contains(
                           Request.m_Content);
                     });
}

void applyTraitCrash(TraitTable &Table, const TraitCrash &Report,
                     TimePoint Now) {
  expireTraits(Table, Now);
  if (isKnownCrash(Table, Report, Now))
    return;
  recordBegunRuns(Table, Report, Now);
  if (Report.m_Waiting.empty())
    return;
  const auto [Found, Added] =
      Table.m_Crashes.try_emplace({Report.m_Target, Report.m_Incarnation});
  TraitTable::CrashRecord &Record = Found->second;
  if (Added)
    Record.m_ReportedAt = Now;
  ++Table.m_Revision;
  TraitCrash Unknown = Report;
  for (RequestTraits &Request : Unknown.m_Waiting)
    std::erase_if(Request.m_Parts, [&](Trait Part) {
      return Table.m_AcquittedUntil.contains(Part);
    });
  std::erase_if(Unknown.m_Waiting, [&](const RequestTraits &Request) {
    return !Record.m_Contents.insert(Request.m_Content).second;
  });
  for (const RequestTraits &Request : Unknown.m_Waiting)
    if (Request.m_Route != 0)
      Record.m_Routes.insert(Request.m_Route);
  bool Explained = false;
  for (const RequestTraits &Request : Report.m_Waiting)
    Explained = renewQuarantines(Table, Request, Now) || Explained;
  const auto Blamed = Explained ? std::vector<const RequestTraits *>{}
                                : blamedRequests(Table, Unknown);
  for (const RequestTraits &Request : Unknown.m_Waiting) {
    const bool IsCulprit = Explained ? isEverQuarantined(Table, Request)
                                     : std::find(Blamed.begin(), Blamed.end(),
                                                 &Request) != Blamed.end();
    if (IsCulprit && isRouteSuspect(Table.m_Evidence, Request))
      pauseRoute(Table, Request, Record.m_ReportedAt, Now);
  }
  for (const RequestTraits *Request : Blamed) {
    addEvidence(Table, Request->m_Content, {}, *Request, Record.m_ReportedAt);
    for (const Trait Part : Request->m_Parts)
      addEvidence(Table, Part, without(Request->m_Parts, Part), *Request,
                  Record.m_ReportedAt);
    suspectRoute(Table, *Request, Now);
  }
  quarantineDue(Table, Now);
  for (const RequestTraits *Request : Blamed)
    if (isRouteSuspect(Table.m_Evidence, *Request) &&
        !quarantinedUntil(Table.m_Quarantines, *Request, Now))
      quarantineAfterFirstCrash(Table, *Request, Now);
  evictOldest(Table);
}

bool isSuspectTrait(const TraitTable &Table, Trait Value) {
  return Table.m_Evidence.contains(Value) || hasBegunRuns(Table, Value) ||
         std::any_of(Table.m_Quarantines.begin(), Table.m_Quarantines.end(),
                     [Value](const TraitQuarantine &Each) {
                       return std::binary_search(Each.m_Traits.begin(),
                                                 Each.m_Traits.end(), Value);
                     });
}

void applySoundTrait(TraitTable &Table, Trait Value, TimePoint Now) {
  expireTraits(Table, Now);
  if (!isSuspectTrait(Table, Value))
    return;
  const auto Found = Table.m_Evidence.find(Value);
  if (Found != Table.m_Evidence.end() && isRoute(Found->second)) {
    // A request that was sent before the pause says nothing of the route since.
    if (Found->second.m_TrialRuns == 0 || Found->second.m_PausedUntil > Now)
      return;
    ++Table.m_Revision;
    --Found->second.m_TrialRuns;
    return;
  }
  ++Table.m_Revision;
  acquitBegunRuns(Table, Value);
  Table.m_Evidence.erase(Value);
  if (Table.m_AcquittedUntil.size() < Table.m_Settings.m_MaxTraits)
    Table.m_AcquittedUntil[Value] = Now + Table.m_Settings.m_AcquittalDuration;
  for (auto &[Other, Evidence] : Table.m_Evidence) {
    std::erase(Evidence.m_Companions, Value);
    std::erase(Evidence.m_Alternatives, Value);
  }
  for (TraitQuarantine &Each : Table.m_Quarantines)
    std::erase(Each.m_Traits, Value);
  std::erase_if(Table.m_Quarantines, [](const TraitQuarantine &Each) {
    return Each.m_Traits.empty();
  });
}

void expireTraits(TraitTable &Table, TimePoint Now) {
  const std::size_t Removed =
      std::erase_if(
          Table.m_Evidence,
          [Now](const auto &Each) { return Each.second.m_ExpiresAt <= Now; }) +
      std::erase_if(Table.m_Quarantines, [Now](const TraitQuarantine &Each) {
        return Each.m_ForgottenAt <= Now;
      });
  std::erase_if(Table.m_AcquittedUntil,
                [Now](const auto &Each) { return Each.second <= Now; });
  std::erase_if(Table.m_Crashes, [&](const auto &Each) {
    return Each.second.m_ReportedAt + Table.m_Settings.m_EvidenceDuration <=
           Now;
  });
  if (std::erase_if(Table.m_BegunCrashes, [&](const auto &Each) {
        return Each.second.m_ReportedAt + Table.m_Settings.m_EvidenceDuration <=
               Now;
      }) > 0)
    scheduleBegunDecision(Table);
  const std::vector<Trait> Guilty = decideBegunRuns(Table, Now);
  for (const Trait Content : Guilty)
    if (!renewQuarantines(Table, {Content, {}}, Now))
      quarantine(Table, {Content}, Now);
  if (Removed > 0 || !Guilty.empty())
    ++Table.m_Revision;
}

} // namespace wasabivale::retries
