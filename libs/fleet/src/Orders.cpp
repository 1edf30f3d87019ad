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

std::size_t countUnderWay(const Orders &In, const TargetId &Name) {
  return static_cast<std::size_t>(
      std::count_if(In.m_ById.begin(), In.m_ById.end(), [&](const auto &Each) {
        return Each.second.m_Target == Name && Each.second.isUnderWay();
      }));
}

void end(State &On, Order &Which, OrderPhase How, const std::string &Message) {
  Orders &In = On.m_Orders;
  Which.m_Phase = How;
  Which.m_Message = Message;
  In.m_UnderWay.erase(Which.m_Target);
  In.m_Ended.push_back(Which.m_Id);
  while (In.m_Ended.size() > EndedOrdersKept) {
    In.m_ById.erase(In.m_Ended.front());
    In.m_Ended.pop_front();
  }
}

Order *findUnderWay(Orders &In, const TargetId &Name) {
  const auto Found = In.m_UnderWay.find(Name);
  return Found == In.m_UnderWay.end() ? nullptr : &In.m_ById.at(Found->second);
}

bool fenceIsNewer(const Fence &Next, const Fence &Last) {
  return mutated(Mutation::AcceptEqualFence) ? Next >= Last : Next > Last;
}

/// What the order shall bring about: the step's wanted state, or the target's
/// own. Nothing when no order is needed now.
std::optional<Wanted> wantOf(const State &On, const wire::IssueOrder &Ask,
                             const Target &Which) {
  if (!Ask.plan().empty()) {
    const Step *Next = findStep(On, {Ask.plan()}, Ask.step());
    const bool Due = Next != nullptr && Next->m_Target == Which.m_Id &&
                     (Next->m_Phase == StepPhase::Ready ||
                      (mutated(Mutation::SkipBarrier) &&
                       Next->m_Phase == StepPhase::Barrier) ||
                      (mutated(Mutation::AllowSecondOrder) &&
                       Next->m_Phase == StepPhase::Ordered));
    return Due ? std::optional(Next->m_Want) : std::nullopt;
  }
  const bool Free =
      !hasActiveStep(On, Which) && (Which.m_State == TargetState::Announced ||
                                    Which.m_State == TargetState::Leaving);
  return Free ? restoration(Which) : std::nullopt;
}

/// The order changed the target as wanted.
void settleDone(State &On, Target &Which, const Order &Done) {
  Which.m_Role = Done.m_Want.m_Role;
  Which.m_Models = Done.m_Want.m_Models;
  const bool OwnLeave =
      Done.m_Plan.empty() && Which.m_LeavingByItself && Done.m_Want.m_Withdrawn;
  if (!OwnLeave)
    Which.m_Wanted = Done.m_Want;
  touch(On.m_Targets, Which);
  if (OwnLeave)
    enter(On, Which, TargetState::Withdrawn);
  else if (restingState(Which) == TargetState::Leaving)
    startDrain(On, Which, TargetState::Leaving);
  else
    enter(On, Which, restingState(Which));
}

/// The target did not change as wanted: it is taken as it is, so that a target
/// which cannot obey is not ordered about for ever. A target that came back and
/// was to stay out of service stays out.
void settleFailed(State &On, Target &Which, const Order &Order,
                  const wire::OrderProgress &Said) {
  if (!Said.observed_role().empty())
    Which.m_Role = Said.observed_role();
  if (!Said.observed_models().empty())
    Which.m_Models = {Said.observed_models().begin(),
                      Said.observed_models().end()};
  const bool Restoring = Order.m_Plan.empty();
  Wanted Kept = actual(Which);
  Kept.m_Draining = Restoring ? Order.m_Want.m_Draining
                              : Which.m_Wanted && Which.m_Wanted->m_Draining;
  Kept.m_Withdrawn = Restoring && Order.m_Want.m_Withdrawn;
  const bool OwnLeave = Restoring && Which.m_LeavingByItself;
  if (!OwnLeave)
    Which.m_Wanted = Kept;
  touch(On.m_Targets, Which);
  if (OwnLeave)
    enter(On, Which, TargetState::Withdrawn);
  else if (restingState(Which) == TargetState::Leaving)
    startDrain(On, Which, TargetState::Leaving);
  else
    enter(On, Which, restingState(Which));
}

Reply finish(State &On, Order &Which, OrderPhase How,
             const wire::OrderProgress &Said) {
  const Order Ended = Which;
  end(On, Which, How, Said.message());
  Target *About = findTarget(On.m_Targets, Ended.m_Target);
  if (About == nullptr)
    return accept();
  if (How == OrderPhase::Superseded) {
    repeatStep(On, Ended);
    return accept();
  }
  if (How == OrderPhase::Done)
    settleDone(On, *About, Ended);
  else
    settleFailed(On, *About, Ended, Said);
  endStep(On, Ended, How == OrderPhase::Done, Said.message());
  return accept();
}

} // namespace

