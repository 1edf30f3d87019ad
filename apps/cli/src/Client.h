/// \file
/// Client of control: tries each member, follows redirects to the leader, and
/// resends a call with the same request id until a leader responds.

#ifndef WASABIVALE_CLI_CLIENT_H
#define WASABIVALE_CLI_CLIENT_H

#include "base/base.h"
#include "settings/settings.h"

#include <string>
#include <vector>

namespace wasabivale::cli {

using settings::Json;

struct ClientOptions {
  std::vector<std::string> m_Servers; ///< `ip:port`, tried in order.
  std::string m_Token;
  TimePoint m_Deadline; ///< When to stop looking for a leader.
};

struct Response {
  int m_Status = 0;
  Json m_Body;

  [[nodiscard]] bool isAccepted() const { return m_Status == 200; }
};

/// Reads `/operator/v1/PATH` from the leader. Fails if no leader responds
/// before the deadline.
Result<Response> get(const ClientOptions &Options, const std::string &Path);

/// Posts \p Body, the complete JSON body, to `/operator/v1/call` on the leader.
Result<Response> call(const ClientOptions &Options, const Json &Body);

/// Blocks for \p Delay while running an event loop.
void sleepFor(std::chrono::milliseconds Delay);

} // namespace wasabivale::cli

#endif // WASABIVALE_CLI_CLIENT_H
