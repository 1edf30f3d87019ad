#include "Commands.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::ledger;

namespace {

/// Random command from small ranges, so that commands concern the same keys.
wire::Command anyCommand(std::uint64_t Seconds) {
  const std::string Key = "k" + std::to_string(*rc::gen::inRange(0, 4));
  const std::string Attempt = "a" + std::to_string(*rc::gen::inRange(0, 6));
  const auto Session = *rc::gen::inRange<std::uint64_t>(0, 4);
  switch (*rc::gen::inRange(0, 8)) {
  case 0:
    return finish(Seconds, Key, Attempt, "completed",
                  std::string(*rc::gen::inRange<std::size_t>(0, 200), 'x'));
  case 1:
    return finish(Seconds, Key, Attempt, "unknown");
  case 2:
    return release(Seconds, Key, Attempt);
  case 3:
    return entryGone(Seconds, Session);
  case 4:
    return resolve(Seconds, Key,
                   *rc::gen::inRange(0, 2) == 0 ? "completed" : "released");
  case 5:
    return lookUp(Seconds, Key);
  default:
    return begin(Seconds, Key, Attempt,
                 *rc::gen::inRange(0, 5) == 0 ? "other" : "d", Session);
  }
}

/// What a caller has observed of a key since it was last free.
struct Observation {
  std::string m_Holder;
  std::optional<std::string> m_Answer;
};

using Observations = std::map<std::string, Observation>;

void observe(const State &Ledger, Observations &Observed) {
  for (auto &[Name, Info] : Observed) {
    const Record *Current = find(Ledger, {{"shop"}, Name});
    if (Current == nullptr || Current->m_State == KeyState::Released) {
      Info = {};
      continue;
    }
    if (Info.m_Answer)
      RC_ASSERT(Current->m_Answer.m_Body == *Info.m_Answer);
    if (Current->m_State == KeyState::Completed)
      Info.m_Answer = Current->m_Answer.m_Body;
  }
}

} // namespace

TEST_CASE("no two attempts hold a key, and its answer never changes") {
  const bool Held = rc::check("at most one attempt", [] {
    State Ledger;
    setLimits(Ledger, {3, 8'000, 100, std::chrono::seconds(20)});
    Observations Observed;
    std::uint64_t Seconds = 1;
    const int Steps = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Steps; ++I) {
      Seconds += *rc::gen::inRange<std::uint64_t>(0, 8);
      apply(Ledger, lookUp(Seconds, "none")); // Expires keys.
      observe(Ledger, Observed);
      const wire::Command Next = anyCommand(Seconds);
      const Reply Response = apply(Ledger, Next);
      if (Response.m_Answer.state() == "granted") {
        Observation &Info = Observed[Next.begin_request().key()];
        RC_ASSERT(Info.m_Holder.empty() ||
                  Info.m_Holder == Next.begin_request().attempt());
        Info.m_Holder = Next.begin_request().attempt();
      }
      observe(Ledger, Observed);
      RC_ASSERT(Ledger.m_Keys <= Ledger.m_Limits.m_Keys);
      RC_ASSERT(Ledger.m_Bytes <= Ledger.m_Limits.m_Bytes);
      if (I % 16 == 0) {
        Result<State> Restored = restore(snapshot(Ledger));
        RC_ASSERT(!failed(Restored));
        RC_ASSERT(snapshot(valueOf(Restored)) == snapshot(Ledger));
        Ledger = valueOf(Restored);
      }
    }
  });
  CHECK(Held);
}
