// How many engines decode, and which change.

#include "roles/roles.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::roles {

namespace {

std::uint32_t decodersNeeded(const std::vector<SplitEngine> &Engines,
                             const ServiceLoad &Load,
                             const SplitSettings &Rules) {
  double Places = 0;
  for (const SplitEngine &Each : Engines)
    Places += Each.m_StreamSlots;
  const double OfOne = Places / static_cast<double>(Engines.size());
  const double Streams =
      Load.m_RequestsPerSecond *
      std::chrono::duration<double>(Rules.m_StreamDuration).count();
  const double Needed = std::ceil(Streams * Rules.m_SlotHeadroomFactor / OfOne);
  return std::max(Rules.m_MinDecoders, static_cast<std::uint32_t>(Needed));
}

std::uint32_t prefillersWanted(const ServiceLoad &Load,
                               const SplitSettings &Rules) {
  const double Read =
      Load.m_PromptTokensPerSecond * Rules.m_UncachedPromptShare;
  return static_cast<std::uint32_t>(std::ceil(
      Read / (Rules.m_PrefillTokenRate * Rules.m_MaxPrefillUtilisation)));
}

std::vector<std::pair<TargetId, Role>>
firstChanges(const std::vector<SplitEngine> &Engines,
             const SplitSettings &Rules) {
  const auto Count = static_cast<std::uint32_t>(Engines.size());
  const auto Wanted =
      std::min(Count - Rules.m_MinDecoders,
               static_cast<std::uint32_t>(Rules.m_InitialPrefillShare * Count));
  std::uint32_t Prefilling = 0;
  for (const SplitEngine &Each : Engines)
    Prefilling += Each.m_Role == Role::Prefill ? 1 : 0;
  std::vector<std::pair<TargetId, Role>> Changes;
  for (const SplitEngine &Each : Engines) {
    if (Prefilling >= Wanted)
      break;
    if (Each.m_Role == Role::Prefill || Each.m_Changing || Each.m_CoolingDown)
      continue;
    Changes.emplace_back(Each.m_Id, Role::Prefill);
    ++Prefilling;
  }
  return Changes;
}

} // namespace

std::vector<std::pair<TargetId, Role>>
planRoleChanges(const std::vector<SplitEngine> &Engines,
                const ServiceLoad &Load, const SplitSettings &Rules) {
  std::vector<std::pair<TargetId, Role>> Changes;
  const auto Count = static_cast<std::uint32_t>(Engines.size());
  if (Count > Rules.m_MinDecoders && Load.m_NoTrafficYet)
    return firstChanges(Engines, Rules);
  if (Count <= Rules.m_MinDecoders || Load.m_RequestsPerSecond <= 0)
    return Changes;
  const std::uint32_t Decoders =
      std::min(Count - 1, decodersNeeded(Engines, Load, Rules));
  const std::uint32_t Prefillers =
      std::clamp(prefillersWanted(Load, Rules), 1U, Count - Decoders);
  std::uint32_t Prefilling = 0;
  std::uint32_t Changing = 0;
  for (const SplitEngine &Each : Engines) {
    Prefilling += Each.m_Role == Role::Prefill ? 1 : 0;
    Changing += Each.m_Changing ? 1 : 0;
  }
  const auto AtOnce = std::max(
      1U, static_cast<std::uint32_t>(Rules.m_MaxChangingShare * Count));
  const bool More = Prefilling < Prefillers;
  const bool Fewer = static_cast<double>(Count - Prefilling) <
                     Rules.m_DecodeReturnThreshold * Decoders;
  if (!More && !Fewer)
    return Changes;
  std::uint32_t Left =
      More ? Prefillers - Prefilling : Decoders - (Count - Prefilling);
  for (const SplitEngine &Each : Engines) {
    if (Left == 0 || Changing >= AtOnce)
      break;
    const bool Fits = !Each.m_Changing && !Each.m_CoolingDown &&
                      (Each.m_Role == Role::Prefill) == Fewer;
    if (!Fits)
      continue;
    Changes.emplace_back(Each.m_Id, More ? Role::Prefill : Role::Decode);
    --Left;
    ++Changing;
  }
  return Changes;
}

} // namespace wasabivale::roles
