#include "store/store.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <random>

using namespace wasabivale;
using namespace wasabivale::consensus;
using store::Store;

namespace {

/// Picks one of \p Count possibilities.
using Choose = std::function<std::size_t(std::size_t Count)>;

constexpr std::size_t SectorBytes = 512;
constexpr int Absent = -1;

/// A disk in memory. After a power loss, each creation, rename and removal of a
/// name since the last sync of the folder is kept or lost on its own, and each
/// write and truncation since the last sync of a file is present, missing, cut
/// at any byte (with or without zeros behind), or has sectors that were not
/// written and read as zeros.
class ModelDisk final : public store::Files {
public:
  /// The power goes off before this many further changes; negative: it stays.
  int m_ChangesLeft = -1;
  /// Number of the sync that does nothing, counted from 1; zero: none.
  std::size_t m_IgnoredSync = 0;
  std::size_t m_Syncs = 0;
  std::size_t m_Changes = 0;
  /// Whether a write may be short, which the next write continues.
  std::function<bool()> m_IsShort = [] { return false; };

  void losePower(const Choose &Pick) {
    m_ChangesLeft = -1;
    m_Open.clear();
    for (auto &[Name, History] : m_Names)
      History = {History[Pick(History.size())]};
    for (File &Stored : m_Files)
      loseWrites(Stored, Pick);
  }

  /// Ends the process; what it wrote stays.
  void kill() {
    m_ChangesLeft = -1;
    m_Open.clear();
  }

  /// Flips one bit of a byte, which does not become zero by it.
  void flip(const std::string &Path, std::size_t Byte) {
    File &Flipped = m_Files[static_cast<std::size_t>(m_Names[Path].back())];
    const char Before = Flipped.m_Now[Byte];
    Flipped.m_Now[Byte] = static_cast<char>(Before == 4 ? 5 : Before ^ 4);
  }

  Status makeFolder(const std::string & /*Path*/) override { return {}; }
  Result<std::vector<std::string>>
  list(const std::string & /*Folder*/) override {
    std::vector<std::string> Names;
    for (const auto &[Path, History] : m_Names)
      if (History.back() != Absent)
        Names.push_back(Path.substr(Path.rfind('/') + 1));
    return Names;
  }
  Result<std::string> read(const std::string &Path) override {
    const auto Found = m_Names.find(Path);
    if (Found == m_Names.end() || Found->second.back() == Absent)
      return Error{"store.read", Path, "No such file or directory"};
    return m_Files[static_cast<std::size_t>(Found->second.back())].m_Now;
  }
  Result<int> open(const std::string &Path) override {
    if (isOff())
      return off();
    auto &History = m_Names.try_emplace(Path, 1, Absent).first->second;
    if (History.back() == Absent) {
      m_Files.emplace_back();
      History.push_back(static_cast<int>(m_Files.size()) - 1);
    }
    m_Open.push_back(History.back());
    return static_cast<int>(m_Open.size()) - 1;
  }
  Result<std::size_t> write(int Handle, std::string_view Bytes) override {
    if (isOff())
      return off();
    if (Bytes.size() > 1 && m_IsShort())
      Bytes = Bytes.substr(0, Bytes.size() / 3 + 1);
    File &Written = file(Handle);
    Written.m_Changes.push_back(
        {false, Written.m_Now.size(), std::string(Bytes)});
    Written.m_Now += Bytes;
    return Bytes.size();
  }
  Status sync(int Handle) override {
    if (isOff())
      return off();
    if (ignoresSync())
      return {};
    File &Synced = file(Handle);
    Synced.m_Synced = Synced.m_Now;
    Synced.m_Changes.clear();
    return {};
  }
  Status truncate(int Handle, std::uint64_t Size) override {
    if (isOff())
      return off();
    File &Shorter = file(Handle);
    Shorter.m_Changes.push_back({true, Size, ""});
    Shorter.m_Now.resize(Size);
    return {};
  }
  void close(int /*Handle*/) override {}
  Status rename(const std::string &From, const std::string &To) override {
    if (isOff())
      return off();
    m_Names.try_emplace(To, 1, Absent)
        .first->second.push_back(m_Names[From].back());
    m_Names[From].push_back(Absent);
    return {};
  }
  Status remove(const std::string &Path) override {
    if (isOff())
      return off();
    const auto Found = m_Names.find(Path);
    if (Found != m_Names.end() && Found->second.back() != Absent)
      Found->second.push_back(Absent);
    return {};
  }
  Status syncFolder(const std::string & /*Folder*/) override {
    if (isOff())
      return off();
    if (ignoresSync())
      return {};
    for (auto &[Path, History] : m_Names)
      History = {History.back()};
    return {};
  }
  Result<std::uint64_t> inode(const std::string & /*Path*/) override {
    return std::uint64_t{1};
  }
  Result<int> lock(const std::string & /*Path*/) override { return 0; }

private:
  struct Change {
    bool m_IsTruncation = false;
    std::size_t m_Offset = 0; ///< The new size of a truncated file.
    std::string m_Bytes;
  };
  struct File {
    std::string m_Synced;
    std::string m_Now;
    std::vector<Change> m_Changes; ///< Since the last sync.
  };
  std::vector<File> m_Files;
  /// What each name stood for since the last sync of the folder.
  std::map<std::string, std::vector<int>> m_Names;
  std::vector<int> m_Open;

