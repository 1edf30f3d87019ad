#include "Fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::limits;
using namespace wasabivale::limits::test;

namespace {

Limits sumOf(const std::vector<Limits> &Shares) {
  Limits Sum{0, 0, 0, 0};
  for (const Limits &Share : Shares) {
    Sum.m_RequestsPerSecond += Share.m_RequestsPerSecond;
    Sum.m_PromptTokensPerSecond += Share.m_PromptTokensPerSecond;
    Sum.m_OutputTokensPerSecond += Share.m_OutputTokensPerSecond;
    Sum.m_Running += Share.m_Running;
  }
  return Sum;
}

/// Whether two sums are equal up to rounding by the order of addition.
bool isClose(double Left, double Right) {
  return std::abs(Left - Right) <= 1e-9 * std::max(1.0, std::abs(Right));
}

rc::Gen<Demand> demands() {
  const auto Amount = rc::gen::map(rc::gen::inRange(0, 1000),
                                   [](int Value) { return Value / 4.0; });
  return rc::gen::build<Demand>(
      rc::gen::set(&Demand::m_RequestsPerSecond, Amount),
      rc::gen::set(&Demand::m_PromptTokensPerSecond, Amount),
      rc::gen::set(&Demand::m_OutputTokensPerSecond, Amount),
      rc::gen::set(&Demand::m_Running, Amount));
}

} // namespace

SCENARIO("limits follow demand above an even floor") {
  const Limits Limit{100, NoLimit, 1000, 16};
  GIVEN("demand at one entry only") {
    const auto Shares = divideShares(Limit, {{500, 0, 5000, 50}, {}, {}, {}});
    THEN("the other entries keep the floor") {
      CHECK(Shares[0].m_RequestsPerSecond == Approx(92.5));
      CHECK(Shares[1].m_RequestsPerSecond == Approx(2.5));
      CHECK(Shares[1].m_PromptTokensPerSecond == NoLimit);
      CHECK(Shares[0].m_Running == 10);
      CHECK(Shares[1].m_Running == 2);
    }
  }
  GIVEN("no demand") {
    const auto Shares = divideShares(Limit, {{}, {}, {}, {}});
    THEN("all entries have the same share") {
      for (const Limits &Share : Shares) {
        CHECK(Share.m_RequestsPerSecond == Approx(25));
        CHECK(Share.m_Running == 4);
      }
    }
  }
}

SCENARIO("a lease is reassigned only after it has expired") {
  const Limits Limit{100, 100, 100, 10};
  const CallerId Caller = caller(0);
  const Demand HighDemand{200, 200, 200, 20};
  const NodeId First{"entry-1"};
  const NodeId Second{"entry-2"};
  ShareTable Table;
  Table.m_Entries = 2;
  const Limits Floor = floorOf(Limit, 2);
  const Limits Full =
      renewShare(Table, Caller, Limit, First, HighDemand, at(10s), at(0s));
  CHECK(Full.m_RequestsPerSecond == Approx(95));
  WHEN("a second entry renews before the first") {
    THEN("it has only its floor") {
      CHECK(renewShare(Table, Caller, Limit, Second, HighDemand, at(12s),
                       at(2s)) == Floor);
    }
    THEN("it gets its allotment once the first has renewed") {
      renewShare(Table, Caller, Limit, Second, HighDemand, at(12s), at(2s));
      renewShare(Table, Caller, Limit, First, HighDemand, at(13s), at(3s));
      const Limits Half =
          renewShare(Table, Caller, Limit, Second, HighDemand, at(14s), at(4s));
      CHECK(Half.m_RequestsPerSecond == Approx(50));
    }
    THEN("it gets the remainder once the first lease has expired") {
      renewShare(Table, Caller, Limit, Second, HighDemand, at(19s), at(9s));
      const Limits Remainder = renewShare(Table, Caller, Limit, Second,
                                          HighDemand, at(20s), at(10s));
      CHECK(Remainder.m_RequestsPerSecond == Approx(95));
    }
  }
}

TEST_CASE("shares sum to the limit") {
  CHECK(rc::check([] {
    const auto Demands =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<Demand>>(demands()));
    const Limits Limit{static_cast<double>(*rc::gen::inRange(0, 5000)),
                       static_cast<double>(*rc::gen::inRange(0, 5000)) / 3,
                       *rc::gen::element(0.0, 7.5, NoLimit),
                       static_cast<double>(*rc::gen::inRange(0, 300))};
    const auto Shares = divideShares(Limit, Demands);
    const Limits Sum = sumOf(Shares);
    RC_ASSERT(isClose(Sum.m_RequestsPerSecond, Limit.m_RequestsPerSecond));
    RC_ASSERT(
        isClose(Sum.m_PromptTokensPerSecond, Limit.m_PromptTokensPerSecond));
    RC_ASSERT(
        Sum.m_OutputTokensPerSecond == Limit.m_OutputTokensPerSecond ||
        isClose(Sum.m_OutputTokensPerSecond, Limit.m_OutputTokensPerSecond));
    RC_ASSERT(Sum.m_Running == Limit.m_Running);
    for (const Limits &Share : Shares) {
      RC_ASSERT(Share.m_RequestsPerSecond >= 0);
      RC_ASSERT(Share.m_Running == std::floor(Share.m_Running));
      RC_ASSERT(Share.m_Running >= 0);
    }
  }));
}

TEST_CASE("outstanding leases never exceed the limit") {
  CHECK(rc::check([] {
    const auto Steps =
        *rc::gen::container<std::vector<std::tuple<int, Demand, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 5), demands(),
                           rc::gen::inRange(0, 4000)));
    const Limits Limit{120, 77, 1000, 23};
    ShareTable Table;
    Table.m_Entries = 5;
    TimePoint Now = at(0s);
    for (const auto &[Entry, EntryDemand, Wait] : Steps) {
      Now += Wait * Duration(1ms);
      const NodeId Id{"entry-" + std::to_string(Entry)};
      const Limits Share =
          renewShare(Table, caller(0), Limit, Id, EntryDemand, Now + 3s, Now);
      const Limits Floor = floorOf(Limit, 5);
      RC_ASSERT(Share.m_RequestsPerSecond >= Floor.m_RequestsPerSecond);
      RC_ASSERT(Share.m_Running == std::floor(Share.m_Running));
      const Limits Sum = outstanding(Table, caller(0), Limit, Now);
      RC_ASSERT(Sum.m_RequestsPerSecond <= Limit.m_RequestsPerSecond + 1e-9);
      RC_ASSERT(Sum.m_PromptTokensPerSecond <=
                Limit.m_PromptTokensPerSecond + 1e-9);
      RC_ASSERT(Sum.m_OutputTokensPerSecond <=
                Limit.m_OutputTokensPerSecond + 1e-9);
      RC_ASSERT(Sum.m_Running <= Limit.m_Running);
    }
  }));
}
