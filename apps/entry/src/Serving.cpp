#include "Serving.h"

#include "Replacement.h"
#include "daemon/daemon.h"
#include "events/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::entry {

using retries::Gate;
using routing::TryOutcome;

namespace {

/// Wait for a lease before another look for a target.
constexpr std::chrono::milliseconds LeaseLook{50};
/// Longest wait for the ledger's word.
constexpr std::chrono::seconds LedgerPatience{3};
/// Longest wait for control's word on the version of a stream; covers the
/// election of a leader.
constexpr std::chrono::milliseconds VersionPatience{1500};
/// Part of the former answers' weight that a further answer leaves to them.
constexpr double OutputDecay = 0.95;
/// Longest work for a caller that seems to have left: it may have closed its
/// sending side only.
constexpr std::chrono::milliseconds LeavePatience{250};
/// Targets that a request could not be sent to, one after the other, before the
/// fault is taken for this entry's own.
constexpr std::size_t UnreachedTargets = 2;
/// Entries that a request is forwarded to, one after the other.
constexpr std::size_t MaxForwards = 2;

struct Change {
  Phase m_From;
  Phase m_To;
};

/// Every legal change of phase. `Ended` is reached from all but itself.
constexpr Change LegalChanges[] = {
    {Phase::Arrived, Phase::Queued},     {Phase::Arrived, Phase::Reserving},
    {Phase::Arrived, Phase::Placing},    {Phase::Queued, Phase::Reserving},
    {Phase::Queued, Phase::Placing},     {Phase::Reserving, Phase::Placing},
    {Phase::Placing, Phase::Running},    {Phase::Running, Phase::Placing},
    {Phase::Running, Phase::Probing},    {Phase::Probing, Phase::Placing},
    {Phase::Arrived, Phase::Forwarding}, {Phase::Placing, Phase::Forwarding},
    {Phase::Forwarding, Phase::Placing},
};

std::int64_t milliseconds(Duration Of) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Of).count();
}

std::string nextName(const retries::RetryDecision &Of) {
  if (const auto *Stop = std::get_if<retries::GiveUp>(&Of))
    return std::string(refusalInfo(Stop->m_Reason).m_Name);
  return std::holds_alternative<retries::RetryAt>(Of) ? "retry" : "resume";
}

/// Hashes of the prompt's parts in their order, as fields of log lines.
std::string printParts(const Arrival &Request) {
  std::string Text;
  if (Request.m_Passed)
    for (const relay::PromptPart &Part : Request.m_Passed->m_Ask.m_PromptParts)
      Text += fmt::format("{}{:016x}", Text.empty() ? "" : "+", Part.m_Hash);
  return Text;
}

/// Whether tries of this entry have failed at a target that would do.
bool hasEjectedTarget(const routing::State &Fleet,
                      const routing::Request &Wanted) {
  return std::any_of(
      Fleet.m_Slots.begin(), Fleet.m_Slots.end(),
      [&](const routing::Slot &Candidate) {
        const std::vector<ModelId> &Models = Candidate.m_Target.m_Models;
        const auto &Version = Wanted.m_RequiredVersion;
        return Candidate.m_Used && Candidate.m_Current &&
               (!Version || *Version == Candidate.m_Target.m_SoftwareVersion) &&
               Candidate.m_Target.m_Kind == Wanted.m_Kind &&
               (Candidate.m_Health.m_State == routing::HealthState::Ejected ||
                Candidate.m_Health.m_State == routing::HealthState::Probing) &&
               std::find(Models.begin(), Models.end(), Wanted.m_Model) !=
                   Models.end();
      });
}

/// How long a peer may be silent: twice as long as the target it waits for.
std::chrono::nanoseconds forwardPatience(const Arrival &Request,
                                         const Try::Patience &Patience) {
  constexpr int Silences = 2;
  return Request.m_Stream ? streamPatience(Request.m_Passed->m_Route) * Silences
                          : std::chrono::nanoseconds(Patience.m_Call);
}

bool isLegal(Phase From, Phase To) {
  if (To == Phase::Ended)
    return From != Phase::Ended;
  return std::any_of(
      std::begin(LegalChanges), std::end(LegalChanges),
      [&](const Change &One) { return One.m_From == From && One.m_To == To; });
}

} // namespace

routing::Request describeForRouting(const Arrival &Asked,
                                    const std::vector<std::uint64_t> &Blocks,
                                    double OutputShare) {
  routing::Request Made;
  Made.m_Kind =
      Asked.isService() ? routing::Kind::Service : routing::Kind::Engine;
  Made.m_Model = {Asked.m_Model};
  Made.m_Priority = Asked.m_Passed ? routingPriority(Asked.m_Passed->m_Urgency)
                                   : Asked.m_Priority;
  if (!Asked.isService()) {
    Made.m_PromptTokens = promptTokensOf(Asked);
    Made.m_ExpectedOutputTokens =
        std::max(1U, static_cast<std::uint32_t>(
                         static_cast<double>(Asked.m_MaxTokens) * OutputShare));
    Made.m_Blocks = Blocks;
  }
  // The one request that tests a doubtful target had better be repeatable.
  Made.m_FetchesPrefix = Asked.m_Passed != nullptr;
  Made.m_MayProbe = !Asked.m_NotRepeatable;
  // Of a plain request a prefill elsewhere is no run.
  Made.m_MaySplit = !Asked.m_NotRepeatable || Asked.m_Passed != nullptr;
  return Made;
}

unsigned routingPriority(std::uint32_t Urgency) {
  return routing::MaxPriority - std::min(Urgency, routing::MaxPriority);
}

bool isExpectedLate(const Arrival &Request, const routing::Estimate &Expected) {
  // Large prompts would hardly be served if they yielded whenever they are
  // late.
  return Request.m_Passed && Request.m_Stream && !Request.isService() &&
         !Request.isResumed() && !Request.m_Passed->isLarge() &&
         Request.m_Passed->m_Route.m_Objective > Duration(0) &&
         Expected.m_FirstToken >
             Request.m_ArrivedAt + Request.m_Passed->m_Route.m_Objective;
}

Duration untilRateAdmits(const Context &Shared, const routing::Request &Wanted,
                         TimePoint Now) {
  // None of the limited targets is this entry's to use; others have them.
  constexpr std::chrono::milliseconds OtherEntry{500};
  const auto Next = routing::nextAdmittedAt(Shared.m_Routing, Wanted.m_Kind,
                                            Wanted.m_Model, Now);
  return Next ? *Next - Now : Duration(OtherEntry);
}

Serving::Serving(Context &Shared, std::shared_ptr<http::Exchange> Caller,
                 Arrival Asked, OnEnded Done)
    : m_Shared(Shared), m_Asked(std::move(Asked)), m_Caller(std::move(Caller)),
      m_Writer(makeAnswer(
          m_Caller, m_Asked,
          m_Asked.isKept() ? Shared.m_Configuration.m_MaxAnswerBytes : 0)),
      m_Done(std::move(Done)), m_StreamId(randomIdentity()) {
  m_Print = fingerprintOf(m_Asked);
  m_Traits = traitsOf(m_Asked);
  m_Blocks = blocksOf(m_Asked);
  if (m_Asked.m_Passed)
    m_Offset = m_Asked.m_Passed->m_Ask.m_LastEventId;
  m_FirstOffset = m_Offset;
  if (m_Asked.m_Passed) {
    const std::string &First = m_Asked.m_Passed->m_Ask.m_FirstAttempt;
    m_Stream = hashBytes(
        m_FirstOffset > 0 && !First.empty() ? First : m_Asked.m_Id.m_Value);
  }
  if (m_Asked.m_Forwarded) {
    m_Runs = m_Asked.m_Forwarded->m_Runs;
    m_StreamVersion = m_Asked.m_Forwarded->m_RequiredVersion;
    m_ResumedVersion = m_StreamVersion;
  }
}

