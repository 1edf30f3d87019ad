#include "Contacts.h"

#include <algorithm>

namespace wasabivale::replication {

static bool contains(const std::vector<NodeId> &Nodes, const NodeId &Node) {
  return std::find(Nodes.begin(), Nodes.end(), Node) != Nodes.end();
}

static bool isUsable(const Contacts &Known, const NodeId &Node) {
  return !Node.m_Value.empty() && Node != Known.m_Self;
}

static bool haveSameSet(std::vector<NodeId> First, std::vector<NodeId> Second) {
  std::sort(First.begin(), First.end());
  std::sort(Second.begin(), Second.end());
  return First == Second;
}

bool recordMembers(Contacts &Known, const std::vector<NodeId> &Members) {
  std::vector<NodeId> Next;
  for (const std::vector<NodeId> *Group :
       {&Members, &std::as_const(Known).m_Nodes})
    for (const NodeId &Node : *Group)
      if (isUsable(Known, Node) && !contains(Next, Node) &&
          Next.size() < MaxContacts)
        Next.push_back(Node);
  const bool HasChanged = !haveSameSet(Next, Known.m_Nodes);
  Known.m_Nodes = std::move(Next);
  return HasChanged;
}

bool recordHearsay(Contacts &Known, const std::vector<NodeId> &Contacts) {
  const std::size_t Before = Known.m_Nodes.size();
  for (const NodeId &Node : Contacts)
    if (isUsable(Known, Node) && !contains(Known.m_Nodes, Node) &&
        Known.m_Nodes.size() < MaxContacts)
      Known.m_Nodes.push_back(Node);
  return Known.m_Nodes.size() != Before;
}

} // namespace wasabivale::replication
