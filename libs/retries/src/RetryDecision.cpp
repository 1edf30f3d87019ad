// Decides what follows a failed try: a retry, a resumed stream or a refusal.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

constexpr double RetryCost = 1;

template <typename Key>
Budget &budgetOf(std::unordered_map<Key, Budget> &Budgets, const Key &Id,
                 const Settings &Options) {
  const auto [Found, Added] = Budgets.try_emplace(Id);
  if (Added)
    Found->second.m_Tokens = Options.m_MaxTokens;
  return Found->second;
}

void deposit(Budget &Account, double Amount, double Capacity) {
  Account.m_Tokens = std::min(Capacity, Account.m_Tokens + Amount);
}

/// Charges a retry to both budgets, or to neither if one is too low.
bool chargeRetry(State &Entry, const Attempt &Request) {
  Budget &Caller =
      budgetOf(Entry.m_Callers, Request.m_Caller, Entry.m_Settings);
  Budget &Target =
      budgetOf(Entry.m_Targets, Request.m_Target, Entry.m_Settings);
  if (Caller.m_Tokens < RetryCost || Target.m_Tokens < RetryCost)
    return false;
  Caller.m_Tokens -= RetryCost;
  Target.m_Tokens -= RetryCost;
  return true;
}

template <typename Key>
bool hasRetryTokens(const std::unordered_map<Key, Budget> &Budgets,
                    const Key &Id, const Settings &Options) {
  const auto Found = Budgets.find(Id);
  return (Found == Budgets.end() ? Options.m_MaxTokens
                                 : Found->second.m_Tokens) >= RetryCost;
}

/// Longest exponential backoff: it doubles with each try.
Duration maxBackoff(const Settings &Options, std::uint32_t Tries) {
  constexpr std::uint32_t MaxDoublings = 20;
  const std::uint32_t Doublings =
      std::min(Tries > 0 ? Tries - 1 : 0, MaxDoublings);
  return std::min(Options.m_BackoffCap,
                  Duration(Options.m_BackoffBase * (1 << Doublings)));
}

/// Exponential backoff with full jitter: uniform between zero and the longest.
Duration backoff(const Settings &Options, std::uint32_t Tries, Random &Rng) {
  std::uniform_int_distribution<Duration::rep> Jitter(
      0, maxBackoff(Options, Tries).count());
  return Duration(Jitter(Rng));
}

Refusal refusalFor(FailureKind Kind) {
  switch (Kind) {
  case FailureKind::Stalled:
    return Refusal::TargetTimeout;
  case FailureKind::Refused:
    return Refusal::TargetRefused;
  case FailureKind::CannotResume:
    return Refusal::StreamBroken;
  default:
    return Refusal::TargetFailed;
  }
}

GiveUp giveUp(Refusal Reason, bool MayHaveRun) {
  return {Reason, MayHaveRun ? Outcome::Unknown : Outcome::NotRun};
}

bool isAvoidable(FailureKind Kind) { return Kind != FailureKind::TargetFull; }

std::vector<TargetId> targetsToAvoid(const Attempt &Request,
                                     const Failure &Facts) {
  std::vector<TargetId> Avoid = Request.m_Avoid;
  const bool AlreadyListed =
      std::find(Avoid.begin(), Avoid.end(), Request.m_Target) != Avoid.end();
  if (!AlreadyListed && isAvoidable(Facts.m_Kind))
    Avoid.push_back(Request.m_Target);
  return Avoid;
}

/// Whether the failure allows a retry or a resumed stream.
bool canContinue(const Attempt &Request, const Failure &Facts,
                 bool MayHaveRun) {
  if (Request.m_NotRepeatable && MayHaveRun)
    return false;
  if (Facts.m_Kind == FailureKind::Refused || Request.m_MayCrashTargets)
    return false;
  if (!Facts.m_FirstBytePassed)
    return true;
  return Facts.m_Resumable && Facts.m_Kind != FailureKind::CannotResume;
}

/// A try that has sent nothing while no target is reached adds no load.
bool isCharged(const Failure &Facts) {
  return !Facts.m_NoTargetReached || Facts.m_BytesSent;
}

