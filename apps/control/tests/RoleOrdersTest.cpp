// Which engines change their role under a load that entries report.

#include "RoleOrders.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace wasabivale;
using namespace wasabivale::control;
using namespace std::chrono_literals;

namespace {

constexpr int Entries = 6;

/// Load of one entry in half a second.
struct EntryLoad {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_PromptTokens = 0;
  std::optional<std::uint32_t> m_Streams;
  std::optional<double> m_PrefillRate;
};

/// The leader of 12 engines, seven of them in role prefill.
struct Leader {
  event_base *m_Loop = event_base_new();
  metrics::Registry m_Registry;
  fleet::State m_Known;
  fleet::ObservedState m_Observed;
  fleet::SharedWork m_Work;
  TimePoint m_Now{1000s};
  std::map<std::string, std::string> m_Held; ///< Former roles, by target.
  RoleOrders m_Orders{
      m_Loop,
      m_Registry,
      {[] { return false; },
       [this](const std::string &Key, const wire::Command &Command) {
         if (Key.rfind("hold/", 0) == 0) {
           const TargetId Id{Command.hold_target().target()};
           m_Held[Id.m_Value] = m_Known.m_Targets.m_ById.at(Id).m_Role;
         }
       },
       NodeId{"control-1"}}};

  Leader() {
    m_Known.m_Targets.m_HoldCount = 1;
    for (int I = 0; I < 12; ++I) {
      fleet::Target Engine;
      Engine.m_Id = {fmt::format("i-{:02}", I)};
      Engine.m_Incarnation = "first";
      Engine.m_Role = I < 7 ? "prefill" : "decode";
      Engine.m_Models = {"llm"};
      Engine.m_MaxRunning = 64;
      Engine.m_SelfManaged = true;
      Engine.m_State = fleet::TargetState::Serving;
      m_Known.m_Targets.m_ById[Engine.m_Id] = Engine;
    }
    m_Orders.startTerm(2, false, m_Now);
  }
  /// A leader that has had \p Load for a while.
  explicit Leader(const EntryLoad &Load) : Leader() {
    play(10s, Load);
    m_Held.clear();
  }
  ~Leader() {
    m_Orders.endTerm();
    event_base_free(m_Loop);
  }
  Leader(const Leader &) = delete;
  Leader &operator=(const Leader &) = delete;

  /// Plays a load for \p Span. \p Reporting entries report.
  void play(Duration Span, const EntryLoad &Load, int Reporting = Entries) {
    for (const TimePoint End = m_Now + Span; m_Now < End; m_Now += 500ms) {
      for (int I = 0; I < Reporting; ++I) {
        wire::EntryReport Report;
        wire::ModelDemand &Demand = *Report.add_demand();
        Demand.set_model("llm");
        Demand.set_requests(Load.m_Requests);
        Demand.set_prompt_tokens(Load.m_PromptTokens);
        if (Load.m_Streams)
          Demand.set_streams(*Load.m_Streams);
        if (Load.m_PrefillRate)
          Demand.set_prefill_rate(*Load.m_PrefillRate);
        m_Orders.handleReport({fmt::format("entry-{}", I)}, Report, m_Now);
      }
      m_Orders.tick(m_Known, m_Observed, m_Work, m_Now);
    }
  }

  [[nodiscard]] bool hasHeld(const std::string &Role) const {
    return std::any_of(m_Held.begin(), m_Held.end(),
                       [&](const auto &Item) { return Item.second == Role; });
  }
};

/// 300 streams at once, which need all five engines that decode.
constexpr EntryLoad ManyStreams{8, 40'000, 50, 330'000.0};

/// 690 requests a second with prompts of 9,000 tokens; streams last 80 ms.
constexpr EntryLoad PromptBurst{58, 522'000, 9, 330'000.0};

} // namespace

SCENARIO("a burst of prompts with short answers takes no engine from prefill") {
  Leader Known;
  GIVEN("entries that report their streams") {
    Known.play(20s, PromptBurst);
    THEN("only engines that decode change") {
      CHECK(Known.hasHeld("decode"));
      CHECK_FALSE(Known.hasHeld("prefill"));
    }
  }
  GIVEN("entries of a build that reports none") {
    EntryLoad Uncounted = PromptBurst;
    Uncounted.m_Streams.reset();
    Known.play(20s, Uncounted);
    THEN("a stream is taken to last for its usual time") {
      CHECK(Known.hasHeld("prefill"));
    }
  }
}

SCENARIO("no engine changes before the load has settled") {
  Leader Known;
  Known.play(4s, PromptBurst);
  CHECK(Known.m_Held.empty());
}

SCENARIO("a short dip takes no engine from decoding") {
  Leader Known(ManyStreams);
  WHEN("streams are few for two seconds while prompts come") {
    Known.play(2s, PromptBurst);
    THEN("the engines that decode stay") {
      CHECK_FALSE(Known.hasHeld("decode"));
    }
  }
}

SCENARIO("streams of an entry that is gone do not count for ever") {
  Leader Known(ManyStreams);
  WHEN("all entries but one are gone, and prompts come to that one") {
    const EntryLoad One{300, 3'000'000, 4, 330'000.0};
    Known.play(40s, One, 1);
    THEN("engines leave decoding") { CHECK(Known.hasHeld("decode")); }
  }
}

SCENARIO("an absurd rate of one entry changes no role") {
  Leader Known;
  const EntryLoad Quiet{17, 156'000, 15, 330'000.0};
  Known.play(10s, Quiet);
  REQUIRE(Known.m_Held.empty());
  WHEN("one entry reports that engines read next to nothing") {
    for (int I = 0; I < 20; ++I) {
      Known.play(500ms, Quiet);
      wire::EntryReport Report;
      wire::ModelDemand &Demand = *Report.add_demand();
      Demand.set_model("llm");
      Demand.set_streams(15);
      Demand.set_prefill_rate(1e-3);
      Known.m_Orders.handleReport({"entry-0"}, Report, Known.m_Now);
    }
    THEN("the others' rates decide") { CHECK(Known.m_Held.empty()); }
  }
}
