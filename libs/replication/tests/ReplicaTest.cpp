#include "replication_local/replication_local.h"
#include "store_faults/store_faults.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <map>

using namespace wasabivale;
using namespace std::chrono_literals;
using consensus::Decision;
using consensus::Verdict;
using replication::LocalCluster;
using replication::LocalMember;

namespace {

replication::LocalClusterOptions fastOptions(int Count) {
  replication::LocalClusterOptions Options;
  Options.m_Members = Count;
  Options.m_Root = fmt::format("{}/wasabivale-replica-{}",
                               std::filesystem::temp_directory_path().string(),
                               randomIdentity());
  Options.m_Timing = {50ms, 400ms, 800ms, 300ms};
  Options.m_Limits.m_TrailingRecords = 50;
  Options.m_SnapshotRecords = 200;
  return Options;
}

/// Local cluster whose timeouts are reached only by a failing test.
struct Cluster : LocalCluster {
  explicit Cluster(int Count) : LocalCluster(fastOptions(Count)) {}
  explicit Cluster(replication::LocalClusterOptions Options)
      : LocalCluster(std::move(Options)) {}

  bool waitFor(const std::function<bool()> &Condition) const {
    return runUntil(Condition, 60s);
  }

  /// Proposes until \p Count more payloads are acknowledged.
  bool commit(std::size_t Count, std::vector<std::string> &Acknowledged) {
    constexpr std::size_t MaxPending = 100;
    const std::size_t Total = Acknowledged.size() + Count;
    std::size_t Pending = 0;
    return waitFor([&] {
      LocalMember *Leader = leader();
      while (Leader != nullptr && Pending < MaxPending &&
             Acknowledged.size() + Pending < Total) {
        const std::string Payload = std::to_string(++m_Number);
        ++Pending;
        Leader->m_Replica->propose(
            Payload, [&, Payload](const Decision &Decision) {
              --Pending;
              if (Decision.m_Verdict == Verdict::Committed)
                Acknowledged.push_back(Payload);
            });
      }
      return Acknowledged.size() == Total && Pending == 0;
    });
  }

  bool allHaveApplied(const std::vector<std::string> &Payloads) {
    return waitFor([&] {
      return std::all_of(
          members().begin(), members().end(), [&](const LocalMember &Member) {
            return !Member.m_Replica || hasFirstAndLast(Member, Payloads);
          });
    });
  }

private:
  static bool hasFirstAndLast(const LocalMember &Member,
                              const std::vector<std::string> &Payloads) {
    const auto &Applied = Member.m_Applied;
    return std::count(Applied.begin(), Applied.end(), Payloads.front()) > 0 &&
           std::count(Applied.begin(), Applied.end(), Payloads.back()) > 0;
  }

  std::uint64_t m_Number = 0;
};

bool isSubset(const std::vector<std::string> &Subset,
              const std::vector<std::string> &Superset) {
  return std::all_of(
      Subset.begin(), Subset.end(), [&](const std::string &Payload) {
        return std::count(Superset.begin(), Superset.end(), Payload) == 1;
      });
}

} // namespace

