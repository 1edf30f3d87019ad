// Plain requests through the whole data path, to targets of raw answers.

#include "EndlessAnswer.h"
#include "Shop.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

namespace wasabivale::entry::test {

SCENARIO("a plain request is passed on by its route") {
  Shop On;
  GIVEN("an entry that has heard of no routes") {
    THEN("it says that nothing has run") {
      const Answered Got = On.ask("GET", "/stock/7");
      CHECK(Got.m_Status == 503);
      CHECK_FALSE(http::field(Got.m_Fields, "retry-after").empty());
    }
  }
  GIVEN("a target that answers") {
    On.open({answers(200, "three left")});
    THEN("its answer comes back with its signature") {
      const Answered Got = On.ask("POST", "/book/7?a=1");
      CHECK(Got.m_Status == 200);
      CHECK(Got.m_Body == "three left");
      CHECK(http::field(Got.m_Fields, "signed") == "s-1");
      REQUIRE(On.m_Seen.size() == 1);
      CHECK(On.m_Seen[0].m_Target == "/book/7?a=1");
      CHECK(On.m_Seen[0].m_Body == "body");
      CHECK(http::field(On.m_Seen[0].m_Fields, "only") == "i-21881");
    }
    THEN("a path that no route has is not found") {
      CHECK(On.ask("GET", "/nowhere/7").m_Status == 404);
      CHECK(On.m_Seen.empty());
    }
    THEN("connections to it are kept") {
      for (int I = 0; I < 5; ++I)
        CHECK(On.ask("GET", "/stock/7").m_Status == 200);
      CHECK(On.m_Targets[0]->connections() == 1);
    }
  }
  GIVEN("no target at all") {
    On.open({});
    THEN("it says at once that nothing has run") {
      CHECK(On.ask("POST", "/book/7").m_Status == 503);
    }
  }
}

SCENARIO("an entry that stops") {
  Shop On;
  On.addEngine("decode", streams(1, true));
  On.open({answers(200, "three left")});
  GIVEN("three seconds until its answers must be complete") {
    const TimePoint Now = BootClock::now();
    On.m_Path->startStopping({Now, Now + 3s, Now + 3s, Now + 3s});
    THEN("it asks callers to come by another connection") {
      CHECK(http::field(On.ask("POST", "/book/7").m_Fields, "connection") ==
            "close");
    }
    THEN("what is answered by then whatever happens is served") {
      CHECK(On.ask("POST", "/book/7").m_Status == 200);
      CHECK(On.ask("POST", "/oracle/7").m_Status == 200);
    }
    THEN("what may take longer is refused truly") {
      // The deadline of its route is in two seconds.
      On.m_Path->startStopping({Now, Now + 1s, Now + 1s, Now + 1s});
      const Answered Got = On.ask("POST", "/oracle/7", {{"Waits-S", "4"}});
      CHECK(Got.m_Status == 503);
      CHECK(On.m_Seen.empty());
    }
    WHEN("nothing is taken any longer") {
      On.m_Path->stopTaking();
      THEN("calls and streams are refused truly") {
        CHECK(On.ask("POST", "/book/7").m_Status == 503);
        CHECK(On.ask("POST", "/oracle/7").m_Status == 503);
        CHECK(On.m_Seen.empty());
      }
    }
  }
}

SCENARIO("what may run twice is tried elsewhere, what may not is not") {
  Shop On;
  GIVEN("targets that fail each request") {
    On.open({answers(500, "no"), answers(500, "no")});
    THEN("a safe one reaches both, and the failure is passed on as it is") {
      const Answered Got = On.ask("GET", "/stock/7");
      CHECK(Got.m_Status == 500);
      CHECK(Got.m_Body == "no");
      CHECK(On.m_Seen.size() == 2);
    }
    THEN("an unsafe one reaches one") {
      CHECK(On.ask("POST", "/book/7").m_Status == 500);
      CHECK(On.m_Seen.size() == 1);
    }
  }
  GIVEN("targets that break off") {
    On.open({breaks(), breaks()});
    THEN("an unsafe one may have run: nothing is promised") {
      CHECK(On.ask("POST", "/book/7").m_Status == 502);
      CHECK(On.m_Seen.size() == 1);
    }
  }
  GIVEN("targets that did not run it") {
    On.open({refuses(), refuses()});
    THEN("an unsafe one is tried again, and then refused truly") {
      CHECK(On.ask("POST", "/book/7").m_Status == 503);
      CHECK(On.m_Seen.size() > 1);
    }
  }
  GIVEN("a target that says 503 without that word") {
    On.open({answers(503, "busy")});
    THEN("it is not passed on as a promise") {
      CHECK(On.ask("POST", "/book/7").m_Status == 502);
    }
  }
}

SCENARIO("what a service told of its load is not believed for ever") {
  Shop On;
  GIVEN("a service that was full when it answered last") {
    On.open({[](const Exchange &Arrived) {
      http::Fields Told = stamped(Arrived);
      Told.emplace_back("Load", "40");
      Arrived->relay(200, Told, "three left");
    }});
    CHECK(On.ask("GET", "/stock/1").m_Status == 200);
    THEN("a request is sent there a moment later, and not held to its end") {
      CHECK(On.ask("GET", "/stock/2").m_Status == 200);
      CHECK(On.ask("POST", "/book/3").m_Status == 200);
      CHECK(On.m_Seen.size() == 3);
    }
  }
}

SCENARIO("a stream is whole or visibly broken") {
  Shop On;
  const auto Order = [](const std::string &Body) {
    std::string Ids;
    for (std::size_t At = Body.find("id: "); At != std::string::npos;
         At = Body.find("id: ", At + 1))
      Ids += Body[At + 4];
    return Ids;
  };
  GIVEN("a target that streams it whole") {
    On.open({streams(3, true)});
    THEN("each event comes once") {
      const Answered Got = On.ask("POST", "/note/7");
      CHECK(Got.m_Status == 200);
      CHECK(Order(Got.m_Body) == "123");
    }
    THEN("a caller that has some goes on behind them") {
      answerVersion(*On.m_Path);
      CHECK(Order(On.ask("POST", "/note/7", {{"Seen", "2"}}).m_Body) == "3");
    }
  }
  GIVEN("one that stalls in the middle, and one that goes on") {
    On.open({streams(2, false), streams(4, true)});
    THEN("a stream that may be resumed is") {
      const Answered Got = On.ask("POST", "/note/7");
      CHECK(Got.m_Status == 200);
      CHECK(Order(Got.m_Body) == "1234");
    }
  }
  GIVEN("one that stalls for good") {
    On.open({streams(2, false)});
    THEN("a stream that may not be resumed ends without its end") {
      const Answered Got = On.ask("POST", "/advice/7");
      CHECK(Got.m_Status == 0);
      CHECK(On.m_Seen.size() == 1);
    }
  }
}

SCENARIO("a prompt is read by one engine and streamed by another") {
  Shop On;
  const http::Fields LongPrompt = {{"prompt", "30000"}};
  GIVEN("an engine of each role") {
    On.addEngine("prefill", answers(200, "h1"));
    On.addEngine("decode", streams(2, true));
    On.warmUp();
    THEN("the second takes over the memory of the first") {
      CHECK(On.ask("POST", "/oracle/7", LongPrompt).m_Status == 200);
      REQUIRE(On.m_Seen.size() == 2);
      CHECK_FALSE(http::field(On.m_Seen[0].m_Fields, "prefill-only").empty());
      CHECK(http::field(On.m_Seen[1].m_Fields, "kv") == "127.0.0.1:21881/h1");
    }
  }
  GIVEN("a second engine that leaves while the first one reads") {
    wire::Target *Leaving = nullptr;
    On.addEngine("prefill", [&](const Exchange &Arrived) {
      if (Arrived->request().m_Method == "POST") {
        Leaving->set_state("draining");
        Leaving->set_generation(2);
        On.m_Fleet.set_revision(2);
        REQUIRE(On.m_Path->takeFleet(On.m_Fleet));
      }
      answers(200, "h1")(Arrived);
    });
    Leaving = &On.addEngine("decode", streams(2, true));
    On.warmUp();
    const Answered Got = On.ask("POST", "/oracle/7", LongPrompt);
    THEN("nothing new reaches it, and the caller may come again") {
      CHECK(Got.m_Status == 503);
      CHECK(On.seen("prefill-only") == 1);
      CHECK(On.seen("kv") == 0);
    }
    THEN("the memory that nobody fetches is freed") {
      CHECK(On.m_Loop.until([&] {
        return On.m_Seen.back().m_Method == "DELETE" &&
               On.m_Seen.back().m_Path == "/kept/h1";
      }));
    }
  }
}

SCENARIO("what waits for an engine goes by the rank of its route") {
  Shop On;
  // One stream at a time, that ends when the test says so.
  On.addEngine("decode", [](const Exchange &) {}).set_max_running(1);
  wire::RouteTable &Table = *On.m_Fleet.mutable_routes();
  for (const char *Name : {"oracle", "report"}) {
    wire::Route Slow = route(Name, "streaming", "llm", true);
    Slow.set_rank(std::string(Name) == "report" ? 2 : 0);
    Slow.set_timeout_ns(60'000'000'000);
    Slow.set_objective_ns(10'000'000'000);
    *Table.add_routes() = Slow;
  }
  REQUIRE(On.m_Path->takeFleet(On.m_Fleet));
  const http::Fields Long = {{"prompt", "15000"}, {"waits-s", "50"}};
  const auto Seen = [&](std::size_t Count) {
    return On.m_Loop.until([&] { return On.m_Seen.size() == Count; });
  };
  GIVEN("an engine at work, and patient requests before urgent ones") {
    std::vector<std::shared_ptr<Answered>> All;
    All.push_back(On.start("POST", "/oracle/0", Long));
    REQUIRE(Seen(1));
    for (const char *Path :
         {"/report/a", "/report/b", "/oracle/1", "/oracle/2", "/oracle/3",
          "/oracle/4", "/oracle/5", "/oracle/6", "/oracle/7", "/oracle/8"}) {
      All.push_back(On.start("POST", Path, Long));
      On.m_Loop.turnFor(std::chrono::milliseconds(5));
    }
    THEN("the urgent ones go first, all routes in one line") {
      for (std::size_t Count = 1; Count <= All.size(); ++Count) {
        streams(1, true)(On.m_Held.back());
        if (Count < All.size())
          REQUIRE(Seen(Count + 1));
      }
      std::string Order;
      for (const http::Request &Each : On.m_Seen)
        Order += Each.m_Path.back();
      CHECK(Order == "012345678ab");
      CHECK(On.m_Loop.until([&] { return All[1]->m_Ended; }));
    }
  }
}

SCENARIO("a prompt part that crashes targets does not reach them for ever") {
  Shop On;
  constexpr std::size_t Engines = 6;
  for (std::size_t I = 0; I < Engines; ++I)
    On.addEngine("decode", On.crashesOn(I, "bad"));
  On.warmUp();
  const auto Ask = [&](const std::string &Parts) {
    Answered Got =
        On.ask("POST", "/oracle/7", {{"Prompt", "300"}, {"Parts", Parts}});
    On.m_Loop.turnFor(std::chrono::milliseconds(600));
    return Got;
  };
  GIVEN("requests that share it, each with a last part of its own") {
    for (int I = 0; I < 6; ++I)
      Ask(fmt::format("shop+bad+own-{}", I));
    THEN("three targets are lost at most") { CHECK(On.m_Crashes <= 3); }
    THEN("the next is told at once that it has not run") {
      const std::size_t Before = On.m_Seen.size();
      const Answered Got = Ask("shop+bad+own-9");
      CHECK(Got.m_Status == 503);
      CHECK_FALSE(http::field(Got.m_Fields, "retry-after").empty());
      CHECK(On.m_Seen.size() == Before);
    }
    THEN("requests that share only their first part are served") {
      CHECK(Ask("shop+good+own-10").m_Status == 200);
      CHECK(Ask("shop+own-11").m_Status == 200);
    }
  }
}

// Guards against crashes after the first event that nobody reports (review case
// 10), and against bystanders that are not resumed.
SCENARIO("a stream that crashes targets after its first event") {
  Shop Fixture;
  constexpr std::size_t Engines = 6;
  const auto CrashesAfterOne = [&](std::size_t Index) {
    return [&Fixture, Index](const Exchange &Arrived) {
      if (http::field(Arrived->request().m_Fields, "parts").find("bad") ==
          std::string_view::npos)
        return streams(3, true)(Arrived);
      const std::string Last(http::field(Arrived->request().m_Fields, "seen"));
      ++Fixture.m_Crashes;
      streams(Last.empty() ? 1 : std::stoi(Last) + 1, false)(Arrived);
      Fixture.m_Restarts.push_back(std::make_unique<http::Timer>(
          Fixture.m_Loop.m_Base, std::chrono::milliseconds(0), false,
          [&Fixture, Index] { Fixture.m_Targets[Index].reset(); }));
    };
  };
  for (std::size_t I = 0; I < Engines; ++I)
    Fixture.addEngine("decode", CrashesAfterOne(I));
  Fixture.warmUp();
  const auto Got = Fixture.start("POST", "/oracle/7",
                                 {{"Prompt", "300"}, {"Parts", "shop+bad"}});
  REQUIRE(Fixture.m_Loop.until([&] { return Got->m_Ended; }));
  Fixture.m_Loop.turnFor(std::chrono::milliseconds(600));
  const int Crashes = Fixture.m_Crashes;
  REQUIRE(Crashes >= 2);
  wire::EntryReport Report;
  Fixture.m_Path->fillReport(Report);
  THEN("the entry reports each crash with the place of the run, and blames "
       "nobody by itself") {
    REQUIRE(Report.trait_crashes_size() == Crashes);
    for (const wire::TraitCrash &Crash : Report.trait_crashes()) {
      CHECK(Crash.waiting().empty());
      REQUIRE(Crash.begun_size() == 1);
      CHECK(Crash.begun(0).events() == 1);
      CHECK(Crash.begun(0).content() ==
            Report.trait_crashes(0).begun(0).content());
    }
  }
  WHEN("control quarantines its content") {
    REQUIRE(Report.trait_crashes_size() > 0);
    wire::TraitsUpdate Update;
    wire::TraitQuarantineNotice &Notice = *Update.add_quarantines();
    Notice.add_traits(Report.trait_crashes(0).begun(0).content());
    Notice.set_remaining_ns(600'000'000'000);
    Fixture.m_Path->applyTraits(Update);
    const std::size_t Before = Fixture.m_Seen.size();
    THEN("its repeat is refused at once, also one that resumes the stream") {
      for (const bool IsResumed : {false, true}) {
        http::Fields More = {{"Prompt", "300"}, {"Parts", "shop+bad"}};
        if (IsResumed)
          More.emplace_back("Seen", "2");
        const Answered Again = Fixture.ask("POST", "/oracle/7", More);
        CHECK(Again.m_Status == 503);
        CHECK(std::stod(std::string(
                  http::field(Again.m_Fields, "retry-after"))) > 500.0);
      }
      CHECK(Fixture.m_Seen.size() == Before);
    }
    THEN("other requests are served") {
      CHECK(Fixture
                .ask("POST", "/oracle/7",
                     {{"Prompt", "300"}, {"Parts", "shop+good"}})
                .m_Status == 200);
    }
  }
}

SCENARIO("requests of a paused route do not reach targets") {
  Shop Fixture;
  Fixture.open(
      {Fixture.crashesOn(0, "bad"), answers(200, "ok"), answers(200, "ok")});
  // One of the targets crashes, so that the route's trait is reported.
  for (int I = 0; I < 20 && Fixture.m_Crashes == 0; ++I)
    Fixture.ask("GET", fmt::format("/stock/bad-{}", I), {{"Parts", "bad"}});
  REQUIRE(Fixture.m_Crashes == 1);
  wire::EntryReport Report;
  Fixture.m_Path->fillReport(Report);
  REQUIRE(Report.trait_crashes_size() == 1);
  wire::TraitNotice Route;
  Route.set_trait(Report.trait_crashes(0).waiting(0).route());
  Route.set_crashes(1);
  Route.set_trial_runs(2);
  const std::size_t Before = Fixture.m_Seen.size();
  GIVEN("a pause that control has told") {
    Route.set_paused_ns(3'000'000'000);
    wire::TraitsUpdate Update;
    *Update.add_routes() = Route;
    Fixture.m_Path->applyTraits(Update);
    THEN("they are refused, have not run, and may come back after it") {
      const Answered Got = Fixture.ask("GET", "/stock/2");
      CHECK(Got.m_Status == 503);
      CHECK(std::stod(std::string(http::field(Got.m_Fields, "retry-after"))) >
            2.0);
      CHECK(Fixture.m_Seen.size() == Before);
    }
    THEN("requests of other routes are served") {
      CHECK(Fixture.ask("POST", "/book/2").m_Status == 200);
    }
  }
  GIVEN("a trial after it") {
    wire::ControlGrant Grant;
    Grant.set_traits_revision(5);
    *Grant.add_traits() = Route;
    WHEN("this entry has no permission") {
      Fixture.m_Path->takeGrant(Grant, BootClock::now() + 1s);
      THEN("they are refused") {
        CHECK(Fixture.ask("GET", "/stock/2").m_Status == 503);
        CHECK(Fixture.m_Seen.size() == Before);
      }
    }
    WHEN("it has permission") {
      Grant.add_trial_routes(Route.trait());
      Fixture.m_Path->takeGrant(Grant, BootClock::now() + 1s);
      THEN("they run one at a time") {
        const auto First = Fixture.start("GET", "/stock/2");
        const auto Second = Fixture.start("GET", "/stock/3");
        REQUIRE(Fixture.m_Loop.until([&] { return Second->m_Ended; }));
        REQUIRE(Fixture.m_Loop.until([&] { return First->m_Ended; }));
        CHECK(First->m_Status + Second->m_Status == 200 + 503);
        CHECK(Fixture.m_Seen.size() == Before + 1);
        CHECK(Fixture.ask("GET", "/stock/4").m_Status == 200);
      }
    }
  }
}

SCENARIO("a resumed stream does not go on at another service of its route") {
  Shop Fixture;
  Fixture.add(streams(3, true));
  Fixture.add(streams(3, true)).set_models(0, "desk-2");
  wire::RouteTable &Table = *Fixture.m_Fleet.mutable_routes();
  Table.add_services()->set_name("desk-2");
  for (wire::Route &Changed : *Table.mutable_routes())
    if (Changed.name() == "note") {
      wire::ServiceShare &Other = *Changed.add_services();
      Other.set_service("desk-2");
      Other.set_weight(1);
    }
  Fixture.warmUp();
  answerVersion(*Fixture.m_Path);
  const auto TargetOf = [&](const http::Fields &Fields) {
    CHECK(Fixture.ask("POST", "/note/7", Fields).m_Status == 200);
    return std::string(http::field(Fixture.m_Seen.back().m_Fields, "only"));
  };
  std::set<std::string> Began;
  for (int I = 0; I < 12; ++I) {
    const std::string First = fmt::format("first-{}", I);
    const std::string Target = TargetOf({{"Attempt", First}});
    Began.insert(Target);
    CHECK(TargetOf({{"Attempt", fmt::format("again-{}", I)},
                    {"First-Attempt", First},
                    {"Seen", "1"}}) == Target);
  }
  CHECK(Began.size() == 2);
}

SCENARIO("a resumed stream is sent although a whole answer would be late") {
  Shop Fixture;
  Fixture.addEngine("decode", streams(3, true));
  Fixture.warmUp();
  answerVersion(*Fixture.m_Path);
  const std::string Large =
      "200000"; // Tokens, longer to read than its caller waits.
  CHECK(Fixture.ask("POST", "/oracle/7", {{"Prompt", Large}}).m_Status == 503);
  CHECK(Fixture.m_Seen.empty());
  const Answered Resumed = Fixture.ask("POST", "/oracle/7",
                                       {{"Prompt", Large},
                                        {"Attempt", "r-2"},
                                        {"First-Attempt", "r-1"},
                                        {"Seen", "1"}});
  CHECK(Resumed.m_Status == 200);
  CHECK(Resumed.m_Body == eventText(2) + eventText(3));
}

SCENARIO("a stream does not go on at another software version") {
  Shop On;
  std::vector<std::string> Ran; // Versions, in the order of the runs.
  bool Ends = false;            // The process of a target that stalls.
  // A fresh run stalls after three events, a resumed one is whole.
  const auto Add = [&](const std::string &Version) {
    const std::size_t Index = On.m_Targets.size();
    On.addEngine("decode", [&On, &Ran, &Ends, Version,
                            Index](const Exchange &Arrived) {
        Ran.push_back(Version);
        const bool IsResumed =
            !http::field(Arrived->request().m_Fields, "seen").empty();
        streams(IsResumed ? 6 : 3, IsResumed)(Arrived);
        if (Ends && !IsResumed)
          On.m_Restarts.push_back(std::make_unique<http::Timer>(
              On.m_Loop.m_Base, std::chrono::milliseconds(100), false,
              [&On, Index] { On.m_Targets[Index].reset(); }));
      }).set_software_version(Version);
  };
  const auto Ask = [&] {
    On.warmUp();
    return On.ask("POST", "/oracle/7", {{"Prompt", "300"}});
  };
  GIVEN("two targets of each of two versions") {
    for (const char *Version : {"v1", "v1", "v2", "v2"})
      Add(Version);
    THEN("the version that began it goes on") {
      for (int Times = 0; Times < 4; ++Times) {
        Ran.clear();
        CHECK(Ask().m_Status == 200);
        REQUIRE(Ran.size() == 2);
        CHECK(Ran[0] == Ran[1]);
      }
    }
  }
  GIVEN("one target of each version, whose process ends") {
    Ends = true;
    Add("v1");
    Add("v2");
    THEN("the answer breaks off visibly") {
      CHECK(Ask().m_Status == 0);
      CHECK(Ran.size() == 1);
    }
  }
}

SCENARIO("a target that names a request limit gets no more than it allows") {
  Shop On;
  constexpr double Limit = 2;
  bool Names = true;
  On.open({[&](const Exchange &Arrived) {
    http::Fields With = stamped(Arrived);
    if (Names)
      With.emplace_back("Limit", std::to_string(Limit));
    Arrived->relay(200, With, "three left");
  }});
  REQUIRE(On.ask("GET", "/stock/7").m_Status == 200);
  GIVEN("three times as many requests for four seconds") {
    int Refused = 0;
    for (int I = 0; I < 24; ++I) {
      const Answered Got = On.ask("GET", "/stock/7");
      On.m_Loop.turnFor(std::chrono::milliseconds(160));
      if (Got.m_Status == 200)
        continue;
      ++Refused;
      CHECK(Got.m_Status == 503);
      const std::string After(http::field(Got.m_Fields, "retry-after"));
      REQUIRE_FALSE(After.empty());
      // An entry may use 95% of the limit.
      CHECK(std::stod(After) <= 1 / (0.95 * Limit) + 0.001);
    }
    THEN("it gets those that the limit allows") {
      CHECK(On.m_Seen.size() <= Limit * 4 + 2);
      CHECK(On.m_Seen.size() >= Limit * 4 / 2);
      CHECK(Refused > 0);
    }
    AND_WHEN("it names no limit any longer") {
      Names = false;
      On.m_Loop.turnFor(std::chrono::milliseconds(600));
      THEN("it gets all of them from its next answer on") {
        CHECK(On.ask("GET", "/stock/7").m_Status == 200);
        for (int I = 0; I < 5; ++I)
          CHECK(On.ask("GET", "/stock/7").m_Status == 200);
      }
    }
  }
}

SCENARIO("a late stream at a target with a request limit ends no entry") {
  Shop On;
  const http::Fields LatePrompt = {{"prompt", "6000"}};
  On.addEngine("decode", [](const Exchange &Arrived) {
    http::Fields Head = stamped(Arrived);
    Head.emplace_back("Content-Type", "text/event-stream");
    Head.emplace_back("Limit", "2");
    Arrived->startRelay(200, Head);
    Arrived->write(eventText(1));
    Arrived->finish();
  });
  On.warmUp();
  REQUIRE(On.ask("POST", "/oracle/7", LatePrompt).m_Status == 200);
  // The bucket holds one request, which one choice uses up.
  On.m_Loop.turnFor(std::chrono::milliseconds(700));
  CHECK(On.ask("POST", "/oracle/7", LatePrompt).m_Status == 200);
  CHECK(On.ask("POST", "/oracle/7", LatePrompt).m_Status == 503);
}

TEST_CASE("bytes that are no answer and never end do not fill the memory") {
  struct Row {
    const char *m_Name;
    std::string m_Start;
    std::string m_Repeated;
  };
  const std::string Long(16'384, 'x');
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Signed = Ok + "Signed: s-1\r\nAttempt: r-1\r\n";
  const std::string Stream = Signed + "Content-Type: text/event-stream\r\n\r\n";
  const Row Rows[] = {
      {"no status line", "x", Long},
      {"a field without an end", Ok + "X: ", Long},
      {"fields without an end", Ok, "X: " + Long + "\r\n"},
      {"a body that nobody signed", Ok + "\r\n", Long},
      {"chunks that nobody signed", Ok + "Transfer-Encoding: chunked\r\n\r\n",
       "4000\r\n" + Long + "\r\n"},
      {"a signed body without an end", Signed + "\r\n", Long},
      {"signed chunks without an end",
       Signed + "Transfer-Encoding: chunked\r\n\r\n",
       "4000\r\n" + Long + "\r\n"},
      {"a chunk size without an end",
       Signed + "Transfer-Encoding: chunked\r\n\r\n", Long},
      {"trailers without an end",
       Signed + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X: " + Long + "\r\n"},
      {"an event without an end", Stream + "id: 1\ndata: ", Long},
      {"an event without an end behind a whole one",
       Stream + eventText(1) + "id: 2\ndata: ", Long},
  };
  // The longest plain answer, and what sockets and buffers hold besides.
  constexpr std::size_t MostBytes = 12U << 20U;
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    Shop On;
    On.addForeign();
    REQUIRE(On.m_Path->takeFleet(On.m_Fleet));
    EndlessAnswer Target(On.m_Loop.m_Base, FirstPort, Case.m_Start,
                         Case.m_Repeated);
    const bool IsStream =
        Case.m_Start.find("event-stream") != std::string::npos;
    const TimePoint Sent = BootClock::now();
    const Answered Got = On.ask("POST", IsStream ? "/advice/7" : "/book/7");
    CHECK(BootClock::now() - Sent < std::chrono::milliseconds(1200));
    // A stream of which an event has been passed on can only be broken off.
    const bool Passed = Case.m_Start.find(eventText(1)) != std::string::npos;
    CHECK(Got.m_Status == (Passed ? 0 : 502));
    if (!Passed)
      CHECK(http::field(Got.m_Fields, "wasabivale-outcome") == "unknown");
    CHECK(Target.requests() == 1);
    CHECK(On.m_Loop.until([&] { return Target.isClosed(); }));
    CHECK(Target.bytesSent() < MostBytes);
  }
}

TEST_CASE("what takes long goes first within its rank only") {
  MeanPrompts Means;
  routes::Route Urgent;
  Urgent.m_Name = "care";
  routes::Route Patient;
  Patient.m_Name = "query";
  Patient.m_Rank = 1;
  for (int I = 0; I < 50; ++I) {
    CHECK(urgencyOf(Urgent, 1000, Means) == 1);
    CHECK(urgencyOf(Patient, 9000, Means) == 4);
  }
  CHECK(urgencyOf(Patient, 40'000, Means) < urgencyOf(Patient, 9000, Means));
  CHECK(urgencyOf(Patient, 40'000, Means) > urgencyOf(Urgent, 500, Means));
}

TEST_CASE("a resumed stream is not refused for new ones that wait") {
  routes::Table Table;
  Table.m_Version = 1;
  for (const bool Resumable : {true, false}) {
    routes::Route &Added = Table.m_Routes.emplace_back();
    Added.m_Name = Resumable ? "note" : "advice";
    Added.m_Host = "shop.example";
    Added.m_PathPrefix = "/" + Added.m_Name + "/";
    Added.m_Kind = routes::Kind::Streaming;
    Added.m_Timeout = std::chrono::seconds(2);
    Added.m_Rank = 2;
    Added.m_Resumable = Resumable;
    Added.m_Services = {{"desk", 1}};
  }
  const routes::Index Routes(Table);
  MeanPrompts Means;
  const auto Read = [&](const std::string &Path, const std::string &Seen) {
    http::Request Incoming;
    Incoming.m_Method = "POST";
    Incoming.m_Path = Path;
    Incoming.m_Target = Path;
    Incoming.m_Fields = {{"Host", "shop.example"}, {"Attempt", "r-1"}};
    if (!Seen.empty())
      Incoming.m_Fields.emplace_back("Seen", Seen);
    return std::get<Arrival>(
        readPassed(Incoming, Routes, Plain, Means, BootClock::now()));
  };
  const Arrival New = Read("/note/7", "");
  const Arrival Resumed = Read("/note/7", "3");
  CHECK(Resumed.m_Priority > New.m_Priority);
  CHECK(Resumed.m_Passed->m_Urgency < New.m_Passed->m_Urgency);
  CHECK(Read("/advice/7", "3").m_Priority == New.m_Priority);
}

TEST_CASE("a status that promises is given only to what has not run") {
  for (std::size_t I = 0; I < refusalCount(); ++I) {
    const auto Reason = static_cast<Refusal>(refusalAt(I).m_Number);
    Rejection Why;
    Why.m_Reason = Reason;
    for (const Outcome Told : {Outcome::Unknown, Outcome::Completed}) {
      Why.m_Outcome = Told;
      const int Status = promisedStatus(Why);
      INFO(refusalAt(I).m_Name << " " << Status);
      CHECK((Status != 408 && Status != 421 && Status != 429 && Status != 503));
    }
    Why.m_Outcome = Outcome::NotRun;
    CHECK(promisedStatus(Why) != 502);
    CHECK(promisedStatus(Why) != 504);
  }
}

} // namespace wasabivale::entry::test