bool Serving::isRecorded() const {
  return m_Asked.m_Passed && m_Asked.m_Stream && m_Asked.isResumable();
}

void Serving::watchCaller() {
  m_Caller->onGone([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->takeGone();
  });
}

void Serving::enter(Phase Next) {
  WASABIVALE_INVARIANT(isLegal(m_Phase, Next));
  m_Phase = Next;
  const bool Unplaced = Next == Phase::Reserving || Next == Phase::Placing ||
                        Next == Phase::Probing;
  if (Unplaced == m_Unplaced)
    return;
  m_Unplaced = Unplaced;
  ModelUse &Use = m_Shared.m_Models[capacityName(m_Asked).m_Value];
  WASABIVALE_INVARIANT(Unplaced || Use.m_Unplaced > 0);
  Use.m_Unplaced += Unplaced ? 1 : -1;
}

ModelUse *Serving::modelUse() {
  return m_Asked.isService() ? nullptr : &m_Shared.m_Models[m_Asked.m_Model];
}

Outcome Serving::outcomeSoFar() const {
  // An earlier arrival with the same key may have run, until the ledger has
  // granted the key to this one.
  if (m_MayHaveRun || (m_Asked.isKept() && !m_KeyGranted))
    return Outcome::Unknown;
  return Outcome::NotRun;
}

// --- Before the start -------------------------------------------------------

void Serving::enqueue(limits::Ticket Id, const limits::Capacity &Room,
                      TimePoint ExpectedStart) {
  m_Ticket = Id;
  events::emit(
      events::Event::RequestQueued,
      {{"request", m_Asked.m_Id},
       {"route", m_Asked.m_Caller},
       {"for", capacityName(m_Asked)},
       {"offset", m_Offset},
       {"free", Room.m_FreeSlots},
       {"slots", Room.m_Slots},
       {"start_in_ms", milliseconds(ExpectedStart - BootClock::now())}});
  enter(Phase::Queued);
}

void Serving::begin(limits::Ticket Id) {
  m_Ticket = Id;
  m_Started = true;
  m_Shared.m_Metrics.m_QueueWait.record(BootClock::now() - m_Asked.m_ArrivedAt);
  if (m_Asked.isKept())
    return reserve();
  enter(Phase::Placing);
  place();
}

void Serving::refuseUnstarted(const limits::Refused &Why) {
  WASABIVALE_INVARIANT(!m_Started);
  Rejection Told;
  Told.m_Reason = Why.m_Reason;
  Told.m_Outcome = outcomeSoFar();
  Told.m_Step = "admission";
  Told.m_RetryAfter = Why.m_RetryAfter;
  refuse(Told);
}

void Serving::takeGone() {
  if (m_Phase == Phase::Ended || m_CallerGone)
    return;
  m_CallerGone = true;
  events::emit(
      events::Event::CallerGone,
      {{"request", m_Asked.m_Id},
       {"after_ms", milliseconds(BootClock::now() - m_Asked.m_ArrivedAt)},
       {"tries", m_Tries},
       {"target", m_LastTarget},
       {"reason", m_Caller->goneReason()},
       {"connection_age_ms",
        milliseconds(BootClock::now() - m_Caller->acceptedAt())},
       {"stop_in_ms",
        m_Shared.m_StopSchedule
            ? fmt::to_string(milliseconds(m_Shared.m_StopSchedule->m_ExitBy -
                                          BootClock::now()))
            : std::string()}});
  m_Shared.m_Metrics.m_CallersGone.add();
  const TimePoint Now = BootClock::now();
  // The ledger's word must be waited for, and what runs under a key goes on:
  // its answer is kept for a resend.
  if (m_Phase == Phase::Reserving)
    return;
  if (m_Asked.isKept() &&
      (m_Phase == Phase::Running || m_Phase == Phase::Probing)) {
    if (m_Try != nullptr)
      m_Try->resume(Now);
    return;
  }
  if (!mayStillBeRead())
    return leave();
  m_Leave = std::make_unique<http::Timer>(
      m_Shared.m_Loop, LeavePatience, false, [Weak = weak_from_this()] {
        const auto Self = Weak.lock();
        if (Self != nullptr && Self->m_Phase != Phase::Ended)
          Self->leave();
      });
}

bool Serving::mayStillBeRead() const {
  // A prefill or a forward may have its run still before it.
  return !m_Asked.m_Stream && m_Asked.isService() && !m_Asked.m_Forwarded &&
         m_Try != nullptr && m_Try->hasSent() &&
         m_Caller->goneReason() == "hangup";
}

void Serving::leave() {
  if (m_Phase == Phase::Queued)
    limits::abandon(m_Shared.m_Limits, m_Ticket, BootClock::now());
  // While a target is probed, its try has ended and is not judged yet.
  if (m_Try != nullptr || m_Forward != nullptr || m_Phase == Phase::Probing)
    m_MayHaveRun = true;
  if (m_KeyGranted)
    m_Shared.m_Ledger.release(m_Asked);
  m_Shared.m_Metrics.m_Registry.refusals(Refusal::CallerLeft).add();
  Rejection Told;
  Told.m_Reason = Refusal::CallerLeft;
  Told.m_Outcome = outcomeSoFar();
  Told.m_Step = "caller.gone";
  m_Writer->refuse(Told);
  end();
}

// --- The ledger -------------------------------------------------------------

void Serving::reserve() {
  enter(Phase::Reserving);
  const TimePoint Asked = BootClock::now();
  const TimePoint Deadline =
      std::min<TimePoint>(m_Asked.m_Deadline, Asked + LedgerPatience);
  m_Shared.m_Ledger.begin(
      m_Asked, m_Shared.m_Configuration.m_Retention, Deadline,
      [Weak = weak_from_this(), Asked, For = m_Asked,
       &Shared = m_Shared](const KeyAnswer &Answer) {
        Shared.m_Metrics.m_LedgerBegin.record(BootClock::now() - Asked);
        const auto Self = Weak.lock();
        if (Self != nullptr && Self->m_Phase == Phase::Reserving)
          return Self->takeKey(Answer);
        if (Answer.m_Verdict == KeyVerdict::Granted)
          Shared.m_Ledger.release(For);
      });
}

