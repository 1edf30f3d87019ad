/// \file
/// Formats responses of control as text tables.

#ifndef WASABIVALE_CLI_PRINT_H
#define WASABIVALE_CLI_PRINT_H

#include "settings/settings.h"

#include <string>
#include <vector>

namespace wasabivale::cli {

using settings::Json;

/// A column: its title and the JSON pointer of its value in each row.
struct Column {
  std::string m_Title;
  std::string m_Pointer;
};

/// Formats rows as aligned columns with a title line.
std::string formatTable(const Json &Rows, const std::vector<Column> &Columns);

std::string printStatus(const Json &Status);
std::string printTargets(const Json &Rows);
std::string printOrders(const Json &Rows);
std::string printPlans(const Json &Rows);
/// Formats the steps of a plan in order, with the capacity that remains during
/// each step.
std::string printPlan(const Json &Plan);
std::string printMembers(const Json &Members);
std::string printEntries(const Json &Rows);
std::string printRoutes(const Json &Routes);
std::string printHistory(const Json &Configuration);

} // namespace wasabivale::cli

#endif // WASABIVALE_CLI_PRINT_H
