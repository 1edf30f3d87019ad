#include "retries/retries.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::retries;
using namespace std::chrono_literals;

namespace {

constexpr int EntryCount = 7;
constexpr int TargetCount = 20;
constexpr int BystanderCount = 200;
constexpr Fingerprint Poison = 1;
constexpr Duration Tick = 50ms;
constexpr Duration RenewalInterval = 1s; ///< Between reports of an entry.
constexpr Duration RunTime = 400ms;
constexpr Duration CallerTimeout = 20s; ///< Longest wait of a caller.

struct Job {
  Fingerprint m_Fingerprint = 0;
  std::size_t m_Entry = 0;
  TimePoint m_ArrivedAt;
  std::optional<std::size_t> m_Target;
  TimePoint m_EndsAt;
  bool m_Isolated = false;
  bool m_Failed = false; ///< Its target crashed.
  bool m_Done = false;
};

/// Simulates entries that exchange reports and notices with control, targets
/// that crash when they run the poison request, and callers that keep resending
/// it.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : m_Rng(Seed), m_Entries(EntryCount) {}

  void add(Fingerprint Hash) {
    Job Added;
    Added.m_Fingerprint = Hash;
    Added.m_Entry = m_Rng() % EntryCount;
    Added.m_ArrivedAt = m_Now;
    m_Jobs.push_back(Added);
  }

  void step() {
    m_Now += Tick;
    for (std::size_t I = 0; I < m_Jobs.size(); ++I)
      advance(m_Jobs[I]);
    const auto Phase =
        (m_Now.time_since_epoch() / Tick) % (RenewalInterval / Tick);
    for (std::size_t I = 0; I < m_Entries.size(); ++I) {
      if (static_cast<std::size_t>(Phase) == I * 2)
        renew(I);
    }
  }

  [[nodiscard]] bool isDone(std::size_t Job) const {
    return m_Jobs[Job].m_Done;
  }
  [[nodiscard]] std::size_t count() const { return m_Jobs.size(); }

  int m_CrashCount = 0;
  int m_Refused = 0;
  int m_RefusedBystanders = 0; ///< Bystanders refused by quarantine or timeout.

private:
  static TargetId targetId(std::size_t Index) {
    return {"engine-" + std::to_string(Index)};
  }
  NodeId entryId(std::size_t Index) const {
    return {"entry-" + std::to_string(Index)};
  }
  std::string incarnation(std::size_t Target) const {
    return std::to_string(m_Crashes[Target]);
  }

  void advance(Job &Current) {
    if (Current.m_Done)
      return;
    if (Current.m_Target)
      return finishRun(Current);
    SuspectTracker &Tracker = m_Entries[Current.m_Entry];
    const GateDecision Decision =
        evaluateGate(Tracker, Current.m_Fingerprint, m_Now);
    if (Decision.m_Gate == Gate::Quarantined)
      return complete(Current, true);
    // A request whose target crashed also waits for control to answer it.
    if (m_Now > Current.m_ArrivedAt + CallerTimeout &&
        Decision.m_Gate == Gate::Hold)
      return complete(Current, true);
    if (Decision.m_Gate == Gate::Hold)
      return;
    const bool HasTarget = !Decision.m_Target.empty();
    start(Current, HasTarget ? static_cast<std::size_t>(std::stoi(
                                   Decision.m_Target.m_Value.substr(7)))
                             : m_Rng() % TargetCount);
    Current.m_Isolated = Decision.m_Gate == Gate::Isolated;
  }

  void start(Job &Current, std::size_t Target) {
    Current.m_Target = Target;
    Current.m_EndsAt = m_Now + RunTime;
    recordRunStart(m_Entries[Current.m_Entry], Current.m_Fingerprint,
                   targetId(Target), incarnation(Target));
  }

  void finishRun(Job &Current) {
    if (m_Now < Current.m_EndsAt)
      return;
    if (Current.m_Fingerprint == Poison)
      return crashTarget(*Current.m_Target);
    endRun(Current, true);
    complete(Current, false);
  }

