// Requests of customers, by their keys, on loopback.

#include "Shop.h"

namespace wasabivale::entry::test {

namespace {

/// Two customers; one route that anonymous callers may use as well.
struct CustomerShop : Shop {
  CustomerShop() {
    wire::RouteTable &Table = *m_Fleet.mutable_routes();
    Table.set_checks_keys(true);
    *Table.add_routes() = route("open", "safe", "desk");
    Table.mutable_routes(Table.routes_size() - 1)->set_allow_anonymous(true);
    addCustomer("large", "key-1");
    addCustomer("small", "key-2");
  }

  void addCustomer(const std::string &Name, const std::string &Key) {
    wire::Customer &Added = *m_Fleet.mutable_routes()->add_customers();
    Added.set_name(Name);
    Added.add_key_digests(routes::keyDigest(Key));
  }

  /// Control answers a report that was sent \p Age ago.
  void confirm(std::chrono::milliseconds Age = 0ms) {
    constexpr std::chrono::seconds Lease{2};
    wire::ControlGrant Grant;
    Grant.set_fleet_revision(m_Fleet.revision());
    Grant.set_routes_version(m_Fleet.routes_version());
    Grant.set_lease_ns(std::chrono::nanoseconds(Lease).count());
    m_Path->takeGrant(Grant, BootClock::now() - Age + Lease);
  }

  int statusOf(const std::string &Path, const std::string &Key) {
    return ask("GET", Path,
               Key.empty() ? http::Fields{} : http::Fields{{"Key", Key}})
        .m_Status;
  }
};

} // namespace

SCENARIO("a request runs for the customer whose key it carries") {
  CustomerShop Fixture;
  Fixture.open({answers(200, "three left")});
  WHEN("it carries a known key") {
    CHECK(Fixture.statusOf("/stock/7", "key-2") == 200);
    THEN("its target is told the customer, and not the key") {
      REQUIRE(Fixture.m_Seen.size() == 1);
      CHECK(http::field(Fixture.m_Seen[0].m_Fields, "customer") == "small");
      CHECK(http::field(Fixture.m_Seen[0].m_Fields, "key").empty());
    }
  }
  WHEN("it carries none, or one that nobody holds") {
    for (const char *Given : {"", "key-3", "KEY-1"}) {
      INFO(Given);
      CHECK(Fixture.statusOf("/stock/7", Given) == 401);
    }
    THEN("it does not run") { CHECK(Fixture.m_Seen.empty()); }
  }
  WHEN("its route takes anonymous callers") {
    CHECK(Fixture.statusOf("/open/7", "") == 200);
    CHECK(Fixture.statusOf("/open/7", "key-1") == 200);
    THEN("a key that nobody holds is refused all the same") {
      CHECK(Fixture.statusOf("/open/7", "key-3") == 401);
      CHECK(Fixture.m_Seen.size() == 2);
    }
  }
  WHEN("a new version moves a key to another customer") {
    Fixture.m_Fleet.mutable_routes()->clear_customers();
    Fixture.addCustomer("new", "key-1");
    Fixture.m_Fleet.mutable_routes()->set_version(2);
    Fixture.m_Fleet.set_routes_version(2);
    REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
    THEN("that customer has it, and the former keys are gone") {
      CHECK(Fixture.statusOf("/stock/7", "key-1") == 200);
      CHECK(http::field(Fixture.m_Seen[0].m_Fields, "customer") == "new");
      CHECK(Fixture.statusOf("/stock/7", "key-2") == 401);
    }
  }
}

SCENARIO("an entry that control has not confirmed of late accepts no key") {
  CustomerShop Fixture;
  Fixture.open({answers(200, "three left")});
  Fixture.m_Settings.m_Routes->m_RevokeWithin = 2s;
  Fixture.restart();
  Fixture.m_Loop.turnFor(20ms);
  const auto IsRefused = [&](const std::string &Given) {
    const Answered Got = Fixture.ask("GET", "/stock/7", {{"Key", Given}});
    return Got.m_Status == 503 &&
           http::field(Got.m_Fields, OutcomeHeader) == "not_run" &&
           !http::field(Got.m_Fields, "retry-after").empty();
  };
  GIVEN("a process that has just started") {
    THEN("keys are refused, known or not, until control answers") {
      CHECK(IsRefused("key-1"));
      CHECK(IsRefused("key-3"));
      CHECK(Fixture.statusOf("/open/7", "") == 200);
      Fixture.confirm();
      CHECK(Fixture.statusOf("/stock/7", "key-1") == 200);
      CHECK(Fixture.statusOf("/stock/7", "key-3") == 401);
    }
  }
  GIVEN("an answer to a report of long ago") {
    Fixture.confirm(1900ms);
    THEN("keys are refused, and anonymous callers served") {
      CHECK(IsRefused("key-1"));
      CHECK(Fixture.statusOf("/open/7", "") == 200);
    }
  }
}

} // namespace wasabivale::entry::test
