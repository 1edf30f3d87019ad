/// \file
/// What every program of this project shares: options, checked settings, the
/// event loop with its signals, and the platform's endpoints.

#ifndef WASABIVALE_DAEMON_DAEMON_H
#define WASABIVALE_DAEMON_DAEMON_H

#include "base/base.h"
#include "events/events.h"
#include "http/http.h"
#include "metrics/metrics.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace wasabivale::daemon {

/// Exit codes of every program.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

/// Reads `--help --version --config FILE --check-config`.
/// \returns the valid settings, or the code with which the program is to end;
/// whatever the user has to be told has been printed then. Each finding in the
/// settings is one line on standard error. Unknown keys are findings for
/// `--check-config`; a program that starts logs them and leaves them out.
/// From here on SIGHUP does not end the process.
std::variant<settings::Json, int>
readSettings(int ArgumentCount, char **Arguments, const std::string &Program,
             const std::string &Summary, const settings::Json &Schema);

/// Logs keys of a settings file that this version does not know.
void reportIgnored(const std::vector<settings::Problem> &Ignored);

/// The settings file that `readSettings` took: of `--config`, else of the
/// variable WASABIVALE_CONFIG; empty when neither is given.
std::string settingsFile(int ArgumentCount, char **Arguments);

/// JSON schema pieces that several programs share, under their names:
/// `address` (ip:port), `name`, `z85_key`, `discovery`.
settings::Json sharedDefinitions();

/// Where control members are found that no settings name: each is known by its
/// IP address, and all their hubs listen on one port.
struct Discovery {
  std::uint16_t m_HubPort = 0;
  std::vector<NodeId> m_Seeds; ///< Members to ask first; they may be gone.
  bool m_MayForm = false;      ///< Whether the cluster may be formed anew.
  std::uint32_t m_Losses = 1;  ///< Members whose loss at once is borne.
};

/// \pre \p From is valid under the definition `discovery`.
Discovery readDiscovery(const settings::Json &From);

/// `ip:port` of a member's hub.
std::string hubAddress(const Discovery &In, const NodeId &Member);

/// The process's event loop. SIGTERM and SIGINT call the stop handler once;
/// further ones are ignored. SIGHUP calls the reload handler. SIGPIPE is
/// ignored.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  [[nodiscard]] event_base *base() const { return m_Base; }
  void onStop(std::function<void()> Handler) { m_OnStop = std::move(Handler); }
  void onReload(std::function<void()> Handler) {
    m_OnReload = std::move(Handler);
  }
  /// Called with the length of the gap when the loop did not turn for longer
  /// than `PauseThreshold`: the process was paused, and leases are doubtful.
  void onPause(std::function<void(Duration)> Handler) {
    m_OnPause = std::move(Handler);
  }
  /// Turns until `end`: an error of the loop itself is logged, and does not end
  /// the process while requests are open. \returns an error if the loop fails
  /// again and again.
  Status run();
  void end();

private:
  static void onSignal(evutil_socket_t, short, void *Argument);
  void noteTurn();

  event_base *m_Base;
  event *m_Terminate;
  event *m_Interrupt;
  event *m_Reload;
  std::unique_ptr<http::Timer> m_Watch;
  TimePoint m_LastTurn;
  bool m_Stopping = false;
  bool m_HasEnded = false;
  std::function<void()> m_OnStop;
  std::function<void()> m_OnReload;
  std::function<void(Duration)> m_OnPause;
};

/// From here on a crash writes one line with its reason, the age of the process
/// and its stage to standard error. `readSettings` calls it.
void reportCrashes();
/// Names what the process does now, for that line.
/// \param Stage is kept: a text that lasts as long as the process.
void noteStage(std::string_view Stage);
[[nodiscard]] std::string_view currentStage();
/// Time since `reportCrashes`.
[[nodiscard]] Duration processAge();

