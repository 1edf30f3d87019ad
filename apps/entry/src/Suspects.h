/// \file
/// Requests that may crash targets: what runs where, crashes seen here, and
/// what control has decided about suspects.

#ifndef WASABIVALE_ENTRY_SUSPECTS_H
#define WASABIVALE_ENTRY_SUSPECTS_H

#include "http/http.h"
#include "retries/retries.h"
#include "targets/targets.h"
#include "wire.pb.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace wasabivale::entry {

class Suspects {
public:
  explicit Suspects(event_base *Loop) : m_Loop(Loop) {}

  /// What may be done with a request now. While control does not decide on
  /// suspects, one that was seen to crash a target here is run alone, beside no
  /// other suspect, and is quarantined after its second crash.
  [[nodiscard]] retries::GateDecision gate(retries::Fingerprint Print,
                                           TimePoint Now) const;
  /// Whether control decides on suspects; otherwise a request with the gate
  /// `Isolated` and no target may run at any that is not `isTaken`.
  [[nodiscard]] bool isTaken(const TargetId &Id) const;

  void noteRun(retries::Fingerprint Print, const TargetId &Target,
               std::string_view Instance, TimePoint Now);
  void noteRunEnded(retries::Fingerprint Print, bool Completed);
  /// The request waits for permission to run alone at \p Target.
  void want(retries::Fingerprint Print, const TargetId &Target);
  void dropWish(retries::Fingerprint Print);

  /// Finds out whether a target's process went away under a run. \p Done gets
  /// true when it did; the runs there are suspect by then.
  void probe(const TargetId &Target, const std::string &Incarnation,
             const http::Address &At, std::function<void(bool Crashed)> Done);

  void fillReport(wire::EntryReport &Report, TimePoint Now);
  void takeGrant(const wire::ControlGrant &Grant, TimePoint Now);

  [[nodiscard]] std::uint64_t crashes() const { return m_CrashCount; }

private:
  using Incarnation = std::pair<TargetId, std::string>;
  struct Probe {
    std::vector<std::function<void(bool)>> m_Waiting;
    http::Address m_At;
    TimePoint m_Deadline;
    std::unique_ptr<http::Timer> m_Again;
  };
  struct Reported {
    retries::Crash m_Crash;
    TimePoint m_Until;
  };

  void askState(const Incarnation &Of);
  void takeState(const Incarnation &Of,
                 const Result<targets::TargetState> &State, bool HasSent);
  void finishProbe(const Incarnation &Of, bool Crashed);
  void noteCrash(const Incarnation &Of, TimePoint Now);

  event_base *m_Loop;
  retries::SuspectTracker m_Watch;
  bool m_ControlDecides = false;
  std::map<Incarnation, Probe> m_Probes;
  std::set<Incarnation> m_Crashed;
  std::uint64_t m_CrashCount = 0;
  std::vector<Reported> m_Reported;
  /// Incarnations that crashed under each local suspect.
  std::map<retries::Fingerprint, std::set<Incarnation>> m_LocalCrashes;
  /// Renewal whose report was the first to hold the newest crash.
  std::uint64_t m_NewestCrashRenewal = 0;
  /// Where suspects run alone.
  std::map<retries::Fingerprint, TargetId> m_Isolated;
  std::map<retries::Fingerprint, TargetId> m_Wishes;
  std::vector<wire::RerunReport> m_RerunEnds;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_SUSPECTS_H
