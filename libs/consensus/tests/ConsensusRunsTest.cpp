#include "consensus_model/consensus_model.h"

#include <catch2/catch.hpp>

using namespace wasabivale::consensus;

SCENARIO("invariants hold under random faults") {
  constexpr std::uint64_t Seeds = 40;
  Counts Total;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const RunReport Report = run({Seed, 2000});
    INFO("seed " << Seed);
    CHECK(Report.m_Failure.empty());
    CHECK(Report.m_Failure == "");
    Total += Report.m_Counts;
  }
  INFO(describe(Total));
  THEN("every kind of fault has been injected") {
    CHECK(Total.m_Elections > Seeds);
    CHECK(Total.m_Acknowledged > Seeds);
    CHECK(Total.m_Crashes > 0);
    CHECK(Total.m_TornWrites > 0);
    CHECK(Total.m_Pauses > 0);
    CHECK(Total.m_Partitions > 0);
    CHECK(Total.m_EmptyDisks > 0);
    CHECK(Total.m_SecondLosses > 0);
    CHECK(Total.m_Changes > 0);
    CHECK(Total.m_Transfers > 0);
    CHECK(Total.m_Installs > 0);
  }
}
