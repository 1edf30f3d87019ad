#include "FleetFixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::fleet;

namespace {

std::string randomTarget() {
  return "e" + std::to_string(*rc::gen::inRange(1, 5));
}

Json randomIntent() {
  const std::vector<Json> Kinds = {
      drain(randomTarget()),
      shiftRole(randomTarget(), "prefill"),
      shiftRole(randomTarget(), "decode"),
      {{"intent", "return"}, {"targets", {randomTarget()}}},
      {{"intent", "withdraw"}, {"targets", {randomTarget(), randomTarget()}}},
      {{"intent", "serve"}, {"model", "m2"}, {"count", 2}},
      {{"intent", "unload"}, {"model", "m2"}},
  };
  return Kinds[*rc::gen::inRange<std::size_t>(0, Kinds.size())];
}

/// Applies a random event of the fleet, its operators or its leader.
void applyRandomEvent(FleetFixture &Fleet, std::uint64_t &Incarnations) {
  switch (*rc::gen::inRange(0, 13)) {
  case 0:
    Fleet.announce(randomTarget(), "i" + std::to_string(++Incarnations));
    return;
  case 1:
    Fleet.announce(randomTarget(), "i1");
    return;
  case 2: {
    const std::string Name = randomTarget();
    if (Fleet.m_State.m_Targets.m_ById.count({Name}) != 0)
      Fleet.lose(Name, Fleet.target(Name).m_Incarnation);
    return;
  }
  case 3: {
    const std::string Name = randomTarget();
    if (Fleet.m_State.m_Targets.m_ById.count({Name}) != 0)
      Fleet.leave(Name, Fleet.target(Name).m_Incarnation);
    return;
  }
  case 4:
    Fleet.changeLeader();
    return;
  case 5:
    Fleet.m_InFlight = *rc::gen::inRange<std::uint64_t>(0, 2);
    return;
  case 6:
    Fleet.call("cancel",
               {{"plan", "plan-" + std::to_string(*rc::gen::inRange(1, 12))}});
    return;
  case 7:
  case 8: {
    const std::vector<std::string> States = {"sent", "done", "failed",
                                             "superseded"};
    const OrderId Id{
        "order-" +
        std::to_string(*rc::gen::inRange(
            1, static_cast<int>(Fleet.m_State.m_Orders.m_Next) + 1))};
    Fleet.reportProgress(
        Id, States[*rc::gen::inRange<std::size_t>(0, States.size())]);
    return;
  }
  case 9:
    Fleet.startPlan(randomIntent());
    return;
  default:
    Fleet.advanceTime(std::chrono::milliseconds(*rc::gen::inRange(0, 4'000)));
    Fleet.commitDue();
    return;
  }
}

void requireInvariants(const State &Now, const State &Before) {
  RC_ASSERT(Now.m_Orders.m_Last >= Before.m_Orders.m_Last);
  std::map<TargetId, int> UnderWay;
  for (const auto &[Name, Order] : Now.m_Orders.m_ById)
    if (Order.isUnderWay())
      RC_ASSERT(++UnderWay[Order.m_Target] == 1);
  RC_ASSERT(UnderWay.size() == Now.m_Orders.m_UnderWay.size());
  for (const auto &[Name, Target] : Now.m_Targets.m_ById) {
    // A target gets no new work while an order that requires a drain is under
    // way.
    const Order *Order = orderUnderWay(Now.m_Orders, Name);
    if (Order != nullptr && Order->m_RequiresDrain)
      RC_ASSERT(Target.m_State != TargetState::Serving);
    if (!Target.m_ClaimedBy.empty())
      RC_ASSERT(Now.m_Plans.m_ById.at(Target.m_ClaimedBy).m_Phase ==
                PlanPhase::Running);
  }
}

} // namespace

TEST_CASE("random events never break the invariants of orders and plans") {
  const bool Passed = rc::check("sound", [] {
    FleetFixture Fleet;
    std::uint64_t Incarnations = 1;
    for (const char *Name : {"e1", "e2", "e3"})
      Fleet.announce(Name);
    const int Steps = *rc::gen::inRange(1, 80);
    for (int I = 0; I < Steps; ++I) {
      const State Before = Fleet.m_State;
      applyRandomEvent(Fleet, Incarnations);
      requireInvariants(Fleet.m_State, Before);
    }
    const std::string Bytes = snapshot(Fleet.m_State);
    RC_ASSERT(snapshot(std::get<State>(restore(Bytes))) == Bytes);

    // Without further events all plans and orders end.
    Fleet.m_InFlight = 0;
    for (int Round = 0; Round < 6; ++Round) {
      for (const auto &[Name, Target] : Fleet.m_State.m_Targets.m_ById)
        recordTargetSeen(Fleet.m_Observed, Name, Target.m_Incarnation,
                         Fleet.m_Now);
      Fleet.advanceTime(std::chrono::seconds(1));
      Fleet.settle();
    }
    for (const auto &[Name, Plan] : Fleet.m_State.m_Plans.m_ById)
      RC_ASSERT(Plan.m_Phase != PlanPhase::Running);
    RC_ASSERT(Fleet.m_State.m_Orders.m_UnderWay.empty());
  });
  CHECK(Passed);
}

TEST_CASE("the same commands give the same snapshot") {
  const bool Equal = rc::check("deterministic", [] {
    FleetFixture A;
    std::uint64_t Incarnations = 1;
    const int Steps = *rc::gen::inRange(1, 40);
    for (int I = 0; I < Steps; ++I)
      applyRandomEvent(A, Incarnations);
    FleetFixture B;
    B.m_State = std::get<State>(restore(snapshot(A.m_State)));
    B.m_Now = A.m_Now;
    B.m_Settings = A.m_Settings;
    B.m_Calls = A.m_Calls;
    for (FleetFixture *Instance : {&A, &B}) {
      Instance->announce("e1", "next");
      Instance->startPlan(drain("e1"));
      Instance->call("cancel", {{"plan", "plan-1"}});
    }
    RC_ASSERT(snapshot(A.m_State) == snapshot(B.m_State));
  });
  CHECK(Equal);
}
