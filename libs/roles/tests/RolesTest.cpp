#include "roles/roles.h"

#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::roles;
using namespace std::chrono_literals;

namespace {

constexpr double PrefillRate = 10'000;
constexpr double DecodeRate = 1'000;

std::vector<Engine> makeEngines(std::uint32_t Mixed, std::uint32_t Prefill,
                                std::uint32_t Decode) {
  std::vector<Engine> Engines;
  auto Add = [&Engines](std::uint32_t Count, Role EngineRole) {
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Engines.push_back({{"e" + std::to_string(Engines.size())},
                         {{"gourd-8b"}},
                         EngineRole,
                         EngineState::Serving,
                         PrefillRate,
                         DecodeRate,
                         0});
  };
  Add(Mixed, Role::Mixed);
  Add(Prefill, Role::Prefill);
  Add(Decode, Role::Decode);
  return Engines;
}

/// Demand that keeps \p Engines engines busy, with \p PrefillShare of the work
/// in prefill.
Demand makeDemand(double Engines, double PrefillShare, double Seconds) {
  Demand Counts;
  Counts.m_Requests = static_cast<std::uint64_t>(10 * Seconds);
  Counts.m_PromptTokens = static_cast<std::uint64_t>(Engines * PrefillShare *
                                                     PrefillRate * Seconds);
  Counts.m_OutputTokens = static_cast<std::uint64_t>(
      Engines * (1 - PrefillShare) * DecodeRate * Seconds);
  return Counts;
}

/// A simulated fleet that executes the decisions of the planner.
struct Fleet {
  Policy m_Rules;
  std::vector<Engine> m_Engines;
  State m_State{};
  TimePoint m_Now{};
  Duration m_Interval = 1s;
  std::map<TargetId, TimePoint> m_ChangeEnds{};
  std::vector<Change> m_Changes{};
  Decision m_LastDecision{};

  void advance(const Demand &Load) {
    m_Now += m_Interval;
    for (Engine &Member : m_Engines)
      if (m_ChangeEnds.contains(Member.m_Id) &&
          m_ChangeEnds[Member.m_Id] <= m_Now) {
        Member.m_State = EngineState::Serving;
        m_ChangeEnds.erase(Member.m_Id);
      }
    m_LastDecision =
        step(m_State, m_Rules, {m_Interval, {{{"gourd-8b"}, Load}}, m_Engines},
             m_Now);
    if (m_LastDecision.m_Change)
      apply(*m_LastDecision.m_Change);
  }

  void apply(const Change &Decided) {
    m_Changes.push_back(Decided);
    for (Engine &Member : m_Engines)
      if (Member.m_Id == Decided.m_Engine) {
        Member.m_Role = Decided.m_To;
        Member.m_State = EngineState::Changing;
        m_ChangeEnds[Member.m_Id] = m_Now + m_Rules.m_ChangeDuration;
      }
  }

  [[nodiscard]] std::uint32_t count(Role Counted) const {
    std::uint32_t Count = 0;
    for (const Engine &Member : m_Engines)
      Count += Member.m_Role == Counted ? 1 : 0;
    return Count;
  }

  void run(int Seconds, const std::function<double(int)> &PrefillShare,
           double Utilisation = 0.9) {
    for (int Second = 0; Second < Seconds; ++Second)
      advance(makeDemand(Utilisation * static_cast<double>(m_Engines.size()),
                         PrefillShare(Second), 1));
  }
};

double withNoise(Random &Generator, double Value, double Deviation) {
  return std::max(0.0,
                  Value * std::normal_distribution<>(1, Deviation)(Generator));
}

} // namespace

