// Targets that start, leave and change their role by themselves, and routes.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

namespace {

struct Stage {
  State m_State;
  std::uint64_t m_LogTime = 1'000'000'000;

  Reply apply(wire::Command Next) {
    m_LogTime += 1'000'000;
    Next.set_log_time_ns(m_LogTime);
    return fleet::apply(m_State, Next);
  }

  Reply announce(const std::string &Id, std::uint64_t Started,
                 const std::string &Address = "10.0.0.1:80",
                 const std::string &Role = "decode") {
    wire::Command Next;
    wire::Target &Said = *Next.mutable_announce_target()->mutable_target();
    Said.set_id(Id);
    Said.set_incarnation(Id + '@' + std::to_string(Started));
    Said.set_address(Address);
    Said.set_kind("engine");
    Said.set_role(Role);
    Said.add_models("llm");
    Said.set_max_running(64);
    Said.set_started_ms(Started);
    Said.set_self_managed(true);
    return apply(Next);
  }

  Reply leave(const std::string &Id, std::uint64_t Started) {
    wire::Command Next;
    Next.mutable_leave_target()->set_target(Id);
    Next.mutable_leave_target()->set_incarnation(Id + '@' +
                                                 std::to_string(Started));
    return apply(Next);
  }

  Reply hold(const std::string &Id, std::uint64_t Started, bool Held,
             const std::string &Role = "") {
    wire::Command Next;
    Next.mutable_hold_target()->set_target(Id);
    Next.mutable_hold_target()->set_incarnation(Id + '@' +
                                                std::to_string(Started));
    Next.mutable_hold_target()->set_held(Held);
    Next.mutable_hold_target()->set_role(Role);
    return apply(Next);
  }

  [[nodiscard]] const Target &target(const std::string &Id) const {
    return m_State.m_Targets.m_ById.at({Id});
  }
  [[nodiscard]] TargetState state(const std::string &Id) const {
    return target(Id).m_State;
  }
};

} // namespace

TEST_CASE("a target that manages itself serves at once") {
  Stage On;
  REQUIRE_FALSE(On.announce("i-1", 100).m_Refusal);
  CHECK(On.state("i-1") == TargetState::Serving);
  SECTION("and once it leaves it gets no order and does not come back") {
    REQUIRE_FALSE(On.leave("i-1", 100).m_Refusal);
    CHECK(On.state("i-1") == TargetState::Leaving);
    Barriers Heard;
    Heard.m_HearsTargets = true;
    CHECK(due(On.m_State, Heard, TimePoint(std::chrono::hours(1)), {}).empty());
    SECTION("a late message of its own changes nothing") {
      CHECK_FALSE(On.announce("i-1", 100).m_Refusal);
      CHECK(On.state("i-1") == TargetState::Leaving);
    }
    SECTION("a new start does") {
      CHECK_FALSE(On.announce("i-1", 200).m_Refusal);
      CHECK(On.state("i-1") == TargetState::Serving);
    }
  }
  SECTION("a later start at its address takes its place") {
    REQUIRE_FALSE(On.announce("i-2", 150).m_Refusal);
    CHECK(On.state("i-1") == TargetState::Lost);
    CHECK(On.state("i-2") == TargetState::Serving);
    SECTION("and its message that was held up does not take it back") {
      CHECK(On.announce("i-1", 100).m_Refusal == Refusal::AddressInUse);
      CHECK(On.state("i-2") == TargetState::Serving);
    }
  }
  SECTION("an earlier start at its address is refused") {
    CHECK(On.announce("i-0", 50).m_Refusal == Refusal::AddressInUse);
  }
  SECTION("an earlier start of itself is refused") {
    CHECK(On.announce("i-1", 99).m_Refusal == Refusal::StaleIncarnation);
  }
  SECTION("it says itself when its role has changed") {
    const std::uint64_t Generation = On.target("i-1").m_Generation;
    REQUIRE_FALSE(On.announce("i-1", 100, "10.0.0.1:80", "prefill").m_Refusal);
    CHECK(On.target("i-1").m_Role == "prefill");
    CHECK(On.target("i-1").m_Generation == Generation);
  }
}

