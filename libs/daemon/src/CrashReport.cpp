#include "daemon/daemon.h"

#include <array>
#include <charconv>
#include <csignal>
#include <cstring>
#include <exception>
#include <unistd.h>

namespace wasabivale::daemon {

namespace {

TimePoint StartedAt;
std::string_view Stage = "starting";
/// Of an exception that nothing handles; empty for a signal.
std::array<char, 200> ExceptionText{};

/// A line built without allocation: a signal may have come at any point.
class Line {
public:
  void add(std::string_view Text) {
    const std::size_t Count =
        std::min(Text.size(), m_Bytes.size() - 1 - m_Size);
    std::memcpy(m_Bytes.data() + m_Size, Text.data(), Count);
    m_Size += Count;
  }
  void add(std::int64_t Value) {
    std::array<char, 24> Digits{};
    const auto End =
        std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value);
    add({Digits.data(), static_cast<std::size_t>(End.ptr - Digits.data())});
  }
  void write() {
    m_Bytes[m_Size++] = '\n';
    (void)!::write(STDERR_FILENO, m_Bytes.data(), m_Size);
  }

private:
  std::array<char, 512> m_Bytes{};
  std::size_t m_Size = 0;
};

void takeFatalSignal(int Signal) {
  Line Report;
  Report.add("fatal 9002 process_crashed signal=");
  Report.add(Signal);
  Report.add(" age_ms=");
  Report.add(std::chrono::duration_cast<std::chrono::milliseconds>(processAge())
                 .count());
  Report.add(" stage=");
  Report.add(Stage);
  if (ExceptionText[0] != 0) {
    Report.add(" exception=\"");
    Report.add(ExceptionText.data());
    Report.add("\"");
  }
  Report.write();
  // The handler was for one signal: this one ends the process.
  (void)std::raise(Signal);
}

[[noreturn]] void takeUncaught() {
  try {
    if (const auto Thrown = std::current_exception())
      std::rethrow_exception(Thrown);
  } catch (const std::exception &Failure) {
    std::strncpy(ExceptionText.data(), Failure.what(),
                 ExceptionText.size() - 1);
  } catch (...) {
    std::strncpy(ExceptionText.data(), "unknown", ExceptionText.size() - 1);
  }
  std::abort();
}

} // namespace

void reportCrashes() {
  StartedAt = BootClock::now();
  std::set_terminate(takeUncaught);
  for (const int Signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
    struct sigaction Former = {};
    // A sanitizer has handlers of its own, which tell more.
    if (sigaction(Signal, nullptr, &Former) != 0 ||
        Former.sa_handler != SIG_DFL)
      continue;
    struct sigaction Own = {};
    Own.sa_handler = takeFatalSignal;
    Own.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    sigaction(Signal, &Own, nullptr);
  }
}

void noteStage(std::string_view Name) { Stage = Name; }

std::string_view currentStage() { return Stage; }

Duration processAge() { return BootClock::now() - StartedAt; }

} // namespace wasabivale::daemon
