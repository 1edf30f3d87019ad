#include "Shop.h"

using namespace wasabivale;
using namespace wasabivale::entry;
using namespace wasabivale::entry::test;

namespace {

/// Engines of two software versions, whose fresh runs break off after three
/// events.
struct TwoVersions {
  Shop m_Shop;
  std::vector<std::string> m_Ran; ///< Versions, in the order of the runs.

  TwoVersions() {
    for (const char *Version : {"v1", "v1", "v2", "v2"})
      add(Version);
    m_Shop.warmUp();
  }

  void add(const std::string &Version) {
    m_Shop
        .addEngine(
            "decode",
            [this, Version](const Exchange &Arrived) {
              m_Ran.push_back(Version);
              const bool IsResumed =
                  !http::field(Arrived->request().m_Fields, "seen").empty();
              streams(IsResumed ? 6 : 3, IsResumed)(Arrived);
            })
        .set_software_version(Version);
  }

  std::shared_ptr<Answered> begin(const std::string &Attempt) {
    auto Got = m_Shop.start("POST", "/oracle/7",
                            {{"Prompt", "300"}, {"Attempt", Attempt}});
    REQUIRE(m_Shop.m_Loop.until(
        [&] { return Got->m_Body.find("id: 3") != std::string::npos; }));
    return Got;
  }

  Answered resume(const std::string &Attempt, const std::string &First) {
    return m_Shop.ask("POST", "/oracle/7",
                      {{"Prompt", "300"},
                       {"Attempt", Attempt},
                       {"Seen", "3"},
                       {"Resumes", First},
                       {"Waits-S", "4"}});
  }
};

} // namespace

SCENARIO("a stream that its caller resumes does not go on at another software "
         "version") {
  TwoVersions On;
  GIVEN("streams that broke off when the entry's process ended") {
    constexpr int Streams = 3;
    for (int I = 0; I < Streams; ++I)
      (void)On.begin(fmt::format("a-{}", I));
    const std::vector<std::string> Began = On.m_Ran;
    On.m_Shop.restart();
    On.m_Shop.m_Loop.turnFor(std::chrono::milliseconds(1100));
    On.m_Ran.clear();
    THEN("an entry that can't learn the version refuses what it can't run") {
      for (int I = 0; I < Streams; ++I) {
        const Answered Got =
            On.resume(fmt::format("b-{}", I), fmt::format("a-{}", I));
        CHECK(Got.m_Status == 503);
        CHECK(http::field(Got.m_Fields, "wasabivale-outcome") == "not_run");
        CHECK_FALSE(http::field(Got.m_Fields, "retry-after").empty());
      }
      CHECK(On.m_Ran.empty());
    }
  }
}
