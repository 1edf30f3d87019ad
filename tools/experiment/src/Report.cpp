#include "Experiments.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::experiment {

namespace {

using Json = nlohmann::json;

double milliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

template <typename Function>
std::vector<double> collect(const PolicyRuns &Of, Function Get) {
  std::vector<double> Values;
  for (const RunResult &Each : Of.m_Runs)
    Values.push_back(static_cast<double>(Get(Each)));
  return Values;
}

double leastOf(const std::vector<double> &Values) {
  return *std::min_element(Values.begin(), Values.end());
}

double mostOf(const std::vector<double> &Values) {
  return *std::max_element(Values.begin(), Values.end());
}

std::vector<double> goodputs(const PolicyRuns &Of) {
  return collect(Of,
                 [](const RunResult &One) { return One.m_GoodputPerSecond; });
}

std::map<std::string, std::uint64_t> refusals(const PolicyRuns &Of) {
  std::map<std::string, std::uint64_t> Sum;
  for (const RunResult &Each : Of.m_Runs)
    for (const auto &[Reason, Count] : Each.m_RefusedByReason)
      Sum[Reason] += Count;
  return Sum;
}

Json callersOf(const RunResult &Of, const std::vector<CallerSpec> &Specs) {
  Json Made = Json::object();
  for (std::size_t Index = 0; Index < Specs.size(); ++Index)
    Made[Specs[Index].m_Id.m_Value] = {
        {"offered", Of.m_Callers[Index].m_Offered},
        {"in_time", Of.m_Callers[Index].m_InTime},
        {"refused", Of.m_Callers[Index].m_Refused}};
  return Made;
}

Json toJson(const RunResult &Of, const std::vector<CallerSpec> &Specs) {
  return {{"callers", callersOf(Of, Specs)},
          {"offered", Of.m_Offered},
          {"in_time", Of.m_InTime},
          {"late", Of.m_Late},
          {"service_offered", Of.m_ServiceOffered},
          {"service_in_time", Of.m_ServiceInTime},
          {"role_changes", Of.m_RoleChanges},
          {"goodput_per_second", Of.m_GoodputPerSecond},
          {"busy_share", Of.m_BusyShare},
          {"hit_share", Of.m_HitShare},
          {"first_token_p50_ms", milliseconds(Of.m_FirstTokenMedian)},
          {"first_token_p95_ms", milliseconds(Of.m_FirstTokenP95)},
          {"refused", Of.m_RefusedByReason},
          {"changes", Of.m_Changes}};
}

} // namespace

std::string printRows(const Report &Of) {
  std::string Text;
  for (const Row &Each : Of.m_Rows)
    Text += fmt::format("{:<52} {:>10.2f} {:<8} {:<10} {}\n", Each.m_Name,
                        Each.m_Value, Each.m_Unit,
                        Each.m_Bound.empty() ? "-" : Each.m_Bound,
                        Each.m_Holds ? "ok" : "MISSED");
  return Text;
}

std::string printPolicies(const Report &Of) {
  std::string Text = fmt::format(
      "# {}: medians over seeds (least..most)\n"
      "# {:<20} {:<12} {:>22} {:>8} {:>6} {:>8} {:>8} {:>6} {:>6}\n",
      Of.m_Name, "policy", "split", "goodput/s", "offered", "chang", "p50_ms",
      "p95_ms", "busy%", "hit%");
  for (const PolicyRuns &Each : Of.m_Policies) {
    std::vector<double> Goodputs = goodputs(Each);
    auto Median = [&Each](auto Get) { return median(collect(Each, Get)); };
    Text += fmt::format(
        "# {:<20} {:<12} {:>7.2f} ({:.2f}..{:.2f}) {:>8.0f} {:>6.0f} {:>8.0f} "
        "{:>8.0f} {:>6.1f} {:>6.1f}",
        Each.m_Policy, printSplit(Each.m_Setup.m_Split), median(Goodputs),
        leastOf(Goodputs), mostOf(Goodputs),
        Median([](const RunResult &One) { return One.m_Offered; }),
        Median([](const RunResult &One) { return One.m_RoleChanges; }),
        Median([](const RunResult &One) {
          return milliseconds(One.m_FirstTokenMedian);
        }),
        Median([](const RunResult &One) {
          return milliseconds(One.m_FirstTokenP95);
        }),
        Median([](const RunResult &One) { return 100 * One.m_BusyShare; }),
        Median([](const RunResult &One) { return 100 * One.m_HitShare; }));
    Text +=
        fmt::format(" late={:.0f}",
                    Median([](const RunResult &One) { return One.m_Late; }));
    for (const auto &[Reason, Count] : refusals(Each))
      Text += fmt::format(" {}={}", Reason, Count / Each.m_Runs.size());
    Text += '\n';
  }
  return Text;
}

Json toJson(const Report &Of) {
  Json Rows = Json::array();
  for (const Row &Each : Of.m_Rows)
    Rows.push_back({{"name", Each.m_Name},
                    {"value", Each.m_Value},
                    {"unit", Each.m_Unit},
                    {"bound", Each.m_Bound},
                    {"verdict", Each.m_Holds ? "ok" : "missed"}});
  Json Policies = Json::array();
  for (const PolicyRuns &Each : Of.m_Policies) {
    Json Runs = Json::array();
    for (const RunResult &One : Each.m_Runs)
      Runs.push_back(toJson(One, Each.m_Setup.m_Workload.m_Callers));
    Json Plan = Json::array();
    for (const PlannedSplit &One : Each.m_Setup.m_Plan)
      Plan.push_back(printSplit(One.m_Split));
    Policies.push_back({{"policy", Each.m_Policy},
                        {"split", printSplit(Each.m_Setup.m_Split)},
                        {"plan", Plan},
                        {"runs", Runs}});
  }
  return {{"experiment", Of.m_Name}, {"rows", Rows}, {"policies", Policies}};
}

std::string printTimeline(const Report &Of) {
  std::string Text;
  for (const PolicyRuns &Each : Of.m_Policies) {
    Text += fmt::format("\"{}\"\n", Each.m_Policy);
    for (const Sample &One : Each.m_Runs.front().m_Samples)
      Text += fmt::format("{:.0f} {:.2f} {:.2f} {} {} {}\n", One.m_Second,
                          One.m_OfferedPerSecond, One.m_InTimePerSecond,
                          One.m_Split[0], One.m_Split[1], One.m_Split[2]);
    Text += "\n\n";
  }
  return Text;
}

} // namespace wasabivale::experiment
