// Selection of candidate targets and comparison of their costs.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Lists up to this size are evaluated completely instead of sampled.
constexpr std::size_t MaxExhaustiveListSize = 4;
/// Maximum number of draws for one sample.
constexpr int MaxDrawsPerSample = 4;
/// Targets with prefix affinity take at most this multiple of the pool's mean
/// load.
constexpr double MaxLoadRatio = 1.25;

bool isAvoided(const Request &Req, const Slot &TargetSlot) {
  const auto &Avoid = Req.m_Avoid;
  return std::find(Avoid.begin(), Avoid.end(), TargetSlot.m_Target.m_Id) !=
         Avoid.end();
}

/// State of one search for the best target of a request.
struct TargetSearch {
  State &m_Fleet;
  Pool &m_Pool;
  const Request &m_Request;
  TimePoint m_Now;
  Random &m_Rng;
  std::optional<Candidate> m_Best = std::nullopt;
  /// Best among the targets that are still warming up.
  std::optional<Candidate> m_BestWarming = std::nullopt;
  std::optional<SlotIndex> m_PrefillSlot = std::nullopt;
  CostEstimate m_Prefill = {};
  /// Engines that have the shared prefix cached.
  std::vector<SlotIndex> m_Holders = {};
  /// One of them, for estimates.
  std::optional<SlotIndex> m_Holder = std::nullopt;
  /// Preferred engine to prefill a prefix that is cached nowhere.
  std::optional<SlotIndex> m_PrefixHome = std::nullopt;
  /// Preferred engine to decode streams of the prefix.
  std::optional<SlotIndex> m_DecodeHome = std::nullopt;
  /// Whether decode-only engines are considered as well.
  bool m_IncludesDecodeOnly = false;

  const Slot *holder() const { return m_Holder ? &slot(*m_Holder) : nullptr; }

  const Slot &slot(SlotIndex Index) const { return m_Fleet.m_Slots[Index]; }
};

/// Whether the target must not get this request now.
bool isExcluded(const TargetSearch &Search, const Slot &TargetSlot) {
  const auto &Version = Search.m_Request.m_RequiredVersion;
  return isAvoided(Search.m_Request, TargetSlot) ||
         (Version && TargetSlot.m_Target.m_SoftwareVersion != *Version) ||
         !admitsNow(TargetSlot, Search.m_Now);
}

/// Whether a target that is warming up accepts this request.
bool admitsDuringWarmUp(TargetSearch &Search, const Slot &TargetSlot) {
  const double Fraction =
      warmFraction(Search.m_Fleet.m_Settings, TargetSlot, Search.m_Now);
  if (Fraction >= 1)
    return true;
  const double MaxRequests =
      std::max(1.0, Fraction * TargetSlot.m_Target.m_MaxRunning);
  return TargetSlot.m_Own.m_Requests < MaxRequests &&
         randomUnit(Search.m_Rng) < Fraction;
}

bool isDecodeOnly(const TargetSearch &Search, SlotIndex Index) {
  const auto &DecodeOnly = Search.m_Pool.m_DecodeOnly;
  return std::binary_search(DecodeOnly.begin(), DecodeOnly.end(), Index);
}

void keepCheaper(std::optional<Candidate> &Best, const Candidate &Proposal) {
  if (!Best || Proposal.m_CostEstimate.m_Cost < Best->m_CostEstimate.m_Cost)
    Best = Proposal;
}

void considerWhole(TargetSearch &Search, SlotIndex Index,
                   double AffinityValue) {
  const Slot &TargetSlot = Search.slot(Index);
  if (!isEligible(TargetSlot) || isExcluded(Search, TargetSlot) ||
      !runsWholeRequests(Search.m_Fleet, TargetSlot) ||
      (isDecodeOnly(Search, Index) && !Search.m_IncludesDecodeOnly))
    return;
  Candidate Proposal;
  Proposal.m_Run = Index;
  Proposal.m_CostEstimate =
      estimateWholeRequest(Search.m_Fleet, Search.m_Pool, TargetSlot,
                           Search.m_Request, Search.holder(), Search.m_Now);
  Proposal.m_CostEstimate.m_Cost -= AffinityValue;
  keepCheaper(admitsDuringWarmUp(Search, TargetSlot) ? Search.m_Best
                                                     : Search.m_BestWarming,
              Proposal);
}

