#include "Planner.h"

#include "Replies.h"
#include "Targets.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

using StepsOrRefusal = std::variant<std::vector<Step>, Reply>;

/// State of a target as expected after the earlier steps of a plan.
struct TargetForecast {
  bool m_Serving = false;
  bool m_IsEngine = false;
  std::string m_Role;
  std::set<std::string> m_Models;
  std::uint32_t m_Running = 0;
};
using Forecast = std::map<TargetId, TargetForecast>;

Forecast currentForecast(const State &Fleet) {
  Forecast Result;
  for (const auto &[Name, Target] : Fleet.m_Targets.m_ById)
    Result[Name] = {Target.m_State == TargetState::Serving, Target.m_IsEngine,
                    Target.m_Role, Target.m_Models, Target.m_MaxRunning};
  return Result;
}

std::map<std::string, Capacity> capacityOf(const Forecast &Targets) {
  std::map<std::string, Capacity> Result;
  for (const auto &[Name, Target] : Targets) {
    if (!Target.m_Serving)
      continue;
    for (const std::string &Model : Target.m_Models) {
      const std::string Served = Target.m_IsEngine ? Model : "service " + Model;
      Capacity &Sum = Result[Served];
      Sum.m_Name = Served;
      Sum.m_Targets += 1;
      Sum.m_Running += Target.m_Running;
    }
  }
  return Result;
}

/// The first name that is served in \p Before but not in \p After; empty if
/// none.
std::string firstUnserved(const std::map<std::string, Capacity> &Before,
                          const std::map<std::string, Capacity> &After) {
  for (const auto &[Name, Sum] : Before)
    if (After.find(Name) == After.end())
      return Name;
  return {};
}

void applyStep(Forecast &Targets, const Step &Step) {
  TargetForecast &Target = Targets[Step.m_Target];
  Target.m_Role = Step.m_DesiredState.m_Role;
  Target.m_Models = Step.m_DesiredState.m_Models;
  Target.m_Serving =
      !Step.m_DesiredState.m_Draining && !Step.m_DesiredState.m_Withdrawn;
}

/// Computes the remaining capacity for each step. \returns a name that would
/// be left without a target at some point; empty if none.
std::string forecast(const State &Fleet, std::vector<Step> &Steps) {
  Forecast Now = currentForecast(Fleet);
  const auto Before = capacityOf(Now);
  std::string Empty;
  for (std::size_t First = 0; First < Steps.size();) {
    std::size_t Next = First;
    Forecast During = Now;
    while (Next < Steps.size() && Steps[Next].m_Stage == Steps[First].m_Stage) {
      if (Steps[Next].m_StopsServing)
        During[Steps[Next].m_Target].m_Serving = false;
      applyStep(Now, Steps[Next]);
      ++Next;
    }
    const auto Remaining = capacityOf(During);
    for (; First < Next; ++First)
      for (const auto &[Name, Sum] : Remaining)
        Steps[First].m_Remaining.push_back(Sum);
    if (Empty.empty())
      Empty = firstUnserved(Before, Remaining);
    if (Empty.empty())
      Empty = firstUnserved(Before, capacityOf(Now));
  }
  return Empty;
}

/// Number of engines that serve \p Model in \p Role; mixed engines serve both.
std::uint32_t countCapable(const Forecast &Targets, const std::string &Model,
                           const std::string &Role) {
  return static_cast<std::uint32_t>(
      std::count_if(Targets.begin(), Targets.end(), [&](const auto &Item) {
        const TargetForecast &Target = Item.second;
        return Target.m_Serving && Target.m_IsEngine &&
               Target.m_Models.count(Model) != 0 &&
               (Target.m_Role == "mixed" || Target.m_Role == Role);
      }));
}

/// Whether the minima of the policy still hold after all \p Steps.
bool keepsMinima(const State &Fleet, const std::vector<Step> &Steps) {
  Forecast After = currentForecast(Fleet);
  for (const Step &Step : Steps)
    applyStep(After, Step);
  for (const Step &Step : Steps)
    for (const std::string &Model : Step.m_DesiredState.m_Models)
      if (countCapable(After, Model, "prefill") <
              Fleet.m_Policy.m_MinimumPrefill ||
          countCapable(After, Model, "decode") < Fleet.m_Policy.m_MinimumDecode)
        return false;
  return true;
}

std::variant<std::vector<const Target *>, Reply>
namedTargets(const State &Fleet, const Json &Intent) {
  std::set<std::string> Names;
  const auto List = Intent.find("targets");
  if (List != Intent.end() && List->is_array())
    for (const Json &Item : *List)
      if (Item.is_string())
        Names.insert(Item.get<std::string>());
  std::vector<const Target *> Result;
  for (const std::string &Name : Names) {
    const Target *Found = findTarget(Fleet.m_Targets, {Name});
    if (Found == nullptr)
      return refuse(Refusal::UnknownTarget, "no target " + Name);
    Result.push_back(Found);
  }
  return Result;
}

