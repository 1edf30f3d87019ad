#include "Links.h"

#include <algorithm>
#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabivale::soak {

namespace {

constexpr int EntrySide = 0;
constexpr int TargetSide = 1;

sockaddr_in toSocketAddress(const http::Address &Address) {
  sockaddr_in Socket{};
  Socket.sin_family = AF_INET;
  Socket.sin_port = htons(Address.m_Port);
  inet_pton(AF_INET, Address.m_Host.c_str(), &Socket.sin_addr);
  return Socket;
}

} // namespace

struct Links::Gate {
  Links *m_Links = nullptr;
  unsigned m_Target = 0;
  http::Address m_Front;
  http::Address m_Back;
  evconnlistener *m_Listener = nullptr;
};

struct Links::Pipe {
  struct Piece {
    TimePoint m_DueAt;
    std::string m_Bytes;
  };
  /// What has arrived from one side.
  struct Flow {
    bufferevent *m_Socket = nullptr;
    std::deque<Piece> m_Waiting;
    bool m_HasEnded = false;
    bool m_WasReset = false;
  };

  Links *m_Links = nullptr;
  unsigned m_Target = 0;
  http::Address m_Front;
  std::uint16_t m_PeerPort = 0;
  std::optional<unsigned> m_Entry; ///< Known once it has sent something.
  Flow m_Flows[2];
  bool m_IsDone = false;
};

Links::Links(event_base *Loop, FindEntry Find)
    : m_Loop(Loop), m_Find(std::move(Find)) {}

Links::~Links() {
  while (!m_Gates.empty())
    close(m_Gates.begin()->first);
}

Status Links::open(unsigned Target, const http::Address &Front,
                   const http::Address &Back) {
  auto Added = std::make_unique<Gate>();
  Added->m_Links = this;
  Added->m_Target = Target;
  Added->m_Front = Front;
  Added->m_Back = Back;
  const sockaddr_in Bound = toSocketAddress(Front);
  Added->m_Listener = evconnlistener_new_bind(
      m_Loop,
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *Peer, int,
         void *Context) {
        auto *Through = static_cast<Gate *>(Context);
        Through->m_Links->accept(
            *Through, Socket,
            ntohs(reinterpret_cast<sockaddr_in *>(Peer)->sin_port));
      },
      Added.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<const sockaddr *>(&Bound), sizeof(Bound));
  if (Added->m_Listener == nullptr)
    return Error{"links.open", http::printAddress(Front), "cannot listen"};
  m_Gates[Target] = std::move(Added);
  return std::monostate{};
}

void Links::close(unsigned Target) {
  if (const auto Found = m_Gates.find(Target); Found != m_Gates.end()) {
    evconnlistener_free(Found->second->m_Listener);
    m_Gates.erase(Found);
  }
  for (const auto &Open : m_Pipes)
    if (Open->m_Target == Target)
      resetPipe(*Open);
  sweep();
}

void Links::accept(Gate &Listener, int Socket, std::uint16_t PeerPort) {
  auto Added = std::make_unique<Pipe>();
  Pipe &Connection = *Added;
  Connection.m_Links = this;
  Connection.m_Target = Listener.m_Target;
  Connection.m_Front = Listener.m_Front;
  Connection.m_PeerPort = PeerPort;
  evutil_make_socket_nonblocking(Socket);
  Connection.m_Flows[EntrySide].m_Socket =
      bufferevent_socket_new(m_Loop, Socket, BEV_OPT_CLOSE_ON_FREE);
  Connection.m_Flows[TargetSide].m_Socket =
      bufferevent_socket_new(m_Loop, -1, BEV_OPT_CLOSE_ON_FREE);
  for (Pipe::Flow &Side : Connection.m_Flows) {
    bufferevent_setcb(
        Side.m_Socket,
        [](bufferevent *Peer, void *Context) {
          auto *Through = static_cast<Pipe *>(Context);
          Through->m_Links->read(*Through,
                                 Peer == Through->m_Flows[EntrySide].m_Socket
                                     ? EntrySide
                                     : TargetSide);
        },
        nullptr,
        [](bufferevent *Peer, short Events, void *Context) {
          if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
          auto *Through = static_cast<Pipe *>(Context);
          Pipe::Flow &Ended =
              Through->m_Flows[Peer == Through->m_Flows[EntrySide].m_Socket
                                   ? EntrySide
                                   : TargetSide];
          Ended.m_HasEnded = true;
          Ended.m_WasReset = (Events & BEV_EVENT_ERROR) != 0;
        },
        &Connection);
    bufferevent_enable(Side.m_Socket, EV_READ | EV_WRITE);
  }
  sockaddr_in Back = toSocketAddress(Listener.m_Back);
  bufferevent_socket_connect(Connection.m_Flows[TargetSide].m_Socket,
                             reinterpret_cast<sockaddr *>(&Back), sizeof(Back));
  m_Pipes.push_back(std::move(Added));
}

