#include "fleet/fleet.h"

#include "state.pb.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::fleet;

namespace {

struct Fixture {
  State m_State;
  LogTime m_Now{std::chrono::hours(1)};

  Reply apply(wire::Command Next) {
    Next.set_log_time_ns(nanosecondsOf(m_Now));
    return fleet::apply(m_State, Next);
  }

  Reply announce(const std::string &Id, const std::string &Version,
                 std::uint64_t Started = 1) {
    wire::Command Next;
    wire::Target &Target = *Next.mutable_announce_target()->mutable_target();
    Target.set_id(Id);
    Target.set_incarnation(Id + '@' + std::to_string(Started));
    Target.set_address("10.0.0.1:" + Id);
    Target.set_kind("engine");
    Target.set_role("decode");
    Target.add_models("llm");
    Target.set_started_ms(Started);
    Target.set_self_managed(true);
    Target.set_software_version(Version);
    return apply(Next);
  }

  Reply lose(const std::string &Id, std::uint64_t Started = 1) {
    wire::Command Next;
    Next.mutable_lose_target()->set_target(Id);
    Next.mutable_lose_target()->set_incarnation(Id + '@' +
                                                std::to_string(Started));
    return apply(Next);
  }

  Reply record(std::uint64_t Stream, const std::string &Version) {
    wire::Command Next;
    wire::StreamVersions &Report = *Next.mutable_stream_versions();
    Report.add_versions(hashBytes(Version));
    Report.add_streams(Stream);
    Report.add_version_indices(0);
    return apply(Next);
  }

  Reply release(std::uint64_t Stream) {
    wire::Command Next;
    Next.mutable_stream_versions()->add_released(Stream);
    return apply(Next);
  }

  /// Any command lets log time go on.
  void pass(std::chrono::seconds Span) {
    m_Now += Span;
    apply({});
  }

  [[nodiscard]] std::optional<std::uint64_t> find(std::uint64_t Stream) const {
    wire::StreamLookUp Query;
    Query.set_service("llm");
    Query.set_stream(Stream);
    return findStreamVersion(m_State, Query);
  }

  [[nodiscard]] int versions() const {
    return updateSince(m_State, 0, 0, 0).service_versions_size();
  }
};

} // namespace

SCENARIO("the versions of a service are known for a while after they left") {
  Fixture Leader;
  Leader.announce("1", "v1");
  CHECK(Leader.find(7) == hashBytes("v1"));
  GIVEN("a target of another version") {
    Leader.announce("2", "v2");
    CHECK_FALSE(Leader.find(7));
    CHECK(Leader.versions() == 2);
    WHEN("the last target of the first is lost") {
      Leader.pass(std::chrono::seconds(300));
      CHECK(Leader.versions() == 2);
      Leader.lose("1");
      THEN("it counts for the time of a stream") {
        Leader.pass(StreamVersionRetention - std::chrono::seconds(1));
        CHECK_FALSE(Leader.find(7));
        const auto Update = updateSince(Leader.m_State, 0, 0, 0);
        REQUIRE(Update.service_versions_size() == 2);
        CHECK(std::chrono::nanoseconds(
                  Update.service_versions(0).remaining_ns()) ==
              std::chrono::seconds(1));
        CHECK(Update.service_versions(1).remaining_ns() == 0);
      }
      THEN("it is forgotten then") {
        Leader.pass(StreamVersionRetention + std::chrono::seconds(1));
        CHECK(Leader.find(7) == hashBytes("v2"));
        CHECK(Leader.versions() == 1);
      }
    }
  }
  GIVEN("the same target, started again with another version") {
    Leader.pass(std::chrono::seconds(300));
    Leader.announce("1", "v2", 2);
    THEN("both count") { CHECK(Leader.versions() == 2); }
  }
}