Reply refuseTarget(const Target &Target, std::string_view Reason) {
  return refuse(Refusal::PlanNotPossible,
                fmt::format("{}: {}", Target.m_Id.m_Value, Reason));
}

/// Refuses a target that is lost, leaving or claimed by another plan.
std::optional<Reply> checkAvailable(const Target &Target) {
  if (Target.m_State == TargetState::Lost)
    return refuseTarget(Target, "it is lost");
  if (Target.m_LeaveRequested)
    return refuseTarget(Target, "it is leaving");
  if (!Target.m_ClaimedBy.empty())
    return refuseTarget(Target, Target.m_ClaimedBy.m_Value + " changes it");
  return std::nullopt;
}

Step orderStep(const Target &Target, DesiredState Desired) {
  Step Step;
  Step.m_Target = Target.m_Id;
  Step.m_StopsServing =
      Target.m_State == TargetState::Serving && needsBarrier(Target, Desired);
  Step.m_DesiredState = std::move(Desired);
  return Step;
}

/// Creates one step for each target that is not in the desired state. Steps
/// that interrupt serving run one after another, the others concurrently.
template <typename Change>
StepsOrRefusal stepsForTargets(const std::vector<const Target *> &Targets,
                               Change Apply) {
  std::vector<Step> Result;
  for (const Target *Target : Targets) {
    if (std::optional<Reply> Rejection = checkAvailable(*Target))
      return *Rejection;
    const DesiredState Before = desiredOrActualState(*Target);
    DesiredState Desired = Before;
    Apply(*Target, Desired);
    if (Desired == Before)
      continue;
    Step Next = orderStep(*Target, std::move(Desired));
    if (!Result.empty()) {
      const bool Alone = Next.m_StopsServing || Result.back().m_StopsServing;
      Next.m_Stage = Result.back().m_Stage + (Alone ? 1 : 0);
    }
    Result.push_back(std::move(Next));
  }
  if (Result.empty())
    return refuse(Refusal::PlanNotPossible, "nothing would change");
  return Result;
}

/// Selects engines for a model when the operator names none, preferring those
/// that serve the fewest models.
std::vector<const Target *> chooseEngines(const State &Fleet,
                                          const std::string &Model,
                                          std::uint64_t Count) {
  std::vector<const Target *> Result;
  for (const auto &[Name, Target] : Fleet.m_Targets.m_ById)
    if (Target.m_IsEngine && Target.m_State == TargetState::Serving &&
        Target.m_ClaimedBy.empty() && Target.m_Models.count(Model) == 0)
      Result.push_back(&Target);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Target *A, const Target *B) {
                     return A->m_Models.size() < B->m_Models.size();
                   });
  if (Result.size() > Count)
    Result.resize(Count);
  return Result;
}

bool containsService(const std::vector<const Target *> &Targets) {
  return std::any_of(Targets.begin(), Targets.end(),
                     [](const Target *Target) { return !Target->m_IsEngine; });
}

StepsOrRefusal planServe(const State &Fleet, const Json &Intent,
                         std::vector<const Target *> Targets) {
  const std::string Model = textOf(Intent, "model");
  const std::string Replaced = textOf(Intent, "replace");
  if (Model.empty())
    return refuse(Refusal::InvalidField, "model");
  const std::uint64_t Count = numberOf(Intent, "count", 1);
  if (Targets.empty())
    Targets = chooseEngines(Fleet, Model, Count);
  if (Targets.empty())
    return refuse(Refusal::PlanNotPossible, "no engine is free for it");
  if (containsService(Targets))
    return refuse(Refusal::PlanNotPossible, "a service loads no models");
  return stepsForTargets(Targets,
                         [&](const Target & /*Target*/, DesiredState &Desired) {
                           Desired.m_Models.insert(Model);
                           if (!Replaced.empty())
                             Desired.m_Models.erase(Replaced);
                         });
}

StepsOrRefusal planUnload(const State &Fleet, const Json &Intent,
                          std::vector<const Target *> Targets) {
  const std::string Model = textOf(Intent, "model");
  if (Targets.empty())
    for (const auto &[Name, Target] : Fleet.m_Targets.m_ById)
      if (Target.m_IsEngine && Target.m_Models.count(Model) != 0 &&
          Target.m_State != TargetState::Lost)
        Targets.push_back(&Target);
  if (Targets.empty() || containsService(Targets))
    return refuse(Refusal::PlanNotPossible, "no engine has it loaded");
  return stepsForTargets(Targets,
                         [&](const Target & /*Target*/, DesiredState &Desired) {
                           Desired.m_Models.erase(Model);
                         });
}