void Serving::takeKey(const KeyAnswer &Answer) {
  Rejection Why;
  Why.m_Step = "ledger.begin";
  Why.m_Outcome = Outcome::Unknown;
  Why.m_Detail = Answer.m_Detail;
  switch (Answer.m_Verdict) {
  case KeyVerdict::Granted:
    m_KeyGranted = true;
    enter(Phase::Placing);
    return m_CallerGone ? leave() : place();
  case KeyVerdict::Stored:
    m_Writer->pass(Answer.m_Stored);
    return end();
  case KeyVerdict::Dropped:
    Why.m_Reason = Refusal::AnswerTooLarge;
    Why.m_Outcome = Outcome::Completed;
    return refuse(Why);
  case KeyVerdict::InProgress:
    Why.m_Reason = Refusal::KeyInProgress;
    return refuse(Why);
  case KeyVerdict::Unknown:
    Why.m_Reason = Refusal::KeyOutcomeUnknown;
    return refuse(Why);
  case KeyVerdict::Conflict:
    // This body was run neither now nor under this key before.
    Why.m_Reason = Refusal::KeyConflict;
    Why.m_Outcome = Outcome::NotRun;
    return refuse(Why);
  case KeyVerdict::Refused:
    Why.m_Reason = Answer.m_Reason;
    return refuse(Why);
  }
}

// --- Placing ----------------------------------------------------------------

routing::Request Serving::routingRequest() const {
  const auto Use = m_Shared.m_Models.find(m_Asked.m_Model);
  const double Share =
      Use == m_Shared.m_Models.end() ? 1.0 : outputShare(Use->second);
  routing::Request Wanted = describeForRouting(m_Asked, m_Blocks, Share);
  Wanted.m_Avoid = m_Avoid;
  if (m_Offset > m_FirstOffset)
    Wanted.m_MaySplit = false;
  Wanted.m_RequiredVersion = requiredVersion();
  return Wanted;
}

std::optional<std::string> Serving::requiredVersion() const {
  if (m_StreamVersion || !isRecorded())
    return m_StreamVersion;
  return m_Shared.m_StreamVersions.reportedVersion(m_Stream, m_Asked.m_Model);
}

void Serving::waitUntil(TimePoint When) {
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max<Duration>(When - BootClock::now(), Duration(0)));
  m_Wake = std::make_unique<http::Timer>(m_Shared.m_Loop, Left, false,
                                         [Weak = weak_from_this()] {
                                           const auto Self = Weak.lock();
                                           if (Self == nullptr)
                                             return;
                                           Self->m_Wake.reset();
                                           if (Self->m_Phase == Phase::Placing)
                                             Self->place();
                                         });
}

void Serving::place() {
  const TimePoint Now = BootClock::now();
  if (m_Asked.isLate(Now)) {
    const Refusal Reason =
        m_MayHaveRun ? Refusal::TargetTimeout : Refusal::DeadlinePassed;
    return giveUp(Reason, outcomeSoFar(), Error{"place", "", ""});
  }
  // Without a lease a drain may have begun that this entry has not heard of.
  if (!m_Shared.m_HoldsLease(Now)) {
    m_Shared.m_Metrics.m_LeaseWaits.add();
    return waitUntil(Now + LeaseLook);
  }
  // Another entry, to which it was forwarded first, could not be reached.
  if (needsVersion())
    return findVersion([](Serving &Found) { Found.place(); });
  routing::Request Wanted = routingRequest();
  if (!passGate(Wanted, Now))
    return;
  if (mustForward(Now))
    return forward(Now);
  if (!passRouteGate(Now) || !isolate(Wanted))
    return;
  placeAt(std::move(Wanted), Now);
}

bool Serving::needsVersion() const {
  return isRecorded() && m_FirstOffset > 0 && !m_ResumedVersion;
}

void Serving::findVersion(std::function<void(Serving &)> Then) {
  const TimePoint Now = BootClock::now();
  const bool IsNamed = !m_Asked.m_Passed->m_Ask.m_FirstAttempt.empty();
  m_Shared.m_StreamVersions.find(
      m_Asked.m_Model, IsNamed ? std::optional(m_Stream) : std::nullopt,
      std::min<TimePoint>(m_Asked.m_Deadline, Now + VersionPatience),
      [Weak = weak_from_this(), Asking = m_Phase,
       Then = std::move(Then)](const StreamVersions::Finding &Found) {
        const auto Self = Weak.lock();
        if (Self != nullptr && Self->m_Phase == Asking &&
            Self->takeVersion(Found))
          Then(*Self);
      });
}

bool Serving::takeVersion(const StreamVersions::Finding &Found) {
  m_Shared.m_Metrics.countResume(Found.m_Version.has_value(), Found.m_Source);
  const std::string &First = m_Asked.m_Passed->m_Ask.m_FirstAttempt;
  if (!Found.m_Version) {
    events::emit(events::Event::ResumeRefused, {{"request", m_Asked.m_Id},
                                                {"first_attempt", First},
                                                {"offset", m_FirstOffset},
                                                {"reason", Found.m_Source}});
    giveUp(Refusal::NoTarget, outcomeSoFar(),
           Error{"resume", "",
                 "the software version of the stream is not known (" +
                     Found.m_Source + ")"});
    return false;
  }
  events::emit(events::Event::StreamResumed, {{"request", m_Asked.m_Id},
                                              {"first_attempt", First},
                                              {"offset", m_FirstOffset},
                                              {"version", *Found.m_Version},
                                              {"source", Found.m_Source}});
  m_ResumedVersion = Found.m_Version;
  m_StreamVersion = Found.m_Version;
  return true;
}

void Serving::releaseVersion(TimePoint Now) {
  m_Shared.m_StreamVersions.release(
      m_Stream, std::min<TimePoint>(m_Asked.m_Deadline, Now + VersionPatience),
      [Weak = weak_from_this()](bool IsReleased) {
        const auto Self = Weak.lock();
        if (Self == nullptr || Self->m_Phase != Phase::Placing)
          return;
        events::emit(
            events::Event::StreamReleased,
            {{"request", Self->m_Asked.m_Id}, {"committed", IsReleased}});
        if (IsReleased)
          return Self->place();
        Self->giveUp(Refusal::NoTarget, Self->outcomeSoFar(),
                     Error{"release", "", "control did not answer"});
      });
}

Duration Serving::untilAdmitted(TimePoint Now) const {
  const routing::Request Wanted = routingRequest();
  const auto Next = routing::nextAdmittedAt(m_Shared.m_Routing, Wanted.m_Kind,
                                            Wanted.m_Model, Now);
  return Next ? *Next - Now : Duration(0);
}

void Serving::yieldIfLate(routing::Request &Wanted, TimePoint Now) {
  if (!m_Asked.m_Passed || !m_Asked.m_Stream || m_Offset > 0)
    return;
  // Nothing is reserved: a target's rate limit admits one choice only.
  const auto Expected =
      routing::estimate(m_Shared.m_Routing, Wanted, Now, m_Shared.m_Random);
  if (failed(Expected) || !isExpectedLate(m_Asked, valueOf(Expected)))
    return;
  Wanted.m_Priority = routingPriority(m_Asked.m_Passed->lateUrgency());
  Wanted.m_Yields = true;
}