/// Refusal for a request that can neither be retried nor resumed.
Refusal finalReason(const Failure &Facts) {
  if (Facts.m_FirstBytePassed && Facts.m_Kind != FailureKind::Refused)
    return Refusal::StreamBroken;
  return refusalFor(Facts.m_Kind);
}

/// Why the request must not be tried again, whenever that were.
std::optional<GiveUp> refuseAnotherTry(const State &Entry,
                                       const Attempt &Request,
                                       const Failure &Facts, TimePoint Now) {
  const bool MayHaveRun = mayHaveRun(Request, Facts);
  if (!canContinue(Request, Facts, MayHaveRun))
    return giveUp(finalReason(Facts), MayHaveRun);
  if (Now >= Request.m_Deadline)
    return giveUp(Refusal::DeadlinePassed, MayHaveRun);
  if (Request.m_Tries >= Entry.m_Settings.m_MaxTries ||
      (Request.m_MaxRuns != 0 && Request.m_Runs >= Request.m_MaxRuns))
    return giveUp(finalReason(Facts), MayHaveRun);
  return std::nullopt;
}

} // namespace

std::string_view failureKindName(FailureKind Value) {
  switch (Value) {
  case FailureKind::ConnectFailed:
    return "connect_failed";
  case FailureKind::TargetFull:
    return "target_full";
  case FailureKind::TargetError:
    return "target_error";
  case FailureKind::Broken:
    return "broken";
  case FailureKind::Stalled:
    return "stalled";
  case FailureKind::Malformed:
    return "malformed";
  case FailureKind::CannotResume:
    return "cannot_resume";
  case FailureKind::Refused:
    return "refused";
  }
  return "broken";
}

void recordSuccess(State &Entry, const CallerId &Caller,
                   const TargetId &Target) {
  const Settings &Options = Entry.m_Settings;
  deposit(budgetOf(Entry.m_Callers, Caller, Options), Options.m_CallerShare,
          Options.m_MaxTokens);
  deposit(budgetOf(Entry.m_Targets, Target, Options), Options.m_TargetShare,
          Options.m_MaxTokens);
}

void forgetCaller(State &Entry, const CallerId &Caller) {
  Entry.m_Callers.erase(Caller);
}

void forgetTarget(State &Entry, const TargetId &Target) {
  Entry.m_Targets.erase(Target);
}

bool tryMayHaveRun(const Failure &Facts) {
  return Facts.m_BytesSent && !Facts.m_NotRunProven;
}

bool mayHaveRun(const Attempt &Request, const Failure &Facts) {
  return Request.m_MayHaveRun || Facts.m_FirstBytePassed ||
         tryMayHaveRun(Facts);
}

bool mayTryAgain(const State &Entry, const Attempt &Request,
                 const Failure &Facts, TimePoint Now) {
  const Settings &Options = Entry.m_Settings;
  if (refuseAnotherTry(Entry, Request, Facts, Now))
    return false;
  if (Now + maxBackoff(Options, Request.m_Tries) + Request.m_ServiceTime >
      Request.m_Deadline)
    return false;
  return !isCharged(Facts) ||
         (hasRetryTokens(Entry.m_Callers, Request.m_Caller, Options) &&
          hasRetryTokens(Entry.m_Targets, Request.m_Target, Options));
}

RetryDecision decide(State &Entry, const Attempt &Request, const Failure &Facts,
                     TimePoint Now, Random &Rng) {
  if (const auto Why = refuseAnotherTry(Entry, Request, Facts, Now))
    return *Why;
  const bool MayHaveRun = mayHaveRun(Request, Facts);
  const TimePoint StartTime =
      Now + backoff(Entry.m_Settings, Request.m_Tries, Rng);
  if (StartTime + Request.m_ServiceTime > Request.m_Deadline)
    return giveUp(Refusal::CannotMeetDeadline, MayHaveRun);
  if (isCharged(Facts) && !chargeRetry(Entry, Request))
    return giveUp(Refusal::RetryBudgetSpent, MayHaveRun);
  WASABIVALE_INVARIANT(!(Request.m_NotRepeatable && MayHaveRun));
  if (Facts.m_FirstBytePassed)
    return ResumeAt{StartTime, Facts.m_Offset, targetsToAvoid(Request, Facts)};
  return RetryAt{StartTime, targetsToAvoid(Request, Facts)};
}

} // namespace wasabivale::retries
