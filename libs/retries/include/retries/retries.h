/// \file
/// Retries, and quarantine of requests that crash targets.
///
/// Pure decision logic over plain structs, without I/O, clock or threads:
/// `decide` after a failed try (entry); `SuspectTracker`, an entry's view of
/// suspect fingerprints; `SuspectTable`, the fleet-wide decision on crashes,
/// deterministic and driven by log time (control); `TraitTable` and
/// `TraitTracker`, the same for what several requests share, such as a part of
/// their prompts.

#ifndef WASABIVALE_RETRIES_RETRIES_H
#define WASABIVALE_RETRIES_RETRIES_H

#include "base/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wasabivale::retries {

// --- Retry decisions (entry) ------------------------------------------------

struct Settings {
  double m_CallerShare = 0.2; ///< Retries earned by each success of a caller.
  double m_TargetShare = 0.2; ///< Retries earned by each success of a target.
  double m_MaxTokens = 10;    ///< Capacity and start value of a budget.
  Duration m_BackoffBase = std::chrono::milliseconds(50);
  Duration m_BackoffCap = std::chrono::seconds(2);
  std::uint32_t m_MaxTries = 4;
};

/// Why a try failed.
enum class FailureKind : std::uint8_t {
  ConnectFailed, ///< No connection was made; nothing was sent.
  TargetFull,    ///< The target reports that it did not run the request.
  TargetError,   ///< The target answered with an error.
  Broken,        ///< The connection broke.
  Stalled,       ///< No progress within the allowed time.
  Malformed,     ///< The answer is invalid or incomplete.
  CannotResume,  ///< The target cannot continue this stream.
  Refused,       ///< The target rejected the request as invalid.
};
/// Metric label of a retry, such as `connect_failed`.
std::string_view failureKindName(FailureKind Value);
inline constexpr std::size_t FailureKindCount = 8;

/// A request and its tries so far.
struct Attempt {
  CallerId m_Caller;
  TargetId m_Target;         ///< Target of the failed try.
  std::uint32_t m_Tries = 1; ///< Tries so far, including the failed one.
  TimePoint m_Deadline;
  Duration m_ServiceTime{}; ///< Expected duration of another try.
  bool m_NotRepeatable = false;
  /// Whether a try before the failed one may have run.
  bool m_MayHaveRun = false;
  std::vector<TargetId> m_Avoid; ///< Targets that failed this request.
  /// Number of tries that may have run, including the failed one, and its limit
  /// (zero for no limit). A rejected try has not run.
  std::uint32_t m_Runs = 0;
  std::uint32_t m_MaxRuns = 0;
  /// The request may have crashed the target, and an earlier one as well.
  bool m_MayCrashTargets = false;
};

/// Facts about the failure.
struct Failure {
  FailureKind m_Kind = FailureKind::Broken;
  bool m_NotRunProven = false; ///< Reported by the target, or nothing was sent.
  bool m_BytesSent = false;    ///< Some byte may have been sent.
  bool m_FirstBytePassed = false; ///< The caller received part of the answer.
  bool m_Resumable = false;       ///< A target can continue from an offset.
  std::uint64_t m_Offset = 0;     ///< Tokens forwarded to the caller.
  /// This entry reaches no target. A try that has sent nothing adds no load
  /// then, and its retry is not charged.
  bool m_NoTargetReached = false;
};

/// Repeat the request from the start.
struct RetryAt {
  TimePoint m_StartTime;
  std::vector<TargetId> m_Avoid;
};
/// Continue the stream from an offset.
struct ResumeAt {
  TimePoint m_StartTime;
  std::uint64_t m_Offset = 0;
  std::vector<TargetId> m_Avoid; ///< If empty, the same target may continue.
};
/// Report the failure to the caller.
struct GiveUp {
  Refusal m_Reason = Refusal::TargetFailed;
  Outcome m_Outcome = Outcome::Unknown;
};
using RetryDecision = std::variant<RetryAt, ResumeAt, GiveUp>;

/// Retry budget, refilled by successes.
struct Budget {
  double m_Tokens = 0;
};

struct State {
  Settings m_Settings;
  std::unordered_map<CallerId, Budget> m_Callers;
  std::unordered_map<TargetId, Budget> m_Targets;
};

