#include "LateCallers.h"

#include "Operator.h"

#include "platform/platform.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
namespace fields = platform::fields;

namespace {

/// Calls come close together from a time in this span after a SIGTERM on.
constexpr std::uint64_t PressLeast = 3'300;
constexpr std::uint64_t PressMost = 4'200;
/// Until the next process has been pressed, too.
constexpr milliseconds PressFor{4'500};
/// How long a caller waits for the answer beyond the call's time.
constexpr milliseconds ExtraWait{2'000};
/// One caller in this many keeps its entry at work.
constexpr unsigned CallersToHolder = 6;
constexpr milliseconds EventGap{100};
/// The random numbers of the other callers lie below.
constexpr std::uint64_t FirstStream = 500'000;
constexpr std::uint64_t EntryStreams = 1'000;

} // namespace

std::uint64_t LatePace::pick(std::uint64_t Least, std::uint64_t Most) {
  return Least + m_Random() % (Most - Least + 1);
}

void LatePace::stopAsked(TimePoint Now) {
  m_PressAt = Now + milliseconds(pick(PressLeast, PressMost));
  m_CalmAt = *m_PressAt + PressFor;
}

TimePoint LatePace::next(TimePoint Now, bool HasConnection) {
  if (m_PressAt && Now >= m_CalmAt)
    m_PressAt.reset();
  const TimePoint Calm = Now + milliseconds(pick(100, 400));
  const milliseconds Close(pick(1, 16));
  if (!m_PressAt)
    return Calm;
  // Where the connection has ended, the next process may be up at any moment.
  if (Now >= *m_PressAt || !HasConnection)
    return Now + Close;
  return std::min(Calm, *m_PressAt);
}

LateCaller::LateCaller(event_base *Loop, Judge &Observer, http::Address Front,
                       unsigned Entry, unsigned Number, std::uint64_t Seed)
    : m_Judge(Observer), m_Front(std::move(Front)), m_Pool(Loop, {}),
      m_Pace(Seed * 1'000'003 + FirstStream + Entry * EntryStreams + Number),
      m_Entry(Entry), m_IsHolder(Number % CallersToHolder == 0) {}

void LateCaller::stopAsked(TimePoint Now) { m_Pace.stopAsked(Now); }

void LateCaller::turn(TimePoint Now) {
  if (!m_Open && Now >= m_SendAt)
    send(Now);
}

void LateCaller::send(TimePoint Now) {
  const RouteShape &Route = LastingRoutes[m_IsHolder              ? 2
                                          : m_Pace.pick(0, 1) > 0 ? 1
                                                                  : 0];
  Open Next;
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
    Out.m_Fields.emplace_back("Soak-Events",
                              std::to_string(m_Pace.pick(30, 60)));
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

void LateCaller::finish(const Result<http::Response> &Got) {
  const TimePoint Now = BootClock::now();
  Open Done = std::move(*m_Open);
  m_Open.reset();
  Done.m_Got.m_EndedAt = Now;
  Done.m_Got.m_IsBroken = failed(Got);
  Done.m_Got.m_IsTimeout =
      failed(Got) && Now >= Done.m_Sent.m_Deadline + ExtraWait;
  m_Judge.ended(Done.m_Sent.m_Id, Done.m_Got);
  m_SendAt = m_Pace.next(Now, !failed(Got));
}

} // namespace wasabivale::soak