std::string_view orderPhaseName(OrderPhase Value) {
  return PhaseNames.at(static_cast<std::size_t>(Value));
}

const Order *underWay(const Orders &In, const TargetId &Name) {
  const auto Found = In.m_UnderWay.find(Name);
  return Found == In.m_UnderWay.end() ? nullptr : &In.m_ById.at(Found->second);
}

std::size_t loadsUnderWay(const Orders &In) {
  std::size_t Count = 0;
  for (const auto &[Name, Which] : In.m_UnderWay)
    Count += In.m_ById.at(Which).m_Loads ? 1 : 0;
  return Count;
}

void supersedeUnderWay(State &On, const TargetId &Name,
                       const std::string &Why) {
  if (Order *Which = findUnderWay(On.m_Orders, Name))
    end(On, *Which, OrderPhase::Superseded, Why);
}

void failUnderWay(State &On, const TargetId &Name, const std::string &Why) {
  if (Order *Which = findUnderWay(On.m_Orders, Name))
    end(On, *Which, OrderPhase::Failed, Why);
}

Reply issue(State &On, const wire::Command &Command) {
  const wire::IssueOrder &Ask = Command.issue_order();
  Target *About = findTarget(On.m_Targets, {Ask.target()});
  if (About == nullptr || About->m_State == TargetState::Lost)
    return refuse(Refusal::UnknownTarget);
  if (About->m_Incarnation != Ask.incarnation())
    return refuse(Refusal::StaleIncarnation);
  if (underWay(On.m_Orders, About->m_Id) != nullptr &&
      !mutated(Mutation::AllowSecondOrder))
    return refuse(Refusal::RevisionConflict, "an order is under way");
  const Fence Next{Command.term(), Ask.fence_sequence()};
  if (!fenceIsNewer(Next, On.m_Orders.m_Last))
    return refuse(Refusal::StaleFence);
  const std::optional<Wanted> Want = wantOf(On, Ask, *About);
  if (!Want)
    return refuse(Refusal::RevisionConflict, "no such order is needed now");
  const bool Drained = needsBarrier(*About, *Want);
  const bool Behind = About->m_BarrierReached != About->m_Generation;
  if (Drained && Behind && !mutated(Mutation::SkipBarrier))
    return refuse(Refusal::RevisionConflict, "the target is still draining");
  const bool Loads = loads(*About, *Want);
  if (Loads && loadsUnderWay(On.m_Orders) >= On.m_Configuration.m_LoadsAtOnce)
    return refuse(Refusal::RevisionConflict, "the weight store is busy");

  FLEET_INVARIANT(Next > On.m_Orders.m_Last);
  FLEET_INVARIANT(!Drained || About->m_BarrierReached == About->m_Generation);
  Order New;
  New.m_Id = {"order-" + std::to_string(On.m_Orders.m_Next++)};
  New.m_Target = About->m_Id;
  New.m_Incarnation = About->m_Incarnation;
  New.m_Fence = Next;
  New.m_Want = *Want;
  New.m_Plan = {Ask.plan()};
  New.m_Step = Ask.step();
  New.m_Issued = On.m_Now;
  New.m_Loads = Loads;
  New.m_Drained = Drained;
  On.m_Orders.m_Last = Next;
  On.m_Orders.m_UnderWay[New.m_Target] = New.m_Id;
  On.m_Orders.m_ById[New.m_Id] = New;
  FLEET_INVARIANT(countUnderWay(On.m_Orders, New.m_Target) == 1);
  markOrdered(On, New);
  return accept(Json{{"order", New.m_Id.m_Value}}.dump());
}

Reply progress(State &On, const wire::OrderProgress &Said) {
  const auto Found = On.m_Orders.m_ById.find({Said.order()});
  if (Found == On.m_Orders.m_ById.end())
    return refuse(Refusal::InvalidField, "no such order");
  Order &Which = Found->second;
  if (!Which.isUnderWay())
    return refuse(Refusal::RevisionConflict,
                  "the order is " + std::string(orderPhaseName(Which.m_Phase)));
  if (Said.state() == "sent") {
    if (Which.m_Phase == OrderPhase::Pending)
      Which.m_SentAt = On.m_Now;
    Which.m_Phase = OrderPhase::Sent;
    return accept();
  }
  if (Said.state() == "done")
    return finish(On, Which, OrderPhase::Done, Said);
  if (Said.state() == "failed")
    return finish(On, Which, OrderPhase::Failed, Said);
  if (Said.state() == "superseded")
    return finish(On, Which, OrderPhase::Superseded, Said);
  return refuse(Refusal::InvalidField, "state");
}

} // namespace wasabivale::fleet
