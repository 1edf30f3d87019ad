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
  std::vector<Engine> Made;
  auto Add = [&Made](std::uint32_t Count, Role As) {
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Made.push_back({{"e" + std::to_string(Made.size())},
                      {{"gourd-8b"}},
                      As,
                      EngineState::Serving,
                      PrefillRate,
                      DecodeRate,
                      0});
  };
  Add(Mixed, Role::Mixed);
  Add(Prefill, Role::Prefill);
  Add(Decode, Role::Decode);
  return Made;
}

/// Work of \p Engines engines, \p PrefillShare of it prefill.
Demand makeDemand(double Engines, double PrefillShare, double Seconds) {
  Demand Made;
  Made.m_Requests = static_cast<std::uint64_t>(10 * Seconds);
  Made.m_PromptTokens = static_cast<std::uint64_t>(Engines * PrefillShare *
                                                   PrefillRate * Seconds);
  Made.m_OutputTokens = static_cast<std::uint64_t>(
      Engines * (1 - PrefillShare) * DecodeRate * Seconds);
  return Made;
}

/// A fleet that carries out what the planner decides.
struct Fleet {
  Policy m_Rules;
  std::vector<Engine> m_Engines;
  State m_State{};
  TimePoint m_Now{};
  Duration m_Interval = 1s;
  std::map<TargetId, TimePoint> m_Back{};
  std::vector<Change> m_Changes{};
  Decision m_Last{};

  void turn(const Demand &Wanted) {
    m_Now += m_Interval;
    for (Engine &Each : m_Engines)
      if (m_Back.contains(Each.m_Id) && m_Back[Each.m_Id] <= m_Now) {
        Each.m_State = EngineState::Serving;
        m_Back.erase(Each.m_Id);
      }
    m_Last = step(m_State, m_Rules,
                  {m_Interval, {{{"gourd-8b"}, Wanted}}, m_Engines}, m_Now);
    if (m_Last.m_Change)
      apply(*m_Last.m_Change);
  }

  void apply(const Change &Wanted) {
    m_Changes.push_back(Wanted);
    for (Engine &Each : m_Engines)
      if (Each.m_Id == Wanted.m_Engine) {
        Each.m_Role = Wanted.m_To;
        Each.m_State = EngineState::Changing;
        m_Back[Each.m_Id] = m_Now + m_Rules.m_ChangeDuration;
      }
  }

  [[nodiscard]] std::uint32_t count(Role Of) const {
    std::uint32_t Count = 0;
    for (const Engine &Each : m_Engines)
      Count += Each.m_Role == Of ? 1 : 0;
    return Count;
  }

  void run(int Turns, const std::function<double(int)> &PrefillShare,
           double Utilisation = 0.9) {
    for (int Turn = 0; Turn < Turns; ++Turn)
      turn(makeDemand(Utilisation * static_cast<double>(m_Engines.size()),
                      PrefillShare(Turn), 1));
  }
};

double noisy(Random &From, double Value, double Deviation) {
  return std::max(0.0, Value * std::normal_distribution<>(1, Deviation)(From));
}

} // namespace

SCENARIO("the goodput of a split follows its scarcer kind of work") {
  Policy Rules = malabarPolicy();
  GIVEN("splits of ten engines") {
    struct Case {
      const char *m_Name;
      SplitCapacity m_Split; ///< Mixed, prefill, decode.
      WorkRate m_Work;
      double m_Carried;
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
            Approx(Row.m_Carried));
    }
  }
  GIVEN("a split with room and one without") {
    WorkRate Work{10, 100, 10};
    THEN("the first completes nearly all, the second its share") {
      CHECK(goodput({{{300, 30}, {100, 10}, {}}}, Work, Rules) ==
            Approx(10).epsilon(0.001));
      CHECK(goodput({{{100, 10}, {}, {}}}, Work, Rules) < 5);
      CHECK(goodput({{{100, 10}, {}, {}}}, Work, Rules) > 4.5);
      CHECK(goodput({{{}, {}, {0, 5}}}, Work, Rules) == 0);
    }
  }
}

SCENARIO("a forecast follows a level and knows its uncertainty") {
  Series Of;
  GIVEN("a constant value") {
    for (int Count = 0; Count < 50; ++Count)
      observe(Of, 5, 0.2);
    Forecast Then = forecastAfter(Of, 30, 0.2);
    CHECK(Then.m_Mean == Approx(5));
    CHECK(Then.m_Deviation == Approx(0).margin(1e-9));
  }
  GIVEN("noise") {
    Random From(7);
    for (int Count = 0; Count < 500; ++Count)
      observe(Of, noisy(From, 100, 0.3), 0.1);
    THEN("the mean is near and the deviation grows with the distance") {
      Forecast Soon = forecastAfter(Of, 1, 0.1);
      Forecast Late = forecastAfter(Of, 100, 0.1);
      CHECK(Soon.m_Mean == Approx(100).epsilon(0.2));
      CHECK(Soon.m_Deviation > 2);
      CHECK(Late.m_Deviation > Soon.m_Deviation);
    }
  }
  GIVEN("a value that falls to zero") {
    for (int Count = 0; Count < 50; ++Count)
      observe(Of, std::max(0, 20 - Count), 0.3);
    CHECK(forecastAfter(Of, 50, 0.3).m_Mean >= 0);
  }
}