/// Records that \p Target completed a request of \p Caller.
void recordSuccess(State &Entry, const CallerId &Caller,
                   const TargetId &Target);

/// Remove the budget of a caller or target that no longer exists.
void forgetCaller(State &Entry, const CallerId &Caller);
void forgetTarget(State &Entry, const TargetId &Target);

/// Whether the failed try may have run.
bool tryMayHaveRun(const Failure &Facts);

/// Whether any try of the request may have run, including the failed one.
bool mayHaveRun(const Attempt &Request, const Failure &Facts);

/// Whether `decide` would let the request be tried again if it failed like this
/// now, however long it draws the backoff. Charges nothing, so that a try which
/// is only silent can be ended after its successor is certain.
bool mayTryAgain(const State &Entry, const Attempt &Request,
                 const Failure &Facts, TimePoint Now);

/// Decides what follows a failed try. A non-repeatable request that may have
/// run is never tried again, and `not_run` is returned only if no try may have
/// run. A retry is charged to the budgets of the caller and of the failed
/// target.
RetryDecision decide(State &Entry, const Attempt &Request, const Failure &Facts,
                     TimePoint Now, Random &Rng);

// --- Fingerprints -----------------------------------------------------------

/// Hash of the content of a request, independent of its caller.
using Fingerprint = std::uint64_t;

/// Fingerprint of a model and a prompt, or of a service and the body of a call.
Fingerprint fingerprintOf(const ModelId &Model, std::string_view Prompt);

/// Maximum number of targets that one fingerprint can crash when its caller
/// resends it after each failure. See
/// docs/design/0007-retries-and-quarantine.md for copies that already run
/// elsewhere when the first target crashes.
inline constexpr std::uint32_t MaxTargetsLost = 2;

// --- Fleet-wide suspects (control) ------------------------------------------

struct SuspicionSettings {
  /// Duration of a first quarantine; it doubles with each further one of the
  /// same fingerprint.
  Duration m_QuarantineDuration = std::chrono::minutes(10);
  Duration m_MaxQuarantine = std::chrono::hours(6);
  Duration m_SuspectDuration = std::chrono::minutes(2);
  /// How long a fingerprint stays a suspect after its quarantine.
  Duration m_ProbationDuration = std::chrono::hours(1);
  /// Time limit of an isolated rerun. The entry cancels the run by then, so
  /// that another rerun of the fingerprint or at the target can be permitted.
  Duration m_RerunTimeLimit = std::chrono::seconds(60);
  /// This many targets that crash within the window have a common cause, such
  /// as a rack, switch or zone. Such crashes do not lead to a quarantine.
  std::size_t m_MassCrashCount = 4;
  Duration m_MassCrashWindow = std::chrono::seconds(10);
  std::size_t m_MaxSuspects = 4096; ///< The least suspect are evicted first.
};

/// A crash of a target's process as observed by one entry, with the
/// fingerprints that were running there.
struct Crash {
  TargetId m_Target;
  std::string m_Incarnation;
  std::vector<Fingerprint> m_Running;
};

/// Identifies a crashed incarnation of a target.
using CrashKey = std::pair<TargetId, std::string>;

/// The merged reports of all entries on one crash.
struct CrashRecord {
  TimePoint m_ReportedAt; ///< Log time of the first report.
  std::set<Fingerprint> m_Running;
  /// The suspect that was permitted to run there and so caused the crash.
  std::optional<Fingerprint> m_Culprit;
};

enum class Verdict : std::uint8_t {
  Suspect,     ///< May run only in isolation, with permission, at one target.
  Quarantined, ///< Must not run.
};

struct Suspect {
  Verdict m_Verdict = Verdict::Suspect;
  TimePoint m_ExpiresAt;        ///< Log time at which the verdict expires.
  std::set<CrashKey> m_Crashes; ///< Crashes during which it was running.
  std::uint32_t m_QuarantineCount = 0;
  std::optional<NodeId> m_RerunEntry; ///< Entry with the permission.
  TargetId m_RerunTarget;
  TimePoint m_RerunDeadline;
};

/// Suspects of the whole fleet. Deterministic: the same events with the same
/// log times give the same state on every member.
struct SuspectTable {
  SuspicionSettings m_Settings;
  std::uint64_t m_Revision = 0; ///< Incremented by each change.
  std::map<Fingerprint, Suspect> m_Suspects;
  /// Crashes within the last `m_QuarantineDuration`.
  std::map<CrashKey, CrashRecord> m_Crashes;
};

