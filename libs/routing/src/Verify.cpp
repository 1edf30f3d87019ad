// Slow consistency checks of a whole state, for tests and soak runs.

#include "Internal.h"

namespace wasabivale::routing {

namespace {

void verifyWork(const State &Fleet) {
  std::vector<Work> Sums(Fleet.m_Slots.size());
  for (const auto &[Id, Attempt] : Fleet.m_Tries) {
    Work &RunWork = Sums[Attempt.m_Run];
    ++RunWork.m_Requests;
    RunWork.m_KvBlocks += Attempt.m_KvBlocks;
    RunWork.m_Decoding += Attempt.m_Decoding ? 1 : 0;
    Sums[Attempt.m_Prefill.value_or(Attempt.m_Run)].m_PromptTokens +=
        Attempt.m_PromptTokens;
    RunWork.m_Incoming += Attempt.m_Prefill ? 1 : 0;
    if (Attempt.m_Prefill)
      ++Sums[*Attempt.m_Prefill].m_Requests;
  }
  for (std::size_t I = 0; I < Sums.size(); ++I) {
    const Slot &TargetSlot = Fleet.m_Slots[I];
    WASABIVALE_INVARIANT(TargetSlot.m_Own.m_Requests == Sums[I].m_Requests);
    WASABIVALE_INVARIANT(TargetSlot.m_Own.m_Incoming == Sums[I].m_Incoming);
    WASABIVALE_INVARIANT(TargetSlot.m_Own.m_Decoding == Sums[I].m_Decoding);
    WASABIVALE_INVARIANT(TargetSlot.m_Own.m_PromptTokens ==
                         Sums[I].m_PromptTokens);
    WASABIVALE_INVARIANT(TargetSlot.m_Own.m_KvBlocks == Sums[I].m_KvBlocks);
    std::uint32_t Generations = 0;
    for (const auto &[Generation, Tries] : TargetSlot.m_ByGeneration)
      Generations += Tries;
    WASABIVALE_INVARIANT(Generations == Sums[I].m_Requests);
  }
}

void verifyPool(const State &Fleet, const Pool &TargetPool) {
  std::size_t Serving = TargetPool.m_Ejected.size();
  for (std::size_t RoleIndex = 0; RoleIndex < TargetPool.m_ByRole.size();
       ++RoleIndex) {
    Serving += TargetPool.m_ByRole[RoleIndex].size();
    PoolTotals Remainder = TargetPool.m_Totals[RoleIndex];
    for (SlotIndex Index : TargetPool.m_ByRole[RoleIndex]) {
      WASABIVALE_INVARIANT(isEligible(Fleet.m_Slots[Index]));
      subtract(Remainder, Fleet.m_Slots[Index].m_Contribution);
    }
    WASABIVALE_INVARIANT(Remainder == PoolTotals());
  }
  WASABIVALE_INVARIANT(TargetPool.m_Ejected.empty() ||
                       TargetPool.m_Ejected.size() < Serving);
  for (SlotIndex Index : TargetPool.m_Ejected) {
    WASABIVALE_INVARIANT(Fleet.m_Slots[Index].m_Current);
    WASABIVALE_INVARIANT(!isEligible(Fleet.m_Slots[Index]));
  }
}

} // namespace

void verify(const State &Fleet) {
  verifyWork(Fleet);
  for (const auto &Pools : Fleet.m_Pools) {
    for (const auto &[Model, TargetPool] : Pools)
      verifyPool(Fleet, TargetPool);
  }
}

} // namespace wasabivale::routing
