#include "Shop.h"
#include "fleet/fleet.h"

using namespace wasabivale;
using namespace wasabivale::entry;
using namespace wasabivale::entry::test;

namespace {

/// Control with its state, for entries that come and go.
struct FakeControl {
  fleet::State m_State;
  bool m_IsReachable = true;
  std::vector<wire::Command> m_Commands;
  std::vector<std::unique_ptr<http::Timer>> m_Timers;

  LedgerClient::Call call(const Loop &Loop) {
    return [this, &Loop](const wire::Command &Command, TimePoint Deadline,
                         const LedgerClient::OnReply &Done) {
      m_Commands.push_back(Command);
      Result<wire::CallReply> Reply = Error{"control.call", "", "no reply"};
      if (m_IsReachable)
        Reply = answer(Command);
      const Duration Wait = m_IsReachable
                                ? Duration(std::chrono::milliseconds(2))
                                : Deadline - BootClock::now();
      m_Timers.push_back(std::make_unique<http::Timer>(
          Loop.m_Base, std::chrono::ceil<std::chrono::milliseconds>(Wait),
          false, [Done, Reply] { Done(Reply); }));
    };
  }

  wire::CallReply answer(wire::Command Command) {
    wire::CallReply Reply;
    if (Command.stream_versions().has_look_up()) {
      if (const auto Version = fleet::findStreamVersion(
              m_State, Command.stream_versions().look_up()))
        Reply.set_result(std::to_string(*Version));
      return Reply;
    }
    Command.set_log_time_ns(static_cast<std::uint64_t>(
        BootClock::now().time_since_epoch().count()));
    if (const auto Refused = fleet::apply(m_State, Command).m_Refusal)
      Reply.set_refusal(static_cast<std::uint32_t>(*Refused));
    return Reply;
  }

  void announce(const wire::Target &Target) {
    wire::Command Command;
    *Command.mutable_announce_target()->mutable_target() = Target;
    CHECK(answer(Command).refusal() == 0);
  }

  /// Another entry records a stream.
  void record(const std::string &Attempt, const std::string &Version) {
    wire::Command Command;
    wire::StreamVersions &Report = *Command.mutable_stream_versions();
    Report.add_versions(hashBytes(Version));
    Report.add_streams(hashBytes(Attempt));
    Report.add_version_indices(0);
    CHECK(answer(Command).refusal() == 0);
  }
};

/// Engines of two software versions, whose fresh runs break off after three
/// events.
struct TwoVersions {
  Shop m_Shop;
  FakeControl m_Control;
  std::vector<std::string> m_Ran; ///< Versions, in the order of the runs.
  /// The target of the first run refuses it and leaves.
  bool m_DrainsFirst = false;

  explicit TwoVersions(const std::vector<std::string> &Versions = {
                           "v1", "v1", "v2", "v2"}) {
    for (const std::string &Version : Versions)
      add(Version);
    connect();
    m_Shop.warmUp();
  }

  ~TwoVersions() {
    // The entry outlives its control.
    m_Shop.m_Path->streamVersions().setControl({});
    m_Control.m_Timers.clear();
  }
  TwoVersions(const TwoVersions &) = delete;
  TwoVersions &operator=(const TwoVersions &) = delete;

  void connect() {
    m_Shop.m_Path->streamVersions().setControl(m_Control.call(m_Shop.m_Loop));
  }

  /// The entry's process ends, and another starts.
  void restart() {
    m_Shop.restart();
    connect();
    m_Shop.m_Loop.turnFor(std::chrono::milliseconds(1100));
    m_Ran.clear();
  }

  void add(const std::string &Version, const std::string &Service = "llm") {
    wire::Target &Target =
        m_Shop.addEngine("decode", [this, Version](const Exchange &Arrived) {
          m_Ran.push_back(Version);
          const bool IsResumed =
              !http::field(Arrived->request().m_Fields, "seen").empty();
          if (std::exchange(m_DrainsFirst, false)) {
            drain(Version);
            return refuses()(Arrived);
          }
          streams(IsResumed ? 6 : 3, IsResumed)(Arrived);
        });
    Target.set_software_version(Version);
    Target.set_models(0, Service);
    m_Control.announce(Target);
  }

  /// The route of streams leads to \p Service from now on.
  void moveRoute(const std::string &Service) {
    wire::RouteTable &Table = *m_Shop.m_Fleet.mutable_routes();
    wire::RoutedService Moved = Table.services(1);
    Moved.set_name(Service);
    *Table.add_services() = Moved;
    Table.mutable_routes(Table.routes_size() - 1)
        ->mutable_services(0)
        ->set_service(Service);
    Table.set_version(Table.version() + 1);
    m_Shop.m_Fleet.set_routes_version(Table.version());
    m_Shop.m_Fleet.set_revision(m_Shop.m_Fleet.revision() + 1);
    m_Shop.warmUp();
  }

