// wasabivale: command-line client for operators.

#include "Commands.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace wasabivale;
namespace options = boost::program_options;

namespace {

constexpr std::uint64_t DefaultTimeoutSeconds = 60;
constexpr std::chrono::seconds LeaderTimeout{10};
constexpr const char *TokenVariable = "WASABIVALE_TOKEN";

options::options_description describeOptions() {
  options::options_description Description("Options");
  auto Add = Description.add_options();
  Add("help,h", "print this text");
  Add("version", "print the version");
  Add("server", options::value<std::vector<std::string>>(),
      "a control member, ip:port; may be repeated");
  Add("token-file", options::value<std::string>(),
      "file with the bearer token; otherwise WASABIVALE_TOKEN");
  Add("output", options::value<std::string>()->default_value("table"),
      "table or json");
  Add("yes,y", "confirm the plan immediately");
  Add("wait,w", "wait until the plan has ended or the revision is in force");
  Add("timeout",
      options::value<std::uint64_t>()->default_value(DefaultTimeoutSeconds),
      "longest wait, in seconds");
  Add("request-id", options::value<std::string>(),
      "resend the call with this id, to get a lost response");
  Add("allow-empty", "let the plan leave a model without a target");
  Add("revision", options::value<std::uint64_t>(),
      "revision of the plan or the configuration");
  Add("digest", options::value<std::string>(), "digest of the plan");
  Add("model", options::value<std::string>(), "base[+adapter][@version]");
  Add("replace", options::value<std::string>(), "model to be replaced");
  Add("count", options::value<std::uint64_t>(), "number of engines");
  Add("role", options::value<std::string>(), "mixed, prefill or decode");
  Add("command", options::value<std::vector<std::string>>(),
      "command and arguments");
  return Description;
}

std::string stringOption(const options::variables_map &Values,
                         const char *Name) {
  return Values.count(Name) != 0 ? Values[Name].as<std::string>() : "";
}

std::optional<std::uint64_t> numberOption(const options::variables_map &Values,
                                          const char *Name) {
  if (Values.count(Name) == 0)
    return std::nullopt;
  return Values[Name].as<std::uint64_t>();
}

std::string readToken(const options::variables_map &Values) {
  if (Values.count("token-file") != 0) {
    std::ifstream Input(Values["token-file"].as<std::string>());
    std::string Token;
    Input >> Token;
    return Token;
  }
  const char *Token = std::getenv(TokenVariable);
  return Token == nullptr ? "" : Token;
}

cli::Invocation toInvocation(const options::variables_map &Values) {
  cli::Invocation Command;
  Command.m_Arguments = Values["command"].as<std::vector<std::string>>();
  if (Values.count("server") != 0)
    Command.m_Client.m_Servers =
        Values["server"].as<std::vector<std::string>>();
  Command.m_Client.m_Token = readToken(Values);
  Command.m_Client.m_Deadline = BootClock::now() + LeaderTimeout;
  Command.m_AsJson = stringOption(Values, "output") == "json";
  Command.m_Yes = Values.count("yes") != 0;
  Command.m_Wait = Values.count("wait") != 0;
  Command.m_AllowEmpty = Values.count("allow-empty") != 0;
  Command.m_Revision = numberOption(Values, "revision");
  Command.m_Digest = stringOption(Values, "digest");
  Command.m_RequestId = stringOption(Values, "request-id");
  Command.m_Model = stringOption(Values, "model");
  Command.m_Replace = stringOption(Values, "replace");
  Command.m_Role = stringOption(Values, "role");
  Command.m_Count = numberOption(Values, "count");
  Command.m_Timeout =
      std::chrono::seconds(Values["timeout"].as<std::uint64_t>());
  if (Command.m_Wait)
    Command.m_Client.m_Deadline = BootClock::now() + Command.m_Timeout;
  return Command;
}

int exitCode(cli::Exit Value) { return static_cast<int>(Value); }

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const options::options_description Description = describeOptions();
  options::positional_options_description Positional;
  Positional.add("command", -1);
  options::variables_map Values;
  try {
    options::store(options::command_line_parser(ArgumentCount, Arguments)
                       .options(Description)
                       .positional(Positional)
                       .run(),
                   Values);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale: {}\n", Failure.what());
    return exitCode(cli::Exit::Usage);
  }
  if (Values.count("version") != 0) {
    fmt::print("wasabivale {}\n", WASABIVALE_VERSION);
    return exitCode(cli::Exit::Ok);
  }
  if (Values.count("help") != 0 || Values.count("command") == 0) {
    std::ostringstream Text;
    Text << Description;
    fmt::print("wasabivale COMMAND: operates a wasabivale system\n\n{}\n{}",
               cli::commandsHelp(), Text.str());
    return exitCode(Values.count("help") != 0 ? cli::Exit::Ok
                                              : cli::Exit::Usage);
  }
  const std::string Output = stringOption(Values, "output");
  if (Output != "table" && Output != "json") {
    fmt::print(stderr, "wasabivale: --output must be table or json\n");
    return exitCode(cli::Exit::Usage);
  }
  return exitCode(cli::run(toInvocation(Values)));
}
