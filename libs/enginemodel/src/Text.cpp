#include "enginemodel/enginemodel.h"

#include <algorithm>

namespace wasabivale::enginemodel {

std::vector<std::uint64_t> blockHashes(std::string_view Model,
                                       std::string_view Prompt) {
  constexpr std::size_t BlockBytes = BlockTokens * TokenBytes;
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Previous = hashBytes(Model);
  for (; Prompt.size() >= BlockBytes; Prompt.remove_prefix(BlockBytes)) {
    Previous = hashBytes(Prompt.substr(0, BlockBytes), Previous);
    Hashes.push_back(Previous);
  }
  return Hashes;
}

std::uint64_t tokensOf(std::string_view Text) {
  return std::max<std::uint64_t>(1,
                                 (Text.size() + TokenBytes - 1) / TokenBytes);
}

/// Finalizer of SplitMix64.
static std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31U);
}

std::string expectedText(std::string_view Prompt, std::uint64_t First,
                         std::uint64_t Count) {
  constexpr std::string_view Alphabet = "abcdefghijklmnopqrstuvwxyz234567";
  constexpr unsigned BitsPerByte = 5;
  constexpr std::uint64_t Stride = 0x9e3779b97f4a7c15U;
  const std::uint64_t Seed = hashBytes(Prompt);
  std::string Text;
  Text.reserve(Count * TokenBytes);
  for (std::uint64_t Token = First; Token < First + Count; ++Token) {
    std::uint64_t Bits = mix(Seed + (Token + 1) * Stride);
    for (std::uint64_t Byte = 0; Byte < TokenBytes; ++Byte) {
      Text += Alphabet[Bits % Alphabet.size()];
      Bits >>= BitsPerByte;
    }
  }
  return Text;
}

} // namespace wasabivale::enginemodel
