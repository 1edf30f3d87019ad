#include "Orders.h"
#include "Plans.h"
#include "Targets.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

/// Collects actions and assigns fences to the orders among them.
class ActionCollector {
public:
  ActionCollector(const State &Fleet, const ActionSettings &Settings)
      : m_Fleet(Fleet), m_Settings(Settings),
        m_Sequence(Fleet.m_Orders.m_Last.m_Sequence),
        m_LoadsUnderWay(loadsUnderWay(Fleet.m_Orders)) {}

  void proposeLoss(const Target &Target) {
    wire::Command Next;
    Next.mutable_lose_target()->set_target(Target.m_Id.m_Value);
    Next.mutable_lose_target()->set_incarnation(Target.m_Incarnation);
    propose("lose/" + Target.m_Id.m_Value + '/' + Target.m_Incarnation, Next);
  }

  void proposeBarrierReached(const Target &Target) {
    wire::Command Next;
    Next.mutable_barrier_reached()->set_target(Target.m_Id.m_Value);
    Next.mutable_barrier_reached()->set_generation(Target.m_Generation);
    propose(
        fmt::format("barrier/{}/{}", Target.m_Id.m_Value, Target.m_Generation),
        Next);
  }

  void proposeStepStart(const Plan &Plan, std::uint32_t Step) {
    wire::Command Next;
    Next.mutable_start_step()->set_plan(Plan.m_Id.m_Value);
    Next.mutable_start_step()->set_step(Step);
    propose(fmt::format("step/{}/{}", Plan.m_Id.m_Value, Step), Next);
  }

  /// Proposes an order, unless it loads a model and the weight store is busy.
  void proposeOrder(const Target &Target, const DesiredState &Desired,
                    const PlanId &Plan, std::uint32_t Step) {
    if (readsWeightStore(Target, Desired)) {
      if (m_LoadsUnderWay >= m_Fleet.m_Configuration.m_MaxConcurrentLoads)
        return;
      m_LoadsUnderWay += 1;
    }
    wire::Command Next;
    wire::IssueOrder &Request = *Next.mutable_issue_order();
    Request.set_target(Target.m_Id.m_Value);
    Request.set_incarnation(Target.m_Incarnation);
    Request.set_plan(Plan.m_Value);
    Request.set_step(Step);
    Request.set_fence_sequence(++m_Sequence);
    propose(
        fmt::format("issue/{}/{}/{}", Target.m_Id.m_Value, Plan.m_Value, Step),
        Next);
  }

  void execute(const Order &Order) {
    m_Actions.push_back(ExecuteOrder{Order.m_Id});
  }

  void execute(const Plan &Plan, std::uint32_t Step) {
    m_Actions.push_back(ExecuteMembershipStep{Plan.m_Id, Step});
  }

  std::vector<Action> take() { return std::move(m_Actions); }

private:
  void propose(std::string Key, wire::Command Next) {
    Next.set_term(m_Settings.m_Term);
    m_Actions.push_back(Propose{std::move(Key), std::move(Next)});
  }

  const State &m_Fleet;
  const ActionSettings &m_Settings;
  std::uint64_t m_Sequence;
  std::size_t m_LoadsUnderWay;
  std::vector<Action> m_Actions;
};

/// Whether target reports arrive, directly or through an entry with a valid
/// lease.
bool receivesTargetReports(const ObservedState &Observed, TimePoint Now) {
  return Observed.m_ReceivesTargetReports ||
         std::any_of(Observed.m_Entries.begin(), Observed.m_Entries.end(),
                     [&](const auto &Item) {
                       return Item.second.m_LeaseUntil > Now &&
                              Item.second.m_ReportsTargets;
                     });
}

bool isLost(const Target &Target, const ObservedState &Observed, TimePoint Now,
            Duration Timeout) {
  if (Target.m_State == TargetState::Lost ||
      Target.m_State == TargetState::Withdrawn)
    return false;
  const auto LastSeen = Observed.m_LastSeen.find(Target.m_Id);
  return LastSeen != Observed.m_LastSeen.end() &&
         Now - LastSeen->second.m_At > Timeout;
}

/// Whether at least half of the self-managed targets report. If most fall
/// silent at once, a network fault on the path to the leader is assumed.
/// Entries still detect targets that have really stopped, because these do not
/// answer them.
bool mostTargetsReport(const State &Fleet, const ObservedState &Observed,
                       TimePoint Now, const ActionSettings &Settings) {
  std::size_t Present = 0;
  std::size_t Silent = 0;
  for (const auto &[Name, Target] : Fleet.m_Targets.m_ById) {
    if (!Target.m_SelfManaged || Target.m_State != TargetState::Serving)
      continue;
    ++Present;
    Silent += isLost(Target, Observed, Now, Settings.m_LostAfter) ? 1 : 0;
  }
  return Silent * 2 <= Present;
}

