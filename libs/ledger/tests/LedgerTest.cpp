#include "Commands.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace wasabivale;
using namespace wasabivale::ledger;

namespace {

/// One line of a story: a command and what is answered.
struct Line {
  wire::Command m_Command;
  std::string m_State; ///< Of the answer; a refusal's name when refused.
};

std::string told(State &On, const wire::Command &Command) {
  const Reply Out = apply(On, Command);
  return Out.m_Refusal ? std::string(refusalInfo(*Out.m_Refusal).m_Name)
                       : Out.m_Answer.state();
}

struct Case {
  std::string m_Name;
  std::vector<Line> m_Lines;
};

constexpr std::uint64_t Day = 86'400;

} // namespace

SCENARIO("a key is granted once") {
  const std::vector<Case> Cases = {
      {"a resend while it runs",
       {{begin(1, "k", "a"), "granted"}, {begin(2, "k", "b"), "in_progress"}}},
      {"the reply to the first begin was lost",
       {{begin(1, "k", "a"), "granted"}, {begin(1, "k", "a"), "granted"}}},
      {"a resend after the answer",
       {{begin(1, "k", "a"), "granted"},
        {finish(2, "k", "a"), "completed"},
        {begin(3, "k", "b"), "completed"},
        {begin(3, "k", "a"), "completed"}}},
      {"another body",
       {{begin(1, "k", "a"), "granted"},
        {begin(2, "k", "b", "other"), "conflict"}}},
      {"proved never sent",
       {{begin(1, "k", "a"), "granted"},
        {release(2, "k", "a"), "released"},
        {begin(3, "k", "a"), "released"},
        {begin(3, "k", "b"), "granted"},
        {finish(4, "k", "a"), "conflict"},
        {release(4, "k", "a"), "conflict"}}},
      {"the entry died",
       {{begin(1, "k", "a"), "granted"},
        {entryGone(2), "unknown"},
        {begin(3, "k", "b"), "unknown"},
        {begin(3, "k", "a"), "unknown"},
        {lookUp(3, "k"), "unknown"}}},
      {"the entry was only slow",
       {{begin(1, "k", "a"), "granted"},
        {entryGone(2), "unknown"},
        {finish(3, "k", "a"), "completed"},
        {begin(4, "k", "b"), "completed"}}},
      {"a late unknown does not replace the answer",
       {{begin(1, "k", "a"), "granted"},
        {finish(2, "k", "a"), "completed"},
        {finish(3, "k", "a", "unknown"), "completed"},
        {finish(3, "k", "a", "completed", "other"), "completed"},
        {release(3, "k", "a"), "completed"}}},
      {"an entry that was cut off for a while comes back",
       {{begin(1, "k", "a"), "granted"},
        {entryGone(2), "unknown"},
        {begin(3, "k2", "b"), "granted"},
        {entryGone(4), "unknown"},
        {begin(5, "k2", "c"), "unknown"}}},
      {"an operator resolves it as run",
       {{begin(1, "k", "a"), "granted"},
        {resolve(1, "k", "completed"), "revision_conflict"},
        {entryGone(2), "unknown"},
        {resolve(3, "k", "completed"), "completed"},
        {begin(4, "k", "b"), "completed"}}},
      {"an operator resolves it as not run",
       {{begin(1, "k", "a"), "granted"},
        {entryGone(2), "unknown"},
        {resolve(3, "k", "released"), "released"},
        {finish(3, "k", "a"), "released"},
        {begin(4, "k", "b", "d", 2), "granted"}}},
      {"the retention runs from the end, not from the start",
       {{begin(1, "k", "a"), "granted"},
        {begin(5 * Day, "k", "b"), "in_progress"},
        {finish(5 * Day, "k", "a"), "completed"},
        {begin(6 * Day - 1, "k", "b"), "completed"},
        {begin(6 * Day, "k", "b"), "granted"}}},
      {"reports of nobody",
       {{finish(1, "k", "a"), "absent"},
        {release(1, "k", "a"), "absent"},
        {lookUp(1, "k"), "absent"},
        {resolve(1, "k", "completed"), "invalid_field"}}},
  };
  for (const Case &Each : Cases) {
    GIVEN(Each.m_Name) {
      State On;
      for (const Line &Step : Each.m_Lines) {
        INFO(Step.m_Command.ShortDebugString());
        CHECK(told(On, Step.m_Command) == Step.m_State);
      }
    }
  }
}

SCENARIO("the ledger is bounded") {
  GIVEN("a ledger for two keys") {
    State On;
    setLimits(On, {2, 1U << 20U, 100, std::chrono::hours(1)});
    REQUIRE(told(On, begin(1, "k1", "a")) == "granted");
    REQUIRE(told(On, begin(1, "k2", "a")) == "granted");
    WHEN("a third key comes") {
      THEN("it is refused and the others stay") {
        CHECK(told(On, begin(2, "k3", "a")) == "ledger_full");
        CHECK(told(On, lookUp(2, "k1")) == "in_progress");
      }
    }
    WHEN("one is completed but not expired") {
      REQUIRE(told(On, finish(2, "k1", "a")) == "completed");
      THEN("it makes way only after its retention") {
        CHECK(told(On, begin(3, "k3", "a")) == "ledger_full");
        CHECK(told(On, begin(2 + 3600, "k3", "a")) == "granted");
      }
    }
    WHEN("an answer is too large to be kept") {
      const Reply Out =
          apply(On, finish(2, "k1", "a", "completed", std::string(101, 'x')));
      THEN("it is still known to have completed") {
        CHECK(Out.m_Answer.state() == "completed");
        CHECK(Out.m_Answer.answer_dropped());
        CHECK(told(On, begin(3, "k1", "b")) == "completed");
      }
    }
  }
}

SCENARIO("a snapshot keeps what was granted") {
  State On;
  apply(On, begin(1, "k1", "a"));
  apply(On, begin(1, "k2", "a"));
  apply(On, finish(2, "k2", "a"));
  const std::string Bytes = snapshot(On);
  Result<State> Back = restore(Bytes);
  REQUIRE(!failed(Back));
  CHECK(snapshot(valueOf(Back)) == Bytes);
  CHECK(told(valueOf(Back), begin(4, "k1", "b")) == "in_progress");
  CHECK(told(valueOf(Back), begin(4, "k2", "b")) == "completed");
  CHECK(valueOf(Back).m_Bytes == On.m_Bytes);
  CHECK(openSessions(valueOf(Back)).size() == 1);
  CHECK(failed(restore("\xff\xff")));
}
