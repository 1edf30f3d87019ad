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

Error systemError(const char *Step, const std::string &Path) {
  return {Step, Path, std::strerror(errno)};
}

/// Closes a file descriptor at the end of the scope.
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
      return systemError("store.make_folder", Path);
    return std::monostate{};
  }

  Result<std::vector<std::string>> list(const std::string &Folder) override {
    DIR *Directory = ::opendir(Folder.c_str());
    if (Directory == nullptr)
      return systemError("store.list", Folder);
    std::vector<std::string> Names;
    while (const dirent *Entry = ::readdir(Directory)) {
      const std::string Name = static_cast<const char *>(Entry->d_name);
      if (Name != "." && Name != "..")
        Names.push_back(Name);
    }
    ::closedir(Directory);
    return Names;
  }

  Result<std::string> read(const std::string &Path) override {
    const Descriptor File{::open(Path.c_str(), O_RDONLY | O_CLOEXEC)};
    if (File.m_Value < 0)
      return systemError("store.read", Path);
    std::string Bytes;
    constexpr std::size_t BufferBytes = 1U << 16U;
    std::string Buffer(BufferBytes, '\0');
    for (;;) {
      const ssize_t Count = ::read(File.m_Value, Buffer.data(), Buffer.size());
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0)
        return systemError("store.read", Path);
      if (Count == 0)
        return Bytes;
      Bytes.append(Buffer, 0, static_cast<std::size_t>(Count));
    }
  }

  Result<int> open(const std::string &Path) override {
    const int File = ::open(
        Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
    if (File < 0)
      return systemError("store.open", Path);
    return File;
  }

  Result<std::size_t> write(int File, std::string_view Bytes) override {
    for (;;) {
      const ssize_t Count = ::write(File, Bytes.data(), Bytes.size());
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0)
        return systemError("store.write", "");
      return static_cast<std::size_t>(Count);
    }
  }

  Status sync(int File) override {
    if (::fdatasync(File) != 0)
      return systemError("store.sync", "");
    return std::monostate{};
  }

  Status truncate(int File, std::uint64_t Size) override {
    if (::ftruncate(File, static_cast<off_t>(Size)) != 0)
      return systemError("store.truncate", "");
    return std::monostate{};
  }

  void close(int File) override { ::close(File); }

  Status rename(const std::string &From, const std::string &To) override {
    if (::rename(From.c_str(), To.c_str()) != 0)
      return systemError("store.rename", From);
    return std::monostate{};
  }

  Status remove(const std::string &Path) override {
    if (::unlink(Path.c_str()) != 0 && errno != ENOENT)
      return systemError("store.remove", Path);
    return std::monostate{};
  }

  Status syncFolder(const std::string &Folder) override {
    const Descriptor File{
        ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (File.m_Value < 0 || ::fsync(File.m_Value) != 0)
      return systemError("store.sync_folder", Folder);
    return std::monostate{};
  }

  Result<std::uint64_t> inode(const std::string &Path) override {
    struct stat Info {};
    if (::stat(Path.c_str(), &Info) != 0)
      return systemError("store.number", Path);
    return static_cast<std::uint64_t>(Info.st_ino);
  }

  Result<int> lock(const std::string &Path) override {
    Result<int> File = open(Path);
    if (failed(File))
      return File;
    if (::flock(valueOf(File), LOCK_EX | LOCK_NB) == 0)
      return File;
    const Error Failure = systemError("store.lock", Path);
    close(valueOf(File));
    return Failure;
  }
};

} // namespace

Files &systemFiles() {
  static SystemFiles Instance;
  return Instance;
}

} // namespace wasabivale::store
