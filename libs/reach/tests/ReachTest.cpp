// Partitions of an entry from its targets, and what only looks like one, in
// virtual time.

#include "reach/reach.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <queue>

using namespace wasabivale;
using namespace wasabivale::reach;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{100s};

/// What a target does with new connections and with kept ones.
enum class Net : std::uint8_t {
  Sound,
  Rejects,    ///< Kept connections are reset as well.
  Drops,      ///< Nothing is answered.
  RejectsNew, ///< Kept connections live on.
  Mute,       ///< Connections are made, and nothing is answered.
};

using NetAt = std::function<Net(std::size_t Target, TimePoint)>;

/// An entry that sends a request every `m_Interval`, to a target by chance, on
/// a kept connection or on a new one.
class Simulation {
public:
  Simulation(std::size_t Targets, std::size_t Services, NetAt Network,
             std::uint64_t Seed = 1)
      : m_Net(std::move(Network)), m_Random(Seed) {
    for (std::size_t I = 0; I < Targets; ++I)
      m_Serving.push_back({std::to_string(I),
                           std::to_string(I % Services),
                           {std::to_string(I % 3)},
                           "/health"});
  }

  void runUntil(TimePoint End) {
    if (m_Events.empty())
      at(m_Now, [this] { sendNext(); });
    while (!m_Events.empty() && m_Events.top().m_DueAt <= End) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_DueAt;
      Next.m_Do();
    }
    m_Now = End;
  }

  State m_Entry;
  std::vector<Candidate> m_Serving;
  Duration m_Interval = 50ms;
  double m_NewConnections = 0.3; ///< Part of the requests that open one.
  Duration m_Work{0};            ///< Of a target at each request.
  std::optional<TimePoint> m_CutAt;
  std::optional<TimePoint> m_ReturnAt;
  std::size_t m_Probes = 0;
  TimePoint m_Now = Start;

