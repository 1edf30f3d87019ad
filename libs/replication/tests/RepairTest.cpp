#include "replication/replication.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::replication;
using namespace std::chrono_literals;

namespace {

const TimePoint Now = TimePoint(1000s);

MemberStatus member(const std::string &Name, bool Voter, Duration Silent) {
  MemberStatus Made;
  Made.m_Member.m_Id = {Name};
  Made.m_Member.m_Incarnation = "disk-" + Name;
  Made.m_Member.m_Voter = Voter;
  Made.m_HeardAt = Now - Silent;
  return Made;
}

GroupState group(int Voters) {
  GroupState Made;
  Made.m_Self = {"a"};
  Made.m_LeaderSince = Now - 60s;
  for (int I = 0; I < Voters; ++I)
    Made.m_Members.push_back(
        member(std::string(1, static_cast<char>('a' + I)), true, 100ms));
  return Made;
}

void silence(GroupState &In, const std::string &Name, Duration For) {
  for (MemberStatus &Each : In.m_Members)
    if (Each.m_Member.m_Id.m_Value == Name)
      Each.m_HeardAt = Now - For;
}

std::string next(const GroupState &Of) {
  const auto Change = nextRepair(Of, RepairSettings{}, Now);
  return Change ? describe(*Change) : "nothing";
}

} // namespace

TEST_CASE("a group that is whole is left alone") {
  GroupState Of = group(5);
  CHECK(next(Of) == "nothing");
  SECTION("also beside a spare newcomer") {
    Of.m_Newcomers[{"x"}] = "disk-x";
    CHECK(next(Of) == "nothing");
  }
  SECTION("and while one member is silent and nobody could take its place") {
    silence(Of, "c", 30s);
    CHECK(next(Of) == "nothing");
  }
}

TEST_CASE("a group grows to its size") {
  GroupState Of = group(3);
  CHECK(next(Of) == "nothing");
  Of.m_Newcomers[{"d"}] = "disk-d";
  Of.m_Newcomers[{"e"}] = "disk-e";
  CHECK(next(Of) == "add_learner d");
  SECTION("one at a time") {
    Of.m_Newcomers.erase({"d"});
    Of.m_Members.push_back(member("d", false, 100ms));
    CHECK(next(Of) == "add_learner e");
    Of.m_Newcomers.clear();
    Of.m_Members.push_back(member("e", false, 100ms));
    CHECK(next(Of) == "nothing");
  }
  SECTION("unless too few answer to commit it") {
    silence(Of, "b", 10s);
    silence(Of, "c", 10s);
    CHECK(next(Of) == "nothing");
  }
}

TEST_CASE("a member that is gone gives its place to a newcomer") {
  GroupState Of = group(5);
  silence(Of, "c", 2s);
  Of.m_Newcomers[{"x"}] = "disk-x";
  CHECK(next(Of) == "add_learner x");
  SECTION("which first catches up") {
    Of.m_Newcomers.clear();
    Of.m_Members.push_back(member("x", false, 100ms));
    CHECK(next(Of) == "nothing");
    SECTION("and when it votes the silent one is removed") {
      Of.m_Members.back().m_Member.m_Voter = true;
      CHECK(next(Of) == "remove c");
      SECTION("unless it has come back: six are as good as five") {
        silence(Of, "c", 100ms);
        CHECK(next(Of) == "nothing");
      }
    }
    SECTION("and when it goes away itself it is removed") {
      Of.m_Members.back().m_HeardAt = Now - 5s;
      CHECK(next(Of) == "remove x");
    }
  }
  SECTION("but a short silence is a restart") {
    silence(Of, "c", 1s);
    CHECK(next(Of) == "nothing");
  }
  SECTION("and a new leader has heard from nobody yet") {
    Of.m_LeaderSince = Now - 1s;
    CHECK(next(Of) == "nothing");
  }
}

TEST_CASE("a member with another disk is a member again") {
  GroupState Of = group(5);
  silence(Of, "b", 3s);
  Of.m_Newcomers[{"b"}] = "disk-b2";
  CHECK(next(Of) == "replace_disk b");
  SECTION("before anything else") {
    Of.m_Newcomers[{"x"}] = "disk-x";
    CHECK(next(Of) == "replace_disk b");
  }
  SECTION("also when two lost theirs, one after the other") {
    silence(Of, "c", 3s);
    Of.m_Newcomers[{"c"}] = "disk-c2";
    CHECK(next(Of) == "replace_disk b");
  }
  SECTION("but not when the others could not commit it") {
    silence(Of, "c", 3s);
    silence(Of, "d", 3s);
    CHECK(next(Of) == "nothing");
  }
}

TEST_CASE("no change leaves a quorum that does not answer") {
  // Every pattern of silence and newcomers over six members.
  constexpr unsigned Patterns = 1U << 6U;
  for (unsigned Silent = 0; Silent < Patterns; ++Silent)
    for (int Voters = 3; Voters <= 6; ++Voters) {
      GroupState Of = group(Voters);
      std::size_t Answering = 0;
      for (int I = 0; I < Voters; ++I) {
        const bool Quiet = I > 0 && ((Silent >> I) & 1U) != 0;
        if (Quiet)
          Of.m_Members[static_cast<std::size_t>(I)].m_HeardAt = Now - 9s;
        Answering += Quiet ? 0 : 1;
      }
      Of.m_Newcomers[{"x"}] = "disk-x";
      Of.m_Newcomers[{"b"}] = "disk-b2";
      const auto Change = nextRepair(Of, RepairSettings{}, Now);
      if (!Change)
        continue;
      INFO(describe(*Change) << " of " << Voters << ", silent " << Silent);
      const auto All = static_cast<std::size_t>(Voters);
      CHECK(Answering >= (All - 1) / 2 + 1);
    }
}
