#include "Measure.h"

#include "ledger/ledger.h"
#include "limits/limits.h"
#include "roles/roles.h"
#include "routing/routing.h"
#include "store/store.h"

#include <fmt/format.h>

namespace wasabivale::slopes {

namespace {

constexpr int Tries = 5;
constexpr std::size_t Repeats = 2000;
const ModelId Model{"gourd-8b"};

routing::State fleetOf(std::size_t Targets) {
  routing::State Fleet;
  for (std::size_t I = 0; I < Targets; ++I) {
    routing::Target Made;
    Made.m_Id = {fmt::format("engine-{}", I)};
    Made.m_Incarnation = std::string(32, 'a');
    Made.m_Models = {Model};
    Made.m_KvBlocks = 2048;
    Made.m_MaxRunning = 32;
    Made.m_Serving = true;
    routing::updateTarget(Fleet, Made, BootClock::now());
  }
  return Fleet;
}

double chooseCost(std::size_t Targets) {
  routing::State Fleet = fleetOf(Targets);
  Random Rng(1);
  const TimePoint Now = BootClock::now();
  const double Total = processorCost([&] {
    for (std::size_t I = 0; I < Repeats; ++I) {
      routing::Request Wanted;
      Wanted.m_Model = Model;
      Wanted.m_PromptTokens = 4096;
      Wanted.m_ExpectedOutputTokens = 200;
      Wanted.m_Blocks = {I, I + 1, I + 2, I + 3};
      auto Chosen = routing::choose(Fleet, Wanted, Now, Rng);
      if (failed(Chosen))
        continue;
      const auto Id = valueOf(Chosen).m_Try;
      routing::recordStarted(Fleet, Id, Now);
      routing::recordEnded(Fleet, Id, routing::TryOutcome::Completed, Now);
    }
  });
  return Total / Repeats;
}

double targetMemory(std::size_t Targets) {
  routing::State Fleet;
  return heapCost([&] { Fleet = fleetOf(Targets); });
}

double callerMemory(std::size_t Callers) {
  limits::State Entry;
  return heapCost([&] {
    for (std::size_t I = 0; I < Callers; ++I)
      limits::setShare(Entry, CallerId{fmt::format("caller-{}", I)}, 1,
                       limits::Limits{}, TimePoint::max(), BootClock::now());
  });
}

double divideCost(std::size_t Entries) {
  const std::vector<limits::Demand> Demands(Entries, {10, 10'000, 2000, 5});
  const limits::Limits Limit{1000, 1e6, 2e5, 500};
  constexpr std::size_t Divisions = 100;
  const double Total = processorCost([&] {
    for (std::size_t I = 0; I < Divisions; ++I)
      WASABIVALE_INVARIANT(limits::divideShares(Limit, Demands).size() ==
                           Entries);
  });
  return Total / Divisions;
}

roles::Observation observationOf(std::size_t Engines) {
  roles::Observation Seen;
  Seen.m_Interval = std::chrono::seconds(5);
  Seen.m_Demand[Model] = {1000, 1'000'000, 100'000, 400'000, 990, 1};
  for (std::size_t I = 0; I < Engines; ++I) {
    roles::Engine Made;
    Made.m_Id = {fmt::format("engine-{}", I)};
    Made.m_Models = {Model};
    Made.m_Role = I % 3 == 0 ? roles::Role::Prefill : roles::Role::Decode;
    Made.m_PrefillTokensPerSecond = 20'000;
    Made.m_DecodeTokensPerSecond = 1500;
    Seen.m_Engines.push_back(Made);
  }
  return Seen;
}

double plannerCost(std::size_t Engines) {
  roles::State Planner;
  const roles::Policy Rules = roles::malabarPolicy();
  roles::Observation Seen = observationOf(Engines);
  constexpr std::size_t Steps = 50;
  const TimePoint Start = BootClock::now();
  const double Total = processorCost([&] {
    for (std::size_t I = 0; I < Steps; ++I)
      roles::step(Planner, Rules, Seen, Start + Seen.m_Interval * I);
  });
  return Total / Steps;
}

wire::Command beginOf(std::size_t Number) {
  wire::Command Command;
  Command.set_request_id(fmt::format("{:032x}", Number));
  Command.set_log_time_ns(Number * 1000);
  wire::BeginRequest &Begin = *Command.mutable_begin_request();
  Begin.set_caller(fmt::format("caller-{}", Number % 1200));
  Begin.set_key(fmt::format("booking-{:024}", Number));
  Begin.set_body_digest(std::string(64, 'd'));
  Begin.set_attempt(fmt::format("{:032x}", Number));
  Begin.set_entry("entry-123");
  Begin.set_entry_session(7);
  return Command;
}

wire::Command finishOf(std::size_t Number) {
  constexpr std::size_t AnswerBytes = 200;
  wire::Command Command = beginOf(Number);
  const wire::BeginRequest Begin = Command.begin_request();
  wire::FinishRequest &Finish = *Command.mutable_finish_request();
  Finish.set_caller(Begin.caller());
  Finish.set_key(Begin.key());
  Finish.set_attempt(Begin.attempt());
  Finish.set_outcome("completed");
  Finish.set_status(200);
  Finish.set_content_type("application/json");
  Finish.set_answer(std::string(AnswerBytes, 'a'));
  return Command;
}

void fillLedger(ledger::State &Book, std::size_t Keys) {
  Book.m_Limits.m_Keys = Keys;
  Book.m_Limits.m_Bytes = ~std::size_t{0};
  for (std::size_t I = 0; I < Keys; ++I) {
    WASABIVALE_INVARIANT(!ledger::apply(Book, beginOf(I)).m_Refusal);
    WASABIVALE_INVARIANT(!ledger::apply(Book, finishOf(I)).m_Refusal);
  }
}

double ledgerMemory(std::size_t Keys) {
  ledger::State Book;
  return heapCost([&] { fillLedger(Book, Keys); });
}

double ledgerCost(std::size_t Keys) {
  ledger::State Book;
  return processorCost([&] { fillLedger(Book, Keys); });
}

/// Time, not processor time: a commit waits for the disk.
double commitCost(const std::string &Folder, std::size_t Records) {
  store::Files &Files = store::systemFiles();
  const std::string At = fmt::format("{}/commit-{}", Folder, Records);
  WASABIVALE_INVARIANT(
      !failed(store::Store::format(Files, At, "slopes", NodeId{"one"})));
  auto Opened = store::Store::open(Files, At, "slopes", NodeId{"one"});
  WASABIVALE_INVARIANT(!failed(Opened));
  const std::string Payload = finishOf(1).SerializeAsString();
  constexpr std::uint64_t Batches = 20;
  std::uint64_t Next = 1;
  const TimePoint Start = BootClock::now();
  for (std::uint64_t Batch = 0; Batch < Batches; ++Batch) {
    consensus::Persist Changes;
    for (std::size_t I = 0; I < Records; ++I) {
      consensus::Record Made;
      Made.m_Index = Next++;
      Made.m_Term = 1;
      Made.m_Kind = consensus::RecordKind::Command;
      Made.m_Payload = Payload;
      Changes.m_Records.push_back(Made);
    }
    WASABIVALE_INVARIANT(!failed(valueOf(Opened)->write(Changes)));
    WASABIVALE_INVARIANT(!failed(valueOf(Opened)->sync()));
  }
  return static_cast<double>((BootClock::now() - Start).count()) / Batches;
}

} // namespace

std::vector<Probe> decisionProbes() {
  return {
      {"choose_cpu", "ns", "target", {20, 134, 940}, chooseCost, Tries},
      {"target_memory", "bytes", "target", {20, 134, 940}, targetMemory},
      {"caller_memory", "bytes", "caller", {100, 400, 1200}, callerMemory},
      {"divide_shares_cpu", "ns", "entry", {10, 60, 360}, divideCost, Tries},
      {"planner_cpu", "ns", "engine", {20, 134, 235}, plannerCost, Tries},
      {"ledger_key_memory",
       "bytes",
       "key",
       {1000, 10'000, 50'000},
       ledgerMemory},
      {"ledger_key_cpu", "ns", "key", {1000, 10'000, 50'000}, ledgerCost, 3},
  };
}

std::vector<Probe> durableProbes(const std::string &Folder) {
  return {
      {"commit_time", "ns", "record", {1, 16, 256}, [Folder](std::size_t N) {
         return commitCost(Folder, N);
       }}};
}

} // namespace wasabivale::slopes
