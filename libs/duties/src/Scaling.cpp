#include "duties/duties.h"

#include <algorithm>

namespace wasabivale::duties {

namespace {

/// How long the targets of a zone must stay as they are before more are given
/// up: a new one has taken its first requests by then.
constexpr std::chrono::milliseconds SettleTime{1'000};
/// The same before the number of targets to keep is known: each registers with
/// its next message, and these are more than a second apart.
constexpr std::chrono::seconds FirstSettleTime{3};
/// Part of the targets of a zone that may be missing for some time before
/// others are ordered: they mostly return by themselves.
constexpr std::uint32_t ToleratedPart = 10;
constexpr std::chrono::seconds ReturnTime{5};
/// Pause after an order for targets that were not available.
constexpr std::chrono::seconds UnavailablePause{5};
/// An order without an answer may still take effect; it is sent again as it
/// was.
constexpr std::chrono::milliseconds UnclearPause{1'500};
/// Longest life of an order that is under way.
constexpr std::chrono::seconds OpenOrder{2};
/// An order that has not taken effect this long after the boot time is sent
/// again.
constexpr std::chrono::seconds EffectMargin{6};

ZoneScaling::Ordered &ordersOf(ZoneScaling &Zone, bool Reclaimable) {
  return Reclaimable ? Zone.m_Reclaimable : Zone.m_Usual;
}

bool hasReclaimable(const routes::Scaling &Bounds) {
  return Bounds.m_ReclaimablePrice > 0 && Bounds.m_ReclaimablePrice < 1;
}

/// Whether an order for \p Count is due, given the targets that there are.
bool isDue(const ZoneScaling::Ordered &Former, std::uint32_t Count,
           std::uint32_t Current, TimePoint Now) {
  if (Now < Former.m_NotBefore)
    return false;
  if (Former.m_Count.value_or(Current) != Count)
    return true;
  return Current != Count && Now >= Former.m_EffectBy;
}

void observe(ZoneScaling &Zone, const ZoneTargets &Current, TimePoint Now) {
  const bool IsSame = Zone.m_Seen.m_Usual == Current.m_Usual &&
                      Zone.m_Seen.m_Reclaimable == Current.m_Reclaimable;
  if (IsSame && Zone.m_SeenSince != TimePoint())
    return;
  Zone.m_Seen = Current;
  Zone.m_SeenSince = Now;
}

} // namespace

void adoptOrder(ScalingState &State, const ScaleOrder &Former) {
  ZoneScaling &Zone = State.m_Zones[{Former.m_Service, Former.m_Zone}];
  ordersOf(Zone, Former.m_Reclaimable).m_Count = Former.m_Count;
  if (Former.m_Reclaimable)
    Zone.m_WantedBefore = Former.m_Count;
}

std::vector<ScaleOrder> dueOrders(ScalingState &State,
                                  const std::string &Service,
                                  const routes::Scaling &Bounds,
                                  const std::map<ZoneId, ZoneTargets> &Zones,
                                  TimePoint Now) {
  std::vector<ScaleOrder> Due;
  if (!hasReclaimable(Bounds))
    return Due;
  for (const auto &[Name, Current] : Zones) {
    ZoneScaling &Zone = State.m_Zones[{Service, Name}];
    observe(Zone, Current, Now);
    const bool IsSettled = Now - Zone.m_SeenSince >= SettleTime;
    if (!Zone.m_Wanted && Now - Zone.m_SeenSince >= FirstSettleTime &&
        Current.total() > 0)
      Zone.m_Wanted = std::max(Current.total(), Zone.m_WantedBefore);
    if (!Zone.m_Wanted)
      continue;
    // Others may have registered late, as long as none was given up.
    if (!Zone.m_Usual.m_Count && IsSettled)
      Zone.m_Wanted = std::max(*Zone.m_Wanted, Current.m_Usual);
    Zone.m_Wanted = std::clamp(*Zone.m_Wanted, Bounds.m_Min, Bounds.m_Max);
    const std::uint32_t Room =
        Bounds.m_Max - std::min(Bounds.m_Max, Current.m_Usual);
    const std::uint32_t Reclaimable = std::min(*Zone.m_Wanted, Room);
    if (isDue(Zone.m_Reclaimable, Reclaimable, Current.m_Reclaimable, Now))
      Due.push_back({Service, Name, true, Reclaimable});
    const std::uint32_t Usual =
        *Zone.m_Wanted - std::min(*Zone.m_Wanted, Current.m_Reclaimable);
    const bool IsUrgent =
        Usual > Current.m_Usual + *Zone.m_Wanted / ToleratedPart;
    const bool IsReturning =
        Usual > Current.m_Usual && Now - Zone.m_SeenSince < ReturnTime;
    const bool MayOrder = IsUrgent || (IsSettled && !IsReturning);
    if (MayOrder && isDue(Zone.m_Usual, Usual, Current.m_Usual, Now))
      Due.push_back({Service, Name, false, Usual});
  }
  return Due;
}

void recordSent(ScalingState &State, const ScaleOrder &Sent, TimePoint Now) {
  ZoneScaling &Zone = State.m_Zones[{Sent.m_Service, Sent.m_Zone}];
  ordersOf(Zone, Sent.m_Reclaimable).m_NotBefore = Now + OpenOrder;
}

void recordAnswer(ScalingState &State, const ScaleOrder &Sent,
                  ScaleAnswer Answer, const routes::Scaling &Bounds,
                  TimePoint Now) {
  ZoneScaling &Zone = State.m_Zones[{Sent.m_Service, Sent.m_Zone}];
  ZoneScaling::Ordered &Orders = ordersOf(Zone, Sent.m_Reclaimable);
  switch (Answer) {
  case ScaleAnswer::Accepted:
    Orders.m_Count = Sent.m_Count;
    Orders.m_NotBefore = Now;
    Orders.m_EffectBy = Now + Bounds.m_BootTime + EffectMargin;
    return;
  case ScaleAnswer::Unavailable:
    Orders.m_NotBefore = Now + UnavailablePause;
    return;
  case ScaleAnswer::Unclear:
    Orders.m_NotBefore = Now + UnclearPause;
    return;
  }
}

} // namespace wasabivale::duties
