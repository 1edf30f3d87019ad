#include "Contacts.h"
#include "Formation.h"
#include "OtherGroups.h"
#include "StateDigests.h"
#include "events/events.h"
#include "replication/replication.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::replication {

using consensus::Actions;
using consensus::Decision;
using consensus::Verdict;

namespace {

/// Ticks in one heartbeat interval.
constexpr int TicksPerHeartbeat = 4;
/// A newcomer sends a request every heartbeat interval. It is considered gone
/// after this time without one.
constexpr std::chrono::milliseconds NewcomerTimeout{1500};
/// Newcomers above which those that are gone are forgotten.
constexpr std::size_t MaxNewcomers = 64;
/// How often a member tells the seeds outside its group of the group.
constexpr std::chrono::seconds SeedInterval{2};
constexpr std::chrono::seconds ContactsRetryInterval{1};

timeval toTimeval(Duration Value) {
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  return {Micros / MicrosPerSecond, Micros % MicrosPerSecond};
}

std::string_view startName(store::StartKind Kind) {
  switch (Kind) {
  case store::StartKind::First:
    return "first";
  case store::StartKind::Later:
    return "later";
  case store::StartKind::Unknown:
    break;
  }
  return "unknown";
}

struct FreeEvent {
  void operator()(event *Owned) const { event_free(Owned); }
};
using EventPointer = std::unique_ptr<event, FreeEvent>;

} // namespace

struct Replica::Impl {
  event_base *m_Loop = nullptr;
  wire::Hub *m_Hub = nullptr;
  metrics::Registry *m_Registry = nullptr;
  ReplicaOptions m_Options;
  ReplicaCallbacks m_Callbacks;
  std::unique_ptr<store::Store> m_Store;
  Random m_Rng;
  consensus::State m_State;
  Formation m_Formation;
  bool m_Formed = false;
  /// Set between `m_OnLeadershipGained` and `m_OnLeadershipLost`.
  bool m_LeadershipAnnounced = false;
  bool m_HasFailed = false;
  bool m_HasStalled = false;
  consensus::Index m_SnapshotIndex = 0;
  std::size_t m_BytesSinceSnapshot = 0;
  StateDigests m_Digests;
  std::map<NodeId, std::string> m_ReportedDisks;
  struct Newcomer {
    std::string m_Incarnation;
    TimePoint m_HeardAt;
  };
  std::map<NodeId, Newcomer> m_Newcomers;
  std::vector<NodeId> m_Seeds; ///< Of the newest settings.
  Contacts m_Contacts;
  bool m_ContactsAreStored = true;
  TimePoint m_StoreContactsAt;
  TimePoint m_NextSeedMessageAt;
  /// Zero while it is not known.
  GroupId m_Group = 0;
  OtherGroups m_OtherGroups;

  EventPointer m_TickEvent;
  EventPointer m_ProcessEvent;
  TimePoint m_NextBroadcastAt;
  std::vector<consensus::Event> m_Inbox;
  consensus::Propose m_Proposals;
  std::uint64_t m_LastToken = 0;
  std::map<std::uint64_t, OnDecided> m_PendingCallbacks;

  Status openStore();
  Status load();
  void startEvents();

  // Event processing.
  void scheduleProcessing() const;
  void processInbox();
  bool runStep(const consensus::Event &Input, std::vector<Actions> &Results);
  void performActions(const Actions &Requested);
  void install(const consensus::Snapshot &Snapshot);
  void apply(const consensus::Record &Record);
  void announceLeadership();
  void takeSnapshot();
  void takeDigest(consensus::Index Position);
  void attachDigest(const NodeId &Receiver,
                    wire::ConsensusMessage &Message) const;
  void compareDigest(const NodeId &Sender,
                     const wire::ConsensusMessage &Message);
  void fail(const Error &Failure);
  /// Completes all pending proposals with \p Reason.
  void rejectPending(Verdict Reason);

  // Helpers.
  std::uint64_t addCallback(OnDecided Callback);
  void completeProposal(const Decision &Result);
  void send(const NodeId &Receiver, wire::ConsensusMessage Message) const;
  void reportUnknownDisks();
  void updateMetrics() const;