  File &file(int Handle) {
    return m_Files[static_cast<std::size_t>(
        m_Open[static_cast<std::size_t>(Handle)])];
  }
  bool isOff() {
    if (m_ChangesLeft == 0)
      return true;
    ++m_Changes;
    if (m_ChangesLeft > 0)
      --m_ChangesLeft;
    return false;
  }
  static Error off() { return {"model", "", "the power is off"}; }
  bool ignoresSync() { return ++m_Syncs == m_IgnoredSync; }

  static void put(std::string &Content, std::size_t Offset,
                  std::string_view Bytes) {
    if (Content.size() < Offset + Bytes.size())
      Content.resize(Offset + Bytes.size(), '\0');
    Content.replace(Offset, Bytes.size(), Bytes);
  }

  static void loseWrites(File &Stored, const Choose &Pick) {
    std::string Content = Stored.m_Synced;
    for (const Change &Done : Stored.m_Changes) {
      enum { Present, Missing, Cut, CutWithZeros, Sectors, Count };
      const std::size_t Outcome = Pick(Done.m_IsTruncation ? 2 : Count);
      const std::size_t Size = Done.m_Bytes.size();
      if (Outcome == Missing)
        continue;
      if (Done.m_IsTruncation)
        Content.resize(std::min(Content.size(), Done.m_Offset));
      else if (Outcome == Present)
        put(Content, Done.m_Offset, Done.m_Bytes);
      else if (Outcome == Sectors)
        writeSectors(Content, Done, Pick);
      else {
        if (Outcome == CutWithZeros)
          put(Content, Done.m_Offset, std::string(Size, '\0'));
        put(Content, Done.m_Offset, Done.m_Bytes.substr(0, Pick(Size + 1)));
      }
    }
    Stored = {Content, Content, {}};
  }

  static void writeSectors(std::string &Content, const Change &Done,
                           const Choose &Pick) {
    std::size_t From = 0;
    while (From < Done.m_Bytes.size()) {
      const std::size_t InSector = (Done.m_Offset + From) % SectorBytes;
      const std::size_t Size =
          std::min(SectorBytes - InSector, Done.m_Bytes.size() - From);
      const std::string Part = Done.m_Bytes.substr(From, Size);
      put(Content, Done.m_Offset + From,
          Pick(2) == 0 ? Part : std::string(Size, '\0'));
      From += Size;
    }
  }
};

/// What a member holds.
struct Held {
  HardState m_Vote;
  Index m_Snapshot = 0;
  Term m_SnapshotTerm = 0;
  std::string m_State;
  std::vector<Record> m_Records; ///< Above the snapshot.

