/// \file
/// State of a run, shared by its parts: engines, entries and control.

#ifndef WASABIVALE_EXPERIMENT_STATE_H
#define WASABIVALE_EXPERIMENT_STATE_H

#include "World.h"
#include "enginemodel/enginemodel.h"
#include "limits/limits.h"

#include <deque>
#include <queue>
#include <unordered_map>

namespace wasabivale::experiment {

using JobIndex = std::uint32_t;
using TargetIndex = std::uint32_t;

/// What became of one arrival.
enum class JobState : std::uint8_t { Waiting, Prefilling, Running, Ended };

struct Job {
  JobState m_State = JobState::Waiting;
  std::uint32_t m_Entry = 0;
  limits::Ticket m_Ticket = 0;
  routing::TryId m_Try = 0;
  routing::Choice m_Choice;
  enginemodel::RunKey m_Run = 0;
  TargetIndex m_At = 0; ///< Where the present leg runs.
  bool m_SawFirst = false;
  std::uint32_t m_Made = 0; ///< Tokens made before its stream was moved.
};

/// An engine or service with what its heartbeats carry.
struct Target {
  enginemodel::Engine m_Engine;
  routing::Target m_Description;
  TimePoint m_NextEvent = TimePoint::max();
  bool m_Queued = false; ///< Listed in `World::m_Dirty`.
  std::uint64_t m_CacheSequence = 1;
  std::vector<routing::CacheEvent> m_CacheEvents; ///< Of this interval.
  std::optional<roles::Role> m_WantedRole;        ///< Draining for a change.
  TimePoint m_DrainingSince;
  bool m_Changing = false; ///< Away.
  Duration m_Busy{0};
  TimePoint m_BusySince;
  bool m_WasBusy = false;
};

/// Running mean of a caller's answers as a share of the tokens it asked for.
struct AnswerLength {
  double m_Share = 0.8;
};

struct Entry {
  routing::State m_Routing;
  limits::State m_Limits;
  Random m_Random;
  roles::Demand m_Demand; ///< Counted since the last report to control.
  std::vector<AnswerLength> m_Output; ///< By caller.
  std::unordered_map<limits::Ticket, JobIndex> m_Jobs;
};

/// A heartbeat on its way to the entries.
struct Heartbeat {
  TimePoint m_Arrives;
  TargetIndex m_From = 0;
  routing::LoadReport m_Load;
  std::vector<routing::CacheEvent> m_Cache;
  bool m_CacheLost = false;
};

/// A new description of a target on its way to the entries.
struct FleetNews {
  TimePoint m_Arrives;
  routing::Target m_Target;
};

struct DemandNews {
  TimePoint m_Arrives;
  roles::Demand m_Demand;
};

struct Control {
  limits::ShareTable m_Shares;
  roles::State m_Planner;
  std::deque<DemandNews> m_Demand;
  std::size_t m_NextPlan = 0;
  std::optional<Split> m_Wanted; ///< Of an informed run.
};

struct World {
  const Setup &m_Setup;
  const std::vector<Arrival> &m_Arrivals;
  TimePoint m_Now{};
  std::vector<Target> m_Targets{}; ///< Engines first, then services.
  std::unordered_map<TargetId, TargetIndex> m_ByTarget{};
  std::vector<Entry> m_Entries{};
  std::vector<Job> m_Jobs{}; ///< One for each arrival.
  std::unordered_map<enginemodel::RunKey, JobIndex> m_Runs{};
  enginemodel::RunKey m_NextRun = 1;
  std::deque<TargetIndex> m_Dirty{}; ///< Targets with events to take.
  std::priority_queue<std::pair<TimePoint, JobIndex>,
                      std::vector<std::pair<TimePoint, JobIndex>>,
                      std::greater<>>
      m_Deadlines{};
  std::deque<Heartbeat> m_Heartbeats{};
  std::deque<FleetNews> m_FleetNews{};
  Control m_Control{};
  Random m_Random{};
  RunResult m_Result{};
  std::vector<Duration> m_FirstTokens{};
};

// --- Engines --------------------------------------------------------------

void makeTargets(World &In);
/// Gives an engine and its description the rates of a role.
void setRates(const WorkloadSpec &Spec, Target &Of, roles::Role As);
/// Marks a target whose events must be taken.
void touch(World &In, TargetIndex Index);
/// Takes the events of every marked target and passes them on.
void settleTargets(World &In);
void sendHeartbeats(World &In, TargetIndex From);

// --- Entries --------------------------------------------------------------

void makeEntries(World &In);
void arrive(World &In, JobIndex Index);
void onRunFinished(World &In, JobIndex Index);
void onFirstToken(World &In, JobIndex Index);
/// Cancels a request whose deadline has passed.
void onDeadline(World &In, JobIndex Index);
/// Moves the streams of a draining target to others, with their KV.
void moveStreams(World &In, TargetIndex From);
/// Starts what waits and may start; refuses what is too late.
void serveQueue(World &In, std::uint32_t Entry);
void deliverNews(World &In);

// --- Control --------------------------------------------------------------

/// Once a second: shares, demand, role changes.
void controlTurn(World &In);
/// Takes an engine away as soon as a drain for its change is complete.
void advanceChanges(World &In);
void onRoleChanged(World &In, TargetIndex Index);

} // namespace wasabivale::experiment

#endif // WASABIVALE_EXPERIMENT_STATE_H
