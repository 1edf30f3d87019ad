/// \file
/// Graceful shutdown of a process that answers requests: which requests it may
/// still start once it was asked to stop, and what it does when. Decides only;
/// reads no clock and does no I/O.

#ifndef WASABIVALE_SHUTDOWN_SHUTDOWN_H
#define WASABIVALE_SHUTDOWN_SHUTDOWN_H

#include "base/base.h"

#include <cstddef>
#include <string_view>

namespace wasabivale::shutdown {

/// Deadlines of a process that was asked to stop, in their order.
struct Schedule {
  /// Until then the balancer may still send new connections here.
  TimePoint m_BalancedUntil;
  /// Every answer is to be complete by then.
  TimePoint m_AnswerBy;
  /// What is still open is ended then.
  TimePoint m_CutAt;
  /// The process exits then, whatever has not been written yet.
  TimePoint m_ExitBy;
};

/// \param BalancerLag longest time until the balancer sends no new connections.
/// \param Patience time for answers after that.
Schedule makeSchedule(TimePoint StopAt, Duration BalancerLag,
                      Duration Patience);

/// When a request ends, as far as is known.
struct Work {
  /// Of its caller or its route: it is answered by then, also with an error.
  TimePoint m_Deadline;
  TimePoint m_FirstByteAt; ///< Expected.
  TimePoint m_FinishAt;    ///< Expected.
  /// Taken before and may run again: another try of it, or the end of its wait.
  bool m_IsTaken = false;
};

/// Whether a request may start: its answer is complete before the process
/// exits. Only its deadline is certain. An estimate with a margin will do for
/// one that was taken before; the callers of others go elsewhere sooner if they
/// are refused at once.
bool mayStart(const Schedule &Deadlines, const Work &Request, TimePoint Now);

enum class Stage : std::uint8_t {
  Answering, ///< Takes new connections, and requests that `mayStart`.
  Refusing,  ///< Refuses new requests on the connections that are open.
  Closing,   ///< Closes connections on which nothing is under way.
  Exiting,   ///< The process ends.
};

/// Name of a stage in log lines, in lower case.
std::string_view stageName(Stage Value);

/// What is under way, each number counted where it arises: a request that one
/// count has lost is in another.
struct Progress {
  std::size_t m_OpenRequests = 0; ///< Taken, not answered yet.
  std::size_t m_Connections = 0;  ///< Of callers, open.
  std::size_t m_ControlCalls = 0; ///< Sent to control, not answered yet.
  std::size_t m_Exchanges = 0;    ///< Received whole, not answered yet.
  std::size_t m_PassedOn = 0;     ///< Calls to targets and other entries.
};

/// Whether no request waits for its answer by any of the counts.
bool isAllAnswered(const Progress &Open);

/// A process that was asked to stop.
struct State {
  Schedule m_Deadlines;
  Stage m_Stage = Stage::Answering;
  TimePoint m_RefusingSince;
};

/// Moves on by at most one stage. Call it once a turn of the loop, so that what
/// a stage has answered is written. \returns whether the stage has changed.
bool advance(State &Process, const Progress &Open, TimePoint Now);

/// The last look of a process in `Stage::Exiting`, just before it ends.
/// \returns whether it may end; otherwise it is back in `Stage::Closing`.
bool mayEnd(State &Process, const Progress &Open, TimePoint Now);

/// Whether what is still open must be ended now.
bool mustCut(const State &Process, TimePoint Now);

} // namespace wasabivale::shutdown

#endif // WASABIVALE_SHUTDOWN_SHUTDOWN_H
