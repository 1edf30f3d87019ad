/// \file
/// Checks what callers and targets have seen against what the system promises.
/// Reads no clock and does no I/O.

#ifndef WASABIVALE_FAULTSOAK_JUDGE_H
#define WASABIVALE_FAULTSOAK_JUDGE_H

#include "base/base.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wasabivale::soak {

enum class Kind : std::uint8_t {
  Safe,
  Unsafe,
  Stream,    ///< Runs at most once.
  Resumable, ///< A stream that may be continued by another run.
};

/// What a disturbance concerns. One of a kind without number has number 0.
enum class Part : std::uint8_t {
  Entry,    ///< Killed or paused.
  Cut,      ///< An entry that is cut off from all targets.
  Start,    ///< An entry that was started or was asked to stop.
  Target,   ///< Crashed, left or silent.
  Link,     ///< Between an entry and a target: `linkNumber`.
  Core,     ///< Any control member.
  Observer, ///< The soak itself was not scheduled.
};

unsigned linkNumber(unsigned Entry, unsigned Target);

/// A request as its caller sent it.
struct Sent {
  std::string m_Id;
  std::string m_Route;
  Kind m_Kind = Kind::Safe;
  unsigned m_Entry = 0;
  bool m_OnKeptConnection = false;
  std::uint64_t m_LastEventId = 0;
  std::string m_FirstVersion; ///< Of the stream that is resumed.
  TimePoint m_SentAt;
  TimePoint m_Deadline;
};

/// A target begins to work on a request.
struct Run {
  unsigned m_Target = 0;
  std::string m_Service;
  std::string m_Stamp; ///< Signature of the answer.
  std::string m_Body;  ///< Of a call's answer.
  TimePoint m_BeganAt;
  /// When the target had handed over the whole answer.
  std::optional<TimePoint> m_AnsweredAt;
};

/// What the caller has got.
struct Ending {
  bool m_IsBroken = false;  ///< The connection ended before the answer did.
  bool m_IsTimeout = false; ///< The caller gave up.
  int m_Status = 0;
  std::string m_Id;    ///< Id of the request that the answer names.
  std::string m_Stamp; ///< Signature of the answer.
  std::string m_Body;
  /// Its only call since a SIGTERM, on a connection that was idle before it.
  bool m_IsOnOldConnection = false;
  TimePoint m_EndedAt;
};

struct Violation {
  std::string m_Rule;
  std::string m_Request; ///< Empty if it concerns none.
  std::string m_Text;
  TimePoint m_SeenAt;
};

/// The end of a process of the system.
struct ProcessEnd {
  std::string m_Name;
  int m_Status = 0; ///< Exit code, or minus the signal.
  TimePoint m_StartedAt;
  std::optional<TimePoint> m_StopAskedAt; ///< Of its first SIGTERM.
  bool m_WasKilled = false;               ///< By a fault, with SIGKILL.
  bool m_IsOverGrace = false;             ///< Killed at the end of its grace.
  bool m_WasPausedInStop = false; ///< Stood still for a part of its grace.
};

/// Events of a stream's body, as far as they are whole.
struct Events {
  std::uint64_t m_Last = 0; ///< Last id, or the id that it goes on from.
  std::uint64_t m_Total = 0;
  std::string m_Version;    ///< Software that made the first event.
  bool m_HasGap = false;    ///< An id is missing or comes twice.
  bool m_IsForeign = false; ///< An event of another request.
  bool m_IsMixed = false;   ///< Events of two software versions.
};

/// Text of an event as the targets of the soak write it.
std::string eventText(std::uint64_t Id, std::uint64_t Total,
                      const std::string &Request, const std::string &Version);
Events readEvents(std::string_view Body, const Sent &Request);

