#include "Control.h"

#include "OperatorApi.h"
#include "RegistryApi.h"
#include "events/events.h"

#include <algorithm>

namespace wasabivale::control {

using settings::Json;

namespace {

constexpr std::chrono::milliseconds TurnInterval{50};
/// Lease of an entry: how long it may serve without hearing from the leader.
constexpr std::chrono::milliseconds EntryLease{2000};
/// An entry's clock may run slower than this one by a hundredth.
constexpr std::chrono::milliseconds LongestEntryLease = EntryLease * 102 / 100;
/// Least rest of the leader's lease with which it may send an order.
constexpr std::chrono::milliseconds OrderMargin{150};
constexpr std::size_t RepliesKept = 65'536;
/// Pause between two membership changes, for the first to show.
constexpr std::chrono::milliseconds RepairInterval{200};

Refusal refusalOf(consensus::Verdict Verdict) {
  return Verdict == consensus::Verdict::NotLeader ? Refusal::NotLeader
                                                  : Refusal::NoQuorum;
}

} // namespace

Control::Control(event_base *Loop, const ControlSettings &Settings,
                 metrics::Registry &Registry, std::function<void()> OnFatal)
    : m_Loop(Loop), m_Settings(Settings), m_Registry(Registry),
      m_OnFatal(std::move(OnFatal)) {
  reload(Settings);
}

Result<std::unique_ptr<Control>> Control::open(event_base *Loop,
                                               const ControlSettings &Settings,
                                               metrics::Registry &Registry,
                                               std::function<void()> OnFatal) {
  std::unique_ptr<Control> Made(
      new Control(Loop, Settings, Registry, std::move(OnFatal)));
  Control *Self = Made.get();
  Authority Over;
  Over.m_MaySend = [Self] { return Self->maySendOrder(); };
  Over.m_LeaderSince = [Self] { return Self->m_LeaderSince; };
  Over.m_Propose = [Self](const std::string &Key, wire::Command What) {
    Self->proposeOnce(Key, std::move(What));
  };
  Made->m_Executor =
      std::make_unique<Executor>(Loop, Registry, std::move(Over));
  for (const auto Open : {&Control::openHub, &Control::openReplica,
                          &Control::openOperators, &Control::openRegistry})
    if (Status Opened = (Self->*Open)(); failed(Opened))
      return errorOf(Opened);
  Made->m_Timer = std::make_unique<http::Timer>(Loop, TurnInterval, true,
                                                [Self] { Self->turn(); });
  return Made;
}

Control::~Control() = default;

Status Control::openHub() {
  wire::HubOptions Options;
  Options.m_Self = m_Settings.m_Id;
  Options.m_Region = m_Settings.m_Region;
  Options.m_Zone = m_Settings.m_Zone;
  Options.m_Keys = m_Settings.m_Keys;
  Options.m_ListenAddress = m_Settings.m_Listen;
  Options.m_Peers = m_Settings.m_Entries;
  for (const MemberAddress &Member : m_Settings.m_Members)
    if (Member.m_Id != m_Settings.m_Id)
      Options.m_Peers.push_back(
          {Member.m_Id, Member.m_PublicKey, Member.m_Address});
  auto Hub = wire::Hub::open(
      m_Loop, Options, m_Registry,
      [this](const NodeId &From, const wire::Envelope &Message) {
        take(From, Message);
      });
  if (failed(Hub))
    return errorOf(Hub);
  m_Hub = std::move(valueOf(Hub));
  return std::monostate{};
}

Status Control::openReplica() {
  if (!m_Hub)
    return std::monostate{};
  replication::ReplicaOptions Options;
  Options.m_Folder = m_Settings.m_DataFolder;
  Options.m_Cluster = m_Settings.m_ClusterId;
  Options.m_Self = m_Settings.m_Id;
  for (const MemberAddress &Member : m_Settings.m_Members)
    Options.m_Listed.push_back(Member.m_Id);
  if (m_Settings.m_Discovery) {
    Options.m_MayForm = m_Settings.m_Discovery->m_MayForm;
    // Disks move between machines there, and their files get new numbers.
    Options.m_CopyGuard = store::CopyGuard::None;
  }
  replication::ReplicaCallbacks Callbacks;
  Callbacks.m_Apply = [this](consensus::Index Index,
                             const std::string &Payload) {
    wire::CallReply Reply = applyPayload(m_State, Payload);
    if (!m_Replica || !m_Replica->isLeader())
      return;
    m_Replies[Index] = std::move(Reply);
    if (m_Replies.size() > RepliesKept)
      m_Replies.erase(m_Replies.begin());
  };
  Callbacks.m_TakeSnapshot = [this] { return takeSnapshot(m_State); };
  Callbacks.m_Install = [this](const std::string &Bytes) -> Status {
    Result<Replicated> Read = fromSnapshot(Bytes);
    if (failed(Read))
      return errorOf(Read);
    m_State = std::move(valueOf(Read));
    return std::monostate{};
  };
  Callbacks.m_OnMembersFound = [this](const consensus::Membership &Told) {
    std::vector<NodeId> Members;
    for (const consensus::Member &Each : Told.m_Members)
      Members.push_back(Each.m_Id);
    if (Members == m_Found)
      return;
    m_Found = std::move(Members);
    events::emit(events::Event::MembersFound, {{"members", m_Found.size()}});
  };
  Callbacks.m_OnLeadershipGained = [this] { gainLeadership(); };
  Callbacks.m_OnLeadershipLost = [this] { loseLeadership(); };
  Callbacks.m_OnFailure = [this](const Error &Why) {
    events::emitError(events::Event::ControlFailed, Why);
    m_OnFatal();
  };
  auto Opened = replication::Replica::open(
      m_Loop, *m_Hub, m_Registry, std::move(Options), std::move(Callbacks));
  if (failed(Opened))
    return errorOf(Opened);
  m_Replica = std::move(valueOf(Opened));
  return std::monostate{};
}

Status Control::openRegistry() {
  if (!m_Settings.m_RegistryListen)
    return std::monostate{};
  m_Registrar = std::make_unique<RegistryApi>(*this);
  if (!m_Settings.m_ChangesRoles)
    return listenToRegistry();
  RoleOrders::Ties To;
  To.m_MaySend = [this] { return maySendOrder(); };
  To.m_Propose = [this](const std::string &Key, wire::Command What) {
    proposeOnce(Key, std::move(What));
  };
  To.m_Self = m_Settings.m_Id;
  m_RoleOrders =
      std::make_unique<RoleOrders>(m_Loop, m_Registry, std::move(To));
  return listenToRegistry();
}

Status Control::listenToRegistry() {
  auto Listening =
      http::listen(m_Loop, *m_Settings.m_RegistryListen, http::ServerLimits{},
                   [this](const std::shared_ptr<http::Exchange> &Arrived) {
                     m_Registrar->answer(Arrived);
                   });
  if (failed(Listening))
    return errorOf(Listening);
  m_RegistryServer = std::move(valueOf(Listening));
  return std::monostate{};
}

Status Control::openOperators() {
  if (m_Settings.m_OperatorsListen.m_Port == 0)
    return std::monostate{};
  auto Operators =
      http::listen(m_Loop, m_Settings.m_OperatorsListen, http::ServerLimits{},
                   [this](const std::shared_ptr<http::Exchange> &Arrived) {
                     OperatorApi(*this).answer(Arrived);
                   });
  if (failed(Operators))
    return errorOf(Operators);
  m_Operators = std::move(valueOf(Operators));
  return std::monostate{};
}

std::string Control::notReady() const {
  return m_Replica->leader().empty() ? "no leader is known" : "";
}

// --- The group ------------------------------------------------------------

std::vector<NodeId> Control::memberIds() const {
  std::vector<NodeId> Members;
  for (const replication::MemberStatus &Each : m_Replica->status().m_Members)
    Members.push_back(Each.m_Member.m_Id);
  return Members;
}

void Control::connectTo(const std::vector<NodeId> &Members) {
  for (const NodeId &Former : m_Reached)
    if (std::find(Members.begin(), Members.end(), Former) == Members.end())
      m_Hub->disconnect(Former);
  for (const NodeId &Each : Members) {
    const wire::Peer Peer{Each, "",
                          daemon::hubAddress(*m_Settings.m_Discovery, Each)};
    if (Status Done = m_Hub->connect(Peer); failed(Done))
      events::emitError(events::Event::ListenFailed, errorOf(Done));
  }
  m_Reached = Members;
}

void Control::reachMembers() {
  if (!m_Settings.m_Discovery)
    return;
  std::vector<NodeId> Wanted = memberIds();
  // One that is no member yet, or no longer, asks whom it knows of.
  const bool IsMember =
      std::find(Wanted.begin(), Wanted.end(), m_Settings.m_Id) != Wanted.end();
  if (!IsMember) {
    Wanted.insert(Wanted.end(), m_Found.begin(), m_Found.end());
    Wanted.insert(Wanted.end(), m_Seeds.begin(), m_Seeds.end());
  }
  std::sort(Wanted.begin(), Wanted.end());
  Wanted.erase(std::unique(Wanted.begin(), Wanted.end()), Wanted.end());
  if (Wanted != m_Reached)
    connectTo(Wanted);
}

void Control::repairGroup(TimePoint Now) {
  if (!m_Settings.m_Discovery || m_Repairing || Now < m_NextRepair)
    return;
  replication::ReplicaStatus Known = m_Replica->status();
  const replication::GroupState Facts{
      m_Settings.m_Id, std::move(Known.m_Members), std::move(Known.m_Newcomers),
      m_LeaderSince};
  replication::RepairSettings Rules;
  Rules.m_VoterCount = 2U * m_Settings.m_Discovery->m_Losses + 1U;
  const auto Next = replication::nextRepair(Facts, Rules, Now);
  if (!Next)
    return;
  m_Repairing = true;
  m_NextRepair = Now + RepairInterval;
  const std::string What = replication::describe(*Next);
  events::emit(events::Event::RepairStarted,
               {{"change", What},
                {"members", Facts.m_Members.size()},
                {"newcomers", Facts.m_Newcomers.size()},
                {"term", m_Replica->term()}});
  m_Replica->proposeMembershipChange(
      *Next, [this, What](const consensus::Decision &Decided) {
        m_Repairing = false;
        if (Decided.m_Verdict != consensus::Verdict::Committed)
          events::emit(
              events::Event::CommandRejected,
              {{"command", What},
               {"message", consensus::verdictName(Decided.m_Verdict)}});
      });
}

// --- Leadership -----------------------------------------------------------

bool Control::leads() const {
  return m_Replica->isLeader() && m_Replica->holdsLease();
}

bool Control::maySendOrder() const {
  return leads() && m_Replica->leaseEnd() - BootClock::now() > OrderMargin;
}

void Control::gainLeadership() {
  m_LeaderSince = BootClock::now();
  m_LogBase = newestLogTime(m_State);
  m_Replies.clear();
  m_Sent.clear();
  m_Work = {};
  m_Proposed.clear();
  fleet::startTerm(m_Heard, m_State.m_Fleet, m_LeaderSince, LongestEntryLease);
  startTerm(m_Roles, m_State.m_Fleet, m_LeaderSince);
  startTerm(m_Shares, m_LeaderSince, LongestEntryLease);
  startTerm(m_Notices, m_LeaderSince, LongestEntryLease);
  m_Repairing = false;
  if (m_RoleOrders)
    m_RoleOrders->startTerm(m_Replica->term(),
                            m_State.m_Fleet.m_Targets.m_HoldCount > 0,
                            m_LeaderSince);
  if (m_Registrar)
    m_Registrar->startTerm();
}

void Control::loseLeadership() {
  m_Executor->stop();
  m_Sent.clear();
  if (m_RoleOrders)
    m_RoleOrders->endTerm();
  if (m_Registrar)
    m_Registrar->endTerm();
}

void Control::propose(wire::Command What, OnReply Done) {
  What.set_term(m_Replica->term());
  What.set_log_time_ns(nanosecondsOf(logNow(BootClock::now())));
  m_Replica->propose(What.SerializeAsString(),
                     [this, Done = std::move(Done), Name = What.request_id()](
                         const consensus::Decision &Decided) {
                       wire::CallReply Reply;
                       const auto Found = m_Replies.find(Decided.m_Index);
                       if (Decided.m_Verdict == consensus::Verdict::Committed &&
                           Found != m_Replies.end()) {
                         Reply = std::move(Found->second);
                         m_Replies.erase(Found);
                       } else {
                         Reply.set_request_id(Name);
                         Reply.set_refusal(static_cast<std::uint32_t>(
                             refusalOf(Decided.m_Verdict)));
                         Reply.set_message(std::string(
                             consensus::verdictName(Decided.m_Verdict)));
                       }
                       Done(Reply);
                     });
}

void Control::proposeOnce(const std::string &Key, wire::Command What) {
  if (!m_Proposed.insert(Key).second)
    return;
  What.set_actor(m_Settings.m_Id.m_Value);
  propose(std::move(What), [this, Key](const wire::CallReply &Reply) {
    m_Proposed.erase(Key);
    if (Reply.refusal() != 0)
      events::emit(events::Event::CommandRejected,
                   {{"command", Key}, {"message", Reply.message()}});
  });
}

// --- Entries --------------------------------------------------------------

void Control::take(const NodeId &From, const wire::Envelope &Message) {
  if (Message.has_consensus()) {
    m_Replica->receive(From, Message.consensus());
    return;
  }
  if (!leads()) {
    redirect(From);
    return;
  }
  switch (Message.body_case()) {
  case wire::Envelope::kEntryHello:
    takeHello(From, Message);
    break;
  case wire::Envelope::kEntryReport:
    takeReport(From, Message);
    break;
  case wire::Envelope::kWorkNotice:
    takeWork(From, Message.work_notice());
    break;
  case wire::Envelope::kCallRequest:
    takeCall(From, Message.call_request());
    break;
  default:
    break;
  }
}

void Control::redirect(const NodeId &To) {
  wire::Envelope Message;
  const NodeId Leader = m_Replica->leader();
  Message.set_term(m_Replica->term());
  if (Leader != m_Settings.m_Id)
    Message.mutable_redirect()->set_leader(Leader.m_Value);
  else
    Message.mutable_redirect();
  for (const NodeId &Member : memberIds())
    Message.mutable_redirect()->add_members()->set_id(Member.m_Value);
  (void)m_Hub->send(To, std::move(Message)); // The entry asks again.
}

void Control::takeHello(const NodeId &From, const wire::Envelope &Message) {
  const bool New = m_Sent.count(From) == 0;
  if (New)
    events::emit(events::Event::EntryJoined,
                 {{"entry", From}, {"zone", Message.zone()}});
  Sent &Known = m_Sent[From];
  Known.m_FleetRevision = Message.entry_hello().fleet_revision();
  Known.m_ConfigurationRevision =
      Message.entry_hello().configuration_revision();
  Known.m_RoutesVersion = Message.entry_hello().routes_version();
  sendFleet(From, Known);
}

void Control::takeReport(const NodeId &From, const wire::Envelope &Message) {
  const TimePoint Now = BootClock::now();
  const TimePoint LeaseUntil = Now + LongestEntryLease;
  const TimePoint LogNow = fleet::suspicionTime(logNow(Now));
  const retries::SuspectTable &Suspicion = m_State.m_Fleet.m_Suspicion;
  const wire::EntryReport &Report = Message.entry_report();
  fleet::recordEntryReport(m_Heard, From, Message.session(), Report, Now,
                           LeaseUntil);
  control::takeReport(m_Roles, Report);
  if (m_RoleOrders)
    m_RoleOrders->takeReport(Report);
  for (fleet::Propose &Each : control::takeReport(m_Notices, Suspicion, From,
                                                  Report, LeaseUntil, LogNow))
    proposeOnce(Each.m_Key, std::move(Each.m_Command));
  wire::Envelope Answer;
  Answer.set_term(m_Replica->term());
  wire::ControlGrant &Grant = *Answer.mutable_control_grant();
  Grant.set_renewal(Report.renewal());
  Grant.set_lease_ns(nanosecondsOf(std::chrono::nanoseconds(EntryLease)));
  Grant.set_fleet_revision(m_State.m_Fleet.m_Targets.m_Revision);
  Grant.set_configuration_revision(m_State.m_Fleet.m_Configuration.m_Revision);
  Grant.set_routes_version(m_State.m_Fleet.m_Routes.m_Table.version());
  adoptLimits(m_Shares, m_State.m_Fleet.m_Configuration);
  keepEntries(m_Shares, m_Heard);
  grantShares(m_Shares, From, Report, Now, LeaseUntil, LongestEntryLease,
              Grant);
  fillGrant(m_Notices, Suspicion, From, Report, Now, LogNow, Grant);
  // A grant that is lost is made up for by the next report.
  (void)m_Hub->send(From, std::move(Answer));
  if (m_Registrar)
    m_Registrar->settleLeaving(Now);
}

void Control::takeWork(const NodeId &From, const wire::WorkNotice &Notice) {
  fleet::recordWork(m_Work, From, Notice, BootClock::now());
  wire::Envelope Answer;
  Answer.set_term(m_Replica->term());
  *Answer.mutable_others_work() = fleet::takeOthersWork(m_Work, From);
  (void)m_Hub->send(From, std::move(Answer)); // The next one tells as much.
}

void Control::takeCall(const NodeId &From, const wire::CallRequest &Call) {
  wire::Command What = Call.command();
  What.set_request_id(Call.request_id());
  What.set_actor(From.m_Value);
  const bool Allowed = ledger::handles(What) || What.has_announce_target() ||
                       What.has_leave_target();
  const auto Answer = [this, From,
                       Name = Call.request_id()](wire::CallReply Reply) {
    wire::Envelope Message;
    Message.set_term(m_Replica->term());
    Reply.set_request_id(Name);
    *Message.mutable_call_reply() = std::move(Reply);
    (void)m_Hub->send(From, std::move(Message)); // The entry asks again.
  };
  if (!Allowed || What.has_operator_command() || What.has_entry_gone()) {
    wire::CallReply Refused;
    Refused.set_refusal(static_cast<std::uint32_t>(Refusal::MalformedRequest));
    Answer(Refused);
    return;
  }
  if (What.has_announce_target()) {
    const wire::Target &Said = What.announce_target().target();
    fleet::recordTargetSeen(m_Heard, {Said.id()}, Said.incarnation(),
                            BootClock::now());
  }
  propose(std::move(What), Answer);
}

void Control::sendFleet(const NodeId &To, Sent &Known) {
  const fleet::State &Fleet = m_State.m_Fleet;
  wire::Envelope Message;
  Message.set_term(m_Replica->term());
  *Message.mutable_fleet_update() =
      fleet::updateSince(Fleet, Known.m_FleetRevision,
                         Known.m_ConfigurationRevision, Known.m_RoutesVersion);
  if (failed(m_Hub->send(To, std::move(Message))))
    return; // The next grant names the newer revision, and the entry asks.
  Known.m_FleetRevision = Fleet.m_Targets.m_Revision;
  Known.m_ConfigurationRevision = Fleet.m_Configuration.m_Revision;
  Known.m_RoutesVersion = Fleet.m_Routes.m_Table.version();
}

/// Tells an entry whom it may ask when this leader is gone.
void Control::sendMembers(const NodeId &To, Sent &Known,
                          const std::vector<NodeId> &Members) {
  wire::Envelope Message;
  Message.set_term(m_Replica->term());
  Message.mutable_redirect()->set_leader(m_Settings.m_Id.m_Value);
  for (const NodeId &Each : Members)
    Message.mutable_redirect()->add_members()->set_id(Each.m_Value);
  if (!failed(m_Hub->send(To, std::move(Message))))
    Known.m_Members = Members;
}

void Control::sendChanges() {
  const fleet::State &Fleet = m_State.m_Fleet;
  for (auto &[Name, Known] : m_Sent)
    if (Known.m_FleetRevision != Fleet.m_Targets.m_Revision ||
        Known.m_ConfigurationRevision != Fleet.m_Configuration.m_Revision ||
        Known.m_RoutesVersion != Fleet.m_Routes.m_Table.version())
      sendFleet(Name, Known);
  if (!m_Settings.m_Discovery)
    return;
  const std::vector<NodeId> Members = memberIds();
  for (auto &[Name, Known] : m_Sent)
    if (Known.m_Members != Members)
      sendMembers(Name, Known, Members);
}

// --- The leader's work ----------------------------------------------------

/// Keys held by a session that no live entry has are of unknown outcome.
void Control::endSessions(TimePoint Now) {
  for (const ledger::EntrySession &Each :
       ledger::openSessions(m_State.m_Ledger)) {
    const auto Entry = m_Heard.m_Entries.find(Each.m_Entry);
    const bool Heard = Entry != m_Heard.m_Entries.end();
    if (Heard && Entry->second.m_Session == Each.m_Session)
      continue;
    if (!Heard && Now < m_Heard.m_CompleteAt)
      continue;
    wire::Command Next;
    Next.mutable_entry_gone()->set_entry(Each.m_Entry.m_Value);
    Next.mutable_entry_gone()->set_session(Each.m_Session);
    proposeOnce("gone/" + Each.m_Entry.m_Value + '/' +
                    std::to_string(Each.m_Session),
                std::move(Next));
  }
}

void Control::turn() {
  reachMembers();
  if (!leads())
    return;
  const TimePoint Now = BootClock::now();
  repairGroup(Now);
  if (m_RoleOrders)
    m_RoleOrders->turn(m_State.m_Fleet, m_Heard, Now);
  if (m_Registrar)
    m_Registrar->settleLeaving(Now);
  fleet::expireEntries(m_Heard, Now);
  for (const wire::EntryGone &Each : m_Heard.m_EndedSessions) {
    events::emit(events::Event::EntryLost, {{"entry", Each.entry()}});
    m_Sent.erase({Each.entry()});
  }
  m_Heard.m_EndedSessions.clear();
  endSessions(Now);
  fleet::ActionSettings Due;
  Due.m_Term = m_Replica->term();
  for (const fleet::Action &Each :
       fleet::dueActions(m_State.m_Fleet, m_Heard, Now, Due))
    carryOut(Each, Now);
  if (auto Shift = stepWhenDue(m_Roles, m_State.m_Fleet, Now))
    propose(std::move(*Shift), [](const wire::CallReply &Reply) {
      if (Reply.refusal() != 0)
        events::emit(events::Event::CommandRejected,
                     {{"command", "role shift"}, {"message", Reply.message()}});
    });
  sendChanges();
}

void Control::carryOut(const fleet::Action &Due, TimePoint Now) {
  if (const auto *Command = std::get_if<fleet::Propose>(&Due)) {
    proposeOnce(Command->m_Key, Command->m_Command);
    return;
  }
  if (const auto *Member = std::get_if<fleet::ExecuteMembershipStep>(&Due)) {
    carryOutMember(*Member);
    return;
  }
  const fleet::State &Fleet = m_State.m_Fleet;
  const fleet::OrderId &Name = std::get<fleet::ExecuteOrder>(Due).m_Order;
  const fleet::Order &Which = Fleet.m_Orders.m_ById.at(Name);
  const auto To = Fleet.m_Targets.m_ById.find(Which.m_Target);
  if (To != Fleet.m_Targets.m_ById.end())
    m_Executor->carryOut(Which, To->second, Now);
}

/// A member's new disk takes the place of its old one. The step is done when
/// the new disk has caught up and votes.
void Control::carryOutMember(const fleet::ExecuteMembershipStep &Due) {
  const fleet::Plan &Plan = m_State.m_Fleet.m_Plans.m_ById.at(Due.m_Plan);
  const Json Document =
      Json::parse(Plan.m_Steps.at(Due.m_Step).m_Document, nullptr, false);
  const NodeId Name{Document.value("member", "")};
  const std::string Wanted = Document.value("incarnation", "");
  const auto Report = [&](const std::string &State, const std::string &Why) {
    wire::Command Next;
    Next.mutable_step_progress()->set_plan(Due.m_Plan.m_Value);
    Next.mutable_step_progress()->set_step(Due.m_Step);
    Next.mutable_step_progress()->set_state(State);
    Next.mutable_step_progress()->set_message(Why);
    proposeOnce("member/" + Due.m_Plan.m_Value, std::move(Next));
  };
  for (const replication::MemberStatus &Each : m_Replica->status().m_Members) {
    if (Each.m_Member.m_Id != Name)
      continue;
    if (Each.m_Member.m_Incarnation == Wanted) {
      if (Each.m_Member.m_Voter)
        Report("done", "the new disk has caught up and votes");
      return;
    }
    const std::string Key = "change/" + Due.m_Plan.m_Value;
    if (m_Proposed.insert(Key).second)
      m_Replica->proposeMembershipChange(
          consensus::ReplaceMember{Name, Wanted},
          [this, Key](const consensus::Decision &) { m_Proposed.erase(Key); });
    return;
  }
  Report("failed", "no such member");
}

} // namespace wasabivale::control
