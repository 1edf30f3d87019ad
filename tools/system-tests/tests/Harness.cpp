#include "Harness.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace wasabivale::systemtests {

namespace {

constexpr int PortsEach = 10;
constexpr int EntryOffset = 100;
constexpr int FakeOffset = 200;
constexpr int FakeAdminOffset = 299;
constexpr std::chrono::milliseconds PollEvery{5};

std::string binFolder() {
  const char *Known = std::getenv("WASABIVALE_BIN");
  if (Known != nullptr)
    return Known;
  return std::filesystem::read_symlink("/proc/self/exe")
      .parent_path()
      .parent_path()
      .append("bin");
}

http::Address at(int Port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(Port)};
}

/// Lets an entry serve callers without keys until there is a configuration.
void allowAnonymous(const std::string &File) {
  std::ifstream Input(File);
  Json Settings = Json::parse(Input);
  Settings["callers"]["allow_anonymous"] = true;
  std::ofstream(File) << Settings;
}

void readLine(Answer &Into, const std::string &Line) {
  if (Line.rfind("event: ", 0) == 0)
    Into.m_Event = Line.substr(7);
  if (Line.rfind("data: ", 0) != 0)
    return;
  if (Line == "data: [DONE]") {
    Into.m_Done = true;
    return;
  }
  const Json Data = Json::parse(Line.substr(6), nullptr, false);
  if (!Data.is_object())
    return;
  if (Into.m_Event == "outcome")
    Into.m_Outcome = Data.value("outcome", "");
  else if (Into.m_Event.empty() && Data.contains("choices"))
    Into.m_Text += Data["choices"][0].value("text", "");
  Into.m_Event.clear();
}

/// Reads the lines of an event stream that have come since the last call.
void readEvents(Answer &Into) {
  std::size_t End = Into.m_Body.find('\n', Into.m_Read);
  for (; End != std::string::npos; End = Into.m_Body.find('\n', Into.m_Read)) {
    readLine(Into, Into.m_Body.substr(Into.m_Read, End - Into.m_Read));
    Into.m_Read = End + 1;
  }
}

} // namespace

