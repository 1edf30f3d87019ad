#include "Arrival.h"

#include "Text.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace wasabivale::entry {

using Json = nlohmann::json;

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::string_view BearerPrefix = "Bearer ";

using Check = std::optional<Rejection>;

Check readPath(const http::Request &From, Arrival &To) {
  const std::string &Path = From.m_Path;
  if (Path == "/v1/completions") {
    To.m_Api = Api::Completions;
  } else if (Path == "/v1/chat/completions") {
    To.m_Api = Api::Chat;
  } else if (Path == "/v1/models") {
    To.m_Api = Api::Models;
  } else if (Path.rfind(ServicePrefix, 0) == 0) {
    const std::string Rest = Path.substr(ServicePrefix.size());
    const std::size_t Slash = Rest.find('/');
    To.m_Api = Api::Service;
    To.m_Model = Rest.substr(0, Slash);
    To.m_Path = Slash == Rest.npos ? "/" : Rest.substr(Slash);
    if (!From.m_Query.empty())
      To.m_Path += "?" + From.m_Query;
    if (To.m_Model.empty())
      return notRun(Refusal::UnknownPath, "arrival.path");
  } else {
    return notRun(Refusal::UnknownPath, "arrival.path");
  }
  if (!isUtf8(To.m_Path) || !isUtf8(To.m_Model))
    return notRun(Refusal::InvalidText, "arrival.path");
  return std::nullopt;
}

Check readMethod(const http::Request &From, Arrival &To) {
  To.m_Method = From.m_Method;
  const bool Get = From.m_Method == "GET";
  const bool Post = From.m_Method == "POST";
  const bool Allowed = To.m_Api == Api::Models    ? Get
                       : To.m_Api == Api::Service ? Get || Post
                                                  : Post;
  if (!Allowed)
    return notRun(Refusal::MethodNotAllowed, "arrival.method");
  return std::nullopt;
}

/// \returns the caller, or null with the refusal in \p Why.
const Caller *readCaller(const http::Request &From, const Configuration &Known,
                         const ArrivalRules &Rules, Check &Why) {
  const std::string_view Given = http::header(From.m_Headers, "authorization");
  if (Known.m_Revision == 0) {
    if (Rules.m_AllowAnonymous)
      return &anonymousCaller();
    Why = notRun(Refusal::NoConfiguration, "arrival.caller");
    return nullptr;
  }
  if (Given.substr(0, BearerPrefix.size()) != BearerPrefix) {
    Why = notRun(Refusal::MissingKey, "arrival.caller");
    return nullptr;
  }
  const Caller *Found = findCaller(Known, Given.substr(BearerPrefix.size()));
  if (Found == nullptr)
    Why = notRun(Refusal::UnknownKey, "arrival.caller");
  return Found;
}

/// Reads a whole decimal number from \p Lowest to \p Highest.
std::optional<std::int64_t>
readNumber(std::string_view Text, std::int64_t Lowest, std::int64_t Highest) {
  std::int64_t Value = 0;
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size() ||
      Value < Lowest || Value > Highest)
    return std::nullopt;
  return Value;
}

Check readDeadline(const http::Request &From, const Caller &By, Arrival &To) {
  const std::string_view Given =
      http::header(From.m_Headers, "wasabivale-deadline-ms");
  auto Left = By.m_DefaultDeadline;
  if (!Given.empty()) {
    const auto Read = readNumber(Given, 1, By.m_MaxDeadline.count());
    if (!Read)
      return notRun(Refusal::InvalidField, "arrival.deadline",
                    "Wasabivale-Deadline-Ms: a number from 1 to " +
                        std::to_string(By.m_MaxDeadline.count()));
    Left = std::chrono::milliseconds(*Read);
  }
  To.m_Deadline = To.m_ArrivedAt + Left;
  return std::nullopt;
}

Check readPriority(const http::Request &From, Arrival &To) {
  const std::string_view Given =
      http::header(From.m_Headers, "wasabivale-priority");
  if (Given.empty())
    return std::nullopt;
  const auto Read = readNumber(Given, 0, limits::MaxPriority);
  if (!Read)
    return notRun(Refusal::InvalidField, "arrival.priority",
                  "Wasabivale-Priority: a number from 0 to 9");
  To.m_Priority = static_cast<unsigned>(*Read);
  return std::nullopt;
}

bool isPrintable(std::string_view Text) {
  for (const char Symbol : Text)
    if (static_cast<unsigned char>(Symbol) < 0x20 || Symbol == 0x7F)
      return false;
  return true;
}

Check readRepeatable(const http::Request &From, const Configuration &Known,
                     Arrival &To) {
  const std::string_view Mark =
      http::header(From.m_Headers, "wasabivale-not-repeatable");
  if (!Mark.empty() && Mark != "true" && Mark != "false")
    return notRun(Refusal::InvalidField, "arrival.not_repeatable",
                  "Wasabivale-Not-Repeatable: true or false");
  const auto Service = Known.m_NotRepeatable.find(To.m_Model);
  const bool ByService = To.isService() &&
                         Service != Known.m_NotRepeatable.end() &&
                         Service->second && To.m_Method != "GET";
  To.m_NotRepeatable = Mark == "true" || ByService;
  if (!To.m_NotRepeatable || From.m_Headers.count("idempotency-key") == 0)
    return std::nullopt;
  const std::string_view Key = http::header(From.m_Headers, "idempotency-key");
  if (Key.empty() || Key.size() > MaxKeyBytes || !isUtf8(Key) ||
      !isPrintable(Key))
    return notRun(Refusal::InvalidField, "arrival.idempotency_key",
                  "Idempotency-Key: 1 to 128 printable bytes of UTF-8");
  To.m_Key = Key;
  To.m_BodyDigest = digestHex(From.m_Method + " " + From.m_Path + "?" +
                              From.m_Query + "\n" + From.m_Body);
  return std::nullopt;
}