/// Time that is granted for a change of the routes to reach every entry.
struct Bounds {
  std::chrono::milliseconds m_Contact{3'000};
  std::chrono::milliseconds m_Apply{2'000};
  std::chrono::milliseconds m_Drain{2'000};
  std::chrono::milliseconds m_Grace{8'000};
  /// A process has its signal handlers within this time.
  std::chrono::milliseconds m_Start{1'000};
  /// What the machine's scheduling may add to any of these.
  std::chrono::milliseconds m_Margin{400};
};

/// Services of each route in one version of the configuration.
using Routes = std::map<std::string, std::set<std::string>>;

class Judge {
public:
  Judge(Bounds Limits, bool ChecksVersions)
      : m_Bounds(Limits), m_ChecksVersions(ChecksVersions) {}

  void sent(const Sent &Request);
  /// The entry that a request was sent to.
  [[nodiscard]] std::optional<unsigned> entryOf(const std::string &Id) const;
  /// \returns the number of the run among those of the request.
  std::size_t began(const std::string &Id, Run Started);
  void answered(const std::string &Id, std::size_t Number,
                TimePoint HandedOver);
  void ended(const std::string &Id, const Ending &Got);

  /// \p Until may lie ahead.
  void disturbed(Part Kind, unsigned Number, TimePoint Start, TimePoint Until);
  void stopAsked(unsigned Entry, TimePoint Now);
  /// A process of the entry was started.
  void started(unsigned Entry, TimePoint Now);
  /// Control has acknowledged that a target drains or is gone.
  void leaveAcknowledged(unsigned Target, TimePoint Now);
  /// Another process serves at the target's address.
  void targetStarted(unsigned Target);
  void routesSent(std::uint64_t Version, const Routes &Content);
  void routesAcknowledged(std::uint64_t Version, TimePoint Now);
  void processEnded(const ProcessEnd &Ended, TimePoint Now);
  /// A sanitizer has written \p Line to the log of a process.
  void sanitizerReported(const std::string &Name, const std::string &Line,
                         TimePoint Now);
  /// A line in the log of a control member says that states differ.
  void stateDiverged(const std::string &LogLine, TimePoint Now);
  /// Looks whether entries that were in touch, and whose targets were well but
  /// for one, have served half of their requests of late.
  void checkService(TimePoint Now);

  /// Compares what entries that were cut off have served with what the others
  /// served meanwhile; to be called once, at the end.
  void checkCuts(TimePoint Now);

  /// Looks whether a call was sent later than 4 s after a SIGTERM on a
  /// connection from before it; to be called once, at the end of a run of
  /// waves.
  void checkOldConnections(TimePoint Now);

  /// Violations since the last call.
  std::vector<Violation> take();

  /// Calls late in a stop on connections that were idle before it.
  struct OldCalls {
    std::uint64_t m_Sent = 0;
    std::uint64_t m_Taken = 0;   ///< Reached a target.
    std::uint64_t m_Refused = 0; ///< Have not run, and the answer says so.
    std::uint64_t m_Closed = 0;  ///< Their connections were closed unread.
  };
  struct Counts {
    std::uint64_t m_Sent = 0;
    std::uint64_t m_Served = 0;
    std::uint64_t m_Refused = 0;
    std::uint64_t m_Failed = 0;
    std::uint64_t m_Broken = 0;
    std::uint64_t m_Runs = 0;
    /// Runs of requests that were sent to an entry after its SIGTERM.
    std::uint64_t m_RunsWhileStopping = 0;
    /// Of those, runs of requests sent 3.5 to 6 s after it.
    std::uint64_t m_RunsLate = 0;
    /// Runs of requests sent in the first second of a process.
    std::uint64_t m_RunsAtStart = 0;
    /// Requests to entries that were cut off for a while, and to the others at
    /// that time.
    std::uint64_t m_SentAtCut = 0;
    std::uint64_t m_ServedAtCut = 0;
    std::uint64_t m_SentAtOthers = 0;
    std::uint64_t m_ServedAtOthers = 0;
    /// Sent later than 2.8 s, 4 s and 6 s after the SIGTERM.
    OldCalls m_OldAfter2800;
    OldCalls m_OldAfter4000;
    OldCalls m_OldAfter6000;
  };
  [[nodiscard]] const Counts &counts() const { return m_Counts; }

private:
  struct Record {
    Sent m_Sent;
    std::vector<Run> m_Runs;
    std::optional<Ending> m_Ending;
  };
  struct Window {
    std::uint64_t m_Sent = 0;
    std::uint64_t m_Served = 0;
    TimePoint m_Start;
  };

  void report(const std::string &Rule, const Record &Request,
              const std::string &Text, TimePoint Now);
  [[nodiscard]] bool wasDisturbed(Part Kind, unsigned Number, TimePoint Start,
                                  TimePoint Until) const;
  /// Whether the entry was in touch for all of a time and the span before it.
  [[nodiscard]] bool isInTouch(unsigned Entry, TimePoint Start,
                               TimePoint Until) const;
  [[nodiscard]] std::size_t disturbedTargets(TimePoint Start,
                                             TimePoint Until) const;
  [[nodiscard]] std::optional<TimePoint> stopBefore(unsigned Entry,
                                                    TimePoint Now) const;
  /// Versions of the routes that may decide about a request.
  [[nodiscard]] std::uint64_t leastVersion(const Sent &Request,
                                           TimePoint Until) const;
  void countWhen(const Sent &Request, TimePoint BeganAt);
  void checkRoute(const Record &Request, const Run &Started);
  void checkDrain(const Record &Request, const Run &Started);
  void checkLost(const Record &Request);
  void checkAnswer(const Record &Request);
  void checkDenied(const Record &Request);
  void countOldConnection(const Record &Request);
  void countDuringCuts(const Record &Request);

  Bounds m_Bounds;
  bool m_ChecksVersions;
  Counts m_Counts;
  std::map<std::string, Record> m_Requests;
  std::set<unsigned> m_Entries; ///< Those that requests were sent to.
  std::map<std::pair<Part, unsigned>,
           std::vector<std::pair<TimePoint, TimePoint>>>
      m_Disturbances;
  std::map<unsigned, std::vector<TimePoint>> m_Stops;
  std::map<unsigned, TimePoint> m_Starts; ///< Of the last processes.
  std::map<unsigned, TimePoint> m_Leaves;
  std::map<std::uint64_t, Routes> m_Routes;
  std::map<std::uint64_t, TimePoint> m_Acknowledged;
  std::map<unsigned, Window> m_Windows;
  std::vector<Violation> m_Violations;
};

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_JUDGE_H
