// Time and cost estimates for running a request on a target.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Estimated current state of a target.
struct TargetView {
  const Settings &m_Options;
  const Pool &m_Pool;
  const Slot &m_Slot;
  const Target &m_Target;
  Load m_Load;
  double m_FirstTokenFactor = 1; ///< Slowness factor of first tokens.
  double m_TokenFactor = 1;
  TimePoint m_Now;
  const Slot *m_Holder = nullptr; ///< Has the shared prefix cached.
};

TargetView makeView(const State &Fleet, const Pool &TargetPool,
                    const Slot &TargetSlot, TimePoint Now) {
  const double Passing = passingSlowdown(TargetSlot.m_Slowdown, Now);
  return {Fleet.m_Settings,
          TargetPool,
          TargetSlot,
          TargetSlot.m_Target,
          estimateLoad(Fleet, TargetPool, TargetSlot, Now),
          firstTokenSlowness(TargetPool, TargetSlot) * Passing,
          tokenSlowness(TargetPool, TargetSlot) * Passing,
          Now,
          nullptr};
}

double networkSeconds(const TargetView &View) {
  if (View.m_Target.m_Region != View.m_Options.m_Region)
    return seconds(View.m_Options.m_OtherRegionCost);
  if (View.m_Target.m_Zone != View.m_Options.m_Zone)
    return seconds(View.m_Options.m_OtherZoneCost);
  return 0;
}

/// Returns the time in seconds until enough KV memory for the request is free.
double memoryWaitSeconds(const TargetView &View, std::uint64_t KvNeeded) {
  const double Total = View.m_Target.m_KvBlocks;
  const double Used = View.m_Load.m_KvBlocks;
  const double Missing = Used + static_cast<double>(KvNeeded) - Total;
  if (Total == 0 || Missing <= 0)
    return 0;
  return View.m_Pool.m_MeanSeconds * Missing / std::max(1.0, Used);
}

/// Returns the time in seconds until a place in the running batch and KV memory
/// are free.
double slotWaitSeconds(const TargetView &View, std::uint64_t KvNeeded) {
  const double Max = std::max<double>(1, View.m_Target.m_MaxRunning);
  const double Excess = View.m_Load.m_Requests + 1 - Max;
  double Wait = Excess > 0 ? View.m_Pool.m_MeanSeconds * Excess / Max : 0;
  if (View.m_Slot.m_FullUntil > View.m_Now)
    Wait = std::max(Wait, seconds(View.m_Slot.m_FullUntil - View.m_Now));
  return Wait + memoryWaitSeconds(View, KvNeeded);
}

/// Returns the number of prompt tokens that the engine prefills before those of
/// \p Priority.
double tokensAhead(const TargetView &View, unsigned Priority) {
  std::uint64_t OwnTokens = 0;
  std::uint64_t PeerFromPriority = 0;
  for (unsigned I = std::min(Priority, MaxPriority); I <= MaxPriority; ++I) {
    OwnTokens += View.m_Slot.m_PromptByPriority[I];
    PeerFromPriority += View.m_Slot.m_PeerPromptByPriority[I];
  }
  double PeerTokens = View.m_Load.m_PeerPromptTokens;
  // When other entries have sent their work by priority, only the part at or
  // above this priority counts.
  std::uint64_t AllPeerTokens = 0;
  for (const std::uint64_t Tokens : View.m_Slot.m_PeerPromptByPriority)
    AllPeerTokens += Tokens;
  if (AllPeerTokens > 0)
    PeerTokens *= static_cast<double>(PeerFromPriority) /
                  static_cast<double>(AllPeerTokens);
  return static_cast<double>(OwnTokens) + PeerTokens;
}

/// Returns the duration of an engine step without prefill.
double stepSeconds(const TargetView &View, double Streams) {
  const double SingleStream =
      1 / std::max(0.1, View.m_Target.m_DecodeTokensPerSecond);
  return SingleStream *
         (1 + View.m_Options.m_BatchSlowdown * std::max(0.0, Streams - 1));
}

double dedicatedPrefillSeconds(const TargetView &View, double Tokens) {
  return Tokens / std::max(1.0, View.m_Target.m_PrefillTokensPerSecond);
}

/// Returns the time to prefill in steps that also decode the running streams.
double prefillSeconds(const TargetView &View, double Tokens) {
  if (View.m_Load.m_Decoding < 1)
    return dedicatedPrefillSeconds(View, Tokens);
  const double Chunk =
      View.m_Options.m_ChunkTokens[roleIndex(View.m_Target.m_Role)];
  const double Steps = Tokens / std::max(1.0, Chunk);
  return dedicatedPrefillSeconds(View, Tokens) +
         Steps * stepSeconds(View, View.m_Load.m_Decoding);
}

