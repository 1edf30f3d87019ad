#include "Workload.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::experiment {

namespace {

/// Share of the shared blocks that is found in a cache, for the nominal load.
constexpr double NominalHitShare = 0.8;
constexpr std::uint32_t PrefixesOfCaller = 40;
/// Exponent of the popularity of a caller's prefixes.
constexpr double PrefixSkew = 1.0;
/// Answers have between this share and all of the tokens asked for.
constexpr double LeastAnswerShare = 0.5;
constexpr double MeanAnswerShare = (1 + LeastAnswerShare) / 2;
constexpr double ServiceSeconds = 1.0;
constexpr std::uint32_t ServiceMedianMs = 40;

/// Engine time of one request of a kind, in seconds.
struct WorkOf {
  double m_Prefill = 0;
  double m_Decode = 0;

  [[nodiscard]] double total() const { return m_Prefill + m_Decode; }
};

double meanOf(double Median, double Sigma) {
  return Median * std::exp(Sigma * Sigma / 2);
}

WorkOf workOf(SizeKind Kind, const enginemodel::Settings &Engine) {
  const SizeClass &Size = sizeClass(Kind);
  double Cached = NominalHitShare * Size.m_SharedBlocks *
                  static_cast<double>(enginemodel::BlockTokens);
  double Prompt = meanOf(Size.m_PromptMedian, Size.m_PromptSigma) - Cached;
  double Output =
      MeanAnswerShare * meanOf(Size.m_MaxTokensMedian, Size.m_MaxTokensSigma);
  return {Prompt / Engine.m_PrefillTokensPerSecond,
          Output / fullBatchRate(Engine)};
}

/// Arrival rates of the two kinds, per second.
struct Rates {
  double m_Documents = 0;
  double m_Questions = 0;
};

/// Rates at which prefill takes the phase's share of the work.
Rates ratesOf(const Phase &Of, const WorkloadSpec &Spec) {
  WorkOf Document = workOf(SizeKind::Document, Spec.m_Engine);
  WorkOf Question = workOf(SizeKind::Question, Spec.m_Engine);
  double Share = Of.m_PrefillShare;
  double Above = Share * Question.total() - Question.m_Prefill;
  double Below = Document.m_Prefill - Share * Document.total();
  double Documents = std::clamp(Above / (Above + Below), 0.0, 1.0);
  double Each =
      Documents * Document.total() + (1 - Documents) * Question.total();
  double All = Of.m_Load * Spec.m_Engines / Each;
  return {All * Documents, All * (1 - Documents)};
}

std::uint32_t drawSize(Random &From, double Median, double Sigma, double Most) {
  double Value = std::lognormal_distribution<>(std::log(Median), Sigma)(From);
  return static_cast<std::uint32_t>(std::clamp(Value, 1.0, Most));
}

/// Index of a prefix, by Zipf's law.
std::uint32_t drawPrefix(Random &From) {
  static const std::vector<double> Weights = [] {
    std::vector<double> All;
    for (std::uint32_t Rank = 1; Rank <= PrefixesOfCaller; ++Rank)
      All.push_back(1 / std::pow(Rank, PrefixSkew));
    return All;
  }();
  return std::discrete_distribution<std::uint32_t>(Weights.begin(),
                                                   Weights.end())(From);
}

std::uint64_t chain(std::uint64_t Before, std::uint64_t Next) {
  std::uint64_t Value = (Before ^ Next) * 0x9e3779b97f4a7c15U;
  return Value ^ (Value >> 29U);
}

std::vector<std::uint64_t> drawBlocks(Random &From, std::uint32_t Caller,
                                      std::uint32_t Shared,
                                      std::uint32_t PromptTokens) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Prefix = chain(Caller + 1, drawPrefix(From) + 1);
  std::uint64_t Before = Prefix;
  std::uint64_t Count = PromptTokens / enginemodel::BlockTokens;
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    Before = chain(Before, Index < Shared ? Index + 1 : From());
    Blocks.push_back(Before);
  }
  return Blocks;
}

std::uint32_t drawCaller(Random &From, const std::vector<CallerSpec> &Callers,
                         SizeKind Kind) {
  std::vector<double> Weights;
  Weights.reserve(Callers.size());
  for (const CallerSpec &Each : Callers)
    Weights.push_back(Each.m_Kind == Kind ? Each.m_Part : 0);
  return std::discrete_distribution<std::uint32_t>(Weights.begin(),
                                                   Weights.end())(From);
}

Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

