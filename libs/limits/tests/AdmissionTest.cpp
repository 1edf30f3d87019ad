#include "Fixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::limits;
using namespace wasabivale::limits::test;

SCENARIO("a request is refused for the first reason that applies") {
  struct Row {
    const char *m_Name;
    Limits m_Share;
    Duration m_LeaseRemaining;
    Duration m_TimeToDeadline;
    Capacity m_Available;
    int m_RunningCount; ///< Requests of the caller that are already running.
    std::optional<Refusal> m_Expected;
  };
  const Row Rows[] = {
      {"free slot and enough time",
       {},
       10s,
       10s,
       AllSlotsFree,
       0,
       std::nullopt},
      {"expired share", {}, 0s, 10s, AllSlotsFree, 0, Refusal::NoConfiguration},
      {"deadline passed",
       {},
       10s,
       0s,
       AllSlotsFree,
       0,
       Refusal::DeadlinePassed},
      {"service time exceeds the deadline",
       {},
       10s,
       900ms,
       AllSlotsFree,
       0,
       Refusal::CannotMeetDeadline},
      {"wait and service time exceed the deadline",
       {},
       10s,
       1100ms,
       NoFreeSlots,
       0,
       Refusal::CannotMeetDeadline},
      {"wait and service time meet the deadline",
       {},
       10s,
       10s,
       NoFreeSlots,
       0,
       std::nullopt},
      {"no target", {}, 10s, 10s, {0, 0}, 0, Refusal::NoTarget},
      {"request rate",
       {1, NoLimit, NoLimit, NoLimit},
       10s,
       10s,
       AllSlotsFree,
       2,
       Refusal::RateLimited},
      {"prompt tokens",
       {NoLimit, 100, NoLimit, NoLimit},
       10s,
       10s,
       AllSlotsFree,
       2,
       Refusal::PromptTokensLimited},
      {"output tokens",
       {NoLimit, NoLimit, 50, NoLimit},
       10s,
       10s,
       AllSlotsFree,
       2,
       Refusal::OutputTokensLimited},
      {"request rate of zero",
       {0, NoLimit, NoLimit, NoLimit},
       10s,
       10s,
       AllSlotsFree,
       0,
       Refusal::RateLimited},
      {"concurrency",
       {NoLimit, NoLimit, NoLimit, 2},
       10s,
       10s,
       AllSlotsFree,
       4,
       Refusal::ConcurrencyLimited},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    State Entry = entryOf(1, Case.m_Share);
    for (int I = 0; I < Case.m_RunningCount; ++I)
      CHECK_FALSE(refusalOf(admit(Entry, arrival(0, AllSlotsFree), at(0s))));
    setShare(Entry, caller(0), 1, Case.m_Share, at(Case.m_LeaseRemaining),
             at(0s));
    AdmissionRequest Request = arrival(0, Case.m_Available);
    Request.m_Deadline = at(Case.m_TimeToDeadline);
    const Decision Result = admit(Entry, Request, at(0s));
    CHECK(refusalOf(Result) == Case.m_Expected);
    if (Case.m_Expected && refusalInfo(*Case.m_Expected).m_RetryHelps)
      CHECK(std::get<Refused>(Result.m_Verdict).m_RetryAfter > 0s);
    verify(Entry);
  }
  State Entry = entryOf(1);
  CHECK(refusalOf(admit(Entry, arrival(7, AllSlotsFree), at(0s))) ==
        Refusal::UnknownKey);
}

