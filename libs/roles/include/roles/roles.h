/// \file
/// Plans the roles of a fixed fleet of model engines: how many engines only
/// prefill, only decode, or do both.
///
/// Deterministic: no I/O, no clock, no randomness. The owner calls `step` once
/// per interval with its observations and executes the single change that a
/// decision may contain. docs/design/0009-roles.md describes the method.

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

/// Name on the wire: `mixed`, `prefill` or `decode`.
std::string_view roleName(Role Value);
std::optional<Role> parseRole(std::string_view Name);

enum class EngineState : std::uint8_t {
  Serving,
  Changing,    ///< A role change or another order is in progress.
  Unavailable, ///< Draining, leaving, withdrawn or lost.
};

struct Engine {
  TargetId m_Id;
  std::vector<ModelId> m_Models;
  Role m_Role = Role::Mixed;
  EngineState m_State = EngineState::Serving;
  /// Tokens per second in role mixed while the engine only prefills.
  double m_PrefillTokensPerSecond = 0;
  /// Tokens per second in role mixed while the engine only decodes, summed over
  /// all streams of a full batch.
  double m_DecodeTokensPerSecond = 0;
  /// Running requests; the engine with the fewest is changed first.
  std::uint32_t m_Running = 0;
};

/// Arrivals for one model in one interval, including refused requests.
struct Demand {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_CachedPromptTokens = 0; ///< Part of the prompt tokens.
  /// Generated tokens; for refused requests the tokens that they would have
  /// generated, as far as known.
  std::uint64_t m_OutputTokens = 0;
  std::uint64_t m_CompletedInTime = 0;
  std::uint64_t m_Refused = 0;
};

struct Observation {
  Duration m_Interval{0}; ///< Over which the demand was counted; above zero.
  std::map<ModelId, Demand> m_Demand;
  std::vector<Engine> m_Engines;
};

// --- Policy ---------------------------------------------------------------

/// Rates of an engine in a role, relative to its rates in role mixed. Zero for
/// work that engines in the role do not accept.
struct RoleRates {
  double m_Prefill = 1;
  double m_Decode = 1;
};

/// Limits that an operator has confirmed. The planner never exceeds them.
struct Policy {
  std::string m_Name;
  bool m_Enabled = true;
  /// Cost of one change in addition to the engine's downtime: completed answers
  /// that the change must gain first, plus engine time valued at the fleet's
  /// current goodput. The two are added.
  double m_CostAnswers = 0;
  Duration m_CostEngineTime{0};
  /// Maximum changes in any hour, over all models.
  std::uint32_t m_ChangesPerHour = 0;
  /// Minimum number of engines that a change leaves in each role, indexed by
  /// `Role`. No engine is taken from a role that already has fewer.
  std::array<std::uint32_t, RoleCount> m_MinEngines{};
  /// Time within which a change must recover its cost.
  Duration m_Horizon{0};
  /// Downtime of an engine during a change.
  Duration m_ChangeDuration{0};
  /// Number of standard deviations of the gain by which it must exceed the
  /// cost.
  double m_UncertaintyWeight = 1;
  /// Share of a change's cost that must already have been lost by not making
  /// the change.
  double m_EvidenceShare = 0.5;
  /// Time constant of the exponential smoothing of the demand.
  Duration m_Smoothing{0};
  /// Rates of the deployed engines, indexed by `Role`.
  std::array<RoleRates, RoleCount> m_RoleRates{};
  /// Utilisation above which answers begin to miss their deadline; in (0, 1].
  double m_UtilisationKnee = 0.95;
};

/// Favours few changes: each one puts an overnight queue and payments at risk.
Policy cooperativePolicy();
/// Favours goodput: a late answer keeps a truck waiting.
Policy malabarPolicy();

/// \returns one `field: expected range` entry for each value out of range.
std::vector<std::string> validate(const Policy &Value);
nlohmann::json toJson(const Policy &Value);
/// Missing keys keep the value of \p Base; unknown keys and wrong types are
/// errors.
Result<Policy> policyFromJson(const nlohmann::json &Document,
                              const Policy &Base);

// --- Forecast -------------------------------------------------------------

/// Holt's double exponential smoothing with a damped trend, and the variance
/// of the one-interval-ahead forecast error.
struct Series {
  double m_Level = 0;
  double m_Trend = 0; ///< Per interval.
  double m_ErrorVariance = 0;
  std::uint64_t m_Count = 0;
};

