#include "FleetUpdates.h"

namespace wasabivale::control {

namespace {

/// Entries are at few different revisions at a time.
constexpr std::size_t MaxUpdates = 64;

} // namespace

const wire::FleetUpdate &
FleetUpdates::since(const fleet::State &Fleet, std::uint64_t FleetRevision,
                    std::uint64_t ConfigurationRevision,
                    std::uint64_t RoutesVersion) {
  const Revisions Current{Fleet.m_Targets.m_Revision,
                          Fleet.m_Configuration.m_Revision,
                          Fleet.m_Routes.m_Table.version()};
  if (Current != m_Current || m_Updates.size() >= MaxUpdates)
    m_Updates.clear();
  m_Current = Current;
  const auto [Found, IsNew] = m_Updates.try_emplace(
      {FleetRevision, ConfigurationRevision, RoutesVersion});
  if (IsNew) {
    Found->second = fleet::updateSince(Fleet, FleetRevision,
                                       ConfigurationRevision, RoutesVersion);
    ++m_Built;
  }
  return Found->second;
}

} // namespace wasabivale::control
