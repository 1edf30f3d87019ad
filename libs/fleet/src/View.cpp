#include "StreamVersions.h"

#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

std::int64_t milliseconds(LogTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

Json toJson(const DesiredState &Desired) {
  return {{"role", Desired.m_Role},
          {"models", Desired.m_Models},
          {"draining", Desired.m_Draining},
          {"withdrawn", Desired.m_Withdrawn}};
}

Json toJson(const Fence &Fence) {
  return {{"term", Fence.m_Term}, {"sequence", Fence.m_Sequence}};
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

Json toJson(const Step &Step) {
  Json Remaining = Json::array();
  for (const Capacity &Capacity : Step.m_Remaining)
    Remaining.push_back({{"name", Capacity.m_Name},
                         {"targets", Capacity.m_Targets},
                         {"running", Capacity.m_Running}});
  Json Result = {{"kind", kindName(Step.m_Kind)},
                 {"stage", Step.m_Stage},
                 {"state", stepPhaseName(Step.m_Phase)},
                 {"message", Step.m_Message}};
  if (Step.m_Kind != StepKind::Order) {
    Result["document"] = Json::parse(Step.m_Document, nullptr, false);
    return Result;
  }
  Result["target"] = Step.m_Target.m_Value;
  Result["want"] = toJson(Step.m_DesiredState);
  Result["stops_serving"] = Step.m_StopsServing;
  Result["order"] = Step.m_Order.m_Value;
  Result["remaining"] = Remaining;
  return Result;
}

} // namespace

wire::Target toWire(const Target &Target) {
  wire::Target Result;
  Result.set_id(Target.m_Id.m_Value);
  Result.set_incarnation(Target.m_Incarnation);
  Result.set_address(Target.m_Address);
  Result.set_kind(Target.m_IsEngine ? "engine" : "service");
  Result.set_region(Target.m_Region.m_Value);
  Result.set_zone(Target.m_Zone.m_Value);
  for (const std::string &Model : Target.m_Models)
    Result.add_models(Model);
  Result.set_role(Target.m_Role);
  Result.set_checks_fence(Target.m_ChecksFence);
  Result.set_kv_blocks(Target.m_KvBlocks);
  Result.set_state(std::string(targetStateName(Target.m_State)));
  Result.set_generation(Target.m_Generation);
  Result.set_prefill_tokens_per_second(Target.m_PrefillTokensPerSecond);
  Result.set_decode_tokens_per_second(Target.m_DecodeTokensPerSecond);
  Result.set_max_running(Target.m_MaxRunning);
  Result.set_started_ms(Target.m_StartedMs);
  Result.set_self_managed(Target.m_SelfManaged);
  Result.set_software_version(Target.m_SoftwareVersion);
  Result.set_held(Target.m_Held);
  Result.set_reclaimable(Target.m_IsReclaimable);
  return Result;
}

wire::FleetUpdate updateSince(const State &Fleet, std::uint64_t FleetFrom,
                              std::uint64_t ConfigurationFrom,
                              std::uint64_t RoutesFrom) {
  const Targets &Targets = Fleet.m_Targets;
  const bool Whole = FleetFrom == 0 ||
                     FleetFrom < Targets.m_OldestDeltaRevision ||
                     FleetFrom > Targets.m_Revision;
  const std::uint64_t Since = Whole ? 0 : FleetFrom;
  wire::FleetUpdate Result;
  Result.set_from_revision(Since);
  Result.set_revision(Targets.m_Revision);
  for (const auto &[Name, Target] : Targets.m_ById)
    if (Whole || Target.m_ChangedAtRevision > Since)
      *Result.add_targets() = toWire(Target);
  for (const auto &[Name, Revision] : Targets.m_Removed)
    if (!Whole && Revision > Since)
      Result.add_removed_targets(Name.m_Value);
  Result.set_configuration_revision(Fleet.m_Configuration.m_Revision);
  if (ConfigurationFrom < Fleet.m_Configuration.m_Revision)
    Result.set_configuration(
        std::string(currentDocument(Fleet.m_Configuration)));
  Result.set_routes_version(Fleet.m_Routes.m_Table.version());
  if (RoutesFrom < Fleet.m_Routes.m_Table.version())
    *Result.mutable_routes() = Fleet.m_Routes.m_Table;
  fillServedVersions(Fleet, Result);
  return Result;
}

Json toJson(const Target &Target) {
  Json Result = {
      {"id", Target.m_Id.m_Value},
      {"incarnation", Target.m_Incarnation},
      {"address", Target.m_Address},
      {"kind", Target.m_IsEngine ? "engine" : "service"},
      {"region", Target.m_Region.m_Value},
      {"zone", Target.m_Zone.m_Value},
      {"models", Target.m_Models},
      {"role", Target.m_Role},
      {"checks_fence", Target.m_ChecksFence},
      {"state", targetStateName(Target.m_State)},
      {"state_since_ms", milliseconds(Target.m_StateSince)},
      {"generation", Target.m_Generation},
      {"self_managed", Target.m_SelfManaged},
      {"held", Target.m_Held},
      {"leaving", Target.m_LeaveRequested},
      {"barrier_reached", Target.m_BarrierReached == Target.m_Generation},
      {"plan", Target.m_ClaimedBy.m_Value}};
  if (Target.m_DesiredState)
    Result["wanted"] = toJson(*Target.m_DesiredState);
  return Result;
}

Json toJson(const Routes &Routes) {
  const auto InMs = [](std::uint64_t Ns) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::nanoseconds(Ns))
        .count();
  };
  Json Rows = Json::array();
  for (const wire::Route &Route : Routes.m_Table.routes()) {
    Json Services = Json::array();
    for (const wire::ServiceShare &Share : Route.services())
      Services.push_back(
          fmt::format("{}:{:g}", Share.service(), Share.weight()));
    Rows.push_back({{"name", Route.name()},
                    {"host", Route.host()},
                    {"path_prefix", Route.path_prefix()},
                    {"kind", Route.kind()},
                    {"services", Services},
                    {"rank", Route.rank()},
                    {"max_attempts", Route.max_attempts()},
                    {"timeout_ms", InMs(Route.timeout_ns())},
                    {"objective_ms", InMs(Route.objective_ns())},
                    {"resumable", Route.resumable()}});
  }
  return {{"version", Routes.m_Table.version()}, {"routes", Rows}};
}

