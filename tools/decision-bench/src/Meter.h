/// \file
/// Measures time, instructions and memory of short pieces of code.

#ifndef WASABIVALE_DECISION_BENCH_METER_H
#define WASABIVALE_DECISION_BENCH_METER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wasabivale::decisionbench {

/// One figure.
struct Row {
  std::string m_Name;
  double m_Value = 0;
  std::string m_Unit;
};

/// Cost of one call.
struct Cost {
  double m_Nanoseconds = 0;
  /// None where the system does not let a process count its own.
  std::optional<double> m_Instructions;
};

/// Calls \p Step \p Calls times in each of several rounds. \returns the median
/// round's cost for each call.
Cost measure(std::uint64_t Calls, const std::function<void()> &Step);

/// Bytes that this process holds from `operator new`.
std::int64_t heldBytes();

/// Slope of the least squares line through points (x, y).
double slope(const std::vector<std::pair<double, double>> &Points);

} // namespace wasabivale::decisionbench

#endif // WASABIVALE_DECISION_BENCH_METER_H
