#include "base/base.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace wasabivale;

SCENARIO("refusal reasons form a catalogue") {
  std::ifstream Input(std::string(WASABIVALE_SOURCE_DIR) +
                      "/docs/INTERFACES.md");
  std::ostringstream Page;
  Page << Input.rdbuf();
  std::set<std::uint16_t> Numbers;
  for (std::size_t I = 0; I < refusalCount(); ++I) {
    const RefusalInfo &Info = refusalAt(I);
    INFO(Info.m_Name);
    Numbers.insert(Info.m_Number);
    CHECK(Info.m_HttpStatus >= 400);
    CHECK(&refusalInfo(static_cast<Refusal>(Info.m_Number)) == &Info);
    const std::string Row = "| " + std::to_string(Info.m_Number) + " | `" +
                            std::string(Info.m_Name) + "` | " +
                            std::to_string(Info.m_HttpStatus) + " | " +
                            (Info.m_RetryHelps ? "yes" : "no") + " | " +
                            std::string(Info.m_Text) + " |";
    CHECK(Page.str().find(Row) != std::string::npos);
  }
  CHECK(Numbers.size() == refusalCount());
}

SCENARIO("hashes and digests are stable") {
  CHECK(digestHex("abc").size() == 64);
  CHECK(digestHex("abc") != digestHex("abd"));
  CHECK(hashBytes("abc", 1) != hashBytes("abc", 2));
  CHECK(randomIdentity() != randomIdentity());
  CHECK(snakeCase("CannotMeetDeadline") == "cannot_meet_deadline");
}
