/// \file
/// Rules of the plan aggregate: confirm by compare-and-set, steps in order,
/// cancel at a safe point.

#ifndef WASABIVALE_FLEET_SRC_PLANS_H
#define WASABIVALE_FLEET_SRC_PLANS_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

const Step *findStep(const State &In, const PlanId &Name, std::uint32_t Index);

/// Whether a step for the target has started and not ended.
bool hasActiveStep(const State &In, const Target &About);

/// Whether the step can start: its plan runs, earlier stages are done, and its
/// target takes no other order.
bool canStart(const State &In, const Plan &Of, std::size_t Index);

/// The target came back as another incarnation: its step, if one is active,
/// goes back to its barrier. \returns whether there was one.
bool restartStep(State &On, Target &About);

/// Ends the step for a target, and with it the plan, as failed.
void failStepOf(State &On, const Target &About, const std::string &Why);

/// A lost target whose step was to take it out of service is to stay out.
void keepOutAfterLoss(State &On, Target &About);

void readyStepOf(State &On, const Target &About);
void markOrdered(State &On, const Order &Issued);
void repeatStep(State &On, const Order &Superseded);
void endStep(State &On, const Order &Ended, bool Done,
             const std::string &Message);

Reply propose(State &On, const wire::Command &Command);
Reply confirm(State &On, const wire::Command &Command);
Reply cancel(State &On, const wire::Command &Command);
/// Plans and confirms at once within the standing role policy.
Reply shiftAutomatically(State &On, const wire::Command &Command);
Reply startStep(State &On, const wire::StartStep &Said);
Reply progressStep(State &On, const wire::StepProgress &Said);

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_PLANS_H