/// Suspicion weight of a fingerprint: the sum over its crashes of one divided
/// by the number of fingerprints that were running there.
double weightOf(const SuspectTable &Table, const Suspect &Info);

/// Applies a crash report of an entry. Reports on the same incarnation are
/// merged into one crash; a repeated report has no effect. \returns the
/// revision whose notices include the crash.
std::uint64_t applyCrash(SuspectTable &Table, const Crash &Report,
                         TimePoint LogNow);

/// Permits an entry to rerun a suspect in isolation at a target, unless it is
/// quarantined or the fingerprint or the target has another permission.
/// \returns whether the rerun is permitted.
bool permitRerun(SuspectTable &Table, Fingerprint Hash, const NodeId &Entry,
                 const TargetId &Target, TimePoint LogNow);

/// Ends an isolated rerun. If it was \p Completed, the suspect is cleared as a
/// bystander.
void endRerun(SuspectTable &Table, Fingerprint Hash, const NodeId &Entry,
              bool Completed, TimePoint LogNow);

/// Removes expired suspects, quarantines, permissions and crash records. Called
/// with the log time of every applied command.
void expireSuspects(SuspectTable &Table, TimePoint LogNow);

/// Lifts a quarantine on behalf of an operator.
bool liftQuarantine(SuspectTable &Table, Fingerprint Hash);

/// A suspect as reported to an entry.
struct SuspectNotice {
  Fingerprint m_Fingerprint = 0;
  Verdict m_Verdict = Verdict::Suspect;
  Duration m_Remaining{};
  bool m_RerunPermitted = false; ///< To the entry that receives the notice.
  TargetId m_RerunTarget;
  Duration m_RerunRemaining{}; ///< Time until the rerun must have ended.
};

/// All current notices for \p Entry: quarantined fingerprints first, then by
/// descending weight. The whole list is sent whenever the entry's revision is
/// not the newest.
std::vector<SuspectNotice> suspectNotices(const SuspectTable &Table,
                                          const NodeId &Entry,
                                          TimePoint LogNow);

// --- Propagation of notices (leader of control, not replicated) -------------

/// Progress of each entry in applying notices, as known to the leader. A crash
/// is settled once no entry can act on older notices: each entry has applied
/// its revision or has lost its lease.
struct NoticePropagation {
  struct Entry {
    std::uint64_t m_AppliedRevision = 0;  ///< Of the applied notices.
    std::uint64_t m_RequiredRevision = 0; ///< Of its newest crash report.
    TimePoint m_LeaseEnd;
  };
  std::map<NodeId, Entry> m_Entries;
  /// Time by which all leases that an earlier leader may have granted have
  /// ended.
  TimePoint m_EarlierLeasesEnd;
};

/// Records a report of an entry, whose lease is renewed until \p LeaseEnd.
void recordEntryReport(NoticePropagation &Progress, const NodeId &Id,
                       std::uint64_t AppliedRevision, TimePoint LeaseEnd);
/// Records that a crash report of the entry was applied at \p Revision.
void recordCrashApplied(NoticePropagation &Progress, const NodeId &Id,
                        std::uint64_t Revision);
/// Whether every entry knows all crashes that this entry has reported.
bool crashesSettled(const NoticePropagation &Progress, const NodeId &Id,
                    TimePoint Now);

// --- Suspects at an entry ---------------------------------------------------

/// What an entry may do with a fingerprint now.
enum class Gate : std::uint8_t {
  Open,        ///< May run at any target.
  SameTarget,  ///< A copy is in flight; may run only at its target.
  Hold,        ///< Suspect; wait for permission from control.
  Isolated,    ///< Permitted to run in isolation at the given target.
  Quarantined, ///< Refuse with `Refusal::Quarantined`, `not_run`.
};

struct GateDecision {
  Gate m_Gate = Gate::Open;
  TargetId m_Target;                       ///< For SameTarget and Isolated.
  TimePoint m_RunUntil = TimePoint::max(); ///< For Isolated: cancel time.
};

