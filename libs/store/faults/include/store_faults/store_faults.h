/// \file
/// File operations with injected faults, for tests.

#ifndef WASABIVALE_STORE_FAULTS_STORE_FAULTS_H
#define WASABIVALE_STORE_FAULTS_STORE_FAULTS_H

#include "store/store.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>

namespace wasabivale::store {

enum class Fault : std::uint8_t {
  None,
  Full,          ///< Writes fail because the disk is full.
  ShortThenFull, ///< A write is short, the next ones fail.
  ShortOnce,     ///< A write is short, the next ones succeed.
  Sync,
  Rename,
  SyncFolder,
};

/// File operations of the system with one kind of injected fault.
class FaultyFiles final : public Files {
public:
  Fault m_Fault = Fault::None;
  bool m_WasShort = false;

  Status makeFolder(const std::string &Path) override {
    return m_SystemFiles.makeFolder(Path);
  }
  Result<std::vector<std::string>> list(const std::string &Path) override {
    return m_SystemFiles.list(Path);
  }
  Result<std::string> read(const std::string &Path) override {
    return m_SystemFiles.read(Path);
  }
  Result<int> open(const std::string &Path) override {
    return m_SystemFiles.open(Path);
  }
  Result<std::size_t> write(int File, std::string_view Bytes) override {
    if (m_Fault == Fault::Full ||
        (m_Fault == Fault::ShortThenFull && m_WasShort))
      return Error{"store.write", "", "No space left on device"};
    const bool Short = !m_WasShort && (m_Fault == Fault::ShortThenFull ||
                                       m_Fault == Fault::ShortOnce);
    m_WasShort = m_WasShort || Short;
    return m_SystemFiles.write(File, Short ? Bytes.substr(0, Bytes.size() / 2)
                                           : Bytes);
  }
  Status sync(int File) override {
    if (m_Fault == Fault::Sync)
      return Error{"store.sync", "", "Input/output error"};
    return m_SystemFiles.sync(File);
  }
  Status truncate(int File, std::uint64_t Size) override {
    return m_SystemFiles.truncate(File, Size);
  }
  void close(int File) override { m_SystemFiles.close(File); }
  Status rename(const std::string &From, const std::string &To) override {
    if (m_Fault == Fault::Rename)
      return Error{"store.rename", From, "Input/output error"};
    return m_SystemFiles.rename(From, To);
  }
  Status remove(const std::string &Path) override {
    return m_SystemFiles.remove(Path);
  }
  Status syncFolder(const std::string &Path) override {
    if (m_Fault == Fault::SyncFolder)
      return Error{"store.sync_folder", Path, "Input/output error"};
    return m_SystemFiles.syncFolder(Path);
  }
  Result<std::uint64_t> inode(const std::string &Path) override {
    return m_SystemFiles.inode(Path);
  }
  Result<int> lock(const std::string &Path) override {
    return m_SystemFiles.lock(Path);
  }

private:
  Files &m_SystemFiles = systemFiles();
};

/// File operations of the system behind a write cache, which a power loss
/// discards. As on Linux, bytes whose sync has failed count as clean: a later
/// sync does not write them.
class CachedFiles final : public Files {
public:
  FaultyFiles m_Disk;

  /// Restores the files of \p Folder as they were last synced.
  void losePower(const std::string &Folder) {
    for (const auto &Entry : std::filesystem::directory_iterator(Folder))
      std::filesystem::remove(Entry.path());
    m_Names = m_SyncedNames;
    for (const auto &[Path, File] : m_Names)
      std::ofstream(Path, std::ios::binary) << m_Contents[File].m_Synced;
  }

  Status makeFolder(const std::string &Path) override {
    return m_Disk.makeFolder(Path);
  }
  Result<std::vector<std::string>> list(const std::string &Path) override {
    return m_Disk.list(Path);
  }
  Result<std::string> read(const std::string &Path) override {
    return m_Disk.read(Path);
  }
  Result<int> open(const std::string &Path) override {
    m_Names.try_emplace(Path, m_Contents.size());
    m_Contents.try_emplace(m_Names[Path]);
    Result<int> Opened = m_Disk.open(Path);
    if (!failed(Opened))
      m_Paths[valueOf(Opened)] = Path;
    return Opened;
  }
  Result<std::size_t> write(int File, std::string_view Bytes) override {
    return m_Disk.write(File, Bytes);
  }
  Status sync(int File) override {
    const std::string &Path = m_Paths.at(File);
    Content &Synced = m_Contents.at(m_Names.at(Path));
    std::string Bytes = valueOf(m_Disk.read(Path));
    Status Done = m_Disk.sync(File);
    if (failed(Done)) {
      Synced.m_LostFrom = std::min(Synced.m_Synced.size(), Bytes.size());
      Synced.m_LostTo = Bytes.size();
      return Done;
    }
    for (std::size_t Lost = Synced.m_LostFrom; Lost < Synced.m_LostTo; ++Lost)
      Bytes[Lost] = '\0';
    Synced.m_Synced = std::move(Bytes);
    return Done;
  }
  Status truncate(int File, std::uint64_t Size) override {
    Content &Shorter = m_Contents.at(m_Names.at(m_Paths.at(File)));
    Shorter.m_LostTo = std::min<std::size_t>(Shorter.m_LostTo, Size);
    return m_Disk.truncate(File, Size);
  }
  void close(int File) override { m_Disk.close(File); }
  Status rename(const std::string &From, const std::string &To) override {
    Status Done = m_Disk.rename(From, To);
    if (!failed(Done)) {
      m_Names[To] = m_Names.at(From);
      m_Names.erase(From);
    }
    return Done;
  }
  Status remove(const std::string &Path) override {
    m_Names.erase(Path);
    return m_Disk.remove(Path);
  }
  Status syncFolder(const std::string &Path) override {
    Status Done = m_Disk.syncFolder(Path);
    if (!failed(Done))
      m_SyncedNames = m_Names;
    return Done;
  }
  Result<std::uint64_t> inode(const std::string &Path) override {
    return m_Disk.inode(Path);
  }
  Result<int> lock(const std::string &Path) override {
    return m_Disk.lock(Path);
  }

private:
  struct Content {
    std::string m_Synced;
    /// Range of bytes whose sync has failed.
    std::size_t m_LostFrom = 0;
    std::size_t m_LostTo = 0;
  };
  std::map<std::size_t, Content> m_Contents;
  std::map<std::string, std::size_t> m_Names; ///< Files by path.
  std::map<std::string, std::size_t> m_SyncedNames;
  std::map<int, std::string> m_Paths; ///< Paths by descriptor.
};

} // namespace wasabivale::store

#endif // WASABIVALE_STORE_FAULTS_STORE_FAULTS_H
