#include "Plans.h"

#include "Configuration.h"
#include "FleetMutations.h"
#include "Planner.h"
#include "Policy.h"
#include "Replies.h"
#include "Targets.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

constexpr std::array<std::string_view, 7> StepNames = {
    "waiting", "barrier", "ready", "ordered", "done", "failed", "cancelled"};
constexpr std::array<std::string_view, 5> PlanNames = {
    "proposed", "running", "done", "failed", "cancelled"};

Plan *findPlan(State &Fleet, const PlanId &Name) {
  const auto Found = Fleet.m_Plans.m_ById.find(Name);
  return Found == Fleet.m_Plans.m_ById.end() ? nullptr : &Found->second;
}

bool isActive(StepPhase Phase) {
  return Phase == StepPhase::Barrier || Phase == StepPhase::Ready ||
         Phase == StepPhase::Ordered;
}

/// The target's step in the plan that has claimed it, or null.
Step *findClaimedStep(State &Fleet, const Target &Target) {
  Plan *Claimant = findPlan(Fleet, Target.m_ClaimedBy);
  if (Claimant == nullptr)
    return nullptr;
  for (Step &Step : Claimant->m_Steps)
    if (Step.m_Kind == StepKind::Order && Step.m_Target == Target.m_Id)
      return &Step;
  return nullptr;
}

/// Cancels a step that has no order yet and returns its target to service.
void cancelStep(State &Fleet, Step &Step) {
  const bool Active = isActive(Step.m_Phase);
  Step.m_Phase = StepPhase::Cancelled;
  Target *Target = findTarget(Fleet.m_Targets, Step.m_Target);
  if (!Active || Target == nullptr || Target->m_State == TargetState::Lost)
    return;
  const bool NeedsRestore = !Target->m_LeaveRequested && restoration(*Target);
  setState(Fleet, *Target,
           NeedsRestore ? TargetState::Announced : steadyState(*Target));
}

void endPlan(State &Fleet, Plan &Plan, PlanPhase Phase) {
  Plan.m_Phase = Phase;
  Plan.m_EndedAt = Fleet.m_Now;
  for (const Step &Step : Plan.m_Steps) {
    Target *Target = findTarget(Fleet.m_Targets, Step.m_Target);
    if (Target != nullptr && Target->m_ClaimedBy == Plan.m_Id)
      Target->m_ClaimedBy = {};
  }
}

/// Updates a running plan after one of its steps has changed.
void advancePlan(State &Fleet, Plan &Plan) {
  const auto Has = [&](StepPhase Phase) {
    return std::any_of(Plan.m_Steps.begin(), Plan.m_Steps.end(),
                       [&](const Step &Step) { return Step.m_Phase == Phase; });
  };
  const bool Stopping = Plan.m_Cancelling || Has(StepPhase::Failed);
  if (Stopping)
    for (Step &Step : Plan.m_Steps)
      if (Step.m_Phase == StepPhase::Waiting ||
          Step.m_Phase == StepPhase::Barrier ||
          Step.m_Phase == StepPhase::Ready)
        cancelStep(Fleet, Step);
  if (Has(StepPhase::Ordered) || Has(StepPhase::Waiting) ||
      Has(StepPhase::Barrier) || Has(StepPhase::Ready))
    return;
  if (Has(StepPhase::Failed))
    endPlan(Fleet, Plan, PlanPhase::Failed);
  else if (Has(StepPhase::Cancelled))
    endPlan(Fleet, Plan, PlanPhase::Cancelled);
  else
    endPlan(Fleet, Plan, PlanPhase::Done);
}

void dropOldPlans(Plans &Plans) {
  std::size_t Remaining = Plans.m_InOrder.size();
  for (auto It = Plans.m_InOrder.begin();
       It != Plans.m_InOrder.end() && Remaining > MaxEndedPlans;) {
    if (Plans.m_ById.at(*It).m_Phase == PlanPhase::Running) {
      ++It;
      continue;
    }
    Plans.m_ById.erase(*It);
    It = Plans.m_InOrder.erase(It);
    --Remaining;
  }
}

std::variant<Plan, Reply> makePlan(State &Fleet, const Json &Intent,
                                   const std::string &Actor) {
  auto Steps = planSteps(Fleet, Intent);
  if (const Reply *Rejection = std::get_if<Reply>(&Steps))
    return *Rejection;
  Plan New;
  New.m_Id = {"plan-" + std::to_string(Fleet.m_Plans.m_Next++)};
  New.m_Revision = Fleet.m_Plans.m_Revision;
  New.m_Intent = Intent.dump();
  New.m_Actor = Actor;
  New.m_ProposedAt = Fleet.m_Now;
  New.m_Steps = std::move(std::get<std::vector<Step>>(Steps));
  New.m_Digest = planDigest(New);
  return New;
}

