// wasabivale-control: a member of the control group.

#include "Control.h"
#include "ControlSettings.h"
#include "Handover.h"
#include "daemon/daemon.h"
#include "events/events.h"

#include <utility>

using namespace wasabivale;

static constexpr std::chrono::milliseconds HandoverPollInterval{20};

static int run(const control::ControlSettings &Settings,
               const std::string &File, const settings::Json &Document) {
  daemon::EventLoop Loop;
  metrics::Registry Registry;
  // A full disk must not end the process: work that needs no disk continues.
  daemon::Reopening<control::Control> Member(
      Loop.base(), [&](std::function<void()> OnFailed) {
        return control::Control::open(Loop.base(), Settings, Registry,
                                      std::move(OnFailed));
      });
  if (const Status Opened = Member.open(); failed(Opened)) {
    events::emitError(events::Event::ListenFailed, errorOf(Opened));
    return daemon::ExitFailed;
  }
  bool Stopping = false;
  const auto NotReady = [&]() -> std::string {
    if (Stopping)
      return "stopping";
    return Member.now() == nullptr ? "the data folder failed"
                                   : Member.now()->notReady();
  };
  auto Platform = daemon::listenForPlatform(
      Loop.base(), Settings.m_AdminListen, Registry, NotReady,
      [&] {
        daemon::recordMemory(Registry, *Settings.m_Limits.m_Memory);
        daemon::recordMalformedResponses(Registry);
      },
      "/readyz", Settings.m_Limits.m_Memory);
  if (failed(Platform)) {
    events::emitError(events::Event::ListenFailed, errorOf(Platform));
    return daemon::ExitFailed;
  }
  std::unique_ptr<http::Timer> Ending;
  bool IsClosing = false;
  Loop.onStop([&] {
    Stopping = true;
    daemon::noteStage("stopping");
    events::emit(events::Event::ProcessStopping, {{"id", Settings.m_Id}});
    if (Member.now() != nullptr)
      Member.now()->prepareStop();
    const TimePoint Deadline = BootClock::now() + control::HandoverTimeout;
    Ending = std::make_unique<http::Timer>(
        Loop.base(), HandoverPollInterval, true, [&, Deadline] {
          control::Control *Now = Member.now();
          if (Now == nullptr)
            return Loop.end();
          if (!IsClosing && !control::mayEnd(Now->isLeader(), Now->members(),
                                             BootClock::now(), Deadline))
            return;
          if (!std::exchange(IsClosing, true))
            daemon::noteStage("closing");
          if (Now->advanceClose(BootClock::now()))
            Loop.end();
        });
  });
  const daemon::SettingsWatch Watch(
      Loop, File, control::controlSchema(), Document,
      [&](const settings::Json &Next) {
        const auto Read = control::toControlSettings(Next);
        if (failed(Read))
          return events::emitError(events::Event::ReloadRefused, errorOf(Read));
        if (Member.now() != nullptr)
          Member.now()->reload(valueOf(Read));
      });
  events::emit(events::Event::ProcessStarted,
               {{"id", Settings.m_Id}, {"listen", Settings.m_Listen}});
  daemon::noteStage("running");
  const Status Ended = Loop.run();
  events::emit(
      events::Event::ProcessStopped,
      {{"id", Settings.m_Id},
       {"reason", failed(Ended) ? describe(errorOf(Ended)) : "stop"},
       {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                      daemon::processAge())
                      .count()},
       {"stage", daemon::currentStage()},
       {"connections",
        Member.now() == nullptr ? 0 : Member.now()->connections()},
       {"exchanges", Member.now() == nullptr ? 0 : Member.now()->exchanges()}});
  return failed(Ended) ? daemon::ExitFailed : daemon::ExitOk;
}

int main(int ArgumentCount, char **Arguments) {
  auto Read = daemon::readSettings(
      ArgumentCount, Arguments, "wasabivale-control",
      "a member of the control group", control::controlSchema());
  if (const int *Code = std::get_if<int>(&Read))
    return *Code;
  const auto Settings =
      control::toControlSettings(std::get<settings::Json>(Read));
  if (failed(Settings)) {
    events::emitError(events::Event::SettingsInvalid, errorOf(Settings));
    return daemon::ExitUsage;
  }
  return run(valueOf(Settings), daemon::settingsFile(ArgumentCount, Arguments),
             std::get<settings::Json>(Read));
}