void considerPrefill(TargetSearch &Search, SlotIndex Index,
                     double AffinityValue) {
  const Slot &TargetSlot = Search.slot(Index);
  if (!isEligible(TargetSlot) || isExcluded(Search, TargetSlot))
    return;
  if (!admitsDuringWarmUp(Search, TargetSlot))
    return;
  CostEstimate PrefillCost =
      estimatePrefill(Search.m_Fleet, Search.m_Pool, TargetSlot,
                      Search.m_Request, Search.holder(), Search.m_Now);
  PrefillCost.m_Cost -= AffinityValue;
  if (Search.m_PrefillSlot && PrefillCost.m_Cost >= Search.m_Prefill.m_Cost)
    return;
  Search.m_PrefillSlot = Index;
  Search.m_Prefill = PrefillCost;
}

/// Whether KV memory of one target fits the other.
bool haveSameVersion(const TargetSearch &Search, SlotIndex Left,
                     SlotIndex Right) {
  return Search.slot(Left).m_Target.m_SoftwareVersion ==
         Search.slot(Right).m_Target.m_SoftwareVersion;
}

void considerDecode(TargetSearch &Search, SlotIndex Index,
                    double AffinityValue) {
  const Slot &TargetSlot = Search.slot(Index);
  if (!isEligible(TargetSlot) || isExcluded(Search, TargetSlot))
    return;
  if (!haveSameVersion(Search, Index, *Search.m_PrefillSlot))
    return;
  if (Index == *Search.m_PrefillSlot || !admitsDuringWarmUp(Search, TargetSlot))
    return;
  Candidate Proposal;
  Proposal.m_Run = Index;
  Proposal.m_Prefill = Search.m_PrefillSlot;
  Proposal.m_CostEstimate =
      estimateDecode(Search.m_Fleet, Search.m_Pool, TargetSlot,
                     Search.slot(*Search.m_PrefillSlot), Search.m_Request,
                     Search.m_Prefill, Search.m_Now);
  Proposal.m_CostEstimate.m_Cost -= AffinityValue;
  keepCheaper(Search.m_Best, Proposal);
}

template <typename ConsiderFunction>
void considerSampledSlots(TargetSearch &Search,
                          const std::vector<SlotIndex> &List,
                          std::uint32_t Count, ConsiderFunction Consider) {
  if (List.size() <= std::max<std::size_t>(Count, MaxExhaustiveListSize)) {
    // A random starting index breaks ties evenly.
    const std::size_t Start =
        List.empty() ? 0 : randomIndex(Search.m_Rng, List.size());
    for (std::size_t I = 0; I < List.size(); ++I)
      Consider(Search, List[(Start + I) % List.size()], 0);
    return;
  }
  for (std::uint32_t I = 0; I < Count; ++I) {
    SlotIndex Index = List[randomIndex(Search.m_Rng, List.size())];
    for (int Draw = 1; Draw < MaxDrawsPerSample; ++Draw) {
      if (!isExcluded(Search, Search.slot(Index)))
        break;
      Index = List[randomIndex(Search.m_Rng, List.size())];
    }
    Consider(Search, Index, 0);
  }
}

/// Samples the targets of the required version only: samples of all targets
/// mostly miss the few of a version that is being replaced, and the first one
/// found would be taken however busy it is.
template <typename ConsiderFunction>
void considerSamples(TargetSearch &Search, const std::vector<SlotIndex> &List,
                     std::uint32_t Count, ConsiderFunction Consider) {
  const auto &Version = Search.m_Request.m_RequiredVersion;
  if (!Version)
    return considerSampledSlots(Search, List, Count, Consider);
  std::vector<SlotIndex> OfVersion;
  for (const SlotIndex Index : List)
    if (Search.slot(Index).m_Target.m_SoftwareVersion == *Version)
      OfVersion.push_back(Index);
  considerSampledSlots(Search, OfVersion, Count, Consider);
}

const std::vector<SlotIndex> &slotsWithRole(const TargetSearch &Search,
                                            Role TargetRole) {
  return Search.m_Pool.m_ByRole[roleIndex(TargetRole)];
}

/// Returns the bucket of the first block, or of a later one if the first blocks
/// are hot: a block shared by most prompts says little about placement.
Partition *findAffineBucket(TargetSearch &Search) {
  if (Search.m_Request.m_Blocks.empty() || Search.m_Pool.m_Partitions.empty())
    return nullptr;
  Partition *Bucket = nullptr;
  for (std::uint64_t Block : Search.m_Request.m_Blocks) {
    Bucket = &getPartition(Search.m_Pool, Block);
    if (replicaCount(Search.m_Fleet, *Bucket, Search.m_Now) < Bucket->m_Count ||
        Bucket->m_Count < MaxReplicas)
      break;
  }
  return Bucket;
}

