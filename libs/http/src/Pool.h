/// \file
/// What a pool's calls share: its idle connections.

#ifndef WASABIVALE_HTTP_SRC_POOL_H
#define WASABIVALE_HTTP_SRC_POOL_H

#include "http/http.h"

#include <deque>
#include <event2/http.h>

namespace wasabivale::http {

/// Opens nothing yet: evhttp connects with the first request.
evhttp_connection *openConnection(event_base *Loop, const Address &To);

/// Whether nothing waits to be read on an open connection, neither here nor in
/// the kernel.
bool hasNoInput(evhttp_connection *Connection);

struct Pool::State : std::enable_shared_from_this<Pool::State> {
  State(event_base *Loop, PoolSettings Settings);
  ~State();
  State(const State &) = delete;
  State &operator=(const State &) = delete;

  struct Taken {
    evhttp_connection *m_Connection; ///< Belongs to the caller.
    bool m_IsReused;
  };
  /// The connection that was used last, or a new one.
  Taken take(const ClientRequest &Request, bool Repeatable);
  /// Keeps a connection whose answer was whole, or closes it.
  void giveBack(evhttp_connection *Used, const Address &To,
                const Fields &Answer);
  /// Lets the kernel break a connection whose peer acknowledges nothing.
  void watchSilence(evhttp_connection *Of) const;
  void closeIdle(TimePoint Now);
  void close(evhttp_connection *Which);

  struct Idle {
    evhttp_connection *m_Connection = nullptr;
    TimePoint m_Since;
    TimePoint m_CloseAt;
  };

  event_base *m_Loop;
  PoolSettings m_Settings;
  std::map<std::string, std::deque<Idle>> m_Idle; ///< Used last at the back.
  std::vector<evhttp_connection *> m_Closing;
  event *m_Close = nullptr; ///< Frees them in a turn of its own.
  std::uint64_t m_Opened = 0;
  std::size_t m_UnderWay = 0; ///< Calls that have not ended.
  PoolObserver m_Observer;
  std::unique_ptr<Timer> m_Sweep;

private:
  static void onClosed(evhttp_connection *Which, void *Owner);
  void freeClosing();
};

} // namespace wasabivale::http

#endif // WASABIVALE_HTTP_SRC_POOL_H
