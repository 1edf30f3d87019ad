#include "fleet/fleet.h"

#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

std::int64_t milliseconds(LogTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

Json view(const Wanted &Of) {
  return {{"role", Of.m_Role},
          {"models", Of.m_Models},
          {"draining", Of.m_Draining},
          {"withdrawn", Of.m_Withdrawn}};
}

Json view(const Fence &Of) {
  return {{"term", Of.m_Term}, {"sequence", Of.m_Sequence}};
}

std::string_view kindName(StepKind Value) {
  switch (Value) {
  case StepKind::Order:
    return "order";
  case StepKind::Configure:
    return "configure";
  case StepKind::Policy:
    return "policy";
  case StepKind::Member:
    return "member";
  }
  return "order";
}

Json view(const Step &Of) {
  Json Remaining = Json::array();
  for (const Capacity &Each : Of.m_Remaining)
    Remaining.push_back({{"name", Each.m_Name},
                         {"targets", Each.m_Targets},
                         {"running", Each.m_Running}});
  Json Out = {{"kind", kindName(Of.m_Kind)},
              {"stage", Of.m_Stage},
              {"state", stepPhaseName(Of.m_Phase)},
              {"message", Of.m_Message}};
  if (Of.m_Kind != StepKind::Order) {
    Out["document"] = Json::parse(Of.m_Document, nullptr, false);
    return Out;
  }
  Out["target"] = Of.m_Target.m_Value;
  Out["want"] = view(Of.m_Want);
  Out["stops_serving"] = Of.m_Barrier;
  Out["order"] = Of.m_Order.m_Value;
  Out["remaining"] = Remaining;
  return Out;
}

} // namespace

wire::Target describe(const Target &From) {
  wire::Target Out;
  Out.set_id(From.m_Id.m_Value);
  Out.set_incarnation(From.m_Incarnation);
  Out.set_address(From.m_Address);
  Out.set_kind(From.m_IsEngine ? "engine" : "service");
  Out.set_region(From.m_Region.m_Value);
  Out.set_zone(From.m_Zone.m_Value);
  for (const std::string &Each : From.m_Models)
    Out.add_models(Each);
  Out.set_role(From.m_Role);
  Out.set_checks_fence(From.m_ChecksFence);
  Out.set_kv_blocks(From.m_KvBlocks);
  Out.set_state(std::string(targetStateName(From.m_State)));
  Out.set_generation(From.m_Generation);
  Out.set_prefill_tokens_per_second(From.m_PrefillTokensPerSecond);
  Out.set_decode_tokens_per_second(From.m_DecodeTokensPerSecond);
  Out.set_max_running(From.m_MaxRunning);
  Out.set_started_ms(From.m_StartedMs);
  Out.set_self_managed(From.m_SelfManaged);
  Out.set_held(From.m_Held);
  return Out;
}

wire::FleetUpdate updateSince(const State &From, std::uint64_t FleetFrom,
                              std::uint64_t ConfigurationFrom,
                              std::uint64_t RoutesFrom) {
  const Targets &In = From.m_Targets;
  const bool Whole = FleetFrom == 0 || FleetFrom < In.m_OldestDelta ||
                     FleetFrom > In.m_Revision;
  const std::uint64_t Since = Whole ? 0 : FleetFrom;
  wire::FleetUpdate Out;
  Out.set_from_revision(Since);
  Out.set_revision(In.m_Revision);
  for (const auto &[Name, Each] : In.m_ById)
    if (Whole || Each.m_Changed > Since)
      *Out.add_targets() = describe(Each);
  for (const auto &[Name, Revision] : In.m_Removed)
    if (!Whole && Revision > Since)
      Out.add_removed_targets(Name.m_Value);
  Out.set_configuration_revision(From.m_Configuration.m_Revision);
  if (ConfigurationFrom < From.m_Configuration.m_Revision)
    Out.set_configuration(std::string(currentDocument(From.m_Configuration)));
  Out.set_routes_version(From.m_Routes.m_Table.version());
  if (RoutesFrom < From.m_Routes.m_Table.version())
    *Out.mutable_routes() = From.m_Routes.m_Table;
  return Out;
}

