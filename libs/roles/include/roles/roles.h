/// \file
/// Plans the roles of a fixed fleet of model engines: how many engines only
/// prefill, only decode, or do both.
///
/// Pure: no I/O, no clock, no randomness. The owner calls `step` once in each
/// interval with what it has observed, and carries out the one change that a
/// decision may name. docs/design/0009-roles.md describes the method.

#ifndef WASABIVALE_ROLES_ROLES_H
#define WASABIVALE_ROLES_ROLES_H

#include "base/base.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabivale::roles {

// --- Engines and demand ---------------------------------------------------

enum class Role : std::uint8_t { Mixed, Prefill, Decode };
constexpr std::size_t RoleCount = 3;

/// Wire name of a role: `mixed`, `prefill` or `decode`.
std::string_view roleName(Role Value);
std::optional<Role> parseRole(std::string_view Name);

enum class EngineState : std::uint8_t {
  Serving,
  Changing,    ///< A role change or another order is under way.
  Unavailable, ///< Draining, leaving, withdrawn or lost.
};

struct Engine {
  TargetId m_Id;
  std::vector<ModelId> m_Models;
  Role m_Role = Role::Mixed;
  EngineState m_State = EngineState::Serving;
  /// Rate in role mixed while it only prefills, in tokens per second.
  double m_PrefillTokensPerSecond = 0;
  /// Rate in role mixed while it only decodes, over all streams of a full
  /// batch.
  double m_DecodeTokensPerSecond = 0;
  /// Requests that run there now; an engine with fewer is changed first.
  std::uint32_t m_Running = 0;
};

/// What arrived for one model in one interval, refused requests included.
struct Demand {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_CachedPromptTokens = 0; ///< Part of the prompt tokens.
  /// Generated tokens; for refused requests what they would have generated, as
  /// far as that is known.
  std::uint64_t m_OutputTokens = 0;
  std::uint64_t m_CompletedInTime = 0;
  std::uint64_t m_Refused = 0;
};

struct Observation {
  Duration m_Interval{0}; ///< What the demand was counted over; above zero.
  std::map<ModelId, Demand> m_Demand;
  std::vector<Engine> m_Engines;
};

// --- Standing policy ------------------------------------------------------

/// Rates of an engine in a role, as factors on those in role mixed. Zero for
/// work that engines of the role do not take.
struct RoleRates {
  double m_Prefill = 1;
  double m_Decode = 1;
};

/// What an operator has confirmed. Everything the planner does stays inside.
struct Policy {
  std::string m_Name;
  bool m_Enabled = true;
  /// Cost of one change, beside the time the engine is away: completed answers
  /// that the change must win first, and engine time valued at the fleet's
  /// present goodput. Both are added.
  double m_CostAnswers = 0;
  Duration m_CostEngineTime{0};
  /// Most changes in any hour, over all models.
  std::uint32_t m_ChangesPerHour = 0;
  /// Least engines of each role that a change leaves, by `Role`. A role that
  /// has fewer already is not taken from.
  std::array<std::uint32_t, RoleCount> m_MinEngines{};
  /// How far ahead a change must pay.
  Duration m_Horizon{0};
  /// How long an engine is away during a change.
  Duration m_ChangeDuration{0};
  /// Weight of the forecast's standard deviation that a gain must exceed.
  double m_UncertaintyWeight = 1;
  /// Share of a change's cost that must have been lost already for want of it.
  double m_EvidenceShare = 0.5;
  /// Time constant of the demand's smoothing.
  Duration m_Smoothing{0};
  /// Measured for the engines at hand; by `Role`.
  std::array<RoleRates, RoleCount> m_RoleRates{};
  /// Utilisation at which answers begin to be late; in (0, 1].
  double m_UtilisationKnee = 0.95;
};

/// Weighs few changes: every change puts an overnight queue and payments at
/// risk.
Policy cooperativePolicy();
/// Weighs goodput: a late answer leaves a truck waiting.
Policy malabarPolicy();

/// \returns every value that is out of range, as `field: what is expected`.
std::vector<std::string> validate(const Policy &Value);
nlohmann::json toJson(const Policy &Value);
/// Missing keys keep the value of \p Base; unknown keys and wrong types fail.
Result<Policy> policyFromJson(const nlohmann::json &Document,
                              const Policy &Base);

