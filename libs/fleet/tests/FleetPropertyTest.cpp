#include "Stage.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::fleet;

namespace {

std::string anyTarget() {
  return "e" + std::to_string(*rc::gen::inRange(1, 5));
}

Json anyIntent() {
  const std::vector<Json> Kinds = {
      drain(anyTarget()),
      shiftRole(anyTarget(), "prefill"),
      shiftRole(anyTarget(), "decode"),
      {{"intent", "return"}, {"targets", {anyTarget()}}},
      {{"intent", "withdraw"}, {"targets", {anyTarget(), anyTarget()}}},
      {{"intent", "serve"}, {"model", "m2"}, {"count", 2}},
      {{"intent", "unload"}, {"model", "m2"}},
  };
  return Kinds[*rc::gen::inRange<std::size_t>(0, Kinds.size())];
}

/// One random event of the fleet, its operators or its leader.
void stir(Stage &On, std::uint64_t &Incarnations) {
  switch (*rc::gen::inRange(0, 13)) {
  case 0:
    On.announce(anyTarget(), "i" + std::to_string(++Incarnations));
    return;
  case 1:
    On.announce(anyTarget(), "i1");
    return;
  case 2: {
    const std::string Name = anyTarget();
    if (On.m_State.m_Targets.m_ById.count({Name}) != 0)
      On.lose(Name, On.target(Name).m_Incarnation);
    return;
  }
  case 3: {
    const std::string Name = anyTarget();
    if (On.m_State.m_Targets.m_ById.count({Name}) != 0)
      On.leave(Name, On.target(Name).m_Incarnation);
    return;
  }
  case 4:
    On.changeLeader();
    return;
  case 5:
    On.m_InFlight = *rc::gen::inRange<std::uint64_t>(0, 2);
    return;
  case 6:
    On.call("cancel",
            {{"plan", "plan-" + std::to_string(*rc::gen::inRange(1, 12))}});
    return;
  case 7:
  case 8: {
    const std::vector<std::string> Ends = {"sent", "done", "failed",
                                           "superseded"};
    const OrderId Which{
        "order-" + std::to_string(*rc::gen::inRange(
                       1, static_cast<int>(On.m_State.m_Orders.m_Next) + 1))};
    On.tell(Which, Ends[*rc::gen::inRange<std::size_t>(0, Ends.size())]);
    return;
  }
  case 9:
    On.start(anyIntent());
    return;
  default:
    On.pass(std::chrono::milliseconds(*rc::gen::inRange(0, 4'000)));
    On.commitDue();
    return;
  }
}

void requireSound(const State &Now, const State &Before) {
  RC_ASSERT(Now.m_Orders.m_Last >= Before.m_Orders.m_Last);
  std::map<TargetId, int> UnderWay;
  for (const auto &[Name, Each] : Now.m_Orders.m_ById)
    if (Each.isUnderWay())
      RC_ASSERT(++UnderWay[Each.m_Target] == 1);
  RC_ASSERT(UnderWay.size() == Now.m_Orders.m_UnderWay.size());
  for (const auto &[Name, Each] : Now.m_Targets.m_ById) {
    // A drained order under way means that the target gets no new work.
    const Order *Which = underWay(Now.m_Orders, Name);
    if (Which != nullptr && Which->m_Drained)
      RC_ASSERT(Each.m_State != TargetState::Serving);
    if (!Each.m_ClaimedBy.empty())
      RC_ASSERT(Now.m_Plans.m_ById.at(Each.m_ClaimedBy).m_Phase ==
                PlanPhase::Running);
  }
}

} // namespace

TEST_CASE("orders and plans stay sound whatever happens") {
  const bool Sound = rc::check("sound", [] {
    Stage On;
    std::uint64_t Incarnations = 1;
    for (const char *Name : {"e1", "e2", "e3"})
      On.announce(Name);
    const int Steps = *rc::gen::inRange(1, 80);
    for (int I = 0; I < Steps; ++I) {
      const State Before = On.m_State;
      stir(On, Incarnations);
      requireSound(On.m_State, Before);
    }
    const std::string Bytes = snapshot(On.m_State);
    RC_ASSERT(snapshot(std::get<State>(restore(Bytes))) == Bytes);

    // Left alone, everything that was begun comes to an end.
    On.m_InFlight = 0;
    for (int Turns = 0; Turns < 6; ++Turns) {
      for (const auto &[Name, Each] : On.m_State.m_Targets.m_ById)
        targetSeen(On.m_Heard, Name, Each.m_Incarnation, On.m_Now);
      On.pass(std::chrono::seconds(1));
      On.settle();
    }
    for (const auto &[Name, Each] : On.m_State.m_Plans.m_ById)
      RC_ASSERT(Each.m_Phase != PlanPhase::Running);
    RC_ASSERT(On.m_State.m_Orders.m_UnderWay.empty());
  });
  CHECK(Sound);
}

TEST_CASE("equal commands give equal bytes") {
  const bool Equal = rc::check("deterministic", [] {
    Stage A;
    std::uint64_t Incarnations = 1;
    const int Steps = *rc::gen::inRange(1, 40);
    for (int I = 0; I < Steps; ++I)
      stir(A, Incarnations);
    Stage B;
    B.m_State = std::get<State>(restore(snapshot(A.m_State)));
    B.m_Now = A.m_Now;
    B.m_Settings = A.m_Settings;
    B.m_Calls = A.m_Calls;
    for (Stage *Each : {&A, &B}) {
      Each->announce("e1", "next");
      Each->start(drain("e1"));
      Each->call("cancel", {{"plan", "plan-1"}});
    }
    RC_ASSERT(snapshot(A.m_State) == snapshot(B.m_State));
  });
  CHECK(Equal);
}
