/// \file
/// Digests of the replicated state at positions of the log that all members
/// choose alike. The leader compares those of other members with its own. Does
/// no I/O and reads no clock.

#ifndef WASABIVALE_REPLICATION_STATEDIGESTS_H
#define WASABIVALE_REPLICATION_STATEDIGESTS_H

#include "consensus/consensus.h"

#include <deque>
#include <map>

namespace wasabivale::replication {

struct StateDigest {
  consensus::Index m_Index = 0;
  std::uint32_t m_Format = 0; ///< Digests of two formats can't be compared.
  std::uint64_t m_Value = 0;
};

struct StateDigests {
  /// Newest ones of this member, in ascending order of their indices.
  std::deque<StateDigest> m_Own;
  /// Newest index that was compared, by member.
  std::map<NodeId, consensus::Index> m_Compared;
};

enum class DigestComparison : std::uint8_t {
  Skipped, ///< This member has none to compare, or has compared it before.
  Equal,
  Different,
};

void recordOwn(StateDigests &Digests, const StateDigest &Own);

/// Forgets this member's digests, after its state was replaced.
void forgetOwn(StateDigests &Digests);

/// Forgets members that have left the group.
void keepMembers(StateDigests &Digests,
                 const consensus::Membership &Membership);

/// Compares a digest of \p Member with the own one of the same index and
/// format. Each index of a member is compared once.
DigestComparison compare(StateDigests &Digests, const NodeId &Member,
                         const StateDigest &Reported);

} // namespace wasabivale::replication

#endif // WASABIVALE_REPLICATION_STATEDIGESTS_H
