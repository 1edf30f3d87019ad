// Kept connections against a server of raw bytes.

#include "http/http.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <optional>

using namespace wasabivale;
using namespace wasabivale::http;

namespace {

constexpr std::uint16_t Port = 21878;

/// Answers each request head with the next of its texts; a text that ends with
/// `!` closes the connection after it.
struct RawServer {
  event_base *m_Loop;
  evconnlistener *m_Listener = nullptr;
  std::vector<std::string> m_Answers;
  std::size_t m_Next = 0;
  int m_Accepted = 0;
  std::string m_Seen;
  std::vector<bufferevent *> m_Open;

  RawServer(event_base *Loop, std::vector<std::string> Answers)
      : m_Loop(Loop), m_Answers(std::move(Answers)) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(Port);
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_Listener = evconnlistener_new_bind(
        Loop, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr *>(&At), sizeof(At));
    REQUIRE(m_Listener != nullptr);
  }
  ~RawServer() {
    for (bufferevent *Each : m_Open)
      bufferevent_free(Each);
    evconnlistener_free(m_Listener);
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Owner) {
    auto &Self = *static_cast<RawServer *>(Owner);
    ++Self.m_Accepted;
    bufferevent *Made =
        bufferevent_socket_new(Self.m_Loop, Socket, BEV_OPT_CLOSE_ON_FREE);
    Self.m_Open.push_back(Made);
    bufferevent_setcb(Made, onRead, nullptr, nullptr, Owner);
    bufferevent_enable(Made, EV_READ | EV_WRITE);
  }

  static void onRead(bufferevent *From, void *Owner) {
    auto &Self = *static_cast<RawServer *>(Owner);
    evbuffer *Input = bufferevent_get_input(From);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    Self.m_Seen += Bytes;
    if (Bytes.find("\r\n\r\n") == Bytes.npos ||
        Self.m_Next >= Self.m_Answers.size())
      return;
    std::string Text = Self.m_Answers[Self.m_Next++];
    const bool Close = !Text.empty() && Text.back() == '!';
    if (Close)
      Text.pop_back();
    bufferevent_write(From, Text.data(), Text.size());
    if (Close)
      bufferevent_setcb(From, nullptr, onWritten, nullptr, nullptr);
  }

  static void onWritten(bufferevent *From, void *) {
    shutdown(bufferevent_getfd(From), SHUT_WR);
  }
};

struct Stage {
  event_base *m_Loop = event_base_new();
  ~Stage() { event_base_free(m_Loop); }
  Stage() = default;
  Stage(const Stage &) = delete;
  Stage &operator=(const Stage &) = delete;

