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

Exit usage(std::string_view Text) {
  fmt::print(stderr, "wasabivale: {}\n", Text);
  return Exit::Usage;
}

std::string word(const Invocation &Asked, std::size_t Index) {
  return Index < Asked.m_Words.size() ? Asked.m_Words[Index] : std::string();
}

Exit unreachable(const Error &Why) {
  fmt::print(stderr, "{}\n", describe(Why));
  return Exit::Unreachable;
}

Exit refused(const Answer &Told) {
  const Json &Body = Told.m_Body;
  const Json Error = Body.is_object() && Body.contains("error")
                         ? Body["error"]
                         : Json{{"reason", Body.value("reason", "refused")},
                                {"message", Body.value("message", "")}};
  fmt::print(stderr, "refused: {}: {}\n", Error.value("reason", ""),
             Error.value("message", ""));
  return Exit::Refused;
}

void show(const Invocation &Asked, const Json &Body, const Printer &AsTable) {
  if (Asked.m_AsJson)
    fmt::print("{}\n", Body.dump());
  else
    fmt::print("{}", AsTable(Body));
}

Exit showPath(const Invocation &Asked, const std::string &Path,
              const Printer &AsTable) {
  const auto Told = get(Asked.m_Client, Path);
  if (failed(Told))
    return unreachable(errorOf(Told));
  if (!valueOf(Told).isAccepted())
    return refused(valueOf(Told));
  show(Asked, valueOf(Told).m_Body, AsTable);
  return Exit::Ok;
}

/// Makes a call and prints its request id first, so that a lost answer can be
/// found again.
Result<Answer> callWith(const Invocation &Asked, const std::string &Kind,
                        const Json &Body, std::uint64_t Revision,
                        const std::string &RequestId) {
  fmt::print(stderr, "request id {}\n", RequestId);
  return call(Asked.m_Client, {{"request_id", RequestId},
                               {"kind", Kind},
                               {"expected_revision", Revision},
                               {"body", Body}});
}

std::string requestId(const Invocation &Asked) {
  return Asked.m_RequestId.empty() ? randomIdentity() : Asked.m_RequestId;
}

/// Follows a plan until it has ended, with a progress line.
Exit follow(const Invocation &Asked, const std::string &Plan) {
  const TimePoint End = BootClock::now() + Asked.m_Patience;
  while (BootClock::now() < End) {
    ClientOptions Through = Asked.m_Client;
    Through.m_Deadline = End;
    const auto Told = get(Through, "plans/" + Plan);
    if (failed(Told))
      return unreachable(errorOf(Told));
    if (!valueOf(Told).isAccepted())
      return refused(valueOf(Told));
    const Json &Now = valueOf(Told).m_Body;
    std::size_t Done = 0;
    for (const Json &Step : Now["steps"])
      Done += Step.value("state", "") == "done" ? 1 : 0;
    const std::string State = Now.value("state", "");
    fmt::print(stderr, "\r{} {} {}/{} steps ", Plan, State, Done,
               Now["steps"].size());
    if (State != "running" && State != "proposed") {
      fmt::print(stderr, "\n");
      show(Asked, Now, printPlan);
      return State == "done" ? Exit::Ok : Exit::Refused;
    }
    sleepFor(PollInterval);
  }
  fmt::print(stderr, "\n");
  return unreachable({"cli.wait", Plan, "it has not ended in time"});
}

Exit confirmPlan(const Invocation &Asked, const Json &Plan,
                 const std::string &RequestId) {
  const auto Told = callWith(
      Asked, "confirm", {{"plan", Plan["plan"]}, {"digest", Plan["digest"]}},
      Plan["revision"].get<std::uint64_t>(), RequestId);
  if (failed(Told))
    return unreachable(errorOf(Told));
  if (!valueOf(Told).isAccepted())
    return refused(valueOf(Told));
  if (Asked.m_Wait)
    return follow(Asked, Plan["plan"].get<std::string>());
  show(Asked, valueOf(Told).m_Body["result"], printPlan);
  return Exit::Ok;
}

