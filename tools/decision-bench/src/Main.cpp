// Measures the deciding libraries: time, instructions and memory. Prints one
// row for each figure: name, value, unit.

#include "Benches.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace wasabivale::decisionbench;
namespace options = boost::program_options;

std::vector<Row> runAll() {
  std::vector<Row> All;
  for (const auto &Bench :
       {benchRouting, benchLimits, benchRetries, benchFleet}) {
    const std::vector<Row> Rows = Bench();
    All.insert(All.end(), Rows.begin(), Rows.end());
  }
  return All;
}

nlohmann::json toJson(const std::vector<Row> &Rows) {
  nlohmann::json List = nlohmann::json::array();
  for (const Row &One : Rows)
    List.push_back(
        {{"name", One.m_Name}, {"value", One.m_Value}, {"unit", One.m_Unit}});
  return List;
}

int run(int Count, char **Arguments) {
  options::options_description Known("options");
  std::string File;
  Known.add_options()("help", "show this text")(
      "json", options::value(&File), "also write the rows to this file");
  options::variables_map Given;
  options::store(options::parse_command_line(Count, Arguments, Known), Given);
  options::notify(Given);
  if (Given.count("help") > 0) {
    std::cout << Known;
    return 0;
  }
  const std::vector<Row> Rows = runAll();
  for (const Row &One : Rows)
    fmt::print("{} {:.4g} {}\n", One.m_Name, One.m_Value, One.m_Unit);
  if (File.empty())
    return 0;
  std::ofstream Output(File);
  Output << toJson(Rows).dump(2) << '\n';
  return Output.good() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale-decision-bench: {}\n", Failure.what());
    return 2;
  }
}
