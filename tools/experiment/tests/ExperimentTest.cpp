#include "Experiments.h"
#include "Search.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::experiment;
using namespace std::chrono_literals;

namespace {

Setup smallSetup(double Load) {
  Setup Made;
  Made.m_Workload.m_Schedule = {{20s, 0.25, Load}, {20s, 0.6, Load}};
  Made.m_Workload.m_Callers = ordinaryCallers();
  Made.m_Workload.m_Engines = 4;
  Made.m_Workload.m_Services = 1;
  Made.m_Entries = 2;
  Made.m_Split = {2, 1, 1};
  return Made;
}

std::uint64_t refusedOf(const RunResult &Of) {
  std::uint64_t Sum = 0;
  for (const auto &[Reason, Count] : Of.m_RefusedByReason)
    Sum += Count;
  return Sum;
}

} // namespace

SCENARIO("a run accounts for every arrival and can be repeated") {
  double Load = GENERATE(0.5, 2.0);
  Setup What = smallSetup(Load);
  std::vector<Arrival> Arrivals = makeArrivals(What.m_Workload);
  RunResult First = run(What, Arrivals);
  CHECK(First.m_Offered > 100);
  CHECK(First.m_InTime + First.m_Late + refusedOf(First) == First.m_Offered);
  CHECK(First.m_RoleChanges == 0);
  RunResult Again = run(What, Arrivals);
  CHECK(Again.m_InTime == First.m_InTime);
  CHECK(Again.m_RefusedByReason == First.m_RefusedByReason);
}

SCENARIO("a planned split is reached and counted") {
  Setup What = smallSetup(0.5);
  What.m_Plan = {{TimePoint{} + 5s, {0, 2, 2}}};
  RunResult Made = run(What, makeArrivals(What.m_Workload));
  CHECK(Made.m_RoleChanges == movesBetween(What.m_Split, {0, 2, 2}));
  CHECK(Made.m_Samples.back().m_Split == Split{0, 2, 2});
  CHECK(Made.m_InTime + Made.m_Late + refusedOf(Made) == Made.m_Offered);
}

SCENARIO("splits are listed once and can run a whole request") {
  std::vector<Split> All = allSplits(10, 1);
  CHECK(All.size() == 64); // 66 less those of one role that can't.
  for (const Split &Each : All)
    CHECK(Each[0] + Each[1] + Each[2] == 10);
}
