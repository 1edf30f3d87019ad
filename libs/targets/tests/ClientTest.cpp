#include "targets/targets.h"

#include "http_testing/http_testing.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <optional>

using namespace wasabivale;
using namespace wasabivale::targets;
using namespace std::chrono_literals;

namespace {

const http::Address At{"127.0.0.1", 28461};
const http::Address Nobody{"127.0.0.1", 28462};

/// A target that answers every request by the function it is given.
struct Stage {
  event_base *m_Loop = event_base_new();
  std::function<void(http::Exchange &)> m_Answer;
  std::vector<std::shared_ptr<http::Exchange>> m_Held;
  std::unique_ptr<http::Server> m_Server;

  Stage() {
    std::signal(SIGPIPE, SIG_IGN);
    auto Opened = http::listen(
        m_Loop, At, {}, [this](const std::shared_ptr<http::Exchange> &From) {
          m_Held.push_back(From);
          m_Answer(*From);
        });
    REQUIRE(!failed(Opened));
    m_Server = std::move(valueOf(Opened));
  }
  ~Stage() {
    m_Held.clear();
    m_Server.reset();
    event_base_loop(m_Loop, EVLOOP_NONBLOCK);
    event_base_free(m_Loop);
  }
  Stage(const Stage &) = delete;
  Stage &operator=(const Stage &) = delete;

  template <typename T> T wait(std::optional<T> &For) const {
    const TimePoint End = BootClock::now() + 20s;
    while (!For && BootClock::now() < End) {
      const timeval Tick{0, 2000};
      event_base_loopexit(m_Loop, &Tick);
      event_base_dispatch(m_Loop);
    }
    REQUIRE(For.has_value());
    return std::move(*For);
  }

  RunEnding run(const http::Address &Engine, Duration Time = 10s) {
    RunRequest What;
    What.m_Request = {"r"};
    What.m_Model = {"m"};
    What.m_Prompt = "p";
    What.m_MaxTokens = 3;
    What.m_StreamId = "s";
    What.m_Deadline = BootClock::now() + Time;
    std::optional<RunEnding> Ending;
    RunHandlers Handlers;
    Handlers.m_OnPiece = [this](const StreamPiece &Piece) {
      m_Text += Piece.m_Text;
    };
    Handlers.m_OnEnd = [&Ending](RunEnding How) { Ending = std::move(How); };
    runOnEngine(m_Loop, Engine, What, Handlers);
    return wait(Ending);
  }

  CallEnding call(const http::Address &Service, Duration Time = 10s) const {
    std::optional<CallEnding> Ending;
    callService(m_Loop, Service, {{"c"}, "book", "POST", "/", "", true, ""},
                BootClock::now() + Time,
                [&Ending](CallEnding How) { Ending = std::move(How); });
    return wait(Ending);
  }

  std::string m_Text;
};

constexpr const char *Piece =
    "{\"stream\":\"s\",\"offset\":0,\"tokens\":1,\"text\":\"abcd\"}\n";
constexpr const char *End =
    "{\"stream\":\"s\",\"offset\":1,\"end\":true,\"length\":1,"
    "\"finish\":\"stop\"}\n";

} // namespace

