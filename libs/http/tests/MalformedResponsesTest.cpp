// Responses that HTTP/1.1 does not allow, and unusual ones that it does.

#include "http_testing/http_testing.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <fmt/format.h>
#include <optional>

using namespace wasabivale;
using namespace std::chrono_literals;

namespace {

constexpr const char *Body = "{\"answer\":[1,2,3]}";
const std::string FieldLines = "X-Signed: yes\r\n";

enum class Way : std::uint8_t { Alone, Pool };

struct Heard {
  std::optional<http::Response> m_Response; ///< Nothing: the call failed.
  Error m_Failure;
  bool m_HasHead = false;
  std::string m_Pieces;
  std::size_t m_Idle = 0;     ///< Connections that the pool keeps.
  std::size_t m_Failures = 0; ///< That the pool's observer was told of.
};

struct Client {
  event_base *m_Loop = event_base_new();
  Client() = default;
  ~Client() { event_base_free(m_Loop); }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  void turnFor(std::chrono::milliseconds Length) const {
    const timeval Tick{0, std::chrono::microseconds(Length).count()};
    event_base_loopexit(m_Loop, &Tick);
    event_base_dispatch(m_Loop);
  }

  [[nodiscard]] Heard hear(const http::testing::ByteServer &Server, Way Through,
                           bool IsStream, std::string RequestBody = "") const {
    Heard Result;
    bool IsDone = false;
    http::Pool Pool(m_Loop, {});
    http::PoolObserver Observer;
    Observer.m_OnFailure = [&](const http::Address &, TimePoint) {
      ++Result.m_Failures;
    };
    Pool.observe(std::move(Observer));
    http::ClientRequest Request;
    Request.m_To = Server.address();
    Request.m_Path = "/answer";
    Request.m_Body = std::move(RequestBody);
    Request.m_Deadline = BootClock::now() + 5s;
    http::ClientHandlers Handlers;
    Handlers.m_OnHead = [&](int, const http::Headers &) {
      Result.m_HasHead = true;
    };
    if (IsStream)
      Handlers.m_OnChunk = [&](std::string_view Piece) {
        Result.m_Pieces += Piece;
      };
    Handlers.m_OnDone = [&](wasabivale::Result<http::Response> Ending) {
      IsDone = true;
      if (failed(Ending))
        Result.m_Failure = errorOf(Ending);
      else
        Result.m_Response = std::move(valueOf(Ending));
    };
    if (Through == Way::Pool)
      Pool.call(std::move(Request), std::move(Handlers), true);
    else
      http::call(m_Loop, std::move(Request), std::move(Handlers));
    const TimePoint Deadline = BootClock::now() + 10s;
    while (!IsDone && BootClock::now() < Deadline)
      turnFor(1ms);
    turnFor(1ms); // What has ended is freed from the loop.
    REQUIRE(IsDone);
    Result.m_Idle = Pool.idle();
    return Result;
  }
};

} // namespace

TEST_CASE("a malformed response fails its call at once") {
  const Client Caller;
  const Way Through = GENERATE(Way::Alone, Way::Pool);
  const bool IsStream = GENERATE(false, true);
  for (const auto &Case : http::testing::malformedCases(FieldLines, Body)) {
    INFO(Case.m_Name << (Through == Way::Pool ? ", pool" : "")
                     << (IsStream ? ", stream" : ""));
    const http::testing::ByteServer Server(Caller.m_Loop, {Case.m_Bytes});
    const Heard Got = Caller.hear(Server, Through, IsStream);
    CHECK_FALSE(Got.m_Response);
    CHECK(Got.m_Failure.m_Message != "timed out");
    CHECK(http::isMalformedResponse(Got.m_Failure));
    CHECK(Got.m_HasHead == Case.m_IsHeadSound);
    CHECK(Server.requests() == 1);
    // The server was reached, and its connection is of no further use.
    CHECK(Got.m_Failures == 0);
    CHECK(Got.m_Idle == 0);
    CHECK(Server.openConnections() == 0);
  }
}

