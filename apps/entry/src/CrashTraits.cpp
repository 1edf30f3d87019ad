#include "CrashTraits.h"

#include "events/events.h"

namespace wasabivale::entry {

namespace {

/// A process that dies may close its connections before its listener.
constexpr std::chrono::milliseconds ProbeDelay{20};
constexpr std::chrono::milliseconds ProbeTimeout{250};
/// A crash is repeated until control has answered this many reports.
constexpr unsigned GrantsToForget = 6;
/// Longer than several elections, so that a new leader hears of it.
constexpr std::chrono::seconds CrashRepeated{30};
constexpr std::size_t MaxReports = 64;
constexpr std::size_t MaxUnanswered = 16;
/// How long a permission to run a route on trial lasts without another grant.
constexpr std::chrono::milliseconds TrialLease{1'500};
/// Twice as many as control holds.
constexpr std::size_t MaxQuarantines = 512;

retries::TraitQuarantine read(const wire::TraitQuarantineNotice &Notice,
                              TimePoint Now) {
  retries::TraitQuarantine Quarantine;
  Quarantine.m_Traits.assign(Notice.traits().begin(), Notice.traits().end());
  Quarantine.m_EndsAt = Now + std::chrono::nanoseconds(Notice.remaining_ns());
  return Quarantine;
}

void readRoute(const wire::TraitNotice &Notice, TimePoint Now,
               retries::TraitEvidence &Evidence) {
  Evidence.m_Crashes = Notice.crashes();
  Evidence.m_ExpiresAt = Now + std::chrono::nanoseconds(Notice.paused_ns()) +
                         retries::TraitSettings{}.m_RouteSuspicion;
  Evidence.m_TrialRuns = Notice.trial_runs();
  if (Notice.paused_ns() > 0)
    Evidence.m_PausedUntil = Now + std::chrono::nanoseconds(Notice.paused_ns());
}

} // namespace

void CrashTraits::probe(const TargetId &Target, const std::string &Incarnation,
                        const http::Address &Address,
                        retries::RequestTraits Request,
                        std::function<void(bool)> Done) {
  openProbe({Target, Incarnation}, Address)
      .m_Waiting.push_back({std::move(Request), std::move(Done)});
}

void CrashTraits::probeBegun(const TargetId &Target,
                             const std::string &Incarnation,
                             const http::Address &Address,
                             const retries::BegunRun &Run,
                             std::function<void()> Done) {
  openProbe({Target, Incarnation}, Address)
      .m_Begun.push_back({Run, std::move(Done)});
}

CrashTraits::Probe &CrashTraits::openProbe(const retries::CrashKey &Key,
                                           const http::Address &Address) {
  Probe &Open = m_Probes[Key];
  if (Open.m_Start != nullptr)
    return Open;
  Open.m_Address = Address;
  Open.m_BrokenAt = BootClock::now();
  Open.m_Start =
      std::make_unique<http::Timer>(m_Loop, ProbeDelay, false, [this, Key] {
        Probe &Started = m_Probes[Key];
        Started.m_Listener = std::make_unique<http::ListenerProbe>(
            m_Loop, Started.m_Address, BootClock::now() + ProbeTimeout,
            [this, Key](http::ListenerState State) {
              takeListenerState(Key, State);
            });
      });
  return Open;
}

void CrashTraits::takeListenerState(const retries::CrashKey &Key,
                                    http::ListenerState State) {
  if (State != http::ListenerState::Refused)
    return finishProbe(Key, false);
  m_Reach.verify(m_Probes[Key].m_BrokenAt, [this, Key](bool IsReached) {
    if (IsReached)
      return confirm(Key);
    finishProbe(Key, false);
  });
}

void CrashTraits::confirm(const retries::CrashKey &Key) {
  Probe &Open = m_Probes[Key];
  Open.m_Listener = std::make_unique<http::ListenerProbe>(
      m_Loop, Open.m_Address, BootClock::now() + ProbeTimeout,
      [this, Key](http::ListenerState State) {
        finishProbe(Key, State == http::ListenerState::Refused);
      });
}

void CrashTraits::finishProbe(const retries::CrashKey &Key, bool Crashed) {
  const TimePoint Now = BootClock::now();
  auto Node = m_Probes.extract(Key);
  const Probe &Ended = Node.mapped();
  if (Crashed) {
    ++m_CrashCount;
    events::emit(events::Event::TargetCrashSeen,
                 {{"target", Key.first},
                  {"incarnation", Key.second},
                  {"running", Ended.m_Waiting.size()},
                  {"begun", Ended.m_Begun.size()}});
    for (const Probe::Waiting &Each : Ended.m_Waiting)
      queueReport(retries::recordWaitingAtCrash(
                      m_Tracker, Key.first, Key.second, Each.m_Request, Now),
                  Now);
    for (const Probe::Begun &Each : Ended.m_Begun) {
      queueReport(retries::recordBegunAtCrash(m_Tracker, Key.first, Key.second,
                                              Each.m_Run, Now),
                  Now);
      Each.m_Done();
    }
  }
  for (const Probe::Waiting &Each : Ended.m_Waiting)
    Each.m_Done(Crashed);
}

void CrashTraits::queueReport(const retries::TraitCrash &Crash, TimePoint Now) {
  if (Crash.m_Waiting.empty() && Crash.m_Begun.empty())
    return;
  const bool Known =
      !m_Reports.empty() &&
      m_Reports.back().m_Crash.m_Target == Crash.m_Target &&
      m_Reports.back().m_Crash.m_Incarnation == Crash.m_Incarnation;
  if (Known) {
    auto &Waiting = m_Reports.back().m_Crash.m_Waiting;
    Waiting.insert(Waiting.end(), Crash.m_Waiting.begin(),
                   Crash.m_Waiting.end());
    auto &Begun = m_Reports.back().m_Crash.m_Begun;
    Begun.insert(Begun.end(), Crash.m_Begun.begin(), Crash.m_Begun.end());
    return;
  }
  if (m_Reports.size() >= MaxReports)
    m_Reports.erase(m_Reports.begin());
  m_Reports.push_back({Crash, Now + CrashRepeated});
}

void CrashTraits::fillReport(wire::EntryReport &Message, TimePoint Now) {
  std::erase_if(m_Reports, [Now](const Report &Each) {
    return Each.m_RepeatedUntil < Now;
  });
  for (const Report &Each : m_Reports) {
    wire::TraitCrash &Crash = *Message.add_trait_crashes();
    Crash.set_target(Each.m_Crash.m_Target.m_Value);
    Crash.set_incarnation(Each.m_Crash.m_Incarnation);
    for (const retries::RequestTraits &Request : Each.m_Crash.m_Waiting) {
      wire::RequestTraits &Row = *Crash.add_waiting();
      Row.set_content(Request.m_Content);
      Row.set_sent_again(Request.m_SentAgain);
      Row.set_route(Request.m_Route);
      if (Request.m_Waited)
        Row.set_waited_ns(
            static_cast<std::uint64_t>(Request.m_Waited->count()));
      Row.mutable_parts()->Assign(Request.m_Parts.begin(),
                                  Request.m_Parts.end());
    }
    for (const retries::BegunRun &Run : Each.m_Crash.m_Begun) {
      wire::BegunRun &Row = *Crash.add_begun();
      Row.set_content(Run.m_Content);
      Row.set_route(Run.m_Route);
      Row.set_events(Run.m_Events);
      Row.set_offset(Run.m_Offset);
      Row.set_ran_ns(static_cast<std::uint64_t>(Run.m_Ran.count()));
    }
  }
  Message.mutable_sound_traits()->Assign(m_Tracker.m_Sound.begin(),
                                         m_Tracker.m_Sound.end());
  if (!m_Tracker.m_Sound.empty())
    m_SoundSent[Message.renewal()] = std::exchange(m_Tracker.m_Sound, {});
  while (m_SoundSent.size() > MaxUnanswered)
    m_SoundSent.erase(m_SoundSent.begin());
  Message.set_traits_revision(m_Tracker.m_Revision);
}

void CrashTraits::takeGrant(const wire::ControlGrant &Grant, TimePoint SentAt,
                            TimePoint Now) {
  // Those in reports before the one that is answered may have been lost.
  for (auto Sent = m_SoundSent.begin();
       Sent != m_SoundSent.end() && Sent->first <= Grant.renewal();
       Sent = m_SoundSent.erase(Sent))
    if (Sent->first < Grant.renewal())
      retries::reportSoundAgain(m_Tracker, Sent->second);
  if (Grant.traits_revision() != 0)
    std::erase_if(m_Reports, [](Report &Each) {
      return ++Each.m_Grants >= GrantsToForget;
    });
  retries::permitTrials(
      m_Tracker, {Grant.trial_routes().begin(), Grant.trial_routes().end()},
      SentAt + TrialLease);
  if (Grant.traits_revision() == 0 ||
      Grant.traits_revision() == m_Tracker.m_Revision)
    return;
  m_Tracker.m_Revision = Grant.traits_revision();
  m_Tracker.m_Evidence.clear();
  for (const wire::TraitNotice &Notice : Grant.traits()) {
    retries::TraitEvidence &Evidence = m_Tracker.m_Evidence[Notice.trait()];
    readRoute(Notice, Now, Evidence);
    Evidence.m_Companions.assign(Notice.companions().begin(),
                                 Notice.companions().end());
  }
  const std::size_t Before = m_Tracker.m_Quarantines.size();
  m_Tracker.m_Quarantines.clear();
  for (const wire::TraitQuarantineNotice &Notice : Grant.trait_quarantines())
    m_Tracker.m_Quarantines.push_back(read(Notice, Now));
  if (m_Tracker.m_Quarantines.size() != Before)
    logQuarantines();
}

void CrashTraits::apply(const wire::TraitsUpdate &Update, TimePoint Now) {
  // Each grant replaces them all; until then there are at most as many again.
  for (const wire::TraitQuarantineNotice &Notice : Update.quarantines())
    if (m_Tracker.m_Quarantines.size() < MaxQuarantines)
      m_Tracker.m_Quarantines.push_back(read(Notice, Now));
  for (const wire::TraitNotice &Notice : Update.routes())
    readRoute(Notice, Now, m_Tracker.m_Evidence[Notice.trait()]);
  logQuarantines();
}

void CrashTraits::logQuarantines() const {
  events::emit(events::Event::TraitsQuarantined,
               {{"quarantines", m_Tracker.m_Quarantines.size()},
                {"suspects", m_Tracker.m_Evidence.size()}});
}

} // namespace wasabivale::entry
