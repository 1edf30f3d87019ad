#include "Crowd.h"
#include "Harness.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/file.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace wasabivale;
using namespace wasabivale::clienttests;
using namespace std::chrono_literals;
using systemtests::Json;
using systemtests::Process;

namespace {

/// Memory that the settings give to each process. A process of the test holds
/// about 12 MB before its first request.
constexpr std::size_t MachineMegabytes = 64;
constexpr std::size_t MostResidentKilobytes = MachineMegabytes << 10U;
/// Soft limit of descriptors of each process, and how many of them may be open
/// at once: the rest stays for connections to targets and control.
constexpr rlim_t Descriptors = 512;
constexpr std::size_t MostOpenDescriptors = 400;

constexpr int HubPort = 24'310;
constexpr int RegistryPort = 24'320;
constexpr int CallerPort = 24'321;
constexpr int ReadinessPort = 24'322;
constexpr int EntryAdminPort = 24'323;
constexpr int ControlAdminPort = 24'324;

const std::string ControlHost = "127.0.0.2";
const std::string EntryHost = "127.0.0.3";

http::Address at(const std::string &Host, int Port) {
  return {Host, static_cast<std::uint16_t>(Port)};
}

std::string print(const std::string &Host, int Port) {
  return fmt::format("{}:{}", Host, Port);
}

/// A member of control and an entry with one route, each in a process of its
/// own.
class Programs {
public:
  Programs() {
    const auto Temporary = std::filesystem::temp_directory_path();
    // Another run of this test on this machine would use the same ports.
    m_Lock = ::open((Temporary / "wasabivale-ports-client-tests").c_str(),
                    O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    REQUIRE(::flock(m_Lock, LOCK_EX) == 0);
    m_Folder = Temporary / fmt::format("wasabivale-clients-{}", ::getpid());
    std::filesystem::remove_all(m_Folder);
    std::filesystem::create_directories(m_Folder);
    rlimit Former{};
    ::getrlimit(RLIMIT_NOFILE, &Former);
    rlimit Lowered = Former;
    Lowered.rlim_cur = Descriptors;
    ::setrlimit(RLIMIT_NOFILE, &Lowered);
    m_Control = start("control", controlSettings());
    m_Entry = start("entry", entrySettings());
    ::setrlimit(RLIMIT_NOFILE, &Former);
    putRoutes();
  }
  ~Programs() {
    m_Entry.reset();
    m_Control.reset();
    ::close(m_Lock);
    if (std::uncaught_exceptions() == 0)
      std::filesystem::remove_all(m_Folder);
  }
  Programs(const Programs &) = delete;
  Programs &operator=(const Programs &) = delete;

  std::unique_ptr<Process> m_Control;
  std::unique_ptr<Process> m_Entry;

private:
  static Json discovery() {
    return {{"hub_port", HubPort}, {"seeds", {print(ControlHost, HubPort)}}};
  }

  Json controlSettings() const {
    Json Discovery = discovery();
    Discovery["may_form"] = true;
    Discovery["losses"] = 0;
    return {{"id", ControlHost},
            {"region", "north"},
            {"zone", "north-1"},
            {"listen", print(ControlHost, HubPort)},
            {"admin", {{"listen", print(ControlHost, ControlAdminPort)}}},
            {"data_folder", m_Folder / "data"},
            {"cluster_id", "clients"},
            {"memory_mb", MachineMegabytes},
            {"discovery", Discovery},
            {"registry",
             {{"listen", print(ControlHost, RegistryPort)},
              {"zones", {{"north-1", "north"}}}}}};
  }

  static Json entrySettings() {
    return {{"id", EntryHost},
            {"region", "north"},
            {"zone", "north-1"},
            {"admin", {{"listen", print(EntryHost, EntryAdminPort)}}},
            {"memory_mb", MachineMegabytes},
            {"discovery", discovery()},
            {"routes",
             {{"listen", print(EntryHost, CallerPort)},
              {"readiness", print(EntryHost, ReadinessPort)}}}};
  }

  std::unique_ptr<Process> start(const std::string &Kind,
                                 const Json &Settings) const {
    const std::string File = m_Folder / (Kind + ".json");
    std::ofstream(File) << Settings;
    return std::make_unique<Process>("wasabivale-" + Kind,
                                     std::vector<std::string>{"--config", File},
                                     m_Folder / (Kind + ".log"));
  }

  static void putRoutes() {
    const std::string Body =
        R"({"version":1,"services":[{"name":"desk","health_path":"/health"}],)"
        R"("routes":[{"name":"desk","host":"any","path_prefix":"/desk/",)"
        R"("kind":"safe","timeout_ms":2000,"service":"desk"}]})";
    const std::string Put = fmt::format(
        "PUT /config HTTP/1.1\r\nHost: any\r\nContent-Length: {}\r\n\r\n{}",
        Body.size(), Body);
    const TimePoint End = BootClock::now() + systemtests::Patience;
    int Status = 0;
    while (Status != 200 && BootClock::now() < End) {
      Status = ask(at(ControlHost, RegistryPort), Put);
      std::this_thread::sleep_for(50ms);
    }
    REQUIRE(Status == 200);
    while (Status != 400 && BootClock::now() < End) {
      Status = ask(at(EntryHost, CallerPort),
                   "GET /nowhere HTTP/1.1\r\nHost: any\r\n\r\n");
      std::this_thread::sleep_for(50ms);
    }
    REQUIRE(Status == 400);
  }

  std::filesystem::path m_Folder;
  int m_Lock = -1;
};

/// Most memory that a process has had resident, or zero if it has ended.
std::size_t mostResident(const Process &Of) {
  std::ifstream Status(fmt::format("/proc/{}/status", Of.pid()));
  std::string Word;
  std::size_t Kilobytes = 0;
  while (Status >> Word)
    if (Word == "VmHWM:")
      Status >> Kilobytes;
  return Kilobytes;
}

std::size_t openDescriptors(const Process &Of) {
  std::error_code Ignored;
  const std::filesystem::directory_iterator Listed(
      fmt::format("/proc/{}/fd", Of.pid()), Ignored);
  return static_cast<std::size_t>(std::distance(begin(Listed), end(Listed)));
}

std::string post(const std::string &Path, std::size_t BodyBytes) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: any\r\nContent-Length: {}\r\n\r\n{}", Path,
      BodyBytes, std::string(BodyBytes, 'b'));
}

