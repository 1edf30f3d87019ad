// Estimated times and costs of running a request at a target.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Answers before a target's own slowness is believed, and its bounds.
constexpr std::uint32_t TrustedSamples = 4;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 20;
/// Slowdown of decode at an engine whose role is prefill.
constexpr double PrefillRoleSlowdown = 2;
/// Part of others' requests at an engine that is taken to be decoding.
constexpr double ForeignDecoding = 0.7;

double slownessOf(const Slot &Place) {
  if (Place.m_Health.m_Samples < TrustedSamples)
    return 1;
  return std::clamp(std::exp(Place.m_Health.m_LogSlowness), MinSlowness,
                    MaxSlowness);
}

double distanceSeconds(const Settings &Options, const Slot &Place) {
  if (Place.m_Target.m_Region != Options.m_Region)
    return seconds(Options.m_OtherRegionCost);
  if (Place.m_Target.m_Zone != Options.m_Zone)
    return seconds(Options.m_OtherZoneCost);
  return 0;
}

/// Seconds until a place in the running batch and KV memory are free.
double slotWait(const Pool &Group, const Slot &Place, std::uint64_t KvNeeded,
                TimePoint Now) {
  const double Max = std::max<double>(1, Place.m_Target.m_MaxRunning);
  const double Over = totalRequests(Place, Now) + 1 - Max;
  double Wait = Over > 0 ? Group.m_MeanSeconds * Over / Max : 0;
  if (Place.m_FullUntil > Now)
    Wait = std::max(Wait, seconds(Place.m_FullUntil - Now));
  const double Total = static_cast<double>(Place.m_Target.m_KvBlocks);
  if (Total == 0)
    return Wait;
  const double Others = static_cast<double>(Place.m_Foreign.m_KvBlocks) *
                        foreignWeight(Place, Now);
  const double Used = static_cast<double>(Place.m_Own.m_KvBlocks) + Others;
  const double Missing = Used + static_cast<double>(KvNeeded) - Total;
  if (Missing > 0)
    Wait += Group.m_MeanSeconds * Missing / std::max(1.0, Used);
  return Wait;
}

/// Prompt tokens that the engine prefills before those of this priority.
double tokensAhead(const Slot &Place, unsigned Priority, TimePoint Now) {
  std::uint64_t Own = 0;
  for (unsigned I = std::min(Priority, MaxPriority); I <= MaxPriority; ++I)
    Own += Place.m_PromptByPriority[I];
  return static_cast<double>(Own) +
         static_cast<double>(Place.m_Foreign.m_PromptTokens) *
             foreignWeight(Place, Now);
}

double prefillSeconds(const Slot &Place, double Tokens) {
  return Tokens / std::max(1.0, Place.m_Target.m_PrefillTokensPerSecond);
}

double decodeSeconds(const Slot &Place, const Request &Wanted) {
  const double Plain = Wanted.m_ExpectedOutputTokens /
                       std::max(0.1, Place.m_Target.m_DecodeTokensPerSecond);
  return Place.m_Target.m_Role == Role::Prefill ? Plain * PrefillRoleSlowdown
                                                : Plain;
}

double uncachedTokens(const Slot &Place, const Request &Wanted,
                      std::uint32_t &Cached) {
  Cached = cachedBlocks(Place, Wanted.m_Blocks);
  const std::uint64_t Known = std::uint64_t(Cached) * BlockTokens;
  return Known >= Wanted.m_PromptTokens
             ? 0
             : static_cast<double>(Wanted.m_PromptTokens - Known);
}

/// Delay that this prefill brings to the streams that decode beside it.
double harmSeconds(const State &Fleet, const Slot &Place, double Prefill,
                   TimePoint Now) {
  const double Others =
      Place.m_Foreign.m_Requests * ForeignDecoding * foreignWeight(Place, Now);
  const double Streams = Place.m_Own.m_Decoding + Others;
  return Streams * Prefill * Fleet.m_Settings.m_HarmWeight;
}

double doubtSeconds(const Settings &Options, const Slot &Place) {
  return Place.m_Health.m_FailurePoints * seconds(Options.m_FailureCost);
}

