#include "consensus_model/consensus_model.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::consensus {

namespace {

using namespace std::chrono_literals;

constexpr int PerMille = 1000;
constexpr std::size_t LargestFirstMembership = 5;
constexpr std::size_t SmallestVoterCount = 3;
constexpr std::size_t SpareNodes = 2;
constexpr Duration HealedTime = 40s;

/// What a disk holds for good.
struct Disk {
  std::string m_Incarnation;
  HardState m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot;
  std::vector<Record> m_Records;
};

/// The state machine: a hash over all that was applied.
struct Machine {
  Index m_Index = 0;
  std::uint64_t m_Hash = 0;
};

struct Node {
  NodeId m_Id;
  Disk m_Disk;
  std::optional<State> m_State; ///< Empty while the process is down.
  Machine m_Machine;
  TimePoint m_StartAt;      ///< When a process that is down starts.
  TimePoint m_PausedUntil;  ///< Nothing is processed before.
  std::int64_t m_Drift = 0; ///< Per mille, both signs.
  Duration m_ClockOffset{0};
  std::vector<Message> m_Inbox;
  bool m_IsSpare = false;
};

struct Flight {
  TimePoint m_At;
  Message m_Message;
};

/// One piece of a step's writes, in the order in which it reaches the disk.
struct Write {
  std::optional<HardState> m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot;
  bool m_DropLog = false;
  Index m_TruncateFrom = 0;
  std::optional<Record> m_Record;
};

std::vector<Write> writesOf(const Persist &From) {
  std::vector<Write> Made;
  if (From.m_HardState)
    Made.push_back({From.m_HardState, nullptr, false, 0, std::nullopt});
  if (From.m_Snapshot)
    Made.push_back(
        {std::nullopt, From.m_Snapshot, From.m_DropLog, 0, std::nullopt});
  if (From.m_TruncateFrom != 0)
    Made.push_back(
        {std::nullopt, nullptr, false, From.m_TruncateFrom, std::nullopt});
  for (const Record &Each : From.m_Records)
    Made.push_back({std::nullopt, nullptr, false, 0, Each});
  return Made;
}

void put(Disk &Into, const Write &Piece) {
  if (Piece.m_HardState)
    Into.m_HardState = *Piece.m_HardState;
  if (Piece.m_Snapshot)
    Into.m_Snapshot = Piece.m_Snapshot;
  if (Piece.m_DropLog)
    Into.m_Records.clear();
  if (Piece.m_TruncateFrom != 0)
    while (!Into.m_Records.empty() &&
           Into.m_Records.back().m_Index >= Piece.m_TruncateFrom)
      Into.m_Records.pop_back();
  if (Piece.m_Record)
    Into.m_Records.push_back(*Piece.m_Record);
}

class World {
public:
  explicit World(const RunOptions &With);
  RunReport run();

private:
  // Chance.
  std::uint64_t pick(std::uint64_t Below) { return m_Rng() % Below; }
  bool happens(int OutOfThousand) {
    return static_cast<int>(pick(PerMille)) < OutOfThousand;
  }
  Duration pickDuration(Duration Longest) {
    return Duration(static_cast<Duration::rep>(
        pick(static_cast<std::uint64_t>(Longest.count()))));
  }

  // Members.
  [[nodiscard]] TimePoint clockOf(const Node &Of) const;
  void startNode(Node &Which);
  void crash(Node &Which);
  void wipe(Node &Which);
  [[nodiscard]] Options optionsOf(const Node &Of) const;
  Node *leader();
  Node *find(const NodeId &Id);
  [[nodiscard]] bool toleratesLossOf(const Node &Lost) const;
  [[nodiscard]] bool hasQuorumWithout(const Membership &In,
                                      const Node &Lost) const;

  // Steps.
  void act(Node &Which, const Event &Happened);
  void perform(Node &Which, const Actions &Done);
  void apply(Node &Which, const Record &Next);
  void install(Node &Which, const Snapshot &From);
  void post(const Message &What);
  void deliver();
  void turn(Node &Which);
  void turnAll();
  void runUntil(TimePoint End);

