// What entries hear of each other's work.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::fleet;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(100s);

void addRow(wire::WorkNotice &To, const std::string &Target,
            std::uint32_t Requests, const std::vector<std::uint64_t> &Tokens) {
  wire::TargetWork &Row = *To.add_work();
  Row.set_target(Target);
  Row.set_requests(Requests);
  for (const std::uint64_t Each : Tokens)
    Row.add_prompt_tokens(Each);
}

wire::WorkNotice notice(const std::string &Target, std::uint32_t Requests,
                        const std::vector<std::uint64_t> &Tokens) {
  wire::WorkNotice Made;
  addRow(Made, Target, Requests, Tokens);
  return Made;
}

} // namespace

SCENARIO("entries hear of each other's work, not of their own") {
  SharedWork On;
  GIVEN("two entries that use one engine") {
    takeWork(On, {"a"}, notice("e", 2, {100, 0, 7}), Start);
    takeWork(On, {"b"}, notice("e", 3, {50}), Start);
    THEN("each is told what the other has, by priority") {
      const wire::OthersWork Told = takeWorkBeside(On, {"b"});
      REQUIRE(Told.work_size() == 1);
      CHECK(Told.work(0).requests() == 2);
      CHECK(Told.work(0).prompt_tokens(0) == 100);
      CHECK(Told.work(0).prompt_tokens(2) == 7);
    }
    THEN("one that has told nothing yet hears of both") {
      const wire::OthersWork Told = takeWorkBeside(On, {"c"});
      REQUIRE(Told.work_size() == 1);
      CHECK(Told.work(0).requests() == 5);
      CHECK(Told.work(0).prompt_tokens(0) == 150);
    }
    WHEN("one has ended all of it") {
      takeWork(On, {"a"}, {}, Start + 200ms);
      THEN("the other hears of none") {
        CHECK(takeWorkBeside(On, {"b"}).work().empty());
      }
    }
    WHEN("one falls silent") {
      takeWork(On, {"b"}, notice("e", 3, {50}), Start + 1001ms);
      THEN("its work counts no longer") {
        CHECK(takeWorkBeside(On, {"b"}).work().empty());
      }
    }
  }
}

SCENARIO("entries hear once which prefixes others have left at engines") {
  SharedWork On;
  takeWork(On, {"a"}, {}, Start);
  takeWork(On, {"b"}, {}, Start);
  wire::WorkNotice Told;
  wire::KeptPrefix &Kept = *Told.add_kept();
  Kept.set_target("e");
  Kept.set_prefix(77);
  Kept.set_blocks(13);
  takeWork(On, {"a"}, Told, Start + 100ms);
  THEN("the one that told it does not hear it back") {
    CHECK(takeWorkBeside(On, {"a"}).kept().empty());
  }
  THEN("another hears it, also after a notice of its own, and only once") {
    takeWork(On, {"b"}, {}, Start + 200ms);
    const wire::OthersWork Got = takeWorkBeside(On, {"b"});
    REQUIRE(Got.kept_size() == 1);
    CHECK(Got.kept(0).prefix() == 77);
    CHECK(Got.kept(0).blocks() == 13);
    CHECK(takeWorkBeside(On, {"b"}).kept().empty());
  }
  THEN("what waits for a slow one is bounded, the newest kept") {
    for (std::uint32_t I = 0; I < 1000; ++I) {
      Told.mutable_kept(0)->set_prefix(I);
      takeWork(On, {"a"}, Told, Start + 300ms);
    }
    const wire::OthersWork Got = takeWorkBeside(On, {"b"});
    REQUIRE(Got.kept_size() == 256);
    CHECK(Got.kept(255).prefix() == 999);
  }
}

TEST_CASE("the sums are those of the newest notices") {
  rc::check([] {
    SharedWork On;
    std::map<NodeId, wire::WorkNotice> Newest;
    const int Steps = *rc::gen::inRange(1, 30);
    for (int I = 0; I < Steps; ++I) {
      const NodeId Entry{std::to_string(*rc::gen::inRange(0, 4))};
      wire::WorkNotice Next;
      for (int Target = 0; Target < 3; ++Target)
        addRow(Next, std::to_string(Target),
               *rc::gen::inRange<std::uint32_t>(0, 5),
               *rc::gen::container<std::vector<std::uint64_t>>(
                   rc::gen::inRange<std::uint64_t>(0, 1000)));
      takeWork(On, Entry, Next, Start);
      Newest[Entry] = Next;
    }
    const NodeId Asking{"0"};
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> Expected;
    for (const auto &[Entry, Told] : Newest)
      for (const wire::TargetWork &Row : Told.work()) {
        if (Entry == Asking)
          continue;
        Expected[Row.target()].first += Row.requests();
        for (const std::uint64_t Tokens : Row.prompt_tokens())
          Expected[Row.target()].second += Tokens;
      }
    std::erase_if(Expected, [](const auto &Each) {
      return Each.second == std::pair<std::uint64_t, std::uint64_t>{};
    });
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> Got;
    const wire::OthersWork Beside = takeWorkBeside(On, Asking);
    for (const wire::TargetWork &Row : Beside.work()) {
      Got[Row.target()].first = Row.requests();
      for (const std::uint64_t Tokens : Row.prompt_tokens())
        Got[Row.target()].second += Tokens;
    }
    RC_ASSERT(Got == Expected);
  });
}
