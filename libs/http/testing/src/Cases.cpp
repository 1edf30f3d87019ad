#include "http_testing/http_testing.h"

#include <fmt/format.h>

namespace wasabivale::http::testing {

namespace {

const std::string Ok = "HTTP/1.1 200 OK";
const std::string CrLf = "\r\n";
const std::string CodingLine = "Transfer-Encoding: chunked\r\n";
/// Characters that no name of a field has, besides controls.
constexpr std::string_view Separators = "()<>@,;\\\"/[]?={} \t";

struct Builder {
  const std::string &m_FieldLines;
  const std::string &m_Body;
  std::vector<ResponseCase> m_Cases{};

  [[nodiscard]] std::string lengthLine() const {
    return fmt::format("Content-Length: {}\r\n", m_Body.size());
  }
  [[nodiscard]] std::string head(const std::string &StatusLine,
                                 const std::string &Lines) const {
    return StatusLine + CrLf + m_FieldLines + Lines + CrLf;
  }

  void add(std::string Name, std::string Bytes, const char *Fault = "") {
    for (char &Letter : Name)
      if (static_cast<unsigned char>(Letter) < ' ')
        Letter = '.';
    m_Cases.push_back({std::move(Name), std::move(Bytes), Fault});
  }
  void addStatusLine(const std::string &Line, const char *Fault = "") {
    add("the status line " + Line, head(Line, lengthLine()) + m_Body, Fault);
  }
  /// \p Line stands between sound fields.
  void addLine(const std::string &Name, const std::string &Line,
               const char *Fault = "") {
    add(Name, head(Ok, Line + CrLf + lengthLine()) + m_Body, Fault);
  }
  /// \p Lines state the length.
  void addLength(const std::string &Lines, const char *Fault = "") {
    add("the length " + Lines, head(Ok, Lines + CrLf) + m_Body, Fault);
  }
  void addCoding(const std::string &Lines, const char *Fault = "") {
    add("the coding " + Lines, head(Ok, Lines + CrLf) + chunked(m_Body), Fault);
  }
  /// \p Content stands in place of the chunks.
  void addChunks(const std::string &Name, const std::string &Content,
                 const char *Fault = "") {
    add(Name, head(Ok, CodingLine) + Content, Fault);
    m_Cases.back().m_IsHeadSound = *Fault != '\0';
  }
  void addSize(const std::string &Size, const char *Fault = "") {
    addChunks("the chunk size " + Size,
              Size + CrLf + m_Body + CrLf + "0\r\n\r\n", Fault);
  }
};

std::string named(const char *Name, char Letter) {
  return fmt::format("{} {:#04x}", Name, static_cast<unsigned char>(Letter));
}

/// All control characters but those that end a line and the tab.
std::string controls() {
  std::string Letters = "\x7f";
  for (char Letter = 0; Letter < ' '; ++Letter)
    if (Letter != '\t' && Letter != '\n' && Letter != '\r')
      Letters += Letter;
  return Letters;
}

std::string with(const char *Before, char Letter, const char *Behind) {
  return std::string(Before) + Letter + Behind;
}

void addStatusLines(Builder &To) {
  for (const char *Line : {"HTTP/1.1 20 OK",   "HTTP/1.1 20x OK",
                           "HTTP/1.1 200x OK", "HTTP/1.1 x200 OK",
                           "HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK",
                           "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK",
                           "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK",
                           "HTTP/1.1\t200 OK", "HTTP/1.1 OK",
                           "HTTP/1.1 ",        "HTTP/1.1",
                           "HTTP/1 200 OK",    "HTTP/1. 200 OK",
                           "HTTP/1.x 200 OK",  "HTTP/1.10 200 OK",
                           "HTTP/2.0 200 OK",  "HTTP/0.9 200 OK",
                           "HTTP/11 200 OK",   "http/1.1 200 OK",
                           "HTTQ/1.1 200 OK",  " HTTP/1.1 200 OK",
                           "200 OK",           "",
                           "X-A: b",           "SSH-2.0-x",
                           "{\"answer\": 1}"})
    To.addStatusLine(Line, "status_line");
  for (const char Letter : controls())
    To.add(named("a reason with", Letter),
           To.head(Ok + Letter, To.lengthLine()) + To.m_Body, "status_line");
  for (const char *Status : {"000", "001", "099", "101", "600", "999"})
    To.addStatusLine(fmt::format("HTTP/1.1 {} OK", Status), "status_code");
}

void addFieldLines(Builder &To) {
  To.addLine("a line without a colon", "no field", "field_line");
  To.addLine("a word alone", "word", "field_line");
  To.addLine("a NUL alone", std::string(1, '\0'), "field_line");
  To.addLine("a line that continues", "X-A: b\r\n c", "field_line");
  To.addLine("a line that continues behind a tab", "X-A: b\r\n\tc",
             "field_line");
  To.addLine("a blank line that is not empty", " ", "field_line");
  To.add("a first line that begins with a blank",
         Ok + CrLf + " X-A: b\r\n" + To.m_FieldLines + To.lengthLine() + CrLf +
             To.m_Body,
         "field_line");
  To.addLine("an empty name", ": b", "field_name");
  To.addLine("a name that begins with a NUL", with("", '\0', "X-A: b"),
             "field_name");
  for (const std::string &Letters :
       {std::string(Separators), controls(), std::string("\x80\xe9\xff")})
    for (const char Letter : Letters) {
      To.addLine(named("a name with", Letter), with("X", Letter, "A: b"),
                 "field_name");
      To.addLine(named("a name that ends with", Letter),
                 with("X-A", Letter, ": b"), "field_name");
    }
  for (const char Letter : {' ', '\t', '\0', '\x7f', '\x01'}) {
    To.add(named("a length whose name ends with", Letter),
           To.head(Ok, with("Content-Length", Letter, ":") +
                           To.lengthLine().substr(15)) +
               To.m_Body,
           "field_name");
    To.add(named("a coding whose name ends with", Letter),
           To.head(Ok, with("Transfer-Encoding", Letter, ": chunked\r\n")) +
               chunked(To.m_Body),
           "field_name");
  }
  for (const char Letter : controls())
    To.addLine(named("a value with", Letter), with("X-A: b", Letter, "c"),
               "field_value");
}

void addLineEnds(Builder &To) {
  To.addLine("a CR within a value", "X-A: b\rX-B: c", "line_end");
  To.addLine("a CR within a name", "X\rA: b", "line_end");
  To.addLine("two CRs before an LF", "X-A: b\r", "line_end");
  To.addLine("a lone CR", "\r", "line_end");
  To.addLine("an LF among lines with CRLF", "X-A: b\nX-B: c", "line_end");
  To.add("a head that ends with an LF",
         Ok + CrLf + To.m_FieldLines + To.lengthLine() + "\n" + To.m_Body,
         "line_end");
  To.add("a status line alone that ends with an LF",
         Ok + "\n" + To.m_FieldLines + To.lengthLine() + CrLf + To.m_Body,
         "line_end");
}

void addInterim(Builder &To) {
  const std::string Final = To.head(Ok, To.lengthLine()) + To.m_Body;
  To.add("an interim response with a malformed field",
         "HTTP/1.1 103 Early\r\nX A: b\r\n\r\n" + Final, "field_name");
  To.add("a malformed response behind an interim one",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 2000 OK\r\n" + To.m_FieldLines +
             To.lengthLine() + CrLf + To.m_Body,
         "status_line");
}

} // namespace

std::string chunked(const std::string &Body, const std::string &Extension,
                    const std::string &Trailers) {
  const std::size_t Half = Body.size() / 2;
  std::string Text;
  for (const std::string &Part : {Body.substr(0, Half), Body.substr(Half)})
    if (!Part.empty())
      Text += fmt::format("{:x}{}\r\n{}\r\n", Part.size(), Extension, Part);
  return Text + "0" + Extension + CrLf + Trailers + CrLf;
}

std::vector<ResponseCase> malformedCases(const std::string &FieldLines,
                                         const std::string &Body) {
  Builder To{FieldLines, Body};
  addStatusLines(To);
  addFieldLines(To);
  addLineEnds(To);
  addInterim(To);
  return To.m_Cases;
}

std::vector<ResponseCase> unusualCases(const std::string &FieldLines,
                                       const std::string &Body) {
  Builder To{FieldLines, Body};
  for (const char *Line :
       {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.9 200 OK",
        "HTTP/1.1 200 a\treason: with 3 words and \xc3\xa4"})
    To.addStatusLine(Line);
  To.addLine("no blank before a value", "X-A:b");
  To.addLine("blanks and tabs around a value", "X-A: \t b \t ");
  To.addLine("an empty value", "X-A:\r\nX-B: \t");
  To.addLine("a tab, quotes and other letters in a value",
             "X-A: a\tb, \"c:d\" \xc3\xa4\xff");
  To.addLine("all characters of a name", "aZ09!#$%&'*+-.^_`|~: b");
  To.addLine("a name twice", "X-A: b\r\nx-a: c");
  const std::string Final = To.head(Ok, To.lengthLine()) + Body;
  for (const char *Status : {"100 Continue", "102 Processing", "103 Early"})
    To.add(std::string("an interim response ") + Status,
           fmt::format("HTTP/1.1 {}\r\nLink: </a>\r\n\r\n", Status) + Final);
  To.add("several interim responses",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" +
             Final);
  const auto WithLf = [](std::string Text) {
    for (std::size_t At = 0; (At = Text.find(CrLf, At)) != Text.npos;)
      Text.erase(At, 1);
    return Text;
  };
  To.add("lines that end with LF", WithLf(To.head(Ok, To.lengthLine())) + Body);
  To.add("no length", To.head(Ok, "") + Body);
  To.m_Cases.back().m_EndsWithConnection = true;
  To.add("no length in HTTP/1.0", To.head("HTTP/1.0 200 OK", "") + Body);
  To.m_Cases.back().m_EndsWithConnection = true;
  return To.m_Cases;
}

} // namespace wasabivale::http::testing
