#include "Relay.h"

#include "Sockets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace wasabivale::relaybench {

namespace {

/// One side of a connection that is passed on. The side that ends first leaves
/// the other to write out what it holds.
struct Side {
  bufferevent *m_Buffer = nullptr;
  Side *m_Other = nullptr;
};

void closeSide(Side *Over) {
  if (Over->m_Other != nullptr)
    Over->m_Other->m_Other = nullptr;
  bufferevent_free(Over->m_Buffer);
  delete Over;
}

void onRead(bufferevent *From, void *Argument) {
  auto *Here = static_cast<Side *>(Argument);
  evbuffer *Input = bufferevent_get_input(From);
  if (Here->m_Other == nullptr)
    evbuffer_drain(Input, evbuffer_get_length(Input));
  else
    bufferevent_write_buffer(Here->m_Other->m_Buffer, Input);
}

void onWritten(bufferevent *, void *Argument) {
  auto *Here = static_cast<Side *>(Argument);
  if (Here->m_Other == nullptr)
    closeSide(Here);
}

void onEvent(bufferevent *, short What, void *Argument) {
  if ((What & BEV_EVENT_CONNECTED) != 0)
    return;
  auto *Here = static_cast<Side *>(Argument);
  Side *Other = Here->m_Other;
  closeSide(Here);
  if (Other == nullptr)
    return;
  if (evbuffer_get_length(bufferevent_get_output(Other->m_Buffer)) == 0)
    closeSide(Other);
}

Side *makeSide(event_base *Loop, evutil_socket_t Descriptor) {
  auto *Made = new Side;
  Made->m_Buffer =
      bufferevent_socket_new(Loop, Descriptor, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(Made->m_Buffer, onRead, onWritten, onEvent, Made);
  return Made;
}

void onAccept(evconnlistener *Listener, evutil_socket_t Descriptor, sockaddr *,
              int, void *Argument) {
  event_base *Loop = evconnlistener_get_base(Listener);
  Side *Caller = makeSide(Loop, Descriptor);
  Side *Target = makeSide(Loop, -1);
  Caller->m_Other = Target;
  Target->m_Other = Caller;
  bufferevent_enable(Caller->m_Buffer, EV_READ | EV_WRITE);
  bufferevent_enable(Target->m_Buffer, EV_READ | EV_WRITE);
  sockaddr_in To = *static_cast<sockaddr_in *>(Argument);
  bufferevent_socket_connect(Target->m_Buffer,
                             reinterpret_cast<sockaddr *>(&To), sizeof(To));
}

} // namespace

bool relay(event_base *Loop, const http::Address &At, const http::Address &To) {
  constexpr int AnyBacklog = -1;
  static sockaddr_in Target;
  Target = toSocketAddress(To);
  sockaddr_in Here = toSocketAddress(At);
  return evconnlistener_new_bind(
             Loop, onAccept, &Target, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
             AnyBacklog, reinterpret_cast<sockaddr *>(&Here),
             sizeof(Here)) != nullptr;
}

} // namespace wasabivale::relaybench
