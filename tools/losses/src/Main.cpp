/// \file
/// wasabivale-losses REPORT...: prints tables of the worth that was lost in
/// days of the users' bench, from one report (`run --report FILE`) for each
/// day.

#include "Losses.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace wasabivale;

int main(int ArgumentCount, char **Arguments) {
  /// Smaller costs do not affect the priorities of optimization work.
  constexpr double MinPaid = 0.005;
  constexpr int ExitUsage = 2;
  if (ArgumentCount < 2) {
    fmt::print(stderr, "usage: wasabivale-losses REPORT...\n");
    return ExitUsage;
  }
  std::vector<losses::Day> Days;
  for (int I = 1; I < ArgumentCount; ++I) {
    const std::filesystem::path File(Arguments[I]);
    std::ostringstream Text;
    Text << std::ifstream(File).rdbuf();
    auto ParsedDay = losses::readReport(File.stem().string(), Text.str());
    if (failed(ParsedDay)) {
      fmt::print(stderr, "{}\n", describe(errorOf(ParsedDay)));
      return 1;
    }
    Days.push_back(std::move(valueOf(ParsedDay)));
  }
  fmt::print("{}", losses::formatTables(Days, MinPaid));
  return 0;
}
