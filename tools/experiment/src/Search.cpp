#include "Search.h"

#include <algorithm>
#include <set>

namespace wasabivale::experiment {

namespace {

/// Splits that a search tries along each edge of the simplex.
constexpr std::uint32_t GridSteps = 10;

bool isComplete(const Split &Of) {
  return Of[0] > 0 || (Of[1] > 0 && Of[2] > 0);
}

std::vector<Split> neighboursOf(const Split &Of) {
  std::vector<Split> Found;
  for (std::size_t From = 0; From < Of.size(); ++From) {
    for (std::size_t To = 0; To < Of.size(); ++To) {
      if (From == To || Of[From] == 0)
        continue;
      Split Moved = Of;
      --Moved[From];
      ++Moved[To];
      if (isComplete(Moved))
        Found.push_back(Moved);
    }
  }
  return Found;
}

} // namespace

std::vector<Split> allSplits(std::uint32_t Engines, std::uint32_t Step) {
  std::vector<Split> Found;
  for (std::uint32_t Prefill = 0; Prefill <= Engines; Prefill += Step)
    for (std::uint32_t Decode = 0; Prefill + Decode <= Engines;
         Decode += Step) {
      Split Made{Engines - Prefill - Decode, Prefill, Decode};
      if (isComplete(Made))
        Found.push_back(Made);
    }
  return Found;
}

std::vector<RankedSplit> rankSplits(Setup Of, std::uint32_t Seeds) {
  std::vector<std::vector<Arrival>> Sets;
  for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    Of.m_Workload.m_Seed = Seed;
    Sets.push_back(makeArrivals(Of.m_Workload));
  }
  std::vector<RankedSplit> Ranked;
  std::set<Split> Tried;
  auto Try = [&](const std::vector<Split> &Splits) {
    for (const Split &Each : Splits) {
      if (!Tried.insert(Each).second)
        continue;
      Of.m_Split = Each;
      double InTime = 0;
      for (const std::vector<Arrival> &Arrivals : Sets)
        InTime += static_cast<double>(run(Of, Arrivals).m_InTime);
      Ranked.push_back({InTime / Seeds, Each});
    }
    std::sort(Ranked.rbegin(), Ranked.rend());
  };
  std::uint32_t Engines = Of.m_Workload.m_Engines;
  Try(allSplits(Engines, std::max(1U, Engines / GridSteps)));
  Try(neighboursOf(Ranked.front().m_Split));
  return Ranked;
}

std::uint32_t movesBetween(const Split &From, const Split &To) {
  std::uint32_t Moves = 0;
  for (std::size_t Index = 0; Index < From.size(); ++Index)
    Moves += From[Index] > To[Index] ? From[Index] - To[Index] : 0;
  return Moves;
}

} // namespace wasabivale::experiment
