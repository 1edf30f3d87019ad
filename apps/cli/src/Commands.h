/// \file
/// The commands of `wasabivale`.

#ifndef WASABIVALE_CLI_COMMANDS_H
#define WASABIVALE_CLI_COMMANDS_H

#include "Client.h"

#include <optional>
#include <string>
#include <vector>

namespace wasabivale::cli {

/// Exit codes of the process.
enum class Exit : int {
  Ok = 0,
  Refused = 1,     ///< Control refused the call, or a plan failed.
  Usage = 2,       ///< The command line is not valid.
  Unreachable = 3, ///< No leader answered in time.
};

struct Invocation {
  std::vector<std::string>
      m_Arguments; ///< Name of the command, then its arguments.
  ClientOptions m_Client;
  bool m_AsJson = false;
  bool m_Yes = false;
  bool m_Wait = false;
  bool m_AllowEmpty = false;
  std::optional<std::uint64_t> m_Revision;
  std::string m_Digest;
  std::string m_RequestId; ///< If empty, a new one is generated.
  std::string m_Model;
  std::string m_Replace;
  std::string m_Role;
  std::optional<std::uint64_t> m_Count;
  std::chrono::seconds m_Timeout{60}; ///< Longest wait with `--wait`.
};

/// Describes the commands for `--help`.
std::string_view commandsHelp();

Exit run(const Invocation &Command);

} // namespace wasabivale::cli

#endif // WASABIVALE_CLI_COMMANDS_H
