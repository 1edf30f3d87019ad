#include "Streams.h"

#include "targets/targets.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>

using namespace wasabivale;
using namespace wasabivale::systemtests;
using namespace std::chrono_literals;

namespace {

/// Asks the leader, whoever it is, until it has answered.
Answer askLeader(const System &Running, const std::string &Method,
                 const std::string &Path, const std::string &Body) {
  constexpr int NotLeader = 421;
  constexpr int Unavailable = 503;
  const http::Headers With = {
      {"Authorization", "Bearer " + Running.operatorToken()}};
  Answer Last;
  const int Members = static_cast<int>(Running.m_Control.size());
  REQUIRE(Running.turnUntil([&] {
    for (int Member = 1; Member <= Members; ++Member) {
      Last = Running.ask(Running.operators(Member), Method,
                         "/operator/v1/" + Path, With, Body, 2s);
      if (!Last.m_Broken && Last.m_Status != NotLeader &&
          Last.m_Status != Unavailable)
        return true;
    }
    return false;
  }));
  INFO(Path << ": " << Last.m_Body);
  REQUIRE(Last.m_Status == 200);
  return Last;
}

Json callLeader(const System &Running, const Json &Call) {
  return Json::parse(askLeader(Running, "POST", "call", Call.dump()).m_Body);
}

/// Confirms the plan of an intent. \returns its identity.
std::string order(const System &Running, const Json &Intent) {
  const Json Plan = callLeader(Running, {{"request_id", randomIdentity()},
                                         {"kind", "intent"},
                                         {"body", Intent}})["result"];
  INFO(Plan.dump());
  callLeader(Running,
             {{"request_id", randomIdentity()},
              {"kind", "confirm"},
              {"expected_revision", Plan["revision"]},
              {"body", {{"plan", Plan["plan"]}, {"digest", Plan["digest"]}}}});
  return Plan["plan"];
}

/// Number of the member that leads; 0 when none says so.
int leaderOf(const System &Running) {
  for (int Member = 1; Member <= static_cast<int>(Running.m_Control.size());
       ++Member)
    if (Running.status(Member).contains("targets"))
      return Member;
  return 0;
}

/// Orders that a target took although it had taken a newer one, or another
/// one of the same fence.
std::size_t conflictingOrders(const System &Running) {
  std::map<std::string, std::pair<targets::Fence, std::string>> Last;
  std::size_t Conflicts = 0;
  for (const Json &Taken : Running.judged("order_accepted")) {
    const std::string Life = Taken["incarnation"];
    const targets::Fence Fence{Taken["term"], Taken["sequence"]};
    const std::string Id = Taken["order"];
    const auto Before = Last.find(Life);
    if (Before != Last.end() &&
        (Fence < Before->second.first ||
         (Fence == Before->second.first && Id != Before->second.second)))
      ++Conflicts;
    Last[Life] = {Fence, Id};
  }
  return Conflicts;
}

std::string stateOfPlan(const System &Running, const std::string &Plan) {
  const Answer Got = askLeader(Running, "GET", "plans/" + Plan, "");
  return Json::parse(Got.m_Body).value("state", "");
}

void waitForPlan(const System &Running, const std::string &Plan) {
  std::string State;
  const bool Ended = Running.turnUntil([&] {
    State = stateOfPlan(Running, Plan);
    return State == "done" || State == "failed";
  });
  INFO(Plan << " " << State);
  REQUIRE(Ended);
  CHECK(State == "done");
}

Json shiftTo(const std::string &Role, const std::string &Engine) {
  return {{"intent", "shift_role"}, {"role", Role}, {"targets", {Engine}}};
}

} // namespace