  // Load and faults.
  void propose();
  void takeSnapshots();
  void repair();
  void injectFaults();
  void changeMembers();
  void secondLoss();
  void partition();
  void heal();

  // Checks.
  void fail(std::string What);
  void checkLeases();
  void checkLeadership(const Node &Of, const Actions &Done);
  void checkHealed();
  [[nodiscard]] std::string describeNodes() const;

  RunOptions m_With;
  Random m_Rng;
  TimePoint m_Now{1h};
  std::vector<Node> m_Nodes;
  std::vector<Flight> m_Flights;
  std::set<std::pair<NodeId, NodeId>> m_Cut;
  TimePoint m_CutUntil;
  TimePoint m_QuietUntil; ///< No proposals before.
  bool m_Healed = false;
  RunReport m_Report;
  std::uint64_t m_LastToken = 0;
  NodeId m_Repaired; ///< Promoted just now.

  std::map<Term, NodeId> m_LeaderOf;
  std::map<Index, Record> m_Committed;
  std::map<Index, std::uint64_t> m_HashAt;
  std::map<std::uint64_t, Index> m_Acknowledged;
};

World::World(const RunOptions &With) : m_With(With), m_Rng(With.m_Seed) {
  const std::size_t First = SmallestVoterCount + pick(LargestFirstMembership -
                                                      SmallestVoterCount + 1);
  Membership Initial;
  for (std::size_t At = 0; At < First + SpareNodes; ++At) {
    Node Made;
    Made.m_Id = {fmt::format("c{}", At + 1)};
    Made.m_Disk.m_Incarnation = fmt::format("{:x}", m_Rng());
    Made.m_Drift = static_cast<std::int64_t>(pick(2 * ClockDriftPerMille + 1)) -
                   ClockDriftPerMille;
    Made.m_ClockOffset = pickDuration(1h);
    Made.m_IsSpare = At >= First;
    if (!Made.m_IsSpare)
      Initial.m_Members.push_back(
          {Made.m_Id, Made.m_Disk.m_Incarnation, true, "", {}, {}});
    m_Nodes.push_back(Made);
  }
  for (Node &Each : m_Nodes) {
    if (!Each.m_IsSpare) {
      Each.m_Disk.m_HardState.m_Term = 1;
      Each.m_Disk.m_Records = {firstRecord(Initial)};
    }
    startNode(Each);
  }
  m_Committed[1] = firstRecord(Initial);
}

TimePoint World::clockOf(const Node &Of) const {
  const Duration Since = m_Now.time_since_epoch();
  return m_Now + Of.m_ClockOffset + Since * Of.m_Drift / PerMille;
}

Options World::optionsOf(const Node &Of) const {
  Options Made;
  Made.m_Self = Of.m_Id;
  Made.m_Incarnation = Of.m_Disk.m_Incarnation;
  Made.m_Limits.m_MessageRecords = 4;
  Made.m_Limits.m_SnapshotPartBytes = 5;
  Made.m_Limits.m_TrailingRecords = 8;
  Made.m_Limits.m_CaughtUpLag = 4;
  return Made;
}

void World::startNode(Node &Which) {
  const Disk &From = Which.m_Disk;
  Which.m_State = start(optionsOf(Which),
                        {From.m_HardState, From.m_Snapshot, From.m_Records},
                        clockOf(Which), m_Rng);
  Which.m_Machine = {};
  Which.m_Inbox.clear();
  if (From.m_Snapshot)
    install(Which, *From.m_Snapshot);
}

void World::crash(Node &Which) {
  ++m_Report.m_Counts.m_Crashes;
  Which.m_State.reset();
  Which.m_Inbox.clear();
  Which.m_StartAt = m_Now + pickDuration(3s);
}

void World::wipe(Node &Which) {
  ++m_Report.m_Counts.m_EmptyDisks;
  Which.m_State.reset();
  Which.m_Inbox.clear();
  Which.m_Disk = {};
  Which.m_Disk.m_Incarnation = fmt::format("{:x}", m_Rng());
  Which.m_StartAt = m_Now + pickDuration(2s);
}

Node *World::find(const NodeId &Id) {
  for (Node &Each : m_Nodes)
    if (Each.m_Id == Id)
      return &Each;
  return nullptr;
}

Node *World::leader() {
  Node *Newest = nullptr;
  for (Node &Each : m_Nodes)
    if (Each.m_State && Each.m_State->m_Role == Role::Leader &&
        (Newest == nullptr || Each.m_State->m_HardState.m_Term >
                                  Newest->m_State->m_HardState.m_Term))
      Newest = &Each;
  return Newest;
}

bool World::hasQuorumWithout(const Membership &In, const Node &Lost) const {
  std::size_t Intact = 0;
  for (const Member &Each : In.m_Members)
    for (const Node &Has : m_Nodes)
      Intact += Each.m_Voter && Has.m_Id == Each.m_Id &&
                        Has.m_Disk.m_Incarnation == Each.m_Incarnation &&
                        Has.m_Id != Lost.m_Id
                    ? 1
                    : 0;
  return Intact >= quorumSize(In);
}

/// Whether every membership that may still decide keeps a quorum of disks.
bool World::toleratesLossOf(const Node &Lost) const {
  for (const Node &Each : m_Nodes) {
    // What an untold member still believes need not hold, but is cheap to keep.
    if (!Each.m_State)
      return false;
    const Membership &In = Each.m_State->m_Membership;
    if (!In.m_Members.empty() && !Each.m_IsSpare && !hasQuorumWithout(In, Lost))
      return false;
  }
  return true;
}

// --- Steps ----------------------------------------------------------------

void World::post(const Message &What) {
  constexpr int LostPerMille = 40;
  constexpr int RepeatedPerMille = 30;
  constexpr int DelayedPerMille = 60;
  if (m_Cut.count({What.m_From, What.m_To}) != 0 ||
      (!m_Healed && happens(LostPerMille))) {
    ++m_Report.m_Counts.m_Lost;
    return;
  }
  Duration Delay = 1ms + pickDuration(8ms);
  if (!m_Healed && happens(DelayedPerMille)) {
    ++m_Report.m_Counts.m_Delayed;
    Delay += pickDuration(2s);
  }
  m_Flights.push_back({m_Now + Delay, What});
  if (!m_Healed && happens(RepeatedPerMille)) {
    ++m_Report.m_Counts.m_Repeated;
    m_Flights.push_back({m_Now + pickDuration(1s), What});
  }
}

void World::act(Node &Which, const Event &Happened) {
  if (!Which.m_State || !m_Report.m_Failure.empty())
    return;
  perform(Which, step(*Which.m_State, Happened, clockOf(Which), m_Rng));
}

void World::perform(Node &Which, const Actions &Done) {
  constexpr int CrashPerMille = 1;
  const std::vector<Write> Writes = writesOf(Done.m_Persist);
  const bool Crashes = !m_Healed && !Writes.empty() && happens(CrashPerMille);
  // A crash leaves a front part of what was being written, and nothing of the
  // step is told to anyone.
  const std::size_t Reached = Crashes ? pick(Writes.size() + 1) : Writes.size();
  for (std::size_t At = 0; At < Reached; ++At)
    put(Which.m_Disk, Writes[At]);
  if (Crashes) {
    ++m_Report.m_Counts.m_TornWrites;
    crash(Which);
    return;
  }
  checkLeadership(Which, Done);
  if (Done.m_Install) {
    ++m_Report.m_Counts.m_Installs;
    install(Which, *Done.m_Install);
  }
  for (const Record &Each : Done.m_Committed)
    apply(Which, Each);
  for (const Decision &Each : Done.m_Decisions)
    if (Each.m_Verdict == Verdict::Committed) {
      ++m_Report.m_Counts.m_Acknowledged;
      m_Acknowledged[Each.m_Token] = Each.m_Index;
    }
  for (const Message &Each : Done.m_Messages)
    post(Each);
}

void World::apply(Node &Which, const Record &Next) {
  const auto [Known, Fresh] = m_Committed.emplace(Next.m_Index, Next);
  if (!(Known->second == Next))
    return fail(fmt::format("{} committed another record {} than before",
                            Which.m_Id.m_Value, Next.m_Index));
  m_Report.m_Counts.m_Commits += Fresh ? 1 : 0;
  Machine &Into = Which.m_Machine;
  if (Next.m_Index != Into.m_Index + 1)
    return fail(fmt::format("{} applied record {} after {}", Which.m_Id.m_Value,
                            Next.m_Index, Into.m_Index));
  Into.m_Index = Next.m_Index;
  Into.m_Hash = hashBytes(Next.m_Payload, Into.m_Hash);
  m_HashAt.emplace(Into.m_Index, Into.m_Hash);
  if (Next.m_Kind != RecordKind::Membership || !Fresh)
    return;
  const Membership Now = valueOf(decodeMembership(Next.m_Payload));
  for (const Member &Each : Now.m_Members)
    if (Each.m_Voter &&
        find(Each.m_Id)->m_Disk.m_Incarnation == Each.m_Incarnation)
      m_Repaired = Each.m_Id;
}

void World::install(Node &Which, const Snapshot &From) {
  Which.m_Machine.m_Index = From.m_Index;
  Which.m_Machine.m_Hash = std::stoull(From.m_Data);
  if (m_HashAt[From.m_Index] != Which.m_Machine.m_Hash)
    fail(fmt::format("{} installed a snapshot of another state at {}",
                     Which.m_Id.m_Value, From.m_Index));
}

void World::deliver() {
  std::vector<Flight> Waiting;
  std::vector<Message> Due;
  for (Flight &Each : m_Flights) {
    if (Each.m_At <= m_Now)
      Due.push_back(std::move(Each.m_Message));
    else
      Waiting.push_back(std::move(Each));
  }
  m_Flights = std::move(Waiting);
  std::shuffle(Due.begin(), Due.end(), m_Rng);
  for (Message &Each : Due) {
    Node *To = find(Each.m_To);
    if (To != nullptr && To->m_State)
      To->m_Inbox.push_back(std::move(Each));
  }
}

void World::turn(Node &Which) {
  if (!Which.m_State && m_Now >= Which.m_StartAt)
    startNode(Which);
  if (!Which.m_State || m_Now < Which.m_PausedUntil)
    return;
  const std::vector<Message> Inbox = std::exchange(Which.m_Inbox, {});
  for (const Message &Each : Inbox)
    act(Which, Receive{Each});
  act(Which, Tick{});
}

// --- Load and faults ------------------------------------------------------

void World::propose() {
  constexpr int ProposePerMille = 250;
  constexpr std::size_t LargestBatch = 6;
  constexpr int QuietPerMille = 4;
  if (happens(QuietPerMille))
    m_QuietUntil = m_Now + pickDuration(4s);
  if (m_Now < m_QuietUntil || !happens(ProposePerMille))
    return;
  Node *To = happens(PerMille / 5) ? &m_Nodes[pick(m_Nodes.size())] : leader();
  if (To == nullptr || m_Now < To->m_PausedUntil)
    return;
  Propose Batch;
  for (std::size_t Count = 1 + pick(LargestBatch); Count > 0; --Count) {
    ++m_LastToken;
    Batch.m_Proposals.push_back({m_LastToken, std::to_string(m_LastToken)});
  }
  act(*To, Batch);
}

void World::takeSnapshots() {
  constexpr int SnapshotPerMille = 4;
  for (Node &Each : m_Nodes) {
    if (!Each.m_State || Each.m_Machine.m_Index == 0 ||
        !happens(SnapshotPerMille))
      continue;
    ++m_Report.m_Counts.m_Snapshots;
    act(Each, SnapshotTaken{Each.m_Machine.m_Index,
                            std::to_string(Each.m_Machine.m_Hash)});
  }
}

/// Admits the new disks that the leader has seen.
void World::repair() {
  constexpr int RepairPerMille = 50;
  Node *At = leader();
  if (At == nullptr || !happens(RepairPerMille))
    return;
  for (const auto &[Id, Incarnation] : At->m_State->m_UnknownIncarnations) {
    const Node *Stranger = find(Id);
    if (Stranger == nullptr || Stranger->m_Disk.m_Incarnation != Incarnation)
      continue;
    ++m_Report.m_Counts.m_Changes;
    act(*At, ChangeMembership{++m_LastToken, ReplaceMember{Id, Incarnation}});
    return;
  }
}

void World::changeMembers() {
  Node *At = leader();
  if (At == nullptr)
    return;
  const Membership &Now = At->m_State->m_Membership;
  Node &Other = m_Nodes[pick(m_Nodes.size())];
  const bool IsMember = findMember(Now, Other.m_Id) != nullptr;
  if (!IsMember && Other.m_IsSpare) {
    Other.m_IsSpare = false;
    ++m_Report.m_Counts.m_Changes;
    const Member Added{Other.m_Id, Other.m_Disk.m_Incarnation, false, "", {},
                       {}};
    return act(*At, ChangeMembership{++m_LastToken, AddLearner{Added}});
  }
  if (IsMember && voterCount(Now) > SmallestVoterCount &&
      toleratesLossOf(Other)) {
    ++m_Report.m_Counts.m_Changes;
    act(*At, ChangeMembership{++m_LastToken, RemoveMember{Other.m_Id}});
  }
}

void World::partition() {
  ++m_Report.m_Counts.m_Partitions;
  m_Cut.clear();
  m_CutUntil = m_Now + pickDuration(4s);
  const bool OneWay = happens(PerMille / 4);
  Node *Leads = leader();
  if (Leads != nullptr && happens(PerMille / 3)) {
    const NodeId &Other = m_Nodes[pick(m_Nodes.size())].m_Id;
    m_Cut.insert({Leads->m_Id, Other});
    m_Cut.insert({Other, Leads->m_Id});
    return;
  }
  std::set<NodeId> Side;
  for (const Node &Each : m_Nodes)
    if (happens(PerMille / 3))
      Side.insert(Each.m_Id);
  if (Leads != nullptr && happens(PerMille / 2))
    Side = {Leads->m_Id};
  for (const Node &From : m_Nodes)
    for (const Node &To : m_Nodes) {
      const bool Leaves = Side.count(From.m_Id) > Side.count(To.m_Id);
      const bool Enters = Side.count(From.m_Id) < Side.count(To.m_Id);
      if (Leaves || (Enters && !OneWay))
        m_Cut.insert({From.m_Id, To.m_Id});
    }
}

/// Takes another disk away as soon as a repair counts.
void World::secondLoss() {
  if (m_Repaired.empty())
    return;
  const NodeId Repaired = std::exchange(m_Repaired, {});
  if (!happens(PerMille / 2))
    return;
  for (Node &Each : m_Nodes) {
    if (Each.m_Id == Repaired || Each.m_IsSpare || !toleratesLossOf(Each))
      continue;
    ++m_Report.m_Counts.m_SecondLosses;
    return wipe(Each);
  }
}

void World::injectFaults() {
  Node &Victim = m_Nodes[pick(m_Nodes.size())];
  Node *Leads = leader();
  if (m_Now >= m_CutUntil)
    m_Cut.clear();
  if (Victim.m_State && happens(3))
    crash(Victim);
  if (Leads != nullptr && happens(1))
    crash(*Leads);
  if (happens(4)) {
    ++m_Report.m_Counts.m_Pauses;
    Node &Paused = Leads != nullptr && happens(PerMille / 2) ? *Leads : Victim;
    Paused.m_PausedUntil = m_Now + pickDuration(3s);
  }
  if (m_Cut.empty() && happens(4))
    partition();
  if (happens(2) && !Victim.m_IsSpare && toleratesLossOf(Victim))
    wipe(Victim);
  if (happens(3))
    changeMembers();
  if (Leads != nullptr && happens(3)) {
    ++m_Report.m_Counts.m_Transfers;
    act(*Leads, TransferLeadership{});
  }
  secondLoss();
}

void World::heal() {
  m_Healed = true;
  m_Cut.clear();
  for (Node &Each : m_Nodes) {
    Each.m_PausedUntil = {};
    Each.m_StartAt = std::min(Each.m_StartAt, m_Now);
  }
}

// --- Checks ---------------------------------------------------------------

void World::fail(std::string What) {
  if (m_Report.m_Failure.empty())
    m_Report.m_Failure = std::move(What);
}

/// State of every member, for the report of a failure.
std::string World::describeNodes() const {
  std::string Text;
  for (const Node &Each : m_Nodes) {
    Text += fmt::format("\n  {} disk={:.6}", Each.m_Id.m_Value,
                        Each.m_Disk.m_Incarnation);
    if (!Each.m_State) {
      Text += " down";
      continue;
    }
    const State &Of = *Each.m_State;
    Text += fmt::format(" role={} term={} vote={} last={}/{} commit={} "
                        "members:",
                        static_cast<int>(Of.m_Role), Of.m_HardState.m_Term,
                        Of.m_HardState.m_VotedFor.m_Value, lastTerm(Of),
                        lastIndex(Of), Of.m_CommitIndex);
    for (const Member &Known : Of.m_Membership.m_Members)
      Text += fmt::format(" {}:{:.6}:{}", Known.m_Id.m_Value,
                          Known.m_Incarnation, Known.m_Voter ? "v" : "l");
  }
  return Text;
}

void World::checkLeadership(const Node &Of, const Actions &Done) {
  for (const Leadership Each : Done.m_Leadership) {
    if (Each != Leadership::Gained)
      continue;
    ++m_Report.m_Counts.m_Elections;
    const Term At = Of.m_State->m_HardState.m_Term;
    const auto [Known, Fresh] = m_LeaderOf.emplace(At, Of.m_Id);
    if (!Fresh && Known->second != Of.m_Id)
      fail(fmt::format("{} and {} both lead term {}", Known->second.m_Value,
                       Of.m_Id.m_Value, At));
  }
}

void World::checkLeases() {
  const Node *Holder = nullptr;
  for (const Node &Each : m_Nodes) {
    if (!Each.m_State || !holdsLease(*Each.m_State, clockOf(Each)))
      continue;
    if (Holder != nullptr)
      return fail(fmt::format("{} and {} hold a lease at once",
                              Holder->m_Id.m_Value, Each.m_Id.m_Value));
    Holder = &Each;
  }
}

void World::checkHealed() {
  const Node *At = leader();
  if (At == nullptr)
    return fail("no leader after healing");
  const Membership &Now = At->m_State->m_Membership;
  const auto Marker = m_Acknowledged.find(m_LastToken);
  if (Marker == m_Acknowledged.end())
    return fail("no commit after healing");
  for (const auto &[Token, Index] : m_Acknowledged) {
    const auto Found = m_Committed.find(Index);
    const bool Kept = Found != m_Committed.end() &&
                      (Found->second.m_Kind == RecordKind::Membership ||
                       Found->second.m_Payload == std::to_string(Token));
    if (!Kept)
      return fail(fmt::format("acknowledged proposal {} is lost", Token));
  }
  for (const Member &Each : Now.m_Members) {
    const Node *Has = find(Each.m_Id);
    if (Each.m_Voter && Has->m_Disk.m_Incarnation == Each.m_Incarnation &&
        Has->m_Machine.m_Index < Marker->second)
      return fail(
          fmt::format("{} has not caught up after healing", Each.m_Id.m_Value));
  }
}

void World::turnAll() {
  m_Now += StepLength;
  deliver();
  for (Node &Each : m_Nodes)
    turn(Each);
  checkLeases();
  ++m_Report.m_Counts.m_Steps;
}

void World::runUntil(TimePoint End) {
  while (m_Now < End && m_Report.m_Failure.empty())
    turnAll();
}

RunReport World::run() {
  ++m_Report.m_Counts.m_Runs;
  for (std::uint64_t At = 0; At < m_With.m_Steps && m_Report.m_Failure.empty();
       ++At) {
    turnAll();
    propose();
    takeSnapshots();
    repair();
    injectFaults();
    checkLeases();
  }
  heal();
  runUntil(m_Now + HealedTime / 2);
  if (Node *At = leader(); At != nullptr)
    act(*At, Propose{{{++m_LastToken, std::to_string(m_LastToken)}}});
  runUntil(m_Now + HealedTime / 2);
  if (m_Report.m_Failure.empty())
    checkHealed();
  if (!m_Report.m_Failure.empty())
    m_Report.m_Failure += describeNodes();
  return m_Report;
}

} // namespace

