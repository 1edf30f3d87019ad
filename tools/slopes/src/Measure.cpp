#include "Measure.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace wasabivale::slopes {

std::chrono::nanoseconds processorTime() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

double processorCost(const std::function<void()> &Work) {
  const auto Before = processorTime();
  Work();
  return static_cast<double>((processorTime() - Before).count());
}

double heapCost(const std::function<void()> &Build) {
  const auto Before = mallinfo2();
  Build();
  const auto After = mallinfo2();
  const auto InUse = [](const struct mallinfo2 &Of) {
    return static_cast<double>(Of.uordblks) + static_cast<double>(Of.hblkhd);
  };
  return InUse(After) - InUse(Before);
}

Result<capacity::Slope> measure(const Probe &What) {
  std::vector<capacity::Sample> Samples;
  Samples.reserve(What.m_Sizes.size());
  for (const double Size : What.m_Sizes) {
    std::vector<double> Costs;
    Costs.reserve(static_cast<std::size_t>(What.m_Tries));
    for (int Try = 0; Try < What.m_Tries; ++Try)
      Costs.push_back(What.m_Cost(static_cast<std::size_t>(Size)));
    std::sort(Costs.begin(), Costs.end());
    Samples.push_back({Size, Costs[Costs.size() / 2]});
  }
  return capacity::fit(What.m_Name, What.m_CostUnit, What.m_SizeUnit,
                       std::move(Samples));
}

} // namespace wasabivale::slopes
