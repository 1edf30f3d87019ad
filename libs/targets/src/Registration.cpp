#include "Fields.h"

#include <charconv>
#include <fmt/format.h>

namespace wasabivale::targets {

namespace {

constexpr auto Required = Presence::Required;
constexpr auto Optional = Presence::Optional;

/// Greatest heartbeat interval that a target takes from an entry.
constexpr std::uint64_t MaxHeartbeatMs = 3'600'000;

std::string printHash(std::uint64_t Hash) {
  return fmt::format("{:016x}", Hash);
}

std::optional<std::uint64_t> parseHash(std::string_view Text) {
  constexpr std::size_t HexDigits = 16;
  std::uint64_t Hash = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Hash, 16);
  if (Text.size() != HexDigits || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Hash;
}

void readCacheEvent(const Json &From, Heartbeat &Into, Fields &Report) {
  CacheEvent Made;
  std::string Hash;
  Fields In(From, "");
  In.number("n", Made.m_Number, Required);
  Made.m_Added = In.find("add", Optional) != nullptr;
  In.text(Made.m_Added ? "add" : "remove", Hash, Required);
  const auto Block = parseHash(Hash);
  if (In.bad() || !Block)
    return Report.refuse("cache", "events with n and add or remove");
  const std::uint64_t Lowest = Into.m_CacheEvents.empty()
                                   ? Into.m_CacheFrom
                                   : Into.m_CacheEvents.back().m_Number + 1;
  if (Made.m_Number < Lowest || Made.m_Number > Into.m_CacheTo)
    return Report.refuse("cache", "rising numbers between from and to");
  Made.m_Block = *Block;
  Into.m_CacheEvents.push_back(Made);
}

void readCache(const Json &From, Heartbeat &Into, Fields &Report) {
  Fields In(From, "");
  In.number("from", Into.m_CacheFrom, Required);
  In.number("to", Into.m_CacheTo, Required);
  const Json *Events = In.find("events", Required);
  if (In.bad() || !Events->is_array() || Events->size() > MaxCacheEvents)
    return Report.refuse("cache", "an object with from, to and events");
  for (const Json &Event : *Events)
    readCacheEvent(Event, Into, Report);
}

Json printCache(const Heartbeat &Value) {
  Json Events = Json::array();
  for (const CacheEvent &Event : Value.m_CacheEvents)
    Events.push_back(
        {{"n", Event.m_Number},
         {Event.m_Added ? "add" : "remove", printHash(Event.m_Block)}});
  return {{"from", Value.m_CacheFrom},
          {"to", Value.m_CacheTo},
          {"events", std::move(Events)}};
}

} // namespace

std::string_view kindName(Kind Value) {
  return Value == Kind::Engine ? "engine" : "service";
}

std::string_view roleName(Role Value) {
  switch (Value) {
  case Role::Mixed:
    return "mixed";
  case Role::Prefill:
    return "prefill";
  case Role::Decode:
    return "decode";
  }
  return "mixed";
}

std::optional<Role> roleFromName(std::string_view Name) {
  for (const Role Known : {Role::Mixed, Role::Prefill, Role::Decode})
    if (roleName(Known) == Name)
      return Known;
  return std::nullopt;
}

Result<Announcement> parseAnnouncement(std::string_view Text) {
  Announcement Made;
  Fields In(Text, "targets.announce");
  In.text("id", Made.m_Id, Required);
  In.text("incarnation", Made.m_Incarnation, Required);
  std::string Address;
  In.text("address", Address, Required);
  std::string Kind;
  In.text("kind", Kind, Required);
  In.text("region", Made.m_Region, Optional);
  In.text("zone", Made.m_Zone, Required);
  In.models("models", Made.m_Models, Optional);
  In.names("services", Made.m_Services, Optional);
  In.role("role", Made.m_Role, Optional);
  In.flag("checks_fence", Made.m_ChecksFence, Required);
  In.number("kv_blocks", Made.m_KvBlocks, Optional);
  In.number("max_running", Made.m_MaxRunning, Optional);
  In.number("prefill_tokens_per_second", Made.m_PrefillTokensPerSecond,
            Optional);
  In.number("decode_tokens_per_second", Made.m_DecodeTokensPerSecond, Optional);
  if (In.bad())
    return In.finish(Made);
  if (Kind != "engine" && Kind != "service")
    In.refuse("kind", "engine or service");
  Made.m_Kind = Kind == "service" ? Kind::Service : Kind::Engine;
  const auto Parsed = http::parseAddress(Address);
  if (failed(Parsed))
    In.refuse("address", "ip:port");
  else
    Made.m_Address = valueOf(Parsed);
  return In.finish(Made);
}

std::string print(const Announcement &Value) {
  return dump({{"id", Value.m_Id.m_Value},
               {"incarnation", Value.m_Incarnation},
               {"address", http::printAddress(Value.m_Address)},
               {"kind", kindName(Value.m_Kind)},
               {"region", Value.m_Region.m_Value},
               {"zone", Value.m_Zone.m_Value},
               {"models", toJson(Value.m_Models)},
               {"services", Value.m_Services},
               {"role", roleName(Value.m_Role)},
               {"checks_fence", Value.m_ChecksFence},
               {"kv_blocks", Value.m_KvBlocks},
               {"max_running", Value.m_MaxRunning},
               {"prefill_tokens_per_second", Value.m_PrefillTokensPerSecond},
               {"decode_tokens_per_second", Value.m_DecodeTokensPerSecond}});
}

Result<AnnounceAnswer> parseAnnounceAnswer(std::string_view Text) {
  AnnounceAnswer Made;
  Fields In(Text, "targets.announce_answer");
  In.flag("accepted", Made.m_Accepted, Required);
  auto Every = static_cast<std::uint64_t>(Made.m_HeartbeatEvery.count());
  In.number("heartbeat_ms", Every, Optional, MaxHeartbeatMs);
  Made.m_HeartbeatEvery = std::chrono::milliseconds(Every);
  return In.finish(Made);
}

std::string print(const AnnounceAnswer &Value) {
  return dump({{"accepted", Value.m_Accepted},
               {"heartbeat_ms", Value.m_HeartbeatEvery.count()}});
}

Result<Heartbeat> parseHeartbeat(std::string_view Text) {
  Heartbeat Made;
  Fields In(Text, "targets.heartbeat");
  In.text("id", Made.m_Id, Required);
  In.text("incarnation", Made.m_Incarnation, Required);
  In.number("sequence", Made.m_Sequence, Required);
  In.role("role", Made.m_Role, Optional);
  In.models("models", Made.m_Models, Optional);
  In.number("running", Made.m_Running, Required);
  In.number("waiting", Made.m_Waiting, Optional);
  In.number("prefill_tokens_waiting", Made.m_PrefillTokensWaiting, Optional);
  In.number("kv_blocks_free", Made.m_KvBlocksFree, Optional);
  In.fence("fence", Made.m_Fence, Optional);
  if (const Json *Cache = In.find("cache", Optional))
    readCache(*Cache, Made, In);
  return In.finish(Made);
}

std::string print(const Heartbeat &Value) {
  return dump({{"id", Value.m_Id.m_Value},
               {"incarnation", Value.m_Incarnation},
               {"sequence", Value.m_Sequence},
               {"role", roleName(Value.m_Role)},
               {"models", toJson(Value.m_Models)},
               {"running", Value.m_Running},
               {"waiting", Value.m_Waiting},
               {"prefill_tokens_waiting", Value.m_PrefillTokensWaiting},
               {"kv_blocks_free", Value.m_KvBlocksFree},
               {"fence", toJson(Value.m_Fence)},
               {"cache", printCache(Value)}});
}

Result<HeartbeatAnswer> parseHeartbeatAnswer(std::string_view Text) {
  HeartbeatAnswer Made;
  Fields In(Text, "targets.heartbeat_answer");
  In.flag("accepted", Made.m_Accepted, Required);
  In.flag("announce", Made.m_Announce, Optional);
  return In.finish(Made);
}

std::string print(const HeartbeatAnswer &Value) {
  Json Made{{"accepted", Value.m_Accepted}};
  if (Value.m_Announce)
    Made["announce"] = true;
  return dump(Made);
}

Result<Leave> parseLeave(std::string_view Text) {
  Leave Made;
  Fields In(Text, "targets.leave");
  In.text("id", Made.m_Id, Required);
  In.text("incarnation", Made.m_Incarnation, Required);
  return In.finish(Made);
}

std::string print(const Leave &Value) {
  return dump(
      {{"id", Value.m_Id.m_Value}, {"incarnation", Value.m_Incarnation}});
}

} // namespace wasabivale::targets
