// Requests that crash targets after their answer has begun.

#include "retries/retries.h"

#include <algorithm>
#include <set>

namespace wasabivale::retries {

namespace {

/// A run of one content at a crash.
struct Presence {
  CrashKey m_Crash;
  TimePoint m_CrashedAt;
  BegunRun m_Run;
};
using Presences = std::vector<Presence>;

const BegunRun *findRun(const BegunCrash &Crash, Trait Content) {
  const auto Found = std::find_if(
      Crash.m_Runs.begin(), Crash.m_Runs.end(),
      [Content](const BegunRun &Run) { return Run.m_Content == Content; });
  return Found == Crash.m_Runs.end() ? nullptr : &*Found;
}

/// When control decides on a run: other entries have reported by then, and a
/// bystander has had time to get past the place.
TimePoint decisionTime(const TraitSettings &Options, const BegunCrash &Crash,
                       const BegunRun &Run) {
  return Crash.m_ReportedAt + Options.m_ReportTime +
         std::min(Run.m_Ran * Options.m_PassingFactor,
                  Options.m_MaxPassingTime);
}

/// Crashes at which the content ran, as far as they can be decided on; the
/// first one first.
Presences presencesOf(const TraitTable &Table, Trait Content, TimePoint Now) {
  Presences Found;
  for (const auto &[Key, Crash] : Table.m_BegunCrashes)
    if (const BegunRun *Run = findRun(Crash, Content);
        Run != nullptr && decisionTime(Table.m_Settings, Crash, *Run) <= Now)
      Found.push_back({Key, Crash.m_ReportedAt, *Run});
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Presence &Left, const Presence &Right) {
                     return Left.m_CrashedAt < Right.m_CrashedAt;
                   });
  return Found;
}

/// Leaves out crashes that came while the run before was still under way: they
/// may have one cause that is not the content.
Presences withoutCopies(const Presences &All) {
  Presences Sequence;
  for (const Presence &Each : All)
    if (Sequence.empty() ||
        Each.m_CrashedAt - Each.m_Run.m_Ran > Sequence.back().m_CrashedAt)
      Sequence.push_back(Each);
  return Sequence;
}

/// Whether all runs ended at the same place: of their try, or of the answer.
bool endAtOnePlace(const TraitSettings &Options, const Presences &Runs) {
  const auto IsOnePlace = [&](std::uint64_t BegunRun::*Place) {
    const auto [Least, Most] = std::minmax_element(
        Runs.begin(), Runs.end(),
        [Place](const Presence &Left, const Presence &Right) {
          return Left.m_Run.*Place < Right.m_Run.*Place;
        });
    return Most->m_Run.*Place - Least->m_Run.*Place <= Options.m_PlaceTolerance;
  };
  return IsOnePlace(&BegunRun::m_Events) || IsOnePlace(&BegunRun::m_Offset);
}

/// Whether another content explains the same crashes: it ran at each of them
/// and ended at one place, too.
bool hasRival(const TraitTable &Table, Trait Content, const Presences &Runs) {
  const auto IsRival = [&](Trait Other) {
    Presences Others;
    for (const Presence &Each : Runs) {
      const BegunRun *Run =
          findRun(Table.m_BegunCrashes.at(Each.m_Crash), Other);
      if (Run == nullptr)
        return false;
      Others.push_back({Each.m_Crash, Each.m_CrashedAt, *Run});
    }
    return endAtOnePlace(Table.m_Settings, Others);
  };
  const BegunCrash &First = Table.m_BegunCrashes.at(Runs.front().m_Crash);
  return std::any_of(
      First.m_Runs.begin(), First.m_Runs.end(), [&](const BegunRun &Run) {
        return Run.m_Content != Content && IsRival(Run.m_Content);
      });
}

/// Crashes since some time before the first one of the content, of targets that
/// ran other requests of its route but not the content.
std::size_t crashesWithout(const TraitTable &Table, Trait Content,
                           const Presences &Runs) {
  return static_cast<std::size_t>(std::count_if(
      Table.m_BegunCrashes.begin(), Table.m_BegunCrashes.end(),
      [&](const auto &Item) {
        const BegunCrash &Crash = Item.second;
        return Crash.m_ReportedAt + Table.m_Settings.m_MixedCrashWindow >=
                   Runs.front().m_CrashedAt &&
               findRun(Crash, Content) == nullptr &&
               Crash.m_Routes.contains(Runs.front().m_Run.m_Route);
      }));
}

bool isGuilty(const TraitTable &Table, Trait Content, TimePoint Now) {
  const Presences Runs = withoutCopies(presencesOf(Table, Content, Now));
  if (Runs.size() < Table.m_Settings.m_BegunCrashesToQuarantine)
    return false;
  const std::size_t Others = crashesWithout(Table, Content, Runs);
  const bool IsEnough =
      Others == 0 ||
      (Runs.size() > Others &&
       Runs.size() >= Table.m_Settings.m_MixedCrashesToQuarantine);
  return IsEnough && endAtOnePlace(Table.m_Settings, Runs) &&
         !hasRival(Table, Content, Runs);
}

} // namespace