Rejection invalidField(const char *Name, const char *Expected) {
  return notRun(Refusal::InvalidField, std::string("arrival.") + Name,
                std::string(Name) + ": " + Expected);
}

Check readModel(const Json &Body, const Configuration &Known, Arrival &To) {
  const auto Found = Body.find("model");
  if (Found == Body.end() || !Found->is_string())
    return invalidField("model", "text is required");
  To.m_Model = Found->get<std::string>();
  if (To.m_Model.empty() || To.m_Model.size() > MaxModelBytes)
    return invalidField("model", "1 to 256 bytes");
  // Without any configured model every model that a target serves is known.
  if (!Known.m_Models.empty() && Known.m_Models.count(To.m_Model) == 0)
    return notRun(Refusal::UnknownModel, "arrival.model");
  return std::nullopt;
}

Check readPrompt(const Json &Body, Arrival &To) {
  const auto Found = Body.find("prompt");
  if (Found == Body.end() || !Found->is_string())
    return invalidField("prompt", "text is required");
  To.m_Prompt = Found->get<std::string>();
  return std::nullopt;
}

Check readMessages(const Json &Body, Arrival &To) {
  const auto Found = Body.find("messages");
  if (Found == Body.end() || !Found->is_array() || Found->empty())
    return invalidField("messages", "a list of messages is required");
  for (const Json &Message : *Found) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message["role"].is_string() || !Message.contains("content") ||
        !Message["content"].is_string())
      return invalidField("messages", "each has a role and content, both text");
    To.m_Prompt += Message["role"].get_ref<const std::string &>();
    To.m_Prompt += ": ";
    To.m_Prompt += Message["content"].get_ref<const std::string &>();
    To.m_Prompt += "\n";
  }
  return std::nullopt;
}

Check readSampling(const Json &Body, Arrival &To) {
  if (const auto Found = Body.find("max_tokens"); Found != Body.end()) {
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() < 1 ||
        Found->get<std::uint64_t>() > MaxOutputTokens)
      return invalidField("max_tokens", "a whole number from 1 to 131072");
    To.m_MaxTokens = Found->get<std::uint64_t>();
  }
  if (const auto Found = Body.find("stream"); Found != Body.end()) {
    if (!Found->is_boolean())
      return invalidField("stream", "true or false");
    To.m_Stream = Found->get<bool>();
  }
  if (const auto Found = Body.find("n"); Found != Body.end() && *Found != 1)
    return invalidField("n", "only 1 is supported");
  return std::nullopt;
}

Check readGeneration(const http::Request &From, const Configuration &Known,
                     Arrival &To) {
  if (!isUtf8(From.m_Body))
    return notRun(Refusal::InvalidText, "arrival.body");
  if (nestingDepth(From.m_Body) > MaxRequestDepth)
    return notRun(Refusal::InvalidJson, "arrival.body",
                  "the body is nested too deeply");
  const Json Body = Json::parse(From.m_Body, nullptr, false);
  if (!Body.is_object())
    return notRun(Refusal::InvalidJson, "arrival.body");
  if (Check Model = readModel(Body, Known, To))
    return Model;
  Check Prompt =
      To.m_Api == Api::Chat ? readMessages(Body, To) : readPrompt(Body, To);
  if (Prompt)
    return Prompt;
  return readSampling(Body, To);
}

Check readService(const http::Request &From, const Configuration &Known,
                  Arrival &To) {
  if (Known.m_Revision != 0 && Known.m_NotRepeatable.count(To.m_Model) == 0)
    return notRun(Refusal::UnknownService, "arrival.service");
  if (!isUtf8(From.m_Body))
    return notRun(Refusal::InvalidText, "arrival.body");
  To.m_Body = From.m_Body;
  return std::nullopt;
}

} // namespace

std::variant<Arrival, Rejection> readArrival(const http::Request &From,
                                             const Configuration &Known,
                                             const ArrivalRules &Rules,
                                             TimePoint Now) {
  Arrival Made;
  Made.m_ArrivedAt = Now;
  if (Check Path = readPath(From, Made))
    return *Path;
  if (Check Method = readMethod(From, Made))
    return *Method;
  Check Why;
  const Caller *By = readCaller(From, Known, Rules, Why);
  if (By == nullptr)
    return *Why;
  Made.m_Caller = By->m_Id;
  if (Made.m_Api == Api::Models)
    return Made;
  if (Check Deadline = readDeadline(From, *By, Made))
    return *Deadline;
  if (Check Priority = readPriority(From, Made))
    return *Priority;
  if (Check Repeatable = readRepeatable(From, Known, Made))
    return *Repeatable;
  Check Body = Made.isService() ? readService(From, Known, Made)
                                : readGeneration(From, Known, Made);
  if (Body)
    return *Body;
  return Made;
}

std::uint32_t tokensOf(std::string_view Text) {
  return static_cast<std::uint32_t>((Text.size() + BytesPerToken - 1) /
                                    BytesPerToken);
}

} // namespace wasabivale::entry
