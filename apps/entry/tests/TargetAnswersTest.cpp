// What targets answer beside the answer itself, through the whole data path.

#include "CutAnswer.h"
#include "Shop.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace wasabivale::entry::test {

namespace {

Play errors(int Status, bool IsSigned) {
  return [=](const Exchange &Arrived) {
    Arrived->relay(Status, IsSigned ? stamped(Arrived) : http::Fields{},
                   "the target has failed");
  };
}

http::Fields with(const Exchange &Request, const std::string &Name,
                  const std::string &Value) {
  http::Fields Fields = stamped(Request);
  Fields.emplace_back(Name, Value);
  return Fields;
}

} // namespace

SCENARIO("an error does not stand in the middle of a stream") {
  for (const bool IsSigned : {true, false})
    for (const int Status : {200, 204, 400, 404, 409, 429, 500, 503}) {
      INFO(Status << (IsSigned ? " signed" : " unsigned"));
      Shop Fixture;
      // Fresh runs stall after two events; resumed ones get the error.
      const Play Target = [&](const Exchange &Arrived) {
        if (http::field(Arrived->request().m_Fields, "seen").empty())
          return streams(2, false)(Arrived);
        errors(Status, IsSigned)(Arrived);
      };
      Fixture.open({Target, Target});
      const std::string Got = Fixture.askRaw("POST", "/note/7");
      CHECK(Fixture.m_Seen.size() >= 2);
      CHECK(Got.find(eventText(2)) != Got.npos);
      CHECK(Got.rfind("HTTP/1.1") == 0);
      CHECK(Got.find("the target has failed") == Got.npos);
      // The last chunk would say that the stream is complete.
      CHECK(Got.find("\r\n0\r\n") == Got.npos);
    }
}

SCENARIO("text that is no event breaks a stream off") {
  for (const char *Text :
       {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n",
        "{\"error\": {\"code\": 1}}\n\n", "upstream failed\n\n"}) {
    INFO(Text);
    Shop Fixture;
    Fixture.open({[&](const Exchange &Arrived) {
      http::Fields Head = stamped(Arrived);
      Head.emplace_back("Content-Type", "text/event-stream");
      Arrived->startRelay(200, Head);
      Arrived->write(eventText(1) + Text);
      Arrived->finish();
    }});
    const Answered Got = Fixture.ask("POST", "/advice/7");
    CHECK(Got.m_Status == 0);
    // The event before it may be lost with the connection.
    CHECK((Got.m_Body.empty() || Got.m_Body == eventText(1)));
  }
}

SCENARIO("a target's answer that is cut anywhere is not whole to callers") {
  const std::string Signed = "Signed: s-1\r\nAttempt: r-1\r\n";
  const std::string Streamed = "Content-Type: text/event-stream\r\n" + Signed;
  struct Row {
    const char *m_Path;
    std::string m_Fields;
    std::string m_Body;
  };
  for (const Row &Case :
       {Row{"/book/7", Signed, "the answer"},
        Row{"/advice/7", Streamed, eventText(1) + eventText(2)}})
    for (const WholeAnswer &Answer : wholeAnswers(Case.m_Fields, Case.m_Body))
      for (const CutBy Ending : {CutBy::Close, CutBy::Reset})
        for (std::size_t Cut = 0; Cut <= Answer.m_Bytes.size();
             Cut += Ending == CutBy::Reset ? 3 : 1) {
          const std::string Body =
              Cut < Answer.m_HeadBytes
                  ? ""
                  : Answer.m_Bytes.substr(Answer.m_HeadBytes,
                                          Cut - Answer.m_HeadBytes);
          // Where the connection's end is the answer's, a shorter body that
          // closes in order is whole, but no stream ends within an event.
          const bool IsStream = Case.m_Fields == Streamed;
          const bool MayBeWhole =
              Ending == CutBy::Close && Cut >= Answer.m_HeadBytes &&
              Answer.m_EndsWithConnection &&
              (!IsStream || Body.empty() || Body == eventText(1));
          if (Cut == Answer.m_Bytes.size() || MayBeWhole)
            continue;
          INFO(Case.m_Path << " " << Answer.m_Name << " at " << Cut
                           << (Ending == CutBy::Reset ? ", reset" : ""));
          Shop Fixture;
          Fixture.addForeign();
          const CutAnswer Target(Fixture.m_Loop.m_Base, FirstPort,
                                 Answer.m_Bytes.substr(0, Cut), Ending);
          REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
          Fixture.grant();
          const Answered Got = Fixture.ask("POST", Case.m_Path);
          CHECK(Target.requests() >= 1);
          CHECK(Got.m_Status != 200);
        }
}

