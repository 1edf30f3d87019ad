// Limits that targets name in their answers.

#include "limits/limits.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::limits {

namespace {

/// Part of a limit that is handed out: requests wait at entries and on their
/// way for different times.
constexpr double HandedOut = 0.95;
/// Entries beyond the limit's requests a second that may use it.
constexpr double ExtraEntries = 2;

/// Entries with the highest rendezvous scores for the target.
std::vector<NodeId> usersOf(const std::string &Address, double PerSecond,
                            const std::vector<NodeId> &Entries) {
  std::vector<std::pair<std::uint64_t, const NodeId *>> Scored;
  Scored.reserve(Entries.size());
  const std::uint64_t Seed = hashBytes(Address);
  for (const NodeId &Entry : Entries)
    Scored.emplace_back(hashBytes(Entry.m_Value, Seed), &Entry);
  const auto Count =
      static_cast<std::size_t>(std::min(std::floor(PerSecond) + ExtraEntries,
                                        static_cast<double>(Scored.size())));
  std::partial_sort(Scored.begin(),
                    Scored.begin() + static_cast<std::ptrdiff_t>(Count),
                    Scored.end(), [](const auto &Left, const auto &Right) {
                      return Left.first > Right.first;
                    });
  std::vector<NodeId> Users;
  Users.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Users.push_back(*Scored[I].second);
  std::sort(Users.begin(), Users.end());
  return Users;
}

} // namespace

bool isLimitNews(const TargetLimitTable &Table, const std::string &Address,
                 double PerSecond, TimePoint Now) {
  const auto Found = Table.m_Limits.find(Address);
  if (Found == Table.m_Limits.end())
    return PerSecond > 0;
  const TargetLimit &Known = Found->second;
  return std::abs(PerSecond - Known.m_PerSecond) >
             Known.m_PerSecond * Table.m_Tolerance ||
         Known.m_ExpiresAt - Now < Table.m_Duration / 2;
}

void applyTargetLimit(TargetLimitTable &Table, const std::string &Address,
                      double PerSecond, TimePoint Now) {
  if (!isLimitNews(Table, Address, PerSecond, Now))
    return;
  if (PerSecond <= 0) {
    Table.m_Limits.erase(Address);
    ++Table.m_Revision;
    return;
  }
  if (Table.m_Limits.size() >= Table.m_MaxLimits &&
      !Table.m_Limits.contains(Address))
    return;
  TargetLimit &Limit = Table.m_Limits[Address];
  if (Limit.m_PerSecond != PerSecond)
    ++Table.m_Revision;
  Limit = {PerSecond, Now + Table.m_Duration};
}

void expireTargetLimits(TargetLimitTable &Table, TimePoint Now) {
  Table.m_Revision += std::erase_if(Table.m_Limits, [Now](const auto &Each) {
    return Each.second.m_ExpiresAt <= Now;
  });
}

TargetDivisions divideTargetLimits(const TargetLimitTable &Table,
                                   const std::vector<NodeId> &Entries) {
  TargetDivisions Divisions;
  for (const auto &[Address, Limit] : Table.m_Limits)
    Divisions[Address] = {Limit.m_PerSecond,
                          usersOf(Address, Limit.m_PerSecond, Entries)};
  return Divisions;
}

TargetRates ratesOf(const TargetDivisions &Divisions, const NodeId &Entry) {
  TargetRates Rates;
  for (const auto &[Address, Division] : Divisions) {
    const auto &Users = Division.m_Users;
    const bool IsUser = std::binary_search(Users.begin(), Users.end(), Entry);
    Rates[Address] = {Division.m_Limit,
                      IsUser ? Division.m_Limit * HandedOut /
                                   static_cast<double>(Users.size())
                             : 0};
  }
  return Rates;
}

bool observeTargetLimit(TargetRateTracker &Tracker, const std::string &Address,
                        double PerSecond) {
  const auto Observed = Tracker.m_Observed.find(Address);
  if (PerSecond <= 0) {
    const bool Known = Observed != Tracker.m_Observed.end();
    if (Known)
      Tracker.m_Observed.erase(Observed);
    return Tracker.m_Told.erase(Address) > 0 || Known;
  }
  if (Observed != Tracker.m_Observed.end() && Observed->second == PerSecond)
    return false;
  Tracker.m_Observed[Address] = PerSecond;
  return true;
}

void applyTargetRates(TargetRateTracker &Tracker, TargetRates Told) {
  // What control has dropped has ended or expired.
  std::erase_if(Tracker.m_Observed, [&](const auto &Each) {
    return Tracker.m_Told.contains(Each.first) && !Told.contains(Each.first);
  });
  Tracker.m_Told = std::move(Told);
}

std::optional<double> ownRate(const TargetRateTracker &Tracker,
                              const std::string &Address,
                              std::uint32_t Entries) {
  const auto Observed = Tracker.m_Observed.find(Address);
  const auto Told = Tracker.m_Told.find(Address);
  if (Told == Tracker.m_Told.end()) {
    if (Observed == Tracker.m_Observed.end())
      return std::nullopt;
    return Observed->second * HandedOut / std::max(1U, Entries);
  }
  // A lower limit holds at once; a higher one once control has divided it.
  const double Ratio =
      Observed == Tracker.m_Observed.end()
          ? 1
          : std::min(1.0, Observed->second / Told->second.m_Limit);
  return Told->second.m_Share * Ratio;
}

} // namespace wasabivale::limits