/// Suspects known to one entry, and its runs in flight.
struct SuspectTracker {
  /// Copies of one fingerprint in flight at one incarnation of a target.
  struct Run {
    TargetId m_Target;
    std::string m_Incarnation;
    std::uint32_t m_Count = 0;
  };
  struct SuspectInfo {
    Verdict m_Verdict = Verdict::Suspect;
    TimePoint m_ExpiresAt;
    bool m_RerunPermitted = false;
    TargetId m_RerunTarget;
    TimePoint m_RerunDeadline;
    /// Crash observed by this entry; held until control has settled the report.
    bool m_Local = false;
  };
  std::uint64_t m_Revision = 0; ///< Revision of the notices last applied.
  /// Runs by fingerprint, in the order in which their first copies started.
  std::unordered_map<Fingerprint, std::vector<Run>> m_Running;
  std::unordered_map<Fingerprint, SuspectInfo> m_Suspects;
  std::vector<Crash> m_Unreported; ///< Crashes to be reported to control.
  Duration m_LocalHoldDuration = std::chrono::minutes(2);
};

/// Decides whether a request may run now. A quarantine or hold applies to every
/// caller.
GateDecision evaluateGate(const SuspectTracker &Tracker, Fingerprint Hash,
                          TimePoint Now);

void recordRunStart(SuspectTracker &Tracker, Fingerprint Hash,
                    const TargetId &Target, std::string_view Incarnation);
/// \pre `recordRunStart` was called with the same arguments.
void recordRunEnd(SuspectTracker &Tracker, Fingerprint Hash,
                  const TargetId &Target, std::string_view Incarnation);
/// Same, at the target that took the first of the copies in flight.
void recordRunEnd(SuspectTracker &Tracker, Fingerprint Hash);

/// Records that this entry observed the crash of a target's process. Every
/// fingerprint in flight there becomes suspect at once. \returns the crash,
/// which is also queued in `m_Unreported`.
Crash recordCrash(SuspectTracker &Tracker, const TargetId &Target,
                  std::string_view Incarnation, TimePoint Now);

/// Replaces the known suspects by the notices of control, except for local
/// suspects that control has not settled yet. \p CrashesSettled tells that all
/// entries know every crash reported by this entry so far.
void applyNotices(SuspectTracker &Tracker,
                  const std::vector<SuspectNotice> &Notices,
                  std::uint64_t Revision, bool CrashesSettled, TimePoint Now);

// --- Traits that crash targets ----------------------------------------------

/// Hash of something that several requests may have in common: a part of their
/// prompts, or the whole content of a request that is sent again.
using Trait = std::uint64_t;
/// Sorted, without duplicates.
using TraitSet = std::vector<Trait>;

struct RequestTraits {
  Trait m_Content = 0; ///< Equal for equal requests only.
  TraitSet m_Parts;    ///< Shared parts of the prompt.
  /// Another target had crashed under the same request before it was sent.
  bool m_SentAgain = false;
  /// What requests are routed by; requests of one route have it in common.
  Trait m_Route = 0;
  /// Time from sending the request to the end of its connection. Unset if not
  /// known.
  std::optional<Duration> m_Waited = std::nullopt;
};

