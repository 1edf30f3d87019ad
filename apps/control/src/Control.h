/// \file
/// A control member: applies commands to the replicated state, tells entries
/// what is in force, and answers operators.

#ifndef WASABIVALE_CONTROL_CONTROL_H
#define WASABIVALE_CONTROL_CONTROL_H

#include "ControlSettings.h"
#include "metrics/metrics.h"
#include "wire/wire.h"

#include <map>

namespace wasabivale::control {

/// What the leader remembers of an entry; soft state.
struct EntryState {
  std::uint64_t m_Session = 0;
  std::uint64_t m_FleetRevision = 0;
  std::uint64_t m_ConfigurationRevision = 0;
  TimePoint m_LeaseEnd;
};

class Control {
public:
  static Result<std::unique_ptr<Control>> open(event_base *Loop,
                                               const ControlSettings &Settings,
                                               metrics::Registry &Registry);

private:
  Control(const ControlSettings &Settings, metrics::Registry &Registry);
  void take(const NodeId &From, const wire::Envelope &Message);
  void takeHello(const NodeId &From, const wire::Envelope &Message);
  void takeReport(const NodeId &From, const wire::Envelope &Message);
  void takeCall(const NodeId &From, const wire::CallRequest &Call);
  void sendFleet(const NodeId &To);
  void answerOperator(const std::shared_ptr<http::Exchange> &Arrived);
  [[nodiscard]] bool isOperator(const http::Request &From) const;
  [[nodiscard]] settings::Json describeTargets() const;

  const ControlSettings &m_Settings;
  metrics::Registry &m_Registry;
  std::unique_ptr<wire::Hub> m_Hub;
  std::unique_ptr<http::Server> m_Operators;
  std::map<NodeId, EntryState> m_Entries;
  std::map<std::string, wire::Target> m_Targets;
  std::uint64_t m_FleetRevision = 0;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_CONTROL_H
