// wasabivale-control: a member of the control group.

#include "Control.h"
#include "ControlSettings.h"
#include "daemon/daemon.h"
#include "events/events.h"

using namespace wasabivale;

static int run(const control::ControlSettings &Settings) {
  daemon::EventLoop Loop;
  metrics::Registry Registry;
  auto Control = control::Control::open(Loop.base(), Settings, Registry);
  if (failed(Control)) {
    events::emitError(events::Event::ListenFailed, errorOf(Control));
    return daemon::ExitFailed;
  }
  bool Stopping = false;
  auto Platform = daemon::listenForPlatform(
      Loop.base(), Settings.m_AdminListen, Registry,
      [&Stopping] { return std::string(Stopping ? "stopping" : ""); });
  if (failed(Platform)) {
    events::emitError(events::Event::ListenFailed, errorOf(Platform));
    return daemon::ExitFailed;
  }
  Loop.onStop([&] {
    Stopping = true;
    events::emit(events::Event::ProcessStopping, {{"id", Settings.m_Id}});
    Loop.end();
  });
  events::emit(events::Event::ProcessStarted,
               {{"id", Settings.m_Id}, {"listen", Settings.m_Listen}});
  Loop.run();
  events::emit(events::Event::ProcessStopped, {{"id", Settings.m_Id}});
  return daemon::ExitOk;
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
  return run(valueOf(Settings));
}
