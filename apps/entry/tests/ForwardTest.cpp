// Requests at an entry that reaches no target, and at the entries that it
// forwards them to.

#include "CutAnswer.h"
#include "Forwarding.h"
#include "Shop.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

namespace wasabivale::entry::test {

namespace {

constexpr std::uint16_t PeerPort = 21950;
constexpr std::uint16_t PeerForwardPort = 21951;
constexpr std::uint16_t FirstFakePort = 21953;
/// Nobody listens from here on.
constexpr std::uint16_t FirstDeadPort = 21970;

/// Another entry of the shop, which reaches its targets.
struct Peer {
  EntrySettings m_Settings;
  metrics::Registry m_Registry;
  std::unique_ptr<Entry> m_Entry;

  explicit Peer(Shop &Around) {
    m_Settings.m_Id = {"entry-2"};
    m_Settings.m_Routes = RouteSettings{};
    m_Settings.m_Routes->m_Listen = {"127.0.0.1", PeerPort};
    m_Settings.m_Routes->m_ForwardListen = {"127.0.0.1", PeerForwardPort};
    m_Settings.m_Control = Around.m_Settings.m_Control;
    auto Opened =
        Entry::open(Around.m_Loop.m_Base, m_Settings, m_Registry, &Plain);
    REQUIRE_FALSE(failed(Opened));
    m_Entry = std::move(valueOf(Opened));
  }
  ~Peer() { m_Entry->requests().endAll(); }
  Peer(const Peer &) = delete;
  Peer &operator=(const Peer &) = delete;
};

/// The targets of \p Around at addresses where nobody listens.
wire::FleetUpdate unreachable(const Shop &Around) {
  wire::FleetUpdate Fleet = Around.m_Fleet;
  for (int I = 0; I < Fleet.targets_size(); ++I)
    Fleet.mutable_targets(I)->set_address(
        fmt::format("127.0.0.1:{}", FirstDeadPort + I));
  return Fleet;
}

void namePeers(DataPath &Entry, const std::vector<std::uint16_t> &Ports) {
  static std::uint64_t Revision = 0;
  wire::ControlGrant Grant;
  for (const std::uint16_t Port : Ports) {
    wire::ForwardPeer &Peer = *Grant.add_forward_peers();
    Peer.set_entry(fmt::format("entry-at-{}", Port));
    Peer.set_address(fmt::format("127.0.0.1:{}", Port));
  }
  Grant.set_forward_peers_revision(++Revision);
  Entry.takeGrant(Grant, BootClock::now() + std::chrono::seconds(2));
}

/// What arrives at a scripted peer.
struct FakePeer {
  std::vector<http::Request> m_Seen;
  std::vector<Exchange> m_Held;
  std::unique_ptr<http::Server> m_Server;

  FakePeer(Shop &Around, std::uint16_t Port, const Play &Script) {
    auto Opened = http::listen(Around.m_Loop.m_Base, {"127.0.0.1", Port},
                               http::ServerLimits{},
                               [this, Script](const Exchange &Arrived) {
                                 m_Seen.push_back(Arrived->request());
                                 m_Held.push_back(Arrived);
                                 Script(Arrived);
                               });
    REQUIRE_FALSE(failed(Opened));
    m_Server = std::move(valueOf(Opened));
  }
};

/// The entry of a shop is cut from three targets that play \p Script; another
/// entry reaches them.
struct CutShop : Shop {
  std::unique_ptr<Peer> m_Peer;

  explicit CutShop(const Play &Script) {
    for (int I = 0; I < 3; ++I)
      add(Script);
    REQUIRE(m_Path->takeFleet(unreachable(*this)));
    m_Peer = std::make_unique<Peer>(*this);
    REQUIRE(m_Peer->m_Entry->requests().takeFleet(m_Fleet));
  }

