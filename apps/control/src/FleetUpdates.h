/// \file
/// Updates of the fleet for entries. Entries that know the same revisions get
/// the same update, which is built once: building it takes time in proportion
/// to the targets, and a change concerns every entry.

#ifndef WASABIVALE_CONTROL_FLEETUPDATES_H
#define WASABIVALE_CONTROL_FLEETUPDATES_H

#include "fleet/fleet.h"

#include <map>
#include <tuple>

namespace wasabivale::control {

class FleetUpdates {
public:
  /// Returns what has changed since the given revisions. Valid until the next
  /// call.
  const wire::FleetUpdate &since(const fleet::State &Fleet,
                                 std::uint64_t FleetRevision,
                                 std::uint64_t ConfigurationRevision,
                                 std::uint64_t RoutesVersion);
  /// Forgets all updates. They carry times that are left, so that they must not
  /// be kept for longer than entries can tell.
  void clear() { m_Updates.clear(); }
  /// Updates that were built and not taken from an earlier call.
  [[nodiscard]] std::uint64_t built() const { return m_Built; }

private:
  using Revisions = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;

  Revisions m_Current; ///< Of the fleet that the updates lead to.
  std::map<Revisions, wire::FleetUpdate> m_Updates; ///< By what is known.
  std::uint64_t m_Built = 0;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_FLEETUPDATES_H
