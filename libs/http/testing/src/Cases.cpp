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

void addStatusLines(Builder &Table) {
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
    Table.addStatusLine(Line, "status_line");
  for (const char Letter : controls())
    Table.add(named("a reason with", Letter),
              Table.head(Ok + Letter, Table.lengthLine()) + Table.m_Body,
              "status_line");
  for (const char *Status : {"000", "001", "099", "101", "600", "999"})
    Table.addStatusLine(fmt::format("HTTP/1.1 {} OK", Status), "status_code");
}

void addFieldLines(Builder &Table) {
  Table.addLine("a line without a colon", "no field", "field_line");
  Table.addLine("a word alone", "word", "field_line");
  Table.addLine("a NUL alone", std::string(1, '\0'), "field_line");
  Table.addLine("a line that continues", "X-A: b\r\n c", "field_line");
  Table.addLine("a line that continues behind a tab", "X-A: b\r\n\tc",
                "field_line");
  Table.addLine("a blank line that is not empty", " ", "field_line");
  Table.add("a first line that begins with a blank",
            Ok + CrLf + " X-A: b\r\n" + Table.m_FieldLines +
                Table.lengthLine() + CrLf + Table.m_Body,
            "field_line");
  Table.addLine("an empty name", ": b", "field_name");
  Table.addLine("a name that begins with a NUL", with("", '\0', "X-A: b"),
                "field_name");
  for (const std::string &Letters :
       {std::string(Separators), controls(), std::string("\x80\xe9\xff")})
    for (const char Letter : Letters) {
      Table.addLine(named("a name with", Letter), with("X", Letter, "A: b"),
                    "field_name");
      Table.addLine(named("a name that ends with", Letter),
                    with("X-A", Letter, ": b"), "field_name");
    }
  for (const char Letter : {' ', '\t', '\0', '\x7f', '\x01'}) {
    Table.add(named("a length whose name ends with", Letter),
              Table.head(Ok, with("Content-Length", Letter, ":") +
                                 Table.lengthLine().substr(15)) +
                  Table.m_Body,
              "field_name");
    Table.add(
        named("a coding whose name ends with", Letter),
        Table.head(Ok, with("Transfer-Encoding", Letter, ": chunked\r\n")) +
            chunked(Table.m_Body),
        "field_name");
  }
  for (const char Letter : controls())
    Table.addLine(named("a value with", Letter), with("X-A: b", Letter, "c"),
                  "field_value");
}

void addLineEnds(Builder &Table) {
  Table.addLine("a CR within a value", "X-A: b\rX-B: c", "line_end");
  Table.addLine("a CR within a name", "X\rA: b", "line_end");
  Table.addLine("two CRs before an LF", "X-A: b\r", "line_end");
  Table.addLine("a lone CR", "\r", "line_end");
  Table.addLine("an LF among lines with CRLF", "X-A: b\nX-B: c", "line_end");
  Table.add("a head that ends with an LF",
            Ok + CrLf + Table.m_FieldLines + Table.lengthLine() + "\n" +
                Table.m_Body,
            "line_end");
  Table.add("a status line alone that ends with an LF",
            Ok + "\n" + Table.m_FieldLines + Table.lengthLine() + CrLf +
                Table.m_Body,
            "line_end");
}

void addLengths(Builder &Table) {
  const std::size_t Size = Table.m_Body.size();
  for (const char *Pattern :
       {"+{}", "-{}", "0x{:x}", "{}x", "x{}", "{};", "{}.0", "{}e0", "{} {}",
        "{}, {}x", "{},", ",{}", "\"{}\"", "{}\xc2\xa0"})
    Table.addLength(
        "Content-Length: " +
            fmt::vformat(Pattern, fmt::make_format_args(Size, Size)),
        "content_length");
  for (const char *Value :
       {"", " ", "\t", ",", "x", "-1", "9223372036854775808",
        "18446744073709551616", "18446744073709551621",
        "99999999999999999999999999"})
    Table.addLength(std::string("Content-Length: ") + Value, "content_length");
  for (const std::size_t Other : {Size + 1, Size - 1, std::size_t(0)}) {
    Table.addLength(
        fmt::format("Content-Length: {}\r\ncontent-length: {}", Size, Other),
        "content_length");
    Table.addLength(
        fmt::format("CONTENT-LENGTH: {}\r\nContent-Length: {}", Other, Size),
        "content_length");
    Table.addLength(fmt::format("Content-Length: {}, {}", Size, Other),
                    "content_length");
  }
  Table.addLength(fmt::format("Content-Length: {}", Size) + with("", '\0', "0"),
                  "field_value");
  Table.add("a length where no content may be",
            Table.head("HTTP/1.1 204 No", Table.lengthLine()) + Table.m_Body,
            "content_length");
}

