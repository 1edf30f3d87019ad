/// \file
/// Retries, and requests that crash the targets that run them.
///
/// Pure deciding code over plain structs: no I/O, no clock, no threads. Three
/// parts: `decide` after a failed try (entry); `SuspectTracker`, an entry's
/// hold on fingerprints that are under suspicion; `SuspectTable`, the
/// fleet-wide decision on crashes, deterministic and fed by log time (control).

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
  double m_CallerShare = 0.2; ///< Retries for each success of a caller.
  double m_TargetShare = 0.2; ///< Retries for each success of a target.
  double m_MaxTokens = 10;    ///< Most retries saved up, and the start value.
  Duration m_BackoffBase = std::chrono::milliseconds(50);
  Duration m_BackoffCap = std::chrono::seconds(2);
  std::uint32_t m_MaxTries = 4;
};

/// Why a try failed.
enum class FailureKind : std::uint8_t {
  ConnectFailed, ///< No connection; nothing was sent.
  TargetFull,    ///< The target says that it did not run it.
  TargetError,   ///< The target answered with an error.
  Broken,        ///< The connection broke.
  Stalled,       ///< No progress within the allowed time.
  Malformed,     ///< The answer was not understood or not whole.
  CannotResume,  ///< The target cannot continue this stream.
  Refused,       ///< The target says that the request itself is wrong.
};
/// `connect_failed`, ... : a metric label for retries.
std::string_view failureKindName(FailureKind Value);
inline constexpr std::size_t FailureKindCount = 8;

/// A request and its tries so far.
struct Attempt {
  CallerId m_Caller;
  TargetId m_Target;         ///< Of the try that failed.
  std::uint32_t m_Tries = 1; ///< Made so far, the failed one included.
  TimePoint m_Deadline;
  Duration m_ServiceTime{}; ///< What another try is expected to take.
  bool m_NotRepeatable = false;
  /// Whether an earlier try, before the failed one, may have run.
  bool m_MayHaveRun = false;
  std::vector<TargetId> m_Avoid; ///< Targets that failed it before.
  /// Tries that may have run, the failed one included, and how many may; zero:
  /// not limited. A try that was turned away has not run.
  std::uint32_t m_Runs = 0;
  std::uint32_t m_MaxRuns = 0;
};

/// Facts about the failure.
struct Failure {
  FailureKind m_Kind = FailureKind::Broken;
  bool m_NotRunProven = false;    ///< The target's word, or nothing was sent.
  bool m_BytesSent = false;       ///< Any byte may have left.
  bool m_FirstBytePassed = false; ///< The caller has part of the answer.
  bool m_Resumable = false;       ///< A target can continue at an offset.
  std::uint64_t m_Offset = 0;     ///< Tokens passed on to the caller.
};

/// Try again from the start.
struct RetryAt {
  TimePoint m_StartTime;
  std::vector<TargetId> m_Avoid;
};
/// Continue the stream.
struct ResumeAt {
  TimePoint m_StartTime;
  std::uint64_t m_Offset = 0;
  std::vector<TargetId> m_Avoid; ///< Empty: the same target may continue.
};
/// Tell the caller.
struct GiveUp {
  Refusal m_Reason = Refusal::TargetFailed;
  Outcome m_Outcome = Outcome::Unknown;
};
using RetryDecision = std::variant<RetryAt, ResumeAt, GiveUp>;

/// Retries left; refilled by successes.
struct Budget {
  double m_Tokens = 0;
};

struct State {
  Settings m_Settings;
  std::unordered_map<CallerId, Budget> m_Callers;
  std::unordered_map<TargetId, Budget> m_Targets;
};

/// A request of \p Caller was completed by \p Target.
void recordSuccess(State &Entry, const CallerId &Caller,
                   const TargetId &Target);

/// Forgets the budgets of those that are gone.
void forgetCaller(State &Entry, const CallerId &Caller);
void forgetTarget(State &Entry, const TargetId &Target);

/// Whether this try may have run.
bool tryMayHaveRun(const Failure &Facts);

/// Whether any try of the request may have run, the failed one included.
bool mayHaveRun(const Attempt &Request, const Failure &Facts);

/// Decides what follows a failed try. Never another try of a not repeatable
/// request that may have run; `not_run` only if no try may have run. A retry
/// is paid from the budgets of the caller and of the failed target.
RetryDecision decide(State &Entry, const Attempt &Request, const Failure &Facts,
                     TimePoint Now, Random &Rng);

// --- Fingerprints -----------------------------------------------------------

