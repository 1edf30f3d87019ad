// Duties of the leader, against a stand-in for the platform on loopback.

#include "PlatformDuties.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace wasabivale;
using namespace wasabivale::control;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t PlatformPort = 21990;

struct Call {
  std::string m_Path;
  std::string m_Token;
  nlohmann::json m_Body;
};

/// A control member whose proposals are committed at once.
struct Leader {
  event_base *m_Loop = event_base_new();
  metrics::Registry m_Registry;
  DutySettings m_Settings;
  fleet::State m_Known;
  bool m_MaySend = true;
  int m_Status = 200;
  std::string m_Answer = "{}";
  bool m_Answers = true;
  std::vector<std::shared_ptr<http::Exchange>> m_Held;
  std::vector<Call> m_Calls;
  std::uint64_t m_LogTime = 1;
  std::unique_ptr<http::Server> m_Platform;
  std::unique_ptr<PlatformDuties> m_Duties;

  Leader() {
    m_Settings.m_Address = {"127.0.0.1", PlatformPort};
    m_Settings.m_Holder = "control-a-1";
    m_Settings.m_ReportsUsage = true;
    m_Settings.m_Lease = 300ms;
    m_Settings.m_UsageWindow = 100ms;
    m_Known.m_Routes.m_Table.set_version(1);
    m_Known.m_Routes.m_Table.set_checks_keys(true);
    auto Listening = http::listen(
        m_Loop, m_Settings.m_Address, http::ServerLimits{},
        [this](const std::shared_ptr<http::Exchange> &Arrived) {
          const http::Request &Request = Arrived->request();
          m_Calls.push_back(
              {Request.m_Path,
               std::string(http::field(Request.m_Fields, "fence-token")),
               nlohmann::json::parse(Request.m_Body, nullptr, false)});
          if (m_Answers)
            Arrived->reply(m_Status, {}, m_Answer);
          else
            m_Held.push_back(Arrived);
        });
    REQUIRE_FALSE(failed(Listening));
    m_Platform = std::move(valueOf(Listening));
    PlatformDuties::LeaderHooks Hooks;
    Hooks.m_MaySend = [this] { return m_MaySend; };
    Hooks.m_Propose = [this](const std::string &, wire::Command Command) {
      Command.set_log_time_ns(m_LogTime++);
      CHECK_FALSE(fleet::apply(m_Known, Command).m_Refusal.has_value());
    };
    m_Duties = std::make_unique<PlatformDuties>(m_Loop, m_Registry, m_Settings,
                                                std::move(Hooks));
  }
  ~Leader() {
    m_Duties.reset();
    m_Held.clear();
    m_Platform.reset();
    event_base_free(m_Loop);
  }
  Leader(const Leader &) = delete;
  Leader &operator=(const Leader &) = delete;

  void startTerm(std::uint64_t Term) {
    m_Duties->startTerm(Term, m_Known.m_Duties, BootClock::now());
  }

  /// Turns the loop until \p Done, for some seconds at most.
  bool until(const std::function<bool()> &Done) {
    const TimePoint GiveUpAt = BootClock::now() + 20s;
    while (!Done() && BootClock::now() < GiveUpAt) {
      const http::Timer Tick(m_Loop, 10ms, false, [] {});
      event_base_loop(m_Loop, EVLOOP_ONCE);
      m_Duties->sampleClock(BootClock::now());
      m_Duties->tick(m_Known, BootClock::now());
    }
    return Done();
  }

  void report(std::uint64_t Session, std::uint64_t Window,
              std::uint64_t Requests) {
    wire::EntryReport Report;
    wire::UsageWindow &Row = *Report.add_usage();
    Row.set_window(Window);
    Row.add_customers()->set_customer("large");
    Row.mutable_customers(0)->set_requests(Requests);
    m_Duties->handleReport({"entry-1"}, Session, Report, m_Known.m_Duties);
  }

  static std::uint64_t windowNow() {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch()) /
        100ms);
  }

  /// Reports of one window, in the order of their arrival.
  [[nodiscard]] std::vector<Call> reportsOf(std::uint64_t Window) const {
    std::vector<Call> Found;
    for (const Call &Each : m_Calls)
      if (Each.m_Path == "/usage" && Each.m_Body["window_id"] == Window)
        Found.push_back(Each);
    return Found;
  }
};

} // namespace

