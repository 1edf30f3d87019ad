// Slow checks of a whole state, for tests and soak runs.

#include "Internal.h"

namespace wasabivale::routing {

namespace {

void verifyWork(const State &Fleet) {
  std::vector<Work> Sums(Fleet.m_Slots.size());
  for (const auto &[Id, Task] : Fleet.m_Tries) {
    Work &Run = Sums[Task.m_Run];
    ++Run.m_Requests;
    Run.m_KvBlocks += Task.m_KvBlocks;
    Run.m_Decoding += Task.m_Decoding ? 1 : 0;
    Sums[Task.m_Prefill.value_or(Task.m_Run)].m_PromptTokens +=
        Task.m_PromptTokens;
    if (Task.m_Prefill)
      ++Sums[*Task.m_Prefill].m_Requests;
  }
  for (std::size_t I = 0; I < Sums.size(); ++I) {
    const Slot &Place = Fleet.m_Slots[I];
    WASABIVALE_INVARIANT(Place.m_Own.m_Requests == Sums[I].m_Requests);
    WASABIVALE_INVARIANT(Place.m_Own.m_Decoding == Sums[I].m_Decoding);
    WASABIVALE_INVARIANT(Place.m_Own.m_PromptTokens == Sums[I].m_PromptTokens);
    WASABIVALE_INVARIANT(Place.m_Own.m_KvBlocks == Sums[I].m_KvBlocks);
    std::uint32_t Generations = 0;
    for (const auto &[Generation, Tries] : Place.m_ByGeneration)
      Generations += Tries;
    WASABIVALE_INVARIANT(Generations == Sums[I].m_Requests);
  }
}

void verifyPool(const State &Fleet, const Pool &Group) {
  std::size_t Serving = Group.m_Ejected.size();
  for (std::size_t Part = 0; Part < Group.m_ByRole.size(); ++Part) {
    Serving += Group.m_ByRole[Part].size();
    Room Left = Group.m_Sums[Part];
    for (SlotIndex Index : Group.m_ByRole[Part]) {
      WASABIVALE_INVARIANT(isEligible(Fleet.m_Slots[Index]));
      subtract(Left, Fleet.m_Slots[Index].m_Counted);
    }
    WASABIVALE_INVARIANT(Left == Room());
  }
  WASABIVALE_INVARIANT(Group.m_Ejected.empty() ||
                       Group.m_Ejected.size() < Serving);
  for (SlotIndex Index : Group.m_Ejected) {
    WASABIVALE_INVARIANT(Fleet.m_Slots[Index].m_Current);
    WASABIVALE_INVARIANT(!isEligible(Fleet.m_Slots[Index]));
  }
}

} // namespace

void verify(const State &Fleet) {
  verifyWork(Fleet);
  for (const auto &Pools : Fleet.m_Pools) {
    for (const auto &[Model, Group] : Pools)
      verifyPool(Fleet, Group);
  }
}

} // namespace wasabivale::routing