/// Whether the target is below the load bound of consistent hashing with
/// bounded loads.
bool isWithinLoadBound(const TargetSearch &Search, const Slot &TargetSlot) {
  const std::size_t RoleIndex = roleIndex(TargetSlot.m_Target.m_Role);
  const std::size_t Count = Search.m_Pool.m_ByRole[RoleIndex].size();
  if (Count == 0)
    return false;
  const PoolTotals &Sum = Search.m_Pool.m_Totals[RoleIndex];
  const double Busy = static_cast<double>(Sum.m_Max - Sum.m_Free);
  const double Mean = (Busy + 1) / static_cast<double>(Count);
  const double MinBound = TargetSlot.m_Target.m_MaxRunning / 2.0;
  const double Bound = std::max(std::ceil(MaxLoadRatio * Mean), MinBound);
  const Load CurrentLoad =
      estimateLoad(Search.m_Fleet, Search.m_Pool, TargetSlot, Search.m_Now);
  return CurrentLoad.m_Requests + 1 <= Bound;
}

/// \p IsHome: whether the target is one of those that share the bucket.
void considerAffine(TargetSearch &Search, SlotIndex Index, bool AllowSplit,
                    bool IsHome) {
  const Slot &TargetSlot = Search.slot(Index);
  if (!isEligible(TargetSlot) || !isWithinLoadBound(Search, TargetSlot))
    return;
  const double AffinityValue =
      IsHome ? affinityValue(Search.m_Fleet, Search.m_Pool, TargetSlot,
                             Search.m_Request)
             : 0;
  if (TargetSlot.m_Target.m_Role == Role::Mixed)
    considerWhole(Search, Index, AffinityValue);
  if (AllowSplit)
    considerPrefill(Search, Index, AffinityValue);
}

/// Finds the engine that has the shared prefix cached, and the engine that
/// every entry would choose to prefill an uncached one, provided that entries
/// agree on the healthy targets.
void findPrefixHomes(TargetSearch &Search) {
  if (!Search.m_Request.m_FetchesPrefix || Search.m_Request.m_Blocks.empty())
    return;
  const std::uint64_t LastBlock = Search.m_Request.m_Blocks.back();
  Search.m_Holders = findPrefixHolders(Search.m_Fleet, Search.m_Pool,
                                       prefixHash(Search.m_Request.m_Blocks));
  if (!Search.m_Holders.empty())
    Search.m_Holder =
        Search.m_Holders[randomIndex(Search.m_Rng, Search.m_Holders.size())];
  if (!Search.m_Pool.m_Partitions.empty()) {
    const Partition &Bucket = getPartition(Search.m_Pool, LastBlock);
    for (std::size_t I = 0; I < Bucket.m_Count && !Search.m_PrefixHome; ++I)
      if (isEligible(Search.slot(Bucket.m_Slots[I])))
        Search.m_PrefixHome = Bucket.m_Slots[I];
  }
  // Streams of one prefix also converge on one engine, which then caches it
  // too.
  std::uint64_t Best = 0;
  const auto &DecodeOnly = Search.m_Pool.m_DecodeOnly;
  for (const SlotIndex Index :
       DecodeOnly.empty() ? slotsWithRole(Search, Role::Decode) : DecodeOnly) {
    const std::uint64_t Score =
        placementScore(Search.slot(Index).m_Hash, LastBlock);
    if (Search.m_DecodeHome && Score <= Best)
      continue;
    Search.m_DecodeHome = Index;
    Best = Score;
  }
}

void considerByRole(TargetSearch &Search, SlotIndex Index, double AffinityValue,
                    bool AllowSplit) {
  if (Search.slot(Index).m_Target.m_Role != Role::Prefill)
    considerWhole(Search, Index, AffinityValue);
  if (AllowSplit && Search.slot(Index).m_Target.m_Role != Role::Decode)
    considerPrefill(Search, Index, AffinityValue);
}

