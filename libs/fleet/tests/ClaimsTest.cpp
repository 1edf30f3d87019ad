// Claims of self-managed targets that contradict each other.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FarFuture = 1ULL << 62U;
constexpr std::uint64_t Epoch = 1'700'000'000'000;
constexpr const char *Address = "10.0.0.1:80";
constexpr const char *Elsewhere = "10.0.0.2:80";

/// A process that states its id and readiness when it is asked.
struct Process {
  std::string m_Id = "i-1";
  bool m_IsServing = true;
};

/// A leader, its state and the processes at the addresses.
struct Leader {
  State m_State;
  ObservedState m_Observed;
  ClaimRecords m_Records;
  TimePoint m_Now{std::chrono::hours(1)};
  std::map<std::string, Process> m_Processes{{Address, {}}};
  int m_Questions = 0;
  std::optional<ClaimRefusal> m_Refusal; ///< Of the newest message.

  Leader() { m_Observed.m_ReceivesTargetReports = true; }

  std::uint64_t unixMilliseconds() const {
    return Epoch + static_cast<std::uint64_t>(
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           m_Now.time_since_epoch())
                           .count());
  }

  Reply commit(wire::Command Next) {
    Next.set_log_time_ns(
        static_cast<std::uint64_t>(m_Now.time_since_epoch().count()));
    return apply(m_State, Next);
  }

  /// \returns whether the message was acknowledged.
  bool hear(const std::string &Id, std::uint64_t Born, std::uint64_t Sequence,
            bool Leaving = false, const std::string &Endpoint = Address) {
    Claim Message;
    Message.m_Target.set_id(Id);
    Message.m_Target.set_incarnation(Id + '@' + std::to_string(Born));
    Message.m_Target.set_address(Endpoint);
    Message.m_Target.set_kind("service");
    Message.m_Target.add_models("book");
    Message.m_Target.set_started_ms(Born);
    Message.m_Target.set_self_managed(true);
    Message.m_Sequence = Sequence;
    Message.m_Leaving = Leaving;
    m_Refusal.reset();
    const HeardClaim Heard = hearClaim(m_Records, Message, m_Now);
    for (;;) {
      const ClaimVerdict Verdict =
          decideClaim(m_Records, m_State, m_Observed, Heard, m_Now,
                      std::chrono::milliseconds(unixMilliseconds()));
      if (const auto *Question = std::get_if<AskAddress>(&Verdict)) {
        ++m_Questions;
        const auto Found = m_Processes.find(Question->m_Address);
        recordAnswer(m_Records, Question->m_Address,
                     Found == m_Processes.end()
                         ? AddressAnswer{{}, false, m_Now}
                         : AddressAnswer{{Found->second.m_Id},
                                         Found->second.m_IsServing,
                                         m_Now});
        continue;
      }
      if (const auto *Refused = std::get_if<RefuseClaim>(&Verdict)) {
        m_Refusal = Refused->m_Reason;
        return false;
      }
      if (const auto *Announced = std::get_if<AnnounceClaim>(&Verdict)) {
        wire::Command Next;
        *Next.mutable_announce_target()->mutable_target() = Announced->m_Target;
        const Reply Result = commit(Next);
        INFO(Result.m_Message);
        // The state takes whatever the leader has decided.
        REQUIRE_FALSE(Result.m_Refusal);
        return true;
      }
      if (const auto *Left = std::get_if<LeaveTargets>(&Verdict))
        for (const TargetId &Target : Left->m_Targets) {
          wire::Command Next;
          Next.mutable_leave_target()->set_target(Target.m_Value);
          Next.mutable_leave_target()->set_incarnation(
              m_State.m_Targets.m_ById.at(Target).m_Incarnation);
          REQUIRE_FALSE(commit(Next).m_Refusal);
        }
      return true;
    }
  }

  /// Commits what is due, after some time.
  void pass(Duration Span) {
    m_Now += Span;
    expireClaims(m_Records, m_Observed, m_State, m_Now);
    for (const Action &Due : dueActions(m_State, m_Observed, m_Now, {}))
      if (const auto *Next = std::get_if<Propose>(&Due))
        commit(Next->m_Command);
  }

  void changeLeader() {
    m_Records = {};
    startTerm(m_Observed, m_State, m_Now, 2s);
    m_Observed.m_ReceivesTargetReports = true;
  }

  /// Whether entries send this id work at this address.
  bool serves(const std::string &Id,
              const std::string &Endpoint = Address) const {
    const auto Found = m_State.m_Targets.m_ById.find({Id});
    return Found != m_State.m_Targets.m_ById.end() &&
           Found->second.m_State == TargetState::Serving &&
           Found->second.m_Address == Endpoint;
  }
  bool isAddressServed(const std::string &Endpoint = Address) const {
    for (const auto &[Id, Target] : m_State.m_Targets.m_ById)
      if (Target.m_State == TargetState::Serving &&
          Target.m_Address == Endpoint)
        return true;
    return false;
  }
};

