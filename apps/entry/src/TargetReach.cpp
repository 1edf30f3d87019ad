#include "TargetReach.h"

#include "events/events.h"

#include <algorithm>

namespace wasabivale::entry {

namespace {

/// A timer may fire this much too early: the loop reads its clock once a turn.
constexpr std::chrono::milliseconds TimerError{50};

std::int64_t milliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

reach::ProbeResult toResult(http::ListenerState Found) {
  switch (Found) {
  case http::ListenerState::Listening:
    return reach::ProbeResult::Connected;
  case http::ListenerState::Refused:
  case http::ListenerState::Failed:
    return reach::ProbeResult::Rejected;
  case http::ListenerState::Unknown:
    return reach::ProbeResult::Silent;
  }
  return reach::ProbeResult::Silent;
}

} // namespace

TargetReach::TargetReach(event_base *Loop, http::Pool &Connections,
                         const FleetView &Fleet, EntryMetrics &Metrics)
    : m_Loop(Loop), m_Connections(Connections), m_Fleet(Fleet),
      m_Metrics(Metrics) {
  http::PoolObserver Observer;
  Observer.m_OnConnected = [this](const http::Address &Target) {
    const reach::Phase Before = phase();
    const bool WasAsking = m_State.m_AsksTargets;
    const TimePoint Now = BootClock::now();
    reach::recordConnected(m_State, http::printAddress(Target), Now);
    if (phase() != Before || m_State.m_AsksTargets != WasAsking)
      advanceSoon(Now);
  };
  Observer.m_OnFailure = [this](const http::Address &Target,
                                TimePoint SilentSince) {
    recordFailure(Target, SilentSince);
  };
  Observer.m_OnReceived = [this] {
    reach::recordReceived(m_State, BootClock::now());
  };
  m_Connections.observe(std::move(Observer));
}

TargetReach::~TargetReach() {
  m_Connections.observe({});
  for (const auto &[Address, Question] : m_Questions)
    Question->cancel();
}

void TargetReach::recordFailure(const http::Address &Target,
                                TimePoint SilentSince) {
  const TimePoint Now = BootClock::now();
  reach::recordFailure(m_State, http::printAddress(Target), SilentSince, Now);
  // Not from here: the call that failed is still at work.
  advanceSoon(Now);
}

void TargetReach::recordStalled(const http::Address &Target,
                                TimePoint SilentSince) {
  recordFailure(Target, SilentSince);
}

void TargetReach::recordWaiting(const http::Address &Target,
                                TimePoint SilentSince) {
  const TimePoint Now = BootClock::now();
  if (reach::recordUnanswered(m_State, http::printAddress(Target), SilentSince,
                              Now))
    advanceSoon(Now);
}

void TargetReach::verify(TimePoint Since, std::function<void(bool)> Done) {
  if (m_State.m_ConnectedAt >= Since && !m_State.m_AsksTargets)
    return Done(true);
  m_Waiting.push_back(std::move(Done));
  reach::requestProbes(m_State);
  advanceSoon(BootClock::now());
}

void TargetReach::recordProbe(const std::string &Address,
                              reach::ProbeResult Result) {
  reach::recordProbe(m_State, Address, Result, BootClock::now());
  advance();
}

void TargetReach::connect(const std::string &Address, TimePoint Deadline) {
  // Only addresses that can be read are candidates.
  m_Probes[Address] = std::make_unique<http::ListenerProbe>(
      m_Loop, valueOf(http::parseAddress(Address)), Deadline,
      [this, Address](http::ListenerState Found) {
        m_Probes.erase(Address);
        recordProbe(Address, toResult(Found));
      });
}

void TargetReach::ask(const std::string &Address, const std::string &Path,
                      TimePoint Deadline) {
  http::ClientRequest Out;
  Out.m_To = valueOf(http::parseAddress(Address));
  Out.m_Method = "GET";
  Out.m_Path = Path;
  Out.m_Deadline = Deadline;
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [this, Address,
                       Deadline](const Result<http::Response> &Answer) {
    m_Questions.erase(Address);
    const bool IsLate = BootClock::now() + TimerError >= Deadline;
    const bool HasAnswered =
        !failed(Answer) || http::isMalformedResponse(errorOf(Answer));
    recordProbe(Address, HasAnswered ? reach::ProbeResult::Answered
                         : IsLate    ? reach::ProbeResult::Silent
                                     : reach::ProbeResult::Rejected);
  };
  m_Questions[Address] =
      http::call(m_Loop, std::move(Out), std::move(Handlers));
}

void TargetReach::advanceSoon(TimePoint When) {
  if (m_Next != nullptr && m_NextAt <= When)
    return;
  m_NextAt = When;
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max<Duration>(When - BootClock::now(), Duration(0)));
  m_Next = std::make_unique<http::Timer>(m_Loop, Left, false, [this] {
    m_Next.reset();
    advance();
  });
}

