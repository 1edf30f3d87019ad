#include "Losses.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wasabivale::losses {

namespace {

using Json = nlohmann::json;

RequestClass readRequestClass(const Json &Source) {
  RequestClass Class;
  Class.m_Name = Source.at("name").get<std::string>();
  Class.m_Requests = Source.at("n").get<std::uint64_t>();
  Class.m_InTime = Source.at("in_aim").get<std::uint64_t>();
  Class.m_Late = Source.at("late").get<std::uint64_t>();
  Class.m_Refused = Source.at("refused").get<std::uint64_t>();
  Class.m_Failed = Source.at("failed").get<std::uint64_t>();
  Class.m_CreditShare = Source.at("worth").get<double>();
  return Class;
}

} // namespace

Result<Day> readReport(const std::string &Name, const std::string &Text) {
  Day ParsedDay;
  ParsedDay.m_Name = Name;
  try {
    const Json Report = Json::parse(Text);
    ParsedDay.m_Worth = Report.at("G").get<double>();
    for (const Json &Item : Report.at("classes"))
      ParsedDay.m_Classes.push_back(readRequestClass(Item));
    for (const Json &Item : Report.at("prices")) {
      const ResourceCost Cost{Item.at(0).get<std::string>(),
                              Item.at(1).get<double>(),
                              Item.at(2).get<double>()};
      if (Cost.m_Paid > 0)
        ParsedDay.m_Costs.push_back(Cost);
    }
  } catch (const Json::exception &Failure) {
    return Error{"losses.read", Name, Failure.what()};
  }
  std::sort(ParsedDay.m_Costs.begin(), ParsedDay.m_Costs.end(),
            [](const ResourceCost &Left, const ResourceCost &Right) {
              return Left.m_Paid > Right.m_Paid;
            });
  return ParsedDay;
}

std::string formatTables(const std::vector<Day> &Days, double MinPaid) {
  std::string Text =
      "| Day | Kind | Asked | In time | Late | Refused | Failed | "
      "Credit lost |\n|---|---|---|---|---|---|---|---|\n";
  for (const Day &CurrentDay : Days)
    for (const RequestClass &Class : CurrentDay.m_Classes)
      Text += fmt::format("| {} | {} | {} | {} | {} | {} | {} | {:.3f} |\n",
                          CurrentDay.m_Name, Class.m_Name, Class.m_Requests,
                          Class.m_InTime, Class.m_Late, Class.m_Refused,
                          Class.m_Failed, 1 - Class.m_CreditShare);
  Text += "\n| Day | Worth | Price | Amount | Paid |\n|---|---|---|---|---|\n";
  for (const Day &CurrentDay : Days)
    for (const ResourceCost &Cost : CurrentDay.m_Costs)
      if (Cost.m_Paid >= MinPaid)
        Text += fmt::format("| {} | {:.3f} | {} | {:.1f} | {:.4f} |\n",
                            CurrentDay.m_Name, CurrentDay.m_Worth,
                            Cost.m_Resource, Cost.m_Amount, Cost.m_Paid);
  return Text;
}

} // namespace wasabivale::losses