/// The real target i-1, which sends a message every 600 ms.
struct RealTarget {
  Leader &m_Leader;
  std::uint64_t m_Born = m_Leader.unixMilliseconds();
  std::uint64_t m_Sequence = 0;

  bool say(bool Leaving = false) {
    return m_Leader.hear("i-1", m_Born, ++m_Sequence, Leaving);
  }
  /// \returns how many messages it took until the target was served.
  int beatUntilServed(int Most = 20) {
    for (int Count = 1; Count <= Most; ++Count) {
      m_Leader.pass(600ms);
      if (say() && m_Leader.serves("i-1"))
        return Count;
    }
    return Most + 1;
  }
};

} // namespace

TEST_CASE("a claim that can't be true changes nothing") {
  Leader Leader;
  RealTarget Real{Leader};
  REQUIRE(Real.beatUntilServed() == 1);
  SECTION("a start in the future under the target's id") {
    CHECK_FALSE(Leader.hear("i-1", FarFuture, 1));
    CHECK(Leader.m_Refusal == ClaimRefusal::ImplausibleStart);
    CHECK(Leader.m_Questions == 0);
  }
  SECTION("a start in the future under another id at its address") {
    CHECK_FALSE(Leader.hear("i-2", FarFuture, 1));
    CHECK(Leader.m_Refusal == ClaimRefusal::Denied);
    SECTION("repeated claims cost few questions") {
      for (std::uint64_t Sequence = 2; Sequence < 100; ++Sequence) {
        Leader.pass(300ms);
        CHECK_FALSE(Leader.hear("i-2", FarFuture, Sequence));
        CHECK(Real.say());
      }
      CHECK(Leader.m_Questions <= 7);
    }
  }
  SECTION("another address for its id") {
    CHECK_FALSE(Leader.hear("i-1", Real.m_Born + 1, 1, false, Elsewhere));
    CHECK_FALSE(Leader.hear("i-1", Real.m_Born, 2, false, Elsewhere));
  }
  SECTION("a sequence number that leaps") {
    CHECK_FALSE(Leader.hear("i-1", Real.m_Born, FarFuture));
    CHECK(Leader.m_Refusal == ClaimRefusal::LeapingSequence);
    SECTION("the target's leave is obeyed") {
      CHECK(Real.say(true));
      CHECK_FALSE(Leader.serves("i-1"));
    }
  }
  CHECK(Real.say());
  const bool IsLeaving = Real.m_Sequence > 2 && !Leader.serves("i-1");
  CHECK((Leader.serves("i-1") || IsLeaving));
}

