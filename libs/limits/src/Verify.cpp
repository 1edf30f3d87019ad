// Slow checks of a whole state, for tests and soak runs.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

struct Counted {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
};

void verifyQueue(const State &Entry, const ModelQueue &Queue) {
  double Weights = 0;
  double Wanting = 0;
  double Work = 0;
  std::size_t Listed = 0;
  std::uint32_t Running = 0;
  for (const auto &[Index, Line] : Queue.m_Flows) {
    Listed += Line.m_Listed ? 1 : 0;
    Work += Line.m_Work;
    Running += Line.m_Running;
    Wanting += Line.m_Wanting ? Entry.m_Callers[Index].m_Weight : 0;
    WASABIVALE_INVARIANT(Line.m_Wanting ==
                         Queue.m_Wanting.contains({Line.m_WantedAt, Index}));
    if (!Line.m_Waiting.empty())
      Weights += Entry.m_Callers[Index].m_Weight;
    WASABIVALE_INVARIANT(!Line.m_Listed || !Line.m_Waiting.empty());
    WASABIVALE_INVARIANT(!Line.m_Listed ||
                         Queue.m_Order.contains({Line.m_Key, Index}));
  }
  constexpr double Rounding = 1e-6;
  WASABIVALE_INVARIANT(Running == Queue.m_Running);
  WASABIVALE_INVARIANT(std::abs(Wanting - Queue.m_WantingWeights) < Rounding);
  WASABIVALE_INVARIANT(Listed == Queue.m_Order.size());
  WASABIVALE_INVARIANT(Listed == Queue.m_Starved.size());
  WASABIVALE_INVARIANT(std::abs(Work - Queue.m_Work) < Rounding);
  WASABIVALE_INVARIANT(std::abs(Weights - Queue.m_Weights) < Rounding);
}

} // namespace

void verify(const State &Entry) {
  std::vector<Counted> Sums(Entry.m_Callers.size());
  std::size_t Queued = 0;
  for (const auto &[Id, Request] : Entry.m_Held) {
    Counted &Sum = Sums[Request.m_Caller];
    ++(Request.m_Running ? Sum.m_Running : Sum.m_Queued);
    Queued += Request.m_Running ? 0 : 1;
  }
  for (std::size_t I = 0; I < Sums.size(); ++I) {
    const Caller &Who = Entry.m_Callers[I];
    WASABIVALE_INVARIANT(Who.m_Running == Sums[I].m_Running);
    WASABIVALE_INVARIANT(Who.m_Queued == Sums[I].m_Queued);
  }
  WASABIVALE_INVARIANT(Queued == Entry.m_QueuedCount);
  WASABIVALE_INVARIANT(Queued == Entry.m_ByLatestStart.size());
  WASABIVALE_INVARIANT(Entry.m_Held.size() == Queued + Entry.m_RunningCount);
  WASABIVALE_INVARIANT(Queued <= Entry.m_Settings.m_MaxQueued);
  for (const auto &[Model, Queue] : Entry.m_Models)
    verifyQueue(Entry, Queue);
}

} // namespace wasabivale::limits
