/// \file
/// One member of the replicated log: runs the consensus steps on a libevent
/// loop, with its data folder and a hub.
///
/// What arrives during one turn of the loop shares one write and one sync; only
/// after the sync is anything sent, applied or answered. The content of the
/// log and of snapshots is opaque here.
///
/// **Formation.** A member with an empty disk that is listed in its settings
/// tells the other listed members its disk's incarnation. Once it knows all of
/// them it durably promises the membership made of these, and it takes part in
/// no other first membership from then on. Once it knows that all listed
/// members have made the same promise, it starts with that membership. From
/// then on only the log says who is a member. A member that finds the cluster
/// formed without its disk waits until it is admitted by a membership change.

#ifndef WASABIVALE_REPLICATION_REPLICATION_H
#define WASABIVALE_REPLICATION_REPLICATION_H

#include "base/base.h"
#include "consensus/consensus.h"
#include "metrics/metrics.h"
#include "store/store.h"
#include "wire/wire.h"

#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabivale::replication {

struct ReplicaOptions {
  std::string m_Folder;  ///< Data folder; made a disk when it is empty.
  std::string m_Cluster; ///< Same for all members; guards against mixing disks.
  NodeId m_Self;
  /// Members to form the cluster of, the same on all of them. A member that
  /// is to join later names those that it can ask.
  std::vector<NodeId> m_Listed;
  /// Whether an empty disk may take part in a first membership. False where
  /// the cluster is known to exist: the disk then waits for admission.
  bool m_MayForm = true;
  store::CopyGuard m_CopyGuard = store::CopyGuard::FileNumber;
  consensus::Timing m_Timing;
  consensus::Limits m_Limits;
  /// Records, and bytes of applied payloads, after which a snapshot is taken.
  std::uint64_t m_SnapshotRecords = 20'000;
  std::size_t m_SnapshotBytes = 32U << 20U;
  store::Files *m_Files = nullptr; ///< Null: the system's.
};

/// Called from the loop only; all must be set. They may call the replica, but
/// not destroy it.
struct ReplicaCallbacks {
  /// A committed proposal, in order, each exactly once after the state that
  /// `m_Install` was last given (or after the empty state).
  std::function<void(consensus::Index, const std::string &Payload)> m_Apply;
  /// \returns the state after the last applied record.
  std::function<std::string()> m_TakeSnapshot;
  /// Replaces the whole state; also called within `open`.
  std::function<Status(const std::string &State)> m_Install;
  /// This member leads and has applied everything committed before.
  std::function<void()> m_OnLeadershipGained;
  std::function<void()> m_OnLeadershipLost;
  /// The data folder or the state failed: the process must end. This member
  /// takes part no longer.
  std::function<void(const Error &)> m_OnFailure;
  /// Members that a formed cluster has, as told to this newcomer; it asks all
  /// of them to be admitted once the hub reaches them. Optional.
  std::function<void(const consensus::Membership &)> m_OnMembersFound;
};

/// How far a member is, as the leader knows it.
struct MemberStatus {
  consensus::Member m_Member;
  consensus::Index m_Match = 0;
  bool m_LostData = false;
  std::string m_OtherIncarnation; ///< Shown by it, not in the membership.
  TimePoint m_HeardAt;            ///< Last reply to this leader.
};

struct ReplicaStatus {
  bool m_Formed = false;
  bool m_Leading = false;
  NodeId m_Leader; ///< Empty when not known.
  consensus::Term m_Term = 0;
  consensus::Index m_LastIndex = 0;
  consensus::Index m_CommitIndex = 0;
  std::string m_Incarnation;
  std::vector<MemberStatus> m_Members;
  /// Incarnations of processes that asked to take part and are not members:
  /// what `AddLearner` or `ReplaceMember` needs to admit them.
  std::map<NodeId, std::string> m_Newcomers;
};

// --- Repair of the group ----------------------------------------------------

/// What a leader knows when it looks after the group.
struct GroupState {
  NodeId m_Self;
  std::vector<MemberStatus> m_Members;
  std::map<NodeId, std::string> m_Newcomers; ///< Heard of in the last seconds.
  TimePoint m_LeaderSince;
};

struct RepairSettings {
  std::size_t m_VoterCount =
      5; ///< Twice the losses to be borne at once, and one.
  /// Silence after which a member gives its place to a newcomer that waits. A
  /// process that is only restarted answers sooner; one that loses its place
  /// all the same is a newcomer when it is back.
  Duration m_SilenceTimeout = std::chrono::milliseconds(1500);
};

/// For logs: `add_learner MEMBER`, `replace_disk MEMBER`, ...
std::string describe(const consensus::MembershipChange &Change);

/// The next membership change that brings the group back to its size: one at a
/// time, and none that the members that answer could not commit.
std::optional<consensus::MembershipChange>
nextRepair(const GroupState &Facts, const RepairSettings &Rules, TimePoint Now);

class Replica {
public:
  using OnDecided = std::function<void(const consensus::Decision &)>;

  /// Opens the folder and starts. The loop, the hub and the registry must
  /// outlive the replica. Errors are those of the store, of the timing, and of
  /// `m_Install`.
  static Result<std::unique_ptr<Replica>>
  open(event_base *Loop, wire::Hub &Through, metrics::Registry &Registry,
       ReplicaOptions Options, ReplicaCallbacks Callbacks);
  ~Replica();
  Replica(const Replica &) = delete;
  Replica &operator=(const Replica &) = delete;

  /// Takes a message that the hub received.
  void receive(const NodeId &From, const wire::ConsensusMessage &Message);

  /// Proposes a payload. \p Callback is called once from a later turn; with
  /// `Lost` the payload may or may not be committed. A proposal is applied
  /// before its callback.
  void propose(std::string Payload, OnDecided Callback);

  /// Proposes a membership change.
  void proposeMembershipChange(consensus::MembershipChange Wanted,
                               OnDecided Callback);

  /// Hands leadership over before a planned stop; does nothing on a follower.
  void transferLeadership(const NodeId &To = {});

  /// Whether this member leads and has applied everything committed before.
  [[nodiscard]] bool isLeader() const;
  /// Whether no other member can lead at this moment; reads the clock.
  [[nodiscard]] bool holdsLease() const;
  /// End of the lease unless it is renewed; the epoch if there is none.
  [[nodiscard]] TimePoint leaseEnd() const;
  [[nodiscard]] NodeId leader() const;
  [[nodiscard]] consensus::Term term() const;
  [[nodiscard]] ReplicaStatus status() const;
  /// Syncs of the data folder since it was opened.
  [[nodiscard]] std::uint64_t syncCount() const;

private:
  struct Parts;
  explicit Replica(std::unique_ptr<Parts> Owned);
  std::unique_ptr<Parts> m_Parts;
};

} // namespace wasabivale::replication

#endif // WASABIVALE_REPLICATION_REPLICATION_H
