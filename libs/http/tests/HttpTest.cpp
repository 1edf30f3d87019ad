#include "http/http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace wasabivale;
using namespace std::chrono_literals;

namespace {

const http::Address At{"127.0.0.1", 28421};

struct Loop {
  event_base *m_Base = event_base_new();
  ~Loop() { event_base_free(m_Base); }
  bool turnUntil(const std::function<bool()> &Done,
                 std::chrono::milliseconds Longest = 20s) const {
    const TimePoint End = BootClock::now() + Longest;
    while (!Done() && BootClock::now() < End) {
      const timeval Tick{0, 2000};
      event_base_loopexit(m_Base, &Tick);
      event_base_dispatch(m_Base);
    }
    return Done();
  }
};

http::ClientRequest get(const std::string &Path) {
  http::ClientRequest What;
  What.m_To = At;
  What.m_Method = "GET";
  What.m_Path = Path;
  What.m_Deadline = BootClock::now() + 10s;
  return What;
}

int connectRaw() {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_port = htons(At.m_Port);
  inet_pton(AF_INET, At.m_Host.c_str(), &Peer.sin_addr);
  REQUIRE(::connect(Descriptor, reinterpret_cast<sockaddr *>(&Peer),
                    sizeof(Peer)) == 0);
  return Descriptor;
}

} // namespace

SCENARIO("addresses are IP numbers with a port") {
  CHECK(!failed(http::parseAddress("127.0.0.1:80")));
  for (const char *Bad : {"", "127.0.0.1", "localhost:80", "1.2.3.4:0",
                          "1.2.3.4:70000", "1.2.3.4:8x", ":80"}) {
    INFO(Bad);
    CHECK(failed(http::parseAddress(Bad)));
  }
}