SCENARIO("a status that promises is passed on only with its proof") {
  for (const int Status : {408, 429, 503}) {
    Shop Fixture;
    Fixture.open({answers(Status, "busy")});
    CHECK(Fixture.ask("POST", "/book/7").m_Status == 502);
    CHECK(Fixture.m_Seen.size() == 1);
  }
}

SCENARIO("a repeated refusal is no promise about the next request") {
  Shop Fixture;
  // Refuses the first request, and answers every other with that refusal.
  http::Fields First;
  Fixture.open({[&](const Exchange &Arrived) {
    if (First.empty())
      First = with(Arrived, "Not-Run", "1");
    Arrived->relay(503, First, "");
  }});
  (void)Fixture.ask("POST", "/book/7");
  const std::size_t Before = Fixture.m_Seen.size();
  const Answered Got = Fixture.ask("POST", "/book/7", {{"Attempt", "r-2"}});
  REQUIRE(Fixture.m_Seen.size() > Before);
  // The caller is told nothing certain, and it runs at no second target.
  if (http::field(Fixture.m_Seen.back().m_Fields, "attempt") == "r-2")
    CHECK(Got.m_Status == 502);
}

SCENARIO("a target whose answer says that it leaves gets no new work") {
  Shop Fixture;
  bool Leaves = true;
  int Status = 200;
  int AtLeaving = 0;
  const Play Leaving = [&](const Exchange &Arrived) {
    ++AtLeaving;
    http::Fields Fields = stamped(Arrived);
    if (Leaves)
      Fields.emplace_back("Leaving", "1");
    if (Status != 200)
      Fields.emplace_back("Not-Run", "1");
    Arrived->relay(Status, Fields, "three left");
  };
  Fixture.add(Leaving);
  GIVEN("it and another") {
    Fixture.open({answers(200, "two left")});
    const auto Flood = [&] {
      for (int I = 0; I < 20; ++I)
        CHECK(Fixture.ask("GET", "/stock/7").m_Status == 200);
    };
    Flood();
    CHECK(AtLeaving <= 1);
    const auto Reported = [&] {
      wire::EntryReport Report;
      Fixture.m_Path->fillReport(Report);
      return std::vector<wire::LeavingTarget>(Report.leaving_targets().begin(),
                                              Report.leaving_targets().end());
    };
    THEN("control is told until the fleet shows it") {
      REQUIRE(AtLeaving == 1);
      for (int I = 0; I < 2; ++I) {
        REQUIRE(Reported().size() == 1);
        CHECK(Reported().front().target() == Fixture.m_Fleet.targets(0).id());
        CHECK(Reported().front().incarnation() ==
              Fixture.m_Fleet.targets(0).incarnation());
      }
      Fixture.m_Fleet.mutable_targets(0)->set_state("leaving");
      Fixture.m_Fleet.mutable_targets(0)->set_generation(2);
      Fixture.m_Fleet.set_revision(2);
      REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
      CHECK(Reported().empty());
    }
    AND_WHEN("the fleet still calls it serving, in newer words") {
      const int Before = AtLeaving;
      Fixture.m_Fleet.mutable_targets(0)->set_generation(2);
      Fixture.m_Fleet.set_revision(2);
      Fixture.m_Fleet.mutable_routes()->set_version(2);
      REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
      Flood();
      THEN("it stays closed") { CHECK(AtLeaving == Before); }
    }
    AND_WHEN("a new incarnation registers") {
      Leaves = false;
      const int Before = AtLeaving;
      Fixture.m_Fleet.mutable_targets(0)->set_incarnation("2");
      Fixture.m_Fleet.set_revision(2);
      REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
      Fixture.m_Loop.turnFor(std::chrono::milliseconds(1100));
      Flood();
      THEN("it gets work, and control is told nothing") {
        CHECK(AtLeaving > Before);
        CHECK(Reported().empty());
      }
    }
  }
  GIVEN("it alone, refusing") {
    Status = 503;
    Fixture.open({});
    CHECK(Fixture.ask("POST", "/book/7").m_Status == 503);
    THEN("nothing reaches it after its refusal") {
      CHECK(AtLeaving == 1);
      CHECK(Fixture.ask("POST", "/book/7").m_Status == 503);
      CHECK(AtLeaving == 1);
    }
  }
}

