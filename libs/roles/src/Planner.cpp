#include "Pools.h"
#include "roles/roles.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wasabivale::roles {

namespace {

using namespace std::chrono_literals;

constexpr Duration BudgetWindow = 1h;
/// Points of the horizon at which the forecast is evaluated.
constexpr int HorizonPoints = 6;
/// Smoothing times that are watched before the first change.
constexpr int LearningTimes = 5;
/// Growth of the evidence needed with each unpaid change, and its limit.
constexpr double UnpaidFactor = 4;
constexpr std::uint32_t MostUnpaid = 4;
constexpr std::array<Role, RoleCount> AllRoles{Role::Mixed, Role::Prefill,
                                               Role::Decode};

std::size_t indexOf(Role Value) { return static_cast<std::size_t>(Value); }

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// One engine that could be moved, and the splits during and after the move.
struct Candidate {
  const Engine *m_Engine = nullptr;
  Role m_To = Role::Mixed;
  SplitCapacity m_During;
  SplitCapacity m_After;
};

/// What one step works with for one pool.
struct Context {
  const Policy &m_Rules;
  const Pool &m_Pool;
  PoolState &m_State;
  SplitCapacity m_Today;
  double m_Smoothing = 0;
  Duration m_Interval{0};
  TimePoint m_Now;
};

// --- Demand ---------------------------------------------------------------

void observeDemand(PoolState &Of, const WorkRate &Rates, double Smoothing) {
  observe(Of.m_Requests, Rates.m_Requests, Smoothing);
  observe(Of.m_Prefill, Rates.m_PrefillTokens, Smoothing);
  observe(Of.m_Decode, Rates.m_DecodeTokens, Smoothing);
}

WorkRate smoothedDemand(const PoolState &Of) {
  return {std::max(0.0, Of.m_Requests.m_Level),
          std::max(0.0, Of.m_Prefill.m_Level),
          std::max(0.0, Of.m_Decode.m_Level)};
}

/// Forecast after \p After, shifted by multiples of the deviations.
WorkRate expectedDemand(const Context &In, Duration After, double PrefillShift,
                        double DecodeShift) {
  double Intervals = seconds(After) / seconds(In.m_Interval);
  const PoolState &Of = In.m_State;
  Forecast Requests = forecastAfter(Of.m_Requests, Intervals, In.m_Smoothing);
  Forecast Prefill = forecastAfter(Of.m_Prefill, Intervals, In.m_Smoothing);
  Forecast Decode = forecastAfter(Of.m_Decode, Intervals, In.m_Smoothing);
  auto Shifted = [](const Forecast &Value, double Shift) {
    return std::max(0.0, Value.m_Mean + Shift * Value.m_Deviation);
  };
  return {Requests.m_Mean, Shifted(Prefill, PrefillShift),
          Shifted(Decode, DecodeShift)};
}

// --- Candidates -----------------------------------------------------------

/// How well an engine suits prefill rather than decode.
double prefillLeaning(const Engine &Of) {
  return Of.m_PrefillTokensPerSecond /
         std::max(1e-9, Of.m_DecodeTokensPerSecond);
}

/// The engine of \p From that suits a move to \p To best; among equals the one
/// with the least running.
const Engine *bestEngine(const Pool &In, Role From, Role To) {
  bool WantsPrefill =
      To == Role::Prefill || (To == Role::Mixed && From == Role::Decode);
  double Sign = WantsPrefill ? -1 : 1;
  const Engine *Best = nullptr;
  auto Rank = [Sign](const Engine &Of) {
    return std::make_tuple(Sign * prefillLeaning(Of), Of.m_Running,
                           Of.m_Id.m_Value);
  };
  for (const Engine *Each : In.m_Engines) {
    if (Each->m_State != EngineState::Serving || Each->m_Role != From)
      continue;
    if (Best == nullptr || Rank(*Each) < Rank(*Best))
      Best = Each;
  }
  return Best;
}

std::array<std::uint32_t, RoleCount> countServing(const Pool &In) {
  std::array<std::uint32_t, RoleCount> Counts{};
  for (const Engine *Each : In.m_Engines)
    if (Each->m_State == EngineState::Serving)
      ++Counts[indexOf(Each->m_Role)];
  return Counts;
}

/// Whether the split can still run a whole request.
bool isComplete(const SplitCapacity &Split) {
  return sustainableLoadFactor(Split, {1, 1, 1}) > 0;
}

std::vector<Candidate> candidatesOf(const Context &In) {
  std::array<std::uint32_t, RoleCount> Counts = countServing(In.m_Pool);
  std::vector<Candidate> Found;
  for (Role From : AllRoles) {
    std::size_t Index = indexOf(From);
    if (Counts[Index] <= In.m_Rules.m_MinEngines[Index])
      continue;
    for (Role To : AllRoles) {
      if (To == From)
        continue;
      const Engine *Moved = bestEngine(In.m_Pool, From, To);
      if (Moved == nullptr)
        continue;
      Candidate Made{Moved, To, {}, {}};
      Made.m_During = capacityOf(In.m_Pool, In.m_Rules, Moved);
      Made.m_After = Made.m_During;
      addEngine(Made.m_After, To, mixedRates(*Moved), In.m_Rules, 1);
      if (isComplete(Made.m_During) && isComplete(Made.m_After))
        Found.push_back(Made);
    }
  }
  return Found;
}

// --- Gain, cost and evidence ----------------------------------------------

/// Answers that \p Of wins over the horizon, less those lost while the engine
/// is away, when demand deviates from its forecast by the given shifts.
double gainOf(const Context &In, const Candidate &Of, double PrefillShift,
              double DecodeShift) {
  const Policy &Rules = In.m_Rules;
  WorkRate Soon =
      expectedDemand(In, Rules.m_ChangeDuration / 2, PrefillShift, DecodeShift);
  double Gain =
      seconds(Rules.m_ChangeDuration) *
      (goodput(Of.m_During, Soon, Rules) - goodput(In.m_Today, Soon, Rules));
  Duration Slice = (Rules.m_Horizon - Rules.m_ChangeDuration) / HorizonPoints;
  for (int Point = 0; Point < HorizonPoints; ++Point) {
    Duration At = Rules.m_ChangeDuration + Slice * Point + Slice / 2;
    WorkRate Then = expectedDemand(In, At, PrefillShift, DecodeShift);
    Gain += seconds(Slice) * (goodput(Of.m_After, Then, Rules) -
                              goodput(In.m_Today, Then, Rules));
  }
  return Gain;
}

/// Deviation of the gain to first order in the two forecasts' deviations.
double deviationOf(const Context &In, const Candidate &Of) {
  double ByPrefill = (gainOf(In, Of, 1, 0) - gainOf(In, Of, -1, 0)) / 2;
  double ByDecode = (gainOf(In, Of, 0, 1) - gainOf(In, Of, 0, -1)) / 2;
  return std::hypot(ByPrefill, ByDecode);
}

double costOfChange(const Context &In, double GoodputToday) {
  double Engines = 0;
  for (const Engine *Each : In.m_Pool.m_Engines)
    if (Each->m_State == EngineState::Serving)
      ++Engines;
  double PerEngine = Engines > 0 ? GoodputToday / Engines : 0;
  return In.m_Rules.m_CostAnswers +
         seconds(In.m_Rules.m_CostEngineTime) * PerEngine;
}

double unpaidFactor(const PoolState &Of) {
  return std::pow(UnpaidFactor, std::min(Of.m_UnpaidCount, MostUnpaid));
}

double evidenceNeeded(const Context &In, double Cost) {
  return In.m_Rules.m_EvidenceShare * Cost;
}

/// Adds what the last interval lost for want of each candidate. Sums are cut
/// at zero, so that they start anew when a shift begins; after unpaid changes
/// they are cut deeper, so that a swing must outweigh the one before it.
void updateEvidence(const Context &In, const std::vector<Candidate> &All,
                    double Cost) {
  double Least = -Cost * (unpaidFactor(In.m_State) - 1);
  WorkRate Work = smoothedDemand(In.m_State);
  double Today = goodput(In.m_Today, Work, In.m_Rules);
  Evidence Next{};
  for (const Candidate &Each : All) {
    double Lost = goodput(Each.m_After, Work, In.m_Rules) - Today;
    std::size_t From = indexOf(Each.m_Engine->m_Role);
    std::size_t To = indexOf(Each.m_To);
    double Before = In.m_State.m_Evidence[From][To];
    Next[From][To] = std::max(Least, Before + Lost * seconds(In.m_Interval));
  }
  In.m_State.m_Evidence = Next;
}

/// Adds what the last change won in the last interval.
void updateRealised(const Context &In) {
  if (!In.m_State.m_LastChange)
    return;
  LastChange &Last = *In.m_State.m_LastChange;
  SplitCapacity Undone = In.m_Today;
  addEngine(Undone, Last.m_Change.m_To, Last.m_Rates, In.m_Rules, -1);
  addEngine(Undone, Last.m_Change.m_From, Last.m_Rates, In.m_Rules, 1);
  for (Capacity &Each : Undone) {
    Each.m_PrefillTokens = std::max(0.0, Each.m_PrefillTokens);
    Each.m_DecodeTokens = std::max(0.0, Each.m_DecodeTokens);
  }
  WorkRate Work = smoothedDemand(In.m_State);
  double Won =
      goodput(In.m_Today, Work, In.m_Rules) - goodput(Undone, Work, In.m_Rules);
  Last.m_RealisedGain += Won * seconds(In.m_Interval);
}

/// Above zero when a move adds prefill, below when it adds decode.
int direction(Role From, Role To) {
  constexpr std::array<int, RoleCount> Leaning{0, 1, -1};
  return Leaning[indexOf(To)] - Leaning[indexOf(From)];
}

bool undoes(Role From, Role To, const Change &Earlier) {
  return direction(From, To) * direction(Earlier.m_From, Earlier.m_To) < 0;
}

// --- Decision of one pool -------------------------------------------------

Alternative weigh(const Context &In, const Candidate &Of, double Cost,
                  double Needed) {
  Alternative Made;
  Made.m_Engine = Of.m_Engine->m_Id;
  Made.m_From = Of.m_Engine->m_Role;
  Made.m_To = Of.m_To;
  Made.m_Gain = gainOf(In, Of, 0, 0);
  Made.m_Deviation = deviationOf(In, Of);
  Made.m_Evidence =
      In.m_State.m_Evidence[indexOf(Made.m_From)][indexOf(Made.m_To)];
  const std::optional<LastChange> &Last = In.m_State.m_LastChange;
  bool Undoes = Last && undoes(Made.m_From, Made.m_To, Last->m_Change);
  // A change may be undone before it has paid once that much has been lost.
  bool Cooling =
      Undoes && In.m_Now < Last->m_CooldownEnd && Made.m_Evidence < Cost;
  if (Undoes)
    Needed *= unpaidFactor(In.m_State);
  double Margin = In.m_Rules.m_UncertaintyWeight * Made.m_Deviation;
  if (Made.m_Gain <= Cost || Made.m_Gain <= 0)
    Made.m_Reason = Reason::NoGain;
  else if (Made.m_Gain - Margin <= Cost)
    Made.m_Reason = Reason::Uncertain;
  else if (Made.m_Evidence < Needed)
    Made.m_Reason = Reason::LittleEvidence;
  else if (Cooling)
    Made.m_Reason = Reason::Cooldown;
  else
    Made.m_Reason = Reason::Changed;
  return Made;
}

/// Reasons that rule out every change of the pool, or `Changed`.
Reason blockedBy(const Context &In, std::size_t ChangesThisHour) {
  if (!In.m_Rules.m_Enabled)
    return Reason::Disabled;
  for (const Engine *Each : In.m_Pool.m_Engines)
    if (Each->m_State == EngineState::Changing)
      return Reason::ChangeInProgress;
  if (In.m_Now < In.m_State.m_SettledAt)
    return Reason::ChangeInProgress;
  Duration Watched =
      In.m_Interval * static_cast<std::int64_t>(In.m_State.m_Requests.m_Count);
  if (Watched < In.m_Rules.m_Smoothing * LearningTimes)
    return Reason::Learning;
  if (ChangesThisHour >= In.m_Rules.m_ChangesPerHour)
    return Reason::BudgetSpent;
  return Reason::Changed;
}

void describeDemand(const Context &In, const WorkRate &Observed,
                    Explanation &Into) {
  const Policy &Rules = In.m_Rules;
  Into.m_Observed = Observed;
  Into.m_Expected = expectedDemand(In, Rules.m_Horizon / 2, 0, 0);
  double Intervals = seconds(Rules.m_Horizon) / seconds(In.m_Interval);
  Into.m_PrefillDeviation =
      forecastAfter(In.m_State.m_Prefill, Intervals, In.m_Smoothing)
          .m_Deviation;
  Into.m_DecodeDeviation =
      forecastAfter(In.m_State.m_Decode, Intervals, In.m_Smoothing).m_Deviation;
  double Carried = sustainableLoadFactor(In.m_Today, Into.m_Expected);
  Into.m_Utilisation = Carried > 0 ? 1 / Carried : 0;
  Into.m_GoodputToday = goodput(In.m_Today, Into.m_Expected, Rules);
}

Explanation explainPool(const Context &In, const WorkRate &Observed,
                        std::size_t ChangesThisHour) {
  Explanation Made;
  Made.m_Pool = In.m_Pool.m_Name;
  Made.m_Engines = countServing(In.m_Pool);
  Made.m_ChangesThisHour = static_cast<std::uint32_t>(ChangesThisHour);
  Made.m_UnpaidChanges = In.m_State.m_UnpaidCount;
  if (In.m_State.m_LastChange &&
      In.m_State.m_LastChange->m_CooldownEnd > In.m_Now)
    Made.m_CooldownLeft = In.m_State.m_LastChange->m_CooldownEnd - In.m_Now;
  describeDemand(In, Observed, Made);
  Made.m_CostAnswers = costOfChange(In, Made.m_GoodputToday);
  Made.m_EvidenceNeeded = evidenceNeeded(In, Made.m_CostAnswers);

  std::vector<Candidate> Candidates = candidatesOf(In);
  Reason Blocked = blockedBy(In, ChangesThisHour);
  bool Away = Blocked == Reason::ChangeInProgress;
  if (!Away) {
    updateEvidence(In, Candidates, Made.m_CostAnswers);
    updateRealised(In);
  }
  for (const Candidate &Each : Candidates)
    Made.m_Alternatives.push_back(
        weigh(In, Each, Made.m_CostAnswers, Made.m_EvidenceNeeded));
  std::stable_sort(Made.m_Alternatives.begin(), Made.m_Alternatives.end(),
                   [](const Alternative &Left, const Alternative &Right) {
                     bool LeftReady = Left.m_Reason == Reason::Changed;
                     bool RightReady = Right.m_Reason == Reason::Changed;
                     return std::make_tuple(!LeftReady, -Left.m_Gain) <
                            std::make_tuple(!RightReady, -Right.m_Gain);
                   });
  if (Blocked != Reason::Changed)
    Made.m_Reason = Blocked;
  else if (Made.m_Alternatives.empty())
    Made.m_Reason = Reason::NoAlternative;
  else
    Made.m_Reason = Made.m_Alternatives.front().m_Reason;
  return Made;
}

// --- Carrying a decision over into the state ------------------------------

const Engine &engineOf(const Pool &In, const TargetId &Wanted) {
  auto Found = std::find_if(
      In.m_Engines.begin(), In.m_Engines.end(),
      [&Wanted](const Engine *Each) { return Each->m_Id == Wanted; });
  WASABIVALE_INVARIANT(Found != In.m_Engines.end());
  return **Found;
}

/// Whether the pool's last change had paid when it was undone. One that is
/// followed by another in the same direction was right.
void settleLast(PoolState &Of, const Change &Made) {
  if (!Of.m_LastChange)
    return;
  bool Undone = undoes(Made.m_From, Made.m_To, Of.m_LastChange->m_Change);
  if (Undone && Of.m_LastChange->m_RealisedGain < Of.m_LastChange->m_Cost)
    ++Of.m_UnpaidCount;
  else if (Of.m_UnpaidCount > 0)
    --Of.m_UnpaidCount;
}

/// Evidence for changes in the same direction stays: the shift has shown that
/// it lasts.
void dropEvidence(PoolState &Of, const Change &Made) {
  for (Role From : AllRoles) {
    for (Role To : AllRoles) {
      double &Sum = Of.m_Evidence[indexOf(From)][indexOf(To)];
      if (undoes(From, To, Made))
        Sum = std::min(0.0, Sum);
    }
  }
}

/// Time after which the change has won back its cost, as expected.
Duration paybackTime(const Policy &Rules, double Gain, double Cost) {
  double Share = std::clamp(Cost / Gain, 0.0, 1.0);
  return Rules.m_ChangeDuration +
         std::chrono::duration_cast<Duration>(
             Share * std::chrono::duration<double>(Rules.m_Horizon -
                                                   Rules.m_ChangeDuration));
}

Change commitChange(State &Of, const Context &In, const Explanation &Why) {
  const Alternative &Best = Why.m_Alternatives.front();
  const Engine &Moved = engineOf(In.m_Pool, Best.m_Engine);
  Change Made{Why.m_Pool, Best.m_Engine, Best.m_From, Best.m_To};
  PoolState &Pool = In.m_State;
  settleLast(Pool, Made);
  dropEvidence(Pool, Made);
  LastChange Last;
  Last.m_Change = Made;
  Last.m_CooldownEnd =
      In.m_Now + paybackTime(In.m_Rules, Best.m_Gain, Why.m_CostAnswers);
  Last.m_Rates = mixedRates(Moved);
  Last.m_Cost = Why.m_CostAnswers;
  Pool.m_LastChange = Last;
  Pool.m_SettledAt = In.m_Now + In.m_Rules.m_ChangeDuration;
  Of.m_Changes.push_back(In.m_Now);
  WASABIVALE_INVARIANT(Of.m_Changes.size() <= In.m_Rules.m_ChangesPerHour);
  return Made;
}

void forgetOldChanges(State &Of, TimePoint Now) {
  while (!Of.m_Changes.empty() && Of.m_Changes.front() + BudgetWindow <= Now)
    Of.m_Changes.pop_front();
}

void forgetGonePools(State &Of, const std::map<std::string, Pool> &Pools) {
  std::erase_if(Of.m_Pools, [&Pools](const auto &Entry) {
    return !Pools.contains(Entry.first);
  });
}

double netGain(const Explanation &Of) {
  return Of.m_Alternatives.front().m_Gain - Of.m_CostAnswers;
}

/// Index of the ready pool that gains most; the others stand back.
std::optional<std::size_t> choosePool(std::vector<Explanation> &All) {
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < All.size(); ++Index) {
    if (All[Index].m_Reason != Reason::Changed)
      continue;
    if (Best && netGain(All[Index]) <= netGain(All[*Best])) {
      All[Index].m_Reason = Reason::AnotherPool;
      continue;
    }
    if (Best)
      All[*Best].m_Reason = Reason::AnotherPool;
    Best = Index;
  }
  return Best;
}

} // namespace

