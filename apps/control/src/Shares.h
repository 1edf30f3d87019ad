/// \file
/// Divides callers' limits among entries by the demand that they report.
///
/// Memory of the leader, not replicated. Two rules keep the sum of what all
/// entries may use within a caller's limits:
///  - A new leader knows none of its predecessor's grants. Each of them ends
///    with the lease of the entry that got it, so nothing is granted until the
///    longest lease has passed; until then entries use what they hold, and
///    their floor after that.
///  - A further entry makes every floor smaller. It is granted nothing until
///    the shares with the former, larger floor have run out.

#ifndef WASABIVALE_CONTROL_SHARES_H
#define WASABIVALE_CONTROL_SHARES_H

#include "fleet/fleet.h"
#include "limits/limits.h"

#include <unordered_map>

namespace wasabivale::control {

/// Shortest time over which demand is measured. Reports may follow each other
/// more closely.
inline constexpr std::chrono::milliseconds DemandSpan{400};
/// Span of an entry's first report: its usual interval between two.
inline constexpr std::chrono::milliseconds FirstDemandSpan{500};

/// What an entry wants of a caller's limits, as rates of its last whole span.
struct DemandMeter {
  limits::Demand m_Rate;
  limits::Demand m_Counted; ///< Since the span began; counts, not rates.
  TimePoint m_Since;
};

/// An entry with a live lease.
struct ShareHolder {
  TimePoint m_GrantsFrom; ///< It is granted no share before.
  std::map<CallerId, DemandMeter> m_Demand;
};

struct Shares {
  limits::ShareTable m_Table;
  std::map<NodeId, ShareHolder> m_Holders;
  TimePoint m_GrantsFrom; ///< No entry is granted a share before.
  std::unordered_map<CallerId, limits::Limits> m_Limits;
  std::uint64_t m_LimitsRevision = 0; ///< Configuration of `m_Limits`.
};

/// Limits of every caller in a configuration document; none if it is not well
/// formed.
std::unordered_map<CallerId, limits::Limits>
limitsIn(std::string_view Document);

/// Forgets everything at the start of a term. \p LongestLease is the longest
/// that any leader grants.
void startTerm(Shares &On, TimePoint Now, Duration LongestLease);

/// Takes the limits of the accepted configuration, if it is a newer one.
void adoptLimits(Shares &On, const fleet::Configuration &Accepted);

/// Forgets entries that are not in \p Heard. To be called before a grant.
/// What they hold stays taken until their lease has run out.
void keepEntries(Shares &On, const fleet::ObservedState &Heard);

/// Takes the use that an entry reported and fills in its shares and the number
/// of entries. \p Until is no earlier than the end of the entry's lease.
void grantShares(Shares &On, const NodeId &Entry,
                 const wire::EntryReport &Report, TimePoint Now,
                 TimePoint Until, Duration LongestLease,
                 wire::ControlGrant &Grant);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_SHARES_H
