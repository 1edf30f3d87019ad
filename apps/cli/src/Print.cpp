#include "Print.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::cli {

namespace {

std::string join(const Json &List) {
  std::string Text;
  for (const Json &Item : List)
    Text += (Text.empty() ? "" : ",") +
            (Item.is_string() ? Item.get<std::string>() : Item.dump());
  return Text;
}

std::string formatCell(const Json &Row, const std::string &Pointer) {
  const Json::json_pointer Path(Pointer);
  if (!Row.contains(Path))
    return "-";
  const Json &Value = Row.at(Path);
  if (Value.is_array())
    return join(Value);
  if (!Value.is_string())
    return Value.dump();
  return Value.get<std::string>().empty() ? "-" : Value.get<std::string>();
}

std::string describeDesiredState(const Json &DesiredState) {
  if (DesiredState.value("withdrawn", false))
    return "withdraw";
  if (DesiredState.value("draining", false))
    return "drain";
  return fmt::format("serve {} {}", DesiredState.value("role", ""),
                     join(DesiredState.value("models", Json::array())));
}

std::string describeRemaining(const Json &Remaining) {
  std::string Text;
  for (const Json &Model : Remaining)
    Text += fmt::format("{}{}: {} targets, {} requests at once",
                        Text.empty() ? "" : "; ", Model.value("name", ""),
                        Model.value("targets", 0), Model.value("running", 0));
  return Text.empty() ? "nothing" : Text;
}

} // namespace

std::string formatTable(const Json &Rows, const std::vector<Column> &Columns) {
  std::vector<std::vector<std::string>> Lines(1);
  for (const Column &Definition : Columns)
    Lines[0].push_back(Definition.m_Title);
  for (const Json &Row : Rows) {
    Lines.emplace_back();
    for (const Column &Definition : Columns)
      Lines.back().push_back(formatCell(Row, Definition.m_Pointer));
  }
  std::vector<std::size_t> Widths(Columns.size(), 0);
  for (const auto &Line : Lines)
    for (std::size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  std::string Text;
  for (const auto &Line : Lines) {
    std::string Padded;
    for (std::size_t I = 0; I < Line.size(); ++I)
      Padded += fmt::format("{:<{}}  ", Line[I], Widths[I]);
    Padded.erase(Padded.find_last_not_of(' ') + 1);
    Text += Padded + '\n';
  }
  return Text;
}

std::string printTargets(const Json &Rows) {
  return formatTable(Rows, {{"TARGET", "/id"},
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
  return fmt::format(
      "leader {}  term {}  fleet revision {}  entries {}\n"
      "configuration {} accepted, {} in force  orders under "
      "way {}  ledger keys {}\n\n{}",
      formatCell(Status, "/leader"), formatCell(Status, "/term"),
      formatCell(Status, "/fleet_revision"), formatCell(Status, "/entries"),
      formatCell(Status, "/configuration/accepted"),
      formatCell(Status, "/configuration/in_force"),
      formatCell(Status, "/orders_under_way"),
      formatCell(Status, "/ledger/keys"), printTargets(Status["targets"]));
}

std::string printOrders(const Json &Rows) {
  return formatTable(Rows, {{"ORDER", "/id"},
                            {"TARGET", "/target"},
                            {"STATE", "/state"},
                            {"TERM", "/fence/term"},
                            {"SEQUENCE", "/fence/sequence"},
                            {"PLAN", "/plan"},
                            {"MESSAGE", "/message"}});
}

std::string printPlans(const Json &Rows) {
  return formatTable(Rows, {{"PLAN", "/plan"},
                            {"STATE", "/state"},
                            {"INTENT", "/intent/intent"},
                            {"BY", "/actor"},
                            {"REVISION", "/revision"},
                            {"MESSAGE", "/message"}});
}

std::string printPlan(const Json &Plan) {
  std::string Text = fmt::format(
      "{}  {}  by {}  revision {}\ndigest {}\n", formatCell(Plan, "/plan"),
      formatCell(Plan, "/state"), formatCell(Plan, "/actor"),
      formatCell(Plan, "/revision"), formatCell(Plan, "/digest"));
  std::size_t Number = 0;
  for (const Json &Step : Plan["steps"]) {
    ++Number;
    if (Step.value("kind", "") != "order") {
      Text += fmt::format("{}. {}  [{}]\n", Number, formatCell(Step, "/kind"),
                          formatCell(Step, "/state"));
      continue;
    }
    Text += fmt::format(
        "{}. {}: {}{}  [{}]\n   meanwhile {}\n", Number,
        formatCell(Step, "/target"), describeDesiredState(Step["want"]),
        Step.value("stops_serving", false) ? ", after its streams have ended"
                                           : "",
        formatCell(Step, "/state"), describeRemaining(Step["remaining"]));
  }
  if (!Plan.value("message", "").empty())
    Text += Plan.value("message", "") + '\n';
  return Text;
}

std::string printMembers(const Json &Members) {
  return fmt::format(
      "leader {}  term {}  committed {}\n{}", formatCell(Members, "/leader"),
      formatCell(Members, "/term"), formatCell(Members, "/commit_index"),
      formatTable(Members["members"], {{"MEMBER", "/id"},
                                       {"VOTER", "/voter"},
                                       {"MATCH", "/match"},
                                       {"DISK", "/incarnation"},
                                       {"OTHER DISK", "/other_incarnation"}}));
}

std::string printEntries(const Json &Rows) {
  return formatTable(Rows, {{"ENTRY", "/id"},
                            {"SESSION", "/session"},
                            {"LEASE LEFT MS", "/lease_left_ms"},
                            {"FLEET", "/fleet_revision"},
                            {"CONFIGURATION", "/configuration_revision"},
                            {"ROUTES", "/routes_version"},
                            {"CLOSED:IN FLIGHT", "/closed"}});
}

std::string printRoutes(const Json &Routes) {
  return fmt::format(
      "version {}  not yet in force at {}\n{}", formatCell(Routes, "/version"),
      Routes["lagging"].empty() ? "-" : formatCell(Routes, "/lagging"),
      formatTable(Routes["routes"], {{"ROUTE", "/name"},
                                     {"HOST", "/host"},
                                     {"PREFIX", "/path_prefix"},
                                     {"KIND", "/kind"},
                                     {"SERVICES", "/services"},
                                     {"RANK", "/rank"},
                                     {"ATTEMPTS", "/max_attempts"},
                                     {"TIMEOUT MS", "/timeout_ms"}}));
}

std::string printHistory(const Json &Configuration) {
  return formatTable(Configuration["history"],
                     {{"REVISION", "/revision"},
                      {"BY", "/actor"},
                      {"ACCEPTED AT MS", "/accepted_ms"},
                      {"DIGEST", "/digest"}});
}

} // namespace wasabivale::cli