SCENARIO("a lasting shift is followed, and nothing else is") {
  auto Rules = GENERATE(cooperativePolicy(), malabarPolicy());
  // Engines that take no work but that of their role need the most changes.
  bool Strict = GENERATE(true, false);
  if (Strict)
    Rules.m_RoleRates = {RoleRates{0.85, 0.85}, {1, 0}, {0, 1}};
  CAPTURE(Rules.m_Name, Strict);
  Fleet Of{Rules, makeEngines(8, 4, 8)};

  WHEN("the mix does not shift") {
    Of.run(900, [](int) { return 0.4; });
    THEN("nothing changes") { CHECK(Of.m_Changes.empty()); }
  }
  WHEN("the fleet is nearly idle") {
    Of.run(
        600, [](int Turn) { return Turn < 100 ? 0.2 : 0.7; }, 0.4);
    THEN("nothing changes: no answer would be won") {
      CHECK(Of.m_Changes.empty());
    }
  }
  WHEN("the mix shifts for good") {
    Of.run(600, [](int Turn) { return Turn < 100 ? 0.35 : 0.75; });
    THEN("engines move towards prefill until it is carried") {
      CHECK(Of.m_Changes.size() >= (Strict ? 2U : 1U));
      CHECK(Of.count(Role::Decode) < 8);
      CHECK(Of.m_Last.m_Explanations.front().m_Utilisation < 1.02);
    }
    THEN("it comes to rest") {
      std::size_t Before = Of.m_Changes.size();
      Of.run(600, [](int) { return 0.75; });
      CHECK(Of.m_Changes.size() <= Before + 1);
    }
  }
  WHEN("the mix swings around what the split suits, faster than a change "
       "pays") {
    int Half = GENERATE(5, 10, 20, 30);
    Of.run(1800,
           [Half](int Turn) { return (Turn / Half) % 2 == 0 ? 0.2 : 0.6; });
    THEN("at most two engines change") {
      CAPTURE(Half);
      for (const Change &Each : Of.m_Changes)
        UNSCOPED_INFO(roleName(Each.m_From) << "->" << roleName(Each.m_To)
                                            << " " << Each.m_Engine.m_Value);
      CHECK(Of.m_Changes.size() <= 2);
    }
  }
}

SCENARIO("what rules a change out is named") {
  Policy Rules = malabarPolicy();
  Fleet Of{Rules, makeEngines(8, 4, 8)};
  auto Shift = [](int Turn) { return Turn < 100 ? 0.35 : 0.75; };
  auto LastReason = [&Of] { return Of.m_Last.m_Explanations.front().m_Reason; };
  GIVEN("a policy that is off") {
    Of.m_Rules.m_Enabled = false;
    Of.run(300, Shift);
    CHECK(LastReason() == Reason::Disabled);
    CHECK(Of.m_Changes.empty());
  }
  GIVEN("too little demand observed") {
    Of.run(3, Shift);
    CHECK(LastReason() == Reason::Learning);
  }
  GIVEN("an engine that stays away") {
    Of.m_Engines.back().m_State = EngineState::Changing;
    Of.run(300, Shift);
    CHECK(LastReason() == Reason::ChangeInProgress);
    CHECK(Of.m_Changes.empty());
  }
  GIVEN("a budget that another leader has spent") {
    restoreChanges(Of.m_State,
                   std::vector<TimePoint>(Rules.m_ChangesPerHour, TimePoint{}));
    Of.run(300, Shift);
    CHECK(LastReason() == Reason::BudgetSpent);
    CHECK(Of.m_Changes.empty());
  }
  GIVEN("least numbers that leave nothing to move") {
    Of.m_Rules.m_MinEngines = {8, 4, 8};
    Of.run(300, Shift);
    CHECK(LastReason() == Reason::NoAlternative);
  }
  GIVEN("a cost that no gain can reach") {
    Of.m_Rules.m_CostAnswers = 1e9;
    Of.run(300, Shift);
    CHECK(LastReason() == Reason::NoGain);
  }
}

