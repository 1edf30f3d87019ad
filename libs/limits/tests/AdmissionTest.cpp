#include "Fixture.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::limits;
using namespace wasabivale::limits::test;

SCENARIO("a request is refused for the first reason that holds") {
  struct Row {
    const char *m_Name;
    Limits m_Share;
    Duration m_LeaseLeft;
    Duration m_DeadlineIn;
    Capacity m_Room;
    int m_Before; ///< Requests of the caller that run already.
    std::optional<Refusal> m_Expected;
  };
  const Row Rows[] = {
      {"room and time", {}, 10s, 10s, Roomy, 0, std::nullopt},
      {"lapsed share", {}, 0s, 10s, Roomy, 0, Refusal::NoConfiguration},
      {"deadline passed", {}, 10s, 0s, Roomy, 0, Refusal::DeadlinePassed},
      {"too slow by itself",
       {},
       10s,
       900ms,
       Roomy,
       0,
       Refusal::CannotMeetDeadline},
      {"too slow after its wait",
       {},
       10s,
       1100ms,
       FullHouse,
       0,
       Refusal::CannotMeetDeadline},
      {"in time after its wait", {}, 10s, 10s, FullHouse, 0, std::nullopt},
      {"no target", {}, 10s, 10s, {0, 0}, 0, Refusal::NoTarget},
      {"requests",
       {1, NoLimit, NoLimit, NoLimit},
       10s,
       10s,
       Roomy,
       2,
       Refusal::RateLimited},
      {"prompt tokens",
       {NoLimit, 100, NoLimit, NoLimit},
       10s,
       10s,
       Roomy,
       2,
       Refusal::PromptTokensLimited},
      {"output tokens",
       {NoLimit, NoLimit, 50, NoLimit},
       10s,
       10s,
       Roomy,
       2,
       Refusal::OutputTokensLimited},
      {"no rate at all",
       {0, NoLimit, NoLimit, NoLimit},
       10s,
       10s,
       Roomy,
       0,
       Refusal::RateLimited},
      {"concurrency",
       {NoLimit, NoLimit, NoLimit, 2},
       10s,
       10s,
       Roomy,
       4,
       Refusal::ConcurrencyLimited},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    State Entry = entryOf(1, Case.m_Share);
    for (int I = 0; I < Case.m_Before; ++I)
      CHECK_FALSE(refusalOf(admit(Entry, arrival(0, Roomy), at(0s))));
    setShare(Entry, caller(0), 1, Case.m_Share, at(Case.m_LeaseLeft), at(0s));
    AdmissionRequest Wanted = arrival(0, Case.m_Room);
    Wanted.m_Deadline = at(Case.m_DeadlineIn);
    const Decision Made = admit(Entry, Wanted, at(0s));
    CHECK(refusalOf(Made) == Case.m_Expected);
    if (Case.m_Expected && refusalInfo(*Case.m_Expected).m_RetryHelps)
      CHECK(std::get<Refused>(Made.m_Verdict).m_RetryAfter > 0s);
    verify(Entry);
  }
  State Entry = entryOf(1);
  CHECK(refusalOf(admit(Entry, arrival(7, Roomy), at(0s))) ==
        Refusal::UnknownKey);
}

SCENARIO("Retry-After tells when a rate allows the request") {
  State Entry = entryOf(1, {2, NoLimit, NoLimit, NoLimit});
  std::vector<Ticket> Started;
  Started.reserve(4);
  for (int I = 0; I < 4; ++I)
    Started.push_back(ticketOf(admit(Entry, arrival(0, Roomy), at(0s))));
  const Decision Made = admit(Entry, arrival(0, Roomy), at(0s));
  REQUIRE(refusalOf(Made) == Refusal::RateLimited);
  const Duration After = std::get<Refused>(Made.m_Verdict).m_RetryAfter;
  CHECK(After == 500ms);
  CHECK_FALSE(refusalOf(admit(Entry, arrival(0, Roomy), at(After))));
  WHEN("a request did not run") {
    finish(Entry, Started[0], {0, 0, false}, at(After));
    THEN("its budget is given back") {
      CHECK_FALSE(refusalOf(admit(Entry, arrival(0, Roomy), at(After))));
    }
  }
}

