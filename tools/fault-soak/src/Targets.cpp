#include "Targets.h"

#include "platform/platform.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
namespace fields = platform::fields;

namespace {

constexpr unsigned Slots = 24;
constexpr milliseconds BeatInterval{500};
constexpr milliseconds BeatTimeout{1'000};
/// Shortest time from the acknowledged leave to the end.
constexpr milliseconds DrainTime{2'000};
/// A target that gets no acknowledgement ends after this time.
constexpr milliseconds UnacknowledgedDrain{6'000};
/// How long a control member may hold on to a target that has ended.
constexpr milliseconds RestartSettle{3'000};

std::uint64_t numberField(const http::Request &Request, std::string_view Name,
                          std::uint64_t Default) {
  const std::string Text(http::field(Request.m_Fields, Name));
  return Text.empty() ? Default : std::strtoull(Text.c_str(), nullptr, 10);
}

std::chrono::sys_time<milliseconds> systemTime() {
  return std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace

Targets::Targets(event_base *Loop, Links &Network, Judge &Observer,
                 std::vector<http::Address> Control, std::vector<Place> Places)
    : m_Loop(Loop), m_Links(Network), m_Judge(Observer),
      m_Control(std::move(Control)) {
  for (Place &Subject : Places) {
    m_Targets.emplace_back();
    m_Targets.back().m_Place = std::move(Subject);
  }
}

bool Targets::startAll() {
  for (unsigned Index = 0; Index < m_Targets.size(); ++Index) {
    m_Targets[Index].m_Id = fmt::format("i-{}-0", Index);
    m_Targets[Index].m_Member = Index % m_Control.size();
    if (!start(Index))
      return false;
  }
  return true;
}

bool Targets::start(unsigned Index) {
  Target &Subject = m_Targets[Index];
  auto Server =
      http::listen(m_Loop, Subject.m_Place.m_Back, {},
                   [this, Index](std::shared_ptr<http::Exchange> Request) {
                     take(Index, std::move(Request));
                   });
  if (failed(Server) || failed(m_Links.open(Index, Subject.m_Place.m_Front,
                                            Subject.m_Place.m_Back)))
    return false;
  Subject.m_Server = std::move(std::get<std::unique_ptr<http::Server>>(Server));
  Subject.m_State = State::Ready;
  Subject.m_StartedAt = systemTime();
  Subject.m_Sequence = 0;
  Subject.m_Running = 0;
  Subject.m_IsAcknowledged = false;
  Subject.m_BeatAt = BootClock::now();
  ++Subject.m_Starts;
  m_Judge.targetStarted(Index);
  return true;
}

void Targets::end(unsigned Index, milliseconds DownFor) {
  Target &Subject = m_Targets[Index];
  const TimePoint Now = BootClock::now();
  m_Judge.disturbed(Part::Target, Index, Now, Now + DownFor + RestartSettle);
  m_Links.close(Index);
  m_Works.remove_if(
      [Index](const Work &Task) { return Task.m_Target == Index; });
  Subject.m_Server.reset();
  Subject.m_State = State::Down;
  Subject.m_StartAt = Now + DownFor;
}

void Targets::crash(unsigned Index, milliseconds Downtime, bool KeepsId,
                    bool Upgrades) {
  Target &Subject = m_Targets[Index];
  if (Subject.m_State == State::Down)
    return;
  end(Index, Downtime);
  if (!KeepsId)
    Subject.m_Id = fmt::format("i-{}-{}", Index, Subject.m_Starts);
  Subject.m_Software += Upgrades ? 1 : 0;
}

void Targets::leave(unsigned Index, milliseconds Downtime, bool Silently) {
  Target &Subject = m_Targets[Index];
  if (Subject.m_State != State::Ready)
    return;
  Subject.m_State = Silently ? State::Gone : State::Draining;
  Subject.m_DownFor = Downtime;
  Subject.m_BeatAt = BootClock::now();
  Subject.m_ExitAt = BootClock::now() + UnacknowledgedDrain;
}

void Targets::beat(unsigned Index) {
  Target &Subject = m_Targets[Index];
  Subject.m_IsCalling = true;
  const State Reported = Subject.m_State;
  const unsigned Start = Subject.m_Starts;
  http::ClientRequest Out;
  Out.m_To = m_Control[Subject.m_Member];
  Out.m_Method = Reported == State::Gone ? "DELETE" : "PUT";
  Out.m_Path = platform::targetPath({Subject.m_Id});
  Out.m_Headers = {{"Content-Type", "application/json"}};
  Out.m_Deadline = BootClock::now() + BeatTimeout;
  if (Reported != State::Gone) {
    platform::Beat Beat;
    Beat.m_Target.m_Kind = targets::Kind::Service;
    Beat.m_Target.m_Services = {Subject.m_Place.m_Service};
    Beat.m_Target.m_Address = Subject.m_Place.m_Front;
    Beat.m_Target.m_Zone = {"zone-a"};
    Beat.m_Target.m_SoftwareVersion = fmt::format("v{}", Subject.m_Software);
    Beat.m_Target.m_MaxRunning = Slots;
    Beat.m_StartedAt = Subject.m_StartedAt;
    Beat.m_Sequence = ++Subject.m_Sequence;
    Beat.m_Leaving = Reported == State::Draining;
    Out.m_Body = platform::printBeat(Beat);
  }
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [this, Index, Reported,
                       Start](const Result<http::Response> &Got) {
    Target &Caller = m_Targets[Index];
    Caller.m_IsCalling = false;
    const TimePoint Now = BootClock::now();
    const bool IsTaken = !failed(Got) && valueOf(Got).m_Status / 100 == 2;
    if (!IsTaken) {
      Caller.m_Member = (Caller.m_Member + 1) % m_Control.size();
      Caller.m_BeatAt = Now + 50ms;
      return;
    }
    Caller.m_BeatAt = Now + BeatInterval;
    if (Reported == State::Ready || Caller.m_Starts != Start ||
        Caller.m_State != Reported || Caller.m_IsAcknowledged)
      return;
    Caller.m_IsAcknowledged = true;
    Caller.m_ExitAt = Now + DrainTime + 100ms * (Caller.m_Starts * 7 % 20);
    m_Judge.leaveAcknowledged(Index, Now);
  };
  http::call(m_Loop, std::move(Out), std::move(Handlers));
}

void Targets::take(unsigned Index, std::shared_ptr<http::Exchange> Request) {
  Target &Subject = m_Targets[Index];
  const http::Request &Arrived = Request->request();
  http::Fields Head{{fields::TargetId, Subject.m_Id}};
  if (Subject.m_State != State::Ready)
    Head.emplace_back(fields::Leaving, "1");
  if (Arrived.m_Path == "/health") {
    Request->relay(Subject.m_State == State::Ready ? 200 : 503, Head, "");
    return;
  }
  const std::string Id(http::field(Arrived.m_Fields, fields::RequestId));
  if (Id.empty()) {
    Request->relay(404, Head, "");
    return;
  }
  Head.emplace_back(fields::RequestId, Id);
  const std::string_view Expected =
      http::field(Arrived.m_Fields, fields::Target);
  const bool IsOther = !Expected.empty() && Expected != Subject.m_Id;
  if (IsOther || Subject.m_Running >= Slots) {
    Head.emplace_back(fields::NotRun, "1");
    Request->relay(IsOther ? 421 : 503, Head, "");
    return;
  }
  Work Task;
  Task.m_Id = Id;
  Task.m_Target = Index;
  Task.m_Version = fmt::format("v{}", Subject.m_Software);
  Task.m_Stamp =
      fmt::format("{}.{}.{}", Subject.m_Id,
                  Subject.m_StartedAt.time_since_epoch().count(), Id);
  Task.m_Body =
      fmt::format("{} {} {}", Id, Subject.m_Place.m_Service, Task.m_Version);
  Task.m_Gap = milliseconds(numberField(Arrived, "Soak-Ms", 10));
  Task.m_Events = numberField(Arrived, "Soak-Events", 0);
  Task.m_IsStream = Task.m_Events > 0;
  Task.m_NextEvent = numberField(Arrived, fields::LastEvent, 0) + 1;
  const TimePoint Now = BootClock::now();
  Task.m_NextAt = Now + Task.m_Gap;
  Task.m_Deadline =
      Now + milliseconds(numberField(Arrived, fields::Deadline, 60'000));
  Run Started;
  Started.m_Target = Index;
  Started.m_Service = Subject.m_Place.m_Service;
  Started.m_Stamp = Task.m_Stamp;
  Started.m_Body = Task.m_Body;
  Started.m_BeganAt = Now;
  Task.m_Run = m_Judge.began(Id, std::move(Started));
  Head.emplace_back(fields::Signature, Task.m_Stamp);
  if (Task.m_IsStream) {
    Head.emplace_back("Content-Type", "text/event-stream");
    Request->startRelay(200, Head);
  }
  Task.m_Exchange = std::move(Request);
  ++Subject.m_Running;
  m_Works.push_back(std::move(Task));
}

bool Targets::advance(Work &Task, TimePoint Now) {
  if (Task.m_Exchange->isGone())
    return true;
  if (Now < Task.m_NextAt)
    return false;
  http::Fields Head{{fields::RequestId, Task.m_Id},
                    {fields::Signature, Task.m_Stamp},
                    {fields::TargetId, m_Targets[Task.m_Target].m_Id}};
  if (m_Targets[Task.m_Target].m_State != State::Ready)
    Head.emplace_back(fields::Leaving, "1");
  if (!Task.m_IsStream) {
    const bool IsLate = Now > Task.m_Deadline;
    Task.m_Exchange->relay(IsLate ? 504 : 200, Head, IsLate ? "" : Task.m_Body);
    m_Judge.answered(Task.m_Id, Task.m_Run, Now);
    return true;
  }
  if (Task.m_NextEvent <= Task.m_Events)
    Task.m_Exchange->write(
        eventText(Task.m_NextEvent, Task.m_Events, Task.m_Id, Task.m_Version));
  ++Task.m_NextEvent;
  Task.m_NextAt += Task.m_Gap;
  if (Task.m_NextEvent <= Task.m_Events)
    return false;
  Task.m_Exchange->finish();
  m_Judge.answered(Task.m_Id, Task.m_Run, Now);
  return true;
}

void Targets::turn(TimePoint Now) {
  m_Works.remove_if([&](Work &Task) {
    if (!advance(Task, Now))
      return false;
    --m_Targets[Task.m_Target].m_Running;
    return true;
  });
  for (unsigned Index = 0; Index < m_Targets.size(); ++Index) {
    Target &Subject = m_Targets[Index];
    if (Subject.m_State == State::Down) {
      if (Now >= Subject.m_StartAt && !start(Index))
        Subject.m_StartAt = Now + 100ms;
      continue;
    }
    if (Subject.m_State != State::Ready && Now >= Subject.m_ExitAt) {
      Subject.m_Id = fmt::format("i-{}-{}", Index, Subject.m_Starts);
      end(Index, Subject.m_DownFor);
      continue;
    }
    const bool IsQuiet =
        Subject.m_State == State::Gone && Subject.m_IsAcknowledged;
    if (!Subject.m_IsCalling && !IsQuiet && Now >= Subject.m_BeatAt)
      beat(Index);
  }
}

} // namespace wasabivale::soak