struct TraitSettings {
  /// Crashes without a completed run in between that lead to a quarantine.
  std::uint32_t m_CrashesToQuarantine = 3;
  /// Different requests among them before a part is quarantined rather than
  /// one request.
  std::size_t m_RequestsToQuarantine = 2;
  /// Crashes this close together count once, unless a request was sent again in
  /// between: a rack or zone that fails takes many targets at the same moment.
  Duration m_CommonCauseWindow = std::chrono::milliseconds(500);
  Duration m_EvidenceDuration = std::chrono::minutes(2);
  /// How long a trait of a completed run is not blamed again: popular parts
  /// wait at most targets that crash.
  Duration m_AcquittalDuration = std::chrono::seconds(15);
  /// Duration of a first quarantine; it doubles with each further one.
  Duration m_QuarantineDuration = std::chrono::minutes(10);
  Duration m_MaxQuarantine = std::chrono::hours(6);
  /// How long a route stays suspect after one of its requests has crashed two
  /// targets.
  Duration m_RouteSuspicion = std::chrono::minutes(1);
  /// Quarantine of a request of a suspect route after its first crash. Short,
  /// since requests that waited beside the guilty one get it as well.
  Duration m_FirstCrashQuarantine = std::chrono::seconds(30);
  /// How long after a quarantine a single crash renews it.
  Duration m_ProbationDuration = std::chrono::hours(1);
  /// Crashes under requests of a route within the window that pause it as it
  /// becomes suspect.
  std::ptrdiff_t m_CrashesToPause = 3;
  Duration m_RouteCrashWindow = std::chrono::seconds(10);
  /// How long requests of a suspect route are refused after another of them has
  /// crashed a target; grows by the factor with each further crash.
  Duration m_RoutePause = std::chrono::seconds(5);
  std::uint32_t m_RoutePauseFactor = 3;
  std::uint32_t m_TrialRunsPerPause = 8; ///< For each pause so far.
  Duration m_MaxRoutePause = std::chrono::minutes(10);
  /// Crashes beyond those of an alternative explanation, once that has more
  /// than one.
  std::uint32_t m_CrashesAhead = 3;
  std::size_t m_MaxAlternatives = 16;
  std::size_t m_MaxTraits = 4096;     ///< The least suspect are evicted first.
  std::size_t m_MaxCrashes = 1024;    ///< The oldest are evicted first.
  std::size_t m_MaxQuarantines = 256; ///< The first to end is evicted first.
  /// Crashes that quarantine a content whose answer had begun. One more than
  /// above, as a resumed bystander can meet several of them.
  std::size_t m_BegunCrashesToQuarantine = 4;
  /// The same where targets also crashed without it, as a rack that fails may
  /// explain all of them.
  std::size_t m_MixedCrashesToQuarantine = 6;
  /// Time before the first crash of a content in which others count as that.
  Duration m_MixedCrashWindow = std::chrono::seconds(10);
  /// Time after the first report of a crash in which the other entries report
  /// what they ran there.
  Duration m_ReportTime = std::chrono::milliseconds(500);
  /// Runs that end this many events from each other ended at the same place:
  /// the last events may be lost in a crash.
  std::uint64_t m_PlaceTolerance = 2;
  /// After a crash, a resumed bystander has this many times the time of its
  /// last run to get past the place, up to the limit, before control decides on
  /// it.
  int m_PassingFactor = 2;
  Duration m_MaxPassingTime = std::chrono::seconds(5);
  std::size_t m_MaxBegunCrashes = 64; ///< The oldest are evicted first.
  std::size_t m_MaxBegunRuns = 512;   ///< Of one crash; the first ones.
};

/// A run of a stream that had begun when its target crashed.
struct BegunRun {
  Trait m_Content = 0;
  Trait m_Route = 0;
  std::uint64_t m_Events = 0; ///< Received in this try.
  std::uint64_t m_Offset = 0; ///< Events of the whole answer.
  Duration m_Ran{};           ///< From sending it to the crash.
  bool m_IsDecided = false;   ///< By control, for this crash.
};

/// A crash of a target's process as observed by one entry.
struct TraitCrash {
  TargetId m_Target;
  std::string m_Incarnation;
  /// Requests that had received no part of their answer.
  std::vector<RequestTraits> m_Waiting;
  std::vector<BegunRun> m_Begun = {};
};

struct TraitEvidence {
  std::uint32_t m_Crashes = 0;
  TimePoint m_LastCrash; ///< Time of the last crash that was counted.
  TimePoint m_ExpiresAt;
  /// Parts that every blamed request with this one had as well.
  TraitSet m_Companions;
  /// Parts that only some of them had: other explanations of these crashes. The
  /// first `m_MaxAlternatives`.
  TraitSet m_Alternatives;
  /// Contents of blamed requests, at most `m_RequestsToQuarantine`. Empty for a
  /// route.
  std::set<Trait> m_Contents;
  /// Of a route: all its requests are refused until then.
  TimePoint m_PausedUntil;
  std::uint32_t m_Pauses = 0; ///< Of a route, so far.
  /// Of a route after a pause: its requests run one at a time, at few entries,
  /// until this many more have completed. Zero: not on trial.
  std::uint32_t m_TrialRuns = 0;
};

/// What an entry may do with a request of a suspect route.
enum class RouteGate : std::uint8_t {
  Open,   ///< May run, at the target that is kept for suspect routes.
  Trial,  ///< May run while no other request of the route does.
  Closed, ///< Refuse with `not_run`.
};

