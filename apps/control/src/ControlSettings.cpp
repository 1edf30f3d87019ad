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

/// The seeds stand for the members that settings would name.
static void findMembers(daemon::Discovery Found, ControlSettings &To) {
  for (const NodeId &Seed : Found.m_Seeds)
    To.m_Members.push_back({Seed, "", daemon::hubAddress(Found, Seed), ""});
  To.m_Discovery = std::move(Found);
}

Result<ControlSettings> toControlSettings(const Json &Document) {
  ControlSettings Made;
  Made.m_Id = {Document["id"]};
  Made.m_Region = {Document["region"]};
  Made.m_Zone = {Document["zone"]};
  if (Document.contains("keys"))
    Made.m_Keys = {Document["keys"]["public"], Document["keys"]["secret"]};
  Made.m_Listen = Document["listen"];
  Made.m_DataFolder = Document["data_folder"];
  Made.m_ClusterId = Document["cluster_id"];
  if (Document.contains("operators")) {
    const Json &Given = Document["operators"];
    const auto Operators =
        http::parseAddress(Given["listen"].get<std::string>());
    if (failed(Operators))
      return errorOf(Operators);
    Made.m_OperatorsListen = valueOf(Operators);
    for (const Json &Entry : Given["tokens"])
      Made.m_Operators.push_back({Entry["name"], Entry["token_hash"]});
  }
  const auto Admin =
      http::parseAddress(Document["admin"]["listen"].get<std::string>());
  if (failed(Admin))
    return errorOf(Admin);
  Made.m_AdminListen = valueOf(Admin);
  for (const Json &Entry : Document.value("members", Json::array()))
    Made.m_Members.push_back({{Entry["id"]},
                              Entry["public_key"],
                              Entry["address"],
                              Entry["operators"]});
  for (const Json &Entry : Document.value("entries", Json::array()))
    Made.m_Entries.push_back({{Entry["id"]}, Entry["public_key"], ""});
  if (Document.contains("discovery"))
    findMembers(daemon::readDiscovery(Document["discovery"]), Made);
  if (Document.contains("registry")) {
    const Json &Given = Document["registry"];
    const auto Listen = http::parseAddress(Given["listen"].get<std::string>());
    if (failed(Listen))
      return errorOf(Listen);
    Made.m_RegistryListen = valueOf(Listen);
    Made.m_ChangesRoles = Given.value("change_roles", Made.m_ChangesRoles);
    const Json Zones = Given.value("zones", Json::object());
    for (const auto &[Zone, Region] : Zones.items())
      Made.m_Regions[{Zone}] = {Region.get<std::string>()};
  }
  return Made;
}

} // namespace wasabivale::control
