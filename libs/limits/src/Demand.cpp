// Recent demand for a model, and callers' fair shares of its slots.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

void removeOldDemand(const State &Entry, ModelQueue &Queue, TimePoint Now) {
  while (!Queue.m_RecentDemand.empty()) {
    const auto [LastArrival, Index] = *Queue.m_RecentDemand.begin();
    if (Now - LastArrival <= Entry.m_Settings.m_DemandWindow)
      return;
    removeDemand(Entry, Queue, Index, Queue.m_Flows.at(Index));
  }
}

} // namespace

void recordDemand(State &Entry, ModelQueue &Queue, CallerIndex Index,
                  TimePoint Now) {
  CallerFlow &Flow = Queue.m_Flows[Index];
  removeDemand(Entry, Queue, Index, Flow);
  Flow.m_LastArrival = Now;
  Flow.m_HasDemand = true;
  Queue.m_RecentDemand.insert({Now, Index});
  Queue.m_DemandWeight += Entry.m_Callers[Index].m_Weight;
  removeOldDemand(Entry, Queue, Now);
}

void removeDemand(const State &Entry, ModelQueue &Queue, CallerIndex Index,
                  CallerFlow &Flow) {
  if (!Flow.m_HasDemand)
    return;
  Queue.m_RecentDemand.erase({Flow.m_LastArrival, Index});
  Flow.m_HasDemand = false;
  Queue.m_DemandWeight -= Entry.m_Callers[Index].m_Weight;
  if (Queue.m_RecentDemand.empty())
    Queue.m_DemandWeight = 0; // Clears the rounding error.
}

bool isOverFairShare(const State &Entry, const ModelQueue &Queue,
                     CallerIndex Index, double ActiveCount) {
  const CallerFlow &Flow = Queue.m_Flows.at(Index);
  const double Weight = Entry.m_Callers[Index].m_Weight;
  const double Weights = Queue.m_DemandWeight + (Flow.m_HasDemand ? 0 : Weight);
  const double Count = ActiveCount + 1;
  constexpr double Rounding = 1e-9;
  return Count * Weights > (Queue.m_Running + 1) * Weight + Rounding;
}

bool hasFreeSlotFor(const State &Entry, const ModelQueue &Queue,
                    CallerIndex Index, const Capacity &Available) {
  const std::uint32_t Running = Queue.m_Flows.at(Index).m_Running;
  double Reserved = 0;
  if (isOverFairShare(Entry, Queue, Index, Running))
    Reserved =
        std::floor(Entry.m_Settings.m_ReservedFraction * Available.m_Slots);
  return Available.m_FreeSlots > Reserved;
}

} // namespace wasabivale::limits