/// Proposes an intent; with `--yes` the plan is confirmed at once.
Exit propose(const Invocation &Asked, Json Intent) {
  if (Asked.m_AllowEmpty)
    Intent["allow_empty"] = true;
  const std::string Id = requestId(Asked);
  const auto Told = callWith(Asked, "intent", Intent, 0, Id);
  if (failed(Told))
    return unreachable(errorOf(Told));
  if (!valueOf(Told).isAccepted())
    return refused(valueOf(Told));
  const Json Plan = valueOf(Told).m_Body["result"];
  if (Asked.m_Yes)
    return confirmPlan(Asked, Plan, Id + "-confirm");
  show(Asked, Plan, printPlan);
  if (!Asked.m_AsJson)
    fmt::print("nothing happens until: wasabivale confirm {} --revision {} "
               "--digest {}\n",
               Plan.value("plan", ""), Plan["revision"].dump(),
               Plan.value("digest", ""));
  return Exit::Ok;
}

Json targetsFrom(const Invocation &Asked, std::size_t First) {
  Json Out = Json::array();
  for (std::size_t I = First; I < Asked.m_Words.size(); ++I)
    Out.push_back(Asked.m_Words[I]);
  return Out;
}

Exit intent(const Invocation &Asked) {
  const std::string Kind = word(Asked, 1);
  Json Intent = {{"intent", Kind == "role" ? "shift_role" : Kind}};
  const Json Targets = targetsFrom(Asked, 2);
  if (!Targets.empty())
    Intent["targets"] = Targets;
  if (Kind == "serve" || Kind == "unload") {
    if (Asked.m_Model.empty())
      return usage("--model is missing");
    Intent["model"] = Asked.m_Model;
    if (!Asked.m_Replace.empty())
      Intent["replace"] = Asked.m_Replace;
    if (Asked.m_Count)
      Intent["count"] = *Asked.m_Count;
    return propose(Asked, Intent);
  }
  if (Kind == "role" && Asked.m_Role.empty())
    return usage("--role is missing");
  if (Kind == "role")
    Intent["role"] = Asked.m_Role;
  const bool Known = Kind == "role" || Kind == "drain" || Kind == "withdraw" ||
                     Kind == "return";
  if (!Known)
    return usage("intent serve | unload | drain | withdraw | return | role | "
                 "policy FILE | member ID DISK");
  if (Targets.empty())
    return usage("a target is missing");
  return propose(Asked, Intent);
}

std::optional<Json> readJson(const std::string &File) {
  std::ifstream Input(File);
  std::ostringstream Text;
  Text << Input.rdbuf();
  Json Document = Json::parse(Text.str(), nullptr, false);
  return Document.is_object() ? std::optional(Document) : std::nullopt;
}

Exit intentOrPolicy(const Invocation &Asked) {
  if (word(Asked, 1) == "member")
    return propose(Asked, {{"intent", "replace_member"},
                           {"member", word(Asked, 2)},
                           {"incarnation", word(Asked, 3)}});
  if (word(Asked, 1) != "policy")
    return intent(Asked);
  const std::optional<Json> Document = readJson(word(Asked, 2));
  if (!Document)
    return usage("the file does not hold a JSON object");
  Json Intent = *Document;
  Intent["intent"] = "role_policy";
  return propose(Asked, Intent);
}

Exit plan(const Invocation &Asked) {
  if (word(Asked, 1) == "list")
    return showPath(Asked, "plans",
                    [](const Json &Body) { return printPlans(Body["plans"]); });
  if (word(Asked, 1) != "show" || word(Asked, 2).empty())
    return usage("plan show ID | plan list");
  if (Asked.m_Wait)
    return follow(Asked, word(Asked, 2));
  return showPath(Asked, "plans/" + word(Asked, 2), printPlan);
}