void Serving::placeAt(routing::Request Wanted, TimePoint Now) {
  yieldIfLate(Wanted, Now);
  auto Where =
      routing::choose(m_Shared.m_Routing, Wanted, Now, m_Shared.m_Random);
  // A gate requires the target of copies in flight only if it can be had.
  if (failed(Where) && Wanted.m_RequiredTarget && !m_Asked.m_Passed) {
    Wanted.m_RequiredTarget.reset();
    Where = routing::choose(m_Shared.m_Routing, Wanted, Now, m_Shared.m_Random);
  }
  if (failed(Where) && Wanted.m_RequiredVersion && !m_StreamVersion) {
    Wanted.m_RequiredVersion.reset();
    if (!failed(routing::estimate(m_Shared.m_Routing, Wanted, Now,
                                  m_Shared.m_Random)))
      return releaseVersion(Now);
  }
  if (failed(Where) && hasEjectedTarget(m_Shared.m_Routing, Wanted) &&
      mayForward(Now))
    return forward(Now);
  if (failed(Where))
    return giveUp(Refusal::NoTarget, outcomeSoFar(), errorOf(Where),
                  untilRateAdmits(m_Shared, Wanted, Now));
  m_Urgency =
      routing::MaxPriority - std::min(Wanted.m_Priority, routing::MaxPriority);
  if (!mayStartBeforeStop(valueOf(Where).m_Estimate, Now)) {
    routing::recordEnded(m_Shared.m_Routing, valueOf(Where).m_Try,
                         TryOutcome::NotSent, Now);
    return giveUp(Refusal::Stopping, outcomeSoFar(), Error{"stop", "", ""},
                  StoppingRetryAfter);
  }
  const bool Alone =
      m_Shared.m_Suspects.gate(m_Print, Now).m_Gate == Gate::Isolated;
  const TargetId &Target = valueOf(Where).m_Run.m_Target;
  if (Alone && m_Shared.m_Suspects.isTaken(Target)) {
    routing::recordEnded(m_Shared.m_Routing, valueOf(Where).m_Try,
                         TryOutcome::NotSent, Now);
    return waitUntil(Now + SuspectLook);
  }
  send(std::move(valueOf(Where)), Now);
}

bool Serving::mayStartBeforeStop(const routing::Estimate &Expected,
                                 TimePoint Now) const {
  // What its caller has seen the beginning of goes on.
  if (!m_Shared.m_StopSchedule || m_Writer->hasPassed())
    return true;
  return shutdown::mayStart(*m_Shared.m_StopSchedule,
                            {m_Asked.m_Deadline, Expected.m_FirstToken,
                             Expected.m_Finish, !m_Asked.m_NotRepeatable},
                            Now);
}

void Serving::send(routing::Choice Where, TimePoint Now) {
  WASABIVALE_INVARIANT(!(m_Asked.m_NotRepeatable && m_MayHaveRun));
  WASABIVALE_INVARIANT(!m_Asked.isKept() || m_KeyGranted);
  const FleetView::Known *Run = m_Shared.m_Fleet.find(Where.m_Run.m_Target);
  const FleetView::Known *Prefill =
      Where.m_Prefill ? m_Shared.m_Fleet.find(Where.m_Prefill->m_Target)
                      : nullptr;
  WASABIVALE_INVARIANT(Run != nullptr && Run->m_Address.has_value());
  WASABIVALE_INVARIANT(!Where.m_Prefill ||
                       (Prefill != nullptr && Prefill->m_Address.has_value()));
  enter(Phase::Running);
  ++m_Tries;
  m_SentAt = Now;
  m_TryEvents = 0;
  m_EventsToPass = m_Shared.m_Traits.eventsToPass(m_Traits.m_Content, Now);
  m_LastTarget = Where.m_Run.m_Target;
  m_TargetVersion = Run->m_Description.software_version();
  if (isRecorded())
    m_Shared.m_StreamVersions.recordSent(m_Stream, m_Asked.m_Model,
                                         m_TargetVersion, Now);
  m_ServiceTime = std::max<Duration>(
      Where.m_Estimate.m_Finish - Where.m_Estimate.m_Start, Duration(0));
  events::emit(
      events::Event::RequestSent,
      {{"request", m_Asked.m_Id},
       {"route", m_Asked.m_Caller},
       {"routes", m_Shared.m_Routes.table().m_Version},
       {"target", Where.m_Run.m_Target},
       {"version", Run->m_Description.software_version()},
       {"prefill_at", Where.m_Prefill ? Where.m_Prefill->m_Target : TargetId{}},
       {"fetch_from",
        Where.m_FetchFrom ? Where.m_FetchFrom->m_Target : TargetId{}},
       {"try", m_Tries},
       {"offset", m_Offset},
       {"prompt", promptTokensOf(m_Asked)},
       {"cached_blocks", Where.m_Estimate.m_CachedBlocks},
       {"first_in_ms", milliseconds(Where.m_Estimate.m_FirstToken - Now)},
       {"finish_in_ms", milliseconds(Where.m_Estimate.m_Finish - Now)},
       {"left_ms", milliseconds(m_Asked.m_Deadline - Now)}});
  const routing::Leg First = Where.m_Prefill.value_or(Where.m_Run);
  m_Shared.m_Suspects.noteRun(m_Print, First.m_Target, First.m_Incarnation,
                              Now);
  m_RunNoted = true;
  TryPlan Plan;
  Plan.m_Run = *Run->m_Address;
  if (Prefill != nullptr)
    Plan.m_Prefill = *Prefill->m_Address;
  if (Where.m_FetchFrom)
    if (const FleetView::Known *Home =
            m_Shared.m_Fleet.find(Where.m_FetchFrom->m_Target);
        Home != nullptr)
      Plan.m_FetchFrom = Home->m_Address;
  const routing::Estimate Expected = Where.m_Estimate;
  Plan.m_Choice = std::move(Where);
  Plan.m_StreamId = m_StreamId;
  Plan.m_Urgency = m_Urgency;
  Plan.m_Offset = m_Offset;
  Plan.m_HasBegun = m_Writer->hasPassed();
  Plan.m_IsRetry = m_Tries > 1;
  TryHandlers Handlers;
  Handlers.m_OnHead = [this](int Status, const http::Fields &Fields) {
    m_Writer->head(
        Status, Fields,
        {m_TargetVersion, m_Shared.m_StreamVersions.withdrawals(m_Stream)});
  };
  Handlers.m_MayRun = [this, Expected] {
    const TimePoint Prefilled = BootClock::now();
    return !quarantinedUntil(Prefilled) &&
           mayStartBeforeStop(Expected, Prefilled);
  };
  Handlers.m_MayReplace = [this](const retries::Failure &Why,
                                 TimePoint SilentSince) {
    return mayReplaceTry(Why, SilentSince);
  };
  Handlers.m_OnRateLimit = [this](const http::Address &Target,
                                  std::optional<double> RequestsPerSecond) {
    if (m_Shared.m_RateLimits.observe(http::printAddress(Target),
                                      RequestsPerSecond, BootClock::now()))
      m_Shared.m_ReportSoon();
  };
  Handlers.m_OnPiece = [this](const targets::StreamPiece &Piece) {
    takePiece(Piece);
  };
  Handlers.m_OnEnd = [Weak = weak_from_this()](const TryEnding &Ending) {
    if (const auto Self = Weak.lock())
      Self->takeEnding(Ending);
  };
  m_Try =
      Try::start({m_Shared.m_Loop, m_Shared.m_Connections, m_Shared.m_Dialect,
                  m_Shared.m_Routing, m_Shared.m_Metrics, m_Shared.m_Reach},
                 m_Asked, std::move(Plan), m_Shared.m_Settings.m_Patience,
                 std::move(Handlers), Now);
}

// --- Forwarding --------------------------------------------------------------

