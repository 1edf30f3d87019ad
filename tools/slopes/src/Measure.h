/// \file
/// The slopes of docs/CAPACITY.md, each measured at three sizes or more.

#ifndef WASABIVALE_SLOPES_MEASURE_H
#define WASABIVALE_SLOPES_MEASURE_H

#include "capacity/capacity.h"

#include <functional>

namespace wasabivale::slopes {

/// A slope to be measured: `m_Cost` yields the cost at a size.
struct Probe {
  std::string m_Name;
  std::string m_CostUnit;
  std::string m_SizeUnit;
  std::vector<double> m_Sizes;
  std::function<double(std::size_t Size)> m_Cost;
  /// The median of this many tries counts.
  int m_Tries = 1;
};

/// Processor time of this process so far, all threads.
std::chrono::nanoseconds processorTime();

/// Processor nanoseconds that \p Work takes.
double processorCost(const std::function<void()> &Work);

/// Heap bytes that \p Build leaves in use.
double heapCost(const std::function<void()> &Build);

std::vector<Probe> messageProbes();
std::vector<Probe> decisionProbes();
std::vector<Probe> durableProbes(const std::string &Folder);

Result<capacity::Slope> measure(const Probe &What);

} // namespace wasabivale::slopes

#endif // WASABIVALE_SLOPES_MEASURE_H
