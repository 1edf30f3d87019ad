#include "TargetRates.h"
#include "Shares.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace wasabivale;
using namespace wasabivale::control;
using namespace std::chrono_literals;

namespace {

constexpr Duration Lease = 2040ms;
constexpr int Entries = 4;
constexpr double PerSecond = 100;

/// The leader of a term, and the entries as they were told last.
struct Fixture {
  limits::TargetLimitTable m_Known;
  fleet::State m_Fleet;
  fleet::ObservedState m_Observed;
  TargetRates m_Rates;
  Shares m_Shares;
  TimePoint m_Now{1000s};
  std::map<NodeId, wire::ControlGrant> m_Grants;
  std::map<NodeId, std::uint32_t> m_EntryCounts;

  Fixture() {
    limits::applyTargetLimit(m_Known, "10.0.0.1:80", PerSecond, m_Now);
    beginTerm();
  }

  void beginTerm() {
    fleet::startTerm(m_Observed, m_Fleet, m_Now, Lease);
    startTerm(m_Shares, m_Now, Lease);
  }

  void report(int Number) {
    const NodeId Entry{fmt::format("entry-{}", Number)};
    wire::EntryReport Report;
    Report.set_target_rates_revision(m_Grants[Entry].target_rates_revision());
    fleet::recordEntryReport(m_Observed, Entry, Number + 1, Report, m_Now,
                             m_Now + Lease);
    wire::ControlGrant Grant;
    grantShares(m_Shares, Entry, Report, m_Now, m_Now + Lease, Lease, Grant);
    fillTargetRates(m_Rates, m_Known, m_Observed, Entry, Report, m_Now, Grant);
    if (Grant.target_rates_size() > 0)
      m_Grants[Entry] = Grant;
    if (Grant.entries() > 0)
      m_EntryCounts[Entry] = Grant.entries();
  }

  void reportAll() {
    m_Now += 500ms;
    for (int I = 0; I < Entries; ++I)
      report(I);
  }

  [[nodiscard]] double used() const {
    double Sum = 0;
    for (const auto &[Entry, Grant] : m_Grants)
      for (const wire::TargetRate &Rate : Grant.target_rates())
        Sum += Rate.share();
    return Sum;
  }
};

} // namespace

SCENARIO("a new leader doesn't divide a target's limit among the entries that "
         "have reported first") {
  Fixture Leader;
  for (int I = 0; I < 8; ++I)
    Leader.reportAll();
  REQUIRE(Leader.used() <= PerSecond);
  Leader.beginTerm();
  WHEN("its entries report one after the other") {
    for (int I = 0; I < Entries; ++I) {
      Leader.report(I);
      CHECK(Leader.used() <= PerSecond);
    }
    THEN("each keeps to the number of entries that it was told before") {
      for (const auto &[Entry, Number] : Leader.m_EntryCounts)
        CHECK(Number == Entries);
    }
  }
  WHEN("one of them is gone") {
    for (int Round = 0; Round < 8; ++Round) {
      Leader.m_Now += 500ms;
      for (int I = 1; I < Entries; ++I)
        Leader.report(I);
    }
    THEN("the others share its part once its lease has ended") {
      Leader.m_Grants.erase({"entry-0"});
      Leader.m_EntryCounts.erase({"entry-0"});
      CHECK(Leader.used() > 0.9 * PerSecond);
      CHECK(Leader.used() <= PerSecond);
      for (const auto &[Entry, Number] : Leader.m_EntryCounts)
        CHECK(Number == Entries - 1);
    }
  }
}
