/// \file
/// Faults that are switched on at a target through the admin port.

#ifndef WASABIVALE_FAKETARGETS_FAULTS_H
#define WASABIVALE_FAKETARGETS_FAULTS_H

#include "base/base.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace wasabivale::faketargets {

/// Faults that wait for their occasion. Counts fall with each use.
struct Faults {
  std::uint64_t m_Refuse = 0; ///< Requests to refuse as not run.
  std::uint64_t m_Stall = 0;  ///< Requests to take and never answer.
  std::uint64_t m_Late = 0;   ///< Requests to answer late.
  std::chrono::milliseconds m_LateBy{0};
  std::uint64_t m_Cut = 0;      ///< Streams to break.
  std::uint64_t m_CutAfter = 1; ///< Tokens of a try after which it is broken.
  std::string m_CrashOn;        ///< Prompts and bodies with this text crash it.
  bool m_CrashInOrder = false;
  std::chrono::milliseconds m_Restart{1000};
  TimePoint m_FrozenUntil; ///< Load reports don't change until then.
};

enum class FaultKind : std::uint8_t { Armed, CrashNow, Slow };

/// A fault of a request, once it is known which.
struct FaultOrder {
  FaultKind m_Kind = FaultKind::Armed;
  double m_Speed = 1;
};

/// Reads the body of `POST /fake/v1/fault` into \p Into. \returns what must be
/// done at once.
Result<FaultOrder> armFault(Faults &Into, const nlohmann::json &Body,
                            TimePoint Now);

/// Counts one use of a fault. \returns whether it was on.
bool useFault(std::uint64_t &Count);

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_FAULTS_H
