#include "StateMachine.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::control;

namespace {

wire::CallReply commit(ReplicatedState &State, const wire::Command &Command) {
  return applyPayload(State, Command.SerializeAsString());
}

wire::Command operatorCall(const std::string &RequestId,
                           const std::string &Kind, const std::string &Body) {
  wire::Command Command;
  Command.set_request_id(RequestId);
  Command.set_actor("alice");
  Command.mutable_operator_command()->set_kind(Kind);
  Command.mutable_operator_command()->set_body(Body);
  return Command;
}

wire::Command begin(const std::string &Key) {
  wire::Command Command;
  wire::BeginRequest &Request = *Command.mutable_begin_request();
  Request.set_caller("shop");
  Request.set_key(Key);
  Request.set_attempt("a");
  Request.set_entry("entry-1");
  Request.set_entry_session(1);
  return Command;
}

} // namespace

SCENARIO("one log carries commands for the fleet and the ledger") {
  ReplicatedState State;
  REQUIRE(commit(State, begin("k")).ledger().state() == "granted");
  wire::Command Gone;
  Gone.mutable_entry_gone()->set_entry("entry-1");
  Gone.mutable_entry_gone()->set_session(1);
  commit(State, Gone);

  GIVEN("an operator resolves an unknown outcome and sends the call again") {
    const wire::Command Resolve = operatorCall(
        "r1", "resolve", R"({"caller":"shop","key":"k","outcome":"released"})");
    const wire::CallReply First = commit(State, Resolve);
    REQUIRE(First.refusal() == 0);
    REQUIRE(commit(State, begin("k")).ledger().state() == "released");
    THEN("the resend gets the first answer, also after a snapshot") {
      Result<ReplicatedState> Restored = fromSnapshot(takeSnapshot(State));
      REQUIRE_FALSE(failed(Restored));
      const wire::CallReply Again = commit(valueOf(Restored), Resolve);
      CHECK(Again.SerializeAsString() == First.SerializeAsString());
      CHECK(takeSnapshot(valueOf(Restored)) == takeSnapshot(State));
    }
  }
  GIVEN("a configuration with limits of the ledger") {
    const wire::CallReply Accepted = commit(
        State, operatorCall("r2", "config", R"({"ledger":{"max_keys":1}})"));
    REQUIRE(Accepted.refusal() == 0);
    THEN("they hold from that command on") {
      CHECK(commit(State, begin("k2")).refusal() ==
            static_cast<std::uint32_t>(Refusal::LedgerFull));
    }
  }
  GIVEN("digests of the state at sixteen numbers") {
    const auto Digests = [](const ReplicatedState &Digested) {
      std::vector<std::optional<std::uint64_t>> Values;
      for (std::size_t Number = 0; Number < ledger::ShardCount; ++Number)
        Values.push_back(takeDigest(Digested, Number));
      return Values;
    };
    const auto Before = Digests(State);
    THEN("a state that was restored from a snapshot has the same") {
      Result<ReplicatedState> Restored = fromSnapshot(takeSnapshot(State));
      REQUIRE_FALSE(failed(Restored));
      CHECK(Digests(valueOf(Restored)) == Before);
    }
    THEN("one of them shows a key of the ledger that differs") {
      ReplicatedState Other = State;
      const ledger::Key Id{{"shop"}, "k"};
      ledger::Shard &Shard = Other.m_Ledger.m_Shards[ledger::shardOf(Id)];
      Shard.m_Records.at(Id).m_State = ledger::KeyState::Completed;
      CHECK(takeDigest(Other, ledger::shardOf(Id)) !=
            Before[ledger::shardOf(Id)]);
    }
    THEN("all of them show a fleet that differs") {
      ReplicatedState Other = State;
      Other.m_Fleet.m_Configuration.m_Revision = 7;
      const auto After = Digests(Other);
      for (std::size_t Number = 0; Number < Before.size(); ++Number)
        CHECK(After[Number] != Before[Number]);
    }
  }
  GIVEN("a fleet with many streams") {
    constexpr std::uint64_t Streams = 9'000;
    for (std::uint64_t Stream = 1; Stream <= Streams; ++Stream)
      State.m_Fleet.m_StreamVersions.m_Begun[Stream] = {};
    THEN("digests are fewer, and still cover each shard of the ledger") {
      ReplicatedState Other = State;
      const ledger::Key Id{{"shop"}, "k"};
      ledger::Shard &Shard = Other.m_Ledger.m_Shards[ledger::shardOf(Id)];
      Shard.m_Records.at(Id).m_State = ledger::KeyState::Completed;
      CHECK_FALSE(takeDigest(State, 1));
      std::size_t Taken = 0;
      std::size_t Different = 0;
      for (std::size_t Number = 0; Number < 4 * ledger::ShardCount; ++Number) {
        Taken += takeDigest(State, Number).has_value() ? 1 : 0;
        Different +=
            takeDigest(State, Number) != takeDigest(Other, Number) ? 1 : 0;
      }
      CHECK(Taken == ledger::ShardCount);
      CHECK(Different == 1);
    }
  }
  GIVEN("a payload that is no command") {
    CHECK(applyPayload(State, "\xff\xff").refusal() ==
          static_cast<std::uint32_t>(Refusal::MalformedRequest));
    CHECK(failed(fromSnapshot("\xff\xff")));
  }
}
