#include "relay/relay.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace wasabivale;
using namespace wasabivale::relay;

namespace {

std::string eventText(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

std::vector<std::uint64_t> idsOf(const std::vector<Event> &Of) {
  std::vector<std::uint64_t> Ids;
  Ids.reserve(Of.size());
  for (const Event &Each : Of)
    Ids.push_back(Each.m_Id);
  return Ids;
}

} // namespace

TEST_CASE("a stream is cut into whole events") {
  EventReader Reader(0);
  std::vector<Event> Got;
  SECTION("wherever its bytes are split") {
    const std::string All = eventText(1) + eventText(2) + eventText(3);
    for (const char Byte : All)
      REQUIRE_FALSE(failed(Reader.feed({&Byte, 1}, Got)));
    CHECK(idsOf(Got) == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(Got[0].m_Text + Got[1].m_Text + Got[2].m_Text == All);
    CHECK(Reader.isBetweenEvents());
  }
  SECTION("and the start of one that never ends is not passed on") {
    REQUIRE_FALSE(failed(Reader.feed(eventText(1) + "id: 2\ndata: y", Got)));
    CHECK(idsOf(Got) == std::vector<std::uint64_t>{1});
    CHECK_FALSE(Reader.isBetweenEvents());
  }
  SECTION("an event that was seen is dropped") {
    REQUIRE_FALSE(
        failed(Reader.feed(eventText(1) + eventText(1) + eventText(2), Got)));
    CHECK(idsOf(Got) == std::vector<std::uint64_t>{1, 2});
    CHECK(Reader.duplicates() == 1);
  }
  SECTION("a gap is a fault, and nothing behind it is passed on") {
    CHECK(failed(Reader.feed(eventText(1) + eventText(3), Got)));
    CHECK(idsOf(Got) == std::vector<std::uint64_t>{1});
  }
  SECTION("lines may end with a carriage return") {
    REQUIRE_FALSE(failed(Reader.feed("id: 1\r\ndata: x\r\n\r\n", Got)));
    CHECK(idsOf(Got) == std::vector<std::uint64_t>{1});
  }
  SECTION("it goes on behind what the caller has") {
    EventReader Resumed(7);
    REQUIRE_FALSE(failed(Resumed.feed(eventText(7) + eventText(8), Got)));
    CHECK(idsOf(Got) == std::vector<std::uint64_t>{8});
    CHECK(failed(Resumed.feed(eventText(10), Got)));
  }
}

TEST_CASE("blocks are shared as far as prompts are") {
  const std::vector<PromptPart> One = {{1, 2000}, {2, 1000}, {3, 700}};
  SECTION("the last part is a request's own") {
    CHECK(hashPromptBlocks("m", One, 1000).size() == 3);
    CHECK(hashPromptBlocks("m", One, 1000) ==
          hashPromptBlocks("m", {{1, 2000}, {2, 1000}, {4, 900}}, 1000));
  }
  SECTION("a part that differs changes the blocks from there on") {
    const auto Other =
        hashPromptBlocks("m", {{1, 2000}, {9, 1000}, {3, 700}}, 1000);
    const auto Blocks = hashPromptBlocks("m", One, 1000);
    CHECK(Blocks[0] == Other[0]);
    CHECK(Blocks[1] == Other[1]);
    CHECK(Blocks[2] != Other[2]);
  }
  SECTION("another model shares nothing") {
    CHECK(hashPromptBlocks("m", One, 1000)[0] !=
          hashPromptBlocks("n", One, 1000)[0]);
  }
  SECTION("without parts there is nothing to share") {
    CHECK(hashPromptBlocks("m", {}, 1000).empty());
    CHECK(hashPromptBlocks("m", {{1, 5000}}, 1000).empty());
  }
}

namespace {

constexpr std::uint16_t TargetPort = 21877;

/// A dialect with short names.
http::Fields requestFields(const CallerRequest &Of, const TryOptions &With,
                           TimePoint) {
  http::Fields Made = Of.m_Fields;
  Made.emplace_back("Only", With.m_Target.m_Value);
  return Made;
}

ResponseInfo readAnswer(int Status, const http::Fields &Of) {
  ResponseInfo Made;
  Made.m_NotRun = !http::field(Of, "Not-Run").empty();
  Made.m_WrongTarget = Status == 421;
  Made.m_Signed = !http::field(Of, "Signed").empty();
  Made.m_Id = http::field(Of, "Id");
  return Made;
}

const Dialect Short{requestFields, readAnswer, nullptr, nullptr, nullptr};

/// One target, and one request to it.
struct Stage {
  event_base *m_Loop = event_base_new();
  std::unique_ptr<http::Server> m_Server;
  std::optional<TryResult> m_End;
  std::vector<std::uint64_t> m_Events;
  CallerRequest m_Ask;

  explicit Stage(http::Handler Answer) {
    m_Ask.m_Id = "r-1";
    m_Ask.m_Method = "POST";
    m_Ask.m_Target = "/a?b=c";
    m_Ask.m_Fields = {{"Host", "shop.example"}, {"Twice", "1"}, {"Twice", "2"}};
    m_Ask.m_Body = "body";
    if (!Answer)
      return;
    auto Listening = http::listen(m_Loop, {"127.0.0.1", TargetPort},
                                  http::ServerLimits{}, std::move(Answer));
    REQUIRE_FALSE(failed(Listening));
    m_Server = std::move(valueOf(Listening));
  }
  ~Stage() {
    m_Server.reset();
    event_base_free(m_Loop);
  }
  Stage(const Stage &) = delete;
  Stage &operator=(const Stage &) = delete;

  const TryResult &play(bool Streams) {
    http::Pool Connections(m_Loop, http::PoolSettings{});
    TryOptions With;
    With.m_Target = {"t-1"};
    With.m_Deadline = BootClock::now() + std::chrono::seconds(5);
    TryHandlers Handlers;
    if (Streams) {
      Handlers.m_OnHead = [](int, const http::Fields &) {};
      Handlers.m_OnEvent = [this](const Event &Got) {
        m_Events.push_back(Got.m_Id);
      };
    }
    Handlers.m_OnEnd = [this](TryResult Ending) {
      m_End = std::move(Ending);
      event_base_loopbreak(m_Loop);
    };
    const auto Call = send(Connections, Short, {"127.0.0.1", TargetPort}, m_Ask,
                           With, true, std::move(Handlers));
    event_base_dispatch(m_Loop);
    REQUIRE(m_End.has_value());
    return *m_End;
  }
};

using Exchange = std::shared_ptr<http::Exchange>;
const http::Fields Signed = {{"Signed", "yes"}, {"Id", "r-1"}};

} // namespace

TEST_CASE("what a target's answer proves") {
  SECTION("a signed success is the answer, byte for byte") {
    http::Request Seen;
    Stage On([&](const Exchange &Arrived) {
      Seen = Arrived->request();
      Arrived->relay(201, Signed, "made");
    });
    const TryResult &Ended = On.play(false);
    CHECK(Ended.m_Outcome == TryCompletion::Complete);
    CHECK(Ended.m_Response.m_Status == 201);
    CHECK(Ended.m_Response.m_Body == "made");
    SECTION("and the target got the request as it was") {
      CHECK(Seen.m_Method == "POST");
      CHECK(Seen.m_Target == "/a?b=c");
      CHECK(Seen.m_Body == "body");
      CHECK(std::count(Seen.m_Fields.begin(), Seen.m_Fields.end(),
                       std::pair<std::string, std::string>{"Twice", "2"}) == 1);
      CHECK(http::field(Seen.m_Fields, "Only") == "t-1");
    }
  }
  SECTION("its word that it did not run it") {
    Stage On([](const Exchange &Arrived) {
      Arrived->relay(503, {{"Not-Run", "1"}}, "");
    });
    CHECK(On.play(false).m_Outcome == TryCompletion::NotRun);
  }
  SECTION("another process at the address") {
    Stage On([](const Exchange &Arrived) { Arrived->relay(421, {}, ""); });
    const TryResult &Ended = On.play(false);
    CHECK(Ended.m_Outcome == TryCompletion::NotRun);
    CHECK(Ended.m_WrongTarget);
  }
  SECTION("a 503 without that word may have run") {
    Stage On([](const Exchange &Arrived) { Arrived->relay(503, Signed, ""); });
    CHECK(On.play(false).m_Outcome == TryCompletion::ErrorResponse);
  }
  SECTION("an answer without signature is none") {
    Stage On([](const Exchange &Arrived) { Arrived->relay(200, {}, "x"); });
    const TryResult &Ended = On.play(false);
    CHECK(Ended.m_Outcome == TryCompletion::Inconclusive);
    CHECK(Ended.m_InvalidResponse);
  }
  SECTION("nor is the answer to another request") {
    Stage On([](const Exchange &Arrived) {
      Arrived->relay(200, {{"Signed", "yes"}, {"Id", "r-0"}}, "x");
    });
    CHECK(On.play(false).m_InvalidResponse);
  }
  SECTION("nobody listens: nothing was sent") {
    Stage On(nullptr);
    CHECK(On.play(false).m_Outcome == TryCompletion::NotRun);
  }
  SECTION("a connection that breaks proves nothing") {
    Stage On([](const Exchange &Arrived) { Arrived->abort(); });
    CHECK(On.play(false).m_Outcome == TryCompletion::Inconclusive);
  }
}

TEST_CASE("a stream is whole only with its end") {
  http::Fields Head = Signed;
  Head.emplace_back("Content-Type", "text/event-stream");
  SECTION("in order") {
    Stage On([&](const Exchange &Arrived) {
      Arrived->startRelay(200, Head);
      Arrived->write(eventText(1));
      Arrived->write(eventText(2));
      Arrived->finish();
    });
    CHECK(On.play(true).m_Outcome == TryCompletion::Complete);
    CHECK(On.m_Events == std::vector<std::uint64_t>{1, 2});
  }
  SECTION("broken off behind an event") {
    Stage On([&](const Exchange &Arrived) {
      Arrived->startRelay(200, Head);
      Arrived->write(eventText(1));
      auto Later = std::make_shared<std::unique_ptr<http::Timer>>();
      *Later = std::make_unique<http::Timer>(
          nullptr == Arrived ? nullptr : On.m_Loop,
          std::chrono::milliseconds(20), false,
          [Arrived, Later] { Arrived->abort(); });
    });
    const TryResult &Ended = On.play(true);
    CHECK(Ended.m_Outcome == TryCompletion::Inconclusive);
    CHECK(Ended.m_LastEventId == 1);
  }
  SECTION("ended inside an event") {
    Stage On([&](const Exchange &Arrived) {
      Arrived->startRelay(200, Head);
      Arrived->write(eventText(1) + "id: 2\nda");
      Arrived->finish();
    });
    const TryResult &Ended = On.play(true);
    CHECK(Ended.m_Outcome == TryCompletion::Inconclusive);
    CHECK(Ended.m_InvalidResponse);
    CHECK(On.m_Events == std::vector<std::uint64_t>{1});
  }
  SECTION("with an event missing") {
    Stage On([&](const Exchange &Arrived) {
      Arrived->startRelay(200, Head);
      Arrived->write(eventText(1) + eventText(3));
      Arrived->finish();
    });
    CHECK(On.play(true).m_InvalidResponse);
    CHECK(On.m_Events == std::vector<std::uint64_t>{1});
  }
}
