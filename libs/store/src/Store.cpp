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

/// Position in a name such as `log-00000000000000000017`.
consensus::Index indexIn(const std::string &Name, std::string_view Prefix) {
  return std::strtoull(Name.c_str() + Prefix.size(), nullptr, DecimalBase);
}

std::string nameOf(std::string_view Prefix, consensus::Index At) {
  return fmt::format("{}{:020}", Prefix, At);
}

Error at(Error Failure, const std::string &Path) {
  if (Failure.m_Peer.empty())
    Failure.m_Peer = Path;
  return Failure;
}

struct Segment {
  std::string m_Path;
  consensus::Index m_First = 0;
  std::vector<std::uint64_t> m_Offsets;
  std::uint64_t m_Size = 0;

  [[nodiscard]] consensus::Index next() const {
    return m_First + m_Offsets.size();
  }
};

} // namespace

struct Store::Parts {
  Files *m_Files = nullptr;
  std::string m_Folder;
  Identity m_Identity;
  consensus::PersistedState m_Loaded;
  std::string m_Promise;
  std::uint64_t m_BytesCut = 0;
  std::uint64_t m_SyncCount = 0;
  Error m_Failure;

  int m_Lock = -1;
  std::vector<Segment> m_Segments;
  int m_File = -1; ///< The newest segment, open for appending.
  std::string m_Pending;
  bool m_Dirty = false;
  consensus::Index m_SnapshotIndex = 0;

  ~Parts() {
    if (m_File >= 0)
      m_Files->close(m_File);
    if (m_Lock >= 0)
      m_Files->close(m_Lock);
  }

  [[nodiscard]] std::string path(std::string_view Name) const {
    return fmt::format("{}/{}", m_Folder, Name);
  }

  // Reading.
  Status readIdentity(const std::string &Cluster, const NodeId &Member,
                      CopyGuard Guard);
  Status readVote();
  Status readPromise(const std::vector<std::string> &Names);
  Status readSnapshot(const std::vector<std::string> &Names);
  Status readSegments(const std::vector<std::string> &Names);
  Status readSegment(const std::string &Name, bool Newest);
  Status fitLogToSnapshot();
  Status removeTemporaries(const std::vector<std::string> &Names);

  // Writing.
  Status writeAll(int File, std::string_view Bytes, const std::string &Path);
  Status syncFile(int File, const std::string &Path);
  Status syncFolder();
  /// Makes the bytes of a file, given the number that the file has.
  using MakeBytes = std::function<std::string(std::uint64_t)>;
  Status replaceFile(const std::string &Name, const MakeBytes &Make);
  Status replaceFile(const std::string &Name, const std::string &Bytes) {
    return replaceFile(Name, [&](std::uint64_t) { return Bytes; });
  }
  Status writeSnapshot(const consensus::Snapshot &Value);
  Status dropLog();
  Status compact(consensus::Index To);
  Status truncate(consensus::Index From);
  Status append(const consensus::Record &Added);
  Status flush();
  Status startSegment(consensus::Index First);
  Status reopenNewest();
  void closeNewest();
  Status removeNewest();
  Status write(const consensus::Persist &Changes);
  Status sync();

  Status keep(Status Done);
};

/// Notes a failure, after which the store is of no use.
Status Store::Parts::keep(Status Done) {
  if (failed(Done))
    m_Failure = errorOf(Done);
  return Done;
}

// --- Writing --------------------------------------------------------------

Status Store::Parts::writeAll(int File, std::string_view Bytes,
                              const std::string &Path) {
  while (!Bytes.empty()) {
    const Result<std::size_t> Written = m_Files->write(File, Bytes);
    if (failed(Written))
      return at(errorOf(Written), Path);
    if (valueOf(Written) == 0)
      return Error{"store.write", Path, "nothing could be written"};
    Bytes.remove_prefix(valueOf(Written));
  }
  return std::monostate{};
}

Status Store::Parts::syncFile(int File, const std::string &Path) {
  ++m_SyncCount;
  if (Status Done = m_Files->sync(File); failed(Done))
    return at(errorOf(Done), Path);
  return std::monostate{};
}

Status Store::Parts::syncFolder() {
  ++m_SyncCount;
  return m_Files->syncFolder(m_Folder);
}

