// Sound targets that fall silent for a time and go on, on loopback.

#include "Shop.h"

#include <algorithm>

namespace wasabivale::entry::test {

namespace {

constexpr std::size_t TargetCount = 4;
constexpr std::chrono::milliseconds Silences[] = {500ms, 1000ms, 1500ms,
                                                  2000ms};

/// Targets that send no byte while they are silent. Their kernels acknowledge.
struct SilentShop : Shop {
  std::vector<bool> m_IsSilent = std::vector<bool>(TargetCount, false);
  std::vector<std::function<void()>> m_Pending;
  std::vector<std::shared_ptr<Answered>> m_Answers;

  SilentShop() {
    // Callers of these streams leave after 2.4 s without an event.
    for (wire::Route &Each : *m_Fleet.mutable_routes()->mutable_routes()) {
      Each.set_timeout_ns(8'000'000'000);
      if (Each.kind() == "streaming") {
        Each.set_objective_ns(600'000'000);
        Each.set_gap_ns(200'000'000);
      }
    }
    m_Fleet.mutable_routes()->mutable_services(0)->set_health_path("/health");
    std::vector<Play> Scripts;
    for (std::size_t I = 0; I < TargetCount; ++I)
      Scripts.push_back([this, I](const Exchange &Arrived) {
        const bool IsStream = Arrived->request().m_Path.rfind("/note/", 0) == 0;
        sendOrHold(I, [this, I, Arrived, IsStream] {
          if (!IsStream)
            return answers(200, "three left")(Arrived);
          streams(2, false)(Arrived);
          later(I, [Arrived] {
            Arrived->write(eventText(3));
            Arrived->finish();
          });
        });
      });
    open(Scripts);
  }

  void sendOrHold(std::size_t Index, std::function<void()> Send) {
    if (m_IsSilent[Index])
      m_Pending.push_back(std::move(Send));
    else
      Send();
  }

  /// The rest of a stream, 100 ms after its beginning.
  void later(std::size_t Index, const std::function<void()> &Send) {
    m_Restarts.push_back(std::make_unique<http::Timer>(
        m_Loop.m_Base, 100ms, false,
        [this, Index, Send] { sendOrHold(Index, Send); }));
  }

  void ask(int Count, bool IsStream) {
    for (int I = 0; I < Count; ++I)
      m_Answers.push_back(IsStream ? start("POST", "/note/7", m_Patient)
                                   : start("GET", "/stock/7", m_Patient));
  }

  void turn(std::chrono::milliseconds Time) {
    const TimePoint EndsAt = BootClock::now() + Time;
    while (BootClock::now() < EndsAt) {
      grant();
      m_Loop.turnFor(std::min<std::chrono::milliseconds>(
          100ms, std::chrono::ceil<std::chrono::milliseconds>(
                     EndsAt - BootClock::now())));
    }
  }

  void goOn() {
    m_IsSilent.assign(TargetCount, false);
    for (const auto &Send : std::exchange(m_Pending, {}))
      Send();
  }

  [[nodiscard]] std::size_t runs() const {
    return static_cast<std::size_t>(std::count_if(
        m_Seen.begin(), m_Seen.end(),
        [](const http::Request &Each) { return Each.m_Path != "/health"; }));
  }

  void checkNothingHappened() {
    CHECK(m_Loop.until([&] {
      return std::all_of(m_Answers.begin(), m_Answers.end(),
                         [](const auto &Each) { return Each->m_Ended; });
    }));
    for (const auto &Each : m_Answers)
      CHECK(Each->m_Status == 200);
    CHECK(runs() == m_Answers.size());
    const Context &State = m_Path->context();
    CHECK(State.m_Routing.m_Counters.m_Ejections == 0);
    CHECK(State.m_Routing.m_Counters.m_EjectionsPrevented == 0);
    CHECK(State.m_Traits.crashes() == 0);
    CHECK_FALSE(State.m_Reach.isCut());
  }

  http::Fields m_Patient = {{"Waits-S", "4"}};

  /// Whether each caller got its whole answer.
  [[nodiscard]] bool areAllAnswered() {
    return m_Loop.until([&] {
      return std::all_of(m_Answers.begin(), m_Answers.end(),
                         [](const auto &Each) { return Each->m_Ended; });
    }) && std::all_of(m_Answers.begin(), m_Answers.end(),
                      [](const auto &Each) { return Each->m_Status == 200; });
  }
};

} // namespace

SCENARIO("a silence of sound targets ends, repeats or ejects nothing") {
  for (const std::size_t Silent : {std::size_t(1), TargetCount})
    for (const bool IsStream : {false, true})
      for (const std::chrono::milliseconds Time : Silences) {
        INFO(Silent << " silent for " << Time.count() << " ms, "
                    << (IsStream ? "streams" : "calls"));
        SilentShop Fixture;
        Fixture.ask(8, false); // so that connections are kept
        Fixture.turn(50ms);
        // Streams begin before the silence and are caught in their middle.
        Fixture.ask(IsStream ? 16 : 0, IsStream);
        Fixture.turn(50ms);
        std::fill_n(Fixture.m_IsSilent.begin(), Silent, true);
        Fixture.ask(16, IsStream);
        Fixture.turn(Time);
        CHECK_FALSE(Fixture.m_Path->context().m_Reach.isCut());
        Fixture.goOn();
        Fixture.turn(200ms);
        Fixture.ask(8, IsStream);
        Fixture.checkNothingHappened();
      }
}

SCENARIO("no answer is lost, nor a request repeated, because all targets are "
         "silent until just before the deadline") {
  for (const bool IsStream : {false, true})
    for (const bool Stops : {false, true}) {
      INFO((IsStream ? "streams" : "calls")
           << (Stops ? ", and the process stops" : ""));
      SilentShop Fixture;
      Fixture.m_Patient = {{"Waits-S", "2"}};
      Fixture.ask(8, false); // so that connections are kept
      Fixture.turn(50ms);
      Fixture.ask(IsStream ? 16 : 0, IsStream);
      Fixture.turn(50ms);
      Fixture.m_IsSilent.assign(TargetCount, true);
      Fixture.ask(16, IsStream);
      if (Stops)
        Fixture.m_Entry->stop([] {});
      Fixture.turn(1750ms);
      CHECK(std::none_of(Fixture.m_Answers.begin() + 8, Fixture.m_Answers.end(),
                         [](const auto &Each) { return Each->m_Ended; }));
      Fixture.goOn();
      Fixture.turn(50ms);
      CHECK(Fixture.areAllAnswered());
      CHECK(Fixture.runs() == Fixture.m_Answers.size());
      for (std::size_t I = 8; IsStream && I < Fixture.m_Answers.size(); ++I)
        CHECK(Fixture.m_Answers[I]->m_Body ==
              eventText(1) + eventText(2) + eventText(3));
      // No reservation of a successor is left.
      CHECK(Fixture.m_Path->context().m_Routing.m_Tries.empty());
    }
}

SCENARIO("a request that may not be tried again keeps its silent target") {
  for (const bool IsStream : {false, true}) {
    INFO((IsStream ? "a stream" : "calls"));
    SilentShop Fixture;
    for (wire::Route &Each :
         *Fixture.m_Fleet.mutable_routes()->mutable_routes()) {
      Each.set_max_attempts(1);
      Each.set_gap_ns(500'000'000);
    }
    Fixture.m_Fleet.set_routes_version(2);
    Fixture.m_Fleet.mutable_routes()->set_version(2);
    REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
    Fixture.ask(8, IsStream);
    Fixture.turn(50ms);
    // Longer than a sound target is taken to be silent, at one target.
    Fixture.m_IsSilent[0] = true;
    Fixture.ask(8, IsStream);
    Fixture.turn(2'700ms);
    Fixture.goOn();
    Fixture.turn(50ms);
    CHECK(Fixture.areAllAnswered());
    CHECK(Fixture.runs() == Fixture.m_Answers.size());
  }
}

} // namespace wasabivale::entry::test