SCENARIO("the scarcer of prefill and decode limits the goodput of a split") {
  Policy Rules = malabarPolicy();
  GIVEN("splits of ten engines") {
    struct Case {
      const char *m_Name;
      SplitCapacity m_Split; ///< Mixed, prefill, decode.
      WorkRate m_Work;
      double m_LoadFactor;
    };
    double Infinite = std::numeric_limits<double>::infinity();
    auto Row = GENERATE_COPY(
        Case{"no work", {{{}, {100, 0}, {0, 10}}}, {0, 0, 0}, Infinite},
        Case{"no engine", {}, {1, 100, 10}, 0},
        Case{"prefill is scarce", {{{}, {50, 0}, {0, 10}}}, {1, 100, 10}, 0.5},
        Case{"decode is scarce", {{{}, {100, 0}, {0, 5}}}, {1, 100, 10}, 0.5},
        Case{"nothing decodes", {{{}, {100, 0}, {}}}, {1, 100, 10}, 0},
        Case{"only prefill work", {{{60, 9}, {100, 0}, {}}}, {1, 80, 0}, 2},
        Case{"mixed alone", {{{200, 20}, {}, {}}}, {1, 100, 10}, 1},
        Case{"mixed decode", {{{200, 10}, {100, 0}, {}}}, {1, 100, 10}, 1},
        Case{
            "mixed do both", {{{200, 20}, {100, 0}, {0, 10}}}, {1, 100, 10}, 2},
        Case{"prefill engines help with decode",
             {{{}, {300, 15}, {0, 10}}},
             {1, 100, 10},
             5.0 / 3});
    THEN(Row.m_Name) {
      CHECK(sustainableLoadFactor(Row.m_Split, Row.m_Work) ==
            Approx(Row.m_LoadFactor));
    }
  }
  GIVEN("a split with spare capacity and one without") {
    WorkRate Work{10, 100, 10};
    THEN("the first completes nearly all requests, the second only a part") {
      CHECK(goodput({{{300, 30}, {100, 10}, {}}}, Work, Rules) ==
            Approx(10).epsilon(0.001));
      CHECK(goodput({{{100, 10}, {}, {}}}, Work, Rules) < 5);
      CHECK(goodput({{{100, 10}, {}, {}}}, Work, Rules) > 4.5);
      CHECK(goodput({{{}, {}, {0, 5}}}, Work, Rules) == 0);
    }
  }
}

SCENARIO("a forecast follows the level and estimates its uncertainty") {
  Series History;
  GIVEN("a constant value") {
    for (int Count = 0; Count < 50; ++Count)
      observe(History, 5, 0.2);
    Forecast Expected = forecastAfter(History, 30, 0.2);
    CHECK(Expected.m_Mean == Approx(5));
    CHECK(Expected.m_Deviation == Approx(0).margin(1e-9));
  }
  GIVEN("noise") {
    Random Generator(7);
    for (int Count = 0; Count < 500; ++Count)
      observe(History, withNoise(Generator, 100, 0.3), 0.1);
    THEN("the mean is close and the deviation grows with the forecast "
         "distance") {
      Forecast Near = forecastAfter(History, 1, 0.1);
      Forecast Far = forecastAfter(History, 100, 0.1);
      CHECK(Near.m_Mean == Approx(100).epsilon(0.2));
      CHECK(Near.m_Deviation > 2);
      CHECK(Far.m_Deviation > Near.m_Deviation);
    }
  }
  GIVEN("a value that falls to zero") {
    for (int Count = 0; Count < 50; ++Count)
      observe(History, std::max(0, 20 - Count), 0.3);
    CHECK(forecastAfter(History, 50, 0.3).m_Mean >= 0);
  }
}

SCENARIO("the planner follows lasting shifts only") {
  auto Rules = GENERATE(cooperativePolicy(), malabarPolicy());
  // Engines that accept only the work of their role need the most changes.
  bool Strict = GENERATE(true, false);
  if (Strict)
    Rules.m_RoleRates = {RoleRates{0.85, 0.85}, {1, 0}, {0, 1}};
  CAPTURE(Rules.m_Name, Strict);
  Fleet Simulated{Rules, makeEngines(8, 4, 8)};

  WHEN("the mix does not shift") {
    Simulated.run(900, [](int) { return 0.4; });
    THEN("no role changes") { CHECK(Simulated.m_Changes.empty()); }
  }
  WHEN("the fleet is nearly idle") {
    Simulated.run(
        600, [](int Second) { return Second < 100 ? 0.2 : 0.7; }, 0.4);
    THEN("no role changes because no answer would be gained") {
      CHECK(Simulated.m_Changes.empty());
    }
  }
  WHEN("the mix shifts permanently") {
    Simulated.run(600, [](int Second) { return Second < 100 ? 0.35 : 0.75; });
    THEN("engines move to prefill until the load is sustained") {
      CHECK(Simulated.m_Changes.size() >= (Strict ? 2U : 1U));
      CHECK(Simulated.count(Role::Decode) < 8);
      CHECK(Simulated.m_LastDecision.m_Explanations.front().m_Utilisation <
            1.02);
    }
    THEN("changes stop") {
      std::size_t Before = Simulated.m_Changes.size();
      Simulated.run(600, [](int) { return 0.75; });
      CHECK(Simulated.m_Changes.size() <= Before + 1);
    }
  }
  WHEN("the mix oscillates around the split faster than a change recovers "
       "its cost") {
    int HalfPeriod = GENERATE(5, 10, 20, 30);
    Simulated.run(1800, [HalfPeriod](int Second) {
      return (Second / HalfPeriod) % 2 == 0 ? 0.2 : 0.6;
    });
    THEN("at most two engines change") {
      CAPTURE(HalfPeriod);
      for (const Change &Executed : Simulated.m_Changes)
        UNSCOPED_INFO(roleName(Executed.m_From)
                      << "->" << roleName(Executed.m_To) << " "
                      << Executed.m_Engine.m_Value);
      CHECK(Simulated.m_Changes.size() <= 2);
    }
  }
}

