// Division of callers' limits among entries.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

double &demandComponent(Demand &Value, std::size_t Dimension) {
  switch (Dimension) {
  case 0:
    return Value.m_RequestsPerSecond;
  case 1:
    return Value.m_PromptTokensPerSecond;
  case 2:
    return Value.m_OutputTokensPerSecond;
  default:
    return Value.m_Running;
  }
}

double &limitComponent(Limits &Value, std::size_t Dimension) {
  switch (Dimension) {
  case 0:
    return Value.m_RequestsPerSecond;
  case 1:
    return Value.m_PromptTokensPerSecond;
  case 2:
    return Value.m_OutputTokensPerSecond;
  default:
    return Value.m_Running;
  }
}

double limitComponent(const Limits &Value, std::size_t Dimension) {
  return limitComponent(const_cast<Limits &>(Value), Dimension);
}

constexpr std::size_t DimensionCount = 4;
constexpr std::size_t RunningDimension = 3;

double floorComponent(double Limit, std::size_t Dimension,
                      std::size_t Entries) {
  const double Count = static_cast<double>(std::max<std::size_t>(1, Entries));
  if (Dimension == RunningDimension)
    return std::floor(Limit * RunningFloorShare / Count);
  return Limit * FloorShare / Count;
}

/// Divides \p Total by demand: each demand plus an even part of the remainder,
/// or in proportion to demand if \p Total is too small. The parts sum to
/// \p Total.
std::vector<double> divideByDemand(double Total,
                                   const std::vector<double> &Demands) {
  double Sum = 0;
  for (double Amount : Demands)
    Sum += Amount;
  const double Count = static_cast<double>(Demands.size());
  std::vector<double> Parts;
  Parts.reserve(Demands.size());
  for (double Amount : Demands) {
    const bool Enough = Sum <= Total;
    Parts.push_back(Enough ? Amount + (Total - Sum) / Count
                           : Total * Amount / Sum);
  }
  return Parts;
}

/// Rounds to whole numbers with the same sum by the largest remainder method;
/// among equal remainders the earlier part comes first.
void roundToWhole(std::vector<double> &Parts, double Total) {
  std::vector<std::pair<double, std::size_t>> Remainders;
  double Unassigned = std::floor(Total);
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    const double Whole = std::floor(Parts[I]);
    Remainders.emplace_back(Whole - Parts[I], I);
    Parts[I] = Whole;
    Unassigned -= Whole;
  }
  std::sort(Remainders.begin(), Remainders.end());
  for (std::size_t I = 0; Unassigned >= 1 && I < Remainders.size();
       ++I, --Unassigned)
    ++Parts[Remainders[I].second];
}

std::vector<double> divideDimension(double Total, std::size_t Dimension,
                                    const std::vector<double> &Demands) {
  if (std::isinf(Total))
    return std::vector<double>(Demands.size(), NoLimit);
  std::vector<double> Parts = divideByDemand(Total, Demands);
  if (Dimension == RunningDimension)
    roundToWhole(Parts, Total);
  return Parts;
}

double aboveFloor(double Demand, double Floor) {
  return std::max(0.0, Demand - Floor);
}

/// Divides the limit above the floors among the lease holders by demand.
void divideLeases(CallerShares &Shares, const Limits &Limit,
                  std::size_t Entries) {
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    const double Total = limitComponent(Limit, D);
    const double Floor = floorComponent(Total, D, Entries);
    std::vector<double> Demands;
    Demands.reserve(Shares.m_Leases.size());
    for (auto &[Entry, Lease] : Shares.m_Leases)
      Demands.push_back(aboveFloor(demandComponent(Lease.m_Demand, D), Floor));
    const double Leasable = Total - Floor * static_cast<double>(Entries);
    const std::vector<double> Parts =
        divideDimension(std::isinf(Total) ? Total : Leasable, D, Demands);
    std::size_t Next = 0;
    for (auto &[Entry, Lease] : Shares.m_Leases)
      limitComponent(Lease.m_Allotment, D) = Parts[Next++];
  }
  Shares.m_Limit = Limit;
}

void dropExpired(CallerShares &Shares, TimePoint Now) {
  std::erase_if(Shares.m_Leases, [&](const auto &Item) {
    return Item.second.m_ExpiresAt <= Now;
  });
}

