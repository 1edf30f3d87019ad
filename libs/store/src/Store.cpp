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
  FileSizes m_Sizes;
  consensus::PersistedState m_Loaded;
  std::string m_Promise;
  std::uint64_t m_Group = 0;
  std::vector<NodeId> m_Contacts;
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
  Status readGroup(const std::vector<std::string> &Names);
  Status readContacts(const std::vector<std::string> &Names);
  Status readSnapshot(const std::vector<std::string> &Names);
  Status readSegments(const std::vector<std::string> &Names);
  Status readChain(const std::vector<std::string> &Names,
                   const std::string &NewestName);
  Result<SegmentContent> readSegment(const std::string &Name, bool MayBeTorn);
  Result<bool> conflictsBefore(const std::string &Name);
  bool conflictsWithSnapshot(const std::vector<consensus::Record> &Records);
  Status removeUnfinished(std::vector<std::string> &Names);
  Status dropReadLog(const std::vector<std::string> &Names);
  Status rewriteNewest();
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
  Status writePending();
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

/// Removes the newest files first. The removal of a file above the snapshot is
/// durable before that of the file in front of it, which shows at open that the
/// log is to be dropped. The creation of the next log file syncs the rest.
Status Store::Impl::removeLog() {
  m_Pending.clear();
  m_Dirty = false;
  while (!m_Segments.empty()) {
    const bool IsAboveSnapshot = m_Segments.back().m_First > m_SnapshotIndex;
    if (Status Done = removeNewest(); failed(Done))
      return Done;
    if (IsAboveSnapshot && !m_Segments.empty())
      if (Status Done = syncFolder(); failed(Done))
        return Done;
  }
  return std::monostate{};
}

/// Removes log files that the durable snapshot covers. The folder is not
/// synced, as any of them may come back: `open` ignores what is covered.
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
  if (m_Segments.empty() || m_Segments.back().next() <= FirstIndex)
    return std::monostate{};
  if (Status Done = flush(); failed(Done))
    return Done;
  // The removal of a file must be durable before the file in front of it is
  // removed or truncated, or the log has a gap when only the later one is back.
  while (m_Segments.size() > 1 && m_Segments.back().m_First >= FirstIndex) {
    if (Status Done = removeNewest(); failed(Done))
      return Done;
    m_Dirty = false;
    if (Status Done = syncFolder(); failed(Done))
      return Done;
  }
  if (m_Segments.back().next() <= FirstIndex)
    return std::monostate{};
  if (Status Done = reopenNewest(); failed(Done))
    return Done;
  Segment &Newest = m_Segments.back();
  const std::size_t KeptRecords =
      FirstIndex > Newest.m_First ? FirstIndex - Newest.m_First : 0;
  Newest.m_Size = Newest.m_Offsets[KeptRecords];
  Newest.m_Offsets.resize(KeptRecords);
  Newest.m_SyncedSize = std::min(Newest.m_SyncedSize, Newest.m_Size);
  if (Status Done = m_Files->truncate(m_File, Newest.m_Size); failed(Done))
    return withPath(errorOf(Done), Newest.m_Path);
  // Otherwise new records could be found among old ones after a power loss.
  if (Status Done = syncFile(m_File, Newest.m_Path); failed(Done))
    return Done;
  m_Dirty = false;
  Newest.m_SyncedSize = Newest.m_Size;
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
  if (!m_Segments.empty() &&
      m_Segments.back().m_Size > m_Sizes.m_SegmentBytes) {
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
  if (m_Pending.size() + Bytes.size() > m_Sizes.m_UnsyncedBytes)
    if (Status Done = sync(); failed(Done))
      return Done;
  Newest.m_Offsets.push_back(Newest.m_Size);
  Newest.m_Size += Bytes.size();
  m_Pending += Bytes;
  return std::monostate{};
}

/// Writes all pending records in one write, so that a power loss leaves no
/// later record of another write behind a missing one. A short write is cut
/// back and repeated.
Status Store::Impl::writePending() {
  constexpr int MostWrites = 3;
  const Segment &Newest = m_Segments.back();
  for (int Count = 0; Count < MostWrites; ++Count) {
    const Result<std::size_t> Written = m_Files->write(m_File, m_Pending);
    if (failed(Written))
      return withPath(errorOf(Written), Newest.m_Path);
    if (valueOf(Written) == m_Pending.size())
      return std::monostate{};
    if (Status Done =
            m_Files->truncate(m_File, Newest.m_Size - m_Pending.size());
        failed(Done))
      return withPath(errorOf(Done), Newest.m_Path);
  }
  return Error{"store.write", Newest.m_Path, "the write was short each time"};
}

