/// \file
/// An entry's tie to control: finds the leader, renews the lease, receives the
/// fleet and the configuration, and makes calls that change replicated state.

#ifndef WASABIVALE_ENTRY_CONTROLLINK_H
#define WASABIVALE_ENTRY_CONTROLLINK_H

#include "EntrySettings.h"
#include "metrics/metrics.h"
#include "wire/wire.h"

#include <functional>
#include <map>
#include <optional>

namespace wasabivale::entry {

class ControlLink {
public:
  using OnReply = std::function<void(Result<wire::CallReply>)>;

  struct Handlers {
    /// A newer fleet or configuration has arrived. False when it could not be
    /// applied: this entry then stays at the former revision.
    std::function<bool(const wire::FleetUpdate &)> m_OnFleet;
    /// The leader answered a report and with it extended the lease.
    std::function<void(const wire::ControlGrant &, TimePoint LeaseEnd)>
        m_OnGrant;
    /// Fills in a report before it is sent.
    std::function<void(wire::EntryReport &)> m_FillReport;
    /// Fills in this entry's work at engines. False: there is none to tell of,
    /// and none of others is wanted.
    std::function<bool(wire::WorkNotice &)> m_FillWork;
    /// What an older control answers.
    std::function<void(const wire::OthersWork &)> m_OnOthersWork;
    /// False if the digest was refused.
    std::function<bool(const wire::WorkDigest &)> m_OnWorkDigest;
    std::function<void(const wire::TraitsUpdate &)> m_OnTraits;
  };

  static Result<std::unique_ptr<ControlLink>>
  open(event_base *Loop, const EntrySettings &Settings,
       metrics::Registry &Registry, Handlers Callbacks);

  /// Sends \p Command to the leader, again as often as needed: its request id
  /// makes it idempotent. \p Done is called once, from the loop, with the reply
  /// or, at \p Deadline, with an error; the command may have been committed
  /// then all the same.
  void call(wire::Command Command, TimePoint Deadline, OnReply Done);

  /// Whether a leader has confirmed this entry within its lease.
  [[nodiscard]] bool holdsLease(TimePoint Now) const {
    return Now < m_LeaseEnd;
  }
  [[nodiscard]] std::uint64_t session() const { return m_Hub->session(); }
  /// Calls that control has not answered yet.
  [[nodiscard]] std::size_t openCalls() const { return m_Calls.size(); }
  [[nodiscard]] std::uint64_t fleetRevision() const { return m_FleetRevision; }
  [[nodiscard]] std::uint64_t routesVersion() const { return m_RoutesVersion; }
  [[nodiscard]] std::uint64_t configurationRevision() const {
    return m_ConfigurationRevision;
  }
  /// Looks for control where newer settings say.
  void reload(const EntrySettings &Next);
  /// Sends a report at once, outside the usual interval.
  void reportNow();
  /// Tells the leader that the process ends, and sends nothing from now on.
  void sendLastReport();
  /// Starts a new session: control has taken the present one for ended and
  /// accepts nothing more from it. At most once in `RenewInterval`.
  void renewSession();
  [[nodiscard]] TimePoint leaseEnd() const { return m_LeaseEnd; }

private:
  struct Call {
    wire::Command m_Command;
    TimePoint m_Deadline;
    TimePoint m_NextSend;
    OnReply m_Done;
  };

  ControlLink(event_base *Loop, const EntrySettings &Settings,
              metrics::Registry &Registry, Handlers Callbacks);
  void take(const NodeId &From, const wire::Envelope &Message);
  void takeFleet(const wire::FleetUpdate &Update);
  void takeGrant(const wire::ControlGrant &Grant);
  void takeReply(const wire::CallReply &Reply);
  Status openHub();
  void follow(const NodeId &Leader);
  void loseLeader();
  void learnMembers(const wire::Redirect &Told);
  void appendMembers(const wire::Redirect &Redirect,
                     std::vector<wire::Peer> &Known) const;
  void addMembers(const wire::Redirect &Redirect);
  void turn();
  void sendCalls(TimePoint Now);
  void sendHello(const NodeId &To);
  void sendReport(TimePoint Now);
  void sendWork(TimePoint Now);
  void delayWork(std::size_t Bytes);

  event_base *m_Loop;
  const EntrySettings &m_Settings;
  metrics::Registry &m_Registry;
  Handlers m_Handlers;
  std::unique_ptr<wire::Hub> m_Hub;
  std::unique_ptr<http::Timer> m_Timer;
  std::unique_ptr<http::Timer> m_Renew;
  std::optional<NodeId> m_Leader;
  std::size_t m_NextMember = 0;
  std::uint64_t m_HighestTerm = 0;
  std::uint64_t m_FleetRevision = 0;
  std::uint64_t m_ConfigurationRevision = 0;
  std::uint64_t m_RoutesVersion = 0;
  /// Control members as the settings name them, or as members told since.
  std::vector<wire::Peer> m_Members;
  std::vector<wire::Peer> m_Named; ///< By the newest settings.
  std::uint64_t m_Renewal = 0;
  /// When each renewal that is still unanswered was sent: a lease counts from
  /// there.
  std::map<std::uint64_t, TimePoint> m_RenewalSent;
  bool m_HasEnded = false;
  std::optional<TimePoint> m_UpdateRequestTime; ///< Set while one is missing.
  TimePoint m_LeaseEnd;
  TimePoint m_LastHeard;
  TimePoint m_NextReport;
  TimePoint m_NextWork;
  TimePoint m_NextHello;
  TimePoint m_NextRenewal;
  std::map<std::string, Call> m_Calls;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_CONTROLLINK_H
