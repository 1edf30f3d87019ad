/// \file
/// wasabivale-losses REPORT...: tables of where worth was lost in days of the
/// users' bench, one report (`run --report FILE`) for each day.

#include "Losses.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace wasabivale;

int main(int ArgumentCount, char **Arguments) {
  /// Smaller prices change no order of work.
  constexpr double LeastPaid = 0.005;
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
    auto Read = losses::readReport(File.stem().string(), Text.str());
    if (failed(Read)) {
      fmt::print(stderr, "{}\n", describe(errorOf(Read)));
      return 1;
    }
    Days.push_back(std::move(valueOf(Read)));
  }
  fmt::print("{}", losses::print(Days, LeastPaid));
  return 0;
}
