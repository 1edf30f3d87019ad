/// \file
/// Duties towards the platform, on the leader: reports the usage of customers
/// and orders the number of targets. What is sent was committed before, so that
/// the next holder sends the same.

#ifndef WASABIVALE_CONTROL_PLATFORMDUTIES_H
#define WASABIVALE_CONTROL_PLATFORMDUTIES_H

#include "ControlSettings.h"
#include "duties/duties.h"
#include "fleet/fleet.h"
#include "http/http.h"
#include "metrics/metrics.h"
#include "platform/platform.h"

#include <array>
#include <functional>
#include <memory>

namespace wasabivale::control {

class PlatformDuties {
public:
  struct LeaderHooks {
    /// Whether this process holds the lease of the leader for long enough.
    std::function<bool()> m_MaySend;
    std::function<void(const std::string &Key, wire::Command)> m_Propose;
  };

  PlatformDuties(event_base *Loop, metrics::Registry &Registry,
                 const DutySettings &Settings, LeaderHooks Hooks);
  ~PlatformDuties();
  PlatformDuties(const PlatformDuties &) = delete;
  PlatformDuties &operator=(const PlatformDuties &) = delete;

  /// \param Decided by former holders.
  void startTerm(std::uint64_t Term, const fleet::Duties &Decided,
                 TimePoint Now);
  void endTerm();
  /// Takes over what an entry has counted.
  void handleReport(const NodeId &Entry, std::uint64_t Session,
                    const wire::EntryReport &Report,
                    const fleet::Duties &Decided);
  /// Follows the time of day, also while this process does not lead: a clock
  /// that has just jumped is not believed at once.
  void sampleClock(TimePoint Now);
  /// Does what is due. To be called several times a second.
  void tick(const fleet::State &Known, TimePoint Now);

private:
  /// Sends a call, which ends by itself.
  std::shared_ptr<http::ClientCall>
  call(const char *Duty, http::ClientRequest What, TimePoint Now,
       std::function<void(platform::DutyAnswer)> Done);
  [[nodiscard]] platform::DutyHolder holder() const;
  void closeWindow(const fleet::State &Known, TimePoint Now);
  void reportUsage(const fleet::Duties &Decided, TimePoint Now);
  void proposeReported(std::uint64_t Window);
  void orderTargets(const fleet::State &Known, TimePoint Now);
  void order(const duties::ScaleOrder &Due, const routes::Scaling &Bounds,
             TimePoint Now);

  metrics::Registry &m_Registry;
  const DutySettings &m_Settings;
  LeaderHooks m_Hooks;
  /// The kernel gives a connection up whose bytes stay unacknowledged, so that
  /// a call does not arrive after the next holder's.
  http::Pool m_Connections;
  std::uint64_t m_Term = 0; ///< Zero: this process does not lead.
  /// Nothing is sent before: calls of the former holder have ended by then.
  TimePoint m_SendFrom;
  duties::WallClock m_Clock;
  std::optional<Duration> m_UsageSince; ///< Time of day.
  duties::UsageTable m_Usage;
  duties::ScalingState m_Scaling;
  /// A call may end before it is returned, so that the reference alone does not
  /// tell whether one is open.
  struct OpenCall {
    bool m_IsOpen = false;
    std::shared_ptr<http::ClientCall> m_Call;
  };
  OpenCall m_UsageCall;
  TimePoint m_NextUsageCall;
  /// The newest window that the platform has taken in this term.
  std::optional<std::uint64_t> m_TakenWindow;
  /// The platform has seen a higher token: the term is over, which this process
  /// has not heard of.
  bool m_IsFenced = false;
  /// By service and zone; usual, reclaimable.
  std::map<std::pair<std::string, ZoneId>, std::array<OpenCall, 2>>
      m_ScaleCalls;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_PLATFORMDUTIES_H