private:
  static constexpr Duration RoundTrip = 2ms;
  static constexpr Duration ConnectTimeout = 500ms;
  static constexpr Duration Unacknowledged = 1s;
  static constexpr Duration Retransmission = 1s;
  static constexpr Duration CheckInterval = 50ms;
  /// Beyond the work.
  static constexpr Duration Patience = 2s;

  struct Event {
    TimePoint m_DueAt;
    std::uint64_t m_Order;
    std::function<void()> m_Do;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_DueAt, Other.m_Order) <
             std::tie(m_DueAt, m_Order);
    }
  };

  void at(TimePoint When, std::function<void()> Do) {
    m_Events.push({When, m_Order++, std::move(Do)});
  }

  void sendNext() {
    at(m_Now + m_Interval, [this] { sendNext(); });
    if (m_Serving.empty())
      return;
    const auto Target = std::uniform_int_distribution<std::size_t>(
        0, m_Serving.size() - 1)(m_Random);
    const bool IsNew = std::uniform_real_distribution<double>(0, 1)(m_Random) <
                       m_NewConnections;
    IsNew ? sendNew(Target) : sendKept(Target);
  }

  /// \param Longest how long the connection may take.
  void connect(std::size_t Target, Duration Longest,
               const std::function<void(ProbeResult)> &Done) {
    const Net Now = m_Net(Target, m_Now);
    if (Now == Net::Sound || Now == Net::Mute)
      return at(m_Now + RoundTrip, [Done] { Done(ProbeResult::Connected); });
    if (Now != Net::Drops)
      return at(m_Now + RoundTrip, [Done] { Done(ProbeResult::Rejected); });
    // The next packet of the same connection comes too late for all.
    static_assert(Retransmission > ConnectTimeout);
    at(m_Now + Longest, [Done] { Done(ProbeResult::Silent); });
  }

  /// Asks for the health check.
  void ask(std::size_t Target, Duration Longest,
           const std::function<void(ProbeResult)> &Done) {
    connect(Target, Longest, [=, this](ProbeResult Result) {
      if (Result != ProbeResult::Connected)
        return Done(Result);
      if (m_Net(Target, m_Now) != Net::Mute)
        return at(m_Now + RoundTrip, [Done] { Done(ProbeResult::Answered); });
      at(m_Now + Longest - RoundTrip, [=, this] {
        Done(m_Net(Target, m_Now) == Net::Mute ? ProbeResult::Silent
                                               : ProbeResult::Answered);
      });
    });
  }

  /// A request that was sent waits for its answer.
  void wait(std::size_t Target, TimePoint Since) {
    const std::string Address = std::to_string(Target);
    if (m_Now - Since >= m_Work && m_Net(Target, m_Now) != Net::Mute) {
      recordReceived(m_Entry, m_Now);
    } else if (m_Now - Since >= m_Work + Patience) {
      recordFailure(m_Entry, Address, Since, m_Now);
    } else {
      at(m_Now + CheckInterval, [=, this] { wait(Target, Since); });
      if (!recordUnanswered(m_Entry, Address, Since, m_Now))
        return;
    }
    probe();
  }

  void sendNew(std::size_t Target) {
    const std::string Address = std::to_string(Target);
    const TimePoint Since = m_Now;
    connect(Target, ConnectTimeout, [=, this](ProbeResult Result) {
      if (Result == ProbeResult::Connected) {
        see(recordConnected(m_Entry, Address, m_Now));
        at(m_Now + RoundTrip, [=, this] { wait(Target, Since); });
      } else
        recordFailure(m_Entry, Address, Since, m_Now);
      probe();
    });
  }

  void sendKept(std::size_t Target) {
    const std::string Address = std::to_string(Target);
    const TimePoint Since = m_Now;
    const Net Now = m_Net(Target, m_Now);
    if (Now == Net::Sound || Now == Net::RejectsNew || Now == Net::Mute)
      return at(m_Now + RoundTrip, [=, this] { wait(Target, Since); });
    if (Now == Net::Rejects)
      return at(m_Now + RoundTrip, [=, this] {
        recordFailure(m_Entry, Address, Since, m_Now);
        probe();
      });
    answerWhenSound(Target, Since, m_Now + Unacknowledged);
  }

  /// The kernel sends again while nothing is acknowledged.
  void answerWhenSound(std::size_t Target, TimePoint Since,
                       TimePoint GiveUpAt) {
    at(m_Now + 200ms, [=, this] {
      if (m_Net(Target, m_Now) == Net::Sound) {
        recordReceived(m_Entry, m_Now);
        return probe();
      }
      if (m_Now < GiveUpAt)
        return answerWhenSound(Target, Since, GiveUpAt);
      recordFailure(m_Entry, std::to_string(Target), Since, m_Now);
      probe();
    });
  }

  void probe() {
    for (const std::string &Address : takeProbes(m_Entry, m_Serving, m_Now)) {
      ++m_Probes;
      const auto Done = [=, this](ProbeResult Result) {
        see(recordProbe(m_Entry, Address, Result, m_Now));
        probe();
      };
      const Duration Longest = probeTimeout(m_Entry);
      if (m_Entry.m_AsksTargets)
        ask(std::stoul(Address), Longest, Done);
      else
        connect(std::stoul(Address), Longest, Done);
    }
    if (const auto Next = nextProbesAt(m_Entry);
        Next && (!m_Wake || *m_Wake <= m_Now || *Next < *m_Wake)) {
      m_Wake = std::max(*Next, m_Now + 1ms);
      at(*m_Wake, [this] { probe(); });
    }
  }

  void see(bool HasChanged) {
    if (!HasChanged)
      return;
    (isCut(m_Entry) ? m_CutAt : m_ReturnAt) = m_Now;
  }

  NetAt m_Net;
  Random m_Random;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_Order = 0;
  std::optional<TimePoint> m_Wake;
};

NetAt during(TimePoint Begin, Duration Length, Net State) {
  return [=](std::size_t, TimePoint Now) {
    return Now >= Begin && Now < Begin + Length ? State : Net::Sound;
  };
}

