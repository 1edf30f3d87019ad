/// \file
/// Talks to control: tries each member, follows to the leader, and sends a
/// call again under the same request id until it is answered.

#ifndef WASABIVALE_CLI_CLIENT_H
#define WASABIVALE_CLI_CLIENT_H

#include "base/base.h"
#include "settings/settings.h"

#include <string>
#include <vector>

namespace wasabivale::cli {

using settings::Json;

struct ClientOptions {
  std::vector<std::string> m_Servers; ///< `ip:port`, tried in turn.
  std::string m_Token;
  TimePoint m_Deadline; ///< When to give up looking for a leader.
};

struct Answer {
  int m_Status = 0;
  Json m_Body;

  [[nodiscard]] bool isAccepted() const { return m_Status == 200; }
};

/// Reads `/operator/v1/PATH` from the leader. An error means that no leader
/// could be reached.
Result<Answer> get(const ClientOptions &Through, const std::string &Path);

/// Makes a call; \p Body is the whole body of `/operator/v1/call`.
Result<Answer> call(const ClientOptions &Through, const Json &Body);

/// Waits with a running event loop.
void sleepFor(std::chrono::milliseconds Span);

} // namespace wasabivale::cli

#endif // WASABIVALE_CLI_CLIENT_H
