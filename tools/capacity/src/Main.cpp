// wasabivale-capacity: writes the tables of docs/CAPACITY.md and
// docs/operations/sizing.md from docs/capacity/*.json, or checks them.

#include "Pages.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace wasabivale;
namespace options = boost::program_options;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

int run(const std::string &Docs, bool CheckOnly) {
  const auto Pages = pages::makePages(Docs, Docs + "/capacity");
  if (failed(Pages)) {
    fmt::print(stderr, "{}\n", describe(errorOf(Pages)));
    return ExitFailed;
  }
  bool Equal = true;
  for (const pages::Page &One : valueOf(Pages)) {
    if (One.m_Old == One.m_New)
      continue;
    Equal = false;
    if (CheckOnly) {
      fmt::print("{}: differs from its inputs\n", One.m_File);
      continue;
    }
    std::ofstream(One.m_File) << One.m_New;
    fmt::print("{}: written\n", One.m_File);
  }
  return CheckOnly && !Equal ? ExitFailed : 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this text");
  Add("docs", options::value<std::string>()->default_value("docs"),
      "the folder with the pages and capacity/*.json");
  Add("check", "write nothing; exit 1 when a page differs from its inputs");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known),
                   Given);
    if (Given.count("help") != 0) {
      std::ostringstream Text;
      Text << Known;
      fmt::print("wasabivale-capacity: writes the capacity pages\n\n{}",
                 Text.str());
      return 0;
    }
    return run(Given["docs"].as<std::string>(), Given.count("check") != 0);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale-capacity: {}\n", Failure.what());
    return ExitUsage;
  }
}
