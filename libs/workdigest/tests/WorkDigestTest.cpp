// Digests of the entries' work, from the notices of several entries to what one
// of them reads.

#include "workdigest/workdigest.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::workdigest;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(100s);

wire::WorkDigest digest(std::uint64_t Number, std::uint64_t Included,
                        const Rows &Sums) {
  wire::WorkDigest Result;
  Result.set_number(Number);
  Result.set_included_notice(Included);
  Result.set_rows(encodeRows(Sums));
  return Result;
}

rc::Gen<Rows> anyRows() {
  const auto Tokens = rc::gen::map(rc::gen::inRange(0, 400), [](int Units) {
    return static_cast<std::uint64_t>(Units) * TokenUnit;
  });
  return rc::gen::container<Rows>(
      rc::gen::inRange<TargetKey>(1, 400),
      rc::gen::apply(
          [](std::uint32_t Requests, std::vector<std::uint64_t> Levels) {
            while (!Levels.empty() && Levels.back() == 0)
              Levels.pop_back();
            return Row{Requests, std::move(Levels)};
          },
          rc::gen::inRange<std::uint32_t>(1, 70),
          rc::gen::container<std::vector<std::uint64_t>>(Tokens)));
}

Rows sum(const Rows &Left, const Rows &Right) {
  Rows Result = Left;
  for (const auto &[Target, Item] : Right) {
    Row &Sum = Result[Target];
    Sum.m_Requests += Item.m_Requests;
    Sum.m_PromptTokens.resize(
        std::max(Sum.m_PromptTokens.size(), Item.m_PromptTokens.size()));
    for (std::size_t I = 0; I < Item.m_PromptTokens.size(); ++I)
      Sum.m_PromptTokens[I] += Item.m_PromptTokens[I];
  }
  return Result;
}

} // namespace

SCENARIO("an entry reads the work of the others from a digest of all") {
  SentNotices Sent;
  GIVEN("a notice that the leader has included") {
    const std::uint64_t Number = recordNotice(Sent, {{7, {2, {640, 64}}}});
    THEN("its own part is subtracted") {
      const auto Others = othersWork(
          Sent, digest(1, Number, {{7, {5, {1280, 64}}}, {9, {1, {}}}}));
      REQUIRE_FALSE(failed(Others));
      CHECK(valueOf(Others).at(7).m_Requests == 3);
      CHECK(valueOf(Others).at(7).m_PromptTokens[0] == 640);
      CHECK(valueOf(Others).at(9).m_Requests == 1);
    }
    WHEN("it has sent a later one, which is not included yet") {
      recordNotice(Sent, {{7, {40, {}}}});
      THEN("the part of the included one is subtracted") {
        const auto Others =
            othersWork(Sent, digest(1, Number, {{7, {5, {1280}}}}));
        REQUIRE_FALSE(failed(Others));
        CHECK(valueOf(Others).at(7).m_Requests == 3);
      }
    }
    THEN("a digest without it is all of others") {
      const auto Others = othersWork(Sent, digest(1, 0, {{7, {5, {}}}}));
      REQUIRE_FALSE(failed(Others));
      CHECK(valueOf(Others).at(7).m_Requests == 5);
    }
  }
  GIVEN("notices that a former process of the same entry sent") {
    recordNotice(Sent, {});
    THEN("a digest that contains one of them is refused") {
      CHECK(failed(othersWork(Sent, digest(1, 57, {{7, {5, {}}}}))));
    }
  }
  GIVEN("a digest that was read") {
    REQUIRE_FALSE(failed(othersWork(Sent, digest(8, 0, {}))));
    THEN("an older one is refused") {
      CHECK(failed(othersWork(Sent, digest(7, 0, {}))));
    }
  }
  GIVEN("a leader that never includes what is reported") {
    for (int I = 0; I < 1000; ++I)
      recordNotice(Sent, {{7, {1, {}}}});
    THEN("the notices that are remembered are bounded") {
      CHECK(Sent.m_Recent.size() <= 16);
    }
  }
}

