#include "Shop.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace wasabivale;
using namespace wasabivale::entry;
using namespace wasabivale::entry::test;

namespace {

/// A caller's connection, byte for byte.
class RawCaller {
public:
  explicit RawCaller(const std::string &Method, const std::string &Path)
      : m_Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Peer{};
    Peer.sin_family = AF_INET;
    Peer.sin_port = htons(EntryPort);
    inet_pton(AF_INET, "127.0.0.1", &Peer.sin_addr);
    REQUIRE(::connect(m_Socket, reinterpret_cast<sockaddr *>(&Peer),
                      sizeof(Peer)) == 0);
    const std::string Request =
        fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\nAttempt: r-1\r\n"
                    "Content-Length: 0\r\n\r\n",
                    Method, Path);
    REQUIRE(::send(m_Socket, Request.data(), Request.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Request.size()));
  }
  ~RawCaller() { close(); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

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
  /// Status of what was received; zero if it is nothing.
  [[nodiscard]] int status() const {
    constexpr std::size_t StatusAt = 9;
    return m_Got.size() < StatusAt + 3 ? 0
                                       : std::stoi(m_Got.substr(StatusAt, 3));
  }
  std::string m_Got;

private:
  int m_Socket;
};

} // namespace

SCENARIO("a caller that seems to have left, and still reads, gets an answer") {
  for (const char *Path : {"/book/7", "/stock/7"}) {
    DYNAMIC_SECTION(Path) {
      Shop Around;
      Around.open({[](const Exchange &) {}});
      RawCaller Peer("POST", Path);
      REQUIRE(Around.m_Loop.until([&] { return Around.m_Held.size() == 1; }));
      Peer.shutDown();
      Around.m_Loop.turnFor(60ms);
      answers(200, "done")(Around.m_Held[0]);
      Around.m_Loop.until([&] { return !Peer.read(); });
      CHECK(Peer.status() == 200);
      CHECK(Peer.m_Got.find("done") != Peer.m_Got.npos);
      CHECK(Around.m_Seen.size() == 1);
    }
  }
  GIVEN("a call that may be repeated and takes long") {
    Shop Around;
    Around.open({[](const Exchange &) {}});
    RawCaller Peer("POST", "/stock/7");
    REQUIRE(Around.m_Loop.until([&] { return Around.m_Held.size() == 1; }));
    Peer.shutDown();
    THEN("its caller is told that its outcome is not known") {
      Around.m_Loop.until([&] { return !Peer.read(); });
      CHECK(Peer.status() == 502);
      CHECK(Peer.m_Got.find("caller_left") != Peer.m_Got.npos);
    }
  }
  GIVEN("a call whose target refuses it") {
    Shop Around;
    Around.open({[](const Exchange &) {}});
    RawCaller Peer("POST", "/book/7");
    REQUIRE(Around.m_Loop.until([&] { return Around.m_Held.size() == 1; }));
    Peer.shutDown();
    Around.m_Loop.turnFor(20ms);
    refuses()(Around.m_Held[0]);
    THEN("its caller is promised that it has not run, and it goes nowhere") {
      Around.m_Loop.until([&] { return !Peer.read(); });
      CHECK(Peer.status() == 503);
      Around.m_Loop.turnFor(200ms);
      CHECK(Around.m_Seen.size() == 1);
    }
  }
}

SCENARIO("a caller that has left soon costs its target nothing") {
  Shop Around;
  Around.open({[](const Exchange &) {}});
  const auto Sends = [&](const char *Path) {
    auto Peer = std::make_unique<RawCaller>("POST", Path);
    REQUIRE(Around.m_Loop.until([&] { return Around.m_Held.size() == 1; }));
    return Peer;
  };
  const auto EndsWithin = [&](std::chrono::milliseconds Longest) {
    const TimePoint LeftAt = BootClock::now();
    return Around.m_Loop.until([&] {
      return Around.m_Held[0]->isGone() || BootClock::now() - LeftAt > Longest;
    }) && BootClock::now() - LeftAt <= Longest;
  };
  for (const char *Path : {"/stock/7", "/book/7", "/note/7", "/advice/7"}) {
    DYNAMIC_SECTION("a close ends " << Path) {
      const auto Peer = Sends(Path);
      Peer->close();
      CHECK(EndsWithin(400ms));
    }
    DYNAMIC_SECTION("a reset ends " << Path) {
      const auto Peer = Sends(Path);
      Peer->reset();
      CHECK(EndsWithin(150ms));
    }
  }
}

SCENARIO("a call that may have run is not told as not run while its target is "
         "probed") {
  for (const char *Path : {"/book/7", "/stock/7"}) {
    DYNAMIC_SECTION(Path) {
      Shop Around;
      Around.open({[](const Exchange &) {}});
      RawCaller Peer("POST", Path);
      REQUIRE(Around.m_Loop.until([&] { return Around.m_Held.size() == 1; }));
      Around.m_Held[0]->abort();
      Around.m_Loop.turnFor(2ms);
      Peer.shutDown();
      Around.m_Loop.until([&] { return !Peer.read(); });
      CHECK(Peer.status() != 503);
    }
  }
}

SCENARIO("a request that is open when its server ends is let go once") {
  Shop Around;
  Around.open({[](const Exchange &) {}});
  RawCaller Peer("POST", "/book/7");
  REQUIRE(Around.m_Loop.until([&] { return Around.m_Held.size() == 1; }));
  Around.end();
  Around.m_Loop.turnFor(20ms);
  CHECK(Around.m_Entry == nullptr);
}
