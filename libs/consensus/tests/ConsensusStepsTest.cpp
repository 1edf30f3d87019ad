#include "consensus/consensus.h"
#include "consensus_model/consensus_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::consensus;
using namespace std::chrono_literals;

namespace {

/// Member c1 of a cluster of c1 (disk d1), c2 (d2) and c3 (d3), driven by
/// single events.
struct TestMember {
  Random m_Rng{7};
  TimePoint m_Now{1h};
  Membership m_Members;
  State m_Self;
  Actions m_LastActions;

  explicit TestMember(Term StoredTerm = 1) {
    for (const char *Number : {"1", "2", "3"})
      m_Members.m_Members.push_back({{std::string("c") + Number},
                                     std::string("d") + Number,
                                     true,
                                     "",
                                     {},
                                     {}});
    Options Settings;
    Settings.m_Self = {"c1"};
    Settings.m_Incarnation = "d1";
    m_Self =
        start(Settings, {{StoredTerm, {}}, nullptr, {firstRecord(m_Members)}},
              m_Now, m_Rng);
  }
  void advanceTime(Duration Elapsed) { m_Now += Elapsed; }
  void handle(const Event &Input) {
    m_LastActions = step(m_Self, Input, m_Now, m_Rng);
  }
  void receive(const std::string &Sender, Term MessageTerm, Body Content,
               const std::string &Disk = "",
               const std::string &ReceiverDisk = "d1") {
    const std::string SenderDisk = Disk.empty() ? "d" + Sender.substr(1) : Disk;
    handle(Receive{{{Sender},
                    SenderDisk,
                    {"c1"},
                    ReceiverDisk,
                    MessageTerm,
                    std::move(Content)}});
  }
  void becomeLeader() {
    advanceTime(1600ms);
    handle(Tick{});
    receive("c2", m_Self.m_HardState.m_Term + 1, VoteReply{true, true});
    receive("c2", m_Self.m_HardState.m_Term, VoteReply{false, true});
    REQUIRE(m_Self.m_Role == Role::Leader);
  }
  void acknowledge(const std::string &Sender, Index Match,
                   const std::string &Disk = "") {
    receive(Sender, m_Self.m_HardState.m_Term,
            AppendReply{true, Match, m_Self.m_Round}, Disk);
  }
  [[nodiscard]] bool voteGranted() const {
    for (const Message &Message : m_LastActions.m_Messages)
      if (const auto *Reply = std::get_if<VoteReply>(&Message.m_Body))
        return Reply->m_Granted;
    return false;
  }
  [[nodiscard]] Verdict verdict() const {
    REQUIRE(m_LastActions.m_Decisions.size() == 1);
    return m_LastActions.m_Decisions.front().m_Verdict;
  }
};

} // namespace

SCENARIO("a voter grants or refuses its vote") {
  TestMember Voter(3);
  const VoteRequest Request{false, 1, 1, false};

  GIVEN("a voter that has just started") {
    THEN("it grants no vote, since it may have heard from a leader before the "
         "restart") {
      Voter.receive("c2", 4, Request);
      CHECK_FALSE(Voter.voteGranted());
      CHECK(Voter.m_Self.m_HardState.m_Term == 3);
    }
  }
  GIVEN("a voter that has not heard from a leader for an election timeout") {
    Voter.advanceTime(800ms);
    WHEN("a candidate requests a vote") {
      Voter.receive("c2", 4, Request);
      THEN("the vote is sent together with the write that persists it") {
        CHECK(Voter.voteGranted());
        REQUIRE(Voter.m_LastActions.m_Persist.m_HardState.has_value());
        CHECK(Voter.m_Self.m_HardState == HardState{4, {"c2"}});
      }
      THEN("only the same candidate is granted the vote again in that term") {
        Voter.receive("c3", 4, Request);
        CHECK_FALSE(Voter.voteGranted());
        Voter.receive("c2", 4, Request);
        CHECK(Voter.voteGranted());
      }
    }
    THEN("a shorter log, an earlier term or a previous disk is refused") {
      Voter.receive("c2", 4, VoteRequest{false, 0, 0, false});
      CHECK_FALSE(Voter.voteGranted());
      Voter.receive("c2", 2, Request);
      CHECK_FALSE(Voter.voteGranted());
      Voter.receive("c2", 5, Request, "", "d0");
      CHECK_FALSE(Voter.voteGranted());
      CHECK(Voter.m_Self.m_HardState.m_VotedFor.empty());
    }
    THEN("a pre-vote is granted without persisting anything") {
      Voter.receive("c2", 4, VoteRequest{true, 1, 1, false});
      CHECK(Voter.voteGranted());
      CHECK(Voter.m_LastActions.m_Persist.empty());
    }
    WHEN("it hears from a leader") {
      Voter.receive("c3", 3, AppendRequest{1, 1, 0, 1, {}});
      THEN("it refuses votes for the shortest election timeout") {
        Voter.advanceTime(799ms);
        Voter.receive("c2", 4, Request);
        CHECK_FALSE(Voter.voteGranted());
        Voter.advanceTime(1ms);
        Voter.receive("c2", 4, Request);
        CHECK(Voter.voteGranted());
      }
      THEN("it grants a candidate that the leader asked to take over") {
        Voter.receive("c2", 4, VoteRequest{false, 1, 1, true});
        CHECK(Voter.voteGranted());
      }
    }
  }
}

