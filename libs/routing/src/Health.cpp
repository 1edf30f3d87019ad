// Outlier ejection by evidence, return by a single probe, warm-up.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Weight of the newest answer in a target's and in a pool's mean slowness.
constexpr double TargetAlpha = 0.1;
constexpr double PoolAlpha = 0.02;
/// Answers before a slowness is believed, and its bounds.
constexpr std::uint32_t TrustedSamples = 4;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 20;
/// Bounds of ln(observed / expected), so that one answer cannot decide.
constexpr double LeastLog = -2;
constexpr double MostLog = 3;
/// Times below this are noise.
constexpr Duration ShortestTime = std::chrono::milliseconds(5);
/// Least part of a target that a warm-up opens.
constexpr double ColdFraction = 0.05;
constexpr std::uint32_t MaxEjectionDoublings = 6;

std::size_t servingCount(const Pool &Group) {
  std::size_t Count = Group.m_Ejected.size();
  for (const std::vector<SlotIndex> &List : Group.m_ByRole)
    Count += List.size();
  return Count;
}

std::size_t ejectionLimit(const Settings &Options, std::size_t Serving) {
  if (Serving <= 1)
    return 0;
  const double Part = Options.m_MaxEjectedShare * static_cast<double>(Serving);
  return std::max<std::size_t>(1, static_cast<std::size_t>(Part));
}

bool mayEject(State &Fleet, const Slot &Place) {
  for (const ModelId &Model : Place.m_Target.m_Models) {
    const Pool &Group = poolOf(Fleet, Place.m_Target.m_Kind, Model);
    const std::size_t Limit =
        ejectionLimit(Fleet.m_Settings, servingCount(Group));
    if (Group.m_Ejected.size() + 1 > Limit)
      return false;
  }
  return true;
}

Duration ejectionTime(const Settings &Options, const Health &Known) {
  const std::uint32_t Doublings =
      std::min(Known.m_Ejections, MaxEjectionDoublings);
  return std::min(Options.m_EjectFor * (1 << Doublings), Options.m_MaxEjectFor);
}

void changeState(State &Fleet, SlotIndex Index, HealthState Next) {
  unlistSlot(Fleet, Index);
  Fleet.m_Slots[Index].m_Health.m_State = Next;
  listSlot(Fleet, Index);
  refreshSums(Fleet, Index);
}

void ejectAgain(State &Fleet, SlotIndex Index, TimePoint Now) {
  Health &Known = Fleet.m_Slots[Index].m_Health;
  Known.m_EjectedUntil = Now + ejectionTime(Fleet.m_Settings, Known);
  ++Known.m_Ejections;
  Known.m_FailurePoints = 0;
  Known.m_First = {};
  Known.m_Step = {};
  ++Fleet.m_Counters.m_Ejections;
  changeState(Fleet, Index, HealthState::Ejected);
}

void eject(State &Fleet, SlotIndex Index, TimePoint Now) {
  const Slot &Place = Fleet.m_Slots[Index];
  if (!isEligible(Place))
    return;
  if (!mayEject(Fleet, Place)) {
    ++Fleet.m_Counters.m_EjectionsPrevented;
    return;
  }
  ejectAgain(Fleet, Index, Now);
}

void returnToService(State &Fleet, SlotIndex Index, TimePoint Now) {
  Health &Known = Fleet.m_Slots[Index].m_Health;
  Known.m_FailurePoints = 0;
  Known.m_WarmFrom = Now;
  ++Fleet.m_Counters.m_Returns;
  changeState(Fleet, Index, HealthState::Warming);
}

std::uint32_t failurePoints(const Settings &Options, TryOutcome What) {
  switch (What) {
  case TryOutcome::Crashed:
    return Options.m_FailuresToEject;
  case TryOutcome::Stalled:
    return 2;
  default:
    return 1;
  }
}

void settleWarmUp(State &Fleet, Slot &Place, TimePoint Now) {
  if (Place.m_Health.m_State != HealthState::Warming)
    return;
  if (warmFraction(Fleet.m_Settings, Place, Now) < 1)
    return;
  Place.m_Health.m_State = HealthState::Healthy;
  Place.m_Health.m_Ejections = 0;
}

void moveMean(Slowness &Mean, double Log, double Alpha) {
  ++Mean.m_Samples;
  const double Share = std::max(Alpha, 1 / static_cast<double>(Mean.m_Samples));
  Mean.m_Log += Share * (Log - Mean.m_Log);
}

double logRatio(const Timing &Took) {
  const double Ratio = seconds(std::max(Took.m_Observed, ShortestTime)) /
                       seconds(std::max(Took.m_Expected, ShortestTime));
  return std::clamp(std::log(Ratio), LeastLog, MostLog);
}

