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
constexpr Duration RecoveryTime = 40s;

/// Durable contents of a member's disk.
struct Disk {
  std::string m_Incarnation;
  HardState m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot;
  std::vector<Record> m_Records;
};

/// State machine: a hash of all applied records.
struct StateMachine {
  Index m_Index = 0;
  std::uint64_t m_Hash = 0;
};

struct Node {
  NodeId m_Id;
  Disk m_Disk;
  std::optional<State> m_State; ///< Empty while the process is down.
  StateMachine m_StateMachine;
  TimePoint m_StartAt;      ///< Start time of a process that is down.
  TimePoint m_PausedUntil;  ///< The process handles nothing until then.
  std::int64_t m_Drift = 0; ///< Clock drift in per mille, either sign.
  Duration m_ClockOffset{0};
  std::vector<Message> m_Inbox;
  bool m_IsSpare = false;
};

struct MessageInFlight {
  TimePoint m_DeliverAt;
  Message m_Message;
};

/// One write of a step, in the order in which the writes reach the disk.
struct Write {
  std::optional<HardState> m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot;
  bool m_DropLog = false;
  Index m_TruncateFrom = 0;
  std::optional<Record> m_Record;
};

std::vector<Write> writesFrom(const Persist &Changes) {
  std::vector<Write> Writes;
  if (Changes.m_HardState)
    Writes.push_back({Changes.m_HardState, nullptr, false, 0, std::nullopt});
  if (Changes.m_Snapshot)
    Writes.push_back(
        {std::nullopt, Changes.m_Snapshot, Changes.m_DropLog, 0, std::nullopt});
  if (Changes.m_TruncateFrom != 0)
    Writes.push_back(
        {std::nullopt, nullptr, false, Changes.m_TruncateFrom, std::nullopt});
  for (const Record &Record : Changes.m_Records)
    Writes.push_back({std::nullopt, nullptr, false, 0, Record});
  return Writes;
}

void applyWrite(Disk &Storage, const Write &Change) {
  if (Change.m_HardState)
    Storage.m_HardState = *Change.m_HardState;
  if (Change.m_Snapshot)
    Storage.m_Snapshot = Change.m_Snapshot;
  if (Change.m_DropLog)
    Storage.m_Records.clear();
  if (Change.m_TruncateFrom != 0)
    while (!Storage.m_Records.empty() &&
           Storage.m_Records.back().m_Index >= Change.m_TruncateFrom)
      Storage.m_Records.pop_back();
  if (Change.m_Record)
    Storage.m_Records.push_back(*Change.m_Record);
}

class Simulation {
public:
  explicit Simulation(const RunOptions &Settings);
  RunReport run();

private:
  // Randomness.
  std::uint64_t pick(std::uint64_t Below) { return m_Rng() % Below; }
  bool chance(int OutOfThousand) {
    return static_cast<int>(pick(PerMille)) < OutOfThousand;
  }
  Duration pickDuration(Duration Longest) {
    return Duration(static_cast<Duration::rep>(
        pick(static_cast<std::uint64_t>(Longest.count()))));
  }

  // Members.
  [[nodiscard]] TimePoint clockOf(const Node &Node) const;
  void startNode(Node &Node);
  void crash(Node &Node);
  void replaceDisk(Node &Node);
  [[nodiscard]] Options optionsOf(const Node &Node) const;
  Node *leader();
  Node *findNode(const NodeId &Id);
  [[nodiscard]] bool toleratesLossOf(const Node &Excluded) const;
  [[nodiscard]] bool hasQuorumWithout(const Membership &Members,
                                      const Node &Excluded) const;

  // Steps.
  void handleEvent(Node &Node, const Event &Input);
  void perform(Node &Node, const Actions &Result);
  void apply(Node &Node, const Record &Record);
  void install(Node &Node, const Snapshot &Snapshot);
  void sendMessage(const Message &Sent);
  void deliver();
  void runNode(Node &Node);
  void runStep();
  void runUntil(TimePoint End);

