/// \file
/// Feeds the role planner with what entries report and turns its decisions into
/// automatic plans, within the standing role policy.

#ifndef WASABIVALE_CONTROL_ROLEPLANNER_H
#define WASABIVALE_CONTROL_ROLEPLANNER_H

#include "fleet/fleet.h"
#include "roles/roles.h"

#include <optional>

namespace wasabivale::control {

/// Memory of the leader; empty at the start of a term.
struct RolePlanner {
  roles::State m_State;
  std::map<ModelId, roles::Demand> m_Demand; ///< Since the last step.
  std::map<TargetId, std::uint32_t> m_Running;
  TimePoint m_LastStep;
  std::vector<roles::Explanation> m_Explanations; ///< Of the last step.
};

/// Starts a term; changes of the last hour count against the budget.
void startTerm(RolePlanner &On, const fleet::State &Known, TimePoint Now);

void takeReport(RolePlanner &On, const wire::EntryReport &Report);

/// Steps when the interval has passed and a role policy is active.
/// \returns the automatic command to propose, if any.
std::optional<wire::Command>
stepWhenDue(RolePlanner &On, const fleet::State &Known, TimePoint Now);

/// The standing policy and why the last step decided as it did.
fleet::Json explain(const RolePlanner &Of, const fleet::State &Known);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_ROLEPLANNER_H
