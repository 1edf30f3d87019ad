// Malformed answers of targets and of other entries, through the whole data
// path.

#include "Forwarding.h"
#include "Shop.h"
#include "http_testing/http_testing.h"

#include <catch2/catch.hpp>
#include <set>

namespace wasabivale::entry::test {

namespace {

using http::testing::ByteServer;
using http::testing::ByteServerSettings;
using http::testing::Ending;
using http::testing::malformedCases;
using http::testing::ResponseCase;
using http::testing::unusualCases;

const std::string Signed = "Signed: s-1\r\nAttempt: r-1\r\n";
const std::string Streamed = "Content-Type: text/event-stream\r\n" + Signed;
constexpr std::uint16_t SecondPort = FirstPort + 1;

/// A request of each kind of route.
struct RequestKind {
  const char *m_Method;
  const char *m_Path;
  std::string m_FieldLines;
  std::string m_Body;
};

std::vector<RequestKind> requestKinds() {
  const std::string Events = eventText(1) + eventText(2);
  return {{"GET", "/stock/7", Signed, "the answer"},
          {"POST", "/book/7", Signed, "the answer"},
          {"POST", "/note/7", Streamed, Events},
          {"POST", "/advice/7", Streamed, Events}};
}

ByteServerSettings at(std::uint16_t Port, const std::string &Bytes,
                      Ending How = Ending::Open) {
  ByteServerSettings Settings{Bytes, How};
  Settings.m_Port = Port;
  return Settings;
}

void tellFleet(Shop &Fixture) {
  REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
  Fixture.grant();
}

bool startsWith(const std::string &Text, std::string_view Start) {
  return Text.rfind(Start, 0) == 0;
}

/// Whether the bytes that a caller received are an answer that it takes for
/// whole.
bool looksWhole(const std::string &Raw, const std::string &Body) {
  return startsWith(Raw, "HTTP/1.1 2") &&
         (Raw.find(Body) != Raw.npos || Raw.find("\r\n0\r\n") != Raw.npos);
}

/// A shop with one target of raw bytes, which are changed between requests.
struct ByteShop : Shop {
  std::string m_Bytes;
  std::unique_ptr<ByteServer> m_Target;

  ByteShop() {
    addForeign();
    ByteServerSettings Settings = at(FirstPort, "");
    Settings.m_Choose = [this](const std::string &) { return m_Bytes; };
    m_Target = std::make_unique<ByteServer>(m_Loop.m_Base, Settings);
    tellFleet(*this);
  }

  /// \returns every byte that the caller receives.
  std::string askWith(const RequestKind &Kind, const std::string &Bytes) {
    m_Bytes = Bytes;
    grant();
    const std::size_t Before = m_Target->requests();
    std::string Raw = askRaw(Kind.m_Method, Kind.m_Path);
    CHECK(m_Target->requests() > Before);
    return Raw;
  }
};

/// \p Bytes with another status, where that is not what is malformed.
std::string withStatus(std::string Bytes, int Status) {
  const std::string Ok = "HTTP/1.1 200";
  if (const std::size_t Found = Bytes.find(Ok); Found != Bytes.npos)
    Bytes.replace(Found, Ok.size(), fmt::format("HTTP/1.1 {}", Status));
  return Bytes;
}

std::uint64_t malformedCount() {
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < http::ResponseFaults; ++I)
    Sum += http::malformedResponses(static_cast<http::ResponseFault>(I));
  return Sum;
}

} // namespace