struct Forecast {
  double m_Mean = 0; ///< Never negative.
  double m_Deviation = 0;
};

/// \param Smoothing weight of the newest value, in (0, 1].
void observe(Series &History, double Value, double Smoothing);
Forecast forecastAfter(const Series &History, double Intervals,
                       double Smoothing);

// --- Goodput of a split ---------------------------------------------------

/// Demand for one set of models, per second.
struct WorkRate {
  double m_Requests = 0;
  double m_PrefillTokens = 0; ///< Without cached tokens.
  double m_DecodeTokens = 0;
};

/// Total rates of a group of engines: tokens per second while they only
/// prefill, or only decode. Engines may divide their time between the two.
struct Capacity {
  double m_PrefillTokens = 0;
  double m_DecodeTokens = 0;
};

/// Capacity of the serving engines, indexed by `Role`.
using SplitCapacity = std::array<Capacity, RoleCount>;

/// Largest multiple of \p Work that \p Split can sustain; infinite without
/// work.
double sustainableLoadFactor(const SplitCapacity &Split, const WorkRate &Work);
/// Expected answers per second that complete within their deadline.
double goodput(const SplitCapacity &Split, const WorkRate &Work,
               const Policy &Rules);

// --- Split by decode demand -------------------------------------------------

/// Smoothed load of the engines of one service.
struct ServiceLoad {
  double m_RequestsPerSecond = 0;
  double m_PromptTokensPerSecond = 0; ///< Including cached tokens.
  double m_Streams = 0;               ///< Decoding at the same time.
  /// Tokens per second that an engine in role prefill processes; zero: not
  /// known.
  double m_PrefillTokenRate = 0;
  /// Engines that the transfers of all prompts to decoding engines would keep
  /// busy, if no prompt were cached there.
  double m_TransferLoad = 0;
  /// No request has arrived and no role has been changed yet, so a change
  /// disturbs nothing.
  bool m_NoTrafficYet = false;
};

struct SplitSettings {
  /// Share of engines that prefill before the load is known. An engine prefills
  /// prompts one after another but decodes dozens of streams at once.
  double m_InitialPrefillShare = 0.65;
  /// Factor by which slots are overprovisioned: arrivals are bursty, and an
  /// engine may be lost.
  double m_SlotHeadroomFactor = 2;
  std::uint32_t m_MinDecoders = 2; ///< Tolerates the loss of one.
  /// Smallest share of engines that decode: several may restart, change their
  /// role or fail at the same time.
  double m_MinDecoderShare = 0.25;
  /// Assumed `ServiceLoad::m_PrefillTokenRate` while it is not known.
  double m_PrefillTokenRate = 25'000;
  double m_UncachedPromptShare = 0.6;   ///< Of prompt tokens.
  double m_MaxPrefillUtilisation = 0.5; ///< Answers become late above it.
  /// Share of the transfer load that remains with prefixes cached by the
  /// decoding engines, and how busy their links may be.
  double m_UncachedTransferShare = 0.7;
  double m_MaxLinkUtilisation = 0.5;
  /// Share of all engines that may change at the same time.
  double m_MaxChangingShare = 0.25;
  /// Share of the needed decoders below which engines return to decoding. The
  /// hysteresis keeps a burst from reversing roles.
  double m_DecodeReturnThreshold = 0.7;
};

struct SplitEngine {
  TargetId m_Id;
  Role m_Role = Role::Decode;
  bool m_Changing = false;
  bool m_CoolingDown = false; ///< Changed recently; keeps its role for now.
  std::uint32_t m_StreamSlots = 1; ///< Concurrent requests.
  /// Requests in progress, which delay a change; the idlest change first.
  std::uint32_t m_Running = 0;
  std::string m_SoftwareVersion = {}; ///< Versions have no order.
};

/// \returns the engines to change now with their new roles. For fleets that
/// prefill and decode on different engines and change a role within seconds:
/// decoders are sized for the streams, and engines move to prefill while its
/// load requires more. They return only when streams lack slots. No change
/// takes the last decoding engine of a software version: streams go on only at
/// the version that began them.
///
/// \param Engines of one service, in a stable order.
std::vector<std::pair<TargetId, Role>>
planRoleChanges(const std::vector<SplitEngine> &Engines,
                const ServiceLoad &Load, const SplitSettings &Settings);

// --- Planner --------------------------------------------------------------