  /// A target that this entry has not heard of.
  [[nodiscard]] wire::Target foreignTarget(const std::string &Version) const {
    wire::Target Target = m_Shop.m_Fleet.targets(0);
    Target.set_id("i-other");
    Target.set_address("127.0.0.1:1");
    Target.set_software_version(Version);
    return Target;
  }

  void drain(const std::string &Version) {
    for (wire::Target &Target : *m_Shop.m_Fleet.mutable_targets())
      if (Target.software_version() == Version) {
        Target.set_state("draining");
        Target.set_generation(Target.generation() + 1);
      }
    m_Shop.m_Fleet.set_revision(m_Shop.m_Fleet.revision() + 1);
    REQUIRE(m_Shop.m_Path->takeFleet(m_Shop.m_Fleet));
  }

  std::shared_ptr<Answered> begin(const std::string &Attempt) {
    auto Got = m_Shop.start("POST", "/oracle/7",
                            {{"Prompt", "300"}, {"Attempt", Attempt}});
    REQUIRE(m_Shop.m_Loop.until(
        [&] { return Got->m_Body.find("id: 3") != std::string::npos; }));
    return Got;
  }

  Answered resume(const std::string &Attempt, const std::string &First) {
    return m_Shop.ask("POST", "/oracle/7",
                      {{"Prompt", "300"},
                       {"Attempt", Attempt},
                       {"Seen", "3"},
                       {"First-Attempt", First},
                       {"Waits-S", "4"}});
  }

  /// Starts new streams that don't end, until others have to wait.
  std::vector<std::shared_ptr<Answered>> takeAllPlaces() {
    std::vector<std::shared_ptr<Answered>> Streams;
    constexpr int Waiting = 4;
    for (const wire::Target &Target : m_Shop.m_Fleet.targets())
      for (std::uint32_t I = 0; I < Target.max_running(); ++I)
        Streams.push_back(startNew(Streams.size()));
    for (int I = 0; I < Waiting; ++I)
      Streams.push_back(startNew(Streams.size()));
    m_Shop.m_Loop.turnFor(std::chrono::milliseconds(200));
    REQUIRE(m_Ran.size() < Streams.size());
    return Streams;
  }

  std::shared_ptr<Answered> startNew(std::size_t Index) {
    return m_Shop.start("POST", "/oracle/7",
                        {{"Prompt", "10"},
                         {"Attempt", fmt::format("new-{}", Index)},
                         {"Waits-S", "4"}});
  }
};

bool hasEnded(const std::vector<std::shared_ptr<Answered>> &Streams) {
  return std::any_of(Streams.begin(), Streams.end(),
                     [](const auto &One) { return One->m_Ended; });
}

} // namespace

SCENARIO("a stream that its caller resumes does not go on at another software "
         "version") {
  TwoVersions Fixture;
  constexpr int Streams = 3;
  GIVEN("streams that broke off when the entry's process ended") {
    Fixture.m_Control.m_IsReachable = false;
    for (int I = 0; I < Streams; ++I)
      (void)Fixture.begin(fmt::format("a-{}", I));
    Fixture.restart();
    THEN("an entry that can't learn the version refuses what it can't run") {
      for (int I = 0; I < Streams; ++I) {
        const Answered Got =
            Fixture.resume(fmt::format("b-{}", I), fmt::format("a-{}", I));
        CHECK(Got.m_Status == 503);
        CHECK(http::field(Got.m_Fields, "wasabivale-outcome") == "not_run");
        CHECK_FALSE(http::field(Got.m_Fields, "retry-after").empty());
      }
      CHECK(Fixture.m_Ran.empty());
    }
    THEN("streams that control has no record of are refused") {
      Fixture.m_Control.m_IsReachable = true;
      CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
      CHECK(Fixture.resume("b-2", "").m_Status == 503);
      CHECK(Fixture.m_Ran.empty());
    }
  }
  GIVEN("streams whose versions control was told") {
    for (int I = 0; I < Streams; ++I)
      (void)Fixture.begin(fmt::format("a-{}", I));
    const std::vector<std::string> Began = Fixture.m_Ran;
    REQUIRE(Fixture.m_Shop.m_Loop.until([&] {
      return Fixture.m_Control.m_State.m_StreamVersions.m_Begun.size() ==
             Streams;
    }));
    Fixture.restart();
    THEN(
        "each goes on at the version that began it, and may be resumed again") {
      for (const char *Attempt : {"b", "c"})
        for (int I = 0; I < Streams; ++I) {
          Fixture.m_Ran.clear();
          CHECK(Fixture
                    .resume(fmt::format("{}-{}", Attempt, I),
                            fmt::format("a-{}", I))
                    .m_Status == 200);
          REQUIRE(Fixture.m_Ran.size() == 1);
          CHECK(Fixture.m_Ran[0] == Began[I]);
        }
    }
    THEN("an entry that is cut from control refuses them") {
      Fixture.m_Control.m_IsReachable = false;
      CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
      CHECK(Fixture.m_Ran.empty());
    }
  }
}

