#include "FleetFixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

namespace {

Json emptyConfiguration() {
  return {{"callers", Json::array()},
          {"models", Json::array()},
          {"services", Json::array()}};
}

} // namespace

SCENARIO("an engine is drained by a confirmed plan") {
  FleetFixture Fleet;
  Fleet.announce("e1");
  Fleet.announce("e2");
  const Json Plan = Fleet.proposePlan(drain("e1"));
  THEN("the plan lists the remaining capacity and changes nothing") {
    CHECK(Plan["steps"][0]["remaining"][0]["targets"] == 1);
    CHECK(Plan["steps"][0]["stops_serving"] == true);
    Fleet.settle();
    CHECK(Fleet.stateOf("e1") == "serving");
  }
  WHEN("it is confirmed") {
    Fleet.m_InFlight = 2;
    REQUIRE(outcome(Fleet.confirm(Plan)) == "accepted");
    Fleet.commitAllDue();
    THEN(
        "the order waits until entries acknowledge that nothing is in flight") {
      CHECK(Fleet.stateOf("e1") == "draining");
      CHECK(Fleet.order("e1") == nullptr);
      Fleet.m_InFlight = 0;
      Fleet.report();
      Fleet.commitAllDue();
      REQUIRE(Fleet.order("e1") != nullptr);
      CHECK(Fleet.order("e1")->m_RequiresDrain);
      Fleet.settle();
      CHECK(Fleet.planState({"plan-1"}) == "done");
      CHECK(Fleet.stateOf("e1") == "draining");
      CHECK_FALSE(
          Fleet.startPlan({{"intent", "return"}, {"targets", {"e1"}}}).empty());
      Fleet.settle();
      CHECK(Fleet.stateOf("e1") == "serving");
    }
    THEN("the barrier waits for the lease of an unreachable entry to expire") {
      Fleet.m_EntryReports = false;
      Fleet.m_Now += Lease - std::chrono::milliseconds(1);
      CHECK_FALSE(
          barrierReached(Fleet.m_Observed, Fleet.target("e1"), Fleet.m_Now));
      Fleet.m_Now += std::chrono::milliseconds(1);
      CHECK(barrierReached(Fleet.m_Observed, Fleet.target("e1"), Fleet.m_Now));
    }
    THEN("a new leader does not take silence for acknowledgement") {
      Fleet.changeLeader();
      CHECK_FALSE(
          barrierReached(Fleet.m_Observed, Fleet.target("e1"), Fleet.m_Now));
      Fleet.m_InFlight = 0;
      Fleet.report();
      CHECK_FALSE(
          barrierReached(Fleet.m_Observed, Fleet.target("e1"), Fleet.m_Now));
      Fleet.advanceTime(Lease);
      CHECK(barrierReached(Fleet.m_Observed, Fleet.target("e1"), Fleet.m_Now));
    }
    THEN("acknowledgements of an older generation do not count") {
      const Target Before = Fleet.target("e1");
      Fleet.m_InFlight = 0;
      Fleet.report();
      CHECK(barrierReached(Fleet.m_Observed, Before, Fleet.m_Now));
      Fleet.announce("e1", "i2");
      CHECK_FALSE(
          barrierReached(Fleet.m_Observed, Fleet.target("e1"), Fleet.m_Now));
    }
  }
}

SCENARIO("a plan that leaves a model without a target needs allow_empty") {
  FleetFixture Fleet;
  Fleet.announce("e1");
  CHECK(outcome(Fleet.call("intent", drain("e1"))) == "would_leave_no_target");
  Json Intent = drain("e1");
  Intent["allow_empty"] = true;
  CHECK_FALSE(Fleet.startPlan(Intent).empty());
}

