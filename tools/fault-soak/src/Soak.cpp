#include "Soak.h"

#include "Callers.h"
#include "LateCallers.h"
#include "Links.h"
#include "Operator.h"
#include "Targets.h"
#include "WaveCallers.h"

#include "platform/platform.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <fstream>

namespace wasabivale::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TurnInterval{4};
/// A longer pause of the soak itself excuses what falls into it.
constexpr milliseconds LongestPause{150};
constexpr milliseconds StartPatience{30'000};
/// Requests are given up after the longest route's time and a little more.
constexpr milliseconds SettlePatience{12'000};
constexpr milliseconds Grace{8'000};
constexpr std::uint16_t FrontPort = 8149;
constexpr std::uint16_t ReadinessPort = 8141;
constexpr std::uint16_t ControlPort = 8144;
constexpr std::uint16_t TargetPort = 8080;

class World {
public:
  World(std::uint64_t Seed, const Options &Wanted, std::string Folder);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /// \returns the number of violations.
  std::size_t play();

private:
  struct Machine {
    std::unique_ptr<Process> m_Process;
    TimePoint m_StartAt; ///< While it does not run.
    TimePoint m_KillAt;  ///< After a SIGTERM.
    TimePoint m_ResumeAt;
    bool m_IsPaused = false;
    bool m_IsEnding = false; ///< Was asked to stop, or was killed.
    /// Of the process that runs; its name and status are not set yet.
    ProcessEnd m_End;
    milliseconds m_Downtime{0};
  };

  [[nodiscard]] http::Address at(unsigned Kind, unsigned Number,
                                 std::uint16_t Port) const;
  [[nodiscard]] std::optional<unsigned> findEntry(std::string_view Bytes,
                                                  const http::Address &Listener,
                                                  std::uint16_t Port) const;
  [[nodiscard]] Json fields(const std::string &Ip, bool IsControl) const;
  void addMachines();
  bool prepare();
  void turn();
  void startProgram(Process &Program);
  void turnMachine(Machine &Subject, bool IsEntry, unsigned Number,
                   TimePoint Now);
  void inject(const Step &Planned, TimePoint Now);
  void injectIntoMachine(Machine &Subject, bool IsEntry, const Step &Planned,
                         TimePoint Now);
  void cutEntry(unsigned Entry, const Step &Planned, TimePoint Now);
  void disturbMachine(bool IsEntry, unsigned Number, TimePoint Start,
                      TimePoint Until);
  void report();
  /// Reports what sanitizers wrote to the logs.
  void checkLogs(TimePoint Now);
  /// Looks for differences of state in the logs of control members.
  void checkStates(TimePoint Now);
  /// Turns the loop until \p Done or the end of a time.
  bool runUntil(const std::function<bool()> &Done, milliseconds Longest);

  std::uint64_t m_Seed;
  Options m_Options;
  std::string m_Folder;
  event_base *m_Loop;
  Judge m_Judge;
  std::vector<Machine> m_Entries;
  std::vector<Machine> m_Control;
  std::vector<http::Address> m_Fronts;
  std::unique_ptr<Links> m_Links;
  std::unique_ptr<Targets> m_Targets;
  std::unique_ptr<Operator> m_Operator;
  std::unique_ptr<Balancer> m_Balancer;
  std::vector<std::unique_ptr<Caller>> m_Callers;
  std::vector<std::vector<std::unique_ptr<LateCaller>>> m_LateCallers;
  std::vector<std::vector<std::unique_ptr<WaveCaller>>> m_WaveCallers;
  std::unique_ptr<http::Timer> m_Turn;
  std::function<bool()> m_IsDone;
  std::ofstream m_Log;
  TimePoint m_StartedAt;
  TimePoint m_TurnedAt;
  TimePoint m_CheckStart = TimePoint::max(); ///< Of `checkService`.
  bool m_IsSending = false;
  std::size_t m_Violations = 0;
  std::uint64_t m_Pauses = 0;
};

enum MachineKind : unsigned {
  ControlMachine,
  EntryMachine,
  TargetFront,
  TargetBack
};

World::World(std::uint64_t Seed, const Options &Wanted, std::string Folder)
    : m_Seed(Seed), m_Options(Wanted), m_Folder(std::move(Folder)),
      m_Loop(event_base_new()), m_Judge({}, Wanted.m_ChecksVersions),
      m_Log(m_Folder + "/soak.log"), m_StartedAt(BootClock::now()),
      m_TurnedAt(m_StartedAt) {
  addMachines();
  std::vector<http::Address> Registries;
  for (unsigned I = 0; I < m_Options.m_Shape.m_Control; ++I)
    Registries.push_back(at(ControlMachine, I, ControlPort));
  std::vector<http::Address> Readiness;
  for (unsigned I = 0; I < m_Options.m_Shape.m_Entries; ++I) {
    m_Fronts.push_back(at(EntryMachine, I, FrontPort));
    Readiness.push_back(at(EntryMachine, I, ReadinessPort));
  }
  m_Links = std::make_unique<Links>(
      m_Loop,
      [this](std::string_view Bytes, const http::Address &Listener,
             std::uint16_t Port) { return findEntry(Bytes, Listener, Port); });
  std::vector<Targets::Place> Places;
  for (unsigned I = 0; I < m_Options.m_Shape.m_Targets; ++I)
    Places.push_back({Services[I % std::size(Services)],
                      at(TargetFront, I, TargetPort),
                      at(TargetBack, I, TargetPort)});
  m_Targets = std::make_unique<Targets>(m_Loop, *m_Links, m_Judge, Registries,
                                        std::move(Places));
  m_Operator = std::make_unique<Operator>(m_Loop, m_Judge, Registries);
  m_Balancer = std::make_unique<Balancer>(m_Loop, std::move(Readiness));
  const unsigned Callers =
      m_Options.m_Shape.m_Entries * m_Options.m_CallersOfEntry;
  for (unsigned I = 0; I < Callers; ++I)
    m_Callers.push_back(std::make_unique<Caller>(m_Loop, m_Judge, *m_Balancer,
                                                 m_Fronts, I, m_Seed));
  for (unsigned Entry = 0;
       m_Options.m_Shape.m_Late && Entry < m_Options.m_Shape.m_Entries;
       ++Entry) {
    auto &Late = m_LateCallers.emplace_back();
    for (unsigned I = 0; I < m_Options.m_LateCallersOfEntry; ++I)
      Late.push_back(std::make_unique<LateCaller>(
          m_Loop, m_Judge, m_Fronts[Entry], Entry, I, m_Seed));
  }
  for (unsigned Entry = 0;
       m_Options.m_Shape.m_Waves && Entry < m_Options.m_Shape.m_Entries;
       ++Entry) {
    auto &Waiting = m_WaveCallers.emplace_back();
    for (unsigned I = 0; I < m_Options.m_WaveCallersOfEntry; ++I)
      Waiting.push_back(std::make_unique<WaveCaller>(
          m_Loop, m_Judge, m_Fronts[Entry], Entry, I, m_Seed));
  }
  m_Turn = std::make_unique<http::Timer>(m_Loop, TurnInterval, true,
                                         [this] { turn(); });
}

World::~World() {
  m_Turn.reset();
  m_Entries.clear();
  m_Control.clear();
  // Lets the calls under way see that their peers are gone.
  const timeval Tick{2, 0};
  event_base_loopexit(m_Loop, &Tick);
  event_base_dispatch(m_Loop);
  m_Callers.clear();
  m_LateCallers.clear();
  m_WaveCallers.clear();
  m_Targets.reset();
  m_Links.reset();
  m_Operator.reset();
  m_Balancer.reset();
  event_base_free(m_Loop);
}

/// By the id of its request, or by its process if it has sent something else.
std::optional<unsigned> World::findEntry(std::string_view Bytes,
                                         const http::Address &Listener,
                                         std::uint16_t Port) const {
  const std::string Name = fmt::format("\r\n{}: ", platform::fields::RequestId);
  if (const std::size_t Start = Bytes.find(Name); Start != Bytes.npos) {
    const std::string_view Id = Bytes.substr(Start + Name.size());
    return m_Judge.entryOf(std::string(Id.substr(0, Id.find('\r'))));
  }
  const auto Inode = socketInode(Listener, Port);
  for (unsigned I = 0; Inode && I < m_Entries.size(); ++I)
    if (m_Entries[I].m_Process->isRunning() &&
        holdsSocket(m_Entries[I].m_Process->pid(), *Inode))
      return I;
  return std::nullopt;
}

http::Address World::at(unsigned Kind, unsigned Number,
                        std::uint16_t Port) const {
  return {
      fmt::format("127.{}.{}.{}", m_Options.m_Network, Kind + 1, Number + 1),
      Port};
}

Json World::fields(const std::string &Ip, bool IsControl) const {
  Json Seeds = Json::array();
  for (unsigned I = 0; I < m_Options.m_Shape.m_Control; ++I)
    Seeds.push_back(http::printAddress(at(ControlMachine, I, ControlPort)));
  const auto Listen = [&](std::uint16_t Port) {
    return http::printAddress({Ip, Port});
  };
  return {
      {"ip", Ip},
      {"zone", "zone-a"},
      {"region", "region-a"},
      {"zones", {{"zone-a", "region-a"}}},
      {"listen",
       {{"front", Listen(FrontPort)},
        {"readiness", Listen(ReadinessPort)},
        {"control", Listen(ControlPort)}}},
      {"internal_port_range", {7380, 7395}},
      {"seeds", Seeds},
      {"bootstrap", IsControl},
      {"data_dir", m_Folder + "/data-" + Ip},
      {"fault_tolerance", {{"machines", 1}}},
      {"bounds",
       {{"grace_s", 8}, {"retry_budget_ratio", 0.2}, {"budget_slack", 52}}}};
}

void World::addMachines() {
  const auto Add = [this](std::vector<Machine> &Machines, const char *Program,
                          MachineKind Kind, unsigned Count) {
    for (unsigned I = 0; I < Count; ++I) {
      const std::string Ip = at(Kind, I, 0).m_Host;
      const bool IsControl = Kind == ControlMachine;
      if (IsControl)
        std::filesystem::create_directories(m_Folder + "/data-" + Ip);
      Machine Added;
      Added.m_Process =
          std::make_unique<Process>(fmt::format("{}-{}", Program, I), Program,
                                    m_Folder, fields(Ip, IsControl));
      Added.m_StartAt = BootClock::now();
      Machines.push_back(std::move(Added));
    }
  };
  Add(m_Control, "control", ControlMachine, m_Options.m_Shape.m_Control);
  Add(m_Entries, "entry", EntryMachine, m_Options.m_Shape.m_Entries);
}

void World::disturbMachine(bool IsEntry, unsigned Number, TimePoint Start,
                           TimePoint Until) {
  m_Judge.disturbed(IsEntry ? Part::Entry : Part::Core, IsEntry ? Number : 0,
                    Start, Until);
}

void World::startProgram(Process &Program) {
  const Build Own = ownBuild();
  if (!m_Options.m_OtherBuild) {
    Program.start(Own.m_Programs, Own.m_Templates);
    return;
  }
  const Launch Drawn = drawLaunch(m_Seed, Program.name(), Program.starts(),
                                  m_Options.m_OtherShare);
  const Build &Other = *m_Options.m_OtherBuild;
  const Build &Run = Drawn.m_IsOtherBuild ? Other : Own;
  const Build &Settings =
      Drawn.m_IsOtherBuild != Drawn.m_HasOtherSettings ? Other : Own;
  fmt::print(m_Log, "{} starts build={} settings={}\n", Program.name(),
             Drawn.m_IsOtherBuild ? "other" : "own",
             &Settings == &Other ? "other" : "own");
  m_Log.flush();
  Program.start(Run.m_Programs, Settings.m_Templates);
}

void World::turnMachine(Machine &Subject, bool IsEntry, unsigned Number,
                        TimePoint Now) {
  Process &Program = *Subject.m_Process;
  if (!Program.isRunning()) {
    if (Now < Subject.m_StartAt)
      return;
    startProgram(Program);
    // Set once the system has started for the first time.
    Program.fields()["bootstrap"] = false;
    Subject.m_IsEnding = Subject.m_IsPaused = false;
    Subject.m_End = ProcessEnd{};
    Subject.m_End.m_StartedAt = Now;
    if (IsEntry) {
      m_Judge.disturbed(Part::Start, Number, Now, Now);
      m_Judge.started(Number, Now);
      if (m_Options.m_Shape.m_Waves)
        for (const auto &Client : m_WaveCallers[Number])
          Client->started(Now);
    } else
      m_Judge.disturbed(Part::Core, 0, Now, Now);
    return;
  }
  if (Subject.m_IsPaused && Now >= Subject.m_ResumeAt) {
    Subject.m_IsPaused = false;
    Program.signal(SIGCONT);
    disturbMachine(IsEntry, Number, Now, Now);
  }
  if (Subject.m_IsEnding && Now >= Subject.m_KillAt) {
    fmt::print(m_Log, "{} is killed at the end of its grace\n", Program.name());
    Subject.m_End.m_IsOverGrace = true;
    Program.signal(SIGKILL);
  }
  if (const auto Status = Program.reap()) {
    Subject.m_End.m_Name = Program.name();
    Subject.m_End.m_Status = *Status;
    m_Judge.processEnded(Subject.m_End, Now);
    if (!Subject.m_IsEnding)
      disturbMachine(IsEntry, Number, Now, Now);
    Subject.m_StartAt = Now + Subject.m_Downtime;
  }
}

void World::injectIntoMachine(Machine &Subject, bool IsEntry,
                              const Step &Planned, TimePoint Now) {
  Process &Program = *Subject.m_Process;
  if (!Program.isRunning())
    return;
  switch (Planned.m_Fault) {
  case Fault::StopEntry:
  case Fault::StopControl:
    if (Subject.m_IsEnding)
      return;
    Subject.m_IsEnding = true;
    Subject.m_Downtime = Planned.m_Length;
    Subject.m_KillAt = Now + Grace;
    Subject.m_End.m_StopAskedAt = Now;
    Subject.m_End.m_WasPausedInStop = Subject.m_IsPaused;
    if (IsEntry) {
      m_Judge.stopAsked(Planned.m_Machine, Now);
      if (m_Options.m_Shape.m_Late)
        for (const auto &Client : m_LateCallers[Planned.m_Machine])
          Client->stopAsked(Now);
      if (m_Options.m_Shape.m_Waves)
        for (const auto &Client : m_WaveCallers[Planned.m_Machine])
          Client->stopAsked(Now);
      m_Judge.disturbed(Part::Start, Planned.m_Machine, Now, Now + Grace);
    } else {
      m_Judge.disturbed(Part::Core, 0, Now, Now);
    }
    return Program.signal(SIGTERM);
  case Fault::KillEntry:
  case Fault::KillControl:
    Subject.m_IsEnding = true;
    Subject.m_Downtime = Planned.m_Length;
    Subject.m_KillAt = Now + Grace;
    Subject.m_End.m_WasKilled = true;
    disturbMachine(IsEntry, Planned.m_Machine, Now, Now + Planned.m_Length);
    return Program.signal(SIGKILL);
  case Fault::PauseEntry:
  case Fault::PauseControl:
    Subject.m_IsPaused = true;
    Subject.m_End.m_WasPausedInStop |= Subject.m_End.m_StopAskedAt.has_value();
    Subject.m_ResumeAt = std::max(Subject.m_ResumeAt, Now + Planned.m_Length);
    disturbMachine(IsEntry, Planned.m_Machine, Now, Subject.m_ResumeAt);
    return Program.signal(SIGSTOP);
  case Fault::ReloadEntry:
    Program.fields()["bounds"]["budget_slack"] = 40 + Planned.m_Variant % 40;
    Program.writeSettings();
    return Program.signal(SIGHUP);
  case Fault::StopAgain:
    if (Subject.m_End.m_StopAskedAt && !Subject.m_End.m_WasKilled)
      Program.signal(SIGTERM);
    return;
  default:
    return;
  }
}

void World::cutEntry(unsigned Entry, const Step &Planned, TimePoint Now) {
  const Cut Direction = static_cast<Cut>(Planned.m_Variant % 3);
  m_Links->cut(Entry, Direction, Now + Planned.m_Length);
  m_Judge.disturbed(Part::Cut, Entry, Now, Now + Planned.m_Length);
}

void World::inject(const Step &Planned, TimePoint Now) {
  fmt::print(
      m_Log, "{} {} machine={} peer={} for_ms={} variant={}\n",
      std::chrono::duration_cast<milliseconds>(Now - m_StartedAt).count(),
      faultName(Planned.m_Fault), Planned.m_Machine, Planned.m_Peer,
      Planned.m_Length.count(), Planned.m_Variant);
  m_Log.flush();
  const TimePoint Until = Now + Planned.m_Length;
  const unsigned Link = linkNumber(Planned.m_Machine, Planned.m_Peer);
  switch (Planned.m_Fault) {
  case Fault::StopEntry:
  case Fault::KillEntry:
  case Fault::PauseEntry:
  case Fault::ReloadEntry:
  case Fault::StopAgain:
    return injectIntoMachine(m_Entries[Planned.m_Machine], true, Planned, Now);
  case Fault::StopControl:
  case Fault::KillControl:
  case Fault::PauseControl:
    return injectIntoMachine(m_Control[Planned.m_Machine], false, Planned, Now);
  case Fault::DelayLinks: {
    const milliseconds Extra(20 + Planned.m_Variant % 300);
    m_Judge.disturbed(Part::Link, Link, Now, Until + Extra);
    return m_Links->delay(Planned.m_Machine, Planned.m_Peer, Extra, Until);
  }
  case Fault::ResetLinks:
    m_Judge.disturbed(Part::Link, Link, Now, Now);
    return m_Links->reset(Planned.m_Machine, Planned.m_Peer);
  case Fault::SilenceTarget:
    m_Judge.disturbed(Part::Target, Planned.m_Machine, Now, Until);
    return m_Links->silence(Planned.m_Machine, Until);
  case Fault::CrashTarget:
    return m_Targets->crash(Planned.m_Machine, Planned.m_Length,
                            Planned.m_Variant % 2 == 0, false);
  case Fault::UpgradeTarget:
    return m_Targets->crash(Planned.m_Machine, Planned.m_Length,
                            Planned.m_Variant % 2 == 0, true);
  case Fault::LeaveTarget:
    return m_Targets->leave(Planned.m_Machine, Planned.m_Length,
                            Planned.m_Variant % 4 == 0);
  case Fault::ChangeRoutes:
    return m_Operator->change(Planned.m_Variant);
  case Fault::CutEntry:
    return cutEntry(Planned.m_Machine, Planned, Now);
  case Fault::CutHalf:
    for (unsigned I = 0; I < m_Entries.size(); I += 2)
      cutEntry((I + Planned.m_Machine) % m_Options.m_Shape.m_Entries, Planned,
               Now);
    return;
  }
}

void World::report() {
  for (const Violation &Broken : m_Judge.take()) {
    ++m_Violations;
    const std::string Line = fmt::format(
        "VIOLATION {} seed={} at_ms={} request={} {}", Broken.m_Rule, m_Seed,
        std::chrono::duration_cast<milliseconds>(Broken.m_SeenAt - m_StartedAt)
            .count(),
        Broken.m_Request, Broken.m_Text);
    fmt::print("{}\n", Line);
    fmt::print(m_Log, "{}\n", Line);
  }
}

void World::checkLogs(TimePoint Now) {
  for (const auto *Machines : {&m_Control, &m_Entries})
    for (const Machine &Subject : *Machines) {
      std::ifstream Log(Subject.m_Process->logFile());
      if (const auto Line = findSanitizerReport(Log))
        m_Judge.sanitizerReported(Subject.m_Process->name(), *Line, Now);
    }
}

void World::checkStates(TimePoint Now) {
  for (const Machine &Member : m_Control) {
    std::ifstream Log(Member.m_Process->logFile());
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find(" state_diverged ") != std::string::npos)
        m_Judge.stateDiverged(Line, Now);
  }
}

void World::turn() {
  const TimePoint Now = BootClock::now();
  if (Now - m_TurnedAt > LongestPause) {
    ++m_Pauses;
    m_Judge.disturbed(Part::Observer, 0, m_TurnedAt, Now);
  }
  m_TurnedAt = Now;
  for (unsigned I = 0; I < m_Control.size(); ++I)
    turnMachine(m_Control[I], false, I, Now);
  for (unsigned I = 0; I < m_Entries.size(); ++I)
    turnMachine(m_Entries[I], true, I, Now);
  m_Links->turn(Now);
  m_Targets->turn(Now);
  m_Operator->turn(Now);
  m_Balancer->turn(Now);
  if (m_IsSending) {
    for (const auto &Client : m_Callers)
      Client->turn(Now);
    for (const auto &Callers : m_LateCallers)
      for (const auto &Client : Callers)
        Client->turn(Now);
    for (const auto &Callers : m_WaveCallers)
      for (const auto &Client : Callers)
        Client->turn(Now);
  }
  if (Now >= m_CheckStart)
    m_Judge.checkService(Now);
  report();
  if (m_IsDone && m_IsDone())
    event_base_loopbreak(m_Loop);
}

bool World::runUntil(const std::function<bool()> &Done, milliseconds Longest) {
  const TimePoint GiveUpAt = BootClock::now() + Longest;
  m_IsDone = [&] { return Done() || BootClock::now() >= GiveUpAt; };
  event_base_dispatch(m_Loop);
  m_IsDone = nullptr;
  return Done();
}

bool World::prepare() {
  if (!m_Targets->startAll())
    return false;
  m_Operator->change(0);
  if (!runUntil([&] { return m_Operator->isAcknowledged(); }, StartPatience))
    return false;
  return runUntil([&] { return m_Balancer->areAllReady(); }, StartPatience);
}

std::size_t World::play() {
  if (!prepare()) {
    fmt::print("VIOLATION START seed={} the system did not start\n", m_Seed);
    return 1;
  }
  const std::vector<Step> Steps = makeSchedule(m_Seed, m_Options.m_Shape);
  m_IsSending = true;
  // Callers open their connections before the first fault.
  runUntil([] { return false; }, 1s);
  const TimePoint FaultStart = BootClock::now();
  m_CheckStart = FaultStart;
  std::size_t Next = 0;
  runUntil(
      [&] {
        const TimePoint Now = BootClock::now();
        for (; Next < Steps.size() && Now >= FaultStart + Steps[Next].m_Offset;
             ++Next)
          inject(Steps[Next], Now);
        return Next == Steps.size() &&
               Now >= FaultStart + m_Options.m_Shape.m_Length;
      },
      m_Options.m_Shape.m_Length + 60s);
  m_IsSending = false;
  m_CheckStart = TimePoint::max();
  runUntil(
      [&] {
        const auto IsWaiting = [](const auto &Client) {
          return Client->isWaiting();
        };
        const auto AreWaiting = [&](const auto &Callers) {
          return std::any_of(Callers.begin(), Callers.end(), IsWaiting);
        };
        return !AreWaiting(m_Callers) &&
               std::none_of(m_LateCallers.begin(), m_LateCallers.end(),
                            AreWaiting) &&
               std::none_of(m_WaveCallers.begin(), m_WaveCallers.end(),
                            AreWaiting);
      },
      SettlePatience);
  m_Judge.checkCuts(BootClock::now());
  if (m_Options.m_Shape.m_Waves)
    m_Judge.checkOldConnections(BootClock::now());
  checkLogs(BootClock::now());
  checkStates(BootClock::now());
  report();
  const Judge::Counts &Seen = m_Judge.counts();
  fmt::print("seed={} faults={} sent={} served={} refused={} failed={} "
             "broken={} runs={} runs_while_stopping={} runs_late={} "
             "runs_at_start={} served_at_cut={}/{} "
             "served_at_others={}/{} pauses={} violations={}\n",
             m_Seed, Steps.size(), Seen.m_Sent, Seen.m_Served, Seen.m_Refused,
             Seen.m_Failed, Seen.m_Broken, Seen.m_Runs,
             Seen.m_RunsWhileStopping, Seen.m_RunsLate, Seen.m_RunsAtStart,
             Seen.m_ServedAtCut, Seen.m_SentAtCut, Seen.m_ServedAtOthers,
             Seen.m_SentAtOthers, m_Pauses, m_Violations);
  if (m_Options.m_Shape.m_Waves)
    for (const auto &[LaterThan, Calls] :
         {std::pair{2'800ms, Seen.m_OldAfter2800},
          std::pair{4'000ms, Seen.m_OldAfter4000},
          std::pair{6'000ms, Seen.m_OldAfter6000}})
      fmt::print("seed={} old_connections later_than_ms={} sent={} taken={} "
                 "refused={} closed_unread={}\n",
                 m_Seed, LaterThan.count(), Calls.m_Sent, Calls.m_Taken,
                 Calls.m_Refused, Calls.m_Closed);
  std::fflush(stdout);
  return m_Violations;
}

} // namespace

std::size_t runSeed(std::uint64_t Seed, const Options &Wanted) {
  const std::string Folder = std::filesystem::absolute(
      fmt::format("{}/seed-{}", Wanted.m_Folder, Seed));
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  const std::size_t Violations = World(Seed, Wanted, Folder).play();
  if (Violations == 0 && !Wanted.m_KeepsLogs)
    std::filesystem::remove_all(Folder);
  else
    fmt::print("logs: {}\n", Folder);
  return Violations;
}

} // namespace wasabivale::soak
