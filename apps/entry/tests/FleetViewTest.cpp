// What an entry knows of targets.

#include "FleetView.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace wasabivale::entry::test {

namespace {

struct View {
  routing::State m_Routing;
  routes::Table m_Routes;
  FleetView m_Fleet;
  std::uint64_t m_Revision = 0;

  void tell(const std::string &Id, int Port, const std::string &State) {
    wire::FleetUpdate Update;
    Update.set_from_revision(++m_Revision);
    wire::Target &Target = *Update.add_targets();
    Target.set_id(Id);
    Target.set_incarnation(Id);
    Target.set_address(fmt::format("10.0.0.1:{}", Port));
    Target.set_kind("service");
    Target.add_models("desk");
    Target.set_state(State);
    Target.set_max_running(6);
    Target.set_self_managed(true);
    m_Fleet.apply(Update, m_Routes, m_Routing, TimePoint());
  }
};

} // namespace

SCENARIO("requests of a suspect route keep to one address while its target "
         "restarts") {
  View On;
  for (int Port = 1; Port <= 3; ++Port)
    On.tell(fmt::format("i-{}", Port), Port, "serving");
  const FleetView::Isolation First = On.m_Fleet.isolation("desk");
  REQUIRE(First.m_IsUsed);
  REQUIRE_FALSE(First.m_Target.empty());
  const int Port = First.m_Target.m_Value.back() - '0';
  WHEN("its target is lost") {
    On.tell(First.m_Target.m_Value, Port, "lost");
    THEN("no other target takes them") {
      CHECK(On.m_Fleet.isolation("desk").m_IsUsed);
      CHECK(On.m_Fleet.isolation("desk").m_Target.empty());
    }
    AND_WHEN("another process starts at the address") {
      On.tell("i-9", Port, "serving");
      THEN("that one does") {
        CHECK(On.m_Fleet.isolation("desk").m_Target.m_Value == "i-9");
      }
    }
  }
  WHEN("its target drains") {
    On.tell(First.m_Target.m_Value, Port, "draining");
    THEN("another takes them") {
      const FleetView::Isolation Next = On.m_Fleet.isolation("desk");
      CHECK_FALSE(Next.m_Target.empty());
      CHECK(Next.m_Target != First.m_Target);
    }
  }
  WHEN("a service has one target only") {
    View One;
    One.tell("i-1", 1, "serving");
    THEN("nothing is isolated") {
      CHECK_FALSE(One.m_Fleet.isolation("desk").m_IsUsed);
    }
  }
}

} // namespace wasabivale::entry::test