  // Formation.
  void handleFormation(const NodeId &Sender,
                       const wire::ConsensusMessage &Message);
  void recordNewcomer(const NodeId &Sender, const std::string &Incarnation);
  void sendFormation(const NodeId &Receiver) const;
  void broadcastFormation() const;
  void informSeeds();
  void handleContacts(const wire::Formation &Report);
  void storeContacts();
  void advanceFormation();
  void makePromise();
  void formCluster();

  // Groups and peers.
  [[nodiscard]] std::vector<NodeId> members() const;
  [[nodiscard]] std::vector<NodeId> peers() const;
  [[nodiscard]] bool isFromMember(const NodeId &Sender,
                                  const wire::ConsensusMessage &Message) const;
  void handleOtherGroup(const NodeId &Sender,
                        const wire::ConsensusMessage &Message);
  void joinGroup(GroupId Group);
};

std::string groupName(std::uint64_t Group) {
  return fmt::format("{:016x}", Group);
}

// --- Start ----------------------------------------------------------------

Status Replica::Impl::openStore() {
  store::Files &Files = *m_Options.m_Files;
  const Result<bool> IsEmpty = store::Store::isEmpty(Files, m_Options.m_Folder);
  if (failed(IsEmpty))
    return errorOf(IsEmpty);
  if (valueOf(IsEmpty)) {
    store::Origin Start{store::StartKind::Later, {}};
    if (m_Options.m_MayForm)
      Start = {store::StartKind::First, m_Options.m_Listed};
    if (Status Formatted =
            store::Store::format(Files, m_Options.m_Folder, m_Options.m_Cluster,
                                 m_Options.m_Self, Start);
        failed(Formatted))
      return Formatted;
    events::emit(events::Event::MemberFormatted,
                 {{"folder", m_Options.m_Folder}});
  }
  auto Opened =
      store::Store::open(Files, m_Options.m_Folder, m_Options.m_Cluster,
                         m_Options.m_Self, m_Options.m_CopyGuard);
  if (failed(Opened))
    return errorOf(Opened);
  m_Store = std::move(valueOf(Opened));
  if (m_Store->truncatedBytes() > 0)
    events::emit(events::Event::LogEndCut,
                 {{"bytes", m_Store->truncatedBytes()}});
  return std::monostate{};
}

Status Replica::Impl::load() {
  consensus::PersistedState Stored = m_Store->takeLoaded();
  m_Formed = !Stored.m_Records.empty() || Stored.m_Snapshot;
  if (Stored.m_Snapshot) {
    m_SnapshotIndex = Stored.m_Snapshot->m_Index;
    if (Status Installed = m_Callbacks.m_Install(Stored.m_Snapshot->m_Data);
        failed(Installed))
      return Installed;
  }
  consensus::Options Settings;
  Settings.m_Self = m_Options.m_Self;
  Settings.m_Incarnation = m_Store->identity().m_Incarnation;
  Settings.m_Timing = m_Options.m_Timing;
  Settings.m_Limits = m_Options.m_Limits;
  m_State =
      consensus::start(Settings, std::move(Stored), BootClock::now(), m_Rng);
  m_Formation.m_MayForm = m_Options.m_MayForm;
  m_Formation.m_Cluster = m_Options.m_Cluster;
  m_Formation.m_Self = m_Options.m_Self;
  m_Formation.m_Listed = m_Options.m_Listed;
  m_Formation.m_Own = {Settings.m_Incarnation, m_Store->formationPromise(),
                       m_Formed};
  const store::Origin &Recorded = m_Store->identity().m_Origin;
  applyOrigin(m_Formation, Recorded, m_Options.m_ListKind);
  m_Seeds = m_Options.m_Listed;
  m_Contacts = {m_Options.m_Self, m_Store->contacts()};
  if (m_Formed)
    m_Group = m_Formation.m_Own.m_Promise.empty()
                  ? m_Store->group()
                  : groupId(m_Formation.m_Own.m_Promise);
  else
    events::emit(events::Event::MemberOutside,
                 {{"start", startName(Recorded.m_Kind)},
                  {"may_form", m_Formation.m_MayForm},
                  {"promised", !m_Formation.m_Own.m_Promise.empty()},
                  {"listed", m_Formation.m_Listed.size()},
                  {"contacts", m_Contacts.m_Nodes.size()}});
  return std::monostate{};
}