SCENARIO("operators confirm plans concurrently") {
  FleetFixture Fleet;
  Fleet.announce("e1");
  Fleet.announce("e2");
  Fleet.announce("e3");
  const Json First = Fleet.proposePlan(drain("e1"));
  const Json Second = Fleet.proposePlan(drain("e2"));
  REQUIRE(First["revision"] == Second["revision"]);
  REQUIRE(outcome(Fleet.confirm(First, "r1", "alice")) == "accepted");
  WHEN("both confirm a plan of the same revision") {
    const Reply Result = Fleet.confirm(Second, "r2", "bob");
    THEN("the second is refused and told which plan was confirmed") {
      CHECK(outcome(Result) == "revision_conflict");
      CHECK(Result.m_Message.find("plan-1 by alice") != std::string::npos);
    }
  }
  WHEN("the answer was lost and the first operator resends the call") {
    const Reply Result = Fleet.confirm(First, "r1", "alice");
    THEN("the recorded answer is returned, also by a new leader") {
      CHECK(outcome(Result) == "accepted");
      Fleet.changeLeader();
      CHECK(Fleet.confirm(First, "r1", "alice") == Result);
    }
  }
  WHEN("the request id is used for another call") {
    CHECK(outcome(Fleet.confirm(Second, "r1", "alice")) == "request_id_reused");
    CHECK(outcome(Fleet.confirm(First, "r1", "bob")) == "request_id_reused");
  }
  WHEN("the first operator confirms again under a new request id") {
    CHECK(outcome(Fleet.confirm(First, "r3")) == "revision_conflict");
  }
  WHEN("a refused call is resent after the cause is gone") {
    const Reply Result = Fleet.confirm(Second, "r2", "bob");
    Fleet.settle();
    CHECK(Fleet.confirm(Second, "r2", "bob") == Result);
  }
}

SCENARIO("a plan must still match the fleet when it is confirmed") {
  FleetFixture Fleet;
  Fleet.announce("e1");
  Fleet.announce("e2");
  const Json Plan = Fleet.proposePlan(drain("e1"));
  Fleet.lose("e2");
  CHECK(outcome(Fleet.confirm(Plan)) == "would_leave_no_target");
  Fleet.lose("e1");
  CHECK(outcome(Fleet.confirm(Plan)) == "plan_not_possible");
  Json Altered = Plan;
  Altered["digest"] = "0";
  CHECK(outcome(Fleet.confirm(Altered)) == "revision_conflict");
}

SCENARIO("a plan can be cancelled in each phase") {
  FleetFixture Fleet;
  Fleet.announce("e1");
  Fleet.announce("e2");
  Fleet.announce("e3");
  const Json Plan =
      Fleet.proposePlan({{"intent", "withdraw"}, {"targets", {"e1", "e2"}}});
  const PlanId Name{"plan-1"};
  const Json Body = {{"plan", "plan-1"}};
  GIVEN("it is not confirmed") {
    Fleet.call("cancel", Body);
    CHECK(Fleet.planState(Name) == "cancelled");
    CHECK(outcome(Fleet.confirm(Plan)) == "revision_conflict");
  }
  GIVEN("no step has started") {
    Fleet.confirm(Plan);
    Fleet.call("cancel", Body);
    CHECK(Fleet.planState(Name) == "cancelled");
    CHECK(Fleet.stateOf("e1") == "serving");
  }
  GIVEN("the first target drains") {
    Fleet.confirm(Plan);
    Fleet.m_InFlight = 1;
    Fleet.report();
    Fleet.commitAllDue();
    REQUIRE(Fleet.stateOf("e1") == "leaving");
    Fleet.call("cancel", Body);
    THEN("it serves again and no order is issued") {
      CHECK(Fleet.planState(Name) == "cancelled");
      CHECK(Fleet.stateOf("e1") == "serving");
      CHECK(Fleet.m_State.m_Orders.m_ById.empty());
    }
  }
  GIVEN("the first order is under way") {
    Fleet.confirm(Plan);
    Fleet.commitAllDue();
    REQUIRE(Fleet.order("e1") != nullptr);
    Fleet.call("cancel", Body);
    THEN("the order ends and no other follows") {
      CHECK(Fleet.planState(Name) == "running");
      Fleet.settle();
      CHECK(Fleet.planState(Name) == "cancelled");
      CHECK(Fleet.stateOf("e1") == "withdrawn");
      CHECK(Fleet.stateOf("e2") == "serving");
    }
  }
  GIVEN("everything is done") {
    Fleet.confirm(Plan);
    Fleet.settle();
    Fleet.call("cancel", Body);
    CHECK(Fleet.planState(Name) == "done");
  }
}

SCENARIO("concurrent loads from the weight store are limited") {
  FleetFixture Fleet;
  for (const char *Name : {"e1", "e2", "e3", "e4"})
    Fleet.announce(Name);
  Json Document = emptyConfiguration();
  Document["weight_store"] = {{"loads_at_once", 2}};
  REQUIRE(outcome(Fleet.call("config", Document, 0)) == "accepted");
  REQUIRE_FALSE(Fleet
                    .startPlan({{"intent", "serve"},
                                {"model", "gourd-8b+curing@2"},
                                {"count", 4}})
                    .empty());
  Fleet.commitAllDue();
  CHECK(Fleet.m_State.m_Orders.m_UnderWay.size() == 2);
  CHECK(Fleet.stateOf("e1") == "serving");
  Fleet.settle();
  CHECK(Fleet.planState({"plan-1"}) == "done");
  CHECK(Fleet.target("e4").m_Models.count("gourd-8b+curing@2") == 1);
}