void TargetReach::advance() {
  const TimePoint Now = BootClock::now();
  const reach::Phase Before = phase();
  const std::vector<reach::Candidate> Serving = m_Fleet.serving();
  const std::vector<std::string> Addresses =
      reach::takeProbes(m_State, Serving, Now);
  if (Before == reach::Phase::Direct && phase() == reach::Phase::Suspected)
    events::emit(events::Event::TargetsProbed,
                 {{"failed", m_State.m_Failures.size()},
                  {"unanswered", m_State.m_Unanswered.size()},
                  {"health", m_State.m_AsksTargets},
                  {"serving", m_State.m_ServingCount},
                  {"probes", Addresses.size()}});
  const TimePoint Deadline = Now + reach::probeTimeout(m_State);
  for (const std::string &Address : Addresses) {
    m_Metrics.m_ReachProbes.add();
    if (!m_State.m_AsksTargets) {
      connect(Address, Deadline);
      continue;
    }
    const auto Target = std::find_if(Serving.begin(), Serving.end(),
                                     [&](const reach::Candidate &Known) {
                                       return Known.m_Address == Address;
                                     });
    ask(Address, Target->m_HealthPath, Deadline);
  }
  logChange(Now);
  if (const auto Next = reach::nextProbesAt(m_State))
    advanceSoon(*Next);
  if (reach::isProbing(m_State))
    return;
  const bool IsReached = phase() == reach::Phase::Direct;
  for (const auto &Done : std::exchange(m_Waiting, {}))
    Done(IsReached);
}

void TargetReach::logChange(TimePoint Now) {
  const bool WasCut = m_Logged == reach::Phase::Cut;
  m_Logged = phase();
  if (WasCut == isCut())
    return;
  m_Metrics.m_TargetsUnreachable.m_Value = isCut() ? 1 : 0;
  if (isCut()) {
    m_CutAt = Now;
    m_Metrics.m_Partitions.add();
    events::emit(
        events::Event::TargetsUnreachable,
        {{"serving", m_State.m_ServingCount},
         {"probes_failed", m_State.m_Failed.size()},
         {"rejected", m_State.m_Rejected.size()},
         {"connected_ms_ago", milliseconds(Now - m_State.m_ConnectedAt)},
         {"received_ms_ago", milliseconds(Now - m_State.m_ReceivedAt)}});
  } else {
    events::emit(events::Event::TargetsReached,
                 {{"after_ms", milliseconds(Now - m_CutAt)},
                  {"serving", m_State.m_ServingCount}});
  }
  if (m_OnChange)
    m_OnChange();
}

bool turnsCallersAway(CutReadiness Policy, const TargetReach &Reach,
                      bool CanForward) {
  if (!Reach.isCut())
    return false;
  switch (Policy) {
  case CutReadiness::StaysReady:
    return false;
  case CutReadiness::TurnsUnready:
    return true;
  case CutReadiness::TurnsUnreadyUnlessForwarding:
    return !CanForward;
  }
  return false;
}

} // namespace wasabivale::entry
