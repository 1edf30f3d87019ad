#include "Processes.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wasabivale::soak {

namespace {

std::string binFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

std::string programIn(const std::string &Folder, const std::string &Name) {
  return fmt::format("{}/wasabivale-{}", Folder, Name);
}

std::string readFile(const std::string &Name) {
  std::ifstream File(Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// \returns the field named `a.b`, null without one.
Json findField(const Json &Fields, std::string_view Name) {
  std::string Pointer = "/" + std::string(Name);
  std::replace(Pointer.begin(), Pointer.end(), '.', '/');
  return Fields.value(Json::json_pointer(Pointer), Json());
}

/// Leaves out the sections whose field is missing, null or false.
std::string resolveSections(std::string Text, const Json &Fields) {
  constexpr std::string_view Open = "{{#";
  for (std::size_t Start = Text.find(Open); Start != std::string::npos;
       Start = Text.find(Open, Start)) {
    const std::size_t NameStart = Start + Open.size();
    const std::size_t NameEnd = Text.find("}}", NameStart);
    const std::string Name = Text.substr(NameStart, NameEnd - NameStart);
    const std::string Close = "{{/" + Name + "}}";
    const std::size_t End = Text.find(Close, NameEnd);
    if (End == std::string::npos)
      return Text;
    const Json Value = findField(Fields, Name);
    const bool IsKept = !Value.is_null() && Value != Json(false);
    Text.replace(Start, End + Close.size() - Start,
                 IsKept ? Text.substr(NameEnd + 2, End - NameEnd - 2)
                        : std::string());
  }
  return Text;
}

} // namespace

std::string fillTemplate(std::string Text, const Json &Fields) {
  constexpr std::string_view AsJson = "|json";
  Text = resolveSections(std::move(Text), Fields);
  for (std::size_t Start = Text.find("{{"); Start != std::string::npos;
       Start = Text.find("{{", Start)) {
    const std::size_t End = Text.find("}}", Start);
    std::string Name = Text.substr(Start + 2, End - Start - 2);
    const std::size_t Option = Name.find(AsJson);
    const bool IsJson = Option != std::string::npos;
    const Json Value = findField(Fields, Name.substr(0, Option));
    const std::string Filled =
        !IsJson && Value.is_string() ? Value.get<std::string>() : Value.dump();
    Text.replace(Start, End + 2 - Start, Filled);
    Start += Filled.size();
  }
  return Text;
}

Build ownBuild() { return {binFolder(), WASABIVALE_SOURCE_DIR "/deploy"}; }

std::optional<Build> findBuild(const std::string &Folder) {
  const std::string Templates = Folder + "/deploy";
  for (const char *Place : {"out/build/bin", "target/bin", "bin"}) {
    const std::string Programs = fmt::format("{}/{}", Folder, Place);
    if (std::filesystem::exists(programIn(Programs, "entry")) &&
        std::filesystem::exists(programIn(Programs, "control")))
      return Build{Programs, std::filesystem::exists(Templates)
                                 ? Templates
                                 : ownBuild().m_Templates};
  }
  return std::nullopt;
}

Process::Process(std::string Name, std::string Program, std::string Folder,
                 Json Fields)
    : m_Name(std::move(Name)), m_Program(std::move(Program)),
      m_Folder(std::move(Folder)), m_Fields(std::move(Fields)) {}

Process::~Process() {
  if (m_Pid <= 0)
    return;
  ::kill(m_Pid, SIGKILL);
  ::waitpid(m_Pid, nullptr, 0);
}

void Process::writeSettings() const {
  const std::string Template =
      fmt::format("{}/{}.json", m_Templates, m_Program);
  const std::string File = fmt::format("{}/{}.json", m_Folder, m_Name);
  // A rename, so that no process reads half of it.
  std::ofstream(File + ".new") << fillTemplate(readFile(Template), m_Fields);
  std::filesystem::rename(File + ".new", File);
}

bool Process::start(const std::string &Programs, const std::string &Templates) {
  m_Templates = Templates;
  ++m_Starts;
  writeSettings();
  const std::string Path = programIn(Programs, m_Program);
  const std::string Settings = fmt::format("{}/{}.json", m_Folder, m_Name);
  const std::string Log = logFile();
  const pid_t Parent = ::getpid();
  m_Pid = ::fork();
  if (m_Pid != 0)
    return m_Pid > 0;
  // The child ends with the soak, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent)
    ::_exit(1);
  const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::close_range(3, ~0U, 0);
  ::execl(Path.c_str(), Path.c_str(), "--config", Settings.c_str(), nullptr);
  ::_exit(127);
}

std::string Process::logFile() const {
  return fmt::format("{}/{}.log", m_Folder, m_Name);
}

void Process::signal(int Number) const {
  if (m_Pid > 0)
    ::kill(m_Pid, Number);
}

std::optional<int> Process::reap() {
  int State = 0;
  if (m_Pid <= 0 || ::waitpid(m_Pid, &State, WNOHANG) != m_Pid)
    return std::nullopt;
  m_Pid = 0;
  return WIFEXITED(State) ? WEXITSTATUS(State) : -WTERMSIG(State);
}

std::optional<std::string> findSanitizerReport(std::istream &Log) {
  constexpr std::string_view Marks[] = {
      "ERROR: AddressSanitizer", "ERROR: LeakSanitizer", "runtime error: "};
  for (std::string Line; std::getline(Log, Line);)
    for (const std::string_view Mark : Marks)
      if (Line.find(Mark) != std::string::npos)
        return Line;
  return std::nullopt;
}

std::optional<std::uint64_t> socketInode(const http::Address &Peer,
                                         std::uint16_t Port) {
  in_addr Host{};
  inet_pton(AF_INET, Peer.m_Host.c_str(), &Host);
  const std::string Remote =
      fmt::format("{:08X}:{:04X}", Host.s_addr, Peer.m_Port);
  const std::string Local = fmt::format(":{:04X}", Port);
  std::ifstream File("/proc/net/tcp");
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Words(Line);
    std::string Slot;
    std::string LocalName;
    std::string RemoteName;
    Words >> Slot >> LocalName >> RemoteName;
    if (RemoteName != Remote || LocalName.substr(LocalName.find(':')) != Local)
      continue;
    constexpr int WordsBetween = 6;
    std::string Skipped;
    for (int I = 0; I < WordsBetween; ++I)
      Words >> Skipped;
    std::uint64_t Inode = 0;
    Words >> Inode;
    return Inode;
  }
  return std::nullopt;
}

bool holdsSocket(pid_t Process, std::uint64_t Inode) {
  const std::string Wanted = fmt::format("socket:[{}]", Inode);
  std::error_code Failure;
  // A process that ends meanwhile holds nothing.
  for (const auto &Descriptor : std::filesystem::directory_iterator(
           fmt::format("/proc/{}/fd", Process), Failure)) {
    std::error_code Gone;
    if (std::filesystem::read_symlink(Descriptor.path(), Gone) == Wanted)
      return true;
  }
  return false;
}

} // namespace wasabivale::soak
