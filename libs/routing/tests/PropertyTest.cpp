#include "Fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::routing;
using namespace wasabivale::routing::test;

namespace {

/// A random run over a small fleet; checks every choice and every state.
class Machine {
public:
  Machine(Policy How, std::uint64_t Seed) : m_Rng(Seed) {
    m_Fleet.m_Settings.m_Policy = How;
    m_Fleet.m_Settings.m_Zone = {"attiki-1"};
    m_Fleet.m_Settings.m_Region = {"attiki"};
  }

  void step(int What, int Which) {
    m_Now += Duration(1ms) * (Which % 700);
    switch (What % 8) {
    case 0:
      return describe(Which);
    case 1:
      return removeTarget(m_Fleet, engine(Which % 6).m_Id, m_Now);
    case 2:
      return report(Which);
    case 3:
      return advance(Which);
    case 4:
      return end(Which);
    default:
      return start(Which);
    }
  }

  void endAll() {
    while (!m_Open.empty())
      end(0);
    for (const Slot &Place : m_Fleet.m_Slots) {
      RC_ASSERT(Place.m_Own.m_Requests == 0U);
      RC_ASSERT(Place.m_Own.m_PromptTokens == 0U);
      RC_ASSERT(Place.m_Own.m_KvBlocks == 0U);
      RC_ASSERT(Place.m_Own.m_Decoding == 0U);
    }
  }

  void check() const { verify(m_Fleet); }

private:
  void describe(int Which) {
    Target Next = engine(Which % 6, "attiki-" + std::to_string(Which % 2 + 1),
                         static_cast<Role>(Which / 6 % 3));
    Next.m_Incarnation = std::to_string(Which / 18 % 2);
    Next.m_Generation = static_cast<std::uint64_t>(Which / 36 % 3);
    Next.m_Serving = Which % 5 != 0;
    if (Which % 7 == 0)
      Next.m_Models = {{"coil-70b"}};
    if (updateTarget(m_Fleet, Next, m_Now))
      m_Described[Next.m_Id] = Next;
  }

  void report(int Which) {
    LoadReport Load;
    Load.m_Running = static_cast<std::uint32_t>(Which % 40);
    Load.m_PrefillTokensWaiting = static_cast<std::uint64_t>(Which) * 10;
    Load.m_KvBlocksFree = static_cast<std::uint64_t>(Which % 2048);
    const Target To = engine(Which % 6);
    const std::string Incarnation = std::to_string(Which / 6 % 2);
    applyLoad(m_Fleet, To.m_Id, Incarnation, Load, m_Now);
    const auto Number = static_cast<std::uint64_t>(Which);
    applyCacheEvents(m_Fleet, To.m_Id, Incarnation,
                     {{Number, Number % 8, Which % 3 != 0}});
  }

  void start(int Which) {
    Request Wanted = question(static_cast<std::uint32_t>(Which % 9000), 60);
    for (std::uint64_t I = 0; I < Wanted.m_PromptTokens / BlockTokens; ++I)
      Wanted.m_Blocks.push_back(I);
    Wanted.m_Priority = static_cast<unsigned>(Which % 10);
    Wanted.m_MayProbe = Which % 4 != 0;
    Wanted.m_Avoid = {engine(Which % 6).m_Id};
    const Result<Choice> Made = choose(m_Fleet, Wanted, m_Now, m_Rng);
    if (failed(Made))
      return;
    checkLeg(valueOf(Made).m_Run, valueOf(Made).m_Probe);
    if (valueOf(Made).m_Prefill)
      checkLeg(*valueOf(Made).m_Prefill, false);
    RC_ASSERT(Wanted.m_MayProbe || !valueOf(Made).m_Probe);
    m_Open.push_back(valueOf(Made));
  }

  void checkLeg(const Leg &Where, bool Probe) {
    const Target &Known = m_Described.at(Where.m_Target);
    RC_ASSERT(Known.m_Serving);
    RC_ASSERT(Known.m_Incarnation == Where.m_Incarnation);
    RC_ASSERT(Known.m_Generation == Where.m_Generation);
    RC_ASSERT(Known.m_Models.front() == Gourd);
    const HealthState State = healthOf(m_Fleet, Where.m_Target)->m_State;
    RC_ASSERT(Probe == (State == HealthState::Probing));
    RC_ASSERT(State != HealthState::Ejected);
  }

  Choice &pickOpen(int Which) {
    return m_Open[static_cast<std::size_t>(Which) % m_Open.size()];
  }

  void advance(int Which) {
    if (m_Open.empty())
      return;
    Choice &Made = pickOpen(Which);
    recordStarted(m_Fleet, Made.m_Try, m_Now);
    if (Made.m_Prefill && Which % 2 == 0) {
      recordPrefilled(m_Fleet, Made.m_Try, m_Now);
      Made.m_Prefill.reset();
    }
    if (Which % 3 == 0)
      recordFirstToken(m_Fleet, Made.m_Try, m_Now);
    if (Which % 3 == 0)
      Made.m_Prefill.reset();
    recordProgress(m_Fleet, Made.m_Try, 20, m_Now);
  }

  void end(int Which) {
    if (m_Open.empty())
      return;
    std::swap(pickOpen(Which), m_Open.back());
    const auto Outcome = static_cast<TryOutcome>(Which % 7);
    recordEnded(m_Fleet, m_Open.back().m_Try, Outcome, m_Now, Which % 2 == 0);
    m_Open.pop_back();
  }

  State m_Fleet;
  Random m_Rng;
  TimePoint m_Now = at(0s);
  std::map<TargetId, Target> m_Described;
  std::vector<Choice> m_Open;
};

} // namespace

TEST_CASE("every choice is allowed, and work is counted without loss") {
  for (Policy How : {Policy::RoundRobin, Policy::LeastReportedLoad,
                     Policy::AffinityAndWork}) {
    CHECK(rc::check([How](std::uint64_t Seed) {
      const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 800), rc::gen::inRange(0, 5000)));
      Machine Runner(How, Seed);
      for (const auto &[What, Which] : Steps) {
        Runner.step(What, Which);
        Runner.check();
      }
      Runner.endAll();
    }));
  }
}