Arrival drawRequest(Random &From, const WorkloadSpec &Spec, SizeKind Kind,
                    TimePoint At) {
  const SizeClass &Size = sizeClass(Kind);
  Arrival Made;
  Made.m_At = At;
  Made.m_Caller = drawCaller(From, Spec.m_Callers, Kind);
  const CallerSpec &Caller = Spec.m_Callers[Made.m_Caller];
  Made.m_Priority = Caller.m_Priority;
  Made.m_PromptTokens = drawSize(From, Size.m_PromptMedian, Size.m_PromptSigma,
                                 Size.m_PromptMost);
  Made.m_MaxTokens = drawSize(From, Size.m_MaxTokensMedian,
                              Size.m_MaxTokensSigma, Size.m_MaxTokensMost);
  std::uniform_real_distribution<> Answered(LeastAnswerShare, 1);
  Made.m_OutputTokens = std::max(
      1U, static_cast<std::uint32_t>(Answered(From) * Made.m_MaxTokens));
  Made.m_Blocks =
      drawBlocks(From, Made.m_Caller, Size.m_SharedBlocks, Made.m_PromptTokens);
  Made.m_Deadline =
      At + fromSeconds(Caller.m_Patience *
                       patienceSeconds(Made.m_PromptTokens, Made.m_MaxTokens));
  return Made;
}

/// A service's call: one token for each millisecond of its time.
Arrival drawCall(Random &From, const WorkloadSpec &Spec, TimePoint At) {
  Arrival Made;
  Made.m_At = At;
  Made.m_IsService = true;
  Made.m_Caller = std::uniform_int_distribution<std::uint32_t>(
      0, static_cast<std::uint32_t>(Spec.m_Callers.size()) - 1)(From);
  Made.m_PromptTokens = 1;
  Made.m_OutputTokens = drawSize(From, ServiceMedianMs, 0.5, 500);
  Made.m_MaxTokens = Made.m_OutputTokens;
  Made.m_Deadline = At + fromSeconds(ServiceSeconds);
  return Made;
}

} // namespace

const SizeClass &sizeClass(SizeKind Kind) {
  static const SizeClass Document{5'000, 0.8, 40'000, 80, 0.6, 500, 2};
  static const SizeClass Question{300, 0.8, 6'000, 270, 0.7, 1'500, 0};
  return Kind == SizeKind::Document ? Document : Question;
}

Duration lengthOf(const Schedule &Phases) {
  Duration Sum{0};
  for (const Phase &Each : Phases)
    Sum += Each.m_Length;
  return Sum;
}

std::vector<CallerSpec> ordinaryCallers() {
  return {{{"certificates"}, SizeKind::Document, 2, 5, 1},
          {{"catalogues"}, SizeKind::Document, 1, 5, 1},
          {{"provenance"}, SizeKind::Document, 1, 5, 1},
          {{"buyers"}, SizeKind::Question, 3, 6, 1},
          {{"clerks"}, SizeKind::Question, 2, 5, 1},
          {{"workshops"}, SizeKind::Question, 2, 5, 1},
          {{"pricing"}, SizeKind::Question, 1, 1, 4}};
}

double fullBatchRate(const enginemodel::Settings &Of) {
  auto Streams = static_cast<double>(Of.m_MaxRunning);
  return Of.m_DecodeTokensPerSecond * Streams /
         (1 + Of.m_BatchSlowdown * (Streams - 1));
}

double patienceSeconds(std::uint32_t PromptTokens, std::uint32_t MaxTokens) {
  constexpr double FirstToken = 1.3;
  constexpr double PromptTokensPerSecond = 10'000;
  constexpr double SecondsPerToken = 0.033;
  return FirstToken + PromptTokens / PromptTokensPerSecond +
         SecondsPerToken * MaxTokens;
}

std::vector<Arrival> makeArrivals(const WorkloadSpec &Spec) {
  Random From(Spec.m_Seed);
  std::vector<Arrival> All;
  TimePoint PhaseStart;
  for (const Phase &Each : Spec.m_Schedule) {
    Rates Wanted = ratesOf(Each, Spec);
    double Calls = Spec.m_Services > 0 ? Spec.m_ServiceCallsPerSecond : 0;
    double Total = Wanted.m_Documents + Wanted.m_Questions + Calls;
    std::exponential_distribution<> Gap(Total);
    std::discrete_distribution<int> Which(
        {Wanted.m_Documents, Wanted.m_Questions, Calls});
    TimePoint End = PhaseStart + Each.m_Length;
    for (TimePoint At = PhaseStart + fromSeconds(Gap(From)); At < End;
         At += fromSeconds(Gap(From))) {
      switch (Which(From)) {
      case 0:
        All.push_back(drawRequest(From, Spec, SizeKind::Document, At));
        break;
      case 1:
        All.push_back(drawRequest(From, Spec, SizeKind::Question, At));
        break;
      default:
        All.push_back(drawCall(From, Spec, At));
      }
    }
    PhaseStart = End;
  }
  return All;
}

} // namespace wasabivale::experiment
