#include "limits/limits.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::limits;
using namespace std::chrono_literals;

namespace {

const std::string Address = "10.0.0.1:80";

std::vector<NodeId> entries(int Count) {
  std::vector<NodeId> Made;
  Made.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Made.push_back({"entry-" + std::to_string(I)});
  return Made;
}

} // namespace

SCENARIO("limits that targets name are kept while they are named") {
  TargetLimitTable Table;
  TimePoint Now(1000s);
  applyTargetLimit(Table, Address, 4, Now);
  REQUIRE(Table.m_Limits.at(Address).m_PerSecond == 4);
  THEN("a report that says the same is no news") {
    CHECK_FALSE(isLimitNews(Table, Address, 4.1, Now + 1s));
  }
  THEN("another value is news, and none ends it") {
    CHECK(isLimitNews(Table, Address, 3, Now));
    CHECK(isLimitNews(Table, Address, 0, Now));
    applyTargetLimit(Table, Address, 0, Now);
    CHECK(Table.m_Limits.empty());
    CHECK_FALSE(isLimitNews(Table, Address, 0, Now));
  }
  THEN("it is renewed before it expires, without a new revision") {
    const std::uint64_t Revision = Table.m_Revision;
    Now += 8s;
    CHECK(isLimitNews(Table, Address, 4, Now));
    applyTargetLimit(Table, Address, 4, Now);
    CHECK(Table.m_Revision == Revision);
    Now += 14s;
    expireTargetLimits(Table, Now);
    CHECK(Table.m_Limits.size() == 1);
    Now += 2s;
    expireTargetLimits(Table, Now);
    CHECK(Table.m_Limits.empty());
    CHECK(Table.m_Revision > Revision);
  }
  THEN("their number is bounded") {
    Table.m_MaxLimits = 10;
    for (int I = 0; I < 30; ++I)
      applyTargetLimit(Table, std::to_string(I), 1, Now);
    CHECK(Table.m_Limits.size() == 10);
  }
}

TEST_CASE("entries together send a target no more than it allows") {
  const auto Count = GENERATE(1, 2, 6, 7, 85, 360);
  const auto Limit = GENERATE(0.4, 1.0, 1.7, 5.0, 15.8);
  INFO("entries " << Count << ", limit " << Limit);
  TargetLimitTable Table;
  applyTargetLimit(Table, Address, Limit, TimePoint(1000s));
  const auto Divisions = divideTargetLimits(Table, entries(Count));
  double Sum = 0;
  double Users = 0;
  for (const NodeId &Entry : entries(Count)) {
    const TargetRate Own = ratesOf(Divisions, Entry).at(Address);
    CHECK(Own.m_Limit == Limit);
    Sum += Own.m_Share;
    Users += Own.m_Share > 0 ? 1 : 0;
  }
  CHECK(Sum <= Limit);
  CHECK(Sum >= 0.9 * Limit);
  // Each user may have one token when the window begins.
  constexpr double Window = 4;
  CHECK(Users + Window * Sum <= 1.5 * Limit * Window + 5);
}

SCENARIO("an entry keeps to what it observes and what control tells") {
  TargetRateTracker Tracker;
  THEN("a limit that control has not divided is divided evenly") {
    CHECK(observeTargetLimit(Tracker, Address, 6));
    CHECK_FALSE(observeTargetLimit(Tracker, Address, 6));
    CHECK(ownRate(Tracker, Address, 6).value() == Approx(0.95));
    CHECK_FALSE(ownRate(Tracker, "other", 6));
  }
  GIVEN("a share from control") {
    applyTargetRates(Tracker, {{Address, {6, 2}}});
    THEN("it holds before the first answer") {
      CHECK(ownRate(Tracker, Address, 6).value() == 2);
    }
    THEN("a lower limit holds at once, a higher one does not") {
      observeTargetLimit(Tracker, Address, 3);
      CHECK(ownRate(Tracker, Address, 6).value() == 1);
      observeTargetLimit(Tracker, Address, 12);
      CHECK(ownRate(Tracker, Address, 6).value() == 2);
    }
    THEN("an answer without a limit ends it") {
      CHECK(observeTargetLimit(Tracker, Address, 0));
      CHECK_FALSE(ownRate(Tracker, Address, 6));
    }
    THEN("it ends with what control tells") {
      observeTargetLimit(Tracker, Address, 6);
      applyTargetRates(Tracker, {});
      CHECK_FALSE(ownRate(Tracker, Address, 6));
    }
  }
}