  DataPath &peer() { return m_Peer->m_Entry->requests(); }
};

std::string events(int First, int Last) {
  std::string Text;
  for (int Id = First; Id <= Last; ++Id)
    Text += eventText(Id);
  return Text;
}

} // namespace

SCENARIO("callers of an entry that is cut from all targets are served through "
         "another entry") {
  GIVEN("targets that answer calls") {
    CutShop Around(answers(200, "whole"));
    namePeers(*Around.m_Path, {PeerForwardPort});
    const std::string Method = GENERATE("GET", "POST");
    WHEN("a caller sends a call") {
      const Answered Got =
          Around.ask(Method, Method == "GET" ? "/stock/7" : "/book/7");
      THEN("it gets the target's answer, with its signature, of one run") {
        CHECK(Got.m_Status == 200);
        CHECK(Got.m_Body == "whole");
        CHECK(http::field(Got.m_Fields, "Signed") == "s-1");
        CHECK(Around.m_Seen.size() == 1);
        for (const auto &[Name, Value] : Got.m_Fields)
          CHECK_FALSE(isForwardField(Name));
      }
    }
    WHEN("many callers send calls") {
      std::vector<std::shared_ptr<Answered>> All;
      for (int I = 0; I < 50; ++I) {
        All.push_back(Around.start("GET", "/stock/7"));
        Around.m_Loop.turnFor(std::chrono::milliseconds(5));
      }
      THEN("all are answered") {
        REQUIRE(Around.m_Loop.until([&] {
          return std::all_of(All.begin(), All.end(),
                             [](const auto &Call) { return Call->m_Ended; });
        }));
        for (const auto &Call : All)
          CHECK(Call->m_Status == 200);
        CHECK(Around.m_Seen.size() == 50);
      }
    }
  }
  GIVEN("targets that fail calls") {
    CutShop Around(answers(500, "broken"));
    namePeers(*Around.m_Path, {PeerForwardPort});
    THEN("the caller gets the target's failure") {
      const Answered Got = Around.ask("POST", "/book/7");
      CHECK(Got.m_Status == 500);
      CHECK(Got.m_Body == "broken");
    }
  }
  GIVEN("targets that stream") {
    CutShop Around(streams(4, true));
    namePeers(*Around.m_Path, {PeerForwardPort});
    THEN("the caller gets the whole stream") {
      const Answered Got = Around.ask("POST", "/note/7");
      CHECK(Got.m_Status == 200);
      CHECK(Got.m_Body == events(1, 4));
      CHECK(http::field(Got.m_Fields, "Signed") == "s-1");
      CHECK(Around.m_Seen.size() == 1);
    }
    THEN("a caller that has a part of the stream gets the rest") {
      answerVersion(*Around.m_Path);
      const Answered Got = Around.ask("POST", "/note/7", {{"Seen", "2"}});
      CHECK(Got.m_Status == 200);
      CHECK(Got.m_Body == events(3, 4));
    }
  }
  GIVEN("targets whose streams break off") {
    CutShop Around(streams(2, false));
    namePeers(*Around.m_Path, {PeerForwardPort});
    THEN("the caller sees that its stream is not whole") {
      const Answered Got = Around.ask("POST", "/advice/7");
      CHECK(Got.m_Status == 0);
      CHECK(Got.m_Body == events(1, 2));
    }
  }
}

SCENARIO("a request is forwarded once, not around in circles") {
  GIVEN("two entries that reach no target and know each other") {
    CutShop Around(answers(200, "whole"));
    REQUIRE(Around.peer().takeFleet([&] {
      wire::FleetUpdate Fleet = unreachable(Around);
      Fleet.set_revision(2);
      return Fleet;
    }()));
    FakePeer Third(Around, FirstFakePort, answers(200, "looped"));
    namePeers(*Around.m_Path, {PeerForwardPort});
    namePeers(Around.peer(), {FirstFakePort});
    THEN("the caller is refused, and the second entry asks nobody else") {
      const Answered Got = Around.ask("POST", "/book/7");
      CHECK(Got.m_Status == 503);
      CHECK(http::field(Got.m_Fields, OutcomeHeader) == "not_run");
      CHECK(Third.m_Seen.empty());
      CHECK(Around.m_Seen.empty());
    }
  }
}

SCENARIO("a forward that breaks off after it was sent counts as a run") {
  GIVEN("a peer that breaks off, and one that answers") {
    CutShop Around(answers(200, "whole"));
    FakePeer Breaks(Around, FirstFakePort, breaks());
    FakePeer AlsoBreaks(Around, FirstFakePort + 1, breaks());
    namePeers(*Around.m_Path, {FirstFakePort, FirstFakePort + 1});
    WHEN("the request must not be repeated") {
      const Answered Got = Around.ask("POST", "/book/7");
      THEN("it is sent once, and its outcome is unknown") {
        CHECK(Got.m_Status == 502);
        CHECK(http::field(Got.m_Fields, OutcomeHeader) == "unknown");
        CHECK(Breaks.m_Seen.size() + AlsoBreaks.m_Seen.size() == 1);
      }
    }
    WHEN("the request may be repeated") {
      const Answered Got = Around.ask("GET", "/stock/7");
      THEN("the next peer is told of the run, and no third run follows") {
        CHECK(Got.m_Status == 502);
        REQUIRE(Breaks.m_Seen.size() == 1);
        REQUIRE(AlsoBreaks.m_Seen.size() == 1);
        std::multiset<std::string> Runs;
        for (const FakePeer *Peer : {&Breaks, &AlsoBreaks})
          Runs.emplace(http::field(Peer->m_Seen[0].m_Fields, ForwardRunsField));
        CHECK(Runs == std::multiset<std::string>{"0", "1"});
      }
    }
  }
  GIVEN("a peer whose stream breaks off, and a target that can continue it") {
    CutShop Around(streams(4, true));
    FakePeer Breaks(Around, FirstFakePort, [&](const Exchange &Arrived) {
      http::Fields Head = stamped(Arrived);
      Head.emplace_back("Content-Type", "text/event-stream");
      Head.emplace_back(std::string(ForwardResultField), "answer");
      Arrived->startRelay(200, Head);
      Arrived->write(events(1, 2));
      Arrived->write("id: 3\nda");
      // What is still unwritten is lost with the connection.
      Around.m_Restarts.push_back(std::make_unique<http::Timer>(
          Around.m_Loop.m_Base, std::chrono::milliseconds(50), false,
          [Arrived] { Arrived->abort(); }));
    });
    namePeers(*Around.m_Path, {FirstFakePort});
    const auto Got = Around.start("POST", "/note/7");
    REQUIRE(Around.m_Loop.until([&] { return !Got->m_Body.empty(); }));
    namePeers(*Around.m_Path, {PeerForwardPort});
    THEN("another peer continues it behind the last event") {
      REQUIRE(Around.m_Loop.until([&] { return Got->m_Ended; }));
      CHECK(Got->m_Status == 200);
      CHECK(Got->m_Body == events(1, 4));
      REQUIRE(Around.m_Seen.size() == 1);
      CHECK(http::field(Around.m_Seen[0].m_Fields, "Seen") == "2");
    }
  }
}

SCENARIO("a forward's answer that is cut anywhere is not whole to callers") {
  const std::string Fields = "Signed: s-1\r\nAttempt: r-1\r\n" +
                             std::string(ForwardResultField) + ": answer\r\n";
  const std::string Streamed = "Content-Type: text/event-stream\r\n" + Fields;
  struct Row {
    const char *m_Path;
    std::string m_Fields;
    std::string m_Body;
  };
  for (const Row &Case : {Row{"/book/7", Fields, "the answer"},
                          Row{"/advice/7", Streamed, events(1, 2)}})
    for (const WholeAnswer &Answer : wholeAnswers(Case.m_Fields, Case.m_Body))
      for (const CutBy Ending : {CutBy::Close, CutBy::Reset}) {
        // A peer states a length or chunks.
        if (Answer.m_EndsWithConnection && Ending == CutBy::Close)
          continue;
        for (std::size_t Cut = 0; Cut < Answer.m_Bytes.size(); Cut += 3) {
          INFO(Case.m_Path << " " << Answer.m_Name << " at " << Cut
                           << (Ending == CutBy::Reset ? ", reset" : ""));
          CutShop Around(answers(200, "whole"));
          const CutAnswer Peer(Around.m_Loop.m_Base, FirstFakePort,
                               Answer.m_Bytes.substr(0, Cut), Ending);
          namePeers(*Around.m_Path, {FirstFakePort});
          const Answered Got = Around.ask("POST", Case.m_Path);
          CHECK(Peer.requests() == 1);
          CHECK(Got.m_Status != 200);
        }
      }
}

SCENARIO("a peer that refuses a forward has not run it") {
  const Play Refuses = [](const Exchange &Arrived) {
    Arrived->relay(
        503,
        {{std::string(ForwardResultField), "not_run"},
         {std::string(ForwardReasonField),
          std::to_string(static_cast<int>(Refusal::TooManyStreams))}},
        "");
  };
  GIVEN("a peer that refuses, one that is gone, and one that reaches targets") {
    CutShop Around(answers(200, "whole"));
    FakePeer Full(Around, FirstFakePort, Refuses);
    const std::uint16_t First = GENERATE(FirstFakePort, FirstDeadPort + 9);
    namePeers(*Around.m_Path, {First, PeerForwardPort});
    THEN("callers are served by the other") {
      for (int I = 0; I < 8; ++I)
        CHECK(Around.ask("POST", "/book/7").m_Status == 200);
      CHECK(Around.m_Seen.size() == 8);
    }
  }
  GIVEN("peers that all refuse") {
    CutShop Around(answers(200, "whole"));
    FakePeer Full(Around, FirstFakePort, Refuses);
    FakePeer AlsoFull(Around, FirstFakePort + 1, Refuses);
    FakePeer Third(Around, FirstFakePort + 2, Refuses);
    namePeers(*Around.m_Path,
              {FirstFakePort, FirstFakePort + 1, FirstFakePort + 2});
    THEN("two are asked, and the caller is told that nothing ran") {
      const Answered Got = Around.ask("POST", "/book/7");
      CHECK(Got.m_Status == 503);
      CHECK(http::field(Got.m_Fields, OutcomeHeader) == "not_run");
      CHECK_FALSE(http::field(Got.m_Fields, "Retry-After").empty());
      CHECK(Full.m_Seen.size() + AlsoFull.m_Seen.size() + Third.m_Seen.size() ==
            2);
    }
  }
  GIVEN("a peer whose answer does not say where it comes from") {
    CutShop Around(answers(200, "whole"));
    FakePeer Odd(Around, FirstFakePort, answers(200, "odd"));
    namePeers(*Around.m_Path, {FirstFakePort});
    THEN("the caller does not get it") {
      CHECK(Around.ask("POST", "/book/7").m_Status == 502);
    }
  }
}

SCENARIO("the end of a caller's wait reaches the target of a forward") {
  GIVEN("targets that begin a stream and go on for long") {
    CutShop Around([](const Exchange &Arrived) {
      http::Fields Head = stamped(Arrived);
      Head.emplace_back("Content-Type", "text/event-stream");
      Arrived->startRelay(200, Head);
      Arrived->write(eventText(1));
    });
    namePeers(*Around.m_Path, {PeerForwardPort});
    WHEN("the caller leaves") {
      {
        http::Pool Caller(Around.m_Loop.m_Base, {});
        http::ClientRequest Out;
        Out.m_To = {"127.0.0.1", EntryPort};
        Out.m_Path = "/note/7";
        Out.m_Fields = {{"Host", "shop.example"}, {"Attempt", "r-1"}};
        Out.m_Deadline = BootClock::now() + std::chrono::seconds(5);
        bool Began = false;
        http::ClientHandlers Handlers;
        Handlers.m_OnChunk = [&](std::string_view) { Began = true; };
        const auto Call =
            Caller.call(std::move(Out), std::move(Handlers), true);
        REQUIRE(Around.m_Loop.until([&] { return Began; }));
        Call->cancel();
      }
      THEN("the target's run ends") {
        CHECK(Around.m_Loop.until([&] { return Around.m_Held[0]->isGone(); }));
        CHECK(Around.m_Seen.size() == 1);
      }
    }
  }
  GIVEN("targets that never answer") {
    CutShop Around([](const Exchange &) {});
    FakePeer Watches(Around, FirstFakePort, [](const Exchange &) {});
    WHEN("the caller's deadline passes") {
      namePeers(*Around.m_Path, {PeerForwardPort});
      const TimePoint SentAt = BootClock::now();
      const Answered Got = Around.ask("POST", "/book/7");
      THEN("it is answered by then, and the target's run ends") {
        CHECK(Got.m_Status == 504);
        CHECK(BootClock::now() - SentAt < std::chrono::milliseconds(1800));
        CHECK(Around.m_Loop.until([&] { return Around.m_Held[0]->isGone(); }));
      }
    }
    WHEN("a peer takes the request") {
      namePeers(*Around.m_Path, {FirstFakePort});
      const auto Got = Around.start("POST", "/book/7");
      REQUIRE(Around.m_Loop.until([&] { return !Watches.m_Seen.empty(); }));
      THEN("it is told what is left of the deadline") {
        const int Left = std::stoi(std::string(
            http::field(Watches.m_Seen[0].m_Fields, ForwardLeftField)));
        CHECK(Left > 0);
        CHECK(Left <= 1500);
      }
    }
  }
}

SCENARIO("callers can't pose as a forwarding entry") {
  const http::Fields Forged = {{std::string(ForwardEntryField), "entry-9"},
                               {std::string(ForwardRunsField), "7"},
                               {std::string(ForwardLeftField), "0"},
                               {std::string(ForwardLastEventField), "3"}};
  GIVEN("an entry that reaches its targets") {
    Shop Around;
    Around.open({streams(4, true)});
    THEN("their fields are not read") {
      const Answered Got = Around.ask("POST", "/note/7", Forged);
      CHECK(Got.m_Status == 200);
      CHECK(Got.m_Body == events(1, 4));
    }
  }
  GIVEN("an entry that forwards") {
    CutShop Around(answers(200, "whole"));
    FakePeer Watches(Around, FirstFakePort, breaks());
    namePeers(*Around.m_Path, {FirstFakePort});
    (void)Around.ask("POST", "/book/7", Forged);
    THEN("the peer is told the entry's own facts, and the caller's fields") {
      REQUIRE(Watches.m_Seen.size() == 1);
      const http::Request &Seen = Watches.m_Seen[0];
      CHECK(http::field(Seen.m_Fields, ForwardEntryField) == "entry-1");
      CHECK(http::field(Seen.m_Fields, ForwardRunsField) == "0");
      CHECK(http::field(Seen.m_Fields, "Host") == "shop.example");
      CHECK(http::field(Seen.m_Fields, "Attempt") == "r-1");
      CHECK(Seen.m_Target == "/book/7");
      CHECK(Seen.m_Body == "body");
      int Count = 0;
      for (const auto &[Name, Value] : Seen.m_Fields)
        Count += http::isSameName(Name, ForwardEntryField) ? 1 : 0;
      CHECK(Count == 1);
    }
  }
  GIVEN("a request without the fields at the listener for forwards") {
    CutShop Around(answers(200, "whole"));
    http::ClientRequest Out;
    Out.m_To = {"127.0.0.1", PeerForwardPort};
    Out.m_Path = "/book/7";
    Out.m_Fields = {{"Host", "shop.example"}, {"Attempt", "r-1"}};
    Out.m_Deadline = BootClock::now() + std::chrono::seconds(2);
    int Status = 0;
    http::ClientHandlers Handlers;
    Handlers.m_OnDone = [&](const Result<http::Response> &Ending) {
      Status = failed(Ending) ? -1 : valueOf(Ending).m_Status;
    };
    (void)http::call(Around.m_Loop.m_Base, std::move(Out), std::move(Handlers));
    REQUIRE(Around.m_Loop.until([&] { return Status != 0; }));
    THEN("it is refused") {
      CHECK(Status == 400);
      CHECK(Around.m_Seen.empty());
    }
  }
}

SCENARIO("a forwarded stream does not go on at another service than the one "
         "that began it") {
  Shop Around;
  Peer Other(Around);
  Around.add(streams(4, true)).set_software_version("v1");
  REQUIRE(Other.m_Entry->requests().takeFleet(Around.m_Fleet));
  const std::string Service = GENERATE("desk", "desk-2");
  http::ClientRequest Out;
  Out.m_To = {"127.0.0.1", PeerForwardPort};
  Out.m_Path = "/note/7";
  Out.m_Fields = {{"Host", "shop.example"},
                  {"Attempt", "r-1"},
                  {std::string(ForwardEntryField), "entry-9"},
                  {std::string(ForwardRunsField), "1"},
                  {std::string(ForwardLeftField), "1500"},
                  {std::string(ForwardLastEventField), "2"},
                  {std::string(ForwardVersionField), "v1"},
                  {std::string(ForwardServiceField), Service}};
  Out.m_Body = "body";
  Out.m_Deadline = BootClock::now() + std::chrono::seconds(2);
  int Status = 0;
  std::string Verdict;
  http::ClientHandlers Handlers;
  Handlers.m_OnFields = [&](int, const http::Fields &Fields) {
    Verdict = http::field(Fields, ForwardResultField);
  };
  Handlers.m_OnDone = [&](const Result<http::Response> &Ending) {
    Status = failed(Ending) ? -1 : valueOf(Ending).m_Status;
  };
  (void)http::call(Around.m_Loop.m_Base, std::move(Out), std::move(Handlers));
  REQUIRE(Around.m_Loop.until([&] { return Status != 0; }));
  CHECK(Verdict == (Service == "desk" ? "answer" : "not_run"));
  CHECK(Around.m_Seen.size() == (Service == "desk" ? 1 : 0));
}

// Its record would expire with the entry that made it.
SCENARIO("the entry that forwarded a stream records it behind the records that "
         "the other entry has withdrawn") {
  Shop Around;
  for (const char *Version : {"v1", "v2"})
    Around.add(streams(4, true)).set_software_version(Version);
  const auto Stream = hashBytes(std::string_view("r-1"));
  GIVEN("an entry that is told of a withdrawn record") {
    std::vector<wire::Command> Commands;
    Around.m_Path->streamVersions().setControl(
        [&](const wire::Command &Command, TimePoint,
            const LedgerClient::OnReply &Done) {
          Commands.push_back(Command);
          Done(wire::CallReply{});
        });
    REQUIRE(Around.m_Path->takeFleet(unreachable(Around)));
    FakePeer Peer(Around, FirstFakePort, [](const Exchange &Arrived) {
      http::Fields Head = stamped(Arrived);
      Head.emplace_back("Content-Type", "text/event-stream");
      Head.emplace_back(ForwardResultField, "answer");
      Head.emplace_back(ForwardVersionField, "v2");
      Head.emplace_back(ForwardWithdrawalsField, "1");
      Arrived->startRelay(200, Head);
      Arrived->write(events(1, 2));
    });
    namePeers(*Around.m_Path, {FirstFakePort});
    const auto Got = Around.start("POST", "/note/7", {{"Attempt", "r-1"}});
    REQUIRE(Around.m_Loop.until([&] { return !Got->m_Body.empty(); }));
    Around.m_Loop.turnFor(std::chrono::milliseconds(300));
    THEN("its report withdraws that record and makes the next one") {
      REQUIRE_FALSE(Commands.empty());
      const wire::StreamVersions &Last = Commands.back().stream_versions();
      REQUIRE(Last.streams_size() == 1);
      CHECK(Last.streams(0) == hashBytes(fmt::format("{}/1", Stream)));
      REQUIRE(Last.released_size() == 1);
      CHECK(Last.released(0) == Stream);
      CHECK(http::field(Got->m_Fields, ForwardWithdrawalsField).empty());
    }
    Around.m_Path->streamVersions().setControl({});
  }
  GIVEN("an entry that has withdrawn a record") {
    Peer Other(Around);
    REQUIRE(Other.m_Entry->requests().takeFleet(Around.m_Fleet));
    Other.m_Entry->requests().streamVersions().noteWithdrawals(
        Stream, 1, BootClock::now());
    http::ClientRequest Out;
    Out.m_To = {"127.0.0.1", PeerForwardPort};
    Out.m_Path = "/note/7";
    Out.m_Fields = {{"Host", "shop.example"},
                    {"Attempt", "r-1"},
                    {std::string(ForwardEntryField), "entry-9"},
                    {std::string(ForwardRunsField), "0"},
                    {std::string(ForwardLeftField), "1500"}};
    Out.m_Body = "body";
    Out.m_Deadline = BootClock::now() + std::chrono::seconds(2);
    std::optional<std::string> Withdrawals;
    http::ClientHandlers Handlers;
    Handlers.m_OnFields = [&](int, const http::Fields &Fields) {
      Withdrawals = http::field(Fields, ForwardWithdrawalsField);
    };
    (void)http::call(Around.m_Loop.m_Base, std::move(Out), std::move(Handlers));
    REQUIRE(Around.m_Loop.until([&] { return Withdrawals.has_value(); }));
    THEN("its answer to the forwarding entry tells that") {
      CHECK(*Withdrawals == "1");
    }
  }
}

SCENARIO("an entry that stops takes no forwards that it can't finish") {
  CutShop Around([](const Exchange &) {});
  namePeers(*Around.m_Path, {PeerForwardPort});
  Around.m_Peer->m_Settings.m_StopLag = std::chrono::milliseconds(100);
  Around.m_Peer->m_Settings.m_StopPatience = std::chrono::milliseconds(300);
  bool Stopped = false;
  Around.m_Peer->m_Entry->stop([&] { Stopped = true; });
  Around.m_Loop.turnFor(std::chrono::milliseconds(120));
  const Answered Got = Around.ask("POST", "/book/7");
  CHECK(Got.m_Status == 503);
  CHECK(http::field(Got.m_Fields, OutcomeHeader) == "not_run");
  CHECK(Around.m_Seen.empty());
}

} // namespace wasabivale::entry::test
