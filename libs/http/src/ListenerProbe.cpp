#include "http/http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace wasabivale::http {

struct ListenerProbe::State {
  bufferevent *m_Buffer = nullptr;
  std::optional<Timer> m_Deadline;
  std::optional<ListenerState> m_Found;
  std::function<void(ListenerState)> m_Done;

  ~State() {
    if (m_Buffer != nullptr)
      bufferevent_free(m_Buffer);
  }

  /// Ends the probe from a fresh turn of the loop: the callback may destroy it.
  void finish(event_base *Loop, ListenerState Found) {
    if (m_Found)
      return;
    m_Found = Found;
    m_Deadline.emplace(Loop, std::chrono::milliseconds(0), false, [this] {
      const auto Done = std::move(m_Done);
      Done(*m_Found);
    });
  }

  static void onEvent(bufferevent *Buffer, short What, void *Argument) {
    ListenerState Found = ListenerState::Failed;
    if ((What & BEV_EVENT_CONNECTED) != 0)
      Found = ListenerState::Listening;
    else if (EVUTIL_SOCKET_ERROR() == ECONNREFUSED)
      Found = ListenerState::Refused;
    static_cast<State *>(Argument)->finish(bufferevent_get_base(Buffer), Found);
  }
};

ListenerProbe::ListenerProbe(event_base *Loop, const Address &Server,
                             TimePoint Deadline,
                             std::function<void(ListenerState)> Done)
    : m_State(std::make_unique<State>()) {
  State &Open = *m_State;
  Open.m_Done = std::move(Done);
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max<Duration>(Deadline - BootClock::now(), Duration(0)));
  Open.m_Deadline.emplace(Loop, Left, false, [&Open, Loop] {
    Open.finish(Loop, ListenerState::Unknown);
  });
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_port = htons(Server.m_Port);
  Open.m_Buffer = bufferevent_socket_new(Loop, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(Open.m_Buffer, nullptr, nullptr, State::onEvent, &Open);
  const bool Started =
      inet_pton(AF_INET, Server.m_Host.c_str(), &Peer.sin_addr) == 1 &&
      bufferevent_socket_connect(Open.m_Buffer,
                                 reinterpret_cast<const sockaddr *>(&Peer),
                                 sizeof(Peer)) == 0;
  if (!Started)
    Open.finish(Loop, ListenerState::Failed);
}

ListenerProbe::~ListenerProbe() = default;

} // namespace wasabivale::http
