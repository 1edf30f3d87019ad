// Sends one request to one target and classifies the response.

#include "relay/relay.h"

namespace wasabivale::relay {

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerError = 500;
/// Longest response that is collected: as long as the longest request.
constexpr std::size_t MaxResponseBytes = 4U << 20U;
constexpr std::string_view StreamType = "text/event-stream";

bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

/// State of one try; lives as long as its call.
struct Task {
  Task(const Dialect &Format, const CallerRequest &Request, std::string Peer,
       TryHandlers Handlers)
      : m_Format(Format), m_Request(Request), m_Peer(std::move(Peer)),
        m_Handlers(std::move(Handlers)) {}

  const Dialect &m_Format;
  const CallerRequest &m_Request;
  std::string m_Peer;
  TryHandlers m_Handlers;
  std::weak_ptr<http::ClientCall> m_Call;
  ResponseInfo m_ResponseInfo;
  int m_Status = 0;
  bool m_PrefillOnly = false; ///< The response is internal and not signed.
  bool m_EventsOnly = false;
  bool m_IsStream = false;
  std::optional<EventReader> m_EventReader;
  std::optional<Error> m_StreamError;
  std::string m_Body;
  http::Fields m_Fields;

  /// Whether the response answers this request. Only the first response on a
  /// connection needs no id for that: others may repeat an earlier one.
  [[nodiscard]] bool answersRequest() const {
    if (!m_ResponseInfo.m_Id.empty())
      return m_ResponseInfo.m_Id == m_Request.m_Id;
    const auto Call = m_Call.lock();
    return Call != nullptr && !Call->isReused();
  }
  [[nodiscard]] bool isValidResponse() const {
    return (m_ResponseInfo.m_Signed || m_PrefillOnly) && answersRequest();
  }
  [[nodiscard]] bool provesNotRun() const {
    return (m_ResponseInfo.m_NotRun || m_ResponseInfo.m_WrongTarget) &&
           answersRequest();
  }

