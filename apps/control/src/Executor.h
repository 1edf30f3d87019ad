/// \file
/// Carries out orders to targets: looks at the target's state, then sends the
/// order, waits for it, or has it superseded. Runs on the leader only.

#ifndef WASABIVALE_CONTROL_EXECUTOR_H
#define WASABIVALE_CONTROL_EXECUTOR_H

#include "fleet/fleet.h"
#include "metrics/metrics.h"
#include "targets/targets.h"

#include <functional>
#include <map>
#include <memory>

namespace wasabivale::control {

/// Longest time that an order can be under way to a target: deadline of the
/// call that carries it.
inline constexpr std::chrono::milliseconds OrderTransit{2000};

/// What the executor asks of the leader.
struct Authority {
  /// Whether this process may send an order at this moment: it leads, and its
  /// lease lasts beyond the margin.
  std::function<bool()> m_MaySend;
  /// When this process began to lead.
  std::function<TimePoint()> m_LeaderSince;
  /// Proposes progress of an order; \p Key keeps it from being proposed twice.
  std::function<void(const std::string &Key, wire::Command)> m_Propose;
};

class Executor {
public:
  Executor(event_base *Loop, metrics::Registry &Registry, Authority Over);
  ~Executor();
  Executor(const Executor &) = delete;
  Executor &operator=(const Executor &) = delete;

  /// Takes the next step of an order that is under way. Does nothing while a
  /// call of it is.
  void carryOut(const fleet::Order &Which, const fleet::Target &To,
                TimePoint Now);
  /// Stops every call: this process leads no longer.
  void stop();

private:
  struct Attempt {
    bool m_Calling = false;
    TimePoint m_NotBefore;
    std::shared_ptr<http::ClientCall> m_Call;
  };

  void decide(const fleet::Order &Which, const fleet::Target &To,
              const targets::TargetState &Seen);
  void send(const fleet::Order &Which, const fleet::Target &To);
  void waitFor(const fleet::OrderId &Name, Duration Span);
  void report(const fleet::Order &Which, const std::string &State,
              const std::string &Message, const targets::TargetState *Seen);

  event_base *m_Loop;
  metrics::Registry &m_Registry;
  Authority m_Authority;
  std::map<fleet::OrderId, Attempt> m_Attempts;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_EXECUTOR_H
