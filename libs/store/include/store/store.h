/// \file
/// Term, vote, log and snapshots of one control member, as files in one data
/// folder.
///
/// | File | Content |
/// |---|---|
/// | `identity` | cluster, member, disk incarnation |
/// | `vote` | term and vote |
/// | `formation` | membership that this member has promised to form |
/// | `snapshot-INDEX` | state up to INDEX |
/// | `log-INDEX` | records from INDEX on, up to about `SegmentBytes` |
/// | `lock` | held by the process that uses the folder |
///
/// Everything is checksummed (XXH3). What failures do:
///
/// - A write, sync or rename that fails, or a full disk, fails the store for
///   good: every later call returns that error, and the process must end. Bytes
///   that a failed sync may have lost are never taken for durable.
/// - A write that is short is continued; if the rest fails, as above.
/// - At open, an incomplete or zero-filled end of the newest log file is a
///   write that was never acknowledged: it is cut.
/// - Any other damage is refused at open with the file and the offset.
/// - A folder of another cluster or member, or one whose identity file was
///   copied or restored from a backup (its file number differs), is refused:
///   it may have promised more than it remembers.

#ifndef WASABIVALE_STORE_STORE_H
#define WASABIVALE_STORE_STORE_H

#include "base/base.h"
#include "consensus/consensus.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wasabivale::store {

/// A log file that is larger is followed by a new one.
inline constexpr std::size_t SegmentBytes = 8U << 20U;

/// The file operations that a store needs. Tests put faults in between.
/// Errors name the path as peer.
class Files {
public:
  virtual ~Files() = default;
  virtual Status makeFolder(const std::string &Path) = 0;
  virtual Result<std::vector<std::string>> list(const std::string &Folder) = 0;
  virtual Result<std::string> read(const std::string &Path) = 0;
  /// Opens for appending; creates the file if it is missing.
  virtual Result<int> open(const std::string &Path) = 0;
  /// \returns how many bytes were written, which may be fewer.
  virtual Result<std::size_t> write(int File, std::string_view Bytes) = 0;
  virtual Status sync(int File) = 0;
  virtual Status truncate(int File, std::uint64_t Size) = 0;
  virtual void close(int File) = 0;
  virtual Status rename(const std::string &From, const std::string &To) = 0;
  virtual Status remove(const std::string &Path) = 0;
  virtual Status syncFolder(const std::string &Folder) = 0;
  /// Number of the file in its file system; a copy has another one.
  virtual Result<std::uint64_t> number(const std::string &Path) = 0;
  /// Locks the file for this process until `close`.
  virtual Result<int> lock(const std::string &Path) = 0;
};

/// The operating system's files.
Files &systemFiles();

struct Identity {
  std::string m_Cluster;
  NodeId m_Member;
  std::string m_Incarnation; ///< Random, made at format.
};

/// How a folder that was copied or restored is told from the one that it was
/// made as.
enum class CopyGuard : std::uint8_t {
  FileNumber, ///< The identity file keeps its number in the file system.
  None,       ///< For file systems whose numbers change with each mount.
};

class Store {
public:
  /// Whether \p Folder is missing, or holds nothing but what an unfinished
  /// format leaves. Makes a missing folder.
  static Result<bool> isEmpty(Files &Through, const std::string &Folder);

  /// Makes an empty \p Folder a member's disk with a fresh incarnation.
  static Status format(Files &Through, const std::string &Folder,
                       const std::string &Cluster, const NodeId &Member);

  /// Opens a formatted folder and reads all of it. \p Through must outlive the
  /// store. Errors: not formatted, in use, of another cluster or member,
  /// copied, damaged.
  static Result<std::unique_ptr<Store>>
  open(Files &Through, const std::string &Folder, const std::string &Cluster,
       const NodeId &Member, CopyGuard Guard = CopyGuard::FileNumber);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  [[nodiscard]] const Identity &identity() const;
  /// What was read at open; empty after the first call.
  consensus::PersistedState takeLoaded();
  /// Bytes of the unacknowledged end that was cut at open.
  [[nodiscard]] std::uint64_t bytesCut() const;

  /// Writes one step's changes. Nothing of it may be relied on before `sync`.
  Status write(const consensus::Persist &Changes);
  /// Makes everything written so far durable; costs one sync of a file if
  /// records were written, none if nothing was.
  Status sync();

  /// The promise of this disk to form a cluster; empty if there is none.
  [[nodiscard]] const std::string &promise() const;
  /// Makes a promise durable. \pre There is none yet.
  Status makePromise(const std::string &Bytes);

  /// Syncs of files and folders since open.
  [[nodiscard]] std::uint64_t syncCount() const;
  /// Why the store failed for good; empty step while it has not.
  [[nodiscard]] const Error &failure() const;

private:
  struct Parts;
  explicit Store(std::unique_ptr<Parts> Owned);
  std::unique_ptr<Parts> m_Parts;
};

} // namespace wasabivale::store

#endif // WASABIVALE_STORE_STORE_H
