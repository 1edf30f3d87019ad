/// \file
/// An entry: takes announcements from targets and requests from callers.

#ifndef WASABIVALE_ENTRY_ENTRY_H
#define WASABIVALE_ENTRY_ENTRY_H

#include "ControlLink.h"
#include "EntrySettings.h"
#include "metrics/metrics.h"

#include <map>
#include <memory>

namespace wasabivale::entry {

class Entry {
public:
  static Result<std::unique_ptr<Entry>> open(event_base *Loop,
                                             const EntrySettings &Settings,
                                             metrics::Registry &Registry);
  /// \returns why the entry should get no requests; empty when it should.
  [[nodiscard]] std::string notReady() const;

private:
  Entry(event_base *Loop, metrics::Registry &Registry);
  void takeFleet(const wire::FleetUpdate &Update);
  void takeFromTarget(const std::shared_ptr<http::Exchange> &Arrived);
  void announce(const std::shared_ptr<http::Exchange> &Arrived,
                const settings::Json &Body);
  void takeFromCaller(const std::shared_ptr<http::Exchange> &Arrived);
  void complete(const std::shared_ptr<http::Exchange> &Arrived,
                const settings::Json &Body);
  void refuse(http::Exchange &Arrived, Refusal Reason, Outcome Told);

  event_base *m_Loop;
  metrics::Registry &m_Registry;
  std::unique_ptr<ControlLink> m_Control;
  std::unique_ptr<http::Server> m_Targets;
  std::unique_ptr<http::Server> m_Callers;
  std::map<std::string, wire::Target> m_Fleet;
  std::size_t m_NextTarget = 0;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_ENTRY_H
