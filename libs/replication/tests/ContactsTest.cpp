#include "Contacts.h"

#include <catch2/catch.hpp>
#include <string>

using namespace wasabivale;
using namespace wasabivale::replication;

namespace {

std::vector<NodeId> nodes(int First, int Last) {
  std::vector<NodeId> Listed;
  for (int Number = First; Number <= Last; ++Number)
    Listed.push_back({"c" + std::to_string(Number)});
  return Listed;
}

} // namespace

SCENARIO("contacts are bounded, and the newest members stay") {
  Contacts Known{{"self"}, {}};

  GIVEN("the members of a group") {
    CHECK(recordMembers(Known, nodes(1, 5)));
    THEN("the same members in another order change nothing") {
      CHECK_FALSE(
          recordMembers(Known, {{"c5"}, {"c4"}, {"c3"}, {"c2"}, {"c1"}}));
    }
    THEN("reports of two memberships in turn change nothing after the first") {
      CHECK(recordMembers(Known, nodes(4, 8)));
      CHECK_FALSE(recordMembers(Known, nodes(1, 5)));
      CHECK_FALSE(recordMembers(Known, nodes(4, 8)));
    }
    THEN("this member and empty names are not listed") {
      CHECK_FALSE(recordMembers(Known, {{"self"}, {""}}));
      CHECK_FALSE(recordHearsay(Known, {{"self"}, {""}}));
    }
    WHEN("many later memberships are reported") {
      for (int First = 10; First < 100; First += 5)
        CHECK(recordMembers(Known, nodes(First, First + 4)));
      THEN("the oldest are dropped") {
        CHECK(Known.m_Nodes.size() == MaxContacts);
        CHECK(Known.m_Nodes.front() == NodeId{"c95"});
        CHECK(Known.m_Nodes.back() == NodeId{"c80"});
      }
    }
  }
  GIVEN("as many contacts of others as there is room for") {
    CHECK(recordHearsay(Known, nodes(1, 40)));
    CHECK(Known.m_Nodes.size() == MaxContacts);
    THEN("further ones are not recorded") {
      CHECK_FALSE(recordHearsay(Known, nodes(50, 60)));
    }
    THEN("members replace them") {
      CHECK(recordMembers(Known, nodes(50, 52)));
      CHECK(Known.m_Nodes.size() == MaxContacts);
      CHECK(Known.m_Nodes.front() == NodeId{"c50"});
    }
  }
}
