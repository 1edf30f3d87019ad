// Builders shared by the tests of this library.

#ifndef WASABIVALE_LIMITS_TESTS_FIXTURE_H
#define WASABIVALE_LIMITS_TESTS_FIXTURE_H

#include "limits/limits.h"

#include <string>

namespace wasabivale::limits::test {

using namespace std::chrono_literals;

inline const ModelId Gourd{"gourd-8b"};

inline TimePoint at(Duration Since) { return TimePoint(1000s) + Since; }

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

inline AdmissionRequest arrival(int Caller, Capacity Room,
                                unsigned Priority = 5) {
  AdmissionRequest Wanted;
  Wanted.m_Caller = caller(Caller);
  Wanted.m_Model = Gourd;
  Wanted.m_Priority = Priority;
  Wanted.m_PromptTokens = 100;
  Wanted.m_OutputTokens = 50;
  Wanted.m_Deadline = at(1h);
  Wanted.m_ServiceTime = 1s;
  Wanted.m_Capacity = Room;
  return Wanted;
}

inline constexpr Capacity FullHouse{0, 8};
inline constexpr Capacity Roomy{8, 8};

inline CapacityView always(Capacity Room) {
  return [Room](const ModelId &) { return Room; };
}

inline std::optional<Refusal> refusalOf(const Decision &Made) {
  const auto *Found = std::get_if<Refused>(&Made.m_Verdict);
  return Found == nullptr ? std::nullopt : std::optional(Found->m_Reason);
}

/// Ticket of a request that was admitted or queued.
inline Ticket ticketOf(const Decision &Made) {
  if (const auto *Started = std::get_if<Admitted>(&Made.m_Verdict))
    return Started->m_Ticket;
  return std::get<Queued>(Made.m_Verdict).m_Ticket;
}

} // namespace wasabivale::limits::test

#endif // WASABIVALE_LIMITS_TESTS_FIXTURE_H
