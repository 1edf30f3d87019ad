#include "settings/settings.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace wasabivale::settings {

namespace {

constexpr std::size_t LongestShownValueBytes = 80;

using Adapter = valijson::adapters::NlohmannJsonAdapter;

std::string shortened(std::string Text) {
  if (Text.size() > LongestShownValueBytes)
    Text = Text.substr(0, LongestShownValueBytes - 3) + "...";
  return Text;
}

/// The validator names places as `<root>[a][0]`; settings files are spoken of
/// by JSON pointer.
std::string toPointer(const std::string &Context) {
  std::string Pointer;
  std::size_t Open = Context.find('[');
  while (Open != std::string::npos) {
    const std::size_t Close = Context.find(']', Open);
    if (Close == std::string::npos)
      break;
    Pointer += '/' + Context.substr(Open + 1, Close - Open - 1);
    Open = Context.find('[', Close);
  }
  return Pointer;
}

std::string valueAt(const Json &Document, const std::string &Pointer) {
  try {
    return shortened(Document.at(Json::json_pointer(Pointer)).dump());
  } catch (const Json::exception &) {
    return "(absent)";
  }
}

std::vector<Problem> oneProblem(std::string File, std::string Pointer,
                                std::string Value, std::string Expected) {
  return {Problem{std::move(File), std::move(Pointer), std::move(Value),
                  std::move(Expected)}};
}

/// Follows a reference to a definition of the document's schema.
const Json &resolve(const Json &Schema, const Json &Root) {
  const auto Reference = Schema.find("$ref");
  if (Reference == Schema.end())
    return Schema;
  return Root.at(
      Json::json_pointer(Reference->get_ref<const std::string &>().substr(1)));
}

/// Removes unknown keys of a value and of what it contains.
struct UnknownKeyRemoval {
  const Json &m_Root; ///< Schema of the document.
  const std::string &m_File;
  std::vector<Problem> m_Removed;

  void visitObject(Json &Value, const Json &Schema,
                   const Json::json_pointer &Place) {
    const Json None = Json::object();
    const auto Properties = Schema.find("properties");
    const Json &Known = Properties == Schema.end() ? None : *Properties;
    const auto Others = Schema.find("additionalProperties");
    const bool IsClosed = Others != Schema.end() && *Others == false;
    for (auto It = Value.begin(); It != Value.end();) {
      const Json::json_pointer Member = Place / It.key();
      if (const auto Rule = Known.find(It.key()); Rule != Known.end())
        visit(*It, *Rule, Member);
      else if (Others != Schema.end() && Others->is_object())
        visit(*It, *Others, Member);
      else if (IsClosed) {
        m_Removed.push_back({m_File, Member.to_string(), shortened(It->dump()),
                             "a key that this version knows"});
        It = Value.erase(It);
        continue;
      }
      ++It;
    }
  }

  void visit(Json &Value, const Json &Reference,
             const Json::json_pointer &Place) {
    const Json &Schema = resolve(Reference, m_Root);
    if (Value.is_object())
      return visitObject(Value, Schema, Place);
    const auto Items = Schema.find("items");
    if (!Value.is_array() || Items == Schema.end() || !Items->is_object())
      return;
    for (std::size_t I = 0; I < Value.size(); ++I)
      visit(Value[I], *Items, Place / I);
  }
};

} // namespace

std::string describe(const Problem &Finding) {
  return fmt::format("{}: {}: {}: {}", Finding.m_File,
                     Finding.m_Pointer.empty() ? "/" : Finding.m_Pointer,
                     Finding.m_Value, Finding.m_Expected);
}

std::vector<Problem> check(const Json &Document, const Json &Schema,
                           const std::string &File) {
  valijson::Schema Parsed;
  valijson::SchemaParser Parser;
  Parser.populateSchema(Adapter(Schema), Parsed);
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  std::vector<Problem> Problems;
  if (Validator.validate(Parsed, Adapter(Document), &Results))
    return Problems;
  valijson::ValidationResults::Error Finding;
  while (Results.popError(Finding)) {
    std::string Context;
    for (const std::string &Part : Finding.context)
      Context += Part;
    const std::string Pointer = toPointer(Context);
    Problems.push_back(
        {File, Pointer, valueAt(Document, Pointer), Finding.description});
  }
  return Problems;
}

std::vector<Problem> removeUnknownKeys(Json &Document, const Json &Schema,
                                       const std::string &File) {
  UnknownKeyRemoval Removal{Schema, File, {}};
  Removal.visit(Document, Schema, Json::json_pointer());
  return std::move(Removal.m_Removed);
}

std::variant<Json, std::vector<Problem>> parse(std::string_view Text,
                                               const Json &Schema,
                                               const std::string &File,
                                               std::vector<Problem> *Ignored) {
  Json Document;
  try {
    Document = Json::parse(Text);
  } catch (const Json::parse_error &Failure) {
    return oneProblem(File, fmt::format("byte {}", Failure.byte),
                      "(not valid JSON)", Failure.what());
  } catch (const Json::exception &Failure) {
    // A number that fits no type, for example 1e999.
    return oneProblem(File, "", "(not valid JSON)", Failure.what());
  }
  if (Ignored != nullptr)
    *Ignored = removeUnknownKeys(Document, Schema, File);
  auto Problems = check(Document, Schema, File);
  if (!Problems.empty())
    return Problems;
  return Document;
}

std::variant<Json, std::vector<Problem>> load(const std::string &File,
                                              const Json &Schema,
                                              std::vector<Problem> *Ignored) {
  std::ifstream Input(File, std::ios::binary);
  if (!Input)
    return oneProblem(File, "", "(cannot be read)", "a readable JSON file");
  std::ostringstream Text;
  Text << Input.rdbuf();
  return parse(Text.str(), Schema, File, Ignored);
}

} // namespace wasabivale::settings