/// Notes a time as evidence about a target, beside its peers of the same role.
void noteTime(State &Fleet, SlotIndex Index, Slowness &Own, Slowness &Peers,
              const Timing &Took, TimePoint Now) {
  if (!isEligible(Fleet.m_Slots[Index]))
    return;
  const double Log = logRatio(Took);
  moveMean(Own, Log, TargetAlpha);
  moveMean(Peers, Log, PoolAlpha);
  const Settings &Options = Fleet.m_Settings;
  if (Own.m_Samples >= Options.m_SlownessSamples &&
      Own.m_Log - Peers.m_Log > std::log(Options.m_SlownessToEject))
    eject(Fleet, Index, Now);
}

double believed(const Slowness &Own, const Slowness &Peers) {
  const Slowness &Used = Own.m_Samples >= TrustedSamples ? Own : Peers;
  if (Used.m_Samples < TrustedSamples)
    return 1;
  return std::clamp(std::exp(Used.m_Log), MinSlowness, MaxSlowness);
}

} // namespace

double warmFraction(const Settings &Options, const Slot &Place, TimePoint Now) {
  if (Place.m_Health.m_State != HealthState::Warming)
    return 1;
  const double Part = seconds(Now - Place.m_Health.m_WarmFrom) /
                      std::max(1e-9, seconds(Options.m_WarmUp));
  return std::clamp(Part, ColdFraction, 1.0);
}

void noteFirstTime(State &Fleet, SlotIndex Index, Pool &Group,
                   const Timing &Took, TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  const std::size_t Part = roleIndex(Place.m_Target.m_Role);
  noteTime(Fleet, Index, Place.m_Health.m_First, Group.m_First[Part], Took,
           Now);
}

void noteStepTime(State &Fleet, SlotIndex Index, Pool &Group,
                  const Timing &Took, TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  const std::size_t Part = roleIndex(Place.m_Target.m_Role);
  noteTime(Fleet, Index, Place.m_Health.m_Step, Group.m_Step[Part], Took, Now);
}

void noteSplitTime(Pool &Group, const Timing &Took) {
  moveMean(Group.m_Split, logRatio(Took), PoolAlpha);
}

double splitSlowness(const Pool &Group) {
  return believed(Group.m_Split, Group.m_Split);
}

double firstSlowness(const Pool &Group, const Slot &Place) {
  return believed(Place.m_Health.m_First,
                  Group.m_First[roleIndex(Place.m_Target.m_Role)]);
}

double roleSlowness(const Pool &Group, Role Which) {
  const Slowness &Known = Group.m_First[roleIndex(Which)];
  return believed(Known, Known);
}

double stepSlowness(const Pool &Group, const Slot &Place) {
  return believed(Place.m_Health.m_Step,
                  Group.m_Step[roleIndex(Place.m_Target.m_Role)]);
}

void noteGood(State &Fleet, SlotIndex Index, bool Probe, TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  if (!Place.m_Current)
    return;
  if (Probe && Place.m_Health.m_State == HealthState::Probing) {
    returnToService(Fleet, Index, Now);
    return;
  }
  Place.m_Health.m_FailurePoints = 0;
  settleWarmUp(Fleet, Place, Now);
}

void noteBad(State &Fleet, SlotIndex Index, TryOutcome What, bool Probe,
             TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  if (!Place.m_Current)
    return;
  if (Probe && Place.m_Health.m_State == HealthState::Probing) {
    ejectAgain(Fleet, Index, Now);
    return;
  }
  if (!isEligible(Place))
    return;
  Place.m_Health.m_FailurePoints += failurePoints(Fleet.m_Settings, What);
  if (Place.m_Health.m_FailurePoints >= Fleet.m_Settings.m_FailuresToEject)
    eject(Fleet, Index, Now);
}

void noteProbeUnused(State &Fleet, SlotIndex Index, TimePoint Now) {
  Slot &Place = Fleet.m_Slots[Index];
  if (!Place.m_Current || Place.m_Health.m_State != HealthState::Probing)
    return;
  Place.m_Health.m_EjectedUntil = Now;
  Place.m_Health.m_State = HealthState::Ejected;
}

void readmitPrefill(State &Fleet, Pool &Group, TimePoint Now) {
  const std::vector<SlotIndex> Ejected = Group.m_Ejected;
  for (const SlotIndex Index : Ejected) {
    const Slot &Place = Fleet.m_Slots[Index];
    if (Place.m_Target.m_Role == Role::Prefill &&
        Place.m_Health.m_State == HealthState::Ejected &&
        Place.m_Health.m_EjectedUntil <= Now)
      returnToService(Fleet, Index, Now);
  }
}

void releaseExcess(State &Fleet, Pool &Group, TimePoint Now) {
  while (Group.m_Ejected.size() >
         ejectionLimit(Fleet.m_Settings, servingCount(Group))) {
    const auto Earlier = [&](SlotIndex Left, SlotIndex Right) {
      return Fleet.m_Slots[Left].m_Health.m_EjectedUntil <
             Fleet.m_Slots[Right].m_Health.m_EjectedUntil;
    };
    const SlotIndex Best = *std::min_element(Group.m_Ejected.begin(),
                                             Group.m_Ejected.end(), Earlier);
    returnToService(Fleet, Best, Now);
  }
}

} // namespace wasabivale::routing
