/// \file
/// Faults that a test build switches on, to show that its tests see them.
/// Shipped builds contain none of them. In a test build a broken invariant is
/// noted instead of ending the process.

#ifndef WASABIVALE_FLEET_SRC_FLEETMUTATIONS_H
#define WASABIVALE_FLEET_SRC_FLEETMUTATIONS_H

#include "base/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabivale::fleet {

enum class Mutation : std::uint8_t {
  None,
  SkipBarrier,      ///< Orders are issued before the drain barrier.
  AcceptEqualFence, ///< A fence equal to the last one is accepted.
  DropRequestTable, ///< Answers to operator calls are not remembered.
  AllowSecondOrder, ///< A second order is issued beside one under way.
  TrustFreshLeader, ///< A new leader takes silence for acknowledgement.
  IgnoreRevision,   ///< A plan made on an older revision is confirmed.
  RevertRevision,   ///< A configuration takes a revision that was used.
};

#if defined(WASABIVALE_MUTATIONS)
/// The fault that is switched on now.
Mutation &mutation();
/// Invariants that were broken since the list was last cleared.
std::vector<std::string> &brokenInvariants();
inline bool mutated(Mutation Which) { return mutation() == Which; }
#define FLEET_INVARIANT(Condition)                                             \
  ((Condition)                                                                 \
       ? static_cast<void>(0)                                                  \
       : ::wasabivale::fleet::brokenInvariants().push_back(#Condition))
#else
constexpr bool mutated(Mutation /*Which*/) { return false; }
#define FLEET_INVARIANT(Condition) WASABIVALE_INVARIANT(Condition)
#endif

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_FLEETMUTATIONS_H
