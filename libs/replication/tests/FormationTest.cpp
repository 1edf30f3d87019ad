#include "Formation.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::replication;

namespace {

Formation member(const std::string &Id, const std::string &Disk) {
  Formation Made;
  Made.m_Cluster = "test";
  Made.m_Self = {Id};
  Made.m_Listed = {{"c1"}, {"c2"}, {"c3"}};
  Made.m_Own.m_Incarnation = Disk;
  return Made;
}

void tell(const Formation &From, Formation &To) {
  CHECK(note(To, From.m_Self, From.m_Own.m_Incarnation, toWire(From)));
}

void promise(Formation &By) {
  REQUIRE(nextStep(By) == FormationStep::Promise);
  By.m_Own.m_Promise = proposedMembership(By);
}

} // namespace

SCENARIO("listed members form the first membership") {
  Formation A = member("c1", "d1");
  Formation B = member("c2", "d2");
  Formation C = member("c3", "d3");

  THEN("a member that has not heard all waits") {
    tell(B, A);
    CHECK(nextStep(A) == FormationStep::Wait);
  }
  GIVEN("one that has heard all and promises") {
    tell(B, A);
    tell(C, A);
    promise(A);
    CHECK(nextStep(A) == FormationStep::Wait);
    WHEN("the others promise the same") {
      for (Formation *Each : {&B, &C}) {
        tell(A, *Each);
        tell(Each == &B ? C : B, *Each);
        promise(*Each);
      }
      tell(B, A);
      CHECK(nextStep(A) == FormationStep::Wait);
      tell(C, A);
      THEN("it forms, and its word is enough for the others") {
        CHECK(nextStep(A) == FormationStep::Form);
        A.m_Own.m_Formed = true;
        tell(A, B);
        CHECK(nextStep(B) == FormationStep::Form);
      }
      THEN("a disk that is lost then does not form another") {
        Formation Lost = member("c3", "d9");
        tell(B, Lost);
        tell(A, Lost);
        promise(Lost);
        tell(Lost, B);
        CHECK(nextStep(B) == FormationStep::Stalled);
        A.m_Own.m_Formed = true;
        tell(A, Lost);
        CHECK(nextStep(Lost) == FormationStep::Stalled);
      }
    }
  }
  GIVEN("a cluster that has formed without this disk") {
    B.m_Own.m_Formed = true;
    tell(B, A);
    tell(C, A);
    THEN("it waits for admission") {
      CHECK(nextStep(A) == FormationStep::Passive);
    }
  }
  THEN("other clusters, lists and strangers are not heard") {
    Formation Other = member("c2", "d2");
    Other.m_Cluster = "other";
    CHECK_FALSE(note(A, {"c2"}, "d2", toWire(Other)));
    Other = member("c2", "d2");
    Other.m_Listed.pop_back();
    CHECK_FALSE(note(A, {"c2"}, "d2", toWire(Other)));
    CHECK_FALSE(note(A, {"c9"}, "d9", toWire(B)));
    CHECK_FALSE(note(A, {"c2"}, "", toWire(B)));
  }
}