SCENARIO(
    "streams that began before the second version of their service appeared") {
  TwoVersions Fixture({"v1", "v1"});
  (void)Fixture.begin("a-1");
  CHECK(Fixture.m_Control.m_Commands.empty());
  Fixture.add("v2");
  Fixture.m_Shop.m_Fleet.set_revision(2);
  REQUIRE(Fixture.m_Shop.m_Path->takeFleet(Fixture.m_Shop.m_Fleet));
  REQUIRE(Fixture.m_Shop.m_Loop.until([&] {
    return Fixture.m_Control.m_State.m_StreamVersions.m_Begun.size() == 1;
  }));
  Fixture.restart();
  CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
  CHECK(Fixture.m_Ran == std::vector<std::string>{"v1"});
}

SCENARIO("streams of a service that has one version") {
  TwoVersions Fixture({"v1", "v1"});
  (void)Fixture.begin("a-1");
  Fixture.restart();
  THEN("control is asked, also when it has just confirmed the fleet") {
    Fixture.m_Shop.grant();
    CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
    CHECK(Fixture.m_Control.m_Commands.size() == 1);
  }
  THEN("they are refused while control is away") {
    Fixture.m_Shop.grant();
    Fixture.m_Control.m_IsReachable = false;
    CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
    CHECK(Fixture.m_Ran.empty());
  }
}

SCENARIO("a stream that began elsewhere at a version this entry has not heard "
         "of does not go on at the one that it knows") {
  TwoVersions Fixture({"v1", "v1"});
  GIVEN("an entry whose fleet control has just confirmed") {
    Fixture.m_Shop.grant();
    WHEN("another version registers, and a stream begins there and breaks") {
      Fixture.m_Control.announce(Fixture.foreignTarget("v2"));
      THEN("it is refused while no entry has recorded it") {
        CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
        CHECK(Fixture.m_Ran.empty());
      }
      THEN("it is refused when control knows its version") {
        Fixture.m_Control.record("a-1", "v2");
        CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
        CHECK(Fixture.m_Ran.empty());
      }
      THEN("it goes on at its version once this entry has heard of that") {
        Fixture.m_Control.record("a-1", "v2");
        Fixture.add("v2");
        Fixture.m_Shop.m_Fleet.set_revision(2);
        Fixture.m_Shop.warmUp();
        CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
        CHECK(Fixture.m_Ran == std::vector<std::string>{"v2"});
      }
    }
  }
}

// Control members of a former version tell no versions that have left.
SCENARIO("a version that has left counts without being told") {
  TwoVersions Fixture({"v1"});
  for (wire::Target &Target : *Fixture.m_Shop.m_Fleet.mutable_targets())
    Target.set_state("lost");
  Fixture.add("v2");
  Fixture.m_Shop.m_Fleet.set_revision(2);
  REQUIRE(Fixture.m_Shop.m_Path->takeFleet(Fixture.m_Shop.m_Fleet));
  Fixture.m_Shop.grant();
  Fixture.m_Control.m_IsReachable = false;
  THEN("a stream that began elsewhere does not go on at the only one left") {
    CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
    CHECK(Fixture.m_Ran.empty());
  }
}