SCENARIO("a leader holds and loses its lease") {
  TestMember Leader;
  Leader.becomeLeader();
  const Index First = Leader.m_Self.m_TermStart;

  GIVEN("a leader with no committed record of its term") {
    THEN("it holds no lease") {
      CHECK_FALSE(holdsLease(Leader.m_Self, Leader.m_Now));
    }
  }
  GIVEN("a quorum that has echoed a round after a delay") {
    const TimePoint Sent = Leader.m_Now;
    Leader.advanceTime(150ms);
    Leader.acknowledge("c2", First);
    THEN("the lease starts at the send time of the round") {
      CHECK(leaseEnd(Leader.m_Self, Leader.m_Now) == Sent + 600ms);
      CHECK(holdsLease(Leader.m_Self, Sent + 599ms));
      CHECK_FALSE(holdsLease(Leader.m_Self, Sent + 600ms));
    }
    THEN("the lease expires during a pause") {
      CHECK_FALSE(holdsLease(Leader.m_Self, Leader.m_Now + 1h));
    }
    THEN("a reply from another disk of a member does not renew the lease") {
      Leader.advanceTime(200ms);
      Leader.handle(Tick{});
      Leader.acknowledge("c3", First, "other");
      CHECK(leaseEnd(Leader.m_Self, Leader.m_Now) == Sent + 600ms);
      CHECK(Leader.m_Self.m_UnknownIncarnations.at({"c3"}) == "other");
    }
    THEN("asking another member to take over releases the lease for the term") {
      Leader.handle(TransferLeadership{{"c2"}});
      CHECK_FALSE(holdsLease(Leader.m_Self, Leader.m_Now));
      Leader.advanceTime(800ms);
      Leader.handle(Tick{});
      CHECK(Leader.m_Self.m_Role == Role::Follower);
    }
  }
  GIVEN("a leader without a quorum for the longest election timeout") {
    Leader.handle(Propose{{{9, "x"}}});
    Leader.advanceTime(1601ms);
    Leader.handle(Tick{});
    THEN("it steps down and reports pending proposals as lost") {
      CHECK(Leader.m_Self.m_Role == Role::Follower);
      CHECK(Leader.verdict() == Verdict::Lost);
    }
  }
}

SCENARIO("a leader changes the membership") {
  TestMember Leader;
  Leader.becomeLeader();
  const ChangeMembership Replace{5, ReplaceMember{{"c3"}, "fresh"}};

  THEN("a change is refused until a record of the term is committed") {
    Leader.handle(Replace);
    CHECK(Leader.verdict() == Verdict::ChangeUnderWay);
  }
  GIVEN("a leader with a committed record") {
    Leader.acknowledge("c2", Leader.m_Self.m_TermStart);
    THEN("invalid changes are refused") {
      const std::vector<MembershipChange> Table = {
          AddLearner{{{"c2"}, "d9", false, "", {}, {}}},
          AddLearner{{{"c9"}, "", false, "", {}, {}}},
          ReplaceMember{{"c3"}, "d3"},
          ReplaceMember{{"c1"}, "fresh"},
          ReplaceMember{{"c9"}, "fresh"},
          PromoteMember{{"c2"}},
          RemoveMember{{"c9"}},
      };
      for (const MembershipChange &Change : Table) {
        Leader.handle(ChangeMembership{6, Change});
        CHECK(Leader.verdict() == Verdict::ChangeNotAllowed);
      }
    }
    WHEN("a disk is replaced") {
      Leader.handle(Replace);
      const Index Position = lastIndex(Leader.m_Self);
      THEN("a second change waits for the first") {
        Leader.handle(ChangeMembership{6, RemoveMember{{"c2"}}});
        CHECK(Leader.verdict() == Verdict::ChangeUnderWay);
      }
      THEN("neither the old nor the new disk counts towards the quorum") {
        Leader.acknowledge("c3", Position, "d3");
        Leader.acknowledge("c3", Position, "fresh");
        CHECK(Leader.m_Self.m_CommitIndex < Position);
      }
      AND_WHEN("the change is committed and the new disk has caught up") {
        Leader.acknowledge("c2", Position);
        CHECK(Leader.verdict() == Verdict::Committed);
        Leader.acknowledge("c3", Position, "fresh");
        Leader.handle(Tick{});
        THEN("the leader promotes the new disk") {
          CHECK(findMember(Leader.m_Self.m_Membership, {"c3"})->m_Voter);
        }
      }
      AND_WHEN("the change is committed and the new disk is empty") {
        Leader.acknowledge("c2", Position);
        Leader.handle(Tick{});
        THEN("the new disk stays a learner") {
          CHECK_FALSE(findMember(Leader.m_Self.m_Membership, {"c3"})->m_Voter);
        }
      }
    }
  }
}

