/// \file
/// Sends the requests of a plan at their times, whatever the answers do (open
/// loop), and judges what comes back.

#ifndef WASABIVALE_LOAD_RUNNER_H
#define WASABIVALE_LOAD_RUNNER_H

#include "Arrivals.h"
#include "Tally.h"
#include "daemon/daemon.h"

#include <functional>
#include <map>
#include <memory>

namespace wasabivale::load {

/// One run. Must outlive its calls: keep it until the loop has ended.
class Runner {
public:
  Runner(daemon::EventLoop &Loop, const Plan &Of, std::string RunName);

  /// Sends the first request; ends the loop when the run is over.
  void start();
  /// Sends no more, and ends the loop.
  void stop();
  [[nodiscard]] const Tally &tally() const { return m_Tally; }

private:
  struct Open;

  void sendDue();
  void send(const Call &What, bool IsResend);
  void scheduleResend(const Call &What);
  void finish(const std::shared_ptr<Open> &Of, Result<http::Response> How);
  void compareResend(const Open &Of);
  void reportProgress();
  [[nodiscard]] std::chrono::nanoseconds elapsed() const;

  daemon::EventLoop &m_Loop;
  const Plan &m_Plan;
  Source m_Source;
  Tally m_Tally;
  TimePoint m_Start;
  std::optional<Call> m_Next;
  std::multimap<std::chrono::nanoseconds, Call> m_Resends; ///< By time.
  /// First answer of each keyed request that is sent again.
  std::map<std::string, std::string> m_KeptAnswers;
  std::size_t m_NextEntry = 0;
  std::unique_ptr<http::Timer> m_Tick;
  std::unique_ptr<http::Timer> m_Progress;
};

} // namespace wasabivale::load

#endif // WASABIVALE_LOAD_RUNNER_H
