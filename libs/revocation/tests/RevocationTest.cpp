#include "revocation/revocation.h"

#include <catch2/catch.hpp>
#include <deque>
#include <set>
#include <tuple>
#include <vector>

using namespace wasabivale;
using namespace wasabivale::revocation;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Offset) { return TimePoint(1000s) + Offset; }

} // namespace

SCENARIO("an entry accepts keys for as long as they are confirmed") {
  State Entry;
  Entry.m_Bound = 5s;
  GIVEN("a process that has just started") {
    THEN("it accepts none") { CHECK_FALSE(acceptsKeys(Entry, at(0s))); }
  }
  GIVEN("a grant that says it has the newest routes") {
    recordGrant(Entry, {at(0s), 3}, 3);
    THEN("it accepts keys for most of the bound after its report") {
      CHECK(acceptsKeys(Entry, at(4400ms)));
      CHECK_FALSE(acceptsKeys(Entry, at(4500ms)));
    }
    WHEN("a later grant names routes that it has not applied") {
      recordGrant(Entry, {at(3s), 4}, 3);
      THEN("that confirms nothing, and a key may be new") {
        CHECK_FALSE(acceptsKeys(Entry, at(4500ms)));
        CHECK(acceptsKeys(Entry, at(4400ms)));
        CHECK_FALSE(knowsAllKeys(Entry, at(4400ms)));
      }
      AND_WHEN("it has applied them") {
        recordGrant(Entry, {at(4s), 4}, 4);
        THEN("they are confirmed from that report on") {
          CHECK(acceptsKeys(Entry, at(8400ms)));
          CHECK_FALSE(acceptsKeys(Entry, at(8500ms)));
        }
      }
    }
    WHEN("an earlier grant arrives late") {
      recordGrant(Entry, {at(-3s), 3}, 3);
      THEN("it takes nothing back") { CHECK(acceptsKeys(Entry, at(4400ms))); }
    }
  }
  GIVEN("a leader that does not tell versions") {
    recordGrant(Entry, {at(0s), 0}, 3);
    THEN("that confirms nothing") { CHECK_FALSE(acceptsKeys(Entry, at(0s))); }
  }
  GIVEN("a deployment without a bound") {
    Entry.m_Bound.reset();
    THEN("keys are accepted at any time") {
      CHECK(acceptsKeys(Entry, at(24h)));
    }
  }
}

namespace {

/// One entry and one removal of a key, in steps of a second. Messages may be
/// lost and delayed for any time, and the entry may start again at any moment.
/// Whoever grants holds the leader's lease, and so knows what is committed.
struct World {
  static constexpr int Bound = 3;
  static constexpr int Removed = 2; ///< Version without the key.

  int m_Now = 0;
  int m_Committed = 1;
  int m_RemovedAt = -1; ///< Acknowledgement of that version.
  int m_Applied = 1;
  int m_ConfirmedAt = -1;
  std::deque<int> m_Reports;                ///< Send times on their way.
  std::deque<std::pair<int, int>> m_Grants; ///< Send time, version.
  std::deque<int> m_Updates;                ///< Versions on their way.

