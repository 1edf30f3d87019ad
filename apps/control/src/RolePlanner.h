/// \file
/// Passes the demand that entries report to the role planner and turns its
/// decisions into automatic plans, within the active role policy.

#ifndef WASABIVALE_CONTROL_ROLEPLANNER_H
#define WASABIVALE_CONTROL_ROLEPLANNER_H

#include "fleet/fleet.h"
#include "roles/roles.h"

#include <optional>

namespace wasabivale::control {

/// State of the leader, not replicated; empty at the start of a term.
struct RolePlanner {
  roles::State m_State;
  std::map<ModelId, roles::Demand> m_Demand; ///< Since the last step.
  std::map<TargetId, std::uint32_t> m_Running;
  TimePoint m_LastStep;
  std::vector<roles::Explanation> m_Explanations; ///< Of the last step.
};

/// Starts a term; changes of the last hour count against the budget.
void startTerm(RolePlanner &Planner, const fleet::State &Known, TimePoint Now);

void handleReport(RolePlanner &Planner, const wire::EntryReport &Report);

/// Runs a planner step when the interval has passed and a role policy is
/// active. \returns the automatic command to propose, if any.
std::optional<wire::Command>
stepWhenDue(RolePlanner &Planner, const fleet::State &Known, TimePoint Now);

/// \returns the active policy and the explanation of the last step.
fleet::Json explain(const RolePlanner &Planner, const fleet::State &Known);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_ROLEPLANNER_H