SCENARIO("a server answers and a client hears it") {
  Loop Loop;
  std::vector<std::shared_ptr<http::Exchange>> Open;
  http::ServerLimits Limits;
  Limits.m_FirstRequest = 300ms;
  Limits.m_BodyBytes = 1000;
  auto Server = http::listen(Loop.m_Base, At, Limits,
                             [&](std::shared_ptr<http::Exchange> Arrived) {
                               if (Arrived->request().m_Path == "/now")
                                 Arrived->reply(200, {{"X-A", "b"}}, "body");
                               else
                                 Open.push_back(std::move(Arrived));
                             });
  REQUIRE(!failed(Server));
  std::string Pieces;
  std::optional<Result<http::Response>> Ending;
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [&](Result<http::Response> Answer) {
    Ending = std::move(Answer);
  };

  GIVEN("a request that is answered at once") {
    http::call(Loop.m_Base, get("/now"), Handlers);
    REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
    THEN("status, headers and body arrive") {
      REQUIRE(!failed(*Ending));
      CHECK(valueOf(*Ending).m_Status == 200);
      CHECK(valueOf(*Ending).m_Body == "body");
      CHECK(http::header(valueOf(*Ending).m_Headers, "x-a") == "b");
    }
  }
  GIVEN("a stream") {
    Handlers.m_OnChunk = [&](std::string_view Piece) { Pieces += Piece; };
    auto Call = http::call(Loop.m_Base, get("/stream"), Handlers);
    CHECK(!Call->hasSent());
    REQUIRE(Loop.turnUntil([&] { return !Open.empty(); }));
    CHECK(Call->hasSent());
    Open[0]->startStream(200, {});
    Open[0]->write("one ");
    REQUIRE(Loop.turnUntil([&] { return Pieces == "one "; }));
    WHEN("it is finished") {
      Open[0]->write("two");
      Open[0]->finish();
      REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
      THEN("it is whole") {
        CHECK(!failed(*Ending));
        CHECK(Pieces == "one two");
      }
    }
    WHEN("the server breaks it") {
      Open[0]->abort();
      REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
      THEN("the client sees an error") { CHECK(failed(*Ending)); }
    }
    WHEN("the client cancels") {
      bool Gone = false;
      Open[0]->onGone([&] { Gone = true; });
      Call->cancel();
      THEN("the server notices, and no callback follows") {
        REQUIRE(Loop.turnUntil([&] { return Gone; }));
        CHECK(!Ending);
        Open[0]->write("late");
        Open[0]->finish();
      }
    }
    WHEN("the client has gone and the server ends before the exchange") {
      bool Gone = false;
      Open[0]->onGone([&] { Gone = true; });
      Call->cancel();
      REQUIRE(Loop.turnUntil([&] { return Gone; }));
      valueOf(Server).reset();
      THEN("the exchange can still be dropped") {
        CHECK(Open[0]->isGone());
        Open.clear();
      }
    }
    WHEN("the client cancels from within the callback of a piece") {
      Call->cancel();
      std::string Seen;
      std::string Kept = "owned by the callback, and too long to be inline";
      Handlers.m_OnChunk = [&, Kept](std::string_view Piece) {
        Call->cancel();
        Seen = std::string(Piece) + Kept;
      };
      Call = http::call(Loop.m_Base, get("/stream"), Handlers);
      Handlers.m_OnChunk = nullptr;
      REQUIRE(Loop.turnUntil([&] { return Open.size() == 2; }));
      bool Gone = false;
      Open[1]->onGone([&] { Gone = true; });
      Open[1]->startStream(200, {});
      Open[1]->write("one ");
      THEN("the callback runs to its end, and none follows") {
        REQUIRE(Loop.turnUntil([&] { return Gone; }));
        CHECK(Seen == "one " + Kept);
        CHECK(!Ending);
      }
    }
    WHEN("the client does not read") {
      Call->pause();
      const std::string Piece(1U << 20U, 'x');
      for (int I = 0; I < 16; ++I)
        Open[0]->write(Piece);
      REQUIRE(Loop.turnUntil([&] { return Open[0]->pendingBytes() > 0; }));
      THEN("the server sees what waits, and all arrives in the end") {
        CHECK(Open[0]->pendingBytes() > Piece.size());
        Call->resume();
        Open[0]->finish();
        REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
        CHECK(Pieces.size() == 4 + 16 * Piece.size());
      }
    }
  }
  GIVEN("a port at which nobody listens") {
    auto What = get("/now");
    What.m_To.m_Port = 1;
    auto Call = http::call(Loop.m_Base, What, Handlers);
    REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
    THEN("the call fails, and nothing was sent") {
      REQUIRE(failed(*Ending));
      CHECK(errorOf(*Ending).m_Peer == "127.0.0.1:1");
      CHECK(!Call->hasSent());
    }
  }
  GIVEN("a deadline that passes") {
    auto What = get("/stream");
    What.m_Deadline = BootClock::now() + 50ms;
    http::call(Loop.m_Base, What, Handlers);
    REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
    THEN("the call fails") { CHECK(failed(*Ending)); }
  }
  GIVEN("a body over the limit") {
    auto What = get("/now");
    What.m_Method = "POST";
    What.m_Body.assign(2000, 'x');
    http::call(Loop.m_Base, What, Handlers);
    REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
    THEN("it is refused") {
      CHECK((failed(*Ending) || valueOf(*Ending).m_Status == 413));
    }
  }
  GIVEN("an answer over the client's limit") {
    auto What = get("/stream");
    What.m_AnswerBytes = 1000;
    const std::string Piece(400, 'x');
    const std::string Large(1200, 'x');
    WHEN("it is collected and comes in chunks") {
      http::call(Loop.m_Base, What, Handlers);
      REQUIRE(Loop.turnUntil([&] { return !Open.empty(); }));
      Open[0]->startStream(200, {});
      for (int I = 0; I < 3; ++I)
        Open[0]->write(Piece);
      Open[0]->finish();
      REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
      THEN("the call fails") { CHECK(failed(*Ending)); }
    }
    WHEN("it states its length") {
      http::call(Loop.m_Base, What, Handlers);
      REQUIRE(Loop.turnUntil([&] { return !Open.empty(); }));
      Open[0]->reply(200, {}, Large);
      REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
      THEN("the call fails") { CHECK(failed(*Ending)); }
    }
    WHEN("it is passed on in chunks") {
      Handlers.m_OnChunk = [&](std::string_view Part) { Pieces += Part; };
      http::call(Loop.m_Base, What, Handlers);
      REQUIRE(Loop.turnUntil([&] { return !Open.empty(); }));
      Open[0]->startStream(200, {});
      for (int I = 0; I < 5; ++I)
        Open[0]->write(Piece);
      THEN("it is whole, however long, while each chunk is small") {
        Open[0]->finish();
        REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
        CHECK(!failed(*Ending));
        CHECK(Pieces.size() == 2000);
      }
      THEN("a chunk over the limit ends it") {
        Open[0]->write(Large);
        REQUIRE(Loop.turnUntil([&] { return Ending.has_value(); }));
        CHECK(failed(*Ending));
        CHECK(Pieces.size() == 2000);
      }
    }
  }
  GIVEN("a process that listens") {
    THEN("it ignores SIGPIPE") {
      struct sigaction Now {};
      ::sigaction(SIGPIPE, nullptr, &Now);
      CHECK(Now.sa_handler == SIG_IGN);
    }
  }
  GIVEN("a sender that never ends its request") {
    const int Descriptor = connectRaw();
    REQUIRE(::send(Descriptor, "GET /now HTTP/1.1\r\n", 19, 0) == 19);
    THEN("its connection is closed") {
      REQUIRE(
          Loop.turnUntil([&] { return valueOf(Server)->slowSenders() == 1; }));
      CHECK(valueOf(Server)->connections() == 0);
    }
    ::close(Descriptor);
  }
}

