// wasabivale: the operators' command line.

#include "Commands.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace wasabivale;
namespace options = boost::program_options;

namespace {

constexpr std::uint64_t DefaultPatienceSeconds = 60;
constexpr std::chrono::seconds LeaderPatience{10};
constexpr const char *TokenVariable = "WASABIVALE_TOKEN";

options::options_description describeOptions() {
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this text");
  Add("version", "print the version");
  Add("server", options::value<std::vector<std::string>>(),
      "a control member, ip:port; may be repeated");
  Add("token-file", options::value<std::string>(),
      "file with the bearer token; otherwise WASABIVALE_TOKEN");
  Add("output", options::value<std::string>()->default_value("table"),
      "table or json");
  Add("yes,y", "confirm the plan at once");
  Add("wait,w", "wait until the plan has ended or the revision is in force");
  Add("timeout",
      options::value<std::uint64_t>()->default_value(DefaultPatienceSeconds),
      "longest wait, in seconds");
  Add("request-id", options::value<std::string>(),
      "repeat the call with this id, to find a lost answer");
  Add("allow-empty", "let the plan leave a model without a target");
  Add("revision", options::value<std::uint64_t>(),
      "revision of the plan or the configuration");
  Add("digest", options::value<std::string>(), "digest of the plan");
  Add("model", options::value<std::string>(), "base[+adapter][@version]");
  Add("replace", options::value<std::string>(), "model that it replaces");
  Add("count", options::value<std::uint64_t>(), "number of engines");
  Add("role", options::value<std::string>(), "mixed, prefill or decode");
  Add("command", options::value<std::vector<std::string>>(),
      "command and arguments");
  return Known;
}

std::string textOf(const options::variables_map &Given, const char *Name) {
  return Given.count(Name) != 0 ? Given[Name].as<std::string>() : "";
}

std::optional<std::uint64_t> numberOf(const options::variables_map &Given,
                                      const char *Name) {
  if (Given.count(Name) == 0)
    return std::nullopt;
  return Given[Name].as<std::uint64_t>();
}

std::string readToken(const options::variables_map &Given) {
  if (Given.count("token-file") != 0) {
    std::ifstream Input(Given["token-file"].as<std::string>());
    std::string Token;
    Input >> Token;
    return Token;
  }
  const char *Token = std::getenv(TokenVariable);
  return Token == nullptr ? "" : Token;
}

cli::Invocation toInvocation(const options::variables_map &Given) {
  cli::Invocation Made;
  Made.m_Words = Given["command"].as<std::vector<std::string>>();
  if (Given.count("server") != 0)
    Made.m_Client.m_Servers = Given["server"].as<std::vector<std::string>>();
  Made.m_Client.m_Token = readToken(Given);
  Made.m_Client.m_Deadline = BootClock::now() + LeaderPatience;
  Made.m_AsJson = textOf(Given, "output") == "json";
  Made.m_Yes = Given.count("yes") != 0;
  Made.m_Wait = Given.count("wait") != 0;
  Made.m_AllowEmpty = Given.count("allow-empty") != 0;
  Made.m_Revision = numberOf(Given, "revision");
  Made.m_Digest = textOf(Given, "digest");
  Made.m_RequestId = textOf(Given, "request-id");
  Made.m_Model = textOf(Given, "model");
  Made.m_Replace = textOf(Given, "replace");
  Made.m_Role = textOf(Given, "role");
  Made.m_Count = numberOf(Given, "count");
  Made.m_Patience = std::chrono::seconds(Given["timeout"].as<std::uint64_t>());
  if (Made.m_Wait)
    Made.m_Client.m_Deadline = BootClock::now() + Made.m_Patience;
  return Made;
}

int toCode(cli::Exit Value) { return static_cast<int>(Value); }

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const options::options_description Known = describeOptions();
  options::positional_options_description Positions;
  Positions.add("command", -1);
  options::variables_map Given;
  try {
    options::store(options::command_line_parser(ArgumentCount, Arguments)
                       .options(Known)
                       .positional(Positions)
                       .run(),
                   Given);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale: {}\n", Failure.what());
    return toCode(cli::Exit::Usage);
  }
  if (Given.count("version") != 0) {
    fmt::print("wasabivale {}\n", WASABIVALE_VERSION);
    return toCode(cli::Exit::Ok);
  }
  if (Given.count("help") != 0 || Given.count("command") == 0) {
    std::ostringstream Text;
    Text << Known;
    fmt::print("wasabivale COMMAND: operates a wasabivale system\n\n{}\n{}",
               cli::commandsHelp(), Text.str());
    return toCode(Given.count("help") != 0 ? cli::Exit::Ok : cli::Exit::Usage);
  }
  const std::string Output = textOf(Given, "output");
  if (Output != "table" && Output != "json") {
    fmt::print(stderr, "wasabivale: --output table or json\n");
    return toCode(cli::Exit::Usage);
  }
  return toCode(cli::run(toInvocation(Given)));
}
