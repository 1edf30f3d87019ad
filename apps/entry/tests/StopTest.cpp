// Requests around the end of the process that took them.

#include "Shop.h"

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabivale::entry::test {

namespace {

/// Answers after \p Delay, as a target at work does.
Play answersAfter(Shop &Around, std::chrono::milliseconds Delay,
                  const std::string &Body) {
  return [&Around, Delay, Body](const Exchange &Request) {
    Around.m_Restarts.push_back(
        std::make_unique<http::Timer>(Around.m_Loop.m_Base, Delay, false,
                                      [=] { answers(200, Body)(Request); }));
  };
}

/// Callers with open connections to an entry, which they go on using.
class Callers {
public:
  Callers(Shop &Around, int Connections)
      : m_Around(Around), m_Pool(Around.m_Loop.m_Base, {}) {
    for (int I = 0; I < Connections; ++I)
      send();
    REQUIRE(Around.m_Loop.until([&] { return open() == 0; }));
    REQUIRE(m_Pool.idle() == std::size_t(Connections));
    m_Sent.clear();
    Around.m_Seen.clear();
  }

  /// Sends a call on an open connection, if there is one.
  void send() {
    const std::string Id = "r-" + std::to_string(m_Next++);
    http::ClientRequest Out;
    Out.m_To = {"127.0.0.1", EntryPort};
    Out.m_Path = "/book/7";
    Out.m_Fields = {{"Host", "shop.example"}, {"Attempt", Id}};
    Out.m_Body = "body";
    Out.m_Deadline = BootClock::now() + std::chrono::seconds(5);
    auto Got = std::make_shared<Answered>();
    http::ClientHandlers Handlers;
    Handlers.m_OnDone = [Got](const Result<http::Response> &Ending) {
      if (!failed(Ending))
        Got->m_Status = valueOf(Ending).m_Status;
      Got->m_Ended = true;
    };
    (void)m_Pool.call(std::move(Out), std::move(Handlers), true);
    m_Sent[Id] = Got;
  }

  [[nodiscard]] std::size_t idle() const { return m_Pool.idle(); }
  [[nodiscard]] int open() const {
    int Count = 0;
    for (const auto &[Id, Each] : m_Sent)
      Count += Each->m_Ended ? 0 : 1;
    return Count;
  }
  /// Requests that a target ran and whose callers did not get its answer.
  [[nodiscard]] int cut() const {
    int Count = 0;
    for (const http::Request &Request : m_Around.m_Seen)
      if (const auto Found = m_Sent.find(
              std::string(http::field(Request.m_Fields, "attempt")));
          Found != m_Sent.end())
        Count += Found->second->m_Status == 200 ? 0 : 1;
    return Count;
  }

private:
  Shop &m_Around;
  http::Pool m_Pool;
  std::map<std::string, std::shared_ptr<Answered>> m_Sent;
  int m_Next = 0;
};

/// A caller whose kernel takes little of an answer before it is read.
class SlowReader {
public:
  explicit SlowReader(const std::string &Request)
      : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int BufferBytes = 4096;
    setsockopt(m_Socket, SOL_SOCKET, SO_RCVBUF, &BufferBytes,
               sizeof(BufferBytes));
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(EntryPort);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(m_Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) ==
            0);
    REQUIRE(::send(m_Socket, Request.data(), Request.size(), 0) ==
            static_cast<ssize_t>(Request.size()));
  }
  ~SlowReader() { close(m_Socket); }
  SlowReader(const SlowReader &) = delete;
  SlowReader &operator=(const SlowReader &) = delete;

  /// Appends what has arrived. \returns whether the connection has ended.
  bool readMore(std::string &Got) const {
    std::array<char, 65536> Bytes{};
    ssize_t Count = 0;
    while ((Count = recv(m_Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT)) >
           0)
      Got.append(Bytes.data(), static_cast<std::size_t>(Count));
    return Count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

private:
  int m_Socket;
};

/// Asks the entry to stop; its process ends when it says that it is done.
void stop(Shop &Stopping) {
  Stopping.m_Entry->stop([&Stopping] {
    Stopping.m_Restarts.push_back(std::make_unique<http::Timer>(
        Stopping.m_Loop.m_Base, std::chrono::milliseconds(0), false,
        [&Stopping] { Stopping.end(); }));
  });
}

} // namespace

