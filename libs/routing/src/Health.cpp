// Outlier ejection, readmission by a single probe, and warm-up.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Weights of the newest response in the mean slowness of a target and of a
/// pool.
constexpr double TargetAlpha = 0.1;
constexpr double PoolAlpha = 0.02;
/// Responses required before a slowness is trusted.
constexpr std::uint32_t MinTrustedSamples = 4;
/// Bounds of the factor of a slowness. Engines that state no rates differ from
/// the assumed ones by an order of magnitude.
constexpr double MinSlowness = 0.02;
constexpr double MaxSlowness = 50;
/// Bounds of ln(observed / expected), so that a single response cannot
/// dominate.
constexpr double MinLogRatio = -4;
constexpr double MaxLogRatio = 4;
/// Shorter times are dominated by noise.
constexpr Duration MinMeasurableTime = std::chrono::milliseconds(2);
/// Minimum fraction of a target's capacity that is open during warm-up.
constexpr double MinWarmUpFraction = 0.05;
constexpr std::uint32_t MaxEjectionDoublings = 6;

std::size_t countServing(const Pool &TargetPool) {
  std::size_t Count = TargetPool.m_Ejected.size();
  for (const std::vector<SlotIndex> &List : TargetPool.m_ByRole)
    Count += List.size();
  return Count;
}

std::size_t ejectionLimit(const Settings &Options, std::size_t Serving) {
  if (Serving <= 1)
    return 0;
  const double Limit = Options.m_MaxEjectedShare * static_cast<double>(Serving);
  return std::max<std::size_t>(1, static_cast<std::size_t>(Limit));
}

bool mayEject(State &Fleet, const Slot &TargetSlot) {
  for (const ModelId &Model : TargetSlot.m_Target.m_Models) {
    const Pool &TargetPool = getPool(Fleet, TargetSlot.m_Target.m_Kind, Model);
    const std::size_t Limit =
        ejectionLimit(Fleet.m_Settings, countServing(TargetPool));
    if (TargetPool.m_Ejected.size() + 1 > Limit)
      return false;
  }
  return true;
}

Duration ejectionTime(const Settings &Options, const Health &TargetHealth) {
  const std::uint32_t Doublings =
      std::min(TargetHealth.m_Ejections, MaxEjectionDoublings);
  return std::min(Options.m_EjectionTime * (1 << Doublings),
                  Options.m_MaxEjectionTime);
}

void changeState(State &Fleet, SlotIndex Index, HealthState Next) {
  removeFromPools(Fleet, Index);
  Fleet.m_Slots[Index].m_Health.m_State = Next;
  addToPools(Fleet, Index);
  updateTotals(Fleet, Index);
}

void applyEjection(State &Fleet, SlotIndex Index, TimePoint Now) {
  Health &TargetHealth = Fleet.m_Slots[Index].m_Health;
  TargetHealth.m_EjectedUntil =
      Now + ejectionTime(Fleet.m_Settings, TargetHealth);
  ++TargetHealth.m_Ejections;
  TargetHealth.m_FailurePoints = 0;
  TargetHealth.m_FirstTokenSlowness = {};
  TargetHealth.m_TokenSlowness = {};
  ++Fleet.m_Counters.m_Ejections;
  changeState(Fleet, Index, HealthState::Ejected);
}

void eject(State &Fleet, SlotIndex Index, TimePoint Now) {
  const Slot &TargetSlot = Fleet.m_Slots[Index];
  if (!isEligible(TargetSlot))
    return;
  if (!mayEject(Fleet, TargetSlot)) {
    ++Fleet.m_Counters.m_EjectionsPrevented;
    return;
  }
  applyEjection(Fleet, Index, Now);
}

void readmit(State &Fleet, SlotIndex Index, TimePoint Now) {
  Health &TargetHealth = Fleet.m_Slots[Index].m_Health;
  TargetHealth.m_FailurePoints = 0;
  TargetHealth.m_WarmUpStart = Now;
  ++Fleet.m_Counters.m_Readmissions;
  changeState(Fleet, Index, HealthState::Warming);
}

std::uint32_t failurePoints(const Settings &Options, TryOutcome Outcome) {
  switch (Outcome) {
  case TryOutcome::Crashed:
    return Options.m_FailuresToEject;
  case TryOutcome::Stalled:
    return 2;
  default:
    return 1;
  }
}

void finishWarmUp(State &Fleet, Slot &TargetSlot, TimePoint Now) {
  if (TargetSlot.m_Health.m_State != HealthState::Warming)
    return;
  if (warmFraction(Fleet.m_Settings, TargetSlot, Now) < 1)
    return;
  TargetSlot.m_Health.m_State = HealthState::Healthy;
  TargetSlot.m_Health.m_Ejections = 0;
}