  void endRun(Job &Current, bool Completed) {
    recordRunEnd(m_Entries[Current.m_Entry], Current.m_Fingerprint,
                 targetId(*Current.m_Target), incarnation(*Current.m_Target));
    if (Current.m_Isolated)
      endRerun(m_Control, Current.m_Fingerprint, entryId(Current.m_Entry),
               Completed, m_Now);
    Current.m_Isolated = false;
    Current.m_Target.reset();
  }

  void crashTarget(std::size_t Target) {
    ++m_CrashCount;
    for (std::size_t I = 0; I < m_Entries.size(); ++I)
      recordCrash(m_Entries[I], targetId(Target), incarnation(Target), m_Now);
    for (Job &Current : m_Jobs) {
      if (Current.m_Target == Target) {
        recordRunEnd(m_Entries[Current.m_Entry], Current.m_Fingerprint,
                     targetId(Target), incarnation(Target));
        Current.m_Target.reset();
        Current.m_Isolated = false;
        Current.m_Failed = true;
      }
    }
    ++m_Crashes[Target];
  }

  void renew(std::size_t Index) {
    SuspectTracker &Tracker = m_Entries[Index];
    const NodeId Id = entryId(Index);
    recordEntryReport(m_Propagation, Id, Tracker.m_Revision, m_Now + 5s);
    for (const Crash &Report : Tracker.m_Unreported)
      recordCrashApplied(m_Propagation, Id,
                         applyCrash(m_Control, Report, m_Now));
    Tracker.m_Unreported.clear();
    for (const Job &Current : m_Jobs) {
      if (Current.m_Entry == Index && !Current.m_Done && !Current.m_Target &&
          evaluateGate(Tracker, Current.m_Fingerprint, m_Now).m_Gate ==
              Gate::Hold)
        permitRerun(m_Control, Current.m_Fingerprint, Id,
                    targetId(m_Rng() % TargetCount), m_Now);
    }
    applyNotices(Tracker, suspectNotices(m_Control, Id, m_Now),
                 m_Control.m_Revision, crashesSettled(m_Propagation, Id, m_Now),
                 m_Now);
  }

  void complete(Job &Current, bool Refused) {
    Current.m_Done = true;
    if (!Refused)
      return;
    ++(Current.m_Fingerprint == Poison ? m_Refused : m_RefusedBystanders);
  }

  Random m_Rng;
  TimePoint m_Now = TimePoint(1000s);
  std::vector<SuspectTracker> m_Entries;
  std::vector<Job> m_Jobs;
  std::array<int, TargetCount> m_Crashes{};
  SuspectTable m_Control;
  NoticePropagation m_Propagation;
};

} // namespace

SCENARIO("a poison request sent 50 times crashes at most two targets") {
  for (std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U}) {
    Fleet Simulation(Seed);
    int Sent = 0;
    std::size_t Last = 0;
    // Other requests keep arriving; one in ten repeats an earlier one.
    for (int Step = 0; Step < 4000; ++Step) {
      if (Step % 5 == 0)
        Simulation.add(100 + static_cast<Fingerprint>(Step % BystanderCount));
      const bool MaySend = Sent == 0 || Simulation.isDone(Last);
      if (Step > 20 && Sent < 50 && MaySend) {
        Last = Simulation.count();
        Simulation.add(Poison);
        ++Sent;
      }
      Simulation.step();
    }
    CAPTURE(Seed, Simulation.m_CrashCount, Simulation.m_Refused,
            Simulation.m_RefusedBystanders);
    CHECK(Sent == 50);
    CHECK(Simulation.m_Refused >= 49);
    CHECK(Simulation.m_CrashCount <= static_cast<int>(MaxTargetsLost));
    CHECK(Simulation.m_RefusedBystanders == 0);
  }
}

SCENARIO("copies sent to all entries at once crash one target each, plus one") {
  for (std::uint64_t Seed : {1U, 2U, 3U}) {
    Fleet Simulation(Seed);
    for (int I = 0; I < 50; ++I)
      Simulation.add(Poison);
    for (int Step = 0; Step < 2000; ++Step)
      Simulation.step();
    CAPTURE(Seed, Simulation.m_CrashCount, Simulation.m_Refused);
    CHECK(Simulation.m_Refused == 50);
    CHECK(Simulation.m_CrashCount <= EntryCount + 1);
  }
}