/// Writes a whole file beside the old one and puts it in its place.
Status Store::Parts::replaceFile(const std::string &Name,
                                 const MakeBytes &Make) {
  const std::string Target = path(Name);
  const std::string Temporary = Target + std::string(TemporarySuffix);
  if (Status Done = m_Files->remove(Temporary); failed(Done))
    return Done;
  const Result<int> Opened = m_Files->open(Temporary);
  if (failed(Opened))
    return errorOf(Opened);
  const Result<std::uint64_t> Number = m_Files->number(Temporary);
  Status Done = failed(Number) ? Status(errorOf(Number))
                               : writeAll(valueOf(Opened),
                                          Make(valueOf(Number)), Temporary);
  if (!failed(Done))
    Done = syncFile(valueOf(Opened), Temporary);
  m_Files->close(valueOf(Opened));
  if (!failed(Done))
    Done = m_Files->rename(Temporary, Target);
  if (!failed(Done))
    Done = syncFolder();
  return Done;
}

Status Store::Parts::writeSnapshot(const consensus::Snapshot &Value) {
  const std::string Name = nameOf(SnapshotPrefix, Value.m_Index);
  Status Done = replaceFile(Name, seal("snapshot", encodeSnapshot(Value)));
  const consensus::Index Older = m_SnapshotIndex;
  if (failed(Done))
    return Done;
  m_SnapshotIndex = Value.m_Index;
  if (Older == 0 || Older == Value.m_Index)
    return std::monostate{};
  return m_Files->remove(path(nameOf(SnapshotPrefix, Older)));
}

void Store::Parts::closeNewest() {
  if (m_File >= 0)
    m_Files->close(m_File);
  m_File = -1;
}

Status Store::Parts::removeNewest() {
  closeNewest();
  if (Status Done = m_Files->remove(m_Segments.back().m_Path); failed(Done))
    return Done;
  m_Segments.pop_back();
  return std::monostate{};
}

/// Newest first, so that a crash leaves no gap.
Status Store::Parts::dropLog() {
  m_Pending.clear();
  m_Dirty = false;
  while (!m_Segments.empty())
    if (Status Done = removeNewest(); failed(Done))
      return Done;
  return syncFolder();
}

Status Store::Parts::compact(consensus::Index To) {
  while (m_Segments.size() > 1 && m_Segments.front().next() <= To + 1) {
    if (Status Done = m_Files->remove(m_Segments.front().m_Path); failed(Done))
      return Done;
    m_Segments.erase(m_Segments.begin());
  }
  return std::monostate{};
}

Status Store::Parts::reopenNewest() {
  if (m_File >= 0)
    return std::monostate{};
  const Result<int> Opened = m_Files->open(m_Segments.back().m_Path);
  if (failed(Opened))
    return errorOf(Opened);
  m_File = valueOf(Opened);
  return std::monostate{};
}

Status Store::Parts::truncate(consensus::Index From) {
  if (Status Done = flush(); failed(Done))
    return Done;
  bool Removed = false;
  while (m_Segments.size() > 1 && m_Segments.back().m_First >= From) {
    if (Status Done = removeNewest(); failed(Done))
      return Done;
    Removed = true;
  }
  // The later files must be gone for good before this one ends earlier.
  if (Removed)
    if (Status Done = syncFolder(); failed(Done))
      return Done;
  if (m_Segments.empty() || m_Segments.back().next() <= From)
    return std::monostate{};
  if (Status Done = reopenNewest(); failed(Done))
    return Done;
  Segment &Newest = m_Segments.back();
  const std::size_t Kept = From > Newest.m_First ? From - Newest.m_First : 0;
  Newest.m_Size = Newest.m_Offsets[Kept];
  Newest.m_Offsets.resize(Kept);
  m_Dirty = true;
  if (Status Done = m_Files->truncate(m_File, Newest.m_Size); failed(Done))
    return at(errorOf(Done), Newest.m_Path);
  return std::monostate{};
}

Status Store::Parts::startSegment(consensus::Index First) {
  closeNewest();
  Segment Started;
  Started.m_Path = path(nameOf(SegmentPrefix, First));
  Started.m_First = First;
  Started.m_Size = SegmentHeader.size();
  m_Segments.push_back(Started);
  if (Status Done = reopenNewest(); failed(Done))
    return Done;
  if (Status Done = writeAll(m_File, SegmentHeader, Started.m_Path);
      failed(Done))
    return Done;
  if (Status Done = syncFile(m_File, Started.m_Path); failed(Done))
    return Done;
  return syncFolder();
}

