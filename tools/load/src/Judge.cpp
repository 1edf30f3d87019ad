#include "Judge.h"

#include "enginemodel/enginemodel.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wasabivale::load {

namespace {

using Json = nlohmann::json;

constexpr std::size_t TokenBytes = enginemodel::TokenBytes;

std::optional<Outcome> parseOutcome(const std::string &Name) {
  for (Outcome Each : {Outcome::Completed, Outcome::NotRun, Outcome::Unknown})
    if (outcomeName(Each) == Name)
      return Each;
  return std::nullopt;
}

void readRefusal(Answer &Into, const Json &Object) {
  Into.m_Refusal = Object.value("number", 0U);
  Into.m_RefusalName = Object.value("reason", std::string("unnamed"));
  if (Object.contains("outcome"))
    Into.m_Outcome = parseOutcome(Object.value("outcome", std::string()));
}

/// Text of an OpenAI-style answer or of a piece of one.
void readChoices(Answer &Into, const Json &Object) {
  if (!Object.contains("choices") || Object["choices"].empty())
    return;
  const Json &Choice = Object["choices"][0];
  if (Choice.contains("text"))
    Into.m_Text += Choice["text"].get<std::string>();
  for (const char *Part : {"delta", "message"})
    if (Choice.contains(Part))
      Into.m_Text += Choice[Part].value("content", std::string());
}

void readObject(Answer &Into, std::string_view Text) {
  Json Object = Json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return;
  if (Object.contains("error") && Object["error"].is_object())
    readRefusal(Into, Object["error"]);
  if (Object.contains("outcome") && Object["outcome"].is_string())
    Into.m_Outcome = parseOutcome(Object["outcome"].get<std::string>());
  readChoices(Into, Object);
}

void readLine(Answer &Into, std::string_view Line) {
  constexpr std::string_view Event = "event: ";
  constexpr std::string_view Data = "data: ";
  if (Line.empty()) {
    Into.m_EventName.clear();
    return;
  }
  if (Line.starts_with(Event)) {
    Into.m_EventName = Line.substr(Event.size());
    return;
  }
  if (!Line.starts_with(Data))
    return;
  Line.remove_prefix(Data.size());
  if (Line == "[DONE]")
    Into.m_SawDone = true;
  else
    readObject(Into, Line);
}

bool isOwnToken(const std::string &Text, const std::string &Expected,
                std::size_t At) {
  return Text.compare(At, TokenBytes, Expected, At, TokenBytes) == 0;
}

/// Whether the text goes back to an earlier place of the expected one.
bool repeatsPart(const std::string &Text, const std::string &Expected,
                 std::size_t At) {
  std::string Token = Text.substr(At, TokenBytes);
  for (std::size_t Place = 0; Place < At; Place += TokenBytes)
    if (Expected.compare(Place, TokenBytes, Token) == 0)
      return true;
  return false;
}

/// Whether the text goes on at a later place of the expected one.
bool skipsPart(const std::string &Text, const std::string &Expected,
               std::size_t At) {
  std::string Token = Text.substr(At, TokenBytes);
  for (std::size_t Place = At; Place < Expected.size(); Place += TokenBytes)
    if (Expected.compare(Place, TokenBytes, Token) == 0)
      return true;
  return false;
}

Verdict compareText(const std::string &Text, const std::string &Expected) {
  if (Text == Expected)
    return Verdict::Whole;
  std::size_t Same = 0;
  std::size_t Least = std::min(Text.size(), Expected.size());
  while (Same < Least && isOwnToken(Text, Expected, Same))
    Same += TokenBytes;
  if (Same >= Text.size())
    return Verdict::Cut;
  if (repeatsPart(Text, Expected, Same))
    return Verdict::Doubled;
  if (skipsPart(Text, Expected, Same))
    return Verdict::Cut;
  // Fake engines only make words of this alphabet: it is another's answer.
  constexpr std::string_view Alphabet = "abcdefghijklmnopqrstuvwxyz234567";
  bool Foreign = Text.find_first_not_of(Alphabet, Same) == std::string::npos;
  return Foreign ? Verdict::Mixed : Verdict::Wrong;
}

} // namespace

void readEvents(Answer &Into, std::string_view Bytes) {
  Into.m_Pending += Bytes;
  std::size_t Start = 0;
  for (std::size_t End = Into.m_Pending.find('\n'); End != std::string::npos;
       End = Into.m_Pending.find('\n', Start)) {
    readLine(Into, std::string_view(Into.m_Pending).substr(Start, End - Start));
    Start = End + 1;
  }
  Into.m_Pending.erase(0, Start);
}

void readWhole(Answer &Into, std::string_view Body) {
  readObject(Into, Body);
  Into.m_SawDone = Into.m_Refusal == 0 && Json::accept(Body);
}

std::string_view verdictName(Verdict Value) {
  switch (Value) {
  case Verdict::Whole:
    return "whole";
  case Verdict::Refused:
    return "refused";
  case Verdict::Broken:
    return "broken";
  case Verdict::Cut:
    return "cut";
  case Verdict::Doubled:
    return "doubled";
  case Verdict::Mixed:
    return "mixed";
  case Verdict::Wrong:
    return "wrong";
  }
  return "wrong";
}

Verdict judge(const Answer &Of, std::string_view Prompt,
              std::uint32_t MaxTokens) {
  std::string Expected = enginemodel::expectedText(Prompt, 0, MaxTokens);
  bool Claimed = Of.m_SawDone && Of.m_Refusal == 0;
  Verdict ByText = compareText(Of.m_Text, Expected);
  if (Claimed)
    return ByText;
  // What has come must be right also when the answer is not whole.
  bool IsPrefix = ByText == Verdict::Whole || ByText == Verdict::Cut;
  if (!Of.m_Text.empty() && !IsPrefix)
    return ByText;
  return Of.m_Refusal != 0 ? Verdict::Refused : Verdict::Broken;
}

} // namespace wasabivale::load
