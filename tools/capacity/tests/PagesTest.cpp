#include "Pages.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace wasabivale;

namespace {

const std::string Docs = std::string(WASABIVALE_SOURCE_DIR) + "/docs";

/// Copies the inputs and changes one number of the letter.
std::string changedInputs(const char *Key, double Value) {
  const auto Folder = std::filesystem::temp_directory_path() /
                      ("wasabivale-capacity-" + randomIdentity());
  std::filesystem::copy(Docs + "/capacity", Folder);
  std::ifstream Input(Folder / "letter.json");
  auto Letter = settings::Json::parse(Input);
  Letter[Key] = Value;
  std::ofstream(Folder / "letter.json") << Letter.dump();
  return Folder.string();
}

} // namespace

SCENARIO("the capacity pages follow from their inputs") {
  GIVEN("the pages as they are committed") {
    const auto Pages = pages::makePages(Docs, Docs + "/capacity");
    REQUIRE(!failed(Pages));
    THEN("they equal what their inputs make") {
      for (const pages::Page &One : valueOf(Pages)) {
        INFO(One.m_File);
        CHECK(One.m_Old == One.m_New);
      }
    }
  }
  GIVEN("one of the letter's numbers changed") {
    for (const char *Key : {"nodes",
                            "runners",
                            "requests_per_second",
                            "tokens_per_second",
                            "first_token_ms",
                            "prefill_share",
                            "between_tokens_ms",
                            "callers",
                            "models",
                            "zones",
                            "regions",
                            "accelerators",
                            "kv_gigabytes_per_second",
                            "prefill_share_moves_in_a_day",
                            "configuration_changes_per_day",
                            "in_force_s",
                            "node_core_share",
                            "node_memory_mb",
                            "node_bytes_per_second",
                            "control_vms",
                            "vm_failures_per_day",
                            "vm_replacements_per_day"}) {
      THEN(std::string("the page changes: ") + Key) {
        const std::string Folder = changedInputs(Key, 2);
        const auto Pages = pages::makePages(Docs, Folder);
        REQUIRE(!failed(Pages));
        CHECK(valueOf(Pages)[0].m_Old != valueOf(Pages)[0].m_New);
        std::filesystem::remove_all(Folder);
      }
    }
  }
  GIVEN("an input that is not valid") {
    const std::string Folder = changedInputs("nodes", -1);
    THEN("it is named") {
      const auto Pages = pages::makePages(Docs, Folder);
      REQUIRE(failed(Pages));
      CHECK(errorOf(Pages).m_Message.find("/nodes") != std::string::npos);
    }
    std::filesystem::remove_all(Folder);
  }
}
