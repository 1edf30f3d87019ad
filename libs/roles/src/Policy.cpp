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

/// A key of the JSON form of a policy and the function that reads its value.
struct Key {
  const char *m_Name;
  std::function<void(const Json &, Policy &)> m_Read;
};

Key secondsKey(const char *Name, Duration Policy::*Field) {
  return {Name, [Field](const Json &Entry, Policy &Destination) {
            Destination.*Field = fromSeconds(Entry.get<double>());
          }};
}

Key numberKey(const char *Name, double Policy::*Field) {
  return {Name, [Field](const Json &Entry, Policy &Destination) {
            Destination.*Field = Entry.get<double>();
          }};
}

void readMinEngines(const Json &Entry, Policy &Destination) {
  for (const auto &[Name, Count] : Entry.items()) {
    std::optional<Role> EngineRole = parseRole(Name);
    if (!EngineRole)
      throw Json::other_error::create(501, "unknown role " + Name, &Entry);
    Destination.m_MinEngines[static_cast<std::size_t>(*EngineRole)] =
        Count.get<std::uint32_t>();
  }
}

void readRoleRates(const Json &Entry, Policy &Destination) {
  for (const auto &[Name, Rates] : Entry.items()) {
    std::optional<Role> EngineRole = parseRole(Name);
    if (!EngineRole)
      throw Json::other_error::create(501, "unknown role " + Name, &Entry);
    RoleRates &Factors =
        Destination.m_RoleRates[static_cast<std::size_t>(*EngineRole)];
    Rates.at("prefill").get_to(Factors.m_Prefill);
    Rates.at("decode").get_to(Factors.m_Decode);
  }
}

const std::vector<Key> &keys() {
  static const std::vector<Key> All{
      {"name", [](const Json &Entry,
                  Policy &Destination) { Entry.get_to(Destination.m_Name); }},
      {"enabled",
       [](const Json &Entry, Policy &Destination) {
         Entry.get_to(Destination.m_Enabled);
       }},
      {"changes_per_hour",
       [](const Json &Entry, Policy &Destination) {
         Entry.get_to(Destination.m_ChangesPerHour);
       }},
      {"least_engines", readMinEngines},
      numberKey("cost_answers", &Policy::m_CostAnswers),
      secondsKey("cost_engine_seconds", &Policy::m_CostEngineTime),
      secondsKey("horizon_seconds", &Policy::m_Horizon),
      secondsKey("away_seconds", &Policy::m_ChangeDuration),
      secondsKey("smoothing_seconds", &Policy::m_Smoothing),
      numberKey("uncertainty_weight", &Policy::m_UncertaintyWeight),
      numberKey("evidence_share", &Policy::m_EvidenceShare),
      {"role_rates", readRoleRates},
      numberKey("utilisation_knee", &Policy::m_UtilisationKnee),
  };
  return All;
}

const Key *findKey(const std::string &Name) {
  for (const Key &Candidate : keys())
    if (Candidate.m_Name == Name)
      return &Candidate;
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
  auto Require = [&Problems](bool Condition, const char *Message) {
    if (!Condition)
      Problems.emplace_back(Message);
  };
  auto IsShare = [](double Number) { return Number > 0 && Number <= 1; };
  Require(Value.m_CostAnswers >= 0, "cost_answers: must be at least 0");
  Require(Value.m_CostEngineTime >= 0s,
          "cost_engine_seconds: must be at least 0");
  Require(Value.m_ChangeDuration > 0s, "away_seconds: must be above 0");
  Require(Value.m_Horizon > Value.m_ChangeDuration,
          "horizon_seconds: must be above away_seconds");
  Require(Value.m_Smoothing > 0s, "smoothing_seconds: must be above 0");
  Require(Value.m_UncertaintyWeight >= 0,
          "uncertainty_weight: must be at least 0");
  Require(Value.m_EvidenceShare >= 0, "evidence_share: must be at least 0");
  for (const RoleRates &Factors : Value.m_RoleRates)
    Require(Factors.m_Prefill >= 0 && Factors.m_Decode >= 0,
            "role_rates: must be at least 0");
  Require(IsShare(Value.m_UtilisationKnee),
          "utilisation_knee: must be in (0, 1]");
  return Problems;
}

Json toJson(const Policy &Value) {
  Json MinEngines = Json::object();
  Json Rates = Json::object();
  for (Role EngineRole : {Role::Mixed, Role::Prefill, Role::Decode}) {
    auto Index = static_cast<std::size_t>(EngineRole);
    const RoleRates &Factors = Value.m_RoleRates[Index];
    std::string Name(roleName(EngineRole));
    MinEngines[Name] = Value.m_MinEngines[Index];
    Rates[Name] = {{"prefill", Factors.m_Prefill},
                   {"decode", Factors.m_Decode}};
  }
  return {{"name", Value.m_Name},
          {"enabled", Value.m_Enabled},
          {"cost_answers", Value.m_CostAnswers},
          {"cost_engine_seconds", seconds(Value.m_CostEngineTime)},
          {"changes_per_hour", Value.m_ChangesPerHour},
          {"least_engines", MinEngines},
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