SCENARIO("a stream without events begins at another version only when its "
         "record is withdrawn") {
  TwoVersions Fixture({"v1", "v2"});
  Fixture.m_DrainsFirst = true;
  GIVEN("control that answers") {
    (void)Fixture.m_Shop.ask("POST", "/oracle/7",
                             {{"Prompt", "300"}, {"Attempt", "a-1"}});
    THEN("its version is not known from then on") {
      REQUIRE(Fixture.m_Ran.size() >= 2);
      CHECK(Fixture.m_Ran[0] != Fixture.m_Ran[1]);
      const auto &Begun = Fixture.m_Control.m_State.m_StreamVersions.m_Begun;
      REQUIRE(Begun.count(hashBytes("a-1")) == 1);
      CHECK(Begun.at(hashBytes("a-1")).m_Version == 0);
    }
  }
  GIVEN("control that can't be reached") {
    Fixture.m_Control.m_IsReachable = false;
    const Answered Got = Fixture.m_Shop.ask(
        "POST", "/oracle/7", {{"Prompt", "300"}, {"Attempt", "a-1"}});
    THEN("it does not begin there") {
      CHECK(Fixture.m_Ran.size() == 1);
      CHECK(Got.m_Status == 503);
    }
  }
}

SCENARIO("a resumed stream goes on although its first version was withdrawn "
         "before its first event") {
  TwoVersions Fixture({"v1", "v2"});
  Fixture.m_DrainsFirst = true;
  (void)Fixture.begin("a-1");
  REQUIRE(Fixture.m_Ran.size() == 2);
  const std::string Began = Fixture.m_Ran[1];
  REQUIRE(Fixture.m_Ran[0] != Began);
  Fixture.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(300));
  Fixture.restart();
  GIVEN("a target of the version that began it") {
    CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
    CHECK(Fixture.m_Ran == std::vector<std::string>{Began});
  }
  GIVEN("targets of other versions only") {
    Fixture.add("v3");
    Fixture.drain(Began);
    Fixture.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(1100));
    CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
    CHECK(Fixture.m_Ran.empty());
  }
}

SCENARIO("a resumed stream does not wait behind new streams") {
  TwoVersions Fixture;
  Fixture.m_Control.record("a-1", "v1");
  const auto New = Fixture.takeAllPlaces();
  Fixture.m_Ran.clear();
  CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
  CHECK(Fixture.m_Ran == std::vector<std::string>{"v1"});
  CHECK_FALSE(hasEnded(New));
}

SCENARIO("a resumed stream without a target of its version is refused before "
         "it waits for a place") {
  TwoVersions Fixture;
  Fixture.m_Control.record("a-1", "v1");
  Fixture.m_Control.record("a-2", "v3");
  const auto New = Fixture.takeAllPlaces();
  Fixture.drain("v1");
  Fixture.m_Ran.clear();
  for (const char *First : {"a-1", "a-2", "a-3"}) {
    const Answered Got = Fixture.resume("b-1", First);
    CHECK(Got.m_Status == 503);
    CHECK(http::field(Got.m_Fields, "wasabivale-outcome") == "not_run");
  }
  CHECK(Fixture.m_Ran.empty());
  CHECK_FALSE(hasEnded(New));
}

// The answer for a record that does not exist is the only version of a service.
SCENARIO("a stream whose record was withdrawn does not go on at the only "
         "version of its service") {
  TwoVersions Fixture({"v2", "v2"});
  Fixture.m_Control.record("a-1", "v1");
  wire::Command Released;
  Released.mutable_stream_versions()->add_released(hashBytes("a-1"));
  REQUIRE(Fixture.m_Control.answer(Released).refusal() == 0);
  CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
  CHECK(Fixture.m_Ran.empty());
}

// A stream that was forwarded may begin at another version than the one that
// was reported of it meanwhile.
SCENARIO("a stream whose head tells another version than control was told does "
         "not go on at the version that control was told") {
  TwoVersions Fixture({"v1", "v2"});
  StreamVersions &Versions = Fixture.m_Shop.m_Path->streamVersions();
  const auto Stream = hashBytes("a-1");
  Versions.recordSent(Stream, "llm", "v1", BootClock::now());
  Fixture.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(200));
  Versions.recordSent(Stream, "llm", "v2", BootClock::now());
  Versions.recordEvent(Stream);
  Fixture.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(300));
  Fixture.restart();
  CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
  CHECK(Fixture.m_Ran == std::vector<std::string>{"v2"});
}

// The record that the other entry has made expires once that entry has ended.
SCENARIO("a stream that another entry released and began is recorded by the "
         "entry that forwarded it and goes on with it") {
  TwoVersions Fixture({"v1", "v2"});
  const auto Stream = hashBytes("a-1");
  Fixture.m_Control.record("a-1", "v1");
  wire::Command Released;
  Released.mutable_stream_versions()->add_released(Stream);
  REQUIRE(Fixture.m_Control.answer(Released).refusal() == 0);
  StreamVersions &Versions = Fixture.m_Shop.m_Path->streamVersions();
  Versions.noteWithdrawals(Stream, 1, BootClock::now());
  Versions.recordSent(Stream, "llm", "v2", BootClock::now());
  Versions.recordEvent(Stream);
  Fixture.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(300));
  Fixture.restart();
  CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
  CHECK(Fixture.m_Ran == std::vector<std::string>{"v2"});
}

