#include "targets/targets.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::targets;
using namespace std::chrono_literals;

namespace {

const TimePoint Now{1000s};

Announcement engineAnnouncement() {
  Announcement Made;
  Made.m_Id = {"engine-1"};
  Made.m_Incarnation = "00112233445566778899aabbccddeeff";
  Made.m_Address = {"127.0.0.1", 9001};
  Made.m_Region = {"attiki"};
  Made.m_Zone = {"attiki-1"};
  Made.m_Models = {{"gourd-8b"}, {"gourd-8b+curing@2"}};
  Made.m_Role = Role::Decode;
  Made.m_ChecksFence = true;
  Made.m_KvBlocks = 2048;
  Made.m_MaxRunning = 32;
  Made.m_PrefillTokensPerSecond = 20000;
  Made.m_DecodeTokensPerSecond = 50;
  return Made;
}

Heartbeat fullHeartbeat() {
  Heartbeat Made;
  Made.m_Id = {"engine-1"};
  Made.m_Incarnation = "aa";
  Made.m_Sequence = 17;
  Made.m_Models = {{"gourd-8b"}};
  Made.m_Running = 3;
  Made.m_Waiting = 1;
  Made.m_PrefillTokensWaiting = 900;
  Made.m_KvBlocksFree = 2000;
  Made.m_Fence = {3, 9};
  Made.m_CacheFrom = 120;
  Made.m_CacheTo = 124;
  Made.m_CacheEvents = {{120, true, 0xfeedU}, {124, false, ~0ULL}};
  return Made;
}

RunRequest runRequest() {
  RunRequest Made;
  Made.m_Request = {"r-1"};
  Made.m_Model = {"gourd-8b"};
  Made.m_Prompt = "πόσο \"κοστίζει\"?\n";
  Made.m_MaxTokens = 64;
  Made.m_Priority = 9;
  Made.m_Offset = 7;
  Made.m_StreamId = "s-1";
  Made.m_Deadline = Now + 4s;
  Made.m_KvTicket = "127.0.0.1:9001/abc";
  Made.m_PrefillOnly = true;
  return Made;
}

TargetState targetState() {
  TargetState Made;
  Made.m_Id = {"engine-1"};
  Made.m_Incarnation = "aa";
  Made.m_Role = Role::Prefill;
  Made.m_Models = {{"m"}};
  Made.m_Draining = true;
  Made.m_Withdrawn = true;
  Made.m_Changing = true;
  Made.m_Order = "o-1";
  Made.m_OrderState = OrderState::Failed;
  Made.m_Fence = {1, 2};
  Made.m_Running = 5;
  Made.m_KvBlocksFree = 6;
  return Made;
}

ServiceCall serviceCall() {
  return {{"c-1"}, "book", "POST", "/kiln/3", "{\"id\":\"b\"}", true, "key-1"};
}

Order order() {
  return {"o-1",
          {3, 9},
          {Role::Decode, {{"gourd-8b"}, {"gourd-8b+curing@2"}}, true, false}};
}

/// A parser that only tells whether it took the text.
struct Parser {
  const char *m_Name;
  std::string m_Valid;
  bool (*m_Takes)(std::string_view);
};

std::vector<Parser> allParsers() {
  using Text = std::string_view;
  return {
      {"announce", print(engineAnnouncement()),
       [](Text In) { return !failed(parseAnnouncement(In)); }},
      {"announce answer", print(AnnounceAnswer{true, 500ms}),
       [](Text In) { return !failed(parseAnnounceAnswer(In)); }},
      {"heartbeat", print(fullHeartbeat()),
       [](Text In) { return !failed(parseHeartbeat(In)); }},
      {"heartbeat answer", print(HeartbeatAnswer{false, true}),
       [](Text In) { return !failed(parseHeartbeatAnswer(In)); }},
      {"leave", print(Leave{{"engine-1"}, "aa"}),
       [](Text In) { return !failed(parseLeave(In)); }},
      {"state", print(targetState()),
       [](Text In) { return !failed(parseTargetState(In)); }},
      {"order", print(order()),
       [](Text In) { return !failed(parseOrder(In)); }},
      {"order answer", print(OrderAnswer::Accepted),
       [](Text In) { return !failed(parseOrderAnswer(202, In)); }},
      {"run", print(runRequest(), Now),
       [](Text In) { return !failed(parseRunRequest(In, Now)); }},
      {"stream piece", print(StreamLine{"s", StreamPiece{4, 1, "abcd"}}),
       [](Text In) { return !failed(parseStreamLine(In)); }},
      {"stream end",
       print(StreamLine{"s", StreamEnd{64, "stop", 2, "127.0.0.1:1/a"}}),
       [](Text In) { return !failed(parseStreamLine(In)); }},
      {"cancel", printCancel({"r-1"}),
       [](Text In) { return !failed(parseCancel(In)); }},
      {"cancel answer", printCancelAnswer(true),
       [](Text In) { return !failed(parseCancelAnswer(In)); }},
      {"service call", print(serviceCall()),
       [](Text In) { return !failed(parseServiceCall(In)); }},
      {"service answer", print(ServiceAnswer{200, "b", "text/plain"}),
       [](Text In) { return !failed(parseServiceAnswer(In)); }},
      {"ticket", "127.0.0.1:9001/abc",
       [](Text In) { return !failed(parseKvTicket(In)); }},
      {"refusal", printRefusal("full", true),
       [](Text In) { return saysNotRun(In); }},
  };
}

std::string mutated(std::string Text, Random &Source) {
  const auto Below = [&Source](std::size_t Count) {
    return static_cast<std::size_t>(Source() % Count);
  };
  static const std::string Pieces[] = {"{",
                                       "}",
                                       "[",
                                       "]",
                                       "\"",
                                       ",",
                                       ":",
                                       "null",
                                       "true",
                                       "-1",
                                       "1e999",
                                       "18446744073709551616",
                                       "\\u0000",
                                       "\\ud800",
                                       "\xff",
                                       "\xc3",
                                       std::string(1, '\0'),
                                       std::string(300, 'a'),
                                       std::string(40, '['),
                                       "\"end\":true",
                                       "\"resumed\":true"};
  for (std::size_t Edits = 1 + Below(3); Edits > 0; --Edits) {
    const std::size_t At = Below(Text.size() + 1);
    switch (Below(4)) {
    case 0:
      Text.insert(At, Pieces[Below(std::size(Pieces))]);
      break;
    case 1:
      Text.erase(At, 1 + Below(8));
      break;
    case 2:
      if (At < Text.size())
        Text[At] = static_cast<char>(Below(256));
      break;
    default:
      Text += Text.substr(At);
    }
  }
  return Text;
}

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  const std::size_t At = Text.find(Old);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

} // namespace

