#include "Orders.h"

#include "FleetMutations.h"
#include "Plans.h"
#include "Replies.h"
#include "Targets.h"

#include <algorithm>
#include <array>

namespace wasabivale::fleet {

namespace {

constexpr std::array<std::string_view, 5> PhaseNames = {
    "pending", "sent", "done", "failed", "superseded"};

std::size_t countUnderWay(const Orders &Orders, const TargetId &Name) {
  return static_cast<std::size_t>(std::count_if(
      Orders.m_ById.begin(), Orders.m_ById.end(), [&](const auto &Item) {
        return Item.second.m_Target == Name && Item.second.isUnderWay();
      }));
}

void endOrder(State &Fleet, Order &Order, OrderPhase Phase,
              const std::string &Message) {
  Orders &Orders = Fleet.m_Orders;
  Order.m_Phase = Phase;
  Order.m_Message = Message;
  Orders.m_UnderWay.erase(Order.m_Target);
  Orders.m_Ended.push_back(Order.m_Id);
  while (Orders.m_Ended.size() > MaxEndedOrders) {
    Orders.m_ById.erase(Orders.m_Ended.front());
    Orders.m_Ended.pop_front();
  }
}

Order *findUnderWay(Orders &Orders, const TargetId &Name) {
  const auto Found = Orders.m_UnderWay.find(Name);
  return Found == Orders.m_UnderWay.end() ? nullptr
                                          : &Orders.m_ById.at(Found->second);
}

bool isNewerFence(const Fence &Next, const Fence &Last) {
  return mutated(Mutation::AcceptEqualFence) ? Next >= Last : Next > Last;
}

/// The state that the order establishes: that of the plan's step or, outside a
/// plan, that of the target. Nothing if no order is due.
std::optional<DesiredState> desiredStateFor(const State &Fleet,
                                            const wire::IssueOrder &Request,
                                            const Target &Target) {
  if (!Request.plan().empty()) {
    const Step *Next = findStep(Fleet, {Request.plan()}, Request.step());
    const bool Due = Next != nullptr && Next->m_Target == Target.m_Id &&
                     (Next->m_Phase == StepPhase::Ready ||
                      (mutated(Mutation::SkipBarrier) &&
                       Next->m_Phase == StepPhase::Barrier) ||
                      (mutated(Mutation::AllowSecondOrder) &&
                       Next->m_Phase == StepPhase::Ordered));
    return Due ? std::optional(Next->m_DesiredState) : std::nullopt;
  }
  const bool Free = !hasActiveStep(Fleet, Target) &&
                    (Target.m_State == TargetState::Announced ||
                     Target.m_State == TargetState::Leaving);
  return Free ? restoration(Target) : std::nullopt;
}

/// The target has reached the desired state.
void applyCompletedOrder(State &Fleet, Target &Target, const Order &Order) {
  Target.m_Role = Order.m_DesiredState.m_Role;
  Target.m_Models = Order.m_DesiredState.m_Models;
  const bool LeavesOnRequest = Order.m_Plan.empty() &&
                               Target.m_LeaveRequested &&
                               Order.m_DesiredState.m_Withdrawn;
  if (!LeavesOnRequest)
    Target.m_DesiredState = Order.m_DesiredState;
  markChanged(Fleet.m_Targets, Target);
  if (LeavesOnRequest)
    setState(Fleet, Target, TargetState::Withdrawn);
  else if (steadyState(Target) == TargetState::Leaving)
    startDrain(Fleet, Target, TargetState::Leaving);
  else
    setState(Fleet, Target, steadyState(Target));
}

/// Adopts the observed state as the desired one, so that a target which cannot
/// carry out an order is not ordered again and again. A restored target that
/// was to stay out of service stays out.
void applyFailedOrder(State &Fleet, Target &Target, const Order &Order,
                      const wire::OrderProgress &Progress) {
  if (!Progress.observed_role().empty())
    Target.m_Role = Progress.observed_role();
  if (!Progress.observed_models().empty())
    Target.m_Models = {Progress.observed_models().begin(),
                       Progress.observed_models().end()};
  const bool Restoring = Order.m_Plan.empty();
  DesiredState Desired = actualState(Target);
  Desired.m_Draining =
      Restoring ? Order.m_DesiredState.m_Draining
                : Target.m_DesiredState && Target.m_DesiredState->m_Draining;
  Desired.m_Withdrawn = Restoring && Order.m_DesiredState.m_Withdrawn;
  const bool LeavesOnRequest = Restoring && Target.m_LeaveRequested;
  if (!LeavesOnRequest)
    Target.m_DesiredState = Desired;
  markChanged(Fleet.m_Targets, Target);
  if (LeavesOnRequest)
    setState(Fleet, Target, TargetState::Withdrawn);
  else if (steadyState(Target) == TargetState::Leaving)
    startDrain(Fleet, Target, TargetState::Leaving);
  else
    setState(Fleet, Target, steadyState(Target));
}

Reply finishOrder(State &Fleet, Order &ActiveOrder, OrderPhase Phase,
                  const wire::OrderProgress &Progress) {
  const Order EndedOrder = ActiveOrder;
  endOrder(Fleet, ActiveOrder, Phase, Progress.message());
  Target *Target = findTarget(Fleet.m_Targets, EndedOrder.m_Target);
  if (Target == nullptr)
    return accept();
  if (Phase == OrderPhase::Superseded) {
    retryStep(Fleet, EndedOrder);
    return accept();
  }
  if (Phase == OrderPhase::Done)
    applyCompletedOrder(Fleet, *Target, EndedOrder);
  else
    applyFailedOrder(Fleet, *Target, EndedOrder, Progress);
  endStep(Fleet, EndedOrder, Phase == OrderPhase::Done, Progress.message());
  return accept();
}

} // namespace

std::string_view orderPhaseName(OrderPhase Value) {
  return PhaseNames.at(static_cast<std::size_t>(Value));
}

const Order *orderUnderWay(const Orders &Orders, const TargetId &Name) {
  const auto Found = Orders.m_UnderWay.find(Name);
  return Found == Orders.m_UnderWay.end() ? nullptr
                                          : &Orders.m_ById.at(Found->second);
}

std::size_t loadsUnderWay(const Orders &Orders) {
  std::size_t Count = 0;
  for (const auto &[Name, Id] : Orders.m_UnderWay)
    Count += Orders.m_ById.at(Id).m_ReadsWeightStore ? 1 : 0;
  return Count;
}

void supersedeUnderWay(State &Fleet, const TargetId &Name,
                       const std::string &Reason) {
  if (Order *Order = findUnderWay(Fleet.m_Orders, Name))
    endOrder(Fleet, *Order, OrderPhase::Superseded, Reason);
}

void failUnderWay(State &Fleet, const TargetId &Name,
                  const std::string &Reason) {
  if (Order *Order = findUnderWay(Fleet.m_Orders, Name))
    endOrder(Fleet, *Order, OrderPhase::Failed, Reason);
}

Reply handleIssueOrder(State &Fleet, const wire::Command &Command) {
  const wire::IssueOrder &Request = Command.issue_order();
  Target *Target = findTarget(Fleet.m_Targets, {Request.target()});
  if (Target == nullptr || Target->m_State == TargetState::Lost)
    return refuse(Refusal::UnknownTarget);
  if (Target->m_Incarnation != Request.incarnation())
    return refuse(Refusal::StaleIncarnation);
  if (orderUnderWay(Fleet.m_Orders, Target->m_Id) != nullptr &&
      !mutated(Mutation::AllowSecondOrder))
    return refuse(Refusal::RevisionConflict, "an order is under way");
  const Fence Next{Command.term(), Request.fence_sequence()};
  if (!isNewerFence(Next, Fleet.m_Orders.m_Last))
    return refuse(Refusal::StaleFence);
  const std::optional<DesiredState> Desired =
      desiredStateFor(Fleet, Request, *Target);
  if (!Desired)
    return refuse(Refusal::RevisionConflict, "no such order is needed now");
  const bool RequiresDrain = needsBarrier(*Target, *Desired);
  const bool BarrierPending = Target->m_BarrierReached != Target->m_Generation;
  if (RequiresDrain && BarrierPending && !mutated(Mutation::SkipBarrier))
    return refuse(Refusal::RevisionConflict, "the target is still draining");
  const bool ReadsWeightStore = readsWeightStore(*Target, *Desired);
  if (ReadsWeightStore && loadsUnderWay(Fleet.m_Orders) >=
                              Fleet.m_Configuration.m_MaxConcurrentLoads)
    return refuse(Refusal::RevisionConflict, "the weight store is busy");

  FLEET_INVARIANT(Next > Fleet.m_Orders.m_Last);
  FLEET_INVARIANT(!RequiresDrain ||
                  Target->m_BarrierReached == Target->m_Generation);
  Order New;
  New.m_Id = {"order-" + std::to_string(Fleet.m_Orders.m_Next++)};
  New.m_Target = Target->m_Id;
  New.m_Incarnation = Target->m_Incarnation;
  New.m_Fence = Next;
  New.m_DesiredState = *Desired;
  New.m_Plan = {Request.plan()};
  New.m_Step = Request.step();
  New.m_Issued = Fleet.m_Now;
  New.m_ReadsWeightStore = ReadsWeightStore;
  New.m_RequiresDrain = RequiresDrain;
  Fleet.m_Orders.m_Last = Next;
  Fleet.m_Orders.m_UnderWay[New.m_Target] = New.m_Id;
  Fleet.m_Orders.m_ById[New.m_Id] = New;
  FLEET_INVARIANT(countUnderWay(Fleet.m_Orders, New.m_Target) == 1);
  markStepOrdered(Fleet, New);
  return accept(Json{{"order", New.m_Id.m_Value}}.dump());
}

Reply handleOrderProgress(State &Fleet, const wire::OrderProgress &Progress) {
  const auto Found = Fleet.m_Orders.m_ById.find({Progress.order()});
  if (Found == Fleet.m_Orders.m_ById.end())
    return refuse(Refusal::InvalidField, "no such order");
  Order &Order = Found->second;
  if (!Order.isUnderWay())
    return refuse(Refusal::RevisionConflict,
                  "the order is " + std::string(orderPhaseName(Order.m_Phase)));
  if (Progress.state() == "sent") {
    if (Order.m_Phase == OrderPhase::Pending)
      Order.m_SentAt = Fleet.m_Now;
    Order.m_Phase = OrderPhase::Sent;
    return accept();
  }
  if (Progress.state() == "done")
    return finishOrder(Fleet, Order, OrderPhase::Done, Progress);
  if (Progress.state() == "failed")
    return finishOrder(Fleet, Order, OrderPhase::Failed, Progress);
  if (Progress.state() == "superseded")
    return finishOrder(Fleet, Order, OrderPhase::Superseded, Progress);
  return refuse(Refusal::InvalidField, "state");
}

} // namespace wasabivale::fleet
