/// \file
/// Callers that stay with one entry while all entries are stopped in waves.
/// Their connections are idle when the entry is asked to stop, and each is used
/// for one call late in the stop.

#ifndef WASABIVALE_FAULTSOAK_WAVECALLERS_H
#define WASABIVALE_FAULTSOAK_WAVECALLERS_H

#include "Judge.h"
#include "http/http.h"

#include <optional>

namespace wasabivale::soak {

/// When a wave caller sends, drawn from a random number generator only.
class WavePace {
public:
  explicit WavePace(std::uint64_t Seed) : m_Random(Seed) {}

  /// The entry was asked to stop. \p IsIdle: the caller has a connection, and
  /// no call under way.
  void stopAsked(TimePoint Now, bool IsIdle);
  /// The next process of the entry was started.
  void started(TimePoint Now);
  [[nodiscard]] bool isDue(TimePoint Now) const;
  /// The call that was due was sent, or could not be.
  void used();
  /// A call has ended.
  void ended(TimePoint Now);
  std::uint64_t pick(std::uint64_t Least, std::uint64_t Most);
  [[nodiscard]] bool isStopping() const { return m_IsStopping; }

private:
  std::mt19937_64 m_Random;
  bool m_IsStopping = false;
  TimePoint m_RefreshAt;             ///< Of the next call without a stop.
  std::optional<TimePoint> m_CallAt; ///< Of the only call in a stop.
};

/// One caller with one connection. Some are holders: they have a stream open
/// most of the time, which keeps a stopping entry at work.
class WaveCaller {
public:
  WaveCaller(event_base *Loop, Judge &Observer, http::Address Front,
             unsigned Entry, unsigned Number, std::uint64_t Seed);

  /// Sends the next call when it is time to.
  void turn(TimePoint Now);
  void stopAsked(TimePoint Now);
  void started(TimePoint Now) { m_Pace.started(Now); }
  [[nodiscard]] bool isWaiting() const { return m_Open.has_value(); }

private:
  struct Open {
    Sent m_Sent;
    Ending m_Got;
    std::uint64_t m_Opened = 0; ///< Connections that were made before the call.
    bool m_IsInStop = false;
  };
  void send(TimePoint Now);
  void finish(const Result<http::Response> &Got);

  Judge &m_Judge;
  http::Address m_Front;
  http::Pool m_Pool;
  WavePace m_Pace;
  unsigned m_Entry;
  bool m_IsHolder;
  std::optional<Open> m_Open;
};

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_WAVECALLERS_H