const TimePoint FaultAt = Start + 5s;

} // namespace

SCENARIO("an entry that is cut from all targets knows it within two seconds") {
  struct Row {
    const char *m_Name;
    Net m_Net;
    std::size_t m_Targets;
    std::size_t m_Services;
    Duration m_Within;
  };
  const Row Rows[] = {
      {"connections are reset", Net::Rejects, 20, 3, 1200ms},
      {"connections hang", Net::Drops, 20, 3, 2s},
      {"only new connections are refused", Net::RejectsNew, 20, 3, 1500ms},
      {"one service, reset", Net::Rejects, 5, 1, 1200ms},
      {"one service, hang", Net::Drops, 5, 1, 2s},
      {"a fleet of two, reset", Net::Rejects, 2, 1, 1200ms},
      {"a fleet of two, hang", Net::Drops, 2, 2, 2s},
      {"connections stay silent", Net::Mute, 20, 3, 2500ms},
      {"one service, silent", Net::Mute, 5, 1, 2500ms},
      {"a fleet of two, silent", Net::Mute, 2, 2, 2500ms},
  };
  for (const Row &Case : Rows) {
    INFO(Case.m_Name);
    Simulation Run(Case.m_Targets, Case.m_Services,
                   during(FaultAt, 12s, Case.m_Net));
    Run.runUntil(FaultAt);
    CHECK_FALSE(Run.m_CutAt);
    Run.runUntil(FaultAt + 12s);
    REQUIRE(Run.m_CutAt);
    CHECK(*Run.m_CutAt - FaultAt <= Case.m_Within);
    CHECK_FALSE(Run.m_ReturnAt);
    // About four a second, and those that decided.
    CHECK(Run.m_Probes <= 12 * 4 + 20);
    Run.runUntil(FaultAt + 13s);
    REQUIRE(Run.m_ReturnAt);
    CHECK(*Run.m_ReturnAt - FaultAt <= 12s + 800ms);
    CHECK_FALSE(isCut(Run.m_Entry));
  }
}

SCENARIO("what only looks like a partition is none") {
  struct Row {
    const char *m_Name;
    std::size_t m_Targets;
    std::size_t m_Services;
    NetAt m_Net;
  };
  const auto Some = [](const std::function<bool(std::size_t)> &IsHit,
                       Net State) {
    return [=](std::size_t Target, TimePoint Now) {
      return Now >= FaultAt && IsHit(Target) ? State : Net::Sound;
    };
  };
  const Row Rows[] = {
      {"one broken target", 20, 3,
       Some([](std::size_t I) { return I == 7; }, Net::Rejects)},
      {"one silent target of two", 2, 1,
       Some([](std::size_t I) { return I == 1; }, Net::Drops)},
      {"a zone that is reset", 20, 2,
       Some([](std::size_t I) { return I % 3 == 0; }, Net::Rejects)},
      {"two zones that are silent", 20, 2,
       Some([](std::size_t I) { return I % 3 != 0; }, Net::Drops)},
      {"all targets of one service of three", 21, 3,
       Some([](std::size_t I) { return I % 3 == 0; }, Net::Rejects)},
      {"all but one target", 6, 2,
       Some([](std::size_t I) { return I != 4; }, Net::Rejects)},
      {"all targets, silent for 1.5 s", 20, 3,
       during(FaultAt, 1500ms, Net::Drops)},
      {"all of a small fleet, silent for 1.5 s", 3, 1,
       during(FaultAt, 1500ms, Net::Drops)},
      {"the only target", 1, 1, during(FaultAt, 10s, Net::Rejects)},
      {"one target of two that leaves requests unanswered", 2, 1,
       Some([](std::size_t I) { return I == 1; }, Net::Mute)},
      {"two zones that leave requests unanswered", 20, 2,
       Some([](std::size_t I) { return I % 3 != 0; }, Net::Mute)},
      {"all but one target that leave requests unanswered", 6, 2,
       Some([](std::size_t I) { return I != 4; }, Net::Mute)},
      {"requests that all targets leave unanswered for 1.5 s", 20, 3,
       during(FaultAt, 1500ms, Net::Mute)},
      {"requests that a small fleet leaves unanswered for 1.5 s", 3, 1,
       during(FaultAt, 1500ms, Net::Mute)},
  };
  for (const Row &Case : Rows)
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      INFO(Case.m_Name << ", seed " << Seed);
      Simulation Run(Case.m_Targets, Case.m_Services, Case.m_Net, Seed);
      Run.runUntil(FaultAt + 10s);
      CHECK_FALSE(Run.m_CutAt);
      // A suspicion a second at the most.
      CHECK(Run.m_Probes <= 100);
    }
}

