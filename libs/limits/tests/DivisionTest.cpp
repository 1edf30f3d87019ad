#include "Fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::limits;
using namespace wasabivale::limits::test;

namespace {

Limits sumOf(const std::vector<Limits> &Shares) {
  Limits Sum{0, 0, 0, 0};
  for (const Limits &One : Shares) {
    Sum.m_RequestsPerSecond += One.m_RequestsPerSecond;
    Sum.m_PromptTokensPerSecond += One.m_PromptTokensPerSecond;
    Sum.m_OutputTokensPerSecond += One.m_OutputTokensPerSecond;
    Sum.m_Running += One.m_Running;
  }
  return Sum;
}

/// Equal but for what adding in another order rounds away.
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
  GIVEN("one entry with all the demand") {
    const auto Shares = divideShares(Limit, {{500, 0, 5000, 50}, {}, {}, {}});
    THEN("the others keep the floor") {
      CHECK(Shares[0].m_RequestsPerSecond == Approx(92.5));
      CHECK(Shares[1].m_RequestsPerSecond == Approx(2.5));
      CHECK(Shares[1].m_PromptTokensPerSecond == NoLimit);
      CHECK(Shares[0].m_Running == 10);
      CHECK(Shares[1].m_Running == 2);
    }
  }
  GIVEN("no demand") {
    const auto Shares = divideShares(Limit, {{}, {}, {}, {}});
    THEN("all have the same") {
      for (const Limits &One : Shares) {
        CHECK(One.m_RequestsPerSecond == Approx(25));
        CHECK(One.m_Running == 4);
      }
    }
  }
}

SCENARIO("a lapsed lease is given to others only after it has run out") {
  const Limits Limit{100, 100, 100, 10};
  const CallerId Who = caller(0);
  const Demand Much{200, 200, 200, 20};
  const NodeId First{"entry-1"};
  const NodeId Second{"entry-2"};
  ShareTable Table;
  Table.m_Entries = 2;
  const Limits Floor = floorOf(Limit, 2);
  const Limits All =
      renewShare(Table, Who, Limit, First, Much, at(10s), at(0s));
  CHECK(All.m_RequestsPerSecond == Approx(95));
  WHEN("a second entry asks before the first has renewed") {
    THEN("it has its floor only") {
      CHECK(renewShare(Table, Who, Limit, Second, Much, at(12s), at(2s)) ==
            Floor);
    }
    THEN("it gets its part once the first has renewed") {
      renewShare(Table, Who, Limit, Second, Much, at(12s), at(2s));
      renewShare(Table, Who, Limit, First, Much, at(13s), at(3s));
      const Limits Half =
          renewShare(Table, Who, Limit, Second, Much, at(14s), at(4s));
      CHECK(Half.m_RequestsPerSecond == Approx(50));
    }
    THEN("it gets the rest once the first's lease has run out") {
      renewShare(Table, Who, Limit, Second, Much, at(19s), at(9s));
      const Limits Rest =
          renewShare(Table, Who, Limit, Second, Much, at(20s), at(10s));
      CHECK(Rest.m_RequestsPerSecond == Approx(95));
    }
  }
}

TEST_CASE("shares sum to the limit") {
  CHECK(rc::check([] {
    const auto Wanted =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<Demand>>(demands()));
    const Limits Limit{static_cast<double>(*rc::gen::inRange(0, 5000)),
                       static_cast<double>(*rc::gen::inRange(0, 5000)) / 3,
                       *rc::gen::element(0.0, 7.5, NoLimit),
                       static_cast<double>(*rc::gen::inRange(0, 300))};
    const auto Shares = divideShares(Limit, Wanted);
    const Limits Sum = sumOf(Shares);
    RC_ASSERT(isClose(Sum.m_RequestsPerSecond, Limit.m_RequestsPerSecond));
    RC_ASSERT(
        isClose(Sum.m_PromptTokensPerSecond, Limit.m_PromptTokensPerSecond));
    RC_ASSERT(
        Sum.m_OutputTokensPerSecond == Limit.m_OutputTokensPerSecond ||
        isClose(Sum.m_OutputTokensPerSecond, Limit.m_OutputTokensPerSecond));
    RC_ASSERT(Sum.m_Running == Limit.m_Running);
    for (const Limits &One : Shares) {
      RC_ASSERT(One.m_RequestsPerSecond >= 0);
      RC_ASSERT(One.m_Running == std::floor(One.m_Running));
      RC_ASSERT(One.m_Running >= 0);
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
    for (const auto &[Entry, Wanted, Wait] : Steps) {
      Now += Wait * Duration(1ms);
      const NodeId Id{"entry-" + std::to_string(Entry)};
      const Limits Share =
          renewShare(Table, caller(0), Limit, Id, Wanted, Now + 3s, Now);
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
