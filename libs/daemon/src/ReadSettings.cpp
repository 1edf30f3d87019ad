#include "daemon/daemon.h"

#include "events/events.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fmt/format.h>
#include <sstream>

namespace wasabivale::daemon {

namespace options = boost::program_options;

settings::Json sharedDefinitions() {
  return settings::Json::parse(R"({
    "address": {"type": "string", "description": "ip:port",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
    "name": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"},
    "z85_key": {"type": "string", "minLength": 40, "maxLength": 40},
    "discovery": {"type": "object", "additionalProperties": false,
      "required": ["hub_port", "seeds"],
      "properties": {
        "hub_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "seeds": {"type": "array", "minItems": 1, "maxItems": 7,
                  "items": {"$ref": "#/definitions/address"}},
        "may_form": {"type": "boolean"},
        "losses": {"type": "integer", "minimum": 0, "maximum": 3}}}
  })");
}

Discovery readDiscovery(const settings::Json &From) {
  Discovery Made;
  Made.m_HubPort = From["hub_port"];
  Made.m_MayForm = From.value("may_form", Made.m_MayForm);
  Made.m_Losses = From.value("losses", Made.m_Losses);
  for (const settings::Json &Seed : From["seeds"]) {
    const auto &Address = Seed.get_ref<const std::string &>();
    Made.m_Seeds.push_back({Address.substr(0, Address.rfind(':'))});
  }
  return Made;
}

std::string hubAddress(const Discovery &In, const NodeId &Member) {
  return fmt::format("{}:{}", Member.m_Value, In.m_HubPort);
}

void reportIgnored(const std::vector<settings::Problem> &Ignored) {
  for (const settings::Problem &Key : Ignored)
    events::emit(events::Event::SettingIgnored, {{"file", Key.m_File},
                                                 {"pointer", Key.m_Pointer},
                                                 {"value", Key.m_Value}});
}

static void printProblems(const std::vector<settings::Problem> &Problems) {
  for (const settings::Problem &Finding : Problems) {
    events::emit(events::Event::SettingsInvalid,
                 {{"file", Finding.m_File},
                  {"pointer", Finding.m_Pointer},
                  {"value", Finding.m_Value},
                  {"expected", Finding.m_Expected}});
    fmt::print(stderr, "{}\n", settings::describe(Finding));
  }
}

/// Loads the settings. \p IsCheck refuses unknown keys, which are left out
/// otherwise.
static std::variant<settings::Json, int>
loadAndReport(const std::string &File, const settings::Json &Schema,
              bool IsCheck) {
  std::vector<settings::Problem> Ignored;
  auto Loaded = settings::load(File, Schema, IsCheck ? nullptr : &Ignored);
  reportIgnored(Ignored);
  if (auto *Problems = std::get_if<std::vector<settings::Problem>>(&Loaded)) {
    printProblems(*Problems);
    return ExitUsage;
  }
  return std::get<settings::Json>(std::move(Loaded));
}

std::string settingsFile(int ArgumentCount, char **Arguments) {
  options::options_description Known("Options");
  Known.add_options()("config", options::value<std::string>(), "");
  options::variables_map Given;
  options::store(options::command_line_parser(ArgumentCount, Arguments)
                     .options(Known)
                     .allow_unregistered()
                     .run(),
                 Given);
  const char *FromEnvironment = std::getenv("WASABIVALE_CONFIG");
  if (Given.count("config") != 0)
    return Given["config"].as<std::string>();
  return FromEnvironment == nullptr ? "" : FromEnvironment;
}

std::variant<settings::Json, int>
readSettings(int ArgumentCount, char **Arguments, const std::string &Program,
             const std::string &Summary, const settings::Json &Schema) {
  reportCrashes();
  // The event loop handles it later; the file is read after this.
  std::signal(SIGHUP, SIG_IGN);
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this text");
  Add("version", "print the version");
  Add("config", options::value<std::string>(),
      "settings file (JSON); otherwise the variable WASABIVALE_CONFIG names "
      "it");
  Add("check-config", "check the settings and end: 0 valid, 2 not");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known),
                   Given);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "{}: {}\n", Program, Failure.what());
    return ExitUsage;
  }
  if (Given.count("help") != 0) {
    std::ostringstream Text;
    Text << Known;
    fmt::print("{}: {}\n\n{}", Program, Summary, Text.str());
    return ExitOk;
  }
  if (Given.count("version") != 0) {
    fmt::print("{} {}\n", Program, WASABIVALE_VERSION);
    return ExitOk;
  }
  // A platform that starts processes may hand the place of the file this way.
  const char *FromEnvironment = std::getenv("WASABIVALE_CONFIG");
  if (Given.count("config") == 0 && FromEnvironment == nullptr) {
    fmt::print(stderr, "{}: --config FILE is required\n", Program);
    return ExitUsage;
  }
  const auto File = Given.count("config") != 0
                        ? Given["config"].as<std::string>()
                        : std::string(FromEnvironment);
  const bool IsCheck = Given.count("check-config") != 0;
  auto Loaded = loadAndReport(File, Schema, IsCheck);
  if (IsCheck && std::holds_alternative<settings::Json>(Loaded)) {
    fmt::print("{}: valid\n", File);
    return ExitOk;
  }
  return Loaded;
}

} // namespace wasabivale::daemon
