#include "LedgerMutations.h"
#include "Commands.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::ledger;

namespace {

/// Whether a second attempt is granted a key that was never freed. Two keys
/// fill the ledger and a third one comes.
bool isGrantedTwice(Mutation Fault, bool SessionEnds) {
  mutation() = Fault;
  State On;
  setLimits(On, {2, 1U << 20U, 100, std::chrono::hours(1)});
  apply(On, begin(1, "k1", "a"));
  apply(On, begin(1, "k2", "a"));
  apply(On, begin(2, "k3", "a"));
  if (SessionEnds)
    apply(On, entryGone(3, 1));
  bool Twice = false;
  for (const char *Name : {"k1", "k2"})
    Twice |=
        apply(On, begin(4, Name, "b", "d", 3)).m_Answer.state() == "granted";
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