SCENARIO("a malformed answer of a target reaches no caller") {
  for (const RequestKind &Kind : requestKinds()) {
    ByteShop Fixture;
    for (const ResponseCase &Case :
         malformedCases(Kind.m_FieldLines, Kind.m_Body)) {
      INFO(Kind.m_Path << " " << Case.m_Name);
      const TimePoint SentAt = BootClock::now();
      const std::string Raw = Fixture.askWith(Kind, Case.m_Bytes);
      CHECK_FALSE(looksWhole(Raw, Kind.m_Body));
      // A stream that has begun can only be broken off.
      const bool IsBrokenOff = Case.m_IsHeadSound &&
                               Kind.m_FieldLines == Streamed &&
                               startsWith(Raw, "HTTP/1.1 200");
      if (!IsBrokenOff) {
        CHECK(startsWith(Raw, "HTTP/1.1 502"));
        CHECK(Raw.find("Signed") == Raw.npos);
      }
      // Long before the deadline.
      CHECK(BootClock::now() - SentAt < 1200ms);
      CHECK(Fixture.m_Loop.until(
          [&] { return Fixture.m_Target->openConnections() == 0; }));
    }
  }
}

SCENARIO("a malformed answer is counted, and is no crash of its target") {
  for (const RequestKind &Kind : requestKinds()) {
    INFO(Kind.m_Path);
    Shop Fixture;
    Fixture.addForeign();
    const ByteServer Target(
        Fixture.m_Loop.m_Base,
        at(FirstPort, "HTTP/1.1 2000 OK\r\n" + Kind.m_FieldLines + "\r\n",
           Ending::Reset));
    tellFleet(Fixture);
    const std::uint64_t Before = malformedCount();
    for (int I = 0; I < 4; ++I)
      CHECK(startsWith(Fixture.askRaw(Kind.m_Method, Kind.m_Path),
                       "HTTP/1.1 502"));
    CHECK(malformedCount() - Before == Target.requests());
    CHECK(Fixture.m_Path->context().m_Traits.crashes() == 0);
    CHECK_FALSE(Fixture.m_Path->context().m_Reach.isCut());
    Fixture.m_Entry->updateGauges();
    CHECK(Fixture.m_Registry.print().find(
              "wasabivale_malformed_responses_total{reason=\"status_line\"} " +
              std::to_string(http::malformedResponses(
                  http::ResponseFault::StatusLine))) != std::string::npos);
  }
}

SCENARIO("a malformed answer to a request of the own interface is no crash") {
  World World(1, 1);
  const std::string Malformed = "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n";
  std::vector<std::unique_ptr<ByteServer>> Targets;
  for (std::uint16_t I = 0; I < 2; ++I) {
    World.m_Targets[I]->crash();
    Targets.push_back(std::make_unique<ByteServer>(
        World.m_Loop.m_Base, at(static_cast<std::uint16_t>(FirstTargetPort + I),
                                Malformed, Ending::Reset)));
  }
  const int Index = GENERATE(0, 1);
  const auto Got = World.ask(Index == 0 ? Ask{} : booking(""));
  CHECK(Got->m_Status == 502);
  CHECK(Got->outcome() == "unknown");
  CHECK(Targets[static_cast<std::size_t>(Index)]->requests() >= 1);
  CHECK(World.m_Registry.print().find(
            "wasabivale_entry_target_crashes_total 0\n") != std::string::npos);
}

SCENARIO("unusual answers that are valid pass unchanged") {
  for (const RequestKind &Kind : requestKinds())
    for (const ResponseCase &Case :
         unusualCases(Kind.m_FieldLines, Kind.m_Body)) {
      INFO(Kind.m_Path << " " << Case.m_Name);
      Shop Fixture;
      Fixture.addForeign();
      const ByteServer Target(
          Fixture.m_Loop.m_Base,
          at(FirstPort, Case.m_Bytes,
             Case.m_EndsWithConnection ? Ending::ClosedLater : Ending::Open));
      tellFleet(Fixture);
      const Answered Got = Fixture.ask(Kind.m_Method, Kind.m_Path);
      CHECK(Got.m_Status == 200);
      CHECK(Got.m_Body == Kind.m_Body);
      CHECK(http::field(Got.m_Fields, "signed") == "s-1");
      CHECK(Target.requests() == 1);
    }
}