/// Applies a configuration or policy step, which is done once it is confirmed.
std::optional<Reply> applyDocumentStep(State &Fleet, Plan &Plan,
                                       const std::string &Actor) {
  Step &Step = Plan.m_Steps.front();
  if (Step.m_Kind == StepKind::Policy)
    return acceptPolicy(Fleet, Plan, Json::parse(Step.m_Document));
  if (Step.m_Kind != StepKind::Configure)
    return std::nullopt;
  const Json Change = Json::parse(Step.m_Document);
  Reply Result =
      acceptConfiguration(Fleet, Change["replaces"].get<std::uint64_t>(),
                          Change["document"].dump(), Actor);
  return Result.m_Refusal ? std::optional(Result) : std::nullopt;
}

void startPlan(State &Fleet, Plan &Plan, const std::string &Actor) {
  Fleet.m_Plans.m_Revision += 1;
  Fleet.m_Plans.m_LastConfirmed =
      fmt::format("{} by {}", Plan.m_Id.m_Value, Actor);
  Plan.m_Phase = PlanPhase::Running;
  Plan.m_ConfirmedAt = Fleet.m_Now;
  for (Step &Step : Plan.m_Steps) {
    if (Step.m_Kind == StepKind::Configure || Step.m_Kind == StepKind::Policy)
      Step.m_Phase = StepPhase::Done;
    if (Target *Target = findTarget(Fleet.m_Targets, Step.m_Target))
      Target->m_ClaimedBy = Plan.m_Id;
  }
  advancePlan(Fleet, Plan);
}

Reply revisionConflict(const State &Fleet, std::string_view Reason) {
  return refuse(Refusal::RevisionConflict,
                Fleet.m_Plans.m_LastConfirmed.empty()
                    ? std::string(Reason)
                    : fmt::format("{}; the last confirmed is {}", Reason,
                                  Fleet.m_Plans.m_LastConfirmed));
}

/// Refuses a plan that no longer matches the fleet. Membership and policy steps
/// always match, a configuration step while its base revision is the newest.
std::optional<Reply> checkStillValid(const State &Fleet, const Plan &Plan) {
  auto CurrentSteps = planSteps(Fleet, Json::parse(Plan.m_Intent));
  if (const Reply *Rejection = std::get_if<Reply>(&CurrentSteps))
    return *Rejection;
  if (!sameSteps(std::get<std::vector<Step>>(CurrentSteps), Plan.m_Steps))
    return revisionConflict(Fleet,
                            "the fleet has changed since the plan was made");
  return std::nullopt;
}

Json parseBody(const wire::Command &Command) {
  return Json::parse(Command.operator_command().body(), nullptr, false);
}

} // namespace

std::string_view stepPhaseName(StepPhase Value) {
  return StepNames.at(static_cast<std::size_t>(Value));
}

std::string_view planPhaseName(PlanPhase Value) {
  return PlanNames.at(static_cast<std::size_t>(Value));
}

const Step *findStep(const State &Fleet, const PlanId &Name,
                     std::uint32_t Index) {
  const auto Found = Fleet.m_Plans.m_ById.find(Name);
  if (Found == Fleet.m_Plans.m_ById.end() ||
      Index >= Found->second.m_Steps.size())
    return nullptr;
  return &Found->second.m_Steps[Index];
}

bool hasActiveStep(const State &Fleet, const Target &Target) {
  const auto Found = Fleet.m_Plans.m_ById.find(Target.m_ClaimedBy);
  if (Found == Fleet.m_Plans.m_ById.end())
    return false;
  const std::vector<Step> &Steps = Found->second.m_Steps;
  return std::any_of(Steps.begin(), Steps.end(), [&](const Step &Step) {
    return Step.m_Target == Target.m_Id && isActive(Step.m_Phase);
  });
}

bool canStart(const State &Fleet, const Plan &Plan, std::size_t Index) {
  const Step &Next = Plan.m_Steps[Index];
  if (Plan.m_Phase != PlanPhase::Running || Plan.m_Cancelling ||
      Next.m_Phase != StepPhase::Waiting)
    return false;
  const bool EarlierStagesDone = std::all_of(
      Plan.m_Steps.begin(), Plan.m_Steps.end(), [&](const Step &Step) {
        return Step.m_Stage >= Next.m_Stage || Step.m_Phase == StepPhase::Done;
      });
  if (!EarlierStagesDone || Next.m_Kind == StepKind::Member)
    return EarlierStagesDone;
  const Target *Target = findTarget(Fleet.m_Targets, Next.m_Target);
  return Target != nullptr && Target->m_State != TargetState::Lost &&
         orderUnderWay(Fleet.m_Orders, Next.m_Target) == nullptr;
}

