#include "Arrivals.h"
#include "Judge.h"
#include "Tally.h"
#include "enginemodel/enginemodel.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::load;
using namespace std::chrono_literals;

namespace {

constexpr const char *Prompt = "How long does a gourd cure?";
constexpr std::uint32_t Tokens = 16;

std::string expected(std::uint64_t First, std::uint64_t Count,
                     const char *Of = Prompt) {
  return enginemodel::expectedText(Of, First, Count);
}

std::string piece(const std::string &Text) {
  return R"(data: {"choices":[{"text":")" + Text + "\"}]}\n\n";
}

const std::string Done =
    "data: [DONE]\n\nevent: outcome\ndata: {\"outcome\":\"completed\"}\n\n";
const std::string Failure =
    "event: error\ndata: {\"error\":{\"number\":408,\"reason\":"
    "\"stream_broken\",\"outcome\":\"unknown\"}}\n\n";

settings::Json planWith(const std::string &Schedule) {
  return settings::Json::parse(
      R"({"entries": ["127.0.0.1:1"], "seconds": 100, "schedule": )" +
      Schedule + R"(, "streams": [
        {"name": "questions", "model": "m", "weight": 1, "high_weight": 0},
        {"name": "documents", "model": "m", "weight": 0, "high_weight": 1,
         "prompt_tokens": {"median": 2000, "sigma": 0.5}, "prefixes": 3}]})");
}

Plan readOk(const std::string &Schedule) {
  settings::Json Document = planWith(Schedule);
  CHECK(settings::check(Document, planSchema(), "test").empty());
  Result<Plan> Made = readPlan(Document);
  REQUIRE_FALSE(failed(Made));
  return valueOf(Made);
}

} // namespace

SCENARIO("an answer is judged by its text and its end") {
  struct Case {
    const char *m_Name;
    std::string m_Bytes;
    Verdict m_Verdict;
  };
  auto Row = GENERATE(
      Case{"whole", piece(expected(0, 8)) + piece(expected(8, 8)) + Done,
           Verdict::Whole},
      Case{"short at the end", piece(expected(0, 12)) + Done, Verdict::Cut},
      Case{"a hole inside",
           piece(expected(0, 4)) + piece(expected(8, 8)) + Done, Verdict::Cut},
      Case{"nothing, yet complete", Done, Verdict::Cut},
      Case{"a part twice",
           piece(expected(0, 8)) + piece(expected(4, 12)) + Done,
           Verdict::Doubled},
      Case{"more than was asked",
           piece(expected(0, 16)) + piece(expected(0, 4)) + Done,
           Verdict::Doubled},
      Case{"another's text", piece(expected(0, 16, "another prompt")) + Done,
           Verdict::Mixed},
      Case{"garbage", piece("!!!!") + Done, Verdict::Wrong},
      Case{"no end", piece(expected(0, 8)), Verdict::Broken},
      Case{"no end after another's text", piece(expected(0, 8, "another")),
           Verdict::Mixed},
      Case{"nothing at all", "", Verdict::Broken},
      Case{"failed in words", piece(expected(0, 8)) + Failure,
           Verdict::Refused});
  GIVEN(Row.m_Name) {
    std::size_t Step = GENERATE(1, 7, 10'000);
    Answer Read;
    for (std::size_t At = 0; At < Row.m_Bytes.size(); At += Step)
      readEvents(Read, std::string_view(Row.m_Bytes).substr(At, Step));
    CHECK(verdictName(judge(Read, Prompt, Tokens)) ==
          verdictName(Row.m_Verdict));
  }
  GIVEN("a whole JSON answer") {
    Answer Read;
    readWhole(Read,
              R"({"choices":[{"text":")" + expected(0, Tokens) + R"("}]})");
    CHECK(judge(Read, Prompt, Tokens) == Verdict::Whole);
  }
  GIVEN("a refusal") {
    Answer Read;
    readWhole(Read, R"({"error":{"number":301,"reason":"deadline_passed",)"
                    R"("outcome":"not_run"}})");
    CHECK(judge(Read, Prompt, Tokens) == Verdict::Refused);
    CHECK(Read.m_RefusalName == "deadline_passed");
    CHECK(Read.m_Outcome == Outcome::NotRun);
  }
}

SCENARIO("a schedule sets rate and mix") {
  struct Case {
    std::string m_Schedule;
    double m_At0, m_At7, m_At12, m_At20;
  };
  auto Row = GENERATE(
      Case{R"({"shape":"constant","rate":5})", 5, 5, 5, 5},
      Case{R"({"shape":"step","rate":5,"high_rate":9,"at_seconds":10})", 5, 5,
           9, 9},
      Case{R"({"shape":"square","rate":5,"high_rate":9,"period_seconds":10})",
           9, 5, 9, 9},
      Case{R"({"shape":"ramp","rate":0,"high_rate":10,"length_seconds":20})", 0,
           3.5, 6, 10},
      Case{R"({"shape":"burst","rate":1,"high_rate":9,"period_seconds":10,
               "length_seconds":3})",
           9, 1, 9, 9});
  Schedule Of = readOk(Row.m_Schedule).m_Schedule;
  CAPTURE(Row.m_Schedule);
  CHECK(rateAt(Of, 0s) == Approx(Row.m_At0));
  CHECK(rateAt(Of, 7s) == Approx(Row.m_At7));
  CHECK(rateAt(Of, 12s) == Approx(Row.m_At12));
  CHECK(rateAt(Of, 20s) == Approx(Row.m_At20));
}

