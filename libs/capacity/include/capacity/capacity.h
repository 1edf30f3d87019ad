/// \file
/// Model of the system's size: from measured slopes and the numbers of a
/// deployment to what each role holds, sends and spends.
///
/// Everything here is arithmetic over plain structs; the program
/// `wasabivale-capacity` reads the inputs and writes the pages.

#ifndef WASABIVALE_CAPACITY_CAPACITY_H
#define WASABIVALE_CAPACITY_CAPACITY_H

#include "base/base.h"
#include "settings/settings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wasabivale::capacity {

/// One measurement: \c m_Cost units at size \c m_Size.
struct Sample {
  double m_Size = 0;
  double m_Cost = 0;
};

/// A straight line through samples.
struct Slope {
  std::string m_Name;
  std::string m_CostUnit; ///< For example `ns`, `bytes`.
  std::string m_SizeUnit; ///< For example `heartbeat`, `target`.
  double m_PerUnit = 0;
  double m_Fixed = 0;
  /// Largest distance of a sample from the line, as a share of the sample.
  double m_FitError = 0;
  std::vector<Sample> m_Samples;
};

/// Least squares of the relative errors through three samples or more of
/// different sizes.
Result<Slope> fit(std::string Name, std::string CostUnit, std::string SizeUnit,
                  std::vector<Sample> Samples);

/// \returns the cost at \p Size on the line.
double costAt(const Slope &Of, double Size);

using Slopes = std::map<std::string, Slope>;

settings::Json printSlopes(const Slopes &From);
Result<Slopes> parseSlopes(const settings::Json &From);

/// Numbers of a deployment, in the order of the users' letter.
struct Deployment {
  double m_Nodes = 0;
  double m_Runners = 0;
  double m_Accelerators = 0;
  double m_RequestsPerSecond = 0;
  double m_TokensPerSecond = 0;
  std::chrono::milliseconds m_FirstToken{0};
  std::chrono::milliseconds m_BetweenTokens{0};
  double m_PrefillShare = 0;
  double m_PrefillShareMoves = 0;
  double m_KvGigabytesPerSecond = 0;
  double m_Callers = 0;
  double m_Models = 0;
  double m_Regions = 0;
  double m_Zones = 0;
  double m_ConfigurationChangesPerDay = 0;
  std::chrono::seconds m_InForce{0};
  double m_NodeCoreShare = 0;
  double m_NodeMegabytes = 0;
  double m_NodeBytesPerSecond = 0;
  double m_ControlVms = 0;
  double m_VmFailuresPerDay = 0;
  double m_VmReplacementsPerDay = 0;
};

/// Intervals and sizes that the design fixes.
struct Design {
  std::chrono::milliseconds m_ReportInterval{0};
  std::chrono::milliseconds m_ReportIntervalAtSize{0};
  std::chrono::milliseconds m_HeartbeatInterval{0};
  std::chrono::milliseconds m_EntryLease{0};
  std::chrono::milliseconds m_LeaseAtSize{0};
  std::chrono::milliseconds m_ZoneDigestInterval{0};
  double m_NotRepeatableShare = 0;
  std::chrono::seconds m_LedgerRetention{0};
  double m_ConfigurationChangeBytes = 0;
  double m_CacheBlocksPerMessage = 0;
  double m_KvMegabytesPerBlock = 0;
  std::chrono::milliseconds m_CrossRegionRoundTrip{0};
  std::chrono::milliseconds m_CrossZoneRoundTrip{0};
};

/// JSON schemas of the two input files.
settings::Json deploymentSchema();
settings::Json designSchema();
/// \pre the document is valid under its schema.
Deployment toDeployment(const settings::Json &Document);
Design toDesign(const settings::Json &Document);

/// Whether a demand is met, and how that is known.
enum class Verdict : std::uint8_t {
  Measured,   ///< Carried, and measured up to a stated size.
  Calculated, ///< Carried by calculation from measured slopes.
  NotBuilt,   ///< Not carried yet; the row names what will carry it.
};
std::string_view verdictName(Verdict Value);

/// One line of a page.
struct Row {
  std::string m_Role;
  std::string m_What;
  std::string m_Arithmetic; ///< With the numbers put in.
  double m_Value = 0;
  std::string m_Unit;
  double m_Limit = 0; ///< Zero when there is none.
  std::string m_Mechanism;
  Verdict m_Verdict = Verdict::Calculated;
};

/// What each role holds, sends and spends.
Result<std::vector<Row>> roleRows(const Deployment &Size, const Design &By,
                                  const Slopes &Measured);

/// Each demand of the letter with its verdict.
Result<std::vector<Row>> demandRows(const Deployment &Size, const Design &By,
                                    const Slopes &Measured);

/// Rows as a Markdown table.
std::string printRows(const std::vector<Row> &Rows);
std::string printSlopeTable(const Slopes &From);

/// Replaces what stands between `<!-- begin NAME -->` and `<!-- end NAME -->`.
/// \returns an error when a marker is missing.
Result<std::string> replaceSection(std::string_view Page, std::string_view Name,
                                   std::string_view Text);

} // namespace wasabivale::capacity

#endif // WASABIVALE_CAPACITY_CAPACITY_H
