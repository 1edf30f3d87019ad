/// \file
/// What plain requests that crash targets have in common: which targets went
/// away under which requests, and what control has decided.

#ifndef WASABIVALE_ENTRY_CRASHTRAITS_H
#define WASABIVALE_ENTRY_CRASHTRAITS_H

#include "TargetReach.h"
#include "http/http.h"
#include "retries/retries.h"
#include "wire.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace wasabivale::entry {

class CrashTraits {
public:
  CrashTraits(event_base *Loop, TargetReach &Reach)
      : m_Loop(Loop), m_Reach(Reach) {}

  [[nodiscard]] std::optional<TimePoint>
  quarantinedUntil(const retries::RequestTraits &Request, TimePoint Now) const {
    return retries::quarantinedUntil(m_Tracker, Request, Now);
  }
  [[nodiscard]] bool
  mayRetryAfterCrash(const retries::RequestTraits &Request) const {
    return retries::mayRetryAfterCrash(m_Tracker, Request);
  }
  [[nodiscard]] bool
  isRouteSuspect(const retries::RequestTraits &Request) const {
    return retries::isRouteSuspect(m_Tracker, Request);
  }
  [[nodiscard]] retries::RouteDecision
  evaluateRoute(const retries::RequestTraits &Request, TimePoint Now,
                bool HoldsTrial) const {
    return retries::evaluateRoute(m_Tracker, Request, Now, HoldsTrial);
  }
  void startTrial(retries::Trait Route) {
    retries::startTrial(m_Tracker, Route);
  }
  void endTrial(retries::Trait Route) { retries::endTrial(m_Tracker, Route); }
  void recordSound(const retries::RequestTraits &Request, TimePoint Now,
                   bool HoldsTrial) {
    retries::recordSound(m_Tracker, Request, Now, HoldsTrial);
  }

  [[nodiscard]] std::optional<std::uint64_t>
  eventsToPass(retries::Trait Content, TimePoint Now) const {
    return retries::eventsToPass(m_Tracker, Content, Now);
  }
  void recordPassed(retries::Trait Content) {
    retries::recordPassed(m_Tracker, Content);
  }

  /// Finds out whether a target's process ended while a run had begun there,
  /// and records the crash if so. \p Done is called then.
  void probeBegun(const TargetId &Target, const std::string &Incarnation,
                  const http::Address &Address, const retries::BegunRun &Run,
                  std::function<void()> Done);

  /// Finds out whether a target's process ended while the request waited there.
  /// \p Done gets true when it did; the crash is recorded by then. A target
  /// that can't be reached while no other can is not taken for crashed.
  void probe(const TargetId &Target, const std::string &Incarnation,
             const http::Address &Address, retries::RequestTraits Request,
             std::function<void(bool Crashed)> Done);

  void fillReport(wire::EntryReport &Report, TimePoint Now);
  /// \p SentAt is when the report that the grant answers was sent.
  void takeGrant(const wire::ControlGrant &Grant, TimePoint SentAt,
                 TimePoint Now);
  /// Applies quarantines that are newer than the last grant.
  void apply(const wire::TraitsUpdate &Update, TimePoint Now);

  [[nodiscard]] std::uint64_t crashes() const { return m_CrashCount; }

private:
  struct Probe {
    struct Waiting {
      retries::RequestTraits m_Request;
      std::function<void(bool)> m_Done;
    };
    struct Begun {
      retries::BegunRun m_Run;
      std::function<void()> m_Done;
    };
    std::vector<Waiting> m_Waiting;
    std::vector<Begun> m_Begun;
    http::Address m_Address;
    TimePoint m_BrokenAt;
    std::unique_ptr<http::Timer> m_Start;
    std::unique_ptr<http::ListenerProbe> m_Listener;
  };
  struct Report {
    retries::TraitCrash m_Crash;
    TimePoint m_RepeatedUntil;
    unsigned m_Grants = 0; ///< Received from control since.
  };

  /// Starts the probe of a target unless it is under way.
  Probe &openProbe(const retries::CrashKey &Key, const http::Address &Address);
  void takeListenerState(const retries::CrashKey &Key,
                         http::ListenerState State);
  /// Probes the listener again, now that other targets are reached: the first
  /// probe may have failed because this entry was partitioned.
  void confirm(const retries::CrashKey &Key);
  void finishProbe(const retries::CrashKey &Key, bool Crashed);
  void logQuarantines() const;
  void queueReport(const retries::TraitCrash &Crash, TimePoint Now);

  event_base *m_Loop;
  TargetReach &m_Reach;
  retries::TraitTracker m_Tracker;
  std::map<retries::CrashKey, Probe> m_Probes;
  std::vector<Report> m_Reports; ///< The oldest first.
  /// Sound traits in reports that control has not answered yet, by renewal.
  std::map<std::uint64_t, std::set<retries::Trait>> m_SoundSent;
  std::uint64_t m_CrashCount = 0;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_CRASHTRAITS_H
