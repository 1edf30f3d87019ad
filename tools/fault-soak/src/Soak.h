/// \file
/// A run of the real programs between stand-ins for callers, targets and the
/// operator, with the faults of one schedule.

#ifndef WASABIVALE_FAULTSOAK_SOAK_H
#define WASABIVALE_FAULTSOAK_SOAK_H

#include "Judge.h"
#include "Processes.h"
#include "Schedule.h"

#include <optional>
#include <string>

namespace wasabivale::soak {

struct Options {
  Shape m_Shape;
  unsigned m_CallersOfEntry = 12;
  unsigned m_LateCallersOfEntry = 6;  ///< Where stops are late.
  unsigned m_WaveCallersOfEntry = 11; ///< Where entries stop in waves.
  /// Second octet of the addresses, `127.N.x.y`.
  unsigned m_Network = 77;
  /// Two software versions in one stream are a violation.
  bool m_ChecksVersions = false;
  bool m_KeepsLogs = false;
  /// A second build, which some of the starts use.
  std::optional<Build> m_OtherBuild;
  /// How many of 100 starts use it.
  unsigned m_OtherShare = 50;
  std::string m_Folder; ///< Of the logs; a folder for each seed is made there.
};

/// Plays one schedule, prints a line for each violation, and keeps the logs if
/// there was one.
/// \returns the number of violations.
std::size_t runSeed(std::uint64_t Seed, const Options &Wanted);

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_SOAK_H
