/// \file
/// Commands of one kiln booking, for the tests of the ledger.

#ifndef WASABIVALE_LEDGER_TESTS_COMMANDS_H
#define WASABIVALE_LEDGER_TESTS_COMMANDS_H

#include "ledger/ledger.h"

#include <string>

namespace wasabivale::ledger {

inline wire::Command at(std::uint64_t Seconds) {
  wire::Command Out;
  Out.set_log_time_ns(Seconds * 1'000'000'000U);
  return Out;
}

inline wire::Command begin(std::uint64_t Seconds, const std::string &Key,
                           const std::string &Attempt,
                           const std::string &Digest = "d",
                           std::uint64_t Session = 1) {
  wire::Command Out = at(Seconds);
  wire::BeginRequest &Body = *Out.mutable_begin_request();
  Body.set_caller("shop");
  Body.set_key(Key);
  Body.set_body_digest(Digest);
  Body.set_attempt(Attempt);
  Body.set_entry("entry-1");
  Body.set_entry_session(Session);
  return Out;
}

inline wire::Command finish(std::uint64_t Seconds, const std::string &Key,
                            const std::string &Attempt,
                            const std::string &Outcome = "completed",
                            const std::string &Answer = "booked") {
  wire::Command Out = at(Seconds);
  wire::FinishRequest &Body = *Out.mutable_finish_request();
  Body.set_caller("shop");
  Body.set_key(Key);
  Body.set_attempt(Attempt);
  Body.set_outcome(Outcome);
  Body.set_status(200);
  Body.set_answer(Answer);
  return Out;
}

inline wire::Command release(std::uint64_t Seconds, const std::string &Key,
                             const std::string &Attempt) {
  wire::Command Out = at(Seconds);
  wire::ReleaseRequest &Body = *Out.mutable_release_request();
  Body.set_caller("shop");
  Body.set_key(Key);
  Body.set_attempt(Attempt);
  return Out;
}

inline wire::Command lookUp(std::uint64_t Seconds, const std::string &Key) {
  wire::Command Out = at(Seconds);
  Out.mutable_look_up_request()->set_caller("shop");
  Out.mutable_look_up_request()->set_key(Key);
  return Out;
}

inline wire::Command entryGone(std::uint64_t Seconds,
                               std::uint64_t Session = 1) {
  wire::Command Out = at(Seconds);
  Out.mutable_entry_gone()->set_entry("entry-1");
  Out.mutable_entry_gone()->set_session(Session);
  return Out;
}

inline wire::Command resolve(std::uint64_t Seconds, const std::string &Key,
                             const std::string &Outcome) {
  wire::Command Out = at(Seconds);
  Out.mutable_operator_command()->set_kind("resolve");
  Out.mutable_operator_command()->set_body(
      R"({"caller":"shop","key":")" + Key + R"(","outcome":")" + Outcome +
      R"(","status":200,"answer":"paid"})");
  return Out;
}

} // namespace wasabivale::ledger

#endif // WASABIVALE_LEDGER_TESTS_COMMANDS_H
