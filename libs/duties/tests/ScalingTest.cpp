#include "duties/duties.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::duties;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Offset) { return TimePoint(1000s) + Offset; }

const ZoneId Zone{"attiki-a"};

/// A platform that carries out orders after the boot time.
struct Platform {
  routes::Scaling m_Bounds{1, 94, 4s, 0.18, {{"attiki-a", 1.0}}};
  ScalingState m_State;
  ZoneTargets m_Targets{40, 0};
  TimePoint m_Now = at(0s);
  bool m_HasReclaimable = true;
  int m_Calls = 0;
  std::vector<ScaleOrder> m_Carried; ///< Take effect at `m_EffectAt`.
  std::vector<TimePoint> m_EffectAt;

  void turn(Duration Time) {
    for (const TimePoint End = m_Now + Time; m_Now < End; m_Now += 100ms) {
      for (std::size_t I = 0; I < m_Carried.size(); ++I)
        if (m_EffectAt[I] == m_Now)
          (m_Carried[I].m_Reclaimable ? m_Targets.m_Reclaimable
                                      : m_Targets.m_Usual) =
              m_Carried[I].m_Count;
      for (const ScaleOrder &Due :
           dueOrders(m_State, "llm", m_Bounds, {{Zone, m_Targets}}, m_Now)) {
        ++m_Calls;
        recordSent(m_State, Due, m_Now);
        const bool Has = !Due.m_Reclaimable || m_HasReclaimable;
        recordAnswer(m_State, Due,
                     Has ? ScaleAnswer::Accepted : ScaleAnswer::Unavailable,
                     m_Bounds, m_Now);
        if (!Has)
          continue;
        const std::uint32_t Current =
            Due.m_Reclaimable ? m_Targets.m_Reclaimable : m_Targets.m_Usual;
        m_Carried.push_back(Due);
        m_EffectAt.push_back(
            m_Now + (Due.m_Count > Current ? Duration(4s) : Duration(100ms)));
      }
      CHECK(m_Targets.total() >= 1);
      CHECK(m_Targets.total() <= m_Bounds.m_Max);
    }
  }
};

} // namespace

SCENARIO("cheaper targets that may be reclaimed replace the usual ones") {
  Platform Around;
  GIVEN("a zone with enough of them") {
    Around.turn(10s);
    THEN("none is given up before its successor serves") {
      CHECK(Around.m_Targets.m_Reclaimable == 40);
      CHECK(Around.m_Targets.m_Usual == 0);
      CHECK(Around.m_Calls == 2);
      AND_THEN("no further order is sent while nothing changes") {
        Around.turn(60s);
        CHECK(Around.m_Calls == 2);
      }
    }
    WHEN("all of them are taken away, and there are no others") {
      Around.m_HasReclaimable = false;
      Around.m_Targets = {1, 0};
      Around.turn(300ms);
      THEN("usual ones are ordered at once") {
        REQUIRE(Around.m_Carried.back().m_Count == 40);
        CHECK_FALSE(Around.m_Carried.back().m_Reclaimable);
        Around.turn(6s);
        CHECK(Around.m_Targets.m_Usual == 40);
        AND_WHEN("they come back") {
          Around.m_HasReclaimable = true;
          Around.turn(30s);
          THEN("they replace the usual ones again") {
            CHECK(Around.m_Targets.m_Reclaimable == 40);
            CHECK(Around.m_Targets.m_Usual == 0);
          }
        }
      }
    }
  }
  GIVEN("none at all") {
    Around.m_HasReclaimable = false;
    Around.turn(60s);
    THEN("the zone keeps its targets, and few calls are made") {
      CHECK(Around.m_Targets.m_Usual == 40);
      CHECK(Around.m_Calls <= 12);
    }
  }
  GIVEN("a bound that has no room for both kinds") {
    Around.m_Bounds.m_Max = 50;
    Around.turn(60s);
    THEN("they are replaced in steps") {
      CHECK(Around.m_Targets.m_Reclaimable == 40);
      CHECK(Around.m_Targets.m_Usual == 0);
    }
  }
  GIVEN("a service whose targets are not cheaper when reclaimable") {
    Around.m_Bounds.m_ReclaimablePrice = 0;
    Around.turn(20s);
    THEN("nothing is ordered") { CHECK(Around.m_Calls == 0); }
  }
}

SCENARIO("a new leader goes on from the orders of the former one") {
  Platform Around;
  Around.m_Targets = {0, 40};
  adoptOrder(Around.m_State, {"llm", Zone, true, 40});
  adoptOrder(Around.m_State, {"llm", Zone, false, 0});
  Around.turn(20s);
  THEN("it orders nothing anew") { CHECK(Around.m_Calls == 0); }
  WHEN("targets were lost meanwhile") {
    Around.m_Targets = {0, 30};
    Around.turn(10s);
    THEN("their number is restored") { CHECK(Around.m_Targets.total() == 40); }
  }
}

SCENARIO("a leader that follows in the middle of a replacement keeps all "
         "targets") {
  Platform Around;
  Around.m_Bounds.m_Max = 50;
  Around.turn(5s);
  REQUIRE_FALSE(Around.m_Carried.empty());
  const ScalingState Former = std::exchange(Around.m_State, {});
  for (const auto &[Where, Known] : Former.m_Zones) {
    if (Known.m_Reclaimable.m_Count)
      adoptOrder(Around.m_State, {Where.first, Where.second, true,
                                  *Known.m_Reclaimable.m_Count});
    if (Known.m_Usual.m_Count)
      adoptOrder(Around.m_State,
                 {Where.first, Where.second, false, *Known.m_Usual.m_Count});
  }
  Around.turn(80s);
  CHECK(Around.m_Targets.total() >= 40);
}

SCENARIO("an order whose fate is not known is sent again as it was") {
  ScalingState State;
  const routes::Scaling Bounds{1, 94, 4s, 0.18, {}};
  const std::map<ZoneId, ZoneTargets> Zones{{Zone, {40, 0}}};
  dueOrders(State, "llm", Bounds, Zones, at(0s));
  const auto First = dueOrders(State, "llm", Bounds, Zones, at(3s));
  REQUIRE(First.size() == 1);
  recordSent(State, First[0], at(3s));
  CHECK(dueOrders(State, "llm", Bounds, Zones, at(4s)).empty());
  recordAnswer(State, First[0], ScaleAnswer::Unclear, Bounds, at(4s));
  CHECK(dueOrders(State, "llm", Bounds, Zones, at(5s)).empty());
  CHECK(dueOrders(State, "llm", Bounds, Zones, at(6s)) == First);
}
