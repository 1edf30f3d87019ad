#include "World.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::entry;
using namespace wasabivale::entry::test;

namespace {

/// What a caller is told after its targets did as scripted.
struct Row {
  const char *m_Story;
  Script m_Acts;
  bool m_Stream;
  const char *m_Outcome;
  const char *m_Reason; ///< Empty when the answer is whole.
  std::size_t m_Runs;   ///< Requests that reached an engine.
};

const Row Faults[] = {
    {"all is well", {}, true, "completed", "", 1},
    {"all is well", {}, false, "completed", "", 1},
    {"closed before the head", {Act::Close}, true, "completed", "", 2},
    {"closed after the head", {Act::CutAtOnce}, true, "completed", "", 2},
    {"cut in the middle", {Act::CutMiddle}, true, "completed", "", 2},
    {"cut in the middle", {Act::CutMiddle}, false, "completed", "", 2},
    {"cut twice", {Act::CutMiddle, Act::CutMiddle}, true, "completed", "", 3},
    {"no end marker", {Act::NoEnd}, true, "completed", "", 2},
    {"wrong length", {Act::WrongLength}, true, "completed", "", 2},
    {"wrong length", {Act::WrongLength}, false, "completed", "", 2},
    {"a foreign line", {Act::ForeignStream}, true, "completed", "", 2},
    {"a token left out", {Act::Gap}, true, "completed", "", 2},
    {"every token twice", {Act::Repeats}, true, "completed", "", 1},
    {"garbage", {Act::Garbage}, true, "completed", "", 2},
    {"silence", {Act::Silent}, true, "completed", "", 2},
    {"silence in the middle", {Act::SilentMiddle}, true, "completed", "", 2},
    {"full", {Act::Full}, true, "completed", "", 2},
    {"draining", {Act::Draining}, true, "completed", "", 2},
    {"busy without a word", {Act::PlainBusy}, true, "completed", "", 2},
    {"an error", {Act::Error}, false, "completed", "", 2},
    {"malformed for the engine",
     {Act::Malformed},
     true,
     "not_run",
     "target_refused",
     1},
    {"cut, then it cannot be resumed",
     {Act::CutMiddle, Act::CannotResume},
     true,
     "unknown",
     "stream_broken",
     2},
    {"cut, then refused",
     {Act::CutMiddle, Act::Malformed},
     false,
     "unknown",
     "target_refused",
     2},
    {"nothing but errors",
     {Act::Error, Act::Error, Act::Error, Act::Error},
     true,
     "unknown",
     "target_failed",
     4},
    {"full for ever",
     {Act::Full, Act::Full, Act::Full, Act::Full},
     true,
     "not_run",
     "target_failed",
     4},
};

} // namespace

SCENARIO("what engines do, and what a caller is told") {
  for (const Row &Case : Faults) {
    World World(2, 0);
    World.m_Script = Case.m_Acts;
    INFO(Case.m_Story << (Case.m_Stream ? ", streamed" : ", whole"));
    const auto Call = World.ask(Case.m_Stream ? streamed() : Ask{});
    const bool Whole = std::string_view(Case.m_Outcome) == "completed";
    CHECK(!Call->m_Broken);
    CHECK(Call->outcome() == Case.m_Outcome);
    CHECK(Call->reason() == Case.m_Reason);
    CHECK(World.runs() == Case.m_Runs);
    CHECK((!Whole || Call->text() == wholeText(6)));
    CHECK(Call->has("[DONE]") == (Case.m_Stream && Whole));
    World.checkAtRest();
  }
}

SCENARIO("an engine that is not there") {
  World World(2, 0);
  World.m_Targets[0]->crash();
  for (int I = 0; I < 6; ++I) {
    const auto Call = World.ask(streamed());
    CHECK(Call->outcome() == "completed");
    CHECK(Call->text() == wholeText(6));
  }
  GIVEN("no other") {
    World.m_Targets[1]->crash();
    const auto Call = World.ask(streamed());
    THEN("the request was not run") { CHECK(Call->outcome() == "not_run"); }
  }
  World.checkAtRest();
}

SCENARIO("a caller that goes away frees the engine") {
  World World(1, 0);
  World.m_Script = {Act::SilentMiddle};
  const auto Call = World.send(streamed());
  REQUIRE(World.m_Loop.until([&] { return Call->has("t02"); }));
  Call->m_Call->cancel();
  World.checkAtRest();
  const FakeTarget &Engine = *World.m_Targets[0];
  CHECK(World.m_Loop.until([&] { return Engine.m_Cancelled.size() == 1; }));
  CHECK(Engine.m_Cancelled[0] == Engine.m_Runs[0]["request"]);
}