bool Links::isHeld(const Pipe &Connection, int Side, TimePoint Now) const {
  if (const auto Found = m_Silent.find(Connection.m_Target);
      Found != m_Silent.end() && Now < Found->second)
    return true;
  if (!Connection.m_Entry)
    return false;
  const auto Found = m_Cuts.find(*Connection.m_Entry);
  return Found != m_Cuts.end() &&
         Now < (Side == EntrySide ? Found->second.m_ToTargetUntil
                                  : Found->second.m_ToEntryUntil);
}

void Links::read(Pipe &Connection, int Side) {
  const TimePoint Now = BootClock::now();
  Pipe::Flow &Source = Connection.m_Flows[Side];
  evbuffer *Bytes = bufferevent_get_input(Source.m_Socket);
  std::string Text(evbuffer_get_length(Bytes), '\0');
  evbuffer_remove(Bytes, Text.data(), Text.size());
  if (Side == EntrySide && !Connection.m_Entry)
    Connection.m_Entry =
        m_Find(Text, Connection.m_Front, Connection.m_PeerPort);
  TimePoint DueAt = Now;
  if (Connection.m_Entry)
    if (const auto Found =
            m_Slow.find({*Connection.m_Entry, Connection.m_Target});
        Found != m_Slow.end() && Now < Found->second.m_Until)
      DueAt += Found->second.m_Extra;
  if (!Source.m_Waiting.empty())
    DueAt = std::max(DueAt, Source.m_Waiting.back().m_DueAt);
  Source.m_Waiting.push_back({DueAt, std::move(Text)});
  flush(Connection, Side, Now);
}

void Links::flush(Pipe &Connection, int Side, TimePoint Now) {
  if (Connection.m_IsDone || isHeld(Connection, Side, Now))
    return;
  Pipe::Flow &Source = Connection.m_Flows[Side];
  bufferevent *Sink = Connection.m_Flows[1 - Side].m_Socket;
  while (!Source.m_Waiting.empty() && Source.m_Waiting.front().m_DueAt <= Now) {
    const std::string &Bytes = Source.m_Waiting.front().m_Bytes;
    bufferevent_write(Sink, Bytes.data(), Bytes.size());
    Source.m_Waiting.pop_front();
  }
  if (!Source.m_HasEnded || !Source.m_Waiting.empty())
    return;
  if (Source.m_WasReset)
    resetPipe(Connection);
  else if (evbuffer_get_length(bufferevent_get_output(Sink)) == 0)
    Connection.m_IsDone = true;
}

void Links::resetPipe(Pipe &Connection) {
  constexpr linger AtOnce{1, 0};
  for (const Pipe::Flow &Side : Connection.m_Flows)
    if (const int Socket = bufferevent_getfd(Side.m_Socket); Socket >= 0)
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof(AtOnce));
  Connection.m_IsDone = true;
}

void Links::sweep() {
  m_Pipes.remove_if([](const std::unique_ptr<Pipe> &Open) {
    if (!Open->m_IsDone)
      return false;
    for (const Pipe::Flow &Side : Open->m_Flows)
      bufferevent_free(Side.m_Socket);
    return true;
  });
}

void Links::cut(unsigned Entry, Cut Direction, TimePoint Until) {
  Closed &Link = m_Cuts[Entry];
  if (Direction != Cut::ToEntry)
    Link.m_ToTargetUntil = std::max(Link.m_ToTargetUntil, Until);
  if (Direction != Cut::ToTarget)
    Link.m_ToEntryUntil = std::max(Link.m_ToEntryUntil, Until);
}

void Links::silence(unsigned Target, TimePoint Until) {
  m_Silent[Target] = std::max(m_Silent[Target], Until);
}

void Links::delay(unsigned Entry, unsigned Target,
                  std::chrono::milliseconds Extra, TimePoint Until) {
  m_Slow[{Entry, Target}] = {Extra, Until};
}

void Links::reset(unsigned Entry, unsigned Target) {
  for (const auto &Open : m_Pipes)
    if (Open->m_Entry == Entry && Open->m_Target == Target)
      resetPipe(*Open);
}

void Links::resetEntry(unsigned Entry) {
  for (const auto &Open : m_Pipes)
    if (Open->m_Entry == Entry)
      resetPipe(*Open);
}

void Links::turn(TimePoint Now) {
  for (const auto &Open : m_Pipes)
    for (const int Side : {EntrySide, TargetSide})
      flush(*Open, Side, Now);
  sweep();
}

} // namespace wasabivale::soak
