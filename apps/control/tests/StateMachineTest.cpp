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
  GIVEN("a payload that is no command") {
    CHECK(applyPayload(State, "\xff\xff").refusal() ==
          static_cast<std::uint32_t>(Refusal::MalformedRequest));
    CHECK(failed(fromSnapshot("\xff\xff")));
  }
}