/// Hash of what a request asks, whoever asks it.
using Fingerprint = std::uint64_t;

/// Fingerprint of a model and a prompt (or of a service and its call's body).
Fingerprint fingerprintOf(const ModelId &Model, std::string_view Prompt);

/// Most targets that one fingerprint takes when its caller resends it after
/// each failure. See docs/design/0007-retries-and-quarantine.md for copies
/// that already run elsewhere when the first target crashes.
inline constexpr std::uint32_t MaxTargetsLost = 2;

// --- Fleet-wide suspicion (control) -----------------------------------------

struct SuspicionSettings {
  /// First quarantine; each further one of a fingerprint lasts twice as long.
  Duration m_QuarantineFor = std::chrono::minutes(10);
  Duration m_MaxQuarantine = std::chrono::hours(6);
  Duration m_SuspectFor = std::chrono::minutes(2);
  /// After its quarantine a fingerprint stays a suspect for this long.
  Duration m_ProbationFor = std::chrono::hours(1);
  /// Longest isolated re-run. The entry cancels the run by then, so that the
  /// fingerprint and the target are free for another one.
  Duration m_RerunFor = std::chrono::seconds(60);
  /// This many targets that crash within the window have a common cause: a
  /// rack, a switch, a zone. Such crashes convict nobody.
  std::size_t m_MassCrash = 4;
  Duration m_MassCrashWindow = std::chrono::seconds(10);
  std::size_t m_MaxSuspects = 4096; ///< The least suspect are dropped first.
};

/// A target's process went away while these were running there, as one entry
/// saw it.
struct Crash {
  TargetId m_Target;
  std::string m_Incarnation;
  std::vector<Fingerprint> m_Running;
};

/// A crashed incarnation.
using CrashKey = std::pair<TargetId, std::string>;

/// What all entries together reported of a crash.
struct CrashRecord {
  TimePoint m_At; ///< Log time of the first report.
  std::set<Fingerprint> m_Running;
  /// The suspect that was permitted to run there: it alone did it.
  std::optional<Fingerprint> m_Culprit;
};

enum class Verdict : std::uint8_t {
  Suspect,     ///< May run alone, at one target at a time, by permission.
  Quarantined, ///< Not run at all.
};

struct Suspect {
  Verdict m_Verdict = Verdict::Suspect;
  TimePoint m_Until;            ///< Log time.
  std::set<CrashKey> m_Crashes; ///< That it was running at.
  std::uint32_t m_QuarantineCount = 0;
  std::optional<NodeId> m_RerunEntry; ///< Entry that may run it now.
  TargetId m_RerunTarget;
  TimePoint m_RerunDeadline;
};

/// Deterministic: the same events with the same log times give the same
/// state on every member.
struct SuspectTable {
  SuspicionSettings m_Settings;
  std::uint64_t m_Revision = 0; ///< Raised by each change.
  std::map<Fingerprint, Suspect> m_Suspects;
  std::map<CrashKey, CrashRecord> m_Crashes; ///< Of the last quarantine time.
};

/// How suspect a fingerprint is: the sum over its crashes of one divided by
/// the number of requests that were running there.
double weightOf(const SuspectTable &Fleet, const Suspect &Known);

/// A crash, reported by one or more entries. Reports of the same incarnation
/// add up to one crash; a repeated report changes nothing. \returns the
/// revision from which on entries know it.
std::uint64_t applyCrash(SuspectTable &Fleet, const Crash &Report,
                         TimePoint LogNow);

/// An entry asks to run a suspect alone at a target. Granted if neither the
/// fingerprint nor the target has another permission.
bool permitRerun(SuspectTable &Fleet, Fingerprint Print, const NodeId &Entry,
                 const TargetId &Target, TimePoint LogNow);

/// An isolated re-run ended. \p Completed clears the suspect: a bystander.
void endRerun(SuspectTable &Fleet, Fingerprint Print, const NodeId &Entry,
              bool Completed, TimePoint LogNow);

/// Lifts what has expired; called with every applied command's log time.
void expireSuspects(SuspectTable &Fleet, TimePoint LogNow);

/// An operator lifts a quarantine.
bool liftQuarantine(SuspectTable &Fleet, Fingerprint Print);

/// A suspect as told to an entry.
struct SuspectNotice {
  Fingerprint m_Fingerprint = 0;
  Verdict m_Verdict = Verdict::Suspect;
  Duration m_Remaining{};
  bool m_RerunPermitted = false; ///< To the entry that is told.
  TargetId m_RerunTarget;
  Duration m_RerunRemaining{}; ///< The run must have ended by then.
};