SCENARIO("malformed digests are refused") {
  SentNotices Sent;
  recordNotice(Sent, {{1, {1, {}}}});
  wire::WorkRows Message;
  Message.add_target(1);
  Message.add_requests(3);
  Message.add_levels(1);
  Message.add_prompt_units(2);
  REQUIRE_FALSE(failed(decodeRows(Message.SerializeAsString())));
  THEN("a row without requests") {
    Message.clear_requests();
    CHECK(failed(decodeRows(Message.SerializeAsString())));
  }
  THEN("a row without levels") {
    Message.clear_levels();
    CHECK(failed(decodeRows(Message.SerializeAsString())));
  }
  THEN("more levels than there are counts") {
    Message.set_levels(0, UINT32_MAX);
    CHECK(failed(decodeRows(Message.SerializeAsString())));
  }
  THEN("counts of no row") {
    Message.add_prompt_units(2);
    CHECK(failed(decodeRows(Message.SerializeAsString())));
  }
  THEN("a target twice") {
    Message.add_target(1);
    Message.add_requests(1);
    Message.add_levels(0);
    CHECK(failed(decodeRows(Message.SerializeAsString())));
  }
  THEN("more rows than a fleet has") {
    Message.Clear();
    for (int I = 0; I <= MaxRows; ++I) {
      Message.add_target(static_cast<TargetKey>(I));
      Message.add_requests(1);
      Message.add_levels(0);
    }
    CHECK(failed(decodeRows(Message.SerializeAsString())));
  }
  THEN("prefixes without blocks") {
    wire::KeptRows Kept;
    Kept.add_target(1);
    Kept.add_prefix(2);
    CHECK(failed(decodePrefixes(Kept.SerializeAsString())));
  }
  THEN("one changes nothing for the next") {
    wire::WorkDigest Bad;
    Bad.set_number(9);
    Bad.set_rows("\x0a");
    CHECK(failed(othersWork(Sent, Bad)));
    CHECK_FALSE(failed(othersWork(Sent, digest(1, 1, {{1, {1, {}}}}))));
  }
}

TEST_CASE("any bytes are decoded or refused") {
  CHECK(rc::check([](const std::string &Bytes) {
    (void)decodeRows(Bytes);
    (void)decodePrefixes(Bytes);
  }));
}

TEST_CASE("rows are decoded as they were encoded") {
  CHECK(rc::check([] {
    const Rows Work = *anyRows();
    const auto Decoded = decodeRows(encodeRows(Work));
    RC_ASSERT(!failed(Decoded));
    RC_ASSERT(valueOf(Decoded) == Work);
  }));
}

TEST_CASE("what an entry reads and what it reported make up the digest") {
  CHECK(rc::check([] {
    const Rows Own = *anyRows();
    const Rows Peers = *anyRows();
    SentNotices Sent;
    const std::uint64_t Number = recordNotice(Sent, Own);
    const auto Others = othersWork(Sent, digest(1, Number, sum(Own, Peers)));
    RC_ASSERT(!failed(Others));
    for (const auto &[Target, Item] : Peers) {
      const Row &Read = valueOf(Others).at(Target);
      RC_ASSERT(Read.m_Requests == Item.m_Requests);
      for (std::size_t I = 0; I < Item.m_PromptTokens.size(); ++I)
        RC_ASSERT(Read.m_PromptTokens[I] == Item.m_PromptTokens[I]);
    }
    RC_ASSERT(valueOf(Others).size() == Peers.size());
  }));
}

SCENARIO("entries learn the prefixes that are newer than their digest") {
  PrefixLog Log;
  recordPrefix(Log, {1, 77, 13}, Start);
  closeChunk(Log, 1, Start);
  recordPrefix(Log, {1, 78, 5}, Start);
  closeChunk(Log, 2, Start);
  THEN("one that has the first learns the second") {
    const auto Newer = decodePrefixes(prefixesSince(Log, 1));
    REQUIRE_FALSE(failed(Newer));
    CHECK(valueOf(Newer) == std::vector<Prefix>{{1, 78, 5}});
  }
  THEN("one that has none learns both") {
    const auto Newer = decodePrefixes(prefixesSince(Log, 0));
    REQUIRE_FALSE(failed(Newer));
    CHECK(valueOf(Newer) == std::vector<Prefix>{{1, 77, 13}, {1, 78, 5}});
  }
  WHEN("hundreds of entries report the same prefix") {
    for (int I = 0; I < 300; ++I)
      recordPrefix(Log, {1, 77, 13}, Start + 1s);
    closeChunk(Log, 3, Start + 1s);
    THEN("it is not passed on again") { CHECK(prefixesSince(Log, 2).empty()); }
  }
  WHEN("it is reported again much later") {
    recordPrefix(Log, {1, 77, 13}, Start + 10s);
    closeChunk(Log, 3, Start + 10s);
    THEN("entries that have started since learn it") {
      CHECK_FALSE(prefixesSince(Log, 2).empty());
    }
  }
  WHEN("many prefixes are reported") {
    for (std::uint32_t I = 0; I < 100'000; ++I) {
      recordPrefix(Log, {2, I, 1}, Start);
      if (I % 100 == 0)
        closeChunk(Log, 3 + I, Start);
    }
    closeChunk(Log, 200'000, Start);
    THEN("the log is bounded, and an entry gets the newest") {
      const auto Newest = decodePrefixes(prefixesSince(Log, 0));
      REQUIRE_FALSE(failed(Newest));
      CHECK(valueOf(Newest).size() <= 512);
      CHECK(valueOf(Newest).back().m_Hash == 99'999);
      CHECK(Log.m_RepeatAt.size() <= 16'384);
    }
  }
}
