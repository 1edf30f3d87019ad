#include "Client.h"

#include "daemon/daemon.h"
#include "http/http.h"

#include <algorithm>

namespace wasabivale::cli {

namespace {

/// Limits the wait for a paused or partitioned member. Resends are idempotent.
constexpr std::chrono::seconds ResponseTimeout{2};
constexpr std::chrono::milliseconds RetryInterval{200};
constexpr int StatusMisdirected = 421;
constexpr int StatusUnavailable = 503;

Result<http::Response> sendRequest(const std::string &Server,
                                   const std::string &Token,
                                   http::ClientRequest Request,
                                   TimePoint Deadline) {
  const auto Address = http::parseAddress(Server);
  if (failed(Address))
    return errorOf(Address);
  daemon::EventLoop Loop;
  Result<http::Response> Reply = Error{"cli.ask", Server, "no response"};
  Request.m_To = valueOf(Address);
  Request.m_Headers = {{"Authorization", "Bearer " + Token}};
  Request.m_Deadline = std::min(Deadline, BootClock::now() + ResponseTimeout);
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [&](Result<http::Response> Outcome) {
    Reply = std::move(Outcome);
    Loop.end();
  };
  http::call(Loop.base(), std::move(Request), Handlers);
  Loop.run();
  return Reply;
}

/// Sends the request to the members in turn until the leader responds.
Result<Response> sendToLeader(const ClientOptions &Options,
                              const http::ClientRequest &Request) {
  std::size_t Next = 0;
  std::string Server = Options.m_Servers.front();
  Error LastError{"cli.ask", Server, "no response"};
  while (BootClock::now() < Options.m_Deadline) {
    const auto Reply =
        sendRequest(Server, Options.m_Token, Request, Options.m_Deadline);
    std::string Leader;
    if (failed(Reply)) {
      LastError = errorOf(Reply);
    } else {
      Response LeaderReply{valueOf(Reply).m_Status,
                           Json::parse(valueOf(Reply).m_Body, nullptr, false)};
      const bool NotLeader = LeaderReply.m_Status == StatusMisdirected ||
                             LeaderReply.m_Status == StatusUnavailable;
      if (!NotLeader)
        return LeaderReply;
      LastError = {"cli.ask", Server, "the control group has no leader"};
      if (LeaderReply.m_Body.is_object())
        Leader = LeaderReply.m_Body.value("leader", "");
    }
    if (!Leader.empty() && Leader != Server) {
      Server = Leader;
      continue;
    }
    const std::string Previous = Server;
    Server = Options.m_Servers[++Next % Options.m_Servers.size()];
    if (Server == Previous)
      Server = Options.m_Servers[++Next % Options.m_Servers.size()];
    sleepFor(RetryInterval);
  }
  return LastError;
}

} // namespace

void sleepFor(std::chrono::milliseconds Delay) {
  daemon::EventLoop Loop;
  const http::Timer Wakeup(Loop.base(), Delay, false, [&] { Loop.end(); });
  Loop.run();
}

Result<Response> get(const ClientOptions &Options, const std::string &Path) {
  http::ClientRequest Request;
  Request.m_Method = "GET";
  Request.m_Path = "/operator/v1/" + Path;
  return sendToLeader(Options, Request);
}

Result<Response> call(const ClientOptions &Options, const Json &Body) {
  http::ClientRequest Request;
  Request.m_Path = "/operator/v1/call";
  Request.m_Body = Body.dump();
  return sendToLeader(Options, Request);
}

} // namespace wasabivale::cli