SCENARIO("Retry-After is the time until the rate limit allows the request") {
  State Entry = entryOf(1, {2, NoLimit, NoLimit, NoLimit});
  std::vector<Ticket> Started;
  Started.reserve(4);
  for (int I = 0; I < 4; ++I)
    Started.push_back(ticketOf(admit(Entry, arrival(0, AllSlotsFree), at(0s))));
  const Decision Result = admit(Entry, arrival(0, AllSlotsFree), at(0s));
  REQUIRE(refusalOf(Result) == Refusal::RateLimited);
  const Duration RetryAfter = std::get<Refused>(Result.m_Verdict).m_RetryAfter;
  CHECK(RetryAfter == 500ms);
  CHECK_FALSE(
      refusalOf(admit(Entry, arrival(0, AllSlotsFree), at(RetryAfter))));
  WHEN("a request did not run") {
    finish(Entry, Started[0], {0, 0, false}, at(RetryAfter));
    THEN("its charge is refunded") {
      CHECK_FALSE(
          refusalOf(admit(Entry, arrival(0, AllSlotsFree), at(RetryAfter))));
    }
  }
}

SCENARIO("a request larger than the burst delays the next one") {
  State Entry = entryOf(1, {NoLimit, 100, NoLimit, NoLimit});
  AdmissionRequest Long = arrival(0, AllSlotsFree);
  Long.m_PromptTokens = 1000;
  CHECK_FALSE(refusalOf(admit(Entry, Long, at(0s))));
  const Decision Next = admit(Entry, arrival(0, AllSlotsFree), at(0s));
  REQUIRE(refusalOf(Next) == Refusal::PromptTokensLimited);
  CHECK(std::get<Refused>(Next.m_Verdict).m_RetryAfter == 9s);
}

SCENARIO("the charge is corrected to the actual usage") {
  State Entry = entryOf(1, {NoLimit, NoLimit, 100, NoLimit});
  AdmissionRequest Request = arrival(0, AllSlotsFree);
  Request.m_OutputTokens = 200;
  const Ticket First = ticketOf(admit(Entry, Request, at(0s)));
  CHECK(refusalOf(admit(Entry, Request, at(0s))) ==
        Refusal::OutputTokensLimited);
  finish(Entry, First, {100, 0, true}, at(0s));
  CHECK_FALSE(refusalOf(admit(Entry, Request, at(0s))));
  const std::vector<Usage> Report = takeUsage(Entry);
  REQUIRE(Report.size() == 1);
  CHECK(Report[0].m_Requests == 1);
  CHECK(Report[0].m_OfferedRequests == 3);
  CHECK(Report[0].m_PeakRunning == 1);
}

SCENARIO("waiting requests that can no longer meet their deadline expire") {
  State Entry = entryOf(1);
  AdmissionRequest Request = arrival(0, NoFreeSlots);
  Request.m_Deadline = at(3s);
  const Ticket Id = ticketOf(admit(Entry, Request, at(0s)));
  CHECK(nextExpiry(Entry) == at(2s) + Duration(1));
  CHECK(expire(Entry, at(2s)).empty());
  const std::vector<RefusedTicket> Expired = expire(Entry, *nextExpiry(Entry));
  REQUIRE(Expired.size() == 1);
  CHECK(Expired[0].m_Ticket == Id);
  CHECK(Expired[0].m_Refused.m_Reason == Refusal::CannotMeetDeadline);
  CHECK_FALSE(nextToStart(Entry, at(2s), constantCapacity(AllSlotsFree)));
  CHECK_FALSE(nextExpiry(Entry));
  verify(Entry);
}

SCENARIO("a request above the concurrency share waits for a larger share") {
  State Entry = entryOf(1, {NoLimit, NoLimit, NoLimit, 0});
  CHECK(std::holds_alternative<Queued>(
      admit(Entry, arrival(0, AllSlotsFree), at(0s)).m_Verdict));
  CHECK(refusalOf(admit(Entry, arrival(0, AllSlotsFree), at(0s))) ==
        Refusal::ConcurrencyLimited);
  CHECK_FALSE(nextToStart(Entry, at(0s), constantCapacity(AllSlotsFree)));
  setShare(Entry, caller(0), 1, {NoLimit, NoLimit, NoLimit, 1}, at(10s),
           at(1s));
  CHECK(nextToStart(Entry, at(1s), constantCapacity(AllSlotsFree)));
  verify(Entry);
}

