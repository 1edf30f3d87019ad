/// \file
/// Long randomised runs of the consensus steps. Prints one line of counts;
/// exits 1 with the seed when something did not hold.

#include "consensus_model/consensus_model.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <iostream>

namespace po = boost::program_options;
using namespace wasabivale;

namespace {

struct Settings {
  std::uint64_t m_FirstSeed = 1;
  std::uint64_t m_Seeds = 100;
  std::uint64_t m_Steps = 2000;
};

int soak(const Settings &With) {
  consensus::Counts Total;
  for (std::uint64_t At = 0; At < With.m_Seeds; ++At) {
    const std::uint64_t Seed = With.m_FirstSeed + At;
    const consensus::RunReport Report = consensus::run({Seed, With.m_Steps});
    Total += Report.m_Counts;
    if (Report.m_Failure.empty())
      continue;
    fmt::print("failed seed={} steps={}: {}\n", Seed, With.m_Steps,
               Report.m_Failure);
    return 1;
  }
  fmt::print("ok {}\n", describe(Total));
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int UsageError = 2;
  Settings With;
  po::options_description Known("wasabivale-soak");
  Known.add_options()("help,h", "print this help")(
      "seed", po::value(&With.m_FirstSeed), "first seed (1)")(
      "seeds", po::value(&With.m_Seeds), "number of seeds (100)")(
      "steps", po::value(&With.m_Steps), "steps of 10 ms with faults (2000)");
  try {
    po::variables_map Given;
    po::store(po::parse_command_line(Count, Arguments, Known), Given);
    po::notify(Given);
    if (Given.count("help") != 0) {
      std::cout << Known;
      return 0;
    }
  } catch (const po::error &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return UsageError;
  }
  return soak(With);
}
