#include "WaveCallers.h"

#include "Operator.h"

#include "platform/platform.h"

#include <fmt/format.h>

namespace wasabivale::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
namespace fields = platform::fields;

namespace {

/// The only call in a stop is sent in this span after the SIGTERM.
constexpr std::uint64_t CallLeast = 2'800;
constexpr std::uint64_t CallMost = 7'000;
/// Calls that keep a connection in use while the entry is not stopping.
constexpr std::uint64_t RefreshLeast = 300;
constexpr std::uint64_t RefreshMost = 900;
/// Longer than a stop, so that the pool does not give up the connection.
constexpr milliseconds KeepIdle{30'000};
/// How long a caller waits for the answer beyond the call's time.
constexpr milliseconds ExtraWait{2'000};
/// Three callers in eleven are holders: the longest of their streams ends late
/// in most stops, as no stream lasts as long as the grace.
constexpr unsigned CallersToHolders = 11;
constexpr unsigned Holders = 3;
constexpr milliseconds EventGap{100};
constexpr std::uint64_t StreamEvents = 75;
/// The random numbers of the other callers lie below.
constexpr std::uint64_t FirstStream = 700'000;
constexpr std::uint64_t EntryStreams = 1'000;

} // namespace

std::uint64_t WavePace::pick(std::uint64_t Least, std::uint64_t Most) {
  return Least + m_Random() % (Most - Least + 1);
}

void WavePace::stopAsked(TimePoint Now, bool IsIdle) {
  const milliseconds After(pick(CallLeast, CallMost));
  m_IsStopping = true;
  m_CallAt.reset();
  if (IsIdle)
    m_CallAt = Now + After;
}

void WavePace::started(TimePoint Now) {
  m_IsStopping = false;
  m_CallAt.reset();
  ended(Now);
}

bool WavePace::isDue(TimePoint Now) const {
  return m_IsStopping ? m_CallAt && Now >= *m_CallAt : Now >= m_RefreshAt;
}

void WavePace::used() { m_CallAt.reset(); }

void WavePace::ended(TimePoint Now) {
  m_RefreshAt = Now + milliseconds(pick(RefreshLeast, RefreshMost));
}

WaveCaller::WaveCaller(event_base *Loop, Judge &Observer, http::Address Front,
                       unsigned Entry, unsigned Number, std::uint64_t Seed)
    : m_Judge(Observer), m_Front(std::move(Front)),
      m_Pool(Loop, {.m_Idle = KeepIdle}),
      m_Pace(Seed * 1'000'003 + FirstStream + Entry * EntryStreams + Number),
      m_Entry(Entry), m_IsHolder(Number % CallersToHolders < Holders) {}

void WaveCaller::stopAsked(TimePoint Now) {
  m_Pace.stopAsked(Now, !m_IsHolder && !m_Open && m_Pool.idle() > 0);
}

void WaveCaller::turn(TimePoint Now) {
  if (m_Open || !m_Pace.isDue(Now))
    return;
  // A connection that the entry has closed before is not replaced in a stop.
  if (!m_Pace.isStopping() || m_Pool.idle() > 0)
    send(Now);
  m_Pace.used();
}

void WaveCaller::send(TimePoint Now) {
  const RouteShape &Route = LastingRoutes[m_IsHolder              ? 2
                                          : m_Pace.pick(0, 1) > 0 ? 1
                                                                  : 0];
  Open Next;
  Next.m_Opened = m_Pool.opened();
  Next.m_IsInStop = m_Pace.isStopping();
  Next.m_Sent.m_Id =
      fmt::format("{:016x}", m_Pace.pick(0, ~std::uint64_t{0} - 1));
  Next.m_Sent.m_Route = Route.m_Name;
  Next.m_Sent.m_Kind = Route.m_Kind;
  Next.m_Sent.m_Entry = m_Entry;
  Next.m_Sent.m_OnKeptConnection = m_Pool.idle() > 0;
  Next.m_Sent.m_SentAt = Now;
  // A stopping entry takes no call whose time goes beyond its own.
  const milliseconds Time =
      m_IsHolder ? Route.m_Timeout : milliseconds(m_Pace.pick(400, 1'000));
  Next.m_Sent.m_Deadline = Now + Time;
  http::ClientRequest Out;
  Out.m_To = m_Front;
  Out.m_Path = fmt::format("/{}/{}", Route.m_Name, Next.m_Sent.m_Id);
  Out.m_Fields = {{"Host", Host},
                  {fields::RequestId, Next.m_Sent.m_Id},
                  {fields::Deadline, std::to_string(Time.count())}};
  if (m_IsHolder) {
    Out.m_Fields.emplace_back("Soak-Ms", std::to_string(EventGap.count()));
    Out.m_Fields.emplace_back("Soak-Events", std::to_string(StreamEvents));
  } else {
    Out.m_Fields.emplace_back("Soak-Ms", std::to_string(m_Pace.pick(1, 50)));
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

void WaveCaller::finish(const Result<http::Response> &Got) {
  const TimePoint Now = BootClock::now();
  Open Done = std::move(*m_Open);
  m_Open.reset();
  Done.m_Got.m_EndedAt = Now;
  Done.m_Got.m_IsBroken = failed(Got);
  Done.m_Got.m_IsTimeout =
      failed(Got) && Now >= Done.m_Sent.m_Deadline + ExtraWait;
  Done.m_Got.m_IsOnOldConnection =
      Done.m_IsInStop && m_Pool.opened() == Done.m_Opened;
  m_Judge.ended(Done.m_Sent.m_Id, Done.m_Got);
  m_Pace.ended(Now);
}

} // namespace wasabivale::soak
