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

Plan *findPlan(State &On, const PlanId &Name) {
  const auto Found = On.m_Plans.m_ById.find(Name);
  return Found == On.m_Plans.m_ById.end() ? nullptr : &Found->second;
}

bool isActive(StepPhase Phase) {
  return Phase == StepPhase::Barrier || Phase == StepPhase::Ready ||
         Phase == StepPhase::Ordered;
}

/// The step of the plan that has claimed the target.
Step *claimedStep(State &On, const Target &About) {
  Plan *Claimant = findPlan(On, About.m_ClaimedBy);
  if (Claimant == nullptr)
    return nullptr;
  for (Step &Each : Claimant->m_Steps)
    if (Each.m_Kind == StepKind::Order && Each.m_Target == About.m_Id)
      return &Each;
  return nullptr;
}

/// Stops a step that has not been ordered; its target serves again.
void abandon(State &On, Step &Which) {
  const bool Drained = isActive(Which.m_Phase);
  Which.m_Phase = StepPhase::Cancelled;
  Target *About = findTarget(On.m_Targets, Which.m_Target);
  if (!Drained || About == nullptr || About->m_State == TargetState::Lost)
    return;
  const bool Restore = !About->m_LeavingByItself && restoration(*About);
  enter(On, *About, Restore ? TargetState::Announced : restingState(*About));
}

void endPlan(State &On, Plan &Which, PlanPhase How) {
  Which.m_Phase = How;
  Which.m_EndedAt = On.m_Now;
  for (const Step &Each : Which.m_Steps) {
    Target *About = findTarget(On.m_Targets, Each.m_Target);
    if (About != nullptr && About->m_ClaimedBy == Which.m_Id)
      About->m_ClaimedBy = {};
  }
}

/// Moves a running plan on after one of its steps changed.
void advance(State &On, Plan &Which) {
  const auto Has = [&](StepPhase Phase) {
    return std::any_of(Which.m_Steps.begin(), Which.m_Steps.end(),
                       [&](const Step &S) { return S.m_Phase == Phase; });
  };
  const bool Stops = Which.m_Cancelling || Has(StepPhase::Failed);
  if (Stops)
    for (Step &Each : Which.m_Steps)
      if (Each.m_Phase == StepPhase::Waiting ||
          Each.m_Phase == StepPhase::Barrier ||
          Each.m_Phase == StepPhase::Ready)
        abandon(On, Each);
  if (Has(StepPhase::Ordered) || Has(StepPhase::Waiting) ||
      Has(StepPhase::Barrier) || Has(StepPhase::Ready))
    return;
  if (Has(StepPhase::Failed))
    endPlan(On, Which, PlanPhase::Failed);
  else if (Has(StepPhase::Cancelled))
    endPlan(On, Which, PlanPhase::Cancelled);
  else
    endPlan(On, Which, PlanPhase::Done);
}

void dropOldPlans(Plans &In) {
  std::size_t Kept = In.m_InOrder.size();
  for (auto Each = In.m_InOrder.begin();
       Each != In.m_InOrder.end() && Kept > EndedPlansKept;) {
    if (In.m_ById.at(*Each).m_Phase == PlanPhase::Running) {
      ++Each;
      continue;
    }
    In.m_ById.erase(*Each);
    Each = In.m_InOrder.erase(Each);
    --Kept;
  }
}

std::variant<Plan, Reply> make(State &On, const Json &Intent,
                               const std::string &Actor) {
  auto Steps = planSteps(On, Intent);
  if (const Reply *Why = std::get_if<Reply>(&Steps))
    return *Why;
  Plan New;
  New.m_Id = {"plan-" + std::to_string(On.m_Plans.m_Next++)};
  New.m_Revision = On.m_Plans.m_Revision;
  New.m_Intent = Intent.dump();
  New.m_Actor = Actor;
  New.m_ProposedAt = On.m_Now;
  New.m_Steps = std::move(std::get<std::vector<Step>>(Steps));
  New.m_Digest = digestOf(New);
  return New;
}

