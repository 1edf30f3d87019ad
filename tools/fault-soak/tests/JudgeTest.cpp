#include "Judge.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::soak;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

/// One request to entry 0, sent a minute after the start.
struct Story {
  Judge m_Judge{{}, true};
  Sent m_Sent;

  explicit Story(Kind What) {
    m_Judge.routesSent(1, {{"book", {"alpha"}}});
    m_Judge.routesAcknowledged(1, Start);
    m_Sent.m_Id = "r-1";
    m_Sent.m_Route = "book";
    m_Sent.m_Kind = What;
    m_Sent.m_OnKeptConnection = true;
    m_Sent.m_At = Start + 60s;
    m_Sent.m_Deadline = m_Sent.m_At + 5s;
  }
  void send() { m_Judge.sent(m_Sent); }
  std::size_t run(Duration After, const std::string &Service = "alpha",
                  unsigned Target = 3) {
    return m_Judge.began(
        "r-1", {Target, Service, "stamp", "body", m_Sent.m_At + After, {}});
  }
  void answer(Duration After, std::size_t Number = 0) {
    m_Judge.answered("r-1", Number, m_Sent.m_At + After);
  }
  void end(Duration After, int Status, const std::string &Body = "body") {
    Ending Got;
    Got.m_Status = Status;
    Got.m_Id = "r-1";
    Got.m_Stamp = "stamp";
    Got.m_Body = Body;
    Got.m_At = m_Sent.m_At + After;
    m_Judge.ended("r-1", Got);
  }
  void cut(Duration After, const std::string &Body = "") {
    Ending Got;
    Got.m_IsBroken = true;
    Got.m_Status = Body.empty() ? 0 : 200;
    Got.m_Body = Body;
    Got.m_At = m_Sent.m_At + After;
    m_Judge.ended("r-1", Got);
  }
  std::string rules() {
    std::string Found;
    for (const Violation &Each : m_Judge.take())
      Found += Each.m_Rule + ' ';
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
    Story On(Kind::Unsafe);
    On.send();
    WHEN("it runs and is answered") {
      On.run(5ms);
      On.answer(20ms);
      THEN("a whole answer is right") {
        On.end(21ms, 200);
        CHECK(On.rules().empty());
      }
      THEN("another body or status promise is not") {
        On.end(21ms, 200, "other");
        CHECK(On.rules() == "MIXED ");
      }
      THEN("a refusal is not") {
        On.end(21ms, 503);
        CHECK(On.rules() == "REFUSED ");
      }
      THEN("a closed connection is not") {
        On.cut(21ms);
        CHECK(On.rules() == "LOST ");
      }
      THEN("a second run is not") {
        On.run(30ms);
        CHECK(On.rules() == "TWICE ");
      }
    }
    WHEN("it is refused") {
      On.end(3ms, 503);
      CHECK(On.rules().empty());
      THEN("it never runs later") {
        On.run(10ms);
        CHECK(On.rules() == "REFUSED ");
      }
    }
    WHEN("its connection ends while a disturbance excuses it") {
      On.run(5ms);
      SECTION("the entry was killed") {
        On.m_Judge.disturbed(Part::Entry, 0, Start + 60s, Start + 61s);
      }
      SECTION("the target crashed") {
        On.m_Judge.disturbed(Part::Target, 3, Start + 60s, Start + 61s);
      }
      SECTION("the link was reset") {
        On.m_Judge.disturbed(Part::Link, linkNumber(0, 3), Start + 60s,
                             Start + 61s);
      }
      On.cut(20ms);
      CHECK(On.rules().empty());
    }
    WHEN("disturbances concern others, or are over") {
      On.run(5ms);
      On.m_Judge.disturbed(Part::Entry, 1, Start + 60s, Start + 61s);
      On.m_Judge.disturbed(Part::Target, 2, Start + 60s, Start + 61s);
      On.m_Judge.disturbed(Part::Link, linkNumber(3, 0), Start + 60s,
                           Start + 61s);
      On.m_Judge.disturbed(Part::Entry, 0, Start + 40s, Start + 50s);
      On.cut(20ms);
      CHECK(On.rules() == "LOST ");
    }
    WHEN("it goes to a service of an older configuration") {
      On.m_Judge.routesSent(2, {{"book", {"beta"}}});
      SECTION("that was replaced long ago") {
        On.m_Judge.routesAcknowledged(2, Start + 50s);
        On.run(5ms);
        CHECK(On.rules() == "CONFIG ");
      }
      SECTION("that was replaced just now") {
        On.m_Judge.routesAcknowledged(2, Start + 59s);
        On.run(5ms);
        CHECK(On.rules().empty());
      }
      SECTION("that never was") {
        On.run(5ms, "gamma");
        CHECK(On.rules() == "ROUTE ");
      }
    }
    WHEN("its route is not found, though it is in force") {
      On.end(5ms, 404);
      CHECK(On.rules() == "CONFIG ");
    }
    WHEN("its target has left") {
      On.m_Judge.leaveAcknowledged(3, Start + 55s);
      SECTION("and it is sent there all the same") {
        On.run(5ms);
        CHECK(On.rules() == "DRAIN ");
      }
      SECTION("and another has taken its address") {
        On.m_Judge.targetStarted(3);
        On.run(5ms);
        CHECK(On.rules().empty());
      }
    }
  }
  GIVEN("requests around the stop of their entry") {
    Story On(Kind::Unsafe);
    WHEN("one is sent early, and its target works until the end of the grace") {
      On.m_Judge.stopAsked(0, On.m_Sent.m_At - 2s);
      On.m_Sent.m_Deadline = On.m_Sent.m_At + 20s;
      On.send();
      On.run(5ms);
      SECTION("its end is allowed in the last sixth") {
        On.cut(5'500ms);
        CHECK(On.rules().empty());
      }
      SECTION("but not before") {
        On.cut(4s);
        CHECK(On.rules() == "LOST ");
      }
    }
    WHEN("one is read on a kept connection, and never passed on or answered") {
      On.m_Judge.stopAsked(0, On.m_Sent.m_At - 2s);
      On.send();
      On.cut(1s);
      CHECK(On.rules() == "LOST ");
    }
  }
  GIVEN("a stream") {
    Story On(Kind::Stream);
    On.send();
    On.run(5ms);
    THEN("all events in order are right") {
      On.answer(20ms);
      On.end(21ms, 200, events(1, 4));
      CHECK(On.rules().empty());
    }
    THEN("a missing, doubled or foreign event, or another version, is not") {
      On.answer(20ms);
      SECTION("missing") {
        On.end(21ms, 200, events(1, 2) + events(4, 4));
        CHECK(On.rules() == "ORDER ");
      }
      SECTION("doubled") {
        On.end(21ms, 200, events(1, 2) + events(2, 4));
        CHECK(On.rules() == "ORDER ");
      }
      SECTION("foreign") {
        On.end(21ms, 200, events(1, 3) + eventText(4, 4, "r-2", "v1"));
        CHECK(On.rules() == "MIXED ");
      }
      SECTION("version") {
        On.end(21ms, 200, events(1, 3) + events(4, 4, "v2"));
        CHECK(On.rules() == "ORDER ");
      }
    }
    THEN("an early end that looks complete is not") {
      On.end(21ms, 200, events(1, 3));
      CHECK(On.rules() == "ORDER ");
    }
    THEN("one that is broken off must not miss events either") {
      On.m_Judge.disturbed(Part::Target, 3, Start + 60s, Start + 61s);
      On.cut(21ms, events(1, 1) + events(3, 3));
      CHECK(On.rules() == "ORDER ");
    }
  }
  GIVEN("an entry that refuses most requests") {
    Story On(Kind::Safe);
    int Next = 0;
    const auto Refuse = [&](TimePoint At) {
      for (int I = 0; I < 20; ++I) {
        On.m_Sent.m_Id = "r-" + std::to_string(++Next);
        On.m_Sent.m_At = At;
        On.send();
      }
      On.m_Judge.checkService(At);
    };
    // The first look opens the entry's window.
    Refuse(Start);
    Refuse(Start + 1s);
    CHECK(On.rules().empty());
    WHEN("nothing is wrong around it") {
      Refuse(Start + 5s);
      CHECK(On.rules() == "SERVED ");
    }
    WHEN("one target is away") {
      On.m_Judge.disturbed(Part::Target, 1, Start, Start + 5s);
      Refuse(Start + 5s);
      CHECK(On.rules() == "SERVED ");
    }
    WHEN("two targets are away") {
      On.m_Judge.disturbed(Part::Target, 1, Start, Start + 5s);
      On.m_Judge.disturbed(Part::Target, 2, Start, Start + 5s);
      Refuse(Start + 5s);
      CHECK(On.rules().empty());
    }
    WHEN("it is cut off itself") {
      On.m_Judge.disturbed(Part::Cut, 0, Start + 2s, Start + 3s);
      Refuse(Start + 5s);
      CHECK(On.rules().empty());
    }
  }
  GIVEN("an entry that is cut off from all targets, and another") {
    Story On(Kind::Safe);
    On.m_Judge.disturbed(Part::Cut, 0, Start, Start + 9s);
    int Next = 0;
    const auto Ask = [&](unsigned Entry, TimePoint At, int Status) {
      for (int I = 0; I < 40; ++I) {
        On.m_Sent.m_Id = "r-" + std::to_string(++Next);
        On.m_Sent.m_Entry = Entry;
        On.m_Sent.m_At = At;
        On.send();
        Ending Got;
        Got.m_Status = Status;
        Got.m_At = At;
        On.m_Judge.ended(On.m_Sent.m_Id, Got);
      }
      (void)On.m_Judge.take();
    };
    Ask(1, Start + 5s, 200);
    WHEN("it refuses for longer than it may") {
      Ask(0, Start + 5s, 503);
      On.m_Judge.checkCuts(Start + 10s);
      CHECK(On.rules() == "RECOVER ");
    }
    WHEN("it serves by other ways") {
      Ask(0, Start + 5s, 200);
      On.m_Judge.checkCuts(Start + 10s);
      CHECK(On.rules().empty());
    }
    WHEN("it refuses only at the beginning") {
      Ask(0, Start + 2s, 503);
      On.m_Judge.checkCuts(Start + 10s);
      CHECK(On.rules().empty());
    }
  }
}
