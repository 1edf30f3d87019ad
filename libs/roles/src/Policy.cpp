#include "roles/roles.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace wasabivale::roles {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

/// One key of a policy's JSON form and how it is taken over.
struct Key {
  const char *m_Name;
  std::function<void(const Json &, Policy &)> m_Read;
};

Key secondsKey(const char *Name, Duration Policy::*Field) {
  return {Name, [Field](const Json &From, Policy &Into) {
            Into.*Field = fromSeconds(From.get<double>());
          }};
}

Key numberKey(const char *Name, double Policy::*Field) {
  return {Name, [Field](const Json &From, Policy &Into) {
            Into.*Field = From.get<double>();
          }};
}

void readLeast(const Json &From, Policy &Into) {
  for (const auto &[Name, Count] : From.items()) {
    std::optional<Role> Of = parseRole(Name);
    if (!Of)
      throw Json::other_error::create(501, "unknown role " + Name, &From);
    Into.m_MinEngines[static_cast<std::size_t>(*Of)] =
        Count.get<std::uint32_t>();
  }
}

void readRates(const Json &From, Policy &Into) {
  for (const auto &[Name, Rates] : From.items()) {
    std::optional<Role> Of = parseRole(Name);
    if (!Of)
      throw Json::other_error::create(501, "unknown role " + Name, &From);
    RoleRates &Known = Into.m_RoleRates[static_cast<std::size_t>(*Of)];
    Rates.at("prefill").get_to(Known.m_Prefill);
    Rates.at("decode").get_to(Known.m_Decode);
  }
}

const std::vector<Key> &keys() {
  static const std::vector<Key> All{
      {"name",
       [](const Json &From, Policy &Into) { From.get_to(Into.m_Name); }},
      {"enabled",
       [](const Json &From, Policy &Into) { From.get_to(Into.m_Enabled); }},
      {"changes_per_hour",
       [](const Json &From, Policy &Into) {
         From.get_to(Into.m_ChangesPerHour);
       }},
      {"least_engines", readLeast},
      numberKey("cost_answers", &Policy::m_CostAnswers),
      secondsKey("cost_engine_seconds", &Policy::m_CostEngineTime),
      secondsKey("horizon_seconds", &Policy::m_Horizon),
      secondsKey("away_seconds", &Policy::m_ChangeDuration),
      secondsKey("smoothing_seconds", &Policy::m_Smoothing),
      numberKey("uncertainty_weight", &Policy::m_UncertaintyWeight),
      numberKey("evidence_share", &Policy::m_EvidenceShare),
      {"role_rates", readRates},
      numberKey("utilisation_knee", &Policy::m_UtilisationKnee),
  };
  return All;
}

const Key *findKey(const std::string &Name) {
  for (const Key &Each : keys())
    if (Each.m_Name == Name)
      return &Each;
  return nullptr;
}

} // namespace

Policy cooperativePolicy() {
  Policy Value;
  Value.m_Name = "cooperative";
  Value.m_CostEngineTime = 60s;
  Value.m_ChangesPerHour = 24;
  Value.m_MinEngines = {0, 1, 1};
  Value.m_Horizon = 300s;
  Value.m_ChangeDuration = 8s;
  Value.m_UncertaintyWeight = 2.5;
  Value.m_EvidenceShare = 0.5;
  Value.m_Smoothing = 12s;
  Value.m_RoleRates = {RoleRates{1, 1}, RoleRates{1.25, 0.5},
                       RoleRates{0.5, 1.25}};
  return Value;
}

Policy malabarPolicy() {
  Policy Value = cooperativePolicy();
  Value.m_Name = "malabar";
  Value.m_CostEngineTime = 20s;
  Value.m_ChangesPerHour = 60;
  Value.m_UncertaintyWeight = 2.5;
  Value.m_EvidenceShare = 0.5;
  return Value;
}

std::vector<std::string> validate(const Policy &Value) {
  std::vector<std::string> Problems;
  auto Need = [&Problems](bool Holds, const char *Text) {
    if (!Holds)
      Problems.emplace_back(Text);
  };
  auto IsShare = [](double Number) { return Number > 0 && Number <= 1; };
  Need(Value.m_CostAnswers >= 0, "cost_answers: at least 0");
  Need(Value.m_CostEngineTime >= 0s, "cost_engine_seconds: at least 0");
  Need(Value.m_ChangeDuration > 0s, "away_seconds: above 0");
  Need(Value.m_Horizon > Value.m_ChangeDuration,
       "horizon_seconds: above away_seconds");
  Need(Value.m_Smoothing > 0s, "smoothing_seconds: above 0");
  Need(Value.m_UncertaintyWeight >= 0, "uncertainty_weight: at least 0");
  Need(Value.m_EvidenceShare >= 0, "evidence_share: at least 0");
  for (const RoleRates &Each : Value.m_RoleRates)
    Need(Each.m_Prefill >= 0 && Each.m_Decode >= 0, "role_rates: at least 0");
  Need(IsShare(Value.m_UtilisationKnee), "utilisation_knee: in (0, 1]");
  return Problems;
}

Json toJson(const Policy &Value) {
  Json Least = Json::object();
  Json Rates = Json::object();
  for (Role Each : {Role::Mixed, Role::Prefill, Role::Decode}) {
    auto Index = static_cast<std::size_t>(Each);
    const RoleRates &Known = Value.m_RoleRates[Index];
    std::string Name(roleName(Each));
    Least[Name] = Value.m_MinEngines[Index];
    Rates[Name] = {{"prefill", Known.m_Prefill}, {"decode", Known.m_Decode}};
  }
  return {{"name", Value.m_Name},
          {"enabled", Value.m_Enabled},
          {"cost_answers", Value.m_CostAnswers},
          {"cost_engine_seconds", seconds(Value.m_CostEngineTime)},
          {"changes_per_hour", Value.m_ChangesPerHour},
          {"least_engines", Least},
          {"horizon_seconds", seconds(Value.m_Horizon)},
          {"away_seconds", seconds(Value.m_ChangeDuration)},
          {"uncertainty_weight", Value.m_UncertaintyWeight},
          {"evidence_share", Value.m_EvidenceShare},
          {"smoothing_seconds", seconds(Value.m_Smoothing)},
          {"role_rates", Rates},
          {"utilisation_knee", Value.m_UtilisationKnee}};
}

Result<Policy> policyFromJson(const Json &Document, const Policy &Base) {
  const std::string Step = "roles.policy";
  if (!Document.is_object())
    return Error{Step, "", "expected an object"};
  Policy Value = Base;
  for (const auto &[Name, Entry] : Document.items()) {
    const Key *Found = findKey(Name);
    if (Found == nullptr)
      return Error{Step, "", Name + ": unknown key"};
    try {
      Found->m_Read(Entry, Value);
    } catch (const Json::exception &Problem) {
      return Error{Step, "", Name + ": " + Problem.what()};
    }
  }
  std::vector<std::string> Problems = validate(Value);
  if (!Problems.empty())
    return Error{Step, "", Problems.front()};
  return Value;
}

} // namespace wasabivale::roles
