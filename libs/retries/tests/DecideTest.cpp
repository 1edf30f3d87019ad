#include "retries/retries.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::retries;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Since) { return TimePoint(1000s) + Since; }

Attempt attempt(bool NotRepeatable = false) {
  Attempt Request;
  Request.m_Caller = {"carver"};
  Request.m_Target = {"engine-1"};
  Request.m_Deadline = at(60s);
  Request.m_NotRepeatable = NotRepeatable;
  return Request;
}

} // namespace

SCENARIO("what follows a failed try") {
  enum class Next { Retry, Resume, GiveUp };
  struct Row {
    const char *m_Name;
    bool m_NotRepeatable;
    bool m_RanBefore;
    Failure m_Facts;
    Next m_Next;
    Refusal m_Reason;
    Outcome m_Outcome;
  };
  using enum FailureKind;
  constexpr auto None = Refusal::TargetFailed;
  constexpr auto Unknown = Outcome::Unknown;
  constexpr auto NotRun = Outcome::NotRun;
  // Facts: kind, proven not run, sent, first byte passed, resumable, offset.
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
      {"full, not repeatable",
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
      {"broken before any byte left, not repeatable",
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
      {"the request is wrong",
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
    Request.m_MayHaveRun = Case.m_RanBefore;
    const RetryDecision Made =
        decide(Entry, Request, Case.m_Facts, at(0s), Rng);
    CHECK(static_cast<std::size_t>(Case.m_Next) == Made.index());
    if (const auto *End = std::get_if<GiveUp>(&Made)) {
      CHECK(End->m_Reason == Case.m_Reason);
      CHECK(End->m_Outcome == Case.m_Outcome);
    }
    if (const auto *Resume = std::get_if<ResumeAt>(&Made))
      CHECK(Resume->m_Offset == 17);
  }
}

SCENARIO("retries have a budget") {
  State Entry;
  Random Rng(2);
  const Failure Facts{FailureKind::Broken, false, true};
  const auto Retries = [&](const Attempt &Request) {
    return std::holds_alternative<RetryAt>(
        decide(Entry, Request, Facts, at(0s), Rng));
  };
  for (int I = 0; I < 10; ++I)
    CHECK(Retries(attempt()));
  GIVEN("a spent budget") {
    const RetryDecision Made = decide(Entry, attempt(), Facts, at(0s), Rng);
    CHECK(std::get<GiveUp>(Made).m_Reason == Refusal::RetryBudgetSpent);
    CHECK(std::get<GiveUp>(Made).m_Outcome == Outcome::Unknown);
    THEN("another target's does not help the same caller") {
      Attempt Other = attempt();
      Other.m_Target = {"engine-2"};
      CHECK_FALSE(Retries(Other));
    }
    THEN("another caller is held up by the target's only") {
      Attempt Other = attempt();
      Other.m_Caller = {"buyer"};
      CHECK_FALSE(Retries(Other));
      Other.m_Target = {"engine-2"};
      CHECK(Retries(Other));
    }
    THEN("five successes pay one more") {
      for (int I = 0; I < 5; ++I)
        recordSuccess(Entry, {"carver"}, {"engine-1"});
      CHECK(Retries(attempt()));
      CHECK_FALSE(Retries(attempt()));
    }
  }
}

SCENARIO("no retry is started that the deadline would cut") {
  State Entry;
  Random Rng(3);
  Attempt Request = attempt();
  Request.m_ServiceTime = 10s;
  Request.m_Deadline = at(9s);
  const Failure Facts{FailureKind::ConnectFailed, true, false};
  const auto Made = decide(Entry, Request, Facts, at(0s), Rng);
  CHECK(std::get<GiveUp>(Made).m_Reason == Refusal::CannotMeetDeadline);
  CHECK(std::get<GiveUp>(Made).m_Outcome == Outcome::NotRun);
  CHECK(std::get<GiveUp>(decide(Entry, Request, Facts, at(9s), Rng)).m_Reason ==
        Refusal::DeadlinePassed);
  CHECK(Entry.m_Callers.empty());
}

TEST_CASE("no attempt that may have run is repeated or called not run") {
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
    const Duration Spent = Duration(1ms) * *rc::gen::inRange(0, 61000);
    const bool Ran = Request.m_MayHaveRun || Facts.m_FirstBytePassed ||
                     (Facts.m_BytesSent && !Facts.m_NotRunProven);
    const auto Made = decide(Entry, Request, Facts, at(Spent), Rng);
    if (const auto *End = std::get_if<GiveUp>(&Made)) {
      RC_ASSERT((End->m_Outcome == Outcome::NotRun) == !Ran);
      return;
    }
    RC_ASSERT(!(Request.m_NotRepeatable && Ran));
    const auto *Retry = std::get_if<RetryAt>(&Made);
    RC_ASSERT((Retry != nullptr) == !Facts.m_FirstBytePassed);
    const TimePoint When = Retry != nullptr
                               ? Retry->m_StartTime
                               : std::get<ResumeAt>(Made).m_StartTime;
    RC_ASSERT(When >= at(Spent) && When <= Request.m_Deadline);
    RC_ASSERT(When <= at(Spent) + Entry.m_Settings.m_BackoffCap);
  }));
}