void Replica::Impl::startEvents() {
  const auto OnTick = [](evutil_socket_t, short, void *Owner) {
    auto &Self = *static_cast<Impl *>(Owner);
    Self.m_Inbox.emplace_back(consensus::Tick{});
    Self.scheduleProcessing();
  };
  const auto OnTurn = [](evutil_socket_t, short, void *Owner) {
    static_cast<Impl *>(Owner)->processInbox();
  };
  m_TickEvent.reset(event_new(m_Loop, -1, EV_PERSIST, OnTick, this));
  m_ProcessEvent.reset(event_new(m_Loop, -1, 0, OnTurn, this));
  const timeval Interval =
      toTimeval(m_Options.m_Timing.m_Heartbeat / TicksPerHeartbeat);
  event_add(m_TickEvent.get(), &Interval);
  m_Inbox.emplace_back(consensus::Tick{});
  scheduleProcessing();
}

// --- Event processing -----------------------------------------------------

void Replica::Impl::scheduleProcessing() const {
  // Runs after the events that are already active, so that all events of this
  // iteration of the event loop share one sync.
  event_active(m_ProcessEvent.get(), EV_TIMEOUT, 0);
}

bool Replica::Impl::runStep(const consensus::Event &Input,
                            std::vector<Actions> &Results) {
  Results.push_back(consensus::step(m_State, Input, BootClock::now(), m_Rng));
  const Status Written = m_Store->write(Results.back().m_Persist);
  if (!failed(Written))
    return true;
  fail(errorOf(Written));
  return false;
}

void Replica::Impl::processInbox() {
  if (m_HasFailed)
    return rejectPending(Verdict::NotLeader);
  const std::vector<consensus::Event> Inbox = std::exchange(m_Inbox, {});
  const consensus::Propose Proposals = std::exchange(m_Proposals, {});
  if (!m_Formed)
    advanceFormation();
  else
    informSeeds();
  if (m_HasFailed)
    return;
  std::vector<Actions> Results;
  for (const consensus::Event &Event : Inbox)
    if (!runStep(Event, Results))
      return;
  if (!Proposals.m_Proposals.empty() && !runStep(Proposals, Results))
    return;
  if (const Status Synced = m_Store->sync(); failed(Synced))
    return fail(errorOf(Synced));
  for (const Actions &Actions : Results) {
    performActions(Actions);
    if (m_HasFailed)
      return;
  }
  announceLeadership();
  takeSnapshot();
  reportUnknownDisks();
  updateMetrics();
}

void Replica::Impl::performActions(const Actions &Requested) {
  if (Requested.m_Install)
    install(*Requested.m_Install);
  if (m_HasFailed)
    return;
  for (const consensus::Record &Record : Requested.m_Committed)
    apply(Record);
  for (const Decision &Decision : Requested.m_Decisions)
    completeProposal(Decision);
  for (const consensus::Leadership Change : Requested.m_Leadership) {
    if (Change == consensus::Leadership::Gained || !m_LeadershipAnnounced)
      continue;
    m_LeadershipAnnounced = false;
    events::emit(events::Event::LeadershipLost,
                 {{"term", m_State.m_HardState.m_Term}});
    m_Callbacks.m_OnLeadershipLost();
  }
  for (const consensus::Message &Message : Requested.m_Messages) {
    wire::ConsensusMessage Wire = consensus::toWire(Message);
    attachDigest(Message.m_To, Wire);
    send(Message.m_To, std::move(Wire));
  }
}

void Replica::Impl::install(const consensus::Snapshot &Snapshot) {
  m_SnapshotIndex = Snapshot.m_Index;
  m_BytesSinceSnapshot = 0;
  forgetOwn(m_Digests);
  m_Formed = true;
  events::emit(events::Event::SnapshotInstalled, {{"index", Snapshot.m_Index}});
  if (const Status Installed = m_Callbacks.m_Install(Snapshot.m_Data);
      failed(Installed))
    fail(errorOf(Installed));
}

void Replica::Impl::apply(const consensus::Record &Record) {
  m_Formed = true;
  m_BytesSinceSnapshot += Record.m_Payload.size();
  if (Record.m_Kind == consensus::RecordKind::Command)
    m_Callbacks.m_Apply(Record.m_Index, Record.m_Payload);
  if (Record.m_Kind == consensus::RecordKind::Membership) {
    events::emit(events::Event::MembershipChanged, {{"index", Record.m_Index}});
    keepMembers(m_Digests, m_State.m_Membership);
  }
  if (Record.m_Index % m_Options.m_DigestRecords == 0)
    takeDigest(Record.m_Index);
}

