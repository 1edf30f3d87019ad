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
constexpr Duration Renewal = 1s; ///< Of each entry's report and grant.
constexpr Duration RunTime = 400ms;
constexpr Duration Patience = 20s; ///< A caller gives up after that.

struct Job {
  Fingerprint m_Print = 0;
  std::size_t m_Entry = 0;
  TimePoint m_Arrived;
  std::optional<std::size_t> m_Target;
  TimePoint m_End;
  bool m_Alone = false;
  bool m_Failed = false; ///< Its target crashed.
  bool m_Done = false;
};

/// Entries that exchange reports and grants with control in turn, targets
/// that crash under the poison, and callers that send it again and again.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : m_Rng(Seed), m_Entries(EntryCount) {}

  void add(Fingerprint Print) {
    Job Made;
    Made.m_Print = Print;
    Made.m_Entry = m_Rng() % EntryCount;
    Made.m_Arrived = m_Now;
    m_Jobs.push_back(Made);
  }

  void turn() {
    m_Now += Tick;
    for (std::size_t I = 0; I < m_Jobs.size(); ++I)
      advance(m_Jobs[I]);
    const auto Phase = (m_Now.time_since_epoch() / Tick) % (Renewal / Tick);
    for (std::size_t I = 0; I < m_Entries.size(); ++I) {
      if (static_cast<std::size_t>(Phase) == I * 2)
        renew(I);
    }
  }

  [[nodiscard]] bool isDone(std::size_t Job) const {
    return m_Jobs[Job].m_Done;
  }
  [[nodiscard]] std::size_t count() const { return m_Jobs.size(); }

  int m_Lost = 0;
  int m_Refused = 0;
  int m_Innocent = 0; ///< Bystanders refused as quarantined or given up.

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

  void advance(Job &One) {
    if (One.m_Done)
      return;
    if (One.m_Target)
      return finishRun(One);
    SuspectTracker &Here = m_Entries[One.m_Entry];
    const GateDecision Decided = evaluateGate(Here, One.m_Print, m_Now);
    if (Decided.m_Gate == Gate::Quarantined)
      return end(One, true);
    // The answer to a request that saw a crash waits for control, too.
    if (m_Now > One.m_Arrived + Patience && Decided.m_Gate == Gate::Hold)
      return end(One, true);
    if (Decided.m_Gate == Gate::Hold)
      return;
    const bool Named = !Decided.m_Target.empty();
    start(One, Named ? static_cast<std::size_t>(
                           std::stoi(Decided.m_Target.m_Value.substr(7)))
                     : m_Rng() % TargetCount);
    One.m_Alone = Decided.m_Gate == Gate::Isolated;
  }

  void start(Job &One, std::size_t Target) {
    One.m_Target = Target;
    One.m_End = m_Now + RunTime;
    recordRunStart(m_Entries[One.m_Entry], One.m_Print, targetId(Target),
                   incarnation(Target));
  }

  void finishRun(Job &One) {
    if (m_Now < One.m_End)
      return;
    if (One.m_Print == Poison)
      return crashTarget(*One.m_Target);
    leave(One, true);
    end(One, false);
  }

  void leave(Job &One, bool Completed) {
    recordRunEnd(m_Entries[One.m_Entry], One.m_Print, targetId(*One.m_Target),
                 incarnation(*One.m_Target));
    if (One.m_Alone)
      endRerun(m_Control, One.m_Print, entryId(One.m_Entry), Completed, m_Now);
    One.m_Alone = false;
    One.m_Target.reset();
  }

  void crashTarget(std::size_t Target) {
    ++m_Lost;
    for (std::size_t I = 0; I < m_Entries.size(); ++I)
      recordCrash(m_Entries[I], targetId(Target), incarnation(Target), m_Now);
    for (Job &One : m_Jobs) {
      if (One.m_Target == Target) {
        recordRunEnd(m_Entries[One.m_Entry], One.m_Print, targetId(Target),
                     incarnation(Target));
        One.m_Target.reset();
        One.m_Alone = false;
        One.m_Failed = true;
      }
    }
    ++m_Crashes[Target];
  }

  void renew(std::size_t Index) {
    SuspectTracker &Here = m_Entries[Index];
    const NodeId Id = entryId(Index);
    recordEntryReport(m_Settlement, Id, Here.m_Revision, m_Now + 5s);
    for (const Crash &One : Here.m_Unreported)
      recordCrashApplied(m_Settlement, Id, applyCrash(m_Control, One, m_Now));
    Here.m_Unreported.clear();
    for (const Job &One : m_Jobs) {
      if (One.m_Entry == Index && !One.m_Done && !One.m_Target &&
          evaluateGate(Here, One.m_Print, m_Now).m_Gate == Gate::Hold)
        permitRerun(m_Control, One.m_Print, Id, targetId(m_Rng() % TargetCount),
                    m_Now);
    }
    applyNotices(Here, suspectNotices(m_Control, Id, m_Now),
                 m_Control.m_Revision, crashesSettled(m_Settlement, Id, m_Now),
                 m_Now);
  }

  void end(Job &One, bool Refused) {
    One.m_Done = true;
    if (!Refused)
      return;
    ++(One.m_Print == Poison ? m_Refused : m_Innocent);
  }

  Random m_Rng;
  TimePoint m_Now = TimePoint(1000s);
  std::vector<SuspectTracker> m_Entries;
  std::vector<Job> m_Jobs;
  std::array<int, TargetCount> m_Crashes{};
  Suspicion m_Control;
  NoticePropagation m_Settlement;
};

} // namespace

SCENARIO("a poison request sent 50 times takes two targets at most") {
  for (std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U}) {
    Fleet Running(Seed);
    int Sent = 0;
    std::size_t Last = 0;
    // Others arrive all the time; one in ten repeats an earlier request.
    for (int Turn = 0; Turn < 4000; ++Turn) {
      if (Turn % 5 == 0)
        Running.add(100 + static_cast<Fingerprint>(Turn % BystanderCount));
      const bool Again = Sent == 0 || Running.isDone(Last);
      if (Turn > 20 && Sent < 50 && Again) {
        Last = Running.count();
        Running.add(Poison);
        ++Sent;
      }
      Running.turn();
    }
    CAPTURE(Seed, Running.m_Lost, Running.m_Refused, Running.m_Innocent);
    CHECK(Sent == 50);
    CHECK(Running.m_Refused >= 49);
    CHECK(Running.m_Lost <= static_cast<int>(MaxTargetsLost));
    CHECK(Running.m_Innocent == 0);
  }
}

SCENARIO("copies sent to all entries at once take one target each, plus one") {
  for (std::uint64_t Seed : {1U, 2U, 3U}) {
    Fleet Running(Seed);
    for (int I = 0; I < 50; ++I)
      Running.add(Poison);
    for (int Turn = 0; Turn < 2000; ++Turn)
      Running.turn();
    CAPTURE(Seed, Running.m_Lost, Running.m_Refused);
    CHECK(Running.m_Refused == 50);
    CHECK(Running.m_Lost <= EntryCount + 1);
  }
}
