#include "Settings.h"

#include <fmt/format.h>

namespace wasabivale::faketargets {

using Json = nlohmann::json;

static Json integer(std::uint64_t Least, std::uint64_t Greatest) {
  return {{"type", "integer"}, {"minimum", Least}, {"maximum", Greatest}};
}

static Json names() {
  return {{"type", "array"},
          {"minItems", 1},
          {"items", {{"type", "string"}, {"minLength", 1}}}};
}

static Json rate() { return {{"type", "number"}, {"minimum", 0.001}}; }

Json schema() {
  constexpr std::uint64_t MaxTargets = 10'000;
  constexpr std::uint64_t MaxMilliseconds = 3'600'000;
  constexpr std::uint64_t MaxCount = 1'000'000'000;
  const Json Milliseconds = integer(0, MaxMilliseconds);
  Json Keys{{"engines", integer(0, MaxTargets)},
            {"services", integer(0, MaxTargets)},
            {"host", {{"type", "string"}}},
            {"first_port", integer(1, 65'535)},
            {"admin_port", integer(0, 65'535)},
            {"id_prefix", {{"type", "string"}}},
            {"announce", names()},
            {"region", {{"type", "string"}, {"minLength", 1}}},
            {"zones", names()},
            {"models", names()},
            {"service_names", names()},
            {"role", {{"enum", {"mixed", "prefill", "decode"}}}},
            {"checks_fence", {{"type", "boolean"}}},
            {"seed", integer(0, MaxCount)},
            {"judge_log", {{"type", "string"}}},
            {"prefill_rate", rate()},
            {"decode_rate", rate()},
            {"batch_slowdown", {{"type", "number"}, {"minimum", 0}}},
            {"kv_blocks", integer(1, MaxCount)},
            {"max_running", integer(1, MaxCount)},
            {"max_waiting", integer(0, MaxCount)},
            {"role_change_ms", Milliseconds},
            {"model_load_ms", Milliseconds},
            {"piece_tokens", integer(1, MaxCount)},
            {"service_ms", Milliseconds},
            {"report_lag_ms", Milliseconds},
            {"cache_delay_ms", Milliseconds},
            {"cache_drop_share",
             {{"type", "number"}, {"minimum", 0}, {"maximum", 1}}},
            {"leave_wait_ms", Milliseconds}};
  return {{"type", "object"},
          {"additionalProperties", false},
          {"properties", std::move(Keys)}};
}

template <typename T>
static void take(const Json &From, const char *Key, T &Into) {
  if (const auto Found = From.find(Key); Found != From.end())
    Into = Found->get<T>();
}

static void takeTime(const Json &From, const char *Key,
                     std::chrono::milliseconds &Into) {
  auto Count = Into.count();
  take(From, Key, Count);
  Into = std::chrono::milliseconds(Count);
}

static void takeTime(const Json &From, const char *Key, Duration &Into) {
  auto Whole = std::chrono::duration_cast<std::chrono::milliseconds>(Into);
  takeTime(From, Key, Whole);
  Into = Whole;
}

static void takeModel(const Json &From, enginemodel::Settings &Into) {
  take(From, "prefill_rate", Into.m_PrefillTokensPerSecond);
  take(From, "decode_rate", Into.m_DecodeTokensPerSecond);
  take(From, "batch_slowdown", Into.m_BatchSlowdown);
  take(From, "kv_blocks", Into.m_KvBlocks);
  take(From, "max_running", Into.m_MaxRunning);
  take(From, "max_waiting", Into.m_MaxWaiting);
  takeTime(From, "role_change_ms", Into.m_RoleChangeTime);
  takeTime(From, "model_load_ms", Into.m_ModelLoadTime);
}

static Status takeAddresses(const Json &From, Settings &Into) {
  std::vector<std::string> Entries;
  take(From, "announce", Entries);
  for (const std::string &Entry : Entries) {
    const auto Address = http::parseAddress(Entry);
    if (failed(Address))
      return Error{"settings.announce", Entry, "expected ip:port"};
    Into.m_Announce.push_back(valueOf(Address));
  }
  const std::uint64_t LastPort =
      Into.m_FirstPort + Into.m_Engines + Into.m_Services;
  if (LastPort > 65'536 ||
      failed(http::parseAddress(fmt::format("{}:1", Into.m_Host))))
    return Error{"settings.first_port", Into.m_Host,
                 "expected an IP number and a port for each target"};
  return std::monostate{};
}

Result<Settings> fromJson(const Json &Document) {
  Settings Made;
  take(Document, "engines", Made.m_Engines);
  take(Document, "services", Made.m_Services);
  take(Document, "host", Made.m_Host);
  take(Document, "first_port", Made.m_FirstPort);
  take(Document, "admin_port", Made.m_AdminPort);
  take(Document, "id_prefix", Made.m_IdPrefix);
  take(Document, "region", Made.m_Region);
  take(Document, "zones", Made.m_Zones);
  take(Document, "models", Made.m_Models);
  take(Document, "service_names", Made.m_ServiceNames);
  take(Document, "checks_fence", Made.m_ChecksFence);
  take(Document, "seed", Made.m_Seed);
  take(Document, "judge_log", Made.m_JudgeLog);
  take(Document, "piece_tokens", Made.m_PieceTokens);
  take(Document, "cache_drop_share", Made.m_CacheDropShare);
  std::string Role(targets::roleName(Made.m_Role));
  take(Document, "role", Role);
  Made.m_Role = targets::roleFromName(Role).value_or(Made.m_Role);
  takeModel(Document, Made.m_Model);
  takeTime(Document, "service_ms", Made.m_ServiceTime);
  takeTime(Document, "report_lag_ms", Made.m_ReportLag);
  takeTime(Document, "cache_delay_ms", Made.m_CacheDelay);
  takeTime(Document, "leave_wait_ms", Made.m_LeaveWait);
  if (Status Taken = takeAddresses(Document, Made); failed(Taken))
    return errorOf(Taken);
  return Made;
}

std::vector<targets::Announcement> announcements(const Settings &From) {
  std::vector<targets::Announcement> Made;
  for (std::uint64_t I = 0; I < From.m_Engines + From.m_Services; ++I) {
    const bool IsEngine = I < From.m_Engines;
    const std::uint64_t Number = IsEngine ? I + 1 : I - From.m_Engines + 1;
    targets::Announcement One;
    One.m_Id.m_Value = fmt::format("{}{}-{}", From.m_IdPrefix,
                                   IsEngine ? "engine" : "service", Number);
    One.m_Address = {From.m_Host,
                     static_cast<std::uint16_t>(From.m_FirstPort + I)};
    One.m_Kind = IsEngine ? targets::Kind::Engine : targets::Kind::Service;
    One.m_Region.m_Value = From.m_Region;
    One.m_Zone.m_Value = From.m_Zones[I % From.m_Zones.size()];
    One.m_ChecksFence = From.m_ChecksFence;
    One.m_MaxRunning = From.m_Model.m_MaxRunning;
    if (IsEngine) {
      for (const std::string &Model : From.m_Models)
        One.m_Models.push_back({Model});
      One.m_Role = From.m_Role;
      One.m_KvBlocks = From.m_Model.m_KvBlocks;
      One.m_PrefillTokensPerSecond =
          static_cast<std::uint64_t>(From.m_Model.m_PrefillTokensPerSecond);
      One.m_DecodeTokensPerSecond =
          static_cast<std::uint64_t>(From.m_Model.m_DecodeTokensPerSecond);
    } else {
      One.m_Services = From.m_ServiceNames;
    }
    Made.push_back(std::move(One));
  }
  return Made;
}

} // namespace wasabivale::faketargets