bool Serving::mayForward(TimePoint Now) const {
  // One that was forwarded here goes no further.
  if (!m_Asked.m_Passed || m_Asked.m_Forwarded || m_CallerGone ||
      m_UsedPeers.size() >= MaxForwards || m_Asked.isLate(Now))
    return false;
  if ((m_Asked.m_NotRepeatable && m_MayHaveRun) ||
      (m_Writer->hasPassed() && !m_Asked.isResumable()))
    return false;
  const std::uint32_t MaxRuns = m_Asked.m_Passed->m_Route.m_MaxAttempts;
  if (MaxRuns != 0 && m_Runs >= MaxRuns)
    return false;
  if (m_Shared.m_StopSchedule && !m_Writer->hasPassed() &&
      !shutdown::mayStart(*m_Shared.m_StopSchedule,
                          {m_Asked.m_Deadline, Now, m_Asked.m_Deadline,
                           m_Started && !m_Asked.m_NotRepeatable},
                          Now))
    return false;
  return m_Shared.m_ForwardPeers.has(m_UsedPeers, Now);
}

bool Serving::reachesNoTarget() const {
  return m_Shared.m_Reach.isCut() || m_Unreached.size() >= UnreachedTargets;
}

bool Serving::mustForward(TimePoint Now) const {
  return reachesNoTarget() && mayForward(Now);
}

bool Serving::forwardUnstarted(bool NoTarget) {
  const TimePoint Now = BootClock::now();
  const routing::Request Wanted = routingRequest();
  const bool NoneReached =
      NoTarget && hasEjectedTarget(m_Shared.m_Routing, Wanted);
  if (!mustForward(Now) && !(NoneReached && mayForward(Now)))
    return false;
  forward(Now);
  return true;
}

void Serving::forward(TimePoint Now) {
  // As with a target: what may have run must not run again.
  WASABIVALE_INVARIANT(!(m_Asked.m_NotRepeatable && m_MayHaveRun));
  WASABIVALE_INVARIANT(!m_Asked.m_Forwarded);
  const auto Receiver =
      m_Shared.m_ForwardPeers.choose(m_UsedPeers, Now, m_Shared.m_Random);
  WASABIVALE_INVARIANT(Receiver.has_value());
  enter(Phase::Forwarding);
  m_UsedPeers.push_back(Receiver->m_Entry);
  ++m_Tries;
  m_SentAt = Now;
  m_LastTarget = {};
  m_Shared.m_Metrics.m_Forwards.add();
  events::emit(events::Event::RequestForwarded,
               {{"request", m_Asked.m_Id},
                {"route", m_Asked.m_Caller},
                {"entry", Receiver->m_Entry},
                {"runs", m_Runs},
                {"offset", m_Offset},
                {"left_ms", milliseconds(m_Asked.m_Deadline - Now)}});
  ForwardOrigin Origin;
  Origin.m_Entry = m_Shared.m_Settings.m_Id;
  Origin.m_Runs = m_Runs;
  Origin.m_Deadline = m_Asked.m_Deadline;
  Origin.m_LastEventId = m_Offset;
  Origin.m_RequiredVersion = m_StreamVersion;
  if (!m_StreamVersion && isRecorded())
    Origin.m_RequiredVersion =
        m_Offset > 0
            ? m_Shared.m_StreamVersions.knownVersion(m_Stream, m_Asked.m_Model)
            : m_Shared.m_StreamVersions.reportedVersion(m_Stream,
                                                        m_Asked.m_Model);
  if (Origin.m_RequiredVersion)
    Origin.m_Service = m_Asked.m_Model;
  ForwardHandlers Handlers;
  Handlers.m_OnHead = [this](int Status, const ForwardedAnswer &Answer) {
    const TimePoint HeadAt = BootClock::now();
    m_TargetVersion = Answer.m_Origin.m_Version;
    if (isRecorded()) {
      m_Shared.m_StreamVersions.noteWithdrawals(
          m_Stream, Answer.m_Origin.m_Withdrawals, HeadAt);
      m_Shared.m_StreamVersions.recordSent(m_Stream, m_Asked.m_Model,
                                           m_TargetVersion, HeadAt);
    }
    m_Writer->head(Status, Answer.m_Fields, Answer.m_Origin);
  };
  Handlers.m_OnEvent = [this](const relay::Event &Got) {
    m_UsedPeers.clear();
    takePiece({Got.m_Id == 0 ? 0 : Got.m_Id - 1, 1, Got.m_Text});
  };
  Handlers.m_MayReplace = [this](const retries::Failure &Why,
                                 TimePoint SilentSince) {
    return mayReplaceForward(Why, SilentSince);
  };
  Handlers.m_OnEnd = [Weak = weak_from_this()](const ForwardEnding &Ending) {
    if (const auto Self = Weak.lock())
      Self->takeForwardEnding(Ending);
  };
  m_Forward = Forward::start(
      m_Shared.m_PeerConnections, *Receiver, m_Caller->request(), m_Asked,
      Origin, forwardPatience(m_Asked, m_Shared.m_Settings.m_Patience),
      std::move(Handlers), Now);
}

void Serving::takeForwardEnding(const ForwardEnding &Ending) {
  if (m_Phase != Phase::Forwarding)
    return;
  const std::shared_ptr<Forward> Over = std::exchange(m_Forward, nullptr);
  if (const auto *Whole = std::get_if<ForwardEnding::Whole>(&Ending.m_Result))
    return takeForwarded(*Whole);
  m_Shared.m_Metrics.m_ForwardFailures.add();
  if (const auto *Why = std::get_if<Rejection>(&Ending.m_Result))
    return takeForwardRejection(*Why);
  const auto &Broken = std::get<ForwardEnding::Broken>(Ending.m_Result);
  if (!Broken.m_Sent)
    m_Shared.m_ForwardPeers.recordUnreachable(Over->peer(), BootClock::now());
  takeBrokenForward(Broken);
}

void Serving::takeForwarded(const ForwardEnding::Whole &Whole) {
  const TimePoint Now = BootClock::now();
  if (Whole.m_Streamed)
    m_Writer->finish({}, 0, 0);
  else
    m_Writer->pass({Whole.m_Answer.m_Status, "", Whole.m_Answer.m_Body,
                    Whole.m_Answer.m_Fields});
  events::emit(events::Event::ForwardCompleted,
               {{"request", m_Asked.m_Id},
                {"total_ms", milliseconds(Now - m_Asked.m_ArrivedAt)},
                {"events", m_Offset}});
  EntryMetrics &Metrics = m_Shared.m_Metrics;
  Metrics.m_Total.record(Now - m_Asked.m_ArrivedAt);
  if (!m_CallerGone)
    (Now <= m_Asked.m_Deadline ? Metrics.m_Completed : Metrics.m_CompletedLate)
        .add();
  m_MayHaveRun = true;
  end();
}

void Serving::takeForwardRejection(const Rejection &Why) {
  events::emit(events::Event::ForwardFailed,
               {{"request", m_Asked.m_Id},
                {"entry", Why.m_Peer},
                {"reason", refusalInfo(Why.m_Reason).m_Name},
                {"outcome", outcomeName(Why.m_Outcome)},
                {"tries", m_Tries}});
  const Error Last{Why.m_Step, Why.m_Peer, ""};
  // Its retries are used up: it has those of this entry.
  if (Why.m_Outcome != Outcome::NotRun) {
    m_MayHaveRun = true;
    return giveUp(Why.m_Reason, Outcome::Unknown, Last);
  }
  if (!mayForward(BootClock::now()))
    return giveUp(Why.m_Reason, outcomeSoFar(), Last, Why.m_RetryAfter);
  enter(Phase::Placing);
  forward(BootClock::now());
}

