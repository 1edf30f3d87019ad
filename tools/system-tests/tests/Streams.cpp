#include "Streams.h"

#include "enginemodel/enginemodel.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace wasabivale::systemtests {

namespace {

std::string wholeText(const Streams &Of, std::size_t Number) {
  return enginemodel::expectedText(promptOf(Number), 0, Of.m_Tokens);
}

} // namespace

std::string promptOf(std::size_t Number) {
  return "How long does gourd " + std::to_string(Number) + " cure?";
}

void addStream(Streams &To, const System &Running, int Entry) {
  To.m_Answers.push_back(Running.complete(Entry, promptOf(To.m_Answers.size()),
                                          static_cast<int>(To.m_Tokens)));
}

Streams startStreams(const System &Running, std::size_t Count,
                     std::uint64_t Tokens) {
  Streams Made;
  Made.m_Tokens = Tokens;
  for (std::size_t I = 0; I < Count; ++I)
    addStream(Made, Running, 1 + static_cast<int>(I % 2));
  REQUIRE(Running.turnUntil([&Made] {
    return std::all_of(Made.m_Answers.begin(), Made.m_Answers.end(),
                       [](const auto &Each) {
                         return !Each->m_Text.empty() || Each->m_Ended;
                       });
  }));
  return Made;
}

void waitForEnd(const System &Running, const Streams &Of) {
  REQUIRE(Running.turnUntil([&Of] {
    return std::all_of(Of.m_Answers.begin(), Of.m_Answers.end(),
                       [](const auto &Each) { return Each->m_Ended; });
  }));
}

void checkWhole(const Streams &Of, std::size_t Number) {
  const Answer &Got = *Of.m_Answers[Number];
  INFO(promptOf(Number) << ": " << Got.m_Status << " " << Got.m_Body);
  CHECK(Got.m_Done);
  CHECK(Got.m_Outcome == "completed");
  CHECK(Got.m_Text == wholeText(Of, Number));
}

void checkAllWhole(const Streams &Of) {
  for (std::size_t I = 0; I < Of.m_Answers.size(); ++I)
    checkWhole(Of, I);
}

void checkWholeOrKnown(const Streams &Of, std::size_t Number) {
  const Answer &Got = *Of.m_Answers[Number];
  if (Got.m_Done)
    return checkWhole(Of, Number);
  INFO(promptOf(Number) << ": " << Got.m_Body);
  CHECK(Got.m_Outcome != "completed");
  CHECK(wholeText(Of, Number).rfind(Got.m_Text, 0) == 0);
}

} // namespace wasabivale::systemtests
