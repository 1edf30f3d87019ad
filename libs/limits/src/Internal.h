// Declarations shared by the sources of this library.

#ifndef WASABIVALE_LIMITS_INTERNAL_H
#define WASABIVALE_LIMITS_INTERNAL_H

#include "limits/limits.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::limits {

/// Lower bound on the weight of a caller.
inline constexpr double MinWeight = 1e-3;

inline double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}
/// Clamped to one day, so that no estimate overflows a time point.
inline Duration fromSeconds(double Value) {
  constexpr double Day = 86400;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(Value, -Day, Day)));
}

/// Seconds from start to end by which a request is held to its deadline.
inline double decidingSeconds(const AdmissionRequest &Request, double Bias) {
  return Request.m_MinServiceTime ? seconds(*Request.m_MinServiceTime)
                                  : seconds(Request.m_ServiceTime) * Bias;
}

// Shares.cpp
/// Concurrent requests that the caller's share allows at this entry.
std::uint32_t concurrencyShare(const CallerState &Caller);
/// Whether the caller's lease and its concurrency limit allow a start now.
bool mayStart(const CallerState &Caller, TimePoint Now);
void refill(const Settings &Options, CallerState &Caller, TimePoint Now);
/// Returns a refusal for the first rate limit that the request exceeds, with
/// the time until that limit allows it.
std::optional<Refused> checkRates(const Settings &Options,
                                  const CallerState &Caller,
                                  const AdmissionRequest &Request);
void charge(CallerState &Caller, double Requests, double PromptTokens,
            double OutputTokens);
Usage &usageOf(State &Entry, CallerIndex Index);
void recordPeak(State &Entry, CallerIndex Index);
void releaseIfUnused(State &Entry, CallerIndex Index);

// Queue.cpp
/// Sets the number of queued requests of a caller and updates its position in
/// `State::m_ByBacklog`.
void setBacklog(State &Entry, CallerIndex Index, std::uint32_t Queued);
void enqueue(State &Entry, Ticket Id, TimePoint Now);
/// Removes a waiting request from its queue.
void dequeue(State &Entry, Ticket Id, TimePoint Now);
/// Schedules the flows of a caller if it may start, or unschedules them.
void reschedule(State &Entry, CallerIndex Index, TimePoint Now);
/// Marks a request as running and charges it to the fair queue; \p FromQueue
/// tells whether it was waiting there.
void start(State &Entry, Ticket Id, bool FromQueue, TimePoint Now);
/// Expected wait in seconds of a request that would join the queue now.
double expectedWait(const State &Entry, const ModelQueue &Queue,
                    CallerIndex Index, const AdmissionRequest &Request,
                    TimePoint Now);

// Demand.cpp
/// Adds a caller to those with recent demand for a model.
void recordDemand(State &Entry, ModelQueue &Queue, CallerIndex Index,
                  TimePoint Now);
/// Removes a caller's flow from those with recent demand.
void removeDemand(const State &Entry, ModelQueue &Queue, CallerIndex Index,
                  CallerFlow &Flow);
/// Whether one request more than \p ActiveCount would exceed the caller's fair
/// share: the running requests, divided by weight among the callers with recent
/// demand.
bool isOverFairShare(const State &Entry, const ModelQueue &Queue,
                     CallerIndex Index, double ActiveCount);
/// Whether a slot is free for a request of a caller now. A caller over its fair
/// share must leave the reserved slots free.
bool hasFreeSlotFor(const State &Entry, const ModelQueue &Queue,
                    CallerIndex Index, const Capacity &Available);

} // namespace wasabivale::limits

#endif // WASABIVALE_LIMITS_INTERNAL_H
