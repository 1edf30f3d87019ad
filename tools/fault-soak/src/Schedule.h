/// \file
/// The faults of a run, drawn from a random number generator only, so that two
/// runs with the same number inject the same.

#ifndef WASABIVALE_FAULTSOAK_SCHEDULE_H
#define WASABIVALE_FAULTSOAK_SCHEDULE_H

#include "base/base.h"

#include <string_view>
#include <vector>

namespace wasabivale::soak {

enum class Fault : std::uint8_t {
  StopEntry,     ///< SIGTERM, and a restart after its end.
  KillEntry,     ///< SIGKILL, and a restart.
  PauseEntry,    ///< SIGSTOP, and SIGCONT later.
  ReloadEntry,   ///< Changed settings, and SIGHUP.
  DelayLinks,    ///< Bytes between an entry and a target arrive late.
  ResetLinks,    ///< The connections of an entry to a target are reset.
  SilenceTarget, ///< A target neither reads nor answers.
  CrashTarget,   ///< A target ends, and starts under the same or another id.
  LeaveTarget,   ///< A target drains, leaves and is replaced.
  StopControl,
  KillControl,
  PauseControl,
  ChangeRoutes,  ///< The operator puts another configuration.
  CutEntry,      ///< An entry loses all targets, one way or both.
  CutHalf,       ///< Half of the entries do.
  UpgradeTarget, ///< A target restarts with another software version.
  StopAgain,     ///< Another SIGTERM for an entry that stops already.
};

const char *faultName(Fault Kind);

struct Step {
  std::chrono::milliseconds m_Offset; ///< Since the start of the faults.
  /// Of the fault, or until a restart.
  std::chrono::milliseconds m_Length;
  Fault m_Fault = Fault::StopEntry;
  unsigned m_Machine = 0; ///< Entry, control member or target.
  unsigned m_Peer = 0;    ///< The target of a link.
  unsigned m_Variant = 0;
};

struct Shape {
  std::chrono::milliseconds m_Length{20'000};
  unsigned m_Entries = 4;
  unsigned m_Control = 3;
  unsigned m_Targets = 8;
  bool m_Cuts = false;     ///< `CutEntry` and `CutHalf` occur.
  bool m_Upgrades = false; ///< `UpgradeTarget` occurs.
  /// Several targets are upgraded while an entry is paused, and crash when it
  /// goes on.
  bool m_Releases = false;
  /// Entries are stopped one after the other and start again at once, beside
  /// reloads and changes of the configuration; no other faults are drawn, as
  /// they excuse what they touch.
  bool m_Stops = false;
  /// With `m_Stops`: reloads, changes and further SIGTERMs come late in a stop
  /// and as the next process starts.
  bool m_Late = false;
  /// With `m_Stops`: all entries are stopped in turn, again and again; a wave
  /// begins while entries of the one before still start.
  bool m_Waves = false;
  /// Between the stops of a wave.
  std::chrono::milliseconds m_WaveGap{250};
  /// Processes are stopped and started more often.
  bool m_HasTwoBuilds = false;
};

/// What a process is started with, where two builds run side by side.
struct Launch {
  bool m_IsOtherBuild = false;
  bool m_HasOtherSettings = false; ///< Of the build that it is not.
};

/// Draws what the start \p Number of \p Process uses.
/// \param OtherShare how many of 100 starts are of the other build.
Launch drawLaunch(std::uint64_t Seed, std::string_view Process, unsigned Number,
                  unsigned OtherShare);

/// Series of faults that overlap, in the order of their times. At most one
/// control member is disturbed at a time.
std::vector<Step> makeSchedule(std::uint64_t Seed, const Shape &Size);

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_SCHEDULE_H
