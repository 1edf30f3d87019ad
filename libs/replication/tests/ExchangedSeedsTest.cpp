#include "replication_local/replication_local.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>

using namespace wasabivale;
using namespace std::chrono_literals;
using replication::LocalCluster;
using replication::LocalClusterOptions;
using replication::LocalMember;

namespace {

LocalClusterOptions fastOptions(int Count) {
  LocalClusterOptions Options;
  Options.m_Members = Count;
  Options.m_Root = fmt::format("{}/wasabivale-seeds-{}",
                               std::filesystem::temp_directory_path().string(),
                               randomIdentity());
  Options.m_Timing = {50ms, 400ms, 800ms, 300ms};
  return Options;
}

/// c1 to c3 are the seeds of the first start, the others are added later.
struct Site : LocalCluster {
  static constexpr std::size_t Founders = 3;

  explicit Site(int Count) : LocalCluster(fastOptions(Count)) {
    for (std::size_t Each = 0; Each < members().size(); ++Each) {
      members()[Each].m_Seeds = {{"c1"}, {"c2"}, {"c3"}};
      members()[Each].m_MayForm = Each < Founders;
    }
  }

  bool waitFor(const std::function<bool()> &Condition) const {
    return runUntil(Condition, 60s);
  }
  void run(Duration For) const {
    (void)runUntil([] { return false; }, For);
  }

  LocalMember &at(std::size_t Number) { return members()[Number - 1]; }

  void start(std::initializer_list<std::size_t> Numbers) {
    for (const std::size_t Number : Numbers)
      REQUIRE(!failed(LocalCluster::start(at(Number))));
  }
  void stop(std::initializer_list<std::size_t> Numbers) {
    for (const std::size_t Number : Numbers)
      LocalCluster::stop(at(Number));
  }
  /// Starts members again, with the first start over.
  void restart(std::initializer_list<std::size_t> Numbers,
               const std::vector<NodeId> &Seeds, bool MayForm = false) {
    stop(Numbers);
    for (const std::size_t Number : Numbers) {
      at(Number).m_Seeds = Seeds;
      at(Number).m_MayForm = MayForm;
    }
    start(Numbers);
  }

  bool isFormed(std::size_t Number) {
    return at(Number).m_Replica->status().m_Formed;
  }
  bool isKnownNewcomer(std::size_t Number) {
    const LocalMember *Leader = leader();
    return Leader != nullptr &&
           Leader->m_Replica->status().m_Newcomers.count(at(Number).m_Id) == 1;
  }
  bool waitForNewcomers(std::initializer_list<std::size_t> Numbers) {
    return waitFor([&] {
      return std::all_of(
          Numbers.begin(), Numbers.end(),
          [&](std::size_t Number) { return isKnownNewcomer(Number); });
    });
  }
  bool formFirstGroup() {
    start({1, 2, 3});
    return waitFor([&] { return leader() != nullptr; });
  }
  std::uint64_t otherGroupMessages() {
    return registry()
        .counter("wasabivale_other_group_messages_total", "")
        .m_Value;
  }
};

const std::vector<NodeId> AddedSeeds = {{"c4"}, {"c5"}, {"c6"}};

/// Formats the disk of a stopped member as a build did that recorded no start.
void formatAsOlderBuild(const LocalMember &Member) {
  store::Files &Files = store::systemFiles();
  REQUIRE(!failed(store::Store::isEmpty(Files, Member.m_Folder)));
  REQUIRE(!failed(
      store::Store::format(Files, Member.m_Folder, "local", Member.m_Id)));
}

} // namespace

