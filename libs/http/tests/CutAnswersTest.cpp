// Answers that end early.

#include "http/http.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace wasabivale;
using namespace std::chrono_literals;

namespace {

enum class End : std::uint8_t {
  Closed,      ///< With the last byte.
  ClosedLater, ///< Once the last byte has been read.
  Reset,       ///< Once the last byte has been read.
};

/// A server that answers every connection with the same bytes and ends it.
class RawServer {
public:
  RawServer(event_base *Loop, std::string Bytes, End Ending)
      : m_Loop(Loop), m_Bytes(std::move(Bytes)), m_Ending(Ending),
        m_Socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in Local{};
    Local.sin_family = AF_INET;
    Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Local);
    REQUIRE(::bind(m_Socket, reinterpret_cast<sockaddr *>(&Local), Length) ==
            0);
    REQUIRE(::listen(m_Socket, 16) == 0);
    REQUIRE(::getsockname(m_Socket, reinterpret_cast<sockaddr *>(&Local),
                          &Length) == 0);
    m_Address = {"127.0.0.1", ntohs(Local.sin_port)};
    m_Accepting =
        event_new(m_Loop, m_Socket, EV_READ | EV_PERSIST, accept, this);
    event_add(m_Accepting, nullptr);
  }
  ~RawServer() {
    event_free(m_Accepting);
    ::close(m_Socket);
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  [[nodiscard]] const http::Address &address() const { return m_Address; }

private:
  struct Connection {
    RawServer *m_Server = nullptr;
    int m_Socket = -1;
    std::string m_Request;
  };

  static void accept(evutil_socket_t, short, void *Argument) {
    auto &Server = *static_cast<RawServer *>(Argument);
    const int Socket = ::accept(Server.m_Socket, nullptr, nullptr);
    if (Socket >= 0)
      read(new Connection{&Server, Socket, ""});
  }

  /// Waits for the whole request, so that closing doesn't reset the connection.
  static void read(Connection *Open) {
    event_base_once(
        Open->m_Server->m_Loop, Open->m_Socket, EV_READ,
        [](evutil_socket_t Socket, short, void *Argument) {
          std::unique_ptr<Connection> Held(static_cast<Connection *>(Argument));
          char Bytes[4096];
          const ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
          if (Count > 0)
            Held->m_Request.append(Bytes, static_cast<std::size_t>(Count));
          if (Count > 0 &&
              Held->m_Request.find("\r\n\r\n") == std::string::npos)
            return read(Held.release());
          Held->m_Server->answer(Socket);
        },
        Open, nullptr);
  }

  void answer(int Socket) const {
    if (!m_Bytes.empty())
      ::send(Socket, m_Bytes.data(), m_Bytes.size(), MSG_NOSIGNAL);
    if (m_Ending == End::Closed) {
      ::close(Socket);
      return;
    }
    struct Ending {
      int m_Socket;
      bool m_IsReset;
    };
    auto *Held = new Ending{Socket, m_Ending == End::Reset};
    const timeval Pause{0, 2'000};
    event_base_once(
        m_Loop, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *Argument) {
          const std::unique_ptr<Ending> Last(static_cast<Ending *>(Argument));
          const linger Abort{Last->m_IsReset ? 1 : 0, 0};
          ::setsockopt(Last->m_Socket, SOL_SOCKET, SO_LINGER, &Abort,
                       sizeof(Abort));
          ::close(Last->m_Socket);
        },
        Held, &Pause);
  }

  event_base *m_Loop;
  std::string m_Bytes;
  End m_Ending;
  int m_Socket;
  http::Address m_Address;
  event *m_Accepting = nullptr;
};

struct Seen {
  std::optional<http::Response> m_Whole; ///< Nothing: the call failed.
  std::string m_Pieces;
};

