/// \file
/// The real programs as child processes, each with an address of its own.

#ifndef WASABIVALE_FAULTSOAK_PROCESSES_H
#define WASABIVALE_FAULTSOAK_PROCESSES_H

#include "http/http.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/types.h>

namespace wasabivale::soak {

using Json = nlohmann::json;

/// Fills a template of deploy/ in: `{{a.b}}`, `{{a.0}}`, `{{a|json}}`, and
/// `{{#a}}...{{/a}}`, which is left out where `a` is missing, null or false.
std::string fillTemplate(std::string Text, const Json &Fields);

/// Where a build of the system has its programs and its settings' templates.
struct Build {
  std::string m_Programs;
  std::string m_Templates;
};

/// The build that this program belongs to.
Build ownBuild();
/// The build in a checkout that was built there, or in a build folder, which
/// has this build's templates; nothing without programs.
std::optional<Build> findBuild(const std::string &Folder);

/// A program that is started, stopped and started again with the same settings.
/// Killed and waited for when it goes out of scope.
class Process {
public:
  Process(std::string Name, std::string Program, std::string Folder,
          Json Fields);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Writes the settings anew and starts the program. \returns false when that
  /// failed.
  bool start(const std::string &Programs, const std::string &Templates);
  void writeSettings() const;
  void signal(int Number) const;
  /// \returns the exit code, or minus the signal, once it has ended.
  std::optional<int> reap();

  [[nodiscard]] bool isRunning() const { return m_Pid > 0; }
  [[nodiscard]] pid_t pid() const { return m_Pid; }
  [[nodiscard]] const std::string &name() const { return m_Name; }
  /// How often it was started.
  [[nodiscard]] unsigned starts() const { return m_Starts; }
  [[nodiscard]] std::string logFile() const;
  /// The platform's description of the machine.
  Json &fields() { return m_Fields; }

private:
  std::string m_Name;
  std::string m_Program;
  std::string m_Folder;
  Json m_Fields;
  std::string m_Templates; ///< Of the last start.
  unsigned m_Starts = 0;
  pid_t m_Pid = 0;
};

/// The first line of a log that a sanitizer wrote.
std::optional<std::string> findSanitizerReport(std::istream &Log);

/// Inodes of the TCP sockets whose peer listens on an address, by their port.
std::optional<std::uint64_t> socketInode(const http::Address &Peer,
                                         std::uint16_t Port);
bool holdsSocket(pid_t Process, std::uint64_t Inode);

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_PROCESSES_H
