/// \file
/// Groups with another first membership that a member has met.

#ifndef WASABIVALE_REPLICATION_OTHERGROUPS_H
#define WASABIVALE_REPLICATION_OTHERGROUPS_H

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace wasabivale::replication {

/// Identity of a group, made of its first membership; zero stands for unknown.
using GroupId = std::uint64_t;

inline GroupId groupId(std::string_view FirstMembership) {
  const GroupId Hash = hashBytes(FirstMembership);
  return Hash == 0 ? 1 : Hash;
}

/// Whether two groups are known to be different.
inline bool areDifferent(GroupId First, GroupId Second) {
  return First != 0 && Second != 0 && First != Second;
}

struct OtherGroups {
  struct Seen {
    GroupId m_Group = 0;
    TimePoint m_NextReplyAt;
  };
  std::map<NodeId, Seen> m_BySender;
};

/// Shortest time between two replies to one member of another group.
inline constexpr std::chrono::seconds OtherGroupReplyInterval{2};

struct OtherGroupStep {
  bool m_IsNew = false;    ///< This group was not seen at this member before.
  bool m_MayReply = false; ///< The member may be told of this group.
};

inline OtherGroupStep recordOtherGroup(OtherGroups &Known, const NodeId &Sender,
                                       GroupId Group, TimePoint Now) {
  constexpr std::size_t MaxMembers = 64;
  if (Known.m_BySender.size() >= MaxMembers &&
      Known.m_BySender.count(Sender) == 0)
    Known.m_BySender.clear();
  OtherGroups::Seen &Entry = Known.m_BySender[Sender];
  const OtherGroupStep Step{Entry.m_Group != Group, Now >= Entry.m_NextReplyAt};
  Entry.m_Group = Group;
  if (Step.m_MayReply)
    Entry.m_NextReplyAt = Now + OtherGroupReplyInterval;
  return Step;
}

} // namespace wasabivale::replication

#endif // WASABIVALE_REPLICATION_OTHERGROUPS_H
