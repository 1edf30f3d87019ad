#include "State.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::experiment {

namespace {

using namespace std::chrono_literals;

/// Least time between two looks at queues, news and changes.
constexpr Duration TickLength = 50ms;
constexpr std::uint64_t TicksPerSecond = 1s / TickLength;
/// How long the run goes on after the last arrival.
constexpr Duration Tail = 60s;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

TimePoint nextTargetEvent(const World &In) {
  TimePoint Next = TimePoint::max();
  for (const Target &Each : In.m_Targets)
    Next = std::min(Next, Each.m_NextEvent);
  return Next;
}

void touchDueTargets(World &In) {
  for (TargetIndex Index = 0; Index < In.m_Targets.size(); ++Index)
    if (In.m_Targets[Index].m_NextEvent <= In.m_Now)
      touch(In, Index);
}

/// Heartbeats are spread over the second by target.
void tick(World &In, std::uint64_t Number) {
  for (TargetIndex Index = 0; Index < In.m_Targets.size(); ++Index)
    if (Number % TicksPerSecond == Index % TicksPerSecond) {
      touch(In, Index);
      settleTargets(In);
      sendHeartbeats(In, Index);
    }
  deliverNews(In);
  if (Number % TicksPerSecond == 0)
    controlTurn(In);
  advanceChanges(In);
  for (std::uint32_t Entry = 0; Entry < In.m_Entries.size(); ++Entry)
    serveQueue(In, Entry);
}

void passDeadlines(World &In) {
  while (!In.m_Deadlines.empty() && In.m_Deadlines.top().first <= In.m_Now) {
    JobIndex Index = In.m_Deadlines.top().second;
    In.m_Deadlines.pop();
    onDeadline(In, Index);
  }
}

Duration quantile(std::vector<Duration> &Of, double Part) {
  if (Of.empty())
    return Duration{0};
  auto Place =
      static_cast<std::ptrdiff_t>(Part * static_cast<double>(Of.size() - 1));
  std::nth_element(Of.begin(), Of.begin() + Place, Of.end());
  return Of[static_cast<std::size_t>(Place)];
}

void finishResult(World &In) {
  RunResult &Made = In.m_Result;
  double Length = seconds(lengthOf(In.m_Setup.m_Workload.m_Schedule));
  Made.m_GoodputPerSecond = static_cast<double>(Made.m_InTime) / Length;
  Made.m_FirstTokenMedian = quantile(In.m_FirstTokens, 0.5);
  Made.m_FirstTokenP95 = quantile(In.m_FirstTokens, 0.95);
  double Busy = 0;
  for (TargetIndex Index = 0; Index < In.m_Setup.m_Workload.m_Engines; ++Index)
    Busy += seconds(In.m_Targets[Index].m_Busy);
  Made.m_BusyShare = Busy / (Length * In.m_Setup.m_Workload.m_Engines);
  routing::Counters Sum;
  for (const Entry &Each : In.m_Entries) {
    Sum.m_CachedBlocks += Each.m_Routing.m_Counters.m_CachedBlocks;
    Sum.m_RequestedBlocks += Each.m_Routing.m_Counters.m_RequestedBlocks;
  }
  if (Sum.m_RequestedBlocks > 0)
    Made.m_HitShare = static_cast<double>(Sum.m_CachedBlocks) /
                      static_cast<double>(Sum.m_RequestedBlocks);
}

} // namespace

std::string printSplit(const Split &Of) {
  return fmt::format("{}m+{}p+{}d", Of[0], Of[1], Of[2]);
}

RunResult run(const Setup &What, const std::vector<Arrival> &Arrivals) {
  World In{What, Arrivals};
  In.m_Random.seed(What.m_Workload.m_Seed);
  In.m_Jobs.resize(Arrivals.size());
  In.m_Result.m_Callers.resize(What.m_Workload.m_Callers.size());
  In.m_Control.m_Shares.m_Entries = What.m_Entries;
  makeTargets(In);
  makeEntries(In);
  TimePoint End = TimePoint{} + lengthOf(What.m_Workload.m_Schedule) + Tail;
  std::uint64_t Ticks = 0;
  JobIndex Next = 0;
  while (In.m_Now < End) {
    TimePoint TickAt = TimePoint{} + TickLength * static_cast<int>(Ticks);
    TimePoint ArrivalAt =
        Next < Arrivals.size() ? Arrivals[Next].m_At : TimePoint::max();
    TimePoint DeadlineAt =
        In.m_Deadlines.empty() ? TimePoint::max() : In.m_Deadlines.top().first;
    In.m_Now = std::max(In.m_Now, std::min({TickAt, ArrivalAt, DeadlineAt,
                                            nextTargetEvent(In)}));
    touchDueTargets(In);
    settleTargets(In);
    passDeadlines(In);
    if (TickAt <= In.m_Now)
      tick(In, Ticks++);
    if (ArrivalAt <= In.m_Now)
      arrive(In, Next++);
    settleTargets(In);
  }
  finishResult(In);
  return std::move(In.m_Result);
}

} // namespace wasabivale::experiment
