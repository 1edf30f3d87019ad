#include "store/store.h"

#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace wasabivale::store {

namespace {

constexpr mode_t FolderMode = 0750;
constexpr mode_t FileMode = 0640;

Error failure(const char *Step, const std::string &Path) {
  return {Step, Path, std::strerror(errno)};
}

/// Closes a descriptor at the end of a scope.
struct Descriptor {
  int m_Value = -1;
  ~Descriptor() {
    if (m_Value >= 0)
      ::close(m_Value);
  }
};

class SystemFiles final : public Files {
public:
  Status makeFolder(const std::string &Path) override {
    if (::mkdir(Path.c_str(), FolderMode) != 0 && errno != EEXIST)
      return failure("store.make_folder", Path);
    return std::monostate{};
  }

  Result<std::vector<std::string>> list(const std::string &Folder) override {
    DIR *Opened = ::opendir(Folder.c_str());
    if (Opened == nullptr)
      return failure("store.list", Folder);
    std::vector<std::string> Names;
    while (const dirent *Each = ::readdir(Opened)) {
      const std::string Name = static_cast<const char *>(Each->d_name);
      if (Name != "." && Name != "..")
        Names.push_back(Name);
    }
    ::closedir(Opened);
    return Names;
  }

  Result<std::string> read(const std::string &Path) override {
    const Descriptor Opened{::open(Path.c_str(), O_RDONLY | O_CLOEXEC)};
    if (Opened.m_Value < 0)
      return failure("store.read", Path);
    std::string Bytes;
    constexpr std::size_t PieceBytes = 1U << 16U;
    std::string Piece(PieceBytes, '\0');
    for (;;) {
      const ssize_t Count = ::read(Opened.m_Value, Piece.data(), Piece.size());
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0)
        return failure("store.read", Path);
      if (Count == 0)
        return Bytes;
      Bytes.append(Piece, 0, static_cast<std::size_t>(Count));
    }
  }

  Result<int> open(const std::string &Path) override {
    const int Opened = ::open(
        Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
    if (Opened < 0)
      return failure("store.open", Path);
    return Opened;
  }

  Result<std::size_t> write(int File, std::string_view Bytes) override {
    for (;;) {
      const ssize_t Count = ::write(File, Bytes.data(), Bytes.size());
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0)
        return failure("store.write", "");
      return static_cast<std::size_t>(Count);
    }
  }

  Status sync(int File) override {
    if (::fdatasync(File) != 0)
      return failure("store.sync", "");
    return std::monostate{};
  }

  Status truncate(int File, std::uint64_t Size) override {
    if (::ftruncate(File, static_cast<off_t>(Size)) != 0)
      return failure("store.truncate", "");
    return std::monostate{};
  }

  void close(int File) override { ::close(File); }

  Status rename(const std::string &From, const std::string &To) override {
    if (::rename(From.c_str(), To.c_str()) != 0)
      return failure("store.rename", From);
    return std::monostate{};
  }

  Status remove(const std::string &Path) override {
    if (::unlink(Path.c_str()) != 0 && errno != ENOENT)
      return failure("store.remove", Path);
    return std::monostate{};
  }

  Status syncFolder(const std::string &Folder) override {
    const Descriptor Opened{
        ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (Opened.m_Value < 0 || ::fsync(Opened.m_Value) != 0)
      return failure("store.sync_folder", Folder);
    return std::monostate{};
  }

  Result<std::uint64_t> number(const std::string &Path) override {
    struct stat Facts {};
    if (::stat(Path.c_str(), &Facts) != 0)
      return failure("store.number", Path);
    return static_cast<std::uint64_t>(Facts.st_ino);
  }

  Result<int> lock(const std::string &Path) override {
    Result<int> Opened = open(Path);
    if (failed(Opened))
      return Opened;
    if (::flock(valueOf(Opened), LOCK_EX | LOCK_NB) == 0)
      return Opened;
    const Error Failure = failure("store.lock", Path);
    close(valueOf(Opened));
    return Failure;
  }
};

} // namespace

Files &systemFiles() {
  static SystemFiles Only;
  return Only;
}

} // namespace wasabivale::store
