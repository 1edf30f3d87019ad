/// \file
/// The measured decisions, one function for each library.

#ifndef WASABIVALE_DECISION_BENCH_BENCHES_H
#define WASABIVALE_DECISION_BENCH_BENCHES_H

#include "Meter.h"

#include <vector>

namespace wasabivale::decisionbench {

std::vector<Row> benchRouting();
std::vector<Row> benchLimits();
std::vector<Row> benchRetries();
std::vector<Row> benchFleet();

/// Adds the rows of a cost: time, and instructions where they are known.
void addCost(std::vector<Row> &Rows, const std::string &Name,
             const Cost &Measured);

} // namespace wasabivale::decisionbench

#endif // WASABIVALE_DECISION_BENCH_BENCHES_H
