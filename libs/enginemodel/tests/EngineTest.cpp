#include "enginemodel/enginemodel.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace wasabivale;
using namespace wasabivale::enginemodel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};

Run runOf(RunKey Key, std::uint64_t Prompt, std::uint64_t Output,
          std::uint64_t Priority = 5) {
  Run Made;
  Made.m_Key = Key;
  Made.m_PromptTokens = Prompt;
  Made.m_OutputTokens = Output;
  Made.m_Priority = Priority;
  return Made;
}

Run cachedRun(RunKey Key, std::vector<std::uint64_t> Blocks) {
  Run Made = runOf(Key, Blocks.size() * BlockTokens + 1, 1);
  Made.m_Blocks = std::move(Blocks);
  return Made;
}

/// Time of an event of a run, from `Start`; negative if there is none.
double secondsOf(const std::vector<Event> &Among, EventKind Kind, RunKey Key) {
  for (const Event &Each : Among)
    if (Each.m_Kind == Kind && Each.m_Run == Key)
      return std::chrono::duration<double>(Each.m_At - Start).count();
  return -1;
}

std::vector<std::uint64_t> valuesOf(const std::vector<Event> &Among,
                                    EventKind Kind) {
  std::vector<std::uint64_t> Values;
  for (const Event &Each : Among)
    if (Each.m_Kind == Kind)
      Values.push_back(Each.m_Value);
  return Values;
}

/// Time between two tokens of a stream that decodes beside a long prefill.
double gapBesidePrefill(Role As) {
  Engine Made = makeEngine({}, As, Start);
  submit(Made, runOf(1, 1, 50), Start);
  submit(Made, runOf(2, 2'000'000, 1), Start);
  return secondsOf(advance(Made, Start + 60s), EventKind::Finished, 1) / 50;
}

} // namespace