/// Carries out steps that are no order: they are done as they are confirmed.
std::optional<Reply> carryOutDocument(State &On, Plan &Which,
                                      const std::string &Actor) {
  Step &Only = Which.m_Steps.front();
  if (Only.m_Kind == StepKind::Policy)
    return acceptPolicy(On, Which, Json::parse(Only.m_Document));
  if (Only.m_Kind != StepKind::Configure)
    return std::nullopt;
  const Json Change = Json::parse(Only.m_Document);
  Reply Out = acceptConfiguration(On, Change["replaces"].get<std::uint64_t>(),
                                  Change["document"].dump(), Actor);
  return Out.m_Refusal ? std::optional(Out) : std::nullopt;
}

void run(State &On, Plan &Which, const std::string &Actor) {
  On.m_Plans.m_Revision += 1;
  On.m_Plans.m_LastWinner = fmt::format("{} by {}", Which.m_Id.m_Value, Actor);
  Which.m_Phase = PlanPhase::Running;
  Which.m_ConfirmedAt = On.m_Now;
  for (Step &Each : Which.m_Steps) {
    if (Each.m_Kind == StepKind::Configure || Each.m_Kind == StepKind::Policy)
      Each.m_Phase = StepPhase::Done;
    if (Target *About = findTarget(On.m_Targets, Each.m_Target))
      About->m_ClaimedBy = Which.m_Id;
  }
  advance(On, Which);
}

Reply conflict(const State &In, std::string_view Why) {
  return refuse(Refusal::RevisionConflict,
                In.m_Plans.m_LastWinner.empty()
                    ? std::string(Why)
                    : fmt::format("{}; the last confirmed is {}", Why,
                                  In.m_Plans.m_LastWinner));
}