  // Load and faults.
  void propose();
  void takeSnapshots();
  void repair();
  void injectFaults();
  void changeMembers();
  void loseSecondDisk();
  void partition();
  void heal();

  // Checks.
  void fail(std::string Text);
  void checkLeases();
  void checkLeadership(const Node &Node, const Actions &Result);
  void checkHealed();
  [[nodiscard]] std::string describeNodes() const;

  RunOptions m_Options;
  Random m_Rng;
  TimePoint m_Now{1h};
  std::vector<Node> m_Nodes;
  std::vector<MessageInFlight> m_InFlight;
  std::set<std::pair<NodeId, NodeId>> m_CutLinks;
  TimePoint m_PartitionEnd;
  TimePoint m_NextProposalAt; ///< No proposals until then.
  bool m_Healed = false;
  RunReport m_Report;
  std::uint64_t m_LastToken = 0;
  NodeId m_PromotedNode; ///< Promoted in this step; empty if none.

  std::map<Term, NodeId> m_LeaderByTerm;
  std::map<Index, Record> m_Committed;
  std::map<Index, std::uint64_t> m_HashByIndex;
  std::map<std::uint64_t, Index> m_Acknowledged;
};

Simulation::Simulation(const RunOptions &Settings)
    : m_Options(Settings), m_Rng(Settings.m_Seed) {
  const std::size_t InitialCount =
      SmallestVoterCount +
      pick(LargestFirstMembership - SmallestVoterCount + 1);
  Membership Initial;
  for (std::size_t Number = 0; Number < InitialCount + SpareNodes; ++Number) {
    Node NewNode;
    NewNode.m_Id = {fmt::format("c{}", Number + 1)};
    NewNode.m_Disk.m_Incarnation = fmt::format("{:x}", m_Rng());
    NewNode.m_Drift =
        static_cast<std::int64_t>(pick(2 * ClockDriftPerMille + 1)) -
        ClockDriftPerMille;
    NewNode.m_ClockOffset = pickDuration(1h);
    NewNode.m_IsSpare = Number >= InitialCount;
    if (!NewNode.m_IsSpare)
      Initial.m_Members.push_back(
          {NewNode.m_Id, NewNode.m_Disk.m_Incarnation, true, "", {}, {}});
    m_Nodes.push_back(NewNode);
  }
  for (Node &Node : m_Nodes) {
    if (!Node.m_IsSpare) {
      Node.m_Disk.m_HardState.m_Term = 1;
      Node.m_Disk.m_Records = {firstRecord(Initial)};
    }
    startNode(Node);
  }
  m_Committed[1] = firstRecord(Initial);
}

TimePoint Simulation::clockOf(const Node &Node) const {
  const Duration Elapsed = m_Now.time_since_epoch();
  return m_Now + Node.m_ClockOffset + Elapsed * Node.m_Drift / PerMille;
}

Options Simulation::optionsOf(const Node &Node) const {
  Options Settings;
  Settings.m_Self = Node.m_Id;
  Settings.m_Incarnation = Node.m_Disk.m_Incarnation;
  Settings.m_Limits.m_MessageRecords = 4;
  Settings.m_Limits.m_SnapshotPartBytes = 5;
  Settings.m_Limits.m_TrailingRecords = 8;
  Settings.m_Limits.m_CaughtUpLag = 4;
  return Settings;
}

void Simulation::startNode(Node &Node) {
  const Disk &Storage = Node.m_Disk;
  Node.m_State =
      start(optionsOf(Node),
            {Storage.m_HardState, Storage.m_Snapshot, Storage.m_Records},
            clockOf(Node), m_Rng);
  Node.m_StateMachine = {};
  Node.m_Inbox.clear();
  if (Storage.m_Snapshot)
    install(Node, *Storage.m_Snapshot);
}