/// Whether the evidence is against a route rather than against what requests
/// contain.
inline bool isRoute(const TraitEvidence &Evidence) {
  return Evidence.m_Contents.empty();
}

/// Requests that have all of these traits are refused.
struct TraitQuarantine {
  TraitSet m_Traits;
  TimePoint m_EndsAt;
  TimePoint m_ForgottenAt; ///< End of the probation that follows.
  std::uint32_t m_Count = 0;
};

/// The merged reports on runs that had begun at one crash.
struct BegunCrash {
  TimePoint m_ReportedAt;
  std::vector<BegunRun> m_Runs;
  /// Of all runs, also of those that were acquitted since.
  std::set<Trait> m_Routes;
};

/// Evidence of the whole fleet against traits. Deterministic, like
/// `SuspectTable`.
struct TraitTable {
  struct CrashRecord {
    TimePoint m_ReportedAt;
    std::set<Trait> m_Contents; ///< Of the requests reported with it.
    std::set<Trait> m_Routes;   ///< Of the same.
  };
  TraitSettings m_Settings;
  std::uint64_t m_Revision = 0; ///< Incremented by each change.
  /// Evidence against a route counts its requests that crashed two targets. It
  /// pauses the route but never quarantines it.
  std::map<Trait, TraitEvidence> m_Evidence;
  std::map<CrashKey, CrashRecord> m_Crashes;
  std::vector<TraitQuarantine> m_Quarantines;
  std::map<Trait, TimePoint> m_AcquittedUntil;
  /// Runs that had begun at crashes of the last `m_EvidenceDuration`.
  std::map<CrashKey, BegunCrash> m_BegunCrashes;
  /// When `decideBegunRuns` has something to decide. Follows from the crashes.
  TimePoint m_BegunDecisionAt = TimePoint::max();
};

// Requests that crash targets after their answer has begun. Most runs that end
// in such a crash are bystanders. A content is quarantined by itself once it
// ran at four crashes, each time sent after the one before and ended at the
// same place, unless another content explains the same crashes. Where targets
// crashed without it as well, six are needed, and more than the others. Control
// decides when all entries have had time to report.

/// Records the begun runs of a crash.
void recordBegunRuns(TraitTable &Table, const TraitCrash &Report,
                     TimePoint Now);
/// Whether the table holds all begun runs of the report.
/// Reports that come after `m_ReportTime` are not recorded, and count as known.
bool areKnownBegunRuns(const TraitTable &Table, const TraitCrash &Report,
                       TimePoint Now);
/// Derives `m_BegunDecisionAt`, after the crashes were read from a snapshot.
void scheduleBegunDecision(TraitTable &Table);
/// \returns the contents to be quarantined. Their crashes are removed.
std::vector<Trait> decideBegunRuns(TraitTable &Table, TimePoint Now);
/// Removes the runs of a content that has completed, or has got past the place.
void acquitBegunRuns(TraitTable &Table, Trait Content);
bool hasBegunRuns(const TraitTable &Table, Trait Content);

/// Whether the table holds the crash with all of its requests.
bool isKnownCrash(const TraitTable &Table, const TraitCrash &Report,
                  TimePoint Now);

/// Applies a crash report of an entry. Reports of several entries on one
/// incarnation are merged into one crash.
void applyTraitCrash(TraitTable &Table, const TraitCrash &Report,
                     TimePoint Now);

/// Whether a completed run of a request with this trait would change anything.
bool isSuspectTrait(const TraitTable &Table, Trait Value);

/// Records that a request with this trait ran to its end: the trait alone does
/// not crash targets.
void applySoundTrait(TraitTable &Table, Trait Value, TimePoint Now);

/// Removes expired evidence, crashes and quarantines.
void expireTraits(TraitTable &Table, TimePoint Now);

/// When the quarantine of a request ends, or nothing if it may run.
std::optional<TimePoint>
quarantinedUntil(const std::vector<TraitQuarantine> &Quarantines,
                 const RequestTraits &Request, TimePoint Now);

/// Highest number of crashes counted against a trait of the request, together
/// with the parts that came with it each time.
std::uint32_t crashesOf(const std::map<Trait, TraitEvidence> &Evidence,
                        const RequestTraits &Request);

