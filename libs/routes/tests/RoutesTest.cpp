#include "routes/routes.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::routes;

namespace {

Route route(const std::string &Name, const std::string &Host,
            const std::string &Prefix, std::vector<Share> Services) {
  Route Made;
  Made.m_Name = Name;
  Made.m_Host = Host;
  Made.m_PathPrefix = Prefix;
  Made.m_Timeout = std::chrono::seconds(1);
  Made.m_Services = std::move(Services);
  return Made;
}

Table table() {
  Table Made;
  Made.m_Version = 3;
  Made.m_Services["desk"] = {"desk", 96, 0, {}};
  Made.m_Services["llm"] = {"llm", 360, 500'000, std::chrono::seconds(5)};
  Made.m_Routes = {route("all", "shop.example", "/", {{"desk", 1}}),
                   route("notes", "shop.example", "/notes/", {{"llm", 1}}),
                   route("deep", "shop.example", "/notes/deep/", {{"desk", 1}}),
                   route("other", "yard.example", "/notes/", {{"desk", 1}})};
  return Made;
}

std::string found(const Index &In, const char *Host, const char *Path) {
  const Route *Found = In.find(Host, Path);
  return Found == nullptr ? "none" : Found->m_Name;
}

} // namespace

TEST_CASE("a request finds its route") {
  const Index In(table());
  SECTION("by host and the longest prefix that begins the path") {
    CHECK(found(In, "shop.example", "/") == "all");
    CHECK(found(In, "shop.example", "/notes/7") == "notes");
    CHECK(found(In, "shop.example", "/notes/deep/7/8") == "deep");
    CHECK(found(In, "yard.example", "/notes/7") == "other");
    SECTION("where a prefix ends with its slash") {
      CHECK(found(In, "shop.example", "/notes") == "all");
      CHECK(found(In, "shop.example", "/notesdeep/7") == "all");
    }
  }
  SECTION("whatever the case of the host and its port") {
    CHECK(found(In, "Shop.Example:8080", "/notes/7") == "notes");
  }
  SECTION("or finds none") {
    CHECK(found(In, "yard.example", "/") == "none");
    CHECK(found(In, "nobody.example", "/notes/") == "none");
    CHECK(found(In, "shop.example", "") == "none");
    CHECK(found(Index(), "shop.example", "/") == "none");
  }
}

TEST_CASE("a table that can't be used is refused with its fault") {
  Table Bad = table();
  REQUIRE(checkTable(Bad).empty());
  SECTION("no version") {
    Bad.m_Version = 0;
    CHECK_THAT(checkTable(Bad), Catch::Contains("version"));
  }
  SECTION("a service that is not listed") {
    Bad.m_Routes[0].m_Services = {{"ghost", 1}};
    CHECK_THAT(checkTable(Bad), Catch::Contains("ghost"));
  }
  SECTION("two routes at one place") {
    Bad.m_Routes[2].m_PathPrefix = "/notes/";
    CHECK_THAT(checkTable(Bad), Catch::Contains("another"));
    SECTION("also when only the case of the host differs") {
      Bad.m_Routes[2].m_Host = "SHOP.example";
      CHECK_THAT(checkTable(Bad), Catch::Contains("another"));
    }
  }
  SECTION("weights that add up to nothing") {
    Bad.m_Routes[1].m_Services = {{"llm", 0}, {"desk", 0}};
    CHECK_THAT(checkTable(Bad), Catch::Contains("zero"));
  }
  SECTION("a weight below zero") {
    Bad.m_Routes[1].m_Services = {{"llm", 2}, {"desk", -1}};
    CHECK_FALSE(checkTable(Bad).empty());
  }
  SECTION("no timeout") {
    Bad.m_Routes[1].m_Timeout = {};
    CHECK_THAT(checkTable(Bad), Catch::Contains("timeout"));
  }
  SECTION("a prefix without its slashes") {
    Bad.m_Routes[1].m_PathPrefix = "/notes";
    CHECK_THAT(checkTable(Bad), Catch::Contains("slash"));
  }
}

TEST_CASE("requests are shared out by weight") {
  const Route Split = route("r", "h", "/", {{"a", 90}, {"b", 10}, {"c", 0}});
  constexpr int Draws = 1000;
  constexpr std::uint64_t Step = ~std::uint64_t(0) / Draws;
  std::map<std::string, int> Counts;
  for (int I = 0; I < Draws; ++I)
    ++Counts[pickService(Split, Step * static_cast<std::uint64_t>(I))];
  CHECK(Counts["a"] >= 899);
  CHECK(Counts["a"] <= 901);
  CHECK(Counts["c"] == 0);
  SECTION("and one draw always gives the same") {
    CHECK(pickService(Split, 12345) == pickService(Split, 12345));
    CHECK(pickService(Split, ~std::uint64_t(0)) == "b");
  }
}

TEST_CASE("a table is the same after its way over the wire") {
  Table Sent = table();
  Sent.m_Routes[1].m_Kind = Kind::Streaming;
  Sent.m_Routes[1].m_Resumable = true;
  Sent.m_Routes[1].m_MaxAttempts = 3;
  Sent.m_Routes[1].m_Gap = std::chrono::milliseconds(200);
  CHECK(fromWire(toWire(Sent)) == Sent);
  SECTION("and a kind that is not known is never repeated") {
    wire::RouteTable Newer = toWire(Sent);
    Newer.mutable_routes(1)->set_kind("idempotent-ish");
    CHECK_FALSE(fromWire(Newer).m_Routes[1].isRepeatable());
  }
}
