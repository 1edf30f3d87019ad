/// \file
/// Faults that test builds inject to prove that the tests detect them. Release
/// builds do not contain them.

#ifndef WASABIVALE_LEDGER_SRC_LEDGERMUTATIONS_H
#define WASABIVALE_LEDGER_SRC_LEDGERMUTATIONS_H

#include <cstdint>

namespace wasabivale::ledger {

enum class Mutation : std::uint8_t {
  None,
  EvictInProgress,   ///< A full ledger evicts a key in progress.
  GrantAfterUnknown, ///< A key with unknown outcome is granted again.
};

#if defined(WASABIVALE_MUTATIONS)
/// The active fault.
Mutation &mutation();
inline bool mutated(Mutation Fault) { return mutation() == Fault; }
#else
constexpr bool mutated(Mutation /*Fault*/) { return false; }
#endif

} // namespace wasabivale::ledger

#endif // WASABIVALE_LEDGER_SRC_LEDGERMUTATIONS_H
