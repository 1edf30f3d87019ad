#include "Entry.h"

#include "daemon/daemon.h"
#include "events/events.h"

namespace wasabivale::entry {

namespace {

/// Several ends of runs at a draining target share one report.
constexpr std::chrono::milliseconds ReportDelay{5};
constexpr std::chrono::milliseconds StopLook{20};
/// Time for the last report to leave the process.
constexpr std::chrono::milliseconds LastReportDelay{30};

} // namespace

Entry::Entry(event_base *Loop, const EntrySettings &Settings,
             metrics::Registry &Registry, const relay::Dialect *PlainRequests)
    : m_Loop(Loop), m_Settings(Settings), m_Registry(Registry),
      m_Metrics(Registry),
      m_Ledger(
          Settings.m_Id, controlCall(), [this] { return m_Control->session(); },
          [this] { m_Control->renewSession(); }),
      m_Requests(std::make_unique<DataPath>(
          Loop, Settings, m_Metrics,
          DataPath::Ties{m_Ledger,
                         [this](TimePoint Now) {
                           return m_Control != nullptr &&
                                  (m_Settings.m_Routes.has_value() ||
                                   m_Control->holdsLease(Now));
                         },
                         [this] { reportSoon(); }, PlainRequests,
                         controlCall()})),
      m_TargetsApi(controlCall(), m_Requests->fleet(), m_Requests->routing(),
                   Registry) {}

Entry::~Entry() {
  // Nothing may call back into what is already gone.
  m_Forwards.reset();
  m_PlainCallers.reset();
  m_Callers.reset();
  m_Targets.reset();
  m_Requests.reset();
  m_Control.reset();
}

LedgerClient::Call Entry::controlCall() {
  return [this](wire::Command Command, TimePoint Deadline,
                LedgerClient::OnReply Done) {
    if (m_Control != nullptr)
      m_Control->call(std::move(Command), Deadline, std::move(Done));
  };
}

Result<std::unique_ptr<Entry>>
Entry::open(event_base *Loop, const EntrySettings &Settings,
            metrics::Registry &Registry, const relay::Dialect *PlainRequests) {
  std::unique_ptr<Entry> Made(
      new Entry(Loop, Settings, Registry, PlainRequests));
  if (Status Opened = Made->openControl(); failed(Opened))
    return errorOf(Opened);
  if (Status Listening = Made->listenToAll(); failed(Listening))
    return errorOf(Listening);
  return Made;
}

Status Entry::openControl() {
  ControlLink::Handlers Handlers;
  Handlers.m_OnFleet = [this](const wire::FleetUpdate &Update) {
    return m_Requests->takeFleet(Update);
  };
  Handlers.m_OnGrant = [this](const wire::ControlGrant &Grant,
                              TimePoint LeaseEnd) {
    m_Requests->takeGrant(Grant, LeaseEnd);
  };
  Handlers.m_FillReport = [this](wire::EntryReport &Report) {
    fillReport(Report);
  };
  Handlers.m_FillWork = [this](wire::WorkNotice &Notice) {
    return m_Requests->fillWork(Notice);
  };
  Handlers.m_OnTraits = [this](const wire::TraitsUpdate &Update) {
    m_Requests->applyTraits(Update);
  };
  Handlers.m_OnOthersWork = [this](const wire::OthersWork &Told) {
    m_Requests->takeOthersWork(Told);
  };
  Handlers.m_OnWorkDigest = [this](const wire::WorkDigest &Digest) {
    return m_Requests->applyWorkDigest(Digest);
  };
  auto Control =
      ControlLink::open(m_Loop, m_Settings, m_Registry, std::move(Handlers));
  if (failed(Control))
    return errorOf(Control);
  m_Control = std::move(valueOf(Control));
  return std::monostate{};
}

Status Entry::listenToPlainRequests() {
  // What the routes allow a caller may be more than the settings say.
  auto Callers = http::listen(
      m_Loop, m_Settings.m_Routes->m_Listen, m_Settings.m_CallerLimits,
      [this](const std::shared_ptr<http::Exchange> &Arrived) {
        m_Requests->takePassed(Arrived);
      },
      [this](int HttpStatus) {
        return m_Requests->refuseMalformed(HttpStatus);
      });
  if (failed(Callers))
    return errorOf(Callers);
  m_PlainCallers = std::move(valueOf(Callers));
  daemon::logCloses(*m_PlainCallers, "plain");
  return std::monostate{};
}

Status Entry::listenToForwards() {
  if (m_Settings.m_Routes->m_ForwardListen.m_Port == 0)
    return std::monostate{};
  auto Forwards = http::listen(
      m_Loop, m_Settings.m_Routes->m_ForwardListen, m_Settings.m_CallerLimits,
      [this](const std::shared_ptr<http::Exchange> &Arrived) {
        m_Requests->takeForwarded(Arrived);
      });
  if (failed(Forwards))
    return errorOf(Forwards);
  m_Forwards = std::move(valueOf(Forwards));
  daemon::logCloses(*m_Forwards, "forwards");
  return std::monostate{};
}

Status Entry::listenToAll() {
  if (m_Settings.m_Routes) {
    if (Status Opened = listenToPlainRequests(); failed(Opened))
      return Opened;
    if (Status Opened = listenToForwards(); failed(Opened))
      return Opened;
  }
  if (m_Settings.m_CallersListen.m_Port == 0)
    return std::monostate{};
  http::ServerLimits OfTargets;
  OfTargets.m_Memory = m_Settings.m_CallerLimits.m_Memory;
  auto Targets =
      http::listen(m_Loop, m_Settings.m_TargetsListen, OfTargets,
                   [this](const std::shared_ptr<http::Exchange> &Arrived) {
                     m_TargetsApi.take(Arrived);
                   });
  if (failed(Targets))
    return errorOf(Targets);
  m_Targets = std::move(valueOf(Targets));
  auto Callers = http::listen(
      m_Loop, m_Settings.m_CallersListen, m_Settings.m_CallerLimits,
      [this](const std::shared_ptr<http::Exchange> &Arrived) {
        m_Requests->take(Arrived);
      },
      [this](int HttpStatus) {
        return m_Requests->refuseMalformed(HttpStatus);
      });
  if (failed(Callers))
    return errorOf(Callers);
  m_Callers = std::move(valueOf(Callers));
  daemon::logCloses(*m_Callers, "callers");
  return std::monostate{};
}

std::string Entry::notReady() const {
  if (m_Stop)
    return "stopping";
  if (m_Requests->sendsCallersAway())
    return "no target can be reached";
  if (m_Settings.m_Routes)
    return m_Requests->takesRequests() ? "" : "no routes yet";
  if (!m_Control->holdsLease(BootClock::now()))
    return "no lease from control";
  return "";
}

void Entry::fillReport(wire::EntryReport &Report) {
  m_Requests->fillReport(Report);
  m_TargetsApi.fillReport(Report);
}

void Entry::reportSoon() {
  if (m_ReportTimer != nullptr || m_Control == nullptr)
    return;
  m_ReportTimer =
      std::make_unique<http::Timer>(m_Loop, ReportDelay, false, [this] {
        m_ReportTimer.reset();
        m_Control->reportNow();
      });
}

void Entry::updateGauges() {
  m_Requests->updateGauges();
  daemon::recordMalformedResponses(m_Registry);
  if (m_Settings.m_CallerLimits.m_Memory != nullptr)
    daemon::recordMemory(m_Registry, *m_Settings.m_CallerLimits.m_Memory);
  if (m_Callers == nullptr)
    return;
  m_Registry
      .gauge("wasabivale_entry_connections", "Open connections of callers")
      .m_Value = static_cast<double>(m_Callers->connections());
  m_Registry
      .gauge("wasabivale_entry_refused_connections",
             "Connections closed for being too many")
      .m_Value = static_cast<double>(m_Callers->refusedConnections());
  m_Registry
      .gauge("wasabivale_entry_slow_senders",
             "Connections closed for sending a request too slowly")
      .m_Value = static_cast<double>(m_Callers->slowSenders());
}

void Entry::stop(std::function<void()> Done) {
  if (m_Stop)
    return;
  m_Stop = shutdown::State{shutdown::makeSchedule(BootClock::now(),
                                                  m_Settings.m_StopLag,
                                                  m_Settings.m_StopPatience),
                           shutdown::Stage::Answering,
                           {}};
  m_OnStopped = std::move(Done);
  daemon::noteStage(shutdown::stageName(m_Stop->m_Stage));
  m_Requests->startStopping(m_Stop->m_Deadlines);
  watchStop();
}

void Entry::watchStop() {
  m_StopTimer = std::make_unique<http::Timer>(m_Loop, StopLook, true,
                                              [this] { advanceStop(); });
}

std::vector<http::Server *> Entry::callerServers() const {
  std::vector<http::Server *> Servers;
  for (const auto *Server : {&m_Callers, &m_PlainCallers, &m_Forwards})
    if (*Server != nullptr)
      Servers.push_back(Server->get());
  return Servers;
}

shutdown::Progress Entry::progress() const {
  shutdown::Progress Open;
  Open.m_OpenRequests = m_Requests->open();
  Open.m_PassedOn = m_Requests->passedOn();
  Open.m_ControlCalls = m_Control->openCalls();
  for (const http::Server *Server : callerServers()) {
    Open.m_Connections += Server->connections();
    Open.m_Exchanges += Server->exchanges();
  }
  return Open;
}

void Entry::advanceStop() {
  const TimePoint Now = BootClock::now();
  if (shutdown::mustCut(*m_Stop, Now) && m_Requests->open() > 0) {
    events::emit(events::Event::StopPatienceOver,
                 {{"open", m_Requests->open()}});
    m_Requests->endAll();
  }
  if (m_Stop->m_Stage == shutdown::Stage::Closing)
    for (http::Server *Server : callerServers())
      Server->closeIdle();
  const shutdown::Progress Open = progress();
  if (!shutdown::advance(*m_Stop, Open, Now))
    return;
  events::emit(
      events::Event::StopAdvanced,
      {{"stage", shutdown::stageName(m_Stop->m_Stage)},
       {"open", Open.m_OpenRequests},
       {"connections", Open.m_Connections},
       {"exchanges", Open.m_Exchanges},
       {"passed_on", Open.m_PassedOn},
       {"left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                       m_Stop->m_Deadlines.m_ExitBy - Now)
                       .count()}});
  enterStage(m_Stop->m_Stage);
}

void Entry::enterStage(shutdown::Stage Next) {
  daemon::noteStage(shutdown::stageName(Next));
  if (Next == shutdown::Stage::Refusing)
    m_Requests->stopTaking();
  if (Next == shutdown::Stage::Closing) {
    for (http::Server *Server : callerServers())
      Server->stopAccepting();
    m_Control->reportNow();
  }
  if (Next != shutdown::Stage::Exiting)
    return;
  m_Control->sendLastReport();
  // Not from here: the end of the process takes the timer with it.
  m_StopTimer = std::make_unique<http::Timer>(m_Loop, LastReportDelay, false,
                                              [this] { endUnlessOpen(); });
}

void Entry::endUnlessOpen() {
  const TimePoint Now = BootClock::now();
  const shutdown::Progress Open = progress();
  if (shutdown::mayEnd(*m_Stop, Open, Now)) {
    if (const auto Done = std::exchange(m_OnStopped, nullptr))
      Done();
    return;
  }
  events::emit(
      events::Event::EndDelayed,
      {{"open", Open.m_OpenRequests},
       {"connections", Open.m_Connections},
       {"exchanges", Open.m_Exchanges},
       {"passed_on", Open.m_PassedOn},
       {"control_calls", Open.m_ControlCalls},
       {"left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                       m_Stop->m_Deadlines.m_ExitBy - Now)
                       .count()}});
  daemon::noteStage(shutdown::stageName(m_Stop->m_Stage));
  watchStop();
}

} // namespace wasabivale::entry
