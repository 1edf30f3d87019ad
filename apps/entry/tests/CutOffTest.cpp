// An entry that reaches none of its targets, on loopback.

#include "Shop.h"

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabivale::entry::test {

namespace {

constexpr std::size_t TargetCount = 4;

/// Targets that hold every request, whose connections all end at once while new
/// ones are refused.
struct CutShop : Shop {
  CutShop() {
    open(std::vector<Play>(TargetCount, [](const Exchange &) {}));
  }

  void cut() {
    m_Held.clear();
    for (auto &Target : m_Targets)
      Target.reset();
  }

  void listenAgain(std::size_t Index) {
    auto Listening = http::listen(
        m_Loop.m_Base,
        {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + Index)},
        http::ServerLimits{}, answers(200, "three left"));
    REQUIRE_FALSE(failed(Listening));
    m_Targets[Index] = std::move(valueOf(Listening));
  }
};

/// A port whose new connections are not answered: the kernel drops them, since
/// its queue is full and nobody accepts.
class DeafPort {
public:
  explicit DeafPort(std::uint16_t Port) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(Port);
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto *Raw = reinterpret_cast<const sockaddr *>(&At);
    m_Sockets[0] = socket(AF_INET, SOCK_STREAM, 0);
    const int Yes = 1;
    setsockopt(m_Sockets[0], SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
    REQUIRE(bind(m_Sockets[0], Raw, sizeof(At)) == 0);
    REQUIRE(listen(m_Sockets[0], 0) == 0);
    for (std::size_t I = 1; I < m_Sockets.size(); ++I) {
      m_Sockets[I] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(m_Sockets[I], Raw, sizeof(At));
    }
  }
  ~DeafPort() {
    for (const int Socket : m_Sockets)
      close(Socket);
  }
  DeafPort(const DeafPort &) = delete;
  DeafPort &operator=(const DeafPort &) = delete;

private:
  std::array<int, 4> m_Sockets{};
};

} // namespace

SCENARIO("an entry whose connections to all targets hang knows it") {
  Shop Fixture;
  std::vector<std::unique_ptr<DeafPort>> Ports;
  for (std::size_t I = 0; I < TargetCount; ++I) {
    Fixture.addForeign();
    Ports.push_back(
        std::make_unique<DeafPort>(static_cast<std::uint16_t>(FirstPort + I)));
  }
  REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
  const auto IsCut = [&] { return Fixture.m_Path->context().m_Reach.isCut(); };
  const TimePoint CutAt = BootClock::now();
  std::vector<std::shared_ptr<Answered>> Exchanges;
  while (!IsCut() && BootClock::now() - CutAt < 5s) {
    Exchanges.push_back(Fixture.start("GET", "/stock/7"));
    Fixture.m_Loop.turnFor(100ms);
  }
  CHECK(IsCut());
  // Sound targets may all be silent for shorter than this.
  CHECK(BootClock::now() - CutAt > 1500ms);
  CHECK(BootClock::now() - CutAt < 2500ms);
  CHECK(Fixture.m_Path->context().m_Traits.crashes() == 0);
}

