/// \file
/// Request limits that targets name in their answers.

#ifndef WASABIVALE_ENTRY_RATELIMITS_H
#define WASABIVALE_ENTRY_RATELIMITS_H

#include "base/base.h"

#include <map>
#include <optional>
#include <string>

namespace wasabivale::entry {

class RateLimits {
public:
  /// An answer of the target at \p Address names a limit, or none.
  void observe(const std::string &Address,
               std::optional<double> RequestsPerSecond, TimePoint Now);

private:
  std::map<std::string, double> m_Named;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_RATELIMITS_H
