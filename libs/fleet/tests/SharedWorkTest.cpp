// Distribution of the entries' work to the other entries.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace wasabivale;
using namespace wasabivale::fleet;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(100s);

void addRow(wire::WorkNotice &Notice, const std::string &Target,
            std::uint32_t Requests, const std::vector<std::uint64_t> &Tokens) {
  wire::TargetWork &Row = *Notice.add_work();
  Row.set_target(Target);
  Row.set_requests(Requests);
  for (const std::uint64_t Count : Tokens)
    Row.add_prompt_tokens(Count);
}

wire::WorkNotice notice(const std::string &Target, std::uint32_t Requests,
                        const std::vector<std::uint64_t> &Tokens) {
  wire::WorkNotice Notice;
  addRow(Notice, Target, Requests, Tokens);
  return Notice;
}

} // namespace

SCENARIO("entries receive the work of other entries, not their own") {
  SharedWork Work;
  GIVEN("two entries that use one engine") {
    recordWork(Work, {"a"}, notice("e", 2, {100, 0, 7}), Start);
    recordWork(Work, {"b"}, notice("e", 3, {50}), Start);
    THEN("each receives the work of the other by priority") {
      const wire::OthersWork Others = takeOthersWork(Work, {"b"});
      REQUIRE(Others.work_size() == 1);
      CHECK(Others.work(0).requests() == 2);
      CHECK(Others.work(0).prompt_tokens(0) == 100);
      CHECK(Others.work(0).prompt_tokens(2) == 7);
    }
    THEN("an entry that has sent no notice receives the work of both") {
      const wire::OthersWork Others = takeOthersWork(Work, {"c"});
      REQUIRE(Others.work_size() == 1);
      CHECK(Others.work(0).requests() == 5);
      CHECK(Others.work(0).prompt_tokens(0) == 150);
    }
    WHEN("one reports that all its work has ended") {
      recordWork(Work, {"a"}, {}, Start + 200ms);
      THEN("the other receives no work") {
        CHECK(takeOthersWork(Work, {"b"}).work().empty());
      }
    }
    WHEN("one stops sending notices") {
      recordWork(Work, {"b"}, notice("e", 3, {50}), Start + 1001ms);
      THEN("its work is dropped") {
        CHECK(takeOthersWork(Work, {"b"}).work().empty());
      }
    }
  }
}

SCENARIO("entries receive once which prefixes others have left at engines") {
  SharedWork Work;
  recordWork(Work, {"a"}, {}, Start);
  recordWork(Work, {"b"}, {}, Start);
  wire::WorkNotice Notice;
  wire::KeptPrefix &Prefix = *Notice.add_kept();
  Prefix.set_target("e");
  Prefix.set_prefix(77);
  Prefix.set_blocks(13);
  recordWork(Work, {"a"}, Notice, Start + 100ms);
  THEN("the reporting entry does not receive its own prefix") {
    CHECK(takeOthersWork(Work, {"a"}).kept().empty());
  }
  THEN("another entry receives it once, also after a notice of its own") {
    recordWork(Work, {"b"}, {}, Start + 200ms);
    const wire::OthersWork Others = takeOthersWork(Work, {"b"});
    REQUIRE(Others.kept_size() == 1);
    CHECK(Others.kept(0).prefix() == 77);
    CHECK(Others.kept(0).blocks() == 13);
    CHECK(takeOthersWork(Work, {"b"}).kept().empty());
  }
  THEN("pending prefixes of a slow entry are bounded and the newest are kept") {
    for (std::uint32_t I = 0; I < 1000; ++I) {
      Notice.mutable_kept(0)->set_prefix(I);
      recordWork(Work, {"a"}, Notice, Start + 300ms);
    }
    const wire::OthersWork Others = takeOthersWork(Work, {"b"});
    REQUIRE(Others.kept_size() == 256);
    CHECK(Others.kept(255).prefix() == 999);
  }
}