TEST_CASE("a target is held while its role changes") {
  Stage On;
  REQUIRE_FALSE(On.announce("i-1", 100).m_Refusal);
  const std::uint64_t Before = On.target("i-1").m_Generation;
  REQUIRE_FALSE(On.hold("i-1", 100, true).m_Refusal);
  CHECK(On.state("i-1") == TargetState::Draining);
  CHECK(On.target("i-1").m_Generation > Before);
  SECTION("no entry may send it anything until all have let it go") {
    Barriers Heard;
    wire::EntryReport Report;
    const TimePoint Now(std::chrono::seconds(9));
    takeReport(Heard, {"e-1"}, 1, Report, Now, Now + std::chrono::seconds(2));
    CHECK_FALSE(isClosedEverywhere(Heard, On.target("i-1"), Now));
    wire::BarrierState &Told = *Report.add_barriers();
    Told.set_target("i-1");
    Told.set_generation(On.target("i-1").m_Generation);
    Told.set_in_flight(3);
    takeReport(Heard, {"e-1"}, 1, Report, Now, Now + std::chrono::seconds(2));
    CHECK(isClosedEverywhere(Heard, On.target("i-1"), Now));
    SECTION("a leader that may not know all entries yet does not say so") {
      Heard.m_CompleteAt = Now + std::chrono::seconds(1);
      CHECK_FALSE(isClosedEverywhere(Heard, On.target("i-1"), Now));
    }
    SECTION("one whose lease has run out is not waited for") {
      takeReport(Heard, {"e-2"}, 1, {}, Now, Now + std::chrono::seconds(2));
      CHECK_FALSE(isClosedEverywhere(Heard, On.target("i-1"), Now));
      CHECK(isClosedEverywhere(Heard, On.target("i-1"),
                               Now + std::chrono::seconds(3)));
    }
  }
  SECTION("and is put back") {
    REQUIRE_FALSE(On.hold("i-1", 100, false, "prefill").m_Refusal);
    CHECK(On.state("i-1") == TargetState::Serving);
    CHECK(On.target("i-1").m_Role == "prefill");
  }
  SECTION("unless it leaves meanwhile") {
    REQUIRE_FALSE(On.leave("i-1", 100).m_Refusal);
    REQUIRE_FALSE(On.hold("i-1", 100, false).m_Refusal);
    CHECK(On.state("i-1") == TargetState::Leaving);
  }
  SECTION("a new start of it is not held") {
    REQUIRE_FALSE(On.announce("i-1", 200).m_Refusal);
    CHECK(On.state("i-1") == TargetState::Serving);
    CHECK(On.hold("i-1", 100, true).m_Refusal == Refusal::StaleIncarnation);
  }
  SECTION("all of it is in a snapshot") {
    const Result<State> Read = restore(snapshot(On.m_State));
    REQUIRE_FALSE(failed(Read));
    CHECK(snapshot(valueOf(Read)) == snapshot(On.m_State));
    CHECK(valueOf(Read).m_Targets.m_ById.at({"i-1"}).m_Held);
  }
}

TEST_CASE("silence of one target is its loss, of most a fault on the way") {
  Stage On;
  Barriers Heard;
  Heard.m_HearsTargets = true;
  const TimePoint Now(std::chrono::seconds(100));
  for (int I = 1; I <= 4; ++I) {
    const std::string Id = "i-" + std::to_string(I);
    REQUIRE_FALSE(
        On.announce(Id, 100, "10.0.0." + std::to_string(I) + ":80").m_Refusal);
    targetSeen(Heard, {Id}, Id + "@100", Now);
  }
  const auto Lost = [&] { return due(On.m_State, Heard, Now, {}).size(); };
  CHECK(Lost() == 0);
  targetSeen(Heard, {"i-1"}, "i-1@100", Now - std::chrono::seconds(8));
  CHECK(Lost() == 1);
  targetSeen(Heard, {"i-2"}, "i-2@100", Now - std::chrono::seconds(8));
  CHECK(Lost() == 2);
  targetSeen(Heard, {"i-3"}, "i-3@100", Now - std::chrono::seconds(8));
  CHECK(Lost() == 0);
}

TEST_CASE("the highest version of the routes wins") {
  Stage On;
  const auto Put = [&](std::uint64_t Version, const std::string &Source) {
    wire::Command Next;
    Next.mutable_put_routes()->mutable_table()->set_version(Version);
    Next.mutable_put_routes()->set_source(Source);
    return On.apply(Next);
  };
  REQUIRE_FALSE(Put(7, "seven").m_Refusal);
  SECTION("an earlier one is taken for a resend and changes nothing") {
    CHECK_FALSE(Put(5, "five").m_Refusal);
    CHECK(On.m_State.m_Routes.m_Source == "seven");
  }
  SECTION("so is other content under the version that is held") {
    CHECK_FALSE(Put(7, "other").m_Refusal);
    CHECK(On.m_State.m_Routes.m_Source == "seven");
  }
  SECTION("entries are told once") {
    CHECK(updateSince(On.m_State, 0, 0, 0).has_routes());
    CHECK_FALSE(updateSince(On.m_State, 0, 0, 7).has_routes());
    REQUIRE_FALSE(Put(9, "nine").m_Refusal);
    CHECK(updateSince(On.m_State, 0, 0, 7).routes().version() == 9);
  }
}
