// Estimated times and costs of running a request at a target.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// A target as it is believed to be now.
struct View {
  const Settings &m_Options;
  const Pool &m_Group;
  const Slot &m_Place;
  const Target &m_Target;
  Load m_Load;
  double m_Slowness = 1; ///< Of first tokens.
  double m_StepSlowness = 1;
  TimePoint m_Now;
  const Slot *m_Holder = nullptr; ///< Keeps the shared prefix.
};

View viewOf(const State &Fleet, const Pool &Group, const Slot &Place,
            TimePoint Now) {
  return {Fleet.m_Settings,
          Group,
          Place,
          Place.m_Target,
          loadOf(Fleet, Group, Place, Now),
          firstSlowness(Group, Place),
          stepSlowness(Group, Place),
          Now,
          nullptr};
}

double distanceSeconds(const View &At) {
  if (At.m_Target.m_Region != At.m_Options.m_Region)
    return seconds(At.m_Options.m_OtherRegionCost);
  if (At.m_Target.m_Zone != At.m_Options.m_Zone)
    return seconds(At.m_Options.m_OtherZoneCost);
  return 0;
}

/// Seconds until KV memory for the request is free.
double memoryWait(const View &At, std::uint64_t KvNeeded) {
  const double Total = At.m_Target.m_KvBlocks;
  const double Used = At.m_Load.m_KvBlocks;
  const double Missing = Used + static_cast<double>(KvNeeded) - Total;
  if (Total == 0 || Missing <= 0)
    return 0;
  return At.m_Group.m_MeanSeconds * Missing / std::max(1.0, Used);
}

/// Seconds until a place in the running batch and KV memory are free.
double slotWait(const View &At, std::uint64_t KvNeeded) {
  const double Max = std::max<double>(1, At.m_Target.m_MaxRunning);
  const double Over = At.m_Load.m_Requests + 1 - Max;
  double Wait = Over > 0 ? At.m_Group.m_MeanSeconds * Over / Max : 0;
  if (At.m_Place.m_FullUntil > At.m_Now)
    Wait = std::max(Wait, seconds(At.m_Place.m_FullUntil - At.m_Now));
  return Wait + memoryWait(At, KvNeeded);
}

/// Prompt tokens that the engine prefills before those of this priority.
double tokensAhead(const View &At, unsigned Priority) {
  std::uint64_t Own = 0;
  std::uint64_t Others = 0;
  for (unsigned I = std::min(Priority, MaxPriority); I <= MaxPriority; ++I) {
    Own += At.m_Place.m_PromptByPriority[I];
    Others += At.m_Place.m_OthersByPriority[I];
  }
  double Foreign = At.m_Load.m_ForeignPromptTokens;
  // As others told it by priority, it is counted by priority.
  std::uint64_t All = 0;
  for (const std::uint64_t Each : At.m_Place.m_OthersByPriority)
    All += Each;
  if (All > 0)
    Foreign *= static_cast<double>(Others) / static_cast<double>(All);
  return static_cast<double>(Own) + Foreign;
}

/// Time of one step of the engine that prefills nothing.
double stepSeconds(const View &At, double Streams) {
  const double Alone = 1 / std::max(0.1, At.m_Target.m_DecodeTokensPerSecond);
  return Alone *
         (1 + At.m_Options.m_BatchSlowdown * std::max(0.0, Streams - 1));
}

double plainPrefill(const View &At, double Tokens) {
  return Tokens / std::max(1.0, At.m_Target.m_PrefillTokensPerSecond);
}

/// Time to prefill, by steps that also decode the running streams.
double prefillSeconds(const View &At, double Tokens) {
  if (At.m_Load.m_Decoding < 1)
    return plainPrefill(At, Tokens);
  const double Chunk =
      At.m_Options.m_ChunkTokens[roleIndex(At.m_Target.m_Role)];
  const double Steps = Tokens / std::max(1.0, Chunk);
  return plainPrefill(At, Tokens) +
         Steps * stepSeconds(At, At.m_Load.m_Decoding);
}

