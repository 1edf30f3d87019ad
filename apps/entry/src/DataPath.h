/// \file
/// The requests of an entry: admission, the waiting queue, and what all of
/// them report to control.

#ifndef WASABIVALE_ENTRY_DATAPATH_H
#define WASABIVALE_ENTRY_DATAPATH_H

#include "Context.h"
#include "Serving.h"

#include <memory>
#include <unordered_map>

namespace wasabivale::entry {

class DataPath {
public:
  struct Ties {
    LedgerClient &m_Ledger;
    std::function<bool(TimePoint)> m_HoldsLease;
    std::function<void()> m_ReportSoon;
    const relay::Dialect *m_Dialect = nullptr; ///< Of plain requests.
    LedgerClient::Call m_Control = {};
  };

  DataPath(event_base *Loop, const EntrySettings &Settings,
           EntryMetrics &Metrics, Ties To);
  ~DataPath();
  DataPath(const DataPath &) = delete;
  DataPath &operator=(const DataPath &) = delete;

  /// Takes a caller's request.
  void take(const std::shared_ptr<http::Exchange> &Arrived);

  /// Takes a plain request, to be passed on by its route.
  void takePassed(const std::shared_ptr<http::Exchange> &Arrived);

  /// Takes a request that another entry has forwarded here.
  void takeForwarded(const std::shared_ptr<http::Exchange> &Arrived);

  /// Answers a request that is too malformed to be taken.
  http::Response refuseMalformed(int HttpStatus);

  /// Applies a fleet or configuration. \returns false when the configuration
  /// can't be read; nothing is applied then.
  bool takeFleet(const wire::FleetUpdate &Update);
  void takeGrant(const wire::ControlGrant &Grant, TimePoint LeaseEnd);
  void fillReport(wire::EntryReport &Report);
  /// Own work at engines. False where routes do not lead to any.
  bool fillWork(wire::WorkNotice &Notice);
  void applyTraits(const wire::TraitsUpdate &Update);
  void takeOthersWork(const wire::OthersWork &Told);
  /// \returns false if the digest is refused.
  bool applyWorkDigest(const wire::WorkDigest &Digest);

  /// From now on only requests that end in time are taken, and callers are
  /// asked to open new connections, elsewhere.
  void startStopping(const shutdown::Schedule &Deadlines);
  /// From now on every new request is refused.
  void stopTaking() { m_RefusesAll = true; }
  /// Requests that are not answered yet.
  [[nodiscard]] std::size_t open() const { return m_Open.size(); }
  /// Calls to targets and other entries that have not ended, whether or not a
  /// request that is open here has made them.
  [[nodiscard]] std::size_t passedOn() const {
    return m_Shared.m_Connections.underWay() +
           m_Shared.m_PeerConnections.underWay();
  }
  /// Ends every request, for a process whose patience is over.
  void endAll();

  [[nodiscard]] const FleetView &fleet() const { return m_Shared.m_Fleet; }
  [[nodiscard]] routing::State &routing() { return m_Shared.m_Routing; }
  [[nodiscard]] const Context &context() const { return m_Shared; }
  [[nodiscard]] StreamVersions &streamVersions() {
    return m_Shared.m_StreamVersions;
  }
  /// Whether plain requests are taken yet: the first routes and targets have
  /// been applied, and a turn of the loop has passed. Readiness follows it.
  [[nodiscard]] bool takesRequests() const { return m_TakesRequests; }
  /// Whether callers had better come to another entry, since this one reaches
  /// no target.
  [[nodiscard]] bool sendsCallersAway() const;
  void updateGauges();

private:
  void refuse(http::Exchange &Arrived, const RequestId &Id,
              const Rejection &Why);
  void refusePassed(http::Exchange &Arrived, const RequestId &Id,
                    const Rejection &Why);
  void takeRequestsSoon();
  void applyRoutes(const wire::RouteTable &Given, TimePoint Now);
  void answerModels(http::Exchange &Arrived);
  void admit(const std::shared_ptr<http::Exchange> &Arrived, Arrival Asked);
  /// Starts, queues or refuses a request whose version is known, if it needs
  /// one.
  void admitRead(Serving &Request);
  /// Refuses waiting requests that can't be answered before the process exits.
  void refuseWaitingForStop(TimePoint Now);
  /// Refuses what would wait past its deadline for targets that rest.
  void refuseWaitingForRest(TimePoint Now);
  void refuseWaiting(const std::vector<limits::RefusedTicket> &Refused,
                     TimePoint Now);
  [[nodiscard]] std::optional<Rejection> refuseAtOnce(TimePoint Now) const;
  void ensureShare(const CallerId &Caller, TimePoint Now);
  [[nodiscard]] limits::Capacity capacity(const ModelId &Name,
                                          TimePoint Now) const;
  void takeRefused(const std::vector<limits::RefusedTicket> &Which);
  void takeEnded(Serving &Which);
  /// Starts whatever may start now; from a fresh turn of the loop.
  void pumpSoon();
  void pump();
  void sweep();
  void applyCallers(const Configuration &Next, TimePoint Now);

  Context m_Shared;
  workdigest::SentNotices m_SentNotices;
  bool m_TakesRequests = false;
  bool m_RefusesAll = false;
  std::size_t m_OpenForwarded = 0; ///< Of other entries.
  std::unordered_map<Serving *, std::shared_ptr<Serving>> m_Open;
  std::unordered_map<limits::Ticket, Serving *> m_Waiting;
  /// Until when each caller's share lasts.
  std::unordered_map<std::string, TimePoint> m_Shares;
  TimePoint m_LeaseLostAt;
  bool m_HadLease = false;
  std::unique_ptr<http::Timer> m_Sweep;
  std::unique_ptr<http::Timer> m_Pump;
  std::unique_ptr<http::Timer> m_Opening; ///< Until requests are taken.
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_DATAPATH_H
