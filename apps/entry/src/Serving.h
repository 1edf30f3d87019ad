/// \file
/// The life of one request, from its admission to the end of its answer.

#ifndef WASABIVALE_ENTRY_SERVING_H
#define WASABIVALE_ENTRY_SERVING_H

#include "AnswerWriter.h"
#include "Arrival.h"
#include "Context.h"
#include "Forward.h"
#include "Try.h"

#include <functional>
#include <memory>
#include <optional>

namespace wasabivale::entry {

/// Wait for the turn of a suspect before another look.
inline constexpr std::chrono::milliseconds SuspectLook{100};

/// States of a request. Legal changes are those of the table in Serving.cpp;
/// any other breaks an invariant.
enum class Phase : std::uint8_t {
  Arrived,    ///< Admitted, or about to wait.
  Queued,     ///< Waits for its start.
  Reserving,  ///< Started; waits for the ledger to grant its key.
  Placing,    ///< Looks for a target, or waits until it may.
  Running,    ///< A target has it.
  Probing,    ///< Its connection broke; the target is looked at.
  Forwarding, ///< Another entry has it.
  Ended,      ///< Answered, or nobody waits for the answer.
};

class Serving : public std::enable_shared_from_this<Serving> {
public:
  using OnEnded = std::function<void(Serving &)>;

  /// \param Done called once, from the turn in which the request ended.
  Serving(Context &Shared, std::shared_ptr<http::Exchange> Caller,
          Arrival Asked, OnEnded Done);
  /// Watches for the caller's going away. Call right after the making.
  void watchCaller();

  /// Waits for its start under \p Id.
  void enqueue(limits::Ticket Id, const limits::Capacity &Room,
               TimePoint ExpectedStart);
  /// Starts; \p Id is counted as running in the limits.
  void begin(limits::Ticket Id);
  /// Refuses a request that waits, or has just arrived.
  void refuseUnstarted(const limits::Refused &Why);
  /// Whether this entry is taken to be cut from the targets.
  [[nodiscard]] bool reachesNoTarget() const;
  /// Whether the caller resumes a stream whose version is still to be found.
  [[nodiscard]] bool needsVersion() const;
  /// Finds the version of a stream that its caller resumes; the stream is
  /// refused if it isn't known.
  /// \param Then called once it is known, if the request still waits for it.
  void findVersion(std::function<void(Serving &)> Then);
  /// Version of the targets that the request must run at, if any.
  [[nodiscard]] std::optional<std::string> requiredVersion() const;
  /// Starts a request that has just arrived at another entry, if this one
  /// reaches no target for it. \param NoTarget routing has found none.
  /// \returns whether it did.
  bool forwardUnstarted(bool NoTarget);
  /// Looks at a slow reader, a silent target and the deadline.
  void check(TimePoint Now);
  /// The process ends now: ends the request, whatever it is doing.
  void endForStop();

  [[nodiscard]] Phase phase() const { return m_Phase; }
  [[nodiscard]] bool isPaused() const {
    return (m_Try != nullptr && m_Try->isPaused()) ||
           (m_Forward != nullptr && m_Forward->isPaused());
  }
  [[nodiscard]] const Arrival &arrival() const { return m_Asked; }
  [[nodiscard]] limits::Ticket ticket() const { return m_Ticket; }
  [[nodiscard]] const RequestId &id() const { return m_Asked.m_Id; }

