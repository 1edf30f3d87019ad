#include "shutdown/shutdown.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::shutdown;
using namespace std::chrono_literals;

namespace {

const TimePoint StopAt{100s};
const Schedule Deadlines = makeSchedule(StopAt, 3s, 4s);

} // namespace

SCENARIO("a stopping process takes what it can answer before it exits") {
  struct Row {
    const char *m_Name;
    Duration m_Age; ///< Since the process was asked to stop.
    Duration m_TimeToDeadline;
    Duration m_ToFirstByte; ///< Expected.
    Duration m_ToFinish;    ///< Expected.
    bool m_IsTaken;
    bool m_MayStart;
  };
  const Row Rows[] = {
      {"its deadline is before", 0s, 6s, 5s, 6s, false, true},
      {"its deadline is after, its estimate well before", 0s, 8s, 200ms, 700ms,
       false, false},
      {"its deadline is after, and it runs for no time", 0s, 8s, 0s, 0s, false,
       false},
      {"taken before, and its estimate may be short by a factor", 0s, 8s, 2s,
       3s, true, false},
      {"balanced elsewhere, and its deadline is before", 5s, 1s, 20ms, 20ms,
       false, true},
      {"balanced elsewhere, and only its estimate is before", 3s, 6s, 20ms,
       20ms, false, false},
      {"another try of what was taken", 3s, 6s, 20ms, 20ms, true, true},
      {"another try that a silence of its target would have cut", 5s, 6s, 20ms,
       20ms, true, false},
      {"another try that would be cut", 6s, 6s, 20ms, 20ms, true, false},
      {"at the very end", 6900ms, 500ms, 1ms, 2ms, false, false},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    const TimePoint Now = StopAt + Case.m_Age;
    CHECK(mayStart(Deadlines,
                   {Now + Case.m_TimeToDeadline, Now + Case.m_ToFirstByte,
                    Now + Case.m_ToFinish, Case.m_IsTaken},
                   Now) == Case.m_MayStart);
  }
}

SCENARIO("a stopping process leaves no request between two stages") {
  State Stopping{Deadlines, Stage::Answering, {}};
  GIVEN("requests that end while the balancer still sends callers") {
    CHECK_FALSE(advance(Stopping, {0, 4}, StopAt + 2900ms));
    WHEN("it sends none any more") {
      CHECK_FALSE(advance(Stopping, {1, 4}, StopAt + 3100ms));
      REQUIRE(advance(Stopping, {0, 4}, StopAt + 3200ms));
      CHECK(Stopping.m_Stage == Stage::Refusing);
      THEN("what is on its way is refused before connections close") {
        CHECK_FALSE(advance(Stopping, {0, 4}, StopAt + 3250ms));
        REQUIRE(advance(Stopping, {0, 4}, StopAt + 3300ms));
        CHECK(Stopping.m_Stage == Stage::Closing);
        AND_THEN("it exits when the last connection is closed") {
          CHECK_FALSE(advance(Stopping, {0, 1}, StopAt + 3400ms));
          REQUIRE(advance(Stopping, {0, 0}, StopAt + 3500ms));
          CHECK(Stopping.m_Stage == Stage::Exiting);
        }
      }
    }
  }
  GIVEN("a request that one count has lost") {
    struct Row {
      const char *m_Name;
      Progress m_Open;
    };
    const Row Rows[] = {
        {"it is taken", {.m_OpenRequests = 1}},
        {"its caller's connection waits for the answer", {.m_Exchanges = 1}},
        {"a target has it", {.m_PassedOn = 1}},
    };
    for (const Row &Case : Rows) {
      INFO(Case.m_Name);
      State Waiting{Deadlines, Stage::Answering, {}};
      THEN(std::string("another count keeps the process answering: ") +
           Case.m_Name) {
        CHECK_FALSE(advance(Waiting, Case.m_Open, StopAt + 3200ms));
        Waiting.m_Stage = Stage::Refusing;
        CHECK_FALSE(advance(Waiting, Case.m_Open, StopAt + 3400ms));
        Waiting.m_Stage = Stage::Closing;
        CHECK_FALSE(advance(Waiting, Case.m_Open, StopAt + 3500ms));
      }
      THEN(std::string("the last look finds it and waits: ") + Case.m_Name) {
        Waiting.m_Stage = Stage::Exiting;
        CHECK_FALSE(mayEnd(Waiting, Case.m_Open, StopAt + 3600ms));
        CHECK(Waiting.m_Stage == Stage::Closing);
        AND_THEN("it ends once that is answered, or at its time") {
          REQUIRE(advance(Waiting, {}, StopAt + 3700ms));
          CHECK(mayEnd(Waiting, {}, StopAt + 3730ms));
          CHECK(mayEnd(Waiting, Case.m_Open, Deadlines.m_ExitBy));
        }
      }
    }
  }
  GIVEN("a process that is about to end") {
    State Ending{Deadlines, Stage::Exiting, {}};
    THEN("an open connection or a call to control is waited for") {
      CHECK_FALSE(mayEnd(Ending, {.m_Connections = 1}, StopAt + 3600ms));
      CHECK_FALSE(mayEnd(Ending, {.m_ControlCalls = 1}, StopAt + 3600ms));
      CHECK(mayEnd(Ending, {}, StopAt + 3600ms));
    }
  }
  GIVEN("a request that does not end") {
    REQUIRE(advance(Stopping, {1, 1}, Deadlines.m_AnswerBy));
    CHECK_FALSE(mustCut(Stopping, Deadlines.m_AnswerBy));
    CHECK_FALSE(advance(Stopping, {1, 1}, Deadlines.m_CutAt - 1ms));
    THEN("it is cut, and the process exits in time") {
      CHECK(mustCut(Stopping, Deadlines.m_CutAt));
      REQUIRE(advance(Stopping, {1, 1}, Deadlines.m_CutAt));
      CHECK_FALSE(advance(Stopping, {0, 1}, Deadlines.m_CutAt));
      REQUIRE(advance(Stopping, {0, 1}, Deadlines.m_ExitBy));
      CHECK(Stopping.m_Stage == Stage::Exiting);
    }
  }
}
