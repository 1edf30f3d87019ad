#include "relay/relay.h"

#include <charconv>

namespace wasabivale::relay {

namespace {

/// Longest event that is held until it is whole.
constexpr std::size_t MaxEventBytes = 1U << 20U;

/// The end of the first event in \p Text, behind its blank line, or npos.
std::size_t endOfEvent(std::string_view Text) {
  std::size_t Found = std::string_view::npos;
  for (const std::string_view Blank : {"\n\n", "\r\n\r\n"}) {
    const std::size_t At = Text.find(Blank);
    if (At != Text.npos)
      Found = std::min(Found, At + Blank.size());
  }
  return Found;
}

std::uint64_t idOf(std::string_view Event) {
  std::size_t At = 0;
  while (At < Event.size()) {
    const std::size_t End = std::min(Event.find('\n', At), Event.size());
    std::string_view Line = Event.substr(At, End - At);
    At = End + 1;
    if (Line.substr(0, 3) != "id:")
      continue;
    Line.remove_prefix(3);
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    std::uint64_t Value = 0;
    std::from_chars(Line.data(), Line.data() + Line.size(), Value);
    return Value;
  }
  return 0;
}

} // namespace

Status EventReader::feed(std::string_view Bytes, std::vector<Event> &Into) {
  m_Rest += Bytes;
  std::size_t At = 0;
  for (;;) {
    const std::string_view Left = std::string_view(m_Rest).substr(At);
    const std::size_t End = endOfEvent(Left);
    if (End == Left.npos)
      break;
    Event Next{idOf(Left.substr(0, End)), std::string(Left.substr(0, End))};
    At += End;
    if (Next.m_Id != 0 && Next.m_Id <= m_Seen) {
      ++m_Duplicates;
      continue;
    }
    if (Next.m_Id != 0 && Next.m_Id != m_Seen + 1)
      return Error{"relay.events", "", "events are missing from the stream"};
    if (Next.m_Id != 0)
      m_Seen = Next.m_Id;
    Into.push_back(std::move(Next));
  }
  m_Rest.erase(0, At);
  if (m_Rest.size() > MaxEventBytes)
    return Error{"relay.events", "", "an event is too long"};
  return std::monostate{};
}

std::vector<std::uint64_t>
hashPromptBlocks(const std::string &Model, const std::vector<PromptPart> &Parts,
                 std::uint32_t BlockTokens) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Before = hashBytes(Model);
  std::uint64_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Parts.size(); ++I) {
    Tokens += Parts[I].m_Tokens;
    while ((Blocks.size() + 1) * std::uint64_t(BlockTokens) <= Tokens) {
      const std::uint64_t Chained[] = {Before, Parts[I].m_Hash, Blocks.size()};
      Before =
          hashBytes({reinterpret_cast<const char *>(Chained), sizeof(Chained)});
      Blocks.push_back(Before);
    }
  }
  return Blocks;
}

} // namespace wasabivale::relay
