#include "Configuration.h"

#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace std::chrono_literals;

SCENARIO("an entry reads what control's schema accepts") {
  const std::string Hash = digestHex("key");
  const std::string Document = R"({
    "callers": [{"id": "shop", "key_hashes": [")" +
                               Hash + R"("], "weight": 2,
      "requests_per_second": 10, "prompt_tokens_per_second": 1000,
      "output_tokens_per_second": 100, "concurrent": 4,
      "default_deadline_ms": 3000, "maximum_deadline_ms": 4000}],
    "models": [{"id": "gourd-8b"}],
    "services": [{"name": "book", "not_repeatable_by_default": true},
                 {"name": "stock"}],
    "ledger": {"retention_s": 60, "max_answer_bytes": 512}})";
  GIVEN("a document with every field that concerns an entry") {
    REQUIRE(fleet::checkConfiguration(Document).empty());
    THEN("each arrives under the name that the schema gives it") {
      const auto Read = entry::readConfiguration(Document, 7);
      REQUIRE(!failed(Read));
      const entry::Configuration &Made = valueOf(Read);
      REQUIRE(Made.m_ByKeyHash.count(Hash) == 1);
      const entry::Caller &Shop = Made.m_Callers.at(CallerId{"shop"});
      CHECK(Shop.m_Weight == 2);
      CHECK(Shop.m_Limits.m_RequestsPerSecond == 10);
      CHECK(Shop.m_Limits.m_PromptTokensPerSecond == 1000);
      CHECK(Shop.m_Limits.m_OutputTokensPerSecond == 100);
      CHECK(Shop.m_Limits.m_Running == 4);
      CHECK(Shop.m_DefaultDeadline == 3s);
      CHECK(Shop.m_MaxDeadline == 4s);
      CHECK(Made.m_Models.count("gourd-8b") == 1);
      CHECK(Made.m_NotRepeatable.at("book"));
      CHECK(!Made.m_NotRepeatable.at("stock"));
      CHECK(Made.m_Retention == 60s);
      CHECK(Made.m_MaxAnswerBytes == 512);
    }
  }
}
