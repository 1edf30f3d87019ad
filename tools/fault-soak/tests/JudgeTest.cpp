#include "Judge.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace wasabivale;
using namespace wasabivale::soak;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

/// One request to entry 0, sent a minute after the start.
struct Story {
  Judge m_Judge{{}, true};
  Sent m_Sent;
  bool m_IsOnOldConnection = false;

  explicit Story(Kind Value) {
    m_Judge.routesSent(1, {{"book", {"alpha"}}});
    m_Judge.routesAcknowledged(1, Start);
    m_Sent.m_Id = "r-1";
    m_Sent.m_Route = "book";
    m_Sent.m_Kind = Value;
    m_Sent.m_OnKeptConnection = true;
    m_Sent.m_SentAt = Start + 60s;
    m_Sent.m_Deadline = m_Sent.m_SentAt + 5s;
  }
  void send() { m_Judge.sent(m_Sent); }
  std::size_t run(Duration After, const std::string &Service = "alpha",
                  unsigned Target = 3) {
    return m_Judge.began(
        "r-1", {Target, Service, "stamp", "body", m_Sent.m_SentAt + After, {}});
  }
  void answer(Duration After, std::size_t Number = 0) {
    m_Judge.answered("r-1", Number, m_Sent.m_SentAt + After);
  }
  void end(Duration After, int Status, const std::string &Body = "body") {
    Ending Got;
    Got.m_Status = Status;
    Got.m_Id = "r-1";
    Got.m_Stamp = "stamp";
    Got.m_Body = Body;
    Got.m_EndedAt = m_Sent.m_SentAt + After;
    Got.m_IsOnOldConnection = m_IsOnOldConnection;
    m_Judge.ended("r-1", Got);
  }
  void cut(Duration After, const std::string &Body = "") {
    Ending Got;
    Got.m_IsBroken = true;
    Got.m_Status = Body.empty() ? 0 : 200;
    Got.m_Body = Body;
    Got.m_EndedAt = m_Sent.m_SentAt + After;
    Got.m_IsOnOldConnection = m_IsOnOldConnection;
    m_Judge.ended("r-1", Got);
  }
  std::string rules() {
    std::string Found;
    for (const Violation &Broken : m_Judge.take())
      Found += Broken.m_Rule + ' ';
    return Found;
  }
};

std::string events(std::uint64_t First, std::uint64_t Last,
                   const std::string &Version = "v1") {
  std::string Text;
  for (std::uint64_t Id = First; Id <= Last; ++Id)
    Text += eventText(Id, 4, "r-1", Version);
  return Text;
}

} // namespace