/// The desired state to restore by an order outside any plan, if one is due.
std::optional<DesiredState> dueRestoration(const State &Fleet,
                                           const Target &Target) {
  const bool NeedsOrder = Target.m_State == TargetState::Announced ||
                          Target.m_State == TargetState::Leaving;
  if (!NeedsOrder || hasActiveStep(Fleet, Target) ||
      orderUnderWay(Fleet.m_Orders, Target.m_Id) != nullptr)
    return std::nullopt;
  return restoration(Target);
}

bool waitsForBarrier(const State &Fleet, const Target &Target,
                     const std::optional<DesiredState> &Desired) {
  if (Target.m_BarrierReached == Target.m_Generation)
    return false;
  if (Desired)
    return needsBarrier(Target, *Desired);
  return hasActiveStep(Fleet, Target) &&
         orderUnderWay(Fleet.m_Orders, Target.m_Id) == nullptr;
}

void targetActions(const State &Fleet, const ObservedState &Observed,
                   TimePoint Now, const ActionSettings &Settings,
                   ActionCollector &Actions) {
  const bool ReportsReceived =
      receivesTargetReports(Observed, Now) &&
      mostTargetsReport(Fleet, Observed, Now, Settings);
  for (const auto &[Name, Target] : Fleet.m_Targets.m_ById) {
    if (ReportsReceived &&
        isLost(Target, Observed, Now, Settings.m_LostAfter)) {
      Actions.proposeLoss(Target);
      continue;
    }
    if (Target.m_State == TargetState::Serving ||
        Target.m_State == TargetState::Lost)
      continue;
    const std::optional<DesiredState> Desired = dueRestoration(Fleet, Target);
    if (waitsForBarrier(Fleet, Target, Desired)) {
      if (barrierReached(Observed, Target, Now))
        Actions.proposeBarrierReached(Target);
    } else if (Desired) {
      Actions.proposeOrder(Target, *Desired, {}, 0);
    }
  }
}

void stepActions(const State &Fleet, const Plan &Plan, std::uint32_t Index,
                 ActionCollector &Actions) {
  const Step &Step = Plan.m_Steps[Index];
  if (canStart(Fleet, Plan, Index))
    Actions.proposeStepStart(Plan, Index);
  if (Step.m_Kind == StepKind::Member) {
    if (Step.m_Phase == StepPhase::Ordered)
      Actions.execute(Plan, Index);
    return;
  }
  const Target *Target = findTarget(Fleet.m_Targets, Step.m_Target);
  if (Step.m_Phase == StepPhase::Ready && Target != nullptr)
    Actions.proposeOrder(*Target, Step.m_DesiredState, Plan.m_Id, Index);
}

} // namespace

std::vector<Action> dueActions(const State &Fleet,
                               const ObservedState &Observed, TimePoint Now,
                               const ActionSettings &Settings) {
  ActionCollector Actions(Fleet, Settings);
  targetActions(Fleet, Observed, Now, Settings, Actions);
  for (const auto &[Name, Plan] : Fleet.m_Plans.m_ById)
    if (Plan.m_Phase == PlanPhase::Running)
      for (std::uint32_t I = 0; I < Plan.m_Steps.size(); ++I)
        stepActions(Fleet, Plan, I, Actions);
  for (const auto &[Name, Id] : Fleet.m_Orders.m_UnderWay)
    Actions.execute(Fleet.m_Orders.m_ById.at(Id));
  return Actions.take();
}

std::vector<Propose> proposeLeaves(const State &Fleet,
                                   const wire::EntryReport &Report) {
  std::vector<Propose> Proposals;
  for (const wire::LeavingTarget &Leaving : Report.leaving_targets()) {
    const Target *Known = findTarget(Fleet.m_Targets, {Leaving.target()});
    if (Known == nullptr || Known->m_LeaveRequested ||
        Known->m_Incarnation != Leaving.incarnation() ||
        Known->m_State == TargetState::Lost ||
        Known->m_State == TargetState::Withdrawn)
      continue;
    Propose Next;
    Next.m_Key =
        fmt::format("leave/{}/{}", Leaving.target(), Leaving.incarnation());
    wire::LeaveTarget &Order = *Next.m_Command.mutable_leave_target();
    Order.set_target(Leaving.target());
    Order.set_incarnation(Leaving.incarnation());
    Proposals.push_back(std::move(Next));
  }
  return Proposals;
}

} // namespace wasabivale::fleet