void Serving::takeBrokenForward(const ForwardEnding::Broken &Broken) {
  const TimePoint Now = BootClock::now();
  events::emit(events::Event::ForwardFailed,
               {{"request", m_Asked.m_Id},
                {"entry", Broken.m_Why.m_Peer},
                {"sent", Broken.m_Sent},
                {"tries", m_Tries},
                {"step", Broken.m_Why.m_Step},
                {"message", Broken.m_Why.m_Message}});
  // Without a byte sent it is no try, and costs no retry.
  if (!Broken.m_Sent && mayForward(Now)) {
    enter(Phase::Placing);
    return forward(Now);
  }
  TryEnding Ending;
  Ending.m_Failure.m_Kind = !Broken.m_Sent ? retries::FailureKind::ConnectFailed
                            : Broken.m_Silent  ? retries::FailureKind::Stalled
                            : Broken.m_Invalid ? retries::FailureKind::Malformed
                                               : retries::FailureKind::Broken;
  Ending.m_Failure.m_NotRunProven = !Broken.m_Sent;
  Ending.m_Failure.m_BytesSent = Broken.m_Sent;
  Ending.m_Error = Broken.m_Why;
  // The budget of all targets without a name is for no target's failures.
  retries::forgetTarget(m_Shared.m_Retries, {});
  decideNext(Ending, Now);
}

// --- Running ----------------------------------------------------------------

void Serving::takePiece(const targets::StreamPiece &Piece) {
  const TimePoint Now = BootClock::now();
  EntryMetrics &Metrics = m_Shared.m_Metrics;
  if (m_FirstPieceAt == TimePoint())
    m_FirstPieceAt = Now;
  // Another entry counts what it runs for this one.
  if (m_Try != nullptr) {
    countUsage(Now);
    notePassing();
  }
  if (m_Offset == m_FirstOffset)
    Metrics.m_FirstToken.record(Now - m_Asked.m_ArrivedAt);
  else
    Metrics.m_BetweenTokens.record(Now - m_LastPieceAt);
  m_LastPieceAt = Now;
  if (isRecorded() && m_Offset == m_FirstOffset)
    m_Shared.m_StreamVersions.recordEvent(m_Stream);
  m_StreamVersion = m_TargetVersion;
  m_Offset = Piece.m_Offset + Piece.m_Tokens;
  Metrics.m_Tokens.add(Piece.m_Tokens);
  Metrics.m_Bytes.add(Piece.m_Text.size());
  m_Writer->piece(Piece.m_Text);
  pauseIfSlow(Now);
}

void Serving::pauseIfSlow(TimePoint Now) {
  if (m_CallerGone || (m_Try == nullptr && m_Forward == nullptr) ||
      isPaused() ||
      m_Caller->pendingBytes() <= m_Shared.m_Settings.m_PendingBytes)
    return;
  m_Shared.m_Metrics.m_Pauses.add();
  m_PausedSince = Now;
  if (m_Try != nullptr)
    m_Try->pause();
  if (m_Forward != nullptr)
    m_Forward->pause();
}

void Serving::resumeReading(TimePoint Now) {
  if (m_Try != nullptr)
    m_Try->resume(Now);
  if (m_Forward != nullptr)
    m_Forward->resume(Now);
}

void Serving::checkReader(TimePoint Now) {
  if (m_Caller->pendingBytes() <= m_Shared.m_Settings.m_PendingBytes / 2)
    return resumeReading(Now);
  if (Now - m_PausedSince <= m_Shared.m_Settings.m_ReaderPatience)
    return;
  m_Shared.m_Metrics.m_SlowReaders.add();
  m_Shared.m_Metrics.m_Registry.refusals(Refusal::ReaderTooSlow).add();
  events::emit(events::Event::ReaderGivenUp,
               {{"request", m_Asked.m_Id}, {"caller", m_Asked.m_Caller}});
  // The caller's buffer is full: there is no room to tell it why. A run that
  // the ledger keeps goes on as if the caller had gone.
  m_Writer->drop();
  takeGone();
}

void Serving::check(TimePoint Now) {
  const auto Self = shared_from_this();
  if (isPaused())
    checkReader(Now);
  if (m_Phase == Phase::Running && m_Try != nullptr)
    m_Try->check(Now);
  if (m_Phase == Phase::Forwarding && m_Forward != nullptr)
    m_Forward->check(Now);
}

void Serving::noteTryOver(bool Completed) {
  if (std::exchange(m_RunNoted, false))
    m_Shared.m_Suspects.noteRunEnded(m_Print, Completed);
  if (m_Shared.m_Fleet.isClosing(m_LastTarget) &&
      routing::inFlight(m_Shared.m_Routing, m_LastTarget) == 0)
    m_Shared.m_ReportSoon();
}

void Serving::countUsage(TimePoint BeganAt) {
  // The entry where a stream began has counted it.
  if (m_Asked.m_Forwarded && m_FirstOffset > 0)
    return;
  if (m_Asked.m_Passed && !std::exchange(m_IsUsageCounted, true))
    m_Shared.m_Usage.count(m_Asked.m_Passed->m_Customer, BeganAt);
}

void Serving::takeEnding(const TryEnding &Ending) {
  if (m_Phase != Phase::Running)
    return;
  const std::shared_ptr<Try> Over = std::exchange(m_Try, nullptr);
  if (Ending.m_Whole || Ending.m_Failing)
    countUsage(m_SentAt);
  if (Ending.m_Whole) {
    noteTryOver(true);
    return complete(Ending);
  }
  if (!Ending.m_MayBeCrash || !Ending.m_Failure.m_BytesSent)
    return takeFailure(Ending);
  probeTarget(*Over, Ending);
}

void Serving::takeFailure(const TryEnding &Ending) {
  noteTryOver(false);
  decideNext(Ending, BootClock::now());
}

retries::Failure Serving::describeFailure(retries::Failure Facts) const {
  Facts.m_FirstBytePassed = m_Writer->hasPassed();
  Facts.m_Resumable = m_Asked.isResumable();
  Facts.m_Offset = m_Offset;
  Facts.m_NoTargetReached = m_Shared.m_Reach.phase() != reach::Phase::Direct;
  return Facts;
}

retries::Attempt Serving::attemptSoFar() const {
  retries::Attempt So;
  // Callers of one service share its budget.
  So.m_Caller = lineOf(m_Asked);
  if (m_Asked.m_Passed)
    So.m_MaxRuns = m_Asked.m_Passed->m_Route.m_MaxAttempts;
  So.m_Runs = m_Runs;
  So.m_Target = m_LastTarget;
  So.m_Tries = m_Tries;
  So.m_Deadline = m_Asked.m_Deadline;
  So.m_ServiceTime = m_ServiceTime;
  So.m_NotRepeatable = m_Asked.m_NotRepeatable;
  So.m_MayHaveRun = m_MayHaveRun;
  So.m_MayCrashTargets = m_MayCrashTargets;
  So.m_Avoid = m_Avoid;
  return So;
}

void Serving::logKeptTry(std::string_view Reason, TimePoint SilentSince,
                         TimePoint Now) {
  if (std::exchange(m_KeptTry, m_Tries) == m_Tries)
    return;
  events::emit(events::Event::ReplacementRefused,
               {{"request", m_Asked.m_Id},
                {"target", m_LastTarget},
                {"reason", Reason},
                {"silent_ms", milliseconds(Now - SilentSince)},
                {"left_ms", milliseconds(m_Asked.m_Deadline - Now)},
                {"try", m_Tries},
                {"offset", m_Offset}});
}

