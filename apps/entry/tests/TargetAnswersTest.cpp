// What targets answer beside the answer itself, through the whole data path.

#include "Shop.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/format.h>
#include <netinet/in.h>

namespace wasabivale::entry::test {

namespace {

Play errors(int Status, bool IsSigned) {
  return [=](const Exchange &Arrived) {
    Arrived->relay(Status, IsSigned ? stamped(Arrived) : http::Fields{},
                   "the target has failed");
  };
}

http::Fields with(const Exchange &Request, const std::string &Name,
                  const std::string &Value) {
  http::Fields Fields = stamped(Request);
  Fields.emplace_back(Name, Value);
  return Fields;
}

/// Every byte that a caller of a stream receives, heads and framing included.
std::string askRaw(Shop &On, const std::string &Path) {
  bufferevent *Caller =
      bufferevent_socket_new(On.m_Loop.m_Base, -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(EntryPort);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool IsClosed = false;
  bufferevent_setcb(
      Caller, nullptr, nullptr,
      [](bufferevent *, short What, void *Closed) {
        if ((What & BEV_EVENT_CONNECTED) == 0)
          *static_cast<bool *>(Closed) = true;
      },
      &IsClosed);
  bufferevent_socket_connect(Caller, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address));
  bufferevent_enable(Caller, EV_READ | EV_WRITE);
  const std::string Request = "POST " + Path +
                              " HTTP/1.1\r\nHost: shop.example\r\n"
                              "Attempt: r-1\r\nConnection: close\r\n"
                              "Content-Length: 0\r\n\r\n";
  bufferevent_write(Caller, Request.data(), Request.size());
  CHECK(On.m_Loop.until([&] { return IsClosed; }));
  evbuffer *Input = bufferevent_get_input(Caller);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  bufferevent_free(Caller);
  return Bytes;
}

} // namespace

SCENARIO("an error does not stand in the middle of a stream") {
  for (const bool IsSigned : {true, false})
    for (const int Status : {200, 204, 400, 404, 409, 429, 500, 503}) {
      INFO(Status << (IsSigned ? " signed" : " unsigned"));
      Shop On;
      // Fresh runs stall after two events; resumed ones get the error.
      const Play Target = [&](const Exchange &Arrived) {
        if (http::field(Arrived->request().m_Fields, "seen").empty())
          return streams(2, false)(Arrived);
        errors(Status, IsSigned)(Arrived);
      };
      On.open({Target, Target});
      const std::string Got = askRaw(On, "/note/7");
      CHECK(On.m_Seen.size() >= 2);
      CHECK(Got.find(eventText(2)) != Got.npos);
      CHECK(Got.rfind("HTTP/1.1") == 0);
      CHECK(Got.find("the target has failed") == Got.npos);
      // The last chunk would say that the stream is complete.
      CHECK(Got.find("\r\n0\r\n") == Got.npos);
    }
}

SCENARIO("text that is no event breaks a stream off") {
  for (const char *Text :
       {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n",
        "{\"error\": {\"code\": 1}}\n\n", "upstream failed\n\n"}) {
    INFO(Text);
    Shop On;
    On.open({[&](const Exchange &Arrived) {
      http::Fields Head = stamped(Arrived);
      Head.emplace_back("Content-Type", "text/event-stream");
      Arrived->startRelay(200, Head);
      Arrived->write(eventText(1) + Text);
      Arrived->finish();
    }});
    const Answered Got = On.ask("POST", "/advice/7");
    CHECK(Got.m_Status == 0);
    // The event before it may be lost with the connection.
    CHECK((Got.m_Body.empty() || Got.m_Body == eventText(1)));
  }
}

SCENARIO("a status that promises is passed on only with its proof") {
  for (const int Status : {408, 429, 503}) {
    Shop On;
    On.open({answers(Status, "busy")});
    CHECK(On.ask("POST", "/book/7").m_Status == 502);
    CHECK(On.m_Seen.size() == 1);
  }
}

SCENARIO("a repeated refusal is no promise about the next request") {
  Shop On;
  // Refuses the first request, and answers every other with that refusal.
  http::Fields First;
  On.open({[&](const Exchange &Arrived) {
    if (First.empty())
      First = with(Arrived, "Not-Run", "1");
    Arrived->relay(503, First, "");
  }});
  (void)On.ask("POST", "/book/7");
  const std::size_t Before = On.m_Seen.size();
  const Answered Got = On.ask("POST", "/book/7", {{"Attempt", "r-2"}});
  REQUIRE(On.m_Seen.size() > Before);
  // The caller is told nothing certain, and it runs at no second target.
  if (http::field(On.m_Seen.back().m_Fields, "attempt") == "r-2")
    CHECK(Got.m_Status == 502);
}

} // namespace wasabivale::entry::test