SCENARIO("arrivals follow the plan and its seed") {
  Plan Of =
      readOk(R"({"shape":"step","rate":20,"high_rate":40,"at_seconds":50})");
  std::vector<Call> Calls;
  Source From = makeSource(Of, "run");
  while (std::optional<Call> Next = nextCall(From))
    Calls.push_back(*Next);
  THEN("the rate is near the schedule and the mix follows it") {
    CHECK(Calls.size() > 2'700);
    CHECK(Calls.size() < 3'300);
    for (const Call &Each : Calls)
      REQUIRE(Each.m_Stream == (Each.m_At < 50s ? 0U : 1U));
  }
  THEN("the same seed draws the same") {
    Source Again = makeSource(Of, "run");
    for (const Call &Each : Calls) {
      std::optional<Call> Next = nextCall(Again);
      REQUIRE(Next);
      REQUIRE(Next->m_Prompt == Each.m_Prompt);
      REQUIRE(Next->m_At == Each.m_At);
    }
  }
}

SCENARIO("the tally keeps what the report says") {
  Plan Of = readOk(R"({"shape":"constant"})");
  Tally Counted = makeTally(Of);
  auto Add = [&Counted](Verdict Which, bool InTime) {
    noteSent(Counted, 0);
    noteEnded(Counted, {0, Which, "", Outcome::Completed, InTime, 10ms, 20ms});
  };
  Add(Verdict::Whole, true);
  Add(Verdict::Whole, false);
  Add(Verdict::Cut, true);
  CHECK(wrongAnswers(Counted) == 1);
  settings::Json Report = toJson(Of, Counted);
  CHECK(Report["streams"]["questions"]["in_time"] == 1);
  CHECK(Report["streams"]["questions"]["late"] == 1);
  CHECK(Report["streams"]["questions"]["verdicts"]["cut"] == 1);
  CHECK(Report["streams"]["questions"]["outcomes"]["completed"] == 3);
  CHECK(printTable(Of, Counted).find("questions") != std::string::npos);
  CHECK(progressLine(Counted, 3s).find("wrong 1") != std::string::npos);
}

SCENARIO("settings that make no sense are refused") {
  auto Text = GENERATE(R"({})",
                       R"({"entries":[],"seconds":1,"schedule":{"shape":"step"},
                           "streams":[{"name":"a","model":"m"}]})",
                       R"({"entries":["127.0.0.1:1"],"seconds":1,"x":1,
                           "schedule":{"shape":"step"},
                           "streams":[{"name":"a","model":"m"}]})",
                       R"({"entries":["127.0.0.1:1"],"seconds":1,
                           "schedule":{"shape":"wave"},
                           "streams":[{"name":"a","model":"m"}]})");
  CHECK_FALSE(settings::check(settings::Json::parse(Text), planSchema(), "test")
                  .empty());
}
