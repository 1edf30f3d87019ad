#include "Codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

namespace wasabivale::store {

namespace {

constexpr std::string_view SegmentPrefix = "log-";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::string_view TemporarySuffix = ".tmp";
constexpr int DecimalBase = 10;

bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

bool endsWith(std::string_view Text, std::string_view Suffix) {
  return Text.size() >= Suffix.size() &&
         Text.substr(Text.size() - Suffix.size()) == Suffix;
}

/// Parses the index in a name such as `log-00000000000000000017`.
consensus::Index parseIndex(const std::string &Name, std::string_view Prefix) {
  return std::strtoull(Name.c_str() + Prefix.size(), nullptr, DecimalBase);
}

std::string fileName(std::string_view Prefix, consensus::Index Index) {
  return fmt::format("{}{:020}", Prefix, Index);
}

Error withPath(Error Failure, const std::string &Path) {
  if (Failure.m_Peer.empty())
    Failure.m_Peer = Path;
  return Failure;
}

struct Segment {
  std::string m_Path;
  consensus::Index m_First = 0;
  std::vector<std::uint64_t> m_Offsets;
  std::uint64_t m_Size = 0;
  std::uint64_t m_SyncedSize = 0;

  [[nodiscard]] consensus::Index next() const {
    return m_First + m_Offsets.size();
  }
};

} // namespace

struct Store::Impl {
  Files *m_Files = nullptr;
  std::string m_Folder;
  Identity m_Identity;
  consensus::PersistedState m_Loaded;
  std::string m_Promise;
  std::uint64_t m_TruncatedBytes = 0;
  std::uint64_t m_SyncCount = 0;
  Error m_Failure;

  int m_Lock = -1;
  std::vector<Segment> m_Segments;
  int m_File = -1; ///< The newest segment, open for appending.
  std::string m_Pending;
  bool m_Dirty = false;
  consensus::Index m_SnapshotIndex = 0;

  ~Impl() {
    if (m_File >= 0)
      m_Files->close(m_File);
    if (m_Lock >= 0)
      m_Files->close(m_Lock);
  }

  [[nodiscard]] std::string path(std::string_view Name) const {
    return fmt::format("{}/{}", m_Folder, Name);
  }

  // Reading
  Status readIdentity(const std::string &Cluster, const NodeId &Member,
                      CopyGuard Guard);
  Status readVote();
  Status readPromise(const std::vector<std::string> &Names);
  Status readSnapshot(const std::vector<std::string> &Names);
  Status readSegments(const std::vector<std::string> &Names);
  Status readSegment(const std::string &Name, bool Newest);
  Status reconcileLogWithSnapshot();
  Status removeTemporaries(const std::vector<std::string> &Names);

  // Writing
  Status writeAll(int File, std::string_view Bytes, const std::string &Path);
  Status syncFile(int File, const std::string &Path);
  Status syncFolder();
  /// Builds the content of a file from its inode.
  using ContentBuilder = std::function<std::string(std::uint64_t)>;
  Status replaceFile(const std::string &Name, const ContentBuilder &Build);
  Status replaceFile(const std::string &Name, const std::string &Bytes) {
    return replaceFile(Name, [&](std::uint64_t) { return Bytes; });
  }
  Status writeSnapshot(const consensus::Snapshot &Value);
  Status removeLog();
  Status compact(consensus::Index LastIndex);
  Status truncate(consensus::Index FirstIndex);
  Status append(const consensus::Record &Record);
  Status flush();
  Status startSegment(consensus::Index First);
  Status reopenNewest();
  void closeNewest();
  Status removeNewest();
  Status write(const consensus::Persist &Changes);
  Status sync();