SCENARIO("a server that stops closes only connections with nothing under way") {
  Loop Loop;
  std::vector<std::shared_ptr<http::Exchange>> Open;
  auto Server = http::listen(Loop.m_Base, At, {},
                             [&](std::shared_ptr<http::Exchange> Arrived) {
                               Open.push_back(std::move(Arrived));
                             });
  REQUIRE(!failed(Server));
  const int Peer = connectRaw();
  const std::string Request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto Send = [&](const std::string &Bytes) {
    REQUIRE(::send(Peer, Bytes.data(), Bytes.size(), 0) ==
            static_cast<ssize_t>(Bytes.size()));
  };
  std::string Got;
  const auto ReadUntil = [&](const std::string &End) {
    return Loop.turnUntil([&] {
      char Bytes[4096];
      const ssize_t Count = recv(Peer, Bytes, sizeof(Bytes), MSG_DONTWAIT);
      if (Count > 0)
        Got.append(Bytes, static_cast<std::size_t>(Count));
      return Count == 0 || (!End.empty() && Got.find(End) != Got.npos);
    });
  };
  REQUIRE(Loop.turnUntil([&] { return valueOf(Server)->connections() == 1; }));
  GIVEN("a connection without a request") {
    THEN("it is closed") {
      valueOf(Server)->closeIdle();
      CHECK(valueOf(Server)->connections() == 0);
    }
    THEN("it stays open if bytes wait to be read") {
      Send("GET");
      valueOf(Server)->closeIdle();
      CHECK(valueOf(Server)->connections() == 1);
    }
  }
  GIVEN("a request, and the head of the next one behind it") {
    // Once evhttp has read that head, no byte of the request waits any longer.
    Send(Request + "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n");
    REQUIRE(Loop.turnUntil([&] { return Open.size() == 1; }));
    Open[0]->reply(200, {}, "first");
    REQUIRE(ReadUntil("first"));
    Loop.turnUntil([] { return false; }, 50ms);
    THEN("the next one is under way, and is taken") {
      valueOf(Server)->closeIdle();
      REQUIRE(valueOf(Server)->connections() == 1);
      Send("body");
      REQUIRE(Loop.turnUntil([&] { return Open.size() == 2; }));
      Open[1]->reply(200, {}, "second");
      CHECK(ReadUntil("second"));
    }
  }
  GIVEN("a request that is being answered") {
    Send(Request);
    REQUIRE(Loop.turnUntil([&] { return Open.size() == 1; }));
    THEN("its connection stays open until it is answered") {
      valueOf(Server)->closeIdle();
      Open[0]->closeAfterLast();
      Open[0]->reply(200, {}, "first");
      REQUIRE(ReadUntil(""));
      CHECK(Got.find("first") != Got.npos);
      CHECK(valueOf(Server)->connections() == 0);
    }
    THEN("the next request on it does not cost its caller this answer") {
      Send(Request);
      Open[0]->closeAfterLast();
      Open[0]->reply(200, {}, "first");
      REQUIRE(ReadUntil("first"));
      REQUIRE(Loop.turnUntil([&] { return Open.size() == 2; }));
      Open[1]->closeAfterLast();
      Open[1]->reply(503, {}, "second");
      REQUIRE(ReadUntil(""));
      CHECK(Got.find("second") != Got.npos);
    }
  }
  ::close(Peer);
}