Exit confirm(const Invocation &Asked) {
  if (word(Asked, 1).empty() || !Asked.m_Revision || Asked.m_Digest.empty())
    return usage("confirm PLAN --revision N --digest D");
  return confirmPlan(Asked,
                     {{"plan", word(Asked, 1)},
                      {"revision", *Asked.m_Revision},
                      {"digest", Asked.m_Digest}},
                     requestId(Asked));
}

Exit callAndShow(const Invocation &Asked, const std::string &Kind,
                 const Json &Body, std::uint64_t Revision,
                 const Printer &AsTable) {
  const auto Told = callWith(Asked, Kind, Body, Revision, requestId(Asked));
  if (failed(Told))
    return unreachable(errorOf(Told));
  if (!valueOf(Told).isAccepted())
    return refused(valueOf(Told));
  show(Asked, valueOf(Told).m_Body["result"], AsTable);
  return Exit::Ok;
}

std::string printLine(const Json &Body) { return Body.dump() + '\n'; }

Exit cancel(const Invocation &Asked) {
  if (word(Asked, 1).empty())
    return usage("cancel PLAN");
  const Exit Told =
      callAndShow(Asked, "cancel", {{"plan", word(Asked, 1)}}, 0, printPlan);
  if (Told == Exit::Ok && Asked.m_Wait)
    (void)follow(Asked, word(Asked, 1)); // Ends as cancelled, which is asked.
  return Told;
}

Exit drain(const Invocation &Asked) {
  const Json Targets = targetsFrom(Asked, 1);
  if (Targets.empty())
    return usage("drain TARGET...");
  return propose(Asked, {{"intent", "drain"}, {"targets", Targets}});
}

/// Waits until every entry that may serve has applied a revision.
Exit waitInForce(const Invocation &Asked, std::uint64_t Revision) {
  const TimePoint End = BootClock::now() + Asked.m_Patience;
  while (BootClock::now() < End) {
    const auto Told = get(Asked.m_Client, "config");
    if (failed(Told))
      return unreachable(errorOf(Told));
    const Json &Now = valueOf(Told).m_Body;
    const auto InForce = Now.value("in_force", std::uint64_t{0});
    fmt::print(stderr, "\rrevision {} in force, {} wanted ", InForce, Revision);
    if (InForce >= Revision && Now.value("complete", false)) {
      fmt::print(stderr, "\n");
      return Exit::Ok;
    }
    sleepFor(PollInterval);
  }
  fmt::print(stderr, "\n");
  return unreachable({"cli.wait", "", "it is not in force in time"});
}

Exit setConfiguration(const Invocation &Asked) {
  const std::optional<Json> Document = readJson(word(Asked, 2));
  if (!Document)
    return usage("the file does not hold a JSON object");
  if (!Asked.m_Revision)
    return usage("config set FILE --revision N, the revision it replaces");
  const Exit Told =
      callAndShow(Asked, "config", *Document, *Asked.m_Revision, printLine);
  if (Told != Exit::Ok || !Asked.m_Wait)
    return Told;
  return waitInForce(Asked, *Asked.m_Revision + 1);
}

Exit config(const Invocation &Asked) {
  const std::string Action = word(Asked, 1);
  if (Action == "get")
    return showPath(Asked, "config", [](const Json &Body) {
      return fmt::format("accepted {}  in force {}\n{}\n",
                         Body["accepted"].dump(), Body["in_force"].dump(),
                         Body["document"].dump(2));
    });
  if (Action == "history")
    return showPath(Asked, "config/history", printHistory);
  if (Action == "set")
    return setConfiguration(Asked);
  if (Action == "wait" && Asked.m_Revision)
    return waitInForce(Asked, *Asked.m_Revision);
  return usage("config get | set FILE --revision N | history | wait "
               "--revision N");
}

