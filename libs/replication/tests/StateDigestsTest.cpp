#include "StateDigests.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::replication;

SCENARIO("digests are compared only with those of the same index and format") {
  const NodeId Other{"c2"};
  StateDigests Digests;

  GIVEN("a member with digests at three indices") {
    recordOwn(Digests, {256, 1, 10});
    recordOwn(Digests, {512, 1, 20});
    recordOwn(Digests, {768, 1, 30});
    THEN("one that lags is compared at its own index, and once") {
      CHECK(compare(Digests, Other, {512, 1, 20}) == DigestComparison::Equal);
      CHECK(compare(Digests, Other, {512, 1, 20}) == DigestComparison::Skipped);
      CHECK(compare(Digests, Other, {256, 1, 99}) == DigestComparison::Skipped);
    }
    THEN("a different state is found, at each index again") {
      CHECK(compare(Digests, Other, {512, 1, 21}) ==
            DigestComparison::Different);
      CHECK(compare(Digests, Other, {768, 1, 31}) ==
            DigestComparison::Different);
      CHECK(compare(Digests, {"c3"}, {768, 1, 30}) == DigestComparison::Equal);
    }
    THEN("another format is no difference") {
      CHECK(compare(Digests, Other, {512, 2, 21}) == DigestComparison::Skipped);
    }
    THEN("a digest that comes before the own one is compared when it is sent "
         "again") {
      CHECK(compare(Digests, Other, {1024, 1, 40}) ==
            DigestComparison::Skipped);
      recordOwn(Digests, {1024, 1, 41});
      CHECK(compare(Digests, Other, {1024, 1, 40}) ==
            DigestComparison::Different);
    }
    THEN("nothing is compared with a state that was replaced") {
      forgetOwn(Digests);
      CHECK(compare(Digests, Other, {512, 1, 21}) == DigestComparison::Skipped);
    }
    THEN("a member that left the group is forgotten") {
      compare(Digests, Other, {512, 1, 20});
      keepMembers(Digests, {{{{"c1"}, "d1", true, {}, {}, {}}}});
      CHECK(Digests.m_Compared.empty());
    }
  }
  GIVEN("more digests than are kept") {
    for (std::uint64_t Number = 1; Number <= 100; ++Number)
      recordOwn(Digests, {Number * 256, 1, Number});
    THEN("the oldest are forgotten") {
      CHECK(Digests.m_Own.size() < 100);
      CHECK(compare(Digests, Other, {256, 1, 2}) == DigestComparison::Skipped);
      CHECK(compare(Digests, Other, {25'600, 1, 2}) ==
            DigestComparison::Different);
    }
  }
}
