/// \file
/// The accepted configuration as an entry uses it: callers with their keys and
/// limits, models, services and the ledger's rules.

#ifndef WASABIVALE_ENTRY_CONFIGURATION_H
#define WASABIVALE_ENTRY_CONFIGURATION_H

#include "base/base.h"
#include "limits/limits.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace wasabivale::entry {

struct Caller {
  CallerId m_Id;
  double m_Weight = 1;
  limits::Limits m_Limits; ///< In the whole fleet.
  std::chrono::milliseconds m_DefaultDeadline{30'000};
  std::chrono::milliseconds m_MaxDeadline{600'000};
};

struct Configuration {
  std::uint64_t m_Revision = 0; ///< Zero: none has been accepted yet.
  std::map<CallerId, Caller> m_Callers;
  std::unordered_map<std::string, CallerId> m_ByKeyHash;
  std::set<std::string> m_Models;
  std::map<std::string, bool> m_NotRepeatable; ///< Of each service.
  std::chrono::nanoseconds m_Retention{0};     ///< Zero: control's own.
  std::size_t m_MaxAnswerBytes = 64U << 10U;   ///< Of an answer that is kept.
};

/// Reads an accepted document. Keys that this version does not know are
/// ignored: control checks the document before it accepts it.
Result<Configuration> readConfiguration(std::string_view Document,
                                        std::uint64_t Revision);

/// Caller of requests without a key, where the settings allow them and no
/// configuration has been accepted yet.
const Caller &anonymousCaller();

/// The caller whose bearer key this is, or null.
const Caller *findCaller(const Configuration &In, std::string_view Key);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_CONFIGURATION_H