struct Change {
  std::string m_Pool; ///< Models whose engines are planned together.
  TargetId m_Engine;
  Role m_From = Role::Mixed;
  Role m_To = Role::Mixed;
};

enum class Reason : std::uint8_t {
  Changed,          ///< The best alternative is worth its cost.
  Disabled,         ///< The policy is disabled.
  Learning,         ///< Too little demand has been observed.
  ChangeInProgress, ///< An engine of the pool is changing.
  Cooldown,         ///< The last change has not recovered its cost yet.
  BudgetSpent,      ///< The hourly limit of changes is reached.
  NoAlternative,    ///< Every other split violates a minimum engine count.
  NoGain,           ///< No alternative recovers its cost within the horizon.
  Uncertain,        ///< The gain is within the forecast's uncertainty.
  LittleEvidence,   ///< Too few answers have been lost without the change.
  AnotherPool,      ///< Another pool gains more from a change now.
};
std::string_view reasonName(Reason Value);

/// A possible move of one engine to another role, and its expected value.
struct Alternative {
  TargetId m_Engine;
  Role m_From = Role::Mixed;
  Role m_To = Role::Mixed;
  double m_Gain = 0;      ///< Answers over the horizon, net of the downtime.
  double m_Deviation = 0; ///< Of the gain, from the forecast's uncertainty.
  double m_Evidence = 0;  ///< Answers lost so far without this change.
  Reason m_Reason = Reason::NoGain;
};

/// Inputs and result of a decision for one pool.
struct Explanation {
  std::string m_Pool;
  Reason m_Reason = Reason::Learning;
  std::array<std::uint32_t, RoleCount> m_Engines{}; ///< Serving, by role.
  WorkRate m_Observed;                              ///< Last interval.
  WorkRate m_Expected;                              ///< Mean over the horizon.
  double m_PrefillDeviation = 0; ///< Tokens per second, at the horizon.
  double m_DecodeDeviation = 0;
  double m_Utilisation = 0;    ///< Of the current split by the expected demand.
  double m_GoodputToday = 0;   ///< Expected answers per second now.
  double m_CostAnswers = 0;    ///< Of one change.
  double m_EvidenceNeeded = 0; ///< Answers; more for a reversal.
  std::uint32_t m_UnpaidChanges = 0; ///< Reversed before they paid.
  std::uint32_t m_ChangesThisHour = 0;
  Duration m_CooldownLeft{0};
  std::vector<Alternative> m_Alternatives; ///< Best first.
};

nlohmann::json toJson(const Explanation &Value);
/// One line for operators, for example
/// `gourd-8b: no_gain: best mixed->prefill gains 3.1 of 20.0 answers needed`.
std::string describe(const Explanation &Value);

struct Decision {
  std::optional<Change> m_Change;          ///< At most one engine per step.
  std::vector<Explanation> m_Explanations; ///< One per pool.
};

/// The last change of a pool, and the gain it has realised.
struct LastChange {
  Change m_Change;
  TimePoint m_CooldownEnd; ///< End of the cooldown of its reversals.
  Capacity m_Rates;        ///< Of the moved engine, in role mixed.
  double m_Cost = 0;
  double m_RealisedGain = 0; ///< Answers gained since, by observed demand.
};

/// Answers lost so far without each change, indexed by old and new role.
using Evidence = std::array<std::array<double, RoleCount>, RoleCount>;

struct PoolState {
  Series m_Requests;
  Series m_Prefill;
  Series m_Decode;
  Evidence m_Evidence{};
  std::optional<LastChange> m_LastChange;
  TimePoint m_SettledAt;           ///< No change in either direction before.
  std::uint32_t m_UnpaidCount = 0; ///< As `Explanation::m_UnpaidChanges`.
};

/// State of the planner between steps; kept by the owner.
struct State {
  std::map<std::string, PoolState> m_Pools;
  std::deque<TimePoint> m_ChangeTimes; ///< Last hour, oldest first.
};

/// Restores the changes that another leader has made, so that the hourly limit
/// holds across leaders. \param Times oldest first.
void restoreChanges(State &Planner, const std::vector<TimePoint> &Times);

/// Observes one interval and decides. The decided change counts as made.
/// \param Now must not precede that of the previous step.
Decision step(State &Planner, const Policy &Rules, const Observation &Input,
              TimePoint Now);

} // namespace wasabivale::roles

#endif // WASABIVALE_ROLES_ROLES_H
