#include "http/http.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <ctime>
#include <sys/socket.h>
#include <unistd.h>

using namespace wasabivale;
using namespace std::chrono_literals;

namespace {

const http::Address At{"127.0.0.1", 28423};
const std::string Request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

struct Loop {
  event_base *m_Base = event_base_new();
  ~Loop() { event_base_free(m_Base); }
  void turn() const {
    const timeval Tick{0, 2000};
    event_base_loopexit(m_Base, &Tick);
    event_base_dispatch(m_Base);
  }
  bool turnUntil(const std::function<bool()> &Done,
                 std::chrono::milliseconds Longest = 5s) const {
    const TimePoint End = BootClock::now() + Longest;
    while (!Done() && BootClock::now() < End)
      turn();
    return Done();
  }
};

std::chrono::nanoseconds processorTime() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

/// A caller's connection, byte for byte.
class Caller {
public:
  Caller() : m_Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Peer{};
    Peer.sin_family = AF_INET;
    Peer.sin_port = htons(At.m_Port);
    inet_pton(AF_INET, At.m_Host.c_str(), &Peer.sin_addr);
    REQUIRE(::connect(m_Socket, reinterpret_cast<sockaddr *>(&Peer),
                      sizeof(Peer)) == 0);
  }
  ~Caller() { close(); }
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  void send(std::string_view Bytes) const {
    REQUIRE(::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  void shutDown() const { ::shutdown(m_Socket, SHUT_WR); }
  void close() {
    if (m_Socket >= 0)
      ::close(std::exchange(m_Socket, -1));
  }
  void reset() {
    const linger AtOnce{1, 0};
    setsockopt(m_Socket, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof(AtOnce));
    close();
  }
  /// Takes what has arrived. \returns whether the connection is still open.
  bool read() {
    char Bytes[16384];
    const ssize_t Count = recv(m_Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT);
    if (Count > 0)
      m_Got.append(Bytes, static_cast<std::size_t>(Count));
    return Count > 0 || (Count < 0 && errno == EAGAIN);
  }
  std::string m_Got;

private:
  int m_Socket;
};

struct Served {
  Loop m_Loop;
  std::vector<std::shared_ptr<http::Exchange>> m_Open;
  std::unique_ptr<http::Server> m_Server;

  Served() {
    auto Opened = http::listen(m_Loop.m_Base, At, {},
                               [this](std::shared_ptr<http::Exchange> Arrived) {
                                 m_Open.push_back(std::move(Arrived));
                               });
    REQUIRE(!failed(Opened));
    m_Server = std::move(valueOf(Opened));
  }
  bool has(std::size_t Requests) const {
    return m_Loop.turnUntil([&] { return m_Open.size() == Requests; });
  }
};

} // namespace

SCENARIO("a caller that leaves while its request runs is noticed, and costs "
         "its server nothing until then") {
  Served Served;
  Caller Peer;
  Peer.send(Request);
  REQUIRE(Served.has(1));
  const auto IsGone = [&] { return Served.m_Open[0]->isGone(); };
  GIVEN("nothing behind the request") {
    THEN("a reset is noticed") {
      Peer.reset();
      REQUIRE(Served.m_Loop.turnUntil(IsGone, 300ms));
      CHECK(Served.m_Open[0]->goneReason() == "reset");
    }
    THEN("a close is noticed") {
      Peer.close();
      REQUIRE(Served.m_Loop.turnUntil(IsGone, 300ms));
      CHECK(Served.m_Open[0]->goneReason() == "hangup");
    }
  }
  GIVEN("bytes of the next request") {
    Peer.send(Request);
    WHEN("they wait") {
      const auto Before = processorTime();
      CHECK_FALSE(Served.m_Loop.turnUntil(IsGone, 500ms));
      THEN("the loop rests") { CHECK(processorTime() - Before < 250ms); }
    }
    THEN("a reset is noticed") {
      Served.m_Loop.turn();
      Peer.reset();
      REQUIRE(Served.m_Loop.turnUntil(IsGone, 300ms));
    }
    THEN("a close is noticed") {
      Served.m_Loop.turn();
      Peer.close();
      REQUIRE(Served.m_Loop.turnUntil(IsGone, 300ms));
    }
    THEN("both are answered") {
      Served.m_Open[0]->reply(200, {}, "first");
      REQUIRE(Served.has(2));
      Served.m_Open[1]->reply(200, {}, "second");
      CHECK(Served.m_Loop.turnUntil([&] {
        Peer.read();
        return Peer.m_Got.find("first") != Peer.m_Got.npos &&
               Peer.m_Got.find("second") != Peer.m_Got.npos;
      }));
    }
  }
  GIVEN("a reset that was noticed") {
    Peer.reset();
    Served.m_Loop.turnUntil(IsGone, 300ms);
    THEN("the loop rests although the request goes on") {
      const auto Before = processorTime();
      Served.m_Loop.turnUntil([] { return false; }, 500ms);
      CHECK(processorTime() - Before < 250ms);
    }
  }
}

SCENARIO("a caller that only stops sending still gets its whole answer") {
  Served Served;
  Caller Peer;
  Peer.send(Request);
  REQUIRE(Served.has(1));
  Peer.shutDown();
  REQUIRE(Served.m_Loop.turnUntil([&] { return Served.m_Open[0]->isGone(); }));
  for (const std::size_t Length : {std::size_t{5}, std::size_t{8} << 20U}) {
    DYNAMIC_SECTION(Length << " bytes") {
      Served.m_Open[0]->reply(200, {}, std::string(Length, 'x'));
      Served.m_Loop.turnUntil([&] { return !Peer.read(); });
      const std::size_t Body = Peer.m_Got.find("\r\n\r\n");
      REQUIRE(Body != Peer.m_Got.npos);
      CHECK(Peer.m_Got.size() - Body - 4 == Length);
    }
  }
  GIVEN("a stream of which pieces were not written") {
    Served.m_Open[0]->startStream(200, {});
    Served.m_Open[0]->write("piece");
    Served.m_Open[0]->finish();
    THEN("it does not look whole") {
      Served.m_Loop.turnUntil([&] { return !Peer.read(); });
      CHECK(Peer.m_Got.find("0\r\n\r\n") == Peer.m_Got.npos);
    }
  }
}