  void dropUnsynced();
  Status recordFailure(Status Done);
};

/// Removes the records that were not synced, none of which was acknowledged.
/// After a failed sync they would be read from the cache at the next open, and
/// a later sync would succeed without writing them.
void Store::Impl::dropUnsynced() {
  // An error here is ignored: the store has failed already.
  if (m_File >= 0)
    (void)m_Files->truncate(m_File, m_Segments.back().m_SyncedSize);
}

/// Records a failure, which makes the store unusable.
Status Store::Impl::recordFailure(Status Done) {
  if (!failed(Done))
    return Done;
  m_Failure = errorOf(Done);
  dropUnsynced();
  return Done;
}

// --- Writing --------------------------------------------------------------

Status Store::Impl::writeAll(int File, std::string_view Bytes,
                             const std::string &Path) {
  while (!Bytes.empty()) {
    const Result<std::size_t> Written = m_Files->write(File, Bytes);
    if (failed(Written))
      return withPath(errorOf(Written), Path);
    if (valueOf(Written) == 0)
      return Error{"store.write", Path, "the write accepted no bytes"};
    Bytes.remove_prefix(valueOf(Written));
  }
  return std::monostate{};
}

Status Store::Impl::syncFile(int File, const std::string &Path) {
  ++m_SyncCount;
  if (Status Done = m_Files->sync(File); failed(Done))
    return withPath(errorOf(Done), Path);
  return std::monostate{};
}

Status Store::Impl::syncFolder() {
  ++m_SyncCount;
  return m_Files->syncFolder(m_Folder);
}

/// Writes a temporary file and replaces the old file with it by a rename.
Status Store::Impl::replaceFile(const std::string &Name,
                                const ContentBuilder &Build) {
  const std::string Target = path(Name);
  const std::string Temporary = Target + std::string(TemporarySuffix);
  if (Status Done = m_Files->remove(Temporary); failed(Done))
    return Done;
  const Result<int> File = m_Files->open(Temporary);
  if (failed(File))
    return errorOf(File);
  const Result<std::uint64_t> Inode = m_Files->inode(Temporary);
  Status Done = failed(Inode)
                    ? Status(errorOf(Inode))
                    : writeAll(valueOf(File), Build(valueOf(Inode)), Temporary);
  if (!failed(Done))
    Done = syncFile(valueOf(File), Temporary);
  m_Files->close(valueOf(File));
  if (!failed(Done))
    Done = m_Files->rename(Temporary, Target);
  if (!failed(Done))
    Done = syncFolder();
  return Done;
}

Status Store::Impl::writeSnapshot(const consensus::Snapshot &Value) {
  const std::string Name = fileName(SnapshotPrefix, Value.m_Index);
  Status Done =
      replaceFile(Name, encodeFile("snapshot", encodeSnapshot(Value)));
  const consensus::Index Previous = m_SnapshotIndex;
  if (failed(Done))
    return Done;
  m_SnapshotIndex = Value.m_Index;
  if (Previous == 0 || Previous == Value.m_Index)
    return std::monostate{};
  return m_Files->remove(path(fileName(SnapshotPrefix, Previous)));
}

void Store::Impl::closeNewest() {
  if (m_File >= 0)
    m_Files->close(m_File);
  m_File = -1;
}

Status Store::Impl::removeNewest() {
  closeNewest();
  if (Status Done = m_Files->remove(m_Segments.back().m_Path); failed(Done))
    return Done;
  m_Segments.pop_back();
  return std::monostate{};
}

/// Removes the newest files first, so that a crash leaves no gap.
Status Store::Impl::removeLog() {
  m_Pending.clear();
  m_Dirty = false;
  while (!m_Segments.empty())
    if (Status Done = removeNewest(); failed(Done))
      return Done;
  return syncFolder();
}

Status Store::Impl::compact(consensus::Index LastIndex) {
  while (m_Segments.size() > 1 && m_Segments.front().next() <= LastIndex + 1) {
    if (Status Done = m_Files->remove(m_Segments.front().m_Path); failed(Done))
      return Done;
    m_Segments.erase(m_Segments.begin());
  }
  return std::monostate{};
}

Status Store::Impl::reopenNewest() {
  if (m_File >= 0)
    return std::monostate{};
  const Result<int> File = m_Files->open(m_Segments.back().m_Path);
  if (failed(File))
    return errorOf(File);
  m_File = valueOf(File);
  return std::monostate{};
}

Status Store::Impl::truncate(consensus::Index FirstIndex) {
  if (Status Done = flush(); failed(Done))
    return Done;
  bool Removed = false;
  while (m_Segments.size() > 1 && m_Segments.back().m_First >= FirstIndex) {
    if (Status Done = removeNewest(); failed(Done))
      return Done;
    Removed = true;
  }
  // The removal of later files must be durable before this file is truncated.
  if (Removed)
    if (Status Done = syncFolder(); failed(Done))
      return Done;
  if (m_Segments.empty() || m_Segments.back().next() <= FirstIndex)
    return std::monostate{};
  if (Status Done = reopenNewest(); failed(Done))
    return Done;
  Segment &Newest = m_Segments.back();
  const std::size_t KeptRecords =
      FirstIndex > Newest.m_First ? FirstIndex - Newest.m_First : 0;
  Newest.m_Size = Newest.m_Offsets[KeptRecords];
  Newest.m_Offsets.resize(KeptRecords);
  Newest.m_SyncedSize = std::min(Newest.m_SyncedSize, Newest.m_Size);
  m_Dirty = true;
  if (Status Done = m_Files->truncate(m_File, Newest.m_Size); failed(Done))
    return withPath(errorOf(Done), Newest.m_Path);
  return std::monostate{};
}

Status Store::Impl::startSegment(consensus::Index First) {
  closeNewest();
  Segment NewSegment;
  NewSegment.m_Path = path(fileName(SegmentPrefix, First));
  NewSegment.m_First = First;
  NewSegment.m_Size = SegmentHeader.size();
  m_Segments.push_back(NewSegment);
  if (Status Done = reopenNewest(); failed(Done))
    return Done;
  if (Status Done = writeAll(m_File, SegmentHeader, NewSegment.m_Path);
      failed(Done))
    return Done;
  if (Status Done = syncFile(m_File, NewSegment.m_Path); failed(Done))
    return Done;
  m_Segments.back().m_SyncedSize = NewSegment.m_Size;
  return syncFolder();
}

Status Store::Impl::append(const consensus::Record &Record) {
  if (!m_Segments.empty() && m_Segments.back().m_Size > SegmentBytes) {
    if (Status Done = sync(); failed(Done))
      return Done;
    if (Status Done = startSegment(Record.m_Index); failed(Done))
      return Done;
  }
  if (m_Segments.empty())
    if (Status Done = startSegment(Record.m_Index); failed(Done))
      return Done;
  Segment &Newest = m_Segments.back();
  if (Newest.next() != Record.m_Index)
    return Error{"store.append", Newest.m_Path,
                 fmt::format("record {} does not follow {}", Record.m_Index,
                             Newest.next() - 1)};
  const std::string Bytes = encodeRecord(Record);
  Newest.m_Offsets.push_back(Newest.m_Size);
  Newest.m_Size += Bytes.size();
  m_Pending += Bytes;
  return std::monostate{};
}

Status Store::Impl::flush() {
  if (m_Pending.empty())
    return std::monostate{};
  if (Status Done = reopenNewest(); failed(Done))
    return Done;
  if (Status Done = writeAll(m_File, m_Pending, m_Segments.back().m_Path);
      failed(Done))
    return Done;
  m_Pending.clear();
  m_Dirty = true;
  return std::monostate{};
}

Status Store::Impl::write(const consensus::Persist &Changes) {
  if (Changes.m_HardState) {
    const std::string Bytes =
        encodeFile("vote", encodeVote(*Changes.m_HardState));
    if (Status Done = replaceFile("vote", Bytes); failed(Done))
      return Done;
  }
  if (Changes.m_Snapshot)
    if (Status Done = writeSnapshot(*Changes.m_Snapshot); failed(Done))
      return Done;
  if (Changes.m_DropLog)
    if (Status Done = removeLog(); failed(Done))
      return Done;
  if (Changes.m_CompactTo != 0)
    if (Status Done = compact(Changes.m_CompactTo); failed(Done))
      return Done;
  if (Changes.m_TruncateFrom != 0)
    if (Status Done = truncate(Changes.m_TruncateFrom); failed(Done))
      return Done;
  for (const consensus::Record &Record : Changes.m_Records)
    if (Status Done = append(Record); failed(Done))
      return Done;
  return std::monostate{};
}

Status Store::Impl::sync() {
  if (Status Done = flush(); failed(Done))
    return Done;
  if (!m_Dirty)
    return std::monostate{};
  if (Status Done = syncFile(m_File, m_Segments.back().m_Path); failed(Done))
    return Done;
  m_Dirty = false;
  m_Segments.back().m_SyncedSize = m_Segments.back().m_Size;
  return std::monostate{};
}

// --- Reading --------------------------------------------------------------

static Result<std::string> readFile(Files &FileOps, std::string_view Kind,
                                    const std::string &Path) {
  const Result<std::string> Bytes = FileOps.read(Path);
  if (failed(Bytes))
    return errorOf(Bytes);
  return decodeFile(Kind, valueOf(Bytes), Path);
}

Status Store::Impl::readIdentity(const std::string &Cluster,
                                 const NodeId &Member, CopyGuard Guard) {
  const std::string Path = path("identity");
  const auto Body = readFile(*m_Files, "identity", Path);
  if (failed(Body))
    return errorOf(Body);
  const auto Decoded = decodeIdentity(valueOf(Body), Path);
  if (failed(Decoded))
    return errorOf(Decoded);
  m_Identity = valueOf(Decoded).m_Identity;
  if (m_Identity.m_Cluster != Cluster)
    return Error{"store.open", Path,
                 "the folder belongs to cluster " + m_Identity.m_Cluster};
  if (m_Identity.m_Member != Member)
    return Error{"store.open", Path,
                 "the folder belongs to member " + m_Identity.m_Member.m_Value};
  if (Guard == CopyGuard::None)
    return std::monostate{};
  const auto Inode = m_Files->inode(Path);
  if (failed(Inode))
    return errorOf(Inode);
  if (valueOf(Inode) != valueOf(Decoded).m_Inode)
    return Error{"store.open", Path,
                 "the folder was copied or restored; empty it so that the "
                 "member can join again"};
  return std::monostate{};
}

Status Store::Impl::readVote() {
  const std::string Path = path("vote");
  const auto Body = readFile(*m_Files, "vote", Path);
  if (failed(Body))
    return errorOf(Body);
  const auto Decoded = decodeVote(valueOf(Body), Path);
  if (failed(Decoded))
    return errorOf(Decoded);
  m_Loaded.m_HardState = valueOf(Decoded);
  return std::monostate{};
}

Status Store::Impl::readPromise(const std::vector<std::string> &Names) {
  if (std::find(Names.begin(), Names.end(), "formation") == Names.end())
    return std::monostate{};
  const auto Body = readFile(*m_Files, "formation", path("formation"));
  if (failed(Body))
    return errorOf(Body);
  m_Promise = valueOf(Body);
  return std::monostate{};
}

Status Store::Impl::removeTemporaries(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    if (endsWith(Name, TemporarySuffix))
      if (Status Done = m_Files->remove(path(Name)); failed(Done))
        return Done;
  return std::monostate{};
}

Status Store::Impl::readSnapshot(const std::vector<std::string> &Names) {
  std::vector<std::string> Snapshots;
  for (const std::string &Name : Names)
    if (startsWith(Name, SnapshotPrefix) && !endsWith(Name, TemporarySuffix))
      Snapshots.push_back(Name);
  if (Snapshots.empty())
    return std::monostate{};
  std::sort(Snapshots.begin(), Snapshots.end());
  const std::string Path = path(Snapshots.back());
  const auto Body = readFile(*m_Files, "snapshot", Path);
  if (failed(Body))
    return errorOf(Body);
  auto Decoded = decodeSnapshot(valueOf(Body), Path);
  if (failed(Decoded))
    return errorOf(Decoded);
  m_Loaded.m_Snapshot =
      std::make_shared<consensus::Snapshot>(std::move(valueOf(Decoded)));
  m_SnapshotIndex = m_Loaded.m_Snapshot->m_Index;
  Snapshots.pop_back();
  for (const std::string &Older : Snapshots)
    if (Status Done = m_Files->remove(path(Older)); failed(Done))
      return Done;
  return std::monostate{};
}

Status Store::Impl::readSegment(const std::string &Name, bool Newest) {
  const std::string Path = path(Name);
  const Result<std::string> Bytes = m_Files->read(Path);
  if (failed(Bytes))
    return errorOf(Bytes);
  auto Decoded = decodeSegment(valueOf(Bytes), Newest, Path);
  if (failed(Decoded))
    return errorOf(Decoded);
  SegmentContent &Content = valueOf(Decoded);
  Segment NewSegment;
  NewSegment.m_Path = Path;
  NewSegment.m_First = parseIndex(Name, SegmentPrefix);
  NewSegment.m_Offsets = std::move(Content.m_Offsets);
  NewSegment.m_Size = Content.m_ValidBytes;
  NewSegment.m_SyncedSize = NewSegment.m_Size;
  const bool MatchesName =
      Content.m_Records.empty() ||
      Content.m_Records.front().m_Index == NewSegment.m_First;
  const bool IsContiguous =
      m_Segments.empty() || m_Segments.back().next() == NewSegment.m_First;
  if (!MatchesName || !IsContiguous)
    return Error{"store.open", Path, "damaged at byte 0: records are missing"};
  for (consensus::Record &Record : Content.m_Records)
    m_Loaded.m_Records.push_back(std::move(Record));
  m_TruncatedBytes += valueOf(Bytes).size() - Content.m_ValidBytes;
  m_Segments.push_back(std::move(NewSegment));
  if (m_Segments.back().m_Size == 0)
    return removeNewest();
  if (!Newest)
    return std::monostate{};
  // What was read may be in the cache only, after a sync that failed or was
  // never made, and another sync may succeed without writing it.
  if (Status Done =
          replaceFile(Name, valueOf(Bytes).substr(0, Content.m_ValidBytes));
      failed(Done))
    return Done;
  return reopenNewest();
}

Status Store::Impl::readSegments(const std::vector<std::string> &Names) {
  std::vector<std::string> Segments;
  for (const std::string &Name : Names)
    if (startsWith(Name, SegmentPrefix) && !endsWith(Name, TemporarySuffix))
      Segments.push_back(Name);
  std::sort(Segments.begin(), Segments.end());
  for (const std::string &Name : Segments)
    if (Status Done = readSegment(Name, Name == Segments.back()); failed(Done))
      return Done;
  return reconcileLogWithSnapshot();
}

/// Removes a log that does not reach the snapshot or disagrees with it. This
/// happens if a crash occurred between storing a leader's snapshot and
/// replacing the log.
Status Store::Impl::reconcileLogWithSnapshot() {
  const std::vector<consensus::Record> &Records = m_Loaded.m_Records;
  const consensus::Index SnapshotIndex = m_SnapshotIndex;
  if (Records.empty()) {
    const bool Matches =
        m_Segments.empty() || m_Segments.back().m_First == SnapshotIndex + 1;
    return Matches ? Status{} : removeLog();
  }
  if (Records.front().m_Index > SnapshotIndex + 1)
    return Error{"store.open", m_Segments.front().m_Path,
                 "damaged at byte 0: records before it are missing"};
  if (SnapshotIndex == 0 || Records.front().m_Index == SnapshotIndex + 1)
    return std::monostate{};
  const bool ReachesSnapshot = Records.back().m_Index >= SnapshotIndex;
  if (ReachesSnapshot &&
      Records[SnapshotIndex - Records.front().m_Index].m_Term ==
          m_Loaded.m_Snapshot->m_Term)
    return std::monostate{};
  m_Loaded.m_Records.clear();
  return removeLog();
}

// --- Public ---------------------------------------------------------------

/// Whether an interrupted `format` may have left this file.
static bool isLeftByFormat(std::string_view Name) {
  return Name == "lock" || Name == "vote" || endsWith(Name, TemporarySuffix);
}

Result<bool> Store::isEmpty(Files &FileOps, const std::string &Folder) {
  if (Status Done = FileOps.makeFolder(Folder); failed(Done))
    return errorOf(Done);
  const auto Names = FileOps.list(Folder);
  if (failed(Names))
    return errorOf(Names);
  return std::all_of(valueOf(Names).begin(), valueOf(Names).end(),
                     isLeftByFormat);
}

Status Store::format(Files &FileOps, const std::string &Folder,
                     const std::string &Cluster, const NodeId &Member) {
  const Result<bool> Empty = isEmpty(FileOps, Folder);
  if (failed(Empty))
    return errorOf(Empty);
  if (!valueOf(Empty))
    return Error{"store.format", Folder, "the folder is not empty"};
  Impl State;
  State.m_Files = &FileOps;
  State.m_Folder = Folder;
  if (Status Done =
          State.replaceFile("vote", encodeFile("vote", encodeVote({})));
      failed(Done))
    return Done;
  const Identity NewIdentity{Cluster, Member, randomIdentity()};
  return State.replaceFile("identity", [&](std::uint64_t Inode) {
    return encodeFile("identity", encodeIdentity({NewIdentity, Inode}));
  });
}

Store::Store(std::unique_ptr<Impl> State) : m_Impl(std::move(State)) {}

Store::~Store() = default;

Result<std::unique_ptr<Store>>
Store::open(Files &FileOps, const std::string &Folder,
            const std::string &Cluster, const NodeId &Member, CopyGuard Guard) {
  auto State = std::make_unique<Impl>();
  State->m_Files = &FileOps;
  State->m_Folder = Folder;
  const auto Names = FileOps.list(Folder);
  if (failed(Names))
    return errorOf(Names);
  const auto Lock = FileOps.lock(State->path("lock"));
  if (failed(Lock))
    return errorOf(Lock);
  State->m_Lock = valueOf(Lock);
  Status Done = State->readIdentity(Cluster, Member, Guard);
  // A rename that is in the cache only must not be lost after the removal of
  // the file that it replaced.
  if (!failed(Done))
    Done = State->syncFolder();
  if (!failed(Done))
    Done = State->readVote();
  if (!failed(Done))
    Done = State->readPromise(valueOf(Names));
  if (!failed(Done))
    Done = State->removeTemporaries(valueOf(Names));
  if (!failed(Done))
    Done = State->readSnapshot(valueOf(Names));
  if (!failed(Done))
    Done = State->readSegments(valueOf(Names));
  if (failed(Done))
    return errorOf(Done);
  return std::unique_ptr<Store>(new Store(std::move(State)));
}

const Identity &Store::identity() const { return m_Impl->m_Identity; }

consensus::PersistedState Store::takeLoaded() {
  return std::exchange(m_Impl->m_Loaded, {});
}

std::uint64_t Store::truncatedBytes() const { return m_Impl->m_TruncatedBytes; }

Status Store::write(const consensus::Persist &Changes) {
  if (!m_Impl->m_Failure.m_Step.empty())
    return m_Impl->m_Failure;
  return m_Impl->recordFailure(m_Impl->write(Changes));
}

Status Store::sync() {
  if (!m_Impl->m_Failure.m_Step.empty())
    return m_Impl->m_Failure;
  return m_Impl->recordFailure(m_Impl->sync());
}

const std::string &Store::formationPromise() const { return m_Impl->m_Promise; }

Status Store::saveFormationPromise(const std::string &Bytes) {
  WASABIVALE_INVARIANT(m_Impl->m_Promise.empty());
  if (!m_Impl->m_Failure.m_Step.empty())
    return m_Impl->m_Failure;
  Status Done = m_Impl->recordFailure(
      m_Impl->replaceFile("formation", encodeFile("formation", Bytes)));
  if (!failed(Done))
    m_Impl->m_Promise = Bytes;
  return Done;
}

std::uint64_t Store::syncCount() const { return m_Impl->m_SyncCount; }

const Error &Store::failure() const { return m_Impl->m_Failure; }

} // namespace wasabivale::store
