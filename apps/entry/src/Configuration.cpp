#include "Configuration.h"

#include <nlohmann/json.hpp>

namespace wasabivale::entry {

using Json = nlohmann::json;

namespace {

void readNumber(const Json &From, const char *Name, double &To) {
  const auto Found = From.find(Name);
  if (Found != From.end() && Found->is_number())
    To = Found->get<double>();
}

void readMilliseconds(const Json &From, const char *Name,
                      std::chrono::milliseconds &To) {
  const auto Found = From.find(Name);
  if (Found != From.end() && Found->is_number_unsigned())
    To = std::chrono::milliseconds(Found->get<std::int64_t>());
}

/// The array \p Name of \p From, or an empty one.
const Json &list(const Json &From, const char *Name) {
  static const Json Empty = Json::array();
  const auto Found = From.find(Name);
  return Found != From.end() && Found->is_array() ? *Found : Empty;
}

std::string textOf(const Json &From, const char *Name) {
  const auto Found = From.find(Name);
  return Found != From.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

Caller readCaller(const Json &From) {
  Caller Made;
  Made.m_Id = {textOf(From, "id")};
  readNumber(From, "weight", Made.m_Weight);
  readNumber(From, "requests_per_second", Made.m_Limits.m_RequestsPerSecond);
  readNumber(From, "prompt_tokens_per_second",
             Made.m_Limits.m_PromptTokensPerSecond);
  readNumber(From, "output_tokens_per_second",
             Made.m_Limits.m_OutputTokensPerSecond);
  readNumber(From, "concurrent", Made.m_Limits.m_Running);
  readMilliseconds(From, "maximum_deadline_ms", Made.m_MaxDeadline);
  Made.m_DefaultDeadline = std::min(Made.m_DefaultDeadline, Made.m_MaxDeadline);
  readMilliseconds(From, "default_deadline_ms", Made.m_DefaultDeadline);
  return Made;
}

void readCallers(const Json &From, Configuration &To) {
  for (const Json &Item : list(From, "callers")) {
    const Caller Read = readCaller(Item);
    for (const Json &Hash : list(Item, "key_hashes"))
      if (Hash.is_string())
        To.m_ByKeyHash[Hash.get<std::string>()] = Read.m_Id;
    To.m_Callers[Read.m_Id] = Read;
  }
}

void readLedger(const Json &From, Configuration &To) {
  const auto Found = From.find("ledger");
  if (Found == From.end() || !Found->is_object())
    return;
  double RetentionSeconds = 0;
  double AnswerBytes = static_cast<double>(To.m_MaxAnswerBytes);
  readNumber(*Found, "retention_s", RetentionSeconds);
  readNumber(*Found, "max_answer_bytes", AnswerBytes);
  To.m_Retention = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(RetentionSeconds));
  To.m_MaxAnswerBytes = static_cast<std::size_t>(AnswerBytes);
}

} // namespace

Result<Configuration> readConfiguration(std::string_view Document,
                                        std::uint64_t Revision) {
  const Json Read = Json::parse(Document, nullptr, false);
  if (!Read.is_object())
    return Error{"configuration.read", "", "the document is no JSON object"};
  Configuration Made;
  Made.m_Revision = Revision;
  readCallers(Read, Made);
  for (const Json &Model : list(Read, "models"))
    Made.m_Models.insert(textOf(Model, "id"));
  for (const Json &Service : list(Read, "services"))
    Made.m_NotRepeatable[textOf(Service, "name")] =
        Service.value("not_repeatable_by_default", false);
  readLedger(Read, Made);
  return Made;
}

const Caller &anonymousCaller() {
  static const Caller Made = [] {
    Caller Anonymous;
    Anonymous.m_Id = {"anonymous"};
    return Anonymous;
  }();
  return Made;
}

const Caller *findCaller(const Configuration &In, std::string_view Key) {
  const auto Found = In.m_ByKeyHash.find(digestHex(Key));
  if (Found == In.m_ByKeyHash.end())
    return nullptr;
  return &In.m_Callers.at(Found->second);
}

} // namespace wasabivale::entry