// --- Forecast -------------------------------------------------------------

/// Holt's double exponential smoothing with a damped trend, and the variance
/// of its error one interval ahead.
struct Series {
  double m_Level = 0;
  double m_Trend = 0; ///< Per interval.
  double m_ErrorVariance = 0;
  std::uint64_t m_Count = 0;
};

struct Forecast {
  double m_Mean = 0; ///< Not below zero.
  double m_Deviation = 0;
};

/// \param Smoothing weight of the newest value, in (0, 1].
void observe(Series &Of, double Value, double Smoothing);
Forecast forecastAfter(const Series &Of, double Intervals, double Smoothing);

// --- Goodput of a split ---------------------------------------------------

/// Demand of the engines that serve one set of models, per second.
struct WorkRate {
  double m_Requests = 0;
  double m_PrefillTokens = 0; ///< Net of cached tokens.
  double m_DecodeTokens = 0;
};

/// Summed rates of engines: tokens per second while they only prefill, or only
/// decode. They share their time between the two as it suits.
struct Capacity {
  double m_PrefillTokens = 0;
  double m_DecodeTokens = 0;
};

/// Capacity of the serving engines, by `Role`.
using SplitCapacity = std::array<Capacity, RoleCount>;

/// Largest multiple of \p Work that \p Split can carry; infinite without work.
double sustainableLoadFactor(const SplitCapacity &Split, const WorkRate &Work);
/// Answers per second that are completed in time, as expected.
double goodput(const SplitCapacity &Split, const WorkRate &Work,
               const Policy &Rules);

// --- Decoding as a need, prefill as the rest ---------------------------------

/// What the engines of one service are asked for, smoothed.
struct ServiceLoad {
  double m_RequestsPerSecond = 0;
  double m_PromptTokensPerSecond = 0; ///< Also those that are found cached.
  /// Nobody has asked yet, and no role has been changed: there is nothing to
  /// disturb.
  bool m_NoTrafficYet = false;
};

struct SplitSettings {
  /// Share of engines that prefill while nothing is known of the load: prompts
  /// are read one after the other, streams share their engine by dozens.
  double m_InitialPrefillShare = 0.65;
  /// Time that a stream holds its place, and how many times over the places
  /// must be there: arrivals come in bursts, and an engine may be lost.
  Duration m_StreamDuration = std::chrono::milliseconds(1500);
  double m_SlotHeadroomFactor = 2;
  std::uint32_t m_MinDecoders = 2; ///< One may be lost.
  /// Prompt tokens that an engine in role prefill reads in a second, and the
  /// share of a prompt that has to be read.
  double m_PrefillTokenRate = 25'000;
  double m_UncachedPromptShare = 0.6;
  double m_MaxPrefillUtilisation =
      0.5; ///< Use of prefill at which answers turn late.
  /// Engines that may change at once, of all.
  double m_MaxChangingShare = 0.25;
  /// Share of the decoders needed below which an engine goes back to decoding:
  /// what lies between is left alone, so that a burst turns nothing round.
  double m_DecodeReturnThreshold = 0.7;
};

struct SplitEngine {
  TargetId m_Id;
  Role m_Role = Role::Decode;
  bool m_Changing = false;
  bool m_CoolingDown = false;      ///< Changed lately; keeps its role for now.
  std::uint32_t m_StreamSlots = 1; ///< Requests at once.
};

/// Engines to change now, with their new role. For fleets where prompts are
/// read elsewhere than they are answered and a change takes seconds: as many
/// decode as the streams need, and more prefill as long as prompts wait. An
/// engine that prefills goes back only when streams lack places.
/// \param Engines of one service, in a stable order.
std::vector<std::pair<TargetId, Role>>
planRoleChanges(const std::vector<SplitEngine> &Engines,
                const ServiceLoad &Load, const SplitSettings &Rules);

// --- Planner --------------------------------------------------------------

struct Change {
  std::string m_Pool; ///< Models whose engines are planned together.
  TargetId m_Engine;
  Role m_From = Role::Mixed;
  Role m_To = Role::Mixed;
};