/// Mean time between two tokens of a stream. A step that also prefills a chunk
/// takes longer.
double tokenSeconds(const View &At) {
  const double Step = stepSeconds(At, At.m_Load.m_Decoding + 1);
  const double Chunk =
      At.m_Options.m_ChunkTokens[roleIndex(At.m_Target.m_Role)];
  const double Long = Step + plainPrefill(At, Chunk);
  const double Busy = At.m_Load.m_PrefillBusy;
  return 1 / (Busy / Long + (1 - Busy) / Step);
}

/// Seconds to fetch the shared prefix from where it is kept.
double fetchSeconds(const View &At, const Request &Wanted) {
  if (At.m_Holder == nullptr || At.m_Holder == &At.m_Place ||
      keeps(At.m_Place, prefixOf(Wanted.m_Blocks)))
    return 0;
  return seconds(At.m_Options.m_KvTransferSetup) +
         static_cast<double>(Wanted.m_Blocks.size()) *
             seconds(At.m_Options.m_KvTransferPerBlock);
}

double uncachedTokens(const View &At, const Request &Wanted,
                      std::uint32_t &Cached) {
  if (!Wanted.m_FetchesPrefix)
    Cached = cachedBlocks(At.m_Place, Wanted.m_Blocks);
  else if (At.m_Holder != nullptr)
    Cached = static_cast<std::uint32_t>(Wanted.m_Blocks.size());
  const std::uint64_t Known = std::uint64_t(Cached) * BlockTokens;
  return Known >= Wanted.m_PromptTokens
             ? 0
             : static_cast<double>(Wanted.m_PromptTokens - Known);
}

/// Delay that this prefill brings to the streams that decode beside it.
double harmSeconds(const View &At, double Tokens) {
  return At.m_Load.m_Decoding * plainPrefill(At, Tokens) *
         At.m_Options.m_HarmWeight;
}

double doubtSeconds(const View &At) {
  return At.m_Place.m_Health.m_FailurePoints *
         seconds(At.m_Options.m_FailureCost);
}

Leaning leanService(const View &At, const Request &Wanted) {
  const double Distance = distanceSeconds(At);
  const double Wait = slotWait(At, 0);
  const double Normal = Wait + seconds(Wanted.m_ServiceTime);
  const double Crowd =
      At.m_Load.m_Requests / std::max<double>(1, At.m_Target.m_MaxRunning);
  Leaning Found;
  Found.m_Estimate.m_Start =
      At.m_Now + fromSeconds(Distance + Wait * At.m_Slowness);
  Found.m_Estimate.m_Finish =
      At.m_Now + fromSeconds(Distance + Normal * At.m_Slowness);
  Found.m_Estimate.m_FirstToken = Found.m_Estimate.m_Finish;
  Found.m_NormalFirst = fromSeconds(Distance + Normal);
  Found.m_Cost = Distance +
                 (Normal + Crowd * At.m_Group.m_MeanSeconds) * At.m_Slowness +
                 doubtSeconds(At);
  return Found;
}

Leaning leanPrefill(const View &At, const Request &Wanted) {
  Leaning Found;
  const double Tokens =
      uncachedTokens(At, Wanted, Found.m_Estimate.m_CachedBlocks);
  const double Distance = distanceSeconds(At);
  const double Ahead = tokensAhead(At, Wanted.m_Priority);
  const double Own = prefillSeconds(At, Tokens) + fetchSeconds(At, Wanted);
  const double Wait =
      slotWait(At, kvBlocksNeeded(Wanted)) + prefillSeconds(At, Ahead);
  const double First = Distance + (Wait + Own) * At.m_Slowness;
  Found.m_Estimate.m_Start =
      At.m_Now + fromSeconds(Distance + Wait * At.m_Slowness);
  Found.m_Estimate.m_FirstToken = At.m_Now + fromSeconds(First);
  Found.m_Estimate.m_Finish = Found.m_Estimate.m_FirstToken;
  Found.m_NormalFirst = fromSeconds(Distance + Wait + Own);
  Found.m_Cost = First + harmSeconds(At, Tokens) + doubtSeconds(At);
  return Found;
}

