/// \file
/// Request limits that targets name in their answers: what this entry observed,
/// and its part of them as control tells.

#ifndef WASABIVALE_ENTRY_RATELIMITS_H
#define WASABIVALE_ENTRY_RATELIMITS_H

#include "FleetView.h"
#include "limits/limits.h"
#include "routing/routing.h"
#include "wire.pb.h"

#include <map>
#include <optional>
#include <string>

namespace wasabivale::entry {

class RateLimits {
public:
  RateLimits(const FleetView &Fleet, routing::State &Routing)
      : m_Fleet(Fleet), m_Routing(Routing) {}

  /// An answer of the target at \p Address names a limit, or none. \returns
  /// whether the rate of this entry changes.
  bool observe(const std::string &Address,
               std::optional<double> RequestsPerSecond, TimePoint Now);
  /// Applies the limits to targets that were described anew.
  void applyAll(TimePoint Now);

  void fillReport(wire::EntryReport &Report);
  void takeGrant(const wire::ControlGrant &Grant, TimePoint Now);

private:
  void apply(const std::string &Address, TimePoint Now);

  const FleetView &m_Fleet;
  routing::State &m_Routing;
  limits::TargetRateTracker m_Tracker;
  std::map<std::string, double> m_Unreported;
  std::uint64_t m_RatesRevision = 0;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_RATELIMITS_H
