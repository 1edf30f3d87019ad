#include "ControlSettings.h"

#include "daemon/daemon.h"

namespace wasabivale::control {

using settings::Json;

Json controlSchema() {
  Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "required": ["id", "region", "zone", "listen", "admin", "data_folder",
                 "cluster_id"],
    "anyOf": [{"required": ["keys", "operators", "members", "entries"]},
              {"required": ["discovery", "registry"]}],
    "properties": {
      "id": {"$ref": "#/definitions/name"},
      "region": {"$ref": "#/definitions/name"},
      "zone": {"$ref": "#/definitions/name"},
      "memory_mb": {"type": "integer", "minimum": 32, "maximum": 1048576},
      "keys": {"type": "object", "additionalProperties": false,
        "required": ["public", "secret"],
        "properties": {"public": {"$ref": "#/definitions/z85_key"},
                       "secret": {"$ref": "#/definitions/z85_key"}}},
      "listen": {"$ref": "#/definitions/address"},
      "admin": {"type": "object", "additionalProperties": false,
        "required": ["listen"],
        "properties": {"listen": {"$ref": "#/definitions/address"}}},
      "operators": {"type": "object", "additionalProperties": false,
        "required": ["listen", "tokens"],
        "properties": {
          "listen": {"$ref": "#/definitions/address"},
          "tokens": {"type": "array", "items": {"type": "object",
            "additionalProperties": false, "required": ["name", "token_hash"],
            "properties": {"name": {"$ref": "#/definitions/name"},
              "token_hash": {"type": "string",
                             "pattern": "^[0-9a-f]{64}$"}}}}}},
      "data_folder": {"type": "string", "minLength": 1},
      "cluster_id": {"$ref": "#/definitions/name"},
      "discovery": {"$ref": "#/definitions/discovery"},
      "registry": {"type": "object", "additionalProperties": false,
        "required": ["listen"],
        "properties": {"listen": {"$ref": "#/definitions/address"},
          "change_roles": {"type": "boolean"},
          "zones": {"type": "object",
                    "additionalProperties": {"type": "string"}}}},
      "duties": {"type": "object", "additionalProperties": false,
        "required": ["address", "holder", "names"],
        "properties": {"address": {"$ref": "#/definitions/address"},
          "holder": {"$ref": "#/definitions/name"},
          "names": {"type": "array", "items": {"type": "string"}},
          "lease_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
          "usage_window_s": {"type": "number", "minimum": 0.1,
                             "maximum": 86400}}},
      "members": {"type": "array", "minItems": 1, "maxItems": 7,
        "items": {"type": "object", "additionalProperties": false,
          "required": ["id", "address", "public_key", "operators"],
          "properties": {"id": {"$ref": "#/definitions/name"},
            "address": {"$ref": "#/definitions/address"},
            "operators": {"$ref": "#/definitions/address"},
            "public_key": {"$ref": "#/definitions/z85_key"}}}},
      "entries": {"type": "array",
        "items": {"type": "object", "additionalProperties": false,
          "required": ["id", "public_key"],
          "properties": {"id": {"$ref": "#/definitions/name"},
            "public_key": {"$ref": "#/definitions/z85_key"}}}}
    }})");
  Schema["definitions"] = daemon::sharedDefinitions();
  return Schema;
}

/// Uses the seeds as members, which the settings file does not name here.
static void addSeeds(daemon::Discovery Discovery, ControlSettings &Settings) {
  for (const NodeId &Seed : Discovery.m_Seeds)
    Settings.m_Members.push_back(
        {Seed, "", daemon::hubAddress(Discovery, Seed), ""});
  Settings.m_Discovery = std::move(Discovery);
}

static Result<DutySettings> readDuties(const Json &Section) {
  constexpr double MillisecondsPerSecond = 1000;
  DutySettings Duties;
  const auto Address =
      http::parseAddress(Section["address"].get<std::string>());
  if (failed(Address))
    return errorOf(Address);
  Duties.m_Address = valueOf(Address);
  Duties.m_Holder = Section["holder"];
  for (const Json &Name : Section["names"]) {
    Duties.m_ReportsUsage = Duties.m_ReportsUsage || Name == "usage_report";
    Duties.m_OrdersTargets = Duties.m_OrdersTargets || Name == "autoscale";
  }
  Duties.m_Lease = std::chrono::milliseconds(
      Section.value("lease_ms", Duties.m_Lease.count()));
  if (Section.contains("usage_window_s"))
    Duties.m_UsageWindow = std::chrono::milliseconds(static_cast<std::int64_t>(
        Section["usage_window_s"].get<double>() * MillisecondsPerSecond));
  return Duties;
}

Result<ControlSettings> toControlSettings(const Json &Document) {
  ControlSettings Settings;
  Settings.m_Id = {Document["id"]};
  Settings.m_Region = {Document["region"]};
  Settings.m_Zone = {Document["zone"]};
  if (Document.contains("keys"))
    Settings.m_Keys = {Document["keys"]["public"], Document["keys"]["secret"]};
  Settings.m_Listen = Document["listen"];
  Settings.m_DataFolder = Document["data_folder"];
  Settings.m_Limits.m_Memory = http::makeBudget(
      Document.value("memory_mb", http::DefaultMachineMegabytes),
      Settings.m_Limits.m_BodyBytes);
  Settings.m_ClusterId = Document["cluster_id"];
  if (Document.contains("operators")) {
    const Json &Section = Document["operators"];
    const auto Operators =
        http::parseAddress(Section["listen"].get<std::string>());
    if (failed(Operators))
      return errorOf(Operators);
    Settings.m_OperatorsListen = valueOf(Operators);
    for (const Json &Entry : Section["tokens"])
      Settings.m_Operators.push_back({Entry["name"], Entry["token_hash"]});
  }
  const auto Admin =
      http::parseAddress(Document["admin"]["listen"].get<std::string>());
  if (failed(Admin))
    return errorOf(Admin);
  Settings.m_AdminListen = valueOf(Admin);
  for (const Json &Entry : Document.value("members", Json::array()))
    Settings.m_Members.push_back({{Entry["id"]},
                                  Entry["public_key"],
                                  Entry["address"],
                                  Entry["operators"]});
  for (const Json &Entry : Document.value("entries", Json::array()))
    Settings.m_Entries.push_back({{Entry["id"]}, Entry["public_key"], ""});
  if (Document.contains("discovery"))
    addSeeds(daemon::readDiscovery(Document["discovery"]), Settings);
  if (Document.contains("registry")) {
    const Json &Section = Document["registry"];
    const auto Listen =
        http::parseAddress(Section["listen"].get<std::string>());
    if (failed(Listen))
      return errorOf(Listen);
    Settings.m_RegistryListen = valueOf(Listen);
    Settings.m_ChangesRoles =
        Section.value("change_roles", Settings.m_ChangesRoles);
    const Json Zones = Section.value("zones", Json::object());
    for (const auto &[Zone, Region] : Zones.items())
      Settings.m_Regions[{Zone}] = {Region.get<std::string>()};
  }
  if (Document.contains("duties")) {
    Result<DutySettings> Duties = readDuties(Document["duties"]);
    if (failed(Duties))
      return errorOf(Duties);
    Settings.m_Duties = std::move(valueOf(Duties));
  }
  return Settings;
}

} // namespace wasabivale::control