SCENARIO("pools are planned apart and change one after the other") {
  Policy Rules = malabarPolicy();
  std::vector<Engine> Engines = makeEngines(8, 4, 8);
  for (Engine &Each : makeEngines(8, 4, 8)) {
    Each.m_Id.m_Value += "-second";
    Each.m_Models = {{"kiln-3b"}, {"kiln-3b+glaze"}};
    Engines.push_back(Each);
  }
  State Of;
  Decision Last;
  std::size_t Changes = 0;
  TimePoint Now;
  for (int Turn = 0; Turn < 200; ++Turn) {
    Demand Wanted = makeDemand(18, Turn < 60 ? 0.35 : 0.75, 1);
    Last = step(
        Of, Rules,
        {1s, {{{"gourd-8b"}, Wanted}, {{"kiln-3b+glaze"}, Wanted}}, Engines},
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
  GIVEN("documents that are wrong") {
    auto Text =
        GENERATE(R"([])", R"({"colour": 1})", R"({"name": 3})",
                 R"({"least_engines": {"cook": 1}})",
                 R"({"horizon_seconds": 1})", R"({"utilisation_knee": 1.5})");
    CAPTURE(Text);
    CHECK(failed(policyFromJson(nlohmann::json::parse(Text), malabarPolicy())));
  }
  GIVEN("an explanation") {
    Fleet Of{malabarPolicy(), makeEngines(8, 4, 8)};
    Of.run(60, [](int) { return 0.4; });
    nlohmann::json Shown = toJson(Of.m_Last.m_Explanations.front());
    CHECK(Shown["pool"] == "gourd-8b");
    CHECK(Shown["engines"]["decode"] == 8);
    CHECK_FALSE(Shown["alternatives"].empty());
    CHECK(describe(Of.m_Last.m_Explanations.front()).find("gourd-8b: ") == 0);
  }
}

TEST_CASE("properties of the planner") {
  CHECK(rc::check("limits hold for any demand", [] {
    Policy Rules = malabarPolicy();
    Rules.m_CostEngineTime = 1s * *rc::gen::inRange(0, 30);
    Rules.m_EvidenceShare = 0.05;
    Rules.m_UncertaintyWeight = 0;
    Rules.m_ChangesPerHour = *rc::gen::inRange(0U, 12U);
    for (std::uint32_t &Least : Rules.m_MinEngines)
      Least = *rc::gen::inRange(0U, 4U);
    auto Count = [] { return *rc::gen::inRange(0U, 8U); };
    Fleet Of{Rules, makeEngines(Count() + 1, Count(), Count())};
    std::array<std::uint32_t, RoleCount> Before{
        Of.count(Role::Mixed), Of.count(Role::Prefill), Of.count(Role::Decode)};
    Random From(*rc::gen::arbitrary<std::uint64_t>());
    double Share = 0.5;
    for (int Turn = 0; Turn < 400; ++Turn) {
      if (Turn % 60 == 0)
        Share = std::uniform_real_distribution<>(0, 1)(From);
      bool WasChanging = !Of.m_Back.empty();
      std::size_t Changes = Of.m_Changes.size();
      double Work = 0.95 * static_cast<double>(Of.m_Engines.size());
      Of.turn(makeDemand(noisy(From, Work, 0.2), Share, 1));
      if (Of.m_Changes.size() > Changes)
        RC_ASSERT(!WasChanging || Of.m_Back.size() == 1);
      RC_ASSERT(Of.m_Back.size() <= 1);
    }
    RC_ASSERT(Of.m_Changes.size() <= Rules.m_ChangesPerHour);
    for (Role Each : {Role::Mixed, Role::Prefill, Role::Decode}) {
      auto Index = static_cast<std::size_t>(Each);
      RC_ASSERT(Of.count(Each) >=
                std::min(Before[Index], Rules.m_MinEngines[Index]));
    }
  }));

  CHECK(rc::check("noise alone changes nothing", [] {
    Fleet Of{cooperativePolicy(), makeEngines(8, 4, 8)};
    Random From(*rc::gen::arbitrary<std::uint64_t>());
    for (int Turn = 0; Turn < 400; ++Turn) {
      Demand Wanted = makeDemand(noisy(From, 17, 0.2), 0.4, 1);
      Wanted.m_PromptTokens = static_cast<std::uint64_t>(
          noisy(From, static_cast<double>(Wanted.m_PromptTokens), 0.3));
      Of.turn(Wanted);
    }
    RC_ASSERT(Of.m_Changes.empty());
  }));

  CHECK(rc::check("a short swing of any shape changes at most two", [] {
    Fleet Of{cooperativePolicy(), makeEngines(8, 4, 8)};
    int Half = *rc::gen::inRange(2, 30);
    double Low = 0.01 * *rc::gen::inRange(20, 45);
    double High = 0.01 * *rc::gen::inRange(45, 75);
    Of.run(600, [&](int Turn) { return (Turn / Half) % 2 ? High : Low; });
    RC_ASSERT(Of.m_Changes.size() <= 2U);
  }));
}
