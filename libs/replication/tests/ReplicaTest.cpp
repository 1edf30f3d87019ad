#include "replication_local/replication_local.h"
#include "store_faults/store_faults.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>

using namespace wasabivale;
using namespace std::chrono_literals;
using consensus::Decision;
using consensus::Verdict;
using replication::LocalCluster;
using replication::LocalMember;

namespace {

replication::LocalClusterOptions fastOptions(int Count) {
  replication::LocalClusterOptions Made;
  Made.m_Members = Count;
  Made.m_Root = fmt::format("{}/wasabivale-replica-{}",
                            std::filesystem::temp_directory_path().string(),
                            randomIdentity());
  Made.m_Timing = {50ms, 400ms, 800ms, 300ms};
  Made.m_Limits.m_TrailingRecords = 50;
  Made.m_SnapshotRecords = 200;
  return Made;
}

/// Members of a test, which has limits that only a failure meets.
struct Cluster : LocalCluster {
  explicit Cluster(int Count) : LocalCluster(fastOptions(Count)) {}

  bool waitFor(const std::function<bool()> &Done) const {
    return runUntil(Done, 60s);
  }

  /// Proposes until that many more payloads are acknowledged.
  bool commit(std::size_t Count, std::vector<std::string> &Acknowledged) {
    constexpr std::size_t MostWaiting = 100;
    const std::size_t Wanted = Acknowledged.size() + Count;
    std::size_t Waiting = 0;
    return waitFor([&] {
      LocalMember *At = leader();
      while (At != nullptr && Waiting < MostWaiting &&
             Acknowledged.size() + Waiting < Wanted) {
        const std::string Payload = std::to_string(++m_Number);
        ++Waiting;
        At->m_Replica->propose(Payload, [&, Payload](const Decision &Done) {
          --Waiting;
          if (Done.m_Verdict == Verdict::Committed)
            Acknowledged.push_back(Payload);
        });
      }
      return Acknowledged.size() == Wanted && Waiting == 0;
    });
  }

  bool allHave(const std::vector<std::string> &Wanted) {
    return waitFor([&] {
      return std::all_of(members().begin(), members().end(),
                         [&](const LocalMember &Each) {
                           return !Each.m_Replica || hasEnds(Each, Wanted);
                         });
    });
  }

private:
  static bool hasEnds(const LocalMember &Of,
                      const std::vector<std::string> &Wanted) {
    const auto &Has = Of.m_Applied;
    return std::count(Has.begin(), Has.end(), Wanted.front()) > 0 &&
           std::count(Has.begin(), Has.end(), Wanted.back()) > 0;
  }

  std::uint64_t m_Number = 0;
};

bool isSubset(const std::vector<std::string> &Part,
              const std::vector<std::string> &Whole) {
  return std::all_of(Part.begin(), Part.end(), [&](const std::string &Each) {
    return std::count(Whole.begin(), Whole.end(), Each) == 1;
  });
}

} // namespace

