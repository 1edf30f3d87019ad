/// \file
/// Randomised simulation of the consensus steps: members, disks, clocks and a
/// network in memory, with injected faults and invariant checks.
///
/// A run depends on its options only, so a failing seed is reproducible.

#ifndef WASABIVALE_CONSENSUS_MODEL_CONSENSUS_MODEL_H
#define WASABIVALE_CONSENSUS_MODEL_CONSENSUS_MODEL_H

#include "consensus/consensus.h"

#include <cstdint>
#include <string>

namespace wasabivale::consensus {

struct RunOptions {
  std::uint64_t m_Seed = 1;
  std::uint64_t m_Steps = 2000; ///< Steps of `StepLength` with faults.
};

/// Virtual duration of one step.
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
  std::uint64_t m_SecondLosses = 0; ///< Disks lost right after a repair.
  std::uint64_t m_Changes = 0;
  std::uint64_t m_Transfers = 0;
  std::uint64_t m_Snapshots = 0;
  std::uint64_t m_Installs = 0;

  Counts &operator+=(const Counts &Other);
};

/// \returns the counts on one line, each as `name=value`.
std::string describe(const Counts &Value);

struct RunReport {
  Counts m_Counts;
  std::string m_Failure; ///< First violated check; empty on success.
};

/// Runs `m_Steps` steps with faults, then heals all faults and requires
/// progress. Checks throughout that members agree on every committed record, no
/// acknowledged proposal is lost, each term has at most one leader, and at most
/// one member holds a lease at any time.
RunReport run(const RunOptions &Options);

/// Scripted run: a leader whose records of an earlier term are stored by a
/// quorum commits them only through a record of its own term. \returns the
/// violated check; empty on success.
std::string checkEarlierTermCommit();

} // namespace wasabivale::consensus

#endif // WASABIVALE_CONSENSUS_MODEL_CONSENSUS_MODEL_H