SCENARIO("a request is not cut by the end of the process that took it") {
  Shop Fixture;
  Fixture.m_Settings.m_StopLag = 150ms;
  Fixture.m_Settings.m_StopPatience = 600ms;
  GIVEN("callers that go on using open connections") {
    Fixture.m_Settings.m_StopLag = 1s;
    Fixture.m_Settings.m_StopPatience = 3s;
    Fixture.open({answersAfter(Fixture, 40ms, "booked")});
    Callers Around(Fixture, 40);
    WHEN("the process stops while they send") {
      stop(Fixture);
      const TimePoint GiveUpAt = BootClock::now() + 20s;
      while (Fixture.m_Entry != nullptr && BootClock::now() < GiveUpAt) {
        if (Around.idle() > 0)
          Around.send();
        Fixture.m_Loop.turnFor(50ms);
      }
      REQUIRE(Fixture.m_Entry == nullptr);
      Fixture.m_Loop.turnFor(100ms);
      THEN("whatever reached a target is answered") {
        CHECK(Fixture.m_Seen.size() > 2);
        CHECK(Around.cut() == 0);
      }
    }
  }
  GIVEN("an engine that streams for longer than the process has") {
    Fixture.m_Settings.m_StopLag = 200ms;
    Fixture.addEngine("decode", streams(1, false));
    Fixture.warmUp();
    WHEN("a stream arrives while the balancer may still send callers") {
      stop(Fixture);
      Fixture.m_Loop.turnFor(50ms);
      const auto Got = Fixture.start("POST", "/oracle/7", {{"Waits-S", "60"}});
      REQUIRE(Fixture.m_Loop.until([&] { return Got->m_Ended; }));
      THEN("it is refused at once, and has not run") {
        CHECK(Got->m_Status == 503);
        CHECK(Fixture.m_Seen.empty());
      }
      REQUIRE(Fixture.m_Loop.until([&] { return Fixture.m_Entry == nullptr; }));
    }
  }
  GIVEN("an answer that its caller takes its time to read") {
    Fixture.m_Settings.m_StopPatience = 8s;
    const std::string Body(3U << 20U, 'x');
    Fixture.open({answers(200, Body)});
    const SlowReader Caller("POST /book/7 HTTP/1.1\r\nHost: shop.example\r\n"
                            "Attempt: r-1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(Fixture.m_Loop.until([&] { return !Fixture.m_Seen.empty(); }));
    WHEN("the process stops meanwhile") {
      stop(Fixture);
      Fixture.m_Loop.turnFor(500ms);
      std::string Got;
      REQUIRE(Fixture.m_Loop.until([&] { return Caller.readMore(Got); }));
      THEN("the caller gets all of it") {
        CHECK(Got.rfind("HTTP/1.1 200", 0) == 0);
        CHECK(Got.size() > Body.size());
      }
      REQUIRE(Fixture.m_Loop.until([&] { return Fixture.m_Entry == nullptr; }));
    }
  }
}

SCENARIO("a request is not taken late in the grace on an estimate alone") {
  Shop Fixture;
  Fixture.m_Settings.m_StopLag = 400ms;
  Fixture.m_Settings.m_StopPatience = 1200ms;
  // Targets answer the first request at once, and hold the others.
  const auto HoldsAfterFirst = [&Fixture](const Play &First) {
    return [&Fixture, First](const Exchange &Request) {
      if (Fixture.m_Seen.size() == 1)
        First(Request);
    };
  };
  // Requests of four seconds end with their route, two seconds after them.
  const http::Fields Patient = {{"Waits-S", "4"}};
  const auto IsRefusedAtOnce = [&Fixture](const Answered &Got) {
    return Got.m_Status == 503 &&
           http::field(Got.m_Fields, OutcomeHeader) == "not_run" &&
           !http::field(Got.m_Fields, "retry-after").empty() &&
           Fixture.m_Seen.size() == 1;
  };
  GIVEN("a target that is slower than it was") {
    Fixture.open({HoldsAfterFirst(answers(200, "booked"))});
    REQUIRE(Fixture.ask("POST", "/book/7", Patient).m_Status == 200);
    WHEN("calls arrive while the balancer may still send callers") {
      stop(Fixture);
      Fixture.m_Loop.turnFor(50ms);
      THEN("one that must not be repeated is refused at once") {
        const TimePoint SentAt = BootClock::now();
        CHECK(IsRefusedAtOnce(Fixture.ask("POST", "/book/7", Patient)));
        CHECK(BootClock::now() - SentAt < 300ms);
      }
      THEN("one that may be repeated is refused at once") {
        CHECK(IsRefusedAtOnce(Fixture.ask("GET", "/stock/7", Patient)));
      }
    }
  }
  GIVEN("an engine that is slower than it was") {
    Fixture.addEngine("decode", HoldsAfterFirst(streams(1, true)));
    Fixture.warmUp();
    Fixture.grant();
    REQUIRE(Fixture.ask("POST", "/oracle/7", Patient).m_Status == 200);
    WHEN("a stream arrives while the balancer may still send callers") {
      stop(Fixture);
      Fixture.m_Loop.turnFor(50ms);
      THEN("it is refused at once") {
        CHECK(IsRefusedAtOnce(Fixture.ask("POST", "/oracle/7", Patient)));
      }
    }
  }
  GIVEN("a call that must not be repeated and waits for a target") {
    wire::Target &Full = Fixture.add([](const Exchange &) {});
    Full.set_max_running(1);
    Fixture.open({});
    const auto Running = Fixture.start("POST", "/book/7", {{"Waits-S", "1"}});
    REQUIRE(Fixture.m_Loop.until([&] { return Fixture.m_Seen.size() == 1; }));
    const auto Waiting = Fixture.start("POST", "/book/7", Patient);
    Fixture.m_Loop.turnFor(50ms);
    REQUIRE_FALSE(Waiting->m_Ended);
    WHEN("the process stops") {
      stop(Fixture);
      Fixture.m_Loop.turnFor(200ms);
      THEN("it is refused without waiting any longer") {
        REQUIRE(Waiting->m_Ended);
        CHECK(IsRefusedAtOnce(*Waiting));
      }
    }
  }
}

} // namespace wasabivale::entry::test
