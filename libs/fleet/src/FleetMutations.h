/// \file
/// Faults that the mutation test build can switch on to verify that the tests
/// detect them. Release builds contain none of them. In the mutation build a
/// broken invariant is recorded instead of ending the process.

#ifndef WASABIVALE_FLEET_SRC_FLEETMUTATIONS_H
#define WASABIVALE_FLEET_SRC_FLEETMUTATIONS_H

#include "base/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabivale::fleet {

enum class Mutation : std::uint8_t {
  None,
  SkipBarrier,      ///< Issues orders before the drain barrier.
  AcceptEqualFence, ///< Accepts a fence equal to the last one.
  DropRequestTable, ///< Does not find recorded answers to operator calls.
  AllowSecondOrder, ///< Issues a second order while one is under way.
  TrustFreshLeader, ///< A new leader takes silence as acknowledgement.
  IgnoreRevision,   ///< Confirms a plan that is based on an older revision.
  RevertRevision,   ///< Reuses a revision for a new configuration.
};

#if defined(WASABIVALE_MUTATIONS)
/// The active fault.
Mutation &mutation();
/// Invariants broken since the list was last cleared.
std::vector<std::string> &brokenInvariants();
inline bool mutated(Mutation Fault) { return mutation() == Fault; }
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
