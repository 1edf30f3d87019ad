/// \file
/// Reads answers and judges whether each is whole, in order and its own, by
/// the deterministic text of the fake engines.

#ifndef WASABIVALE_LOAD_JUDGE_H
#define WASABIVALE_LOAD_JUDGE_H

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabivale::load {

/// What has been read of one answer.
struct Answer {
  std::string m_Text;
  bool m_SawDone = false;
  std::optional<Outcome> m_Outcome; ///< As the answer itself says.
  std::uint32_t m_Refusal = 0;      ///< Number of the error object; 0: none.
  std::string m_RefusalName;
  std::string m_Pending; ///< Bytes of an event that is not complete yet.
  std::string m_EventName;
};

/// Reads more bytes of server-sent events.
void readEvents(Answer &Into, std::string_view Bytes);
/// Reads a whole JSON answer or refusal.
void readWhole(Answer &Into, std::string_view Body);

enum class Verdict : std::uint8_t {
  Whole,   ///< Complete, in order and its own.
  Refused, ///< Told that it was not run, or failed in words.
  Broken,  ///< Ended without an end marker: the caller knows it is not whole.
  Cut,     ///< Claimed to be complete, but the end is missing.
  Doubled, ///< A part came twice.
  Mixed,   ///< Contains another answer's text.
  Wrong,   ///< Differs in another way.
};
std::string_view verdictName(Verdict Value);
constexpr std::size_t VerdictCount = 7;

/// Judges an answer to \p Prompt that should have \p MaxTokens tokens.
Verdict judge(const Answer &Of, std::string_view Prompt,
              std::uint32_t MaxTokens);

} // namespace wasabivale::load

#endif // WASABIVALE_LOAD_JUDGE_H
