#include "Formation.h"
#include "events/events.h"
#include "replication/replication.h"

#include <algorithm>

namespace wasabivale::replication {

using consensus::Actions;
using consensus::Decision;
using consensus::Verdict;

namespace {

/// Ticks in one heartbeat interval.
constexpr int TicksPerHeartbeat = 4;
/// A newcomer asks with each heartbeat interval; one that has not asked for
/// this long is gone.
constexpr std::chrono::milliseconds NewcomerSilence{1500};

timeval toTimeval(Duration Value) {
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  return {Micros / MicrosPerSecond, Micros % MicrosPerSecond};
}

struct FreeEvent {
  void operator()(event *Owned) const { event_free(Owned); }
};
using EventPointer = std::unique_ptr<event, FreeEvent>;

} // namespace

struct Replica::Parts {
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
  bool m_Announced = false; ///< `m_OnLeadershipGained` was called,
                            ///< `m_OnLeadershipLost` not yet.
  bool m_HasFailed = false;
  bool m_HasStalled = false;
  consensus::Index m_SnapshotIndex = 0;
  std::size_t m_BytesSinceSnapshot = 0;
  std::map<NodeId, std::string> m_ReportedDisks;
  struct Newcomer {
    std::string m_Incarnation;
    TimePoint m_HeardAt;
  };
  std::map<NodeId, Newcomer> m_Newcomers;
  std::vector<NodeId> m_Found; ///< Members that a formed cluster told us.

  EventPointer m_Tick;
  EventPointer m_Turn;
  TimePoint m_TickAt;
  std::vector<consensus::Event> m_Inbox;
  consensus::Propose m_Proposals;
  std::uint64_t m_LastToken = 0;
  std::map<std::uint64_t, OnDecided> m_Waiting;

  Status openStore();
  Status load();
  void watch();

  // The turn.
  void schedule() const;
  void turn();
  bool takeStep(const consensus::Event &Happened, std::vector<Actions> &Done);
  void perform(const Actions &Done);
  void install(const consensus::Snapshot &From);
  void apply(const consensus::Record &Next);
  void announce();
  void takeSnapshot();
  void fail(const Error &Failure);
  /// Answers everything that waits.
  void refuseAll(Verdict Why);

  // Helpers.
  std::uint64_t expect(OnDecided Callback);
  void answer(const Decision &What);
  void send(const NodeId &To, wire::ConsensusMessage Message) const;
  void reportDisks();
  void report() const;

