#include "Holder.h"

#include "Sockets.h"
#include "daemon/daemon.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/format.h>

namespace wasabivale::relaybench {

namespace {

struct Held {
  std::size_t m_Wanted = 0;
  std::size_t m_Up = 0;
  bool m_AwaitsAnswer = false;
};

struct Connection {
  Held *m_All = nullptr;
  bool m_Up = false;
};

void noteUp(Connection &Here) {
  if (std::exchange(Here.m_Up, true))
    return;
  if (++Here.m_All->m_Up < Here.m_All->m_Wanted)
    return;
  fmt::print("open {}\n", Here.m_All->m_Up);
  std::fflush(stdout);
}

[[noreturn]] void giveUp(const std::string &Why) {
  fmt::print(stderr, "{}\n", Why);
  std::exit(daemon::ExitFailed);
}

void checkStatus(evbuffer *Input) {
  constexpr std::string_view Good = "HTTP/1.1 200";
  std::string Start(Good.size(), ' ');
  evbuffer_copyout(Input, Start.data(), Start.size());
  if (Start != Good)
    giveUp("a request got: " + Start);
}

void onRead(bufferevent *From, void *Argument) {
  evbuffer *Input = bufferevent_get_input(From);
  if (!static_cast<Connection *>(Argument)->m_Up)
    checkStatus(Input);
  evbuffer_drain(Input, evbuffer_get_length(Input));
  noteUp(*static_cast<Connection *>(Argument));
}

void onEvent(bufferevent *, short What, void *Argument) {
  auto &Here = *static_cast<Connection *>(Argument);
  if ((What & BEV_EVENT_CONNECTED) == 0)
    giveUp("a connection broke");
  if (!Here.m_All->m_AwaitsAnswer)
    noteUp(Here);
}

} // namespace

void hold(event_base *Loop, const Holding &What) {
  // They live as long as the process.
  static Held All;
  static std::vector<Connection> Connections;
  All = {What.m_Count, 0, !What.m_Bytes.empty()};
  Connections.assign(What.m_Count, Connection{&All, false});
  sockaddr_in To = toSocketAddress(What.m_To);
  for (Connection &Each : Connections) {
    bufferevent *Buffer =
        bufferevent_socket_new(Loop, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(Buffer, onRead, nullptr, onEvent, &Each);
    bufferevent_enable(Buffer, EV_READ | EV_WRITE);
    bufferevent_write(Buffer, What.m_Bytes.data(), What.m_Bytes.size());
    bufferevent_socket_connect(Buffer, reinterpret_cast<sockaddr *>(&To),
                               sizeof(To));
  }
}

} // namespace wasabivale::relaybench