void restoreChanges(State &Of, const std::vector<TimePoint> &Times) {
  Of.m_Changes.assign(Times.begin(), Times.end());
}

Decision step(State &Of, const Policy &Rules, const Observation &Seen,
              TimePoint Now) {
  WASABIVALE_INVARIANT(Seen.m_Interval > 0s);
  WASABIVALE_INVARIANT(Rules.m_Smoothing > 0s);
  WASABIVALE_INVARIANT(Rules.m_Horizon > Rules.m_ChangeDuration);
  std::map<std::string, Pool> Pools = groupPools(Seen);
  forgetOldChanges(Of, Now);
  forgetGonePools(Of, Pools);

  double Smoothing =
      1 - std::exp(-seconds(Seen.m_Interval) / seconds(Rules.m_Smoothing));
  std::vector<Context> Contexts;
  Decision Made;
  for (const auto &[Name, Each] : Pools) {
    PoolState &Known = Of.m_Pools[Name];
    WorkRate Rates = ratesOf(Each.m_Demand, Seen.m_Interval);
    observeDemand(Known, Rates, Smoothing);
    Contexts.push_back({Rules, Each, Known, capacityOf(Each, Rules), Smoothing,
                        Seen.m_Interval, Now});
    Made.m_Explanations.push_back(
        explainPool(Contexts.back(), Rates, Of.m_Changes.size()));
  }
  if (std::optional<std::size_t> Best = choosePool(Made.m_Explanations))
    Made.m_Change =
        commitChange(Of, Contexts[*Best], Made.m_Explanations[*Best]);
  return Made;
}

} // namespace wasabivale::roles
