#include "Admin.h"
#include "Options.h"

#include "events/events.h"

#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

using namespace wasabivale;

namespace {

constexpr std::chrono::milliseconds TurnEvery{5};

/// The targets of the process, their admin port and its end.
struct Process {
  faketargets::Context m_Shared;
  std::vector<std::unique_ptr<faketargets::Target>> m_Targets;
  bool m_Stopping = false;

  void turn() {
    const TimePoint Now = BootClock::now();
    bool AllLeft = true;
    for (const auto &Target : m_Targets) {
      Target->turn(Now);
      AllLeft = AllLeft && m_Stopping && Target->hasLeft(Now);
    }
    if (m_Stopping && AllLeft)
      event_base_loopbreak(m_Shared.m_Loop);
  }

  void stop() {
    if (std::exchange(m_Stopping, true))
      return;
    events::emit(events::Event::ProcessStopping, {});
    for (const auto &Target : m_Targets)
      Target->leave();
  }
};

void onSignal(evutil_socket_t, short, void *Argument) {
  static_cast<Process *>(Argument)->stop();
}

int run(const faketargets::Settings &With) {
  auto Judge = faketargets::JudgeLog::open(With.m_JudgeLog);
  if (failed(Judge)) {
    events::emitError(events::Event::SettingsInvalid, errorOf(Judge));
    return EXIT_FAILURE;
  }
  std::signal(SIGPIPE, SIG_IGN);
  event_base *Loop = event_base_new();
  int Code = EXIT_SUCCESS;
  {
    Process Running{
        {Loop, With, std::move(valueOf(Judge)), Random(With.m_Seed)}, {}};
    for (auto &Announced : faketargets::announcements(With)) {
      Running.m_Targets.push_back(std::make_unique<faketargets::Target>(
          Running.m_Shared, std::move(Announced)));
      const Status Started = Running.m_Targets.back()->start();
      if (failed(Started)) {
        events::emitError(events::Event::ListenFailed, errorOf(Started));
        Code = EXIT_FAILURE;
      }
    }
    auto Admin =
        faketargets::listenForAdmin(Running.m_Shared, Running.m_Targets);
    if (failed(Admin)) {
      events::emitError(events::Event::ListenFailed, errorOf(Admin));
      Code = EXIT_FAILURE;
    }
    const http::Timer Turn(Loop, TurnEvery, true, [&] { Running.turn(); });
    event *Term = evsignal_new(Loop, SIGTERM, onSignal, &Running);
    event *Interrupt = evsignal_new(Loop, SIGINT, onSignal, &Running);
    evsignal_add(Term, nullptr);
    evsignal_add(Interrupt, nullptr);
    if (Code == EXIT_SUCCESS) {
      events::emit(events::Event::ProcessStarted,
                   {{"engines", With.m_Engines},
                    {"services", With.m_Services},
                    {"first_port", With.m_FirstPort}});
      event_base_dispatch(Loop);
      events::emit(events::Event::ProcessStopped, {});
    }
    event_free(Term);
    event_free(Interrupt);
  }
  event_base_free(Loop);
  return Code;
}

} // namespace

int main(int Count, char **Arguments) {
  const faketargets::Options Asked = faketargets::readOptions(Count, Arguments);
  if (!Asked.m_Text.empty())
    fmt::print(Asked.m_ExitCode == 0 ? stdout : stderr, "{}\n", Asked.m_Text);
  if (!Asked.m_Settings)
    return Asked.m_ExitCode;
  return run(*Asked.m_Settings);
}
