#include "Stage.h"

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

SCENARIO("an engine is drained by plan and confirm") {
  Stage On;
  On.announce("e1");
  On.announce("e2");
  const Json Made = On.plan(drain("e1"));
  THEN("the plan says what remains, and nothing happens yet") {
    CHECK(Made["steps"][0]["remaining"][0]["targets"] == 1);
    CHECK(Made["steps"][0]["stops_serving"] == true);
    On.settle();
    CHECK(On.stateOf("e1") == "serving");
  }
  WHEN("it is confirmed") {
    On.m_InFlight = 2;
    REQUIRE(reason(On.confirm(Made)) == "accepted");
    On.commitAllDue();
    THEN("the order waits until entries have acknowledged an empty target") {
      CHECK(On.stateOf("e1") == "draining");
      CHECK(On.order("e1") == nullptr);
      On.m_InFlight = 0;
      On.report();
      On.commitAllDue();
      REQUIRE(On.order("e1") != nullptr);
      CHECK(On.order("e1")->m_Drained);
      On.settle();
      CHECK(On.planState({"plan-1"}) == "done");
      CHECK(On.stateOf("e1") == "draining");
      CHECK_FALSE(
          On.start({{"intent", "return"}, {"targets", {"e1"}}}).empty());
      On.settle();
      CHECK(On.stateOf("e1") == "serving");
    }
    THEN("an entry that is cut off is waited out by its lease") {
      On.m_EntryAnswers = false;
      On.m_Now += Lease - std::chrono::milliseconds(1);
      CHECK_FALSE(barrierReached(On.m_Heard, On.target("e1"), On.m_Now));
      On.m_Now += std::chrono::milliseconds(1);
      CHECK(barrierReached(On.m_Heard, On.target("e1"), On.m_Now));
    }
    THEN("a new leader does not take silence for acknowledgement") {
      On.changeLeader();
      CHECK_FALSE(barrierReached(On.m_Heard, On.target("e1"), On.m_Now));
      On.m_InFlight = 0;
      On.report();
      CHECK_FALSE(barrierReached(On.m_Heard, On.target("e1"), On.m_Now));
      On.pass(Lease);
      CHECK(barrierReached(On.m_Heard, On.target("e1"), On.m_Now));
    }
    THEN("acknowledgements of an older generation do not count") {
      const Target Before = On.target("e1");
      On.m_InFlight = 0;
      On.report();
      CHECK(barrierReached(On.m_Heard, Before, On.m_Now));
      On.announce("e1", "i2");
      CHECK_FALSE(barrierReached(On.m_Heard, On.target("e1"), On.m_Now));
    }
  }
}

SCENARIO("a plan that empties a model needs a word for it") {
  Stage On;
  On.announce("e1");
  CHECK(reason(On.call("intent", drain("e1"))) == "would_leave_no_target");
  Json Intent = drain("e1");
  Intent["allow_empty"] = true;
  CHECK_FALSE(On.start(Intent).empty());
}

SCENARIO("operators race each other") {
  Stage On;
  On.announce("e1");
  On.announce("e2");
  On.announce("e3");
  const Json First = On.plan(drain("e1"));
  const Json Second = On.plan(drain("e2"));
  REQUIRE(First["revision"] == Second["revision"]);
  REQUIRE(reason(On.confirm(First, "r1", "alice")) == "accepted");
  WHEN("both confirm with equal numbers") {
    const Reply Lost = On.confirm(Second, "r2", "bob");
    THEN("the second learns who won") {
      CHECK(reason(Lost) == "revision_conflict");
      CHECK(Lost.m_Message.find("plan-1 by alice") != std::string::npos);
    }
  }
  WHEN("the answer was lost and the winner asks again") {
    const Reply Again = On.confirm(First, "r1", "alice");
    THEN("it is the first answer, also from a successor") {
      CHECK(reason(Again) == "accepted");
      On.changeLeader();
      CHECK(On.confirm(First, "r1", "alice") == Again);
    }
  }
  WHEN("the request id is used for another call") {
    CHECK(reason(On.confirm(Second, "r1", "alice")) == "request_id_reused");
    CHECK(reason(On.confirm(First, "r1", "bob")) == "request_id_reused");
  }
  WHEN("the winner confirms once more under a new request id") {
    CHECK(reason(On.confirm(First, "r3")) == "revision_conflict");
  }
  WHEN("a refused call is sent again after the cause is gone") {
    const Reply Lost = On.confirm(Second, "r2", "bob");
    On.settle();
    CHECK(On.confirm(Second, "r2", "bob") == Lost);
  }
}

