#include "ResponseReader.h"

#include "Headers.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace wasabivale::http {

namespace {

constexpr int FirstStatus = 100;
constexpr int SwitchingProtocols = 101;
constexpr int FirstFinalStatus = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int LastStatus = 599;
/// evhttp counts in signed numbers of 64 bits.
constexpr std::uint64_t MaxLength = std::numeric_limits<std::int64_t>::max();
/// The fixed part of a status line; `d` stands for a digit.
constexpr std::string_view StatusLinePattern = "HTTP/1.d ddd";
constexpr std::size_t MinorVersionOffset = 7;
constexpr std::size_t StatusOffset = 9;

constexpr std::string_view LengthField = "content-length";
constexpr std::string_view CodingField = "transfer-encoding";

std::array<std::uint64_t, ResponseFaults> MalformedCounts{};

bool isBlank(char Letter) { return Letter == ' ' || Letter == '\t'; }

/// Whether fields and reasons may hold it: all but control characters.
bool isText(char Letter) {
  const auto Code = static_cast<unsigned char>(Letter);
  return Letter == '\t' || (Code >= 0x20 && Code != 0x7f);
}

bool isText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char Letter) { return isText(Letter); });
}

std::string_view skipBlanks(std::string_view Text) {
  while (!Text.empty() && isBlank(Text.front()))
    Text.remove_prefix(1);
  return Text;
}

