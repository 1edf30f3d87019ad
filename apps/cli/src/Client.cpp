#include "Client.h"

#include "daemon/daemon.h"
#include "http/http.h"

#include <algorithm>

namespace wasabivale::cli {

namespace {

/// A member that is paused or cut off costs no more; resends are idempotent.
constexpr std::chrono::seconds AnswerTimeout{2};
constexpr std::chrono::milliseconds RetryInterval{200};
constexpr int Misdirected = 421;
constexpr int Unavailable = 503;

Result<http::Response> ask(const std::string &Server, const std::string &Token,
                           http::ClientRequest What, TimePoint Deadline) {
  const auto Address = http::parseAddress(Server);
  if (failed(Address))
    return errorOf(Address);
  daemon::EventLoop Loop;
  Result<http::Response> Answer = Error{"cli.ask", Server, "no answer"};
  What.m_To = valueOf(Address);
  What.m_Headers = {{"Authorization", "Bearer " + Token}};
  What.m_Deadline = std::min(Deadline, BootClock::now() + AnswerTimeout);
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [&](Result<http::Response> Ending) {
    Answer = std::move(Ending);
    Loop.end();
  };
  http::call(Loop.base(), std::move(What), Handlers);
  Loop.run();
  return Answer;
}

/// Asks member after member until one answers as the leader.
Result<Answer> askLeader(const ClientOptions &Through,
                         const http::ClientRequest &What) {
  std::size_t Next = 0;
  std::string Server = Through.m_Servers.front();
  Error Last{"cli.ask", Server, "no answer"};
  while (BootClock::now() < Through.m_Deadline) {
    const auto Told = ask(Server, Through.m_Token, What, Through.m_Deadline);
    std::string Leader;
    if (failed(Told)) {
      Last = errorOf(Told);
    } else {
      Answer Out{valueOf(Told).m_Status,
                 Json::parse(valueOf(Told).m_Body, nullptr, false)};
      const bool Elsewhere =
          Out.m_Status == Misdirected || Out.m_Status == Unavailable;
      if (!Elsewhere)
        return Out;
      Last = {"cli.ask", Server, "the control group has no leader"};
      if (Out.m_Body.is_object())
        Leader = Out.m_Body.value("leader", "");
    }
    if (!Leader.empty() && Leader != Server) {
      Server = Leader;
      continue;
    }
    const std::string Asked = Server;
    Server = Through.m_Servers[++Next % Through.m_Servers.size()];
    if (Server == Asked)
      Server = Through.m_Servers[++Next % Through.m_Servers.size()];
    sleepFor(RetryInterval);
  }
  return Last;
}

} // namespace

void sleepFor(std::chrono::milliseconds Span) {
  daemon::EventLoop Loop;
  const http::Timer End(Loop.base(), Span, false, [&] { Loop.end(); });
  Loop.run();
}

Result<Answer> get(const ClientOptions &Through, const std::string &Path) {
  http::ClientRequest What;
  What.m_Method = "GET";
  What.m_Path = "/operator/v1/" + Path;
  return askLeader(Through, What);
}

Result<Answer> call(const ClientOptions &Through, const Json &Body) {
  http::ClientRequest What;
  What.m_Path = "/operator/v1/call";
  What.m_Body = Body.dump();
  return askLeader(Through, What);
}

} // namespace wasabivale::cli
