#include "events/events.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace wasabivale;

static std::string readFile(const std::string &Name) {
  std::ifstream Input(std::string(WASABIVALE_SOURCE_DIR) + "/" + Name);
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

SCENARIO("events are numbered and documented") {
  GIVEN("the catalogue in the code and docs/EVENTS.md") {
    const std::string Page = readFile("docs/EVENTS.md");
    std::set<std::string> Expected;
    for (std::size_t I = 0; I < events::eventCount(); ++I) {
      const auto &Info = events::eventAt(I);
      Expected.insert(fmt::format("| {} | {} | {} |", Info.m_Number,
                                  Info.m_Name, Info.m_Text));
    }
    THEN("numbers are unique and every event has its row") {
      CHECK(Expected.size() == events::eventCount());
      for (const std::string &Row : Expected) {
        INFO(Row);
        CHECK(Page.find(Row) != std::string::npos);
      }
    }
    THEN("the page has no row that the code lacks") {
      std::istringstream Lines(Page);
      for (std::string Line; std::getline(Lines, Line);) {
        if (Line.size() < 4 || Line[0] != '|' ||
            std::isdigit(static_cast<unsigned char>(Line[2])) == 0)
          continue;
        INFO(Line);
        CHECK(Expected.count(Line) == 1);
      }
    }
  }
  GIVEN("values with spaces and quotes") {
    THEN("they are quoted") {
      CHECK(events::formatLine(events::Event::ProcessStarted,
                               {{"id", "a b"}, {"n", 3}, {"q", "x\"y"}}) ==
            "info 1001 process_started id=\"a b\" n=3 q=\"x\\\"y\"");
    }
  }
}