/// Announces leadership once all records of earlier terms are applied.
void Replica::Impl::announceLeadership() {
  const bool IsReady = m_State.m_Role == consensus::Role::Leader &&
                       m_State.m_AppliedIndex >= m_State.m_TermStart;
  if (!IsReady || m_LeadershipAnnounced)
    return;
  m_LeadershipAnnounced = true;
  events::emit(events::Event::LeadershipGained,
               {{"term", m_State.m_HardState.m_Term}});
  m_Callbacks.m_OnLeadershipGained();
}

void Replica::Impl::takeSnapshot() {
  const consensus::Index Position = m_State.m_AppliedIndex;
  if (Position < m_SnapshotIndex + m_Options.m_SnapshotRecords &&
      m_BytesSinceSnapshot < m_Options.m_SnapshotBytes)
    return;
  std::vector<Actions> Results;
  const consensus::SnapshotTaken Taken{Position, m_Callbacks.m_TakeSnapshot()};
  if (!runStep(Taken, Results))
    return;
  m_SnapshotIndex = Position;
  m_BytesSinceSnapshot = 0;
  events::emit(events::Event::SnapshotTaken,
               {{"index", Position}, {"bytes", Taken.m_Data.size()}});
}

void Replica::Impl::takeDigest(consensus::Index Position) {
  if (!m_Callbacks.m_TakeDigest)
    return;
  if (const auto Value = m_Callbacks.m_TakeDigest(Position))
    recordOwn(m_Digests, {Position, m_Options.m_DigestFormat, *Value});
}

/// Adds the newest digest to messages to the leader.
void Replica::Impl::attachDigest(const NodeId &Receiver,
                                 wire::ConsensusMessage &Message) const {
  if (m_Digests.m_Own.empty() || Receiver != m_State.m_Leader)
    return;
  const StateDigest &Newest = m_Digests.m_Own.back();
  wire::StateDigest &Wire = *Message.mutable_state_digest();
  Wire.set_index(Newest.m_Index);
  Wire.set_format(Newest.m_Format);
  Wire.set_value(Newest.m_Value);
}

void Replica::Impl::compareDigest(const NodeId &Sender,
                                  const wire::ConsensusMessage &Message) {
  const consensus::Member *Member =
      consensus::findMember(m_State.m_Membership, Sender);
  if (!Message.has_state_digest() ||
      m_State.m_Role != consensus::Role::Leader || Member == nullptr ||
      Member->m_Incarnation != Message.disk_incarnation())
    return;
  const wire::StateDigest &Wire = Message.state_digest();
  const DigestComparison Result =
      compare(m_Digests, Sender, {Wire.index(), Wire.format(), Wire.value()});
  if (Result == DigestComparison::Skipped)
    return;
  const bool IsEqual = Result == DigestComparison::Equal;
  m_Registry
      ->counter("wasabivale_state_digests_total",
                "Digests of other members' states, compared by the leader",
                {{"result", IsEqual ? "equal" : "different"}})
      .add();
  if (!IsEqual)
    events::emit(events::Event::StateDiverged,
                 {{"member", Sender}, {"index", Wire.index()}});
}

void Replica::Impl::fail(const Error &Failure) {
  if (m_HasFailed)
    return;
  m_HasFailed = true;
  events::emitError(events::Event::StoreFailed, Failure);
  m_LeadershipAnnounced = false;
  updateMetrics();
  rejectPending(Verdict::Lost);
  m_Callbacks.m_OnFailure(Failure);
}

void Replica::Impl::rejectPending(Verdict Reason) {
  m_Inbox.clear();
  m_Proposals = {};
  for (const auto &[Token, Callback] : std::exchange(m_PendingCallbacks, {}))
    Callback({Token, Reason, 0});
}

// --- Helpers --------------------------------------------------------------

std::uint64_t Replica::Impl::addCallback(OnDecided Callback) {
  m_PendingCallbacks[++m_LastToken] = std::move(Callback);
  return m_LastToken;
}

void Replica::Impl::completeProposal(const Decision &Result) {
  m_Registry
      ->counter("wasabivale_proposals_total",
                "Proposals by what became of them",
                {{"verdict", std::string(verdictName(Result.m_Verdict))}})
      .add();
  const auto Found = m_PendingCallbacks.find(Result.m_Token);
  if (Found == m_PendingCallbacks.end())
    return;
  const OnDecided Callback = std::move(Found->second);
  m_PendingCallbacks.erase(Found);
  Callback(Result);
}

