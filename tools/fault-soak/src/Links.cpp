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

sockaddr_in toSocketAddress(const http::Address &From) {
  sockaddr_in Made{};
  Made.sin_family = AF_INET;
  Made.sin_port = htons(From.m_Port);
  inet_pton(AF_INET, From.m_Host.c_str(), &Made.sin_addr);
  return Made;
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
  Flow m_From[2];
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
  auto Made = std::make_unique<Gate>();
  Made->m_Links = this;
  Made->m_Target = Target;
  Made->m_Front = Front;
  Made->m_Back = Back;
  const sockaddr_in At = toSocketAddress(Front);
  Made->m_Listener = evconnlistener_new_bind(
      m_Loop,
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *Peer, int,
         void *Context) {
        auto *Through = static_cast<Gate *>(Context);
        Through->m_Links->accept(
            *Through, Socket,
            ntohs(reinterpret_cast<sockaddr_in *>(Peer)->sin_port));
      },
      Made.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<const sockaddr *>(&At), sizeof(At));
  if (Made->m_Listener == nullptr)
    return Error{"links.open", http::printAddress(Front), "cannot listen"};
  m_Gates[Target] = std::move(Made);
  return std::monostate{};
}

void Links::close(unsigned Target) {
  if (const auto Found = m_Gates.find(Target); Found != m_Gates.end()) {
    evconnlistener_free(Found->second->m_Listener);
    m_Gates.erase(Found);
  }
  for (const auto &Each : m_Pipes)
    if (Each->m_Target == Target)
      resetPipe(*Each);
  sweep();
}

void Links::accept(Gate &At, int Socket, std::uint16_t PeerPort) {
  auto Made = std::make_unique<Pipe>();
  Pipe &On = *Made;
  On.m_Links = this;
  On.m_Target = At.m_Target;
  On.m_Front = At.m_Front;
  On.m_PeerPort = PeerPort;
  evutil_make_socket_nonblocking(Socket);
  On.m_From[EntrySide].m_Socket =
      bufferevent_socket_new(m_Loop, Socket, BEV_OPT_CLOSE_ON_FREE);
  On.m_From[TargetSide].m_Socket =
      bufferevent_socket_new(m_Loop, -1, BEV_OPT_CLOSE_ON_FREE);
  for (Pipe::Flow &Each : On.m_From) {
    bufferevent_setcb(
        Each.m_Socket,
        [](bufferevent *From, void *Context) {
          auto *Through = static_cast<Pipe *>(Context);
          Through->m_Links->read(*Through,
                                 From == Through->m_From[EntrySide].m_Socket
                                     ? EntrySide
                                     : TargetSide);
        },
        nullptr,
        [](bufferevent *From, short What, void *Context) {
          if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
          auto *Through = static_cast<Pipe *>(Context);
          Pipe::Flow &Ended =
              Through->m_From[From == Through->m_From[EntrySide].m_Socket
                                  ? EntrySide
                                  : TargetSide];
          Ended.m_HasEnded = true;
          Ended.m_WasReset = (What & BEV_EVENT_ERROR) != 0;
        },
        &On);
    bufferevent_enable(Each.m_Socket, EV_READ | EV_WRITE);
  }
  sockaddr_in Back = toSocketAddress(At.m_Back);
  bufferevent_socket_connect(On.m_From[TargetSide].m_Socket,
                             reinterpret_cast<sockaddr *>(&Back), sizeof(Back));
  m_Pipes.push_back(std::move(Made));
}

bool Links::isHeld(const Pipe &On, int Side, TimePoint Now) const {
  if (const auto Found = m_Silent.find(On.m_Target);
      Found != m_Silent.end() && Now < Found->second)
    return true;
  if (!On.m_Entry)
    return false;
  const auto Found = m_Cuts.find(*On.m_Entry);
  return Found != m_Cuts.end() &&
         Now < (Side == EntrySide ? Found->second.m_ToTargetUntil
                                  : Found->second.m_ToEntryUntil);
}

void Links::read(Pipe &On, int Side) {
  const TimePoint Now = BootClock::now();
  Pipe::Flow &From = On.m_From[Side];
  evbuffer *Bytes = bufferevent_get_input(From.m_Socket);
  std::string Text(evbuffer_get_length(Bytes), '\0');
  evbuffer_remove(Bytes, Text.data(), Text.size());
  if (Side == EntrySide && !On.m_Entry)
    On.m_Entry = m_Find(Text, On.m_Front, On.m_PeerPort);
  TimePoint DueAt = Now;
  if (On.m_Entry)
    if (const auto Found = m_Slow.find({*On.m_Entry, On.m_Target});
        Found != m_Slow.end() && Now < Found->second.m_Until)
      DueAt += Found->second.m_Extra;
  if (!From.m_Waiting.empty())
    DueAt = std::max(DueAt, From.m_Waiting.back().m_DueAt);
  From.m_Waiting.push_back({DueAt, std::move(Text)});
  flush(On, Side, Now);
}

void Links::flush(Pipe &On, int Side, TimePoint Now) {
  if (On.m_IsDone || isHeld(On, Side, Now))
    return;
  Pipe::Flow &From = On.m_From[Side];
  bufferevent *To = On.m_From[1 - Side].m_Socket;
  while (!From.m_Waiting.empty() && From.m_Waiting.front().m_DueAt <= Now) {
    const std::string &Bytes = From.m_Waiting.front().m_Bytes;
    bufferevent_write(To, Bytes.data(), Bytes.size());
    From.m_Waiting.pop_front();
  }
  if (!From.m_HasEnded || !From.m_Waiting.empty())
    return;
  if (From.m_WasReset)
    resetPipe(On);
  else if (evbuffer_get_length(bufferevent_get_output(To)) == 0)
    On.m_IsDone = true;
}

void Links::resetPipe(Pipe &On) {
  constexpr linger AtOnce{1, 0};
  for (const Pipe::Flow &Each : On.m_From)
    if (const int Socket = bufferevent_getfd(Each.m_Socket); Socket >= 0)
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof(AtOnce));
  On.m_IsDone = true;
}

void Links::sweep() {
  m_Pipes.remove_if([](const std::unique_ptr<Pipe> &Each) {
    if (!Each->m_IsDone)
      return false;
    for (const Pipe::Flow &From : Each->m_From)
      bufferevent_free(From.m_Socket);
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
  for (const auto &Each : m_Pipes)
    if (Each->m_Entry == Entry && Each->m_Target == Target)
      resetPipe(*Each);
}

void Links::resetEntry(unsigned Entry) {
  for (const auto &Each : m_Pipes)
    if (Each->m_Entry == Entry)
      resetPipe(*Each);
}

void Links::turn(TimePoint Now) {
  for (const auto &Each : m_Pipes)
    for (const int Side : {EntrySide, TargetSide})
      flush(*Each, Side, Now);
  sweep();
}

} // namespace wasabivale::soak
