/// \file
/// Where the worth of a day went, from the report of the users' bench.

#ifndef WASABIVALE_LOSSES_LOSSES_H
#define WASABIVALE_LOSSES_LOSSES_H

#include "base/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabivale::losses {

/// One kind of request in a day.
struct Kind {
  std::string m_Name;
  std::uint64_t m_Asked = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Late = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Failed = 0;
  double m_Earned = 0; ///< Part of the credit owed for it.
};

/// One price paid in a day.
struct Price {
  std::string m_Of;
  double m_Amount = 0; ///< In the unit that the name tells.
  double m_Paid = 0;   ///< Of the day's worth.
};

struct Day {
  std::string m_Name;
  double m_Worth = 0;
  std::vector<Kind> m_Kinds;
  std::vector<Price> m_Prices; ///< The dearest first; without those of zero.
};

/// Reads a report. \returns what is missing or of another type in it.
Result<Day> readReport(const std::string &Name, const std::string &Text);

/// The days as Markdown tables: requests by kind, and the prices above
/// \p LeastPaid of a day's worth.
std::string print(const std::vector<Day> &Days, double LeastPaid);

} // namespace wasabivale::losses

#endif // WASABIVALE_LOSSES_LOSSES_H
