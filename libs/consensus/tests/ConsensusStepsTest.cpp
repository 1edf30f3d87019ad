#include "consensus/consensus.h"
#include "consensus_model/consensus_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::consensus;
using namespace std::chrono_literals;

namespace {

/// Member `c1` of c1 (disk d1), c2 (d2) and c3 (d3), stepped by hand.
struct Stepped {
  Random m_Rng{7};
  TimePoint m_Now{1h};
  Membership m_Members;
  State m_Self;
  Actions m_Last;

  explicit Stepped(Term At = 1) {
    for (const char *Number : {"1", "2", "3"})
      m_Members.m_Members.push_back({{std::string("c") + Number},
                                     std::string("d") + Number,
                                     true,
                                     "",
                                     {},
                                     {}});
    Options Own;
    Own.m_Self = {"c1"};
    Own.m_Incarnation = "d1";
    m_Self =
        start(Own, {{At, {}}, nullptr, {firstRecord(m_Members)}}, m_Now, m_Rng);
  }
  void pass(Duration Time) { m_Now += Time; }
  void happen(const Event &What) { m_Last = step(m_Self, What, m_Now, m_Rng); }
  void hear(const std::string &From, Term At, Body What,
            const std::string &Disk = "", const std::string &ToDisk = "d1") {
    const std::string Shown = Disk.empty() ? "d" + From.substr(1) : Disk;
    happen(Receive{{{From}, Shown, {"c1"}, ToDisk, At, std::move(What)}});
  }
  void lead() {
    pass(1600ms);
    happen(Tick{});
    hear("c2", m_Self.m_HardState.m_Term + 1, VoteReply{true, true});
    hear("c2", m_Self.m_HardState.m_Term, VoteReply{false, true});
    REQUIRE(m_Self.m_Role == Role::Leader);
  }
  void acknowledge(const std::string &From, Index Match,
                   const std::string &Disk = "") {
    hear(From, m_Self.m_HardState.m_Term,
         AppendReply{true, Match, m_Self.m_Round}, Disk);
  }
  [[nodiscard]] bool granted() const {
    for (const Message &Each : m_Last.m_Messages)
      if (const auto *Reply = std::get_if<VoteReply>(&Each.m_Body))
        return Reply->m_Granted;
    return false;
  }
  [[nodiscard]] Verdict verdict() const {
    REQUIRE(m_Last.m_Decisions.size() == 1);
    return m_Last.m_Decisions.front().m_Verdict;
  }
};

} // namespace

SCENARIO("a voter grants its vote") {
  Stepped Voter(3);
  const VoteRequest Good{false, 1, 1, false};

  GIVEN("a voter that has just started") {
    THEN("it grants none: it may have promised a leader so") {
      Voter.hear("c2", 4, Good);
      CHECK_FALSE(Voter.granted());
      CHECK(Voter.m_Self.m_HardState.m_Term == 3);
    }
  }
  GIVEN("a voter that has heard no leader for an election timeout") {
    Voter.pass(800ms);
    WHEN("a candidate asks") {
      Voter.hear("c2", 4, Good);
      THEN("the vote goes out with what makes it durable") {
        CHECK(Voter.granted());
        REQUIRE(Voter.m_Last.m_Persist.m_HardState.has_value());
        CHECK(Voter.m_Self.m_HardState == HardState{4, {"c2"}});
      }
      THEN("no other candidate of the term gets it, the same one does") {
        Voter.hear("c3", 4, Good);
        CHECK_FALSE(Voter.granted());
        Voter.hear("c2", 4, Good);
        CHECK(Voter.granted());
      }
    }
    THEN("a shorter log, an earlier term or a former disk gets none") {
      Voter.hear("c2", 4, VoteRequest{false, 0, 0, false});
      CHECK_FALSE(Voter.granted());
      Voter.hear("c2", 2, Good);
      CHECK_FALSE(Voter.granted());
      Voter.hear("c2", 5, Good, "", "d0");
      CHECK_FALSE(Voter.granted());
      CHECK(Voter.m_Self.m_HardState.m_VotedFor.empty());
    }
    THEN("a pre-vote is granted without any promise") {
      Voter.hear("c2", 4, VoteRequest{true, 1, 1, false});
      CHECK(Voter.granted());
      CHECK(Voter.m_Last.m_Persist.empty());
    }
    WHEN("it hears a leader") {
      Voter.hear("c3", 3, AppendRequest{1, 1, 0, 1, {}});
      THEN("it refuses for the shortest election timeout") {
        Voter.pass(799ms);
        Voter.hear("c2", 4, Good);
        CHECK_FALSE(Voter.granted());
        Voter.pass(1ms);
        Voter.hear("c2", 4, Good);
        CHECK(Voter.granted());
      }
      THEN("it does not refuse one whom the leader has asked") {
        Voter.hear("c2", 4, VoteRequest{false, 1, 1, true});
        CHECK(Voter.granted());
      }
    }
  }
}