  void onHead(int Status, const http::Fields &Fields);
  void onBytes(std::string_view Bytes);
  /// Ends the try because its response is invalid or too long.
  void reject(Error Why);
  void onDone(const Result<http::Response> &Response);
  TryResult classify(const Result<http::Response> &Response) const;
  void finish(TryResult Result);
};

void Task::onHead(int Status, const http::Fields &Fields) {
  m_Status = Status;
  m_Fields = Fields;
  m_ResponseInfo = m_Format.m_ReadResponse(Status, Fields);
  if (!isValidResponse() && !provesNotRun())
    return reject({"relay.answer", m_Peer,
                   "the response does not belong to this request"});
  if (m_ResponseInfo.m_Load && m_Handlers.m_OnLoad)
    m_Handlers.m_OnLoad(*m_ResponseInfo.m_Load);
  if (!m_ResponseInfo.m_WrongTarget && m_Handlers.m_OnResponse)
    m_Handlers.m_OnResponse(m_ResponseInfo);
  m_IsStream =
      isSuccess(Status) && !provesNotRun() && m_EventReader &&
      http::field(Fields, "content-type").substr(0, StreamType.size()) ==
          StreamType;
  if (m_IsStream)
    m_Handlers.m_OnHead(Status, Fields);
}

void Task::reject(Error Why) {
  const auto Call = m_Call.lock();
  if (Call == nullptr)
    return;
  TryResult Result;
  Result.m_Status = m_Status;
  Result.m_InvalidResponse = true;
  if (m_EventReader)
    Result.m_LastEventId = m_EventReader->lastEventId();
  Result.m_Failure = std::move(Why);
  Call->cancel();
  finish(std::move(Result));
}

void Task::onBytes(std::string_view Bytes) {
  if (!m_IsStream) {
    m_Body += Bytes;
    if (m_Body.size() > MaxResponseBytes)
      reject({"relay.answer", m_Peer, "the response is too long"});
    return;
  }
  if (m_StreamError)
    return;
  std::vector<Event> Events;
  const Status Parsed = m_EventReader->feed(Bytes, Events);
  for (const Event &Received : Events)
    m_Handlers.m_OnEvent(Received);
  if (!failed(Parsed))
    return;
  m_StreamError = errorOf(Parsed);
  reject(*m_StreamError);
}

TryResult Task::classify(const Result<http::Response> &Response) const {
  TryResult Result;
  Result.m_Status = m_Status;
  Result.m_WrongTarget = m_ResponseInfo.m_WrongTarget && answersRequest();
  if (m_EventReader) {
    Result.m_LastEventId = m_EventReader->lastEventId();
    Result.m_Duplicates = m_EventReader->duplicates();
  }
  // Nothing that a malformed response says is conclusive.
  if (failed(Response) && http::isMalformedResponse(errorOf(Response))) {
    Result.m_InvalidResponse = true;
    Result.m_Failure = errorOf(Response);
    return Result;
  }
  // The head alone is conclusive, even if the body is truncated.
  if (provesNotRun()) {
    Result.m_Outcome = TryCompletion::NotRun;
    Result.m_Failure = {"relay.send", m_Peer,
                        "the target did not run the request"};
    return Result;
  }
  if (failed(Response)) {
    Result.m_Failure = errorOf(Response);
    const auto Call = m_Call.lock();
    if (Call != nullptr && !Call->hasSent())
      Result.m_Outcome = TryCompletion::NotRun;
    return Result;
  }
  if (!isValidResponse()) {
    Result.m_InvalidResponse = true;
    Result.m_Failure = {"relay.answer", m_Peer,
                        "the response does not belong to this request"};
    return Result;
  }
  if (m_IsStream && !m_EventReader->isBetweenEvents()) {
    Result.m_InvalidResponse = true;
    Result.m_Failure = {"relay.events", m_Peer,
                        "the stream ends within an event"};
    return Result;
  }
  Result.m_Response = valueOf(Response);
  Result.m_Response.m_Body = m_Body;
  Result.m_Outcome = TryCompletion::Complete;
  if (m_Status >= FirstServerError) {
    Result.m_Outcome = TryCompletion::ErrorResponse;
    Result.m_Failure = {"relay.answer", m_Peer,
                        "the target answered with a server error"};
  } else if (m_EventsOnly && !m_IsStream) {
    Result.m_Outcome = TryCompletion::ErrorResponse;
    Result.m_Failure = {"relay.answer", m_Peer,
                        "the target does not go on with the stream"};
  }
  return Result;
}

void Task::onDone(const Result<http::Response> &Response) {
  finish(classify(Response));
}

void Task::finish(TryResult Result) {
  const auto OnEnd = std::exchange(m_Handlers, {}).m_OnEnd;
  if (OnEnd)
    OnEnd(std::move(Result));
}

} // namespace

std::shared_ptr<http::ClientCall>
send(http::Pool &Connections, const Dialect &Format,
     const http::Address &Address, const CallerRequest &Request,
     const TryOptions &Options, bool Repeatable, TryHandlers Handlers) {
  http::ClientRequest Outgoing;
  Outgoing.m_To = Address;
  Outgoing.m_Method = Request.m_Method;
  Outgoing.m_Path = Request.m_Target;
  Outgoing.m_Fields =
      Format.m_RequestFields(Request, Options, BootClock::now());
  Outgoing.m_Body = Request.m_Body;
  Outgoing.m_Deadline = Options.m_Deadline;
  Outgoing.m_AnswerBytes = MaxResponseBytes;
  Outgoing.m_FreshConnection = Options.m_FreshConnection;
  Outgoing.m_LogId = Request.m_Id;
  auto NewTask = std::make_shared<Task>(
      Format, Request, http::printAddress(Address), std::move(Handlers));
  NewTask->m_PrefillOnly = Options.m_PrefillOnly;
  NewTask->m_EventsOnly = Options.m_EventsOnly;
  if (NewTask->m_Handlers.m_OnEvent)
    NewTask->m_EventReader.emplace(Options.m_LastEventId);
  http::ClientHandlers Callbacks;
  Callbacks.m_OnFields = [NewTask](int Status, const http::Fields &Fields) {
    NewTask->onHead(Status, Fields);
  };
  Callbacks.m_OnChunk = [NewTask](std::string_view Bytes) {
    NewTask->onBytes(Bytes);
  };
  Callbacks.m_OnDone = [NewTask](const Result<http::Response> &Response) {
    NewTask->onDone(Response);
  };
  auto Call =
      Connections.call(std::move(Outgoing), std::move(Callbacks), Repeatable);
  NewTask->m_Call = Call;
  return Call;
}

} // namespace wasabivale::relay
