// Builders shared by the tests of this library.

#ifndef WASABIVALE_ROUTING_TESTS_FIXTURE_H
#define WASABIVALE_ROUTING_TESTS_FIXTURE_H

#include "routing/routing.h"

namespace wasabivale::routing::test {

using namespace std::chrono_literals;

inline const ModelId Gourd{"gourd-8b"};

inline TimePoint at(Duration Since) { return TimePoint(1000s) + Since; }

inline Target engine(int Number, std::string Zone = "attiki-1",
                     Role As = Role::Mixed) {
  Target Made;
  Made.m_Id = {"engine-" + std::to_string(Number)};
  Made.m_Incarnation = "first";
  Made.m_Zone = {std::move(Zone)};
  Made.m_Region = {"attiki"};
  Made.m_Models = {Gourd};
  Made.m_Role = As;
  Made.m_KvBlocks = 2048;
  Made.m_MaxRunning = 32;
  Made.m_Serving = true;
  return Made;
}

inline State fleetOf(int Count, Policy How = Policy::AffinityAndWork) {
  State Fleet;
  Fleet.m_Settings.m_Policy = How;
  Fleet.m_Settings.m_Zone = {"attiki-1"};
  Fleet.m_Settings.m_Region = {"attiki"};
  for (int I = 0; I < Count; ++I) {
    const int Zone = I % 3 + 1;
    updateTarget(Fleet, engine(I, "attiki-" + std::to_string(Zone)), at(-60s));
  }
  return Fleet;
}

inline Request question(std::uint32_t PromptTokens = 1024,
                        std::uint32_t OutputTokens = 50) {
  Request Wanted;
  Wanted.m_Model = Gourd;
  Wanted.m_PromptTokens = PromptTokens;
  Wanted.m_ExpectedOutputTokens = OutputTokens;
  return Wanted;
}

/// Chooses, starts and ends a try at once.
inline Choice run(State &Fleet, const Request &Wanted, TryOutcome Outcome,
                  TimePoint Now, Random &Rng) {
  Choice Made = valueOf(choose(Fleet, Wanted, Now, Rng));
  recordStarted(Fleet, Made.m_Try, Now);
  recordEnded(Fleet, Made.m_Try, Outcome, Now);
  return Made;
}

} // namespace wasabivale::routing::test

#endif // WASABIVALE_ROUTING_TESTS_FIXTURE_H
