/// \file
/// Agreement of the listed members on the initial membership, without I/O.

#ifndef WASABIVALE_REPLICATION_FORMATION_H
#define WASABIVALE_REPLICATION_FORMATION_H

#include "consensus/consensus.h"
#include "replication/replication.h"
#include "store/store.h"

#include <map>
#include <string>
#include <vector>

namespace wasabivale::replication {

/// State that one listed member has reported about itself.
struct FormationReport {
  std::string m_Incarnation;
  std::string m_Promise; ///< Encoded membership; empty without a promise.
  bool m_Formed = false;
};

struct Formation {
  bool m_MayForm = true; ///< False: this disk joins an existing cluster.
  std::string m_Cluster;
  NodeId m_Self;
  std::vector<NodeId> m_Listed; ///< Sorted.
  FormationReport m_Own;
  std::map<NodeId, FormationReport> m_Others;
};

enum class FormationStep : std::uint8_t {
  Wait,    ///< Reports of some members are missing.
  Promise, ///< Durably promise `proposedMembership`.
  Form,    ///< All members made the same promise: start with it.
  Stalled, ///< The promises differ; an operator has to empty the folders.
  Passive, ///< The cluster exists without this disk: wait for admission.
};

/// Takes from a disk what it has recorded of its first start: only a disk that
/// was formatted then may form the cluster, and only with the seeds of that
/// start, whatever later settings say. \pre `m_Own` and `m_Listed` are set.
void applyOrigin(Formation &State, const store::Origin &Recorded,
                 ListKind Kind);

FormationStep nextStep(const Formation &State);

/// \returns the encoded membership of the listed members with their reported
/// incarnations. \pre `nextStep` returns `Promise`.
std::string proposedMembership(const Formation &State);

wire::Formation toWire(const Formation &State);

/// Records the report of a member. \returns false if the member does not take
/// part in this formation.
bool recordReport(Formation &State, const NodeId &Sender,
                  const std::string &Incarnation,
                  const wire::Formation &Report);

} // namespace wasabivale::replication

#endif // WASABIVALE_REPLICATION_FORMATION_H
