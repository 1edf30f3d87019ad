// Callers' parts of a model: who wants one, and who has more than it.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

void forgetOldDemand(const State &Entry, ModelQueue &Queue, TimePoint Now) {
  while (!Queue.m_Wanting.empty()) {
    const auto [WantedAt, Index] = *Queue.m_Wanting.begin();
    if (Now - WantedAt <= Entry.m_Settings.m_DemandMemory)
      return;
    dropDemand(Entry, Queue, Index, Queue.m_Flows.at(Index));
  }
}

} // namespace

void noteDemand(State &Entry, ModelQueue &Queue, CallerIndex Index,
                TimePoint Now) {
  Flow &Line = Queue.m_Flows[Index];
  dropDemand(Entry, Queue, Index, Line);
  Line.m_WantedAt = Now;
  Line.m_Wanting = true;
  Queue.m_Wanting.insert({Now, Index});
  Queue.m_WantingWeights += Entry.m_Callers[Index].m_Weight;
  forgetOldDemand(Entry, Queue, Now);
}

void dropDemand(const State &Entry, ModelQueue &Queue, CallerIndex Index,
                Flow &Line) {
  if (!Line.m_Wanting)
    return;
  Queue.m_Wanting.erase({Line.m_WantedAt, Index});
  Line.m_Wanting = false;
  Queue.m_WantingWeights -= Entry.m_Callers[Index].m_Weight;
  if (Queue.m_Wanting.empty())
    Queue.m_WantingWeights = 0; // Sheds what rounding left.
}

bool isOverPart(const State &Entry, const ModelQueue &Queue, CallerIndex Index,
                double InPlace) {
  const Flow &Line = Queue.m_Flows.at(Index);
  const double Weight = Entry.m_Callers[Index].m_Weight;
  const double Weights = Queue.m_WantingWeights + (Line.m_Wanting ? 0 : Weight);
  const double Has = InPlace + 1;
  constexpr double Rounding = 1e-9;
  return Has * Weights > (Queue.m_Running + 1) * Weight + Rounding;
}

bool hasRoomFor(const State &Entry, const ModelQueue &Queue, CallerIndex Index,
                const Capacity &Room) {
  const std::uint32_t Running = Queue.m_Flows.at(Index).m_Running;
  double Reserve = 0;
  if (isOverPart(Entry, Queue, Index, Running))
    Reserve = std::floor(Entry.m_Settings.m_Reserve * Room.m_Slots);
  return Room.m_FreeSlots > Reserve;
}

} // namespace wasabivale::limits
