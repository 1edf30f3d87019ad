/// \file
/// Whether this entry reaches any target: feeds `reach` with what its
/// connections tell, and probes targets for it.

#ifndef WASABIVALE_ENTRY_TARGETREACH_H
#define WASABIVALE_ENTRY_TARGETREACH_H

#include "EntryMetrics.h"
#include "FleetView.h"
#include "http/http.h"
#include "reach/reach.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace wasabivale::entry {

class TargetReach {
public:
  /// All outlive it.
  TargetReach(event_base *Loop, http::Pool &Connections, const FleetView &Fleet,
              EntryMetrics &Metrics);
  ~TargetReach();
  TargetReach(const TargetReach &) = delete;
  TargetReach &operator=(const TargetReach &) = delete;

  [[nodiscard]] bool isCut() const { return reach::isCut(m_State); }
  [[nodiscard]] reach::Phase phase() const { return m_State.m_Phase; }
  /// \p Callback is called from the loop when a cut has begun or ended.
  void onChange(std::function<void()> Callback) {
    m_OnChange = std::move(Callback);
  }

  /// A request was given up at a target that was silent.
  void recordStalled(const http::Address &Target, TimePoint SilentSince);
  /// A request that was sent waits at a silent target; again while it does.
  void recordWaiting(const http::Address &Target, TimePoint SilentSince);

  /// Finds out whether a new connection to any target was made after \p Since,
  /// by probes if need be. \p Done gets the answer within one round of probes;
  /// true also if there are too few targets to tell. May be called from here.
  void verify(TimePoint Since, std::function<void(bool IsReached)> Done);

private:
  void recordFailure(const http::Address &Target, TimePoint SilentSince);
  void recordProbe(const std::string &Address, reach::ProbeResult Result);
  void connect(const std::string &Address, TimePoint Deadline);
  /// Asks for the target's health check.
  void ask(const std::string &Address, const std::string &Path,
           TimePoint Deadline);
  /// Starts the probes that are due and answers who waits for them.
  void advance();
  void advanceSoon(TimePoint When);
  void logChange(TimePoint Now);

  event_base *m_Loop;
  http::Pool &m_Connections;
  const FleetView &m_Fleet;
  EntryMetrics &m_Metrics;
  reach::State m_State;
  reach::Phase m_Logged = reach::Phase::Direct;
  TimePoint m_CutAt;
  std::map<std::string, std::unique_ptr<http::ListenerProbe>> m_Probes;
  std::map<std::string, std::shared_ptr<http::ClientCall>> m_Questions;
  std::vector<std::function<void(bool)>> m_Waiting;
  std::unique_ptr<http::Timer> m_Next;
  TimePoint m_NextAt;
  std::function<void()> m_OnChange;
};

/// What an entry tells the platform and its callers while it is cut. A balancer
/// may use entries that are not ready when no other one of their zone is.
enum class CutReadiness : std::uint8_t {
  StaysReady,
  TurnsUnready,
  TurnsUnreadyUnlessForwarding, ///< Ready while another entry takes requests.
};
inline constexpr CutReadiness WhileCut =
    CutReadiness::TurnsUnreadyUnlessForwarding;

bool turnsCallersAway(CutReadiness Policy, const TargetReach &Reach,
                      bool CanForward);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_TARGETREACH_H