Json toJson(const Order &Order) {
  return {{"id", Order.m_Id.m_Value},
          {"target", Order.m_Target.m_Value},
          {"incarnation", Order.m_Incarnation},
          {"fence", toJson(Order.m_Fence)},
          {"want", toJson(Order.m_DesiredState)},
          {"state", orderPhaseName(Order.m_Phase)},
          {"plan", Order.m_Plan.m_Value},
          {"step", Order.m_Step},
          {"message", Order.m_Message},
          {"issued_ms", milliseconds(Order.m_Issued)}};
}

Json toJson(const Plan &Plan) {
  Json Steps = Json::array();
  for (const Step &Step : Plan.m_Steps)
    Steps.push_back(toJson(Step));
  return {{"plan", Plan.m_Id.m_Value},
          {"revision", Plan.m_Revision},
          {"digest", Plan.m_Digest},
          {"intent", Json::parse(Plan.m_Intent, nullptr, false)},
          {"actor", Plan.m_Actor},
          {"state", planPhaseName(Plan.m_Phase)},
          {"message", Plan.m_Message},
          {"cancelling", Plan.m_Cancelling},
          {"proposed_ms", milliseconds(Plan.m_ProposedAt)},
          {"confirmed_ms", milliseconds(Plan.m_ConfirmedAt)},
          {"ended_ms", milliseconds(Plan.m_EndedAt)},
          {"steps", Steps}};
}

Json toJson(const RolePolicy &Policy) {
  return {{"active", Policy.m_Active},
          {"plan", Policy.m_Plan.m_Value},
          {"changes_per_hour", Policy.m_ChangesPerHour},
          {"cooldown_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              Policy.m_Cooldown)
                              .count()},
          {"minimum",
           {{"prefill", Policy.m_MinimumPrefill},
            {"decode", Policy.m_MinimumDecode}}},
          {"changes_in_last_hour", Policy.m_Changes.size()}};
}

Json toJson(const Configuration &Configuration) {
  Json History = Json::array();
  for (const ConfigurationRevision &Revision : Configuration.m_History)
    History.push_back({{"revision", Revision.m_Revision},
                       {"actor", Revision.m_Actor},
                       {"digest", Revision.m_Digest},
                       {"accepted_ms", milliseconds(Revision.m_AcceptedAt)}});
  return {{"accepted", Configuration.m_Revision}, {"history", History}};
}

} // namespace wasabivale::fleet