double leasedToOthers(const CallerShares &Shares, const NodeId &Entry,
                      std::size_t Dimension) {
  double Sum = 0;
  for (const auto &[Other, Lease] : Shares.m_Leases) {
    if (Other != Entry)
      Sum += limitComponent(Lease.m_Leased, Dimension);
  }
  return Sum;
}

/// Leases to \p Entry its allotment, bounded by what others leave free.
void leaseDimension(CallerShares &Shares, const NodeId &Entry,
                    EntryLease &Lease, double Leasable, std::size_t D) {
  if (std::isinf(Leasable)) {
    limitComponent(Lease.m_Leased, D) = 0;
    return;
  }
  const double Free =
      std::max(0.0, Leasable - leasedToOthers(Shares, Entry, D));
  limitComponent(Lease.m_Leased, D) =
      std::min(limitComponent(Lease.m_Allotment, D), Free);
}

} // namespace

Limits floorOf(const Limits &Limit, std::size_t Entries) {
  Limits Floor;
  for (std::size_t D = 0; D < DimensionCount; ++D)
    limitComponent(Floor, D) =
        floorComponent(limitComponent(Limit, D), D, Entries);
  return Floor;
}

std::vector<Limits> divideShares(const Limits &Limit,
                                 const std::vector<Demand> &Demands) {
  std::vector<Limits> Shares(Demands.size());
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    const double Total = limitComponent(Limit, D);
    const double Floor = floorComponent(Total, D, Demands.size());
    const bool Unlimited = std::isinf(Total);
    std::vector<double> AboveFloor;
    AboveFloor.reserve(Demands.size());
    for (Demand EntryDemand : Demands)
      AboveFloor.push_back(
          Unlimited ? 0 : aboveFloor(demandComponent(EntryDemand, D), Floor));
    const double Floors = Floor * static_cast<double>(Demands.size());
    const std::vector<double> Parts =
        divideDimension(Unlimited ? Total : Total - Floors, D, AboveFloor);
    for (std::size_t I = 0; I < Shares.size(); ++I)
      limitComponent(Shares[I], D) = Unlimited ? Total : Floor + Parts[I];
  }
  return Shares;
}

Limits renewShare(ShareTable &Table, const CallerId &Caller,
                  const Limits &Limit, const NodeId &Entry,
                  const Demand &EntryDemand, TimePoint ExpiresAt,
                  TimePoint Now) {
  CallerShares &Shares = Table.m_Callers[Caller];
  dropExpired(Shares, Now);
  const bool IsNew = !Shares.m_Leases.contains(Entry);
  EntryLease &Lease = Shares.m_Leases[Entry];
  Lease.m_Demand = EntryDemand;
  Lease.m_ExpiresAt = std::max(Lease.m_ExpiresAt, ExpiresAt);
  if (IsNew || Shares.m_Limit != Limit ||
      Now - Shares.m_DividedAt >= Table.m_DivisionInterval) {
    divideLeases(Shares, Limit, Table.m_Entries);
    Shares.m_DividedAt = Now;
  }
  Limits Share = floorOf(Limit, Table.m_Entries);
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    const double Total = limitComponent(Limit, D);
    const double Floors =
        limitComponent(Share, D) * static_cast<double>(Table.m_Entries);
    leaseDimension(Shares, Entry, Lease,
                   std::isinf(Total) ? Total : Total - Floors, D);
    limitComponent(Share, D) += limitComponent(Lease.m_Leased, D);
  }
  return Share;
}

Limits outstanding(const ShareTable &Table, const CallerId &Caller,
                   const Limits &Limit, TimePoint Now) {
  Limits Sum = floorOf(Limit, Table.m_Entries);
  for (std::size_t D = 0; D < DimensionCount; ++D)
    limitComponent(Sum, D) *= static_cast<double>(Table.m_Entries);
  const auto Found = Table.m_Callers.find(Caller);
  if (Found == Table.m_Callers.end())
    return Sum;
  for (const auto &[Entry, Lease] : Found->second.m_Leases) {
    if (Lease.m_ExpiresAt <= Now)
      continue;
    for (std::size_t D = 0; D < DimensionCount; ++D)
      limitComponent(Sum, D) += limitComponent(Lease.m_Leased, D);
  }
  return Sum;
}

} // namespace wasabivale::limits
