#include "FleetFixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

namespace {

wire::Command issueCommand(const std::string &Target, std::uint64_t Term,
                           std::uint64_t Sequence,
                           const std::string &Incarnation = "i1") {
  wire::Command Result;
  Result.set_term(Term);
  Result.mutable_issue_order()->set_target(Target);
  Result.mutable_issue_order()->set_incarnation(Incarnation);
  Result.mutable_issue_order()->set_plan("plan-1");
  Result.mutable_issue_order()->set_fence_sequence(Sequence);
  return Result;
}

} // namespace

SCENARIO("an order needs a higher fence than every earlier order") {
  FleetFixture Fleet;
  Fleet.m_Settings.m_Term = 3;
  for (const char *Name : {"e1", "e2", "e3"})
    Fleet.announce(Name);
  REQUIRE_FALSE(
      Fleet
          .startPlan(
              {{"intent", "serve"}, {"model", "m"}, {"targets", {"e1", "e2"}}})
          .empty());
  Json Document = {{"weight_store", {{"loads_at_once", 5}}}};
  REQUIRE(outcome(Fleet.call("config", Document)) == "accepted");
  Fleet.commitDue(); // Starts the steps.
  REQUIRE(outcome(Fleet.commit(issueCommand("e1", 3, 5))) == "accepted");
  wire::Command Second = issueCommand("e2", 3, 5);
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
  for (const Case &TestCase : Cases) {
    GIVEN(TestCase.m_Name) {
      Second.set_term(TestCase.m_Term);
      Second.mutable_issue_order()->set_fence_sequence(TestCase.m_Sequence);
      CHECK(outcome(Fleet.commit(Second)) == TestCase.m_Expected);
    }
  }
}

SCENARIO("an engine has at most one order under way") {
  FleetFixture Fleet;
  Fleet.announce("e1");
  Fleet.announce("e2");
  const PlanId Name = Fleet.startPlan(shiftRole("e1", "decode"));
  Fleet.commitAllDue();
  REQUIRE(Fleet.order("e1") != nullptr);
  const OrderId First = Fleet.order("e1")->m_Id;

  GIVEN("a second order is issued") {
    CHECK(outcome(Fleet.commit(issueCommand("e1", 9, 9))) ==
          "revision_conflict");
  }
  GIVEN("another plan is proposed for the target") {
    CHECK(outcome(Fleet.call("intent", drain("e1"))) == "plan_not_possible");
  }
  GIVEN("the leader changes") {
    Fleet.reportProgress(First, "sent");
    Fleet.changeLeader();
    THEN("the new leader continues the same order") {
      const std::vector<Action> Next = Fleet.actions();
      REQUIRE(Next.size() == 1);
      CHECK(std::get<ExecuteOrder>(Next[0]).m_Order == First);
    }
    THEN("it may supersede the order by one with a higher fence") {
      const Fence Before = Fleet.order("e1")->m_Fence;
      CHECK(outcome(Fleet.reportProgress(First, "superseded")) == "accepted");
      Fleet.commitAllDue();
      REQUIRE(Fleet.order("e1") != nullptr);
      CHECK(Fleet.order("e1")->m_Id != First);
      CHECK(Fleet.order("e1")->m_Fence > Before);
      CHECK(outcome(Fleet.reportProgress(First, "done")) ==
            "revision_conflict");
    }
  }
  GIVEN("the engine crashes during the order and restarts at once") {
    Fleet.reportProgress(First, "sent");
    Fleet.announce("e1", "i2");
    THEN("the order is superseded and issued again after a new barrier") {
      CHECK(Fleet.order("e1") == nullptr);
      CHECK(outcome(Fleet.reportProgress(First, "done")) ==
            "revision_conflict");
      CHECK(Fleet.stateOf("e1") == "announced");
      Fleet.settle();
      CHECK(Fleet.planState(Name) == "done");
      CHECK(Fleet.target("e1").m_Role == "decode");
      CHECK(Fleet.stateOf("e1") == "serving");
    }
  }
  GIVEN("the engine crashes during the order and is lost") {
    Fleet.reportProgress(First, "sent");
    Fleet.lose("e1");
    THEN("the plan fails with the reason") {
      CHECK(Fleet.planState(Name) == "failed");
      CHECK(Fleet.m_State.m_Plans.m_ById.at(Name).m_Message ==
            "e1: the target was lost");
      Fleet.announce("e1", "i2");
      CHECK(Fleet.stateOf("e1") == "serving");
      CHECK(Fleet.target("e1").m_Role == "mixed");
    }
  }
  GIVEN("the engine fails the order") {
    Fleet.reportProgress(First, "failed", "out of memory");
    THEN("it serves in its current state and gets no further order") {
      CHECK(Fleet.planState(Name) == "failed");
      CHECK(Fleet.stateOf("e1") == "serving");
      CHECK(Fleet.actions().empty());
    }
  }
  GIVEN("the engine asks to leave during the order") {
    Fleet.leave("e1");
    THEN("the engine leaves after the order has ended") {
      CHECK(Fleet.order("e1")->m_Id == First);
      Fleet.reportProgress(First, "done");
      CHECK(Fleet.stateOf("e1") == "leaving");
      Fleet.report();
      Fleet.settle();
      CHECK(Fleet.stateOf("e1") == "withdrawn");
    }
  }
}

SCENARIO("the desired state is kept across a restart of the engine") {
  FleetFixture Fleet;
  Fleet.announce("e1");
  Fleet.announce("e2");
  GIVEN("a drained engine that crashes") {
    Fleet.startPlan(drain("e1"));
    Fleet.settle();
    Fleet.lose("e1");
    Fleet.announce("e1", "i2");
    CHECK(Fleet.stateOf("e1") == "announced");
    Fleet.settle();
    CHECK(Fleet.stateOf("e1") == "draining");
  }
  GIVEN("an engine that is lost while it drains") {
    Fleet.startPlan(drain("e1"));
    Fleet.m_InFlight = 1;
    Fleet.commitAllDue();
    Fleet.lose("e1");
    Fleet.m_InFlight = 0;
    Fleet.announce("e1", "i2");
    Fleet.settle();
    CHECK(Fleet.stateOf("e1") == "draining");
  }
  GIVEN("an engine with a shifted role that restarts with its former role") {
    Fleet.startPlan(shiftRole("e1", "prefill"));
    Fleet.settle();
    Fleet.announce("e1", "i2");
    CHECK(Fleet.stateOf("e1") == "announced");
    Fleet.settle();
    CHECK(Fleet.stateOf("e1") == "serving");
    CHECK(Fleet.target("e1").m_Role == "prefill");
  }
  GIVEN("an engine that fails to restore its desired state") {
    Fleet.startPlan(shiftRole("e1", "prefill"));
    Fleet.settle();
    Fleet.announce("e1", "i2");
    Fleet.report();
    Fleet.commitAllDue();
    REQUIRE(Fleet.order("e1") != nullptr);
    Fleet.reportProgress(Fleet.order("e1")->m_Id, "failed", "no");
    CHECK(Fleet.stateOf("e1") == "serving");
    CHECK(Fleet.target("e1").m_Role == "mixed");
    CHECK(Fleet.actions().empty());
  }
}
