#include "RolePlanner.h"

#include <algorithm>

namespace wasabivale::control {

namespace {

using fleet::Json;

constexpr std::chrono::seconds StepInterval{5};

/// What the configuration and the confirmed policy say of the planner; the rest
/// is the deployment's default.
roles::Policy rulesOf(const fleet::State &Known) {
  roles::Policy Rules = roles::cooperativePolicy();
  Rules.m_Enabled = Known.m_Policy.m_Active;
  Rules.m_ChangesPerHour = Known.m_Policy.m_ChangesPerHour;
  const Json Document = Json::parse(
      fleet::currentDocument(Known.m_Configuration), nullptr, false);
  if (!Document.is_object() || !Document.contains("roles"))
    return Rules;
  const Json &Given = Document["roles"];
  Rules.m_CostAnswers = Given.value("cost_per_change", Rules.m_CostAnswers);
  const std::int64_t Horizon = Given.value("horizon_ms", std::int64_t{0});
  if (std::chrono::milliseconds(Horizon) > Rules.m_ChangeDuration)
    Rules.m_Horizon = std::chrono::milliseconds(Horizon);
  return Rules;
}

roles::EngineState stateOf(const fleet::State &Known,
                           const fleet::Target &Which) {
  const bool Changing =
      !Which.m_ClaimedBy.empty() ||
      fleet::orderUnderWay(Known.m_Orders, Which.m_Id) != nullptr ||
      Which.m_State == fleet::TargetState::Announced;
  if (Changing)
    return roles::EngineState::Changing;
  return Which.m_State == fleet::TargetState::Serving
             ? roles::EngineState::Serving
             : roles::EngineState::Unavailable;
}

roles::Engine engineOf(const fleet::State &Known, const fleet::Target &Which,
                       const RolePlanner &Heard) {
  roles::Engine Out;
  Out.m_Id = Which.m_Id;
  for (const std::string &Model : Which.m_Models)
    Out.m_Models.push_back({Model});
  Out.m_Role = roles::parseRole(Which.m_Role).value_or(roles::Role::Mixed);
  Out.m_State = stateOf(Known, Which);
  Out.m_PrefillTokensPerSecond = Which.m_PrefillTokensPerSecond;
  // Targets announce the rate of one stream.
  Out.m_DecodeTokensPerSecond =
      Which.m_DecodeTokensPerSecond * Which.m_MaxRunning;
  const auto Running = Heard.m_Running.find(Which.m_Id);
  if (Running != Heard.m_Running.end())
    Out.m_Running = Running->second;
  return Out;
}

wire::Command automatic(const roles::Change &Change) {
  wire::Command Out;
  Out.set_request_id(randomIdentity());
  Out.set_actor("policy");
  Out.mutable_operator_command()->set_kind("automatic");
  Out.mutable_operator_command()->set_body(Json{
      {"intent", "shift_role"},
      {"targets", {Change.m_Engine.m_Value}},
      {"role", roles::roleName(Change.m_To)}}.dump());
  return Out;
}

} // namespace

void startTerm(RolePlanner &On, const fleet::State &Known, TimePoint Now) {
  On = {};
  On.m_LastStep = Now;
  std::vector<TimePoint> Changes;
  for (const LogTime Each : Known.m_Policy.m_Changes)
    Changes.push_back(Now - (Known.m_Now - Each));
  roles::restoreChanges(On.m_State, Changes);
}

void takeReport(RolePlanner &On, const wire::EntryReport &Report) {
  for (const wire::ModelDemand &Each : Report.demand()) {
    roles::Demand &Sum = On.m_Demand[{Each.model()}];
    Sum.m_Requests += Each.requests();
    Sum.m_PromptTokens += Each.prompt_tokens();
    Sum.m_CachedPromptTokens += Each.cached_prompt_tokens();
    Sum.m_OutputTokens += Each.output_tokens();
    Sum.m_CompletedInTime += Each.completed_in_time();
    Sum.m_Refused += Each.refused();
  }
  for (const wire::TargetReport &Each : Report.targets())
    On.m_Running[{Each.target()}] = Each.running();
}

std::optional<wire::Command>
stepWhenDue(RolePlanner &On, const fleet::State &Known, TimePoint Now) {
  if (Now - On.m_LastStep < StepInterval)
    return std::nullopt;
  roles::Observation Seen;
  Seen.m_Interval = Now - On.m_LastStep;
  Seen.m_Demand = std::exchange(On.m_Demand, {});
  On.m_LastStep = Now;
  for (const auto &[Name, Each] : Known.m_Targets.m_ById)
    if (Each.m_IsEngine)
      Seen.m_Engines.push_back(engineOf(Known, Each, On));
  roles::Decision Decided = roles::step(On.m_State, rulesOf(Known), Seen, Now);
  On.m_Explanations = std::move(Decided.m_Explanations);
  if (!Decided.m_Change)
    return std::nullopt;
  return automatic(*Decided.m_Change);
}

Json explain(const RolePlanner &Of, const fleet::State &Known) {
  Json Decisions = Json::array();
  for (const roles::Explanation &Each : Of.m_Explanations) {
    Decisions.push_back(roles::toJson(Each));
    Decisions.back()["text"] = roles::describe(Each);
  }
  return {{"policy", toJson(Known.m_Policy)}, {"decisions", Decisions}};
}

} // namespace wasabivale::control
