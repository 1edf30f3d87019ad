// Work at targets: own tries, and the work of other entries estimated from
// delayed load reports.

#include "Internal.h"

#include <cmath>
#include <limits>

namespace wasabivale::routing {

namespace {

/// Weight of the newest report in the fraction of reports with pending prefill.
constexpr double PrefillBusyWeight = 0.1;
/// Lifetime of the work received from other entries; it tolerates the loss of a
/// few updates.
constexpr std::chrono::milliseconds PeerWorkLifetime{1'000};

/// Returns own work as the target saw it when it wrote a report that arrives
/// now.
Work ownWorkAt(const Slot &TargetSlot, TimePoint Time) {
  Work OwnWork;
  for (const WorkSample &Sample : TargetSlot.m_History) {
    if (Sample.m_Time > Time)
      break;
    OwnWork = Sample.m_Work;
  }
  return OwnWork;
}

std::uint64_t saturatingSubtract(std::uint64_t Value, std::uint64_t Base) {
  return Value > Base ? Value - Base : 0;
}

PoolTotals computeContribution(const Slot &TargetSlot) {
  if (!isEligible(TargetSlot))
    return {};
  const std::uint64_t Max = TargetSlot.m_Target.m_MaxRunning;
  const std::uint64_t Busy =
      ownPresent(TargetSlot) + TargetSlot.m_PeerWork.m_Requests;
  const auto Rate =
      static_cast<std::uint64_t>(TargetSlot.m_Target.m_PrefillTokensPerSecond);
  return {saturatingSubtract(Max, Busy),   Max,  ownPresent(TargetSlot),
          TargetSlot.m_Own.m_PromptTokens, Rate, TargetSlot.m_PeerWork};
}

void add(PoolTotals &Sum, const PoolTotals &Contribution) {
  Sum.m_Free += Contribution.m_Free;
  Sum.m_Max += Contribution.m_Max;
  Sum.m_OwnRequests += Contribution.m_OwnRequests;
  Sum.m_OwnPromptTokens += Contribution.m_OwnPromptTokens;
  Sum.m_PrefillRate += Contribution.m_PrefillRate;
  Sum.m_PeerWork.m_Requests += Contribution.m_PeerWork.m_Requests;
  Sum.m_PeerWork.m_PromptTokens += Contribution.m_PeerWork.m_PromptTokens;
  Sum.m_PeerWork.m_KvBlocks += Contribution.m_PeerWork.m_KvBlocks;
}

/// Interpolates between the pool mean and the reported value; \p Weight 1
/// yields the reported value.
double blend(std::uint64_t Reported, std::uint64_t Sum, double Count,
             double Weight) {
  const double Mean = static_cast<double>(Sum) / Count;
  return Mean + (static_cast<double>(Reported) - Mean) * Weight;
}

/// Returns the remaining fraction of a deviation from the mean when its cause
/// takes \p Turnover seconds to pass.
double remainingFraction(double Age, double Turnover) {
  constexpr double MinTurnover = 0.25;
  return std::exp(-Age / std::max(MinTurnover, Turnover));
}

bool hasFreshPeerWork(const Slot &TargetSlot, TimePoint Now) {
  return TargetSlot.m_PeerWorkAt != TimePoint() &&
         Now - TargetSlot.m_PeerWorkAt <= PeerWorkLifetime;
}

} // namespace

void subtract(PoolTotals &Sum, const PoolTotals &Contribution) {
  WASABIVALE_INVARIANT(Sum.m_Free >= Contribution.m_Free &&
                       Sum.m_Max >= Contribution.m_Max);
  Sum.m_Free -= Contribution.m_Free;
  Sum.m_Max -= Contribution.m_Max;
  Sum.m_OwnRequests -= Contribution.m_OwnRequests;
  Sum.m_OwnPromptTokens -= Contribution.m_OwnPromptTokens;
  Sum.m_PrefillRate -= Contribution.m_PrefillRate;
  Sum.m_PeerWork.m_Requests -= Contribution.m_PeerWork.m_Requests;
  Sum.m_PeerWork.m_PromptTokens -= Contribution.m_PeerWork.m_PromptTokens;
  Sum.m_PeerWork.m_KvBlocks -= Contribution.m_PeerWork.m_KvBlocks;
}

void updateTotals(State &Fleet, SlotIndex Index) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  const PoolTotals Contribution = computeContribution(TargetSlot);
  if (Contribution == TargetSlot.m_Contribution)
    return;
  const std::size_t RoleIndex = roleIndex(TargetSlot.m_Target.m_Role);
  for (const ModelId &Model : TargetSlot.m_Target.m_Models) {
    Pool &TargetPool = getPool(Fleet, TargetSlot.m_Target.m_Kind, Model);
    subtract(TargetPool.m_Totals[RoleIndex], TargetSlot.m_Contribution);
    add(TargetPool.m_Totals[RoleIndex], Contribution);
  }
  TargetSlot.m_Contribution = Contribution;
}

void recordWorkSample(Slot &TargetSlot, TimePoint Now) {
  std::vector<WorkSample> &History = TargetSlot.m_History;
  if (!History.empty() && Now - History.back().m_Time < MinHistoryInterval)
    return;
  if (History.size() == MaxHistorySamples)
    History.erase(History.begin());
  History.push_back({Now, TargetSlot.m_Own});
}

// A load report says little about work that has come and gone since it was
// written. Its deviation from the mean of the target's peers is weighted less
// the older the report is relative to the time that work stays at a target;
// otherwise all entries would converge on a target that was idle a while ago.
Load estimateLoad(const State &Fleet, const Pool &TargetPool,
                  const Slot &TargetSlot, TimePoint Now) {
  /// Fraction of the requests of other entries that is assumed to be decoding.
  constexpr double PeerDecodingFraction = 0.7;
  const std::size_t RoleIndex = roleIndex(TargetSlot.m_Target.m_Role);
  const PeerWork &Sum = TargetPool.m_Totals[RoleIndex].m_PeerWork;
  const double Count = static_cast<double>(
      std::max<std::size_t>(1, TargetPool.m_ByRole[RoleIndex].size()));
  const double Age = std::max(
      0.0, seconds(Now - TargetSlot.m_ReportAt + Fleet.m_Settings.m_ReportLag));
  const double Weight = remainingFraction(Age, TargetPool.m_MeanSeconds);
  const double Backlog =
      static_cast<double>(TargetSlot.m_PeerWork.m_PromptTokens) /
      std::max(1.0, TargetSlot.m_Target.m_PrefillTokensPerSecond) *
      roleSlowness(TargetPool, TargetSlot.m_Target.m_Role);
  const PeerWork &Peers = TargetSlot.m_PeerWork;
  const double Requests =
      blend(Peers.m_Requests, Sum.m_Requests, Count, Weight);
  Load CurrentLoad;
  CurrentLoad.m_Requests = ownPresent(TargetSlot) + Requests;
  CurrentLoad.m_Decoding =
      TargetSlot.m_Own.m_Decoding + Requests * PeerDecodingFraction;
  CurrentLoad.m_PeerPromptTokens =
      blend(Peers.m_PromptTokens, Sum.m_PromptTokens, Count,
            remainingFraction(Age, Backlog));
  CurrentLoad.m_PrefillBusy = TargetSlot.m_PrefillBusy;
  CurrentLoad.m_KvBlocks =
      static_cast<double>(TargetSlot.m_Own.m_KvBlocks) +
      blend(Peers.m_KvBlocks, Sum.m_KvBlocks, Count, Weight);
  return CurrentLoad;
}

/// Estimates the unread prompt tokens of other entries' requests at an engine
/// that only prefills: on average, half of each prompt is prefilled by the time
/// it is reported.
static std::uint64_t estimatePeerPromptTokens(const State &Fleet,
                                              const Slot &TargetSlot) {
  constexpr double UnreadFraction = 0.5;
  if (TargetSlot.m_Target.m_Role != Role::Prefill ||
      TargetSlot.m_Target.m_Models.empty())
    return 0;
  const auto &Pools =
      Fleet.m_Pools[static_cast<std::size_t>(TargetSlot.m_Target.m_Kind)];
  const auto TargetPool = Pools.find(TargetSlot.m_Target.m_Models.front());
  const double Mean =
      TargetPool == Pools.end() ? 0 : TargetPool->second.m_MeanPromptTokens;
  return static_cast<std::uint64_t>(
      static_cast<double>(TargetSlot.m_PeerWork.m_Requests) * Mean *
      UnreadFraction);
}

void applyLoad(State &Fleet, const TargetId &Id, std::string_view Incarnation,
               const LoadReport &Report, TimePoint Now) {
  const auto Found = Fleet.m_ByTarget.find(Id);
  if (Found == Fleet.m_ByTarget.end())
    return;
  Slot &TargetSlot = Fleet.m_Slots[Found->second];
  if (TargetSlot.m_Target.m_Incarnation != Incarnation)
    return;
  if (Report.m_Slowdown)
    recordSlowdown(TargetSlot.m_Slowdown, *Report.m_Slowdown, Now);
  const Work OwnWorkAtReport =
      ownWorkAt(TargetSlot, Now - Fleet.m_Settings.m_ReportLag);
  const std::uint32_t Requests = Report.m_Running + Report.m_Waiting;
  TargetSlot.m_ReportedRequests = Requests;
  if (!Report.m_PrefillTokensWaiting && hasFreshPeerWork(TargetSlot, Now))
    return; // The work received from other entries is newer and more detailed.
  TargetSlot.m_PeerPromptByPriority = {};
  const double Busy = Report.m_PrefillTokensWaiting.value_or(0) > 0 ? 1 : 0;
  TargetSlot.m_PrefillBusy +=
      PrefillBusyWeight * (Busy - TargetSlot.m_PrefillBusy);
  TargetSlot.m_ReportAt = Now;
  TargetSlot.m_PeerWork.m_Requests =
      saturatingSubtract(Requests, OwnWorkAtReport.m_Requests);
  TargetSlot.m_PeerWork.m_PromptTokens =
      Report.m_PrefillTokensWaiting
          ? saturatingSubtract(*Report.m_PrefillTokensWaiting,
                               OwnWorkAtReport.m_PromptTokens)
          : estimatePeerPromptTokens(Fleet, TargetSlot);
  TargetSlot.m_PeerWork.m_KvBlocks = 0;
  if (Report.m_KvBlocksFree)
    TargetSlot.m_PeerWork.m_KvBlocks =
        saturatingSubtract(saturatingSubtract(TargetSlot.m_Target.m_KvBlocks,
                                              *Report.m_KvBlocksFree),
                           OwnWorkAtReport.m_KvBlocks);
  recordWorkSample(TargetSlot, Now);
  updateTotals(Fleet, Found->second);
}

std::vector<EngineWork> ownWork(const State &Fleet) {
  std::vector<EngineWork> Rows;
  for (const Slot &TargetSlot : Fleet.m_Slots) {
    if (!TargetSlot.m_Used || !TargetSlot.m_Current ||
        TargetSlot.m_Target.m_Kind != Kind::Engine ||
        ownPresent(TargetSlot) == 0)
      continue;
    EngineWork Row{TargetSlot.m_Target.m_Id, ownPresent(TargetSlot), {}};
    Row.m_PromptTokens.assign(TargetSlot.m_PromptByPriority.rbegin(),
                              TargetSlot.m_PromptByPriority.rend());
    while (!Row.m_PromptTokens.empty() && Row.m_PromptTokens.back() == 0)
      Row.m_PromptTokens.pop_back();
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

std::uint32_t streamsInProgress(const State &Fleet, const ModelId &Model) {
  return static_cast<std::uint32_t>(std::count_if(
      Fleet.m_Tries.begin(), Fleet.m_Tries.end(), [&](const auto &Item) {
        const Try &Attempt = Item.second;
        return Attempt.m_Kind == Kind::Engine && Attempt.m_Model == Model &&
               (Attempt.m_Decoding || (Attempt.m_Split && !Attempt.m_Prefill));
      }));
}

std::optional<double> observedPrefillRate(const State &Fleet,
                                          const ModelId &Model) {
  const auto &Pools = Fleet.m_Pools[static_cast<std::size_t>(Kind::Engine)];
  const auto Found = Pools.find(Model);
  if (Found == Pools.end())
    return std::nullopt;
  const Pool &TargetPool = Found->second;
  const auto &Prefilling = TargetPool.m_ByRole[roleIndex(Role::Prefill)];
  if (Prefilling.empty() || !isSlownessKnown(TargetPool, Role::Prefill))
    return std::nullopt;
  const double Stated =
      Fleet.m_Slots[Prefilling.front()].m_Target.m_PrefillTokensPerSecond;
  return Stated / roleSlowness(TargetPool, Role::Prefill);
}

void applyPeerWork(State &Fleet, const std::vector<EngineWork> &PeerRows,
                   TimePoint Now) {
  std::unordered_map<TargetId, const EngineWork *> ByTarget;
  for (const EngineWork &Row : PeerRows)
    ByTarget[Row.m_Target] = &Row;
  for (SlotIndex Index = 0; Index < Fleet.m_Slots.size(); ++Index) {
    Slot &TargetSlot = Fleet.m_Slots[Index];
    if (!TargetSlot.m_Used || !TargetSlot.m_Current ||
        TargetSlot.m_Target.m_Kind != Kind::Engine)
      continue;
    TargetSlot.m_PeerPromptByPriority = {};
    TargetSlot.m_PeerWork = {};
    if (const auto Found = ByTarget.find(TargetSlot.m_Target.m_Id);
        Found != ByTarget.end()) {
      const EngineWork &Row = *Found->second;
      TargetSlot.m_PeerWork.m_Requests = Row.m_Requests;
      const std::size_t PriorityCount = std::min(
          Row.m_PromptTokens.size(), TargetSlot.m_PeerPromptByPriority.size());
      for (std::size_t I = 0; I < PriorityCount; ++I) {
        TargetSlot.m_PeerPromptByPriority[MaxPriority - I] =
            Row.m_PromptTokens[I];
        TargetSlot.m_PeerWork.m_PromptTokens += Row.m_PromptTokens[I];
      }
    }
    const bool HasPrefill =
        TargetSlot.m_PeerWork.m_PromptTokens + TargetSlot.m_Own.m_PromptTokens >
        0;
    TargetSlot.m_PrefillBusy +=
        PrefillBusyWeight * ((HasPrefill ? 1 : 0) - TargetSlot.m_PrefillBusy);
    TargetSlot.m_PeerWorkAt = Now;
    TargetSlot.m_ReportAt = Now;
    updateTotals(Fleet, Index);
  }
}

namespace {

/// Returns how much one of several entries may still take of a shared resource:
/// its even share, and the same share of what the others leave unused of
/// theirs. If each entry took all that delayed reports show as free, the
/// resource would be taken several times over.
double allowance(double Total, double Own, double Peers, double Entries) {
  const double EvenShare = Total / Entries;
  const double Unused = std::max(0.0, Total - EvenShare - Peers);
  return std::max(0.0, EvenShare + Unused / Entries - Own);
}

/// Returns the number of requests that may still start before the prefill
/// backlog at engines exceeds its limit.
double prefillCapacity(const Settings &Options, const Pool &TargetPool,
                       double Entries) {
  double Own = 0;
  double Peers = 0;
  double Rate = 0;
  for (Role EngineRole : {Role::Mixed, Role::Prefill, Role::Decode}) {
    // Decode engines also prefill, and therefore count, only where engines in
    // role prefill run no whole requests.
    if (EngineRole == Role::Decode && Options.m_PrefillRunsWhole)
      continue;
    const PoolTotals &Sum = TargetPool.m_Totals[roleIndex(EngineRole)];
    Own += static_cast<double>(Sum.m_OwnPromptTokens);
    Peers += static_cast<double>(Sum.m_PeerWork.m_PromptTokens);
    Rate += static_cast<double>(Sum.m_PrefillRate) /
            roleSlowness(TargetPool, EngineRole);
  }
  if (Rate <= 0) { // All engines are in role decode and also prefill prompts.
    const PoolTotals &Sum = TargetPool.m_Totals[roleIndex(Role::Decode)];
    Own = static_cast<double>(Sum.m_OwnPromptTokens);
    Peers = static_cast<double>(Sum.m_PeerWork.m_PromptTokens);
    Rate = static_cast<double>(Sum.m_PrefillRate) /
           roleSlowness(TargetPool, Role::Decode);
  }
  const double Total = Rate * seconds(Options.m_MaxPrefillWaiting);
  const double Tokens = std::min(allowance(Total, Own, Peers, Entries),
                                 std::max(0.0, Total - Own - Peers));
  return std::ceil(Tokens / std::max(1.0, TargetPool.m_MeanPromptTokens));
}

/// Returns the totals of the engines that decode. Engines in role prefill
/// decode only where no others do.
PoolTotals decodeTotals(const Pool &TargetPool) {
  PoolTotals Sum = TargetPool.m_Totals[roleIndex(Role::Mixed)];
  add(Sum, TargetPool.m_Totals[roleIndex(Role::Decode)]);
  return Sum.m_Max == 0 ? TargetPool.m_Totals[roleIndex(Role::Prefill)] : Sum;
}

/// Free places at targets of the model that rest.
double restingSlots(const State &Fleet, Kind TargetKind, const ModelId &Model,
                    TimePoint Now) {
  double Sum = 0;
  for (const SlotIndex Index : Fleet.m_Resting) {
    const Slot &TargetSlot = Fleet.m_Slots[Index];
    const auto &Models = TargetSlot.m_Target.m_Models;
    if (TargetSlot.m_RestingUntil > Now &&
        TargetSlot.m_Target.m_Kind == TargetKind &&
        std::find(Models.begin(), Models.end(), Model) != Models.end())
      Sum += static_cast<double>(TargetSlot.m_Contribution.m_Free);
  }
  return Sum;
}

} // namespace

Capacity capacityFor(const State &Fleet, Kind TargetKind, const ModelId &Model,
                     TimePoint Now) {
  const auto &Pools = Fleet.m_Pools[static_cast<std::size_t>(TargetKind)];
  const auto Found = Pools.find(Model);
  if (Found == Pools.end())
    return {};
  const Settings &Options = Fleet.m_Settings;
  const double Entries = std::max(1U, Options.m_Entries);
  const PoolTotals Sum = decodeTotals(Found->second);
  const double Max = static_cast<double>(Sum.m_Max);
  const double Slots = std::ceil(
      allowance(Max, static_cast<double>(Sum.m_OwnRequests),
                static_cast<double>(Sum.m_PeerWork.m_Requests), Entries));
  double Free = std::min(static_cast<double>(Sum.m_Free), Slots);
  if (TargetKind == Kind::Engine)
    Free = std::min(Free, prefillCapacity(Options, Found->second, Entries));
  Free = std::max(0.0, Free - restingSlots(Fleet, TargetKind, Model, Now));
  return {static_cast<std::uint32_t>(Free), Max / Entries};
}

} // namespace wasabivale::routing
