#include "Fields.h"

#include <fmt/format.h>

namespace wasabivale::targets {

/// Counts brackets outside strings before the parser builds anything.
static bool nestsTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char Byte = Text[I];
    if (InString) {
      if (Byte == '\\')
        ++I;
      else if (Byte == '"')
        InString = false;
      continue;
    }
    if (Byte == '"')
      InString = true;
    else if (Byte == '{' || Byte == '[')
      ++Depth;
    else if ((Byte == '}' || Byte == ']') && Depth > 0)
      --Depth;
    if (Depth > MaxDepth)
      return true;
  }
  return false;
}

Fields::Fields(std::string_view Text, std::string Step)
    : m_Step(std::move(Step)) {
  if (nestsTooDeep(Text)) {
    m_Problem = "the JSON nests too deep";
    return;
  }
  m_Object = Json::parse(Text, nullptr, false);
  if (m_Object.is_discarded())
    m_Problem = "not valid JSON";
  else if (!m_Object.is_object())
    m_Problem = "not a JSON object";
}

Fields::Fields(const Json &Object, std::string Step)
    : m_Step(std::move(Step)), m_Object(Object) {
  if (!m_Object.is_object())
    m_Problem = "not a JSON object";
}

void Fields::refuse(const char *Key, const char *Expected) {
  if (!m_Problem)
    m_Problem = fmt::format("field {}: expected {}", Key, Expected);
}

const Json *Fields::find(const char *Key, Presence Needed) {
  if (m_Problem)
    return nullptr;
  const auto At = m_Object.find(Key);
  if (At != m_Object.end() && !At->is_null())
    return &*At;
  if (Needed == Presence::Required)
    refuse(Key, "a value");
  return nullptr;
}

void Fields::text(const char *Key, std::string &Into, Presence Needed,
                  std::size_t MaxBytes) {
  const Json *Value = find(Key, Needed);
  if (Value == nullptr)
    return;
  if (!Value->is_string())
    return refuse(Key, "a string");
  const auto &Text = Value->get_ref<const std::string &>();
  if (Text.size() > MaxBytes)
    return refuse(Key, "a shorter string");
  if (Needed == Presence::Required && MaxBytes == MaxNameBytes && Text.empty())
    return refuse(Key, "a string that is not empty");
  Into = Text;
}

void Fields::number(const char *Key, std::uint64_t &Into, Presence Needed,
                    std::uint64_t Max) {
  const Json *Value = find(Key, Needed);
  if (Value == nullptr)
    return;
  if (!Value->is_number_unsigned() || Value->get<std::uint64_t>() > Max)
    return refuse(Key, "an integer in range");
  Into = Value->get<std::uint64_t>();
}

void Fields::flag(const char *Key, bool &Into, Presence Needed) {
  const Json *Value = find(Key, Needed);
  if (Value == nullptr)
    return;
  if (!Value->is_boolean())
    return refuse(Key, "true or false");
  Into = Value->get<bool>();
}

void Fields::names(const char *Key, std::vector<std::string> &Into,
                   Presence Needed) {
  const Json *Value = find(Key, Needed);
  if (Value == nullptr)
    return;
  if (!Value->is_array() || Value->size() > MaxNames)
    return refuse(Key, "a short list of names");
  for (const Json &Name : *Value) {
    if (!Name.is_string())
      return refuse(Key, "a list of strings");
    const auto &Text = Name.get_ref<const std::string &>();
    if (Text.empty() || Text.size() > MaxNameBytes)
      return refuse(Key, "names of 1 to 256 bytes");
    Into.push_back(Text);
  }
}

void Fields::models(const char *Key, std::vector<ModelId> &Into,
                    Presence Needed) {
  std::vector<std::string> Names;
  names(Key, Names, Needed);
  for (std::string &Name : Names)
    Into.push_back({std::move(Name)});
}

void Fields::role(const char *Key, Role &Into, Presence Needed) {
  std::string Name;
  text(Key, Name, Needed);
  if (Name.empty())
    return;
  if (const auto Known = roleFromName(Name))
    Into = *Known;
  else
    refuse(Key, "mixed, prefill or decode");
}

void Fields::fence(const char *Key, Fence &Into, Presence Needed) {
  const Json *Value = find(Key, Needed);
  if (Value == nullptr)
    return;
  Fields Inner(*Value, m_Step);
  Inner.number("term", Into.m_Term, Presence::Required);
  Inner.number("sequence", Into.m_Sequence, Presence::Required);
  if (Inner.bad())
    refuse(Key, "an object with term and sequence");
}

Json toJson(const Fence &Value) {
  return {{"term", Value.m_Term}, {"sequence", Value.m_Sequence}};
}

Json toJson(const std::vector<ModelId> &Models) {
  Json List = Json::array();
  for (const ModelId &Model : Models)
    List.push_back(Model.m_Value);
  return List;
}

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace wasabivale::targets
