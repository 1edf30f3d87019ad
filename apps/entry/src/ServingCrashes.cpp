// What a request may do while it, or its route, is suspected of crashing
// targets.

#include "Serving.h"

#include <algorithm>

namespace wasabivale::entry {

using retries::Gate;
using routing::TryOutcome;

std::optional<TimePoint> Serving::quarantinedUntil(TimePoint Now) const {
  if (!m_Asked.m_Passed)
    return std::nullopt;
  return m_Shared.m_Traits.quarantinedUntil(m_Traits, Now);
}

bool Serving::passGate(routing::Request &Wanted, TimePoint Now) {
  if (const auto Until = quarantinedUntil(Now)) {
    giveUp(Refusal::Quarantined, outcomeSoFar(), Error{"quarantine", "", ""},
           *Until - Now);
    return false;
  }
  // Equal plain requests are common; they are judged by what they share.
  if (m_Asked.m_Passed)
    return true;
  const retries::GateDecision Decided = m_Shared.m_Suspects.gate(m_Print, Now);
  switch (Decided.m_Gate) {
  case Gate::Open:
    return true;
  case Gate::SameTarget: {
    const FleetView::Known *There = m_Shared.m_Fleet.find(Decided.m_Target);
    // Copies of a popular request may outgrow one target.
    if (There != nullptr &&
        routing::inFlight(m_Shared.m_Routing, Decided.m_Target) <
            There->m_Description.max_running())
      Wanted.m_RequiredTarget = Decided.m_Target;
    return true;
  }
  case Gate::Hold: {
    auto Where =
        routing::choose(m_Shared.m_Routing, Wanted, Now, m_Shared.m_Random);
    if (!failed(Where)) {
      m_Shared.m_Suspects.want(m_Print, valueOf(Where).m_Run.m_Target);
      routing::recordEnded(m_Shared.m_Routing, valueOf(Where).m_Try,
                           TryOutcome::NotSent, Now);
    }
    waitUntil(Now + SuspectLook);
    return false;
  }
  case Gate::Isolated:
    Wanted.m_MaySplit = false;
    Wanted.m_MayProbe = false;
    if (!Decided.m_Target.empty())
      Wanted.m_RequiredTarget = Decided.m_Target;
    return true;
  case Gate::Quarantined:
    giveUp(Refusal::Quarantined, outcomeSoFar(), Error{"quarantine", "", ""});
    return false;
  }
  return true;
}

bool Serving::passRouteGate(TimePoint Now) {
  // One that a target has answered does not crash targets.
  if (!m_Asked.m_Passed || m_Failing)
    return true;
  const retries::RouteDecision Decided =
      m_Shared.m_Traits.evaluateRoute(m_Traits, Now, m_InTrial);
  if (Decided.m_Gate == retries::RouteGate::Closed) {
    giveUp(Refusal::Quarantined, outcomeSoFar(), Error{"route_pause", "", ""},
           Decided.m_RetryAt - Now);
    return false;
  }
  if (Decided.m_Gate == retries::RouteGate::Trial) {
    m_InTrial = true;
    m_Shared.m_Traits.startTrial(m_Traits.m_Route);
  }
  return true;
}

bool Serving::isolate(routing::Request &Wanted) {
  // One that a target has answered does not crash targets.
  if (!m_Asked.m_Passed || !m_Asked.isService() || m_Failing ||
      !m_Shared.m_Traits.isRouteSuspect(m_Traits))
    return true;
  const FleetView::Isolation Only = m_Shared.m_Fleet.isolation(m_Asked.m_Model);
  if (!Only.m_IsUsed)
    return true;
  const bool HasFailed =
      std::find(m_Avoid.begin(), m_Avoid.end(), Only.m_Target) != m_Avoid.end();
  if (Only.m_Target.empty() || HasFailed) {
    giveUp(Refusal::NoTarget, outcomeSoFar(), Error{"isolation", "", ""});
    return false;
  }
  Wanted.m_RequiredTarget = Only.m_Target;
  return true;
}

void Serving::notePassing() {
  ++m_TryEvents;
  if (!m_EventsToPass || m_TryEvents < *m_EventsToPass)
    return;
  m_EventsToPass.reset();
  m_Shared.m_Traits.recordPassed(m_Traits.m_Content);
  m_Shared.m_ReportSoon();
}

void Serving::reportBegun(const Try &Over, const TryEnding &Ending) {
  const routing::Leg &At = Over.leg();
  m_Shared.m_Traits.probeBegun(
      At.m_Target, At.m_Incarnation, Over.address(),
      {m_Traits.m_Content, m_Traits.m_Route, Ending.m_Events, m_Offset,
       BootClock::now() - m_SentAt},
      [Shared = &m_Shared] { Shared->m_ReportSoon(); });
}

void Serving::probeTarget(const Try &Over, const TryEnding &Ending) {
  const routing::Leg &At = Over.leg();
  if (m_Asked.m_Passed) {
    // Most runs that had begun are bystanders: they go on at once.
    if (m_Offset > 0) {
      reportBegun(Over, Ending);
      return takeFailure(Ending);
    }
    enter(Phase::Probing);
    m_Traits.m_Waited = BootClock::now() - m_SentAt;
    return m_Shared.m_Traits.probe(
        At.m_Target, At.m_Incarnation, Over.address(), m_Traits,
        [Weak = weak_from_this(), Ending](bool Crashed) {
          const auto Self = Weak.lock();
          if (Self == nullptr)
            return;
          if (Crashed)
            Self->m_Shared.m_ReportSoon();
          if (Self->m_Phase != Phase::Probing)
            return;
          Self->m_Traits.m_SentAgain = Self->m_Traits.m_SentAgain || Crashed;
          Self->m_MayCrashTargets =
              Crashed &&
              !Self->m_Shared.m_Traits.mayRetryAfterCrash(Self->m_Traits);
          Self->takeFailure(Ending);
        });
  }
  enter(Phase::Probing);
  m_Shared.m_Suspects.probe(At.m_Target, At.m_Incarnation, Over.address(),
                            [Weak = weak_from_this(), Ending](bool) {
                              const auto Self = Weak.lock();
                              if (Self != nullptr &&
                                  Self->m_Phase == Phase::Probing)
                                Self->takeFailure(Ending);
                            });
}

} // namespace wasabivale::entry
