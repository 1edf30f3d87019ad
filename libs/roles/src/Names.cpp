#include "roles/roles.h"

namespace wasabivale::roles {

std::string_view roleName(Role Value) {
  switch (Value) {
  case Role::Mixed:
    return "mixed";
  case Role::Prefill:
    return "prefill";
  case Role::Decode:
    return "decode";
  }
  return "mixed";
}

std::optional<Role> parseRole(std::string_view Name) {
  for (Role Value : {Role::Mixed, Role::Prefill, Role::Decode})
    if (roleName(Value) == Name)
      return Value;
  return std::nullopt;
}

std::string_view reasonName(Reason Value) {
  switch (Value) {
  case Reason::Changed:
    return "changed";
  case Reason::Disabled:
    return "disabled";
  case Reason::Learning:
    return "learning";
  case Reason::ChangeInProgress:
    return "change_in_progress";
  case Reason::Cooldown:
    return "cooldown";
  case Reason::BudgetSpent:
    return "budget_spent";
  case Reason::NoAlternative:
    return "no_alternative";
  case Reason::NoGain:
    return "no_gain";
  case Reason::Uncertain:
    return "uncertain";
  case Reason::LittleEvidence:
    return "little_evidence";
  case Reason::AnotherPool:
    return "another_pool";
  }
  return "no_gain";
}

} // namespace wasabivale::roles