Status Store::Parts::append(const consensus::Record &Added) {
  if (!m_Segments.empty() && m_Segments.back().m_Size > SegmentBytes) {
    if (Status Done = sync(); failed(Done))
      return Done;
    if (Status Done = startSegment(Added.m_Index); failed(Done))
      return Done;
  }
  if (m_Segments.empty())
    if (Status Done = startSegment(Added.m_Index); failed(Done))
      return Done;
  Segment &Newest = m_Segments.back();
  if (Newest.next() != Added.m_Index)
    return Error{"store.append", Newest.m_Path,
                 fmt::format("record {} does not follow {}", Added.m_Index,
                             Newest.next() - 1)};
  const std::string Bytes = encodeRecord(Added);
  Newest.m_Offsets.push_back(Newest.m_Size);
  Newest.m_Size += Bytes.size();
  m_Pending += Bytes;
  return std::monostate{};
}

Status Store::Parts::flush() {
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

Status Store::Parts::write(const consensus::Persist &Changes) {
  if (Changes.m_HardState) {
    const std::string Bytes = seal("vote", encodeVote(*Changes.m_HardState));
    if (Status Done = replaceFile("vote", Bytes); failed(Done))
      return Done;
  }
  if (Changes.m_Snapshot)
    if (Status Done = writeSnapshot(*Changes.m_Snapshot); failed(Done))
      return Done;
  if (Changes.m_DropLog)
    if (Status Done = dropLog(); failed(Done))
      return Done;
  if (Changes.m_CompactTo != 0)
    if (Status Done = compact(Changes.m_CompactTo); failed(Done))
      return Done;
  if (Changes.m_TruncateFrom != 0)
    if (Status Done = truncate(Changes.m_TruncateFrom); failed(Done))
      return Done;
  for (const consensus::Record &Each : Changes.m_Records)
    if (Status Done = append(Each); failed(Done))
      return Done;
  return std::monostate{};
}

Status Store::Parts::sync() {
  if (Status Done = flush(); failed(Done))
    return Done;
  if (!m_Dirty)
    return std::monostate{};
  if (Status Done = syncFile(m_File, m_Segments.back().m_Path); failed(Done))
    return Done;
  m_Dirty = false;
  return std::monostate{};
}

// --- Reading --------------------------------------------------------------

static Result<std::string> readSealed(Files &Through, std::string_view Kind,
                                      const std::string &Path) {
  const Result<std::string> Bytes = Through.read(Path);
  if (failed(Bytes))
    return errorOf(Bytes);
  return unseal(Kind, valueOf(Bytes), Path);
}

Status Store::Parts::readIdentity(const std::string &Cluster,
                                  const NodeId &Member, CopyGuard Guard) {
  const std::string Path = path("identity");
  const auto Body = readSealed(*m_Files, "identity", Path);
  if (failed(Body))
    return errorOf(Body);
  const auto Read = decodeIdentity(valueOf(Body), Path);
  if (failed(Read))
    return errorOf(Read);
  m_Identity = valueOf(Read).m_Identity;
  if (m_Identity.m_Cluster != Cluster)
    return Error{"store.open", Path,
                 "the folder belongs to cluster " + m_Identity.m_Cluster};
  if (m_Identity.m_Member != Member)
    return Error{"store.open", Path,
                 "the folder belongs to member " + m_Identity.m_Member.m_Value};
  if (Guard == CopyGuard::None)
    return std::monostate{};
  const auto Number = m_Files->number(Path);
  if (failed(Number))
    return errorOf(Number);
  if (valueOf(Number) != valueOf(Read).m_Number)
    return Error{"store.open", Path,
                 "the folder was copied or restored; empty it, so that the "
                 "member is admitted anew"};
  return std::monostate{};
}

Status Store::Parts::readVote() {
  const std::string Path = path("vote");
  const auto Body = readSealed(*m_Files, "vote", Path);
  if (failed(Body))
    return errorOf(Body);
  const auto Read = decodeVote(valueOf(Body), Path);
  if (failed(Read))
    return errorOf(Read);
  m_Loaded.m_HardState = valueOf(Read);
  return std::monostate{};
}

Status Store::Parts::readPromise(const std::vector<std::string> &Names) {
  if (std::find(Names.begin(), Names.end(), "formation") == Names.end())
    return std::monostate{};
  const auto Body = readSealed(*m_Files, "formation", path("formation"));
  if (failed(Body))
    return errorOf(Body);
  m_Promise = valueOf(Body);
  return std::monostate{};
}

Status Store::Parts::removeTemporaries(const std::vector<std::string> &Names) {
  for (const std::string &Each : Names)
    if (endsWith(Each, TemporarySuffix))
      if (Status Done = m_Files->remove(path(Each)); failed(Done))
        return Done;
  return std::monostate{};
}

Status Store::Parts::readSnapshot(const std::vector<std::string> &Names) {
  std::vector<std::string> Found;
  for (const std::string &Each : Names)
    if (startsWith(Each, SnapshotPrefix) && !endsWith(Each, TemporarySuffix))
      Found.push_back(Each);
  if (Found.empty())
    return std::monostate{};
  std::sort(Found.begin(), Found.end());
  const std::string Path = path(Found.back());
  const auto Body = readSealed(*m_Files, "snapshot", Path);
  if (failed(Body))
    return errorOf(Body);
  auto Read = decodeSnapshot(valueOf(Body), Path);
  if (failed(Read))
    return errorOf(Read);
  m_Loaded.m_Snapshot =
      std::make_shared<consensus::Snapshot>(std::move(valueOf(Read)));
  m_SnapshotIndex = m_Loaded.m_Snapshot->m_Index;
  Found.pop_back();
  for (const std::string &Older : Found)
    if (Status Done = m_Files->remove(path(Older)); failed(Done))
      return Done;
  return std::monostate{};
}

Status Store::Parts::readSegment(const std::string &Name, bool Newest) {
  const std::string Path = path(Name);
  const Result<std::string> Bytes = m_Files->read(Path);
  if (failed(Bytes))
    return errorOf(Bytes);
  auto Decoded = decodeSegment(valueOf(Bytes), Newest, Path);
  if (failed(Decoded))
    return errorOf(Decoded);
  SegmentContent &Content = valueOf(Decoded);
  Segment Read;
  Read.m_Path = Path;
  Read.m_First = indexIn(Name, SegmentPrefix);
  Read.m_Offsets = std::move(Content.m_Offsets);
  Read.m_Size = Content.m_GoodBytes;
  const bool Fits = Content.m_Records.empty() ||
                    Content.m_Records.front().m_Index == Read.m_First;
  const bool Follows =
      m_Segments.empty() || m_Segments.back().next() == Read.m_First;
  if (!Fits || !Follows)
    return Error{"store.open", Path, "damaged at byte 0: records are missing"};
  for (consensus::Record &Each : Content.m_Records)
    m_Loaded.m_Records.push_back(std::move(Each));
  m_BytesCut += valueOf(Bytes).size() - Content.m_GoodBytes;
  m_Segments.push_back(std::move(Read));
  if (m_Segments.back().m_Size == 0)
    return removeNewest();
  if (valueOf(Bytes).size() == Content.m_GoodBytes)
    return std::monostate{};
  if (Status Done = reopenNewest(); failed(Done))
    return Done;
  if (Status Done = m_Files->truncate(m_File, Content.m_GoodBytes);
      failed(Done))
    return at(errorOf(Done), Path);
  return syncFile(m_File, Path);
}

Status Store::Parts::readSegments(const std::vector<std::string> &Names) {
  std::vector<std::string> Found;
  for (const std::string &Each : Names)
    if (startsWith(Each, SegmentPrefix))
      Found.push_back(Each);
  std::sort(Found.begin(), Found.end());
  for (const std::string &Each : Found)
    if (Status Done = readSegment(Each, Each == Found.back()); failed(Done))
      return Done;
  return fitLogToSnapshot();
}

/// A snapshot from the leader replaces a log that does not lead to it; a crash
/// may have come between the two.
Status Store::Parts::fitLogToSnapshot() {
  const std::vector<consensus::Record> &Records = m_Loaded.m_Records;
  const consensus::Index End = m_SnapshotIndex;
  if (Records.empty()) {
    const bool Fits =
        m_Segments.empty() || m_Segments.back().m_First == End + 1;
    return Fits ? Status{} : dropLog();
  }
  if (Records.front().m_Index > End + 1)
    return Error{"store.open", m_Segments.front().m_Path,
                 "damaged at byte 0: records before it are missing"};
  if (End == 0 || Records.front().m_Index == End + 1)
    return std::monostate{};
  const bool Reaches = Records.back().m_Index >= End;
  if (Reaches && Records[End - Records.front().m_Index].m_Term ==
                     m_Loaded.m_Snapshot->m_Term)
    return std::monostate{};
  m_Loaded.m_Records.clear();
  return dropLog();
}

// --- Public ---------------------------------------------------------------

/// Whether a format that a crash cut short may have left this file.
static bool isLeftByFormat(std::string_view Name) {
  return Name == "lock" || Name == "vote" || endsWith(Name, TemporarySuffix);
}

Result<bool> Store::isEmpty(Files &Through, const std::string &Folder) {
  if (Status Done = Through.makeFolder(Folder); failed(Done))
    return errorOf(Done);
  const auto Names = Through.list(Folder);
  if (failed(Names))
    return errorOf(Names);
  return std::all_of(valueOf(Names).begin(), valueOf(Names).end(),
                     isLeftByFormat);
}

Status Store::format(Files &Through, const std::string &Folder,
                     const std::string &Cluster, const NodeId &Member) {
  const Result<bool> Empty = isEmpty(Through, Folder);
  if (failed(Empty))
    return errorOf(Empty);
  if (!valueOf(Empty))
    return Error{"store.format", Folder, "the folder is not empty"};
  Parts Made;
  Made.m_Files = &Through;
  Made.m_Folder = Folder;
  if (Status Done = Made.replaceFile("vote", seal("vote", encodeVote({})));
      failed(Done))
    return Done;
  const Identity Fresh{Cluster, Member, randomIdentity()};
  return Made.replaceFile("identity", [&](std::uint64_t Number) {
    return seal("identity", encodeIdentity({Fresh, Number}));
  });
}

Store::Store(std::unique_ptr<Parts> Owned) : m_Parts(std::move(Owned)) {}

Store::~Store() = default;

Result<std::unique_ptr<Store>>
Store::open(Files &Through, const std::string &Folder,
            const std::string &Cluster, const NodeId &Member, CopyGuard Guard) {
  auto Made = std::make_unique<Parts>();
  Made->m_Files = &Through;
  Made->m_Folder = Folder;
  const auto Names = Through.list(Folder);
  if (failed(Names))
    return errorOf(Names);
  const auto Lock = Through.lock(Made->path("lock"));
  if (failed(Lock))
    return errorOf(Lock);
  Made->m_Lock = valueOf(Lock);
  Status Done = Made->readIdentity(Cluster, Member, Guard);
  if (!failed(Done))
    Done = Made->readVote();
  if (!failed(Done))
    Done = Made->readPromise(valueOf(Names));
  if (!failed(Done))
    Done = Made->removeTemporaries(valueOf(Names));
  if (!failed(Done))
    Done = Made->readSnapshot(valueOf(Names));
  if (!failed(Done))
    Done = Made->readSegments(valueOf(Names));
  if (failed(Done))
    return errorOf(Done);
  return std::unique_ptr<Store>(new Store(std::move(Made)));
}

const Identity &Store::identity() const { return m_Parts->m_Identity; }

consensus::PersistedState Store::takeLoaded() {
  return std::exchange(m_Parts->m_Loaded, {});
}

std::uint64_t Store::bytesCut() const { return m_Parts->m_BytesCut; }

Status Store::write(const consensus::Persist &Changes) {
  if (!m_Parts->m_Failure.m_Step.empty())
    return m_Parts->m_Failure;
  return m_Parts->keep(m_Parts->write(Changes));
}

Status Store::sync() {
  if (!m_Parts->m_Failure.m_Step.empty())
    return m_Parts->m_Failure;
  return m_Parts->keep(m_Parts->sync());
}

const std::string &Store::promise() const { return m_Parts->m_Promise; }

Status Store::makePromise(const std::string &Bytes) {
  WASABIVALE_INVARIANT(m_Parts->m_Promise.empty());
  if (!m_Parts->m_Failure.m_Step.empty())
    return m_Parts->m_Failure;
  Status Done = m_Parts->keep(
      m_Parts->replaceFile("formation", seal("formation", Bytes)));
  if (!failed(Done))
    m_Parts->m_Promise = Bytes;
  return Done;
}

std::uint64_t Store::syncCount() const { return m_Parts->m_SyncCount; }

const Error &Store::failure() const { return m_Parts->m_Failure; }

} // namespace wasabivale::store