Json view(const Target &From) {
  Json Out = {{"id", From.m_Id.m_Value},
              {"incarnation", From.m_Incarnation},
              {"address", From.m_Address},
              {"kind", From.m_IsEngine ? "engine" : "service"},
              {"region", From.m_Region.m_Value},
              {"zone", From.m_Zone.m_Value},
              {"models", From.m_Models},
              {"role", From.m_Role},
              {"checks_fence", From.m_ChecksFence},
              {"state", targetStateName(From.m_State)},
              {"state_since_ms", milliseconds(From.m_StateSince)},
              {"generation", From.m_Generation},
              {"self_managed", From.m_SelfManaged},
              {"held", From.m_Held},
              {"leaving", From.m_LeavingByItself},
              {"barrier_reached", From.m_BarrierReached == From.m_Generation},
              {"plan", From.m_ClaimedBy.m_Value}};
  if (From.m_Wanted)
    Out["wanted"] = view(*From.m_Wanted);
  return Out;
}

Json view(const Routes &From) {
  const auto InMs = [](std::uint64_t Ns) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::nanoseconds(Ns))
        .count();
  };
  Json Rows = Json::array();
  for (const wire::Route &Each : From.m_Table.routes()) {
    Json Services = Json::array();
    for (const wire::ServiceShare &Share : Each.services())
      Services.push_back(
          fmt::format("{}:{:g}", Share.service(), Share.weight()));
    Rows.push_back({{"name", Each.name()},
                    {"host", Each.host()},
                    {"path_prefix", Each.path_prefix()},
                    {"kind", Each.kind()},
                    {"services", Services},
                    {"rank", Each.rank()},
                    {"max_attempts", Each.max_attempts()},
                    {"timeout_ms", InMs(Each.timeout_ns())},
                    {"objective_ms", InMs(Each.objective_ns())},
                    {"resumable", Each.resumable()}});
  }
  return {{"version", From.m_Table.version()}, {"routes", Rows}};
}

Json view(const Order &From) {
  return {{"id", From.m_Id.m_Value},
          {"target", From.m_Target.m_Value},
          {"incarnation", From.m_Incarnation},
          {"fence", view(From.m_Fence)},
          {"want", view(From.m_Want)},
          {"state", orderPhaseName(From.m_Phase)},
          {"plan", From.m_Plan.m_Value},
          {"step", From.m_Step},
          {"message", From.m_Message},
          {"issued_ms", milliseconds(From.m_Issued)}};
}

Json view(const Plan &From) {
  Json Steps = Json::array();
  for (const Step &Each : From.m_Steps)
    Steps.push_back(view(Each));
  return {{"plan", From.m_Id.m_Value},
          {"revision", From.m_Revision},
          {"digest", From.m_Digest},
          {"intent", Json::parse(From.m_Intent, nullptr, false)},
          {"actor", From.m_Actor},
          {"state", planPhaseName(From.m_Phase)},
          {"message", From.m_Message},
          {"cancelling", From.m_Cancelling},
          {"proposed_ms", milliseconds(From.m_ProposedAt)},
          {"confirmed_ms", milliseconds(From.m_ConfirmedAt)},
          {"ended_ms", milliseconds(From.m_EndedAt)},
          {"steps", Steps}};
}

Json view(const RolePolicy &From) {
  return {
      {"active", From.m_Active},
      {"plan", From.m_Plan.m_Value},
      {"changes_per_hour", From.m_ChangesPerHour},
      {"cooldown_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(From.m_Cooldown)
           .count()},
      {"minimum",
       {{"prefill", From.m_MinimumPrefill}, {"decode", From.m_MinimumDecode}}},
      {"changes_in_last_hour", From.m_Changes.size()}};
}

Json view(const Configuration &From) {
  Json History = Json::array();
  for (const ConfigurationRevision &Each : From.m_History)
    History.push_back({{"revision", Each.m_Revision},
                       {"actor", Each.m_Actor},
                       {"digest", Each.m_Digest},
                       {"accepted_ms", milliseconds(Each.m_AcceptedAt)}});
  return {{"accepted", From.m_Revision}, {"history", History}};
}

} // namespace wasabivale::fleet