SCENARIO("the reason that rules out a change is reported") {
  Policy Rules = malabarPolicy();
  Fleet Simulated{Rules, makeEngines(8, 4, 8)};
  auto Shift = [](int Second) { return Second < 100 ? 0.35 : 0.75; };
  auto LastReason = [&Simulated] {
    return Simulated.m_LastDecision.m_Explanations.front().m_Reason;
  };
  GIVEN("a disabled policy") {
    Simulated.m_Rules.m_Enabled = false;
    Simulated.run(300, Shift);
    CHECK(LastReason() == Reason::Disabled);
    CHECK(Simulated.m_Changes.empty());
  }
  GIVEN("too little demand observed") {
    Simulated.run(3, Shift);
    CHECK(LastReason() == Reason::Learning);
  }
  GIVEN("an engine that does not finish its change") {
    Simulated.m_Engines.back().m_State = EngineState::Changing;
    Simulated.run(300, Shift);
    CHECK(LastReason() == Reason::ChangeInProgress);
    CHECK(Simulated.m_Changes.empty());
  }
  GIVEN("an hourly limit that another leader has reached") {
    restoreChanges(Simulated.m_State,
                   std::vector<TimePoint>(Rules.m_ChangesPerHour, TimePoint{}));
    Simulated.run(300, Shift);
    CHECK(LastReason() == Reason::BudgetSpent);
    CHECK(Simulated.m_Changes.empty());
  }
  GIVEN("minimum engine counts that allow no move") {
    Simulated.m_Rules.m_MinEngines = {8, 4, 8};
    Simulated.run(300, Shift);
    CHECK(LastReason() == Reason::NoAlternative);
  }
  GIVEN("a cost that no gain can reach") {
    Simulated.m_Rules.m_CostAnswers = 1e9;
    Simulated.run(300, Shift);
    CHECK(LastReason() == Reason::NoGain);
  }
}

SCENARIO("pools are planned separately and change one at a time") {
  Policy Rules = malabarPolicy();
  std::vector<Engine> Engines = makeEngines(8, 4, 8);
  for (Engine &Member : makeEngines(8, 4, 8)) {
    Member.m_Id.m_Value += "-second";
    Member.m_Models = {{"kiln-3b"}, {"kiln-3b+glaze"}};
    Engines.push_back(Member);
  }
  State Planner;
  Decision Last;
  std::size_t Changes = 0;
  TimePoint Now;
  for (int Second = 0; Second < 200; ++Second) {
    Demand Load = makeDemand(18, Second < 60 ? 0.35 : 0.75, 1);
    Last =
        step(Planner, Rules,
             {1s, {{{"gourd-8b"}, Load}, {{"kiln-3b+glaze"}, Load}}, Engines},
             Now += 1s);
    Changes += Last.m_Change ? 1 : 0;
  }
  CHECK(Last.m_Explanations.size() == 2);
  CHECK(Last.m_Explanations[1].m_Pool == "kiln-3b+kiln-3b+glaze");
  CHECK(Changes > 2);
}

