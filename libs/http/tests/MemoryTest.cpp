#include "MemoryCost.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace std::chrono_literals;
using http::MemoryBudget;
using http::MemoryPart;

SCENARIO("a budget of memory keeps its parts apart") {
  const http::MemoryShares Shares =
      http::sharesOf(120U << 20U, 3'075, 4U << 20U);
  MemoryBudget Budget(Shares);
  const auto Most = [&](MemoryPart Of) {
    return Shares.m_Most[static_cast<std::size_t>(Of)];
  };
  GIVEN("the smallest machine in view") {
    THEN("all parts together are about half of its memory") {
      std::size_t Sum = 0;
      for (const std::size_t Part : Shares.m_Most)
        Sum += Part;
      CHECK(Sum <= 64U << 20U);
    }
    THEN("a single request inside the limits fits") {
      constexpr std::size_t Body = 4U << 20U;
      CHECK(Budget.claimOneBody(&Budget));
      CHECK(Budget.take(MemoryPart::Bodies, http::MemoryCost::BodyFactor * Body,
                        &Budget));
      http::HeadScan Head;
      std::string Fields = "POST / HTTP/1.1\r\n";
      while (Fields.size() < (16U << 10U) - 8)
        Fields += "a: b\r\n";
      CHECK(Budget.take(MemoryPart::Requests, Head.scan(Fields + "\r\n")));
      CHECK(Head.isDone());
    }
  }
  GIVEN("a part that is full") {
    REQUIRE(Budget.take(MemoryPart::Requests, Most(MemoryPart::Requests)));
    THEN("it lends no more, and the others do") {
      CHECK_FALSE(Budget.take(MemoryPart::Requests, 1));
      CHECK(Budget.take(MemoryPart::Answers, 1));
      CHECK_FALSE(Budget.isOver(MemoryPart::Requests));
    }
    THEN("what is charged all the same counts") {
      Budget.charge(MemoryPart::Requests, 2);
      CHECK(Budget.isOver(MemoryPart::Requests));
      Budget.give(MemoryPart::Requests, 2);
      CHECK_FALSE(Budget.isOver(MemoryPart::Requests));
    }
  }
  GIVEN("long bodies that hold all but the part for one") {
    const std::size_t Common = Most(MemoryPart::Bodies) - Shares.m_OneBody;
    REQUIRE(Budget.take(MemoryPart::Bodies, Common));
    CHECK_FALSE(Budget.take(MemoryPart::Bodies, 1));
    THEN("one of them can become whole, and then the next") {
      const int First = 1;
      const int Second = 2;
      CHECK(Budget.claimOneBody(&First));
      CHECK_FALSE(Budget.claimOneBody(&Second));
      CHECK(Budget.take(MemoryPart::Bodies, Shares.m_OneBody, &First));
      CHECK_FALSE(Budget.take(MemoryPart::Bodies, 1, &Second));
      Budget.releaseOneBody(&First);
      Budget.give(MemoryPart::Bodies, Shares.m_OneBody);
      CHECK(Budget.claimOneBody(&Second));
      CHECK(Budget.take(MemoryPart::Bodies, 1, &Second));
    }
  }
  GIVEN("many refusals") {
    const TimePoint Now{5s};
    CHECK_FALSE(Budget.takeLogTurn(Now));
    for (int I = 0; I < 100; ++I)
      Budget.noteRefusal(http::MemoryRefusal::SlowRequest);
    THEN("they are counted, and one line a second tells of them") {
      CHECK(Budget.refusals(http::MemoryRefusal::SlowRequest) == 100);
      CHECK(Budget.takeLogTurn(Now));
      Budget.noteRefusal(http::MemoryRefusal::SlowRequest);
      CHECK_FALSE(Budget.takeLogTurn(Now + 999ms));
      CHECK(Budget.takeLogTurn(Now + 1s));
      CHECK_FALSE(Budget.takeLogTurn(Now + 9s));
    }
  }
}

SCENARIO("the end of a head is found in pieces of any size") {
  const std::string Head = "GET / HTTP/1.1\r\nHost: any\r\n\r\n";
  for (std::size_t Cut = 0; Cut <= Head.size(); ++Cut) {
    http::HeadScan Scan;
    const std::size_t Cost =
        Scan.scan(Head.substr(0, Cut)) + Scan.scan(Head.substr(Cut));
    CHECK(Scan.isDone());
    CHECK(Cost == Head.size() * http::MemoryCost::HeadFactor +
                      3 * http::MemoryCost::Line);
  }
  http::HeadScan Scan;
  Scan.scan("\r\n" + Head.substr(0, Head.size() - 1));
  CHECK_FALSE(Scan.isDone());
  CHECK(Scan.scan("\nx") == http::MemoryCost::HeadFactor +
                                http::MemoryCost::Line +
                                http::MemoryCost::Read);
}

SCENARIO("clients that are slow make room, and others do not") {
  const TimePoint Now{100s};
  http::Candidate Who;
  GIVEN("a short request") {
    Who.m_Since = Now - 499ms;
    CHECK_FALSE(mayGoForOthers(Who, MemoryPart::Requests, Now));
    Who.m_Since = Now - 500ms;
    CHECK(mayGoForOthers(Who, MemoryPart::Requests, Now));
    CHECK_FALSE(mayGoForOthers(Who, MemoryPart::Bodies, Now));
    // Waiting counts against heads only.
    Who.m_Waited = 1ms;
    CHECK(mayGoForOthers(Who, MemoryPart::Requests, Now));
    Who.m_HasHead = true;
    CHECK_FALSE(mayGoForOthers(Who, MemoryPart::Requests, Now));
  }
  GIVEN("a long body") {
    Who.m_HoldsBody = true;
    Who.m_Since = Now - 4s;
    WHEN("it comes fast enough") {
      Who.m_Received = 1U << 20U;
      CHECK_FALSE(mayGoForOthers(Who, MemoryPart::Bodies, Now));
    }
    WHEN("it comes slowly") {
      Who.m_Received = 100U << 10U;
      CHECK(mayGoForOthers(Who, MemoryPart::Bodies, Now));
      AND_WHEN("that is because we did not read") {
        Who.m_Waited = 3s;
        CHECK_FALSE(mayGoForOthers(Who, MemoryPart::Bodies, Now));
      }
      AND_WHEN("we don't read now") {
        Who.m_IsWaiting = true;
        CHECK_FALSE(mayGoForOthers(Who, MemoryPart::Bodies, Now));
      }
    }
  }
}
