/// \file
/// Several replicas on loopback, in one process and on one event loop, with
/// real hubs and data folders, for tests and measurements.

#ifndef WASABIVALE_REPLICATION_LOCAL_REPLICATION_LOCAL_H
#define WASABIVALE_REPLICATION_LOCAL_REPLICATION_LOCAL_H

#include "replication/replication.h"

#include <functional>
#include <string>
#include <vector>

namespace wasabivale::replication {

struct LocalClusterOptions {
  int m_Members = 3;
  int m_FirstPort = 28500; ///< One port for each member.
  std::string m_Root;      ///< Parent of the data folders; created and removed.
  consensus::Timing m_Timing;
  consensus::Limits m_Limits;
  std::uint64_t m_SnapshotRecords = 20'000;
  std::uint64_t m_DigestRecords = 256;
};

/// One member; its state is the list of applied payloads.
struct LocalMember {
  NodeId m_Id;
  wire::KeyPair m_Keys;
  std::string m_Address;
  std::string m_Folder;
  std::unique_ptr<wire::Hub> m_Hub;
  std::unique_ptr<Replica> m_Replica; ///< Null while it is stopped.
  std::vector<std::string> m_Applied;
  bool m_TakesDigests = true; ///< False: like a build that has none.
  /// Seeds of its settings; empty: they list all members.
  std::vector<NodeId> m_Seeds;
  bool m_MayForm = true;           ///< Whether its settings say so.
  store::Files *m_Files = nullptr; ///< Null: the file system.
  std::vector<Error> m_Failures;   ///< Reported by `m_OnFailure`.
};

class LocalCluster {
public:
  explicit LocalCluster(LocalClusterOptions Options);
  ~LocalCluster();
  LocalCluster(const LocalCluster &) = delete;
  LocalCluster &operator=(const LocalCluster &) = delete;

  Status start(LocalMember &Member);
  Status startAll();
  /// Stops a member immediately, like a crash.
  static void stop(LocalMember &Member);

  /// Runs the event loop until \p Condition holds or \p Timeout has passed.
  /// \returns whether the condition holds.
  bool runUntil(const std::function<bool()> &Condition, Duration Timeout) const;

  /// \returns the member that holds the lease, or null.
  LocalMember *leader();
  std::vector<LocalMember> &members() { return m_Members; }
  /// Metrics of all members together.
  metrics::Registry &registry() { return m_Registry; }

private:
  static ReplicaCallbacks callbacks(LocalMember &Member);

  LocalClusterOptions m_Options;
  event_base *m_Loop;
  metrics::Registry m_Registry;
  std::vector<LocalMember> m_Members;
};

} // namespace wasabivale::replication

#endif // WASABIVALE_REPLICATION_LOCAL_REPLICATION_LOCAL_H
