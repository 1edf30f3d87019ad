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
