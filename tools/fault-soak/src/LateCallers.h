/// \file
/// Callers that stay with one entry through its stops: they press it late in a
/// stop, and its next process from its start on.

#ifndef WASABIVALE_FAULTSOAK_LATECALLERS_H
#define WASABIVALE_FAULTSOAK_LATECALLERS_H

#include "Judge.h"
#include "http/http.h"

#include <optional>

namespace wasabivale::soak {

/// When a late caller sends, drawn from a random number generator only.
class LatePace {
public:
  explicit LatePace(std::uint64_t Seed) : m_Random(Seed) {}

  /// The entry was asked to stop.
  void stopAsked(TimePoint Now);
  /// \returns when the next call is sent. \p HasConnection: one is still open.
  TimePoint next(TimePoint Now, bool HasConnection);
  std::uint64_t pick(std::uint64_t Least, std::uint64_t Most);

private:
  std::mt19937_64 m_Random;
  std::optional<TimePoint> m_PressAt;
  TimePoint m_CalmAt;
};

/// One caller with one connection at a time, and short calls.
class LateCaller {
public:
  LateCaller(event_base *Loop, Judge &Observer, http::Address Front,
             unsigned Entry, unsigned Number, std::uint64_t Seed);

  /// Sends the next call when it is time to.
  void turn(TimePoint Now);
  void stopAsked(TimePoint Now);
  [[nodiscard]] bool isWaiting() const { return m_Open.has_value(); }

private:
  struct Open {
    Sent m_Sent;
    Ending m_Got;
  };
  void send(TimePoint Now);
  void finish(const Result<http::Response> &Got);

  Judge &m_Judge;
  http::Address m_Front;
  http::Pool m_Pool;
  LatePace m_Pace;
  unsigned m_Entry;
  bool m_IsHolder; ///< Has a stream open all the time.
  std::optional<Open> m_Open;
  TimePoint m_SendAt;
};

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_LATECALLERS_H
