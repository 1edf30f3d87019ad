#include "Shares.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace wasabivale;
using namespace wasabivale::control;
using namespace std::chrono_literals;

namespace {

constexpr Duration Lease = 2040ms;
const CallerId Shop{"shop"};
const NodeId First{"entry-1"};
const NodeId Second{"entry-2"};

/// A leader whose term begins at `m_Now`, with two reporting entries.
struct LeaderFixture {
  Shares m_Shares;
  fleet::ObservedState m_Observed;
  TimePoint m_Now{1000s};

  LeaderFixture() {
    startTerm(m_Shares, m_Now, Lease);
    m_Shares.m_Limits = parseLimits(
        R"({"callers":[{"id":"shop","requests_per_second":100,"concurrent":20}]})");
  }
  wire::ControlGrant report(const NodeId &Entry, std::uint64_t Wanted,
                            std::uint64_t Running,
                            const std::string &Caller = "shop") {
    wire::EntryReport Report;
    wire::ShareUse &Use = *Report.add_shares();
    Use.set_caller(Caller);
    Use.set_wanted_requests(Wanted);
    Use.set_running(Running);
    m_Observed.m_Entries[Entry].m_LeaseUntil = m_Now + Lease;
    fleet::expireEntries(m_Observed, m_Now);
    dropLostEntries(m_Shares, m_Observed);
    wire::ControlGrant Grant;
    grantShares(m_Shares, Entry, Report, m_Now, m_Now + Lease, Lease, Grant);
    return Grant;
  }
  /// Both entries report for a while; \returns the last grants.
  std::pair<wire::ControlGrant, wire::ControlGrant>
  settle(std::uint64_t FirstWanted, std::uint64_t SecondWanted) {
    std::pair<wire::ControlGrant, wire::ControlGrant> Last;
    for (int I = 0; I < 12; ++I) {
      m_Now += 500ms;
      Last.first = report(First, FirstWanted, FirstWanted);
      Last.second = report(Second, SecondWanted, SecondWanted);
    }
    return Last;
  }
};

} // namespace

SCENARIO("callers' limits are divided by demand") {
  LeaderFixture Leader;
  GIVEN("a leader whose term has just begun") {
    THEN("no share is granted while its predecessor's may still be in use") {
      CHECK(Leader.report(First, 50, 10).shares_size() == 0);
      Leader.m_Now += Lease - 1ms;
      CHECK(Leader.report(First, 50, 10).shares_size() == 0);
      Leader.m_Now += 1ms;
      const wire::ControlGrant Grant = Leader.report(First, 50, 10);
      REQUIRE(Grant.shares_size() == 1);
      CHECK(Grant.entries() == 1);
      CHECK(Grant.shares(0).requests_per_second() == Approx(100));
      CHECK(Grant.shares(0).running() == 20);
    }
  }
  GIVEN("two entries with different demand") {
    struct Row {
      std::uint64_t m_First, m_Second;
    };
    for (const Row &Case : {Row{40, 4}, Row{4, 40}, Row{400, 400}}) {
      const auto [Left, Right] = Leader.settle(Case.m_First, Case.m_Second);
      REQUIRE(Left.shares_size() == 1);
      REQUIRE(Right.shares_size() == 1);
      const wire::Share &FirstShare = Left.shares(0);
      const wire::Share &SecondShare = Right.shares(0);
      CHECK(FirstShare.requests_per_second() +
                SecondShare.requests_per_second() <=
            Approx(100));
      CHECK(FirstShare.running() + SecondShare.running() <= 20);
      CHECK((FirstShare.requests_per_second() >
             SecondShare.requests_per_second()) ==
            (Case.m_First > Case.m_Second));
      CHECK(std::isinf(FirstShare.output_tokens_per_second()));
    }
  }
  GIVEN("reports that follow each other closely") {
    Leader.settle(10, 10);
    THEN("the demand is the rate of the span, not of each report") {
      for (int I = 0; I < 50; ++I) {
        Leader.m_Now += 10ms;
        Leader.report(First, 1, 1);
      }
      const limits::Demand &Rate =
          Leader.m_Shares.m_Holders.at(First).m_Demand.at(Shop).m_Rate;
      CHECK(Rate.m_RequestsPerSecond == Approx(100));
    }
  }
}

SCENARIO("the entries that share a limit change") {
  LeaderFixture Leader;
  Leader.m_Now += Lease;
  REQUIRE(Leader.report(First, 50, 50).shares(0).requests_per_second() ==
          Approx(100));
  GIVEN("a second entry joins") {
    CHECK(Leader.report(Second, 50, 50).shares_size() == 0);
    THEN("it is granted a share once the larger ones have run out") {
      const TimePoint Joined = Leader.m_Now;
      double Granted = 100;
      for (Leader.m_Now += 500ms; Leader.m_Now < Joined + Lease;
           Leader.m_Now += 500ms) {
        Granted = Leader.report(First, 50, 50).shares(0).requests_per_second();
        CHECK(Leader.report(Second, 50, 50).shares_size() == 0);
      }
      CHECK(Granted == Approx(95));
      const auto [Left, Right] = Leader.settle(50, 50);
      CHECK(Left.entries() == 2);
      CHECK(Left.shares(0).requests_per_second() == Approx(50));
      CHECK(Right.shares(0).requests_per_second() == Approx(50));
    }
  }
  GIVEN("an entry is lost") {
    Leader.settle(50, 50);
    Leader.m_Now += 500ms;
    Leader.report(First, 50, 50);
    THEN("its share is free after its lease and not before") {
      Leader.m_Now += Lease - 501ms;
      CHECK(Leader.report(First, 50, 50).shares(0).requests_per_second() < 60);
      Leader.m_Now += 1100ms;
      Leader.report(First, 50, 50);
      Leader.m_Now += 1100ms;
      CHECK(Leader.report(First, 50, 50).shares(0).requests_per_second() ==
            Approx(100));
    }
  }
  GIVEN("a caller that is not configured") {
    CHECK(Leader.report(First, 5, 5, "nobody").shares_size() == 0);
  }
}
