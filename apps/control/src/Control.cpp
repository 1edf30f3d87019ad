#include "Control.h"

#include "events/events.h"

namespace wasabivale::control {

using settings::Json;

namespace {

constexpr std::chrono::milliseconds EntryLease{2000};
const http::Headers JsonBody = {{"Content-Type", "application/json"}};

Json describeRefusal(Refusal Reason) {
  const RefusalInfo &Info = refusalInfo(Reason);
  return {{"error",
           {{"number", Info.m_Number},
            {"reason", Info.m_Name},
            {"message", Info.m_Text}}}};
}

} // namespace

Control::Control(const ControlSettings &Settings, metrics::Registry &Registry)
    : m_Settings(Settings), m_Registry(Registry) {}

Result<std::unique_ptr<Control>> Control::open(event_base *Loop,
                                               const ControlSettings &Settings,
                                               metrics::Registry &Registry) {
  std::unique_ptr<Control> Made(new Control(Settings, Registry));
  wire::HubOptions Options;
  Options.m_Self = Settings.m_Id;
  Options.m_Region = Settings.m_Region;
  Options.m_Zone = Settings.m_Zone;
  Options.m_Keys = Settings.m_Keys;
  Options.m_ListenAddress = Settings.m_Listen;
  Options.m_Peers = Settings.m_Entries;
  for (const MemberAddress &Member : Settings.m_Members)
    Options.m_Peers.push_back(
        {Member.m_Id, Member.m_PublicKey, Member.m_Address});
  auto Hub = wire::Hub::open(
      Loop, Options, Registry,
      [Self = Made.get()](const NodeId &From, const wire::Envelope &Message) {
        Self->take(From, Message);
      });
  if (failed(Hub))
    return errorOf(Hub);
  Made->m_Hub = std::move(valueOf(Hub));
  auto Operators = http::listen(
      Loop, Settings.m_OperatorsListen, http::ServerLimits{},
      [Self = Made.get()](const std::shared_ptr<http::Exchange> &Arrived) {
        Self->answerOperator(Arrived);
      });
  if (failed(Operators))
    return errorOf(Operators);
  Made->m_Operators = std::move(valueOf(Operators));
  return Made;
}

void Control::take(const NodeId &From, const wire::Envelope &Message) {
  switch (Message.body_case()) {
  case wire::Envelope::kEntryHello:
    takeHello(From, Message);
    break;
  case wire::Envelope::kEntryReport:
    takeReport(From, Message);
    break;
  case wire::Envelope::kCallRequest:
    takeCall(From, Message.call_request());
    break;
  default:
    break;
  }
}

void Control::takeHello(const NodeId &From, const wire::Envelope &Message) {
  EntryState &Entry = m_Entries[From];
  if (Entry.m_Session != Message.session())
    events::emit(events::Event::EntryJoined,
                 {{"entry", From}, {"zone", Message.zone()}});
  Entry.m_Session = Message.session();
  sendFleet(From);
}

void Control::takeReport(const NodeId &From, const wire::Envelope &Message) {
  EntryState &Entry = m_Entries[From];
  const wire::EntryReport &Report = Message.entry_report();
  Entry.m_Session = Message.session();
  Entry.m_FleetRevision = Report.fleet_revision();
  Entry.m_ConfigurationRevision = Report.configuration_revision();
  Entry.m_LeaseEnd = BootClock::now() + EntryLease;
  wire::Envelope Answer;
  wire::ControlGrant &Grant = *Answer.mutable_control_grant();
  Grant.set_renewal(Report.renewal());
  Grant.set_lease_ns(
      static_cast<std::uint64_t>(std::chrono::nanoseconds(EntryLease).count()));
  Grant.set_fleet_revision(m_FleetRevision);
  // A grant that is lost is made up for by the next report.
  (void)m_Hub->send(From, std::move(Answer));
}

void Control::takeCall(const NodeId &From, const wire::CallRequest &Call) {
  wire::Envelope Answer;
  wire::CallReply &Reply = *Answer.mutable_call_reply();
  Reply.set_request_id(Call.request_id());
  if (Call.command().has_announce_target()) {
    wire::Target Target = Call.command().announce_target().target();
    Target.set_state("serving");
    Target.set_generation(m_Targets[Target.id()].generation() + 1);
    m_Targets[Target.id()] = Target;
    ++m_FleetRevision;
    events::emit(events::Event::TargetRegistered,
                 {{"target", Target.id()}, {"address", Target.address()}});
    for (const auto &[Entry, State] : m_Entries)
      sendFleet(Entry);
  } else {
    Reply.set_refusal(static_cast<std::uint32_t>(Refusal::MalformedRequest));
  }
  (void)m_Hub->send(From, std::move(Answer));
}

void Control::sendFleet(const NodeId &To) {
  wire::Envelope Message;
  wire::FleetUpdate &Update = *Message.mutable_fleet_update();
  Update.set_revision(m_FleetRevision);
  for (const auto &[Name, Target] : m_Targets)
    *Update.add_targets() = Target;
  // An entry that missed it asks again when a grant names a newer revision.
  (void)m_Hub->send(To, std::move(Message));
}

bool Control::isOperator(const http::Request &From) const {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Given = http::header(From.m_Headers, "authorization");
  if (Given.substr(0, Scheme.size()) != Scheme)
    return false;
  const std::string Hash = digestHex(Given.substr(Scheme.size()));
  for (const Operator &Known : m_Settings.m_Operators)
    if (Known.m_TokenHash == Hash)
      return true;
  return false;
}

Json Control::describeTargets() const {
  Json Rows = Json::array();
  for (const auto &[Name, Target] : m_Targets) {
    Json Row = {{"id", Target.id()},
                {"kind", Target.kind()},
                {"address", Target.address()},
                {"zone", Target.zone()},
                {"state", Target.state()},
                {"role", Target.role()},
                {"generation", Target.generation()}};
    Row["models"] = Json::array();
    for (const std::string &Model : Target.models())
      Row["models"].push_back(Model);
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

void Control::answerOperator(const std::shared_ptr<http::Exchange> &Arrived) {
  const http::Request &Request = Arrived->request();
  if (!isOperator(Request)) {
    m_Registry.refusals(Refusal::OperatorNotAllowed).add();
    Arrived->reply(403, JsonBody,
                   describeRefusal(Refusal::OperatorNotAllowed).dump());
    return;
  }
  if (Request.m_Path == "/operator/v1/status") {
    const Json Answer = {{"leader", m_Settings.m_Id.m_Value},
                         {"fleet_revision", m_FleetRevision},
                         {"entries", m_Entries.size()},
                         {"targets", describeTargets()}};
    Arrived->reply(200, JsonBody, Answer.dump());
    return;
  }
  Arrived->reply(404, JsonBody, describeRefusal(Refusal::UnknownPath).dump());
}

} // namespace wasabivale::control
