/// \file
/// Search for splits of the fleet: the best fixed one, and those of an
/// informed run.

#ifndef WASABIVALE_EXPERIMENT_SEARCH_H
#define WASABIVALE_EXPERIMENT_SEARCH_H

#include "World.h"

#include <tuple>
#include <vector>

namespace wasabivale::experiment {

/// Every split of \p Engines in steps of \p Step engines that can run a whole
/// request.
std::vector<Split> allSplits(std::uint32_t Engines, std::uint32_t Step);

struct RankedSplit {
  double m_InTime = 0; ///< Answers in time, mean over the seeds.
  Split m_Split{};

  bool operator<(const RankedSplit &Other) const {
    return std::tie(m_InTime, m_Split) <
           std::tie(Other.m_InTime, Other.m_Split);
  }
};

/// Splits by the answers that \p Of has in time with them, best first. All
/// splits of a grid are tried with seeds 1 to \p Seeds, then the neighbours of
/// the best one.
std::vector<RankedSplit> rankSplits(Setup Of, std::uint32_t Seeds);

/// Engines that differ between two splits of one fleet.
std::uint32_t movesBetween(const Split &From, const Split &To);

} // namespace wasabivale::experiment

#endif // WASABIVALE_EXPERIMENT_SEARCH_H