SCENARIO("news of the fleet don't record a withdrawn version again") {
  TwoVersions Fixture({"v1", "v2"});
  StreamVersions &Versions = Fixture.m_Shop.m_Path->streamVersions();
  const auto Stream = hashBytes("a-1");
  Versions.recordSent(Stream, "llm", "v1", BootClock::now());
  Fixture.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(200));
  bool IsReleased = false;
  Versions.release(Stream, BootClock::now() + std::chrono::seconds(1),
                   [&](bool Committed) { IsReleased = Committed; });
  REQUIRE(Fixture.m_Shop.m_Loop.until([&] { return IsReleased; }));
  GIVEN("news of the fleet before it is sent again") {
    Versions.apply(Fixture.m_Shop.m_Fleet, BootClock::now());
    Fixture.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(300));
    THEN("the version that was withdrawn is not recorded again") {
      CHECK_FALSE(Versions.reportedVersion(Stream, "llm"));
      CHECK_FALSE(Versions.knownVersion(Stream, "llm"));
      CHECK(Fixture.m_Control.m_State.m_StreamVersions.m_Begun.size() == 1);
    }
  }
}

SCENARIO("callers that claim to resume streams don't ask control without "
         "bound") {
  TwoVersions Fixture;
  Fixture.m_Control.m_IsReachable = false;
  constexpr std::size_t Most = 256;
  std::size_t Refused = 0;
  for (std::size_t I = 0; I < 2 * Most; ++I)
    Fixture.m_Shop.m_Path->streamVersions().find(
        "llm", I + 1, BootClock::now() + std::chrono::seconds(1),
        [&](const StreamVersions::Finding &Found) {
          CHECK_FALSE(Found.m_Version);
          Refused += Found.m_Source == "too_many" ? 1 : 0;
        });
  CHECK(Refused == Most);
  CHECK(Fixture.m_Control.m_Commands.size() == Most);
  Fixture.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(1100));
  Fixture.m_Control.m_IsReachable = true;
  Fixture.m_Control.record("a-1", "v1");
  CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
}

SCENARIO("a try without events does not tell the version of a stream that "
         "began elsewhere") {
  TwoVersions Fixture;
  GIVEN("an entry with such a try at one version") {
    Fixture.m_Shop.m_Path->streamVersions().recordSent(
        hashBytes(std::string_view("a-1")), "llm", "v1", BootClock::now());
    WHEN("the stream has begun at another version through another entry") {
      Fixture.m_Control.record("a-1", "v2");
      THEN("it goes on at that version") {
        CHECK(Fixture.resume("b-1", "a-1").m_Status == 200);
        CHECK(Fixture.m_Ran == std::vector<std::string>{"v2"});
      }
    }
    WHEN("control does not answer") {
      Fixture.m_Control.m_IsReachable = false;
      THEN("it is refused") {
        CHECK(Fixture.resume("b-1", "a-1").m_Status == 503);
        CHECK(Fixture.m_Ran.empty());
      }
    }
  }
}

SCENARIO("a stream whose route has moved to another service does not go on at "
         "an equally named version there") {
  TwoVersions Fixture;
  Fixture.add("v1", "llm-2");
  Fixture.m_Shop.warmUp();
  for (int I = 0; I < 4; ++I)
    (void)Fixture.begin(fmt::format("a-{}", I));
  REQUIRE(Fixture.m_Shop.m_Loop.until([&] {
    return Fixture.m_Control.m_State.m_StreamVersions.m_Begun.size() == 4;
  }));
  const auto Began = Fixture.m_Ran.begin();
  const auto Index = std::find(Began, Fixture.m_Ran.end(), "v1") - Began;
  REQUIRE(Index < 4);
  const std::string First = fmt::format("a-{}", Index);
  GIVEN("the entry that began it") {
    Fixture.moveRoute("llm-2");
    Fixture.m_Ran.clear();
    CHECK(Fixture.resume("b-1", First).m_Status == 503);
    CHECK(Fixture.m_Ran.empty());
  }
  GIVEN("another entry, which asks control") {
    Fixture.moveRoute("llm-2");
    Fixture.restart();
    CHECK(Fixture.resume("b-1", First).m_Status == 503);
    CHECK(Fixture.m_Ran.empty());
  }
}