// Guards against a second group of added members (review case 6).
SCENARIO("added members that are restarted with each other as seeds form no "
         "group") {
  Site Members(6);
  REQUIRE(Members.formFirstGroup());

  GIVEN("three added members that wait outside the group") {
    Members.start({4, 5, 6});
    REQUIRE(Members.waitForNewcomers({4, 5, 6}));
    WHEN("they are restarted with only each other as seeds") {
      Members.restart({4, 5, 6}, AddedSeeds);
      THEN("they ask the members that they had found, and form nothing") {
        CHECK(Members.waitForNewcomers({4, 5, 6}));
        Members.run(2s);
        for (const std::size_t Number : {4, 5, 6}) {
          CHECK_FALSE(Members.isFormed(Number));
          CHECK(Members.at(Number).m_Replica->knownMembers() ==
                std::vector<NodeId>{{"c1"}, {"c2"}, {"c3"}});
        }
      }
    }
    WHEN("the whole group is killed too, and all come back with these seeds") {
      Members.stop({1, 2, 3});
      Members.restart({4, 5, 6}, AddedSeeds);
      Members.restart({1, 2, 3}, AddedSeeds);
      THEN("the group leads again and hears of them") {
        CHECK(Members.waitForNewcomers({4, 5, 6}));
        CHECK_FALSE(Members.isFormed(4));
      }
    }
    WHEN("the seeds name one member and two of them") {
      Members.restart({4, 5, 6}, {{"c1"}, {"c4"}, {"c5"}});
      THEN("they form nothing and wait outside the group") {
        CHECK(Members.waitForNewcomers({4, 5, 6}));
        Members.run(1s);
        CHECK_FALSE(Members.isFormed(4));
      }
    }
  }
  GIVEN("added members of an older build, whose disks record no start") {
    for (const std::size_t Number : {4, 5, 6})
      formatAsOlderBuild(Members.at(Number));
    WHEN("they are started with only each other as seeds") {
      Members.restart({4, 5, 6}, AddedSeeds);
      Members.run(2s);
      THEN("they form nothing") {
        for (const std::size_t Number : {4, 5, 6})
          CHECK_FALSE(Members.isFormed(Number));
      }
      AND_WHEN("the settings of a member of the group name them, too") {
        Members.at(1).m_Replica->updateSeeds(AddedSeeds);
        THEN("it tells them of the group, and they ask for admission") {
          CHECK(Members.waitForNewcomers({4, 5, 6}));
        }
      }
    }
  }
}

// Guards against a second group of machines of the first start that were
// neither seeds nor admitted.
SCENARIO("members of the first start that were not its seeds form no group") {
  Site Members(6);
  for (LocalMember &Member : Members.members())
    Member.m_MayForm = true;
  REQUIRE(Members.formFirstGroup());
  Members.start({4, 5, 6});
  REQUIRE(Members.waitForNewcomers({4, 5, 6}));
  const bool MayForm = GENERATE(false, true);
  WHEN("they are restarted with only each other as seeds") {
    Members.restart({4, 5, 6}, AddedSeeds, MayForm);
    THEN("they form nothing") {
      CHECK(Members.waitForNewcomers({4, 5, 6}));
      Members.run(2s);
      CHECK_FALSE(Members.isFormed(4));
    }
  }
}

SCENARIO("a first start that is broken off still forms its group") {
  Site Members(6);
  const bool MayForm = GENERATE(false, true);
  INFO("restarted with bootstrap " << (MayForm ? "true" : "false"));

  WHEN("it is broken off after the format of all disks") {
    // One at a time, so that no member hears from another.
    for (const std::size_t Number : {1, 2, 3}) {
      Members.start({Number});
      Members.run(100ms);
      Members.stop({Number});
    }
    Members.restart({1, 2, 3}, {{"c1"}, {"c2"}, {"c3"}}, MayForm);
    THEN("it forms its group") {
      CHECK(Members.waitFor([&] { return Members.leader() != nullptr; }));
    }
  }
  WHEN("it is broken off, and restarted with other seeds") {
    for (const std::size_t Number : {1, 2, 3}) {
      Members.start({Number});
      Members.stop({Number});
    }
    Members.restart({1, 2, 3}, AddedSeeds, MayForm);
    THEN("it forms the group of its first seeds") {
      CHECK(Members.waitFor([&] { return Members.leader() != nullptr; }));
    }
  }
  WHEN("it is broken off at any moment up to the first record") {
    const int Milliseconds = GENERATE(1, 5, 20, 60, 120);
    Members.start({1, 2, 3});
    Members.run(std::chrono::milliseconds(Milliseconds));
    Members.restart({1, 2, 3}, AddedSeeds, MayForm);
    THEN("it forms its group") {
      CHECK(Members.waitFor([&] { return Members.leader() != nullptr; }));
    }
  }
  WHEN("its disks were formatted by an older build, and it is still the first "
       "start") {
    for (const std::size_t Number : {1, 2, 3})
      formatAsOlderBuild(Members.at(Number));
    Members.start({1, 2, 3});
    THEN("it forms its group") {
      CHECK(Members.waitFor([&] { return Members.leader() != nullptr; }));
    }
  }
}

SCENARIO("a member without a disk that knows only newcomers finds the group") {
  Site Members(6);
  REQUIRE(Members.formFirstGroup());
  Members.start({4, 5});
  REQUIRE(Members.waitForNewcomers({4, 5}));
  WHEN("a further member is added whose seeds are newcomers") {
    Members.restart({6}, {{"c4"}, {"c5"}});
    THEN("they tell it the members that they know, and it asks those") {
      CHECK(Members.waitForNewcomers({6}));
    }
  }
}

