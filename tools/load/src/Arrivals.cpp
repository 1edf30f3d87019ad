#include "Arrivals.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace wasabivale::load {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::size_t TokenBytes = 4;

double drawUnit(Random &From) {
  return std::uniform_real_distribution<>(0, 1)(From);
}

std::uint32_t drawSize(Random &From, const Size &Of) {
  double Value =
      std::lognormal_distribution<>(std::log(Of.m_Median), Of.m_Sigma)(From);
  return static_cast<std::uint32_t>(std::clamp(Value, 1.0, Of.m_Most));
}

/// Text of \p Tokens tokens that depends on the seed alone.
std::string textOf(std::uint64_t Seed, std::uint32_t Tokens) {
  Random From(Seed);
  std::string Text;
  while (Text.size() < Tokens * TokenBytes)
    Text += fmt::format("{:04x} ", From() & 0xffffU);
  Text.resize(Tokens * TokenBytes);
  return Text;
}

std::string drawPrompt(Source &From, const Stream &Of, std::uint32_t Tokens) {
  std::uint64_t Own = From.m_Random();
  if (Of.m_Prefixes == 0 || Tokens <= Of.m_PrefixTokens)
    return textOf(Own, Tokens);
  std::uint64_t Prefix = hashBytes(Of.m_Name, Own % Of.m_Prefixes);
  return textOf(Prefix, Of.m_PrefixTokens) +
         textOf(Own, Tokens - Of.m_PrefixTokens);
}

std::size_t drawStream(Source &From, double Height) {
  std::vector<double> Weights;
  for (const Stream &Each : From.m_Plan.m_Streams)
    Weights.push_back(Each.m_Weight +
                      Height * (Each.m_HighWeight - Each.m_Weight));
  return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                 Weights.end())(From.m_Random);
}

Call drawCall(Source &From, std::size_t Number, std::uint32_t PromptTokens,
              std::uint32_t MaxTokens) {
  const Stream &Of = From.m_Plan.m_Streams[Number];
  Call Made;
  Made.m_Number = ++From.m_Count;
  Made.m_At = From.m_Now;
  Made.m_Stream = Number;
  Made.m_Prompt = drawPrompt(From, Of, PromptTokens);
  Made.m_MaxTokens = MaxTokens;
  if (drawUnit(From.m_Random) < Of.m_NotRepeatableShare)
    Made.m_IdempotencyKey = fmt::format("{}-{}", From.m_RunName, Made.m_Number);
  Made.m_Resends = drawUnit(From.m_Random) < Of.m_ResendShare;
  return Made;
}

std::optional<Call> nextRecorded(Source &From) {
  const std::vector<Recorded> &Lines = From.m_Plan.m_Recorded;
  if (From.m_NextRecorded == Lines.size())
    return std::nullopt;
  const Recorded &Line = Lines[From.m_NextRecorded++];
  From.m_Now = Line.m_At;
  return drawCall(From, Line.m_Stream, std::max(1U, Line.m_PromptTokens),
                  std::max(1U, Line.m_MaxTokens));
}

} // namespace

Source makeSource(const Plan &Of, std::string RunName) {
  return {Of, Random(Of.m_Seed), std::move(RunName)};
}

std::optional<Call> nextCall(Source &From) {
  const Plan &Of = From.m_Plan;
  if (Of.m_Schedule.m_Shape == Shape::Recorded)
    return nextRecorded(From);
  double Peak = peakRate(Of.m_Schedule);
  if (Peak <= 0)
    return std::nullopt;
  // Thinning: draws at the peak rate, of which a share is kept.
  while (true) {
    double Gap = std::exponential_distribution<>(Peak)(From.m_Random);
    From.m_Now += std::chrono::duration_cast<nanoseconds>(
        std::chrono::duration<double>(Gap));
    if (From.m_Now >= Of.m_Length)
      return std::nullopt;
    auto At = std::chrono::duration_cast<milliseconds>(From.m_Now);
    if (drawUnit(From.m_Random) * Peak > rateAt(Of.m_Schedule, At))
      continue;
    std::size_t Number = drawStream(From, heightAt(Of.m_Schedule, At));
    const Stream &Chosen = Of.m_Streams[Number];
    std::uint32_t Prompt = drawSize(From.m_Random, Chosen.m_Prompt);
    return drawCall(From, Number, Prompt,
                    drawSize(From.m_Random, Chosen.m_MaxTokens));
  }
}

} // namespace wasabivale::load