SCENARIO("a request larger than the burst is paid off afterwards") {
  State Entry = entryOf(1, {NoLimit, 100, NoLimit, NoLimit});
  AdmissionRequest Long = arrival(0, Roomy);
  Long.m_PromptTokens = 1000;
  CHECK_FALSE(refusalOf(admit(Entry, Long, at(0s))));
  const Decision Next = admit(Entry, arrival(0, Roomy), at(0s));
  REQUIRE(refusalOf(Next) == Refusal::PromptTokensLimited);
  CHECK(std::get<Refused>(Next.m_Verdict).m_RetryAfter == 9s);
}

SCENARIO("budgets are corrected by what was really used") {
  State Entry = entryOf(1, {NoLimit, NoLimit, 100, NoLimit});
  AdmissionRequest Wanted = arrival(0, Roomy);
  Wanted.m_OutputTokens = 200;
  const Ticket First = ticketOf(admit(Entry, Wanted, at(0s)));
  CHECK(refusalOf(admit(Entry, Wanted, at(0s))) ==
        Refusal::OutputTokensLimited);
  finish(Entry, First, {100, 0, true}, at(0s));
  CHECK_FALSE(refusalOf(admit(Entry, Wanted, at(0s))));
  const std::vector<Usage> Report = takeUsage(Entry);
  REQUIRE(Report.size() == 1);
  CHECK(Report[0].m_Requests == 1);
  CHECK(Report[0].m_OfferedRequests == 3);
  CHECK(Report[0].m_PeakRunning == 1);
}

SCENARIO("waiting requests that can no longer be in time are shed") {
  State Entry = entryOf(1);
  AdmissionRequest Wanted = arrival(0, FullHouse);
  Wanted.m_Deadline = at(3s);
  const Ticket Id = ticketOf(admit(Entry, Wanted, at(0s)));
  CHECK(nextExpiry(Entry) == at(2s) + Duration(1));
  CHECK(expire(Entry, at(2s)).empty());
  const std::vector<RefusedTicket> Late = expire(Entry, *nextExpiry(Entry));
  REQUIRE(Late.size() == 1);
  CHECK(Late[0].m_Ticket == Id);
  CHECK(Late[0].m_Refused.m_Reason == Refusal::CannotMeetDeadline);
  CHECK_FALSE(nextToStart(Entry, at(2s), always(Roomy)));
  CHECK_FALSE(nextExpiry(Entry));
  verify(Entry);
}

SCENARIO("a caller beyond its running share waits for a larger one") {
  State Entry = entryOf(1, {NoLimit, NoLimit, NoLimit, 0});
  CHECK(std::holds_alternative<Queued>(
      admit(Entry, arrival(0, Roomy), at(0s)).m_Verdict));
  CHECK(refusalOf(admit(Entry, arrival(0, Roomy), at(0s))) ==
        Refusal::ConcurrencyLimited);
  CHECK_FALSE(nextToStart(Entry, at(0s), always(Roomy)));
  setShare(Entry, caller(0), 1, {NoLimit, NoLimit, NoLimit, 1}, at(10s),
           at(1s));
  CHECK(nextToStart(Entry, at(1s), always(Roomy)));
  verify(Entry);
}

SCENARIO("a lapsed lease starts nothing more") {
  State Entry = entryOf(1);
  const Ticket Id = ticketOf(admit(Entry, arrival(0, FullHouse), at(0s)));
  setShare(Entry, caller(0), 1, {}, at(5s), at(0s));
  CHECK_FALSE(nextToStart(Entry, at(5s), always(Roomy)));
  WHEN("it is renewed") {
    setShare(Entry, caller(0), 1, {}, at(15s), at(6s));
    THEN("the request starts") {
      CHECK(nextToStart(Entry, at(6s), always(Roomy)) == Id);
    }
  }
  WHEN("the caller is removed") {
    const auto Gone = removeCaller(Entry, caller(0), at(6s));
    THEN("its waiting request is refused") {
      REQUIRE(Gone.size() == 1);
      CHECK(Gone[0].m_Ticket == Id);
      CHECK(Entry.m_FreeCallers.size() == 1);
    }
  }
  verify(Entry);
}
