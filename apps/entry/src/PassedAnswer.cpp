#include "PassedAnswer.h"

#include "Forwarding.h"
#include "events/events.h"

namespace wasabivale::entry {

namespace {

http::Fields endToEnd(const http::Fields &Of) {
  http::Fields Made;
  for (const auto &[Name, Value] : Of)
    if (!http::isHopByHop(Name))
      Made.emplace_back(Name, Value);
  return Made;
}

} // namespace

http::Fields PassedAnswer::answerFields(const http::Fields &Target,
                                        const StreamOrigin &Origin) const {
  return m_IsForwarded ? answerForwardFields(Target, Origin) : endToEnd(Target);
}

void PassedAnswer::head(int Status, const http::Fields &Fields,
                        const StreamOrigin &Origin) {
  // A stream that goes on at another target keeps its first head.
  if (m_Started)
    return;
  m_Status = Status;
  m_Fields = answerFields(Fields, Origin);
}

void PassedAnswer::start() {
  WASABIVALE_INVARIANT(!m_Ended);
  if (std::exchange(m_Started, true) || m_Caller == nullptr)
    return;
  m_Caller->startRelay(m_Status, m_Fields);
}

void PassedAnswer::piece(std::string_view Text) {
  start();
  if (m_Caller != nullptr)
    m_Caller->write(Text);
}

void PassedAnswer::restart() { WASABIVALE_INVARIANT(!m_Started); }

void PassedAnswer::finish(std::string_view, std::uint64_t, std::uint64_t) {
  start();
  m_Ended = true;
  if (m_Caller != nullptr)
    m_Caller->finish();
}

void PassedAnswer::pass(const KeptAnswer &Whole) {
  WASABIVALE_INVARIANT(!m_Ended);
  if (m_Started) {
    events::emit(events::Event::SecondHeadPrevented,
                 {{"request", m_Request}, {"status", Whole.m_Status}});
    return drop();
  }
  m_Ended = true;
  if (m_Caller != nullptr)
    m_Caller->relay(Whole.m_Status, answerFields(Whole.m_Fields, {}),
                    Whole.m_Body);
}

void PassedAnswer::refuse(const Rejection &Why) {
  if (m_Started)
    return drop();
  m_Ended = true;
  if (m_Caller == nullptr)
    return;
  if (m_IsForwarded)
    return replyForwardRejection(*m_Caller, Why);
  replyPassedRejection(*m_Caller, m_Request, Why);
}

void PassedAnswer::drop() {
  m_Ended = true;
  if (m_Caller != nullptr)
    m_Caller->abort();
}

} // namespace wasabivale::entry