SCENARIO("a server says why a connection ended") {
  Loop Loop;
  std::vector<std::shared_ptr<http::Exchange>> Open;
  std::vector<http::ClosedConnection> Closed;
  http::ServerLimits Limits;
  Limits.m_FirstRequest = 300ms;
  Limits.m_Connections = 2;
  auto Server = http::listen(Loop.m_Base, At, Limits,
                             [&](std::shared_ptr<http::Exchange> Arrived) {
                               Open.push_back(std::move(Arrived));
                             });
  REQUIRE(!failed(Server));
  valueOf(Server)->onConnectionClosed(
      [&](const http::ClosedConnection &Ended) { Closed.push_back(Ended); });
  const int Peer = connectRaw();
  const auto Send = [&](const std::string &Bytes) {
    REQUIRE(::send(Peer, Bytes.data(), Bytes.size(), 0) ==
            static_cast<ssize_t>(Bytes.size()));
  };
  const auto Ends = [&](http::CloseReason Reason, bool IsAnswerDue) {
    REQUIRE(Loop.turnUntil([&] { return !Closed.empty(); }));
    CHECK(Closed[0].m_Reason == Reason);
    CHECK(Closed[0].m_IsAnswerDue == IsAnswerDue);
    CHECK(Closed[0].m_Peer == "127.0.0.1");
  };
  REQUIRE(Loop.turnUntil([&] { return valueOf(Server)->connections() == 1; }));
  GIVEN("no request") {
    THEN("the server closes it as idle") {
      valueOf(Server)->closeIdle();
      Ends(http::CloseReason::Idle, false);
    }
    THEN("the peer closes it") {
      ::close(Peer);
      Ends(http::CloseReason::PeerClosed, false);
    }
    THEN("the server ends") {
      valueOf(Server).reset();
      Ends(http::CloseReason::ServerEnded, false);
    }
    THEN("others are too many") {
      const int Second = connectRaw();
      const int Third = connectRaw();
      Ends(http::CloseReason::TooMany, false);
      ::close(Second);
      ::close(Third);
    }
  }
  GIVEN("a request that doesn't go on") {
    Send("GET /a HTTP/1.1\r\n");
    THEN("its sender is too slow") {
      Ends(http::CloseReason::SlowSender, false);
    }
  }
  GIVEN("a request, and a part of the next one behind it") {
    Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n");
    REQUIRE(Loop.turnUntil([&] { return Open.size() == 1; }));
    THEN("its sender is not too slow while the first one runs, and is later") {
      CHECK_FALSE(Loop.turnUntil([&] { return !Closed.empty(); }, 800ms));
      Open[0]->reply(200, {}, "first");
      Ends(http::CloseReason::SlowSender, false);
    }
    THEN("its sender is not too slow while a large answer is not read") {
      Open[0]->reply(200, {}, std::string(std::size_t{16} << 20U, 'x'));
      CHECK_FALSE(Loop.turnUntil([&] { return !Closed.empty(); }, 1s));
    }
  }
  GIVEN("bytes that are no request") {
    Send("what is this?\r\n\r\n");
    THEN("they are named as the reason") {
      Ends(http::CloseReason::Protocol, false);
    }
  }
  GIVEN("a request that is being answered") {
    Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(Loop.turnUntil([&] { return Open.size() == 1; }));
    THEN("an exchange that is dropped is told from one that is answered") {
      Open.clear();
      Ends(http::CloseReason::Dropped, true);
    }
    THEN("an answer may end the connection") {
      Open[0]->closeAfterLast();
      Open[0]->reply(200, {}, "first");
      Ends(http::CloseReason::Answered, false);
      CHECK(Closed[0].m_Requests == 1);
    }
    THEN("its caller leaves, and the exchange tells how that was noticed") {
      bool IsGone = false;
      Open[0]->onGone([&] { IsGone = true; });
      ::close(Peer);
      REQUIRE(Loop.turnUntil([&] { return IsGone; }));
      CHECK(Open[0]->goneReason() == "hangup");
    }
    THEN("the server ends before it") {
      valueOf(Server).reset();
      Ends(http::CloseReason::ServerEnded, true);
      CHECK(Open[0]->goneReason() == "server_ended");
    }
  }
  ::close(Peer);
}