void Simulation::crash(Node &Node) {
  ++m_Report.m_Counts.m_Crashes;
  Node.m_State.reset();
  Node.m_Inbox.clear();
  Node.m_StartAt = m_Now + pickDuration(3s);
}

void Simulation::replaceDisk(Node &Node) {
  ++m_Report.m_Counts.m_EmptyDisks;
  Node.m_State.reset();
  Node.m_Inbox.clear();
  Node.m_Disk = {};
  Node.m_Disk.m_Incarnation = fmt::format("{:x}", m_Rng());
  Node.m_StartAt = m_Now + pickDuration(2s);
}

Node *Simulation::findNode(const NodeId &Id) {
  for (Node &Node : m_Nodes)
    if (Node.m_Id == Id)
      return &Node;
  return nullptr;
}

Node *Simulation::leader() {
  Node *Newest = nullptr;
  for (Node &Node : m_Nodes)
    if (Node.m_State && Node.m_State->m_Role == Role::Leader &&
        (Newest == nullptr || Node.m_State->m_HardState.m_Term >
                                  Newest->m_State->m_HardState.m_Term))
      Newest = &Node;
  return Newest;
}

bool Simulation::hasQuorumWithout(const Membership &Members,
                                  const Node &Excluded) const {
  std::size_t Intact = 0;
  for (const Member &Member : Members.m_Members)
    for (const Node &Owner : m_Nodes)
      Intact += Member.m_Voter && Owner.m_Id == Member.m_Id &&
                        Owner.m_Disk.m_Incarnation == Member.m_Incarnation &&
                        Owner.m_Id != Excluded.m_Id
                    ? 1
                    : 0;
  return Intact >= quorumSize(Members);
}

/// Whether every membership that may still be in use keeps a quorum of disks.
bool Simulation::toleratesLossOf(const Node &Excluded) const {
  for (const Node &Observer : m_Nodes) {
    // An outdated membership need not keep its quorum, but requiring that costs
    // little.
    if (!Observer.m_State)
      return false;
    const Membership &Members = Observer.m_State->m_Membership;
    if (!Members.m_Members.empty() && !Observer.m_IsSpare &&
        !hasQuorumWithout(Members, Excluded))
      return false;
  }
  return true;
}

// --- Steps ----------------------------------------------------------------

void Simulation::sendMessage(const Message &Sent) {
  constexpr int LostPerMille = 40;
  constexpr int RepeatedPerMille = 30;
  constexpr int DelayedPerMille = 60;
  if (m_CutLinks.count({Sent.m_From, Sent.m_To}) != 0 ||
      (!m_Healed && chance(LostPerMille))) {
    ++m_Report.m_Counts.m_Lost;
    return;
  }
  Duration Delay = 1ms + pickDuration(8ms);
  if (!m_Healed && chance(DelayedPerMille)) {
    ++m_Report.m_Counts.m_Delayed;
    Delay += pickDuration(2s);
  }
  m_InFlight.push_back({m_Now + Delay, Sent});
  if (!m_Healed && chance(RepeatedPerMille)) {
    ++m_Report.m_Counts.m_Repeated;
    m_InFlight.push_back({m_Now + pickDuration(1s), Sent});
  }
}

void Simulation::handleEvent(Node &Node, const Event &Input) {
  if (!Node.m_State || !m_Report.m_Failure.empty())
    return;
  perform(Node, step(*Node.m_State, Input, clockOf(Node), m_Rng));
}