bool restartStep(State &Fleet, Target &Target) {
  Step *Step = findClaimedStep(Fleet, Target);
  if (Step == nullptr || !isActive(Step->m_Phase))
    return false;
  Step->m_Order = {};
  Step->m_Phase = needsBarrier(Target, Step->m_DesiredState)
                      ? StepPhase::Barrier
                      : StepPhase::Ready;
  setState(Fleet, Target, TargetState::Announced);
  return true;
}

void failStep(State &Fleet, const Target &Target, const std::string &Reason) {
  Step *Step = findClaimedStep(Fleet, Target);
  if (Step == nullptr || Step->m_Phase == StepPhase::Done)
    return;
  Step->m_Phase = StepPhase::Failed;
  Step->m_Message = Reason;
  Plan &Owner = Fleet.m_Plans.m_ById.at(Target.m_ClaimedBy);
  Owner.m_Message = fmt::format("{}: {}", Target.m_Id.m_Value, Reason);
  advancePlan(Fleet, Owner);
}

void keepDesiredStateAfterLoss(State &Fleet, Target &Target) {
  const Step *Step = findClaimedStep(Fleet, Target);
  const bool LeavesService =
      Step != nullptr && isActive(Step->m_Phase) &&
      (Step->m_DesiredState.m_Draining || Step->m_DesiredState.m_Withdrawn);
  if (LeavesService)
    Target.m_DesiredState = Step->m_DesiredState;
}

void markStepReady(State &Fleet, const Target &Target) {
  Step *Step = findClaimedStep(Fleet, Target);
  if (Step != nullptr && Step->m_Phase == StepPhase::Barrier)
    Step->m_Phase = StepPhase::Ready;
}

void markStepOrdered(State &Fleet, const Order &Order) {
  Plan *Owner = findPlan(Fleet, Order.m_Plan);
  if (Owner == nullptr)
    return;
  Step &Step = Owner->m_Steps.at(Order.m_Step);
  Step.m_Phase = StepPhase::Ordered;
  Step.m_Order = Order.m_Id;
}

void retryStep(State &Fleet, const Order &Order) {
  Plan *Owner = findPlan(Fleet, Order.m_Plan);
  if (Owner == nullptr)
    return;
  Step &Step = Owner->m_Steps.at(Order.m_Step);
  if (Step.m_Phase == StepPhase::Ordered)
    Step.m_Phase = StepPhase::Ready;
  advancePlan(Fleet, *Owner);
}

void endStep(State &Fleet, const Order &Order, bool Completed,
             const std::string &Message) {
  Plan *Owner = findPlan(Fleet, Order.m_Plan);
  if (Owner == nullptr)
    return;
  Step &Step = Owner->m_Steps.at(Order.m_Step);
  Step.m_Phase = Completed ? StepPhase::Done : StepPhase::Failed;
  Step.m_Message = Message;
  if (!Completed)
    Owner->m_Message = fmt::format("{}: {}", Order.m_Target.m_Value, Message);
  advancePlan(Fleet, *Owner);
}

Reply proposePlan(State &Fleet, const wire::Command &Command) {
  const Json Intent = parseBody(Command);
  if (!Intent.is_object())
    return refuse(Refusal::InvalidJson);
  auto PlanOrRefusal = makePlan(Fleet, Intent, Command.actor());
  if (const Reply *Rejection = std::get_if<Reply>(&PlanOrRefusal))
    return *Rejection;
  Plan &New = std::get<Plan>(PlanOrRefusal);
  const std::string Result = toJson(New).dump();
  Fleet.m_Plans.m_InOrder.push_back(New.m_Id);
  Fleet.m_Plans.m_ById[New.m_Id] = std::move(New);
  dropOldPlans(Fleet.m_Plans);
  return accept(Result);
}

