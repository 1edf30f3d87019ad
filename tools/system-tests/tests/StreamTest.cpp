#include "Streams.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace wasabivale;
using namespace wasabivale::systemtests;
using namespace std::chrono_literals;

SCENARIO("callers get their whole answers though targets and entries fail") {
  System Running({1, 2, 3, 1, {}}, 29000);
  GIVEN("streams on every engine") {
    const Streams Got = startStreams(Running, 12, 60);
    WHEN("an engine crashes") {
      Running.fault(
          {{"target", "engine-1"}, {"fault", "crash"}, {"restart_ms", 500}});
      waitForEnd(Running, Got);
      THEN("every stream goes on elsewhere and is whole") {
        checkAllWhole(Got);
      }
    }
    WHEN("a stream of every engine is cut") {
      for (const char *Engine : {"engine-1", "engine-2", "engine-3"})
        Running.fault(
            {{"target", Engine}, {"fault", "cut"}, {"after_tokens", 10}});
      waitForEnd(Running, Got);
      THEN("every stream is whole") {
        CHECK(Running.judged("run_cut").size() == 3);
        checkAllWhole(Got);
      }
    }
    WHEN("an entry is killed") {
      Running.m_Entries[0]->signal(SIGKILL);
      waitForEnd(Running, Got);
      THEN("its callers see a broken stream, the others a whole one") {
        for (std::size_t I = 0; I < Got.m_Answers.size(); ++I) {
          checkWholeOrKnown(Got, I);
          CHECK(Got.m_Answers[I]->m_Done == (I % 2 == 1));
        }
      }
      AND_THEN("a resend to another entry is answered whole") {
        Streams Again;
        Again.m_Tokens = 60;
        addStream(Again, Running, 2);
        waitForEnd(Running, Again);
        checkAllWhole(Again);
      }
    }
    WHEN("an entry is asked to stop") {
      Running.m_Entries[0]->signal(SIGTERM);
      waitForEnd(Running, Got);
      THEN("its streams are finished first, and it exits in order") {
        checkAllWhole(Got);
        CHECK(Running.m_Entries[0]->wait() == 0);
      }
    }
  }
  GIVEN("engines that refuse, stall and answer late") {
    for (const char *Fault : {"refuse", "late", "stall"})
      for (const char *Engine : {"engine-1", "engine-2"})
        Running.fault({{"target", Engine}, {"fault", Fault}, {"ms", 300}});
    const Streams Got = startStreams(Running, 8, 60);
    waitForEnd(Running, Got);
    THEN("every answer is whole") { checkAllWhole(Got); }
  }
}

SCENARIO("a request that crashes engines is quarantined") {
  System Running({1, 2, 4, 0, {}}, 29000);
  for (const char *Engine : {"engine-1", "engine-2", "engine-3", "engine-4"})
    Running.fault({{"target", Engine},
                   {"fault", "crash_on_fingerprint"},
                   {"text", "poison"},
                   {"restart_ms", 300}});
  const auto Send = [&Running](int Entry) {
    const auto Got = Running.complete(Entry, "some poison", 5);
    REQUIRE(Running.turnUntil([&] { return Got->m_Ended; }));
    CHECK(!Got->m_Done);
    return *Got;
  };
  // What one entry learns holds for both.
  for (const int Entry : {1, 2}) {
    std::string Body;
    for (int Sent = 0; Sent < 5 && Body.find("\"quarantined\"") == Body.npos;
         ++Sent)
      Body = Send(Entry).m_Body;
    INFO(Body);
    CHECK(Body.find("\"quarantined\"") != Body.npos);
  }
  const std::size_t Crashes = Running.judged("target_crashed").size();
  CHECK(Crashes <= 2);
  for (int Sent = 0; Sent < 4; ++Sent) {
    Running.turnFor(500ms);
    CHECK(Send(1 + Sent % 2).m_Outcome == "not_run");
  }
  CHECK(Running.judged("target_crashed").size() == Crashes);
  Streams Others = startStreams(Running, 8, 30);
  waitForEnd(Running, Others);
  checkAllWhole(Others);
}
