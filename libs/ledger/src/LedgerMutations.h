/// \file
/// Faults that a test build switches on, to show that its tests see them.
/// Shipped builds contain none of them.

#ifndef WASABIVALE_LEDGER_SRC_LEDGERMUTATIONS_H
#define WASABIVALE_LEDGER_SRC_LEDGERMUTATIONS_H

#include <cstdint>

namespace wasabivale::ledger {

enum class Mutation : std::uint8_t {
  None,
  EvictInProgress,   ///< A full ledger makes room by dropping an open key.
  GrantAfterUnknown, ///< An unknown outcome is granted to a new attempt.
};

#if defined(WASABIVALE_MUTATIONS)
/// The fault that is switched on now.
Mutation &mutation();
inline bool mutated(Mutation Which) { return mutation() == Which; }
#else
constexpr bool mutated(Mutation /*Which*/) { return false; }
#endif

} // namespace wasabivale::ledger

#endif // WASABIVALE_LEDGER_SRC_LEDGERMUTATIONS_H