SCENARIO("a plan must still fit the fleet when it is confirmed") {
  Stage On;
  On.announce("e1");
  On.announce("e2");
  const Json Made = On.plan(drain("e1"));
  On.lose("e2");
  CHECK(reason(On.confirm(Made)) == "would_leave_no_target");
  On.lose("e1");
  CHECK(reason(On.confirm(Made)) == "plan_not_possible");
  Json Changed = Made;
  Changed["digest"] = "0";
  CHECK(reason(On.confirm(Changed)) == "revision_conflict");
}

SCENARIO("a plan is cancelled at each step") {
  Stage On;
  On.announce("e1");
  On.announce("e2");
  On.announce("e3");
  const Json Made =
      On.plan({{"intent", "withdraw"}, {"targets", {"e1", "e2"}}});
  const PlanId Name{"plan-1"};
  const Json Body = {{"plan", "plan-1"}};
  GIVEN("it is not confirmed") {
    On.call("cancel", Body);
    CHECK(On.planState(Name) == "cancelled");
    CHECK(reason(On.confirm(Made)) == "revision_conflict");
  }
  GIVEN("no step has started") {
    On.confirm(Made);
    On.call("cancel", Body);
    CHECK(On.planState(Name) == "cancelled");
    CHECK(On.stateOf("e1") == "serving");
  }
  GIVEN("the first target drains") {
    On.confirm(Made);
    On.m_InFlight = 1;
    On.report();
    On.commitAllDue();
    REQUIRE(On.stateOf("e1") == "leaving");
    On.call("cancel", Body);
    THEN("it serves again and no order is issued") {
      CHECK(On.planState(Name) == "cancelled");
      CHECK(On.stateOf("e1") == "serving");
      CHECK(On.m_State.m_Orders.m_ById.empty());
    }
  }
  GIVEN("the first order is under way") {
    On.confirm(Made);
    On.commitAllDue();
    REQUIRE(On.order("e1") != nullptr);
    On.call("cancel", Body);
    THEN("the order ends first and no other follows") {
      CHECK(On.planState(Name) == "running");
      On.settle();
      CHECK(On.planState(Name) == "cancelled");
      CHECK(On.stateOf("e1") == "withdrawn");
      CHECK(On.stateOf("e2") == "serving");
    }
  }
  GIVEN("everything is done") {
    On.confirm(Made);
    On.settle();
    On.call("cancel", Body);
    CHECK(On.planState(Name) == "done");
  }
}

SCENARIO("the weight store is not overrun") {
  Stage On;
  for (const char *Name : {"e1", "e2", "e3", "e4"})
    On.announce(Name);
  Json Document = emptyConfiguration();
  Document["weight_store"] = {{"loads_at_once", 2}};
  REQUIRE(reason(On.call("config", Document, 0)) == "accepted");
  REQUIRE_FALSE(
      On.start(
            {{"intent", "serve"}, {"model", "gourd-8b+curing@2"}, {"count", 4}})
          .empty());
  On.commitAllDue();
  CHECK(On.m_State.m_Orders.m_UnderWay.size() == 2);
  CHECK(On.stateOf("e1") == "serving");
  On.settle();
  CHECK(On.planState({"plan-1"}) == "done");
  CHECK(On.target("e4").m_Models.count("gourd-8b+curing@2") == 1);
}

