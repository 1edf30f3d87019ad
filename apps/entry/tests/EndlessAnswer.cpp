#include "EndlessAnswer.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <set>

namespace wasabivale::entry::test {

struct EndlessAnswer::State {
  event_base *m_Loop = nullptr;
  evconnlistener *m_Listener = nullptr;
  std::string m_Start;
  std::string m_Repeated;
  std::set<bufferevent *> m_Open;
  std::size_t m_Requests = 0;
  std::size_t m_Sent = 0;

  void send(bufferevent *To, const std::string &Text) {
    m_Sent += Text.size();
    bufferevent_write(To, Text.data(), Text.size());
  }

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    bufferevent *Made =
        bufferevent_socket_new(Self.m_Loop, Socket, BEV_OPT_CLOSE_ON_FREE);
    Self.m_Open.insert(Made);
    bufferevent_setcb(Made, onRead, nullptr, onEnd, Owner);
    bufferevent_enable(Made, EV_READ | EV_WRITE);
  }

  static void onRead(bufferevent *From, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    ++Self.m_Requests;
    evbuffer *Input = bufferevent_get_input(From);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    bufferevent_setcb(From, onRead, onWritten, onEnd, Owner);
    Self.send(From, Self.m_Start);
  }

  static void onWritten(bufferevent *To, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    Self.send(To, Self.m_Repeated);
  }

  static void onEnd(bufferevent *Which, short, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    Self.m_Open.erase(Which);
    bufferevent_free(Which);
  }
};

EndlessAnswer::EndlessAnswer(event_base *Loop, std::uint16_t Port,
                             std::string Start, std::string Repeated)
    : m_State(std::make_unique<State>()) {
  m_State->m_Loop = Loop;
  m_State->m_Start = std::move(Start);
  m_State->m_Repeated = std::move(Repeated);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Port);
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  m_State->m_Listener =
      evconnlistener_new_bind(Loop, State::onAccept, m_State.get(),
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                              reinterpret_cast<sockaddr *>(&At), sizeof(At));
  REQUIRE(m_State->m_Listener != nullptr);
}

EndlessAnswer::~EndlessAnswer() {
  for (bufferevent *Each : m_State->m_Open)
    bufferevent_free(Each);
  evconnlistener_free(m_State->m_Listener);
}

std::size_t EndlessAnswer::requests() const { return m_State->m_Requests; }
bool EndlessAnswer::isClosed() const { return m_State->m_Open.empty(); }
std::size_t EndlessAnswer::bytesSent() const { return m_State->m_Sent; }

} // namespace wasabivale::entry::test