SCENARIO("a leader holds its lease") {
  Stepped Leader;
  Leader.lead();
  const Index First = Leader.m_Self.m_TermStart;

  GIVEN("no record of its term committed") {
    THEN("it has none") {
      CHECK_FALSE(holdsLease(Leader.m_Self, Leader.m_Now));
    }
  }
  GIVEN("a quorum that has echoed a round late") {
    const TimePoint Sent = Leader.m_Now;
    Leader.pass(150ms);
    Leader.acknowledge("c2", First);
    THEN("the lease counts from the sending") {
      CHECK(leaseEnd(Leader.m_Self, Leader.m_Now) == Sent + 600ms);
      CHECK(holdsLease(Leader.m_Self, Sent + 599ms));
      CHECK_FALSE(holdsLease(Leader.m_Self, Sent + 600ms));
    }
    THEN("a pause lets it lapse") {
      CHECK_FALSE(holdsLease(Leader.m_Self, Leader.m_Now + 1h));
    }
    THEN("another disk of a member does not renew it") {
      Leader.pass(200ms);
      Leader.happen(Tick{});
      Leader.acknowledge("c3", First, "other");
      CHECK(leaseEnd(Leader.m_Self, Leader.m_Now) == Sent + 600ms);
      CHECK(Leader.m_Self.m_UnknownIncarnations.at({"c3"}) == "other");
    }
    THEN("asking another to take over gives it up for the term") {
      Leader.happen(TransferLeadership{{"c2"}});
      CHECK_FALSE(holdsLease(Leader.m_Self, Leader.m_Now));
      Leader.pass(800ms);
      Leader.happen(Tick{});
      CHECK(Leader.m_Self.m_Role == Role::Follower);
    }
  }
  GIVEN("no quorum for the longest election timeout") {
    Leader.happen(Propose{{{9, "x"}}});
    Leader.pass(1601ms);
    Leader.happen(Tick{});
    THEN("it steps down, and proposals are said to be undecided") {
      CHECK(Leader.m_Self.m_Role == Role::Follower);
      CHECK(Leader.verdict() == Verdict::Lost);
    }
  }
}