  [[nodiscard]] Index last() const { return m_Snapshot + m_Records.size(); }
};

Persist applyTo(Held &Member, const Persist &Step) {
  if (Step.m_HardState)
    Member.m_Vote = *Step.m_HardState;
  if (Step.m_Snapshot) {
    const Index New = Step.m_Snapshot->m_Index;
    const auto Covered = static_cast<std::ptrdiff_t>(
        std::min<Index>(New - Member.m_Snapshot, Member.m_Records.size()));
    Member.m_Records.erase(Member.m_Records.begin(),
                           Member.m_Records.begin() + Covered);
    Member.m_Snapshot = New;
    Member.m_SnapshotTerm = Step.m_Snapshot->m_Term;
    Member.m_State = Step.m_Snapshot->m_Data;
  }
  if (Step.m_DropLog)
    Member.m_Records.clear();
  if (Step.m_TruncateFrom != 0)
    Member.m_Records.resize(Step.m_TruncateFrom - 1 - Member.m_Snapshot);
  for (const Record &Added : Step.m_Records)
    Member.m_Records.push_back(Added);
  return Step;
}

Held heldBy(Store &Disk) {
  PersistedState Data = Disk.takeLoaded();
  Held Member;
  Member.m_Vote = Data.m_HardState;
  if (Data.m_Snapshot) {
    Member.m_Snapshot = Data.m_Snapshot->m_Index;
    Member.m_SnapshotTerm = Data.m_Snapshot->m_Term;
    Member.m_State = Data.m_Snapshot->m_Data;
  }
  for (Record &Read : Data.m_Records)
    if (Read.m_Index > Member.m_Snapshot)
      Member.m_Records.push_back(std::move(Read));
  return Member;
}

/// Whether \p Records, the log above \p Snapshot, are the first records that
/// \p Expected held there.
bool isPrefix(const std::vector<Record> &Records, Index Snapshot,
              const Held &Expected) {
  return std::all_of(Records.begin(), Records.end(), [&](const Record &Read) {
    const auto Position = static_cast<std::size_t>(&Read - Records.data());
    if (Read.m_Index != Snapshot + 1 + Position ||
        Read.m_Index <= Expected.m_Snapshot || Read.m_Index > Expected.last())
      return false;
    return Expected.m_Records[Read.m_Index - Expected.m_Snapshot - 1] == Read;
  });
}

/// A member and what it may hold after a power loss.
struct Member {
  static constexpr const char *Folder = "/data";
  ModelDisk m_Disk;
  store::FileSizes m_Sizes;
  std::unique_ptr<Store> m_Store;
  Index m_Committed = 0;
  /// What was acknowledged, then what each later step of the turn makes of it.
  std::vector<Held> m_States{1};
  /// Records up to here were acknowledged and are not removed by the turn.
  Index m_Floor = 0;
  /// The same where the first snapshot of the turn that drops the log is held.
  Index m_DropFloor = 0;
  std::optional<Index> m_DroppedBy;
  static constexpr const char *Promise = "c1,c2,c3";
  std::string m_Promise;
  bool m_PromiseMayBeKept = false;

  std::string open() {
    m_Store.reset();
    auto Opened = Store::open(m_Disk, Folder, "test", {"c1"},
                              store::CopyGuard::None, m_Sizes);
    if (failed(Opened))
      return describe(errorOf(Opened));
    m_Store = std::move(valueOf(Opened));
    return "";
  }

  /// Opens the store after a power loss. \returns what is wrong.
  std::string check() {
    if (std::string Failure = open(); !Failure.empty())
      return Failure;
    const Held Read = heldBy(*m_Store);
    const auto HoldsAny = [&](const auto &Matches) {
      return std::any_of(m_States.begin(), m_States.end(), Matches);
    };
    const std::string &Kept = m_Store->formationPromise();
    if (Kept != m_Promise && !(m_PromiseMayBeKept && Kept == Promise))
      return "the promise is lost";
    m_Promise = Kept;
    if (!HoldsAny([&](const Held &S) { return S.m_Vote == Read.m_Vote; }))
      return "the vote is lost";
    if (!HoldsAny([&](const Held &S) {
          return S.m_Snapshot == Read.m_Snapshot &&
                 S.m_SnapshotTerm == Read.m_SnapshotTerm &&
                 S.m_State == Read.m_State;
        }))
      return "the snapshot is lost";
    const bool IsDropped = m_DroppedBy && Read.m_Snapshot >= *m_DroppedBy;
    const Index Floor = IsDropped ? m_DropFloor : m_Floor;
    if (Read.last() < Floor)
      return fmt::format("records from {} on are lost", Read.last() + 1);
    if (!HoldsAny([&](const Held &S) {
          return isPrefix(Read.m_Records, Read.m_Snapshot, S);
        }))
      return "a log that the member never had";
    settle(Read);
    return "";
  }

