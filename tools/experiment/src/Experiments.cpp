#include "Experiments.h"
#include "Search.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::experiment {

namespace {

using namespace std::chrono_literals;

// --- Schedules ------------------------------------------------------------

constexpr double LowPrefill = 0.25;
constexpr double HighPrefill = 0.60;
constexpr double MeanPrefill = (LowPrefill + HighPrefill) / 2;
/// Load of the mix shift, of the fleet's nominal engine time.
constexpr double ShiftLoad = 1.1;
constexpr Duration SearchLength = 90s;
constexpr std::uint32_t SearchSeeds = 2;
/// Half a period of the square wave; a change needs longer to pay.
constexpr Duration SwingLength = 20s;

Schedule shiftSchedule() {
  return {{180s, LowPrefill, ShiftLoad},
          {360s, HighPrefill, ShiftLoad},
          {300s, LowPrefill, ShiftLoad}};
}

Schedule constantSchedule(Duration Length, double PrefillShare, double Load) {
  return {{Length, PrefillShare, Load}};
}

Schedule squareSchedule() {
  Schedule Made;
  for (int Swing = 0; Swing < 30; ++Swing)
    Made.push_back(
        {SwingLength, Swing % 2 == 0 ? LowPrefill : HighPrefill, ShiftLoad});
  return Made;
}

Setup baseSetup(const Options &With, const Schedule &Phases) {
  Setup Made;
  Made.m_Workload.m_Schedule = Phases;
  Made.m_Workload.m_Callers = ordinaryCallers();
  Made.m_Workload.m_Engines = With.m_Deployment.m_Engines;
  Made.m_Workload.m_Services = With.m_Deployment.m_Services;
  Made.m_Workload.m_Seed = With.m_FirstSeed;
  Made.m_Workload.m_RoleRates = With.m_Deployment.m_Planner.m_RoleRates;
  Made.m_Split = {With.m_Deployment.m_Engines, 0, 0};
  return Made;
}

// --- Runs -----------------------------------------------------------------

using ArrivalSets = std::vector<std::vector<Arrival>>; ///< By seed.

ArrivalSets makeArrivalSets(const Options &With, Setup Of) {
  ArrivalSets Sets;
  for (std::uint32_t Index = 0; Index < With.m_Seeds; ++Index) {
    Of.m_Workload.m_Seed = With.m_FirstSeed + Index;
    Sets.push_back(makeArrivals(Of.m_Workload));
  }
  return Sets;
}

/// Runs \p Of, with its seed as the first, on each set of arrivals.
PolicyRuns runPolicy(const std::string &Name, Setup Of,
                     const ArrivalSets &Sets) {
  PolicyRuns Made{Name, Of, {}};
  for (const std::vector<Arrival> &Each : Sets) {
    Made.m_Runs.push_back(run(Of, Each));
    ++Of.m_Workload.m_Seed;
  }
  return Made;
}

std::vector<double> goodputs(const PolicyRuns &Of) {
  std::vector<double> Values;
  for (const RunResult &Each : Of.m_Runs)
    Values.push_back(Each.m_GoodputPerSecond);
  return Values;
}

std::vector<double> changes(const PolicyRuns &Of) {
  std::vector<double> Values;
  for (const RunResult &Each : Of.m_Runs)
    Values.push_back(Each.m_RoleChanges);
  return Values;
}

/// Median over the seeds of the ratio of goodputs, in percent.
double percentOf(const PolicyRuns &Of, const PolicyRuns &Reference) {
  std::vector<double> Ratios;
  for (std::size_t Index = 0; Index < Of.m_Runs.size(); ++Index)
    Ratios.push_back(100 * Of.m_Runs[Index].m_GoodputPerSecond /
                     Reference.m_Runs[Index].m_GoodputPerSecond);
  return median(Ratios);
}

Row atLeast(std::string Name, double Value, std::string Unit, double Bound) {
  return {std::move(Name), Value, std::move(Unit),
          fmt::format(">= {:.4g}", Bound), Value >= Bound};
}

Row above(std::string Name, double Value, std::string Unit, double Bound) {
  return {std::move(Name), Value, std::move(Unit),
          fmt::format("> {:.4g}", Bound), Value > Bound};
}

Row atMost(std::string Name, double Value, std::string Unit, double Bound) {
  return {std::move(Name), Value, std::move(Unit),
          fmt::format("<= {:.4g}", Bound), Value <= Bound};
}

// --- Policies -------------------------------------------------------------

/// Splits that suit one mix for good, best first.
std::vector<RankedSplit> rankForMix(const Options &With, double PrefillShare) {
  Setup Constant =
      baseSetup(With, constantSchedule(SearchLength, PrefillShare, ShiftLoad));
  return rankSplits(Constant, SearchSeeds);
}

/// A change's cost in answers per second of the whole run.
double costPerSecond(const Options &With, const Setup &Base, double Goodput) {
  const roles::Policy &Rules = With.m_Deployment.m_Planner;
  double Engine = Goodput / With.m_Deployment.m_Engines;
  double Answers =
      Rules.m_CostAnswers +
      Engine * std::chrono::duration<double>(Rules.m_CostEngineTime).count();
  return Answers /
         std::chrono::duration<double>(lengthOf(Base.m_Workload.m_Schedule))
             .count();
}

double inTimeOf(const std::vector<RankedSplit> &Ranked, const Split &Which) {
  for (const RankedSplit &Each : Ranked)
    if (Each.m_Split == Which)
      return Each.m_InTime;
  return 0;
}

/// Splits by the mean of what they have in time with both mixes.
std::vector<RankedSplit> rankCommon(const std::vector<RankedSplit> &Low,
                                    const std::vector<RankedSplit> &High) {
  std::vector<RankedSplit> Ranked;
  Ranked.reserve(Low.size());
  for (const RankedSplit &Each : Low)
    Ranked.push_back(
        {(Each.m_InTime + inTimeOf(High, Each.m_Split)) / 2, Each.m_Split});
  std::sort(Ranked.rbegin(), Ranked.rend());
  return Ranked;
}

/// Of all splits tried with both mixes, the finalist that does best in the
/// whole run.
PolicyRuns runBestFixed(const Setup &Base, const ArrivalSets &Sets,
                        const std::vector<RankedSplit> &Common) {
  constexpr std::size_t Finalists = 4;
  std::optional<PolicyRuns> Best;
  for (std::size_t Index = 0; Index < std::min(Finalists, Common.size());
       ++Index) {
    Setup Fixed = Base;
    Fixed.m_Split = Common[Index].m_Split;
    PolicyRuns Made = runPolicy("best_fixed_split", Fixed, Sets);
    if (!Best || median(goodputs(Made)) > median(goodputs(*Best)))
      Best = std::move(Made);
  }
  return *Best;
}

/// Plans that an informed run may follow: pairs of the best splits, changed
/// some time before each shift, or one split for the whole run.
std::vector<Setup> informedPlans(const Setup &Base,
                                 const std::vector<RankedSplit> &Low,
                                 const std::vector<RankedSplit> &High,
                                 const Split &Fixed) {
  constexpr std::size_t SplitsTried = 2;
  const Schedule &Phases = Base.m_Workload.m_Schedule;
  TimePoint Shift = TimePoint{} + Phases[0].m_Length;
  TimePoint Back = Shift + Phases[1].m_Length;
  std::vector<Setup> Plans;
  for (std::size_t First = 0; First < SplitsTried; ++First) {
    for (std::size_t Second = 0; Second < SplitsTried; ++Second) {
      for (Duration Lead : {Duration{5s}, Duration{15s}}) {
        Setup Planned = Base;
        Planned.m_Split = Low[First].m_Split;
        Planned.m_Plan = {{Shift - Lead, High[Second].m_Split},
                          {Back - Lead, Low[First].m_Split}};
        Plans.push_back(std::move(Planned));
      }
    }
  }
  Plans.push_back(Base);
  Plans.back().m_Split = Fixed;
  return Plans;
}

/// Knows the schedule, and follows the plan that wins most after the cost of
/// its changes in the run of the first seed.
PolicyRuns runInformed(const Options &With, const std::vector<Setup> &Plans,
                       const ArrivalSets &Sets) {
  const Setup *Best = nullptr;
  double BestValue = 0;
  for (const Setup &Each : Plans) {
    PolicyRuns Made = runPolicy("informed", Each, {Sets.front()});
    double Goodput = goodputs(Made).front();
    double Value =
        Goodput - changes(Made).front() * costPerSecond(With, Each, Goodput);
    if (Best != nullptr && Value <= BestValue)
      continue;
    BestValue = Value;
    Best = &Each;
  }
  return runPolicy("informed", *Best, Sets);
}

PolicyRuns runOurs(const Options &With, const Setup &Base,
                   const ArrivalSets &Sets, const Split &Start) {
  Setup Ours = Base;
  Ours.m_Split = Start;
  Ours.m_Planner = With.m_Deployment.m_Planner;
  return runPolicy("wasabivale", Ours, Sets);
}

PolicyRuns runRouting(const Setup &Base, const ArrivalSets &Sets,
                      routing::Policy Which) {
  Setup Made = Base;
  Made.m_Routing = Which;
  return runPolicy(std::string(routing::policyName(Which)), Made, Sets);
}

// --- Experiments ----------------------------------------------------------

Report mixShift(const Options &With) {
  Report Made{"mix_shift." + With.m_Deployment.m_Name, {}, {}};
  Setup Base = baseSetup(With, shiftSchedule());
  ArrivalSets Sets = makeArrivalSets(With, Base);
  std::vector<RankedSplit> Low = rankForMix(With, LowPrefill);
  std::vector<RankedSplit> High = rankForMix(With, HighPrefill);
  PolicyRuns Fixed = runBestFixed(Base, Sets, rankCommon(Low, High));
  PolicyRuns Informed = runInformed(
      With, informedPlans(Base, Low, High, Fixed.m_Setup.m_Split), Sets);
  PolicyRuns Ours = runOurs(With, Base, Sets, Informed.m_Setup.m_Split);
  std::vector<PolicyRuns> Others{
      runRouting(Base, Sets, routing::Policy::RoundRobin),
      runRouting(Base, Sets, routing::Policy::LeastReportedLoad), Fixed};
  Made.m_Rows.push_back(atLeast(Made.m_Name + ".goodput_of_informed",
                                percentOf(Ours, Informed), "%", 95));
  for (const PolicyRuns &Each : Others)
    Made.m_Rows.push_back(above(Made.m_Name + ".goodput_of_" + Each.m_Policy,
                                percentOf(Ours, Each), "%", 100));
  Made.m_Rows.push_back(atMost(Made.m_Name + ".role_changes",
                               median(changes(Ours)), "changes",
                               2 * median(changes(Informed))));
  Made.m_Policies = {Ours, Informed};
  Made.m_Policies.insert(Made.m_Policies.end(), Others.begin(), Others.end());
  return Made;
}

Report squareWave(const Options &With) {
  Report Made{"square_wave." + With.m_Deployment.m_Name, {}, {}};
  Setup Base = baseSetup(With, squareSchedule());
  ArrivalSets Sets = makeArrivalSets(With, Base);
  Split Start = rankForMix(With, MeanPrefill).front().m_Split;
  PolicyRuns Ours = runOurs(With, Base, Sets, Start);
  Base.m_Split = Start;
  PolicyRuns Fixed = runPolicy("fixed_split", Base, Sets);
  std::vector<double> Changes = changes(Ours);
  Made.m_Rows.push_back(
      atMost(Made.m_Name + ".most_role_changes",
             *std::max_element(Changes.begin(), Changes.end()), "changes", 2));
  Made.m_Rows.push_back({Made.m_Name + ".goodput_of_fixed",
                         percentOf(Ours, Fixed), "%", "", true});
  Made.m_Policies = {Ours, Fixed};
  return Made;
}

Report overload(const Options &With) {
  Report Made{"overload." + With.m_Deployment.m_Name, {}, {}};
  Split Start = rankForMix(With, MeanPrefill).front().m_Split;
  for (double Load : {1.0, 2.0, 3.0}) {
    Setup Base = baseSetup(With, constantSchedule(150s, MeanPrefill, Load));
    ArrivalSets Sets = makeArrivalSets(With, Base);
    PolicyRuns Ours = runOurs(With, Base, Sets, Start);
    Ours.m_Policy = fmt::format("load_{:.0f}x", Load);
    Made.m_Policies.push_back(std::move(Ours));
  }
  const PolicyRuns &Once = Made.m_Policies.front();
  Made.m_Rows.push_back({Made.m_Name + ".goodput_2x_of_1x",
                         percentOf(Made.m_Policies[1], Once), "%", "", true});
  Made.m_Rows.push_back(atLeast(Made.m_Name + ".goodput_3x_of_1x",
                                percentOf(Made.m_Policies[2], Once), "%", 90));
  return Made;
}

/// Keeps one in \p Keep of the requests of a caller.
ArrivalSets thinned(const ArrivalSets &Sets, std::uint32_t Caller,
                    std::uint32_t Keep) {
  ArrivalSets Made;
  for (const std::vector<Arrival> &Each : Sets) {
    std::uint32_t Count = 0;
    std::vector<Arrival> Kept;
    for (const Arrival &One : Each)
      if (One.m_Caller != Caller || ++Count % Keep == 0)
        Kept.push_back(One);
    Made.push_back(std::move(Kept));
  }
  return Made;
}

/// Refusals that each caller but one has more of in \p With than in
/// \p Without. A caller with fewer does not make up for another.
std::uint64_t extraRefusals(const RunResult &With, const RunResult &Without,
                            std::uint32_t Except) {
  std::uint64_t Sum = 0;
  for (std::uint32_t Index = 0; Index < With.m_Callers.size(); ++Index) {
    std::uint64_t More = With.m_Callers[Index].m_Refused;
    std::uint64_t Alone = Without.m_Callers[Index].m_Refused;
    if (Index != Except && More > Alone)
      Sum += More - Alone;
  }
  return Sum;
}

/// One caller asks for far more than its share beside callers under theirs.
Report fairness(const Options &With) {
  constexpr std::uint32_t Greedy = 0;
  constexpr std::uint32_t KeptOneIn = 10;
  Report Made{"fairness." + With.m_Deployment.m_Name, {}, {}};
  Split Start = rankForMix(With, MeanPrefill).front().m_Split;
  Setup Base = baseSetup(With, constantSchedule(180s, MeanPrefill, 1.6));
  // The greedy caller's documents are most of the work; each of the others
  // stays below a seventh of the fleet.
  Base.m_Workload.m_Callers = {
      {{"greedy"}, SizeKind::Document, 8, 5, 1},
      {{"certificates"}, SizeKind::Document, 1, 5, 1},
      {{"catalogues"}, SizeKind::Document, 1, 5, 1},
      {{"greedy_questions"}, SizeKind::Question, 8, 5, 1},
      {{"buyers"}, SizeKind::Question, 1, 5, 1},
      {{"clerks"}, SizeKind::Question, 1, 5, 1},
      {{"workshops"}, SizeKind::Question, 1, 5, 1}};
  ArrivalSets Sets = makeArrivalSets(With, Base);
  // Both halves of the greedy caller are one caller to the limits.
  for (std::vector<Arrival> &Each : Sets)
    for (Arrival &One : Each)
      One.m_Caller = One.m_Caller == 3 ? Greedy : One.m_Caller;
  PolicyRuns Full = runOurs(With, Base, Sets, Start);
  PolicyRuns Control =
      runOurs(With, Base, thinned(Sets, Greedy, KeptOneIn), Start);
  Full.m_Policy = "with_greedy";
  Control.m_Policy = "without_greedy";
  std::vector<double> Extra;
  for (std::size_t Index = 0; Index < Sets.size(); ++Index)
    Extra.push_back(static_cast<double>(
        extraRefusals(Full.m_Runs[Index], Control.m_Runs[Index], Greedy)));
  Made.m_Rows.push_back(atMost(Made.m_Name + ".refused_under_share",
                               *std::max_element(Extra.begin(), Extra.end()),
                               "requests", 0));
  Made.m_Policies = {Full, Control};
  return Made;
}

/// What following the mix could win over a fixed split, without any changes'
/// cost.
Report splits(const Options &With) {
  constexpr std::size_t Listed = 4;
  Report Made{"splits." + With.m_Deployment.m_Name, {}, {}};
  std::vector<RankedSplit> Low = rankForMix(With, LowPrefill);
  std::vector<RankedSplit> High = rankForMix(With, HighPrefill);
  auto List = [&](const std::string &Name, const RankedSplit &Each) {
    Made.m_Rows.push_back({Made.m_Name + Name + printSplit(Each.m_Split),
                           Each.m_InTime, "answers", "", true});
  };
  for (std::size_t Index = 0; Index < Listed; ++Index)
    List(".low.", Low[Index]);
  for (std::size_t Index = 0; Index < Listed; ++Index)
    List(".high.", High[Index]);
  RankedSplit Common = rankCommon(Low, High).front();
  List(".common.", Common);
  double Best = (Low.front().m_InTime + High.front().m_InTime) / 2;
  Made.m_Rows.push_back({Made.m_Name + ".most_gain",
                         100 * (Best / Common.m_InTime - 1), "%", "", true});
  return Made;
}

} // namespace

std::optional<Deployment> findDeployment(const std::string &Name) {
  if (Name == "cooperative")
    return Deployment{Name, 20, 3, roles::cooperativePolicy()};
  if (Name == "malabar")
    return Deployment{Name, 10, 4, roles::malabarPolicy()};
  return std::nullopt;
}

const std::vector<Experiment> &experiments() {
  static const std::vector<Experiment> All{{"mix_shift", mixShift},
                                           {"square_wave", squareWave},
                                           {"overload", overload},
                                           {"fairness", fairness},
                                           {"splits", splits}};
  return All;
}

double median(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  std::size_t Half = Values.size() / 2;
  return Values.size() % 2 == 1 ? Values[Half]
                                : (Values[Half - 1] + Values[Half]) / 2;
}

} // namespace wasabivale::experiment