void recordBegunRuns(TraitTable &Table, const TraitCrash &Report,
                     TimePoint Now) {
  if (Report.m_Begun.empty())
    return;
  const auto [Found, Added] =
      Table.m_BegunCrashes.try_emplace({Report.m_Target, Report.m_Incarnation});
  BegunCrash &Crash = Found->second;
  if (Added)
    Crash.m_ReportedAt = Now;
  if (Now - Crash.m_ReportedAt > Table.m_Settings.m_ReportTime)
    return;
  for (const BegunRun &Run : Report.m_Begun) {
    Crash.m_Routes.insert(Run.m_Route);
    if (findRun(Crash, Run.m_Content) == nullptr &&
        Crash.m_Runs.size() < Table.m_Settings.m_MaxBegunRuns)
      Crash.m_Runs.push_back(Run);
  }
  while (Table.m_BegunCrashes.size() > Table.m_Settings.m_MaxBegunCrashes)
    Table.m_BegunCrashes.erase(std::min_element(
        Table.m_BegunCrashes.begin(), Table.m_BegunCrashes.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.m_ReportedAt < Right.second.m_ReportedAt;
        }));
  scheduleBegunDecision(Table);
}

bool areKnownBegunRuns(const TraitTable &Table, const TraitCrash &Report,
                       TimePoint Now) {
  if (Report.m_Begun.empty())
    return true;
  const auto Found =
      Table.m_BegunCrashes.find({Report.m_Target, Report.m_Incarnation});
  // Runs of a known crash that are missing were acquitted or not kept.
  return Found != Table.m_BegunCrashes.end() &&
         (Now - Found->second.m_ReportedAt > Table.m_Settings.m_ReportTime ||
          std::all_of(Report.m_Begun.begin(), Report.m_Begun.end(),
                      [&](const BegunRun &Run) {
                        return findRun(Found->second, Run.m_Content) != nullptr;
                      }));
}

/// Contents that ran at enough crashes to be decided on, with the time at which
/// enough of their runs, and one that is not decided yet, can be.
static std::map<Trait, TimePoint> openDecisions(const TraitTable &Table) {
  struct Content {
    std::vector<TimePoint> m_All;
    TimePoint m_FirstOpen = TimePoint::max();
  };
  const std::size_t Needed = Table.m_Settings.m_BegunCrashesToQuarantine;
  if (Table.m_BegunCrashes.size() < Needed)
    return {};
  std::map<Trait, Content> Contents;
  for (const auto &[Key, Crash] : Table.m_BegunCrashes)
    for (const BegunRun &Run : Crash.m_Runs) {
      Content &Known = Contents[Run.m_Content];
      const TimePoint At = decisionTime(Table.m_Settings, Crash, Run);
      Known.m_All.push_back(At);
      if (!Run.m_IsDecided)
        Known.m_FirstOpen = std::min(Known.m_FirstOpen, At);
    }
  std::map<Trait, TimePoint> Open;
  for (auto &[Value, Known] : Contents) {
    if (Known.m_FirstOpen == TimePoint::max() || Known.m_All.size() < Needed)
      continue;
    const auto Last =
        Known.m_All.begin() + static_cast<std::ptrdiff_t>(Needed) - 1;
    std::nth_element(Known.m_All.begin(), Last, Known.m_All.end());
    Open[Value] = std::max(*Last, Known.m_FirstOpen);
  }
  return Open;
}

void scheduleBegunDecision(TraitTable &Table) {
  Table.m_BegunDecisionAt = TimePoint::max();
  for (const auto &[Content, DecisionAt] : openDecisions(Table))
    Table.m_BegunDecisionAt = std::min(Table.m_BegunDecisionAt, DecisionAt);
}

std::vector<Trait> decideBegunRuns(TraitTable &Table, TimePoint Now) {
  if (Now < Table.m_BegunDecisionAt)
    return {};
  std::set<Trait> Candidates;
  for (const auto &[Content, DecisionAt] : openDecisions(Table))
    if (DecisionAt <= Now)
      Candidates.insert(Content);
  for (auto &[Key, Crash] : Table.m_BegunCrashes)
    for (BegunRun &Run : Crash.m_Runs)
      Run.m_IsDecided = Run.m_IsDecided ||
                        (Candidates.contains(Run.m_Content) &&
                         decisionTime(Table.m_Settings, Crash, Run) <= Now);
  std::vector<Trait> Guilty;
  std::copy_if(Candidates.begin(), Candidates.end(), std::back_inserter(Guilty),
               [&](Trait Content) { return isGuilty(Table, Content, Now); });
  // They explain their crashes, which then speak against nothing else.
  for (const Trait Content : Guilty)
    for (auto &[Key, Crash] : Table.m_BegunCrashes)
      if (findRun(Crash, Content) != nullptr) {
        Crash.m_Runs.clear();
        Crash.m_Routes.clear();
      }
  scheduleBegunDecision(Table);
  return Guilty;
}

void acquitBegunRuns(TraitTable &Table, Trait Content) {
  std::size_t Removed = 0;
  for (auto &[Key, Crash] : Table.m_BegunCrashes)
    Removed += std::erase_if(Crash.m_Runs, [Content](const BegunRun &Run) {
      return Run.m_Content == Content;
    });
  if (Removed > 0)
    scheduleBegunDecision(Table);
}

bool hasBegunRuns(const TraitTable &Table, Trait Content) {
  return std::any_of(
      Table.m_BegunCrashes.begin(), Table.m_BegunCrashes.end(),
      [&](const auto &Item) { return findRun(Item.second, Content); });
}

} // namespace wasabivale::retries
