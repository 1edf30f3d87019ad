// Messages of targets to a control member over HTTP.

#include "Control.h"
#include "platform/platform.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace wasabivale;
using namespace wasabivale::control;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FarFuture = 1ULL << 62U;

http::Address freeAddress() {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Local);
  const bool IsBound =
      bind(Socket, reinterpret_cast<sockaddr *>(&Local), Length) == 0 &&
      getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Length) == 0;
  close(Socket);
  REQUIRE(IsBound);
  return {"127.0.0.1", ntohs(Local.sin_port)};
}

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

struct Loop {
  event_base *m_Base = event_base_new();
  ~Loop() { event_base_free(m_Base); }

  bool until(const std::function<bool()> &Done,
             std::chrono::milliseconds Timeout = 10s) const {
    const TimePoint Deadline = BootClock::now() + Timeout;
    while (!Done() && BootClock::now() < Deadline) {
      const timeval Tick{0, 2'000};
      event_base_loopexit(m_Base, &Tick);
      event_base_dispatch(m_Base);
    }
    return Done();
  }
};

/// A cluster of one member.
struct Cluster {
  Loop m_Loop;
  std::filesystem::path m_Folder = std::filesystem::temp_directory_path() /
                                   ("wasabivale-registry-" + randomIdentity());
  metrics::Registry m_Registry;
  ControlSettings m_Settings;
  std::unique_ptr<Control> m_Member;

  Cluster() {
    const http::Address Hub = freeAddress();
    m_Settings.m_Id = {Hub.m_Host};
    m_Settings.m_Region = {"region"};
    m_Settings.m_Zone = {"zone"};
    m_Settings.m_Listen = http::printAddress(Hub);
    m_Settings.m_DataFolder = m_Folder.string();
    m_Settings.m_ClusterId = "registry-test";
    m_Settings.m_Members = {{m_Settings.m_Id, "", m_Settings.m_Listen, ""}};
    m_Settings.m_Discovery = daemon::Discovery{
        Hub.m_Port, {m_Settings.m_Id}, /*m_MayForm=*/true, /*m_Losses=*/0};
    m_Settings.m_RegistryListen = freeAddress();
    std::filesystem::create_directories(m_Folder);
    auto Opened =
        Control::open(m_Loop.m_Base, m_Settings, m_Registry, [] { FAIL(); });
    REQUIRE_FALSE(failed(Opened));
    m_Member = std::move(valueOf(Opened));
    REQUIRE(m_Loop.until([&] { return m_Member->isLeader(); }));
  }
  ~Cluster() {
    m_Member.reset();
    std::filesystem::remove_all(m_Folder);
  }

  using Status = std::shared_ptr<std::optional<int>>;

  /// \returns where the status of the answer, or zero, will be.
  Status send(const std::string &Method, const std::string &Path,
              const std::string &Body) {
    auto Result = std::make_shared<std::optional<int>>();
    http::ClientRequest Request;
    Request.m_To = *m_Settings.m_RegistryListen;
    Request.m_Method = Method;
    Request.m_Path = Path;
    Request.m_Body = Body;
    Request.m_Deadline = BootClock::now() + 2s;
    http::ClientHandlers Handlers;
    Handlers.m_OnDone =
        [Result](const wasabivale::Result<http::Response> &Got) {
          *Result = failed(Got) ? 0 : valueOf(Got).m_Status;
        };
    http::call(m_Loop.m_Base, std::move(Request), std::move(Handlers));
    return Result;
  }

  [[nodiscard]] int wait(const Status &Sent) const {
    m_Loop.until([&] { return Sent->has_value(); });
    return Sent->value_or(0);
  }
};

/// A process that states its id, and what it or another writer says of it.
struct Process {
  Cluster &m_Cluster;
  std::string m_Id;
  http::Address m_Address = freeAddress();
  std::uint64_t m_Born = unixMilliseconds();
  std::uint64_t m_Sequence = 0;
  std::unique_ptr<http::Server> m_Server;
  int m_Questions = 0;

  Process(Cluster &Cluster, std::string Id)
      : m_Cluster(Cluster), m_Id(std::move(Id)) {
    auto Listening = http::listen(
        m_Cluster.m_Loop.m_Base, m_Address, {},
        [this](const std::shared_ptr<http::Exchange> &Call) {
          ++m_Questions;
          Call->relay(200, {{platform::fields::TargetId, m_Id}}, "");
        });
    REQUIRE_FALSE(failed(Listening));
    m_Server = std::move(valueOf(Listening));
  }

