#include "OperatorApi.h"

#include <fmt/format.h>

namespace wasabivale::control {

using settings::Json;

namespace {

constexpr std::string_view Root = "/operator/v1/";
constexpr std::size_t UnknownKeysShown = 1'000;
const http::Headers JsonBody = {{"Content-Type", "application/json"}};

Json describeReply(const wire::CallReply &Reply) {
  Json Out = {{"request_id", Reply.request_id()},
              {"refusal", Reply.refusal()},
              {"message", Reply.message()}};
  if (Reply.refusal() != 0)
    Out["reason"] = refusalInfo(static_cast<Refusal>(Reply.refusal())).m_Name;
  Out["result"] = Reply.result().empty()
                      ? Json::object()
                      : Json::parse(Reply.result(), nullptr, false);
  return Out;
}

} // namespace

std::string OperatorApi::operatorOf(const http::Request &From) const {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Given = http::header(From.m_Headers, "authorization");
  if (Given.substr(0, Scheme.size()) != Scheme)
    return {};
  const std::string Hash = digestHex(Given.substr(Scheme.size()));
  for (const Operator &Known : m_Control.m_Settings.m_Operators)
    if (Known.m_TokenHash == Hash)
      return Known.m_Name;
  return {};
}

void OperatorApi::refuse(const Exchange &Arrived, Refusal Reason,
                         const std::string &Message) {
  const RefusalInfo &Info = refusalInfo(Reason);
  m_Control.m_Registry.refusals(Reason).add();
  const Json Body = {
      {"error",
       {{"number", Info.m_Number},
        {"reason", Info.m_Name},
        {"message", Message.empty() ? std::string(Info.m_Text) : Message}}}};
  Arrived->reply(Info.m_HttpStatus, JsonBody, Body.dump());
}

void OperatorApi::redirect(const Exchange &Arrived) {
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
  Arrived->reply(Info.m_HttpStatus, JsonBody, Body.dump());
}

void OperatorApi::answer(const Exchange &Arrived) {
  const http::Request &Request = Arrived->request();
  const std::string Actor = operatorOf(Request);
  if (Actor.empty())
    return refuse(Arrived, Refusal::OperatorNotAllowed);
  if (!Request.m_Path.starts_with(Root))
    return refuse(Arrived, Refusal::UnknownPath);
  if (!m_Control.leads())
    return redirect(Arrived);
  if (Request.m_Method == "GET")
    return get(Arrived);
  if (Request.m_Method == "POST" && Request.m_Path == "/operator/v1/call")
    return call(Arrived, Actor);
  refuse(Arrived, Refusal::UnknownPath);
}

void OperatorApi::get(const Exchange &Arrived) {
  const std::string Path = Arrived->request().m_Path.substr(Root.size());
  const auto Send = [&](const Json &Body) {
    Arrived->reply(200, JsonBody, Body.dump());
  };
  constexpr std::string_view OnePlan = "plans/";
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
  if (Path.starts_with(OnePlan)) {
    const fleet::Plans &Plans = m_Control.m_State.m_Fleet.m_Plans;
    const auto Found = Plans.m_ById.find({Path.substr(OnePlan.size())});
    return Found == Plans.m_ById.end() ? refuse(Arrived, Refusal::UnknownPlan)
                                       : Send(toJson(Found->second));
  }
  refuse(Arrived, Refusal::UnknownPath);
}

void OperatorApi::call(const Exchange &Arrived, const std::string &Actor) {
  const Json Ask = Json::parse(Arrived->request().m_Body, nullptr, false);
  if (!Ask.is_object())
    return refuse(Arrived, Refusal::InvalidJson);
  const auto Text = [&](const char *Name) {
    const auto Found = Ask.find(Name);
    return Found != Ask.end() && Found->is_string() ? Found->get<std::string>()
                                                    : std::string();
  };
  const auto Revision = Ask.find("expected_revision");
  wire::Command What;
  What.set_request_id(Text("request_id"));
  What.set_actor(Actor);
  wire::OperatorCommand &Said = *What.mutable_operator_command();
  Said.set_kind(Text("kind"));
  if (Revision != Ask.end() && Revision->is_number_unsigned())
    Said.set_expected_revision(Revision->get<std::uint64_t>());
  Said.set_body(Ask.contains("body") ? Ask["body"].dump() : "{}");
  if (What.request_id().empty())
    return refuse(Arrived, Refusal::InvalidField, "request_id is needed");
  if (Said.kind() == "member")
    return changeMember(Arrived, Ask.value("body", Json::object()));
  if (const auto Refused = fleet::precheck(What))
    return refuse(Arrived, *Refused->m_Refusal, Refused->m_Message);
  m_Control.propose(
      std::move(What), [Arrived, Registry = &m_Control.m_Registry](
                           const wire::CallReply &Reply) {
        int Status = 200;
        if (Reply.refusal() != 0) {
          const auto Reason = static_cast<Refusal>(Reply.refusal());
          Registry->refusals(Reason).add();
          Status = refusalInfo(Reason).m_HttpStatus;
        }
        Arrived->reply(Status, JsonBody, describeReply(Reply).dump());
      });
}

/// Membership changes are idempotent by themselves: each names the wanted
/// membership of one member.
void OperatorApi::changeMember(const Exchange &Arrived, const Json &Ask) {
  const auto Text = [&](const char *Name) {
    const auto Found = Ask.find(Name);
    return Found != Ask.end() && Found->is_string() ? Found->get<std::string>()
                                                    : std::string();
  };
  const NodeId Name{Text("member")};
  const replication::ReplicaStatus Known = m_Control.m_Replica->status();
  consensus::MembershipChange Change = consensus::RemoveMember{Name};
  if (Text("action") == "add") {
    const auto Newcomer = Known.m_Newcomers.find(Name);
    if (Newcomer == Known.m_Newcomers.end())
      return refuse(Arrived, Refusal::InvalidField,
                    "this member has not asked to take part");
    consensus::Member New;
    New.m_Id = Name;
    New.m_Incarnation = Newcomer->second;
    Change = consensus::AddLearner{New};
  } else if (Text("action") != "remove") {
    return refuse(Arrived, Refusal::InvalidField, "action: add or remove");
  }
  m_Control.m_Replica->proposeMembershipChange(
      Change, [Arrived](const consensus::Decision &Decided) {
        const bool Done = Decided.m_Verdict == consensus::Verdict::Committed;
        const RefusalInfo &Info = refusalInfo(
            Decided.m_Verdict == consensus::Verdict::ChangeNotAllowed
                ? Refusal::PlanNotPossible
                : Refusal::NoQuorum);
        const Json Body = {
            {"refusal", Done ? 0 : Info.m_Number},
            {"message", consensus::verdictName(Decided.m_Verdict)},
            {"result", Json::object()}};
        Arrived->reply(Done ? 200 : Info.m_HttpStatus, JsonBody, Body.dump());
      });
}

Json OperatorApi::status() const {
  const TimePoint Now = BootClock::now();
  const fleet::State &Fleet = m_Control.m_State.m_Fleet;
  const fleet::AppliedConfiguration Force =
      fleet::appliedConfiguration(m_Control.m_Heard, Fleet, Now);
  return {{"leader", m_Control.m_Settings.m_Id.m_Value},
          {"term", m_Control.m_Replica->term()},
          {"fleet_revision", Fleet.m_Targets.m_Revision},
          {"intent_revision", Fleet.m_Plans.m_Revision},
          {"configuration",
           {{"accepted", Fleet.m_Configuration.m_Revision},
            {"in_force", Force.m_Revision},
            {"complete", Force.m_Complete}}},
          {"orders_under_way", Fleet.m_Orders.m_UnderWay.size()},
          {"entries", m_Control.m_Heard.m_Entries.size()},
          {"ledger",
           {{"keys", m_Control.m_State.m_Ledger.m_Keys},
            {"bytes", m_Control.m_State.m_Ledger.m_Bytes}}},
          {"targets", targets()}};
}

Json OperatorApi::targets() const {
  Json Rows = Json::array();
  for (const auto &[Name, Each] : m_Control.m_State.m_Fleet.m_Targets.m_ById)
    Rows.push_back(toJson(Each));
  return Rows;
}

Json OperatorApi::orders() const {
  const fleet::Orders &In = m_Control.m_State.m_Fleet.m_Orders;
  Json Rows = Json::array();
  for (const fleet::OrderId &Each : In.m_Ended)
    Rows.push_back(toJson(In.m_ById.at(Each)));
  for (const auto &[Name, Each] : In.m_UnderWay)
    Rows.push_back(toJson(In.m_ById.at(Each)));
  return Rows;
}

Json OperatorApi::plans() const {
  const fleet::Plans &In = m_Control.m_State.m_Fleet.m_Plans;
  Json Rows = Json::array();
  for (const fleet::PlanId &Each : In.m_InOrder)
    Rows.push_back(toJson(In.m_ById.at(Each)));
  return Rows;
}

Json OperatorApi::configuration() const {
  const fleet::State &Fleet = m_Control.m_State.m_Fleet;
  const fleet::AppliedConfiguration Force =
      fleet::appliedConfiguration(m_Control.m_Heard, Fleet, BootClock::now());
  Json Out = toJson(Fleet.m_Configuration);
  Out["in_force"] = Force.m_Revision;
  Out["complete"] = Force.m_Complete;
  Out["lagging"] = Json::array();
  for (const NodeId &Each : Force.m_Lagging)
    Out["lagging"].push_back(Each.m_Value);
  Out["document"] = Json::parse(fleet::currentDocument(Fleet.m_Configuration),
                                nullptr, false);
  return Out;
}

Json OperatorApi::members() const {
  const replication::ReplicaStatus Known = m_Control.m_Replica->status();
  Json Rows = Json::array();
  for (const replication::MemberStatus &Each : Known.m_Members)
    Rows.push_back({{"id", Each.m_Member.m_Id.m_Value},
                    {"incarnation", Each.m_Member.m_Incarnation},
                    {"voter", Each.m_Member.m_Voter},
                    {"match", Each.m_Match},
                    {"lost_data", Each.m_LostData},
                    {"other_incarnation", Each.m_OtherIncarnation}});
  Json Newcomers = Json::object();
  for (const auto &[Name, Incarnation] : Known.m_Newcomers)
    Newcomers[Name.m_Value] = Incarnation;
  return {{"leader", Known.m_Leader.m_Value},
          {"term", Known.m_Term},
          {"last_index", Known.m_LastIndex},
          {"commit_index", Known.m_CommitIndex},
          {"members", Rows},
          {"newcomers", Newcomers}};
}

Json OperatorApi::entries() const {
  const TimePoint Now = BootClock::now();
  Json Rows = Json::array();
  for (const auto &[Name, Each] : m_Control.m_Heard.m_Entries) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Each.m_LeaseUntil - Now);
    Json Closed = Json::array();
    for (const auto &[Target, Told] : Each.m_Barriers)
      Closed.push_back(fmt::format("{}:{}", Target.m_Value, Told.m_InFlight));
    Rows.push_back({{"id", Name.m_Value},
                    {"session", Each.m_Session},
                    {"lease_left_ms", Left.count()},
                    {"fleet_revision", Each.m_FleetRevision},
                    {"configuration_revision", Each.m_ConfigurationRevision},
                    {"routes_version", Each.m_RoutesVersion},
                    {"closed", Closed}});
  }
  return Rows;
}

Json OperatorApi::routes() const {
  Json Out = toJson(m_Control.m_State.m_Fleet.m_Routes);
  Out["lagging"] = Json::array();
  for (const auto &[Name, Each] : m_Control.m_Heard.m_Entries)
    if (Each.m_RoutesVersion <
        m_Control.m_State.m_Fleet.m_Routes.m_Table.version())
      Out["lagging"].push_back(Name.m_Value);
  return Out;
}

Json OperatorApi::ledgerKeys() const {
  Json Rows = Json::array();
  for (const ledger::Key &Each :
       ledger::unknownKeys(m_Control.m_State.m_Ledger, UnknownKeysShown))
    Rows.push_back({{"caller", Each.m_Caller.m_Value}, {"key", Each.m_Key}});
  return Rows;
}

} // namespace wasabivale::control
