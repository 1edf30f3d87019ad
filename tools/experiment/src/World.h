/// \file
/// One run of the decision libraries in virtual time: entries with their
/// routing and limits, the role planner, and models of the engines in place
/// of the targets. There are no processes, no network and no failures.

#ifndef WASABIVALE_EXPERIMENT_WORLD_H
#define WASABIVALE_EXPERIMENT_WORLD_H

#include "Workload.h"
#include "roles/roles.h"
#include "routing/routing.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wasabivale::experiment {

/// Engines of each role, indexed by `roles::Role`.
using Split = std::array<std::uint32_t, roles::RoleCount>;
std::string printSplit(const Split &Of);

/// A split that an informed operator wants from a moment on.
struct PlannedSplit {
  TimePoint m_At;
  Split m_Split{};
};

/// Everything that makes one run.
struct Setup {
  WorkloadSpec m_Workload;
  std::uint32_t m_Entries = 6;
  routing::Policy m_Routing = routing::Policy::AffinityAndWork;
  Split m_Split{};                        ///< At the start.
  std::optional<roles::Policy> m_Planner; ///< Unset: no planner.
  std::vector<PlannedSplit> m_Plan;       ///< Of an informed run.
  std::vector<double> m_Weights;          ///< Of callers; empty: all 1.
};

struct CallerResult {
  std::uint64_t m_Offered = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Refused = 0;
};

/// One interval of a run, for plots.
struct Sample {
  double m_Second = 0;
  double m_OfferedPerSecond = 0;
  double m_InTimePerSecond = 0;
  Split m_Split{};
};

struct RunResult {
  std::uint64_t m_Offered = 0; ///< Without calls of services.
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Late = 0; ///< Started, and cancelled at the deadline.
  std::uint64_t m_ServiceOffered = 0;
  std::uint64_t m_ServiceInTime = 0;
  std::uint32_t m_RoleChanges = 0;
  double m_GoodputPerSecond = 0;
  double m_BusyShare = 0; ///< Engines with work, mean over the run.
  double m_HitShare = 0;  ///< Prompt tokens found in a cache.
  Duration m_FirstTokenMedian{0};
  Duration m_FirstTokenP95{0};
  std::map<std::string, std::uint64_t> m_RefusedByReason;
  std::vector<CallerResult> m_Callers;
  std::vector<Sample> m_Samples;
  std::vector<std::string> m_Changes; ///< One line for each role change.
};

/// Runs \p What to the end of its schedule and of what it started.
RunResult run(const Setup &What, const std::vector<Arrival> &Arrivals);

} // namespace wasabivale::experiment

#endif // WASABIVALE_EXPERIMENT_WORLD_H
