#include "CutAnswer.h"

#include "http/http.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <map>
#include <netinet/in.h>

namespace wasabivale::entry::test {

struct CutAnswer::State {
  event_base *m_Loop = nullptr;
  evconnlistener *m_Listener = nullptr;
  std::string m_Bytes;
  CutBy m_Ending = CutBy::Close;
  /// Open connections; those that have been answered wait for their end.
  std::map<bufferevent *, std::unique_ptr<http::Timer>> m_Open;
  std::size_t m_Requests = 0;

  void end(bufferevent *Connection) {
    if (m_Ending == CutBy::Reset) {
      const linger Abort{1, 0};
      setsockopt(bufferevent_getfd(Connection), SOL_SOCKET, SO_LINGER, &Abort,
                 sizeof(Abort));
    }
    bufferevent_free(Connection);
    m_Open.erase(Connection);
  }

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    bufferevent *Connection =
        bufferevent_socket_new(Self.m_Loop, Socket, BEV_OPT_CLOSE_ON_FREE);
    Self.m_Open[Connection] = nullptr;
    bufferevent_setcb(Connection, onRead, nullptr, onEnd, Owner);
    bufferevent_enable(Connection, EV_READ | EV_WRITE);
  }

  static void onRead(bufferevent *Connection, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    evbuffer *Input = bufferevent_get_input(Connection);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    std::unique_ptr<http::Timer> &Ending = Self.m_Open.at(Connection);
    if (Ending != nullptr)
      return;
    ++Self.m_Requests;
    bufferevent_write(Connection, Self.m_Bytes.data(), Self.m_Bytes.size());
    // The request is read whole and the bytes are written by then.
    Ending = std::make_unique<http::Timer>(
        Self.m_Loop, std::chrono::milliseconds(3), false,
        [&Self, Connection] { Self.end(Connection); });
  }

  static void onEnd(bufferevent *Connection, short, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    bufferevent_free(Connection);
    Self.m_Open.erase(Connection);
  }
};

CutAnswer::CutAnswer(event_base *Loop, std::uint16_t Port, std::string Bytes,
                     CutBy Ending)
    : m_State(std::make_unique<State>()) {
  m_State->m_Loop = Loop;
  m_State->m_Bytes = std::move(Bytes);
  m_State->m_Ending = Ending;
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_port = htons(Port);
  Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  m_State->m_Listener = evconnlistener_new_bind(
      Loop, State::onAccept, m_State.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Local), sizeof(Local));
  REQUIRE(m_State->m_Listener != nullptr);
}

CutAnswer::~CutAnswer() {
  for (auto &[Connection, Ending] : m_State->m_Open)
    bufferevent_free(Connection);
  evconnlistener_free(m_State->m_Listener);
}

std::size_t CutAnswer::requests() const { return m_State->m_Requests; }

std::vector<WholeAnswer> wholeAnswers(const std::string &Fields,
                                      const std::string &Body) {
  const auto Answer = [&](const char *Name, const std::string &StatusLine,
                          const std::string &Framing, const std::string &Rest,
                          bool EndsWithConnection) {
    const std::string Head = StatusLine + "\r\n" + Fields + Framing + "\r\n";
    return WholeAnswer{Name, Head + Rest, Head.size(), EndsWithConnection};
  };
  const std::string Length = fmt::format("Content-Length: {}\r\n", Body.size());
  const std::size_t Half = Body.size() / 2;
  const std::string Chunks =
      fmt::format("{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n", Half,
                  Body.substr(0, Half), Body.size() - Half, Body.substr(Half));
  return {
      Answer("length", "HTTP/1.1 200 OK", Length, Body, false),
      Answer("chunks", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
             Chunks, false),
      Answer("no length", "HTTP/1.1 200 OK", "", Body, true),
      Answer("HTTP/1.0", "HTTP/1.0 200 OK", "", Body, true),
  };
}

} // namespace wasabivale::entry::test