SCENARIO("usage of a window is reported once, with one content") {
  Leader Member;
  Member.startTerm(5);
  const std::uint64_t Window = Leader::windowNow();
  Member.report(1, Window, 7);
  Member.report(2, Window, 2);
  GIVEN("a platform that answers") {
    REQUIRE(
        Member.until([&] { return !Member.reportsOf(Window + 3).empty(); }));
    THEN("each window comes once, also without requests") {
      for (std::uint64_t I = 0; I < 3; ++I)
        CHECK(Member.reportsOf(Window + I).size() == 1);
      CHECK(Member.reportsOf(Window)[0].m_Body["counts"]["large"] == 9);
      CHECK(Member.reportsOf(Window)[0].m_Token == "5");
      CHECK(Member.reportsOf(Window + 1)[0].m_Body["counts"].empty());
    }
  }
  GIVEN("a platform whose answers say nothing") {
    Member.m_Status = 500;
    Member.m_Answer = "garbage";
    REQUIRE(Member.until([&] { return !Member.reportsOf(Window).empty(); }));
    THEN("the same content is sent again, whatever entries report later") {
      Member.report(1, Window, 8);
      REQUIRE(
          Member.until([&] { return Member.reportsOf(Window).size() > 1; }));
      for (const Call &Each : Member.reportsOf(Window))
        CHECK(Each.m_Body == Member.reportsOf(Window)[0].m_Body);
    }
  }
  GIVEN("a platform that has seen a higher token") {
    Member.m_Status = 409;
    REQUIRE(Member.until([&] { return !Member.m_Calls.empty(); }));
    const TimePoint SeenAt = BootClock::now();
    Member.until([&] { return BootClock::now() - SeenAt > 2500ms; });
    THEN("this holder sends nothing more") {
      CHECK(Member.m_Calls.size() == 1);
    }
  }
}

SCENARIO("a holder sends nothing while another one may") {
  Leader Member;
  Member.startTerm(5);
  const std::uint64_t Window = Leader::windowNow();
  Member.report(1, Window, 7);
  GIVEN("a leader that is not sure of its lease") {
    Member.m_MaySend = false;
    REQUIRE(Member.until(
        [&] { return Member.m_Known.m_Duties.m_Closed.count(Window) != 0; }));
    THEN("it decides, and sends nothing") {
      CHECK(Member.m_Calls.empty());
      AND_WHEN("the next leader follows") {
        Member.m_Duties->endTerm();
        Member.m_MaySend = true;
        const TimePoint Before = BootClock::now();
        Member.startTerm(6);
        REQUIRE(Member.until([&] { return !Member.m_Calls.empty(); }));
        THEN("it waits for the former one's lease and calls, and sends what "
             "that one decided") {
          CHECK(BootClock::now() - Before >= Member.m_Settings.m_Lease + 1s);
          CHECK(Member.m_Calls[0].m_Token == "6");
          CHECK(Member.m_Calls[0].m_Body["counts"]["large"] == 7);
        }
      }
    }
  }
}

SCENARIO("orders for targets are committed before they are sent") {
  Leader Member;
  Member.m_Settings.m_ReportsUsage = false;
  Member.m_Settings.m_OrdersTargets = true;
  wire::RoutedService &Service =
      *Member.m_Known.m_Routes.m_Table.add_services();
  Service.set_name("llm");
  wire::ServiceScaling &Bounds = *Service.mutable_scaling();
  Bounds.set_min(1);
  Bounds.set_max(94);
  Bounds.set_reclaimable_price(0.2);
  fleet::Target Engine;
  Engine.m_Id = {"i-1"};
  Engine.m_Zone = {"attiki-a"};
  Engine.m_Models = {"llm"};
  Engine.m_State = fleet::TargetState::Serving;
  Member.m_Known.m_Targets.m_ById[Engine.m_Id] = Engine;
  Member.startTerm(5);
  GIVEN("a platform that does not answer") {
    Member.m_Answers = false;
    REQUIRE(Member.until([&] { return !Member.m_Calls.empty(); }));
    CHECK(Member.m_Calls[0].m_Path == "/scale");
    CHECK(Member.m_Calls[0].m_Body["desired_count"] == 1);
    CHECK(Member.m_Calls[0].m_Body["spot"] == true);
    THEN("the order is in the state, and sent again as it was") {
      CHECK(Member.m_Known.m_Duties.m_Ordered.size() == 1);
      REQUIRE(Member.until([&] { return Member.m_Calls.size() > 1; }));
      CHECK(Member.m_Calls[1].m_Body == Member.m_Calls[0].m_Body);
    }
  }
}
