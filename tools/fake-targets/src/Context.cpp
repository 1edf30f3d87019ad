#include "Context.h"

namespace wasabivale::faketargets {

namespace {

struct LaterCall {
  std::weak_ptr<void> m_Guard;
  std::function<void()> m_What;
};

void onLater(evutil_socket_t, short, void *Argument) {
  const std::unique_ptr<LaterCall> Due(static_cast<LaterCall *>(Argument));
  if (const auto Held = Due->m_Guard.lock())
    Due->m_What();
}

} // namespace

void callLater(event_base *Loop, std::chrono::milliseconds Delay,
               const std::shared_ptr<void> &Guard, std::function<void()> What) {
  const timeval After{Delay.count() / 1000,
                      static_cast<suseconds_t>(Delay.count() % 1000 * 1000)};
  event_base_once(Loop, -1, EV_TIMEOUT, onLater,
                  new LaterCall{Guard, std::move(What)}, &After);
}

void refuse(http::Exchange &To, int HttpStatus, std::string_view Reason,
            bool NotRun) {
  answer(To, HttpStatus, targets::printRefusal(Reason, NotRun));
}

void answer(http::Exchange &To, int HttpStatus, std::string_view Json) {
  To.reply(HttpStatus, {{"Content-Type", "application/json"}}, Json);
}

} // namespace wasabivale::faketargets
