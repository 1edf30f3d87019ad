/// \file
/// Changes the roles of self-managed engines, on the leader: holds an engine,
/// waits until no entry sends it new work, orders the new role and releases the
/// engine once it has that role.

#ifndef WASABIVALE_CONTROL_ROLEORDERS_H
#define WASABIVALE_CONTROL_ROLEORDERS_H

#include "Executor.h"
#include "fleet/fleet.h"
#include "http/http.h"
#include "roles/roles.h"

#include <functional>
#include <map>

namespace wasabivale::control {

class RoleOrders {
public:
  struct LeaderHooks {
    /// Whether this process may send an order now.
    std::function<bool()> m_MaySend;
    std::function<void(const std::string &Key, wire::Command)> m_Propose;
    NodeId m_Self;                ///< Issuer of the orders.
    bool m_OrdersTargets = false; ///< The leader replaces targets.
  };

  RoleOrders(event_base *Loop, metrics::Registry &Registry, LeaderHooks Hooks);
  ~RoleOrders();
  RoleOrders(const RoleOrders &) = delete;
  RoleOrders &operator=(const RoleOrders &) = delete;

  /// \param MayHaveOrders Whether orders of a former leader may still be in
  /// progress.
  void startTerm(std::uint64_t Term, bool MayHaveOrders, TimePoint Now);
  void endTerm();
  /// Adds up the demand that an entry reports, and takes over its streams.
  void handleReport(const NodeId &Entry, const wire::EntryReport &Report,
                    TimePoint Now);
  /// Does what is due. To be called at least every few hundred milliseconds.
  /// \param Work of the entries at engines.
  void tick(const fleet::State &Known, const fleet::ObservedState &Observed,
            const fleet::SharedWork &Work, TimePoint Now);

private:
  struct Change {
    std::string m_Incarnation;
    roles::Role m_NewRole = roles::Role::Prefill;
    TimePoint m_Since;
    TimePoint m_SentAt; ///< The epoch if not sent.
    bool m_Ended = false;
    std::shared_ptr<http::ClientCall> m_Call;
  };
  /// What an entry last reported of a service.
  struct EntryLoad {
    std::uint32_t m_Streams = 0;
    std::optional<double> m_PrefillRate;
    TimePoint m_ReportTime;
  };
  struct Service {
    roles::ServiceLoad m_Load;
    TimePoint m_FirstSeen;
    double m_Requests = 0; ///< Since the last evaluation.
    double m_PromptTokens = 0;
    /// Requests of entries that do not report their streams.
    double m_UncountedRequests = 0;
    std::map<NodeId, EntryLoad> m_ByEntry;
    TimePoint m_PrefillRateTime; ///< Last report of a rate.
    double m_MeanStreams = 0;
    std::uint32_t m_Evaluations = 0; ///< With traffic.
    /// Consecutive evaluations with a due change.
    std::uint32_t m_ChangeStreak = 0;
  };

  void evaluate(const fleet::State &Known, const fleet::SharedWork &Work,
                TimePoint Now);
  static void updateLoad(Service &Current, double Elapsed, TimePoint Now);
  void begin(const fleet::Target &Target, roles::Role NewRole, TimePoint Now);
  void advance(const fleet::State &Known, const fleet::ObservedState &Observed,
               TimePoint Now);
  void order(const fleet::Target &Target, Change &Open, TimePoint Now);
  void release(const TargetId &Name, const std::string &Incarnation,
               const std::string &Role);

  event_base *m_Loop;
  metrics::Registry &m_Registry;
  LeaderHooks m_Hooks;
  std::uint64_t m_Term = 0;
  std::uint64_t m_Sequence = 0;
  TimePoint m_OrdersStartAt; ///< Orders of a former leader have ended by then.
  TimePoint m_EvaluatedAt;
  std::map<std::string, Service> m_Services;
  std::map<TargetId, Change> m_Open;
  std::map<TargetId, TimePoint> m_NotBefore; ///< Earliest next order.
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_ROLEORDERS_H