std::string_view trim(std::string_view Text) {
  Text = skipBlanks(Text);
  while (!Text.empty() && isBlank(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

/// Whether \p Line begins, as far as it goes, as a status line does.
bool matchesStatusLine(std::string_view Line) {
  const std::size_t Size = std::min(Line.size(), StatusLinePattern.size());
  for (std::size_t I = 0; I < Size; ++I) {
    const bool IsDigit = StatusLinePattern[I] == 'd';
    if (IsDigit ? std::isdigit(static_cast<unsigned char>(Line[I])) == 0
                : Line[I] != StatusLinePattern[I])
      return false;
  }
  return true;
}

bool takeFirst(std::string_view &Text, char Letter) {
  if (Text.empty() || Text.front() != Letter)
    return false;
  Text.remove_prefix(1);
  return true;
}

bool takeLast(std::string_view &Text, char Letter) {
  if (Text.empty() || Text.back() != Letter)
    return false;
  Text.remove_suffix(1);
  return true;
}

bool takeToken(std::string_view &Text) {
  std::size_t Size = 0;
  while (Size < Text.size() && isToken(Text.substr(Size, 1)))
    ++Size;
  Text.remove_prefix(Size);
  return Size > 0;
}

bool takeQuotedString(std::string_view &Text) {
  if (!takeFirst(Text, '"'))
    return false;
  while (!Text.empty() && Text.front() != '"') {
    takeFirst(Text, '\\');
    if (Text.empty() || !isText(Text.front()))
      return false;
    Text.remove_prefix(1);
  }
  return takeFirst(Text, '"');
}

/// RFC 9112, 7.1.1.
bool isChunkExtension(std::string_view Text) {
  while (!Text.empty()) {
    Text = skipBlanks(Text);
    if (!takeFirst(Text, ';'))
      return false;
    Text = skipBlanks(Text);
    if (!takeToken(Text))
      return false;
    std::string_view Value = skipBlanks(Text);
    if (!takeFirst(Value, '='))
      continue;
    Text = skipBlanks(Value);
    if (!takeToken(Text) && !takeQuotedString(Text))
      return false;
  }
  return true;
}

struct FaultInfo {
  std::string_view m_Name;
  const char *m_Text;
};

const FaultInfo &faultInfo(ResponseFault Value) {
  static constexpr FaultInfo Faults[] = {
      {"status_line", "the status line is malformed"},
      {"status_code", "the status is none of HTTP"},
      {"field_line", "a line of the head is no field"},
      {"field_name", "the name of a field is malformed"},
      {"field_value", "the value of a field holds a control character"},
      {"line_end", "a line does not end as those before it"},
      {"content_length", "the length is malformed or contradictory"},
      {"transfer_encoding", "the transfer coding is not chunked alone"},
      {"chunk_size", "the size of a chunk is malformed"},
      {"chunk_end", "a chunk is longer than its size"},
      {"too_long", "the answer is too long"},
  };
  static_assert(std::size(Faults) == ResponseFaults);
  return Faults[static_cast<std::size_t>(Value)];
}

} // namespace

std::string_view responseFaultName(ResponseFault Value) {
  return faultInfo(Value).m_Name;
}

const char *responseFaultText(ResponseFault Value) {
  return faultInfo(Value).m_Text;
}

void countMalformedResponse(ResponseFault Fault) {
  ++MalformedCounts[static_cast<std::size_t>(Fault)];
}

std::uint64_t malformedResponses(ResponseFault Fault) {
  return MalformedCounts[static_cast<std::size_t>(Fault)];
}

bool ResponseReader::isFraming() const {
  return m_Stage != Stage::Content && m_Stage != Stage::ChunkContent &&
         m_Stage != Stage::ContentUntilClose && m_Stage != Stage::Complete;
}

bool ResponseReader::skipContent(std::size_t Count) {
  if (isFraming())
    return false;
  if (m_Stage == Stage::ContentUntilClose || m_Stage == Stage::Complete)
    return true;
  if (Count >= m_Remaining)
    return false;
  m_Remaining -= Count;
  return true;
}

std::optional<ResponseFault> ResponseReader::feed(std::string_view Bytes,
                                                  std::string &Checked) {
  while (!Bytes.empty()) {
    if (!isFraming()) {
      takeContent(Bytes, Checked);
      continue;
    }
    const std::size_t End = Bytes.find('\n');
    const bool IsComplete = End != Bytes.npos;
    const std::string_view Added = Bytes.substr(0, End);
    Bytes.remove_prefix(IsComplete ? End + 1 : Bytes.size());
    m_Line += Added;
    const std::size_t LineBytes =
        m_Line.size() - (m_Line.ends_with('\r') ? 1 : 0);
    if (m_FramingBytes + LineBytes > m_MaxFramingBytes)
      return ResponseFault::TooLong;
    if (!IsComplete)
      return checkIncompleteLine(Added);
    if (const auto Fault = takeLine(Checked))
      return Fault;
    m_Line.clear();
  }
  return std::nullopt;
}

void ResponseReader::takeContent(std::string_view &Bytes,
                                 std::string &Checked) {
  if (m_Stage == Stage::ContentUntilClose || m_Stage == Stage::Complete) {
    Checked += Bytes;
    Bytes = {};
    return;
  }
  const std::size_t Size = std::min<std::uint64_t>(m_Remaining, Bytes.size());
  Checked += Bytes.substr(0, Size);
  Bytes.remove_prefix(Size);
  m_Remaining -= Size;
  if (m_Remaining == 0)
    m_Stage = m_Stage == Stage::Content ? Stage::Complete : Stage::ChunkEnd;
}

std::optional<ResponseFault>
ResponseReader::checkIncompleteLine(std::string_view Added) const {
  const std::string_view Line = m_Line;
  if (m_Stage == Stage::StatusLine && !matchesStatusLine(Line))
    return ResponseFault::StatusLine;
  if (m_Stage == Stage::ChunkEnd && !Line.empty() && Line != "\r")
    return ResponseFault::ChunkEnd;
  const std::size_t Former = Line.size() - Added.size();
  const std::size_t Return = Line.find('\r', Former > 0 ? Former - 1 : 0);
  if (Return != Line.npos && Return + 1 < Line.size())
    return ResponseFault::LineEnd;
  if (isText(Line.substr(Former, Return - Former)))
    return std::nullopt;
  if (m_Stage == Stage::StatusLine)
    return ResponseFault::StatusLine;
  if (m_Stage == Stage::ChunkSize)
    return ResponseFault::ChunkSize;
  return Line.find(':') == Line.npos ? ResponseFault::FieldName
                                     : ResponseFault::FieldValue;
}

std::optional<ResponseFault> ResponseReader::takeLine(std::string &Checked) {
  std::string_view Line = m_Line;
  const bool EndsWithCrLf = takeLast(Line, '\r');
  if (m_Stage == Stage::StatusLine)
    m_EndsLinesWithCrLf = EndsWithCrLf;
  // One of several readings would end the line elsewhere.
  if (EndsWithCrLf != m_EndsLinesWithCrLf || Line.find('\r') != Line.npos)
    return ResponseFault::LineEnd;
  m_FramingBytes += Line.size();
  switch (m_Stage) {
  case Stage::StatusLine:
    return takeStatusLine(Line);
  case Stage::FieldLines:
    return Line.empty() ? endHead(Checked) : takeField(Line);
  case Stage::ChunkSize:
    return takeChunkSize(Line, Checked);
  case Stage::ChunkEnd:
    if (!Line.empty())
      return ResponseFault::ChunkEnd;
    Checked += "\r\n";
    enterChunkSize();
    return std::nullopt;
  case Stage::Trailers:
    if (!Line.empty())
      return takeField(Line);
    Checked += "0\r\n\r\n";
    m_Stage = Stage::Complete;
    return std::nullopt;
  case Stage::Content:
  case Stage::ContentUntilClose:
  case Stage::ChunkContent:
  case Stage::Complete:
    return std::nullopt; // These have no lines.
  }
  return std::nullopt;
}

std::optional<ResponseFault>
ResponseReader::takeStatusLine(std::string_view Line) {
  if (Line.size() < StatusLinePattern.size() || !matchesStatusLine(Line))
    return ResponseFault::StatusLine;
  const std::string_view Reason = Line.substr(StatusLinePattern.size());
  // Many servers leave out the blank before an empty reason.
  if ((!Reason.empty() && Reason.front() != ' ') || !isText(Reason))
    return ResponseFault::StatusLine;
  const std::string_view Status =
      Line.substr(StatusOffset, StatusLinePattern.size() - StatusOffset);
  m_Head.m_Status = *parseNumber<int>(Status);
  if (m_Head.m_Status < FirstStatus || m_Head.m_Status > LastStatus ||
      m_Head.m_Status == SwitchingProtocols)
    return ResponseFault::StatusCode;
  m_Head.m_IsHttp10 = Line[MinorVersionOffset] == '0';
  m_Head.m_Text =
      fmt::format("HTTP/1.{} {}\r\n", m_Head.m_IsHttp10 ? 0 : 1, Status);
  m_Stage = Stage::FieldLines;
  return std::nullopt;
}

std::optional<ResponseFault> ResponseReader::takeField(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  // A line that begins with a blank continues the one before it, which RFC
  // 9112, 5.2, lets a recipient refuse.
  if (Colon == Line.npos || isBlank(Line.front()))
    return ResponseFault::FieldLine;
  const std::string_view Name = Line.substr(0, Colon);
  if (!isToken(Name))
    return ResponseFault::FieldName;
  const std::string_view Value = trim(Line.substr(Colon + 1));
  if (!isText(Value))
    return ResponseFault::FieldValue;
  if (isSameName(Name, LengthField))
    return takeLength(Value);
  if (isSameName(Name, CodingField))
    return takeCoding(Value);
  if (m_Stage == Stage::FieldLines)
    m_Head.m_Text += fmt::format("{}:{}\r\n", Name, Value);
  return std::nullopt;
}

std::optional<ResponseFault>
ResponseReader::takeLength(std::string_view Value) {
  if (m_Stage == Stage::Trailers)
    return ResponseFault::ContentLength;
  // Senders of several equal lengths may have joined them to a list.
  for (std::size_t Start = 0; Start <= Value.size();) {
    const std::size_t End = std::min(Value.find(',', Start), Value.size());
    const auto Length =
        parseNumber<std::uint64_t>(trim(Value.substr(Start, End - Start)));
    if (!Length || *Length > MaxLength ||
        (m_Head.m_Length && *m_Head.m_Length != *Length))
      return ResponseFault::ContentLength;
    if (!m_Head.m_Length)
      m_Head.m_Text += fmt::format("Content-Length:{}\r\n", *Length);
    m_Head.m_Length = Length;
    Start = End + 1;
  }
  return std::nullopt;
}

std::optional<ResponseFault>
ResponseReader::takeCoding(std::string_view Value) {
  if (m_Stage == Stage::Trailers || m_Head.m_IsChunked ||
      !isSameName(Value, "chunked"))
    return ResponseFault::TransferEncoding;
  m_Head.m_IsChunked = true;
  m_Head.m_Text += "Transfer-Encoding:chunked\r\n";
  return std::nullopt;
}

std::optional<ResponseFault> ResponseReader::endHead(std::string &Checked) {
  const bool IsInterim = m_Head.m_Status < FirstFinalStatus;
  const bool NeverHasContent = IsInterim || m_Head.m_Status == NoContent;
  if (m_Head.m_IsChunked &&
      (m_Head.m_Length || m_Head.m_IsHttp10 || NeverHasContent))
    return ResponseFault::TransferEncoding;
  if (NeverHasContent && m_Head.m_Length.value_or(0) != 0)
    return ResponseFault::ContentLength;
  if (IsInterim) {
    m_Head = {};
    m_Stage = Stage::StatusLine;
    return std::nullopt;
  }
  Checked += m_Head.m_Text;
  Checked += "\r\n";
  m_Remaining = m_Head.m_Length.value_or(0);
  if (m_IsHead || NeverHasContent || m_Head.m_Status == NotModified)
    m_Stage = Stage::Complete;
  else if (m_Head.m_IsChunked)
    enterChunkSize();
  else if (!m_Head.m_Length)
    m_Stage = Stage::ContentUntilClose;
  else
    m_Stage = m_Remaining > 0 ? Stage::Content : Stage::Complete;
  return std::nullopt;
}

void ResponseReader::enterChunkSize() {
  m_Stage = Stage::ChunkSize;
  m_FramingBytes = 0;
}

std::optional<ResponseFault>
ResponseReader::takeChunkSize(std::string_view Line, std::string &Checked) {
  constexpr int Hexadecimal = 16;
  const char *const End = Line.data() + Line.size();
  const auto Read = std::from_chars(Line.data(), End, m_Remaining, Hexadecimal);
  if (Read.ec != std::errc() || m_Remaining > MaxLength ||
      !isChunkExtension({Read.ptr, static_cast<std::size_t>(End - Read.ptr)}))
    return ResponseFault::ChunkSize;
  m_Stage = m_Remaining > 0 ? Stage::ChunkContent : Stage::Trailers;
  if (m_Remaining > 0)
    Checked += fmt::format("{:x}\r\n", m_Remaining);
  return std::nullopt;
}

} // namespace wasabivale::http
