#include "routes/routes.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::routes;

namespace {

Route makeRoute(const std::string &Name, const std::string &Host,
                const std::string &Prefix, std::vector<Share> Services) {
  Route RouteEntry;
  RouteEntry.m_Name = Name;
  RouteEntry.m_Host = Host;
  RouteEntry.m_PathPrefix = Prefix;
  RouteEntry.m_Timeout = std::chrono::seconds(1);
  RouteEntry.m_Services = std::move(Services);
  return RouteEntry;
}

Table makeTable() {
  Table RouteTable;
  RouteTable.m_Version = 3;
  RouteTable.m_Services["desk"] = {"desk", 96, 0, {}, ""};
  RouteTable.m_Services["llm"] = {"llm", 360, 500'000, std::chrono::seconds(5),
                                  "/health"};
  RouteTable.m_Routes = {
      makeRoute("all", "shop.example", "/", {{"desk", 1}}),
      makeRoute("notes", "shop.example", "/notes/", {{"llm", 1}}),
      makeRoute("deep", "shop.example", "/notes/deep/", {{"desk", 1}}),
      makeRoute("other", "yard.example", "/notes/", {{"desk", 1}})};
  return RouteTable;
}

std::string findRouteName(const Index &RouteIndex, const char *Host,
                          const char *Path) {
  const Route *Found = RouteIndex.find(Host, Path);
  return Found == nullptr ? "none" : Found->m_Name;
}

} // namespace

TEST_CASE("a request is matched to its route") {
  const Index RouteIndex(makeTable());
  SECTION("by host and longest path prefix") {
    CHECK(findRouteName(RouteIndex, "shop.example", "/") == "all");
    CHECK(findRouteName(RouteIndex, "shop.example", "/notes/7") == "notes");
    CHECK(findRouteName(RouteIndex, "shop.example", "/notes/deep/7/8") ==
          "deep");
    CHECK(findRouteName(RouteIndex, "yard.example", "/notes/7") == "other");
    SECTION("only at path segment boundaries") {
      CHECK(findRouteName(RouteIndex, "shop.example", "/notes") == "all");
      CHECK(findRouteName(RouteIndex, "shop.example", "/notesdeep/7") == "all");
    }
  }
  SECTION("ignoring the case and port of the host") {
    CHECK(findRouteName(RouteIndex, "Shop.Example:8080", "/notes/7") ==
          "notes");
  }
  SECTION("no route matches") {
    CHECK(findRouteName(RouteIndex, "yard.example", "/") == "none");
    CHECK(findRouteName(RouteIndex, "nobody.example", "/notes/") == "none");
    CHECK(findRouteName(RouteIndex, "shop.example", "") == "none");
    CHECK(findRouteName(Index(), "shop.example", "/") == "none");
  }
}

TEST_CASE("an invalid table is rejected with a reason") {
  Table InvalidTable = makeTable();
  REQUIRE(checkTable(InvalidTable).empty());
  SECTION("no version") {
    InvalidTable.m_Version = 0;
    CHECK_THAT(checkTable(InvalidTable), Catch::Contains("version"));
  }
  SECTION("a service that is not defined") {
    InvalidTable.m_Routes[0].m_Services = {{"ghost", 1}};
    CHECK_THAT(checkTable(InvalidTable), Catch::Contains("ghost"));
  }
  SECTION("two routes with the same host and prefix") {
    InvalidTable.m_Routes[2].m_PathPrefix = "/notes/";
    CHECK_THAT(checkTable(InvalidTable), Catch::Contains("another"));
    SECTION("also when only the case of the host differs") {
      InvalidTable.m_Routes[2].m_Host = "SHOP.example";
      CHECK_THAT(checkTable(InvalidTable), Catch::Contains("another"));
    }
  }
  SECTION("weights that add up to zero") {
    InvalidTable.m_Routes[1].m_Services = {{"llm", 0}, {"desk", 0}};
    CHECK_THAT(checkTable(InvalidTable), Catch::Contains("zero"));
  }
  SECTION("a weight below zero") {
    InvalidTable.m_Routes[1].m_Services = {{"llm", 2}, {"desk", -1}};
    CHECK_FALSE(checkTable(InvalidTable).empty());
  }
  SECTION("no timeout") {
    InvalidTable.m_Routes[1].m_Timeout = {};
    CHECK_THAT(checkTable(InvalidTable), Catch::Contains("timeout"));
  }
  SECTION("a prefix without its slashes") {
    InvalidTable.m_Routes[1].m_PathPrefix = "/notes";
    CHECK_THAT(checkTable(InvalidTable), Catch::Contains("slash"));
  }
}

TEST_CASE("requests are distributed by weight") {
  const Route WeightedRoute =
      makeRoute("r", "h", "/", {{"a", 90}, {"b", 10}, {"c", 0}});
  constexpr int Draws = 1000;
  constexpr std::uint64_t Step = ~std::uint64_t(0) / Draws;
  std::map<std::string, int> Counts;
  for (int I = 0; I < Draws; ++I)
    ++Counts[pickService(WeightedRoute, Step * static_cast<std::uint64_t>(I))];
  CHECK(Counts["a"] >= 899);
  CHECK(Counts["a"] <= 901);
  CHECK(Counts["c"] == 0);
  SECTION("the same draw always selects the same service") {
    CHECK(pickService(WeightedRoute, 12345) ==
          pickService(WeightedRoute, 12345));
    CHECK(pickService(WeightedRoute, ~std::uint64_t(0)) == "b");
  }
}

TEST_CASE("a table is unchanged by conversion to the wire format and back") {
  Table Original = makeTable();
  Original.m_Routes[1].m_Kind = Kind::Streaming;
  Original.m_Routes[1].m_Resumable = true;
  Original.m_Routes[1].m_MaxAttempts = 3;
  Original.m_Routes[1].m_Gap = std::chrono::milliseconds(200);
  CHECK(fromWire(toWire(Original)) == Original);
  SECTION("a request of an unknown kind is never retried") {
    wire::RouteTable Newer = toWire(Original);
    Newer.mutable_routes(1)->set_kind("idempotent-ish");
    CHECK_FALSE(fromWire(Newer).m_Routes[1].isRepeatable());
  }
}
