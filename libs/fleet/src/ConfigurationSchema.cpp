#include "fleet/fleet.h"

#include "Replies.h"

#include "settings/settings.h"

namespace wasabivale::fleet {

namespace {

constexpr const char *SchemaText = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "wasabivale configuration",
  "type": "object",
  "additionalProperties": false,
  "required": ["callers", "models", "services"],
  "definitions": {
    "milliseconds": {"type": "integer", "minimum": 1, "maximum": 86400000},
    "rate": {"type": "number", "exclusiveMinimum": 0},
    "name": {"type": "string", "minLength": 1, "maxLength": 128}
  },
  "properties": {
    "callers": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "key_hashes"],
        "properties": {
          "id": {"$ref": "#/definitions/name"},
          "key_hashes": {
            "type": "array", "maxItems": 8,
            "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"}
          },
          "weight": {"$ref": "#/definitions/rate"},
          "requests_per_second": {"$ref": "#/definitions/rate"},
          "prompt_tokens_per_second": {"$ref": "#/definitions/rate"},
          "output_tokens_per_second": {"$ref": "#/definitions/rate"},
          "concurrent": {"type": "integer", "minimum": 1},
          "default_deadline_ms": {"$ref": "#/definitions/milliseconds"},
          "maximum_deadline_ms": {"$ref": "#/definitions/milliseconds"}
        }
      }
    },
    "models": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id"],
        "properties": {"id": {"$ref": "#/definitions/name"}}
      }
    },
    "services": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "not_repeatable_by_default": {"type": "boolean"}
        }
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "default_deadline_ms": {"$ref": "#/definitions/milliseconds"},
        "maximum_deadline_ms": {"$ref": "#/definitions/milliseconds"},
        "queue": {"type": "integer", "minimum": 0},
        "streams": {"type": "integer", "minimum": 1},
        "prompt_tokens": {"type": "integer", "minimum": 1},
        "output_tokens": {"type": "integer", "minimum": 1}
      }
    },
    "roles": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "cost_per_change": {"type": "number", "minimum": 0},
        "changes_per_hour": {"type": "integer", "minimum": 0},
        "cooldown_ms": {"type": "integer", "minimum": 0},
        "horizon_ms": {"$ref": "#/definitions/milliseconds"},
        "minimum": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "prefill": {"type": "integer", "minimum": 0},
            "decode": {"type": "integer", "minimum": 0}
          }
        }
      }
    },
    "ledger": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "retention_s": {"type": "integer", "minimum": 1},
        "max_keys": {"type": "integer", "minimum": 1},
        "max_bytes": {"type": "integer", "minimum": 1024},
        "max_answer_bytes": {"type": "integer", "minimum": 0}
      }
    },
    "weight_store": {
      "type": "object",
      "additionalProperties": false,
      "properties": {"loads_at_once": {"type": "integer", "minimum": 1}}
    }
  }
})json";

/// Adds a problem for each duplicate value of \p Member.
void requireUnique(const Json &List, const char *Member,
                   const std::string &Pointer, std::string &Problems) {
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < List.size(); ++I)
    if (!Seen.insert(textOf(List[I], Member)).second)
      Problems += Pointer + '/' + std::to_string(I) + '/' + Member +
                  ": duplicate value\n";
}

void requireDistinctKeys(const Json &Callers, std::string &Problems) {
  std::set<std::string> Seen;
  for (const Json &Caller : Callers)
    for (const Json &Hash : Caller["key_hashes"])
      if (!Seen.insert(Hash.get<std::string>()).second)
        Problems += "/callers: two callers share a key\n";
}

void requireDefaultWithinMaximum(const Json &Object, const std::string &Pointer,
                                 std::string &Problems) {
  const std::uint64_t Maximum =
      numberOf(Object, "maximum_deadline_ms", UINT64_MAX);
  if (numberOf(Object, "default_deadline_ms", 0) > Maximum)
    Problems += Pointer + ": the default deadline exceeds the maximum\n";
}

} // namespace

const Json &configurationSchema() {
  static const Json Schema = Json::parse(SchemaText);
  return Schema;
}

std::string checkConfiguration(const std::string &Document) {
  const auto Parsed =
      settings::parse(Document, configurationSchema(), "configuration");
  std::string Problems;
  if (const auto *Found =
          std::get_if<std::vector<settings::Problem>>(&Parsed)) {
    for (const settings::Problem &Problem : *Found)
      Problems += settings::describe(Problem) + '\n';
    return Problems;
  }
  const Json &Valid = std::get<Json>(Parsed);
  requireUnique(Valid["callers"], "id", "/callers", Problems);
  requireUnique(Valid["models"], "id", "/models", Problems);
  requireUnique(Valid["services"], "name", "/services", Problems);
  requireDistinctKeys(Valid["callers"], Problems);
  for (const Json &Caller : Valid["callers"])
    requireDefaultWithinMaximum(Caller, "/callers/" + textOf(Caller, "id"),
                                Problems);
  if (Valid.contains("limits"))
    requireDefaultWithinMaximum(Valid["limits"], "/limits", Problems);
  return Problems;
}

} // namespace wasabivale::fleet