void Simulation::perform(Node &Node, const Actions &Result) {
  constexpr int CrashPerMille = 1;
  const std::vector<Write> Writes = writesFrom(Result.m_Persist);
  const bool CrashesNow = !m_Healed && !Writes.empty() && chance(CrashPerMille);
  // A crash leaves a prefix of the writes on disk, and none of the step's other
  // actions is performed.
  const std::size_t WrittenCount =
      CrashesNow ? pick(Writes.size() + 1) : Writes.size();
  for (std::size_t Number = 0; Number < WrittenCount; ++Number)
    applyWrite(Node.m_Disk, Writes[Number]);
  if (CrashesNow) {
    ++m_Report.m_Counts.m_TornWrites;
    crash(Node);
    return;
  }
  checkLeadership(Node, Result);
  if (Result.m_Install) {
    ++m_Report.m_Counts.m_Installs;
    install(Node, *Result.m_Install);
  }
  for (const Record &Record : Result.m_Committed)
    apply(Node, Record);
  for (const Decision &Decision : Result.m_Decisions)
    if (Decision.m_Verdict == Verdict::Committed) {
      ++m_Report.m_Counts.m_Acknowledged;
      m_Acknowledged[Decision.m_Token] = Decision.m_Index;
    }
  for (const Message &Message : Result.m_Messages)
    sendMessage(Message);
}

void Simulation::apply(Node &Node, const Record &Record) {
  const auto [Existing, IsNew] = m_Committed.emplace(Record.m_Index, Record);
  if (!(Existing->second == Record))
    return fail(fmt::format("{} committed a different record at index {}",
                            Node.m_Id.m_Value, Record.m_Index));
  m_Report.m_Counts.m_Commits += IsNew ? 1 : 0;
  StateMachine &Applied = Node.m_StateMachine;
  if (Record.m_Index != Applied.m_Index + 1)
    return fail(fmt::format("{} applied record {} after {}", Node.m_Id.m_Value,
                            Record.m_Index, Applied.m_Index));
  Applied.m_Index = Record.m_Index;
  Applied.m_Hash = hashBytes(Record.m_Payload, Applied.m_Hash);
  m_HashByIndex.emplace(Applied.m_Index, Applied.m_Hash);
  if (Record.m_Kind != RecordKind::Membership || !IsNew)
    return;
  const Membership Current = valueOf(decodeMembership(Record.m_Payload));
  for (const Member &Member : Current.m_Members)
    if (Member.m_Voter &&
        findNode(Member.m_Id)->m_Disk.m_Incarnation == Member.m_Incarnation)
      m_PromotedNode = Member.m_Id;
}

void Simulation::install(Node &Node, const Snapshot &Snapshot) {
  Node.m_StateMachine.m_Index = Snapshot.m_Index;
  Node.m_StateMachine.m_Hash = std::stoull(Snapshot.m_Data);
  if (m_HashByIndex[Snapshot.m_Index] != Node.m_StateMachine.m_Hash)
    fail(fmt::format(
        "{} installed a snapshot with a different state at index {}",
        Node.m_Id.m_Value, Snapshot.m_Index));
}

void Simulation::deliver() {
  std::vector<MessageInFlight> Waiting;
  std::vector<Message> Due;
  for (MessageInFlight &Pending : m_InFlight) {
    if (Pending.m_DeliverAt <= m_Now)
      Due.push_back(std::move(Pending.m_Message));
    else
      Waiting.push_back(std::move(Pending));
  }
  m_InFlight = std::move(Waiting);
  std::shuffle(Due.begin(), Due.end(), m_Rng);
  for (Message &Message : Due) {
    Node *Receiver = findNode(Message.m_To);
    if (Receiver != nullptr && Receiver->m_State)
      Receiver->m_Inbox.push_back(std::move(Message));
  }
}

void Simulation::runNode(Node &Node) {
  if (!Node.m_State && m_Now >= Node.m_StartAt)
    startNode(Node);
  if (!Node.m_State || m_Now < Node.m_PausedUntil)
    return;
  const std::vector<Message> Inbox = std::exchange(Node.m_Inbox, {});
  for (const Message &Received : Inbox)
    handleEvent(Node, Receive{Received});
  handleEvent(Node, Tick{});
}

// --- Load and faults ------------------------------------------------------

