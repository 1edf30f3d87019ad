// Consistency checks of a whole state, for tests and soak runs.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

struct CallerCounts {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
};

void verifyQueue(const State &Entry, const ModelQueue &Queue) {
  double WaitingWeight = 0;
  double DemandWeight = 0;
  double Work = 0;
  std::size_t Scheduled = 0;
  std::uint32_t Running = 0;
  for (const auto &[Index, Flow] : Queue.m_Flows) {
    Scheduled += Flow.m_Scheduled ? 1 : 0;
    Work += Flow.m_Work;
    Running += Flow.m_Running;
    DemandWeight += Flow.m_HasDemand ? Entry.m_Callers[Index].m_Weight : 0;
    WASABIVALE_INVARIANT(Flow.m_HasDemand == Queue.m_RecentDemand.contains(
                                                 {Flow.m_LastArrival, Index}));
    if (!Flow.m_Waiting.empty())
      WaitingWeight += Entry.m_Callers[Index].m_Weight;
    WASABIVALE_INVARIANT(!Flow.m_Scheduled || !Flow.m_Waiting.empty());
    WASABIVALE_INVARIANT(!Flow.m_Scheduled ||
                         Queue.m_Order.contains({Flow.m_Key, Index}));
  }
  constexpr double Rounding = 1e-6;
  WASABIVALE_INVARIANT(Running == Queue.m_Running);
  WASABIVALE_INVARIANT(std::abs(DemandWeight - Queue.m_DemandWeight) <
                       Rounding);
  WASABIVALE_INVARIANT(Scheduled == Queue.m_Order.size());
  WASABIVALE_INVARIANT(Scheduled == Queue.m_ByLastStart.size());
  WASABIVALE_INVARIANT(std::abs(Work - Queue.m_Work) < Rounding);
  WASABIVALE_INVARIANT(std::abs(WaitingWeight - Queue.m_WaitingWeight) <
                       Rounding);
}

} // namespace

void verify(const State &Entry) {
  std::vector<CallerCounts> Sums(Entry.m_Callers.size());
  std::unordered_map<ModelId, std::uint32_t> Continued;
  std::size_t Queued = 0;
  for (const auto &[Id, Request] : Entry.m_Active) {
    CallerCounts &Sum = Sums[Request.m_Caller];
    ++(Request.m_Running ? Sum.m_Running : Sum.m_Queued);
    Queued += Request.m_Running ? 0 : 1;
    Continued[Request.m_Model] +=
        Request.m_Running && Request.m_IsContinued ? 1 : 0;
  }
  for (std::size_t I = 0; I < Sums.size(); ++I) {
    const CallerState &Caller = Entry.m_Callers[I];
    WASABIVALE_INVARIANT(Caller.m_Running == Sums[I].m_Running);
    WASABIVALE_INVARIANT(Caller.m_Queued == Sums[I].m_Queued);
  }
  WASABIVALE_INVARIANT(Queued == Entry.m_QueuedCount);
  WASABIVALE_INVARIANT(Queued == Entry.m_ByLatestStart.size());
  WASABIVALE_INVARIANT(Entry.m_Active.size() == Queued + Entry.m_RunningCount);
  WASABIVALE_INVARIANT(Queued <= Entry.m_Settings.m_MaxQueued);
  for (const auto &[Model, Queue] : Entry.m_Models) {
    verifyQueue(Entry, Queue);
    WASABIVALE_INVARIANT(Queue.m_Continued == Continued[Model]);
  }
}

} // namespace wasabivale::limits
