/// \file
/// An entry that passes plain requests on by their routes, among scripted
/// targets, on loopback and on one loop.

#ifndef WASABIVALE_ENTRY_TESTS_SHOP_H
#define WASABIVALE_ENTRY_TESTS_SHOP_H

#include "Entry.h"
#include "World.h"
#include "events/events.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <functional>

namespace wasabivale::entry::test {

inline constexpr std::uint16_t EntryPort = 21880;
inline constexpr std::uint16_t FirstPort = 21881;

/// A dialect of its own: the data path depends on none.
extern const relay::Dialect Plain;

using Exchange = std::shared_ptr<http::Exchange>;
/// What a target does with a request.
using Play = std::function<void(const Exchange &)>;

/// Fields of an answer that is signed and names its request.
http::Fields stamped(const Exchange &Request);
Play answers(int Status, const std::string &Body);
/// Refuses with the proof that the request has not run.
Play refuses();
Play breaks();
std::string eventText(int Id);
/// Streams events from behind the last that the caller has up to \p Last; then
/// ends, or breaks off.
Play streams(int Last, bool Whole);
wire::Route route(const std::string &Name, const std::string &Kind,
                  const std::string &Service, bool Resumable = false);

/// Control answers \p Entry that each service has one version, \p Version.
void answerVersion(DataPath &Entry, const std::string &Version = "");

struct Answered {
  int m_Status = 0; ///< Zero: the connection ended without a whole answer.
  http::Fields m_Fields;
  std::string m_Body;
  bool m_Ended = false;
};

/// An entry before targets of one service each.
struct Shop {
  Loop m_Loop;
  EntrySettings m_Settings;
  metrics::Registry m_Registry;
  std::unique_ptr<Entry> m_Entry;
  DataPath *m_Path = nullptr; ///< Of the entry.
  std::vector<std::unique_ptr<http::Server>> m_Targets;
  std::vector<Exchange> m_Held;
  std::vector<http::Request> m_Seen;
  std::vector<std::unique_ptr<http::Timer>> m_Restarts;
  int m_Crashes = 0;
  wire::FleetUpdate m_Fleet;

  Shop();
  ~Shop();
  /// The entry's process ends.
  void end();
  /// The entry's process ends, and another starts with the same fleet.
  void restart();
  Shop(const Shop &) = delete;
  Shop &operator=(const Shop &) = delete;

  /// Each target plays its script for every request.
  void open(const std::vector<Play> &Scripts) {
    for (const Play &Behavior : Scripts)
      add(Behavior);
    REQUIRE(m_Path->takeFleet(m_Fleet));
    grant();
  }

  /// Control confirms the fleet that the entry knows.
  void grant() {
    constexpr std::chrono::seconds Lease{2};
    wire::ControlGrant Grant;
    Grant.set_fleet_revision(m_Fleet.revision());
    Grant.set_lease_ns(std::chrono::nanoseconds(Lease).count());
    m_Path->takeGrant(Grant, BootClock::now() + Lease);
  }

  /// Adds a target to what the entry will hear next.
  wire::Target &add(const Play &Behavior) {
    const auto Port = static_cast<std::uint16_t>(FirstPort + m_Targets.size());
    auto Listening =
        http::listen(m_Loop.m_Base, {"127.0.0.1", Port}, http::ServerLimits{},
                     [this, Behavior](const Exchange &Arrived) {
                       m_Seen.push_back(Arrived->request());
                       m_Held.push_back(Arrived);
                       Behavior(Arrived);
                     });
    REQUIRE_FALSE(failed(Listening));
    m_Targets.push_back(std::move(valueOf(Listening)));
    wire::Target &Added = *m_Fleet.add_targets();
    Added.set_id(fmt::format("i-{}", Port));
    Added.set_incarnation("1");
    Added.set_address(fmt::format("127.0.0.1:{}", Port));
    Added.set_kind("service");
    Added.add_models("desk");
    Added.set_state("serving");
    Added.set_generation(1);
    Added.set_max_running(8);
    Added.set_self_managed(true);
    return Added;
  }

