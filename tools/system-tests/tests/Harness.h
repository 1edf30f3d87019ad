/// \file
/// Starts the real processes on loopback and talks to them, for tests.

#ifndef WASABIVALE_SYSTEMTESTS_HARNESS_H
#define WASABIVALE_SYSTEMTESTS_HARNESS_H

#include "http/http.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <sys/types.h>

namespace wasabivale::systemtests {

using Json = nlohmann::json;

/// Longest wait for anything that must happen; only a failure meets it.
constexpr std::chrono::seconds Patience{30};

/// A child process; killed and waited for when it goes out of scope.
class Process {
public:
  /// Starts \p Program of the build with its output in \p LogFile.
  Process(const std::string &Program, const std::vector<std::string> &Arguments,
          const std::string &LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  [[nodiscard]] pid_t pid() const { return m_Pid; }
  void signal(int Number) const;
  /// Waits for its end. \returns the exit code; 128 + N for signal N; nothing
  /// when it did not end in time.
  std::optional<int> wait();

private:
  pid_t m_Pid = 0;
};

/// An answer to a caller, streamed or not.
struct Answer {
  int m_Status = 0;
  http::Headers m_Headers;
  std::string m_Body;
  std::string m_Text;  ///< Of the pieces of a stream.
  bool m_Done = false; ///< `[DONE]` has come.
  std::string m_Outcome;
  bool m_Ended = false;
  bool m_Broken = false; ///< The connection ended early.

  std::size_t m_Read = 0; ///< Bytes of the body whose events were read.
  std::string m_Event;    ///< Kind of the event that is being read.
};

/// A deployment with its fake targets in a fresh folder.
class System {
public:
  struct Size {
    int m_Control = 1;
    int m_Entries = 2;
    int m_Engines = 2;
    int m_Services = 1;
    /// Further options of the fake targets.
    std::vector<std::string> m_Options;
  };

  /// \param FirstPort ports up to 299 above it are used.
  System(const Size &Wanted, int FirstPort);
  ~System();
  System(const System &) = delete;
  System &operator=(const System &) = delete;

  /// Turns the loop until \p Done. \returns whether that came in time.
  bool turnUntil(const std::function<bool()> &Done) const;
  void turnFor(std::chrono::milliseconds Time) const;

  /// Sends a request; the answer fills while the loop turns.
  std::shared_ptr<Answer>
  send(const http::Address &To, const std::string &Method,
       const std::string &Path, const http::Headers &With,
       const std::string &Body,
       std::chrono::milliseconds Timeout = Patience) const;
  Answer ask(const http::Address &To, const std::string &Method,
             const std::string &Path, const http::Headers &With,
             const std::string &Body,
             std::chrono::milliseconds Timeout = Patience) const;
  /// Starts a streamed completion at an entry.
  std::shared_ptr<Answer> complete(int Entry, const std::string &Prompt,
                                   int Tokens) const;
  Answer service(int Entry, const std::string &Path, const http::Headers &With,
                 const std::string &Body) const;
  /// Switches a fault of a fake target on.
  void fault(const Json &What) const;
  /// Lets a fake target ask to leave.
  void leave(const std::string &Target) const;
  /// Lines of the judge log of one event.
  [[nodiscard]] std::vector<Json> judged(const std::string &Event) const;

  [[nodiscard]] http::Address callers(int Entry) const;
  [[nodiscard]] http::Address operators(int Member) const;
  [[nodiscard]] std::string operatorToken() const;
  /// Waits until control lists \p Count targets in service.
  [[nodiscard]] bool serves(std::size_t Count) const;
  [[nodiscard]] Json status(int Member) const;

  /// Starts a control member (again) with its data.
  void startControl(int Member);
  [[nodiscard]] Process &control(int Member) const {
    return *m_Control[static_cast<std::size_t>(Member) - 1];
  }

  std::vector<std::unique_ptr<Process>> m_Control;
  std::vector<std::unique_ptr<Process>> m_Entries;
  std::unique_ptr<Process> m_Targets;

private:
  [[nodiscard]] bool allReady() const;
  [[nodiscard]] std::unique_ptr<Process> start(const std::string &Kind,
                                               int Number) const;
  /// Whether an entry has heard of targets of each kind.
  [[nodiscard]] bool answers(int Entry, const Size &Of) const;

  event_base *m_Loop;
  std::string m_Folder;
  int m_FirstPort;
  int m_Lock = -1; ///< Held while the ports are in use.
};

} // namespace wasabivale::systemtests

#endif // WASABIVALE_SYSTEMTESTS_HARNESS_H