/// Considers two engines that have the prefix cached and may prefill the rest
/// of the prompt. They are drawn at random: all entries know the same holders,
/// and would crowd the latest one. If there are none, considers the engine that
/// should prefill the prefix, with the value of doing so if it is cached
/// nowhere.
void considerPrefixHomes(TargetSearch &Search, bool AllowSplit) {
  constexpr std::uint32_t HoldersConsidered = 2;
  if (Search.m_DecodeHome && !isDecodeOnly(Search, *Search.m_DecodeHome))
    considerWhole(Search, *Search.m_DecodeHome, 0);
  std::vector<SlotIndex> Prefilling = Search.m_Holders;
  std::erase_if(Prefilling, [&](SlotIndex Index) {
    return Search.slot(Index).m_Target.m_Role == Role::Decode &&
           isDecodeOnly(Search, Index);
  });
  if (!Prefilling.empty())
    return considerSamples(
        Search, Prefilling, HoldersConsidered,
        [&](TargetSearch &, SlotIndex Index, double AffinityValue) {
          considerByRole(Search, Index, AffinityValue, AllowSplit);
        });
  if (!Search.m_PrefixHome)
    return;
  const double Value =
      Search.m_Holder
          ? 0
          : affinityValue(Search.m_Fleet, Search.m_Pool,
                          Search.slot(*Search.m_PrefixHome), Search.m_Request);
  considerByRole(Search, *Search.m_PrefixHome, Value, AllowSplit);
}

/// Returns the engine to fetch the prefix from: a random one of those that have
/// it cached, in the zone of the prefilling engine if there is one. Without
/// any, the preferred engine may have it because of an entry that could not
/// announce it.
std::optional<SlotIndex> fetchSource(TargetSearch &Search, SlotIndex Prefill) {
  std::vector<SlotIndex> Sources = Search.m_Holders;
  if (Sources.empty() && Search.m_PrefixHome)
    Sources.push_back(*Search.m_PrefixHome);
  std::erase_if(Sources, [&](SlotIndex Index) {
    return Index == Prefill || !haveSameVersion(Search, Index, Prefill);
  });
  const ZoneId &Zone = Search.slot(Prefill).m_Target.m_Zone;
  const auto IsFar = [&](SlotIndex Index) {
    return Search.slot(Index).m_Target.m_Zone != Zone;
  };
  if (!std::all_of(Sources.begin(), Sources.end(), IsFar))
    std::erase_if(Sources, IsFar);
  if (Sources.empty())
    return std::nullopt;
  return Sources[randomIndex(Search.m_Rng, Sources.size())];
}

/// Considers two of the targets that share the bucket, and the next one in
/// rendezvous order.
void considerAffine(TargetSearch &Search, bool AllowSplit) {
  if (Search.m_Request.m_FetchesPrefix)
    return considerPrefixHomes(Search, AllowSplit);
  const Partition *Bucket = findAffineBucket(Search);
  if (Bucket == nullptr || Bucket->m_Count == 0)
    return;
  const std::size_t Replicas = std::max<std::size_t>(
      1, replicaCount(Search.m_Fleet, *Bucket, Search.m_Now));
  const std::size_t First = randomIndex(Search.m_Rng, Replicas);
  considerAffine(Search, Bucket->m_Slots[First], AllowSplit, true);
  if (Replicas > 1) {
    const std::size_t Step = 1 + randomIndex(Search.m_Rng, Replicas - 1);
    considerAffine(Search, Bucket->m_Slots[(First + Step) % Replicas],
                   AllowSplit, true);
  }
  if (Replicas < Bucket->m_Count)
    considerAffine(Search, Bucket->m_Slots[Replicas], AllowSplit, false);
}

void considerWholeRequests(TargetSearch &Search) {
  const std::uint32_t Samples = Search.m_Fleet.m_Settings.m_Samples;
  considerSamples(Search, Search.m_Pool.m_InZone, Samples, considerWhole);
  considerSamples(Search, Search.m_Pool.m_InRegion, 1, considerWhole);
  considerSamples(Search, slotsWithRole(Search, Role::Mixed), 1, considerWhole);
  considerSamples(Search, Search.m_Pool.m_DecodeAndPrefill, 1, considerWhole);
  considerSamples(Search, slotsWithRole(Search, Role::Prefill), 1,
                  considerWhole);
}

