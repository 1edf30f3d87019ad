#include "Targets.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wasabivale::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

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

std::uint64_t numberField(const http::Request &From, std::string_view Name,
                          std::uint64_t Default) {
  const std::string Text(http::field(From.m_Fields, Name));
  return Text.empty() ? Default : std::strtoull(Text.c_str(), nullptr, 10);
}

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Targets::Targets(event_base *Loop, Links &Network, Judge &Observer,
                 std::vector<http::Address> Control, std::vector<Place> Places)
    : m_Loop(Loop), m_Links(Network), m_Judge(Observer),
      m_Control(std::move(Control)) {
  for (Place &Each : Places) {
    m_Targets.emplace_back();
    m_Targets.back().m_At = std::move(Each);
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
  Target &Now = m_Targets[Index];
  auto Server =
      http::listen(m_Loop, Now.m_At.m_Back, {},
                   [this, Index](std::shared_ptr<http::Exchange> Request) {
                     take(Index, std::move(Request));
                   });
  if (failed(Server) ||
      failed(m_Links.open(Index, Now.m_At.m_Front, Now.m_At.m_Back)))
    return false;
  Now.m_Server = std::move(std::get<std::unique_ptr<http::Server>>(Server));
  Now.m_State = State::Ready;
  Now.m_StartedMs = unixMilliseconds();
  Now.m_Sequence = 0;
  Now.m_Running = 0;
  Now.m_IsAcknowledged = false;
  Now.m_BeatAt = BootClock::now();
  ++Now.m_Starts;
  m_Judge.targetStarted(Index);
  return true;
}

void Targets::end(unsigned Index, milliseconds DownFor) {
  Target &Now = m_Targets[Index];
  const TimePoint At = BootClock::now();
  m_Judge.disturbed(Part::Target, Index, At, At + DownFor + RestartSettle);
  m_Links.close(Index);
  m_Works.remove_if(
      [Index](const Work &Each) { return Each.m_Target == Index; });
  Now.m_Server.reset();
  Now.m_State = State::Down;
  Now.m_StartAt = At + DownFor;
}

void Targets::crash(unsigned Index, milliseconds For, bool KeepsId,
                    bool Upgrades) {
  Target &Now = m_Targets[Index];
  if (Now.m_State == State::Down)
    return;
  end(Index, For);
  if (!KeepsId)
    Now.m_Id = fmt::format("i-{}-{}", Index, Now.m_Starts);
  Now.m_Software += Upgrades ? 1 : 0;
}

void Targets::leave(unsigned Index, milliseconds For, bool Silently) {
  Target &Now = m_Targets[Index];
  if (Now.m_State != State::Ready)
    return;
  Now.m_State = Silently ? State::Gone : State::Draining;
  Now.m_DownFor = For;
  Now.m_BeatAt = BootClock::now();
  Now.m_ExitAt = BootClock::now() + UnacknowledgedDrain;
}

void Targets::beat(unsigned Index) {
  Target &Now = m_Targets[Index];
  Now.m_IsCalling = true;
  const State Told = Now.m_State;
  const unsigned Start = Now.m_Starts;
  http::ClientRequest Out;
  Out.m_To = m_Control[Now.m_Member];
  Out.m_Method = Told == State::Gone ? "DELETE" : "PUT";
  Out.m_Path = "/instances/" + Now.m_Id;
  Out.m_Headers = {{"Content-Type", "application/json"}};
  Out.m_Deadline = BootClock::now() + BeatTimeout;
  if (Told != State::Gone)
    Out.m_Body =
        nlohmann::json{
            {"service", Now.m_At.m_Service},
            {"address", http::printAddress(Now.m_At.m_Front)},
            {"zone", "zone-a"},
            {"version", fmt::format("v{}", Now.m_Software)},
            {"slots", Slots},
            {"state", Told == State::Draining ? "draining" : "ready"},
            {"cold_remaining_ms", 0},
            {"born", Now.m_StartedMs},
            {"sequence", ++Now.m_Sequence}}
            .dump();
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [this, Index, Told,
                       Start](const Result<http::Response> &Got) {
    Target &Asked = m_Targets[Index];
    Asked.m_IsCalling = false;
    const TimePoint At = BootClock::now();
    const bool IsTaken = !failed(Got) && valueOf(Got).m_Status / 100 == 2;
    if (!IsTaken) {
      Asked.m_Member = (Asked.m_Member + 1) % m_Control.size();
      Asked.m_BeatAt = At + 50ms;
      return;
    }
    Asked.m_BeatAt = At + BeatInterval;
    if (Told == State::Ready || Asked.m_Starts != Start ||
        Asked.m_State != Told || Asked.m_IsAcknowledged)
      return;
    Asked.m_IsAcknowledged = true;
    Asked.m_ExitAt = At + DrainTime + 100ms * (Asked.m_Starts * 7 % 20);
    m_Judge.leaveAcknowledged(Index, At);
  };
  http::call(m_Loop, std::move(Out), std::move(Handlers));
}

void Targets::take(unsigned Index, std::shared_ptr<http::Exchange> Request) {
  Target &Now = m_Targets[Index];
  const http::Request &Asked = Request->request();
  http::Fields Head{{"Instance-Id", Now.m_Id}};
  if (Now.m_State != State::Ready)
    Head.emplace_back("Server-Leaving", "1");
  if (Asked.m_Path == "/health") {
    Request->relay(Now.m_State == State::Ready ? 200 : 503, Head, "");
    return;
  }
  const std::string Id(http::field(Asked.m_Fields, "Request-Id"));
  if (Id.empty()) {
    Request->relay(404, Head, "");
    return;
  }
  Head.emplace_back("Request-Id", Id);
  const std::string_view Expected =
      http::field(Asked.m_Fields, "Expect-Instance");
  const bool IsOther = !Expected.empty() && Expected != Now.m_Id;
  if (IsOther || Now.m_Running >= Slots) {
    Head.emplace_back("Not-Executed", "1");
    Request->relay(IsOther ? 421 : 503, Head, "");
    return;
  }
  Work Made;
  Made.m_Id = Id;
  Made.m_Target = Index;
  Made.m_Version = fmt::format("v{}", Now.m_Software);
  Made.m_Stamp = fmt::format("{}.{}.{}", Now.m_Id, Now.m_StartedMs, Id);
  Made.m_Body = fmt::format("{} {} {}", Id, Now.m_At.m_Service, Made.m_Version);
  Made.m_Gap = milliseconds(numberField(Asked, "Soak-Ms", 10));
  Made.m_Events = numberField(Asked, "Soak-Events", 0);
  Made.m_IsStream = Made.m_Events > 0;
  Made.m_NextEvent = numberField(Asked, "Last-Event-Id", 0) + 1;
  const TimePoint At = BootClock::now();
  Made.m_NextAt = At + Made.m_Gap;
  Made.m_Deadline =
      At + milliseconds(numberField(Asked, "Deadline-Ms", 60'000));
  Run Started;
  Started.m_Target = Index;
  Started.m_Service = Now.m_At.m_Service;
  Started.m_Stamp = Made.m_Stamp;
  Started.m_Body = Made.m_Body;
  Started.m_At = At;
  Made.m_Run = m_Judge.began(Id, std::move(Started));
  Head.emplace_back("Server-Stamp", Made.m_Stamp);
  if (Made.m_IsStream) {
    Head.emplace_back("Content-Type", "text/event-stream");
    Request->startRelay(200, Head);
  }
  Made.m_Exchange = std::move(Request);
  ++Now.m_Running;
  m_Works.push_back(std::move(Made));
}

bool Targets::advance(Work &On, TimePoint Now) {
  if (On.m_Exchange->isGone())
    return true;
  if (Now < On.m_NextAt)
    return false;
  http::Fields Head{{"Request-Id", On.m_Id},
                    {"Server-Stamp", On.m_Stamp},
                    {"Instance-Id", m_Targets[On.m_Target].m_Id}};
  if (m_Targets[On.m_Target].m_State != State::Ready)
    Head.emplace_back("Server-Leaving", "1");
  if (!On.m_IsStream) {
    const bool IsLate = Now > On.m_Deadline;
    On.m_Exchange->relay(IsLate ? 504 : 200, Head, IsLate ? "" : On.m_Body);
    m_Judge.answered(On.m_Id, On.m_Run, Now);
    return true;
  }
  if (On.m_NextEvent <= On.m_Events)
    On.m_Exchange->write(
        eventText(On.m_NextEvent, On.m_Events, On.m_Id, On.m_Version));
  ++On.m_NextEvent;
  On.m_NextAt += On.m_Gap;
  if (On.m_NextEvent <= On.m_Events)
    return false;
  On.m_Exchange->finish();
  m_Judge.answered(On.m_Id, On.m_Run, Now);
  return true;
}

void Targets::turn(TimePoint Now) {
  m_Works.remove_if([&](Work &Each) {
    if (!advance(Each, Now))
      return false;
    --m_Targets[Each.m_Target].m_Running;
    return true;
  });
  for (unsigned Index = 0; Index < m_Targets.size(); ++Index) {
    Target &Each = m_Targets[Index];
    if (Each.m_State == State::Down) {
      if (Now >= Each.m_StartAt && !start(Index))
        Each.m_StartAt = Now + 100ms;
      continue;
    }
    if (Each.m_State != State::Ready && Now >= Each.m_ExitAt) {
      Each.m_Id = fmt::format("i-{}-{}", Index, Each.m_Starts);
      end(Index, Each.m_DownFor);
      continue;
    }
    const bool IsQuiet = Each.m_State == State::Gone && Each.m_IsAcknowledged;
    if (!Each.m_IsCalling && !IsQuiet && Now >= Each.m_BeatAt)
      beat(Index);
  }
}

} // namespace wasabivale::soak