SCENARIO("configuration revisions only rise") {
  Stage On;
  const Json Document = emptyConfiguration();
  CHECK(reason(On.call("config", Document, 0, "a")) == "accepted");
  CHECK(reason(On.call("config", Document, 0, "b")) == "revision_conflict");
  CHECK(reason(On.call("config", Document, 0, "a")) == "accepted");
  CHECK(On.m_State.m_Configuration.m_Revision == 1);
  CHECK_FALSE(
      On.start({{"intent", "configure"}, {"document", Document}}).empty());
  CHECK(On.m_State.m_Configuration.m_Revision == 2);
  On.changeLeader();
  CHECK(On.m_State.m_Configuration.m_Revision == 2);
  CHECK(inForce(On.m_Heard, On.m_State, On.m_Now).m_Complete == false);
  wire::EntryReport Behind;
  Behind.set_configuration_revision(1);
  takeReport(On.m_Heard, {"entry-2"}, 1, Behind, On.m_Now, On.m_Now + Lease);
  On.report();
  const InForce Now = inForce(On.m_Heard, On.m_State, On.m_Now);
  CHECK(Now.m_Revision == 1);
  CHECK(Now.m_Lagging == std::vector<NodeId>{{"entry-2"}});
}

SCENARIO("a configuration is checked before it is proposed") {
  wire::Command Command;
  Command.mutable_operator_command()->set_kind("config");
  const auto Verdict = [&](const Json &Document) {
    Command.mutable_operator_command()->set_body(Document.dump());
    const std::optional<Reply> Out = precheck(Command);
    return Out ? Out->m_Message : std::string();
  };
  Json Document = emptyConfiguration();
  CHECK(Verdict(Document).empty());
  Document["modles"] = 1;
  CHECK(Verdict(Document).find("modles") != std::string::npos);
  Document = emptyConfiguration();
  const std::string Hash(64, 'a');
  Document["callers"] = {{{"id", "a"}, {"key_hashes", {Hash}}},
                         {{"id", "a"}, {"key_hashes", {Hash}}}};
  CHECK(Verdict(Document).find("stands twice") != std::string::npos);
  CHECK(Verdict(Document).find("one key") != std::string::npos);
  Document["callers"] = {{{"id", "a"},
                          {"key_hashes", {Hash}},
                          {"default_deadline_ms", 10},
                          {"maximum_deadline_ms", 5}}};
  CHECK(Verdict(Document).find("over the maximum") != std::string::npos);
}

SCENARIO("roles shift automatically only within the standing policy") {
  Stage On;
  for (const char *Name : {"e1", "e2", "e3", "e4"})
    On.announce(Name);
  const auto Shift = [&](const std::string &Name, const std::string &Role) {
    return reason(On.call("automatic", shiftRole(Name, Role), 0, {}, "policy"));
  };
  CHECK(Shift("e1", "prefill") == "policy_exceeded");
  CHECK(reason(On.call("automatic", shiftRole("e1", "prefill"))) ==
        "operator_not_allowed");
  REQUIRE_FALSE(On.start({{"intent", "role_policy"},
                          {"active", true},
                          {"changes_per_hour", 2},
                          {"cooldown_ms", 60'000},
                          {"minimum", {{"decode", 3}}}})
                    .empty());
  CHECK(Shift("e1", "prefill") == "accepted");
  CHECK(Shift("e2", "decode") == "policy_exceeded"); // one at a time
  On.settle();
  CHECK(On.target("e1").m_Role == "prefill");
  CHECK(Shift("e2", "decode") == "policy_exceeded"); // cooldown
  On.pass(std::chrono::seconds(61));
  CHECK(Shift("e2", "prefill") == "plan_not_possible"); // minimum
  CHECK(Shift("e2", "decode") == "accepted");
  On.settle();
  On.pass(std::chrono::minutes(2));
  CHECK(Shift("e3", "decode") == "policy_exceeded"); // budget
  On.pass(std::chrono::hours(1));
  CHECK(Shift("e3", "decode") == "accepted");
}
