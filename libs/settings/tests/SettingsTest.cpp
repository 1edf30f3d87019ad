#include "settings/settings.h"

#include <catch2/catch.hpp>

using namespace wasabivale::settings;

static const Json Schema = Json::parse(R"({
  "type": "object", "additionalProperties": false,
  "required": ["id", "port"],
  "properties": {
    "id": {"type": "string", "minLength": 1},
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "peers": {"type": "array", "items": {"type": "object",
      "additionalProperties": false, "properties": {"id": {"type": "string"}}}}
  }})");

SCENARIO("settings are checked before they are used") {
  GIVEN("a valid document") {
    const auto Loaded = parse(R"({"id": "a", "port": 80})", Schema, "f.json");
    THEN("it is returned") {
      REQUIRE(std::holds_alternative<Json>(Loaded));
      CHECK(std::get<Json>(Loaded)["port"] == 80);
    }
  }
  GIVEN("a table of broken documents") {
    struct Case {
      std::string m_Text;
      std::string m_Place;
    };
    const std::vector<Case> Cases = {
        {R"({"id": "a", "port": 0})", "f.json: /port: 0: "},
        {R"({"id": "a", "port": "x"})", "f.json: /port: \"x\": "},
        {R"({"id": "", "port": 1})", "f.json: /id: \"\": "},
        {R"({"id": "a"})", "f.json: /: "},
        {R"({"id": "a", "port": 1, "prot": 2})", "f.json: /: "},
        {R"({"id": "a", "port": 1, "peers": [{"id": 3}]})",
         "f.json: /peers/0/id: 3: "},
        {R"({"id": )", "f.json: byte "},
        // Numbers that no type holds must not end the process.
        {R"({"id": "a", "port": 1e999})", "f.json"},
        {R"({"id": "a", "port": -1e999})", "f.json"},
        {R"({"id": "a", "port": 99999999999999999999999})", "f.json: /port: "},
        {R"({"id": 1e999, "port": 1})", "f.json"},
    };
    for (const Case &Broken : Cases) {
      THEN("its place is named: " + Broken.m_Text) {
        const auto Loaded = parse(Broken.m_Text, Schema, "f.json");
        REQUIRE(std::holds_alternative<std::vector<Problem>>(Loaded));
        bool Found = false;
        for (const auto &Finding : std::get<std::vector<Problem>>(Loaded))
          Found = Found || describe(Finding).rfind(Broken.m_Place, 0) == 0;
        CHECK(Found);
      }
    }
  }
  GIVEN("settings for a newer version, with keys that this one doesn't know") {
    const std::string Text = R"({"id": "a", "port": 80, "new": {"x": 1},
                                 "peers": [{"id": "b"}, {"zone": "z"}]})";
    THEN("a check refuses them") {
      CHECK(std::holds_alternative<std::vector<Problem>>(
          parse(Text, Schema, "f.json")));
    }
    THEN("a program that starts leaves them out and names each") {
      std::vector<Problem> Ignored;
      const auto Loaded = parse(Text, Schema, "f.json", &Ignored);
      REQUIRE(std::holds_alternative<Json>(Loaded));
      CHECK(std::get<Json>(Loaded) == Json::parse(R"({"id": "a", "port": 80,
                            "peers": [{"id": "b"}, {}]})"));
      REQUIRE(Ignored.size() == 2);
      CHECK(Ignored[0].m_Pointer == "/new");
      CHECK(Ignored[0].m_Value == R"({"x":1})");
      CHECK(Ignored[1].m_Pointer == "/peers/1/zone");
    }
    THEN("a wrong value beside them is still refused") {
      std::vector<Problem> Ignored;
      CHECK(std::holds_alternative<std::vector<Problem>>(parse(
          R"({"id": "a", "port": 0, "new": 1})", Schema, "f.json", &Ignored)));
    }
  }
  GIVEN("a file that does not exist") {
    THEN("it is named") {
      const auto Loaded = load("/nonexistent/x.json", Schema);
      REQUIRE(std::holds_alternative<std::vector<Problem>>(Loaded));
    }
  }
}
