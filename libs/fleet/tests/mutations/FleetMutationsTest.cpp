#include "FleetMutations.h"
#include "FleetFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

// Each test runs a scenario that must pass without the fault and fail with it.
// Otherwise the scenario would not detect the fault.

namespace {

template <typename Scenario>
void requireDetected(Mutation Fault, const Scenario &Passes) {
  mutation() = Mutation::None;
  brokenInvariants().clear();
  CHECK(Passes());
  mutation() = Fault;
  brokenInvariants().clear();
  CHECK_FALSE(Passes());
  mutation() = Mutation::None;
  brokenInvariants().clear();
}

bool wasInvariantBroken(const std::string &Part) {
  return std::any_of(brokenInvariants().begin(), brokenInvariants().end(),
                     [&](const std::string &Invariant) {
                       return Invariant.find(Part) != std::string::npos;
                     });
}

Json emptyConfiguration() {
  return {{"callers", Json::array()},
          {"models", Json::array()},
          {"services", Json::array()}};
}

wire::Command issueCommand(const std::string &Target, const PlanId &Plan,
                           std::uint32_t Step, std::uint64_t Sequence) {
  wire::Command Result;
  Result.mutable_issue_order()->set_target(Target);
  Result.mutable_issue_order()->set_incarnation("i1");
  Result.mutable_issue_order()->set_plan(Plan.m_Value);
  Result.mutable_issue_order()->set_step(Step);
  Result.mutable_issue_order()->set_fence_sequence(Sequence);
  return Result;
}

} // namespace

TEST_CASE("skip the barrier: an order reaches a target that still runs work") {
  requireDetected(Mutation::SkipBarrier, [] {
    FleetFixture Fleet;
    Fleet.announce("e1");
    Fleet.announce("e2");
    Fleet.m_InFlight = 1;
    const PlanId Plan = Fleet.startPlan(drain("e1"));
    Fleet.commitAllDue();
    Fleet.commit(issueCommand("e1", Plan, 0, 1));
    return Fleet.order("e1") == nullptr &&
           !wasInvariantBroken("m_BarrierReached");
  });
}

TEST_CASE("accept an equal fence: two orders carry one fence") {
  requireDetected(Mutation::AcceptEqualFence, [] {
    FleetFixture Fleet;
    Fleet.announce("e1");
    Fleet.announce("e2");
    Json Document = emptyConfiguration();
    Document["weight_store"] = {{"loads_at_once", 5}};
    Fleet.call("config", Document);
    const PlanId Plan = Fleet.startPlan(
        {{"intent", "serve"}, {"model", "m"}, {"targets", {"e1", "e2"}}});
    Fleet.commitDue();
    Fleet.commit(issueCommand("e1", Plan, 0, 5));
    Fleet.commit(issueCommand("e2", Plan, 1, 5));
    const bool Both =
        Fleet.order("e1") != nullptr && Fleet.order("e2") != nullptr;
    return !Both && !wasInvariantBroken("m_Last");
  });
}

TEST_CASE("drop the request id table: a resend makes a second plan") {
  requireDetected(Mutation::DropRequestTable, [] {
    FleetFixture Fleet;
    Fleet.announce("e1");
    Fleet.announce("e2");
    Fleet.call("intent", drain("e1"), 0, "r1");
    Fleet.call("intent", drain("e1"), 0, "r1");
    return Fleet.m_State.m_Plans.m_ById.size() == 1;
  });
}

TEST_CASE("allow a second order: an engine has two under way") {
  requireDetected(Mutation::AllowSecondOrder, [] {
    FleetFixture Fleet;
    Fleet.announce("e1");
    Fleet.announce("e2");
    const PlanId Plan = Fleet.startPlan(shiftRole("e1", "decode"));
    Fleet.commitAllDue();
    Fleet.commit(issueCommand("e1", Plan, 0, 9));
    const auto &Orders = Fleet.m_State.m_Orders.m_ById;
    return std::count_if(Orders.begin(), Orders.end(),
                         [](const auto &Item) {
                           return Item.second.isUnderWay();
                         }) == 1 &&
           !wasInvariantBroken("countUnderWay");
  });
}

TEST_CASE("trust a fresh leader: silence counts as acknowledgement") {
  requireDetected(Mutation::TrustFreshLeader, [] {
    FleetFixture Fleet;
    Fleet.announce("e1");
    Fleet.announce("e2");
    Fleet.m_InFlight = 1;
    Fleet.startPlan(drain("e1"));
    Fleet.commitAllDue();
    Fleet.changeLeader();
    Fleet.commitDue(); // The entry has not reported to the new leader yet.
    return Fleet.target("e1").m_BarrierReached !=
           Fleet.target("e1").m_Generation;
  });
}

TEST_CASE("ignore the revision: both concurrent plans are confirmed") {
  requireDetected(Mutation::IgnoreRevision, [] {
    FleetFixture Fleet;
    for (const char *Name : {"e1", "e2", "e3"})
      Fleet.announce(Name);
    const Json First = Fleet.proposePlan(drain("e1"));
    const Json Second = Fleet.proposePlan(drain("e2"));
    Fleet.confirm(First);
    return outcome(Fleet.confirm(Second)) == "revision_conflict";
  });
}

TEST_CASE("revert a revision: a configuration takes a number that was used") {
  requireDetected(Mutation::RevertRevision, [] {
    FleetFixture Fleet;
    Fleet.call("config", emptyConfiguration(), 0);
    Fleet.call("config", emptyConfiguration(), 1);
    return Fleet.m_State.m_Configuration.m_Revision == 2 &&
           !wasInvariantBroken("m_Revision");
  });
}
