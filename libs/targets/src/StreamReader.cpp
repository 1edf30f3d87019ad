#include "targets/targets.h"

#include <fmt/format.h>

namespace wasabivale::targets {

namespace {

Error fault(std::string Message) {
  return Error{"targets.stream", "", std::move(Message)};
}

} // namespace

StreamReader::StreamReader(std::string StreamId, std::uint64_t Offset,
                           std::uint64_t MaxTokens)
    : m_StreamId(std::move(StreamId)), m_Start(Offset), m_Offset(Offset),
      m_MaxTokens(MaxTokens) {}

Status StreamReader::feed(std::string_view Bytes,
                          std::vector<StreamEvent> &Into) {
  if (m_Failed)
    return fault("the stream has failed before");
  while (!Bytes.empty()) {
    const std::size_t LineFeed = Bytes.find('\n');
    const std::string_view Part = Bytes.substr(0, LineFeed);
    if (m_Rest.size() + Part.size() > MaxLineBytes) {
      m_Failed = true;
      return fault("a line is too long");
    }
    m_Rest += Part;
    if (LineFeed == std::string_view::npos)
      break;
    Bytes.remove_prefix(LineFeed + 1);
    const std::string Line = std::exchange(m_Rest, {});
    if (Status Taken = takeLine(Line, Into); failed(Taken)) {
      m_Failed = true;
      return Taken;
    }
  }
  return std::monostate{};
}

Status StreamReader::takeLine(std::string_view Line,
                              std::vector<StreamEvent> &Into) {
  if (m_Whole)
    return fault("a line came after the end marker");
  auto Parsed = parseStreamLine(Line);
  if (failed(Parsed))
    return errorOf(Parsed);
  if (valueOf(Parsed).m_StreamId != m_StreamId)
    return fault("a line belongs to another stream");
  const bool First = !std::exchange(m_Begun, true);
  StreamEvent &Event = valueOf(Parsed).m_Event;
  if (const auto *Resumed = std::get_if<StreamResumed>(&Event))
    return First ? takeResumed(*Resumed, Into)
                 : fault("a stream resumes in its middle");
  if (First && m_Start > 0)
    return fault("the stream does not say that it resumes");
  if (auto *Piece = std::get_if<StreamPiece>(&Event))
    return takePiece(std::move(*Piece), Into);
  return takeEnd(std::get<StreamEnd>(Event), Into);
}

Status StreamReader::takeResumed(StreamResumed Line,
                                 std::vector<StreamEvent> &Into) {
  if (Line.m_Offset != m_Start)
    return fault(fmt::format("the stream resumes at {} instead of {}",
                             Line.m_Offset, m_Start));
  Into.emplace_back(Line);
  return std::monostate{};
}

Status StreamReader::takePiece(StreamPiece Piece,
                               std::vector<StreamEvent> &Into) {
  const std::uint64_t After = Piece.m_Offset + Piece.m_Tokens;
  if (Piece.m_Offset > m_Offset)
    return fault(fmt::format("a gap from {} to {}", m_Offset, Piece.m_Offset));
  if (After <= m_Offset) {
    ++m_Duplicates;
    return std::monostate{};
  }
  if (Piece.m_Offset < m_Offset)
    return fault(
        fmt::format("a piece from {} overlaps {}", Piece.m_Offset, m_Offset));
  if (After > m_MaxTokens)
    return fault("more tokens than were asked for");
  m_Offset = After;
  Into.emplace_back(std::move(Piece));
  return std::monostate{};
}

Status StreamReader::takeEnd(const StreamEnd &End,
                             std::vector<StreamEvent> &Into) {
  if (End.m_Length != m_Offset)
    return fault(fmt::format("the end marker names {} tokens, {} arrived",
                             End.m_Length, m_Offset));
  m_Whole = true;
  Into.emplace_back(End);
  return std::monostate{};
}

} // namespace wasabivale::targets
