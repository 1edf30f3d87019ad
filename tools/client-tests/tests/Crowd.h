/// \file
/// Connections that send what no ordinary client sends, and read nothing.

#ifndef WASABIVALE_CLIENTTESTS_CROWD_H
#define WASABIVALE_CLIENTTESTS_CROWD_H

#include "http/http.h"

#include <functional>
#include <string>
#include <vector>

namespace wasabivale::clienttests {

/// What each connection of a crowd sends: \p m_First once, then \p m_Again
/// without end, or nothing if that is empty.
struct Script {
  std::string m_First;
  std::string m_Again;
  /// Most bytes in one write; zero: as many as the kernel takes.
  std::size_t m_Step = 0;
};

class Crowd {
public:
  /// Connects \p Count sockets to \p At. A connection that is refused or
  /// closed is not replaced.
  Crowd(const http::Address &At, std::size_t Count, Script What);
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Sends for \p Time, or until every connection has ended.
  void play(std::chrono::milliseconds Time);

private:
  struct Client {
    int m_Socket = -1;
    std::size_t m_Sent = 0;
  };

  /// \returns whether the connection is still open.
  bool send(Client &By) const;

  Script m_Script;
  std::string m_Repeated; ///< `m_Again` often enough for one large write.
  std::vector<Client> m_Clients;
};

/// Sends one whole request on a new connection and reads its answer.
/// \returns its status, or zero if there is none within the harness's
/// patience.
int ask(const http::Address &At, const std::string &Request);

} // namespace wasabivale::clienttests

#endif // WASABIVALE_CLIENTTESTS_CROWD_H