SCENARIO("entries that number their notices receive a digest of all work") {
  SharedWork Work = newSharedWork(3);
  const auto Exchange = [&](const std::string &Entry, wire::WorkNotice Notice,
                            std::uint64_t Number, TimePoint Now) {
    Notice.set_number(Number);
    recordWork(Work, {Entry}, Notice, Now);
    return workDigest(Work, {Entry}, Notice, Now);
  };
  const auto RequestsAt = [](const wire::WorkDigest &Digest,
                             const std::string &Target) {
    const auto Rows = workdigest::decodeRows(Digest.rows());
    REQUIRE_FALSE(failed(Rows));
    const auto Found = valueOf(Rows).find(workdigest::targetKey({Target}));
    return Found == valueOf(Rows).end() ? 0 : Found->second.m_Requests;
  };
  GIVEN("300 entries that report within one interval of digests") {
    std::set<std::pair<std::uint64_t, std::string>> Answers;
    for (int I = 0; I < 300; ++I) {
      const auto Digest =
          Exchange(std::to_string(I), notice("e", 1, {64}), 1, Start);
      Answers.emplace(Digest.number(), Digest.rows());
    }
    THEN("all of them are answered by one digest") {
      CHECK(Answers.size() == 1);
    }
    THEN("the next digest has all, and says which notice it includes") {
      const auto Digest = Exchange("7", notice("e", 5, {}), 2, Start + 60ms);
      CHECK(RequestsAt(Digest, "e") == 304);
      CHECK(Digest.included_notice() == 2);
    }
    THEN("an entry that reports again within the interval learns that its "
         "report is not included yet") {
      const auto Digest = Exchange("0", notice("e", 5, {}), 2, Start + 10ms);
      CHECK(Digest.included_notice() == 1);
      CHECK(RequestsAt(Digest, "e") == 1);
    }
  }
  GIVEN("an entry whose notices come a second and a half apart") {
    Exchange("a", notice("e", 1, {}), 1, Start);
    Exchange("a", notice("e", 1, {}), 2, Start + 1500ms);
    THEN("its work counts until it has missed several of them") {
      CHECK(RequestsAt(Exchange("b", {}, 1, Start + 3500ms), "e") == 1);
      CHECK(RequestsAt(Exchange("b", {}, 2, Start + 7s), "e") == 0);
    }
  }
  GIVEN("a digest of the leader before") {
    const auto Former = Exchange("a", {}, 1, Start);
    THEN("those of the next leader are newer, and include nothing old") {
      Work = newSharedWork(4);
      wire::WorkNotice Notice;
      Notice.set_number(9);
      const auto Digest = workDigest(Work, {"a"}, Notice, Start + 1s);
      CHECK(Digest.number() > Former.number());
      CHECK(Digest.included_notice() == 0);
    }
  }
  GIVEN("a prefix that two entries report") {
    wire::WorkNotice Notice;
    wire::KeptPrefix &Prefix = *Notice.add_kept();
    Prefix.set_target("e");
    Prefix.set_prefix(77);
    Prefix.set_blocks(13);
    const auto First = Exchange("a", Notice, 1, Start);
    Exchange("b", Notice, 1, Start);
    wire::WorkNotice Next;
    Next.set_last_digest(First.number() - 1);
    THEN("a third entry learns it once") {
      const auto Digest = Exchange("c", Next, 1, Start + 100ms);
      const auto Kept = workdigest::decodePrefixes(Digest.kept());
      REQUIRE_FALSE(failed(Kept));
      REQUIRE(valueOf(Kept).size() == 1);
      CHECK(valueOf(Kept)[0].m_Hash == 77);
      Next.set_last_digest(Digest.number());
      CHECK(Exchange("c", Next, 2, Start + 200ms).kept().empty());
    }
  }
}

TEST_CASE("the sums match the newest notices") {
  CHECK(rc::check([] {
    SharedWork Work;
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
      recordWork(Work, Entry, Next, Start);
      Newest[Entry] = Next;
    }
    const NodeId Requester{"0"};
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> Expected;
    for (const auto &[Entry, Notice] : Newest)
      for (const wire::TargetWork &Row : Notice.work()) {
        if (Entry == Requester)
          continue;
        Expected[Row.target()].first += Row.requests();
        for (const std::uint64_t Tokens : Row.prompt_tokens())
          Expected[Row.target()].second += Tokens;
      }
    std::erase_if(Expected, [](const auto &Item) {
      return Item.second == std::pair<std::uint64_t, std::uint64_t>{};
    });
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> Actual;
    const wire::OthersWork Others = takeOthersWork(Work, Requester);
    for (const wire::TargetWork &Row : Others.work()) {
      Actual[Row.target()].first = Row.requests();
      for (const std::uint64_t Tokens : Row.prompt_tokens())
        Actual[Row.target()].second += Tokens;
    }
    RC_ASSERT(Actual == Expected);
  }));
}
