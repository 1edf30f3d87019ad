/// \file
/// One try of a request: a run on an engine, with a prefill elsewhere before it
/// when it was split, or a call of a service.

#ifndef WASABIVALE_ENTRY_TRY_H
#define WASABIVALE_ENTRY_TRY_H

#include "Arrival.h"
#include "EntryMetrics.h"
#include "TargetReach.h"
#include "retries/retries.h"
#include "routing/routing.h"
#include "targets/targets.h"

#include <functional>
#include <memory>
#include <optional>

namespace wasabivale::entry {

struct TryEnding {
  bool m_Whole = false;
  bool m_Streamed = false;    ///< Whole, and passed on piece by piece.
  retries::Failure m_Failure; ///< Unless whole.
  /// The connection broke while the target had the request.
  bool m_MayBeCrash = false;
  bool m_InPrefill = false;   ///< The prompt was being prefilled elsewhere.
  std::uint64_t m_Events = 0; ///< Of the answer, that arrived in this try.
  targets::StreamEnd m_End;   ///< Of a whole run.
  targets::ServiceAnswer m_Answer; ///< Of a whole call.
  /// The target ran a plain request and answered with this failure.
  std::optional<targets::ServiceAnswer> m_Failing;
  Error m_Error; ///< Unless whole.
};

/// Where a try goes and with which part of the stream.
struct TryPlan {
  routing::Choice m_Choice;
  http::Address m_Run;
  std::optional<http::Address> m_Prefill;
  /// An engine that keeps the shared part of the prompt.
  std::optional<http::Address> m_FetchFrom;
  std::string m_StreamId;
  std::uint32_t m_Urgency = 0; ///< Of a plain request; zero goes first.
  std::uint64_t m_Offset = 0;
  /// Whether the caller has part of the stream.
  bool m_HasBegun = false;
  /// Whether another try of the same request came before.
  bool m_IsRetry = false;
};

/// What all tries of an entry use; outlives them.
struct TryTools {
  event_base *m_Loop;
  http::Pool &m_Connections;
  const relay::Dialect *m_Dialect;
  routing::State &m_Routing;
  EntryMetrics &m_Metrics;
  TargetReach &m_Reach;
};

struct TryHandlers {
  /// The head of a plain request's stream.
  std::function<void(int Status, const http::Fields &)> m_OnHead;
  std::function<void(const targets::StreamPiece &)> m_OnPiece;
  /// Whether the second leg of a split request may still start.
  std::function<bool()> m_MayRun;
  /// Whether another try takes over from this one, whose target has been silent
  /// since \p SilentSince, once it ends with \p Why. It goes on otherwise: the
  /// silence of a target is no reason to end an answer.
  std::function<bool(const retries::Failure &Why, TimePoint SilentSince)>
      m_MayReplace;
  /// A target's answer names a request limit, or none.
  std::function<void(const http::Address &Target,
                     std::optional<double> RequestsPerSecond)>
      m_OnRateLimit;
  /// Called once, last, and not at all after `cancel`.
  std::function<void(TryEnding)> m_OnEnd;
};

/// Reserved work is released exactly once, by the end or by `cancel`.
class Try : public std::enable_shared_from_this<Try> {
public:
  /// Longest silence of a target before a try counts as stalled.
  struct Patience {
    std::chrono::milliseconds m_Token{5'000};
    std::chrono::milliseconds m_Call{10'000};
  };

  /// Sends the request. \p For outlives the try.
  static std::shared_ptr<Try> start(TryTools With, const Arrival &For,
                                    TryPlan Plan, const Patience &Limits,
                                    TryHandlers Handlers, TimePoint Now);
  ~Try();
  Try(const Try &) = delete;
  Try &operator=(const Try &) = delete;

  /// Gives the try up and tells the engine.
  void cancel(routing::TryOutcome Evidence, TimePoint Now);
  /// Ends the try when its target has been silent for too long and another try
  /// takes over.
  void check(TimePoint Now);
  void pause();
  void resume(TimePoint Now);
  [[nodiscard]] bool isPaused() const { return m_Paused; }
  /// Whether the target may have a part of the request.
  [[nodiscard]] bool hasSent() const {
    return m_Sent || (m_Call != nullptr && m_Call->hasSent());
  }
  [[nodiscard]] const TargetId &target() const {
    return m_Plan.m_Choice.m_Run.m_Target;
  }
  [[nodiscard]] const std::string &incarnation() const {
    return m_Plan.m_Choice.m_Run.m_Incarnation;
  }
  /// Where the request is now: the prefill leg's address, or the run's.
  [[nodiscard]] const http::Address &address() const;
  [[nodiscard]] const routing::Leg &leg() const;

private:
  Try(TryTools With, const Arrival &For, TryPlan Plan, const Patience &Limits,
      TryHandlers Handlers, TimePoint Now);
  void startPrefill(TimePoint Now);
  void startRun(std::string KvTicket);
  void startCall();
  /// Sends a plain request; \p KvSource may be empty.
  void sendPassed(std::string KvSource, bool PrefillOnly);
  void takeResponse(const relay::ResponseInfo &Info);
  void takeLoad(const relay::ResponseInfo::Load &Told);
  void takePassedPrefill(const relay::TryResult &Ending);
  void takePassed(const relay::TryResult &Ending);
  void freeKv();
  void takePrefilled(const targets::RunEnding &Ending);
  void takePiece(const targets::StreamPiece &Piece);
  /// Holds the estimate of the first token against its outcome.
  void recordEstimateError(TimePoint Now);
  void takeRun(const targets::RunEnding &Ending);
  void takeAnswer(const targets::CallEnding &Ending);
  [[nodiscard]] targets::RunRequest runRequest() const;
  void fail(retries::Failure Why, routing::TryOutcome Evidence, Error What,
            bool MayBeCrash);
  void release(routing::TryOutcome Evidence, TimePoint Now);
  void tellEngineToCancel();
  /// Whether nothing has come for longer than expected.
  [[nodiscard]] bool isStalled(TimePoint Now) const;
  /// Counts the silence of a try that goes on, once.
  void noteStalled(routing::TryOutcome Evidence, TimePoint Now);

  TryTools m_Tools;
  const Arrival &m_For;
  TryPlan m_Plan;
  Patience m_Patience;
  TryHandlers m_Handlers;
  /// KV memory that an engine keeps for the run and that was not fetched yet.
  std::string m_KvHandle;
  std::optional<targets::ServiceAnswer> m_Failing;
  RequestId m_Id; ///< Of this try.
  std::shared_ptr<http::ClientCall> m_Call;
  TimePoint m_SilentSince;
  TimePoint m_StartedAt;
  TimePoint m_FirstTokenBy;
  TimePoint m_NextReplacement;   ///< When a replacement may be asked for again.
  bool m_IsStallNoted = false;   ///< As a sign that targets are not reached.
  bool m_IsStallCounted = false; ///< Against the target.
  std::uint64_t m_Tokens = 0;    ///< Of this try.
  std::uint64_t m_Events = 0;    ///< Of this try.
  bool m_InPrefill = false;
  bool m_Streaming = false; ///< The head of a plain request's stream has come.
  bool m_Sent = false;      ///< A leg before this one has reached its engine.
  bool m_Paused = false;
  bool m_Released = false;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_TRY_H
