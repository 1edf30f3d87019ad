#include "EntrySettings.h"

#include "daemon/daemon.h"

namespace wasabivale::entry {

using settings::Json;

Json entrySchema() {
  Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "required": ["id", "region", "zone", "admin"],
    "anyOf": [{"required": ["keys", "control", "callers", "targets"]},
              {"required": ["discovery", "routes"]}],
    "properties": {
      "id": {"$ref": "#/definitions/name"},
      "region": {"$ref": "#/definitions/name"},
      "zone": {"$ref": "#/definitions/name"},
      "memory_mb": {"type": "integer", "minimum": 32, "maximum": 1048576},
      "keys": {"type": "object", "additionalProperties": false,
        "required": ["public", "secret"],
        "properties": {"public": {"$ref": "#/definitions/z85_key"},
                       "secret": {"$ref": "#/definitions/z85_key"}}},
      "control": {"type": "array", "minItems": 1, "maxItems": 7,
        "items": {"type": "object", "additionalProperties": false,
          "required": ["id", "address", "public_key"],
          "properties": {"id": {"$ref": "#/definitions/name"},
            "address": {"$ref": "#/definitions/address"},
            "public_key": {"$ref": "#/definitions/z85_key"}}}},
      "callers": {"type": "object", "additionalProperties": false,
        "required": ["listen"],
        "properties": {
          "listen": {"$ref": "#/definitions/address"},
          "header_bytes": {"type": "integer", "minimum": 1024,
                           "maximum": 1048576},
          "body_bytes": {"type": "integer", "minimum": 1024,
                         "maximum": 67108864},
          "connections": {"type": "integer", "minimum": 1,
                          "maximum": 1000000},
          "streams": {"type": "integer", "minimum": 1, "maximum": 1000000},
          "pending_bytes": {"type": "integer", "minimum": 4096,
                            "maximum": 67108864},
          "reader_patience_ms": {"type": "integer", "minimum": 100,
                                 "maximum": 3600000},
          "request_ms": {"type": "integer", "minimum": 100,
                         "maximum": 3600000},
          "queue": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "allow_anonymous": {"type": "boolean"}}},
      "routing": {"type": "object", "additionalProperties": false,
        "properties": {
          "policy": {"type": "string", "enum": ["round_robin",
            "least_reported_load", "affinity_and_work"]},
          "entries": {"type": "integer", "minimum": 1, "maximum": 1000},
          "token_patience_ms": {"type": "integer", "minimum": 100,
                                "maximum": 3600000},
          "call_patience_ms": {"type": "integer", "minimum": 100,
                               "maximum": 3600000}}},
      "discovery": {"$ref": "#/definitions/discovery"},
      "routes": {"type": "object", "additionalProperties": false,
        "required": ["listen", "readiness"],
        "properties": {
          "listen": {"$ref": "#/definitions/address"},
          "readiness": {"$ref": "#/definitions/address"},
          "forward_listen": {"$ref": "#/definitions/address"},
          "retry_share": {"type": "number", "minimum": 0, "maximum": 1},
          "retry_reserve": {"type": "number", "minimum": 0,
                            "maximum": 1000000},
          "usage_window_s": {"type": "number", "minimum": 0.1,
                             "maximum": 86400},
          "revoke_within_ms": {"type": "integer", "minimum": 100,
                               "maximum": 3600000}}},
      "stop_within_s": {"type": "number", "minimum": 1, "maximum": 3600},
      "stop_lag_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
      "targets": {"type": "object", "additionalProperties": false,
        "required": ["listen"],
        "properties": {"listen": {"$ref": "#/definitions/address"}}},
      "admin": {"type": "object", "additionalProperties": false,
        "required": ["listen"],
        "properties": {"listen": {"$ref": "#/definitions/address"}}},
      "stop_patience_ms": {"type": "integer", "minimum": 0,
                           "maximum": 3600000}
    }})");
  Schema["definitions"] = daemon::sharedDefinitions();
  return Schema;
}

static Status readAddress(const Json &From, http::Address &To) {
  const auto Parsed = http::parseAddress(From["listen"].get<std::string>());
  if (failed(Parsed))
    return errorOf(Parsed);
  To = valueOf(Parsed);
  return std::monostate{};
}

static void readLimits(const Json &From, EntrySettings &To) {
  To.m_CallerLimits.m_HeaderBytes =
      From.value("header_bytes", To.m_CallerLimits.m_HeaderBytes);
  To.m_CallerLimits.m_BodyBytes =
      From.value("body_bytes", To.m_CallerLimits.m_BodyBytes);
  To.m_CallerLimits.m_Connections =
      From.value("connections", To.m_CallerLimits.m_Connections);
  To.m_CallerLimits.m_FirstRequest = std::chrono::milliseconds(
      From.value("request_ms", To.m_CallerLimits.m_FirstRequest.count()));
  To.m_Streams = From.value("streams", To.m_Streams);
  To.m_PendingBytes = From.value("pending_bytes", To.m_PendingBytes);
  To.m_Queue = From.value("queue", To.m_Queue);
  To.m_AllowAnonymous = From.value("allow_anonymous", To.m_AllowAnonymous);
  To.m_ReaderPatience = std::chrono::milliseconds(
      From.value("reader_patience_ms", To.m_ReaderPatience.count()));
}

