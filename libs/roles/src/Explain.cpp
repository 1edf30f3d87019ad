#include "roles/roles.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wasabivale::roles {

namespace {

using Json = nlohmann::json;

Json toJson(const WorkRate &Value) {
  return {{"requests_per_second", Value.m_Requests},
          {"prefill_tokens_per_second", Value.m_PrefillTokens},
          {"decode_tokens_per_second", Value.m_DecodeTokens}};
}

Json toJson(const Alternative &Value) {
  return {{"engine", Value.m_Engine.m_Value},
          {"from", roleName(Value.m_From)},
          {"to", roleName(Value.m_To)},
          {"gain_answers", Value.m_Gain},
          {"deviation_answers", Value.m_Deviation},
          {"evidence_answers", Value.m_Evidence},
          {"reason", reasonName(Value.m_Reason)}};
}

} // namespace

Json toJson(const Explanation &Value) {
  Json Engines = Json::object();
  for (Role EngineRole : {Role::Mixed, Role::Prefill, Role::Decode})
    Engines[std::string(roleName(EngineRole))] =
        Value.m_Engines[static_cast<std::size_t>(EngineRole)];
  Json Alternatives = Json::array();
  for (const Alternative &Option : Value.m_Alternatives)
    Alternatives.push_back(toJson(Option));
  std::chrono::duration<double> CooldownLeft = Value.m_CooldownLeft;
  return {{"pool", Value.m_Pool},
          {"reason", reasonName(Value.m_Reason)},
          {"engines", Engines},
          {"observed", toJson(Value.m_Observed)},
          {"expected", toJson(Value.m_Expected)},
          {"prefill_deviation", Value.m_PrefillDeviation},
          {"decode_deviation", Value.m_DecodeDeviation},
          {"utilisation", Value.m_Utilisation},
          {"goodput_today", Value.m_GoodputToday},
          {"cost_answers", Value.m_CostAnswers},
          {"evidence_needed", Value.m_EvidenceNeeded},
          {"unpaid_changes", Value.m_UnpaidChanges},
          {"changes_this_hour", Value.m_ChangesThisHour},
          {"cooldown_left_seconds", CooldownLeft.count()},
          {"alternatives", Alternatives}};
}

std::string describe(const Explanation &Value) {
  std::string Line =
      fmt::format("{}: {}", Value.m_Pool, reasonName(Value.m_Reason));
  if (Value.m_Alternatives.empty())
    return Line;
  const Alternative &Best = Value.m_Alternatives.front();
  return Line + fmt::format(": best {}->{} gains {:.1f} +- {:.1f} of {:.1f} "
                            "answers needed, lost so far {:.1f} of {:.1f}",
                            roleName(Best.m_From), roleName(Best.m_To),
                            Best.m_Gain, Best.m_Deviation, Value.m_CostAnswers,
                            Best.m_Evidence, Value.m_EvidenceNeeded);
}

} // namespace wasabivale::roles