bool Serving::mayReplaceTry(const retries::Failure &Why,
                            TimePoint SilentSince) {
  const TimePoint Now = BootClock::now();
  const retries::Failure Facts = describeFailure(Why);
  retries::Attempt So = attemptSoFar();
  So.m_Runs += retries::tryMayHaveRun(Facts) ? 1 : 0;
  const bool MustForward = m_Shared.m_Reach.isCut() && mayForward(Now);
  std::string_view Reason;
  if (m_CallerGone) {
    Reason = "caller_gone";
  } else if (!m_Asked.m_Passed || MustForward) {
    if (retries::mayTryAgain(m_Shared.m_Retries, So, Facts, Now))
      return true;
    Reason = "not_allowed";
  } else if (quarantinedUntil(Now) ||
             m_Shared.m_Traits.isRouteSuspect(m_Traits)) {
    Reason = "suspect";
  } else {
    auto Found =
        reserveSuccessor(m_Shared, {m_Try->leg(), SilentSince, So, Facts},
                         routingRequest(), Now);
    if (auto *Successor = std::get_if<routing::Choice>(&Found)) {
      m_Successor = std::move(*Successor);
      return true;
    }
    Reason = std::get<std::string_view>(Found);
  }
  logKeptTry(Reason, SilentSince, Now);
  return false;
}

bool Serving::mayReplaceForward(const retries::Failure &Why,
                                TimePoint SilentSince) {
  const TimePoint Now = BootClock::now();
  const retries::Failure Facts = describeFailure(Why);
  retries::Attempt So = attemptSoFar();
  So.m_Runs += retries::tryMayHaveRun(Facts) ? 1 : 0;
  const bool HasTarget =
      m_Shared.m_Reach.phase() == reach::Phase::Direct &&
      !failed(routing::estimate(m_Shared.m_Routing, routingRequest(), Now,
                                m_Shared.m_Random));
  if (!m_CallerGone && (mayForward(Now) || HasTarget) &&
      retries::mayTryAgain(m_Shared.m_Retries, So, Facts, Now))
    return true;
  logKeptTry(m_CallerGone ? "caller_gone" : "not_allowed", SilentSince, Now);
  return false;
}

bool Serving::sendSuccessor(TimePoint Now) {
  if (!m_Successor)
    return false;
  send(*std::exchange(m_Successor, std::nullopt), Now);
  return true;
}

void Serving::decideNext(const TryEnding &Ending, TimePoint Now) {
  const retries::Failure Facts = describeFailure(Ending.m_Failure);
  retries::Attempt So = attemptSoFar();
  m_MayHaveRun = retries::mayHaveRun(So, Facts);
  So.m_Runs = m_Runs += retries::tryMayHaveRun(Facts) ? 1 : 0;
  if (Ending.m_Failing)
    m_Failing = Ending.m_Failing;
  if (!m_LastTarget.empty()) {
    if (Facts.m_BytesSent)
      m_Unreached.clear();
    else if (Facts.m_Kind == retries::FailureKind::ConnectFailed)
      m_Unreached.push_back(m_LastTarget);
  }
  // Nothing was sent to a target: another entry's try is no retry.
  if (!Facts.m_BytesSent && m_Phase == Phase::Running && mustForward(Now)) {
    enter(Phase::Placing);
    return forward(Now);
  }
  // The entry that has forwarded it asks another one, which is no retry.
  if (!m_MayHaveRun && m_Asked.m_Forwarded && reachesNoTarget())
    return giveUp(Refusal::NoTarget, outcomeSoFar(), Ending.m_Error);
  const retries::RetryDecision Next =
      retries::decide(m_Shared.m_Retries, So, Facts, Now, m_Shared.m_Random);
  events::emit(events::Event::TryFailed,
               {{"request", m_Asked.m_Id},
                {"target", m_LastTarget},
                {"kind", retries::failureKindName(Facts.m_Kind)},
                {"not_run", Facts.m_NotRunProven},
                {"sent", Facts.m_BytesSent},
                {"try", m_Tries},
                {"after_ms", milliseconds(Now - m_Asked.m_ArrivedAt)},
                {"offset", m_Offset},
                {"prefill", Ending.m_InPrefill},
                {"events", Ending.m_Events},
                {"parts", printParts(m_Asked)},
                {"content", fmt::format("{:016x}", m_Traits.m_Content)},
                {"waited_ms", milliseconds(Now - m_SentAt)},
                {"next", nextName(Next)},
                {"step", Ending.m_Error.m_Step},
                {"message", Ending.m_Error.m_Message}});
  if (const auto *Stop = std::get_if<retries::GiveUp>(&Next)) {
    if (!m_Unreached.empty() && m_Phase == Phase::Running && mayForward(Now)) {
      enter(Phase::Placing);
      return forward(Now);
    }
    // The target was at work until the deadline passed.
    const bool Late = m_Asked.isLate(Now);
    return giveUp(Late ? Refusal::TargetTimeout : Stop->m_Reason,
                  Stop->m_Outcome, Ending.m_Error, untilAdmitted(Now));
  }
  if (m_CallerGone)
    return leave();
  if (m_Phase != Phase::Placing)
    enter(Phase::Placing);
  if (const auto *Resume = std::get_if<retries::ResumeAt>(&Next)) {
    m_Shared.m_Metrics.countRetry(Facts.m_Kind, true);
    m_Avoid = Resume->m_Avoid;
    if (!sendSuccessor(Now))
      waitUntil(Resume->m_StartTime);
    return;
  }
  const auto &Again = std::get<retries::RetryAt>(Next);
  m_Shared.m_Metrics.countRetry(Facts.m_Kind, false);
  m_Avoid = Again.m_Avoid;
  // Nothing was passed on: begin a new stream, so that no line of the former
  // can be taken for one of it.
  m_Writer->restart();
  m_StreamVersion = m_ResumedVersion;
  m_Offset = m_FirstOffset;
  m_StreamId = randomIdentity();
  if (!sendSuccessor(Now))
    waitUntil(Again.m_StartTime);
}

// --- The end ----------------------------------------------------------------