/// Whether the request has no shared parts and other requests of its route have
/// crashed two targets each.
bool isRouteSuspect(const std::map<Trait, TraitEvidence> &Evidence,
                    const RequestTraits &Request);

/// Routes on trial whose pause is over.
std::vector<Trait> routesOnTrial(const TraitTable &Table, TimePoint Now);

/// What one entry knows about traits.
struct TraitTracker {
  TraitTable m_Own; ///< From crashes that this entry observed itself.
  std::uint64_t m_Revision = 0; ///< Of the notices of control applied last.
  std::map<Trait, TraitEvidence> m_Evidence;  ///< As told by control.
  std::vector<TraitQuarantine> m_Quarantines; ///< As told by control.
  std::set<Trait> m_Sound; ///< Suspect traits to be reported as sound.
  struct BegunContent {
    std::uint64_t m_Events = 0; ///< Most that a run had received at a crash.
    TimePoint m_ForgottenAt;
  };
  /// Contents that had begun at crashes which this entry has reported. It
  /// reports when a later run gets further.
  std::map<Trait, BegunContent> m_BegunAtCrash;
  /// Traits of completed runs of the last `m_SoundDuration`.
  std::map<Trait, TimePoint> m_RecentlySound;
  Duration m_SoundDuration = std::chrono::seconds(10);
  std::size_t m_MaxSound = 4096;
  TimePoint m_NextSweep; ///< Of `m_RecentlySound`, when it is full.
  /// Routes on trial that this entry may run until then, by permission of
  /// control.
  std::map<Trait, TimePoint> m_TrialsUntil;
  std::set<Trait> m_InTrial; ///< Routes with a request under way.
};

std::optional<TimePoint> quarantinedUntil(const TraitTracker &Tracker,
                                          const RequestTraits &Request,
                                          TimePoint Now);

bool isRouteSuspect(const TraitTracker &Tracker, const RequestTraits &Request);

/// Whether a request of a suspect route may run now, and when to ask again if
/// not.
struct RouteDecision {
  RouteGate m_Gate = RouteGate::Open;
  TimePoint m_RetryAt;
};
/// \p HoldsTrial tells that the request is the one of its route on trial.
RouteDecision evaluateRoute(const TraitTracker &Tracker,
                            const RequestTraits &Request, TimePoint Now,
                            bool HoldsTrial = false);

/// Applies the permissions of control, which replace the former ones.
void permitTrials(TraitTracker &Tracker, const std::vector<Trait> &Routes,
                  TimePoint Until);
/// A request of a route on trial starts; `endTrial` follows when it has ended.
void startTrial(TraitTracker &Tracker, Trait Route);
void endTrial(TraitTracker &Tracker, Trait Route);

/// Whether a request that waited at a crashed target may be tried again: not if
/// an earlier crash speaks against it as well, or against its route.
bool mayRetryAfterCrash(const TraitTracker &Tracker,
                        const RequestTraits &Request);

/// Records that a request ran to its end. Only the one on trial, which started
/// after the pause, speaks for its route.
void recordSound(TraitTracker &Tracker, const RequestTraits &Request,
                 TimePoint Now, bool HoldsTrial = false);

/// Reports again what was in a report that may have been lost. Routes are left
/// out: control counts the runs of their trials.
void reportSoundAgain(TraitTracker &Tracker, const std::set<Trait> &Sent);

/// Records that the run of a request had begun at a target whose process
/// crashed. \returns the report for control, which alone decides on it.
TraitCrash recordBegunAtCrash(TraitTracker &Tracker, const TargetId &Target,
                              const std::string &Incarnation,
                              const BegunRun &Run, TimePoint Now);

/// \returns the events that a run of the content must receive to speak for it,
/// or nothing if this entry knows of no crash.
std::optional<std::uint64_t> eventsToPass(const TraitTracker &Tracker,
                                          Trait Content, TimePoint Now);
/// Records that a run has received them.
void recordPassed(TraitTracker &Tracker, Trait Content);

/// Records that a request waited at a target whose process crashed. \returns
/// the report for control, without parts that were sound just now.
TraitCrash recordWaitingAtCrash(TraitTracker &Tracker, const TargetId &Target,
                                const std::string &Incarnation,
                                const RequestTraits &Request, TimePoint Now);

} // namespace wasabivale::retries

#endif // WASABIVALE_RETRIES_RETRIES_H
