/// \file
/// How long an entry may accept the keys of customers that it knows. A key that
/// a configuration removes must not be accepted later than a bound after the
/// acknowledgement of that configuration, also by an entry that is partitioned
/// from control and has not heard of it.
///
/// An entry is confirmed at the moment at which it sent a report to the leader
/// of control, once the leader's grant says that the entry has applied the
/// newest routes. Whatever is acknowledged later than that moment revokes keys
/// no sooner than the bound after it. Decides only; reads no clock and does no
/// I/O. Times are of a clock that counts suspensions.

#ifndef WASABIVALE_REVOCATION_REVOCATION_H
#define WASABIVALE_REVOCATION_REVOCATION_H

#include "base/base.h"

#include <cstdint>
#include <optional>

namespace wasabivale::revocation {

/// Part of the bound for which a confirmation holds; the rest covers clocks
/// that run at different rates.
inline constexpr double ConfirmationPart = 0.9;

struct State {
  /// Longest time for which a removed key may be accepted; unset: any time.
  std::optional<Duration> m_Bound;
  /// When keys were last confirmed; unset: never by this process.
  std::optional<TimePoint> m_ConfirmedAt;
  /// The newest grant names routes that this process has not applied.
  bool m_IsBehind = false;
};

/// What a grant of the leader says of the routes.
struct Grant {
  TimePoint m_ReportSentAt; ///< Of the report that it answers.
  /// Newest version that is committed; zero: not told.
  std::uint64_t m_CommittedVersion = 0;
};

/// Records a grant at an entry that has applied \p AppliedVersion.
void recordGrant(State &Entry, const Grant &Answer,
                 std::uint64_t AppliedVersion);

/// Whether a key that is not known here may be called unknown. It may be new
/// while this entry is behind.
bool knowsAllKeys(const State &Entry, TimePoint Now);

/// Whether keys may be accepted now.
bool acceptsKeys(const State &Entry, TimePoint Now);

} // namespace wasabivale::revocation

#endif // WASABIVALE_REVOCATION_REVOCATION_H