SCENARIO("one stream takes its prefill and its decode time") {
  Engine Made = makeEngine({}, Role::Mixed, Start);
  submit(Made, runOf(1, 20'000, 51), Start);
  const auto Events = advance(Made, Start + 10s);
  CHECK(secondsOf(Events, EventKind::FirstToken, 1) == Approx(1.0));
  CHECK(secondsOf(Events, EventKind::Finished, 1) == Approx(2.0));
  CHECK(nextEvent(Made) == TimePoint::max());
}

SCENARIO("streams and prompts slow each other down") {
  GIVEN("streams in one batch") {
    Engine Made = makeEngine({}, Role::Mixed, Start);
    for (RunKey Key = 1; Key <= 11; ++Key)
      submit(Made, runOf(Key, 1, 51), Start);
    THEN("each further stream lengthens the step by its share") {
      const auto Events = advance(Made, Start + 10s);
      CHECK(secondsOf(Events, EventKind::Finished, 11) ==
            Approx(1.2).epsilon(0.05));
    }
  }
  GIVEN("a stream beside a long prompt") {
    const double Decode = gapBesidePrefill(Role::Decode);
    const double Mixed = gapBesidePrefill(Role::Mixed);
    const double Prefill = gapBesidePrefill(Role::Prefill);
    THEN("the role sets how much it waits for the prompt") {
      CHECK(Decode == Approx(0.0232).epsilon(0.05));
      CHECK(Mixed == Approx(0.0456).epsilon(0.05));
      CHECK(Prefill == Approx(0.2248).epsilon(0.05));
    }
  }
}

SCENARIO("urgent runs go first") {
  Settings One;
  One.m_MaxRunning = 1;
  Engine Made = makeEngine(One, Role::Mixed, Start);
  submit(Made, runOf(1, 1000, 10), Start);
  submit(Made, runOf(2, 1000, 10, 0), Start);
  submit(Made, runOf(3, 1000, 10, 9), Start);
  submit(Made, runOf(4, 1000, 10, 9), Start);
  CHECK(load(Made).m_Waiting == 3);
  const auto Events = advance(Made, Start + 10s);
  std::vector<RunKey> Order;
  for (const Event &Each : Events)
    if (Each.m_Kind == EventKind::Finished)
      Order.push_back(Each.m_Run);
  CHECK(Order == std::vector<RunKey>{1, 3, 4, 2});
}

SCENARIO("prompts share cached blocks and the oldest are evicted") {
  Settings Small;
  Small.m_KvBlocks = 4;
  Engine Made = makeEngine(Small, Role::Mixed, Start);
  submit(Made, cachedRun(1, {11, 12}), Start);
  const auto First = advance(Made, Start + 10s);
  CHECK(valuesOf(First, EventKind::CacheAdded) ==
        std::vector<std::uint64_t>{11, 12});
  CHECK(load(Made).m_KvBlocksFree == 4);
  WHEN("the same prefix comes again") {
    submit(Made, cachedRun(2, {11, 12}), Start + 10s);
    THEN("only what is not cached is prefilled") {
      CHECK(cachedBlocks(Made, 2) == 2);
      const auto Events = advance(Made, Start + 20s);
      CHECK(secondsOf(Events, EventKind::FirstToken, 2) < 10.001);
      CHECK(valuesOf(Events, EventKind::CacheAdded).empty());
    }
  }
  WHEN("another prompt needs the memory") {
    submit(Made, cachedRun(2, {21, 22}), Start + 10s);
    THEN("the end of the unused chain goes first") {
      const auto Events = advance(Made, Start + 20s);
      CHECK(valuesOf(Events, EventKind::CacheRemoved) ==
            std::vector<std::uint64_t>{12});
    }
  }
  WHEN("a run can never fit") {
    THEN("it is refused") {
      CHECK(submit(Made, runOf(3, 4 * BlockTokens, 1), Start + 10s) ==
            SubmitResult::TooLarge);
    }
  }
}

SCENARIO("an engine is away while it changes its role") {
  Engine Made = makeEngine({}, Role::Mixed, Start);
  submit(Made, cachedRun(1, {11}), Start);
  advance(Made, Start + 1s);
  setRole(Made, Role::Decode, Start + 1s);
  CHECK(submit(Made, runOf(2, 1, 1), Start + 2s) == SubmitResult::Away);
  CHECK(load(Made).m_Away);
  CHECK(nextEvent(Made) == Start + 6s);
  const auto Events = advance(Made, Start + 7s);
  CHECK(valuesOf(Events, EventKind::CacheRemoved) ==
        std::vector<std::uint64_t>{11});
  CHECK(secondsOf(Events, EventKind::RoleChanged, 0) == Approx(6.0));
  CHECK(Made.m_Role == Role::Decode);
  CHECK(submit(Made, runOf(2, 1, 1), Start + 7s) == SubmitResult::Taken);
}

SCENARIO("prefill can be handed from engine to engine") {
  Engine Prefill = makeEngine({}, Role::Prefill, Start);
  submit(Prefill, runOf(1, 20'000, 0), Start);
  const auto Done = advance(Prefill, Start + 10s);
  CHECK(secondsOf(Done, EventKind::Finished, 1) == Approx(1.0));
  Engine Decode = makeEngine({}, Role::Decode, Start);
  Run Imported = runOf(1, 20'000, 51);
  Imported.m_ImportsKv = true;
  submit(Decode, Imported, Start);
  const auto Events = advance(Decode, Start + 10s);
  CHECK(secondsOf(Events, EventKind::FirstToken, 1) ==
        Approx(0.0195).epsilon(0.05));
}

SCENARIO("tokens are reported as they are made") {
  Engine Made = makeEngine({}, Role::Mixed, Start);
  Made.m_ReportsTokens = true;
  submit(Made, runOf(1, 1, 100), Start);
  advance(Made, Start + 1ms);
  CHECK(tokensMade(Made, 1) == 1);
  const auto Events = advance(Made, Start + 101ms);
  CHECK(valuesOf(Events, EventKind::Tokens) == std::vector<std::uint64_t>{6});
  setSpeed(Made, 0.5, Start + 101ms);
  advance(Made, Start + 201ms);
  CHECK(tokensMade(Made, 1) >= 8);
  CHECK(tokensMade(Made, 1) <= 9);
}

SCENARIO("the text of an answer depends on prompt and place") {
  const std::string Whole = expectedText("prompt", 0, 100);
  CHECK(Whole.size() == 400);
  CHECK(expectedText("prompt", 40, 60) == Whole.substr(160));
  CHECK(expectedText("prompt ", 0, 100) != Whole);
  std::set<std::string> Words;
  for (std::uint64_t I = 0; I < 100; ++I)
    Words.insert(expectedText("prompt", I, 1));
  CHECK(Words.size() == 100);
}

SCENARIO("block hashes chain") {
  const std::string Block(BlockTokens * TokenBytes, 'a');
  const auto Two = blockHashes("m", Block + Block + "rest");
  REQUIRE(Two.size() == 2);
  CHECK(Two[0] != Two[1]);
  CHECK(blockHashes("m", Block)[0] == Two[0]);
  CHECK(blockHashes("n", Block)[0] != Two[0]);
  CHECK(blockHashes("m", "short").empty());
}

namespace {

struct Trace {
  std::map<RunKey, double> m_Finished;
  std::set<std::uint64_t> m_Cache;
  std::uint64_t m_Taken = 0;
  std::uint64_t m_Cancelled = 0;
};

void replay(const std::vector<Event> &Events, Trace &Into) {
  for (const Event &Each : Events) {
    if (Each.m_Kind == EventKind::Finished)
      Into.m_Finished[Each.m_Run] =
          std::chrono::duration<double>(Each.m_At - Start).count();
    if (Each.m_Kind == EventKind::CacheAdded)
      WASABIVALE_INVARIANT(Into.m_Cache.insert(Each.m_Value).second);
    if (Each.m_Kind == EventKind::CacheRemoved)
      WASABIVALE_INVARIANT(Into.m_Cache.erase(Each.m_Value) == 1);
  }
}

/// Random submissions and cancels, with extra calls of `advance` between them.
Trace randomRuns(std::uint64_t Seed, bool ExtraSteps, Engine &Made) {
  Random Source(Seed);
  Settings Small;
  Small.m_KvBlocks = 24;
  Small.m_MaxRunning = 6;
  Made = makeEngine(Small, Role::Mixed, Start);
  Trace Seen;
  TimePoint Now = Start;
  for (RunKey Key = 1; Key <= 60; ++Key) {
    Now += std::chrono::milliseconds(1 + Source() % 400);
    std::vector<std::uint64_t> Blocks;
    for (std::uint64_t I = Source() % 6; I > 0; --I)
      Blocks.push_back(100 * (Key % 4) + 6 - I);
    Run Next = cachedRun(Key, std::move(Blocks));
    Next.m_OutputTokens = Source() % 40;
    Next.m_Priority = Source() % 10;
    if (submit(Made, std::move(Next), Now) == SubmitResult::Taken)
      ++Seen.m_Taken;
    if (Source() % 4 == 0 && cancel(Made, Key - Source() % Key, Now))
      ++Seen.m_Cancelled;
    if (!ExtraSteps)
      continue;
    for (int I = 1; I < 20; ++I)
      replay(advance(Made, Now + std::chrono::microseconds(I)), Seen);
  }
  replay(advance(Made, Now + std::chrono::hours(1)), Seen);
  return Seen;
}

} // namespace

TEST_CASE("properties of the engine") {
  CHECK(rc::check(
      "every run ends, and its memory is given back", [](std::uint64_t Seed) {
        Engine Made;
        const Trace Seen = randomRuns(Seed, false, Made);
        RC_ASSERT(Seen.m_Finished.size() + Seen.m_Cancelled == Seen.m_Taken);
        RC_ASSERT(load(Made).m_KvBlocksFree == 24U);
        RC_ASSERT(Made.m_PrivateBlocks == 0U);
        RC_ASSERT(Seen.m_Cache.size() == Made.m_Cache.size());
      }));
  CHECK(rc::check("how often the engine is looked at changes nothing",
                  [](std::uint64_t Seed) {
                    Engine Made;
                    const Trace Once = randomRuns(Seed, false, Made);
                    const Trace Often = randomRuns(Seed, true, Made);
                    RC_ASSERT(Once.m_Taken == Often.m_Taken);
                    RC_ASSERT(Once.m_Finished.size() ==
                              Often.m_Finished.size());
                    for (const auto &[Key, At] : Once.m_Finished)
                      RC_ASSERT(std::abs(Often.m_Finished.at(Key) - At) < 1e-6);
                  }));
}
