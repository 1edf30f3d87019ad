/// \file
/// The experiments: which schedules, policies and seeds are run, and the rows
/// that compare them.

#ifndef WASABIVALE_EXPERIMENT_EXPERIMENTS_H
#define WASABIVALE_EXPERIMENT_EXPERIMENTS_H

#include "World.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace wasabivale::experiment {

/// A fleet of one user, and how it weighs role changes.
struct Deployment {
  std::string m_Name;
  std::uint32_t m_Engines = 0;
  std::uint32_t m_Services = 0;
  roles::Policy m_Planner;
};
/// Of `cooperative` and `malabar`; none for another name.
std::optional<Deployment> findDeployment(const std::string &Name);

/// One figure. A row without a bound always passes.
struct Row {
  std::string m_Name;
  double m_Value = 0;
  std::string m_Unit;
  std::string m_Bound; ///< For people, for example `>= 95`; may be empty.
  bool m_Holds = true;
};

/// Runs of one policy over all seeds.
struct PolicyRuns {
  std::string m_Policy;
  Setup m_Setup;
  std::vector<RunResult> m_Runs; ///< In the order of the seeds.
};

struct Report {
  std::string m_Name;
  std::vector<Row> m_Rows;
  std::vector<PolicyRuns> m_Policies;
};

struct Options {
  Deployment m_Deployment;
  std::uint32_t m_Seeds = 5;
  std::uint32_t m_FirstSeed = 1;
};

/// Name of an experiment and the function that runs it.
struct Experiment {
  std::string m_Name;
  std::function<Report(const Options &)> m_Run;
};
const std::vector<Experiment> &experiments();

double median(std::vector<double> Values);

/// `name value unit bound verdict`, one line for each row.
std::string printRows(const Report &Of);
/// One line for each policy with its medians and spreads.
std::string printPolicies(const Report &Of);
nlohmann::json toJson(const Report &Of);
/// Offered and in-time answers per second of the first seed, by policy, in
/// blocks for gnuplot.
std::string printTimeline(const Report &Of);

} // namespace wasabivale::experiment

#endif // WASABIVALE_EXPERIMENT_EXPERIMENTS_H
