#include "StateMachine.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::control;

namespace {

wire::CallReply commit(Replicated &On, const wire::Command &What) {
  return applyPayload(On, What.SerializeAsString());
}

wire::Command operatorCall(const std::string &RequestId,
                           const std::string &Kind, const std::string &Body) {
  wire::Command Out;
  Out.set_request_id(RequestId);
  Out.set_actor("alice");
  Out.mutable_operator_command()->set_kind(Kind);
  Out.mutable_operator_command()->set_body(Body);
  return Out;
}

wire::Command begin(const std::string &Key) {
  wire::Command Out;
  wire::BeginRequest &Ask = *Out.mutable_begin_request();
  Ask.set_caller("shop");
  Ask.set_key(Key);
  Ask.set_attempt("a");
  Ask.set_entry("entry-1");
  Ask.set_entry_session(1);
  return Out;
}

} // namespace

SCENARIO("one log carries fleet and ledger") {
  Replicated On;
  REQUIRE(commit(On, begin("k")).ledger().state() == "granted");
  wire::Command Gone;
  Gone.mutable_entry_gone()->set_entry("entry-1");
  Gone.mutable_entry_gone()->set_session(1);
  commit(On, Gone);

  GIVEN("an operator resolves an unknown outcome and sends the call again") {
    const wire::Command Resolve = operatorCall(
        "r1", "resolve", R"({"caller":"shop","key":"k","outcome":"released"})");
    const wire::CallReply First = commit(On, Resolve);
    REQUIRE(First.refusal() == 0);
    REQUIRE(commit(On, begin("k")).ledger().state() == "released");
    THEN("the resend gets the first answer, also after a snapshot") {
      Result<Replicated> Back = fromSnapshot(takeSnapshot(On));
      REQUIRE_FALSE(failed(Back));
      const wire::CallReply Again = commit(valueOf(Back), Resolve);
      CHECK(Again.SerializeAsString() == First.SerializeAsString());
      CHECK(takeSnapshot(valueOf(Back)) == takeSnapshot(On));
    }
  }
  GIVEN("a configuration with limits of the ledger") {
    const wire::CallReply Accepted = commit(
        On, operatorCall("r2", "config", R"({"ledger":{"max_keys":1}})"));
    REQUIRE(Accepted.refusal() == 0);
    THEN("they hold from that command on") {
      CHECK(commit(On, begin("k2")).refusal() ==
            static_cast<std::uint32_t>(Refusal::LedgerFull));
    }
  }
  GIVEN("a payload that is no command") {
    CHECK(applyPayload(On, "\xff\xff").refusal() ==
          static_cast<std::uint32_t>(Refusal::MalformedRequest));
    CHECK(failed(fromSnapshot("\xff\xff")));
  }
}
