#include "ResponseReader.h"

#include "Headers.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace wasabivale::http {

namespace {

constexpr int FirstStatus = 100;
constexpr int SwitchingProtocols = 101;
constexpr int FirstFinalStatus = 200;
constexpr int LastStatus = 599;
/// The fixed part of a status line; `d` stands for a digit.
constexpr std::string_view StatusLinePattern = "HTTP/1.d ddd";
constexpr std::size_t MinorVersionOffset = 7;
constexpr std::size_t StatusOffset = 9;

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

bool takeLast(std::string_view &Text, char Letter) {
  if (Text.empty() || Text.back() != Letter)
    return false;
  Text.remove_suffix(1);
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

bool ResponseReader::isFraming() const { return m_Stage != Stage::Complete; }

bool ResponseReader::skipContent(std::size_t) const { return !isFraming(); }

std::optional<ResponseFault> ResponseReader::feed(std::string_view Bytes,
                                                  std::string &Checked) {
  while (!Bytes.empty()) {
    if (!isFraming()) {
      Checked += Bytes;
      return std::nullopt;
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

std::optional<ResponseFault>
ResponseReader::checkIncompleteLine(std::string_view Added) const {
  const std::string_view Line = m_Line;
  if (m_Stage == Stage::StatusLine && !matchesStatusLine(Line))
    return ResponseFault::StatusLine;
  const std::size_t Former = Line.size() - Added.size();
  const std::size_t Return = Line.find('\r', Former > 0 ? Former - 1 : 0);
  if (Return != Line.npos && Return + 1 < Line.size())
    return ResponseFault::LineEnd;
  if (isText(Line.substr(Former, Return - Former)))
    return std::nullopt;
  if (m_Stage == Stage::StatusLine)
    return ResponseFault::StatusLine;
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
  if (m_Stage == Stage::StatusLine)
    return takeStatusLine(Line);
  return Line.empty() ? endHead(Checked) : takeField(Line);
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
  m_Head.m_Text = fmt::format("HTTP/1.{} {}\r\n",
                              Line[MinorVersionOffset] == '0' ? 0 : 1, Status);
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
  m_Head.m_Text += fmt::format("{}:{}\r\n", Name, Value);
  return std::nullopt;
}

std::optional<ResponseFault> ResponseReader::endHead(std::string &Checked) {
  if (m_Head.m_Status < FirstFinalStatus) {
    m_Head = {};
    m_Stage = Stage::StatusLine;
    return std::nullopt;
  }
  Checked += m_Head.m_Text;
  Checked += "\r\n";
  m_Stage = Stage::Complete;
  return std::nullopt;
}

} // namespace wasabivale::http