SCENARIO("newcomers with a list of members that are gone are found by new "
         "seeds") {
  Site Members(6);
  REQUIRE(Members.formFirstGroup());
  Members.start({4});
  REQUIRE(Members.waitForNewcomers({4}));
  Members.stop({4});
  std::filesystem::remove(Members.at(4).m_Folder + "/contacts");
  GIVEN("stored contacts that nobody answers at") {
    auto Disk = store::Store::open(store::systemFiles(), Members.at(4).m_Folder,
                                   "local", Members.at(4).m_Id);
    REQUIRE(!failed(Disk));
    REQUIRE(!failed(valueOf(Disk)->saveContacts({{"gone-1"}, {"gone-2"}})));
    valueOf(Disk).reset();
    WHEN("it is restarted with seeds that are down, and these are replaced") {
      Members.restart({4}, {{"c5"}, {"c6"}});
      Members.run(500ms);
      Members.at(4).m_Replica->updateSeeds({{"c2"}});
      THEN("it finds the group") { CHECK(Members.waitForNewcomers({4})); }
    }
  }
}

SCENARIO("two groups that exist already do not act for each other") {
  Site Members(6);
  REQUIRE(Members.formFirstGroup());
  // As an older build formed it.
  for (const std::size_t Number : {4, 5, 6}) {
    formatAsOlderBuild(Members.at(Number));
    Members.at(Number).m_Seeds = AddedSeeds;
    Members.at(Number).m_MayForm = true;
  }
  Members.start({4, 5, 6});
  REQUIRE(Members.waitFor([&] {
    bool AllFormed = true;
    for (std::size_t Number = 1; Number <= 6; ++Number)
      AllFormed = AllFormed && Members.isFormed(Number);
    return AllFormed;
  }));
  REQUIRE(Members.at(4).m_Replica->status().m_Group !=
          Members.at(1).m_Replica->status().m_Group);
  CHECK(Members.otherGroupMessages() == 0);

  WHEN("the settings of one group name a member of the other") {
    Members.at(1).m_Replica->updateSeeds({{"c4"}});
    THEN("both see the other group, and neither takes the other's members for "
         "newcomers") {
      CHECK(Members.waitFor([&] { return Members.otherGroupMessages() >= 2; }));
      Members.run(500ms);
      CHECK(Members.at(1).m_Replica->status().m_Newcomers.empty());
      CHECK(Members.at(4).m_Replica->status().m_Newcomers.empty());
    }
  }
  WHEN("a leader adds a member of the other group") {
    REQUIRE(Members.waitFor([&] { return Members.leader() != nullptr; }));
    LocalMember &Leader = *Members.leader();
    const bool IsFirst = Leader.m_Id.m_Value <= "c3";
    LocalMember &Other = Members.at(IsFirst ? 5 : 2);
    const auto Before = Other.m_Replica->status();
    consensus::Member Added;
    Added.m_Id = Other.m_Id;
    Added.m_Incarnation = Before.m_Incarnation;
    Leader.m_Replica->proposeMembershipChange(
        consensus::AddLearner{Added}, [](const consensus::Decision &) {});
    REQUIRE(Members.waitFor([&] { return Members.otherGroupMessages() > 0; }));
    Members.run(1s);
    THEN("that member stays in its group") {
      const auto After = Other.m_Replica->status();
      CHECK(After.m_Group == Before.m_Group);
      CHECK(After.m_Members.size() == Before.m_Members.size());
    }
  }
}

SCENARIO("a member that was admitted belongs to the group after a restart") {
  Site Members(4);
  REQUIRE(Members.formFirstGroup());
  Members.start({4});
  REQUIRE(Members.waitForNewcomers({4}));
  LocalMember &Leader = *Members.leader();
  consensus::Member Added;
  Added.m_Id = Members.at(4).m_Id;
  Added.m_Incarnation = Members.at(4).m_Replica->status().m_Incarnation;
  Leader.m_Replica->proposeMembershipChange(consensus::AddLearner{Added},
                                            [](const consensus::Decision &) {});
  REQUIRE(Members.waitFor([&] { return Members.isFormed(4); }));
  const std::uint64_t Group = Members.at(1).m_Replica->status().m_Group;
  CHECK(Members.at(4).m_Replica->status().m_Group == Group);
  Members.restart({4}, {{"c4"}});
  CHECK(Members.at(4).m_Replica->status().m_Group == Group);
}
