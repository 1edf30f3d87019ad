#include "http/http.h"

#include <utility>

namespace wasabivale::http {

Timer::Timer(event_base *Loop, std::chrono::milliseconds Interval, bool Repeats,
             std::function<void()> Callback)
    : m_Callback(std::move(Callback)),
      m_Event(event_new(
          Loop, -1, static_cast<short>(EV_TIMEOUT | (Repeats ? EV_PERSIST : 0)),
          [](evutil_socket_t, short, void *Argument) {
            // A copy, since the callback may destroy its own timer.
            const auto Call = static_cast<Timer *>(Argument)->m_Callback;
            Call();
          },
          this)) {
  const timeval After{Interval.count() / 1000,
                      static_cast<suseconds_t>(Interval.count() % 1000 * 1000)};
  event_add(m_Event, &After);
}

Timer::~Timer() { event_free(m_Event); }

} // namespace wasabivale::http
