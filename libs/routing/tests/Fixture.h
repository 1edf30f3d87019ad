// Builders shared by the tests of this library.

#ifndef WASABIVALE_ROUTING_TESTS_FIXTURE_H
#define WASABIVALE_ROUTING_TESTS_FIXTURE_H

#include "routing/routing.h"

namespace wasabivale::routing::test {

using namespace std::chrono_literals;

inline const ModelId Gourd{"gourd-8b"};

inline TimePoint at(Duration Offset) { return TimePoint(1000s) + Offset; }

inline Target makeEngine(int Number, std::string Zone = "attiki-1",
                         Role EngineRole = Role::Mixed) {
  Target Engine;
  Engine.m_Id = {"engine-" + std::to_string(Number)};
  Engine.m_Incarnation = "first";
  Engine.m_Zone = {std::move(Zone)};
  Engine.m_Region = {"attiki"};
  Engine.m_Models = {Gourd};
  Engine.m_Role = EngineRole;
  Engine.m_KvBlocks = 2048;
  Engine.m_MaxRunning = 32;
  Engine.m_Serving = true;
  return Engine;
}

inline State makeFleet(int Count,
                       Policy SelectionPolicy = Policy::AffinityAndWork) {
  State Fleet;
  Fleet.m_Settings.m_Policy = SelectionPolicy;
  Fleet.m_Settings.m_Zone = {"attiki-1"};
  Fleet.m_Settings.m_Region = {"attiki"};
  for (int I = 0; I < Count; ++I) {
    const int Zone = I % 3 + 1;
    updateTarget(Fleet, makeEngine(I, "attiki-" + std::to_string(Zone)),
                 at(-60s));
  }
  return Fleet;
}

inline Request makeRequest(std::uint32_t PromptTokens = 1024,
                           std::uint32_t OutputTokens = 50) {
  Request Req;
  Req.m_Model = Gourd;
  Req.m_PromptTokens = PromptTokens;
  Req.m_ExpectedOutputTokens = OutputTokens;
  return Req;
}

/// Chooses, starts and ends a try at once.
inline Choice run(State &Fleet, const Request &Req, TryOutcome Outcome,
                  TimePoint Now, Random &Rng) {
  Choice Decision = valueOf(choose(Fleet, Req, Now, Rng));
  recordStarted(Fleet, Decision.m_Try, Now);
  recordEnded(Fleet, Decision.m_Try, Outcome, Now);
  return Decision;
}

} // namespace wasabivale::routing::test

#endif // WASABIVALE_ROUTING_TESTS_FIXTURE_H
