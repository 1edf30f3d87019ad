#include "Options.h"
#include "Target.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace wasabivale;
using namespace wasabivale::faketargets;
using namespace std::chrono_literals;
using targets::OrderAnswer;
using targets::RunResult;

namespace {

Settings quickSettings(std::uint16_t FirstPort) {
  Settings Made;
  Made.m_FirstPort = FirstPort;
  Made.m_Services = 1;
  Made.m_Model.m_DecodeTokensPerSecond = 1000;
  Made.m_Model.m_RoleChangeTime = 200ms;
  Made.m_ServiceTime = 1ms;
  return Made;
}

/// An engine and a service on a loop of their own.
struct Stage {
  Context m_Shared;
  std::vector<std::unique_ptr<Target>> m_Targets;

  explicit Stage(std::uint16_t FirstPort)
      : m_Shared{event_base_new(), quickSettings(FirstPort), JudgeLog{},
                 Random(1)} {
    std::signal(SIGPIPE, SIG_IGN);
    for (auto &Each : announcements(m_Shared.m_Settings)) {
      m_Targets.push_back(std::make_unique<Target>(m_Shared, std::move(Each)));
      REQUIRE(!failed(m_Targets.back()->start()));
    }
  }
  ~Stage() {
    m_Targets.clear();
    event_base_loop(m_Shared.m_Loop, EVLOOP_NONBLOCK);
    event_base_free(m_Shared.m_Loop);
  }
  Stage(const Stage &) = delete;
  Stage &operator=(const Stage &) = delete;

  Target &engine() { return *m_Targets[0]; }
  http::Address address(std::size_t Index) const {
    return announcements(m_Shared.m_Settings)[Index].m_Address;
  }

  bool turnUntil(const std::function<bool()> &Done) {
    const TimePoint End = BootClock::now() + 20s;
    while (!Done() && BootClock::now() < End) {
      const timeval Tick{0, 2000};
      event_base_loopexit(m_Shared.m_Loop, &Tick);
      event_base_dispatch(m_Shared.m_Loop);
      for (const auto &Each : m_Targets)
        Each->turn(BootClock::now());
    }
    return Done();
  }

  struct Running {
    std::string m_Text;
    std::optional<targets::RunEnding> m_Ending;
  };

  std::shared_ptr<Running> startRun(const std::string &Prompt,
                                    std::uint64_t Tokens,
                                    std::uint64_t Offset = 0,
                                    Duration Time = 15s) {
    targets::RunRequest What;
    What.m_Request = {"r"};
    What.m_Model = {"gourd-8b"};
    What.m_Prompt = Prompt;
    What.m_MaxTokens = Tokens;
    What.m_Offset = Offset;
    What.m_StreamId = Prompt;
    What.m_Deadline = BootClock::now() + Time;
    auto Made = std::make_shared<Running>();
    targets::RunHandlers Handlers;
    Handlers.m_OnPiece = [Made](const targets::StreamPiece &Piece) {
      Made->m_Text += Piece.m_Text;
    };
    Handlers.m_OnEnd = [Made](targets::RunEnding How) {
      Made->m_Ending = std::move(How);
    };
    targets::runOnEngine(m_Shared.m_Loop, address(0), What, Handlers);
    return Made;
  }

  RunResult run(const std::string &Prompt, Duration Time = 15s) {
    const auto Made = startRun(Prompt, 5, 0, Time);
    REQUIRE(turnUntil([&] { return Made->m_Ending.has_value(); }));
    return Made->m_Ending->m_Result;
  }

  targets::CallEnding call(const std::string &Service,
                           const std::string &Body) {
    std::optional<targets::CallEnding> Ending;
    targets::callService(
        m_Shared.m_Loop, address(1),
        {{"c"}, Service, "POST", "/", Body, true, ""}, BootClock::now() + 15s,
        [&](targets::CallEnding How) { Ending = std::move(How); });
    REQUIRE(turnUntil([&] { return Ending.has_value(); }));
    return *Ending;
  }

  OrderAnswer order(const targets::Order &Given) {
    std::optional<Result<OrderAnswer>> Answer;
    targets::sendOrder(
        m_Shared.m_Loop, address(0), Given, BootClock::now() + 15s,
        [&](Result<OrderAnswer> Got) { Answer = std::move(Got); });
    REQUIRE(turnUntil([&] { return Answer.has_value(); }));
    return valueOf(*Answer);
  }
};

targets::Order orderOf(const std::string &Id, targets::Fence Fence,
                       targets::Role Role, bool Draining = false) {
  return {Id, Fence, {Role, {{"gourd-8b"}}, Draining, false}};
}

const auto Mixed = targets::Role::Mixed;
const auto Decode = targets::Role::Decode;

} // namespace

