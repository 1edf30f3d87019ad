/// \file
/// One member of the replicated log: runs the consensus steps on a libevent
/// loop, with its data folder and a hub.
///
/// Events that arrive during one iteration of the event loop share one write
/// and one sync. Messages, applied records and answers follow only after the
/// sync. The contents of the log and of snapshots are opaque here.
///
/// **Formation.** A member with an empty disk that is listed in its settings
/// sends the incarnation of its disk to the other listed members. Once it knows
/// all incarnations, it durably promises the membership made of them and takes
/// part in no other initial membership. Once it knows that all listed members
/// have made the same promise, it starts with that membership. From then on
/// only the log defines the membership. A member that finds the cluster formed
/// without its disk waits until a membership change admits it. It stores the
/// members that it has found, to ask them again after a restart.
///
/// Seeds may be exchanged after the first start. A disk therefore records at
/// its format whether that start was the first one of the cluster, and its
/// seeds; only such a disk forms the cluster, with these seeds. A disk without
/// such a record takes part only while the settings still call this start the
/// first.
///
/// **Groups.** Messages carry the identity of the sender's group, which its
/// first membership defines. A member does not act on messages of another
/// group; it logs and counts them.

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

/// What the settings list.
enum class ListKind : std::uint8_t {
  Members, ///< All members, as given by the operator.
  Seeds,   ///< Processes to ask, which need not be members of the group.
};

struct ReplicaOptions {
  std::string m_Folder;  ///< Data folder; formatted if it is empty.
  std::string m_Cluster; ///< Same for all members; detects foreign disks.
  NodeId m_Self;
  /// Initial members of the cluster, the same on each of them. A member that
  /// joins later lists the members that it can contact.
  std::vector<NodeId> m_Listed;
  ListKind m_ListKind = ListKind::Members;
  /// Whether this is the first start of the cluster, in which an empty disk
  /// takes part in forming it. False if the cluster is known to exist: the disk
  /// then waits for admission.
  bool m_MayForm = true;
  store::CopyGuard m_CopyGuard = store::CopyGuard::Inode;
  consensus::Timing m_Timing;
  consensus::Limits m_Limits;
  /// A snapshot is taken after this many records or bytes of applied payloads.
  std::uint64_t m_SnapshotRecords = 20'000;
  std::size_t m_SnapshotBytes = 32U << 20U;
  /// A digest of the state is taken at each log index that is a multiple of
  /// this; the same on all members.
  std::uint64_t m_DigestRecords = 256;
  /// Of what `m_TakeDigest` covers. Only digests of one format are compared.
  std::uint32_t m_DigestFormat = 1;
  store::Files *m_Files = nullptr; ///< Null: the file system.
};

/// Called from the event loop only. All are required unless stated otherwise.
/// They may call the replica, but must not destroy it.
struct ReplicaCallbacks {
  /// Applies a committed proposal. Called in log order, exactly once for each
  /// proposal after the state last passed to `m_Install` (or the empty state).
  std::function<void(consensus::Index, const std::string &Payload)> m_Apply;
  /// \returns the state after the last applied record.
  std::function<std::string()> m_TakeSnapshot;
  /// \returns a digest of the state after the record at \p Position, equal on
  /// members with equal states, or nothing if this index is left out; members
  /// with equal states leave out the same. Optional.
  std::function<std::optional<std::uint64_t>(consensus::Index Position)>
      m_TakeDigest;
  /// Replaces the whole state; also called by `open`.
  std::function<Status(const std::string &State)> m_Install;
  /// This member is leader and has applied everything committed before.
  std::function<void()> m_OnLeadershipGained;
  std::function<void()> m_OnLeadershipLost;
  /// The data folder or the state failed and the process must exit. This member
  /// no longer takes part in consensus.
  std::function<void(const Error &)> m_OnFailure;
};

/// Identity of a group for logs and operators: 16 hexadecimal digits, all zero
/// if it is not known.
std::string groupName(std::uint64_t Group);

/// Replication progress of a member, as known to the leader.
struct MemberStatus {
  consensus::Member m_Member;
  consensus::Index m_Match = 0;
  bool m_LostData = false;
  std::string m_OtherIncarnation; ///< Reported, but not in the membership.
  TimePoint m_HeardAt;            ///< Last reply to this leader.
};

