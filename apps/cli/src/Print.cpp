#include "Print.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::cli {

namespace {

std::string joined(const Json &List) {
  std::string Out;
  for (const Json &Each : List)
    Out += (Out.empty() ? "" : ",") +
           (Each.is_string() ? Each.get<std::string>() : Each.dump());
  return Out;
}

std::string cell(const Json &Row, const std::string &Pointer) {
  const Json::json_pointer At(Pointer);
  if (!Row.contains(At))
    return "-";
  const Json &Value = Row.at(At);
  if (Value.is_array())
    return joined(Value);
  if (!Value.is_string())
    return Value.dump();
  return Value.get<std::string>().empty() ? "-" : Value.get<std::string>();
}

std::string describeWant(const Json &Want) {
  if (Want.value("withdrawn", false))
    return "withdraw";
  if (Want.value("draining", false))
    return "drain";
  return fmt::format("serve {} {}", Want.value("role", ""),
                     joined(Want.value("models", Json::array())));
}

std::string describeRemaining(const Json &Remaining) {
  std::string Out;
  for (const Json &Each : Remaining)
    Out += fmt::format("{}{}: {} targets, {} requests at once",
                       Out.empty() ? "" : "; ", Each.value("name", ""),
                       Each.value("targets", 0), Each.value("running", 0));
  return Out.empty() ? "nothing" : Out;
}

} // namespace

std::string table(const Json &Rows, const std::vector<Column> &Columns) {
  std::vector<std::vector<std::string>> Lines(1);
  for (const Column &Each : Columns)
    Lines[0].push_back(Each.m_Title);
  for (const Json &Row : Rows) {
    Lines.emplace_back();
    for (const Column &Each : Columns)
      Lines.back().push_back(cell(Row, Each.m_Pointer));
  }
  std::vector<std::size_t> Widths(Columns.size(), 0);
  for (const auto &Line : Lines)
    for (std::size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  std::string Out;
  for (const auto &Line : Lines) {
    std::string Text;
    for (std::size_t I = 0; I < Line.size(); ++I)
      Text += fmt::format("{:<{}}  ", Line[I], Widths[I]);
    Text.erase(Text.find_last_not_of(' ') + 1);
    Out += Text + '\n';
  }
  return Out;
}

std::string printTargets(const Json &Rows) {
  return table(Rows, {{"TARGET", "/id"},
                      {"KIND", "/kind"},
                      {"STATE", "/state"},
                      {"INCARNATION", "/incarnation"},
                      {"ROLE", "/role"},
                      {"MODELS", "/models"},
                      {"ZONE", "/zone"},
                      {"ADDRESS", "/address"},
                      {"GENERATION", "/generation"},
                      {"PLAN", "/plan"}});
}

std::string printStatus(const Json &Status) {
  return fmt::format("leader {}  term {}  fleet revision {}  entries {}\n"
                     "configuration {} accepted, {} in force  orders under "
                     "way {}  ledger keys {}\n\n{}",
                     cell(Status, "/leader"), cell(Status, "/term"),
                     cell(Status, "/fleet_revision"), cell(Status, "/entries"),
                     cell(Status, "/configuration/accepted"),
                     cell(Status, "/configuration/in_force"),
                     cell(Status, "/orders_under_way"),
                     cell(Status, "/ledger/keys"),
                     printTargets(Status["targets"]));
}

std::string printOrders(const Json &Rows) {
  return table(Rows, {{"ORDER", "/id"},
                      {"TARGET", "/target"},
                      {"STATE", "/state"},
                      {"TERM", "/fence/term"},
                      {"SEQUENCE", "/fence/sequence"},
                      {"PLAN", "/plan"},
                      {"MESSAGE", "/message"}});
}

std::string printPlans(const Json &Rows) {
  return table(Rows, {{"PLAN", "/plan"},
                      {"STATE", "/state"},
                      {"INTENT", "/intent/intent"},
                      {"BY", "/actor"},
                      {"REVISION", "/revision"},
                      {"MESSAGE", "/message"}});
}

std::string printPlan(const Json &Plan) {
  std::string Out = fmt::format("{}  {}  by {}  revision {}\ndigest {}\n",
                                cell(Plan, "/plan"), cell(Plan, "/state"),
                                cell(Plan, "/actor"), cell(Plan, "/revision"),
                                cell(Plan, "/digest"));
  std::size_t Number = 0;
  for (const Json &Step : Plan["steps"]) {
    ++Number;
    if (Step.value("kind", "") != "order") {
      Out += fmt::format("{}. {}  [{}]\n", Number, cell(Step, "/kind"),
                         cell(Step, "/state"));
      continue;
    }
    Out += fmt::format(
        "{}. {}: {}{}  [{}]\n   meanwhile {}\n", Number, cell(Step, "/target"),
        describeWant(Step["want"]),
        Step.value("stops_serving", false) ? ", after its streams have ended"
                                           : "",
        cell(Step, "/state"), describeRemaining(Step["remaining"]));
  }
  if (!Plan.value("message", "").empty())
    Out += Plan.value("message", "") + '\n';
  return Out;
}

std::string printMembers(const Json &Members) {
  return fmt::format(
      "leader {}  term {}  committed {}\n{}", cell(Members, "/leader"),
      cell(Members, "/term"), cell(Members, "/commit_index"),
      table(Members["members"], {{"MEMBER", "/id"},
                                 {"VOTER", "/voter"},
                                 {"MATCH", "/match"},
                                 {"DISK", "/incarnation"},
                                 {"OTHER DISK", "/other_incarnation"}}));
}

std::string printEntries(const Json &Rows) {
  return table(Rows, {{"ENTRY", "/id"},
                      {"SESSION", "/session"},
                      {"LEASE LEFT MS", "/lease_left_ms"},
                      {"FLEET", "/fleet_revision"},
                      {"CONFIGURATION", "/configuration_revision"},
                      {"ROUTES", "/routes_version"},
                      {"CLOSED:IN FLIGHT", "/closed"}});
}

std::string printRoutes(const Json &Routes) {
  return fmt::format("version {}  not yet in force at {}\n{}",
                     cell(Routes, "/version"),
                     Routes["lagging"].empty() ? "-" : cell(Routes, "/lagging"),
                     table(Routes["routes"], {{"ROUTE", "/name"},
                                              {"HOST", "/host"},
                                              {"PREFIX", "/path_prefix"},
                                              {"KIND", "/kind"},
                                              {"SERVICES", "/services"},
                                              {"RANK", "/rank"},
                                              {"ATTEMPTS", "/max_attempts"},
                                              {"TIMEOUT MS", "/timeout_ms"}}));
}

std::string printHistory(const Json &Configuration) {
  return table(Configuration["history"], {{"REVISION", "/revision"},
                                          {"BY", "/actor"},
                                          {"ACCEPTED AT MS", "/accepted_ms"},
                                          {"DIGEST", "/digest"}});
}

} // namespace wasabivale::cli
