#include "Planner.h"

#include "Replies.h"
#include "Targets.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

using Planned = std::variant<std::vector<Step>, Reply>;

/// Targets that a plan looks at, as they would be after its earlier steps.
struct Outlook {
  bool m_Serving = false;
  bool m_IsEngine = false;
  std::string m_Role;
  std::set<std::string> m_Models;
  std::uint32_t m_Running = 0;
};
using Forecast = std::map<TargetId, Outlook>;

Forecast today(const State &In) {
  Forecast Out;
  for (const auto &[Name, Each] : In.m_Targets.m_ById)
    Out[Name] = {Each.m_State == TargetState::Serving, Each.m_IsEngine,
                 Each.m_Role, Each.m_Models, Each.m_MaxRunning};
  return Out;
}

std::map<std::string, Capacity> capacityOf(const Forecast &Of) {
  std::map<std::string, Capacity> Out;
  for (const auto &[Name, Each] : Of) {
    if (!Each.m_Serving)
      continue;
    for (const std::string &Model : Each.m_Models) {
      const std::string Served = Each.m_IsEngine ? Model : "service " + Model;
      Capacity &Sum = Out[Served];
      Sum.m_Name = Served;
      Sum.m_Targets += 1;
      Sum.m_Running += Each.m_Running;
    }
  }
  return Out;
}

/// The first name served in \p Before that \p After leaves without a target.
std::string emptied(const std::map<std::string, Capacity> &Before,
                    const std::map<std::string, Capacity> &After) {
  for (const auto &[Name, Sum] : Before)
    if (After.find(Name) == After.end())
      return Name;
  return {};
}

void applyStep(Forecast &To, const Step &Done) {
  Outlook &Out = To[Done.m_Target];
  Out.m_Role = Done.m_Want.m_Role;
  Out.m_Models = Done.m_Want.m_Models;
  Out.m_Serving = !Done.m_Want.m_Draining && !Done.m_Want.m_Withdrawn;
}

/// Fills in what remains while each stage runs. \returns the name that would
/// be left without a target at some point; empty if none.
std::string forecast(const State &In, std::vector<Step> &Steps) {
  Forecast Now = today(In);
  const auto Before = capacityOf(Now);
  std::string Empty;
  for (std::size_t First = 0; First < Steps.size();) {
    std::size_t Next = First;
    Forecast During = Now;
    while (Next < Steps.size() && Steps[Next].m_Stage == Steps[First].m_Stage) {
      if (Steps[Next].m_Barrier)
        During[Steps[Next].m_Target].m_Serving = false;
      applyStep(Now, Steps[Next]);
      ++Next;
    }
    const auto Remaining = capacityOf(During);
    for (; First < Next; ++First)
      for (const auto &[Name, Sum] : Remaining)
        Steps[First].m_Remaining.push_back(Sum);
    if (Empty.empty())
      Empty = emptied(Before, Remaining);
    if (Empty.empty())
      Empty = emptied(Before, capacityOf(Now));
  }
  return Empty;
}

/// Engines able to do a role's work for \p Model; a mixed one does both.
std::uint32_t able(const Forecast &Of, const std::string &Model,
                   const std::string &Role) {
  return static_cast<std::uint32_t>(
      std::count_if(Of.begin(), Of.end(), [&](const auto &Each) {
        const Outlook &Out = Each.second;
        return Out.m_Serving && Out.m_IsEngine &&
               Out.m_Models.count(Model) != 0 &&
               (Out.m_Role == "mixed" || Out.m_Role == Role);
      }));
}

/// Whether the roles after all \p Steps keep the minima of the policy.
bool keepsMinima(const State &In, const std::vector<Step> &Steps) {
  Forecast After = today(In);
  for (const Step &Each : Steps)
    applyStep(After, Each);
  for (const Step &Each : Steps)
    for (const std::string &Model : Each.m_Want.m_Models)
      if (able(After, Model, "prefill") < In.m_Policy.m_MinimumPrefill ||
          able(After, Model, "decode") < In.m_Policy.m_MinimumDecode)
        return false;
  return true;
}

std::variant<std::vector<const Target *>, Reply>
namedTargets(const State &In, const Json &Intent) {
  std::set<std::string> Names;
  const auto List = Intent.find("targets");
  if (List != Intent.end() && List->is_array())
    for (const Json &Each : *List)
      if (Each.is_string())
        Names.insert(Each.get<std::string>());
  std::vector<const Target *> Out;
  for (const std::string &Name : Names) {
    const Target *Found = findTarget(In.m_Targets, {Name});
    if (Found == nullptr)
      return refuse(Refusal::UnknownTarget, "no target " + Name);
    Out.push_back(Found);
  }
  return Out;
}

