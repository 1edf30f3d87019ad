// Reads reports of the bench and formats the loss tables.

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

SCENARIO("the losses of a day are read from its report") {
  GIVEN("a report") {
    const Result<Day> ReadResult = readReport("quiet", Report);
    REQUIRE_FALSE(failed(ReadResult));
    const Day &ParsedDay = valueOf(ReadResult);
    THEN("requests are counted by class, costs sorted, zero costs left out") {
      CHECK(ParsedDay.m_Worth == 0.5);
      REQUIRE(ParsedDay.m_Classes.size() == 1);
      CHECK(ParsedDay.m_Classes[0].m_InTime == 6);
      REQUIRE(ParsedDay.m_Costs.size() == 2);
      CHECK(ParsedDay.m_Costs[0].m_Resource == "GB between zones");
    }
    THEN("small costs are omitted from the tables") {
      const std::string Tables = formatTables({ParsedDay}, 0.005);
      CHECK(Tables.find("| quiet | note | 10 | 6 | 2 | 1 | 1 | 0.250 |") !=
            std::string::npos);
      CHECK(Tables.find("GB between zones") != std::string::npos);
      CHECK(Tables.find("processor") == std::string::npos);
    }
  }
  GIVEN("malformed reports") {
    for (const char *Text : {"", "{", "[]", R"({"G": "much"})",
                             R"({"G": 1, "classes": 3, "prices": []})",
                             R"({"G": 1, "classes": [], "prices": [["a"]]})"}) {
      const Result<Day> ReadResult = readReport("broken", Text);
      REQUIRE(failed(ReadResult));
      CHECK(errorOf(ReadResult).m_Peer == "broken");
    }
  }
}