void updateMean(Slowness &Mean, double LogRatio, double Alpha) {
  ++Mean.m_Samples;
  const double Weight =
      std::max(Alpha, 1 / static_cast<double>(Mean.m_Samples));
  Mean.m_LogRatio += Weight * (LogRatio - Mean.m_LogRatio);
}

/// Updates the mean so that times above it count less. Waiting that no report
/// has shown yet makes first tokens late, never early, and is not a property of
/// the engine.
void updateLowMean(Slowness &Mean, double LogRatio, double Alpha) {
  /// Weight of a longer time beside that of a shorter one.
  constexpr double LongerWeight = 0.3;
  updateMean(Mean, LogRatio,
             LogRatio > Mean.m_LogRatio ? Alpha * LongerWeight : Alpha);
}

double logRatio(const Timing &Time) {
  const double Ratio = seconds(std::max(Time.m_Observed, MinMeasurableTime)) /
                       seconds(std::max(Time.m_Expected, MinMeasurableTime));
  return std::clamp(std::log(Ratio), MinLogRatio, MaxLogRatio);
}

/// Records a time as evidence about a target relative to its peers of the same
/// role.
void recordTime(State &Fleet, SlotIndex Index, Slowness &Own, Slowness &Peers,
                const Timing &Time, TimePoint Now,
                void (*Update)(Slowness &, double, double) = updateMean) {
  if (!isEligible(Fleet.m_Slots[Index]))
    return;
  const double LogRatio = logRatio(Time);
  Update(Own, LogRatio, TargetAlpha);
  Update(Peers, LogRatio, PoolAlpha);
  const Settings &Options = Fleet.m_Settings;
  if (Own.m_Samples >= Options.m_SlownessSamples &&
      Own.m_LogRatio - Peers.m_LogRatio > std::log(Options.m_SlownessToEject))
    eject(Fleet, Index, Now);
}

double slownessFactor(const Slowness &Own, const Slowness &Peers) {
  const Slowness &Source = Own.m_Samples >= MinTrustedSamples ? Own : Peers;
  if (Source.m_Samples < MinTrustedSamples)
    return 1;
  return std::clamp(std::exp(Source.m_LogRatio), MinSlowness, MaxSlowness);
}

} // namespace

bool isSilent(const Settings &Options, const Slot &TargetSlot, TimePoint Now) {
  return TargetSlot.m_SilentAt != TimePoint() &&
         Now - TargetSlot.m_SilentAt <= Options.m_SilenceCostDuration;
}

bool hasKnownSilence(const Settings &Options, const Slot &TargetSlot,
                     TimePoint Now) {
  return TargetSlot.m_SilentAt != TimePoint() &&
         Now - TargetSlot.m_SilentAt <= Options.m_SilenceRetention;
}

double warmFraction(const Settings &Options, const Slot &TargetSlot,
                    TimePoint Now) {
  if (TargetSlot.m_Health.m_State != HealthState::Warming)
    return 1;
  const double Fraction = seconds(Now - TargetSlot.m_Health.m_WarmUpStart) /
                          std::max(1e-9, seconds(Options.m_WarmUp));
  return std::clamp(Fraction, MinWarmUpFraction, 1.0);
}

void recordFirstTokenTime(State &Fleet, SlotIndex Index, Pool &TargetPool,
                          const Timing &Time, TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  const std::size_t RoleIndex = roleIndex(TargetSlot.m_Target.m_Role);
  recordTime(Fleet, Index, TargetSlot.m_Health.m_FirstTokenSlowness,
             TargetPool.m_FirstTokenSlowness[RoleIndex], Time, Now,
             TargetSlot.m_Target.m_Kind == Kind::Engine ? updateLowMean
                                                        : updateMean);
}

void recordTokenInterval(State &Fleet, SlotIndex Index, Pool &TargetPool,
                         const Timing &Time, TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  const std::size_t RoleIndex = roleIndex(TargetSlot.m_Target.m_Role);
  recordTime(Fleet, Index, TargetSlot.m_Health.m_TokenSlowness,
             TargetPool.m_TokenSlowness[RoleIndex], Time, Now);
}

void recordHandoffTime(State &Fleet, SlotIndex Index, Pool &TargetPool,
                       const Timing &Time) {
  const double LogRatio = logRatio(Time);
  updateMean(Fleet.m_Slots[Index].m_Health.m_HandoffSlowness, LogRatio,
             TargetAlpha);
  updateMean(TargetPool.m_HandoffSlowness, LogRatio, PoolAlpha);
}

double handoffSlowness(const Pool &TargetPool, const Slot &TargetSlot) {
  return slownessFactor(TargetSlot.m_Health.m_HandoffSlowness,
                        TargetPool.m_HandoffSlowness);
}