Reply impossible(const Target &About, std::string_view Why) {
  return refuse(Refusal::PlanNotPossible,
                fmt::format("{}: {}", About.m_Id.m_Value, Why));
}

/// A target that a plan can change: it is there and no other plan has it.
std::optional<Reply> unavailable(const Target &About) {
  if (About.m_State == TargetState::Lost)
    return impossible(About, "it is lost");
  if (About.m_LeavingByItself)
    return impossible(About, "it is leaving");
  if (!About.m_ClaimedBy.empty())
    return impossible(About, About.m_ClaimedBy.m_Value + " changes it");
  return std::nullopt;
}

Step orderStep(const Target &About, Wanted Want) {
  Step Out;
  Out.m_Target = About.m_Id;
  Out.m_Barrier =
      About.m_State == TargetState::Serving && needsBarrier(About, Want);
  Out.m_Want = std::move(Want);
  return Out;
}

/// One step for each target that is not yet as wanted; those that stop serving
/// go one after another, the others side by side.
template <typename Change>
Planned stepsFor(const std::vector<const Target *> &Which, Change Apply) {
  std::vector<Step> Out;
  for (const Target *Each : Which) {
    if (std::optional<Reply> Why = unavailable(*Each))
      return *Why;
    const Wanted Before = wantedOrActual(*Each);
    Wanted Want = Before;
    Apply(*Each, Want);
    if (Want == Before)
      continue;
    Step Next = orderStep(*Each, std::move(Want));
    if (!Out.empty()) {
      const bool Alone = Next.m_Barrier || Out.back().m_Barrier;
      Next.m_Stage = Out.back().m_Stage + (Alone ? 1 : 0);
    }
    Out.push_back(std::move(Next));
  }
  if (Out.empty())
    return refuse(Refusal::PlanNotPossible, "nothing would change");
  return Out;
}

/// Engines for a model when the operator names none: those that serve the
/// fewest models first.
std::vector<const Target *> choose(const State &In, const std::string &Model,
                                   std::uint64_t Count) {
  std::vector<const Target *> Out;
  for (const auto &[Name, Each] : In.m_Targets.m_ById)
    if (Each.m_IsEngine && Each.m_State == TargetState::Serving &&
        Each.m_ClaimedBy.empty() && Each.m_Models.count(Model) == 0)
      Out.push_back(&Each);
  std::stable_sort(Out.begin(), Out.end(),
                   [](const Target *A, const Target *B) {
                     return A->m_Models.size() < B->m_Models.size();
                   });
  if (Out.size() > Count)
    Out.resize(Count);
  return Out;
}

bool anyService(const std::vector<const Target *> &Which) {
  return std::any_of(Which.begin(), Which.end(),
                     [](const Target *Each) { return !Each->m_IsEngine; });
}

Planned serve(const State &In, const Json &Intent,
              std::vector<const Target *> Which) {
  const std::string Model = textOf(Intent, "model");
  const std::string Replaced = textOf(Intent, "replace");
  if (Model.empty())
    return refuse(Refusal::InvalidField, "model");
  const std::uint64_t Count = numberOf(Intent, "count", 1);
  if (Which.empty())
    Which = choose(In, Model, Count);
  if (Which.empty())
    return refuse(Refusal::PlanNotPossible, "no engine is free for it");
  if (anyService(Which))
    return refuse(Refusal::PlanNotPossible, "a service loads no models");
  return stepsFor(Which, [&](const Target & /*Each*/, Wanted &Want) {
    Want.m_Models.insert(Model);
    if (!Replaced.empty())
      Want.m_Models.erase(Replaced);
  });
}

Planned unload(const State &In, const Json &Intent,
               std::vector<const Target *> Which) {
  const std::string Model = textOf(Intent, "model");
  if (Which.empty())
    for (const auto &[Name, Each] : In.m_Targets.m_ById)
      if (Each.m_IsEngine && Each.m_Models.count(Model) != 0 &&
          Each.m_State != TargetState::Lost)
        Which.push_back(&Each);
  if (Which.empty() || anyService(Which))
    return refuse(Refusal::PlanNotPossible, "no engine has it loaded");
  return stepsFor(Which, [&](const Target & /*Each*/, Wanted &Want) {
    Want.m_Models.erase(Model);
  });
}

