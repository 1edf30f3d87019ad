#include "capacity/capacity.h"

namespace wasabivale::capacity {

using settings::Json;

namespace {

template <typename T> struct NumberField {
  const char *m_Key;
  double T::*m_To;
};
template <typename T, typename Unit> struct TimeField {
  const char *m_Key;
  Unit T::*m_To;
};

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr NumberField<Deployment> DeploymentNumbers[] = {
    {"nodes", &Deployment::m_Nodes},
    {"runners", &Deployment::m_Runners},
    {"accelerators", &Deployment::m_Accelerators},
    {"requests_per_second", &Deployment::m_RequestsPerSecond},
    {"tokens_per_second", &Deployment::m_TokensPerSecond},
    {"prefill_share", &Deployment::m_PrefillShare},
    {"prefill_share_moves_in_a_day", &Deployment::m_PrefillShareMoves},
    {"kv_gigabytes_per_second", &Deployment::m_KvGigabytesPerSecond},
    {"callers", &Deployment::m_Callers},
    {"models", &Deployment::m_Models},
    {"regions", &Deployment::m_Regions},
    {"zones", &Deployment::m_Zones},
    {"configuration_changes_per_day",
     &Deployment::m_ConfigurationChangesPerDay},
    {"node_core_share", &Deployment::m_NodeCoreShare},
    {"node_memory_mb", &Deployment::m_NodeMegabytes},
    {"node_bytes_per_second", &Deployment::m_NodeBytesPerSecond},
    {"control_vms", &Deployment::m_ControlVms},
    {"vm_failures_per_day", &Deployment::m_VmFailuresPerDay},
    {"vm_replacements_per_day", &Deployment::m_VmReplacementsPerDay}};
constexpr TimeField<Deployment, milliseconds> DeploymentTimes[] = {
    {"first_token_ms", &Deployment::m_FirstToken},
    {"between_tokens_ms", &Deployment::m_BetweenTokens}};
constexpr TimeField<Deployment, seconds> DeploymentSeconds[] = {
    {"in_force_s", &Deployment::m_InForce}};

constexpr NumberField<Design> DesignNumbers[] = {
    {"not_repeatable_share", &Design::m_NotRepeatableShare},
    {"configuration_change_bytes", &Design::m_ConfigurationChangeBytes},
    {"cache_blocks_per_event_message", &Design::m_CacheBlocksPerMessage},
    {"kv_bytes_per_block_mb", &Design::m_KvMegabytesPerBlock}};
constexpr TimeField<Design, milliseconds> DesignTimes[] = {
    {"report_interval_ms", &Design::m_ReportInterval},
    {"report_interval_at_size_ms", &Design::m_ReportIntervalAtSize},
    {"heartbeat_interval_ms", &Design::m_HeartbeatInterval},
    {"entry_lease_ms", &Design::m_EntryLease},
    {"lease_at_size_ms", &Design::m_LeaseAtSize},
    {"zone_digest_interval_ms", &Design::m_ZoneDigestInterval},
    {"cross_region_round_trip_ms", &Design::m_CrossRegionRoundTrip},
    {"cross_zone_round_trip_ms", &Design::m_CrossZoneRoundTrip}};
constexpr TimeField<Design, seconds> DesignSeconds[] = {
    {"ledger_retention_s", &Design::m_LedgerRetention}};

template <typename Fields> void addToSchema(Json &Schema, const Fields &From) {
  for (const auto &Field : From) {
    Schema["properties"][Field.m_Key] = {{"type", "number"}, {"minimum", 0}};
    Schema["required"].push_back(Field.m_Key);
  }
}

Json emptySchema() {
  return {{"type", "object"},
          {"additionalProperties", false},
          {"required", Json::array()},
          {"properties", Json::object()}};
}

template <typename T, typename Fields>
void readNumbers(T &To, const Json &From, const Fields &Which) {
  for (const auto &Field : Which)
    To.*(Field.m_To) = From.at(Field.m_Key).template get<double>();
}

template <typename T, typename Fields>
void readTimes(T &To, const Json &From, const Fields &Which) {
  for (const auto &Field : Which) {
    using Unit = std::remove_reference_t<decltype(To.*(Field.m_To))>;
    To.*(Field.m_To) = Unit(
        static_cast<std::int64_t>(From.at(Field.m_Key).template get<double>()));
  }
}

} // namespace

Json deploymentSchema() {
  Json Schema = emptySchema();
  addToSchema(Schema, DeploymentNumbers);
  addToSchema(Schema, DeploymentTimes);
  addToSchema(Schema, DeploymentSeconds);
  return Schema;
}

Json designSchema() {
  Json Schema = emptySchema();
  addToSchema(Schema, DesignNumbers);
  addToSchema(Schema, DesignTimes);
  addToSchema(Schema, DesignSeconds);
  return Schema;
}

Deployment toDeployment(const Json &Document) {
  Deployment Read;
  readNumbers(Read, Document, DeploymentNumbers);
  readTimes(Read, Document, DeploymentTimes);
  readTimes(Read, Document, DeploymentSeconds);
  return Read;
}

Design toDesign(const Json &Document) {
  Design Read;
  readNumbers(Read, Document, DesignNumbers);
  readTimes(Read, Document, DesignTimes);
  readTimes(Read, Document, DesignSeconds);
  return Read;
}

} // namespace wasabivale::capacity
