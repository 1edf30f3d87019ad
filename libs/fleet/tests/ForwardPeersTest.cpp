// Entries that take what another entry can't send to targets.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace wasabivale;
using namespace wasabivale::fleet;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(100s);

EntryView &addEntry(ObservedState &Observed, const std::string &Id,
                    const std::string &Zone) {
  EntryView &View = Observed.m_Entries[{Id}];
  View.m_LeaseUntil = Start + 2s;
  View.m_Zone = {Zone};
  View.m_ForwardAddress = "10.0.0.1:1";
  return View;
}

} // namespace

SCENARIO("entries that reach targets are named to the others") {
  GIVEN("ten entries in each of three zones") {
    ObservedState Observed;
    for (const std::string Zone : {"a", "b", "c"})
      for (int I = 0; I < 10; ++I)
        addEntry(Observed, fmt::format("{}-{}", Zone, I), Zone);
    const NodeId Asking{"a-3"};
    const auto Named = [&] {
      return chooseForwardPeers(Observed, Asking, Start);
    };
    THEN("each is told a bounded number of others, in each other zone first") {
      REQUIRE(Named().size() == MaxForwardPeers);
      std::set<ZoneId> Zones;
      for (std::size_t I = 0; I < 2; ++I)
        Zones.insert(Observed.m_Entries.at(Named()[I].m_Entry).m_Zone);
      CHECK(Zones == std::set<ZoneId>{{"b"}, {"c"}});
      for (const ForwardPeer &Peer : Named())
        CHECK(Peer.m_Entry != Asking);
    }
    THEN("what all of a zone forward is spread over many entries") {
      std::map<NodeId, int> Uses;
      for (int I = 0; I < 10; ++I)
        for (const ForwardPeer &Peer :
             chooseForwardPeers(Observed, {fmt::format("a-{}", I)}, Start))
          ++Uses[Peer.m_Entry];
      CHECK(Uses.size() >= 10);
      for (const auto &[Id, Count] : Uses)
        CHECK(Count <= 6);
    }
    WHEN("some can't take requests") {
      Observed.m_Entries[{Named()[0].m_Entry}].m_TargetsUnreachable = true;
      Observed.m_Entries[{Named()[1].m_Entry}].m_LeaseUntil = Start;
      Observed.m_Entries[{Named()[2].m_Entry}].m_ForwardAddress.clear();
      THEN("others are named in their place") {
        REQUIRE(Named().size() == MaxForwardPeers);
        for (const ForwardPeer &Peer : Named()) {
          const EntryView &View = Observed.m_Entries.at(Peer.m_Entry);
          CHECK_FALSE(View.m_TargetsUnreachable);
          CHECK(View.m_LeaseUntil > Start);
          CHECK_FALSE(Peer.m_Address.empty());
        }
      }
    }
    WHEN("all of the entry's zone are cut") {
      for (auto &[Id, View] : Observed.m_Entries)
        View.m_TargetsUnreachable = View.m_Zone == ZoneId{"a"};
      THEN("only entries of other zones are named") {
        REQUIRE(Named().size() == MaxForwardPeers);
        for (const ForwardPeer &Peer : Named())
          CHECK(Observed.m_Entries.at(Peer.m_Entry).m_Zone != ZoneId{"a"});
      }
    }
  }
  GIVEN("one entry alone") {
    ObservedState Observed;
    addEntry(Observed, "a-1", "a");
    THEN("it is told of nobody") {
      CHECK(chooseForwardPeers(Observed, {"a-1"}, Start).empty());
    }
  }
}
