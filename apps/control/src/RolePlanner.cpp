#include "RolePlanner.h"

#include <algorithm>

namespace wasabivale::control {

namespace {

using fleet::Json;

constexpr std::chrono::seconds StepInterval{5};

/// Planner policy from the configuration and the confirmed policy; the rest is
/// the default of the deployment.
roles::Policy policyFrom(const fleet::State &Known) {
  roles::Policy Policy = roles::cooperativePolicy();
  Policy.m_Enabled = Known.m_Policy.m_Active;
  Policy.m_ChangesPerHour = Known.m_Policy.m_ChangesPerHour;
  const Json Document = Json::parse(
      fleet::currentDocument(Known.m_Configuration), nullptr, false);
  if (!Document.is_object() || !Document.contains("roles"))
    return Policy;
  const Json &Section = Document["roles"];
  Policy.m_CostAnswers = Section.value("cost_per_change", Policy.m_CostAnswers);
  const std::int64_t Horizon = Section.value("horizon_ms", std::int64_t{0});
  if (std::chrono::milliseconds(Horizon) > Policy.m_ChangeDuration)
    Policy.m_Horizon = std::chrono::milliseconds(Horizon);
  return Policy;
}

roles::EngineState stateOf(const fleet::State &Known,
                           const fleet::Target &Target) {
  const bool Changing =
      !Target.m_ClaimedBy.empty() ||
      fleet::orderUnderWay(Known.m_Orders, Target.m_Id) != nullptr ||
      Target.m_State == fleet::TargetState::Announced;
  if (Changing)
    return roles::EngineState::Changing;
  return Target.m_State == fleet::TargetState::Serving
             ? roles::EngineState::Serving
             : roles::EngineState::Unavailable;
}

roles::Engine engineOf(const fleet::State &Known, const fleet::Target &Target,
                       const RolePlanner &Planner) {
  roles::Engine Engine;
  Engine.m_Id = Target.m_Id;
  for (const std::string &Model : Target.m_Models)
    Engine.m_Models.push_back({Model});
  Engine.m_Role = roles::parseRole(Target.m_Role).value_or(roles::Role::Mixed);
  Engine.m_State = stateOf(Known, Target);
  Engine.m_PrefillTokensPerSecond = Target.m_PrefillTokensPerSecond;
  // Targets announce the rate of one stream.
  Engine.m_DecodeTokensPerSecond =
      Target.m_DecodeTokensPerSecond * Target.m_MaxRunning;
  const auto Running = Planner.m_Running.find(Target.m_Id);
  if (Running != Planner.m_Running.end())
    Engine.m_Running = Running->second;
  return Engine;
}

wire::Command automaticCommand(const roles::Change &Change) {
  wire::Command Command;
  Command.set_request_id(randomIdentity());
  Command.set_actor("policy");
  Command.mutable_operator_command()->set_kind("automatic");
  Command.mutable_operator_command()->set_body(Json{
      {"intent", "shift_role"},
      {"targets", {Change.m_Engine.m_Value}},
      {"role", roles::roleName(Change.m_To)}}.dump());
  return Command;
}

} // namespace

void startTerm(RolePlanner &Planner, const fleet::State &Known, TimePoint Now) {
  Planner = {};
  Planner.m_LastStep = Now;
  std::vector<TimePoint> Changes;
  for (const LogTime Time : Known.m_Policy.m_Changes)
    Changes.push_back(Now - (Known.m_Now - Time));
  roles::restoreChanges(Planner.m_State, Changes);
}

void handleReport(RolePlanner &Planner, const wire::EntryReport &Report) {
  for (const wire::ModelDemand &Demand : Report.demand()) {
    roles::Demand &Sum = Planner.m_Demand[{Demand.model()}];
    Sum.m_Requests += Demand.requests();
    Sum.m_PromptTokens += Demand.prompt_tokens();
    Sum.m_CachedPromptTokens += Demand.cached_prompt_tokens();
    Sum.m_OutputTokens += Demand.output_tokens();
    Sum.m_CompletedInTime += Demand.completed_in_time();
    Sum.m_Refused += Demand.refused();
  }
  for (const wire::TargetReport &Target : Report.targets())
    Planner.m_Running[{Target.target()}] = Target.running();
}

std::optional<wire::Command>
stepWhenDue(RolePlanner &Planner, const fleet::State &Known, TimePoint Now) {
  if (Now - Planner.m_LastStep < StepInterval)
    return std::nullopt;
  roles::Observation Observed;
  Observed.m_Interval = Now - Planner.m_LastStep;
  Observed.m_Demand = std::exchange(Planner.m_Demand, {});
  Planner.m_LastStep = Now;
  for (const auto &[Name, Target] : Known.m_Targets.m_ById)
    if (Target.m_IsEngine)
      Observed.m_Engines.push_back(engineOf(Known, Target, Planner));
  roles::Decision Decision =
      roles::step(Planner.m_State, policyFrom(Known), Observed, Now);
  Planner.m_Explanations = std::move(Decision.m_Explanations);
  if (!Decision.m_Change)
    return std::nullopt;
  return automaticCommand(*Decision.m_Change);
}

Json explain(const RolePlanner &Planner, const fleet::State &Known) {
  Json Decisions = Json::array();
  for (const roles::Explanation &Explanation : Planner.m_Explanations) {
    Decisions.push_back(roles::toJson(Explanation));
    Decisions.back()["text"] = roles::describe(Explanation);
  }
  return {{"policy", toJson(Known.m_Policy)}, {"decisions", Decisions}};
}

} // namespace wasabivale::control
