/// \file
/// Executes orders to targets: reads the target's state, then sends the order,
/// waits for it, or marks it superseded. Runs on the leader only.

#ifndef WASABIVALE_CONTROL_EXECUTOR_H
#define WASABIVALE_CONTROL_EXECUTOR_H

#include "fleet/fleet.h"
#include "metrics/metrics.h"
#include "targets/targets.h"

#include <functional>
#include <map>
#include <memory>

namespace wasabivale::control {

/// Longest time that an order can be in transit to a target: the deadline of
/// its call.
inline constexpr std::chrono::milliseconds OrderTransit{2000};

/// Functions of the leader that the executor calls.
struct ExecutorCallbacks {
  /// Whether this process may send an order now: it is the leader, and its
  /// remaining lease exceeds the margin.
  std::function<bool()> m_MaySend;
  /// When this process became leader.
  std::function<TimePoint()> m_LeaderSince;
  /// Proposes progress of an order unless a proposal with \p Key is pending.
  std::function<void(const std::string &Key, wire::Command)> m_Propose;
};

class Executor {
public:
  Executor(event_base *Loop, metrics::Registry &Registry,
           ExecutorCallbacks Callbacks);
  ~Executor();
  Executor(const Executor &) = delete;
  Executor &operator=(const Executor &) = delete;

  /// Takes the next step of an order. Does nothing while a call for it is in
  /// progress.
  void execute(const fleet::Order &Order, const fleet::Target &Target,
               TimePoint Now);
  /// Cancels every call, because this process is no longer the leader.
  void stop();

private:
  struct Attempt {
    bool m_Calling = false;
    TimePoint m_NotBefore;
    std::shared_ptr<http::ClientCall> m_Call;
  };

  void decide(const fleet::Order &Order, const fleet::Target &Target,
              const targets::TargetState &Observed);
  void send(const fleet::Order &Order, const fleet::Target &Target);
  void waitFor(const fleet::OrderId &Name, Duration Delay);
  void report(const fleet::Order &Order, const std::string &State,
              const std::string &Message, const targets::TargetState *Observed);

  event_base *m_Loop;
  metrics::Registry &m_Registry;
  ExecutorCallbacks m_Callbacks;
  std::map<fleet::OrderId, Attempt> m_Attempts;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_EXECUTOR_H