SCENARIO("three members keep what they acknowledged") {
  Cluster Members(3);
  REQUIRE(!failed(Members.startAll()));
  std::vector<std::string> Acknowledged;

  GIVEN("a cluster that has formed and committed 500 proposals") {
    REQUIRE(Members.commit(500, Acknowledged));
    REQUIRE(Members.allHave(Acknowledged));
    for (const LocalMember &Each : Members.members())
      CHECK(isSubset(Acknowledged, Each.m_Applied));

    WHEN("the leader is lost, the others go on and it comes back") {
      LocalMember &Lost = *Members.leader();
      Cluster::stop(Lost);
      REQUIRE(Members.commit(300, Acknowledged));
      REQUIRE(!failed(Members.start(Lost)));
      THEN("it catches up, and all agree") {
        REQUIRE(Members.allHave(Acknowledged));
        for (const LocalMember &Each : Members.members())
          CHECK(isSubset(Acknowledged, Each.m_Applied));
        CHECK(Members.members()[0].m_Applied == Members.members()[1].m_Applied);
        CHECK(Members.members()[0].m_Applied == Members.members()[2].m_Applied);
      }
    }
    WHEN("a follower loses its disk") {
      LocalMember *Leads = Members.leader();
      LocalMember &Wiped =
          Members.members()[Leads == &Members.members()[0] ? 1 : 0];
      LocalMember &Third = *std::find_if(
          Members.members().begin(), Members.members().end(),
          [&](LocalMember &Each) { return &Each != Leads && &Each != &Wiped; });
      Cluster::stop(Wiped);
      std::filesystem::remove_all(Wiped.m_Folder);
      REQUIRE(!failed(Members.start(Wiped)));
      REQUIRE(Members.waitFor([&] {
        return Leads->m_Replica->status().m_Newcomers.count(Wiped.m_Id) == 1;
      }));
      THEN("it does not count: without the third member nothing commits") {
        Cluster::stop(Third);
        REQUIRE(Members.waitFor([&] { return Members.leader() == nullptr; }));
        const auto Before = Leads->m_Replica->status().m_CommitIndex;
        Members.runUntil([] { return false; }, 2s);
        CHECK(Members.leader() == nullptr);
        CHECK(Leads->m_Replica->status().m_CommitIndex == Before);
        AND_THEN("it does again when the third is back") {
          REQUIRE(!failed(Members.start(Third)));
          CHECK(Members.commit(10, Acknowledged));
        }
      }
      THEN("it counts once it was admitted and has caught up") {
        const std::string Fresh =
            Leads->m_Replica->status().m_Newcomers.at(Wiped.m_Id);
        Verdict Admitted = Verdict::Lost;
        Leads->m_Replica->proposeMembershipChange(
            consensus::ReplaceMember{Wiped.m_Id, Fresh},
            [&](const Decision &Done) { Admitted = Done.m_Verdict; });
        REQUIRE(Members.waitFor([&] {
          for (const auto &Each : Leads->m_Replica->status().m_Members)
            if (Each.m_Member.m_Incarnation == Fresh)
              return Each.m_Member.m_Voter;
          return false;
        }));
        CHECK(Admitted == Verdict::Committed);
        REQUIRE(Members.commit(10, Acknowledged));
        AND_THEN("the second loss right after the repair is survived") {
          Cluster::stop(Third);
          CHECK(Members.commit(50, Acknowledged));
          CHECK(Members.allHave(Acknowledged));
          CHECK(isSubset(Acknowledged, Wiped.m_Applied));
        }
      }
    }
    WHEN("the leader hands over") {
      LocalMember *Before = Members.leader();
      Before->m_Replica->transferLeadership();
      THEN("another leads and goes on") {
        REQUIRE(Members.waitFor([&] {
          LocalMember *Now = Members.leader();
          return Now != nullptr && Now != Before;
        }));
        CHECK(Members.commit(10, Acknowledged));
      }
    }
  }
}

SCENARIO("a member whose disk fails takes part no longer") {
  std::vector<store::FaultyFiles> Disks(3);
  Cluster Members(3);
  for (std::size_t At = 0; At < Disks.size(); ++At)
    Members.members()[At].m_Files = &Disks[At];
  REQUIRE(!failed(Members.startAll()));
  std::vector<std::string> Acknowledged;
  REQUIRE(Members.commit(20, Acknowledged));
  LocalMember &Broken = *Members.leader();
  const auto Index =
      static_cast<std::size_t>(&Broken - Members.members().data());

  WHEN("a sync of the leader fails with a proposal under way") {
    Disks[Index].m_Fault = store::Fault::Sync;
    Verdict Given = Verdict::Committed;
    Broken.m_Replica->propose(
        "doubtful", [&](const Decision &Done) { Given = Done.m_Verdict; });
    REQUIRE(Members.waitFor([&] { return !Broken.m_Failures.empty(); }));
    THEN("nothing is acknowledged and the process is told to end") {
      CHECK(Given == Verdict::Lost);
      CHECK(Broken.m_Failures.size() == 1);
      CHECK(Broken.m_Failures.front().m_Step == "store.sync");
      CHECK_FALSE(Broken.m_Replica->isLeader());
      AND_THEN("the others go on without it, though its disk works again") {
        Disks[Index].m_Fault = store::Fault::None;
        CHECK(Members.commit(20, Acknowledged));
        CHECK(Members.leader() != &Broken);
        CHECK(std::count(Broken.m_Applied.begin(), Broken.m_Applied.end(),
                         Acknowledged.back()) == 0);
      }
      AND_THEN("later proposals to it are refused") {
        Broken.m_Replica->propose(
            "x", [&](const Decision &Done) { Given = Done.m_Verdict; });
        REQUIRE(Members.waitFor([&] { return Given == Verdict::NotLeader; }));
      }
    }
  }
}

SCENARIO("a single listed member forms at once") {
  Cluster Members(1);
  REQUIRE(!failed(Members.startAll()));
  std::vector<std::string> Acknowledged;
  REQUIRE(Members.commit(20, Acknowledged));
  WHEN("it is started again") {
    Cluster::stop(Members.members()[0]);
    REQUIRE(!failed(Members.start(Members.members()[0])));
    THEN("it has all that it acknowledged") {
      REQUIRE(Members.allHave(Acknowledged));
      CHECK(Members.members()[0].m_Applied == Acknowledged);
    }
  }
}