SCENARIO("a leader handles proposals and tracks its followers") {
  TestMember Leader;
  Leader.handle(Propose{{{4, "x"}}});
  CHECK(Leader.verdict() == Verdict::NotLeader);
  Leader.becomeLeader();
  Leader.acknowledge("c2", Leader.m_Self.m_TermStart);
  THEN("a batch shares one write and one message to each member") {
    Leader.acknowledge("c3", Leader.m_Self.m_TermStart);
    Leader.handle(Propose{{{5, "a"}, {6, "b"}, {7, "c"}}});
    CHECK(Leader.m_LastActions.m_Persist.m_Records.size() == 3);
    CHECK(Leader.m_LastActions.m_Messages.size() == 2);
  }
  THEN("proposals beyond the limit of uncommitted records are refused") {
    Leader.m_Self.m_Options.m_Limits.m_UncommittedRecords = 1;
    Leader.handle(Propose{{{5, "a"}}});
    CHECK(Leader.m_LastActions.m_Decisions.empty());
    Leader.handle(Propose{{{6, "b"}}});
    CHECK(Leader.verdict() == Verdict::Busy);
  }
  THEN("a proposal that is too large is refused, but not the rest of its "
       "batch") {
    Leader.m_Self.m_Options.m_Limits.m_PayloadBytes = 2;
    Leader.handle(Propose{{{5, "abc"}, {6, "ab"}}});
    CHECK(Leader.verdict() == Verdict::TooLarge);
    CHECK(Leader.m_LastActions.m_Persist.m_Records.size() == 1);
  }
  THEN("a snapshot keeps trailing records within the configured limits") {
    Leader.handle(Propose{{{5, "abc"}, {6, "abc"}, {7, "abc"}}});
    Leader.acknowledge("c2", lastIndex(Leader.m_Self));
    const Index End = Leader.m_Self.m_AppliedIndex;
    Leader.m_Self.m_Options.m_Limits.m_TrailingBytes = 7;
    Leader.handle(SnapshotTaken{End, "state"});
    CHECK(Leader.m_LastActions.m_Persist.m_CompactTo == End - 2);
    CHECK(Leader.m_Self.m_Records.size() == 2);
  }
  THEN("proposals are refused while leadership is transferred") {
    Leader.handle(TransferLeadership{{"c3"}});
    Leader.handle(Propose{{{5, "a"}}});
    CHECK(Leader.verdict() == Verdict::Transferring);
  }
  THEN("a member that lost acknowledged records no longer counts") {
    Leader.advanceTime(200ms);
    Leader.handle(Tick{});
    Leader.receive("c2", Leader.m_Self.m_HardState.m_Term,
                   AppendReply{false, 1, Leader.m_Self.m_Round});
    CHECK(Leader.m_Self.m_Progress.at({"c2"}).m_LostData);
    Leader.handle(Propose{{{5, "a"}}});
    Leader.acknowledge("c2", lastIndex(Leader.m_Self));
    CHECK(Leader.m_Self.m_CommitIndex < lastIndex(Leader.m_Self));
  }
}

TEST_CASE("a record of an earlier term is not committed by counting replicas") {
  CHECK(checkEarlierTermCommit() == "");
}

TEST_CASE("timing that would let two leaders hold a lease is rejected") {
  struct TimingCase {
    Timing m_Timing;
    bool m_Valid;
  };
  const std::vector<TimingCase> Table = {
      {{200ms, 800ms, 1600ms, 600ms}, true},
      {{200ms, 800ms, 1600ms, 784ms}, true},
      {{200ms, 800ms, 1600ms, 785ms}, false},
      {{200ms, 800ms, 1600ms, 200ms}, false},
      {{0ms, 800ms, 1600ms, 600ms}, false},
      {{200ms, 800ms, 700ms, 600ms}, false},
  };
  for (const TimingCase &Case : Table)
    CHECK(failed(checkTiming(Case.m_Timing)) != Case.m_Valid);
}

TEST_CASE("messages survive a round trip through the wire format") {
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
  for (const Body &Content : Table) {
    const Message Sent{{"c2"}, "d2", {"c1"}, "d1", 4, Content};
    const wire::ConsensusMessage Wire = toWire(Sent);
    const auto Decoded = fromWire({"c2"}, {"c1"}, Wire);
    REQUIRE(!failed(Decoded));
    CHECK(valueOf(Decoded).m_Body.index() == Content.index());
    CHECK(toWire(valueOf(Decoded)).SerializeAsString() ==
          Wire.SerializeAsString());
  }
  SECTION("records with a gap and unknown bodies are rejected") {
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
    for (std::size_t Number = 0; Number < Voters + Learners; ++Number)
      Members.m_Members.push_back(
          {{std::to_string(Number)}, "d", Number < Voters, "", {}, {}});
    RC_ASSERT(2 * quorumSize(Members) > Voters);
    RC_ASSERT(quorumSize(Members) <= Voters);
    const auto Decoded = decodeMembership(encodeMembership(Members));
    RC_ASSERT(!failed(Decoded));
    RC_ASSERT(valueOf(Decoded) == Members);
  }));
}
