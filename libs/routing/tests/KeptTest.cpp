// Shared prefixes that engines keep, and entries that hear of each other.

#include "Fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

std::vector<std::uint64_t> blocksOf(std::uint64_t Prefix, std::size_t Count) {
  std::vector<std::uint64_t> Made;
  for (std::size_t I = 0; I < Count; ++I)
    Made.push_back((Prefix << 40U) | (I << 32U));
  return Made;
}

/// A prompt of 12 shared blocks and 2,000 tokens of its own.
Request shared(std::uint64_t Prefix) {
  Request Wanted = question(12 * BlockTokens + 2000, 10);
  Wanted.m_Blocks = blocksOf(Prefix, 12);
  Wanted.m_FetchesPrefix = true;
  return Wanted;
}

/// Engines 0 to \p Prefill - 1 prefill, the others decode; no other role.
State splitFleet(int Prefill, int Decode) {
  State Fleet;
  Fleet.m_Settings.m_Zone = {"attiki-1"};
  Fleet.m_Settings.m_Region = {"attiki"};
  Fleet.m_Settings.m_PrefillRunsWhole = false;
  Fleet.m_Settings.m_DecodeOnlyPerPrefill = 0.25;
  for (int I = 0; I < Prefill + Decode; ++I)
    updateTarget(
        Fleet,
        engine(I, "attiki-1", I < Prefill ? Role::Prefill : Role::Decode),
        at(-60s));
  return Fleet;
}

/// The whole life of a try; the prompt is read 100 ms after its start.
Choice serve(State &Fleet, const Request &Wanted, TimePoint Now, Random &Rng) {
  Choice Made = valueOf(choose(Fleet, Wanted, Now, Rng));
  recordStarted(Fleet, Made.m_Try, Now);
  if (Made.m_Prefill)
    recordPrefilled(Fleet, Made.m_Try, Now + 100ms);
  recordFirstToken(Fleet, Made.m_Try, Now + 110ms);
  recordEnded(Fleet, Made.m_Try, TryOutcome::Completed, Now + 200ms);
  return Made;
}

TargetId readerOf(const Choice &Made) {
  return Made.m_Prefill ? Made.m_Prefill->m_Target : Made.m_Run.m_Target;
}

} // namespace

SCENARIO("a shared prefix is read once in the fleet") {
  Random Rng(1);
  State Fleet = splitFleet(4, 4);
  GIVEN("a prefix that one entry has had read") {
    const Choice First = serve(Fleet, shared(7), at(0s), Rng);
    CHECK(First.m_Estimate.m_CachedBlocks == 0);
    THEN("its next request counts on it, wherever it is read") {
      const Choice Next = serve(Fleet, shared(7), at(1s), Rng);
      CHECK(Next.m_Estimate.m_CachedBlocks == 12);
      if (readerOf(Next) != readerOf(First))
        CHECK(Next.m_FetchFrom.has_value());
    }
    THEN("another entry hears of it and counts on it too") {
      State Other = splitFleet(4, 4);
      CHECK(valueOf(estimate(Other, shared(7), at(1s), Rng)).m_CachedBlocks ==
            0);
      applyPrefixUpdates(Other, takePrefixUpdates(Fleet));
      CHECK(valueOf(estimate(Other, shared(7), at(1s), Rng)).m_CachedBlocks ==
            12);
    }
    THEN("the others are told once, and again when it has been used later") {
      CHECK_FALSE(takePrefixUpdates(Fleet).empty());
      serve(Fleet, shared(7), at(500ms), Rng);
      serve(Fleet, shared(7), at(5s), Rng);
      CHECK_FALSE(takePrefixUpdates(Fleet).empty());
    }
    WHEN("the engines that keep it are gone") {
      for (int I = 0; I < 8; ++I) {
        Target Again =
            engine(I, "attiki-1", I < 4 ? Role::Prefill : Role::Decode);
        Again.m_Incarnation = "second";
        updateTarget(Fleet, Again, at(1s));
      }
      THEN("it has to be read again") {
        CHECK(valueOf(estimate(Fleet, shared(7), at(2s), Rng)).m_CachedBlocks ==
              0);
      }
    }
    WHEN("more has been read than engines can keep") {
      for (std::uint64_t Prefix = 100; Prefix < 2500; ++Prefix)
        serve(Fleet, shared(Prefix), at(Prefix * 10ms), Rng);
      THEN("it is not counted on") {
        CHECK(
            valueOf(estimate(Fleet, shared(7), at(60s), Rng)).m_CachedBlocks ==
            0);
      }
    }
  }
}