SCENARIO("three members keep all acknowledged proposals") {
  Cluster Members(3);
  REQUIRE(!failed(Members.startAll()));
  std::vector<std::string> Acknowledged;

  GIVEN("a cluster that has committed 500 proposals") {
    REQUIRE(Members.commit(500, Acknowledged));
    REQUIRE(Members.allHaveApplied(Acknowledged));
    for (const LocalMember &Member : Members.members())
      CHECK(isSubset(Acknowledged, Member.m_Applied));

    WHEN("the leader stops, the others continue, and it restarts") {
      LocalMember &Stopped = *Members.leader();
      Cluster::stop(Stopped);
      REQUIRE(Members.commit(300, Acknowledged));
      REQUIRE(!failed(Members.start(Stopped)));
      THEN("it catches up, and all members agree") {
        REQUIRE(Members.allHaveApplied(Acknowledged));
        for (const LocalMember &Member : Members.members())
          CHECK(isSubset(Acknowledged, Member.m_Applied));
        CHECK(Members.members()[0].m_Applied == Members.members()[1].m_Applied);
        CHECK(Members.members()[0].m_Applied == Members.members()[2].m_Applied);
      }
    }
    WHEN("a follower loses its disk") {
      LocalMember *Leader = Members.leader();
      LocalMember &Wiped =
          Members.members()[Leader == &Members.members()[0] ? 1 : 0];
      LocalMember &Third =
          *std::find_if(Members.members().begin(), Members.members().end(),
                        [&](LocalMember &Member) {
                          return &Member != Leader && &Member != &Wiped;
                        });
      Cluster::stop(Wiped);
      std::filesystem::remove_all(Wiped.m_Folder);
      REQUIRE(!failed(Members.start(Wiped)));
      REQUIRE(Members.waitFor([&] {
        return Leader->m_Replica->status().m_Newcomers.count(Wiped.m_Id) == 1;
      }));
      THEN("it does not count towards the quorum: nothing commits without the "
           "third member") {
        Cluster::stop(Third);
        REQUIRE(Members.waitFor([&] { return Members.leader() == nullptr; }));
        const auto Previous = Leader->m_Replica->status().m_CommitIndex;
        Members.runUntil([] { return false; }, 2s);
        CHECK(Members.leader() == nullptr);
        CHECK(Leader->m_Replica->status().m_CommitIndex == Previous);
        AND_THEN("proposals commit again once the third member is back") {
          REQUIRE(!failed(Members.start(Third)));
          CHECK(Members.commit(10, Acknowledged));
        }
      }
      THEN("it counts towards the quorum once it was admitted and has caught "
           "up") {
        const std::string Fresh =
            Leader->m_Replica->status().m_Newcomers.at(Wiped.m_Id);
        Verdict Result = Verdict::Lost;
        Leader->m_Replica->proposeMembershipChange(
            consensus::ReplaceMember{Wiped.m_Id, Fresh},
            [&](const Decision &Decision) { Result = Decision.m_Verdict; });
        REQUIRE(Members.waitFor([&] {
          for (const auto &Member : Leader->m_Replica->status().m_Members)
            if (Member.m_Member.m_Incarnation == Fresh)
              return Member.m_Member.m_Voter;
          return false;
        }));
        CHECK(Result == Verdict::Committed);
        REQUIRE(Members.commit(10, Acknowledged));
        AND_THEN("the cluster survives a second loss right after the repair") {
          Cluster::stop(Third);
          CHECK(Members.commit(50, Acknowledged));
          CHECK(Members.allHaveApplied(Acknowledged));
          CHECK(isSubset(Acknowledged, Wiped.m_Applied));
        }
      }
    }
    WHEN("the leader transfers leadership") {
      LocalMember *Previous = Members.leader();
      Previous->m_Replica->transferLeadership();
      THEN("another member takes over and commits proposals") {
        REQUIRE(Members.waitFor([&] {
          LocalMember *Leader = Members.leader();
          return Leader != nullptr && Leader != Previous;
        }));
        CHECK(Members.commit(10, Acknowledged));
      }
    }
  }
}

SCENARIO("a member whose disk fails no longer takes part") {
  std::vector<store::FaultyFiles> Disks(3);
  Cluster Members(3);
  for (std::size_t Number = 0; Number < Disks.size(); ++Number)
    Members.members()[Number].m_Files = &Disks[Number];
  REQUIRE(!failed(Members.startAll()));
  std::vector<std::string> Acknowledged;
  REQUIRE(Members.commit(20, Acknowledged));
  LocalMember &Broken = *Members.leader();
  const auto Index =
      static_cast<std::size_t>(&Broken - Members.members().data());

  WHEN("a sync of the leader fails with a pending proposal") {
    Disks[Index].m_Fault = store::Fault::Sync;
    Verdict Result = Verdict::Committed;
    Broken.m_Replica->propose("doubtful", [&](const Decision &Decision) {
      Result = Decision.m_Verdict;
    });
    REQUIRE(Members.waitFor([&] { return !Broken.m_Failures.empty(); }));
    THEN("nothing is acknowledged and the failure is reported") {
      CHECK(Result == Verdict::Lost);
      CHECK(Broken.m_Failures.size() == 1);
      CHECK(Broken.m_Failures.front().m_Step == "store.sync");
      CHECK_FALSE(Broken.m_Replica->isLeader());
      AND_THEN(
          "the others continue without it even after its disk has recovered") {
        Disks[Index].m_Fault = store::Fault::None;
        CHECK(Members.commit(20, Acknowledged));
        CHECK(Members.leader() != &Broken);
        CHECK(std::count(Broken.m_Applied.begin(), Broken.m_Applied.end(),
                         Acknowledged.back()) == 0);
      }
      AND_THEN("it refuses later proposals") {
        Broken.m_Replica->propose("x", [&](const Decision &Decision) {
          Result = Decision.m_Verdict;
        });
        REQUIRE(Members.waitFor([&] { return Result == Verdict::NotLeader; }));
      }
    }
  }
}

