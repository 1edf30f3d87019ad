#include "duties/duties.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::duties;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Offset) { return TimePoint(1000s) + Offset; }

constexpr Duration Midnight = 1'000'000s;

} // namespace

SCENARIO("a clock that jumps and returns moves no request to another window") {
  WallClock Clock;
  CHECK_FALSE(timeOfDay(Clock, at(0s)).has_value());
  addSample(Clock, Midnight, at(0s));
  CHECK(timeOfDay(Clock, at(2s)) == Midnight + 2s);
  GIVEN("a jump forward") {
    for (int I = 0; I < 19; ++I)
      addSample(Clock, Midnight + 2s + I * 500ms, at(I * 500ms));
    THEN("it is not believed at once") {
      CHECK(timeOfDay(Clock, at(10s)) == Midnight + 10s);
    }
    WHEN("it is taken back") {
      addSample(Clock, Midnight + 10s, at(10s));
      THEN("nothing has changed") {
        addSample(Clock, Midnight + 25s, at(23s));
        CHECK(timeOfDay(Clock, at(23s)) == Midnight + 23s);
      }
    }
    WHEN("it holds") {
      addSample(Clock, Midnight + 12s, at(10s));
      THEN("it is believed") {
        CHECK(timeOfDay(Clock, at(11s)) == Midnight + 13s);
      }
    }
  }
  GIVEN("small corrections") {
    addSample(Clock, Midnight + 1s + 40ms, at(1s));
    THEN("they are followed") {
      CHECK(timeOfDay(Clock, at(1s)) == Midnight + 1s + 40ms);
    }
  }
}

SCENARIO("an entry counts what began in windows that are not closed") {
  UsageCounts Counts;
  countRequest(Counts, 7, "large");
  countRequest(Counts, 7, "large");
  countRequest(Counts, 8, "small");
  CHECK(Counts.m_Open[7]["large"] == 2);
  dropClosed(Counts, 7);
  CHECK(Counts.m_Open.count(7) == 0);
  THEN("a closed window is not opened again") {
    countRequest(Counts, 7, "large");
    CHECK(Counts.m_Open.count(7) == 0);
    dropClosed(Counts, 3);
    CHECK(Counts.m_NewestClosed == 7);
  }
  THEN("windows are bounded when control closes none") {
    for (Window Number = 10; Number < 200; ++Number)
      countRequest(Counts, Number, "large");
    CHECK(Counts.m_Open.size() == MaxOpenWindows);
    CHECK(Counts.m_Open.rbegin()->first == 199);
  }
}

SCENARIO("the leader closes each window once, with what all processes report") {
  UsageTable Table;
  const UsageSchedule Schedule;
  const auto Next = [&](Window Closed, Duration TimeOfDay) {
    return nextToClose(Table, Schedule, Closed, 101s, TimeOfDay);
  };
  recordReport(Table, {"entry-1"}, 1, {{20, {{"large", 3}}}}, 0);
  recordReport(Table, {"entry-1"}, 1, {{20, {{"large", 5}, {"small", 1}}}}, 0);
  GIVEN("a process that has started again") {
    recordReport(Table, {"entry-1"}, 2, {{20, {{"large", 2}}}}, 0);
    recordReport(Table, {"entry-2"}, 9, {{20, {{"small", 4}}}}, 0);
    THEN("both of its counts are added") {
      const auto Due = Next(0, 108s);
      REQUIRE(Due.has_value());
      CHECK(Due->m_Window == 20);
      CHECK(Due->m_Counts == CustomerCounts{{"large", 7}, {"small", 5}});
    }
  }
  THEN("a window is closed some time after its end") {
    CHECK_FALSE(Next(0, 107'999ms).has_value());
    CHECK(Next(0, 108s).has_value());
  }
  THEN("a window without requests is closed as well") {
    const auto Due = Next(20, 113s);
    REQUIRE(Due.has_value());
    CHECK(Due->m_Window == 21);
    CHECK(Due->m_Counts.empty());
  }
  THEN("a report of a window that is closed changes nothing") {
    dropClosed(Table, 20);
    CHECK(Table.m_ByProcess.empty());
    recordReport(Table, {"entry-1"}, 1, {{20, {{"large", 9}}}}, 20);
    dropClosed(Table, 20);
    CHECK(Table.m_ByProcess.empty());
  }
}

TEST_CASE("lost, doubled and reordered reports of a process lose no request "
          "that a later one holds") {
  CHECK(rc::check([] {
    UsageCounts Entry;
    UsageTable Table;
    for (int I = 0; I < 30; ++I) {
      countRequest(Entry, 20, "large");
      if (*rc::gen::arbitrary<bool>())
        recordReport(Table, {"entry-1"}, 1, Entry.m_Open, 0);
    }
    recordReport(Table, {"entry-1"}, 1, Entry.m_Open, 0);
    const auto Due = nextToClose(Table, {}, 0, 101s, 108s);
    RC_ASSERT(Due.has_value());
    RC_ASSERT(Due->m_Counts.at("large") == 30U);
  }));
}