SCENARIO("a malformed refusal is no promise") {
  const std::string Refusal = "Not-Run: 1\r\nAttempt: r-1\r\n";
  constexpr int Statuses[] = {408, 421, 429, 503};
  std::size_t Next = 0;
  for (const RequestKind &Kind : requestKinds()) {
    ByteShop Fixture;
    // Each status stands in each case once.
    std::size_t Index = Next++;
    for (const ResponseCase &Case : malformedCases(Refusal, "busy")) {
      const int Status = Statuses[Index++ % std::size(Statuses)];
      INFO(Kind.m_Path << " " << Status << " " << Case.m_Name);
      CHECK(startsWith(Fixture.askWith(Kind, withStatus(Case.m_Bytes, Status)),
                       "HTTP/1.1 502"));
    }
  }
}

SCENARIO("a target that sends malformed answers is a target in trouble") {
  Shop Fixture;
  Fixture.addForeign();
  for (int I = 0; I < 3; ++I)
    Fixture.add(answers(200, "sound"));
  const ByteServer Target(Fixture.m_Loop.m_Base,
                          at(FirstPort, "HTTP/1.1 200 OK\r\n" + Signed +
                                            "Content-Length: +3\r\n\r\nbad"));
  tellFleet(Fixture);
  GIVEN("requests that may be repeated") {
    constexpr int Count = 60;
    for (int I = 0; I < Count; ++I)
      CHECK(Fixture.ask("GET", "/stock/7").m_Body == "sound");
    THEN("the others serve them, and it gets few") {
      constexpr std::size_t Probes = 1;
      CHECK(Target.requests() >= 1);
      CHECK(Target.requests() <=
            routing::Settings{}.m_FailuresToEject + Probes);
    }
  }
  GIVEN("requests that must not be repeated") {
    for (int I = 0; I < 20; ++I) {
      const std::size_t Before = Target.requests();
      const std::size_t SoundBefore = Fixture.m_Seen.size();
      const Answered Got = Fixture.ask("POST", "/book/7");
      const bool IsMalformed = Target.requests() > Before;
      CHECK(Got.m_Status == (IsMalformed ? 502 : 200));
      CHECK(Fixture.m_Seen.size() - SoundBefore == (IsMalformed ? 0U : 1U));
    }
    CHECK(Target.requests() >= 1);
  }
}

SCENARIO("a connection that brought a malformed answer is not used again") {
  Shop Fixture;
  Fixture.addForeign();
  ByteServerSettings Settings = at(FirstPort, "");
  std::size_t Answers = 0;
  Settings.m_Choose = [&](const std::string &) {
    // The second answer stands where the first one is malformed.
    return ++Answers == 2 ? "HTTP/1.1 200 OK\r\n" + Signed +
                                "Content-Length: 3\r\nX A: b\r\n\r\nbad"
                          : "HTTP/1.1 200 OK\r\n" + Signed +
                                "Content-Length: 5\r\n\r\nsound";
  };
  const ByteServer Target(Fixture.m_Loop.m_Base, Settings);
  tellFleet(Fixture);
  CHECK(Fixture.ask("POST", "/book/7").m_Status == 200);
  CHECK(Target.openConnections() == 1);
  CHECK(Fixture.ask("POST", "/book/7").m_Status == 502);
  CHECK(Fixture.m_Loop.until([&] { return Target.openConnections() == 0; }));
  CHECK(Fixture.ask("POST", "/book/7").m_Body == "sound");
}

SCENARIO("a stream is not resumed with a malformed answer") {
  for (const ResponseCase &Case : malformedCases(Streamed, eventText(2))) {
    INFO(Case.m_Name);
    Shop Fixture;
    Fixture.addForeign();
    Fixture.addForeign();
    const auto Choose = [&](const std::string &Request) {
      if (Request.find("Seen: ") != Request.npos)
        return Case.m_Bytes;
      // Breaks off behind its first event.
      return "HTTP/1.1 200 OK\r\n" + Streamed + "\r\n" + eventText(1) +
             "id: 2\n";
    };
    ByteServerSettings First = at(FirstPort, "", Ending::Reset);
    First.m_EndDelay = 5ms;
    First.m_Choose = Choose;
    ByteServerSettings Second = First;
    Second.m_Port = SecondPort;
    const ByteServer Targets[] = {{Fixture.m_Loop.m_Base, First},
                                  {Fixture.m_Loop.m_Base, Second}};
    tellFleet(Fixture);
    const std::string Raw = Fixture.askRaw("POST", "/note/7");
    CHECK(Targets[0].requests() + Targets[1].requests() >= 2);
    CHECK(startsWith(Raw, "HTTP/1.1 200"));
    CHECK(Raw.find(eventText(1)) != Raw.npos);
    CHECK(Raw.find("\r\n0\r\n") == Raw.npos);
    if (!Case.m_IsHeadSound)
      CHECK(Raw.find("id: 2") == Raw.npos);
  }
}