  void settle(const Held &Now) {
    m_States = {Now};
    m_Floor = m_DropFloor = Now.last();
    m_DroppedBy.reset();
    m_Committed = std::max(Now.m_Snapshot, std::min(m_Committed, Now.last()));
  }

  bool write(const Persist &Step) {
    Held Next = m_States.back();
    applyTo(Next, Step);
    m_States.push_back(Next);
    if (Step.m_TruncateFrom != 0) {
      m_Floor = std::min(m_Floor, Step.m_TruncateFrom - 1);
      m_DropFloor = std::min(m_DropFloor, Step.m_TruncateFrom - 1);
    }
    if (Step.m_DropLog && !m_DroppedBy) {
      m_DroppedBy = Next.m_Snapshot;
      m_DropFloor = std::min(m_DropFloor, Next.m_Snapshot);
    }
    return !failed(m_Store->write(Step));
  }
  bool sync() {
    if (failed(m_Store->sync()))
      return false;
    const Index Committed = m_Committed;
    settle(Held(m_States.back()));
    m_Committed = Committed;
    return true;
  }
};

Record record(Index Position, Term RecordTerm, std::size_t Size) {
  std::string Payload = fmt::format("{}.{}.", RecordTerm, Position);
  while (Payload.size() < Size)
    Payload += static_cast<char>('a' + (Payload.size() * 7 + Position) % 26);
  return {Position, RecordTerm, RecordKind::Command, Payload};
}

void addRecords(Persist &Step, Index After, Term RecordTerm, std::size_t Count,
                std::size_t Size) {
  for (Index Next = After + 1; Next <= After + Count; ++Next)
    Step.m_Records.push_back(record(Next, RecordTerm, Size));
}

std::shared_ptr<Snapshot> snapshot(Index Last, Term LastTerm) {
  return std::make_shared<Snapshot>(
      Snapshot{Last, LastTerm, {}, fmt::format("state at {}", Last)});
}

Term termAt(const Held &State, Index Position) {
  if (Position == State.m_Snapshot)
    return State.m_SnapshotTerm;
  return State.m_Records[Position - State.m_Snapshot - 1].m_Term;
}

/// A step that consensus could ask for.
Persist drawStep(Member &Subject, const Choose &Pick) {
  const Held &Now = Subject.m_States.back();
  Persist Step;
  const std::size_t Size = Pick(8) == 0 ? 400 + Pick(1600) : Pick(120);
  enum { Append, Commit, Conflict, Own, Installed, Vote, Kinds };
  switch (Pick(Kinds + 3)) {
  case Commit:
    if (Subject.m_States.size() == 1)
      Subject.m_Committed += Pick(Now.last() - Subject.m_Committed + 1);
    break;
  case Conflict:
    if (Now.last() > Subject.m_Committed) {
      Step.m_TruncateFrom =
          Subject.m_Committed + 1 + Pick(Now.last() - Subject.m_Committed);
      Step.m_HardState = HardState{Now.m_Vote.m_Term + 1, {"c2"}};
      addRecords(Step, Step.m_TruncateFrom - 1, Now.m_Vote.m_Term + 1, Pick(4),
                 Size);
    }
    break;
  case Own:
    if (Subject.m_Committed > Now.m_Snapshot && Subject.m_States.size() == 1) {
      const Index Last =
          Now.m_Snapshot + 1 + Pick(Subject.m_Committed - Now.m_Snapshot);
      Step.m_Snapshot = snapshot(Last, termAt(Now, Last));
      Step.m_CompactTo = Last - Pick(std::min<Index>(Last, 3));
    }
    break;
  case Installed: {
    const Index Last = Subject.m_Committed + 1 + Pick(12);
    const bool Keeps = Last <= Now.last() && Pick(2) == 0;
    const Term New = Keeps ? termAt(Now, Last) : Now.m_Vote.m_Term + 1;
    if (!Keeps)
      Step.m_HardState = HardState{New, {"c3"}};
    Step.m_Snapshot = snapshot(Last, New);
    Step.m_DropLog = !Keeps;
    Subject.m_Committed = Last;
    break;
  }
  case Vote:
    Step.m_HardState = HardState{Now.m_Vote.m_Term + 1, {"c1"}};
    break;
  default:
    addRecords(Step, Now.last(), std::max<Term>(1, Now.m_Vote.m_Term),
               1 + Pick(4), Size);
    if (Now.m_Vote.m_Term == 0)
      Step.m_HardState = HardState{1, {"c1"}};
  }
  return Step;
}

std::unique_ptr<Member> freshMember(store::FileSizes Sizes) {
  auto Fresh = std::make_unique<Member>();
  Fresh->m_Sizes = Sizes;
  if (failed(Store::format(Fresh->m_Disk, Member::Folder, "test", {"c1"})) ||
      !Fresh->open().empty())
    FAIL("a fresh folder does not open");
  Fresh->settle(heldBy(*Fresh->m_Store));
  return Fresh;
}

/// Runs turns of random steps until the power goes off. \returns what is wrong
/// at the open after it, during which the power may go off again.
std::string drawLoss(Member &Subject, const Choose &Pick) {
  Subject.m_Disk.m_ChangesLeft = static_cast<int>(Pick(90));
  bool IsOn = true;
  if (Subject.m_Promise.empty() && Pick(8) == 0) {
    Subject.m_PromiseMayBeKept = true;
    IsOn = !failed(Subject.m_Store->saveFormationPromise(Member::Promise));
    if (IsOn)
      Subject.m_Promise = Member::Promise;
  }
  for (int Turn = 0; IsOn && Turn < 40; ++Turn) {
    IsOn = Subject.write(drawStep(Subject, Pick));
    if (IsOn && Pick(3) != 0)
      IsOn = Subject.sync();
  }
  Subject.m_Store.reset();
  if (Pick(4) == 0)
    Subject.m_Disk.kill();
  else
    Subject.m_Disk.losePower(Pick);
  if (Pick(2) == 0) {
    Subject.m_Disk.m_ChangesLeft = static_cast<int>(Pick(12));
    (void)Subject.open();
    Subject.m_Store.reset();
    Subject.m_Disk.losePower(Pick);
  }
  return Subject.check();
}

Choose randomChoice(std::mt19937_64 &Random) {
  return [&Random](std::size_t Count) {
    return std::size_t(Random() % std::max<std::size_t>(Count, 1));
  };
}

/// Flips a bit of a log file. \returns whether the open tells of that file.
bool tellsOfDamage(Member &Subject, const Choose &Pick) {
  std::vector<std::string> Logs;
  const auto Names = Subject.m_Disk.list(Member::Folder);
  for (const std::string &Name : valueOf(Names))
    if (Name.substr(0, 4) == "log-")
      Logs.push_back(std::string(Member::Folder) + "/" + Name);
  if (Logs.empty())
    return true;
  Subject.m_Store.reset();
  const std::string &Path = Logs[Pick(Logs.size())];
  Subject.m_Disk.flip(Path, Pick(valueOf(Subject.m_Disk.read(Path)).size()));
  return Subject.open().find(Path) != std::string::npos;
}

/// Plays one random history with up to four losses of power.
std::string drawHistory(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  const Choose Pick = randomChoice(Random);
  auto Subject = freshMember({100 + Pick(1200), 200 + Pick(2000)});
  Subject->m_Disk.m_IsShort = [&] { return Pick(16) == 0; };
  for (std::size_t Loss = 1 + Pick(4); Loss > 0; --Loss)
    if (std::string Problem = drawLoss(*Subject, Pick); !Problem.empty())
      return Problem;
  return tellsOfDamage(*Subject, Pick) ? "" : "damage is not told";
}

/// Counts through all sequences of choices.
struct Odometer {
  std::vector<std::size_t> m_Picked;
  std::vector<std::size_t> m_Counts;
  std::size_t m_Position = 0;

