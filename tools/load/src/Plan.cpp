#include "Plan.h"

#include <algorithm>
#include <fstream>

namespace wasabivale::load {

namespace {

using settings::Json;
using std::chrono::milliseconds;

constexpr const char *SchemaText = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["entries", "seconds", "schedule", "streams"],
  "definitions": {
    "size": {
      "type": "object",
      "additionalProperties": false,
      "required": ["median"],
      "properties": {
        "median": {"type": "number", "minimum": 1},
        "sigma": {"type": "number", "minimum": 0, "maximum": 4},
        "most": {"type": "number", "minimum": 1}
      }
    },
    "share": {"type": "number", "minimum": 0, "maximum": 1}
  },
  "properties": {
    "entries": {
      "type": "array", "minItems": 1,
      "items": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}
    },
    "seed": {"type": "integer", "minimum": 0},
    "seconds": {"type": "number", "exclusiveMinimum": 0},
    "drain_seconds": {"type": "number", "minimum": 0},
    "report": {"type": "string"},
    "schedule": {
      "type": "object",
      "additionalProperties": false,
      "required": ["shape"],
      "properties": {
        "shape": {"enum": ["constant", "step", "square", "ramp", "burst", "recorded"]},
        "rate": {"type": "number", "minimum": 0},
        "high_rate": {"type": "number", "minimum": 0},
        "at_seconds": {"type": "number", "minimum": 0},
        "period_seconds": {"type": "number", "exclusiveMinimum": 0},
        "length_seconds": {"type": "number", "exclusiveMinimum": 0},
        "file": {"type": "string"}
      }
    },
    "streams": {
      "type": "array", "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"type": "string", "minLength": 1},
          "key": {"type": "string"},
          "model": {"type": "string"},
          "service": {"type": "string"},
          "weight": {"type": "number", "minimum": 0},
          "high_weight": {"type": "number", "minimum": 0},
          "prompt_tokens": {"$ref": "#/definitions/size"},
          "max_tokens": {"$ref": "#/definitions/size"},
          "prefixes": {"type": "integer", "minimum": 0},
          "prefix_tokens": {"type": "integer", "minimum": 1},
          "priority": {"type": "integer", "minimum": 0, "maximum": 9},
          "deadline_ms": {"type": "integer", "minimum": 1},
          "stream": {"type": "boolean"},
          "not_repeatable_share": {"$ref": "#/definitions/share"},
          "resend_share": {"$ref": "#/definitions/share"}
        }
      }
    }
  }
})";

milliseconds fromSeconds(double Value) {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(Value));
}

Shape parseShape(const std::string &Name) {
  if (Name == "step")
    return Shape::Step;
  if (Name == "square")
    return Shape::Square;
  if (Name == "ramp")
    return Shape::Ramp;
  if (Name == "burst")
    return Shape::Burst;
  if (Name == "recorded")
    return Shape::Recorded;
  return Shape::Constant;
}

