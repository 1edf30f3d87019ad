// Division of callers' limits among entries.

#include "Internal.h"

namespace wasabivale::limits {

namespace {

double &demandIn(Demand &Wanted, std::size_t Dimension) {
  switch (Dimension) {
  case 0:
    return Wanted.m_RequestsPerSecond;
  case 1:
    return Wanted.m_PromptTokensPerSecond;
  case 2:
    return Wanted.m_OutputTokensPerSecond;
  default:
    return Wanted.m_Running;
  }
}

double &limitIn(Limits &Value, std::size_t Dimension) {
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

double limitIn(const Limits &Value, std::size_t Dimension) {
  return limitIn(const_cast<Limits &>(Value), Dimension);
}

constexpr std::size_t DimensionCount = 4;
constexpr std::size_t RunningDimension = 3;

double floorIn(double Limit, std::size_t Dimension, std::size_t Entries) {
  const double Count = static_cast<double>(std::max<std::size_t>(1, Entries));
  if (Dimension == RunningDimension)
    return std::floor(Limit * RunningFloorShare / Count);
  return Limit * FloorShare / Count;
}

/// Parts of \p Total by demand: everyone's demand and an even part of what is
/// left, or in proportion when it is not enough. They sum to \p Total.
std::vector<double> divideByDemand(double Total,
                                   const std::vector<double> &Demands) {
  double Sum = 0;
  for (double One : Demands)
    Sum += One;
  const double Count = static_cast<double>(Demands.size());
  std::vector<double> Parts;
  Parts.reserve(Demands.size());
  for (double One : Demands) {
    const bool Enough = Sum <= Total;
    Parts.push_back(Enough ? One + (Total - Sum) / Count : Total * One / Sum);
  }
  return Parts;
}

/// Rounds to whole numbers with the same sum: largest remainders first, the
/// earlier one among equals.
void roundWhole(std::vector<double> &Parts, double Total) {
  std::vector<std::pair<double, std::size_t>> Remainders;
  double Left = std::floor(Total);
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    const double Whole = std::floor(Parts[I]);
    Remainders.emplace_back(Whole - Parts[I], I);
    Parts[I] = Whole;
    Left -= Whole;
  }
  std::sort(Remainders.begin(), Remainders.end());
  for (std::size_t I = 0; Left >= 1 && I < Remainders.size(); ++I, --Left)
    ++Parts[Remainders[I].second];
}

std::vector<double> divideDimension(double Total, std::size_t Dimension,
                                    const std::vector<double> &Demands) {
  if (std::isinf(Total))
    return std::vector<double>(Demands.size(), NoLimit);
  std::vector<double> Parts = divideByDemand(Total, Demands);
  if (Dimension == RunningDimension)
    roundWhole(Parts, Total);
  return Parts;
}

double aboveFloor(double Demand, double Floor) {
  return std::max(0.0, Demand - Floor);
}

/// Divides what floors leave of the limit among the holders by their demand.
void divideLeases(CallerShares &Shares, const Limits &Limit,
                  std::size_t Entries) {
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    const double Total = limitIn(Limit, D);
    const double Floor = floorIn(Total, D, Entries);
    std::vector<double> Demands;
    Demands.reserve(Shares.m_Holdings.size());
    for (auto &[Entry, Held] : Shares.m_Holdings)
      Demands.push_back(aboveFloor(demandIn(Held.m_Demand, D), Floor));
    const double Leasable = Total - Floor * static_cast<double>(Entries);
    const std::vector<double> Parts =
        divideDimension(std::isinf(Total) ? Total : Leasable, D, Demands);
    std::size_t Next = 0;
    for (auto &[Entry, Held] : Shares.m_Holdings)
      limitIn(Held.m_Part, D) = Parts[Next++];
  }
  Shares.m_Limit = Limit;
}

void dropLapsed(CallerShares &Shares, TimePoint Now) {
  std::erase_if(Shares.m_Holdings,
                [&](const auto &One) { return One.second.m_Until <= Now; });
}

double leasedToOthers(const CallerShares &Shares, const NodeId &Entry,
                      std::size_t Dimension) {
  double Sum = 0;
  for (const auto &[Other, Held] : Shares.m_Holdings) {
    if (Other != Entry)
      Sum += limitIn(Held.m_Leased, Dimension);
  }
  return Sum;
}

/// Leases to \p Entry what its part allows and others leave.
void leaseDimension(CallerShares &Shares, const NodeId &Entry, Holding &Own,
                    double Leasable, std::size_t D) {
  if (std::isinf(Leasable)) {
    limitIn(Own.m_Leased, D) = 0;
    return;
  }
  const double Free =
      std::max(0.0, Leasable - leasedToOthers(Shares, Entry, D));
  limitIn(Own.m_Leased, D) = std::min(limitIn(Own.m_Part, D), Free);
}

} // namespace