SCENARIO("a target that leaves gets no new work and cuts no stream") {
  System Running({1, 2, 3, 1, {}}, 29600);
  Streams Got = startStreams(Running, 12, 300);
  GIVEN("a plan that drains it") {
    order(Running, {{"intent", "drain"}, {"targets", {"engine-1"}}});
  }
  GIVEN("its own wish to leave") { Running.leave("engine-1"); }
  const TimePoint Asked = BootClock::now();
  while (BootClock::now() < Asked + 4s) {
    addStream(Got, Running, 1 + static_cast<int>(Got.m_Answers.size() % 2));
    Running.turnFor(100ms);
  }
  waitForEnd(Running, Got);
  checkAllWhole(Got);
  CHECK(Running.judged("run_cut").empty());
  for (const Json &Run : Running.judged("run_started")) {
    const TimePoint At{std::chrono::nanoseconds(Run["at_ns"].get<long>())};
    if (Run["target"] == "engine-1")
      CHECK(At < Asked + 2s);
  }
  CHECK(Running.turnUntil([&] {
    const auto Done = Running.judged("order_done");
    return std::any_of(Done.begin(), Done.end(), [](const Json &Each) {
      return Each["target"] == "engine-1";
    });
  }));
}

SCENARIO("no target takes conflicting orders while leaders change") {
  for (const char *Checks : {"true", "false"}) {
    INFO("checks fences: " << Checks);
    System Running(
        {3, 2, 4, 1, {"--checks-fence", Checks, "--role-change-ms", "1500"}},
        29600);
    const int Killed = leaderOf(Running);
    REQUIRE(Killed > 0);
    const auto First = order(Running, shiftTo("prefill", "engine-1"));
    const auto Second = order(Running, shiftTo("decode", "engine-2"));
    Running.control(Killed).signal(SIGKILL);
    Running.control(Killed).wait();
    waitForPlan(Running, First);
    waitForPlan(Running, Second);
    Running.startControl(Killed);
    int Paused = 0;
    REQUIRE(
        Running.turnUntil([&] { return (Paused = leaderOf(Running)) > 0; }));
    const auto Third = order(Running, shiftTo("decode", "engine-1"));
    Running.control(Paused).signal(SIGSTOP);
    const auto Fourth = order(Running, shiftTo("prefill", "engine-3"));
    Running.control(Paused).signal(SIGCONT);
    const auto Fifth = order(Running, shiftTo("decode", "engine-4"));
    for (const auto &Plan : {Third, Fourth, Fifth})
      waitForPlan(Running, Plan);
    Running.turnFor(1s);
    CHECK(conflictingOrders(Running) == 0);
  }
}

SCENARIO("an engine that crashes halfway through a change comes back") {
  System Running({3, 2, 3, 1, {"--role-change-ms", "1000"}}, 29600);
  Running.fault({{"target", "engine-1"},
                 {"fault", "crash_in_order"},
                 {"restart_ms", 500}});
  const auto Plan = order(Running, shiftTo("decode", "engine-1"));
  REQUIRE(Running.turnUntil([&] {
    return Running.judged("target_crashed").size() == 1 && Running.serves(4);
  }));
  const std::string State = stateOfPlan(Running, Plan);
  INFO(Plan << " " << State);
  CHECK((State == "done" || State == "failed"));
  CHECK(conflictingOrders(Running) == 0);
  Streams Got = startStreams(Running, 6, 60);
  waitForEnd(Running, Got);
  checkAllWhole(Got);
}

SCENARIO("operators see which state each entry has applied") {
  const System Running({1, 2, 2, 1, {}}, 29600);
  Json Entries;
  CHECK(Running.turnUntil([&] {
    const Json Status =
        Json::parse(askLeader(Running, "GET", "status", "").m_Body);
    Entries = Json::parse(askLeader(Running, "GET", "entries", "").m_Body)
                  .at("entries");
    return Entries.size() == 2 &&
           std::all_of(Entries.begin(), Entries.end(), [&](const Json &Each) {
             return Each["lease_left_ms"] > 0 && Each["session"] != 0 &&
                    Each["fleet_revision"] == Status["fleet_revision"];
           });
  }));
  INFO(Entries.dump());
  const Json Routes =
      Json::parse(askLeader(Running, "GET", "routes", "").m_Body);
  CHECK(Routes["version"] == 0);
  CHECK(Routes["lagging"].empty());
}
