#include "Policy.h"

#include "Replies.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

constexpr std::chrono::hours BudgetWindow{1};

bool isAutomaticPlanRunning(const Plans &Plans) {
  return std::any_of(Plans.m_ById.begin(), Plans.m_ById.end(),
                     [](const auto &Item) {
                       return Item.second.m_Phase == PlanPhase::Running &&
                              Item.second.m_Actor == "policy";
                     });
}

} // namespace

std::optional<Reply> acceptPolicy(State &Fleet, const Plan &Plan,
                                  const Json &Document) {
  RolePolicy &Policy = Fleet.m_Policy;
  Policy.m_Active = flagOf(Document, "active");
  Policy.m_Plan = Plan.m_Id;
  Policy.m_ChangesPerHour =
      static_cast<std::uint32_t>(numberOf(Document, "changes_per_hour", 0));
  Policy.m_Cooldown =
      std::chrono::milliseconds(numberOf(Document, "cooldown_ms", 0));
  const auto Minimum = Document.find("minimum");
  const Json None = Json::object();
  const Json &Minima =
      Minimum != Document.end() && Minimum->is_object() ? *Minimum : None;
  Policy.m_MinimumPrefill =
      static_cast<std::uint32_t>(numberOf(Minima, "prefill", 0));
  Policy.m_MinimumDecode =
      static_cast<std::uint32_t>(numberOf(Minima, "decode", 0));
  return std::nullopt;
}

std::optional<Reply> exceedsPolicy(State &Fleet) {
  RolePolicy &Policy = Fleet.m_Policy;
  if (!Policy.m_Active)
    return refuse(Refusal::PolicyExceeded, "no role policy is active");
  while (!Policy.m_Changes.empty() &&
         Fleet.m_Now - Policy.m_Changes.front() >= BudgetWindow)
    Policy.m_Changes.pop_front();
  if (Policy.m_Changes.size() >= Policy.m_ChangesPerHour)
    return refuse(Refusal::PolicyExceeded, "the hour's changes are used up");
  if (!Policy.m_Changes.empty() &&
      Fleet.m_Now - Policy.m_Changes.back() < Policy.m_Cooldown)
    return refuse(Refusal::PolicyExceeded, "the cooldown runs");
  if (isAutomaticPlanRunning(Fleet.m_Plans))
    return refuse(Refusal::PolicyExceeded, "one change at a time");
  return std::nullopt;
}

} // namespace wasabivale::fleet
