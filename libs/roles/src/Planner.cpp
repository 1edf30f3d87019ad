#include "Pools.h"
#include "roles/roles.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wasabivale::roles {

namespace {

using namespace std::chrono_literals;

constexpr Duration BudgetWindow = 1h;
/// Number of points in the horizon at which the forecast is evaluated.
constexpr int HorizonPoints = 6;
/// Observation time before the first change, in smoothing time constants.
constexpr int LearningTimeConstants = 5;
/// The evidence needed for a reversal grows by this factor with each change
/// that was reversed before it paid, up to the given count.
constexpr double UnpaidFactor = 4;
constexpr std::uint32_t MaxUnpaidCount = 4;
constexpr std::array<Role, RoleCount> AllRoles{Role::Mixed, Role::Prefill,
                                               Role::Decode};

std::size_t indexOf(Role Value) { return static_cast<std::size_t>(Value); }

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// A possible move of one engine, and the capacity during and after the move.
struct Candidate {
  const Engine *m_Engine = nullptr;
  Role m_To = Role::Mixed;
  SplitCapacity m_During;
  SplitCapacity m_After;
};

/// Inputs of one step for one pool.
struct Context {
  const Policy &m_Rules;
  const Pool &m_Pool;
  PoolState &m_State;
  SplitCapacity m_Current;
  double m_Smoothing = 0;
  Duration m_Interval{0};
  TimePoint m_Now;
};

// --- Demand ---------------------------------------------------------------

void observeDemand(PoolState &History, const WorkRate &Rates,
                   double Smoothing) {
  observe(History.m_Requests, Rates.m_Requests, Smoothing);
  observe(History.m_Prefill, Rates.m_PrefillTokens, Smoothing);
  observe(History.m_Decode, Rates.m_DecodeTokens, Smoothing);
}

WorkRate smoothedDemand(const PoolState &History) {
  return {std::max(0.0, History.m_Requests.m_Level),
          std::max(0.0, History.m_Prefill.m_Level),
          std::max(0.0, History.m_Decode.m_Level)};
}

/// Forecast \p Delay from now, shifted by multiples of the deviations.
WorkRate expectedDemand(const Context &Ctx, Duration Delay, double PrefillShift,
                        double DecodeShift) {
  double Intervals = seconds(Delay) / seconds(Ctx.m_Interval);
  const PoolState &History = Ctx.m_State;
  Forecast Requests =
      forecastAfter(History.m_Requests, Intervals, Ctx.m_Smoothing);
  Forecast Prefill =
      forecastAfter(History.m_Prefill, Intervals, Ctx.m_Smoothing);
  Forecast Decode = forecastAfter(History.m_Decode, Intervals, Ctx.m_Smoothing);
  auto Shifted = [](const Forecast &Value, double Shift) {
    return std::max(0.0, Value.m_Mean + Shift * Value.m_Deviation);
  };
  return {Requests.m_Mean, Shifted(Prefill, PrefillShift),
          Shifted(Decode, DecodeShift)};
}

// --- Candidates -----------------------------------------------------------

/// Ratio of the prefill rate to the decode rate of an engine.
double prefillAffinity(const Engine &Candidate) {
  return Candidate.m_PrefillTokensPerSecond /
         std::max(1e-9, Candidate.m_DecodeTokensPerSecond);
}

/// The engine in role \p From best suited to role \p To; among equals the one
/// with the fewest running requests.
const Engine *bestEngine(const Pool &EnginePool, Role From, Role To) {
  bool WantsPrefill =
      To == Role::Prefill || (To == Role::Mixed && From == Role::Decode);
  double Sign = WantsPrefill ? -1 : 1;
  const Engine *Best = nullptr;
  auto Rank = [Sign](const Engine &Candidate) {
    return std::make_tuple(Sign * prefillAffinity(Candidate),
                           Candidate.m_Running, Candidate.m_Id.m_Value);
  };
  for (const Engine *Member : EnginePool.m_Engines) {
    if (Member->m_State != EngineState::Serving || Member->m_Role != From)
      continue;
    if (Best == nullptr || Rank(*Member) < Rank(*Best))
      Best = Member;
  }
  return Best;
}

std::array<std::uint32_t, RoleCount> countServing(const Pool &EnginePool) {
  std::array<std::uint32_t, RoleCount> Counts{};
  for (const Engine *Member : EnginePool.m_Engines)
    if (Member->m_State == EngineState::Serving)
      ++Counts[indexOf(Member->m_Role)];
  return Counts;
}

/// Whether the split can both prefill and decode.
bool isComplete(const SplitCapacity &Split) {
  return sustainableLoadFactor(Split, {1, 1, 1}) > 0;
}

std::vector<Candidate> listMoves(const Context &Ctx) {
  std::array<std::uint32_t, RoleCount> Counts = countServing(Ctx.m_Pool);
  std::vector<Candidate> Candidates;
  for (Role From : AllRoles) {
    std::size_t Index = indexOf(From);
    if (Counts[Index] <= Ctx.m_Rules.m_MinEngines[Index])
      continue;
    for (Role To : AllRoles) {
      if (To == From)
        continue;
      const Engine *Moved = bestEngine(Ctx.m_Pool, From, To);
      if (Moved == nullptr)
        continue;
      Candidate Move{Moved, To, {}, {}};
      Move.m_During = capacityOf(Ctx.m_Pool, Ctx.m_Rules, Moved);
      Move.m_After = Move.m_During;
      addEngine(Move.m_After, To, mixedRates(*Moved), Ctx.m_Rules, 1);
      if (isComplete(Move.m_During) && isComplete(Move.m_After))
        Candidates.push_back(Move);
    }
  }
  return Candidates;
}

// --- Gain, cost and evidence ----------------------------------------------

/// Answers that \p Move gains over the horizon, net of those lost during the
/// downtime, when demand deviates from its forecast by the given shifts.
double expectedGain(const Context &Ctx, const Candidate &Move,
                    double PrefillShift, double DecodeShift) {
  const Policy &Rules = Ctx.m_Rules;
  WorkRate EarlyDemand = expectedDemand(Ctx, Rules.m_ChangeDuration / 2,
                                        PrefillShift, DecodeShift);
  double Gain = seconds(Rules.m_ChangeDuration) *
                (goodput(Move.m_During, EarlyDemand, Rules) -
                 goodput(Ctx.m_Current, EarlyDemand, Rules));
  Duration Slice = (Rules.m_Horizon - Rules.m_ChangeDuration) / HorizonPoints;
  for (int Point = 0; Point < HorizonPoints; ++Point) {
    Duration Delay = Rules.m_ChangeDuration + Slice * Point + Slice / 2;
    WorkRate LaterDemand =
        expectedDemand(Ctx, Delay, PrefillShift, DecodeShift);
    Gain += seconds(Slice) * (goodput(Move.m_After, LaterDemand, Rules) -
                              goodput(Ctx.m_Current, LaterDemand, Rules));
  }
  return Gain;
}

/// Standard deviation of the gain, to first order in the two forecasts'
/// deviations.
double gainDeviation(const Context &Ctx, const Candidate &Move) {
  double PrefillEffect =
      (expectedGain(Ctx, Move, 1, 0) - expectedGain(Ctx, Move, -1, 0)) / 2;
  double DecodeEffect =
      (expectedGain(Ctx, Move, 0, 1) - expectedGain(Ctx, Move, 0, -1)) / 2;
  return std::hypot(PrefillEffect, DecodeEffect);
}

double costOfChange(const Context &Ctx, double GoodputToday) {
  double Engines = 0;
  for (const Engine *Member : Ctx.m_Pool.m_Engines)
    if (Member->m_State == EngineState::Serving)
      ++Engines;
  double PerEngine = Engines > 0 ? GoodputToday / Engines : 0;
  return Ctx.m_Rules.m_CostAnswers +
         seconds(Ctx.m_Rules.m_CostEngineTime) * PerEngine;
}

double unpaidPenalty(const PoolState &History) {
  return std::pow(UnpaidFactor,
                  std::min(History.m_UnpaidCount, MaxUnpaidCount));
}

double evidenceNeeded(const Context &Ctx, double Cost) {
  return Ctx.m_Rules.m_EvidenceShare * Cost;
}

/// Adds the answers lost in the last interval by not making each move. Sums
/// have a lower bound of zero, so that a new shift starts from zero; changes
/// reversed before they paid lower the bound, so that a swing of demand must
/// outweigh the previous one.
void updateEvidence(const Context &Ctx, const std::vector<Candidate> &Moves,
                    double Cost) {
  double LowerBound = -Cost * (unpaidPenalty(Ctx.m_State) - 1);
  WorkRate Work = smoothedDemand(Ctx.m_State);
  double CurrentGoodput = goodput(Ctx.m_Current, Work, Ctx.m_Rules);
  Evidence Next{};
  for (const Candidate &Move : Moves) {
    double Loss = goodput(Move.m_After, Work, Ctx.m_Rules) - CurrentGoodput;
    std::size_t From = indexOf(Move.m_Engine->m_Role);
    std::size_t To = indexOf(Move.m_To);
    double Previous = Ctx.m_State.m_Evidence[From][To];
    Next[From][To] =
        std::max(LowerBound, Previous + Loss * seconds(Ctx.m_Interval));
  }
  Ctx.m_State.m_Evidence = Next;
}

/// Adds the gain of the last change in the last interval.
void updateRealisedGain(const Context &Ctx) {
  if (!Ctx.m_State.m_LastChange)
    return;
  LastChange &Last = *Ctx.m_State.m_LastChange;
  SplitCapacity WithoutChange = Ctx.m_Current;
  addEngine(WithoutChange, Last.m_Change.m_To, Last.m_Rates, Ctx.m_Rules, -1);
  addEngine(WithoutChange, Last.m_Change.m_From, Last.m_Rates, Ctx.m_Rules, 1);
  for (Capacity &RoleCapacity : WithoutChange) {
    RoleCapacity.m_PrefillTokens = std::max(0.0, RoleCapacity.m_PrefillTokens);
    RoleCapacity.m_DecodeTokens = std::max(0.0, RoleCapacity.m_DecodeTokens);
  }
  WorkRate Work = smoothedDemand(Ctx.m_State);
  double Gain = goodput(Ctx.m_Current, Work, Ctx.m_Rules) -
                goodput(WithoutChange, Work, Ctx.m_Rules);
  Last.m_RealisedGain += Gain * seconds(Ctx.m_Interval);
}

/// Positive if a move adds prefill, negative if it adds decode.
int direction(Role From, Role To) {
  constexpr std::array<int, RoleCount> PrefillBias{0, 1, -1};
  return PrefillBias[indexOf(To)] - PrefillBias[indexOf(From)];
}

bool isReversal(Role From, Role To, const Change &Earlier) {
  return direction(From, To) * direction(Earlier.m_From, Earlier.m_To) < 0;
}

// --- Decision of one pool -------------------------------------------------

Alternative evaluateMove(const Context &Ctx, const Candidate &Move, double Cost,
                         double Needed) {
  Alternative Option;
  Option.m_Engine = Move.m_Engine->m_Id;
  Option.m_From = Move.m_Engine->m_Role;
  Option.m_To = Move.m_To;
  Option.m_Gain = expectedGain(Ctx, Move, 0, 0);
  Option.m_Deviation = gainDeviation(Ctx, Move);
  Option.m_Evidence =
      Ctx.m_State.m_Evidence[indexOf(Option.m_From)][indexOf(Option.m_To)];
  const std::optional<LastChange> &Last = Ctx.m_State.m_LastChange;
  bool Reverses =
      Last && isReversal(Option.m_From, Option.m_To, Last->m_Change);
  // A reversal during the cooldown needs losses as high as the cost of a
  // change.
  bool InCooldown =
      Reverses && Ctx.m_Now < Last->m_CooldownEnd && Option.m_Evidence < Cost;
  if (Reverses)
    Needed *= unpaidPenalty(Ctx.m_State);
  double Margin = Ctx.m_Rules.m_UncertaintyWeight * Option.m_Deviation;
  if (Option.m_Gain <= Cost || Option.m_Gain <= 0)
    Option.m_Reason = Reason::NoGain;
  else if (Option.m_Gain - Margin <= Cost)
    Option.m_Reason = Reason::Uncertain;
  else if (Option.m_Evidence < Needed)
    Option.m_Reason = Reason::LittleEvidence;
  else if (InCooldown)
    Option.m_Reason = Reason::Cooldown;
  else
    Option.m_Reason = Reason::Changed;
  return Option;
}

/// The reason that rules out every change of the pool, or `Changed`.
Reason blockingReason(const Context &Ctx, std::size_t ChangesThisHour) {
  if (!Ctx.m_Rules.m_Enabled)
    return Reason::Disabled;
  for (const Engine *Member : Ctx.m_Pool.m_Engines)
    if (Member->m_State == EngineState::Changing)
      return Reason::ChangeInProgress;
  if (Ctx.m_Now < Ctx.m_State.m_SettledAt)
    return Reason::ChangeInProgress;
  Duration ObservedTime = Ctx.m_Interval * static_cast<std::int64_t>(
                                               Ctx.m_State.m_Requests.m_Count);
  if (ObservedTime < Ctx.m_Rules.m_Smoothing * LearningTimeConstants)
    return Reason::Learning;
  if (ChangesThisHour >= Ctx.m_Rules.m_ChangesPerHour)
    return Reason::BudgetSpent;
  return Reason::Changed;
}

void describeDemand(const Context &Ctx, const WorkRate &Observed,
                    Explanation &Report) {
  const Policy &Rules = Ctx.m_Rules;
  Report.m_Observed = Observed;
  Report.m_Expected = expectedDemand(Ctx, Rules.m_Horizon / 2, 0, 0);
  double Intervals = seconds(Rules.m_Horizon) / seconds(Ctx.m_Interval);
  Report.m_PrefillDeviation =
      forecastAfter(Ctx.m_State.m_Prefill, Intervals, Ctx.m_Smoothing)
          .m_Deviation;
  Report.m_DecodeDeviation =
      forecastAfter(Ctx.m_State.m_Decode, Intervals, Ctx.m_Smoothing)
          .m_Deviation;
  double LoadFactor = sustainableLoadFactor(Ctx.m_Current, Report.m_Expected);
  Report.m_Utilisation = LoadFactor > 0 ? 1 / LoadFactor : 0;
  Report.m_GoodputToday = goodput(Ctx.m_Current, Report.m_Expected, Rules);
}

Explanation explainPool(const Context &Ctx, const WorkRate &Observed,
                        std::size_t ChangesThisHour) {
  Explanation Report;
  Report.m_Pool = Ctx.m_Pool.m_Name;
  Report.m_Engines = countServing(Ctx.m_Pool);
  Report.m_ChangesThisHour = static_cast<std::uint32_t>(ChangesThisHour);
  Report.m_UnpaidChanges = Ctx.m_State.m_UnpaidCount;
  if (Ctx.m_State.m_LastChange &&
      Ctx.m_State.m_LastChange->m_CooldownEnd > Ctx.m_Now)
    Report.m_CooldownLeft = Ctx.m_State.m_LastChange->m_CooldownEnd - Ctx.m_Now;
  describeDemand(Ctx, Observed, Report);
  Report.m_CostAnswers = costOfChange(Ctx, Report.m_GoodputToday);
  Report.m_EvidenceNeeded = evidenceNeeded(Ctx, Report.m_CostAnswers);

  std::vector<Candidate> Candidates = listMoves(Ctx);
  Reason Blocking = blockingReason(Ctx, ChangesThisHour);
  bool IsChanging = Blocking == Reason::ChangeInProgress;
  if (!IsChanging) {
    updateEvidence(Ctx, Candidates, Report.m_CostAnswers);
    updateRealisedGain(Ctx);
  }
  for (const Candidate &Move : Candidates)
    Report.m_Alternatives.push_back(
        evaluateMove(Ctx, Move, Report.m_CostAnswers, Report.m_EvidenceNeeded));
  std::stable_sort(Report.m_Alternatives.begin(), Report.m_Alternatives.end(),
                   [](const Alternative &Left, const Alternative &Right) {
                     bool LeftReady = Left.m_Reason == Reason::Changed;
                     bool RightReady = Right.m_Reason == Reason::Changed;
                     return std::make_tuple(!LeftReady, -Left.m_Gain) <
                            std::make_tuple(!RightReady, -Right.m_Gain);
                   });
  if (Blocking != Reason::Changed)
    Report.m_Reason = Blocking;
  else if (Report.m_Alternatives.empty())
    Report.m_Reason = Reason::NoAlternative;
  else
    Report.m_Reason = Report.m_Alternatives.front().m_Reason;
  return Report;
}

// --- State updates --------------------------------------------------------

const Engine &findEngine(const Pool &EnginePool, const TargetId &Id) {
  auto Found =
      std::find_if(EnginePool.m_Engines.begin(), EnginePool.m_Engines.end(),
                   [&Id](const Engine *Member) { return Member->m_Id == Id; });
  WASABIVALE_INVARIANT(Found != EnginePool.m_Engines.end());
  return **Found;
}

/// Counts the pool's last change as unpaid if \p NewChange reverses it before
/// it recovered its cost. Any other change lowers the count; in particular, a
/// change in the same direction confirms the last one.
void countUnpaidChange(PoolState &History, const Change &NewChange) {
  if (!History.m_LastChange)
    return;
  bool Reversed = isReversal(NewChange.m_From, NewChange.m_To,
                             History.m_LastChange->m_Change);
  if (Reversed &&
      History.m_LastChange->m_RealisedGain < History.m_LastChange->m_Cost)
    ++History.m_UnpaidCount;
  else if (History.m_UnpaidCount > 0)
    --History.m_UnpaidCount;
}

/// Clears the evidence for reversals of \p NewChange. Evidence for changes in
/// the same direction stays, because the shift has proved to be lasting.
void clearReversalEvidence(PoolState &History, const Change &NewChange) {
  for (Role From : AllRoles) {
    for (Role To : AllRoles) {
      double &Sum = History.m_Evidence[indexOf(From)][indexOf(To)];
      if (isReversal(From, To, NewChange))
        Sum = std::min(0.0, Sum);
    }
  }
}

/// Expected time until the change has recovered its cost.
Duration paybackTime(const Policy &Rules, double Gain, double Cost) {
  double Share = std::clamp(Cost / Gain, 0.0, 1.0);
  return Rules.m_ChangeDuration +
         std::chrono::duration_cast<Duration>(
             Share * std::chrono::duration<double>(Rules.m_Horizon -
                                                   Rules.m_ChangeDuration));
}

Change commitChange(State &Planner, const Context &Ctx,
                    const Explanation &Report) {
  const Alternative &Best = Report.m_Alternatives.front();
  const Engine &Moved = findEngine(Ctx.m_Pool, Best.m_Engine);
  Change NewChange{Report.m_Pool, Best.m_Engine, Best.m_From, Best.m_To};
  PoolState &History = Ctx.m_State;
  countUnpaidChange(History, NewChange);
  clearReversalEvidence(History, NewChange);
  LastChange Last;
  Last.m_Change = NewChange;
  Last.m_CooldownEnd =
      Ctx.m_Now + paybackTime(Ctx.m_Rules, Best.m_Gain, Report.m_CostAnswers);
  Last.m_Rates = mixedRates(Moved);
  Last.m_Cost = Report.m_CostAnswers;
  History.m_LastChange = Last;
  History.m_SettledAt = Ctx.m_Now + Ctx.m_Rules.m_ChangeDuration;
  Planner.m_ChangeTimes.push_back(Ctx.m_Now);
  WASABIVALE_INVARIANT(Planner.m_ChangeTimes.size() <=
                       Ctx.m_Rules.m_ChangesPerHour);
  return NewChange;
}

void removeExpiredChanges(State &Planner, TimePoint Now) {
  while (!Planner.m_ChangeTimes.empty() &&
         Planner.m_ChangeTimes.front() + BudgetWindow <= Now)
    Planner.m_ChangeTimes.pop_front();
}

void removeStalePools(State &Planner,
                      const std::map<std::string, Pool> &Pools) {
  std::erase_if(Planner.m_Pools, [&Pools](const auto &Entry) {
    return !Pools.contains(Entry.first);
  });
}

double netGain(const Explanation &Report) {
  return Report.m_Alternatives.front().m_Gain - Report.m_CostAnswers;
}

/// \returns the index of the ready pool with the highest net gain; marks the
/// other ready pools with `AnotherPool`.
std::optional<std::size_t> choosePool(std::vector<Explanation> &Reports) {
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < Reports.size(); ++Index) {
    if (Reports[Index].m_Reason != Reason::Changed)
      continue;
    if (Best && netGain(Reports[Index]) <= netGain(Reports[*Best])) {
      Reports[Index].m_Reason = Reason::AnotherPool;
      continue;
    }
    if (Best)
      Reports[*Best].m_Reason = Reason::AnotherPool;
    Best = Index;
  }
  return Best;
}

} // namespace

