// Self-managed targets, and routes.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

namespace {

struct SelfManagedFixture {
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
    wire::Target &Announcement =
        *Next.mutable_announce_target()->mutable_target();
    Announcement.set_id(Id);
    Announcement.set_incarnation(Id + '@' + std::to_string(Started));
    Announcement.set_address(Address);
    Announcement.set_kind("engine");
    Announcement.set_role(Role);
    Announcement.add_models("llm");
    Announcement.set_max_running(64);
    Announcement.set_started_ms(Started);
    Announcement.set_self_managed(true);
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

TEST_CASE("a self-managed target serves at once") {
  SelfManagedFixture Fleet;
  REQUIRE_FALSE(Fleet.announce("i-1", 100).m_Refusal);
  CHECK(Fleet.state("i-1") == TargetState::Serving);
  SECTION("after leaving it gets no order and does not return") {
    REQUIRE_FALSE(Fleet.leave("i-1", 100).m_Refusal);
    CHECK(Fleet.state("i-1") == TargetState::Leaving);
    ObservedState Observed;
    Observed.m_ReceivesTargetReports = true;
    CHECK(dueActions(Fleet.m_State, Observed, TimePoint(std::chrono::hours(1)),
                     {})
              .empty());
    SECTION("a delayed announcement changes nothing") {
      CHECK_FALSE(Fleet.announce("i-1", 100).m_Refusal);
      CHECK(Fleet.state("i-1") == TargetState::Leaving);
    }
    SECTION("a restart returns it to service") {
      CHECK_FALSE(Fleet.announce("i-1", 200).m_Refusal);
      CHECK(Fleet.state("i-1") == TargetState::Serving);
    }
  }
  SECTION("an entry reports that its answers say it leaves") {
    const auto Due = [&](const std::string &Incarnation,
                         const std::string &Id = "i-1") {
      wire::EntryReport Report;
      Report.add_leaving_targets()->set_target(Id);
      Report.mutable_leaving_targets(0)->set_incarnation(Incarnation);
      return proposeLeaves(Fleet.m_State, Report);
    };
    SECTION("it is closed for all entries, and a later report does nothing") {
      const std::vector<Propose> Proposals = Due("i-1@100");
      REQUIRE(Proposals.size() == 1);
      CHECK(Proposals.front().m_Key == Due("i-1@100").front().m_Key);
      CHECK_FALSE(Fleet.apply(Proposals.front().m_Command).m_Refusal);
      CHECK(Fleet.state("i-1") == TargetState::Leaving);
      CHECK(Due("i-1@100").empty());
    }
    SECTION("a report on another incarnation or target does nothing") {
      CHECK(Due("i-1@99").empty());
      CHECK(Due("i-1@100", "i-2").empty());
    }
    SECTION("a report does not end the next incarnation") {
      const std::vector<Propose> Late = Due("i-1@100");
      REQUIRE_FALSE(Fleet.announce("i-1", 200).m_Refusal);
      REQUIRE(Late.size() == 1);
      CHECK(Fleet.apply(Late.front().m_Command).m_Refusal);
      CHECK(Fleet.state("i-1") == TargetState::Serving);
    }
  }
  SECTION("a later start at its address replaces it") {
    REQUIRE_FALSE(Fleet.announce("i-2", 150).m_Refusal);
    CHECK(Fleet.state("i-1") == TargetState::Lost);
    CHECK(Fleet.state("i-2") == TargetState::Serving);
    SECTION("a delayed announcement does not reclaim the address") {
      CHECK(Fleet.announce("i-1", 100).m_Refusal == Refusal::AddressInUse);
      CHECK(Fleet.state("i-2") == TargetState::Serving);
    }
  }
  SECTION("an earlier start at its address is refused") {
    CHECK(Fleet.announce("i-0", 50).m_Refusal == Refusal::AddressInUse);
  }
  SECTION("an announcement of its earlier start is refused") {
    CHECK(Fleet.announce("i-1", 99).m_Refusal == Refusal::StaleIncarnation);
  }
  SECTION("it announces a change of its role") {
    const std::uint64_t Generation = Fleet.target("i-1").m_Generation;
    REQUIRE_FALSE(
        Fleet.announce("i-1", 100, "10.0.0.1:80", "prefill").m_Refusal);
    CHECK(Fleet.target("i-1").m_Role == "prefill");
    CHECK(Fleet.target("i-1").m_Generation == Generation);
  }
}

TEST_CASE("a target is out of service while its role changes") {
  SelfManagedFixture Fleet;
  REQUIRE_FALSE(Fleet.announce("i-1", 100).m_Refusal);
  const std::uint64_t Before = Fleet.target("i-1").m_Generation;
  REQUIRE_FALSE(Fleet.hold("i-1", 100, true).m_Refusal);
  CHECK(Fleet.state("i-1") == TargetState::Draining);
  CHECK(Fleet.target("i-1").m_Generation > Before);
  SECTION(
      "it is closed once all entries have acknowledged the new generation") {
    ObservedState Observed;
    wire::EntryReport Report;
    const TimePoint Now(std::chrono::seconds(9));
    recordEntryReport(Observed, {"e-1"}, 1, Report, Now,
                      Now + std::chrono::seconds(2));
    CHECK_FALSE(isClosedAtAllEntries(Observed, Fleet.target("i-1"), Now));
    wire::BarrierState &Barrier = *Report.add_barriers();
    Barrier.set_target("i-1");
    Barrier.set_generation(Fleet.target("i-1").m_Generation);
    Barrier.set_in_flight(3);
    recordEntryReport(Observed, {"e-1"}, 1, Report, Now,
                      Now + std::chrono::seconds(2));
    CHECK(isClosedAtAllEntries(Observed, Fleet.target("i-1"), Now));
    SECTION("a leader that may not know all entries yet does not report it "
            "closed") {
      Observed.m_CompleteAt = Now + std::chrono::seconds(1);
      CHECK_FALSE(isClosedAtAllEntries(Observed, Fleet.target("i-1"), Now));
    }
    SECTION("an entry that stops is waited for until its last report, not "
            "until its lease ends") {
      recordEntryReport(Observed, {"e-2"}, 1, {}, Now,
                        Now + std::chrono::seconds(2));
      REQUIRE_FALSE(isClosedAtAllEntries(Observed, Fleet.target("i-1"), Now));
      wire::EntryReport Last;
      Last.set_last(true);
      recordEntryReport(Observed, {"e-2"}, 1, Last, Now,
                        Now + std::chrono::seconds(2));
      CHECK(isClosedAtAllEntries(Observed, Fleet.target("i-1"), Now));
    }
    SECTION("the last report of a former process says nothing of the present "
            "one") {
      recordEntryReport(Observed, {"e-2"}, 2, {}, Now,
                        Now + std::chrono::seconds(2));
      wire::EntryReport Last;
      Last.set_last(true);
      recordEntryReport(Observed, {"e-2"}, 1, Last, Now,
                        Now + std::chrono::seconds(2));
      CHECK_FALSE(isClosedAtAllEntries(Observed, Fleet.target("i-1"), Now));
    }
    SECTION("an entry with an expired lease is not waited for") {
      recordEntryReport(Observed, {"e-2"}, 1, {}, Now,
                        Now + std::chrono::seconds(2));
      CHECK_FALSE(isClosedAtAllEntries(Observed, Fleet.target("i-1"), Now));
      CHECK(isClosedAtAllEntries(Observed, Fleet.target("i-1"),
                                 Now + std::chrono::seconds(3)));
    }
  }
  SECTION("it returns to service") {
    REQUIRE_FALSE(Fleet.hold("i-1", 100, false, "prefill").m_Refusal);
    CHECK(Fleet.state("i-1") == TargetState::Serving);
    CHECK(Fleet.target("i-1").m_Role == "prefill");
  }
  SECTION("it does not return to service if it leaves during the change") {
    REQUIRE_FALSE(Fleet.leave("i-1", 100).m_Refusal);
    REQUIRE_FALSE(Fleet.hold("i-1", 100, false).m_Refusal);
    CHECK(Fleet.state("i-1") == TargetState::Leaving);
  }
  SECTION("a restart ends the hold") {
    REQUIRE_FALSE(Fleet.announce("i-1", 200).m_Refusal);
    CHECK(Fleet.state("i-1") == TargetState::Serving);
    CHECK(Fleet.hold("i-1", 100, true).m_Refusal == Refusal::StaleIncarnation);
  }
  SECTION("the hold is part of the snapshot") {
    const Result<State> Restored = restore(snapshot(Fleet.m_State));
    REQUIRE_FALSE(failed(Restored));
    CHECK(snapshot(valueOf(Restored)) == snapshot(Fleet.m_State));
    CHECK(valueOf(Restored).m_Targets.m_ById.at({"i-1"}).m_Held);
  }
}

TEST_CASE("a silent target is lost unless most targets are silent") {
  SelfManagedFixture Fleet;
  ObservedState Observed;
  Observed.m_ReceivesTargetReports = true;
  const TimePoint Now(std::chrono::seconds(100));
  for (int I = 1; I <= 4; ++I) {
    const std::string Id = "i-" + std::to_string(I);
    REQUIRE_FALSE(Fleet.announce(Id, 100, "10.0.0." + std::to_string(I) + ":80")
                      .m_Refusal);
    recordTargetSeen(Observed, {Id}, Id + "@100", Now);
  }
  const auto LossCount = [&] {
    return dueActions(Fleet.m_State, Observed, Now, {}).size();
  };
  CHECK(LossCount() == 0);
  recordTargetSeen(Observed, {"i-1"}, "i-1@100", Now - std::chrono::seconds(8));
  CHECK(LossCount() == 1);
  recordTargetSeen(Observed, {"i-2"}, "i-2@100", Now - std::chrono::seconds(8));
  CHECK(LossCount() == 2);
  recordTargetSeen(Observed, {"i-3"}, "i-3@100", Now - std::chrono::seconds(8));
  CHECK(LossCount() == 0);
}

TEST_CASE("the highest version of the routes is kept") {
  SelfManagedFixture Fleet;
  const auto Put = [&](std::uint64_t Version, const std::string &Source) {
    wire::Command Next;
    Next.mutable_put_routes()->mutable_table()->set_version(Version);
    Next.mutable_put_routes()->set_source(Source);
    return Fleet.apply(Next);
  };
  REQUIRE_FALSE(Put(7, "seven").m_Refusal);
  SECTION("a lower version is treated as a resend and changes nothing") {
    CHECK_FALSE(Put(5, "five").m_Refusal);
    CHECK(Fleet.m_State.m_Routes.m_Source == "seven");
  }
  SECTION("other content under the same version changes nothing") {
    CHECK_FALSE(Put(7, "other").m_Refusal);
    CHECK(Fleet.m_State.m_Routes.m_Source == "seven");
  }
  SECTION("entries receive a version once") {
    CHECK(updateSince(Fleet.m_State, 0, 0, 0).has_routes());
    CHECK_FALSE(updateSince(Fleet.m_State, 0, 0, 7).has_routes());
    REQUIRE_FALSE(Put(9, "nine").m_Refusal);
    CHECK(updateSince(Fleet.m_State, 0, 0, 7).routes().version() == 9);
  }
}
