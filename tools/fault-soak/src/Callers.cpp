#include "Callers.h"

#include "platform/platform.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
namespace fields = platform::fields;

namespace {

constexpr unsigned MissesOut = 2;
constexpr milliseconds ReadinessInterval{1'000};
/// How long a caller waits for the answer beyond the route's time.
constexpr milliseconds ExtraWait{2'000};

} // namespace

Balancer::Balancer(event_base *Loop, std::vector<http::Address> Readiness)
    : m_Loop(Loop) {
  for (http::Address &Address : Readiness)
    m_Entries.push_back({std::move(Address), {}, MissesOut, false});
}

void Balancer::turn(TimePoint Now) {
  for (Entry &Checked : m_Entries) {
    if (Checked.m_IsChecking || Now < Checked.m_CheckAt)
      continue;
    Checked.m_IsChecking = true;
    Checked.m_CheckAt = Now + ReadinessInterval;
    http::ClientRequest Out;
    Out.m_To = Checked.m_Readiness;
    Out.m_Method = "GET";
    Out.m_Path = platform::ReadinessPath;
    Out.m_Deadline = Now + ReadinessInterval;
    http::ClientHandlers Handlers;
    Handlers.m_OnDone = [&Checked](const Result<http::Response> &Got) {
      Checked.m_IsChecking = false;
      const bool IsReady = !failed(Got) && valueOf(Got).m_Status == 200;
      Checked.m_Misses =
          IsReady ? 0 : std::min(Checked.m_Misses + 1, MissesOut);
    };
    http::call(m_Loop, std::move(Out), std::move(Handlers));
  }
}

bool Balancer::areAllReady() const {
  return std::all_of(
      m_Entries.begin(), m_Entries.end(),
      [](const Entry &Checked) { return Checked.m_Misses == 0; });
}

unsigned Balancer::choose(std::mt19937_64 &Random) const {
  std::vector<unsigned> Ready;
  for (unsigned I = 0; I < m_Entries.size(); ++I)
    if (m_Entries[I].m_Misses < MissesOut)
      Ready.push_back(I);
  const std::uint64_t Drawn = Random();
  // With too few in rotation, the platform uses all.
  if (Ready.size() * 2 < m_Entries.size())
    return static_cast<unsigned>(Drawn % m_Entries.size());
  return Ready[Drawn % Ready.size()];
}

Caller::Caller(event_base *Loop, Judge &Observer, const Balancer &Rotation,
               const std::vector<http::Address> &Entries, unsigned Number,
               std::uint64_t Seed)
    : m_Judge(Observer), m_Balancer(Rotation), m_Entries(Entries),
      m_Pool(Loop, {}), m_Random(Seed * 1'000'003 + Number), m_Number(Number) {
  m_SendAt = BootClock::now() + milliseconds(pick(0, 500));
}

std::uint64_t Caller::pick(std::uint64_t Least, std::uint64_t Most) {
  return Least + m_Random() % (Most - Least + 1);
}

void Caller::turn(TimePoint Now) {
  if (!m_Open && Now >= m_SendAt)
    send(Now);
}

void Caller::send(TimePoint Now) {
  constexpr std::uint64_t OneInLong = 12;
  constexpr std::uint64_t OneInPassing = 8;
  const bool IsKept = m_Pool.idle() > 0;
  if (!IsKept)
    m_Entry = m_Balancer.choose(m_Random);
  Open Next;
  const RouteShape *Route = &LastingRoutes[m_Number % 4];
  if (m_Resumed) {
    Next = *m_Resumed;
    m_Resumed.reset();
  } else {
    if (Route->m_Kind == Kind::Safe && pick(1, OneInPassing) == 1)
      Route = &PassingRoute;
    const bool IsLong = pick(1, OneInLong) == 1;
    if (Route->m_Kind == Kind::Stream || Route->m_Kind == Kind::Resumable) {
      Next.m_WorkMs = IsLong ? 100 : pick(10, 80);
      Next.m_Events = IsLong ? pick(30, 60) : pick(3, 30);
    } else {
      Next.m_WorkMs = IsLong ? pick(500, 2'000) : pick(5, 150);
    }
  }
  Next.m_Sent.m_Id = fmt::format("{:016x}", m_Random());
  Next.m_Sent.m_Route = Route->m_Name;
  Next.m_Sent.m_Kind = Route->m_Kind;
  Next.m_Sent.m_Entry = m_Entry;
  Next.m_Sent.m_OnKeptConnection = IsKept;
  Next.m_Sent.m_SentAt = Now;
  Next.m_Sent.m_Deadline = Now + Route->m_Timeout;
  Next.m_Got = {};
  http::ClientRequest Out;
  Out.m_To = m_Entries[m_Entry];
  Out.m_Path = fmt::format("/{}/{}", Route->m_Name, Next.m_Sent.m_Id);
  Out.m_Fields = {{"Host", Host},
                  {fields::RequestId, Next.m_Sent.m_Id},
                  {fields::Deadline, std::to_string(Route->m_Timeout.count())},
                  {"Soak-Ms", std::to_string(Next.m_WorkMs)}};
  if (Next.m_Events > 0)
    Out.m_Fields.emplace_back("Soak-Events", std::to_string(Next.m_Events));
  if (Next.m_FirstId.empty()) {
    Next.m_FirstId = Next.m_Sent.m_Id;
  } else {
    Out.m_Fields.emplace_back(fields::LastEvent,
                              std::to_string(Next.m_Sent.m_LastEventId));
    Out.m_Fields.emplace_back(fields::FirstAttempt, Next.m_FirstId);
  }
  Out.m_Body = "body";
  Out.m_Deadline = Next.m_Sent.m_Deadline + ExtraWait;
  m_Judge.sent(Next.m_Sent);
  m_Open = std::move(Next);
  http::ClientHandlers Handlers;
  Handlers.m_OnFields = [this](int Status, const http::Fields &Head) {
    m_Open->m_Got.m_Status = Status;
    m_Open->m_Got.m_Id = http::field(Head, fields::RequestId);
    m_Open->m_Got.m_Stamp = http::field(Head, fields::Signature);
  };
  Handlers.m_OnChunk = [this](std::string_view Piece) {
    m_Open->m_Got.m_Body += Piece;
  };
  Handlers.m_OnDone = [this](const Result<http::Response> &Got) {
    finish(Got);
  };
  (void)m_Pool.call(std::move(Out), std::move(Handlers), true);
}

void Caller::finish(const Result<http::Response> &Got) {
  const TimePoint Now = BootClock::now();
  Open Done = std::move(*m_Open);
  m_Open.reset();
  Done.m_Got.m_EndedAt = Now;
  Done.m_Got.m_IsBroken = failed(Got);
  Done.m_Got.m_IsTimeout =
      failed(Got) && Now >= Done.m_Sent.m_Deadline + ExtraWait;
  m_Judge.ended(Done.m_Sent.m_Id, Done.m_Got);
  m_SendAt = Now + milliseconds(pick(0, 250));
  if (Done.m_Sent.m_Kind != Kind::Resumable || Done.m_Got.m_Status != 200 ||
      !Done.m_Got.m_IsBroken)
    return;
  const Events Seen = readEvents(Done.m_Got.m_Body, Done.m_Sent);
  if (Seen.m_Last == 0 || Seen.m_Last >= Done.m_Events)
    return;
  Done.m_Sent.m_LastEventId = Seen.m_Last;
  Done.m_Sent.m_FirstVersion = Seen.m_Version;
  m_Resumed = std::move(Done);
}

} // namespace wasabivale::soak