struct ReplicaStatus {
  bool m_Formed = false;
  bool m_Leading = false;
  NodeId m_Leader; ///< Empty if unknown.
  consensus::Term m_Term = 0;
  consensus::Index m_LastIndex = 0;
  consensus::Index m_CommitIndex = 0;
  std::string m_Incarnation;
  std::uint64_t m_Group = 0; ///< Identity of the group; zero: not known.
  std::vector<MemberStatus> m_Members;
  /// Incarnations of processes that asked for admission and are not members, as
  /// needed by `AddLearner` or `ReplaceMember`.
  std::map<NodeId, std::string> m_Newcomers;
};

// --- Repair of the group ----------------------------------------------------

/// State of the group, from which the leader derives repairs.
struct GroupState {
  NodeId m_Self;
  std::vector<MemberStatus> m_Members;
  std::map<NodeId, std::string> m_Newcomers; ///< Seen in the last seconds.
  TimePoint m_LeaderSince;
};

struct RepairSettings {
  /// Twice the number of simultaneous losses to tolerate, plus one.
  std::size_t m_VoterCount = 5;
  /// Time without a reply after which a waiting newcomer replaces a member. A
  /// restarting process replies sooner; one that is replaced nevertheless
  /// returns as a newcomer.
  Duration m_SilenceTimeout = std::chrono::milliseconds(1500);
};

/// For logs: `add_learner MEMBER`, `replace_disk MEMBER`, ...
std::string describe(const consensus::MembershipChange &Change);

/// \returns the next membership change that restores the size of the group.
/// There is one change at a time, and only changes that the responding members
/// can commit.
std::optional<consensus::MembershipChange>
nextRepair(const GroupState &State, const RepairSettings &Settings,
           TimePoint Now);

class Replica {
public:
  using OnDecided = std::function<void(const consensus::Decision &)>;

  /// Opens the data folder and starts the replica. The loop, the hub and the
  /// registry must outlive it. Returns errors of the store, of `checkTiming`
  /// and of `m_Install`.
  static Result<std::unique_ptr<Replica>> open(event_base *Loop, wire::Hub &Hub,
                                               metrics::Registry &Registry,
                                               ReplicaOptions Options,
                                               ReplicaCallbacks Callbacks);
  ~Replica();
  Replica(const Replica &) = delete;
  Replica &operator=(const Replica &) = delete;

  /// Replaces the seeds with those of newer settings.
  void updateSeeds(std::vector<NodeId> Seeds);

  /// \returns the processes that this member sends messages to, and that the
  /// hub should connect to: the members and seeds, and while it is outside the
  /// group also its contacts. Sorted, without this member.
  [[nodiscard]] std::vector<NodeId> peers() const;
  /// \returns the members of the group as far as this member knows them: its
  /// own membership or, while it has none, those that were reported to it.
  [[nodiscard]] std::vector<NodeId> knownMembers() const;

  /// Handles a message received by the hub.
  void receive(const NodeId &Sender, const wire::ConsensusMessage &Message);

  /// Proposes a payload. \p Callback is called once, from a later iteration of
  /// the event loop. With `Lost` the payload may or may not be committed. A
  /// committed proposal is applied before its callback is called.
  void propose(std::string Payload, OnDecided Callback);

  /// Proposes a membership change.
  void proposeMembershipChange(consensus::MembershipChange Change,
                               OnDecided Callback);

  /// Transfers leadership before a planned stop; does nothing on a follower. An
  /// empty id selects the voter with the most complete log.
  void transferLeadership(const NodeId &Successor = {});

  /// Whether this member is leader and has applied everything committed before.
  [[nodiscard]] bool isLeader() const;
  /// Whether no other member can be leader at this moment; reads the clock.
  [[nodiscard]] bool holdsLease() const;
  /// \returns when the lease ends unless renewed; the epoch if there is none.
  [[nodiscard]] TimePoint leaseEnd() const;
  [[nodiscard]] NodeId leader() const;
  [[nodiscard]] consensus::Term term() const;
  [[nodiscard]] ReplicaStatus status() const;
  /// \returns the number of syncs of the data folder since it was opened.
  [[nodiscard]] std::uint64_t syncCount() const;

private:
  struct Impl;
  explicit Replica(std::unique_ptr<Impl> Owned);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace wasabivale::replication

#endif // WASABIVALE_REPLICATION_REPLICATION_H