SCENARIO("the ending of a run says what may be believed") {
  Stage Stage;
  struct Case {
    const char *m_Name;
    RunResult m_Result;
    std::uint64_t m_Offset;
    std::function<void(http::Exchange &)> m_Answer;
  };
  const auto Reply = [](int HttpStatus, const char *Body) {
    return [HttpStatus, Body](http::Exchange &To) {
      To.reply(HttpStatus, {}, Body);
    };
  };
  const auto Stream = [](const std::string &Bytes, bool Finish) {
    return [Bytes, Finish](http::Exchange &To) {
      To.startStream(200, {});
      To.write(Bytes);
      if (Finish)
        To.finish();
      else
        To.abort();
    };
  };
  const Case Cases[] = {
      {"whole", RunResult::Whole, 1, Stream(std::string(Piece) + End, true)},
      {"whole in one body", RunResult::Whole, 0,
       Reply(200, "{\"stream\":\"s\",\"offset\":0,\"end\":true,\"length\":0,"
                  "\"finish\":\"stop\"}\n")},
      {"no end marker", RunResult::Broken, 1, Stream(Piece, true)},
      {"cut", RunResult::Broken, 0, Stream("", false)},
      {"repeated end", RunResult::Broken, 1,
       Stream(std::string(Piece) + End + End, true)},
      {"foreign text", RunResult::Broken, 1,
       Stream(std::string(Piece) + "{\"stream\":\"t\"}\n", true)},
      {"full", RunResult::NotRun, 0, Reply(429, "{\"not_run\":true}")},
      {"draining", RunResult::NotRun, 0, Reply(503, "{\"not_run\":true}")},
      {"503 of unknown meaning", RunResult::Broken, 0, Reply(503, "busy")},
      {"503 that may have run", RunResult::Broken, 0,
       Reply(503, "{\"not_run\":false}")},
      {"500 claiming not run", RunResult::Broken, 0,
       Reply(500, "{\"not_run\":true}")},
      {"malformed", RunResult::Refused, 0, Reply(400, "")},
      {"no such model", RunResult::Refused, 0, Reply(404, "")},
      {"cannot resume", RunResult::Refused, 0, Reply(409, "")},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    Stage.m_Answer = Each.m_Answer;
    const RunEnding How = Stage.run(At);
    CHECK(How.m_Result == Each.m_Result);
    CHECK(How.m_Offset == Each.m_Offset);
    CHECK((How.m_Result == RunResult::Whole) == How.m_Failure.m_Step.empty());
    if (How.m_Result != RunResult::Whole)
      CHECK(How.m_Failure.m_Peer == "127.0.0.1:28461");
  }
}

SCENARIO("a run that was never sent is proved not run") {
  Stage Stage;
  CHECK(Stage.run(Nobody).m_Result == RunResult::NotRun);
  CHECK(Stage.call(Nobody).m_Result == CallResult::NotRun);
}

SCENARIO("a target that never answers leaves the outcome unknown") {
  Stage Stage;
  Stage.m_Answer = [](http::Exchange &) {};
  CHECK(Stage.run(At, 200ms).m_Result == RunResult::Broken);
  CHECK(Stage.call(At, 200ms).m_Result == CallResult::Unknown);
}

SCENARIO("no piece follows a cancel") {
  Stage Stage;
  Stage.m_Answer = [](http::Exchange &To) {
    To.startStream(200, {});
    To.write("{\"stream\":\"s\",\"offset\":0,\"tokens\":1,\"text\":\"a\"}\n"
             "{\"stream\":\"s\",\"offset\":1,\"tokens\":1,\"text\":\"b\"}\n");
  };
  RunRequest What;
  What.m_Request = {"r"};
  What.m_Model = {"m"};
  What.m_StreamId = "s";
  What.m_Deadline = BootClock::now() + 10s;
  std::shared_ptr<http::ClientCall> Call;
  std::optional<int> Pieces;
  RunHandlers Handlers;
  Handlers.m_OnPiece = [&](const StreamPiece &) {
    Pieces = Pieces.value_or(0) + 1;
    Call->cancel();
  };
  Handlers.m_OnEnd = [](const RunEnding &) { FAIL("ended after a cancel"); };
  Call = runOnEngine(Stage.m_Loop, At, What, Handlers);
  CHECK(Stage.wait(Pieces) == 1);
}

SCENARIO("the ending of a service call says what may be believed") {
  Stage Stage;
  struct Case {
    int m_Status;
    const char *m_Body;
    CallResult m_Result;
  };
  const Case Cases[] = {
      {200, "{\"status\":201,\"body\":\"b\",\"content_type\":\"a/b\"}",
       CallResult::Answered},
      {200, "{\"status\":201}", CallResult::Unknown},
      {200, "", CallResult::Unknown},
      {429, "{\"not_run\":true}", CallResult::NotRun},
      {503, "{\"not_run\":true}", CallResult::NotRun},
      {503, "", CallResult::Unknown},
      {500, "", CallResult::Unknown},
      {502, "{\"not_run\":true}", CallResult::Unknown},
      {400, "", CallResult::Refused},
      {404, "", CallResult::Refused},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Status << " " << Each.m_Body);
    Stage.m_Answer = [&Each](http::Exchange &To) {
      To.reply(Each.m_Status, {}, Each.m_Body);
    };
    const CallEnding How = Stage.call(At);
    CHECK(How.m_Result == Each.m_Result);
    if (How.m_Result == CallResult::Answered)
      CHECK(How.m_Answer == ServiceAnswer{201, "b", "a/b"});
  }
}