Process::Process(const std::string &Program,
                 const std::vector<std::string> &Arguments,
                 const std::string &LogFile) {
  std::string Path = binFolder() + "/" + Program;
  std::vector<std::string> Kept = Arguments;
  std::vector<char *> Pointers{Path.data()};
  for (std::string &Each : Kept)
    Pointers.push_back(Each.data());
  Pointers.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  for (const int Output : {STDOUT_FILENO, STDERR_FILENO})
    posix_spawn_file_actions_addopen(&Files, Output, LogFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int Failure = posix_spawn(&m_Pid, Path.c_str(), &Files, nullptr,
                                  Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  INFO(Path);
  REQUIRE(Failure == 0);
}

Process::~Process() {
  if (m_Pid == 0)
    return;
  ::kill(m_Pid, SIGKILL);
  ::waitpid(m_Pid, nullptr, 0);
}

void Process::signal(int Number) const { ::kill(m_Pid, Number); }

std::optional<int> Process::wait() {
  const TimePoint End = BootClock::now() + Patience;
  while (BootClock::now() < End) {
    int State = 0;
    if (::waitpid(m_Pid, &State, WNOHANG) == m_Pid) {
      m_Pid = 0;
      constexpr int SignalBase = 128;
      return WIFEXITED(State) ? WEXITSTATUS(State)
                              : SignalBase + WTERMSIG(State);
    }
    std::this_thread::sleep_for(PollEvery);
  }
  return std::nullopt;
}

System::System(const Size &Wanted, int FirstPort)
    : m_Loop(event_base_new()), m_FirstPort(FirstPort) {
  std::signal(SIGPIPE, SIG_IGN);
  // Another run of these tests on this machine would use the same ports.
  const std::string LockFile = std::filesystem::temp_directory_path() /
                               fmt::format("wasabivale-ports-{}", FirstPort);
  m_Lock = ::open(LockFile.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  REQUIRE(::flock(m_Lock, LOCK_EX) == 0);
  m_Folder = std::filesystem::temp_directory_path() /
             fmt::format("wasabivale-test-{}-{}", ::getpid(), FirstPort);
  std::filesystem::remove_all(m_Folder);
  std::filesystem::create_directories(m_Folder);
  Process Deployment("wasabivale-deployment",
                     {"--folder", m_Folder, "--control",
                      std::to_string(Wanted.m_Control), "--entries",
                      std::to_string(Wanted.m_Entries), "--first-port",
                      std::to_string(FirstPort)},
                     m_Folder + "/deployment.log");
  REQUIRE(Deployment.wait() == 0);
  for (int I = 1; I <= Wanted.m_Entries; ++I)
    allowAnonymous(fmt::format("{}/entry-{}.json", m_Folder, I));
  for (int I = 1; I <= Wanted.m_Control; ++I)
    m_Control.push_back(start("control", I));
  for (int I = 1; I <= Wanted.m_Entries; ++I)
    m_Entries.push_back(start("entry", I));
  std::vector<std::string> Options{
      "--engines",    std::to_string(Wanted.m_Engines),
      "--services",   std::to_string(Wanted.m_Services),
      "--first-port", std::to_string(FirstPort + FakeOffset),
      "--admin-port", std::to_string(FirstPort + FakeAdminOffset),
      "--judge-log",  m_Folder + "/judge.jsonl"};
  for (int I = 1; I <= Wanted.m_Entries; ++I) {
    Options.emplace_back("--announce");
    Options.push_back(fmt::format("127.0.0.1:{}",
                                  FirstPort + EntryOffset + PortsEach * I + 1));
  }
  Options.insert(Options.end(), Wanted.m_Options.begin(),
                 Wanted.m_Options.end());
  m_Targets = std::make_unique<Process>("wasabivale-fake-targets", Options,
                                        m_Folder + "/fake-targets.log");
  REQUIRE(turnUntil([this] { return allReady(); }));
  REQUIRE(serves(static_cast<std::size_t>(Wanted.m_Engines) +
                 static_cast<std::size_t>(Wanted.m_Services)));
  for (int I = 1; I <= Wanted.m_Entries; ++I)
    REQUIRE(turnUntil([&] { return answers(I, Wanted); }));
}

std::unique_ptr<Process> System::start(const std::string &Kind,
                                       int Number) const {
  const std::string Name = fmt::format("{}-{}", Kind, Number);
  return std::make_unique<Process>(
      "wasabivale-" + Kind,
      std::vector<std::string>{"--config", m_Folder + "/" + Name + ".json"},
      m_Folder + "/" + Name + ".log");
}

void System::startControl(int Member) {
  m_Control[static_cast<std::size_t>(Member) - 1] = start("control", Member);
}

System::~System() {
  m_Targets.reset();
  m_Entries.clear();
  m_Control.clear();
  event_base_loop(m_Loop, EVLOOP_NONBLOCK);
  event_base_free(m_Loop);
  ::close(m_Lock);
  // The logs of a run that was given up are kept, and all when asked for.
  if (std::uncaught_exceptions() == 0 &&
      std::getenv("WASABIVALE_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(m_Folder);
}

bool System::turnUntil(const std::function<bool()> &Done) const {
  const TimePoint End = BootClock::now() + Patience;
  while (!Done()) {
    if (BootClock::now() > End)
      return false;
    turnFor(PollEvery);
  }
  return true;
}

void System::turnFor(std::chrono::milliseconds Time) const {
  const timeval Tick{Time.count() / 1000,
                     static_cast<suseconds_t>(Time.count() % 1000 * 1000)};
  event_base_loopexit(m_Loop, &Tick);
  event_base_dispatch(m_Loop);
}

std::shared_ptr<Answer>
System::send(const http::Address &To, const std::string &Method,
             const std::string &Path, const http::Headers &With,
             const std::string &Body, std::chrono::milliseconds Timeout) const {
  http::ClientRequest What;
  What.m_To = To;
  What.m_Method = Method;
  What.m_Path = Path;
  What.m_Headers = With;
  What.m_Body = Body;
  What.m_Deadline = BootClock::now() + Timeout;
  auto Made = std::make_shared<Answer>();
  http::ClientHandlers Handlers;
  Handlers.m_OnChunk = [Made](std::string_view Piece) {
    Made->m_Body += Piece;
    readEvents(*Made);
  };
  Handlers.m_OnDone = [Made](const Result<http::Response> &Got) {
    Made->m_Ended = true;
    Made->m_Broken = failed(Got);
    if (Made->m_Broken)
      return;
    Made->m_Status = valueOf(Got).m_Status;
    Made->m_Headers = valueOf(Got).m_Headers;
    Made->m_Body += valueOf(Got).m_Body;
    readEvents(*Made);
    if (Made->m_Outcome.empty())
      Made->m_Outcome = http::header(Made->m_Headers, "wasabivale-outcome");
  };
  http::call(m_Loop, std::move(What), std::move(Handlers));
  return Made;
}

Answer System::ask(const http::Address &To, const std::string &Method,
                   const std::string &Path, const http::Headers &With,
                   const std::string &Body,
                   std::chrono::milliseconds Timeout) const {
  const auto Got = send(To, Method, Path, With, Body, Timeout);
  REQUIRE(turnUntil([&] { return Got->m_Ended; }));
  return *Got;
}

std::shared_ptr<Answer> System::complete(int Entry, const std::string &Prompt,
                                         int Tokens) const {
  const Json Body{{"model", "gourd-8b"},
                  {"prompt", Prompt},
                  {"max_tokens", Tokens},
                  {"stream", true}};
  return send(callers(Entry), "POST", "/v1/completions", {}, Body.dump());
}

Answer System::service(int Entry, const std::string &Path,
                       const http::Headers &With,
                       const std::string &Body) const {
  return ask(callers(Entry), "POST", "/v1/services/" + Path, With, Body);
}

void System::fault(const Json &What) const {
  REQUIRE(ask(at(m_FirstPort + FakeAdminOffset), "POST", "/fake/v1/fault", {},
              What.dump())
              .m_Status == 200);
}

void System::leave(const std::string &Target) const {
  REQUIRE(ask(at(m_FirstPort + FakeAdminOffset), "POST", "/fake/v1/leave", {},
              Json{{"target", Target}}.dump())
              .m_Status == 200);
}

std::vector<Json> System::judged(const std::string &Event) const {
  std::vector<Json> Found;
  std::ifstream Lines(m_Folder + "/judge.jsonl");
  for (std::string Line; std::getline(Lines, Line);) {
    const Json Read = Json::parse(Line, nullptr, false);
    if (Read.is_object() && Read["event"] == Event)
      Found.push_back(Read);
  }
  return Found;
}

http::Address System::callers(int Entry) const {
  return at(m_FirstPort + EntryOffset + PortsEach * Entry);
}

http::Address System::operators(int Member) const {
  return at(m_FirstPort + PortsEach * Member + 1);
}

std::string System::operatorToken() const {
  std::ifstream File(m_Folder + "/operator.token");
  std::string Token;
  File >> Token;
  return Token;
}

Json System::status(int Member) const {
  const Answer Got = ask(operators(Member), "GET", "/operator/v1/status",
                         {{"Authorization", "Bearer " + operatorToken()}}, "",
                         std::chrono::seconds(2));
  return Json::parse(Got.m_Body, nullptr, false);
}

bool System::serves(std::size_t Count) const {
  return turnUntil([this, Count] {
    for (int Member = 1; Member <= static_cast<int>(m_Control.size());
         ++Member) {
      const Json Now = status(Member);
      if (!Now.is_object() || !Now.contains("targets"))
        continue;
      std::size_t Serving = 0;
      for (const Json &Each : Now["targets"])
        Serving += Each.value("state", "") == "serving" ? 1 : 0;
      if (Serving == Count)
        return true;
    }
    return false;
  });
}

bool System::answers(int Entry, const Size &Of) const {
  if (Of.m_Services > 0 &&
      service(Entry, "stock/warm-up", {}, "").m_Status != 200)
    return false;
  if (Of.m_Engines == 0)
    return true;
  const auto Got = complete(Entry, "warm-up", 1);
  REQUIRE(turnUntil([&] { return Got->m_Ended; }));
  return Got->m_Done;
}

bool System::allReady() const {
  for (int Entry = 1; Entry <= static_cast<int>(m_Entries.size()); ++Entry) {
    const int Admin = m_FirstPort + EntryOffset + PortsEach * Entry + 2;
    if (ask(at(Admin), "GET", "/readyz", {}, "", std::chrono::seconds(2))
            .m_Status != 200)
      return false;
  }
  return true;
}

} // namespace wasabivale::systemtests