SCENARIO("a second leg does not start at a target that leaves or rests") {
  const http::Fields LongPrompt = {{"prompt", "30000"}};
  for (const bool Rests : {false, true}) {
    INFO((Rests ? "rests" : "leaves"));
    Shop Fixture;
    bool IsFull = false;
    Fixture.addEngine("prefill", [&](const Exchange &Arrived) {
      if (Arrived->request().m_Method == "POST")
        IsFull = true;
      answers(200, "h1")(Arrived);
    });
    int AtDecode = 0;
    Fixture.addEngine("decode", [&](const Exchange &Arrived) {
      ++AtDecode;
      if (Rests)
        return Arrived->relay(
            503, {{"Not-Run", "1"}, {"Attempt", "r-1"}, {"Rest-Ms", "3000"}},
            "");
      http::Fields Head = with(Arrived, "Leaving", "1");
      Head.emplace_back("Content-Type", "text/event-stream");
      Arrived->startRelay(200, Head);
      Arrived->write(eventText(1));
      Arrived->finish();
    });
    Fixture.warmUp();
    (void)Fixture.ask("POST", "/oracle/7", LongPrompt);
    CHECK(AtDecode == 1);
    const Answered Next = Fixture.ask("POST", "/oracle/8", LongPrompt);
    CHECK(Next.m_Status == 503);
    CHECK(AtDecode == 1);
  }
}

SCENARIO("a target that asks for a rest gets no request until it ends") {
  Shop Fixture;
  constexpr std::chrono::milliseconds Rest{1000};
  int AtResting = 0;
  bool Refuses = true;
  const Play Resting = [&](const Exchange &Arrived) {
    ++AtResting;
    if (!Refuses)
      return answers(200, "three left")(Arrived);
    http::Fields Fields = with(Arrived, "Not-Run", "1");
    Fields.emplace_back("Rest-Ms", std::to_string(Rest.count()));
    Arrived->relay(503, Fields, "");
  };
  GIVEN("it and another") {
    Fixture.open({Resting, answers(200, "two left")});
    for (int I = 0; I < 30; ++I)
      CHECK(Fixture.ask("GET", "/stock/7").m_Status == 200);
    THEN("the other gets all of them") { CHECK(AtResting <= 1); }
  }
  GIVEN("it alone") {
    Fixture.open({Resting});
    const TimePoint Start = BootClock::now();
    CHECK(Fixture.ask("POST", "/book/7").m_Status == 503);
    THEN("a request is refused at once, until the first target has rested") {
      const TimePoint Sent = BootClock::now();
      const Answered Got = Fixture.ask("POST", "/book/7");
      CHECK(BootClock::now() - Sent < std::chrono::milliseconds(300));
      CHECK(Got.m_Status == 503);
      CHECK(AtResting == 1);
      const std::string After(http::field(Got.m_Fields, "retry-after"));
      REQUIRE_FALSE(After.empty());
      CHECK(std::stod(After) <= 1.0);
      CHECK(std::stod(After) > 0.3);
    }
    THEN("it is served when the rest is over") {
      Refuses = false;
      Fixture.m_Loop.turnFor(Rest);
      CHECK(BootClock::now() - Start > Rest);
      CHECK(Fixture.ask("POST", "/book/7").m_Status == 200);
    }
    THEN("a new incarnation does not inherit it") {
      Refuses = false;
      Fixture.m_Fleet.mutable_targets(0)->set_incarnation("2");
      Fixture.m_Fleet.set_revision(2);
      REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
      CHECK(Fixture.ask("POST", "/book/7").m_Status == 200);
    }
  }
}

} // namespace wasabivale::entry::test