  std::size_t pick(std::size_t Count) {
    if (m_Position == m_Picked.size()) {
      m_Picked.push_back(0);
      m_Counts.push_back(Count);
    }
    return m_Picked[m_Position++];
  }
  /// \returns false after the last sequence.
  bool next() {
    m_Position = 0;
    while (!m_Picked.empty() && m_Picked.back() + 1 >= m_Counts.back()) {
      m_Picked.pop_back();
      m_Counts.pop_back();
    }
    if (!m_Picked.empty())
      ++m_Picked.back();
    return !m_Picked.empty();
  }
};

/// Four log files of one record each, all acknowledged.
std::unique_ptr<Member> memberWithFourFiles() {
  auto Subject = freshMember({50, 4096});
  for (Index Next = 1; Next <= 4; ++Next) {
    Persist Step;
    Step.m_HardState = HardState{1, {"c1"}};
    addRecords(Step, Next - 1, 1, 1, 60);
    if (!Subject->write(Step) || !Subject->sync())
      FAIL("a write failed while the power was on");
  }
  return Subject;
}

/// Reduces a large choice, which is the byte at which a write was cut, to some
/// bytes around the ends and the parts of a record.
std::size_t pickByte(Odometer &Choices, std::size_t Count) {
  if (Count <= 24)
    return Choices.pick(Count);
  const std::vector<std::size_t> Bytes = {0,         1,         20,       40,
                                          Count / 2, Count - 9, Count - 2};
  return Bytes[Choices.pick(Bytes.size())];
}

struct Enumerated {
  std::size_t m_Outcomes = 0;
  std::string m_Problem;
};

/// Plays \p Steps with every moment of a first power loss, every moment of a
/// second one during the open after it, and every outcome of both, up to the
/// first problem.
Enumerated enumerate(const std::vector<Persist> &Steps,
                     std::size_t IgnoredSync = 0) {
  Enumerated Result;
  Odometer Choices;
  do {
    const Choose Pick = [&](std::size_t Count) {
      return pickByte(Choices, Count);
    };
    auto Subject = memberWithFourFiles();
    ModelDisk &Disk = Subject->m_Disk;
    if (IgnoredSync != 0)
      Disk.m_IgnoredSync = Disk.m_Syncs + IgnoredSync;
    Disk.m_ChangesLeft = static_cast<int>(Choices.pick(24));
    bool IsOn = true;
    for (const Persist &Step : Steps)
      IsOn = IsOn && Subject->write(Step) && Subject->sync();
    Subject->m_Store.reset();
    Disk.losePower(Pick);
    Disk.m_ChangesLeft = static_cast<int>(Choices.pick(12));
    (void)Subject->open();
    Subject->m_Store.reset();
    Disk.losePower(Pick);
    Result.m_Problem = Subject->check();
    ++Result.m_Outcomes;
  } while (Result.m_Problem.empty() && Choices.next());
  return Result;
}

} // namespace