void Simulation::propose() {
  constexpr int ProposePerMille = 250;
  constexpr std::size_t LargestBatch = 6;
  constexpr int QuietPerMille = 4;
  if (chance(QuietPerMille))
    m_NextProposalAt = m_Now + pickDuration(4s);
  if (m_Now < m_NextProposalAt || !chance(ProposePerMille))
    return;
  Node *Proposer =
      chance(PerMille / 5) ? &m_Nodes[pick(m_Nodes.size())] : leader();
  if (Proposer == nullptr || m_Now < Proposer->m_PausedUntil)
    return;
  Propose Batch;
  for (std::size_t Count = 1 + pick(LargestBatch); Count > 0; --Count) {
    ++m_LastToken;
    Batch.m_Proposals.push_back({m_LastToken, std::to_string(m_LastToken)});
  }
  handleEvent(*Proposer, Batch);
}

void Simulation::takeSnapshots() {
  constexpr int SnapshotPerMille = 4;
  for (Node &Node : m_Nodes) {
    if (!Node.m_State || Node.m_StateMachine.m_Index == 0 ||
        !chance(SnapshotPerMille))
      continue;
    ++m_Report.m_Counts.m_Snapshots;
    handleEvent(Node,
                SnapshotTaken{Node.m_StateMachine.m_Index,
                              std::to_string(Node.m_StateMachine.m_Hash)});
  }
}

/// Replaces the disks whose new incarnations the leader has seen.
void Simulation::repair() {
  constexpr int RepairPerMille = 50;
  Node *Leader = leader();
  if (Leader == nullptr || !chance(RepairPerMille))
    return;
  for (const auto &[Id, Incarnation] : Leader->m_State->m_UnknownIncarnations) {
    const Node *Newcomer = findNode(Id);
    if (Newcomer == nullptr || Newcomer->m_Disk.m_Incarnation != Incarnation)
      continue;
    ++m_Report.m_Counts.m_Changes;
    handleEvent(*Leader, ChangeMembership{++m_LastToken,
                                          ReplaceMember{Id, Incarnation}});
    return;
  }
}

void Simulation::changeMembers() {
  Node *Leader = leader();
  if (Leader == nullptr)
    return;
  const Membership &Members = Leader->m_State->m_Membership;
  Node &Other = m_Nodes[pick(m_Nodes.size())];
  const bool IsMember = findMember(Members, Other.m_Id) != nullptr;
  if (!IsMember && Other.m_IsSpare) {
    Other.m_IsSpare = false;
    ++m_Report.m_Counts.m_Changes;
    const Member Added{Other.m_Id, Other.m_Disk.m_Incarnation, false, "", {},
                       {}};
    return handleEvent(*Leader,
                       ChangeMembership{++m_LastToken, AddLearner{Added}});
  }
  if (IsMember && voterCount(Members) > SmallestVoterCount &&
      toleratesLossOf(Other)) {
    ++m_Report.m_Counts.m_Changes;
    handleEvent(*Leader,
                ChangeMembership{++m_LastToken, RemoveMember{Other.m_Id}});
  }
}

void Simulation::partition() {
  ++m_Report.m_Counts.m_Partitions;
  m_CutLinks.clear();
  m_PartitionEnd = m_Now + pickDuration(4s);
  const bool IsOneWay = chance(PerMille / 4);
  Node *Leader = leader();
  if (Leader != nullptr && chance(PerMille / 3)) {
    const NodeId &Other = m_Nodes[pick(m_Nodes.size())].m_Id;
    m_CutLinks.insert({Leader->m_Id, Other});
    m_CutLinks.insert({Other, Leader->m_Id});
    return;
  }
  std::set<NodeId> Side;
  for (const Node &Node : m_Nodes)
    if (chance(PerMille / 3))
      Side.insert(Node.m_Id);
  if (Leader != nullptr && chance(PerMille / 2))
    Side = {Leader->m_Id};
  for (const Node &From : m_Nodes)
    for (const Node &To : m_Nodes) {
      const bool IsOutgoing = Side.count(From.m_Id) > Side.count(To.m_Id);
      const bool IsIncoming = Side.count(From.m_Id) < Side.count(To.m_Id);
      if (IsOutgoing || (IsIncoming && !IsOneWay))
        m_CutLinks.insert({From.m_Id, To.m_Id});
    }
}