Exit control(const Invocation &Asked) {
  const std::string Action = word(Asked, 1);
  if (Action == "members")
    return showPath(Asked, "members", printMembers);
  const bool Known = Action == "add" || Action == "remove";
  if (!Known || word(Asked, 2).empty())
    return usage("control members | add ID | remove ID");
  return callAndShow(Asked, "member",
                     {{"action", Action}, {"member", word(Asked, 2)}}, 0,
                     printLine);
}

Exit ledger(const Invocation &Asked) {
  if (word(Asked, 1) == "show")
    return showPath(Asked, "ledger", [](const Json &Body) {
      return table(Body["unknown"], {{"CALLER", "/caller"}, {"KEY", "/key"}});
    });
  if (word(Asked, 1) != "resolve" || Asked.m_Words.size() != 5)
    return usage("ledger show | ledger resolve CALLER KEY completed|released");
  return callAndShow(Asked, "resolve",
                     {{"caller", word(Asked, 2)},
                      {"key", word(Asked, 3)},
                      {"outcome", word(Asked, 4)}},
                     0, printLine);
}

Exit keygen(const Invocation & /*Asked*/) {
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

Exit showStatus(const Invocation &Asked) {
  return showPath(Asked, "status", printStatus);
}

Exit showTargets(const Invocation &Asked) {
  return showPath(Asked, "targets", [](const Json &Body) {
    return printTargets(Body["targets"]);
  });
}

Exit showEntries(const Invocation &Asked) {
  return showPath(Asked, "entries", [](const Json &Body) {
    return printEntries(Body["entries"]);
  });
}

Exit showRoutes(const Invocation &Asked) {
  return showPath(Asked, "routes", printRoutes);
}

Exit showOrders(const Invocation &Asked) {
  return showPath(Asked, "orders",
                  [](const Json &Body) { return printOrders(Body["orders"]); });
}

Exit roles(const Invocation &Asked) {
  return showPath(Asked, "roles",
                  [](const Json &Body) { return Body.dump(2) + '\n'; });
}

const std::map<std::string, Exit (*)(const Invocation &)> &commands() {
  static const std::map<std::string, Exit (*)(const Invocation &)> Known = {
      {"status", showStatus},   {"targets", showTargets},
      {"orders", showOrders},   {"intent", intentOrPolicy},
      {"plan", plan},           {"confirm", confirm},
      {"cancel", cancel},       {"drain", drain},
      {"config", config},       {"control", control},
      {"ledger", ledger},       {"roles", roles},
      {"entries", showEntries}, {"routes", showRoutes},
      {"keygen", keygen}};
  return Known;
}

} // namespace

std::string_view commandsHelp() {
  return R"(Commands:
  status | targets | orders        what is now
  entries                          leases, and which state each has applied
  routes                           those in force, and who lags behind
  intent serve|unload [TARGET...] --model M [--replace M] [--count N]
  intent drain|withdraw|return TARGET...
  intent role TARGET... --role mixed|prefill|decode
  intent policy FILE               standing role policy
  intent member ID DISK            give a control member's new disk its vote
  plan show ID | plan list
  confirm PLAN --revision N --digest D
  cancel PLAN                      stops at the next safe point
  drain TARGET... [--yes]          intent drain, confirmed with --yes
  config get | history | set FILE --revision N | wait --revision N
  control members | add ID | remove ID
  ledger show | ledger resolve CALLER KEY completed|released
  roles explain                    the standing role policy and its use
  keygen                           a key pair for a process

Exit codes: 0 done, 1 refused or failed, 2 usage, 3 no leader reached in time.
The request id of each call is printed first; the same command with
--request-id ID finds a lost answer again and does nothing twice.
)";
}

Exit run(const Invocation &Asked) {
  const auto Found = commands().find(word(Asked, 0));
  if (Found == commands().end())
    return usage("unknown command " + word(Asked, 0));
  if (Asked.m_Client.m_Servers.empty() && Found->first != "keygen")
    return usage("--server is missing");
  return Found->second(Asked);
}

} // namespace wasabivale::cli