SCENARIO("messages of targets survive print and parse") {
  CHECK(valueOf(parseAnnouncement(print(engineAnnouncement()))) ==
        engineAnnouncement());
  CHECK(valueOf(parseHeartbeat(print(fullHeartbeat()))) == fullHeartbeat());
  CHECK(valueOf(parseTargetState(print(targetState()))) == targetState());
  CHECK(valueOf(parseOrder(print(order()))) == order());
  CHECK(valueOf(parseRunRequest(print(runRequest(), Now), Now)) ==
        runRequest());
  CHECK(valueOf(parseServiceCall(print(serviceCall()))) == serviceCall());
  const ServiceAnswer Answer{201, "body", "text/plain"};
  CHECK(valueOf(parseServiceAnswer(print(Answer))) == Answer);
  for (const OrderAnswer Each :
       {OrderAnswer::Accepted, OrderAnswer::StaleFence, OrderAnswer::Busy})
    CHECK(valueOf(parseOrderAnswer(httpStatus(Each), print(Each))) == Each);
  CHECK(valueOf(parseCancel(printCancel({"r"}))) == RequestId{"r"});
  CHECK(valueOf(parseKvTicket("10.0.0.1:80/a_B-9")).m_Ticket == "a_B-9");
}

SCENARIO("a deadline crosses the wire as the time that is left") {
  RunRequest What = runRequest();
  What.m_Deadline = Now - 1s;
  CHECK(valueOf(parseRunRequest(print(What, Now), Now)).m_Deadline == Now);
  What.m_Deadline = Now + std::chrono::hours(1000);
  CHECK(!failed(parseRunRequest(print(What, Now), Now)));
}

SCENARIO("unknown keys are ignored") {
  CHECK(!failed(parseLeave(R"({"id":"a","incarnation":"b","later":[1]})")));
}