TEST_CASE("a malformed response is told from a connection that breaks") {
  const Client Caller;
  for (const auto Ending :
       {http::testing::Ending::Closed, http::testing::Ending::ClosedLater,
        http::testing::Ending::Reset})
    for (const auto &Case : http::testing::malformedCases(FieldLines, Body)) {
      INFO(Case.m_Name << " " << static_cast<int>(Ending));
      const http::testing::ByteServer Server(Caller.m_Loop,
                                             {Case.m_Bytes, Ending});
      const Heard Got = Caller.hear(Server, Way::Pool, false);
      CHECK_FALSE(Got.m_Response);
      CHECK(http::isMalformedResponse(Got.m_Failure));
      CHECK(Got.m_Failures == 0);
    }
}

TEST_CASE("a malformed response ends the upload that it answers") {
  const Client Caller;
  const std::string Upload(4'000'000, 'u');
  for (const auto &Case : http::testing::malformedCases(FieldLines, Body)) {
    // evhttp reads on only once the upload is written, and takes the rest then.
    const std::string More = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    INFO(Case.m_Name);
    http::testing::ByteServerSettings Settings{Case.m_Bytes + More};
    Settings.m_AnswersEarly = true;
    Settings.m_PieceBytes = Case.m_Bytes.size();
    const http::testing::ByteServer Server(Caller.m_Loop, Settings);
    const Heard Got = Caller.hear(Server, Way::Pool, false, Upload);
    CHECK_FALSE(Got.m_Response);
    CHECK(http::isMalformedResponse(Got.m_Failure));
    CHECK(Got.m_Failures == 0);
    CHECK(Got.m_Idle == 0);
  }
}

TEST_CASE("unusual responses that are valid are whole") {
  const Client Caller;
  const Way Through = GENERATE(Way::Alone, Way::Pool);
  const bool IsStream = GENERATE(false, true);
  const std::size_t PieceBytes = GENERATE(0, 7);
  for (const auto &Case : http::testing::unusualCases(FieldLines, Body)) {
    INFO(Case.m_Name << (Through == Way::Pool ? ", pool" : "")
                     << (IsStream ? ", stream" : "") << ", pieces of "
                     << PieceBytes);
    const auto Ending = Case.m_EndsWithConnection
                            ? http::testing::Ending::ClosedLater
                            : http::testing::Ending::Open;
    const http::testing::ByteServer Server(
        Caller.m_Loop, {Case.m_Bytes, Ending, 0, PieceBytes});
    const Heard Got = Caller.hear(Server, Through, IsStream);
    REQUIRE(Got.m_Response);
    CHECK(Got.m_Response->m_Status == 200);
    CHECK(http::field(Got.m_Response->m_Fields, "x-signed") == "yes");
    CHECK((IsStream ? Got.m_Pieces : Got.m_Response->m_Body) == Body);
  }
}

TEST_CASE("values of fields arrive without the blanks around them") {
  const Client Caller;
  const http::testing::ByteServer Server(
      Caller.m_Loop, {"HTTP/1.1 200 OK\r\nX-A: \t b c \t\r\nX-B:d\r\nX-C:\r\n"
                      "X-A: e\r\nContent-Length: 0\r\n\r\n"});
  const Heard Got = Caller.hear(Server, Way::Alone, false);
  REQUIRE(Got.m_Response);
  CHECK(Got.m_Response->m_Fields == http::Fields{{"X-A", "b c"},
                                                 {"X-B", "d"},
                                                 {"X-C", ""},
                                                 {"X-A", "e"},
                                                 {"Content-Length", "0"}});
}

TEST_CASE("an answer to a long upload that ends early is not whole") {
  const Client Caller;
  const std::string Part = "part of the answer";
  const std::string Heads[] = {
      "HTTP/1.1 200 OK\r\n\r\n",
      "HTTP/1.0 200 OK\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n",
  };
  const std::size_t UploadBytes = GENERATE(70'000, 1'000'000, 4'000'000);
  const auto EndDelay = GENERATE(0ms, 1ms, 20ms, 150ms);
  const bool IsStream = GENERATE(false, true);
  for (const Way Through : {Way::Alone, Way::Pool})
    for (const std::string &Head : Heads) {
      INFO(Head << UploadBytes << " after " << EndDelay.count() << " ms");
      const http::testing::ByteServer Server(
          Caller.m_Loop,
          {Head + Part, http::testing::Ending::Reset, 0, 0, true, EndDelay});
      const Heard Got =
          Caller.hear(Server, Through, IsStream, std::string(UploadBytes, 'u'));
      CHECK_FALSE(Got.m_Response);
      CHECK(Got.m_Failure.m_Message != "timed out");
      CHECK(Got.m_Idle == 0);
    }
}
