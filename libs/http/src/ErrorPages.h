/// \file
/// Replaces the pages that evhttp itself answers malformed requests with.

#ifndef WASABIVALE_HTTP_SRC_ERRORPAGES_H
#define WASABIVALE_HTTP_SRC_ERRORPAGES_H

#include "http/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <functional>

namespace wasabivale::http {

/// Watches the output of one connection. evhttp 2.1 has no hook for its error
/// pages: what appears in the output while no exchange is being answered is one
/// of them. It is replaced before the loop polls again, hence before it is
/// sent.
class ErrorPages {
public:
  /// \param IsAnswering whether an exchange is being answered. \p Buffer
  /// outlives this object.
  ErrorPages(event_base *Loop, bufferevent *Buffer, ErrorPage Page,
             std::function<bool()> IsAnswering);
  ~ErrorPages();
  ErrorPages(const ErrorPages &) = delete;
  ErrorPages &operator=(const ErrorPages &) = delete;

private:
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info,
                       void *Argument);
  void replace();

  bufferevent *m_Buffer;
  ErrorPage m_Page;
  std::function<bool()> m_IsAnswering;
  evbuffer_cb_entry *m_Watch;
  event *m_Replace;
  bool m_Replacing = false;
};

} // namespace wasabivale::http

#endif // WASABIVALE_HTTP_SRC_ERRORPAGES_H
