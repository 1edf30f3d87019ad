/// \file
/// Changes the roles of engines that manage themselves, on the leader: takes
/// one out of service, waits until no entry sends it new work, orders the new
/// role and puts it back once it has it.

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
  struct Ties {
    /// Whether this process may give an order at this moment.
    std::function<bool()> m_MaySend;
    std::function<void(const std::string &Key, wire::Command)> m_Propose;
    NodeId m_Self; ///< In whose name orders are given.
  };

  RoleOrders(event_base *Loop, metrics::Registry &Registry, Ties To);
  ~RoleOrders();
  RoleOrders(const RoleOrders &) = delete;
  RoleOrders &operator=(const RoleOrders &) = delete;

  /// \param MayHaveOrders whether a former leader may have given orders that
  /// are still under way.
  void startTerm(std::uint64_t Term, bool MayHaveOrders, TimePoint Now);
  void endTerm();
  /// Counts what an entry reports of its demand.
  void takeReport(const wire::EntryReport &Report);
  /// What is due now; call every few hundred milliseconds at most.
  void turn(const fleet::State &Known, const fleet::ObservedState &Heard,
            TimePoint Now);

private:
  struct Change {
    std::string m_Incarnation;
    roles::Role m_To = roles::Role::Prefill;
    TimePoint m_Since;
    TimePoint m_SentAt; ///< The epoch: not yet.
    bool m_Ended = false;
    std::shared_ptr<http::ClientCall> m_Call;
  };
  struct Service {
    roles::ServiceLoad m_Load;
    double m_Requests = 0; ///< Since the last look.
    double m_PromptTokens = 0;
    std::uint32_t m_Wanting = 0; ///< Looks in a row at which a change is due.
  };

  void look(const fleet::State &Known, TimePoint Now);
  void begin(const fleet::Target &Which, roles::Role To, TimePoint Now);
  void goOn(const fleet::State &Known, const fleet::ObservedState &Heard,
            TimePoint Now);
  void order(const fleet::Target &Which, Change &Open, TimePoint Now);
  void release(const TargetId &Name, const std::string &Incarnation,
               const std::string &Role);

  event_base *m_Loop;
  metrics::Registry &m_Registry;
  Ties m_To;
  std::uint64_t m_Term = 0;
  std::uint64_t m_Sequence = 0;
  TimePoint m_SettledAt; ///< A former leader's orders have come true by then.
  TimePoint m_LookedAt;
  std::map<std::string, Service> m_Services;
  std::map<TargetId, Change> m_Open;
  std::map<TargetId, TimePoint> m_NotBefore; ///< No other order to it before.
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_ROLEORDERS_H
