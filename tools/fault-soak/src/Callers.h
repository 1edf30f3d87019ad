/// \file
/// Callers with open connections that they go on using until the process is
/// gone, and the balancer that sends new connections to entries that are ready.

#ifndef WASABIVALE_FAULTSOAK_CALLERS_H
#define WASABIVALE_FAULTSOAK_CALLERS_H

#include "Judge.h"
#include "Operator.h"

#include <optional>

namespace wasabivale::soak {

/// Asks each entry once a second whether it is ready; two misses take it out.
class Balancer {
public:
  Balancer(event_base *Loop, std::vector<http::Address> Readiness);

  void turn(TimePoint Now);
  /// An entry for a new connection.
  [[nodiscard]] unsigned choose(std::mt19937_64 &Random) const;
  [[nodiscard]] bool areAllReady() const;

private:
  struct Entry {
    http::Address m_Readiness;
    TimePoint m_CheckAt;
    unsigned m_Misses = 2;
    bool m_IsChecking = false;
  };
  event_base *m_Loop;
  std::vector<Entry> m_Entries;
};

/// One caller with one connection at a time.
class Caller {
public:
  Caller(event_base *Loop, Judge &Observer, const Balancer &Rotation,
         const std::vector<http::Address> &Entries, unsigned Number,
         std::uint64_t Seed);

  /// Sends the next request when it is time to.
  void turn(TimePoint Now);
  [[nodiscard]] bool isWaiting() const { return m_Open.has_value(); }

private:
  struct Open {
    Sent m_Sent;
    Ending m_Got;
    std::uint64_t m_Events = 0;
    std::uint64_t m_WorkMs = 0;
    std::string m_FirstId; ///< Of the stream's first attempt.
  };
  void send(TimePoint Now);
  void finish(const Result<http::Response> &Got);
  [[nodiscard]] std::uint64_t pick(std::uint64_t Least, std::uint64_t Most);

  Judge &m_Judge;
  const Balancer &m_Balancer;
  const std::vector<http::Address> &m_Entries;
  http::Pool m_Pool;
  std::mt19937_64 m_Random;
  unsigned m_Number;
  unsigned m_Entry = 0;
  std::optional<Open> m_Open;
  std::optional<Open> m_Resumed; ///< A broken stream that is to go on.
  TimePoint m_SendAt;
};

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_CALLERS_H
