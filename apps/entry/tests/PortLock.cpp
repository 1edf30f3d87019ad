// The tests listen at fixed ports: another run on this machine waits.

#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace {

struct PortLock : Catch::TestEventListenerBase {
  using TestEventListenerBase::TestEventListenerBase;

  void testRunStarting(const Catch::TestRunInfo &Run) override {
    TestEventListenerBase::testRunStarting(Run);
    const std::string File =
        std::filesystem::temp_directory_path() / "wasabivale-entry-test-ports";
    m_File = ::open(File.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (m_File < 0 || ::flock(m_File, LOCK_EX) != 0)
      throw std::runtime_error("cannot lock " + File);
  }

  void testRunEnded(const Catch::TestRunStats &Run) override {
    if (m_File >= 0)
      ::close(m_File);
    TestEventListenerBase::testRunEnded(Run);
  }

  int m_File = -1;
};

CATCH_REGISTER_LISTENER(PortLock)

} // namespace