SCENARIO("unfit messages are refused with their step") {
  struct Case {
    const char *m_Parser;
    const char *m_Old;
    const char *m_New;
  };
  const Case Cases[] = {
      {"announce", "\"engine\"", "\"toaster\""},
      {"announce", "127.0.0.1:9001", "localhost:9001"},
      {"announce", "\"decode\"", "\"leader\""},
      {"announce", "\"checks_fence\":true,", ""},
      {"announce", "\"attiki-1\"", "\"\""},
      {"announce", "2048", "-1"},
      {"announce", "2048", "1.5"},
      {"announce", "2048", "18446744073709551615"},
      {"announce", "\"gourd-8b\"", "7"},
      {"announce answer", "500", "36000000"},
      {"announce answer", "true", "\"yes\""},
      {"heartbeat", "\"n\":124", "\"n\":125"},
      {"heartbeat", "\"n\":124", "\"n\":120"},
      {"heartbeat", "\"n\":120", "\"n\":119"},
      {"heartbeat", "000000000000feed", "feed"},
      {"heartbeat", "000000000000feed", "00000000000000xz"},
      {"heartbeat", "\"add\"", "\"sub\""},
      {"heartbeat", "\"term\":3", "\"term\":\"3\""},
      {"heartbeat", "\"running\":3,", ""},
      {"state", "\"failed\"", "\"lost\""},
      {"state", "\"draining\":true,", ""},
      {"order", "\"want\"", "\"wish\""},
      {"order", "\"withdrawn\":false", "\"withdrawn\":0"},
      {"order", "\"o-1\"", "\"\""},
      {"order answer", "true", "false"},
      {"run", "\"priority\":9", "\"priority\":10"},
      {"run", "4000", "86400001"},
      {"run", "\"max_tokens\":64", "\"max_tokens\":99999999"},
      {"run", "\"s-1\"", "\"\""},
      {"stream piece", "\"tokens\":1", "\"tokens\":0"},
      {"stream piece", ",\"tokens\":1", ""},
      {"stream piece", "\"abcd\"", "\"ab\xff\""},
      {"stream end", "\"length\":64", "\"length\":63"},
      {"stream end", "\"stop\"", "\"enough\""},
      {"stream end", "127.0.0.1:1/a", "127.0.0.1:1/../a"},
      {"service call", "\"body\"", "\"soul\""},
      {"service answer", "200", "99"},
      {"service answer", "200", "600"},
      {"service answer", "text/plain", "a\\r\\nb: c"},
      {"ticket", "9001/", "9001"},
      {"ticket", "9001/", "99999/"},
      {"refusal", "true", "1"},
  };
  const auto Parsers = allParsers();
  for (const Case &Each : Cases) {
    const auto Found =
        std::find_if(Parsers.begin(), Parsers.end(), [&](const Parser &One) {
          return std::string_view(One.m_Name) == Each.m_Parser;
        });
    REQUIRE(Found != Parsers.end());
    const std::string Bad = replaced(Found->m_Valid, Each.m_Old, Each.m_New);
    INFO(Each.m_Parser << ": " << Bad);
    CHECK(Found->m_Takes(Found->m_Valid));
    CHECK(!Found->m_Takes(Bad));
  }
  const auto Refused = parseLeave("{}");
  REQUIRE(failed(Refused));
  CHECK(errorOf(Refused).m_Step == "targets.leave");
}

SCENARIO("no parser takes what is not a small JSON object") {
  const std::string Cases[] = {"",
                               "null",
                               "[]",
                               "7",
                               "\"a\"",
                               "{",
                               "{}x",
                               std::string(1, '\0'),
                               std::string(100'000, '['),
                               "{\"a\":" + std::string(17, '[') +
                                   std::string(17, ']') + "}"};
  for (const Parser &Each : allParsers())
    for (const std::string &Bad : Cases) {
      INFO(Each.m_Name << ": " << Bad.substr(0, 40));
      CHECK(!Each.m_Takes(Bad));
    }
}

SCENARIO("lists and texts have limits") {
  Announcement Many = engineAnnouncement();
  Many.m_Models.assign(MaxNames + 1, {"m"});
  CHECK(failed(parseAnnouncement(print(Many))));
  Announcement Long = engineAnnouncement();
  Long.m_Id.m_Value.assign(MaxNameBytes + 1, 'a');
  CHECK(failed(parseAnnouncement(print(Long))));
  Heartbeat Events = fullHeartbeat();
  Events.m_CacheEvents.clear();
  Events.m_CacheTo = 100'000;
  for (std::uint64_t N = 0; N <= MaxCacheEvents; ++N)
    Events.m_CacheEvents.push_back({200 + N, true, N});
  CHECK(failed(parseHeartbeat(print(Events))));
  ServiceAnswer Big;
  Big.m_Body.assign(MaxTextBytes + 1, 'a');
  CHECK(failed(parseServiceAnswer(print(Big))));
}

SCENARIO("no parser fails on mutated messages") {
  constexpr int CasesEach = 10'000;
  Random Source(20261204);
  for (const Parser &Each : allParsers()) {
    int Taken = 0;
    for (int I = 0; I < CasesEach; ++I)
      Taken += Each.m_Takes(mutated(Each.m_Valid, Source)) ? 1 : 0;
    INFO(Each.m_Name);
    CHECK(Taken < CasesEach);
  }
}
