#include "Forward.h"

namespace wasabivale::entry {

namespace {

constexpr std::string_view StreamType = "text/event-stream";
/// Longest answer that is collected: as long as a target's.
constexpr std::size_t MaxAnswerBytes = 4U << 20U;

} // namespace

Forward::Forward(NodeId Peer, const Arrival &Request, std::uint64_t LastEventId,
                 std::chrono::nanoseconds Patience, ForwardHandlers Handlers,
                 TimePoint Now)
    : m_Peer(std::move(Peer)), m_NotRepeatable(Request.m_NotRepeatable),
      m_MayStream(Request.m_Stream), m_Patience(Patience),
      m_Handlers(std::move(Handlers)), m_Events(LastEventId),
      m_SilentSince(Now) {}

Forward::~Forward() { cancel(); }

std::shared_ptr<Forward>
Forward::start(http::Pool &Connections, const ForwardPeers::Peer &Receiver,
               const http::Request &Caller, const Arrival &Request,
               const ForwardOrigin &Origin, std::chrono::nanoseconds Patience,
               ForwardHandlers Handlers, TimePoint Now) {
  std::shared_ptr<Forward> Started(new Forward(Receiver.m_Entry, Request,
                                               Origin.m_LastEventId, Patience,
                                               std::move(Handlers), Now));
  http::ClientRequest Out;
  Out.m_To = Receiver.m_Address;
  Out.m_Method = Caller.m_Method;
  Out.m_Path = Caller.m_Target;
  Out.m_Fields = forwardFields(Caller.m_Fields, Origin, Now);
  Out.m_Body = Caller.m_Body;
  Out.m_Deadline = Origin.m_Deadline;
  Out.m_AnswerBytes = MaxAnswerBytes;
  Out.m_LogId = Request.m_Id.m_Value;
  const std::weak_ptr<Forward> Weak = Started;
  http::ClientHandlers Callbacks;
  Callbacks.m_OnFields = [Weak](int Status, const http::Fields &Fields) {
    if (const auto Self = Weak.lock())
      Self->takeHead(Status, Fields);
  };
  Callbacks.m_OnChunk = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->takeBytes(Bytes);
  };
  Callbacks.m_OnDone = [Weak](const Result<http::Response> &Ending) {
    if (const auto Self = Weak.lock())
      Self->takeEnd(Ending);
  };
  Started->m_Call = Connections.call(std::move(Out), std::move(Callbacks),
                                     !Request.m_NotRepeatable);
  return Started;
}

void Forward::takeHead(int Status, const http::Fields &Fields) {
  if (m_Ended)
    return;
  m_SilentSince = BootClock::now();
  m_Status = Status;
  auto Read = readForwardAnswer(Fields, m_Peer.m_Value);
  if (const auto *Why = std::get_if<Error>(&Read))
    return reject(*Why);
  if (auto *Refused = std::get_if<Rejection>(&Read)) {
    m_Rejection = std::move(*Refused);
    return;
  }
  m_Answer = std::get<ForwardedAnswer>(std::move(Read));
  m_Streaming =
      m_MayStream && http::field(m_Answer->m_Fields, "content-type")
                             .substr(0, StreamType.size()) == StreamType;
  if (m_Streaming)
    m_Handlers.m_OnHead(Status, *m_Answer);
}

void Forward::takeBytes(std::string_view Bytes) {
  if (m_Ended)
    return;
  const auto Self = shared_from_this();
  m_SilentSince = BootClock::now();
  if (!m_Streaming) {
    m_Body += Bytes;
    if (m_Body.size() > MaxAnswerBytes)
      reject({"forward.answer", m_Peer.m_Value, "the answer is too long"});
    return;
  }
  std::vector<relay::Event> Complete;
  const Status Read = m_Events.feed(Bytes, Complete);
  for (const relay::Event &Received : Complete)
    if (!m_Ended)
      m_Handlers.m_OnEvent(Received);
  if (failed(Read) && !m_Ended)
    reject(errorOf(Read));
}

void Forward::takeEnd(const Result<http::Response> &Ending) {
  if (m_Ended)
    return;
  if (failed(Ending) && http::isMalformedResponse(errorOf(Ending)))
    return finish({ForwardEnding::Broken{true, true, false, errorOf(Ending)}});
  // The head of a refusal says all of it, even if its body is cut.
  if (m_Rejection)
    return finish({*m_Rejection});
  if (failed(Ending))
    return finish(
        {ForwardEnding::Broken{hasSent(), false, false, errorOf(Ending)}});
  if (!m_Answer)
    return finish({ForwardEnding::Broken{
        true,
        true,
        false,
        {"forward.answer", m_Peer.m_Value, "the answer has no head"}}});
  if (m_Streaming && !m_Events.isBetweenEvents())
    return finish({ForwardEnding::Broken{
        true,
        true,
        false,
        {"forward.events", m_Peer.m_Value, "the stream ends in an event"}}});
  ForwardEnding::Whole Whole;
  Whole.m_Streamed = m_Streaming;
  Whole.m_Answer.m_Status = m_Status;
  Whole.m_Answer.m_Fields = std::move(m_Answer->m_Fields);
  Whole.m_Answer.m_Body = std::move(m_Body);
  finish({std::move(Whole)});
}

void Forward::reject(Error Why) {
  m_Call->cancel();
  finish({ForwardEnding::Broken{true, true, false, std::move(Why)}});
}

void Forward::finish(ForwardEnding Ending) {
  const auto Self = shared_from_this();
  m_Ended = true;
  const auto OnEnd = std::exchange(m_Handlers, {}).m_OnEnd;
  OnEnd(std::move(Ending));
}

void Forward::cancel() {
  if (std::exchange(m_Ended, true))
    return;
  // Its functions may be running.
  if (m_Call != nullptr)
    m_Call->cancel();
}

void Forward::check(TimePoint Now) {
  // Given up, a request that must not be repeated has no other way.
  if (m_Ended || m_Paused || m_NotRepeatable ||
      Now - m_SilentSince <= m_Patience)
    return;
  const bool Sent = hasSent();
  retries::Failure Why;
  Why.m_Kind = retries::FailureKind::Stalled;
  Why.m_NotRunProven = !Sent;
  Why.m_BytesSent = Sent;
  const auto Self = shared_from_this();
  if (!m_Handlers.m_MayReplace(Why, m_SilentSince))
    return;
  m_Call->cancel();
  finish({ForwardEnding::Broken{
      Sent,
      false,
      true,
      {"forward.progress", m_Peer.m_Value, "the peer made no progress"}}});
}

void Forward::pause() {
  if (m_Paused || m_Ended)
    return;
  m_Paused = true;
  m_Call->pause();
}

void Forward::resume(TimePoint Now) {
  if (!std::exchange(m_Paused, false) || m_Ended)
    return;
  m_SilentSince = Now;
  m_Call->resume();
}

} // namespace wasabivale::entry
