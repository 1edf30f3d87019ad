/// \file
/// Processes that a member outside the group asks for admission, without I/O.

#ifndef WASABIVALE_REPLICATION_CONTACTS_H
#define WASABIVALE_REPLICATION_CONTACTS_H

#include "base/base.h"

#include <vector>

namespace wasabivale::replication {

/// Two memberships of the largest size, with some of their successors.
inline constexpr std::size_t MaxContacts = 16;

struct Contacts {
  NodeId m_Self;               ///< Never listed.
  std::vector<NodeId> m_Nodes; ///< Most recently reported members first.
};

/// Records members that a member of the group has reported. The contacts that
/// were reported longest ago are dropped. \returns whether the set changed.
bool recordMembers(Contacts &Known, const std::vector<NodeId> &Members);

/// Records contacts of a process that is outside the group itself. They replace
/// no others. \returns whether the set changed.
bool recordHearsay(Contacts &Known, const std::vector<NodeId> &Contacts);

} // namespace wasabivale::replication

#endif // WASABIVALE_REPLICATION_CONTACTS_H
