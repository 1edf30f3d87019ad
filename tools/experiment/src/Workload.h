/// \file
/// Arrivals of an experiment: Poisson in time, heavy-tailed in size, from
/// several callers with shared prompt prefixes, after a schedule of phases.

#ifndef WASABIVALE_EXPERIMENT_WORKLOAD_H
#define WASABIVALE_EXPERIMENT_WORKLOAD_H

#include "base/base.h"
#include "enginemodel/enginemodel.h"
#include "roles/roles.h"

#include <array>
#include <cstdint>
#include <vector>

namespace wasabivale::experiment {

/// Sizes of one kind of request; log-normal.
struct SizeClass {
  double m_PromptMedian = 0;
  double m_PromptSigma = 0;
  double m_PromptMost = 0;
  double m_MaxTokensMedian = 0; ///< Of the tokens asked for.
  double m_MaxTokensSigma = 0;
  double m_MaxTokensMost = 0;
  std::uint32_t m_SharedBlocks = 0; ///< Of the prompt's start.
};

/// Long documents with short answers, and short questions with long answers.
enum class SizeKind : std::uint8_t { Document, Question };
const SizeClass &sizeClass(SizeKind Kind);

/// A part of the schedule with one mix and one load.
struct Phase {
  Duration m_Length{0};
  double m_PrefillShare = 0.25; ///< Of the work, in engine time.
  double m_Load = 0.9;          ///< Of the fleet's nominal engine time.
};
using Schedule = std::vector<Phase>;
Duration lengthOf(const Schedule &Phases);

struct CallerSpec {
  CallerId m_Id;
  SizeKind m_Kind = SizeKind::Question;
  double m_Part = 1; ///< Of the arrivals of its kind.
  std::uint32_t m_Priority = 5;
  double m_Patience = 1; ///< Factor on the time until its deadline.
};

struct WorkloadSpec {
  Schedule m_Schedule;
  std::vector<CallerSpec> m_Callers;
  std::uint32_t m_Engines = 20;
  std::uint32_t m_Services = 3;
  enginemodel::Settings m_Engine; ///< In role mixed.
  /// Rates of an engine in a role, as factors on those in role mixed.
  std::array<roles::RoleRates, roles::RoleCount> m_RoleRates{};
  double m_ServiceCallsPerSecond = 5;
  std::uint64_t m_Seed = 1;
};

struct Arrival {
  TimePoint m_At;
  TimePoint m_Deadline;
  std::uint32_t m_Caller = 0; ///< Index into the callers.
  std::uint32_t m_Priority = 5;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_MaxTokens = 0;    ///< What the caller asks for at most.
  std::uint32_t m_OutputTokens = 0; ///< What the answer will have.
  bool m_IsService = false;
  std::vector<std::uint64_t> m_Blocks;
};

/// The callers of an ordinary run.
std::vector<CallerSpec> ordinaryCallers();

/// Every arrival of a run in order of time; the same for the same \p Spec.
std::vector<Arrival> makeArrivals(const WorkloadSpec &Spec);

/// Tokens per second that an engine decodes with a full batch.
double fullBatchRate(const enginemodel::Settings &Of);

/// Seconds after which an answer is useless: a wait for the first token and a
/// time for each further one.
double patienceSeconds(std::uint32_t PromptTokens, std::uint32_t MaxTokens);

} // namespace wasabivale::experiment

#endif // WASABIVALE_EXPERIMENT_WORKLOAD_H