StepsOrRefusal shiftRole(const State &Fleet, const Json &Intent,
                         const std::vector<const Target *> &Targets) {
  const std::string Role = textOf(Intent, "role");
  if (Role != "mixed" && Role != "prefill" && Role != "decode")
    return refuse(Refusal::InvalidField, "role: mixed, prefill or decode");
  if (containsService(Targets))
    return refuse(Refusal::PlanNotPossible, "a service has no role");
  StepsOrRefusal Result = stepsForTargets(
      Targets, [&](const Target & /*Target*/, DesiredState &Desired) {
        Desired.m_Role = Role;
      });
  const auto *Steps = std::get_if<std::vector<Step>>(&Result);
  if (Steps != nullptr && !keepsMinima(Fleet, *Steps))
    return refuse(Refusal::PlanNotPossible,
                  "fewer engines of a role than the policy's minimum");
  return Result;
}

StepsOrRefusal documentStep(StepKind Kind, const Json &Document) {
  Step DocumentStep;
  DocumentStep.m_Kind = Kind;
  DocumentStep.m_Document = Document.dump();
  return std::vector<Step>{DocumentStep};
}

StepsOrRefusal planConfiguration(const State &Fleet, const Json &Intent) {
  const auto Document = Intent.find("document");
  if (Document == Intent.end() || !Document->is_object())
    return refuse(Refusal::InvalidField, "document");
  return documentStep(StepKind::Configure,
                      {{"replaces", Fleet.m_Configuration.m_Revision},
                       {"document", *Document}});
}

StepsOrRefusal planWithoutCapacityCheck(const State &Fleet,
                                        const Json &Intent) {
  const std::string Kind = textOf(Intent, "intent");
  if (Kind == "configure")
    return planConfiguration(Fleet, Intent);
  if (Kind == "role_policy")
    return documentStep(StepKind::Policy, Intent);
  if (Kind == "replace_member")
    return documentStep(StepKind::Member, Intent);
  auto Named = namedTargets(Fleet, Intent);
  if (const Reply *Rejection = std::get_if<Reply>(&Named))
    return *Rejection;
  const auto &Targets = std::get<std::vector<const Target *>>(Named);
  if (Kind == "serve")
    return planServe(Fleet, Intent, Targets);
  if (Kind == "unload")
    return planUnload(Fleet, Intent, Targets);
  if (Targets.empty())
    return refuse(Refusal::InvalidField, "intent and targets");
  if (Kind == "shift_role")
    return shiftRole(Fleet, Intent, Targets);
  if (Kind == "drain")
    return stepsForTargets(
        Targets, [](const Target & /*Target*/, DesiredState &Desired) {
          Desired.m_Draining = true;
        });
  if (Kind == "withdraw")
    return stepsForTargets(
        Targets, [](const Target & /*Target*/, DesiredState &Desired) {
          Desired.m_Draining = true;
          Desired.m_Withdrawn = true;
        });
  if (Kind == "return")
    return stepsForTargets(
        Targets, [](const Target & /*Target*/, DesiredState &Desired) {
          Desired.m_Draining = false;
          Desired.m_Withdrawn = false;
        });
  return refuse(Refusal::InvalidField, "unknown intent " + Kind);
}

Json stepToJson(const Step &Step) {
  Json Remaining = Json::array();
  for (const Capacity &Capacity : Step.m_Remaining)
    Remaining.push_back(
        {Capacity.m_Name, Capacity.m_Targets, Capacity.m_Running});
  return {{"kind", static_cast<int>(Step.m_Kind)},
          {"target", Step.m_Target.m_Value},
          {"role", Step.m_DesiredState.m_Role},
          {"models", Step.m_DesiredState.m_Models},
          {"draining", Step.m_DesiredState.m_Draining},
          {"withdrawn", Step.m_DesiredState.m_Withdrawn},
          {"stage", Step.m_Stage},
          {"barrier", Step.m_StopsServing},
          {"document", Step.m_Document},
          {"remaining", Remaining}};
}

} // namespace

StepsOrRefusal planSteps(const State &Fleet, const Json &Intent) {
  StepsOrRefusal Result = planWithoutCapacityCheck(Fleet, Intent);
  auto *Steps = std::get_if<std::vector<Step>>(&Result);
  if (Steps == nullptr || Steps->front().m_Kind != StepKind::Order)
    return Result;
  const std::string Empty = forecast(Fleet, *Steps);
  if (!Empty.empty() && !flagOf(Intent, "allow_empty"))
    return refuse(Refusal::WouldLeaveNoTarget,
                  "no target would serve " + Empty);
  return Result;
}

bool sameSteps(const std::vector<Step> &A, const std::vector<Step> &B) {
  return std::equal(
      A.begin(), A.end(), B.begin(), B.end(), [](const Step &X, const Step &Y) {
        return X.m_Kind == Y.m_Kind && X.m_Target == Y.m_Target &&
               X.m_DesiredState == Y.m_DesiredState && X.m_Stage == Y.m_Stage &&
               X.m_StopsServing == Y.m_StopsServing &&
               X.m_Document == Y.m_Document;
      });
}

std::string planDigest(const Plan &Plan) {
  Json All = Json::array({Plan.m_Id.m_Value, Plan.m_Revision, Plan.m_Intent});
  for (const Step &Step : Plan.m_Steps)
    All.push_back(stepToJson(Step));
  return digestHex(All.dump());
}

} // namespace wasabivale::fleet
