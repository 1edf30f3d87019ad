#include "Try.h"

#include "events/events.h"

#include <algorithm>

namespace wasabivale::entry {

using retries::FailureKind;
using routing::TryOutcome;

namespace {

constexpr std::chrono::seconds CancelTimeout{2};
/// A first token may take this many times its estimate, and the patience of a
/// token beside it.
constexpr int FirstTokenFactor = 3;
constexpr int HttpConflict = 409;
constexpr int HttpNotFound = 404;
/// A sound target may send nothing for this long.
constexpr std::chrono::milliseconds SoundSilence{2'500};
/// Time after which a replacement that was refused is asked for again. Each
/// question looks through all targets.
constexpr std::chrono::milliseconds ReplacementInterval{250};
constexpr std::string_view StreamStep = "targets.stream";

/// What a run or call that was not whole means for the request.
struct Reading {
  FailureKind m_Kind = FailureKind::Broken;
  TryOutcome m_Evidence = TryOutcome::Failed;
  bool m_NotRun = false;
  bool m_MayBeCrash = false;
};

Reading readRefusal(int HttpStatus) {
  if (HttpStatus == HttpConflict)
    return {FailureKind::CannotResume, TryOutcome::NotSent, true, false};
  // The model or service is not there any more; another target may have it.
  if (HttpStatus == HttpNotFound)
    return {FailureKind::TargetFull, TryOutcome::Full, true, false};
  return {FailureKind::Refused, TryOutcome::NotSent, true, false};
}

Reading readNotRun(int HttpStatus) {
  if (HttpStatus == 0)
    return {FailureKind::ConnectFailed, TryOutcome::Failed, true, false};
  return {FailureKind::TargetFull, TryOutcome::Full, true, false};
}

Reading readBroken(int HttpStatus, const Error &Why) {
  if (Why.m_Step == StreamStep || http::isMalformedResponse(Why))
    return {FailureKind::Malformed, TryOutcome::Failed, false, false};
  constexpr int HttpOk = 200;
  if (HttpStatus != 0 && HttpStatus != HttpOk)
    return {FailureKind::TargetError, TryOutcome::Failed, false, false};
  return {FailureKind::Broken, TryOutcome::Failed, false, true};
}

Reading readRun(const targets::RunEnding &Ending) {
  if (Ending.m_Result == targets::RunResult::NotRun)
    return readNotRun(Ending.m_HttpStatus);
  if (Ending.m_Result == targets::RunResult::Refused)
    return readRefusal(Ending.m_HttpStatus);
  return readBroken(Ending.m_HttpStatus, Ending.m_Failure);
}

Reading readCall(const targets::CallEnding &Ending) {
  if (Ending.m_Result == targets::CallResult::NotRun)
    return readNotRun(Ending.m_HttpStatus);
  if (Ending.m_Result == targets::CallResult::Refused)
    return readRefusal(Ending.m_HttpStatus);
  return readBroken(Ending.m_HttpStatus, Ending.m_Failure);
}

/// Whether callers take the status for the promise that nothing has run.
bool isPromise(int Status) {
  constexpr int Promises[] = {408, 421, 429, 503};
  return std::find(std::begin(Promises), std::end(Promises), Status) !=
         std::end(Promises);
}

/// Silence of a target that runs a plain request after which others are
/// preferred: by what the caller was promised.
Try::Patience patienceOf(const routes::Route &By) {
  constexpr int Objectives = 2;
  constexpr int Gaps = 5;
  static constexpr std::chrono::milliseconds Least{500};
  const auto AtLeast = [](std::chrono::nanoseconds Value) {
    return std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(Value), Least);
  };
  return {AtLeast(By.m_Gap * Gaps), AtLeast(By.m_Objective * Objectives)};
}

/// When another try can still be of use to the caller of a plain request, whose
/// target has been silent since \p Since.
TimePoint lastChance(const Arrival &Request, TimePoint Since) {
  static constexpr std::chrono::nanoseconds Least =
      std::chrono::milliseconds(300);
  const routes::Route &Route = Request.m_Passed->m_Route;
  TimePoint LeavesAt = Request.m_Deadline;
  if (Request.m_Stream)
    LeavesAt = std::min<TimePoint>(LeavesAt, Since + streamPatience(Route));
  return LeavesAt - std::max(Route.m_Objective / 2, Least);
}

} // namespace

Try::Try(TryTools With, const Arrival &For, TryPlan Plan,
         const Patience &Limits, TryHandlers Handlers, TimePoint Now)
    : m_Tools(With), m_For(For), m_Plan(std::move(Plan)),
      m_Patience(For.m_Passed ? patienceOf(For.m_Passed->m_Route) : Limits),
      m_Handlers(std::move(Handlers)), m_Id{randomIdentity()},
      m_SilentSince(Now), m_StartedAt(Now) {
  const Duration Expected = std::max<Duration>(
      m_Plan.m_Choice.m_Estimate.m_FirstToken - Now, Duration(0));
  m_FirstTokenBy = Now + Expected * FirstTokenFactor +
                   (For.m_Passed ? m_Patience.m_Call : m_Patience.m_Token);
}

Try::~Try() {
  if (m_Call != nullptr)
    m_Call->cancel();
  release(TryOutcome::Cancelled, BootClock::now());
}

std::shared_ptr<Try> Try::start(TryTools With, const Arrival &For, TryPlan Plan,
                                const Patience &Limits, TryHandlers Handlers,
                                TimePoint Now) {
  std::shared_ptr<Try> Made(
      new Try(With, For, std::move(Plan), Limits, std::move(Handlers), Now));
  routing::recordStarted(With.m_Routing, Made->m_Plan.m_Choice.m_Try, Now);
  if (For.m_Passed) {
    Made->m_InPrefill = Made->m_Plan.m_Prefill.has_value();
    Made->sendPassed({}, Made->m_InPrefill);
  } else if (For.isService())
    Made->startCall();
  else if (Made->m_Plan.m_Prefill)
    Made->startPrefill(Now);
  else
    Made->startRun({});
  return Made;
}

const http::Address &Try::address() const {
  return m_InPrefill ? *m_Plan.m_Prefill : m_Plan.m_Run;
}

const routing::Leg &Try::leg() const {
  return m_InPrefill ? *m_Plan.m_Choice.m_Prefill : m_Plan.m_Choice.m_Run;
}

targets::RunRequest Try::runRequest() const {
  targets::RunRequest Made;
  Made.m_Request = m_Id;
  Made.m_Model = {m_For.m_Model};
  Made.m_Prompt = m_For.m_Prompt;
  Made.m_MaxTokens = m_For.m_MaxTokens;
  Made.m_Priority = m_For.m_Priority;
  Made.m_Offset = m_Plan.m_Offset;
  Made.m_StreamId = m_Plan.m_StreamId;
  Made.m_Deadline = m_For.m_Deadline;
  return Made;
}

void Try::startPrefill(TimePoint) {
  m_InPrefill = true;
  targets::RunRequest What = runRequest();
  What.m_PrefillOnly = true;
  What.m_Offset = 0;
  targets::RunHandlers Handlers;
  Handlers.m_OnEnd = [Weak =
                          weak_from_this()](const targets::RunEnding &Ending) {
    if (const auto Self = Weak.lock())
      Self->takePrefilled(Ending);
  };
  m_Call = targets::runOnEngine(m_Tools.m_Loop, *m_Plan.m_Prefill, What,
                                std::move(Handlers));
}

void Try::takePrefilled(const targets::RunEnding &Ending) {
  if (Ending.m_Result != targets::RunResult::Whole)
    return takeRun(Ending);
  const TimePoint Now = BootClock::now();
  m_InPrefill = false;
  m_Sent = true;
  m_SilentSince = Now;
  routing::recordPrefilled(m_Tools.m_Routing, m_Plan.m_Choice.m_Try, Now);
  // Without a ticket the second engine prefills the prompt itself.
  startRun(Ending.m_End.m_KvTicket);
}

void Try::startRun(std::string KvTicket) {
  targets::RunRequest What = runRequest();
  What.m_KvTicket = std::move(KvTicket);
  targets::RunHandlers Handlers;
  Handlers.m_OnPiece = [Weak =
                            weak_from_this()](const targets::StreamPiece &Got) {
    if (const auto Self = Weak.lock())
      Self->takePiece(Got);
  };
  Handlers.m_OnEnd = [Weak =
                          weak_from_this()](const targets::RunEnding &Ending) {
    if (const auto Self = Weak.lock())
      Self->takeRun(Ending);
  };
  m_Call = targets::runOnEngine(m_Tools.m_Loop, m_Plan.m_Run, What,
                                std::move(Handlers));
}

void Try::startCall() {
  targets::ServiceCall What;
  What.m_Request = m_Id;
  What.m_Service = m_For.m_Model;
  What.m_Method = m_For.m_Method;
  What.m_Path = m_For.m_Path;
  What.m_Body = m_For.m_Body;
  What.m_NotRepeatable = m_For.m_NotRepeatable;
  What.m_IdempotencyKey = m_For.m_Key;
  m_Call = targets::callService(
      m_Tools.m_Loop, m_Plan.m_Run, What, m_For.m_Deadline,
      [Weak = weak_from_this()](const targets::CallEnding &Ending) {
        if (const auto Self = Weak.lock())
          Self->takeAnswer(Ending);
      });
}

// --- Plain requests ---------------------------------------------------------

void Try::sendPassed(std::string KvSource, bool PrefillOnly) {
  const std::shared_ptr<const Passed> What = m_For.m_Passed;
  relay::TryOptions With;
  With.m_Target = leg().m_Target;
  With.m_Deadline = m_For.m_Deadline;
  With.m_Urgency = m_Plan.m_Urgency;
  With.m_LastEventId = m_Plan.m_Offset;
  With.m_PrefillOnly = PrefillOnly;
  With.m_EventsOnly = m_Plan.m_HasBegun && !PrefillOnly;
  With.m_FreshConnection = m_Plan.m_IsRetry;
  With.m_ChecksKeys = What->m_ChecksKeys;
  With.m_Customer = What->m_Customer;
  // KV memory that is handed over holds all of the prompt.
  if (m_Plan.m_FetchFrom && KvSource.empty())
    With.m_FetchFrom = http::printAddress(*m_Plan.m_FetchFrom);
  With.m_KvSource = std::move(KvSource);
  const auto Weak = weak_from_this();
  relay::TryHandlers Handlers;
  Handlers.m_OnLoad = [Weak](const relay::ResponseInfo::Load &Told) {
    if (const auto Self = Weak.lock())
      Self->takeLoad(Told);
  };
  Handlers.m_OnResponse = [Weak](const relay::ResponseInfo &Info) {
    if (const auto Self = Weak.lock())
      Self->takeResponse(Info);
  };
  if (!PrefillOnly && m_For.m_Stream) {
    Handlers.m_OnHead = [Weak](int Status, const http::Fields &Fields) {
      const auto Self = Weak.lock();
      if (Self == nullptr || Self->m_Released)
        return;
      Self->m_KvHandle.clear(); // It was fetched.
      Self->m_Streaming = true;
      Self->m_Handlers.m_OnHead(Status, Fields);
    };
    Handlers.m_OnEvent = [Weak](const relay::Event &Got) {
      if (const auto Self = Weak.lock())
        Self->takePiece({Got.m_Id == 0 ? 0 : Got.m_Id - 1, 1, Got.m_Text});
    };
  }
  Handlers.m_OnEnd = [Weak, What, PrefillOnly](const relay::TryResult &Ending) {
    const auto Self = Weak.lock();
    if (Self == nullptr)
      return;
    if (PrefillOnly)
      Self->takePassedPrefill(Ending);
    else
      Self->takePassed(Ending);
  };
  m_Call = relay::send(m_Tools.m_Connections, *m_Tools.m_Dialect, address(),
                       What->m_Ask, With, !m_For.m_NotRepeatable,
                       std::move(Handlers));
}

void Try::takeResponse(const relay::ResponseInfo &Info) {
  const TimePoint Now = BootClock::now();
  routing::recordHeard(m_Tools.m_Routing, leg(), Now);
  if ((Info.m_Signed || Info.m_RequestsPerSecond) && m_Handlers.m_OnRateLimit)
    m_Handlers.m_OnRateLimit(address(), Info.m_RequestsPerSecond);
  if (Info.m_Leaving && routing::closeTarget(m_Tools.m_Routing, leg(), Now))
    events::emit(events::Event::TargetSaysLeaving,
                 {{"target", leg().m_Target},
                  {"incarnation", leg().m_Incarnation},
                  {"request", m_For.m_Id}});
  if (Info.m_RestFor) {
    routing::restTarget(m_Tools.m_Routing, leg(), Now + *Info.m_RestFor, Now);
    events::emit(
        events::Event::TargetRests,
        {{"target", leg().m_Target},
         {"request", m_For.m_Id},
         {"for_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(*Info.m_RestFor)
              .count()}});
  }
}

void Try::takeLoad(const relay::ResponseInfo::Load &Told) {
  const routing::LoadReport Report{Told.m_Running, Told.m_Waiting, std::nullopt,
                                   std::nullopt, Told.m_Slowdown};
  routing::applyLoad(m_Tools.m_Routing, leg().m_Target, leg().m_Incarnation,
                     Report, BootClock::now());
}

void Try::takePassedPrefill(const relay::TryResult &Ending) {
  if (Ending.m_Outcome != relay::TryCompletion::Complete)
    return takePassed(Ending);
  const auto Read =
      m_Tools.m_Dialect->m_ReadPrefillResult(Ending.m_Response.m_Body);
  const TimePoint Now = BootClock::now();
  const std::string From = http::printAddress(address());
  m_InPrefill = false;
  m_SilentSince = Now;
  routing::recordPrefilled(m_Tools.m_Routing, m_Plan.m_Choice.m_Try, Now);
  // The second engine may have begun to leave while the first one read, and
  // the request may have been quarantined.
  if (!routing::acceptsNewWork(m_Tools.m_Routing, m_Plan.m_Choice.m_Run, Now) ||
      !m_Handlers.m_MayRun()) {
    if (!failed(Read))
      m_KvHandle = valueOf(Read).m_Handle;
    retries::Failure Why;
    Why.m_Kind = FailureKind::TargetFull;
    Why.m_NotRunProven = true;
    Why.m_BytesSent = true;
    return fail(Why, TryOutcome::NotSent,
                Error{"try.second_leg", http::printAddress(address()),
                      "no run may start there any more"},
                false);
  }
  // Without a handle the second engine reads the prompt itself.
  if (failed(Read)) {
    events::emitError(events::Event::TargetAnswerUnreadable, errorOf(Read));
    return sendPassed({}, false);
  }
  m_KvHandle = valueOf(Read).m_Handle;
  events::emit(
      events::Event::PromptPrefilled,
      {{"request", m_For.m_Id},
       {"target", m_Plan.m_Choice.m_Prefill->m_Target},
       {"tokens", valueOf(Read).m_Tokens},
       {"took_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(Now - m_StartedAt)
            .count()}});
  sendPassed(From + '/' + m_KvHandle, false);
}

void Try::takePassed(const relay::TryResult &Ending) {
  m_Tools.m_Metrics.m_DuplicatePieces.add(Ending.m_Duplicates);
  targets::ServiceAnswer Answer;
  Answer.m_Status = Ending.m_Response.m_Status;
  Answer.m_Body = Ending.m_Response.m_Body;
  Answer.m_Fields = Ending.m_Response.m_Fields;
  const bool IsWhole = Ending.m_Outcome == relay::TryCompletion::Complete;
  // Only what the target proves may be passed on as a promise.
  const bool IsUnproven = IsWhole && isPromise(Ending.m_Status);
  if (IsWhole && !IsUnproven) {
    release(TryOutcome::Completed, BootClock::now());
    TryEnding Told;
    Told.m_Whole = true;
    Told.m_Streamed = m_Streaming;
    Told.m_End.m_Length = Ending.m_LastEventId;
    Told.m_Answer = std::move(Answer);
    const auto OnEnd = std::exchange(m_Handlers, {}).m_OnEnd;
    OnEnd(std::move(Told));
    return;
  }
  // A prefill that goes no further is no run.
  const bool NotRun =
      Ending.m_Outcome == relay::TryCompletion::NotRun || m_InPrefill;
  const bool Sent = m_Call == nullptr || m_Call->hasSent();
  retries::Failure Why;
  Why.m_NotRunProven = NotRun;
  Why.m_BytesSent = Sent;
  TryOutcome Evidence = TryOutcome::Failed;
  if (Ending.m_Outcome == relay::TryCompletion::NotRun && Sent) {
    Why.m_Kind = FailureKind::TargetFull;
    Evidence = Ending.m_WrongTarget ? TryOutcome::Failed : TryOutcome::Full;
  } else if (Ending.m_Outcome == relay::TryCompletion::NotRun) {
    Why.m_Kind = FailureKind::ConnectFailed;
  } else if (Ending.m_Outcome == relay::TryCompletion::ErrorResponse ||
             IsUnproven) {
    Why.m_Kind = FailureKind::TargetError;
    // What the request asks for may be at fault; the next target will tell.
    Evidence = TryOutcome::Cancelled;
  } else {
    Why.m_Kind =
        Ending.m_InvalidResponse ? FailureKind::Malformed : FailureKind::Broken;
  }
  if (Ending.m_Outcome == relay::TryCompletion::ErrorResponse && !m_InPrefill &&
      !m_Plan.m_HasBegun && !isPromise(Answer.m_Status))
    m_Failing = std::move(Answer);
  const bool MayBeCrash = Why.m_Kind == FailureKind::Broken && !NotRun;
  fail(Why, Evidence, Ending.m_Failure, MayBeCrash);
}

void Try::freeKv() {
  if (m_KvHandle.empty())
    return;
  const auto [Method, Path] = m_Tools.m_Dialect->m_FreeKv(m_KvHandle);
  m_KvHandle.clear();
  http::ClientRequest Out;
  Out.m_To = *m_Plan.m_Prefill;
  Out.m_Method = Method;
  Out.m_Path = Path;
  Out.m_Fields = {{"Host", http::printAddress(Out.m_To)}};
  Out.m_Deadline = BootClock::now() + CancelTimeout;
  // What can't be freed lapses by itself.
  (void)m_Tools.m_Connections.call(std::move(Out), {}, true);
}

// --- Progress and end -------------------------------------------------------

void Try::takePiece(const targets::StreamPiece &Piece) {
  if (m_Released)
    return;
  const TimePoint Now = BootClock::now();
  m_SilentSince = Now;
  m_IsStallNoted = m_IsStallCounted = false;
  routing::recordHeard(m_Tools.m_Routing, leg(), Now);
  const auto &Id = m_Plan.m_Choice.m_Try;
  if (m_Tokens == 0) {
    routing::recordFirstToken(m_Tools.m_Routing, Id, Now);
    recordEstimateError(Now);
  }
  const std::uint64_t PerPiece =
      m_For.m_Passed && m_Tokens > 0 ? m_For.m_Passed->m_TokensPerEvent : 1;
  m_Tokens += Piece.m_Tokens * PerPiece;
  ++m_Events;
  routing::recordProgress(m_Tools.m_Routing, Id,
                          static_cast<std::uint32_t>(m_Tokens), Now);
  m_Handlers.m_OnPiece(Piece);
}

void Try::recordEstimateError(TimePoint Now) {
  const Duration Later = Now - m_Plan.m_Choice.m_Estimate.m_FirstToken;
  if (Later >= Duration(0))
    m_Tools.m_Metrics.m_FirstTokenLater.record(Later);
  else
    m_Tools.m_Metrics.m_FirstTokenSooner.record(-Later);
}

void Try::takeRun(const targets::RunEnding &Ending) {
  m_Tools.m_Metrics.m_DuplicatePieces.add(Ending.m_Duplicates);
  if (Ending.m_Result != targets::RunResult::Whole) {
    const Reading Read = readRun(Ending);
    retries::Failure Why;
    Why.m_Kind = Read.m_Kind;
    Why.m_NotRunProven = Read.m_NotRun && !m_Sent;
    Why.m_BytesSent = m_Sent || m_Call == nullptr || m_Call->hasSent();
    return fail(Why, Read.m_Evidence, Ending.m_Failure, Read.m_MayBeCrash);
  }
  release(TryOutcome::Completed, BootClock::now());
  TryEnding Told;
  Told.m_Whole = true;
  Told.m_Streamed = true;
  Told.m_End = Ending.m_End;
  const auto OnEnd = std::exchange(m_Handlers, {}).m_OnEnd;
  OnEnd(std::move(Told));
}

void Try::takeAnswer(const targets::CallEnding &Ending) {
  if (Ending.m_Result != targets::CallResult::Answered) {
    const Reading Read = readCall(Ending);
    retries::Failure Why;
    Why.m_Kind = Read.m_Kind;
    Why.m_NotRunProven = Read.m_NotRun;
    Why.m_BytesSent = m_Call == nullptr || m_Call->hasSent();
    return fail(Why, Read.m_Evidence, Ending.m_Failure, Read.m_MayBeCrash);
  }
  release(TryOutcome::Completed, BootClock::now());
  TryEnding Told;
  Told.m_Whole = true;
  Told.m_Answer = Ending.m_Answer;
  const auto OnEnd = std::exchange(m_Handlers, {}).m_OnEnd;
  OnEnd(std::move(Told));
}

void Try::fail(retries::Failure Why, TryOutcome Evidence, Error What,
               bool MayBeCrash) {
  const TimePoint Now = BootClock::now();
  // What ended by the caller's deadline says nothing about its target.
  const bool Late = m_For.isLate(Now);
  // Nor does what failed while no target was reached.
  const bool IsPartitioned = m_Tools.m_Reach.phase() != reach::Phase::Direct;
  const bool SaysNothing =
      (Evidence == TryOutcome::Failed && (Late || IsPartitioned)) ||
      (Evidence == TryOutcome::Stalled && IsPartitioned);
  release(SaysNothing ? TryOutcome::Cancelled : Evidence, Now);
  TryEnding Told;
  Told.m_Failure = Why;
  Told.m_MayBeCrash = MayBeCrash && !Late;
  Told.m_InPrefill = m_InPrefill;
  Told.m_Events = m_Events;
  Told.m_Error = std::move(What);
  Told.m_Failing = std::exchange(m_Failing, std::nullopt);
  const auto OnEnd = std::exchange(m_Handlers, {}).m_OnEnd;
  if (OnEnd)
    OnEnd(std::move(Told));
}

void Try::release(TryOutcome Evidence, TimePoint Now) {
  if (std::exchange(m_Released, true))
    return;
  freeKv();
  routing::recordEnded(m_Tools.m_Routing, m_Plan.m_Choice.m_Try, Evidence, Now,
                       m_InPrefill);
  m_Tools.m_Metrics.countTry(Evidence);
}

void Try::tellEngineToCancel() {
  // A target drops a plain request when its connection ends.
  if (m_For.m_Passed || m_For.isService() || m_Call == nullptr ||
      !m_Call->hasSent())
    return;
  m_Tools.m_Metrics.m_Cancels.add();
  targets::cancelRun(m_Tools.m_Loop, address(), m_Id,
                     BootClock::now() + CancelTimeout,
                     [](const Result<bool> &) {});
}

void Try::cancel(TryOutcome Evidence, TimePoint Now) {
  if (m_Released)
    return;
  m_Tools.m_Metrics.m_AbandonedTries.add();
  tellEngineToCancel();
  if (m_Call != nullptr)
    m_Call->cancel();
  m_Handlers = {};
  release(Evidence, Now);
}

bool Try::isStalled(TimePoint Now) const {
  // Given up, a plain request that must not be repeated has no other way.
  if (m_For.m_Passed && m_For.m_NotRepeatable && !m_InPrefill)
    return false;
  // A call that must not be repeated gains nothing by giving it up early.
  if (m_For.isService())
    return !m_For.m_NotRepeatable && Now - m_SilentSince > m_Patience.m_Call;
  if (m_Tokens == 0)
    return Now > m_FirstTokenBy;
  return Now - m_SilentSince > m_Patience.m_Token;
}

void Try::noteStalled(TryOutcome Evidence, TimePoint Now) {
  if (!m_For.m_Passed)
    return;
  if (!std::exchange(m_IsStallNoted, true))
    m_Tools.m_Reach.recordStalled(address(), m_SilentSince);
  if (Evidence != TryOutcome::Stalled || m_IsStallCounted ||
      m_Tools.m_Reach.phase() != reach::Phase::Direct ||
      !routing::isSilenceOfOne(routing::silenceEvidence(
          m_Tools.m_Routing, leg(), m_SilentSince, Now)))
    return;
  m_IsStallCounted = true;
  routing::recordStalled(m_Tools.m_Routing, m_Plan.m_Choice.m_Try, m_InPrefill,
                         Now);
}

void Try::check(TimePoint Now) {
  if (m_Released || m_Paused)
    return;
  if (m_For.m_Passed && m_Call != nullptr && m_Call->hasSent())
    m_Tools.m_Reach.recordWaiting(address(), m_SilentSince);
  if (!isStalled(Now))
    return;
  TryOutcome Evidence = TryOutcome::Stalled;
  if (m_For.m_Passed) {
    routing::recordSilence(m_Tools.m_Routing, leg(), m_SilentSince, Now);
    const bool MayBeSound =
        routing::silenceOf(m_Tools.m_Routing, leg(), Now) <= SoundSilence;
    if (Now - m_SilentSince <= SoundSilence &&
        Now <= lastChance(m_For, m_SilentSince))
      return;
    // A target on probation has to answer.
    if (MayBeSound && !m_Plan.m_Choice.m_Probe)
      Evidence = TryOutcome::Cancelled;
  }
  if (Now < m_NextReplacement)
    return;
  retries::Failure Why;
  Why.m_Kind = FailureKind::Stalled;
  Why.m_NotRunProven = m_For.m_Passed && m_InPrefill;
  Why.m_BytesSent = m_Sent || m_Call == nullptr || m_Call->hasSent();
  const auto Self = shared_from_this();
  if (!m_Handlers.m_MayReplace(Why, m_SilentSince)) {
    m_NextReplacement = Now + ReplacementInterval;
    return noteStalled(Evidence, Now);
  }
  if (m_For.m_Passed)
    m_Tools.m_Reach.recordStalled(address(), m_SilentSince);
  m_Tools.m_Metrics.m_AbandonedTries.add();
  tellEngineToCancel();
  if (m_Call != nullptr)
    m_Call->cancel();
  fail(Why, m_IsStallCounted ? TryOutcome::Cancelled : Evidence,
       Error{"try.progress", http::printAddress(address()),
             "the target made no progress"},
       false);
}

void Try::pause() {
  if (m_Paused || m_Released || m_Call == nullptr)
    return;
  m_Paused = true;
  m_Call->pause();
}

void Try::resume(TimePoint Now) {
  if (!m_Paused)
    return;
  m_Paused = false;
  m_SilentSince = Now;
  if (!m_Released && m_Call != nullptr)
    m_Call->resume();
}

} // namespace wasabivale::entry