TEST_CASE("a store opens after every power loss of a random history") {
  const char *Asked = std::getenv("WASABIVALE_STORE_HISTORIES");
  const std::uint64_t Histories =
      Asked == nullptr ? 4000 : std::strtoull(Asked, nullptr, 10);
  std::map<std::string, std::size_t> Problems;
  std::uint64_t First = 0;
  for (std::uint64_t Seed = 1; Seed <= Histories; ++Seed) {
    std::string Problem = drawHistory(Seed);
    if (Problem.empty())
      continue;
    First = First == 0 ? Seed : First;
    Problem.erase(
        std::remove_if(Problem.begin(), Problem.end(),
                       [](char Byte) { return Byte >= '0' && Byte <= '9'; }),
        Problem.end());
    ++Problems[Problem];
  }
  std::size_t Failed = 0;
  for (const auto &[Problem, Count] : Problems) {
    Failed += Count;
    UNSCOPED_INFO(Count << " histories: " << Problem);
  }
  INFO("first seed " << First);
  CHECK(Failed == 0);
}

TEST_CASE("a store opens after each outcome of two losses of power in a row") {
  struct Row {
    const char *m_Name;
    std::vector<Persist> m_Steps;
  };
  Persist Own;
  Own.m_Snapshot = snapshot(3, 1);
  Own.m_CompactTo = 3;
  Persist Behind;
  Behind.m_Snapshot = snapshot(9, 1);
  Behind.m_DropLog = true;
  Persist Conflicting;
  Conflicting.m_Snapshot = snapshot(2, 2);
  Conflicting.m_DropLog = true;
  Persist Truncated;
  Truncated.m_TruncateFrom = 2;
  addRecords(Truncated, 1, 2, 1, 60);
  Persist Appended;
  addRecords(Appended, 4, 1, 1, 60);
  const std::vector<Row> Table = {
      {"a compaction", {Own}},
      {"a snapshot behind the log", {Behind}},
      {"a snapshot that conflicts with the log", {Conflicting}},
      {"a conflict over several files", {Truncated}},
      {"a new log file", {Appended}},
  };
  for (const Row &Case : Table) {
    const Enumerated Result = enumerate(Case.m_Steps);
    INFO(Case.m_Name << ", " << Result.m_Outcomes << " outcomes");
    CHECK(Result.m_Problem == "");
  }
}

