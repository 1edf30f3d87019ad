/// \file
/// Settings of a control member.

#ifndef WASABIVALE_CONTROL_CONTROLSETTINGS_H
#define WASABIVALE_CONTROL_CONTROLSETTINGS_H

#include "daemon/daemon.h"
#include "http/http.h"
#include "settings/settings.h"
#include "wire/wire.h"

#include <map>
#include <optional>

namespace wasabivale::control {

/// An operator's name and the digest of its bearer token.
struct Operator {
  std::string m_Name;
  std::string m_TokenHash;
};

/// A control member that the settings name.
struct MemberAddress {
  NodeId m_Id;
  std::string m_PublicKey;
  std::string m_Address;          ///< For other processes, `ip:port`.
  std::string m_OperatorsAddress; ///< For operators, `ip:port`.
};

/// Duties towards the platform; the leader of control holds them.
struct DutySettings {
  http::Address m_Address; ///< Of the platform's calls.
  std::string m_Holder;    ///< Name that the calls carry.
  bool m_ReportsUsage = false;
  bool m_OrdersTargets = false;
  /// Holders must not take turns within this time.
  std::chrono::milliseconds m_Lease{3'000};
  std::chrono::milliseconds m_UsageWindow{5'000};
};

struct ControlSettings {
  NodeId m_Id;
  RegionId m_Region;
  ZoneId m_Zone;
  wire::KeyPair m_Keys;
  std::string m_Listen;
  http::Address m_OperatorsListen;
  http::Address m_AdminListen;
  /// Of every listener.
  http::ServerLimits m_Limits;
  std::string m_DataFolder;
  std::string m_ClusterId;
  std::vector<MemberAddress> m_Members; ///< Includes this member.
  std::vector<wire::Peer> m_Entries;
  std::vector<Operator> m_Operators;
  /// Set where members discover each other. Their ids are IP addresses then,
  /// and the group repairs itself.
  std::optional<daemon::Discovery> m_Discovery;
  /// Address to which targets report and routes are put; empty if unused.
  std::optional<http::Address> m_RegistryListen;
  /// Whether the leader changes engine roles to match prefill and decode load.
  bool m_ChangesRoles = false;
  std::map<ZoneId, RegionId> m_Regions; ///< Region of each zone.
  std::optional<DutySettings> m_Duties;
};

/// JSON schema of the settings file.
settings::Json controlSchema();

/// \pre Document is valid under `controlSchema`.
Result<ControlSettings> toControlSettings(const settings::Json &Document);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_CONTROLSETTINGS_H
