#include "Control.h"

#include "ForwardPeers.h"
#include "OperatorApi.h"
#include "RegistryApi.h"
#include "events/events.h"

#include <algorithm>

namespace wasabivale::control {

using settings::Json;

namespace {

constexpr std::chrono::milliseconds TickInterval{50};
/// Entries that are sent updates in one tick, so that a tick stays short. Each
/// may need the whole fleet.
constexpr std::size_t MaxUpdatesPerTick = 75;
/// How long an entry may serve without a grant from the leader.
constexpr std::chrono::milliseconds EntryLease{2000};
/// Allows for an entry's clock that runs 1 % slower than this one.
constexpr std::chrono::milliseconds MaxEntryLease = EntryLease * 102 / 100;
/// Minimum remaining leader lease for sending an order.
constexpr std::chrono::milliseconds OrderLeaseMargin{150};
constexpr std::size_t MaxReplies = 65'536;
/// Time in which records of begun streams are collected from all entries.
constexpr std::chrono::milliseconds StreamCollectInterval{5};
/// Pause between membership changes, so that the first takes effect.
constexpr std::chrono::milliseconds RepairInterval{200};

Refusal refusalOf(consensus::Verdict Verdict) {
  return Verdict == consensus::Verdict::NotLeader ? Refusal::NotLeader
                                                  : Refusal::NoQuorum;
}

} // namespace

Control::Control(event_base *Loop, const ControlSettings &Settings,
                 metrics::Registry &Registry, std::function<void()> OnFatal)
    : m_Loop(Loop), m_Settings(Settings), m_Registry(Registry),
      m_OnFatal(std::move(OnFatal)) {}

Result<std::unique_ptr<Control>> Control::open(event_base *Loop,
                                               const ControlSettings &Settings,
                                               metrics::Registry &Registry,
                                               std::function<void()> OnFatal) {
  std::unique_ptr<Control> Instance(
      new Control(Loop, Settings, Registry, std::move(OnFatal)));
  Control *Self = Instance.get();
  ExecutorCallbacks Callbacks;
  Callbacks.m_MaySend = [Self] { return Self->maySendOrder(); };
  Callbacks.m_LeaderSince = [Self] { return Self->m_LeaderSince; };
  Callbacks.m_Propose = [Self](const std::string &Key, wire::Command Command) {
    Self->proposeOnce(Key, std::move(Command));
  };
  Instance->m_Executor =
      std::make_unique<Executor>(Loop, Registry, std::move(Callbacks));
  for (const auto Open : {&Control::openHub, &Control::openReplica,
                          &Control::openOperators, &Control::openRegistry})
    if (Status Opened = (Self->*Open)(); failed(Opened))
      return errorOf(Opened);
  Instance->openDuties();
  Instance->m_Timer = std::make_unique<http::Timer>(Loop, TickInterval, true,
                                                    [Self] { Self->tick(); });
  return Instance;
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
      [this](const NodeId &Sender, const wire::Envelope &Message) {
        handleMessage(Sender, Message);
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
    Options.m_ListKind = replication::ListKind::Seeds;
    Options.m_MayForm = m_Settings.m_Discovery->m_MayForm;
    // Disks move between machines there, which changes inode numbers.
    Options.m_CopyGuard = store::CopyGuard::None;
  }
  replication::ReplicaCallbacks Callbacks;
  Callbacks.m_Apply = [this](consensus::Index Index,
                             const std::string &Payload) {
    wire::CallReply Reply = applyPayload(m_State, Payload);
    if (!m_Replica || !m_Replica->isLeader())
      return;
    sendNewNotices();
    m_Replies[Index] = std::move(Reply);
    if (m_Replies.size() > MaxReplies)
      m_Replies.erase(m_Replies.begin());
  };
  Callbacks.m_TakeSnapshot = [this] { return takeSnapshot(m_State); };
  Callbacks.m_Install = [this](const std::string &Bytes) -> Status {
    Result<ReplicatedState> Read = fromSnapshot(Bytes);
    if (failed(Read))
      return errorOf(Read);
    m_State = std::move(valueOf(Read));
    return std::monostate{};
  };
  Callbacks.m_OnLeadershipGained = [this] { handleLeadershipGained(); };
  Callbacks.m_OnLeadershipLost = [this] { handleLeadershipLost(); };
  Callbacks.m_OnFailure = [this](const Error &Failure) {
    events::emitError(events::Event::ControlFailed, Failure);
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
  m_RegistryApi = std::make_unique<RegistryApi>(*this);
  if (!m_Settings.m_ChangesRoles)
    return listenToRegistry();
  RoleOrders::LeaderHooks Hooks;
  Hooks.m_MaySend = [this] { return maySendOrder(); };
  Hooks.m_Propose = [this](const std::string &Key, wire::Command Command) {
    proposeOnce(Key, std::move(Command));
  };
  Hooks.m_Self = m_Settings.m_Id;
  Hooks.m_OrdersTargets =
      m_Settings.m_Duties && m_Settings.m_Duties->m_OrdersTargets;
  m_RoleOrders =
      std::make_unique<RoleOrders>(m_Loop, m_Registry, std::move(Hooks));
  return listenToRegistry();
}

void Control::openDuties() {
  if (!m_Settings.m_Duties)
    return;
  PlatformDuties::LeaderHooks Hooks;
  Hooks.m_MaySend = [this] { return maySendOrder(); };
  Hooks.m_Propose = [this](const std::string &Key, wire::Command Command) {
    proposeOnce(Key, std::move(Command));
  };
  m_Duties = std::make_unique<PlatformDuties>(
      m_Loop, m_Registry, *m_Settings.m_Duties, std::move(Hooks));
}

Status Control::listenToRegistry() {
  auto Listening =
      http::listen(m_Loop, *m_Settings.m_RegistryListen, m_Settings.m_Limits,
                   [this](const std::shared_ptr<http::Exchange> &Call) {
                     noteCall(Call);
                     m_RegistryApi->answer(Call);
                   });
  if (failed(Listening))
    return errorOf(Listening);
  m_RegistryServer = std::move(valueOf(Listening));
  daemon::logCloses(*m_RegistryServer, "registry");
  return std::monostate{};
}

Status Control::openOperators() {
  if (m_Settings.m_OperatorsListen.m_Port == 0)
    return std::monostate{};
  auto Operators =
      http::listen(m_Loop, m_Settings.m_OperatorsListen, m_Settings.m_Limits,
                   [this](const std::shared_ptr<http::Exchange> &Call) {
                     noteCall(Call);
                     OperatorApi(*this).answer(Call);
                   });
  if (failed(Operators))
    return errorOf(Operators);
  m_OperatorServer = std::move(valueOf(Operators));
  daemon::logCloses(*m_OperatorServer, "operators");
  return std::monostate{};
}

void Control::closeIdle() {
  for (const auto *Server : {&m_OperatorServer, &m_RegistryServer})
    if (*Server != nullptr) {
      (*Server)->stopAccepting();
      (*Server)->closeIdle();
    }
}

std::size_t Control::connections() const {
  std::size_t Count = 0;
  for (const auto *Server : {&m_OperatorServer, &m_RegistryServer})
    Count += *Server == nullptr ? 0 : (*Server)->connections();
  return Count;
}

std::size_t Control::exchanges() const {
  std::size_t Count = 0;
  for (const auto *Server : {&m_OperatorServer, &m_RegistryServer})
    Count += *Server == nullptr ? 0 : (*Server)->exchanges();
  return Count;
}

void Control::noteCall(const std::shared_ptr<http::Exchange> &Call) {
  constexpr std::size_t Fewest = 64;
  if (m_Calls.size() >= m_MostCalls) {
    std::erase_if(m_Calls, [](const auto &Each) { return Each.expired(); });
    m_MostCalls = std::max(Fewest, 2 * m_Calls.size());
  }
  m_Calls.push_back(Call);
}

/// What a call has asked for may be done all the same.
void Control::refuseCalls() {
  for (const auto &Each : std::exchange(m_Calls, {}))
    if (const auto Call = Each.lock()) {
      Call->closeAfter();
      Call->reply(503,
                  {{"Content-Type", "application/json"}, {"Retry-After", "1"}},
                  R"({"error":{"step":"stop","message":"this member stops"}})");
    }
}

bool Control::advanceClose(TimePoint Now) {
  if (!m_Closing)
    m_Closing = CloseDeadlines{Now + AnswerTimeout, Now + CloseTimeout};
  closeIdle();
  const std::size_t Open = exchanges();
  switch (nextCloseStep(*m_Closing, Open, connections(), Now)) {
  case CloseStep::Wait:
    return false;
  case CloseStep::Refuse:
    events::emit(
        events::Event::EndDelayed,
        {{"exchanges", Open}, {"connections", connections()}, {"left_ms", 0}});
    refuseCalls();
    return false;
  case CloseStep::End:
    break;
  }
  return true;
}

std::string Control::notReady() const {
  return m_Replica->leader().empty() ? "no leader is known" : "";
}

// --- Group membership -----------------------------------------------------

std::vector<NodeId> Control::memberIds() const {
  std::vector<NodeId> Members;
  for (const replication::MemberStatus &Member : m_Replica->status().m_Members)
    Members.push_back(Member.m_Member.m_Id);
  return Members;
}

void Control::connectTo(const std::vector<NodeId> &Members) {
  for (const NodeId &Former : m_ConnectedMembers)
    if (std::find(Members.begin(), Members.end(), Former) == Members.end())
      m_Hub->disconnect(Former);
  for (const NodeId &Member : Members) {
    const wire::Peer Peer{Member, "",
                          daemon::hubAddress(*m_Settings.m_Discovery, Member)};
    if (Status Done = m_Hub->connect(Peer); failed(Done))
      events::emitError(events::Event::ListenFailed, errorOf(Done));
  }
  m_ConnectedMembers = Members;
}

void Control::connectMembers() {
  if (!m_Settings.m_Discovery)
    return;
  if (const std::vector<NodeId> Peers = m_Replica->peers();
      Peers != m_ConnectedMembers)
    connectTo(Peers);
}

void Control::repairGroup(TimePoint Now) {
  if (!m_Settings.m_Discovery || m_Repairing || Now < m_NextRepair)
    return;
  replication::ReplicaStatus Known = m_Replica->status();
  const replication::GroupState Group{
      m_Settings.m_Id, std::move(Known.m_Members), std::move(Known.m_Newcomers),
      m_LeaderSince};
  replication::RepairSettings Rules;
  Rules.m_VoterCount = 2U * m_Settings.m_Discovery->m_Losses + 1U;
  const auto Next = replication::nextRepair(Group, Rules, Now);
  if (!Next)
    return;
  m_Repairing = true;
  m_NextRepair = Now + RepairInterval;
  const std::string Description = replication::describe(*Next);
  events::emit(events::Event::RepairStarted,
               {{"change", Description},
                {"members", Group.m_Members.size()},
                {"newcomers", Group.m_Newcomers.size()},
                {"term", m_Replica->term()}});
  m_Replica->proposeMembershipChange(
      *Next, [this, Description](const consensus::Decision &Decided) {
        m_Repairing = false;
        if (Decided.m_Verdict != consensus::Verdict::Committed)
          events::emit(
              events::Event::CommandRejected,
              {{"command", Description},
               {"message", consensus::verdictName(Decided.m_Verdict)}});
      });
}

// --- Leadership -----------------------------------------------------------

bool Control::holdsLeaderLease() const {
  return m_Replica->isLeader() && m_Replica->holdsLease();
}

bool Control::maySendOrder() const {
  return holdsLeaderLease() &&
         m_Replica->leaseEnd() - BootClock::now() > OrderLeaseMargin;
}

void Control::handleLeadershipGained() {
  m_LeaderSince = BootClock::now();
  m_LogBase = newestLogTime(m_State);
  m_Replies.clear();
  m_Sent.clear();
  m_SharedWork = fleet::newSharedWork(m_Replica->term());
  m_PendingProposals.clear();
  // Entries send again what isn't acknowledged.
  m_CollectedStreams.Clear();
  m_StreamReplies.clear();
  m_StreamTimer.reset();
  fleet::startTerm(m_Observed, m_State.m_Fleet, m_LeaderSince, MaxEntryLease);
  startTerm(m_Roles, m_State.m_Fleet, m_LeaderSince);
  startTerm(m_Shares, m_LeaderSince, MaxEntryLease);
  startTerm(m_Notices, m_LeaderSince, MaxEntryLease);
  m_Repairing = false;
  if (m_RoleOrders)
    m_RoleOrders->startTerm(m_Replica->term(),
                            m_State.m_Fleet.m_Targets.m_HoldCount > 0,
                            m_LeaderSince);
  if (m_Duties)
    m_Duties->startTerm(m_Replica->term(), m_State.m_Fleet.m_Duties,
                        m_LeaderSince);
  if (m_RegistryApi)
    m_RegistryApi->startTerm();
}

void Control::handleLeadershipLost() {
  m_Executor->stop();
  m_Sent.clear();
  if (m_RoleOrders)
    m_RoleOrders->endTerm();
  if (m_Duties)
    m_Duties->endTerm();
  if (m_RegistryApi)
    m_RegistryApi->endTerm();
}

void Control::propose(wire::Command Command, OnReply Done) {
  Command.set_term(m_Replica->term());
  Command.set_log_time_ns(nanosecondsOf(logNow(BootClock::now())));
  m_Replica->propose(
      Command.SerializeAsString(),
      [this, Done = std::move(Done),
       Name = Command.request_id()](const consensus::Decision &Decided) {
        wire::CallReply Reply;
        const auto Found = m_Replies.find(Decided.m_Index);
        if (Decided.m_Verdict == consensus::Verdict::Committed &&
            Found != m_Replies.end()) {
          Reply = std::move(Found->second);
          m_Replies.erase(Found);
        } else {
          Reply.set_request_id(Name);
          Reply.set_refusal(
              static_cast<std::uint32_t>(refusalOf(Decided.m_Verdict)));
          Reply.set_message(
              std::string(consensus::verdictName(Decided.m_Verdict)));
        }
        Done(Reply);
      });
}

void Control::proposeOnce(const std::string &Key, wire::Command Command) {
  if (!m_PendingProposals.insert(Key).second)
    return;
  Command.set_actor(m_Settings.m_Id.m_Value);
  propose(std::move(Command), [this, Key](const wire::CallReply &Reply) {
    m_PendingProposals.erase(Key);
    if (Reply.refusal() != 0)
      events::emit(events::Event::CommandRejected,
                   {{"command", Key}, {"message", Reply.message()}});
  });
}

// --- Entries --------------------------------------------------------------

void Control::handleMessage(const NodeId &Sender,
                            const wire::Envelope &Message) {
  if (Message.has_consensus()) {
    m_Replica->receive(Sender, Message.consensus());
    return;
  }
  if (!holdsLeaderLease()) {
    redirect(Sender);
    return;
  }
  switch (Message.body_case()) {
  case wire::Envelope::kEntryHello:
    handleHello(Sender, Message);
    break;
  case wire::Envelope::kEntryReport:
    handleReport(Sender, Message);
    break;
  case wire::Envelope::kWorkNotice:
    handleWork(Sender, Message.work_notice());
    break;
  case wire::Envelope::kCallRequest:
    handleCall(Sender, Message.call_request());
    break;
  default:
    break;
  }
}

void Control::redirect(const NodeId &Entry) {
  wire::Envelope Message;
  const NodeId Leader = m_Replica->leader();
  Message.set_term(m_Replica->term());
  if (Leader != m_Settings.m_Id)
    Message.mutable_redirect()->set_leader(Leader.m_Value);
  else
    Message.mutable_redirect();
  for (const NodeId &Member : m_Replica->knownMembers())
    Message.mutable_redirect()->add_members()->set_id(Member.m_Value);
  (void)m_Hub->send(Entry, std::move(Message)); // The entry retries.
}

void Control::handleHello(const NodeId &Sender, const wire::Envelope &Message) {
  const bool New = m_Sent.count(Sender) == 0;
  if (New)
    events::emit(events::Event::EntryJoined,
                 {{"entry", Sender}, {"zone", Message.zone()}});
  SentRevisions &Known = m_Sent[Sender];
  Known.m_FleetRevision = Message.entry_hello().fleet_revision();
  Known.m_ConfigurationRevision =
      Message.entry_hello().configuration_revision();
  Known.m_RoutesVersion = Message.entry_hello().routes_version();
  Known.m_NeedsAnswer = true;
}

void Control::handleReport(const NodeId &Sender,
                           const wire::Envelope &Message) {
  const TimePoint Now = BootClock::now();
  const TimePoint LeaseUntil = Now + MaxEntryLease;
  const TimePoint LogNow = fleet::suspicionTime(logNow(Now));
  const retries::SuspectTable &Suspicion = m_State.m_Fleet.m_Suspicion;
  const wire::EntryReport &Report = Message.entry_report();
  fleet::recordEntryReport(m_Observed, Sender, Message.session(), Report, Now,
                           LeaseUntil);
  if (Report.last()) {
    events::emit(events::Event::EntryStopped, {{"entry", Sender}});
    m_Sent.erase(Sender);
    fleet::recordWork(m_SharedWork, Sender, {}, Now); // None is left.
    return;
  }
  m_Observed.m_Entries[Sender].m_Zone = {Message.zone()};
  control::handleReport(m_Roles, Report);
  if (m_RoleOrders)
    m_RoleOrders->handleReport(Sender, Report, Now);
  if (m_Duties)
    m_Duties->handleReport(Sender, Message.session(), Report,
                           m_State.m_Fleet.m_Duties);
  for (fleet::Propose &Proposal : control::handleReport(
           m_Notices, Suspicion, Sender, Report, LeaseUntil, LogNow))
    proposeOnce(Proposal.m_Key, std::move(Proposal.m_Command));
  for (fleet::Propose &Proposal : fleet::proposeLeaves(m_State.m_Fleet, Report))
    proposeOnce(Proposal.m_Key, std::move(Proposal.m_Command));
  const retries::TraitTable &Traits = m_State.m_Fleet.m_Traits;
  if (auto Proposal = proposeTraits(Traits, Sender, Report, LogNow))
    proposeOnce(Proposal->m_Key, std::move(Proposal->m_Command));
  const limits::TargetLimitTable &Limits = m_State.m_Fleet.m_TargetLimits;
  if (auto Proposal = proposeTargetLimits(Limits, Sender, Report, LogNow))
    proposeOnce(Proposal->m_Key, std::move(Proposal->m_Command));
  wire::Envelope Answer;
  Answer.set_term(m_Replica->term());
  wire::ControlGrant &Grant = *Answer.mutable_control_grant();
  Grant.set_renewal(Report.renewal());
  Grant.set_lease_ns(nanosecondsOf(std::chrono::nanoseconds(EntryLease)));
  Grant.set_fleet_revision(m_State.m_Fleet.m_Targets.m_Revision);
  Grant.set_configuration_revision(m_State.m_Fleet.m_Configuration.m_Revision);
  Grant.set_routes_version(m_State.m_Fleet.m_Routes.m_Table.version());
  Grant.set_usage_closed(m_State.m_Fleet.m_Duties.m_NewestClosed);
  adoptLimits(m_Shares, m_State.m_Fleet.m_Configuration);
  dropLostEntries(m_Shares, m_Observed);
  grantShares(m_Shares, Sender, Report, Now, LeaseUntil, MaxEntryLease, Grant);
  fillGrant(m_Notices, Suspicion, Sender, Report, Now, LogNow, Grant);
  fillTraits(Traits, Report, LogNow, Grant);
  fillTrials(Traits, m_Observed, Sender, Now, LogNow, Grant);
  fillTargetRates(m_TargetRates, Limits, m_Observed, Sender, Report, Now,
                  Grant);
  fillForwardPeers(m_Observed, Sender, Report, Now, Grant);
  // The answer to the next report replaces a lost grant.
  (void)m_Hub->send(Sender, std::move(Answer));
}

void Control::handleWork(const NodeId &Sender, const wire::WorkNotice &Notice) {
  const TimePoint Now = BootClock::now();
  fleet::recordWork(m_SharedWork, Sender, Notice, Now);
  wire::Envelope Answer;
  Answer.set_term(m_Replica->term());
  if (Notice.number() > 0)
    *Answer.mutable_work_digest() =
        fleet::workDigest(m_SharedWork, Sender, Notice, Now);
  else
    *Answer.mutable_others_work() = fleet::takeOthersWork(m_SharedWork, Sender);
  (void)m_Hub->send(Sender, std::move(Answer)); // The next answer repeats it.
}

void Control::handleCall(const NodeId &Sender, const wire::CallRequest &Call) {
  wire::Command Command = Call.command();
  Command.set_request_id(Call.request_id());
  Command.set_actor(Sender.m_Value);
  const bool Allowed =
      ledger::handles(Command) || Command.has_announce_target() ||
      Command.has_leave_target() || Command.has_stream_versions();
  const auto Answer = [this, Sender,
                       Name = Call.request_id()](wire::CallReply Reply) {
    wire::Envelope Message;
    Message.set_term(m_Replica->term());
    Reply.set_request_id(Name);
    *Message.mutable_call_reply() = std::move(Reply);
    (void)m_Hub->send(Sender, std::move(Message)); // The entry retries.
  };
  if (!Allowed || Command.has_operator_command() || Command.has_entry_gone()) {
    wire::CallReply Refused;
    Refused.set_refusal(static_cast<std::uint32_t>(Refusal::MalformedRequest));
    Answer(Refused);
    return;
  }
  if (Command.has_announce_target()) {
    const wire::Target &Target = Command.announce_target().target();
    fleet::recordTargetSeen(m_Observed, {Target.id()}, Target.incarnation(),
                            BootClock::now());
  }
  if (Command.has_stream_versions()) {
    if (!Command.stream_versions().has_look_up())
      return collectStreams(Command.stream_versions(), Answer);
    // A leader with its lease has applied every committed record.
    wire::CallReply Found;
    if (const auto Version = fleet::findStreamVersion(
            m_State.m_Fleet, Command.stream_versions().look_up()))
      Found.set_result(std::to_string(*Version));
    return Answer(Found);
  }
  propose(std::move(Command), Answer);
}

void Control::collectStreams(const wire::StreamVersions &Report, OnReply Done) {
  if (!fleet::append(m_CollectedStreams, Report)) {
    wire::CallReply Refused;
    Refused.set_refusal(static_cast<std::uint32_t>(Refusal::InvalidField));
    return Done(Refused);
  }
  m_StreamReplies.push_back(std::move(Done));
  if (m_StreamTimer == nullptr)
    m_StreamTimer = std::make_unique<http::Timer>(
        m_Loop, StreamCollectInterval, false, [this] { proposeStreams(); });
}

void Control::proposeStreams() {
  m_StreamTimer.reset();
  wire::Command Next;
  *Next.mutable_stream_versions() = std::exchange(m_CollectedStreams, {});
  propose(std::move(Next), [Replies = std::exchange(m_StreamReplies, {})](
                               const wire::CallReply &Reply) {
    for (const OnReply &Done : Replies)
      Done(Reply);
  });
}

void Control::sendFleet(const NodeId &Entry, SentRevisions &Known) {
  const fleet::State &Fleet = m_State.m_Fleet;
  wire::Envelope Message;
  Message.set_term(m_Replica->term());
  *Message.mutable_fleet_update() = m_FleetUpdates.since(
      Fleet, Known.m_FleetRevision, Known.m_ConfigurationRevision,
      Known.m_RoutesVersion);
  if (failed(m_Hub->send(Entry, std::move(Message))))
    return; // The next grant names the newer revision; the entry then asks.
  Known.m_NeedsAnswer = false;
  Known.m_FleetRevision = Fleet.m_Targets.m_Revision;
  Known.m_ConfigurationRevision = Fleet.m_Configuration.m_Revision;
  Known.m_RoutesVersion = Fleet.m_Routes.m_Table.version();
}

/// Tells an entry which members it may ask after this leader fails.
void Control::sendMembers(const NodeId &Entry, SentRevisions &Known,
                          const std::vector<NodeId> &Members) {
  wire::Envelope Message;
  Message.set_term(m_Replica->term());
  Message.mutable_redirect()->set_leader(m_Settings.m_Id.m_Value);
  for (const NodeId &Member : Members)
    Message.mutable_redirect()->add_members()->set_id(Member.m_Value);
  if (!failed(m_Hub->send(Entry, std::move(Message))))
    Known.m_Members = Members;
}

/// Sends an entry what it lacks. \returns whether it lacked anything.
bool Control::sendChangesTo(const NodeId &Entry, SentRevisions &Known,
                            const std::vector<NodeId> &Members) {
  const fleet::State &Fleet = m_State.m_Fleet;
  const bool LacksFleet =
      Known.m_NeedsAnswer ||
      Known.m_FleetRevision != Fleet.m_Targets.m_Revision ||
      Known.m_ConfigurationRevision != Fleet.m_Configuration.m_Revision ||
      Known.m_RoutesVersion != Fleet.m_Routes.m_Table.version();
  const bool LacksMembers =
      m_Settings.m_Discovery && Known.m_Members != Members;
  if (LacksFleet)
    sendFleet(Entry, Known);
  if (LacksMembers)
    sendMembers(Entry, Known, Members);
  return LacksFleet || LacksMembers;
}

/// Goes through the entries in turn and sends a bounded number of updates, so
/// that a change of the fleet, or a new leader, does not occupy the loop for
/// longer the more entries there are.
void Control::sendChanges() {
  m_FleetUpdates.clear();
  const std::vector<NodeId> Members = memberIds();
  std::size_t Sent = 0;
  auto Next = m_Sent.upper_bound(m_LastSent);
  for (std::size_t I = 0; I < m_Sent.size() && Sent < MaxUpdatesPerTick; ++I) {
    if (Next == m_Sent.end())
      Next = m_Sent.begin();
    if (sendChangesTo(Next->first, Next->second, Members)) {
      ++Sent;
      m_LastSent = Next->first;
    }
    ++Next;
  }
}

void Control::sendNewNotices() {
  const auto Update =
      takeNewNotices(m_State.m_Fleet.m_Traits, m_NotifiedTraits,
                     fleet::suspicionTime(logNow(BootClock::now())));
  if (!Update)
    return;
  for (const auto &[Entry, Known] : m_Sent) {
    wire::Envelope Message;
    Message.set_term(m_Replica->term());
    *Message.mutable_traits_update() = *Update;
    (void)m_Hub->send(Entry, std::move(Message)); // The next grant repeats it.
  }
}

// --- Periodic work of the leader ------------------------------------------

/// Ends sessions that no live entry has; the outcome of their keys is unknown.
void Control::endSessions(TimePoint Now) {
  for (const ledger::EntrySession &Session :
       ledger::openSessions(m_State.m_Ledger)) {
    const auto Entry = m_Observed.m_Entries.find(Session.m_Entry);
    const bool IsKnown = Entry != m_Observed.m_Entries.end();
    if (IsKnown && Entry->second.m_Session == Session.m_Session)
      continue;
    if (!IsKnown && Now < m_Observed.m_CompleteAt)
      continue;
    wire::Command Next;
    Next.mutable_entry_gone()->set_entry(Session.m_Entry.m_Value);
    Next.mutable_entry_gone()->set_session(Session.m_Session);
    proposeOnce("gone/" + Session.m_Entry.m_Value + '/' +
                    std::to_string(Session.m_Session),
                std::move(Next));
  }
}

void Control::tick() {
  connectMembers();
  if (m_Duties)
    m_Duties->sampleClock(BootClock::now());
  if (!holdsLeaderLease())
    return;
  const TimePoint Now = BootClock::now();
  repairGroup(Now);
  if (m_RoleOrders)
    m_RoleOrders->tick(m_State.m_Fleet, m_Observed, m_SharedWork, Now);
  if (m_Duties)
    m_Duties->tick(m_State.m_Fleet, Now);
  if (m_RegistryApi) {
    m_RegistryApi->answerLeaving(Now);
    m_RegistryApi->expire(Now);
  }
  fleet::expireEntries(m_Observed, Now);
  for (const wire::EntryGone &EndedSession : m_Observed.m_EndedSessions) {
    events::emit(events::Event::EntryLost, {{"entry", EndedSession.entry()}});
    m_Sent.erase({EndedSession.entry()});
  }
  m_Observed.m_EndedSessions.clear();
  endSessions(Now);
  fleet::ActionSettings Due;
  Due.m_Term = m_Replica->term();
  for (const fleet::Action &Action :
       fleet::dueActions(m_State.m_Fleet, m_Observed, Now, Due))
    execute(Action, Now);
  if (auto Shift = stepWhenDue(m_Roles, m_State.m_Fleet, Now))
    propose(std::move(*Shift), [](const wire::CallReply &Reply) {
      if (Reply.refusal() != 0)
        events::emit(events::Event::CommandRejected,
                     {{"command", "role shift"}, {"message", Reply.message()}});
    });
  sendChanges();
}

void Control::execute(const fleet::Action &Due, TimePoint Now) {
  if (const auto *Command = std::get_if<fleet::Propose>(&Due)) {
    proposeOnce(Command->m_Key, Command->m_Command);
    return;
  }
  if (const auto *Member = std::get_if<fleet::ExecuteMembershipStep>(&Due)) {
    executeMembershipStep(*Member);
    return;
  }
  const fleet::State &Fleet = m_State.m_Fleet;
  const fleet::OrderId &Name = std::get<fleet::ExecuteOrder>(Due).m_Order;
  const fleet::Order &Order = Fleet.m_Orders.m_ById.at(Name);
  const auto Target = Fleet.m_Targets.m_ById.find(Order.m_Target);
  if (Target != Fleet.m_Targets.m_ById.end())
    m_Executor->execute(Order, Target->second, Now);
}

/// Replaces a member's old disk by its new one. The step is done when the new
/// disk has caught up and votes.
void Control::executeMembershipStep(const fleet::ExecuteMembershipStep &Due) {
  const fleet::Plan &Plan = m_State.m_Fleet.m_Plans.m_ById.at(Due.m_Plan);
  const Json Document =
      Json::parse(Plan.m_Steps.at(Due.m_Step).m_Document, nullptr, false);
  const NodeId Name{Document.value("member", "")};
  const std::string Incarnation = Document.value("incarnation", "");
  const auto Report = [&](const std::string &State,
                          const std::string &Message) {
    wire::Command Next;
    Next.mutable_step_progress()->set_plan(Due.m_Plan.m_Value);
    Next.mutable_step_progress()->set_step(Due.m_Step);
    Next.mutable_step_progress()->set_state(State);
    Next.mutable_step_progress()->set_message(Message);
    proposeOnce("member/" + Due.m_Plan.m_Value, std::move(Next));
  };
  for (const replication::MemberStatus &Member :
       m_Replica->status().m_Members) {
    if (Member.m_Member.m_Id != Name)
      continue;
    if (Member.m_Member.m_Incarnation == Incarnation) {
      if (Member.m_Member.m_Voter)
        Report("done", "the new disk has caught up and votes");
      return;
    }
    const std::string Key = "change/" + Due.m_Plan.m_Value;
    if (m_PendingProposals.insert(Key).second)
      m_Replica->proposeMembershipChange(
          consensus::ReplaceMember{Name, Incarnation},
          [this, Key](const consensus::Decision &) {
            m_PendingProposals.erase(Key);
          });
    return;
  }
  Report("failed", "no such member");
}

} // namespace wasabivale::control