void restoreChanges(State &Planner, const std::vector<TimePoint> &Times) {
  Planner.m_ChangeTimes.assign(Times.begin(), Times.end());
}

Decision step(State &Planner, const Policy &Rules, const Observation &Input,
              TimePoint Now) {
  WASABIVALE_INVARIANT(Input.m_Interval > 0s);
  WASABIVALE_INVARIANT(Rules.m_Smoothing > 0s);
  WASABIVALE_INVARIANT(Rules.m_Horizon > Rules.m_ChangeDuration);
  std::map<std::string, Pool> Pools = groupPools(Input);
  removeExpiredChanges(Planner, Now);
  removeStalePools(Planner, Pools);

  double Smoothing =
      1 - std::exp(-seconds(Input.m_Interval) / seconds(Rules.m_Smoothing));
  std::vector<Context> Contexts;
  Decision NewDecision;
  for (const auto &[Name, EnginePool] : Pools) {
    PoolState &History = Planner.m_Pools[Name];
    WorkRate Rates = demandRates(EnginePool.m_Demand, Input.m_Interval);
    observeDemand(History, Rates, Smoothing);
    Contexts.push_back({Rules, EnginePool, History,
                        capacityOf(EnginePool, Rules), Smoothing,
                        Input.m_Interval, Now});
    NewDecision.m_Explanations.push_back(
        explainPool(Contexts.back(), Rates, Planner.m_ChangeTimes.size()));
  }
  if (std::optional<std::size_t> Best = choosePool(NewDecision.m_Explanations))
    NewDecision.m_Change = commitChange(Planner, Contexts[*Best],
                                        NewDecision.m_Explanations[*Best]);
  return NewDecision;
}

} // namespace wasabivale::roles
