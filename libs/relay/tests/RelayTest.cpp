#include "relay/relay.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace wasabivale;
using namespace wasabivale::relay;

namespace {

std::string eventText(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

std::vector<std::uint64_t> idsOf(const std::vector<Event> &Events) {
  std::vector<std::uint64_t> Ids;
  Ids.reserve(Events.size());
  for (const Event &Received : Events)
    Ids.push_back(Received.m_Id);
  return Ids;
}

} // namespace

TEST_CASE("a stream is split into complete events") {
  EventReader Reader(0);
  std::vector<Event> Events;
  SECTION("for any split of its bytes") {
    const std::string All = eventText(1) + eventText(2) + eventText(3);
    for (const char Byte : All)
      REQUIRE_FALSE(failed(Reader.feed({&Byte, 1}, Events)));
    CHECK(idsOf(Events) == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(Events[0].m_Text + Events[1].m_Text + Events[2].m_Text == All);
    CHECK(Reader.isBetweenEvents());
  }
  SECTION("an incomplete event is not forwarded") {
    REQUIRE_FALSE(failed(Reader.feed(eventText(1) + "id: 2\ndata: y", Events)));
    CHECK(idsOf(Events) == std::vector<std::uint64_t>{1});
    CHECK_FALSE(Reader.isBetweenEvents());
  }
  SECTION("a duplicate event is dropped") {
    REQUIRE_FALSE(failed(
        Reader.feed(eventText(1) + eventText(1) + eventText(2), Events)));
    CHECK(idsOf(Events) == std::vector<std::uint64_t>{1, 2});
    CHECK(Reader.duplicates() == 1);
  }
  SECTION("a gap is an error, and nothing after it is forwarded") {
    CHECK(failed(Reader.feed(eventText(1) + eventText(3), Events)));
    CHECK(idsOf(Events) == std::vector<std::uint64_t>{1});
  }
  SECTION("lines may end with a carriage return") {
    REQUIRE_FALSE(failed(Reader.feed("id: 1\r\ndata: x\r\n\r\n", Events)));
    CHECK(idsOf(Events) == std::vector<std::uint64_t>{1});
  }
  SECTION("a resumed stream continues after the last event of the caller") {
    EventReader Resumed(7);
    REQUIRE_FALSE(failed(Resumed.feed(eventText(7) + eventText(8), Events)));
    CHECK(idsOf(Events) == std::vector<std::uint64_t>{8});
    CHECK(failed(Resumed.feed(eventText(10), Events)));
  }
}

TEST_CASE("prompts with a common prefix share their first blocks") {
  const std::vector<PromptPart> Parts = {{1, 2000}, {2, 1000}, {3, 700}};
  SECTION("the last part is not hashed") {
    CHECK(hashPromptBlocks("m", Parts, 1000).size() == 3);
    CHECK(hashPromptBlocks("m", Parts, 1000) ==
          hashPromptBlocks("m", {{1, 2000}, {2, 1000}, {4, 900}}, 1000));
  }
  SECTION("a different part changes all following blocks") {
    const auto Other =
        hashPromptBlocks("m", {{1, 2000}, {9, 1000}, {3, 700}}, 1000);
    const auto Blocks = hashPromptBlocks("m", Parts, 1000);
    CHECK(Blocks[0] == Other[0]);
    CHECK(Blocks[1] == Other[1]);
    CHECK(Blocks[2] != Other[2]);
  }
  SECTION("different models share no blocks") {
    CHECK(hashPromptBlocks("m", Parts, 1000)[0] !=
          hashPromptBlocks("n", Parts, 1000)[0]);
  }
  SECTION("a prompt without shareable parts has no blocks") {
    CHECK(hashPromptBlocks("m", {}, 1000).empty());
    CHECK(hashPromptBlocks("m", {{1, 5000}}, 1000).empty());
  }
}

namespace {

constexpr std::uint16_t TargetPort = 21877;

/// A minimal dialect.
http::Fields requestFields(const CallerRequest &Request,
                           const TryOptions &Options, TimePoint) {
  http::Fields Result = Request.m_Fields;
  Result.emplace_back("Only", Options.m_Target.m_Value);
  return Result;
}

ResponseInfo readResponse(int Status, const http::Fields &Fields) {
  ResponseInfo Info;
  Info.m_NotRun = !http::field(Fields, "Not-Run").empty();
  Info.m_WrongTarget = Status == 421;
  Info.m_Signed = !http::field(Fields, "Signed").empty();
  Info.m_Id = http::field(Fields, "Id");
  return Info;
}

const Dialect TestDialect{requestFields, readResponse, nullptr, nullptr,
                          nullptr};

/// A target and one request to it.
struct TryFixture {
  event_base *m_Loop = event_base_new();
  std::unique_ptr<http::Server> m_Server;
  std::optional<TryResult> m_Result;
  std::vector<std::uint64_t> m_Events;
  CallerRequest m_Request;

  explicit TryFixture(http::Handler Respond) {
    m_Request.m_Id = "r-1";
    m_Request.m_Method = "POST";
    m_Request.m_Target = "/a?b=c";
    m_Request.m_Fields = {
        {"Host", "shop.example"}, {"Twice", "1"}, {"Twice", "2"}};
    m_Request.m_Body = "body";
    if (!Respond)
      return;
    auto Listener = http::listen(m_Loop, {"127.0.0.1", TargetPort},
                                 http::ServerLimits{}, std::move(Respond));
    REQUIRE_FALSE(failed(Listener));
    m_Server = std::move(valueOf(Listener));
  }
  ~TryFixture() {
    m_Server.reset();
    event_base_free(m_Loop);
  }
  TryFixture(const TryFixture &) = delete;
  TryFixture &operator=(const TryFixture &) = delete;

  const TryResult &run(bool Streams) {
    http::Pool Connections(m_Loop, http::PoolSettings{});
    TryOptions Options;
    Options.m_Target = {"t-1"};
    Options.m_Deadline = BootClock::now() + std::chrono::seconds(5);
    TryHandlers Handlers;
    if (Streams) {
      Handlers.m_OnHead = [](int, const http::Fields &) {};
      Handlers.m_OnEvent = [this](const Event &Received) {
        m_Events.push_back(Received.m_Id);
      };
    }
    Handlers.m_OnEnd = [this](TryResult Result) {
      m_Result = std::move(Result);
      event_base_loopbreak(m_Loop);
    };
    const auto Call = send(Connections, TestDialect, {"127.0.0.1", TargetPort},
                           m_Request, Options, true, std::move(Handlers));
    event_base_dispatch(m_Loop);
    REQUIRE(m_Result.has_value());
    return *m_Result;
  }
};

using Exchange = std::shared_ptr<http::Exchange>;
const http::Fields Signed = {{"Signed", "yes"}, {"Id", "r-1"}};

} // namespace

TEST_CASE("the response of a target determines the outcome of a try") {
  SECTION("a signed success is returned byte for byte") {
    http::Request Received;
    TryFixture Fixture([&](const Exchange &Incoming) {
      Received = Incoming->request();
      Incoming->relay(201, Signed, "made");
    });
    const TryResult &Result = Fixture.run(false);
    CHECK(Result.m_Outcome == TryCompletion::Complete);
    CHECK(Result.m_Response.m_Status == 201);
    CHECK(Result.m_Response.m_Body == "made");
    SECTION("the target received the request unchanged") {
      CHECK(Received.m_Method == "POST");
      CHECK(Received.m_Target == "/a?b=c");
      CHECK(Received.m_Body == "body");
      CHECK(std::count(Received.m_Fields.begin(), Received.m_Fields.end(),
                       std::pair<std::string, std::string>{"Twice", "2"}) == 1);
      CHECK(http::field(Received.m_Fields, "Only") == "t-1");
    }
  }
  SECTION("the target states that it did not run the request") {
    TryFixture Fixture([](const Exchange &Incoming) {
      Incoming->relay(503, {{"Not-Run", "1"}}, "");
    });
    CHECK(Fixture.run(false).m_Outcome == TryCompletion::NotRun);
  }
  SECTION("another process uses the address of the target") {
    TryFixture Fixture(
        [](const Exchange &Incoming) { Incoming->relay(421, {}, ""); });
    const TryResult &Result = Fixture.run(false);
    CHECK(Result.m_Outcome == TryCompletion::NotRun);
    CHECK(Result.m_WrongTarget);
  }
  SECTION("a 503 without that statement may have run") {
    TryFixture Fixture(
        [](const Exchange &Incoming) { Incoming->relay(503, Signed, ""); });
    CHECK(Fixture.run(false).m_Outcome == TryCompletion::ErrorResponse);
  }
  SECTION("a response without signature is invalid") {
    TryFixture Fixture(
        [](const Exchange &Incoming) { Incoming->relay(200, {}, "x"); });
    const TryResult &Result = Fixture.run(false);
    CHECK(Result.m_Outcome == TryCompletion::Inconclusive);
    CHECK(Result.m_InvalidResponse);
  }
  SECTION("a response to another request is invalid") {
    TryFixture Fixture([](const Exchange &Incoming) {
      Incoming->relay(200, {{"Signed", "yes"}, {"Id", "r-0"}}, "x");
    });
    CHECK(Fixture.run(false).m_InvalidResponse);
  }
  SECTION("a refused connection proves that nothing was sent") {
    TryFixture Fixture(nullptr);
    CHECK(Fixture.run(false).m_Outcome == TryCompletion::NotRun);
  }
  SECTION("an aborted connection is inconclusive") {
    TryFixture Fixture([](const Exchange &Incoming) { Incoming->abort(); });
    CHECK(Fixture.run(false).m_Outcome == TryCompletion::Inconclusive);
  }
}

TEST_CASE("a stream is complete only when it ends properly") {
  http::Fields Head = Signed;
  Head.emplace_back("Content-Type", "text/event-stream");
  SECTION("all events arrive in order") {
    TryFixture Fixture([&](const Exchange &Incoming) {
      Incoming->startRelay(200, Head);
      Incoming->write(eventText(1));
      Incoming->write(eventText(2));
      Incoming->finish();
    });
    CHECK(Fixture.run(true).m_Outcome == TryCompletion::Complete);
    CHECK(Fixture.m_Events == std::vector<std::uint64_t>{1, 2});
  }
  SECTION("the connection aborts after an event") {
    TryFixture Fixture([&](const Exchange &Incoming) {
      Incoming->startRelay(200, Head);
      Incoming->write(eventText(1));
      auto Later = std::make_shared<std::unique_ptr<http::Timer>>();
      *Later = std::make_unique<http::Timer>(
          nullptr == Incoming ? nullptr : Fixture.m_Loop,
          std::chrono::milliseconds(20), false,
          [Incoming, Later] { Incoming->abort(); });
    });
    const TryResult &Result = Fixture.run(true);
    CHECK(Result.m_Outcome == TryCompletion::Inconclusive);
    CHECK(Result.m_LastEventId == 1);
  }
  SECTION("the stream ends within an event") {
    TryFixture Fixture([&](const Exchange &Incoming) {
      Incoming->startRelay(200, Head);
      Incoming->write(eventText(1) + "id: 2\nda");
      Incoming->finish();
    });
    const TryResult &Result = Fixture.run(true);
    CHECK(Result.m_Outcome == TryCompletion::Inconclusive);
    CHECK(Result.m_InvalidResponse);
    CHECK(Fixture.m_Events == std::vector<std::uint64_t>{1});
  }
  SECTION("an event is missing") {
    TryFixture Fixture([&](const Exchange &Incoming) {
      Incoming->startRelay(200, Head);
      Incoming->write(eventText(1) + eventText(3));
      Incoming->finish();
    });
    CHECK(Fixture.run(true).m_InvalidResponse);
    CHECK(Fixture.m_Events == std::vector<std::uint64_t>{1});
  }
}