Reply confirmPlan(State &Fleet, const wire::Command &Command) {
  const Json Body = parseBody(Command);
  if (!Body.is_object())
    return refuse(Refusal::InvalidJson);
  Plan *Plan = findPlan(Fleet, {textOf(Body, "plan")});
  if (Plan == nullptr)
    return refuse(Refusal::UnknownPlan);
  if (Plan->m_Phase != PlanPhase::Proposed)
    return revisionConflict(
        Fleet, fmt::format("the plan is {}", planPhaseName(Plan->m_Phase)));
  const std::uint64_t Expected = Command.operator_command().expected_revision();
  if (Expected != Plan->m_Revision || textOf(Body, "digest") != Plan->m_Digest)
    return revisionConflict(Fleet,
                            "revision or digest is not that of the plan");
  if (Plan->m_Revision != Fleet.m_Plans.m_Revision &&
      !mutated(Mutation::IgnoreRevision))
    return revisionConflict(Fleet, "another plan was confirmed first");
  if (std::optional<Reply> Rejection = checkStillValid(Fleet, *Plan))
    return *Rejection;
  if (std::optional<Reply> Rejection =
          applyDocumentStep(Fleet, *Plan, Command.actor()))
    return *Rejection;
  startPlan(Fleet, *Plan, Command.actor());
  return accept(toJson(*Plan).dump());
}

Reply cancelPlan(State &Fleet, const wire::Command &Command) {
  const Json Body = parseBody(Command);
  Plan *Plan =
      Body.is_object() ? findPlan(Fleet, {textOf(Body, "plan")}) : nullptr;
  if (Plan == nullptr)
    return refuse(Refusal::UnknownPlan);
  if (Plan->m_Phase == PlanPhase::Proposed)
    endPlan(Fleet, *Plan, PlanPhase::Cancelled);
  else if (Plan->m_Phase == PlanPhase::Running) {
    Plan->m_Cancelling = true;
    advancePlan(Fleet, *Plan);
  }
  return accept(toJson(*Plan).dump());
}

Reply shiftRoleAutomatically(State &Fleet, const wire::Command &Command) {
  const Json Intent = parseBody(Command);
  if (!Intent.is_object() || textOf(Intent, "intent") != "shift_role" ||
      flagOf(Intent, "allow_empty"))
    return refuse(Refusal::InvalidField, "only roles shift automatically");
  if (std::optional<Reply> Rejection = exceedsPolicy(Fleet))
    return *Rejection;
  auto PlanOrRefusal = makePlan(Fleet, Intent, Command.actor());
  if (const Reply *Rejection = std::get_if<Reply>(&PlanOrRefusal))
    return *Rejection;
  Plan &New = std::get<Plan>(PlanOrRefusal);
  if (New.m_Steps.size() != 1)
    return refuse(Refusal::PolicyExceeded, "one target at a time");
  Fleet.m_Policy.m_Changes.push_back(Fleet.m_Now);
  const PlanId Name = New.m_Id;
  Fleet.m_Plans.m_InOrder.push_back(Name);
  Plan &Plan = Fleet.m_Plans.m_ById[Name] = std::move(New);
  startPlan(Fleet, Plan, Command.actor());
  const std::string Result = toJson(Plan).dump();
  dropOldPlans(Fleet.m_Plans);
  return accept(Result);
}

Reply handleStartStep(State &Fleet, const wire::StartStep &Request) {
  Plan *Owner = findPlan(Fleet, {Request.plan()});
  if (Owner == nullptr || Request.step() >= Owner->m_Steps.size())
    return refuse(Refusal::UnknownPlan);
  if (!canStart(Fleet, *Owner, Request.step()))
    return refuse(Refusal::RevisionConflict, "the step cannot start now");
  Step &Step = Owner->m_Steps[Request.step()];
  if (Step.m_Kind == StepKind::Member) {
    Step.m_Phase = StepPhase::Ordered;
    return accept();
  }
  Target &Target = *findTarget(Fleet.m_Targets, Step.m_Target);
  if (!needsBarrier(Target, Step.m_DesiredState)) {
    Step.m_Phase = StepPhase::Ready;
    return accept();
  }
  Step.m_Phase = StepPhase::Barrier;
  startDrain(Fleet, Target,
             Step.m_DesiredState.m_Withdrawn ? TargetState::Leaving
                                             : TargetState::Draining);
  return accept();
}

Reply handleStepProgress(State &Fleet, const wire::StepProgress &Progress) {
  Plan *Owner = findPlan(Fleet, {Progress.plan()});
  if (Owner == nullptr || Progress.step() >= Owner->m_Steps.size())
    return refuse(Refusal::UnknownPlan);
  Step &Step = Owner->m_Steps[Progress.step()];
  if (Step.m_Kind != StepKind::Member || Step.m_Phase != StepPhase::Ordered)
    return refuse(Refusal::RevisionConflict, "the step is not under way");
  Step.m_Phase =
      Progress.state() == "done" ? StepPhase::Done : StepPhase::Failed;
  Step.m_Message = Progress.message();
  Owner->m_Message = Progress.message();
  advancePlan(Fleet, *Owner);
  return accept();
}

} // namespace wasabivale::fleet
