#include "OperatorApi.h"

#include <fmt/format.h>

namespace wasabivale::control {

using settings::Json;

namespace {

constexpr std::string_view Root = "/operator/v1/";
constexpr std::size_t MaxUnknownKeys = 1'000;
const http::Headers JsonBody = {{"Content-Type", "application/json"}};

Json describeReply(const wire::CallReply &Reply) {
  Json Result = {{"request_id", Reply.request_id()},
                 {"refusal", Reply.refusal()},
                 {"message", Reply.message()}};
  if (Reply.refusal() != 0)
    Result["reason"] =
        refusalInfo(static_cast<Refusal>(Reply.refusal())).m_Name;
  Result["result"] = Reply.result().empty()
                         ? Json::object()
                         : Json::parse(Reply.result(), nullptr, false);
  return Result;
}

} // namespace

std::string OperatorApi::operatorOf(const http::Request &Request) const {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Header =
      http::header(Request.m_Headers, "authorization");
  if (Header.substr(0, Scheme.size()) != Scheme)
    return {};
  const std::string Hash = digestHex(Header.substr(Scheme.size()));
  for (const Operator &Known : m_Control.m_Settings.m_Operators)
    if (Known.m_TokenHash == Hash)
      return Known.m_Name;
  return {};
}

void OperatorApi::refuse(const Exchange &Call, Refusal Reason,
                         const std::string &Message) {
  const RefusalInfo &Info = refusalInfo(Reason);
  m_Control.m_Registry.refusals(Reason).add();
  const Json Body = {
      {"error",
       {{"number", Info.m_Number},
        {"reason", Info.m_Name},
        {"message", Message.empty() ? std::string(Info.m_Text) : Message}}}};
  Call->reply(Info.m_HttpStatus, JsonBody, Body.dump());
}

void OperatorApi::redirect(const Exchange &Call) {
  const NodeId Leader = m_Control.m_Replica->leader();
  m_Control.m_Registry.refusals(Refusal::NotLeader).add();
  std::string Address;
  for (const MemberAddress &Member : m_Control.m_Settings.m_Members)
    if (Member.m_Id == Leader && Leader != m_Control.m_Settings.m_Id)
      Address = Member.m_OperatorsAddress;
  const RefusalInfo &Info = refusalInfo(Refusal::NotLeader);
  const Json Body = {{"leader", Address},
                     {"error",
                      {{"number", Info.m_Number},
                       {"reason", Info.m_Name},
                       {"message", Info.m_Text}}}};
  Call->reply(Info.m_HttpStatus, JsonBody, Body.dump());
}

void OperatorApi::answer(const Exchange &Call) {
  const http::Request &Request = Call->request();
  const std::string Actor = operatorOf(Request);
  if (Actor.empty())
    return refuse(Call, Refusal::OperatorNotAllowed);
  if (!Request.m_Path.starts_with(Root))
    return refuse(Call, Refusal::UnknownPath);
  if (!m_Control.holdsLeaderLease())
    return redirect(Call);
  if (Request.m_Method == "GET")
    return get(Call);
  if (Request.m_Method == "POST" && Request.m_Path == "/operator/v1/call")
    return call(Call, Actor);
  refuse(Call, Refusal::UnknownPath);
}

void OperatorApi::get(const Exchange &Call) {
  const std::string Path = Call->request().m_Path.substr(Root.size());
  const auto Send = [&](const Json &Body) {
    Call->reply(200, JsonBody, Body.dump());
  };
  constexpr std::string_view PlanPrefix = "plans/";
  if (Path == "status")
    return Send(status());
  if (Path == "targets")
    return Send({{"targets", targets()}});
  if (Path == "orders")
    return Send({{"orders", orders()}});
  if (Path == "plans")
    return Send({{"plans", plans()}});
  if (Path == "config" || Path == "config/history")
    return Send(configuration());
  if (Path == "members")
    return Send(members());
  if (Path == "entries")
    return Send({{"entries", entries()}});
  if (Path == "routes")
    return Send(routes());
  if (Path == "roles")
    return Send(explain(m_Control.m_Roles, m_Control.m_State.m_Fleet));
  if (Path == "ledger")
    return Send({{"unknown", ledgerKeys()}});
  if (Path.starts_with(PlanPrefix)) {
    const fleet::Plans &Plans = m_Control.m_State.m_Fleet.m_Plans;
    const auto Found = Plans.m_ById.find({Path.substr(PlanPrefix.size())});
    return Found == Plans.m_ById.end() ? refuse(Call, Refusal::UnknownPlan)
                                       : Send(toJson(Found->second));
  }
  refuse(Call, Refusal::UnknownPath);
}

void OperatorApi::call(const Exchange &Call, const std::string &Actor) {
  const Json Request = Json::parse(Call->request().m_Body, nullptr, false);
  if (!Request.is_object())
    return refuse(Call, Refusal::InvalidJson);
  const auto Text = [&](const char *Name) {
    const auto Found = Request.find(Name);
    return Found != Request.end() && Found->is_string()
               ? Found->get<std::string>()
               : std::string();
  };
  const auto Revision = Request.find("expected_revision");
  wire::Command Command;
  Command.set_request_id(Text("request_id"));
  Command.set_actor(Actor);
  wire::OperatorCommand &OperatorCommand = *Command.mutable_operator_command();
  OperatorCommand.set_kind(Text("kind"));
  if (Revision != Request.end() && Revision->is_number_unsigned())
    OperatorCommand.set_expected_revision(Revision->get<std::uint64_t>());
  OperatorCommand.set_body(Request.contains("body") ? Request["body"].dump()
                                                    : "{}");
  if (Command.request_id().empty())
    return refuse(Call, Refusal::InvalidField, "request_id is needed");
  if (OperatorCommand.kind() == "member")
    return changeMember(Call, Request.value("body", Json::object()));
  if (const auto Refused = fleet::precheck(Command))
    return refuse(Call, *Refused->m_Refusal, Refused->m_Message);
  m_Control.propose(
      std::move(Command),
      [Call, Registry = &m_Control.m_Registry](const wire::CallReply &Reply) {
        int Status = 200;
        if (Reply.refusal() != 0) {
          const auto Reason = static_cast<Refusal>(Reply.refusal());
          Registry->refusals(Reason).add();
          Status = refusalInfo(Reason).m_HttpStatus;
        }
        Call->reply(Status, JsonBody, describeReply(Reply).dump());
      });
}

/// Membership changes are idempotent: each names the desired membership of one
/// member.
void OperatorApi::changeMember(const Exchange &Call, const Json &Request) {
  const auto Text = [&](const char *Name) {
    const auto Found = Request.find(Name);
    return Found != Request.end() && Found->is_string()
               ? Found->get<std::string>()
               : std::string();
  };
  const NodeId Name{Text("member")};
  const replication::ReplicaStatus Known = m_Control.m_Replica->status();
  consensus::MembershipChange Change = consensus::RemoveMember{Name};
  if (Text("action") == "add") {
    const auto Newcomer = Known.m_Newcomers.find(Name);
    if (Newcomer == Known.m_Newcomers.end())
      return refuse(Call, Refusal::InvalidField,
                    "this member has not asked to take part");
    consensus::Member New;
    New.m_Id = Name;
    New.m_Incarnation = Newcomer->second;
    Change = consensus::AddLearner{New};
  } else if (Text("action") != "remove") {
    return refuse(Call, Refusal::InvalidField, "action must be add or remove");
  }
  m_Control.m_Replica->proposeMembershipChange(
      Change, [Call](const consensus::Decision &Decided) {
        const bool Done = Decided.m_Verdict == consensus::Verdict::Committed;
        const RefusalInfo &Info = refusalInfo(
            Decided.m_Verdict == consensus::Verdict::ChangeNotAllowed
                ? Refusal::PlanNotPossible
                : Refusal::NoQuorum);
        const Json Body = {
            {"refusal", Done ? 0 : Info.m_Number},
            {"message", consensus::verdictName(Decided.m_Verdict)},
            {"result", Json::object()}};
        Call->reply(Done ? 200 : Info.m_HttpStatus, JsonBody, Body.dump());
      });
}

Json OperatorApi::status() const {
  const TimePoint Now = BootClock::now();
  const fleet::State &Fleet = m_Control.m_State.m_Fleet;
  const fleet::AppliedConfiguration Applied =
      fleet::appliedConfiguration(m_Control.m_Observed, Fleet, Now);
  return {{"leader", m_Control.m_Settings.m_Id.m_Value},
          {"term", m_Control.m_Replica->term()},
          {"fleet_revision", Fleet.m_Targets.m_Revision},
          {"intent_revision", Fleet.m_Plans.m_Revision},
          {"configuration",
           {{"accepted", Fleet.m_Configuration.m_Revision},
            {"in_force", Applied.m_Revision},
            {"complete", Applied.m_Complete}}},
          {"orders_under_way", Fleet.m_Orders.m_UnderWay.size()},
          {"entries", m_Control.m_Observed.m_Entries.size()},
          {"ledger",
           {{"keys", m_Control.m_State.m_Ledger.m_Keys},
            {"bytes", m_Control.m_State.m_Ledger.m_Bytes}}},
          {"targets", targets()}};
}

Json OperatorApi::targets() const {
  Json Rows = Json::array();
  for (const auto &[Name, Target] : m_Control.m_State.m_Fleet.m_Targets.m_ById)
    Rows.push_back(toJson(Target));
  return Rows;
}

Json OperatorApi::orders() const {
  const fleet::Orders &Orders = m_Control.m_State.m_Fleet.m_Orders;
  Json Rows = Json::array();
  for (const fleet::OrderId &Id : Orders.m_Ended)
    Rows.push_back(toJson(Orders.m_ById.at(Id)));
  for (const auto &[Name, Id] : Orders.m_UnderWay)
    Rows.push_back(toJson(Orders.m_ById.at(Id)));
  return Rows;
}

Json OperatorApi::plans() const {
  const fleet::Plans &Plans = m_Control.m_State.m_Fleet.m_Plans;
  Json Rows = Json::array();
  for (const fleet::PlanId &Id : Plans.m_InOrder)
    Rows.push_back(toJson(Plans.m_ById.at(Id)));
  return Rows;
}

Json OperatorApi::configuration() const {
  const fleet::State &Fleet = m_Control.m_State.m_Fleet;
  const fleet::AppliedConfiguration Applied = fleet::appliedConfiguration(
      m_Control.m_Observed, Fleet, BootClock::now());
  Json Result = toJson(Fleet.m_Configuration);
  Result["in_force"] = Applied.m_Revision;
  Result["complete"] = Applied.m_Complete;
  Result["lagging"] = Json::array();
  for (const NodeId &Entry : Applied.m_Lagging)
    Result["lagging"].push_back(Entry.m_Value);
  Result["document"] = Json::parse(
      fleet::currentDocument(Fleet.m_Configuration), nullptr, false);
  return Result;
}

Json OperatorApi::members() const {
  const replication::ReplicaStatus Known = m_Control.m_Replica->status();
  Json Rows = Json::array();
  for (const replication::MemberStatus &Member : Known.m_Members)
    Rows.push_back({{"id", Member.m_Member.m_Id.m_Value},
                    {"incarnation", Member.m_Member.m_Incarnation},
                    {"voter", Member.m_Member.m_Voter},
                    {"match", Member.m_Match},
                    {"lost_data", Member.m_LostData},
                    {"other_incarnation", Member.m_OtherIncarnation}});
  Json Newcomers = Json::object();
  for (const auto &[Name, Incarnation] : Known.m_Newcomers)
    Newcomers[Name.m_Value] = Incarnation;
  return {{"leader", Known.m_Leader.m_Value},
          {"term", Known.m_Term},
          {"last_index", Known.m_LastIndex},
          {"commit_index", Known.m_CommitIndex},
          {"group", replication::groupName(Known.m_Group)},
          {"members", Rows},
          {"newcomers", Newcomers}};
}

Json OperatorApi::entries() const {
  const TimePoint Now = BootClock::now();
  Json Rows = Json::array();
  for (const auto &[Name, Entry] : m_Control.m_Observed.m_Entries) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Entry.m_LeaseUntil - Now);
    Json Closed = Json::array();
    for (const auto &[Target, Barrier] : Entry.m_Barriers)
      Closed.push_back(
          fmt::format("{}:{}", Target.m_Value, Barrier.m_InFlight));
    Rows.push_back({{"id", Name.m_Value},
                    {"session", Entry.m_Session},
                    {"lease_left_ms", Left.count()},
                    {"fleet_revision", Entry.m_FleetRevision},
                    {"configuration_revision", Entry.m_ConfigurationRevision},
                    {"routes_version", Entry.m_RoutesVersion},
                    {"closed", Closed}});
  }
  return Rows;
}

Json OperatorApi::routes() const {
  Json Result = toJson(m_Control.m_State.m_Fleet.m_Routes);
  Result["lagging"] = Json::array();
  for (const auto &[Name, Entry] : m_Control.m_Observed.m_Entries)
    if (Entry.m_RoutesVersion <
        m_Control.m_State.m_Fleet.m_Routes.m_Table.version())
      Result["lagging"].push_back(Name.m_Value);
  return Result;
}

Json OperatorApi::ledgerKeys() const {
  Json Rows = Json::array();
  for (const ledger::Key &Key :
       ledger::unknownKeys(m_Control.m_State.m_Ledger, MaxUnknownKeys))
    Rows.push_back({{"caller", Key.m_Caller.m_Value}, {"key", Key.m_Key}});
  return Rows;
}

} // namespace wasabivale::control
