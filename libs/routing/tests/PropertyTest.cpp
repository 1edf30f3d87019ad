#include "Fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

/// Applies random operations to a small fleet and checks every choice and every
/// state.
class RandomFleetTest {
public:
  RandomFleetTest(Policy SelectionPolicy, std::uint64_t Seed) : m_Rng(Seed) {
    m_Fleet.m_Settings.m_Policy = SelectionPolicy;
    m_Fleet.m_Settings.m_Zone = {"attiki-1"};
    m_Fleet.m_Settings.m_Region = {"attiki"};
  }

  void step(int Operation, int Value) {
    m_Now += Duration(1ms) * (Value % 700);
    switch (Operation % 8) {
    case 0:
      return describe(Value);
    case 1:
      return removeTarget(m_Fleet, makeEngine(Value % 6).m_Id, m_Now);
    case 2:
      return report(Value);
    case 3:
      return advance(Value);
    case 4:
      return end(Value);
    default:
      return start(Value);
    }
  }

  void endAll() {
    while (!m_OpenTries.empty())
      end(0);
    for (const Slot &TargetSlot : m_Fleet.m_Slots) {
      RC_ASSERT(TargetSlot.m_Own.m_Requests == 0U);
      RC_ASSERT(TargetSlot.m_Own.m_PromptTokens == 0U);
      RC_ASSERT(TargetSlot.m_Own.m_KvBlocks == 0U);
      RC_ASSERT(TargetSlot.m_Own.m_Decoding == 0U);
    }
  }

  void check() const { verify(m_Fleet); }

private:
  void describe(int Value) {
    Target Next =
        makeEngine(Value % 6, "attiki-" + std::to_string(Value % 2 + 1),
                   static_cast<Role>(Value / 6 % 3));
    Next.m_Incarnation = std::to_string(Value / 18 % 2);
    Next.m_Generation = static_cast<std::uint64_t>(Value / 36 % 3);
    Next.m_Serving = Value % 5 != 0;
    if (Value % 7 == 0)
      Next.m_Models = {{"coil-70b"}};
    if (updateTarget(m_Fleet, Next, m_Now))
      m_Descriptions[Next.m_Id] = Next;
  }

  void report(int Value) {
    LoadReport Load;
    Load.m_Running = static_cast<std::uint32_t>(Value % 40);
    Load.m_PrefillTokensWaiting = static_cast<std::uint64_t>(Value) * 10;
    Load.m_KvBlocksFree = static_cast<std::uint64_t>(Value % 2048);
    const Target Reporter = makeEngine(Value % 6);
    const std::string Incarnation = std::to_string(Value / 6 % 2);
    applyLoad(m_Fleet, Reporter.m_Id, Incarnation, Load, m_Now);
    const auto EventNumber = static_cast<std::uint64_t>(Value);
    applyCacheEvents(m_Fleet, Reporter.m_Id, Incarnation,
                     {{EventNumber, EventNumber % 8, Value % 3 != 0}});
  }

  void start(int Value) {
    Request Req = makeRequest(static_cast<std::uint32_t>(Value % 9000), 60);
    for (std::uint64_t I = 0; I < Req.m_PromptTokens / BlockTokens; ++I)
      Req.m_Blocks.push_back(I);
    Req.m_Priority = static_cast<unsigned>(Value % 10);
    Req.m_MayProbe = Value % 4 != 0;
    Req.m_Avoid = {makeEngine(Value % 6).m_Id};
    const Result<Choice> Decision = choose(m_Fleet, Req, m_Now, m_Rng);
    if (failed(Decision))
      return;
    checkLeg(valueOf(Decision).m_Run, valueOf(Decision).m_Probe);
    if (valueOf(Decision).m_Prefill)
      checkLeg(*valueOf(Decision).m_Prefill, false);
    RC_ASSERT(Req.m_MayProbe || !valueOf(Decision).m_Probe);
    m_OpenTries.push_back(valueOf(Decision));
  }

  void checkLeg(const Leg &ChosenLeg, bool Probe) {
    const Target &Description = m_Descriptions.at(ChosenLeg.m_Target);
    RC_ASSERT(Description.m_Serving);
    RC_ASSERT(Description.m_Incarnation == ChosenLeg.m_Incarnation);
    RC_ASSERT(Description.m_Generation == ChosenLeg.m_Generation);
    RC_ASSERT(Description.m_Models.front() == Gourd);
    const HealthState CurrentState =
        findHealth(m_Fleet, ChosenLeg.m_Target)->m_State;
    RC_ASSERT(Probe == (CurrentState == HealthState::Probing));
    RC_ASSERT(CurrentState != HealthState::Ejected);
  }

  Choice &selectOpenTry(int Value) {
    return m_OpenTries[static_cast<std::size_t>(Value) % m_OpenTries.size()];
  }

  void advance(int Value) {
    if (m_OpenTries.empty())
      return;
    Choice &Decision = selectOpenTry(Value);
    recordStarted(m_Fleet, Decision.m_Try, m_Now);
    if (Decision.m_Prefill && Value % 2 == 0) {
      recordPrefilled(m_Fleet, Decision.m_Try, m_Now);
      Decision.m_Prefill.reset();
    }
    if (Value % 3 == 0)
      recordFirstToken(m_Fleet, Decision.m_Try, m_Now);
    if (Value % 3 == 0)
      Decision.m_Prefill.reset();
    recordProgress(m_Fleet, Decision.m_Try, 20, m_Now);
  }

  void end(int Value) {
    if (m_OpenTries.empty())
      return;
    std::swap(selectOpenTry(Value), m_OpenTries.back());
    const auto Outcome = static_cast<TryOutcome>(Value % 7);
    recordEnded(m_Fleet, m_OpenTries.back().m_Try, Outcome, m_Now,
                Value % 2 == 0);
    m_OpenTries.pop_back();
  }

  State m_Fleet;
  Random m_Rng;
  TimePoint m_Now = at(0s);
  std::map<TargetId, Target> m_Descriptions;
  std::vector<Choice> m_OpenTries;
};

} // namespace

TEST_CASE("every choice is valid, and the totals match the tries in flight") {
  for (Policy SelectionPolicy : {Policy::RoundRobin, Policy::LeastReportedLoad,
                                 Policy::AffinityAndWork}) {
    CHECK(rc::check([SelectionPolicy](std::uint64_t Seed) {
      const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 800), rc::gen::inRange(0, 5000)));
      RandomFleetTest Runner(SelectionPolicy, Seed);
      for (const auto &[Operation, Value] : Steps) {
        Runner.step(Operation, Value);
        Runner.check();
      }
      Runner.endAll();
    }));
  }
}