double firstTokenSlowness(const Pool &TargetPool, const Slot &TargetSlot) {
  return slownessFactor(
      TargetSlot.m_Health.m_FirstTokenSlowness,
      TargetPool.m_FirstTokenSlowness[roleIndex(TargetSlot.m_Target.m_Role)]);
}

double roleSlowness(const Pool &TargetPool, Role TargetRole) {
  const Slowness &Mean = TargetPool.m_FirstTokenSlowness[roleIndex(TargetRole)];
  return slownessFactor(Mean, Mean);
}

bool isSlownessKnown(const Pool &TargetPool, Role TargetRole) {
  return TargetPool.m_FirstTokenSlowness[roleIndex(TargetRole)].m_Samples >=
         MinTrustedSamples;
}

double tokenSlowness(const Pool &TargetPool, const Slot &TargetSlot) {
  return slownessFactor(
      TargetSlot.m_Health.m_TokenSlowness,
      TargetPool.m_TokenSlowness[roleIndex(TargetSlot.m_Target.m_Role)]);
}

void recordSlowdown(Slowdown &Known, double Reported, TimePoint Now) {
  /// Weight of a report in the mean.
  constexpr double MeanWeight = 0.05;
  Known.m_Last = Reported;
  Known.m_At = Now;
  Known.m_Mean += MeanWeight * (Reported - Known.m_Mean);
}

double passingSlowdown(const Slowdown &Known, TimePoint Now) {
  /// Slowdowns pass within some hundred ms; a report counts for less the older
  /// it is, and not at all after this time.
  constexpr std::chrono::milliseconds Lifetime{600};
  constexpr double MaxFactor = 4;
  if (Known.m_At == TimePoint() || Now - Known.m_At >= Lifetime)
    return 1;
  const double Fresh =
      std::min(1.0, 1 - seconds(Now - Known.m_At) / seconds(Lifetime));
  const double Factor = std::clamp(Known.m_Last / std::max(Known.m_Mean, 1e-2),
                                   1 / MaxFactor, MaxFactor);
  return std::pow(Factor, Fresh);
}

void recordSuccess(State &Fleet, SlotIndex Index, bool Probe, TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  if (!TargetSlot.m_Current)
    return;
  if (Probe && TargetSlot.m_Health.m_State == HealthState::Probing) {
    readmit(Fleet, Index, Now);
    return;
  }
  TargetSlot.m_Health.m_FailurePoints = 0;
  finishWarmUp(Fleet, TargetSlot, Now);
}

void recordFailure(State &Fleet, SlotIndex Index, TryOutcome Outcome,
                   bool Probe, TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  if (!TargetSlot.m_Current)
    return;
  if (Probe && TargetSlot.m_Health.m_State == HealthState::Probing) {
    applyEjection(Fleet, Index, Now);
    return;
  }
  if (!isEligible(TargetSlot))
    return;
  TargetSlot.m_Health.m_FailurePoints +=
      failurePoints(Fleet.m_Settings, Outcome);
  if (TargetSlot.m_Health.m_FailurePoints >= Fleet.m_Settings.m_FailuresToEject)
    eject(Fleet, Index, Now);
}

void recordUnusedProbe(State &Fleet, SlotIndex Index, TimePoint Now) {
  Slot &TargetSlot = Fleet.m_Slots[Index];
  if (!TargetSlot.m_Current ||
      TargetSlot.m_Health.m_State != HealthState::Probing)
    return;
  TargetSlot.m_Health.m_EjectedUntil = Now;
  TargetSlot.m_Health.m_State = HealthState::Ejected;
}

void readmitPrefillEngines(State &Fleet, Pool &TargetPool, TimePoint Now) {
  const std::vector<SlotIndex> Ejected = TargetPool.m_Ejected;
  for (const SlotIndex Index : Ejected) {
    const Slot &TargetSlot = Fleet.m_Slots[Index];
    if (TargetSlot.m_Target.m_Role == Role::Prefill &&
        TargetSlot.m_Health.m_State == HealthState::Ejected &&
        TargetSlot.m_Health.m_EjectedUntil <= Now)
      readmit(Fleet, Index, Now);
  }
}

void readmitExcess(State &Fleet, Pool &TargetPool, TimePoint Now) {
  while (TargetPool.m_Ejected.size() >
         ejectionLimit(Fleet.m_Settings, countServing(TargetPool))) {
    const auto Earlier = [&](SlotIndex Left, SlotIndex Right) {
      return Fleet.m_Slots[Left].m_Health.m_EjectedUntil <
             Fleet.m_Slots[Right].m_Health.m_EjectedUntil;
    };
    const SlotIndex Earliest = *std::min_element(
        TargetPool.m_Ejected.begin(), TargetPool.m_Ejected.end(), Earlier);
    readmit(Fleet, Earliest, Now);
  }
}

} // namespace wasabivale::routing