/// Removes a second disk as soon as a repaired member has become a voter.
void Simulation::loseSecondDisk() {
  if (m_PromotedNode.empty())
    return;
  const NodeId Repaired = std::exchange(m_PromotedNode, {});
  if (!chance(PerMille / 2))
    return;
  for (Node &Node : m_Nodes) {
    if (Node.m_Id == Repaired || Node.m_IsSpare || !toleratesLossOf(Node))
      continue;
    ++m_Report.m_Counts.m_SecondLosses;
    return replaceDisk(Node);
  }
}

void Simulation::injectFaults() {
  Node &Victim = m_Nodes[pick(m_Nodes.size())];
  Node *Leader = leader();
  if (m_Now >= m_PartitionEnd)
    m_CutLinks.clear();
  if (Victim.m_State && chance(3))
    crash(Victim);
  if (Leader != nullptr && chance(1))
    crash(*Leader);
  if (chance(4)) {
    ++m_Report.m_Counts.m_Pauses;
    Node &Paused = Leader != nullptr && chance(PerMille / 2) ? *Leader : Victim;
    Paused.m_PausedUntil = m_Now + pickDuration(3s);
  }
  if (m_CutLinks.empty() && chance(4))
    partition();
  if (chance(2) && !Victim.m_IsSpare && toleratesLossOf(Victim))
    replaceDisk(Victim);
  if (chance(3))
    changeMembers();
  if (Leader != nullptr && chance(3)) {
    ++m_Report.m_Counts.m_Transfers;
    handleEvent(*Leader, TransferLeadership{});
  }
  loseSecondDisk();
}

void Simulation::heal() {
  m_Healed = true;
  m_CutLinks.clear();
  for (Node &Node : m_Nodes) {
    Node.m_PausedUntil = {};
    Node.m_StartAt = std::min(Node.m_StartAt, m_Now);
  }
}

// --- Checks ---------------------------------------------------------------

void Simulation::fail(std::string Text) {
  if (m_Report.m_Failure.empty())
    m_Report.m_Failure = std::move(Text);
}

/// \returns the state of every member, for the failure report.
std::string Simulation::describeNodes() const {
  std::string Text;
  for (const Node &Node : m_Nodes) {
    Text += fmt::format("\n  {} disk={:.6}", Node.m_Id.m_Value,
                        Node.m_Disk.m_Incarnation);
    if (!Node.m_State) {
      Text += " down";
      continue;
    }
    const State &NodeState = *Node.m_State;
    Text += fmt::format(
        " role={} term={} vote={} last={}/{} commit={} "
        "members:",
        static_cast<int>(NodeState.m_Role), NodeState.m_HardState.m_Term,
        NodeState.m_HardState.m_VotedFor.m_Value, lastTerm(NodeState),
        lastIndex(NodeState), NodeState.m_CommitIndex);
    for (const Member &Member : NodeState.m_Membership.m_Members)
      Text += fmt::format(" {}:{:.6}:{}", Member.m_Id.m_Value,
                          Member.m_Incarnation, Member.m_Voter ? "v" : "l");
  }
  return Text;
}

void Simulation::checkLeadership(const Node &Node, const Actions &Result) {
  for (const Leadership Change : Result.m_Leadership) {
    if (Change != Leadership::Gained)
      continue;
    ++m_Report.m_Counts.m_Elections;
    const Term NewTerm = Node.m_State->m_HardState.m_Term;
    const auto [Existing, IsNew] = m_LeaderByTerm.emplace(NewTerm, Node.m_Id);
    if (!IsNew && Existing->second != Node.m_Id)
      fail(fmt::format("{} and {} both lead term {}", Existing->second.m_Value,
                       Node.m_Id.m_Value, NewTerm));
  }
}