SCENARIO("a failed member does not report that it leads") {
  store::FaultyFiles Disk;
  Cluster Members(1);
  Members.members().front().m_Files = &Disk;
  REQUIRE(!failed(Members.startAll()));
  std::vector<std::string> Acknowledged;
  REQUIRE(Members.commit(5, Acknowledged));
  const metrics::Gauge &Leading = Members.registry().gauge(
      "wasabivale_consensus_leading", "1 on the leader");
  REQUIRE(Members.waitFor([&] { return Leading.m_Value == 1; }));
  WHEN("its disk is full") {
    Disk.m_Fault = store::Fault::Full;
    LocalMember &Broken = Members.members().front();
    Broken.m_Replica->propose("doubtful", [](const Decision &) {});
    REQUIRE(Members.waitFor([&] { return !Broken.m_Failures.empty(); }));
    THEN("the metric of the leader is 0") { CHECK(Leading.m_Value == 0); }
  }
}

namespace {

/// Starts each member again some time after its disk has failed, as the
/// process does.
struct ReopeningCluster : Cluster {
  std::vector<store::FaultyFiles> m_Disks;
  std::map<NodeId, TimePoint> m_ReopenAt;

  explicit ReopeningCluster(int Count)
      : Cluster(Count), m_Disks(static_cast<std::size_t>(Count)) {
    for (std::size_t Number = 0; Number < m_Disks.size(); ++Number)
      members()[Number].m_Files = &m_Disks[Number];
  }

  ~ReopeningCluster() {
    for (LocalMember &Member : members())
      stop(Member);
  }
  ReopeningCluster(const ReopeningCluster &) = delete;
  ReopeningCluster &operator=(const ReopeningCluster &) = delete;

  store::FaultyFiles &diskOf(const LocalMember &Member) {
    return m_Disks[static_cast<std::size_t>(&Member - members().data())];
  }

  void reopenFailed() {
    constexpr Duration Pause = 200ms;
    const TimePoint Now = BootClock::now();
    for (LocalMember &Member : members()) {
      if (Member.m_Replica && !Member.m_Failures.empty()) {
        stop(Member);
        Member.m_Failures.clear();
        m_ReopenAt[Member.m_Id] = Now + Pause;
      } else if (!Member.m_Replica && Now >= m_ReopenAt[Member.m_Id]) {
        if (failed(start(Member))) {
          stop(Member);
          m_ReopenAt[Member.m_Id] = Now + Pause;
        }
      }
    }
  }

  /// Proposes a payload at the leader every few ms until \p Until.
  void proposeUntil(TimePoint Until) {
    constexpr Duration Interval = 5ms;
    TimePoint Next;
    (void)runUntil(
        [&] {
          reopenFailed();
          LocalMember *Leader = leader();
          const TimePoint Now = BootClock::now();
          if (Leader != nullptr && Now >= Next) {
            Next = Now + Interval;
            proposeAt(*Leader);
          }
          return Now >= Until;
        },
        60s);
  }

  void proposeAt(LocalMember &Leader) {
    const std::string Payload = std::to_string(++m_Proposed);
    ++m_Unanswered;
    Leader.m_Replica->propose(Payload, [&, Payload](const Decision &Decided) {
      --m_Unanswered;
      if (Decided.m_Verdict == Verdict::Committed)
        m_Committed.push_back(Payload);
    });
  }

  std::vector<std::string> m_Committed;
  std::size_t m_Proposed = 0;
  std::size_t m_Unanswered = 0;
};

} // namespace

