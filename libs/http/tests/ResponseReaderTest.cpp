// The check of a response's bytes, without a network.

#include "ResponseReader.h"

#include "http_testing/http_testing.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>

using namespace wasabivale;
using namespace wasabivale::http;

namespace {

constexpr std::size_t MaxFramingBytes = 4096;
const std::string FieldLines = "X-Signed: yes\r\n";
const std::string Body = "{\"answer\":[1,2,3]}";

struct Reading {
  std::string m_Checked;
  std::string m_Fault; ///< Name, or empty.
};

/// Reads \p Bytes in pieces of \p PieceBytes.
Reading read(const std::string &Bytes, std::size_t PieceBytes,
             std::string_view Method = "POST") {
  ResponseReader Reader(Method, MaxFramingBytes);
  Reading Result;
  for (std::size_t At = 0; At < Bytes.size(); At += PieceBytes) {
    const auto Fault =
        Reader.feed(Bytes.substr(At, PieceBytes), Result.m_Checked);
    if (!Fault)
      continue;
    Result.m_Fault = responseFaultName(*Fault);
    break;
  }
  return Result;
}

const std::string Ok = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("a malformed response is found wherever its bytes are split") {
  for (const auto &Case : testing::malformedCases(FieldLines, Body)) {
    INFO(Case.m_Name);
    const Reading Whole = read(Case.m_Bytes, Case.m_Bytes.size());
    CHECK(Whole.m_Fault == Case.m_Fault);
    for (std::size_t PieceBytes = 1; PieceBytes < 20; ++PieceBytes) {
      INFO("pieces of " << PieceBytes);
      const Reading InPieces = read(Case.m_Bytes, PieceBytes);
      CHECK_FALSE(InPieces.m_Fault.empty());
      CHECK(InPieces.m_Checked == Whole.m_Checked);
    }
    SECTION("and nothing of a malformed head is passed on") {
      if (!Case.m_IsHeadSound)
        CHECK(Whole.m_Checked.empty());
    }
  }
}

TEST_CASE("a valid response has one reading wherever its bytes are split") {
  for (const auto &Case : testing::unusualCases(FieldLines, Body)) {
    INFO(Case.m_Name);
    const Reading Whole = read(Case.m_Bytes, Case.m_Bytes.size());
    CHECK(Whole.m_Fault.empty());
    CHECK(Whole.m_Checked.find("X-Signed:yes\r\n") != std::string::npos);
    for (std::size_t PieceBytes = 1; PieceBytes < 20; ++PieceBytes)
      CHECK(read(Case.m_Bytes, PieceBytes).m_Checked == Whole.m_Checked);
  }
}

TEST_CASE("what has passed the check passes it unchanged") {
  for (const auto &Case : testing::unusualCases(FieldLines, Body)) {
    INFO(Case.m_Name);
    const std::string Checked = read(Case.m_Bytes, 50).m_Checked;
    CHECK(read(Checked, 50).m_Checked == Checked);
  }
}

TEST_CASE("any byte that is changed is judged alike wherever bytes are split") {
  std::mt19937 Random(56);
  std::size_t Malformed = 0;
  constexpr int Rounds = 200;
  for (const auto &Case : testing::unusualCases(FieldLines, Body))
    for (int I = 0; I < Rounds; ++I) {
      std::string Bytes = Case.m_Bytes;
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
      INFO(Case.m_Name << " " << I);
      const Reading Whole = read(Bytes, Bytes.size());
      const Reading InPieces = read(Bytes, 1 + Random() % 9);
      REQUIRE(Whole.m_Fault.empty() == InPieces.m_Fault.empty());
      REQUIRE(Whole.m_Checked == InPieces.m_Checked);
      REQUIRE(read(Whole.m_Checked, 50).m_Checked == Whole.m_Checked);
      Malformed += Whole.m_Fault.empty() ? 0 : 1;
    }
  CHECK(Malformed > 0);
}

TEST_CASE("a line that can't become valid is refused before its end") {
  const char *Starts[] = {"x", "HTTP/2", "HTTP/1.1 2x", "HTTP/1.1 200x",
                          "HTTP/1.1 200 O\x01"};
  for (const char *Start : Starts)
    CHECK(read(Start, 1).m_Fault ==
          (std::string(Start) == "HTTP/1.1 200x" ? "" : "status_line"));
  CHECK(read(Ok + std::string("X\0", 2), 1).m_Fault == "field_name");
  CHECK(read(Ok + "X: a\x7f", 1).m_Fault == "field_value");
  CHECK(read(Ok + "X: a\rb", 1).m_Fault == "line_end");
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  CHECK(read(Chunked + "5\x01", 1).m_Fault == "chunk_size");
  CHECK(read(Chunked + "2\r\nabc", 1).m_Fault == "chunk_end");
}

TEST_CASE("heads, sizes of chunks and trailers are bounded") {
  const auto Field = [](std::size_t Bytes) {
    return "X: " + std::string(Bytes - 3, 'a') + "\r\n";
  };
  // Line ends are not counted.
  const std::size_t FirstBytes = Ok.size() - 2;
  const std::string Length = "Content-Length: 2\r\n";
  const std::size_t Most = MaxFramingBytes - FirstBytes - Length.size() + 2;
  const std::size_t PieceBytes = GENERATE(1, 100, 10'000);
  SECTION("a head of the largest size passes") {
    const Reading Got = read(Ok + Field(Most) + Length + "\r\nok", PieceBytes);
    CHECK(Got.m_Fault.empty());
    CHECK(Got.m_Checked.substr(Got.m_Checked.size() - 6) == "\r\n\r\nok");
  }
  SECTION("one byte more does not") {
    const Reading Got =
        read(Ok + Field(Most + 1) + Length + "\r\nok", PieceBytes);
    CHECK(Got.m_Fault == "too_long");
    CHECK(Got.m_Checked.empty());
  }
  SECTION("a line without an end is no longer") {
    CHECK(read(Ok + std::string(MaxFramingBytes, 'a'), PieceBytes).m_Fault ==
          "too_long");
  }
  SECTION("interim responses have no end of their own") {
    std::string Bytes;
    while (Bytes.size() < 2 * MaxFramingBytes)
      Bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK(read(Bytes, PieceBytes).m_Fault == "too_long");
  }
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  SECTION("any number of chunks passes") {
    std::string Bytes = Chunked;
    for (std::size_t I = 0; I < MaxFramingBytes; ++I)
      Bytes += "2;a\r\nok\r\n";
    CHECK(read(Bytes + "0\r\n\r\n", PieceBytes).m_Fault.empty());
  }
  SECTION("but no size or trailer without an end") {
    const std::string Long(MaxFramingBytes + 1, '0');
    CHECK(read(Chunked + Long, PieceBytes).m_Fault == "too_long");
    std::string Trailers;
    while (Trailers.size() < 2 * MaxFramingBytes)
      Trailers += "X-A: b\r\n";
    CHECK(read(Chunked + "0\r\n" + Trailers, PieceBytes).m_Fault == "too_long");
  }
}

TEST_CASE("what evhttp gets of a response") {
  SECTION("lengths once, no blanks, no interim response") {
    CHECK(read("HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 2, 02\r\n"
               "X-B:\tc \r\ncontent-length:2\r\n\r\nok",
               3)
              .m_Checked ==
          "HTTP/1.1 200\r\nContent-Length:2\r\nX-B:c\r\n\r\nok");
  }
  SECTION("chunks without extensions and trailers") {
    CHECK(read(Ok + "Transfer-Encoding: Chunked\r\n\r\n"
                    "02;a=b\r\nok\r\n0;c\r\nX-A: b\r\n\r\n",
               4)
              .m_Checked == "HTTP/1.1 200\r\nTransfer-Encoding:chunked\r\n\r\n"
                            "2\r\nok\r\n0\r\n\r\n");
  }
  SECTION("bytes behind the response, so that its connection is not kept") {
    for (const char *Status : {"204 No", "304 Not"})
      CHECK(read(fmt::format("HTTP/1.1 {}\r\n\r\nmore", Status), 5)
                .m_Checked.find("\r\n\r\nmore") != std::string::npos);
    CHECK(read(Ok + "Content-Length: 0\r\n\r\nmore", 5)
              .m_Checked.find("\r\n\r\nmore") != std::string::npos);
    CHECK(read(Ok + "Content-Length: 9\r\n\r\nmore", 5, "HEAD")
              .m_Checked.find("\r\n\r\nmore") != std::string::npos);
  }
}

TEST_CASE("content that needs no check may be left where it is") {
  ResponseReader Reader("GET", MaxFramingBytes);
  std::string Checked;
  CHECK_FALSE(Reader.skipContent(1));
  SECTION("all but the last byte of a length") {
    CHECK_FALSE(Reader.feed(Ok + "Content-Length: 5\r\n\r\n", Checked));
    CHECK_FALSE(Reader.skipContent(5));
    CHECK(Reader.skipContent(4));
    CHECK_FALSE(Reader.skipContent(1));
  }
  SECTION("all but the last byte of a chunk") {
    CHECK_FALSE(
        Reader.feed(Ok + "Transfer-Encoding: chunked\r\n\r\n5\r\n", Checked));
    CHECK(Reader.skipContent(4));
    CHECK_FALSE(Reader.skipContent(1));
    Checked.clear();
    CHECK_FALSE(Reader.feed("x\r\n0\r\n\r\n", Checked));
    CHECK(Checked == "x\r\n0\r\n\r\n");
  }
  SECTION("anything up to the end of the connection") {
    CHECK_FALSE(Reader.feed(Ok + "\r\n", Checked));
    CHECK(Reader.skipContent(1'000'000));
  }
}
