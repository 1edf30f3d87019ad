// Shared prefixes in engine caches, and work and prefixes that entries
// exchange.

#include "Fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

std::vector<std::uint64_t> makeBlocks(std::uint64_t Prefix, std::size_t Count) {
  std::vector<std::uint64_t> Blocks;
  for (std::size_t I = 0; I < Count; ++I)
    Blocks.push_back((Prefix << 40U) | (I << 32U));
  return Blocks;
}

/// Returns a request with 12 shared blocks and 2,000 unique tokens.
Request makeSharedRequest(std::uint64_t Prefix) {
  Request Req = makeRequest(12 * BlockTokens + 2000, 10);
  Req.m_Blocks = makeBlocks(Prefix, 12);
  Req.m_FetchesPrefix = true;
  return Req;
}

/// Returns a fleet in which engines 0 to \p Prefill - 1 prefill and the others
/// decode.
State makeSplitFleet(int Prefill, int Decode) {
  State Fleet;
  Fleet.m_Settings.m_Zone = {"attiki-1"};
  Fleet.m_Settings.m_Region = {"attiki"};
  Fleet.m_Settings.m_PrefillRunsWhole = false;
  Fleet.m_Settings.m_DecodeOnlyPerPrefill = 0.25;
  for (int I = 0; I < Prefill + Decode; ++I)
    updateTarget(
        Fleet,
        makeEngine(I, "attiki-1", I < Prefill ? Role::Prefill : Role::Decode),
        at(-60s));
  return Fleet;
}

/// Runs a try from choice to end; its prefill ends 100 ms after its start.
Choice runTry(State &Fleet, const Request &Req, TimePoint Now, Random &Rng) {
  Choice Decision = valueOf(choose(Fleet, Req, Now, Rng));
  recordStarted(Fleet, Decision.m_Try, Now);
  if (Decision.m_Prefill)
    recordPrefilled(Fleet, Decision.m_Try, Now + 100ms);
  recordFirstToken(Fleet, Decision.m_Try, Now + 110ms);
  recordEnded(Fleet, Decision.m_Try, TryOutcome::Completed, Now + 200ms);
  return Decision;
}

TargetId prefillTarget(const Choice &Decision) {
  return Decision.m_Prefill ? Decision.m_Prefill->m_Target
                            : Decision.m_Run.m_Target;
}

} // namespace

SCENARIO("a shared prefix is prefilled once in the fleet") {
  Random Rng(1);
  State Fleet = makeSplitFleet(4, 4);
  GIVEN("a prefix prefilled by a request of one entry") {
    const Choice First = runTry(Fleet, makeSharedRequest(7), at(0s), Rng);
    CHECK(First.m_Estimate.m_CachedBlocks == 0);
    THEN("the next request expects it to be cached on any engine") {
      const Choice Next = runTry(Fleet, makeSharedRequest(7), at(1s), Rng);
      CHECK(Next.m_Estimate.m_CachedBlocks == 12);
      if (prefillTarget(Next) != prefillTarget(First))
        CHECK(Next.m_FetchFrom.has_value());
    }
    THEN("another entry receives the update and expects it to be cached") {
      State Other = makeSplitFleet(4, 4);
      CHECK(valueOf(estimate(Other, makeSharedRequest(7), at(1s), Rng))
                .m_CachedBlocks == 0);
      applyPrefixUpdates(Other, takePrefixUpdates(Fleet));
      CHECK(valueOf(estimate(Other, makeSharedRequest(7), at(1s), Rng))
                .m_CachedBlocks == 12);
    }
    THEN("it is announced once, and again when it is used later") {
      CHECK_FALSE(takePrefixUpdates(Fleet).empty());
      runTry(Fleet, makeSharedRequest(7), at(500ms), Rng);
      runTry(Fleet, makeSharedRequest(7), at(5s), Rng);
      CHECK_FALSE(takePrefixUpdates(Fleet).empty());
    }
    WHEN("the engines that have it cached are gone") {
      for (int I = 0; I < 8; ++I) {
        Target Restarted =
            makeEngine(I, "attiki-1", I < 4 ? Role::Prefill : Role::Decode);
        Restarted.m_Incarnation = "second";
        updateTarget(Fleet, Restarted, at(1s));
      }
      THEN("it is not expected to be cached") {
        CHECK(valueOf(estimate(Fleet, makeSharedRequest(7), at(2s), Rng))
                  .m_CachedBlocks == 0);
      }
    }
    WHEN("more prefixes have been prefilled than engines can cache") {
      for (std::uint64_t Prefix = 100; Prefix < 2500; ++Prefix)
        runTry(Fleet, makeSharedRequest(Prefix), at(Prefix * 10ms), Rng);
      THEN("it is evicted") {
        CHECK(valueOf(estimate(Fleet, makeSharedRequest(7), at(60s), Rng))
                  .m_CachedBlocks == 0);
      }
    }
  }
}