  /// When the quarantine of a plain request ends, or nothing if it may run.
  [[nodiscard]] std::optional<TimePoint> quarantinedUntil(TimePoint Now) const;

private:
  void enter(Phase Next);
  void takeGone();
  /// Whether an answer may still reach a caller that seems to have left, and
  /// its target may be at work on it already.
  [[nodiscard]] bool mayStillBeRead() const;
  /// Ends the request of a caller that has left; one that still reads is told.
  void leave();
  void reserve();
  void takeKey(const KeyAnswer &Answer);
  void place();
  /// Lowers the priority of a stream that is expected to miss its objective.
  void yieldIfLate(routing::Request &Wanted, TimePoint Now);
  void placeAt(routing::Request Wanted, TimePoint Now);
  /// Whether the answer is a stream that its caller may resume elsewhere.
  [[nodiscard]] bool isRecorded() const;
  /// \returns whether the version is known.
  bool takeVersion(const StreamVersions::Finding &Found);
  /// Places a stream without events at any version, once control has forgotten
  /// the one that it was told.
  void releaseVersion(TimePoint Now);
  /// Whether a try that starts now ends before the process exits.
  [[nodiscard]] bool mayStartBeforeStop(const routing::Estimate &Expected,
                                        TimePoint Now) const;
  /// Applies the pause and the trial of a route whose requests crash targets.
  /// \returns whether to go on.
  bool passRouteGate(TimePoint Now);
  /// Places a request of a route whose requests crash targets at the one target
  /// that runs them, so that the others are kept for the rest. \returns false
  /// if it was refused.
  bool isolate(routing::Request &Wanted);
  /// Time until some target admits a request; zero if one does now, or none
  /// ever will.
  [[nodiscard]] Duration untilAdmitted(TimePoint Now) const;
  void send(routing::Choice Where, TimePoint Now);
  [[nodiscard]] bool mayForward(TimePoint Now) const;
  [[nodiscard]] bool mustForward(TimePoint Now) const;
  void forward(TimePoint Now);
  void takeForwardEnding(const ForwardEnding &Ending);
  void takeForwarded(const ForwardEnding::Whole &Whole);
  void takeForwardRejection(const Rejection &Why);
  void takeBrokenForward(const ForwardEnding::Broken &Broken);
  void waitUntil(TimePoint When);
  [[nodiscard]] routing::Request routingRequest() const;
  /// Applies the gate for suspects. \returns whether to go on.
  bool passGate(routing::Request &Wanted, TimePoint Now);
  void takePiece(const targets::StreamPiece &Piece);
  void takeEnding(const TryEnding &Ending);
  void takeFailure(const TryEnding &Ending);
  /// Asks whether the target's process ended under the request.
  void probeTarget(const Try &Over, const TryEnding &Ending);
  /// Counts an event of the present try and reports once it has got past the
  /// place of former crashes.
  void notePassing();
  /// Reports the run, which had begun, if the target's process has ended.
  void reportBegun(const Try &Over, const TryEnding &Ending);
  void decideNext(const TryEnding &Ending, TimePoint Now);
  /// The request and its tries so far, the open one included.
  [[nodiscard]] retries::Attempt attemptSoFar() const;
  /// What a failure means for this request.
  [[nodiscard]] retries::Failure describeFailure(retries::Failure Facts) const;
  /// Whether another try takes over from one whose target has been silent since
  /// \p SilentSince; a successor is reserved then.
  bool mayReplaceTry(const retries::Failure &Why, TimePoint SilentSince);
  bool mayReplaceForward(const retries::Failure &Why, TimePoint SilentSince);
  void logKeptTry(std::string_view Reason, TimePoint SilentSince,
                  TimePoint Now);
  /// Sends the successor that was reserved, if there is one.
  bool sendSuccessor(TimePoint Now);
  void complete(const TryEnding &Ending);
  void giveUp(Refusal Reason, Outcome Told, const Error &Last,
              Duration RetryAfter = {});
  void refuse(const Rejection &Why);
  void logCutStream(const Rejection &Why) const;
  void passFailing();
  void endTry(routing::TryOutcome Evidence, TimePoint Now);
  void noteTryOver(bool Completed);
  /// Counts the request as one of its customer, once.
  void countUsage(TimePoint BeganAt);
  void end();
  void pauseIfSlow(TimePoint Now);
  void checkReader(TimePoint Now);
  void resumeReading(TimePoint Now);
  [[nodiscard]] ModelUse *modelUse();
  [[nodiscard]] Outcome outcomeSoFar() const;