Counts &Counts::operator+=(const Counts &Other) {
  m_Runs += Other.m_Runs;
  m_Steps += Other.m_Steps;
  m_Elections += Other.m_Elections;
  m_Commits += Other.m_Commits;
  m_Acknowledged += Other.m_Acknowledged;
  m_Lost += Other.m_Lost;
  m_Repeated += Other.m_Repeated;
  m_Delayed += Other.m_Delayed;
  m_Crashes += Other.m_Crashes;
  m_TornWrites += Other.m_TornWrites;
  m_Pauses += Other.m_Pauses;
  m_Partitions += Other.m_Partitions;
  m_EmptyDisks += Other.m_EmptyDisks;
  m_SecondLosses += Other.m_SecondLosses;
  m_Changes += Other.m_Changes;
  m_Transfers += Other.m_Transfers;
  m_Snapshots += Other.m_Snapshots;
  m_Installs += Other.m_Installs;
  return *this;
}

std::string describe(const Counts &Value) {
  return fmt::format(
      "runs={} steps={} elections={} commits={} acknowledged={} lost={} "
      "repeated={} delayed={} crashes={} torn_writes={} pauses={} "
      "partitions={} empty_disks={} second_losses={} changes={} transfers={} "
      "snapshots={} installs={}",
      Value.m_Runs, Value.m_Steps, Value.m_Elections, Value.m_Commits,
      Value.m_Acknowledged, Value.m_Lost, Value.m_Repeated, Value.m_Delayed,
      Value.m_Crashes, Value.m_TornWrites, Value.m_Pauses, Value.m_Partitions,
      Value.m_EmptyDisks, Value.m_SecondLosses, Value.m_Changes,
      Value.m_Transfers, Value.m_Snapshots, Value.m_Installs);
}

