/// \file
/// File operations with injected faults, for tests.

#ifndef WASABIVALE_STORE_FAULTS_STORE_FAULTS_H
#define WASABIVALE_STORE_FAULTS_STORE_FAULTS_H

#include "store/store.h"

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

} // namespace wasabivale::store

#endif // WASABIVALE_STORE_FAULTS_STORE_FAULTS_H
