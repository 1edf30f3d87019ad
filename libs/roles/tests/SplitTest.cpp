#include "roles/roles.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::roles;

namespace {

std::vector<SplitEngine> engines(int Prefill, int Decode) {
  std::vector<SplitEngine> Made;
  Made.reserve(static_cast<std::size_t>(Prefill) +
               static_cast<std::size_t>(Decode));
  for (int I = 0; I < Prefill + Decode; ++I)
    Made.push_back({{"i-" + std::to_string(100 + I)},
                    I < Prefill ? Role::Prefill : Role::Decode,
                    false,
                    false,
                    64});
  return Made;
}

const ServiceLoad Heavy{80, 600'000};

} // namespace

TEST_CASE("as many engines decode as the streams need") {
  const SplitSettings Rules;
  SECTION("the rest prefills while prompts wait") {
    const auto Changes = planRoleChanges(engines(6, 12), Heavy, Rules);
    REQUIRE_FALSE(Changes.empty());
    for (const auto &[Id, To] : Changes)
      CHECK(To == Role::Prefill);
    SECTION("a quarter of the fleet at once") { CHECK(Changes.size() == 4); }
  }
  SECTION("engines that change count against that") {
    auto Some = engines(6, 12);
    for (int I = 6; I < 10; ++I)
      Some[static_cast<std::size_t>(I)].m_Changing = true;
    CHECK(planRoleChanges(Some, Heavy, Rules).empty());
  }
  SECTION("a split that fits is left alone") {
    CHECK(planRoleChanges(engines(14, 4), Heavy, Rules).empty());
  }
  SECTION("an engine that has changed lately keeps its role") {
    auto Some = engines(6, 12);
    for (SplitEngine &Each : Some)
      Each.m_CoolingDown = true;
    CHECK(planRoleChanges(Some, Heavy, Rules).empty());
    Some.back().m_CoolingDown = false;
    CHECK(planRoleChanges(Some, Heavy, Rules).size() == 1);
  }
  SECTION("one decoder less than needed turns nothing round") {
    CHECK(planRoleChanges(engines(15, 3), Heavy, Rules).empty());
  }
  SECTION("decoders are won back when streams lack places") {
    const auto Changes = planRoleChanges(engines(17, 1), Heavy, Rules);
    REQUIRE(Changes.size() == 3);
    for (const auto &[Id, To] : Changes)
      CHECK(To == Role::Decode);
  }
  SECTION("little load asks for no change") {
    CHECK(planRoleChanges(engines(6, 12), {5, 20'000}, Rules).empty());
    CHECK(planRoleChanges(engines(6, 12), {}, Rules).empty());
  }
  SECTION("before anybody asks, two thirds prefill at once") {
    ServiceLoad Unseen;
    Unseen.m_NoTrafficYet = true;
    const auto Changes = planRoleChanges(engines(6, 12), Unseen, Rules);
    REQUIRE(Changes.size() == 5);
    for (const auto &[Id, To] : Changes)
      CHECK(To == Role::Prefill);
    CHECK(planRoleChanges(engines(12, 6), Unseen, Rules).empty());
    CHECK(planRoleChanges(engines(0, 2), Unseen, Rules).empty());
    CHECK(planRoleChanges(engines(0, 3), Unseen, Rules).size() == 1);
    SECTION("those under way count") {
      auto Some = engines(6, 12);
      for (std::size_t I = 6; I < 11; ++I) {
        Some[I].m_Role = Role::Prefill;
        Some[I].m_Changing = true;
      }
      CHECK(planRoleChanges(Some, Unseen, Rules).empty());
    }
  }
  SECTION("a fleet of two keeps its decoders") {
    CHECK(planRoleChanges(engines(0, 2), Heavy, Rules).empty());
  }
}

TEST_CASE("changes come to an end at one load") {
  // Whatever the load and the split, following the changes settles.
  for (const double Requests : {1.0, 20.0, 80.0, 300.0, 2000.0})
    for (int Prefill = 0; Prefill <= 18; ++Prefill) {
      auto Fleet = engines(Prefill, 18 - Prefill);
      const ServiceLoad Load{Requests, Requests * 7000};
      int Rounds = 0;
      for (auto Changes = planRoleChanges(Fleet, Load, {}); !Changes.empty();
           Changes = planRoleChanges(Fleet, Load, {})) {
        REQUIRE(++Rounds < 20);
        for (const auto &[Id, To] : Changes)
          for (SplitEngine &Each : Fleet)
            if (Each.m_Id == Id)
              Each.m_Role = To;
      }
    }
}