SCENARIO("targets that work for long are no partition") {
  for (const std::size_t Targets : {2U, 3U, 20U}) {
    Simulation Run(Targets, 1, during(Start, 0s, Net::Mute));
    Run.m_Interval = 4s;
    Run.m_Work = 10s;
    Run.runUntil(Start + 60s);
    CHECK_FALSE(Run.m_CutAt);
    // A suspicion a second at the most, of two rounds of three.
    CHECK(Run.m_Probes <= 360);
  }
}

SCENARIO("silent targets without a health check are no partition") {
  Simulation Run(20, 3, during(Start, 10s, Net::Mute));
  for (Candidate &Target : Run.m_Serving)
    Target.m_HealthPath.clear();
  Run.runUntil(Start + 10s);
  CHECK_FALSE(Run.m_CutAt);
}

SCENARIO("an entry that starts while it is cut learns it as well") {
  for (const Net State : {Net::Rejects, Net::Drops, Net::Mute}) {
    Simulation Run(20, 3, during(Start, 10s, State));
    Run.m_NewConnections = 1;
    Run.runUntil(Start + 3s);
    REQUIRE(Run.m_CutAt);
    CHECK(*Run.m_CutAt - Start <= (State == Net::Mute ? 2500ms : 2s));
  }
}

SCENARIO("the end of a cut needs two targets in a row of probes") {
  State Entry;
  std::vector<Candidate> Serving;
  Serving.reserve(6);
  for (int I = 0; I < 6; ++I)
    Serving.push_back({std::to_string(I), "a", {"z"}});
  TimePoint Now = Start;
  recordFailure(Entry, "0", Now, Now);
  recordFailure(Entry, "1", Now, Now);
  bool HasChanged = false;
  while (!HasChanged) {
    const auto Probes = takeProbes(Entry, Serving, Now);
    REQUIRE_FALSE(Probes.empty());
    for (const std::string &Target : Probes)
      HasChanged = recordProbe(Entry, Target, ProbeResult::Rejected, Now);
    Now += 1ms;
  }
  REQUIRE(isCut(Entry));
  const auto Probe = [&](ProbeResult Result) {
    Now += Entry.m_Settings.m_ProbeInterval;
    const auto Probes = takeProbes(Entry, Serving, Now);
    REQUIRE(Probes.size() == 1);
    return recordProbe(Entry, Probes[0], Result, Now);
  };
  GIVEN("one target that is reached again and again") {
    THEN("the entry stays cut") {
      for (int I = 0; I < 3; ++I)
        CHECK_FALSE(recordConnected(Entry, "3", Now += 100ms));
      CHECK(isCut(Entry));
    }
  }
  GIVEN("two targets that are reached with one between that is not") {
    THEN("the cut ends") {
      CHECK_FALSE(Probe(ProbeResult::Connected));
      CHECK_FALSE(Probe(ProbeResult::Silent));
      CHECK(Probe(ProbeResult::Connected));
      CHECK_FALSE(isCut(Entry));
    }
    AND_THEN("the next suspicion of failures waits") {
      (void)Probe(ProbeResult::Connected);
      (void)Probe(ProbeResult::Connected);
      recordFailure(Entry, "0", Now, Now);
      recordFailure(Entry, "1", Now, Now);
      CHECK(takeProbes(Entry, Serving, Now).empty());
    }
  }
  GIVEN("a fleet of which one target is left") {
    Serving.resize(1);
    THEN("that one is enough") { CHECK(Probe(ProbeResult::Connected)); }
  }
  GIVEN("a fleet of which nothing is left") {
    THEN("there is nothing to be cut from") {
      CHECK(takeProbes(Entry, {}, Now).empty());
      CHECK_FALSE(isCut(Entry));
    }
  }
}