SCENARIO("a leader changes the membership") {
  Stepped Leader;
  Leader.lead();
  const ChangeMembership Replace{5, ReplaceMember{{"c3"}, "fresh"}};

  THEN("not before a record of its term is committed") {
    Leader.happen(Replace);
    CHECK(Leader.verdict() == Verdict::ChangeUnderWay);
  }
  GIVEN("a leader with a committed record") {
    Leader.acknowledge("c2", Leader.m_Self.m_TermStart);
    THEN("what makes no sense is refused") {
      const std::vector<MembershipChange> Table = {
          AddLearner{{{"c2"}, "d9", false, "", {}, {}}},
          AddLearner{{{"c9"}, "", false, "", {}, {}}},
          ReplaceMember{{"c3"}, "d3"},
          ReplaceMember{{"c1"}, "fresh"},
          ReplaceMember{{"c9"}, "fresh"},
          PromoteMember{{"c2"}},
          RemoveMember{{"c9"}},
      };
      for (const MembershipChange &Each : Table) {
        Leader.happen(ChangeMembership{6, Each});
        CHECK(Leader.verdict() == Verdict::ChangeNotAllowed);
      }
    }
    WHEN("a disk is replaced") {
      Leader.happen(Replace);
      const Index At = lastIndex(Leader.m_Self);
      THEN("a second change waits for the first") {
        Leader.happen(ChangeMembership{6, RemoveMember{{"c2"}}});
        CHECK(Leader.verdict() == Verdict::ChangeUnderWay);
      }
      THEN("neither the old nor the new disk counts") {
        Leader.acknowledge("c3", At, "d3");
        Leader.acknowledge("c3", At, "fresh");
        CHECK(Leader.m_Self.m_CommitIndex < At);
      }
      AND_WHEN("it is committed and the new disk has caught up") {
        Leader.acknowledge("c2", At);
        CHECK(Leader.verdict() == Verdict::Committed);
        Leader.acknowledge("c3", At, "fresh");
        Leader.happen(Tick{});
        THEN("it is promoted by the leader") {
          CHECK(findMember(Leader.m_Self.m_Membership, {"c3"})->m_Voter);
        }
      }
      AND_WHEN("it is committed and the new disk has nothing") {
        Leader.acknowledge("c2", At);
        Leader.happen(Tick{});
        THEN("it stays a learner") {
          CHECK_FALSE(findMember(Leader.m_Self.m_Membership, {"c3"})->m_Voter);
        }
      }
    }
  }
}

SCENARIO("a leader answers proposals and watches its followers") {
  Stepped Leader;
  Leader.happen(Propose{{{4, "x"}}});
  CHECK(Leader.verdict() == Verdict::NotLeader);
  Leader.lead();
  Leader.acknowledge("c2", Leader.m_Self.m_TermStart);
  THEN("a batch shares one write and one message to each member") {
    Leader.acknowledge("c3", Leader.m_Self.m_TermStart);
    Leader.happen(Propose{{{5, "a"}, {6, "b"}, {7, "c"}}});
    CHECK(Leader.m_Last.m_Persist.m_Records.size() == 3);
    CHECK(Leader.m_Last.m_Messages.size() == 2);
  }
  THEN("too many undecided ones are refused") {
    Leader.m_Self.m_Options.m_Limits.m_UncommittedRecords = 1;
    Leader.happen(Propose{{{5, "a"}}});
    CHECK(Leader.m_Last.m_Decisions.empty());
    Leader.happen(Propose{{{6, "b"}}});
    CHECK(Leader.verdict() == Verdict::Busy);
  }
  THEN("one that is too large is refused, the rest of its batch is not") {
    Leader.m_Self.m_Options.m_Limits.m_PayloadBytes = 2;
    Leader.happen(Propose{{{5, "abc"}, {6, "ab"}}});
    CHECK(Leader.verdict() == Verdict::TooLarge);
    CHECK(Leader.m_Last.m_Persist.m_Records.size() == 1);
  }
  THEN("a snapshot keeps as many records and bytes as the limits say") {
    Leader.happen(Propose{{{5, "abc"}, {6, "abc"}, {7, "abc"}}});
    Leader.acknowledge("c2", lastIndex(Leader.m_Self));
    const Index End = Leader.m_Self.m_AppliedIndex;
    Leader.m_Self.m_Options.m_Limits.m_TrailingBytes = 7;
    Leader.happen(SnapshotTaken{End, "state"});
    CHECK(Leader.m_Last.m_Persist.m_CompactTo == End - 2);
    CHECK(Leader.m_Self.m_Records.size() == 2);
  }
  THEN("none is taken while leadership is handed over") {
    Leader.happen(TransferLeadership{{"c3"}});
    Leader.happen(Propose{{{5, "a"}}});
    CHECK(Leader.verdict() == Verdict::Transferring);
  }
  THEN("a member that lacks what it acknowledged counts no more") {
    Leader.pass(200ms);
    Leader.happen(Tick{});
    Leader.hear("c2", Leader.m_Self.m_HardState.m_Term,
                AppendReply{false, 1, Leader.m_Self.m_Round});
    CHECK(Leader.m_Self.m_Progress.at({"c2"}).m_LostData);
    Leader.happen(Propose{{{5, "a"}}});
    Leader.acknowledge("c2", lastIndex(Leader.m_Self));
    CHECK(Leader.m_Self.m_CommitIndex < lastIndex(Leader.m_Self));
  }
}