  int say(const std::string &Id, std::uint64_t Born, std::uint64_t Sequence,
          bool Leaving = false) {
    return m_Cluster.wait(send(Id, Born, Sequence, Leaving, m_Address));
  }
  Cluster::Status send(const std::string &Id, std::uint64_t Born,
                       std::uint64_t Sequence, bool Leaving,
                       const http::Address &Address) {
    platform::Beat Beat;
    Beat.m_Target.m_Kind = targets::Kind::Service;
    Beat.m_Target.m_Services = {"book"};
    Beat.m_Target.m_Address = Address;
    Beat.m_Target.m_Zone = {"zone"};
    Beat.m_Target.m_SoftwareVersion = "v1";
    Beat.m_Target.m_MaxRunning = 8;
    Beat.m_StartedAt = std::chrono::sys_time<std::chrono::milliseconds>(
        std::chrono::milliseconds(Born));
    Beat.m_Sequence = Sequence;
    Beat.m_Leaving = Leaving;
    return m_Cluster.send("PUT", platform::targetPath({Id}),
                          platform::printBeat(Beat));
  }
  int beat(bool Leaving = false) {
    return say(m_Id, m_Born, ++m_Sequence, Leaving);
  }
  int beatUntil(int Status, std::chrono::milliseconds Timeout) {
    int Newest = 0;
    m_Cluster.m_Loop.until(
        [&] {
          Newest = beat();
          if (Newest != Status)
            m_Cluster.m_Loop.until([] { return false; }, 200ms);
          return Newest == Status;
        },
        Timeout);
    return Newest;
  }
};

} // namespace

TEST_CASE("claims of another writer do not lock a target out") {
  Cluster Cluster;
  Process Real(Cluster, "i-1");
  REQUIRE(Real.beatUntil(200, 5s) == 200);
  SECTION("a start in the far future under its own id") {
    CHECK(Real.say("i-1", FarFuture, 1) != 200);
    CHECK(Real.beat() == 200);
    CHECK(Real.beat() == 200);
  }
  SECTION("a start in the far future under another id at its address") {
    CHECK(Real.say("i-2", FarFuture, 1) == 409);
    CHECK(Real.beat() == 200);
    CHECK(Real.m_Questions > 0);
  }
  SECTION("a sequence number that leaps") {
    CHECK(Real.say("i-1", Real.m_Born, FarFuture) == 409);
    CHECK(Real.beat() == 200);
  }
  SECTION("a later start under another id while the target is silent") {
    Cluster.m_Loop.until([] { return false; }, 2500ms);
    const int Taken = Real.say("i-2", Real.m_Born + 1, 1);
    INFO(Taken);
    CHECK(Real.beat() == 200);
    CHECK(Real.m_Questions <= 1);
  }
  SECTION("a later start under its own id while the target is silent") {
    Cluster.m_Loop.until([] { return false; }, 2500ms);
    REQUIRE(Real.say("i-1", Real.m_Born + 1, 1) == 200);
    CHECK(Real.beatUntil(200, 5s) == 200);
  }
}

TEST_CASE("a leave behind an announcement that is not committed yet is not "
          "acknowledged") {
  Cluster Cluster;
  Process Other(Cluster, "i-2");
  REQUIRE(Other.beatUntil(200, 5s) == 200);
  Process Real(Cluster, "i-1");
  const auto Ready = Real.send("i-1", Real.m_Born, 1, false, Real.m_Address);
  const auto Leaving = Real.send("i-1", Real.m_Born, 2, true, Real.m_Address);
  CHECK(Cluster.wait(Leaving) == 503);
  CHECK(Cluster.wait(Ready) == 200);
  // The leases of the former term have to end first.
  Cluster.m_Loop.until([] { return false; }, 2500ms);
  CHECK(Real.say("i-1", Real.m_Born, 3, true) == 200);
}

TEST_CASE("a claim for an address that can't be asked does not end the "
          "process") {
  Cluster Cluster;
  Process Real(Cluster, "i-1");
  REQUIRE(Real.beatUntil(200, 5s) == 200);
  const http::Address Unreachable{"255.255.255.255", 80};
  CHECK(Cluster.wait(Real.send("i-2", FarFuture, 1, false, Unreachable)) !=
        200);
  CHECK(Real.beat() == 200);
}

TEST_CASE("a member that stops answers the calls that it has taken") {
  // It closed them 300 ms after the handover, without an answer.
  Cluster Cluster;
  Process Real(Cluster, "i-1");
  REQUIRE(Real.beatUntil(200, 5s) == 200);
  const auto Leaving =
      Real.send("i-1", Real.m_Born, ++Real.m_Sequence, true, Real.m_Address);
  REQUIRE(Cluster.m_Loop.until(
      [&] { return Cluster.m_Member->exchanges() == 1; }, 500ms));
  CHECK(Cluster.m_Loop.until(
      [&] { return Cluster.m_Member->advanceClose(BootClock::now()); }, 2s));
  Cluster.m_Member.reset();
  CHECK(Cluster.wait(Leaving) == 503);
}
