#include "TargetRates.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::control {

namespace {

/// Identifies the rates of one entry; never zero.
std::uint64_t hashRates(const limits::TargetRates &Rates) {
  std::uint64_t Hash = 1;
  for (const auto &[Address, Rate] : Rates)
    Hash = hashBytes(
        fmt::format("{} {} {}", Address, Rate.m_Limit, Rate.m_Share), Hash);
  return Hash == 0 ? 1 : Hash;
}

void divide(TargetRates &Rates, const limits::TargetLimitTable &Known,
            const fleet::ObservedState &Observed) {
  const bool IsSame =
      std::equal(Rates.m_Entries.begin(), Rates.m_Entries.end(),
                 Observed.m_Entries.begin(), Observed.m_Entries.end(),
                 [](const NodeId &Divided, const auto &Item) {
                   return Divided == Item.first;
                 });
  if (Rates.m_Revision == Known.m_Revision && IsSame)
    return;
  Rates.m_Entries.clear();
  for (const auto &[Entry, View] : Observed.m_Entries)
    Rates.m_Entries.push_back(Entry);
  Rates.m_Divisions = limits::divideTargetLimits(Known, Rates.m_Entries);
  Rates.m_Revision = Known.m_Revision;
}

} // namespace

std::optional<fleet::Propose>
proposeTargetLimits(const limits::TargetLimitTable &Known, const NodeId &Entry,
                    const wire::EntryReport &Report, TimePoint LogNow) {
  fleet::Propose Proposal;
  wire::TargetLimits &Due = *Proposal.m_Command.mutable_target_limits();
  for (const wire::TargetLimit &Each : Report.target_limits())
    if (limits::isLimitNews(Known, Each.address(), Each.per_second(), LogNow))
      *Due.add_limits() = Each;
  if (Due.limits().empty())
    return std::nullopt;
  Proposal.m_Key = fmt::format("limits/{}/{}", Entry.m_Value, Report.renewal());
  return Proposal;
}

void fillTargetRates(TargetRates &Rates, const limits::TargetLimitTable &Known,
                     const fleet::ObservedState &Observed, const NodeId &Entry,
                     const wire::EntryReport &Report, TimePoint Now,
                     wire::ControlGrant &Grant) {
  if (Now < Observed.m_CompleteAt && Report.target_rates_revision() != 0)
    return;
  divide(Rates, Known, Observed);
  const limits::TargetRates Own = limits::ratesOf(Rates.m_Divisions, Entry);
  Grant.set_target_rates_revision(hashRates(Own));
  if (Grant.target_rates_revision() == Report.target_rates_revision())
    return;
  for (const auto &[Address, Rate] : Own) {
    wire::TargetRate &Row = *Grant.add_target_rates();
    Row.set_address(Address);
    Row.set_limit(Rate.m_Limit);
    Row.set_share(Rate.m_Share);
  }
}

} // namespace wasabivale::control
