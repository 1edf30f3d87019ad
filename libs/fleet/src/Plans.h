/// \file
/// Life cycle of plans: confirmation by compare-and-set, steps in order,
/// cancellation at a safe point.

#ifndef WASABIVALE_FLEET_SRC_PLANS_H
#define WASABIVALE_FLEET_SRC_PLANS_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

const Step *findStep(const State &Fleet, const PlanId &Name,
                     std::uint32_t Index);

/// Whether a step for the target has started and has not ended.
bool hasActiveStep(const State &Fleet, const Target &Target);

/// Whether the step can start: its plan is running, earlier stages are done,
/// and its target has no order under way.
bool canStart(const State &Fleet, const Plan &Plan, std::size_t Index);

/// Resets the target's active step to its barrier after the target has
/// restarted. \returns whether there was an active step.
bool restartStep(State &Fleet, Target &Target);

/// Fails the target's step and with it the plan.
void failStep(State &Fleet, const Target &Target, const std::string &Reason);

/// Keeps a lost target out of service if its active step was to take it out.
void keepDesiredStateAfterLoss(State &Fleet, Target &Target);

void markStepReady(State &Fleet, const Target &Target);
void markStepOrdered(State &Fleet, const Order &Order);
void retryStep(State &Fleet, const Order &Order);
void endStep(State &Fleet, const Order &Order, bool Done,
             const std::string &Message);

Reply proposePlan(State &Fleet, const wire::Command &Command);
Reply confirmPlan(State &Fleet, const wire::Command &Command);
Reply cancelPlan(State &Fleet, const wire::Command &Command);
/// Plans a role shift and confirms it at once, within the role policy.
Reply shiftRoleAutomatically(State &Fleet, const wire::Command &Command);
Reply handleStartStep(State &Fleet, const wire::StartStep &Request);
Reply handleStepProgress(State &Fleet, const wire::StepProgress &Progress);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_PLANS_H
