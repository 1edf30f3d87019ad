// wasabivale-control: a member of the control group.

#include "Control.h"
#include "ControlSettings.h"
#include "Handover.h"
#include "daemon/daemon.h"
#include "events/events.h"

using namespace wasabivale;

static constexpr std::chrono::milliseconds HandoverLook{20};

static int run(const control::ControlSettings &Settings,
               const std::string &File, const settings::Json &Document) {
  daemon::EventLoop Loop;
  metrics::Registry Registry;
  bool Failed = false;
  auto Control = control::Control::open(Loop.base(), Settings, Registry, [&] {
    Failed = true;
    Loop.end();
  });
  if (failed(Control)) {
    events::emitError(events::Event::ListenFailed, errorOf(Control));
    return daemon::ExitFailed;
  }
  bool Stopping = false;
  auto Platform = daemon::listenForPlatform(
      Loop.base(), Settings.m_AdminListen, Registry,
      [&] { return Stopping ? "stopping" : valueOf(Control)->notReady(); });
  if (failed(Platform)) {
    events::emitError(events::Event::ListenFailed, errorOf(Platform));
    return daemon::ExitFailed;
  }
  std::unique_ptr<http::Timer> Ending;
  Loop.onStop([&] {
    Stopping = true;
    events::emit(events::Event::ProcessStopping, {{"id", Settings.m_Id}});
    valueOf(Control)->prepareStop();
    const TimePoint Until = BootClock::now() + control::LongestHandover;
    Ending = std::make_unique<http::Timer>(
        Loop.base(), HandoverLook, true, [&, Until] {
          if (control::mayEnd(valueOf(Control)->isLeader(),
                              valueOf(Control)->members(), BootClock::now(),
                              Until))
            Loop.end();
        });
  });
  const daemon::SettingsWatch Watch(
      Loop, File, control::controlSchema(), Document,
      [&](const settings::Json &Next) {
        const auto Read = control::toControlSettings(Next);
        if (failed(Read))
          return events::emitError(events::Event::ReloadRefused, errorOf(Read));
        valueOf(Control)->reload(valueOf(Read));
      });
  events::emit(events::Event::ProcessStarted,
               {{"id", Settings.m_Id}, {"listen", Settings.m_Listen}});
  Loop.run();
  events::emit(events::Event::ProcessStopped, {{"id", Settings.m_Id}});
  return Failed ? daemon::ExitFailed : daemon::ExitOk;
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