namespace {

constexpr const char *DataFolder = Member::Folder;

/// Loses the power after each number of changes that \p Work makes, with every
/// outcome, and calls \p Check with the disk after it.
template <typename Prepare, typename Work, typename Check>
std::size_t loseInEachMoment(Prepare Before, Work During, Check After) {
  Odometer Choices;
  std::size_t Outcomes = 0;
  do {
    const Choose Pick = [&](std::size_t Count) {
      return pickByte(Choices, Count);
    };
    ModelDisk Disk;
    Before(Disk);
    Disk.m_ChangesLeft = static_cast<int>(Choices.pick(14));
    During(Disk);
    Disk.losePower(Pick);
    After(Disk);
    ++Outcomes;
  } while (Choices.next());
  return Outcomes;
}

Result<std::unique_ptr<Store>> openDisk(ModelDisk &Disk) {
  return Store::open(Disk, DataFolder, "test", {"c1"}, store::CopyGuard::None);
}

} // namespace

// Guards against a disk that may form a group and must not (review case 6).
TEST_CASE("a power loss during the format leaves the whole origin of a disk or "
          "none of it") {
  using store::Origin;
  using store::StartKind;
  const std::vector<Origin> Table = {
      {StartKind::First, {{"c1"}, {"c2"}, {"c3"}}}, {StartKind::Later, {}}};
  for (const Origin &Start : Table) {
    std::size_t Whole = 0;
    std::size_t Wrong = 0;
    const std::size_t Outcomes = loseInEachMoment(
        [](ModelDisk &) {},
        [&](ModelDisk &Disk) {
          (void)Store::format(Disk, DataFolder, "test", {"c1"}, Start);
        },
        [&](ModelDisk &Disk) {
          const Result<bool> IsEmpty = Store::isEmpty(Disk, DataFolder);
          if (failed(IsEmpty) || valueOf(IsEmpty)) {
            Wrong += failed(IsEmpty) ? 1 : 0;
            return;
          }
          const auto Opened = openDisk(Disk);
          const bool IsWhole =
              !failed(Opened) &&
              valueOf(Opened)->identity().m_Origin.m_Kind == Start.m_Kind &&
              valueOf(Opened)->identity().m_Origin.m_Seeds == Start.m_Seeds;
          ++(IsWhole ? Whole : Wrong);
        });
    INFO(Outcomes << " outcomes, " << Whole << " with an origin");
    CHECK(Wrong == 0);
    CHECK(Whole > 0);
  }
}

TEST_CASE("a power loss leaves the former or the new contacts of a disk") {
  const std::vector<NodeId> Former = {{"c1"}};
  const std::vector<NodeId> New = {{"c2"}, {"c3"}};
  std::size_t Wrong = 0;
  const std::size_t Outcomes = loseInEachMoment(
      [&](ModelDisk &Disk) {
        REQUIRE(!failed(Store::format(Disk, DataFolder, "test", {"c1"})));
        REQUIRE(!failed(valueOf(openDisk(Disk))->saveContacts(Former)));
      },
      [&](ModelDisk &Disk) {
        const auto Opened = openDisk(Disk);
        if (!failed(Opened))
          (void)valueOf(Opened)->saveContacts(New);
      },
      [&](ModelDisk &Disk) {
        const auto Opened = openDisk(Disk);
        if (failed(Opened) || (valueOf(Opened)->contacts() != Former &&
                               valueOf(Opened)->contacts() != New))
          ++Wrong;
      });
  INFO(Outcomes << " outcomes");
  CHECK(Wrong == 0);
}
