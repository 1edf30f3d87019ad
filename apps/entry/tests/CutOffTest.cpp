// An entry that reaches none of its targets, on loopback.

#include "Shop.h"

#include <algorithm>

namespace wasabivale::entry::test {

namespace {

constexpr std::size_t TargetCount = 4;

/// Targets that hold every request, whose connections all end at once while new
/// ones are refused.
struct CutShop : Shop {
  CutShop() {
    open(std::vector<Play>(TargetCount, [](const Exchange &) {}));
  }

  void cut() {
    m_Held.clear();
    for (auto &Each : m_Targets)
      Each.reset();
  }
};

} // namespace

SCENARIO("an entry cut from all targets neither blames requests nor stays "
         "ready") {
  CutShop On;
  GIVEN("requests that wait at each target") {
    std::vector<std::shared_ptr<Answered>> Waiting;
    for (std::size_t I = 0; I < 2 * TargetCount; ++I)
      Waiting.push_back(On.start("GET", "/stock/7"));
    REQUIRE(
        On.m_Loop.until([&] { return On.m_Seen.size() == Waiting.size(); }));
    WHEN("all connections end, and new ones are refused") {
      On.cut();
      const TimePoint CutAt = BootClock::now();
      THEN("it is not ready within 1.5 s, and no target counts as crashed") {
        On.m_Loop.until([&] {
          return !On.m_Entry->notReady().empty() &&
                 On.m_Entry->notReady() != "no routes yet";
        });
        CHECK(On.m_Entry->notReady() == "no target can be reached");
        CHECK(BootClock::now() - CutAt < 1500ms);
        CHECK(On.m_Loop.until([&] {
          return std::all_of(Waiting.begin(), Waiting.end(),
                             [](const auto &Each) { return Each->m_Ended; });
        }));
        CHECK(On.m_Path->context().m_Traits.crashes() == 0);
      }
    }
  }
}

} // namespace wasabivale::entry::test
