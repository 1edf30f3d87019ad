#include "Suspects.h"

#include "events/events.h"

#include <algorithm>
#include <limits>

namespace wasabivale::entry {

using retries::Fingerprint;
using retries::Gate;

namespace {

/// A target that does not answer by then is taken for slow or cut off, not for
/// crashed.
constexpr std::chrono::milliseconds ProbeTimeout{500};
/// Pause before a target whose connection broke under the question is asked
/// again: a process that dies closes its connections before its listener.
constexpr std::chrono::milliseconds ProbeRepeated{100};
/// How long each crash is repeated in the reports.
constexpr std::chrono::seconds CrashRepeated{5};
/// Crashes under a suspect from which on it is not run here.
constexpr std::size_t CrashesToQuarantine = 2;
/// Crashed incarnations that are remembered.
constexpr std::size_t CrashesKept = 4096;
/// The newest crash is in no report yet.
constexpr std::uint64_t NotReported = std::numeric_limits<std::uint64_t>::max();

} // namespace

retries::GateDecision Suspects::gate(Fingerprint Print, TimePoint Now) const {
  retries::GateDecision Decided = retries::evaluateGate(m_Watch, Print, Now);
  if (Decided.m_Gate != Gate::Hold || m_ControlDecides)
    return Decided;
  const auto Crashes = m_LocalCrashes.find(Print);
  if (Crashes != m_LocalCrashes.end() &&
      Crashes->second.size() >= CrashesToQuarantine)
    return {Gate::Quarantined, {}};
  return m_Watch.m_Running.contains(Print)
             ? Decided
             : retries::GateDecision{Gate::Isolated, {}};
}

bool Suspects::isTaken(const TargetId &Id) const {
  return std::any_of(m_Isolated.begin(), m_Isolated.end(),
                     [&](const auto &One) { return One.second == Id; });
}

void Suspects::noteRun(Fingerprint Print, const TargetId &Target,
                       std::string_view Instance, TimePoint Now) {
  if (gate(Print, Now).m_Gate == Gate::Isolated)
    m_Isolated[Print] = Target;
  m_Wishes.erase(Print);
  retries::recordRunStart(m_Watch, Print, Target, Instance);
}

void Suspects::noteRunEnded(Fingerprint Print, bool Completed) {
  retries::recordRunEnd(m_Watch, Print);
  const auto Alone = m_Isolated.find(Print);
  if (Alone == m_Isolated.end())
    return;
  wire::RerunReport End;
  End.set_fingerprint(Print);
  End.set_target(Alone->second.m_Value);
  End.set_state(Completed ? "completed" : "failed");
  m_RerunEnds.push_back(std::move(End));
  m_Isolated.erase(Alone);
  if (!Completed || m_ControlDecides)
    return;
  // It ran alone and the target lived: it was a bystander.
  m_LocalCrashes.erase(Print);
  m_Watch.m_Suspects.erase(Print);
}

void Suspects::want(Fingerprint Print, const TargetId &Target) {
  m_Wishes[Print] = Target;
}

void Suspects::dropWish(Fingerprint Print) { m_Wishes.erase(Print); }

void Suspects::probe(const TargetId &Target, const std::string &Instance,
                     const http::Address &At, std::function<void(bool)> Done) {
  const Incarnation Of{Target, Instance};
  if (m_Crashed.contains(Of))
    return Done(true);
  Probe &Open = m_Probes[Of];
  Open.m_Waiting.push_back(std::move(Done));
  if (Open.m_Waiting.size() > 1)
    return;
  Open.m_At = At;
  Open.m_Deadline = BootClock::now() + ProbeTimeout;
  askState(Of);
}

void Suspects::askState(const Incarnation &Of) {
  const Probe &Open = m_Probes[Of];
  auto Call = std::make_shared<std::weak_ptr<http::ClientCall>>();
  *Call = targets::getState(
      m_Loop, Open.m_At, Open.m_Deadline,
      [this, Of, Call](const Result<targets::TargetState> &State) {
        const auto Asked = Call->lock();
        takeState(Of, State, Asked != nullptr && Asked->hasSent());
      });
}

void Suspects::takeState(const Incarnation &Of,
                         const Result<targets::TargetState> &State,
                         bool HasSent) {
  if (!failed(State))
    return finishProbe(Of, valueOf(State).m_Incarnation != Of.second);
  Probe &Open = m_Probes[Of];
  const TimePoint Now = BootClock::now();
  if (Now >= Open.m_Deadline)
    return finishProbe(Of, false);
  // Nothing could be sent, and not for want of time: nobody listens.
  if (!HasSent)
    return finishProbe(Of, true);
  if (Now + ProbeRepeated >= Open.m_Deadline)
    return finishProbe(Of, false);
  Open.m_Again = std::make_unique<http::Timer>(m_Loop, ProbeRepeated, false,
                                               [this, Of] { askState(Of); });
}

void Suspects::finishProbe(const Incarnation &Of, bool Crashed) {
  const auto Found = m_Probes.find(Of);
  const auto Waiting = std::move(Found->second.m_Waiting);
  m_Probes.erase(Found);
  if (Crashed)
    noteCrash(Of, BootClock::now());
  for (const auto &Done : Waiting)
    Done(Crashed);
}

void Suspects::noteCrash(const Incarnation &Of, TimePoint Now) {
  const retries::Crash Seen =
      retries::recordCrash(m_Watch, Of.first, Of.second, Now);
  m_Watch.m_Unreported.clear();
  if (Seen.m_Running.empty())
    return;
  if (m_Crashed.size() >= CrashesKept)
    m_Crashed.clear();
  m_Crashed.insert(Of);
  ++m_CrashCount;
  events::emit(events::Event::TargetCrashSeen,
               {{"target", Of.first},
                {"incarnation", Of.second},
                {"running", Seen.m_Running.size()}});
  for (const Fingerprint Print : Seen.m_Running)
    m_LocalCrashes[Print].insert(Of);
  m_Reported.push_back({Seen, Now + CrashRepeated});
  m_NewestCrashRenewal = NotReported;
}

void Suspects::fillReport(wire::EntryReport &Report, TimePoint Now) {
  std::erase_if(m_Reported,
                [Now](const Reported &One) { return One.m_Until < Now; });
  for (const Reported &One : m_Reported) {
    wire::CrashReport &Crash = *Report.add_crashes();
    Crash.set_target(One.m_Crash.m_Target.m_Value);
    Crash.set_incarnation(One.m_Crash.m_Incarnation);
    for (const Fingerprint Print : One.m_Crash.m_Running)
      Crash.add_fingerprints(Print);
  }
  for (const auto &[Print, Target] : m_Wishes) {
    wire::RerunReport &Wish = *Report.add_reruns();
    Wish.set_fingerprint(Print);
    Wish.set_target(Target.m_Value);
    Wish.set_state("wanted");
  }
  for (wire::RerunReport &End : m_RerunEnds)
    *Report.add_reruns() = std::move(End);
  m_RerunEnds.clear();
  if (m_NewestCrashRenewal == NotReported)
    m_NewestCrashRenewal = Report.renewal();
  Report.set_suspects_revision(m_Watch.m_Revision);
}

void Suspects::takeGrant(const wire::ControlGrant &Grant, TimePoint Now) {
  m_ControlDecides = Grant.suspects_revision() != 0;
  if (m_ControlDecides && Grant.suspects_revision() != m_Watch.m_Revision) {
    std::vector<retries::SuspectNotice> Notices;
    for (const wire::SuspectNotice &One : Grant.suspects())
      Notices.push_back({One.fingerprint(),
                         One.quarantined() ? retries::Verdict::Quarantined
                                           : retries::Verdict::Suspect,
                         std::chrono::nanoseconds(One.remaining_ns()),
                         One.rerun_permitted(),
                         {One.rerun_at()}});
    retries::applyNotices(m_Watch, Notices, Grant.suspects_revision(),
                          Grant.crashes_settled() &&
                              Grant.renewal() >= m_NewestCrashRenewal,
                          Now);
  }
  for (const wire::Quarantine &One : Grant.quarantines()) {
    auto &Known = m_Watch.m_Suspects[One.fingerprint()];
    Known.m_Verdict = retries::Verdict::Quarantined;
    Known.m_ExpiresAt = Now + std::chrono::nanoseconds(One.remaining_ns());
  }
  std::erase_if(m_Watch.m_Suspects, [Now](const auto &One) {
    return One.second.m_ExpiresAt <= Now;
  });
  std::erase_if(m_LocalCrashes, [this](const auto &One) {
    return !m_Watch.m_Suspects.contains(One.first);
  });
}

} // namespace wasabivale::entry