/// The answer that a client makes of \p Bytes.
Seen hear(const std::string &Bytes, End Ending, bool IsPooled, bool IsStream) {
  event_base *Loop = event_base_new();
  Seen Result;
  bool IsDone = false;
  {
    const RawServer Server(Loop, Bytes, Ending);
    http::Pool Pool(Loop, {});
    http::ClientRequest Request;
    Request.m_To = Server.address();
    Request.m_Method = "POST";
    Request.m_Path = "/";
    Request.m_Deadline = BootClock::now() + 10s;
    http::ClientHandlers Handlers;
    if (IsStream)
      Handlers.m_OnChunk = [&](std::string_view Piece) {
        Result.m_Pieces += Piece;
      };
    Handlers.m_OnDone = [&](wasabivale::Result<http::Response> Answer) {
      IsDone = true;
      if (!failed(Answer))
        Result.m_Whole = std::move(valueOf(Answer));
    };
    if (IsPooled)
      Pool.call(std::move(Request), std::move(Handlers), true);
    else
      http::call(Loop, std::move(Request), std::move(Handlers));
    const TimePoint Deadline = BootClock::now() + 20s;
    while (!IsDone && BootClock::now() < Deadline) {
      const timeval Tick{0, 1'000};
      event_base_loopexit(Loop, &Tick);
      event_base_dispatch(Loop);
    }
    // What was ended is freed from the loop.
    const timeval Rest{0, 1'000};
    event_base_loopexit(Loop, &Rest);
    event_base_dispatch(Loop);
  }
  event_base_free(Loop);
  REQUIRE(IsDone);
  return Result;
}

constexpr const char *EndNames[] = {", closed", ", closed later", ", reset"};
constexpr const char *Body = "{\"answer\":[1,2,3]}";

} // namespace

TEST_CASE("an answer that is cut at any byte is not whole") {
  struct Row {
    const char *m_Name;
    std::string m_Head;
    std::string m_Rest;
    bool m_EndsWithConnection = false;
  };
  const std::string Stated =
      "Content-Length: " + std::to_string(std::string(Body).size()) + "\r\n";
  const Row Rows[] = {
      {"a length", "HTTP/1.1 200 OK\r\nX-A: b\r\n" + Stated + "\r\n", Body},
      {"chunks",
       "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n",
       "5\r\n{\"ans\r\nd\r\nwer\":[1,2,3]}\r\n0\r\n\r\n"},
      {"an interim answer first",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + Stated + "\r\n",
       Body},
      {"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" + Stated + "\r\n", Body},
      {"no length", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", Body, true},
      {"HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n", Body,
       true},
  };
  for (const Row &Case : Rows)
    for (const End Ending : {End::Closed, End::ClosedLater, End::Reset})
      for (const bool IsPooled : {false, true})
        for (const bool IsStream : {false, true}) {
          const std::string Whole = Case.m_Head + Case.m_Rest;
          for (std::size_t Cut = 0; Cut < Whole.size(); ++Cut) {
            // Nothing tells a body that ends with its connection from a
            // shorter one, except a reset.
            const bool IsUnknowable = Case.m_EndsWithConnection &&
                                      Ending != End::Reset &&
                                      Cut >= Case.m_Head.size();
            if (IsUnknowable)
              continue;
            INFO(Case.m_Name << EndNames[static_cast<std::size_t>(Ending)]
                             << (IsPooled ? ", pool" : "")
                             << (IsStream ? ", stream" : "") << " at " << Cut);
            CHECK_FALSE(
                hear(Whole.substr(0, Cut), Ending, IsPooled, IsStream).m_Whole);
          }
          INFO(Case.m_Name << EndNames[static_cast<std::size_t>(Ending)]
                           << (IsPooled ? ", pool" : "")
                           << (IsStream ? ", stream" : ""));
          const Seen Got = hear(Whole, Ending, IsPooled, IsStream);
          const bool IsWhole =
              !Case.m_EndsWithConnection || Ending != End::Reset;
          REQUIRE(Got.m_Whole.has_value() == IsWhole);
          if (IsWhole) {
            CHECK((IsStream ? Got.m_Pieces : Got.m_Whole->m_Body) == Body);
          }
        }
}
