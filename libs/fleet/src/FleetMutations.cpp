#include "FleetMutations.h"

#if defined(WASABIVALE_MUTATIONS)
namespace wasabivale::fleet {

Mutation &mutation() {
  static Mutation Current = Mutation::None;
  return Current;
}

std::vector<std::string> &brokenInvariants() {
  static std::vector<std::string> Broken;
  return Broken;
}

} // namespace wasabivale::fleet
#endif
