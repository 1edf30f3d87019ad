/// \file
/// What all requests of an entry share.

#ifndef WASABIVALE_ENTRY_CONTEXT_H
#define WASABIVALE_ENTRY_CONTEXT_H

#include "Arrival.h"
#include "Configuration.h"
#include "CrashTraits.h"
#include "EntryMetrics.h"
#include "EntrySettings.h"
#include "FleetView.h"
#include "Forwarding.h"
#include "LedgerClient.h"
#include "RateLimits.h"
#include "StreamVersions.h"
#include "Suspects.h"
#include "TargetReach.h"
#include "UsageCounter.h"
#include "limits/limits.h"
#include "relay/relay.h"
#include "retries/retries.h"
#include "revocation/revocation.h"
#include "routing/routing.h"
#include "shutdown/shutdown.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace wasabivale::entry {

/// Demand of one model since the last report, and what its answers are like.
struct ModelUse {
  wire::ModelDemand m_Demand;
  /// Output tokens of recent answers, and those that were expected of them.
  double m_OutputTokens = 0;
  double m_ExpectedTokens = 0;
  /// Started requests that have no target yet: they will take free slots.
  std::uint32_t m_Unplaced = 0;
};

/// Output tokens of recent answers over those that were expected of them.
inline double outputShare(const ModelUse &Use) {
  return Use.m_ExpectedTokens > 0 ? Use.m_OutputTokens / Use.m_ExpectedTokens
                                  : 1;
}

struct Context {
  Context(event_base *Loop, const EntrySettings &Settings,
          EntryMetrics &Metrics, LedgerClient &Ledger)
      : m_Loop(Loop), m_Settings(Settings), m_Metrics(Metrics),
        m_Ledger(Ledger), m_Connections(Loop, http::PoolSettings{}),
        m_PeerConnections(Loop, http::PoolSettings{}),
        m_Usage(Settings.m_Routes ? Settings.m_Routes->m_UsageWindow
                                  : std::nullopt) {}

  event_base *m_Loop;
  const EntrySettings &m_Settings;
  EntryMetrics &m_Metrics;
  LedgerClient &m_Ledger;
  /// Whether new work may be sent to targets.
  std::function<bool(TimePoint)> m_HoldsLease;
  /// Asks for a report to control before the next is due.
  std::function<void()> m_ReportSoon;

  /// How plain requests are passed on; null where none are taken.
  const relay::Dialect *m_Dialect = nullptr;
  http::Pool m_Connections;     ///< To targets.
  http::Pool m_PeerConnections; ///< To other entries.
  routes::Index m_Routes;
  MeanPrompts m_MeanPrompts;

  Random m_Random = randomFromSystem();
  Configuration m_Configuration;
  FleetView m_Fleet;
  limits::State m_Limits;
  routing::State m_Routing;
  retries::State m_Retries;
  Suspects m_Suspects{m_Loop};
  TargetReach m_Reach{m_Loop, m_Connections, m_Fleet, m_Metrics};
  CrashTraits m_Traits{m_Loop, m_Reach};
  /// Whether another entry can take this one's requests. Null: none can.
  std::function<bool(TimePoint)> m_CanForward;
  RateLimits m_RateLimits{m_Fleet, m_Routing};
  StreamVersions m_StreamVersions{m_Loop, m_Fleet, m_Metrics};
  ForwardPeers m_ForwardPeers;
  revocation::State m_Revocation; ///< Of customers' keys.
  UsageCounter m_Usage;
  std::map<std::string, ModelUse> m_Models; ///< By model; not services.
  /// Set once the process was asked to stop.
  std::optional<shutdown::Schedule> m_StopSchedule;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_CONTEXT_H
