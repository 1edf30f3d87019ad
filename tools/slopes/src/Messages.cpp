#include "Measure.h"

#include "http/http.h"
#include "routing/routing.h"
#include "targets/targets.h"
#include "wire/wire.h"

#include <fmt/format.h>

namespace wasabivale::slopes {

namespace {

constexpr int FirstPort = 28800;
constexpr std::size_t Repeats = 200;
constexpr int Tries = 5;

wire::Envelope reportWith(std::size_t Targets, std::size_t Callers) {
  wire::Envelope Message;
  Message.set_sender("entry-123");
  Message.set_region("region-1");
  Message.set_zone("zone-1");
  Message.set_session(~0ULL);
  wire::EntryReport &Report = *Message.mutable_entry_report();
  Report.set_renewal(100'000);
  Report.set_fleet_revision(100'000);
  Report.set_configuration_revision(10'000);
  for (std::size_t I = 0; I < Targets; ++I) {
    wire::TargetReport &Row = *Report.add_targets();
    Row.set_target(fmt::format("engine-{}", I));
    Row.set_incarnation(std::string(32, 'a'));
    Row.set_running(20);
    Row.set_prefill_tokens_waiting(20'000);
    Row.set_kv_blocks_free(1500);
    Row.set_role("mixed");
    Row.set_fence_term(12);
    Row.set_fence_sequence(4000);
  }
  for (std::size_t I = 0; I < Callers; ++I) {
    wire::ShareUse &Row = *Report.add_shares();
    Row.set_caller(fmt::format("caller-{}", I));
    Row.set_requests(12);
    Row.set_prompt_tokens(12'000);
    Row.set_output_tokens(3000);
    Row.set_wanted_requests(13);
    Row.set_wanted_tokens(16'000);
    Row.set_running(4);
  }
  return Message;
}

wire::Envelope grantWith(std::size_t Callers) {
  wire::Envelope Message;
  wire::ControlGrant &Grant = *Message.mutable_control_grant();
  Grant.set_renewal(100'000);
  Grant.set_lease_ns(2'000'000'000);
  for (std::size_t I = 0; I < Callers; ++I) {
    wire::Share &Row = *Grant.add_shares();
    Row.set_caller(fmt::format("caller-{}", I));
    Row.set_requests_per_second(10.5);
    Row.set_prompt_tokens_per_second(10'000.5);
    Row.set_output_tokens_per_second(2000.5);
    Row.set_running(12);
  }
  return Message;
}

wire::Envelope fleetWith(std::size_t Targets) {
  wire::Envelope Message;
  wire::FleetUpdate &Update = *Message.mutable_fleet_update();
  for (std::size_t I = 0; I < Targets; ++I) {
    wire::Target &Row = *Update.add_targets();
    Row.set_id(fmt::format("engine-{}", I));
    Row.set_incarnation(std::string(32, 'a'));
    Row.set_address("10.100.100.100:9001");
    Row.set_kind("engine");
    Row.set_region("region-1");
    Row.set_zone("zone-1");
    Row.add_models("gourd-8b+adapter@12");
    Row.set_role("mixed");
    Row.set_kv_blocks(2048);
    Row.set_state("serving");
    Row.set_generation(3);
    Row.set_prefill_tokens_per_second(20'000);
    Row.set_decode_tokens_per_second(50);
    Row.set_max_running(32);
  }
  return Message;
}

double reportCost(std::size_t Rows) {
  const std::string Report = reportWith(0, Rows).SerializeAsString();
  const wire::Envelope Grant = grantWith(Rows);
  const double Total = processorCost([&] {
    for (std::size_t I = 0; I < Repeats; ++I) {
      wire::Envelope Parsed;
      WASABIVALE_INVARIANT(Parsed.ParseFromString(Report));
      WASABIVALE_INVARIANT(!Grant.SerializeAsString().empty());
    }
  });
  return Total / Repeats;
}

routing::State fleetOf(const wire::FleetUpdate &Update) {
  routing::State Fleet;
  for (const wire::Target &Row : Update.targets()) {
    routing::Target Made;
    Made.m_Id = {Row.id()};
    Made.m_Incarnation = Row.incarnation();
    Made.m_Models = {ModelId{Row.models(0)}};
    Made.m_Serving = true;
    Made.m_MaxRunning = Row.max_running();
    routing::updateTarget(Fleet, Made, BootClock::now());
  }
  return Fleet;
}

double fleetCost(std::size_t Targets) {
  const std::string Bytes = fleetWith(Targets).SerializeAsString();
  return processorCost([&] {
    wire::Envelope Parsed;
    WASABIVALE_INVARIANT(Parsed.ParseFromString(Bytes));
    WASABIVALE_INVARIANT(fleetOf(Parsed.fleet_update()).m_ByTarget.size() ==
                         Targets);
  });
}

/// Reading a report's row and correcting the own view of its target by it.
double loadCost(std::size_t Targets) {
  routing::State Fleet = fleetOf(fleetWith(Targets).fleet_update());
  const std::string Bytes = reportWith(Targets, 0).SerializeAsString();
  constexpr std::size_t Rounds = 20;
  const double Total = processorCost([&] {
    for (std::size_t I = 0; I < Rounds; ++I) {
      wire::Envelope Parsed;
      WASABIVALE_INVARIANT(Parsed.ParseFromString(Bytes));
      for (const wire::TargetReport &Row : Parsed.entry_report().targets()) {
        routing::LoadReport Report;
        Report.m_Running = Row.running();
        Report.m_PrefillTokensWaiting = Row.prefill_tokens_waiting();
        Report.m_KvBlocksFree = Row.kv_blocks_free();
        routing::applyLoad(Fleet, TargetId{Row.target()}, Row.incarnation(),
                           Report, BootClock::now());
      }
    }
  });
  return Total / Rounds;
}

targets::Heartbeat heartbeatWith(std::size_t CacheEvents) {
  targets::Heartbeat Beat;
  Beat.m_Id = {"engine-123"};
  Beat.m_Incarnation = std::string(32, 'a');
  Beat.m_Models = {ModelId{"gourd-8b"}};
  Beat.m_CacheFrom = 1;
  for (std::size_t I = 0; I < CacheEvents; ++I) {
    targets::CacheEvent Event;
    Event.m_Number = I + 1;
    Event.m_Block = hashBytes(std::to_string(I));
    Beat.m_CacheEvents.push_back(Event);
  }
  Beat.m_CacheTo = CacheEvents;
  return Beat;
}

double heartbeatCost(std::size_t Count) {
  const std::string Text = targets::print(heartbeatWith(0));
  return processorCost([&] {
    for (std::size_t I = 0; I < Count; ++I)
      WASABIVALE_INVARIANT(!failed(targets::parseHeartbeat(Text)));
  });
}

/// Hubs on one loop: one listens, the others have connected to it.
struct Star {
  event_base *m_Loop = event_base_new();
  metrics::Registry m_Registry;
  std::size_t m_Received = 0;
  std::unique_ptr<wire::Hub> m_Centre;
  std::vector<std::unique_ptr<wire::Hub>> m_Others;

  Star() = default;
  Star(const Star &) = delete;
  Star &operator=(const Star &) = delete;
  ~Star() {
    m_Others.clear();
    m_Centre.reset();
    event_base_free(m_Loop);
  }

  void turn() const {
    const timeval Tick{0, 1000};
    event_base_loopexit(m_Loop, &Tick);
    event_base_dispatch(m_Loop);
  }

  void open(std::size_t Count, int Port) {
    const auto CentreKeys = valueOf(wire::generateKeys());
    const std::string Address = fmt::format("127.0.0.1:{}", Port);
    wire::HubOptions Options;
    Options.m_Self = {"centre"};
    Options.m_Keys = CentreKeys;
    Options.m_ListenAddress = Address;
    std::vector<wire::KeyPair> Keys;
    for (std::size_t I = 0; I < Count; ++I) {
      Keys.push_back(valueOf(wire::generateKeys()));
      Options.m_Peers.push_back(
          {NodeId{fmt::format("node-{}", I)}, Keys.back().m_Public, ""});
    }
    m_Centre = openHub(Options);
    for (std::size_t I = 0; I < Count; ++I) {
      wire::HubOptions Mine;
      Mine.m_Self = {fmt::format("node-{}", I)};
      Mine.m_Keys = Keys[I];
      Mine.m_Peers = {{NodeId{"centre"}, CentreKeys.m_Public, Address}};
      m_Others.push_back(openHub(Mine));
    }
    for (auto &Other : m_Others)
      while (failed(Other->send({"centre"}, reportWith(0, 0))))
        turn();
    while (m_Received < Count)
      turn();
    m_Received = 0;
  }

  std::unique_ptr<wire::Hub> openHub(const wire::HubOptions &Options) {
    auto Opened = wire::Hub::open(
        m_Loop, Options, m_Registry,
        [this](const NodeId &, const wire::Envelope &) { ++m_Received; });
    WASABIVALE_INVARIANT(!failed(Opened));
    return std::move(valueOf(Opened));
  }
};

double wireCost(std::size_t Count) {
  Star Pair;
  Pair.open(1, FirstPort);
  const wire::Envelope Message = reportWith(3, 10);
  return processorCost([&] {
    for (std::size_t Sent = 0; Sent < Count;) {
      if (failed(Pair.m_Others[0]->send({"centre"}, Message)))
        Pair.turn();
      else
        ++Sent;
    }
    while (Pair.m_Received < Count)
      Pair.turn();
  });
}

/// Both ends of HTTP calls, each on a fresh connection.
double httpCost(std::size_t Count) {
  event_base *Loop = event_base_new();
  const http::Address At{"127.0.0.1", FirstPort + 2};
  auto Server =
      http::listen(Loop, At, http::ServerLimits{},
                   [](const std::shared_ptr<http::Exchange> &Arrived) {
                     Arrived->reply(200, {}, R"({"accepted": true})");
                   });
  WASABIVALE_INVARIANT(!failed(Server));
  const std::string Body = targets::print(heartbeatWith(0));
  std::size_t Done = 0;
  std::function<void()> CallNext = [&] {
    http::ClientRequest What;
    What.m_To = At;
    What.m_Path = "/targets/v1/heartbeat";
    What.m_Body = Body;
    What.m_Deadline = BootClock::now() + std::chrono::seconds(10);
    http::ClientHandlers Handlers;
    Handlers.m_OnDone = [&](const Result<http::Response> &Answer) {
      WASABIVALE_INVARIANT(!failed(Answer));
      if (++Done < Count)
        CallNext();
      else
        event_base_loopbreak(Loop);
    };
    http::call(Loop, std::move(What), std::move(Handlers));
  };
  const double Total = processorCost([&] {
    CallNext();
    event_base_dispatch(Loop);
  });
  valueOf(Server).reset();
  event_base_free(Loop);
  return Total;
}

double pushCost(std::size_t Subscribers) {
  Star Fan;
  Fan.open(Subscribers, FirstPort + 1);
  wire::Envelope Change;
  Change.mutable_fleet_update()->set_configuration(std::string(600, 'x'));
  constexpr std::size_t Changes = 20;
  const double Total = processorCost([&] {
    for (std::size_t I = 0; I < Changes; ++I) {
      for (std::size_t To = 0; To < Subscribers; ++To)
        WASABIVALE_INVARIANT(!failed(
            Fan.m_Centre->send(NodeId{fmt::format("node-{}", To)}, Change)));
      while (Fan.m_Received < Subscribers * (I + 1))
        Fan.turn();
    }
  });
  return Total / Changes;
}

} // namespace

std::vector<Probe> messageProbes() {
  const auto Bytes = [](const wire::Envelope &Message) {
    return static_cast<double>(Message.ByteSizeLong());
  };
  return {
      {"report_bytes_per_target",
       "bytes",
       "target",
       {0, 3, 30, 134},
       [Bytes](std::size_t N) { return Bytes(reportWith(N, 0)); }},
      {"report_bytes_per_caller",
       "bytes",
       "caller",
       {0, 10, 100, 1200},
       [Bytes](std::size_t N) { return Bytes(reportWith(0, N)); }},
      {"grant_bytes_per_caller",
       "bytes",
       "caller",
       {0, 10, 100, 1200},
       [Bytes](std::size_t N) { return Bytes(grantWith(N)); }},
      {"fleet_bytes_per_target",
       "bytes",
       "target",
       {20, 134, 940},
       [Bytes](std::size_t N) { return Bytes(fleetWith(N)); }},
      {"report_cpu", "ns", "row", {10, 100, 400}, reportCost, Tries},
      {"fleet_cpu_per_target",
       "ns",
       "target",
       {20, 134, 940},
       fleetCost,
       Tries},
      {"http_exchange_cpu",
       "ns",
       "exchange",
       {250, 500, 1000},
       httpCost,
       Tries},
      {"load_cpu_per_target", "ns", "target", {20, 134, 940}, loadCost, Tries},
      {"heartbeat_cpu",
       "ns",
       "heartbeat",
       {500, 1000, 2000},
       heartbeatCost,
       Tries},
      {"heartbeat_bytes",
       "bytes",
       "cache event",
       {0, 16, 64},
       [](std::size_t N) {
         return static_cast<double>(targets::print(heartbeatWith(N)).size());
       }},
      {"wire_message_cpu",
       "ns",
       "message",
       {2000, 4000, 8000},
       wireCost,
       Tries},
      {"push_cpu_per_subscriber",
       "ns",
       "subscriber",
       {6, 60, 180},
       pushCost,
       1},
  };
}

} // namespace wasabivale::slopes