TEST_CASE("a record of an earlier term is not committed by counting") {
  CHECK(checkEarlierTermCommit() == "");
}

TEST_CASE("timing that would let two leaders hold a lease is refused") {
  struct Row {
    Timing m_Timing;
    bool m_Good;
  };
  const std::vector<Row> Table = {
      {{200ms, 800ms, 1600ms, 600ms}, true},
      {{200ms, 800ms, 1600ms, 784ms}, true},
      {{200ms, 800ms, 1600ms, 785ms}, false},
      {{200ms, 800ms, 1600ms, 200ms}, false},
      {{0ms, 800ms, 1600ms, 600ms}, false},
      {{200ms, 800ms, 700ms, 600ms}, false},
  };
  for (const Row &Each : Table)
    CHECK(failed(checkTiming(Each.m_Timing)) != Each.m_Good);
}

TEST_CASE("messages pass through their wire form unchanged") {
  const Membership Members{{{{"c1"}, "d1", true, "127.0.0.1:1", {"r"}, {"z"}}}};
  const std::vector<Body> Table = {
      VoteRequest{true, 3, 2, true},
      VoteReply{true, true},
      AppendRequest{4, 2, 3, 9, {{5, 2, RecordKind::Command, "x"}}},
      AppendReply{true, 5, 9},
      SnapshotPart{7, 2, 10, "abc", true, Members, 9},
      SnapshotReply{7, 13, true, 9},
      TransferRequest{},
  };
  for (const Body &Each : Table) {
    const Message Sent{{"c2"}, "d2", {"c1"}, "d1", 4, Each};
    const wire::ConsensusMessage Wire = toWire(Sent);
    const auto Read = fromWire({"c2"}, {"c1"}, Wire);
    REQUIRE(!failed(Read));
    CHECK(valueOf(Read).m_Body.index() == Each.index());
    CHECK(toWire(valueOf(Read)).SerializeAsString() ==
          Wire.SerializeAsString());
  }
  SECTION("records with a gap and unknown bodies are refused") {
    const Message Gap{{"c2"}, "d2",
                      {"c1"}, "d1",
                      4,      AppendRequest{4, 2, 3, 9, {{6, 2, {}, "x"}}}};
    CHECK(failed(fromWire({"c2"}, {"c1"}, toWire(Gap))));
    CHECK(failed(fromWire({"c2"}, {"c1"}, {})));
  }
}

TEST_CASE("a quorum is more than half of the voters") {
  CHECK(rc::check("any two quorums share a voter", [] {
    Membership Members;
    const auto Voters = *rc::gen::inRange<std::size_t>(1, 9);
    const auto Learners = *rc::gen::inRange<std::size_t>(0, 3);
    for (std::size_t At = 0; At < Voters + Learners; ++At)
      Members.m_Members.push_back(
          {{std::to_string(At)}, "d", At < Voters, "", {}, {}});
    RC_ASSERT(2 * quorumSize(Members) > Voters);
    RC_ASSERT(quorumSize(Members) <= Voters);
    const auto Read = decodeMembership(encodeMembership(Members));
    RC_ASSERT(!failed(Read));
    RC_ASSERT(valueOf(Read) == Members);
  }));
}