SCENARIO("no request starts after the lease has expired") {
  State Entry = entryOf(1);
  const Ticket Id = ticketOf(admit(Entry, arrival(0, NoFreeSlots), at(0s)));
  setShare(Entry, caller(0), 1, {}, at(5s), at(0s));
  CHECK_FALSE(nextToStart(Entry, at(5s), constantCapacity(AllSlotsFree)));
  WHEN("it is renewed") {
    setShare(Entry, caller(0), 1, {}, at(15s), at(6s));
    THEN("the request starts") {
      CHECK(nextToStart(Entry, at(6s), constantCapacity(AllSlotsFree)) == Id);
    }
  }
  WHEN("the caller is removed") {
    const auto Removed = removeCaller(Entry, caller(0), at(6s));
    THEN("its waiting request is refused") {
      REQUIRE(Removed.size() == 1);
      CHECK(Removed[0].m_Ticket == Id);
      CHECK(Entry.m_FreeCallers.size() == 1);
    }
  }
  verify(Entry);
}

SCENARIO("a rough estimate alone refuses no request") {
  State Entry = entryOf(1);
  GIVEN("requests that take four times as long as estimated") {
    TimePoint Now = at(0s);
    for (int I = 0; I < 100; ++I) {
      const Decision Started = admit(Entry, arrival(0, AllSlotsFree), Now);
      Now += 4s;
      finish(Entry, std::get<Admitted>(Started.m_Verdict).m_Ticket, {}, Now);
    }
    AdmissionRequest Long = arrival(0, AllSlotsFree);
    Long.m_ServiceTime = 3s;
    Long.m_Deadline = Now + 10s;
    THEN("one whose corrected estimate misses its deadline is refused") {
      CHECK(std::holds_alternative<Refused>(admit(Entry, Long, Now).m_Verdict));
    }
    THEN("it is admitted if the time that it takes at least is known to do") {
      Long.m_MinServiceTime = 1s;
      CHECK(
          std::holds_alternative<Admitted>(admit(Entry, Long, Now).m_Verdict));
    }
    THEN("it is refused if not even that does") {
      Long.m_MinServiceTime = 11s;
      CHECK(std::holds_alternative<Refused>(admit(Entry, Long, Now).m_Verdict));
    }
  }
}

SCENARIO("a request whose caller has part of the answer does not wait behind "
         "new ones") {
  State Entry = entryOf(2);
  const Ticket New = ticketOf(admit(Entry, arrival(0, NoFreeSlots), at(0s)));
  AdmissionRequest Rest = arrival(1, NoFreeSlots);
  Rest.m_IsContinued = true;
  const auto StartsNow = [&] {
    const Decision Decided = admit(Entry, Rest, at(1s));
    verify(Entry);
    return std::holds_alternative<Admitted>(Decided.m_Verdict);
  };
  GIVEN("no free slot") {
    THEN("as many start at once as half of the slots") {
      for (int I = 0; I < 4; ++I)
        CHECK(StartsNow());
      CHECK_FALSE(StartsNow());
    }
    THEN("the end of one makes room for another") {
      const Ticket First = ticketOf(admit(Entry, Rest, at(1s)));
      for (int I = 0; I < 3; ++I)
        CHECK(StartsNow());
      finish(Entry, First, {}, at(2s));
      CHECK(StartsNow());
      CHECK_FALSE(StartsNow());
    }
    THEN("the limits of its caller hold") {
      setShare(Entry, caller(1), 1, {NoLimit, NoLimit, NoLimit, 1},
               TimePoint::max(), at(1s));
      CHECK(StartsNow());
      CHECK_FALSE(StartsNow());
    }
  }
  GIVEN("less than two slots") {
    Rest.m_Capacity = {0, 0.9};
    CHECK(StartsNow());
    CHECK_FALSE(StartsNow());
  }
  CHECK(nextToStart(Entry, at(3s), constantCapacity(AllSlotsFree)));
  CHECK(Entry.m_Active.contains(New));
}