void addCodings(Builder &Table) {
  for (const char *Value :
       {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
        "chunked,", "identity", "", "chunked;a=b", "xchunked", "chunked x",
        "\"chunked\"", "chunke", "chunked\x0b"})
    Table.addCoding(std::string("Transfer-Encoding: ") + Value,
                    std::string_view(Value).find('\x0b') !=
                            std::string_view::npos
                        ? "field_value"
                        : "transfer_encoding");
  Table.addCoding("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                  "transfer_encoding");
  Table.addCoding("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
                  "transfer_encoding");
  Table.addCoding(
      "Transfer-Encoding: chunked\r\n" +
          Table.lengthLine().substr(0, Table.lengthLine().size() - 2),
      "transfer_encoding");
  Table.addCoding(Table.lengthLine() + "Transfer-Encoding: chunked",
                  "transfer_encoding");
  Table.add("chunks in HTTP/1.0",
            Table.head("HTTP/1.0 200 OK", CodingLine) + chunked(Table.m_Body),
            "transfer_encoding");
  Table.add("chunks where no content may be",
            Table.head("HTTP/1.1 204 No", CodingLine) + chunked(Table.m_Body),
            "transfer_encoding");
}

void addChunkFaults(Builder &Table) {
  const std::size_t Size = Table.m_Body.size();
  for (const char *Pattern :
       {"+{:x}",    "-{:x}",      "0x{:x}",        " {:x}",
        "\t{:x}",   "{:x} ",      "{:x}\t",        "{:x}g",
        "g{:x}",    "{:x},",      "{:x};",         "{:x};=b",
        "{:x};a=",  "{:x};a=\"b", "{:x};a=\"b\"c", "{:x};a b",
        "{:x};a ",  "{:x} {:x}",  "{:x};a=b;",     "fffffffffffffffff{:x}",
        "8{:015x}", "{:x};a=\x01"})
    Table.addSize(fmt::vformat(Pattern, fmt::make_format_args(Size, Size)),
                  "chunk_size");
  Table.addSize("", "chunk_size");
  Table.addSize(fmt::format("{:x}", Size) + '\0', "chunk_size");
  Table.addSize(with("", '\0', "") + fmt::format("{:x}", Size), "chunk_size");
  const std::string SizeLine = fmt::format("{:x}\r\n", Size);
  const std::string Last = "0\r\n\r\n";
  Table.addChunks("a chunk without a line end", SizeLine + Table.m_Body + Last,
                  "chunk_end");
  Table.addChunks("a chunk that is longer than its size",
                  SizeLine + Table.m_Body + "x\r\n" + Last, "chunk_end");
  Table.addChunks("a chunk that is shorter than its size",
                  fmt::format("{:x}\r\n", Size + 1) + Table.m_Body + CrLf +
                      Last,
                  "line_end");
  Table.addChunks("a chunk that ends with an LF",
                  SizeLine + Table.m_Body + "\n" + Last, "line_end");
  Table.addChunks("a size that ends with an LF",
                  fmt::format("{:x}\n", Size) + Table.m_Body + CrLf + Last,
                  "line_end");
  const auto AddTrailer = [&](const std::string &Line, const char *Fault) {
    Table.addChunks("the trailer " + Line,
                    chunked(Table.m_Body, "", Line + CrLf), Fault);
  };
  AddTrailer("no field", "field_line");
  AddTrailer(" X-A: b", "field_line");
  AddTrailer("X A: b", "field_name");
  AddTrailer("X-A : b", "field_name");
  AddTrailer(with("X-A: b", '\0', ""), "field_value");
  AddTrailer("X-A: b\rc", "line_end");
  AddTrailer("Content-Length: 3", "content_length");
  AddTrailer("Transfer-Encoding: chunked", "transfer_encoding");
}

void addInterim(Builder &Table) {
  const std::string Final = Table.head(Ok, Table.lengthLine()) + Table.m_Body;
  Table.add("an interim response with a malformed field",
            "HTTP/1.1 103 Early\r\nX A: b\r\n\r\n" + Final, "field_name");
  Table.add("an interim response with content",
            "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok" + Final,
            "content_length");
  Table.add("an interim response with chunks",
            "HTTP/1.1 100 Continue\r\n" + CodingLine + CrLf + chunked("ok") +
                Final,
            "transfer_encoding");
  Table.add("a malformed response behind an interim one",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 2000 OK\r\n" +
                Table.m_FieldLines + Table.lengthLine() + CrLf + Table.m_Body,
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
  Builder Table{FieldLines, Body};
  addStatusLines(Table);
  addFieldLines(Table);
  addLineEnds(Table);
  addLengths(Table);
  addCodings(Table);
  addChunkFaults(Table);
  addInterim(Table);
  return Table.m_Cases;
}

std::vector<ResponseCase> unusualCases(const std::string &FieldLines,
                                       const std::string &Body) {
  Builder Table{FieldLines, Body};
  const std::size_t Size = Body.size();
  for (const char *Line :
       {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.9 200 OK",
        "HTTP/1.1 200 a\treason: with 3 words and \xc3\xa4"})
    Table.addStatusLine(Line);
  Table.addLine("no blank before a value", "X-A:b");
  Table.addLine("blanks and tabs around a value", "X-A: \t b \t ");
  Table.addLine("an empty value", "X-A:\r\nX-B: \t");
  Table.addLine("a tab, quotes and other letters in a value",
                "X-A: a\tb, \"c:d\" \xc3\xa4\xff");
  Table.addLine("all characters of a name", "aZ09!#$%&'*+-.^_`|~: b");
  Table.addLine("a name twice", "X-A: b\r\nx-a: c");
  Table.addLength(fmt::format("content-LENGTH:\t{} \t", Size));
  Table.addLength(fmt::format("Content-Length: 00{}", Size));
  Table.addLength(
      fmt::format("Content-Length: {0}\r\ncontent-length: {0}", Size));
  Table.addLength(fmt::format("Content-Length: {0}, {0} ,{0}", Size));
  for (const char *Line :
       {"Transfer-Encoding: CHUNKED", "transfer-encoding:\tchunked\t"})
    Table.addCoding(Line);
  Table.addSize(fmt::format("{:X}", Size));
  Table.addSize(fmt::format("000{:x}", Size));
  for (const char *Extension :
       {";a", ";a=b", ";a=b;c", " ; a = b", ";a=\"b; \\\" c\""})
    Table.addChunks(std::string("chunks with the extension ") + Extension,
                    chunked(Body, Extension));
  Table.addChunks("trailers", chunked(Body, "", "X-A: b\r\nX-B:\r\n"));
  const std::string Final = Table.head(Ok, Table.lengthLine()) + Body;
  for (const char *Status : {"100 Continue", "102 Processing", "103 Early"})
    Table.add(std::string("an interim response ") + Status,
              fmt::format("HTTP/1.1 {}\r\nLink: </a>\r\n\r\n", Status) + Final);
  Table.add(
      "several interim responses",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" +
          Final);
  const auto WithLf = [](std::string Text) {
    for (std::size_t At = 0; (At = Text.find(CrLf, At)) != Text.npos;)
      Text.erase(At, 1);
    return Text;
  };
  Table.add("lines that end with LF",
            WithLf(Table.head(Ok, Table.lengthLine())) + Body);
  Table.add("chunks whose lines end with LF",
            WithLf(Table.head(Ok, CodingLine)) +
                fmt::format("{:x}\n{}\n0\n\n", Size, Body));
  Table.add("no length", Table.head(Ok, "") + Body);
  Table.m_Cases.back().m_EndsWithConnection = true;
  Table.add("no length in HTTP/1.0", Table.head("HTTP/1.0 200 OK", "") + Body);
  Table.m_Cases.back().m_EndsWithConnection = true;
  return Table.m_Cases;
}

} // namespace wasabivale::http::testing