Status Store::Impl::flush() {
  if (m_Pending.empty())
    return std::monostate{};
  if (Status Done = reopenNewest(); failed(Done))
    return Done;
  if (Status Done = writePending(); failed(Done))
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

static bool contains(const std::vector<std::string> &Names,
                     std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

Status Store::Impl::readGroup(const std::vector<std::string> &Names) {
  if (!contains(Names, "group"))
    return std::monostate{};
  const auto Body = readFile(*m_Files, "group", path("group"));
  if (failed(Body))
    return errorOf(Body);
  const auto Decoded = decodeGroup(valueOf(Body), path("group"));
  if (failed(Decoded))
    return errorOf(Decoded);
  m_Group = valueOf(Decoded);
  return std::monostate{};
}

Status Store::Impl::readContacts(const std::vector<std::string> &Names) {
  if (!contains(Names, "contacts"))
    return std::monostate{};
  const auto Body = readFile(*m_Files, "contacts", path("contacts"));
  if (failed(Body))
    return errorOf(Body);
  auto Decoded = decodeNodes(valueOf(Body), path("contacts"));
  if (failed(Decoded))
    return errorOf(Decoded);
  m_Contacts = std::move(valueOf(Decoded));
  return std::monostate{};
}

Status Store::Impl::readPromise(const std::vector<std::string> &Names) {
  if (!contains(Names, "formation"))
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

Result<SegmentContent> Store::Impl::readSegment(const std::string &Name,
                                                bool MayBeTorn) {
  const std::string Path = path(Name);
  const Result<std::string> Bytes = m_Files->read(Path);
  if (failed(Bytes))
    return errorOf(Bytes);
  auto Decoded = decodeSegment(valueOf(Bytes),
                               MayBeTorn ? m_Sizes.m_UnsyncedBytes : 0, Path);
  if (failed(Decoded))
    return Decoded;
  const SegmentContent &Content = valueOf(Decoded);
  if (!Content.m_Records.empty() &&
      Content.m_Records.front().m_Index != parseIndex(Name, SegmentPrefix))
    return Error{"store.open", Path, "damaged at byte 0: records are missing"};
  if (MayBeTorn)
    m_TruncatedBytes += valueOf(Bytes).size() - Content.m_ValidBytes;
  return Decoded;
}

/// Removes the newest log file if a power loss interrupted its creation. No
/// record was written to it.
Status Store::Impl::removeUnfinished(std::vector<std::string> &Names) {
  if (Names.empty())
    return std::monostate{};
  const Result<std::string> Bytes = m_Files->read(path(Names.back()));
  if (failed(Bytes))
    return errorOf(Bytes);
  if (!isUnfinishedSegment(valueOf(Bytes)))
    return std::monostate{};
  m_TruncatedBytes += valueOf(Bytes).size();
  if (Status Done = m_Files->remove(path(Names.back())); failed(Done))
    return Done;
  Names.pop_back();
  return std::monostate{};
}

/// Whether the log has another record than the snapshot at its index. The log
/// is then to be dropped: a power loss came between storing the leader's
/// snapshot and removing the log.
bool Store::Impl::conflictsWithSnapshot(
    const std::vector<consensus::Record> &Records) {
  return std::any_of(Records.begin(), Records.end(),
                     [&](const consensus::Record &Record) {
                       return Record.m_Index == m_SnapshotIndex &&
                              Record.m_Term != m_Loaded.m_Snapshot->m_Term;
                     });
}

Result<bool> Store::Impl::conflictsBefore(const std::string &Name) {
  const auto Content = readSegment(Name, false);
  if (failed(Content))
    return errorOf(Content);
  return conflictsWithSnapshot(valueOf(Content).m_Records);
}

Status Store::Impl::dropReadLog(const std::vector<std::string> &Names) {
  m_Loaded.m_Records.clear();
  m_Segments.clear();
  for (const std::string &Name : Names) {
    Segment Dropped;
    Dropped.m_Path = path(Name);
    Dropped.m_First = parseIndex(Name, SegmentPrefix);
    m_Segments.push_back(std::move(Dropped));
  }
  return removeLog();
}

/// Reads the log files \p Names, which must follow each other.
Status Store::Impl::readChain(const std::vector<std::string> &Names,
                              const std::string &NewestName) {
  for (const std::string &Name : Names) {
    auto Read = readSegment(Name, Name == NewestName);
    if (failed(Read))
      return errorOf(Read);
    SegmentContent &Content = valueOf(Read);
    Segment NewSegment;
    NewSegment.m_Path = path(Name);
    NewSegment.m_First = parseIndex(Name, SegmentPrefix);
    NewSegment.m_Offsets = std::move(Content.m_Offsets);
    NewSegment.m_Size = Content.m_ValidBytes;
    NewSegment.m_SyncedSize = NewSegment.m_Size;
    if (!m_Segments.empty() && m_Segments.back().next() != NewSegment.m_First)
      return Error{"store.open", NewSegment.m_Path,
                   "damaged at byte 0: records are missing"};
    for (consensus::Record &Record : Content.m_Records)
      m_Loaded.m_Records.push_back(std::move(Record));
    m_Segments.push_back(std::move(NewSegment));
    if (conflictsWithSnapshot(m_Loaded.m_Records))
      return std::monostate{};
  }
  return std::monostate{};
}

/// What was read may be in the cache only, after a sync that failed or was
/// never made, and another sync may succeed without writing it. The sync of the
/// folder also keeps the files away that were removed at open.
Status Store::Impl::rewriteNewest() {
  const Segment &Newest = m_Segments.back();
  const Result<std::string> Bytes = m_Files->read(Newest.m_Path);
  if (failed(Bytes))
    return errorOf(Bytes);
  if (Status Done = replaceFile(fileName(SegmentPrefix, Newest.m_First),
                                valueOf(Bytes).substr(0, Newest.m_Size));
      failed(Done))
    return Done;
  return reopenNewest();
}

/// Reads the log from the last file that begins at the snapshot or before it.
/// All earlier files are covered by the snapshot, whether complete or not, and
/// are removed.
Status Store::Impl::readSegments(const std::vector<std::string> &Names) {
  std::vector<std::string> Logs;
  for (const std::string &Name : Names)
    if (startsWith(Name, SegmentPrefix) && !endsWith(Name, TemporarySuffix))
      Logs.push_back(Name);
  std::sort(Logs.begin(), Logs.end());
  const std::string NewestName = Logs.empty() ? "" : Logs.back();
  if (Status Done = removeUnfinished(Logs); failed(Done))
    return Done;
  if (Logs.empty())
    return std::monostate{};
  const auto IsAboveSnapshot = [&](const std::string &Name) {
    return parseIndex(Name, SegmentPrefix) > m_SnapshotIndex + 1;
  };
  const auto End = std::find_if(Logs.begin(), Logs.end(), IsAboveSnapshot);
  if (End == Logs.begin())
    return Error{"store.open", path(Logs.front()),
                 "damaged at byte 0: records before it are missing"};
  const auto Start = std::prev(End);
  if (Start != Logs.begin() &&
      parseIndex(*Start, SegmentPrefix) == m_SnapshotIndex + 1) {
    const Result<bool> Conflicts = conflictsBefore(*std::prev(Start));
    if (failed(Conflicts))
      return errorOf(Conflicts);
    if (valueOf(Conflicts))
      return dropReadLog(Logs);
  }
  if (Status Done = readChain({Start, Logs.end()}, NewestName); failed(Done))
    return Done;
  if (conflictsWithSnapshot(m_Loaded.m_Records) ||
      m_Segments.back().next() <= m_SnapshotIndex)
    return dropReadLog(Logs);
  for (auto Covered = Logs.begin(); Covered != Start; ++Covered)
    if (Status Done = m_Files->remove(path(*Covered)); failed(Done))
      return Done;
  return rewriteNewest();
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
                     const std::string &Cluster, const NodeId &Member,
                     const Origin &Start) {
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
  const Identity NewIdentity{Cluster, Member, randomIdentity(), Start};
  return State.replaceFile("identity", [&](std::uint64_t Inode) {
    return encodeFile("identity", encodeIdentity({NewIdentity, Inode}));
  });
}

Store::Store(std::unique_ptr<Impl> State) : m_Impl(std::move(State)) {}

Store::~Store() = default;

Result<std::unique_ptr<Store>> Store::open(Files &FileOps,
                                           const std::string &Folder,
                                           const std::string &Cluster,
                                           const NodeId &Member,
                                           CopyGuard Guard, FileSizes Sizes) {
  auto State = std::make_unique<Impl>();
  State->m_Sizes = Sizes;
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
    Done = State->readGroup(valueOf(Names));
  if (!failed(Done))
    Done = State->readContacts(valueOf(Names));
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

std::uint64_t Store::group() const { return m_Impl->m_Group; }

Status Store::saveGroup(std::uint64_t Group) {
  if (!m_Impl->m_Failure.m_Step.empty())
    return m_Impl->m_Failure;
  Status Done = m_Impl->recordFailure(
      m_Impl->replaceFile("group", encodeFile("group", encodeGroup(Group))));
  if (!failed(Done))
    m_Impl->m_Group = Group;
  return Done;
}

const std::vector<NodeId> &Store::contacts() const {
  return m_Impl->m_Contacts;
}

Status Store::saveContacts(const std::vector<NodeId> &Contacts) {
  if (!m_Impl->m_Failure.m_Step.empty())
    return m_Impl->m_Failure;
  Status Done = m_Impl->replaceFile(
      "contacts", encodeFile("contacts", encodeNodes(Contacts)));
  if (!failed(Done))
    m_Impl->m_Contacts = Contacts;
  return Done;
}

std::uint64_t Store::syncCount() const { return m_Impl->m_SyncCount; }

const Error &Store::failure() const { return m_Impl->m_Failure; }

} // namespace wasabivale::store
