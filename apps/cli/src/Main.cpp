// wasabivale: the operators' command line.

#include "daemon/daemon.h"
#include "events/events.h"
#include "http/http.h"
#include "wire/wire.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <sstream>

using namespace wasabivale;
namespace options = boost::program_options;

namespace {

constexpr std::chrono::seconds Patience{10};
constexpr int ExitUnreachable = 3;

int generateKeys() {
  const auto Keys = wire::generateKeys();
  if (failed(Keys)) {
    fmt::print(stderr, "{}\n", describe(errorOf(Keys)));
    return daemon::ExitFailed;
  }
  fmt::print("{}\n", settings::Json{{"public", valueOf(Keys).m_Public},
                                    {"secret", valueOf(Keys).m_Secret}}
                         .dump());
  return daemon::ExitOk;
}

Result<http::Response> get(const std::string &Server, const std::string &Token,
                           const std::string &Path) {
  const auto Address = http::parseAddress(Server);
  if (failed(Address))
    return errorOf(Address);
  daemon::EventLoop Loop;
  Result<http::Response> Answer = Error{"cli.get", Server, "no answer"};
  http::ClientRequest What;
  What.m_To = valueOf(Address);
  What.m_Method = "GET";
  What.m_Path = Path;
  What.m_Headers = {{"Authorization", "Bearer " + Token}};
  What.m_Deadline = BootClock::now() + Patience;
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [&](Result<http::Response> Ending) {
    Answer = std::move(Ending);
    Loop.end();
  };
  http::call(Loop.base(), std::move(What), Handlers);
  Loop.run();
  return Answer;
}

int showStatus(const std::string &Server, const std::string &Token,
               bool AsJson) {
  const auto Answer = get(Server, Token, "/operator/v1/status");
  if (failed(Answer)) {
    fmt::print(stderr, "{}\n", describe(errorOf(Answer)));
    return ExitUnreachable;
  }
  const auto &Body = valueOf(Answer).m_Body;
  if (valueOf(Answer).m_Status != 200 || AsJson) {
    fmt::print("{}\n", Body);
    return valueOf(Answer).m_Status == 200 ? daemon::ExitOk
                                           : daemon::ExitFailed;
  }
  const auto Status = settings::Json::parse(Body);
  fmt::print("leader {}  fleet revision {}  entries {}\n",
             Status["leader"].get<std::string>(),
             Status["fleet_revision"].get<int>(), Status["entries"].get<int>());
  for (const auto &Row : Status["targets"])
    fmt::print("{:<20} {:<8} {:<10} {:<8} {:<22} {}\n",
               Row["id"].get<std::string>(), Row["kind"].get<std::string>(),
               Row["state"].get<std::string>(), Row["role"].get<std::string>(),
               Row["address"].get<std::string>(), Row["models"].dump());
  return daemon::ExitOk;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this text");
  Add("version", "print the version");
  Add("server", options::value<std::string>(), "a control member, ip:port");
  Add("output", options::value<std::string>()->default_value("table"),
      "table or json");
  Add("command", options::value<std::string>(), "status | keygen");
  options::positional_options_description Positions;
  Positions.add("command", 1);
  options::variables_map Given;
  try {
    options::store(options::command_line_parser(ArgumentCount, Arguments)
                       .options(Known)
                       .positional(Positions)
                       .run(),
                   Given);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale: {}\n", Failure.what());
    return daemon::ExitUsage;
  }
  if (Given.count("help") != 0 || Given.count("command") == 0) {
    std::ostringstream Text;
    Text << Known;
    fmt::print("wasabivale COMMAND: operates a wasabivale system\n\n{}",
               Text.str());
    return Given.count("help") != 0 ? daemon::ExitOk : daemon::ExitUsage;
  }
  const auto Command = Given["command"].as<std::string>();
  if (Command == "keygen")
    return generateKeys();
  const char *Token = std::getenv("WASABIVALE_TOKEN");
  if (Command == "status" && Given.count("server") != 0)
    return showStatus(Given["server"].as<std::string>(),
                      Token == nullptr ? "" : Token,
                      Given["output"].as<std::string>() == "json");
  fmt::print(stderr, "wasabivale: unknown command, or --server is missing\n");
  return daemon::ExitUsage;
}
