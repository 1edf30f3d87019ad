#include "Crowd.h"

#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabivale::clienttests {

namespace {

constexpr std::size_t LargeWrite = 64U << 10U;
constexpr std::chrono::milliseconds PollTime{10};

/// Begins to connect. A server that accepts nothing must not hold the test up.
int connectTo(const http::Address &At) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Place{};
  Place.sin_family = AF_INET;
  Place.sin_port = htons(At.m_Port);
  ::inet_pton(AF_INET, At.m_Host.c_str(), &Place.sin_addr);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Place),
                sizeof(Place)) == 0 ||
      errno == EINPROGRESS)
    return Socket;
  ::close(Socket);
  return -1;
}

bool isRetry() { return errno == EAGAIN || errno == EINTR; }

} // namespace

Crowd::Crowd(const http::Address &At, std::size_t Count, Script What)
    : m_Script(std::move(What)) {
  while (!m_Script.m_Again.empty() && m_Repeated.size() < LargeWrite)
    m_Repeated += m_Script.m_Again;
  for (std::size_t I = 0; I < Count; ++I)
    if (const int Socket = connectTo(At); Socket >= 0)
      m_Clients.push_back({Socket, 0});
}

Crowd::~Crowd() {
  for (const Client &Each : m_Clients)
    ::close(Each.m_Socket);
}

bool Crowd::send(Client &By) const {
  // The second part is a whole number of repeats.
  const bool IsFirst = By.m_Sent < m_Script.m_First.size();
  const std::string &From = IsFirst ? m_Script.m_First : m_Repeated;
  if (From.empty())
    return true;
  const std::size_t At =
      IsFirst ? By.m_Sent : (By.m_Sent - m_Script.m_First.size()) % From.size();
  std::size_t Length = From.size() - At;
  if (m_Script.m_Step > 0)
    Length = std::min(Length, m_Script.m_Step);
  const ssize_t Sent = ::send(By.m_Socket, From.data() + At, Length,
                              MSG_DONTWAIT | MSG_NOSIGNAL);
  if (Sent < 0)
    return isRetry();
  By.m_Sent += static_cast<std::size_t>(Sent);
  return true;
}

void Crowd::play(std::chrono::milliseconds Time) {
  const TimePoint End = BootClock::now() + Time;
  while (BootClock::now() < End && !m_Clients.empty()) {
    std::vector<pollfd> Asked;
    for (const Client &Each : m_Clients) {
      const bool HasMore =
          Each.m_Sent < m_Script.m_First.size() || !m_Repeated.empty();
      Asked.push_back(
          {Each.m_Socket, static_cast<short>(HasMore ? POLLOUT : 0), 0});
    }
    ::poll(Asked.data(), Asked.size(), static_cast<int>(PollTime.count()));
    for (std::size_t I = m_Clients.size(); I-- > 0;) {
      const short Got = Asked[I].revents;
      bool IsOpen = (Got & (POLLERR | POLLHUP)) == 0;
      if (IsOpen && (Got & POLLOUT) != 0)
        IsOpen = send(m_Clients[I]);
      if (IsOpen)
        continue;
      ::close(m_Clients[I].m_Socket);
      m_Clients.erase(m_Clients.begin() + static_cast<std::ptrdiff_t>(I));
    }
  }
}

int ask(const http::Address &At, const std::string &Request) {
  const int Socket = connectTo(At);
  if (Socket < 0)
    return 0;
  const TimePoint End = BootClock::now() + systemtests::Patience;
  std::string Answer;
  std::size_t Sent = 0;
  constexpr std::size_t StatusLine = 12; // "HTTP/1.1 200"
  bool IsOpen = true;
  while (IsOpen && Answer.size() < StatusLine && BootClock::now() < End) {
    pollfd Asked{
        Socket,
        static_cast<short>(Sent < Request.size() ? POLLIN | POLLOUT : POLLIN),
        0};
    ::poll(&Asked, 1, static_cast<int>(PollTime.count()));
    if ((Asked.revents & POLLOUT) != 0) {
      const ssize_t Count =
          ::send(Socket, Request.data() + Sent, Request.size() - Sent,
                 MSG_DONTWAIT | MSG_NOSIGNAL);
      if (Count > 0)
        Sent += static_cast<std::size_t>(Count);
    }
    char Piece[4096];
    const ssize_t Count = ::recv(Socket, Piece, sizeof(Piece), MSG_DONTWAIT);
    if (Count > 0)
      Answer.append(Piece, static_cast<std::size_t>(Count));
    IsOpen = Count > 0 || (Count < 0 && isRetry());
  }
  ::close(Socket);
  int Status = 0;
  if (Answer.size() >= StatusLine)
    std::from_chars(Answer.data() + StatusLine - 3, Answer.data() + StatusLine,
                    Status);
  return Status;
}

} // namespace wasabivale::clienttests
