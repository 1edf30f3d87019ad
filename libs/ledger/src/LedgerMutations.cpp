#include "LedgerMutations.h"

#if defined(WASABIVALE_MUTATIONS)
namespace wasabivale::ledger {

Mutation &mutation() {
  static Mutation Current = Mutation::None;
  return Current;
}

} // namespace wasabivale::ledger
#endif
