#include "Benches.h"
#include "limits/limits.h"

#include <deque>

namespace wasabivale::decisionbench {

namespace {

using namespace std::chrono_literals;
using namespace limits;

constexpr std::uint64_t AdmitCalls = 20000;
constexpr std::uint32_t FleetCallers = 1200;
constexpr std::uint32_t FleetEntries = 360;
constexpr std::uint32_t Slots = 64;

CallerId callerId(std::uint64_t Number) {
  return {"caller-" + std::to_string(Number)};
}

State entryOf(std::uint32_t Callers, TimePoint Now) {
  State Entry;
  const Limits Share{1e6, 1e9, 1e9, 1000};
  for (std::uint32_t I = 0; I < Callers; ++I)
    setShare(Entry, callerId(I), 1 + I % 4, Share, TimePoint::max(), Now);
  return Entry;
}

/// An entry in use. With \p Load above the slots, requests queue and some are
/// refused.
class Traffic {
public:
  Traffic(std::uint32_t Callers, bool Overload)
      : m_Entry(entryOf(Callers, m_Now)), m_Callers(Callers),
        m_ArrivalsEach(Overload ? 3 : 1) {}

  void step() {
    m_Now += 1ms;
    for (std::uint32_t I = 0; I < m_ArrivalsEach; ++I)
      arrive();
    if (m_Running.size() >= Slots)
      end();
    expire(m_Entry, m_Now);
  }

  [[nodiscard]] std::uint32_t arrivalsEach() const { return m_ArrivalsEach; }

private:
  [[nodiscard]] Capacity room() const {
    return {Slots - static_cast<std::uint32_t>(m_Running.size()), Slots};
  }

  void arrive() {
    AdmissionRequest Wanted;
    Wanted.m_Caller = callerId(m_Rng() % m_Callers);
    Wanted.m_Model = m_Model;
    Wanted.m_Priority = static_cast<unsigned>(m_Rng() % 10);
    Wanted.m_PromptTokens = 1000;
    Wanted.m_OutputTokens = 200;
    Wanted.m_ServiceTime = 60ms;
    Wanted.m_Deadline = m_Now + 400ms;
    Wanted.m_Capacity = room();
    const Decision Made = admit(m_Entry, Wanted, m_Now);
    if (const auto *Started = std::get_if<Admitted>(&Made.m_Verdict))
      m_Running.push_back(Started->m_Ticket);
  }

  void end() {
    finish(m_Entry, m_Running.front(), {1000, 200, true}, m_Now);
    m_Running.pop_front();
    const CapacityView View = [this](const ModelId &) { return room(); };
    while (const auto Next = nextToStart(m_Entry, m_Now, View))
      m_Running.push_back(*Next);
  }

  TimePoint m_Now{1000s};
  State m_Entry;
  std::uint32_t m_Callers;
  std::uint32_t m_ArrivalsEach;
  ModelId m_Model{"model-0"};
  Random m_Rng{1};
  std::deque<Ticket> m_Running;
};

void benchAdmit(std::vector<Row> &Rows, bool Overload) {
  const std::string Name = Overload ? "admit_overload_" : "admit_";
  for (std::uint32_t Callers : {10U, 100U, FleetCallers}) {
    Traffic Run(Callers, Overload);
    Cost Each = measure(AdmitCalls, [&] { Run.step(); });
    Each.m_Nanoseconds /= Run.arrivalsEach();
    if (Each.m_Instructions)
      *Each.m_Instructions /= Run.arrivalsEach();
    addCost(Rows, Name + std::to_string(Callers) + "_callers", Each);
  }
}

std::vector<Demand> drawDemands(Random &Rng) {
  std::vector<Demand> Wanted(FleetEntries);
  for (Demand &One : Wanted)
    One = {static_cast<double>(Rng() % 10), static_cast<double>(Rng() % 10000),
           static_cast<double>(Rng() % 2000), static_cast<double>(Rng() % 5)};
  return Wanted;
}

void benchDivision(std::vector<Row> &Rows) {
  Random Rng(1);
  const std::vector<Demand> Wanted = drawDemands(Rng);
  const Limits Limit{1000, 1e6, 2e5, 600};
  const Cost One = measure(FleetCallers, [&] { divideShares(Limit, Wanted); });
  Rows.push_back({"divide_shares_1200_callers_360_entries",
                  One.m_Nanoseconds * FleetCallers / 1e6, "ms"});
  ShareTable Table;
  Table.m_Entries = FleetEntries;
  std::uint64_t Next = 0;
  TimePoint Now{1000s};
  std::vector<NodeId> Entries;
  for (std::uint32_t I = 0; I < FleetEntries; ++I)
    Entries.push_back({"entry-" + std::to_string(I)});
  // Each entry renews the shares of the callers that it saw in the last second.
  constexpr std::uint64_t ActiveEach = 30;
  const Cost Renewal = measure(FleetEntries * ActiveEach, [&] {
    const std::uint64_t Entry = Next / ActiveEach % FleetEntries;
    const std::uint64_t Caller = Next * 7919 % FleetCallers;
    Now += 1s / (FleetEntries * ActiveEach);
    renewShare(Table, callerId(Caller), Limit, Entries[Entry],
               Wanted[Next++ % FleetEntries], Now + 5s, Now);
  });
  addCost(Rows, "renew_share", Renewal);
}

void benchTargetLimits(std::vector<Row> &Rows) {
  constexpr int Limited = 94; // A tenth of the targets to design for.
  TargetLimitTable Table;
  for (int I = 0; I < Limited; ++I)
    applyTargetLimit(Table, "10.0.0." + std::to_string(I) + ":80", 4,
                     TimePoint(1000s));
  std::vector<NodeId> Entries;
  Entries.reserve(FleetEntries);
  for (std::uint64_t I = 0; I < FleetEntries; ++I)
    Entries.push_back({"entry-" + std::to_string(I)});
  TargetDivisions Divisions;
  addCost(Rows, "divide_94_target_limits",
          measure(20, [&] { Divisions = divideTargetLimits(Table, Entries); }));
  addCost(Rows, "rates_of_94_target_limits",
          measure(1000, [&] { ratesOf(Divisions, Entries.front()); }));
}

void benchMemory(std::vector<Row> &Rows) {
  const TimePoint Now{1000s};
  const std::int64_t Before = heldBytes();
  State Entry = entryOf(FleetCallers, Now);
  const std::int64_t Idle = heldBytes();
  Rows.push_back({"memory_caller",
                  static_cast<double>(Idle - Before) / FleetCallers, "bytes"});
  constexpr std::uint32_t Waiting = 500;
  for (std::uint32_t I = 0; I < Waiting; ++I) {
    AdmissionRequest Wanted;
    Wanted.m_Caller = callerId(I % 100);
    Wanted.m_Model = {"model-0"};
    Wanted.m_Deadline = Now + 1h;
    Wanted.m_ServiceTime = 1ms;
    Wanted.m_Capacity = {0, 64};
    admit(Entry, Wanted, Now);
  }
  Rows.push_back({"memory_waiting_request",
                  static_cast<double>(heldBytes() - Idle) / Waiting, "bytes"});
}

} // namespace

std::vector<Row> benchLimits() {
  std::vector<Row> Rows;
  benchAdmit(Rows, false);
  benchAdmit(Rows, true);
  benchDivision(Rows);
  benchTargetLimits(Rows);
  benchMemory(Rows);
  return Rows;
}

} // namespace wasabivale::decisionbench
