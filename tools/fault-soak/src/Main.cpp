// wasabivale-fault-soak: randomised faults from outside against the real
// programs, and checks of what callers and targets see.

#include "Soak.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <sys/file.h>

namespace po = boost::program_options;
using namespace wasabivale;

int main(int ArgumentCount, char **Arguments) {
  std::uint64_t Seed = 1;
  std::uint64_t Seeds = 1;
  unsigned Seconds = 20;
  unsigned WaveGap = 250;
  std::string OtherFolder;
  soak::Options Wanted;
  Wanted.m_Folder = std::filesystem::temp_directory_path() / "fault-soak";
  po::options_description Known("wasabivale-fault-soak [OPTIONS]");
  Known.add_options()("help", "print this")(
      "seed", po::value(&Seed)->default_value(Seed), "first seed")(
      "seeds", po::value(&Seeds)->default_value(Seeds),
      "how many")("seconds", po::value(&Seconds)->default_value(Seconds),
                  "time of faults for each seed")(
      "entries", po::value(&Wanted.m_Shape.m_Entries)->default_value(4),
      "")("targets", po::value(&Wanted.m_Shape.m_Targets)->default_value(12),
          "")("callers", po::value(&Wanted.m_CallersOfEntry)->default_value(12),
              "for each entry")("network",
                                po::value(&Wanted.m_Network)->default_value(77),
                                "N of the addresses 127.N.x.y")(
      "cuts", po::bool_switch(&Wanted.m_Shape.m_Cuts),
      "cut entries off from all targets")(
      "versions", po::bool_switch(&Wanted.m_ChecksVersions),
      "upgrade targets, and fail on streams of two versions")(
      "releases", po::bool_switch(&Wanted.m_Shape.m_Releases),
      "as --versions, and upgrade targets while an entry is paused")(
      "stops", po::bool_switch(&Wanted.m_Shape.m_Stops),
      "only stop entries one after the other, beside reloads and changes")(
      "waves", po::bool_switch(&Wanted.m_Shape.m_Waves),
      "stop all entries in turn, several times, and use idle connections once "
      "2.8 to 7 s after a SIGTERM")("wave-gap",
                                    po::value(&WaveGap)->default_value(WaveGap),
                                    "milliseconds between the stops of a wave")(
      "late", po::bool_switch(&Wanted.m_Shape.m_Late),
      "as --stops, and press entries 3.5 to 6 s after their SIGTERM and new "
      "processes")("other-build", po::value(&OtherFolder),
                   "checkout of another build, which some of the starts use")(
      "other-share",
      po::value(&Wanted.m_OtherShare)->default_value(Wanted.m_OtherShare),
      "how many of 100 starts do")("keep-logs",
                                   po::bool_switch(&Wanted.m_KeepsLogs),
                                   "keep the logs of clean seeds")(
      "logs", po::value(&Wanted.m_Folder)->default_value(Wanted.m_Folder),
      "folder of the logs");
  po::variables_map Options;
  try {
    po::store(po::parse_command_line(ArgumentCount, Arguments, Known), Options);
    po::notify(Options);
  } catch (const po::error &Wrong) {
    fmt::print(stderr, "wasabivale-fault-soak: {}\n", Wrong.what());
    return 2;
  }
  if (Options.count("help") > 0) {
    std::cout << Known;
    return 0;
  }
  if (!OtherFolder.empty()) {
    Wanted.m_OtherBuild = soak::findBuild(OtherFolder);
    Wanted.m_Shape.m_HasTwoBuilds = true;
    if (!Wanted.m_OtherBuild) {
      fmt::print(stderr,
                 "wasabivale-fault-soak: {} has no programs in "
                 "out/build/bin, target/bin or bin\n",
                 OtherFolder);
      return 2;
    }
  }
  if (Wanted.m_Shape.m_Waves && Wanted.m_Shape.m_Late) {
    fmt::print(stderr, "wasabivale-fault-soak: --waves and --late are "
                       "schedules of their own, give one\n");
    return 2;
  }
  Wanted.m_Shape.m_Stops |= Wanted.m_Shape.m_Late || Wanted.m_Shape.m_Waves;
  Wanted.m_Shape.m_WaveGap = std::chrono::milliseconds(WaveGap);
  Wanted.m_Shape.m_Length = std::chrono::seconds(Seconds);
  Wanted.m_ChecksVersions |= Wanted.m_Shape.m_Releases;
  Wanted.m_Shape.m_Upgrades = Wanted.m_ChecksVersions;
  std::signal(SIGPIPE, SIG_IGN);
  // Another run with the same addresses waits for the end of this one.
  const std::string Lock =
      std::filesystem::temp_directory_path() /
      fmt::format("wasabivale-fault-soak-{}", Wanted.m_Network);
  const int Held = ::open(Lock.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  if (Held < 0 || ::flock(Held, LOCK_EX) != 0) {
    fmt::print(stderr, "wasabivale-fault-soak: cannot lock {}\n", Lock);
    return 2;
  }
  std::size_t Violations = 0;
  for (std::uint64_t I = 0; I < Seeds; ++I)
    Violations += soak::runSeed(Seed + I, Wanted);
  return Violations == 0 ? 0 : 1;
}