void considerSplits(TargetSearch &Search) {
  const std::uint32_t Samples = Search.m_Fleet.m_Settings.m_Samples;
  const bool HasPrefill = !slotsWithRole(Search, Role::Prefill).empty();
  const bool HasDecode = !slotsWithRole(Search, Role::Decode).empty();
  const Role PrefillRole = HasPrefill ? Role::Prefill : Role::Mixed;
  const Role DecodeRole = HasDecode ? Role::Decode : Role::Mixed;
  considerSamples(Search, slotsWithRole(Search, PrefillRole), Samples,
                  considerPrefill);
  if (!Search.m_PrefillSlot)
    return;
  if (Search.m_DecodeHome)
    considerDecode(Search, *Search.m_DecodeHome,
                   decodeAffinityValue(Search.m_Fleet,
                                       Search.slot(*Search.m_DecodeHome),
                                       Search.m_Request));
  considerSamples(Search, Search.m_Pool.m_DecodeOnly, Samples, considerDecode);
  if (!Search.m_Best || !Search.m_Best->m_Prefill)
    considerSamples(Search, slotsWithRole(Search, DecodeRole), Samples,
                    considerDecode);
}

bool maySplit(const TargetSearch &Search) {
  return Search.m_Request.m_Kind == Kind::Engine &&
         Search.m_Request.m_MaySplit &&
         (!slotsWithRole(Search, Role::Prefill).empty() ||
          !slotsWithRole(Search, Role::Decode).empty());
}

/// Considers every eligible target; used only when sampling found none.
void considerAllTargets(TargetSearch &Search) {
  Search.m_IncludesDecodeOnly = true;
  for (const std::vector<SlotIndex> &List : Search.m_Pool.m_ByRole) {
    for (SlotIndex Index : List)
      considerWhole(Search, Index, 0);
  }
}

std::optional<Candidate> selectByWork(TargetSearch &Search) {
  const bool AllowSplit = maySplit(Search);
  findPrefixHomes(Search);
  considerAffine(Search, AllowSplit);
  considerWholeRequests(Search);
  if (AllowSplit)
    considerSplits(Search);
  if (!Search.m_Best && !Search.m_BestWarming)
    considerAllTargets(Search);
  std::optional<Candidate> Best =
      Search.m_Best ? Search.m_Best : Search.m_BestWarming;
  if (!Best || Search.m_Request.m_Blocks.empty())
    return Best;
  const SlotIndex PrefillEngine = Best->m_Prefill.value_or(Best->m_Run);
  if (!hasPrefix(Search.slot(PrefillEngine),
                 prefixHash(Search.m_Request.m_Blocks)))
    Best->m_FetchFrom = fetchSource(Search, PrefillEngine);
  return Best;
}

Candidate wholeRequestCandidate(const TargetSearch &Search, SlotIndex Index) {
  Candidate Proposal;
  Proposal.m_Run = Index;
  Proposal.m_CostEstimate =
      estimateWholeRequest(Search.m_Fleet, Search.m_Pool, Search.slot(Index),
                           Search.m_Request, Search.holder(), Search.m_Now);
  return Proposal;
}

/// Returns the candidates of the baseline policies: the mixed targets, or all
/// if there are none.
std::vector<SlotIndex> baselineSlots(const TargetSearch &Search) {
  const std::vector<SlotIndex> &Mixed = slotsWithRole(Search, Role::Mixed);
  if (!Mixed.empty())
    return Mixed;
  std::vector<SlotIndex> All = slotsWithRole(Search, Role::Prefill);
  const std::vector<SlotIndex> &Decode = slotsWithRole(Search, Role::Decode);
  All.insert(All.end(), Decode.begin(), Decode.end());
  return All;
}

std::optional<Candidate> selectRoundRobin(TargetSearch &Search) {
  const std::vector<SlotIndex> List = baselineSlots(Search);
  for (std::size_t I = 0; I < List.size(); ++I) {
    const SlotIndex Index =
        List[Search.m_Pool.m_NextRoundRobin++ % List.size()];
    if (!isExcluded(Search, Search.slot(Index)))
      return wholeRequestCandidate(Search, Index);
  }
  return std::nullopt;
}

std::optional<Candidate> selectLeastReported(TargetSearch &Search) {
  std::optional<SlotIndex> Best;
  for (SlotIndex Index : baselineSlots(Search)) {
    if (isExcluded(Search, Search.slot(Index)))
      continue;
    if (!Best || Search.slot(Index).m_ReportedRequests <
                     Search.slot(*Best).m_ReportedRequests)
      Best = Index;
  }
  if (!Best)
    return std::nullopt;
  return wholeRequestCandidate(Search, *Best);
}

std::optional<Candidate> selectByPolicy(TargetSearch &Search) {
  switch (Search.m_Fleet.m_Settings.m_Policy) {
  case Policy::RoundRobin:
    return selectRoundRobin(Search);
  case Policy::LeastReportedLoad:
    return selectLeastReported(Search);
  case Policy::AffinityAndWork:
    return selectByWork(Search);
  }
  return std::nullopt;
}

