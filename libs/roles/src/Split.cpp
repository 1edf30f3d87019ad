// Determines the number of decoding engines and the engines to change.

#include "roles/roles.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace wasabivale::roles {

namespace {

std::uint32_t decodersNeeded(const std::vector<SplitEngine> &Engines,
                             const ServiceLoad &Load,
                             const SplitSettings &Settings) {
  double Slots = 0;
  for (const SplitEngine &Candidate : Engines)
    Slots += Candidate.m_StreamSlots;
  const double SlotsPerEngine = Slots / static_cast<double>(Engines.size());
  const double Needed = std::ceil(
      Load.m_Streams * Settings.m_SlotHeadroomFactor / SlotsPerEngine);
  const double ForTransfers =
      std::ceil(Load.m_TransferLoad * Settings.m_UncachedTransferShare /
                Settings.m_MaxLinkUtilisation);
  const double ForLosses = std::ceil(Settings.m_MinDecoderShare *
                                     static_cast<double>(Engines.size()));
  return std::max(
      Settings.m_MinDecoders,
      static_cast<std::uint32_t>(std::max({Needed, ForTransfers, ForLosses})));
}

std::uint32_t prefillersNeeded(const ServiceLoad &Load,
                               const SplitSettings &Settings) {
  const double UncachedTokens =
      Load.m_PromptTokensPerSecond * Settings.m_UncachedPromptShare;
  const double Rate = Load.m_PrefillTokenRate > 0 ? Load.m_PrefillTokenRate
                                                  : Settings.m_PrefillTokenRate;
  return static_cast<std::uint32_t>(
      std::ceil(UncachedTokens / (Rate * Settings.m_MaxPrefillUtilisation)));
}

/// Engines that decode now, by software version. Those that are changing do not
/// count in either role: they are not in service.
using VersionDecoders = std::map<std::string, std::uint32_t>;

VersionDecoders countDecoders(const std::vector<SplitEngine> &Engines) {
  VersionDecoders Counts;
  for (const SplitEngine &Candidate : Engines)
    if (Candidate.m_Role != Role::Prefill && !Candidate.m_Changing)
      ++Counts[Candidate.m_SoftwareVersion];
  return Counts;
}

bool haveOneVersion(const std::vector<SplitEngine> &Engines) {
  return std::all_of(
      Engines.begin(), Engines.end(), [&](const SplitEngine &Candidate) {
        return Candidate.m_SoftwareVersion == Engines.front().m_SoftwareVersion;
      });
}

/// Takes a decoding engine from its version. \returns false if it is the last
/// one. With a single version, the number of decoders for the load decides.
bool takeDecoder(VersionDecoders &Decoders, const SplitEngine &Candidate,
                 bool OneVersion) {
  if (OneVersion)
    return true;
  std::uint32_t &Left = Decoders[Candidate.m_SoftwareVersion];
  if (Left <= 1)
    return false;
  --Left;
  return true;
}

std::vector<std::pair<TargetId, Role>>
planInitialChanges(const std::vector<SplitEngine> &Engines,
                   const SplitSettings &Settings) {
  const auto Count = static_cast<std::uint32_t>(Engines.size());
  const auto Prefillers = std::min(
      Count - Settings.m_MinDecoders,
      static_cast<std::uint32_t>(Settings.m_InitialPrefillShare * Count));
  std::uint32_t Prefilling = 0;
  for (const SplitEngine &Candidate : Engines)
    Prefilling += Candidate.m_Role == Role::Prefill ? 1 : 0;
  const bool OneVersion = haveOneVersion(Engines);
  VersionDecoders Decoders = countDecoders(Engines);
  std::vector<std::pair<TargetId, Role>> Changes;
  for (const SplitEngine &Candidate : Engines) {
    if (Prefilling >= Prefillers)
      break;
    if (Candidate.m_Role == Role::Prefill || Candidate.m_Changing ||
        Candidate.m_CoolingDown ||
        !takeDecoder(Decoders, Candidate, OneVersion))
      continue;
    Changes.emplace_back(Candidate.m_Id, Role::Prefill);
    ++Prefilling;
  }
  return Changes;
}

} // namespace

std::vector<std::pair<TargetId, Role>>
planRoleChanges(const std::vector<SplitEngine> &Engines,
                const ServiceLoad &Load, const SplitSettings &Settings) {
  std::vector<std::pair<TargetId, Role>> Changes;
  const auto Count = static_cast<std::uint32_t>(Engines.size());
  if (Count > Settings.m_MinDecoders && Load.m_NoTrafficYet)
    return planInitialChanges(Engines, Settings);
  if (Count <= Settings.m_MinDecoders || Load.m_RequestsPerSecond <= 0)
    return Changes;
  const std::uint32_t Decoders =
      std::min(Count - 1, decodersNeeded(Engines, Load, Settings));
  const std::uint32_t Prefillers =
      std::clamp(prefillersNeeded(Load, Settings), 1U, Count - Decoders);
  std::uint32_t Prefilling = 0;
  std::uint32_t Changing = 0;
  for (const SplitEngine &Candidate : Engines) {
    Prefilling += Candidate.m_Role == Role::Prefill ? 1 : 0;
    Changing += Candidate.m_Changing ? 1 : 0;
  }
  const auto MaxChanging = std::max(
      1U, static_cast<std::uint32_t>(Settings.m_MaxChangingShare * Count));
  const bool ToPrefill = Prefilling < Prefillers;
  const bool ToDecode = static_cast<double>(Count - Prefilling) <
                        Settings.m_DecodeReturnThreshold * Decoders;
  if (!ToPrefill && !ToDecode)
    return Changes;
  std::uint32_t Remaining =
      ToPrefill ? Prefillers - Prefilling : Decoders - (Count - Prefilling);
  std::vector<SplitEngine> IdlestFirst = Engines;
  std::stable_sort(IdlestFirst.begin(), IdlestFirst.end(),
                   [](const SplitEngine &Left, const SplitEngine &Right) {
                     return Left.m_Running < Right.m_Running;
                   });
  const bool OneVersion = haveOneVersion(Engines);
  VersionDecoders OfVersion = countDecoders(Engines);
  for (const SplitEngine &Candidate : IdlestFirst) {
    if (Remaining == 0 || Changing >= MaxChanging)
      break;
    const bool Eligible = !Candidate.m_Changing && !Candidate.m_CoolingDown &&
                          (Candidate.m_Role == Role::Prefill) == ToDecode;
    if (!Eligible ||
        (ToPrefill && !takeDecoder(OfVersion, Candidate, OneVersion)))
      continue;
    Changes.emplace_back(Candidate.m_Id,
                         ToPrefill ? Role::Prefill : Role::Decode);
    --Remaining;
    ++Changing;
  }
  return Changes;
}

} // namespace wasabivale::roles