SCENARIO("policies and explanations have a JSON form") {
  GIVEN("a shipped policy") {
    Policy Shipped = cooperativePolicy();
    CHECK(validate(Shipped).empty());
    Result<Policy> Read = policyFromJson(toJson(Shipped), Policy{});
    REQUIRE_FALSE(failed(Read));
    CHECK(toJson(valueOf(Read)) == toJson(Shipped));
  }
  GIVEN("invalid documents") {
    auto Text =
        GENERATE(R"([])", R"({"colour": 1})", R"({"name": 3})",
                 R"({"least_engines": {"cook": 1}})",
                 R"({"horizon_seconds": 1})", R"({"utilisation_knee": 1.5})");
    CAPTURE(Text);
    CHECK(failed(policyFromJson(nlohmann::json::parse(Text), malabarPolicy())));
  }
  GIVEN("an explanation") {
    Fleet Simulated{malabarPolicy(), makeEngines(8, 4, 8)};
    Simulated.run(60, [](int) { return 0.4; });
    nlohmann::json Document =
        toJson(Simulated.m_LastDecision.m_Explanations.front());
    CHECK(Document["pool"] == "gourd-8b");
    CHECK(Document["engines"]["decode"] == 8);
    CHECK_FALSE(Document["alternatives"].empty());
    CHECK(describe(Simulated.m_LastDecision.m_Explanations.front())
              .find("gourd-8b: ") == 0);
  }
}

TEST_CASE("properties of the planner") {
  CHECK(rc::check("limits hold for any demand", [] {
    Policy Rules = malabarPolicy();
    Rules.m_CostEngineTime = 1s * *rc::gen::inRange(0, 30);
    Rules.m_EvidenceShare = 0.05;
    Rules.m_UncertaintyWeight = 0;
    Rules.m_ChangesPerHour = *rc::gen::inRange(0U, 12U);
    for (std::uint32_t &Minimum : Rules.m_MinEngines)
      Minimum = *rc::gen::inRange(0U, 4U);
    auto Count = [] { return *rc::gen::inRange(0U, 8U); };
    Fleet Simulated{Rules, makeEngines(Count() + 1, Count(), Count())};
    std::array<std::uint32_t, RoleCount> Before{Simulated.count(Role::Mixed),
                                                Simulated.count(Role::Prefill),
                                                Simulated.count(Role::Decode)};
    Random Generator(*rc::gen::arbitrary<std::uint64_t>());
    double Share = 0.5;
    for (int Second = 0; Second < 400; ++Second) {
      if (Second % 60 == 0)
        Share = std::uniform_real_distribution<>(0, 1)(Generator);
      bool WasChanging = !Simulated.m_ChangeEnds.empty();
      std::size_t Changes = Simulated.m_Changes.size();
      double Work = 0.95 * static_cast<double>(Simulated.m_Engines.size());
      Simulated.advance(makeDemand(withNoise(Generator, Work, 0.2), Share, 1));
      if (Simulated.m_Changes.size() > Changes)
        RC_ASSERT(!WasChanging || Simulated.m_ChangeEnds.size() == 1);
      RC_ASSERT(Simulated.m_ChangeEnds.size() <= 1);
    }
    RC_ASSERT(Simulated.m_Changes.size() <= Rules.m_ChangesPerHour);
    for (Role EngineRole : {Role::Mixed, Role::Prefill, Role::Decode}) {
      auto Index = static_cast<std::size_t>(EngineRole);
      RC_ASSERT(Simulated.count(EngineRole) >=
                std::min(Before[Index], Rules.m_MinEngines[Index]));
    }
  }));

  CHECK(rc::check("noise alone causes no change", [] {
    Fleet Simulated{cooperativePolicy(), makeEngines(8, 4, 8)};
    Random Generator(*rc::gen::arbitrary<std::uint64_t>());
    for (int Second = 0; Second < 400; ++Second) {
      Demand Load = makeDemand(withNoise(Generator, 17, 0.2), 0.4, 1);
      Load.m_PromptTokens = static_cast<std::uint64_t>(
          withNoise(Generator, static_cast<double>(Load.m_PromptTokens), 0.3));
      Simulated.advance(Load);
    }
    RC_ASSERT(Simulated.m_Changes.empty());
  }));

  CHECK(rc::check("a short oscillation of any shape causes at most two changes",
                  [] {
                    Fleet Simulated{cooperativePolicy(), makeEngines(8, 4, 8)};
                    int HalfPeriod = *rc::gen::inRange(2, 30);
                    double Low = 0.01 * *rc::gen::inRange(20, 45);
                    double High = 0.01 * *rc::gen::inRange(45, 75);
                    Simulated.run(600, [&](int Second) {
                      return (Second / HalfPeriod) % 2 ? High : Low;
                    });
                    RC_ASSERT(Simulated.m_Changes.size() <= 2U);
                  }));
}
