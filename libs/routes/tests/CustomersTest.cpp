// Customers of a table, and their keys.

#include "routes/routes.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::routes;

namespace {

Table tableWith(std::vector<Customer> Customers) {
  Table RouteTable;
  RouteTable.m_Version = 1;
  RouteTable.m_ChecksKeys = true;
  RouteTable.m_Customers = std::move(Customers);
  return RouteTable;
}

} // namespace

TEST_CASE("a key names its customer") {
  const Index Known(
      tableWith({{"large", {keyDigest("key-1"), keyDigest("key-2")}, 1},
                 {"small", {keyDigest("key-3")}, std::nullopt}}));
  SECTION("each of its keys") {
    for (const char *Key : {"key-1", "key-2"}) {
      REQUIRE(Known.findCustomer(Key) != nullptr);
      CHECK(Known.findCustomer(Key)->m_Name == "large");
    }
    CHECK(Known.findCustomer("key-3")->m_Name == "small");
  }
  SECTION("a key that is nearly known is unknown") {
    using namespace std::string_literals;
    for (const std::string &Key :
         {""s, "key"s, "KEY-1"s, "key-1 "s, "key-1\0"s,
          std::string(65'536, 'k'), keyDigest("key-1"), "k\xc3\xa9y-1"s})
      CHECK(Known.findCustomer(Key) == nullptr);
  }
}

TEST_CASE("customers of a table are checked and sent") {
  SECTION("two that share a key make it invalid, and the key is not shown") {
    const std::string Why =
        checkTable(tableWith({{"one", {keyDigest("secret")}, {}},
                              {"two", {keyDigest("secret")}, {}}}));
    CHECK_FALSE(Why.empty());
    CHECK(Why.find("secret") == std::string::npos);
    CHECK(Why.find(keyDigest("secret")) == std::string::npos);
  }
  SECTION("one that names a key twice does not") {
    CHECK(checkTable(
              tableWith(
                  {{"one", {keyDigest("secret"), keyDigest("secret")}, {}}}))
              .empty());
  }
  SECTION("what is sent is read back") {
    Table Sent = tableWith({{"one", {keyDigest("a")}, 2}, {"two", {}, {}}});
    Service Ordered;
    Ordered.m_Name = "llm";
    Ordered.m_Scaling =
        Scaling{1, 94, std::chrono::seconds(4), 0.18, {{"a", 1.0}, {"b", 0.8}}};
    Sent.m_Services["llm"] = Ordered;
    CHECK(fromWire(toWire(Sent)) == Sent);
  }
}
