#include "relay/relay.h"

#include <algorithm>
#include <charconv>

namespace wasabivale::relay {

namespace {

/// Maximum size of an incomplete event in the buffer.
constexpr std::size_t MaxEventBytes = 1U << 20U;

/// Offset behind the blank line that ends the first event in \p Text, or npos.
std::size_t findEventEnd(std::string_view Text) {
  std::size_t EventEnd = std::string_view::npos;
  for (const std::string_view Blank : {"\n\n", "\r\n\r\n"}) {
    const std::size_t Offset = Text.find(Blank);
    if (Offset != Text.npos)
      EventEnd = std::min(EventEnd, Offset + Blank.size());
  }
  return EventEnd;
}

std::uint64_t eventId(std::string_view Event) {
  std::size_t Offset = 0;
  while (Offset < Event.size()) {
    const std::size_t End = std::min(Event.find('\n', Offset), Event.size());
    std::string_view Line = Event.substr(Offset, End - Offset);
    Offset = End + 1;
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

/// Whether the line is blank, a comment or a named field. Other text is not
/// part of a stream, such as a head or a body that stands in its middle.
bool isEventLine(std::string_view Line) {
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  const std::size_t Colon = Line.find(':');
  if (Line.empty() || Colon == 0)
    return true;
  const auto IsNamePart = [](char Letter) {
    return (Letter >= 'a' && Letter <= 'z') || Letter == '-';
  };
  return Colon != Line.npos &&
         std::all_of(Line.begin(),
                     Line.begin() + static_cast<std::ptrdiff_t>(Colon),
                     IsNamePart);
}

bool hasOnlyEventLines(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    if (!isEventLine(Text.substr(0, End)))
      return false;
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return true;
}

} // namespace

Status EventReader::feed(std::string_view Bytes, std::vector<Event> &Events) {
  m_Incomplete += Bytes;
  std::size_t Offset = 0;
  for (;;) {
    const std::string_view Remaining =
        std::string_view(m_Incomplete).substr(Offset);
    const std::size_t End = findEventEnd(Remaining);
    if (End == Remaining.npos)
      break;
    Event Next{eventId(Remaining.substr(0, End)),
               std::string(Remaining.substr(0, End))};
    Offset += End;
    if (!hasOnlyEventLines(Next.m_Text))
      return Error{"relay.events", "", "text in the stream is no event"};
    if (Next.m_Id != 0 && Next.m_Id <= m_LastEventId) {
      ++m_Duplicates;
      continue;
    }
    if (Next.m_Id != 0 && Next.m_Id != m_LastEventId + 1)
      return Error{"relay.events", "",
                   "the event ids in the stream have a gap"};
    if (Next.m_Id != 0)
      m_LastEventId = Next.m_Id;
    Events.push_back(std::move(Next));
  }
  m_Incomplete.erase(0, Offset);
  if (m_Incomplete.size() > MaxEventBytes)
    return Error{"relay.events", "", "an event exceeds the size limit"};
  return std::monostate{};
}

std::vector<std::uint64_t>
hashPromptBlocks(const std::string &Model, const std::vector<PromptPart> &Parts,
                 std::uint32_t BlockTokens) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Previous = hashBytes(Model);
  std::uint64_t Tokens = 0;
  for (std::size_t Index = 0; Index + 1 < Parts.size(); ++Index) {
    Tokens += Parts[Index].m_Tokens;
    while ((Blocks.size() + 1) * std::uint64_t(BlockTokens) <= Tokens) {
      const std::uint64_t Chained[] = {Previous, Parts[Index].m_Hash,
                                       Blocks.size()};
      Previous =
          hashBytes({reinterpret_cast<const char *>(Chained), sizeof(Chained)});
      Blocks.push_back(Previous);
    }
  }
  return Blocks;
}

} // namespace wasabivale::relay
