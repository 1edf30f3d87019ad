#include "daemon/daemon.h"

#include "events/events.h"

#include <cerrno>
#include <csignal>
#include <cstring>

namespace wasabivale::daemon {

namespace {

constexpr std::chrono::milliseconds WatchInterval{100};
/// Errors of the loop in turn after which the process ends. One that comes
/// after the loop has turned for this long is the first of its kind.
constexpr int MaxInterruptions = 100;
constexpr std::chrono::milliseconds TurnsAgain{5};

} // namespace

EventLoop::EventLoop()
    : m_Base(event_base_new()),
      m_Terminate(evsignal_new(m_Base, SIGTERM, onSignal, this)),
      m_Interrupt(evsignal_new(m_Base, SIGINT, onSignal, this)),
      m_Reload(evsignal_new(
          m_Base, SIGHUP,
          [](evutil_socket_t, short, void *Argument) {
            const auto &Self = *static_cast<EventLoop *>(Argument);
            if (Self.m_OnReload)
              Self.m_OnReload();
          },
          this)),
      m_LastTurn(BootClock::now()) {
  std::signal(SIGPIPE, SIG_IGN);
  event_add(m_Terminate, nullptr);
  event_add(m_Interrupt, nullptr);
  event_add(m_Reload, nullptr);
  m_Watch = std::make_unique<http::Timer>(m_Base, WatchInterval, true,
                                          [this] { noteTurn(); });
}

EventLoop::~EventLoop() {
  m_Watch.reset();
  // Freeing an event restores the former handler, which would end the process
  // with another code than its own.
  sigset_t Stops;
  sigset_t Former;
  sigemptyset(&Stops);
  sigaddset(&Stops, SIGTERM);
  sigaddset(&Stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stops, &Former);
  event_free(m_Reload);
  event_free(m_Interrupt);
  event_free(m_Terminate);
  if (m_Stopping) {
    std::signal(SIGTERM, SIG_IGN);
    std::signal(SIGINT, SIG_IGN);
  }
  pthread_sigmask(SIG_SETMASK, &Former, nullptr);
  event_base_free(m_Base);
}

void EventLoop::onSignal(evutil_socket_t, short, void *Argument) {
  auto &Self = *static_cast<EventLoop *>(Argument);
  if (Self.m_Stopping)
    return;
  Self.m_Stopping = true;
  if (Self.m_OnStop)
    Self.m_OnStop();
  else
    Self.end();
}

void EventLoop::noteTurn() {
  const TimePoint Now = BootClock::now();
  const Duration Gap = Now - m_LastTurn;
  m_LastTurn = Now;
  if (Gap < PauseThreshold)
    return;
  events::emit(
      events::Event::ProcessPaused,
      {{"gap_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(Gap).count()}});
  if (m_OnPause)
    m_OnPause(Gap);
}

Status EventLoop::run() {
  m_HasEnded = false;
  for (int Interruptions = 1;; ++Interruptions) {
    const TimePoint Entered = BootClock::now();
    const int Code = event_base_dispatch(m_Base);
    const int SystemError = errno;
    if (m_HasEnded)
      return std::monostate{};
    events::emit(
        events::Event::LoopInterrupted,
        {{"code", Code},
         {"error", std::strerror(SystemError)},
         {"age_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(processAge())
              .count()},
         {"stage", currentStage()}});
    if (BootClock::now() - Entered >= TurnsAgain)
      Interruptions = 1;
    if (Interruptions == MaxInterruptions)
      return Error{"loop.run", "", "the event loop fails again and again"};
  }
}

void EventLoop::end() {
  m_HasEnded = true;
  event_base_loopbreak(m_Base);
}

} // namespace wasabivale::daemon