SCENARIO("orders are taken by fence, one at a time") {
  struct Case {
    const char *m_Name;
    bool m_Checks;
    bool m_Busy;
    targets::Order m_Given;
    OrderAnswer m_Answer;
  };
  const Case Cases[] = {
      {"newer sequence", true, false, orderOf("b", {2, 6}, Mixed),
       OrderAnswer::Accepted},
      {"newer term", true, false, orderOf("b", {3, 1}, Mixed),
       OrderAnswer::Accepted},
      {"older sequence", true, false, orderOf("b", {2, 4}, Mixed),
       OrderAnswer::StaleFence},
      {"older term", true, false, orderOf("b", {1, 9}, Mixed),
       OrderAnswer::StaleFence},
      {"same fence, other order", true, false, orderOf("b", {2, 5}, Mixed),
       OrderAnswer::StaleFence},
      {"same order again", true, false, orderOf("a", {2, 5}, Decode),
       OrderAnswer::Accepted},
      {"same order, older fence", true, false, orderOf("a", {2, 4}, Decode),
       OrderAnswer::StaleFence},
      {"older, but fences are ignored", false, false,
       orderOf("b", {1, 1}, Mixed), OrderAnswer::Accepted},
      {"while another runs", true, true, orderOf("b", {2, 6}, Mixed),
       OrderAnswer::Busy},
      {"while it runs itself", true, true, orderOf("a", {2, 6}, Decode),
       OrderAnswer::Accepted},
      {"older while another runs", true, true, orderOf("b", {1, 6}, Mixed),
       OrderAnswer::StaleFence},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    Orders At;
    At.m_ChecksFence = Each.m_Checks;
    REQUIRE(takeOrder(At, orderOf("a", {2, 5}, Decode)) ==
            OrderAnswer::Accepted);
    if (!Each.m_Busy)
      At.m_State = targets::OrderState::Done;
    CHECK(takeOrder(At, Each.m_Given) == Each.m_Answer);
  }
}

SCENARIO("an engine streams, goes on at an offset and changes its role") {
  Stage Stage(28470);
  GIVEN("a stream and its second half") {
    const auto Whole = Stage.startRun("prompt", 20);
    const auto Half = Stage.startRun("prompt", 20, 10);
    REQUIRE(Stage.turnUntil([&] {
      return Whole->m_Ending.has_value() && Half->m_Ending.has_value();
    }));
    THEN("both are what the model says") {
      CHECK(Whole->m_Ending->m_Result == RunResult::Whole);
      CHECK(Whole->m_Text == enginemodel::expectedText("prompt", 0, 20));
      CHECK(Half->m_Ending->m_Result == RunResult::Whole);
      CHECK(Half->m_Text == Whole->m_Text.substr(40));
    }
  }
  GIVEN("a role order while a stream runs") {
    const auto Running = Stage.startRun("prompt", 500);
    REQUIRE(Stage.turnUntil([&] { return !Running->m_Text.empty(); }));
    REQUIRE(Stage.order(orderOf("a", {1, 1}, Decode)) == OrderAnswer::Accepted);
    CHECK(Stage.run("other") == RunResult::NotRun);
    REQUIRE(Stage.turnUntil([&] {
      return Stage.engine().state().m_OrderState == targets::OrderState::Done;
    }));
    THEN("the stream was finished first") {
      CHECK(Running->m_Ending->m_Result == RunResult::Whole);
      CHECK(Stage.engine().state().m_Role == Decode);
      CHECK(Stage.run("other") == RunResult::Whole);
    }
  }
  GIVEN("a drain order") {
    REQUIRE(Stage.order(orderOf("a", {1, 1}, Mixed, true)) ==
            OrderAnswer::Accepted);
    CHECK(Stage.run("other") == RunResult::NotRun);
    REQUIRE(Stage.order(orderOf("b", {1, 2}, Mixed)) == OrderAnswer::Accepted);
    CHECK(Stage.run("other") == RunResult::Whole);
  }
}

