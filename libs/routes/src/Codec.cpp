#include "routes/routes.h"

namespace wasabivale::routes {

namespace {

std::uint64_t toNanoseconds(std::chrono::nanoseconds Value) {
  return static_cast<std::uint64_t>(Value.count());
}

wire::Route toWire(const Route &From) {
  wire::Route Made;
  Made.set_name(From.m_Name);
  Made.set_host(From.m_Host);
  Made.set_path_prefix(From.m_PathPrefix);
  Made.set_kind(std::string(kindName(From.m_Kind)));
  Made.set_timeout_ns(toNanoseconds(From.m_Timeout));
  Made.set_objective_ns(toNanoseconds(From.m_Objective));
  Made.set_gap_ns(toNanoseconds(From.m_Gap));
  Made.set_rank(From.m_Rank);
  Made.set_max_attempts(From.m_MaxAttempts);
  Made.set_resumable(From.m_Resumable);
  for (const Share &Each : From.m_Services) {
    wire::ServiceShare &Part = *Made.add_services();
    Part.set_service(Each.m_Service);
    Part.set_weight(Each.m_Weight);
  }
  return Made;
}

Route fromWire(const wire::Route &From) {
  Route Made;
  Made.m_Name = From.name();
  Made.m_Host = From.host();
  Made.m_PathPrefix = From.path_prefix();
  // A kind that this version does not know is not repeated.
  Made.m_Kind = kindFromName(From.kind()).value_or(Kind::Unsafe);
  Made.m_Timeout = std::chrono::nanoseconds(From.timeout_ns());
  Made.m_Objective = std::chrono::nanoseconds(From.objective_ns());
  Made.m_Gap = std::chrono::nanoseconds(From.gap_ns());
  Made.m_Rank = From.rank();
  Made.m_MaxAttempts = From.max_attempts();
  Made.m_Resumable = From.resumable();
  for (const wire::ServiceShare &Each : From.services())
    Made.m_Services.push_back({Each.service(), Each.weight()});
  return Made;
}

} // namespace

wire::RouteTable toWire(const Table &From) {
  wire::RouteTable Made;
  Made.set_version(From.m_Version);
  for (const Route &Each : From.m_Routes)
    *Made.add_routes() = toWire(Each);
  for (const auto &[Name, Each] : From.m_Services) {
    wire::RoutedService &Service = *Made.add_services();
    Service.set_name(Name);
    Service.set_max_connections(Each.m_MaxConnections);
    Service.set_kv_capacity_tokens(Each.m_KvCapacityTokens);
    Service.set_handle_ttl_ns(toNanoseconds(Each.m_HandleTtl));
  }
  Made.set_header_bytes(From.m_Limits.m_HeaderBytes);
  Made.set_body_bytes(From.m_Limits.m_BodyBytes);
  Made.set_header_timeout_ns(toNanoseconds(From.m_Limits.m_HeaderTimeout));
  Made.set_idle_timeout_ns(toNanoseconds(From.m_Limits.m_IdleTimeout));
  return Made;
}

Table fromWire(const wire::RouteTable &From) {
  Table Made;
  Made.m_Version = From.version();
  for (const wire::Route &Each : From.routes())
    Made.m_Routes.push_back(fromWire(Each));
  for (const wire::RoutedService &Each : From.services())
    Made.m_Services[Each.name()] = {
        Each.name(), Each.max_connections(), Each.kv_capacity_tokens(),
        std::chrono::nanoseconds(Each.handle_ttl_ns())};
  Made.m_Limits.m_HeaderBytes = From.header_bytes();
  Made.m_Limits.m_BodyBytes = From.body_bytes();
  Made.m_Limits.m_HeaderTimeout =
      std::chrono::nanoseconds(From.header_timeout_ns());
  Made.m_Limits.m_IdleTimeout =
      std::chrono::nanoseconds(From.idle_timeout_ns());
  return Made;
}

} // namespace wasabivale::routes
