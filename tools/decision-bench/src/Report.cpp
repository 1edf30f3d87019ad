#include "Benches.h"

namespace wasabivale::decisionbench {

void addCost(std::vector<Row> &Rows, const std::string &Name,
             const Cost &Measured) {
  Rows.push_back({Name, Measured.m_Nanoseconds, "ns"});
  if (Measured.m_Instructions)
    Rows.push_back(
        {Name + "_instructions", *Measured.m_Instructions, "instructions"});
}

} // namespace wasabivale::decisionbench