TEST_CASE("a group whose disks were full in turn commits again") {
  const auto Seed = GENERATE(range(1, 3));
  INFO("seed " << Seed);
  Random Rng(static_cast<Random::result_type>(Seed));
  const auto Draw = [&](int Least, int Most) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(Least, Most)(Rng));
  };
  constexpr std::array Faults = {
      store::Fault::Full, store::Fault::ShortThenFull, store::Fault::Sync,
      store::Fault::Rename, store::Fault::SyncFolder};
  ReopeningCluster Group(5);
  REQUIRE(!failed(Group.startAll()));
  REQUIRE(Group.waitFor([&] { return Group.leader() != nullptr; }));
  constexpr std::size_t Rounds = 10;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    LocalMember *Leader = Group.leader();
    const bool HitsLeader = Leader != nullptr && Rng() % 2 == 0;
    LocalMember &Hit =
        HitsLeader ? *Leader : Group.members()[Round % Group.m_Disks.size()];
    store::FaultyFiles &Disk = Group.diskOf(Hit);
    Disk.m_WasShort = false;
    Disk.m_Fault = Faults[Rng() % Faults.size()];
    Group.proposeUntil(BootClock::now() + Draw(20, 1500));
    Disk.m_Fault = store::Fault::None;
    Group.proposeUntil(BootClock::now() + Draw(0, 300));
  }
  const std::size_t Before = Group.m_Committed.size();
  Group.proposeUntil(BootClock::now() + 3s);
  CHECK(Group.m_Committed.size() > Before + 50);
  for (LocalMember &Member : Group.members())
    CHECK(Group.waitFor([&] {
      Group.reopenFailed();
      return Member.m_Replica && Group.m_Unanswered == 0 &&
             isSubset(Group.m_Committed, Member.m_Applied);
    }));
  // Each member leads, and commits, when it is asked to.
  for (LocalMember &Member : Group.members()) {
    REQUIRE(Group.waitFor([&] { return Group.leader() != nullptr; }));
    if (Group.leader() != &Member)
      Group.leader()->m_Replica->transferLeadership(Member.m_Id);
    CHECK(Group.waitFor([&] { return Group.leader() == &Member; }));
    const std::size_t Led = Group.m_Committed.size();
    Group.proposeUntil(BootClock::now() + 200ms);
    CHECK(Group.m_Committed.size() > Led);
  }
}

SCENARIO("a single listed member forms the cluster immediately") {
  Cluster Members(1);
  REQUIRE(!failed(Members.startAll()));
  std::vector<std::string> Acknowledged;
  REQUIRE(Members.commit(20, Acknowledged));
  WHEN("it is restarted") {
    Cluster::stop(Members.members()[0]);
    REQUIRE(!failed(Members.start(Members.members()[0])));
    THEN("it has all acknowledged proposals") {
      REQUIRE(Members.allHaveApplied(Acknowledged));
      CHECK(Members.members()[0].m_Applied == Acknowledged);
    }
  }
}

SCENARIO("a member whose state differs from the leader's does not stay "
         "unnoticed") {
  replication::LocalClusterOptions Options = fastOptions(3);
  Options.m_DigestRecords = 32;
  Cluster Members(Options);
  std::vector<std::string> Acknowledged;
  const auto Count = [&](const char *Result) {
    return Members.registry()
        .counter("wasabivale_state_digests_total", "", {{"result", Result}})
        .m_Value;
  };
  const auto OtherThan = [&](const LocalMember *Leader) -> LocalMember & {
    return Members.members()[Leader == &Members.members()[0] ? 1 : 0];
  };

  GIVEN("three members with equal states") {
    REQUIRE(!failed(Members.startAll()));
    REQUIRE(Members.commit(300, Acknowledged));
    REQUIRE(Members.allHaveApplied(Acknowledged));
    REQUIRE(Members.waitFor([&] { return Count("equal") >= 2; }));
    CHECK(Count("different") == 0);
    WHEN("a follower applies a record differently") {
      OtherThan(Members.leader()).m_Applied.back() += "x";
      REQUIRE(Members.commit(100, Acknowledged));
      THEN("the leader counts a difference") {
        CHECK(Members.waitFor([&] { return Count("different") > 0; }));
      }
    }
    WHEN("a follower restarts and applies its log again") {
      LocalMember &Follower = OtherThan(Members.leader());
      Cluster::stop(Follower);
      REQUIRE(!failed(Members.start(Follower)));
      REQUIRE(Members.allHaveApplied(Acknowledged));
      const std::uint64_t Before = Count("equal");
      REQUIRE(Members.commit(100, Acknowledged));
      THEN("the states of both followers are compared and equal") {
        CHECK(Members.waitFor([&] { return Count("equal") >= Before + 2; }));
        CHECK(Count("different") == 0);
      }
    }
  }
  GIVEN("two members of a build without digests, of different states") {
    for (std::size_t Number = 0; Number < 2; ++Number)
      Members.members()[Number].m_TakesDigests = false;
    REQUIRE(!failed(Members.startAll()));
    REQUIRE(Members.commit(20, Acknowledged));
    REQUIRE(Members.allHaveApplied(Acknowledged));
    OtherThan(Members.leader()).m_Applied.back() += "x";
    REQUIRE(Members.commit(300, Acknowledged));
    REQUIRE(Members.allHaveApplied(Acknowledged));
    THEN("nothing is compared") {
      CHECK(Count("equal") == 0);
      CHECK(Count("different") == 0);
    }
  }
}
