/// \file
/// Leader side of limits that targets name: which reports are committed, and
/// each entry's part of the limits.

#ifndef WASABIVALE_CONTROL_TARGETRATES_H
#define WASABIVALE_CONTROL_TARGETRATES_H

#include "fleet/fleet.h"

namespace wasabivale::control {

/// The limits as divided last, not replicated.
struct TargetRates {
  std::uint64_t m_Revision = 0; ///< Of the limits that were divided.
  std::vector<NodeId> m_Entries;
  limits::TargetDivisions m_Divisions;
};

/// \returns the command to propose for limits that differ from the known ones,
/// or nothing.
std::optional<fleet::Propose>
proposeTargetLimits(const limits::TargetLimitTable &Known, const NodeId &Entry,
                    const wire::EntryReport &Report, TimePoint LogNow);

/// Fills in the rates of an entry, unless it knows them. A new leader leaves an
/// entry those of its predecessor until it may know all entries.
void fillTargetRates(TargetRates &Rates, const limits::TargetLimitTable &Known,
                     const fleet::ObservedState &Observed, const NodeId &Entry,
                     const wire::EntryReport &Report, TimePoint Now,
                     wire::ControlGrant &Grant);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_TARGETRATES_H