/// Returns the mean time between two tokens of a stream. A step that also
/// prefills a chunk takes longer.
double tokenSeconds(const TargetView &View) {
  const double StepTime = stepSeconds(View, View.m_Load.m_Decoding + 1);
  const double Chunk =
      View.m_Options.m_ChunkTokens[roleIndex(View.m_Target.m_Role)];
  const double PrefillStep = StepTime + dedicatedPrefillSeconds(View, Chunk);
  const double PrefillBusy = View.m_Load.m_PrefillBusy;
  return 1 / (PrefillBusy / PrefillStep + (1 - PrefillBusy) / StepTime);
}

double transferSeconds(const Settings &Options, const Target &Engine,
                       double Blocks) {
  const Duration PerBlock = Engine.m_KvTransferPerBlock > Duration(0)
                                ? Engine.m_KvTransferPerBlock
                                : Options.m_KvTransferPerBlock;
  return Blocks * seconds(PerBlock);
}

/// Returns the time in seconds to fetch the shared prefix from the engine that
/// has it cached.
double fetchSeconds(const TargetView &View, const Request &Req) {
  if (View.m_Holder == nullptr || View.m_Holder == &View.m_Slot ||
      hasPrefix(View.m_Slot, prefixHash(Req.m_Blocks)))
    return 0;
  return seconds(View.m_Options.m_KvTransferSetup) +
         transferSeconds(View.m_Options, View.m_Target,
                         static_cast<double>(Req.m_Blocks.size()));
}

double uncachedTokens(const TargetView &View, const Request &Req,
                      std::uint32_t &Cached) {
  if (!Req.m_FetchesPrefix)
    Cached = cachedBlocks(View.m_Slot, Req.m_Blocks);
  else if (View.m_Holder != nullptr)
    Cached = static_cast<std::uint32_t>(Req.m_Blocks.size());
  const std::uint64_t CachedTokens = std::uint64_t(Cached) * BlockTokens;
  return CachedTokens >= Req.m_PromptTokens
             ? 0
             : static_cast<double>(Req.m_PromptTokens - CachedTokens);
}

/// Returns the weighted delay that this prefill causes for concurrently
/// decoding streams.
double interferenceSeconds(const TargetView &View, double Tokens) {
  return View.m_Load.m_Decoding * dedicatedPrefillSeconds(View, Tokens) *
         View.m_FirstTokenFactor * View.m_Options.m_InterferenceWeight;
}

double failurePenaltySeconds(const TargetView &View) {
  const double Silence = isSilent(View.m_Options, View.m_Slot, View.m_Now)
                             ? seconds(View.m_Options.m_SilenceCost)
                             : 0;
  return Silence + View.m_Slot.m_Health.m_FailurePoints *
                       seconds(View.m_Options.m_FailureCost);
}

CostEstimate estimateService(const TargetView &View, const Request &Req) {
  const double NetworkDelay = networkSeconds(View);
  const double Wait = slotWaitSeconds(View, 0);
  const double Nominal = Wait + seconds(Req.m_ServiceTime);
  const double Utilization =
      View.m_Load.m_Requests / std::max<double>(1, View.m_Target.m_MaxRunning);
  CostEstimate Cost;
  Cost.m_Estimate.m_Start =
      View.m_Now + fromSeconds(NetworkDelay + Wait * View.m_FirstTokenFactor);
  Cost.m_Estimate.m_Finish =
      View.m_Now +
      fromSeconds(NetworkDelay + Nominal * View.m_FirstTokenFactor);
  Cost.m_Estimate.m_FirstToken = Cost.m_Estimate.m_Finish;
  Cost.m_NominalFirstToken = fromSeconds(NetworkDelay + Nominal);
  Cost.m_Cost = NetworkDelay +
                (Nominal + Utilization * View.m_Pool.m_MeanSeconds) *
                    View.m_FirstTokenFactor +
                failurePenaltySeconds(View);
  return Cost;
}

CostEstimate estimatePrefill(const TargetView &View, const Request &Req) {
  CostEstimate Cost;
  const double Tokens =
      uncachedTokens(View, Req, Cost.m_Estimate.m_CachedBlocks);
  const double NetworkDelay = networkSeconds(View);
  const double TokensAhead = tokensAhead(View, Req.m_Priority);
  const double OwnPrefill =
      prefillSeconds(View, Tokens) + fetchSeconds(View, Req);
  const double Wait = slotWaitSeconds(View, kvBlocksNeeded(Req)) +
                      prefillSeconds(View, TokensAhead);
  const double First =
      NetworkDelay + (Wait + OwnPrefill) * View.m_FirstTokenFactor;
  Cost.m_Estimate.m_Start =
      View.m_Now + fromSeconds(NetworkDelay + Wait * View.m_FirstTokenFactor);
  Cost.m_Estimate.m_FirstToken = View.m_Now + fromSeconds(First);
  Cost.m_Estimate.m_Finish = Cost.m_Estimate.m_FirstToken;
  Cost.m_NominalFirstToken = fromSeconds(NetworkDelay + Wait + OwnPrefill);
  Cost.m_Cost =
      First + interferenceSeconds(View, Tokens) + failurePenaltySeconds(View);
  return Cost;
}

