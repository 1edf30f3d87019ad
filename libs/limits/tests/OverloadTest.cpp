#include "Fixture.h"

#include <catch2/catch.hpp>
#include <queue>
#include <random>

using namespace wasabivale;
using namespace wasabivale::limits;
using namespace wasabivale::limits::test;

namespace {

constexpr std::uint32_t Slots = 16;
constexpr Duration MeanService = 500ms;
constexpr Duration TimeToDeadline = 3s;
constexpr Duration TestDuration = 120s;

struct Counts {
  int m_InTime = 0;
  int m_Late = 0;
  int m_Refused = 0;
};

using Completion = std::pair<TimePoint, Ticket>;

/// Simulates one entry with \p Slots slots and an offered load of \p Load times
/// their capacity. Estimated service times are off by up to a half.
Counts overload(double Load, std::uint64_t Seed) {
  Random Rng(Seed);
  State Entry = entryOf(8);
  std::exponential_distribution<double> Service(1);
  std::uniform_real_distribution<double> Error(0.5, 1.5);
  std::exponential_distribution<double> Gap(Load * Slots);
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      Completions;
  std::map<Ticket, std::pair<TimePoint, Duration>> Requests;
  Counts Total;
  const auto Available = [&] {
    return Capacity{Slots - static_cast<std::uint32_t>(Completions.size()),
                    Slots};
  };
  const auto Start = [&](Ticket Id, TimePoint Now) {
    Completions.emplace(Now + Requests.at(Id).second, Id);
  };
  TimePoint Now = at(0s);
  while (Now < at(TestDuration)) {
    Now += std::chrono::duration_cast<Duration>(MeanService * Gap(Rng));
    while (!Completions.empty() && Completions.top().first <= Now) {
      const auto [EndTime, Id] = Completions.top();
      Completions.pop();
      ++(EndTime <= Requests.at(Id).first ? Total.m_InTime : Total.m_Late);
      finish(Entry, Id, {100, 50, true}, EndTime);
      Total.m_Refused += static_cast<int>(expire(Entry, EndTime).size());
      while (auto Next = nextToStart(
                 Entry, EndTime, [&](const ModelId &) { return Available(); }))
        Start(*Next, EndTime);
    }
    const Duration ServiceTime =
        std::chrono::duration_cast<Duration>(MeanService * Service(Rng));
    AdmissionRequest Request =
        arrival(static_cast<int>(Rng() % 8), Available());
    Request.m_Deadline = Now + TimeToDeadline;
    Request.m_ServiceTime =
        std::chrono::duration_cast<Duration>(ServiceTime * Error(Rng));
    const Decision Result = admit(Entry, Request, Now);
    Total.m_Refused += static_cast<int>(Result.m_Evicted.size());
    if (refusalOf(Result)) {
      ++Total.m_Refused;
      continue;
    }
    Requests[ticketOf(Result)] = {Request.m_Deadline, ServiceTime};
    if (std::holds_alternative<Admitted>(Result.m_Verdict))
      Start(ticketOf(Result), Now);
  }
  return Total;
}

} // namespace

SCENARIO("goodput stays level under overload") {
  for (std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U}) {
    const Counts Base = overload(1, Seed);
    const Counts Double = overload(2, Seed);
    const Counts Triple = overload(3, Seed);
    CAPTURE(Seed, Base.m_InTime, Base.m_Late, Base.m_Refused);
    CAPTURE(Double.m_InTime, Double.m_Late, Double.m_Refused);
    CAPTURE(Triple.m_InTime, Triple.m_Late, Triple.m_Refused);
    CHECK(Double.m_InTime >= 0.9 * Base.m_InTime);
    CHECK(Triple.m_InTime >= 0.9 * Base.m_InTime);
  }
}
