#include "relay/relay.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

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

namespace {

/// A target that answers each request with the next of its raw texts.
struct RawTarget {
  event_base *m_Loop;
  std::vector<std::string> m_Answers;
  std::size_t m_Requests = 0;
  int m_Connections = 0;
  std::vector<bufferevent *> m_Open;
  evconnlistener *m_Listener;

  RawTarget(event_base *Loop, std::vector<std::string> Answers)
      : m_Loop(Loop), m_Answers(std::move(Answers)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(TargetPort);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_Listener = evconnlistener_new_bind(
        Loop, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    REQUIRE(m_Listener != nullptr);
  }
  ~RawTarget() {
    for (bufferevent *Connection : m_Open)
      bufferevent_free(Connection);
    evconnlistener_free(m_Listener);
  }
  RawTarget(const RawTarget &) = delete;
  RawTarget &operator=(const RawTarget &) = delete;

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Owner) {
    auto &Self = *static_cast<RawTarget *>(Owner);
    ++Self.m_Connections;
    bufferevent *Accepted =
        bufferevent_socket_new(Self.m_Loop, Socket, BEV_OPT_CLOSE_ON_FREE);
    Self.m_Open.push_back(Accepted);
    bufferevent_setcb(Accepted, onRead, nullptr, nullptr, Owner);
    bufferevent_enable(Accepted, EV_READ | EV_WRITE);
  }

  static void onRead(bufferevent *Connection, void *Owner) {
    auto &Self = *static_cast<RawTarget *>(Owner);
    evbuffer *Input = bufferevent_get_input(Connection);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    if (Bytes.find("\r\n\r\n") == Bytes.npos ||
        Self.m_Requests >= Self.m_Answers.size())
      return;
    const std::string &Answer = Self.m_Answers[Self.m_Requests++];
    bufferevent_write(Connection, Answer.data(), Answer.size());
  }
};

/// Requests that follow each other through one pool.
struct Sequence {
  event_base *m_Loop = event_base_new();
  std::unique_ptr<http::Pool> m_Connections =
      std::make_unique<http::Pool>(m_Loop, http::PoolSettings{});
  std::function<void()> m_AfterSend = [] {};

  Sequence() = default;
  ~Sequence() {
    m_Connections.reset();
    event_base_loop(m_Loop, EVLOOP_NONBLOCK);
    event_base_free(m_Loop);
  }
  Sequence(const Sequence &) = delete;
  Sequence &operator=(const Sequence &) = delete;

  TryResult run(const std::string &Id, TryOptions Options = {}) {
    CallerRequest Request;
    Request.m_Id = Id;
    Request.m_Method = "POST";
    Request.m_Target = "/a";
    Request.m_Fields = {{"Host", "shop.example"}};
    Options.m_Deadline = BootClock::now() + std::chrono::milliseconds(500);
    std::optional<TryResult> Ended;
    TryHandlers Handlers;
    Handlers.m_OnEnd = [&](TryResult Result) {
      Ended = std::move(Result);
      event_base_loopbreak(m_Loop);
    };
    (void)send(*m_Connections, TestDialect, {"127.0.0.1", TargetPort}, Request,
               Options, true, std::move(Handlers));
    m_AfterSend();
    event_base_dispatch(m_Loop);
    REQUIRE(Ended.has_value());
    return *Ended;
  }
};

std::string refusal(const std::string &Id) {
  return "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" +
         (Id.empty() ? "" : "Id: " + Id + "\r\n") + "Content-Length: 0\r\n\r\n";
}

std::string success(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nSigned: yes\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

TEST_CASE("a repeated answer on a kept connection is not taken for the next") {
  struct Row {
    const char *m_Name;
    std::string m_First;
    std::string m_Repeated;
  };
  const Row Rows[] = {
      {"a refusal", refusal("r-1"), refusal("r-1")},
      {"a refusal without an id", refusal(""), refusal("")},
      {"the word of another process", success("r-1", "a"),
       "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"},
      {"a success", success("r-1", "a"), success("r-1", "a")},
      {"a success without an id", success("r-1", "a"),
       "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 1\r\n\r\na"},
      {"an interim head", success("r-1", "a"),
       "HTTP/1.1 103 Early\r\nNot-Run: 1\r\nId: r-2\r\n\r\n"},
      {"fields of an interim head", success("r-1", "a"),
       "HTTP/1.1 100 Continue\r\nNot-Run: 1\r\nId: r-2\r\n\r\n"
       "HTTP/1.1 500 No\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n"},
  };
  for (const Row &Case : Rows)
    for (const bool PrefillOnly : {false, true}) {
      INFO(Case.m_Name << (PrefillOnly ? ", prefill" : ""));
      Sequence Story;
      RawTarget Target(Story.m_Loop, {Case.m_First, Case.m_Repeated});
      TryOptions Options;
      Options.m_PrefillOnly = PrefillOnly;
      (void)Story.run("r-1", Options);
      const TryResult Result = Story.run("r-2", Options);
      CHECK(Target.m_Connections == 1);
      CHECK(Target.m_Requests == 2);
      CHECK(Result.m_Outcome == TryCompletion::Inconclusive);
      CHECK(Result.m_Response.m_Body.empty());
      CHECK(Story.m_Connections->idle() == 0);
    }
}

TEST_CASE("a refusal that names the request proves that it has not run") {
  Sequence Story;
  SECTION("on a kept connection") {
    RawTarget Target(Story.m_Loop, {success("r-1", "a"), refusal("r-2")});
    (void)Story.run("r-1");
    CHECK(Story.run("r-2").m_Outcome == TryCompletion::NotRun);
    CHECK(Target.m_Connections == 1);
  }
  SECTION("and without a name on one that carried nothing before") {
    RawTarget Target(Story.m_Loop, {refusal("")});
    CHECK(Story.run("r-1").m_Outcome == TryCompletion::NotRun);
  }
  SECTION("but not when another arrives before the request is sent") {
    RawTarget Target(Story.m_Loop, {success("r-1", "a"), success("r-2", "b")});
    (void)Story.run("r-1");
    const std::string Stale = refusal("r-1");
    const int Socket = bufferevent_getfd(Target.m_Open.front());
    const auto Written = [&] {
      return ::send(Socket, Stale.data(), Stale.size(), 0) > 0;
    };
    SECTION("and the connection has not been chosen") {
      REQUIRE(Written());
      CHECK(Story.run("r-2").m_Outcome == TryCompletion::Complete);
      CHECK(Target.m_Connections == 2);
    }
    SECTION("and the connection has been chosen") {
      Story.m_AfterSend = [&] { REQUIRE(Written()); };
      const TryResult Result = Story.run("r-2");
      // Nothing was sent, or the fate of what was sent is unknown.
      CHECK(Result.m_Outcome != TryCompletion::Complete);
      CHECK((Result.m_Outcome == TryCompletion::Inconclusive ||
             Target.m_Requests == 1));
      CHECK(Story.m_Connections->idle() == 0);
    }
  }
  SECTION("but not when it repeats what an earlier try was told") {
    RawTarget Target(Story.m_Loop, {refusal("r-1"), success("r-1", "a")});
    (void)Story.run("r-1");
    TryOptions Again;
    Again.m_FreshConnection = true;
    CHECK(Story.run("r-1", Again).m_Outcome == TryCompletion::Complete);
    CHECK(Target.m_Connections == 2);
  }
}
