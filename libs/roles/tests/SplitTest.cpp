#include "roles/roles.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::roles;

namespace {

std::vector<SplitEngine> engines(int Prefill, int Decode) {
  std::vector<SplitEngine> Engines;
  Engines.reserve(static_cast<std::size_t>(Prefill) +
                  static_cast<std::size_t>(Decode));
  for (int I = 0; I < Prefill + Decode; ++I)
    Engines.push_back({{"i-" + std::to_string(100 + I)},
                       I < Prefill ? Role::Prefill : Role::Decode,
                       false,
                       false,
                       64});
  return Engines;
}

const ServiceLoad Heavy{80, 600'000, 120};

} // namespace

TEST_CASE("the number of decoders follows the streams") {
  SplitSettings Rules;
  Rules.m_MinDecoderShare = 0;
  SECTION("the other engines prefill when prompts require it") {
    const auto Changes = planRoleChanges(engines(6, 12), Heavy, Rules);
    REQUIRE_FALSE(Changes.empty());
    for (const auto &[Id, To] : Changes)
      CHECK(To == Role::Prefill);
    SECTION("at most a quarter of the fleet changes at a time") {
      CHECK(Changes.size() == 4);
    }
  }
  SECTION("engines that are changing count towards that limit") {
    auto Engines = engines(6, 12);
    for (int I = 6; I < 10; ++I)
      Engines[static_cast<std::size_t>(I)].m_Changing = true;
    CHECK(planRoleChanges(Engines, Heavy, Rules).empty());
  }
  SECTION("a suitable split does not change") {
    CHECK(planRoleChanges(engines(14, 4), Heavy, Rules).empty());
  }
  SECTION("an engine that changed recently keeps its role") {
    auto Engines = engines(6, 12);
    for (SplitEngine &Member : Engines)
      Member.m_CoolingDown = true;
    CHECK(planRoleChanges(Engines, Heavy, Rules).empty());
    Engines.back().m_CoolingDown = false;
    CHECK(planRoleChanges(Engines, Heavy, Rules).size() == 1);
  }
  SECTION("one missing decoder reverses no role") {
    CHECK(planRoleChanges(engines(15, 3), Heavy, Rules).empty());
  }
  SECTION("engines return to decoding when streams lack slots") {
    const auto Changes = planRoleChanges(engines(17, 1), Heavy, Rules);
    REQUIRE(Changes.size() == 3);
    for (const auto &[Id, To] : Changes)
      CHECK(To == Role::Decode);
  }
  SECTION("low load causes no change") {
    CHECK(planRoleChanges(engines(6, 12), {5, 20'000, 7.5}, Rules).empty());
    CHECK(planRoleChanges(engines(6, 12), {}, Rules).empty());
  }
  SECTION("before the first request, two thirds are moved to prefill at once") {
    ServiceLoad BeforeTraffic;
    BeforeTraffic.m_NoTrafficYet = true;
    const auto Changes = planRoleChanges(engines(6, 12), BeforeTraffic, Rules);
    REQUIRE(Changes.size() == 5);
    for (const auto &[Id, To] : Changes)
      CHECK(To == Role::Prefill);
    CHECK(planRoleChanges(engines(12, 6), BeforeTraffic, Rules).empty());
    CHECK(planRoleChanges(engines(0, 2), BeforeTraffic, Rules).empty());
    CHECK(planRoleChanges(engines(0, 3), BeforeTraffic, Rules).size() == 1);
    SECTION("engines that are already changing count") {
      auto Engines = engines(6, 12);
      for (std::size_t I = 6; I < 11; ++I) {
        Engines[I].m_Role = Role::Prefill;
        Engines[I].m_Changing = true;
      }
      CHECK(planRoleChanges(Engines, BeforeTraffic, Rules).empty());
    }
  }
  SECTION("a burst of prompts with short answers moves no engine to decoding") {
    // 690 requests a second whose streams last 80 ms each.
    const ServiceLoad ShortAnswers{690, 6'300'000, 55, 330'000};
    for (const auto &[Id, To] :
         planRoleChanges(engines(7, 5), ShortAnswers, Rules))
      CHECK(To == Role::Prefill);
  }
  SECTION("engines that prefill fast need no others") {
    const ServiceLoad Fast{205, 1'900'000, 90, 330'000};
    CHECK(planRoleChanges(engines(7, 5), Fast, Rules).empty());
    const ServiceLoad Unknown{205, 1'900'000, 90};
    CHECK_FALSE(planRoleChanges(engines(7, 5), Unknown, Rules).empty());
  }
  SECTION("some engines decode however few streams there are") {
    // Restarts, crashes and changes may take several at the same time.
    const ServiceLoad FewStreams{80, 2'000'000, 10};
    auto Fleet = engines(10, 8);
    std::size_t Decoders = 8;
    for (int Round = 0; Round < 10; ++Round)
      for (const auto &[Id, To] : planRoleChanges(Fleet, FewStreams, {})) {
        REQUIRE(To == Role::Prefill);
        --Decoders;
        for (SplitEngine &Member : Fleet)
          if (Member.m_Id == Id)
            Member.m_Role = To;
      }
    CHECK(Decoders == 5);
  }
  SECTION("the idlest engines change") {
    auto Fleet = engines(6, 12);
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      Fleet[I].m_Running = I < 14 ? 40 : 2;
    for (const auto &[Id, To] : planRoleChanges(Fleet, Heavy, Rules))
      CHECK(Id.m_Value >= "i-114");
  }
  SECTION("transfers need engines as well as streams do") {
    // Each link carries a second's transfers in a third of it.
    const ServiceLoad Transfers{690, 6'300'000, 20, 330'000, 2.5};
    CHECK(planRoleChanges(engines(14, 4), Transfers, Rules).empty());
    for (const auto &[Id, To] :
         planRoleChanges(engines(16, 2), Transfers, Rules))
      CHECK(To == Role::Decode);
    CHECK_FALSE(planRoleChanges(engines(16, 2), Transfers, Rules).empty());
  }
  SECTION("a fleet of two keeps both decoders") {
    CHECK(planRoleChanges(engines(0, 2), Heavy, Rules).empty());
  }
}

TEST_CASE("changes converge under constant load") {
  // Applying the changes repeatedly converges for every load and initial split.
  for (const double Requests : {1.0, 20.0, 80.0, 300.0, 2000.0})
    for (int Prefill = 0; Prefill <= 18; ++Prefill) {
      auto Fleet = engines(Prefill, 18 - Prefill);
      const ServiceLoad Load{Requests, Requests * 7000, Requests * 1.5};
      int Rounds = 0;
      for (auto Changes = planRoleChanges(Fleet, Load, {}); !Changes.empty();
           Changes = planRoleChanges(Fleet, Load, {})) {
        REQUIRE(++Rounds < 20);
        for (const auto &[Id, To] : Changes)
          for (SplitEngine &Member : Fleet)
            if (Member.m_Id == Id)
              Member.m_Role = To;
      }
    }
}

TEST_CASE("each version keeps an engine that decodes") {
  // Streams go on only at the version that began them, so those of a version
  // whose engines all prefill would be lost.
  auto Fleet = engines(6, 12);
  const auto SetVersion = [&](std::size_t First, std::size_t End) {
    for (std::size_t I = First; I < End; ++I) {
      Fleet[I].m_SoftwareVersion = "1.0";
      Fleet[I].m_Running = 0;
    }
  };
  // Engines of the newer version are busy: those of the old one change first.
  for (SplitEngine &Member : Fleet) {
    Member.m_SoftwareVersion = "1.1";
    Member.m_Running = 40;
  }
  SplitSettings Rules;
  Rules.m_MinDecoderShare = 0;
  const auto CountDecoders = [&](const std::string &Version) {
    return std::count_if(
        Fleet.begin(), Fleet.end(), [&](const SplitEngine &Member) {
          return Member.m_SoftwareVersion == Version && !Member.m_Changing &&
                 Member.m_Role == Role::Decode;
        });
  };
  const auto Apply = [&](const ServiceLoad &Load, bool Finish) {
    const auto Changes = planRoleChanges(Fleet, Load, Rules);
    for (const auto &[Id, To] : Changes)
      for (SplitEngine &Member : Fleet)
        if (Member.m_Id == Id) {
          Member.m_Role = To;
          Member.m_Changing = !Finish;
        }
    return Changes.size();
  };
  SECTION("while the load requires more to prefill") {
    SetVersion(6, 8);
    CHECK(Apply(Heavy, true) == 4);
    CHECK(CountDecoders("1.0") == 1);
    for (int Round = 0; Round < 10; ++Round)
      Apply(Heavy, true);
    CHECK(CountDecoders("1.0") == 1);
    CHECK(CountDecoders("1.1") >= 1);
  }
  SECTION("also if its other engine is still changing to decode") {
    SetVersion(6, 8);
    Fleet[7].m_Changing = true;
    Apply(Heavy, true);
    CHECK(CountDecoders("1.0") == 1);
  }
  SECTION("also before the first request") {
    SetVersion(6, 8);
    ServiceLoad BeforeTraffic;
    BeforeTraffic.m_NoTrafficYet = true;
    CHECK(Apply(BeforeTraffic, true) == 5);
    CHECK(CountDecoders("1.0") == 1);
  }
  SECTION("engines that change to decode need no other of their version") {
    Fleet = engines(17, 1);
    SetVersion(0, 1);
    CHECK(Apply(Heavy, true) == 3);
    CHECK(CountDecoders("1.0") == 1);
  }
}

TEST_CASE("plans for engines of one version stay as they were") {
  // The hash was taken before plans took versions into account.
  constexpr std::uint64_t HashBefore = 11'830'046'592'452'213'176U;
  ServiceLoad BeforeTraffic;
  BeforeTraffic.m_NoTrafficYet = true;
  for (const std::string Version : {"", "1.0"}) {
    std::uint64_t Hash = 14'695'981'039'346'656'037U; // FNV-1a
    const auto Add = [&](const std::string &Text) {
      for (const char Letter : Text) {
        Hash ^= static_cast<unsigned char>(Letter);
        Hash *= 1'099'511'628'211U;
      }
    };
    for (int Count = 1; Count <= 18; ++Count)
      for (int Prefill = 0; Prefill <= Count; ++Prefill)
        for (const ServiceLoad &Load :
             {Heavy, BeforeTraffic, ServiceLoad{2000, 14'000'000, 10},
              ServiceLoad{5, 20'000, 7.5}}) {
          auto Fleet = engines(Prefill, Count - Prefill);
          for (SplitEngine &Member : Fleet)
            Member.m_SoftwareVersion = Version;
          Fleet.back().m_Changing = Count % 2 == 0;
          for (const auto &[Id, To] : planRoleChanges(Fleet, Load, {}))
            Add(Id.m_Value + std::string(roleName(To)));
          Add(";");
        }
    CHECK(Hash == HashBefore);
  }
}