  Result<Response> ask(Pool &Through, const std::string &Body = "",
                       const std::string &Method = "GET") const {
    ClientRequest Out;
    Out.m_To = {"127.0.0.1", Port};
    Out.m_Method = Method;
    Out.m_Path = "/a";
    Out.m_Fields = {{"Host", "x.example"}, {"Twice", "1"}, {"Twice", "2"}};
    Out.m_Body = Body;
    Out.m_Deadline = BootClock::now() + std::chrono::seconds(2);
    std::optional<Result<Response>> Got;
    ClientHandlers Handlers;
    Handlers.m_OnDone = [&](Result<Response> Ended) {
      Got = std::move(Ended);
      event_base_loopbreak(m_Loop);
    };
    (void)Through.call(std::move(Out), std::move(Handlers), true);
    event_base_dispatch(m_Loop);
    REQUIRE(Got.has_value());
    // What stands behind an answer has time to arrive.
    const timeval Moment{0, 20'000};
    event_base_loopexit(m_Loop, &Moment);
    event_base_dispatch(m_Loop);
    return *Got;
  }
};

const std::string Plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("a connection is kept after a whole answer") {
  Stage On;
  SECTION("and the next request takes it") {
    RawServer Server(On.m_Loop, {Plain, Plain, Plain});
    Pool Through(On.m_Loop, {});
    for (int I = 0; I < 3; ++I)
      CHECK(valueOf(On.ask(Through)).m_Body == "ok");
    CHECK(Server.m_Accepted == 1);
    CHECK(Through.opened() == 1);
    CHECK(Server.m_Seen.find("Twice: 1\r\nTwice: 2\r\n") != std::string::npos);
  }
  SECTION("but not where the server asks to close it") {
    RawServer Server(On.m_Loop, {"HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                 "Content-Length: 2\r\n\r\nok!",
                                 Plain});
    Pool Through(On.m_Loop, {});
    CHECK_FALSE(failed(On.ask(Through)));
    CHECK_FALSE(failed(On.ask(Through)));
    CHECK(Server.m_Accepted == 2);
  }
  SECTION("nor when bytes follow that belong to no request") {
    RawServer Server(On.m_Loop, {Plain + Plain, Plain});
    Pool Through(On.m_Loop, {});
    CHECK(valueOf(On.ask(Through)).m_Body == "ok");
    CHECK(Through.idle() == 0);
    CHECK_FALSE(failed(On.ask(Through)));
    CHECK(Server.m_Accepted == 2);
  }
  SECTION("nor after an answer whose length was not stated") {
    RawServer Server(On.m_Loop, {"HTTP/1.1 200 OK\r\n\r\nwhole!", Plain});
    Pool Through(On.m_Loop, {});
    CHECK(valueOf(On.ask(Through)).m_Body == "whole");
    CHECK(Through.idle() == 0);
    CHECK_FALSE(failed(On.ask(Through)));
    CHECK(Server.m_Accepted == 2);
  }
  SECTION("nor longer than the server keeps it") {
    RawServer Server(On.m_Loop, {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
                                 "Content-Length: 2\r\n\r\nok",
                                 Plain});
    Pool Through(On.m_Loop, {});
    CHECK_FALSE(failed(On.ask(Through)));
    CHECK(Through.idle() == 0);
  }
  SECTION("and one that the server has closed is not used") {
    RawServer Server(On.m_Loop, {Plain + "!", Plain});
    Pool Through(On.m_Loop, {});
    CHECK_FALSE(failed(On.ask(Through)));
    CHECK_FALSE(failed(On.ask(Through)));
    CHECK(Server.m_Accepted == 2);
  }
}

TEST_CASE("bytes between two requests are not taken for an answer") {
  Stage Setting;
  RawServer Server(Setting.m_Loop, {Plain, Plain});
  Pool Through(Setting.m_Loop, {});
  CHECK(valueOf(Setting.ask(Through)).m_Body == "ok");
  REQUIRE(Through.idle() == 1);
  const std::string Stale = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
  // Written past the loop: the client learns of them from its socket only.
  const int Socket = bufferevent_getfd(Server.m_Open.front());
  const auto WriteStale = [&] {
    CHECK(send(Socket, Stale.data(), Stale.size(), 0) ==
          static_cast<ssize_t>(Stale.size()));
  };
  SECTION("when they arrive before the connection is chosen") {
    WriteStale();
    CHECK(valueOf(Setting.ask(Through)).m_Status == 200);
    CHECK(Server.m_Accepted == 2);
  }
  SECTION("when they arrive before the request is sent") {
    std::optional<Result<Response>> Got;
    ClientRequest Out;
    Out.m_To = {"127.0.0.1", Port};
    Out.m_Method = "GET";
    Out.m_Path = "/a";
    Out.m_Fields = {{"Host", "x.example"}};
    Out.m_Deadline = BootClock::now() + std::chrono::seconds(2);
    ClientHandlers Handlers;
    Handlers.m_OnDone = [&](Result<Response> Ended) {
      Got = std::move(Ended);
      event_base_loopbreak(Setting.m_Loop);
    };
    const std::size_t SeenBefore = Server.m_Seen.size();
    const auto Call = Through.call(std::move(Out), std::move(Handlers), true);
    WriteStale();
    event_base_dispatch(Setting.m_Loop);
    REQUIRE(Got.has_value());
    // They are read before the request is written, or right after.
    CHECK((Call->hasSent() || failed(*Got)));
    CHECK((Call->hasSent() || Server.m_Seen.size() == SeenBefore));
    CHECK(Call->isReused());
    CHECK(Through.idle() == 0);
  }
}

TEST_CASE("an answer that begins within its request ends the connection") {
  Stage Setting;
  RawServer Server(Setting.m_Loop, {Plain, Plain});
  Pool Through(Setting.m_Loop, {});
  // More than the kernel takes at once.
  CHECK(valueOf(Setting.ask(Through, std::string(8U << 20U, 'x'), "POST"))
            .m_Body == "ok");
  CHECK(Through.idle() == 0);
}

TEST_CASE("an answer that is not whole is a failure") {
  Stage On;
  const char *Broken[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok!",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n!",
      "garbage\r\n\r\n!",
      "HTTP/1.1 200 OK\r\nContent-Le!",
      "!",
  };
  for (const char *Text : Broken) {
    RawServer Server(On.m_Loop, {Text});
    Pool Through(On.m_Loop, {});
    INFO(Text);
    CHECK(failed(On.ask(Through)));
    CHECK(Through.idle() == 0);
  }
}

TEST_CASE("a body states its length whatever the method") {
  Stage On;
  for (const char *Method : {"POST", "PUT", "PATCH", "DELETE"}) {
    RawServer Server(On.m_Loop, {Plain});
    Pool Through(On.m_Loop, {});
    CHECK_FALSE(failed(On.ask(Through, "four", Method)));
    CHECK(Server.m_Seen.find("Content-Length: 4\r\n") != std::string::npos);
    CHECK(Server.m_Seen.find("\r\n\r\nfour") != std::string::npos);
  }
}

TEST_CASE("a request whose length is ambiguous never reaches the handler") {
  Stage On;
  int Handled = 0;
  auto Server = listen(On.m_Loop, {"127.0.0.1", Port}, ServerLimits{},
                       [&](const std::shared_ptr<Exchange> &Arrived) {
                         ++Handled;
                         Arrived->reply(200, {}, "ok");
                       });
  REQUIRE_FALSE(failed(Server));
  const std::string Inner = "POST /hidden HTTP/1.1\r\nHost: x\r\n"
                            "Content-Length: 0\r\n\r\n";
  const auto Send = [&](const std::string &Bytes) {
    bufferevent *Caller =
        bufferevent_socket_new(On.m_Loop, -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(Port);
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_socket_connect(Caller, reinterpret_cast<sockaddr *>(&At),
                               sizeof(At));
    bufferevent_enable(Caller, EV_READ | EV_WRITE);
    bufferevent_write(Caller, Bytes.data(), Bytes.size());
    const timeval Moment{0, 100'000};
    event_base_loopexit(On.m_Loop, &Moment);
    event_base_dispatch(On.m_Loop);
    evbuffer *Input = bufferevent_get_input(Caller);
    std::string Got(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Got.data(), Got.size());
    bufferevent_free(Caller);
    return Got;
  };
  SECTION("however it is written") {
    const std::string Post = "POST /a HTTP/1.1\r\nHost: x\r\n";
    const std::string Rows[] = {
        Post +
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        Post + "Transfer-Encoding: identity, chunked\r\n\r\n" + Inner,
        Post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        Post + "Content-Length: +4\r\n\r\nabcd",
        Post + "Content-Length : 4\r\n\r\nabcd",
        "GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
            std::to_string(Inner.size()) + "\r\n\r\n" + Inner,
        "DELETE /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
            Inner,
    };
    for (const std::string &Each : Rows) {
      INFO(Each);
      const std::string Got = Send(Each);
      CHECK(Handled == 0);
      // 413 where evhttp gives up on the body before it is looked at here.
      const std::string Status = Got.substr(0, 12);
      CHECK((Status == "HTTP/1.1 400" || Status == "HTTP/1.1 413"));
    }
  }
  SECTION("and a plain one does") {
    CHECK(Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
              .substr(0, 12) == "HTTP/1.1 200");
    CHECK(Send("GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
              .substr(0, 12) == "HTTP/1.1 200");
    CHECK(Handled == 2);
  }
}

TEST_CASE("a pool tells its observer of connections") {
  const Stage Setting;
  Pool Through(Setting.m_Loop, {});
  int Connected = 0;
  int Received = 0;
  std::vector<TimePoint> Failures;
  Through.observe({[&](const Address &) { ++Connected; },
                   [&](const Address &Peer, TimePoint SilentSince) {
                     CHECK(Peer == Address{"127.0.0.1", Port});
                     Failures.push_back(SilentSince);
                   },
                   [&] { ++Received; }});
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  {
    const std::string Short = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n!";
    RawServer Server(Setting.m_Loop, {Answer, Answer, Short});
    (void)Setting.ask(Through);
    CHECK(Connected == 1);
    CHECK(Received == 1);
    SECTION("a kept one is not new") {
      (void)Setting.ask(Through);
      CHECK(Connected == 1);
      CHECK(Received == 2);
      CHECK(Failures.empty());
      SECTION("and fails when it ends before the answer") {
        const TimePoint Sent = BootClock::now();
        (void)Setting.ask(Through);
        REQUIRE(Failures.size() == 1);
        // Its first bytes were heard.
        CHECK(Failures[0] >= Sent);
        CHECK(Failures[0] <= BootClock::now());
      }
    }
  }
  SECTION("one that is refused fails") {
    Through.forget({"127.0.0.1", Port});
    CHECK(failed(Setting.ask(Through)));
    CHECK(Connected == 1);
    CHECK(Failures.size() == 1);
  }
}

TEST_CASE("a probe tells whether a process listens") {
  event_base *Loop = event_base_new();
  {
    const auto Probe = [&](std::uint16_t At) {
      std::optional<ListenerState> Found;
      const ListenerProbe Open(Loop, {"127.0.0.1", At},
                               BootClock::now() + std::chrono::seconds(1),
                               [&](ListenerState State) { Found = State; });
      while (!Found)
        event_base_loop(Loop, EVLOOP_ONCE);
      return *Found;
    };
    RawServer Server(Loop, {});
    CHECK(Probe(Port) == ListenerState::Listening);
    CHECK(Probe(Port + 1) == ListenerState::Refused);
  }
  event_base_free(Loop);
}
