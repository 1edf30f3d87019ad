#include "wire/wire.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace std::chrono_literals;

namespace {

struct Loop {
  event_base *m_Base = event_base_new();
  ~Loop() { event_base_free(m_Base); }
  /// Turns the loop until \p Done or until a limit that only a failure meets.
  bool turnUntil(const std::function<bool()> &Done,
                 std::chrono::milliseconds Limit = 20s) const {
    const TimePoint End = BootClock::now() + Limit;
    while (!Done() && BootClock::now() < End) {
      const timeval Tick{0, 5000};
      event_base_loopexit(m_Base, &Tick);
      event_base_dispatch(m_Base);
    }
    return Done();
  }
};

wire::KeyPair keys() { return valueOf(wire::generateKeys()); }

wire::Envelope hello(std::uint64_t Revision) {
  wire::Envelope Message;
  Message.mutable_entry_hello()->set_fleet_revision(Revision);
  return Message;
}

} // namespace

SCENARIO("processes with known keys exchange messages") {
  Loop Loop;
  metrics::Registry Registry;
  const auto ControlKeys = keys();
  const auto EntryKeys = keys();
  const std::string Address = "127.0.0.1:28411";
  std::vector<std::string> AtControl;
  std::vector<std::string> AtEntry;

  wire::HubOptions ControlOptions;
  ControlOptions.m_Self = {"c1"};
  ControlOptions.m_Keys = ControlKeys;
  ControlOptions.m_ListenAddress = Address;
  ControlOptions.m_Peers = {{{"e1"}, EntryKeys.m_Public, ""}};
  auto Control = wire::Hub::open(
      Loop.m_Base, ControlOptions, Registry,
      [&](const NodeId &From, const wire::Envelope &Message) {
        AtControl.push_back(
            From.m_Value + ":" +
            std::to_string(Message.entry_hello().fleet_revision()));
      });
  REQUIRE(!failed(Control));

  wire::HubOptions EntryOptions;
  EntryOptions.m_Self = {"e1"};
  EntryOptions.m_Keys = EntryKeys;
  EntryOptions.m_Peers = {{{"c1"}, ControlKeys.m_Public, Address}};

  GIVEN("an entry whose key is known") {
    auto Entry =
        wire::Hub::open(Loop.m_Base, EntryOptions, Registry,
                        [&](const NodeId &From, const wire::Envelope &) {
                          AtEntry.push_back(From.m_Value);
                        });
    REQUIRE(!failed(Entry));
    REQUIRE(Loop.turnUntil(
        [&] { return !failed(valueOf(Entry)->send({"c1"}, hello(7))); }));
    THEN("its message arrives under its name") {
      REQUIRE(Loop.turnUntil([&] { return !AtControl.empty(); }));
      CHECK(AtControl.front() == "e1:7");
      AND_THEN("an answer finds its way back") {
        CHECK(!failed(valueOf(Control)->send({"e1"}, hello(8))));
        REQUIRE(Loop.turnUntil([&] { return !AtEntry.empty(); }));
        CHECK(AtEntry.front() == "c1");
      }
    }
  }
  GIVEN("an entry whose key is not known") {
    EntryOptions.m_Keys = keys();
    auto Entry =
        wire::Hub::open(Loop.m_Base, EntryOptions, Registry,
                        [&](const NodeId &, const wire::Envelope &) {});
    REQUIRE(!failed(Entry));
    THEN("it is refused and nothing arrives") {
      metrics::Counter &Refused = Registry.counter(
          "wasabivale_wire_dropped_total", "", {{"reason", "unknown_key"}});
      REQUIRE(Loop.turnUntil([&] {
        (void)valueOf(Entry)->send({"c1"}, hello(7));
        return Refused.m_Value > 0;
      }));
      CHECK(AtControl.empty());
    }
  }
  GIVEN("an entry that uses another's name with its own known key") {
    EntryOptions.m_Self = {"e2"};
    auto Entry =
        wire::Hub::open(Loop.m_Base, EntryOptions, Registry,
                        [&](const NodeId &, const wire::Envelope &) {});
    REQUIRE(!failed(Entry));
    THEN("its messages are dropped and counted") {
      metrics::Counter &Dropped = Registry.counter(
          "wasabivale_wire_dropped_total", "", {{"reason", "bad_sender"}});
      REQUIRE(Loop.turnUntil([&] {
        (void)valueOf(Entry)->send({"c1"}, hello(7));
        return Dropped.m_Value > 0;
      }));
      CHECK(AtControl.empty());
    }
  }
  GIVEN("a peer that is not connected") {
    THEN("a message to it is dropped at once, with step and peer") {
      const Status Sent = valueOf(Control)->send({"e1"}, hello(1));
      REQUIRE(failed(Sent));
      CHECK(errorOf(Sent).m_Step == "wire.send");
      CHECK(errorOf(Sent).m_Peer == "e1");
    }
  }
}
