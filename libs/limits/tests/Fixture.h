// Test data shared by the tests of this library.

#ifndef WASABIVALE_LIMITS_TESTS_FIXTURE_H
#define WASABIVALE_LIMITS_TESTS_FIXTURE_H

#include "limits/limits.h"

#include <string>

namespace wasabivale::limits::test {

using namespace std::chrono_literals;

inline const ModelId TestModel{"gourd-8b"};

inline TimePoint at(Duration Offset) { return TimePoint(1000s) + Offset; }

inline CallerId caller(int Number) {
  return {"caller-" + std::to_string(Number)};
}

/// An entry that knows callers 0 to \p Count - 1, each with \p Share.
inline State entryOf(int Count, const Limits &Share = {}) {
  State Entry;
  for (int I = 0; I < Count; ++I)
    setShare(Entry, caller(I), 1, Share, TimePoint::max(), at(0s));
  return Entry;
}

inline AdmissionRequest arrival(int Caller, Capacity Available,
                                unsigned Priority = 5) {
  AdmissionRequest Request;
  Request.m_Caller = caller(Caller);
  Request.m_Model = TestModel;
  Request.m_Priority = Priority;
  Request.m_PromptTokens = 100;
  Request.m_OutputTokens = 50;
  Request.m_Deadline = at(1h);
  Request.m_ServiceTime = 1s;
  Request.m_Capacity = Available;
  return Request;
}

inline constexpr Capacity NoFreeSlots{0, 8};
inline constexpr Capacity AllSlotsFree{8, 8};

inline CapacityView constantCapacity(Capacity Available) {
  return [Available](const ModelId &) { return Available; };
}

inline std::optional<Refusal> refusalOf(const Decision &Result) {
  const auto *Found = std::get_if<Refused>(&Result.m_Verdict);
  return Found == nullptr ? std::nullopt : std::optional(Found->m_Reason);
}

/// Ticket of a request that was admitted or queued.
inline Ticket ticketOf(const Decision &Result) {
  if (const auto *Started = std::get_if<Admitted>(&Result.m_Verdict))
    return Started->m_Ticket;
  return std::get<Queued>(Result.m_Verdict).m_Ticket;
}

} // namespace wasabivale::limits::test

#endif // WASABIVALE_LIMITS_TESTS_FIXTURE_H
