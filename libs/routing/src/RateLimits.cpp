// Token buckets for targets that limit their requests, and rests that targets
// ask for.

#include "Internal.h"

namespace wasabivale::routing {

namespace {

constexpr double MaxTokens = 1;

double tokensAt(const RateLimit &Limit, TimePoint Now) {
  return std::min(MaxTokens,
                  Limit.m_Tokens +
                      Limit.m_PerSecond * seconds(Now - Limit.m_FilledAt));
}

void fill(RateLimit &Limit, TimePoint Now) {
  Limit.m_Tokens = tokensAt(Limit, Now);
  Limit.m_FilledAt = Now;
}

} // namespace

void limitRate(State &Fleet, const TargetId &Id,
               std::optional<double> PerSecond, TimePoint Now) {
  const auto Found = Fleet.m_ByTarget.find(Id);
  if (Found == Fleet.m_ByTarget.end())
    return;
  std::optional<RateLimit> &Limit = Fleet.m_Slots[Found->second].m_RateLimit;
  if (!PerSecond) {
    Limit.reset();
    return;
  }
  if (!Limit)
    Limit = RateLimit{*PerSecond, 0, Now};
  fill(*Limit, Now);
  Limit->m_PerSecond = *PerSecond;
}

bool admitsNow(const Slot &TargetSlot, TimePoint Now) {
  return TargetSlot.m_RestingUntil <= Now &&
         (!TargetSlot.m_RateLimit ||
          tokensAt(*TargetSlot.m_RateLimit, Now) >= MaxTokens);
}

bool takeRateToken(Slot &TargetSlot, TimePoint Now) {
  if (!TargetSlot.m_RateLimit)
    return false;
  fill(*TargetSlot.m_RateLimit, Now);
  TargetSlot.m_RateLimit->m_Tokens -= MaxTokens;
  return true;
}

void returnRateToken(Slot &TargetSlot, TimePoint Now) {
  if (!TargetSlot.m_RateLimit)
    return;
  TargetSlot.m_RateLimit->m_Tokens += MaxTokens;
  fill(*TargetSlot.m_RateLimit, Now);
}

/// When the slot admits a request, or nothing if it never will.
static std::optional<TimePoint> admittedAt(const Slot &TargetSlot,
                                           TimePoint Now) {
  const TimePoint Rested = std::max(Now, TargetSlot.m_RestingUntil);
  const auto &Limit = TargetSlot.m_RateLimit;
  if (!Limit)
    return Rested;
  if (Limit->m_PerSecond <= 0)
    return std::nullopt;
  const double Missing = std::max(0.0, MaxTokens - tokensAt(*Limit, Now));
  return std::max<TimePoint>(Rested,
                             Now + fromSeconds(Missing / Limit->m_PerSecond));
}

std::optional<TimePoint> nextAdmittedAt(const State &Fleet, Kind TargetKind,
                                        const ModelId &Model, TimePoint Now) {
  const auto &Pools = Fleet.m_Pools[static_cast<std::size_t>(TargetKind)];
  const auto Found = Pools.find(Model);
  if (Found == Pools.end())
    return std::nullopt;
  std::optional<TimePoint> Next;
  for (const auto &List : Found->second.m_ByRole)
    for (const SlotIndex Index : List) {
      const Slot &TargetSlot = Fleet.m_Slots[Index];
      const auto AdmittedAt = admittedAt(TargetSlot, Now);
      if (AdmittedAt && runsWholeRequests(Fleet, TargetSlot))
        Next = std::min(Next.value_or(*AdmittedAt), *AdmittedAt);
    }
  return Next;
}

} // namespace wasabivale::routing
