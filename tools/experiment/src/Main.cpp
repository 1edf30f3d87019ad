#include "Experiments.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace {

using namespace wasabivale;
using namespace wasabivale::experiment;
namespace po = boost::program_options;

constexpr int ExitMissed = 1;
constexpr int ExitUsage = 2;

bool writeFile(const std::string &Name, const std::string &Text) {
  std::ofstream File(Name);
  File << Text;
  File.close();
  if (!File)
    fmt::print(stderr, "cannot write {}\n", Name);
  return File.good();
}

bool writeReport(const std::string &Folder, const Report &Of) {
  if (Folder.empty())
    return true;
  std::string Base = Folder + "/" + Of.m_Name;
  return writeFile(Base + ".json", toJson(Of).dump(2) + "\n") &&
         writeFile(Base + ".tsv", printTimeline(Of));
}

int runExperiment(const Experiment &Which, const Options &With,
                  const std::string &Folder) {
  Report Made = Which.m_Run(With);
  std::cout << printPolicies(Made) << printRows(Made) << std::flush;
  if (!writeReport(Folder, Made))
    return ExitUsage;
  for (const Row &Each : Made.m_Rows)
    if (!Each.m_Holds)
      return ExitMissed;
  return 0;
}

std::string experimentNames() {
  std::string Names;
  for (const Experiment &Each : experiments())
    Names += (Names.empty() ? "" : ", ") + Each.m_Name;
  return Names;
}

int start(int Count, char **Values) {
  po::options_description Known("wasabivale-experiment");
  auto Add = Known.add_options();
  Add("help", "print this help");
  Add("version", "print the version");
  Add("experiment", po::value<std::string>(), experimentNames().c_str());
  Add("deployment", po::value<std::string>()->default_value("cooperative"),
      "cooperative (20+3 targets) or malabar (10+4 targets)");
  Add("seeds", po::value<std::uint32_t>()->default_value(5), "runs per policy");
  Add("first-seed", po::value<std::uint32_t>()->default_value(1),
      "seed of the first run; the others follow");
  Add("output", po::value<std::string>()->default_value(""),
      "folder for the report (JSON) and the timeline (TSV)");
  po::variables_map Given;
  po::store(po::parse_command_line(Count, Values, Known), Given);
  po::notify(Given);
  if (Given.contains("help")) {
    std::cout << Known;
    return 0;
  }
  if (Given.contains("version")) {
    std::cout << WASABIVALE_VERSION << "\n";
    return 0;
  }
  std::optional<Deployment> Fleet =
      findDeployment(Given["deployment"].as<std::string>());
  if (!Fleet || !Given.contains("experiment")) {
    std::cerr << Known;
    return ExitUsage;
  }
  Options With{*Fleet, std::max(1U, Given["seeds"].as<std::uint32_t>()),
               Given["first-seed"].as<std::uint32_t>()};
  for (const Experiment &Each : experiments())
    if (Each.m_Name == Given["experiment"].as<std::string>())
      return runExperiment(Each, With, Given["output"].as<std::string>());
  std::cerr << Known;
  return ExitUsage;
}

} // namespace

int main(int Count, char **Values) {
  try {
    return start(Count, Values);
  } catch (const po::error &Problem) {
    std::cerr << Problem.what() << "\n";
    return ExitUsage;
  }
}