  auto key() const {
    return std::tuple(m_Now, m_Committed, m_RemovedAt, m_Applied, m_ConfirmedAt,
                      m_Reports, m_Grants, m_Updates);
  }
};

enum class Step {
  Tick,
  Remove,
  Report,
  Answer,
  Grant,
  Update,
  Apply,
  Restart,
  LoseReport,
  LoseGrant
};

/// \param ConfirmsAtArrival a fault: the confirmation counts from the arrival
/// of the grant. \param IgnoresVersion a fault: any grant confirms.
bool take(World &Now, Step Next, bool ConfirmsAtArrival, bool IgnoresVersion) {
  constexpr std::size_t MaxOnTheWay = 1; // Losses and delays reorder enough.
  switch (Next) {
  case Step::Tick:
    ++Now.m_Now;
    return Now.m_Now <= 8;
  case Step::Remove:
    if (Now.m_Committed == World::Removed)
      return false;
    Now.m_Committed = World::Removed;
    Now.m_RemovedAt = Now.m_Now;
    return true;
  case Step::Report:
    if (Now.m_Reports.size() == MaxOnTheWay)
      return false;
    Now.m_Reports.push_back(Now.m_Now);
    return true;
  case Step::Answer: // By whoever holds the lease: it knows what is committed.
    if (Now.m_Reports.empty() || Now.m_Grants.size() == MaxOnTheWay)
      return false;
    Now.m_Grants.emplace_back(Now.m_Reports.front(), Now.m_Committed);
    Now.m_Reports.pop_front();
    return true;
  case Step::Grant: {
    if (Now.m_Grants.empty())
      return false;
    const auto [SentAt, Version] = Now.m_Grants.front();
    Now.m_Grants.pop_front();
    State Entry;
    Entry.m_Bound = std::chrono::seconds(World::Bound);
    if (Now.m_ConfirmedAt >= 0)
      Entry.m_ConfirmedAt = at(std::chrono::seconds(Now.m_ConfirmedAt));
    recordGrant(
        Entry,
        {at(std::chrono::seconds(ConfirmsAtArrival ? Now.m_Now : SentAt)),
         std::uint64_t(IgnoresVersion ? 1 : Version)},
        std::uint64_t(Now.m_Applied));
    if (Entry.m_ConfirmedAt)
      Now.m_ConfirmedAt =
          static_cast<int>(std::chrono::floor<std::chrono::seconds>(
                               *Entry.m_ConfirmedAt - at(0s))
                               .count());
    return true;
  }
  case Step::Update:
    if (Now.m_Updates.size() == MaxOnTheWay)
      return false;
    Now.m_Updates.push_back(Now.m_Committed);
    return true;
  case Step::Apply:
    if (Now.m_Updates.empty())
      return false;
    Now.m_Applied = std::max(Now.m_Applied, Now.m_Updates.front());
    Now.m_Updates.pop_front();
    return true;
  case Step::Restart: // Routes come anew, from an update that may be old.
    Now.m_ConfirmedAt = -1;
    Now.m_Applied = 1;
    Now.m_Reports.clear();
    Now.m_Grants.clear();
    return true;
  case Step::LoseReport:
    if (Now.m_Reports.empty())
      return false;
    Now.m_Reports.pop_front();
    return true;
  case Step::LoseGrant:
    if (Now.m_Grants.empty())
      return false;
    Now.m_Grants.pop_front();
    return true;
  }
  return false;
}

bool acceptsRemovedKey(const World &Now) {
  if (Now.m_RemovedAt < 0 || Now.m_Applied >= World::Removed ||
      Now.m_Now <= Now.m_RemovedAt + World::Bound)
    return false;
  State Entry;
  Entry.m_Bound = std::chrono::seconds(World::Bound);
  if (Now.m_ConfirmedAt >= 0)
    Entry.m_ConfirmedAt = at(std::chrono::seconds(Now.m_ConfirmedAt));
  return acceptsKeys(Entry, at(std::chrono::seconds(Now.m_Now)));
}

/// \returns the states that were seen, and whether one of them accepts a key
/// that was removed longer than the bound ago.
std::pair<std::size_t, bool> explore(bool ConfirmsAtArrival,
                                     bool IgnoresVersion) {
  std::set<decltype(World{}.key())> Seen;
  std::vector<World> Open{World{}};
  Seen.insert(Open.front().key());
  bool Found = false;
  while (!Open.empty()) {
    const World Now = Open.back();
    Open.pop_back();
    Found = Found || acceptsRemovedKey(Now);
    for (int I = 0; I <= static_cast<int>(Step::LoseGrant); ++I) {
      World Next = Now;
      if (take(Next, static_cast<Step>(I), ConfirmsAtArrival, IgnoresVersion) &&
          Seen.insert(Next.key()).second)
        Open.push_back(Next);
    }
  }
  return {Seen.size(), Found};
}

} // namespace

SCENARIO("no order of losses, delays and restarts lets a removed key run") {
  const auto [States, Found] = explore(false, false);
  CHECK(States > 10'000);
  CHECK_FALSE(Found);
  THEN("the check finds a confirmation that counts from the grant's arrival") {
    CHECK(explore(true, false).second);
  }
  THEN("the check finds a confirmation of routes that are not the newest") {
    CHECK(explore(false, true).second);
  }
}
