#include "Stage.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

namespace {

wire::Command issueOf(const std::string &Target, std::uint64_t Term,
                      std::uint64_t Sequence,
                      const std::string &Incarnation = "i1") {
  wire::Command Out;
  Out.set_term(Term);
  Out.mutable_issue_order()->set_target(Target);
  Out.mutable_issue_order()->set_incarnation(Incarnation);
  Out.mutable_issue_order()->set_plan("plan-1");
  Out.mutable_issue_order()->set_fence_sequence(Sequence);
  return Out;
}

} // namespace

SCENARIO("an order's fence is above every earlier one") {
  Stage On;
  On.m_Settings.m_Term = 3;
  for (const char *Name : {"e1", "e2", "e3"})
    On.announce(Name);
  REQUIRE_FALSE(
      On.start({{"intent", "serve"}, {"model", "m"}, {"targets", {"e1", "e2"}}})
          .empty());
  Json Document = {{"weight_store", {{"loads_at_once", 5}}}};
  REQUIRE(reason(On.call("config", Document)) == "accepted");
  On.commitDue(); // starts the steps
  REQUIRE(reason(On.commit(issueOf("e1", 3, 5))) == "accepted");
  wire::Command Second = issueOf("e2", 3, 5);
  Second.mutable_issue_order()->set_step(1);

  struct Case {
    std::string m_Name;
    std::uint64_t m_Term;
    std::uint64_t m_Sequence;
    std::string m_Expected;
  };
  const std::vector<Case> Cases = {
      {"equal term and sequence, as from one leader before and after a restart",
       3, 5, "stale_fence"},
      {"a lower sequence", 3, 4, "stale_fence"},
      {"an older leader with a higher sequence", 2, 9, "stale_fence"},
      {"a newer leader with an equal sequence", 4, 5, "accepted"},
      {"the next sequence", 3, 6, "accepted"},
  };
  for (const Case &Each : Cases) {
    GIVEN(Each.m_Name) {
      Second.set_term(Each.m_Term);
      Second.mutable_issue_order()->set_fence_sequence(Each.m_Sequence);
      CHECK(reason(On.commit(Second)) == Each.m_Expected);
    }
  }
}

SCENARIO("an engine has one order at a time") {
  Stage On;
  On.announce("e1");
  On.announce("e2");
  const PlanId Name = On.start(shiftRole("e1", "decode"));
  On.commitAllDue();
  REQUIRE(On.order("e1") != nullptr);
  const OrderId First = On.order("e1")->m_Id;

  GIVEN("a second one is asked for") {
    CHECK(reason(On.commit(issueOf("e1", 9, 9))) == "revision_conflict");
  }
  GIVEN("another plan for the target") {
    CHECK(reason(On.call("intent", drain("e1"))) == "plan_not_possible");
  }
  GIVEN("the leader changes") {
    On.tell(First, "sent");
    On.changeLeader();
    THEN("the successor carries on the same order") {
      const std::vector<Action> Next = On.actions();
      REQUIRE(Next.size() == 1);
      CHECK(std::get<CarryOutOrder>(Next[0]).m_Order == First);
    }
    THEN("it may supersede it, with a higher fence") {
      const Fence Before = On.order("e1")->m_Fence;
      CHECK(reason(On.tell(First, "superseded")) == "accepted");
      On.commitAllDue();
      REQUIRE(On.order("e1") != nullptr);
      CHECK(On.order("e1")->m_Id != First);
      CHECK(On.order("e1")->m_Fence > Before);
      CHECK(reason(On.tell(First, "done")) == "revision_conflict");
    }
  }
  GIVEN("the engine crashes halfway and is back at once") {
    On.tell(First, "sent");
    On.announce("e1", "i2");
    THEN("the order is superseded and follows again after a new barrier") {
      CHECK(On.order("e1") == nullptr);
      CHECK(reason(On.tell(First, "done")) == "revision_conflict");
      CHECK(On.stateOf("e1") == "announced");
      On.settle();
      CHECK(On.planState(Name) == "done");
      CHECK(On.target("e1").m_Role == "decode");
      CHECK(On.stateOf("e1") == "serving");
    }
  }
  GIVEN("the engine crashes halfway and is lost") {
    On.tell(First, "sent");
    On.lose("e1");
    THEN("the plan fails and says why") {
      CHECK(On.planState(Name) == "failed");
      CHECK(On.m_State.m_Plans.m_ById.at(Name).m_Message ==
            "e1: the target was lost");
      On.announce("e1", "i2");
      CHECK(On.stateOf("e1") == "serving");
      CHECK(On.target("e1").m_Role == "mixed");
    }
  }
  GIVEN("the engine cannot do it") {
    On.tell(First, "failed", "out of memory");
    THEN("it serves as it is, and is not ordered again") {
      CHECK(On.planState(Name) == "failed");
      CHECK(On.stateOf("e1") == "serving");
      CHECK(On.actions().empty());
    }
  }
  GIVEN("the engine asks to leave meanwhile") {
    On.leave("e1");
    THEN("the order ends first") {
      CHECK(On.order("e1")->m_Id == First);
      On.tell(First, "done");
      CHECK(On.stateOf("e1") == "leaving");
      On.report();
      On.settle();
      CHECK(On.stateOf("e1") == "withdrawn");
    }
  }
}

SCENARIO("what an operator wanted outlives an engine's restart") {
  Stage On;
  On.announce("e1");
  On.announce("e2");
  GIVEN("a drained engine that crashes") {
    On.start(drain("e1"));
    On.settle();
    On.lose("e1");
    On.announce("e1", "i2");
    CHECK(On.stateOf("e1") == "announced");
    On.settle();
    CHECK(On.stateOf("e1") == "draining");
  }
  GIVEN("an engine that is lost while it drains") {
    On.start(drain("e1"));
    On.m_InFlight = 1;
    On.commitAllDue();
    On.lose("e1");
    On.m_InFlight = 0;
    On.announce("e1", "i2");
    On.settle();
    CHECK(On.stateOf("e1") == "draining");
  }
  GIVEN("an engine with a shifted role that restarts with its old one") {
    On.start(shiftRole("e1", "prefill"));
    On.settle();
    On.announce("e1", "i2");
    CHECK(On.stateOf("e1") == "announced");
    On.settle();
    CHECK(On.stateOf("e1") == "serving");
    CHECK(On.target("e1").m_Role == "prefill");
  }
  GIVEN("an engine that refuses to be brought back") {
    On.start(shiftRole("e1", "prefill"));
    On.settle();
    On.announce("e1", "i2");
    On.report();
    On.commitAllDue();
    REQUIRE(On.order("e1") != nullptr);
    On.tell(On.order("e1")->m_Id, "failed", "no");
    CHECK(On.stateOf("e1") == "serving");
    CHECK(On.target("e1").m_Role == "mixed");
    CHECK(On.actions().empty());
  }
}