Leaning leanService(const State &Fleet, const Pool &Group, const Slot &Place,
                    const Request &Wanted, TimePoint Now) {
  const double Distance = distanceSeconds(Fleet.m_Settings, Place);
  const double Wait = slotWait(Group, Place, 0, Now);
  const double Slowness = slownessOf(Place);
  const double Normal = Wait + seconds(Wanted.m_ServiceTime);
  Leaning Found;
  Found.m_Estimate.m_Start = Now + fromSeconds(Distance + Wait * Slowness);
  Found.m_Estimate.m_Finish = Now + fromSeconds(Distance + Normal * Slowness);
  Found.m_Estimate.m_FirstToken = Found.m_Estimate.m_Finish;
  Found.m_NormalFirst = fromSeconds(Distance + Normal);
  const double Busy = totalRequests(Place, Now);
  const double Crowd = Busy / std::max<double>(1, Place.m_Target.m_MaxRunning);
  Found.m_Cost = Distance + (Normal + Crowd * Group.m_MeanSeconds) * Slowness +
                 doubtSeconds(Fleet.m_Settings, Place);
  return Found;
}

} // namespace

std::uint64_t kvBlocksNeeded(const Request &Wanted) {
  const std::uint64_t Tokens =
      std::uint64_t(Wanted.m_PromptTokens) + Wanted.m_ExpectedOutputTokens;
  return (Tokens + BlockTokens - 1) / BlockTokens;
}

Leaning leanPrefill(const State &Fleet, const Pool &Group, const Slot &Place,
                    const Request &Wanted, TimePoint Now) {
  Leaning Found;
  const double Tokens =
      uncachedTokens(Place, Wanted, Found.m_Estimate.m_CachedBlocks);
  const double Distance = distanceSeconds(Fleet.m_Settings, Place);
  const double Slowness = slownessOf(Place);
  const double Ahead = tokensAhead(Place, Wanted.m_Priority, Now);
  const double Own = prefillSeconds(Place, Tokens);
  const double Wait = slotWait(Group, Place, kvBlocksNeeded(Wanted), Now) +
                      prefillSeconds(Place, Ahead);
  const double First = Distance + (Wait + Own) * Slowness;
  Found.m_Estimate.m_Start = Now + fromSeconds(Distance + Wait * Slowness);
  Found.m_Estimate.m_FirstToken = Now + fromSeconds(First);
  Found.m_Estimate.m_Finish = Found.m_Estimate.m_FirstToken;
  Found.m_NormalFirst = fromSeconds(Distance + Wait + Own);
  Found.m_Cost = First + harmSeconds(Fleet, Place, Own, Now) +
                 doubtSeconds(Fleet.m_Settings, Place);
  return Found;
}

Leaning leanWhole(const State &Fleet, const Pool &Group, const Slot &Place,
                  const Request &Wanted, TimePoint Now) {
  if (Wanted.m_Kind == Kind::Service)
    return leanService(Fleet, Group, Place, Wanted, Now);
  Leaning Found = leanPrefill(Fleet, Group, Place, Wanted, Now);
  const double Decode = decodeSeconds(Place, Wanted) * slownessOf(Place);
  Found.m_Estimate.m_Finish =
      Found.m_Estimate.m_FirstToken + fromSeconds(Decode);
  Found.m_Cost += Decode;
  return Found;
}

Leaning leanDecode(const State &Fleet, const Pool &Group, const Slot &Place,
                   const Request &Wanted, const Leaning &Prefill,
                   TimePoint Now) {
  const std::uint64_t Blocks = kvBlocksNeeded(Wanted);
  const Settings &Options = Fleet.m_Settings;
  const double Transfer =
      seconds(Options.m_KvTransferSetup) +
      static_cast<double>(Blocks) * seconds(Options.m_KvTransferPerBlock);
  const double Prefilled = seconds(Prefill.m_Estimate.m_FirstToken - Now);
  const double Ready = Prefilled + Transfer;
  const double Room = slotWait(Group, Place, Blocks, Now);
  const double First = std::max(Ready, Room);
  const double Decode = decodeSeconds(Place, Wanted) * slownessOf(Place);
  Leaning Found = Prefill;
  Found.m_Estimate.m_FirstToken = Now + fromSeconds(First);
  Found.m_Estimate.m_Finish = Now + fromSeconds(First + Decode);
  Found.m_Cost = Prefill.m_Cost + (First - Prefilled) + Decode +
                 distanceSeconds(Options, Place) + doubtSeconds(Options, Place);
  return Found;
}

} // namespace wasabivale::routing
