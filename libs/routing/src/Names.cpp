#include "routing/routing.h"

namespace wasabivale::routing {

std::string_view policyName(Policy Value) {
  switch (Value) {
  case Policy::RoundRobin:
    return "round_robin";
  case Policy::LeastReportedLoad:
    return "least_reported_load";
  case Policy::AffinityAndWork:
    return "affinity_and_work";
  }
  return "affinity_and_work";
}

std::optional<Policy> policyFromName(std::string_view Name) {
  for (Policy Value : {Policy::RoundRobin, Policy::LeastReportedLoad,
                       Policy::AffinityAndWork}) {
    if (policyName(Value) == Name)
      return Value;
  }
  return std::nullopt;
}

std::string_view tryOutcomeName(TryOutcome Value) {
  switch (Value) {
  case TryOutcome::Completed:
    return "completed";
  case TryOutcome::NotSent:
    return "not_sent";
  case TryOutcome::Cancelled:
    return "cancelled";
  case TryOutcome::Full:
    return "full";
  case TryOutcome::Failed:
    return "failed";
  case TryOutcome::Stalled:
    return "stalled";
  case TryOutcome::Crashed:
    return "crashed";
  }
  return "failed";
}

} // namespace wasabivale::routing