/// Returns the nominal time in seconds to transfer what the engine lacks of a
/// prompt that was prefilled at \p PrefillSlot.
double handoffSeconds(const TargetView &View, const Slot &PrefillSlot,
                      const Request &Req) {
  const Target &Source = PrefillSlot.m_Target;
  double Distance = 1;
  if (Source.m_Region != View.m_Target.m_Region)
    Distance = View.m_Options.m_OtherRegionTransferFactor;
  else if (Source.m_Zone != View.m_Target.m_Zone)
    Distance = View.m_Options.m_OtherZoneTransferFactor;
  const auto Cached = hasPrefix(View.m_Slot, prefixHash(Req.m_Blocks))
                          ? static_cast<double>(Req.m_Blocks.size())
                          : 0;
  const double Blocks = static_cast<double>(kvBlocksNeeded(Req)) - Cached;
  return seconds(View.m_Options.m_KvTransferSetup) +
         Distance * transferSeconds(View.m_Options, View.m_Target,
                                    std::max(0.0, Blocks));
}

/// Adds the decode phase at \p View, starting after \p First seconds.
void addDecodePhase(CostEstimate &Cost, const TargetView &View,
                    const Request &Req, double First) {
  const double StepTime = tokenSeconds(View);
  const double Decode =
      Req.m_ExpectedOutputTokens * StepTime * View.m_TokenFactor;
  Cost.m_NominalTokenInterval = fromSeconds(StepTime);
  Cost.m_Estimate.m_FirstToken = View.m_Now + fromSeconds(First);
  Cost.m_Estimate.m_Finish = View.m_Now + fromSeconds(First + Decode);
  Cost.m_Cost += Decode;
}

} // namespace

std::uint64_t kvBlocksNeeded(const Request &Req) {
  const std::uint64_t Tokens =
      std::uint64_t(Req.m_PromptTokens) + Req.m_ExpectedOutputTokens;
  return (Tokens + BlockTokens - 1) / BlockTokens;
}

double affinityValue(const State &Fleet, const Pool &TargetPool,
                     const Slot &TargetSlot, const Request &Req) {
  const double Tokens = static_cast<double>(Req.m_Blocks.size()) * BlockTokens;
  return Fleet.m_Settings.m_AffinityWeight * Tokens /
         std::max(1.0, TargetSlot.m_Target.m_PrefillTokensPerSecond) *
         roleSlowness(TargetPool, TargetSlot.m_Target.m_Role);
}

double decodeAffinityValue(const State &Fleet, const Slot &TargetSlot,
                           const Request &Req) {
  return Fleet.m_Settings.m_DecodeAffinityWeight *
         transferSeconds(Fleet.m_Settings, TargetSlot.m_Target,
                         static_cast<double>(Req.m_Blocks.size()));
}

CostEstimate estimatePrefill(const State &Fleet, const Pool &TargetPool,
                             const Slot &TargetSlot, const Request &Req,
                             const Slot *Holder, TimePoint Now) {
  TargetView View = makeView(Fleet, TargetPool, TargetSlot, Now);
  View.m_Holder = Holder;
  return estimatePrefill(View, Req);
}

CostEstimate estimateWholeRequest(const State &Fleet, const Pool &TargetPool,
                                  const Slot &TargetSlot, const Request &Req,
                                  const Slot *Holder, TimePoint Now) {
  TargetView View = makeView(Fleet, TargetPool, TargetSlot, Now);
  View.m_Holder = Holder;
  if (Req.m_Kind == Kind::Service)
    return estimateService(View, Req);
  CostEstimate Cost = estimatePrefill(View, Req);
  addDecodePhase(Cost, View, Req, seconds(Cost.m_Estimate.m_FirstToken - Now));
  return Cost;
}

CostEstimate estimateDecode(const State &Fleet, const Pool &TargetPool,
                            const Slot &TargetSlot, const Slot &PrefillSlot,
                            const Request &Req, const CostEstimate &Prefill,
                            TimePoint Now) {
  TargetView View = makeView(Fleet, TargetPool, TargetSlot, Now);
  const double Nominal = handoffSeconds(View, PrefillSlot, Req);
  const double Prefilled = seconds(Prefill.m_Estimate.m_FirstToken - Now);
  // Requests prefilled elsewhere wait behind the prefill backlog of this
  // engine.
  const double PrefillBacklog =
      prefillSeconds(View, tokensAhead(View, Req.m_Priority)) *
      View.m_FirstTokenFactor;
  const double First =
      std::max({Prefilled, slotWaitSeconds(View, kvBlocksNeeded(Req)),
                PrefillBacklog}) +
      Nominal * handoffSlowness(TargetPool, TargetSlot);
  CostEstimate Cost = Prefill;
  Cost.m_NominalHandoff = fromSeconds(Nominal);
  // Transfers to one engine run one after another, and half of those that are
  // due come before this one.
  const double Incoming = TargetSlot.m_Own.m_Incoming / 2.0 * Nominal;
  Cost.m_Cost += First - Prefilled + Incoming + networkSeconds(View) +
                 failurePenaltySeconds(View);
  addDecodePhase(Cost, View, Req, First);
  return Cost;
}

} // namespace wasabivale::routing
