// wasabivale-entry: the data path on every entry VM.

#include "Entry.h"
#include "EntrySettings.h"
#include "daemon/daemon.h"
#include "events/events.h"
#include "platform/platform.h"

using namespace wasabivale;

static int run(const entry::EntrySettings &Settings, const std::string &File,
               const settings::Json &Document) {
  daemon::EventLoop Loop;
  metrics::Registry Registry;
  auto Entry =
      entry::Entry::open(Loop.base(), Settings, Registry, &platform::dialect());
  if (failed(Entry)) {
    events::emitError(events::Event::ListenFailed, errorOf(Entry));
    return daemon::ExitFailed;
  }
  auto Platform = daemon::listenForPlatform(
      Loop.base(), Settings.m_AdminListen, Registry,
      [&] { return valueOf(Entry)->notReady(); },
      [&] { valueOf(Entry)->updateGauges(); }, "/readyz",
      Settings.m_CallerLimits.m_Memory);
  if (failed(Platform)) {
    events::emitError(events::Event::ListenFailed, errorOf(Platform));
    return daemon::ExitFailed;
  }
  Result<std::unique_ptr<http::Server>> Readiness{nullptr};
  if (Settings.m_Routes)
    Readiness = daemon::listenForPlatform(
        Loop.base(), Settings.m_Routes->m_ReadinessListen, Registry,
        [&] { return valueOf(Entry)->notReady(); }, nullptr,
        platform::ReadinessPath, Settings.m_CallerLimits.m_Memory);
  if (failed(Readiness)) {
    events::emitError(events::Event::ListenFailed, errorOf(Readiness));
    return daemon::ExitFailed;
  }
  Loop.onStop([&] {
    events::emit(events::Event::ProcessStopping, {{"id", Settings.m_Id}});
    valueOf(Entry)->stop([&] { Loop.end(); });
  });
  const daemon::SettingsWatch Watch(
      Loop, File, entry::entrySchema(), Document,
      [&](const settings::Json &Next) {
        const auto Read = entry::toEntrySettings(Next);
        if (failed(Read))
          return events::emitError(events::Event::ReloadRefused, errorOf(Read));
        valueOf(Entry)->reload(valueOf(Read));
      });
  events::emit(events::Event::ProcessStarted,
               {{"id", Settings.m_Id},
                {"callers", http::printAddress(Settings.m_CallersListen)}});
  daemon::noteStage("serving");
  const Status Ended = Loop.run();
  const shutdown::Progress Open = valueOf(Entry)->progress();
  events::emit(
      events::Event::ProcessStopped,
      {{"id", Settings.m_Id},
       {"reason", failed(Ended) ? describe(errorOf(Ended)) : "stop"},
       {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                      daemon::processAge())
                      .count()},
       {"stage", daemon::currentStage()},
       {"open", Open.m_OpenRequests},
       {"connections", Open.m_Connections},
       {"exchanges", Open.m_Exchanges},
       {"passed_on", Open.m_PassedOn}});
  return failed(Ended) ? daemon::ExitFailed : daemon::ExitOk;
}

int main(int ArgumentCount, char **Arguments) {
  auto Read = daemon::readSettings(ArgumentCount, Arguments, "wasabivale-entry",
                                   "the data path on an entry VM",
                                   entry::entrySchema());
  if (const int *Code = std::get_if<int>(&Read))
    return *Code;
  const auto Settings = entry::toEntrySettings(std::get<settings::Json>(Read));
  if (failed(Settings)) {
    events::emitError(events::Event::SettingsInvalid, errorOf(Settings));
    return daemon::ExitUsage;
  }
  return run(valueOf(Settings), daemon::settingsFile(ArgumentCount, Arguments),
             std::get<settings::Json>(Read));
}
