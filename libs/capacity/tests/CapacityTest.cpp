#include "capacity/capacity.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::capacity;

SCENARIO("a slope is fitted through samples") {
  GIVEN("samples on a line") {
    const auto Line = fit("x", "ns", "unit", {{1, 13}, {10, 40}, {100, 310}});
    THEN("the line is found, without error") {
      REQUIRE(!failed(Line));
      CHECK(valueOf(Line).m_PerUnit == Approx(3));
      CHECK(valueOf(Line).m_Fixed == Approx(10));
      CHECK(valueOf(Line).m_FitError == Approx(0).margin(1e-9));
      CHECK(costAt(valueOf(Line), 1000) == Approx(3010));
    }
  }
  GIVEN("samples off a line") {
    const auto Line = fit("x", "ns", "unit", {{1, 10}, {2, 30}, {3, 30}});
    THEN("the error says how far") {
      REQUIRE(!failed(Line));
      CHECK(valueOf(Line).m_FitError > 0.1);
    }
  }
  GIVEN("too few samples, or all of one size") {
    THEN("they are refused by name") {
      const auto Few = fit("few", "ns", "unit", {{1, 1}, {2, 2}});
      REQUIRE(failed(Few));
      CHECK(errorOf(Few).m_Peer == "few");
      CHECK(failed(fit("same", "ns", "unit", {{1, 1}, {1, 2}, {1, 3}})));
    }
  }
}

SCENARIO("slopes survive being written and read") {
  Slopes Written;
  Written["a"] = valueOf(fit("a", "ns", "key", {{1, 2}, {2, 4}, {3, 7}}));
  const auto Read = parseSlopes(printSlopes(Written));
  REQUIRE(!failed(Read));
  CHECK(valueOf(Read).at("a").m_PerUnit == Written["a"].m_PerUnit);
  CHECK(valueOf(Read).at("a").m_CostUnit == "ns");
}

SCENARIO("the model names what it lacks") {
  Deployment Size;
  Size.m_Nodes = 1;
  const auto Rows = roleRows(Size, Design{}, Slopes{});
  REQUIRE(failed(Rows));
  CHECK(errorOf(Rows).m_Message == "this slope was not measured");
}

SCENARIO("a section of a page is replaced between its markers") {
  const std::string Page = "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n";
  const auto Replaced = replaceSection(Page, "x", "new\n");
  REQUIRE(!failed(Replaced));
  CHECK(valueOf(Replaced) == "a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n");
  CHECK(failed(replaceSection(Page, "y", "new\n")));
}
