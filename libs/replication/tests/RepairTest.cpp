#include "replication/replication.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::replication;
using namespace std::chrono_literals;

namespace {

const TimePoint Now = TimePoint(1000s);

MemberStatus member(const std::string &Name, bool Voter, Duration Silence) {
  MemberStatus Status;
  Status.m_Member.m_Id = {Name};
  Status.m_Member.m_Incarnation = "disk-" + Name;
  Status.m_Member.m_Voter = Voter;
  Status.m_HeardAt = Now - Silence;
  return Status;
}

GroupState group(int Voters) {
  GroupState Group;
  Group.m_Self = {"a"};
  Group.m_LeaderSince = Now - 60s;
  for (int I = 0; I < Voters; ++I)
    Group.m_Members.push_back(
        member(std::string(1, static_cast<char>('a' + I)), true, 100ms));
  return Group;
}

void setSilence(GroupState &Group, const std::string &Name, Duration Silence) {
  for (MemberStatus &Member : Group.m_Members)
    if (Member.m_Member.m_Id.m_Value == Name)
      Member.m_HeardAt = Now - Silence;
}

std::string nextChange(const GroupState &Group) {
  const auto Change = nextRepair(Group, RepairSettings{}, Now);
  return Change ? describe(*Change) : "nothing";
}

} // namespace

TEST_CASE("a complete group is not changed") {
  GroupState Group = group(5);
  CHECK(nextChange(Group) == "nothing");
  SECTION("with a spare newcomer") {
    Group.m_Newcomers[{"x"}] = "disk-x";
    CHECK(nextChange(Group) == "nothing");
  }
  SECTION("while one member is silent and no newcomer can replace it") {
    setSilence(Group, "c", 30s);
    CHECK(nextChange(Group) == "nothing");
  }
}

TEST_CASE("an incomplete group grows to its configured size") {
  GroupState Group = group(3);
  CHECK(nextChange(Group) == "nothing");
  Group.m_Newcomers[{"d"}] = "disk-d";
  Group.m_Newcomers[{"e"}] = "disk-e";
  CHECK(nextChange(Group) == "add_learner d");
  SECTION("newcomers are added one at a time") {
    Group.m_Newcomers.erase({"d"});
    Group.m_Members.push_back(member("d", false, 100ms));
    CHECK(nextChange(Group) == "add_learner e");
    Group.m_Newcomers.clear();
    Group.m_Members.push_back(member("e", false, 100ms));
    CHECK(nextChange(Group) == "nothing");
  }
  SECTION("nothing is added if too few members respond to commit the change") {
    setSilence(Group, "b", 10s);
    setSilence(Group, "c", 10s);
    CHECK(nextChange(Group) == "nothing");
  }
}

TEST_CASE("a newcomer replaces a silent member") {
  GroupState Group = group(5);
  setSilence(Group, "c", 2s);
  Group.m_Newcomers[{"x"}] = "disk-x";
  CHECK(nextChange(Group) == "add_learner x");
  SECTION("the newcomer catches up first") {
    Group.m_Newcomers.clear();
    Group.m_Members.push_back(member("x", false, 100ms));
    CHECK(nextChange(Group) == "nothing");
    SECTION("the silent member is removed once the newcomer votes") {
      Group.m_Members.back().m_Member.m_Voter = true;
      CHECK(nextChange(Group) == "remove c");
      SECTION("a member that has returned is kept as the sixth voter") {
        setSilence(Group, "c", 100ms);
        CHECK(nextChange(Group) == "nothing");
      }
    }
    SECTION("a newcomer that becomes silent itself is removed") {
      Group.m_Members.back().m_HeardAt = Now - 5s;
      CHECK(nextChange(Group) == "remove x");
    }
  }
  SECTION("a short silence counts as a restart") {
    setSilence(Group, "c", 1s);
    CHECK(nextChange(Group) == "nothing");
  }
  SECTION("a new leader waits, since it has not received any replies yet") {
    Group.m_LeaderSince = Now - 1s;
    CHECK(nextChange(Group) == "nothing");
  }
}

TEST_CASE("a member that returns with another disk is replaced") {
  GroupState Group = group(5);
  setSilence(Group, "b", 3s);
  Group.m_Newcomers[{"b"}] = "disk-b2";
  CHECK(nextChange(Group) == "replace_disk b");
  SECTION("the disk is replaced before any other change") {
    Group.m_Newcomers[{"x"}] = "disk-x";
    CHECK(nextChange(Group) == "replace_disk b");
  }
  SECTION(
      "two members that lost their disks are replaced one after the other") {
    setSilence(Group, "c", 3s);
    Group.m_Newcomers[{"c"}] = "disk-c2";
    CHECK(nextChange(Group) == "replace_disk b");
  }
  SECTION("nothing is replaced if the other members cannot commit the change") {
    setSilence(Group, "c", 3s);
    setSilence(Group, "d", 3s);
    CHECK(nextChange(Group) == "nothing");
  }
}

TEST_CASE("no change leaves the group without a responsive quorum") {
  // Covers every combination of silent members in groups of three to six, with
  // two newcomers.
  constexpr unsigned Patterns = 1U << 6U;
  for (unsigned Silent = 0; Silent < Patterns; ++Silent)
    for (int Voters = 3; Voters <= 6; ++Voters) {
      GroupState Group = group(Voters);
      std::size_t Responsive = 0;
      for (int I = 0; I < Voters; ++I) {
        const bool IsSilent = I > 0 && ((Silent >> I) & 1U) != 0;
        if (IsSilent)
          Group.m_Members[static_cast<std::size_t>(I)].m_HeardAt = Now - 9s;
        Responsive += IsSilent ? 0 : 1;
      }
      Group.m_Newcomers[{"x"}] = "disk-x";
      Group.m_Newcomers[{"b"}] = "disk-b2";
      const auto Change = nextRepair(Group, RepairSettings{}, Now);
      if (!Change)
        continue;
      INFO(describe(*Change) << " of " << Voters << ", silent " << Silent);
      const auto Total = static_cast<std::size_t>(Voters);
      CHECK(Responsive >= (Total - 1) / 2 + 1);
    }
}
