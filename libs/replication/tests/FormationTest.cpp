#include "Formation.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::replication;

namespace {

Formation member(const std::string &Id, const std::string &Disk) {
  Formation Member;
  Member.m_Cluster = "test";
  Member.m_Self = {Id};
  Member.m_Listed = {{"c1"}, {"c2"}, {"c3"}};
  Member.m_Own.m_Incarnation = Disk;
  return Member;
}

void sendReport(const Formation &Sender, Formation &Receiver) {
  CHECK(recordReport(Receiver, Sender.m_Self, Sender.m_Own.m_Incarnation,
                     toWire(Sender)));
}

void makePromise(Formation &Member) {
  REQUIRE(nextStep(Member) == FormationStep::Promise);
  Member.m_Own.m_Promise = proposedMembership(Member);
}

} // namespace

SCENARIO("listed members agree on the initial membership") {
  Formation A = member("c1", "d1");
  Formation B = member("c2", "d2");
  Formation C = member("c3", "d3");

  THEN("a member without reports from all others waits") {
    sendReport(B, A);
    CHECK(nextStep(A) == FormationStep::Wait);
  }
  GIVEN("a member that has reports from all others and has made its promise") {
    sendReport(B, A);
    sendReport(C, A);
    makePromise(A);
    CHECK(nextStep(A) == FormationStep::Wait);
    WHEN("the other members make the same promise") {
      for (Formation *Member : {&B, &C}) {
        sendReport(A, *Member);
        sendReport(Member == &B ? C : B, *Member);
        makePromise(*Member);
      }
      sendReport(B, A);
      CHECK(nextStep(A) == FormationStep::Wait);
      sendReport(C, A);
      THEN("it forms the cluster, and its report suffices for the others") {
        CHECK(nextStep(A) == FormationStep::Form);
        A.m_Own.m_Formed = true;
        sendReport(A, B);
        CHECK(nextStep(B) == FormationStep::Form);
      }
      THEN("a disk replaced at that point does not form a second cluster") {
        Formation Replaced = member("c3", "d9");
        sendReport(B, Replaced);
        sendReport(A, Replaced);
        makePromise(Replaced);
        sendReport(Replaced, B);
        CHECK(nextStep(B) == FormationStep::Stalled);
        A.m_Own.m_Formed = true;
        sendReport(A, Replaced);
        CHECK(nextStep(Replaced) == FormationStep::Stalled);
      }
    }
  }
  GIVEN("a cluster that has formed without this disk") {
    B.m_Own.m_Formed = true;
    sendReport(B, A);
    sendReport(C, A);
    THEN("it waits for admission") {
      CHECK(nextStep(A) == FormationStep::Passive);
    }
  }
  THEN("reports from other clusters, other lists and unlisted members are "
       "ignored") {
    Formation Other = member("c2", "d2");
    Other.m_Cluster = "other";
    CHECK_FALSE(recordReport(A, {"c2"}, "d2", toWire(Other)));
    Other = member("c2", "d2");
    Other.m_Listed.pop_back();
    CHECK_FALSE(recordReport(A, {"c2"}, "d2", toWire(Other)));
    CHECK_FALSE(recordReport(A, {"c9"}, "d9", toWire(B)));
    CHECK_FALSE(recordReport(A, {"c2"}, "", toWire(B)));
  }
}
