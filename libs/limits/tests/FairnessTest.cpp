#include "Fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::limits;
using namespace wasabivale::limits::test;

namespace {

/// Queues \p Count requests and records their owner.
void queue(State &Entry, std::map<Ticket, int> &Owners, int CallerNumber,
           int Count, unsigned Priority, TimePoint Now) {
  for (int I = 0; I < Count; ++I) {
    const Decision Result =
        admit(Entry, arrival(CallerNumber, NoFreeSlots, Priority), Now);
    REQUIRE_FALSE(refusalOf(Result));
    Owners[ticketOf(Result)] = CallerNumber;
  }
}

/// Starts and ends \p Count requests one by one. \returns starts by caller.
std::map<int, int> serve(State &Entry, const std::map<Ticket, int> &Owners,
                         int Count, TimePoint Now) {
  std::map<int, int> Served;
  for (int I = 0; I < Count; ++I) {
    const std::optional<Ticket> Next =
        nextToStart(Entry, Now, constantCapacity({1, 8}));
    if (!Next)
      break;
    ++Served[Owners.at(*Next)];
    finish(Entry, *Next, {100, 50, true}, Now + 1s);
    verify(Entry);
  }
  return Served;
}

} // namespace

SCENARIO("waiting callers are served by weight") {
  State Entry = entryOf(3);
  setShare(Entry, caller(2), 2, {}, TimePoint::max(), at(0s));
  std::map<Ticket, int> Owners;
  for (int I = 0; I < 3; ++I)
    queue(Entry, Owners, I, 100, 5, at(0s));
  const auto Served = serve(Entry, Owners, 80, at(0s));
  CHECK(Served.at(0) == Approx(20).margin(1));
  CHECK(Served.at(1) == Approx(20).margin(1));
  CHECK(Served.at(2) == Approx(40).margin(1));
}

SCENARIO("long requests do not starve short ones of other callers") {
  State Entry = entryOf(2);
  std::map<Ticket, int> Owners;
  for (int I = 0; I < 20; ++I) {
    AdmissionRequest Long = arrival(0, NoFreeSlots);
    Long.m_ServiceTime = 10s;
    Owners[ticketOf(admit(Entry, Long, at(0s)))] = 0;
  }
  queue(Entry, Owners, 1, 40, 5, at(0s));
  const auto Served = serve(Entry, Owners, 33, at(0s));
  CHECK(Served.at(0) <= 4);
  CHECK(Served.at(1) >= 29);
}

SCENARIO("priority gives a lead of at most its credit") {
  State Entry = entryOf(2);
  std::map<Ticket, int> Owners;
  GIVEN("requests of one caller") {
    queue(Entry, Owners, 0, 1, 0, at(0s));
    const Ticket Overnight = Owners.begin()->first;
    queue(Entry, Owners, 0, 3, 9, at(1s));
    THEN("urgent requests start first") {
      for (int I = 0; I < 3; ++I)
        CHECK_FALSE(nextToStart(Entry, at(1s),
                                constantCapacity(AllSlotsFree)) == Overnight);
    }
    THEN("age outweighs priority after the aging step times the difference") {
      queue(Entry, Owners, 0, 3, 9,
            at(0s) + 9 * Entry.m_Settings.m_AgingStep + 1s);
      std::vector<Ticket> Order;
      while (auto Next =
                 nextToStart(Entry, at(20s), constantCapacity(AllSlotsFree)))
        Order.push_back(*Next);
      REQUIRE(Order.size() == 7);
      CHECK(Order[3] == Overnight);
    }
  }
  GIVEN("a caller that marks everything urgent") {
    queue(Entry, Owners, 0, 100, 9, at(0s));
    queue(Entry, Owners, 1, 100, 0, at(0s));
    THEN("its lead over the other caller is the credit of nine steps") {
      const auto Served = serve(Entry, Owners, 100, at(0s));
      const double Lead = 9 * 0.5; // Credits of 500 ms, requests of 1 s.
      CHECK(Served.at(0) - Served.at(1) <= Lead + 2);
      CHECK(Served.at(0) - Served.at(1) >= Lead - 2);
    }
  }
}