SCENARIO("clients that took all places a moment ago don't lock others out") {
  Loop Loop;
  constexpr std::size_t Places = 40;
  constexpr std::size_t Descriptors = 2 * Places;
  http::ServerLimits Limits;
  Limits.m_Memory = std::make_shared<http::MemoryBudget>(
      http::sharesOf(256U << 20U, Descriptors, Limits.m_BodyBytes));
  auto Server =
      http::listen(Loop.m_Base, At, Limits,
                   [](const std::shared_ptr<http::Exchange> &Arrived) {
                     Arrived->reply(200, {}, Arrived->request().m_Path);
                   });
  REQUIRE(!failed(Server));
  const auto Refusals = [&](http::MemoryRefusal Why) {
    return Limits.m_Memory->refusals(Why);
  };
  std::vector<int> Crowd;
  const auto Connect = [&](std::size_t Count, const std::string &Bytes) {
    for (std::size_t I = 0; I < Count; ++I) {
      Crowd.push_back(connectRaw());
      if (!Bytes.empty())
        REQUIRE(::send(Crowd.back(), Bytes.data(), Bytes.size(), 0) > 0);
    }
  };
  const auto Ask = [&] {
    int Status = 0;
    http::ClientHandlers Handlers;
    Handlers.m_OnDone = [&](const Result<http::Response> &Answer) {
      Status = failed(Answer) ? -1 : valueOf(Answer).m_Status;
    };
    http::call(Loop.m_Base, get("/a"), std::move(Handlers));
    REQUIRE(Loop.turnUntil([&] { return Status != 0; }));
    return Status;
  };
  GIVEN("connections on all places that have sent nothing yet") {
    Connect(Places, "");
    REQUIRE(Loop.turnUntil(
        [&] { return valueOf(Server)->connections() == Places; }));
    THEN("one of them makes room for clients that send a request in turn") {
      for (std::size_t I = 0; I < 3; ++I)
        CHECK(Ask() == 200);
      CHECK(Refusals(http::MemoryRefusal::SilentConnection) == 1);
      CHECK(Refusals(http::MemoryRefusal::TooManyConnections) == 0);
    }
    THEN(
        "of many more silent ones a bounded number is kept, for a short time") {
      Connect(100, "");
      REQUIRE(Loop.turnUntil([&] {
        return Refusals(http::MemoryRefusal::TooManyConnections) >= 60;
      }));
      CHECK(valueOf(Server)->connections() > Places);
      CHECK(valueOf(Server)->connections() <= Places + 40);
      CHECK(Ask() == 200);
      CHECK(Loop.turnUntil(
          [&] { return valueOf(Server)->connections() <= Places; }));
    }
    WHEN("the request of one of them is on its way") {
      const std::string Request = "GET /b HTTP/1.1\r\nHost: any\r\n\r\n";
      REQUIRE(::send(Crowd.front(), Request.data(), Request.size(), 0) > 0);
      THEN("it is not the one that makes room") {
        CHECK(Ask() == 200);
        std::string Got;
        CHECK(Loop.turnUntil([&] {
          char Piece[1024];
          const ssize_t Count =
              ::recv(Crowd.front(), Piece, sizeof(Piece), MSG_DONTWAIT);
          if (Count > 0)
            Got.append(Piece, static_cast<std::size_t>(Count));
          return Got.find("/b") != std::string::npos;
        }));
      }
    }
  }
  GIVEN("connections on all places that have been answered") {
    const std::string Request = "GET /c HTTP/1.1\r\nHost: any\r\n\r\n";
    std::map<int, std::string> Got;
    const auto IsAnswered = [&](int Peer) {
      char Piece[1024];
      const ssize_t Count = ::recv(Peer, Piece, sizeof(Piece), MSG_DONTWAIT);
      if (Count > 0)
        Got[Peer].append(Piece, static_cast<std::size_t>(Count));
      return Got[Peer].find("/c") != std::string::npos;
    };
    // Another client connects just before these have been idle for 5 s, and
    // sends nothing until then. \returns whether it still waits for a place,
    // which it does for 0.5 s.
    const auto WaitBesideIdle = [&] {
      Got.clear();
      Connect(Places, Request);
      for (const int Peer : Crowd)
        REQUIRE(Loop.turnUntil([&] { return IsAnswered(Peer); }));
      const TimePoint IdleSince = BootClock::now();
      const auto TurnUntil = [&](TimePoint When) {
        Loop.turnUntil([&] { return BootClock::now() >= When; });
      };
      TurnUntil(IdleSince + 4'800ms);
      Connect(1, "");
      TurnUntil(IdleSince + 5'050ms);
      return valueOf(Server)->connections() == Places + 1;
    };
    WHEN("they are idle, and the next requests of all but one arrive with "
         "another client's") {
      // A machine that is busy may miss the short time.
      constexpr int Attempts = 5;
      bool IsWaiting = WaitBesideIdle();
      for (int I = 1; I < Attempts && !IsWaiting; ++I) {
        for (const int Peer : std::exchange(Crowd, {}))
          ::close(Peer);
        REQUIRE(Loop.turnUntil(
            [&] { return valueOf(Server)->connections() == 0; }));
        IsWaiting = WaitBesideIdle();
      }
      REQUIRE(IsWaiting);
      Got.clear();
      std::rotate(Crowd.begin(), Crowd.end() - 1, Crowd.end());
      const int Silent = Crowd.back();
      for (const int Peer : Crowd)
        if (Peer != Silent)
          REQUIRE(::send(Peer, Request.data(), Request.size(), 0) > 0);
      THEN("that one makes room") {
        for (const int Peer : Crowd)
          if (Peer != Silent)
            CHECK(Loop.turnUntil([&] { return IsAnswered(Peer); }, 2s));
      }
    }
  }
  GIVEN("connections on all places whose requests are being received") {
    Connect(Places, "GET /a HTTP/1.1\r\n");
    REQUIRE(Loop.turnUntil([&] {
      return valueOf(Server)->connections() == Places &&
             Limits.m_Memory->held(http::MemoryPart::Requests) > 0;
    }));
    THEN("another client is told at once that its request has not run") {
      CHECK(Ask() == 503);
      CHECK(Refusals(http::MemoryRefusal::TooManyConnections) == 1);
    }
  }
  for (const int Each : Crowd)
    ::close(Each);
}

SCENARIO("a server that is short of memory reads less and breaks nothing") {
  Loop Loop;
  constexpr std::size_t Length = 3U << 20U;
  http::ServerLimits Limits;
  Limits.m_Memory = std::make_shared<http::MemoryBudget>(
      http::sharesOf(8U << 20U, 1'000, Limits.m_BodyBytes));
  const auto IsFree = [&] {
    for (std::size_t I = 0; I < http::MemoryParts; ++I)
      if (Limits.m_Memory->held(static_cast<http::MemoryPart>(I)) > 0)
        return false;
    return true;
  };
  std::size_t Most = 0;
  auto Server = http::listen(
      Loop.m_Base, At, Limits,
      [&](const std::shared_ptr<http::Exchange> &Arrived) {
        Most = std::max(Most, Limits.m_Memory->held(http::MemoryPart::Bodies));
        Arrived->reply(200, {}, Arrived->request().m_Body);
      });
  REQUIRE(!failed(Server));
  GIVEN("long bodies at once, for one of which there is room") {
    std::vector<std::string> Bodies;
    std::size_t Whole = 0;
    for (char First = 'a'; First < 'g'; ++First) {
      std::string Body(Length, First);
      for (std::size_t I = 0; I < Body.size(); I += 1'001)
        Body[I] = static_cast<char>('A' + I % 26);
      Bodies.push_back(std::move(Body));
    }
    for (const std::string &Body : Bodies) {
      http::ClientRequest What = get("/echo");
      What.m_Method = "POST";
      What.m_Body = Body;
      http::ClientHandlers Handlers;
      Handlers.m_OnDone = [&](const Result<http::Response> &Answer) {
        Whole += !failed(Answer) && valueOf(Answer).m_Status == 200 &&
                 valueOf(Answer).m_Body == Body;
      };
      http::call(Loop.m_Base, std::move(What), std::move(Handlers));
    }
    THEN("each is read and answered whole, and all memory is given back") {
      CHECK(Loop.turnUntil([&] { return Whole == Bodies.size(); }));
      const auto Bound = static_cast<std::size_t>(http::MemoryPart::Bodies);
      CHECK(Most > 0);
      CHECK(Most <= Limits.m_Memory->shares().m_Most[Bound]);
      CHECK(Loop.turnUntil([&] { return IsFree(); }));
    }
  }
  GIVEN("a body that is sent together with a head that asks for leave") {
    const int Peer = connectRaw();
    const std::string Bytes = "POST /a HTTP/1.1\r\nHost: any\r\nExpect: "
                              "100-continue\r\nContent-Length: 5000\r\n\r\n";
    REQUIRE(::send(Peer, Bytes.data(), Bytes.size(), 0) > 0);
    const std::string Body(5'000, 'b');
    REQUIRE(::send(Peer, Body.data(), Body.size(), 0) == 5'000);
    THEN("it is not taken for one that was refused") {
      std::string Got;
      CHECK(Loop.turnUntil([&] {
        char Piece[8192];
        const ssize_t Count = ::recv(Peer, Piece, sizeof(Piece), MSG_DONTWAIT);
        if (Count > 0)
          Got.append(Piece, static_cast<std::size_t>(Count));
        return Got.find(Body) != std::string::npos;
      }));
    }
    ::close(Peer);
  }
  GIVEN("requests sent ahead in one write") {
    const int Peer = connectRaw();
    std::string Bytes;
    for (int I = 0; I < 300; ++I)
      Bytes += "GET /a HTTP/1.1\r\nHost: any\r\n\r\n";
    REQUIRE(::send(Peer, Bytes.data(), Bytes.size(), 0) > 0);
    THEN("all are answered, and all memory is given back") {
      std::string Got;
      const auto Answers = [&] {
        char Piece[65536];
        const ssize_t Count = ::recv(Peer, Piece, sizeof(Piece), MSG_DONTWAIT);
        if (Count > 0)
          Got.append(Piece, static_cast<std::size_t>(Count));
        std::size_t Found = 0;
        for (std::size_t I = Got.find("HTTP/1.1 200"); I != std::string::npos;
             I = Got.find("HTTP/1.1 200", I + 1))
          ++Found;
        return Found;
      };
      CHECK(Loop.turnUntil([&] { return Answers() == 300; }));
      ::close(Peer);
      CHECK(Loop.turnUntil([&] { return IsFree(); }));
    }
  }
}
