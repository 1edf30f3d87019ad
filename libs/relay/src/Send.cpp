// One request at one target, and what its answer proves.

#include "relay/relay.h"

namespace wasabivale::relay {

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerError = 500;
constexpr std::string_view StreamType = "text/event-stream";

bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

/// One try, alive as long as its call.
struct Task {
  Task(const Dialect &Names, const CallerRequest &Asked, std::string Peer,
       TryHandlers Handlers)
      : m_In(Names), m_What(Asked), m_Peer(std::move(Peer)),
        m_Handlers(std::move(Handlers)) {}

  const Dialect &m_In;
  const CallerRequest &m_What;
  std::string m_Peer;
  TryHandlers m_Handlers;
  std::weak_ptr<http::ClientCall> m_Call;
  ResponseInfo m_Facts;
  int m_Status = 0;
  bool m_PrefillOnly = false; ///< Its answer is meant for us and not signed.
  bool m_Streams = false;
  std::optional<EventReader> m_Events;
  std::optional<Error> m_Fault;
  std::string m_Body;
  http::Fields m_Fields;

  [[nodiscard]] bool answersThis() const {
    return (m_Facts.m_Signed || m_PrefillOnly) &&
           (m_Facts.m_Id.empty() || m_Facts.m_Id == m_What.m_Id);
  }

  void takeHead(int Status, const http::Fields &Fields);
  void takeBytes(std::string_view Bytes);
  void end(const Result<http::Response> &Got);
  TryResult read(const Result<http::Response> &Got) const;
  void finish(TryResult Told);
};

void Task::takeHead(int Status, const http::Fields &Fields) {
  m_Status = Status;
  m_Fields = Fields;
  m_Facts = m_In.m_ReadResponse(Status, Fields);
  if (m_Facts.m_Load && m_Handlers.m_OnLoad)
    m_Handlers.m_OnLoad(*m_Facts.m_Load);
  m_Streams =
      isSuccess(Status) && answersThis() && m_Events &&
      http::field(Fields, "content-type").substr(0, StreamType.size()) ==
          StreamType;
  if (m_Streams)
    m_Handlers.m_OnHead(Status, Fields);
}

void Task::takeBytes(std::string_view Bytes) {
  if (!m_Streams) {
    m_Body += Bytes;
    return;
  }
  if (m_Fault)
    return;
  std::vector<Event> Events;
  const Status Fed = m_Events->feed(Bytes, Events);
  for (const Event &Each : Events)
    m_Handlers.m_OnEvent(Each);
  if (!failed(Fed))
    return;
  m_Fault = errorOf(Fed);
  if (const auto Call = m_Call.lock()) {
    TryResult Told;
    Told.m_Status = m_Status;
    Told.m_InvalidResponse = true;
    Told.m_LastEventId = m_Events->seen();
    Told.m_Failure = *m_Fault;
    Call->cancel();
    finish(std::move(Told));
  }
}

TryResult Task::read(const Result<http::Response> &Got) const {
  TryResult Told;
  Told.m_Status = m_Status;
  Told.m_WrongTarget = m_Facts.m_WrongTarget;
  if (m_Events) {
    Told.m_LastEventId = m_Events->seen();
    Told.m_Duplicates = m_Events->duplicates();
  }
  // The head alone is the target's word; the body may be cut.
  if (m_Facts.m_NotRun || m_Facts.m_WrongTarget) {
    Told.m_Outcome = TryCompletion::NotRun;
    Told.m_Failure = {"relay.send", m_Peer, "the target did not run it"};
    return Told;
  }
  if (failed(Got)) {
    Told.m_Failure = errorOf(Got);
    const auto Call = m_Call.lock();
    if (Call != nullptr && !Call->hasSent())
      Told.m_Outcome = TryCompletion::NotRun;
    return Told;
  }
  if (!answersThis()) {
    Told.m_InvalidResponse = true;
    Told.m_Failure = {"relay.answer", m_Peer,
                      "what came is no answer to this request"};
    return Told;
  }
  if (m_Streams && !m_Events->isBetweenEvents()) {
    Told.m_InvalidResponse = true;
    Told.m_Failure = {"relay.events", m_Peer, "the stream ends in an event"};
    return Told;
  }
  Told.m_Response = valueOf(Got);
  Told.m_Response.m_Body = m_Body;
  Told.m_Outcome = m_Status >= FirstServerError ? TryCompletion::ErrorResponse
                                                : TryCompletion::Complete;
  if (Told.m_Outcome == TryCompletion::ErrorResponse)
    Told.m_Failure = {"relay.answer", m_Peer, "the target failed"};
  return Told;
}

void Task::end(const Result<http::Response> &Got) { finish(read(Got)); }

void Task::finish(TryResult Told) {
  const auto OnEnd = std::exchange(m_Handlers, {}).m_OnEnd;
  if (OnEnd)
    OnEnd(std::move(Told));
}

} // namespace

std::shared_ptr<http::ClientCall> send(http::Pool &Through, const Dialect &In,
                                       const http::Address &To,
                                       const CallerRequest &What,
                                       const TryOptions &With, bool Repeatable,
                                       TryHandlers Handlers) {
  http::ClientRequest Out;
  Out.m_To = To;
  Out.m_Method = What.m_Method;
  Out.m_Path = What.m_Target;
  Out.m_Fields = In.m_RequestFields(What, With, BootClock::now());
  Out.m_Body = What.m_Body;
  Out.m_Deadline = With.m_Deadline;
  auto Made = std::make_shared<Task>(In, What, http::printAddress(To),
                                     std::move(Handlers));
  Made->m_PrefillOnly = With.m_PrefillOnly;
  if (Made->m_Handlers.m_OnEvent)
    Made->m_Events.emplace(With.m_LastEventId);
  http::ClientHandlers Taken;
  Taken.m_OnFields = [Made](int Status, const http::Fields &Fields) {
    Made->takeHead(Status, Fields);
  };
  Taken.m_OnChunk = [Made](std::string_view Bytes) { Made->takeBytes(Bytes); };
  Taken.m_OnDone = [Made](const Result<http::Response> &Got) {
    Made->end(Got);
  };
  auto Call = Through.call(std::move(Out), std::move(Taken), Repeatable);
  Made->m_Call = Call;
  return Call;
}

} // namespace wasabivale::relay
