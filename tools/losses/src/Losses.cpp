#include "Losses.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wasabivale::losses {

namespace {

using Json = nlohmann::json;

Kind readKind(const Json &From) {
  Kind Made;
  Made.m_Name = From.at("name").get<std::string>();
  Made.m_Asked = From.at("n").get<std::uint64_t>();
  Made.m_InTime = From.at("in_aim").get<std::uint64_t>();
  Made.m_Late = From.at("late").get<std::uint64_t>();
  Made.m_Refused = From.at("refused").get<std::uint64_t>();
  Made.m_Failed = From.at("failed").get<std::uint64_t>();
  Made.m_Earned = From.at("worth").get<double>();
  return Made;
}

} // namespace

Result<Day> readReport(const std::string &Name, const std::string &Text) {
  Day Made;
  Made.m_Name = Name;
  try {
    const Json Report = Json::parse(Text);
    Made.m_Worth = Report.at("G").get<double>();
    for (const Json &Each : Report.at("classes"))
      Made.m_Kinds.push_back(readKind(Each));
    for (const Json &Each : Report.at("prices")) {
      const Price Paid{Each.at(0).get<std::string>(), Each.at(1).get<double>(),
                       Each.at(2).get<double>()};
      if (Paid.m_Paid > 0)
        Made.m_Prices.push_back(Paid);
    }
  } catch (const Json::exception &Why) {
    return Error{"losses.read", Name, Why.what()};
  }
  std::sort(Made.m_Prices.begin(), Made.m_Prices.end(),
            [](const Price &Left, const Price &Right) {
              return Left.m_Paid > Right.m_Paid;
            });
  return Made;
}

std::string print(const std::vector<Day> &Days, double LeastPaid) {
  std::string Out =
      "| Day | Kind | Asked | In time | Late | Refused | Failed | "
      "Credit lost |\n|---|---|---|---|---|---|---|---|\n";
  for (const Day &Each : Days)
    for (const Kind &Of : Each.m_Kinds)
      Out += fmt::format("| {} | {} | {} | {} | {} | {} | {} | {:.3f} |\n",
                         Each.m_Name, Of.m_Name, Of.m_Asked, Of.m_InTime,
                         Of.m_Late, Of.m_Refused, Of.m_Failed, 1 - Of.m_Earned);
  Out += "\n| Day | Worth | Price | Amount | Paid |\n|---|---|---|---|---|\n";
  for (const Day &Each : Days)
    for (const Price &Of : Each.m_Prices)
      if (Of.m_Paid >= LeastPaid)
        Out +=
            fmt::format("| {} | {:.3f} | {} | {:.1f} | {:.4f} |\n", Each.m_Name,
                        Each.m_Worth, Of.m_Of, Of.m_Amount, Of.m_Paid);
  return Out;
}

} // namespace wasabivale::losses
