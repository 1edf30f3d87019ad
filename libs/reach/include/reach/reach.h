/// \file
/// Detects that this entry is partitioned from all targets, while others may
/// still reach them.
///
/// Pure decision logic over plain structs, without I/O or clock. Failed
/// connections to two targets raise a suspicion; probes of others decide. A
/// probe is a new connection on which nothing is sent. Any new connection that
/// is made, by a request or a probe, ends the suspicion: one broken target, a
/// rack or all targets of a service are no partition.
///
/// Requests that two targets leave unanswered, while no target sends anything
/// for `m_SilenceToSuspect`, raise a suspicion as well. A connection that is
/// made during the silence proves nothing. Probes then ask for the health
/// checks of targets that have one, and only bytes from a target end the
/// suspicion.
///
/// What the probes find decides how soon the entry counts as cut:
///
/// - All are answered by an error, such as a reset: once `m_TargetsToCut`
///   different targets have done so. Bytes on kept connections do not count
///   then, since kept connections may live on while new ones are refused; the
///   requests that they could still carry are few.
/// - Some are not answered: once no connection was made and no byte received
///   for `m_SilenceToCut`, and probes that began after it have failed. Sound
///   targets may all be silent for a shorter time.
///
/// A fleet of one target is never cut: nothing distinguishes it from a target
/// that is down.

#ifndef WASABIVALE_REACH_REACH_H
#define WASABIVALE_REACH_REACH_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wasabivale::reach {

struct Settings {
  /// How long a failure counts as evidence.
  Duration m_EvidenceDuration = std::chrono::seconds(2);
  /// Targets that must have failed, with no new connection since, before others
  /// are probed.
  std::size_t m_TargetsToSuspect = 2;
  std::size_t m_ProbesPerRound = 3;
  /// Targets whose probes must fail before the entry counts as cut, or all of a
  /// smaller fleet.
  std::size_t m_TargetsToCut = 6;
  Duration m_ProbeTimeout = std::chrono::milliseconds(250);
  /// Of a probe that asks for the health check.
  Duration m_AnswerTimeout = std::chrono::milliseconds(500);
  /// Shortest silence of a request that counts as unanswered.
  Duration m_SilenceToRecord = std::chrono::milliseconds(500);
  /// Shortest silence of all targets before some are asked.
  Duration m_SilenceToSuspect = std::chrono::seconds(1);
  Duration m_SilenceToCut = std::chrono::milliseconds(1500);
  /// Shortest time between two suspicions that failures raise.
  Duration m_SuspicionInterval = std::chrono::seconds(1);
  /// Between two probes while cut. Targets limit new connections.
  Duration m_ProbeInterval = std::chrono::milliseconds(250);
  /// Different targets that must be reached within `m_ReturnWindow` to end a
  /// cut, or all of a smaller fleet.
  std::size_t m_TargetsToReturn = 2;
  Duration m_ReturnWindow = std::chrono::seconds(1);
};

enum class Phase : std::uint8_t {
  Direct,    ///< Targets are reached, or nothing speaks against it.
  Suspected, ///< Several targets failed; others are probed.
  Cut,       ///< No target is reached.
};

/// Name in log lines, in lower case.
std::string_view phaseName(Phase Value);

/// A target that serves.
struct Candidate {
  std::string m_Address; ///< `ip:port`.
  std::string m_Service; ///< Model or service that it serves.
  ZoneId m_Zone;
  std::string m_HealthPath{}; ///< Empty: it has no health check.
};

enum class ProbeResult : std::uint8_t {
  Connected,
  Answered, ///< Bytes arrived, whatever they say.
  Rejected, ///< An error arrived, such as a reset.
  Silent,   ///< No answer in time.
};

struct State {
  Settings m_Settings;
  Phase m_Phase = Phase::Direct;
  TimePoint m_PhaseSince;
  TimePoint m_ConnectedAt; ///< Newest new connection.
  TimePoint m_ReceivedAt;  ///< Newest bytes from any target.
  struct Failure {
    TimePoint m_FailedAt; ///< The newest.
    TimePoint m_SilentSince;
  };
  using Failures = std::map<std::string, Failure>; ///< By address.
  Failures m_Failures;   ///< Since the newest connection; each expires.
  Failures m_Unanswered; ///< Whether connected or not; each expires.
  /// Whether the probes of this phase ask for the health check.
  bool m_AsksTargets = false;
  TimePoint m_NextSuspicion;
  bool m_IsProbingDue = false; ///< A suspicion was asked for.
  TimePoint m_NextProbe;
  std::uint64_t m_Rounds = 0; ///< Of probes so far.
  /// Start of each open probe, by address.
  std::map<std::string, TimePoint> m_Probing;
  std::map<std::string, TimePoint> m_ProbedAt; ///< Since the phase began.
  std::size_t m_ServingCount = 0;              ///< As of the last probes.
  std::size_t m_AskableCount = 0; ///< With a health check, as of the same time.
  // While suspected.
  std::set<std::string> m_Failed;   ///< Addresses whose probes failed.
  std::set<std::string> m_Rejected; ///< Those of them that were answered.
  bool m_RoundRejected = false;     ///< Any probe of this round was answered.
  TimePoint m_RoundStart;
  /// Targets that were reached of late while cut, by address.
  std::map<std::string, TimePoint> m_Reached;
};

/// Records that a new connection to \p Address was made by a request. \returns
/// whether a cut has ended.
bool recordConnected(State &Entry, const std::string &Address, TimePoint Now);

/// Records that bytes arrived from a target.
void recordReceived(State &Entry, TimePoint Now);

/// Records that a connection to \p Address could not be made or broke, and
/// nothing was heard there since \p SilentSince.
void recordFailure(State &Entry, const std::string &Address,
                   TimePoint SilentSince, TimePoint Now);

/// Records that a request was sent to \p Address and nothing was heard there
/// since \p SilentSince; again while it waits. \returns whether `takeProbes` is
/// due.
bool recordUnanswered(State &Entry, const std::string &Address,
                      TimePoint SilentSince, TimePoint Now);

/// Asks for a suspicion without waiting for failures, for a caller that needs
/// to know. `isProbing` turns false once `takeProbes` and the results of its
/// probes have decided; only a direct entry is probed for it.
void requestProbes(State &Entry);

/// Starts a suspicion or the next round of probes if one is due. \returns the
/// addresses to probe now, each until \p Now + `probeTimeout` and by its health
/// check if `m_AsksTargets`; `recordProbe` follows for each of them.
std::vector<std::string>
takeProbes(State &Entry, const std::vector<Candidate> &Fleet, TimePoint Now);

/// Of the probes that `takeProbes` has returned last.
Duration probeTimeout(const State &Entry);

/// When `takeProbes` is due again if nothing else happens.
std::optional<TimePoint> nextProbesAt(const State &Entry);

/// Records the result of a probe. \returns whether a cut has begun or ended.
bool recordProbe(State &Entry, const std::string &Address, ProbeResult Result,
                 TimePoint Now);

/// Whether probes that a suspicion depends on are due or open.
bool isProbing(const State &Entry);

inline bool isCut(const State &Entry) { return Entry.m_Phase == Phase::Cut; }

} // namespace wasabivale::reach

#endif // WASABIVALE_REACH_REACH_H
