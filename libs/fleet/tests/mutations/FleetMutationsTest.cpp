#include "FleetMutations.h"
#include "Stage.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

// Each test is one story with a verdict. The story must be sound as the code
// stands and unsound with the fault, or it could not have seen the fault.

namespace {

template <typename Story>
void requireCaught(Mutation Fault, const Story &Sound) {
  mutation() = Mutation::None;
  brokenInvariants().clear();
  CHECK(Sound());
  mutation() = Fault;
  brokenInvariants().clear();
  CHECK_FALSE(Sound());
  mutation() = Mutation::None;
  brokenInvariants().clear();
}

bool wasBroken(const std::string &Part) {
  return std::any_of(brokenInvariants().begin(), brokenInvariants().end(),
                     [&](const std::string &Each) {
                       return Each.find(Part) != std::string::npos;
                     });
}

Json emptyConfiguration() {
  return {{"callers", Json::array()},
          {"models", Json::array()},
          {"services", Json::array()}};
}

wire::Command issueOf(const std::string &Target, const PlanId &Plan,
                      std::uint32_t Step, std::uint64_t Sequence) {
  wire::Command Out;
  Out.mutable_issue_order()->set_target(Target);
  Out.mutable_issue_order()->set_incarnation("i1");
  Out.mutable_issue_order()->set_plan(Plan.m_Value);
  Out.mutable_issue_order()->set_step(Step);
  Out.mutable_issue_order()->set_fence_sequence(Sequence);
  return Out;
}

} // namespace

TEST_CASE("skip the barrier: an order reaches a target that still runs work") {
  requireCaught(Mutation::SkipBarrier, [] {
    Stage On;
    On.announce("e1");
    On.announce("e2");
    On.m_InFlight = 1;
    const PlanId Made = On.start(drain("e1"));
    On.commitAllDue();
    On.commit(issueOf("e1", Made, 0, 1));
    return On.order("e1") == nullptr && !wasBroken("m_BarrierReached");
  });
}

TEST_CASE("accept an equal fence: two orders carry one fence") {
  requireCaught(Mutation::AcceptEqualFence, [] {
    Stage On;
    On.announce("e1");
    On.announce("e2");
    Json Document = emptyConfiguration();
    Document["weight_store"] = {{"loads_at_once", 5}};
    On.call("config", Document);
    const PlanId Made = On.start(
        {{"intent", "serve"}, {"model", "m"}, {"targets", {"e1", "e2"}}});
    On.commitDue();
    On.commit(issueOf("e1", Made, 0, 5));
    On.commit(issueOf("e2", Made, 1, 5));
    const bool Both = On.order("e1") != nullptr && On.order("e2") != nullptr;
    return !Both && !wasBroken("m_Last");
  });
}

TEST_CASE("drop the request id table: a resend makes a second plan") {
  requireCaught(Mutation::DropRequestTable, [] {
    Stage On;
    On.announce("e1");
    On.announce("e2");
    On.call("intent", drain("e1"), 0, "r1");
    On.call("intent", drain("e1"), 0, "r1");
    return On.m_State.m_Plans.m_ById.size() == 1;
  });
}

TEST_CASE("allow a second order: an engine has two under way") {
  requireCaught(Mutation::AllowSecondOrder, [] {
    Stage On;
    On.announce("e1");
    On.announce("e2");
    const PlanId Made = On.start(shiftRole("e1", "decode"));
    On.commitAllDue();
    On.commit(issueOf("e1", Made, 0, 9));
    const auto &Orders = On.m_State.m_Orders.m_ById;
    return std::count_if(Orders.begin(), Orders.end(),
                         [](const auto &Each) {
                           return Each.second.isUnderWay();
                         }) == 1 &&
           !wasBroken("countUnderWay");
  });
}

TEST_CASE("trust a fresh leader: silence counts as acknowledgement") {
  requireCaught(Mutation::TrustFreshLeader, [] {
    Stage On;
    On.announce("e1");
    On.announce("e2");
    On.m_InFlight = 1;
    On.start(drain("e1"));
    On.commitAllDue();
    On.changeLeader();
    On.commitDue(); // The entry has not reported to the new leader yet.
    return On.target("e1").m_BarrierReached != On.target("e1").m_Generation;
  });
}

TEST_CASE("ignore the revision: both racing operators win") {
  requireCaught(Mutation::IgnoreRevision, [] {
    Stage On;
    for (const char *Name : {"e1", "e2", "e3"})
      On.announce(Name);
    const Json First = On.plan(drain("e1"));
    const Json Second = On.plan(drain("e2"));
    On.confirm(First);
    return reason(On.confirm(Second)) == "revision_conflict";
  });
}

TEST_CASE("revert a revision: a configuration takes a number that was used") {
  requireCaught(Mutation::RevertRevision, [] {
    Stage On;
    On.call("config", emptyConfiguration(), 0);
    On.call("config", emptyConfiguration(), 1);
    return On.m_State.m_Configuration.m_Revision == 2 &&
           !wasBroken("m_Revision");
  });
}