void Replica::Impl::send(const NodeId &Receiver,
                         wire::ConsensusMessage Message) const {
  wire::Envelope Envelope;
  Message.set_group(m_Group);
  Envelope.set_term(m_State.m_HardState.m_Term);
  *Envelope.mutable_consensus() = std::move(Message);
  m_Registry
      ->counter("wasabivale_consensus_sent_bytes_total",
                "Bytes of messages to other members, before transport")
      .add(Envelope.ByteSizeLong());
  // The hub counts dropped messages; the consensus steps resend them.
  (void)m_Hub->send(Receiver, std::move(Envelope));
}

void Replica::Impl::reportUnknownDisks() {
  for (const auto &[Id, Incarnation] : m_State.m_UnknownIncarnations) {
    if (m_ReportedDisks[Id] == Incarnation)
      continue;
    m_ReportedDisks[Id] = Incarnation;
    events::emit(events::Event::UnknownDisk,
                 {{"member", Id}, {"incarnation", Incarnation}});
  }
}

void Replica::Impl::updateMetrics() const {
  m_Registry->gauge("wasabivale_consensus_term", "Newest term").m_Value =
      static_cast<double>(m_State.m_HardState.m_Term);
  m_Registry
      ->gauge("wasabivale_consensus_commit_index", "Last committed record")
      .m_Value = static_cast<double>(m_State.m_CommitIndex);
  m_Registry->gauge("wasabivale_consensus_leading", "1 on the leader").m_Value =
      m_LeadershipAnnounced ? 1 : 0;
  m_Registry->gauge("wasabivale_store_syncs", "Syncs since the start").m_Value =
      static_cast<double>(m_Store->syncCount());
}

// --- Formation ------------------------------------------------------------

void Replica::Impl::sendFormation(const NodeId &Receiver) const {
  wire::ConsensusMessage Message;
  Message.set_disk_incarnation(m_Formation.m_Own.m_Incarnation);
  *Message.mutable_formation() = toWire(m_Formation);
  if (m_Formed)
    Message.mutable_formation()->mutable_members()->ParseFromString(
        consensus::encodeMembership(m_State.m_Membership));
  else
    for (const NodeId &Contact : m_Contacts.m_Nodes)
      Message.mutable_formation()->add_contacts(Contact.m_Value);
  send(Receiver, std::move(Message));
}

void Replica::Impl::broadcastFormation() const {
  for (const NodeId &Peer : peers())
    sendFormation(Peer);
}

/// Tells seeds outside the group of its members. A newcomer that knows only
/// other newcomers finds the group by it, and two groups find each other.
void Replica::Impl::informSeeds() {
  if (m_Options.m_ListKind != ListKind::Seeds ||
      BootClock::now() < m_NextSeedMessageAt)
    return;
  m_NextSeedMessageAt = BootClock::now() + SeedInterval;
  m_Formation.m_Own.m_Formed = true;
  for (const NodeId &Seed : m_Seeds)
    if (Seed != m_Options.m_Self &&
        consensus::findMember(m_State.m_Membership, Seed) == nullptr)
      sendFormation(Seed);
}

/// Records whom a member outside the group may ask for admission.
void Replica::Impl::handleContacts(const wire::Formation &Report) {
  std::vector<NodeId> Reported;
  for (const wire::Member &Member : Report.members().members())
    Reported.push_back({Member.id()});
  for (const std::string &Contact : Report.contacts())
    Reported.push_back({Contact});
  const bool HasChanged = Report.formed() ? recordMembers(m_Contacts, Reported)
                                          : recordHearsay(m_Contacts, Reported);
  if (!HasChanged)
    return;
  events::emit(events::Event::MembersFound,
               {{"members", m_Contacts.m_Nodes.size()}});
  storeContacts();
}

void Replica::Impl::storeContacts() {
  const Status Stored = m_Store->saveContacts(m_Contacts.m_Nodes);
  if (failed(Stored) && m_ContactsAreStored)
    events::emitError(events::Event::ContactsNotStored, errorOf(Stored));
  m_ContactsAreStored = !failed(Stored);
  m_StoreContactsAt = BootClock::now() + ContactsRetryInterval;
}

