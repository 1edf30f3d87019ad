/// \file
/// Builders of commands for the tests of the ledger.

#ifndef WASABIVALE_LEDGER_TESTS_COMMANDS_H
#define WASABIVALE_LEDGER_TESTS_COMMANDS_H

#include "ledger/ledger.h"

#include <string>

namespace wasabivale::ledger {

inline wire::Command at(std::uint64_t Seconds) {
  wire::Command Command;
  Command.set_log_time_ns(Seconds * 1'000'000'000U);
  return Command;
}

inline wire::Command begin(std::uint64_t Seconds, const std::string &Key,
                           const std::string &Attempt,
                           const std::string &Digest = "d",
                           std::uint64_t Session = 1) {
  wire::Command Command = at(Seconds);
  wire::BeginRequest &Body = *Command.mutable_begin_request();
  Body.set_caller("shop");
  Body.set_key(Key);
  Body.set_body_digest(Digest);
  Body.set_attempt(Attempt);
  Body.set_entry("entry-1");
  Body.set_entry_session(Session);
  return Command;
}

inline wire::Command finish(std::uint64_t Seconds, const std::string &Key,
                            const std::string &Attempt,
                            const std::string &Outcome = "completed",
                            const std::string &Answer = "booked") {
  wire::Command Command = at(Seconds);
  wire::FinishRequest &Body = *Command.mutable_finish_request();
  Body.set_caller("shop");
  Body.set_key(Key);
  Body.set_attempt(Attempt);
  Body.set_outcome(Outcome);
  Body.set_status(200);
  Body.set_answer(Answer);
  return Command;
}

inline wire::Command release(std::uint64_t Seconds, const std::string &Key,
                             const std::string &Attempt) {
  wire::Command Command = at(Seconds);
  wire::ReleaseRequest &Body = *Command.mutable_release_request();
  Body.set_caller("shop");
  Body.set_key(Key);
  Body.set_attempt(Attempt);
  return Command;
}

inline wire::Command lookUp(std::uint64_t Seconds, const std::string &Key) {
  wire::Command Command = at(Seconds);
  Command.mutable_look_up_request()->set_caller("shop");
  Command.mutable_look_up_request()->set_key(Key);
  return Command;
}

inline wire::Command entryGone(std::uint64_t Seconds,
                               std::uint64_t Session = 1) {
  wire::Command Command = at(Seconds);
  Command.mutable_entry_gone()->set_entry("entry-1");
  Command.mutable_entry_gone()->set_session(Session);
  return Command;
}

inline wire::Command resolve(std::uint64_t Seconds, const std::string &Key,
                             const std::string &Outcome) {
  wire::Command Command = at(Seconds);
  Command.mutable_operator_command()->set_kind("resolve");
  Command.mutable_operator_command()->set_body(
      R"({"caller":"shop","key":")" + Key + R"(","outcome":")" + Outcome +
      R"(","status":200,"answer":"paid"})");
  return Command;
}

} // namespace wasabivale::ledger

#endif // WASABIVALE_LEDGER_TESTS_COMMANDS_H
