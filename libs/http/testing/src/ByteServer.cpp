#include "http_testing/http_testing.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace wasabivale::http::testing {

namespace {

/// Pause between two pieces, so that they are read apart.
constexpr std::chrono::milliseconds PieceDelay{1};

} // namespace

struct ByteServer::State {
  struct Connection {
    std::string m_Request;
    std::string m_Unsent{};
    std::unique_ptr<Timer> m_Next{};
  };

  event_base *m_Loop = nullptr;
  ByteServerSettings m_Settings;
  evconnlistener *m_Listener = nullptr;
  Address m_Address;
  std::map<bufferevent *, Connection> m_Open;
  std::size_t m_Requests = 0;

  void close(bufferevent *Peer) {
    m_Open.erase(Peer);
    bufferevent_free(Peer);
  }

  void end(bufferevent *Peer) {
    if (m_Settings.m_Ending == Ending::Reset) {
      const linger Abort{1, 0};
      setsockopt(bufferevent_getfd(Peer), SOL_SOCKET, SO_LINGER, &Abort,
                 sizeof(Abort));
    }
    close(Peer);
  }

  void endLater(bufferevent *Peer) {
    if (m_Settings.m_Ending == Ending::Open)
      return;
    if (m_Settings.m_Ending == Ending::Closed)
      return close(Peer);
    m_Open.at(Peer).m_Next = std::make_unique<Timer>(
        m_Loop, m_Settings.m_EndDelay, false, [this, Peer] { end(Peer); });
  }

  void sendPiece(bufferevent *Peer) {
    Connection &Open = m_Open.at(Peer);
    const std::string Piece = Open.m_Unsent.substr(
        0, m_Settings.m_PieceBytes > 0 ? m_Settings.m_PieceBytes
                                       : std::string::npos);
    // The responses of tests fit the socket's buffer.
    if (!Piece.empty())
      ::send(bufferevent_getfd(Peer), Piece.data(), Piece.size(), MSG_NOSIGNAL);
    Open.m_Unsent.erase(0, Piece.size());
    if (Open.m_Unsent.empty())
      return endLater(Peer);
    Open.m_Next = std::make_unique<Timer>(m_Loop, PieceDelay, false,
                                          [this, Peer] { sendPiece(Peer); });
  }

  void answer(bufferevent *Peer) {
    ++m_Requests;
    Connection &Open = m_Open.at(Peer);
    Open.m_Unsent = m_Settings.m_Choose ? m_Settings.m_Choose(Open.m_Request)
                                        : m_Settings.m_Bytes;
    Open.m_Request.clear();
    sendPiece(Peer);
  }

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    const int NoDelay = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof(NoDelay));
    bufferevent *Peer =
        bufferevent_socket_new(Self.m_Loop, Socket, BEV_OPT_CLOSE_ON_FREE);
    Self.m_Open[Peer];
    bufferevent_setcb(Peer, onRead, nullptr, onEnd, Owner);
    bufferevent_enable(Peer, EV_READ);
  }

  static void onRead(bufferevent *Peer, void *Owner) {
    auto &Self = *static_cast<State *>(Owner);
    std::string &Request = Self.m_Open.at(Peer).m_Request;
    evbuffer *Input = bufferevent_get_input(Peer);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    Request += Bytes;
    if (Self.m_Settings.m_AnswersEarly) {
      bufferevent_disable(Peer, EV_READ);
      return Self.answer(Peer);
    }
    // The tests' bodies state their length and are short.
    const std::size_t HeadEnd = Request.find("\r\n\r\n");
    if (HeadEnd == Request.npos)
      return;
    constexpr std::string_view LengthField = "Content-Length: ";
    const std::size_t Length = Request.find(LengthField);
    const std::size_t BodyBytes =
        Length < HeadEnd
            ? std::strtoul(&Request[Length + LengthField.size()], nullptr, 10)
            : 0;
    if (Request.size() - HeadEnd - 4 < BodyBytes)
      return;
    Self.answer(Peer);
  }

  static void onEnd(bufferevent *Peer, short, void *Owner) {
    static_cast<State *>(Owner)->close(Peer);
  }
};

ByteServer::ByteServer(event_base *Loop, ByteServerSettings Settings)
    : m_State(std::make_unique<State>()) {
  m_State->m_Loop = Loop;
  m_State->m_Settings = std::move(Settings);
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_port = htons(m_State->m_Settings.m_Port);
  Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Local);
  m_State->m_Listener =
      evconnlistener_new_bind(Loop, State::onAccept, m_State.get(),
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                              reinterpret_cast<sockaddr *>(&Local), Length);
  // Without it no test of the process can go on.
  if (m_State->m_Listener == nullptr ||
      getsockname(evconnlistener_get_fd(m_State->m_Listener),
                  reinterpret_cast<sockaddr *>(&Local), &Length) != 0)
    std::abort();
  m_State->m_Address = {"127.0.0.1", ntohs(Local.sin_port)};
}

ByteServer::~ByteServer() {
  for (auto &[Peer, Open] : m_State->m_Open)
    bufferevent_free(Peer);
  evconnlistener_free(m_State->m_Listener);
}

const Address &ByteServer::address() const { return m_State->m_Address; }

std::size_t ByteServer::requests() const { return m_State->m_Requests; }

std::size_t ByteServer::openConnections() const {
  return m_State->m_Open.size();
}

} // namespace wasabivale::http::testing