SCENARIO("the work of other entries counts by its priority") {
  Random Rng(2);
  State Fleet = splitFleet(2, 0);
  Request Urgent = question(1000, 5);
  Urgent.m_Priority = 9;
  Request Patient = Urgent;
  Patient.m_Priority = 7;
  const auto FirstIn = [&](const Request &Of) {
    Fleet.m_Settings.m_PrefillRunsWhole = true;
    return valueOf(estimate(Fleet, Of, at(0s), Rng)).m_FirstToken - at(0s);
  };
  GIVEN("much patient work at every engine") {
    std::vector<EngineWork> Told;
    Told.reserve(2);
    for (int I = 0; I < 2; ++I)
      Told.push_back({engine(I).m_Id, 10, {0, 0, 100'000}});
    applyPeerWork(Fleet, Told, at(0s));
    THEN("the urgent does not wait for it, the patient does") {
      CHECK(FirstIn(Urgent) < 500ms);
      CHECK(FirstIn(Patient) > 2s);
    }
    THEN("a load report does not go before their word") {
      applyLoad(Fleet, engine(0).m_Id, "first", {0, 0, std::nullopt, {}},
                at(100ms));
      CHECK(Fleet.m_Slots[0].m_PeerWork.m_Requests == 10);
    }
    THEN("it does once nothing has been heard for a second") {
      applyLoad(Fleet, engine(0).m_Id, "first", {3, 0, std::nullopt, {}},
                at(1100ms));
      CHECK(Fleet.m_Slots[0].m_PeerWork.m_Requests == 3);
    }
    THEN("it is over when they say so") {
      applyPeerWork(Fleet, {}, at(10ms));
      CHECK(FirstIn(Patient) < 500ms);
    }
    verify(Fleet);
  }
}

TEST_CASE("what one entry tells is what it has") {
  Random Rng(3);
  State Fleet = splitFleet(1, 1);
  Request Wanted = question(3000, 5);
  Wanted.m_Priority = 8;
  const Choice Made = valueOf(choose(Fleet, Wanted, at(0s), Rng));
  std::uint64_t Tokens = 0;
  for (const EngineWork &Row : ownWork(Fleet))
    for (std::size_t I = 0; I < Row.m_PromptTokens.size(); ++I) {
      CHECK((I == 1 || Row.m_PromptTokens[I] == 0));
      Tokens += Row.m_PromptTokens[I];
    }
  CHECK(Tokens == 3000);
  recordEnded(Fleet, Made.m_Try, TryOutcome::NotSent, at(1s));
  CHECK(ownWork(Fleet).empty());
}

SCENARIO("some engines only stream what others have read") {
  Random Rng(4);
  GIVEN("engines that prefill and engines that decode") {
    State Fleet = splitFleet(8, 6);
    State Other = splitFleet(8, 6);
    Pool &Group = Fleet.m_Pools[0].at(Gourd);
    THEN("a quarter as many are set aside, the same at every entry") {
      CHECK(Group.m_Streamers.size() == 2);
      CHECK(Group.m_Streamers == Other.m_Pools[0].at(Gourd).m_Streamers);
    }
    THEN("nothing is read there, and splits end there") {
      for (int I = 0; I < 200; ++I) {
        const Choice Made = serve(Fleet, shared(I % 9), at(I * 20ms), Rng);
        const SlotIndex Run = Fleet.m_ByTarget.at(Made.m_Run.m_Target);
        const bool Streams = std::count(Group.m_Streamers.begin(),
                                        Group.m_Streamers.end(), Run) == 1;
        CHECK(Streams == Made.m_Prefill.has_value());
      }
    }
    WHEN("one of them leaves") {
      Target Leaving = Fleet.m_Slots[Group.m_Streamers[0]].m_Target;
      Leaving.m_Serving = false;
      updateTarget(Fleet, Leaving, at(0s));
      THEN("another one takes its place") {
        CHECK(Group.m_Streamers.size() == 2);
        CHECK(std::count(Group.m_Streamers.begin(), Group.m_Streamers.end(),
                         Fleet.m_ByTarget.at(Leaving.m_Id)) == 0);
      }
    }
  }
  GIVEN("one engine that decodes") {
    State Fleet = splitFleet(8, 1);
    THEN("it still reads what the others have no time for") {
      CHECK(Fleet.m_Pools[0].at(Gourd).m_Streamers.empty());
    }
  }
}

TEST_CASE("holders are the engines whose lists name the prefix") {
  rc::check([] {
    State Fleet = splitFleet(3, 3);
    const int Steps = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Steps; ++I) {
      const TargetId Engine = engine(*rc::gen::inRange(0, 6)).m_Id;
      const auto Prefix = *rc::gen::inRange<std::uint32_t>(1, 40);
      if (*rc::gen::inRange(0, 20) == 0)
        removeTarget(Fleet, Engine, at(0s));
      else
        applyPrefixUpdates(Fleet, {{Engine, Prefix, Prefix * 10}});
    }
    std::size_t Listed = 0;
    for (const Slot &Place : Fleet.m_Slots)
      Listed += Place.m_Kept.size();
    std::size_t Held = 0;
    for (const auto &Named : Fleet.m_Pools[0].at(Gourd).m_Holders) {
      RC_ASSERT_FALSE(Named.second.empty());
      Held += Named.second.size();
      for (const SlotIndex Index : Named.second) {
        const auto &Kept = Fleet.m_Slots[Index].m_Kept;
        RC_ASSERT(
            std::count_if(Kept.begin(), Kept.end(), [&](const KeptHere &Each) {
              return Each.m_Prefix == Named.first;
            }) == 1);
      }
    }
    RC_ASSERT(Held == Listed);
  });
}