  // Formation.
  void takeFormation(const NodeId &From, const std::string &Incarnation,
                     const wire::Formation &Said);
  void tellFormation(const NodeId &To) const;
  void tellAll() const;
  void takeMembers(const wire::Membership &Told);
  void advanceFormation();
  void promise();
  void form();
};

// --- Start ----------------------------------------------------------------

Status Replica::Parts::openStore() {
  store::Files &Through = *m_Options.m_Files;
  const Result<bool> Empty = store::Store::isEmpty(Through, m_Options.m_Folder);
  if (failed(Empty))
    return errorOf(Empty);
  // A disk that was made when the cluster might be formed may still form it.
  m_Formation.m_MayForm = m_Options.m_MayForm || !valueOf(Empty);
  if (valueOf(Empty)) {
    if (Status Done = store::Store::format(
            Through, m_Options.m_Folder, m_Options.m_Cluster, m_Options.m_Self);
        failed(Done))
      return Done;
    events::emit(events::Event::MemberFormatted,
                 {{"folder", m_Options.m_Folder}});
  }
  auto Opened =
      store::Store::open(Through, m_Options.m_Folder, m_Options.m_Cluster,
                         m_Options.m_Self, m_Options.m_CopyGuard);
  if (failed(Opened))
    return errorOf(Opened);
  m_Store = std::move(valueOf(Opened));
  if (m_Store->bytesCut() > 0)
    events::emit(events::Event::LogEndCut, {{"bytes", m_Store->bytesCut()}});
  return std::monostate{};
}

Status Replica::Parts::load() {
  consensus::PersistedState From = m_Store->takeLoaded();
  m_Formed = !From.m_Records.empty() || From.m_Snapshot;
  if (From.m_Snapshot) {
    m_SnapshotIndex = From.m_Snapshot->m_Index;
    if (Status Done = m_Callbacks.m_Install(From.m_Snapshot->m_Data);
        failed(Done))
      return Done;
  }
  consensus::Options Own;
  Own.m_Self = m_Options.m_Self;
  Own.m_Incarnation = m_Store->identity().m_Incarnation;
  Own.m_Timing = m_Options.m_Timing;
  Own.m_Limits = m_Options.m_Limits;
  m_State = consensus::start(Own, std::move(From), BootClock::now(), m_Rng);
  m_Formation.m_Cluster = m_Options.m_Cluster;
  m_Formation.m_Self = m_Options.m_Self;
  m_Formation.m_Listed = m_Options.m_Listed;
  std::sort(m_Formation.m_Listed.begin(), m_Formation.m_Listed.end());
  m_Formation.m_Own = {Own.m_Incarnation, m_Store->promise(), m_Formed};
  return std::monostate{};
}

void Replica::Parts::watch() {
  const auto OnTick = [](evutil_socket_t, short, void *Owner) {
    auto &Self = *static_cast<Parts *>(Owner);
    Self.m_Inbox.emplace_back(consensus::Tick{});
    Self.schedule();
  };
  const auto OnTurn = [](evutil_socket_t, short, void *Owner) {
    static_cast<Parts *>(Owner)->turn();
  };
  m_Tick.reset(event_new(m_Loop, -1, EV_PERSIST, OnTick, this));
  m_Turn.reset(event_new(m_Loop, -1, 0, OnTurn, this));
  const timeval Interval =
      toTimeval(m_Options.m_Timing.m_Heartbeat / TicksPerHeartbeat);
  event_add(m_Tick.get(), &Interval);
  m_Inbox.emplace_back(consensus::Tick{});
  schedule();
}

// --- The turn -------------------------------------------------------------

void Replica::Parts::schedule() const {
  // Runs after the events that are active already, so that what arrived in
  // this turn of the loop shares one sync.
  event_active(m_Turn.get(), EV_TIMEOUT, 0);
}

bool Replica::Parts::takeStep(const consensus::Event &Happened,
                              std::vector<Actions> &Done) {
  Done.push_back(consensus::step(m_State, Happened, BootClock::now(), m_Rng));
  const Status Written = m_Store->write(Done.back().m_Persist);
  if (!failed(Written))
    return true;
  fail(errorOf(Written));
  return false;
}

void Replica::Parts::turn() {
  if (m_HasFailed)
    return refuseAll(Verdict::NotLeader);
  const std::vector<consensus::Event> Inbox = std::exchange(m_Inbox, {});
  const consensus::Propose Proposals = std::exchange(m_Proposals, {});
  if (!m_Formed)
    advanceFormation();
  if (m_HasFailed)
    return;
  std::vector<Actions> Done;
  for (const consensus::Event &Each : Inbox)
    if (!takeStep(Each, Done))
      return;
  if (!Proposals.m_Proposals.empty() && !takeStep(Proposals, Done))
    return;
  if (const Status Synced = m_Store->sync(); failed(Synced))
    return fail(errorOf(Synced));
  for (const Actions &Each : Done) {
    perform(Each);
    if (m_HasFailed)
      return;
  }
  announce();
  takeSnapshot();
  reportDisks();
  report();
}

void Replica::Parts::perform(const Actions &Done) {
  if (Done.m_Install)
    install(*Done.m_Install);
  if (m_HasFailed)
    return;
  for (const consensus::Record &Each : Done.m_Committed)
    apply(Each);
  for (const Decision &Each : Done.m_Decisions)
    answer(Each);
  for (const consensus::Leadership Each : Done.m_Leadership) {
    if (Each == consensus::Leadership::Gained || !m_Announced)
      continue;
    m_Announced = false;
    events::emit(events::Event::LeadershipLost,
                 {{"term", m_State.m_HardState.m_Term}});
    m_Callbacks.m_OnLeadershipLost();
  }
  for (const consensus::Message &Each : Done.m_Messages)
    send(Each.m_To, consensus::toWire(Each));
}

void Replica::Parts::install(const consensus::Snapshot &From) {
  m_SnapshotIndex = From.m_Index;
  m_BytesSinceSnapshot = 0;
  m_Formed = true;
  events::emit(events::Event::SnapshotInstalled, {{"index", From.m_Index}});
  if (const Status Done = m_Callbacks.m_Install(From.m_Data); failed(Done))
    fail(errorOf(Done));
}

void Replica::Parts::apply(const consensus::Record &Next) {
  m_Formed = true;
  m_BytesSinceSnapshot += Next.m_Payload.size();
  if (Next.m_Kind == consensus::RecordKind::Command)
    m_Callbacks.m_Apply(Next.m_Index, Next.m_Payload);
  if (Next.m_Kind == consensus::RecordKind::Membership)
    events::emit(events::Event::MembershipChanged, {{"index", Next.m_Index}});
}

/// Tells that leadership can be used, once the state is that of the log.
void Replica::Parts::announce() {
  const bool Ready = m_State.m_Role == consensus::Role::Leader &&
                     m_State.m_AppliedIndex >= m_State.m_TermStart;
  if (!Ready || m_Announced)
    return;
  m_Announced = true;
  events::emit(events::Event::LeadershipGained,
               {{"term", m_State.m_HardState.m_Term}});
  m_Callbacks.m_OnLeadershipGained();
}

void Replica::Parts::takeSnapshot() {
  const consensus::Index At = m_State.m_AppliedIndex;
  if (At < m_SnapshotIndex + m_Options.m_SnapshotRecords &&
      m_BytesSinceSnapshot < m_Options.m_SnapshotBytes)
    return;
  std::vector<Actions> Done;
  const consensus::SnapshotTaken Taken{At, m_Callbacks.m_TakeSnapshot()};
  if (!takeStep(Taken, Done))
    return;
  m_SnapshotIndex = At;
  m_BytesSinceSnapshot = 0;
  events::emit(events::Event::SnapshotTaken,
               {{"index", At}, {"bytes", Taken.m_Data.size()}});
}

void Replica::Parts::fail(const Error &Failure) {
  if (m_HasFailed)
    return;
  m_HasFailed = true;
  events::emitError(events::Event::StoreFailed, Failure);
  m_Announced = false;
  refuseAll(Verdict::Lost);
  m_Callbacks.m_OnFailure(Failure);
}

void Replica::Parts::refuseAll(Verdict Why) {
  m_Inbox.clear();
  m_Proposals = {};
  for (const auto &[Token, Callback] : std::exchange(m_Waiting, {}))
    Callback({Token, Why, 0});
}

// --- Helpers --------------------------------------------------------------

std::uint64_t Replica::Parts::expect(OnDecided Callback) {
  m_Waiting[++m_LastToken] = std::move(Callback);
  return m_LastToken;
}

void Replica::Parts::answer(const Decision &What) {
  m_Registry
      ->counter("wasabivale_proposals_total",
                "Proposals by what became of them",
                {{"verdict", std::string(verdictName(What.m_Verdict))}})
      .add();
  const auto Found = m_Waiting.find(What.m_Token);
  if (Found == m_Waiting.end())
    return;
  const OnDecided Callback = std::move(Found->second);
  m_Waiting.erase(Found);
  Callback(What);
}

void Replica::Parts::send(const NodeId &To,
                          wire::ConsensusMessage Message) const {
  wire::Envelope Outer;
  Outer.set_term(m_State.m_HardState.m_Term);
  *Outer.mutable_consensus() = std::move(Message);
  m_Registry
      ->counter("wasabivale_consensus_sent_bytes_total",
                "Bytes of messages to other members, before transport")
      .add(Outer.ByteSizeLong());
  // The hub counts what it drops; the steps send again.
  (void)m_Hub->send(To, std::move(Outer));
}

void Replica::Parts::reportDisks() {
  for (const auto &[Id, Incarnation] : m_State.m_UnknownIncarnations) {
    if (m_ReportedDisks[Id] == Incarnation)
      continue;
    m_ReportedDisks[Id] = Incarnation;
    events::emit(events::Event::UnknownDisk,
                 {{"member", Id}, {"incarnation", Incarnation}});
  }
}

void Replica::Parts::report() const {
  m_Registry->gauge("wasabivale_consensus_term", "Newest term").m_Value =
      static_cast<double>(m_State.m_HardState.m_Term);
  m_Registry
      ->gauge("wasabivale_consensus_commit_index", "Last committed record")
      .m_Value = static_cast<double>(m_State.m_CommitIndex);
  m_Registry->gauge("wasabivale_consensus_leading", "1 on the leader").m_Value =
      m_Announced ? 1 : 0;
  m_Registry->gauge("wasabivale_store_syncs", "Syncs since the start").m_Value =
      static_cast<double>(m_Store->syncCount());
}

// --- Formation ------------------------------------------------------------

void Replica::Parts::tellFormation(const NodeId &To) const {
  wire::ConsensusMessage Message;
  Message.set_disk_incarnation(m_Formation.m_Own.m_Incarnation);
  *Message.mutable_formation() = toWire(m_Formation);
  if (m_Formed)
    Message.mutable_formation()->mutable_members()->ParseFromString(
        consensus::encodeMembership(m_State.m_Membership));
  send(To, std::move(Message));
}

void Replica::Parts::tellAll() const {
  for (const auto &Names : {m_Formation.m_Listed, m_Found})
    for (const NodeId &Each : Names)
      if (Each != m_Options.m_Self)
        tellFormation(Each);
}

/// Notes the members of the cluster that this newcomer wants to join.
void Replica::Parts::takeMembers(const wire::Membership &Told) {
  const auto Members = consensus::decodeMembership(Told.SerializeAsString());
  if (failed(Members) || !m_Callbacks.m_OnMembersFound)
    return;
  m_Found.clear();
  for (const consensus::Member &Each : valueOf(Members).m_Members)
    if (std::find(m_Formation.m_Listed.begin(), m_Formation.m_Listed.end(),
                  Each.m_Id) == m_Formation.m_Listed.end())
      m_Found.push_back(Each.m_Id);
  m_Callbacks.m_OnMembersFound(valueOf(Members));
}

void Replica::Parts::takeFormation(const NodeId &From,
                                   const std::string &Incarnation,
                                   const wire::Formation &Said) {
  m_Formation.m_Own.m_Formed = m_Formed;
  if (m_Formed && (Said.formed() || Said.cluster() != m_Formation.m_Cluster))
    return;
  if (m_Formed) {
    m_Newcomers[From] = {Incarnation, BootClock::now()};
    return tellFormation(From);
  }
  if (Said.formed() && Said.cluster() == m_Formation.m_Cluster)
    takeMembers(Said.members());
  if (note(m_Formation, From, Incarnation, Said))
    schedule();
}

void Replica::Parts::promise() {
  const std::string Bytes = proposedMembership(m_Formation);
  if (const Status Done = m_Store->makePromise(Bytes); failed(Done))
    return fail(errorOf(Done));
  m_Formation.m_Own.m_Promise = Bytes;
  tellAll();
}

void Replica::Parts::form() {
  const auto Members = consensus::decodeMembership(m_Formation.m_Own.m_Promise);
  WASABIVALE_INVARIANT(!failed(Members));
  consensus::Persist First;
  First.m_HardState = consensus::HardState{1, {}};
  First.m_Records = {consensus::firstRecord(valueOf(Members))};
  Status Done = m_Store->write(First);
  if (!failed(Done))
    Done = m_Store->sync();
  if (failed(Done))
    return fail(errorOf(Done));
  m_State = consensus::start(m_State.m_Options,
                             {*First.m_HardState, nullptr, First.m_Records},
                             BootClock::now(), m_Rng);
  m_Formed = true;
  m_Formation.m_Own.m_Formed = true;
  tellAll();
  events::emit(events::Event::ClusterFormed,
               {{"members", valueOf(Members).m_Members.size()}});
}

void Replica::Parts::advanceFormation() {
  if (BootClock::now() >= m_TickAt) {
    m_TickAt = BootClock::now() + m_Options.m_Timing.m_Heartbeat;
    tellAll();
  }
  FormationStep Next = nextStep(m_Formation);
  if (Next == FormationStep::Promise) {
    promise();
    if (m_HasFailed)
      return;
    Next = nextStep(m_Formation);
  }
  if (Next == FormationStep::Form)
    return form();
  if (Next != FormationStep::Stalled || m_HasStalled)
    return;
  m_HasStalled = true;
  events::emit(events::Event::FormationStalled, {{"member", m_Options.m_Self}});
}

// --- Public ---------------------------------------------------------------

Replica::Replica(std::unique_ptr<Parts> Owned) : m_Parts(std::move(Owned)) {}

Replica::~Replica() = default;

Result<std::unique_ptr<Replica>>
Replica::open(event_base *Loop, wire::Hub &Through, metrics::Registry &Registry,
              ReplicaOptions Options, ReplicaCallbacks Callbacks) {
  if (Status Checked = consensus::checkTiming(Options.m_Timing);
      failed(Checked))
    return errorOf(Checked);
  auto Made = std::make_unique<Parts>();
  Made->m_Loop = Loop;
  Made->m_Hub = &Through;
  Made->m_Registry = &Registry;
  Made->m_Options = std::move(Options);
  if (Made->m_Options.m_Files == nullptr)
    Made->m_Options.m_Files = &store::systemFiles();
  Made->m_Callbacks = std::move(Callbacks);
  Made->m_Rng = randomFromSystem();
  if (Status Opened = Made->openStore(); failed(Opened))
    return errorOf(Opened);
  if (Status Loaded = Made->load(); failed(Loaded))
    return errorOf(Loaded);
  Made->watch();
  return std::unique_ptr<Replica>(new Replica(std::move(Made)));
}

void Replica::receive(const NodeId &From,
                      const wire::ConsensusMessage &Message) {
  Parts &Self = *m_Parts;
  if (Self.m_HasFailed)
    return;
  if (Message.has_formation())
    return Self.takeFormation(From, Message.disk_incarnation(),
                              Message.formation());
  // A member that lost its place while it was away asks for a new one.
  if (consensus::findMember(Self.m_State.m_Membership, From) == nullptr)
    Self.m_Newcomers[From] = {Message.disk_incarnation(), BootClock::now()};
  // A disk that has promised a first membership takes part in no other.
  if (!Self.m_Formed && !Self.m_Formation.m_Own.m_Promise.empty())
    return;
  auto Read = consensus::fromWire(From, Self.m_Options.m_Self, Message);
  if (failed(Read)) {
    Self.m_Registry
        ->counter("wasabivale_consensus_malformed_total",
                  "Messages that could not be read")
        .add();
    return;
  }
  Self.m_Inbox.emplace_back(consensus::Receive{std::move(valueOf(Read))});
  Self.schedule();
}

void Replica::propose(std::string Payload, OnDecided Callback) {
  Parts &Self = *m_Parts;
  const std::uint64_t Token = Self.expect(std::move(Callback));
  Self.m_Proposals.m_Proposals.push_back({Token, std::move(Payload)});
  Self.schedule();
}

void Replica::proposeMembershipChange(consensus::MembershipChange Wanted,
                                      OnDecided Callback) {
  Parts &Self = *m_Parts;
  const std::uint64_t Token = Self.expect(std::move(Callback));
  Self.m_Inbox.emplace_back(
      consensus::ChangeMembership{Token, std::move(Wanted)});
  Self.schedule();
}

void Replica::transferLeadership(const NodeId &To) {
  m_Parts->m_Inbox.emplace_back(consensus::TransferLeadership{To});
  m_Parts->schedule();
}

bool Replica::isLeader() const {
  return m_Parts->m_Announced &&
         m_Parts->m_State.m_Role == consensus::Role::Leader;
}

bool Replica::holdsLease() const {
  return isLeader() &&
         consensus::holdsLease(m_Parts->m_State, BootClock::now());
}

TimePoint Replica::leaseEnd() const {
  if (!isLeader())
    return {};
  return consensus::leaseEnd(m_Parts->m_State, BootClock::now());
}

NodeId Replica::leader() const { return m_Parts->m_State.m_Leader; }

consensus::Term Replica::term() const {
  return m_Parts->m_State.m_HardState.m_Term;
}

std::uint64_t Replica::syncCount() const {
  return m_Parts->m_Store->syncCount();
}

ReplicaStatus Replica::status() const {
  const consensus::State &From = m_Parts->m_State;
  ReplicaStatus Made;
  Made.m_Formed = m_Parts->m_Formed;
  Made.m_Leading = isLeader();
  Made.m_Leader = From.m_Leader;
  Made.m_Term = From.m_HardState.m_Term;
  Made.m_LastIndex = consensus::lastIndex(From);
  Made.m_CommitIndex = From.m_CommitIndex;
  Made.m_Incarnation = From.m_Options.m_Incarnation;
  for (const consensus::Member &Each : From.m_Membership.m_Members) {
    MemberStatus Facts{Each, 0, false, "", {}};
    if (Each.m_Id == From.m_Options.m_Self)
      Facts.m_Match = Made.m_LastIndex;
    if (const auto Peer = From.m_Progress.find(Each.m_Id);
        Peer != From.m_Progress.end()) {
      Facts.m_Match = Peer->second.m_Match;
      Facts.m_HeardAt = Peer->second.m_HeardAt;
      Facts.m_LostData = Peer->second.m_LostData;
    }
    if (const auto Other = From.m_UnknownIncarnations.find(Each.m_Id);
        Other != From.m_UnknownIncarnations.end() &&
        Other->second != Each.m_Incarnation)
      Facts.m_OtherIncarnation = Other->second;
    Made.m_Members.push_back(std::move(Facts));
  }
  for (const auto &[Id, Asked] : m_Parts->m_Newcomers) {
    const consensus::Member *Known =
        consensus::findMember(From.m_Membership, Id);
    if (BootClock::now() - Asked.m_HeardAt <= NewcomerSilence &&
        (Known == nullptr || Known->m_Incarnation != Asked.m_Incarnation))
      Made.m_Newcomers[Id] = Asked.m_Incarnation;
  }
  return Made;
}

} // namespace wasabivale::replication