enum class Reason : std::uint8_t {
  Changed,          ///< The best alternative is worth its cost.
  Disabled,         ///< The standing policy is off.
  Learning,         ///< Too little demand has been observed.
  ChangeInProgress, ///< An engine of these models is changing.
  Cooldown,         ///< The last change has not paid yet.
  BudgetSpent,      ///< The hour's changes are used up.
  NoAlternative,    ///< Every other split is below a least number of engines.
  NoGain,           ///< No alternative pays its cost over the horizon.
  Uncertain,        ///< The gain is within the forecast's uncertainty.
  LittleEvidence,   ///< Too little has been lost so far for want of a change.
  AnotherPool,      ///< Another set of models gains more by a change now.
};
std::string_view reasonName(Reason Value);

/// One engine moved from one role to another, and what that is worth.
struct Alternative {
  TargetId m_Engine;
  Role m_From = Role::Mixed;
  Role m_To = Role::Mixed;
  double m_Gain = 0;      ///< Answers over the horizon, less the time away.
  double m_Deviation = 0; ///< Of the gain, from the forecast's uncertainty.
  double m_Evidence = 0;  ///< Answers lost so far for want of this change.
  Reason m_Reason = Reason::NoGain;
};

/// Why a decision came out as it did, for one pool.
struct Explanation {
  std::string m_Pool;
  Reason m_Reason = Reason::Learning;
  std::array<std::uint32_t, RoleCount> m_Engines{}; ///< Serving, by role.
  WorkRate m_Observed;                              ///< Last interval.
  WorkRate m_Expected;                              ///< Mean over the horizon.
  double m_PrefillDeviation = 0; ///< Tokens per second, at the horizon.
  double m_DecodeDeviation = 0;
  double m_Utilisation = 0;    ///< Of today's split by the expected demand.
  double m_GoodputToday = 0;   ///< Answers per second, as expected.
  double m_CostAnswers = 0;    ///< Of one change.
  double m_EvidenceNeeded = 0; ///< Answers; more to undo a change.
  std::uint32_t m_UnpaidChanges = 0; ///< Changes undone before they had paid.
  std::uint32_t m_ChangesThisHour = 0;
  Duration m_CooldownLeft{0};
  std::vector<Alternative> m_Alternatives; ///< Best first.
};

nlohmann::json toJson(const Explanation &Value);
/// One line for operators, for example
/// `gourd-8b: no_gain: best mixed->prefill gains 3.1 of 20.0 answers needed`.
std::string describe(const Explanation &Value);

struct Decision {
  std::optional<Change> m_Change;          ///< At most one engine in each step.
  std::vector<Explanation> m_Explanations; ///< One for each pool.
};

/// The last change of a pool, and whether it has paid.
struct LastChange {
  Change m_Change;
  TimePoint m_CooldownEnd; ///< End of the cooldown of changes that undo it.
  Capacity m_Rates;        ///< Of the engine that was moved, in role mixed.
  double m_Cost = 0;
  double m_RealisedGain = 0; ///< Answers won since, by the observed demand.
};

/// Answers lost so far for want of each change, by from and to role.
using Evidence = std::array<std::array<double, RoleCount>, RoleCount>;

struct PoolState {
  Series m_Requests;
  Series m_Prefill;
  Series m_Decode;
  Evidence m_Evidence{};
  std::optional<LastChange> m_LastChange;
  TimePoint m_SettledAt; ///< No change before, in any direction.
  std::uint32_t m_UnpaidCount = 0;
};

/// What the planner remembers; the owner keeps it and passes it to each step.
struct State {
  std::map<std::string, PoolState> m_Pools;
  std::deque<TimePoint> m_Changes; ///< Of the last hour, oldest first.
};

/// Takes over changes that another leader has made, so that the hour's budget
/// holds across leaders. \param Times oldest first.
void restoreChanges(State &Of, const std::vector<TimePoint> &Times);

/// Observes one interval and decides. A decision's change counts as made.
/// \param Now not before that of the previous step.
Decision step(State &Of, const Policy &Rules, const Observation &Seen,
              TimePoint Now);

} // namespace wasabivale::roles

#endif // WASABIVALE_ROLES_ROLES_H
