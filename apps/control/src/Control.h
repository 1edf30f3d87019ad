/// \file
/// A control member applies commands to the replicated state. The leader also
/// grants leases to entries, sends them changes, executes orders and answers
/// operators.

#ifndef WASABIVALE_CONTROL_CONTROL_H
#define WASABIVALE_CONTROL_CONTROL_H

#include "ControlSettings.h"
#include "Executor.h"
#include "FleetUpdates.h"
#include "Handover.h"
#include "PlatformDuties.h"
#include "RoleOrders.h"
#include "RolePlanner.h"
#include "Shares.h"
#include "StateMachine.h"
#include "SuspectNotices.h"
#include "TargetRates.h"
#include "metrics/metrics.h"
#include "replication/replication.h"
#include "wire/wire.h"

#include <map>
#include <optional>
#include <set>

namespace wasabivale::control {

class RegistryApi;

class Control {
public:
  using OnReply = std::function<void(const wire::CallReply &)>;

  /// \param OnFatal Called when this process must end.
  static Result<std::unique_ptr<Control>> open(event_base *Loop,
                                               const ControlSettings &Settings,
                                               metrics::Registry &Registry,
                                               std::function<void()> OnFatal);

  ~Control();
  Control(const Control &) = delete;
  Control &operator=(const Control &) = delete;

  /// Applies the setting that may change without a restart: the seeds.
  void reload(const ControlSettings &Next) {
    if (Next.m_Discovery)
      m_Replica->updateSeeds(Next.m_Discovery->m_Seeds);
  }

  /// \returns why this member is not ready; empty when it is.
  [[nodiscard]] std::string notReady() const;
  /// Transfers leadership before a planned stop.
  void prepareStop() { m_Replica->transferLeadership(); }
  /// Takes no new connections, and closes those on which nothing is under way.
  void closeIdle();
  /// Looks at the calls of operators and targets once the handover is over, and
  /// refuses those that wait for too long.
  /// \returns whether the process may end.
  [[nodiscard]] bool advanceClose(TimePoint Now);
  /// Open connections of operators and targets.
  [[nodiscard]] std::size_t connections() const;
  /// Calls of theirs that have no answer yet.
  [[nodiscard]] std::size_t exchanges() const;
  /// Number of group members that this member knows.
  [[nodiscard]] std::size_t members() const {
    return m_Replica->status().m_Members.size();
  }
  [[nodiscard]] bool isLeader() const { return m_Replica->isLeader(); }

private:
  friend class OperatorApi;
  friend class RegistryApi;

  /// Revisions and members sent to an entry in this term.
  struct SentRevisions {
    std::uint64_t m_FleetRevision = 0;
    std::uint64_t m_ConfigurationRevision = 0;
    std::uint64_t m_RoutesVersion = 0;
    std::vector<NodeId> m_Members;
    bool m_NeedsAnswer = false; ///< To its hello, also if nothing has changed.
  };

  Control(event_base *Loop, const ControlSettings &Settings,
          metrics::Registry &Registry, std::function<void()> OnFatal);
  Status openHub();
  Status openReplica();
  Status openOperators();
  Status openRegistry();
  void openDuties();
  Status listenToRegistry();
  /// Keeps sight of a call until it is answered.
  void noteCall(const std::shared_ptr<http::Exchange> &Call);
  void refuseCalls();
  /// Keeps connections to all processes that the replica sends messages to.
  void connectMembers();
  void connectTo(const std::vector<NodeId> &Members);
  void repairGroup(TimePoint Now);
  [[nodiscard]] std::vector<NodeId> memberIds() const;

  void handleMessage(const NodeId &Sender, const wire::Envelope &Message);
  void handleHello(const NodeId &Sender, const wire::Envelope &Message);
  void handleReport(const NodeId &Sender, const wire::Envelope &Message);
  void handleWork(const NodeId &Sender, const wire::WorkNotice &Notice);
  void handleCall(const NodeId &Sender, const wire::CallRequest &Call);
  /// Adds records of begun streams to the command that is proposed next.
  void collectStreams(const wire::StreamVersions &Report, OnReply Done);
  void proposeStreams();
  void redirect(const NodeId &Entry);
  void sendFleet(const NodeId &Entry, SentRevisions &Known);
  bool sendChangesTo(const NodeId &Entry, SentRevisions &Known,
                     const std::vector<NodeId> &Members);
  void sendMembers(const NodeId &Entry, SentRevisions &Known,
                   const std::vector<NodeId> &Members);
  void sendChanges();
  /// Notifies all entries of quarantines that the last command started.
  void sendNewNotices();

  void handleLeadershipGained();
  void handleLeadershipLost();
  [[nodiscard]] bool holdsLeaderLease() const;
  [[nodiscard]] bool maySendOrder() const;

  /// Proposes a command. \p Done gets the reply of the state machine, or a
  /// refusal if the command was not, or possibly not, committed.
  void propose(wire::Command Command, OnReply Done);
  /// Proposes a command of the leader unless one with this key is pending.
  void proposeOnce(const std::string &Key, wire::Command Command);
  /// Log time of this leader, which commands proposed now carry.
  [[nodiscard]] LogTime logNow(TimePoint Now) const {
    return m_LogBase + (Now - m_LeaderSince);
  }
  void endSessions(TimePoint Now);
  void tick();
  void execute(const fleet::Action &Due, TimePoint Now);
  void executeMembershipStep(const fleet::ExecuteMembershipStep &Due);

  event_base *m_Loop;
  const ControlSettings &m_Settings;
  metrics::Registry &m_Registry;
  std::function<void()> m_OnFatal;
  std::unique_ptr<wire::Hub> m_Hub;
  std::unique_ptr<replication::Replica> m_Replica;
  std::unique_ptr<Executor> m_Executor;
  std::unique_ptr<http::Server> m_OperatorServer;
  std::unique_ptr<RoleOrders> m_RoleOrders;
  std::unique_ptr<PlatformDuties> m_Duties;
  std::unique_ptr<RegistryApi> m_RegistryApi;
  std::unique_ptr<http::Server> m_RegistryServer;
  std::vector<std::weak_ptr<http::Exchange>> m_Calls; ///< Some have ended.
  std::size_t m_MostCalls = 64; ///< Number at which ended ones are removed.
  std::optional<CloseDeadlines> m_Closing;
  std::vector<NodeId> m_ConnectedMembers; ///< Members that the hub connects to.
  bool m_Repairing = false;
  TimePoint m_NextRepair;
  std::unique_ptr<http::Timer> m_Timer;

  ReplicatedState m_State;
  fleet::ObservedState m_Observed;
  fleet::SharedWork m_SharedWork; ///< Entries' work on engines; memory only.
  RolePlanner m_Roles;
  Shares m_Shares;
  SuspectNotices m_Notices;
  NotifiedTraits m_NotifiedTraits;
  TargetRates m_TargetRates;
  std::map<NodeId, SentRevisions> m_Sent;
  NodeId m_LastSent; ///< Entry at which the last turn of sending ended.
  FleetUpdates m_FleetUpdates;
  std::map<consensus::Index, wire::CallReply> m_Replies;
  std::set<std::string> m_PendingProposals;
  /// Records of begun streams that wait to be proposed together.
  wire::StreamVersions m_CollectedStreams;
  std::vector<OnReply> m_StreamReplies;
  std::unique_ptr<http::Timer> m_StreamTimer;
  TimePoint m_LeaderSince;
  LogTime m_LogBase; ///< Log time at `m_LeaderSince`.
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_CONTROL_H
