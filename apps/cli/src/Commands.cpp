#include "Commands.h"

#include "Print.h"
#include "wire/wire.h"

#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace wasabivale::cli {

namespace {

constexpr std::chrono::milliseconds PollInterval{200};

using Printer = std::function<std::string(const Json &)>;

Exit reportUsage(std::string_view Text) {
  fmt::print(stderr, "wasabivale: {}\n", Text);
  return Exit::Usage;
}

std::string argument(const Invocation &Command, std::size_t Index) {
  return Index < Command.m_Arguments.size() ? Command.m_Arguments[Index]
                                            : std::string();
}

Exit reportUnreachable(const Error &Failure) {
  fmt::print(stderr, "{}\n", describe(Failure));
  return Exit::Unreachable;
}

Exit reportRefusal(const Response &Reply) {
  const Json &Body = Reply.m_Body;
  const Json Details = Body.is_object() && Body.contains("error")
                           ? Body["error"]
                           : Json{{"reason", Body.value("reason", "refused")},
                                  {"message", Body.value("message", "")}};
  fmt::print(stderr, "refused: {}: {}\n", Details.value("reason", ""),
             Details.value("message", ""));
  return Exit::Refused;
}

void printBody(const Invocation &Command, const Json &Body,
               const Printer &FormatBody) {
  if (Command.m_AsJson)
    fmt::print("{}\n", Body.dump());
  else
    fmt::print("{}", FormatBody(Body));
}

Exit fetchAndPrint(const Invocation &Command, const std::string &Path,
                   const Printer &FormatBody) {
  const auto Reply = get(Command.m_Client, Path);
  if (failed(Reply))
    return reportUnreachable(errorOf(Reply));
  if (!valueOf(Reply).isAccepted())
    return reportRefusal(valueOf(Reply));
  printBody(Command, valueOf(Reply).m_Body, FormatBody);
  return Exit::Ok;
}

/// Prints the request id before sending the call, so that the result can be
/// fetched again if the response is lost.
Result<Response> sendCall(const Invocation &Command, const std::string &Kind,
                          const Json &Body, std::uint64_t Revision,
                          const std::string &RequestId) {
  fmt::print(stderr, "request id {}\n", RequestId);
  return call(Command.m_Client, {{"request_id", RequestId},
                                 {"kind", Kind},
                                 {"expected_revision", Revision},
                                 {"body", Body}});
}

std::string requestIdOrNew(const Invocation &Command) {
  return Command.m_RequestId.empty() ? randomIdentity() : Command.m_RequestId;
}

/// Polls a plan until it ends, and prints a progress line.
Exit waitForPlan(const Invocation &Command, const std::string &PlanId) {
  const TimePoint Deadline = BootClock::now() + Command.m_Timeout;
  while (BootClock::now() < Deadline) {
    ClientOptions Options = Command.m_Client;
    Options.m_Deadline = Deadline;
    const auto Reply = get(Options, "plans/" + PlanId);
    if (failed(Reply))
      return reportUnreachable(errorOf(Reply));
    if (!valueOf(Reply).isAccepted())
      return reportRefusal(valueOf(Reply));
    const Json &Plan = valueOf(Reply).m_Body;
    std::size_t Done = 0;
    for (const Json &Step : Plan["steps"])
      Done += Step.value("state", "") == "done" ? 1 : 0;
    const std::string State = Plan.value("state", "");
    fmt::print(stderr, "\r{} {} {}/{} steps ", PlanId, State, Done,
               Plan["steps"].size());
    if (State != "running" && State != "proposed") {
      fmt::print(stderr, "\n");
      printBody(Command, Plan, printPlan);
      return State == "done" ? Exit::Ok : Exit::Refused;
    }
    sleepFor(PollInterval);
  }
  fmt::print(stderr, "\n");
  return reportUnreachable(
      {"cli.wait", PlanId, "the plan did not end before the timeout"});
}

Exit confirmPlan(const Invocation &Command, const Json &Plan,
                 const std::string &RequestId) {
  const auto Reply = sendCall(
      Command, "confirm", {{"plan", Plan["plan"]}, {"digest", Plan["digest"]}},
      Plan["revision"].get<std::uint64_t>(), RequestId);
  if (failed(Reply))
    return reportUnreachable(errorOf(Reply));
  if (!valueOf(Reply).isAccepted())
    return reportRefusal(valueOf(Reply));
  if (Command.m_Wait)
    return waitForPlan(Command, Plan["plan"].get<std::string>());
  printBody(Command, valueOf(Reply).m_Body["result"], printPlan);
  return Exit::Ok;
}

/// Proposes an intent; with `--yes` also confirms the plan.
Exit proposeIntent(const Invocation &Command, Json Intent) {
  if (Command.m_AllowEmpty)
    Intent["allow_empty"] = true;
  const std::string Id = requestIdOrNew(Command);
  const auto Reply = sendCall(Command, "intent", Intent, 0, Id);
  if (failed(Reply))
    return reportUnreachable(errorOf(Reply));
  if (!valueOf(Reply).isAccepted())
    return reportRefusal(valueOf(Reply));
  const Json Plan = valueOf(Reply).m_Body["result"];
  if (Command.m_Yes)
    return confirmPlan(Command, Plan, Id + "-confirm");
  printBody(Command, Plan, printPlan);
  if (!Command.m_AsJson)
    fmt::print("nothing happens until: wasabivale confirm {} --revision {} "
               "--digest {}\n",
               Plan.value("plan", ""), Plan["revision"].dump(),
               Plan.value("digest", ""));
  return Exit::Ok;
}

Json targetArguments(const Invocation &Command, std::size_t First) {
  Json Targets = Json::array();
  for (std::size_t I = First; I < Command.m_Arguments.size(); ++I)
    Targets.push_back(Command.m_Arguments[I]);
  return Targets;
}

Exit intent(const Invocation &Command) {
  const std::string Kind = argument(Command, 1);
  Json Intent = {{"intent", Kind == "role" ? "shift_role" : Kind}};
  const Json Targets = targetArguments(Command, 2);
  if (!Targets.empty())
    Intent["targets"] = Targets;
  if (Kind == "serve" || Kind == "unload") {
    if (Command.m_Model.empty())
      return reportUsage("--model is missing");
    Intent["model"] = Command.m_Model;
    if (!Command.m_Replace.empty())
      Intent["replace"] = Command.m_Replace;
    if (Command.m_Count)
      Intent["count"] = *Command.m_Count;
    return proposeIntent(Command, Intent);
  }
  if (Kind == "role" && Command.m_Role.empty())
    return reportUsage("--role is missing");
  if (Kind == "role")
    Intent["role"] = Command.m_Role;
  const bool IsKnown = Kind == "role" || Kind == "drain" ||
                       Kind == "withdraw" || Kind == "return";
  if (!IsKnown)
    return reportUsage(
        "intent serve | unload | drain | withdraw | return | role | "
        "policy FILE | member ID DISK");
  if (Targets.empty())
    return reportUsage("a target is missing");
  return proposeIntent(Command, Intent);
}

std::optional<Json> readJson(const std::string &File) {
  std::ifstream Input(File);
  std::ostringstream Text;
  Text << Input.rdbuf();
  Json Document = Json::parse(Text.str(), nullptr, false);
  return Document.is_object() ? std::optional(Document) : std::nullopt;
}

Exit intentOrPolicy(const Invocation &Command) {
  if (argument(Command, 1) == "member")
    return proposeIntent(Command, {{"intent", "replace_member"},
                                   {"member", argument(Command, 2)},
                                   {"incarnation", argument(Command, 3)}});
  if (argument(Command, 1) != "policy")
    return intent(Command);
  const std::optional<Json> Document = readJson(argument(Command, 2));
  if (!Document)
    return reportUsage("the file does not contain a JSON object");
  Json Intent = *Document;
  Intent["intent"] = "role_policy";
  return proposeIntent(Command, Intent);
}

Exit plan(const Invocation &Command) {
  if (argument(Command, 1) == "list")
    return fetchAndPrint(Command, "plans", [](const Json &Body) {
      return printPlans(Body["plans"]);
    });
  if (argument(Command, 1) != "show" || argument(Command, 2).empty())
    return reportUsage("plan show ID | plan list");
  if (Command.m_Wait)
    return waitForPlan(Command, argument(Command, 2));
  return fetchAndPrint(Command, "plans/" + argument(Command, 2), printPlan);
}

Exit confirm(const Invocation &Command) {
  if (argument(Command, 1).empty() || !Command.m_Revision ||
      Command.m_Digest.empty())
    return reportUsage("confirm PLAN --revision N --digest D");
  return confirmPlan(Command,
                     {{"plan", argument(Command, 1)},
                      {"revision", *Command.m_Revision},
                      {"digest", Command.m_Digest}},
                     requestIdOrNew(Command));
}

Exit callAndPrint(const Invocation &Command, const std::string &Kind,
                  const Json &Body, std::uint64_t Revision,
                  const Printer &FormatBody) {
  const auto Reply =
      sendCall(Command, Kind, Body, Revision, requestIdOrNew(Command));
  if (failed(Reply))
    return reportUnreachable(errorOf(Reply));
  if (!valueOf(Reply).isAccepted())
    return reportRefusal(valueOf(Reply));
  printBody(Command, valueOf(Reply).m_Body["result"], FormatBody);
  return Exit::Ok;
}

std::string printJsonLine(const Json &Body) { return Body.dump() + '\n'; }

Exit cancel(const Invocation &Command) {
  if (argument(Command, 1).empty())
    return reportUsage("cancel PLAN");
  const Exit Code = callAndPrint(
      Command, "cancel", {{"plan", argument(Command, 1)}}, 0, printPlan);
  if (Code == Exit::Ok && Command.m_Wait)
    (void)waitForPlan(Command,
                      argument(Command, 1)); // Ends as cancelled, as requested.
  return Code;
}

Exit drain(const Invocation &Command) {
  const Json Targets = targetArguments(Command, 1);
  if (Targets.empty())
    return reportUsage("drain TARGET...");
  return proposeIntent(Command, {{"intent", "drain"}, {"targets", Targets}});
}

/// Waits until every entry that may serve requests has applied a revision.
Exit waitForRevision(const Invocation &Command, std::uint64_t Revision) {
  const TimePoint Deadline = BootClock::now() + Command.m_Timeout;
  while (BootClock::now() < Deadline) {
    const auto Reply = get(Command.m_Client, "config");
    if (failed(Reply))
      return reportUnreachable(errorOf(Reply));
    const Json &Configuration = valueOf(Reply).m_Body;
    const auto InForce = Configuration.value("in_force", std::uint64_t{0});
    fmt::print(stderr, "\rrevision {} in force, {} wanted ", InForce, Revision);
    if (InForce >= Revision && Configuration.value("complete", false)) {
      fmt::print(stderr, "\n");
      return Exit::Ok;
    }
    sleepFor(PollInterval);
  }
  fmt::print(stderr, "\n");
  return reportUnreachable(
      {"cli.wait", "", "the revision was not in force before the timeout"});
}

Exit setConfiguration(const Invocation &Command) {
  const std::optional<Json> Document = readJson(argument(Command, 2));
  if (!Document)
    return reportUsage("the file does not contain a JSON object");
  if (!Command.m_Revision)
    return reportUsage(
        "config set FILE --revision N, the revision it replaces");
  const Exit Code = callAndPrint(Command, "config", *Document,
                                 *Command.m_Revision, printJsonLine);
  if (Code != Exit::Ok || !Command.m_Wait)
    return Code;
  return waitForRevision(Command, *Command.m_Revision + 1);
}

Exit config(const Invocation &Command) {
  const std::string Action = argument(Command, 1);
  if (Action == "get")
    return fetchAndPrint(Command, "config", [](const Json &Body) {
      return fmt::format("accepted {}  in force {}\n{}\n",
                         Body["accepted"].dump(), Body["in_force"].dump(),
                         Body["document"].dump(2));
    });
  if (Action == "history")
    return fetchAndPrint(Command, "config/history", printHistory);
  if (Action == "set")
    return setConfiguration(Command);
  if (Action == "wait" && Command.m_Revision)
    return waitForRevision(Command, *Command.m_Revision);
  return reportUsage("config get | set FILE --revision N | history | wait "
                     "--revision N");
}

Exit control(const Invocation &Command) {
  const std::string Action = argument(Command, 1);
  if (Action == "members")
    return fetchAndPrint(Command, "members", printMembers);
  const bool IsChange = Action == "add" || Action == "remove";
  if (!IsChange || argument(Command, 2).empty())
    return reportUsage("control members | add ID | remove ID");
  return callAndPrint(Command, "member",
                      {{"action", Action}, {"member", argument(Command, 2)}}, 0,
                      printJsonLine);
}

Exit ledger(const Invocation &Command) {
  if (argument(Command, 1) == "show")
    return fetchAndPrint(Command, "ledger", [](const Json &Body) {
      return formatTable(Body["unknown"],
                         {{"CALLER", "/caller"}, {"KEY", "/key"}});
    });
  if (argument(Command, 1) != "resolve" || Command.m_Arguments.size() != 5)
    return reportUsage(
        "ledger show | ledger resolve CALLER KEY completed|released");
  return callAndPrint(Command, "resolve",
                      {{"caller", argument(Command, 2)},
                       {"key", argument(Command, 3)},
                       {"outcome", argument(Command, 4)}},
                      0, printJsonLine);
}

Exit keygen(const Invocation & /*Command*/) {
  const auto Keys = wire::generateKeys();
  if (failed(Keys)) {
    fmt::print(stderr, "{}\n", describe(errorOf(Keys)));
    return Exit::Refused;
  }
  fmt::print("{}\n", Json{{"public", valueOf(Keys).m_Public},
                          {"secret", valueOf(Keys).m_Secret}}
                         .dump());
  return Exit::Ok;
}

Exit showStatus(const Invocation &Command) {
  return fetchAndPrint(Command, "status", printStatus);
}

Exit showTargets(const Invocation &Command) {
  return fetchAndPrint(Command, "targets", [](const Json &Body) {
    return printTargets(Body["targets"]);
  });
}

Exit showEntries(const Invocation &Command) {
  return fetchAndPrint(Command, "entries", [](const Json &Body) {
    return printEntries(Body["entries"]);
  });
}

Exit showRoutes(const Invocation &Command) {
  return fetchAndPrint(Command, "routes", printRoutes);
}

Exit showOrders(const Invocation &Command) {
  return fetchAndPrint(Command, "orders", [](const Json &Body) {
    return printOrders(Body["orders"]);
  });
}

Exit showRoles(const Invocation &Command) {
  return fetchAndPrint(Command, "roles",
                       [](const Json &Body) { return Body.dump(2) + '\n'; });
}

const std::map<std::string, Exit (*)(const Invocation &)> &commands() {
  static const std::map<std::string, Exit (*)(const Invocation &)> Handlers = {
      {"status", showStatus},   {"targets", showTargets},
      {"orders", showOrders},   {"intent", intentOrPolicy},
      {"plan", plan},           {"confirm", confirm},
      {"cancel", cancel},       {"drain", drain},
      {"config", config},       {"control", control},
      {"ledger", ledger},       {"roles", showRoles},
      {"entries", showEntries}, {"routes", showRoutes},
      {"keygen", keygen}};
  return Handlers;
}

} // namespace

