/// \file
/// An entry: takes announcements from targets and requests from callers, and
/// ties the data path to control.

#ifndef WASABIVALE_ENTRY_ENTRY_H
#define WASABIVALE_ENTRY_ENTRY_H

#include "ControlLink.h"
#include "DataPath.h"
#include "EntrySettings.h"
#include "LedgerClient.h"
#include "TargetsApi.h"
#include "metrics/metrics.h"

#include <memory>

namespace wasabivale::entry {

class Entry {
public:
  /// \p Settings and \p Registry outlive the entry.
  static Result<std::unique_ptr<Entry>>
  open(event_base *Loop, const EntrySettings &Settings,
       metrics::Registry &Registry,
       const relay::Dialect *PlainRequests = nullptr);
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// \returns why the entry should get no requests; empty when it should.
  [[nodiscard]] std::string notReady() const;
  /// Turns unready, takes requests as long as they end within `m_StopLag` and
  /// `m_StopPatience`, refuses later ones, reports to control, and calls
  /// \p Done when no caller's connection is open any longer.
  void stop(std::function<void()> Done);
  /// Takes what may change without a restart: where control is looked for.
  void reload(const EntrySettings &Next) { m_Control->reload(Next); }
  /// Brings gauges up to date.
  void updateGauges();
  [[nodiscard]] DataPath &requests() { return *m_Requests; }
  /// All that is under way. Whatever ends the process asks this one place.
  [[nodiscard]] shutdown::Progress progress() const;

private:
  Entry(event_base *Loop, const EntrySettings &Settings,
        metrics::Registry &Registry, const relay::Dialect *PlainRequests);
  Status listenToPlainRequests();
  Status listenToForwards();
  Status openControl();
  Status listenToAll();
  void watchStop();
  void advanceStop();
  void enterStage(shutdown::Stage Next);
  /// Looks for requests a last time; nothing else ends a process that stops.
  void endUnlessOpen();
  [[nodiscard]] std::vector<http::Server *> callerServers() const;
  void fillReport(wire::EntryReport &Report);
  void reportSoon();
  [[nodiscard]] LedgerClient::Call controlCall();

  event_base *m_Loop;
  const EntrySettings &m_Settings;
  metrics::Registry &m_Registry;
  EntryMetrics m_Metrics;
  LedgerClient m_Ledger;
  std::unique_ptr<DataPath> m_Requests;
  TargetsApi m_TargetsApi;
  std::unique_ptr<ControlLink> m_Control;
  std::unique_ptr<http::Server> m_Targets;
  std::unique_ptr<http::Server> m_Callers;
  std::unique_ptr<http::Server> m_PlainCallers;
  std::unique_ptr<http::Server> m_Forwards; ///< Other entries.
  std::unique_ptr<http::Timer> m_ReportTimer;
  std::unique_ptr<http::Timer> m_StopTimer;
  std::function<void()> m_OnStopped;
  /// Set once the process was asked to stop.
  std::optional<shutdown::State> m_Stop;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_ENTRY_H