/// Whether a plan still fits the fleet; members and documents always do.
std::optional<Reply> outdated(const State &In, const Plan &Which) {
  auto Again = planSteps(In, Json::parse(Which.m_Intent));
  if (const Reply *Why = std::get_if<Reply>(&Again))
    return *Why;
  if (!sameSteps(std::get<std::vector<Step>>(Again), Which.m_Steps))
    return conflict(In, "the fleet has changed since the plan was made");
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

const Step *findStep(const State &In, const PlanId &Name, std::uint32_t Index) {
  const auto Found = In.m_Plans.m_ById.find(Name);
  if (Found == In.m_Plans.m_ById.end() || Index >= Found->second.m_Steps.size())
    return nullptr;
  return &Found->second.m_Steps[Index];
}

bool hasActiveStep(const State &In, const Target &About) {
  const auto Found = In.m_Plans.m_ById.find(About.m_ClaimedBy);
  if (Found == In.m_Plans.m_ById.end())
    return false;
  const std::vector<Step> &Steps = Found->second.m_Steps;
  return std::any_of(Steps.begin(), Steps.end(), [&](const Step &Each) {
    return Each.m_Target == About.m_Id && isActive(Each.m_Phase);
  });
}

bool canStart(const State &In, const Plan &Of, std::size_t Index) {
  const Step &Next = Of.m_Steps[Index];
  if (Of.m_Phase != PlanPhase::Running || Of.m_Cancelling ||
      Next.m_Phase != StepPhase::Waiting)
    return false;
  const bool Earlier =
      std::all_of(Of.m_Steps.begin(), Of.m_Steps.end(), [&](const Step &Each) {
        return Each.m_Stage >= Next.m_Stage || Each.m_Phase == StepPhase::Done;
      });
  if (!Earlier || Next.m_Kind == StepKind::Member)
    return Earlier;
  const Target *About = findTarget(In.m_Targets, Next.m_Target);
  return About != nullptr && About->m_State != TargetState::Lost &&
         underWay(In.m_Orders, Next.m_Target) == nullptr;
}

bool restartStep(State &On, Target &About) {
  Step *Which = claimedStep(On, About);
  if (Which == nullptr || !isActive(Which->m_Phase))
    return false;
  Which->m_Order = {};
  Which->m_Phase = needsBarrier(About, Which->m_Want) ? StepPhase::Barrier
                                                      : StepPhase::Ready;
  enter(On, About, TargetState::Announced);
  return true;
}

void failStepOf(State &On, const Target &About, const std::string &Why) {
  Step *Which = claimedStep(On, About);
  if (Which == nullptr || Which->m_Phase == StepPhase::Done)
    return;
  Which->m_Phase = StepPhase::Failed;
  Which->m_Message = Why;
  Plan &Owner = On.m_Plans.m_ById.at(About.m_ClaimedBy);
  Owner.m_Message = fmt::format("{}: {}", About.m_Id.m_Value, Why);
  advance(On, Owner);
}

void keepOutAfterLoss(State &On, Target &About) {
  const Step *Which = claimedStep(On, About);
  const bool Out = Which != nullptr && isActive(Which->m_Phase) &&
                   (Which->m_Want.m_Draining || Which->m_Want.m_Withdrawn);
  if (Out)
    About.m_Wanted = Which->m_Want;
}

void readyStepOf(State &On, const Target &About) {
  Step *Which = claimedStep(On, About);
  if (Which != nullptr && Which->m_Phase == StepPhase::Barrier)
    Which->m_Phase = StepPhase::Ready;
}

void markOrdered(State &On, const Order &Issued) {
  Plan *Owner = findPlan(On, Issued.m_Plan);
  if (Owner == nullptr)
    return;
  Step &Which = Owner->m_Steps.at(Issued.m_Step);
  Which.m_Phase = StepPhase::Ordered;
  Which.m_Order = Issued.m_Id;
}

void repeatStep(State &On, const Order &Superseded) {
  Plan *Owner = findPlan(On, Superseded.m_Plan);
  if (Owner == nullptr)
    return;
  Step &Which = Owner->m_Steps.at(Superseded.m_Step);
  if (Which.m_Phase == StepPhase::Ordered)
    Which.m_Phase = StepPhase::Ready;
  advance(On, *Owner);
}

void endStep(State &On, const Order &Ended, bool Done,
             const std::string &Message) {
  Plan *Owner = findPlan(On, Ended.m_Plan);
  if (Owner == nullptr)
    return;
  Step &Which = Owner->m_Steps.at(Ended.m_Step);
  Which.m_Phase = Done ? StepPhase::Done : StepPhase::Failed;
  Which.m_Message = Message;
  if (!Done)
    Owner->m_Message = fmt::format("{}: {}", Ended.m_Target.m_Value, Message);
  advance(On, *Owner);
}

Reply propose(State &On, const wire::Command &Command) {
  const Json Intent = parseBody(Command);
  if (!Intent.is_object())
    return refuse(Refusal::InvalidJson);
  auto Made = make(On, Intent, Command.actor());
  if (const Reply *Why = std::get_if<Reply>(&Made))
    return *Why;
  Plan &New = std::get<Plan>(Made);
  const std::string Result = view(New).dump();
  On.m_Plans.m_InOrder.push_back(New.m_Id);
  On.m_Plans.m_ById[New.m_Id] = std::move(New);
  dropOldPlans(On.m_Plans);
  return accept(Result);
}

Reply confirm(State &On, const wire::Command &Command) {
  const Json Body = parseBody(Command);
  if (!Body.is_object())
    return refuse(Refusal::InvalidJson);
  Plan *Which = findPlan(On, {textOf(Body, "plan")});
  if (Which == nullptr)
    return refuse(Refusal::UnknownPlan);
  if (Which->m_Phase != PlanPhase::Proposed)
    return conflict(
        On, fmt::format("the plan is {}", planPhaseName(Which->m_Phase)));
  const std::uint64_t Expected = Command.operator_command().expected_revision();
  if (Expected != Which->m_Revision ||
      textOf(Body, "digest") != Which->m_Digest)
    return conflict(On, "revision or digest is not that of the plan");
  if (Which->m_Revision != On.m_Plans.m_Revision &&
      !mutated(Mutation::IgnoreRevision))
    return conflict(On, "another plan was confirmed first");
  if (std::optional<Reply> Why = outdated(On, *Which))
    return *Why;
  if (std::optional<Reply> Why = carryOutDocument(On, *Which, Command.actor()))
    return *Why;
  run(On, *Which, Command.actor());
  return accept(view(*Which).dump());
}

Reply cancel(State &On, const wire::Command &Command) {
  const Json Body = parseBody(Command);
  Plan *Which =
      Body.is_object() ? findPlan(On, {textOf(Body, "plan")}) : nullptr;
  if (Which == nullptr)
    return refuse(Refusal::UnknownPlan);
  if (Which->m_Phase == PlanPhase::Proposed)
    endPlan(On, *Which, PlanPhase::Cancelled);
  else if (Which->m_Phase == PlanPhase::Running) {
    Which->m_Cancelling = true;
    advance(On, *Which);
  }
  return accept(view(*Which).dump());
}

Reply shiftAutomatically(State &On, const wire::Command &Command) {
  const Json Intent = parseBody(Command);
  if (!Intent.is_object() || textOf(Intent, "intent") != "shift_role" ||
      flagOf(Intent, "allow_empty"))
    return refuse(Refusal::InvalidField, "only roles shift automatically");
  if (std::optional<Reply> Why = exceedsPolicy(On))
    return *Why;
  auto Made = make(On, Intent, Command.actor());
  if (const Reply *Why = std::get_if<Reply>(&Made))
    return *Why;
  Plan &New = std::get<Plan>(Made);
  if (New.m_Steps.size() != 1)
    return refuse(Refusal::PolicyExceeded, "one target at a time");
  On.m_Policy.m_Changes.push_back(On.m_Now);
  const PlanId Name = New.m_Id;
  On.m_Plans.m_InOrder.push_back(Name);
  Plan &Kept = On.m_Plans.m_ById[Name] = std::move(New);
  run(On, Kept, Command.actor());
  const std::string Result = view(Kept).dump();
  dropOldPlans(On.m_Plans);
  return accept(Result);
}

Reply startStep(State &On, const wire::StartStep &Said) {
  Plan *Owner = findPlan(On, {Said.plan()});
  if (Owner == nullptr || Said.step() >= Owner->m_Steps.size())
    return refuse(Refusal::UnknownPlan);
  if (!canStart(On, *Owner, Said.step()))
    return refuse(Refusal::RevisionConflict, "the step cannot start now");
  Step &Which = Owner->m_Steps[Said.step()];
  if (Which.m_Kind == StepKind::Member) {
    Which.m_Phase = StepPhase::Ordered;
    return accept();
  }
  Target &About = *findTarget(On.m_Targets, Which.m_Target);
  if (!needsBarrier(About, Which.m_Want)) {
    Which.m_Phase = StepPhase::Ready;
    return accept();
  }
  Which.m_Phase = StepPhase::Barrier;
  startDrain(On, About,
             Which.m_Want.m_Withdrawn ? TargetState::Leaving
                                      : TargetState::Draining);
  return accept();
}

Reply progressStep(State &On, const wire::StepProgress &Said) {
  Plan *Owner = findPlan(On, {Said.plan()});
  if (Owner == nullptr || Said.step() >= Owner->m_Steps.size())
    return refuse(Refusal::UnknownPlan);
  Step &Which = Owner->m_Steps[Said.step()];
  if (Which.m_Kind != StepKind::Member || Which.m_Phase != StepPhase::Ordered)
    return refuse(Refusal::RevisionConflict, "the step is not under way");
  Which.m_Phase = Said.state() == "done" ? StepPhase::Done : StepPhase::Failed;
  Which.m_Message = Said.message();
  Owner->m_Message = Said.message();
  advance(On, *Owner);
  return accept();
}

} // namespace wasabivale::fleet