  Context &m_Shared;
  Arrival m_Asked;
  std::shared_ptr<http::Exchange> m_Caller;
  std::unique_ptr<Answer> m_Writer;
  OnEnded m_Done;
  Phase m_Phase = Phase::Arrived;
  limits::Ticket m_Ticket = 0;
  bool m_Started = false; ///< Counted as running in the limits.
  bool m_CallerGone = false;
  bool m_KeyGranted = false;
  bool m_MayHaveRun = false;
  bool m_Unplaced = false;
  retries::Fingerprint m_Print = 0;
  retries::RequestTraits m_Traits;
  /// Events of the present try, and those that show that it does not crash its
  /// target at the place where former runs of its content ended in crashes.
  std::uint64_t m_TryEvents = 0;
  std::optional<std::uint64_t> m_EventsToPass;
  /// The request waited at a target that crashed, and may be the cause.
  bool m_MayCrashTargets = false;
  bool m_InTrial = false; ///< Of a route whose requests crash targets.
  std::vector<std::uint64_t> m_Blocks;
  std::vector<TargetId> m_Avoid;
  std::shared_ptr<Try> m_Try;
  std::shared_ptr<Forward> m_Forward;
  /// Entries that have had the request since the last event of its answer.
  std::vector<NodeId> m_UsedPeers;
  /// Targets in turn that could not be connected to, since one was.
  std::vector<TargetId> m_Unreached;
  bool m_IsUsageCounted = false;
  bool m_RunNoted = false; ///< A run is registered with the suspects.
  TargetId m_LastTarget;
  std::string m_StreamId;
  std::uint64_t m_Offset = 0;  ///< Tokens, or events, taken in order.
  std::string m_TargetVersion; ///< Software version at the last try.
  /// Software version that generated the events of this answer so far.
  std::optional<std::string> m_StreamVersion;
  /// Version that generated what the caller had at the start.
  std::optional<std::string> m_ResumedVersion;
  StreamVersions::StreamKey m_Stream = 0;
  std::uint64_t m_FirstOffset = 0; ///< What the caller had at the start.
  std::uint32_t m_Runs = 0;        ///< Tries that may have run.
  /// A target's own failure, passed on if no other try does better.
  std::optional<targets::ServiceAnswer> m_Failing;
  std::uint32_t m_Tries = 0;
  /// Reserved to take over from a silent try.
  std::optional<routing::Choice> m_Successor;
  /// Try whose replacement was refused and logged.
  std::uint32_t m_KeptTry = 0;
  Duration m_ServiceTime{0};
  std::uint32_t m_Urgency = 0; ///< At the target, of the current try.
  TimePoint m_SentAt;          ///< Of the last try.
  std::unique_ptr<http::Timer> m_Wake;
  std::unique_ptr<http::Timer> m_Leave; ///< Set once the caller has left.
  TimePoint m_LastPieceAt;
  TimePoint m_FirstPieceAt; ///< The epoch: none yet.
  TimePoint m_PausedSince;
};

/// Where routing looks for a request's targets.
routing::Request describeForRouting(const Arrival &Asked,
                                    const std::vector<std::uint64_t> &Blocks,
                                    double OutputShare);

/// Priority of an urgency in routing's terms, where the highest goes first.
unsigned routingPriority(std::uint32_t Urgency);

/// Whether a stream is expected to miss the objective of its route. It then
/// goes behind those that can still meet theirs: in a burst an engine that
/// takes prompts in order of arrival meets the objective of none.
bool isExpectedLate(const Arrival &Request, const routing::Estimate &Expected);

/// Time until rate limits admit a request that no target may get now.
Duration untilRateAdmits(const Context &Shared, const routing::Request &Wanted,
                         TimePoint Now);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_SERVING_H
