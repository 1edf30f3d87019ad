/// \file
/// Figures that both tables of the page rest on.

#ifndef WASABIVALE_CAPACITY_SRC_MODEL_H
#define WASABIVALE_CAPACITY_SRC_MODEL_H

#include "capacity/capacity.h"

namespace wasabivale::capacity {

/// Names of the slopes that the model needs.
namespace slope {
inline constexpr const char *ReportBytesPerTarget = "report_bytes_per_target";
inline constexpr const char *ReportBytesPerCaller = "report_bytes_per_caller";
inline constexpr const char *GrantBytesPerCaller = "grant_bytes_per_caller";
inline constexpr const char *ReportCpu = "report_cpu";
inline constexpr const char *WireMessageCpu = "wire_message_cpu";
inline constexpr const char *FleetBytesPerTarget = "fleet_bytes_per_target";
inline constexpr const char *FleetCpuPerTarget = "fleet_cpu_per_target";
inline constexpr const char *LoadCpuPerTarget = "load_cpu_per_target";
inline constexpr const char *HeartbeatCpu = "heartbeat_cpu";
inline constexpr const char *HttpCpu = "http_exchange_cpu";
inline constexpr const char *HeartbeatBytes = "heartbeat_bytes";
inline constexpr const char *ChooseCpu = "choose_cpu";
inline constexpr const char *TargetMemory = "target_memory";
inline constexpr const char *CallerMemory = "caller_memory";
inline constexpr const char *LedgerKeyMemory = "ledger_key_memory";
inline constexpr const char *LedgerKeyCpu = "ledger_key_cpu";
inline constexpr const char *CommitTime = "commit_time";
inline constexpr const char *PushCpu = "push_cpu_per_subscriber";
inline constexpr const char *DivideCpu = "divide_shares_cpu";
inline constexpr const char *PlannerCpu = "planner_cpu";
inline constexpr const char *RequestCpu = "request_cpu";
inline constexpr const char *TokenCpu = "token_cpu";
} // namespace slope

/// Figures for a second of the system at its full size.
struct Figures {
  double m_EntriesPerZone = 0;
  double m_TargetsPerZone = 0;
  double m_TargetsPerEntry = 0; ///< Whose heartbeats an entry receives.
  double m_ActiveCallers = 0;   ///< With a request in a report interval.
  double m_ReportsPerEntry = 0;
  double m_ReportBytes = 0;
  double m_GrantBytes = 0;
  double m_DigestBytes = 0; ///< A zone's loads, once in each digest interval.
  double m_HeartbeatBytesPerEntry = 0;
  double m_ConfigurationBytes = 0;
  double m_EntryControlBytes = 0; ///< Both ways together.
  double m_EntryControlCoreShare = 0;
  double m_EntryControlMemory = 0;
  double m_StarLeaderBytes = 0;
  double m_StarLeaderCoreShare = 0;
  double m_RelayBytes = 0;
  double m_RelayCoreShare = 0;
  double m_LedgerCommits = 0;
  double m_LedgerKeys = 0;
  double m_LedgerBytes = 0;
  double m_LedgerCoreShare = 0;
  double m_CommitsPossible = 0;
  double m_EntryRequestCoreShare = 0;
  double m_CacheEvents = 0;
};

/// \returns an error that names the slope when one is missing.
Result<Figures> computeFigures(const Deployment &Size, const Design &By,
                               const Slopes &Measured);

/// Looks a slope up that `computeFigures` has found before.
const Slope &slopeOf(const Slopes &Measured, const char *Name);

} // namespace wasabivale::capacity

#endif // WASABIVALE_CAPACITY_SRC_MODEL_H