SCENARIO("configuration revisions only increase") {
  FleetFixture Fleet;
  const Json Document = emptyConfiguration();
  CHECK(outcome(Fleet.call("config", Document, 0, "a")) == "accepted");
  CHECK(outcome(Fleet.call("config", Document, 0, "b")) == "revision_conflict");
  CHECK(outcome(Fleet.call("config", Document, 0, "a")) == "accepted");
  CHECK(Fleet.m_State.m_Configuration.m_Revision == 1);
  CHECK_FALSE(Fleet.startPlan({{"intent", "configure"}, {"document", Document}})
                  .empty());
  CHECK(Fleet.m_State.m_Configuration.m_Revision == 2);
  Fleet.changeLeader();
  CHECK(Fleet.m_State.m_Configuration.m_Revision == 2);
  CHECK(appliedConfiguration(Fleet.m_Observed, Fleet.m_State, Fleet.m_Now)
            .m_Complete == false);
  wire::EntryReport LaggingReport;
  LaggingReport.set_configuration_revision(1);
  recordEntryReport(Fleet.m_Observed, {"entry-2"}, 1, LaggingReport,
                    Fleet.m_Now, Fleet.m_Now + Lease);
  Fleet.report();
  const AppliedConfiguration Now =
      appliedConfiguration(Fleet.m_Observed, Fleet.m_State, Fleet.m_Now);
  CHECK(Now.m_Revision == 1);
  CHECK(Now.m_Lagging == std::vector<NodeId>{{"entry-2"}});
}

SCENARIO("a configuration is checked before it is proposed") {
  wire::Command Command;
  Command.mutable_operator_command()->set_kind("config");
  const auto Verdict = [&](const Json &Document) {
    Command.mutable_operator_command()->set_body(Document.dump());
    const std::optional<Reply> Rejection = precheck(Command);
    return Rejection ? Rejection->m_Message : std::string();
  };
  Json Document = emptyConfiguration();
  CHECK(Verdict(Document).empty());
  Document["modles"] = 1;
  CHECK(Verdict(Document).find("modles") != std::string::npos);
  Document = emptyConfiguration();
  const std::string Hash(64, 'a');
  Document["callers"] = {{{"id", "a"}, {"key_hashes", {Hash}}},
                         {{"id", "a"}, {"key_hashes", {Hash}}}};
  CHECK(Verdict(Document).find("duplicate value") != std::string::npos);
  CHECK(Verdict(Document).find("share a key") != std::string::npos);
  Document["callers"] = {{{"id", "a"},
                          {"key_hashes", {Hash}},
                          {"default_deadline_ms", 10},
                          {"maximum_deadline_ms", 5}}};
  CHECK(Verdict(Document).find("exceeds the maximum") != std::string::npos);
}

SCENARIO("automatic role shifts stay within the role policy") {
  FleetFixture Fleet;
  for (const char *Name : {"e1", "e2", "e3", "e4"})
    Fleet.announce(Name);
  const auto Shift = [&](const std::string &Name, const std::string &Role) {
    return outcome(
        Fleet.call("automatic", shiftRole(Name, Role), 0, {}, "policy"));
  };
  CHECK(Shift("e1", "prefill") == "policy_exceeded");
  CHECK(outcome(Fleet.call("automatic", shiftRole("e1", "prefill"))) ==
        "operator_not_allowed");
  REQUIRE_FALSE(Fleet
                    .startPlan({{"intent", "role_policy"},
                                {"active", true},
                                {"changes_per_hour", 2},
                                {"cooldown_ms", 60'000},
                                {"minimum", {{"decode", 3}}}})
                    .empty());
  CHECK(Shift("e1", "prefill") == "accepted");
  CHECK(Shift("e2", "decode") == "policy_exceeded"); // one at a time
  Fleet.settle();
  CHECK(Fleet.target("e1").m_Role == "prefill");
  CHECK(Shift("e2", "decode") == "policy_exceeded"); // cooldown
  Fleet.advanceTime(std::chrono::seconds(61));
  CHECK(Shift("e2", "prefill") == "plan_not_possible"); // minimum
  CHECK(Shift("e2", "decode") == "accepted");
  Fleet.settle();
  Fleet.advanceTime(std::chrono::minutes(2));
  CHECK(Shift("e3", "decode") == "policy_exceeded"); // budget
  Fleet.advanceTime(std::chrono::hours(1));
  CHECK(Shift("e3", "decode") == "accepted");
}
