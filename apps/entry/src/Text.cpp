#include "Text.h"

#include <algorithm>
#include <cstdint>

namespace wasabivale::entry {

namespace {

/// Length of the sequence that starts with \p First, or zero.
std::size_t sequenceLength(unsigned char First) {
  if (First < 0x80)
    return 1;
  if (First >= 0xC2 && First <= 0xDF)
    return 2;
  if (First >= 0xE0 && First <= 0xEF)
    return 3;
  if (First >= 0xF0 && First <= 0xF4)
    return 4;
  return 0;
}

/// Range of the second byte, narrower after some first bytes: no overlong
/// forms, no surrogates, nothing above U+10FFFF.
bool isSecondByte(unsigned char First, unsigned char Second) {
  const unsigned char Lowest = First == 0xE0   ? 0xA0
                               : First == 0xF0 ? 0x90
                                               : 0x80;
  const unsigned char Highest = First == 0xED   ? 0x9F
                                : First == 0xF4 ? 0x8F
                                                : 0xBF;
  return Second >= Lowest && Second <= Highest;
}

bool isContinuation(unsigned char Byte) { return (Byte & 0xC0U) == 0x80; }

} // namespace

bool isUtf8(std::string_view Text) {
  std::size_t At = 0;
  while (At < Text.size()) {
    const auto First = static_cast<unsigned char>(Text[At]);
    const std::size_t Length = sequenceLength(First);
    if (Length == 0 || At + Length > Text.size())
      return false;
    if (Length > 1 &&
        !isSecondByte(First, static_cast<unsigned char>(Text[At + 1])))
      return false;
    for (std::size_t I = 2; I < Length; ++I)
      if (!isContinuation(static_cast<unsigned char>(Text[At + I])))
        return false;
    At += Length;
  }
  return true;
}

std::size_t nestingDepth(std::string_view JsonText) {
  std::size_t Depth = 0;
  std::size_t Deepest = 0;
  bool InString = false;
  for (std::size_t At = 0; At < JsonText.size(); ++At) {
    const char Symbol = JsonText[At];
    if (InString) {
      if (Symbol == '\\')
        ++At;
      InString = Symbol != '"';
    } else if (Symbol == '"') {
      InString = true;
    } else if (Symbol == '[' || Symbol == '{') {
      Deepest = std::max(Deepest, ++Depth);
    } else if ((Symbol == ']' || Symbol == '}') && Depth > 0) {
      --Depth;
    }
  }
  return Deepest;
}

void appendJsonString(std::string &To, std::string_view Text) {
  constexpr std::string_view HexDigits = "0123456789abcdef";
  To += '"';
  std::size_t Plain = 0; // Start of what has not been copied yet.
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const auto Byte = static_cast<unsigned char>(Text[At]);
    if (Byte >= 0x20 && Byte != '"' && Byte != '\\')
      continue;
    To.append(Text, Plain, At - Plain);
    Plain = At + 1;
    if (Byte == '"' || Byte == '\\') {
      To += '\\';
      To += static_cast<char>(Byte);
    } else if (Byte == '\n') {
      To += "\\n";
    } else {
      To += "\\u00";
      To += HexDigits[Byte >> 4U];
      To += HexDigits[Byte & 0xFU];
    }
  }
  To.append(Text, Plain, Text.size() - Plain);
  To += '"';
}

} // namespace wasabivale::entry
