/// \file
/// Duties towards the platform, of which one control member is the holder at a
/// time: reporting the usage of customers, and ordering the number of targets
/// of a service.
///
/// Pure decision logic over plain structs, without I/O or clock. Entries count
/// (`UsageCounts`); the leader of control collects what they report
/// (`UsageTable`) and decides what is due.

#ifndef WASABIVALE_DUTIES_DUTIES_H
#define WASABIVALE_DUTIES_DUTIES_H

#include "base/base.h"
#include "routes/routes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wasabivale::duties {

// --- Time of day
// --------------------------------------------------------------

/// A time of day that does not follow the jumps of its VM's clock at once: they
/// are mostly taken back after some seconds.
struct WallClock {
  /// Time of day less the time of `BootClock`; unset until the first sample.
  std::optional<Duration> m_Offset;
  std::optional<Duration> m_NewOffset; ///< Differs, and is not believed yet.
  TimePoint m_NewSince;
};

/// Largest difference that is taken for a correction rather than a jump.
inline constexpr std::chrono::milliseconds MaxClockCorrection{100};
/// How long a jump must hold before it is believed.
inline constexpr std::chrono::seconds ClockJumpHold{10};

/// Adds a sample of the time of day, since the Unix epoch. To be called several
/// times a second.
void addSample(WallClock &Clock, Duration TimeOfDay, TimePoint Now);

/// Time of day at \p When; nothing before the first sample.
std::optional<Duration> timeOfDay(const WallClock &Clock, TimePoint When);

// --- Usage
// --------------------------------------------------------------------

/// Number of a window of usage since the Unix epoch.
using Window = std::uint64_t;
using CustomerCounts = std::map<std::string, std::uint64_t>;
using WindowCounts = std::map<Window, CustomerCounts>;

/// \pre \p Length is positive.
Window windowAt(Duration TimeOfDay, Duration Length);

/// Windows that an entry keeps, and the leader of each entry: longer than any
/// leader needs to close them.
inline constexpr std::size_t MaxOpenWindows = 24;

/// Requests that began to run at targets, as counted by one entry.
struct UsageCounts {
  WindowCounts m_Open;
  Window m_NewestClosed = 0; ///< As told by control; zero: none.
};

/// Counts a request. What began in a closed window is lost.
void countRequest(UsageCounts &Counts, Window Began,
                  const std::string &Customer);
/// Drops the windows that control has closed.
void dropClosed(UsageCounts &Counts, Window NewestClosed);

/// What entries have reported to the leader; memory of one term.
struct UsageTable {
  /// By entry and session: a process that has started again counts anew, and
  /// what the former one reported stays.
  std::map<std::pair<NodeId, std::uint64_t>, WindowCounts> m_ByProcess;
};

/// Replaces the counts of the windows in \p Reported, which are those since the
/// start of the process. Windows up to \p NewestClosed are ignored.
void recordReport(UsageTable &Table, const NodeId &Entry, std::uint64_t Session,
                  const WindowCounts &Reported, Window NewestClosed);

struct UsageSchedule {
  Duration m_Length = std::chrono::seconds(5);
  /// Time from the end of a window until it is closed: reports of all entries
  /// have come.
  Duration m_ReportTime = std::chrono::seconds(3);
};

struct ClosedWindow {
  Window m_Window = 0;
  CustomerCounts m_Counts;
};

/// The window that is to be closed next, with its content; nothing if none is
/// due. Windows are closed in their order, also those without requests.
/// \param NewestClosed zero: none is closed yet, and the first is the earliest
/// that was reported or that contains \p Since.
std::optional<ClosedWindow> nextToClose(const UsageTable &Table,
                                        const UsageSchedule &Schedule,
                                        Window NewestClosed, Duration Since,
                                        Duration TimeOfDay);

/// Forgets windows up to \p NewestClosed.
void dropClosed(UsageTable &Table, Window NewestClosed);

// --- Number of targets
// --------------------------------------------------------

/// Targets of a service in one availability zone that serve and do not leave.
struct ZoneTargets {
  std::uint32_t m_Usual = 0;
  std::uint32_t m_Reclaimable = 0;

  [[nodiscard]] std::uint32_t total() const { return m_Usual + m_Reclaimable; }
};

struct ScaleOrder {
  std::string m_Service;
  ZoneId m_Zone;
  bool m_Reclaimable = false;
  std::uint32_t m_Count = 0;

  bool operator==(const ScaleOrder &) const = default;
};

enum class ScaleAnswer : std::uint8_t {
  Accepted,
  Unavailable, ///< There are no such targets in the zone now.
  Unclear,     ///< No answer that can be read; the order may take effect.
};

/// What the leader knows of one service in one zone; memory of one term.
struct ZoneScaling {
  /// Targets to keep in service, of both kinds together; unset until their
  /// number has settled.
  std::optional<std::uint32_t> m_Wanted;
  /// Reclaimable targets that a former leader ordered in place of usual ones.
  std::uint32_t m_WantedBefore = 0;
  ZoneTargets m_Seen;
  TimePoint m_SeenSince;
  struct Ordered {
    std::optional<std::uint32_t> m_Count; ///< Of the newest accepted order.
    TimePoint m_NotBefore;                ///< Earliest next order.
    TimePoint m_EffectBy; ///< If it has not taken effect then, it is repeated.
  };
  Ordered m_Usual;
  Ordered m_Reclaimable;
};

struct ScalingState {
  std::map<std::pair<std::string, ZoneId>, ZoneScaling> m_Zones;
};

/// Takes over an order of a former leader.
void adoptOrder(ScalingState &State, const ScaleOrder &Former);

/// The orders that are due for a service. Usual targets are replaced one for
/// one by reclaimable ones where these are cheaper; when those are taken away,
/// usual ones are ordered in their place at once.
/// \param Zones those in which the service has targets.
std::vector<ScaleOrder> dueOrders(ScalingState &State,
                                  const std::string &Service,
                                  const routes::Scaling &Bounds,
                                  const std::map<ZoneId, ZoneTargets> &Zones,
                                  TimePoint Now);

/// Records that an order is sent: no other of its kind follows meanwhile.
void recordSent(ScalingState &State, const ScaleOrder &Sent, TimePoint Now);
void recordAnswer(ScalingState &State, const ScaleOrder &Sent,
                  ScaleAnswer Answer, const routes::Scaling &Bounds,
                  TimePoint Now);

} // namespace wasabivale::duties

#endif // WASABIVALE_DUTIES_DUTIES_H
