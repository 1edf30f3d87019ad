#include "World.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::entry;
using namespace wasabivale::entry::test;

namespace {

/// A booking, and what a resend with the same key is told.
struct Row {
  const char *m_Story;
  Script m_Acts;
  const char *m_Outcome;
  const char *m_Reason;
  std::size_t m_Runs;
  const char *m_ResendOutcome;
  const char *m_ResendReason;
  std::size_t m_RunsAfter;
};

const Row Points[] = {
    {"the service answers", {}, "completed", "", 1, "completed", "", 1},
    {"full for ever",
     {Act::Full, Act::Full, Act::Full, Act::Full},
     "not_run",
     "target_failed",
     4,
     "completed",
     "",
     5},
    {"full, then free", {Act::Full}, "completed", "", 2, "completed", "", 2},
    {"closed before an answer",
     {Act::Close},
     "unknown",
     "target_failed",
     1,
     "unknown",
     "key_outcome_unknown",
     1},
    {"an error",
     {Act::Error},
     "unknown",
     "target_failed",
     1,
     "unknown",
     "key_outcome_unknown",
     1},
    {"busy without a word",
     {Act::PlainBusy},
     "unknown",
     "target_failed",
     1,
     "unknown",
     "key_outcome_unknown",
     1},
    {"malformed for the service",
     {Act::Malformed},
     "not_run",
     "target_refused",
     1,
     "completed",
     "",
     2},
    {"silence until the deadline",
     {Act::Silent},
     "unknown",
     "target_timeout",
     1,
     "unknown",
     "key_outcome_unknown",
     1},
};

Ask soon(const std::string &IdempotencyKey) {
  Ask Made = booking(IdempotencyKey);
  Made.m_Headers["Wasabivale-Deadline-Ms"] = "1500";
  return Made;
}

} // namespace

SCENARIO("a booking with a key runs at most once, resent or not") {
  for (const Row &Case : Points) {
    World World(0, 1);
    World.m_Script = Case.m_Acts;
    INFO(Case.m_Story);
    const auto First = World.ask(soon("key-1"));
    CHECK(First->outcome() == Case.m_Outcome);
    CHECK(First->reason() == Case.m_Reason);
    CHECK(World.runs() == Case.m_Runs);
    World.m_Loop.turnFor(20ms); // for the end to be committed
    const auto Second = World.ask(soon("key-1"));
    CHECK(Second->outcome() == Case.m_ResendOutcome);
    CHECK(Second->reason() == Case.m_ResendReason);
    CHECK(World.runs() == Case.m_RunsAfter);
    const bool Whole = First->outcome() == "completed";
    CHECK((!Whole || Second->m_Body == First->m_Body));
    CHECK((!Whole || Second->m_Status == First->m_Status));
    World.checkAtRest();
  }
}

SCENARIO("a booking without a key is sent at most once for its arrival") {
  for (const Row &Case : Points) {
    World World(0, 1);
    World.m_Script = Case.m_Acts;
    INFO(Case.m_Story);
    const auto Call = World.ask(soon(""));
    CHECK(Call->outcome() == Case.m_Outcome);
    CHECK(World.runs() == Case.m_Runs);
    World.checkAtRest();
  }
}

SCENARIO("a resend while the first is at work, and with another body") {
  World World(0, 1);
  World.m_Script = {Act::Silent};
  const auto First = World.send(soon("key-1"));
  REQUIRE(World.m_Loop.until([&] { return World.runs() == 1; }));
  const auto Same = World.ask(soon("key-1"));
  CHECK(Same->reason() == "key_in_progress");
  CHECK(Same->outcome() == "unknown");
  Ask Other = soon("key-1");
  Other.m_Body["slot"] = 2;
  const auto Conflict = World.ask(Other);
  CHECK(Conflict->reason() == "key_conflict");
  CHECK(Conflict->outcome() == "not_run");
  CHECK(World.runs() == 1);
  GIVEN("the first caller goes away") {
    First->m_Call->cancel();
    World.m_Loop.turnFor(50ms);
    THEN("its run goes on to its end") {
      CHECK(World.m_Targets[0]->m_Gone == 0);
      CHECK(World.m_Path->open() == 1);
    }
  }
  World.checkAtRest();
}

SCENARIO("the ledger cannot be asked, or says no") {
  World World(0, 1);
  const Ask What = booking("key-1");
  GIVEN("no quorum") {
    World.m_HasQuorum = false;
    const auto Call = World.ask(What);
    THEN("nothing is sent, and an earlier arrival's fate is not denied") {
      CHECK(Call->reason() == "ledger_unavailable");
      CHECK(Call->outcome() == "unknown");
      CHECK(World.runs() == 0);
      AND_THEN("a resend runs once there is one") {
        World.m_HasQuorum = true;
        CHECK(World.ask(What)->outcome() == "completed");
        CHECK(World.runs() == 1);
      }
    }
  }
  GIVEN("a grant whose reply is lost") {
    World.m_LosesReplies = true;
    CHECK(World.ask(What)->reason() == "ledger_unavailable");
    CHECK(World.runs() == 0);
    World.m_LosesReplies = false;
    World.m_Loop.turnFor(20ms);
    THEN("the key is released behind it, and a resend runs") {
      CHECK(World.ask(What)->outcome() == "completed");
      CHECK(World.runs() == 1);
    }
  }
  GIVEN("a ledger that took this entry's session for ended") {
    wire::Command Gone;
    Gone.mutable_entry_gone()->set_entry("entry-1");
    Gone.mutable_entry_gone()->set_session(World.m_Session);
    ledger::apply(World.m_Ledger, Gone);
    THEN("the request runs, once") {
      CHECK(World.ask(What)->outcome() == "completed");
      CHECK(World.ask(What)->outcome() == "completed");
      CHECK(World.runs() == 1);
    }
  }
  GIVEN("a full ledger") {
    World.m_Ledger.m_Limits.m_Keys = 0;
    CHECK(World.ask(What)->reason() == "ledger_full");
    CHECK(World.runs() == 0);
  }
  World.checkAtRest();
}

SCENARIO("a streamed answer under a key") {
  World World(1, 0);
  Ask What = streamed(4);
  What.m_Headers["Wasabivale-Not-Repeatable"] = "true";
  What.m_Headers["Idempotency-Key"] = "key-1";
  GIVEN("one that fits the ledger") {
    const auto First = World.ask(What);
    CHECK(First->text() == wholeText(4));
    World.m_Loop.turnFor(20ms);
    THEN("a resend gets the same stream") {
      CHECK(World.ask(What)->m_Body == First->m_Body);
    }
  }
  GIVEN("one that is too large") {
    What.m_Body["max_tokens"] = 40;
    CHECK(World.ask(What)->text() == wholeText(40));
    World.m_Loop.turnFor(20ms);
    THEN("a resend is told so, and never gets a part for the whole") {
      const auto Second = World.ask(What);
      CHECK(Second->reason() == "answer_too_large");
      CHECK(Second->outcome() == "completed");
    }
  }
  CHECK(World.runs() == 1);
  World.checkAtRest();
}
