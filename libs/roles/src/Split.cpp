// How many engines decode, and which change.

#include "roles/roles.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::roles {

namespace {

std::uint32_t decodersNeeded(const std::vector<SplitEngine> &Engines,
                             const ServiceLoad &Load, const SplitRules &Rules) {
  double Places = 0;
  for (const SplitEngine &Each : Engines)
    Places += Each.m_Places;
  const double OfOne = Places / static_cast<double>(Engines.size());
  const double Streams =
      Load.m_RequestsPerSecond *
      std::chrono::duration<double>(Rules.m_StreamTime).count();
  const double Needed = std::ceil(Streams * Rules.m_PlacesOver / OfOne);
  return std::max(Rules.m_LeastDecoders, static_cast<std::uint32_t>(Needed));
}

std::uint32_t prefillersWanted(const ServiceLoad &Load,
                               const SplitRules &Rules) {
  const double Read = Load.m_PromptTokensPerSecond * Rules.m_ReadShare;
  return static_cast<std::uint32_t>(
      std::ceil(Read / (Rules.m_PrefillRate * Rules.m_PrefillUse)));
}

std::vector<std::pair<TargetId, Role>>
firstChanges(const std::vector<SplitEngine> &Engines, const SplitRules &Rules) {
  const auto Count = static_cast<std::uint32_t>(Engines.size());
  const auto Wanted =
      std::min(Count - Rules.m_LeastDecoders,
               static_cast<std::uint32_t>(Rules.m_UnseenPrefillShare * Count));
  std::uint32_t Prefilling = 0;
  for (const SplitEngine &Each : Engines)
    Prefilling += Each.m_Role == Role::Prefill ? 1 : 0;
  std::vector<std::pair<TargetId, Role>> Changes;
  for (const SplitEngine &Each : Engines) {
    if (Prefilling >= Wanted)
      break;
    if (Each.m_Role == Role::Prefill || Each.m_Changing || Each.m_Resting)
      continue;
    Changes.emplace_back(Each.m_Id, Role::Prefill);
    ++Prefilling;
  }
  return Changes;
}

} // namespace

std::vector<std::pair<TargetId, Role>>
changesOf(const std::vector<SplitEngine> &Engines, const ServiceLoad &Load,
          const SplitRules &Rules) {
  std::vector<std::pair<TargetId, Role>> Changes;
  const auto Count = static_cast<std::uint32_t>(Engines.size());
  if (Count > Rules.m_LeastDecoders && Load.m_Unseen)
    return firstChanges(Engines, Rules);
  if (Count <= Rules.m_LeastDecoders || Load.m_RequestsPerSecond <= 0)
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
  const auto AtOnce =
      std::max(1U, static_cast<std::uint32_t>(Rules.m_ChangingShare * Count));
  const bool More = Prefilling < Prefillers;
  const bool Fewer =
      static_cast<double>(Count - Prefilling) < Rules.m_BackBelow * Decoders;
  if (!More && !Fewer)
    return Changes;
  std::uint32_t Left =
      More ? Prefillers - Prefilling : Decoders - (Count - Prefilling);
  for (const SplitEngine &Each : Engines) {
    if (Left == 0 || Changing >= AtOnce)
      break;
    const bool Fits = !Each.m_Changing && !Each.m_Resting &&
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