Size readSize(const Json &From, const char *Name, double Median) {
  if (!From.contains(Name))
    return {Median, 0, Median};
  const Json &Given = From[Name];
  Size Made;
  Made.m_Median = Given["median"].get<double>();
  Made.m_Sigma = Given.value("sigma", 0.0);
  Made.m_Most = Given.value("most", 100'000.0);
  return Made;
}

Schedule readSchedule(const Json &From) {
  Schedule Made;
  Made.m_Shape = parseShape(From["shape"].get<std::string>());
  Made.m_LowRate = From.value("rate", 10.0);
  Made.m_HighRate = From.value("high_rate", Made.m_LowRate);
  Made.m_At = fromSeconds(From.value("at_seconds", 0.0));
  Made.m_Period = fromSeconds(From.value("period_seconds", 10.0));
  Made.m_Length = fromSeconds(From.value("length_seconds", 1.0));
  Made.m_File = From.value("file", std::string());
  return Made;
}

Stream readStream(const Json &From) {
  constexpr double DefaultPromptTokens = 200;
  constexpr double DefaultMaxTokens = 64;
  Stream Made;
  Made.m_Name = From["name"].get<std::string>();
  Made.m_Key = From.value("key", std::string());
  Made.m_Model = From.value("model", std::string());
  Made.m_Service = From.value("service", std::string());
  Made.m_Weight = From.value("weight", 1.0);
  Made.m_HighWeight = From.value("high_weight", Made.m_Weight);
  Made.m_Prompt = readSize(From, "prompt_tokens", DefaultPromptTokens);
  Made.m_MaxTokens = readSize(From, "max_tokens", DefaultMaxTokens);
  Made.m_Prefixes = From.value("prefixes", 0U);
  Made.m_PrefixTokens = From.value("prefix_tokens", Made.m_PrefixTokens);
  Made.m_Priority = From.value("priority", Made.m_Priority);
  Made.m_Deadline = milliseconds(From.value("deadline_ms", 10'000));
  Made.m_Streaming = From.value("stream", true);
  Made.m_NotRepeatableShare = From.value("not_repeatable_share", 0.0);
  Made.m_ResendShare = From.value("resend_share", 0.0);
  return Made;
}

Result<std::vector<Recorded>> readRecorded(const std::string &Name,
                                           std::size_t Streams) {
  const std::string Step = "load.recorded";
  std::ifstream File(Name);
  if (!File)
    return Error{Step, Name, "cannot be read"};
  std::vector<Recorded> Lines;
  std::string Text;
  while (std::getline(File, Text)) {
    Json Line = Json::parse(Text, nullptr, false);
    if (!Line.is_object() || !Line.contains("at_ms"))
      return Error{Step, Name, "not a JSON object with at_ms: " + Text};
    Recorded One;
    One.m_At = milliseconds(Line.value("at_ms", 0));
    One.m_Stream = Line.value("stream", std::size_t{0});
    One.m_PromptTokens = Line.value("prompt_tokens", 0U);
    One.m_MaxTokens = Line.value("max_tokens", 0U);
    if (One.m_Stream >= Streams)
      return Error{Step, Name, "no such stream: " + Text};
    Lines.push_back(One);
  }
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const Recorded &Left, const Recorded &Right) {
                     return Left.m_At < Right.m_At;
                   });
  return Lines;
}

} // namespace

const Json &planSchema() {
  static const Json Schema = Json::parse(SchemaText);
  return Schema;
}

Result<Plan> readPlan(const Json &Valid) {
  constexpr double DefaultDrainSeconds = 30;
  Plan Made;
  for (const Json &Each : Valid["entries"]) {
    Result<http::Address> Address = http::parseAddress(Each.get<std::string>());
    if (failed(Address))
      return errorOf(Address);
    Made.m_Entries.push_back(valueOf(Address));
  }
  Made.m_Seed = Valid.value("seed", std::uint64_t{1});
  Made.m_Length = fromSeconds(Valid["seconds"].get<double>());
  Made.m_Drain = fromSeconds(Valid.value("drain_seconds", DefaultDrainSeconds));
  Made.m_ReportFile = Valid.value("report", std::string());
  Made.m_Schedule = readSchedule(Valid["schedule"]);
  for (const Json &Each : Valid["streams"])
    Made.m_Streams.push_back(readStream(Each));
  for (const Stream &Each : Made.m_Streams)
    if (Each.m_Model.empty() == Each.m_Service.empty())
      return Error{"load.settings", Each.m_Name, "needs a model or a service"};
  if (Made.m_Schedule.m_Shape != Shape::Recorded)
    return Made;
  Result<std::vector<Recorded>> Lines =
      readRecorded(Made.m_Schedule.m_File, Made.m_Streams.size());
  if (failed(Lines))
    return errorOf(Lines);
  Made.m_Recorded = std::move(valueOf(Lines));
  return Made;
}

double heightAt(const Schedule &Of, milliseconds At) {
  milliseconds Since = At - Of.m_At;
  if (Since < milliseconds(0))
    return 0;
  switch (Of.m_Shape) {
  case Shape::Constant:
  case Shape::Recorded:
    return 0;
  case Shape::Step:
    return 1;
  case Shape::Square:
    return Since % Of.m_Period < Of.m_Period / 2 ? 1 : 0;
  case Shape::Burst:
    return Since % Of.m_Period < Of.m_Length ? 1 : 0;
  case Shape::Ramp:
    return std::min(1.0, static_cast<double>(Since.count()) /
                             static_cast<double>(Of.m_Length.count()));
  }
  return 0;
}

double rateAt(const Schedule &Of, milliseconds At) {
  return Of.m_LowRate + heightAt(Of, At) * (Of.m_HighRate - Of.m_LowRate);
}

double peakRate(const Schedule &Of) {
  return std::max(Of.m_LowRate, Of.m_HighRate);
}

} // namespace wasabivale::load