Planned shiftRole(const State &In, const Json &Intent,
                  const std::vector<const Target *> &Which) {
  const std::string Role = textOf(Intent, "role");
  if (Role != "mixed" && Role != "prefill" && Role != "decode")
    return refuse(Refusal::InvalidField, "role: mixed, prefill or decode");
  if (anyService(Which))
    return refuse(Refusal::PlanNotPossible, "a service has no role");
  Planned Out = stepsFor(Which, [&](const Target & /*Each*/, Wanted &Want) {
    Want.m_Role = Role;
  });
  const auto *Made = std::get_if<std::vector<Step>>(&Out);
  if (Made != nullptr && !keepsMinima(In, *Made))
    return refuse(Refusal::PlanNotPossible,
                  "fewer engines of a role than the policy's minimum");
  return Out;
}

Planned documentStep(StepKind Kind, const Json &Document) {
  Step Out;
  Out.m_Kind = Kind;
  Out.m_Document = Document.dump();
  return std::vector<Step>{Out};
}

Planned configure(const State &In, const Json &Intent) {
  const auto Document = Intent.find("document");
  if (Document == Intent.end() || !Document->is_object())
    return refuse(Refusal::InvalidField, "document");
  return documentStep(
      StepKind::Configure,
      {{"replaces", In.m_Configuration.m_Revision}, {"document", *Document}});
}

Planned unguarded(const State &In, const Json &Intent) {
  const std::string Kind = textOf(Intent, "intent");
  if (Kind == "configure")
    return configure(In, Intent);
  if (Kind == "role_policy")
    return documentStep(StepKind::Policy, Intent);
  if (Kind == "replace_member")
    return documentStep(StepKind::Member, Intent);
  auto Named = namedTargets(In, Intent);
  if (const Reply *Why = std::get_if<Reply>(&Named))
    return *Why;
  const auto &Which = std::get<std::vector<const Target *>>(Named);
  if (Kind == "serve")
    return serve(In, Intent, Which);
  if (Kind == "unload")
    return unload(In, Intent, Which);
  if (Which.empty())
    return refuse(Refusal::InvalidField, "intent and targets");
  if (Kind == "shift_role")
    return shiftRole(In, Intent, Which);
  if (Kind == "drain")
    return stepsFor(Which, [](const Target & /*Each*/, Wanted &Want) {
      Want.m_Draining = true;
    });
  if (Kind == "withdraw")
    return stepsFor(Which, [](const Target & /*Each*/, Wanted &Want) {
      Want.m_Draining = true;
      Want.m_Withdrawn = true;
    });
  if (Kind == "return")
    return stepsFor(Which, [](const Target & /*Each*/, Wanted &Want) {
      Want.m_Draining = false;
      Want.m_Withdrawn = false;
    });
  return refuse(Refusal::InvalidField, "unknown intent " + Kind);
}

Json describeStep(const Step &Of) {
  Json Remaining = Json::array();
  for (const Capacity &Each : Of.m_Remaining)
    Remaining.push_back({Each.m_Name, Each.m_Targets, Each.m_Running});
  return {{"kind", static_cast<int>(Of.m_Kind)},
          {"target", Of.m_Target.m_Value},
          {"role", Of.m_Want.m_Role},
          {"models", Of.m_Want.m_Models},
          {"draining", Of.m_Want.m_Draining},
          {"withdrawn", Of.m_Want.m_Withdrawn},
          {"stage", Of.m_Stage},
          {"barrier", Of.m_Barrier},
          {"document", Of.m_Document},
          {"remaining", Remaining}};
}

} // namespace

Planned planSteps(const State &In, const Json &Intent) {
  Planned Out = unguarded(In, Intent);
  auto *Made = std::get_if<std::vector<Step>>(&Out);
  if (Made == nullptr || Made->front().m_Kind != StepKind::Order)
    return Out;
  const std::string Empty = forecast(In, *Made);
  if (!Empty.empty() && !flagOf(Intent, "allow_empty"))
    return refuse(Refusal::WouldLeaveNoTarget,
                  "no target would serve " + Empty);
  return Out;
}

bool sameSteps(const std::vector<Step> &A, const std::vector<Step> &B) {
  return std::equal(
      A.begin(), A.end(), B.begin(), B.end(), [](const Step &X, const Step &Y) {
        return X.m_Kind == Y.m_Kind && X.m_Target == Y.m_Target &&
               X.m_Want == Y.m_Want && X.m_Stage == Y.m_Stage &&
               X.m_Barrier == Y.m_Barrier && X.m_Document == Y.m_Document;
      });
}

std::string digestOf(const Plan &Of) {
  Json All = Json::array({Of.m_Id.m_Value, Of.m_Revision, Of.m_Intent});
  for (const Step &Each : Of.m_Steps)
    All.push_back(describeStep(Each));
  return digestHex(All.dump());
}

} // namespace wasabivale::fleet
