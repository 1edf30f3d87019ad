/// \file
/// What targets ask of an entry: announce, heartbeat, leave.

#ifndef WASABIVALE_ENTRY_TARGETSAPI_H
#define WASABIVALE_ENTRY_TARGETSAPI_H

#include "FleetView.h"
#include "LedgerClient.h"
#include "http/http.h"
#include "metrics/metrics.h"
#include "targets/targets.h"

#include <map>

namespace wasabivale::entry {

class TargetsApi {
public:
  /// \p Fleet and \p Routing outlive this object.
  TargetsApi(LedgerClient::Call Call, const FleetView &Fleet,
             routing::State &Routing, metrics::Registry &Registry)
      : m_Call(std::move(Call)), m_Fleet(Fleet), m_Routing(Routing),
        m_Registry(Registry) {}

  void take(const std::shared_ptr<http::Exchange> &Arrived);
  /// Relays the newest heartbeat of each target that was heard since the last
  /// report.
  void fillReport(wire::EntryReport &Report);

private:
  void announce(const std::shared_ptr<http::Exchange> &Arrived);
  void heartbeat(http::Exchange &Arrived);
  void leave(const std::shared_ptr<http::Exchange> &Arrived);
  void answer(http::Exchange &To, const Result<wire::CallReply> &Reply,
              const std::string &Accepted);
  void refuse(http::Exchange &To, Refusal Reason, std::string Step,
              std::string Detail = {});

  LedgerClient::Call m_Call;
  const FleetView &m_Fleet;
  routing::State &m_Routing;
  metrics::Registry &m_Registry;
  std::map<TargetId, targets::Heartbeat> m_Heard;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_TARGETSAPI_H