SCENARIO("the work of other entries counts by priority") {
  Random Rng(2);
  State Fleet = makeSplitFleet(2, 0);
  Request Urgent = makeRequest(1000, 5);
  Urgent.m_Priority = 9;
  Request Patient = Urgent;
  Patient.m_Priority = 7;
  const auto TimeToFirstToken = [&](const Request &Req) {
    Fleet.m_Settings.m_PrefillRunsWhole = true;
    return valueOf(estimate(Fleet, Req, at(0s), Rng)).m_FirstToken - at(0s);
  };
  GIVEN("a large low-priority backlog at every engine") {
    std::vector<EngineWork> PeerRows;
    PeerRows.reserve(2);
    for (int I = 0; I < 2; ++I)
      PeerRows.push_back({makeEngine(I).m_Id, 10, {0, 0, 100'000}});
    applyPeerWork(Fleet, PeerRows, at(0s));
    THEN("an urgent request does not wait for it, a request of low priority "
         "does") {
      CHECK(TimeToFirstToken(Urgent) < 500ms);
      CHECK(TimeToFirstToken(Patient) > 2s);
    }
    THEN("a load report does not replace fresh work of other entries") {
      applyLoad(Fleet, makeEngine(0).m_Id, "first", {0, 0, std::nullopt, {}},
                at(100ms));
      CHECK(Fleet.m_Slots[0].m_PeerWork.m_Requests == 10);
    }
    THEN("a load report replaces work that is older than a second") {
      applyLoad(Fleet, makeEngine(0).m_Id, "first", {3, 0, std::nullopt, {}},
                at(1100ms));
      CHECK(Fleet.m_Slots[0].m_PeerWork.m_Requests == 3);
    }
    THEN("an empty update removes it") {
      applyPeerWork(Fleet, {}, at(10ms));
      CHECK(TimeToFirstToken(Patient) < 500ms);
    }
    verify(Fleet);
  }
}

TEST_CASE("own work lists the prompt tokens of own tries") {
  Random Rng(3);
  State Fleet = makeSplitFleet(1, 1);
  Request Req = makeRequest(3000, 5);
  Req.m_Priority = 8;
  const Choice Decision = valueOf(choose(Fleet, Req, at(0s), Rng));
  std::uint64_t Tokens = 0;
  for (const EngineWork &Row : ownWork(Fleet))
    for (std::size_t I = 0; I < Row.m_PromptTokens.size(); ++I) {
      CHECK((I == 1 || Row.m_PromptTokens[I] == 0));
      Tokens += Row.m_PromptTokens[I];
    }
  CHECK(Tokens == 3000);
  recordEnded(Fleet, Decision.m_Try, TryOutcome::NotSent, at(1s));
  CHECK(ownWork(Fleet).empty());
}

SCENARIO("some engines only decode prompts prefilled elsewhere") {
  Random Rng(4);
  GIVEN("engines that prefill and engines that decode") {
    State Fleet = makeSplitFleet(8, 6);
    State Other = makeSplitFleet(8, 6);
    Pool &TargetPool = Fleet.m_Pools[0].at(Gourd);
    THEN("a quarter as many are decode-only, the same at every entry") {
      CHECK(TargetPool.m_DecodeOnly.size() == 2);
      CHECK(TargetPool.m_DecodeOnly == Other.m_Pools[0].at(Gourd).m_DecodeOnly);
    }
    THEN("decode-only engines run only the decode leg of splits") {
      for (int I = 0; I < 200; ++I) {
        const Choice Decision =
            runTry(Fleet, makeSharedRequest(I % 9), at(I * 20ms), Rng);
        const SlotIndex Run = Fleet.m_ByTarget.at(Decision.m_Run.m_Target);
        const bool IsDecodeOnly =
            std::count(TargetPool.m_DecodeOnly.begin(),
                       TargetPool.m_DecodeOnly.end(), Run) == 1;
        CHECK(IsDecodeOnly == Decision.m_Prefill.has_value());
      }
    }
    WHEN("a decode-only engine leaves") {
      Target Leaving = Fleet.m_Slots[TargetPool.m_DecodeOnly[0]].m_Target;
      Leaving.m_Serving = false;
      updateTarget(Fleet, Leaving, at(0s));
      THEN("another engine becomes decode-only") {
        CHECK(TargetPool.m_DecodeOnly.size() == 2);
        CHECK(std::count(TargetPool.m_DecodeOnly.begin(),
                         TargetPool.m_DecodeOnly.end(),
                         Fleet.m_ByTarget.at(Leaving.m_Id)) == 0);
      }
    }
  }
  GIVEN("one engine that decodes") {
    State Fleet = makeSplitFleet(8, 1);
    THEN("it still prefills") {
      CHECK(Fleet.m_Pools[0].at(Gourd).m_DecodeOnly.empty());
    }
  }
}

TEST_CASE("the holders of a prefix are the engines that list it as cached") {
  CHECK(rc::check([] {
    State Fleet = makeSplitFleet(3, 3);
    const int Steps = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Steps; ++I) {
      const TargetId Engine = makeEngine(*rc::gen::inRange(0, 6)).m_Id;
      const auto Prefix = *rc::gen::inRange<std::uint32_t>(1, 40);
      if (*rc::gen::inRange(0, 20) == 0)
        removeTarget(Fleet, Engine, at(0s));
      else
        applyPrefixUpdates(Fleet, {{Engine, Prefix, Prefix * 10}});
    }
    std::size_t EntryCount = 0;
    for (const Slot &TargetSlot : Fleet.m_Slots)
      EntryCount += TargetSlot.m_CachedPrefixes.size();
    std::size_t HolderCount = 0;
    for (const auto &Holders : Fleet.m_Pools[0].at(Gourd).m_PrefixHolders) {
      RC_ASSERT_FALSE(Holders.second.empty());
      HolderCount += Holders.second.size();
      for (const SlotIndex Index : Holders.second) {
        const auto &CachedPrefixes = Fleet.m_Slots[Index].m_CachedPrefixes;
        RC_ASSERT(std::count_if(CachedPrefixes.begin(), CachedPrefixes.end(),
                                [&](const CachedPrefixEntry &Entry) {
                                  return Entry.m_Prefix == Holders.first;
                                }) == 1);
      }
    }
    RC_ASSERT(HolderCount == EntryCount);
  }));
}

SCENARIO(
    "requests of many entries do not crowd the latest holder of a prefix") {
  GIVEN(
      "a prefix that three of six prefilling engines and a decoding one hold") {
    std::vector<State> Entries;
    for (int I = 0; I < 60; ++I) {
      Entries.push_back(makeSplitFleet(6, 4));
      std::vector<CachedPrefix> Known;
      for (const int Holder : {0, 1, 2, 9})
        Known.push_back(
            {makeEngine(Holder).m_Id, prefixHash(makeBlocks(7, 12)), 12});
      applyPrefixUpdates(Entries.back(), Known);
    }
    WHEN("each sends one request before it hears of the others") {
      std::map<TargetId, int> Prefills;
      std::map<TargetId, int> Fetches;
      for (std::size_t I = 0; I < Entries.size(); ++I) {
        Random Rng(I + 1);
        const Choice Decision =
            valueOf(choose(Entries[I], makeSharedRequest(7), at(0s), Rng));
        ++Prefills[prefillTarget(Decision)];
        if (Decision.m_FetchFrom)
          ++Fetches[Decision.m_FetchFrom->m_Target];
      }
      THEN("no engine prefills for more than half of them") {
        for (const auto &[Engine, Count] : Prefills)
          CHECK(Count <= 30);
      }
      THEN("most are prefilled where the prefix is cached") {
        CHECK(Prefills[makeEngine(0).m_Id] + Prefills[makeEngine(1).m_Id] +
                  Prefills[makeEngine(2).m_Id] >=
              30);
      }
      THEN("what is fetched comes from several engines") {
        int All = 0;
        for (const auto &[Engine, Count] : Fetches)
          All += Count;
        for (const auto &[Engine, Count] : Fetches)
          CHECK(Count <= std::max(3, All * 2 / 3));
      }
    }
  }
}