/// Everything that \p Entry must know now, guilty ones first, most suspect
/// next. Sent whole whenever the entry's revision is not the newest.
std::vector<SuspectNotice> suspectNotices(const SuspectTable &Fleet,
                                          const NodeId &Entry,
                                          TimePoint LogNow);

// --- Who knows of suspects (leader of control, not replicated) ---------------

/// What the leader knows of each entry's knowledge. A crash is settled once
/// no entry can act on older knowledge: each has applied its revision or has
/// lost its lease.
struct NoticePropagation {
  struct Entry {
    std::uint64_t m_Applied = 0; ///< Revision of the notices that it applied.
    std::uint64_t m_Needed = 0;  ///< Revision of its newest crash report.
    TimePoint m_LeaseUntil;
  };
  std::map<NodeId, Entry> m_Entries;
  /// End of all leases that an earlier leader may have granted.
  TimePoint m_EarlierLeasesEnd;
};

/// An entry reported; its lease is renewed until \p LeaseUntil.
void recordEntryReport(NoticePropagation &Known, const NodeId &Id,
                       std::uint64_t Applied, TimePoint LeaseUntil);
/// A crash report of this entry was applied with this revision.
void recordCrashApplied(NoticePropagation &Known, const NodeId &Id,
                        std::uint64_t Revision);
/// Whether all crashes that the entry has reported are known to every entry.
bool crashesSettled(const NoticePropagation &Known, const NodeId &Id,
                    TimePoint Now);

// --- An entry's hold on suspects --------------------------------------------

/// What an entry may do with a fingerprint now.
enum class Gate : std::uint8_t {
  Open,        ///< Run it anywhere.
  SameTarget,  ///< A copy is in flight: only at that target.
  Hold,        ///< Suspect: ask for permission and wait.
  Isolated,    ///< Permitted: alone, at the named target.
  Quarantined, ///< Refuse with `Refusal::Quarantined`, `not_run`.
};

struct GateDecision {
  Gate m_Gate = Gate::Open;
  TargetId m_Target;                       ///< For SameTarget and Isolated.
  TimePoint m_RunUntil = TimePoint::max(); ///< For Isolated: cancel it then.
};

/// One entry's knowledge of suspects and its own runs in flight.
struct SuspectTracker {
  /// Copies of one fingerprint in flight at one incarnation of a target.
  struct Run {
    TargetId m_Target;
    std::string m_Incarnation;
    std::uint32_t m_Count = 0;
  };
  struct Known {
    Verdict m_Verdict = Verdict::Suspect;
    TimePoint m_Until;
    bool m_RerunPermitted = false;
    TargetId m_RerunTarget;
    TimePoint m_RerunDeadline;
    /// Seen here first; held until control has settled that report.
    bool m_Local = false;
  };
  std::uint64_t m_Revision = 0; ///< Of the notices last applied.
  /// In the order in which the targets took the first copy.
  std::unordered_map<Fingerprint, std::vector<Run>> m_Running;
  std::unordered_map<Fingerprint, Known> m_Suspects;
  std::vector<Crash> m_Unreported; ///< To be sent to control.
  Duration m_LocalHold = std::chrono::minutes(2);
};

/// Whether a request may run now. A quarantine or hold binds every caller.
GateDecision evaluateGate(const SuspectTracker &Entry, Fingerprint Print,
                          TimePoint Now);

void recordRunStart(SuspectTracker &Entry, Fingerprint Print,
                    const TargetId &Target, std::string_view Incarnation);
/// \pre `recordRunStart` was called with the same arguments.
void recordRunEnd(SuspectTracker &Entry, Fingerprint Print,
                  const TargetId &Target, std::string_view Incarnation);
/// As above, at the target that took the first of the copies in flight.
void recordRunEnd(SuspectTracker &Entry, Fingerprint Print);

/// This entry saw a target's process go away: everything in flight there is
/// suspect at once. \returns the crash, also queued in `m_Unreported`.
Crash recordCrash(SuspectTracker &Entry, const TargetId &Target,
                  std::string_view Incarnation, TimePoint Now);

/// Control's notices replace all that is known but local suspects that
/// control has not settled yet. \p SettledCrashes says that every crash of
/// this entry reported so far is known to all entries.
void applyNotices(SuspectTracker &Entry,
                  const std::vector<SuspectNotice> &Notices,
                  std::uint64_t Revision, bool SettledCrashes, TimePoint Now);

} // namespace wasabivale::retries

#endif // WASABIVALE_RETRIES_RETRIES_H