/// A listening address with an ordinary request and its answer.
struct Listener {
  std::string m_Name;
  http::Address m_At;
  bool m_IsEntry = true;
  std::string m_Path; ///< Answered with `m_Status`.
  int m_Status = 200;
};

const std::vector<Listener> Listeners = {
    {"entry, callers", at(EntryHost, CallerPort), true, "/nowhere", 400},
    {"entry, readiness", at(EntryHost, ReadinessPort), true, "/healthz", 200},
    {"control, registry", at(ControlHost, RegistryPort), false, "/config", 200},
    {"control, admin", at(ControlHost, ControlAdminPort), false, "/healthz",
     200},
};

constexpr std::chrono::milliseconds PlayTime{1'500};
/// Ends shortly after the first repeated handshakes, which come after 1 s.
constexpr std::chrono::milliseconds TimeToSecondHandshake{1'200};

/// Whether the process runs while a crowd connects. If not, the connections
/// that its listen queue has no room for come again a second later.
enum class WhileConnecting : std::uint8_t { Runs, Stopped };

/// Plays one crowd against every listener, each time with new processes.
void checkCrowd(std::size_t Count,
                const std::function<Script(const Listener &)> &What,
                WhileConnecting During = WhileConnecting::Runs) {
  for (const Listener &Place : Listeners) {
    const Programs Running;
    const Process &Subject =
        Place.m_IsEntry ? *Running.m_Entry : *Running.m_Control;
    {
      if (During == WhileConnecting::Stopped)
        ::kill(Subject.pid(), SIGSTOP);
      Crowd Clients(Place.m_At, Count, What(Place));
      ::kill(Subject.pid(), SIGCONT);
      Clients.play(During == WhileConnecting::Stopped ? TimeToSecondHandshake
                                                      : PlayTime);
      const std::size_t Resident = mostResident(Subject);
      const std::size_t Open = openDescriptors(Subject);
      UNSCOPED_INFO(fmt::format("{}: {} kB resident, {} descriptors",
                                Place.m_Name, Resident, Open));
      if (std::getenv("WASABIVALE_SHOW_FIGURES") != nullptr)
        fmt::print("{}: {} kB resident, {} descriptors\n", Place.m_Name,
                   Resident, Open);
      CHECK(Resident > 0);
      CHECK(Resident < MostResidentKilobytes);
      CHECK(Open < MostOpenDescriptors);
      const int Status = ask(Place.m_At, "GET " + Place.m_Path +
                                             " HTTP/1.1\r\nHost: any\r\n\r\n");
      CHECK(Status == Place.m_Status);
    }
    if (Place.m_Path == "/nowhere")
      CHECK(ask(Place.m_At, post(Place.m_Path, 4U << 20U)) == Place.m_Status);
    CHECK(mostResident(Subject) > 0);
    CHECK(mostResident(Subject) < MostResidentKilobytes);
  }
}

Script same(const Script &What) { return What; }

constexpr std::size_t Many = 150;
/// More than the descriptors of a process.
constexpr std::size_t MoreThanDescriptors = 700;

} // namespace

SCENARIO("bodies of clients outside the limits don't fill the memory") {
  const std::string Piece(16U << 10U, 'x');
  WHEN("they announce far more than the limit") {
    checkCrowd(Many, [&](const Listener &Place) {
      return Script{"POST " + Place.m_Path +
                        " HTTP/1.1\r\nHost: any\r\n"
                        "Content-Length: 8000000000\r\n\r\n",
                    Piece};
    });
  }
  WHEN("they announce the limit and stop just before the end") {
    checkCrowd(Many, [&](const Listener &Place) {
      return Script{post(Place.m_Path, 4U << 20U).substr(0, 4U << 20U), ""};
    });
  }
  WHEN("they send chunks without end") {
    checkCrowd(Many, [&](const Listener &Place) {
      return Script{"POST " + Place.m_Path +
                        " HTTP/1.1\r\nHost: any\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                    "4000\r\n" + Piece + "\r\n"};
    });
  }
  WHEN("they send chunks of one byte, each byte for itself") {
    checkCrowd(Many, [&](const Listener &Place) {
      return Script{"POST " + Place.m_Path +
                        " HTTP/1.1\r\nHost: any\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                    "1\r\nx\r\n", 3};
    });
  }
}

SCENARIO("heads of clients outside the limits don't fill the memory") {
  WHEN("one line has no end") {
    checkCrowd(Many, [&](const Listener &) {
      return same({"GET / HTTP/1.1\r\nHost: any\r\nLong: ",
                   std::string(1U << 10U, 'y'), 512});
    });
  }
  WHEN("there are very many short lines, without the last one") {
    std::string Head = "GET / HTTP/1.1\r\nHost: any\r\n";
    while (Head.size() < 15'900)
      Head += "a:\r\n";
    checkCrowd(Many, [&](const Listener &) { return same({Head, ""}); });
  }
}

SCENARIO("requests sent ahead with unread answers don't fill the memory") {
  WHEN("no route has their path") {
    checkCrowd(Many, [](const Listener &Place) {
      return Script{"",
                    "GET " + Place.m_Path + " HTTP/1.1\r\nHost: any\r\n\r\n"};
    });
  }
  WHEN("a route has their path, or their answer is long") {
    checkCrowd(Many, [](const Listener &Place) {
      const std::string Path =
          Place.m_At.m_Port == CallerPort ? "/desk/a" : "/metrics";
      return Script{"", "GET " + Path + " HTTP/1.1\r\nHost: any\r\n\r\n"};
    });
  }
  WHEN("they carry bodies") {
    checkCrowd(Many, [](const Listener &Place) {
      return Script{"", post(Place.m_Path, 100'000)};
    });
  }
}

SCENARIO("silent connections don't lock ordinary clients out") {
  rlimit Former{};
  ::getrlimit(RLIMIT_NOFILE, &Former);
  rlimit Raised = Former;
  Raised.rlim_cur = Former.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &Raised);
  const auto Silent = [](const Listener &) { return Script{}; };
  WHEN("they are accepted as they come") {
    checkCrowd(MoreThanDescriptors, Silent);
  }
  WHEN("most of them come at once, a second later") {
    checkCrowd(MoreThanDescriptors, Silent, WhileConnecting::Stopped);
  }
  ::setrlimit(RLIMIT_NOFILE, &Former);
}
