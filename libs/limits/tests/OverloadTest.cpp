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
constexpr Duration Patience = 3s;
constexpr Duration Length = 120s;

struct Tally {
  int m_InTime = 0;
  int m_Late = 0;
  int m_Refused = 0;
};

using End = std::pair<TimePoint, Ticket>;

/// One entry before \p Slots slots, offered \p Load times what they can do.
/// The service times that it is told are wrong by up to a half.
Tally overload(double Load, std::uint64_t Seed) {
  Random Rng(Seed);
  State Entry = entryOf(8);
  std::exponential_distribution<double> Service(1);
  std::uniform_real_distribution<double> Error(0.5, 1.5);
  std::exponential_distribution<double> Gap(Load * Slots);
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
  std::map<Ticket, std::pair<TimePoint, Duration>> Requests;
  Tally Total;
  const auto Room = [&] {
    return Capacity{Slots - static_cast<std::uint32_t>(Ends.size()), Slots};
  };
  const auto Start = [&](Ticket Id, TimePoint Now) {
    Ends.emplace(Now + Requests.at(Id).second, Id);
  };
  TimePoint Now = at(0s);
  while (Now < at(Length)) {
    Now += std::chrono::duration_cast<Duration>(MeanService * Gap(Rng));
    while (!Ends.empty() && Ends.top().first <= Now) {
      const auto [Ended, Id] = Ends.top();
      Ends.pop();
      ++(Ended <= Requests.at(Id).first ? Total.m_InTime : Total.m_Late);
      finish(Entry, Id, {100, 50, true}, Ended);
      Total.m_Refused += static_cast<int>(expire(Entry, Ended).size());
      while (auto Next = nextToStart(Entry, Ended,
                                     [&](const ModelId &) { return Room(); }))
        Start(*Next, Ended);
    }
    const Duration Needs =
        std::chrono::duration_cast<Duration>(MeanService * Service(Rng));
    AdmissionRequest Wanted = arrival(static_cast<int>(Rng() % 8), Room());
    Wanted.m_Deadline = Now + Patience;
    Wanted.m_ServiceTime =
        std::chrono::duration_cast<Duration>(Needs * Error(Rng));
    const Decision Made = admit(Entry, Wanted, Now);
    Total.m_Refused += static_cast<int>(Made.m_Evicted.size());
    if (refusalOf(Made)) {
      ++Total.m_Refused;
      continue;
    }
    Requests[ticketOf(Made)] = {Wanted.m_Deadline, Needs};
    if (std::holds_alternative<Admitted>(Made.m_Verdict))
      Start(ticketOf(Made), Now);
  }
  return Total;
}

} // namespace

SCENARIO("overload keeps goodput level") {
  for (std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U}) {
    const Tally Base = overload(1, Seed);
    const Tally Double = overload(2, Seed);
    const Tally Triple = overload(3, Seed);
    CAPTURE(Seed, Base.m_InTime, Base.m_Late, Base.m_Refused);
    CAPTURE(Double.m_InTime, Double.m_Late, Double.m_Refused);
    CAPTURE(Triple.m_InTime, Triple.m_Late, Triple.m_Refused);
    CHECK(Double.m_InTime >= 0.9 * Base.m_InTime);
    CHECK(Triple.m_InTime >= 0.9 * Base.m_InTime);
  }
}
