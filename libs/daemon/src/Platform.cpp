#include "daemon/daemon.h"

namespace wasabivale::daemon {

namespace {

const http::Headers PlainText = {{"Content-Type", "text/plain; version=0.0.4"}};

} // namespace

Result<std::unique_ptr<http::Server>> listenForPlatform(
    event_base *Loop, const http::Address &At,
    const metrics::Registry &Registry, std::function<std::string()> NotReady,
    std::function<void()> BeforePrint, const std::string &ReadyPath) {
  const auto Answer = [&Registry, ReadyPath, NotReady = std::move(NotReady),
                       BeforePrint = std::move(BeforePrint)](
                          const std::shared_ptr<http::Exchange> &Arrived) {
    const std::string &Path = Arrived->request().m_Path;
    if (Path == "/healthz") {
      Arrived->reply(200, PlainText, "ok\n");
    } else if (Path == "/readyz" || Path == ReadyPath) {
      const std::string Reason = NotReady();
      Arrived->reply(Reason.empty() ? 200 : 503, PlainText,
                     Reason.empty() ? "ready\n" : Reason + "\n");
    } else if (Path == "/metrics") {
      if (BeforePrint)
        BeforePrint();
      Arrived->reply(200, PlainText, Registry.print());
    } else {
      Arrived->reply(404, PlainText, "no such path\n");
    }
  };
  return http::listen(Loop, At, http::ServerLimits{}, Answer);
}

} // namespace wasabivale::daemon