/// Others' splits that are still prefilled, for each engine that decodes.
double comingRequests(const Pool &Group) {
  const std::size_t Engines = Group.m_ByRole[roleIndex(Role::Mixed)].size() +
                              Group.m_ByRole[roleIndex(Role::Decode)].size();
  const Room &Prefill = Group.m_Sums[roleIndex(Role::Prefill)];
  return static_cast<double>(Prefill.m_PeerWork.m_Requests) /
         static_cast<double>(std::max<std::size_t>(1, Engines));
}

/// Adds the decode part at \p At, from \p First seconds on.
void addDecode(Leaning &Found, const View &At, const Request &Wanted,
               double First) {
  const double Step = tokenSeconds(At);
  const double Decode =
      Wanted.m_ExpectedOutputTokens * Step * At.m_StepSlowness;
  Found.m_NormalStep = fromSeconds(Step);
  Found.m_Estimate.m_FirstToken = At.m_Now + fromSeconds(First);
  Found.m_Estimate.m_Finish = At.m_Now + fromSeconds(First + Decode);
  Found.m_Cost += Decode;
}

} // namespace

std::uint64_t kvBlocksNeeded(const Request &Wanted) {
  const std::uint64_t Tokens =
      std::uint64_t(Wanted.m_PromptTokens) + Wanted.m_ExpectedOutputTokens;
  return (Tokens + BlockTokens - 1) / BlockTokens;
}

double homeValue(const State &Fleet, const Slot &Place, const Request &Wanted) {
  const double Tokens =
      static_cast<double>(Wanted.m_Blocks.size()) * BlockTokens;
  return Fleet.m_Settings.m_AffinityWeight * Tokens /
         std::max(1.0, Place.m_Target.m_PrefillTokensPerSecond);
}

Leaning leanPrefill(const State &Fleet, const Pool &Group, const Slot &Place,
                    const Request &Wanted, const Slot *Holder, TimePoint Now) {
  View At = viewOf(Fleet, Group, Place, Now);
  At.m_Holder = Holder;
  return leanPrefill(At, Wanted);
}

Leaning leanWhole(const State &Fleet, const Pool &Group, const Slot &Place,
                  const Request &Wanted, const Slot *Holder, TimePoint Now) {
  View At = viewOf(Fleet, Group, Place, Now);
  At.m_Holder = Holder;
  if (Wanted.m_Kind == Kind::Service)
    return leanService(At, Wanted);
  Leaning Found = leanPrefill(At, Wanted);
  addDecode(Found, At, Wanted, seconds(Found.m_Estimate.m_FirstToken - Now));
  return Found;
}

Leaning leanDecode(const State &Fleet, const Pool &Group, const Slot &Place,
                   const Request &Wanted, const Leaning &Prefill,
                   TimePoint Now) {
  View At = viewOf(Fleet, Group, Place, Now);
  At.m_Load.m_Requests += comingRequests(Group);
  const std::uint64_t Blocks = kvBlocksNeeded(Wanted);
  const double Transfer =
      seconds(At.m_Options.m_KvTransferSetup) +
      static_cast<double>(Blocks) * seconds(At.m_Options.m_KvTransferPerBlock);
  const double Prefilled = seconds(Prefill.m_Estimate.m_FirstToken - Now);
  // What was read elsewhere waits behind what is to be read here.
  const double Reading = prefillSeconds(At, tokensAhead(At, Wanted.m_Priority));
  const double Normal =
      std::max({Prefilled + Transfer, slotWait(At, Blocks), Reading});
  const double First = Normal * splitSlowness(Group);
  Leaning Found = Prefill;
  Found.m_NormalSplit = fromSeconds(Normal);
  Found.m_Cost += First - Prefilled + distanceSeconds(At) + doubtSeconds(At);
  addDecode(Found, At, Wanted, First);
  return Found;
}

} // namespace wasabivale::routing