SCENARIO("a malformed answer to a prefill hands no memory on") {
  const http::Fields LongPrompt = {{"prompt", "30000"}};
  // An engine that has failed is not asked again, and a new one warms up for a
  // second: one response of each fault.
  std::set<std::string> Faults;
  for (const ResponseCase &Case : malformedCases("", "h1")) {
    if (!Faults.insert(Case.m_Fault).second)
      continue;
    INFO(Case.m_Name);
    Shop Fixture;
    Fixture.addEngine("prefill", [](const Exchange &) {});
    Fixture.m_Targets.back().reset();
    Fixture.addEngine("decode", streams(2, true));
    std::size_t Prefills = 0;
    ByteServerSettings Settings = at(FirstPort, "");
    Settings.m_Choose = [&](const std::string &Request) {
      Prefills += Request.find("Prefill-Only: ") != Request.npos ? 1 : 0;
      return Case.m_Bytes;
    };
    const ByteServer Prefill(Fixture.m_Loop.m_Base, Settings);
    Fixture.warmUp();
    const Answered Got = Fixture.ask("POST", "/oracle/7", LongPrompt);
    CHECK(Prefills >= 1);
    CHECK(Fixture.seen("Kv") == 0);
    // The engine that decodes reads the prompt itself.
    CHECK(Got.m_Status == 200);
    CHECK(Got.m_Body == eventText(1) + eventText(2));
  }
}

SCENARIO("a malformed answer of another entry reaches no caller") {
  constexpr std::uint16_t PeerPort = 21953;
  constexpr std::uint16_t DeadPort = 21970;
  Shop Fixture;
  Fixture.addForeign().set_address(fmt::format("127.0.0.1:{}", DeadPort));
  REQUIRE(Fixture.m_Path->takeFleet(Fixture.m_Fleet));
  std::string Bytes;
  ByteServerSettings Settings = at(PeerPort, "");
  Settings.m_Choose = [&](const std::string &) { return Bytes; };
  const ByteServer Peer(Fixture.m_Loop.m_Base, Settings);
  std::uint64_t Revision = 0;
  const auto NamePeer = [&] {
    wire::ControlGrant Grant;
    wire::ForwardPeer &Named = *Grant.add_forward_peers();
    Named.set_entry("entry-2");
    Named.set_address(fmt::format("127.0.0.1:{}", PeerPort));
    Grant.set_forward_peers_revision(++Revision);
    Fixture.m_Path->takeGrant(Grant, BootClock::now() + 2s);
  };
  const std::string Result(ForwardResultField);
  GIVEN("answers of targets") {
    for (const RequestKind &Kind : requestKinds())
      for (const ResponseCase &Case : malformedCases(
               Kind.m_FieldLines + Result + ": answer\r\n", Kind.m_Body)) {
        INFO(Kind.m_Path << " " << Case.m_Name);
        Bytes = Case.m_Bytes;
        const std::size_t Before = Peer.requests();
        NamePeer();
        const std::string Raw = Fixture.askRaw(Kind.m_Method, Kind.m_Path);
        CHECK(Peer.requests() > Before);
        CHECK_FALSE(looksWhole(Raw, Kind.m_Body));
        if (!Case.m_IsHeadSound)
          CHECK(startsWith(Raw, "HTTP/1.1 502"));
        CHECK(
            Fixture.m_Loop.until([&] { return Peer.openConnections() == 0; }));
      }
  }
  GIVEN("refusals") {
    const std::string Refusal =
        Result + ": not_run\r\n" + std::string(ForwardReasonField) + ": " +
        std::to_string(static_cast<int>(Refusal::TooManyStreams)) + "\r\n";
    for (const ResponseCase &Case : malformedCases(Refusal, "full")) {
      INFO(Case.m_Name);
      Bytes = withStatus(Case.m_Bytes, 503);
      const std::size_t Before = Peer.requests();
      NamePeer();
      CHECK(startsWith(Fixture.askRaw("POST", "/book/7"), "HTTP/1.1 502"));
      CHECK(Peer.requests() == Before + 1);
    }
  }
}