SCENARIO("the recorded version of a stream is never another") {
  Fixture Leader;
  Leader.announce("1", "v1");
  Leader.announce("2", "v2");
  CHECK_FALSE(Leader.record(7, "v1").m_Refusal);
  CHECK(Leader.find(7) == hashBytes("v1"));
  CHECK_FALSE(Leader.find(8));
  THEN("a repeated record changes nothing") {
    Leader.record(7, "v1");
    CHECK(Leader.find(7) == hashBytes("v1"));
    CHECK(Leader.m_State.m_StreamVersions.m_Expiries.size() == 1);
  }
  THEN("records of two versions make it unknown, in any order") {
    Leader.record(7, "v2");
    CHECK_FALSE(Leader.find(7));
    Leader.record(7, "v1");
    CHECK_FALSE(Leader.find(7));
  }
  THEN("a record that arrives after its release does not bring it back") {
    Leader.release(7);
    Leader.record(7, "v1");
    CHECK_FALSE(Leader.find(7));
  }
  THEN("it is unknown also when one version is left, if it was released") {
    Leader.release(7);
    Leader.lose("2");
    Leader.pass(std::chrono::seconds(50));
    CHECK_FALSE(Leader.find(7));
  }
  THEN("a record that is renewed lasts, and others expire") {
    Leader.record(8, "v2");
    Leader.pass(std::chrono::seconds(40));
    Leader.record(7, "v1");
    Leader.pass(std::chrono::seconds(40));
    CHECK(Leader.find(7) == hashBytes("v1"));
    CHECK_FALSE(Leader.find(8));
    Leader.pass(std::chrono::seconds(40));
    CHECK(Leader.m_State.m_StreamVersions.m_Begun.empty());
    CHECK(Leader.m_State.m_StreamVersions.m_Expiries.empty());
  }
  THEN("a malformed report changes nothing") {
    wire::Command Next;
    Next.mutable_stream_versions()->add_streams(9);
    CHECK(Leader.apply(Next).m_Refusal == Refusal::InvalidField);
    Next.mutable_stream_versions()->add_version_indices(0);
    CHECK(Leader.apply(Next).m_Refusal == Refusal::InvalidField);
    wire::StreamVersions Copy;
    CHECK_FALSE(append(Copy, Next.stream_versions()));
    CHECK(Copy.streams_size() == 0);
    CHECK(Leader.m_State.m_StreamVersions.m_Begun.size() == 1);
  }
  THEN("a restored member goes on with the same state") {
    Leader.record(8, "v2");
    Leader.release(9);
    Leader.pass(std::chrono::seconds(40));
    Leader.record(7, "v1");
    auto Restored = restore(snapshot(Leader.m_State));
    REQUIRE_FALSE(failed(Restored));
    Fixture Other{valueOf(Restored), Leader.m_Now};
    CHECK(snapshot(Other.m_State) == snapshot(Leader.m_State));
    for (Fixture *Member : {&Leader, &Other}) {
      Member->record(10, "v2");
      Member->pass(std::chrono::seconds(30));
      Member->lose("1");
    }
    CHECK(snapshot(Other.m_State) == snapshot(Leader.m_State));
    CHECK(Other.find(7) == hashBytes("v1"));
    CHECK_FALSE(Other.find(8));
  }
}

// Otherwise a stream of a version that has just left goes on at the next.
SCENARIO("a snapshot of a member without stream versions hides no version") {
  Fixture Leader;
  Leader.announce("1", "v1");
  Leader.announce("2", "v2");
  Leader.record(7, "v1");
  Leader.lose("1");
  wire::FleetState Former;
  REQUIRE(Former.ParseFromString(snapshot(Leader.m_State)));
  Former.clear_stream_versions();
  auto Restored = restore(Former.SerializeAsString());
  REQUIRE_FALSE(failed(Restored));
  Fixture Upgraded{valueOf(Restored), Leader.m_Now};
  THEN("a version that has left counts for the time of a stream") {
    CHECK_FALSE(Upgraded.find(7));
    Upgraded.pass(std::chrono::seconds(50));
    CHECK(Upgraded.versions() == 2);
    Upgraded.announce("3", "v2");
    CHECK_FALSE(Upgraded.find(7));
  }
  THEN("it is forgotten then") {
    Upgraded.pass(StreamVersionRetention + std::chrono::seconds(1));
    CHECK(Upgraded.find(7) == hashBytes("v2"));
    CHECK(Upgraded.versions() == 1);
  }
}

SCENARIO("records of streams are bounded, and the oldest go first") {
  Fixture Leader;
  Leader.announce("1", "v1");
  Leader.announce("2", "v2");
  wire::Command Next;
  wire::StreamVersions Report;
  Report.add_versions(hashBytes("v1"));
  for (std::uint64_t Stream = 1; Stream <= MaxBegunStreams + 5; ++Stream) {
    Report.add_streams(Stream);
    Report.add_version_indices(0);
  }
  REQUIRE(append(*Next.mutable_stream_versions(), Report));
  Leader.apply(Next);
  CHECK(Leader.m_State.m_StreamVersions.m_Begun.size() == MaxBegunStreams);
  CHECK_FALSE(Leader.find(5));
  CHECK(Leader.find(6) == hashBytes("v1"));
}
