/// \file
/// Long randomized runs of the consensus model. Prints one line of counts, or
/// prints the failing seed and exits with 1 if an invariant is violated.

#include "consensus_model/consensus_model.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <iostream>

namespace po = boost::program_options;
using namespace wasabivale;

namespace {

struct SoakOptions {
  std::uint64_t m_FirstSeed = 1;
  std::uint64_t m_SeedCount = 100;
  std::uint64_t m_StepCount = 2000;
};

int runSeeds(const SoakOptions &Options) {
  consensus::Counts Total;
  for (std::uint64_t Index = 0; Index < Options.m_SeedCount; ++Index) {
    const std::uint64_t Seed = Options.m_FirstSeed + Index;
    const consensus::RunReport Report =
        consensus::run({Seed, Options.m_StepCount});
    Total += Report.m_Counts;
    if (Report.m_Failure.empty())
      continue;
    fmt::print("failed seed={} steps={}: {}\n", Seed, Options.m_StepCount,
               Report.m_Failure);
    return 1;
  }
  fmt::print("ok {}\n", describe(Total));
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int UsageError = 2;
  SoakOptions Options;
  po::options_description Description("wasabivale-soak");
  Description.add_options()("help,h", "print this help")(
      "seed", po::value(&Options.m_FirstSeed), "first seed (1)")(
      "seeds", po::value(&Options.m_SeedCount),
      "number of seeds (100)")("steps", po::value(&Options.m_StepCount),
                               "steps of 10 ms with faults (2000)");
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Count, Arguments, Description), Values);
    po::notify(Values);
    if (Values.count("help") != 0) {
      std::cout << Description;
      return 0;
    }
  } catch (const po::error &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return UsageError;
  }
  return runSeeds(Options);
}