SCENARIO("a caller that reads slowly") {
  World World(1, 0);
  World.m_Settings.m_PendingBytes = 64U << 10U;
  World.m_Script = {Act::Flood};
  const auto Call = World.send(streamed(500), true); // 8 MB
  auto &Paused = World.m_Registry.gauge("wasabivale_entry_paused_streams", "");
  const bool HasPaused = World.m_Loop.until([&] {
    World.m_Path->updateGauges();
    return Paused.m_Value > 0;
  });
  INFO("given up " << World.refusals(Refusal::ReaderTooSlow) << ", ended "
                   << Call->m_Ended << ", received " << Call->m_Body.size()
                   << ", open " << World.m_Path->open());
  REQUIRE(HasPaused);
  WHEN("it reads on in time") {
    Call->m_Call->resume();
    THEN("it gets all of it") {
      REQUIRE(World.m_Loop.until([&] { return Call->m_Ended; }));
      CHECK(!Call->m_Broken);
      CHECK(Call->has("[DONE]"));
      CHECK(Call->m_Body.size() > std::size_t{500} * (std::size_t{16} << 10U));
    }
  }
  WHEN("it never does") {
    THEN("it is given up and counted, and the engine is told") {
      REQUIRE(World.m_Loop.until([&] { return World.m_Path->open() == 0; }));
      CHECK(World.refusals(Refusal::ReaderTooSlow) == 1);
      CHECK(World.m_Loop.until(
          [&] { return World.m_Targets[0]->m_Cancelled.size() == 1; }));
      Call->m_Call->cancel();
    }
  }
  World.checkAtRest();
}

SCENARIO("a deadline passes while an engine is at work") {
  World World(1, 0);
  World.m_Settings.m_Patience.m_Token = 20s;
  World.m_Script = {Act::SilentMiddle};
  Ask What = streamed();
  What.m_Headers["Wasabivale-Deadline-Ms"] = "700";
  const auto Call = World.ask(What);
  CHECK(Call->has("event: error"));
  CHECK(Call->reason() == "target_timeout");
  CHECK(Call->outcome() == "unknown");
  CHECK(!Call->has("[DONE]"));
  World.checkAtRest();
}

SCENARIO("a target that drains gets no new work") {
  World World(2, 0);
  World.m_Script = {Act::SilentMiddle};
  World.m_Settings.m_Patience.m_Token = 20s;
  const auto First = World.send(streamed());
  REQUIRE(World.m_Loop.until([&] { return First->has("t02"); }));
  const std::size_t Busy = World.m_Targets[0]->m_Runs.empty() ? 1 : 0;
  const std::string Name = Busy == 0 ? "engine-1" : "engine-2";
  World.setState(Name, "draining");
  THEN("new requests go elsewhere, and the barrier tells what still runs") {
    for (int I = 0; I < 5; ++I)
      CHECK(World.ask(Ask{})->outcome() == "completed");
    CHECK(World.m_Targets[Busy]->m_Runs.size() == 1);
    const wire::EntryReport Report = World.report();
    REQUIRE(Report.barriers_size() == 1);
    CHECK(Report.barriers(0).target() == Name);
    CHECK(Report.barriers(0).generation() == 2);
    CHECK(Report.barriers(0).in_flight() == 1);
    AND_THEN("the end of the last run is reported at once") {
      const int Before = World.m_Reports;
      First->m_Call->cancel();
      World.checkAtRest();
      CHECK(World.m_Reports > Before);
      CHECK(World.report().barriers(0).in_flight() == 0);
    }
  }
  First->m_Call->cancel();
  World.checkAtRest();
}

SCENARIO("no lease from control") {
  World World(1, 1);
  World.m_Loop.turnFor(100ms);
  World.m_HoldsLease = false;
  GIVEN("a short lapse") {
    const auto Call = World.send(streamed());
    World.m_Loop.turnFor(200ms);
    CHECK(World.runs() == 0);
    World.m_HoldsLease = true;
    THEN("the request is served after it") {
      REQUIRE(World.m_Loop.until([&] { return Call->m_Ended; }));
      CHECK(Call->outcome() == "completed");
    }
  }
  GIVEN("a long lapse") {
    World.m_Loop.turnFor(1200ms);
    const auto Call = World.ask(streamed());
    THEN("requests are refused, and no target hears of them") {
      CHECK(Call->reason() == "no_configuration");
      CHECK(Call->outcome() == "not_run");
      CHECK(World.runs() == 0);
    }
  }
  World.checkAtRest();
}

SCENARIO("an engine that is dying breaks the first question for its state") {
  World World(2, 0);
  for (auto &Engine : World.m_Targets)
    Engine->m_DiesWhenAsked = true;
  World.m_Script = {Act::CutMiddle};
  const auto Call = World.send(streamed());
  THEN("it is asked again, and its crash is seen") {
    REQUIRE(World.m_Loop.until([&] { return World.report().crashes_size(); }));
    CHECK(World.m_Targets[0]->isUp() != World.m_Targets[1]->isUp());
  }
  REQUIRE(World.m_Loop.until([&] { return Call->m_Ended; }));
  World.checkAtRest();
}

SCENARIO("a request that crashes whatever runs it") {
  World World(4, 0);
  Ask Poison = streamed();
  Poison.m_Body["prompt"] = "poison";
  std::size_t Lost = 0;
  for (int I = 0; I < 10; ++I) {
    World.m_Script = {Act::Silent, Act::Silent, Act::Silent};
    const auto Call = World.send(Poison);
    REQUIRE(World.m_Loop.until([&] {
      for (auto &Engine : World.m_Targets)
        if (Engine->isUp() && !Engine->m_Runs.empty()) {
          Engine->crash();
          ++Lost;
        }
      return Call->m_Ended;
    }));
    CHECK(Call->outcome() != "completed");
  }
  THEN("it takes two targets at most and is refused from then on") {
    CHECK(Lost == 2);
    CHECK(World.refusals(Refusal::Quarantined) >= 9);
    CHECK(World.report().crashes_size() == 2);
    AND_THEN("others are served") {
      World.m_Script.clear();
      CHECK(World.ask(streamed())->outcome() == "completed");
    }
  }
  World.checkAtRest();
}
