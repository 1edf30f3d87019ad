/// \file
/// Settings of the fake targets: a JSON file, command line options, or both.

#ifndef WASABIVALE_FAKETARGETS_SETTINGS_H
#define WASABIVALE_FAKETARGETS_SETTINGS_H

#include "enginemodel/enginemodel.h"
#include "targets/targets.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace wasabivale::faketargets {

/// What all targets of the process share.
struct Settings {
  std::uint64_t m_Engines = 1;
  std::uint64_t m_Services = 0;
  std::string m_Host = "127.0.0.1";
  std::uint16_t m_FirstPort = 9001;
  /// Faults and metrics; no such port when 0.
  std::uint16_t m_AdminPort = 0;
  std::string m_IdPrefix;
  std::vector<http::Address> m_Announce;
  std::string m_Region = "region-1";
  std::vector<std::string> m_Zones{"zone-1"}; ///< Targets take turns.
  std::vector<std::string> m_Models{"gourd-8b"};
  std::vector<std::string> m_ServiceNames{"book", "stock"};
  targets::Role m_Role = targets::Role::Mixed;
  bool m_ChecksFence = true;
  std::uint64_t m_Seed = 1;
  std::string m_JudgeLog;
  enginemodel::Settings m_Model;
  std::uint64_t m_PieceTokens = 1; ///< Least tokens of a line but the last.
  std::chrono::milliseconds m_ServiceTime{5};
  std::chrono::milliseconds m_ReportLag{0};
  std::chrono::milliseconds m_CacheDelay{500};
  double m_CacheDropShare = 0;
  /// Longest stay after SIGTERM when no order withdraws the target.
  std::chrono::milliseconds m_LeaveWait{3000};
};

/// JSON schema of the settings file; the keys are those of `apply`.
nlohmann::json schema();

/// Settings from a document that fits the schema.
Result<Settings> fromJson(const nlohmann::json &Document);

/// Announcements of the targets that the settings ask for, engines first.
/// Their incarnation is empty.
std::vector<targets::Announcement> announcements(const Settings &From);

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_SETTINGS_H
