/// \file
/// Randomised runs of the consensus steps: members, disks, clocks and a network
/// in memory, with faults, and checks of what must always hold.
///
/// A run depends on its options only, so a seed that failed fails again.

#ifndef WASABIVALE_CONSENSUS_MODEL_CONSENSUS_MODEL_H
#define WASABIVALE_CONSENSUS_MODEL_CONSENSUS_MODEL_H

#include "consensus/consensus.h"

#include <cstdint>
#include <string>

namespace wasabivale::consensus {

struct RunOptions {
  std::uint64_t m_Seed = 1;
  std::uint64_t m_Steps = 2000; ///< Of `StepLength` with faults.
};

/// Virtual time that one step takes.
inline constexpr std::chrono::milliseconds StepLength{10};

struct Counts {
  std::uint64_t m_Runs = 0;
  std::uint64_t m_Steps = 0;
  std::uint64_t m_Elections = 0;
  std::uint64_t m_Commits = 0;
  std::uint64_t m_Acknowledged = 0;
  std::uint64_t m_Lost = 0;
  std::uint64_t m_Repeated = 0;
  std::uint64_t m_Delayed = 0;
  std::uint64_t m_Crashes = 0;
  std::uint64_t m_TornWrites = 0;
  std::uint64_t m_Pauses = 0;
  std::uint64_t m_Partitions = 0;
  std::uint64_t m_EmptyDisks = 0;
  std::uint64_t m_SecondLosses = 0; ///< Right after a repair.
  std::uint64_t m_Changes = 0;
  std::uint64_t m_Transfers = 0;
  std::uint64_t m_Snapshots = 0;
  std::uint64_t m_Installs = 0;

  Counts &operator+=(const Counts &Other);
};

/// The counts on one line, `name=value` each.
std::string describe(const Counts &Value);

struct RunReport {
  Counts m_Counts;
  std::string m_Failure; ///< What did not hold; empty if all did.
};

/// Runs `m_Steps` steps with faults, then heals everything and demands
/// progress. Checks throughout: members agree on every committed record, no
/// acknowledged proposal is lost, one leader for a term, never two holders of
/// a lease at one instant.
RunReport run(const RunOptions &With);

/// One scripted run: a leader whose records of an earlier term are held by a
/// quorum commits them only with one of its own term. \returns what did not
/// hold; empty if all did.
std::string checkEarlierTermCommit();

} // namespace wasabivale::consensus

#endif // WASABIVALE_CONSENSUS_MODEL_CONSENSUS_MODEL_H
