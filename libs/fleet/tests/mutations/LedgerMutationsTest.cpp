#include "LedgerMutations.h"
#include "Commands.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::ledger;

namespace {

/// Whether a second attempt is granted a key that was never released. Two keys
/// fill the ledger before a third is requested.
bool isGrantedTwice(Mutation Fault, bool SessionEnds) {
  mutation() = Fault;
  State Ledger;
  setLimits(Ledger, {2, 1U << 20U, 100, std::chrono::hours(1)});
  apply(Ledger, begin(1, "k1", "a"));
  apply(Ledger, begin(1, "k2", "a"));
  apply(Ledger, begin(2, "k3", "a"));
  if (SessionEnds)
    apply(Ledger, entryGone(3, 1));
  bool Twice = false;
  for (const char *Name : {"k1", "k2"})
    Twice |= apply(Ledger, begin(4, Name, "b", "d", 3)).m_Answer.state() ==
             "granted";
  mutation() = Mutation::None;
  return Twice;
}

} // namespace

TEST_CASE("evict a key in progress: a second attempt is granted") {
  CHECK_FALSE(isGrantedTwice(Mutation::None, false));
  CHECK(isGrantedTwice(Mutation::EvictInProgress, false));
}

TEST_CASE("grant after unknown: a second attempt is granted") {
  CHECK_FALSE(isGrantedTwice(Mutation::None, true));
  CHECK(isGrantedTwice(Mutation::GrantAfterUnknown, true));
}