Limits floorOf(const Limits &Limit, std::size_t Entries) {
  Limits Floor;
  for (std::size_t D = 0; D < DimensionCount; ++D)
    limitIn(Floor, D) = floorIn(limitIn(Limit, D), D, Entries);
  return Floor;
}

std::vector<Limits> divideShares(const Limits &Limit,
                                 const std::vector<Demand> &Demands) {
  std::vector<Limits> Shares(Demands.size());
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    const double Total = limitIn(Limit, D);
    const double Floor = floorIn(Total, D, Demands.size());
    const bool Unlimited = std::isinf(Total);
    std::vector<double> Above;
    Above.reserve(Demands.size());
    for (Demand Wanted : Demands)
      Above.push_back(Unlimited ? 0 : aboveFloor(demandIn(Wanted, D), Floor));
    const double Floors = Floor * static_cast<double>(Demands.size());
    const std::vector<double> Parts =
        divideDimension(Unlimited ? Total : Total - Floors, D, Above);
    for (std::size_t I = 0; I < Shares.size(); ++I)
      limitIn(Shares[I], D) = Unlimited ? Total : Floor + Parts[I];
  }
  return Shares;
}

Limits renewShare(ShareTable &Table, const CallerId &Caller,
                  const Limits &Limit, const NodeId &Entry,
                  const Demand &Wanted, TimePoint Until, TimePoint Now) {
  CallerShares &Shares = Table.m_Callers[Caller];
  dropLapsed(Shares, Now);
  const bool Joins = !Shares.m_Holdings.contains(Entry);
  Holding &Own = Shares.m_Holdings[Entry];
  Own.m_Demand = Wanted;
  Own.m_Until = std::max(Own.m_Until, Until);
  if (Joins || Shares.m_Limit != Limit ||
      Now - Shares.m_DividedAt >= Table.m_DivideEvery) {
    divideLeases(Shares, Limit, Table.m_Entries);
    Shares.m_DividedAt = Now;
  }
  Limits Share = floorOf(Limit, Table.m_Entries);
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    const double Total = limitIn(Limit, D);
    const double Floors =
        limitIn(Share, D) * static_cast<double>(Table.m_Entries);
    leaseDimension(Shares, Entry, Own,
                   std::isinf(Total) ? Total : Total - Floors, D);
    limitIn(Share, D) += limitIn(Own.m_Leased, D);
  }
  return Share;
}

Limits outstanding(const ShareTable &Table, const CallerId &Caller,
                   const Limits &Limit, TimePoint Now) {
  Limits Sum = floorOf(Limit, Table.m_Entries);
  for (std::size_t D = 0; D < DimensionCount; ++D)
    limitIn(Sum, D) *= static_cast<double>(Table.m_Entries);
  const auto Found = Table.m_Callers.find(Caller);
  if (Found == Table.m_Callers.end())
    return Sum;
  for (const auto &[Entry, Held] : Found->second.m_Holdings) {
    if (Held.m_Until <= Now)
      continue;
    for (std::size_t D = 0; D < DimensionCount; ++D)
      limitIn(Sum, D) += limitIn(Held.m_Leased, D);
  }
  return Sum;
}

} // namespace wasabivale::limits