TEST_CASE("a claim that was wrongly believed is given up") {
  Leader Leader;
  RealTarget Real{Leader};
  SECTION("another id at the address, heard first") {
    REQUIRE(Leader.hear("i-2", Leader.unixMilliseconds() + 5'000, 1));
    REQUIRE(Leader.isAddressServed());
    CHECK(Real.beatUntilServed() == 1);
    CHECK(Leader.m_State.m_Targets.m_ById.at({"i-2"}).m_State ==
          TargetState::Lost);
  }
  SECTION("the process can't be asked: once it is heard steadily") {
    Leader.m_Processes.clear();
    REQUIRE(Leader.hear("i-2", Leader.unixMilliseconds() + 5'000, 1));
    CHECK(Real.beatUntilServed() <= 5);
  }
  SECTION("a later start of its id") {
    REQUIRE(Real.beatUntilServed() == 1);
    Leader.pass(2500ms);
    REQUIRE(Leader.hear("i-1", Real.m_Born + 1, 1));
    // Its id and address stay the same, so it is served meanwhile too.
    CHECK(Leader.serves("i-1"));
    SECTION("its leave is not acknowledged until it is obeyed") {
      for (int Count = 0; Count < 10; ++Count) {
        Leader.pass(600ms);
        if (Real.say(true))
          break;
        CHECK(Leader.isAddressServed());
      }
      CHECK_FALSE(Leader.isAddressServed());
    }
    SECTION("it is heard again once the other is silent") {
      for (int Count = 0; Count < 5; ++Count) {
        Leader.pass(600ms);
        Real.say();
      }
      CHECK(Real.say());
      CHECK(Leader.serves("i-1"));
    }
  }
  SECTION("another address for its id, claimed again and again") {
    REQUIRE(Real.beatUntilServed() == 1);
    Leader.pass(2500ms);
    std::uint64_t Sequence = 0;
    REQUIRE(Leader.hear("i-1", Real.m_Born + 1, ++Sequence, false, Elsewhere));
    REQUIRE(Leader.serves("i-1", Elsewhere));
    Leader.pass(600ms);
    Leader.hear("i-1", Real.m_Born + 1, ++Sequence, false, Elsewhere);
    CHECK(Real.say());
    CHECK(Leader.serves("i-1"));
  }
  SECTION("a start in the far future that is in the state") {
    wire::Command Next;
    wire::Target &Target = *Next.mutable_announce_target()->mutable_target();
    Target.set_id("i-1");
    Target.set_incarnation("i-1@" + std::to_string(FarFuture));
    Target.set_address(Address);
    Target.set_kind("service");
    Target.add_models("book");
    Target.set_started_ms(FarFuture);
    Target.set_self_managed(true);
    REQUIRE(Real.beatUntilServed() == 1);
    REQUIRE_FALSE(Leader.commit(Next).m_Refusal);
    Leader.changeLeader();
    REQUIRE(Real.beatUntilServed() <= 6);
    SECTION("a restart under the same id is let in") {
      Leader.pass(3s);
      Real.m_Born = Leader.unixMilliseconds();
      Real.m_Sequence = 0;
      CHECK(Real.beatUntilServed() <= 6);
    }
  }
  SECTION("a sequence number that leapt, heard first") {
    REQUIRE(Leader.hear("i-1", Real.m_Born, FarFuture));
    CHECK(Real.beatUntilServed() <= 5);
    CHECK(Real.say(true));
    CHECK_FALSE(Leader.isAddressServed());
  }
  SECTION("a leave") {
    REQUIRE(Real.beatUntilServed() == 1);
    REQUIRE(Leader.hear("i-1", Real.m_Born, 2, true));
    REQUIRE_FALSE(Leader.serves("i-1"));
    SECTION("the target is served again") {
      CHECK(Real.beatUntilServed() <= 7);
    }
    SECTION("unless its address does not say that it serves") {
      Leader.m_Processes[Address].m_IsServing = false;
      CHECK(Real.beatUntilServed() > 20);
      CHECK(Leader.m_Questions <= 6);
    }
    SECTION("not for another writer's later start of its id") {
      CHECK_FALSE(Leader.hear("i-1", Real.m_Born + 1, 1));
      CHECK_FALSE(Leader.serves("i-1"));
    }
    SECTION("unless it was deleted") {
      forgetLeave(Leader.m_Records, {"i-1"});
      CHECK(Real.beatUntilServed() > 20);
      CHECK(Leader.m_Questions == 0);
    }
  }
}

TEST_CASE("honest targets are let in without questions") {
  Leader Leader;
  RealTarget Real{Leader};
  REQUIRE(Real.beatUntilServed() == 1);
  SECTION("a new id at the address after a crash") {
    Leader.pass(3s);
    Leader.m_Processes[Address].m_Id = "i-2";
    CHECK(Leader.hear("i-2", Leader.unixMilliseconds(), 1));
    CHECK(Leader.serves("i-2"));
    CHECK(Leader.m_Questions == 0);
    SECTION("a delayed message of the former target changes nothing") {
      CHECK_FALSE(Real.say());
      CHECK(Leader.serves("i-2"));
    }
  }
  SECTION("a new id at once is asked") {
    Leader.m_Processes[Address].m_Id = "i-2";
    CHECK(Leader.hear("i-2", Leader.unixMilliseconds() + 1, 1));
    CHECK(Leader.serves("i-2"));
    CHECK(Leader.m_Questions == 1);
  }
  SECTION("a restart under its id") {
    const std::uint64_t Former = Real.m_Born;
    Leader.pass(3s);
    Real.m_Born = Leader.unixMilliseconds();
    Real.m_Sequence = 0;
    CHECK(Real.beatUntilServed() == 1);
    CHECK(Leader.m_Questions == 0);
    SECTION("a delayed message of the former process changes nothing") {
      const State Before = Leader.m_State;
      CHECK_FALSE(Leader.hear("i-1", Former, 9));
      CHECK_FALSE(Leader.hear("i-1", Former, 10, true));
      CHECK(snapshot(Before) == snapshot(Leader.m_State));
    }
  }
  SECTION("a restart at once does not leave the former process registered") {
    Real.m_Born = Leader.unixMilliseconds() + 1;
    Real.m_Sequence = 0;
    CHECK(Real.say());
    CHECK(Leader.serves("i-1"));
    CHECK(Leader.m_State.m_Targets.m_ById.at({"i-1"}).m_StartedMs ==
          Real.m_Born);
    CHECK(Leader.m_Questions == 0);
  }
  SECTION("a clock that is ahead by seconds") {
    Leader.pass(3s);
    Real.m_Born = Leader.unixMilliseconds() + 10'000;
    Real.m_Sequence = 0;
    CHECK(Real.beatUntilServed() == 1);
    SECTION("and was set back before the next start") {
      Leader.pass(3s);
      Real.m_Born = Leader.unixMilliseconds();
      Real.m_Sequence = 0;
      CHECK(Real.beatUntilServed() <= 6);
    }
  }
  SECTION("a new target whose clock is ahead by hours") {
    Leader.m_Processes[Elsewhere].m_Id = "i-9";
    CHECK(Leader.hear("i-9", Leader.unixMilliseconds() + 7'200'000, 1, false,
                      Elsewhere));
    CHECK(Leader.serves("i-9", Elsewhere));
  }
  SECTION("after its leave it stays out, also when it is lost") {
    REQUIRE(Real.say(true));
    Leader.pass(7s);
    CHECK(Leader.hear("i-1", Real.m_Born, Real.m_Sequence - 1));
    CHECK_FALSE(Leader.isAddressServed());
  }
}

TEST_CASE("a lost target that has left is not taken back by a late message") {
  Leader Leader;
  RealTarget Real{Leader};
  REQUIRE(Real.beatUntilServed() == 1);
  const auto Lose = [&] {
    wire::Command Lost;
    Lost.mutable_lose_target()->set_target("i-1");
    Lost.mutable_lose_target()->set_incarnation("i-1@" +
                                                std::to_string(Real.m_Born));
    REQUIRE_FALSE(Leader.commit(Lost).m_Refusal);
  };
  const auto Leave = [&] {
    for (const wire::Command &Next : leaveCommands(
             Leader.m_State, Leader.m_State.m_Targets.m_ById.at({"i-1"})))
      REQUIRE_FALSE(Leader.commit(Next).m_Refusal);
  };
  SECTION("one that was only silent serves again") {
    Lose();
    CHECK(Real.say());
    CHECK(Leader.serves("i-1"));
  }
  SECTION("one that leaves while it is lost serves no more") {
    Lose();
    Leave();
    CHECK_FALSE(Leader.serves("i-1"));
    const bool IsNewLeader = GENERATE(false, true);
    if (IsNewLeader)
      Leader.changeLeader();
    CHECK(Real.say());
    CHECK_FALSE(Leader.serves("i-1"));
    SECTION("a later process of it does once it is silent") {
      Leader.pass(3s);
      Real.m_Born = Leader.unixMilliseconds();
      Real.m_Sequence = 0;
      CHECK(Real.say());
      CHECK(Leader.serves("i-1"));
    }
  }
  SECTION("nor does one that has left before it was lost") {
    Leave();
    Lose();
    CHECK(Real.say());
    CHECK_FALSE(Leader.serves("i-1"));
  }
  SECTION("its leave takes no address from a target that has it now") {
    Lose();
    REQUIRE(Leader.hear("i-2", Real.m_Born + 1, 1));
    Leave();
    CHECK(Leader.serves("i-2"));
  }
}

TEST_CASE("memory of claims is bounded and expires") {
  Leader Leader;
  for (std::uint64_t Count = 0; Count < MaxClaimRecords + 10; ++Count) {
    Claim Message;
    Message.m_Target.set_id("i-" + std::to_string(Count));
    hearClaim(Leader.m_Records, Message, Leader.m_Now + Duration(Count));
    recordAnswer(Leader.m_Records, std::to_string(Count),
                 {{"i-1"}, true, Leader.m_Now + Duration(Count)});
  }
  CHECK(Leader.m_Records.m_ByKey.size() == MaxClaimRecords);
  CHECK(Leader.m_Records.m_Answers.size() == MaxAddressAnswers);
  recordTargetSeen(Leader.m_Observed, {"i-gone"}, "i-gone@1", Leader.m_Now);
  Leader.pass(ClaimRetention + 1s);
  CHECK(Leader.m_Records.m_ByKey.empty());
  CHECK(Leader.m_Records.m_Answers.empty());
  CHECK(Leader.m_Observed.m_LastSeen.empty());
}

TEST_CASE("a target beside arbitrary claims is served and its leave obeyed") {
  const bool Passed = rc::check("another writer", [] {
    Leader Leader;
    RealTarget Real{Leader};
    const bool CanBeAsked = *rc::gen::arbitrary<bool>();
    const bool LeaderChanges = *rc::gen::arbitrary<bool>();
    if (!CanBeAsked)
      Leader.m_Processes.clear();
    // A leave is revoked only by what the process states, and by the leader
    // that heard it.
    const bool MayClaimLeave = CanBeAsked && !LeaderChanges;
    const int Steps = *rc::gen::inRange(1, 40);
    for (int Step = 0; Step < Steps; ++Step) {
      Leader.pass(std::chrono::milliseconds(*rc::gen::inRange(0, 900)));
      if (LeaderChanges && *rc::gen::inRange(0, 20) == 0)
        Leader.changeLeader();
      if (*rc::gen::inRange(0, 3) == 0) {
        Real.say();
        continue;
      }
      const std::uint64_t Born = *rc::gen::element<std::uint64_t>(
          0, 1, Real.m_Born - 1, Real.m_Born, Real.m_Born + 1,
          Leader.unixMilliseconds(), Leader.unixMilliseconds() + 50'000,
          FarFuture);
      const std::uint64_t Sequence = *rc::gen::element<std::uint64_t>(
          0, 1, Real.m_Sequence, Real.m_Sequence + 1, Real.m_Sequence + 100,
          MaxSequenceStep, FarFuture);
      Leader.hear(*rc::gen::element<std::string>("i-1", "i-2", "i-3"), Born,
                  Sequence, MayClaimLeave && *rc::gen::inRange(0, 4) == 0,
                  *rc::gen::element<std::string>(Address, Elsewhere));
    }
    // Once the other writer is silent the target is served soon.
    const int Beats = Real.beatUntilServed(30);
    RC_LOG() << Beats << " messages";
    RC_ASSERT(Beats <= 30);
    // An acknowledged leave is obeyed, and it is acknowledged soon.
    bool IsAcknowledged = false;
    for (int Count = 0; Count < 8 && !IsAcknowledged; ++Count) {
      IsAcknowledged = Real.say(true);
      Leader.pass(600ms);
    }
    RC_ASSERT(IsAcknowledged);
    RC_ASSERT(!Leader.isAddressServed());
  });
  CHECK(Passed);
}