void Replica::Impl::recordNewcomer(const NodeId &Sender,
                                   const std::string &Incarnation) {
  const TimePoint Now = BootClock::now();
  if (m_Newcomers.size() >= MaxNewcomers)
    std::erase_if(m_Newcomers, [&](const auto &Known) {
      return Now - Known.second.m_HeardAt > NewcomerTimeout;
    });
  m_Newcomers[Sender] = {Incarnation, Now};
}

void Replica::Impl::handleFormation(const NodeId &Sender,
                                    const wire::ConsensusMessage &Message) {
  const wire::Formation &Report = Message.formation();
  const std::string &Incarnation = Message.disk_incarnation();
  m_Formation.m_Own.m_Formed = m_Formed;
  if (Report.cluster() != m_Formation.m_Cluster)
    return;
  if (m_Formed && Report.formed()) {
    // A member that was removed while it was down asks for admission again.
    if (consensus::findMember(m_State.m_Membership, Sender) == nullptr)
      recordNewcomer(Sender, Incarnation);
    return;
  }
  if (m_Formed) {
    recordNewcomer(Sender, Incarnation);
    return sendFormation(Sender);
  }
  const bool IsAsking = !Report.formed() && Report.contacts().empty();
  const std::vector<NodeId> Peers = peers();
  // A disk that has promised an initial membership joins no other.
  if (m_Formation.m_Own.m_Promise.empty())
    handleContacts(Report);
  // A peer is told by the broadcast.
  if (IsAsking && !m_Contacts.m_Nodes.empty() &&
      !std::binary_search(Peers.begin(), Peers.end(), Sender))
    sendFormation(Sender);
  if (recordReport(m_Formation, Sender, Incarnation, Report))
    scheduleProcessing();
}

void Replica::Impl::makePromise() {
  const std::string Bytes = proposedMembership(m_Formation);
  if (const Status Stored = m_Store->saveFormationPromise(Bytes);
      failed(Stored))
    return fail(errorOf(Stored));
  m_Formation.m_Own.m_Promise = Bytes;
  broadcastFormation();
}

void Replica::Impl::formCluster() {
  const auto Members = consensus::decodeMembership(m_Formation.m_Own.m_Promise);
  WASABIVALE_INVARIANT(!failed(Members));
  consensus::Persist Initial;
  Initial.m_HardState = consensus::HardState{1, {}};
  Initial.m_Records = {consensus::firstRecord(valueOf(Members))};
  Status Written = m_Store->write(Initial);
  if (!failed(Written))
    Written = m_Store->sync();
  if (failed(Written))
    return fail(errorOf(Written));
  m_State = consensus::start(m_State.m_Options,
                             {*Initial.m_HardState, nullptr, Initial.m_Records},
                             BootClock::now(), m_Rng);
  m_Formed = true;
  m_Formation.m_Own.m_Formed = true;
  m_Group = groupId(m_Formation.m_Own.m_Promise);
  broadcastFormation();
  events::emit(events::Event::ClusterFormed,
               {{"members", valueOf(Members).m_Members.size()},
                {"group", groupName(m_Group)}});
}

void Replica::Impl::advanceFormation() {
  if (BootClock::now() >= m_NextBroadcastAt) {
    m_NextBroadcastAt = BootClock::now() + m_Options.m_Timing.m_Heartbeat;
    broadcastFormation();
  }
  if (!m_ContactsAreStored && BootClock::now() >= m_StoreContactsAt)
    storeContacts();
  FormationStep Next = nextStep(m_Formation);
  if (Next == FormationStep::Promise) {
    makePromise();
    if (m_HasFailed)
      return;
    Next = nextStep(m_Formation);
  }
  if (Next == FormationStep::Form)
    return formCluster();
  if (Next != FormationStep::Stalled || m_HasStalled)
    return;
  m_HasStalled = true;
  events::emit(events::Event::FormationStalled, {{"member", m_Options.m_Self}});
}

// --- Groups and peers -----------------------------------------------------

std::vector<NodeId> Replica::Impl::members() const {
  std::vector<NodeId> Members;
  for (const consensus::Member &Member : m_State.m_Membership.m_Members)
    Members.push_back(Member.m_Id);
  return Members;
}

