#include "Handover.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::control;

SCENARIO("a stopping leader hands over before it ends") {
  struct Row {
    const char *m_Name;
    bool m_IsLeader;
    std::size_t m_Members;
    Duration m_Waited;
    bool m_MayEnd;
  };
  const Row Rows[] = {
      {"a follower ends at once", false, 3, {}, true},
      {"a leader hands over first", true, 3, {}, false},
      {"a leader still waits", true, 3, HandoverTimeout - Duration(1), false},
      {"nobody took over in time", true, 3, HandoverTimeout, true},
      {"a leader without others", true, 1, {}, true},
  };
  const TimePoint StopTime{std::chrono::seconds(1000)};
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    CHECK(mayEnd(Case.m_IsLeader, Case.m_Members, StopTime + Case.m_Waited,
                 StopTime + HandoverTimeout) == Case.m_MayEnd);
  }
}

SCENARIO("a stopping member ends when every call has its answer") {
  using namespace std::chrono_literals;
  const TimePoint Start{1000s};
  CloseDeadlines By{Start + AnswerTimeout, Start + CloseTimeout};
  THEN("it ends at once when no connection is open") {
    CHECK(nextCloseStep(By, 0, 0, Start) == CloseStep::End);
  }
  THEN("answers that were given have a while to be read") {
    CHECK(nextCloseStep(By, 0, 1, Start + 299ms) == CloseStep::Wait);
    CHECK(nextCloseStep(By, 0, 1, Start + 300ms) == CloseStep::End);
  }
  GIVEN("a call without an answer") {
    THEN("it may still be answered") {
      CHECK(nextCloseStep(By, 1, 1, Start + 899ms) == CloseStep::Wait);
      CHECK(nextCloseStep(By, 0, 1, Start + 920ms) == CloseStep::Wait);
    }
    THEN("it is refused in the end, however late the look, never dropped") {
      CHECK(nextCloseStep(By, 1, 1, Start + 900ms) == CloseStep::Refuse);
      CHECK(nextCloseStep(By, 0, 1, Start + 1199ms) == CloseStep::Wait);
      CHECK(nextCloseStep(By, 1, 1, Start + 60s) == CloseStep::Refuse);
      CHECK(nextCloseStep(By, 0, 1, Start + 61s) == CloseStep::End);
    }
  }
}