static void readRouting(const Json &From, EntrySettings &To) {
  if (const auto Policy = routing::policyFromName(From.value("policy", "")))
    To.m_Policy = *Policy;
  To.m_Entries = From.value("entries", To.m_Entries);
  To.m_Patience.m_Token = std::chrono::milliseconds(
      From.value("token_patience_ms", To.m_Patience.m_Token.count()));
  To.m_Patience.m_Call = std::chrono::milliseconds(
      From.value("call_patience_ms", To.m_Patience.m_Call.count()));
}

static Status readRoutes(const Json &From, EntrySettings &To) {
  RouteSettings Made;
  const std::pair<const char *, http::Address *> Addresses[] = {
      {"listen", &Made.m_Listen},
      {"readiness", &Made.m_ReadinessListen},
      {"forward_listen", &Made.m_ForwardListen}};
  for (const auto &[Name, Into] : Addresses) {
    if (!From.contains(Name))
      continue; // The schema requires the others.
    const auto Parsed = http::parseAddress(From[Name].get<std::string>());
    if (failed(Parsed))
      return errorOf(Parsed);
    *Into = valueOf(Parsed);
  }
  Made.m_RetryShare = From.value("retry_share", Made.m_RetryShare);
  Made.m_RetryReserve = From.value("retry_reserve", Made.m_RetryReserve);
  constexpr double MillisecondsPerSecond = 1000;
  if (From.contains("usage_window_s"))
    Made.m_UsageWindow = std::chrono::milliseconds(static_cast<std::int64_t>(
        From["usage_window_s"].get<double>() * MillisecondsPerSecond));
  if (From.contains("revoke_within_ms"))
    Made.m_RevokeWithin =
        std::chrono::milliseconds(From["revoke_within_ms"].get<std::int64_t>());
  To.m_Routes = Made;
  return std::monostate{};
}

/// Entries that find control by themselves have internal ports in a row. Their
/// settings don't name this one, so that versions without it can read them.
static void deriveForwardListen(EntrySettings &Settings) {
  constexpr std::uint16_t LastPort = 65'535;
  if (!Settings.m_Routes || Settings.m_Routes->m_ForwardListen.m_Port != 0 ||
      Settings.m_HubPort == 0 || Settings.m_HubPort == LastPort)
    return;
  Settings.m_Routes->m_ForwardListen = {
      Settings.m_Routes->m_Listen.m_Host,
      static_cast<std::uint16_t>(Settings.m_HubPort + 1)};
}

/// Divides the time between the order to stop and the kill: first the balancer
/// notices, then running requests finish, and the rest is for closing
/// connections.
static void shareStopTime(double Seconds, EntrySettings &To) {
  // The balancer asks once a second and takes two misses for an answer.
  constexpr std::chrono::milliseconds LongestLag{2'800};
  constexpr double LagPart = 0.4;
  constexpr double AnswerPart = 0.95;
  constexpr double MillisecondsPerSecond = 1000;
  const auto Part = [&](double Of) {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(Seconds * Of * MillisecondsPerSecond));
  };
  To.m_StopLag = std::min(Part(LagPart), LongestLag);
  To.m_StopPatience = Part(AnswerPart) - To.m_StopLag;
}

Result<EntrySettings> toEntrySettings(const Json &Document) {
  EntrySettings Made;
  Made.m_Id = {Document["id"]};
  Made.m_Region = {Document["region"]};
  Made.m_Zone = {Document["zone"]};
  if (Document.contains("keys"))
    Made.m_Keys = {Document["keys"]["public"], Document["keys"]["secret"]};
  for (const Json &Entry : Document.value("control", Json::array()))
    Made.m_Control.push_back(
        {{Entry["id"]}, Entry["public_key"], Entry["address"]});
  const std::pair<const char *, http::Address *> Addresses[] = {
      {"callers", &Made.m_CallersListen},
      {"targets", &Made.m_TargetsListen},
      {"admin", &Made.m_AdminListen}};
  for (const auto &[Name, To] : Addresses)
    if (Document.contains(Name))
      if (Status Read = readAddress(Document[Name], *To); failed(Read))
        return errorOf(Read);
  readLimits(Document.value("callers", Json::object()), Made);
  Made.m_CallerLimits.m_Memory = http::makeBudget(
      Document.value("memory_mb", http::DefaultMachineMegabytes),
      Made.m_CallerLimits.m_BodyBytes);
  if (Document.contains("discovery")) {
    const daemon::Discovery Found =
        daemon::readDiscovery(Document["discovery"]);
    Made.m_HubPort = Found.m_HubPort;
    for (const NodeId &Seed : Found.m_Seeds)
      Made.m_Control.push_back({Seed, "", daemon::hubAddress(Found, Seed)});
  }
  if (Document.contains("routes"))
    if (Status Read = readRoutes(Document["routes"], Made); failed(Read))
      return errorOf(Read);
  deriveForwardListen(Made);
  readRouting(Document.value("routing", Json::object()), Made);
  Made.m_StopLag = std::chrono::milliseconds(
      Document.value("stop_lag_ms", Made.m_StopLag.count()));
  Made.m_StopPatience = std::chrono::milliseconds(
      Document.value("stop_patience_ms", Made.m_StopPatience.count()));
  if (Document.contains("stop_within_s"))
    shareStopTime(Document["stop_within_s"].get<double>(), Made);
  return Made;
}

} // namespace wasabivale::entry