/// Reads a settings file again on SIGHUP, and when its text has changed without
/// one. Settings that are not valid change nothing.
class SettingsWatch {
public:
  /// \param Apply gets each valid document that differs from the former.
  SettingsWatch(EventLoop &Loop, std::string File, settings::Json Schema,
                settings::Json Former,
                std::function<void(const settings::Json &)> Apply);

private:
  void look(bool Asked);

  std::string m_File;
  settings::Json m_Schema;
  settings::Json m_Former;
  std::string m_FormerText;
  std::function<void(const settings::Json &)> m_Apply;
  std::unique_ptr<http::Timer> m_Timer;
};

/// A gap between two turns of the loop from which on the process takes itself
/// for paused.
inline constexpr std::chrono::milliseconds PauseThreshold{1000};

/// Pause before a part of the process that has failed is opened again: about
/// as long as a restart of the process would take.
inline constexpr std::chrono::milliseconds ReopenPause{1000};

/// Keeps a part of the process open that may fail while it runs, because a disk
/// is full, say: closes it, and opens it again until that works. The rest of
/// the process goes on meanwhile.
template <typename Part> class Reopening {
public:
  /// Opens the part; it calls \p OnFailed, also more than once, when it can't
  /// go on.
  using Open =
      std::function<Result<std::unique_ptr<Part>>(std::function<void()>)>;

  Reopening(event_base *Loop, Open How, Duration Pause = ReopenPause)
      : m_Loop(Loop), m_Open(std::move(How)),
        m_Pause(std::chrono::ceil<std::chrono::milliseconds>(Pause)) {}

  /// Opens it for the first time. A failure here is the caller's.
  Status open() {
    auto Made = m_Open([this] { fail(); });
    if (failed(Made))
      return errorOf(Made);
    m_Now = std::move(valueOf(Made));
    return std::monostate{};
  }

  /// Null while it is closed.
  [[nodiscard]] Part *now() const { return m_Now.get(); }

private:
  void fail() {
    // Not from here: this is a call of the part that is to be closed.
    m_Next = std::make_unique<http::Timer>(m_Loop, std::chrono::milliseconds(0),
                                           false, [this] {
                                             m_Now.reset();
                                             reopenLater();
                                           });
  }

  void reopenLater() {
    m_Next = std::make_unique<http::Timer>(m_Loop, m_Pause, false, [this] {
      m_Next.reset(); // Set again by a failure while it opens.
      const Status Opened = open();
      if (failed(Opened)) {
        events::emitError(events::Event::ReopenFailed, errorOf(Opened));
        reopenLater();
      } else if (m_Next == nullptr) {
        events::emit(events::Event::Reopened, {});
      }
    });
  }

  event_base *m_Loop;
  Open m_Open;
  std::chrono::milliseconds m_Pause;
  std::unique_ptr<Part> m_Now;
  std::unique_ptr<http::Timer> m_Next;
};

/// Answers `/healthz`, `/readyz` and `/metrics`.
/// \param NotReady yields the reason why the process is not ready, or an empty
/// string; \param BeforePrint brings gauges up to date; \param ReadyPath is
/// answered like `/readyz`; \param Memory the budget of the process.
Result<std::unique_ptr<http::Server>>
listenForPlatform(event_base *Loop, const http::Address &At,
                  const metrics::Registry &Registry,
                  std::function<std::string()> NotReady,
                  std::function<void()> BeforePrint = nullptr,
                  const std::string &ReadyPath = "/readyz",
                  std::shared_ptr<http::MemoryBudget> Memory = nullptr);

/// Logs closes of \p Server: those of this process, and those that took an
/// answer with them. \param Listener is kept: a text that lasts as long.
void logCloses(http::Server &Server, std::string_view Listener);

/// Brings the gauges of a process's memory budget up to date.
void recordMemory(metrics::Registry &Registry, const http::MemoryBudget &Of);

/// Brings the counters of malformed responses up to date, one for each reason.
void recordMalformedResponses(metrics::Registry &Registry);

} // namespace wasabivale::daemon

#endif // WASABIVALE_DAEMON_DAEMON_H