SCENARIO("a caller may ask whether targets can be reached") {
  State Entry;
  const std::vector<Candidate> Serving{
      {"0", "a", {"y"}}, {"1", "a", {"z"}}, {"2", "b", {"z"}}};
  (void)takeProbes(Entry, Serving, Start);
  requestProbes(Entry);
  CHECK(isProbing(Entry));
  CHECK(takeProbes(Entry, Serving, Start).size() == 3);
  CHECK(isProbing(Entry));
  CHECK_FALSE(recordProbe(Entry, "1", ProbeResult::Connected, Start + 1ms));
  CHECK_FALSE(isProbing(Entry));
  CHECK(Entry.m_Phase == Phase::Direct);
  // Those that come later change nothing.
  CHECK_FALSE(recordProbe(Entry, "0", ProbeResult::Silent, Start + 250ms));
  CHECK(Entry.m_Phase == Phase::Direct);
}

SCENARIO("faults drawn at random are told from partitions") {
  for (std::uint64_t Seed = 1; Seed <= 3000; ++Seed) {
    Random Draw(Seed);
    const auto Number = [&](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Draw);
    };
    const auto Targets = static_cast<std::size_t>(Number(4, 40));
    const auto Services = static_cast<std::size_t>(Number(1, 3));
    const Net Forms[] = {Net::Rejects, Net::Drops, Net::Mute, Net::RejectsNew};
    // Each target is silent now and then; one is broken, and a rack of a
    // quarter of the fleet is down for a while.
    std::vector<TimePoint> SilentAt;
    for (std::size_t I = 0; I < Targets; ++I)
      SilentAt.push_back(Start + std::chrono::milliseconds(Number(0, 20'000)));
    const auto Broken = static_cast<std::size_t>(Number(0, 1'000)) % Targets;
    const auto Rack = static_cast<std::size_t>(Number(0, 1'000)) % Targets;
    const Net RackForm = Forms[Number(0, 2)];
    const TimePoint RackAt =
        Start + std::chrono::milliseconds(Number(0, 15'000));
    const TimePoint AllSilentAt =
        Start + std::chrono::milliseconds(Number(5'000, 15'000));
    const Duration Silence = std::chrono::milliseconds(Number(500, 1'500));
    const Net CutForm = Forms[Number(0, 3)];
    const TimePoint CutAt = Start + 25s;
    const NetAt Network = [=](std::size_t Target, TimePoint Now) {
      if (Now >= CutAt)
        return CutForm;
      if (Now >= AllSilentAt && Now < AllSilentAt + Silence)
        return Net::Drops;
      const bool IsInRack = Target >= Rack && Target < Rack + Targets / 4;
      if (IsInRack && Now >= RackAt && Now < RackAt + 8s)
        return RackForm;
      if (Target == Broken)
        return Net::RejectsNew;
      if (Now >= SilentAt[Target] && Now < SilentAt[Target] + 1500ms)
        return Net::Drops;
      return Net::Sound;
    };
    INFO("seed " << Seed << ", " << Targets << " targets, form "
                 << static_cast<int>(CutForm));
    Simulation Run(Targets, Services, Network, Seed);
    // Three new connections a second at the least.
    Run.m_NewConnections = 0.05 * Number(3, 20);
    Run.runUntil(CutAt);
    CHECK_FALSE(Run.m_CutAt);
    Run.runUntil(CutAt + 3s);
    REQUIRE(Run.m_CutAt);
    CHECK(*Run.m_CutAt - CutAt <= (CutForm == Net::Mute ? 3s : 2s));
  }
}