std::string checkEarlierTermCommit() {
  Membership Members;
  for (const char *Id : {"c1", "c2", "c3"})
    Members.m_Members.push_back({{Id}, Id, true, "", {}, {}});
  const Record Old{2, 2, RecordKind::Command, "old"};
  Random Rng(1);
  Options Own;
  Own.m_Self = {"c1"};
  Own.m_Incarnation = "c1";
  TimePoint Now{1h};
  State Self =
      start(Own, {{3, {}}, nullptr, {firstRecord(Members), Old}}, Now, Rng);
  Now += Own.m_Timing.m_ElectionMax;
  step(Self, Tick{}, Now, Rng);
  const auto Answer = [&](Term At, Body Content) {
    const Message From{{"c2"}, "c2", {"c1"}, "", At, std::move(Content)};
    step(Self, Receive{From}, Now, Rng);
  };
  Answer(4, VoteReply{true, true});
  Answer(4, VoteReply{false, true});
  if (Self.m_Role != Role::Leader)
    return "no leader was elected";
  Answer(4, AppendReply{true, Old.m_Index, Self.m_Round});
  if (Self.m_CommitIndex != 0)
    return "a record of an earlier term was committed by counting";
  Answer(4, AppendReply{true, Self.m_TermStart, Self.m_Round});
  return Self.m_CommitIndex == Self.m_TermStart
             ? ""
             : "a record of this term did not commit those before it";
}

RunReport run(const RunOptions &With) {
#if WASABIVALE_MUTATIONS
  try {
    return World(With).run();
  } catch (const InvariantViolation &Broken) {
    return {{}, "invariant: " + Broken.m_Condition};
  }
#else
  return World(With).run();
#endif
}

} // namespace wasabivale::consensus