  /// Adds a target that something else listens for.
  wire::Target &addForeign() {
    wire::Target &Added = add([](const Exchange &) {});
    m_Targets.back().reset();
    return Added;
  }

  /// Adds an engine, and the route to engines before the first one.
  wire::Target &addEngine(const std::string &Role, const Play &Behavior) {
    wire::RouteTable &Table = *m_Fleet.mutable_routes();
    if (Table.services_size() == 1) {
      *Table.add_routes() = route("oracle", "streaming", "llm", true);
      wire::RoutedService &Engines = *Table.add_services();
      Engines.set_name("llm");
      Engines.set_kv_capacity_tokens(500'000);
    }
    wire::Target &Added = add(Behavior);
    Added.set_kind("engine");
    Added.set_models(0, "llm");
    Added.set_role(Role);
    return Added;
  }

  /// Tells the entry of the targets, and waits until they count as warm.
  void warmUp() {
    REQUIRE(m_Path->takeFleet(m_Fleet));
    m_Loop.turnFor(std::chrono::milliseconds(1100));
  }

  /// Answers prompts, but ends the target's process when \p Part is in one.
  Play crashesOn(std::size_t Index, const std::string &Part) {
    return [this, Index, Part](const Exchange &Arrived) {
      const std::string_view Parts =
          http::field(Arrived->request().m_Fields, "parts");
      if (Parts.find(Part) == std::string_view::npos)
        return streams(3, true)(Arrived);
      ++m_Crashes;
      Arrived->abort();
      m_Restarts.push_back(std::make_unique<http::Timer>(
          m_Loop.m_Base, std::chrono::milliseconds(0), false,
          [this, Index] { m_Targets[Index].reset(); }));
    };
  }

  [[nodiscard]] int seen(const std::string &Field) const {
    int Count = 0;
    for (const http::Request &Request : m_Seen)
      Count += http::field(Request.m_Fields, Field).empty() ? 0 : 1;
    return Count;
  }

  /// Sends a request; its answer comes while the loop turns.
  std::shared_ptr<Answered> start(const std::string &Method,
                                  const std::string &Path,
                                  http::Fields More = {}) {
    http::ClientRequest Out;
    Out.m_To = {"127.0.0.1", EntryPort};
    Out.m_Method = Method;
    Out.m_Path = Path;
    Out.m_Fields = {{"Host", "shop.example"}};
    if (http::field(More, "Attempt").empty())
      Out.m_Fields.emplace_back("Attempt", "r-1");
    Out.m_Fields.insert(Out.m_Fields.end(), More.begin(), More.end());
    if (Method == "POST")
      Out.m_Body = "body";
    Out.m_Deadline = BootClock::now() + std::chrono::seconds(5);
    auto Got = std::make_shared<Answered>();
    http::ClientHandlers Handlers;
    Handlers.m_OnFields = [Got](int, const http::Fields &Fields) {
      Got->m_Fields = Fields;
    };
    Handlers.m_OnChunk = [Got](std::string_view Piece) {
      Got->m_Body += Piece;
    };
    Handlers.m_OnDone = [Got](const Result<http::Response> &Answer) {
      if (!failed(Answer))
        Got->m_Status = valueOf(Answer).m_Status;
      Got->m_Ended = true;
    };
    (void)http::call(m_Loop.m_Base, std::move(Out), std::move(Handlers));
    return Got;
  }

  Answered ask(const std::string &Method, const std::string &Path,
               http::Fields More = {}) {
    const auto Got = start(Method, Path, std::move(More));
    REQUIRE(m_Loop.until([&] { return Got->m_Ended; }));
    return *Got;
  }

  /// \returns every byte that the caller receives, heads and framing included.
  std::string askRaw(const std::string &Method, const std::string &Path,
                     const std::string &Body = {});

private:
  void openEntry();
};

} // namespace wasabivale::entry::test

#endif // WASABIVALE_ENTRY_TESTS_SHOP_H