std::vector<NodeId> Replica::Impl::peers() const {
  std::vector<NodeId> Peers = members();
  const auto Add = [&](const std::vector<NodeId> &Nodes) {
    Peers.insert(Peers.end(), Nodes.begin(), Nodes.end());
  };
  Add(m_Seeds);
  if (!m_Formed) {
    Add(m_Formation.m_Listed);
    Add(m_Contacts.m_Nodes);
  }
  std::sort(Peers.begin(), Peers.end());
  Peers.erase(std::unique(Peers.begin(), Peers.end()), Peers.end());
  std::erase(Peers, m_Options.m_Self);
  return Peers;
}

bool Replica::Impl::isFromMember(const NodeId &Sender,
                                 const wire::ConsensusMessage &Message) const {
  const consensus::Member *Member =
      consensus::findMember(m_State.m_Membership, Sender);
  return Member != nullptr &&
         Member->m_Incarnation == Message.disk_incarnation();
}

/// Logs a message of another group. If it tells of that group, its sender is
/// told of this one, so that it shows at both.
void Replica::Impl::handleOtherGroup(const NodeId &Sender,
                                     const wire::ConsensusMessage &Message) {
  m_Registry
      ->counter("wasabivale_other_group_messages_total",
                "Messages of members of a group with another first membership")
      .add();
  const OtherGroupStep Step = recordOtherGroup(
      m_OtherGroups, Sender, Message.group(), BootClock::now());
  if (Step.m_IsNew)
    events::emit(events::Event::OtherGroupMet,
                 {{"member", Sender},
                  {"group", groupName(m_Group)},
                  {"other_group", groupName(Message.group())}});
  if (m_Formed && Message.has_formation() && Step.m_MayReply)
    sendFormation(Sender);
}

/// Records the group of a member that did not form it, before it acts on the
/// first message of the group.
void Replica::Impl::joinGroup(GroupId Group) {
  if (const Status Stored = m_Store->saveGroup(Group); failed(Stored))
    return fail(errorOf(Stored));
  m_Group = Group;
}

// --- Public ---------------------------------------------------------------

Replica::Replica(std::unique_ptr<Impl> Owned) : m_Impl(std::move(Owned)) {}

Replica::~Replica() = default;

Result<std::unique_ptr<Replica>> Replica::open(event_base *Loop, wire::Hub &Hub,
                                               metrics::Registry &Registry,
                                               ReplicaOptions Options,
                                               ReplicaCallbacks Callbacks) {
  if (Status TimingStatus = consensus::checkTiming(Options.m_Timing);
      failed(TimingStatus))
    return errorOf(TimingStatus);
  auto NewImpl = std::make_unique<Impl>();
  NewImpl->m_Loop = Loop;
  NewImpl->m_Hub = &Hub;
  NewImpl->m_Registry = &Registry;
  NewImpl->m_Options = std::move(Options);
  if (NewImpl->m_Options.m_Files == nullptr)
    NewImpl->m_Options.m_Files = &store::systemFiles();
  NewImpl->m_Callbacks = std::move(Callbacks);
  NewImpl->m_Rng = randomFromSystem();
  if (Status StoreStatus = NewImpl->openStore(); failed(StoreStatus))
    return errorOf(StoreStatus);
  if (Status LoadStatus = NewImpl->load(); failed(LoadStatus))
    return errorOf(LoadStatus);
  NewImpl->startEvents();
  return std::unique_ptr<Replica>(new Replica(std::move(NewImpl)));
}

void Replica::receive(const NodeId &Sender,
                      const wire::ConsensusMessage &Message) {
  Impl &Self = *m_Impl;
  if (Self.m_HasFailed)
    return;
  if (areDifferent(Self.m_Group, Message.group()))
    return Self.handleOtherGroup(Sender, Message);
  if (Message.has_formation())
    return Self.handleFormation(Sender, Message);
  // A member that was removed while it was down asks for admission again.
  if (consensus::findMember(Self.m_State.m_Membership, Sender) == nullptr)
    Self.recordNewcomer(Sender, Message.disk_incarnation());
  // A disk that has promised an initial membership takes part in no other.
  if (!Self.m_Formed && !Self.m_Formation.m_Own.m_Promise.empty())
    return;
  if (Self.m_Group == 0 && Message.group() != 0 &&
      (!Self.m_Formed || Self.isFromMember(Sender, Message)))
    Self.joinGroup(Message.group());
  if (Self.m_HasFailed)
    return;
  auto Decoded = consensus::fromWire(Sender, Self.m_Options.m_Self, Message);
  if (failed(Decoded)) {
    Self.m_Registry
        ->counter("wasabivale_consensus_malformed_total",
                  "Messages that could not be read")
        .add();
    return;
  }
  Self.compareDigest(Sender, Message);
  Self.m_Inbox.emplace_back(consensus::Receive{std::move(valueOf(Decoded))});
  Self.scheduleProcessing();
}

