/// \file
/// Decides whether another try takes over from one whose target is silent. The
/// silent try is ended only after that, since its answer may still come.

#ifndef WASABIVALE_ENTRY_REPLACEMENT_H
#define WASABIVALE_ENTRY_REPLACEMENT_H

#include "Context.h"

#include <string_view>
#include <variant>

namespace wasabivale::entry {

/// A try whose target sends nothing.
struct SilentTry {
  routing::Leg m_Leg;
  TimePoint m_SilentSince;
  retries::Attempt m_Attempt;
  retries::Failure m_Why; ///< As it would be ended.
};

/// Reserves the successor of a silent try, or names why there is none: a word
/// for log lines. The successor is sent, or given back by `dropSuccessor`.
/// \param Wanted does not name targets to avoid.
std::variant<routing::Choice, std::string_view>
reserveSuccessor(Context &Shared, const SilentTry &Former,
                 routing::Request Wanted, TimePoint Now);

void dropSuccessor(Context &Shared, const routing::Choice &Successor,
                   TimePoint Now);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_REPLACEMENT_H
