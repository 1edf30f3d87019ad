// Shared by the modules of this library; not for its users.

#ifndef WASABIVALE_LIMITS_INTERNAL_H
#define WASABIVALE_LIMITS_INTERNAL_H

#include "limits/limits.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::limits {

/// Least weight of a caller.
inline constexpr double LeastWeight = 1e-3;

inline double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}
/// Bounded, so that no estimate overflows a time point.
inline Duration fromSeconds(double Value) {
  constexpr double Day = 86400;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(Value, -Day, Day)));
}

// Shares.cpp
/// The caller's concurrent requests at this entry, as a whole number.
std::uint32_t runningShare(const Caller &Who);
/// Whether the caller's lease and concurrency allow a start now.
bool mayStart(const Caller &Who, TimePoint Now);
void refill(const Settings &Options, Caller &Who, TimePoint Now);
/// The first rate that does not cover the request, and when it will.
std::optional<Refused> overRate(const Settings &Options, const Caller &Who,
                                const AdmissionRequest &Wanted);
void charge(Caller &Who, double Requests, double PromptTokens,
            double OutputTokens);
Usage &useOf(State &Entry, CallerIndex Index);
void notePeak(State &Entry, CallerIndex Index);
void freeIfUnused(State &Entry, CallerIndex Index);

// Queue.cpp
/// Weight and size of the backlog changed: files the caller anew.
void fileBacklog(State &Entry, CallerIndex Index, std::uint32_t Queued);
void enqueue(State &Entry, Ticket Id, TimePoint Now);
/// Takes a waiting request out of its queue.
void dequeue(State &Entry, Ticket Id, TimePoint Now);
/// Lists the flows of a caller that may start, and unlists all others.
void relist(State &Entry, CallerIndex Index, TimePoint Now);
/// Marks a request as running and charges it to the fair queue; \p Waited
/// tells whether it comes from there.
void start(State &Entry, Ticket Id, bool Waited, TimePoint Now);
/// Expected wait of a request that would join the queue now.
double expectedWait(const State &Entry, const ModelQueue &Queue,
                    CallerIndex Index, const AdmissionRequest &Wanted,
                    TimePoint Now);

// Demand.cpp
/// Counts a caller among those that want their part of a model.
void noteDemand(State &Entry, ModelQueue &Queue, CallerIndex Index,
                TimePoint Now);
/// Counts a caller's flow no more among those that want their part.
void dropDemand(const State &Entry, ModelQueue &Queue, CallerIndex Index,
                Flow &Line);
/// Whether one more request in place would give a caller more than its part of
/// what runs, divided by weight among those that want their part.
bool isOverPart(const State &Entry, const ModelQueue &Queue, CallerIndex Index,
                double InPlace);
/// Whether there is room to start a request of a caller now. One that is over
/// its part must leave the reserve free.
bool hasRoomFor(const State &Entry, const ModelQueue &Queue, CallerIndex Index,
                const Capacity &Room);

} // namespace wasabivale::limits

#endif // WASABIVALE_LIMITS_INTERNAL_H