void Serving::complete(const TryEnding &Ending) {
  const TimePoint Now = BootClock::now();
  if (!Ending.m_Streamed) {
    m_Writer->pass({Ending.m_Answer.m_Status, Ending.m_Answer.m_ContentType,
                    Ending.m_Answer.m_Body, Ending.m_Answer.m_Fields});
  } else {
    m_Writer->finish(Ending.m_End.m_Finish, promptTokensOf(m_Asked),
                     Ending.m_End.m_Length);
  }
  const bool InTime = Now <= m_Asked.m_Deadline;
  events::emit(
      events::Event::RequestCompleted,
      {{"request", m_Asked.m_Id},
       {"target", m_LastTarget},
       {"tries", m_Tries},
       {"first_ms", milliseconds(m_FirstPieceAt == TimePoint()
                                     ? Duration(0)
                                     : m_FirstPieceAt - m_Asked.m_ArrivedAt)},
       {"total_ms", milliseconds(Now - m_Asked.m_ArrivedAt)},
       {"events", m_Offset}});
  EntryMetrics &Metrics = m_Shared.m_Metrics;
  Metrics.m_Total.record(Now - m_Asked.m_ArrivedAt);
  if (!m_CallerGone)
    (InTime ? Metrics.m_Completed : Metrics.m_CompletedLate).add();
  if (ModelUse *Use = modelUse()) {
    const std::uint64_t Tokens =
        m_Asked.m_Passed
            ? outputTokens(*m_Asked.m_Passed, Ending.m_End.m_Length)
            : Ending.m_End.m_Length;
    Use->m_OutputTokens =
        Use->m_OutputTokens * OutputDecay + static_cast<double>(Tokens);
    Use->m_ExpectedTokens = Use->m_ExpectedTokens * OutputDecay +
                            static_cast<double>(m_Asked.m_MaxTokens);
    wire::ModelDemand &Demand = Use->m_Demand;
    Demand.set_output_tokens(Demand.output_tokens() + Tokens);
    Demand.set_cached_prompt_tokens(Demand.cached_prompt_tokens() +
                                    Ending.m_End.m_CachedBlocks *
                                        routing::BlockTokens);
    Demand.set_completed_in_time(Demand.completed_in_time() + (InTime ? 1 : 0));
  }
  retries::recordSuccess(m_Shared.m_Retries, lineOf(m_Asked), m_LastTarget);
  if (m_Asked.m_Passed)
    m_Shared.m_Traits.recordSound(m_Traits, Now, m_InTrial);
  m_MayHaveRun = true;
  if (m_KeyGranted) {
    KeptAnswer Kept = m_Writer->kept();
    // Status zero says that the answer was too large to be kept.
    if (Kept.m_Body.size() > m_Shared.m_Configuration.m_MaxAnswerBytes)
      Kept = KeptAnswer{0, "", ""};
    m_Shared.m_Ledger.finish(m_Asked, Kept);
  }
  end();
}

void Serving::giveUp(Refusal Reason, Outcome Told, const Error &Last,
                     Duration RetryAfter) {
  if (m_KeyGranted) {
    if (Told == Outcome::NotRun)
      m_Shared.m_Ledger.release(m_Asked);
    else
      m_Shared.m_Ledger.finishUnknown(m_Asked);
  }
  // What a target has answered goes before a failure of our own.
  if (m_Failing && !m_Writer->hasPassed())
    return passFailing();
  if (m_Tries > 0)
    events::emit(events::Event::RequestFailed,
                 {{"request", m_Asked.m_Id},
                  {"reason", refusalInfo(Reason).m_Name},
                  {"outcome", outcomeName(Told)},
                  {"target", m_LastTarget},
                  {"tries", m_Tries},
                  {"step", Last.m_Step},
                  {"message", Last.m_Message}});
  Rejection Why;
  Why.m_Reason = Reason;
  Why.m_Outcome = Told;
  Why.m_Step = Last.m_Step;
  Why.m_RetryAfter = RetryAfter;
  Why.m_Peer = m_LastTarget.m_Value;
  Why.m_Detail =
      Last.m_Message.empty()
          ? ""
          : std::string(refusalInfo(Reason).m_Text) + ": " + Last.m_Message;
  refuse(Why);
}

void Serving::passFailing() {
  events::emit(events::Event::RequestFailed, {{"request", m_Asked.m_Id},
                                              {"reason", "passed_on"},
                                              {"status", m_Failing->m_Status},
                                              {"target", m_LastTarget},
                                              {"tries", m_Tries}});
  m_Writer->pass({m_Failing->m_Status, m_Failing->m_ContentType,
                  m_Failing->m_Body, m_Failing->m_Fields});
  end();
}

void Serving::logCutStream(const Rejection &Why) const {
  const TimePoint Now = BootClock::now();
  const bool HasEvents = m_LastPieceAt != TimePoint();
  events::emit(events::Event::StreamCut,
               {{"request", m_Asked.m_Id},
                {"target", m_LastTarget},
                {"reason", refusalInfo(Why.m_Reason).m_Name},
                {"step", Why.m_Step},
                {"tries", m_Tries},
                {"offset", m_Offset},
                {"silent_ms",
                 milliseconds(HasEvents ? Now - m_LastPieceAt : Duration(0))},
                {"left_ms", milliseconds(m_Asked.m_Deadline - Now)},
                {"stage", daemon::currentStage()}});
}

void Serving::refuse(const Rejection &Why) {
  // The invariant behind the promise: not run is said only of what can't have
  // run.
  WASABIVALE_INVARIANT(Why.m_Outcome != Outcome::NotRun || !m_MayHaveRun);
  m_Shared.m_Metrics.m_Registry.refusals(Why.m_Reason).add();
  events::emit(
      events::Event::RequestRefused,
      {{"request", m_Asked.m_Id},
       {"caller", m_Asked.m_Caller},
       {"reason", refusalInfo(Why.m_Reason).m_Name},
       {"outcome", outcomeName(Why.m_Outcome)},
       {"step", Why.m_Step},
       {"after_ms", milliseconds(BootClock::now() - m_Asked.m_ArrivedAt)},
       {"retry_after_ms", milliseconds(Why.m_RetryAfter)}});
  if (ModelUse *Use = modelUse())
    Use->m_Demand.set_refused(Use->m_Demand.refused() + 1);
  if (m_Writer->hasPassed())
    logCutStream(Why);
  m_Writer->refuse(Why);
  end();
}

void Serving::endTry(TryOutcome Evidence, TimePoint Now) {
  if (m_Try == nullptr)
    return;
  m_Try->cancel(Evidence, Now);
  m_Try.reset();
}

void Serving::end() {
  const auto Self = shared_from_this();
  const TimePoint Now = BootClock::now();
  const bool InService = m_Phase == Phase::Running;
  enter(Phase::Ended);
  m_Wake.reset();
  m_Leave.reset();
  endTry(TryOutcome::Cancelled, Now);
  if (const auto Successor = std::exchange(m_Successor, std::nullopt))
    dropSuccessor(m_Shared, *Successor, Now);
  if (std::exchange(m_InTrial, false))
    m_Shared.m_Traits.endTrial(m_Traits.m_Route);
  if (m_Forward != nullptr)
    m_Forward->cancel();
  if (InService || m_RunNoted)
    noteTryOver(false);
  m_Shared.m_Suspects.dropWish(m_Print);
  if (isRecorded())
    m_Shared.m_StreamVersions.recordEnded(m_Stream, Now);
  if (m_Started)
    limits::finish(m_Shared.m_Limits, m_Ticket,
                   {m_Asked.isService() ? 0 : promptTokensOf(m_Asked),
                    static_cast<std::uint32_t>(m_Offset), m_MayHaveRun},
                   Now);
  if (const auto Done = std::exchange(m_Done, nullptr))
    Done(*this);
}

void Serving::endForStop() {
  if (m_Phase == Phase::Ended)
    return;
  const bool Running = m_Phase == Phase::Running || m_Phase == Phase::Probing;
  if (m_Phase == Phase::Queued)
    limits::abandon(m_Shared.m_Limits, m_Ticket, BootClock::now());
  if (Running || (m_Forward != nullptr && m_Forward->hasSent()))
    m_MayHaveRun = true;
  giveUp(Refusal::Stopping, outcomeSoFar(), Error{"stop", "", ""});
}

} // namespace wasabivale::entry
