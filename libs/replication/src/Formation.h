/// \file
/// How the listed members agree on the first membership. Pure.

#ifndef WASABIVALE_REPLICATION_FORMATION_H
#define WASABIVALE_REPLICATION_FORMATION_H

#include "consensus/consensus.h"

#include <map>
#include <string>
#include <vector>

namespace wasabivale::replication {

/// What one listed member has said of itself.
struct FormationView {
  std::string m_Incarnation;
  std::string m_Promise; ///< Encoded membership; empty if none was promised.
  bool m_Formed = false;
};

struct Formation {
  bool m_MayForm = true; ///< False: this disk joins an existing cluster.
  std::string m_Cluster;
  NodeId m_Self;
  std::vector<NodeId> m_Listed; ///< Sorted.
  FormationView m_Own;
  std::map<NodeId, FormationView> m_Others;
};

enum class FormationStep : std::uint8_t {
  Wait,    ///< Not all has been heard.
  Promise, ///< Make `proposedMembership` a durable promise.
  Form,    ///< All have promised the same: start with it.
  Stalled, ///< The promises differ; an operator has to empty the folders.
  Passive, ///< The cluster exists without this disk: wait for admission.
};

/// What to do next.
FormationStep nextStep(const Formation &Of);

/// The membership of the listed members with the incarnations that they have
/// told. \pre `nextStep` is `Promise`.
std::string proposedMembership(const Formation &Of);

wire::Formation toWire(const Formation &Of);

/// Notes what a member said. \returns false if it is not one of this formation.
bool note(Formation &Into, const NodeId &From, const std::string &Incarnation,
          const wire::Formation &Said);

} // namespace wasabivale::replication

#endif // WASABIVALE_REPLICATION_FORMATION_H
