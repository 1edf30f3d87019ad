// Tables of losses out of the bench's reports.

#include "Losses.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::losses;

namespace {

constexpr const char *Report = R"({"G": 0.5,
  "classes": [{"name": "note", "n": 10, "in_aim": 6, "late": 2, "refused": 1,
               "failed": 1, "worth": 0.75}],
  "prices": [["processor seconds", 5.0, 0.001], ["orders", 0.0, 0.0],
             ["GB between zones", 0.02, 0.03]]})";

} // namespace

SCENARIO("a day's losses are read out of its report") {
  GIVEN("a report") {
    const Result<Day> Read = readReport("quiet", Report);
    REQUIRE_FALSE(failed(Read));
    const Day &Got = valueOf(Read);
    THEN(
        "requests are counted by kind, prices sorted, those of zero left out") {
      CHECK(Got.m_Worth == 0.5);
      REQUIRE(Got.m_Kinds.size() == 1);
      CHECK(Got.m_Kinds[0].m_InTime == 6);
      REQUIRE(Got.m_Prices.size() == 2);
      CHECK(Got.m_Prices[0].m_Of == "GB between zones");
    }
    THEN("small prices are not printed") {
      const std::string Printed = print({Got}, 0.005);
      CHECK(Printed.find("| quiet | note | 10 | 6 | 2 | 1 | 1 | 0.250 |") !=
            std::string::npos);
      CHECK(Printed.find("GB between zones") != std::string::npos);
      CHECK(Printed.find("processor") == std::string::npos);
    }
  }
  GIVEN("what is no report") {
    for (const char *Text : {"", "{", "[]", R"({"G": "much"})",
                             R"({"G": 1, "classes": 3, "prices": []})",
                             R"({"G": 1, "classes": [], "prices": [["a"]]})"}) {
      const Result<Day> Read = readReport("broken", Text);
      REQUIRE(failed(Read));
      CHECK(errorOf(Read).m_Peer == "broken");
    }
  }
}