void Replica::updateSeeds(std::vector<NodeId> Seeds) {
  m_Impl->m_Seeds = std::move(Seeds);
}

std::vector<NodeId> Replica::peers() const { return m_Impl->peers(); }

std::vector<NodeId> Replica::knownMembers() const {
  return m_Impl->m_Formed ? m_Impl->members() : m_Impl->m_Contacts.m_Nodes;
}

void Replica::propose(std::string Payload, OnDecided Callback) {
  Impl &Self = *m_Impl;
  const std::uint64_t Token = Self.addCallback(std::move(Callback));
  Self.m_Proposals.m_Proposals.push_back({Token, std::move(Payload)});
  Self.scheduleProcessing();
}

void Replica::proposeMembershipChange(consensus::MembershipChange Change,
                                      OnDecided Callback) {
  Impl &Self = *m_Impl;
  const std::uint64_t Token = Self.addCallback(std::move(Callback));
  Self.m_Inbox.emplace_back(
      consensus::ChangeMembership{Token, std::move(Change)});
  Self.scheduleProcessing();
}

void Replica::transferLeadership(const NodeId &Successor) {
  m_Impl->m_Inbox.emplace_back(consensus::TransferLeadership{Successor});
  m_Impl->scheduleProcessing();
}

bool Replica::isLeader() const {
  return m_Impl->m_LeadershipAnnounced &&
         m_Impl->m_State.m_Role == consensus::Role::Leader;
}

bool Replica::holdsLease() const {
  return isLeader() && consensus::holdsLease(m_Impl->m_State, BootClock::now());
}

TimePoint Replica::leaseEnd() const {
  if (!isLeader())
    return {};
  return consensus::leaseEnd(m_Impl->m_State, BootClock::now());
}

NodeId Replica::leader() const { return m_Impl->m_State.m_Leader; }

consensus::Term Replica::term() const {
  return m_Impl->m_State.m_HardState.m_Term;
}

std::uint64_t Replica::syncCount() const {
  return m_Impl->m_Store->syncCount();
}

ReplicaStatus Replica::status() const {
  const consensus::State &State = m_Impl->m_State;
  ReplicaStatus Status;
  Status.m_Formed = m_Impl->m_Formed;
  Status.m_Leading = isLeader();
  Status.m_Leader = State.m_Leader;
  Status.m_Term = State.m_HardState.m_Term;
  Status.m_LastIndex = consensus::lastIndex(State);
  Status.m_CommitIndex = State.m_CommitIndex;
  Status.m_Incarnation = State.m_Options.m_Incarnation;
  Status.m_Group = m_Impl->m_Group;
  for (const consensus::Member &Member : State.m_Membership.m_Members) {
    MemberStatus Known{Member, 0, false, "", {}};
    if (Member.m_Id == State.m_Options.m_Self)
      Known.m_Match = Status.m_LastIndex;
    if (const auto Progress = State.m_Progress.find(Member.m_Id);
        Progress != State.m_Progress.end()) {
      Known.m_Match = Progress->second.m_Match;
      Known.m_HeardAt = Progress->second.m_HeardAt;
      Known.m_LostData = Progress->second.m_LostData;
    }
    if (const auto Unknown = State.m_UnknownIncarnations.find(Member.m_Id);
        Unknown != State.m_UnknownIncarnations.end() &&
        Unknown->second != Member.m_Incarnation)
      Known.m_OtherIncarnation = Unknown->second;
    Status.m_Members.push_back(std::move(Known));
  }
  for (const auto &[Id, Newcomer] : m_Impl->m_Newcomers) {
    const consensus::Member *Listed =
        consensus::findMember(State.m_Membership, Id);
    if (BootClock::now() - Newcomer.m_HeardAt <= NewcomerTimeout &&
        (Listed == nullptr || Listed->m_Incarnation != Newcomer.m_Incarnation))
      Status.m_Newcomers[Id] = Newcomer.m_Incarnation;
  }
  return Status;
}

} // namespace wasabivale::replication
