#include "Options.h"

#include "settings/settings.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <sstream>

namespace wasabivale::faketargets {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr int ExitSettings = 2;

/// Keys that hold a list; the option is repeated for each member.
constexpr std::string_view ListKeys[] = {"announce", "zones", "models",
                                         "service_names"};

bool isList(std::string_view Key) {
  return std::find(std::begin(ListKeys), std::end(ListKeys), Key) !=
         std::end(ListKeys);
}

/// `first_port` on file is `--first-port` on the command line.
std::string optionName(std::string Key) {
  for (char &Byte : Key)
    if (Byte == '_')
      Byte = '-';
  return Key;
}

po::options_description describeOptions() {
  po::options_description Known(
      "wasabivale-fake-targets: stand-ins for engines and services.\n"
      "Every key of the settings file is also an option; those of lists are "
      "repeated for each member");
  auto Add = Known.add_options();
  Add("help", "print this text");
  Add("version", "print the version");
  Add("config", po::value<std::string>(), "JSON settings file");
  Add("check-config", "check the settings and exit: 0 valid, 2 not");
  const Json Schema = schema();
  for (const auto &[Key, Value] : Schema["properties"].items()) {
    const std::string Text = Value.value("type", "one of the known names");
    if (isList(Key))
      Add(optionName(Key).c_str(),
          po::value<std::vector<std::string>>()->composing(),
          "text, repeatable");
    else
      Add(optionName(Key).c_str(), po::value<std::string>(), Text.c_str());
  }
  return Known;
}

/// Numbers and truth values are written as in JSON, all else is text.
Json toJson(const std::string &Text) {
  Json Parsed = Json::parse(Text, nullptr, false);
  if (Parsed.is_number() || Parsed.is_boolean())
    return Parsed;
  return Text;
}

Options end(std::string Text, int ExitCode) {
  return {std::nullopt, std::move(Text), ExitCode};
}

Options fromDocument(const Json &Document, const std::string &File,
                     bool CheckOnly) {
  std::string Findings;
  for (const auto &Problem : settings::check(Document, schema(), File))
    Findings += (Findings.empty() ? "" : "\n") + settings::describe(Problem);
  if (!Findings.empty())
    return end(Findings, ExitSettings);
  const auto Made = fromJson(Document);
  if (failed(Made))
    return end(File + ": " + describe(errorOf(Made)), ExitSettings);
  if (CheckOnly)
    return end("the settings are valid", 0);
  return {valueOf(Made), "", 0};
}

Options readDocument(const po::variables_map &Given) {
  std::string File = "(command line)";
  Json Document = Json::object();
  if (Given.count("config") > 0) {
    File = Given["config"].as<std::string>();
    auto Loaded = settings::load(File, schema());
    if (const auto *Problems =
            std::get_if<std::vector<settings::Problem>>(&Loaded))
      return end(settings::describe(Problems->front()), ExitSettings);
    Document = std::get<Json>(Loaded);
  }
  const Json Schema = schema();
  for (const auto &[Key, Value] : Schema["properties"].items()) {
    const std::string Name = optionName(Key);
    if (Given.count(Name) == 0)
      continue;
    if (isList(Key))
      Document[Key] = Given[Name].as<std::vector<std::string>>();
    else
      Document[Key] = toJson(Given[Name].as<std::string>());
  }
  return fromDocument(Document, File, Given.count("check-config") > 0);
}

} // namespace

Options readOptions(int Count, const char *const *Arguments) {
  const po::options_description Known = describeOptions();
  po::variables_map Given;
  try {
    constexpr int Style = po::command_line_style::default_style &
                          ~po::command_line_style::allow_guessing;
    po::store(po::parse_command_line(Count, Arguments, Known, Style), Given);
  } catch (const po::error &Failure) {
    return end(std::string("wasabivale-fake-targets: ") + Failure.what(),
               ExitSettings);
  }
  if (Given.count("help") > 0) {
    std::ostringstream Text;
    Text << Known;
    return end(Text.str(), 0);
  }
  if (Given.count("version") > 0)
    return end("wasabivale-fake-targets " WASABIVALE_VERSION, 0);
  return readDocument(Given);
}

} // namespace wasabivale::faketargets