SCENARIO("an entry whose connections to all targets stay silent knows it") {
  Shop Fixture;
  Fixture.m_Fleet.mutable_routes()->mutable_services(0)->set_health_path(
      "/health");
  bool IsSilent = false;
  const auto Answer = [&IsSilent](const Exchange &Arrived) {
    if (!IsSilent)
      answers(200, "three left")(Arrived);
  };
  Fixture.open(std::vector<Play>(TargetCount, Answer));
  const auto IsCut = [&] { return Fixture.m_Path->context().m_Reach.isCut(); };
  CHECK(Fixture.ask("GET", "/stock/7").m_Status == 200);
  IsSilent = true;
  const TimePoint SilentAt = BootClock::now();
  std::vector<std::shared_ptr<Answered>> Exchanges;
  const auto Send = [&] {
    Fixture.grant();
    // May run once only, so that it is not given up before its deadline.
    Exchanges.push_back(Fixture.start("POST", "/book/7"));
    Fixture.m_Loop.turnFor(100ms);
  };
  WHEN("they are silent for a second") {
    while (BootClock::now() - SilentAt < 1s)
      Send();
    IsSilent = false;
    THEN("the entry is not cut") {
      for (int I = 0; I < 20; ++I) {
        Send();
        CHECK_FALSE(IsCut());
      }
    }
  }
  WHEN("they stay silent") {
    while (!IsCut() && BootClock::now() - SilentAt < 8s)
      Send();
    THEN("it is cut, and is not while they answer again") {
      REQUIRE(IsCut());
      CHECK(BootClock::now() - SilentAt > 1500ms);
      CHECK(BootClock::now() - SilentAt < 3s);
      CHECK(Fixture.m_Path->context().m_Traits.crashes() == 0);
      const auto IsHealthCheck = [](const http::Request &Request) {
        return Request.m_Path == "/health";
      };
      CHECK(std::count_if(Fixture.m_Seen.begin(), Fixture.m_Seen.end(),
                          IsHealthCheck) <= 8);
      IsSilent = false;
      CHECK(Fixture.m_Loop.until([&] { return !IsCut(); }));
    }
  }
}

SCENARIO("an entry cut from all targets neither blames requests nor stays "
         "ready") {
  CutShop Fixture;
  const auto IsCut = [&] { return Fixture.m_Path->context().m_Reach.isCut(); };
  const auto Report = [&] {
    wire::EntryReport Message;
    Fixture.m_Path->fillReport(Message);
    return Message;
  };
  GIVEN("requests that wait at each target") {
    std::vector<std::shared_ptr<Answered>> Waiting;
    for (std::size_t I = 0; I < 2 * TargetCount; ++I)
      Waiting.push_back(Fixture.start("GET", "/stock/7"));
    const auto HaveEnded = [&] {
      return std::all_of(Waiting.begin(), Waiting.end(),
                         [](const auto &Target) { return Target->m_Ended; });
    };
    REQUIRE(Fixture.m_Loop.until(
        [&] { return Fixture.m_Seen.size() == Waiting.size(); }));
    WHEN("all connections end, and new ones are refused") {
      Fixture.cut();
      const TimePoint CutAt = BootClock::now();
      THEN("it is not ready within 1.5 s, and no target counts as crashed") {
        Fixture.m_Loop.until([&] {
          return !Fixture.m_Entry->notReady().empty() &&
                 Fixture.m_Entry->notReady() != "no routes yet";
        });
        CHECK(Fixture.m_Entry->notReady() == "no target can be reached");
        CHECK(BootClock::now() - CutAt < 1500ms);
        CHECK(Fixture.m_Loop.until(HaveEnded));
        CHECK(Fixture.m_Path->context().m_Traits.crashes() == 0);
        CHECK(Report().targets_unreachable());
        CHECK(http::field(Fixture.ask("GET", "/stock/7").m_Fields,
                          "connection") == "close");
        AND_WHEN("targets listen again") {
          for (std::size_t I = 0; I < TargetCount; ++I)
            Fixture.listenAgain(I);
          THEN("it is ready again, and no target is avoided") {
            CHECK(Fixture.m_Loop.until([&] { return !IsCut(); }));
            CHECK(Fixture.m_Entry->notReady() != "no target can be reached");
            CHECK_FALSE(Report().targets_unreachable());
            for (std::size_t I = 0; I < TargetCount; ++I)
              CHECK(Fixture.ask("GET", "/stock/7").m_Status == 200);
          }
        }
      }
    }
    WHEN("one of the targets ends") {
      Fixture.m_Held.clear();
      Fixture.m_Targets[0].reset();
      THEN("it counts as crashed, and the entry serves on") {
        CHECK(Fixture.m_Loop.until(
            [&] { return Fixture.m_Path->context().m_Traits.crashes() == 1; }));
        CHECK_FALSE(IsCut());
      }
    }
  }
}

} // namespace wasabivale::entry::test
