#include "retries/retries.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::retries;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Offset) { return TimePoint(1000s) + Offset; }

Attempt attempt(bool NotRepeatable = false) {
  Attempt Request;
  Request.m_Caller = {"carver"};
  Request.m_Target = {"engine-1"};
  Request.m_Deadline = at(60s);
  Request.m_NotRepeatable = NotRepeatable;
  return Request;
}

} // namespace

SCENARIO("a failed try is retried, resumed or given up") {
  enum class Next { Retry, Resume, GiveUp };
  struct Row {
    const char *m_Name;
    bool m_NotRepeatable;
    bool m_EarlierMayHaveRun;
    Failure m_Facts;
    Next m_Next;
    Refusal m_Reason;
    Outcome m_Outcome;
  };
  using enum FailureKind;
  constexpr auto None = Refusal::TargetFailed;
  constexpr auto Unknown = Outcome::Unknown;
  constexpr auto NotRun = Outcome::NotRun;
  // Facts: kind, proven not run, sent, first byte forwarded, resumable, offset.
  const Row Rows[] = {
      {"no connection",
       false,
       false,
       {ConnectFailed, true, false},
       Next::Retry,
       None,
       NotRun},
      {"no connection, not repeatable",
       true,
       false,
       {ConnectFailed, true, false},
       Next::Retry,
       None,
       NotRun},
      {"target full, not repeatable",
       true,
       false,
       {TargetFull, true, true},
       Next::Retry,
       None,
       NotRun},
      {"broken after the request was sent",
       false,
       false,
       {Broken, false, true},
       Next::Retry,
       None,
       Unknown},
      {"broken, not repeatable",
       true,
       false,
       {Broken, false, true},
       Next::GiveUp,
       Refusal::TargetFailed,
       Unknown},
      {"stalled, not repeatable",
       true,
       false,
       {Stalled, false, true},
       Next::GiveUp,
       Refusal::TargetTimeout,
       Unknown},
      {"not repeatable, an earlier try may have run",
       true,
       true,
       {ConnectFailed, true, false},
       Next::GiveUp,
       Refusal::TargetFailed,
       Unknown},
      {"broken before any byte was sent, not repeatable",
       true,
       false,
       {Broken, false, false},
       Next::Retry,
       None,
       NotRun},
      {"stream broken, resumable",
       false,
       false,
       {Broken, false, true, true, true, 17},
       Next::Resume,
       None,
       Unknown},
      {"stream broken, not resumable",
       false,
       false,
       {Broken, false, true, true, false, 17},
       Next::GiveUp,
       Refusal::StreamBroken,
       Unknown},
      {"the target cannot resume",
       false,
       false,
       {CannotResume, true, true, true, true, 17},
       Next::GiveUp,
       Refusal::StreamBroken,
       Unknown},
      {"stream broken, not repeatable",
       true,
       false,
       {Broken, false, true, true, true, 17},
       Next::GiveUp,
       Refusal::StreamBroken,
       Unknown},
      {"the target rejects the request",
       false,
       false,
       {Refused, true, true},
       Next::GiveUp,
       Refusal::TargetRefused,
       NotRun},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    State Entry;
    Random Rng(1);
    Attempt Request = attempt(Case.m_NotRepeatable);
    Request.m_MayHaveRun = Case.m_EarlierMayHaveRun;
    const RetryDecision Decision =
        decide(Entry, Request, Case.m_Facts, at(0s), Rng);
    CHECK(static_cast<std::size_t>(Case.m_Next) == Decision.index());
    if (const auto *End = std::get_if<GiveUp>(&Decision)) {
      CHECK(End->m_Reason == Case.m_Reason);
      CHECK(End->m_Outcome == Case.m_Outcome);
    }
    if (const auto *Resume = std::get_if<ResumeAt>(&Decision))
      CHECK(Resume->m_Offset == 17);
  }
}

SCENARIO("retries are limited by budgets") {
  State Entry;
  Random Rng(2);
  const Failure Facts{FailureKind::Broken, false, true};
  const auto IsRetried = [&](const Attempt &Request) {
    return std::holds_alternative<RetryAt>(
        decide(Entry, Request, Facts, at(0s), Rng));
  };
  for (int I = 0; I < 10; ++I)
    CHECK(IsRetried(attempt()));
  GIVEN("a spent budget") {
    const RetryDecision Decision = decide(Entry, attempt(), Facts, at(0s), Rng);
    CHECK(std::get<GiveUp>(Decision).m_Reason == Refusal::RetryBudgetSpent);
    CHECK(std::get<GiveUp>(Decision).m_Outcome == Outcome::Unknown);
    THEN("the budget of another target does not help the same caller") {
      Attempt Other = attempt();
      Other.m_Target = {"engine-2"};
      CHECK_FALSE(IsRetried(Other));
    }
    THEN("another caller is limited only by the budget of the target") {
      Attempt Other = attempt();
      Other.m_Caller = {"buyer"};
      CHECK_FALSE(IsRetried(Other));
      Other.m_Target = {"engine-2"};
      CHECK(IsRetried(Other));
    }
    THEN("an entry that reaches no target retries what was not sent") {
      Failure Unsent{FailureKind::ConnectFailed, true, false};
      const auto Next = [&] {
        return decide(Entry, attempt(), Unsent, at(0s), Rng);
      };
      CHECK(std::holds_alternative<GiveUp>(Next()));
      Unsent.m_NoTargetReached = true;
      CHECK(std::holds_alternative<RetryAt>(Next()));
      Unsent.m_BytesSent = true;
      CHECK(std::holds_alternative<GiveUp>(Next()));
    }
    THEN("five successes earn one more retry") {
      for (int I = 0; I < 5; ++I)
        recordSuccess(Entry, {"carver"}, {"engine-1"});
      CHECK(IsRetried(attempt()));
      CHECK_FALSE(IsRetried(attempt()));
    }
  }
}

