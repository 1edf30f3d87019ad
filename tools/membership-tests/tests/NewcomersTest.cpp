#include "Crowd.h"
#include "Harness.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <sys/file.h>
#include <thread>
#include <unistd.h>

using namespace wasabivale;
using namespace std::chrono_literals;
using clienttests::ask;
using systemtests::Json;
using systemtests::Process;

namespace {

constexpr int HubPort = 24'410;
constexpr int RegistryPort = 24'420;
constexpr int CallerPort = 24'421;
constexpr int ReadinessPort = 24'422;
constexpr int AdminPort = 24'423;

const std::string Founder = "127.0.0.4";
const std::string FirstAdded = "127.0.0.5";
const std::string SecondAdded = "127.0.0.6";
const std::string EntryHost = "127.0.0.7";

std::string print(const std::string &Host, int Port) {
  return fmt::format("{}:{}", Host, Port);
}

int askAt(const std::string &Host, int Port, const std::string &Bytes) {
  return ask({Host, static_cast<std::uint16_t>(Port)}, Bytes);
}

/// A group of one member, with further members outside it.
class Group {
public:
  Group() {
    const auto Temporary = std::filesystem::temp_directory_path();
    // Another run of this test on this machine would use the same ports.
    m_Lock = ::open((Temporary / "wasabivale-ports-membership-tests").c_str(),
                    O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    REQUIRE(::flock(m_Lock, LOCK_EX) == 0);
    m_Folder = Temporary / fmt::format("wasabivale-membership-{}", ::getpid());
    std::filesystem::remove_all(m_Folder);
    std::filesystem::create_directories(m_Folder);
  }
  ~Group() {
    m_Running.clear();
    ::close(m_Lock);
    if (std::uncaught_exceptions() == 0)
      std::filesystem::remove_all(m_Folder);
  }
  Group(const Group &) = delete;
  Group &operator=(const Group &) = delete;

  void startControl(const std::string &Host,
                    const std::vector<std::string> &Seeds,
                    bool MayForm = false) {
    Json Discovery = discovery(Seeds);
    Discovery["may_form"] = MayForm;
    Discovery["losses"] = 0;
    start(Host, "control",
          {{"id", Host},
           {"region", "north"},
           {"zone", "north-1"},
           {"listen", print(Host, HubPort)},
           {"admin", {{"listen", print(Host, AdminPort)}}},
           {"data_folder", m_Folder / ("data-" + Host)},
           {"cluster_id", "membership"},
           {"discovery", Discovery},
           {"registry",
            {{"listen", print(Host, RegistryPort)},
             {"zones", {{"north-1", "north"}}}}}});
  }

  void startEntry(const std::vector<std::string> &Seeds) {
    start(EntryHost, "entry",
          {{"id", EntryHost},
           {"region", "north"},
           {"zone", "north-1"},
           {"admin", {{"listen", print(EntryHost, AdminPort)}}},
           {"discovery", discovery(Seeds)},
           {"routes",
            {{"listen", print(EntryHost, CallerPort)},
             {"readiness", print(EntryHost, ReadinessPort)}}}});
  }

  void kill(const std::string &Host) { m_Running.erase(Host); }

  /// Whether the log of the process at \p Host names the event, in time.
  bool waitForEvent(const std::string &Host, const std::string &Event) const {
    return waitFor([&] {
      std::ifstream Log(m_Folder / (Host + ".log"));
      const std::string Text((std::istreambuf_iterator<char>(Log)), {});
      return Text.find(Event) != std::string::npos;
    });
  }

  static bool waitFor(const std::function<bool()> &Condition) {
    const TimePoint End = BootClock::now() + systemtests::Patience;
    while (!Condition() && BootClock::now() < End)
      std::this_thread::sleep_for(50ms);
    return Condition();
  }

private:
  static Json discovery(const std::vector<std::string> &Seeds) {
    Json Addresses = Json::array();
    for (const std::string &Seed : Seeds)
      Addresses.push_back(print(Seed, HubPort));
    return {{"hub_port", HubPort}, {"seeds", Addresses}};
  }

  void start(const std::string &Host, const std::string &Kind,
             const Json &Settings) {
    const std::string File = m_Folder / (Host + ".json");
    std::ofstream(File) << Settings;
    m_Running[Host] = std::make_unique<Process>(
        "wasabivale-" + Kind, std::vector<std::string>{"--config", File},
        m_Folder / (Host + ".log"));
  }

  std::filesystem::path m_Folder;
  std::map<std::string, std::unique_ptr<Process>> m_Running;
  int m_Lock = -1;
};

int putRoutes(const std::string &Host, int Version) {
  const std::string Body = fmt::format(
      R"({{"version":{},"services":[{{"name":"desk","health_path":"/health"}}],)"
      R"("routes":[{{"name":"desk","host":"any","path_prefix":"/desk/",)"
      R"("kind":"safe","timeout_ms":2000,"service":"desk"}}]}})",
      Version);
  return askAt(Host, RegistryPort,
               fmt::format("PUT /config HTTP/1.1\r\nHost: any\r\n"
                           "Content-Length: {}\r\n\r\n{}",
                           Body.size(), Body));
}

/// An entry that has the routes answers a path without one with 400; before, it
/// answers 503.
bool hasRoutes() {
  return askAt(EntryHost, CallerPort,
               "GET /nowhere HTTP/1.1\r\nHost: any\r\n\r\n") == 400;
}

} // namespace

// Guards against entries that serve nobody because their seeds are members
// outside the group, and against a second group of these (review case 6).
SCENARIO("an entry whose seeds are outside the group finds the group") {
  Group Members;
  Members.startControl(Founder, {Founder}, true);
  REQUIRE(Group::waitFor([] { return putRoutes(Founder, 1) == 200; }));
  for (const std::string &Added : {FirstAdded, SecondAdded}) {
    Members.startControl(Added, {Founder});
    REQUIRE(Members.waitForEvent(Added, "members_found"));
  }

  WHEN("the added members are restarted with only each other as seeds") {
    const std::vector<std::string> Seeds = {FirstAdded, SecondAdded};
    for (const std::string &Added : Seeds) {
      Members.kill(Added);
      Members.startControl(Added, Seeds);
    }
    Members.startEntry(Seeds);
    THEN("the entry gets the routes of the group") {
      CHECK(Group::waitFor(hasRoutes));
      AND_THEN("the added members acknowledge no change") {
        for (const std::string &Added : Seeds)
          CHECK(putRoutes(Added, 2) == 503);
        CHECK(putRoutes(Founder, 2) == 200);
      }
    }
  }
}
