#include "Commands.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace wasabivale;
using namespace wasabivale::ledger;

namespace {

/// One step of a case: a command and the expected answer.
struct Step {
  wire::Command m_Command;
  std::string m_State; ///< State of the answer, or the name of the refusal.
};

std::string applyCommand(State &Ledger, const wire::Command &Command) {
  const Reply Response = apply(Ledger, Command);
  return Response.m_Refusal
             ? std::string(refusalInfo(*Response.m_Refusal).m_Name)
             : Response.m_Answer.state();
}

struct Case {
  std::string m_Name;
  std::vector<Step> m_Steps;
};

constexpr std::uint64_t Day = 86'400;

} // namespace

SCENARIO("a key is granted once") {
  const std::vector<Case> Cases = {
      {"a resend while it runs",
       {{begin(1, "k", "a"), "granted"}, {begin(2, "k", "b"), "in_progress"}}},
      {"the begin command is resent after its reply was lost",
       {{begin(1, "k", "a"), "granted"}, {begin(1, "k", "a"), "granted"}}},
      {"a resend after the answer",
       {{begin(1, "k", "a"), "granted"},
        {finish(2, "k", "a"), "completed"},
        {begin(3, "k", "b"), "completed"},
        {begin(3, "k", "a"), "completed"}}},
      {"another body",
       {{begin(1, "k", "a"), "granted"},
        {begin(2, "k", "b", "other"), "conflict"}}},
      {"released because it was never sent",
       {{begin(1, "k", "a"), "granted"},
        {release(2, "k", "a"), "released"},
        {begin(3, "k", "a"), "released"},
        {begin(3, "k", "b"), "granted"},
        {finish(4, "k", "a"), "conflict"},
        {release(4, "k", "a"), "conflict"}}},
      {"the session of the entry ended",
       {{begin(1, "k", "a"), "granted"},
        {entryGone(2), "unknown"},
        {begin(3, "k", "b"), "unknown"},
        {begin(3, "k", "a"), "unknown"},
        {lookUp(3, "k"), "unknown"}}},
      {"the entry reports after its session ended",
       {{begin(1, "k", "a"), "granted"},
        {entryGone(2), "unknown"},
        {finish(3, "k", "a"), "completed"},
        {begin(4, "k", "b"), "completed"}}},
      {"a later unknown outcome does not replace the answer",
       {{begin(1, "k", "a"), "granted"},
        {finish(2, "k", "a"), "completed"},
        {finish(3, "k", "a", "unknown"), "completed"},
        {finish(3, "k", "a", "completed", "other"), "completed"},
        {release(3, "k", "a"), "completed"}}},
      {"an entry returns after a temporary disconnection",
       {{begin(1, "k", "a"), "granted"},
        {entryGone(2), "unknown"},
        {begin(3, "k2", "b"), "granted"},
        {entryGone(4), "unknown"},
        {begin(5, "k2", "c"), "unknown"}}},
      {"an operator resolves the key as completed",
       {{begin(1, "k", "a"), "granted"},
        {resolve(1, "k", "completed"), "revision_conflict"},
        {entryGone(2), "unknown"},
        {resolve(3, "k", "completed"), "completed"},
        {begin(4, "k", "b"), "completed"}}},
      {"an operator resolves the key as released",
       {{begin(1, "k", "a"), "granted"},
        {entryGone(2), "unknown"},
        {resolve(3, "k", "released"), "released"},
        {finish(3, "k", "a"), "released"},
        {begin(4, "k", "b", "d", 2), "granted"}}},
      {"the retention starts at the end of the request",
       {{begin(1, "k", "a"), "granted"},
        {begin(5 * Day, "k", "b"), "in_progress"},
        {finish(5 * Day, "k", "a"), "completed"},
        {begin(6 * Day - 1, "k", "b"), "completed"},
        {begin(6 * Day, "k", "b"), "granted"}}},
      {"reports on an absent key",
       {{finish(1, "k", "a"), "absent"},
        {release(1, "k", "a"), "absent"},
        {lookUp(1, "k"), "absent"},
        {resolve(1, "k", "completed"), "invalid_field"}}},
  };
  for (const Case &Row : Cases) {
    GIVEN(Row.m_Name) {
      State Ledger;
      for (const Step &Current : Row.m_Steps) {
        INFO(Current.m_Command.ShortDebugString());
        CHECK(applyCommand(Ledger, Current.m_Command) == Current.m_State);
      }
    }
  }
}

SCENARIO("the ledger is bounded") {
  GIVEN("a ledger for two keys") {
    State Ledger;
    setLimits(Ledger, {2, 1U << 20U, 100, std::chrono::hours(1)});
    REQUIRE(applyCommand(Ledger, begin(1, "k1", "a")) == "granted");
    REQUIRE(applyCommand(Ledger, begin(1, "k2", "a")) == "granted");
    WHEN("a third key is requested") {
      THEN("it is refused and the other keys stay") {
        CHECK(applyCommand(Ledger, begin(2, "k3", "a")) == "ledger_full");
        CHECK(applyCommand(Ledger, lookUp(2, "k1")) == "in_progress");
      }
    }
    WHEN("one is completed but not expired") {
      REQUIRE(applyCommand(Ledger, finish(2, "k1", "a")) == "completed");
      THEN("it is removed only after its retention") {
        CHECK(applyCommand(Ledger, begin(3, "k3", "a")) == "ledger_full");
        CHECK(applyCommand(Ledger, begin(2 + 3600, "k3", "a")) == "granted");
      }
    }
    WHEN("an answer is too large to keep") {
      const Reply Response = apply(
          Ledger, finish(2, "k1", "a", "completed", std::string(101, 'x')));
      THEN("the key is still completed") {
        CHECK(Response.m_Answer.state() == "completed");
        CHECK(Response.m_Answer.answer_dropped());
        CHECK(applyCommand(Ledger, begin(3, "k1", "b")) == "completed");
      }
    }
  }
}

SCENARIO("a snapshot preserves granted keys") {
  State Ledger;
  apply(Ledger, begin(1, "k1", "a"));
  apply(Ledger, begin(1, "k2", "a"));
  apply(Ledger, finish(2, "k2", "a"));
  const std::string Bytes = snapshot(Ledger);
  Result<State> Restored = restore(Bytes);
  REQUIRE(!failed(Restored));
  CHECK(snapshot(valueOf(Restored)) == Bytes);
  CHECK(applyCommand(valueOf(Restored), begin(4, "k1", "b")) == "in_progress");
  CHECK(applyCommand(valueOf(Restored), begin(4, "k2", "b")) == "completed");
  CHECK(valueOf(Restored).m_Bytes == Ledger.m_Bytes);
  CHECK(openSessions(valueOf(Restored)).size() == 1);
  CHECK(failed(restore("\xff\xff")));
}