SCENARIO("a request is judged by what its caller and its targets see") {
  GIVEN("a booking, which may run once") {
    Story Case(Kind::Unsafe);
    Case.send();
    WHEN("it runs and is answered") {
      Case.run(5ms);
      Case.answer(20ms);
      THEN("a whole answer is right") {
        Case.end(21ms, 200);
        CHECK(Case.rules().empty());
      }
      THEN("another body or status promise is not") {
        Case.end(21ms, 200, "other");
        CHECK(Case.rules() == "MIXED ");
      }
      THEN("a refusal is not") {
        Case.end(21ms, 503);
        CHECK(Case.rules() == "REFUSED ");
      }
      THEN("a closed connection is not") {
        Case.cut(21ms);
        CHECK(Case.rules() == "LOST ");
      }
      THEN("a second run is not") {
        Case.run(30ms);
        CHECK(Case.rules() == "TWICE ");
      }
    }
    WHEN("it is refused") {
      Case.end(3ms, 503);
      CHECK(Case.rules().empty());
      THEN("it never runs later") {
        Case.run(10ms);
        CHECK(Case.rules() == "REFUSED ");
      }
    }
    WHEN("its connection ends while a disturbance excuses it") {
      Case.run(5ms);
      SECTION("the entry was killed") {
        Case.m_Judge.disturbed(Part::Entry, 0, Start + 60s, Start + 61s);
      }
      SECTION("the target crashed") {
        Case.m_Judge.disturbed(Part::Target, 3, Start + 60s, Start + 61s);
      }
      SECTION("the link was reset") {
        Case.m_Judge.disturbed(Part::Link, linkNumber(0, 3), Start + 60s,
                               Start + 61s);
      }
      Case.cut(20ms);
      CHECK(Case.rules().empty());
    }
    WHEN("disturbances concern others, or are over") {
      Case.run(5ms);
      Case.m_Judge.disturbed(Part::Entry, 1, Start + 60s, Start + 61s);
      Case.m_Judge.disturbed(Part::Target, 2, Start + 60s, Start + 61s);
      Case.m_Judge.disturbed(Part::Link, linkNumber(3, 0), Start + 60s,
                             Start + 61s);
      Case.m_Judge.disturbed(Part::Entry, 0, Start + 40s, Start + 50s);
      Case.cut(20ms);
      CHECK(Case.rules() == "LOST ");
    }
    WHEN("it goes to a service of an older configuration") {
      Case.m_Judge.routesSent(2, {{"book", {"beta"}}});
      SECTION("that was replaced long ago") {
        Case.m_Judge.routesAcknowledged(2, Start + 50s);
        Case.run(5ms);
        CHECK(Case.rules() == "CONFIG ");
      }
      SECTION("that was replaced just now") {
        Case.m_Judge.routesAcknowledged(2, Start + 59s);
        Case.run(5ms);
        CHECK(Case.rules().empty());
      }
      SECTION("that never was") {
        Case.run(5ms, "gamma");
        CHECK(Case.rules() == "ROUTE ");
      }
    }
    WHEN("its route is not found, though it is in force") {
      Case.end(5ms, 404);
      CHECK(Case.rules() == "CONFIG ");
    }
    WHEN("its target has left") {
      Case.m_Judge.leaveAcknowledged(3, Start + 55s);
      SECTION("and it is sent there all the same") {
        Case.run(5ms);
        CHECK(Case.rules() == "DRAIN ");
      }
      SECTION("and another has taken its address") {
        Case.m_Judge.targetStarted(3);
        Case.run(5ms);
        CHECK(Case.rules().empty());
      }
    }
  }
  GIVEN("requests around the stop of their entry") {
    Story Case(Kind::Unsafe);
    WHEN("one is sent early, and its target works until the end of the grace") {
      Case.m_Judge.stopAsked(0, Case.m_Sent.m_SentAt - 2s);
      Case.m_Sent.m_Deadline = Case.m_Sent.m_SentAt + 20s;
      Case.send();
      Case.run(5ms);
      SECTION("its end is allowed in the last sixth") {
        Case.cut(5'500ms);
        CHECK(Case.rules().empty());
      }
      SECTION("but not before") {
        Case.cut(4s);
        CHECK(Case.rules() == "LOST ");
      }
    }
    WHEN("one is read on a kept connection, and never passed on or answered") {
      Case.m_Judge.stopAsked(0, Case.m_Sent.m_SentAt - 2s);
      Case.send();
      Case.cut(1s);
      CHECK(Case.rules() == "LOST ");
    }
  }
  GIVEN("requests to an entry that nobody has asked to stop") {
    Story Case(Kind::Safe);
    WHEN("a connection in use ends at once, without an answer") {
      Case.send();
      Case.cut(5ms);
      CHECK(Case.rules() == "LOST ");
    }
    WHEN("its entry was killed") {
      Case.m_Judge.disturbed(Part::Entry, 0, Case.m_Sent.m_SentAt,
                             Case.m_Sent.m_SentAt);
      Case.send();
      Case.cut(5ms);
      CHECK(Case.rules().empty());
    }
    WHEN("the connection was new") {
      Case.m_Sent.m_OnKeptConnection = false;
      Case.send();
      Case.cut(5ms);
      CHECK(Case.rules().empty());
    }
  }
  GIVEN("a stream") {
    Story Case(Kind::Stream);
    Case.send();
    Case.run(5ms);
    THEN("all events in order are right") {
      Case.answer(20ms);
      Case.end(21ms, 200, events(1, 4));
      CHECK(Case.rules().empty());
    }
    THEN("a missing, doubled or foreign event, or another version, is not") {
      Case.answer(20ms);
      SECTION("missing") {
        Case.end(21ms, 200, events(1, 2) + events(4, 4));
        CHECK(Case.rules() == "ORDER ");
      }
      SECTION("doubled") {
        Case.end(21ms, 200, events(1, 2) + events(2, 4));
        CHECK(Case.rules() == "ORDER ");
      }
      SECTION("foreign") {
        Case.end(21ms, 200, events(1, 3) + eventText(4, 4, "r-2", "v1"));
        CHECK(Case.rules() == "MIXED ");
      }
      SECTION("version") {
        Case.end(21ms, 200, events(1, 3) + events(4, 4, "v2"));
        CHECK(Case.rules() == "ORDER ");
      }
    }
    THEN("an early end that looks complete is not") {
      Case.end(21ms, 200, events(1, 3));
      CHECK(Case.rules() == "ORDER ");
    }
    THEN("one that is broken off must not miss events either") {
      Case.m_Judge.disturbed(Part::Target, 3, Start + 60s, Start + 61s);
      Case.cut(21ms, events(1, 1) + events(3, 3));
      CHECK(Case.rules() == "ORDER ");
    }
  }
  GIVEN("an entry that refuses most requests") {
    Story Case(Kind::Safe);
    int Next = 0;
    const auto Refuse = [&](TimePoint Now) {
      for (int I = 0; I < 20; ++I) {
        Case.m_Sent.m_Id = "r-" + std::to_string(++Next);
        Case.m_Sent.m_SentAt = Now;
        Case.send();
      }
      Case.m_Judge.checkService(Now);
    };
    // The first look opens the entry's window.
    Refuse(Start);
    Refuse(Start + 1s);
    CHECK(Case.rules().empty());
    WHEN("nothing is wrong around it") {
      Refuse(Start + 5s);
      CHECK(Case.rules() == "SERVED ");
    }
    WHEN("one target is away") {
      Case.m_Judge.disturbed(Part::Target, 1, Start, Start + 5s);
      Refuse(Start + 5s);
      CHECK(Case.rules() == "SERVED ");
    }
    WHEN("two targets are away") {
      Case.m_Judge.disturbed(Part::Target, 1, Start, Start + 5s);
      Case.m_Judge.disturbed(Part::Target, 2, Start, Start + 5s);
      Refuse(Start + 5s);
      CHECK(Case.rules().empty());
    }
    WHEN("it is cut off itself") {
      Case.m_Judge.disturbed(Part::Cut, 0, Start + 2s, Start + 3s);
      Refuse(Start + 5s);
      CHECK(Case.rules().empty());
    }
  }
  GIVEN("an entry that is cut off from all targets, and another") {
    Story Case(Kind::Safe);
    Case.m_Judge.disturbed(Part::Cut, 0, Start, Start + 9s);
    int Next = 0;
    const auto Ask = [&](unsigned Entry, TimePoint Now, int Status) {
      for (int I = 0; I < 40; ++I) {
        Case.m_Sent.m_Id = "r-" + std::to_string(++Next);
        Case.m_Sent.m_Entry = Entry;
        Case.m_Sent.m_SentAt = Now;
        Case.send();
        Ending Got;
        Got.m_Status = Status;
        Got.m_EndedAt = Now;
        Case.m_Judge.ended(Case.m_Sent.m_Id, Got);
      }
      (void)Case.m_Judge.take();
    };
    Ask(1, Start + 5s, 200);
    WHEN("it refuses for longer than it may") {
      Ask(0, Start + 5s, 503);
      Case.m_Judge.checkCuts(Start + 10s);
      CHECK(Case.rules() == "RECOVER ");
    }
    WHEN("it serves by other ways") {
      Ask(0, Start + 5s, 200);
      Case.m_Judge.checkCuts(Start + 10s);
      CHECK(Case.rules().empty());
    }
    WHEN("it refuses while the other is cut off too, and after") {
      Case.m_Judge.disturbed(Part::Cut, 1, Start + 5500ms, Start + 7s);
      Ask(0, Start + 6s, 503);
      Case.m_Judge.checkCuts(Start + 10s);
      CHECK(Case.rules().empty());
      Ask(0, Start + 8s, 503);
      Case.m_Judge.checkCuts(Start + 10s);
      CHECK(Case.rules() == "RECOVER ");
    }
    WHEN("it refuses while the other stops, and long before") {
      Case.m_Judge.disturbed(Part::Start, 1, Start + 8s, Start + 9s);
      Ask(0, Start + 8500ms, 503);
      Case.m_Judge.checkCuts(Start + 10s);
      CHECK(Case.rules().empty());
      Ask(0, Start + 6s, 503);
      Case.m_Judge.checkCuts(Start + 10s);
      CHECK(Case.rules() == "RECOVER ");
    }
    WHEN("it refuses only at the beginning") {
      Ask(0, Start + 2s, 503);
      Case.m_Judge.checkCuts(Start + 10s);
      CHECK(Case.rules().empty());
    }
  }
}

SCENARIO("a process that was asked to stop exits with code 0 in its grace") {
  Story Case(Kind::Safe);
  ProcessEnd Ended;
  Ended.m_Name = "entry-0";
  Ended.m_StartedAt = Start;
  const auto RulesOf = [&](int Status) {
    Ended.m_Status = Status;
    Case.m_Judge.processEnded(Ended, Start + 30s);
    return Case.rules();
  };
  GIVEN("a process that nobody asked to stop") {
    THEN("any end is a violation") {
      CHECK(RulesOf(0) == "ENDED ");
      CHECK(RulesOf(1) == "ENDED ");
      CHECK(RulesOf(-SIGSEGV) == "ENDED ");
      CHECK(RulesOf(-SIGKILL) == "ENDED ");
    }
  }
  GIVEN("a process that a fault has killed") {
    Ended.m_WasKilled = true;
    CHECK(RulesOf(-SIGKILL).empty());
    THEN("it has not ended another way before") {
      CHECK(RulesOf(-SIGABRT) == "ENDED ");
      CHECK(RulesOf(0) == "ENDED ");
    }
  }
  GIVEN("a process that was asked to stop") {
    Ended.m_StopAskedAt = Start + 20s;
    CHECK(RulesOf(0).empty());
    THEN("another code or signal is a violation") {
      CHECK(RulesOf(1) == "ENDED ");
      CHECK(RulesOf(-SIGABRT) == "ENDED ");
      CHECK(RulesOf(-SIGTERM) == "ENDED ");
      CHECK(RulesOf(-SIGKILL) == "ENDED ");
    }
    WHEN("a fault kills it meanwhile") {
      Ended.m_WasKilled = true;
      CHECK(RulesOf(-SIGKILL).empty());
      CHECK(RulesOf(0).empty());
      CHECK(RulesOf(-SIGABRT) == "ENDED ");
    }
    WHEN("its grace is over") {
      Ended.m_IsOverGrace = true;
      CHECK(RulesOf(-SIGKILL) == "ENDED ");
      AND_WHEN("it stood still for a part of it") {
        Ended.m_WasPausedInStop = true;
        CHECK(RulesOf(-SIGKILL).empty());
        CHECK(RulesOf(-SIGSEGV) == "ENDED ");
      }
    }
  }
  GIVEN("a process that was asked to stop as it started") {
    Ended.m_StopAskedAt = Start + 20ms;
    THEN("the signal may end it before it has a handler") {
      CHECK(RulesOf(-SIGTERM).empty());
      CHECK(RulesOf(-SIGABRT) == "ENDED ");
      CHECK(RulesOf(2) == "ENDED ");
    }
  }
}

SCENARIO("what a sanitizer writes to a log is a violation") {
  Story Case(Kind::Safe);
  Case.m_Judge.sanitizerReported("entry-0", "runtime error: overflow", Start);
  CHECK(Case.rules() == "SANITIZER ");
}

SCENARIO("members of control whose states differ are a violation") {
  Story Case(Kind::Safe);
  Case.m_Judge.stateDiverged("error 6012 state_diverged member=c2", Start);
  CHECK(Case.rules() == "STATE ");
}

SCENARIO("a run of waves shows that calls came late on old connections") {
  Story Case(Kind::Unsafe);
  const auto Check = [&] {
    Case.m_Judge.checkOldConnections(Start + 80s);
    return Case.rules();
  };
  const Judge::Counts &Seen = Case.m_Judge.counts();
  GIVEN("no call on an old connection") {
    THEN("the run shows nothing, and fails") { CHECK(Check() == "COVERAGE "); }
  }
  GIVEN("a call 3 s after the SIGTERM") {
    Case.m_IsOnOldConnection = true;
    Case.m_Judge.stopAsked(0, Case.m_Sent.m_SentAt - 3s);
    Case.send();
    Case.run(1ms);
    Case.end(5ms, 200);
    THEN("it is too early to show anything") {
      CHECK(Seen.m_OldAfter2800.m_Sent == 1);
      CHECK(Seen.m_OldAfter4000.m_Sent == 0);
      CHECK(Check() == "COVERAGE ");
    }
  }
  GIVEN("a call 4.5 s after the SIGTERM") {
    Case.m_Judge.stopAsked(0, Case.m_Sent.m_SentAt - 4500ms);
    Case.send();
    WHEN("it is on a connection that was made after the SIGTERM") {
      Case.run(1ms);
      Case.end(5ms, 200);
      CHECK(Seen.m_OldAfter2800.m_Sent == 0);
      CHECK(Check() == "COVERAGE ");
    }
    Case.m_IsOnOldConnection = true;
    WHEN("it is taken and answered") {
      Case.run(1ms);
      Case.end(5ms, 200);
      CHECK(Seen.m_OldAfter4000.m_Sent == 1);
      CHECK(Seen.m_OldAfter4000.m_Taken == 1);
      CHECK(Seen.m_OldAfter6000.m_Sent == 0);
      CHECK(Check().empty());
    }
    WHEN("it is refused") {
      Case.end(5ms, 503);
      CHECK(Seen.m_OldAfter4000.m_Refused == 1);
      CHECK(Seen.m_OldAfter4000.m_Taken == 0);
      CHECK(Check().empty());
    }
    WHEN("its connection is closed unread") {
      Case.cut(5ms);
      CHECK(Seen.m_OldAfter4000.m_Closed == 1);
      CHECK(Check().empty());
    }
    WHEN("it is taken, and its connection is closed before the answer") {
      Case.run(1ms);
      Case.cut(15ms);
      THEN("it is lost, as the users saw it") {
        CHECK(Seen.m_OldAfter4000.m_Taken == 1);
        CHECK(Check() == "LOST ");
      }
    }
  }
}