SCENARIO("an answer without end is given up") {
  Stage Stage;
  Stage.m_Answer = [](http::Exchange &To) {
    To.startStream(200, {});
    for (int I = 0; I < 12; ++I)
      To.write(std::string(1U << 20U, 'a'));
  };
  const CallEnding Call = Stage.call(At, 20s);
  CHECK(Call.m_Result == CallResult::Unknown);
  CHECK(Call.m_Failure.m_Step == "targets.answer");
  const RunEnding Run = Stage.run(At, 20s);
  CHECK(Run.m_Result == RunResult::Broken);
  CHECK(Run.m_Failure.m_Step == "targets.stream");
}

SCENARIO("state, orders and cancels go to the target and back") {
  Stage Stage;
  const TimePoint Deadline = BootClock::now() + 20s;
  GIVEN("a target that answers well") {
    TargetState Known;
    Known.m_Id = {"e"};
    Known.m_Incarnation = "i";
    Stage.m_Answer = [Known](http::Exchange &To) {
      const std::string &Path = To.request().m_Path;
      if (Path == "/target/v1/state")
        To.reply(200, {}, print(Known));
      else if (Path == "/target/v1/orders")
        To.reply(409, {}, print(OrderAnswer::StaleFence));
      else
        To.reply(200, {}, printCancelAnswer(true));
    };
    std::optional<Result<TargetState>> State;
    getState(Stage.m_Loop, At, Deadline,
             [&](Result<TargetState> Got) { State = std::move(Got); });
    CHECK(valueOf(Stage.wait(State)).m_Id == TargetId{"e"});
    std::optional<Result<OrderAnswer>> Order;
    sendOrder(Stage.m_Loop, At, {"o", {1, 1}, {}}, Deadline,
              [&](Result<OrderAnswer> Got) { Order = std::move(Got); });
    CHECK(valueOf(Stage.wait(Order)) == OrderAnswer::StaleFence);
    std::optional<Result<bool>> Cancelled;
    cancelRun(Stage.m_Loop, At, {"r"}, Deadline,
              [&](Result<bool> Got) { Cancelled = std::move(Got); });
    CHECK(valueOf(Stage.wait(Cancelled)));
  }
  GIVEN("a target that answers nonsense") {
    Stage.m_Answer = [](http::Exchange &To) { To.reply(200, {}, "{}"); };
    std::optional<Result<TargetState>> State;
    getState(Stage.m_Loop, At, Deadline,
             [&](Result<TargetState> Got) { State = std::move(Got); });
    const auto Got = Stage.wait(State);
    REQUIRE(failed(Got));
    CHECK(errorOf(Got).m_Peer == "127.0.0.1:28461");
  }
}

SCENARIO("a malformed answer is none, and is told from a broken connection") {
  Stage Stage;
  GIVEN("an engine") {
    for (const auto &Case :
         http::testing::malformedCases("", std::string(Piece) + End)) {
      // Behind a sound head the stream's own end says whether it is whole.
      if (Case.m_IsHeadSound)
        continue;
      INFO(Case.m_Name);
      const http::testing::ByteServer Engine(
          Stage.m_Loop, {Case.m_Bytes, http::testing::Ending::Reset});
      const RunEnding Got = Stage.run(Engine.address());
      CHECK(Got.m_Result == RunResult::Broken);
      CHECK(http::isMalformedResponse(Got.m_Failure));
      CHECK(Stage.m_Text.empty());
    }
  }
  GIVEN("a service") {
    for (const auto &Case : http::testing::malformedCases(
             "", R"({"status": 200, "body": "x", "content_type": "t/p"})")) {
      INFO(Case.m_Name);
      const http::testing::ByteServer Service(
          Stage.m_Loop, {Case.m_Bytes, http::testing::Ending::Reset});
      const CallEnding Got = Stage.call(Service.address());
      CHECK(Got.m_Result == CallResult::Unknown);
      CHECK(http::isMalformedResponse(Got.m_Failure));
    }
  }
}
