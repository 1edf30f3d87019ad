#include "replication/replication.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>

using namespace wasabivale;
using namespace std::chrono_literals;
using consensus::Decision;
using consensus::Verdict;

namespace {

constexpr int FirstPort = 28500;

/// Three members on loopback in one process and on one loop.
struct Cluster {
  struct Place {
    NodeId m_Id;
    wire::KeyPair m_Keys = valueOf(wire::generateKeys());
    std::string m_Address;
    std::string m_Folder;
    std::unique_ptr<wire::Hub> m_Hub;
    std::unique_ptr<replication::Replica> m_Replica;
    std::vector<std::string> m_Applied;
    int m_Gained = 0;
  };

  event_base *m_Loop = event_base_new();
  metrics::Registry m_Registry;
  std::string m_Root;
  std::vector<Place> m_Places;
  std::uint64_t m_SnapshotEvery = 200;

  explicit Cluster(int Count) {
    m_Root = fmt::format("{}/wasabivale-replica-{}",
                         std::filesystem::temp_directory_path().string(),
                         randomIdentity());
    std::filesystem::create_directory(m_Root);
    m_Places.resize(static_cast<std::size_t>(Count));
    for (int At = 0; At < Count; ++At) {
      Place &Made = m_Places[static_cast<std::size_t>(At)];
      Made.m_Id = {fmt::format("c{}", At + 1)};
      Made.m_Address = fmt::format("127.0.0.1:{}", FirstPort + At);
      Made.m_Folder = m_Root + "/" + Made.m_Id.m_Value;
    }
  }
  ~Cluster() {
    for (Place &Each : m_Places)
      stop(Each);
    event_base_free(m_Loop);
    std::filesystem::remove_all(m_Root);
  }
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  replication::ReplicaCallbacks callbacks(Place &Of) const {
    replication::ReplicaCallbacks Made;
    Made.m_Apply = [&Of](consensus::Index, const std::string &Payload) {
      Of.m_Applied.push_back(Payload);
    };
    Made.m_TakeSnapshot = [&Of] {
      std::string Bytes;
      for (const std::string &Each : Of.m_Applied)
        Bytes += Each + "\n";
      return Bytes;
    };
    Made.m_Install = [&Of](const std::string &Bytes) -> Status {
      Of.m_Applied.clear();
      for (std::size_t At = 0; At < Bytes.size();) {
        const std::size_t End = Bytes.find('\n', At);
        Of.m_Applied.push_back(Bytes.substr(At, End - At));
        At = End + 1;
      }
      return std::monostate{};
    };
    Made.m_Gained = [&Of] { ++Of.m_Gained; };
    Made.m_Lost = [] {};
    Made.m_Failed = [](const Error &) {};
    return Made;
  }

  void start(Place &Which) {
    Which.m_Applied.clear();
    wire::HubOptions Network;
    Network.m_Self = Which.m_Id;
    Network.m_Keys = Which.m_Keys;
    Network.m_ListenAddress = Which.m_Address;
    replication::ReplicaOptions Own;
    for (const Place &Each : m_Places) {
      Network.m_Peers.push_back(
          {Each.m_Id, Each.m_Keys.m_Public, Each.m_Address});
      Own.m_Listed.push_back(Each.m_Id);
    }
    auto Hub = wire::Hub::open(
        m_Loop, Network, m_Registry,
        [&Which](const NodeId &From, const wire::Envelope &Message) {
          if (Which.m_Replica && Message.has_consensus())
            Which.m_Replica->receive(From, Message.consensus());
        });
    REQUIRE(!failed(Hub));
    Which.m_Hub = std::move(valueOf(Hub));
    Own.m_Folder = Which.m_Folder;
    Own.m_Cluster = "test";
    Own.m_Self = Which.m_Id;
    Own.m_Timing = {50ms, 400ms, 800ms, 300ms};
    Own.m_Limits.m_TrailingRecords = 50;
    Own.m_SnapshotEvery = m_SnapshotEvery;
    auto Opened = replication::Replica::open(m_Loop, *Which.m_Hub, m_Registry,
                                             Own, callbacks(Which));
    REQUIRE(!failed(Opened));
    Which.m_Replica = std::move(valueOf(Opened));
  }
  static void stop(Place &Which) {
    Which.m_Replica.reset();
    Which.m_Hub.reset();
  }
  void startAll() {
    for (Place &Each : m_Places)
      start(Each);
  }

  /// Turns the loop until \p Done or until a limit that only a failure meets.
  bool turnUntil(const std::function<bool()> &Done,
                 std::chrono::seconds Limit = 60s) const {
    const TimePoint End = BootClock::now() + Limit;
    while (!Done() && BootClock::now() < End) {
      const timeval Tick{0, 5000};
      event_base_loopexit(m_Loop, &Tick);
      event_base_dispatch(m_Loop);
    }
    return Done();
  }

