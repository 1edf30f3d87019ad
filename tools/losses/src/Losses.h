/// \file
/// Breaks down the lost worth of a day, from the report of the users' bench.

#ifndef WASABIVALE_LOSSES_LOSSES_H
#define WASABIVALE_LOSSES_LOSSES_H

#include "base/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabivale::losses {

/// Outcomes of one class of requests in a day.
struct RequestClass {
  std::string m_Name;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Late = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Failed = 0;
  double m_CreditShare = 0; ///< Earned fraction of the credit owed.
};

/// Cost of one resource in a day.
struct ResourceCost {
  std::string m_Resource;
  double m_Amount = 0; ///< In the unit that m_Resource names.
  double m_Paid = 0;   ///< Part of the day's worth.
};

struct Day {
  std::string m_Name;
  double m_Worth = 0;
  std::vector<RequestClass> m_Classes;
  std::vector<ResourceCost> m_Costs; ///< Nonzero costs, highest first.
};

/// Reads a report. Fails if a field is missing or has the wrong type.
Result<Day> readReport(const std::string &Name, const std::string &Text);

/// Formats the days as Markdown tables: requests by class, and costs of at
/// least \p MinPaid of a day's worth.
std::string formatTables(const std::vector<Day> &Days, double MinPaid);

} // namespace wasabivale::losses

#endif // WASABIVALE_LOSSES_LOSSES_H
