#include "Commands.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::ledger;

namespace {

/// Small ranges, so that commands meet each other.
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

/// What a caller could know of a key since it was last free.
struct Watch {
  std::string m_Holder;
  std::optional<std::string> m_Answer;
};

using Watches = std::map<std::string, Watch>;

void observe(const State &Now, Watches &Watched) {
  for (auto &[Name, Seen] : Watched) {
    const Record *Known = find(Now, {{"shop"}, Name});
    if (Known == nullptr || Known->m_State == KeyState::Released) {
      Seen = {};
      continue;
    }
    if (Seen.m_Answer)
      RC_ASSERT(Known->m_Answer.m_Body == *Seen.m_Answer);
    if (Known->m_State == KeyState::Completed)
      Seen.m_Answer = Known->m_Answer.m_Body;
  }
}

} // namespace

TEST_CASE("no two attempts hold a key, and its answer never changes") {
  const bool Held = rc::check("at most one attempt", [] {
    State On;
    setLimits(On, {3, 8'000, 100, std::chrono::seconds(20)});
    Watches Watched;
    std::uint64_t Seconds = 1;
    const int Steps = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Steps; ++I) {
      Seconds += *rc::gen::inRange<std::uint64_t>(0, 8);
      apply(On, lookUp(Seconds, "none")); // lets keys expire
      observe(On, Watched);
      const wire::Command Next = anyCommand(Seconds);
      const Reply Out = apply(On, Next);
      if (Out.m_Answer.state() == "granted") {
        Watch &Seen = Watched[Next.begin_request().key()];
        RC_ASSERT(Seen.m_Holder.empty() ||
                  Seen.m_Holder == Next.begin_request().attempt());
        Seen.m_Holder = Next.begin_request().attempt();
      }
      observe(On, Watched);
      RC_ASSERT(On.m_Keys <= On.m_Limits.m_Keys);
      RC_ASSERT(On.m_Bytes <= On.m_Limits.m_Bytes);
      if (I % 16 == 0) {
        Result<State> Back = restore(snapshot(On));
        RC_ASSERT(!failed(Back));
        RC_ASSERT(snapshot(valueOf(Back)) == snapshot(On));
        On = valueOf(Back);
      }
    }
  });
  CHECK(Held);
}
