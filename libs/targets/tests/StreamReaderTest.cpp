#include "targets/targets.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::targets;

namespace {

std::string line(StreamEvent Event, const std::string &Stream = "s") {
  return print(StreamLine{Stream, std::move(Event)}) + "\n";
}

std::string piece(std::uint64_t Offset, std::uint64_t Tokens,
                  const std::string &Text = "abcd") {
  return line(StreamPiece{Offset, Tokens, Text});
}

std::string end(std::uint64_t Length) {
  return line(StreamEnd{Length, "length", 0, ""});
}

std::string textOf(const std::vector<StreamEvent> &Events) {
  std::string Text;
  for (const StreamEvent &Event : Events)
    if (const auto *Piece = std::get_if<StreamPiece>(&Event))
      Text += Piece->m_Text;
  return Text;
}

} // namespace

SCENARIO("a stream is whole only when its end marker agrees") {
  GIVEN("a reader from the start") {
    StreamReader Reader("s", 0, 10);
    std::vector<StreamEvent> Events;
    WHEN("pieces and the end arrive") {
      CHECK(!failed(Reader.feed(piece(0, 2) + piece(2, 1), Events)));
      CHECK(!Reader.isWhole());
      CHECK(!failed(Reader.feed(end(3), Events)));
      THEN("it is whole") {
        CHECK(Reader.isWhole());
        CHECK(Reader.offset() == 3);
        CHECK(Events.size() == 3);
      }
      AND_WHEN("anything follows the end") {
        CHECK(failed(Reader.feed("\n", Events)));
        THEN("it is not whole any more") { CHECK(!Reader.isWhole()); }
      }
    }
    WHEN("pieces come again") {
      CHECK(!failed(
          Reader.feed(piece(0, 2) + piece(0, 2) + piece(1, 1), Events)));
      THEN("they are dropped and counted") {
        CHECK(Reader.duplicates() == 2);
        CHECK(Events.size() == 1);
        CHECK(Reader.offset() == 2);
      }
    }
  }
  GIVEN("a reader that goes on from token 4") {
    StreamReader Reader("s", 4, 10);
    std::vector<StreamEvent> Events;
    WHEN("the engine says that it resumes") {
      CHECK(!failed(
          Reader.feed(line(StreamResumed{4}) + piece(4, 1) + end(5), Events)));
      THEN("the rest completes it") { CHECK(Reader.isWhole()); }
    }
    WHEN("it does not say so") {
      THEN("the stream is refused") {
        CHECK(failed(Reader.feed(piece(4, 1), Events)));
      }
    }
    WHEN("it resumes elsewhere") {
      THEN("the stream is refused") {
        CHECK(failed(Reader.feed(line(StreamResumed{3}), Events)));
      }
    }
  }
}

SCENARIO("faulty streams end with an error") {
  struct Case {
    const char *m_Name;
    std::string m_Bytes;
  };
  const Case Cases[] = {
      {"gap", piece(0, 1) + piece(2, 1)},
      {"overlap", piece(0, 2) + piece(1, 2)},
      {"foreign stream", line(StreamPiece{0, 1, "abcd"}, "other")},
      {"end too early", piece(0, 1) + end(2)},
      {"end too late", piece(0, 2) + end(1)},
      {"text after the end", piece(0, 1) + end(1) + piece(1, 1)},
      {"two ends", end(0) + end(0)},
      {"too many tokens", piece(0, 11)},
      {"resumes in its middle", piece(0, 1) + line(StreamResumed{1})},
      {"not JSON", "abcd\n"},
      {"empty line", "\n"},
      {"line without end", std::string(MaxLineBytes + 1, 'a')},
      {"long line", std::string(MaxLineBytes + 1, 'a') + "\n"},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    StreamReader Reader("s", 0, 10);
    std::vector<StreamEvent> Events;
    CHECK(failed(Reader.feed(Each.m_Bytes, Events)));
    CHECK(!Reader.isWhole());
    CHECK(failed(Reader.feed(piece(0, 1), Events)));
  }
}

TEST_CASE("properties of the stream reader") {
  CHECK(rc::check("pieces of any size yield the same stream", [] {
    const auto Count = *rc::gen::inRange<std::uint64_t>(0, 20);
    std::string Bytes;
    std::string Text;
    for (std::uint64_t I = 0; I < Count; ++I) {
      Bytes += piece(I, 1, "t" + std::to_string(I));
      Text += "t" + std::to_string(I);
    }
    Bytes += end(Count);
    StreamReader Reader("s", 0, Count);
    std::vector<StreamEvent> Events;
    for (std::size_t At = 0; At < Bytes.size();) {
      const auto Size = *rc::gen::inRange<std::size_t>(1, 200);
      RC_ASSERT(!failed(Reader.feed(Bytes.substr(At, Size), Events)));
      At += Size;
    }
    RC_ASSERT(Reader.isWhole());
    RC_ASSERT(textOf(Events) == Text);
  }));
  CHECK(rc::check("a stream with lines lost, moved or doubled is whole only "
                  "with all its text",
                  [] {
                    constexpr std::uint64_t Count = 6;
                    std::vector<std::string> Lines;
                    std::string Text;
                    for (std::uint64_t I = 0; I < Count; ++I) {
                      Lines.push_back(piece(I, 1, "t" + std::to_string(I)));
                      Text += "t" + std::to_string(I);
                    }
                    Lines.push_back(end(Count));
                    const auto Order =
                        *rc::gen::container<std::vector<std::size_t>>(
                            rc::gen::inRange<std::size_t>(0, Lines.size()));
                    StreamReader Reader("s", 0, Count);
                    std::vector<StreamEvent> Events;
                    for (const std::size_t Next : Order)
                      if (failed(Reader.feed(Lines[Next], Events)))
                        break;
                    RC_ASSERT(Text.starts_with(textOf(Events)));
                    RC_ASSERT(!Reader.isWhole() || textOf(Events) == Text);
                  }));
}