SCENARIO("a service counts what it executes") {
  Stage Stage(28475);
  const auto First = Stage.call("book", R"({"id":"b-1"})");
  REQUIRE(First.m_Result == targets::CallResult::Answered);
  CHECK(First.m_Answer.m_Body.find("\"executions\":1") != std::string::npos);
  const auto Second = Stage.call("book", R"({"id":"b-1"})");
  CHECK(Second.m_Answer.m_Body.find("\"executions\":2") != std::string::npos);
  CHECK(Stage.call("pay", "").m_Result == targets::CallResult::Refused);
  REQUIRE(!failed(Stage.m_Targets[1]->fault({{"fault", "cut"}})));
  CHECK(Stage.call("book", "x").m_Result == targets::CallResult::Unknown);
}

SCENARIO("faults show at the interface") {
  Stage Stage(28480);
  struct Case {
    nlohmann::json m_Fault;
    RunResult m_Result;
  };
  const Case Cases[] = {
      {{{"fault", "refuse"}}, RunResult::NotRun},
      {{{"fault", "stall"}}, RunResult::Broken},
      {{{"fault", "cut"}, {"after_tokens", 2}}, RunResult::Broken},
      {{{"fault", "late"}, {"ms", 50}}, RunResult::Whole},
      {{{"fault", "slow"}, {"factor", 0.5}}, RunResult::Whole},
      {{{"fault", "freeze_reports"}, {"ms", 10}}, RunResult::Whole},
      {{{"fault", "clear"}}, RunResult::Whole},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Fault.dump());
    REQUIRE(!failed(Stage.engine().fault(Each.m_Fault)));
    const bool Stalls = Each.m_Fault["fault"] == "stall";
    CHECK(Stage.run("prompt", Stalls ? 300ms : 15s) == Each.m_Result);
    CHECK(Stage.run("prompt") == RunResult::Whole);
  }
  CHECK(failed(Stage.engine().fault({{"fault", "toast"}})));
  CHECK(failed(Stage.engine().fault({{"fault", "slow"}})));
}

SCENARIO("an engine that crashes comes back as another incarnation") {
  Stage Stage(28485);
  const std::string Before = Stage.engine().state().m_Incarnation;
  const auto Back = [&] { return Stage.engine().up(); };
  GIVEN("a request that crashes it") {
    REQUIRE(!failed(Stage.engine().fault({{"fault", "crash_on_fingerprint"},
                                          {"text", "poison"},
                                          {"restart_ms", 50}})));
    CHECK(Stage.run("some poison") == RunResult::Broken);
    REQUIRE(Stage.turnUntil(Back));
    CHECK(Stage.run("harmless") == RunResult::Whole);
    CHECK(Stage.engine().state().m_Incarnation != Before);
  }
  GIVEN("a crash in the middle of an order") {
    REQUIRE(!failed(Stage.engine().fault(
        {{"fault", "crash_in_order"}, {"restart_ms", 50}})));
    Stage.order(orderOf("a", {1, 1}, Decode));
    REQUIRE(Stage.turnUntil([&] { return !Stage.engine().up(); }));
    REQUIRE(Stage.turnUntil(Back));
    CHECK(Stage.engine().state().m_Incarnation != Before);
    CHECK(Stage.engine().state().m_Order.empty());
    CHECK(Stage.engine().state().m_Role == Mixed);
  }
}

SCENARIO("the command line is checked") {
  using List = std::vector<const char *>;
  const auto Read = [](List Given) {
    Given.insert(Given.begin(), "fake");
    return readOptions(static_cast<int>(Given.size()), Given.data());
  };
  const auto Good =
      Read({"--engines", "3", "--zones", "a", "--zones", "b", "--checks-fence",
            "false", "--announce", "127.0.0.1:1"});
  REQUIRE(Good.m_Settings);
  CHECK(Good.m_Settings->m_Engines == 3);
  CHECK(announcements(*Good.m_Settings)[1].m_Zone == ZoneId{"b"});
  CHECK(!Good.m_Settings->m_ChecksFence);
  for (const List &Bad :
       {List{"--engines", "x"}, List{"--engines", "-1"},
        List{"--first-port", "65536"},
        List{"--first-port", "65535", "--engines", "2"},
        List{"--host", "localhost"}, List{"--announce", "nowhere"},
        List{"--checks-fence", "maybe"}, List{"--cache-drop-share", "2"},
        List{"--no-such"}, List{"--config", "/no/such/file"}}) {
    INFO(Bad[0]);
    const auto Refused = Read(Bad);
    CHECK(!Refused.m_Settings);
    CHECK(Refused.m_ExitCode == 2);
    CHECK(!Refused.m_Text.empty());
  }
}