void Simulation::checkLeases() {
  const Node *Holder = nullptr;
  for (const Node &Node : m_Nodes) {
    if (!Node.m_State || !holdsLease(*Node.m_State, clockOf(Node)))
      continue;
    if (Holder != nullptr)
      return fail(fmt::format("{} and {} hold a lease at the same time",
                              Holder->m_Id.m_Value, Node.m_Id.m_Value));
    Holder = &Node;
  }
}

void Simulation::checkHealed() {
  const Node *Leader = leader();
  if (Leader == nullptr)
    return fail("no leader after healing");
  const Membership &Members = Leader->m_State->m_Membership;
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
  for (const Member &Member : Members.m_Members) {
    const Node *Owner = findNode(Member.m_Id);
    if (Member.m_Voter && Owner->m_Disk.m_Incarnation == Member.m_Incarnation &&
        Owner->m_StateMachine.m_Index < Marker->second)
      return fail(fmt::format("{} has not caught up after healing",
                              Member.m_Id.m_Value));
  }
}

void Simulation::runStep() {
  m_Now += StepLength;
  deliver();
  for (Node &Node : m_Nodes)
    runNode(Node);
  checkLeases();
  ++m_Report.m_Counts.m_Steps;
}

void Simulation::runUntil(TimePoint End) {
  while (m_Now < End && m_Report.m_Failure.empty())
    runStep();
}

RunReport Simulation::run() {
  ++m_Report.m_Counts.m_Runs;
  for (std::uint64_t Number = 0;
       Number < m_Options.m_Steps && m_Report.m_Failure.empty(); ++Number) {
    runStep();
    propose();
    takeSnapshots();
    repair();
    injectFaults();
    checkLeases();
  }
  heal();
  runUntil(m_Now + RecoveryTime / 2);
  if (Node *Number = leader(); Number != nullptr)
    handleEvent(*Number,
                Propose{{{++m_LastToken, std::to_string(m_LastToken)}}});
  runUntil(m_Now + RecoveryTime / 2);
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
  const Record EarlierRecord{2, 2, RecordKind::Command, "old"};
  Random Rng(1);
  Options Settings;
  Settings.m_Self = {"c1"};
  Settings.m_Incarnation = "c1";
  TimePoint Now{1h};
  State Self =
      start(Settings, {{3, {}}, nullptr, {firstRecord(Members), EarlierRecord}},
            Now, Rng);
  Now += Settings.m_Timing.m_ElectionMax;
  step(Self, Tick{}, Now, Rng);
  const auto ReceiveReply = [&](Term ReplyTerm, Body Content) {
    const Message Reply{{"c2"}, "c2",      {"c1"},
                        "",     ReplyTerm, std::move(Content)};
    step(Self, Receive{Reply}, Now, Rng);
  };
  ReceiveReply(4, VoteReply{true, true});
  ReceiveReply(4, VoteReply{false, true});
  if (Self.m_Role != Role::Leader)
    return "no leader was elected";
  ReceiveReply(4, AppendReply{true, EarlierRecord.m_Index, Self.m_Round});
  if (Self.m_CommitIndex != 0)
    return "a record of an earlier term was committed by counting replicas";
  ReceiveReply(4, AppendReply{true, Self.m_TermStart, Self.m_Round});
  return Self.m_CommitIndex == Self.m_TermStart
             ? ""
             : "a record of the current term did not commit the records before "
               "it";
}

RunReport run(const RunOptions &Options) {
#if WASABIVALE_MUTATIONS
  try {
    return Simulation(Options).run();
  } catch (const InvariantViolation &Violation) {
    return {{}, "invariant: " + Violation.m_Condition};
  }
#else
  return Simulation(Options).run();
#endif
}

} // namespace wasabivale::consensus