  Place *leader() {
    for (Place &Each : m_Places)
      if (Each.m_Replica && Each.m_Replica->holdsLease())
        return &Each;
    return nullptr;
  }

  /// Proposes until that many payloads are acknowledged.
  bool commit(int Count, std::vector<std::string> &Acknowledged) {
    static int Number = 0;
    const std::size_t Wanted =
        Acknowledged.size() + static_cast<std::size_t>(Count);
    int Waiting = 0;
    return turnUntil([&] {
      Place *At = leader();
      while (At != nullptr && Waiting < 100 &&
             Acknowledged.size() + static_cast<std::size_t>(Waiting) < Wanted) {
        const std::string Payload = std::to_string(++Number);
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
    return turnUntil([&] {
      for (const Place &Each : m_Places) {
        if (!Each.m_Replica)
          continue;
        for (const std::string &One : {Wanted.front(), Wanted.back()})
          if (std::find(Each.m_Applied.begin(), Each.m_Applied.end(), One) ==
              Each.m_Applied.end())
            return false;
      }
      return true;
    });
  }
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
  Members.startAll();
  std::vector<std::string> Acknowledged;

  GIVEN("a cluster that has formed and committed 500 proposals") {
    REQUIRE(Members.commit(500, Acknowledged));
    REQUIRE(Members.allHave(Acknowledged));
    for (const Cluster::Place &Each : Members.m_Places)
      CHECK(isSubset(Acknowledged, Each.m_Applied));

    WHEN("the leader is lost, the others go on and it comes back") {
      Cluster::Place &Lost = *Members.leader();
      Cluster::stop(Lost);
      REQUIRE(Members.commit(300, Acknowledged));
      Members.start(Lost);
      THEN("it catches up, and all agree") {
        REQUIRE(Members.allHave(Acknowledged));
        for (const Cluster::Place &Each : Members.m_Places)
          CHECK(isSubset(Acknowledged, Each.m_Applied));
        CHECK(Members.m_Places[0].m_Applied == Members.m_Places[1].m_Applied);
        CHECK(Members.m_Places[0].m_Applied == Members.m_Places[2].m_Applied);
      }
    }
    WHEN("a follower loses its disk") {
      Cluster::Place *Leads = Members.leader();
      Cluster::Place &Wiped =
          Members.m_Places[Leads == &Members.m_Places[0] ? 1 : 0];
      Cluster::Place &Third =
          *std::find_if(Members.m_Places.begin(), Members.m_Places.end(),
                        [&](Cluster::Place &Each) {
                          return &Each != Leads && &Each != &Wiped;
                        });
      Cluster::stop(Wiped);
      std::filesystem::remove_all(Wiped.m_Folder);
      Members.start(Wiped);
      REQUIRE(Members.turnUntil([&] {
        return Leads->m_Replica->status().m_Newcomers.count(Wiped.m_Id) == 1;
      }));
      THEN("it does not count: without the third member nothing commits") {
        Cluster::stop(Third);
        REQUIRE(Members.turnUntil([&] { return Members.leader() == nullptr; }));
        const auto Before = Leads->m_Replica->status().m_CommitIndex;
        const TimePoint End = BootClock::now() + 2s;
        Members.turnUntil([&] { return BootClock::now() > End; });
        CHECK(Members.leader() == nullptr);
        CHECK(Leads->m_Replica->status().m_CommitIndex == Before);
        AND_THEN("it does again when the third is back") {
          Members.start(Third);
          CHECK(Members.commit(10, Acknowledged));
        }
      }
      THEN("it counts once it was admitted and has caught up") {
        const std::string Fresh =
            Leads->m_Replica->status().m_Newcomers.at(Wiped.m_Id);
        Verdict Admitted = Verdict::Lost;
        Leads->m_Replica->change(
            consensus::ReplaceMember{Wiped.m_Id, Fresh},
            [&](const Decision &Done) { Admitted = Done.m_Verdict; });
        REQUIRE(Members.turnUntil([&] {
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
      Cluster::Place *Before = Members.leader();
      Before->m_Replica->transferLeadership();
      THEN("another leads and goes on") {
        REQUIRE(Members.turnUntil([&] {
          Cluster::Place *Now = Members.leader();
          return Now != nullptr && Now != Before;
        }));
        CHECK(Members.commit(10, Acknowledged));
      }
    }
  }
}

SCENARIO("a single listed member forms at once") {
  Cluster Members(1);
  Members.startAll();
  std::vector<std::string> Acknowledged;
  REQUIRE(Members.commit(20, Acknowledged));
  WHEN("it is started again") {
    Cluster::stop(Members.m_Places[0]);
    Members.start(Members.m_Places[0]);
    THEN("it has all that it acknowledged") {
      REQUIRE(Members.allHave(Acknowledged));
      CHECK(Members.m_Places[0].m_Applied == Acknowledged);
    }
  }
}