std::string_view commandsHelp() {
  return R"(Commands:
  status | targets | orders        show the current state
  entries                          leases and applied revisions of the entries
  routes                           routes in force, and the entries that lag
  intent serve|unload [TARGET...] --model M [--replace M] [--count N]
  intent drain|withdraw|return TARGET...
  intent role TARGET... --role mixed|prefill|decode
  intent policy FILE               standing role policy
  intent member ID DISK            let a control member vote with its new disk
  plan show ID | plan list
  confirm PLAN --revision N --digest D
  cancel PLAN                      stop the plan at the next safe point
  drain TARGET... [--yes]          same as intent drain; --yes confirms it
  config get | history | set FILE --revision N | wait --revision N
  control members | add ID | remove ID
  ledger show | ledger resolve CALLER KEY completed|released
  roles explain                    the standing role policy and its effect
  keygen                           generate a key pair for a process

Exit codes: 0 done, 1 refused or failed, 2 usage, 3 no leader reached in time.
The request id of each call is printed before the call is sent. The same command
with --request-id ID returns a lost response and is not executed twice.
)";
}

Exit run(const Invocation &Command) {
  const auto Found = commands().find(argument(Command, 0));
  if (Found == commands().end())
    return reportUsage("unknown command " + argument(Command, 0));
  if (Command.m_Client.m_Servers.empty() && Found->first != "keygen")
    return reportUsage("--server is missing");
  return Found->second(Command);
}

} // namespace wasabivale::cli
