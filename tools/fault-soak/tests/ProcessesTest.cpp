#include "Processes.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace wasabivale::soak;

SCENARIO("a sanitizer's report is found in a log") {
  const auto Find = [](const std::string &Text) {
    std::istringstream Log(Text);
    return findSanitizerReport(Log).value_or("");
  };
  CHECK(Find("level=info event=process_started\n").empty());
  CHECK(Find("a\nApp.cpp:3:5: runtime error: overflow\nb\n") ==
        "App.cpp:3:5: runtime error: overflow");
  CHECK(Find("==7==ERROR: AddressSanitizer: heap-use-after-free") ==
        "==7==ERROR: AddressSanitizer: heap-use-after-free");
  CHECK(Find("==7==ERROR: LeakSanitizer: detected memory leaks") ==
        "==7==ERROR: LeakSanitizer: detected memory leaks");
}

SCENARIO("a template is filled in as on the platform") {
  const std::string Template =
      R"({{#a.on}}"x": {{a.size}},{{/a.on}} "name": {{name|json}})";
  const Json Named = {{"name", "n"}};
  THEN("a section without its field is left out, also when it is false") {
    CHECK(fillTemplate(Template, Named) == R"( "name": "n")");
    CHECK(fillTemplate(Template, {{"name", "n"}, {"a", {{"on", false}}}}) ==
          R"( "name": "n")");
  }
  THEN("a section with its field is filled in") {
    CHECK(fillTemplate(Template,
                       {{"name", "n"}, {"a", {{"on", true}, {"size", 5}}}}) ==
          R"("x": 5, "name": "n")");
  }
}