SCENARIO("a caller is started within the starvation bound") {
  State Entry = entryOf(2);
  setShare(Entry, caller(0), 1000, {}, TimePoint::max(), at(0s));
  std::map<Ticket, int> Owners;
  queue(Entry, Owners, 0, 200, 9, at(0s));
  queue(Entry, Owners, 1, 1, 0, at(0s));
  const Duration Bound = Entry.m_Settings.m_StarvationBound;
  // Weight and priority keep the first caller ahead until the bound.
  CHECK(serve(Entry, Owners, 50, at(Bound - 1s)).count(1) == 0);
  CHECK(serve(Entry, Owners, 2, at(Bound)).at(1) == 1);
}

SCENARIO("a full queue evicts requests of callers over their share") {
  State Entry = entryOf(3);
  Entry.m_Settings.m_MaxQueued = 12;
  std::map<Ticket, int> Owners;
  queue(Entry, Owners, 0, 12, 9, at(0s));
  WHEN("callers under their share send requests") {
    std::size_t Evicted = 0;
    for (int I = 0; I < 4; ++I) {
      for (int CallerNumber : {1, 2}) {
        const Decision Result =
            admit(Entry, arrival(CallerNumber, NoFreeSlots, 0), at(0s));
        CHECK_FALSE(refusalOf(Result));
        for (const RefusedTicket &Refused : Result.m_Evicted) {
          CHECK(Owners.at(Refused.m_Ticket) == 0);
          CHECK(Refused.m_Refused.m_Reason == Refusal::OverFairShare);
        }
        Evicted += Result.m_Evicted.size();
        Owners[ticketOf(Result)] = CallerNumber;
        verify(Entry);
      }
    }
    THEN("each caller has a third, and only the first lost requests") {
      CHECK(Evicted == 8);
      CHECK(refusalOf(admit(Entry, arrival(1, NoFreeSlots), at(0s))) ==
            Refusal::OverFairShare);
    }
  }
  WHEN("the caller over its share sends another request") {
    THEN("that request is refused") {
      CHECK(refusalOf(admit(Entry, arrival(0, NoFreeSlots), at(0s))) ==
            Refusal::OverFairShare);
    }
  }
}

TEST_CASE("no caller over its fair share takes a reserved slot") {
  CHECK(rc::check([] {
    constexpr std::uint32_t Slots = 40;
    State Entry = entryOf(2);
    Entry.m_Settings.m_ReservedFraction = 0.1;
    const auto Reserve =
        static_cast<std::uint32_t>(Entry.m_Settings.m_ReservedFraction * Slots);
    const auto Available = [&] {
      return Capacity{Slots - static_cast<std::uint32_t>(Entry.m_RunningCount),
                      Slots};
    };
    // The small caller has demand, so the greedy one is over its fair share.
    const Decision First = admit(Entry, arrival(1, Available()), at(0s));
    const int Greedy = *rc::gen::inRange(40, 200);
    for (int Count = 0; Count < Greedy; ++Count)
      admit(Entry, arrival(0, Available()), at(0s));
    while (nextToStart(Entry, at(0s), constantCapacity(Available()))) {
    }
    RC_ASSERT(std::holds_alternative<Admitted>(First.m_Verdict));
    RC_ASSERT(Available().m_FreeSlots == Reserve);
    // The small caller gets the reserved slots ahead of the queue.
    for (std::uint32_t Count = 0; Count < Reserve; ++Count) {
      const Decision Result = admit(Entry, arrival(1, Available()), at(1s));
      const auto Next =
          nextToStart(Entry, at(1s), constantCapacity(Available()));
      RC_ASSERT(Next == ticketOf(Result));
    }
    verify(Entry);
  }));
}

TEST_CASE("a caller's requests start in order of their latest start") {
  State Entry = entryOf(1);
  AdmissionRequest Long = arrival(0, NoFreeSlots);
  Long.m_Deadline = at(60s);
  AdmissionRequest Short = Long;
  Short.m_Deadline = at(6s);
  AdmissionRequest Distant = Long;
  Distant.m_Deadline = at(24h);
  const Ticket First = ticketOf(admit(Entry, Distant, at(0s)));
  const Ticket Second = ticketOf(admit(Entry, Long, at(1s)));
  const Ticket Third = ticketOf(admit(Entry, Short, at(2s)));
  CHECK(nextToStart(Entry, at(3s), constantCapacity(AllSlotsFree)) == Third);
  // No rank is later than the starvation bound.
  CHECK(nextToStart(Entry, at(3s), constantCapacity(AllSlotsFree)) == First);
  CHECK(nextToStart(Entry, at(3s), constantCapacity(AllSlotsFree)) == Second);
}
