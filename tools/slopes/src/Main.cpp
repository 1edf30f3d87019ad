// wasabivale-slopes: measures the slopes that docs/CAPACITY.md rests on and
// writes them as JSON.

#include "Measure.h"

#include <boost/program_options.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace wasabivale;
namespace options = boost::program_options;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// Adds the slopes that a script measured on real processes.
Status addFromFile(capacity::Slopes &To, const std::string &File) {
  std::ifstream Input(File);
  const auto Document = settings::Json::parse(Input, nullptr, false);
  if (!Document.is_object())
    return Error{"slopes.read", File, "not a JSON object"};
  auto Parsed = capacity::parseSlopes(Document);
  if (failed(Parsed))
    return errorOf(Parsed);
  for (const auto &[Name, Line] : valueOf(Parsed))
    To[Name] = Line;
  return std::monostate{};
}

int run(const options::variables_map &Given) {
  const auto Folder = Given["scratch"].as<std::string>();
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  std::vector<slopes::Probe> Probes = slopes::messageProbes();
  for (auto Group : {slopes::decisionProbes(), slopes::durableProbes(Folder)})
    Probes.insert(Probes.end(), Group.begin(), Group.end());
  capacity::Slopes Measured;
  for (const slopes::Probe &What : Probes) {
    const auto Line = slopes::measure(What);
    if (failed(Line)) {
      fmt::print(stderr, "{}\n", describe(errorOf(Line)));
      return ExitFailed;
    }
    const capacity::Slope &Fitted = valueOf(Line);
    fmt::print("{} {:.4g} {} per {} (fixed {:.4g}, fit error {:.0f}%)\n",
               Fitted.m_Name, Fitted.m_PerUnit, Fitted.m_CostUnit,
               Fitted.m_SizeUnit, Fitted.m_Fixed, Fitted.m_FitError * 100);
    Measured[Fitted.m_Name] = Fitted;
  }
  if (Given.count("add") != 0)
    if (Status Added = addFromFile(Measured, Given["add"].as<std::string>());
        failed(Added)) {
      fmt::print(stderr, "{}\n", describe(errorOf(Added)));
      return ExitFailed;
    }
  constexpr int Indent = 1;
  std::ofstream Output(Given["out"].as<std::string>());
  Output << capacity::printSlopes(Measured).dump(Indent) << "\n";
  return Output.good() ? 0 : ExitFailed;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this text");
  Add("out", options::value<std::string>()->required(), "file to write");
  Add("add", options::value<std::string>(),
      "slopes measured on real processes, to be added");
  Add("scratch", options::value<std::string>()->required(),
      "folder on a disk for the log that is measured; emptied first");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known),
                   Given);
    if (Given.count("help") != 0) {
      std::ostringstream Text;
      Text << Known;
      fmt::print("wasabivale-slopes: measures costs at several sizes\n\n{}",
                 Text.str());
      return 0;
    }
    options::notify(Given);
    return run(Given);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale-slopes: {}\n", Failure.what());
    return ExitUsage;
  }
}
