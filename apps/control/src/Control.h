/// \file
/// A control member: applies commands to the replicated state; as leader also
/// grants leases to entries, tells them what changed, has orders carried out
/// and answers operators.

#ifndef WASABIVALE_CONTROL_CONTROL_H
#define WASABIVALE_CONTROL_CONTROL_H

#include "ControlSettings.h"
#include "Executor.h"
#include "RoleOrders.h"
#include "RolePlanner.h"
#include "Shares.h"
#include "StateMachine.h"
#include "SuspectNotices.h"
#include "metrics/metrics.h"
#include "replication/replication.h"
#include "wire/wire.h"

#include <map>
#include <set>

namespace wasabivale::control {

class RegistryApi;

class Control {
public:
  using OnReply = std::function<void(const wire::CallReply &)>;

  /// \param OnFatal called when this process must end.
  static Result<std::unique_ptr<Control>> open(event_base *Loop,
                                               const ControlSettings &Settings,
                                               metrics::Registry &Registry,
                                               std::function<void()> OnFatal);

  ~Control();
  Control(const Control &) = delete;
  Control &operator=(const Control &) = delete;

  /// Takes what may change without a restart: whom a newcomer asks.
  void reload(const ControlSettings &Next) {
    if (Next.m_Discovery)
      m_Seeds = Next.m_Discovery->m_Seeds;
  }

  /// Why this member is not ready; empty when it is.
  [[nodiscard]] std::string notReady() const;
  /// Hands leadership over before a planned stop.
  void prepareStop() { m_Replica->transferLeadership(); }
  /// Members of the group, as this one knows it.
  [[nodiscard]] std::size_t members() const {
    return m_Replica->status().m_Members.size();
  }
  [[nodiscard]] bool isLeader() const { return m_Replica->isLeader(); }

private:
  friend class OperatorApi;
  friend class RegistryApi;

  /// What has been sent to an entry in this term.
  struct Sent {
    std::uint64_t m_FleetRevision = 0;
    std::uint64_t m_ConfigurationRevision = 0;
    std::uint64_t m_RoutesVersion = 0;
    std::vector<NodeId> m_Members;
  };

  Control(event_base *Loop, const ControlSettings &Settings,
          metrics::Registry &Registry, std::function<void()> OnFatal);
  Status openHub();
  Status openReplica();
  Status openOperators();
  Status openRegistry();
  Status listenToRegistry();
  /// Keeps connections to the members of the group, and to the seeds until it
  /// is known.
  void reachMembers();
  void connectTo(const std::vector<NodeId> &Members);
  void repairGroup(TimePoint Now);
  [[nodiscard]] std::vector<NodeId> memberIds() const;

  void take(const NodeId &From, const wire::Envelope &Message);
  void takeHello(const NodeId &From, const wire::Envelope &Message);
  void takeReport(const NodeId &From, const wire::Envelope &Message);
  void takeWork(const NodeId &From, const wire::WorkNotice &Notice);
  void takeCall(const NodeId &From, const wire::CallRequest &Call);
  void redirect(const NodeId &To);
  void sendFleet(const NodeId &To, Sent &Known);
  void sendMembers(const NodeId &To, Sent &Known,
                   const std::vector<NodeId> &Members);
  void sendChanges();

  void gainLeadership();
  void loseLeadership();
  [[nodiscard]] bool leads() const;
  [[nodiscard]] bool maySendOrder() const;

  /// Proposes a command; \p Done gets the reply of the state, or a refusal
  /// when it was not or perhaps not committed.
  void propose(wire::Command What, OnReply Done);
  /// The same for the leader's own commands, each key once at a time.
  void proposeOnce(const std::string &Key, wire::Command What);
  /// The log clock of this leader; commands proposed now carry it.
  [[nodiscard]] LogTime logNow(TimePoint Now) const {
    return m_LogBase + (Now - m_LeaderSince);
  }
  void endSessions(TimePoint Now);
  void turn();
  void carryOut(const fleet::Action &Due, TimePoint Now);
  void carryOutMember(const fleet::ExecuteMembershipStep &Due);

  event_base *m_Loop;
  const ControlSettings &m_Settings;
  metrics::Registry &m_Registry;
  std::function<void()> m_OnFatal;
  std::unique_ptr<wire::Hub> m_Hub;
  std::unique_ptr<replication::Replica> m_Replica;
  std::unique_ptr<Executor> m_Executor;
  std::unique_ptr<http::Server> m_Operators;
  std::unique_ptr<RoleOrders> m_RoleOrders;
  std::unique_ptr<RegistryApi> m_Registrar;
  std::unique_ptr<http::Server> m_RegistryServer;
  std::vector<NodeId> m_Reached; ///< Members that the hub connects to.
  std::vector<NodeId> m_Seeds;   ///< By the newest settings.
  std::vector<NodeId> m_Found;   ///< Told to this member while it is new.
  bool m_Repairing = false;
  TimePoint m_NextRepair;
  std::unique_ptr<http::Timer> m_Timer;

  Replicated m_State;
  fleet::ObservedState m_Heard;
  fleet::SharedWork m_Work; ///< Of entries at engines; memory only.
  RolePlanner m_Roles;
  Shares m_Shares;
  SuspectNotices m_Notices;
  std::map<NodeId, Sent> m_Sent;
  std::map<consensus::Index, wire::CallReply> m_Replies;
  std::set<std::string> m_Proposed;
  TimePoint m_LeaderSince;
  LogTime m_LogBase; ///< Log time at `m_LeaderSince`.
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_CONTROL_H
