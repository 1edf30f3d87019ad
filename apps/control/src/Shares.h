/// \file
/// Divides callers' limits among entries by the demand that they report.
///
/// State of the leader, not replicated. Two rules keep the total that all
/// entries may use within a caller's limits:
///  - A new leader knows none of its predecessor's grants. Each of them ends
///    with the lease of the entry that got it, so nothing is granted until the
///    longest lease has passed; until then entries use the shares that
///    they hold, and afterwards their floor.
///  - An additional entry reduces every floor. It is granted nothing until
///    the shares with the former, larger floor have run out.

#ifndef WASABIVALE_CONTROL_SHARES_H
#define WASABIVALE_CONTROL_SHARES_H

#include "fleet/fleet.h"
#include "limits/limits.h"

#include <unordered_map>

namespace wasabivale::control {

/// Shortest time over which demand is measured. Reports may follow each other
/// more closely.
inline constexpr std::chrono::milliseconds MinDemandSpan{400};
/// Span of an entry's first report: its usual interval between two.
inline constexpr std::chrono::milliseconds FirstDemandSpan{500};

/// An entry's demand on a caller's limits, as rates over its last full span.
struct DemandMeter {
  limits::Demand m_Rate;
  limits::Demand m_Counted; ///< Since the span began; counts, not rates.
  TimePoint m_Since;
};

/// An entry with a live lease.
struct ShareHolder {
  TimePoint m_GrantsFrom; ///< Earliest grant of a share.
  std::map<CallerId, DemandMeter> m_Demand;
};

struct Shares {
  limits::ShareTable m_Table;
  std::map<NodeId, ShareHolder> m_Holders;
  TimePoint m_GrantsFrom; ///< Earliest grant to any entry.
  std::unordered_map<CallerId, limits::Limits> m_Limits;
  std::uint64_t m_LimitsRevision = 0; ///< Configuration of `m_Limits`.
};

/// Limits of every caller in a configuration document; none if it is not well
/// formed.
std::unordered_map<CallerId, limits::Limits>
parseLimits(std::string_view Document);

/// Forgets everything at the start of a term. \p LongestLease is the longest
/// that any leader grants.
void startTerm(Shares &State, TimePoint Now, Duration LongestLease);

/// Adopts the limits of the accepted configuration if its revision changed.
void adoptLimits(Shares &State, const fleet::Configuration &Accepted);

/// Removes entries that are not in \p Observed. To be called before a grant.
/// Their shares stay reserved until their lease has expired.
void dropLostEntries(Shares &State, const fleet::ObservedState &Observed);

/// Records the use that an entry reported and fills in its shares and the
/// number of entries. \p LeaseEnd is no earlier than the end of the entry's
/// lease.
void grantShares(Shares &State, const NodeId &Entry,
                 const wire::EntryReport &Report, TimePoint Now,
                 TimePoint LeaseEnd, Duration LongestLease,
                 wire::ControlGrant &Grant);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_SHARES_H