SCENARIO("malformed answers to health checks show that targets are reached") {
  Shop Fixture;
  Fixture.m_Fleet.mutable_routes()->mutable_services(0)->set_health_path(
      "/health");
  constexpr std::size_t Count = 4;
  std::vector<std::unique_ptr<ByteServer>> Targets;
  std::size_t HealthChecks = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    Fixture.addForeign();
    ByteServerSettings Settings =
        at(static_cast<std::uint16_t>(FirstPort + I), "");
    Settings.m_Choose = [&](const std::string &Request) -> std::string {
      if (Request.find(" /health ") == Request.npos)
        return ""; // The target is silent.
      ++HealthChecks;
      return "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n";
    };
    Targets.push_back(
        std::make_unique<ByteServer>(Fixture.m_Loop.m_Base, Settings));
  }
  tellFleet(Fixture);
  const TimePoint Start = BootClock::now();
  std::vector<std::shared_ptr<Answered>> Calls;
  while (BootClock::now() - Start < 3s) {
    Fixture.grant();
    Calls.push_back(Fixture.start("POST", "/book/7"));
    Fixture.m_Loop.turnFor(100ms);
    CHECK_FALSE(Fixture.m_Path->context().m_Reach.isCut());
  }
  CHECK(HealthChecks > 0);
}

SCENARIO("an early answer to an upload that is reset is not whole to callers") {
  for (const RequestKind &Kind : requestKinds()) {
    if (std::string(Kind.m_Method) == "GET")
      continue;
    const std::string Head = "HTTP/1.1 200 OK\r\n" + Kind.m_FieldLines;
    const std::string Part =
        Kind.m_FieldLines == Streamed ? eventText(1) : "part of it";
    for (const std::string &Bytes :
         {fmt::format("{}\r\n{}", Head, Part),
          fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                      Head, Part.size(), Part),
          fmt::format("{}Content-Length: 1000\r\n\r\n{}", Head, Part)})
      for (const std::size_t UploadBytes : {70'000, 1'000'000, 4'000'000})
        for (const auto Delay : {0ms, 1ms, 30ms, 150ms}) {
          INFO(Kind.m_Path << " " << UploadBytes << " " << Delay.count()
                           << " ms " << Bytes);
          Shop Fixture;
          Fixture.addForeign();
          ByteServerSettings Settings = at(FirstPort, Bytes, Ending::Reset);
          Settings.m_AnswersEarly = true;
          Settings.m_EndDelay = Delay;
          const ByteServer Target(Fixture.m_Loop.m_Base, Settings);
          tellFleet(Fixture);
          const std::string Raw = Fixture.askRaw("POST", Kind.m_Path,
                                                 std::string(UploadBytes, 'u'));
          CHECK(Target.requests() >= 1);
          // A stream that has begun is broken off: its last chunk is missing.
          const bool IsBrokenOff =
              Kind.m_FieldLines == Streamed &&
              startsWith(Raw, "HTTP/1.1 200") &&
              Raw.find("Transfer-Encoding: chunked") != Raw.npos &&
              Raw.find("\r\n0\r\n") == Raw.npos;
          CHECK((IsBrokenOff || startsWith(Raw, "HTTP/1.1 502")));
        }
  }
}

} // namespace wasabivale::entry::test