std::optional<Candidate> selectRequiredTarget(TargetSearch &Search) {
  const auto Found =
      Search.m_Fleet.m_ByTarget.find(*Search.m_Request.m_RequiredTarget);
  if (Found == Search.m_Fleet.m_ByTarget.end())
    return std::nullopt;
  const Slot &TargetSlot = Search.slot(Found->second);
  const auto &Models = TargetSlot.m_Target.m_Models;
  const bool Serves = std::find(Models.begin(), Models.end(),
                                Search.m_Request.m_Model) != Models.end();
  if (!isEligible(TargetSlot) || !Serves ||
      !admitsNow(TargetSlot, Search.m_Now) ||
      TargetSlot.m_Target.m_Kind != Search.m_Request.m_Kind)
    return std::nullopt;
  return wholeRequestCandidate(Search, Found->second);
}

/// Returns an ejected target whose ejection time is over; it gets one request.
std::optional<Candidate> selectProbe(TargetSearch &Search) {
  for (SlotIndex Index : Search.m_Pool.m_Ejected) {
    const Slot &TargetSlot = Search.slot(Index);
    if (TargetSlot.m_Health.m_State != HealthState::Ejected ||
        TargetSlot.m_Health.m_EjectedUntil > Search.m_Now ||
        isExcluded(Search, TargetSlot) ||
        !runsWholeRequests(Search.m_Fleet, TargetSlot))
      continue;
    Candidate Proposal = wholeRequestCandidate(Search, Index);
    Proposal.m_Probe = true;
    return Proposal;
  }
  return std::nullopt;
}

/// Falls back to targets that already failed this request.
std::optional<Candidate> selectAvoidedTarget(TargetSearch &Search) {
  if (Search.m_Request.m_Avoid.empty())
    return std::nullopt;
  Request Relaxed = Search.m_Request;
  Relaxed.m_Avoid.clear();
  return selectCandidate(Search.m_Fleet, Search.m_Pool, Relaxed, Search.m_Now,
                         Search.m_Rng, false);
}

Error noTargetError(const Request &Req) {
  return {"routing.choose", Req.m_Model.m_Value,
          "no eligible target serves it"};
}

} // namespace

bool runsWholeRequests(const State &Fleet, const Slot &TargetSlot) {
  return Fleet.m_Settings.m_PrefillRunsWhole ||
         TargetSlot.m_Target.m_Role != Role::Prefill;
}

std::optional<Candidate> selectCandidate(State &Fleet, Pool &TargetPool,
                                         const Request &Req, TimePoint Now,
                                         Random &Rng, bool MayProbe) {
  TargetSearch Search{Fleet, TargetPool, Req, Now, Rng};
  if (Req.m_RequiredTarget)
    return selectRequiredTarget(Search);
  if (!Fleet.m_Settings.m_PrefillRunsWhole)
    readmitPrefillEngines(Fleet, TargetPool, Now);
  if (MayProbe && Req.m_MayProbe) {
    std::optional<Candidate> Probe = selectProbe(Search);
    if (Probe)
      return Probe;
  }
  std::optional<Candidate> Best = selectByPolicy(Search);
  return Best ? Best : selectAvoidedTarget(Search);
}

Result<Choice> choose(State &Fleet, const Request &Req, TimePoint Now,
                      Random &Rng) {
  ++Fleet.m_Counters.m_Choices;
  Pool *TargetPool = findPool(Fleet, Req.m_Kind, Req.m_Model);
  std::optional<Candidate> Best;
  if (TargetPool != nullptr)
    Best = selectCandidate(Fleet, *TargetPool, Req, Now, Rng, true);
  if (!Best) {
    ++Fleet.m_Counters.m_NoTarget;
    return noTargetError(Req);
  }
  return reserve(Fleet, *TargetPool, *Best, Req, Now);
}

Result<Estimate> estimate(State &Fleet, const Request &Req, TimePoint Now,
                          Random &Rng) {
  Pool *TargetPool = findPool(Fleet, Req.m_Kind, Req.m_Model);
  if (TargetPool == nullptr)
    return noTargetError(Req);
  const std::optional<Candidate> Best =
      selectCandidate(Fleet, *TargetPool, Req, Now, Rng, false);
  if (!Best)
    return noTargetError(Req);
  return Best->m_CostEstimate.m_Estimate;
}

} // namespace wasabivale::routing
