/// \file
/// Draws the requests of a load run: when, from whom, how large, and with what
/// text. The same seed draws the same requests.

#ifndef WASABIVALE_LOAD_ARRIVALS_H
#define WASABIVALE_LOAD_ARRIVALS_H

#include "Plan.h"

#include <optional>

namespace wasabivale::load {

/// One request as it is to be sent.
struct Call {
  std::uint64_t m_Number = 0;       ///< Counts from 1.
  std::chrono::nanoseconds m_At{0}; ///< Since the start of the run.
  std::size_t m_Stream = 0;
  std::string m_Prompt; ///< Of a service: the body.
  std::uint32_t m_MaxTokens = 0;
  std::string m_IdempotencyKey; ///< Empty: repeatable.
  bool m_Resends = false;       ///< Sent once more to another entry.
};

/// Where the drawing stands.
struct Source {
  const Plan &m_Plan;
  Random m_Random;
  std::string m_RunName; ///< Part of each idempotency key.
  std::chrono::nanoseconds m_Now{0};
  std::uint64_t m_Count = 0;
  std::size_t m_NextRecorded = 0;
};

Source makeSource(const Plan &Of, std::string RunName);
/// The next request in order of time; none after the end of the run.
std::optional<Call> nextCall(Source &From);

} // namespace wasabivale::load

#endif // WASABIVALE_LOAD_ARRIVALS_H
