#include "routes/routes.h"

namespace wasabivale::routes {

namespace {

std::uint64_t toNanoseconds(std::chrono::nanoseconds Value) {
  return static_cast<std::uint64_t>(Value.count());
}

wire::Route toWire(const Route &RouteEntry) {
  wire::Route Message;
  Message.set_name(RouteEntry.m_Name);
  Message.set_host(RouteEntry.m_Host);
  Message.set_path_prefix(RouteEntry.m_PathPrefix);
  Message.set_kind(std::string(kindName(RouteEntry.m_Kind)));
  Message.set_timeout_ns(toNanoseconds(RouteEntry.m_Timeout));
  Message.set_objective_ns(toNanoseconds(RouteEntry.m_Objective));
  Message.set_gap_ns(toNanoseconds(RouteEntry.m_Gap));
  Message.set_rank(RouteEntry.m_Rank);
  Message.set_max_attempts(RouteEntry.m_MaxAttempts);
  Message.set_resumable(RouteEntry.m_Resumable);
  Message.set_allow_anonymous(RouteEntry.m_AllowsAnonymous);
  for (const Share &ServiceShare : RouteEntry.m_Services) {
    wire::ServiceShare &ShareMessage = *Message.add_services();
    ShareMessage.set_service(ServiceShare.m_Service);
    ShareMessage.set_weight(ServiceShare.m_Weight);
  }
  return Message;
}

Route fromWire(const wire::Route &Message) {
  Route RouteEntry;
  RouteEntry.m_Name = Message.name();
  RouteEntry.m_Host = Message.host();
  RouteEntry.m_PathPrefix = Message.path_prefix();
  // A kind that this version does not know is treated as unsafe to retry.
  RouteEntry.m_Kind = kindFromName(Message.kind()).value_or(Kind::Unsafe);
  RouteEntry.m_Timeout = std::chrono::nanoseconds(Message.timeout_ns());
  RouteEntry.m_Objective = std::chrono::nanoseconds(Message.objective_ns());
  RouteEntry.m_Gap = std::chrono::nanoseconds(Message.gap_ns());
  RouteEntry.m_Rank = Message.rank();
  RouteEntry.m_MaxAttempts = Message.max_attempts();
  RouteEntry.m_Resumable = Message.resumable();
  RouteEntry.m_AllowsAnonymous = Message.allow_anonymous();
  for (const wire::ServiceShare &ShareMessage : Message.services())
    RouteEntry.m_Services.push_back(
        {ShareMessage.service(), ShareMessage.weight()});
  return RouteEntry;
}

void writeScaling(const Scaling &Bounds, wire::ServiceScaling &Message) {
  Message.set_min(Bounds.m_Min);
  Message.set_max(Bounds.m_Max);
  Message.set_boot_ns(toNanoseconds(Bounds.m_BootTime));
  Message.set_reclaimable_price(Bounds.m_ReclaimablePrice);
  for (const auto &[Zone, Price] : Bounds.m_ZonePrices) {
    wire::ZonePrice &PriceMessage = *Message.add_zone_prices();
    PriceMessage.set_zone(Zone);
    PriceMessage.set_price(Price);
  }
}

wire::Customer toWire(const Customer &Holder) {
  wire::Customer Message;
  Message.set_name(Holder.m_Name);
  for (const std::string &Digest : Holder.m_KeyDigests)
    Message.add_key_digests(Digest);
  if (Holder.m_Rank)
    Message.set_rank(*Holder.m_Rank);
  return Message;
}

Customer fromWire(const wire::Customer &Message) {
  Customer Holder;
  Holder.m_Name = Message.name();
  Holder.m_KeyDigests.assign(Message.key_digests().begin(),
                             Message.key_digests().end());
  if (Message.has_rank())
    Holder.m_Rank = Message.rank();
  return Holder;
}

} // namespace

Scaling fromWire(const wire::ServiceScaling &Message) {
  Scaling Bounds;
  Bounds.m_Min = Message.min();
  Bounds.m_Max = Message.max();
  Bounds.m_BootTime = std::chrono::nanoseconds(Message.boot_ns());
  Bounds.m_ReclaimablePrice = Message.reclaimable_price();
  for (const wire::ZonePrice &PriceMessage : Message.zone_prices())
    Bounds.m_ZonePrices[PriceMessage.zone()] = PriceMessage.price();
  return Bounds;
}

wire::RouteTable toWire(const Table &RouteTable) {
  wire::RouteTable Message;
  Message.set_version(RouteTable.m_Version);
  for (const Route &RouteEntry : RouteTable.m_Routes)
    *Message.add_routes() = toWire(RouteEntry);
  for (const auto &[Name, ServiceEntry] : RouteTable.m_Services) {
    wire::RoutedService &ServiceMessage = *Message.add_services();
    ServiceMessage.set_name(Name);
    ServiceMessage.set_max_connections(ServiceEntry.m_MaxConnections);
    ServiceMessage.set_kv_capacity_tokens(ServiceEntry.m_KvCapacityTokens);
    ServiceMessage.set_handle_ttl_ns(toNanoseconds(ServiceEntry.m_HandleTtl));
    ServiceMessage.set_health_path(ServiceEntry.m_HealthPath);
    ServiceMessage.set_tokens_per_event(ServiceEntry.m_TokensPerEvent);
    ServiceMessage.set_kv_bytes_per_token(ServiceEntry.m_KvBytesPerToken);
    ServiceMessage.set_kv_link_bits_per_second(ServiceEntry.m_KvLinkRate);
    if (ServiceEntry.m_Scaling)
      writeScaling(*ServiceEntry.m_Scaling, *ServiceMessage.mutable_scaling());
  }
  Message.set_checks_keys(RouteTable.m_ChecksKeys);
  for (const Customer &Holder : RouteTable.m_Customers)
    *Message.add_customers() = toWire(Holder);
  Message.set_header_bytes(RouteTable.m_Limits.m_HeaderBytes);
  Message.set_body_bytes(RouteTable.m_Limits.m_BodyBytes);
  Message.set_header_timeout_ns(
      toNanoseconds(RouteTable.m_Limits.m_HeaderTimeout));
  Message.set_idle_timeout_ns(toNanoseconds(RouteTable.m_Limits.m_IdleTimeout));
  return Message;
}

Table fromWire(const wire::RouteTable &Message) {
  Table RouteTable;
  RouteTable.m_Version = Message.version();
  for (const wire::Route &RouteMessage : Message.routes())
    RouteTable.m_Routes.push_back(fromWire(RouteMessage));
  for (const wire::RoutedService &ServiceMessage : Message.services())
    RouteTable.m_Services[ServiceMessage.name()] = {
        ServiceMessage.name(),
        ServiceMessage.max_connections(),
        ServiceMessage.kv_capacity_tokens(),
        std::chrono::nanoseconds(ServiceMessage.handle_ttl_ns()),
        ServiceMessage.health_path(),
        ServiceMessage.tokens_per_event(),
        ServiceMessage.kv_bytes_per_token(),
        ServiceMessage.kv_link_bits_per_second(),
        ServiceMessage.has_scaling()
            ? std::optional(fromWire(ServiceMessage.scaling()))
            : std::nullopt};
  RouteTable.m_ChecksKeys = Message.checks_keys();
  for (const wire::Customer &CustomerMessage : Message.customers())
    RouteTable.m_Customers.push_back(fromWire(CustomerMessage));
  RouteTable.m_Limits.m_HeaderBytes = Message.header_bytes();
  RouteTable.m_Limits.m_BodyBytes = Message.body_bytes();
  RouteTable.m_Limits.m_HeaderTimeout =
      std::chrono::nanoseconds(Message.header_timeout_ns());
  RouteTable.m_Limits.m_IdleTimeout =
      std::chrono::nanoseconds(Message.idle_timeout_ns());
  return RouteTable;
}

} // namespace wasabivale::routes