SCENARIO("no retry starts that cannot finish before the deadline") {
  State Entry;
  Random Rng(3);
  Attempt Request = attempt();
  Request.m_ServiceTime = 10s;
  Request.m_Deadline = at(9s);
  const Failure Facts{FailureKind::ConnectFailed, true, false};
  const auto Decision = decide(Entry, Request, Facts, at(0s), Rng);
  CHECK(std::get<GiveUp>(Decision).m_Reason == Refusal::CannotMeetDeadline);
  CHECK(std::get<GiveUp>(Decision).m_Outcome == Outcome::NotRun);
  CHECK(std::get<GiveUp>(decide(Entry, Request, Facts, at(9s), Rng)).m_Reason ==
        Refusal::DeadlinePassed);
  CHECK(Entry.m_Callers.empty());
}

TEST_CASE("a request that may have run is not reported not run, nor retried if "
          "not repeatable") {
  CHECK(rc::check([](std::uint64_t Seed) {
    State Entry;
    Random Rng(Seed);
    Attempt Request = attempt(*rc::gen::arbitrary<bool>());
    Request.m_MayHaveRun = *rc::gen::arbitrary<bool>();
    Request.m_Tries = *rc::gen::inRange(1U, 6U);
    Failure Facts;
    Facts.m_Kind = static_cast<FailureKind>(
        *rc::gen::inRange<std::size_t>(0, FailureKindCount));
    Facts.m_NotRunProven = *rc::gen::arbitrary<bool>();
    Facts.m_BytesSent = *rc::gen::arbitrary<bool>();
    Facts.m_FirstBytePassed = *rc::gen::arbitrary<bool>();
    Facts.m_Resumable = *rc::gen::arbitrary<bool>();
    const Duration Elapsed = Duration(1ms) * *rc::gen::inRange(0, 61000);
    const bool MayHaveRun = Request.m_MayHaveRun || Facts.m_FirstBytePassed ||
                            (Facts.m_BytesSent && !Facts.m_NotRunProven);
    const auto Decision = decide(Entry, Request, Facts, at(Elapsed), Rng);
    if (const auto *End = std::get_if<GiveUp>(&Decision)) {
      RC_ASSERT((End->m_Outcome == Outcome::NotRun) == !MayHaveRun);
      return;
    }
    RC_ASSERT(!(Request.m_NotRepeatable && MayHaveRun));
    const auto *Retry = std::get_if<RetryAt>(&Decision);
    RC_ASSERT((Retry != nullptr) == !Facts.m_FirstBytePassed);
    const TimePoint StartTime = Retry != nullptr
                                    ? Retry->m_StartTime
                                    : std::get<ResumeAt>(Decision).m_StartTime;
    RC_ASSERT(StartTime >= at(Elapsed) && StartTime <= Request.m_Deadline);
    RC_ASSERT(StartTime <= at(Elapsed) + Entry.m_Settings.m_BackoffCap);
  }));
}

TEST_CASE("a try that may be replaced is not given up for want of another") {
  CHECK(rc::check([](std::uint64_t Seed) {
    State Entry;
    Entry.m_Settings.m_MaxTokens = *rc::gen::inRange(0, 3);
    Random Rng(Seed);
    Attempt Request = attempt(*rc::gen::arbitrary<bool>());
    Request.m_MayHaveRun = *rc::gen::arbitrary<bool>();
    Request.m_Tries = *rc::gen::inRange(1U, 6U);
    Request.m_Runs = *rc::gen::inRange(0U, 4U);
    Request.m_MaxRuns = *rc::gen::inRange(0U, 4U);
    Request.m_ServiceTime = Duration(1ms) * *rc::gen::inRange(0, 4000);
    Failure Facts;
    Facts.m_Kind = FailureKind::Stalled;
    Facts.m_NotRunProven = *rc::gen::arbitrary<bool>();
    Facts.m_BytesSent = *rc::gen::arbitrary<bool>();
    Facts.m_FirstBytePassed = *rc::gen::arbitrary<bool>();
    Facts.m_Resumable = *rc::gen::arbitrary<bool>();
    Facts.m_NoTargetReached = *rc::gen::arbitrary<bool>();
    const Duration Elapsed = Duration(1ms) * *rc::gen::inRange(55000, 61000);
    const std::size_t Budgets = Entry.m_Callers.size();
    const bool May = mayTryAgain(Entry, Request, Facts, at(Elapsed));
    RC_ASSERT(Entry.m_Callers.size() == Budgets);
    const auto Decision = decide(Entry, Request, Facts, at(Elapsed), Rng);
    RC_ASSERT(!May || !std::holds_alternative<GiveUp>(Decision));
  }));
}
